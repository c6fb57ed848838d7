/*
 * What entry instances tell each other several times a second, in one datagram: who lives, how new
 * their knowledge is, what they have under way at the backend servers, how roll-outs go,
 * which requests end servers, which failure domains are drained. Encoded with ONC RPC's XDR; a
 * datagram that is lost or old does no harm, the next one follows.
 */
#ifndef CW_GOSSIP_H
#define CW_GOSSIP_H

#include "cw_drain.h"
#include "cw_follow.h"
#include "cw_quarantine.h"
#include "cw_rollout.h"
#include "cw_tail.h"
#include "cw_status.h"

#include <stddef.h>
#include <stdint.h>

#define CW_GOSSIP_BYTES	       (16 * 1024) /* of one datagram at most */
#define CW_GOSSIP_MEMBERS      24	   /* other instances named in one message, at most */
#define CW_GOSSIP_SERVERS      128
#define CW_GOSSIP_ROLLOUTS     4
#define CW_GOSSIP_CUT_SESSIONS 16 /* of a roll-out, in a message to all */
#define CW_GOSSIP_FOREIGN      2  /* instances of other domains told each time, in a small domain */
#define CW_GOSSIP_NO_AGE       UINT32_MAX /* the sender knows no list, or does not tell of it */
#define CW_GOSSIP_SMALL	       20 /* a domain of so many; a larger one sends no more than this one */

struct cw_gossip_member {
	char instance[CW_NAME_MAX];
	char failure_domain[CW_NAME_MAX];
	char address[CW_ADDRESS_MAX];
	uint32_t age_ms; /* since it was heard, by the sender or by others */
};

/* Work that the sender has under way at one backend server. */
struct cw_gossip_load {
	uint64_t server;  /* cw_server.id */
	uint32_t running; /* requests */
	uint32_t work_ms; /* of prompts that wait to be read */
};

struct cw_gossip {
	struct cw_gossip_member sender;
	uint64_t boot; /* drawn at each start */
	int is_leaving;
	uint64_t config_version;
	uint64_t operator_offset; /* how far the sender has read the store's topics */
	uint64_t servers_offset;
	uint32_t servers_age_ms; /* since it was known that nothing newer was there */
	struct cw_follow_proof servers_proof;
	size_t change_count; /* all records from the first one's offset to servers_offset */
	struct cw_change changes[CW_FOLLOW_CHANGES];
	size_t member_count;
	struct cw_gossip_member members[CW_GOSSIP_MEMBERS];
	size_t load_count;
	struct cw_gossip_load loads[CW_GOSSIP_SERVERS];
	size_t rollout_count;
	struct cw_rollout_announcement rollouts[CW_GOSSIP_ROLLOUTS];
	size_t end_count;
	struct cw_quarantine_end ends[CW_QUARANTINE_ENDS];
	size_t held_count;
	struct cw_quarantine_record held[CW_QUARANTINE_RECORDS];
	size_t drain_count;
	struct cw_drain_order drains[CW_DRAINS_MAX]; /* also those taken back */
};

/* The whole list of servers, for an instance that can't read it from the store. */
struct cw_gossip_list {
	uint64_t from; /* offset of the next record */
	uint32_t age_ms;
	size_t count;
	struct cw_server_entry *entries;
};

/* What a peer asks for that has missed records: all from an offset up to word.from. */
struct cw_gossip_changes {
	struct cw_follow_word word;
	size_t count;
	struct cw_change *changes;
};

char *cw_gossip_changes_encode(const struct cw_gossip_changes *changes, size_t *size); /* g_free */
enum cw_status
cw_gossip_changes_decode(const char *bytes, size_t size,
			 struct cw_gossip_changes *changes); /* g_free(changes->changes) */
char *cw_gossip_list_encode(const struct cw_gossip_list *list, size_t *size); /* g_free */
enum cw_status cw_gossip_list_decode(const char *bytes, size_t size,
				     struct cw_gossip_list *list); /* g_free(list->entries) */
void cw_gossip_cut(struct cw_gossip *gossip); /* to what all instances must hear at once */
size_t cw_gossip_encode(const struct cw_gossip *gossip, char *bytes,
			size_t size); /* 0: it does not fit */
enum cw_status cw_gossip_decode(const char *bytes, size_t size, struct cw_gossip *gossip);

/* How many instances of other domains one of own_domain instances tells now; random: any number. */
size_t cw_gossip_foreign_fanout(size_t own_domain, uint64_t random);

#endif
