#include "daemon.h"
#include "job.h"
#include "cw_counters.h"
#include "cw_timeline.h"

#include <string.h>

#define TICK_MS 20

static void *run_core(void *data);
static void step_node(struct daemon *daemon, struct cw_event *event);
static void execute_effect(struct daemon *daemon, struct cw_effect *effect);
static void deliver_to_job(struct daemon *daemon, struct cw_effect *effect, int final);
static void remove_job(struct daemon *daemon, uint64_t handle);
static void count_effect(const struct cw_effect *effect);

void core_start(struct daemon *daemon, const struct cw_node_config *config)
{
	daemon->core_ring = cw_ring_create(CW_RING_CORE);
	daemon->jobs = g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, NULL);
	daemon->node = cw_node_create(config);
	daemon->io_workers = io_workers_start(daemon);
	pthread_create(&daemon->core_thread, NULL, run_core, daemon);
}

void core_stop(struct daemon *daemon)
{
	struct message *message;

	__atomic_store_n(&daemon->is_core_stopping, 1, __ATOMIC_RELEASE);
	pthread_join(daemon->core_thread, NULL);
	/* Workers may still be posting: a closed ring rejects their messages. */
	cw_ring_close(daemon->core_ring);
	io_workers_stop(daemon->io_workers);
	while ((message = cw_ring_pop(daemon->core_ring, 0)))
		message_destroy(message);
	cw_node_destroy(daemon->node);
	g_hash_table_destroy(daemon->jobs);
	cw_ring_destroy(daemon->core_ring);
}

struct message *message_create(enum cw_event_kind kind)
{
	struct message *message = g_new0(struct message, 1);

	message->event.kind = kind;
	return message;
}

void message_destroy(struct message *message)
{
	cw_platform_read_result_clear(&message->read);
	g_free(message->record_list);
	g_free(message->listed);
	g_strfreev(message->versions);
	g_free(message->text);
	g_free(message);
}

void core_post(struct daemon *daemon, struct message *message)
{
	if (cw_ring_push(daemon->core_ring, message, -1) != CW_OK)
		message_destroy(message);
}

enum cw_status core_try_post(struct daemon *daemon, struct message *message)
{
	return cw_ring_push(daemon->core_ring, message, 0);
}

uint64_t core_create_handle(struct daemon *daemon)
{
	return __atomic_add_fetch(&daemon->next_handle, 1, __ATOMIC_RELAXED);
}

static void *run_core(void *data)
{
	struct daemon *daemon = data;
	int64_t tick_due_us = 0;

	while (!__atomic_load_n(&daemon->is_core_stopping, __ATOMIC_ACQUIRE)) {
		struct message *message = cw_ring_pop(daemon->core_ring, TICK_MS);

		if (message) {
			if (message->job) {
				uint64_t *handle = g_new(uint64_t, 1);

				*handle = job_handle(message->job);
				g_hash_table_insert(daemon->jobs, handle, message->job);
			}
			step_node(daemon, &message->event);
			message_destroy(message);
		}
		if (g_get_monotonic_time() >= tick_due_us) {
			struct cw_event tick = {.kind = CW_EVENT_TICK};

			step_node(daemon, &tick);
			tick_due_us = g_get_monotonic_time() + TICK_MS * 1000;
		}
	}
	return NULL;
}

static void step_node(struct daemon *daemon, struct cw_event *event)
{
	struct cw_effects effects;
	struct cw_effect *effect;

	event->now_ms = g_get_monotonic_time() / 1000;
	event->wall_ms = g_get_real_time() / 1000;
	cw_effects_open(&effects);
	cw_node_step(daemon->node, event, &effects);
	__atomic_store_n(&daemon->is_ready, cw_node_is_ready(daemon->node), __ATOMIC_RELEASE);
	while ((effect = cw_effects_pop(&effects)))
		execute_effect(daemon, effect);
}

static void execute_effect(struct daemon *daemon, struct cw_effect *effect)
{
	count_effect(effect);
	switch (effect->kind) {
	case CW_EFFECT_DISPATCH:
		deliver_to_job(daemon, effect, 0);
		break;
	case CW_EFFECT_REJECT:
	case CW_EFFECT_RELEASE:
	case CW_EFFECT_REPLAY:
	case CW_EFFECT_REPLY:
		deliver_to_job(daemon, effect, 1);
		break;
	case CW_EFFECT_EVENT:
		cw_event(effect->event.module, effect->event.event, "%s", effect->event.detail);
		cw_effect_destroy(effect);
		break;
	case CW_EFFECT_COUNT:
		cw_effect_destroy(effect);
		break;
	case CW_EFFECT_STOPPED:
		__atomic_store_n(&daemon->is_stopped, 1, __ATOMIC_RELEASE);
		cw_effect_destroy(effect);
		break;
	default:
		io_workers_submit(daemon->io_workers, effect);
		break;
	}
}

/* A job's mailbox has room for all effects that one request can get before it is answered. */
static void deliver_to_job(struct daemon *daemon, struct cw_effect *effect, int final)
{
	struct job *job = g_hash_table_lookup(daemon->jobs, &effect->handle);

	if (!job) {
		cw_effect_destroy(effect);
		return;
	}
	if (final)
		remove_job(daemon, effect->handle);
	job_deliver(job, effect);
}

static void remove_job(struct daemon *daemon, uint64_t handle)
{
	g_hash_table_remove(daemon->jobs, &handle);
}

static void count_effect(const struct cw_effect *effect)
{
	char label[64];

	switch (effect->kind) {
	case CW_EFFECT_DISPATCH:
		cw_counter_add("dispatches_total", "", 1);
		break;
	case CW_EFFECT_RELEASE:
		cw_counter_add("answers_total", "", 1);
		break;
	case CW_EFFECT_REPLAY:
		cw_counter_add("replays_total", "", 1);
		break;
	case CW_EFFECT_REJECT:
		g_snprintf(label, sizeof(label), "code=\"%s\",run=\"%s\"",
			   cw_error_code_name(effect->reject.code),
			   cw_run_name(effect->reject.run));
		cw_counter_add("refusals_total", label, 1);
		break;
	case CW_EFFECT_SEND:
		cw_counter_add("peer_messages_total", "", 1);
		cw_counter_add("peer_bytes_total", "", effect->send.bytes.size);
		break;
	case CW_EFFECT_APPEND:
		g_snprintf(label, sizeof(label), "stream=\"%s\"",
			   cw_stream_name(effect->append.stream));
		cw_counter_add("appends_total", label, 1);
		break;
	case CW_EFFECT_COUNT:
		cw_counter_add(effect->count.name, effect->count.label, effect->count.add);
		break;
	default:
		break;
	}
}
