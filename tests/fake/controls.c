/* Faults that a test injects into the simulation (crashes, network partitions, outages), and
 * accessors of the simulation's state. */
#include "world_internal.h"

void world_start(struct world *world, int index)
{
	struct world_node *node = &world->nodes[index];
	struct cw_node_config config = world->config.node;
	struct cw_node_peer *peers = g_new0(struct cw_node_peer, (gsize)world->config.nodes);
	struct cw_node_server *servers =
		g_new0(struct cw_node_server, (gsize)world->server_count + 1);
	struct event *tick;

	for (int i = 0; i < world->config.nodes; i++) {
		if (i == index)
			continue;
		peers[config.peer_count].instance = world->names[i];
		peers[config.peer_count].failure_domain = domain_name(world->nodes[i].domain);
		peers[config.peer_count++].address = world->names[i];
	}
	for (int i = 0; i < world->server_count; i++) {
		servers[i].name = world->servers[i].name;
		servers[i].service = world->servers[i].service;
		servers[i].address = world->servers[i].name;
		servers[i].failure_domain = domain_name(world->servers[i].domain);
		servers[i].checks_fencing = world->servers[i].checks_fencing;
	}
	config.peers = peers;
	config.servers = servers;
	config.server_count = (size_t)world->server_count;
	config.instance = world->names[index];
	config.failure_domain = domain_name(node->domain);
	config.peer_address = world->names[index];
	node->boot++;
	node->stopped = 0;
	node->paused = 0;
	node->stop_requested_ms = -1;
	config.boot = (uint64_t)node->boot * 1000 + (uint64_t)index;
	config.seed = world->config.seed * 977 + config.boot;
	node->node = cw_node_create(&config);
	g_free(peers);
	g_free(servers);
	tick = event_create(world, EVENT_TICK, index, 1 + index % (int)world->config.tick_ms);
	event_post(world, tick);
}

void world_crash(struct world *world, int index)
{
	cw_node_destroy(world->nodes[index].node);
	world->nodes[index].node = NULL;
	world->nodes[index].boot++;
	world->nodes[index].paused = 0;
}

void world_stop(struct world *world, int index)
{
	struct cw_event event = {.kind = CW_EVENT_STOP};

	if (!world->nodes[index].node || world->nodes[index].stop_requested_ms >= 0)
		return;
	world->nodes[index].stop_requested_ms = world->now_ms;
	world_step_node(world, index, &event);
}

void world_set_paused(struct world *world, int index, int paused)
{
	if (world->nodes[index].paused && !paused)
		world->nodes[index].resumed_ms = world->now_ms;
	world->nodes[index].paused = paused;
}

void world_set_domain_partition(struct world *world, int domain, int cut)
{
	world->cut[domain] = cut;
}

void world_set_store_partition(struct world *world, int node, int cut)
{
	world->nodes[node].is_store_cut = cut;
}

void world_set_outage(struct world *world, int outage)
{
	world->outage = outage;
}

void world_set_store_latency(struct world *world, int64_t latency_ms)
{
	world->config.store_latency_ms = latency_ms;
}

void world_lose_append_answers(struct world *world, int count, int is_late)
{
	world->lost_answers_left = count;
	world->is_lost_append_late = is_late;
}

void world_set_message_faults(struct world *world, int drop_per_mille, int duplicate_per_mille)
{
	world->drop_per_mille = drop_per_mille;
	world->duplicate_per_mille = duplicate_per_mille;
}

void world_expire_records(struct world *world)
{
	for (int stream = 0; world->config.retention_ms && stream < CW_STREAM_COUNT; stream++) {
		while (world->first_offsets[stream] <= world->log[stream]->len) {
			struct world_record *record = g_ptr_array_index(
				world->log[stream], world->first_offsets[stream] - 1);

			if (record->time_ms >= world->now_ms - world->config.retention_ms)
				break;
			world->first_offsets[stream]++;
		}
	}
}

void world_lose_records(struct world *world, enum cw_stream stream, size_t count)
{
	GPtrArray *log = world->log[stream];

	while (count-- > 0 && log->len >= world->first_offsets[stream]) {
		struct world_record *record = g_ptr_array_index(log, log->len - 1);

		g_ptr_array_set_size(log, (gint)log->len - 1);
		g_free(record->data);
		g_free(record);
	}
}

int64_t world_now(const struct world *world)
{
	return world->now_ms;
}

struct world_node *world_node(struct world *world, int node)
{
	return &world->nodes[node];
}

const GPtrArray *world_log(const struct world *world, enum cw_stream stream)
{
	return world->log[stream];
}

const GPtrArray *world_requests(const struct world *world)
{
	return world->requests;
}

struct cw_node *world_find_running_node(struct world *world)
{
	for (int i = 0; i < world->config.nodes; i++)
		if (world->nodes[i].node)
			return world->nodes[i].node;
	return NULL;
}

double world_random(struct world *world)
{
	return g_rand_double(world->random);
}
