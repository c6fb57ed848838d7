/* Can backend servers be reached? Those that fell silent are probed, and left if none answers. */
#include "cw_counters.h"
#include "cw_timeline.h"
#include "entry.h"

#define PROBES	     2	 /* that fail one after another: one opening packet may be lost by chance */
#define PROBE_MS     100 /* for a connection: ways of 1 ms, and a busy server's accept */
#define ENDED_TRY_MS 300 /* a server that broke requests is tried so often at most */
#define DOUBTED_MAX  128 /* servers probed at once */

/* A probe under way; the server may be forgotten before its answer. */
struct watch {
	struct entry *entry;
	uint64_t server;
	int64_t probed_ms;
	int number; /* of the probe, 1 the first */
};

static void probe(struct entry *entry, const struct cw_server *server, int number);
static void on_probed(void *context, const char *address, int is_reachable);
static void on_ended_tried(void *context, const char *address, int is_reachable);
static void probe_doubted(struct entry *entry, const struct cw_server *unreachable, int64_t now_ms);

/*
 * A failure domain that is cut off takes its streams along without a word: their callers wait for
 * seconds, and new requests are still sent there. A server with requests under way that has been
 * silent is probed twice at once, as one opening packet may be lost by chance; if neither opens,
 * what may be repeated goes on elsewhere.
 */
void reach_watch(struct entry *entry, int64_t now_ms)
{
	struct cw_server *server;

	TAILQ_FOREACH(server, cw_pool_active(cw_gate_pool(entry->gate)), active_link) {
		if (!cw_pool_needs_probe(server, now_ms))
			continue;
		server->probed_ms = now_ms;
		probe(entry, server, server->is_unreachable ? PROBES : 1);
	}
}

/* A request broke: did its server end, or only drop a connection? One that ended takes no other. */
void reach_try_ended(struct entry *entry, struct cw_server *server)
{
	int64_t now_ms = entry_now_ms(entry);
	struct watch *watch;

	if (server->crash_probed_ms && now_ms - server->crash_probed_ms < ENDED_TRY_MS)
		return;
	server->crash_probed_ms = now_ms;
	watch = g_new0(struct watch, 1);
	watch->entry = entry;
	watch->server = server->id;
	cw_count("server_probes", "", 1);
	cw_client_probe(entry->servers, server->address, PROBE_MS, on_ended_tried, watch);
}

static void probe(struct entry *entry, const struct cw_server *server, int number)
{
	struct watch *watch = g_new0(struct watch, 1);

	watch->entry = entry;
	watch->server = server->id;
	watch->probed_ms = server->probed_ms;
	watch->number = number;
	cw_count("server_probes", "", 1);
	cw_client_probe(entry->servers, server->address, PROBE_MS, on_probed, watch);
}

static void on_probed(void *context, const char *address, int is_reachable)
{
	struct watch *watch = context;
	struct entry *entry = watch->entry;
	struct cw_server *server = cw_pool_find(cw_gate_pool(entry->gate), watch->server);
	int64_t now_ms = entry_now_ms(entry);

	/* Bytes that came meanwhile, or the other probe's connection, say more than this failure.
	 */
	if (server && is_reachable) {
		if (server->is_unreachable)
			cw_event("gate", "server_reachable", "server=%s address=%s", server->name,
				 address);
		cw_pool_mark_reachable(server, now_ms);
	} else if (server && server->last_seen_ms < watch->probed_ms && watch->number < PROBES) {
		probe(entry, server, watch->number + 1);
	} else if (server && server->last_seen_ms < watch->probed_ms && !server->is_unreachable) {
		cw_warn("gate", "server_unreachable",
			"server=%s address=%s domain=%s running=%u heard_ms_ago=%ld", server->name,
			address, server->failure_domain, server->own_running,
			(long)(now_ms - server->last_seen_ms));
		cw_pool_mark_unreachable(server);
		probe_doubted(entry, server, now_ms);
		relay_leave_unreachable(entry, server);
	}
	g_free(watch);
}

static void on_ended_tried(void *context, const char *address, int is_reachable)
{
	struct watch *watch = context;

	if (!is_reachable)
		cw_quarantine_note_unreachable(cw_gate_quarantine(watch->entry->gate),
					       watch->server, entry_now_ms(watch->entry));
	g_free(watch);
}

static void probe_doubted(struct entry *entry, const struct cw_server *unreachable, int64_t now_ms)
{
	struct cw_server *doubted[DOUBTED_MAX];
	size_t count =
		cw_pool_mark_suspects(cw_gate_pool(entry->gate), unreachable,
				      entry->settings.failure_domain, doubted, DOUBTED_MAX, now_ms);

	for (size_t i = 0; i < count; i++)
		probe(entry, doubted[i], 1);
}
