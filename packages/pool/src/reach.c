/*
 * Can a server be reached? A cut shows as silence, and so does a server that reads a long prompt.
 * A connection that opens, or does not, tells them apart in two ways of the network.
 */
#include "pool_internal.h"

#include <glib.h>
#include <string.h>

#define JUST_HEARD_MS 200  /* less than the time it takes to notice that a server is cut off */
#define CRASH_MS      1000 /* what breaks within it broke by one crash */
#define AGAIN_MS      300  /* an unreachable server is back in use within it */
#define AGAIN_MAX_MS  2400 /* a server that is only slow isn't met by ever more connections */

void cw_pool_heard(struct cw_server *server, int64_t now_ms)
{
	server->heard_ms = now_ms;
	server->probe_gap_ms = 0;
	server->is_unreachable = 0;
	server->is_doubted = 0;
}

/*
 * A server that crashes breaks all of its requests in one moment: one fault, and not fifty of the
 * version that it ran. Counted singly, the crash of the one server on which a good new version was
 * tried under load (55 requests, 14 on all old ones) took that version back.
 */
int cw_pool_broke(struct cw_server *server, int64_t now_ms)
{
	if (server->broke_ms && now_ms - server->broke_ms < CRASH_MS)
		return 0;
	server->broke_ms = now_ms;
	return 1;
}

/* It may have started again, unseen, and an entry that tells so be on its way. */
void cw_pool_reached(struct cw_server *server, int64_t now_ms)
{
	if (server->is_unreachable)
		cw_warmup_away(&server->warmup, now_ms);
	server->is_unreachable = 0;
	server->is_doubted = 0;
	server->probe_gap_ms = MIN(MAX(server->probe_gap_ms * 2, AGAIN_MS), AGAIN_MAX_MS);
}

void cw_pool_unheard(struct cw_server *server)
{
	pool_activate(server);
	server->is_unreachable = 1;
	server->is_doubted = 0;
	server->probe_gap_ms = 0;
}

/*
 * A request that leaves an unreachable server for another one behind the same cut loses its time
 * and an attempt. Behind the cut may be the server's failure domain or, seen from inside, all
 * others; whoever was not heard just now waits for the answer to a probe, which takes two ways.
 */
size_t cw_pool_doubt(struct cw_pool *pool, const struct cw_server *unreachable,
		     const char *own_domain, struct cw_server **doubted, size_t max, int64_t now_ms)
{
	int is_own = !strcmp(unreachable->failure_domain, own_domain);
	struct cw_server *server;
	size_t count = 0;

	if (unreachable->policy->doubt_beside <= 0)
		return 0;
	TAILQ_FOREACH(server, cw_pool_servers(pool), link) {
		int is_beside = !strcmp(server->failure_domain, unreachable->failure_domain);
		int is_far = !is_own && strcmp(server->failure_domain, own_domain) != 0;

		if (server->gone || server->is_unreachable || server->is_doubted || count == max ||
		    !(is_beside || is_far) || now_ms - server->heard_ms < JUST_HEARD_MS)
			continue;
		pool_activate(server);
		server->is_doubted = 1;
		server->probed_ms = now_ms;
		doubted[count++] = server;
	}
	return count;
}

int cw_pool_wants_probe(const struct cw_server *server, int64_t now_ms)
{
	if (server->gone || now_ms - server->probed_ms < MAX(server->probe_gap_ms, AGAIN_MS))
		return 0;
	if (server->is_unreachable)
		return 1;
	return server->own_running > 0 &&
	       now_ms - MAX(server->heard_ms, server->sent_ms) >= server->policy->quiet_ms;
}
