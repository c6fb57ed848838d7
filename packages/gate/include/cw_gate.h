/*
 * Request state machine between a caller and the backend servers, without I/O: authorisation,
 * choice of model and server, retries and failover, and the answer to the caller. The time and a
 * random seed are inputs and each call returns the next step; the I/O layer carries the step out.
 *
 * Call sequence of a request: cw_call_open, cw_call_resume after each CW_STEP_WAIT, then for each
 * CW_STEP_SEND either cw_call_handle_head or cw_call_handle_failure (after a forwarded head:
 * cw_call_handle_failure or cw_call_complete), and finally cw_call_close.
 */
#ifndef CW_GATE_H
#define CW_GATE_H

#include "cw_facts.h"
#include "cw_limits.h"
#include "cw_partition.h"
#include "cw_policy.h"
#include "cw_pool.h"
#include "cw_quarantine.h"
#include "cw_rollout.h"
#include "cw_route.h"
#include "cw_shares.h"
#include "cw_status.h"

#include <stdint.h>

/* The next step of the I/O layer. */
enum cw_step_kind {
	CW_STEP_SEND,	      /* send to step.server; cancel an exchange in progress first */
	CW_STEP_FORWARD,      /* forward the answer to the caller */
	CW_STEP_FORWARD_KEPT, /* cancel the exchange in progress; forward the kept answer, first
				 what has arrived of it; its exchange is the one in progress now */
	CW_STEP_WAIT,	/* call cw_call_resume after step.wait_ms: a server may have room then */
	CW_STEP_REJECT, /* the router answers itself; nothing was forwarded before */
	CW_STEP_ABORT,	/* end a partly forwarded answer so that it can't look complete */
};

struct cw_step {
	enum cw_step_kind kind;
	struct cw_server *server;
	struct cw_dispatch dispatch;
	struct cw_rollout_assignment assignment; /* of CW_STEP_SEND */
	int64_t reuse_idle_ms;	 /* a kept-alive connection idle for less may be reused */
	int64_t connect_ms;	 /* timeout of a new connection */
	int64_t read_timeout_ms; /* idle timeout: longest wait for the next byte */
	int64_t wait_ms;	 /* of CW_STEP_WAIT */
	int keeps_answer;	 /* CW_STEP_SEND: don't cancel the exchange in progress, keep its
				    answer: see cw_call_has_kept */
	int64_t kept_timeout_ms; /* read timeout of the kept exchange */
	unsigned int status;	 /* of CW_STEP_REJECT */
	enum cw_run_state run;
	int64_t retry_after_ms;	  /* -1: none */
	const char *reason;	  /* CW_STEP_REJECT: message; CW_STEP_FORWARD: why not escalated;
				     CW_STEP_FORWARD_KEPT: why the kept answer is delivered */
	int kept_confidence;	  /* of CW_STEP_FORWARD_KEPT */
	int was_under_load;	  /* after an answer: the server was under load when it answered */
	int is_slow;		  /* after an answer: evidence against the server's version */
	double late_work_ms;	  /* after an answer: work of others learned of since the send */
	int confidence_threshold; /* CW_STEP_FORWARD: threshold that applied; -1: none did */
};

/* What the newest response head changed in what is known of its server's reports. */
struct cw_report_changes {
	int is_rate_limit_changed;  /* named, changed or lifted */
	int is_brittleness_changed; /* brittle, or no more */
	int is_leaving;		    /* reported for the first time */
	int has_asked_for_rest;
};

/* How an attempt failed. */
enum cw_attempt_failure {
	CW_ATTEMPT_NO_CONNECTION,      /* no byte sent: the host did not answer */
	CW_ATTEMPT_CONNECTION_REFUSED, /* no byte sent: the host refused the connection */
	CW_ATTEMPT_CONNECTION_LOST,    /* connection lost after the request was sent */
	CW_ATTEMPT_MALFORMED,	       /* malformed, unsigned or encoded response */
	CW_ATTEMPT_TIMED_OUT,	       /* idle timeout */
	CW_ATTEMPT_PEER_LOST,	 /* lost by the peer that forwarded it: no fault of the server */
	CW_ATTEMPT_LOST_AT_PEER, /* as CONNECTION_LOST, but the peer's, which has noted the break */
};

