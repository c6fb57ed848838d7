#include "cw_repeats.h"

#include <glib.h>
#include <string.h>

#define PART_UNKNOWN 2.0 /* repeats that the first request may need: fewer than any part so far */

static void turn(struct cw_repeats *repeats, int64_t now_ms);

void cw_repeats_open(struct cw_repeats *repeats, double ratio, double slack, int64_t window_ms)
{
	memset(repeats, 0, sizeof(*repeats));
	repeats->ratio = ratio;
	repeats->slack = slack;
	repeats->bucket_ms = window_ms / CW_REPEAT_BUCKETS;
	if (repeats->bucket_ms < 1)
		repeats->bucket_ms = 1;
}

/*
 * The slack is one for the whole system. Divided by a constant 12 it let 195 instances make 25,155
 * repeats in 10 s of a service that rejected half of what it got, where 23,022 were allowed. An
 * instance that has just started knows few of the others and would take too much; with nothing at
 * all, the first answer that a small model doubts would stand: 0.06 of the credit in the 2 s after
 * a restart of all.
 */
double cw_repeats_part(double slack, size_t instances)
{
	return instances ? slack / (double)instances : MIN(slack, PART_UNKNOWN);
}

void cw_repeats_first(struct cw_repeats *repeats, int64_t now_ms)
{
	turn(repeats, now_ms);
	repeats->first[repeats->bucket % CW_REPEAT_BUCKETS]++;
}

int cw_repeats_take(struct cw_repeats *repeats, int64_t now_ms)
{
	double first = 0;
	double again = 0;

	turn(repeats, now_ms);
	for (int i = 0; i < CW_REPEAT_BUCKETS; i++) {
		first += repeats->first[i];
		again += repeats->again[i];
	}
	if (again + 1 > repeats->ratio * first + repeats->slack)
		return 0;
	repeats->again[repeats->bucket % CW_REPEAT_BUCKETS]++;
	return 1;
}

static void turn(struct cw_repeats *repeats, int64_t now_ms)
{
	int64_t bucket = now_ms / repeats->bucket_ms;

	if (bucket - repeats->bucket >= CW_REPEAT_BUCKETS) {
		memset(repeats->first, 0, sizeof(repeats->first));
		memset(repeats->again, 0, sizeof(repeats->again));
		repeats->bucket = bucket;
	}
	while (repeats->bucket < bucket) {
		repeats->bucket++;
		repeats->first[repeats->bucket % CW_REPEAT_BUCKETS] = 0;
		repeats->again[repeats->bucket % CW_REPEAT_BUCKETS] = 0;
	}
}
