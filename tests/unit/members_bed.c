#include "members_bed.h"

#include <glib.h>
#include <string.h>

#define KNOWN_MS     2000
#define RETENTION_MS 60000
#define FANOUT	     8
#define NAMED	     5 /* other members in one message */

static void send_message(struct members *members, struct members_node *from,
			 struct members_node *to, int64_t now_ms);

void members_open(struct members *members, int count, uint64_t seed)
{
	memset(members, 0, sizeof(*members));
	members->count = count;
	members->random = seed * 2 + 1;
	for (int i = 0; i < count; i++)
		g_snprintf(members->nodes[i].name, sizeof(members->nodes[i].name), "e%d-%lu", i,
			   (unsigned long)seed);
}

void members_close(struct members *members)
{
	for (int i = 0; i < members->count; i++)
		cw_membership_destroy(members->nodes[i].membership);
}

uint64_t members_random(struct members *members)
{
	members->random ^= members->random >> 12;
	members->random ^= members->random << 25;
	members->random ^= members->random >> 27;
	return members->random * 0x2545f4914f6cdd1dULL;
}

void members_restart(struct members_node *node, int64_t now_ms)
{
	cw_membership_destroy(node->membership);
	node->membership = cw_membership_create(node->name, "d1", MEMBERS_SILENT_MS);
	cw_membership_start_settling(node->membership, now_ms, KNOWN_MS, 0);
}

int members_is_cut(const struct members *members, int a, int b)
{
	return members->is_partitioned && members->nodes[a].side != members->nodes[b].side;
}

/* Each instance announces itself and some known members to a few others. */
void members_gossip(struct members *members, int64_t now_ms)
{
	for (int i = 0; i < members->count; i++)
		for (int k = 0; k < FANOUT; k++) {
			int to = (int)(members_random(members) % (uint64_t)members->count);

			if (i != to && !members_is_cut(members, i, to))
				send_message(members, &members->nodes[i], &members->nodes[to],
					     now_ms);
		}
	for (int i = 0; i < members->count; i++)
		cw_membership_remove_stale(members->nodes[i].membership, now_ms, RETENTION_MS);
}

static void send_message(struct members *members, struct members_node *from,
			 struct members_node *to, int64_t now_ms)
{
	struct cw_member *others[NAMED];
	struct cw_member *member = cw_membership_upsert(to->membership, from->name, "d1", "a");
	size_t count;

	cw_membership_mark_seen(member, 1, 0, now_ms);
	count = cw_membership_sample(from->membership, members_random(members), others, NAMED);
	for (size_t i = 0; i < count; i++) {
		member = cw_membership_upsert(to->membership, others[i]->instance, "d1", "a");
		if (member)
			member->last_seen_ms = MAX(member->last_seen_ms, others[i]->last_seen_ms);
	}
}
