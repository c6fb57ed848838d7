/* Backend servers that reject a request and ask this instance for time without requests. */
#include "gate_bed.h"

#include <glib.h>
#include <string.h>

#define REST_MS	    3000
#define EXTRA_MAX   2 /* requests allowed within the rest, which were on their way */
#define INTERVAL_MS 20

static struct cw_response_head make_rejection(double rest_s)
{
	return (struct cw_response_head){.status = 503,
					 .is_not_run = 1,
					 .confidence = -1,
					 .rest = CW_FIELD_VALID,
					 .rest_s = rest_s};
}

static void open_call_at(struct fixture *fixture, const char *path, int64_t now_ms)
{
	cw_call_close(fixture->call, now_ms);
	fixture->info.path = path;
	fixture->call = cw_call_open(fixture->gate, &fixture->info, now_ms, now_ms, &fixture->step);
}

/*
 * Sends a request every INTERVAL_MS. The server, or both with NULL, rejects all that it gets and
 * asks for rest; the other one answers. Returns how many requests the busiest resting server got
 * within one rest beyond the one that it rejected first.
 */
static int play(struct fixture *fixture, const char *resting, double rest_s, int64_t begin_ms,
		int64_t duration_ms, int *served)
{
	const struct cw_response_head rejection = make_rejection(rest_s);
	const struct cw_response_head success = {.status = 200, .is_signed = 1, .confidence = -1};
	int64_t asked_ms[2] = {0};
	int extra[2] = {0};
	int most = 0;

	*served = 0;
	for (int64_t now_ms = begin_ms; now_ms < begin_ms + duration_ms; now_ms += INTERVAL_MS) {
		open_call_at(fixture, "/read/x", now_ms);
		while (fixture->step.kind == CW_STEP_SEND) {
			const char *name = fixture->step.server->name;
			int which = name[1] - '1';

			if (resting && strcmp(name, resting) != 0) {
				cw_call_handle_head(fixture->call, &success, now_ms + 2,
						    &fixture->step);
				cw_call_complete(fixture->call, now_ms + 3);
				(*served)++;
				break;
			}
			if (asked_ms[which] &&
			    now_ms < asked_ms[which] + (int64_t)(rest_s * 1000)) {
				extra[which]++;
				most = MAX(most, extra[which]);
			} else {
				asked_ms[which] = now_ms;
				extra[which] = 0;
			}
			cw_call_handle_head(fixture->call, &rejection, now_ms + 1, &fixture->step);
		}
	}
	return most;
}

/* Guards against a server that is asked again and again while it has nothing to give. */
static void a_server_that_asked_for_rest_gets_no_request(void **state)
{
	struct fixture fixture;
	int served;

	fixture_open(&fixture);
	assert_in_range(play(&fixture, "s1", REST_MS / 1000.0, FIXTURE_NOW_MS, 10000, &served), 0,
			EXTRA_MAX);
	/* The other server answers every request. */
	assert_int_equal(served, 10000 / INTERVAL_MS);
	fixture_close(&fixture);
}

/* Guards against a choice among unusable or tried servers, made when no other is left. */
static void the_only_servers_get_their_rest_too(void **state)
{
	struct fixture fixture;
	int served;

	fixture_open(&fixture);
	assert_in_range(play(&fixture, NULL, REST_MS / 1000.0, FIXTURE_NOW_MS, 10000, &served), 0,
			EXTRA_MAX);
	fixture_close(&fixture);
}

/* Guards against callers that wait or return while no server wants a request. */
static void a_request_to_resting_servers_is_rejected_at_once(void **state)
{
	struct fixture fixture;
	int served;

	fixture_open(&fixture);
	play(&fixture, NULL, 0.2, FIXTURE_NOW_MS, 100, &served);
	open_call_at(&fixture, "/once/x", FIXTURE_NOW_MS + 110);
	fixture_assert_rejected(&fixture, 503, CW_RUN_NOT_EXECUTED);
	assert_string_equal(fixture.step.reason, "the backend servers asked for rest");
	assert_in_range(fixture.step.retry_after_ms, 90, 800 / 3);
	open_call_at(&fixture, "/once/x", FIXTURE_NOW_MS + 400);
	assert_int_equal(fixture.step.kind, CW_STEP_SEND);
	fixture_close(&fixture);
}

