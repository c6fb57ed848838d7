/*
 * Whether the target's streams go on slowly. Load lengthens the gaps between events of a good
 * version as much as slowness does, but never those of all its streams: some run beside few others
 * and are as quick as the quick ones of the old version. Of a version that is slow itself almost
 * none is, whatever the load. So the quick streams are counted, of all instances together, in an
 * entry of the evidence whose route stands for all routes.
 */
#include "rollout_internal.h"

#include <math.h>
#include <string.h>

#define ALL_ROUTES	0    /* as route of the entry: no route has this hash */
#define QUICK_IF_GOOD	0.15 /* least part of a good version's streams that are quick */
#define QUICK_IF_SLOW	0.02 /* of a slow version's streams */
#define GAPS_SLOW_LEVEL 5.0  /* log likelihood ratio: 35 streams, none of them quick */

/*
 * Counted until the target has passed: later it may be overloaded, as it serves all requests. The
 * old version's streams decide nothing here; earlier builds take the entry for a route's answers,
 * on which the old version then is as bad.
 */
void cw_rollouts_record_gap(struct cw_rollouts *rollouts, const struct cw_rollout_answer *answer,
			    int is_quick, int64_t now_ms)
{
	struct rollout *rollout = rollout_find(rollouts, answer->service);
	struct cw_rollout_evidence *kind;

	if (!rollout || rollout->state != CW_ROLLOUT_RUNNING || rollout->has_passed_trial ||
	    rollout_is_withdrawn(rollout, answer->software))
		return;
	rollout_decay_evidence(rollout, now_ms);
	kind = rollout_find_kind(rollout->kinds, &rollout->kind_count, ALL_ROUTES, 0);
	if (kind->route == ALL_ROUTES)
		rollout_count_answer(rollout, kind, answer, !is_quick);
}

int rollout_is_gap_evidence(const struct cw_rollout_evidence *kind)
{
	return kind->route == ALL_ROUTES;
}

struct rollout_sum rollout_sum_gaps(const struct cw_rollout_evidence *kinds, size_t count)
{
	struct rollout_sum sum = {0};

	for (size_t i = 0; i < count; i++) {
		if (!rollout_is_gap_evidence(&kinds[i]))
			continue;
		sum.answers += kinds[i].new_answers_long;
		sum.bad += kinds[i].new_bad_long;
	}
	sum.llr = sum.bad * log((1 - QUICK_IF_SLOW) / (1 - QUICK_IF_GOOD)) +
		  (sum.answers - sum.bad) * log(QUICK_IF_SLOW / QUICK_IF_GOOD);
	return sum;
}

int rollout_are_gaps_slow(const struct rollout *rollout)
{
	return rollout->gaps.llr > GAPS_SLOW_LEVEL;
}
