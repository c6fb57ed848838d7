/*
 * HTTP/1.1 on one event loop (libuv, http_parser): a server side for the connections of callers and
 * a client side for connections to backend servers and to the shared store. The package makes no
 * routing decisions; it reports events through tables of function pointers. All functions must be
 * called on the loop's thread.
 */
#ifndef CW_FLOW_H
#define CW_FLOW_H

#include "cw_message.h"
#include "cw_quota.h"
#include "cw_status.h"

#include <stdint.h>
#include <uv.h>

#define CW_FLOW_CHUNKED		     (-1) /* length of an answer that is sent in chunks */
#define CW_FLOW_NO_BODY		     (-2) /* length of an answer that must not have a body */
#define CW_FLOW_BACKLOG		     512  /* connections the kernel queues for accept */
#define CW_FLOW_WRITE_HIGH_WATERMARK (256 * 1024) /* bytes; more unwritten pause the source */

struct cw_caller;   /* a caller's connection */
struct cw_listener; /* a listening address */

/* Limits on the size and the duration of a caller's request. */
struct cw_flow_limits {
	size_t header_bytes; /* names, values and the target together */
	size_t body_bytes;
	int64_t header_ms;	/* from the first byte of a request to its end, body included */
	int64_t idle_ms;	/* between two requests on a connection */
	size_t held_bytes;	/* bodies of all requests that are read or answered; 0: any */
	size_t unwritten_bytes; /* of all answers; above, each unwritten byte of a caller pauses its
				   source; 0: any */
};

struct cw_listener_ops {
	void (*request)(void *context, struct cw_caller *caller, struct cw_message *request);
	void (*disconnected)(void *request); /* the caller disconnected during its request */
	void (*writable)(void *request); /* all buffered bytes were written; the source may go on */
	void (*rejected)(void *context, unsigned int status, const char *reason);
};

struct cw_listener *cw_listener_create(uv_loop_t *loop, const char *address,
				       const struct cw_listener_ops *ops, void *context,
				       struct cw_error *error); /* NULL: see error */
void cw_listener_set_limits(struct cw_listener *listener, const struct cw_flow_limits *limits);
void cw_listener_set_quota(struct cw_listener *listener, struct cw_quota *quota,
			   size_t receive_bytes); /* before its loop runs; receive_bytes: that the
						     kernel keeps unread for a connection */
void cw_listener_set_max_connections(
	struct cw_listener *listener,
	size_t max_connections); /* a further one closes one without a whole request, or is closed
				    itself; 0: any number */
void cw_listener_start_draining(
	struct cw_listener *listener); /* every answer carries Connection: close */
void cw_listener_close(
	struct cw_listener *listener); /* accepts no more connections; closes idle ones */
size_t cw_listener_count_connections(const struct cw_listener *listener);
size_t cw_listener_held_bytes(const struct cw_listener *listener); /* see cw_flow_limits */
size_t cw_listener_unwritten_bytes(
	const struct cw_listener *listener);		/* of answers, also of complete ones */
void cw_listener_destroy(struct cw_listener *listener); /* closes its connections */

void cw_caller_set_request(struct cw_caller *caller,
			   void *request); /* passed to disconnected and writable */
int cw_caller_is_listener_closed(const struct cw_caller *caller); /* cw_listener_close was called */
void cw_caller_send_head(struct cw_caller *caller, unsigned int status, const char *fields,
			 int64_t length);	/* fields: header lines, each ended by CR LF */
void cw_caller_flush(struct cw_caller *caller); /* sends the head before the body begins */
int cw_caller_send_body(struct cw_caller *caller, const char *data,
			size_t size); /* 1: over the high watermark, pause the source */
void cw_caller_end_answer(struct cw_caller *caller); /* the answer is complete */
void cw_caller_abort(
	struct cw_caller *caller); /* closes early: a partial answer can't look complete */

struct cw_client;   /* pool of keep-alive connections, per address */
struct cw_exchange; /* one request and its answer */

/* How an exchange failed. */
enum cw_flow_failure {
	CW_FLOW_NO_CONNECTION,	    /* no host answered the connection attempt; nothing was sent */
	CW_FLOW_CONNECTION_REFUSED, /* the host refused the connection; nothing was sent */
	CW_FLOW_CONNECTION_LOST,    /* the connection ended before the end of the answer */
	CW_FLOW_MALFORMED,	    /* the bytes received are not an HTTP answer */
	CW_FLOW_TIMED_OUT,	    /* no head, or no further byte, within the read timeout */
};

