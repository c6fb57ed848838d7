/* Bounds the log lines of one kind of event: a sample of a second's events, and how many are left
 * out. */
#ifndef CW_SAMPLE_H
#define CW_SAMPLE_H

#include <stdint.h>

#define CW_SAMPLE_LINES 20 /* a second */

struct cw_sample { /* zeroed: no event yet */
	int64_t since_ms;
	unsigned int lines;
	uint64_t left_out;
};

int cw_sample_admits(struct cw_sample *sample, int64_t now_ms); /* 0: counted, not to be logged */
uint64_t cw_sample_take_left_out(struct cw_sample *sample);	/* since the last call */

#endif
