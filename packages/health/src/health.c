#include "cw_health.h"
#include "cw_hash.h"

#include <glib.h>
#include <math.h>
#include <string.h>

#define PRIOR_GOOD	 97.0 /* a version without a past counts as this many good answers, */
#define PRIOR_BAD	 1.0  /* and this many bad */
#define BAD_FLOOR	 0.01
#define BAD_STEP	 0.08 /* failure rate worth a trip, above the usual one */
#define BAD_OUTRIGHT	 0.5 /* a second test, quicker for a version that fails half its requests */
#define SLOW_STEP	 0.3
#define SLOW_FLOOR	 0.05
#define SLOW_FACTOR	 3.0 /* times the usual first token */
#define SLOW_SLACK_MS	 50.0
#define LENGTH_CLASSES	 16  /* of prompts, each twice as long as the last */
#define FIRST_SMOOTHING	 0.2 /* quick: a sibling must not lag behind a common rush */
#define RATING_MIN	 20  /* ratings of a past before ratings can trip */
#define RATING_STEP	 0.8 /* drop of the mean worth a trip, in standard deviations */
#define RATING_SIGMA_MIN 0.05
#define RATING_CLAMP	 2.0 /* a single rating counts at most so many deviations */
#define TRIP_LEVEL                                                                                 \
	16.0 /* log likelihood ratio; a good version is tripped once in e^16 = 9 million answers   \
		at most */
#define HOLD_FIRST_MS 20000
#define HOLD_MAX_MS   600000
#define STEP_MS	      5000 /* a probing version's share grows every step */
#define OWN_WINDOW    10
#define OWN_BAD	      5
#define OWN_RATING    0.6
#define OWN_SLOW_MS   1000.0

struct health_version {
	uint64_t version;
	uint64_t model;
	struct cw_evidence own;
	GHashTable *peers; /* instance -> struct peer_totals */
	double good, bad;  /* pooled past, for the baseline */
	double slow;
	double rated, rating_sum, rating_squares;
	double failure_cusum, outright_cusum, slow_cusum, rating_cusum;
	double first_ms[LENGTH_CLASSES]; /* smoothed; prompts of like length wait alike */
	double base_bad, base_slow;
	enum cw_health_state state;
	int64_t since_ms;
	int64_t hold_ms;
	unsigned int recent; /* own last answers, a bit each: 1 bad */
	unsigned int recent_count;
};

struct peer_totals {
	uint64_t boot;
	struct cw_evidence seen;
};

struct cw_health {
	const struct cw_health_policy *policy;
	GHashTable *versions;
};

static int pooled_is_bad(const void *version);
static int own_is_bad(const void *version);
static struct health_version *version_of(struct cw_health *health, uint64_t version);
static void version_destroy(gpointer data);
static void note_recent(struct health_version *version, int bad);
static void weigh(struct cw_health *health, struct health_version *version, double good, double bad,
		  double slow);
static void weigh_ratings(struct cw_health *health, struct health_version *version, double count,
			  double sum, double squares);
static int decide(struct cw_health *health, struct health_version *version, int64_t now_ms);
static void set_baselines(struct cw_health *health, struct health_version *version);
static const struct health_version *best_sibling(const struct cw_health *health,
						 const struct health_version *version);
static double cusum(double level, double good, double bad, double usual, double worse);
static int is_slow(struct cw_health *health, struct health_version *version, double first_ms,
		   unsigned int length);
static unsigned int length_class(unsigned int prompt_tokens);
static void advance(struct health_version *version, int64_t now_ms);
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

void cw_health_sibling(struct cw_health *health, uint64_t version, uint64_t model)
{
	version_of(health, version)->model = model;
}

int cw_health_answered(struct cw_health *health, uint64_t id, int good, double first_ms,
		       unsigned int prompt_tokens, int64_t now_ms)
{
	struct health_version *version = version_of(health, id);
	int slow = good && is_slow(health, version, first_ms, length_class(prompt_tokens));

	version->own.good += good != 0;
	version->own.bad += good == 0;
	version->own.slow += slow;
	note_recent(version, !good || first_ms > OWN_SLOW_MS);
	weigh(health, version, good, !good, slow);
	return decide(health, version, now_ms);
}

int cw_health_rated(struct cw_health *health, uint64_t id, double score, int64_t now_ms)
{
	struct health_version *version = version_of(health, id);

	if (score < OWN_RATING)
		note_recent(version, 1);
	version->own.rated++;
	version->own.rating_sum += score;
	version->own.rating_squares += score * score;
	weigh_ratings(health, version, 1, score, score * score);
	return decide(health, version, now_ms);
}

