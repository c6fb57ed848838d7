/* Simulated backend servers: slots, a queue, a cache of prompt prefixes, and model versions that
 * fail, take longer or degrade from a given time on. */
#include "world_internal.h"

#include "cw_hash.h"

#include <math.h>
#include <string.h>

#define QUEUE_FACTOR   8   /* queue limit, as a multiple of the slots; further requests get 429 */
#define CACHE_HIT_PART 0.3 /* share of the prefill time that is left when the prefix is cached */
#define BATCH_COST     0.5 /* a full batch takes 1 + this times as long as a single request */
#define SERVICE_MS     10  /* mean time of a request to a plain service */
#define EARLY_FAILURE  0.5 /* share of a stream's failures that come before its first chunk */

static void accept_attempt(struct world *world, struct event *event);
static void start_run(struct world *world, struct event *run);
static void finish_run(struct world *world, struct event *run);
static void post_attempt_end(struct world *world, const struct event *run,
			     enum cw_attempt_result result, int status);
static double service_time(struct world *world, struct world_server *server,
			   struct world_request *request, const struct world_profile *profile,
			   double *first_ms);
static int use_cached_prefix(struct world_server *server, uint64_t prefix);
static const struct world_profile *find_profile(const struct world *world, const char *model,
						const char *version);
static double find_quality(const struct world_profile *profile, int is_degraded, const char *task);
static double draw_normal(struct world *world);
static int find_server(const struct world *world, const char *name);
static int is_degraded_now(const struct world *world, const struct world_profile *profile);

const char *const world_task_names[TASKS] = {"tag", "enquiry", "report", "circular"};

const char *domain_name(int domain)
{
	static const char *const names[WORLD_DOMAINS] = {"d0", "d1", "d2", "d3",
							 "d4", "d5", "d6", "d7"};

	return names[domain];
}

void servers_create(struct world *world)
{
	const struct world_config *config = &world->config;

	world->server_count = config->servers + config->services;
	for (int i = 0; i < world->server_count; i++) {
		struct world_server *server = &world->servers[i];

		g_snprintf(server->name, CW_NAME_MAX, "s%d", i);
		g_strlcpy(server->service, i < config->servers ? "llm" : "orders", CW_NAME_MAX);
		server->domain = i % config->domains;
		server->slots = config->slots;
		server->checks_fencing = i % 2;
		server->queue = g_queue_new();
		server->versions = g_ptr_array_new_with_free_func(g_free);
	}
}

void servers_destroy(struct world *world)
{
	for (int i = 0; i < world->server_count; i++) {
		struct event *run;

		while ((run = g_queue_pop_head(world->servers[i].queue)))
			event_destroy(run);
		g_queue_free(world->servers[i].queue);
		g_ptr_array_unref(world->servers[i].versions);
	}
}

struct world_server *world_server(struct world *world, int server)
{
	return &world->servers[server];
}

void world_profile(struct world *world, const struct world_profile *profile)
{
	struct world_profile *old =
		(struct world_profile *)find_profile(world, profile->model, profile->version);

	if (old)
		*old = *profile;
	else
		g_ptr_array_add(world->profiles, g_memdup2(profile, sizeof(*profile)));
}

void world_load_on_all_servers(struct world *world, const char *model, const char *version)
{
	for (int i = 0; i < world->config.servers; i++)
		g_ptr_array_add(world->servers[i].versions,
				g_strdup_printf("%s/%s", model, version));
}

void servers_dispatch(struct world *world, int node, struct cw_effect *effect)
{
	struct world_request *request =
		g_hash_table_lookup(world->requests_by_handle, &effect->handle);
	struct event *event = event_create(world, EVENT_ARRIVE, node, world->config.latency_ms);
	struct event *timeout;

	request->dispatched++;
	g_strlcpy(request->model, effect->dispatch.model, CW_NAME_MAX);
	g_strlcpy(request->version, effect->dispatch.version, CW_NAME_MAX);
	g_strlcpy(request->session_token, effect->dispatch.session_token, CW_TOKEN_MAX);
	if (world->config.on_dispatch)
		world->config.on_dispatch(world->config.context, world, request, node, effect);
	event->server = find_server(world, effect->dispatch.address);
	event->effect = g_new0(struct cw_effect, 1);
	*event->effect = *effect;
	/* A sent request arrives even when its sender crashes meanwhile. */
	event->boot = world->nodes[node].boot;
	event->end.handle = effect->handle;
	event->end.attempt = effect->dispatch.attempt;
	event_post(world, event);
	/* Plays the I/O layer's part, which ends an attempt at its timeout. The node ignores a
	 * second end of the same attempt. */
	timeout = event_create(world, EVENT_ATTEMPT_END, node, effect->dispatch.timeout_ms);
	timeout->end = event->end;
	timeout->end.result = CW_ATTEMPT_INTERRUPTED;
	timeout->end.first_ms = -1;
	event_post(world, timeout);
}

