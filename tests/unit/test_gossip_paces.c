/* The announcement of the speed of servers: encoding, turns, and messages that can't be. */
#include "cw_gossip.h"
#include "cw_gossip_paces.h"
#include "unit.h"

#include <glib.h>
#include <math.h>
#include <stdio.h>
#include <string.h>

#define NOW   100000
#define SEEDS 200

static struct cw_server *add_server(struct cw_pool *pool, int number, int64_t start_ms)
{
	struct cw_server_entry entry = {
		.process_start_ms = start_ms, .service = "llm", .failure_domain = "d1", .slots = 8};

	snprintf(entry.name, sizeof(entry.name), "s%d", number);
	cw_pool_apply_entry(pool, &entry, NOW);
	return cw_pool_find_name(pool, entry.name);
}

static struct cw_pool *create_pool(int servers)
{
	struct cw_pool *pool = cw_pool_create(&cw_choice_cost);

	for (int i = 0; i < servers; i++) {
		struct cw_server *server = add_server(pool, i, 5000);

		cw_pool_report_pace(server, 1.6, NOW);
		cw_pool_record_speed(server, 1.2, NOW);
	}
	return pool;
}

static void all_servers_are_named_in_turn_and_new_samples_at_once(void **state)
{
	struct cw_pool *pool = create_pool(2 * CW_GOSSIP_PACES + 5);
	struct cw_gossip_paces message;
	size_t next = 0;
	size_t named = 0;

	do {
		memset(&message, 0, sizeof(message));
		cw_gossip_fill_paces(&message, pool, 0, &next, NOW);
		named += message.count;
	} while (next > 0);
	assert_int_equal(named, 2 * CW_GOSSIP_PACES + 5);
	memset(&message, 0, sizeof(message));
	cw_pool_record_speed(cw_pool_find_name(pool, "s3"), 1.1, NOW + 100);
	cw_gossip_fill_paces(&message, pool, NOW, &next, NOW + 150);
	assert_int_equal(message.count, 1);
	assert_true(message.paces[0].server == cw_pool_find_name(pool, "s3")->id);
	cw_pool_destroy(pool);
}

/* Guards against the speed of a server's earlier start, on another machine, that outlives it. */
static void a_server_that_restarts_has_the_usual_pace(void **state)
{
	struct cw_pool *pool = create_pool(1);
	struct cw_gossip_paces message = {0};
	struct cw_server *second;
	size_t next = 0;

	for (int i = 0; i < 10; i++)
		cw_pool_report_pace(cw_pool_find_name(pool, "s0"), 3, NOW + i * 300);
	assert_true(cw_pool_pace(cw_pool_find_name(pool, "s0"), NOW + 3000) > 2);
	cw_gossip_fill_paces(&message, pool, 0, &next, NOW + 3000);
	second = add_server(pool, 0, 9000);
	assert_true(cw_pool_pace(second, NOW + 3000) == CW_PACE_USUAL);
	assert_true(message.paces[0].server != second->id);
	cw_pool_sweep(pool, NOW + 3000);
	message.count = 0;
	cw_gossip_fill_paces(&message, pool, 0, &next, NOW + 3000);
	assert_int_equal(message.count, 0);
	cw_pool_destroy(pool);
}

/* Guards against a damaged, cut or false message that ends all work at a server. */
static void damaged_messages_are_rejected_or_bounded(void **state)
{
	struct cw_pool *pool = create_pool(CW_GOSSIP_PACES);
	struct cw_gossip_paces sent = {.announced_ms = 1790651616045};
	struct cw_gossip_paces read;
	char bytes[CW_GOSSIP_PACES_BYTES];
	size_t next = 0;
	size_t size;

	memset(sent.sender, 'n', CW_NAME_MAX - 1);
	cw_gossip_fill_paces(&sent, pool, 0, &next, NOW + 40);
	size = cw_gossip_encode_paces(&sent, bytes, sizeof(bytes));
	assert_int_equal(cw_gossip_decode_paces(bytes, size, &read), CW_OK);
	assert_true(read.announced_ms == sent.announced_ms && read.count == CW_GOSSIP_PACES);
	for (size_t i = 0; i < read.count; i++) {
		assert_true(read.paces[i].server == sent.paces[i].server);
		assert_true(fabs(read.paces[i].momentary - 1.6) < 0.006);
		assert_int_equal(read.paces[i].momentary_age_ms, 40);
		assert_true(fabsf(read.paces[i].evidence.reported - 1.6F) < 0.006F);
		assert_memory_equal(&read.paces[i].evidence.learned,
				    &sent.paces[i].evidence.learned, sizeof(struct cw_pace_sums));
	}
	for (size_t cut = 0; cut < size; cut++)
		assert_int_equal(cw_gossip_decode_paces(bytes, cut, &read), CW_INVALID);
	for (guint32 seed = 0; seed < SEEDS; seed++) {
		GRand *random = g_rand_new_with_seed(seed);
		struct cw_pace pace = {0};

		cw_gossip_encode_paces(&sent, bytes, sizeof(bytes));
		for (int i = 0; i < 30; i++)
			bytes[g_rand_int_range(random, 96, (gint32)size)] ^=
				(char)g_rand_int_range(random, 1, 256);
		if (cw_gossip_decode_paces(bytes, size, &read) != CW_OK)
			read.count = 0;
		for (size_t i = 0; i < read.count; i++) {
			struct cw_pace_origin origin = {.instance = 1 + i, .received_ms = NOW};

			origin.evidence = read.paces[i].evidence;
			cw_pace_merge(&pace, &origin, NOW);
			cw_pace_merge_momentary(&pace, read.paces[i].momentary, NOW);
			assert_true(cw_pace_learned(&pace, NOW) >= CW_PACE_MIN);
			assert_true(cw_pace_learned(&pace, NOW) <= CW_PACE_MAX);
			assert_true(cw_pace_reported(&pace, 300, NOW) >= CW_PACE_MIN);
			assert_true(cw_pace_reported(&pace, 300, NOW) <= CW_PACE_MAX);
		}
		cw_pace_clear(&pace);
		g_rand_free(random);
	}
	cw_pool_destroy(pool);
}

/* Guards against sums that no samples give, and a message that an earlier build misreads. */
static void false_sums_and_other_messages_are_told_apart(void **state)
{
	static const struct cw_pace_sums sums[] = {{-1, 0, 0},	    {1, 3, 0.1F},     {1, 0, -1},
						   {1, NAN, 0},	    {INFINITY, 0, 0}, {1, 0.1F, 50},
						   {2e6F, 0.1F, 0}, {NAN, 0, 0}};
	struct cw_gossip_paces message = {.sender = "n1", .count = 1};
	struct cw_gossip *gossip = g_new0(struct cw_gossip, 1);
	char bytes[CW_GOSSIP_PACES_BYTES];
	size_t size = cw_gossip_encode_paces(&message, bytes, sizeof(bytes));

	assert_true(size > 0);
	assert_int_equal(cw_gossip_decode(bytes, size, gossip), CW_INVALID);
	for (size_t i = 0; i < G_N_ELEMENTS(sums); i++) {
		message.paces[0].evidence.learned = sums[i];
		assert_int_equal(cw_gossip_encode_paces(&message, bytes, sizeof(bytes)), 0);
	}
	g_free(gossip);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(all_servers_are_named_in_turn_and_new_samples_at_once),
		cmocka_unit_test(a_server_that_restarts_has_the_usual_pace),
		cmocka_unit_test(damaged_messages_are_rejected_or_bounded),
		cmocka_unit_test(false_sums_and_other_messages_are_told_apart),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
