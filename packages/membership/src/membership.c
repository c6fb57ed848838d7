#include "cw_membership.h"
#include "cw_hash.h"

#include <glib.h>
#include <string.h>

#define UNREACHABLE_FACTOR   4	  /* time-outs without a sign of life */
#define REPORT_MS_PER_MEMBER 15	  /* longest usual gap between two reports of one member */
#define DRIFT_STEP_MS	     1000 /* two clocks drift by less than 1 ms in this time */
#define SIGNIFICANT_GROWTH   1.25 /* ratio of sizes: many members had been unknown */

struct cw_membership {
	char instance[CW_NAME_MAX];
	char failure_domain[CW_NAME_MAX];
	uint64_t id;
	int64_t timeout_ms;
	struct cw_member_list members;
	GHashTable *by_name;
	size_t size;
	int64_t settle_ms; /* time without significant growth until the own rank is known */
	int64_t grown_ms;  /* time of the last significant growth */
	size_t grown_to;   /* size after that growth, this instance included */
	int is_only;
};

static int is_seen_within(const struct cw_member *member, int64_t limit_ms, int64_t now_ms);
static int is_settled(const struct cw_membership *membership, int64_t now_ms);
static void update_growth(struct cw_membership *membership, int64_t now_ms);
static int has_grown(const struct cw_membership *membership);
static struct cw_member *find_best_owner(const struct cw_membership *membership, uint64_t key,
					 int64_t now_ms, const struct cw_member *excluded,
					 const char *excluded_domain);

struct cw_membership *cw_membership_create(const char *instance, const char *failure_domain,
					   int64_t timeout_ms)
{
	struct cw_membership *membership = g_new0(struct cw_membership, 1);

	g_strlcpy(membership->instance, instance, CW_NAME_MAX);
	g_strlcpy(membership->failure_domain, failure_domain, CW_NAME_MAX);
	membership->id = cw_hash_text(instance, 0);
	membership->timeout_ms = timeout_ms;
	membership->by_name = g_hash_table_new(g_str_hash, g_str_equal);
	TAILQ_INIT(&membership->members);
	return membership;
}

void cw_membership_destroy(struct cw_membership *membership)
{
	struct cw_member *member;

	if (!membership)
		return;
	while ((member = TAILQ_FIRST(&membership->members))) {
		TAILQ_REMOVE(&membership->members, member, link);
		g_free(member);
	}
	g_hash_table_destroy(membership->by_name);
	g_free(membership);
}

void cw_membership_set_timeout(struct cw_membership *membership, int64_t timeout_ms)
{
	membership->timeout_ms = timeout_ms;
}

struct cw_member *cw_membership_upsert(struct cw_membership *membership, const char *instance,
				       const char *failure_domain, const char *address)
{
	struct cw_member *member;

	if (!*instance || !strcmp(instance, membership->instance))
		return NULL;
	member = cw_membership_find(membership, instance);
	if (!member) {
		if (membership->size + 1 >= CW_MAX_INSTANCES)
			return NULL;
		member = g_new0(struct cw_member, 1);
		g_strlcpy(member->instance, instance, CW_NAME_MAX);
		member->id = cw_hash_text(instance, 0);
		member->last_seen_ms = -1;
		member->listed_ms = -1;
		TAILQ_INSERT_TAIL(&membership->members, member, link);
		g_hash_table_insert(membership->by_name, member->instance, member);
		membership->size++;
	}
	if (*failure_domain)
		g_strlcpy(member->failure_domain, failure_domain, CW_NAME_MAX);
	if (*address)
		g_strlcpy(member->address, address, CW_ADDRESS_MAX);
	return member;
}

struct cw_member *cw_membership_find(struct cw_membership *membership, const char *instance)
{
	return g_hash_table_lookup(membership->by_name, instance);
}

void cw_membership_mark_seen(struct cw_member *member, uint64_t boot, int is_leaving,
			     int64_t now_ms)
{
	if (member->boot != boot)
		member->has_clock_lead = 0;
	member->boot = boot;
	member->is_leaving = is_leaving;
	member->last_seen_ms = now_ms;
}

