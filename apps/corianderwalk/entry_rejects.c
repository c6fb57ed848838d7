/*
 * Log lines on requests that are rejected before an attempt. A client decides how many there are,
 * so they are sampled; those left out are summed in a line.
 */
#include "cw_timeline.h"
#include "entry.h"

#define SUM_INTERVAL_MS 1000

static const char *const kind_names[REJECT_KINDS] = {
	[REJECT_UNREADABLE] = "unreadable_request",
	[REJECT_BAD] = "bad_request",
	[REJECT_REFUSED] = "refused",
	[REJECT_DECLINED] = "declined",
};

int rejects_may_log(struct entry *entry, enum reject_kind kind)
{
	return cw_sample_admits(&entry->reject_samples[kind], entry_now_ms(entry));
}

void rejects_tick(struct entry *entry, int64_t now_ms)
{
	if (now_ms - entry->rejects_summed_ms < SUM_INTERVAL_MS)
		return;
	entry->rejects_summed_ms = now_ms;
	for (int kind = 0; kind < REJECT_KINDS; kind++) {
		uint64_t left_out = cw_sample_take_left_out(&entry->reject_samples[kind]);

		if (left_out > 0)
			cw_event("entry", "rejects_left_out", "kind=%s count=%lu", kind_names[kind],
				 (unsigned long)left_out);
	}
}
