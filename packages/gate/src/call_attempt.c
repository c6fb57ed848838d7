/* An attempt's timeouts and its end. */
#include "gate_internal.h"

#define CONNECT_TIMEOUT_MAX_MS 400  /* a round trip takes 1 ms, a slow accept 300 ms */
#define CONNECT_TIMEOUT_MIN_MS 100  /* longer than a scheduling pause of this instance */
#define SILENCE_STEP_MS	       1000 /* between two looks for a further attempt */

static void record_failure(struct cw_call *call, int64_t now_ms);

/*
 * An unsent request of any kind may go to another server, so the timeout is a part of the route's
 * latency objective that leaves time for a second attempt.
 */
int64_t call_connect_timeout_ms(const struct cw_call *call)
{
	double part_ms = call->gate->policy->connect_part * (double)call->route->objective_ms;

	return (int64_t)CLAMP(part_ms, CONNECT_TIMEOUT_MIN_MS, CONNECT_TIMEOUT_MAX_MS);
}

/*
 * Longest time an attempt may go without a byte. Only this timeout finds a server that hangs while
 * its health checks pass, early enough for another server to answer in time.
 */
int64_t call_idle_timeout_ms(const struct cw_call *call, int64_t now_ms)
{
	const struct cw_policy *policy = call->gate->policy;
	int64_t left_ms = MAX(call->deadline_ms - now_ms, 1);

	if (!call_is_retriable(call) || (int)call->attempts >= call->route->max_attempts)
		return left_ms;
	if (call->route->retry_policy == CW_RETRY_STREAM)
		return MIN(left_ms,
			   (int64_t)(policy->silence_part * (double)call->route->objective_ms +
				     policy->silence_factor * call->predicted_ms));
	return MIN(left_ms / 2 + 1, MAX(call->route->objective_ms, 1));
}

/*
 * Longest gap between two events of a stream. A stream that hangs is resumed on another server
 * while it can still be on time. Without another attempt the caller decides how long it waits.
 */
int64_t call_event_gap_timeout_ms(const struct cw_call *call, int64_t now_ms)
{
	double pause_ms = call->gate->policy->pause_part * (double)call->route->pause_ms;

	if (!cw_call_may_change_server(call))
		return MAX(call->deadline_ms - now_ms, 1);
	return MAX((int64_t)pause_ms, 1);
}

/* A server that is silent may go on, so it is left only for a further attempt. */
int64_t cw_call_extra_silence_ms(struct cw_call *call, int64_t now_ms)
{
	return cw_call_has_alternative(call, now_ms) ? 0 : SILENCE_STEP_MS;
}

void call_release_server(struct cw_call *call, int64_t now_ms, int is_answered)
{
	struct cw_server *server = call->server;

	if (!server)
		return;
	call_work_end(call);
	cw_rollouts_record_end(call->gate->rollouts, call->service_name, call->session,
			       server->software, now_ms);
	call->server = NULL;
	cw_pool_record_end(server, now_ms, is_answered ? (double)(now_ms - call->sent_ms) : -1);
}

/* An answer shows that the request crashes no server only if no other run of it may have. */
void call_complete_attempt(struct cw_call *call, int64_t now_ms)
{
	call_work_record_completion(call, now_ms);
	if (call->is_resumed || call->has_other_run)
		call_record_incomplete(call, call->server, now_ms);
	else
		cw_quarantine_note_answer(call->gate->quarantine, call->fingerprint,
					  call->server->id, call_run_time_ms(call, now_ms), now_ms);
	cw_pool_record_success(call->server, now_ms);
	call_release_server(call, now_ms, 1);
}

/* An attempt that was sent has ended without a complete answer. */
void call_fail_attempt(struct cw_call *call, enum cw_attempt_failure how, int64_t now_ms)
{
	call->may_have_run = 1;
	if (call->kept.is_held)
		call->kept.run.has_other_run = 1;
	if (how == CW_ATTEMPT_CONNECTION_LOST)
		call_record_crash(call, now_ms);
	else
		call_record_incomplete(call, call->server, now_ms);
	if (how != CW_ATTEMPT_PEER_LOST)
		record_failure(call, now_ms);
	call_release_server(call, now_ms, 0);
}

/* The request may still run on the server, and crash it. */
void call_abandon_attempt(struct cw_call *call, int64_t now_ms)
{
	call_record_incomplete(call, call->server, now_ms);
	call_release_server(call, now_ms, 0);
}

/* Whether the request may run twice is the route's setting, never inferred from a name. */
int call_runs_once(const struct cw_call *call)
{
	switch (call->route->retry_policy) {
	case CW_RETRY_ANY:
		return 0;
	case CW_RETRY_STREAM:
		return !call->route->is_resumable;
	case CW_RETRY_NEVER:
		break;
	}
	return 1;
}

/* Only a stream goes on from the part that was forwarded. */
int call_is_retriable(const struct cw_call *call)
{
	if (call_runs_once(call) || call->is_body_forwarded)
		return 0;
	return !call->has_forwarded || call->route->retry_policy == CW_RETRY_STREAM;
}

static void record_failure(struct cw_call *call, int64_t now_ms)
{
	/* A network partition or a restart of the server is no evidence against the version. */
	int is_own_link = !call->is_via_peer && gate_holds_breaks(call->gate, now_ms);

	if (!call->server->is_unreachable && !call->server->is_superseded && !is_own_link &&
	    !cw_pool_explains_fall(call->server, now_ms) &&
	    cw_pool_record_crash(call->server, now_ms) &&
	    !cw_quarantine_explains_crash(call->gate->quarantine, call->server->id, now_ms))
		call_work_record_failure(call, now_ms);
	cw_pool_record_failure(call->server, now_ms, gate_random(call->gate));
}
