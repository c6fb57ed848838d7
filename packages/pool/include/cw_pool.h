/*
 * Backend servers of every service: what is known of their load, their breakers, and which one a
 * request goes to. Reports lag; a node corrects each with what it sent and got back since the
 * report's own time.
 */
#ifndef CW_POOL_H
#define CW_POOL_H

#include "cw_drain.h"
#include "cw_home.h"
#include "cw_policy.h"
#include "cw_status.h"
#include "cw_warmup.h"

#include <stddef.h>
#include <stdint.h>
#include <sys/queue.h>

#define CW_POOL_HISTORY 64 /* own dispatches and answers remembered per server */

struct cw_load {
	unsigned int running;
	unsigned int queued;
	unsigned int slots;
	double kv_used; /* 0 to 1 */
	unsigned int age_ms;
	const char *const
		*versions; /* "MODEL/VERSION", NULL-terminated; NULL for a plain service */
};

/* A backend server's own entry in a list of them. */
struct cw_server_entry {
	char name[CW_NAME_MAX];
	int64_t born_ms; /* Unix time at which its process started; 0: not told */
	char service[CW_NAME_MAX];
	char address[CW_ADDRESS_MAX];
	char failure_domain[CW_NAME_MAX];
	char software[CW_NAME_MAX]; /* version of what it runs */
	unsigned int slots;
	int leaving;
	int64_t cold_ms; /* how much longer it bears few requests, from when this was written */
};

/* What an entry of the list told the pool. */
enum cw_listing {
	CW_LISTING_FULL,      /* the pool has no room for it */
	CW_LISTING_LATE,      /* written by an earlier start of the server: changes nothing */
	CW_LISTING_SAME,      /* nothing new */
	CW_LISTING_CHANGED,   /* it leaves, or is back */
	CW_LISTING_NEW,	      /* the first word of the server */
	CW_LISTING_RESTARTED, /* the server started again: the earlier start has ended */
};

struct cw_pool;

/* One of this instance's requests came to a server, or ended there. */
struct cw_pool_change {
	int64_t ms;
	int change; /* 1 dispatched, -1 ended */
};

/* One start of a backend server: the same name started again is another one. */
struct cw_server {
	struct cw_pool *pool;
	const struct cw_policy *policy; /* the pool's */
	TAILQ_ENTRY(cw_server) link;
	TAILQ_ENTRY(cw_server) active_link;
	int is_active; /* in the pool's list of those in use or in doubt */
	char name[CW_NAME_MAX];
	int64_t born_ms; /* as in its entry */
	int has_ended;	 /* the same name started again: what ran here is lost */
	char service[CW_NAME_MAX];
	char address[CW_ADDRESS_MAX];
	char failure_domain[CW_NAME_MAX];
	char region[CW_NAME_MAX]; /* of its failure domain; empty: not known */
	uint64_t id;		  /* hash of the name and of born_ms */
	int checks_fencing;
	int configured;
	int leaving;
	int is_drained; /* its failure domain is: nothing new is sent there */
	struct cw_warmup warmup;
	int gone;		    /* no longer listed: forgotten once its last request ended */
	int64_t gone_ms;	    /* when it counts as gone, 0: listed */
	char software[CW_NAME_MAX]; /* version of what it runs; empty: not told */
	double track_score;
	int tracked; /* among those this node sends to */
	int64_t listed_ms;
	int64_t poll_due_ms;

	unsigned int running, queued, slots; /* as last reported */
	int64_t sampled_ms;		     /* when the report was true, -1 never */
	uint64_t *versions;		     /* hashes of the loaded versions */
	size_t version_count;
	int versions_known;

	unsigned int own_running;
	unsigned int peers_running; /* dispatched by other instances, from gossip */
	int64_t peers_ms;
	struct cw_pool_change *history; /* CW_POOL_HISTORY; NULL: nothing was ever sent there */
	size_t history_next;
	double service_ms; /* smoothed time of one request */

	double own_work_ms;   /* of prompts sent there by this node, until their answers began */
	double work_until_ms; /* when the newest of them is predicted to be read */
	double peers_work_ms; /* by other instances, from gossip */
	double failure_rate;  /* of late answers, 0 to 1; forgotten with time */
	double slowness;      /* its time against the time expected, 1 usual; forgotten too */
	int64_t judged_ms;    /* the two above are true then */

