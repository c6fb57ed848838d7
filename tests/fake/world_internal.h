#ifndef WORLD_INTERNAL_H
#define WORLD_INTERNAL_H

#include "world.h"

enum event_kind {
	EVENT_TICK,
	EVENT_PEER,
	EVENT_READ,
	EVENT_APPENDED,
	EVENT_LATE_APPEND,
	EVENT_RATED,
	EVENT_ORDERED,
	EVENT_ARRIVE, /* an attempt reaches its server */
	EVENT_RUN,    /* a slot of a server is free again */
	EVENT_ATTEMPT_END,
	EVENT_LOAD,
};

struct event {
	enum event_kind kind;
	int64_t at_ms;
	uint64_t order;
	int node; /* -1: nobody's */
	unsigned int boot;
	struct cw_effect *effect;
	uint8_t *data;
	size_t size;
	int waited;
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
	uint64_t first[CW_STREAM_COUNT];
	GPtrArray *readers;
	GPtrArray *requests;
	GHashTable *by_handle;
	GPtrArray *profiles;
	int cut[WORLD_DOMAINS];
	int outage, lose_appends, lose_late, drop, twice;
};

/* world.c */
struct event *event_create(struct world *world, enum event_kind kind, int node, int64_t delay_ms);
void event_post(struct world *world, struct event *event); /* takes it */
void event_destroy(struct event *event);
void step(struct world *world, int node, struct cw_event *event);

/* servers.c */
void servers_create(struct world *world);
void servers_destroy(struct world *world);
void servers_dispatch(struct world *world, int node, struct cw_effect *effect);
void servers_poll(struct world *world, int node, const struct cw_effect *effect);
void servers_deliver(struct world *world, struct event *event);
int servers_order(struct world *world, const struct cw_effect *effect);
const char *domain_name(int domain);

#endif
