/* Can backend servers be reached? Those that fell silent are probed, and left if none answers. */
#include "cw_counters.h"
#include "cw_timeline.h"
#include "entry.h"

#define PROBE_ATTEMPTS                                                                             \
	2 /* that fail one after another: one opening packet may be lost by chance                 \
	   */
#define PROBE_TIMEOUT_MS	100 /* for a connection: ways of 1 ms, and a busy server's accept */
#define CRASH_PROBE_INTERVAL_MS 300 /* a server that broke requests is tried so often at most */
#define SUSPECTS_MAX		128 /* servers probed at once */

/* A start_probe under way; the server may be forgotten before its answer. */
struct probe {
	struct entry *entry;
	uint64_t server_id;
	int64_t probed_ms;
	int attempt; /* of the start_probe, 1 the first */
};

static void start_probe(struct entry *entry, const struct cw_server *server, int attempt);
static void on_probe_done(void *context, const char *address, int is_reachable);
static void on_crash_probe_done(void *context, const char *address, int is_reachable);
static void probe_suspects(struct entry *entry, const struct cw_server *unreachable,
			   int64_t now_ms);

/*
 * A failure domain that is cut off takes its streams along without a word: their callers wait for
 * seconds, and new requests are still sent there. A server with requests under way that has been
 * silent is probed twice at once, as one opening packet may be lost by chance; if neither opens,
 * what may be repeated goes on elsewhere.
 */
void reach_probe_silent(struct entry *entry, int64_t now_ms)
{
	struct cw_server *server;

	TAILQ_FOREACH(server, cw_pool_active(cw_gate_pool(entry->gate)), active_link) {
		if (!cw_pool_wants_probe(server, now_ms))
			continue;
		server->probed_ms = now_ms;
		start_probe(entry, server, server->is_unreachable ? PROBE_ATTEMPTS : 1);
	}
}

/* A request broke: did its server end, or only drop a connection? One that ended takes no other. */
void reach_probe_crashed(struct entry *entry, struct cw_server *server)
{
	int64_t now_ms = entry_now_ms(entry);
	struct probe *probe;

	if (server->end_tried_ms && now_ms - server->end_tried_ms < CRASH_PROBE_INTERVAL_MS)
		return;
	server->end_tried_ms = now_ms;
	probe = g_new0(struct probe, 1);
	probe->entry = entry;
	probe->server_id = server->id;
	cw_count("server_probes", "", 1);
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
	cw_count("server_probes", "", 1);
	cw_client_probe(entry->server_client, server->address, PROBE_TIMEOUT_MS, on_probe_done,
			probe);
}

static void on_probe_done(void *context, const char *address, int is_reachable)
{
	struct probe *probe = context;
	struct entry *entry = probe->entry;
	struct cw_server *server = cw_pool_find(cw_gate_pool(entry->gate), probe->server_id);
	int64_t now_ms = entry_now_ms(entry);

	/* Bytes that came meanwhile, or the other start_probe's connection, say more than this
	 * failure.
	 */
	if (server && is_reachable) {
		if (server->is_unreachable)
			cw_event("gate", "server_reachable", "server=%s address=%s", server->name,
				 address);
		cw_pool_reached(server, now_ms);
	} else if (server && server->heard_ms < probe->probed_ms &&
		   probe->attempt < PROBE_ATTEMPTS) {
		start_probe(entry, server, probe->attempt + 1);
	} else if (server && server->heard_ms < probe->probed_ms && !server->is_unreachable) {
		cw_warn("gate", "server_unreachable",
			"server=%s address=%s domain=%s running=%u heard_ms_ago=%ld", server->name,
			address, server->failure_domain, server->own_running,
			(long)(now_ms - server->heard_ms));
		cw_pool_unheard(server);
		probe_suspects(entry, server, now_ms);
		relay_fail_unreachable(entry, server);
	}
	g_free(probe);
}

static void on_crash_probe_done(void *context, const char *address, int is_reachable)
{
	struct probe *probe = context;

	if (!is_reachable)
		cw_quarantine_gone(cw_gate_quarantine(probe->entry->gate), probe->server_id,
				   entry_now_ms(probe->entry));
	g_free(probe);
}

static void probe_suspects(struct entry *entry, const struct cw_server *unreachable, int64_t now_ms)
{
	struct cw_server *suspects[SUSPECTS_MAX];
	size_t count =
		cw_pool_doubt(cw_gate_pool(entry->gate), unreachable,
			      entry->settings.failure_domain, suspects, SUSPECTS_MAX, now_ms);

	for (size_t i = 0; i < count; i++)
		start_probe(entry, suspects[i], 1);
}
