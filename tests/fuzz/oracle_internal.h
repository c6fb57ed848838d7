/* State and functions shared by the execution of a schedule and by the checks. */
#ifndef ORACLE_INTERNAL_H
#define ORACLE_INTERNAL_H

#include "world.h"

/* OUTAGE_MAX_MS stays well under the retention: a table that no instance could rewrite for a whole
 * retention period expires and is lost, by design. */
#define NODES		   3
#define MODEL_SERVERS	   3
#define SERVICES	   2
#define OPS_MAX		   60
#define SESSIONS	   4
#define IDEMPOTENCY_KEYS   3
#define VERSIONS	   3
#define RECOVERY_MS	   45000 /* from the end of all faults to the final checks */
#define EXPIRE_STEP_MS	   5000
#define DEADLINE_MS	   8000
#define GRACE_MS	   500 /* of a graceful stop, in which requests are still accepted */
#define RETENTION_MS	   60000
#define REPLACEMENT_MS	   4000 /* after which a crashed node is started again */
#define OUTAGE_MAX_MS	   10000 /* longest outage of the shared store, or of a node's access to it */
#define OUTAGE_GAP_MS	   15000 /* shortest time between two outages of the shared store */
#define LOSS_AGE_MS	   20000 /* a restore of the shared store goes back so far */
#define FIRST_RECORDS	   2	 /* of the table: what the operator published before the start */
#define LOSS_KNOWN_MS	   1500	 /* until connected instances have read all that is lost */
#define LOSS_WRITTEN_MS	   5000	 /* until what was lost is written again */
#define PROPAGATION_MAX_MS 6000	 /* until an instance that can read the log applies an edit */
#define ANSWER_SLACK_MS	   3000	 /* longest time from a request's deadline to its final answer */

struct edit { /* the oracle's own replay of the table: from which offset a version is allowed */
	uint64_t offset;
	int64_t at_ms;
	int version;
	int allowed;
};

struct session {
	char version[CW_NAME_MAX];
	char token[CW_TOKEN_MAX];
	uint64_t since;	  /* table offset at the first dispatch to this version */
	int64_t since_ms; /* time of that dispatch */
};

struct order {
	GPtrArray *requests;
};

struct mirror { /* a copy of a bill that was delivered to a peer */
	char id[CW_ID_MAX + CW_NAME_MAX];
	int node;
	unsigned int boot;
};

struct oracle {
	struct world *world;
	const char *violation;
	char text[256];
	struct edit edits[OPS_MAX + 8];
	size_t edit_count;
	int64_t connected_ms[NODES]; /* since when the node can read the log, -1: cannot */
	struct session sessions[SESSIONS];
	struct order orders[IDEMPOTENCY_KEYS];
	GArray *mirrors;
	uint8_t key[CW_KEY_BYTES];
	int64_t crashed_ms[NODES];
	int64_t outage_ms;
	int64_t cut_ms[NODES];
	int is_store_out;
	int losses;	   /* restores of the shared store so far */
	int is_table_lost; /* offsets from before and after the loss don't compare */
};

extern struct oracle oracle;

void oracle_check_final_state(void);
int oracle_allowed_at(int version, uint64_t offset);
void oracle_report_violation(const char *guarantee, const char *format, ...)
	__attribute__((format(printf, 2, 3)));
void oracle_on_dispatch(void *context, struct world *world, struct world_request *request,
			int index, const struct cw_effect *effect);
void oracle_on_end(void *context, struct world *world, struct world_request *request);
void oracle_on_peer(void *context, struct world *world, int to, const void *data, size_t size);

#endif
