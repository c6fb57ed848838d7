#ifndef ROLLOUT_INTERNAL_H
#define ROLLOUT_INTERNAL_H

#include "cw_rollout.h"

#include <glib.h>
#include <sys/queue.h>

#define ROLLOUT_RECENT		1024 /* starts and ends of runs: 5 s at 100 requests/s */
#define ROLLOUT_FIRST_SHARE	0.08 /* of sessions: a third of what a bad version may receive */
#define ROLLOUT_FIRST_END	0.52 /* of the duration: no session moves in the first half */
#define ROLLOUT_SESSION_SYNC_MS 1200 /* peers' sessions are received before the first one moves */

/*
 * A request that was sent to a server. Requests to the target are kept as well, as the target is
 * the old version of the next roll-out.
 */
struct rollout_recent {
	uint64_t service;
	uint64_t session;
	uint64_t software;
	int64_t at_ms;
};

/* Last state received from a peer instance. */
struct rollout_peer {
	uint64_t instance;
	int64_t last_seen_ms;
	uint64_t sent, sent_target;
	uint32_t counted_ms;
	size_t route_count;
	struct cw_rollout_route routes[CW_ROLLOUT_MAX_ROUTES];
	size_t kind_count;
	struct cw_rollout_evidence kinds[CW_ROLLOUT_MAX_KINDS];
};

/* One route's answers at all instances within one second. */
struct rollout_second {
	double old_answers, old_failed;
	double new_answers, new_failed;
};

/* Sequential comparison of the versions' failures on one route, second by second. */
struct rollout_comparison {
	uint64_t route;
	struct rollout_second current;	/* since the last second was closed */
	struct rollout_second previous; /* the second before */
	double old_answers, old_failed; /* since the order */
	double failed;			/* of the target, since the ratio was last zero */
	double llr;			/* accumulated log likelihood ratio */
};

/* Answers of the target and their log likelihood ratio, above 0 where they indicate a bad target.
 */
struct rollout_sum {
	double answers;
	double bad;
	double llr;
};

/* Newest answers of one server, to tell its queue from a slow version. */
struct rollout_server {
	uint64_t server; /* cw_server.id */
	int is_used;
	int64_t in_time_ms; /* last answer that was not slow, -1: none */
	int64_t counted_ms; /* last slow answer that counted, -1: none */
};

#define ROLLOUT_SERVERS 128 /* kept per version; of two that share a slot the newer one stays */

struct rollout {
	TAILQ_ENTRY(rollout) link;
	char service[CW_NAME_MAX];
	char target[CW_NAME_MAX];
	uint64_t service_hash;
	uint64_t target_hash;
	struct cw_position position; /* of the order's record in the shared store */
	struct cw_position earlier;  /* of the same order in the era before; else zero */
	int64_t started_ms;
	int64_t learned_ms; /* when this process learned of the order */
	int64_t duration_ms;
	enum cw_rollout_state state;
	int is_written; /* the state is published in the shared store, in its present era */
	int is_ordered; /* 0: only the published status is known */
	size_t kind_count;
	struct cw_rollout_evidence kinds[CW_ROLLOUT_MAX_KINDS];
	struct rollout_server servers[2][ROLLOUT_SERVERS]; /* of the old version, of the target */
	int has_loaded_answer; /* here or at a peer: a server of the target answered under load */
	int has_passed_trial;  /* here or at a peer: the target passed the trial under load */
	int64_t effective_ms[CW_ROLLOUT_STEP_COUNT]; /* start of each step, since the order */
	unsigned int logged_steps;		     /* bit i: step i was logged */
	const char *reason;			     /* why the state was chosen, for the log */
	struct rollout_sum all;	   /* all instances and kinds, at the last evaluation */
	struct rollout_sum loaded; /* the part from servers more than half full */
	struct rollout_sum gaps;   /* streams, and those that were not quick */
	uint64_t sent;		   /* requests of this instance to all servers */
	uint64_t sent_target;	   /* requests of this instance to the target */
	double sent_per_ms;	   /* recent rate of all instances */
	double rate_sent;	   /* requests of all instances at the last rate update */
	int64_t rate_updated_ms;   /* time of the last rate update */
	size_t route_count;
	struct cw_rollout_route routes[CW_ROLLOUT_MAX_ROUTES]; /* this instance's requests */
	size_t comparison_count;
	struct rollout_comparison comparisons[CW_ROLLOUT_MAX_ROUTES];
	int64_t compared_ms;	  /* when the last second was closed */
	unsigned int slots;	  /* per server; 0: unknown */
	double trial_share;	  /* of long-running sessions; 0: no plan */
	int64_t decayed_ms;	  /* time to which the kinds' counts are decayed */
	GHashTable *peers;	  /* instance -> struct rollout_peer */
	GHashTable *old_sessions; /* on the old version as peers announced: hash -> time */
	/* Targets of earlier orders that were rolled back, the newest last. */
	size_t withdrawn_count;
	char withdrawn[CW_ROLLOUT_MAX_WITHDRAWN][CW_NAME_MAX];
};

