/* Backend servers that report in their answers that they leave. */
#include "gate_bed.h"

#include <stdio.h>
#include <string.h>

static const struct cw_response_head leaving = {.status = 200,
						.is_signed = 1,
						.confidence = -1,
						.leaving = CW_FIELD_VALID,
						.is_leaving = 1};

/* Sends requests until the server has answered one with the head. */
static void let_answer(struct fixture *fixture, const char *path, const char *server,
		       const struct cw_response_head *head)
{
	for (int i = 0; i < 1000; i++) {
		int is_server;

		fixture_open_call(fixture, path);
		assert_int_equal(fixture->step.kind, CW_STEP_SEND);
		is_server = !strcmp(fixture->step.server->name, server);
		if (is_server)
			cw_call_handle_head(fixture->call, head, FIXTURE_NOW_MS + 10,
					    &fixture->step);
		cw_call_complete(fixture->call, FIXTURE_NOW_MS + 20);
		if (is_server)
			return;
	}
	fail_msg("no request was sent to %s", server);
}

static void assert_unused(struct fixture *fixture, const char *path, const char *server)
{
	for (int i = 0; i < 100; i++) {
		fixture_open_call(fixture, path);
		assert_int_equal(fixture->step.kind, CW_STEP_SEND);
		assert_string_not_equal(fixture->step.server->name, server);
	}
}

/* Guards against requests to a server whose entry is late, as while the store is away. */
static void a_server_that_reports_leaving_gets_no_request(void **state)
{
	struct fixture fixture;

	fixture_open(&fixture);
	let_answer(&fixture, "/read/x", "s1", &leaving);
	assert_unused(&fixture, "/read/x", "s1");
	assert_unused(&fixture, "/once/x", "s1");
	fixture_close(&fixture);
}

/* Guards against a record of the server list that was written before the report. */
static void an_older_entry_does_not_bring_a_leaving_server_back(void **state)
{
	struct fixture fixture;

	fixture_open(&fixture);
	let_answer(&fixture, "/read/x", "s1", &leaving);
	fixture_add_server(&fixture, "s1", "orders", "v1");
	assert_unused(&fixture, "/read/x", "s1");
	fixture_close(&fixture);
}

/* Guards against an entry that expired while the store was away, and came back. */
static void a_leaving_server_that_is_listed_again_gets_no_request(void **state)
{
	struct fixture fixture;
	struct cw_pool *pool;

	fixture_open(&fixture);
	pool = cw_gate_pool(fixture.gate);
	let_answer(&fixture, "/read/x", "s1", &leaving);
	cw_pool_delist(pool, cw_pool_find_name(pool, "s1"), FIXTURE_NOW_MS, FIXTURE_NOW_MS);
	cw_pool_sweep(pool, FIXTURE_NOW_MS + 1000);
	fixture_add_server(&fixture, "s1", "orders", "v1");
	assert_unused(&fixture, "/read/x", "s1");
	fixture_close(&fixture);
}

/* Guards against retries, escalations and resumptions that go to a leaving server. */
static void no_kind_of_attempt_reaches_a_leaving_server(void **state)
{
	struct cw_response_head unsure = {
		.status = 200, .is_signed = 1, .is_event_stream = 1, .confidence = 3};
	struct fixture fixture;

	fixture_open(&fixture);
	let_answer(&fixture, "/read/x", "s1", &leaving);
	let_answer(&fixture, "/report/x", "e1", &leaving);
	for (int i = 0; i < 4; i++) {
		fixture_open_call(&fixture, "/read/x");
		cw_call_handle_failure(fixture.call, CW_ATTEMPT_CONNECTION_LOST, FIXTURE_NOW_MS + 5,
				       &fixture.step);
		assert_int_equal(fixture.step.kind, CW_STEP_SEND);
		assert_string_equal(fixture.step.server->name, "s2");
		fixture_open_call(&fixture, "/chat/x");
		assert_string_equal(fixture.step.server->name, "e2");
		cw_call_handle_head(fixture.call, &unsure, FIXTURE_NOW_MS + 10, &fixture.step);
		assert_int_equal(fixture.step.kind, CW_STEP_SEND);
		assert_string_equal(fixture.step.server->name, "e2");
		unsure.confidence = 90;
		cw_call_handle_head(fixture.call, &unsure, FIXTURE_NOW_MS + 20, &fixture.step);
		unsure.confidence = 3;
		cw_call_add_event(fixture.call, 1, FIXTURE_NOW_MS + 21);
		cw_call_handle_failure(fixture.call, CW_ATTEMPT_CONNECTION_LOST,
				       FIXTURE_NOW_MS + 25, &fixture.step);
		assert_int_equal(fixture.step.kind, CW_STEP_SEND);
		assert_string_equal(fixture.step.server->name, "e2");
		cw_call_complete(fixture.call, FIXTURE_NOW_MS + 30);
	}
	fixture_close(&fixture);
}

