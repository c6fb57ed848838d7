/*
 * The backend servers of all services, with their estimated load and circuit breakers, and the
 * choice of a server for a request. Load reports lag, so each instance corrects a report by the
 * requests that it sent and completed since the report was sampled.
 */
#ifndef CW_POOL_H
#define CW_POOL_H

#include "cw_backlog.h"
#include "cw_brittle.h"
#include "cw_drain.h"
#include "cw_home.h"
#include "cw_homes.h"
#include "cw_pace.h"
#include "cw_policy.h"
#include "cw_prediction.h"
#include "cw_rate_limit.h"
#include "cw_status.h"
#include "cw_warmup.h"

#include <stddef.h>
#include <stdint.h>
#include <sys/queue.h>

#define CW_POOL_HISTORY 64 /* own dispatches and completions remembered per server */

struct cw_load {
	unsigned int running;
	unsigned int queued;
	unsigned int slots;
	double kv_used; /* used part of the KV cache, 0 to 1 */
	unsigned int age_ms;
	const char *const
		*versions; /* "MODEL/VERSION", NULL-terminated; NULL for a service without models */
};

/* The entry that a backend server writes into the server list. */
struct cw_server_entry {
	char name[CW_NAME_MAX];
	int64_t process_start_ms; /* Unix time at which the process started; 0: not reported */
	char service[CW_NAME_MAX];
	char address[CW_ADDRESS_MAX];
	char failure_domain[CW_NAME_MAX];
	char software[CW_NAME_MAX]; /* version of the server's software */
	unsigned int slots;
	int is_leaving;
	int64_t cold_ms; /* remaining warm-up time, counted from when the entry was written */
};

/* The effect of a server list entry on the pool. */
enum cw_listing {
	CW_LISTING_FULL,      /* ignored: the pool has no room for another server */
	CW_LISTING_STALE,     /* ignored: written by an earlier start of the server */
	CW_LISTING_HELD,      /* maybe superseded: see cw_pool_begin_era() */
	CW_LISTING_SAME,      /* no change of state */
	CW_LISTING_CHANGED,   /* the server's leaving, cold or listed state changed */
	CW_LISTING_NEW,	      /* the first entry of the server */
	CW_LISTING_RESTARTED, /* the server restarted: its earlier start is retired */
};

/* How this instance reaches a server. */
enum cw_path {
	CW_PATH_DIRECT,
	CW_PATH_KEPT, /* on connections that are open, else through a peer: new ones are refused */
	CW_PATH_PEER, /* through a peer */
};

struct cw_pool;

/* A change of this instance's own load on a server. */
struct cw_pool_change {
	int64_t ms;
	int change; /* 1 request dispatched, -1 request ended */
};

/* What one start of a server has reported about itself in its answers. */
struct cw_server_reports {
	TAILQ_ENTRY(cw_server_reports) link;
	struct cw_server *server;
	struct cw_rate_limit rate_limit;
	struct cw_brittle brittle;
	int is_leaving;	       /* for the rest of this start */
	int64_t rest_until_ms; /* the server wants no request of this instance until then */
};

TAILQ_HEAD(cw_server_reports_list, cw_server_reports);

/* What is known of the work of a server that this instance or a peer uses. */
struct cw_server_work {
	struct cw_pace pace;
	struct cw_backlog backlog;
	struct cw_prediction prediction; /* of its answers' beginnings */
};

