/* A job: one request of a caller, or one query, between the HTTP server and the core thread. */
#ifndef JOB_H
#define JOB_H

#include "daemon.h"

#include <json-c/json.h>

struct job_in {
	struct cw_node_request request;
	char *method; /* of a request to a plain service */
	char *path;   /* of a request to a plain service, with its query string */
	char *content_type;
	char *body;
	size_t body_size;
	struct json_object *completion; /* the parsed body of a completion request */
};

struct job;

struct job *job_create(struct daemon *daemon,
		       struct job_in *in); /* takes ownership of what in points to */
void job_release(struct job *job);	   /* drops a reference; the last one frees the job */
uint64_t job_handle(const struct job *job);
void job_deliver(struct job *job,
		 struct cw_effect *effect); /* for the core thread; takes ownership of the effect */
void job_respond(struct job *job,
		 struct cw_http_response *out); /* runs the job; returns once the answer is complete
					      or its stream has begun */
char *job_query(struct daemon *daemon, enum cw_query query, const char *text,
		int *status); /* g_free; NULL when the core's ring is full */

#endif
