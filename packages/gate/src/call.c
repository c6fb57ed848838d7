#include "gate_internal.h"

#include <string.h>

#define CONNECT_FAILURES_MAX	     4	  /* failed connections before the request is rejected */
#define NON_REPEATABLE_REUSE_IDLE_MS 1500 /* short, so that the server has rarely closed it */
#define NO_CONFIG_RETRY_MS	     500
#define RETURN_PATH_MS		     15 /* from the router back to the caller */
#define URGENCY_MAX		     9
#define SERVICE_HASH_SEED	     0x5e41 /* makes the hash independent of that of roll-outs */
#define WAIT_STEP_MS		     5	    /* between two looks for room at a brittle server */
#define TIME_LEFT_MIN_MS	     20	    /* too short for another attempt */
#define STATUS_OK		     200    /* the only status of a stream */

static int resolve_target(struct cw_call *call, struct cw_step *step);
static void dispatch_first(struct cw_call *call, int64_t now_ms, struct cw_step *step);
static void dispatch_or_wait(struct cw_call *call, int64_t now_ms, struct cw_step *step);
static void stop_waiting(struct cw_call *call);
static void report_route_kinds(struct cw_call *call);
static int dispatch_attempt(struct cw_call *call, int64_t now_ms, struct cw_step *step);
static int continues_stream(const struct cw_response_head *answer);
static int escalate(struct cw_call *call, const struct cw_response_head *answer, int64_t now_ms,
		    struct cw_step *step);
static int switch_server(struct cw_call *call, int64_t now_ms, struct cw_step *step);
static void fill_dispatch(struct cw_call *call, int64_t now_ms, struct cw_step *step);
static int take_retry(struct cw_call *call, int64_t now_ms);
static void retry_or_fail(struct cw_call *call, int64_t now_ms, struct cw_step *step,
			  const char *reason);
static void record_wait(const struct cw_call *call);
static uint64_t session_key(const struct cw_call *call);

struct cw_call *cw_call_open(struct cw_gate *gate, const struct cw_request_info *info,
			     int64_t arrived_ms, int64_t now_ms, struct cw_step *step)
{
	struct cw_call *call = g_new0(struct cw_call, 1);

	memset(step, 0, sizeof(*step));
	call->gate = gate;
	call->info = *info;
	call->opened_ms = arrived_ms;
	call->last_event = info->last_event;
	call->is_resumed = info->last_event != CW_NO_EVENT;
	call->deadline_ms = arrived_ms + (info->allowed_ms >= 0 ? info->allowed_ms : 0);
	if (!gate->config) {
		call_reject(step, 503, "no configuration is known yet");
		step->retry_after_ms = NO_CONFIG_RETRY_MS + call_retry_after_ms(call);
		return call;
	}
	call->config = cw_config_ref(gate->config);
	if (resolve_target(call, step) && !call_reject_quarantined(call, step))
		dispatch_first(call, now_ms, step);
	return call;
}

void cw_call_reject(struct cw_call *call, int64_t now_ms, const char *reason, struct cw_step *step)
{
	if (step->kind != CW_STEP_SEND && step->kind != CW_STEP_WAIT)
		return;
	stop_waiting(call);
	call_release_server(call, now_ms, 0);
	call->attempts = 0;
	memset(step, 0, sizeof(*step));
	call_reject_not_run(call, step, reason, now_ms);
}

