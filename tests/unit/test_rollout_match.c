/* Detection of a route that fails on the target only, by per-second comparison of the versions. */
#include "rollout_bed.h"

#define ROUTE	    9
#define STEP_MS	    100
#define ANNOUNCE_MS 200

/* Answers of one route: 10 per second of the old version, and some of the target. */
struct traffic {
	int old_fails_of_ten;
	int new_answers; /* per second */
	int new_fails;	 /* of every three: 0 none, 3 all */
};

static int target_answers; /* answers of the target so far */

static void run_second(struct cw_rollouts *rollouts, const struct traffic *traffic,
		       int64_t second_ms, enum cw_rollout_state *verdict)
{
	struct cw_rollout_answer old = {.software = "v1", .route = ROUTE};
	struct cw_rollout_answer new = {.software = "v2", .route = ROUTE};

	for (int i = 0; i < 1000 / STEP_MS && *verdict == CW_ROLLOUT_RUNNING; i++) {
		int64_t now_ms = second_ms + (int64_t)i * STEP_MS;
		int fails = i < traffic->old_fails_of_ten;
		int due = traffic->new_answers * (i + 1) / 10 - traffic->new_answers * i / 10;

		rollout_fixture_answer_kind(rollouts, old, !fails, fails, now_ms);
		for (int j = 0; j < due; j++, target_answers++)
			rollout_fixture_answer_kind(
				rollouts, new, target_answers % 3 >= traffic->new_fails,
				target_answers % 3 < traffic->new_fails, now_ms);
		rollout_fixture_evaluate(rollouts, now_ms, verdict);
	}
}

/*
 * Guards against: a version that fails on one route received 621 of 1,486 requests, where 253
 * are allowed.
 * Sequence: servers of both versions crash, and for two seconds 60 % of the old version's
 * answers on the route fail. From then on one in three answers of the target fails, and none of
 * the old version.
 * Cause: in the recent window and since the order, a tenth of the old version's answers had
 * failed, so the target looked hardly worse. Counts per second on the route in one run:
 *	old 15 13 13 7 9 9 answers, 8 0 5 0 0 0 failed; target 3 0 1 0 0 0, 2 0 0 0 0 0
 */
static void a_fault_of_both_versions_does_not_mask_later_failures(void **state)
{
	static const struct traffic calm = {0, 1, 0};
	static const struct traffic faulty = {6, 1, 0};
	static const struct traffic bad = {0, 3, 1};
	struct cw_rollouts *rollouts = rollout_fixture_start(0);
	enum cw_rollout_state verdict = CW_ROLLOUT_RUNNING;
	int before;

	target_answers = 0;
	for (int second = 0; second < 8; second++)
		run_second(rollouts, second < 6 ? &calm : &faulty, second * 1000, &verdict);
	before = target_answers;
	for (int second = 8; second < 18 && verdict == CW_ROLLOUT_RUNNING; second++)
		run_second(rollouts, &bad, second * 1000, &verdict);
	assert_int_equal(verdict, CW_ROLLOUT_ROLLED_BACK);
	assert_true(target_answers - before <= 24);
	cw_rollouts_destroy(rollouts);
}

/* Both versions lose servers in the same second, so neither is worse. */
static void a_fault_of_both_versions_in_one_second_rolls_back_neither(void **state)
{
	static const struct traffic calm = {0, 3, 0};
	static const struct traffic faulty = {7, 3, 3};
	struct cw_rollouts *rollouts = rollout_fixture_start(0);
	enum cw_rollout_state verdict = CW_ROLLOUT_RUNNING;

	target_answers = 0;
	for (int second = 0; second < 12; second++)
		run_second(rollouts, second % 4 == 3 ? &faulty : &calm, second * 1000, &verdict);
	assert_int_equal(verdict, CW_ROLLOUT_RUNNING);
	cw_rollouts_destroy(rollouts);
}

/* No instance has enough answers alone. An answer that is announced repeatedly counts once. */
static void instances_pool_their_seconds_and_count_no_answer_twice(void **state)
{
	struct cw_rollout_answer old = {.software = "v1", .route = ROUTE};
	struct cw_rollout_answer new = {.software = "v2", .route = ROUTE};
	struct cw_rollouts *peers[3] = {rollout_fixture_start(0), rollout_fixture_start(0),
					rollout_fixture_start(0)};
	struct cw_rollout_announcement update;
	enum cw_rollout_state verdict = CW_ROLLOUT_RUNNING;
	int64_t now_ms;

	/* One failure and two good answers at each of two peers, announced again for 6 s. */
	for (now_ms = 0; now_ms < 8000; now_ms += ANNOUNCE_MS) {
		for (int i = 1; i < 3; i++) {
			rollout_fixture_answer_kind(peers[i], old, 1, 0, now_ms);
			if (now_ms == 2000)
				rollout_fixture_answer_kind(peers[i], new, 2, 1, now_ms);
			cw_rollouts_announce(peers[i], now_ms, &update, 1);
			cw_rollouts_merge(peers[0], (uint64_t)i, &update, now_ms);
			cw_rollouts_merge(peers[0], (uint64_t)i, &update, now_ms);
		}
		rollout_fixture_evaluate(peers[0], now_ms, &verdict);
	}
	assert_int_equal(verdict, CW_ROLLOUT_RUNNING);
	for (int i = 1; i < 3; i++) {
		rollout_fixture_answer_kind(peers[i], new, 1, 3, now_ms);
		cw_rollouts_announce(peers[i], now_ms, &update, 1);
		cw_rollouts_merge(peers[0], (uint64_t)i, &update, now_ms);
	}
	rollout_fixture_evaluate(peers[0], now_ms + 1000, &verdict);
	assert_int_equal(verdict, CW_ROLLOUT_ROLLED_BACK);
	for (int i = 0; i < 3; i++)
		cw_rollouts_destroy(peers[i]);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(a_fault_of_both_versions_does_not_mask_later_failures),
		cmocka_unit_test(a_fault_of_both_versions_in_one_second_rolls_back_neither),
		cmocka_unit_test(instances_pool_their_seconds_and_count_no_answer_twice),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
