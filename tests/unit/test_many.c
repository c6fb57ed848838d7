/* A thousand instances before ten thousand servers: what must not grow with them, or depend on the
 * order of a list.
 */
#include "cw_hash.h"
#include "cw_membership.h"
#include "cw_pool.h"
#include "unit.h"

#include <glib.h>
#include <stdio.h>

#define NOW	 100000
#define SERVERS	 3000
#define DOMAINS	 3
#define REQUESTS 6000
#define MEMBERS	 985
#define SILENT	 2000

static void name_of(char *name, const char *prefix, int number)
{
	snprintf(name, CW_NAME_MAX, "%s%d", prefix, number);
}

/* Each instance learns of the servers in an order of its own. */
static struct cw_pool *pool_in_order(int first, int step)
{
	struct cw_pool *pool = cw_pool_create(&cw_choice_cost);

	for (int i = 0; i < SERVERS; i++) {
		int number = (first + i * step) % SERVERS;
		char domain[CW_NAME_MAX];
		char name[CW_NAME_MAX];

		name_of(name, "s", number);
		name_of(domain, "d", number % DOMAINS);
		assert_non_null(cw_pool_learn(pool, name, "llm", "127.0.0.1:1", domain, 0));
	}
	return pool;
}

static struct cw_choice choice_of(uint64_t prefix)
{
	return (struct cw_choice){.service = "llm",
				  .prefix = prefix,
				  .failure_domain = "d1",
				  .now_ms = NOW,
				  .read_tokens = 6000,
				  .shared_tokens = 5000,
				  .ms_per_token = 0.02,
				  .bytes = 20000,
				  .random = cw_hash(&prefix, sizeof(prefix), 1)};
}

/* The first servers of the list got sixty times the mean, and most got nothing. */
static void requests_spread_over_all_servers(void **state)
{
	struct cw_pool *pool = pool_in_order(0, 1);
	unsigned int used[SERVERS] = {0};
	unsigned int most = 0;
	int idle = 0;

	for (uint64_t i = 1; i <= REQUESTS; i++) {
		uint64_t prefix = cw_hash(&i, sizeof(i), 2);
		struct cw_choice choice = choice_of(prefix);
		struct cw_server *server = cw_pool_choose(pool, &choice);
		uint64_t number;

		assert_string_equal(server->failure_domain, "d1");
		number = g_ascii_strtoull(server->name + 1, NULL, 10);
		used[number]++;
		most = MAX(most, used[number]);
	}
	for (int i = 1; i < SERVERS; i += DOMAINS)
		idle += used[i] == 0;
	/* A thousand near servers, six requests each at the mean. */
	assert_true(most <= 24);
	assert_true(idle < SERVERS / DOMAINS / 20);
	cw_pool_destroy(pool);
}

/* A prompt's shared parts were read once an instance, as each looked for them somewhere else. */
static void the_same_prompt_goes_to_the_same_server_from_every_instance(void **state)
{
	struct cw_pool *one = pool_in_order(0, 1);
	struct cw_pool *other = pool_in_order(1234, 7);

	for (uint64_t i = 1; i <= 100; i++) {
		struct cw_choice choice = choice_of(cw_hash(&i, sizeof(i), 3));
		struct cw_server *home = cw_pool_choose(one, &choice);

		choice.random++;
		assert_string_equal(cw_pool_choose(other, &choice)->name, home->name);
	}
	cw_pool_destroy(one);
	cw_pool_destroy(other);
}

/* Every round and every tick passed over all servers, for the few that are in use. */
static void only_servers_in_use_are_passed_over(void **state)
{
	struct cw_pool *pool = pool_in_order(0, 1);
	struct cw_server *server = cw_pool_find_name(pool, "s7");

	assert_true(TAILQ_EMPTY(cw_pool_active(pool)));
	cw_pool_dispatched(server, NOW);
	cw_pool_dispatched(server, NOW);
	cw_pool_unheard(cw_pool_find_name(pool, "s8"));
	cw_pool_sweep(pool, NOW);
	assert_ptr_equal(TAILQ_FIRST(cw_pool_active(pool)), server);
	assert_string_equal(TAILQ_NEXT(server, active_link)->name, "s8");
	cw_pool_ended(server, NOW, 10);
	cw_pool_ended(server, NOW, 10);
	cw_pool_reached(cw_pool_find_name(pool, "s8"), NOW);
	cw_pool_sweep(pool, NOW);
	assert_true(TAILQ_EMPTY(cw_pool_active(pool)));
	cw_pool_dispatched(server, NOW);
	cw_pool_forget(pool, server);
	assert_true(TAILQ_EMPTY(cw_pool_active(pool)));
	cw_pool_destroy(pool);
}

