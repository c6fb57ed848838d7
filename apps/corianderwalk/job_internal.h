/* What the two files of a job share. */
#ifndef JOB_INTERNAL_H
#define JOB_INTERNAL_H

#include "job.h"
#include "cw_answer.h"
#include "cw_http_client.h"

struct job {
	struct daemon *daemon;
	struct job_in in;
	struct cw_ring *mailbox; /* effects from the core */
	int holders;

	/* The answer; the head is whole once head_ready holds an item. */
	struct cw_ring *head_ready;
	struct cw_ring *stream; /* chunks for the caller */
	int head_told;
	int caller_gone;
	int given_up; /* the core has refused it while an attempt was out */
	struct cw_http_out out;
	char model_version[2 * CW_NAME_MAX];
	char session_token[CW_TOKEN_MAX];

	/* The attempt that is out. */
	struct cw_answer *answer;
	const struct cw_effect *dispatch;
	enum cw_attempt_result result;
	int upstream_status;
	int foreign; /* the answer carries another request's id */
	int done;
	struct cw_http_answer whole;
};

/* job.c */
void job_show(struct job *job, const char *data,
	      size_t size); /* to the caller; begins the answer */
int job_is_stream(const struct job *job);
int job_is_service(const struct job *job);

/* job_attempt.c */
void job_attempt(
	struct job *job,
	const struct cw_effect *effect); /* one dispatch, until its end is told to the core */

#endif