void cw_call_handle_head(struct cw_call *call, const struct cw_response_head *answer,
			 int64_t now_ms, struct cw_step *step)
{
	struct cw_load load = {
		.running = answer->running, .queued = answer->queued, .slots = answer->slots};

	memset(step, 0, sizeof(*step));
	step->confidence_threshold = -1;
	if (answer->has_load) {
		cw_pool_apply_report(call->server, &load, now_ms);
		gate_add_load_report(call->gate, call->service_name, &load, now_ms);
		call_work_record_load(call, &load, now_ms);
	}
	if (answer->has_warmup_time)
		cw_warmup_set_cold(&call->server->warmup, answer->cold_ms, now_ms);
	call_apply_reports(call, answer, now_ms);
	step->was_under_load = call->server_was_loaded;
	if (answer->is_not_run) {
		call_release_server(call, now_ms, 0);
		/* No evidence of overload: a different server at a reused address, and a server
		 * that gets nothing more until its rest ends. */
		if (!answer->is_other_server && answer->rest != CW_FIELD_VALID)
			gate_count_rejected(call->gate, call->service_name, now_ms);
		if (call_kept_deliver(call, "large_rejected", now_ms, step))
			return;
		call_model_fall_back(call, now_ms);
		if (take_retry(call, now_ms) && dispatch_attempt(call, now_ms, step))
			return;
		if (call->has_forwarded) {
			step->kind = CW_STEP_ABORT;
			return;
		}
		call_reject_not_run(call, step, "the backend servers did not take it", now_ms);
		call_extend_retry_after(call, step, now_ms);
		return;
	}
	call->may_have_run = 1;
	if (answer->is_encoded || (answer->status < 400 && !answer->is_signed)) {
		cw_call_handle_failure(call, CW_ATTEMPT_MALFORMED, now_ms, step);
		return;
	}
	if (call->has_forwarded && answer->status < 500 && !continues_stream(answer)) {
		cw_call_handle_failure(call, CW_ATTEMPT_MALFORMED, now_ms, step);
		return;
	}
	if (answer->status >= 500) {
		call_work_record_failure(call, now_ms);
		if (!call_kept_is_enough(call) && call_is_retriable(call) &&
		    take_retry(call, now_ms) && switch_server(call, now_ms, step))
			return;
		if (call_kept_deliver(call, "large_failed", now_ms, step))
			return;
		if (call->has_forwarded) {
			step->kind = CW_STEP_ABORT;
			return;
		}
		if (!answer->is_signed) {
			call_fail(call, step, "a backend server failed");
			return;
		}
	}
	if (answer->status < 500)
		call_work_record_head(call, now_ms);
	step->is_slow = call->is_slow;
	step->late_work_ms = call->late_work_ms;
	if (answer->status >= 300 && call_kept_deliver(call, "large_failed", now_ms, step))
		return;
	if (!call->has_forwarded && call_model_should_escalate(call, answer, now_ms, step)) {
		if (escalate(call, answer, now_ms, step))
			return;
		step->reason = "no_server";
	}
	step->kind = CW_STEP_FORWARD;
	step->read_timeout_ms = call->route->retry_policy == CW_RETRY_STREAM
					? call_event_gap_timeout_ms(call, now_ms)
					: call_idle_timeout_ms(call, now_ms);
}

/* The caller has the head and events of an earlier answer, and would take any end for theirs. */
static int continues_stream(const struct cw_response_head *answer)
{
	return answer->status == STATUS_OK && answer->is_event_stream;
}

void cw_call_set_via_peer(struct cw_call *call)
{
	call->is_via_peer = 1;
}

int cw_call_wants_event(const struct cw_call *call, int64_t event)
{
	return event < 0 || event > call->last_event;
}

void cw_call_add_event(struct cw_call *call, int64_t event, int64_t now_ms)
{
	call_kept_drop(call, now_ms);
	call->has_forwarded = 1;
	call_work_record_event(call, now_ms);
	if (event >= 0)
		call->last_event = event;
}

/* The rest of such an answer can come from its own run only. */
void cw_call_begin_body(struct cw_call *call, int64_t now_ms)
{
	call_kept_drop(call, now_ms);
	call->has_forwarded = 1;
	call->is_body_forwarded = 1;
}

void cw_call_handle_failure(struct cw_call *call, enum cw_attempt_failure how, int64_t now_ms,
			    struct cw_step *step)
{
	memset(step, 0, sizeof(*step));
	if (how == CW_ATTEMPT_NO_CONNECTION || how == CW_ATTEMPT_CONNECTION_REFUSED) {
		if (how == CW_ATTEMPT_NO_CONNECTION)
			cw_pool_mark_unreachable(call->server);
		cw_pool_record_refusal(call->server, now_ms, gate_random(call->gate));
		cw_gate_note_unopened(call->gate, call->server,
				      how == CW_ATTEMPT_CONNECTION_REFUSED, now_ms);
		call_release_server(call, now_ms, 0);
		call->attempts--;
		if (++call->connect_failures < CONNECT_FAILURES_MAX &&
		    now_ms + TIME_LEFT_MIN_MS < call->deadline_ms &&
		    dispatch_attempt(call, now_ms, step))
			return;
		if (call_kept_deliver(call, "large_unsent", now_ms, step))
			return;
		if (call->has_forwarded)
			step->kind = CW_STEP_ABORT;
		else
			call_reject_not_run(call, step, "no backend server could be reached",
					    now_ms);
		return;
	}
	call_fail_attempt(call, how, now_ms);
	retry_or_fail(call, now_ms, step, "the backend server's answer was not whole");
}

