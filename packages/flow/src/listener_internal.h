/* Shared by the listener, the connections of its callers and the parser of their requests. */
#ifndef LISTENER_INTERNAL_H
#define LISTENER_INTERNAL_H

#include "flow_internal.h"
#include "quota_internal.h"

#include <sys/queue.h>

enum caller_state {
	CALLER_READING,	  /* reads a request or waits for one */
	CALLER_ANSWERING, /* the request is being answered */
	CALLER_LINGERING, /* the last answer was sent; waits for the caller to close */
	CALLER_CLOSED,
};

/* Connections without a whole request, in the order in which they close for new ones. */
enum caller_rank {
	RANK_LINGERING,
	RANK_UNUSED,  /* no request was sent on it yet */
	RANK_IDLE,    /* between two requests */
	RANK_PARTIAL, /* a request is being received */
	RANK_AHEAD,   /* requests were received, and none is being answered */
	RANK_NONE,    /* not closed for others; also the number of ranks */
};

struct cw_listener {
	uv_tcp_t tcp;
	uv_timer_t sweep_timer;
	uv_idle_t turn; /* runs while a caller waits for its next turn */
	uv_loop_t *loop;
	const struct cw_listener_ops *ops;
	void *context;
	struct cw_flow_limits limits;
	struct cw_quota *quota;
	struct cw_quota *own_quota; /* until another one is set */
	size_t receive_bytes;	    /* the kernel's buffer of a connection */
	int is_draining;
	int is_closed;
	int is_destroyed;
	int open_handles; /* handles to close before the memory is freed */
	size_t connection_count;
	size_t open_count;	/* of these, not being closed */
	size_t max_connections; /* 0: any */
	TAILQ_HEAD(, cw_caller) ranks[RANK_NONE];
	size_t held_bytes;	/* reserved by its callers */
	size_t unwritten_bytes; /* of all its callers */
	TAILQ_HEAD(, cw_caller) callers;
	TAILQ_HEAD(, cw_caller) turns; /* callers that go on in the loop's next turn */
	uint64_t turn_number;
};

struct cw_caller {
	TAILQ_ENTRY(cw_caller) link;
	TAILQ_ENTRY(cw_caller) turn_link;
	TAILQ_ENTRY(cw_caller) quota_link;
	TAILQ_ENTRY(cw_caller) rank_link;
	struct cw_listener *listener;
	uv_tcp_t tcp;
	http_parser parser;
	struct flow_fields fields;
	struct cw_message *message;
	GString *ahead; /* bytes read of the requests after the one in progress */
	GString *out;
	enum caller_state state;
	void *request;
	uint64_t state_since_ms; /* start of the state, first byte of the request, or last byte
				    written of an answer */
	size_t held_bytes;	 /* reserved for the body of the request */
	size_t unwritten_bytes;	 /* queued in libuv, not yet written to the socket */
	size_t swept_bytes;	 /* of these, at the last sweep */
	uint64_t progress_ms;	 /* when a sweep last saw that bytes had been written */
	unsigned int reject_status;
	const char *reject_reason;
	int has_request_bytes;
	int is_request_complete; /* the parser reached the end of a request */
	int keep_alive;
	int is_chunked;
	int is_parsing;
	int is_read_paused; /* nothing is read from the socket */
	int waits_for_turn;
	enum caller_rank rank;
	uint64_t ranked_ms;   /* since when it has its rank */
	int has_served;	      /* a request of its was answered */
	int is_ahead_dropped; /* what is read after the request in progress is discarded */
	size_t counted_bytes; /* held, as the quota counts it */
	uint64_t queued_in;   /* number of the turn in which it began to wait */
	int closes_after_write;
	int is_source_paused; /* the source was asked to pause until writable is called */
};

void listener_free_if_closed(struct cw_listener *listener);

/* caller.c: its answers, and its end */
void caller_flush(struct cw_caller *caller);
void caller_reject(struct cw_caller *caller);	       /* answers an invalid request, then ends */
void caller_start_lingering(struct cw_caller *caller); /* what is unwritten is written first */
void caller_disconnect(struct cw_caller *caller);      /* closes, and ends its request */
void caller_close(struct cw_caller *caller);

/* caller_read.c: its requests, one by one */
void caller_start_reading(struct cw_caller *caller);
void caller_read_on(struct cw_caller *caller); /* after an answer, or once it is written */
void caller_give_turns(uv_idle_t *turn);
void caller_forget_turn(struct cw_caller *caller);

/* rank.c: which connection closes for a new one */
void caller_update_rank(struct cw_caller *caller); /* after its state may have changed */
void caller_leave_rank(struct cw_caller *caller);
int listener_make_room(struct cw_listener *listener,
		       const struct cw_caller *newest); /* 0: no other one may be closed */

/* caller_parser.c: one request; sets is_request_complete or reject_status */
size_t caller_parse(struct cw_caller *caller, const char *data,
		    size_t size);	       /* the number of bytes used */
void caller_release(struct cw_caller *caller); /* the body is not needed any more */

#endif
