/*
 * Whether backend servers can be reached: probes silent ones, moves requests away from servers that
 * are unreachable, and finds out whether this instance is partitioned from all of them.
 */
#include "cw_counters.h"
#include "cw_hash.h"
#include "cw_timeline.h"
#include "entry.h"
#include "entry_relay.h"

#define PROBE_ATTEMPTS		2   /* failed in a row: a single SYN may be lost by chance */
#define PROBE_TIMEOUT_MS	100 /* to connect: paths of 1 ms, and the accept of a busy server */
#define CRASH_PROBE_INTERVAL_MS 300 /* between probes of a server whose connections broke */
#define CONTACT_PROBES		4 /* other servers that are probed when a partition is suspected */
#define CONTACT_INTERVAL_MS	1000 /* and again, until one answers */
#define SUSPECTS_MAX		128  /* suspected servers that are probed at once */

/* A probe in progress; the pool may remove the server before its result. */
struct probe {
	struct entry *entry;
	uint64_t server_id;
	int64_t probed_ms;
	int attempt; /* 1 for the first probe in a row */
};

static void probe_silent(struct entry *entry, int64_t now_ms);
static int expects_silence(const struct entry *entry, const struct cw_server *server,
			   int64_t now_ms);
static void start_probe(struct entry *entry, const struct cw_server *server, int attempt);
static void on_probe_done(void *context, const char *address, enum cw_probe_result result);
static void mark_reachable(struct entry *entry, struct cw_server *server,
			   enum cw_probe_result result);
static void mark_unreachable(struct entry *entry, struct cw_server *server);
static void seek_contact(struct entry *entry, int64_t now_ms);
static void probe_others(struct entry *entry);
static void report_partition(struct entry *entry);
static void on_crash_probe_done(void *context, const char *address, enum cw_probe_result result);
static void probe_suspects(struct entry *entry, const struct cw_server *unreachable,
			   int64_t now_ms);

/*
 * A network partition closes no connection: the callers of streams from the other side wait for
 * seconds, and new requests are still sent there. A server that has requests in progress and has
 * been silent is probed at once, and a second time if that fails, because a single SYN may be lost
 * by chance. If no connection opens, requests that may be retried move to other servers.
 */
static void probe_silent(struct entry *entry, int64_t now_ms)
{
	struct cw_server *server;

	TAILQ_FOREACH(server, cw_pool_active(cw_gate_pool(entry->gate)), active_link) {
		if (!cw_pool_needs_probe(server, now_ms) || expects_silence(entry, server, now_ms))
			continue;
		server->probed_ms = now_ms;
		start_probe(entry, server, server->is_unreachable ? PROBE_ATTEMPTS : 1);
	}
}

