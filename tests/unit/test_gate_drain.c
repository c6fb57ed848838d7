/* Placement limits: no request enters a drained failure domain or leaves its home regions. */
#include "gate_bed.h"

#include <string.h>

static const struct cw_response_head high_confidence = {
	.status = 200, .is_signed = 1, .is_event_stream = 1, .confidence = 90};
static const struct cw_response_head low_confidence = {
	.status = 200, .is_signed = 1, .is_event_stream = 1, .confidence = 3};

static void list_server(struct fixture *fixture, const char *name, const char *service,
			const char *domain, int64_t cold_ms)
{
	struct cw_server_entry entry = {.slots = 8, .cold_ms = cold_ms};

	g_strlcpy(entry.name, name, CW_NAME_MAX);
	g_strlcpy(entry.service, service, CW_NAME_MAX);
	strcpy(entry.software, "v1");
	strcpy(entry.address, "10.0.0.2:80");
	g_strlcpy(entry.failure_domain, domain, CW_NAME_MAX);
	assert_int_not_equal(
		cw_pool_apply_entry(cw_gate_pool(fixture->gate), &entry, FIXTURE_NOW_MS),
		CW_LISTING_FULL);
}

static void drain(struct fixture *fixture, const char *domain, uint64_t offset, int is_drained)
{
	struct cw_drain_order order = {.position = {1, offset}, .is_drained = is_drained};

	g_strlcpy(order.failure_domain, domain, CW_NAME_MAX);
	cw_pool_drain(cw_gate_pool(fixture->gate), &order, FIXTURE_NOW_MS);
}

/* Covers the first attempt, a retry, a resumed stream and an escalation. */
static void no_attempt_enters_a_drained_failure_domain(void **state)
{
	struct fixture fixture;

	fixture_open(&fixture);
	list_server(&fixture, "e3", "llm", "d2", 0);
	list_server(&fixture, "e4", "llm", "d2", 0);
	list_server(&fixture, "s3", "orders", "d2", 0);
	drain(&fixture, "d1", 5, 1);
	for (int i = 0; i < 4; i++) {
		fixture_open_call(&fixture, "/read/x");
		assert_string_equal(fixture.step.server->failure_domain, "d2");
		cw_call_handle_failure(fixture.call, CW_ATTEMPT_CONNECTION_LOST, FIXTURE_NOW_MS + 5,
				       &fixture.step);
		assert_int_equal(fixture.step.kind, CW_STEP_SEND);
		assert_string_equal(fixture.step.server->failure_domain, "d2");
		fixture_open_call(&fixture, "/chat/x");
		assert_string_equal(fixture.step.server->failure_domain, "d2");
		cw_call_handle_head(fixture.call, &low_confidence, FIXTURE_NOW_MS + 10,
				    &fixture.step);
		assert_int_equal(fixture.step.kind, CW_STEP_SEND);
		assert_string_equal(fixture.step.server->failure_domain, "d2");
		cw_call_handle_head(fixture.call, &high_confidence, FIXTURE_NOW_MS + 20,
				    &fixture.step);
		cw_call_add_event(fixture.call, 1, FIXTURE_NOW_MS + 21);
		cw_call_handle_failure(fixture.call, CW_ATTEMPT_CONNECTION_LOST,
				       FIXTURE_NOW_MS + 25, &fixture.step);
		assert_int_equal(fixture.step.kind, CW_STEP_SEND);
		assert_string_equal(fixture.step.server->failure_domain, "d2");
		cw_call_complete(fixture.call, FIXTURE_NOW_MS + 30);
	}
	fixture_close(&fixture);
}

static void requests_are_rejected_with_all_failure_domains_drained(void **state)
{
	struct fixture fixture;

	fixture_open(&fixture);
	drain(&fixture, "d1", 5, 1);
	fixture_open_call(&fixture, "/once/x");
	fixture_assert_rejected(&fixture, 503, CW_RUN_NOT_EXECUTED);
	assert_true(fixture.step.retry_after_ms > 0);
	drain(&fixture, "d1", 6, 0);
	fixture_open_call(&fixture, "/once/x");
	assert_int_equal(fixture.step.kind, CW_STEP_SEND);
	fixture_close(&fixture);
}

/* Running requests finish after the drain order; servers listed later are excluded as well. */
static void running_requests_in_a_drained_failure_domain_finish(void **state)
{
	struct fixture fixture;

	fixture_open(&fixture);
	fixture_open_call(&fixture, "/chat/x");
	drain(&fixture, "d1", 5, 1);
	cw_call_handle_head(fixture.call, &high_confidence, FIXTURE_NOW_MS + 10, &fixture.step);
	assert_int_equal(fixture.step.kind, CW_STEP_FORWARD);
	cw_call_complete(fixture.call, FIXTURE_NOW_MS + 20);
	list_server(&fixture, "s9", "orders", "d1", 0);
	fixture_open_call(&fixture, "/once/x");
	fixture_assert_rejected(&fixture, 503, CW_RUN_NOT_EXECUTED);
	fixture_close(&fixture);
}

