/* One caller's request on its way: the shell's side of the node's request. */
#ifndef JOB_H
#define JOB_H

#include "daemon.h"

#include <json-c/json.h>

struct job_in {
	struct cw_request_in request;
	char *method; /* of a plain service */
	char *path;   /* of a plain service, with its query */
	char *content_type;
	char *body;
	size_t body_size;
	struct json_object *completion; /* of an engine: the parsed body */
};

struct job;

struct job *job_create(struct daemon *daemon, struct job_in *in); /* takes what in points to */
void job_release(struct job *job);				  /* the last holder frees it */
uint64_t job_handle(const struct job *job);
void job_tell(struct job *job, struct cw_effect *effect); /* the core: takes the effect */
void job_answer(
	struct job *job,
	struct cw_http_out *out); /* runs it; returns with the answer, or with its stream begun */
char *job_query(struct daemon *daemon, enum cw_query query, const char *text,
		int *status); /* g_free; NULL when the core is full */

#endif
