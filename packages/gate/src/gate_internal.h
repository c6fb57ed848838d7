#ifndef GATE_INTERNAL_H
#define GATE_INTERNAL_H

#include "cw_gate.h"
#include "cw_hash.h"
#include "cw_quarantine.h"
#include "cw_repeats.h"

#include <glib.h>

/* What is learned of how fast a kind of work goes on a server that has nothing else to do. */
struct gate_pace {
	double ms_per_token; /* of a prompt; 0 for a plain service */
	double usual_ms;     /* a plain service's answer, or the work of an engine's request */
	double event_ms;     /* between two events of a stream, 0 not known */
	unsigned int samples;
};

/* Of the requests sent to a service in the last second, those that its servers had no room for. */
struct gate_pressure {
	double sent;
	double rejected;
	double told;	  /* answers that told of their server's load, */
	double told_full; /* and the parts of the servers' slots that were wanted, summed */
	int64_t at_ms;	  /* all of it is true then */
};

struct cw_gate {
	struct cw_gate_options options;
	const struct cw_policy *policy;
	char failure_domain[CW_NAME_MAX];
	struct cw_config *config;
	struct cw_pool *pool;
	struct cw_rollouts *rollouts;
	struct cw_quarantine *quarantine;
	GHashTable *repeats;   /* service -> struct cw_repeats */
	size_t instances;      /* that share the budget of repeats, 0 not known */
	GHashTable *shapes;    /* route or engine service -> double, tokens made for one read */
	GHashTable *pressures; /* service -> struct gate_pressure */
	GHashTable *paces;     /* model or plain service -> struct gate_pace */
	uint64_t random;
	GHashTable *waits; /* route -> the longest that a caller of it said to wait, ms */
};

struct cw_call {
	struct cw_gate *gate;
	struct cw_config *config;
	struct cw_facts facts;
	const struct cw_route *route;
	const struct cw_organisation *organisation; /* NULL: public route */
	const struct cw_service *service;
	const char *service_name;
	int64_t opened_ms;
	int64_t limit_ms;			 /* when a final answer is due */
	int64_t sent_ms;			 /* the attempt's */
	struct cw_server *server;		 /* of the attempt in progress */
	char software[CW_NAME_MAX];		 /* that the newest attempt went to */
	struct cw_rollout_assignment assignment; /* of the newest choice of a server */
	uint64_t tried[CW_MAX_ATTEMPTS];
	size_t tried_count;
	unsigned int attempts; /* sends that reached a server */
	unsigned int unsent;   /* connections that failed */
	int may_have_run;
	int is_shown;
	int is_continued; /* the answer is not of one run */
	int is_trial;	  /* of a held request: it is sent once */
	int64_t last_event;
	size_t model; /* index among the route's, when it has any */
	uint64_t session;
	uint64_t route_hash; /* of the route's name */
	uint64_t fingerprint;
	double tokens;	     /* that the server has to read, as far as is known */
	double work_ms;	     /* counted in server->own_work_ms */
	double predicted_ms; /* from the attempt's send to its head */
	int is_filling;	     /* its route's requests are long at their server for little work */
	int was_idle;	     /* nothing else waited at the server */
	int was_loaded;	     /* more than half of its slots were taken */
	int was_told_full;   /* so it was by the server's own newest word before the send */
	int is_head_seen;
	int64_t head_ms;     /* when it was */
	unsigned int events; /* of the attempt, that were shown */
};

uint64_t gate_random(struct cw_gate *gate);
double gate_random_part(struct cw_gate *gate); /* 0 to below 1 */
struct gate_pace *gate_pace(struct cw_gate *gate, const char *name);
int64_t gate_longest_wait_ms(struct cw_gate *gate, const char *route, int64_t wait_ms);
double gate_shape(struct cw_gate *gate, const char *name,
		  double sample); /* the usual one, this one included */
