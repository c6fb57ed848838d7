/*
 * Who hears of what: to whom an instance sends its messages, which others it names in them, what it
 * learns of others from them. Sans-I/O.
 */
#ifndef CW_AUDIENCE_H
#define CW_AUDIENCE_H

#include "cw_gossip.h"
#include "cw_membership.h"

#define CW_AUDIENCE_ALL 12 /* up to so many are all told each time */

/* Those that are told this time. */
struct cw_audience {
	struct cw_member **members;
	size_t count;	    /* of members: whole messages first, */
	size_t whole_count; /* so many of them; the others hear what is for all */
};

void cw_audience_choose(struct cw_audience *audience, const struct cw_membership *membership,
			const char *own_domain, uint64_t random); /* random: any number */
void cw_audience_clear(struct cw_audience *audience);
int cw_audience_needs_seeds(const struct cw_membership *membership,
			    int knows_enough); /* 1: they are told each time */

/*
 * Names the first by rendezvous of the key, and others in turn: more while many that this instance
 * hears of are new to it.
 */
void cw_gossip_name(struct cw_gossip *gossip, const struct cw_membership *membership, uint64_t key,
		    uint64_t random, int64_t now_ms);
struct cw_member *cw_gossip_learn(const struct cw_gossip *gossip, struct cw_membership *membership,
				  int *is_new,
				  int64_t now_ms); /* its sender, NULL: this instance, or no room;
						      is_new: its first word since it started */

#endif
