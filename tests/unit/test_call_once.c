/* Requests that may run once: a second run, and the choice of the only model. */
#include "gate_bed.h"

#include <string.h>

#define SLOTS	      16
#define DRAWS	      200
#define QUIET_MS      6000 /* after which the load that filled the engines is forgotten */
#define OBJECTIVE_MS  15000
#define IDLE_LIMIT_MS 1500 /* connections idle for longer may be closed by the server meanwhile */

static const struct route_kind {
	const char *name;
	enum cw_retry_policy retry_policy;
	int is_resumable;
	int runs_once;
} route_kinds[] = {
	{"a stream", CW_RETRY_STREAM, 0, 1},
	{"a resumable stream", CW_RETRY_STREAM, 1, 0},
	{"an idempotent request", CW_RETRY_ANY, 0, 0},
	{"a non-idempotent request", CW_RETRY_NEVER, 0, 1},
	{"a non-idempotent request with a stray field", CW_RETRY_NEVER, 1, 1},
};

/* The route /chat/ with two models, of that kind; its answers may be kept. */
static void open_fixture(struct fixture *fixture, const struct route_kind *kind)
{
	struct cw_config *config = fixture_make_config(6);
	struct cw_route *route =
		(struct cw_route *)cw_config_find_route(config, "h.example", "/chat/x");

	fixture_open(fixture);
	route->retry_policy = kind->retry_policy;
	route->is_resumable = kind->is_resumable;
	route->objective_ms = OBJECTIVE_MS;
	((struct cw_service *)cw_config_find_service(config, "llm"))->tokens_per_event = 4;
	cw_gate_configure(fixture->gate, config);
	cw_config_unref(config);
}

/* The newest answers report engines with so many requests. */
static void load_engines(struct fixture *fixture, unsigned int running)
{
	for (int i = 0; i < 20; i++) {
		fixture_open_call(fixture, "/chat/x");
		fixture_answer_stream(fixture, 90, running, SLOTS, 0);
	}
}

/* Of DRAWS requests, those that are sent to the largest model while the engines are so loaded. */
static int count_large(unsigned int running)
{
	struct fixture fixture;
	int large = 0;

	open_fixture(&fixture, &route_kinds[0]);
	load_engines(&fixture, running);
	for (int i = 0; i < DRAWS; i++) {
		fixture_open_call(&fixture, "/chat/x");
		large += !strcmp(fixture.step.dispatch.model, "large");
	}
	fixture_close(&fixture);
	return large;
}

/* Guards against a second run, on the largest model, of a request that may run once. */
static void a_request_that_may_run_once_is_not_escalated(void **state)
{
	for (size_t i = 0; i < G_N_ELEMENTS(route_kinds); i++) {
		struct fixture fixture;

		print_message("%s\n", route_kinds[i].name);
		open_fixture(&fixture, &route_kinds[i]);
		load_engines(&fixture, SLOTS);
		fixture_open_call(&fixture, "/chat/x");
		assert_string_equal(fixture.step.dispatch.model, "small");
		fixture_answer_stream(&fixture, 3, 0, SLOTS, QUIET_MS);
		assert_int_equal(fixture.step.kind,
				 route_kinds[i].runs_once ? CW_STEP_FORWARD : CW_STEP_SEND);
		assert_int_equal(cw_call_has_kept(fixture.call), !route_kinds[i].runs_once);
		fixture_close(&fixture);
	}
}

/* Guards against a rejection although another server would run the request. */
static void an_attempt_that_was_not_run_goes_to_another_server(void **state)
{
	for (size_t i = 0; i < G_N_ELEMENTS(route_kinds); i++) {
		struct fixture fixture;
		const struct cw_server *first;

		open_fixture(&fixture, &route_kinds[i]);
		fixture_open_call(&fixture, "/chat/x");
		first = fixture.step.server;
		fixture_answer(&fixture, 503, 0, 1);
		assert_int_equal(fixture.step.kind, CW_STEP_SEND);
		assert_ptr_not_equal(fixture.step.server, first);
		fixture_close(&fixture);
	}
}

