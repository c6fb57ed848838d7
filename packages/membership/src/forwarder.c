#include "cw_forwarder.h"

#include <string.h>

/* The members that may forward the request, counted by failure domain. */
struct candidates {
	size_t own;	    /* of the own failure domain */
	size_t other;	    /* of the others */
	size_t own_members; /* of the own failure domain whose messages arrive, and this instance */
};

static struct cw_member *choose(const struct cw_membership *membership,
				const struct cw_forwarder_choice *choice);
static int may_forward(const struct cw_membership *membership, const struct cw_member *member,
		       const struct cw_forwarder_choice *choice);
static int is_own(const struct cw_member *member, const struct cw_forwarder_choice *choice);
static struct candidates count_candidates(const struct cw_membership *membership,
					  const struct cw_forwarder_choice *choice);
static struct cw_member *find_candidate(const struct cw_membership *membership,
					const struct cw_forwarder_choice *choice, int only_own,
					size_t at);

struct cw_member *cw_forwarder_choose(const struct cw_membership *membership,
				      const struct cw_forwarder_choice *choice)
{
	struct cw_forwarder_choice last = *choice;
	struct cw_member *member = choose(membership, choice);

	/* A peer that failed just now is better than none. */
	last.allows_avoided = 1;
	return member ? member : choose(membership, &last);
}

static struct cw_member *choose(const struct cw_membership *membership,
				const struct cw_forwarder_choice *choice)
{
	struct candidates candidates = count_candidates(membership, choice);
	int only_own = candidates.own > 0 && candidates.own * 2 >= candidates.own_members &&
		       choice->tried_count == 0;
	size_t count = only_own ? candidates.own : candidates.own + candidates.other;
	struct cw_member *first;
	struct cw_member *second;

	if (count == 0)
		return NULL;
	/* Two random candidates, and the one that forwards less: all get their part. */
	first = find_candidate(membership, choice, only_own, choice->random % count);
	second = find_candidate(membership, choice, only_own, (choice->random >> 32) % count);
	return second->forwards < first->forwards ? second : first;
}

static struct candidates count_candidates(const struct cw_membership *membership,
					  const struct cw_forwarder_choice *choice)
{
	struct candidates candidates = {.own_members = 1};
	const struct cw_member *member;

	TAILQ_FOREACH(member, cw_membership_members(membership), link) {
		int may = may_forward(membership, member, choice);

		if (is_own(member, choice)) {
			candidates.own_members += member->forward_key != 0;
			candidates.own += (size_t)may;
		} else {
			candidates.other += (size_t)may;
		}
	}
	return candidates;
}

static struct cw_member *find_candidate(const struct cw_membership *membership,
					const struct cw_forwarder_choice *choice, int only_own,
					size_t at)
{
	struct cw_member *member;

	TAILQ_FOREACH(member, cw_membership_members(membership), link) {
		if (!may_forward(membership, member, choice) ||
		    (only_own && !is_own(member, choice)))
			continue;
		if (at-- == 0)
			return member;
	}
	return NULL;
}

static int is_own(const struct cw_member *member, const struct cw_forwarder_choice *choice)
{
	return !strcmp(member->failure_domain, choice->failure_domain);
}

static int may_forward(const struct cw_membership *membership, const struct cw_member *member,
		       const struct cw_forwarder_choice *choice)
{
	if (member->forward_key == 0 || member->is_leaving || member->is_partitioned ||
	    (!choice->allows_avoided && choice->now_ms < member->avoided_until_ms) ||
	    !cw_membership_is_live(membership, member, choice->now_ms))
		return 0;
	for (size_t i = 0; i < choice->tried_count; i++)
		if (choice->tried[i] == member->id)
			return 0;
	return 1;
}
