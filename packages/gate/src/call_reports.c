/* What a backend server reports about itself in the head of an answer. */
#include "gate_internal.h"

#include <string.h>

static void apply_rate_limit(struct cw_call *call, const struct cw_response_head *answer,
			     int64_t now_ms);

/* An answer of another server at a reused address reports nothing about this one. */
void call_apply_reports(struct cw_call *call, const struct cw_response_head *answer, int64_t now_ms)
{
	memset(&call->report_changes, 0, sizeof(call->report_changes));
	if (answer->is_other_server)
		return;
	apply_rate_limit(call, answer, now_ms);
	if (answer->leaving == CW_FIELD_VALID && answer->is_leaving)
		call->report_changes.is_leaving = cw_pool_report_leaving(call->server);
	if (answer->rest == CW_FIELD_VALID) {
		cw_pool_request_rest(call->server, answer->rest_s * 1000, now_ms);
		call->report_changes.has_asked_for_rest = 1;
	}
}

/* A rejection may come from a server's front end, which reports no limits: it lifts none. */
static void apply_rate_limit(struct cw_call *call, const struct cw_response_head *answer,
			     int64_t now_ms)
{
	struct cw_rate_limit_report report = {
		.is_limited = answer->rate_limit == CW_FIELD_VALID,
		.per_s = answer->rate_limit_per_s,
		.sent_ms = call->sent_ms,
		.received_ms = now_ms,
	};

	if (answer->rate_limit == CW_FIELD_INVALID || (!report.is_limited && !answer->is_signed))
		return;
	call->report_changes.is_rate_limit_changed =
		cw_pool_apply_rate_limit(call->server, &report, now_ms);
}