void servers_poll(struct world *world, int node, const struct cw_effect *effect)
{
	int index = find_server(world, effect->poll.address);
	struct world_server *server = &world->servers[index];
	struct event *event;

	if (server->down)
		return;
	event = event_create(world, EVENT_LOAD, node, 2 * world->config.latency_ms);
	event->server = index;
	event->version = effect->poll.server;
	event->load.running = (unsigned int)server->running;
	event->load.queued = (unsigned int)server->queued;
	event->load.slots = (unsigned int)server->slots;
	event->load.age_ms = (unsigned int)world->config.report_lag_ms;
	/* The report describes the load of report_lag_ms ago. */
	event->at_ms += world->config.report_lag_ms;
	event_post(world, event);
}

void servers_deliver(struct world *world, struct event *event)
{
	struct cw_event out = {0};
	const char **versions;

	switch (event->kind) {
	case EVENT_ARRIVE:
		accept_attempt(world, event);
		break;
	case EVENT_RUN:
		finish_run(world, event);
		break;
	case EVENT_ATTEMPT_END:
		out.kind = CW_EVENT_ATTEMPT_END;
		out.attempt = &event->end;
		world_step_node(world, event->node, &out);
		break;
	case EVENT_LOAD: {
		const GPtrArray *loaded = world->servers[event->server].versions;

		versions = g_new0(const char *, loaded->len + 1);
		for (guint i = 0; i < loaded->len; i++)
			versions[i] = g_ptr_array_index(loaded, i);
		event->load.versions = event->server < world->config.servers ? versions : NULL;
		out.kind = CW_EVENT_LOAD;
		out.load.server = event->version;
		out.load.load = &event->load;
		world_step_node(world, event->node, &out);
		g_free(versions);
		break;
	}
	default:
		break;
	}
}

int servers_order(struct world *world, const struct cw_effect *effect)
{
	struct world_server *server = &world->servers[find_server(world, effect->order.address)];

	if (server->checks_fencing && (int64_t)effect->order.fencing < server->fencing)
		return 0;
	server->fencing = MAX(server->fencing, (int64_t)effect->order.fencing);
	for (guint i = 0; i < server->versions->len; i++)
		if (!strcmp(g_ptr_array_index(server->versions, i), effect->order.target))
			return 1;
	g_ptr_array_add(server->versions, g_strdup(effect->order.target));
	return 1;
}

static void accept_attempt(struct world *world, struct event *event)
{
	struct world_server *server = &world->servers[event->server];
	struct event *run = event_create(world, EVENT_RUN, event->node, 0);

	run->boot = event->boot;
	run->server = event->server;
	run->end = event->end;
	run->effect = g_steal_pointer(&event->effect);
	run->offset = (uint64_t)world->now_ms;
	if (server->down) {
		post_attempt_end(world, run, CW_ATTEMPT_NOT_SENT, 0);
		event_destroy(run);
	} else if (server->rest_ms > 0) {
		run->end.retry_after_ms = server->rest_ms;
		post_attempt_end(world, run, CW_ATTEMPT_BUSY, 503);
		event_destroy(run);
	} else if (server->queued >= server->slots * QUEUE_FACTOR) {
		post_attempt_end(world, run, CW_ATTEMPT_BUSY, 429);
		event_destroy(run);
	} else if (server->running >= server->slots) {
		server->queued++;
		g_queue_push_tail(server->queue, run);
	} else {
		start_run(world, run);
	}
}

