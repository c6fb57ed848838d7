/* Orders that come while the log of claims can't guard their keys, on the own interface. */
#include "unit.h"
#include "world.h"

#include <string.h>

#define NODES	    2
#define START_MS    4000
#define OUTAGE_MS   5000 /* the longest time between two reads is reached by then */
#define SLOW_MS	    200	 /* one way: an answer takes twice as long */
#define REJECT_MS   500	 /* within it an order is rejected during an outage */
#define SETTLE_MS   8000 /* until what was lost is in the log again, everywhere */
#define NEW_ORDERS  6
#define SEEDS	    150
#define SEED_KEYS   8
#define SEED_ORDERS 60

static struct world *open_world(uint64_t seed)
{
	static const char *const rows[] = {"a,service:orders,,,,,allowed", NULL};
	struct world_config config = {
		.nodes = NODES,
		.domains = 1,
		.servers = 2,
		.services = 2,
		.slots = 64,
		.seed = seed,
		.latency_ms = 1,
		.store_latency_ms = 2,
		.report_lag_ms = 50,
		.tick_ms = 25,
		.trace = g_getenv("TRACE") != NULL,
	};
	struct world *world;

	cw_node_set_defaults(&config.node);
	world = world_create(&config);
	world_publish(world, rows);
	world_add_key(world, "a");
	for (int i = 0; i < NODES; i++)
		world_start(world, i);
	world_advance(world, START_MS);
	return world;
}

static struct world_request *send_order(struct world *world, int node, int key)
{
	struct cw_node_request in;

	world_request_init(&in, "a", "orders", CW_REQUEST_SERVICE);
	g_snprintf(in.idempotency_key, CW_ID_MAX, "k%d", key);
	in.deadline_ms = world_now(world) + 10000;
	return world_send(world, node, &in, 0);
}

static void assert_rejected_unrun(const struct world_request *order)
{
	assert_int_equal(order->final_answers, 1);
	assert_int_equal(order->end, CW_EFFECT_REJECT);
	assert_int_equal(order->code, CW_CODE_PLATFORM_UNAVAILABLE);
	assert_int_equal(order->run, CW_RUN_NOT_EXECUTED);
	assert_true(order->retry_after_ms > 0);
	assert_int_equal(order->runs, 0);
}

/* Guards against an order that is rejected as the instance has not read the log since an outage. */
static void an_order_right_after_an_outage_is_served(void **state)
{
	struct world *world = open_world(7);
	const struct world_request *orders[NODES];

	world_set_outage(world, 1);
	world_advance(world, OUTAGE_MS);
	world_set_outage(world, 0);
	for (int i = 0; i < NODES; i++)
		orders[i] = send_order(world, i, i);
	world_advance(world, 1000);
	for (int i = 0; i < NODES; i++) {
		assert_int_equal(orders[i]->end, CW_EFFECT_RELEASE);
		assert_int_equal(orders[i]->runs, 1);
	}
	world_destroy(world);
}

/* Guards against the same on a slow platform, with a read of before the order still in progress. */
static void an_order_right_after_an_outage_is_served_by_a_slow_platform(void **state)
{
	for (int64_t read_ms = 0; read_ms <= 1500; read_ms += 50) {
		struct world *world = open_world(7);
		const struct world_request *order;

		world_set_outage(world, 1);
		world_advance(world, OUTAGE_MS);
		world_set_outage(world, 0);
		world_set_store_latency(world, SLOW_MS);
		world_advance(world, read_ms);
		order = send_order(world, 0, 1);
		world_advance(world, 4000);
		assert_int_equal(order->end, CW_EFFECT_RELEASE);
		assert_int_equal(order->runs, 1);
		world_destroy(world);
	}
}

/* Guards against orders that wait, or leave a claim that holds their key, while the platform is
 * out.
 */
static void an_order_during_an_outage_is_rejected_soon(void **state)
{
	struct world *world = open_world(7);

	world_set_outage(world, 1);
	world_advance(world, OUTAGE_MS);
	for (int key = 0; key < 20; key++) {
		const struct world_request *order = send_order(world, key % NODES, key);

		world_advance(world, REJECT_MS);
		assert_rejected_unrun(order);
	}
	world_set_outage(world, 0);
	for (int key = 0; key < 20; key++) {
		const struct world_request *order = send_order(world, (key + 1) % NODES, key);

		world_advance(world, 1000);
		assert_int_equal(order->runs, 1);
	}
	world_destroy(world);
}

/* Guards against a failing platform that gets a read for each order. */
static void orders_during_an_outage_add_few_reads(void **state)
{
	struct world *world = open_world(7);
	uint64_t before;

	world_set_outage(world, 1);
	world_advance(world, OUTAGE_MS);
	before = world_node(world, 0)->reads;
	for (int key = 0; key < 500; key++) {
		send_order(world, 0, key);
		world_advance(world, 10);
	}
	/* Five a second for the orders, and about one a second for each of three streams. */
	assert_true(world_node(world, 0)->reads - before <= 5 * (5 + 3 * 2));
	world_destroy(world);
}

/* Guards against orders that wait for a platform that hangs. */
static void a_platform_that_does_not_answer_is_not_waited_for(void **state)
{
	struct world *world = open_world(7);
	const struct world_request *order;

	world_set_store_latency(world, 60000);
	world_advance(world, 10000);
	order = send_order(world, 0, 1);
	assert_rejected_unrun(order);
	world_destroy(world);
}

