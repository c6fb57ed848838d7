#include "cw_audience.h"
#include "cw_counters.h"
#include "cw_readers.h"

#include <glib.h>
#include <string.h>

#define OWN_FANOUT    6 /* of more neighbours, others each time */
#define NAMED_USUALLY 5
#define GROWING_MS    3000 /* since many became known: others start as well, and know few */
#define CUT_FANOUT    64   /* what is for all at once: two rounds reach a thousand */

static void learn_of(struct cw_membership *membership, const struct cw_gossip_member *told,
		     int64_t now_ms);

/* Some of a large system hear everything this time, a few more what is for all, if anything is. */
void cw_audience_choose(struct cw_audience *audience, const struct cw_membership *membership,
			const char *own_domain, uint64_t random)
{
	size_t known = cw_membership_size(membership);
	struct cw_member **members = g_new(struct cw_member *, known);
	struct cw_member **cut = g_new(struct cw_member *, known);
	size_t count = cw_membership_sample(membership, random, members, known);
	size_t own_left = OWN_FANOUT;
	size_t own_size = 1;
	size_t cut_count = 0;
	size_t other_left;

	for (size_t i = 0; i < count; i++)
		own_size += !strcmp(members[i]->failure_domain, own_domain);
	/* Not the bits that choose whom to tell: a part of the members would never be told. */
	other_left = cw_gossip_foreign_fanout(own_size, random >> 32);
	audience->members = members;
	audience->whole_count = 0;
	for (size_t i = 0; i < count; i++) {
		int is_own = !strcmp(members[i]->failure_domain, own_domain);
		size_t *left = is_own ? &own_left : &other_left;

		if (count <= CW_AUDIENCE_ALL || *left > 0)
			members[audience->whole_count++] = members[i];
		else if (cut_count < CUT_FANOUT)
			cut[cut_count++] = members[i];
		*left -= *left > 0;
	}
	for (size_t i = 0; i < cut_count; i++)
		members[audience->whole_count + i] = cut[i];
	audience->count = audience->whole_count + cut_count;
	g_free(cut);
}

void cw_audience_clear(struct cw_audience *audience)
{
	g_clear_pointer(&audience->members, g_free);
	audience->count = audience->whole_count = 0;
}

/*
 * Load pattern: a thousand instances start, and each tells three seeds that it knows nothing yet,
 * seven times a second. Whoever has heard of some others asks these instead.
 */
int cw_audience_needs_seeds(const struct cw_membership *membership, int knows_enough)
{
	return !knows_enough && cw_membership_size(membership) <= CW_AUDIENCE_ALL;
}

/*
 * The readers of the store are named each time, with others in turn. An instance that had not heard
 * of a reader for 2 s took its place: of 195, seven at a time read what two read for all.
 */
void cw_gossip_name(struct cw_gossip *gossip, const struct cw_membership *membership, uint64_t key,
		    uint64_t random, int64_t now_ms)
{
	int is_calm = cw_membership_is_calm(membership, now_ms, GROWING_MS);
	size_t most = is_calm ? NAMED_USUALLY : CW_GOSSIP_MEMBERS;
	struct cw_member *members[CW_GOSSIP_MEMBERS];
	size_t count = cw_membership_first(membership, key, now_ms, members, CW_READERS);

	count += cw_membership_sample(membership, random, members + count, most - count);
	for (size_t i = 0; i < count; i++) {
		struct cw_gossip_member *member = &gossip->members[gossip->member_count];

		if (!cw_membership_is_live(membership, members[i], now_ms))
			continue;
		g_strlcpy(member->instance, members[i]->instance, CW_NAME_MAX);
		g_strlcpy(member->failure_domain, members[i]->failure_domain, CW_NAME_MAX);
		g_strlcpy(member->address, members[i]->address, CW_ADDRESS_MAX);
		member->age_ms = (uint32_t)(now_ms - members[i]->heard_ms);
		gossip->member_count++;
	}
}

struct cw_member *cw_gossip_learn(const struct cw_gossip *gossip, struct cw_membership *membership,
				  int *is_new, int64_t now_ms)
{
	struct cw_member *member =
		cw_membership_learn(membership, gossip->sender.instance,
				    gossip->sender.failure_domain, gossip->sender.address);

	*is_new = 0;
	if (!member)
		return NULL;
	*is_new = member->boot != gossip->boot;
	cw_membership_heard(member, gossip->boot, gossip->is_leaving, now_ms);
	for (size_t i = 0; i < gossip->member_count; i++)
		learn_of(membership, &gossip->members[i], now_ms);
	return member;
}

/*
 * In a large system a peer is heard directly every second or so only. What others heard of it keeps
 * it from seeming gone, which would make every instance read the store for itself.
 */
static void learn_of(struct cw_membership *membership, const struct cw_gossip_member *told,
		     int64_t now_ms)
{
	struct cw_member *member = cw_membership_learn(membership, told->instance,
						       told->failure_domain, told->address);

	if (member)
		member->heard_ms = MAX(member->heard_ms, now_ms - (int64_t)told->age_ms);
	else if (cw_membership_size(membership) >= CW_MAX_INSTANCES)
		cw_count("instances_not_kept", "", 1);
}