void cw_call_complete(struct cw_call *call, int64_t now_ms)
{
	if (call->server)
		call_complete_attempt(call, now_ms);
}

void cw_call_expire(struct cw_call *call, int64_t now_ms, struct cw_step *step)
{
	memset(step, 0, sizeof(*step));
	if (call_kept_is_complete(call) && call_kept_deliver(call, "deadline", now_ms, step))
		return;
	call_kept_drop(call, now_ms);
	if (call->server)
		call_abandon_attempt(call, now_ms);
	if (call->has_forwarded) {
		step->kind = CW_STEP_ABORT;
		return;
	}
	call_reject(step, 504, "no answer in time");
	step->run = call->may_have_run || call->attempts > 0 ? CW_RUN_UNKNOWN : CW_RUN_NOT_EXECUTED;
}

/* The attempt may still be queued at a server, which it would crash too: it is cancelled. */
void cw_call_abort(struct cw_call *call, int64_t now_ms, struct cw_step *step)
{
	memset(step, 0, sizeof(*step));
	if (call_kept_is_complete(call) && call_kept_deliver(call, "quarantined", now_ms, step))
		return;
	call_kept_drop(call, now_ms);
	if (call->server)
		call_abandon_attempt(call, now_ms);
	if (call->has_forwarded)
		step->kind = CW_STEP_ABORT;
	else
		call_fail(call, step, "quarantined: servers ended under it");
}

void cw_call_close(struct cw_call *call, int64_t now_ms)
{
	if (!call)
		return;
	stop_waiting(call);
	call_kept_drop(call, now_ms);
	if (call->server)
		call_abandon_attempt(call, now_ms);
	cw_config_unref(call->config);
	g_free(call);
}

int cw_call_may_change_server(const struct cw_call *call)
{
	return call_is_retriable(call) && (int)call->attempts < call->route->max_attempts;
}

/* Without, a server that is silent, or only seems unreachable, is better than none. */
int cw_call_has_alternative(struct cw_call *call, int64_t now_ms)
{
	return call->kept.is_held || (call_is_retriable(call) && call_may_retry(call, now_ms));
}

int64_t cw_call_deadline_ms(const struct cw_call *call)
{
	return call->deadline_ms;
}

const struct cw_route *cw_call_route(const struct cw_call *call)
{
	return call->route;
}

const char *cw_call_organisation(const struct cw_call *call)
{
	return call->organisation ? call->organisation->name : "-";
}

const char *cw_call_model(const struct cw_call *call)
{
	if (!call->route || call->route->model_count == 0)
		return *call->info.model ? call->info.model : "-";
	return call->route->models[call->model_index];
}

struct cw_server *cw_call_server(const struct cw_call *call)
{
	return call->server;
}

uint64_t cw_call_fingerprint(const struct cw_call *call)
{
	return call->fingerprint;
}

const struct cw_report_changes *cw_call_report_changes(const struct cw_call *call)
{
	return &call->report_changes;
}

unsigned int cw_call_attempts(const struct cw_call *call)
{
	return call->attempts;
}

double cw_call_predicted_ms(const struct cw_call *call)
{
	return call->predicted_ms;
}

double cw_call_work_ms(const struct cw_call *call)
{
	return call->work_ms;
}

/*
 * A caller that retries has less time left than the longest limit on its route; the difference
 * estimates how long it has been waiting.
 */
static void record_wait(const struct cw_call *call)
{
	int64_t waited_ms;

	if (call->info.allowed_ms < 0)
		return;
	waited_ms = gate_update_longest_wait(call->gate, call->route->name, call->info.allowed_ms) -
		    call->info.allowed_ms;
	cw_rollouts_record_retry(call->gate->rollouts, call->service_name, call->session,
				 call->opened_ms - waited_ms, call->opened_ms);
}

