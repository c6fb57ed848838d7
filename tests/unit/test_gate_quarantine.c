/* Quarantine in the gate: requests that crash the servers that run them. */
#include "gate_bed.h"

#include <string.h>

#define BODY 77

/* Sends a poison request until its final answer; every server crashes while running it. */
static unsigned int send_poison_request(struct fixture *fixture, const char *path)
{
	unsigned int sends = 0;

	fixture->info.body = BODY;
	fixture_open_call(fixture, path);
	while (fixture->step.kind == CW_STEP_SEND) {
		uint64_t server = fixture->step.server->id;

		sends++;
		cw_call_handle_failure(fixture->call, CW_ATTEMPT_CONNECTION_LOST,
				       FIXTURE_NOW_MS + (int64_t)sends * 2000, &fixture->step);
		cw_quarantine_note_unreachable(cw_gate_quarantine(fixture->gate), server,
					       FIXTURE_NOW_MS + (int64_t)sends * 2000);
		cw_quarantine_tick(cw_gate_quarantine(fixture->gate),
				   FIXTURE_NOW_MS + (int64_t)sends * 2000);
	}
	return sends;
}

/* A peer announces the quarantine of the request while its answer is awaited. */
static void quarantine_in_flight(struct fixture *fixture)
{
	struct cw_quarantine_record record = {.crash_count = 3};

	fixture->info.body = BODY;
	fixture_open_call(fixture, "/chat/x");
	record.fingerprint = cw_call_fingerprint(fixture->call);
	cw_quarantine_merge_record(cw_gate_quarantine(fixture->gate), &record, CW_QUARANTINE_PEER,
				   FIXTURE_NOW_MS);
}

/*
 * Guards against poison requests that are run again and again: the caller got 502 and retried at
 * once, and after three server crashes a fourth instance still sent the request on. A quarantined
 * request is rejected as not run, without Retry-After.
 */
static void a_quarantined_request_is_rejected_unsent_without_retry_after(void **state)
{
	struct fixture fixture;

	fixture_open(&fixture);
	assert_int_equal(send_poison_request(&fixture, "/chat/x"), 3);
	fixture_assert_rejected(&fixture, 502, CW_RUN_UNKNOWN);
	fixture_open_call(&fixture, "/chat/x");
	fixture_assert_rejected(&fixture, 503, CW_RUN_NOT_EXECUTED);
	assert_int_equal(fixture.step.retry_after_ms, -1);
	assert_int_equal(cw_call_attempts(fixture.call), 0);
	fixture.info.body = BODY + 1;
	fixture_open_call(&fixture, "/chat/x");
	assert_int_equal(fixture.step.kind, CW_STEP_SEND);
	fixture_close(&fixture);
}

/* Another instance's announcement arrives while the answer is awaited: no further send. */
static void a_request_quarantined_in_flight_is_not_retried(void **state)
{
	struct cw_response_head low_confidence = {
		.status = 200, .is_signed = 1, .is_event_stream = 1, .confidence = 0};
	struct fixture fixture;

	fixture_open(&fixture);
	quarantine_in_flight(&fixture);
	assert_true(cw_call_is_quarantined(fixture.call));
	cw_call_handle_head(fixture.call, &low_confidence, FIXTURE_NOW_MS + 20, &fixture.step);
	assert_int_equal(fixture.step.kind, CW_STEP_FORWARD);
	assert_string_equal(fixture.step.reason, "quarantined");
	cw_call_handle_failure(fixture.call, CW_ATTEMPT_CONNECTION_LOST, FIXTURE_NOW_MS + 30,
			       &fixture.step);
	fixture_assert_rejected(&fixture, 502, CW_RUN_UNKNOWN);
	fixture_close(&fixture);
}

