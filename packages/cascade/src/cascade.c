#include "cw_cascade.h"
#include "cw_hash.h"

#include <glib.h>
#include <math.h>
#include <string.h>

#define CONFIDENCE_Z  1.64 /* one-sided 95 % bound */
#define RATINGS_MIN   20   /* ratings before a bound is used */
#define STDDEV_MIN    0.02
#define EXPLORE_SHARE 0.02 /* of requests, for versions whose bound is below the target */
#define EXPLORE_CHECKED_SHARE                                                                      \
	0.25 /* of requests while a version lacks ratings; checked before being shown */
#define EXPLORE_UNCHECKED_SHARE 0.08  /* the same where answers can't be checked */
#define EXPLORE_LOSS		0.5   /* assumed quality loss of an answer of an unrated version */
#define EXPLORE_SHARE_MIN	0.005 /* of requests: minimum of unchecked exploration */
#define DEFAULT_TOKENS		500.0 /* tokens per answer before any was counted */
#define SCORE_BINS		20 /* of the histogram of ratings, which gives the share that passes */
#define PASS_MARGIN		0.05 /* a checked answer passes down to this far below the target */
#define RATINGS_MEMORY		2000 /* effective number of ratings: older ones decay */

struct estimate {
	uint64_t key;
	double ratings, sum, sum_squares;
	double answers, tokens;
	double bins[SCORE_BINS];
	double bin_sums[SCORE_BINS];
};

struct cw_cascade {
	const struct cw_cascade_policy *policy;
	GHashTable *estimates;
};

static void plan_learned(const void *data, const struct cw_cascade_request *in,
			 struct cw_plan *plan);
static void plan_costly(const void *data, const struct cw_cascade_request *in,
			struct cw_plan *plan);
static void plan_cheap(const void *data, const struct cw_cascade_request *in, struct cw_plan *plan);
static void add_rating(struct estimate *estimate, double score);
static void add_cost(struct estimate *estimate, double tokens);
static double max_unchecked_share(const struct estimate *best, double target);
static uint64_t estimate_key(uint64_t task, uint64_t version);
static struct estimate *get_or_create_estimate(struct cw_cascade *cascade, uint64_t task,
					       uint64_t version);
static const struct estimate *find_estimate(const struct cw_cascade *cascade, uint64_t task,
					    uint64_t version);
static const struct estimate *find_usable_estimate(const struct cw_cascade *cascade,
						   const struct cw_cascade_request *in,
						   size_t index);
static double lower_bound(const struct estimate *estimate);
static double mean(const struct estimate *estimate);
static double mean_answer_cost(const struct estimate *estimate, double cost_per_1k);
static double expected_pass_share(const struct estimate *estimate, double threshold,
				  double *mean_passed);
static size_t find_costliest(const struct cw_cascade_request *in);
static void consider_direct_plan(const struct cw_cascade *cascade,
				 const struct cw_cascade_request *in, size_t index,
				 struct cw_plan *best);
static void consider_checked_plan(const struct cw_cascade *cascade,
				  const struct cw_cascade_request *in, size_t first,
				  size_t escalate_to, struct cw_plan *best);
static int plan_exploration(const struct cw_cascade *cascade, const struct cw_cascade_request *in,
			    struct cw_plan *plan);

const struct cw_cascade_policy cw_cascade_learned = {"learned", plan_learned};
const struct cw_cascade_policy cw_cascade_always_costliest = {"always_costly", plan_costly};
const struct cw_cascade_policy cw_cascade_always_cheapest = {"always_cheap", plan_cheap};

const struct cw_cascade_policy *cw_cascade_policy_find(const char *name)
{
	static const struct cw_cascade_policy *const policies[] = {
		&cw_cascade_learned, &cw_cascade_always_costliest, &cw_cascade_always_cheapest};

	for (size_t i = 0; i < G_N_ELEMENTS(policies); i++)
		if (!strcmp(policies[i]->name, name))
			return policies[i];
	return NULL;
}

struct cw_cascade *cw_cascade_create(const struct cw_cascade_policy *policy)
{
	struct cw_cascade *cascade = g_new0(struct cw_cascade, 1);

	cascade->policy = policy;
	cascade->estimates = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
	return cascade;
}

void cw_cascade_destroy(struct cw_cascade *cascade)
{
	if (!cascade)
		return;
	g_hash_table_destroy(cascade->estimates);
	g_free(cascade);
}

uint64_t cw_cascade_task_key(const char *organisation, const char *task)
{
	return cw_hash_text(task, cw_hash_text(organisation, 6));
}

void cw_cascade_plan(const struct cw_cascade *cascade, const struct cw_cascade_request *in,
		     struct cw_plan *plan)
{
	memset(plan, 0, sizeof(*plan));
	cascade->policy->plan(cascade, in, plan);
}

void cw_cascade_add_rating(struct cw_cascade *cascade, uint64_t task, uint64_t common,
			   uint64_t version, double score)
{
	add_rating(get_or_create_estimate(cascade, task, version), score);
	add_rating(get_or_create_estimate(cascade, common, version), score);
}

