#include "world.h"
#include "world_internal.h"

#include <math.h>
#include <stdio.h>
#include <string.h>

#define LATE_MS	 700 /* a delayed append is stored this long after it was sent */
#define LIST_MS	 1000
#define READ_MAX 256 /* records in one answer */

static void deliver(struct world *world, struct event *event);
static void execute_effect(struct world *world, int node, struct cw_effect *effect);
static void do_read(struct world *world, int node, const struct cw_effect *effect);
static void answer_read(struct world *world, int node, const struct cw_effect *effect,
			int is_wait_over);
static void wake_readers(struct world *world, enum cw_stream stream);
static void do_append(struct world *world, int node, struct cw_effect *effect);
static void do_send(struct world *world, int node, const struct cw_effect *effect);
static void do_rate(struct world *world, int node, const struct cw_effect *effect);
static void do_order(struct world *world, int node, const struct cw_effect *effect);
static void record_final_answer(struct world *world, const struct cw_effect *effect);
static int is_partitioned(const struct world *world, int from, int to);
static int is_store_unreachable(const struct world *world, int node);
static gint compare_event_times(gconstpointer a, gconstpointer b, gpointer unused);

struct world *world_create(const struct world_config *config)
{
	struct world *world = g_new0(struct world, 1);

	world->config = *config;
	world->random = g_rand_new_with_seed((guint32)(config->seed * 2654435761U + 1));
	world->events = g_sequence_new(NULL);
	world->requests = g_ptr_array_new();
	world->requests_by_handle = g_hash_table_new(g_int64_hash, g_int64_equal);
	world->profiles = g_ptr_array_new_with_free_func(g_free);
	world->waiting_reads = g_ptr_array_new();
	for (int stream = 0; stream < CW_STREAM_COUNT; stream++) {
		world->log[stream] = g_ptr_array_new();
		world->first_offsets[stream] = 1;
	}
	servers_create(world);
	for (int i = 0; i < config->nodes; i++) {
		world->nodes[i].domain = i % config->domains;
		world->nodes[i].stop_requested_ms = -1;
		g_snprintf(world->names[i], CW_NAME_MAX, "e%d", i);
	}
	world->now_ms = 1000;
	return world;
}

void world_destroy(struct world *world)
{
	GSequenceIter *iter = g_sequence_get_begin_iter(world->events);

	for (; !g_sequence_iter_is_end(iter); iter = g_sequence_iter_next(iter))
		event_destroy(g_sequence_get(iter));
	g_sequence_free(world->events);
	for (int i = 0; i < world->config.nodes; i++)
		cw_node_destroy(world->nodes[i].node);
	for (int stream = 0; stream < CW_STREAM_COUNT; stream++) {
		for (guint i = 0; i < world->log[stream]->len; i++) {
			struct world_record *record = g_ptr_array_index(world->log[stream], i);

			g_free(record->data);
			g_free(record);
		}
		g_ptr_array_unref(world->log[stream]);
	}
	for (guint i = 0; i < world->requests->len; i++)
		g_free(g_ptr_array_index(world->requests, i));
	for (guint i = 0; i < world->waiting_reads->len; i++)
		event_destroy(g_ptr_array_index(world->waiting_reads, i));
	g_ptr_array_unref(world->waiting_reads);
	servers_destroy(world);
	g_ptr_array_unref(world->requests);
	g_ptr_array_unref(world->profiles);
	g_hash_table_destroy(world->requests_by_handle);
	g_rand_free(world->random);
	g_free(world);
}

uint64_t world_append(struct world *world, enum cw_stream stream, const char *data)
{
	struct world_record *record = g_new0(struct world_record, 1);

	record->time_ms = world->now_ms;
	record->data = g_strdup(data);
	g_ptr_array_add(world->log[stream], record);
	wake_readers(world, stream);
	return world->log[stream]->len;
}

struct world_request *world_send(struct world *world, int node, const struct cw_node_request *in,
				 unsigned int tokens)
{
	struct world_request *request = g_new0(struct world_request, 1);
	struct cw_event event = {.kind = CW_EVENT_REQUEST};

	request->in = *in;
	request->in.handle = world->requests->len + 1;
	if (!*request->in.request_id)
		g_snprintf(request->in.request_id, CW_ID_MAX, "q%u", world->requests->len + 1);
	request->node = node;
	request->boot = world->nodes[node].boot;
	request->began_ms = world->now_ms;
	request->first_ms = -1;
	request->ended_ms = -1;
	request->quality = -1;
	request->tokens = tokens;
	g_ptr_array_add(world->requests, request);
	g_hash_table_insert(world->requests_by_handle, &request->in.handle, request);
	event.request = &request->in;
	if (world->nodes[node].node)
		world_step_node(world, node, &event);
	return request;
}

