/* The instances one node knows: from its settings, the platform's lagging list, and heartbeats. */
#ifndef CW_MEMBERSHIP_H
#define CW_MEMBERSHIP_H

#include "cw_status.h"

#include <stddef.h>
#include <stdint.h>
#include <sys/queue.h>

struct cw_member {
	TAILQ_ENTRY(cw_member) link;
	char instance[CW_NAME_MAX];
	char failure_domain[CW_NAME_MAX];
	char address[CW_ADDRESS_MAX]; /* of its peer listener */
	uint64_t id;		      /* hash of the name */
	uint64_t boot;		      /* 0 until heard */
	int64_t heard_ms;	      /* last heartbeat, -1 never */
	int64_t listed_ms;	      /* last seen in the platform's list, -1 never */
	int leaving;
	int configured; /* named by the settings */
	uint64_t table_offset;
};

TAILQ_HEAD(cw_member_list, cw_member);

struct cw_membership;

struct cw_membership *cw_membership_create(const char *instance, const char *failure_domain,
					   int64_t silent_ms);
void cw_membership_destroy(struct cw_membership *membership); /* frees its members */
void cw_membership_set_silent(struct cw_membership *membership,
			      int64_t silent_ms); /* unheard longer: not live */
struct cw_member *cw_membership_learn(struct cw_membership *membership, const char *instance,
				      const char *failure_domain,
				      const char *address); /* NULL: itself, or full */
struct cw_member *cw_membership_find(struct cw_membership *membership,
				     const char *instance); /* NULL: unknown */
void cw_membership_heard(struct cw_member *member, uint64_t boot, int leaving, int64_t now_ms);
void cw_membership_listed(struct cw_member *member, int leaving, int64_t now_ms);
void cw_membership_forget(struct cw_membership *membership, int64_t now_ms,
			  int64_t keep_ms); /* drops who is unheard and unlisted that long */
int cw_membership_is_live(
	const struct cw_membership *membership, const struct cw_member *member,
	int64_t now_ms); /* heard within the limit, which grows with hundreds of members */
int cw_membership_is_gone(const struct cw_membership *membership, const struct cw_member *member,
			  int64_t now_ms); /* silent for four times the limit, or a new boot */
size_t cw_membership_homes(const struct cw_membership *membership, uint64_t key, int64_t now_ms,
			   struct cw_member **homes,
			   size_t count); /* by rendezvous; the second in another domain if any */
size_t cw_membership_sample(
	const struct cw_membership *membership, uint64_t random, struct cw_member **members,
	size_t count); /* for gossip: silent ones too, so that a healed cut is noticed */
size_t cw_membership_first(const struct cw_membership *membership, uint64_t key, int64_t now_ms,
			   struct cw_member **members,
			   size_t count); /* the first others by rendezvous, best first, of those
					     heard within the limit that was set: whoever is first
					     is named in each message, and missed at once */
size_t cw_membership_rank(const struct cw_membership *membership, uint64_t key,
			  int64_t now_ms); /* 0: first by rendezvous among these */
void cw_membership_settle(struct cw_membership *membership, int64_t now_ms, int64_t settle_ms,
			  int is_only); /* for so long after the start, or after many others became
					   known, a place isn't; is_only: there are no others */
size_t cw_membership_place(const struct cw_membership *membership, uint64_t key, int64_t now_ms,
			   size_t *instances); /* as rank, but silent ones keep their places unless
						  most are heard: a cut makes nobody the first of
						  itself alone; instances: that were ranked, 0: the
						  place isn't known */
int cw_membership_is_calm(const struct cw_membership *membership, int64_t now_ms,
			  int64_t calm_ms); /* 1: not many others became known for so long */
size_t cw_membership_size(const struct cw_membership *membership); /* itself included */
size_t cw_membership_live(const struct cw_membership *membership,
			  int64_t now_ms); /* itself included */
const struct cw_member_list *cw_membership_members(const struct cw_membership *membership);

#endif