struct cw_gate_options {
	const char *failure_domain;
	uint64_t seed;
	double retry_ratio;	 /* retries allowed per request of a service */
	double retry_slack;	 /* additional retries, shared by all instances */
	int64_t retry_window_ms; /* window of the retry budget */
	double cold_factor;	 /* burst that a cold server handles: its rate times this, */
	double cold_slack;	 /* plus this many requests a second */
	struct cw_rollout_options rollouts;
	const struct cw_policy *policy; /* NULL: the default; must outlive the gate */
};

struct cw_gate;
struct cw_call;

struct cw_gate *cw_gate_create(const struct cw_gate_options *options);
void cw_gate_destroy(struct cw_gate *gate); /* all its calls must be closed */
void cw_gate_set_instances(
	struct cw_gate *gate,
	size_t instances); /* number that share the retry budgets; 0: not known yet */
int cw_gate_configure(struct cw_gate *gate,
		      struct cw_config *config); /* takes a reference; 0: not newer, ignored */
const struct cw_config *cw_gate_config(const struct cw_gate *gate); /* NULL: none yet */
struct cw_pool *cw_gate_pool(struct cw_gate *gate);
struct cw_rollouts *cw_gate_rollouts(struct cw_gate *gate);
struct cw_quarantine *cw_gate_quarantine(struct cw_gate *gate);

/* Fair share among organisations, by service. */
double cw_gate_room(struct cw_gate *gate, const char *service,
		    int64_t now_ms); /* for this part of all demand; 1: nothing is scarce */
struct cw_shares *cw_gate_shares(struct cw_gate *gate,
				 const char *service); /* NULL: no organisation asked it */
void cw_gate_merge_demands(struct cw_gate *gate, const char *service, uint64_t origin,
			   const struct cw_share_demand *demands, size_t count,
			   int64_t now_ms); /* a peer's announcement; unknown services: ignored */
const char *cw_gate_organisation_name(const struct cw_gate *gate,
				      uint64_t organisation); /* NULL: not seen here */

/*
 * Whether this instance is partitioned from the backend servers. Each of the first four returns 1
 * if that changed.
 */
int cw_gate_note_contact(struct cw_gate *gate,
			 int64_t now_ms); /* a byte or a new connection, directly */
int cw_gate_note_loss(struct cw_gate *gate, const struct cw_server *server,
		      int64_t now_ms); /* a direct connection broke or did not open */
int cw_gate_note_forwarded(struct cw_gate *gate, struct cw_server *server, int is_refusing,
			   int64_t now_ms); /* a peer reached the server; is_refusing: this instance
					       is refused new connections */
int cw_gate_note_ended(struct cw_gate *gate,
		       int64_t now_ms); /* peers are refused by a server that was lost, too */
void cw_gate_note_break(struct cw_gate *gate, const struct cw_quarantine_request *request,
			const struct cw_server *server, int64_t ran_ms, int is_running,
			int64_t now_ms); /* a direct connection broke under the request; see
					    cw_quarantine_note_break */
void cw_gate_note_carried_break(
	struct cw_gate *gate, const struct cw_quarantine_request *request,
	const struct cw_server *server, int64_t ran_ms, int is_running,
	int64_t now_ms); /* the same, under a peer's request that this instance carried */
int cw_gate_needs_contact(struct cw_gate *gate,
			  int64_t now_ms); /* 1: probe other servers, for such a break */
void cw_gate_note_unopened(struct cw_gate *gate, const struct cw_server *server, int is_refused,
			   int64_t now_ms); /* a direct connection did not open; is_refused: by the
					       server's host, rather than by a timeout */
void cw_gate_note_removed(struct cw_gate *gate, const struct cw_server *server,
			  int64_t now_ms);			  /* from the server list */
void cw_gate_settle_breaks(struct cw_gate *gate, int64_t now_ms); /* call a few times a second */
const struct cw_partition *cw_gate_partition(const struct cw_gate *gate);

struct cw_call *cw_call_open(struct cw_gate *gate, const struct cw_request_info *info,
			     int64_t arrived_ms, /* start of the request's time limits */
			     int64_t now_ms, struct cw_step *step);
void cw_call_reject(struct cw_call *call, int64_t now_ms, const char *reason,
		    struct cw_step *step); /* only right after cw_call_open: not run, retry later */
