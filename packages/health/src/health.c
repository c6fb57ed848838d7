#include "cw_health.h"
#include "cw_hash.h"

#include <glib.h>
#include <math.h>
#include <string.h>

#define PRIOR_GOOD	  97.0 /* prior good answers of a version without history */
#define PRIOR_BAD	  1.0  /* prior bad answers of such a version */
#define FAILURE_RATE_MIN  0.01
#define FAILURE_RATE_STEP 0.08 /* rise of the failure rate that trips a version */
/* A second test is quicker for a version that fails half its requests. */
#define FAILURE_RATE_OUTRIGHT 0.5
#define SLOW_RATE_STEP	      0.3
#define SLOW_RATE_MIN	      0.05
#define SLOW_FACTOR	      3.0 /* times the usual time to first token */
#define SLOW_SLACK_MS	      50.0
#define LENGTH_CLASSES	      16 /* prompt length classes, each twice as long as the one before */
/* High, so that the sibling follows a load peak common to all versions. */
#define FIRST_TOKEN_SMOOTHING 0.2
#define RATINGS_MIN	      20 /* ratings in the history before ratings can trip a version */
#define RATING_STEP	      0.8 /* drop of the mean rating that trips a version, in standard deviations */
#define RATING_SIGMA_MIN      0.05
#define RATING_CLAMP	      2.0 /* a single rating counts for at most this many standard deviations */
/* Log likelihood ratio; a good version trips at most once in e^16 = 9 million answers. */
#define TRIP_LLR	   16.0
#define BACKOFF_FIRST_MS   20000
#define BACKOFF_MAX_MS	   600000
#define PROBE_STEP_MS	   5000 /* the share of a probing version grows once per step */
#define OWN_WINDOW_ANSWERS 10
#define OWN_BAD_ANSWERS	   5
#define OWN_RATING_MIN	   0.6
#define OWN_SLOW_MS	   1000.0

struct health_version {
	uint64_t version;
	uint64_t model;
	struct cw_health_evidence own;
	GHashTable *peers; /* instance -> struct peer_totals */
	double good, bad;  /* pooled history, for the baseline */
	double slow;
	double rated, rating_sum, rating_squares;
	double failure_cusum, outright_cusum, slow_cusum, rating_cusum;
	double first_ms[LENGTH_CLASSES]; /* smoothed per class, since the time to first token
					    depends on the prompt length */
	double baseline_failure_rate, baseline_slow_rate;
	enum cw_health_state state;
	int64_t since_ms;
	int64_t backoff_ms;
	unsigned int recent; /* this instance's newest answers, one bit each, 1: bad */
	unsigned int recent_count;
};

struct peer_totals {
	uint64_t boot;
	struct cw_health_evidence last; /* totals of the newest message */
};

struct cw_health {
	const struct cw_health_policy *policy;
	GHashTable *versions;
};

static int pooled_is_bad(const void *version);
static int own_is_bad(const void *version);
static struct health_version *find_or_add_version(struct cw_health *health, uint64_t version);
static void version_destroy(gpointer data);
static void add_recent(struct health_version *version, int bad);
static void update_failure_tests(struct cw_health *health, struct health_version *version,
				 double good, double bad, double slow);
static void update_rating_test(struct cw_health *health, struct health_version *version,
			       double count, double sum, double squares);
static int trip_if_bad(struct cw_health *health, struct health_version *version, int64_t now_ms);
static void set_baselines(struct cw_health *health, struct health_version *version);
static const struct health_version *find_best_sibling(const struct cw_health *health,
						      const struct health_version *version);
static double update_cusum(double level, double good, double bad, double baseline_rate,
			   double faulty_rate);
static int is_slow(struct cw_health *health, struct health_version *version, double first_ms,
		   unsigned int length);
static unsigned int length_class(unsigned int prompt_tokens);
static void advance_state(struct health_version *version, int64_t now_ms);
static void reset_tests(struct health_version *version);

const struct cw_health_policy cw_health_pooled_cusum = {"pooled_cusum", 1, pooled_is_bad};
const struct cw_health_policy cw_health_own_threshold = {"own_threshold", 0, own_is_bad};

const struct cw_health_policy *cw_health_policy_find(const char *name)
{
	if (!strcmp(name, cw_health_pooled_cusum.name))
		return &cw_health_pooled_cusum;
	return strcmp(name, cw_health_own_threshold.name) ? NULL : &cw_health_own_threshold;
}

