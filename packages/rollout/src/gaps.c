/*
 * Whether the target's streams go on slowly. Load lengthens the gaps between events of a good
 * version as much as slowness does, but some of its streams run beside few others and are as quick
 * as the quick ones of the old version, at least as many as of the old version at the same time.
 * Of a version that is slow itself almost none is. So the quick streams of both are counted, of all
 * instances together, in an entry of the evidence whose route stands for all routes.
 */
#include "rollout_internal.h"

#include <math.h>
#include <string.h>

#define ALL_ROUTES	0    /* as route of the entry: no route has this hash */
#define QUICK_MOST	0.15 /* expected at most of a good version's streams, */
#define QUICK_LEAST	0.08 /* and at least: its servers are no fuller than the old version's */
#define SLOW_PART	0.07 /* of the quick streams of a good version: so many has a slow one */
#define PRIOR_QUICK	1.0  /* streams of the old version that are taken as seen before any, */
#define PRIOR_STREAMS	7.0  /* of so many */
#define GAPS_SLOW_LEVEL 5.0  /* log likelihood ratio: 33 to 64 streams, none of them quick */

static double expected_part(double old_quick, double old_streams);

/*
 * Counted until the target has passed: later it may be overloaded, as it serves all requests.
 * Earlier builds take the entry for a route's answers, on which the old version then is as bad.
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
	double old_streams = 0;
	double old_quick = 0;
	double if_good, if_slow;

	for (size_t i = 0; i < count; i++) {
		if (!rollout_is_gap_evidence(&kinds[i]))
			continue;
		sum.answers += kinds[i].new_answers_long;
		sum.bad += kinds[i].new_bad_long;
		old_streams += kinds[i].old_answers_long;
		old_quick += kinds[i].old_answers_long - kinds[i].old_bad_long;
	}
	if_good = expected_part(old_quick, old_streams);
	if_slow = if_good * SLOW_PART;
	sum.llr = sum.bad * log((1 - if_slow) / (1 - if_good)) +
		  (sum.answers - sum.bad) * log(SLOW_PART);
	return sum;
}

/* Of a good version's streams that are quick, by those of the old version. */
static double expected_part(double old_quick, double old_streams)
{
	double part = (old_quick + PRIOR_QUICK) / (old_streams + PRIOR_STREAMS);

	return CLAMP(part, QUICK_LEAST, QUICK_MOST);
}

int rollout_are_gaps_slow(const struct rollout *rollout)
{
	return rollout->gaps.llr > GAPS_SLOW_LEVEL;
}