static void set_warmup_rate(struct fixture *fixture, uint64_t version, double per_s)
{
	struct cw_config *config = fixture_make_config(version);

	((struct cw_service *)cw_config_find_service(config, "orders"))->cold_per_s = per_s;
	cw_gate_configure(fixture->gate, config);
	cw_config_unref(config);
}

/* Servers restored from a drain count as cold: a burst to the idle servers would crash them. */
static void restored_servers_are_cold_until_they_report_otherwise(void **state)
{
	int sent = 0;
	struct fixture fixture;

	fixture_open(&fixture);
	set_warmup_rate(&fixture, 6, 4);
	drain(&fixture, "d1", 5, 1);
	drain(&fixture, "d1", 6, 0);
	for (int i = 0; i < 40; i++) {
		fixture_open_call(&fixture, "/read/x");
		sent += fixture.step.kind == CW_STEP_SEND;
	}
	/* Two servers with a warm-up rate of four requests a second each. */
	assert_in_range(sent, 2, 8);
	fixture_assert_rejected(&fixture, 503, CW_RUN_NOT_EXECUTED);
	assert_string_equal(fixture.step.reason, "the backend servers are warming up");
	assert_in_range(fixture.step.retry_after_ms, 1, 2300);
	fixture_close(&fixture);
}

/* A warm-up time reported with an answer limits the requests from then on. */
static void an_answer_may_report_that_its_server_is_cold(void **state)
{
	struct cw_response_head cold = {
		.status = 200, .is_signed = 1, .has_warmup_time = 1, .cold_ms = 3000};
	int sent = 0;
	struct fixture fixture;

	fixture_open(&fixture);
	set_warmup_rate(&fixture, 6, 4);
	cw_pool_find_name(cw_gate_pool(fixture.gate), "s2")->is_leaving = 1;
	fixture_open_call(&fixture, "/read/x");
	cw_call_handle_head(fixture.call, &cold, FIXTURE_NOW_MS, &fixture.step);
	cw_call_complete(fixture.call, FIXTURE_NOW_MS);
	for (int i = 0; i < 40; i++) {
		fixture_open_call(&fixture, "/read/x");
		sent += fixture.step.kind == CW_STEP_SEND;
	}
	assert_in_range(sent, 0, 4);
	fixture_close(&fixture);
}

static void set_homes(struct fixture *fixture, uint64_t version, const char *route,
		      const char *organisation)
{
	struct cw_config *config = fixture_make_config(version);

	if (route)
		cw_home_regions_add(
			&((struct cw_route *)cw_config_find_route(config, "h.example", "/once/x"))
				 ->home_regions,
			route);
	if (organisation)
		cw_home_regions_add(
			&((struct cw_organisation *)cw_config_find_organisation(config, "key"))
				 ->home_regions,
			organisation);
	cw_gate_configure(fixture->gate, config);
	cw_config_unref(config);
}

/* A request without a server in its home regions is rejected and runs nowhere else. */
static void a_request_runs_in_its_home_regions_only(void **state)
{
	struct fixture fixture;

	fixture_open(&fixture);
	cw_pool_set_region(cw_gate_pool(fixture.gate), "d2", "south");
	list_server(&fixture, "s3", "orders", "d2", 0);
	set_homes(&fixture, 6, "south", NULL);
	for (int i = 0; i < 20; i++) {
		fixture_open_call(&fixture, "/once/x");
		assert_string_equal(fixture.step.server->name, "s3");
	}
	set_homes(&fixture, 7, NULL, "south");
	fixture_open_call(&fixture, "/read/x");
	assert_string_equal(fixture.step.server->name, "s3");
	set_homes(&fixture, 8, "south", "north");
	fixture_open_call(&fixture, "/once/x");
	fixture_assert_rejected(&fixture, 503, CW_RUN_NOT_EXECUTED);
	set_homes(&fixture, 9, "south", NULL);
	cw_pool_find_name(cw_gate_pool(fixture.gate), "s3")->is_leaving = 1;
	fixture_open_call(&fixture, "/once/x");
	fixture_assert_rejected(&fixture, 503, CW_RUN_NOT_EXECUTED);
	fixture_close(&fixture);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(no_attempt_enters_a_drained_failure_domain),
		cmocka_unit_test(requests_are_rejected_with_all_failure_domains_drained),
		cmocka_unit_test(running_requests_in_a_drained_failure_domain_finish),
		cmocka_unit_test(restored_servers_are_cold_until_they_report_otherwise),
		cmocka_unit_test(an_answer_may_report_that_its_server_is_cold),
		cmocka_unit_test(a_request_runs_in_its_home_regions_only),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
