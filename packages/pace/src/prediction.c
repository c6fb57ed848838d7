#include "cw_prediction.h"

#include <glib.h>
#include <math.h>

#define BUCKETS_PER_OCTAVE 3
#define FIRST_OCTAVE	   (-5.0)  /* of the first bucket's lower bound: a ratio of 1/32 */
#define DECAY_MS	   10000.0 /* to 1/e: a minute-old error says nothing of the load now */
#define COUNT_MIN	   0.01	   /* sum of counts below which the histogram is empty */

static void decay(struct cw_prediction *prediction, int64_t now_ms);

void cw_prediction_add(struct cw_prediction *prediction, double taken_ms, double predicted_ms,
		       int64_t now_ms)
{
	double octave;
	int bucket;

	if (taken_ms <= 0 || predicted_ms <= 0)
		return;
	octave = log2(taken_ms / predicted_ms);
	bucket = (int)floor((octave - FIRST_OCTAVE) * BUCKETS_PER_OCTAVE);
	decay(prediction, now_ms);
	prediction->counts[CLAMP(bucket, 0, CW_PREDICTION_BUCKETS - 1)] += 1;
}

double cw_prediction_quantile(const struct cw_prediction *prediction, double part)
{
	double total = 0;
	double below = 0;

	for (int i = 0; i < CW_PREDICTION_BUCKETS; i++)
		total += prediction->counts[i];
	if (total < COUNT_MIN)
		return 0;
	for (int i = 0; i < CW_PREDICTION_BUCKETS; i++) {
		below += prediction->counts[i];
		if (below >= part * total)
			return exp2(FIRST_OCTAVE + (i + 0.5) / BUCKETS_PER_OCTAVE);
	}
	return exp2(-FIRST_OCTAVE);
}

static void decay(struct cw_prediction *prediction, int64_t now_ms)
{
	double factor = exp(-(double)(now_ms - prediction->updated_ms) / DECAY_MS);

	for (int i = 0; i < CW_PREDICTION_BUCKETS; i++)
		prediction->counts[i] *= (float)factor;
	prediction->updated_ms = now_ms;
}
