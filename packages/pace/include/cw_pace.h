/*
 * Speed of one start of a backend server: how long work takes there, as a multiple of the time that
 * the usual server of its service takes. The lasting part is learned from the answers of all
 * instances. The momentary part is what the server reports with its answers. Sans-I/O.
 */
#ifndef CW_PACE_H
#define CW_PACE_H

#include <stddef.h>
#include <stdint.h>

#define CW_PACE_ORIGINS 16  /* other instances whose sums are kept for one server */
#define CW_PACE_USUAL	1.0 /* of a server that is as fast as the usual one, or unknown */
#define CW_PACE_MIN	0.2 /* least and greatest pace that is believed */
#define CW_PACE_MAX	8.0

/* Sums over the answers that one instance got from a server. They decay with age. */
struct cw_pace_sums {
	double weight;	/* number of samples */
	double log_sum; /* sum of ln(time taken / usual time) */
};

/* The sums of one other instance, as last announced; a later announcement replaces them. */
struct cw_pace_origin {
	uint64_t instance; /* cw_member.id */
	uint64_t boot;	   /* of the instance's start */
	uint32_t sequence; /* grows with each announcement of that start */
	struct cw_pace_sums sums;
	int64_t received_ms;
};

struct cw_pace {
	struct cw_pace_sums own;
	int64_t own_ms; /* time to which the own sums are decayed */
	size_t origin_count;
	struct cw_pace_origin *origins; /* NULL: none yet; CW_PACE_ORIGINS of them */
	double momentary;		/* as last reported, 1: as usual; 0: never reported */
	int64_t momentary_ms;		/* when the server reported it */
};

void cw_pace_clear(struct cw_pace *pace); /* frees what it owns; zeroed: nothing is known */
void cw_pace_add_sample(struct cw_pace *pace, double taken_ms, double usual_ms,
			int64_t now_ms); /* an own answer; ignored unless both are positive */
void cw_pace_report(struct cw_pace *pace, double momentary,
		    int64_t sampled_ms); /* an older report than the known one is ignored */
int cw_pace_merge(struct cw_pace *pace, const struct cw_pace_origin *origin,
		  int64_t now_ms); /* 1: newer than what was known of that instance */
double cw_pace_lasting(const struct cw_pace *pace,
		       int64_t now_ms); /* CW_PACE_USUAL until the samples show more than noise */
double cw_pace_factor(const struct cw_pace *pace,
		      int64_t now_ms); /* lasting times momentary: multiplies predicted work */

#endif
