#include "cw_pace.h"

#include <glib.h>
#include <math.h>
#include <stdlib.h>

#define SAMPLES_MIN	 4    /* fewer answers say nothing */
#define DEVIATION	 0.4  /* of ln(pace), as samples scatter */
#define DEVIATION_WEIGHT 5.0  /* of it, in samples: a few that agree by chance are no better */
#define NOISE_DEVIATIONS 4.0  /* of the mean: hundreds of alike servers stay at CW_PACE_USUAL */
#define REPORTS_MIN	 3.5  /* four new ones, as one moment can give several */
#define REPORTS_PART	 0.75 /* of the reports must be at the level or beyond it */
#define REPORTS_GAP_MS	 250  /* a report sooner after the last is of the same moment */
#define SAME_LOG	 0.05 /* of ln(pace): a smaller difference moves no work */
#define WEIGHT_MIN	 0.05 /* below which evidence is forgotten */
#define ORIGINS_STEP	 8    /* memory is taken for so many at a time */

struct weighted {
	double value, weight;
};

static double decay_factor(int64_t from_ms, int64_t to_ms);
static struct cw_pace_evidence scale(const struct cw_pace_evidence *evidence, double factor);
static size_t list_own_reports(const struct cw_pace *pace, struct weighted *reports,
			       int64_t now_ms);
static void update_own(struct cw_pace *pace, int64_t now_ms);
static void add_learned(struct cw_pace_sums *to, const struct cw_pace_sums *from);
static double weight_of(const struct cw_pace_origin *origin, int64_t now_ms);
static struct cw_pace_origin *find_place(struct cw_pace *pace, const struct cw_pace_origin *origin,
					 int64_t now_ms);
static void update_total(struct cw_pace *pace, int64_t now_ms);
static struct cw_pace_evidence remaining_prior(const struct cw_pace_evidence *prior,
					       const struct cw_pace_evidence *rest);
static int by_value(const void *a, const void *b);
static double common_level(struct weighted *values, size_t count);
static double quantile(const struct weighted *sorted, size_t count, double weight);
static int is_pace(double value);

void cw_pace_clear(struct cw_pace *pace)
{
	g_clear_pointer(&pace->origins, g_free);
	pace->origin_count = 0;
}

void cw_pace_report(struct cw_pace *pace, double momentary, int64_t now_ms)
{
	struct cw_pace_report *report;

	if (!is_pace(momentary))
		return;
	cw_pace_merge_momentary(pace, momentary, now_ms);
	report = &pace->reports[pace->report_count % CW_PACE_REPORTS];
	if (now_ms - pace->report_ms >= REPORTS_GAP_MS || pace->report_count == 0) {
		report->pace = (float)CLAMP(momentary, CW_PACE_MIN, CW_PACE_MAX);
		report->at_ms = pace->report_ms = now_ms;
		pace->report_count++;
	}
	update_own(pace, now_ms);
}

void cw_pace_add_sample(struct cw_pace *pace, double ratio, int64_t now_ms)
{
	struct cw_pace_sums sample = {.weight = 1};

	if (!is_pace(ratio))
		return;
	sample.log_sum = logf((float)CLAMP(ratio, CW_PACE_MIN, CW_PACE_MAX));
	sample.square_sum = sample.log_sum * sample.log_sum;
	pace->own = cw_pace_own(pace, now_ms);
	pace->own_ms = now_ms;
	add_learned(&pace->own.learned, &sample);
	update_own(pace, now_ms);
}

int cw_pace_merge_momentary(struct cw_pace *pace, double momentary, int64_t reported_ms)
{
	if (!is_pace(momentary) || (pace->momentary > 0 && reported_ms <= pace->momentary_ms))
		return 0;
	pace->momentary = CLAMP(momentary, CW_PACE_MIN, CW_PACE_MAX);
	pace->momentary_ms = reported_ms;
	return 1;
}

int cw_pace_merge(struct cw_pace *pace, const struct cw_pace_origin *origin, int64_t now_ms)
{
	struct cw_pace_origin *place = find_place(pace, origin, now_ms);

	if (!place)
		return 0;
	*place = *origin;
	place->evidence.reported =
		(float)CLAMP(origin->evidence.reported, CW_PACE_MIN, CW_PACE_MAX);
	update_total(pace, now_ms);
	return 1;
}

struct cw_pace_evidence cw_pace_own(const struct cw_pace *pace, int64_t now_ms)
{
	return scale(&pace->own, decay_factor(pace->own_ms, now_ms));
}

/* All evidence decays alike, so the sum needs no look at its parts until one of them changes. */
struct cw_pace_evidence cw_pace_total(const struct cw_pace *pace, int64_t now_ms)
{
	return scale(&pace->total, decay_factor(pace->total_ms, now_ms));
}