/* Guards against a caller that is sent away for less time than the rest of the last server. */
static void a_rejection_by_the_last_server_covers_its_rest(void **state)
{
	const struct cw_response_head rejection = make_rejection(0.2);
	struct fixture fixture;

	fixture_open(&fixture);
	open_call_at(&fixture, "/read/x", FIXTURE_NOW_MS);
	cw_call_handle_head(fixture.call, &rejection, FIXTURE_NOW_MS + 5, &fixture.step);
	assert_int_equal(fixture.step.kind, CW_STEP_SEND);
	cw_call_handle_head(fixture.call, &rejection, FIXTURE_NOW_MS + 10, &fixture.step);
	fixture_assert_rejected(&fixture, 503, CW_RUN_NOT_EXECUTED);
	assert_in_range(fixture.step.retry_after_ms, 195, 800 / 3);
	fixture_close(&fixture);
}

/* Guards against callers that are rejected for overload while another server has room. */
static void a_request_for_rest_is_no_sign_of_overload(void **state)
{
	const struct cw_response_head rejection = make_rejection(REST_MS / 1000.0);
	struct cw_organisation *organisation;
	struct fixture fixture;

	fixture_open(&fixture);
	organisation = (struct cw_organisation *)cw_config_find_organisation(fixture.config, "key");
	organisation->has_priority = 1;
	organisation->priority = 2;
	open_call_at(&fixture, "/read/x", FIXTURE_NOW_MS);
	cw_call_handle_head(fixture.call, &rejection, FIXTURE_NOW_MS + 5, &fixture.step);
	assert_int_equal(fixture.step.kind, CW_STEP_SEND);
	for (int i = 0; i < 100; i++) {
		open_call_at(&fixture, "/read/x", FIXTURE_NOW_MS + 10);
		assert_int_equal(fixture.step.kind, CW_STEP_SEND);
	}
	fixture_close(&fixture);
}

static void rest(struct fixture *fixture, const char *name, double rest_ms, int64_t now_ms)
{
	cw_pool_request_rest(cw_pool_find_name(cw_gate_pool(fixture->gate), name), rest_ms, now_ms);
}

/* Guards against a retry, escalation or resumption at a resting server. */
static void no_kind_of_attempt_disturbs_a_rest(void **state)
{
	struct cw_response_head unsure = {
		.status = 200, .is_signed = 1, .is_event_stream = 1, .confidence = 3};
	struct fixture fixture;

	fixture_open(&fixture);
	rest(&fixture, "s1", REST_MS, FIXTURE_NOW_MS);
	rest(&fixture, "e1", REST_MS, FIXTURE_NOW_MS);
	for (int i = 0; i < 4; i++) {
		fixture_open_call(&fixture, "/read/x");
		assert_string_equal(fixture.step.server->name, "s2");
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

/* Guards against a shorter request for rest that ends a longer one, and against a huge one. */
static void the_longest_rest_counts_up_to_a_limit(void **state)
{
	struct fixture fixture;
	struct cw_server *server;

	fixture_open(&fixture);
	server = cw_pool_find_name(cw_gate_pool(fixture.gate), "s1");
	rest(&fixture, "s1", REST_MS, FIXTURE_NOW_MS);
	rest(&fixture, "s1", 100, FIXTURE_NOW_MS + 10);
	assert_int_equal(cw_pool_rest_ms(server, FIXTURE_NOW_MS + 1000), 2000);
	assert_int_equal(cw_pool_rest_ms(server, FIXTURE_NOW_MS + REST_MS), 0);
	rest(&fixture, "s1", 1e300, FIXTURE_NOW_MS);
	assert_in_range(cw_pool_rest_ms(server, FIXTURE_NOW_MS), 60000, 3600000);
	fixture_close(&fixture);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(a_server_that_asked_for_rest_gets_no_request),
		cmocka_unit_test(the_only_servers_get_their_rest_too),
		cmocka_unit_test(a_request_to_resting_servers_is_rejected_at_once),
		cmocka_unit_test(a_rejection_by_the_last_server_covers_its_rest),
		cmocka_unit_test(a_request_for_rest_is_no_sign_of_overload),
		cmocka_unit_test(no_kind_of_attempt_disturbs_a_rest),
		cmocka_unit_test(the_longest_rest_counts_up_to_a_limit),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
