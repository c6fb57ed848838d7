/*
 * Speed of one start of a backend server: how long work takes there, as a multiple of the time that
 * the usual server of its service takes. It is the product of two factors. One the server reports
 * with its answers, as a level and a momentary deviation from it. The other is learned from the
 * times that its answers take beyond what is reported, over all instances. Sans-I/O.
 *
 * An instance's evidence is state: a later announcement of it replaces the earlier one, so that
 * announcements may be lost, repeated or reordered.
 */
#ifndef CW_PACE_H
#define CW_PACE_H

#include <stddef.h>
#include <stdint.h>

#define CW_PACE_ORIGINS	 32  /* other instances whose evidence is kept for one server */
#define CW_PACE_USUAL	 1.0 /* of a server that is as fast as the usual one, or unknown */
#define CW_PACE_MIN	 0.2 /* least and greatest pace that is believed */
#define CW_PACE_MAX	 8.0
#define CW_PACE_REPORTS	 8     /* newest reports that an instance keeps of a server */
#define CW_PACE_DECAY_MS 30000 /* to 1/e of a sample's weight */

/* Decayed sums over samples of ln(time taken / (usual time * reported pace)). */
struct cw_pace_sums {
	float weight; /* number of samples */
	float log_sum;
	float square_sum;
};

/* What one instance knows of a server by its own answers. */
struct cw_pace_evidence {
	float reported;	       /* median of the reports; of several instances: their level */
	float reported_weight; /* number of them, decayed; 0: none */
	struct cw_pace_sums learned;
};

struct cw_pace_report {
	float pace;
	int64_t at_ms;
};

/* The evidence of another instance, as last announced. */
struct cw_pace_origin {
	uint64_t instance;    /* cw_member.id; 0: a prior, what a peer knew of all instances */
	int64_t announced_ms; /* clock of that instance, Unix time: also orders its starts */
	int64_t received_ms;  /* time to which the evidence is decayed */
	struct cw_pace_evidence evidence;
};

struct cw_pace {
	struct cw_pace_report reports[CW_PACE_REPORTS]; /* own; a ring */
	size_t report_count;				/* of all time */
	int64_t report_ms;				/* of the newest kept */
	struct cw_pace_evidence own;
	int64_t own_ms;	       /* time to which the own evidence is decayed */
	int64_t own_sample_ms; /* of the newest own sample; 0: none */
	size_t origin_count;
	struct cw_pace_origin *origins; /* NULL: none yet; CW_PACE_ORIGINS at most */
	struct cw_pace_evidence total;	/* own, origins, and what is left of a prior */
	int64_t total_ms;
	double momentary;     /* pace that the server last reported; 0: never */
	int64_t momentary_ms; /* when the server reported it */
	int is_logged;	      /* its level was last logged as beyond noise */
};

void cw_pace_clear(struct cw_pace *pace); /* frees what it owns; zeroed: nothing is known */
void cw_pace_report(struct cw_pace *pace, double momentary,
		    int64_t now_ms); /* in an own answer; ignored unless positive and finite */
void cw_pace_add_sample(struct cw_pace *pace, double ratio,
			int64_t now_ms); /* time of an own answer over the usual time times the
					    reported pace; ignored unless positive and finite */
int cw_pace_merge_momentary(struct cw_pace *pace, double momentary,
			    int64_t reported_ms); /* 0: not newer than the known one */
int cw_pace_merge(struct cw_pace *pace, const struct cw_pace_origin *origin,
		  int64_t now_ms); /* 0: not newer than what is known of that instance */
struct cw_pace_evidence cw_pace_own(const struct cw_pace *pace, int64_t now_ms); /* to announce */
struct cw_pace_evidence cw_pace_total(const struct cw_pace *pace,
				      int64_t now_ms); /* as a prior for others */
double cw_pace_reported_level(
	const struct cw_pace_evidence *evidence); /* CW_PACE_USUAL unless other by some percent */
double cw_pace_learned_level(
	const struct cw_pace_evidence *evidence); /* CW_PACE_USUAL unless beyond noise */
double cw_pace_reported(const struct cw_pace *pace, double lifetime_ms,
			int64_t now_ms); /* lifetime_ms: of a momentary figure, 0: level only */
double cw_pace_reference(const struct cw_pace *pace,
			 int64_t now_ms); /* level, or the newest report while too few are known for
					     one: what an answer's time is compared by */
double cw_pace_learned(const struct cw_pace *pace, int64_t now_ms);

#endif
