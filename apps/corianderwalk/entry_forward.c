/*
 * Requests that an instance passes to a backend server for a peer which does not reach that server
 * itself. The peer has taken the request from its caller and makes all decisions on it; this
 * instance only carries the bytes, over its own connections to the server. A request is forwarded
 * once at most: what came from a peer goes to the server or back.
 *
 * On the wire: POST /forward/SERVER with the whole request to the server as body. The response has
 * the status and the fields of the server's, and names the server; otherwise it names why there is
 * none, in FAILURE_FIELD.
 *
 * Only the instance whose connection broke can distinguish a server that ended from a link that was
 * cut. So the peer that asks identifies the request for the quarantine, and this instance notes the
 * break, which gossip announces. The peer that asks notes it only if this instance, of an earlier
 * build, does not.
 */
#include "cw_counters.h"
#include "cw_hash.h"
#include "cw_timeline.h"
#include "entry_forward.h"

#include <stdio.h>
#include <string.h>

#define PATH_FORWARD   "/forward/" /* then cw_server.id in hexadecimal */
#define KEY_FIELD      "X-Forward-Key"
#define REQUEST_FIELD  "X-Forward-Request"  /* id, for logs and to match the answer */
#define INSTANCE_FIELD "X-Forward-Instance" /* that asks, for logs */
#define REUSE_FIELD    "X-Forward-Reuse-Ms" /* a kept connection idle for less may be used */
#define SERVER_FIELD   "X-Forward-Server"
#define FAILURE_FIELD  "X-Forward-Failure"
#define NOTED_FIELD    "X-Forward-Noted" /* beside a failure: the break was noted */
/* The request as the quarantine identifies it. Absent: an earlier build asks. */
#define FINGERPRINT_FIELD  "X-Forward-Fingerprint" /* in hexadecimal */
#define ORGANISATION_FIELD "X-Forward-Organisation"
#define TARGET_FIELD	   "X-Forward-Target"
#define CONNECT_MS	   150	/* to the server: a path of 1 ms, and the accept of a busy server */
#define FORWARDS_MAX	   1024 /* at a time */

/* One request of a peer. */
struct forward {
	TAILQ_ENTRY(forward) link;
	struct entry *entry;
	struct cw_caller *caller; /* the peer's connection */
	struct cw_exchange *exchange;
	uint64_t server_id;
	char server[CW_NAME_MAX];
	char request_id[CW_ID_MAX];
	char instance[CW_NAME_MAX];
	uint64_t fingerprint; /* 0: the peer does not identify it */
	char organisation[CW_NAME_MAX];
	char target[CW_NAME_MAX];
	int64_t began_ms;
	int64_t head_ms; /* of the server's answer, 0: none yet */
	int is_head_request;
	int is_paused;
	int is_noted; /* the break of its connection, for the quarantine */
};

struct forwards {
	struct entry *entry;
	uint64_t key;
	TAILQ_HEAD(, forward) running;
	size_t count;
};

static struct cw_server *find_server(struct forwards *forwards, const struct cw_message *request);
static int is_authorised(const struct forwards *forwards, const struct cw_message *request);
static int may_carry(const struct entry *entry, const struct cw_server *server,
		     const struct cw_message *request);
static uint64_t hex_field(const struct cw_message *message, const char *name);
static int64_t number_field(const struct cw_message *message, const char *name);
static void text_field(const struct cw_message *message, const char *name, char *text, size_t size);
static void decline(struct entry *entry, struct cw_caller *caller, const struct cw_message *request,
		    const char *why);
static void start(struct forwards *forwards, struct cw_caller *caller,
		  const struct cw_message *request, struct cw_server *server);
static void on_head(void *context, const struct cw_message *answer);
static void on_data(void *context, const char *data, size_t size);
static void on_end(void *context);
static void on_failed(void *context, enum cw_flow_failure failure);
static void note_failure(struct forward *forward, struct cw_server *server,
			 enum cw_forward_result result);
static void note_dropped(const struct forward *forward);
static void send_failure(struct forward *forward, enum cw_forward_result result);
static void finish(struct forward *forward, const char *outcome);

