/*
 * A thousand instances and thousands of servers: costs that must not grow with their number, and
 * choices that must not depend on the order of a list.
 */
#include "cw_hash.h"
#include "cw_membership.h"
#include "cw_pool.h"
#include "unit.h"

#include <glib.h>
#include <stdio.h>

#define NOW	  100000
#define SERVERS	  3000
#define DOMAINS	  3
#define REQUESTS  6000
#define MEMBERS	  985
#define SILENT_MS 2000

static void name_of(char *name, const char *prefix, int number)
{
	snprintf(name, CW_NAME_MAX, "%s%d", prefix, number);
}

/* A pool that adds the servers in an order of its own, as each instance does. */
static struct cw_pool *pool_in_order(int first, int step)
{
	struct cw_pool *pool = cw_pool_create(&cw_choice_cost);

	for (int i = 0; i < SERVERS; i++) {
		int number = (first + i * step) % SERVERS;
		char domain[CW_NAME_MAX];
		char name[CW_NAME_MAX];

		name_of(name, "s", number);
		name_of(domain, "d", number % DOMAINS);
		assert_non_null(cw_pool_add(pool, name, "llm", "127.0.0.1:1", domain, 0));
	}
	return pool;
}

static struct cw_choice choice_of(uint64_t prefix)
{
	return (struct cw_choice){.service = "llm",
				  .prefix = prefix,
				  .failure_domain = "d1",
				  .now_ms = NOW,
				  .prompt_tokens = 6000,
				  .prefix_tokens = 5000,
				  .ms_per_token = 0.02,
				  .bytes = 20000,
				  .random = cw_hash(&prefix, sizeof(prefix), 1)};
}

/*
 * Guards against the first servers of the list getting sixty times the mean number of requests
 * while most servers get none.
 */
static void requests_spread_over_all_local_servers(void **state)
{
	struct cw_pool *pool = pool_in_order(0, 1);
	unsigned int used[SERVERS] = {0};
	unsigned int max_used = 0;
	int idle = 0;

	for (uint64_t i = 1; i <= REQUESTS; i++) {
		uint64_t prefix = cw_hash(&i, sizeof(i), 2);
		struct cw_choice choice = choice_of(prefix);
		struct cw_server *server = cw_pool_choose(pool, &choice);
		uint64_t number;

		assert_string_equal(server->failure_domain, "d1");
		number = g_ascii_strtoull(server->name + 1, NULL, 10);
		used[number]++;
		max_used = MAX(max_used, used[number]);
	}
	for (int i = 1; i < SERVERS; i += DOMAINS)
		idle += used[i] == 0;
	/* A thousand servers of the own failure domain, with a mean of six requests each. */
	assert_true(max_used <= 24);
	assert_true(idle < SERVERS / DOMAINS / 20);
	cw_pool_destroy(pool);
}

/* Guards against prefixes processed once per instance, each on another server. */
static void instances_choose_the_same_server_for_the_same_prompt(void **state)
{
	struct cw_pool *first_pool = pool_in_order(0, 1);
	struct cw_pool *second_pool = pool_in_order(1234, 7);

	for (uint64_t i = 1; i <= 100; i++) {
		struct cw_choice choice = choice_of(cw_hash(&i, sizeof(i), 3));
		struct cw_server *chosen = cw_pool_choose(first_pool, &choice);

		choice.random++;
		assert_string_equal(cw_pool_choose(second_pool, &choice)->name, chosen->name);
	}
	cw_pool_destroy(first_pool);
	cw_pool_destroy(second_pool);
}

/* Guards against passes over all servers in every gossip round and tick for the few in use. */
static void the_active_list_holds_only_servers_in_use(void **state)
{
	struct cw_pool *pool = pool_in_order(0, 1);
	struct cw_server *server = cw_pool_find_name(pool, "s7");

	assert_true(TAILQ_EMPTY(cw_pool_active(pool)));
	cw_pool_record_dispatch(server, NOW);
	cw_pool_record_dispatch(server, NOW);
	cw_pool_mark_unreachable(cw_pool_find_name(pool, "s8"));
	cw_pool_sweep(pool, NOW);
	assert_ptr_equal(TAILQ_FIRST(cw_pool_active(pool)), server);
	assert_string_equal(TAILQ_NEXT(server, active_link)->name, "s8");
	cw_pool_record_end(server, NOW, 10);
	cw_pool_record_end(server, NOW, 10);
	cw_pool_mark_reachable(cw_pool_find_name(pool, "s8"), NOW);
	cw_pool_sweep(pool, NOW);
	assert_true(TAILQ_EMPTY(cw_pool_active(pool)));
	cw_pool_record_dispatch(server, NOW);
	cw_pool_remove(pool, server);
	assert_true(TAILQ_EMPTY(cw_pool_active(pool)));
	cw_pool_destroy(pool);
}

