/* Status codes, and errors that carry the step and the peer at which they arose. */
#ifndef CW_STATUS_H
#define CW_STATUS_H

#include "cw_config.h"

enum cw_status {
	CW_OK = 0,
	CW_INVALID,	/* the input is malformed; trying again cannot help */
	CW_REFUSED,	/* the peer answered no; it did nothing */
	CW_UNREACHABLE, /* no byte was sent */
	CW_UNKNOWN,	/* sent, and no answer came: it may have taken effect */
	CW_EXPIRED,	/* the record asked for is no longer kept */
	CW_FULL,	/* a bound was reached */
	CW_NOT_FOUND,
	CW_CLOSED,
};

/* What is known of a request's execution when its caller gets the final answer. */
enum cw_run {
	CW_RUN_NOT,	/* "not_run": it did not run and never will */
	CW_RUN_UNKNOWN, /* it may have run */
	CW_RUN_DONE,	/* it ran */
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