/* Sets route, organisation and service; 0: rejected. */
static int resolve_target(struct cw_call *call, struct cw_step *step)
{
	const struct cw_config *config = call->config;

	call->route = cw_config_find_route(config, call->info.host, call->info.path);
	if (!call->route) {
		call_reject(step, 404, "no route");
		return 0;
	}
	if (cw_config_requires_key(config) && !call->route->is_public) {
		call->organisation = cw_config_find_organisation(config, call->info.key);
		if (!call->organisation) {
			call_reject(step, 401, "unknown key");
			return 0;
		}
	}
	call->fingerprint = cw_quarantine_fingerprint(
		call->info.path, call->organisation ? call->organisation->name : "",
		call->info.body);
	call->session = session_key(call);
	call->route_hash = cw_hash_text(call->route->name, 0);
	call->service_name = cw_route_choose_service(
		call->route, cw_hash(&call->session, sizeof(call->session), SERVICE_HASH_SEED));
	record_wait(call);
	call->service = cw_config_find_service(config, call->service_name);
	return 1;
}

static void dispatch_first(struct cw_call *call, int64_t now_ms, struct cw_step *step)
{
	int64_t limit_ms = call->opened_ms + call->route->limit_ms;

	if (call->info.allowed_ms < 0 || limit_ms < call->deadline_ms)
		call->deadline_ms = limit_ms;
	call_share_count(call, now_ms);
	call->goes_first = call_share_goes_first(call, now_ms);
	if (call_should_reject(call, now_ms)) {
		call_reject_not_run(call, step, "the backend servers have no room", now_ms);
		return;
	}
	report_route_kinds(call);
	call_model_choose_first(call, now_ms);
	dispatch_or_wait(call, now_ms, step);
}

void cw_call_resume(struct cw_call *call, int64_t now_ms, struct cw_step *step)
{
	memset(step, 0, sizeof(*step));
	stop_waiting(call);
	dispatch_or_wait(call, now_ms, step);
}

int cw_call_is_waiting(const struct cw_call *call)
{
	return call->is_waiting;
}

static void dispatch_or_wait(struct cw_call *call, int64_t now_ms, struct cw_step *step)
{
	if (!dispatch_attempt(call, now_ms, step)) {
		if (!call_may_wait(call, now_ms)) {
			call_reject_unsent(call, step, now_ms);
			return;
		}
		call->is_waiting = 1;
		call->gate->waiting++;
		step->kind = CW_STEP_WAIT;
		step->wait_ms = WAIT_STEP_MS;
		return;
	}
	/* Counted after the send: a request rejected unsent must not add to the retry budget. */
	cw_repeats_count_first(gate_get_retry_budget(call->gate, call->service_name), now_ms);
}

static void stop_waiting(struct cw_call *call)
{
	if (!call->is_waiting)
		return;
	call->is_waiting = 0;
	call->gate->waiting--;
}

/* Classifies the route's requests for the trial of a new version. */
static void report_route_kinds(struct cw_call *call)
{
	struct cw_rollout_request request = call_rollout_request(call);
	uint32_t kinds = 0;

	call->is_output_heavy = call_work_is_output_heavy(call);
	if (call->is_output_heavy)
		kinds |= CW_ROLLOUT_LONG_RUNNING;
	if (call_work_has_short_prompt(call))
		kinds |= CW_ROLLOUT_SHORT_PROMPT;
	cw_rollouts_record_arrival(call->gate->rollouts, &request, kinds,
				   call->service ? call->service->slots : 0);
}

/* Starts an attempt; 1: step is CW_STEP_SEND, 0: no server may take the request. */
static int dispatch_attempt(struct cw_call *call, int64_t now_ms, struct cw_step *step)
{
	int is_affinity_server = 0;
	struct cw_server *server = call_choose_server(call, now_ms, &is_affinity_server);

	if (!server)
		return 0;
	step->assignment = call->assignment;
	call->is_resumed |= call->has_forwarded;
	call->server = server;
	call->is_via_peer = 0;
	g_strlcpy(call->software, server->software, sizeof(call->software));
	call->sent_ms = now_ms;
	gate_count_sent(call->gate, call->service_name, now_ms);
	call_work_begin(call, is_affinity_server, now_ms);
	call_count_prefix(call, is_affinity_server, now_ms);
	cw_rollouts_record_dispatch(call->gate->rollouts, call->service_name, call->session,
				    server->software, now_ms);
	call->attempts++;
	call->tried[call->tried_count++ % CW_MAX_ATTEMPTS] = server->id;
	cw_pool_record_dispatch(server, now_ms);
	step->kind = CW_STEP_SEND;
	step->server = server;
	step->connect_ms = call_connect_timeout_ms(call);
	step->reuse_idle_ms = call_reuse_idle_ms(call);
	step->read_timeout_ms = call_idle_timeout_ms(call, now_ms);
	fill_dispatch(call, now_ms, step);
	return 1;
}

