/*
 * The rate limit that a backend server reports in its answers: the requests a second that it takes
 * from all instances together, in force until an answer reports none. Sans-I/O.
 *
 * A report was made between the send of its request and the arrival of its answer. Answers may
 * overtake each other, so a report that lifts or raises the limit counts only if its request was
 * sent after the limit was received.
 */
#ifndef CW_RATE_LIMIT_H
#define CW_RATE_LIMIT_H

#include <stdint.h>

/* One answer's report of its server's limit. */
struct cw_rate_limit_report {
	int is_limited; /* 0: the server takes any rate */
	double per_s;	/* of all instances together; 0 if not limited */
	int64_t sent_ms;
	int64_t received_ms;
};

/* The rate limit of one start of a server, as known to this instance. */
struct cw_rate_limit {
	struct cw_rate_limit_report newest; /* received_ms 0: none yet */
};

int cw_rate_limit_apply(struct cw_rate_limit *limit,
			const struct cw_rate_limit_report *report); /* 1: the limit changed */
int cw_rate_limit_is_in_force(const struct cw_rate_limit *limit);

#endif
