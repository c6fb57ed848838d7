/* Quarantine of poison requests: records crashes and answers, and rejects quarantined requests. */
#include "gate_internal.h"

static int start_trial(struct cw_call *call);

int cw_call_is_quarantined(const struct cw_call *call)
{
	return !call->is_trial && cw_quarantine_contains(call->gate->quarantine, call->fingerprint);
}

int call_has_single_attempt(const struct cw_call *call)
{
	return call->is_trial || cw_call_is_quarantined(call);
}

/*
 * Each server that starts a poison request crashes, with all other requests on it. The answer
 * states that the request was not run and has no Retry-After, because a retry would be rejected as
 * well.
 */
int call_reject_quarantined(struct cw_call *call, struct cw_step *step)
{
	if (!cw_call_is_quarantined(call))
		return 0;
	if (start_trial(call))
		return 0;
	call_reject(step, 503, "quarantined: servers ended under it");
	return 1;
}

/* Instances that know each other take turns, since a trial may crash a server. */
static int start_trial(struct cw_call *call)
{
	struct cw_quarantine *quarantine = call->gate->quarantine;

	size_t rank;

	if (!cw_pool_find_rank(call->gate->pool, call->fingerprint, &rank) ||
	    !cw_quarantine_admits_trial(quarantine, call->fingerprint, rank, call->opened_ms))
		return 0;
	cw_quarantine_begin_trial(quarantine, call->fingerprint, call->opened_ms);
	call->is_trial = 1;
	return 1;
}

void call_record_incomplete(struct cw_call *call, const struct cw_server *server, int64_t now_ms)
{
	cw_quarantine_note_incomplete(call->gate->quarantine, call->fingerprint, server->id,
				      call_run_time_ms(call, now_ms), now_ms);
}

void call_record_crash(struct cw_call *call, int64_t now_ms)
{
	struct cw_gate *gate = call->gate;
	struct cw_quarantine_request request = cw_call_identity(call);
	int64_t ran_ms = call_run_time_ms(call, now_ms);

	if (!call->is_via_peer)
		cw_gate_note_break(gate, &request, call->server, ran_ms, call->is_head_seen,
				   now_ms);
	else if (!gate_ends_as_planned(gate, call->server, now_ms))
		cw_quarantine_note_break(gate->quarantine, &request, call->server->id, ran_ms,
					 call->is_head_seen, now_ms);
}

struct cw_quarantine_request cw_call_identity(const struct cw_call *call)
{
	return (struct cw_quarantine_request){
		.fingerprint = call->fingerprint,
		.organisation = cw_call_organisation(call),
		.target = call->route->name,
	};
}

/* Counted from the response head, if any, because time in a queue is not run time. */
int64_t call_run_time_ms(const struct cw_call *call, int64_t now_ms)
{
	return now_ms - (call->is_head_seen ? call->head_ms : call->sent_ms);
}
