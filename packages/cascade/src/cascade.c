#include "cw_cascade.h"
#include "cw_hash.h"

#include <glib.h>
#include <math.h>
#include <string.h>

#define CONFIDENCE_Z  1.64 /* one-sided 95 in 100 */
#define RATED_MIN     20   /* ratings before a bound is believed */
#define SIGMA_MIN     0.02
#define EXPLORE_SHARE 0.02 /* of requests, for versions whose bound is still open */
#define EXPLORE_START                                                                              \
	0.25		    /* while a cheaper version has no bound at all: checked, so not shown  \
			     */
#define EXPLORE_UNSEEN 0.08 /* the same where no check is possible */
#define EXPLORE_LOSS   0.5  /* of quality, by an answer of an unknown version */
#define EXPLORE_LEAST  0.005
#define TOKENS_UNKNOWN 500.0
#define SCORE_BINS     20   /* histogram of ratings, for what a check would pass */
#define PASS_MARGIN    0.05 /* a checked answer passes a little below the target */
#define MEMORY	       2000 /* ratings remembered: older ones fade */

struct estimate {
	uint64_t key;
	double rated, sum, squares;
	double answers, tokens;
	double bins[SCORE_BINS];
	double bin_sums[SCORE_BINS];
};

struct cw_cascade {
	const struct cw_cascade_policy *policy;
	GHashTable *estimates;
};

static void plan_learned(const void *data, const struct cw_cascade_in *in, struct cw_plan *plan);
static void plan_costly(const void *data, const struct cw_cascade_in *in, struct cw_plan *plan);
static void plan_cheap(const void *data, const struct cw_cascade_in *in, struct cw_plan *plan);
static void add_rating(struct estimate *estimate, double score);
static void add_cost(struct estimate *estimate, double tokens);
static double affordable_share(const struct estimate *best, double target);
static uint64_t estimate_key(uint64_t task, uint64_t version);
static struct estimate *estimate_of(struct cw_cascade *cascade, uint64_t task, uint64_t version);
static const struct estimate *find(const struct cw_cascade *cascade, uint64_t task,
				   uint64_t version);
static const struct estimate *estimate_for(const struct cw_cascade *cascade,
					   const struct cw_cascade_in *in, size_t index);
static double lower_bound(const struct estimate *estimate);
static double mean(const struct estimate *estimate);
static double cost_of(const struct estimate *estimate, double cost_per_1k);
static double pass_share(const struct estimate *estimate, double threshold, double *mean_passed);
static size_t costliest(const struct cw_cascade_in *in);
static void consider_direct(const struct cw_cascade *cascade, const struct cw_cascade_in *in,
			    size_t index, struct cw_plan *best);
static void consider_checked(const struct cw_cascade *cascade, const struct cw_cascade_in *in,
			     size_t first, size_t then, struct cw_plan *best);
static int explore(const struct cw_cascade *cascade, const struct cw_cascade_in *in,
		   struct cw_plan *plan);

const struct cw_cascade_policy cw_cascade_learned = {"learned", plan_learned};
const struct cw_cascade_policy cw_cascade_costly = {"always_costly", plan_costly};
const struct cw_cascade_policy cw_cascade_cheap = {"always_cheap", plan_cheap};

