/*
 * The path of an attempt to its backend server: over an own connection, or through a peer that
 * reaches the server. An attempt of which no byte was sent on one path takes another one; it
 * fails for the gate only if all paths do.
 */
#include "cw_counters.h"
#include "cw_timeline.h"
#include "entry_forward.h"
#include "entry_relay.h"

#define PEER_CONNECT_MS 100 /* to the peer that is to forward a request */

static void send_directly(struct relay *relay);
static int send_by_peer(struct relay *relay);
static GString *format_attempt(const struct relay *relay);
static void handle_direct_failure(struct relay *relay, enum cw_flow_failure failure);
static void handle_peer_failure(struct relay *relay, enum cw_flow_failure failure);
static void try_next_peer(struct relay *relay, const char *why);
static void report_failure(struct relay *relay, enum cw_attempt_failure failure);

static const char *const failure_names[] = {
	[CW_ATTEMPT_NO_CONNECTION] = "unsent",
	[CW_ATTEMPT_CONNECTION_REFUSED] = "refused",
	[CW_ATTEMPT_CONNECTION_LOST] = "broken",
	[CW_ATTEMPT_MALFORMED] = "garbled",
	[CW_ATTEMPT_TIMED_OUT] = "silent",
	[CW_ATTEMPT_PEER_LOST] = "peer_lost",
	[CW_ATTEMPT_LOST_AT_PEER] = "broken_at_peer",
};

/*
 * An unreachable server is chosen only if no other one can be used. A peer may reach it; without
 * such a peer the attempt fails at once, as the next probe finds out sooner than this request
 * would.
 */
void relay_send_on_path(struct relay *relay)
{
	const struct cw_server *server = relay->step.server;
	int is_direct = !server->is_unreachable && server->path == CW_PATH_DIRECT;

	if (server->path == CW_PATH_KEPT && !server->is_unreachable)
		is_direct = cw_client_has_idle(relay->entry->server_client, server->address,
					       relay->step.reuse_idle_ms,
					       forward_request_key(relay->request_info.id));
	if (is_direct)
		send_directly(relay);
	else if (!send_by_peer(relay))
		report_failure(relay, relay->unsent);
}

static void send_directly(struct relay *relay)
{
	const struct cw_step *step = &relay->step;
	struct cw_exchange_request request = {
		.address = step->server->address,
		.bytes = format_attempt(relay),
		.is_head = relay->request_info.is_head,
		.reuse_idle_ms = step->reuse_idle_ms,
		.connect_ms = step->connect_ms,
		.read_timeout_ms = step->read_timeout_ms,
		.echo_name = cw_up_echoed_field_name(),
		.echo_value = relay->request_info.id,
		.request_key = forward_request_key(relay->request_info.id),
	};

	relay->exchange =
		cw_client_send(relay->entry->server_client, &request, &relay_exchange_ops, relay);
}

/* 0: there is no peer left to ask, or no time. */
static int send_by_peer(struct relay *relay)
{
	const struct cw_step *step = &relay->step;
	struct entry *entry = relay->entry;
	struct cw_exchange_request request = {
		.reuse_idle_ms = step->reuse_idle_ms,
		.connect_ms = PEER_CONNECT_MS,
		.read_timeout_ms = step->read_timeout_ms,
		.echo_name = cw_up_echoed_field_name(),
		.echo_value = relay->request_info.id,
	};
	struct forward_request forward = {
		.server = step->server->id,
		.id = relay->request_info.id,
		.instance = entry->settings.instance,
		.reuse_idle_ms = step->reuse_idle_ms,
		.identity = cw_call_identity(relay->call),
	};
	struct cw_member *peer;
	GString *bytes;

	if (relay->peers_tried_count == CW_FORWARDERS_TRIED ||
	    entry_now_ms(entry) >= cw_call_deadline_ms(relay->call))
		return 0;
	peer = peers_choose_forwarder(entry->peers, relay->peers_tried, relay->peers_tried_count);
	if (!peer)
		return 0;
	relay->peers_tried[relay->peers_tried_count++] = peer->id;
	relay->is_peer_head_seen = 0;
	g_strlcpy(relay->peer, peer->instance, sizeof(relay->peer));
	forward.peer_address = request.address = peer->address;
	forward.key = peer->forward_key;
	bytes = format_attempt(relay);
	request.bytes = forward_format_request(&forward, bytes);
	g_string_free(bytes, TRUE);
	cw_call_set_via_peer(relay->call);
	cw_counter_add("forwards_asked", "", 1);
	cw_event("gate", "forward", "request=%s peer=%s domain=%s server=%s asked=%zu",
		 relay->request_info.id, peer->instance, peer->failure_domain, step->server->name,
		 relay->peers_tried_count);
	relay->exchange =
		cw_client_send(entry->server_client, &request, &relay_exchange_ops, relay);
	return 1;
}

/* The request to the server; what other paths have taken of its time is gone. */
static GString *format_attempt(const struct relay *relay)
{
	GString *bytes = g_string_sized_new(relay->request->body->len + 512);
	struct cw_dispatch dispatch = relay->step.dispatch;

	dispatch.allowed_ms =
		MAX(dispatch.allowed_ms - (entry_now_ms(relay->entry) - relay->sent_ms), 1);
	cw_up_format_request(relay->request, &dispatch, relay->step.server->address, bytes);
	return bytes;
}

void relay_handle_failure(struct relay *relay, enum cw_flow_failure failure)
{
	relay->exchange = NULL;
	if (*relay->peer)
		handle_peer_failure(relay, failure);
	else
		handle_direct_failure(relay, failure);
}