/* One start of a backend server: a restart under the same name is another struct cw_server. */
struct cw_server {
	struct cw_pool *pool;
	const struct cw_policy *policy; /* the policy of the pool */
	TAILQ_ENTRY(cw_server) link;
	TAILQ_ENTRY(cw_server) active_link;
	TAILQ_ENTRY(cw_server) worked_link; /* while work is not NULL */
	int is_active; /* on the pool's list of servers in use, or not reached directly */
	char name[CW_NAME_MAX];
	int64_t process_start_ms; /* Unix time of the process start, as listed */
	int is_superseded;	  /* the server has restarted: requests on this start are lost */
	char service[CW_NAME_MAX];
	char address[CW_ADDRESS_MAX];
	char failure_domain[CW_NAME_MAX];
	char region[CW_NAME_MAX]; /* region of the failure domain; empty: unknown */
	uint64_t id;		  /* hash of name and process_start_ms */
	int checks_fencing;
	int is_configured;
	int is_leaving;	 /* by its entry; see cw_pool_is_leaving() */
	int64_t left_ms; /* since when it is leaving or removed; 0: it is not */
	int is_drained;	 /* the failure domain is drained: no new requests */
	struct cw_warmup warmup;
	struct cw_server_reports *reports; /* NULL: none, as of most servers */
	int is_removed;			   /* no longer listed: freed once its last request ends */
	int64_t removed_ms;	    /* time from which the server counts as removed, 0: listed */
	char software[CW_NAME_MAX]; /* version of the server's software; empty: unknown */
	double track_score;	    /* rendezvous score by which servers are selected */
	int is_tracked;		    /* selected: this instance may send requests to the server */
	int64_t listed_ms;
	int64_t poll_due_ms;

	unsigned int running, queued, slots; /* as in the last load report */
	int64_t sampled_ms;		     /* when the last load report was sampled, -1: none */
	uint64_t *versions;		     /* cw_pool_version_hash() of each loaded version */
	size_t version_count;
	int versions_known;

	unsigned int own_running;
	unsigned int peers_running;	/* requests of other instances, from gossip */
	int64_t peers_ms;		/* when the loads that peers announced were last summed */
	struct cw_pool_change *history; /* ring of CW_POOL_HISTORY; NULL: no request was sent */
	size_t history_next;
	double service_ms; /* smoothed time that one request takes */

	struct cw_server_work *work; /* NULL: no instance is known to use the server */
	double own_work_ms;	    /* predicted work of own prompts whose answers have not begun */
	double work_until_ms;	    /* predicted time at which all of them are processed */
	double peers_work_ms;	    /* the same work of other instances, from gossip */
	double peers_work_peak_ms;  /* its recent maximum; decays */
	int64_t peers_work_peak_at; /* last update of the maximum, ms */
	double failure_rate;	    /* part of recent answers that failed, 0 to 1; decays */
	double slowness;	    /* measured over predicted time, 1: as predicted; decays */
	int64_t evidence_ms;	    /* last update of failure_rate and slowness */

	int64_t crash_ms;	 /* last broken connection that counted as a new crash */
	int64_t last_seen_ms;	 /* last byte received from the server */
	int64_t sent_ms;	 /* newest request sent */
	int64_t probed_ms;	 /* last connection probe begun */
	int64_t probe_gap_ms;	 /* least time between probes; grows while the server is silent */
	int is_unreachable;	 /* the last probe's connection did not open in time */
	int64_t crash_probed_ms; /* last probe that followed a broken request */
	int is_suspect; /* maybe behind the same partition as an unreachable server; probed */
	enum cw_path path;
	unsigned int peers_forwarded; /* requests that this instance forwards for peers now */

	unsigned int consecutive_failures;
	int64_t breaker_open_until_ms; /* the breaker is open until then, 0: closed */
	int64_t backoff_ms;	       /* how long the breaker last opened */
	int is_probing;		       /* half-open breaker: one trial request is running */
	int64_t breaker_closed_ms;     /* the breaker closed and slow start began, -1: never */
	uint64_t round_robin_count;    /* times chosen by round_robin */
};

TAILQ_HEAD(cw_server_list, cw_server);

#define CW_POOL_MAX_WITHDRAWN 4 /* software versions of a service that a choice excludes */

