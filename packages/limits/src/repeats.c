#include "cw_repeats.h"

#include <glib.h>
#include <string.h>

/*
 * Slack while the number of instances is unknown: repeated sends that the first request may need,
 * fewer than any instance's part in the systems run so far.
 */
#define SLACK_UNKNOWN 2.0

static void advance_window(struct cw_repeats *repeats, int64_t now_ms);

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
 * The slack is a total for the whole system. Divided by a constant 12, it let 195 instances make
 * 25,155 repeated sends in 10 s to a service that rejected half of its requests, where 23,022 were
 * allowed. An instance that has just started knows few of the others, and its part would be too
 * large. Without any slack, the first low-confidence answer of a small model would not be
 * escalated, which cost 0.06 of the credit in the 2 s after a restart of all instances.
 */
double cw_repeats_instance_slack(double slack, size_t instances)
{
	return instances ? slack / (double)instances : MIN(slack, SLACK_UNKNOWN);
}

void cw_repeats_count_first(struct cw_repeats *repeats, int64_t now_ms)
{
	advance_window(repeats, now_ms);
	repeats->first[repeats->bucket % CW_REPEAT_BUCKETS]++;
}

int cw_repeats_has_room(struct cw_repeats *repeats, int64_t now_ms)
{
	double first = 0;
	double repeated = 0;

	advance_window(repeats, now_ms);
	for (int i = 0; i < CW_REPEAT_BUCKETS; i++) {
		first += repeats->first[i];
		repeated += repeats->repeated[i];
	}
	return repeated + 1 <= repeats->ratio * first + repeats->slack;
}

int cw_repeats_take(struct cw_repeats *repeats, int64_t now_ms)
{
	if (!cw_repeats_has_room(repeats, now_ms))
		return 0;
	repeats->repeated[repeats->bucket % CW_REPEAT_BUCKETS]++;
	return 1;
}

static void advance_window(struct cw_repeats *repeats, int64_t now_ms)
{
	int64_t bucket = now_ms / repeats->bucket_ms;

	if (bucket - repeats->bucket >= CW_REPEAT_BUCKETS) {
		memset(repeats->first, 0, sizeof(repeats->first));
		memset(repeats->repeated, 0, sizeof(repeats->repeated));
		repeats->bucket = bucket;
	}
	while (repeats->bucket < bucket) {
		repeats->bucket++;
		repeats->first[repeats->bucket % CW_REPEAT_BUCKETS] = 0;
		repeats->repeated[repeats->bucket % CW_REPEAT_BUCKETS] = 0;
	}
}