const struct cw_cascade_policy *cw_cascade_policy_find(const char *name)
{
	static const struct cw_cascade_policy *const policies[] = {
		&cw_cascade_learned, &cw_cascade_costly, &cw_cascade_cheap};

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

uint64_t cw_cascade_task(const char *organisation, const char *task)
{
	return cw_hash_text(task, cw_hash_text(organisation, 6));
}

void cw_cascade_plan(const struct cw_cascade *cascade, const struct cw_cascade_in *in,
		     struct cw_plan *plan)
{
	memset(plan, 0, sizeof(*plan));
	cascade->policy->plan(cascade, in, plan);
}

void cw_cascade_rated(struct cw_cascade *cascade, uint64_t task, uint64_t common, uint64_t version,
		      double score)
{
	add_rating(estimate_of(cascade, task, version), score);
	add_rating(estimate_of(cascade, common, version), score);
}

void cw_cascade_cost(struct cw_cascade *cascade, uint64_t task, uint64_t common, uint64_t version,
		     double tokens)
{
	add_cost(estimate_of(cascade, task, version), tokens);
	add_cost(estimate_of(cascade, common, version), tokens);
}

int cw_cascade_falls_short(const struct cw_cascade_in *in, double score)
{
	return score < in->target - PASS_MARGIN;
}

double cw_cascade_sample_rate(const struct cw_cascade *cascade, uint64_t task, uint64_t version)
{
	const struct estimate *estimate = find(cascade, task, version);

	if (!estimate || estimate->rated < 2 * RATED_MIN)
		return 1;
	return estimate->rated < 10 * RATED_MIN ? 0.25 : 0.05;
}

static void add_rating(struct estimate *estimate, double score)
{
	int bin = (int)CLAMP(score * SCORE_BINS, 0, SCORE_BINS - 1);

	if (estimate->rated >= MEMORY) {
		double keep = (MEMORY - 1.0) / MEMORY;

		estimate->rated *= keep;
		estimate->sum *= keep;
		estimate->squares *= keep;
		for (int i = 0; i < SCORE_BINS; i++) {
			estimate->bins[i] *= keep;
			estimate->bin_sums[i] *= keep;
		}
	}
	estimate->rated += 1;
	estimate->sum += score;
	estimate->squares += score * score;
	estimate->bins[bin] += 1;
	estimate->bin_sums[bin] += score;
}

static void add_cost(struct estimate *estimate, double tokens)
{
	estimate->answers += 1;
	estimate->tokens += tokens;
}

static void plan_learned(const void *data, const struct cw_cascade_in *in, struct cw_plan *plan)
{
	const struct cw_cascade *cascade = data;
	size_t fallback = costliest(in);

	if (explore(cascade, in, plan))
		return;
	plan->first = fallback;
	plan->then = fallback;
	plan->expect_cost = INFINITY;
	for (size_t i = 0; i < in->count; i++)
		consider_direct(cascade, in, i, plan);
	if (!in->may_check)
		return;
	for (size_t i = 0; i < in->count; i++)
		for (size_t j = 0; j < in->count; j++)
			if (i != j && in->options[i].cost_per_1k < in->options[j].cost_per_1k)
				consider_checked(cascade, in, i, j, plan);
}

static void plan_costly(const void *data, const struct cw_cascade_in *in, struct cw_plan *plan)
{
	plan->first = costliest(in);
	plan->then = plan->first;
}

static void plan_cheap(const void *data, const struct cw_cascade_in *in, struct cw_plan *plan)
{
	for (size_t i = 1; i < in->count; i++)
		if (in->options[i].cost_per_1k < in->options[plan->first].cost_per_1k)
			plan->first = i;
	plan->then = plan->first;
}

/*
 * A version without enough ratings has no bound and would never be chosen. A small bounded share
 * goes to it: checked where that is possible, so that what falls short is not shown.
 */
static int explore(const struct cw_cascade *cascade, const struct cw_cascade_in *in,
		   struct cw_plan *plan)
{
	double draw = cw_hash_part(in->random);
	size_t top = costliest(in);
	size_t open[CW_MAX_VERSIONS];
	size_t count = 0;
	double share = EXPLORE_SHARE;

	for (size_t i = 0; i < in->count; i++) {
		const struct estimate *estimate = estimate_for(cascade, in, i);

		if (i == top)
			continue;
		if (!estimate || estimate->rated < RATED_MIN) {
			open[count++] = i;
			share = in->may_check ? EXPLORE_START : EXPLORE_UNSEEN;
		} else if (mean(estimate) >= in->target - 2 * PASS_MARGIN &&
			   lower_bound(estimate) < in->target) {
			open[count++] = i;
		}
	}
	if (!in->may_check)
		share = MIN(share, affordable_share(estimate_for(cascade, in, top), in->target));
	if (count == 0 || draw >= share)
		return 0;
	plan->first = open[in->random % count];
	plan->then = in->may_check ? top : plan->first;
	plan->check = in->may_check;
	plan->explores = 1;
	return 1;
}

/*
 * What is explored unchecked is shown, and may fall short by EXPLORE_LOSS: no larger share than the
 * best version's margin above the target pays for. A rare task would else stay below its target for
 * as long as it is being learned.
 */
static double affordable_share(const struct estimate *best, double target)
{
	double margin = best && best->rated >= RATED_MIN ? mean(best) - target : 0;

	return MAX(margin / EXPLORE_LOSS, EXPLORE_LEAST);
}

static void consider_direct(const struct cw_cascade *cascade, const struct cw_cascade_in *in,
			    size_t index, struct cw_plan *best)
{
	const struct estimate *estimate = estimate_for(cascade, in, index);
	double cost = cost_of(estimate, in->options[index].cost_per_1k);
	int is_fallback = index == costliest(in);

	/* The costliest stands in for "as good as it gets" until something is known to meet the
	 * target. */
	if (lower_bound(estimate) < in->target && !is_fallback)
		return;
	if (cost >= best->expect_cost)
		return;
	best->first = index;
	best->then = index;
	best->check = 0;
	best->expect_cost = cost;
	best->expect_quality = estimate ? mean(estimate) : 0;
}

static void consider_checked(const struct cw_cascade *cascade, const struct cw_cascade_in *in,
			     size_t first, size_t then, struct cw_plan *best)
{
	const struct estimate *cheap = estimate_for(cascade, in, first);
	const struct estimate *costly = estimate_for(cascade, in, then);
	double passed_mean;
	double passed;
	double cost;
	double quality;

	if (!cheap || cheap->rated < RATED_MIN)
		return;
	passed = pass_share(cheap, in->target - PASS_MARGIN, &passed_mean);
	cost = cost_of(cheap, in->options[first].cost_per_1k) +
	       (1 - passed) * cost_of(costly, in->options[then].cost_per_1k);
	quality = passed * passed_mean +
		  (1 - passed) * (costly && costly->rated >= RATED_MIN ? mean(costly) : in->target);
	if (quality < in->target || cost >= best->expect_cost)
		return;
	best->first = first;
	best->then = then;
	best->check = 1;
	best->expect_cost = cost;
	best->expect_quality = quality;
}

static uint64_t estimate_key(uint64_t task, uint64_t version)
{
	return cw_hash(&version, sizeof(version), task);
}

static struct estimate *estimate_of(struct cw_cascade *cascade, uint64_t task, uint64_t version)
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

static const struct estimate *find(const struct cw_cascade *cascade, uint64_t task,
				   uint64_t version)
{
	uint64_t key = estimate_key(task, version);

	return g_hash_table_lookup(cascade->estimates, &key);
}

/* The organisation's own ratings once there are enough; until then those of all organisations. */
static const struct estimate *estimate_for(const struct cw_cascade *cascade,
					   const struct cw_cascade_in *in, size_t index)
{
	const struct estimate *own = find(cascade, in->task, in->options[index].version);

	if (own && own->rated >= RATED_MIN)
		return own;
	return find(cascade, in->common, in->options[index].version);
}

static double lower_bound(const struct estimate *estimate)
{
	double variance;

	if (!estimate || estimate->rated < RATED_MIN)
		return 0;
	variance = MAX(estimate->squares / estimate->rated - mean(estimate) * mean(estimate),
		       SIGMA_MIN * SIGMA_MIN);
	return mean(estimate) - CONFIDENCE_Z * sqrt(variance / estimate->rated);
}

static double mean(const struct estimate *estimate)
{
	return estimate->rated > 0 ? estimate->sum / estimate->rated : 0;
}

static double cost_of(const struct estimate *estimate, double cost_per_1k)
{
	double tokens = estimate && estimate->answers > 0 ? estimate->tokens / estimate->answers
							  : TOKENS_UNKNOWN;

	return tokens * cost_per_1k / 1000;
}

static double pass_share(const struct estimate *estimate, double threshold, double *mean_passed)
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
	return passed / estimate->rated;
}

static size_t costliest(const struct cw_cascade_in *in)
{
	size_t best = 0;

	for (size_t i = 1; i < in->count; i++)
		if (in->options[i].cost_per_1k > in->options[best].cost_per_1k)
			best = i;
	return best;
}
