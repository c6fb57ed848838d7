/* Shared by the server side and the client side of the flow package. */
#ifndef FLOW_INTERNAL_H
#define FLOW_INTERNAL_H

#include "cw_flow.h"

#include <netinet/tcp.h>

#define FLOW_READ_BUFFER_BYTES	  (64 * 1024) /* one buffer per loop: reads are handled at once */
#define FLOW_UNREAD_LEAST	  4096	      /* bytes; of a caller that sends far ahead */
#define FLOW_USER_TIMEOUT_MS	  3000 /* without an acknowledgement: three losses of 1 s each */
#define FLOW_KEEPALIVE_IDLE_S	  1 /* keepalive probes tell a network partition from a busy server */
#define FLOW_KEEPALIVE_INTERVAL_S 1
#define FLOW_KEEPALIVE_PROBES	  2

/* Where the parser is in the messages of a connection. */
struct flow_fields {
	const char *bytes;  /* the buffer that is being parsed */
	uint64_t position;  /* bytes of the connection before that buffer */
	uint64_t value_end; /* of the last fragment of a value, counted as position */
	int has_ended;	    /* the header section; trailer fields are dropped */
};

size_t flow_fields_parse(struct flow_fields *fields, http_parser *parser,
			 const http_parser_settings *settings, const char *data,
			 size_t size); /* http_parser_execute; the number of bytes used */
void flow_fields_begin(struct flow_fields *fields); /* of a message */
void flow_fields_add_name(struct flow_fields *fields, struct cw_message *message, const char *data,
			  size_t size);
int flow_fields_add_value(struct flow_fields *fields, struct cw_message *message, const char *data,
			  size_t size); /* 0: a folded line */
int flow_fields_end(struct flow_fields *fields,
		    struct cw_message *message); /* of the header section; 0: a name is no token */
void flow_provide_buffer(uv_handle_t *handle, size_t suggested, uv_buf_t *buffer);
void flow_tune_socket(uv_tcp_t *tcp);			     /* sets TCP_NODELAY and keepalive */
void flow_limit_unacknowledged(uv_tcp_t *tcp, int limit_ms); /* TCP_USER_TIMEOUT; 0: no limit */
void flow_limit_unread(uv_tcp_t *tcp, size_t bytes); /* that the kernel keeps; it rounds up */
int flow_is_peer_silent(uv_tcp_t *tcp); /* its host does not acknowledge; 0 also if not known */
int flow_is_peer_closed(uv_tcp_t *tcp); /* it has ended the connection, also if not read yet */
int flow_shows_silence(const struct tcp_info *info);

#endif
