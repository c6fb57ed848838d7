/* Positions in a log whose offsets are given out again in each era. */
#include "cw_position.h"
#include "unit.h"

static struct cw_position at(uint64_t era, uint64_t offset)
{
	return (struct cw_position){era, offset};
}

/* Guards against an offset of an earlier era that counts as later since it is larger. */
static void an_era_outweighs_any_offset(void **state)
{
	assert_true(cw_position_compare(at(2, 3), at(1, 16)) > 0);
	assert_true(cw_position_compare(at(1, 16), at(2, 3)) < 0);
	assert_true(cw_position_compare(at(CW_ERA_UNKNOWN, 16), at(1, 0)) < 0);
	assert_int_equal(cw_position_max(at(2, 3), at(1, 16)).offset, 3);
	assert_int_equal(cw_position_max(at(1, 16), at(2, 3)).offset, 3);
}

static void offsets_compare_within_an_era(void **state)
{
	assert_true(cw_position_compare(at(2, 3), at(2, 4)) < 0);
	assert_true(cw_position_compare(at(2, 4), at(2, 3)) > 0);
	assert_int_equal(cw_position_compare(at(2, 4), at(2, 4)), 0);
	assert_false(cw_position_is_same_era(at(2, 4), at(3, 4)));
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(an_era_outweighs_any_offset),
		cmocka_unit_test(offsets_compare_within_an_era),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
