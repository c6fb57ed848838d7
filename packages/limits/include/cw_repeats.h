/*
 * A budget for sends beyond the first of each request, over a sliding window. Without the budget, a
 * failing service gets more load than before and can't recover.
 */
#ifndef CW_REPEATS_H
#define CW_REPEATS_H

#include <stddef.h>
#include <stdint.h>

#define CW_REPEAT_BUCKETS 20

struct cw_repeats {
	double ratio;
	double slack; /* sends allowed beyond the ratio, for this instance */
	int64_t bucket_ms;
	int64_t bucket; /* number of the newest bucket */
	unsigned int first[CW_REPEAT_BUCKETS];
	unsigned int repeated[CW_REPEAT_BUCKETS];
};

void cw_repeats_open(struct cw_repeats *repeats, double ratio, double slack, int64_t window_ms);
double cw_repeats_instance_slack(double slack,
				 size_t instances); /* slack of one instance; 0: unknown */
void cw_repeats_count_first(struct cw_repeats *repeats, int64_t now_ms);
int cw_repeats_has_room(struct cw_repeats *repeats, int64_t now_ms); /* 0: the budget is spent */
int cw_repeats_take(struct cw_repeats *repeats, int64_t now_ms);     /* the same; counts a send */

#endif