struct cw_rollouts {
	TAILQ_HEAD(, rollout) list;
	struct cw_rollout_options options;
	int64_t settled_ms; /* until then, orders of the store's present era may be superseded */
	struct rollout_recent recent[ROLLOUT_RECENT];
	size_t next_recent;
};

struct rollout *rollout_find(const struct cw_rollouts *rollouts,
			     const char *service); /* NULL: none */
double rollout_elapsed_fraction(const struct rollout *rollout,
				int64_t now_ms); /* of the duration */

/* plan.c: agreement on the sessions that are on the target */
double rollout_share(const struct rollout *rollout, uint64_t route, int64_t now_ms);
int64_t
rollout_full_share_ms(const struct rollout *rollout); /* when all sessions move, since the order */
void rollout_reset_plan(struct rollout *rollout);
void rollout_update_plan(struct rollout *rollout, int64_t now_ms); /* periodic */
void rollout_announce_plan(const struct rollout *rollout, int64_t now_ms,
			   struct cw_rollout_announcement *out);
void rollout_merge_plan(struct rollout *rollout, const struct cw_rollout_announcement *update,
			int64_t now_ms);
const struct cw_rollout_route *rollout_lookup_route(const struct cw_rollout_route *routes,
						    size_t count,
						    uint64_t route); /* NULL: unknown */
struct cw_rollout_route *rollout_find_or_add_route(struct cw_rollout_route *routes, size_t *count,
						   uint64_t route); /* NULL: table full */

/* evidence.c: test whether the target is worse than the old version */
void rollout_decay_evidence(struct rollout *rollout,
			    int64_t now_ms); /* of this instance's answers */
void rollout_merge_evidence(struct rollout *rollout, uint64_t instance,
			    const struct cw_rollout_announcement *update, int64_t now_ms);
int rollout_is_target_bad(struct rollout *rollout, int64_t now_ms); /* may set has_passed_trial */
void rollout_count_dispatch(struct rollout *rollout, int is_new);   /* a request was sent */
void rollout_update_rate(struct rollout *rollout, int64_t now_ms);  /* periodic */
int rollout_is_exposure_spent(
	const struct cw_rollouts *rollouts, const struct rollout *rollout,
	int64_t now_ms); /* the target received as much as a bad version may */
double rollout_log_likelihood_ratio(double answers, double bad_answers,
				    double old_rate); /* above 0: the target is rather bad */
int rollout_has_recent_peers(const struct rollout *rollout,
			     int64_t now_ms); /* 0: more than half of the peers are silent */

struct cw_rollout_evidence *
rollout_find_kind(struct cw_rollout_evidence *kinds, size_t *count, uint64_t route,
		  int is_loaded); /* adds it; when the table is full, the last entry */

void rollout_count_answer(const struct rollout *rollout, struct cw_rollout_evidence *kind,
			  const struct cw_rollout_answer *answer, int is_bad);

/* gaps.c: whether the target's streams go on slowly */
int rollout_is_gap_evidence(const struct cw_rollout_evidence *kind); /* 0: of one route's answers */
struct rollout_sum rollout_sum_gaps(const struct cw_rollout_evidence *kinds,
				    size_t count); /* pooled; llr above 0: rather slow */
int rollout_are_gaps_slow(const struct rollout *rollout);

/* withdrawn.c: versions that earlier roll-outs rolled back */
void rollout_withdraw(struct rollout *rollout, const char *software);
void rollout_restore(struct rollout *rollout, const char *software); /* it is ordered again */
int rollout_is_withdrawn(const struct rollout *rollout, const char *software);

/* match.c: per-second comparison of the versions' failures on each route */
void rollout_compare_answer(struct rollout *rollout, const struct cw_rollout_answer *answer);
void rollout_compare_peer(struct rollout *rollout, const struct rollout_peer *known,
			  const struct cw_rollout_announcement *update);
int rollout_comparison_is_bad(struct rollout *rollout, int64_t now_ms);

/* sessions.c: sessions that recently ran on the old version */
int rollout_was_on_old_version(const struct cw_rollouts *rollouts, const struct rollout *rollout,
			       uint64_t session, int64_t now_ms);
void rollout_announce_sessions(const struct cw_rollouts *rollouts, const struct rollout *rollout,
			       int64_t now_ms, struct cw_rollout_announcement *out);
void rollout_merge_sessions(const struct cw_rollouts *rollouts, struct rollout *rollout,
			    const struct cw_rollout_announcement *update, int64_t now_ms);

#endif