struct cw_choice {
	const char *service;
	uint64_t version; /* cw_pool_version_hash() of model and version; 0: none required */
	uint64_t prefix;  /* hash of the prompt prefix, 0: none */
	const char *failure_domain; /* failure domain of this instance */
	const uint64_t *tried;	    /* ids of servers that earlier attempts of the request used */
	size_t tried_count;
	int allows_unusable;	    /* servers with an open breaker or no connection count too */
	struct cw_warmup_rate cold; /* request rate that a cold server of the service bears */
	const struct cw_home_regions *route_regions; /* NULL: any region */
	const struct cw_home_regions *organisation_regions;
	const char *required_software; /* required software version; NULL: any */
	double server_share;	       /* part of the candidates that may be used, 0 to 1; 0: all */
	const char *excluded_software; /* excluded software version; NULL: none */
	const char *pending_software;  /* excluded too, its roll-out is not known yet; NULL: none */
	const char *withdrawn_software[CW_POOL_MAX_WITHDRAWN]; /* excluded too; NULL: no more */
	double fill_part; /* part of one server's slots to fill first; 0: off */
	int64_t now_ms;
	uint64_t random;
	double prompt_tokens;	 /* size of the prompt; 0 for a service without models */
	double prefix_tokens;	 /* size of the prompt prefix, which other requests share */
	double ms_per_token;	 /* predicted prefill time per token */
	double mean_work_ms;	 /* predicted work of an average queued request */
	double tokens;		 /* that the request will keep in an engine's memory */
	double capacity_tokens;	 /* of an engine of the service; 0: not known */
	size_t bytes;		 /* of the request and its expected answer */
	int64_t reuse_idle_ms;	 /* reuses a connection that has been idle for less than this */
	int *is_affinity_server; /* out, may be NULL: 1 if a home of the prefix was chosen */
};

/* Why a server that may serve a request admits none now. */
enum cw_admission {
	CW_ADMISSION_COLD,	   /* the quota of a cold server is used up */
	CW_ADMISSION_RATE_LIMITED, /* this instance's part of its rate limit is used up */
	CW_ADMISSION_BRITTLE,	   /* it is brittle and may have no room */
	CW_ADMISSION_RESTING,	   /* the server asked this instance for rest */
	CW_ADMISSION_CAUSES,	   /* their number */
};

/* A strategy that chooses among the servers that may serve a request. */
struct cw_choice_policy {
	const char *name;
	struct cw_server *(*choose)(struct cw_server **candidates, size_t count,
				    const struct cw_choice *choice);
};

extern const struct cw_choice_policy
	cw_choice_affinity; /* prefix affinity, then two choices; spills to other domains */
extern const struct cw_choice_policy
	cw_choice_cost; /* least sum of predicted wait, prefill, failures and transfer */
extern const struct cw_choice_policy cw_choice_two;	    /* as affinity, without the prefix */
extern const struct cw_choice_policy cw_choice_round_robin; /* baseline */
extern const struct cw_choice_policy
	cw_choice_least_reported;		       /* baseline: least load as last reported */
extern const struct cw_choice_policy cw_choice_random; /* baseline */
const struct cw_choice_policy *cw_choice_policy_find(const char *name); /* NULL: unknown */

struct cw_pool *cw_pool_create(const struct cw_choice_policy *policy);
void cw_pool_set_place_lookup(struct cw_pool *pool,
			      void (*find)(void *context, uint64_t server,
					   struct cw_warmup_place *place),
			      void *context); /* without a lookup, no other instance is assumed */
void cw_pool_set_connection_lookup(
	struct cw_pool *pool,
	int (*has_idle)(void *context, const char *address, int64_t reuse_idle_ms),
	void *context); /* 1: a request would reuse an idle connection; without one, each would */
void cw_pool_set_instances(struct cw_pool *pool,
			   size_t instances); /* that share the callers; 0: not known */
struct cw_homes *cw_pool_homes(const struct cw_pool *pool);
int cw_pool_find_rank(const struct cw_pool *pool, uint64_t key,
		      size_t *rank); /* of this instance for the key, 0: first; 0: not known yet */
void cw_pool_set_region(struct cw_pool *pool, const char *failure_domain,
			const char *region); /* call before its servers are added */