void world_advance(struct world *world, int64_t ms)
{
	int64_t until_ms = world->now_ms + ms;

	for (;;) {
		GSequenceIter *first = g_sequence_get_begin_iter(world->events);
		struct event *event;

		if (g_sequence_iter_is_end(first))
			break;
		event = g_sequence_get(first);
		if (event->at_ms > until_ms)
			break;
		g_sequence_remove(first);
		world->now_ms = MAX(world->now_ms, event->at_ms);
		deliver(world, event);
	}
	world->now_ms = until_ms;
}

struct event *event_create(struct world *world, enum event_kind kind, int node, int64_t delay_ms)
{
	struct event *event = g_new0(struct event, 1);

	event->kind = kind;
	event->node = node;
	event->boot = node >= 0 ? world->nodes[node].boot : 0;
	event->at_ms = world->now_ms + delay_ms;
	event->order = world->next_order++;
	return event;
}

void event_post(struct world *world, struct event *event)
{
	g_sequence_insert_sorted(world->events, event, compare_event_times, NULL);
}

void event_destroy(struct event *event)
{
	g_free(event->data);
	if (event->effect)
		cw_effect_destroy(event->effect);
	g_free(event);
}

void world_step_node(struct world *world, int index, struct cw_event *event)
{
	struct world_node *node = &world->nodes[index];
	struct cw_effects effects;
	struct cw_effect *effect;
	unsigned int boot = node->boot;

	event->now_ms = world->now_ms;
	event->wall_ms = world->now_ms;
	cw_effects_open(&effects);
	cw_node_step(node->node, event, &effects);
	while ((effect = cw_effects_pop(&effects))) {
		if (node->boot == boot)
			execute_effect(world, index, effect);
		else
			cw_effect_destroy(effect);
	}
}

static void deliver(struct world *world, struct event *event)
{
	struct world_node *node = event->node >= 0 ? &world->nodes[event->node] : NULL;
	struct cw_event out = {0};

	if (node && (!node->node || event->boot != node->boot)) {
		/* The addressed incarnation has terminated. A backend server still runs the
		 * request that it was sent. */
		if (event->kind == EVENT_RUN)
			servers_deliver(world, event);
		event_destroy(event);
		return;
	}
	if (node && node->paused) {
		event->at_ms = world->now_ms + world->config.tick_ms;
		event_post(world, event);
		return;
	}
	switch (event->kind) {
	case EVENT_TICK:
		out.kind = CW_EVENT_TICK;
		event->at_ms = world->now_ms + world->config.tick_ms;
		event_post(world, event);
		world_step_node(world, event->node, &out);
		return;
	case EVENT_PEER:
		if (world->config.on_peer)
			world->config.on_peer(world->config.context, world, event->node,
					      event->data, event->size);
		out.kind = CW_EVENT_PEER;
		out.peer.data = event->data;
		out.peer.size = event->size;
		world_step_node(world, event->node, &out);
		break;
	case EVENT_READ:
		answer_read(world, event->node, event->effect, event->is_wait_over);
		break;
	case EVENT_APPENDED: {
		struct cw_append_result appended = {event->ticket, event->status, event->offset};

		out.kind = CW_EVENT_APPENDED;
		out.appended = &appended;
		world_step_node(world, event->node, &out);
		break;
	}
	case EVENT_LATE_APPEND:
		world_append(world, (enum cw_stream)event->ticket, (char *)event->data);
		break;
	case EVENT_RATED:
		out.kind = CW_EVENT_RATED;
		out.rated.handle = event->ticket;
		out.rated.task = event->task;
		out.rated.common = event->common;
		out.rated.version = event->version;
		out.rated.score = event->score;
		out.rated.tokens = (unsigned int)event->offset;
		world_step_node(world, event->node, &out);
		break;
	case EVENT_ORDERED:
		out.kind = CW_EVENT_ORDERED;
		out.ordered.ticket = event->ticket;
		out.ordered.status = event->status;
		world_step_node(world, event->node, &out);
		break;
	default:
		servers_deliver(world, event);
		break;
	}
	event_destroy(event);
}

