/* corianderwalk: the command line and the process of an instance. */
#include "daemon.h"
#include "entry.h"
#include "cw_http_client.h"
#include "cw_timeline.h"

#include <argtable2.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>
#include <sys/resource.h>
#include <unistd.h>

#define METRICS_PORT_DEFAULT 9464
#define EXIT_USAGE	     2
#define EXIT_LISTEN	     3
#define OPERATOR_BODY_MAX    4096
#define DESCRIPTOR_PARTS     3 /* of the descriptors: callers, operators, the rest */
#define POLL_US		     20000
#define CLOSE_TIMEOUT_MS     2000 /* for connections to close after the last answer */
#define LATE_REQUEST_WAIT_MS 250  /* for a request that arrives just as the last one ends */

/* Atomic: the signal may be delivered to any thread. */
static int is_stop_requested;

static void on_signal(int number);
static int run_on_platform(const char *policy_file, int metrics_port);
static int load_policy(const char *file, struct cw_policy *policy);
static int print_policy(const char *file);
static int check_settings(const char *file, int is_check_only, struct cw_settings **settings);
static void fill_config(const struct cw_settings *settings, struct cw_node_config *config,
			struct cw_node_peer *peers, struct cw_node_server *servers);
static int start_listeners(struct daemon *daemon);
static unsigned int max_connections(const struct cw_settings *settings);
static void wait_for_stop(struct daemon *daemon);
static void drain_requests(struct daemon *daemon);
static void on_peer_message(void *context, const void *data, size_t size);
static int run_daemon(const struct cw_settings *settings);

int main(int argc, char **argv)
{
	struct arg_file *file =
		arg_file0(NULL, "settings", "FILE", "the settings of this instance");
	struct arg_lit *platform = arg_lit0(
		NULL, "platform",
		"run on the users' platform, with the settings file named by the environment");
	struct arg_int *metrics =
		arg_int0(NULL, "metrics-port", "PORT",
			 "with --platform: port that serves the metrics (default 9464)");
	struct arg_file *policy =
		arg_file0(NULL, "policy", "FILE",
			  "with --platform: values that differ from the default policy");
	struct arg_lit *print =
		arg_lit0(NULL, "print-policy", "print the policy, with units and bounds, and exit");
	struct arg_lit *check = arg_lit0(NULL, "check", "check the settings and exit");
	struct arg_lit *version = arg_lit0(NULL, "version", "print the version and exit");
	struct arg_lit *help = arg_lit0(NULL, "help", "print this help and exit");
	struct arg_end *end = arg_end(20);
	void *table[] = {file, platform, metrics, policy, print, check, version, help, end};
	struct cw_settings *settings = NULL;
	int errors;
	int code = 0;

	/* SIGHUP asks for a reload; its default action would terminate the process while it
	 * starts. */
	signal(SIGHUP, SIG_IGN);
	errors = arg_parse(argc, argv, table);

	if (help->count) {
		printf("corianderwalk: a model-aware router for versions and cascades\nusage: "
		       "corianderwalk");
		arg_print_syntax(stdout, table, "\n");
		arg_print_glossary(stdout, table, "  %-20s %s\n");
	} else if (version->count) {
		printf("corianderwalk %s\n", CW_VERSION);
	} else if (!errors && print->count) {
		code = print_policy(policy->count ? policy->filename[0] : NULL);
	} else if (!errors && platform->count) {
		code = run_on_platform(policy->count ? policy->filename[0] : NULL,
				       metrics->count ? metrics->ival[0] : METRICS_PORT_DEFAULT);
	} else if (errors || !file->count) {
		arg_print_errors(stderr, end, "corianderwalk");
		fprintf(stderr, "corianderwalk: --settings FILE is needed; --help tells more\n");
		code = EXIT_USAGE;
	} else {
		code = check_settings(file->filename[0], check->count, &settings);
		if (settings && !check->count)
			code = run_daemon(settings);
		cw_settings_destroy(settings);
	}
	arg_freetable(table, sizeof(table) / sizeof(table[0]));
	return code;
}

static int run_on_platform(const char *policy_file, int metrics_port)
{
	const char *file = cw_up_settings_path();
	struct cw_policy policy;

	if (load_policy(policy_file, &policy) != 0)
		return EXIT_USAGE;
	if (file)
		return entry_run(file, &policy, metrics_port);
	fprintf(stderr, "corianderwalk: the environment names no settings file\n");
	return EXIT_USAGE;
}

