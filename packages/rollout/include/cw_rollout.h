/*
 * Moving a service's traffic from one version of its servers' software to another: a small constant
 * share of sessions in the first half of the time ordered, then all in steps, or back at the first
 * proof that the version is bad. Sans-I/O: time, answers and peers' news come in; sides, verdicts
 * and news for peers go out.
 */
#ifndef CW_ROLLOUT_H
#define CW_ROLLOUT_H

#include "cw_config.h"

#include <stddef.h>
#include <stdint.h>

#define CW_ROLLOUT_ROUTES   8  /* routes of one service whose answers are told apart */
#define CW_ROLLOUT_SESSIONS 96 /* sessions told to peers, about 5 s of a share of a tenth */

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

/* Answers of one route by the two versions; older ones count less and less. */
struct cw_rollout_evidence {
	uint64_t route;
	float old_answers, old_bad;
	float new_answers, new_bad;
};

/* A session that a server of the old version served. */
struct cw_rollout_session {
	uint64_t session;
	uint32_t age_ms;
};

/* What one instance tells the others of one roll-out. */
struct cw_rollout_news {
	char service[CW_NAME_MAX];
	char target[CW_NAME_MAX];
	uint64_t offset; /* of the order's record */
	int64_t elapsed_ms;
	int64_t duration_ms;
	enum cw_rollout_state state;
	int is_written;
	size_t route_count;
	struct cw_rollout_evidence routes[CW_ROLLOUT_ROUTES];
	size_t session_count;
	struct cw_rollout_session sessions[CW_ROLLOUT_SESSIONS];
};

struct cw_rollouts;

struct cw_rollouts *cw_rollouts_create(int64_t session_ms);
void cw_rollouts_destroy(struct cw_rollouts *rollouts);
int cw_rollouts_order(struct cw_rollouts *rollouts, const struct cw_rollout_order *order,
		      uint64_t offset, int64_t now_ms); /* 1: news */
int cw_rollouts_told(struct cw_rollouts *rollouts,
		     const struct cw_rollout_status *status); /* as written down; 1: news */
int cw_rollouts_is_bad(const struct cw_rollouts *rollouts,
		       const char *service); /* its target was taken back */
const char *cw_rollouts_target(const struct cw_rollouts *rollouts,
			       const char *service); /* NULL: no roll-out */
enum cw_rollout_side cw_rollouts_side(struct cw_rollouts *rollouts, const char *service,
				      uint64_t session, int64_t now_ms);
void cw_rollouts_used(struct cw_rollouts *rollouts, const char *service, uint64_t session,
		      const char *software, int64_t now_ms); /* a request went to this version */
void cw_rollouts_asked(struct cw_rollouts *rollouts, const char *service, uint64_t session,
		       int64_t asked_ms,
		       int64_t now_ms); /* a caller that has waited since asked_ms is here */
void cw_rollouts_answered(struct cw_rollouts *rollouts, const char *service, uint64_t route,
			  const char *software, int is_bad, int64_t now_ms);
void cw_rollouts_spoiled(struct cw_rollouts *rollouts, const char *service, uint64_t route,
			 const char *software,
			 int64_t now_ms); /* an answer counted as good turned out bad */
double cw_rollouts_share(const struct cw_rollouts *rollouts, const char *service,
			 int64_t now_ms); /* of sessions that the target gets */
size_t cw_rollouts_judge(struct cw_rollouts *rollouts, int64_t now_ms,
			 struct cw_rollout_status *verdicts,
			 size_t max); /* decided, and not known to be written */
int cw_rollouts_is_starting(const struct cw_rollouts *rollouts,
			    int64_t now_ms); /* peers' sessions are needed at once */
size_t cw_rollouts_tell(struct cw_rollouts *rollouts, int64_t now_ms, struct cw_rollout_news *news,
			size_t max);
int cw_rollouts_hear(struct cw_rollouts *rollouts, uint64_t instance,
		     const struct cw_rollout_news *news, int64_t now_ms); /* 1: its state changed */

#endif