int cw_pool_drain(struct cw_pool *pool, const struct cw_drain_order *order,
		  int64_t now_ms); /* 1: the domain's drained state changed */
struct cw_drains *cw_pool_drains(struct cw_pool *pool);
void cw_pool_set_policy(struct cw_pool *pool,
			const struct cw_policy *policy); /* call before servers are added */
void cw_pool_destroy(struct cw_pool *pool);		 /* frees its servers */
struct cw_server *cw_pool_add(struct cw_pool *pool, const char *name, const char *service,
			      const char *address, const char *failure_domain,
			      int checks_fencing); /* NULL: the pool is full */
enum cw_listing cw_pool_apply_entry(struct cw_pool *pool, const struct cw_server_entry *entry,
				    int64_t now_ms); /* adds or updates a listed server */
const char *
cw_pool_new_software(const struct cw_pool *pool, const char *service,
		     int64_t now_ms); /* a software version first listed moments ago; NULL: none */
void cw_pool_get_entry(const struct cw_server *server, struct cw_server_entry *entry,
		       int64_t now_ms); /* the entry to forward, with the remaining warm-up time */
void cw_pool_delist(struct cw_pool *pool, struct cw_server *server, int64_t until_ms,
		    int64_t now_ms); /* removed at until_ms unless listed again before */
void cw_pool_delist_unlisted(struct cw_pool *pool, int64_t since_ms, int64_t until_ms,
			     int64_t now_ms); /* delists all servers not listed since since_ms */
void cw_pool_begin_era(
	struct cw_pool *pool, int64_t settled_ms,
	int64_t now_ms); /* the server list was restored from an older copy: until settled_ms, an
			    entry by which a server is ready that left or was removed before now is
			    held, as a later entry may be missing */
int cw_pool_hold_entry(struct cw_pool *pool, const struct cw_server_entry *entry,
		       int64_t now_ms); /* as a peer holds it; 0: the server is known as ready, or
					   the list has settled */
void cw_pool_drop_held(struct cw_pool *pool, const char *name); /* the entry was removed */
int cw_pool_next_settled(struct cw_pool *pool, struct cw_server_entry *entry,
			 int64_t now_ms); /* 1: a held entry that now counts; to be applied */
size_t cw_pool_held_count(const struct cw_pool *pool);
size_t cw_pool_list_held(const struct cw_pool *pool, struct cw_server_entry *entries,
			 size_t max); /* for peers */
void cw_pool_sweep(struct cw_pool *pool,
		   int64_t now_ms); /* frees removed servers without requests */
struct cw_server *cw_pool_find_name(struct cw_pool *pool,
				    const char *name); /* the newest start; NULL: unknown */
struct cw_server *cw_pool_find(struct cw_pool *pool, uint64_t id); /* NULL: unknown */
void cw_pool_remove(struct cw_pool *pool,
		    struct cw_server *server); /* frees a server without running requests */
void cw_pool_select_tracked(
	struct cw_pool *pool, uint64_t instance,
	const char *failure_domain); /* selects the servers that this instance uses */
uint64_t cw_pool_version_hash(const char *model, const char *version); /* hash of the two */
struct cw_server *cw_pool_choose(struct cw_pool *pool,
				 const struct cw_choice *choice); /* NULL: no server may serve */
int64_t cw_pool_wait_for_admission_ms(
	struct cw_pool *pool, const struct cw_choice *choice,
	enum cw_admission *cause); /* until the first of those that admit none now admits a
				      request; -1: all admit one */
int cw_pool_apply_rate_limit(struct cw_server *server, const struct cw_rate_limit_report *report,
			     int64_t now_ms); /* 1: the server's limit changed */
int cw_pool_apply_brittle(struct cw_server *server, const struct cw_brittle_report *report,
			  int64_t now_ms); /* 1: the server became brittle, or is no more */
int cw_pool_is_brittle(const struct cw_server *server);
void cw_pool_record_rejection(struct cw_server *server, const struct cw_load *load,
			      int64_t now_ms); /* for want of room; load NULL: not reported */
