/*
 * The datagram that instances send each other several times a second: live members, the versions of
 * the sender's state, its load on the backend servers, the progress of roll-outs, poison requests,
 * drained failure domains. Encoded with ONC RPC's XDR. A lost or old datagram does no harm, since
 * the next one carries the state again.
 */
#ifndef CW_GOSSIP_H
#define CW_GOSSIP_H

#include "cw_backlog.h"
#include "cw_drain.h"
#include "cw_follow.h"
#include "cw_quarantine.h"
#include "cw_rollout.h"
#include "cw_tail.h"
#include "cw_status.h"

#include <stddef.h>
#include <stdint.h>

#define CW_GOSSIP_BYTES		   (16 * 1024) /* of one datagram, at most */
#define CW_GOSSIP_MEMBERS	   24	       /* named in one message, at most */
#define CW_GOSSIP_SERVERS	   128
#define CW_GOSSIP_ROLLOUTS	   4
#define CW_GOSSIP_TRIMMED_SESSIONS 16 /* of a roll-out, in a trimmed message */
#define CW_GOSSIP_REMOTE_FANOUT	   2  /* recipients in other domains per round, in a small domain */
#define CW_GOSSIP_NO_AGE	   UINT32_MAX /* the sender has no server list, or leaves it out */
#define CW_GOSSIP_SMALL_DOMAIN	   20 /* instances; a larger domain sends as much as one so large */

struct cw_gossip_member {
	char instance[CW_NAME_MAX];
	char failure_domain[CW_NAME_MAX];
	char address[CW_ADDRESS_MAX];
	uint32_t age_ms; /* since its last sign of life, to the sender or to others */
};

/* Load that the sender has in progress at one backend server. */
struct cw_gossip_load {
	uint64_t server;  /* cw_server.id */
	uint32_t running; /* requests */
	uint32_t work_ms; /* of prompts that wait for prefill, less what the clock has worked off */
};

struct cw_gossip {
	struct cw_gossip_member sender;
	uint64_t boot; /* drawn at each start */
	int is_leaving;
	uint64_t config_version;
	uint64_t store_era; /* the newest era that the sender knows of; an instance of an earlier
			       build names none, also not in the positions below */
	struct cw_position operator_next; /* the sender's read position in the operator's topic */
	struct cw_position servers_next;  /* the sender's read position in the server list */
	uint32_t servers_age_ms;	  /* since the server list was known to be current */
	struct cw_follow_evidence servers_evidence;
	size_t change_count; /* all records from the first one's offset to servers_next */
	struct cw_change changes[CW_FOLLOW_CHANGES];
	size_t member_count;
	struct cw_gossip_member members[CW_GOSSIP_MEMBERS];
	size_t load_count;
	struct cw_gossip_load loads[CW_GOSSIP_SERVERS];
	size_t rollout_count;
	struct cw_rollout_announcement rollouts[CW_GOSSIP_ROLLOUTS];
	size_t crash_count;
	struct cw_quarantine_crash crashes[CW_QUARANTINE_CRASHES_MAX];
	size_t quarantined_count;
	struct cw_quarantine_record quarantined[CW_QUARANTINE_RECORDS_MAX];
	size_t drain_count;
	struct cw_drain_order drains[CW_DRAINS_MAX]; /* withdrawn ones included */
	uint64_t forward_key;	/* see cw_member; an instance of an earlier build sends neither */
	int is_partitioned;	/* the sender reaches no backend server itself */
	uint32_t load_sequence; /* of the loads, counted with cw_gossip_backlogs; 0: without shares,
				   as a trimmed message and one of an earlier build */
	struct cw_backlog_share shares[CW_GOSSIP_SERVERS]; /* of the loads, in their order */
};

/* Snapshot of the server list, for an instance that can't read it from the shared store. */
struct cw_gossip_list {
	uint64_t next_offset; /* of the next record; the era is sent beside the snapshot */
	uint32_t age_ms;
	size_t count;
	struct cw_server_entry *entries;
	size_t held_count;
	struct cw_server_entry *held; /* entries that the sender holds; see cw_pool_begin_era() */
};

/* Reply to a peer that has missed records: all from its offset up to peer_report.next, whose era
 * is sent beside the reply. */
struct cw_gossip_changes {
	struct cw_follow_report peer_report;
	size_t count;
	struct cw_change *changes;
};

char *cw_gossip_changes_encode(const struct cw_gossip_changes *changes, size_t *size); /* g_free */
enum cw_status
cw_gossip_changes_decode(const char *bytes, size_t size,
			 struct cw_gossip_changes *changes); /* g_free(changes->changes) */
char *cw_gossip_list_encode(const struct cw_gossip_list *list, size_t *size); /* g_free */
enum cw_status cw_gossip_list_decode(const char *bytes, size_t size, struct cw_gossip_list *list);
void cw_gossip_list_clear(struct cw_gossip_list *list); /* frees the entries */
void cw_gossip_trim(struct cw_gossip *gossip); /* keeps only what all instances need at once */
void cw_gossip_add_delay(struct cw_gossip *gossip,
			 uint32_t delay_ms); /* a received message: makes its ages count from now */
size_t cw_gossip_encode(const struct cw_gossip *gossip, char *bytes,
			size_t size); /* 0: it does not fit */
enum cw_status cw_gossip_decode(const char *bytes, size_t size, struct cw_gossip *gossip);

/* Recipients in other domains, for one of own_domain instances of a domain; random: any number. */
size_t cw_gossip_remote_fanout(size_t own_domain, uint64_t random);

#endif