static const struct cw_exchange_ops exchange_ops = {on_head, on_data, on_end, on_failed, NULL};

static const char *const result_names[] = {
	[CW_FORWARD_ANSWERED] = "answered", [CW_FORWARD_DECLINED] = "declined",
	[CW_FORWARD_UNSENT] = "unsent",	    [CW_FORWARD_REFUSED] = "refused",
	[CW_FORWARD_BROKEN] = "broken",	    [CW_FORWARD_NOTED] = "noted",
	[CW_FORWARD_MALFORMED] = "garbled", [CW_FORWARD_SILENT] = "silent",
};

struct forwards *forwards_create(struct entry *entry)
{
	struct forwards *forwards = g_new0(struct forwards, 1);

	forwards->entry = entry;
	TAILQ_INIT(&forwards->running);
	while (forwards->key == 0)
		cw_random_bytes(&forwards->key, sizeof(forwards->key));
	return forwards;
}

void forwards_destroy(struct forwards *forwards)
{
	struct forward *forward;

	if (!forwards)
		return;
	while ((forward = TAILQ_FIRST(&forwards->running))) {
		cw_caller_abort(forward->caller);
		finish(forward, "cut_by_stop");
	}
	g_free(forwards);
}

uint64_t forwards_key(const struct forwards *forwards)
{
	return forwards->key;
}

size_t forwards_count(const struct forwards *forwards)
{
	return forwards->count;
}

const char *forward_result_name(enum cw_forward_result result)
{
	return result_names[result];
}

uint64_t forward_request_key(const char *id)
{
	return *id ? cw_hash_text(id, 0) : 0;
}

GString *forward_format_request(const struct forward_request *request, const GString *bytes)
{
	GString *out = g_string_sized_new(bytes->len + 512);

	g_string_append_printf(
		out,
		"POST " PATH_FORWARD "%016lx HTTP/1.1\r\nHost: %s\r\n" KEY_FIELD
		": %016lx\r\n" REQUEST_FIELD ": %s\r\n" INSTANCE_FIELD ": %s\r\n" REUSE_FIELD
		": %ld\r\n" FINGERPRINT_FIELD ": %016lx\r\n" ORGANISATION_FIELD
		": %s\r\n" TARGET_FIELD ": %s\r\nContent-Length: %zu\r\n\r\n",
		(unsigned long)request->server, request->peer_address, (unsigned long)request->key,
		request->id, request->instance, (long)request->reuse_idle_ms,
		(unsigned long)request->identity.fingerprint, request->identity.organisation,
		request->identity.target, bytes->len);
	g_string_append_len(out, bytes->str, (gssize)bytes->len);
	return out;
}

/* Anything but an answer that names the server is the peer's own, as of an earlier build: not sent.
 */
enum cw_forward_result forward_read_head(const struct cw_message *answer, uint64_t server)
{
	const char *failure = cw_message_find(answer, FAILURE_FIELD);
	const char *name = cw_message_find(answer, SERVER_FIELD);
	enum cw_forward_result result = CW_FORWARD_DECLINED;

	if (!failure && name && g_ascii_strtoull(name, NULL, 16) == server)
		result = CW_FORWARD_ANSWERED;
	for (size_t i = 0; failure && i < G_N_ELEMENTS(result_names); i++)
		if (i != CW_FORWARD_ANSWERED && !strcmp(result_names[i], failure))
			result = (enum cw_forward_result)i;
	if (result == CW_FORWARD_BROKEN && cw_message_find(answer, NOTED_FIELD))
		result = CW_FORWARD_NOTED;
	return result;
}

int forward_is_request(const struct cw_message *request)
{
	return g_str_has_prefix(request->target->str, PATH_FORWARD);
}

void forward_start(struct forwards *forwards, struct cw_caller *caller,
		   const struct cw_message *request)
{
	struct cw_server *server;

	if (!is_authorised(forwards, request)) {
		decline(forwards->entry, caller, request, "unknown key");
		return;
	}
	server = find_server(forwards, request);
	if (!server)
		decline(forwards->entry, caller, request, "unknown server");
	else if (!may_carry(forwards->entry, server, request))
		decline(forwards->entry, caller, request,
			"this instance does not use or reach the server");
	else if (forwards->count >= FORWARDS_MAX || !entry_may_send(forwards->entry))
		decline(forwards->entry, caller, request, "too many requests are forwarded");
	else
		start(forwards, caller, request, server);
}

