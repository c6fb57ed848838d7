/*
 * One version of the operators' configuration: routes, services, organisations and their keys.
 * It is built once, then only read; requests hold a reference while they last, so a newer version
 * never pulls one from under them.
 */
#ifndef CW_ROUTE_H
#define CW_ROUTE_H

#include "cw_home.h"
#include "cw_status.h"

#include <glib.h>
#include <stddef.h>
#include <stdint.h>

#define CW_ROUTE_SERVICES 8 /* services one route may be divided among */
#define CW_ROUTE_MODELS	  8 /* models one route may choose from */

/* What may be done again with a request of this route. */
enum cw_repeat {
	CW_REPEAT_ANY,	  /* idempotent */
	CW_REPEAT_NEVER,  /* may run once at most */
	CW_REPEAT_STREAM, /* a series of events; may go on elsewhere if the route is resumable */
};

struct cw_share {
	char service[CW_NAME_MAX];
	double weight;
};

struct cw_route {
	char name[CW_NAME_MAX];
	char host[CW_NAME_MAX * 2];
	char prefix[CW_NAME_MAX * 4]; /* begins and ends with a slash */
	enum cw_repeat repeat;
	int64_t limit_ms;     /* longest time a caller is kept waiting */
	int64_t objective_ms; /* an answer (a stream's first event) in this time earns all */
	int64_t pause_ms;     /* longest pause between events that is still on time */
	int priority;	      /* 0 first */
	int max_attempts;     /* backend servers one request may be sent to */
	int is_public;	      /* needs no key */
	int is_resumable;
	struct cw_homes homes;
	size_t share_count;
	struct cw_share shares[CW_ROUTE_SERVICES];
	size_t model_count;			   /* 0: the caller names the model */
	char models[CW_ROUTE_MODELS][CW_NAME_MAX]; /* smallest first */
};

struct cw_model_price {
	char name[CW_NAME_MAX];
	double per_1k; /* of generated tokens; read tokens count a quarter */
};

struct cw_service {
	char name[CW_NAME_MAX];
	char health_path[CW_NAME_MAX];
	unsigned int max_connections; /* to one server, of all callers */
	double cold_per_s; /* requests a second that a cold server bears; 0: any number */
	int is_engine;
	unsigned int slots;  /* requests an engine runs at once */
	double kv_tokens;    /* an engine's memory */
	double event_tokens; /* made tokens in one event of a stream */
	size_t model_count;
	struct cw_model_price models[CW_ROUTE_MODELS];
};

struct cw_organisation {
	char name[CW_NAME_MAX];
	int has_priority;
	int priority;	       /* goes before the route's */
	struct cw_homes homes; /* beside the route's */
};

struct cw_caller_limits {
	int64_t header_bytes;
	int64_t body_bytes;
	int64_t header_ms;
	int64_t idle_ms;
};

struct cw_config;

struct cw_config *cw_config_create(uint64_t version); /* one reference */
struct cw_config *cw_config_ref(struct cw_config *config);
void cw_config_unref(struct cw_config *config);
uint64_t cw_config_version(const struct cw_config *config);
struct cw_route *cw_config_add_route(struct cw_config *config); /* zeroed, to be filled in */
struct cw_service *cw_config_add_service(struct cw_config *config);
struct cw_organisation *cw_config_add_organisation(struct cw_config *config);
void cw_config_add_key(struct cw_config *config, const char *key,
		       const struct cw_organisation *organisation);
void cw_config_require_keys(struct cw_config *config); /* callers must name an organisation */
struct cw_caller_limits *cw_config_limits(struct cw_config *config);
void cw_config_seal(struct cw_config *config); /* all is added: builds what lookups use */

const struct cw_route *cw_config_route(const struct cw_config *config, const char *host,
				       const char *path); /* longest prefix; NULL: none */
const struct cw_service *cw_config_service(const struct cw_config *config, const char *name);
const struct cw_organisation *cw_config_key(const struct cw_config *config, const char *key);
int cw_config_needs_key(const struct cw_config *config);
size_t cw_config_routes(const struct cw_config *config);
size_t cw_config_services(const struct cw_config *config);
const struct cw_service *cw_config_service_at(const struct cw_config *config, size_t index);
const char *cw_route_service(const struct cw_route *route,
			     uint64_t hash); /* by weight; the same hash, the same service */

#endif
