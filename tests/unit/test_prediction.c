/* The histogram of prediction errors. */
#include "cw_prediction.h"
#include "unit.h"

static void assert_near(double value, double expected)
{
	assert_true(value > expected * 0.85 && value < expected * 1.18);
}

static void test_quantiles_of_known_errors(void **state)
{
	struct cw_prediction prediction = {0};

	for (int i = 0; i < 98; i++)
		cw_prediction_add(&prediction, 100, 100, 1000);
	cw_prediction_add(&prediction, 800, 100, 1000);
	cw_prediction_add(&prediction, 800, 100, 1000);
	assert_near(cw_prediction_quantile(&prediction, 0.5), 1);
	assert_near(cw_prediction_quantile(&prediction, 0.99), 8);
}

static void test_old_errors_fade(void **state)
{
	struct cw_prediction prediction = {0};

	for (int i = 0; i < 50; i++)
		cw_prediction_add(&prediction, 1600, 100, 1000);
	for (int i = 0; i < 3; i++)
		cw_prediction_add(&prediction, 100, 100, 61000);
	assert_near(cw_prediction_quantile(&prediction, 0.9), 1);
}

/* Answers of the same millisecond must not divide by zero or leave the histogram's bounds. */
static void test_extreme_and_missing_times(void **state)
{
	struct cw_prediction prediction = {0};

	assert_true(cw_prediction_quantile(&prediction, 0.5) == 0);
	cw_prediction_add(&prediction, 0, 100, 1000);
	cw_prediction_add(&prediction, 100, 0, 1000);
	assert_true(cw_prediction_quantile(&prediction, 0.5) == 0);
	cw_prediction_add(&prediction, 1e9, 1, 1000);
	assert_true(cw_prediction_quantile(&prediction, 0.5) > 16);
	cw_prediction_add(&prediction, 1, 1e9, 1000);
	cw_prediction_add(&prediction, 1, 1e9, 1000);
	assert_true(cw_prediction_quantile(&prediction, 0.5) < 0.1);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_quantiles_of_known_errors),
		cmocka_unit_test(test_old_errors_fade),
		cmocka_unit_test(test_extreme_and_missing_times),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
