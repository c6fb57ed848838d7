/* What the tests of roll-outs start from: "llm" is to move from v1 to v2 in 24 s. */
#ifndef ROLLOUT_BED_H
#define ROLLOUT_BED_H

#include "cw_rollout.h"
#include "unit.h"

#define BED_SESSION_MS	  5000
#define BED_DURATION_MS	  24000
#define BED_FILLING_ROUTE 5 /* its requests take a slot for long */
#define BED_LIGHT_ROUTE	  6 /* its requests have little to read */

extern const struct cw_rollout_options bed_options;
extern const struct cw_rollout_order bed_order;

struct cw_rollouts *bed_begun(int64_t now_ms);
uint64_t bed_session(int number);
enum cw_rollout_arm bed_arm(struct cw_rollouts *rollouts, uint64_t session, int64_t now_ms);
double bed_share_of(struct cw_rollouts *rollouts, uint64_t route,
		    int64_t now_ms);				/* of sessions on the target */
double bed_share(struct cw_rollouts *rollouts, int64_t now_ms); /* of a route of neither kind */
void bed_come(struct cw_rollouts *rollouts, uint64_t route, uint32_t kinds, int count);
void bed_answer_of(struct cw_rollouts *rollouts, struct cw_rollout_answer kind, int good, int bad,
		   int64_t now_ms);
void bed_answers(struct cw_rollouts *rollouts, const char *software, int good, int bad,
		 int64_t now_ms);
void bed_prove(struct cw_rollouts *rollouts,
	       int64_t now_ms); /* the target stands its trial: what makes it fit for all */
size_t bed_judge(struct cw_rollouts *rollouts, int64_t now_ms, enum cw_rollout_state *state);

#endif
