#include "cw_repeats.h"

#include <string.h>

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

void cw_repeats_first(struct cw_repeats *repeats, int64_t now_ms)
{
	turn(repeats, now_ms);
	repeats->first[repeats->bucket % CW_REPEAT_BUCKETS]++;
}

int cw_repeats_take(struct cw_repeats *repeats, double spare, int64_t now_ms)
{
	double first = 0;
	double again = 0;

	turn(repeats, now_ms);
	for (int i = 0; i < CW_REPEAT_BUCKETS; i++) {
		first += repeats->first[i];
		again += repeats->again[i];
	}
	if (again + 1 > (repeats->ratio * first + repeats->slack) * (1 - spare))
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
