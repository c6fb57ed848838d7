/*
 * HTTP/1.1 on one event loop (libuv, http_parser): callers' connections on one side, connections
 * to backend servers and to the store on the other. Nothing here decides; everything is reported
 * through tables of function pointers. All functions belong to the loop's thread.
 */
#ifndef CW_FLOW_H
#define CW_FLOW_H

#include "cw_message.h"
#include "cw_status.h"

#include <stdint.h>
#include <uv.h>

#define CW_FLOW_CHUNKED	    (-1) /* an answer whose length isn't known beforehand */
#define CW_FLOW_NO_BODY	    (-2) /* an answer that may not have a body */
#define CW_FLOW_BACKLOG	    512
#define CW_FLOW_CALLER_HIGH (256 * 1024) /* bytes held for a caller that reads slowly */

struct cw_caller;   /* a caller's connection */
struct cw_listener; /* a listening address */

/* Bounds on what a caller may send and how long it may take. */
struct cw_flow_limits {
	size_t header_bytes;
	size_t body_bytes;
	int64_t header_ms; /* from the first byte of a request to the end of its header fields */
	int64_t idle_ms;   /* between requests */
};

struct cw_listener_ops {
	void (*request)(void *context, struct cw_caller *caller, struct cw_message *request);
	void (*gone)(void *request); /* the caller left, its request was in progress */
	void (*room)(void *request); /* a slow caller has read what was held for it */
	void (*refused)(void *context, unsigned int status, const char *reason);
};

struct cw_listener *cw_listener_create(uv_loop_t *loop, const char *address,
				       const struct cw_listener_ops *ops, void *context,
				       struct cw_error *error); /* NULL: error tells */
void cw_listener_limits(struct cw_listener *listener, const struct cw_flow_limits *limits);
void cw_listener_leave(struct cw_listener *listener); /* every answer announces the close */
void cw_listener_close(struct cw_listener *listener); /* no more connections; idle ones end */
size_t cw_listener_connections(const struct cw_listener *listener);
void cw_listener_destroy(struct cw_listener *listener); /* ends its connections */

void cw_caller_attach(struct cw_caller *caller, void *request); /* what gone and room are given */
int cw_caller_is_late(const struct cw_caller *caller);		/* its listener was closed before */
void cw_caller_head(struct cw_caller *caller, unsigned int status, const char *fields,
		    int64_t length); /* fields: whole lines, each ended by CR LF */
int cw_caller_data(struct cw_caller *caller, const char *data,
		   size_t size);		/* 1: much is held, pause the source */
void cw_caller_end(struct cw_caller *caller);	/* the answer is complete */
void cw_caller_abort(struct cw_caller *caller); /* closes; what was sent can't look complete */

struct cw_client;   /* kept connections to any number of addresses */
struct cw_exchange; /* one request and its answer */

/* How an exchange failed. */
enum cw_flow_failure {
	CW_FLOW_UNSENT,	 /* no byte of the request left this process: nobody answered */
	CW_FLOW_REFUSED, /* nor here: the host is there and takes no connection */
	CW_FLOW_BROKEN,	 /* the connection ended before the answer's end */
	CW_FLOW_GARBLED, /* bytes that are no answer */
	CW_FLOW_SILENT,	 /* no byte came in the time given */
};

const char *cw_flow_failure_name(enum cw_flow_failure failure);

struct cw_exchange_ops {
	void (*head)(void *context, const struct cw_message *answer);
	void (*data)(void *context, const char *data, size_t size);
	void (*end)(void *context); /* complete; the exchange is gone */
	void (*failed)(void *context, enum cw_flow_failure failure); /* the exchange is gone */
};

struct cw_exchange_request {
	const char *address;
	GString *bytes;		/* the whole request; taken */
	int is_head;		/* its answer has no body */
	int64_t reuse_idle_ms;	/* a kept connection must have been idle shorter; 0: a new one */
	int64_t connect_ms;	/* longest wait for a connection */
	int64_t silence_ms;	/* longest wait for the next byte; 0: no limit */
	const char *echo_name;	/* an answer whose field differs from echo_value is dropped: it */
	const char *echo_value; /* belongs to an earlier request. NULL: not looked at */
};

struct cw_client *cw_client_create(uv_loop_t *loop);
void cw_client_destroy(struct cw_client *client); /* ends all exchanges, none is told */
struct cw_exchange *cw_client_send(struct cw_client *client,
				   const struct cw_exchange_request *request,
				   const struct cw_exchange_ops *ops, void *context);
void cw_exchange_cancel(struct cw_exchange *exchange); /* closes its connection; no more calls */
int cw_exchange_is_sent(const struct cw_exchange *exchange); /* a byte of it may have left */
void cw_exchange_pause(struct cw_exchange *exchange, int paused);
void cw_exchange_set_silence(struct cw_exchange *exchange, int64_t silence_ms);
void cw_client_probe(struct cw_client *client, const char *address, int64_t connect_ms,
		     void (*told)(void *context, const char *address, int is_reachable),
		     void *context); /* a connection that opens is kept for requests */
void cw_client_forget(struct cw_client *client, const char *address); /* ends idle connections */
uint64_t cw_client_opened(const struct cw_client *client);	      /* connections so far */

enum cw_status cw_flow_address(const char *text, struct sockaddr_in *address); /* "IP:PORT" */

#endif
