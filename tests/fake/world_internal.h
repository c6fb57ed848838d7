#ifndef WORLD_INTERNAL_H
#define WORLD_INTERNAL_H

#include "world.h"

enum event_kind {
	EVENT_TICK,
	EVENT_PEER,
	EVENT_READ,
	EVENT_APPENDED,
	EVENT_LATE_APPEND, /* an append is stored after its caller got a failure */
	EVENT_RATED,
	EVENT_ORDERED,
	EVENT_ARRIVE, /* an attempt reaches its backend server */
	EVENT_RUN,    /* a backend server has finished running an attempt */
	EVENT_ATTEMPT_END,
	EVENT_LOAD,
};

struct event {
	enum event_kind kind;
	int64_t at_ms;
	uint64_t order; /* of creation, between events of the same time */
	int node;	/* the addressed instance, -1: none */
	unsigned int boot;
	struct cw_effect *effect;
	uint8_t *data;
	size_t size;
	int is_wait_over; /* a read that may no longer wait for records */
	uint64_t ticket;
	enum cw_status status;
	uint64_t offset;
	uint64_t task, common, version;
	double score;
	int server;
	struct cw_attempt_end end;
	struct cw_load load;
};

struct world {
	struct world_config config;
	GRand *random;
	GSequence *events;
	uint64_t next_order;
	int64_t now_ms;
	struct world_node nodes[WORLD_NODES_MAX];
	char names[WORLD_NODES_MAX][CW_NAME_MAX];
	struct world_server servers[WORLD_SERVERS_MAX];
	int server_count;
	GPtrArray *log[CW_STREAM_COUNT];
	uint64_t first_offsets[CW_STREAM_COUNT];
	GPtrArray *waiting_reads;
	GPtrArray *requests;
	GHashTable *requests_by_handle;
	GPtrArray *profiles;
	int cut[WORLD_DOMAINS];
	int outage, lost_answers_left, is_lost_append_late, drop_per_mille, duplicate_per_mille;
};

/* world.c */
struct event *event_create(struct world *world, enum event_kind kind, int node, int64_t delay_ms);
void event_post(struct world *world, struct event *event); /* takes ownership of the event */
void event_destroy(struct event *event);
void world_step_node(struct world *world, int node, struct cw_event *event);

/* servers.c */
void servers_create(struct world *world);
void servers_destroy(struct world *world);
void servers_dispatch(struct world *world, int node, struct cw_effect *effect);
void servers_poll(struct world *world, int node, const struct cw_effect *effect);
void servers_deliver(struct world *world, struct event *event);
int servers_order(struct world *world, const struct cw_effect *effect);
const char *domain_name(int domain);

#endif
