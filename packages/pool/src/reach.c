/*
 * Can a server be reached? A cut shows as silence, and so does a server that reads a long prompt.
 * A connection that opens, or does not, tells them apart in two ways of the network.
 */
#include "cw_pool.h"

#include <glib.h>

#define QUIET_MS     300  /* with a request under way: three times the usual gap between events */
#define AGAIN_MS     300  /* an unreachable server is back in use within it */
#define AGAIN_MAX_MS 2400 /* a server that is only slow isn't met by ever more connections */

void cw_pool_heard(struct cw_server *server, int64_t now_ms)
{
	server->heard_ms = now_ms;
	server->probe_gap_ms = 0;
	server->is_unreachable = 0;
}

void cw_pool_reached(struct cw_server *server)
{
	server->is_unreachable = 0;
	server->probe_gap_ms = MIN(MAX(server->probe_gap_ms * 2, AGAIN_MS), AGAIN_MAX_MS);
}

void cw_pool_unheard(struct cw_server *server)
{
	server->is_unreachable = 1;
	server->probe_gap_ms = 0;
}

int cw_pool_wants_probe(const struct cw_server *server, int64_t now_ms)
{
	if (server->gone || now_ms - server->probed_ms < MAX(server->probe_gap_ms, AGAIN_MS))
		return 0;
	if (server->is_unreachable)
		return 1;
	return server->own_running > 0 &&
	       now_ms - MAX(server->heard_ms, server->sent_ms) >= QUIET_MS;
}