void cw_cascade_add_cost(struct cw_cascade *cascade, uint64_t task, uint64_t common,
			 uint64_t version, double tokens)
{
	add_cost(get_or_create_estimate(cascade, task, version), tokens);
	add_cost(get_or_create_estimate(cascade, common, version), tokens);
}

int cw_cascade_should_escalate(const struct cw_cascade_request *in, double score)
{
	return score < in->target - PASS_MARGIN;
}

double cw_cascade_sample_rate(const struct cw_cascade *cascade, uint64_t task, uint64_t version)
{
	const struct estimate *estimate = find_estimate(cascade, task, version);

	if (!estimate || estimate->ratings < 2 * RATINGS_MIN)
		return 1;
	return estimate->ratings < 10 * RATINGS_MIN ? 0.25 : 0.05;
}

static void add_rating(struct estimate *estimate, double score)
{
	int bin = (int)CLAMP(score * SCORE_BINS, 0, SCORE_BINS - 1);

	if (estimate->ratings >= RATINGS_MEMORY) {
		double keep = (RATINGS_MEMORY - 1.0) / RATINGS_MEMORY;

		estimate->ratings *= keep;
		estimate->sum *= keep;
		estimate->sum_squares *= keep;
		for (int i = 0; i < SCORE_BINS; i++) {
			estimate->bins[i] *= keep;
			estimate->bin_sums[i] *= keep;
		}
	}
	estimate->ratings += 1;
	estimate->sum += score;
	estimate->sum_squares += score * score;
	estimate->bins[bin] += 1;
	estimate->bin_sums[bin] += score;
}

static void add_cost(struct estimate *estimate, double tokens)
{
	estimate->answers += 1;
	estimate->tokens += tokens;
}

static void plan_learned(const void *data, const struct cw_cascade_request *in,
			 struct cw_plan *plan)
{
	const struct cw_cascade *cascade = data;
	size_t fallback = find_costliest(in);

	if (plan_exploration(cascade, in, plan))
		return;
	plan->first = fallback;
	plan->escalate_to = fallback;
	plan->expected_cost = INFINITY;
	for (size_t i = 0; i < in->count; i++)
		consider_direct_plan(cascade, in, i, plan);
	if (!in->can_check)
		return;
	for (size_t i = 0; i < in->count; i++)
		for (size_t j = 0; j < in->count; j++)
			if (i != j && in->options[i].cost_per_1k < in->options[j].cost_per_1k)
				consider_checked_plan(cascade, in, i, j, plan);
}

static void plan_costly(const void *data, const struct cw_cascade_request *in, struct cw_plan *plan)
{
	plan->first = find_costliest(in);
	plan->escalate_to = plan->first;
}

static void plan_cheap(const void *data, const struct cw_cascade_request *in, struct cw_plan *plan)
{
	for (size_t i = 1; i < in->count; i++)
		if (in->options[i].cost_per_1k < in->options[plan->first].cost_per_1k)
			plan->first = i;
	plan->escalate_to = plan->first;
}

/*
 * A version without enough ratings has no bound and would never be chosen, so a small bounded share
 * of requests explores it. Where possible its answers are checked, and poor ones are replaced.
 */
static int plan_exploration(const struct cw_cascade *cascade, const struct cw_cascade_request *in,
			    struct cw_plan *plan)
{
	double draw = cw_hash_to_fraction(in->random);
	size_t top = find_costliest(in);
	size_t candidates[CW_MAX_VERSIONS];
	size_t count = 0;
	double share = EXPLORE_SHARE;

	for (size_t i = 0; i < in->count; i++) {
		const struct estimate *estimate = find_usable_estimate(cascade, in, i);

		if (i == top)
			continue;
		if (!estimate || estimate->ratings < RATINGS_MIN) {
			candidates[count++] = i;
			share = in->can_check ? EXPLORE_CHECKED_SHARE : EXPLORE_UNCHECKED_SHARE;
		} else if (mean(estimate) >= in->target - 2 * PASS_MARGIN &&
			   lower_bound(estimate) < in->target) {
			candidates[count++] = i;
		}
	}
	if (!in->can_check)
		share = MIN(share, max_unchecked_share(find_usable_estimate(cascade, in, top),
						       in->target));
	if (count == 0 || draw >= share)
		return 0;
	plan->first = candidates[in->random % count];
	plan->escalate_to = in->can_check ? top : plan->first;
	plan->is_checked = in->can_check;
	plan->is_exploration = 1;
	return 1;
}

/*
 * Unchecked answers are shown and may miss the target by EXPLORE_LOSS. Their share is limited to
 * what the best version's margin above the target makes up for; otherwise a rare task would stay
 * below its target for as long as it is being learned.
 */
