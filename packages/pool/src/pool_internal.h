/* What the files of the package share: the pool itself. */
#ifndef POOL_INTERNAL_H
#define POOL_INTERNAL_H

#include "cw_pool.h"

#include <glib.h>

#define SOFTWARE_MAX 64 /* versions remembered, of all services; more are never newcomers */

/* A version of what a service's servers run. */
struct software {
	char service[CW_NAME_MAX];
	char name[CW_NAME_MAX];
	int64_t first_ms; /* of the first server seen with it */
	int is_newcomer;  /* another was known for long before it */
};

struct cw_pool {
	const struct cw_choice_policy *choice;
	const struct cw_policy *policy;
	struct cw_drains *drains;
	GHashTable *regions; /* failure domain -> region */
	void (*find_place)(void *context, uint64_t server, struct cw_warmup_place *place);
	void *place_context;
	struct cw_server_list servers;
	struct cw_server_list active; /* by active_link */
	size_t delisted;	      /* servers with gone_ms */
	GHashTable *by_id;
	GHashTable *by_name; /* the newest start of each */
	struct software software[SOFTWARE_MAX];
	size_t software_count;
};
void pool_activate(struct cw_server *server); /* until the next sweep that finds it unused */

#endif
