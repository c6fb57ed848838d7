/* The answer in hand: a smaller model's answer that is kept while the largest model is asked. */
#include "gate_bed.h"

#include <string.h>

#define DUE_MS 275 /* after the arrival: a trusted answer, within the objective */
#define UNSURE_DUE_MS                                                                              \
	1000 /* the same for one of low confidence: half of the time after which callers leave */

static struct cw_response_head stream_head(int confidence)
{
	return (struct cw_response_head){
		.status = 200, .is_signed = 1, .is_event_stream = 1, .confidence = confidence};
}

static void answer(struct fixture *fixture, int confidence, int64_t after_ms)
{
	struct cw_response_head head = stream_head(confidence);

	cw_call_handle_head(fixture->call, &head, FIXTURE_NOW_MS + after_ms, &fixture->step);
}

static void open_fixture(struct fixture *fixture)
{
	struct cw_config *config = fixture_make_config(6);

	fixture_open(fixture);
	((struct cw_service *)cw_config_find_service(config, "llm"))->tokens_per_event = 4;
	cw_gate_configure(fixture->gate, config);
	cw_config_unref(config);
}

/* The small model's answer of that confidence is kept, and the largest model is asked. */
static void escalate(struct fixture *fixture, int confidence)
{
	open_fixture(fixture);
	fixture_open_call(fixture, "/chat/x");
	answer(fixture, confidence, 10);
	assert_int_equal(fixture->step.kind, CW_STEP_SEND);
	assert_true(fixture->step.keeps_answer);
	assert_string_equal(fixture->step.dispatch.model, "large");
	assert_true(cw_call_has_kept(fixture->call));
}

static unsigned int count_running(const struct fixture *fixture)
{
	const struct cw_server *server;
	unsigned int running = 0;

	TAILQ_FOREACH(server, cw_pool_servers(cw_gate_pool(fixture->gate)), link)
		running += server->own_running;
	return running;
}

static void assert_delivered(struct fixture *fixture, const char *why)
{
	assert_int_equal(fixture->step.kind, CW_STEP_FORWARD_KEPT);
	assert_string_equal(fixture->step.reason, why);
	assert_string_equal(cw_call_model(fixture->call), "small");
	assert_false(cw_call_has_kept(fixture->call));
	assert_int_equal(count_running(fixture), cw_call_server(fixture->call) ? 1 : 0);
	fixture_close(fixture);
}

/* Guards against a rejection in place of an answer: no engine has room for the largest model. */
static void a_rejected_escalation_delivers_the_kept_answer(void **state)
{
	struct fixture fixture;

	escalate(&fixture, 3);
	assert_int_equal(count_running(&fixture), 2);
	fixture_answer(&fixture, 503, 0, 1);
	assert_delivered(&fixture, "large_rejected");
}

/* Guards against a failure in place of an answer: the largest model's engine crashes or fails. */
static void a_failed_escalation_delivers_the_kept_answer(void **state)
{
	struct fixture fixture;

	escalate(&fixture, 30);
	cw_call_handle_failure(fixture.call, CW_ATTEMPT_CONNECTION_LOST, FIXTURE_NOW_MS + 20,
			       &fixture.step);
	assert_delivered(&fixture, "large_failed");
	escalate(&fixture, 30);
	fixture_answer(&fixture, 500, 1, 0);
	assert_delivered(&fixture, "large_failed");
	escalate(&fixture, 3);
	cw_call_handle_failure(fixture.call, CW_ATTEMPT_TIMED_OUT, FIXTURE_NOW_MS + 20,
			       &fixture.step);
	assert_int_equal(fixture.step.kind, CW_STEP_SEND);
	assert_string_equal(fixture.step.dispatch.model, "large");
	cw_call_handle_failure(fixture.call, CW_ATTEMPT_TIMED_OUT, FIXTURE_NOW_MS + 30,
			       &fixture.step);
	assert_delivered(&fixture, "large_failed");
}

