/*
 * What the sender has in progress at a few backend servers, in a small datagram that instances send
 * each other at once when a long prompt was sent or begun. It holds states, not changes, so a lost
 * or repeated one does no harm: the next round of gossip carries them again.
 */
#ifndef CW_GOSSIP_BACKLOGS_H
#define CW_GOSSIP_BACKLOGS_H

#include "cw_backlog_peers.h"
#include "cw_status.h"

#include <stddef.h>
#include <stdint.h>

#define CW_GOSSIP_BACKLOGS	 16  /* servers in one message, at most */
#define CW_GOSSIP_BACKLOGS_BYTES 512 /* of one message, at most */

struct cw_gossip_backlogs {
	uint64_t instance; /* hash of the sender's name */
	uint64_t boot;	   /* as in the sender's announcements */
	uint32_t sequence; /* counted with its announcements */
	size_t count;	   /* unless so many fit no more, all servers with long unread prompts */
	struct cw_backlog_report reports[CW_GOSSIP_BACKLOGS];
};

size_t cw_gossip_encode_backlogs(const struct cw_gossip_backlogs *message, char *bytes,
				 size_t size); /* 0: it does not fit */
enum cw_status cw_gossip_decode_backlogs(const char *bytes, size_t size,
					 struct cw_gossip_backlogs *message);

#endif
