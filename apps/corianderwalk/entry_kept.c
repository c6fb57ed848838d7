/*
 * The answer in hand: buffers a smaller model's answer while the largest model is asked, and
 * forwards or drops it as the gate decides. The buffered bytes are bounded per request and for the
 * instance; an answer that exceeds them is dropped.
 */
#include "cw_counters.h"
#include "cw_events.h"
#include "cw_timeline.h"
#include "entry_relay.h"

struct relay_kept {
	struct cw_exchange *exchange; /* NULL: the answer is complete */
	struct cw_step step;	      /* of its attempt */
	int64_t sent_ms;
	int64_t began_ms;
	GString *fields; /* header fields for the caller */
	GString *bytes;	 /* of the event stream */
};

static void on_head(void *context, const struct cw_message *answer);
static void on_data(void *context, const char *data, size_t size);
static void on_end(void *context);
static void on_failed(void *context, enum cw_flow_failure failure);
static int count_events(const GString *bytes, unsigned int *events);
static void record_outcome(const char *outcome);
static void log_drop(const struct relay *relay, const char *why);
static void free_kept(struct relay *relay);

static const struct cw_exchange_ops kept_ops = {on_head, on_data, on_end, on_failed, NULL};

void kept_begin(struct relay *relay, const struct cw_message *answer, const struct cw_step *step)
{
	struct relay_kept *kept = g_new0(struct relay_kept, 1);

	kept->exchange = relay->exchange;
	kept->step = relay->step;
	kept->sent_ms = relay->sent_ms;
	kept->began_ms = entry_now_ms(relay->entry);
	kept->fields = g_string_sized_new(256);
	kept->bytes = g_string_sized_new(0);
	cw_up_format_answer_fields(answer, relay->request_info.id, kept->fields);
	relay->exchange = NULL;
	relay->kept = kept;
	cw_exchange_set_ops(kept->exchange, &kept_ops, relay);
	cw_exchange_set_read_timeout(kept->exchange, step->kept_timeout_ms);
	cw_event("gate", "kept", "request=%s server=%s model=%s due_ms=%ld", relay->request_info.id,
		 kept->step.server->name, kept->step.dispatch.model,
		 (long)(cw_call_kept_due_ms(relay->call) - relay->opened_ms));
	relay_start_timer(relay);
}

void kept_deliver(struct relay *relay, const struct cw_step *step)
{
	struct relay_kept *kept = relay->kept;
	GString *bytes = kept->bytes;
	int is_complete = !kept->exchange;

	relay_cancel_exchange(relay);
	cw_event("gate", "kept_delivered",
		 "request=%s why=%s waited_ms=%ld confidence=%d complete=%d bytes=%zu",
		 relay->request_info.id, step->reason,
		 (long)(entry_now_ms(relay->entry) - kept->began_ms), step->kept_confidence,
		 is_complete, bytes->len);
	record_outcome(step->reason);
	relay->http_status = HTTP_STATUS_OK;
	relay->is_stream = 1;
	bodies_drop(relay);
	g_string_assign(relay->response_fields, kept->fields->str);
	if (relay->event_parser)
		cw_events_clear(relay->event_parser);
	else
		relay->event_parser = cw_events_create();
	relay->exchange = kept->exchange;
	if (relay->exchange) {
		relay->step = kept->step;
		relay->sent_ms = kept->sent_ms;
		cw_exchange_set_ops(relay->exchange, &relay_exchange_ops, relay);
		cw_exchange_set_read_timeout(relay->exchange, step->read_timeout_ms);
	}
	kept->bytes = NULL;
	relay->entry->kept_bytes -= bytes->len;
	cw_quota_remove(relay->entry->quota, bytes->len);
	free_kept(relay);
	relay_start_timer(relay);
	relay_forward_data(relay, bytes->str, bytes->len);
	g_string_free(bytes, TRUE);
	if (is_complete)
		relay_exchange_ops.end(relay);
}

void kept_drop(struct relay *relay, const char *why)
{
	if (!relay->kept)
		return;
	if (relay->kept->exchange)
		cw_exchange_cancel(relay->kept->exchange);
	cw_call_drop_kept(relay->call, entry_now_ms(relay->entry));
	log_drop(relay, why);
	free_kept(relay);
}

void kept_fail_superseded(struct relay *relay)
{
	const struct cw_server *server = relay->kept ? cw_call_kept_server(relay->call) : NULL;

	if (!server || !server->is_superseded)
		return;
	cw_call_fail_kept(relay->call, CW_ATTEMPT_CONNECTION_LOST, entry_now_ms(relay->entry));
	kept_drop(relay, "superseded");
}

