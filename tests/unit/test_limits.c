#include "unit.h"

#include "cw_limits.h"

#include <math.h>

#define INSTANCES 4

static struct cw_limit limit_of(double requests_per_s, double concurrent)
{
	return (struct cw_limit){.row = 1,
				 .requests_per_s = requests_per_s,
				 .tokens_per_s = NAN,
				 .concurrent = concurrent};
}

static int count_admitted(struct cw_limits *limits, const struct cw_limit *limit, int attempts,
			  int64_t now_ms)
{
	int64_t retry_ms;
	int count = 0;

	for (int i = 0; i < attempts; i++)
		count += cw_limits_admit(limits, limit, 0, now_ms, &retry_ms) == CW_OK;
	return count;
}

static void shares_add_up_to_the_limit(void **state)
{
	for (int slots = 1; slots < 40; slots++) {
		struct cw_limit limit = limit_of(NAN, slots);
		int sum = 0;

		for (size_t rank = 0; rank < INSTANCES; rank++) {
			struct cw_limits *limits = cw_limits_create();

			cw_limits_divide(limits, INSTANCES, rank);
			sum += count_admitted(limits, &limit, 50, 1000);
			cw_limits_destroy(limits);
		}
		assert_int_equal(sum, slots);
	}
}

static void a_loan_never_adds_slots(void **state)
{
	for (uint32_t wanted = 1000; wanted < CW_LIMIT_PARTS; wanted += 37777) {
		struct cw_limit limit = limit_of(NAN, 10);
		struct cw_limits *lender = cw_limits_create();
		struct cw_limits *borrower = cw_limits_create();
		uint32_t granted;

		cw_limits_divide(lender, 2, 0);
		cw_limits_divide(borrower, 2, 1);
		granted = cw_limits_lend(lender, &limit, 9, wanted, 1000);
		cw_limits_add_loan(borrower, 1, 8, granted, 1000);
		assert_true(count_admitted(lender, &limit, 20, 1000) +
				    count_admitted(borrower, &limit, 20, 1000) <=
			    10);
		cw_limits_destroy(lender);
		cw_limits_destroy(borrower);
	}
}

/*
 * Symptom: an organisation had more requests running than its limit allows.
 * Sequence: a loan is granted, the borrower is partitioned or paused, the lender ends the loan.
 * Cause: the borrower's term ended later than the lender's.
 */
static void the_borrowers_term_ends_first(void **state)
{
	struct cw_limit limit = limit_of(NAN, 10);
	struct cw_limits *lender = cw_limits_create();
	struct cw_limits *borrower = cw_limits_create();
	uint32_t granted;

	cw_limits_divide(lender, 2, 0);
	cw_limits_divide(borrower, 2, 1);
	/* Requested at 1000, granted at 1400, arrived at 1900: the term counts from the request. */
	granted = cw_limits_lend(lender, &limit, 9, CW_LIMIT_PARTS / 2, 1400);
	assert_true(granted > 0);
	cw_limits_add_loan(borrower, 1, 8, granted, 1000);
	assert_true(cw_limits_share(borrower, 1, 999 + CW_LOAN_TERM_MS) > CW_LIMIT_PARTS / 2);
	assert_int_equal(cw_limits_share(borrower, 1, 1000 + CW_LOAN_TERM_MS), CW_LIMIT_PARTS / 2);
	assert_true(cw_limits_share(lender, 1, 1000 + CW_LOAN_TERM_MS) < CW_LIMIT_PARTS / 2);
	assert_int_equal(cw_limits_share(lender, 1, 1400 + CW_LOAN_TERM_MS + CW_LOAN_MARGIN_MS),
			 CW_LIMIT_PARTS / 2);
	cw_limits_destroy(lender);
	cw_limits_destroy(borrower);
}

static void a_rate_refills_and_a_rejection_gives_the_retry_time(void **state)
{
	struct cw_limit limit = limit_of(10, NAN);
	struct cw_limits *limits = cw_limits_create();
	int64_t retry_ms = 0;

	cw_limits_divide(limits, 1, 0);
	assert_int_equal(count_admitted(limits, &limit, 30, 1000), 10);
	assert_int_equal(cw_limits_admit(limits, &limit, 0, 1000, &retry_ms), CW_FULL);
	assert_int_equal(retry_ms, 100);
	assert_int_equal(count_admitted(limits, &limit, 30, 1500), 5);
	cw_limits_destroy(limits);
}

static void an_instance_without_a_share_admits_nothing(void **state)
{
	struct cw_limit limit = limit_of(1000, 10);
	struct cw_limits *limits = cw_limits_create();

	cw_limits_divide(limits, 0, 0);
	assert_int_equal(cw_limits_share(limits, 1, 1000), 0);
	assert_int_equal(count_admitted(limits, &limit, 30, 1000), 0);
	cw_limits_destroy(limits);
}

static void retries_stay_a_fixed_ratio_of_successes(void **state)
{
	struct cw_retry_budget budget;
	int retries = 0;

	cw_retry_budget_open(&budget);
	while (cw_retry_budget_take(&budget))
		;
	for (int i = 0; i < 1000; i++) {
		cw_retry_budget_success(&budget);
		retries += cw_retry_budget_take(&budget);
	}
	assert_in_range(retries, 95, 100);
}

/*
 * Symptom: an instance that had just started rejected its first request with limit_exceeded and a
 * retry time of 5 s, with a limit of 10,000 requests a second.
 * Sequence: a request arrives before the instance's share is known; the share follows.
 * Cause: the bucket was created empty, and filled only from then on.
 */
static void a_bucket_is_full_once_its_share_is_known(void **state)
{
	struct cw_limits *limits = cw_limits_create();
	struct cw_limit limit = {7, 10000, NAN, NAN};
	int64_t retry_after_ms = 0;

	cw_limits_divide(limits, 0, 0);
	assert_int_equal(cw_limits_has_share(limits), 0);
	assert_int_equal(cw_limits_admit(limits, &limit, 0, 1000, &retry_after_ms), CW_FULL);
	cw_limits_divide(limits, 1, 0);
	assert_int_equal(cw_limits_has_share(limits), 1);
	for (int i = 0; i < 1000; i++)
		assert_int_equal(cw_limits_admit(limits, &limit, 0, 1000, &retry_after_ms), CW_OK);
	cw_limits_destroy(limits);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(a_bucket_is_full_once_its_share_is_known),
		cmocka_unit_test(shares_add_up_to_the_limit),
		cmocka_unit_test(a_loan_never_adds_slots),
		cmocka_unit_test(the_borrowers_term_ends_first),
		cmocka_unit_test(a_rate_refills_and_a_rejection_gives_the_retry_time),
		cmocka_unit_test(an_instance_without_a_share_admits_nothing),
		cmocka_unit_test(retries_stay_a_fixed_ratio_of_successes),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
