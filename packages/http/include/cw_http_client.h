/*
 * HTTP requests to backend servers and the platform, whole or chunk by chunk. Two transports stand
 * behind one table: `pooled` keeps libcurl handles, and so connections; `ulfius` opens a connection
 * a request. docs/design/0003 has the measurement that chose the first.
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
	int total_ms;	 /* from the start to the last byte */
	int first_ms;	 /* to the first byte of the body; 0: only the total counts */
	int idle_ms;	 /* between two bytes behind the first; 0: only the total counts */
	int once;	 /* must not be sent twice: a connection of its own, no silent repeat */
	size_t max_size; /* bytes of the answer's body; more is CW_FULL */
	/* Called for the status line and headers, then for each piece; non-zero ends the call. */
	int (*on_head)(void *context, int status, const char *request_id, const char *content_type);
	int (*on_data)(void *context, const char *data, size_t size);
	int (*is_cancelled)(void *context); /* asked about once a second; may be NULL */
	void *context;
};

struct cw_http_answer {
	int status;
	int64_t retry_after_ms; /* 0: not said */
	char *body;		/* NUL-terminated; NULL when on_data was set; g_free */
	size_t size;
	char content_type[128];
	char request_id[CW_ID_MAX];
	double first_ms; /* to the first byte of the body, < 0 none */
	double total_ms;
	int is_cut; /* the peer ended the connection before the whole answer was there */
};

struct cw_http_transport {
	const char *name;
	enum cw_status (*perform)(const struct cw_http_call *call, struct cw_http_answer *answer,
				  struct cw_error *error);
};

extern const struct cw_http_transport cw_http_pooled;
extern const struct cw_http_transport cw_http_ulfius; /* baseline: whole answers only */

void cw_http_open(void);      /* once, before any thread */
void cw_http_interrupt(void); /* ends every call within a second: nothing waits for them any more */
void cw_http_close(void);     /* after every thread */
enum cw_status cw_http_perform(const struct cw_http_call *call, struct cw_http_answer *answer,
			       struct cw_error *error); /* CW_UNREACHABLE: not a byte was sent;
							   CW_UNKNOWN: no whole answer came */
void cw_http_answer_clear(struct cw_http_answer *answer);

#endif
