#include "cw_counters.h"
#include "cw_events.h"
#include "cw_timeline.h"
#include "entry_relay.h"

#include <string.h>

#define SYNC_WAIT_MS 700 /* for configuration and server list: reading them takes 10 to 300 ms */

static void on_head(void *context, const struct cw_message *answer);
static void log_head(const struct relay *relay, const struct cw_response_head *head,
		     const struct cw_step *step, double predicted_ms, int64_t took_ms);
static void on_data(void *context, const char *data, size_t size);
static void on_end(void *context);
static void on_failed(void *context, enum cw_flow_failure failure);
static int64_t on_silent(void *context);
static void on_deadline(uv_timer_t *timer);
static void on_closed(uv_handle_t *handle);
static void open_call(struct relay *relay);
static void send_attempt(struct relay *relay, const struct cw_step *step);
static void log_dispatch(const struct relay *relay);
static void record_data_received(struct relay *relay);
static void reject(struct relay *relay, const struct cw_step *step);
static void log_refusal(const struct relay *relay, const struct cw_step *step);
static void log_end(const struct relay *relay, const struct cw_route *route, const char *outcome,
		    int64_t now_ms);
static void forward_events(struct relay *relay);
static void finish(struct relay *relay, const char *outcome);
static void reject_bad_request(struct entry *entry, struct cw_caller *caller,
			       const struct cw_error *error);

const struct cw_exchange_ops relay_exchange_ops = {on_head, on_data, on_end, on_failed, on_silent};

void relay_start(struct entry *entry, struct cw_caller *caller, struct cw_message *request)
{
	struct cw_error error = {0};
	struct relay *relay;
	struct cw_request_info info;

	entry->last_request_ms = entry_now_ms(entry);
	cw_counter_add("requests", "", 1);
	if (cw_up_parse_request(request, &info, &error) != CW_OK) {
		reject_bad_request(entry, caller, &error);
		return;
	}
	relay = g_new0(struct relay, 1);
	relay->entry = entry;
	relay->caller = caller;
	relay->request = request;
	relay->request_info = info;
	relay->opened_ms = entry_now_ms(entry);
	relay->first_byte_ms = -1;
	relay->response_fields = g_string_sized_new(256);
	relay->response_body = g_string_sized_new(0);
	uv_timer_init(&entry->loop, &relay->deadline_timer);
	relay->deadline_timer.data = relay;
	TAILQ_INSERT_TAIL(&entry->relays, relay, link);
	entry->relay_count++;
	cw_caller_set_request(caller, relay);
	if (entry_is_synced(entry))
		open_call(relay);
	else
		uv_timer_start(&relay->deadline_timer, on_deadline, SYNC_WAIT_MS, 0);
}

/*
 * Opens the requests that came before the configuration and the server list were known. Symptom
 * this prevents: after a restart of all instances callers were rejected by processes that had a
 * configuration 20 ms later, and each caller lost its only retry. A starting instance therefore
 * holds a request until it is synced, for SYNC_WAIT_MS at most.
 */
void relay_open_pending(struct entry *entry)
{
	struct relay *relay = TAILQ_FIRST(&entry->relays);

	while (relay) {
		struct relay *next = TAILQ_NEXT(relay, link);

		if (!relay->call)
			open_call(relay);
		relay = next;
	}
}

static void open_call(struct relay *relay)
{
	struct entry *entry = relay->entry;
	int64_t now_ms = entry_now_ms(entry);
	struct cw_step step;

	relay->call =
		cw_call_open(entry->gate, &relay->request_info, relay->opened_ms, now_ms, &step);
	if (cw_caller_is_listener_closed(relay->caller))
		cw_call_reject(relay->call, now_ms, "this instance is stopping", &step);
	else if (!entry_may_send(entry))
		cw_call_reject(relay->call, now_ms, "too many requests in progress", &step);
	relay_start_timer(relay);
	relay_apply_step(relay, &step);
}

void relay_start_timer(struct relay *relay)
{
	int64_t at_ms = cw_call_deadline_ms(relay->call);
	int64_t due_ms = cw_call_kept_due_ms(relay->call);

	relay->is_timer_for_kept = due_ms >= 0 && due_ms < at_ms;
	if (relay->is_timer_for_kept)
		at_ms = due_ms;
	at_ms -= entry_now_ms(relay->entry);
	uv_timer_start(&relay->deadline_timer, on_deadline, (uint64_t)MAX(at_ms, 1), 0);
}

void relay_handle_disconnect(void *context)
{
	struct relay *relay = context;

	relay->caller = NULL;
	cw_counter_add("callers_gone", "", 1);
	finish(relay, "caller_left");
}

