/*
 * The answer in hand: a smaller model's answer that is kept while the largest model is asked, and
 * forwarded if that one is rejected, fails or is too late.
 *
 * Load pattern: overloaded engines. The largest model's answer is awaited for most of the caller's
 * time and then fails or is late, and the caller gets nothing, although a smaller model's answer
 * began at once.
 */
#include "gate_internal.h"

#include <string.h>

#define RETURN_PATH_MS	    25	 /* back to the caller, and a scheduling pause of this instance */
#define PATIENCE_MIN_MS	    2000 /* a caller waits so long at least for a first event, */
#define PATIENCE_OBJECTIVES 4	 /* or the route's objective times this, */
#define PATIENCE_PAUSES	    8	 /* or the route's pause times this */
#define STATUS_OK	    200	 /* the only status of a stream that is forwarded by events */
#define TIME_LEFT_MIN_MS    20	 /* too short for another attempt */

static int64_t due_ms(const struct cw_call *call, int confidence);
static int64_t latest_start_ms(const struct cw_call *call);
static double stream_ms(const struct cw_call *call, size_t model_index);
static void exchange_runs(struct cw_call *call);
static void save_run(const struct cw_call *call, struct gate_run *run);
static void load_run(struct cw_call *call, const struct gate_run *run);

int cw_call_has_kept(const struct cw_call *call)
{
	return call->kept.is_held;
}

int64_t cw_call_kept_due_ms(const struct cw_call *call)
{
	return call->kept.is_held ? call->kept.due_ms : -1;
}

struct cw_server *cw_call_kept_server(const struct cw_call *call)
{
	return call->kept.is_held ? call->kept.run.server : NULL;
}

int cw_call_check_kept(struct cw_call *call, int64_t now_ms, struct cw_step *step)
{
	if (!call->kept.is_held || now_ms < call->kept.due_ms)
		return 0;
	memset(step, 0, sizeof(*step));
	return call_kept_deliver(call, "large_late", now_ms, step);
}

void cw_call_complete_kept(struct cw_call *call, unsigned int events, int64_t now_ms)
{
	if (!call->kept.is_held)
		return;
	exchange_runs(call);
	call->events_forwarded = events;
	call->has_other_run |= call->kept.run.server != NULL;
	call_complete_attempt(call, now_ms);
	exchange_runs(call);
	call->kept.is_complete = 1;
}

void cw_call_fail_kept(struct cw_call *call, enum cw_attempt_failure how, int64_t now_ms)
{
	if (!call->kept.is_held)
		return;
	call->kept.is_held = 0;
	exchange_runs(call);
	call_fail_attempt(call, how, now_ms);
	exchange_runs(call);
}

void cw_call_drop_kept(struct cw_call *call, int64_t now_ms)
{
	call_kept_drop(call, now_ms);
}

/*
 * Where the configuration gives the tokens of an event, it is known how long an answer takes and
 * until when it may wait. A continued answer isn't kept: a second run would go on from the same
 * event beside it. An answer through a peer isn't either: its path is one of a few.
 */
int call_kept_may_begin(const struct cw_call *call, const struct cw_response_head *answer)
{
	return call->gate->policy->keep_answer > 0 && call->service &&
	       call->service->tokens_per_event > 0 && answer->is_event_stream &&
	       answer->status == STATUS_OK && !call->is_resumed && !call->is_via_peer;
}

int call_kept_is_too_late(const struct cw_call *call, int confidence, int64_t now_ms)
{
	return due_ms(call, confidence) <= now_ms + TIME_LEFT_MIN_MS;
}

/* From now on the request may crash the server like one that has left it. */
void call_kept_begin(struct cw_call *call, int confidence, int64_t now_ms)
{
	struct gate_kept *kept = &call->kept;

	call_record_incomplete(call, call->server, now_ms);
	save_run(call, &kept->run);
	kept->run.has_no_event_times = 1;
	kept->confidence = confidence;
	kept->due_ms = due_ms(call, confidence);
	kept->is_complete = 0;
	kept->is_held = 1;
	call->server = NULL;
	call->work_ms = 0;
	call->held_tokens = 0;
	call->has_other_run = 0;
}

void call_kept_take_back(struct cw_call *call)
{
	load_run(call, &call->kept.run);
	call->kept.is_held = 0;
}

void call_kept_fill_step(const struct cw_call *call, int64_t now_ms, struct cw_step *step)
{
	step->keeps_answer = 1;
	step->kept_timeout_ms = call_event_gap_timeout_ms(call, now_ms);
}

int call_kept_is_enough(const struct cw_call *call)
{
	return call->kept.is_held &&
	       call->kept.confidence >= call->gate->policy->escalate_below_late;
}

