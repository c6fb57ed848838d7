/*
 * Admission towards a brittle backend server: one that falls over when it rejects more than a few
 * requests in a second for want of room, from all instances together. Sans-I/O.
 *
 * Instances share no counter. Each may always use its own part of the server's places, so that
 * together they send no more than fit; of more instances than places the first ones by rank have
 * one each. Beyond its part an instance may use places that its view has shown as free for some
 * time; that view is some hundred ms old, so each such request is paid from the instance's part of
 * the rejections that the server tolerates.
 */
#ifndef CW_BRITTLE_H
#define CW_BRITTLE_H

#include "cw_warmup.h"

#include <stdint.h>

/* One answer's report that its server is brittle. */
struct cw_brittle_report {
	int is_brittle;
	double tolerated_per_s; /* rejections in a second, of all instances together; 0 if not
				   brittle */
	int64_t sent_ms;	/* of the request */
	int64_t received_ms;
};

/* The brittleness of one start of a server, as known to this instance. */
struct cw_brittle {
	struct cw_brittle_report newest; /* received_ms 0: none yet */
	struct cw_warmup_place place;
	double room;	       /* places that the server had when it last rejected; 0: all */
	int64_t rejected_ms;   /* last rejection for want of room, 0: never */
	int64_t ramp_from_ms;  /* the server did not run until then, 0: it does since it is known */
	unsigned int borrowed; /* requests sent beyond the own part, without an answer so far */
	int64_t paused_until_ms; /* nothing is sent until then, as the server had no room */
	int64_t pause_ms;	 /* doubles with each rejection, until an answer */
	double peaks[2];	 /* most requests of all instances, in the last two periods */
	int64_t period_ms;	 /* begin of the newer one */
	double tokens;		 /* rejections that this instance may cause, at filled_ms */
	double sends;		 /* requests, if its part is less than a place */
	int64_t filled_ms;
};

/* What this instance knows of a server's load. */
struct cw_brittle_load {
	unsigned int slots; /* 0: unknown */
	unsigned int own;   /* requests of this instance that run there */
	double all;	    /* of all instances */
	double service_ms;  /* that one request takes; 0: unknown */
};

int cw_brittle_apply(struct cw_brittle *brittle, const struct cw_brittle_report *report,
		     int64_t now_ms); /* 1: brittle or not has changed */
int cw_brittle_is_announced(const struct cw_brittle *brittle, int64_t now_ms);
void cw_brittle_start_ramp(struct cw_brittle *brittle, const struct cw_brittle *before,
			   int64_t now_ms); /* a start of a server whose service is brittle */
int cw_brittle_admits(struct cw_brittle *brittle, const struct cw_brittle_load *load,
		      int64_t now_ms); /* 1: a request may be sent; always, if it is not brittle */
void cw_brittle_record_send(struct cw_brittle *brittle, const struct cw_brittle_load *load,
			    int64_t now_ms);
void cw_brittle_record_rejection(
	struct cw_brittle *brittle, double taken,
	int64_t now_ms); /* taken: requests that it had; negative: unknown */
void cw_brittle_record_answer(struct cw_brittle *brittle, int64_t now_ms); /* it had room */
void cw_brittle_record_down(struct cw_brittle *brittle,
			    int64_t now_ms); /* it takes no connections: it comes back slowly */
int cw_brittle_explains_fall(const struct cw_brittle *brittle, const struct cw_brittle_load *load,
			     int64_t now_ms); /* 1: the server was full, and may have fallen */

#endif
