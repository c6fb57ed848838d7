/*
 * The weights and thresholds of all decisions on requests, in one place: an operator tunes a
 * deployment by a file, and an experiment switches a single mechanism off. Guarantees (budgets,
 * exposure limits, at-most-once execution) are not tunable and not part of the policy.
 */
#ifndef CW_POLICY_H
#define CW_POLICY_H

#include "cw_status.h"

#include <glib.h>
#include <stddef.h>
#include <stdio.h>

struct cw_policy {
	/* choice of the model */
	double escalate_below;	    /* confidence, 0 to 100, below which an answer is escalated */
	double escalate_below_late; /* the same if the large model would answer late */
	double escalate_late_part;  /* part of the latency objective from which an answer is late */
	double escalate_queue_weight; /* weight of queued prefill time in the predicted latency */
	double escalate_less_taken;   /* part of slots taken above which the threshold falls */
	double escalate_none_taken;   /* part of slots taken above which the threshold is 0 */
	double escalate_yield;	      /* part by which slots count as scarcer, for each step of
					 priority below the service's most urgent route */
	double escalate_whole_part; /* part of the time left that a large model's stream may use */
	double keep_answer;    /* 1: a small model's answer is kept while the large one is asked */
	double keep_wait_part; /* part of the caller's patience for which a kept answer of low
				  confidence waits */
	double keep_bytes;     /* bytes kept of one answer */
	double keep_total_bytes;  /* bytes kept of all answers of an instance */
	double rejected_to_small; /* 1: requests that full engines reject go to the small model */
	/* load shedding */
	double full_part;  /* part of attempts rejected above which servers count as full */
	double share_part; /* weight of fair shares among organisations; 0: all have the same room
			    */
	double shed_part;  /* part of the rejection rate that is shed before dispatch */
	/* choice of the server */
	double again_token_ms; /* cost of each prefix token that is processed anew */
	double home_part;      /* of a server's time that one prompt prefix uses there at most */
	double home_full_part; /* of the slots taken, from which a home doesn't attract requests */
	double connect_ms;     /* cost of a new connection */
	double cross_byte_ms;  /* cost of a byte to another failure domain */
	double running_ms;     /* cost of each request running on the server */
	double failure_ms;     /* cost of a failed answer */
	double slowness_part;  /* weight of a server's slowness beyond the prediction */
	double pace_part;      /* weight of a server's pace in predicted work, as an exponent */
	double pace_learned; /* 1: the part of the pace that answers show beyond the reports too */
	double momentary_ms; /* lifetime of the momentary pace that a server reported */
	double noise_ms;     /* random cost that separates instances with equal views */
	double peers_ms;     /* lifetime of the peers' announcements of their work */
	double told_ms;	     /* lifetime of the queue length that a server reported */
	double unread_least; /* least part of sent work that counts until its answer begins */
	double unread_counted; /* 1: sent work counts until its answer begins, but for the prompt
				  that is being read; 0: it is worked off by the clock */
	double note_min_ms;    /* prompt work from which peers get a note at once */
	double memory_part;    /* part of an engine's memory that requests may fill; 0: any */
	/* failing servers */
	double breaker_failures;    /* consecutive failures that open the breaker */
	double quiet_ms;	    /* silence after which a server with requests is probed */
	double expected_silence_ms; /* longest predicted silence that delays such a probe */
	double doubt_beside;   /* 1: servers that may be unreachable with another one are probed */
	double connect_part;   /* part of the objective within which a connection must open */
	double silence_factor; /* idle timeout before the next attempt: predicted wait times this */
	double silence_part;   /* plus this part of the objective */
	double pause_part;     /* event gap timeout, as a multiple of the route's pause_ms */
	/* requests to servers */
	double urgency_step;  /* route priorities that one step of an organisation's is worth */
	double reuse_idle_ms; /* idle time up to which a pooled connection is reused */
};

struct cw_policy_field {
	const char *name;
	const char *unit;
	const char *purpose; /* what the field improves or prevents */
	double default_value, min, max;
	double off_value; /* value that switches the mechanism off */
	size_t offset;	  /* in struct cw_policy */
};

const struct cw_policy *cw_policy_default(void);
const struct cw_policy_field *cw_policy_fields(size_t *count);
double cw_policy_value(const struct cw_policy *policy, const struct cw_policy_field *field);
enum cw_status cw_policy_load(const char *file, struct cw_policy *policy,
			      GString *faults); /* omitted fields keep their defaults */
void cw_policy_print(const struct cw_policy *policy,
		     FILE *out); /* in the format that cw_policy_load() reads */

#endif
