/* Declarations shared by job.c and job_attempt.c. */
#ifndef JOB_INTERNAL_H
#define JOB_INTERNAL_H

#include "job.h"
#include "cw_answer.h"
#include "cw_http_client.h"

struct job {
	struct daemon *daemon;
	struct job_in in;
	struct cw_ring *mailbox; /* effects from the core */
	int reference_count;	 /* atomic: threads that use the job */

	/* The answer to the caller; its status and headers are complete once head_ready has an
	 * item. */
	struct cw_ring *head_ready;
	struct cw_ring *stream; /* chunks for the caller */
	int is_head_sent;
	int is_caller_unreachable; /* atomic: a chunk could not be delivered to the caller */
	int is_refused;		   /* atomic: set by the core; stops the attempt in progress */
	struct cw_http_response out;
	char model_version[2 * CW_NAME_MAX];
	char session_token[CW_TOKEN_MAX];

	/* The attempt in progress. */
	struct cw_answer *answer;
	const struct cw_effect *dispatch;
	enum cw_attempt_result result;
	int upstream_status; /* HTTP status of the backend server */
	int has_foreign_id;  /* the answer carries the id of another request */
	int is_complete;     /* the stream's end marker was received */
	struct cw_http_answer upstream_answer;
};

/* job.c */
void job_send_chunk(struct job *job, const char *data,
		    size_t size); /* to the caller; the first call sends the head */
int job_is_stream(const struct job *job);
int job_is_service(const struct job *job);

/* job_attempt.c */
void job_run_attempt(
	struct job *job,
	const struct cw_effect *effect); /* runs one dispatch and reports its result to the core */

#endif