/* Guards against answers that are late for a model that may never answer. */
static void a_late_escalation_delivers_the_kept_answer(void **state)
{
	static const struct {
		int confidence;
		int64_t due_ms;
	} steps[] = {{59, DUE_MS}, {25, DUE_MS}, {24, UNSURE_DUE_MS}, {0, UNSURE_DUE_MS}};
	struct fixture fixture;

	for (size_t i = 0; i < G_N_ELEMENTS(steps); i++) {
		int64_t due_ms = FIXTURE_NOW_MS + steps[i].due_ms;

		escalate(&fixture, steps[i].confidence);
		assert_int_equal(cw_call_kept_due_ms(fixture.call), due_ms);
		assert_false(cw_call_check_kept(fixture.call, due_ms - 1, &fixture.step));
		assert_true(cw_call_check_kept(fixture.call, due_ms, &fixture.step));
		assert_delivered(&fixture, "large_late");
	}
}

/* Guards against events of two runs in one answer. */
static void the_largest_model_that_begins_replaces_the_kept_answer(void **state)
{
	struct fixture fixture;

	escalate(&fixture, 30);
	answer(&fixture, 80, 100);
	assert_int_equal(fixture.step.kind, CW_STEP_FORWARD);
	assert_true(cw_call_has_kept(fixture.call));
	cw_call_add_event(fixture.call, 1, FIXTURE_NOW_MS + 101);
	assert_false(cw_call_has_kept(fixture.call));
	assert_false(cw_call_check_kept(fixture.call, FIXTURE_NOW_MS + DUE_MS, &fixture.step));
	assert_int_equal(count_running(&fixture), 1);
	assert_string_equal(cw_call_model(fixture.call), "large");
	fixture_close(&fixture);
}

/* Guards against the delivery of an answer that is not whole, or that has no room. */
static void an_answer_that_broke_or_was_dropped_is_not_delivered(void **state)
{
	struct fixture fixture;

	for (int i = 0; i < 2; i++) {
		escalate(&fixture, 30);
		if (i)
			cw_call_drop_kept(fixture.call, FIXTURE_NOW_MS + 20);
		else
			cw_call_fail_kept(fixture.call, CW_ATTEMPT_CONNECTION_LOST,
					  FIXTURE_NOW_MS + 20);
		assert_int_equal(count_running(&fixture), 1);
		assert_int_equal(cw_call_kept_due_ms(fixture.call), -1);
		fixture_answer(&fixture, 503, 0, 1);
		assert_int_equal(fixture.step.kind, CW_STEP_SEND);
		assert_string_equal(fixture.step.dispatch.model, "small");
		fixture_close(&fixture);
	}
}

/* Guards against a complete answer that is lost at the deadline, or to a quarantine. */
static void a_complete_answer_outlasts_its_request(void **state)
{
	struct fixture fixture;

	for (int i = 0; i < 4; i++) {
		escalate(&fixture, 30);
		if (i & 1)
			cw_call_complete_kept(fixture.call, 6, FIXTURE_NOW_MS + 90);
		assert_int_equal(count_running(&fixture), i & 1 ? 1 : 2);
		if (i & 2)
			cw_call_abort(fixture.call, FIXTURE_NOW_MS + 100, &fixture.step);
		else
			cw_call_expire(fixture.call, FIXTURE_NOW_MS + 10000, &fixture.step);
		if (i & 1) {
			assert_delivered(&fixture, i & 2 ? "quarantined" : "deadline");
			continue;
		}
		fixture_assert_rejected(&fixture, i & 2 ? 502 : 504, CW_RUN_UNKNOWN);
		assert_int_equal(count_running(&fixture), 0);
		fixture_close(&fixture);
	}
}

/* Guards against runs that go on for a caller that has left. */
static void both_runs_end_with_the_request(void **state)
{
	struct fixture fixture;

	escalate(&fixture, 30);
	cw_call_close(fixture.call, FIXTURE_NOW_MS + 20);
	fixture.call = NULL;
	assert_int_equal(count_running(&fixture), 0);
	fixture_close(&fixture);
}

/* Guards against a continued answer that runs twice, and against a delivery at once. */
static void an_answer_is_kept_only_while_it_can_serve(void **state)
{
	struct fixture fixture;

	open_fixture(&fixture);
	fixture.info.last_event = 4;
	fixture_open_call(&fixture, "/chat/x");
	answer(&fixture, 30, 10);
	assert_int_equal(fixture.step.kind, CW_STEP_SEND);
	assert_false(fixture.step.keeps_answer);
	fixture.info.last_event = CW_NO_EVENT;
	fixture_open_call(&fixture, "/chat/x");
	cw_call_set_via_peer(fixture.call);
	answer(&fixture, 30, 10);
	assert_false(fixture.step.keeps_answer);
	fixture_open_call(&fixture, "/chat/x");
	answer(&fixture, 3, UNSURE_DUE_MS);
	assert_int_equal(fixture.step.kind, CW_STEP_FORWARD);
	fixture_close(&fixture);
}