int cw_health_pool(struct cw_health *health, uint64_t instance, uint64_t boot,
		   const struct cw_evidence *evidence, int64_t now_ms)
{
	struct health_version *version = version_of(health, evidence->version);
	struct peer_totals *totals = g_hash_table_lookup(version->peers, &instance);
	struct cw_evidence *seen;
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
	seen = &totals->seen;
	if (totals->boot != boot) {
		/* A restarted instance counts from zero again: its old totals are past. */
		totals->boot = boot;
		memset(seen, 0, sizeof(*seen));
	}
	/* Totals only grow: messages that overtake each other or come twice add nothing. */
	if (evidence->good + evidence->bad < seen->good + seen->bad ||
	    evidence->rated < seen->rated)
		return 0;
	weigh(health, version, evidence->good - seen->good, evidence->bad - seen->bad,
	      evidence->slow > seen->slow ? evidence->slow - seen->slow : 0);
	if (evidence->rated > seen->rated)
		weigh_ratings(health, version, evidence->rated - seen->rated,
			      evidence->rating_sum - seen->rating_sum,
			      evidence->rating_squares - seen->rating_squares);
	*seen = *evidence;
	return decide(health, version, now_ms);
}

int cw_health_trip(struct cw_health *health, uint64_t id, int64_t now_ms)
{
	struct health_version *version = version_of(health, id);

	advance(version, now_ms);
	if (version->state == CW_HEALTH_TRIPPED)
		return 0;
	version->hold_ms =
		version->hold_ms ? MIN(version->hold_ms * 2, HOLD_MAX_MS) : HOLD_FIRST_MS;
	version->state = CW_HEALTH_TRIPPED;
	version->since_ms = now_ms;
	reset_tests(version);
	return 1;
}

void cw_health_clear(struct cw_health *health, uint64_t id)
{
	struct health_version *version = version_of(health, id);

	version->state = CW_HEALTH_GOOD;
	version->hold_ms = 0;
	reset_tests(version);
}

enum cw_health_state cw_health_state(struct cw_health *health, uint64_t id, int64_t now_ms)
{
	struct health_version *version = g_hash_table_lookup(health->versions, &id);

	if (!version)
		return CW_HEALTH_GOOD;
	advance(version, now_ms);
	return version->state;
}

double cw_health_factor(struct cw_health *health, uint64_t id, int64_t now_ms)
{
	static const double steps[] = {0.01, 0.05, 0.2, 0.5};
	struct health_version *version = g_hash_table_lookup(health->versions, &id);
	int64_t step;

	if (!version)
		return 1;
	advance(version, now_ms);
	if (version->state != CW_HEALTH_PROBING)
		return version->state == CW_HEALTH_GOOD;
	step = (now_ms - version->since_ms) / STEP_MS;
	return steps[CLAMP(step, 0, (int64_t)G_N_ELEMENTS(steps) - 1)];
}

int cw_health_disturbed(struct cw_health *health, uint64_t model, int64_t now_ms)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, health->versions);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct health_version *version = value;

		advance(version, now_ms);
		/* A version restored a moment ago may still hold sessions bound elsewhere
		 * meanwhile. */
		if (version->model == model &&
		    (version->state != CW_HEALTH_GOOD || version->hold_ms))
			return 1;
	}
	return 0;
}

size_t cw_health_own(struct cw_health *health, struct cw_evidence *evidence, uint32_t *tripped,
		     size_t max)
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

	return version->failure_cusum > TRIP_LEVEL || version->outright_cusum > TRIP_LEVEL ||
	       version->slow_cusum > TRIP_LEVEL || version->rating_cusum > TRIP_LEVEL;
}

static void note_recent(struct health_version *version, int bad)
{
	version->recent = version->recent << 1 | (unsigned int)bad;
	version->recent_count++;
}

static int own_is_bad(const void *data)
{
	const struct health_version *version = data;
	unsigned int window = version->recent & ((1U << OWN_WINDOW) - 1);

	return version->recent_count >= OWN_WINDOW && __builtin_popcount(window) >= OWN_BAD;
}

static struct health_version *version_of(struct cw_health *health, uint64_t id)
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

