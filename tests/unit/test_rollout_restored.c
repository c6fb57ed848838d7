/* Roll-outs while the shared store is restored from an older copy of itself. */
#include "rollout_bed.h"

#define SETTLED 30000

static struct cw_position at(uint64_t era, uint64_t offset)
{
	return (struct cw_position){era, offset};
}

/* Guards against an outcome that was published, was lost, and stays missing. */
static void a_lost_outcome_is_due_again(void **state)
{
	struct cw_rollouts *rollouts = rollout_fixture_start(0);
	struct cw_rollout_status status = {"llm", "v2", CW_ROLLOUT_ROLLED_BACK};
	enum cw_rollout_state verdict;

	cw_rollouts_apply_status(rollouts, &status);
	assert_int_equal(rollout_fixture_evaluate(rollouts, 25000, &verdict), 0);
	cw_rollouts_begin_era(rollouts, SETTLED);
	assert_int_equal(rollout_fixture_evaluate(rollouts, 26000, &verdict), 1);
	assert_int_equal(verdict, CW_ROLLOUT_ROLLED_BACK);
	/* The copy has it after all. */
	cw_rollouts_apply_status(rollouts, &status);
	assert_int_equal(rollout_fixture_evaluate(rollouts, 26000, &verdict), 0);
	cw_rollouts_destroy(rollouts);
}

/* Guards against a roll-out that is done twice, since its order has another position. */
static void the_same_order_in_a_later_era_begins_nothing(void **state)
{
	struct cw_rollouts *rollouts = rollout_fixture_start(0);
	struct cw_rollout_status status = {"llm", "v2", CW_ROLLOUT_COMPLETED};

	cw_rollouts_apply_status(rollouts, &status);
	cw_rollouts_begin_era(rollouts, SETTLED);
	assert_int_equal(cw_rollouts_apply_order(rollouts, &rollout_fixture_order, at(2, 4), 27000),
			 0);
	assert_int_equal(cw_rollouts_apply_order(rollouts, &rollout_fixture_order, at(2, 4), 40000),
			 0);
	assert_int_equal(rollout_fixture_variant(rollouts, rollout_fixture_session(1), 40000),
			 CW_ROLLOUT_VARIANT_NEW);
	/* The operator orders it again. */
	assert_int_equal(cw_rollouts_apply_order(rollouts, &rollout_fixture_order, at(2, 6), 41000),
			 1);
	cw_rollouts_destroy(rollouts);
}

/* Guards against a superseded order of the copy that is carried out until the newer one is back. */
static void a_superseded_order_of_the_copy_is_not_carried_out(void **state)
{
	struct cw_rollouts *rollouts = rollout_fixture_start(0);
	struct cw_rollout_order superseded = {"llm", "v1.5", ROLLOUT_DURATION_MS};

	cw_rollouts_begin_era(rollouts, SETTLED);
	assert_int_equal(cw_rollouts_apply_order(rollouts, &superseded, at(2, 3), 29000), 0);
	assert_string_equal(cw_rollouts_target(rollouts, "llm"), "v2");
	assert_int_equal(cw_rollouts_apply_order(rollouts, &rollout_fixture_order, at(2, 4), 29500),
			 0);
	assert_int_equal(cw_rollouts_apply_order(rollouts, &superseded, at(2, 3), SETTLED), 0);
	/* An order that is not written again until then was withdrawn. */
	cw_rollouts_begin_era(rollouts, SETTLED);
	assert_int_equal(cw_rollouts_apply_order(rollouts, &superseded, at(3, 3), SETTLED), 1);
	cw_rollouts_destroy(rollouts);
}

/* Guards against evidence of peers that is dropped while they know the order at its old position.
 */
static void peers_of_both_eras_take_part_in_one_roll_out(void **state)
{
	struct cw_rollouts *early = rollout_fixture_start(0);
	struct cw_rollouts *late = rollout_fixture_start(0);
	struct cw_rollout_announcement update = {0};
	enum cw_rollout_state verdict;

	cw_rollouts_begin_era(late, SETTLED);
	cw_rollouts_apply_order(late, &rollout_fixture_order, at(2, 4), 3000);
	rollout_fixture_answer(early, "v1", 100, 0, 4000);
	rollout_fixture_answer(early, "v2", 5, 40, 4000);
	assert_int_equal(cw_rollouts_announce(early, 4000, &update, 1), 1);
	cw_rollouts_merge(late, 1, &update, 4000);
	rollout_fixture_evaluate(late, 4200, &verdict);
	assert_int_equal(verdict, CW_ROLLOUT_ROLLED_BACK);
	/* And the other way round. */
	cw_rollouts_announce(late, 4300, &update, 1);
	assert_int_equal(cw_rollouts_merge(early, 2, &update, 4300), 1);
	/* An instance of an earlier build names no era. */
	update.position = at(CW_ERA_UNKNOWN, 7);
	assert_int_equal(cw_rollouts_merge(late, 3, &update, 4300), 0);
	assert_int_equal(rollout_fixture_evaluate(late, 4300, &verdict), 1);
	cw_rollouts_destroy(early);
	cw_rollouts_destroy(late);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(a_lost_outcome_is_due_again),
		cmocka_unit_test(the_same_order_in_a_later_era_begins_nothing),
		cmocka_unit_test(a_superseded_order_of_the_copy_is_not_carried_out),
		cmocka_unit_test(peers_of_both_eras_take_part_in_one_roll_out),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
