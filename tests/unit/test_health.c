#include "unit.h"

#include "cw_health.h"

#include <glib.h>

#define BAD  11
#define GOOD 12

static struct cw_health *create(void)
{
	struct cw_health *health = cw_health_create(&cw_health_pooled_cusum);

	cw_health_set_model(health, BAD, 1);
	cw_health_set_model(health, GOOD, 1);
	return health;
}

static void a_failing_version_trips_and_returns_in_steps(void **state)
{
	struct cw_health *health = create();
	int answers = 0;

	while (!cw_health_add_answer(health, BAD, 0, -1, 100, 1000))
		answers++;
	assert_in_range(answers, 1, 8);
	assert_int_equal(cw_health_state(health, BAD, 1000), CW_HEALTH_TRIPPED);
	assert_true(cw_health_weight_factor(health, BAD, 1000) == 0);
	assert_true(cw_health_weight_factor(health, GOOD, 1000) == 1);
	assert_int_equal(cw_health_state(health, BAD, 25000), CW_HEALTH_PROBING);
	assert_in_range((int)(cw_health_weight_factor(health, BAD, 25000) * 100), 1, 5);
	assert_int_equal(cw_health_state(health, BAD, 60000), CW_HEALTH_HEALTHY);
	cw_health_destroy(health);
}

static void one_percent_of_failures_trips_no_version(void **state)
{
	GRand *random = g_rand_new_with_seed(1);
	struct cw_health *health = create();
	int trips = 0;

	for (int i = 0; i < 20000; i++)
		trips += cw_health_add_answer(health, GOOD, g_rand_double(random) >= 0.01, 100, 100,
					      1000);
	assert_int_equal(trips, 0);
	g_rand_free(random);
	cw_health_destroy(health);
}

/*
 * Guards against a faulty version that trips late: each of many instances saw several failures of
 * the version before any of them acted, because instances did not share their evidence. The totals
 * of all instances are pooled, and a duplicate message counts once.
 */
static void evidence_of_many_instances_adds_up(void **state)
{
	struct cw_health *health = create();
	struct cw_health_evidence evidence = {.version = BAD, .good = 1, .bad = 1};
	int tripped = 0;

	for (uint64_t instance = 1; instance < 20 && !tripped; instance++) {
		tripped = cw_health_merge_evidence(health, instance, 1, &evidence, 1000);
		if (!tripped)
			assert_false(
				cw_health_merge_evidence(health, instance, 1, &evidence, 1000));
	}
	assert_true(tripped);
	cw_health_destroy(health);
}

static void falling_ratings_trip_a_version(void **state)
{
	GRand *random = g_rand_new_with_seed(2);
	struct cw_health *health = create();
	int trips = 0;
	int bad = 0;

	for (int i = 0; i < 500; i++)
		trips += cw_health_add_rating(health, BAD,
					      0.85 + 0.1 * (g_rand_double(random) - 0.5), 1000);
	assert_int_equal(trips, 0);
	while (bad < 200 &&
	       !cw_health_add_rating(health, BAD, 0.7 + 0.1 * (g_rand_double(random) - 0.5), 1000))
		bad++;
	assert_in_range(bad, 1, 30);
	g_rand_free(random);
	cw_health_destroy(health);
}

static void a_common_load_peak_trips_no_version(void **state)
{
	struct cw_health *health = create();
	int trips = 0;

	for (int i = 0; i < 500; i++) {
		double first_ms = i < 250 ? 100 : 2000;

		trips += cw_health_add_answer(health, BAD, 1, first_ms, 100, 1000);
		trips += cw_health_add_answer(health, GOOD, 1, first_ms, 100, 1000);
	}
	assert_int_equal(trips, 0);
	for (int i = 0; i < 100 && !trips; i++)
		trips = cw_health_add_answer(health, BAD, 1, 20000, 100, 1000);
	assert_int_equal(trips, 1);
	cw_health_destroy(health);
}

static void clearing_a_trip_restores_the_full_weight(void **state)
{
	struct cw_health *health = create();

	assert_true(cw_health_trip(health, BAD, 1000));
	assert_false(cw_health_trip(health, BAD, 1000));
	cw_health_clear(health, BAD);
	assert_true(cw_health_weight_factor(health, BAD, 1000) == 1);
	cw_health_destroy(health);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(a_failing_version_trips_and_returns_in_steps),
		cmocka_unit_test(one_percent_of_failures_trips_no_version),
		cmocka_unit_test(evidence_of_many_instances_adds_up),
		cmocka_unit_test(falling_ratings_trip_a_version),
		cmocka_unit_test(a_common_load_peak_trips_no_version),
		cmocka_unit_test(clearing_a_trip_restores_the_full_weight),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
