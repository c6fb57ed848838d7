/*
 * How fast requests go to a cold backend server: one that has just started, was away, or says of
 * itself that it is cold. It bears few a second, of all instances together, whether they hear of
 * each other or not, and ends under more. Sans-I/O.
 *
 * No count is kept together. Of the instances, a few by rendezvous share a cold server's rate, half
 * of what it bears: after a cut each side may have found its own few. The others send it nothing.
 */
#ifndef CW_WARMUP_H
#define CW_WARMUP_H

#include <stddef.h>
#include <stdint.h>

#define CW_WARMUP_SENDS	     16	  /* own sends remembered of one server, and so the most a second */
#define CW_WARMUP_UNKNOWN_MS 2000 /* after an absence: by then its own word has come */

/* This instance's place among those that may send to one cold server. */
struct cw_warmup_place {
	size_t rank;	  /* 0 the first */
	size_t instances; /* that are known, this one included; 0: too few are known yet */
};

/* What a service's cold servers bear, of all instances together. */
struct cw_warmup_rate {
	double per_s;  /* 0: any number */
	double factor; /* that many times as much, */
	double slack;  /* and so many more, are borne at times */
};

/* One server's, as this instance knows it. */
struct cw_warmup {
	int64_t cold_until_ms;	  /* by the server's own word */
	int64_t unknown_until_ms; /* it was away, and has not said anything since */
	int64_t sent_ms[CW_WARMUP_SENDS];
	size_t sent_next;
	struct cw_warmup_place place;
	int64_t place_ms; /* when that was worked out */
};

int cw_warmup_is_cold(const struct cw_warmup *warmup, int64_t now_ms);
void cw_warmup_told(struct cw_warmup *warmup, int64_t cold_ms, int64_t now_ms); /* its own word */
void cw_warmup_away(struct cw_warmup *warmup, int64_t now_ms); /* may have started again since */
void cw_warmup_sent(struct cw_warmup *warmup, int64_t now_ms); /* a request, cold or not */
unsigned int cw_warmup_quota(const struct cw_warmup_rate *rate,
			     const struct cw_warmup_place *place); /* requests a second */
int cw_warmup_admits(const struct cw_warmup *warmup, const struct cw_warmup_rate *rate,
		     int64_t now_ms); /* one more, now; of a warm one: 1 */
int64_t cw_warmup_wait_ms(const struct cw_warmup *warmup, const struct cw_warmup_rate *rate,
			  int64_t now_ms); /* until it may get one from here, or is warm */

#endif
