#include "cw_uplink.h"

#include <glib.h>

#define PEERS_PART     0.5   /* of the link; the rest is for callers */
#define WAITING_MS     100   /* of what was taken on before: a peer that asks waits no longer */
#define BYTES_PER_MBIT 125.0 /* in a millisecond */

void cw_uplink_open(struct cw_uplink *uplink, double link_mbps)
{
	uplink->bytes_per_ms = MAX(link_mbps, 0) * BYTES_PER_MBIT * PEERS_PART;
	uplink->busy_until_ms = 0;
}

/*
 * Load pattern: a thousand instances start at one moment, and all that are told of a list ask for
 * it. An instance that takes on all of them serves each so slowly that they give up, and its own
 * callers wait behind them. So it takes on a few, whose copies the others get next.
 */
int cw_uplink_admits(const struct cw_uplink *uplink, int64_t now_ms)
{
	return uplink->busy_until_ms <= (double)(now_ms + WAITING_MS);
}

void cw_uplink_sent(struct cw_uplink *uplink, size_t bytes, int64_t now_ms)
{
	if (uplink->bytes_per_ms <= 0)
		return;
	uplink->busy_until_ms =
		MAX(uplink->busy_until_ms, (double)now_ms) + (double)bytes / uplink->bytes_per_ms;
}
