#ifndef GATE_INTERNAL_H
#define GATE_INTERNAL_H

#include "cw_gate.h"
#include "cw_hash.h"
#include "cw_quarantine.h"
#include "cw_repeats.h"
#include "cw_shares.h"

#include <glib.h>

#define GATE_GAPS      16 /* event gaps of a stream whose median is its speed */

#define GATE_USUAL_MIN 5 /* samples; fewer say little of the usual time */

struct gate_speed_sample {
	uint64_t server;
	double time_log; /* ln(time / reported pace) */
};

/* Mean of ln(time) over all servers: the usual time that the speed of a server is relative to. */
struct gate_usual {
	double log_mean;
	size_t samples;					 /* of all time */
	struct gate_speed_sample newest[GATE_USUAL_MIN]; /* ring: the first ones wait for a mean */
};

/* Learned timing of a model or plain service on a server without other work. */
struct gate_timing {
	double ms_per_token; /* of prompt processing; 0 for a plain service */
	double mean_ms;	     /* plain service: time to answer; engine: prompt work of a request */
	double event_gap_ms; /* between two events of a stream; 0: not known */
	unsigned int samples;
	double quick_gap_log;	    /* ln(ms): a fifth of the old version's streams is quicker */
	double quick_limit_log;	    /* the same before the roll-out; falls with it meanwhile */
	unsigned int quick_samples; /* until it is known */
	struct gate_usual answer;   /* plain service: time to answer */
	struct gate_usual gap;	    /* model: between two events of a stream */
};

/* Load of one service in the last second or so; all counters decay exponentially. */
struct gate_load_stats {
	double sent;	      /* requests */
	double rejected;      /* requests that servers without room rejected */
	double load_reports;  /* answers that reported their server's load */
	double occupancy_sum; /* sum of (running + queued) / slots over load_reports */
	int64_t updated_ms;   /* time to which the counters are decayed */
};

/*
 * A connection that broke on a request, or that was refused, kept until it is known whether its
 * server ended.
 */
struct gate_break {
	uint64_t fingerprint;
	char organisation[CW_NAME_MAX];
	char target[CW_NAME_MAX];
	uint64_t server;
	int64_t ran_ms;
	int is_running;
	int64_t at_ms;
	int is_probed;	/* of a peer's request: another server was probed for it */
	int is_refusal; /* a refused connection; no request */
};

struct cw_gate {
	struct cw_gate_options options;
	const struct cw_policy *policy;
	char failure_domain[CW_NAME_MAX];
	struct cw_config *config;
	struct cw_pool *pool;
	struct cw_rollouts *rollouts;
	struct cw_quarantine *quarantine;
	GHashTable *retry_budgets; /* service -> struct cw_repeats */
	size_t instances;	   /* number that share the retry budgets; 0: not known */
	GHashTable *output_ratios; /* route or engine service -> double, output per prompt token */
	GHashTable *load_stats;	   /* service -> struct gate_load_stats */
	GHashTable *shares;	   /* service -> struct cw_shares, of services that were asked */
	GHashTable *organisations; /* name -> uint64_t, its hash */
	GHashTable *timings;	   /* model or plain service -> struct gate_timing */
	uint64_t random;
	struct cw_partition partition;
	size_t waiting;		   /* requests after CW_STEP_WAIT */
	GArray *held_breaks;	   /* of struct gate_break */
	GArray *carried_breaks;	   /* of struct gate_break, under requests of peers */
	GHashTable *longest_waits; /* route -> int64_t, longest time limit of its callers, ms */
};

/* An attempt of a call: the fields of the same names in struct cw_call. */
struct gate_run {
	struct cw_server *server; /* NULL: the run has ended */
	int64_t sent_ms;
	int64_t head_ms;
	size_t model_index;
	double work_ms;
	double held_tokens;
	unsigned int events_forwarded; /* received, while the answer is kept */
	int has_no_event_times;
	int has_other_run;
	int is_via_peer;
	int is_head_seen;
	int server_was_loaded;
	char software[CW_NAME_MAX];
};

/* An answer in hand: the run of the model that answered first, while the largest model is asked. */
struct gate_kept {
	int is_held;
	int is_complete;
	int confidence; /* 0 to 100 */
	int64_t due_ms; /* the time at which it is delivered unless the largest model has begun */
	struct gate_run run;
};