/* Without a file the default policy is used. All faults of the file are printed together. */
static int load_policy(const char *file, struct cw_policy *policy)
{
	GString *faults;
	int code = 0;

	*policy = *cw_policy_default();
	if (!file)
		return 0;
	faults = g_string_new(NULL);
	if (cw_policy_load(file, policy, faults) != CW_OK) {
		fprintf(stderr, "%s", faults->str);
		code = -1;
	}
	g_string_free(faults, TRUE);
	return code;
}

static int print_policy(const char *file)
{
	struct cw_policy policy;

	if (load_policy(file, &policy) != 0)
		return EXIT_USAGE;
	cw_policy_print(&policy, stdout);
	return 0;
}

static int check_settings(const char *file, int is_check_only, struct cw_settings **settings)
{
	char *faults;

	*settings = cw_settings_load(file, &faults);
	if (!*settings) {
		fprintf(stderr, "%s", faults);
		g_free(faults);
		return EXIT_USAGE;
	}
	if (is_check_only)
		printf("%s: ok\n", file);
	return 0;
}

static int run_daemon(const struct cw_settings *settings)
{
	struct daemon daemon = {.settings = settings};
	struct cw_node_config config = {0};
	struct cw_node_peer *peers = g_new0(struct cw_node_peer, settings->peer_count + 1);
	struct cw_node_server *servers = g_new0(struct cw_node_server, settings->server_count + 1);
	int code = 0;

	signal(SIGPIPE, SIG_IGN);
	signal(SIGTERM, on_signal);
	signal(SIGINT, on_signal);
	cw_timeline_open(settings->instance, settings->log_level);
	cw_http_open();
	fill_config(settings, &config, peers, servers);
	core_start(&daemon, &config);
	if (start_listeners(&daemon) == 0) {
		cw_event("node", "started", "failure_domain=%s version=%s",
			 settings->failure_domain, CW_VERSION);
		wait_for_stop(&daemon);
		drain_requests(&daemon);
	} else {
		code = EXIT_LISTEN;
	}
	cw_http_abort_calls();
	cw_http_server_destroy(daemon.callers);
	cw_http_server_destroy(daemon.operators);
	cw_peer_server_destroy(daemon.peers);
	core_stop(&daemon);
	cw_event("node", "exit", "code=%d", code);
	cw_http_close();
	cw_timeline_close();
	g_free(peers);
	g_free(servers);
	return code;
}

static void on_signal(int number)
{
	__atomic_store_n(&is_stop_requested, 1, __ATOMIC_RELEASE);
}

static void fill_config(const struct cw_settings *settings, struct cw_node_config *config,
			struct cw_node_peer *peers, struct cw_node_server *servers)
{
	cw_node_set_defaults(config);
	config->instance = settings->instance;
	config->failure_domain = settings->failure_domain;
	config->peer_address = settings->peer_address;
	memcpy(config->peer_key, settings->peer_key, CW_KEY_BYTES);
	cw_random_bytes(&config->boot, sizeof(config->boot));
	config->seed = (uint64_t)settings->seed;
	if (!config->seed)
		cw_random_bytes(&config->seed, sizeof(config->seed));
	for (size_t i = 0; i < settings->peer_count; i++) {
		peers[i].instance = settings->peers[i].instance;
		peers[i].failure_domain = settings->peers[i].failure_domain;
		peers[i].address = settings->peers[i].address;
	}
	for (size_t i = 0; i < settings->server_count; i++) {
		servers[i].name = settings->backend_servers[i].name;
		servers[i].service = settings->backend_servers[i].service;
		servers[i].address = settings->backend_servers[i].address;
		servers[i].failure_domain = settings->backend_servers[i].failure_domain;
		servers[i].checks_fencing = settings->backend_servers[i].checks_fencing;
	}
	config->peers = peers;
	config->peer_count = settings->peer_count;
	config->servers = servers;
	config->server_count = settings->server_count;
	config->choice = cw_choice_policy_find(settings->choice_policy);
	config->health = cw_health_policy_find(settings->health_policy);
	config->cascade = cw_cascade_policy_find(settings->cascade_policy);
	config->heartbeat_ms = settings->heartbeat_ms;
	config->gossip_bytes_per_s = settings->gossip_bytes_per_s;
	config->silent_ms = settings->silent_ms;
	config->claim_timeout_ms = settings->claim_timeout_ms;
	config->claim_window_ms = settings->claim_window_ms;
	config->bill_flush_ms = settings->bill_flush_ms;
	config->bill_hold_ms = settings->bill_hold_ms;
	config->restore_window_ms = settings->restore_window_ms;
	config->session_idle_ms = settings->session_idle_ms;
	config->session_ask_ms = settings->session_ask_ms;
	config->request_timeout_ms = settings->request_timeout_ms;
	config->first_wait_ms = settings->first_wait_ms;
	config->stop_grace_ms = settings->stop_grace_ms;
	config->log_retention_ms = settings->log_retention_ms;
	config->lease_ms = settings->lease_ms;
	config->load_poll_ms = settings->load_poll_ms;
}

