/* Status codes, and errors with the step and the remote address at which they occurred. */
#ifndef CW_STATUS_H
#define CW_STATUS_H

#include "cw_config.h"

enum cw_status {
	CW_OK = 0,
	CW_INVALID,	/* the input is malformed; a retry cannot succeed */
	CW_REFUSED,	/* rejected by the remote side, without an effect */
	CW_UNREACHABLE, /* no byte was sent */
	CW_UNKNOWN,	/* sent without an answer: the call may have taken effect */
	CW_EXPIRED,	/* the requested record is no longer stored */
	CW_FULL,	/* a limit was reached */
	CW_NOT_FOUND,
	CW_CLOSED,
};

/* What is known about the execution of a request when its caller gets the final answer. */
enum cw_run_state {
	CW_RUN_NOT_EXECUTED, /* "not_run": the request did not run and never will */
	CW_RUN_UNKNOWN,	     /* the request may have run */
	CW_RUN_EXECUTED,     /* the request ran */
};

struct cw_error {
	enum cw_status status;
	char step[32];
	char peer[CW_ADDRESS_MAX];
	char message[CW_MESSAGE_MAX];
};

const char *cw_status_name(enum cw_status status); /* lower case, for logs */
enum cw_status cw_error_set(struct cw_error *error, enum cw_status status, const char *step,
			    const char *peer, const char *format, ...)
	__attribute__((format(printf, 5, 6))); /* returns status; error may be NULL */

#endif