	int64_t broke_ms;     /* a request's connection to it broke, the newest that counted */
	int64_t heard_ms;     /* a byte came, or a connection opened */
	int64_t sent_ms;      /* of the newest request */
	int64_t probed_ms;    /* a connection was tried, only to see */
	int64_t probe_gap_ms; /* to the next one; grows while the server stays silent */
	int is_unreachable;   /* it was not opened in time */
	int64_t end_tried_ms; /* a connection was tried since a request broke there */
	int is_doubted;	      /* others behind the same way can't be reached; being probed */

	unsigned int failures; /* in a row */
	int64_t open_until_ms; /* breaker: no request before */
	int64_t backoff_ms;
	int probing;	     /* half open: one request is out */
	int64_t restored_ms; /* slow start counts from here, -1 none */
	uint64_t turn;	     /* round robin */
};

TAILQ_HEAD(cw_server_list, cw_server);

struct cw_choice {
	const char *service;
	uint64_t version;	    /* cw_pool_version of "MODEL/VERSION"; 0 for a plain service */
	uint64_t prefix;	    /* hash of the prompt's start, 0 none */
	const char *failure_domain; /* the asking instance's */
	const uint64_t *tried;	    /* servers this request is not sent to again */
	size_t tried_count;
	int is_desperate;		    /* servers whose breaker is open are better than none */
	struct cw_warmup_rate cold;	    /* what a cold server of the service bears */
	const struct cw_homes *route_homes; /* NULL: any region */
	const struct cw_homes *organisation_homes;
	const char *only_software; /* NULL: any version of what servers run */
	double spread;		   /* of the candidates that may be used, 0 to 1; 0: all */
	const char *not_software;  /* NULL: none is left out */
	const char *not_yet;	   /* one more; NULL: none */
	double fill_part;	   /* of one server's slots, before the next gets any; 0: no */
	int64_t now_ms;
	uint64_t random;
	double read_tokens;   /* of the prompt; 0 for a plain service */
	double shared_tokens; /* of them in parts that other requests begin with too */
	double ms_per_token;  /* that a server takes to read */
	double usual_work_ms; /* of a request that waits there, not known which */
	size_t bytes;	      /* sent and expected back */
	int *is_home; /* out, may be NULL: the prompt's shared parts were read there before */
};

/* How a server is chosen among those that may serve. */
struct cw_choice_policy {
	const char *name;
	struct cw_server *(*choose)(struct cw_server **candidates, size_t count,
				    const struct cw_choice *choice);
};

extern const struct cw_choice_policy
	cw_choice_affinity; /* prefix affinity, two choices, spill between domains */
extern const struct cw_choice_policy
	cw_choice_cost; /* least predicted wait, work, prompt read again and way */
extern const struct cw_choice_policy cw_choice_two;	    /* the same without prefix affinity */
extern const struct cw_choice_policy cw_choice_round_robin; /* baseline */
extern const struct cw_choice_policy
	cw_choice_least_reported;		       /* baseline: the smallest lagged report */
extern const struct cw_choice_policy cw_choice_random; /* baseline */
const struct cw_choice_policy *cw_choice_policy_find(const char *name); /* NULL: unknown */

struct cw_pool *cw_pool_create(const struct cw_choice_policy *policy);
void cw_pool_set_places(struct cw_pool *pool,
			void (*find)(void *context, uint64_t server, struct cw_warmup_place *place),
			void *context); /* without it, this instance is the only one */
int cw_pool_owns(const struct cw_pool *pool,
		 uint64_t key); /* 1: this instance is the first by rendezvous, as far as known */
void cw_pool_set_region(struct cw_pool *pool, const char *failure_domain,
			const char *region); /* before its servers are known */
int cw_pool_drain(struct cw_pool *pool, const struct cw_drain_order *order,
		  int64_t now_ms); /* 1: it changes what is in force */
struct cw_drains *cw_pool_drains(struct cw_pool *pool);
void cw_pool_set_policy(struct cw_pool *pool,
			const struct cw_policy *policy); /* before servers are known */
void cw_pool_destroy(struct cw_pool *pool);		 /* frees its servers */
struct cw_server *cw_pool_learn(struct cw_pool *pool, const char *name, const char *service,
				const char *address, const char *failure_domain,
				int checks_fencing); /* NULL: full */
enum cw_listing cw_pool_list(struct cw_pool *pool, const struct cw_server_entry *entry,
			     int64_t now_ms); /* learns it or its new state */
const char *cw_pool_newcomer(const struct cw_pool *pool, const char *service,
			     int64_t now_ms); /* a version first seen just now; NULL: none */