int cw_pool_explains_fall(const struct cw_server *server,
			  int64_t now_ms); /* 1: a brittle server that was full may have fallen */
int cw_pool_report_leaving(struct cw_server *server); /* 1: reported for the first time */
void cw_pool_request_rest(struct cw_server *server, double rest_ms,
			  int64_t now_ms); /* capped; a longer one stays in force */
int64_t cw_pool_rest_ms(const struct cw_server *server, int64_t now_ms); /* left; 0: none */
int cw_pool_is_leaving(const struct cw_server *server); /* by its entry or its own report */
int cw_pool_is_rate_limited(const struct cw_server *server);
int cw_pool_serves(const struct cw_server *server,
		   uint64_t version); /* 1: the version is loaded, or the loaded ones are unknown */
void cw_pool_record_dispatch(struct cw_server *server, int64_t now_ms);
void cw_pool_record_end(struct cw_server *server, int64_t now_ms,
			double service_ms); /* service_ms < 0: ended without an answer */
void cw_pool_record_success(struct cw_server *server, int64_t now_ms); /* closes the breaker */
void cw_pool_record_failure(struct cw_server *server, int64_t now_ms,
			    uint64_t random);			  /* may open the breaker */
void cw_pool_mark_seen(struct cw_server *server, int64_t now_ms); /* a byte arrived */
int cw_pool_record_crash(struct cw_server *server,
			 int64_t now_ms); /* 1: counts as a new crash; 0: part of the last one */
void cw_pool_mark_reachable(struct cw_server *server,
			    int64_t now_ms); /* a probe's connection opened, no byte arrived */
void cw_pool_mark_unreachable(struct cw_server *server); /* no connection opened in time */
void cw_pool_mark_forwarded(struct cw_server *server, int is_refusing,
			    int64_t now_ms); /* a peer reached it, and this instance does not;
						is_refusing: new connections are refused */
void cw_pool_begin_forward(struct cw_server *server, int64_t now_ms); /* for a peer */
void cw_pool_end_forward(struct cw_server *server);
size_t cw_pool_mark_suspects(struct cw_pool *pool, const struct cw_server *unreachable,
			     const char *own_domain, struct cw_server **suspects, size_t max,
			     int64_t now_ms); /* marks and returns servers to probe at once */
int cw_pool_needs_probe(const struct cw_server *server, int64_t now_ms);
int cw_pool_expects_silence(const struct cw_server *server, int64_t predicted_ms,
			    int64_t now_ms); /* 1: it works on requests for which a silence of
						predicted_ms is usual, and isn't to be probed yet */
int64_t cw_pool_silent_since_ms(const struct cw_server *server); /* last byte or send */
void cw_pool_record_outcome(struct cw_server *server, int is_failure, double slowness,
			    int64_t now_ms); /* outcome of an attempt; slowness 0: unknown */
void cw_pool_begin_work(struct cw_server *server, double work_ms, double mean_work_ms,
			int64_t now_ms);			 /* a prompt was sent */
void cw_pool_end_work(struct cw_server *server, double work_ms); /* the answer began or failed */
void cw_pool_record_begun(struct cw_server *server,
			  int64_t now_ms); /* an answer began; after cw_pool_end_work() */
void cw_pool_hold_tokens(struct cw_server *server, double tokens);    /* a request was sent */
void cw_pool_release_tokens(struct cw_server *server, double tokens); /* it ended */
int cw_pool_has_memory(const struct cw_server *server,
		       const struct cw_choice *choice); /* 1: the request fits beside the others */
void cw_pool_count_unread(struct cw_pool *pool,
			  int has_notes); /* 1: peers send a note when a long prompt is sent or
					     begun, so work counts until then; 0, as at first: it is
					     worked off by the clock */
void cw_pool_get_share(const struct cw_server *server, struct cw_backlog_share *share,
		       int64_t now_ms); /* what this instance has in progress, for peers */
