/* What backend servers report about themselves in their answers: a log line for each change. */
#include "cw_counters.h"
#include "cw_timeline.h"
#include "entry.h"

#define SOURCE_ANSWER "answer" /* in logs, in place of the peer that announced a report */

static void log_rate_limit(const struct cw_server *server, const char *source);

void reports_log(const struct cw_server *server, const struct cw_response_head *head,
		 const struct cw_server_news *news)
{
	if (news->is_rate_limit_changed)
		log_rate_limit(server, SOURCE_ANSWER);
	if (head->rate_limit == CW_FIELD_INVALID) {
		cw_counter_add("server_reports_invalid", "", 1);
		cw_warn("gate", "server_report_invalid", "server=%s field=rate_limit",
			server->name);
	}
}

static void log_rate_limit(const struct cw_server *server, const char *source)
{
	if (!cw_rate_limit_is_in_force(&server->rate_limit)) {
		cw_event("gate", "server_limit_lifted", "server=%s source=%s", server->name,
			 source);
		return;
	}
	cw_counter_add("server_limits", "", 1);
	cw_event("gate", "server_limit", "server=%s per_s=%.3f source=%s", server->name,
		 server->rate_limit.newest.per_s, source);
}
