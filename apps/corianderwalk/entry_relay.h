/* One request between its caller and the backend servers: shared by three files. */
#ifndef ENTRY_RELAY_H
#define ENTRY_RELAY_H

#include "cw_events.h"
#include "cw_forwarder.h"
#include "entry.h"

struct relay_kept;

struct relay {
	TAILQ_ENTRY(relay) link;
	struct entry *entry;
	struct cw_caller *caller;   /* NULL: the caller has disconnected, or has its answer */
	struct cw_message *request; /* owned by the caller's connection */
	struct cw_request_info request_info;
	struct cw_call *call;
	struct cw_exchange *exchange;
	struct cw_step step;			   /* the current attempt */
	char peer[CW_NAME_MAX];			   /* that forwards it now; empty: none */
	uint64_t peers_tried[CW_FORWARDERS_TRIED]; /* cw_member.id */
	size_t peers_tried_count;
	size_t peers_refused;		/* of these, by the server */
	int is_peer_head_seen;		/* of the server's answer, through the peer */
	enum cw_attempt_failure unsent; /* why the attempt was not sent directly, or by peers */
	struct relay_kept *kept;	/* the answer in hand; NULL: none */
	uv_timer_t deadline_timer;
	int is_timer_for_kept; /* it fires when the answer in hand is due */
	struct cw_events *event_parser;
	GString *response_fields; /* header fields of the response */
	GString *response_body;
	unsigned int http_status;
	int is_stream;
	int is_head_sent;  /* to the caller */
	int is_unlogged;   /* rejected before an attempt, and counted in a sum */
	int is_paused;	   /* the server is not read until the caller has read more */
	size_t body_bytes; /* of the attempt's answer, if it is not streamed */
	int64_t opened_ms;
	int64_t sent_ms;	  /* when the current attempt was sent */
	int64_t first_byte_ms;	  /* when the first byte was sent to the caller, -1: not yet */
	int64_t last_event_ms;	  /* when the newest event was received */
	int64_t longest_pause_ms; /* between two events */
};

/* entry_relay.c: functions of entry.h, and */
extern const struct cw_exchange_ops relay_exchange_ops;
void relay_apply_step(struct relay *relay, const struct cw_step *step);
void relay_cancel_exchange(struct relay *relay);
void relay_start_timer(struct relay *relay); /* to the deadline, or the kept answer's due time */
void relay_forward_data(struct relay *relay, const char *data,
			size_t size); /* of the answer that goes to the caller */
void relay_begin_answer(struct relay *relay, int64_t length); /* sends the head to the caller */
void relay_send_to_caller(struct relay *relay, const char *data,
			  size_t size); /* the server is not read while the caller does not read */

/* entry_kept.c: the answer in hand */
void kept_begin(struct relay *relay, const struct cw_message *answer,
		const struct cw_step *step); /* takes over the exchange in progress */
void kept_deliver(struct relay *relay, const struct cw_step *step); /* the relay may end */
void kept_drop(struct relay *relay, const char *why); /* cancels its exchange, if any */
void kept_fail_superseded(struct relay *relay);
void kept_fail_unreachable(struct relay *relay, const struct cw_server *server);

/* entry_bodies.c: bodies of answers that are not streamed */
int bodies_add(struct relay *relay, const char *data, size_t size); /* 0: it is too long */
void bodies_drop(struct relay *relay); /* its bytes were sent, or are not wanted any more */

/* entry_path.c: sends the current attempt, directly or through a peer */
void relay_send_on_path(struct relay *relay);
void relay_handle_failure(struct relay *relay,
			  enum cw_flow_failure failure); /* of the exchange in progress */
int relay_read_peer_head(struct relay *relay,
			 const struct cw_message *answer); /* 0: the head is none of the server,
							      and what follows from it is done */
void relay_end_forward(struct relay *relay, int is_peer_avoided); /* no peer has it any more */

#endif
