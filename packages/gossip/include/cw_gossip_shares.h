/*
 * What organisations ask of one service at one instance, in a datagram of its own that instances
 * send each other while that service's room is scarce. A lost or old datagram does no harm, since
 * the next one replaces it.
 */
#ifndef CW_GOSSIP_SHARES_H
#define CW_GOSSIP_SHARES_H

#include "cw_config.h"
#include "cw_shares.h"
#include "cw_status.h"

#include <stddef.h>
#include <stdint.h>

struct cw_gossip_shares {
	char sender[CW_NAME_MAX];
	char service[CW_NAME_MAX];
	size_t count;
	struct cw_share_demand demands[CW_SHARES_ANNOUNCED];
};

size_t cw_gossip_encode_shares(const struct cw_gossip_shares *message, char *bytes,
			       size_t size); /* 0: it does not fit */
enum cw_status cw_gossip_decode_shares(const char *bytes, size_t size,
				       struct cw_gossip_shares *message);

#endif
