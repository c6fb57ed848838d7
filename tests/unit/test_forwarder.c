/* The peer that forwards a request. */
#include "cw_forwarder.h"
#include "cw_hash.h"
#include "unit.h"

#include <stdio.h>
#include <string.h>

#define NOW_MS	   100000
#define TIMEOUT_MS 2000
#define DRAWS	   3000

struct forwarders {
	struct cw_membership *membership;
	struct cw_member *members[16];
	size_t count;
};

static struct cw_member *add(struct forwarders *forwarders, const char *name, const char *domain)
{
	struct cw_member *member =
		cw_membership_upsert(forwarders->membership, name, domain, "10.0.0.1:1");

	cw_membership_mark_seen(member, 1, 0, NOW_MS);
	member->forward_key = 5;
	forwarders->members[forwarders->count++] = member;
	return member;
}

static void open_forwarders(struct forwarders *forwarders)
{
	memset(forwarders, 0, sizeof(*forwarders));
	forwarders->membership = cw_membership_create("self", "d1", TIMEOUT_MS);
}

static struct cw_member *choose(const struct forwarders *forwarders, uint64_t number,
				const uint64_t *tried, size_t tried_count)
{
	struct cw_forwarder_choice choice = {
		.failure_domain = "d1",
		.tried = tried,
		.tried_count = tried_count,
		.random = cw_hash(&number, sizeof(number), 1),
		.now_ms = NOW_MS,
	};

	return cw_forwarder_choose(forwarders->membership, &choice);
}

/* Guards against requests to peers that can't forward them: of earlier builds, leaving, partitioned
 * or silent. */
static void only_a_peer_that_can_forward_is_asked(void **state)
{
	struct forwarders forwarders;
	struct cw_member *able;

	open_forwarders(&forwarders);
	assert_null(choose(&forwarders, 1, NULL, 0));
	add(&forwarders, "earlier", "d1")->forward_key = 0;
	add(&forwarders, "leaving", "d1")->is_leaving = 1;
	add(&forwarders, "cut", "d1")->is_partitioned = 1;
	add(&forwarders, "silent", "d1")->last_seen_ms = NOW_MS - TIMEOUT_MS - 1;
	assert_null(choose(&forwarders, 1, NULL, 0));
	able = add(&forwarders, "able", "d2");
	for (uint64_t i = 0; i < DRAWS; i++)
		assert_ptr_equal(choose(&forwarders, i, NULL, 0), able);
	cw_membership_destroy(forwarders.membership);
}

/* Guards against the price of bytes between failure domains, and against one peer that bears all
 * load. */
static void peers_of_the_own_domain_come_first_and_share_the_load(void **state)
{
	struct forwarders forwarders;
	unsigned int most = 0;

	open_forwarders(&forwarders);
	for (int i = 0; i < 6; i++) {
		char name[16];

		snprintf(name, sizeof(name), "e%d", i);
		add(&forwarders, name, i < 3 ? "d1" : "d2");
	}
	for (uint64_t i = 0; i < DRAWS; i++)
		choose(&forwarders, i, NULL, 0)->forwards++;
	for (size_t i = 0; i < forwarders.count; i++)
		most = most > forwarders.members[i]->forwards ? most
							      : forwarders.members[i]->forwards;
	assert_int_equal(forwarders.members[0]->forwards + forwarders.members[1]->forwards +
				 forwarders.members[2]->forwards,
			 DRAWS);
	assert_true(most <= DRAWS / 3 + DRAWS / 30);
	cw_membership_destroy(forwarders.membership);
}

/* Guards against the few instances of a domain that are not partitioned, which would bear the load
 * of all others. */
static void a_domain_that_is_mostly_partitioned_is_not_preferred(void **state)
{
	struct forwarders forwarders;
	unsigned int remote = 0;

	open_forwarders(&forwarders);
	add(&forwarders, "a", "d1");
	for (int i = 0; i < 6; i++) {
		char name[16];

		snprintf(name, sizeof(name), "e%d", i);
		add(&forwarders, name, i < 3 ? "d1" : "d2")->is_partitioned = i < 3;
	}
	for (uint64_t i = 0; i < DRAWS; i++) {
		struct cw_member *member = choose(&forwarders, i, NULL, 0);

		member->forwards++;
		remote += !strcmp(member->failure_domain, "d2");
	}
	assert_true(remote >= DRAWS / 2);
	cw_membership_destroy(forwarders.membership);
}

/* Guards against a request that returns to the peer which has just failed it, while others are
 * left. */
static void a_peer_that_failed_is_asked_last(void **state)
{
	struct forwarders forwarders;
	struct cw_member *first;
	struct cw_member *second;

	open_forwarders(&forwarders);
	first = add(&forwarders, "first", "d1");
	second = add(&forwarders, "second", "d2");
	for (uint64_t i = 0; i < DRAWS; i++)
		assert_ptr_equal(choose(&forwarders, i, &first->id, 1), second);
	first->avoided_until_ms = NOW_MS + 1;
	for (uint64_t i = 0; i < DRAWS; i++)
		assert_ptr_equal(choose(&forwarders, i, NULL, 0), second);
	second->avoided_until_ms = NOW_MS + 1;
	assert_non_null(choose(&forwarders, 1, NULL, 0));
	cw_membership_destroy(forwarders.membership);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(only_a_peer_that_can_forward_is_asked),
		cmocka_unit_test(peers_of_the_own_domain_come_first_and_share_the_load),
		cmocka_unit_test(a_domain_that_is_mostly_partitioned_is_not_preferred),
		cmocka_unit_test(a_peer_that_failed_is_asked_last),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