/* A copy in a server's queue is cancelled before it can start. */
static void a_request_in_flight_is_aborted_when_quarantined(void **state)
{
	struct fixture fixture;

	fixture_open(&fixture);
	quarantine_in_flight(&fixture);
	cw_call_abort(fixture.call, FIXTURE_NOW_MS + 10, &fixture.step);
	fixture_assert_rejected(&fixture, 502, CW_RUN_UNKNOWN);
	assert_null(cw_call_server(fixture.call));
	fixture_close(&fixture);
}

/* Leaving servers break their last connections: a planned stop is no crash. */
static void a_leaving_server_is_no_evidence_against_its_requests(void **state)
{
	struct fixture fixture;

	fixture_open(&fixture);
	fixture.info.body = BODY;
	for (int i = 0; i < 6; i++) {
		struct cw_server *server;

		fixture_open_call(&fixture, "/once/x");
		assert_int_equal(fixture.step.kind, CW_STEP_SEND);
		server = fixture.step.server;
		server->is_leaving = 1;
		cw_call_handle_failure(fixture.call, CW_ATTEMPT_CONNECTION_LOST,
				       FIXTURE_NOW_MS + i * 2000, &fixture.step);
		server->is_leaving = 0;
		server->breaker_open_until_ms = 0;
	}
	assert_false(cw_call_is_quarantined(fixture.call));
	fixture_close(&fixture);
}

/* Rejection, failed connection, timeout and malformed answer are no server crash. */
static void only_a_broken_connection_counts_as_a_crash(void **state)
{
	static const enum cw_attempt_failure others[] = {
		CW_ATTEMPT_NO_CONNECTION, CW_ATTEMPT_CONNECTION_REFUSED, CW_ATTEMPT_MALFORMED,
		CW_ATTEMPT_TIMED_OUT};
	struct fixture fixture;

	for (size_t i = 0; i < G_N_ELEMENTS(others); i++) {
		fixture_open(&fixture);
		fixture.info.body = BODY;
		for (int j = 0; j < 5; j++) {
			fixture_open_call(&fixture, "/read/x");
			while (fixture.step.kind == CW_STEP_SEND)
				cw_call_handle_failure(fixture.call, others[i],
						       FIXTURE_NOW_MS + j * 2000, &fixture.step);
		}
		fixture_open_call(&fixture, "/read/x");
		assert_false(cw_call_is_quarantined(fixture.call));
		fixture_close(&fixture);
	}
}

/* The answer is dropped for an escalation, and the server that began the answer crashes. */
static void a_dropped_answer_counts_on_the_server_that_began_it(void **state)
{
	struct cw_response_head low_confidence = {
		.status = 200, .is_signed = 1, .is_event_stream = 1, .confidence = 0};
	struct cw_quarantine_crash crashes[CW_QUARANTINE_CRASHES_MAX];
	struct cw_quarantine_crash received = {.fingerprint = 1,
					       .answered_ms = CW_QUARANTINE_NEVER};
	struct fixture fixture;
	size_t count;

	fixture_open(&fixture);
	fixture.info.body = BODY;
	fixture_open_call(&fixture, "/chat/x");
	received.server = fixture.step.server->id;
	cw_call_handle_head(fixture.call, &low_confidence, FIXTURE_NOW_MS + 20, &fixture.step);
	assert_int_equal(fixture.step.kind, CW_STEP_SEND);
	cw_quarantine_merge_crash(cw_gate_quarantine(fixture.gate), &received, FIXTURE_NOW_MS + 70);
	count = cw_quarantine_announce_crashes(cw_gate_quarantine(fixture.gate),
					       FIXTURE_NOW_MS + 70, crashes,
					       CW_QUARANTINE_CRASHES_MAX);
	assert_int_equal(count, 2);
	assert_int_equal(crashes[0].server, crashes[1].server);
	fixture_close(&fixture);
}

