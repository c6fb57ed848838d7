/*
 * Progressive roll-out of a new version of a service's server software, the target. In the first
 * half of the ordered duration a small constant share of sessions is routed to the target; then
 * all sessions move in steps, the first of which is a trial under load. As soon as the evidence
 * shows that the target is bad, the roll-out is rolled back. Sans-I/O: time, answers and
 * announcements of peers are the input; variants, verdicts and announcements to peers are the
 * output.
 *
 * A session's requests arrive at many instances, and every instance must choose the same
 * version. The version therefore depends only on the session, its route, the time since the
 * order and the steps that the instances agreed on, all of which move sessions forward only; it
 * never depends on properties of a single request.
 */
#ifndef CW_ROLLOUT_H
#define CW_ROLLOUT_H

#include "cw_config.h"
#include "cw_position.h"

#include <stddef.h>
#include <stdint.h>

#define CW_ROLLOUT_MAX_KINDS	 12 /* kinds of answers of one service, by route and server load */
#define CW_ROLLOUT_MAX_SESSIONS	 96 /* per announcement: about 5 s of a tenth of all sessions */
#define CW_ROLLOUT_MAX_ROUTES	 16 /* routes of one service that are tracked */
#define CW_ROLLOUT_MAX_WITHDRAWN 4  /* versions of a service that stay withdrawn */
#define CW_ROLLOUT_NEVER	 INT64_MAX

/* Load that a route's requests usually cause; bits of a set. */
enum cw_rollout_load_kind {
	CW_ROLLOUT_LONG_RUNNING = 1, /* occupies a server's slot for long, but little else */
	CW_ROLLOUT_SHORT_PROMPT = 2, /* short prompt: answered at once even by a full server */
};

/* Steps that the instances agree on during a roll-out. */
enum cw_rollout_step {
	CW_ROLLOUT_STEP_TRIAL,	/* load kinds of the routes, and the shares for the load trial */
	CW_ROLLOUT_STEP_FULL,	/* a server of the target has answered under load */
	CW_ROLLOUT_STEP_MORE,	/* no answer under load in time: larger trial share */
	CW_ROLLOUT_STEP_PASSED, /* the target passed the trial under load */
	CW_ROLLOUT_STEP_COUNT
};

/* An operator's order to roll out a version. */
struct cw_rollout_order {
	char service[CW_NAME_MAX];
	char target[CW_NAME_MAX]; /* software version of the servers */
	int64_t duration_ms;
};

enum cw_rollout_state {
	CW_ROLLOUT_RUNNING,
	CW_ROLLOUT_COMPLETED,
	CW_ROLLOUT_ROLLED_BACK, /* rolled back: bad target, or no trial under load */
};

/* Status of a roll-out as it is published in the shared store. */
struct cw_rollout_status {
	char service[CW_NAME_MAX];
	char target[CW_NAME_MAX];
	enum cw_rollout_state state;
};

/* Outcome of a roll-out, and its evidence. */
struct cw_rollout_verdict {
	struct cw_rollout_status status;
	const char *reason;
	/* Answers of the target at all instances, decayed; llr: log likelihood ratio. */
	double answers, bad, llr;
	double loaded_answers, loaded_bad, loaded_llr; /* from servers more than half full */
	double streams, quick_streams, streams_llr;    /* by the gaps between their events */
};

/* Variant of a roll-out: the server versions that a request may be sent to. */
enum cw_rollout_variant {
	CW_ROLLOUT_VARIANT_ANY,
	CW_ROLLOUT_VARIANT_OLD, /* any version but the target */
	CW_ROLLOUT_VARIANT_NEW, /* the target only */
};

/* One answer, as evidence about the version that produced it. */
struct cw_rollout_answer {
	const char *service;
	const char *software;
	uint64_t route;
	int is_loaded;	   /* over half of the server's slots were in use at dispatch */
	uint64_t server;   /* cw_server.id */
	int64_t waited_ms; /* from the request's send, or the stream's begin, to the answer */
	int is_failure;
	int is_slow; /* latency far above the prediction */
};