void relay_resume(void *context)
{
	struct relay *relay = context;

	if (relay->exchange && relay->is_paused)
		cw_exchange_pause(relay->exchange, 0);
	relay->is_paused = 0;
}

/*
 * A server that restarted behind a network partition does not close the connections of its earlier
 * process: they stay silent, and the callers would wait for seconds. Idle connections to the server
 * are dead too, and a non-idempotent request that was sent on one could not be retried.
 */
void relay_fail_superseded(struct entry *entry)
{
	struct relay *relay = TAILQ_FIRST(&entry->relays);
	const struct cw_server *server;

	TAILQ_FOREACH(server, cw_pool_servers(cw_gate_pool(entry->gate)), link)
		if (server->is_superseded)
			cw_client_close_idle(entry->server_client, server->address);
	while (relay) {
		struct relay *next = TAILQ_NEXT(relay, link);

		kept_fail_superseded(relay);
		server = relay->exchange ? cw_call_server(relay->call) : NULL;
		if (server && server->is_superseded) {
			int is_sent = cw_exchange_is_sent(relay->exchange);

			relay_cancel_exchange(relay);
			relay_handle_failure(relay, is_sent ? CW_FLOW_CONNECTION_LOST
							    : CW_FLOW_NO_CONNECTION);
		}
		relay = next;
	}
}

void relay_fail_unreachable(struct entry *entry, const struct cw_server *server)
{
	struct relay *relay = TAILQ_FIRST(&entry->relays);

	while (relay) {
		struct relay *next = TAILQ_NEXT(relay, link);

		kept_fail_unreachable(relay, server);
		if (relay->exchange && !*relay->peer && cw_call_server(relay->call) == server &&
		    cw_call_has_alternative(relay->call, entry_now_ms(entry))) {
			relay_cancel_exchange(relay);
			relay_handle_failure(relay, CW_FLOW_TIMED_OUT);
		}
		relay = next;
	}
}

void relay_abort_quarantined(struct entry *entry)
{
	struct relay *relay = TAILQ_FIRST(&entry->relays);
	struct cw_step step;

	while (relay) {
		struct relay *next = TAILQ_NEXT(relay, link);

		if (relay->call && cw_call_is_quarantined(relay->call)) {
			cw_call_abort(relay->call, entry_now_ms(entry), &step);
			relay_apply_step(relay, &step);
		}
		relay = next;
	}
}

void relay_abort_all(struct entry *entry)
{
	struct relay *relay;

	while ((relay = TAILQ_FIRST(&entry->relays))) {
		if (relay->caller)
			cw_caller_abort(relay->caller);
		relay->caller = NULL;
		finish(relay, "cut_by_stop");
	}
}

void relay_apply_step(struct relay *relay, const struct cw_step *step)
{
	switch (step->kind) {
	case CW_STEP_SEND:
		send_attempt(relay, step);
		break;
	case CW_STEP_FORWARD:
		cw_exchange_set_read_timeout(relay->exchange, step->read_timeout_ms);
		break;
	case CW_STEP_FORWARD_KEPT:
		kept_deliver(relay, step);
		break;
	case CW_STEP_WAIT:
		uv_timer_start(&relay->deadline_timer, on_deadline, (uint64_t)step->wait_ms, 0);
		break;
	case CW_STEP_REJECT:
		reject(relay, step);
		break;
	case CW_STEP_ABORT:
		relay_cancel_exchange(relay);
		cw_caller_abort(relay->caller);
		relay->caller = NULL;
		finish(relay, "aborted");
		break;
	}
}

static void send_attempt(struct relay *relay, const struct cw_step *step)
{
	relay_cancel_exchange(relay);
	relay->step = *step;
	relay->sent_ms = entry_now_ms(relay->entry);
	relay->peers_tried_count = 0;
	relay->peers_refused = 0;
	relay->unsent = CW_ATTEMPT_NO_CONNECTION;
	if (relay->event_parser)
		cw_events_clear(relay->event_parser);
	bodies_drop(relay);
	cw_counter_add("attempts", "", 1);
	log_dispatch(relay);
	relay_send_on_path(relay);
}