/* An instance sends to few of the servers that it knows: memory for the others' requests was half
 * of it.
 */
static void a_server_that_gets_nothing_takes_little(void **state)
{
	struct cw_pool *pool = pool_in_order(0, 1);
	struct cw_server *server = cw_pool_find_name(pool, "s7");

	assert_true(sizeof(*server) <= 1024);
	assert_null(server->history);
	assert_true(cw_pool_load(server, NOW) == 0);
	cw_pool_dispatched(server, NOW);
	assert_non_null(server->history);
	cw_pool_destroy(pool);
}

/* One that leaves is forgotten, and one that is listed again in time isn't. */
static void servers_that_are_gone_are_still_found_among_many(void **state)
{
	struct cw_pool *pool = pool_in_order(0, 1);
	struct cw_server_entry entry = {.name = "s9", .service = "llm", .failure_domain = "d0"};

	cw_pool_delist(pool, cw_pool_find_name(pool, "s8"), NOW, NOW);
	cw_pool_delist(pool, cw_pool_find_name(pool, "s9"), NOW + 1000, NOW);
	cw_pool_list(pool, &entry, NOW + 500);
	cw_pool_sweep(pool, NOW + 2000);
	assert_null(cw_pool_find_name(pool, "s8"));
	assert_non_null(cw_pool_find_name(pool, "s9"));
	cw_pool_destroy(pool);
}

/* Half of a thousand members seemed silent at any time, since each is named every few seconds. */
static void members_that_are_named_now_and_then_are_live(void **state)
{
	struct cw_membership *membership = cw_membership_create("own", "d0", SILENT);
	size_t instances;

	cw_membership_settle(membership, NOW - 60000, SILENT, 0);
	for (int i = 0; i < MEMBERS; i++) {
		char name[CW_NAME_MAX];

		name_of(name, "i", i);
		cw_membership_heard(cw_membership_learn(membership, name, "d0", "10.0.0.1:1"), 1, 0,
				    NOW - 6 * i);
	}
	cw_membership_forget(membership, NOW - 10000, 60000);
	assert_int_equal(cw_membership_live(membership, NOW), MEMBERS + 1);
	cw_membership_place(membership, 7, NOW, &instances);
	assert_int_equal(instances, MEMBERS + 1);
	cw_membership_destroy(membership);
}

/* Who reads for all is named in each message: its end must show as soon as among few. */
static void a_first_member_that_falls_silent_is_replaced_at_once(void **state)
{
	struct cw_membership *membership = cw_membership_create("own", "d0", SILENT);
	struct cw_member *first;
	struct cw_member *next;

	for (int i = 0; i < MEMBERS; i++) {
		char name[CW_NAME_MAX];

		name_of(name, "i", i);
		cw_membership_heard(cw_membership_learn(membership, name, "d0", "10.0.0.1:1"), 1, 0,
				    NOW);
	}
	assert_int_equal(cw_membership_first(membership, 7, NOW, &first, 1), 1);
	for (int i = 0; i < MEMBERS; i++) {
		char name[CW_NAME_MAX];

		name_of(name, "i", i);
		if (cw_membership_find(membership, name) != first)
			cw_membership_heard(cw_membership_find(membership, name), 1, 0,
					    NOW + SILENT + 1);
	}
	assert_int_equal(cw_membership_first(membership, 7, NOW + SILENT + 1, &next, 1), 1);
	assert_ptr_not_equal(next, first);
	cw_membership_destroy(membership);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(requests_spread_over_all_servers),
		cmocka_unit_test(the_same_prompt_goes_to_the_same_server_from_every_instance),
		cmocka_unit_test(only_servers_in_use_are_passed_over),
		cmocka_unit_test(a_server_that_gets_nothing_takes_little),
		cmocka_unit_test(servers_that_are_gone_are_still_found_among_many),
		cmocka_unit_test(members_that_are_named_now_and_then_are_live),
		cmocka_unit_test(a_first_member_that_falls_silent_is_replaced_at_once),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
