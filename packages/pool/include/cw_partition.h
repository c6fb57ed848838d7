/*
 * Whether this instance is partitioned from all backend servers. Servers that end and links that
 * are cut look alike from one instance: connections break, new ones do not open. Several servers
 * lost in a row without a byte from any other make a partition likely; a peer that still reaches
 * one of them proves it. Sans-I/O.
 */
#ifndef CW_PARTITION_H
#define CW_PARTITION_H

#include <stddef.h>
#include <stdint.h>

#define CW_PARTITION_SERVERS                                                                       \
	2 /* lost since the last contact, from which on a partition is likely */

enum cw_partition_state {
	CW_PARTITION_NONE,
	CW_PARTITION_SUSPECTED, /* the servers may have ended instead */
	CW_PARTITION_CONFIRMED, /* a peer reaches servers that this instance does not reach */
};

struct cw_partition {
	enum cw_partition_state state;
	int64_t since_ms; /* of the state */
	uint64_t lost[CW_PARTITION_SERVERS];
	int is_charged[CW_PARTITION_SERVERS]; /* of each: a break there counts as a crash */
	size_t lost_count;		      /* different servers, since the last contact */
};

/* Each returns 1 if the state changed. */
int cw_partition_note_contact(struct cw_partition *partition,
			      int64_t now_ms); /* a byte or a new connection, directly */
int cw_partition_note_loss(struct cw_partition *partition, uint64_t server,
			   int64_t now_ms); /* a connection broke or did not open */
void cw_partition_note_charged(
	struct cw_partition *partition,
	uint64_t server); /* a connection to it broke, which was taken for a crash */
int cw_partition_note_forwarded(struct cw_partition *partition,
				int64_t now_ms); /* a peer reached a server that was lost */
int cw_partition_note_ended(struct cw_partition *partition,
			    int64_t now_ms); /* peers do not reach a server that was lost either */
int cw_partition_is_lost(const struct cw_partition *partition,
			 uint64_t server); /* 1: since the last contact */
int cw_partition_is_settled(const struct cw_partition *partition,
			    int64_t now_ms); /* 0: suspected for so short a time that a peer may
						still confirm it */
int cw_partition_is_cut_off(const struct cw_partition *partition,
			    int64_t now_ms); /* peers can't reach servers through this instance */

#endif
