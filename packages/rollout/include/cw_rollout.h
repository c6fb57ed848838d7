/*
 * Moving a service's traffic from one version of its servers' software to another: a small constant
 * share of sessions in the first half of the time ordered, then all in steps, with a trial under
 * load at the first of them; or back at the first proof that the version is bad. Sans-I/O: time,
 * answers and peers' news come in; arms, verdicts and news for peers go out.
 *
 * A session's requests come to many instances, and its version must be the same at each. So it
 * follows from the session, its route, the time since the order and what the instances have agreed
 * on, all of which only ever moves sessions forward; never from how one request looks.
 */
#ifndef CW_ROLLOUT_H
#define CW_ROLLOUT_H

#include "cw_config.h"

#include <stddef.h>
#include <stdint.h>

#define CW_ROLLOUT_KINDS    12 /* of one service's answers that are told apart: by route and load */
#define CW_ROLLOUT_SESSIONS 96 /* sessions told to peers, about 5 s of a share of a tenth */
#define CW_ROLLOUT_ROUTES   16 /* of one service that are known by kind; others are of none */
#define CW_ROLLOUT_NEVER    INT64_MAX

/* How the requests of a route usually are; a set of these. */
enum cw_rollout_kind {
	CW_ROLLOUT_FILLING = 1, /* they take a server's slots for long, and little else of it */
	CW_ROLLOUT_LIGHT = 2,	/* little to read: answered at once also by a full server */
};

/* What the instances agree on, one after the other. */
enum cw_rollout_step {
	CW_ROLLOUT_TRIAL,  /* the routes' kinds, and the share of filling sessions for the trial */
	CW_ROLLOUT_FULL,   /* one of the target's servers has answered under load */
	CW_ROLLOUT_MORE,   /* none has in time: more of the filling sessions go there */
	CW_ROLLOUT_PROVED, /* the target stood the trial under load */
	CW_ROLLOUT_STEPS
};

/* An operator's order. */
struct cw_rollout_order {
	char service[CW_NAME_MAX];
	char target[CW_NAME_MAX]; /* version of the servers' software */
	int64_t duration_ms;
};

enum cw_rollout_state {
	CW_ROLLOUT_RUNNING,
	CW_ROLLOUT_DONE,
	CW_ROLLOUT_BACK, /* the version was found bad */
};

/* What is written down of it. */
struct cw_rollout_status {
	char service[CW_NAME_MAX];
	char target[CW_NAME_MAX];
	enum cw_rollout_state state;
};

/* How it ended, and by what evidence. */
struct cw_rollout_verdict {
	struct cw_rollout_status status;
	const char *reason;
	double answers, bad, doubt; /* of the target, by all instances, older ones count less */
	double loaded_answers, loaded_bad, loaded_doubt; /* from servers more than half full */
};

/* Which servers a request may go to. */
enum cw_rollout_arm {
	CW_ROLLOUT_ANY,
	CW_ROLLOUT_OLD, /* not the target */
	CW_ROLLOUT_NEW, /* only the target */
};

/* One answer, as evidence of the version that gave it. */
struct cw_rollout_answer {
	const char *service;
	const char *software;
	uint64_t route;
	int is_loaded; /* more than half of its server's slots were taken when it was sent */
	int is_failure;
	int is_slow; /* far beyond what was predicted */
};

/* Answers of one kind by the two versions; older ones count less and less. */
struct cw_rollout_evidence {
	uint64_t route;
	int is_loaded;
	float old_answers, old_bad;
	float old_past_answers, old_past_bad; /* the same over a longer time */
	float new_answers, new_bad;
	float new_past_answers, new_past_bad;
};

/* One route's requests at one instance, and what the instances agreed that they are. */
struct cw_rollout_route {
	uint64_t route;
	uint32_t came;
	uint32_t filling;		  /* of them */
	uint32_t light;			  /* of them */
	uint32_t old_answers, old_failed; /* by the version before the target, since the order */
	uint32_t new_answers, new_failed; /* by the target */
	uint32_t kinds; /* set of enum cw_rollout_kind, empty before the trial is planned */
	float share;	/* of its sessions on the target during the trial; 0 before */
};

/* A session that a server of the old version served. */
struct cw_rollout_session {
	uint64_t session;
	uint32_t age_ms;
};

/* What one instance tells the others of one roll-out. */
struct cw_rollout_news {
	char service[CW_NAME_MAX];
	char target[CW_NAME_MAX];
	uint64_t offset; /* of the order's record */
	int64_t elapsed_ms;
	int64_t duration_ms;
	enum cw_rollout_state state;
	int is_written;
	int64_t from_ms[CW_ROLLOUT_STEPS]; /* each in force, since the order; CW_ROLLOUT_NEVER */
	uint64_t sent, sent_new; /* requests to the service's servers, and to the target's */
	float trial_share;	 /* of filling sessions on the target for the trial; 0: none yet */
	uint32_t counted_ms;	 /* the sender has counted the routes' requests for so long */
	size_t route_count;
	struct cw_rollout_route routes[CW_ROLLOUT_ROUTES];
	size_t kind_count;
	struct cw_rollout_evidence kinds[CW_ROLLOUT_KINDS];
	size_t session_count;
	struct cw_rollout_session sessions[CW_ROLLOUT_SESSIONS];
};

