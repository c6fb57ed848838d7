#include "cw_uplink.h"

#include <glib.h>

#define PEER_LINK_SHARE 0.5   /* of the link; the other half is for callers */
#define MAX_QUEUE_MS	100   /* longest queue of admitted transfers before a new one */
#define BYTES_PER_MBIT	125.0 /* bytes per ms at 1 Mbit/s */

void cw_uplink_open(struct cw_uplink *uplink, double link_mbps)
{
	uplink->bytes_per_ms = MAX(link_mbps, 0) * BYTES_PER_MBIT * PEER_LINK_SHARE;
	uplink->busy_until_ms = 0;
}

/*
 * Load pattern: a thousand instances start at one moment, and all that receive an announcement of a
 * list request it. An instance that admits all of them serves each so slowly that they time out,
 * and its own callers wait behind them. So it admits a few, and these serve the others next.
 */
int cw_uplink_admits(const struct cw_uplink *uplink, int64_t now_ms)
{
	return uplink->busy_until_ms <= (double)(now_ms + MAX_QUEUE_MS);
}

void cw_uplink_add_transfer(struct cw_uplink *uplink, size_t bytes, int64_t now_ms)
{
	if (uplink->bytes_per_ms <= 0)
		return;
	uplink->busy_until_ms =
		MAX(uplink->busy_until_ms, (double)now_ms) + (double)bytes / uplink->bytes_per_ms;
}
