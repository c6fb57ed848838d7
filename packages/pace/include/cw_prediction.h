/*
 * Error of predicted times: time taken over time predicted, as a histogram on a logarithmic scale
 * whose counts decay. Sans-I/O.
 */
#ifndef CW_PREDICTION_H
#define CW_PREDICTION_H

#include <stdint.h>

#define CW_PREDICTION_BUCKETS 32 /* three an octave, from 1/32 to 32 */

struct cw_prediction {
	float counts[CW_PREDICTION_BUCKETS];
	int64_t updated_ms; /* time to which the counts are decayed */
};

void cw_prediction_add(struct cw_prediction *prediction, double taken_ms, double predicted_ms,
		       int64_t now_ms); /* ignored unless both are positive */
double cw_prediction_quantile(const struct cw_prediction *prediction,
			      double part); /* ratio; 0: no samples */

#endif
