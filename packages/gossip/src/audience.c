#include "cw_audience.h"
#include "cw_counters.h"
#include "cw_readers.h"

#include <glib.h>
#include <string.h>

#define OWN_FANOUT	  6 /* per round, in the own domain; a larger one gets others each round */
#define NAMED_WHEN_STABLE 5
#define GROWTH_WINDOW_MS  3000 /* after growth: other instances start too, and know few members */
#define TRIMMED_FANOUT	  64   /* trimmed messages: two rounds reach a thousand instances */

static void merge_member(struct cw_membership *membership, const struct cw_gossip_member *report,
			 int64_t now_ms);

/* In a large system only some members get the full message in a round; more get the trimmed one. */
void cw_audience_choose(struct cw_audience *audience, const struct cw_membership *membership,
			const char *own_domain, uint64_t random)
{
	size_t known = cw_membership_size(membership);
	struct cw_member **members = g_new(struct cw_member *, known);
	struct cw_member **trimmed = g_new(struct cw_member *, known);
	size_t count = cw_membership_sample(membership, random, members, known);
	size_t own_left = OWN_FANOUT;
	size_t own_size = 1;
	size_t trimmed_count = 0;
	size_t other_left;

	for (size_t i = 0; i < count; i++)
		own_size += !strcmp(members[i]->failure_domain, own_domain);
	/* Not the bits of the random number that begin the sample: with the same bits some members
	 * would never get a message. */
	other_left = cw_gossip_remote_fanout(own_size, random >> 32);
	audience->members = members;
	audience->full_count = 0;
	for (size_t i = 0; i < count; i++) {
		int is_own = !strcmp(members[i]->failure_domain, own_domain);
		size_t *left = is_own ? &own_left : &other_left;

		if (count <= CW_AUDIENCE_FULL_FANOUT || *left > 0)
			members[audience->full_count++] = members[i];
		else if (trimmed_count < TRIMMED_FANOUT)
			trimmed[trimmed_count++] = members[i];
		*left -= *left > 0;
	}
	for (size_t i = 0; i < trimmed_count; i++)
		members[audience->full_count + i] = trimmed[i];
	audience->count = audience->full_count + trimmed_count;
	g_free(trimmed);
}

void cw_audience_clear(struct cw_audience *audience)
{
	g_clear_pointer(&audience->members, g_free);
	audience->count = audience->full_count = 0;
}

/*
 * Load pattern: a thousand instances start, and each announces to three seeds seven times a second
 * that it has no state yet. An instance that knows some other members asks these instead.
 */
int cw_audience_needs_seeds(const struct cw_membership *membership, int knows_enough)
{
	return !knows_enough && cw_membership_size(membership) <= CW_AUDIENCE_FULL_FANOUT;
}

/*
 * Each message names the readers of the shared store, and other members in turn. An instance
 * without a report of a reader for 2 s took over its reads: of 195 instances, seven at a time read
 * what two can read for all.
 */
void cw_gossip_add_members(struct cw_gossip *gossip, const struct cw_membership *membership,
			   uint64_t key, uint64_t random, int64_t now_ms)
{
	int is_stable = cw_membership_is_stable(membership, now_ms, GROWTH_WINDOW_MS);
	size_t max_count = is_stable ? NAMED_WHEN_STABLE : CW_GOSSIP_MEMBERS;
	struct cw_member *members[CW_GOSSIP_MEMBERS];
	size_t count = cw_membership_find_top_ranked(membership, key, now_ms, members, CW_READERS);

	count += cw_membership_sample(membership, random, members + count, max_count - count);
	for (size_t i = 0; i < count; i++) {
		struct cw_gossip_member *member = &gossip->members[gossip->member_count];

		if (!cw_membership_is_live(membership, members[i], now_ms))
			continue;
		g_strlcpy(member->instance, members[i]->instance, CW_NAME_MAX);
		g_strlcpy(member->failure_domain, members[i]->failure_domain, CW_NAME_MAX);
		g_strlcpy(member->address, members[i]->address, CW_ADDRESS_MAX);
		member->age_ms = (uint32_t)(now_ms - members[i]->last_seen_ms);
		gossip->member_count++;
	}
}

struct cw_member *cw_gossip_merge_members(const struct cw_gossip *gossip,
					  struct cw_membership *membership, int *is_new,
					  int64_t now_ms)
{
	struct cw_member *member =
		cw_membership_upsert(membership, gossip->sender.instance,
				     gossip->sender.failure_domain, gossip->sender.address);

	*is_new = 0;
	if (!member)
		return NULL;
	*is_new = member->boot != gossip->boot;
	cw_membership_mark_seen(member, gossip->boot, gossip->is_leaving, now_ms);
	member->forward_key = gossip->forward_key;
	member->is_partitioned = gossip->is_partitioned;
	for (size_t i = 0; i < gossip->member_count; i++)
		merge_member(membership, &gossip->members[i], now_ms);
	return member;
}

/*
 * In a large system a peer's own messages arrive about once a second only. The reports of others
 * keep it from counting as unreachable, which would make every instance read the shared store
 * itself.
 */
static void merge_member(struct cw_membership *membership, const struct cw_gossip_member *report,
			 int64_t now_ms)
{
	struct cw_member *member = cw_membership_upsert(membership, report->instance,
							report->failure_domain, report->address);

	if (member)
		member->last_seen_ms = MAX(member->last_seen_ms, now_ms - (int64_t)report->age_ms);
	else if (cw_membership_size(membership) >= CW_MAX_INSTANCES)
		cw_counter_add("instances_not_kept", "", 1);
}
