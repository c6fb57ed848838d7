#ifndef ROLLOUT_INTERNAL_H
#define ROLLOUT_INTERNAL_H

#include "cw_rollout.h"

#include <glib.h>
#include <sys/queue.h>

#define ROLLOUT_RECENT	    512	 /* requests remembered: 5 s of an instance at 100 a second */
#define ROLLOUT_FIRST_SHARE 0.08 /* of sessions: a third of what a bad version may get */
#define ROLLOUT_FIRST_UNTIL 0.52 /* of the time ordered: no session moves in the first half */
#define ROLLOUT_START_MS    1200 /* peers' sessions are heard before the first is on the target */

/* A request that went to a server. Of any version: this roll-out's target is the next one's old. */
struct rollout_recent {
	uint64_t service;
	uint64_t session;
	uint64_t software;
	int64_t at_ms;
};

struct rollout_peer {
	uint64_t instance;
	int64_t heard_ms;
	uint64_t sent, sent_new;
	uint32_t counted_ms;
	size_t route_count;
	struct cw_rollout_route routes[CW_ROLLOUT_ROUTES];
	size_t kind_count;
	struct cw_rollout_evidence kinds[CW_ROLLOUT_KINDS];
};

/* One route's answers within a second, of all instances. */
struct rollout_second {
	double old_answers, old_failed;
	double new_answers, new_failed;
};

/* The target's failures on one route, held against the other version's in the same seconds. */
struct rollout_match {
	uint64_t route;
	struct rollout_second now;	/* what came since the last second ended */
	struct rollout_second before;	/* the second before it */
	double old_answers, old_failed; /* since the order */
	double failed;			/* of the target, since the doubt was last zero */
	double doubt;
};

/* Answers of the target; the doubt is above zero where they speak against it. */
struct rollout_sum {
	double answers;
	double bad;
	double doubt;
};

struct rollout {
	TAILQ_ENTRY(rollout) link;
	char service[CW_NAME_MAX];
	char target[CW_NAME_MAX];
	uint64_t service_hash;
	uint64_t target_hash;
	uint64_t offset; /* of the order */
	int64_t begun_ms;
	int64_t known_ms; /* to this instance, since it last started */
	int64_t duration_ms;
	enum cw_rollout_state state;
	int is_written;
	int is_ordered; /* 0: only what was written of it is known */
	size_t kind_count;
	struct cw_rollout_evidence kinds[CW_ROLLOUT_KINDS];
	int is_full;   /* seen here or heard: a target's server answered under load */
	int is_proved; /* the same: the target stood the trial under load */
	int64_t from_ms[CW_ROLLOUT_STEPS]; /* in force, ms since the order; CW_ROLLOUT_NEVER */
	unsigned int told_steps;	   /* bit i: step i was logged */
	const char *reason;		   /* of the state, for the log */
	struct rollout_sum all;		   /* of all instances and kinds, at the last look */
	struct rollout_sum loaded;	   /* those of them from servers more than half full */
	uint64_t sent;			   /* by this instance, to any of the service's servers */
	uint64_t sent_new;		   /* to the target's */
	double sent_a_ms;		   /* by all, lately */
	double rated_sent;		   /* by all, at the last look, */
	int64_t rated_ms;		   /* which was then */
	size_t route_count;
	struct cw_rollout_route routes[CW_ROLLOUT_ROUTES]; /* this instance's requests */
	size_t match_count;
	struct rollout_match matches[CW_ROLLOUT_ROUTES];
	int64_t matched_ms; /* the last second ended then */
	unsigned int slots; /* of a server; 0: not known */
	double trial_share; /* of filling sessions; grows only; 0: not planned yet */
	int64_t counted_ms; /* the kinds' figures are true then */
	GHashTable *peers;  /* instance -> struct rollout_peer */
	GHashTable *old;    /* sessions that peers saw on the old version: hash -> time */
};

struct cw_rollouts {
	TAILQ_HEAD(, rollout) list;
	struct cw_rollout_options options;
	struct rollout_recent recent[ROLLOUT_RECENT];
	size_t next_recent;
};

struct rollout *rollout_find(const struct cw_rollouts *rollouts,
			     const char *service);		    /* NULL: none */
double rollout_part(const struct rollout *rollout, int64_t now_ms); /* of the time ordered */

/* plan.c: which sessions are on the target, as all instances agreed */
double rollout_share(const struct rollout *rollout, uint64_t route, int64_t now_ms);
int64_t rollout_all_from_ms(const struct rollout *rollout); /* since the order; or NEVER */
void rollout_forget_plan(struct rollout *rollout);
void rollout_follow_plan(struct rollout *rollout, int64_t now_ms); /* several times a second */
void rollout_tell_plan(const struct rollout *rollout, int64_t now_ms, struct cw_rollout_news *out);
void rollout_hear_plan(struct rollout *rollout, const struct cw_rollout_news *news, int64_t now_ms);
const struct cw_rollout_route *rollout_known_route(const struct cw_rollout_route *routes,
						   size_t count,
						   uint64_t route); /* NULL: it is not there */
struct cw_rollout_route *rollout_find_route(struct cw_rollout_route *routes, size_t *count,
					    uint64_t route); /* adds it; NULL: no room */

/* evidence.c: is the target worse than the version before it? */
void rollout_fade(struct rollout *rollout, int64_t now_ms); /* the own answers, to this time */
void rollout_hear_evidence(struct rollout *rollout, uint64_t instance,
			   const struct cw_rollout_news *news, int64_t now_ms);
int rollout_is_bad(struct rollout *rollout, int64_t now_ms);	   /* also sets is_proved */
void rollout_count(struct rollout *rollout, int is_new);	   /* a request that was sent */
void rollout_follow_rate(struct rollout *rollout, int64_t now_ms); /* several times a second */
int rollout_is_spent(const struct cw_rollouts *rollouts, const struct rollout *rollout,
		     int64_t now_ms); /* the target got what a bad version may get */
double rollout_doubt(double answers, double bad_answers,
		     double old_rate); /* of answers of the target; above 0: against it */
int rollout_hears_peers(const struct rollout *rollout,
			int64_t now_ms); /* 0: most evidence may be missing here */

/* match.c: does a route fail on the target only, second by second? */
void rollout_match_answer(struct rollout *rollout, const struct cw_rollout_answer *answer);
void rollout_match_peer(struct rollout *rollout, const struct rollout_peer *known,
			const struct cw_rollout_news *news);
int rollout_match_is_bad(struct rollout *rollout, int64_t now_ms);

/* sessions.c: which sessions ran on the old version a moment ago? */
int rollout_was_on_old(const struct cw_rollouts *rollouts, const struct rollout *rollout,
		       uint64_t session, int64_t now_ms);
void rollout_tell_sessions(const struct cw_rollouts *rollouts, const struct rollout *rollout,
			   int64_t now_ms, struct cw_rollout_news *out);
void rollout_hear_sessions(struct rollout *rollout, const struct cw_rollout_news *news,
			   int64_t now_ms);

#endif