void forward_handle_disconnect(void *context)
{
	struct forward *forward = context;

	forward->caller = NULL;
	note_dropped(forward);
	finish(forward, "peer_left");
}

void forward_resume(void *context)
{
	struct forward *forward = context;

	if (forward->exchange && forward->is_paused)
		cw_exchange_pause(forward->exchange, 0);
	forward->is_paused = 0;
}

void forwards_fail_unreachable(struct forwards *forwards, const struct cw_server *server)
{
	struct forward *forward = TAILQ_FIRST(&forwards->running);

	while (forward) {
		struct forward *next = TAILQ_NEXT(forward, link);

		if (forward->server_id == server->id) {
			note_dropped(forward);
			send_failure(forward, CW_FORWARD_SILENT);
			finish(forward, result_names[CW_FORWARD_SILENT]);
		}
		forward = next;
	}
}

static int is_authorised(const struct forwards *forwards, const struct cw_message *request)
{
	return hex_field(request, KEY_FIELD) == forwards->key;
}

static struct cw_server *find_server(struct forwards *forwards, const struct cw_message *request)
{
	const char *text = request->target->str + strlen(PATH_FORWARD);
	char *end;
	uint64_t id = g_ascii_strtoull(text, &end, 16);

	if (end == text || *end)
		return NULL;
	return cw_pool_find(cw_gate_pool(forwards->entry->gate), id);
}

/* A server that leaves or is drained gets nothing from here, whatever the peer knows. */
static int may_carry(const struct entry *entry, const struct cw_server *server,
		     const struct cw_message *request)
{
	char id[CW_ID_MAX];

	if (server->is_removed || server->is_superseded || server->is_drained ||
	    cw_pool_is_leaving(server) || server->is_unreachable || server->is_suspect)
		return 0;
	if (server->path == CW_PATH_DIRECT)
		return 1;
	text_field(request, REQUEST_FIELD, id, sizeof(id));
	return server->path == CW_PATH_KEPT &&
	       cw_client_has_idle(entry->server_client, server->address,
				  number_field(request, REUSE_FIELD), forward_request_key(id));
}

/* 0: absent, or no number. */
static uint64_t hex_field(const struct cw_message *message, const char *name)
{
	const char *text = cw_message_find(message, name);
	char *end = NULL;
	uint64_t number = text ? g_ascii_strtoull(text, &end, 16) : 0;

	return text && !*end ? number : 0;
}

static int64_t number_field(const struct cw_message *message, const char *name)
{
	const char *text = cw_message_find(message, name);

	return text ? g_ascii_strtoll(text, NULL, 10) : 0;
}

static void text_field(const struct cw_message *message, const char *name, char *text, size_t size)
{
	const char *value = cw_message_find(message, name);

	g_strlcpy(text, value ? value : "", size);
}

static void decline(struct entry *entry, struct cw_caller *caller, const struct cw_message *request,
		    const char *why)
{
	const char *id = cw_message_find(request, REQUEST_FIELD);

	cw_counter_add("forwards_declined", "", 1);
	if (rejects_may_log(entry, REJECT_DECLINED))
		cw_event("forward", "declined", "request=%.60s why=\"%s\"", id ? id : "-", why);
	cw_caller_send_head(caller, HTTP_STATUS_SERVICE_UNAVAILABLE, FAILURE_FIELD ": declined\r\n",
			    0);
	cw_caller_end_answer(caller);
}