/* Exponentially decayed counts of answers of one kind, by version. */
struct cw_rollout_evidence {
	uint64_t route;
	int is_loaded;
	float old_answers, old_bad;
	float old_answers_long, old_bad_long; /* the same with a longer decay time */
	float new_answers, new_bad;
	float new_answers_long, new_bad_long;
};

/* One route's requests at one instance, and the load kinds and share the instances agreed on. */
struct cw_rollout_route {
	uint64_t route;
	uint32_t arrivals;		  /* requests received */
	uint32_t long_running;		  /* long-running ones among these requests */
	uint32_t short_prompts;		  /* short prompts among these requests */
	uint32_t old_answers, old_failed; /* by the old version, since the order */
	uint32_t new_answers, new_failed; /* by the target, since the order */
	uint32_t kinds; /* set of enum cw_rollout_load_kind; empty until the trial is planned */
	float share;	/* of the route's sessions on the target during the trial; 0: no plan */
};

/* A session that ran on a server of the old version. */
struct cw_rollout_session {
	uint64_t session;
	uint32_t age_ms;
};

/* State of one roll-out that an instance announces to its peers. */
struct cw_rollout_announcement {
	char service[CW_NAME_MAX];
	char target[CW_NAME_MAX];
	struct cw_position position; /* of the order's record in the shared store */
	int64_t elapsed_ms;
	int64_t duration_ms;
	enum cw_rollout_state state;
	int is_written; /* the state is published in the shared store, in its present era */
	int64_t effective_ms[CW_ROLLOUT_STEP_COUNT]; /* start of each step, since the order */
	uint64_t sent, sent_target; /* requests to all servers, and to those of the target */
	float trial_share;	    /* of long-running sessions on the target; 0: no plan */
	uint32_t counted_ms;	    /* how long the sender has counted the routes' requests */
	size_t route_count;
	struct cw_rollout_route routes[CW_ROLLOUT_MAX_ROUTES];
	size_t kind_count;
	struct cw_rollout_evidence kinds[CW_ROLLOUT_MAX_KINDS];
	size_t session_count;
	struct cw_rollout_session sessions[CW_ROLLOUT_MAX_SESSIONS];
};

/* A request to be dispatched. */
struct cw_rollout_request {
	const char *service;
	uint64_t session;
	uint64_t route;
};

/* Variant chosen for a request, and the values that decided it. */
struct cw_rollout_assignment {
	enum cw_rollout_variant variant;
	double share; /* of the route's sessions on the target; 1 without a roll-out */
	double point; /* of the session, 0 to 1: on the target while below the share */
};

/* A step newly known to this instance, for the log. Times are ms since the order. */
struct cw_rollout_progress {
	const char *service;
	const char *target;
	const char *step;
	int64_t effective_ms;
	int64_t elapsed_ms;
	double trial_share;
};

struct cw_rollout_options {
	int64_t session_ms;   /* idle time after which a session has ended */
	double exposed_share; /* part of a service's requests that a bad version may receive */
	double exposed_slack; /* requests that a bad version may receive beyond that part */
};

struct cw_rollouts;

struct cw_rollouts *cw_rollouts_create(const struct cw_rollout_options *options);
void cw_rollouts_destroy(struct cw_rollouts *rollouts);
int cw_rollouts_apply_order(struct cw_rollouts *rollouts, const struct cw_rollout_order *order,
			    struct cw_position position, int64_t now_ms); /* 1: the order is new */
void cw_rollouts_begin_era(
	struct cw_rollouts *rollouts,
	int64_t settled_ms); /* the store was restored from an older copy: outcomes may be missing
				there, and until then orders may be superseded ones */
int cw_rollouts_apply_status(
	struct cw_rollouts *rollouts,
	const struct cw_rollout_status *status);	     /* from the store; 1: changed */
int cw_rollouts_has_any(const struct cw_rollouts *rollouts); /* 1: a roll-out is known */
int cw_rollouts_is_running(const struct cw_rollouts *rollouts, const char *service);
int cw_rollouts_is_completed(const struct cw_rollouts *rollouts, const char *service);
int cw_rollouts_is_rolled_back(const struct cw_rollouts *rollouts,
			       const char *service); /* the roll-out was rolled back */
