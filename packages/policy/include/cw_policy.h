/*
 * What the decisions on requests weigh and when they give way, in one place: an operator tunes a
 * deployment by a file, an experiment switches one mechanism off. What keeps a promise (budgets,
 * limits of exposure, at most once) is no policy and isn't here.
 */
#ifndef CW_POLICY_H
#define CW_POLICY_H

#include "cw_status.h"

#include <glib.h>
#include <stddef.h>
#include <stdio.h>

struct cw_policy {
	/* which model answers */
	double escalate_below;	      /* a small model's confidence, 0 to 100 */
	double escalate_below_late;   /* the same when the large one's answer would be late */
	double escalate_late_part;    /* of the objective that the large one's answer would take */
	double escalate_queue_weight; /* in it, a ms that other prompts take to be read */
	double escalate_less_taken; /* of engines' slots: from here on less confidence is asked for,
				     */
	double escalate_none_taken; /* and from here on none */
	double escalate_whole_part; /* of the time left that the large one's whole stream may take
				     */
	double rejected_to_small;   /* 1: what full engines reject is asked of the small model */
	/* who is turned away */
	double full_part; /* of the sends rejected: from here on servers count as full */
	double shed_part; /* of what is rejected, that is refused unsent */
	/* which server */
	double again_token_ms; /* a shared token that is read again costs as much as this wait */
	double cross_byte_ms;  /* a byte to another failure domain */
	double running_ms;     /* each request that runs there */
	double failure_ms;     /* an answer that fails */
	double slowness_part;  /* of what a server is slower than predicted, that counts */
	double noise_ms;       /* between instances with the same view */
	double peers_ms;       /* so long holds what peers told of their work */
	double told_ms;	       /* so long holds the queue that a server told of */
	double unread_least;   /* of the work sent there, that counts until its answer begins */
	/* servers that fail */
	double breaker_failures; /* in a row that open the breaker */
	double quiet_ms;	 /* without a byte, a server with requests is probed */
	double doubt_beside;	 /* 1: servers beside an unreachable one are probed at once */
	double connect_part;	 /* of the objective, that a connection may take to open */
	double silence_factor;	 /* of the predicted wait, and */
	double silence_part;	 /* of the objective, until another server is tried */
	double pause_part; /* of the longest pause on time, the same between a stream's events */
	/* on the wire */
	double urgency_step;  /* an organisation's priority counts as so many of a route's */
	double reuse_idle_ms; /* a kept connection idle for less carries a request */
};

struct cw_policy_field {
	const char *name;
	const char *unit;
	const char *purpose; /* the gain it brings, or what it prevents */
	double fallback, min, max;
	double off; /* the value that switches the mechanism off */
	size_t offset;
};

const struct cw_policy *cw_policy_default(void);
const struct cw_policy_field *cw_policy_fields(size_t *count);
double cw_policy_value(const struct cw_policy *policy, const struct cw_policy_field *field);
enum cw_status cw_policy_load(const char *file, struct cw_policy *policy,
			      GString *faults); /* what the file leaves out keeps its default */
void cw_policy_print(const struct cw_policy *policy, FILE *out); /* as a file that can be loaded */

#endif