struct cw_call {
	struct cw_gate *gate;
	struct cw_config *config;
	struct cw_request_info info;
	const struct cw_route *route;
	const struct cw_organisation *organisation; /* NULL: public route */
	const struct cw_service *service;
	const char *service_name;
	int64_t opened_ms;
	int64_t deadline_ms;			 /* of the final answer */
	int64_t sent_ms;			 /* start of the current attempt */
	struct cw_server *server;		 /* of the attempt in progress */
	char software[CW_NAME_MAX];		 /* version that the newest attempt went to */
	struct cw_rollout_assignment assignment; /* of the newest choice of a server */
	uint64_t tried[CW_MAX_ATTEMPTS];
	size_t tried_count;
	unsigned int attempts;	       /* sends that reached a server */
	unsigned int connect_failures; /* attempts that could not connect; no byte was sent */
	int is_waiting;
	int may_have_run;
	int is_via_peer;       /* the attempt in progress is sent by a peer */
	int has_forwarded;     /* a part of the answer went to the caller */
	int is_body_forwarded; /* that answer is no stream */
	int is_resumed;	       /* the answer consists of more than one run */
	int goes_first;	       /* more urgent by a step; see call_share_goes_first() */
	int is_trial;	       /* trial run of a quarantined request: a single attempt */
	int64_t last_event;
	size_t model_index; /* among the route's models, when it has any */
	uint64_t session;
	uint64_t route_hash; /* of the route's name */
	uint64_t fingerprint;
	double uncached_tokens; /* prompt tokens not expected in the server's prefix cache */
	double work_ms;		/* predicted prompt work, counted in server->own_work_ms */
	double held_tokens;	/* kept in the server's memory until the attempt ends */
	double predicted_ms;	/* from the attempt's send to the response head */
	double peers_work_ms;	/* of other instances at the server, as known at the send */
	int is_output_heavy; /* the route's requests make more output per prompt token than most */
	int server_was_idle; /* almost no other prompt work was queued at the server */
	int server_was_loaded;	    /* half of its slots or more were taken */
	int server_reported_loaded; /* the same, by the server's last report before the send */
	int is_slow;		    /* the response head came far later than expected */
	double late_work_ms;	    /* of other instances at the server, learned of by the head */
	struct cw_report_changes report_changes; /* of the newest response head */
	int is_head_seen;
	int64_t head_ms;	       /* time of the response head */
	unsigned int events_forwarded; /* by the current attempt */
	int64_t first_event_ms;	       /* forwarded by the current attempt */
	int64_t event_ms;	       /* of the newest event */
	uint16_t gaps_ms[GATE_GAPS];   /* the newest ones between its events; a ring */
	int has_no_event_times;	       /* the answer was kept: its events came at once */
	int has_other_run; /* beside the current one, and it has not answered: it may yet crash */
	struct gate_kept kept;
};

uint64_t gate_random(struct cw_gate *gate);
double gate_random_fraction(struct cw_gate *gate); /* 0 to below 1 */
struct gate_timing *gate_get_timing(struct cw_gate *gate, const char *name);
struct gate_timing *gate_get_model_timing(struct cw_gate *gate,
					  const struct cw_call *call); /* its model's */
int64_t gate_update_longest_wait(struct cw_gate *gate, const char *route, int64_t wait_ms);
double gate_update_output_ratio(struct cw_gate *gate, const char *name,
				double sample); /* moving average including the sample */
void gate_count_sent(struct cw_gate *gate, const char *service, int64_t now_ms);
void gate_count_rejected(struct cw_gate *gate, const char *service, int64_t now_ms);
void gate_add_load_report(struct cw_gate *gate, const char *service, const struct cw_load *load,
			  int64_t now_ms);
double gate_slot_occupancy(struct cw_gate *gate, const char *service,
			   int64_t now_ms); /* mean demand per slot; 0: no reports */
double gate_rejected_fraction(struct cw_gate *gate, const char *service,
			      int64_t now_ms); /* 0 to 1 */
double gate_slot_scarcity(struct cw_gate *gate, const char *service,
			  int64_t now_ms); /* for the largest model's streams: 0 or below while few
					      slots are taken, 1 when nearly all are */
