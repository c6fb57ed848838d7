/* Where work goes, homes of prompt prefixes and connections to servers: logs and metrics. */
#include "cw_counters.h"
#include "cw_timeline.h"
#include "entry.h"
#include "entry_load.h"

void homes_log(const struct entry *entry)
{
	struct cw_homes *homes = cw_pool_homes(cw_gate_pool(entry->gate));
	struct cw_homes_change change;

	while (cw_homes_next_change(homes, &change))
		cw_event("load", "prefix_homes", "prefix=%016lx homes=%zu before=%zu demand=%.2f",
			 (unsigned long)change.prefix, change.homes, change.before, change.demand);
}

void homes_update_gauges(const struct entry *entry)
{
	struct cw_homes_stats stats;

	cw_homes_get_stats(cw_pool_homes(cw_gate_pool(entry->gate)), &stats);
	cw_gauge_set("prefixes_with_more_homes", "", stats.prefixes);
	cw_gauge_set("prefix_requests", "at=\"home\"", stats.at_home);
	cw_gauge_set("prefix_requests", "at=\"elsewhere\"", stats.elsewhere);
	cw_gauge_set("connections", "kind=\"opened\"",
		     cw_client_count_opened(entry->server_client));
	cw_gauge_set("connections", "kind=\"reused\"",
		     cw_client_count_reused(entry->server_client));
	cw_gauge_set("connections", "kind=\"passed_over\"",
		     cw_client_count_passed_over(entry->server_client));
	cw_gauge_set("held_body_bytes", "", cw_listener_held_bytes(entry->caller_listener));
	cw_gauge_set("stray_answers", "", cw_client_count_stray(entry->server_client));
}
