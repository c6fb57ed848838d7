/* HTTP server (libmicrohttpd), one thread per connection; answers are sent at once or as a stream.
 */
#ifndef CW_HTTP_SERVER_H
#define CW_HTTP_SERVER_H

#include "cw_ring.h"
#include "cw_status.h"

#include <stddef.h>
#include <stdint.h>
#include <sys/types.h>

struct cw_http_server;

struct cw_http_request {
	const char *method;
	const char *path; /* as sent, with its query */
	const char *body;
	size_t body_size;
	const char *peer; /* IP address of the caller */
	void *connection; /* for cw_http_request_header */
};

struct cw_chunk { /* part of a streamed answer, made by cw_chunk_create */
	size_t size;
	size_t sent;
	char data[];
};

#define CW_PULL_END   (-1) /* the answer is complete */
#define CW_PULL_ABORT (-2) /* abort the connection */

struct cw_http_response {
	int status;
	char *body; /* g_free'd by the server; NULL for none */
	size_t body_size;
	char content_type[128];
	char *headers[16]; /* "Name: value", g_free'd by the server */
	size_t header_count;
	/* Streamed answer: sends the chunks popped from the ring until it is closed and empty. */
	struct cw_ring *stream;
	/* Streamed answer if set, instead of the ring: returns bytes written or CW_PULL_*. */
	ssize_t (*pull)(void *context, char *buffer, size_t max);
	void (*on_end)(void *context); /* answer sent or caller disconnected; releases context */
	void *context;
};

struct cw_http_server_options {
	const char *address; /* "IP:PORT"; port 0: any free port */
	size_t max_body;     /* bytes; a larger body is answered 413 */
	unsigned int idle_s; /* closes connections without traffic, or without a request */
	unsigned int head_s; /* closes connections whose header section takes longer; 0: never */
	unsigned int body_s; /* the same for a body */
	unsigned int max_connections; /* above, one without a whole request closes for a new one; 0:
					 any */
	const char *tls_cert;	      /* PEM files; NULL: plain HTTP */
	const char *tls_key;
	void (*handle)(void *context, const struct cw_http_request *in,
		       struct cw_http_response *out);
	void *context;
};

struct cw_http_server *cw_http_server_create(const struct cw_http_server_options *options,
					     struct cw_error *error); /* NULL: see error */
void cw_http_server_stop_accepting(
	struct cw_http_server *server); /* accepts no new connections; open ones continue */
void cw_http_server_destroy(struct cw_http_server *server); /* waits for requests in progress */
int cw_http_server_port(const struct cw_http_server *server);
unsigned int cw_http_server_count_connections(const struct cw_http_server *server);

const char *cw_http_request_header(const struct cw_http_request *in,
				   const char *name); /* NULL: absent */
void cw_http_response_add_header(struct cw_http_response *out, const char *name, const char *value);
void cw_http_response_set_json(struct cw_http_response *out, int status,
			       char *body); /* takes ownership of body */
struct cw_chunk *cw_chunk_create(const void *data, size_t size);
int cw_http_parse_address(const char *address, char *host, size_t host_size,
			  int *port); /* 0: valid IPv4:PORT */

#endif