static void log_dispatch(const struct relay *relay)
{
	static const char *const variant_names[] = {
		[CW_ROLLOUT_VARIANT_ANY] = "any",
		[CW_ROLLOUT_VARIANT_OLD] = "old",
		[CW_ROLLOUT_VARIANT_NEW] = "new",
	};
	const struct cw_step *step = &relay->step;

	cw_event("gate", "dispatch",
		 "request=%s attempt=%u server=%s address=%s software=%s route=%s model=%s "
		 "allowed_ms=%ld "
		 "urgency=%d config=%lu load=%.0f waited_ms=%ld session=%s arm=%s share=%.3f "
		 "point=%.3f predicted_ms=%.0f work_ms=%.0f fingerprint=%016lx",
		 relay->request_info.id, cw_call_attempts(relay->call), step->server->name,
		 step->server->address, step->server->software, cw_call_route(relay->call)->name,
		 cw_call_model(relay->call), (long)step->dispatch.allowed_ms,
		 step->dispatch.urgency,
		 (unsigned long)cw_config_version(cw_gate_config(relay->entry->gate)),
		 cw_pool_load(step->server, entry_now_ms(relay->entry)),
		 (long)(entry_now_ms(relay->entry) - relay->opened_ms),
		 *relay->request_info.session ? relay->request_info.session : "-",
		 variant_names[step->assignment.variant], step->assignment.share,
		 step->assignment.point, cw_call_predicted_ms(relay->call),
		 cw_call_work_ms(relay->call), (unsigned long)cw_call_fingerprint(relay->call));
}

static void on_head(void *context, const struct cw_message *answer)
{
	struct relay *relay = context;
	struct cw_response_head head;
	struct cw_step step;
	double predicted_ms = cw_call_predicted_ms(relay->call);
	const struct cw_server *server = cw_call_server(relay->call);
	int64_t now_ms = entry_now_ms(relay->entry);

	if (*relay->peer && !relay_read_peer_head(relay, answer))
		return;
	record_data_received(relay);
	cw_up_parse_answer_head(answer, &head);
	if (*relay->peer && !head.is_other_server)
		reach_note_forwarded(relay->entry, cw_call_server(relay->call),
				     relay->unsent == CW_ATTEMPT_CONNECTION_REFUSED);
	cw_call_handle_head(relay->call, &head, now_ms, &step);
	reports_log(relay->entry, server, &head, cw_call_report_changes(relay->call));
	log_head(relay, &head, &step, predicted_ms, now_ms - relay->sent_ms);
	if (step.kind == CW_STEP_FORWARD && !relay->is_head_sent) {
		relay->http_status = head.status;
		relay->is_stream = head.is_event_stream && head.status == HTTP_STATUS_OK;
		if (relay->is_stream && !relay->event_parser)
			relay->event_parser = cw_events_create();
		g_string_truncate(relay->response_fields, 0);
		cw_up_format_answer_fields(answer, relay->request_info.id, relay->response_fields);
	}
	if (step.kind == CW_STEP_SEND && step.keeps_answer)
		kept_begin(relay, answer, &step);
	relay_apply_step(relay, &step);
}

static void log_head(const struct relay *relay, const struct cw_response_head *head,
		     const struct cw_step *step, double predicted_ms, int64_t took_ms)
{
	static const char *const step_names[] = {
		[CW_STEP_SEND] = "send_again",	 [CW_STEP_FORWARD] = "show",
		[CW_STEP_FORWARD_KEPT] = "kept", [CW_STEP_WAIT] = "wait",
		[CW_STEP_REJECT] = "end",	 [CW_STEP_ABORT] = "end",
	};
	struct cw_connection_use use = cw_exchange_connection_use(relay->exchange);

	cw_event("gate", "answer_head",
		 "request=%s server=%s status=%u sealed=%d not_run=%d predicted_ms=%.0f "
		 "took_ms=%ld "
		 "late_work_ms=%.0f slow=%d running=%u queued=%u loaded=%d confidence=%d asked=%d "
		 "next=%s why=%s connection=%lu use=%u",
		 relay->request_info.id, relay->step.server->name, head->status, head->is_signed,
		 head->is_not_run, predicted_ms, (long)took_ms, step->late_work_ms, step->is_slow,
		 head->running, head->queued, step->was_under_load, head->confidence,
		 step->confidence_threshold, step_names[step->kind],
		 step->kind == CW_STEP_FORWARD && step->reason ? step->reason : "-",
		 (unsigned long)use.connection, use.use);
}

static void on_data(void *context, const char *data, size_t size)
{
	record_data_received(context);
	relay_forward_data(context, data, size);
}

void relay_forward_data(struct relay *relay, const char *data, size_t size)
{
	struct cw_step step;

	if (relay->is_stream) {
		if (cw_events_feed(relay->event_parser, data, size)) {
			forward_events(relay);
			return;
		}
	} else if (bodies_add(relay, data, size)) {
		return;
	}
	relay_cancel_exchange(relay);
	cw_call_handle_failure(relay->call, CW_ATTEMPT_MALFORMED, entry_now_ms(relay->entry),
			       &step);
	relay_apply_step(relay, &step);
}