static void execute_effect(struct world *world, int index, struct cw_effect *effect)
{
	struct world_node *node = &world->nodes[index];

	switch (effect->kind) {
	case CW_EFFECT_READ:
		do_read(world, index, effect);
		return;
	case CW_EFFECT_APPEND:
		node->appends++;
		do_append(world, index, effect);
		break;
	case CW_EFFECT_SEND:
		node->messages++;
		node->bytes += effect->send.bytes.size;
		do_send(world, index, effect);
		break;
	case CW_EFFECT_DISPATCH:
		servers_dispatch(world, index, effect);
		break;
	case CW_EFFECT_POLL:
		servers_poll(world, index, effect);
		break;
	case CW_EFFECT_RATE:
		do_rate(world, index, effect);
		break;
	case CW_EFFECT_ORDER:
		do_order(world, index, effect);
		break;
	case CW_EFFECT_REJECT:
	case CW_EFFECT_RELEASE:
	case CW_EFFECT_REPLAY:
		record_final_answer(world, effect);
		break;
	case CW_EFFECT_STOPPED:
		node->stopped = 1;
		break;
	case CW_EFFECT_COUNT:
		if (!strcmp(effect->count.name, "log_shortened_total"))
			node->log_shortened += effect->count.add;
		break;
	case CW_EFFECT_EVENT:
		if (world->config.trace)
			printf("time=%" G_GINT64_FORMAT " instance=e%d module=%s event=%s %s\n",
			       world->now_ms, index, effect->event.module, effect->event.event,
			       effect->event.detail);
		break;
	default:
		break;
	}
	cw_effect_destroy(effect);
}

static void do_read(struct world *world, int index, const struct cw_effect *effect)
{
	struct event *event =
		event_create(world, EVENT_READ, index, world->config.store_latency_ms);

	world->nodes[index].reads++;
	event->effect = (struct cw_effect *)effect;
	event_post(world, event);
}

/* A long poll without records is answered by the next append to its stream, or empty at its
 * time-out. */
static void answer_read(struct world *world, int index, const struct cw_effect *effect,
			int is_wait_over)
{
	enum cw_stream stream = effect->read.stream;
	GPtrArray *log = world->log[stream];
	struct cw_log_record list[READ_MAX];
	size_t max = effect->read.max ? effect->read.max : READ_MAX;
	struct cw_read_result records = {
		.stream = stream, .ticket = effect->read.ticket, .list = list};
	struct cw_event out = {.kind = CW_EVENT_RECORDS, .records = &records};

	records.first = world->first_offsets[stream];
	if (is_store_unreachable(world, index)) {
		records.status = CW_UNREACHABLE;
	} else if (effect->read.from < world->first_offsets[stream]) {
		records.status = CW_EXPIRED;
	} else {
		for (uint64_t offset = effect->read.from; offset <= log->len && records.count < max;
		     offset++) {
			struct world_record *record = g_ptr_array_index(log, offset - 1);

			list[records.count].offset = offset;
			list[records.count].time_ms = record->time_ms;
			list[records.count++].data = record->data;
			world->nodes[index].read_bytes += strlen(record->data);
		}
		if (records.count == 0 && !is_wait_over && effect->read.wait_ms > 0) {
			struct event *waiting_read = event_create(world, EVENT_READ, index, 0);
			struct event *timer =
				event_create(world, EVENT_READ, index, effect->read.wait_ms);

			waiting_read->effect = g_new0(struct cw_effect, 1);
			*waiting_read->effect = *effect;
			timer->effect = g_new0(struct cw_effect, 1);
			*timer->effect = *effect;
			timer->is_wait_over = 1;
			g_ptr_array_add(world->waiting_reads, waiting_read);
			event_post(world, timer);
			return;
		}
	}
	world_step_node(world, index, &out);
}

/* The time-out of a woken long poll still answers it once more; the node ignores the outdated
 * ticket. */
static void wake_readers(struct world *world, enum cw_stream stream)
{
	for (guint i = 0; i < world->waiting_reads->len;) {
		struct event *waiting_read = g_ptr_array_index(world->waiting_reads, i);

		if (waiting_read->effect->read.stream != stream) {
			i++;
			continue;
		}
		g_ptr_array_remove_index_fast(world->waiting_reads, i);
		waiting_read->at_ms = world->now_ms + world->config.store_latency_ms;
		waiting_read->is_wait_over = 1;
		event_post(world, waiting_read);
	}
}

