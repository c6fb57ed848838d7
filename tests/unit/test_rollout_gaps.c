/* Slow streams of the target, by the gaps between their events. */
#include "rollout_bed.h"

#define INSTANCES 3

static const struct cw_rollout_answer old_stream = {.service = "llm", .software = "v1"};
static const struct cw_rollout_answer new_stream = {.service = "llm", .software = "v2"};

static void record_streams(struct cw_rollouts *rollouts, const struct cw_rollout_answer *stream,
			   int quick, int others, int64_t now_ms)
{
	for (int i = 0; i < quick + others; i++)
		cw_rollouts_record_gap(rollouts, stream, i < quick, now_ms);
}

static enum cw_rollout_state evaluate(struct cw_rollouts *rollouts, int64_t now_ms)
{
	enum cw_rollout_state state = CW_ROLLOUT_RUNNING;

	rollout_fixture_evaluate(rollouts, now_ms, &state);
	return state;
}

/* Guards against a slow version that is completed, as none of its answers is late by itself. */
static void a_version_without_quick_streams_is_rolled_back(void **state)
{
	struct cw_rollouts *rollouts = rollout_fixture_start(0);

	record_streams(rollouts, &old_stream, 30, 170, 4000);
	record_streams(rollouts, &new_stream, 0, 30, 5000);
	assert_int_equal(evaluate(rollouts, 5000), CW_ROLLOUT_RUNNING);
	record_streams(rollouts, &new_stream, 1, 30, 6000);
	assert_int_equal(evaluate(rollouts, 6000), CW_ROLLOUT_ROLLED_BACK);
	cw_rollouts_destroy(rollouts);
}

/* Guards against a rollback of a good version whose servers are loaded. */
static void a_version_with_some_quick_streams_is_kept(void **state)
{
	struct cw_rollouts *rollouts = rollout_fixture_start(0);

	for (int64_t now_ms = 2000; now_ms < 12000; now_ms += 1000) {
		record_streams(rollouts, &old_stream, 0, 100, now_ms);
		record_streams(rollouts, &new_stream, 1, 3, now_ms);
		assert_int_equal(evaluate(rollouts, now_ms), CW_ROLLOUT_RUNNING);
	}
	cw_rollouts_destroy(rollouts);
}

/* Guards against a pass of the trial under load before slow streams have decided. */
static void a_version_that_is_rather_slow_does_not_pass_its_trial(void **state)
{
	struct cw_rollouts *rollouts = rollout_fixture_start(0);

	record_streams(rollouts, &new_stream, 0, 8, 13000);
	rollout_fixture_pass_trial(rollouts, 14000);
	assert_int_equal(evaluate(rollouts, 14000), CW_ROLLOUT_RUNNING);
	assert_true(cw_rollouts_needs_load_trial(rollouts, "llm", 14000));
	record_streams(rollouts, &new_stream, 6, 0, 14500);
	evaluate(rollouts, 14500);
	assert_false(cw_rollouts_needs_load_trial(rollouts, "llm", 14500));
	cw_rollouts_destroy(rollouts);
}

/* Guards against a rollback of a version that has passed, as it then serves all requests. */
static void streams_after_the_trial_decide_nothing(void **state)
{
	struct cw_rollouts *rollouts = rollout_fixture_start(0);

	record_streams(rollouts, &new_stream, 5, 5, 13000);
	rollout_fixture_pass_trial(rollouts, 14000);
	evaluate(rollouts, 14000);
	assert_false(cw_rollouts_needs_load_trial(rollouts, "llm", 14000));
	record_streams(rollouts, &new_stream, 0, 300, 15000);
	assert_int_equal(evaluate(rollouts, 15000), CW_ROLLOUT_RUNNING);
	cw_rollouts_destroy(rollouts);
}

/* Guards against a verdict that no instance reaches, as each has seen a few streams only. */
static void streams_of_all_instances_decide_together(void **state)
{
	struct cw_rollouts *instances[INSTANCES];
	struct cw_rollout_announcement update;

	for (int i = 0; i < INSTANCES; i++) {
		instances[i] = rollout_fixture_start(0);
		record_streams(instances[i], &new_stream, 0, 15, 5000);
		assert_int_equal(evaluate(instances[i], 5000), CW_ROLLOUT_RUNNING);
	}
	for (int i = 1; i < INSTANCES; i++) {
		assert_int_equal(cw_rollouts_announce(instances[i], 5000, &update, 1), 1);
		cw_rollouts_merge(instances[0], (uint64_t)i, &update, 5000);
	}
	assert_int_equal(evaluate(instances[0], 5000), CW_ROLLOUT_ROLLED_BACK);
	for (int i = 0; i < INSTANCES; i++)
		cw_rollouts_destroy(instances[i]);
}

/* Guards against a rollback of a good version while hardly any stream is quick, of either version.
 */
static void quick_streams_of_the_old_version_are_the_measure(void **state)
{
	static const struct {
		int old_quick;
		int new_streams;
		enum cw_rollout_state state;
	} rows[] = {
		{0, 50, CW_ROLLOUT_RUNNING},
		{4, 50, CW_ROLLOUT_RUNNING},
		{40, 50, CW_ROLLOUT_ROLLED_BACK},
		{0, 100, CW_ROLLOUT_ROLLED_BACK},
	};

	for (size_t i = 0; i < sizeof(rows) / sizeof(*rows); i++) {
		struct cw_rollouts *rollouts = rollout_fixture_start(0);

		record_streams(rollouts, &old_stream, rows[i].old_quick, 200 - rows[i].old_quick,
			       4000);
		record_streams(rollouts, &new_stream, 0, rows[i].new_streams, 5000);
		assert_int_equal(evaluate(rollouts, 5000), rows[i].state);
		cw_rollouts_destroy(rollouts);
	}
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(a_version_without_quick_streams_is_rolled_back),
		cmocka_unit_test(a_version_with_some_quick_streams_is_kept),
		cmocka_unit_test(a_version_that_is_rather_slow_does_not_pass_its_trial),
		cmocka_unit_test(streams_after_the_trial_decide_nothing),
		cmocka_unit_test(streams_of_all_instances_decide_together),
		cmocka_unit_test(quick_streams_of_the_old_version_are_the_measure),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