static void weigh(struct cw_health *health, struct health_version *version, double good, double bad,
		  double slow)
{
	double worse = MIN(version->base_bad + BAD_STEP, 0.95);
	double slower = MIN(version->base_slow + SLOW_STEP, 0.95);

	version->failure_cusum = cusum(version->failure_cusum, good, bad, version->base_bad, worse);
	version->outright_cusum = cusum(version->outright_cusum, good, bad, version->base_bad,
					MAX(BAD_OUTRIGHT, worse));
	version->slow_cusum =
		cusum(version->slow_cusum, MAX(good - slow, 0), slow, version->base_slow, slower);
	version->good += good;
	version->bad += bad;
	version->slow += slow;
	/* A past is believed only while no test is under way: a creeping fault must not become
	 * usual. */
	if (version->failure_cusum <= 0)
		set_baselines(health, version);
}

static void weigh_ratings(struct cw_health *health, struct health_version *version, double count,
			  double sum, double squares)
{
	const struct health_version *past =
		version->rated >= RATING_MIN ? version : best_sibling(health, version);
	double mean, sigma, drop;

	if (past && past->rated >= RATING_MIN) {
		mean = past->rating_sum / past->rated;
		sigma = sqrt(MAX(past->rating_squares / past->rated - mean * mean,
				 RATING_SIGMA_MIN * RATING_SIGMA_MIN));
		drop = CLAMP((mean - sum / count) / sigma, -RATING_CLAMP, RATING_CLAMP);
		version->rating_cusum += count * RATING_STEP * (drop - RATING_STEP / 2);
		version->rating_cusum = MAX(version->rating_cusum, 0);
	}
	/* While the test leans towards a drop the suspect ratings stay out of the past they are
	 * held against. */
	if (version->rating_cusum > TRIP_LEVEL / 3)
		return;
	version->rated += count;
	version->rating_sum += sum;
	version->rating_squares += squares;
}

static int decide(struct cw_health *health, struct health_version *version, int64_t now_ms)
{
	advance(version, now_ms);
	if (version->state == CW_HEALTH_TRIPPED || !health->policy->is_bad(version))
		return 0;
	return cw_health_trip(health, version->version, now_ms);
}

static void set_baselines(struct cw_health *health, struct health_version *version)
{
	const struct health_version *sibling = best_sibling(health, version);
	double answers = version->good + version->bad;
	double bad = version->bad / answers;
	double slow = version->slow / answers;

	/* A version with little past of its own is held against its best sibling. */
	if (sibling && answers < 2 * (PRIOR_GOOD + PRIOR_BAD)) {
		bad = MIN(bad, sibling->bad / (sibling->good + sibling->bad));
		slow = MIN(slow, sibling->slow / (sibling->good + sibling->bad));
	}
	version->base_bad = CLAMP(bad, BAD_FLOOR, 0.5);
	version->base_slow = CLAMP(slow, SLOW_FLOOR, 0.5);
}

static const struct health_version *best_sibling(const struct cw_health *health,
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
		    other->state != CW_HEALTH_GOOD)
			continue;
		if (!best || other->good > best->good)
			best = other;
	}
	return best;
}

static double cusum(double level, double good, double bad, double usual, double worse)
{
	level += bad * log(worse / usual) + good * log((1 - worse) / (1 - usual));
	return MAX(level, 0);
}

/*
 * Slow only against siblings, which see the same load: against its own past every busy hour would
 * look like a fault. It shows as a trip of all versions at once.
 */
static int is_slow(struct cw_health *health, struct health_version *version, double first_ms,
		   unsigned int length)
{
	const struct health_version *sibling = best_sibling(health, version);

	if (first_ms < 0)
		return 0;
	if (version->first_ms[length] <= 0)
		version->first_ms[length] = first_ms;
	else
		version->first_ms[length] +=
			FIRST_SMOOTHING * (first_ms - version->first_ms[length]);
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

static void advance(struct health_version *version, int64_t now_ms)
{
	int64_t in_state = now_ms - version->since_ms;

	if (version->state == CW_HEALTH_TRIPPED && in_state >= version->hold_ms) {
		version->state = CW_HEALTH_PROBING;
		version->since_ms += version->hold_ms;
		in_state = now_ms - version->since_ms;
	}
	if (version->state == CW_HEALTH_PROBING && in_state >= 4 * STEP_MS) {
		version->state = CW_HEALTH_GOOD;
		version->since_ms += 4 * STEP_MS;
		in_state = now_ms - version->since_ms;
	}
	if (version->state == CW_HEALTH_GOOD && version->hold_ms && in_state >= HOLD_MAX_MS)
		version->hold_ms = 0;
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