static void do_append(struct world *world, int index, struct cw_effect *effect)
{
	struct event *answer =
		event_create(world, EVENT_APPENDED, index, 2 * world->config.store_latency_ms);

	answer->ticket = effect->append.ticket;
	if (is_store_unreachable(world, index)) {
		answer->status = CW_REFUSED;
	} else if (world->lost_answers_left > 0) {
		world->lost_answers_left--;
		answer->status = CW_UNKNOWN;
		answer->at_ms += 100;
		if (world->is_lost_append_late) {
			struct event *late_append =
				event_create(world, EVENT_LATE_APPEND, -1, LATE_MS);

			late_append->ticket = effect->append.stream;
			late_append->data = (uint8_t *)g_strdup(effect->append.data);
			event_post(world, late_append);
		} else {
			world_append(world, effect->append.stream, effect->append.data);
		}
	} else {
		answer->status = CW_OK;
		answer->offset = world_append(world, effect->append.stream, effect->append.data);
	}
	event_post(world, answer);
}

static void do_send(struct world *world, int index, const struct cw_effect *effect)
{
	int to = (int)g_ascii_strtoll(effect->send.address + 1, NULL, 10);
	int copies = g_rand_int_range(world->random, 0, 1000) < world->duplicate_per_mille ? 2 : 1;

	if (is_partitioned(world, index, to) ||
	    g_rand_int_range(world->random, 0, 1000) < world->drop_per_mille)
		return;
	for (int i = 0; i < copies; i++) {
		int64_t jitter = world->drop_per_mille || world->duplicate_per_mille
					 ? g_rand_int_range(world->random, 0, 50)
					 : 0;
		struct event *event =
			event_create(world, EVENT_PEER, to, world->config.latency_ms + jitter);

		event->data = g_memdup2(effect->send.bytes.data, effect->send.bytes.size);
		event->size = effect->send.bytes.size;
		event_post(world, event);
	}
}

static void do_rate(struct world *world, int index, const struct cw_effect *effect)
{
	struct event *event =
		event_create(world, EVENT_RATED, index, world->config.store_latency_ms + 20);
	struct world_request *request =
		g_hash_table_lookup(world->requests_by_handle, &effect->handle);

	event->ticket = effect->rate.is_awaited ? effect->handle : 0;
	event->task = effect->rate.task;
	event->common = effect->rate.common;
	event->version = effect->rate.version_id;
	event->offset = effect->rate.tokens;
	event->score = is_store_unreachable(world, index) || !request ? -1 : request->quality;
	event_post(world, event);
}

static void do_order(struct world *world, int index, const struct cw_effect *effect)
{
	struct event *event =
		event_create(world, EVENT_ORDERED, index, 2 * world->config.latency_ms);

	event->ticket = effect->order.ticket;
	event->status = servers_order(world, effect) ? CW_OK : CW_REFUSED;
	event_post(world, event);
}

static void record_final_answer(struct world *world, const struct cw_effect *effect)
{
	struct world_request *request =
		g_hash_table_lookup(world->requests_by_handle, &effect->handle);

	request->final_answers++;
	if (request->final_answers > 1)
		return;
	request->end = effect->kind;
	request->ended_ms = world->now_ms;
	if (effect->kind == CW_EFFECT_REJECT) {
		request->code = effect->reject.code;
		request->run = effect->reject.run;
		request->retry_after_ms = effect->reject.retry_after_ms;
	}
	if (world->config.on_end)
		world->config.on_end(world->config.context, world, request);
}

static int is_partitioned(const struct world *world, int from, int to)
{
	int a = world->nodes[from].domain;
	int b = world->nodes[to].domain;

	return a != b && (world->cut[a] || world->cut[b]);
}

static int is_store_unreachable(const struct world *world, int node)
{
	return world->outage || world->nodes[node].is_store_cut;
}

static gint compare_event_times(gconstpointer a, gconstpointer b, gpointer unused)
{
	const struct event *left = a;
	const struct event *right = b;

	if (left->at_ms != right->at_ms)
		return left->at_ms < right->at_ms ? -1 : 1;
	return left->order < right->order ? -1 : left->order > right->order;
}