/* A request that is to be sent. */
struct cw_rollout_request {
	const char *service;
	uint64_t session;
	uint64_t route;
};

/* Which versions a request may be sent to, and what decided it. */
struct cw_rollout_assignment {
	enum cw_rollout_arm arm;
	double share; /* of such requests' sessions that the target gets; 1 without a roll-out */
	double point; /* of this session, 0 to 1: on the target while the share is above */
};

/* A step that an instance learned of, for the log. Times are ms since the order. */
struct cw_rollout_progress {
	const char *service;
	const char *target;
	const char *step;
	int64_t from_ms;
	int64_t elapsed_ms;
	double trial_share;
};

struct cw_rollout_options {
	int64_t session_ms;   /* a session idle for longer has ended */
	double exposed_share; /* of a service's requests that a bad version may get */
	double exposed_slack; /* and this many more */
};

struct cw_rollouts;

struct cw_rollouts *cw_rollouts_create(const struct cw_rollout_options *options);
void cw_rollouts_destroy(struct cw_rollouts *rollouts);
int cw_rollouts_order(struct cw_rollouts *rollouts, const struct cw_rollout_order *order,
		      uint64_t offset, int64_t now_ms); /* 1: news */
int cw_rollouts_told(struct cw_rollouts *rollouts,
		     const struct cw_rollout_status *status); /* as written down; 1: news */
int cw_rollouts_any(const struct cw_rollouts *rollouts);      /* 1: an order is known */
int cw_rollouts_is_bad(const struct cw_rollouts *rollouts,
		       const char *service); /* its target was taken back */
int cw_rollouts_is_retired(const struct cw_rollouts *rollouts, const char *service,
			   const char *software); /* servers of this version stop at any moment */
const char *cw_rollouts_target(const struct cw_rollouts *rollouts,
			       const char *service); /* NULL: no roll-out */
enum cw_rollout_arm cw_rollouts_arm(struct cw_rollouts *rollouts,
				    const struct cw_rollout_request *request, int64_t now_ms);
struct cw_rollout_assignment cw_rollouts_assignment(struct cw_rollouts *rollouts,
						    const struct cw_rollout_request *request,
						    int64_t now_ms);
int cw_rollouts_progressed(struct cw_rollouts *rollouts, int64_t now_ms,
			   struct cw_rollout_progress *progress); /* 1: not told of before */
void cw_rollouts_used(struct cw_rollouts *rollouts, const char *service, uint64_t session,
		      const char *software, int64_t now_ms); /* a request went to this version */
void cw_rollouts_came(struct cw_rollouts *rollouts, const struct cw_rollout_request *request,
		      uint32_t kinds,
		      unsigned int slots); /* it looks like these, to servers of so many slots */
void cw_rollouts_asked(struct cw_rollouts *rollouts, const char *service, uint64_t session,
		       int64_t asked_ms,
		       int64_t now_ms); /* a caller that has waited since asked_ms is here */
void cw_rollouts_answered(struct cw_rollouts *rollouts, const struct cw_rollout_answer *answer,
			  int64_t now_ms);
void cw_rollouts_spoiled(struct cw_rollouts *rollouts, const struct cw_rollout_answer *answer,
			 int64_t now_ms); /* one counted as good turned out slow */
int cw_rollouts_is_filler(const struct cw_rollouts *rollouts,
			  const struct cw_rollout_request *request,
			  int64_t now_ms); /* its session is to fill a server of the target now */
int cw_rollouts_wants_load(const struct cw_rollouts *rollouts, const char *service,
			   int64_t now_ms); /* the target is to be tried on a full server now */
size_t cw_rollouts_judge(struct cw_rollouts *rollouts, int64_t now_ms,
			 struct cw_rollout_verdict *verdicts,
			 size_t max);	  /* decided, and not known to be written */
int64_t cw_rollouts_turn_ms(size_t rank); /* from a verdict until this instance writes it, unless
					   one before it has */
int cw_rollouts_is_starting(const struct cw_rollouts *rollouts,
			    int64_t now_ms); /* peers' sessions are needed at once */
size_t cw_rollouts_tell(struct cw_rollouts *rollouts, int64_t now_ms, struct cw_rollout_news *news,
			size_t max);
int cw_rollouts_hear(struct cw_rollouts *rollouts, uint64_t instance,
		     const struct cw_rollout_news *news, int64_t now_ms); /* 1: its state changed */

#endif