static void start(struct forwards *forwards, struct cw_caller *caller,
		  const struct cw_message *request, struct cw_server *server)
{
	struct entry *entry = forwards->entry;
	struct forward *forward = g_new0(struct forward, 1);
	struct cw_exchange_request exchange = {
		.address = server->address,
		.bytes = g_string_new_len(request->body->str, (gssize)request->body->len),
		.is_head = g_str_has_prefix(request->body->str, "HEAD "),
		.reuse_idle_ms = number_field(request, REUSE_FIELD),
		.connect_ms = CONNECT_MS,
		.echo_name = cw_up_echoed_field_name(),
		.echo_value = forward->request_id,
	};
	struct cw_connection_use use;

	forward->entry = entry;
	forward->caller = caller;
	forward->server_id = server->id;
	forward->is_head_request = exchange.is_head;
	forward->began_ms = entry_now_ms(entry);
	g_strlcpy(forward->server, server->name, sizeof(forward->server));
	text_field(request, REQUEST_FIELD, forward->request_id, sizeof(forward->request_id));
	text_field(request, INSTANCE_FIELD, forward->instance, sizeof(forward->instance));
	forward->fingerprint = hex_field(request, FINGERPRINT_FIELD);
	text_field(request, ORGANISATION_FIELD, forward->organisation,
		   sizeof(forward->organisation));
	text_field(request, TARGET_FIELD, forward->target, sizeof(forward->target));
	exchange.request_key = forward_request_key(forward->request_id);
	TAILQ_INSERT_TAIL(&forwards->running, forward, link);
	forwards->count++;
	cw_pool_begin_forward(server, forward->began_ms);
	cw_caller_set_request(caller, forward);
	cw_counter_add("forwards_carried", "", 1);
	forward->exchange = cw_client_send(entry->server_client, &exchange, &exchange_ops, forward);
	use = cw_exchange_connection_use(forward->exchange);
	cw_event("forward", "carried",
		 "request=%s instance=%s server=%s address=%s connection=%lu use=%u",
		 forward->request_id, forward->instance, server->name, server->address,
		 (unsigned long)use.connection, use.use);
}

static void on_head(void *context, const struct cw_message *answer)
{
	struct forward *forward = context;
	struct entry *entry = forward->entry;
	struct cw_server *server = cw_pool_find(cw_gate_pool(entry->gate), forward->server_id);
	int has_no_body = answer->status == HTTP_STATUS_NO_CONTENT ||
			  answer->status == HTTP_STATUS_NOT_MODIFIED;
	GString *fields = g_string_sized_new(512);

	if (server)
		reach_note_contact(entry, server);
	/* Named in Connection: it concerns the two instances only. */
	g_string_append_printf(fields,
			       "Connection: " SERVER_FIELD "\r\n" SERVER_FIELD ": %016lx\r\n",
			       (unsigned long)forward->server_id);
	for (size_t i = 0; i < cw_message_count_fields(answer); i++) {
		const char *name = cw_message_field_name(answer, i);

		if (cw_message_is_hop_by_hop(answer, name) ||
		    !g_ascii_strcasecmp(name, SERVER_FIELD) ||
		    !g_ascii_strcasecmp(name, FAILURE_FIELD))
			continue;
		g_string_append_printf(fields, "%s: %s\r\n", name,
				       cw_message_field_value(answer, i));
	}
	forward->head_ms = entry_now_ms(entry);
	/* The end of a connection to a peer is no end of the answer: that is the last chunk. */
	cw_caller_send_head(forward->caller, answer->status, fields->str,
			    has_no_body		       ? CW_FLOW_NO_BODY
			    : forward->is_head_request ? 0
						       : CW_FLOW_CHUNKED);
	cw_caller_flush(forward->caller);
	g_string_free(fields, TRUE);
}

static void on_data(void *context, const char *data, size_t size)
{
	struct forward *forward = context;
	struct cw_server *server =
		cw_pool_find(cw_gate_pool(forward->entry->gate), forward->server_id);

	if (server)
		reach_note_contact(forward->entry, server);
	if (cw_caller_send_body(forward->caller, data, size)) {
		forward->is_paused = 1;
		cw_exchange_pause(forward->exchange, 1);
	}
}

static void on_end(void *context)
{
	struct forward *forward = context;

	forward->exchange = NULL;
	cw_caller_end_answer(forward->caller);
	finish(forward, "answered");
}

