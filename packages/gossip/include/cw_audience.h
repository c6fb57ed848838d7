/*
 * Selection of gossip recipients, of the members that a message names, and merging of the members
 * that a received message names. Sans-I/O.
 */
#ifndef CW_AUDIENCE_H
#define CW_AUDIENCE_H

#include "cw_gossip.h"
#include "cw_membership.h"

#define CW_AUDIENCE_FULL_FANOUT 12 /* up to this many other instances all get each full message */

/* Recipients of one gossip round. */
struct cw_audience {
	struct cw_member **members;
	size_t count;	   /* of members, the recipients of full messages first */
	size_t full_count; /* recipients of full messages; the others get trimmed ones */
};

void cw_audience_choose(struct cw_audience *audience, const struct cw_membership *membership,
			const char *own_domain, uint64_t random); /* random: any number */
void cw_audience_clear(struct cw_audience *audience);
int cw_audience_needs_seeds(const struct cw_membership *membership,
			    int knows_enough); /* 1: every round includes the seeds */

/*
 * Adds to a message the top-ranked members by rendezvous hashing of the key, and others in turn:
 * more of them while the membership grows.
 */
void cw_gossip_add_members(struct cw_gossip *gossip, const struct cw_membership *membership,
			   uint64_t key, uint64_t random, int64_t now_ms);
struct cw_member *
cw_gossip_merge_members(const struct cw_gossip *gossip, struct cw_membership *membership,
			int *is_new,
			int64_t now_ms); /* the sender; NULL: this instance, or no room;
					    is_new: first message since its start */

#endif
