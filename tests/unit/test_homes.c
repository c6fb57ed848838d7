/* The homes of prompt prefixes: how many there are, and where requests with one go. */
#include "unit.h"

#include "cw_hash.h"
#include "cw_pool.h"

#include <glib.h>
#include <stdio.h>
#include <string.h>

#define SERVERS	      36
#define INSTANCES     12
#define SLOTS	      16
#define ROUND_MS      150 /* between two exchanges of loads */
#define ANSWER_MS     400
#define CACHED_MS     2000 /* a prefix that is not used stays in the cache */
#define HOT	      7	   /* the prefix of one subject */
#define PREFIX_TOKENS 3000
#define PROMPT_TOKENS 4000
#define MS_PER_TOKEN  0.02
#define RECORDED_HASH 0x1373fa97217795d7ULL

/* A request in progress at a server. */
struct running {
	int64_t ends_ms;
	size_t instance;
	size_t server;
};

/* Instances that send to the same servers and know each other's loads of the last round. */
struct bed {
	struct cw_pool *pools[INSTANCES];
	struct cw_server *servers[INSTANCES][SERVERS];
	GArray *running;
	unsigned int requests[SERVERS];
	GHashTable *cached; /* server and prefix -> time of the last use */
	size_t hot_reads;   /* requests with the hot prefix where it was not cached */
	uint64_t random;
	int64_t now_ms;
	int64_t round_ms;
};

static uint64_t next_random(struct bed *bed)
{
	bed->random = cw_hash(&bed->random, sizeof(bed->random), 3);
	return bed->random;
}

static void open_bed(struct bed *bed, const struct cw_policy *policy, uint64_t seed)
{
	memset(bed, 0, sizeof(*bed));
	bed->random = seed;
	bed->now_ms = 1000;
	bed->running = g_array_new(FALSE, FALSE, sizeof(struct running));
	bed->cached = g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, g_free);
	for (size_t i = 0; i < INSTANCES; i++) {
		bed->pools[i] = cw_pool_create(&cw_choice_cost);
		cw_pool_set_policy(bed->pools[i], policy);
		cw_pool_set_instances(bed->pools[i], INSTANCES);
		for (int s = 0; s < SERVERS; s++) {
			char name[16];

			snprintf(name, sizeof(name), "s%d", s);
			bed->servers[i][s] =
				cw_pool_add(bed->pools[i], name, "llm", "127.0.0.1:1", "d1", 1);
			bed->servers[i][s]->slots = SLOTS;
		}
	}
}

static void close_bed(struct bed *bed)
{
	for (size_t i = 0; i < INSTANCES; i++)
		cw_pool_destroy(bed->pools[i]);
	g_array_free(bed->running, TRUE);
	g_hash_table_destroy(bed->cached);
}

static void end_answers(struct bed *bed)
{
	for (guint i = 0; i < bed->running->len;) {
		struct running *running = &g_array_index(bed->running, struct running, i);

		if (running->ends_ms > bed->now_ms) {
			i++;
			continue;
		}
		cw_pool_record_end(bed->servers[running->instance][running->server], bed->now_ms,
				   ANSWER_MS);
		g_array_remove_index_fast(bed->running, i);
	}
}

static void exchange_loads(struct bed *bed)
{
	if (bed->now_ms - bed->round_ms < ROUND_MS)
		return;
	bed->round_ms = bed->now_ms;
	for (size_t s = 0; s < SERVERS; s++) {
		unsigned int all = 0;

		for (size_t i = 0; i < INSTANCES; i++)
			all += bed->servers[i][s]->own_running;
		for (size_t i = 0; i < INSTANCES; i++) {
			bed->servers[i][s]->peers_running = all - bed->servers[i][s]->own_running;
			bed->servers[i][s]->peers_ms = bed->now_ms;
		}
	}
}