struct cw_health *cw_health_create(const struct cw_health_policy *policy)
{
	struct cw_health *health = g_new0(struct cw_health, 1);

	health->policy = policy;
	health->versions =
		g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, version_destroy);
	return health;
}

void cw_health_destroy(struct cw_health *health)
{
	if (!health)
		return;
	g_hash_table_destroy(health->versions);
	g_free(health);
}

void cw_health_set_model(struct cw_health *health, uint64_t version, uint64_t model)
{
	find_or_add_version(health, version)->model = model;
}

int cw_health_add_answer(struct cw_health *health, uint64_t id, int good, double first_ms,
			 unsigned int prompt_tokens, int64_t now_ms)
{
	struct health_version *version = find_or_add_version(health, id);
	int slow = good && is_slow(health, version, first_ms, length_class(prompt_tokens));

	version->own.good += good != 0;
	version->own.bad += good == 0;
	version->own.slow += slow;
	add_recent(version, !good || first_ms > OWN_SLOW_MS);
	update_failure_tests(health, version, good, !good, slow);
	return trip_if_bad(health, version, now_ms);
}

int cw_health_add_rating(struct cw_health *health, uint64_t id, double score, int64_t now_ms)
{
	struct health_version *version = find_or_add_version(health, id);

	if (score < OWN_RATING_MIN)
		add_recent(version, 1);
	version->own.rated++;
	version->own.rating_sum += score;
	version->own.rating_squares += score * score;
	update_rating_test(health, version, 1, score, score * score);
	return trip_if_bad(health, version, now_ms);
}

int cw_health_merge_evidence(struct cw_health *health, uint64_t instance, uint64_t boot,
			     const struct cw_health_evidence *evidence, int64_t now_ms)
{
	struct health_version *version = find_or_add_version(health, evidence->version);
	struct peer_totals *totals = g_hash_table_lookup(version->peers, &instance);
	struct cw_health_evidence *last;
	uint64_t *key;

	if (!health->policy->pooled)
		return 0;
	if (!totals) {
		totals = g_new0(struct peer_totals, 1);
		key = g_new(uint64_t, 1);
		*key = instance;
		totals->boot = boot;
		g_hash_table_insert(version->peers, key, totals);
	}
	last = &totals->last;
	if (totals->boot != boot) {
		/* A restarted instance counts from zero, so its old totals no longer apply. */
		totals->boot = boot;
		memset(last, 0, sizeof(*last));
	}
	/* Totals only grow, so reordered and duplicate messages add nothing. */
	if (evidence->good + evidence->bad < last->good + last->bad ||
	    evidence->rated < last->rated)
		return 0;
	update_failure_tests(health, version, evidence->good - last->good,
			     evidence->bad - last->bad,
			     evidence->slow > last->slow ? evidence->slow - last->slow : 0);
	if (evidence->rated > last->rated)
		update_rating_test(health, version, evidence->rated - last->rated,
				   evidence->rating_sum - last->rating_sum,
				   evidence->rating_squares - last->rating_squares);
	*last = *evidence;
	return trip_if_bad(health, version, now_ms);
}

int cw_health_trip(struct cw_health *health, uint64_t id, int64_t now_ms)
{
	struct health_version *version = find_or_add_version(health, id);

	advance_state(version, now_ms);
	if (version->state == CW_HEALTH_TRIPPED)
		return 0;
	version->backoff_ms = version->backoff_ms ? MIN(version->backoff_ms * 2, BACKOFF_MAX_MS)
						  : BACKOFF_FIRST_MS;
	version->state = CW_HEALTH_TRIPPED;
	version->since_ms = now_ms;
	reset_tests(version);
	return 1;
}

void cw_health_clear(struct cw_health *health, uint64_t id)
{
	struct health_version *version = find_or_add_version(health, id);

	version->state = CW_HEALTH_HEALTHY;
	version->backoff_ms = 0;
	reset_tests(version);
}

enum cw_health_state cw_health_state(struct cw_health *health, uint64_t id, int64_t now_ms)
{
	struct health_version *version = g_hash_table_lookup(health->versions, &id);

	if (!version)
		return CW_HEALTH_HEALTHY;
	advance_state(version, now_ms);
	return version->state;
}

double cw_health_weight_factor(struct cw_health *health, uint64_t id, int64_t now_ms)
{
	static const double steps[] = {0.01, 0.05, 0.2, 0.5};
	struct health_version *version = g_hash_table_lookup(health->versions, &id);
	int64_t step;

	if (!version)
		return 1;
	advance_state(version, now_ms);
	if (version->state != CW_HEALTH_PROBING)
		return version->state == CW_HEALTH_HEALTHY;
	step = (now_ms - version->since_ms) / PROBE_STEP_MS;
	return steps[CLAMP(step, 0, (int64_t)G_N_ELEMENTS(steps) - 1)];
}

