/* Probes silent backend servers, and moves requests away from servers that are unreachable. */
#include "cw_counters.h"
#include "cw_timeline.h"
#include "entry.h"

#define PROBE_ATTEMPTS		2   /* failed in a row: a single SYN may be lost by chance */
#define PROBE_TIMEOUT_MS	100 /* to connect: paths of 1 ms, and the accept of a busy server */
#define CRASH_PROBE_INTERVAL_MS 300 /* between probes of a server whose connections broke */
#define SUSPECTS_MAX		128 /* suspected servers that are probed at once */

/* A probe in progress; the pool may remove the server before its result. */
struct probe {
	struct entry *entry;
	uint64_t server_id;
	int64_t probed_ms;
	int attempt; /* 1 for the first probe in a row */
};

static void start_probe(struct entry *entry, const struct cw_server *server, int attempt);
static void on_probe_done(void *context, const char *address, int is_reachable);
static void on_crash_probe_done(void *context, const char *address, int is_reachable);
static void probe_suspects(struct entry *entry, const struct cw_server *unreachable,
			   int64_t now_ms);

/*
 * A network partition closes no connection: the callers of streams from the other side wait for
 * seconds, and new requests are still sent there. A server that has requests in progress and has
 * been silent is probed at once, and a second time if that fails, because a single SYN may be lost
 * by chance. If no connection opens, requests that may be retried move to other servers.
 */
void reach_probe_silent(struct entry *entry, int64_t now_ms)
{
	struct cw_server *server;

	TAILQ_FOREACH(server, cw_pool_active(cw_gate_pool(entry->gate)), active_link) {
		if (!cw_pool_needs_probe(server, now_ms))
			continue;
		server->probed_ms = now_ms;
		start_probe(entry, server, server->is_unreachable ? PROBE_ATTEMPTS : 1);
	}
}

/*
 * The connection of a request broke. Probes whether the server's process has terminated, in which
 * case it accepts no connection, or has closed only that one.
 */
void reach_probe_crashed(struct entry *entry, struct cw_server *server)
{
	int64_t now_ms = entry_now_ms(entry);
	struct probe *probe;

	if (server->crash_probed_ms && now_ms - server->crash_probed_ms < CRASH_PROBE_INTERVAL_MS)
		return;
	server->crash_probed_ms = now_ms;
	probe = g_new0(struct probe, 1);
	probe->entry = entry;
	probe->server_id = server->id;
	cw_counter_add("server_probes", "", 1);
	cw_client_probe(entry->server_client, server->address, PROBE_TIMEOUT_MS,
			on_crash_probe_done, probe);
}

static void start_probe(struct entry *entry, const struct cw_server *server, int attempt)
{
	struct probe *probe = g_new0(struct probe, 1);

	probe->entry = entry;
	probe->server_id = server->id;
	probe->probed_ms = server->probed_ms;
	probe->attempt = attempt;
	cw_counter_add("server_probes", "", 1);
	cw_client_probe(entry->server_client, server->address, PROBE_TIMEOUT_MS, on_probe_done,
			probe);
}

static void on_probe_done(void *context, const char *address, int is_reachable)
{
	struct probe *probe = context;
	struct entry *entry = probe->entry;
	struct cw_server *server = cw_pool_find(cw_gate_pool(entry->gate), probe->server_id);
	int64_t now_ms = entry_now_ms(entry);

	/* Bytes received meanwhile, or the connection of another probe, outweigh a failure. */
	if (server && is_reachable) {
		if (server->is_unreachable)
			cw_event("gate", "server_reachable", "server=%s address=%s", server->name,
				 address);
		cw_pool_mark_reachable(server, now_ms);
	} else if (server && server->last_seen_ms < probe->probed_ms &&
		   probe->attempt < PROBE_ATTEMPTS) {
		start_probe(entry, server, probe->attempt + 1);
	} else if (server && server->last_seen_ms < probe->probed_ms && !server->is_unreachable) {
		cw_warn("gate", "server_unreachable",
			"server=%s address=%s domain=%s running=%u heard_ms_ago=%ld", server->name,
			address, server->failure_domain, server->own_running,
			(long)(now_ms - server->last_seen_ms));
		cw_pool_mark_unreachable(server);
		probe_suspects(entry, server, now_ms);
		relay_fail_unreachable(entry, server);
	}
	g_free(probe);
}

static void on_crash_probe_done(void *context, const char *address, int is_reachable)
{
	struct probe *probe = context;

	if (!is_reachable)
		cw_quarantine_note_unreachable(cw_gate_quarantine(probe->entry->gate),
					       probe->server_id, entry_now_ms(probe->entry));
	g_free(probe);
}

static void probe_suspects(struct entry *entry, const struct cw_server *unreachable, int64_t now_ms)
{
	struct cw_server *suspects[SUSPECTS_MAX];
	size_t count = cw_pool_mark_suspects(cw_gate_pool(entry->gate), unreachable,
					     entry->settings.failure_domain, suspects, SUSPECTS_MAX,
					     now_ms);

	for (size_t i = 0; i < count; i++)
		start_probe(entry, suspects[i], 1);
}
