/*
 * Detects routes that fail on the target only. The target's failures of each second are compared
 * with the old version's failures in the same second and the one before, and the log likelihood
 * ratios are summed. A fault that briefly affects both versions, such as crashing servers, then
 * does not mask later failures. Over the whole time since the order such a fault would raise the
 * old version's failure rate, and a failing target would receive more requests than a trial
 * allows.
 */
#include "rollout_internal.h"

#include <string.h>

#define SECOND_MS		1000
#define PRIOR_WEIGHT		3.0 /* answers: weight of the rate since the order */
#define COMPARISON_LEVEL	6.0 /* log likelihood ratio: 19 answers, of which 30 % fail */
#define COMPARISON_MIN_FAILURES 3   /* failures */

static struct rollout_comparison *find_comparison(struct rollout *rollout, uint64_t route);
static double count_since(uint32_t before, uint32_t now);
static void close_second(struct rollout_comparison *comparison);
static double old_failure_rate(const struct rollout_comparison *comparison,
			       const struct rollout_second *second);

void rollout_compare_answer(struct rollout *rollout, const struct cw_rollout_answer *answer)
{
	struct cw_rollout_route *route =
		rollout_find_or_add_route(rollout->routes, &rollout->route_count, answer->route);
	struct rollout_comparison *comparison = find_comparison(rollout, answer->route);
	/* Slowness may come from a server's queue and is evaluated over a longer window. */
	int is_failed = answer->is_failure && !answer->is_slow;

	if (!route || !comparison)
		return;
	if (!strcmp(rollout->target, answer->software)) {
		route->new_answers++;
		route->new_failed += (uint32_t)is_failed;
		comparison->current.new_answers++;
		comparison->current.new_failed += is_failed;
	} else {
		route->old_answers++;
		route->old_failed += (uint32_t)is_failed;
		comparison->current.old_answers++;
		comparison->current.old_failed += is_failed;
	}
}

/*
 * Adds the peer's answers since its last announcement. A restarted peer counts from zero, and
 * its first announcement is only stored.
 */
void rollout_compare_peer(struct rollout *rollout, const struct rollout_peer *known,
			  const struct cw_rollout_announcement *update)
{
	static const struct cw_rollout_route none = {0};

	for (size_t i = 0; i < MIN(update->route_count, CW_ROLLOUT_MAX_ROUTES); i++) {
		const struct cw_rollout_route *announced = &update->routes[i];
		struct rollout_comparison *comparison = find_comparison(rollout, announced->route);
		const struct cw_rollout_route *before =
			rollout_lookup_route(known->routes, known->route_count, announced->route);

		if (!before)
			before = &none;
		if (!comparison || update->counted_ms < known->counted_ms)
			continue;
		comparison->current.old_answers +=
			count_since(before->old_answers, announced->old_answers);
		comparison->current.old_failed +=
			count_since(before->old_failed, announced->old_failed);
		comparison->current.new_answers +=
			count_since(before->new_answers, announced->new_answers);
		comparison->current.new_failed +=
			count_since(before->new_failed, announced->new_failed);
	}
}

int rollout_comparison_is_bad(struct rollout *rollout, int64_t now_ms)
{
	int is_bad = 0;

	if (now_ms - rollout->compared_ms < SECOND_MS)
		return 0;
	rollout->compared_ms = now_ms;
	for (size_t i = 0; i < rollout->comparison_count; i++) {
		struct rollout_comparison *comparison = &rollout->comparisons[i];

		close_second(comparison);
		is_bad |= comparison->llr > COMPARISON_LEVEL &&
			  comparison->failed >= COMPARISON_MIN_FAILURES;
	}
	return is_bad;
}

static struct rollout_comparison *find_comparison(struct rollout *rollout, uint64_t route)
{
	for (size_t i = 0; i < rollout->comparison_count; i++)
		if (rollout->comparisons[i].route == route)
			return &rollout->comparisons[i];
	if (rollout->comparison_count == CW_ROLLOUT_MAX_ROUTES)
		return NULL;
	rollout->comparisons[rollout->comparison_count] =
		(struct rollout_comparison){.route = route};
	return &rollout->comparisons[rollout->comparison_count++];
}

/* Announcements may be reordered: an older one contributes nothing. */
static double count_since(uint32_t before, uint32_t now)
{
	return now > before ? (double)(now - before) : 0;
}

/* The ratio restarts at zero when it becomes negative, so that a late regression is detected. */
static void close_second(struct rollout_comparison *comparison)
{
	double usual = MAX(old_failure_rate(comparison, &comparison->current),
			   old_failure_rate(comparison, &comparison->previous));

	comparison->llr += rollout_log_likelihood_ratio(comparison->current.new_answers,
							comparison->current.new_failed, usual);
	comparison->failed += comparison->current.new_failed;
	if (comparison->llr <= 0)
		comparison->llr = comparison->failed = 0;
	comparison->old_answers += comparison->current.old_answers;
	comparison->old_failed += comparison->current.old_failed;
	comparison->previous = comparison->current;
	comparison->current = (struct rollout_second){0};
}

static double old_failure_rate(const struct rollout_comparison *comparison,
			       const struct rollout_second *second)
{
	double usual = (comparison->old_failed + 0.5) / (comparison->old_answers + 10);

	return (second->old_failed + PRIOR_WEIGHT * usual) / (second->old_answers + PRIOR_WEIGHT);
}