void cw_pool_entry(const struct cw_server *server, struct cw_server_entry *entry,
		   int64_t now_ms); /* as it was listed, and cold for as long as it still is */
void cw_pool_delist(struct cw_pool *pool, struct cw_server *server, int64_t until_ms,
		    int64_t now_ms); /* gone at until_ms, unless it is listed again before */
void cw_pool_keep_listed(struct cw_pool *pool, int64_t since_ms, int64_t until_ms,
			 int64_t now_ms); /* delists whatever was not listed since */
void cw_pool_sweep(struct cw_pool *pool, int64_t now_ms); /* forgets what is gone */
struct cw_server *cw_pool_find_name(struct cw_pool *pool,
				    const char *name); /* its newest start; NULL: unknown */
struct cw_server *cw_pool_find(struct cw_pool *pool, uint64_t id); /* NULL: unknown */
void cw_pool_forget(struct cw_pool *pool,
		    struct cw_server *server); /* only without requests of its own */
void cw_pool_track(struct cw_pool *pool, uint64_t owner,
		   const char *failure_domain); /* chooses anew which are tracked */
uint64_t cw_pool_version(const char *model, const char *version);
struct cw_server *cw_pool_choose(struct cw_pool *pool,
				 const struct cw_choice *choice); /* NULL: none may serve */
int64_t
cw_pool_cold_wait_ms(struct cw_pool *pool,
		     const struct cw_choice *choice); /* until a cold one may; -1: none is */
int cw_pool_serves(const struct cw_server *server,
		   uint64_t version); /* loaded there, or not known */
void cw_pool_dispatched(struct cw_server *server, int64_t now_ms);
void cw_pool_ended(struct cw_server *server, int64_t now_ms,
		   double service_ms); /* service_ms < 0: no answer */
void cw_pool_succeeded(struct cw_server *server, int64_t now_ms);
void cw_pool_failed(struct cw_server *server, int64_t now_ms,
		    uint64_t random); /* may open the breaker */
void cw_pool_heard(struct cw_server *server, int64_t now_ms);
int cw_pool_broke(struct cw_server *server,
		  int64_t now_ms); /* 0: with others of the same moment, so no evidence more */
void cw_pool_reached(struct cw_server *server,
		     int64_t now_ms);		/* a connection opened, nothing was heard */
void cw_pool_unheard(struct cw_server *server); /* no connection can be opened */
size_t cw_pool_doubt(struct cw_pool *pool, const struct cw_server *unreachable,
		     const char *own_domain, struct cw_server **doubted, size_t max,
		     int64_t now_ms); /* who may be cut off with it: to be probed at once */
int cw_pool_wants_probe(const struct cw_server *server, int64_t now_ms);
void cw_pool_judged(struct cw_server *server, int is_failure, double slowness,
		    int64_t now_ms); /* an answer's evidence; slowness 0: not known */
void cw_pool_work_begin(struct cw_server *server, double work_ms, double usual_work_ms,
			int64_t now_ms);			 /* a prompt was sent there */
void cw_pool_work_end(struct cw_server *server, double work_ms); /* its answer began, or failed */
double cw_pool_own_work_ms(const struct cw_server *server,
			   int64_t now_ms); /* of own prompts, still to be read */
double cw_pool_backlog_ms(const struct cw_server *server, double usual_work_ms,
			  int64_t now_ms); /* prompts that wait to be read there */
double cw_pool_failure_rate(const struct cw_server *server, int64_t now_ms);
double cw_pool_slowness(const struct cw_server *server, int64_t now_ms);
void cw_pool_refused(struct cw_server *server, int64_t now_ms,
		     uint64_t random); /* took no connection: opens the breaker */
void cw_pool_reported(struct cw_server *server, const struct cw_load *load, int64_t now_ms);
double cw_pool_load(const struct cw_server *server,
		    int64_t now_ms); /* requests there now, estimated */
double cw_pool_wait_ms(const struct cw_server *server,
		       int64_t now_ms); /* predicted wait of one more request */
int cw_pool_is_usable(const struct cw_server *server,
		      int64_t now_ms); /* not leaving, breaker lets one through */
const struct cw_server_list *cw_pool_servers(const struct cw_pool *pool);
const struct cw_server_list *
cw_pool_active(const struct cw_pool *pool); /* by active_link: all with requests of this instance,
					       or that may not be reached; few of many thousands */

#endif
