/* Fixture of the roll-out tests: an order to move "llm" from v1 to v2 in 24 s. */
#ifndef ROLLOUT_BED_H
#define ROLLOUT_BED_H

#include "cw_rollout.h"
#include "unit.h"

#define ROLLOUT_SESSION_MS	   5000
#define ROLLOUT_DURATION_MS	   24000
#define ROLLOUT_LONG_RUNNING_ROUTE 5 /* its requests occupy a slot for long */
#define ROLLOUT_SHORT_PROMPT_ROUTE 6 /* its requests have short prompts */

extern const struct cw_rollout_options rollout_fixture_options;
extern const struct cw_rollout_order rollout_fixture_order;

struct cw_rollouts *rollout_fixture_start(int64_t now_ms);
uint64_t rollout_fixture_session(int number);
enum cw_rollout_variant rollout_fixture_variant(struct cw_rollouts *rollouts, uint64_t session,
						int64_t now_ms);
double rollout_fixture_share_of(struct cw_rollouts *rollouts, uint64_t route,
				int64_t now_ms); /* of sessions on the target */
double rollout_fixture_share(struct cw_rollouts *rollouts,
			     int64_t now_ms); /* of a route without a load kind */
void rollout_fixture_receive(struct cw_rollouts *rollouts, uint64_t route, uint32_t kinds,
			     int count);
void rollout_fixture_answer_kind(struct cw_rollouts *rollouts, struct cw_rollout_answer kind,
				 int good, int bad, int64_t now_ms);
void rollout_fixture_answer(struct cw_rollouts *rollouts, const char *software, int good, int bad,
			    int64_t now_ms);
void rollout_fixture_pass_trial(struct cw_rollouts *rollouts,
				int64_t now_ms); /* the target passes its trial under load */
size_t rollout_fixture_evaluate(struct cw_rollouts *rollouts, int64_t now_ms,
				enum cw_rollout_state *state);

#endif
