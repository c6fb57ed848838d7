/*
 * Fakes at the node's interfaces, in virtual time from a seed: a log, a list, a rating service,
 * backend servers and the ways between them. They drive the real cw_node of several instances for
 * the fuzzer and the experiments. No network is simulated beyond "arrives, late, twice or never".
 */
#ifndef WORLD_H
#define WORLD_H

#include "cw_node.h"

#include <glib.h>

#define WORLD_NODES_MAX	  400
#define WORLD_SERVERS_MAX 512
#define WORLD_DOMAINS	  8

struct world;

struct world_request { /* the caller's side; lives as long as the world */
	struct cw_node_request in;
	int node;	   /* where it was sent */
	unsigned int boot; /* that node's incarnation */
	int64_t began_ms;
	int64_t first_ms;	 /* virtual time of its first chunk, -1 none */
	int64_t ended_ms;	 /* final answer, -1 none */
	enum cw_effect_kind end; /* RELEASE, REFUSE or REPLAY */
	enum cw_error_code code;
	enum cw_run_state run;
	int64_t retry_after_ms;
	unsigned int dispatched;
	unsigned int ran; /* times a server really ran it */
	unsigned int finals;
	char model[CW_NAME_MAX]; /* of the last dispatch */
	char version[CW_NAME_MAX];
	char session_token[CW_TOKEN_MAX];
	double quality; /* of the answer shown; -1 none */
	double cost;
	unsigned int tokens; /* the true length of its answer */
	unsigned int shown;  /* chunks */
	void *user;
};

enum world_task { TASK_TAG, TASK_ENQUIRY, TASK_REPORT, TASK_CIRCULAR, TASKS };

extern const char *const world_task_names[TASKS];

struct world_profile { /* how one version behaves */
	char model[CW_NAME_MAX];
	char version[CW_NAME_MAX];
	double quality, quality_sigma;
	double task_quality[4]; /* by world_task; 0: as quality says */
	double failure;		/* share of requests that fail */
	double slow;		/* factor on its times */
	double cost_per_1k;
	double first_ms; /* prefill of one request alone */
	double token_ms;
	int64_t bad_from_ms; /* from then on the three below hold; -1 never */
	double bad_quality, bad_failure, bad_slow;
};

struct world_server {
	char name[CW_NAME_MAX];
	char service[CW_NAME_MAX];
	int domain;
	int slots, running, queued;
	int down;
	int64_t fencing;
	int checks_fencing;
	uint64_t cache[64]; /* prompt prefixes held, least recently used last */
	GQueue *queue;	    /* of struct attempt_run */
	GPtrArray *versions;
};

struct world_config {
	int nodes, domains, servers, slots, services;
	uint64_t seed;
	int64_t latency_ms;    /* between instances, and to servers */
	int64_t platform_ms;   /* to the platform */
	int64_t report_lag_ms; /* age of a load report */
	int64_t tick_ms;
	int64_t retention_ms;	    /* of the log; 0 for ever */
	int trace;		    /* print the time line; wants node.events */
	struct cw_node_config node; /* timings and policies; names and servers are filled in */
	/* Told of every final answer, and of each dispatch before it is carried out; may be NULL.
	 */
	void (*on_end)(void *context, struct world *world, struct world_request *request);
	void (*on_dispatch)(void *context, struct world *world, struct world_request *request,
			    int node, const struct cw_effect *effect);
	void (*on_peer)(void *context, struct world *world, int to, const void *data, size_t size);
	void *context;
};

struct world_node {
	struct cw_node *node; /* NULL: crashed */
	unsigned int boot;
	int domain;
	int paused;
	int64_t resumed_ms;
	int stopped;	       /* told so itself */
	int64_t stop_asked_ms; /* -1 never */
	int cut_platform;
	uint64_t messages, bytes; /* sent to peers */
	uint64_t appends, reads, read_bytes;
};

struct world_record {
	int64_t time_ms;
	char *data;
};

struct world *world_create(const struct world_config *config);
void world_destroy(struct world *world);
void world_start(struct world *world, int node); /* a new incarnation, with an empty memory */
void world_crash(struct world *world, int node);
void world_stop(struct world *world, int node);		     /* SIGTERM */
void world_pause(struct world *world, int node, int paused); /* SIGSTOP, SIGCONT */
void world_cut(struct world *world, int domain,
	       int cut); /* a failure domain from all others' instances */
void world_cut_platform(struct world *world, int node, int cut);
void world_outage(struct world *world, int outage);
void world_lose_appends(struct world *world, int count,
			int late); /* kept, not answered; late: kept only after a while */
void world_drop(struct world *world, int per_mille,
		int twice_per_mille);	/* messages between instances */
void world_expire(struct world *world); /* records past the retention */
uint64_t world_append(struct world *world, enum cw_stream stream,
		      const char *data); /* an operator; returns the offset */
void world_profile(struct world *world, const struct world_profile *profile);
void world_load_everywhere(struct world *world, const char *model, const char *version);
struct world_request *world_send(struct world *world, int node, const struct cw_node_request *in,
				 unsigned int tokens);
void world_run(struct world *world, int64_t ms); /* lets virtual time pass */
int64_t world_now(const struct world *world);
struct world_node *world_node(struct world *world, int node);
struct world_server *world_server(struct world *world, int server);
const GPtrArray *
world_log(const struct world *world,
	  enum cw_stream stream); /* of struct world_record; the first ever is at index 0 */
const GPtrArray *world_requests(const struct world *world);
struct cw_node *world_any_node(struct world *world);
double world_random(struct world *world); /* 0 to 1 */

/* A table of the users' shape: rows "organisation,model,version,weight,cost,target,state". */
void world_publish(struct world *world, const char *const *rows);
void world_set(struct world *world, const char *organisation, const char *model,
	       const char *version, const char *column, const char *value);
void world_key(struct world *world, const char *organisation); /* its key is its name */
void world_request_init(struct cw_node_request *in, const char *organisation, const char *target,
			unsigned int flags);

#endif