struct cw_shares *gate_get_shares(struct cw_gate *gate, const char *service);
uint64_t gate_organisation_id(struct cw_gate *gate, const char *name);
struct cw_repeats *gate_get_retry_budget(struct cw_gate *gate, const char *service);

/* links.c: whether this instance is partitioned from the servers */
int gate_holds_breaks(const struct cw_gate *gate,
		      int64_t now_ms); /* 1: maybe cut links, no crashes of servers */
struct gate_break gate_make_break(const struct cw_quarantine_request *request, uint64_t server,
				  int64_t ran_ms, int is_running, int64_t now_ms);
void gate_charge_break(struct cw_gate *gate, const struct gate_break *noted,
		       int64_t now_ms); /* as a crash of the server at that time */
int gate_ends_as_planned(const struct cw_gate *gate, const struct cw_server *server,
			 int64_t now_ms); /* 1: a broken connection is no crash */

/* carried.c: breaks under requests of peers */
void gate_charge_carried(struct cw_gate *gate, int64_t now_ms); /* a server has answered */
void gate_drop_carried(struct cw_gate *gate, int64_t now_ms);	/* those without a proof in time */

/* call_held.c: quarantine of poison requests; a run without a complete answer is incomplete */
int call_has_single_attempt(
	const struct cw_call *call); /* quarantined or on trial: no further server is risked */
int call_reject_quarantined(struct cw_call *call, struct cw_step *step); /* 0: may be sent */
void call_record_incomplete(struct cw_call *call, const struct cw_server *server, int64_t now_ms);
void call_record_crash(struct cw_call *call, int64_t now_ms);	      /* the connection broke */
int64_t call_run_time_ms(const struct cw_call *call, int64_t now_ms); /* at the attempt's server */

/* call_reports.c: what a server reports about itself in an answer */
void call_apply_reports(struct cw_call *call, const struct cw_response_head *answer,
			int64_t now_ms);

/* call.c */
int64_t
call_reuse_idle_ms(const struct cw_call *call); /* idle time up to which it reuses a connection */

/* call_choice.c: choice of a server */
struct cw_server *
call_choose_server(struct cw_call *call, int64_t now_ms,
		   int *is_affinity_server); /* NULL: no server may run the request */
void call_count_prefix(const struct cw_call *call, int is_affinity_server,
		       int64_t now_ms); /* after the begin of its work at the server */
int64_t
call_admission_wait_ms(struct cw_call *call, int64_t now_ms,
		       enum cw_admission *cause); /* until a server admits it; -1: none will */
struct cw_rollout_request call_rollout_request(const struct cw_call *call);

/* call_share.c: fair share among organisations */
void call_share_count(struct cw_call *call, int64_t now_ms); /* the organisation's demand */
double call_share_room(struct cw_call *call, double room,
		       int64_t now_ms); /* part of its demand that the organisation gets, with room
					   for a part of all demand */
int call_share_goes_first(struct cw_call *call, int64_t now_ms); /* 1: scarce room, of which its
								    organisation asks for little */

/* call_refuse.c: rejection of requests: status, message and time to retry */
int call_may_wait(struct cw_call *call,
		  int64_t now_ms); /* 1: a brittle server may have room in time */
int call_should_reject(struct cw_call *call, int64_t now_ms); /* 1: overload at its priority */
void call_reject(struct cw_step *step, unsigned int status, const char *reason); /* not run */
void call_reject_not_run(struct cw_call *call, struct cw_step *step, const char *reason,
			 int64_t now_ms); /* retry later; call_fail() if it may have run */
void call_reject_unsent(struct cw_call *call, struct cw_step *step,
			int64_t now_ms); /* no server may run it: retry when one may */
void call_extend_retry_after(struct cw_call *call, struct cw_step *step,
			     int64_t now_ms); /* a step that rejects: until a server may run it */
void call_fail(struct cw_call *call, struct cw_step *step, const char *reason); /* may have run */
int64_t call_retry_after_ms(struct cw_call *call);

