/* What a backend server reports about itself in the head of an answer. */
#include "gate_internal.h"

#include <string.h>

static void apply_rate_limit(struct cw_call *call, const struct cw_response_head *answer,
			     int64_t now_ms);
static void apply_brittleness(struct cw_call *call, const struct cw_response_head *answer,
			      int64_t now_ms);

/* An answer of another server at a reused address reports nothing about this one. */
void call_apply_reports(struct cw_call *call, const struct cw_response_head *answer, int64_t now_ms)
{
	memset(&call->report_changes, 0, sizeof(call->report_changes));
	if (answer->is_other_server)
		return;
	if (answer->momentary == CW_FIELD_VALID)
		cw_pool_report_pace(call->server, answer->momentary_pace, now_ms);
	apply_rate_limit(call, answer, now_ms);
	apply_brittleness(call, answer, now_ms);
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

/* As with the rate limit, a rejection of a server's front end lifts nothing. */
static void apply_brittleness(struct cw_call *call, const struct cw_response_head *answer,
			      int64_t now_ms)
{
	struct cw_brittle_report report = {
		.is_brittle = answer->brittle == CW_FIELD_VALID,
		.tolerated_per_s = answer->tolerated_per_s,
		.sent_ms = call->sent_ms,
		.received_ms = now_ms,
	};
	struct cw_load load = {
		.running = answer->running, .queued = answer->queued, .slots = answer->slots};

	if (answer->brittle != CW_FIELD_INVALID && (report.is_brittle || answer->is_signed))
		call->report_changes.is_brittleness_changed =
			cw_pool_apply_brittle(call->server, &report, now_ms);
	if (answer->is_not_run && answer->rest != CW_FIELD_VALID)
		cw_pool_record_rejection(call->server, answer->has_load ? &load : NULL, now_ms);
}