static void start_run(struct world *world, struct event *run)
{
	struct world_server *server = &world->servers[run->server];
	struct world_request *request =
		g_hash_table_lookup(world->requests_by_handle, &run->end.handle);
	const struct world_profile *profile =
		find_profile(world, run->effect->dispatch.model, run->effect->dispatch.version);
	double waited_ms = (double)(world->now_ms - (int64_t)run->offset);
	double first_ms;
	double total_ms;

	server->running++;
	if (run->effect->dispatch.mode != CW_DISPATCH_RESUME)
		request->runs++;
	total_ms = service_time(world, server, request, profile, &first_ms);
	run->end.first_ms = waited_ms + first_ms + (double)(2 * world->config.latency_ms);
	run->end.total_ms = waited_ms + total_ms + (double)(2 * world->config.latency_ms);
	if (request->first_ms < 0 && request->in.flags & CW_REQUEST_STREAM)
		request->first_ms = world->now_ms + (int64_t)first_ms + world->config.latency_ms;
	run->at_ms = world->now_ms + MAX(1, (int64_t)total_ms);
	event_post(world, run);
}

static void finish_run(struct world *world, struct event *run)
{
	struct world_server *server = &world->servers[run->server];
	struct world_request *request =
		g_hash_table_lookup(world->requests_by_handle, &run->end.handle);
	const struct world_profile *profile =
		find_profile(world, run->effect->dispatch.model, run->effect->dispatch.version);
	int is_degraded = is_degraded_now(world, profile);
	double failure_rate =
		profile ? (is_degraded ? profile->degraded_failure_rate : profile->failure_rate)
			: 0;
	double quality = find_quality(profile, is_degraded, request->in.task);
	struct event *next;

	server->running--;
	next = g_queue_pop_head(server->queue);
	if (next) {
		server->queued--;
		next->at_ms = world->now_ms;
		start_run(world, next);
	}
	if (server->down) {
		post_attempt_end(world, run, CW_ATTEMPT_INTERRUPTED, 0);
	} else if (world_random(world) < failure_rate) {
		if (request->in.flags & CW_REQUEST_STREAM && world_random(world) >= EARLY_FAILURE)
			request->shown_chunks++;
		post_attempt_end(world, run,
				 request->shown_chunks ? CW_ATTEMPT_INTERRUPTED : CW_ATTEMPT_FAILED,
				 500);
	} else {
		request->shown_chunks +=
			request->in.flags & CW_REQUEST_STREAM ? request->tokens : 0;
		request->quality =
			CLAMP(quality + (profile ? profile->quality_sigma * draw_normal(world) : 0),
			      0, 1);
		request->cost += profile ? (request->in.prompt_tokens + request->tokens) *
						   profile->cost_per_1k / 1000
					 : 0;
		if (request->first_ms < 0)
			request->first_ms = world->now_ms + world->config.latency_ms;
		post_attempt_end(world, run, CW_ATTEMPT_ANSWERED, 200);
	}
}

static void post_attempt_end(struct world *world, const struct event *run,
			     enum cw_attempt_result result, int status)
{
	struct event *event =
		event_create(world, EVENT_ATTEMPT_END, run->node, world->config.latency_ms);
	struct world_request *request =
		g_hash_table_lookup(world->requests_by_handle, &run->end.handle);

	/* Delivered only if the sender has not restarted since. */
	event->boot = run->boot;
	event->end = run->end;
	event->end.result = result;
	event->end.http_status = status;
	event->end.prompt_tokens = request->in.prompt_tokens;
	event->end.completion_tokens = result == CW_ATTEMPT_ANSWERED ? request->tokens : 0;
	event->end.shown = request->shown_chunks;
	event->end.answer = "answer";
	event_post(world, event);
}

static double service_time(struct world *world, struct world_server *server,
			   struct world_request *request, const struct world_profile *profile,
			   double *first_ms)
{
	double batch_factor = 1 + BATCH_COST * (server->running - 1) / MAX(server->slots - 1, 1);
	double slowdown = profile ? (is_degraded_now(world, profile) ? profile->degraded_slowdown
								     : profile->slowdown)
				  : 1;

	if (!profile) {
		*first_ms = SERVICE_MS * (0.5 + world_random(world));
		return *first_ms;
	}
	*first_ms = profile->first_ms * (0.3 + request->in.prompt_tokens / 1000.0) * slowdown *
		    batch_factor;
	if (request->in.prefix && use_cached_prefix(server, request->in.prefix))
		*first_ms *= CACHE_HIT_PART;
	return *first_ms + request->tokens * profile->token_ms * slowdown * batch_factor;
}

