/* The pool's own structure, shared by the files of the package. */
#ifndef POOL_INTERNAL_H
#define POOL_INTERNAL_H

#include "cw_pool.h"

#include <glib.h>

#define SOFTWARE_MAX                                                                               \
	64 /* software versions remembered, of all services; others never count as new */

/* A software version that servers of a service run. */
struct software {
	char service[CW_NAME_MAX];
	char name[CW_NAME_MAX];
	int64_t first_listed_ms; /* when the first server with the version was listed */
	int is_new; /* another version of the service was known for LIST_ARRIVAL_MS before */
};

struct cw_pool {
	const struct cw_choice_policy *choice;
	const struct cw_policy *policy;
	struct cw_drains *drains;
	GHashTable *regions; /* failure domain -> region */
	void (*find_place)(void *context, uint64_t server, struct cw_warmup_place *place);
	void *place_context;
	struct cw_server_list servers;
	struct cw_server_list active; /* linked by active_link */
	struct cw_server_reports_list reports;
	size_t delisted; /* number of servers with removed_ms set */
	GHashTable *by_id;
	GHashTable *by_name; /* the newest start of each server */
	struct software software[SOFTWARE_MAX];
	size_t software_count;
};
void pool_activate(struct cw_server *server); /* until a sweep finds it unused */
void pool_free_reports(struct cw_server *server);
int pool_needs_reports(const struct cw_server *server,
		       int64_t now_ms); /* 1: a removed server may be listed again */
void pool_sweep_reports(struct cw_pool *pool, int64_t now_ms);

#endif
