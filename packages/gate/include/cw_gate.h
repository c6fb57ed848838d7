/*
 * The decisions on one request between its caller and the backend servers, sans-I/O: is it allowed,
 * which model and server, what follows from an answer or a failure, what the caller is told. Time
 * and randomness come in, a step goes out; whoever drives it does the input and output.
 *
 * A request goes through: cw_call_open, then for each SEND one of cw_call_head or cw_call_broken
 * (after a shown head: cw_call_broken or cw_call_done), and cw_call_close at its end.
 */
#ifndef CW_GATE_H
#define CW_GATE_H

#include "cw_facts.h"
#include "cw_limits.h"
#include "cw_policy.h"
#include "cw_pool.h"
#include "cw_quarantine.h"
#include "cw_rollout.h"
#include "cw_route.h"
#include "cw_status.h"

#include <stdint.h>

/* What to do next. */
enum cw_step_kind {
	CW_STEP_SEND,	/* to step.server; an exchange in progress is cancelled first */
	CW_STEP_SHOW,	/* pass the answer on to the caller */
	CW_STEP_REFUSE, /* final answer of the router's own, nothing was shown */
	CW_STEP_ABORT,	/* a part was shown: end it so that it can't look complete */
};

struct cw_step {
	enum cw_step_kind kind;
	struct cw_server *server;
	struct cw_dispatch dispatch;
	struct cw_rollout_assignment assignment; /* SEND */
	int64_t reuse_idle_ms;			 /* a kept connection idle for less may carry it */
	int64_t connect_ms;
	int64_t silence_ms;  /* longest wait for a byte */
	unsigned int status; /* REFUSE */
	enum cw_run run;
	int64_t retry_after_ms; /* -1: none */
	const char *reason;	/* REFUSE: in words; SHOW: why no larger model was asked */
	int was_loaded;		/* of an answer's step: it is evidence of its server under load */
	int asked_confidence;	/* SHOW: below it a larger model would have been; -1: no matter */
};

/* How an attempt failed. */
enum cw_break {
	CW_BREAK_UNSENT,  /* nobody answered */
	CW_BREAK_REFUSED, /* unsent too: the host takes no connection */
	CW_BREAK_BROKEN,
	CW_BREAK_GARBLED,
	CW_BREAK_SILENT,
};

struct cw_gate_options {
	const char *failure_domain;
	uint64_t seed;
	double repeat_ratio; /* of a service's requests that may be sent again */
	double repeat_slack; /* and this many more, of all instances together */
	int64_t repeat_window_ms;
	double cold_factor; /* of a service's rate, that its cold servers bear at times, */
	double cold_slack;  /* and so many requests a second more */
	struct cw_rollout_options rollouts;
	const struct cw_policy *policy; /* NULL: the default; outlives the gate */
};

struct cw_gate;
struct cw_call;

struct cw_gate *cw_gate_create(const struct cw_gate_options *options);
void cw_gate_destroy(struct cw_gate *gate); /* its calls must have ended */
void cw_gate_divide(struct cw_gate *gate,
		    size_t instances); /* what all may do, among so many; 0: not known yet */
int cw_gate_configure(struct cw_gate *gate,
		      struct cw_config *config); /* takes a reference; 0: not newer, ignored */
const struct cw_config *cw_gate_config(const struct cw_gate *gate); /* NULL: none yet */
struct cw_pool *cw_gate_pool(struct cw_gate *gate);
struct cw_rollouts *cw_gate_rollouts(struct cw_gate *gate);
struct cw_quarantine *cw_gate_quarantine(struct cw_gate *gate);

struct cw_call *cw_call_open(struct cw_gate *gate, const struct cw_facts *facts,
			     int64_t came_ms, /* its time limits count from then */
			     int64_t now_ms, struct cw_step *step);
void cw_call_turn_away(struct cw_call *call, int64_t now_ms, const char *reason,
		       struct cw_step *step); /* right after it was opened: not run, come back */
void cw_call_head(struct cw_call *call, const struct cw_answer_facts *answer, int64_t now_ms,
		  struct cw_step *step);
int cw_call_wants_event(const struct cw_call *call, int64_t event);	 /* 0: the caller has it */
void cw_call_event(struct cw_call *call, int64_t event, int64_t now_ms); /* was shown */
void cw_call_broken(struct cw_call *call, enum cw_break how, int64_t now_ms, struct cw_step *step);
void cw_call_done(struct cw_call *call, int64_t now_ms); /* the shown answer is complete */
void cw_call_expired(struct cw_call *call, int64_t now_ms,
		     struct cw_step *step);	 /* at cw_call_limit_ms */
int cw_call_is_held(const struct cw_call *call); /* its request was put on the list since */
void cw_call_stop(struct cw_call *call, int64_t now_ms,
		  struct cw_step *step);		  /* one that is held; the step ends it */
void cw_call_close(struct cw_call *call, int64_t now_ms); /* also when its caller left */
int cw_call_may_leave(const struct cw_call *call);	  /* its server, for another one */
int64_t cw_call_limit_ms(const struct cw_call *call);	  /* when a final answer is due */
const struct cw_route *cw_call_route(const struct cw_call *call);
const char *cw_call_organisation(const struct cw_call *call);
const char *cw_call_model(const struct cw_call *call);
struct cw_server *cw_call_server(const struct cw_call *call);
uint64_t
cw_call_fingerprint(const struct cw_call *call); /* cw_quarantine_fingerprint; 0: no route */
unsigned int cw_call_attempts(const struct cw_call *call);
double cw_call_predicted_ms(const struct cw_call *call); /* of the attempt, to its answer's head */

#endif