static int use_cached_prefix(struct world_server *server, uint64_t prefix)
{
	size_t last = G_N_ELEMENTS(server->cache) - 1;
	size_t at = 0;

	while (at < last && server->cache[at] != prefix)
		at++;
	memmove(&server->cache[1], &server->cache[0], at * sizeof(server->cache[0]));
	at = server->cache[0] == prefix || at < last;
	server->cache[0] = prefix;
	return (int)at;
}

static const struct world_profile *find_profile(const struct world *world, const char *model,
						const char *version)
{
	for (guint i = 0; i < world->profiles->len; i++) {
		const struct world_profile *profile = g_ptr_array_index(world->profiles, i);

		if (!strcmp(profile->model, model) && !strcmp(profile->version, version))
			return profile;
	}
	return NULL;
}

static double find_quality(const struct world_profile *profile, int is_degraded, const char *task)
{
	if (!profile)
		return 1;
	if (is_degraded)
		return profile->degraded_quality;
	for (int i = 0; i < TASKS; i++)
		if (!strcmp(task, world_task_names[i]) && profile->task_quality[i] > 0)
			return profile->task_quality[i];
	return profile->quality;
}

static double draw_normal(struct world *world)
{
	double u = MAX(world_random(world), 1e-12);

	return sqrt(-2 * log(u)) * cos(2 * G_PI * world_random(world));
}

static int find_server(const struct world *world, const char *name)
{
	return (int)g_ascii_strtoll(name + 1, NULL, 10);
}

static int is_degraded_now(const struct world *world, const struct world_profile *profile)
{
	return profile && profile->degraded_from_ms >= 0 &&
	       world->now_ms >= profile->degraded_from_ms;
}

void world_publish(struct world *world, const char *const *rows)
{
	static const char *const columns[] = {"weight", "cost_per_1k_tokens", "quality_target",
					      "state"};
	GString *record = g_string_new(NULL);

	g_string_append_printf(record, "{\"edit\":\"p%u\",\"by\":\"test\",\"cells\":[",
			       world->log[CW_STREAM_TABLE]->len);
	for (size_t i = 0; rows[i]; i++) {
		char **cells = g_strsplit(rows[i], ",", -1);

		for (size_t j = 0; j < G_N_ELEMENTS(columns); j++)
			g_string_append_printf(
				record,
				"%s{\"organisation\":\"%s\",\"model\":\"%s\",\"version\":\"%s\","
				"\"column\":\"%s\",\"value\":\"%s\"}",
				i + j ? "," : "", cells[0], cells[1], cells[2], columns[j],
				cells[3 + j]);
		g_strfreev(cells);
	}
	g_string_append(record, "]}");
	world_append(world, CW_STREAM_TABLE, record->str);
	g_string_free(record, TRUE);
}

void world_set_cell(struct world *world, const char *organisation, const char *model,
		    const char *version, const char *column, const char *value)
{
	char *record = g_strdup_printf("{\"edit\":\"s%u-%" G_GINT64_FORMAT
				       "\",\"by\":\"test\",\"cells\":[{"
				       "\"organisation\":\"%s\",\"model\":\"%s\","
				       "\"version\":\"%s\",\"column\":\"%s\",\"value\":\"%s\"}]}",
				       world->log[CW_STREAM_TABLE]->len, world->now_ms,
				       organisation, model, version, column, value);

	world_append(world, CW_STREAM_TABLE, record);
	g_free(record);
}

void world_add_key(struct world *world, const char *organisation)
{
	char digest[CW_SHA256_HEX];
	char *record;

	cw_sha256_hex(organisation, strlen(organisation), digest);
	record = g_strdup_printf("{\"organisation\":\"%s\",\"key_sha256\":\"%s\"}", organisation,
				 digest);
	world_append(world, CW_STREAM_TABLE, record);
	g_free(record);
}

void world_request_init(struct cw_node_request *in, const char *organisation, const char *target,
			unsigned int flags)
{
	memset(in, 0, sizeof(*in));
	in->flags = flags;
	in->prompt_tokens = 200;
	g_strlcpy(in->target, target, CW_NAME_MAX);
	cw_sha256_hex(organisation, strlen(organisation), in->key_sha256);
}
