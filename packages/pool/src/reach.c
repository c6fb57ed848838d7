/*
 * Reachability of servers. A network partition shows as silence, and so does a server that
 * processes a long prompt. A probe connection distinguishes the two within one round trip.
 */
#include "pool_internal.h"

#include <glib.h>
#include <string.h>

#define RECENTLY_SEEN_MS      200  /* shorter than the detection of an unreachable server */
#define CRASH_WINDOW_MS	      1000 /* connections that break within this time are one crash */
#define PROBE_INTERVAL_MS     300  /* bounds the time until a reachable server is used again */
#define PROBE_INTERVAL_MAX_MS 2400 /* few probe connections to a server that is only slow */
#define SILENT_DOMAIN_SERVERS 2	   /* of a domain, silent together: cut off rather than working */

static int is_domain_silent(const struct cw_server *server, int64_t now_ms);

void cw_pool_mark_seen(struct cw_server *server, int64_t now_ms)
{
	server->last_seen_ms = now_ms;
	server->probe_gap_ms = 0;
	server->is_unreachable = 0;
	server->is_suspect = 0;
}

/*
 * A crash breaks all requests of a server at once and counts as one failure of its software
 * version. Counted per request, one crash of the only server that ran a good new version under load
 * (55 requests, against 14 on all servers of the old version) rolled that version back.
 */
int cw_pool_record_crash(struct cw_server *server, int64_t now_ms)
{
	if (server->crash_ms && now_ms - server->crash_ms < CRASH_WINDOW_MS)
		return 0;
	server->crash_ms = now_ms;
	return 1;
}

/* The server may have restarted while it was unreachable, and its new entry may not be here yet. */
void cw_pool_mark_reachable(struct cw_server *server, int64_t now_ms)
{
	if (server->is_unreachable)
		cw_warmup_assume_cold(&server->warmup, now_ms);
	server->is_unreachable = 0;
	server->is_suspect = 0;
	server->path = CW_PATH_DIRECT;
	server->probe_gap_ms =
		MIN(MAX(server->probe_gap_ms * 2, PROBE_INTERVAL_MS), PROBE_INTERVAL_MAX_MS);
}

void cw_pool_mark_unreachable(struct cw_server *server)
{
	pool_activate(server);
	if (server->path == CW_PATH_KEPT)
		server->path = CW_PATH_PEER;
	server->is_unreachable = 1;
	server->is_suspect = 0;
	server->probe_gap_ms = 0;
}

void cw_pool_mark_forwarded(struct cw_server *server, int is_refusing, int64_t now_ms)
{
	pool_activate(server);
	if (server->path == CW_PATH_DIRECT) {
		server->path = is_refusing ? CW_PATH_KEPT : CW_PATH_PEER;
		server->probed_ms = now_ms;
	}
	server->is_unreachable = 0;
	server->is_suspect = 0;
	server->probe_gap_ms = 0;
}

void cw_pool_begin_forward(struct cw_server *server, int64_t now_ms)
{
	pool_activate(server);
	server->peers_forwarded++;
	server->sent_ms = now_ms;
}

void cw_pool_end_forward(struct cw_server *server)
{
	server->peers_forwarded--;
}

/*
 * A request that moves from an unreachable server to another one behind the same network partition
 * loses time and an attempt. Behind the partition may be the failure domain of the server or, if
 * this instance's own domain is partitioned off, all other domains. Servers there that were not
 * seen recently get no requests until a probe is answered, which takes one round trip.
 */
size_t cw_pool_mark_suspects(struct cw_pool *pool, const struct cw_server *unreachable,
			     const char *own_domain, struct cw_server **suspects, size_t max,
			     int64_t now_ms)
{
	int is_own = !strcmp(unreachable->failure_domain, own_domain);
	struct cw_server *server;
	size_t count = 0;

	if (unreachable->policy->doubt_beside <= 0)
		return 0;
	TAILQ_FOREACH(server, cw_pool_servers(pool), link) {
		int is_same_domain = !strcmp(server->failure_domain, unreachable->failure_domain);
		int is_remote = !is_own && strcmp(server->failure_domain, own_domain) != 0;

		if (server->is_removed || server->is_unreachable || server->is_suspect ||
		    count == max || !(is_same_domain || is_remote) ||
		    now_ms - server->last_seen_ms < RECENTLY_SEEN_MS)
			continue;
		pool_activate(server);
		server->is_suspect = 1;
		server->probed_ms = now_ms;
		suspects[count++] = server;
	}
	return count;
}

int cw_pool_needs_probe(const struct cw_server *server, int64_t now_ms)
{
	if (server->is_removed ||
	    now_ms - server->probed_ms < MAX(server->probe_gap_ms, PROBE_INTERVAL_MS))
		return 0;
	if (server->is_unreachable || server->path != CW_PATH_DIRECT)
		return 1;
	return server->own_running + server->peers_forwarded > 0 &&
	       now_ms - cw_pool_silent_since_ms(server) >= server->policy->quiet_ms;
}

int64_t cw_pool_silent_since_ms(const struct cw_server *server)
{
	return MAX(server->last_seen_ms, server->sent_ms);
}

/*
 * Load pattern: streams of a large model whose events are 100 to 200 ms apart, and prompts that
 * take longer. Each such server is probed all the time, by a new connection, and two of three new
 * connections are probes. A server is therefore probed only when it is silent for quiet_ms longer
 * than its requests explain.
 */
int cw_pool_expects_silence(const struct cw_server *server, int64_t predicted_ms, int64_t now_ms)
{
	const struct cw_policy *policy = server->policy;
	double limit_ms = policy->quiet_ms + MIN((double)predicted_ms, policy->expected_silence_ms);

	if (server->is_unreachable || server->path != CW_PATH_DIRECT || server->peers_forwarded > 0)
		return 0;
	if (is_domain_silent(server, now_ms))
		return 0;
	return (double)(now_ms - cw_pool_silent_since_ms(server)) < limit_ms;
}

/*
 * Servers that fall silent together are cut off rather than working. One of them is probed at a
 * time; if it can't be reached, the others are suspects.
 */
static int is_domain_silent(const struct cw_server *server, int64_t now_ms)
{
	int64_t quiet_ms = (int64_t)server->policy->quiet_ms;
	const struct cw_server *other;
	size_t silent = 0;

	TAILQ_FOREACH(other, cw_pool_active(server->pool), active_link) {
		if (strcmp(other->failure_domain, server->failure_domain) != 0)
			continue;
		if (now_ms - other->last_seen_ms < quiet_ms ||
		    now_ms - other->probed_ms < PROBE_INTERVAL_MS)
			return 0;
		silent += other->own_running > 0 &&
			  now_ms - cw_pool_silent_since_ms(other) >= quiet_ms;
	}
	return silent >= SILENT_DOMAIN_SERVERS;
}
