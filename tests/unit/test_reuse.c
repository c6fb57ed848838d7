/* Fewer new connections: silence that requests explain, and servers with an idle connection. */
#include "gate_bed.h"
#include "unit.h"

#include <string.h>

#define NOW FIXTURE_NOW_MS

static struct cw_server *busy_server(struct cw_pool *pool)
{
	struct cw_server *server = cw_pool_add(pool, "s1", "llm", "10.0.0.1:1", "d1", 1);

	cw_pool_record_dispatch(server, NOW);
	return server;
}

/* Load pattern: a prompt that takes 600 ms, or events 200 ms apart. */
static void test_working_server_is_not_probed_before_its_answer_is_due(void **state)
{
	struct cw_pool *pool = cw_pool_create(&cw_choice_cost);
	struct cw_server *server = busy_server(pool);

	assert_true(cw_pool_needs_probe(server, NOW + 300));
	assert_true(cw_pool_expects_silence(server, 600, NOW + 700));
	assert_false(cw_pool_expects_silence(server, 600, NOW + 750));
	cw_pool_mark_seen(server, NOW + 1000);
	assert_true(cw_pool_expects_silence(server, 200, NOW + 1300));
	assert_false(cw_pool_expects_silence(server, 200, NOW + 1350));
	cw_pool_destroy(pool);
}

/* A server that is cut off must be found as soon as its silence has no explanation. */
static void test_unexplained_silence_is_probed_after_quiet_ms(void **state)
{
	struct cw_pool *pool = cw_pool_create(&cw_choice_cost);
	struct cw_server *server = busy_server(pool);

	assert_false(cw_pool_expects_silence(server, 0, NOW + 150));
	assert_false(cw_pool_expects_silence(server, 60000, NOW + 1150));
	cw_pool_begin_forward(server, NOW);
	assert_false(cw_pool_expects_silence(server, 600, NOW + 300));
	cw_pool_end_forward(server);
	cw_pool_mark_unreachable(server);
	assert_false(cw_pool_expects_silence(server, 600, NOW + 300));
	cw_pool_destroy(pool);
}

/* A failure domain that is cut off must be found at once, though each server may be working. */
static void test_one_server_of_a_silent_domain_is_probed(void **state)
{
	struct cw_pool *pool = cw_pool_create(&cw_choice_cost);
	struct cw_server *servers[4];

	for (int i = 0; i < 4; i++) {
		char name[] = {'s', (char)('0' + i), 0};

		servers[i] = cw_pool_add(pool, name, "llm", "10.0.0.1:1", i < 3 ? "d1" : "d2", 1);
		cw_pool_record_dispatch(servers[i], NOW);
		cw_pool_mark_seen(servers[i], NOW + 10);
	}
	assert_true(cw_pool_expects_silence(servers[0], 600, NOW + 159));
	assert_false(cw_pool_expects_silence(servers[0], 600, NOW + 160));
	assert_true(cw_pool_expects_silence(servers[3], 600, NOW + 160)); /* alone there */
	servers[0]->probed_ms = NOW + 160;
	assert_true(cw_pool_expects_silence(servers[1], 600, NOW + 160));
	assert_false(cw_pool_expects_silence(servers[1], 600, NOW + 460));
	cw_pool_mark_seen(servers[2], NOW + 455);
	assert_true(cw_pool_expects_silence(servers[1], 600, NOW + 460));
	cw_pool_destroy(pool);
}

static void test_silence_is_probed_as_before_when_off(void **state)
{
	struct cw_policy policy = *cw_policy_default();
	struct cw_pool *pool = cw_pool_create(&cw_choice_cost);
	struct cw_server *server;

	policy.expected_silence_ms = 0;
	cw_pool_set_policy(pool, &policy);
	server = busy_server(pool);
	assert_false(cw_pool_expects_silence(server, 600, NOW + 150));
	cw_pool_destroy(pool);
}

static void test_silence_of_a_call_follows_its_prediction(void **state)
{
	struct cw_response_head head = {.status = 200, .is_signed = 1, .confidence = 100};
	struct fixture fixture;
	struct cw_server *server;

	fixture_open(&fixture);
	fixture.info.prompt_tokens = 100000;
	fixture.info.segment_count = 1;
	fixture_open_call(&fixture, "/chat/1");
	server = cw_call_server(fixture.call);
	assert_int_equal(cw_call_silence_ms(fixture.call, NOW, NOW + 100),
			 (int64_t)cw_call_predicted_ms(fixture.call));
	assert_int_equal(cw_call_silence_ms(fixture.call, NOW + 100, NOW + 100),
			 (int64_t)cw_call_predicted_ms(fixture.call) - 100);
	cw_call_handle_head(fixture.call, &head, NOW + 500, &fixture.step);
	assert_int_equal(cw_call_silence_ms(fixture.call, NOW + 500, NOW + 500), 0);
	server->own_work_ms = 350;
	assert_int_equal(cw_call_silence_ms(fixture.call, NOW + 500, NOW + 500), 350);
	fixture_close(&fixture);
}

static int has_idle(void *context, const char *address, int64_t reuse_idle_ms)
{
	return reuse_idle_ms == 10000 && !strcmp(address, context);
}

static struct cw_server *choose(struct cw_pool *pool, uint64_t prefix, uint64_t random)
{
	struct cw_choice choice = {.service = "llm",
				   .prefix = prefix,
				   .prefix_tokens = prefix ? 1000 : 0,
				   .prompt_tokens = 1200,
				   .failure_domain = "d1",
				   .now_ms = NOW,
				   .random = random,
				   .reuse_idle_ms = 10000};

	return cw_pool_choose(pool, &choice);
}

static void test_idle_connection_decides_between_equal_servers_only(void **state)
{
	struct cw_policy policy = *cw_policy_default();
	struct cw_pool *pool = cw_pool_create(&cw_choice_cost);
	struct cw_server *idle;
	struct cw_server *home;

	policy.noise_ms = policy.connect_ms / 2;
	cw_pool_set_policy(pool, &policy);
	for (int i = 0; i < 8; i++) {
		char name[8] = {'s', (char)('0' + i)};
		char address[] = "10.0.0.0:1";

		address[7] = (char)('0' + i);
		cw_pool_add(pool, name, "llm", address, "d1", 1);
	}
	home = choose(pool, 77, 0);
	idle = cw_pool_find_name(pool, home == cw_pool_find_name(pool, "s3") ? "s4" : "s3");
	cw_pool_set_connection_lookup(pool, has_idle, idle->address);
	for (uint64_t i = 1; i <= 20; i++) {
		assert_ptr_equal(choose(pool, 0, i), idle);
		assert_ptr_equal(choose(pool, 77, i), home);
	}
	for (int i = 0; i < 3; i++)
		cw_pool_record_dispatch(idle, NOW);
	for (uint64_t i = 1; i <= 20; i++)
		assert_ptr_not_equal(choose(pool, 0, i), idle);
	cw_pool_destroy(pool);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_working_server_is_not_probed_before_its_answer_is_due),
		cmocka_unit_test(test_unexplained_silence_is_probed_after_quiet_ms),
		cmocka_unit_test(test_one_server_of_a_silent_domain_is_probed),
		cmocka_unit_test(test_silence_is_probed_as_before_when_off),
		cmocka_unit_test(test_silence_of_a_call_follows_its_prediction),
		cmocka_unit_test(test_idle_connection_decides_between_equal_servers_only),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
