/*
 * Deterministic simulation of a cluster, in virtual time and from a seed: the shared store's log,
 * the server list, the rating service, backend servers and the network between them. The simulation
 * drives the real cw_node of several instances, for the fuzzer and the experiments. A message of
 * the network arrives, arrives late, arrives twice or is lost; nothing else is modelled.
 */
#ifndef WORLD_H
#define WORLD_H

#include "cw_node.h"

#include <glib.h>

#define WORLD_NODES_MAX	  400
#define WORLD_SERVERS_MAX 512
#define WORLD_DOMAINS	  8

struct world;

struct world_request { /* a caller's view of its request; lives as long as the world */
	struct cw_node_request in;
	int node;	   /* the instance that received the request */
	unsigned int boot; /* the instance's incarnation at that time */
	int64_t began_ms;
	int64_t first_ms;	 /* virtual time of the first chunk, -1: none */
	int64_t ended_ms;	 /* virtual time of the final answer, -1: none */
	enum cw_effect_kind end; /* RELEASE, REFUSE or REPLAY */
	enum cw_error_code code;
	enum cw_run_state run;
	int64_t retry_after_ms;
	unsigned int dispatched; /* attempts sent to backend servers */
	unsigned int runs; /* times a backend server began to run it; resumed streams not counted */
	unsigned int final_answers; /* final answers that the caller got */
	char model[CW_NAME_MAX];    /* of the last dispatch */
	char version[CW_NAME_MAX];
	char session_token[CW_TOKEN_MAX];
	double quality; /* of the answer that was delivered; -1: none */
	double cost;
	unsigned int tokens;	   /* length of a complete answer */
	unsigned int shown_chunks; /* chunks that the caller has got */
	void *user_data;	   /* for the test's own use */
};

enum world_task { TASK_TAG, TASK_ENQUIRY, TASK_REPORT, TASK_CIRCULAR, TASKS };

extern const char *const world_task_names[TASKS];

struct world_profile { /* behaviour of one version of a model */
	char model[CW_NAME_MAX];
	char version[CW_NAME_MAX];
	double quality, quality_sigma;
	double task_quality[4]; /* indexed by enum world_task; 0: quality holds */
	double failure_rate;	/* share of requests that fail, 0 to 1 */
	double slowdown;	/* factor on first_ms and token_ms */
	double cost_per_1k;
	double first_ms; /* prefill of a prompt of 700 tokens on an idle server */
	double token_ms;
	int64_t degraded_from_ms; /* when the values below replace those above, -1: never */
	double degraded_quality, degraded_failure_rate, degraded_slowdown;
};

struct world_server {
	char name[CW_NAME_MAX];
	char service[CW_NAME_MAX];
	int domain;
	int slots, running, queued;
	int down;
	int64_t rest_ms; /* above 0: rejects each attempt and asks for so much time without */
	int64_t fencing;
	int checks_fencing;
	uint64_t cache[64]; /* hashes of cached prompt prefixes, most recently used first */
	GQueue *queue;	    /* of struct event, the attempts that wait for a slot */
	GPtrArray *versions;
};

struct world_config {
	int nodes, domains, servers, slots, services;
	uint64_t seed;
	int64_t latency_ms;	  /* one way, between instances and to backend servers */
	int64_t store_latency_ms; /* one way, to the shared store */
	int64_t report_lag_ms;	  /* age of a load report when it is read */
	int64_t tick_ms;
	int64_t retention_ms;	    /* of the log's records; 0: unlimited */
	int trace;		    /* print the node's events; needs node.events */
	struct cw_node_config node; /* timings and policies; names and servers are filled in */
	/* Callbacks, any of them may be NULL: after a request's final answer, before an attempt is
	 * sent, and before a peer's message is delivered. */
	void (*on_end)(void *context, struct world *world, struct world_request *request);
	void (*on_dispatch)(void *context, struct world *world, struct world_request *request,
			    int node, const struct cw_effect *effect);
	void (*on_peer)(void *context, struct world *world, int to, const void *data, size_t size);
	void *context;
};

struct world_node {
	struct cw_node *node; /* NULL: not running */
	unsigned int boot;
	int domain;
	int paused;
	int64_t resumed_ms;
	int stopped;		   /* the node has reported that its graceful stop is complete */
	int64_t stop_requested_ms; /* of world_stop, -1: never */
	int is_store_cut;	   /* the shared store is unreachable from here */
	uint64_t messages, bytes;  /* sent to peers */
	uint64_t appends, reads, read_bytes;
	uint64_t log_shortened; /* times that the node noticed a restored log */
};

struct world_record {
	int64_t time_ms;
	char *data;
};

struct world *world_create(const struct world_config *config);
void world_destroy(struct world *world);
void world_start(struct world *world, int node); /* a new incarnation, without earlier state */
void world_crash(struct world *world, int node);
void world_stop(struct world *world, int node);			  /* SIGTERM */
void world_set_paused(struct world *world, int node, int paused); /* SIGSTOP, SIGCONT */
void world_set_domain_partition(struct world *world, int domain,
				int cut); /* between its instances and those of all other domains */
void world_set_store_partition(struct world *world, int node, int cut);
void world_set_outage(struct world *world, int outage);
void world_set_store_latency(struct world *world,
			     int64_t latency_ms); /* one way, of later reads and appends */
void world_lose_append_answers(struct world *world, int count,
			       int is_late); /* stored, at once or late; the answer is lost */
void world_set_message_faults(struct world *world, int drop_per_mille,
			      int duplicate_per_mille); /* of messages between instances */
void world_expire_records(struct world *world);		/* removes records past the retention */
void world_lose_records(struct world *world, enum cw_stream stream,
			size_t count); /* the newest; their offsets are given out again */
uint64_t world_append(struct world *world, enum cw_stream stream,
		      const char *data); /* as an operator does; returns the record's offset */
void world_profile(struct world *world, const struct world_profile *profile);
void world_load_on_all_servers(struct world *world, const char *model, const char *version);
struct world_request *world_send(struct world *world, int node, const struct cw_node_request *in,
				 unsigned int tokens);
void world_advance(struct world *world, int64_t ms); /* advances virtual time, delivers events */
int64_t world_now(const struct world *world);
struct world_node *world_node(struct world *world, int node);
struct world_server *world_server(struct world *world, int server);
const GPtrArray *
world_log(const struct world *world,
	  enum cw_stream stream); /* of struct world_record, expired ones too; index = offset - 1 */
const GPtrArray *world_requests(const struct world *world);
struct cw_node *world_find_running_node(struct world *world);
double world_random(struct world *world); /* uniform, 0 to 1 */

/* Writes rows of the model table: "organisation,model,version,weight,cost,target,state". */
void world_publish(struct world *world, const char *const *rows);
void world_set_cell(struct world *world, const char *organisation, const char *model,
		    const char *version, const char *column, const char *value);
void world_add_key(struct world *world, const char *organisation); /* the key is the name */
void world_request_init(struct cw_node_request *in, const char *organisation, const char *target,
			unsigned int flags);

#endif
