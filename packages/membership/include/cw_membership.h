/*
 * The instances known to one instance: from its settings, from the platform's list, which lags, and
 * from heartbeats.
 */
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
	char address[CW_ADDRESS_MAX]; /* of its peer listener, IP:PORT */
	uint64_t id;		      /* hash of the instance's name */
	uint64_t boot;		      /* drawn at each start; 0: no heartbeat yet */
	int64_t last_seen_ms;	      /* last sign of life, own or in a peer's report; -1: none */
	int64_t listed_ms;	      /* last seen in the platform's list; -1: never */
	int is_leaving;
	int is_configured; /* named by the settings */
	uint64_t table_offset;
	int has_clock_lead;
	int64_t clock_lead_ms;	  /* of this clock over the member's, with the fastest delay */
	int64_t drift_ms;	  /* time up to which clock_lead_ms allows for drift */
	uint64_t forward_key;	  /* forwards requests that carry it; 0: it forwards none */
	int is_partitioned;	  /* by its own account, from the backend servers */
	unsigned int forwards;	  /* requests that it forwards for this instance now */
	int64_t avoided_until_ms; /* asked to forward nothing until then: it failed to */
};

TAILQ_HEAD(cw_member_list, cw_member);

struct cw_membership;

struct cw_membership *cw_membership_create(const char *instance, const char *failure_domain,
					   int64_t timeout_ms);
void cw_membership_destroy(struct cw_membership *membership); /* frees its members */
void cw_membership_set_timeout(
	struct cw_membership *membership,
	int64_t timeout_ms); /* without a sign of life for longer: not live */
struct cw_member *
cw_membership_upsert(struct cw_membership *membership, const char *instance,
		     const char *failure_domain,
		     const char *address); /* adds or updates; NULL: own name, or full */
struct cw_member *cw_membership_find(struct cw_membership *membership,
				     const char *instance); /* NULL: unknown */
void cw_membership_mark_seen(struct cw_member *member, uint64_t boot, int is_leaving,
			     int64_t now_ms);
uint32_t cw_membership_delay_ms(struct cw_member *member, int64_t sent_ms,
				int64_t now_ms); /* of a message of this member, sent at sent_ms by
						    its clock, beyond the fastest one */
void cw_membership_mark_listed(struct cw_member *member, int is_leaving, int64_t now_ms);
void cw_membership_remove_stale(
	struct cw_membership *membership, int64_t now_ms,
	int64_t keep_ms); /* drops members neither seen nor listed for keep_ms */
int cw_membership_is_live(
	const struct cw_membership *membership, const struct cw_member *member,
	int64_t now_ms); /* seen within the time-out, which is longer for hundreds of members */
int cw_membership_is_unreachable(
	const struct cw_membership *membership, const struct cw_member *member,
	int64_t now_ms); /* not seen for four times the time-out, or never */
size_t cw_membership_find_owners(
	const struct cw_membership *membership, uint64_t key, int64_t now_ms,
	struct cw_member **owners,
	size_t count); /* by rendezvous; the second in another failure domain if any */
size_t cw_membership_sample(const struct cw_membership *membership, uint64_t random,
			    struct cw_member **members,
			    size_t count); /* gossip targets: unreachable ones too, to detect a
					      healed network partition */
size_t cw_membership_find_top_ranked(
	const struct cw_membership *membership, uint64_t key, int64_t now_ms,
	struct cw_member **members,
	size_t count); /* the top-ranked others by rendezvous hashing, best
			  first, of those seen within the configured time-out:
			  every message names them, so a failure shows at once */
size_t cw_membership_rank(const struct cw_membership *membership, uint64_t key,
			  int64_t now_ms); /* own rank among members seen in that time; 0: first */
void cw_membership_start_settling(
	struct cw_membership *membership, int64_t now_ms, int64_t settle_ms,
	int is_only); /* own rank is unknown for settle_ms after now_ms and after
			 each growth by a quarter; is_only: there are no others */
size_t
cw_membership_stable_rank(const struct cw_membership *membership, uint64_t key, int64_t now_ms,
			  size_t *instances); /* as cw_membership_rank, but unreachable members
						 count too unless a majority is live: no instance in
						 a network partition ranks itself alone; instances:
						 ranked ones, 0: the rank is unknown */
int cw_membership_is_complete(const struct cw_membership *membership,
			      int64_t now_ms); /* 1: all known members are live or leaving */
int cw_membership_is_stable(const struct cw_membership *membership, int64_t now_ms,
			    int64_t calm_ms); /* 1: no growth by a quarter within calm_ms */
size_t cw_membership_size(const struct cw_membership *membership); /* counts this instance */
size_t cw_membership_count_live(const struct cw_membership *membership,
				int64_t now_ms); /* counts this instance */
const struct cw_member_list *cw_membership_members(const struct cw_membership *membership);

#endif
