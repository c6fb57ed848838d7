/*
 * Bodies of answers that are not streamed. Each is held until it is complete, so that another
 * attempt may replace it. All of them, and what callers have not read yet, are bounded together:
 * beyond the bound a body is passed on as it comes, as fast as its caller reads.
 */
#include "cw_counters.h"
#include "cw_timeline.h"
#include "entry_relay.h"

#define BODY_MAX (4 * 1024 * 1024)

static size_t held_bytes(const struct entry *entry);
static void pass_on(struct relay *relay);
static void forget_held(struct relay *relay);

int bodies_add(struct relay *relay, const char *data, size_t size)
{
	struct entry *entry = relay->entry;

	relay->body_bytes += size;
	if (relay->body_bytes > BODY_MAX)
		return 0;
	if (relay->is_head_sent) {
		relay_send_to_caller(relay, data, size);
		return 1;
	}
	g_string_append_len(relay->response_body, data, (gssize)size);
	entry->answer_bytes += size;
	cw_quota_add(entry->quota, size);
	if (held_bytes(entry) > entry_answers_limit(entry))
		pass_on(relay);
	return 1;
}

void bodies_drop(struct relay *relay)
{
	relay->body_bytes = 0;
	forget_held(relay);
}

void bodies_update_gauges(const struct entry *entry)
{
	cw_gauge_set("held_answer_bytes", "", entry->answer_bytes);
	cw_gauge_set("unwritten_answer_bytes", "",
		     cw_listener_unwritten_bytes(entry->caller_listener));
}

static size_t held_bytes(const struct entry *entry)
{
	return entry->answer_bytes + cw_listener_unwritten_bytes(entry->caller_listener);
}

/* From now on no other attempt can replace the answer. Its length may not be known: in chunks. */
static void pass_on(struct relay *relay)
{
	struct entry *entry = relay->entry;
	GString *body = relay->response_body;

	cw_counter_add("answers_passed_on", "", 1);
	cw_event("gate", "answer_passed_on",
		 "request=%s server=%s bytes=%zu held=%zu unwritten=%zu", relay->request_info.id,
		 relay->step.server->name, body->len, entry->answer_bytes,
		 cw_listener_unwritten_bytes(entry->caller_listener));
	cw_call_begin_body(relay->call, entry_now_ms(entry));
	relay_begin_answer(relay, CW_FLOW_CHUNKED);
	relay_send_to_caller(relay, body->str, body->len);
	forget_held(relay);
}

static void forget_held(struct relay *relay)
{
	if (relay->response_body->len == 0)
		return;
	relay->entry->answer_bytes -= relay->response_body->len;
	cw_quota_remove(relay->entry->quota, relay->response_body->len);
	/* A large buffer is given back, not only emptied. */
	g_string_free(relay->response_body, TRUE);
	relay->response_body = g_string_sized_new(0);
}