static double max_unchecked_share(const struct estimate *best, double target)
{
	double margin = best && best->ratings >= RATINGS_MIN ? mean(best) - target : 0;

	return MAX(margin / EXPLORE_LOSS, EXPLORE_SHARE_MIN);
}

static void consider_direct_plan(const struct cw_cascade *cascade,
				 const struct cw_cascade_request *in, size_t index,
				 struct cw_plan *best)
{
	const struct estimate *estimate = find_usable_estimate(cascade, in, index);
	double cost = mean_answer_cost(estimate, in->options[index].cost_per_1k);
	int is_fallback = index == find_costliest(in);

	/* The costliest version is the fallback until one is known to meet the target. */
	if (lower_bound(estimate) < in->target && !is_fallback)
		return;
	if (cost >= best->expected_cost)
		return;
	best->first = index;
	best->escalate_to = index;
	best->is_checked = 0;
	best->expected_cost = cost;
	best->expected_quality = estimate ? mean(estimate) : 0;
}

static void consider_checked_plan(const struct cw_cascade *cascade,
				  const struct cw_cascade_request *in, size_t first,
				  size_t escalate_to, struct cw_plan *best)
{
	const struct estimate *cheap = find_usable_estimate(cascade, in, first);
	const struct estimate *costly = find_usable_estimate(cascade, in, escalate_to);
	double passed_mean;
	double passed;
	double cost;
	double quality;

	if (!cheap || cheap->ratings < RATINGS_MIN)
		return;
	passed = expected_pass_share(cheap, in->target - PASS_MARGIN, &passed_mean);
	cost = mean_answer_cost(cheap, in->options[first].cost_per_1k) +
	       (1 - passed) * mean_answer_cost(costly, in->options[escalate_to].cost_per_1k);
	quality = passed * passed_mean +
		  (1 - passed) *
			  (costly && costly->ratings >= RATINGS_MIN ? mean(costly) : in->target);
	if (quality < in->target || cost >= best->expected_cost)
		return;
	best->first = first;
	best->escalate_to = escalate_to;
	best->is_checked = 1;
	best->expected_cost = cost;
	best->expected_quality = quality;
}

static uint64_t estimate_key(uint64_t task, uint64_t version)
{
	return cw_hash(&version, sizeof(version), task);
}

static struct estimate *get_or_create_estimate(struct cw_cascade *cascade, uint64_t task,
					       uint64_t version)
{
	uint64_t key = estimate_key(task, version);
	struct estimate *estimate = g_hash_table_lookup(cascade->estimates, &key);

	if (!estimate) {
		estimate = g_new0(struct estimate, 1);
		estimate->key = key;
		g_hash_table_insert(cascade->estimates, &estimate->key, estimate);
	}
	return estimate;
}

static const struct estimate *find_estimate(const struct cw_cascade *cascade, uint64_t task,
					    uint64_t version)
{
	uint64_t key = estimate_key(task, version);

	return g_hash_table_lookup(cascade->estimates, &key);
}

/* The organisation's own ratings if there are enough, otherwise those of all organisations. */
static const struct estimate *find_usable_estimate(const struct cw_cascade *cascade,
						   const struct cw_cascade_request *in,
						   size_t index)
{
	const struct estimate *own = find_estimate(cascade, in->task, in->options[index].version);

	if (own && own->ratings >= RATINGS_MIN)
		return own;
	return find_estimate(cascade, in->common, in->options[index].version);
}

static double lower_bound(const struct estimate *estimate)
{
	double variance;

	if (!estimate || estimate->ratings < RATINGS_MIN)
		return 0;
	variance = MAX(estimate->sum_squares / estimate->ratings - mean(estimate) * mean(estimate),
		       STDDEV_MIN * STDDEV_MIN);
	return mean(estimate) - CONFIDENCE_Z * sqrt(variance / estimate->ratings);
}

static double mean(const struct estimate *estimate)
{
	return estimate->ratings > 0 ? estimate->sum / estimate->ratings : 0;
}

static double mean_answer_cost(const struct estimate *estimate, double cost_per_1k)
{
	double tokens = estimate && estimate->answers > 0 ? estimate->tokens / estimate->answers
							  : DEFAULT_TOKENS;

	return tokens * cost_per_1k / 1000;
}

static double expected_pass_share(const struct estimate *estimate, double threshold,
				  double *mean_passed)
{
	double passed = 0;
	double sum = 0;

	for (int i = 0; i < SCORE_BINS; i++) {
		if (estimate->bins[i] <= 0 || estimate->bin_sums[i] / estimate->bins[i] < threshold)
			continue;
		passed += estimate->bins[i];
		sum += estimate->bin_sums[i];
	}
	*mean_passed = passed > 0 ? sum / passed : 0;
	return passed / estimate->ratings;
}

static size_t find_costliest(const struct cw_cascade_request *in)
{
	size_t best = 0;

	for (size_t i = 1; i < in->count; i++)
		if (in->options[i].cost_per_1k > in->options[best].cost_per_1k)
			best = i;
	return best;
}