/* Guards against an escalation on the very server whose answer reports that it leaves. */
static void an_escalation_leaves_the_server_that_reports_leaving(void **state)
{
	struct cw_response_head unsure = leaving;
	struct fixture fixture;

	unsure.is_event_stream = 1;
	unsure.confidence = 3;
	fixture_open(&fixture);
	for (int i = 0; i < 2; i++) {
		const struct cw_server *first;

		fixture_open_call(&fixture, "/chat/x");
		first = fixture.step.server;
		cw_call_handle_head(fixture.call, &unsure, FIXTURE_NOW_MS + 10, &fixture.step);
		if (i == 0)
			assert_int_equal(fixture.step.kind, CW_STEP_SEND);
		assert_true(fixture.step.kind != CW_STEP_SEND || fixture.step.server != first);
		cw_call_complete(fixture.call, FIXTURE_NOW_MS + 20);
	}
	fixture_close(&fixture);
}

static void requests_are_rejected_at_once_while_all_servers_leave(void **state)
{
	struct fixture fixture;

	fixture_open(&fixture);
	let_answer(&fixture, "/read/x", "s1", &leaving);
	let_answer(&fixture, "/read/x", "s2", &leaving);
	fixture_open_call(&fixture, "/once/x");
	fixture_assert_rejected(&fixture, 503, CW_RUN_NOT_EXECUTED);
	assert_true(fixture.step.retry_after_ms > 0);
	fixture_close(&fixture);
}

/* Guards against a planned end that is charged to the requests that ran on the server. */
static void the_end_of_a_leaving_server_is_no_crash(void **state)
{
	struct fixture fixture;

	fixture_open(&fixture);
	for (int i = 0; i < 4; i++) {
		char name[CW_NAME_MAX];

		snprintf(name, sizeof(name), "e%d", i + 3);
		fixture_add_server(&fixture, name, "llm", "v1");
	}
	for (int i = 0; i < 4; i++) {
		struct cw_response_head head = leaving;

		head.is_event_stream = 1;
		head.confidence = 90;
		fixture_open_call(&fixture, "/report/x");
		assert_int_equal(fixture.step.kind, CW_STEP_SEND);
		cw_call_handle_head(fixture.call, &head, FIXTURE_NOW_MS + 10 + i, &fixture.step);
		cw_call_handle_failure(fixture.call, CW_ATTEMPT_CONNECTION_LOST,
				       FIXTURE_NOW_MS + 20 + i, &fixture.step);
		assert_false(cw_call_is_quarantined(fixture.call));
	}
	fixture_close(&fixture);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(a_server_that_reports_leaving_gets_no_request),
		cmocka_unit_test(an_older_entry_does_not_bring_a_leaving_server_back),
		cmocka_unit_test(a_leaving_server_that_is_listed_again_gets_no_request),
		cmocka_unit_test(no_kind_of_attempt_reaches_a_leaving_server),
		cmocka_unit_test(an_escalation_leaves_the_server_that_reports_leaving),
		cmocka_unit_test(requests_are_rejected_at_once_while_all_servers_leave),
		cmocka_unit_test(the_end_of_a_leaving_server_is_no_crash),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
