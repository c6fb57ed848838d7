/*
 * Fixture of tests over many instances: the member list of each, random gossip between them, a
 * network partition, restarts. Virtual time; the same seed gives the same course.
 */
#ifndef MEMBERS_BED_H
#define MEMBERS_BED_H

#include "cw_membership.h"

#include <stddef.h>
#include <stdint.h>

#define MEMBERS_SILENT_MS 2000
#define MEMBERS_GOSSIP_MS 150
#define MEMBERS_MAX	  48

struct members_node {
	struct cw_membership *membership;
	char name[CW_NAME_MAX];
	int side; /* of the network partition */
};

struct members {
	struct members_node nodes[MEMBERS_MAX];
	int count;
	uint64_t random;
	int is_partitioned;
};

void members_open(struct members *members, int count, uint64_t seed);
void members_close(struct members *members);
uint64_t members_random(struct members *members);
void members_restart(struct members_node *node, int64_t now_ms); /* knows no other instance */
void members_gossip(struct members *members, int64_t now_ms);	 /* one round of all instances */
int members_is_cut(const struct members *members, int a, int b); /* 1: no messages between them */

#endif
