/* What the schedule's player and the checks share. */
#ifndef ORACLE_INTERNAL_H
#define ORACLE_INTERNAL_H

#include "world.h"

/* OUTAGE_MAX_MS is well under the retention: a table that nobody could write anew for all of it is
 * lost by design. */
#define NODES	       3
#define ENGINES	       3
#define SERVICES       2
#define OPS_MAX	       60
#define SESSIONS       4
#define KEYS	       3
#define VERSIONS       3
#define HEAL_MS	       45000 /* within that all must have come right again */
#define EXPIRE_STEP_MS 5000
#define DEADLINE_MS    8000
#define GRACE_MS       500
#define RETENTION_MS   60000
#define REPLACED_MS    4000 /* the platform replaces what died */
#define OUTAGE_MAX_MS  10000
#define OUTAGE_GAP_MS  15000
#define IN_FORCE_MS    6000 /* an accepted edit, on an instance that can learn of it */
#define HANG_MS	       3000 /* beyond a request's deadline */

struct edit { /* the oracle's own fold: when each version was allowed */
	uint64_t offset;
	int64_t at_ms;
	int version;
	int allowed;
};

struct session {
	char version[CW_NAME_MAX];
	char token[CW_TOKEN_MAX];
	uint64_t since; /* table offset at which its version was first seen */
};

struct order {
	GPtrArray *requests;
};

struct mirror { /* a bill that reached a peer */
	char id[CW_ID_MAX + CW_NAME_MAX];
	int node;
	unsigned int boot;
};

struct oracle {
	struct world *world;
	const char *broken;
	char text[256];
	struct edit edits[OPS_MAX + 8];
	size_t edit_count;
	int64_t connected_ms[NODES]; /* since when it has been able to learn of edits; -1: it is not
				      */
	struct session sessions[SESSIONS];
	struct order orders[KEYS];
	GArray *mirrors;
	uint8_t key[CW_KEY_BYTES];
	int64_t crashed_ms[NODES];
	int64_t outage_ms;
	int64_t cut_ms[NODES];
	int platform_trouble;
};

extern struct oracle oracle;

void oracle_check_at_end(void);
int oracle_allowed_at(int version, uint64_t offset);
void oracle_broke(const char *promise, const char *format, ...)
	__attribute__((format(printf, 2, 3)));
void oracle_on_dispatch(void *context, struct world *world, struct world_request *request,
			int index, const struct cw_effect *effect);
void oracle_on_end(void *context, struct world *world, struct world_request *request);
void oracle_on_peer(void *context, struct world *world, int to, const void *data, size_t size);

#endif