static void use_cache(struct bed *bed, uint64_t prefix, size_t server)
{
	uint64_t key = prefix * SERVERS + server;
	int64_t *used_ms = g_hash_table_lookup(bed->cached, &key);

	bed->hot_reads += prefix == HOT && (!used_ms || bed->now_ms - *used_ms > CACHED_MS);
	g_hash_table_replace(bed->cached, g_memdup2(&key, sizeof(key)),
			     g_memdup2(&bed->now_ms, sizeof(bed->now_ms)));
}

/* Sends one request; returns the server that it went to. */
static size_t send_request(struct bed *bed, uint64_t prefix)
{
	size_t instance = next_random(bed) % INSTANCES;
	int is_at_home = 0;
	struct cw_choice choice = {
		.service = "llm",
		.prefix = prefix,
		.failure_domain = "d1",
		.now_ms = bed->now_ms,
		.random = next_random(bed),
		.prompt_tokens = PROMPT_TOKENS,
		.prefix_tokens = PREFIX_TOKENS,
		.ms_per_token = MS_PER_TOKEN,
		.is_affinity_server = &is_at_home,
	};
	struct cw_server *server = cw_pool_choose(bed->pools[instance], &choice);
	struct running running = {.ends_ms = bed->now_ms + ANSWER_MS, .instance = instance};

	while (bed->servers[instance][running.server] != server)
		running.server++;
	cw_pool_record_dispatch(server, bed->now_ms);
	cw_pool_count_prefix(server, prefix, (PROMPT_TOKENS - PREFIX_TOKENS) * MS_PER_TOKEN,
			     is_at_home, bed->now_ms);
	g_array_append_val(bed->running, running);
	bed->requests[running.server]++;
	use_cache(bed, prefix, running.server);
	return running.server;
}

/* A request each gap_ms; hot_part of them have the hot prefix, the rest one of 400. */
static uint64_t play(struct bed *bed, size_t count, int64_t gap_ms, double hot_part)
{
	uint64_t hash = 0;

	for (size_t i = 0; i < count; i++) {
		int is_hot = cw_hash_to_fraction(next_random(bed)) < hot_part;
		size_t server;

		bed->now_ms += gap_ms;
		end_answers(bed);
		exchange_loads(bed);
		server = send_request(bed, is_hot ? HOT : 100 + next_random(bed) % 400);
		hash = cw_hash(&server, sizeof(server), hash);
	}
	return hash;
}

static double busiest_by_mean(const struct bed *bed)
{
	double sum = 0, most = 0;

	for (size_t s = 0; s < SERVERS; s++) {
		sum += bed->requests[s];
		most = MAX(most, bed->requests[s]);
	}
	return most * SERVERS / sum;
}

/* Load pattern: a fifth of all requests has one prefix. */
static void test_hot_prefix_gets_homes(void **state)
{
	for (uint64_t seed = 1; seed <= 5; seed++) {
		struct bed bed;
		struct cw_homes_stats stats;
		size_t reads;

		open_bed(&bed, cw_policy_default(), seed);
		play(&bed, 4000, 2, 0.2);
		reads = bed.hot_reads;
		memset(bed.requests, 0, sizeof(bed.requests));
		play(&bed, 8000, 2, 0.2);
		assert_true(bed.hot_reads - reads < 8000 * 0.2 / 100);
		assert_true(busiest_by_mean(&bed) < 2);
		cw_homes_get_stats(cw_pool_homes(bed.pools[0]), &stats);
		assert_int_equal(stats.prefixes, 1);
		close_bed(&bed);
	}
}

/* Without a hot prefix the servers are those of the version before homes (recorded). */
static void test_ordinary_prefixes_keep_their_server(void **state)
{
	struct bed bed;

	open_bed(&bed, cw_policy_default(), 11);
	assert_true(play(&bed, 6000, 4, 0) == RECORDED_HASH);
	close_bed(&bed);
}

static void test_home_without_a_free_slot_does_not_attract(void **state)
{
	struct bed bed;
	size_t home;

	open_bed(&bed, cw_policy_default(), 5);
	home = send_request(&bed, HOT);
	for (size_t i = 0; i < INSTANCES; i++)
		bed.servers[i][home]->peers_running = SLOTS + 2;
	for (size_t i = 0; i < INSTANCES; i++)
		bed.servers[i][home]->peers_ms = bed.now_ms;
	assert_int_not_equal(send_request(&bed, HOT), home);
	close_bed(&bed);
}

