/* The pool's own structure, shared by the files of the package. */
#ifndef POOL_INTERNAL_H
#define POOL_INTERNAL_H

#include "cw_pool.h"

#include <glib.h>

#define POOL_CANDIDATES_MAX 256 /* servers among which a request's is chosen */
#define SOFTWARE_MAX                                                                               \
	64 /* software versions remembered, of all services; others never count as new */

/* A software version that servers of a service run. */
struct software {
	char service[CW_NAME_MAX];
	char name[CW_NAME_MAX];
	int64_t first_listed_ms; /* when the first server with the version was listed */
	int is_new; /* another version of the service was known for LIST_ARRIVAL_MS before */
};

/* A server that was removed, to recognize an older entry of it. */
struct departed {
	TAILQ_ENTRY(departed) link;
	char name[CW_NAME_MAX];
	int64_t process_start_ms;
	int64_t left_ms;
};

TAILQ_HEAD(departed_list, departed);

/* An entry that may be superseded. */
struct held_entry {
	TAILQ_ENTRY(held_entry) link;
	struct cw_server_entry entry;
};

struct cw_pool {
	const struct cw_choice_policy *choice;
	const struct cw_policy *policy;
	struct cw_drains *drains;
	struct cw_prediction prediction; /* over all servers */
	struct cw_homes *homes;
	size_t instances;    /* that share the callers; 0: not known */
	GHashTable *regions; /* failure domain -> region */
	void (*find_place)(void *context, uint64_t server, struct cw_warmup_place *place);
	void *place_context;
	void (*work_changed)(void *context, struct cw_server *server, double work_ms);
	void *work_context;
	int counts_unread; /* see cw_pool_count_unread() */
	int (*has_idle_connection)(void *context, const char *address, int64_t reuse_idle_ms);
	void *connection_context;
	struct cw_server_list servers;
	struct cw_server_list active; /* linked by active_link */
	struct cw_server_list worked; /* linked by worked_link */
	struct cw_server_reports_list reports;
	size_t delisted; /* number of servers with removed_ms set */
	GHashTable *by_id;
	GHashTable *by_name; /* the newest start of each server */
	struct software software[SOFTWARE_MAX];
	size_t software_count;
	struct departed_list departed; /* oldest first */
	size_t departed_count;
	TAILQ_HEAD(, held_entry) held;
	size_t held_count;
	int64_t era_began_ms; /* of the server list */
	int64_t settled_ms;   /* until then, entries may be superseded ones */
};

void pool_free_work(struct cw_server *server);
void pool_activate(struct cw_server *server); /* until a sweep finds it unused */
void pool_record_software(struct cw_pool *pool, const struct cw_server_entry *entry,
			  int64_t now_ms); /* software.c: an entry was listed */
void pool_free_reports(struct cw_server *server);
int pool_needs_reports(const struct cw_server *server,
		       int64_t now_ms); /* 1: a removed server may be listed again */
struct cw_brittle_load pool_brittle_load(const struct cw_server *server, int64_t now_ms);
void pool_inherit_brittle(struct cw_server *server, int64_t now_ms); /* a new start of a server */
void pool_sweep_reports(struct cw_pool *pool, int64_t now_ms);

/* restored.c */
void pool_note_left(struct cw_server *server, int64_t now_ms); /* after a change of is_leaving */
void pool_note_departed(struct cw_pool *pool, const struct cw_server *server);
void pool_sweep_departed(struct cw_pool *pool, int64_t now_ms);
int pool_hold_if_superseded(struct cw_pool *pool, const struct cw_server_entry *entry,
			    int64_t now_ms); /* 1: held, as what is known may be newer */
void pool_free_restored(struct cw_pool *pool);

#endif