double cw_pace_reported_level(const struct cw_pace_evidence *evidence)
{
	if (evidence->reported_weight < REPORTS_MIN ||
	    fabs(log((double)evidence->reported)) <= SAME_LOG)
		return CW_PACE_USUAL;
	return evidence->reported;
}

/*
 * Load pattern: hundreds of alike servers, each with a few samples that scatter by their queues.
 * The mean shrinks towards no difference (positive-part James-Stein), and is none within the noise,
 * so that chance sends no work away from a server.
 */
double cw_pace_learned_level(const struct cw_pace_evidence *evidence)
{
	const struct cw_pace_sums *sums = &evidence->learned;
	double mean, variance, noise;

	if (sums->weight < SAMPLES_MIN)
		return CW_PACE_USUAL;
	mean = (double)sums->log_sum / sums->weight;
	variance = MAX((double)sums->square_sum - sums->weight * mean * mean, 0);
	variance = (variance + DEVIATION_WEIGHT * DEVIATION * DEVIATION) /
		   (sums->weight + DEVIATION_WEIGHT);
	noise = NOISE_DEVIATIONS * sqrt(variance / sums->weight);
	if (fabs(mean) <= noise)
		return CW_PACE_USUAL;
	mean *= 1 - noise * noise / (mean * mean);
	return CLAMP(exp(mean), CW_PACE_MIN, CW_PACE_MAX);
}

/*
 * Load pattern: servers whose machines turn two or three times slower for some hundred ms at a
 * time. The newest figure counts less with its age, down to the level.
 */
double cw_pace_reported(const struct cw_pace *pace, double lifetime_ms, int64_t now_ms)
{
	struct cw_pace_evidence total = cw_pace_total(pace, now_ms);
	double level = cw_pace_reported_level(&total);
	double age_ms = (double)MAX(now_ms - pace->momentary_ms, 0);

	if (pace->momentary <= 0 || lifetime_ms <= 0 || age_ms >= lifetime_ms)
		return level;
	return level * pow(pace->momentary / level, 1 - age_ms / lifetime_ms);
}

/*
 * Symptom this prevents: the first answers of a slow server, taken as if it had reported nothing,
 * raise the usual time, and the other servers are learned as faster than they are.
 */
double cw_pace_reference(const struct cw_pace *pace, int64_t now_ms)
{
	struct cw_pace_evidence total = cw_pace_total(pace, now_ms);

	if (total.reported_weight < REPORTS_MIN && pace->momentary > 0)
		return pace->momentary;
	return cw_pace_reported_level(&total);
}

double cw_pace_learned(const struct cw_pace *pace, int64_t now_ms)
{
	struct cw_pace_evidence total = cw_pace_total(pace, now_ms);

	return cw_pace_learned_level(&total);
}

static double decay_factor(int64_t from_ms, int64_t to_ms)
{
	return to_ms > from_ms ? exp(-(double)(to_ms - from_ms) / CW_PACE_DECAY_MS) : 1;
}

static struct cw_pace_evidence scale(const struct cw_pace_evidence *evidence, double factor)
{
	return (struct cw_pace_evidence){
		.reported = evidence->reported,
		.reported_weight = (float)(evidence->reported_weight * factor),
		.learned = {.weight = (float)(evidence->learned.weight * factor),
			    .log_sum = (float)(evidence->learned.log_sum * factor),
			    .square_sum = (float)(evidence->learned.square_sum * factor)},
	};
}

static size_t list_own_reports(const struct cw_pace *pace, struct weighted *reports, int64_t now_ms)
{
	size_t count = MIN(pace->report_count, CW_PACE_REPORTS);

	for (size_t i = 0; i < count; i++) {
		reports[i].value = pace->reports[i].pace;
		reports[i].weight = decay_factor(pace->reports[i].at_ms, now_ms);
	}
	return count;
}

static void update_own(struct cw_pace *pace, int64_t now_ms)
{
	struct weighted reports[CW_PACE_REPORTS];
	size_t count = list_own_reports(pace, reports, now_ms);

	pace->own = cw_pace_own(pace, now_ms);
	pace->own_ms = pace->own_sample_ms = now_ms;
	pace->own.reported_weight = 0;
	for (size_t i = 0; i < count; i++)
		pace->own.reported_weight += (float)reports[i].weight;
	qsort(reports, count, sizeof(*reports), by_value);
	pace->own.reported = (float)quantile(reports, count, pace->own.reported_weight / 2);
	update_total(pace, now_ms);
}

