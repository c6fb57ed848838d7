/*
 * One version of the operators' configuration: routes, services, organisations and their keys. A
 * configuration is built once and immutable afterwards. Each request holds a reference until its
 * end, so a newer version never invalidates the one in use.
 */
#ifndef CW_ROUTE_H
#define CW_ROUTE_H

#include "cw_home.h"
#include "cw_status.h"

#include <glib.h>
#include <stddef.h>
#include <stdint.h>

#define CW_ROUTE_SERVICES 8 /* services that one route may be split among */
#define CW_ROUTE_MODELS	  8 /* models one route may choose from */

/* Retry policy of a route's requests. */
enum cw_retry_policy {
	CW_RETRY_ANY,	 /* idempotent: may be retried */
	CW_RETRY_NEVER,	 /* runs at most once */
	CW_RETRY_STREAM, /* event stream; resumed on another server if the route is resumable */
};

/* Part of a route's requests that one service receives. */
struct cw_service_weight {
	char service[CW_NAME_MAX];
	double weight;
};

struct cw_route {
	char name[CW_NAME_MAX];
	char host[CW_NAME_MAX * 2];
	char prefix[CW_NAME_MAX * 4]; /* begins and ends with a slash */
	enum cw_retry_policy retry_policy;
	int64_t limit_ms;     /* timeout of a request */
	int64_t objective_ms; /* target latency of the answer, or of a stream's first event */
	int64_t pause_ms;     /* target for the longest gap between two events */
	int priority;	      /* 0 is the highest */
	int max_attempts;     /* backend servers one request may be sent to */
	int is_public;	      /* no key required */
	int is_resumable;
	struct cw_home_regions home_regions; /* regions that may serve the route; empty: any */
	size_t share_count;
	struct cw_service_weight shares[CW_ROUTE_SERVICES];
	size_t model_count;			   /* 0: the caller names the model */
	char models[CW_ROUTE_MODELS][CW_NAME_MAX]; /* smallest first */
};

struct cw_model_price {
	char name[CW_NAME_MAX];
	double price_per_1k_tokens; /* per 1,000 generated tokens; a prompt token costs a quarter */
};

struct cw_service {
	char name[CW_NAME_MAX];
	char health_path[CW_NAME_MAX];
	unsigned int max_connections; /* to one server, over all callers */
	double cold_per_s;	 /* requests per second that a cold server accepts; 0: no limit */
	int is_engine;		 /* the servers are inference engines */
	unsigned int slots;	 /* requests that an engine runs concurrently */
	double kv_cache_tokens;	 /* capacity of an engine's KV cache */
	double tokens_per_event; /* generated tokens per event of a stream */
	int most_urgent; /* least priority number of the routes that choose among models on it */
	size_t model_count;
	struct cw_model_price models[CW_ROUTE_MODELS];
};

struct cw_organisation {
	char name[CW_NAME_MAX];
	int has_priority;
	int priority;			     /* overrides the route's priority */
	struct cw_home_regions home_regions; /* restrict the route's further; empty: any */
};

/* Limits on callers' connections and requests. */
struct cw_caller_limits {
	int64_t header_bytes;
	int64_t body_bytes;
	int64_t header_ms;
	int64_t idle_ms;
};

struct cw_config;

struct cw_config *cw_config_create(uint64_t version); /* with one reference */
struct cw_config *cw_config_ref(struct cw_config *config);
void cw_config_unref(struct cw_config *config);
uint64_t cw_config_version(const struct cw_config *config);
struct cw_route *cw_config_add_route(struct cw_config *config); /* zeroed */
struct cw_service *cw_config_add_service(struct cw_config *config);
struct cw_organisation *cw_config_add_organisation(struct cw_config *config);
void cw_config_add_key(struct cw_config *config, const char *key,
		       const struct cw_organisation *organisation);
void cw_config_require_keys(struct cw_config *config); /* for each request */
struct cw_caller_limits *cw_config_limits(struct cw_config *config);
void cw_config_build_index(struct cw_config *config); /* after the last addition */

const struct cw_route *cw_config_find_route(const struct cw_config *config, const char *host,
					    const char *path); /* longest prefix; NULL: none */
void cw_config_rank_routes(struct cw_config *config); /* sets most_urgent of all services; by
							 cw_config_build_index, too */
const struct cw_service *cw_config_find_service(const struct cw_config *config, const char *name);
const struct cw_organisation *cw_config_find_organisation(const struct cw_config *config,
							  const char *key);
int cw_config_requires_key(const struct cw_config *config);
size_t cw_config_route_count(const struct cw_config *config);
size_t cw_config_service_count(const struct cw_config *config);
const struct cw_service *cw_config_service_at(const struct cw_config *config, size_t index);
const char *cw_route_choose_service(const struct cw_route *route,
				    uint64_t hash); /* weighted and deterministic by hash */

#endif
