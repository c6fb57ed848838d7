/*
 * The era of the shared store, as its answers name it. A new era begins when the store has been
 * restored from an older copy: it has lost records, and gives out their offsets again.
 */
#include "cw_counters.h"
#include "cw_timeline.h"
#include "entry_feed.h"

void feed_note_era(struct feed *feed, uint64_t era, const char *source)
{
	if (era == CW_ERA_UNKNOWN || era == feed->era)
		return;
	cw_event("feed", "store_era", "era=%ld before=%ld source=%s operator=%lu servers=%lu",
		 (long)cw_era_number(era), (long)cw_era_number(feed->era), source,
		 (unsigned long)feed->operator.next_offset,
		 (unsigned long)feed->server_list.next_offset);
	if (feed->era != CW_ERA_UNKNOWN)
		cw_counter_add("store_eras_begun", "", 1);
	cw_gauge_set("store_era", "", (uint64_t)cw_era_number(era));
	feed->era = era;
}
