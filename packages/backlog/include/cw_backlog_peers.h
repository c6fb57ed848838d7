/*
 * The newest announcements of all peers on what they have in progress at backend servers. A peer
 * announces all its servers with each round of gossip, and single ones in between. Each message has
 * a sequence number of the peer's start, so that one that is lost, repeated or out of order does no
 * harm. Sans-I/O.
 */
#ifndef CW_BACKLOG_PEERS_H
#define CW_BACKLOG_PEERS_H

#include "cw_backlog.h"

#define CW_BACKLOG_SERVERS 128 /* of one peer, at most */

/* One peer's requests at one start of a server. */
struct cw_backlog_report {
	uint64_t server;
	struct cw_backlog_share share;
};

/* One message of a peer. */
struct cw_backlog_message {
	uint64_t instance;
	uint64_t boot;	   /* drawn at each start of the peer */
	uint32_t sequence; /* grows with each message of a start; 0: of an earlier build, or
			      trimmed: beside others of the start, only running counts of it */
	int is_complete;   /* names all servers at which the peer has requests */
	int names_unread;  /* names all servers at which it has unread prompts */
	size_t count;
	const struct cw_backlog_report *reports;
};

struct cw_backlog_peers;

struct cw_backlog_peers *cw_backlog_peers_create(void);
void cw_backlog_peers_destroy(struct cw_backlog_peers *peers);
int cw_backlog_peers_merge(struct cw_backlog_peers *peers, const struct cw_backlog_message *message,
			   int64_t now_ms); /* 0: older than what is known, or maybe of an earlier
					       start of the peer */
void cw_backlog_peers_expire(struct cw_backlog_peers *peers,
			     int64_t before_ms); /* drops what was not announced since then */
int cw_backlog_peers_sum(const struct cw_backlog_peers *peers, uint64_t server,
			 struct cw_backlog_share *sum); /* 0: no peer has requests there */
void cw_backlog_peers_each(const struct cw_backlog_peers *peers,
			   void (*visit)(void *context, uint64_t server,
					 const struct cw_backlog_share *sum),
			   void *context); /* every server in use, and once those just left */
size_t cw_backlog_peers_bytes(const struct cw_backlog_peers *peers); /* of memory, about */

#endif