/*
 * An instance uses few of its servers. Guards against allocating request history for the others,
 * which took half of the memory.
 */
static void unused_servers_take_little_memory(void **state)
{
	struct cw_pool *pool = pool_in_order(0, 1);
	struct cw_server *server = cw_pool_find_name(pool, "s7");

	assert_true(sizeof(*server) <= 1024);
	assert_null(server->history);
	assert_true(cw_pool_load(server, NOW) == 0);
	cw_pool_record_dispatch(server, NOW);
	assert_non_null(server->history);
	cw_pool_destroy(pool);
}

/* A delisted server is freed, unless it is listed again in time. */
static void delisted_servers_are_freed_among_many(void **state)
{
	struct cw_pool *pool = pool_in_order(0, 1);
	struct cw_server_entry entry = {.name = "s9", .service = "llm", .failure_domain = "d0"};

	cw_pool_delist(pool, cw_pool_find_name(pool, "s8"), NOW, NOW);
	cw_pool_delist(pool, cw_pool_find_name(pool, "s9"), NOW + 1000, NOW);
	cw_pool_apply_entry(pool, &entry, NOW + 500);
	cw_pool_sweep(pool, NOW + 2000);
	assert_null(cw_pool_find_name(pool, "s8"));
	assert_non_null(cw_pool_find_name(pool, "s9"));
	cw_pool_destroy(pool);
}

/*
 * Guards against half of a thousand members that count as silent at any time, because a gossip
 * message names each of them only every few seconds.
 */
static void members_named_every_few_seconds_are_live(void **state)
{
	struct cw_membership *membership = cw_membership_create("own", "d0", SILENT_MS);
	size_t instances;

	cw_membership_start_settling(membership, NOW - 60000, SILENT_MS, 0);
	for (int i = 0; i < MEMBERS; i++) {
		char name[CW_NAME_MAX];

		name_of(name, "i", i);
		cw_membership_mark_seen(cw_membership_upsert(membership, name, "d0", "10.0.0.1:1"),
					1, 0, NOW - 6 * i);
	}
	cw_membership_remove_stale(membership, NOW - 10000, 60000);
	assert_int_equal(cw_membership_count_live(membership, NOW), MEMBERS + 1);
	cw_membership_stable_rank(membership, 7, NOW, &instances);
	assert_int_equal(instances, MEMBERS + 1);
	cw_membership_destroy(membership);
}

/*
 * Each gossip message names the member that reads the store for all, so its failure must be
 * detected as fast as among few members.
 */
static void a_silent_first_member_is_replaced(void **state)
{
	struct cw_membership *membership = cw_membership_create("own", "d0", SILENT_MS);
	struct cw_member *first;
	struct cw_member *next;

	for (int i = 0; i < MEMBERS; i++) {
		char name[CW_NAME_MAX];

		name_of(name, "i", i);
		cw_membership_mark_seen(cw_membership_upsert(membership, name, "d0", "10.0.0.1:1"),
					1, 0, NOW);
	}
	assert_int_equal(cw_membership_find_top_ranked(membership, 7, NOW, &first, 1), 1);
	for (int i = 0; i < MEMBERS; i++) {
		char name[CW_NAME_MAX];

		name_of(name, "i", i);
		if (cw_membership_find(membership, name) != first)
			cw_membership_mark_seen(cw_membership_find(membership, name), 1, 0,
						NOW + SILENT_MS + 1);
	}
	assert_int_equal(
		cw_membership_find_top_ranked(membership, 7, NOW + SILENT_MS + 1, &next, 1), 1);
	assert_ptr_not_equal(next, first);
	cw_membership_destroy(membership);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(requests_spread_over_all_local_servers),
		cmocka_unit_test(instances_choose_the_same_server_for_the_same_prompt),
		cmocka_unit_test(the_active_list_holds_only_servers_in_use),
		cmocka_unit_test(unused_servers_take_little_memory),
		cmocka_unit_test(delisted_servers_are_freed_among_many),
		cmocka_unit_test(members_named_every_few_seconds_are_live),
		cmocka_unit_test(a_silent_first_member_is_replaced),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