/* Forwards the complete events in one write; drops events that the caller already has. */
static void forward_events(struct relay *relay)
{
	int64_t now_ms = entry_now_ms(relay->entry);
	const char *event;
	size_t size;
	int64_t id;
	GString *out = NULL;

	while (cw_events_next(relay->event_parser, &event, &size, &id)) {
		if (!cw_call_wants_event(relay->call, id))
			continue;
		cw_call_add_event(relay->call, id, now_ms);
		if (relay->last_event_ms)
			relay->longest_pause_ms =
				MAX(relay->longest_pause_ms, now_ms - relay->last_event_ms);
		relay->last_event_ms = now_ms;
		if (!out)
			out = g_string_sized_new(size);
		g_string_append_len(out, event, (gssize)size);
	}
	if (!out)
		return;
	if (!relay->is_head_sent)
		relay_begin_answer(relay, CW_FLOW_CHUNKED);
	relay_send_to_caller(relay, out->str, out->len);
	g_string_free(out, TRUE);
}

void relay_begin_answer(struct relay *relay, int64_t length)
{
	if (relay->kept && !cw_call_has_kept(relay->call))
		kept_drop(relay, "large_began");
	relay->is_head_sent = 1;
	relay->first_byte_ms = entry_now_ms(relay->entry);
	cw_caller_send_head(relay->caller, relay->http_status, relay->response_fields->str, length);
}

void relay_send_to_caller(struct relay *relay, const char *data, size_t size)
{
	if (!cw_caller_send_body(relay->caller, data, size) || !relay->exchange)
		return;
	relay->is_paused = 1;
	cw_exchange_pause(relay->exchange, 1);
}

static void on_end(void *context)
{
	struct relay *relay = context;
	int64_t now_ms = entry_now_ms(relay->entry);
	struct cw_step step;

	relay->exchange = NULL;
	relay_end_forward(relay, 0);
	if (relay->is_stream && cw_events_count_pending_bytes(relay->event_parser) > 0) {
		cw_call_handle_failure(relay->call, CW_ATTEMPT_CONNECTION_LOST, now_ms, &step);
		relay_apply_step(relay, &step);
		return;
	}
	cw_call_complete(relay->call, now_ms);
	if (!relay->is_head_sent) {
		int has_no_body = relay->request_info.is_head ||
				  relay->http_status == HTTP_STATUS_NO_CONTENT ||
				  relay->http_status == HTTP_STATUS_NOT_MODIFIED;

		relay_begin_answer(relay, has_no_body ? CW_FLOW_NO_BODY
						      : (int64_t)relay->response_body->len);
		cw_caller_send_body(relay->caller, relay->response_body->str,
				    relay->response_body->len);
	}
	cw_caller_end_answer(relay->caller);
	relay->caller = NULL;
	finish(relay, "answered");
}

static void on_failed(void *context, enum cw_flow_failure failure)
{
	relay_handle_failure(context, failure);
}

static int64_t on_silent(void *context)
{
	struct relay *relay = context;
	int64_t wait_ms = cw_call_extra_silence_ms(relay->call, entry_now_ms(relay->entry));

	if (wait_ms > 0)
		cw_event("gate", "silence_extended", "request=%s server=%s wait_ms=%ld",
			 relay->request_info.id, cw_call_server(relay->call)->name, (long)wait_ms);
	return wait_ms;
}

static void on_deadline(uv_timer_t *timer)
{
	struct relay *relay = timer->data;
	struct cw_step step;

	if (!relay->call) {
		open_call(relay);
		return;
	}
	if (relay->is_timer_for_kept) {
		relay->is_timer_for_kept = 0;
		if (cw_call_check_kept(relay->call, entry_now_ms(relay->entry), &step))
			relay_apply_step(relay, &step);
		else
			relay_start_timer(relay);
		return;
	}
	if (cw_call_is_waiting(relay->call)) {
		relay_start_timer(relay);
		cw_call_resume(relay->call, entry_now_ms(relay->entry), &step);
		relay_apply_step(relay, &step);
		return;
	}
	relay_cancel_exchange(relay);
	cw_call_expire(relay->call, entry_now_ms(relay->entry), &step);
	relay_apply_step(relay, &step);
}

static void record_data_received(struct relay *relay)
{
	struct cw_server *server = cw_call_server(relay->call);

	if (!server)
		return;
	if (!*relay->peer)
		reach_note_contact(relay->entry, server);
	cw_quarantine_note_received(cw_gate_quarantine(relay->entry->gate), server->id,
				    relay->sent_ms, entry_now_ms(relay->entry));
}