int call_kept_is_complete(const struct cw_call *call)
{
	return call->kept.is_held && call->kept.is_complete;
}

int call_kept_deliver(struct cw_call *call, const char *why, int64_t now_ms, struct cw_step *step)
{
	if (!call->kept.is_held || call->has_forwarded)
		return 0;
	call->kept.run.has_other_run |= call->server != NULL;
	if (call->server)
		call_abandon_attempt(call, now_ms);
	load_run(call, &call->kept.run);
	call->events_forwarded = 0; /* counted anew as they are forwarded */
	call->kept.is_held = 0;
	step->kind = CW_STEP_FORWARD_KEPT;
	step->reason = why;
	step->kept_confidence = call->kept.confidence;
	step->read_timeout_ms = call_event_gap_timeout_ms(call, now_ms);
	return 1;
}

void call_kept_drop(struct cw_call *call, int64_t now_ms)
{
	if (!call->kept.is_held)
		return;
	exchange_runs(call);
	if (call->server)
		call_abandon_attempt(call, now_ms);
	exchange_runs(call);
	call->kept.is_held = 0;
}

/*
 * An answer that would be trusted where the largest model is late is delivered within the latency
 * objective. One with less confidence waits on while the caller is far from giving up. None waits
 * longer than the largest model's whole stream fits, or than it can be delivered whole itself.
 */
static int64_t due_ms(const struct cw_call *call, int confidence)
{
	const struct cw_policy *policy = call->gate->policy;
	const struct cw_route *route = call->route;
	int64_t objective_ms = call->opened_ms + route->objective_ms - RETURN_PATH_MS;
	int64_t last_ms = call->deadline_ms - RETURN_PATH_MS -
			  (int64_t)(call->kept.is_complete ? 0 : stream_ms(call, 0));
	int64_t patience_ms = MAX(PATIENCE_MIN_MS, PATIENCE_OBJECTIVES * route->objective_ms);
	double wait_ms;

	last_ms = MIN(last_ms, latest_start_ms(call));
	if (confidence >= policy->escalate_below_late)
		return MIN(objective_ms, last_ms);
	patience_ms = MAX(patience_ms, PATIENCE_PAUSES * route->pause_ms);
	wait_ms = policy->keep_wait_part *
		  (double)MIN(patience_ms, call->deadline_ms - call->opened_ms);
	return MIN(MAX(objective_ms, call->opened_ms + (int64_t)wait_ms), last_ms);
}

/* A stream of the largest model that begins later uses more than its part of the time left. */
static int64_t latest_start_ms(const struct cw_call *call)
{
	double whole_ms = stream_ms(call, call->route->model_count - 1);

	return call->deadline_ms -
	       (int64_t)(whole_ms / MAX(call->gate->policy->escalate_whole_part, 0.01));
}

/* Usual time from the first to the last event; 0: not known. */
static double stream_ms(const struct cw_call *call, size_t model_index)
{
	const char *model = call->route->models[model_index];

	if (!call->service || call->service->tokens_per_event <= 0)
		return 0;
	return call->info.estimated_output_tokens / call->service->tokens_per_event *
	       gate_get_timing(call->gate, model)->event_gap_ms;
}

/* Makes the kept answer's run the current attempt, and the reverse. */
static void exchange_runs(struct cw_call *call)
{
	struct gate_run current;

	save_run(call, &current);
	load_run(call, &call->kept.run);
	call->kept.run = current;
}

static void save_run(const struct cw_call *call, struct gate_run *run)
{
	*run = (struct gate_run){
		.server = call->server,
		.sent_ms = call->sent_ms,
		.head_ms = call->head_ms,
		.model_index = call->model_index,
		.work_ms = call->work_ms,
		.held_tokens = call->held_tokens,
		.events_forwarded = call->events_forwarded,
		.has_no_event_times = call->has_no_event_times,
		.has_other_run = call->has_other_run,
		.is_via_peer = call->is_via_peer,
		.is_head_seen = call->is_head_seen,
		.server_was_loaded = call->server_was_loaded,
	};
	g_strlcpy(run->software, call->software, sizeof(run->software));
}

static void load_run(struct cw_call *call, const struct gate_run *run)
{
	call->server = run->server;
	call->sent_ms = run->sent_ms;
	call->head_ms = run->head_ms;
	call->model_index = run->model_index;
	call->work_ms = run->work_ms;
	call->held_tokens = run->held_tokens;
	call->events_forwarded = run->events_forwarded;
	call->has_no_event_times = run->has_no_event_times;
	call->has_other_run = run->has_other_run;
	call->is_via_peer = run->is_via_peer;
	call->is_head_seen = run->is_head_seen;
	call->server_was_loaded = run->server_was_loaded;
	g_strlcpy(call->software, run->software, sizeof(call->software));
}
