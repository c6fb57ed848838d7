/* Slow answers of the target: one busy server against a version that is slow itself. */
#include "rollout_bed.h"

/*
 * Guards against: a good version was rolled back 4.4 s after its order on a calm day (1 of 4
 * such days).
 * Sequence: eight instances send one prompt each to the same server of the target within 0.2 s.
 * The server processes the prompts one after the other, and the answers begin after 300 to 580
 * ms where 27 ms were predicted.
 * Cause: answers that queued behind each other on one server counted as independent evidence.
 * Log:
 *	event=rollout_verdict target=v2 state=2 reason=bad_answers answers=26.2 bad=7.5
 */
static void slow_answers_that_waited_together_condemn_no_version(void **state)
{
	struct cw_rollout_answer old = {.software = "v1", .route = 1};
	struct cw_rollout_answer new = {.software = "v2", .route = 1};
	struct cw_rollouts *rollouts = rollout_fixture_start(0);
	enum cw_rollout_state verdict = CW_ROLLOUT_RUNNING;
	int answers = 0;

	rollout_fixture_answer_kind(rollouts, old, 600, 0, 4000);
	rollout_fixture_answer_kind(rollouts, new, 15, 0, 4000);
	old.is_slow = new.is_slow = 1;
	rollout_fixture_answer_kind(rollouts, old, 57, 0, 4000);
	rollout_fixture_answer_kind(rollouts, new, 11, 0, 4200);
	assert_int_equal(rollout_fixture_evaluate(rollouts, 4200, &verdict), 0);
	/* A version whose answers are all slow is still detected by a dozen further answers. */
	for (; verdict != CW_ROLLOUT_ROLLED_BACK && answers < 12; answers++) {
		rollout_fixture_answer_kind(rollouts, new, 1, 0, 5000 + answers * 100);
		rollout_fixture_evaluate(rollouts, 5000 + answers * 100, &verdict);
	}
	assert_int_equal(verdict, CW_ROLLOUT_ROLLED_BACK);
	cw_rollouts_destroy(rollouts);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(slow_answers_that_waited_together_condemn_no_version),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