/* The other homes of a prefix keep it when one of them leaves. */
static void test_other_homes_remain_when_one_leaves(void **state)
{
	struct bed bed;
	size_t home;
	size_t reads;

	open_bed(&bed, cw_policy_default(), 2);
	play(&bed, 6000, 2, 0.2);
	home = send_request(&bed, HOT);
	for (size_t i = 0; i < INSTANCES; i++)
		bed.servers[i][home]->is_leaving = 1;
	reads = bed.hot_reads;
	play(&bed, 2000, 2, 0.2);
	assert_true(bed.hot_reads - reads < 2000 * 0.2 / 100);
	close_bed(&bed);
}

/* Two requests that repeat a prefix by chance must not look like demand on a thousand instances. */
static void test_chance_repeats_are_no_demand(void **state)
{
	struct cw_homes *homes = cw_homes_create();
	struct cw_homes_terms terms = {.instances = 986, .server_part = 0.25};

	cw_homes_add(homes, HOT, 40, 1, 1000);
	cw_homes_add(homes, HOT, 40, 1, 1100);
	assert_int_equal(cw_homes_count(homes, HOT, &terms, 1200), 1);
	terms.instances = 0;
	for (int i = 0; i < 100; i++)
		cw_homes_add(homes, HOT, 400, 1, 1200);
	assert_int_equal(cw_homes_count(homes, HOT, &terms, 1200), 1);
	cw_homes_destroy(homes);
}

/* More prefixes than are tracked must not displace the hot one. */
static void test_many_prefixes_leave_the_hot_one_tracked(void **state)
{
	struct cw_homes *homes = cw_homes_create();
	struct cw_homes_terms terms = {.instances = 4, .server_part = 0.25};

	for (uint64_t i = 0; i < 5000; i++) {
		cw_homes_add(homes, 1000 + i, 20, 1, 1000 + (int64_t)i);
		if (i % 20 == 0)
			cw_homes_add(homes, HOT, 20, 1, 1000 + (int64_t)i);
	}
	assert_true(cw_homes_count(homes, HOT, &terms, 6000) > 1);
	cw_homes_destroy(homes);
}

/* Demand at the edge of another home must not change their number back and forth. */
static void test_homes_follow_demand_without_flapping(void **state)
{
	struct cw_homes_terms terms = {.instances = 4, .server_part = 0.25};
	struct cw_homes_change change;

	for (uint64_t seed = 1; seed <= 50; seed++) {
		struct cw_homes *homes = cw_homes_create();
		size_t changes = 0;
		size_t most = 0;
		int64_t now_ms = 1000;

		for (uint64_t i = 0; i < 2400; i++, now_ms += 25) {
			if (cw_hash_to_fraction(cw_hash(&i, sizeof(i), seed)) < 0.25)
				cw_homes_add(homes, HOT, 30, 1, now_ms);
			most = MAX(most, cw_homes_count(homes, HOT, &terms, now_ms));
			changes += (size_t)cw_homes_next_change(homes, &change);
		}
		assert_in_range(most, 4, 8);
		assert_true(changes <= most);
		assert_int_equal(cw_homes_count(homes, HOT, &terms, now_ms + 60000), 1);
		cw_homes_destroy(homes);
	}
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_hot_prefix_gets_homes),
		cmocka_unit_test(test_ordinary_prefixes_keep_their_server),
		cmocka_unit_test(test_home_without_a_free_slot_does_not_attract),
		cmocka_unit_test(test_other_homes_remain_when_one_leaves),
		cmocka_unit_test(test_chance_repeats_are_no_demand),
		cmocka_unit_test(test_many_prefixes_leave_the_hot_one_tracked),
		cmocka_unit_test(test_homes_follow_demand_without_flapping),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
