/*
 * HTTP requests to backend servers and the platform; an answer is received completely or in chunks.
 * Two transports have the same interface: `pooled` reuses libcurl handles and their connections,
 * `ulfius` opens a connection per request. docs/design/0003 has the measurements behind `pooled`.
 */
#ifndef CW_HTTP_CLIENT_H
#define CW_HTTP_CLIENT_H

#include "cw_status.h"

#include <stddef.h>
#include <stdint.h>

struct cw_http_call {
	const char *method;
	const char *address;	    /* "IP:PORT" */
	const char *path;	    /* with its query */
	const char *const *headers; /* "Name: value", NULL-terminated; may be NULL */
	const void *body;
	size_t body_size;
	int connect_ms;
	int total_ms;	   /* time limit from the start to the last byte */
	int first_ms;	   /* time limit to the first byte of the body; 0: total_ms only */
	int idle_ms;	   /* time limit between two later bytes; 0: total_ms only */
	int forbids_retry; /* must not be sent twice: uses a new connection, no automatic retry */
	int is_rerun; /* an earlier run may have been sent to the server, whose late second answer
			 would look like this one's: uses a new connection */
	size_t max_size; /* bytes of the answer's body, more gives CW_FULL; 0: no limit */
	/* Called for the status line and headers, then for each chunk; non-zero aborts the call. */
	int (*on_head)(void *context, int status, const char *request_id, const char *content_type);
	int (*on_data)(void *context, const char *data, size_t size);
	int (*is_cancelled)(void *context); /* polled about every second; may be NULL */
	void *context;
};

struct cw_http_answer {
	int status;
	int64_t retry_after_ms; /* 0: no Retry-After field */
	char *body;		/* NUL-terminated; NULL when on_data was set; g_free */
	size_t size;
	char content_type[128];
	char request_id[CW_ID_MAX];
	double first_ms; /* to the first byte of the body; < 0: no byte received */
	double total_ms;
	int is_closed_by_peer; /* the server closed the connection before the end of the answer, or
				  refused it */
};

struct cw_http_transport {
	const char *name;
	enum cw_status (*perform)(const struct cw_http_call *call, struct cw_http_answer *answer,
				  struct cw_error *error);
};

extern const struct cw_http_transport cw_http_pooled;
extern const struct cw_http_transport cw_http_ulfius; /* baseline: complete answers only */

void cw_http_open(void);	/* first, before any thread starts */
void cw_http_abort_calls(void); /* aborts all calls within a second, for the shutdown */
void cw_http_close(void);	/* after all threads have ended */
enum cw_status cw_http_perform(const struct cw_http_call *call, struct cw_http_answer *answer,
			       struct cw_error *error); /* CW_UNREACHABLE: no byte was sent;
							   CW_UNKNOWN: no complete answer */
void cw_http_answer_clear(struct cw_http_answer *answer);

#endif