int cw_health_is_model_degraded(struct cw_health *health, uint64_t model, int64_t now_ms)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, health->versions);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct health_version *version = value;

		advance_state(version, now_ms);
		/* Sessions may have been bound to another version before a recent restore. */
		if (version->model == model &&
		    (version->state != CW_HEALTH_HEALTHY || version->backoff_ms))
			return 1;
	}
	return 0;
}

size_t cw_health_own_evidence(struct cw_health *health, struct cw_health_evidence *evidence,
			      uint32_t *tripped, size_t max)
{
	GHashTableIter iter;
	gpointer value;
	size_t count = 0;

	g_hash_table_iter_init(&iter, health->versions);
	while (count < max && g_hash_table_iter_next(&iter, NULL, &value)) {
		struct health_version *version = value;

		if (!version->own.good && !version->own.bad && version->state != CW_HEALTH_TRIPPED)
			continue;
		evidence[count] = version->own;
		tripped[count] = version->state == CW_HEALTH_TRIPPED;
		count++;
	}
	return count;
}

static int pooled_is_bad(const void *data)
{
	const struct health_version *version = data;

	return version->failure_cusum > TRIP_LLR || version->outright_cusum > TRIP_LLR ||
	       version->slow_cusum > TRIP_LLR || version->rating_cusum > TRIP_LLR;
}

static void add_recent(struct health_version *version, int bad)
{
	version->recent = version->recent << 1 | (unsigned int)bad;
	version->recent_count++;
}

static int own_is_bad(const void *data)
{
	const struct health_version *version = data;
	unsigned int window = version->recent & ((1U << OWN_WINDOW_ANSWERS) - 1);

	return version->recent_count >= OWN_WINDOW_ANSWERS &&
	       __builtin_popcount(window) >= OWN_BAD_ANSWERS;
}

static struct health_version *find_or_add_version(struct cw_health *health, uint64_t id)
{
	struct health_version *version = g_hash_table_lookup(health->versions, &id);

	if (version)
		return version;
	version = g_new0(struct health_version, 1);
	version->version = id;
	version->own.version = id;
	version->good = PRIOR_GOOD;
	version->bad = PRIOR_BAD;
	version->peers = g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, g_free);
	set_baselines(health, version);
	g_hash_table_insert(health->versions, &version->version, version);
	return version;
}

static void version_destroy(gpointer data)
{
	struct health_version *version = data;

	g_hash_table_destroy(version->peers);
	g_free(version);
}

static void update_failure_tests(struct cw_health *health, struct health_version *version,
				 double good, double bad, double slow)
{
	double faulty_rate = MIN(version->baseline_failure_rate + FAILURE_RATE_STEP, 0.95);
	double faulty_slow_rate = MIN(version->baseline_slow_rate + SLOW_RATE_STEP, 0.95);

	version->failure_cusum = update_cusum(version->failure_cusum, good, bad,
					      version->baseline_failure_rate, faulty_rate);
	version->outright_cusum =
		update_cusum(version->outright_cusum, good, bad, version->baseline_failure_rate,
			     MAX(FAILURE_RATE_OUTRIGHT, faulty_rate));
	version->slow_cusum = update_cusum(version->slow_cusum, MAX(good - slow, 0), slow,
					   version->baseline_slow_rate, faulty_slow_rate);
	version->good += good;
	version->bad += bad;
	version->slow += slow;
	/*
	 * The baseline follows the history only while the failure test is at zero, so that a
	 * gradual fault does not become the baseline.
	 */
	if (version->failure_cusum <= 0)
		set_baselines(health, version);
}

static void update_rating_test(struct cw_health *health, struct health_version *version,
			       double count, double sum, double squares)
{
	const struct health_version *past =
		version->rated >= RATINGS_MIN ? version : find_best_sibling(health, version);
	double mean, sigma, drop;

	if (past && past->rated >= RATINGS_MIN) {
		mean = past->rating_sum / past->rated;
		sigma = sqrt(MAX(past->rating_squares / past->rated - mean * mean,
				 RATING_SIGMA_MIN * RATING_SIGMA_MIN));
		drop = CLAMP((mean - sum / count) / sigma, -RATING_CLAMP, RATING_CLAMP);
		version->rating_cusum += count * RATING_STEP * (drop - RATING_STEP / 2);
		version->rating_cusum = MAX(version->rating_cusum, 0);
	}
	/*
	 * While the test indicates a drop, the suspect ratings stay out of the history that they
	 * are compared with.
	 */
	if (version->rating_cusum > TRIP_LLR / 3)
		return;
	version->rated += count;
	version->rating_sum += sum;
	version->rating_squares += squares;
}