/* A request of which no byte was sent goes to the same server through a peer. */
static void handle_direct_failure(struct relay *relay, enum cw_flow_failure failure)
{
	static const enum cw_attempt_failure attempt_failures[] = {
		[CW_FLOW_NO_CONNECTION] = CW_ATTEMPT_NO_CONNECTION,
		[CW_FLOW_CONNECTION_REFUSED] = CW_ATTEMPT_CONNECTION_REFUSED,
		[CW_FLOW_CONNECTION_LOST] = CW_ATTEMPT_CONNECTION_LOST,
		[CW_FLOW_MALFORMED] = CW_ATTEMPT_MALFORMED,
		[CW_FLOW_TIMED_OUT] = CW_ATTEMPT_TIMED_OUT,
	};
	struct cw_server *server = cw_call_server(relay->call);

	relay->unsent = attempt_failures[failure];
	switch (failure) {
	case CW_FLOW_NO_CONNECTION:
		reach_note_unanswered(relay->entry, server);
		if (send_by_peer(relay))
			return;
		break;
	case CW_FLOW_CONNECTION_REFUSED:
		reach_note_loss(relay->entry, server);
		if (send_by_peer(relay))
			return;
		break;
	case CW_FLOW_CONNECTION_LOST:
		reach_note_loss(relay->entry, server);
		reach_probe_crashed(relay->entry, server);
		break;
	case CW_FLOW_MALFORMED:
	case CW_FLOW_TIMED_OUT:
		break;
	}
	report_failure(relay, attempt_failures[failure]);
}

static void handle_peer_failure(struct relay *relay, enum cw_flow_failure failure)
{
	switch (failure) {
	case CW_FLOW_NO_CONNECTION:
	case CW_FLOW_CONNECTION_REFUSED:
		try_next_peer(relay, "peer_unreachable");
		return;
	case CW_FLOW_TIMED_OUT:
		relay_end_forward(relay, 0);
		report_failure(relay, CW_ATTEMPT_TIMED_OUT);
		return;
	case CW_FLOW_CONNECTION_LOST:
	case CW_FLOW_MALFORMED:
		/* After the head the server may have broken off, which the peer has noted. */
		relay_end_forward(relay, !relay->is_peer_head_seen);
		report_failure(relay, CW_ATTEMPT_PEER_LOST);
		return;
	}
}

int relay_read_peer_head(struct relay *relay, const struct cw_message *answer)
{
	static const enum cw_attempt_failure attempt_failures[] = {
		[CW_FORWARD_BROKEN] = CW_ATTEMPT_CONNECTION_LOST,
		[CW_FORWARD_NOTED] = CW_ATTEMPT_LOST_AT_PEER,
		[CW_FORWARD_MALFORMED] = CW_ATTEMPT_MALFORMED,
		[CW_FORWARD_SILENT] = CW_ATTEMPT_PEER_LOST,
	};
	struct cw_server *server = cw_call_server(relay->call);
	enum cw_forward_result result = forward_read_head(answer, server->id);

	switch (result) {
	case CW_FORWARD_ANSWERED:
		relay->is_peer_head_seen = 1;
		return 1;
	case CW_FORWARD_REFUSED:
		relay->unsent = CW_ATTEMPT_CONNECTION_REFUSED;
		relay->peers_refused++;
		try_next_peer(relay, forward_result_name(result));
		return 0;
	case CW_FORWARD_DECLINED:
	case CW_FORWARD_UNSENT:
		try_next_peer(relay, forward_result_name(result));
		return 0;
	case CW_FORWARD_BROKEN:
	case CW_FORWARD_NOTED:
	case CW_FORWARD_MALFORMED:
	case CW_FORWARD_SILENT:
		break;
	}
	relay_cancel_exchange(relay);
	report_failure(relay, attempt_failures[result]);
	return 0;
}

/* The peer has not sent the request. */
static void try_next_peer(struct relay *relay, const char *why)
{
	cw_event("gate", "forward_failed", "request=%s peer=%s why=%s", relay->request_info.id,
		 relay->peer, why);
	cw_counter_add("forwards_failed", "", 1);
	relay_end_forward(relay, 1);
	relay_cancel_exchange(relay);
	if (send_by_peer(relay))
		return;
	if (relay->peers_refused == relay->peers_tried_count)
		reach_note_ended(relay->entry);
	report_failure(relay, relay->unsent);
}

static void report_failure(struct relay *relay, enum cw_attempt_failure failure)
{
	const struct cw_server *server = cw_call_server(relay->call);
	struct cw_step step;

	cw_event("gate", "attempt_failed",
		 "request=%s server=%s how=%s shown_ms=%ld sent_ms_ago=%ld fingerprint=%016lx",
		 relay->request_info.id, server ? server->name : "-", failure_names[failure],
		 relay->first_byte_ms < 0 ? -1L : (long)(relay->first_byte_ms - relay->opened_ms),
		 (long)(entry_now_ms(relay->entry) - relay->sent_ms),
		 (unsigned long)cw_call_fingerprint(relay->call));
	cw_call_handle_failure(relay->call, failure, entry_now_ms(relay->entry), &step);
	relay_apply_step(relay, &step);
}

void relay_end_forward(struct relay *relay, int is_peer_avoided)
{
	if (!*relay->peer)
		return;
	peers_end_forward(relay->entry->peers, relay->peer, is_peer_avoided);
	*relay->peer = '\0';
}
