/* Predicted times of requests at servers of different speeds, and roll-outs over such servers. */
#include "gate_bed.h"

#include <math.h>
#include <string.h>

#define TOKENS	       2000
#define TOKEN_MS       0.02 /* of the usual server */
#define OVERHEAD_MS    25
#define GAP_MS	       30
#define EVENTS	       12
#define REQUESTS       400
#define COUNTED	       200 /* the last of them */
#define REQUEST_GAP_MS 120
#define START_MS       (FIXTURE_NOW_MS + 5000)

/* Runs a request; the answer begins after took_ms. */
static void run(struct fixture *fixture, double took_ms, int64_t gap_ms, double reported,
		int64_t now_ms)
{
	struct cw_response_head head = {
		.status = 200, .is_signed = 1, .is_event_stream = 1, .confidence = 90};

	head.momentary = reported > 0 ? CW_FIELD_VALID : CW_FIELD_ABSENT;
	head.momentary_pace = reported;
	now_ms += (int64_t)took_ms;
	cw_call_handle_head(fixture->call, &head, now_ms, &fixture->step);
	for (int event = 0; event < EVENTS; event++)
		cw_call_add_event(fixture->call, event, now_ms += gap_ms);
	cw_call_complete(fixture->call, now_ms);
}

static void open_prompt(struct fixture *fixture, int64_t now_ms)
{
	cw_call_close(fixture->call, now_ms);
	fixture->info.path = "/chat/x";
	fixture->info.segment_count = 1;
	fixture->info.prompt_tokens = TOKENS;
	fixture->call = cw_call_open(fixture->gate, &fixture->info, now_ms, now_ms, &fixture->step);
}

/* Mean of |ln(taken / predicted)| over requests, one at a time, at servers of three speeds. */
static double prediction_error(int is_reported, const struct cw_policy *policy)
{
	static const double speeds[] = {0.6, 1, 1.6};
	struct fixture fixture;
	struct cw_server *server;
	double error = 0;

	fixture_open(&fixture);
	fixture_add_server(&fixture, "e3", "llm", "v1");
	TAILQ_FOREACH(server, cw_pool_servers(cw_gate_pool(fixture.gate)), link)
		server->policy = policy;
	for (int i = 0; i < REQUESTS; i++) {
		int64_t now_ms = START_MS + (int64_t)i * REQUEST_GAP_MS;
		double speed, took_ms;

		open_prompt(&fixture, now_ms);
		speed = speeds[cw_call_server(fixture.call)->name[1] % 3];
		took_ms = OVERHEAD_MS + TOKENS * TOKEN_MS * speed;
		if (i >= REQUESTS - COUNTED)
			error += fabs(log(took_ms / cw_call_predicted_ms(fixture.call)));
		run(&fixture, took_ms, (int64_t)(GAP_MS * speed), is_reported ? speed : 0, now_ms);
	}
	fixture_close(&fixture);
	return error / COUNTED;
}

static void speeds_make_predictions_hold(void **state)
{
	struct cw_policy off = *cw_policy_default();

	off.pace_part = 0;
	assert_true(prediction_error(1, &off) > 0.2);
	assert_true(prediction_error(0, &off) > 0.2);
	assert_true(prediction_error(1, cw_policy_default()) < 0.05);
	assert_true(prediction_error(0, cw_policy_default()) < 0.15);
}

/* Guards against a good version that is rolled back for the machines that it runs on. */
static void a_slow_server_is_no_slow_version(void **state)
{
	struct fixture fixture;
	struct cw_server *server;

	fixture_open(&fixture);
	open_prompt(&fixture, START_MS);
	run(&fixture, 500, GAP_MS, 0, START_MS);
	assert_true(fixture.step.is_slow);
	TAILQ_FOREACH(server, cw_pool_servers(cw_gate_pool(fixture.gate)), link)
		cw_pool_report_pace(server, 8, START_MS + 900);
	open_prompt(&fixture, START_MS + 900);
	run(&fixture, 500, GAP_MS, 0, START_MS + 900);
	assert_false(fixture.step.is_slow);
	fixture_close(&fixture);
}

/* Is an answer slow that begins so long after what is usual for 100 ms of later work of peers? */
static int is_slow_behind_peers(double more_ms)
{
	struct fixture fixture;
	struct cw_server *server;
	int64_t head_ms;
	int is_slow;

	fixture_open(&fixture);
	TAILQ_FOREACH(server, cw_pool_servers(cw_gate_pool(fixture.gate)), link)
		cw_pool_report_pace(server, 4, START_MS);
	open_prompt(&fixture, START_MS);
	/* Four times the predicted time, 40 ms of margin, and 100 ms of work at a pace of 4. */
	head_ms = (int64_t)(4 * (cw_call_predicted_ms(fixture.call) + 40 + 4 * 100) + more_ms);
	server = cw_call_server(fixture.call);
	server->peers_work_ms = 100;
	cw_pool_record_peers_work(server, START_MS + head_ms);
	cw_pool_report_pace(server, 4, START_MS + head_ms);
	run(&fixture, (double)head_ms, GAP_MS, 0, START_MS);
	is_slow = fixture.step.is_slow;
	fixture_close(&fixture);
	return is_slow;
}

/* Guards against a good version that is rolled back for prompts of peers before a slow server. */
static void later_work_of_peers_takes_longer_at_a_slow_server(void **state)
{
	assert_false(is_slow_behind_peers(-20));
	assert_true(is_slow_behind_peers(20));
}

/* Guards against a bad version whose slowness counts as its servers' speed, now or from before. */
static void a_version_on_trial_teaches_no_speed(void **state)
{
	struct cw_rollout_order order = {"llm", "v2", 20000};
	struct fixture fixture;
	struct cw_server *server;
	int64_t now_ms = START_MS;

	fixture_open(&fixture);
	TAILQ_FOREACH(server, cw_pool_servers(cw_gate_pool(fixture.gate)), link)
		if (!strcmp(server->service, "llm")) {
			strcpy(server->software, "v2");
			for (int i = 0; i < 60; i++)
				cw_pool_record_speed(server, 5, now_ms);
		}
	cw_rollouts_apply_order(cw_gate_rollouts(fixture.gate), &order, (struct cw_position){1, 3},
				FIXTURE_NOW_MS);
	for (int i = 0; i < 100; i++, now_ms += 5000) {
		open_prompt(&fixture, now_ms);
		run(&fixture, 500, 200, 0, now_ms);
		assert_true(fixture.step.is_slow);
	}
	TAILQ_FOREACH(server, cw_pool_worked(cw_gate_pool(fixture.gate)), worked_link)
		assert_true(cw_pace_total(&server->work->pace, now_ms).learned.weight < 0.01);
	fixture_close(&fixture);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(speeds_make_predictions_hold),
		cmocka_unit_test(a_slow_server_is_no_slow_version),
		cmocka_unit_test(a_version_on_trial_teaches_no_speed),
		cmocka_unit_test(later_work_of_peers_takes_longer_at_a_slow_server),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