/* A message that waits for a stopped receiver carries ages that are too small by the wait. */
uint32_t cw_membership_delay_ms(struct cw_member *member, int64_t sent_ms, int64_t now_ms)
{
	int64_t lead_ms = now_ms - sent_ms;

	if (!member->has_clock_lead) {
		member->has_clock_lead = 1;
		member->clock_lead_ms = lead_ms;
		member->drift_ms = now_ms;
	}
	if (now_ms - member->drift_ms >= DRIFT_STEP_MS) {
		member->clock_lead_ms += (now_ms - member->drift_ms) / DRIFT_STEP_MS;
		member->drift_ms = now_ms;
	}
	member->clock_lead_ms = MIN(member->clock_lead_ms, lead_ms);
	return (uint32_t)MIN(lead_ms - member->clock_lead_ms, UINT32_MAX);
}

void cw_membership_mark_listed(struct cw_member *member, int is_leaving, int64_t now_ms)
{
	member->listed_ms = now_ms;
	if (is_leaving)
		member->is_leaving = 1;
}

void cw_membership_remove_stale(struct cw_membership *membership, int64_t now_ms, int64_t keep_ms)
{
	struct cw_member *member = TAILQ_FIRST(&membership->members);

	update_growth(membership, now_ms);
	while (member) {
		struct cw_member *next = TAILQ_NEXT(member, link);
		int64_t seen = MAX(member->last_seen_ms, member->listed_ms);

		if (!member->is_configured && now_ms - seen > keep_ms) {
			TAILQ_REMOVE(&membership->members, member, link);
			g_hash_table_remove(membership->by_name, member->instance);
			membership->size--;
			g_free(member);
		}
		member = next;
	}
	membership->grown_to = MIN(membership->grown_to, membership->size + 1);
}

/*
 * The time-out grows with the number of members. Load pattern: a thousand members. Each message
 * names a few, so that reports of one member arrive seconds apart: with a fixed time-out half of
 * the members counted as unreachable at any time, and not the same ones at each instance.
 */
int cw_membership_is_live(const struct cw_membership *membership, const struct cw_member *member,
			  int64_t now_ms)
{
	int64_t report_interval_ms = (int64_t)membership->size * REPORT_MS_PER_MEMBER;

	return is_seen_within(member, MAX(membership->timeout_ms, report_interval_ms), now_ms);
}

static int is_seen_within(const struct cw_member *member, int64_t limit_ms, int64_t now_ms)
{
	return !member->is_leaving && member->last_seen_ms >= 0 &&
	       now_ms - member->last_seen_ms <= limit_ms;
}

int cw_membership_is_unreachable(const struct cw_membership *membership,
				 const struct cw_member *member, int64_t now_ms)
{
	return member->last_seen_ms < 0 ||
	       now_ms - member->last_seen_ms > membership->timeout_ms * UNREACHABLE_FACTOR;
}

size_t cw_membership_find_owners(const struct cw_membership *membership, uint64_t key,
				 int64_t now_ms, struct cw_member **owners, size_t count)
{
	size_t found = 0;

	if (count > 0)
		owners[found] = find_best_owner(membership, key, now_ms, NULL, NULL);
	if (count == 0 || !owners[0])
		return 0;
	found++;
	if (count > 1) {
		owners[1] = find_best_owner(membership, key, now_ms, owners[0],
					    owners[0]->failure_domain);
		if (!owners[1])
			owners[1] = find_best_owner(membership, key, now_ms, owners[0], NULL);
		found += owners[1] != NULL;
	}
	return found;
}

size_t cw_membership_sample(const struct cw_membership *membership, uint64_t random,
			    struct cw_member **members, size_t count)
{
	size_t known = membership->size;
	size_t found = 0;
	size_t start;
	struct cw_member *member = TAILQ_FIRST(&membership->members);

	if (known == 0)
		return 0;
	start = random % known;
	for (size_t i = 0; i < start; i++)
		member = TAILQ_NEXT(member, link);
	for (size_t i = 0; i < known && found < count; i++) {
		if (*member->address)
			members[found++] = member;
		member = TAILQ_NEXT(member, link);
		if (!member)
			member = TAILQ_FIRST(&membership->members);
	}
	return found;
}

size_t cw_membership_find_top_ranked(const struct cw_membership *membership, uint64_t key,
				     int64_t now_ms, struct cw_member **members, size_t count)
{
	struct cw_member *member;
	size_t found = 0;

	TAILQ_FOREACH(member, &membership->members, link) {
		double score = cw_rendezvous_score(key, member->id, 1);
		size_t at = found;

		if (!*member->address || !is_seen_within(member, membership->timeout_ms, now_ms))
			continue;
		while (at > 0 && cw_rendezvous_score(key, members[at - 1]->id, 1) < score)
			at--;
		if (at == count)
			continue;
		found = MIN(found + 1, count);
		for (size_t i = found - 1; i > at; i--)
			members[i] = members[i - 1];
		members[at] = member;
	}
	return found;
}