/* Guards against a stream of a status other than 200 that is delivered as one of 200. */
static void an_answer_of_another_status_is_not_kept(void **state)
{
	struct cw_response_head head = stream_head(30);
	struct fixture fixture;

	open_fixture(&fixture);
	fixture_open_call(&fixture, "/chat/x");
	head.status = 206;
	cw_call_handle_head(fixture.call, &head, FIXTURE_NOW_MS + 10, &fixture.step);
	assert_int_equal(fixture.step.kind, CW_STEP_SEND);
	assert_false(fixture.step.keeps_answer);
	assert_int_equal(count_running(&fixture), 1);
	fixture_close(&fixture);
}

/* The largest model's server crashes under the request, and the kept answer is whole. */
static void crash_largest(struct fixture *fixture, int is_whole_before, int64_t now_ms)
{
	struct cw_quarantine *quarantine = cw_gate_quarantine(fixture->gate);
	struct cw_response_head head = stream_head(30);
	uint64_t server;

	cw_call_close(fixture->call, now_ms);
	fixture->call = cw_call_open(fixture->gate, &fixture->info, now_ms, now_ms, &fixture->step);
	cw_call_handle_head(fixture->call, &head, now_ms + 10, &fixture->step);
	assert_true(fixture->step.keeps_answer);
	server = fixture->step.server->id;
	if (is_whole_before)
		cw_call_complete_kept(fixture->call, 6, now_ms + 40);
	cw_call_handle_failure(fixture->call, CW_ATTEMPT_CONNECTION_LOST, now_ms + 50,
			       &fixture->step);
	cw_quarantine_note_unreachable(quarantine, server, now_ms + 50);
	cw_quarantine_tick(quarantine, now_ms + 50);
	assert_int_equal(fixture->step.kind, CW_STEP_FORWARD_KEPT);
	cw_call_add_event(fixture->call, 1, now_ms + 50);
	cw_call_complete(fixture->call, now_ms + 90);
	for (int64_t at_ms = now_ms + 100; at_ms < now_ms + 2000; at_ms += 100)
		cw_quarantine_tick(quarantine, at_ms);
}

/* Guards against a request that crashes each server of the largest model and is never known. */
static void a_kept_answer_excuses_no_crash_of_the_other_run(void **state)
{
	static const char *const names[] = {"e3", "e4", "e5", "e6", "e7", "e8"};

	for (int is_whole_before = 0; is_whole_before < 2; is_whole_before++) {
		struct fixture fixture;

		open_fixture(&fixture);
		fixture.info.path = "/chat/x";
		fixture.info.body = 77;
		for (size_t i = 0; i < G_N_ELEMENTS(names); i++)
			fixture_add_server(&fixture, names[i], "llm", "v1");
		for (int i = 0; i < 3; i++)
			crash_largest(&fixture, is_whole_before, FIXTURE_NOW_MS + i * 2000);
		assert_true(cw_quarantine_contains(cw_gate_quarantine(fixture.gate),
						   cw_call_fingerprint(fixture.call)));
		fixture_close(&fixture);
	}
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(a_rejected_escalation_delivers_the_kept_answer),
		cmocka_unit_test(a_failed_escalation_delivers_the_kept_answer),
		cmocka_unit_test(a_late_escalation_delivers_the_kept_answer),
		cmocka_unit_test(the_largest_model_that_begins_replaces_the_kept_answer),
		cmocka_unit_test(an_answer_that_broke_or_was_dropped_is_not_delivered),
		cmocka_unit_test(a_complete_answer_outlasts_its_request),
		cmocka_unit_test(both_runs_end_with_the_request),
		cmocka_unit_test(an_answer_is_kept_only_while_it_can_serve),
		cmocka_unit_test(an_answer_of_another_status_is_not_kept),
		cmocka_unit_test(a_kept_answer_excuses_no_crash_of_the_other_run),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