/* Loses the newest six records; after_ms later new orders come, each of which is to run once. The
 * appends that follow those of their first claims are late where is_late is set. */
static void assert_new_orders_run_once_after_a_loss(int64_t after_ms, int holds_claims, int is_late)
{
	struct world *world = open_world(7);
	const struct world_request *orders[NEW_ORDERS];
	const struct world_request *repeats[NEW_ORDERS];

	for (int key = 0; key < 10; key++) {
		send_order(world, key % NODES, key);
		world_advance(world, 200);
	}
	for (int i = 0; i < 6 && !holds_claims; i++)
		world_append(world, CW_STREAM_CLAIMS, "{\"claims\":[]}");
	world_advance(world, 2000);
	world_lose_records(world, CW_STREAM_CLAIMS, 6);
	world_advance(world, after_ms);
	for (int i = 0; i < NEW_ORDERS; i++)
		orders[i] = send_order(world, i % NODES, 100 + i);
	world_advance(world, 1);
	if (is_late)
		world_lose_append_answers(world, NODES, 1);
	world_advance(world, SETTLE_MS);
	for (int i = 0; i < NODES; i++) {
		world_crash(world, i);
		world_start(world, i);
	}
	world_advance(world, START_MS);
	for (int i = 0; i < NEW_ORDERS; i++)
		repeats[i] = send_order(world, (i + 1) % NODES, 100 + i);
	world_advance(world, 2000);
	for (int i = 0; i < NEW_ORDERS; i++) {
		assert_int_equal(orders[i]->end, CW_EFFECT_RELEASE);
		assert_int_equal(orders[i]->runs, 1);
		assert_int_equal(repeats[i]->end, CW_EFFECT_REPLAY);
		assert_int_equal(repeats[i]->runs, 0);
	}
	world_destroy(world);
}

/* Guards against orders that are rejected since the stream of claims came back shorter. */
static void new_orders_right_after_a_loss_of_claims_are_served(void **state)
{
	for (int64_t after_ms = 0; after_ms <= 1200; after_ms += 50) {
		assert_new_orders_run_once_after_a_loss(after_ms, 1, 0);
		assert_new_orders_run_once_after_a_loss(after_ms, 0, 0);
		assert_new_orders_run_once_after_a_loss(after_ms, 0, 1);
	}
}

static void disturb(struct world *world, GRand *random)
{
	switch (g_rand_int_range(random, 0, 5)) {
	case 0:
		world_lose_records(world, CW_STREAM_CLAIMS, (size_t)g_rand_int_range(random, 1, 8));
		break;
	case 1:
		world_set_outage(world, 1);
		world_advance(world, g_rand_int_range(random, 1, 3000));
		world_set_outage(world, 0);
		break;
	case 2:
		world_lose_append_answers(world, g_rand_int_range(random, 1, 4),
					  g_rand_int_range(random, 0, 2));
		break;
	case 3:
		world_set_store_latency(world, g_rand_int_range(random, 1, SLOW_MS));
		break;
	default:
		world_advance(world, SETTLE_MS);
		world_crash(world, 1);
		world_start(world, 1);
		break;
	}
}

/* Guards against an order that runs twice, or is reported as not run and did, as it waited. */
static void orders_that_wait_run_once_whatever_happens_to_the_log(void **state)
{
	for (uint64_t seed = 1; seed <= SEEDS; seed++) {
		struct world *world = open_world(seed);
		GRand *random = g_rand_new_with_seed((guint32)seed);
		int runs[SEED_KEYS] = {0};
		const GPtrArray *orders = world_requests(world);

		for (int i = 0; i < SEED_ORDERS; i++) {
			if (g_rand_int_range(random, 0, 8) == 0)
				disturb(world, random);
			send_order(world, g_rand_int_range(random, 0, NODES),
				   g_rand_int_range(random, 0, SEED_KEYS));
			world_advance(world, g_rand_int_range(random, 0, 700));
		}
		world_advance(world, SETTLE_MS);
		for (guint i = 0; i < orders->len; i++) {
			const struct world_request *order = g_ptr_array_index(orders, i);

			runs[g_ascii_strtoll(order->in.idempotency_key + 1, NULL, 10)] +=
				(int)order->runs;
			if (order->end == CW_EFFECT_REJECT && order->run == CW_RUN_NOT_EXECUTED)
				assert_int_equal(order->runs, 0);
		}
		for (int key = 0; key < SEED_KEYS; key++) {
			if (runs[key] > 1)
				printf("seed %d key k%d\n", (int)seed, key);
			assert_true(runs[key] <= 1);
		}
		g_rand_free(random);
		world_destroy(world);
	}
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(an_order_right_after_an_outage_is_served),
		cmocka_unit_test(an_order_right_after_an_outage_is_served_by_a_slow_platform),
		cmocka_unit_test(an_order_during_an_outage_is_rejected_soon),
		cmocka_unit_test(orders_during_an_outage_add_few_reads),
		cmocka_unit_test(a_platform_that_does_not_answer_is_not_waited_for),
		cmocka_unit_test(new_orders_right_after_a_loss_of_claims_are_served),
		cmocka_unit_test(orders_that_wait_run_once_whatever_happens_to_the_log),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