void relay_cancel_exchange(struct relay *relay)
{
	if (relay->exchange)
		cw_exchange_cancel(relay->exchange);
	relay->exchange = NULL;
	relay_end_forward(relay, 0);
}

static void reject(struct relay *relay, const struct cw_step *step)
{
	GString *fields = g_string_sized_new(64);

	relay_cancel_exchange(relay);
	cw_up_format_rejection_fields(relay->request_info.id, step->retry_after_ms, fields);
	relay->http_status = step->status;
	relay->is_unlogged = cw_call_attempts(relay->call) == 0 &&
			     !rejects_may_log(relay->entry, REJECT_REFUSED);
	log_refusal(relay, step);
	cw_caller_send_head(relay->caller, step->status, fields->str, 0);
	cw_caller_end_answer(relay->caller);
	g_string_free(fields, TRUE);
	relay->caller = NULL;
	finish(relay, "refused");
}

static void log_refusal(const struct relay *relay, const struct cw_step *step)
{
	if (relay->is_unlogged)
		return;
	cw_event("gate", "refused",
		 "request=%s status=%u run=%s retry_after_ms=%ld config=%lu reason=\"%s\"",
		 relay->request_info.id, step->status,
		 step->run == CW_RUN_NOT_EXECUTED ? "not" : "maybe", (long)step->retry_after_ms,
		 cw_gate_config(relay->entry->gate)
			 ? (unsigned long)cw_config_version(cw_gate_config(relay->entry->gate))
			 : 0,
		 step->reason);
}

/* Every request ends here, exactly once; the relay is freed when its timer is closed. */
static void finish(struct relay *relay, const char *outcome)
{
	int64_t now_ms = entry_now_ms(relay->entry);
	const struct cw_route *route = relay->call ? cw_call_route(relay->call) : NULL;
	char label[64];

	relay_cancel_exchange(relay);
	kept_drop(relay, "ended");
	g_snprintf(label, sizeof(label), "outcome=\"%s\"", outcome);
	cw_counter_add("ended", label, 1);
	if (route) {
		g_snprintf(label, sizeof(label), "route=\"%.48s\"", route->name);
		cw_histogram_observe_ms("answer_ms", label, now_ms - relay->opened_ms);
		if (relay->first_byte_ms >= 0)
			cw_histogram_observe_ms("first_byte_ms", label,
						relay->first_byte_ms - relay->opened_ms);
		if (relay->is_stream)
			cw_histogram_observe_ms("longest_pause_ms", label, relay->longest_pause_ms);
	}
	log_end(relay, route, outcome, now_ms);
	cw_call_close(relay->call, now_ms);
	relay->call = NULL;
	TAILQ_REMOVE(&relay->entry->relays, relay, link);
	relay->entry->relay_count--;
	bodies_drop(relay);
	uv_close((uv_handle_t *)&relay->deadline_timer, on_closed);
}

static void log_end(const struct relay *relay, const struct cw_route *route, const char *outcome,
		    int64_t now_ms)
{
	if (relay->is_unlogged)
		return;
	cw_event("gate", "ended",
		 "request=%s outcome=%s status=%u route=%s organisation=%s model=%s attempts=%u "
		 "first_ms=%ld took_ms=%ld pause_ms=%ld",
		 relay->request_info.id, outcome, relay->http_status, route ? route->name : "-",
		 relay->call ? cw_call_organisation(relay->call) : "-",
		 relay->call ? cw_call_model(relay->call) : "-",
		 relay->call ? cw_call_attempts(relay->call) : 0,
		 relay->first_byte_ms < 0 ? -1L : (long)(relay->first_byte_ms - relay->opened_ms),
		 (long)(now_ms - relay->opened_ms), (long)relay->longest_pause_ms);
}

static void on_closed(uv_handle_t *handle)
{
	struct relay *relay = handle->data;

	cw_events_destroy(relay->event_parser);
	g_string_free(relay->response_fields, TRUE);
	g_string_free(relay->response_body, TRUE);
	g_free(relay);
}

static void reject_bad_request(struct entry *entry, struct cw_caller *caller,
			       const struct cw_error *error)
{
	if (rejects_may_log(entry, REJECT_BAD))
		cw_warn("gate", "bad_request", "message=\"%s\"", error->message);
	cw_counter_add("bad_requests", "", 1);
	cw_caller_send_head(caller, HTTP_STATUS_BAD_REQUEST, "", 0);
	cw_caller_end_answer(caller);
}