static void on_failed(void *context, enum cw_flow_failure failure)
{
	static const enum cw_forward_result results[] = {
		[CW_FLOW_NO_CONNECTION] = CW_FORWARD_UNSENT,
		[CW_FLOW_CONNECTION_REFUSED] = CW_FORWARD_REFUSED,
		[CW_FLOW_CONNECTION_LOST] = CW_FORWARD_BROKEN,
		[CW_FLOW_MALFORMED] = CW_FORWARD_MALFORMED,
		[CW_FLOW_TIMED_OUT] = CW_FORWARD_SILENT,
	};
	struct forward *forward = context;
	enum cw_forward_result result = results[failure];
	struct cw_server *server =
		cw_pool_find(cw_gate_pool(forward->entry->gate), forward->server_id);

	forward->exchange = NULL;
	if (server && failure != CW_FLOW_MALFORMED)
		reach_note_loss(forward->entry, server);
	if (server)
		note_failure(forward, server, result);
	/* It may be this instance that is partitioned: the refusal says nothing of the server. */
	if (result == CW_FORWARD_REFUSED &&
	    cw_gate_partition(forward->entry->gate)->state != CW_PARTITION_NONE)
		result = CW_FORWARD_DECLINED;
	send_failure(forward, result);
	finish(forward, result_names[result]);
}

static void note_failure(struct forward *forward, struct cw_server *server,
			 enum cw_forward_result result)
{
	struct entry *entry = forward->entry;
	int64_t now_ms = entry_now_ms(entry);
	int64_t since_ms = forward->head_ms ? forward->head_ms : forward->began_ms;
	struct cw_quarantine_request request = {
		.fingerprint = forward->fingerprint,
		.organisation = forward->organisation,
		.target = forward->target,
	};

	if (result == CW_FORWARD_UNSENT || result == CW_FORWARD_REFUSED)
		cw_gate_note_unopened(entry->gate, server, result == CW_FORWARD_REFUSED, now_ms);
	if (result != CW_FORWARD_BROKEN || !forward->fingerprint)
		return;
	reach_probe_crashed(entry, server);
	cw_gate_note_carried_break(entry->gate, &request, server, now_ms - since_ms,
				   forward->head_ms != 0, now_ms);
	forward->is_noted = 1;
}

/* The request may still run on the server, and crash it. */
static void note_dropped(const struct forward *forward)
{
	struct entry *entry = forward->entry;
	int64_t now_ms = entry_now_ms(entry);

	if (forward->fingerprint && forward->exchange && cw_exchange_is_sent(forward->exchange))
		cw_quarantine_note_incomplete(cw_gate_quarantine(entry->gate), forward->fingerprint,
					      forward->server_id, now_ms - forward->began_ms,
					      now_ms);
}

/* After the head the answer ends early, so that it can't look complete. */
static void send_failure(struct forward *forward, enum cw_forward_result result)
{
	char fields[96];

	if (forward->head_ms) {
		cw_caller_abort(forward->caller);
		return;
	}
	snprintf(fields, sizeof(fields), FAILURE_FIELD ": %s\r\n%s", result_names[result],
		 forward->is_noted ? NOTED_FIELD ": 1\r\n" : "");
	cw_caller_send_head(forward->caller, HTTP_STATUS_BAD_GATEWAY, fields, 0);
	cw_caller_end_answer(forward->caller);
}

/* Every forward ends here, exactly once. */
static void finish(struct forward *forward, const char *outcome)
{
	struct entry *entry = forward->entry;
	struct cw_server *server = cw_pool_find(cw_gate_pool(entry->gate), forward->server_id);

	if (forward->exchange)
		cw_exchange_cancel(forward->exchange);
	if (server)
		cw_pool_end_forward(server);
	cw_event("forward", "carried_end",
		 "request=%s instance=%s server=%s outcome=%s took_ms=%ld noted=%d "
		 "fingerprint=%016lx",
		 forward->request_id, forward->instance, forward->server, outcome,
		 (long)(entry_now_ms(entry) - forward->began_ms), forward->is_noted,
		 (unsigned long)forward->fingerprint);
	TAILQ_REMOVE(&entry->forwards->running, forward, link);
	entry->forwards->count--;
	g_free(forward);
}
