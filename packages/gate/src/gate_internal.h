#ifndef GATE_INTERNAL_H
#define GATE_INTERNAL_H

#include "cw_gate.h"
#include "cw_hash.h"
#include "cw_repeats.h"

#include <glib.h>

struct cw_gate {
	struct cw_gate_options options;
	char failure_domain[CW_NAME_MAX];
	struct cw_config *config;
	struct cw_pool *pool;
	struct cw_rollouts *rollouts;
	GHashTable *repeats; /* service -> struct cw_repeats */
	uint64_t random;
};

struct cw_call {
	struct cw_gate *gate;
	struct cw_config *config;
	struct cw_facts facts;
	const struct cw_route *route;
	const struct cw_organisation *organisation; /* NULL: public route */
	const struct cw_service *service;
	const char *service_name;
	int64_t opened_ms;
	int64_t limit_ms;	  /* when a final answer is due */
	int64_t sent_ms;	  /* the attempt's */
	struct cw_server *server; /* of the attempt in progress */
	uint64_t tried[CW_MAX_ATTEMPTS];
	size_t tried_count;
	unsigned int attempts; /* sends that reached a server */
	unsigned int unsent;   /* connections that failed */
	int may_have_run;
	int is_shown;
	int64_t last_event;
	size_t model; /* index among the route's, when it has any */
};

uint64_t gate_random(struct cw_gate *gate);
struct cw_repeats *gate_repeats(struct cw_gate *gate, const char *service);

#endif