int cw_rollouts_is_retired(
	const struct cw_rollouts *rollouts, const char *service,
	const char *software); /* replaced: servers with it may stop at any time */
const char *
cw_rollouts_withdrawn(const struct cw_rollouts *rollouts, const char *service,
		      size_t index); /* rolled back under an earlier order and not ordered again;
					index: below CW_ROLLOUT_MAX_WITHDRAWN; NULL: none */
int cw_rollouts_is_withdrawn(const struct cw_rollouts *rollouts, const char *service,
			     const char *software); /* one of these */
const char *cw_rollouts_target(const struct cw_rollouts *rollouts,
			       const char *service); /* NULL: no roll-out */
enum cw_rollout_variant cw_rollouts_choose_variant(struct cw_rollouts *rollouts,
						   const struct cw_rollout_request *request,
						   int64_t now_ms);
struct cw_rollout_assignment cw_rollouts_assign(struct cw_rollouts *rollouts,
						const struct cw_rollout_request *request,
						int64_t now_ms);
int cw_rollouts_next_progress(
	struct cw_rollouts *rollouts, int64_t now_ms,
	struct cw_rollout_progress *progress); /* 1: a step not yet returned */
void cw_rollouts_record_dispatch(struct cw_rollouts *rollouts, const char *service,
				 uint64_t session, const char *software,
				 int64_t now_ms); /* a request was sent to this version */
void cw_rollouts_record_end(struct cw_rollouts *rollouts, const char *service, uint64_t session,
			    const char *software,
			    int64_t now_ms); /* its run ended: the session is idle from now on */
void cw_rollouts_record_arrival(
	struct cw_rollouts *rollouts, const struct cw_rollout_request *request, uint32_t kinds,
	unsigned int slots); /* load kinds of the request; slots per server */
void cw_rollouts_record_retry(
	struct cw_rollouts *rollouts, const char *service, uint64_t session,
	int64_t waiting_since_ms,
	int64_t now_ms); /* the caller retries: it may have lost an earlier attempt */
void cw_rollouts_record_answer(struct cw_rollouts *rollouts, const struct cw_rollout_answer *answer,
			       int64_t now_ms);
void cw_rollouts_mark_answer_slow(
	struct cw_rollouts *rollouts, const struct cw_rollout_answer *answer,
	int64_t now_ms); /* turns an answer that counted as good into a slow one */
int cw_rollouts_is_trial_load(
	const struct cw_rollouts *rollouts, const struct cw_rollout_request *request,
	int64_t now_ms); /* the session helps to load a server of the target */
int cw_rollouts_needs_load_trial(const struct cw_rollouts *rollouts, const char *service,
				 int64_t now_ms); /* the target's trial under load is due */
void cw_rollouts_record_gap(
	struct cw_rollouts *rollouts, const struct cw_rollout_answer *answer, int is_quick,
	int64_t now_ms); /* a stream's events; is_quick: as of the old version's quick streams */
size_t cw_rollouts_evaluate(struct cw_rollouts *rollouts, int64_t now_ms,
			    struct cw_rollout_verdict *verdicts,
			    size_t max);	 /* outcomes that are not known to be published */
int64_t cw_rollouts_write_delay_ms(size_t rank); /* wait before publishing, by rank */
int cw_rollouts_is_starting(const struct cw_rollouts *rollouts,
			    int64_t now_ms); /* peers' sessions are due before the first move */
size_t cw_rollouts_count_old_sessions(const struct cw_rollouts *rollouts,
				      const char *service); /* that peers announced; bounded */
size_t cw_rollouts_announce(struct cw_rollouts *rollouts, int64_t now_ms,
			    struct cw_rollout_announcement *update, size_t max);
int cw_rollouts_merge(struct cw_rollouts *rollouts, uint64_t instance,
		      const struct cw_rollout_announcement *update,
		      int64_t now_ms); /* 1: the roll-out's state changed */

#endif
