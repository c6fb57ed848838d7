/* Slow answers of a roll-out's target: those of one busy server against those of a slow version. */
#include "rollout_bed.h"

/*
 * Symptom: a good version was taken back 4.4 s after its order, on a calm day (1 of 4 such days).
 * Sequence: eight instances send a prompt each to one server of the target within 0.2 s; it reads
 * them one after the other, and their answers begin after 300 to 580 ms where 27 were predicted.
 * Cause: answers that wait for each other at one server were taken for as many proofs. The line:
 *	event=rollout_verdict target=v2 state=2 reason=bad_answers answers=26.2 bad=7.5
 */
static void slow_answers_that_waited_together_condemn_no_version(void **state)
{
	struct cw_rollout_answer old = {.software = "v1", .route = 1};
	struct cw_rollout_answer new = {.software = "v2", .route = 1};
	struct cw_rollouts *rollouts = bed_begun(0);
	enum cw_rollout_state verdict = CW_ROLLOUT_RUNNING;
	int answers = 0;

	bed_answer_of(rollouts, old, 600, 0, 4000);
	bed_answer_of(rollouts, new, 15, 0, 4000);
	old.is_slow = new.is_slow = 1;
	bed_answer_of(rollouts, old, 57, 0, 4000);
	bed_answer_of(rollouts, new, 11, 0, 4200);
	assert_int_equal(bed_judge(rollouts, 4200, &verdict), 0);
	/* A version whose answers are all slow is still found by a dozen more. */
	for (; verdict != CW_ROLLOUT_BACK && answers < 12; answers++) {
		bed_answer_of(rollouts, new, 1, 0, 5000 + answers * 100);
		bed_judge(rollouts, 5000 + answers * 100, &verdict);
	}
	assert_int_equal(verdict, CW_ROLLOUT_BACK);
	cw_rollouts_destroy(rollouts);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(slow_answers_that_waited_together_condemn_no_version),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