void cw_pool_get_long_share(const struct cw_server *server, struct cw_backlog_share *share,
			    int64_t now_ms); /* the same with long prompts only */
void cw_pool_set_peers(struct cw_server *server, const struct cw_backlog_share *sum,
		       int64_t now_ms); /* what the peers have in progress */
void cw_pool_set_work_listener(struct cw_pool *pool,
			       void (*changed)(void *context, struct cw_server *server,
					       double work_ms),
			       void *context); /* work_ms of an own prompt was added, or is
						  unread no more: below 0 */
void cw_pool_count_prefix(struct cw_server *server, uint64_t prefix, double work_ms, int is_at_home,
			  int64_t now_ms); /* a prompt with the prefix was sent; 0: no prefix */
double cw_pool_own_work_ms(const struct cw_server *server,
			   int64_t now_ms); /* predicted work left of own prompts */
void cw_pool_record_peers_work(struct cw_server *server,
			       int64_t now_ms); /* after an update of peers_work_ms */
double cw_pool_recent_peers_work_ms(const struct cw_server *server,
				    int64_t now_ms); /* maximum of the last second or so */
double cw_pool_backlog_ms(const struct cw_server *server, double mean_work_ms,
			  int64_t now_ms); /* predicted work queued, of all instances */
struct cw_server_work *cw_pool_work(struct cw_server *server); /* created if there is none */
void cw_pool_record_prediction(struct cw_server *server, double taken_ms, double predicted_ms,
			       int64_t now_ms); /* of an answer's beginning */
const struct cw_prediction *cw_pool_prediction(const struct cw_pool *pool); /* over all servers */
double cw_pool_pace(const struct cw_server *server,
		    int64_t now_ms); /* multiplies the work predicted for the usual server */
double cw_pool_lasting_pace(const struct cw_server *server,
			    int64_t now_ms); /* the same for work that takes seconds */
double cw_pool_reference_pace(const struct cw_server *server,
			      int64_t now_ms); /* see cw_pace_reference */
double cw_pool_reported_pace(const struct cw_server *server, int is_lasting,
			     int64_t now_ms); /* the part of either that the server reports */
double cw_pool_learned_pace(const struct cw_server *server,
			    int64_t now_ms); /* the part that its answers show */
void cw_pool_report_pace(struct cw_server *server, double momentary, int64_t now_ms);
void cw_pool_record_speed(
	struct cw_server *server, double ratio,
	int64_t now_ms); /* time taken over the usual time times the reported pace */
double cw_pool_failure_rate(const struct cw_server *server, int64_t now_ms);
double cw_pool_slowness(const struct cw_server *server, int64_t now_ms);
void cw_pool_record_refusal(struct cw_server *server, int64_t now_ms,
			    uint64_t random); /* connection refused: opens the breaker */
void cw_pool_apply_report(struct cw_server *server, const struct cw_load *load, int64_t now_ms);
double cw_pool_load(const struct cw_server *server,
		    int64_t now_ms); /* estimated requests running and queued */
double cw_pool_wait_ms(const struct cw_server *server,
		       int64_t now_ms); /* predicted wait of another request */
int cw_pool_is_usable(
	const struct cw_server *server,
	int64_t now_ms); /* not leaving, reachable, and the breaker admits a request */
const struct cw_server_list *cw_pool_servers(const struct cw_pool *pool);
const struct cw_server_reports_list *
cw_pool_reports(const struct cw_pool *pool); /* of all servers that have any */
int cw_pool_is_announced(const struct cw_server_reports *reports,
			 int64_t now_ms); /* 1: peers are to know them; a rest is not */
const struct cw_server_list *
cw_pool_worked(const struct cw_pool *pool); /* linked by worked_link: those with cw_pool_work() */
const struct cw_server_list *
cw_pool_active(const struct cw_pool *pool); /* linked by active_link: servers with own requests,
					       unreachable or suspect; few of many thousands */

#endif
