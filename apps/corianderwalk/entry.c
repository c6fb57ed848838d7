#include "entry.h"
#include "cw_counters.h"
#include "cw_timeline.h"

#include <signal.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#define EXIT_BAD_SETTINGS   2
#define EXIT_LISTEN_FAILED  3
#define TICK_MS		    100 /* housekeeping; a silent server is probed within this time */
#define BODIES_PART	    0.2 /* of the memory, for callers' bodies; held twice while they are sent */
#define ANSWERS_PART	    0.2	 /* of the memory, for answers */
#define LOG_FLUSH_TICKS	    3	 /* ticks between two flushes of the log */
#define STOP_ACCEPT_MS	    2500 /* after SIGTERM: two failed readiness calls 1 s apart, and slack */
#define STOP_IDLE_MS	    300	 /* without a request, before the process ends */
#define STOP_MARGIN_MS	    600	 /* before the platform kills the process */
#define RETRY_BUDGET_FACTOR 0.95 /* share in use: budget windows of instances are not aligned */

static void on_request(void *context, struct cw_caller *caller, struct cw_message *request);
static void on_ready_request(void *context, struct cw_caller *caller, struct cw_message *request);
static void on_metrics_request(void *context, struct cw_caller *caller, struct cw_message *request);
static void on_unreadable_request(void *context, unsigned int status, const char *reason);
static void ignore_event(void *request);
static void on_stop(uv_signal_t *handle, int number);
static void on_reload(uv_signal_t *handle, int number);
static void on_tick(uv_timer_t *timer);
static int open_listeners(struct entry *entry);
static int may_reuse(void *client, const char *address, int64_t reuse_idle_ms);
static void log_policy(const struct cw_policy *policy);
static void open_gate(struct entry *entry);
static int is_busy(const struct entry *entry);
static size_t unwritten_bytes(const struct entry *entry);
static void close_all(struct entry *entry);

static const struct cw_listener_ops caller_ops = {on_request, relay_handle_disconnect, relay_resume,
						  on_unreadable_request};
static const struct cw_listener_ops ready_ops = {on_ready_request, ignore_event, ignore_event,
						 on_unreadable_request};
static const struct cw_listener_ops metrics_ops = {on_metrics_request, ignore_event, ignore_event,
						   on_unreadable_request};

int entry_run(const char *settings_file, const struct cw_policy *policy, int metrics_port)
{
	struct entry entry = {.metrics_port = metrics_port, .policy = *policy};
	struct cw_error error = {0};
	int code = 0;

	signal(SIGPIPE, SIG_IGN);
	if (cw_up_settings_load(settings_file, &entry.settings, &error) != CW_OK) {
		fprintf(stderr, "corianderwalk: %s: %s: %s\n", settings_file, error.step,
			error.message);
		return EXIT_BAD_SETTINGS;
	}
	cw_timeline_open(entry.settings.instance, "info");
	cw_timeline_set_capacity(0);
	cw_timeline_start_writer(STDOUT_FILENO);
	uv_loop_init(&entry.loop);
	TAILQ_INIT(&entry.relays);
	entry.quota = cw_quota_create(entry_held_limit(&entry));
	open_gate(&entry);
	entry.server_client = cw_client_create(&entry.loop);
	cw_pool_set_connection_lookup(cw_gate_pool(entry.gate), may_reuse, entry.server_client);
	entry.forwards = forwards_create(&entry);
	entry.backlogs = backlogs_create(&entry);
	code = open_listeners(&entry);
	if (code == 0) {

		cw_event("entry", "started", "domain=%s store=%s first=%d version=%s",
			 entry.settings.failure_domain, entry.settings.store,
			 entry.settings.is_bootstrap, CW_VERSION);
		log_policy(policy);
		uv_run(&entry.loop, UV_RUN_DEFAULT);
	}
	close_all(&entry);
	cw_event("entry", "stopped", "code=%d", code);
	cw_timeline_close();
	return code;
}

static int may_reuse(void *client, const char *address, int64_t reuse_idle_ms)
{
	return cw_client_may_reuse(client, address, reuse_idle_ms);
}

/* Logs each value that differs from its default, so that the log explains decisions. */
static void log_policy(const struct cw_policy *policy)
{
	size_t count;
	const struct cw_policy_field *fields = cw_policy_fields(&count);

	for (size_t i = 0; i < count; i++) {
		double value = cw_policy_value(policy, &fields[i]);

		if (value != fields[i].default_value)
			cw_event("entry", "policy", "name=%s value=%g default=%g", fields[i].name,
				 value, fields[i].default_value);
	}
}

int64_t entry_now_ms(const struct entry *entry)
{
	return (int64_t)uv_now(&entry->loop);
}

int entry_is_ready(const struct entry *entry)
{
	return !entry->stop_requested_ms && entry_is_synced(entry);
}

int entry_is_synced(const struct entry *entry)
{
	return cw_gate_config(entry->gate) && entry->feed && feed_is_complete(entry->feed);
}