void gate_note_sent(struct cw_gate *gate, const char *service, int64_t now_ms);
void gate_note_rejected(struct cw_gate *gate, const char *service, int64_t now_ms);
void gate_note_told(struct cw_gate *gate, const char *service, const struct cw_load *load,
		    int64_t now_ms);
double
gate_fullness(struct cw_gate *gate, const char *service,
	      int64_t now_ms); /* usual part of a server's slots that is wanted; 0 not told */
double gate_rejected_part(struct cw_gate *gate, const char *service, int64_t now_ms); /* 0 to 1 */
struct cw_repeats *gate_repeats(struct cw_gate *gate, const char *service);

/* call_held.c: requests under which servers end */
int call_is_once(const struct cw_call *call); /* 1: its request is held, or on trial: no further
						 server is risked */
int call_refuse_held(struct cw_call *call, struct cw_step *step); /* 0: it may be sent */
void call_note_left(struct cw_call *call, const struct cw_server *server, int64_t now_ms);
void call_note_end(struct cw_call *call, int64_t now_ms);	 /* the connection broke */
int64_t call_ran_ms(const struct cw_call *call, int64_t now_ms); /* at the attempt's server */

/* call_choice.c */
struct cw_server *call_choose(struct cw_call *call, int64_t now_ms,
			      int *is_home); /* NULL: no server may take it */
int64_t call_cold_wait_ms(struct cw_call *call,
			  int64_t now_ms); /* until a cold server may take it; -1: none will */
struct cw_rollout_request call_as_request(const struct cw_call *call);

/* call_refuse.c: who is turned away, with what word, and when to come back */
int call_is_shed(struct cw_call *call, int64_t now_ms); /* 1: servers have no room for its kind */
void call_refuse(struct cw_step *step, unsigned int status, const char *reason); /* not run */
void call_refuse_not_run(struct cw_call *call, struct cw_step *step, const char *reason,
			 int64_t now_ms); /* come back; it fails where it may have run */
void call_refuse_unsent(struct cw_call *call, struct cw_step *step,
			int64_t now_ms); /* no server may take it: come back when one may */
void call_fail(struct cw_call *call, struct cw_step *step, const char *reason); /* may have run */
int64_t call_retry_after_ms(struct cw_call *call);

/* call_model.c: which of the route's models answers */
int call_model_is_free(const struct cw_call *call); /* the gate says which, and has a choice */
int call_model_is_on_trial(const struct cw_call *call,
			   int64_t now_ms); /* the largest, to fill a server of a new version */
int call_model_escalates(struct cw_call *call, const struct cw_answer_facts *answer, int64_t now_ms,
			 struct cw_step *step); /* the largest in place of this answer; if not, the
						   step's reason tells why */
void call_model_rejected(struct cw_call *call); /* no room: the small one's is better than none */

/* call_work.c: what an attempt costs its server, and what its answer tells of the server */
void call_work_fill(struct cw_call *call, struct cw_choice *choice);
double call_work_predict(const struct cw_call *call, const struct cw_server *server, int is_home,
			 int64_t now_ms); /* ms to an answer's head */
double call_work_queue_ms(const struct cw_call *call, const struct cw_server *server,
			  int64_t now_ms); /* of it, other prompts that are read before */
int call_work_is_in_time(
	const struct cw_call *call,
	int64_t now_ms); /* the largest model's whole stream, by the caller's guess */
int call_work_is_filling(
	const struct cw_call *call); /* its route's requests take slots for long, and little else */
int call_work_is_light(const struct cw_call *call); /* the smallest model reads it at once */
void call_work_told(struct cw_call *call, const struct cw_load *load,
		    int64_t now_ms); /* with its answer */
void call_work_begin(struct cw_call *call, int is_home, int64_t now_ms);
void call_work_head(struct cw_call *call, int64_t now_ms); /* a good head came */
void call_work_done(struct cw_call *call, int64_t now_ms); /* the answer was whole */
void call_work_failed(struct cw_call *call, int64_t now_ms);
void call_work_end(struct cw_call *call);

#endif