static void add_learned(struct cw_pace_sums *to, const struct cw_pace_sums *from)
{
	to->weight += from->weight;
	to->log_sum += from->log_sum;
	to->square_sum += from->square_sum;
}

static double weight_of(const struct cw_pace_origin *origin, int64_t now_ms)
{
	double weight = MAX(origin->evidence.reported_weight, origin->evidence.learned.weight);

	return weight * decay_factor(origin->received_ms, now_ms);
}

/* NULL: an old announcement, or less evidence than that of CW_PACE_ORIGINS others. */
static struct cw_pace_origin *find_place(struct cw_pace *pace, const struct cw_pace_origin *origin,
					 int64_t now_ms)
{
	struct cw_pace_origin *least = NULL;

	for (size_t i = 0; i < pace->origin_count; i++) {
		struct cw_pace_origin *known = &pace->origins[i];

		/* A clock that was set back counts once the evidence before is forgotten. */
		if (known->instance == origin->instance)
			return origin->announced_ms > known->announced_ms ||
					       weight_of(known, now_ms) < WEIGHT_MIN
				       ? known
				       : NULL;
		if (!least || weight_of(known, now_ms) < weight_of(least, now_ms))
			least = known;
	}
	if (weight_of(origin, now_ms) < WEIGHT_MIN)
		return NULL;
	if (pace->origin_count == CW_PACE_ORIGINS)
		return weight_of(least, now_ms) < weight_of(origin, now_ms) ? least : NULL;
	if (pace->origin_count % ORIGINS_STEP == 0)
		pace->origins = g_renew(struct cw_pace_origin, pace->origins,
					pace->origin_count + ORIGINS_STEP);
	return &pace->origins[pace->origin_count++];
}

static void update_total(struct cw_pace *pace, int64_t now_ms)
{
	struct weighted reports[CW_PACE_REPORTS + CW_PACE_ORIGINS + 1];
	struct cw_pace_evidence total = cw_pace_own(pace, now_ms);
	struct cw_pace_evidence prior = {0};
	size_t count = list_own_reports(pace, reports, now_ms);

	for (size_t i = 0; i < pace->origin_count; i++) {
		const struct cw_pace_origin *origin = &pace->origins[i];
		struct cw_pace_evidence evidence =
			scale(&origin->evidence, decay_factor(origin->received_ms, now_ms));

		if (origin->instance == 0) {
			prior = evidence;
			continue;
		}
		add_learned(&total.learned, &evidence.learned);
		total.reported_weight += evidence.reported_weight;
		reports[count++] = (struct weighted){evidence.reported, evidence.reported_weight};
	}
	prior = remaining_prior(&prior, &total);
	add_learned(&total.learned, &prior.learned);
	total.reported_weight += prior.reported_weight;
	reports[count++] = (struct weighted){prior.reported, prior.reported_weight};
	total.reported = (float)common_level(reports, count);
	pace->total = total;
	pace->total_ms = now_ms;
}

/* A prior may hold the same samples as the rest: it counts only as far as it has more of them. */
static struct cw_pace_evidence remaining_prior(const struct cw_pace_evidence *prior,
					       const struct cw_pace_evidence *rest)
{
	struct cw_pace_evidence remaining = {0};

	if (prior->learned.weight > rest->learned.weight)
		remaining = scale(prior, 1 - rest->learned.weight / prior->learned.weight);
	remaining.reported = prior->reported;
	remaining.reported_weight = MAX(prior->reported_weight - rest->reported_weight, 0);
	return remaining;
}

static int by_value(const void *a, const void *b)
{
	double left = ((const struct weighted *)a)->value;
	double right = ((const struct weighted *)b)->value;

	return left < right ? -1 : left > right;
}

/*
 * Load pattern: machines that are busy at times, so that the figures scatter to one side. The level
 * is the value nearest to the usual that REPORTS_PART of the weight is at or beyond.
 */
static double common_level(struct weighted *values, size_t count)
{
	double weight = 0;

	qsort(values, count, sizeof(*values), by_value);
	for (size_t i = 0; i < count; i++)
		weight += values[i].weight;
	return CLAMP(CW_PACE_USUAL, quantile(values, count, weight * (1 - REPORTS_PART)),
		     quantile(values, count, weight * REPORTS_PART));
}

/* The first of the sorted values that more than so much weight is at or below. */
static double quantile(const struct weighted *sorted, size_t count, double weight)
{
	double below = 0;
	double found = CW_PACE_USUAL;

	for (size_t i = 0; i < count && below <= weight; i++) {
		if (sorted[i].weight <= 0)
			continue;
		below += sorted[i].weight;
		found = sorted[i].value;
	}
	return found;
}

static int is_pace(double value)
{
	return isfinite(value) && value > 0;
}
