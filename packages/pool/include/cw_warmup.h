/*
 * Rate limit towards a cold backend server: one that has just started, was unreachable, or reports
 * that it is cold. A cold server handles few requests a second from all instances together, whether
 * they are connected to each other or not, and crashes under more. Sans-I/O.
 *
 * Instances share no counter. A few of them, chosen by rendezvous hashing, divide at most half of
 * the rate that a cold server handles, because each side of a network partition may choose a few.
 * The other instances send the server no requests.
 */
#ifndef CW_WARMUP_H
#define CW_WARMUP_H

#include <stddef.h>
#include <stdint.h>

#define CW_WARMUP_SEND_HISTORY                                                                     \
	16 /* own sends remembered per server, which caps the rate per second */
#define CW_WARMUP_ASSUMED_COLD_MS                                                                  \
	2000 /* a server that was unreachable has reported its warm-up time by then */

/* The rank of this instance among those that may send to one cold or rate-limited server. */
struct cw_warmup_place {
	size_t rank;	  /* 0: first */
	size_t instances; /* known instances, this one included; 0: too few are known yet */
	int may_be_split; /* known instances are unreachable and may send as well */
};

/* Requests a second that a cold server of a service handles, from all instances together. */
struct cw_warmup_rate {
	double per_s;  /* sustained; 0: unlimited */
	double factor; /* a burst of per_s times factor */
	double slack;  /* plus slack is handled at times */
};

/* The cold state of one server, as known to this instance. */
struct cw_warmup {
	int64_t cold_until_ms;	       /* end of the warm-up time that the server reported */
	int64_t assumed_cold_until_ms; /* assumed cold until then, as it was unreachable */
	int64_t sent_ms[CW_WARMUP_SEND_HISTORY]; /* ring of the newest sends */
	size_t sent_next;
	struct cw_warmup_place place;
	int64_t place_ms; /* when place was last updated */
};

int cw_warmup_is_cold(const struct cw_warmup *warmup, int64_t now_ms);
void cw_warmup_set_cold(struct cw_warmup *warmup, int64_t cold_ms,
			int64_t now_ms); /* the server reported its warm-up time */
void cw_warmup_assume_cold(struct cw_warmup *warmup,
			   int64_t now_ms); /* may have restarted unseen */
void cw_warmup_record_send(struct cw_warmup *warmup,
			   int64_t now_ms); /* a request was sent, cold or not */
unsigned int cw_warmup_quota(const struct cw_warmup_rate *rate,
			     const struct cw_warmup_place *place); /* own requests a second */
int cw_warmup_admits(const struct cw_warmup *warmup, const struct cw_warmup_rate *rate,
		     int64_t now_ms); /* 1: may get a request now; always for a warm server */
int64_t cw_warmup_wait_ms(
	const struct cw_warmup *warmup, const struct cw_warmup_rate *rate,
	int64_t now_ms); /* until this instance may send a request or the server is warm */

#endif