void entry_apply_limits(struct entry *entry)
{
	const struct cw_config *config = cw_gate_config(entry->gate);
	const struct cw_caller_limits *config_limits = cw_config_limits((struct cw_config *)config);
	struct cw_flow_limits limits = {
		.header_bytes = (size_t)config_limits->header_bytes,
		.body_bytes = (size_t)config_limits->body_bytes,
		.header_ms = config_limits->header_ms,
		.idle_ms = config_limits->idle_ms,
		.held_bytes = (size_t)((double)entry->settings.memory_bytes * BODIES_PART),
		.unwritten_bytes = entry_answers_limit(entry),
	};

	cw_listener_set_limits(entry->caller_listener, &limits);
	feed_set_body_limit(entry->feed, limits.header_bytes + limits.body_bytes,
			    limits.held_bytes / 2);
}

size_t entry_answers_limit(const struct entry *entry)
{
	return (size_t)((double)entry_memory_bytes(entry) * ANSWERS_PART);
}

static void open_gate(struct entry *entry)
{
	const struct cw_up_settings *settings = &entry->settings;
	struct cw_gate_options options = {
		.failure_domain = settings->failure_domain,
		.seed = uv_hrtime() ^ (uint64_t)getpid() << 32,
		.retry_ratio = settings->retry_ratio * RETRY_BUDGET_FACTOR,
		.retry_slack = settings->retry_slack * RETRY_BUDGET_FACTOR,
		.retry_window_ms = settings->retry_window_ms,
		.cold_factor = settings->cold_factor,
		.cold_slack = settings->cold_slack,
		.rollouts = {.session_ms = settings->session_ms,
			     .exposed_share = settings->exposure_share,
			     .exposed_slack = settings->exposure_slack},
		.policy = &entry->policy,
	};

	entry->gate = cw_gate_create(&options);
	for (guint i = 0; i < settings->domain_regions->len; i++) {
		const struct cw_up_domain_region *domain_region =
			g_ptr_array_index(settings->domain_regions, i);

		cw_pool_set_region(cw_gate_pool(entry->gate), domain_region->failure_domain,
				   domain_region->region);
	}
}

static int open_listeners(struct entry *entry)
{
	struct cw_error error = {0};
	char metrics[CW_ADDRESS_MAX + 8];

	uv_signal_init(&entry->loop, &entry->on_term);
	uv_signal_init(&entry->loop, &entry->on_int);
	uv_signal_init(&entry->loop, &entry->on_hup);
	uv_timer_init(&entry->loop, &entry->tick);
	entry->on_term.data = entry->on_int.data = entry->on_hup.data = entry->tick.data = entry;
	uv_signal_start(&entry->on_term, on_stop, SIGTERM);
	uv_signal_start(&entry->on_int, on_stop, SIGINT);
	uv_signal_start(&entry->on_hup, on_reload, SIGHUP);
	uv_timer_start(&entry->tick, on_tick, TICK_MS, TICK_MS);
	g_snprintf(metrics, sizeof(metrics), "%s:%d", entry->settings.host, entry->metrics_port);
	entry->caller_listener = cw_listener_create(&entry->loop, entry->settings.callers_listen,
						    &caller_ops, entry, &error);
	if (entry->caller_listener)
		entry->ready_listener = cw_listener_create(
			&entry->loop, entry->settings.ready_listen, &ready_ops, entry, &error);
	if (entry->ready_listener)
		entry->metrics_listener =
			cw_listener_create(&entry->loop, metrics, &metrics_ops, entry, &error);
	if (entry->metrics_listener) {
		entry_limit_listener(entry, entry->caller_listener);
		entry_limit_listener(entry, entry->ready_listener);
		entry_limit_listener(entry, entry->metrics_listener);
		entry->peers = peers_create(entry, &error);
	}
	if (entry->peers)
		entry->feed = feed_create(entry, &error);
	if (entry->feed) {
		entry_limit_sockets(entry);
		return 0;
	}
	cw_warn("entry", "listen_failed", "address=%s message=\"%s\"", error.peer, error.message);
	return EXIT_LISTEN_FAILED;
}

static void on_request(void *context, struct cw_caller *caller, struct cw_message *request)
{
	relay_start(context, caller, request);
}

static void on_ready_request(void *context, struct cw_caller *caller, struct cw_message *request)
{
	struct entry *entry = context;
	unsigned int status = HTTP_STATUS_NOT_FOUND;

	if (cw_up_is_readiness_probe(request))
		status = entry_is_ready(entry) ? HTTP_STATUS_OK : HTTP_STATUS_SERVICE_UNAVAILABLE;
	cw_caller_send_head(caller, status, "", 0);
	cw_caller_end_answer(caller);
}