static int start_listeners(struct daemon *daemon)
{
	const struct cw_settings *settings = daemon->settings;
	struct cw_http_server_options callers = {
		.address = settings->listen,
		.max_body = (size_t)settings->max_body_bytes,
		.idle_s = (unsigned int)settings->idle_s,
		.head_s = (unsigned int)settings->head_s,
		.body_s = (unsigned int)settings->body_s,
		.max_connections = max_connections(settings),
		.tls_cert = *settings->tls_cert ? settings->tls_cert : NULL,
		.tls_key = *settings->tls_cert ? settings->tls_key : NULL,
		.handle = callers_handle_request,
		.context = daemon,
	};
	struct cw_http_server_options operators = {
		.address = settings->operator_listen,
		.max_body = OPERATOR_BODY_MAX,
		.idle_s = (unsigned int)settings->idle_s,
		.head_s = (unsigned int)settings->head_s,
		.body_s = (unsigned int)settings->body_s,
		.max_connections = max_connections(settings),
		.handle = operators_handle_request,
		.context = daemon,
	};
	struct cw_error error = {0};

	daemon->peers =
		cw_peer_server_create(settings->peer_listen, on_peer_message, daemon, &error);
	if (daemon->peers)
		daemon->operators = cw_http_server_create(&operators, &error);
	if (daemon->operators)
		daemon->callers = cw_http_server_create(&callers, &error);
	if (daemon->callers)
		return 0;
	fprintf(stderr, "corianderwalk: %s: %s: %s\n", error.step, error.peer, error.message);
	return -1;
}

/* A third of the descriptors for callers and for operators each: the rest is for servers and peers.
 */
static unsigned int max_connections(const struct cw_settings *settings)
{
	int64_t wanted = settings->max_connections;
	struct rlimit limit;

	if (getrlimit(RLIMIT_NOFILE, &limit) || limit.rlim_cur == RLIM_INFINITY)
		return (unsigned int)wanted;
	return (unsigned int)MAX(MIN(wanted, (int64_t)limit.rlim_cur / DESCRIPTOR_PARTS), 1);
}

static void wait_for_stop(struct daemon *daemon)
{
	while (!__atomic_load_n(&is_stop_requested, __ATOMIC_ACQUIRE))
		usleep(POLL_US);
	core_post(daemon, message_create(CW_EVENT_STOP));
}

/*
 * A planned stop breaks no request: the node reports when its last request and bill are done. A
 * request that arrives on a keep-alive connection at that moment is still answered (with the code
 * "leaving"), so the listener closes first and the connections get time to end.
 */
static void drain_requests(struct daemon *daemon)
{
	int64_t stop_limit_us = g_get_monotonic_time() + daemon->settings->stop_limit_ms * 1000;
	int64_t close_limit_us;

	while (!__atomic_load_n(&daemon->is_stopped, __ATOMIC_ACQUIRE) &&
	       g_get_monotonic_time() < stop_limit_us)
		usleep(POLL_US);
	cw_http_server_stop_accepting(daemon->callers);
	close_limit_us = g_get_monotonic_time() + CLOSE_TIMEOUT_MS * 1000;
	while (cw_http_server_count_connections(daemon->callers) > 0 &&
	       g_get_monotonic_time() < close_limit_us)
		usleep(POLL_US);
	usleep(LATE_REQUEST_WAIT_MS * 1000);
	while (__atomic_load_n(&daemon->jobs_running, __ATOMIC_RELAXED) > 0 &&
	       g_get_monotonic_time() < stop_limit_us)
		usleep(POLL_US);
}

static void on_peer_message(void *context, const void *data, size_t size)
{
	struct daemon *daemon = context;
	struct message *message = message_create(CW_EVENT_PEER);

	message->text = g_malloc(size);
	memcpy(message->text, data, size);
	message->event.peer.data = message->text;
	message->event.peer.size = size;
	/* When the core's ring is full the message is dropped rather than block all peers: peers
	 * send their messages again. */
	if (core_try_post(daemon, message) != CW_OK)
		message_destroy(message);
}