size_t cw_membership_rank(const struct cw_membership *membership, uint64_t key, int64_t now_ms)
{
	double own = cw_rendezvous_score(key, membership->id, 1);
	const struct cw_member *member;
	size_t rank = 0;

	TAILQ_FOREACH(member, &membership->members, link) {
		if (is_seen_within(member, membership->timeout_ms, now_ms) &&
		    cw_rendezvous_score(key, member->id, 1) > own)
			rank++;
	}
	return rank;
}

void cw_membership_start_settling(struct cw_membership *membership, int64_t now_ms,
				  int64_t settle_ms, int is_only)
{
	membership->settle_ms = settle_ms;
	membership->grown_ms = now_ms;
	membership->grown_to = membership->size + 1;
	membership->is_only = is_only;
}

size_t cw_membership_stable_rank(const struct cw_membership *membership, uint64_t key,
				 int64_t now_ms, size_t *instances)
{
	double own = cw_rendezvous_score(key, membership->id, 1);
	size_t live = cw_membership_count_live(membership, now_ms);
	const struct cw_member *member;
	int is_majority;
	size_t known = 1;
	size_t rank = 0;

	TAILQ_FOREACH(member, &membership->members, link)
		known += !member->is_leaving;
	is_majority = 2 * live > known;
	TAILQ_FOREACH(member, &membership->members, link) {
		if (member->is_leaving ||
		    (is_majority && !cw_membership_is_live(membership, member, now_ms)))
			continue;
		rank += cw_rendezvous_score(key, member->id, 1) > own;
	}
	*instances = is_majority ? live : known;
	if (!is_settled(membership, now_ms) || (known == 1 && !membership->is_only))
		*instances = 0;
	return rank;
}

int cw_membership_is_complete(const struct cw_membership *membership, int64_t now_ms)
{
	const struct cw_member *member;

	TAILQ_FOREACH(member, &membership->members, link)
		if (!member->is_leaving && !cw_membership_is_live(membership, member, now_ms))
			return 0;
	return 1;
}

int cw_membership_is_stable(const struct cw_membership *membership, int64_t now_ms, int64_t calm_ms)
{
	return now_ms - membership->grown_ms >= calm_ms && !has_grown(membership);
}

size_t cw_membership_size(const struct cw_membership *membership)
{
	return membership->size + 1;
}

size_t cw_membership_count_live(const struct cw_membership *membership, int64_t now_ms)
{
	const struct cw_member *member;
	size_t live = 1;

	TAILQ_FOREACH(member, &membership->members, link)
		live += cw_membership_is_live(membership, member, now_ms);
	return live;
}

const struct cw_member_list *cw_membership_members(const struct cw_membership *membership)
{
	return &membership->members;
}

/*
 * Whether the own rank is known: settle_ms have passed without significant growth. Symptom this
 * prevents: all instances send to one server that has room for few requests. An instance that has
 * just started, or that started behind a network partition that has since healed, knows few others
 * and would rank itself among the first for every key.
 */
static int is_settled(const struct cw_membership *membership, int64_t now_ms)
{
	return cw_membership_is_stable(membership, now_ms, membership->settle_ms);
}

static void update_growth(struct cw_membership *membership, int64_t now_ms)
{
	if (!has_grown(membership))
		return;
	membership->grown_to = membership->size + 1;
	membership->grown_ms = now_ms;
}

static int has_grown(const struct cw_membership *membership)
{
	return (double)(membership->size + 1) > SIGNIFICANT_GROWTH * (double)membership->grown_to;
}

static struct cw_member *find_best_owner(const struct cw_membership *membership, uint64_t key,
					 int64_t now_ms, const struct cw_member *excluded,
					 const char *excluded_domain)
{
	struct cw_member *best = NULL;
	struct cw_member *member;
	double best_score = -1;

	TAILQ_FOREACH(member, &membership->members, link) {
		double score = cw_rendezvous_score(key, member->id, 1);

		if (member == excluded || !cw_membership_is_live(membership, member, now_ms))
			continue;
		if (excluded_domain && !strcmp(member->failure_domain, excluded_domain))
			continue;
		if (score > best_score) {
			best_score = score;
			best = member;
		}
	}
	return best;
}
