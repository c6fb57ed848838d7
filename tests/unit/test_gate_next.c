/* The next version is ordered while servers of one that was rolled back are still listed. */
#include "gate_bed.h"

#include <string.h>

#define CALLS	 200
#define ORDER_MS 20000

static const struct cw_rollout_order bad = {"llm", "v2", ORDER_MS};
static const struct cw_rollout_order next = {"llm", "v3", ORDER_MS};
static const struct cw_rollout_status rolled_back = {"llm", "v2", CW_ROLLOUT_ROLLED_BACK};
static const struct cw_position bad_position = {1, 3};
static const struct cw_position next_position = {1, 4};

/* Two engines of v1, one of v2 and one of v3. */
static struct cw_rollouts *open_fixture(struct fixture *fixture)
{
	fixture_open(fixture);
	fixture_add_server(fixture, "e3", "llm", "v2");
	fixture_add_server(fixture, "e4", "llm", "v3");
	return cw_gate_rollouts(fixture->gate);
}

/* Of CALLS streams of as many sessions, those that run on that version. */
static int count_on(struct fixture *fixture, const char *software)
{
	int count = 0;

	for (int i = 0; i < CALLS; i++) {
		g_snprintf(fixture->info.session, sizeof(fixture->info.session), "session-%d", i);
		fixture_open_call(fixture, "/chat/x");
		assert_int_equal(fixture->step.kind, CW_STEP_SEND);
		count += !strcmp(fixture->step.server->software, software);
	}
	return count;
}

static void order(struct cw_rollouts *rollouts, const struct cw_rollout_order *which,
		  struct cw_position position)
{
	cw_rollouts_apply_order(rollouts, which, position, FIXTURE_NOW_MS);
}

/* Guards against a bad version that serves again as soon as the next one is ordered. */
static void a_version_that_was_rolled_back_stays_so_in_the_next_roll_out(void **state)
{
	struct fixture fixture;
	struct cw_rollouts *rollouts = open_fixture(&fixture);

	order(rollouts, &bad, bad_position);
	cw_rollouts_apply_status(rollouts, &rolled_back);
	assert_int_equal(count_on(&fixture, "v2"), 0);
	order(rollouts, &next, next_position);
	assert_int_equal(count_on(&fixture, "v2"), 0);
	assert_true(count_on(&fixture, "v1") > CALLS / 2);
	fixture_close(&fixture);
}

/* Guards against the same at an instance that learns of the next order first. */
static void an_outcome_that_is_learned_after_the_next_order_counts(void **state)
{
	struct cw_rollout_announcement update = {.service = "llm",
						 .target = "v2",
						 .position = bad_position,
						 .state = CW_ROLLOUT_ROLLED_BACK};
	struct fixture fixture;
	struct cw_rollouts *rollouts = open_fixture(&fixture);

	order(rollouts, &next, next_position);
	assert_true(count_on(&fixture, "v2") > 0);
	cw_rollouts_apply_status(rollouts, &rolled_back);
	assert_int_equal(count_on(&fixture, "v2"), 0);
	fixture_close(&fixture);
	rollouts = open_fixture(&fixture);
	order(rollouts, &next, next_position);
	cw_rollouts_merge(rollouts, 7, &update, FIXTURE_NOW_MS);
	assert_int_equal(count_on(&fixture, "v2"), 0);
	fixture_close(&fixture);
}

/* Guards against a stream that goes on at the version that was rolled back. */
static void a_stream_does_not_resume_on_a_version_that_was_rolled_back(void **state)
{
	struct fixture fixture;
	struct cw_rollouts *rollouts = open_fixture(&fixture);

	while (!fixture.step.server || strcmp(fixture.step.server->software, "v2") != 0)
		fixture_open_call(&fixture, "/chat/x");
	fixture_answer_stream(&fixture, 90, 0, 8, 10);
	cw_call_add_event(fixture.call, 1, FIXTURE_NOW_MS + 20);
	order(rollouts, &bad, bad_position);
	cw_rollouts_apply_status(rollouts, &rolled_back);
	order(rollouts, &next, next_position);
	cw_call_handle_failure(fixture.call, CW_ATTEMPT_CONNECTION_LOST, FIXTURE_NOW_MS + 30,
			       &fixture.step);
	assert_int_equal(fixture.step.kind, CW_STEP_SEND);
	assert_string_not_equal(fixture.step.server->software, "v2");
	fixture_close(&fixture);
}

/* Guards against a version that can never be tried again. */
static void a_version_that_is_ordered_again_is_tried_again(void **state)
{
	struct cw_rollouts *rollouts;
	struct fixture fixture;

	rollouts = open_fixture(&fixture);
	order(rollouts, &bad, bad_position);
	cw_rollouts_apply_status(rollouts, &rolled_back);
	order(rollouts, &next, next_position);
	assert_true(cw_rollouts_is_withdrawn(rollouts, "llm", "v2"));
	order(rollouts, &bad, (struct cw_position){1, 5});
	assert_false(cw_rollouts_is_withdrawn(rollouts, "llm", "v2"));
	fixture_close(&fixture);
}

/* Guards against failures of the version that was rolled back excusing those of the next one. */
static void answers_of_a_version_that_was_rolled_back_are_no_evidence(void **state)
{
	struct cw_rollout_answer answer = {
		.service = "llm", .software = "v2", .route = 5, .is_failure = 1};
	struct cw_rollout_announcement update;
	struct fixture fixture;
	struct cw_rollouts *rollouts = open_fixture(&fixture);

	order(rollouts, &bad, bad_position);
	cw_rollouts_apply_status(rollouts, &rolled_back);
	order(rollouts, &next, next_position);
	for (int i = 0; i < 20; i++)
		cw_rollouts_record_answer(rollouts, &answer, FIXTURE_NOW_MS);
	cw_rollouts_announce(rollouts, FIXTURE_NOW_MS, &update, 1);
	assert_int_equal(update.kind_count, 0);
	fixture_close(&fixture);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(a_version_that_was_rolled_back_stays_so_in_the_next_roll_out),
		cmocka_unit_test(an_outcome_that_is_learned_after_the_next_order_counts),
		cmocka_unit_test(a_stream_does_not_resume_on_a_version_that_was_rolled_back),
		cmocka_unit_test(a_version_that_is_ordered_again_is_tried_again),
		cmocka_unit_test(answers_of_a_version_that_was_rolled_back_are_no_evidence),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