void cw_call_resume(struct cw_call *call, int64_t now_ms, struct cw_step *step);
int cw_call_is_waiting(const struct cw_call *call); /* after CW_STEP_WAIT */
void cw_call_handle_head(struct cw_call *call, const struct cw_response_head *answer,
			 int64_t now_ms, struct cw_step *step);
void cw_call_set_via_peer(struct cw_call *call); /* a peer sends the attempt in progress */
int cw_call_wants_event(const struct cw_call *call,
			int64_t event); /* 0: the caller already has the event */
void cw_call_add_event(struct cw_call *call, int64_t event,
		       int64_t now_ms); /* the event was forwarded */
void cw_call_begin_body(struct cw_call *call,
			int64_t now_ms); /* the caller gets a part of an answer that is no stream */
void cw_call_handle_failure(struct cw_call *call, enum cw_attempt_failure how, int64_t now_ms,
			    struct cw_step *step);

/*
 * An answer in hand. While the largest model is asked (after a step with keeps_answer), the answer
 * of the smaller one goes on beside it and is kept by the I/O layer. Call cw_call_check_kept at
 * cw_call_kept_due_ms; any step may be CW_STEP_FORWARD_KEPT. The first event of the largest model
 * that is forwarded drops the kept answer: the I/O layer cancels its exchange once
 * cw_call_has_kept returns 0.
 */
int cw_call_has_kept(const struct cw_call *call);
int64_t cw_call_kept_due_ms(const struct cw_call *call); /* -1: no answer is kept */
struct cw_server *
cw_call_kept_server(const struct cw_call *call); /* of its run; NULL: none, or it has ended */
int cw_call_check_kept(struct cw_call *call, int64_t now_ms,
		       struct cw_step *step); /* 0: goes on as before, step isn't set */
void cw_call_complete_kept(struct cw_call *call, unsigned int events,
			   int64_t now_ms); /* it is complete, with so many events */
void cw_call_fail_kept(struct cw_call *call, enum cw_attempt_failure how,
		       int64_t now_ms); /* its run broke: it is dropped */
void cw_call_drop_kept(struct cw_call *call,
		       int64_t now_ms); /* no room: the I/O layer cancels its exchange */

void cw_call_complete(struct cw_call *call, int64_t now_ms); /* the forwarded answer is complete */
void cw_call_expire(struct cw_call *call, int64_t now_ms,
		    struct cw_step *step);		/* at cw_call_deadline_ms */
int cw_call_is_quarantined(const struct cw_call *call); /* the request is quarantined now */
void cw_call_abort(struct cw_call *call, int64_t now_ms,
		   struct cw_step *step); /* ends a request that was quarantined while running */
void cw_call_close(struct cw_call *call, int64_t now_ms);  /* also after the caller disconnected */
int cw_call_may_change_server(const struct cw_call *call); /* the route allows more attempts */
int cw_call_has_alternative(struct cw_call *call,
			    int64_t now_ms); /* to the attempt: an answer is in hand, or the
						budgets grant another attempt now */
int64_t cw_call_deadline_ms(const struct cw_call *call); /* deadline of the final answer */
const struct cw_route *cw_call_route(const struct cw_call *call);
const char *cw_call_organisation(const struct cw_call *call);
const char *cw_call_model(const struct cw_call *call);
struct cw_server *cw_call_server(const struct cw_call *call);
uint64_t
cw_call_fingerprint(const struct cw_call *call); /* cw_quarantine_fingerprint; 0: no route */
struct cw_quarantine_request
cw_call_identity(const struct cw_call *call); /* of a call with a route */
const struct cw_report_changes *cw_call_report_changes(const struct cw_call *call);
unsigned int cw_call_attempts(const struct cw_call *call);
double cw_call_predicted_ms(const struct cw_call *call); /* until the response head */
int64_t cw_call_silence_ms(const struct cw_call *call, int64_t since_ms,
			   int64_t now_ms); /* predicted silence of its server since then */
int64_t cw_call_extra_silence_ms(struct cw_call *call,
				 int64_t now_ms);   /* the read timeout passed: how long to wait
						       until the next question, 0: give it up */
double cw_call_work_ms(const struct cw_call *call); /* of the attempt's prompt, predicted */

#endif
