/* Backend servers that ask an instance for rest, on the project's own interface. */
#include "unit.h"
#include "world.h"

#include <string.h>

#define REST_MS	    2000
#define GRACE_MS    500 /* requests on their way when the server asked */
#define EXTRA_MAX   2	/* allowed within one rest */
#define INTERVAL_MS 20
#define PLAY_MS	    10000

/* Of one instance: when the resting server first got a request in this rest, and how many since. */
struct rests {
	int64_t asked_ms;
	int extra;
	int most;
};

static void on_dispatch(void *context, struct world *world, struct world_request *request, int node,
			const struct cw_effect *effect)
{
	struct rests *rests = (struct rests *)context + node;
	int64_t now_ms = world_now(world);

	if (strcmp(effect->dispatch.address, world_server(world, 0)->name) != 0)
		return;
	if (!rests->asked_ms || now_ms >= rests->asked_ms + REST_MS) {
		rests->asked_ms = now_ms;
		rests->extra = 0;
	} else if (now_ms > rests->asked_ms + GRACE_MS) {
		rests->extra++;
		rests->most = MAX(rests->most, rests->extra);
	}
}

static struct world *open_world(struct rests *rests)
{
	static const char *const rows[] = {"a,m,1,100,1,,allowed", NULL};
	struct cw_node_config node;
	struct world_config config = {
		.nodes = 2,
		.domains = 1,
		.servers = 2,
		.slots = 8,
		.seed = 3,
		.latency_ms = 1,
		.store_latency_ms = 2,
		.report_lag_ms = 50,
		.tick_ms = 25,
		.on_dispatch = on_dispatch,
		.context = rests,
	};
	struct world_profile profile = {.model = "m",
					.version = "1",
					.quality = 0.9,
					.slowdown = 1,
					.cost_per_1k = 1,
					.first_ms = 20,
					.token_ms = 1,
					.degraded_from_ms = -1};
	struct world *world;

	cw_node_set_defaults(&node);
	config.node = node;
	world = world_create(&config);
	world_profile(world, &profile);
	world_load_on_all_servers(world, "m", "1");
	world_publish(world, rows);
	world_add_key(world, "a");
	for (int i = 0; i < config.nodes; i++)
		world_start(world, i);
	world_advance(world, 3000);
	return world;
}

static void send_requests(struct world *world, int64_t duration_ms)
{
	for (int64_t sent_ms = 0; sent_ms < duration_ms; sent_ms += INTERVAL_MS) {
		struct cw_node_request in;

		world_request_init(&in, "a", "m", CW_REQUEST_IDEMPOTENT);
		in.deadline_ms = world_now(world) + 5000;
		world_send(world, (int)(sent_ms / INTERVAL_MS) % 2, &in, 20);
		world_advance(world, INTERVAL_MS);
	}
	world_advance(world, 6000);
}

static size_t count_rejected(struct world *world)
{
	const GPtrArray *requests = world_requests(world);
	size_t count = 0;

	for (guint i = 0; i < requests->len; i++) {
		const struct world_request *request = g_ptr_array_index(requests, i);

		count += request->end == CW_EFFECT_REJECT;
	}
	return count;
}

/* Guards against a server that is asked again and again while it has nothing to give. */
static void an_engine_that_asked_for_rest_gets_no_request(void **state)
{
	struct rests rests[2] = {0};
	struct world *world = open_world(rests);

	world_server(world, 0)->rest_ms = REST_MS;
	send_requests(world, PLAY_MS);
	print_message("most in one rest: %d, %d\n", rests[0].most, rests[1].most);
	assert_in_range(rests[0].most, 0, EXTRA_MAX);
	assert_in_range(rests[1].most, 0, EXTRA_MAX);
	assert_true(rests[0].asked_ms > 0 && rests[1].asked_ms > 0);
	assert_int_equal(count_rejected(world), 0);
	world_destroy(world);
}

/* Guards against callers that return while the only engines rest. */
static void callers_of_resting_engines_are_sent_away_until_the_rest_ends(void **state)
{
	struct rests rests[2] = {0};
	struct world *world = open_world(rests);
	const GPtrArray *requests;
	size_t covered = 0;

	world_server(world, 0)->rest_ms = REST_MS;
	world_server(world, 1)->rest_ms = REST_MS;
	send_requests(world, 1500);
	requests = world_requests(world);
	for (guint i = 0; i < requests->len; i++) {
		const struct world_request *request = g_ptr_array_index(requests, i);

		assert_int_equal(request->end, CW_EFFECT_REJECT);
		assert_true(request->ended_ms - request->began_ms < 200);
		covered +=
			request->began_ms + request->retry_after_ms >= rests[0].asked_ms + REST_MS;
	}
	assert_true(covered * 10 >= requests->len * 9);
	assert_in_range(rests[0].most, 0, EXTRA_MAX);
	world_destroy(world);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(an_engine_that_asked_for_rest_gets_no_request),
		cmocka_unit_test(callers_of_resting_engines_are_sent_away_until_the_rest_ends),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
