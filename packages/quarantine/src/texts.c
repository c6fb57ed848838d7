/* Names and texts for logs. */
#include "cw_quarantine.h"

#include <glib.h>

const char *cw_quarantine_source_name(enum cw_quarantine_source source)
{
	static const char *const names[] = {
		[CW_QUARANTINE_OWN] = "own",	   [CW_QUARANTINE_PEER] = "peer",
		[CW_QUARANTINE_STORE] = "store",   [CW_QUARANTINE_OPERATOR] = "operator",
		[CW_QUARANTINE_ANSWER] = "answer", [CW_QUARANTINE_EXPIRED] = "time",
	};

	return names[source];
}

const char *cw_quarantine_finding_name(enum cw_quarantine_finding finding)
{
	static const char *const names[] = {
		[CW_QUARANTINE_DETECTED] = "detected", [CW_QUARANTINE_UNREACHABLE] = "unreachable",
		[CW_QUARANTINE_BURST] = "burst",       [CW_QUARANTINE_NO_SERVER] = "no_server",
		[CW_QUARANTINE_REPORTED] = "reported", [CW_QUARANTINE_FALSE_ALARM] = "false_alarm",
	};

	return names[finding];
}

size_t cw_quarantine_format_outages(const struct cw_quarantine_change *change, char *text,
				    size_t size)
{
	size_t used = 0;

	*text = 0;
	for (size_t i = 0; i < change->outage_count && used + 1 < size; i++)
		used += (size_t)g_snprintf(text + used, size - used, "%s%u", i ? "," : "",
					   change->outages[i]);
	return MIN(used, size - 1);
}