static void on_metrics_request(void *context, struct cw_caller *caller, struct cw_message *request)
{
	char *text;

	reports_update_gauges(context);
	load_update_gauges(context);
	kept_update_gauges(context);
	bodies_update_gauges(context);
	limits_update_gauges(context);
	text = cw_counters_format();
	cw_caller_send_head(caller, HTTP_STATUS_OK, "Content-Type: text/plain; version=0.0.4\r\n",
			    (int64_t)strlen(text));
	cw_caller_send_body(caller, text, strlen(text));
	cw_caller_end_answer(caller);
	g_free(text);
}

static void on_unreadable_request(void *context, unsigned int status, const char *reason)
{
	cw_counter_add("unreadable_requests", "", 1);
	if (rejects_may_log(context, REJECT_UNREADABLE))
		cw_warn("entry", "unreadable_request", "status=%u reason=\"%s\"", status, reason);
}

static void ignore_event(void *request)
{
}

/*
 * Begins a graceful stop. Readiness fails, so the platform opens no new connections; requests on
 * open connections are answered, and each answer announces that its connection closes. The process
 * ends when no request has come for STOP_IDLE_MS.
 */
static void on_stop(uv_signal_t *handle, int number)
{
	struct entry *entry = handle->data;

	if (entry->stop_requested_ms)
		return;
	entry->stop_requested_ms = entry_now_ms(entry);
	cw_listener_start_draining(entry->caller_listener);
	cw_event("entry", "stopping", "signal=%d running=%zu connections=%zu", number,
		 entry->relay_count, cw_listener_count_connections(entry->caller_listener));
}

static void on_reload(uv_signal_t *handle, int number)
{
	struct entry *entry = handle->data;
	const char *file = cw_up_settings_path();
	struct cw_up_settings settings;
	struct cw_error error = {0};

	if (cw_up_settings_load(file, &settings, &error) != CW_OK) {
		cw_warn("entry", "reload_refused", "message=\"%s\"", error.message);
		return;
	}
	cw_event("entry", "reloaded", "file=%s", file);
	cw_up_settings_clear(&settings);
	(void)entry;
}

static void on_tick(uv_timer_t *timer)
{
	struct entry *entry = timer->data;
	int64_t now_ms = entry_now_ms(entry);
	int64_t since_stop_ms = now_ms - entry->stop_requested_ms;
	int is_ready = entry_is_ready(entry);

	if (is_ready != entry->was_ready)
		cw_event("entry", is_ready ? "ready" : "not_ready", "running=%zu",
			 entry->relay_count);
	entry->was_ready = is_ready;
	feed_tick(entry->feed, now_ms);
	reach_tick(entry, now_ms);
	rejects_tick(entry, now_ms);
	if (entry->tick_count++ % LOG_FLUSH_TICKS == 0)
		cw_timeline_flush();
	if (!entry->stop_requested_ms)
		return;
	/* A request that comes later could not finish before the platform kills the process. */
	if (since_stop_ms >= STOP_ACCEPT_MS)
		cw_listener_close(entry->caller_listener);
	if (since_stop_ms < entry->settings.stop_grace_ms - STOP_MARGIN_MS &&
	    (since_stop_ms < STOP_ACCEPT_MS || is_busy(entry) ||
	     now_ms - entry->last_request_ms < STOP_IDLE_MS))
		return;
	if (is_busy(entry))
		cw_warn("entry", "stop_cuts_answers", "running=%zu unwritten_bytes=%zu",
			entry->relay_count, unwritten_bytes(entry));
	uv_stop(&entry->loop);
}

/* An answer is not over before its bytes are written. */
static int is_busy(const struct entry *entry)
{
	return entry->relay_count > 0 || forwards_count(entry->forwards) > 0 ||
	       unwritten_bytes(entry) > 0;
}

static size_t unwritten_bytes(const struct entry *entry)
{
	return cw_listener_unwritten_bytes(entry->caller_listener) +
	       feed_unwritten_bytes(entry->feed);
}

static void close_all(struct entry *entry)
{
	relay_abort_all(entry);
	forwards_destroy(entry->forwards);
	peers_destroy(entry->peers);
	backlogs_destroy(entry->backlogs);
	feed_destroy(entry->feed);
	cw_listener_destroy(entry->caller_listener);
	cw_listener_destroy(entry->ready_listener);
	cw_listener_destroy(entry->metrics_listener);
	cw_client_destroy(entry->server_client);
	uv_close((uv_handle_t *)&entry->on_term, NULL);
	uv_close((uv_handle_t *)&entry->on_int, NULL);
	uv_close((uv_handle_t *)&entry->on_hup, NULL);
	uv_close((uv_handle_t *)&entry->tick, NULL);
	/* All handles are closing: the loop returns when the last one is closed. */
	uv_run(&entry->loop, UV_RUN_DEFAULT);
	uv_loop_close(&entry->loop);
	cw_quota_destroy(entry->quota);
	cw_gate_destroy(entry->gate);
	cw_up_settings_clear(&entry->settings);
}