void kept_fail_unreachable(struct relay *relay, const struct cw_server *server)
{
	if (!relay->kept || cw_call_kept_server(relay->call) != server)
		return;
	cw_call_fail_kept(relay->call, CW_ATTEMPT_TIMED_OUT, entry_now_ms(relay->entry));
	kept_drop(relay, "unreachable");
}

void kept_update_gauges(const struct entry *entry)
{
	cw_gauge_set("kept_answer_bytes", "", entry->kept_bytes);
}

/* Only the head precedes the change to kept_ops. */
static void on_head(void *context, const struct cw_message *answer)
{
}

static void on_data(void *context, const char *data, size_t size)
{
	struct relay *relay = context;
	struct entry *entry = relay->entry;
	struct cw_server *server = cw_call_kept_server(relay->call);

	reach_note_contact(entry, server);
	cw_quarantine_note_received(cw_gate_quarantine(entry->gate), server->id,
				    relay->kept->sent_ms, entry_now_ms(entry));
	if ((double)(relay->kept->bytes->len + size) > entry->policy.keep_bytes ||
	    (double)(entry->kept_bytes + size) > entry->policy.keep_total_bytes) {
		kept_drop(relay, "no_room");
		return;
	}
	g_string_append_len(relay->kept->bytes, data, (gssize)size);
	entry->kept_bytes += size;
	cw_quota_add(entry->quota, size);
}

static void on_end(void *context)
{
	struct relay *relay = context;
	unsigned int events;

	if (!count_events(relay->kept->bytes, &events)) {
		on_failed(relay, CW_FLOW_CONNECTION_LOST);
		return;
	}
	relay->kept->exchange = NULL;
	cw_call_complete_kept(relay->call, events, entry_now_ms(relay->entry));
}

static void on_failed(void *context, enum cw_flow_failure failure)
{
	static const enum cw_attempt_failure attempt_failures[] = {
		[CW_FLOW_NO_CONNECTION] = CW_ATTEMPT_CONNECTION_LOST,
		[CW_FLOW_CONNECTION_REFUSED] = CW_ATTEMPT_CONNECTION_LOST,
		[CW_FLOW_CONNECTION_LOST] = CW_ATTEMPT_CONNECTION_LOST,
		[CW_FLOW_MALFORMED] = CW_ATTEMPT_MALFORMED,
		[CW_FLOW_TIMED_OUT] = CW_ATTEMPT_TIMED_OUT,
	};
	struct relay *relay = context;
	struct cw_server *server = cw_call_kept_server(relay->call);

	relay->kept->exchange = NULL;
	if (failure == CW_FLOW_CONNECTION_LOST) {
		reach_note_loss(relay->entry, server);
		reach_probe_crashed(relay->entry, server);
	}
	cw_call_fail_kept(relay->call, attempt_failures[failure], entry_now_ms(relay->entry));
	kept_drop(relay, cw_flow_failure_name(failure));
}

/* 0: the stream ends within an event. */
static int count_events(const GString *bytes, unsigned int *events)
{
	struct cw_events *parser = cw_events_create();
	const char *event;
	size_t size;
	int64_t id;
	int is_whole;

	*events = 0;
	is_whole = cw_events_feed(parser, bytes->str, bytes->len);
	while (is_whole && cw_events_next(parser, &event, &size, &id))
		++*events;
	is_whole = is_whole && cw_events_count_pending_bytes(parser) == 0;
	cw_events_destroy(parser);
	return is_whole;
}

static void record_outcome(const char *outcome)
{
	char label[64];

	g_snprintf(label, sizeof(label), "outcome=\"%s\"", outcome);
	cw_counter_add("kept_answers", label, 1);
}

static void log_drop(const struct relay *relay, const char *why)
{
	cw_event("gate", "kept_dropped", "request=%s why=%s waited_ms=%ld bytes=%zu",
		 relay->request_info.id, why,
		 (long)(entry_now_ms(relay->entry) - relay->kept->began_ms),
		 relay->kept->bytes->len);
	record_outcome(why);
}

static void free_kept(struct relay *relay)
{
	struct relay_kept *kept = relay->kept;

	relay->kept = NULL;
	if (kept->bytes) {
		relay->entry->kept_bytes -= kept->bytes->len;
		cw_quota_remove(relay->entry->quota, kept->bytes->len);
		g_string_free(kept->bytes, TRUE);
	}
	g_string_free(kept->fields, TRUE);
	g_free(kept);
}