static int trip_if_bad(struct cw_health *health, struct health_version *version, int64_t now_ms)
{
	advance_state(version, now_ms);
	if (version->state == CW_HEALTH_TRIPPED || !health->policy->is_bad(version))
		return 0;
	return cw_health_trip(health, version->version, now_ms);
}

static void set_baselines(struct cw_health *health, struct health_version *version)
{
	const struct health_version *sibling = find_best_sibling(health, version);
	double answers = version->good + version->bad;
	double bad = version->bad / answers;
	double slow = version->slow / answers;

	/* A version with little history of its own is compared with its best sibling. */
	if (sibling && answers < 2 * (PRIOR_GOOD + PRIOR_BAD)) {
		bad = MIN(bad, sibling->bad / (sibling->good + sibling->bad));
		slow = MIN(slow, sibling->slow / (sibling->good + sibling->bad));
	}
	version->baseline_failure_rate = CLAMP(bad, FAILURE_RATE_MIN, 0.5);
	version->baseline_slow_rate = CLAMP(slow, SLOW_RATE_MIN, 0.5);
}

static const struct health_version *find_best_sibling(const struct cw_health *health,
						      const struct health_version *version)
{
	const struct health_version *best = NULL;
	GHashTableIter iter;
	gpointer value;

	if (!version->model)
		return NULL;
	g_hash_table_iter_init(&iter, health->versions);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct health_version *other = value;

		if (other == version || other->model != version->model ||
		    other->state != CW_HEALTH_HEALTHY)
			continue;
		if (!best || other->good > best->good)
			best = other;
	}
	return best;
}

static double update_cusum(double level, double good, double bad, double baseline_rate,
			   double faulty_rate)
{
	level += bad * log(faulty_rate / baseline_rate) +
		 good * log((1 - faulty_rate) / (1 - baseline_rate));
	return MAX(level, 0);
}

/*
 * Slowness is judged only against siblings, which see the same load. Against its own history, every
 * load peak would look like a fault and trip all versions at once.
 */
static int is_slow(struct cw_health *health, struct health_version *version, double first_ms,
		   unsigned int length)
{
	const struct health_version *sibling = find_best_sibling(health, version);

	if (first_ms < 0)
		return 0;
	if (version->first_ms[length] <= 0)
		version->first_ms[length] = first_ms;
	else
		version->first_ms[length] +=
			FIRST_TOKEN_SMOOTHING * (first_ms - version->first_ms[length]);
	if (!sibling || sibling->first_ms[length] <= 0)
		return 0;
	return first_ms > sibling->first_ms[length] * SLOW_FACTOR + SLOW_SLACK_MS;
}

static unsigned int length_class(unsigned int prompt_tokens)
{
	unsigned int length = 0;

	while (prompt_tokens > 1 && length < LENGTH_CLASSES - 1) {
		prompt_tokens /= 2;
		length++;
	}
	return length;
}

static void advance_state(struct health_version *version, int64_t now_ms)
{
	int64_t in_state_ms = now_ms - version->since_ms;

	if (version->state == CW_HEALTH_TRIPPED && in_state_ms >= version->backoff_ms) {
		version->state = CW_HEALTH_PROBING;
		version->since_ms += version->backoff_ms;
		in_state_ms = now_ms - version->since_ms;
	}
	if (version->state == CW_HEALTH_PROBING && in_state_ms >= 4 * PROBE_STEP_MS) {
		version->state = CW_HEALTH_HEALTHY;
		version->since_ms += 4 * PROBE_STEP_MS;
		in_state_ms = now_ms - version->since_ms;
	}
	if (version->state == CW_HEALTH_HEALTHY && version->backoff_ms &&
	    in_state_ms >= BACKOFF_MAX_MS)
		version->backoff_ms = 0;
}

static void reset_tests(struct health_version *version)
{
	version->failure_cusum = 0;
	version->outright_cusum = 0;
	version->slow_cusum = 0;
	version->rating_cusum = 0;
	version->recent = 0;
	version->recent_count = 0;
}