/* Guards against a request that is lost on a connection which its server had closed. */
static void a_request_that_may_run_once_avoids_connections_that_were_idle(void **state)
{
	for (size_t i = 0; i < G_N_ELEMENTS(route_kinds); i++) {
		struct fixture fixture;

		open_fixture(&fixture, &route_kinds[i]);
		fixture_open_call(&fixture, "/chat/x");
		assert_int_equal(fixture.step.reuse_idle_ms <= IDLE_LIMIT_MS,
				 route_kinds[i].runs_once);
		fixture_close(&fixture);
	}
}

/* Guards against poor answers of the small model beside free engines, and against full engines. */
static void the_only_model_follows_the_load(void **state)
{
	int before = DRAWS;

	assert_int_equal(count_large(0), DRAWS);
	for (unsigned int running = SLOTS / 2 + 2; running < SLOTS; running += 2) {
		int large = count_large(running);

		assert_true(large < before);
		before = large;
	}
	assert_int_equal(count_large(SLOTS), 0);
}

/* Guards against the small model for a request that an engine rejects while others have room. */
static void a_rejected_request_keeps_the_largest_model_while_there_is_room(void **state)
{
	struct fixture fixture;

	open_fixture(&fixture, &route_kinds[0]);
	load_engines(&fixture, 0);
	fixture_open_call(&fixture, "/chat/x");
	fixture_answer(&fixture, 503, 0, 1);
	assert_int_equal(fixture.step.kind, CW_STEP_SEND);
	assert_string_equal(fixture.step.dispatch.model, "large");
	for (int i = 0; i < 10; i++) {
		fixture_open_call(&fixture, "/chat/x");
		fixture_answer(&fixture, 503, 0, 1);
	}
	assert_string_equal(fixture.step.dispatch.model, "small");
	fixture_close(&fixture);
}

/* Guards against a model in place of the one that the caller named. */
static void the_model_that_a_caller_names_is_kept(void **state)
{
	struct fixture fixture;

	open_fixture(&fixture, &route_kinds[0]);
	strcpy(fixture.info.model, "small");
	fixture_open_call(&fixture, "/chat/x");
	assert_string_equal(fixture.step.dispatch.model, "");
	fixture_answer_stream(&fixture, 3, 0, SLOTS, 0);
	assert_int_equal(fixture.step.kind, CW_STEP_FORWARD);
	fixture_close(&fixture);
}

/* Guards against an answer that is made of two runs, as the caller got a part of a body already. */
static void a_body_that_was_begun_is_not_continued_by_another_run(void **state)
{
	for (size_t i = 0; i < G_N_ELEMENTS(route_kinds); i++) {
		struct fixture fixture;

		open_fixture(&fixture, &route_kinds[i]);
		fixture_open_call(&fixture, "/chat/x");
		fixture_answer(&fixture, 200, 1, 0);
		cw_call_begin_body(fixture.call, FIXTURE_NOW_MS + 10);
		assert_false(cw_call_may_change_server(fixture.call));
		cw_call_handle_failure(fixture.call, CW_ATTEMPT_CONNECTION_LOST,
				       FIXTURE_NOW_MS + 20, &fixture.step);
		assert_int_equal(fixture.step.kind, CW_STEP_ABORT);
		fixture_close(&fixture);
	}
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(a_request_that_may_run_once_is_not_escalated),
		cmocka_unit_test(an_attempt_that_was_not_run_goes_to_another_server),
		cmocka_unit_test(the_only_model_follows_the_load),
		cmocka_unit_test(a_rejected_request_keeps_the_largest_model_while_there_is_room),
		cmocka_unit_test(the_model_that_a_caller_names_is_kept),
		cmocka_unit_test(a_request_that_may_run_once_avoids_connections_that_were_idle),
		cmocka_unit_test(a_body_that_was_begun_is_not_continued_by_another_run),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