/* By that of its requests whose next byte is predicted first. */
static int expects_silence(const struct entry *entry, const struct cw_server *server,
			   int64_t now_ms)
{
	int64_t since_ms = cw_pool_silent_since_ms(server);
	int64_t least_ms = INT64_MAX;
	const struct relay *relay;

	TAILQ_FOREACH(relay, &entry->relays, link)
		if (relay->exchange && cw_call_server(relay->call) == server)
			least_ms = MIN(least_ms, cw_call_silence_ms(relay->call, since_ms, now_ms));
	return least_ms < INT64_MAX && cw_pool_expects_silence(server, least_ms, now_ms);
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

static void on_probe_done(void *context, const char *address, enum cw_probe_result result)
{
	struct probe *probe = context;
	struct entry *entry = probe->entry;
	struct cw_server *server = cw_pool_find(cw_gate_pool(entry->gate), probe->server_id);
	int is_direct = server && server->path == CW_PATH_DIRECT;

	/* Bytes received meanwhile, or the connection of another probe, outweigh a failure. */
	if (server && (result == CW_PROBE_OPENED || (is_direct && result == CW_PROBE_REFUSED))) {
		mark_reachable(entry, server, result);
	} else if (server && server->path != CW_PATH_PEER && result == CW_PROBE_SILENT &&
		   server->last_seen_ms < probe->probed_ms) {
		if (probe->attempt < PROBE_ATTEMPTS)
			start_probe(entry, server, probe->attempt + 1);
		else if (!server->is_unreachable)
			mark_unreachable(entry, server);
	}
	g_free(probe);
}

/* A host that refuses the connection is up, but that is no contact with the server. */
static void mark_reachable(struct entry *entry, struct cw_server *server,
			   enum cw_probe_result result)
{
	int64_t now_ms = entry_now_ms(entry);

	if (server->is_unreachable || server->path != CW_PATH_DIRECT)
		cw_event("gate", "server_reachable", "server=%s address=%s", server->name,
			 server->address);
	cw_pool_mark_reachable(server, now_ms);
	if (result == CW_PROBE_OPENED && cw_gate_note_contact(entry->gate, now_ms))
		report_partition(entry);
}

static void mark_unreachable(struct entry *entry, struct cw_server *server)
{
	int64_t now_ms = entry_now_ms(entry);

	cw_warn("gate", "server_unreachable",
		"server=%s address=%s domain=%s running=%u heard_ms_ago=%ld", server->name,
		server->address, server->failure_domain, server->own_running,
		(long)(now_ms - server->last_seen_ms));
	reach_note_loss(entry, server);
	cw_pool_mark_unreachable(server);
	probe_suspects(entry, server, now_ms);
	relay_fail_unreachable(entry, server);
	forwards_fail_unreachable(entry->forwards, server);
}

void reach_note_contact(struct entry *entry, struct cw_server *server)
{
	int64_t now_ms = entry_now_ms(entry);

	cw_pool_mark_seen(server, now_ms);
	if (cw_gate_note_contact(entry->gate, now_ms))
		report_partition(entry);
}

void reach_note_loss(struct entry *entry, struct cw_server *server)
{
	if (!cw_gate_note_loss(entry->gate, server, entry_now_ms(entry)))
		return;
	report_partition(entry);
	probe_others(entry);
}

/* An instance without callers of its own would not notice the end of a partition. */
static void seek_contact(struct entry *entry, int64_t now_ms)
{
	const struct cw_partition *partition = cw_gate_partition(entry->gate);

	if (!cw_gate_needs_contact(entry->gate, now_ms) &&
	    (partition->state != CW_PARTITION_SUSPECTED ||
	     now_ms - entry->contact_sought_ms < CONTACT_INTERVAL_MS))
		return;
	probe_others(entry);
}

/* Several servers that end one after the other look like a partition until another one answers. */
static void probe_others(struct entry *entry)
{
	const struct cw_partition *partition = cw_gate_partition(entry->gate);
	int64_t now_ms = entry_now_ms(entry);
	int are_all_lost = cw_partition_is_cut_off(partition, now_ms);
	struct cw_server *chosen[CONTACT_PROBES];
	struct cw_server *server;
	size_t seen = 0;
	uint64_t seed;

	entry->contact_sought_ms = now_ms;
	cw_random_bytes(&seed, sizeof(seed));
	TAILQ_FOREACH(server, cw_pool_servers(cw_gate_pool(entry->gate)), link) {
		uint64_t random = cw_hash(&seen, sizeof(seen), seed);

		if (server->is_removed || server->is_unreachable ||
		    server->path != CW_PATH_DIRECT ||
		    (!are_all_lost && cw_partition_is_lost(partition, server->id)))
			continue;
		if (seen < CONTACT_PROBES)
			chosen[seen] = server;
		else if (random % (seen + 1) < CONTACT_PROBES)
			chosen[random % (seen + 1)] = server;
		seen++;
	}
	for (size_t i = 0; i < MIN(seen, CONTACT_PROBES); i++) {
		chosen[i]->probed_ms = now_ms;
		start_probe(entry, chosen[i], 1);
	}
}

/* One connection attempt may be lost by chance: probes decide. */
void reach_note_unanswered(struct entry *entry, struct cw_server *server)
{
	int64_t now_ms = entry_now_ms(entry);

	reach_note_loss(entry, server);
	if (now_ms - server->probed_ms < PROBE_TIMEOUT_MS * PROBE_ATTEMPTS)
		return;
	server->probed_ms = now_ms;
	start_probe(entry, server, 1);
}

void reach_note_forwarded(struct entry *entry, struct cw_server *server, int is_refusing)
{
	/* Connections that are open are dead too, unless new ones are refused. */
	if (server->path == CW_PATH_DIRECT) {
		cw_event("gate", "server_by_peer", "server=%s refusing=%d", server->name,
			 is_refusing);
		if (!is_refusing)
			cw_client_close_idle(entry->server_client, server->address);
	}
	if (cw_gate_note_forwarded(entry->gate, server, is_refusing, entry_now_ms(entry)))
		report_partition(entry);
}

void reach_note_ended(struct entry *entry)
{
	if (cw_gate_note_ended(entry->gate, entry_now_ms(entry)))
		report_partition(entry);
}

/* Announced at once, so that peers ask other instances to forward requests. */
static void report_partition(struct entry *entry)
{
	static const char *const state_names[] = {
		[CW_PARTITION_NONE] = "none",
		[CW_PARTITION_SUSPECTED] = "suspected",
		[CW_PARTITION_CONFIRMED] = "confirmed",
	};
	const struct cw_partition *partition = cw_gate_partition(entry->gate);

	cw_event("gate", "partition", "state=%s", state_names[partition->state]);
	if (partition->state == CW_PARTITION_CONFIRMED)
		cw_counter_add("partitions", "", 1);
	cw_gauge_set("partitioned", "", partition->state == CW_PARTITION_CONFIRMED);
	if (partition->state != CW_PARTITION_SUSPECTED)
		peers_announce(entry->peers);
}

void reach_tick(struct entry *entry, int64_t now_ms)
{
	cw_gate_settle_breaks(entry->gate, now_ms);
	seek_contact(entry, now_ms);
	probe_silent(entry, now_ms);
}

static void on_crash_probe_done(void *context, const char *address, enum cw_probe_result result)
{
	struct probe *probe = context;
	struct cw_gate *gate = probe->entry->gate;
	struct cw_server *server = cw_pool_find(cw_gate_pool(gate), probe->server_id);

	if (server && result != CW_PROBE_OPENED)
		cw_gate_note_unopened(gate, server, result == CW_PROBE_REFUSED,
				      entry_now_ms(probe->entry));
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
