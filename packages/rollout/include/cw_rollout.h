/*
 * Moving a service's traffic from one version of its servers' software to another: a small constant
 * share of sessions in the first half of the time ordered, then all in steps, with a trial under
 * load at the first of them; or back at the first proof that the version is bad. Sans-I/O: time,
 * answers and peers' news come in; sides, verdicts and news for peers go out.
 */
#ifndef CW_ROLLOUT_H
#define CW_ROLLOUT_H

#include "cw_config.h"

#include <stddef.h>
#include <stdint.h>

#define CW_ROLLOUT_KINDS    12 /* of one service's answers that are told apart: by route and load */
#define CW_ROLLOUT_SESSIONS 96 /* sessions told to peers, about 5 s of a share of a tenth */

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
enum cw_rollout_side {
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
	int is_full;		 /* one of the target's servers has answered under load */
	int is_proved;		 /* the target stood the trial under load */
	uint64_t sent, sent_new; /* requests to the service's servers, and to the target's */
	uint64_t filling;	 /* of all of them, those that take a server's slots for long */
	float trial_share;	 /* of such sessions on the target for the trial; 0: none yet */
	size_t kind_count;
	struct cw_rollout_evidence kinds[CW_ROLLOUT_KINDS];
	size_t session_count;
	struct cw_rollout_session sessions[CW_ROLLOUT_SESSIONS];
};

/* A request that is to be sent. */
struct cw_rollout_request {
	const char *service;
	uint64_t session;
	int is_filling; /* of a route that takes a server's slots for long and little else */
	int is_light;	/* little to read: answered at once also on a full server */
};

/* Which versions a request may be sent to, and what decided it. */
struct cw_rollout_arm {
	enum cw_rollout_side side;
	double share; /* of such requests' sessions that the target gets; 1 without a roll-out */
	double point; /* of this session, 0 to 1: on the target while the share is above */
};

/* What one instance knows of how far a roll-out has come, for the log. */
struct cw_rollout_progress {
	const char *service;
	const char *target;
	int64_t elapsed_ms; /* since the order */
	int is_full;
	int is_proved;
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
const char *cw_rollouts_target(const struct cw_rollouts *rollouts,
			       const char *service); /* NULL: no roll-out */
enum cw_rollout_side cw_rollouts_side(struct cw_rollouts *rollouts,
				      const struct cw_rollout_request *request, int64_t now_ms);
struct cw_rollout_arm cw_rollouts_arm(struct cw_rollouts *rollouts,
				      const struct cw_rollout_request *request, int64_t now_ms);
int cw_rollouts_progressed(struct cw_rollouts *rollouts, int64_t now_ms,
			   struct cw_rollout_progress *progress); /* 1: not told of before */
void cw_rollouts_used(struct cw_rollouts *rollouts, const char *service, uint64_t session,
		      const char *software, int64_t now_ms); /* a request went to this version */
void cw_rollouts_fills(struct cw_rollouts *rollouts, const char *service,
		       unsigned int slots); /* a request came that takes one of so many for long */
void cw_rollouts_asked(struct cw_rollouts *rollouts, const char *service, uint64_t session,
		       int64_t asked_ms,
		       int64_t now_ms); /* a caller that has waited since asked_ms is here */
void cw_rollouts_answered(struct cw_rollouts *rollouts, const struct cw_rollout_answer *answer,
			  int64_t now_ms);
void cw_rollouts_spoiled(struct cw_rollouts *rollouts, const struct cw_rollout_answer *answer,
			 int64_t now_ms); /* one counted as good turned out slow */
double cw_rollouts_share(const struct cw_rollouts *rollouts,
			 const struct cw_rollout_request *request,
			 int64_t now_ms); /* of such requests' sessions that the target gets */
int cw_rollouts_wants_load(const struct cw_rollouts *rollouts, const char *service,
			   int64_t now_ms); /* the target is to be tried on a full server now */
size_t cw_rollouts_judge(struct cw_rollouts *rollouts, int64_t now_ms,
			 struct cw_rollout_verdict *verdicts,
			 size_t max); /* decided, and not known to be written */
int cw_rollouts_is_starting(const struct cw_rollouts *rollouts,
			    int64_t now_ms); /* peers' sessions are needed at once */
size_t cw_rollouts_tell(struct cw_rollouts *rollouts, int64_t now_ms, struct cw_rollout_news *news,
			size_t max);
int cw_rollouts_hear(struct cw_rollouts *rollouts, uint64_t instance,
		     const struct cw_rollout_news *news, int64_t now_ms); /* 1: its state changed */

#endif