/* Another request took part in all three crashes, so either may be the poison request. */
static void quarantine_suspect(struct fixture *fixture)
{
	struct cw_quarantine *quarantine = cw_gate_quarantine(fixture->gate);
	struct cw_quarantine_request request = {.organisation = "museo", .target = "chat"};

	fixture->info.body = BODY;
	fixture_open_call(fixture, "/read/x");
	request.fingerprint = cw_call_fingerprint(fixture->call);
	for (uint64_t server = 901; server <= 903; server++) {
		struct cw_quarantine_request alternative = request;

		alternative.fingerprint++;
		cw_quarantine_note_break(quarantine, &request, server, 5, 0, FIXTURE_NOW_MS);
		cw_quarantine_note_break(quarantine, &alternative, server, 900, 0, FIXTURE_NOW_MS);
		cw_quarantine_note_unreachable(quarantine, server, FIXTURE_NOW_MS);
	}
	for (int64_t now_ms = FIXTURE_NOW_MS; now_ms < FIXTURE_NOW_MS + 7000; now_ms += 100)
		cw_quarantine_tick(quarantine, now_ms);
	assert_true(cw_call_is_quarantined(fixture->call));
}

static void set_second_place(void *context, uint64_t key, struct cw_warmup_place *place)
{
	place->instances = 2;
	place->rank = 1;
}

/* The trial of a suspect request may crash one server at most. */
static void a_suspect_request_is_tried_once_on_one_server(void **state)
{
	struct fixture fixture;

	fixture_open(&fixture);
	quarantine_suspect(&fixture);
	fixture_open_call(&fixture, "/read/x");
	assert_int_equal(fixture.step.kind, CW_STEP_SEND);
	assert_false(cw_call_is_quarantined(fixture.call));
	cw_call_handle_failure(fixture.call, CW_ATTEMPT_CONNECTION_LOST, FIXTURE_NOW_MS + 30,
			       &fixture.step);
	fixture_assert_rejected(&fixture, 502, CW_RUN_UNKNOWN);
	fixture_open_call(&fixture, "/read/x");
	fixture_assert_rejected(&fixture, 503, CW_RUN_NOT_EXECUTED);
	fixture_close(&fixture);
}

/* Only the first instance runs the trial, since each trial may crash a server. */
static void only_the_first_instance_runs_a_trial(void **state)
{
	struct fixture fixture;

	fixture_open(&fixture);
	quarantine_suspect(&fixture);
	cw_pool_set_place_lookup(cw_gate_pool(fixture.gate), set_second_place, NULL);
	fixture_open_call(&fixture, "/read/x");
	fixture_assert_rejected(&fixture, 503, CW_RUN_NOT_EXECUTED);
	fixture_close(&fixture);
}

/*
 * Guards against a harmless request that stays quarantined for ten minutes: its caller never asks
 * the first instance.
 */
static void a_later_instance_runs_the_trial_in_its_turn(void **state)
{
	struct fixture fixture;

	fixture_open(&fixture);
	quarantine_suspect(&fixture);
	cw_pool_set_place_lookup(cw_gate_pool(fixture.gate), set_second_place, NULL);
	cw_call_close(fixture.call, FIXTURE_NOW_MS);
	fixture.call = cw_call_open(fixture.gate, &fixture.info, FIXTURE_NOW_MS + 7000,
				    FIXTURE_NOW_MS + 7000, &fixture.step);
	assert_int_equal(fixture.step.kind, CW_STEP_SEND);
	fixture_close(&fixture);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(a_quarantined_request_is_rejected_unsent_without_retry_after),
		cmocka_unit_test(a_request_quarantined_in_flight_is_not_retried),
		cmocka_unit_test(a_request_in_flight_is_aborted_when_quarantined),
		cmocka_unit_test(a_leaving_server_is_no_evidence_against_its_requests),
		cmocka_unit_test(only_a_broken_connection_counts_as_a_crash),
		cmocka_unit_test(a_dropped_answer_counts_on_the_server_that_began_it),
		cmocka_unit_test(a_suspect_request_is_tried_once_on_one_server),
		cmocka_unit_test(only_the_first_instance_runs_a_trial),
		cmocka_unit_test(a_later_instance_runs_the_trial_in_its_turn),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