int64_t call_reuse_idle_ms(const struct cw_call *call)
{
	return call_runs_once(call) ? NON_REPEATABLE_REUSE_IDLE_MS
				    : (int64_t)call->gate->policy->reuse_idle_ms;
}

/* Asks the largest model, and keeps the answer that began if it may be kept; 0: it stands. */
static int escalate(struct cw_call *call, const struct cw_response_head *answer, int64_t now_ms,
		    struct cw_step *step)
{
	size_t small_index = call->model_index;
	int is_kept = call_kept_may_begin(call, answer);

	if (is_kept)
		call_kept_begin(call, answer->confidence, now_ms);
	call->model_index = call->route->model_count - 1;
	call->tried_count = 0; /* no server failed: the same one may run the other model */
	if (!is_kept && switch_server(call, now_ms, step))
		return 1;
	if (is_kept && dispatch_attempt(call, now_ms, step)) {
		call_kept_fill_step(call, now_ms, step);
		return 1;
	}
	if (is_kept)
		call_kept_take_back(call);
	call->model_index = small_index;
	return 0;
}

/* Moves from the server that answered to another; 0: none is available, the answer stands. */
static int switch_server(struct cw_call *call, int64_t now_ms, struct cw_step *step)
{
	struct cw_server *previous = call->server;
	int64_t previous_run_time_ms = call_run_time_ms(call, now_ms);

	call_work_end(call);
	if (!dispatch_attempt(call, now_ms, step))
		return 0;
	cw_quarantine_note_incomplete(call->gate->quarantine, call->fingerprint, previous->id,
				      previous_run_time_ms, now_ms);
	cw_pool_record_end(previous, now_ms, -1);
	return 1;
}

static void fill_dispatch(struct cw_call *call, int64_t now_ms, struct cw_step *step)
{
	struct cw_dispatch *dispatch = &step->dispatch;
	int urgency = call->route->priority;

	g_strlcpy(dispatch->server, call->server->name, sizeof(dispatch->server));
	if (call->organisation)
		g_strlcpy(dispatch->organisation, call->organisation->name,
			  sizeof(dispatch->organisation));
	if (call->route->model_count > 0 && !strcmp(call->info.model, CW_ANY_MODEL))
		g_strlcpy(dispatch->model, call->route->models[call->model_index],
			  sizeof(dispatch->model));
	dispatch->allowed_ms = MAX(call->deadline_ms - now_ms - RETURN_PATH_MS, 1);
	dispatch->last_event = call->last_event;
	if (call->organisation && call->organisation->has_priority)
		urgency += (int)call->gate->policy->urgency_step * call->organisation->priority;
	if (call->goes_first)
		urgency = MAX(urgency - (int)call->gate->policy->urgency_step, 0);
	dispatch->urgency =
		call->service && call->service->is_engine ? MIN(urgency, URGENCY_MAX) : -1;
}

int call_may_retry(struct cw_call *call, int64_t now_ms)
{
	return (int)call->attempts < call->route->max_attempts &&
	       now_ms + TIME_LEFT_MIN_MS < call->deadline_ms && !call_has_single_attempt(call) &&
	       cw_repeats_has_room(gate_get_retry_budget(call->gate, call->service_name), now_ms);
}

static int take_retry(struct cw_call *call, int64_t now_ms)
{
	return call_may_retry(call, now_ms) &&
	       cw_repeats_take(gate_get_retry_budget(call->gate, call->service_name), now_ms);
}

static void retry_or_fail(struct cw_call *call, int64_t now_ms, struct cw_step *step,
			  const char *reason)
{
	if (!call_kept_is_enough(call) && call_is_retriable(call) && take_retry(call, now_ms) &&
	    dispatch_attempt(call, now_ms, step))
		return;
	if (call_kept_deliver(call, "large_failed", now_ms, step))
		return;
	if (call->has_forwarded)
		step->kind = CW_STEP_ABORT;
	else
		call_fail(call, step, reason);
}

static uint64_t session_key(const struct cw_call *call)
{
	if (*call->info.session)
		return cw_hash_text(call->info.session, 0);
	return cw_hash_text(call->info.id, 0);
}