enum cw_probe_result {
	CW_PROBE_SILENT,  /* the host did not answer */
	CW_PROBE_REFUSED, /* the host refused the connection */
	CW_PROBE_OPENED,
};

const char *cw_flow_failure_name(enum cw_flow_failure failure);

struct cw_exchange_ops {
	void (*head)(void *context, const struct cw_message *answer);
	void (*data)(void *context, const char *data, size_t size);
	void (*end)(void *context); /* the answer is complete; the exchange is freed */
	void (*failed)(void *context, enum cw_flow_failure failure); /* the exchange is freed */
	int64_t (*silent)(void *context); /* the read timeout passed; returns how long to wait on
					     until it is called again, 0: the exchange fails; NULL:
					     it fails */
};

struct cw_exchange_request {
	const char *address;
	GString *bytes;	       /* the complete request; ownership passes to the client */
	int is_head;	       /* a HEAD request: its answer has no body */
	int64_t reuse_idle_ms; /* reuses a connection idle for less than this; 0: opens a new one */
	int64_t connect_ms;    /* longest wait for a connection */
	int64_t read_timeout_ms; /* longest wait for the whole head from the send, and then for the
				    next byte; 0: no limit */
	/* An answer whose field echo_name has another value belongs to an earlier request of the
	 * connection and is dropped. NULL: no check. */
	const char *echo_name;
	const char *echo_value;
	/* The same for all runs of a request, whose answers have the same echoed value: each run is
	 * sent on a connection that has carried no other. 0: no check. */
	uint64_t request_key;
};

/* Which of its requests a connection carries, for logs. */
struct cw_connection_use {
	uint64_t connection; /* in order of opening, from 1 */
	unsigned int use;    /* 1: the first request on it */
};

struct cw_client *cw_client_create(uv_loop_t *loop);
void cw_client_set_max_connections(
	struct cw_client *client,
	size_t max_connections); /* a further one closes the longest idle; 0: any number */
void cw_client_destroy(struct cw_client *client); /* ends exchanges and probes, no callbacks */
struct cw_exchange *cw_client_send(struct cw_client *client,
				   const struct cw_exchange_request *request,
				   const struct cw_exchange_ops *ops, void *context);
void cw_exchange_cancel(
	struct cw_exchange *exchange); /* closes its connection; no callback follows */
int cw_exchange_is_sent(
	const struct cw_exchange *exchange); /* a part of the request may have been sent */
struct cw_connection_use
cw_exchange_connection_use(const struct cw_exchange *exchange); /* until its end */
void cw_exchange_pause(struct cw_exchange *exchange, int paused);
void cw_exchange_set_read_timeout(struct cw_exchange *exchange, int64_t read_timeout_ms);
void cw_exchange_set_ops(struct cw_exchange *exchange, const struct cw_exchange_ops *ops,
			 void *context); /* for what follows; also within a callback */
void cw_client_probe(struct cw_client *client, const char *address, int64_t connect_ms,
		     void (*report)(void *context, const char *address,
				    enum cw_probe_result result),
		     void *context); /* an opened connection is kept for requests */
int cw_client_has_idle(struct cw_client *client, const char *address, int64_t reuse_idle_ms,
		       uint64_t request_key); /* a request would reuse a connection */
int cw_client_may_reuse(const struct cw_client *client, const char *address,
			int64_t reuse_idle_ms); /* the same for a first run, without a look at the
						   socket: cheap, and rarely wrong */
void cw_client_close_idle(struct cw_client *client,
			  const char *address);			    /* closes idle connections */
size_t cw_client_count_connections(const struct cw_client *client); /* open, idle ones included */
size_t cw_client_count_busy(const struct cw_client *client);	    /* exchanges in progress */
uint64_t cw_client_count_opened(const struct cw_client *client);    /* connections since creation */
uint64_t cw_client_count_reused(const struct cw_client *client);    /* requests on idle ones */
uint64_t cw_client_count_passed_over(
	const struct cw_client *client); /* idle ones that had carried another run of the request */
uint64_t
cw_client_count_stray(const struct cw_client *client); /* answers of other requests, dropped */

enum cw_status cw_flow_parse_address(const char *text, struct sockaddr_in *address); /* "IP:PORT" */
uint32_t cw_flow_datagram_delay_ms(
	uv_udp_t *socket); /* from the arrival of the datagram just received to uv_now; 0: unknown,
			      as before the first call, which makes the kernel note arrivals */

#endif
