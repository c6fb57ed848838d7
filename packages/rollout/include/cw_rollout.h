/*
 * Moving a service's traffic from one version of its servers' software to another: a small constant
 * share of sessions first, then all in steps, or back at the first proof that the version is bad.
 * Sans-I/O: time and evidence come in, shares and verdicts go out.
 */
#ifndef CW_ROLLOUT_H
#define CW_ROLLOUT_H

#include "cw_config.h"

#include <stddef.h>
#include <stdint.h>

#define CW_ROLLOUT_MAX 16 /* services that are rolled out at a time */

/* An operator's order. */
struct cw_rollout_order {
	char service[CW_NAME_MAX];
	char target[CW_NAME_MAX]; /* version of the servers' software */
	int64_t duration_ms;
};

enum cw_rollout_state {
	CW_ROLLOUT_RUNNING,
	CW_ROLLOUT_DONE,
	CW_ROLLOUT_BACK, /* the version was found bad */
};

/* What is written down of it. */
struct cw_rollout_status {
	char service[CW_NAME_MAX];
	char target[CW_NAME_MAX];
	enum cw_rollout_state state;
};

/* Which servers a request may go to. */
enum cw_rollout_side {
	CW_ROLLOUT_ANY,
	CW_ROLLOUT_OLD, /* not the target */
	CW_ROLLOUT_NEW, /* only the target */
};

/* Answers of one version, counted by all instances together. */
struct cw_rollout_evidence {
	uint32_t answered;
	uint32_t bad; /* failed, or several times slower than the other version's */
};

struct cw_rollouts;

struct cw_rollouts *cw_rollouts_create(void);
void cw_rollouts_destroy(struct cw_rollouts *rollouts);
int cw_rollouts_order(struct cw_rollouts *rollouts, const struct cw_rollout_order *order,
		      uint64_t offset, int64_t now_ms); /* 1: news */
int cw_rollouts_told(struct cw_rollouts *rollouts,
		     const struct cw_rollout_status *status); /* as written down; 1: news */
const char *cw_rollouts_target(const struct cw_rollouts *rollouts,
			       const char *service); /* NULL: no roll-out */
enum cw_rollout_side cw_rollouts_side(struct cw_rollouts *rollouts, const char *service,
				      uint64_t session, int64_t now_ms);

#endif
