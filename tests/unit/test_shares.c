/* Weighted fair share of the room among organisations. */
#include "cw_shares.h"
#include "unit.h"

#include <glib.h>
#include <math.h>

#define SEEDS 200

static double random_between(GRand *random, double low, double high)
{
	return g_rand_double_range(random, low, high);
}

/* Organisations 1 to count, with random weights and demands that differ by a factor of 200. */
static size_t fill(struct cw_shares *shares, struct cw_share_demand *demands, GRand *random)
{
	size_t count = (size_t)g_rand_int_range(random, 2, 24);

	for (size_t i = 0; i < count; i++) {
		demands[i].organisation = i + 1;
		demands[i].weight = (float)(1 << g_rand_int_range(random, 0, 3));
		demands[i].amount = (float)exp(random_between(random, 0, 5.3));
		cw_shares_add(shares, i + 1, demands[i].weight, demands[i].amount, 1000);
	}
	return count;
}

static void test_shares_sum_to_the_room_and_none_is_below_its_own(void **state)
{
	for (guint32 seed = 0; seed < SEEDS; seed++) {
		GRand *random = g_rand_new_with_seed(seed);
		struct cw_shares *shares = cw_shares_create();
		struct cw_share_demand demands[24];
		size_t count = fill(shares, demands, random);
		double room = random_between(random, 0.05, 1);
		double whole = 0, weights = 0, used = 0;

		for (size_t i = 0; i < count; i++) {
			whole += demands[i].amount;
			weights += demands[i].weight;
		}
		for (size_t i = 0; i < count; i++) {
			double granted = cw_shares_granted(shares, i + 1, room, 1000);
			double share = room * whole * demands[i].weight / weights;

			assert_true(granted >= 0 && granted <= 1);
			assert_true(granted * demands[i].amount >=
				    MIN(share, demands[i].amount) * (1 - 1e-5));
			used += granted * demands[i].amount;
		}
		assert_true(fabs(used - room * whole) < 1e-4 * whole);
		cw_shares_destroy(shares);
		g_rand_free(random);
	}
}

static void test_all_organisations_alike_get_what_each_got_before(void **state)
{
	struct cw_shares *shares = cw_shares_create();

	for (uint64_t i = 1; i <= 10; i++)
		cw_shares_add(shares, i, 1, 50, 1000);
	for (uint64_t i = 1; i <= 10; i++)
		assert_true(fabs(cw_shares_granted(shares, i, 0.4, 1000) - 0.4) < 1e-6);
	cw_shares_destroy(shares);
}

static void test_one_of_twentyfive_times_its_usual_gets_what_is_left(void **state)
{
	struct cw_shares *shares = cw_shares_create();

	for (uint64_t i = 1; i <= 20; i++)
		cw_shares_add(shares, i, 1, i == 7 ? 250 : 10, 1000);
	assert_true(cw_shares_granted(shares, 3, 0.5, 1000) > 0.999);
	assert_true(fabs(cw_shares_granted(shares, 7, 0.5, 1000) - 30.0 / 250) < 1e-3);
	assert_true(cw_shares_granted(shares, 7, 1, 1000) > 0.999);
	cw_shares_destroy(shares);
}

/* Announcements that are lost, repeated or reordered must leave the parts near the true ones. */
static void test_announcements_in_any_order_and_number(void **state)
{
	for (guint32 seed = 0; seed < SEEDS; seed++) {
		GRand *random = g_rand_new_with_seed(seed);
		struct cw_shares *first = cw_shares_create();
		struct cw_shares *second = cw_shares_create();
		struct cw_share_demand demands[2] = {
			{.organisation = 1, .weight = 1, .amount = 5},
			{.organisation = 2, .weight = 1, .amount = 50}};

		for (uint64_t origin = 1; origin <= 40; origin++)
			cw_shares_merge(first, origin, demands, 2, 1000);
		for (uint64_t origin = 40; origin >= 1; origin--)
			for (int copies = g_rand_int_range(random, 0, 3); copies > 0; copies--)
				cw_shares_merge(second, origin, demands, 2, 1000);
		assert_true(fabs(cw_shares_granted(first, 2, 0.3, 1000) -
				 cw_shares_granted(second, 2, 0.3, 1000)) < 1e-6);
		cw_shares_destroy(first);
		cw_shares_destroy(second);
		g_rand_free(random);
	}
}

/* An instance that died or was cut off must not hold down an organisation for good. */
static void test_announcements_of_a_silent_instance_end(void **state)
{
	struct cw_shares *shares = cw_shares_create();
	struct cw_share_demand demands[1] = {{.organisation = 9, .weight = 1, .amount = 1e6f}};

	cw_shares_merge(shares, 1, demands, 1, 1000);
	cw_shares_add(shares, 9, 1, 5, 1000);
	cw_shares_add(shares, 4, 1, 5, 1000);
	assert_true(cw_shares_granted(shares, 9, 0.5, 1000) < 0.51);
	for (int64_t now_ms = 1000; now_ms <= 6000; now_ms += 100) {
		cw_shares_add(shares, 9, 1, 1, now_ms);
		cw_shares_add(shares, 4, 1, 1, now_ms);
	}
	assert_true(fabs(cw_shares_granted(shares, 9, 0.5, 6000) - 0.5) < 0.01);
	cw_shares_destroy(shares);
}

static void test_unknown_organisations_and_no_demand(void **state)
{
	struct cw_shares *shares = cw_shares_create();

	assert_true(fabs(cw_shares_granted(shares, 1, 0.3, 1000) - 0.3) < 1e-9);
	for (uint64_t i = 1; i <= 1000; i++)
		cw_shares_add(shares, i, 1, (double)i, 1000);
	assert_true(cw_shares_granted(shares, 1000, 0.2, 2000) > 0);
	assert_true(cw_shares_granted(shares, 1001, 0.2, 2000) > 0.999);
	assert_true(cw_shares_granted(shares, 1001, 0, 2000) < 1e-9);
	for (uint64_t i = 1; i <= 1000; i++)
		cw_shares_merge(shares, i, NULL, 0, 2000);
	cw_shares_destroy(shares);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_shares_sum_to_the_room_and_none_is_below_its_own),
		cmocka_unit_test(test_all_organisations_alike_get_what_each_got_before),
		cmocka_unit_test(test_one_of_twentyfive_times_its_usual_gets_what_is_left),
		cmocka_unit_test(test_announcements_in_any_order_and_number),
		cmocka_unit_test(test_announcements_of_a_silent_instance_end),
		cmocka_unit_test(test_unknown_organisations_and_no_demand),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