/* call_attempt.c: an attempt's timeouts and its end */
int64_t call_connect_timeout_ms(const struct cw_call *call);
int64_t call_idle_timeout_ms(const struct cw_call *call, int64_t now_ms);
int64_t call_event_gap_timeout_ms(const struct cw_call *call, int64_t now_ms);
int call_may_retry(struct cw_call *call, int64_t now_ms); /* the budgets grant another attempt */
int call_runs_once(const struct cw_call *call);		  /* by the route's setting */
int call_is_retriable(const struct cw_call *call);	  /* by that, and by what was forwarded */
void call_release_server(struct cw_call *call, int64_t now_ms, int is_answered);
void call_complete_attempt(struct cw_call *call, int64_t now_ms); /* its answer is complete */
void call_abandon_attempt(struct cw_call *call, int64_t now_ms);  /* the I/O layer cancels it */
void call_fail_attempt(struct cw_call *call, enum cw_attempt_failure how,
		       int64_t now_ms); /* sent, and ended without a complete answer */

/* call_kept.c: the answer in hand while the largest model is asked */
int call_kept_may_begin(const struct cw_call *call, const struct cw_response_head *answer);
int call_kept_is_too_late(const struct cw_call *call, int confidence,
			  int64_t now_ms); /* it would be delivered at once */
void call_kept_begin(struct cw_call *call, int confidence,
		     int64_t now_ms);		/* puts the current attempt aside */
void call_kept_take_back(struct cw_call *call); /* the largest model can't be asked */
void call_kept_fill_step(const struct cw_call *call, int64_t now_ms,
			 struct cw_step *step);	     /* of the send to the largest model */
int call_kept_is_enough(const struct cw_call *call); /* trusted where the larger one is late */
int call_kept_is_complete(const struct cw_call *call);
int call_kept_deliver(struct cw_call *call, const char *why, int64_t now_ms,
		      struct cw_step *step);		   /* 0: no answer is in hand */
void call_kept_drop(struct cw_call *call, int64_t now_ms); /* the I/O layer cancels its run */

/* call_model.c: choice among the route's models */
int call_model_is_selectable(const struct cw_call *call); /* the gate chooses among several */
void call_model_choose_first(struct cw_call *call, int64_t now_ms); /* before its first attempt */
int call_model_should_escalate(struct cw_call *call, const struct cw_response_head *answer,
			       int64_t now_ms,
			       struct cw_step *step); /* 0: step.reason says why not */
void call_model_fall_back(struct cw_call *call,
			  int64_t now_ms); /* after a rejection: to a smaller model */

/* call_work.c: predicted cost of an attempt, and what its answer shows about the server */
void call_work_fill_choice(struct cw_call *call, struct cw_choice *choice);
double call_work_predict_ms(const struct cw_call *call, const struct cw_server *server,
			    int is_affinity_server, int64_t now_ms); /* until the response head */
double call_work_queue_ms(const struct cw_call *call, const struct cw_server *server,
			  int64_t now_ms); /* the part of it for prompts queued before */
int call_work_fits_deadline(const struct cw_call *call,
			    int64_t now_ms); /* the largest model's whole stream does */
int call_work_is_output_heavy(const struct cw_call *call);  /* holds a slot for long */
int call_work_has_short_prompt(const struct cw_call *call); /* for the smallest model */
void call_work_record_load(struct cw_call *call, const struct cw_load *load,
			   int64_t now_ms); /* load that came with the answer */
void call_work_begin(struct cw_call *call, int is_affinity_server, int64_t now_ms);
void call_work_record_head(struct cw_call *call, int64_t now_ms); /* status below 500 */
void call_work_record_event(struct cw_call *call, int64_t now_ms);
void call_work_record_completion(struct cw_call *call, int64_t now_ms); /* complete answer */
void call_work_record_failure(struct cw_call *call, int64_t now_ms);
void call_work_end(struct cw_call *call);
int call_work_is_on_unproved_version(
	const struct cw_call *call); /* target of a roll-out that is not completed */
double call_work_unproved_pace(const struct cw_call *call,
			       int64_t now_ms); /* part of the server's pace that is no excuse */
struct cw_rollout_answer call_work_rollout_evidence(const struct cw_call *call);

/* call_gap.c: gaps between the events of streams, as evidence about a version */
void call_gap_record_event(struct cw_call *call, int64_t now_ms); /* after it was counted */
void call_gap_record_completion(struct cw_call *call, double gap_ms, int64_t now_ms);

#endif
