/*
 * The rate limit that a backend server reports in its answers: the requests a second that it takes
 * from all instances together, in force until an answer reports none. Sans-I/O.
 *
 * Instances share no counter: a few of them, chosen by rendezvous hashing, each take an equal part
 * of the limit, and the others send nothing. While all instances see the same members, the server
 * therefore gets no more than its limit, plus one request or one second's part of each sender.
 *
 * A report was made between the send of its request and the arrival of its answer. Answers may
 * overtake each other, so a report that lifts or raises the limit counts only if its request was
 * sent after the limit was received.
 */
#ifndef CW_RATE_LIMIT_H
#define CW_RATE_LIMIT_H

#include "cw_warmup.h"

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
	double share_per_s;		    /* this instance's part of the limit */
	double tokens;			    /* requests that may be sent at filled_ms */
	int64_t filled_ms;
};

int cw_rate_limit_apply(struct cw_rate_limit *limit, const struct cw_rate_limit_report *report,
			int64_t now_ms); /* 1: the limit changed */
int cw_rate_limit_is_announced(const struct cw_rate_limit *limit,
			       int64_t now_ms); /* 1: peers are to know the newest report */
int cw_rate_limit_is_in_force(const struct cw_rate_limit *limit);
double cw_rate_limit_share_per_s(double per_s, const struct cw_warmup_place *place);
void cw_rate_limit_set_place(struct cw_rate_limit *limit, const struct cw_warmup_place *place,
			     int64_t now_ms); /* after each change of either */
void cw_rate_limit_record_send(struct cw_rate_limit *limit, int64_t now_ms);
int64_t cw_rate_limit_wait_ms(const struct cw_rate_limit *limit,
			      int64_t now_ms); /* until a request may be sent; 0: now */

#endif
