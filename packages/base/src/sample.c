#include "cw_sample.h"

#define PERIOD_MS 1000

int cw_sample_admits(struct cw_sample *sample, int64_t now_ms)
{
	if (now_ms - sample->since_ms >= PERIOD_MS) {
		sample->since_ms = now_ms;
		sample->lines = 0;
	}
	if (sample->lines >= CW_SAMPLE_LINES) {
		sample->left_out++;
		return 0;
	}
	sample->lines++;
	return 1;
}

uint64_t cw_sample_take_left_out(struct cw_sample *sample)
{
	uint64_t left_out = sample->left_out;

	sample->left_out = 0;
	return left_out;
}
