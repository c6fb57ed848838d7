/*
 * Rate limit for the state that an instance sends to peers on request: the same link carries the
 * answers to callers. Sans-I/O.
 */
#ifndef CW_UPLINK_H
#define CW_UPLINK_H

#include <stddef.h>
#include <stdint.h>

struct cw_uplink {
	double bytes_per_ms;  /* allowed for peers; 0: no limit */
	double busy_until_ms; /* end of the transfers that were admitted */
};

void cw_uplink_open(struct cw_uplink *uplink, double link_mbps); /* 0: unknown, no limit */
int cw_uplink_admits(const struct cw_uplink *uplink,
		     int64_t now_ms); /* 0: transfers are queued; the peer asks another instance */
void cw_uplink_add_transfer(struct cw_uplink *uplink, size_t bytes, int64_t now_ms);

#endif
