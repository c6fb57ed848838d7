#include "unit.h"

#include "cw_ledger.h"

#include <glib.h>

static void a_bill_stays_until_its_record_is_confirmed(void **state)
{
	struct cw_ledger *ledger = cw_ledger_create();
	struct cw_bill_list settled = TAILQ_HEAD_INITIALIZER(settled);
	struct cw_bill *bill;
	char *record;

	cw_ledger_add(ledger, "a/1", "{\"bill\":\"1\"}", "", 5, 1000);
	cw_ledger_add(ledger, "a/1", "{\"bill\":\"other\"}", "", 9, 1000);
	cw_ledger_add(ledger, "a/2", "{\"bill\":\"2\"}", "", 7, 1000);
	cw_ledger_add(ledger, "a/3", "{\"bill\":\"3\"}", "e2#1", 2, 1000);
	assert_int_equal(cw_ledger_read_back_offset(ledger, ""), 5);
	assert_int_equal(cw_ledger_begin_append(ledger, 77, "", 10, &record), 2);
	assert_string_equal(record, "{\"bills\":[{\"bill\":\"1\"},{\"bill\":\"2\"}]}");
	g_free(record);
	assert_int_equal(cw_ledger_begin_append(ledger, 78, "", 10, &record), 0);
	g_free(record);
	cw_ledger_fail_append(ledger, 77);
	assert_int_equal(cw_ledger_count(ledger, ""), 2);
	assert_int_equal(
		cw_ledger_settle_record(ledger,
					"{\"bills\":[{\"bill\":\"1\",\"organisation\":\"a\"},"
					"{\"bill\":\"9\"},7]}",
					3, 1000),
		1);
	assert_int_equal(cw_ledger_begin_append(ledger, 79, "", 10, &record), 1);
	g_free(record);
	assert_int_equal(cw_ledger_complete_append(ledger, 79, &settled), 1);
	assert_int_equal(cw_ledger_count(ledger, NULL), 1);
	while ((bill = TAILQ_FIRST(&settled))) {
		TAILQ_REMOVE(&settled, bill, link);
		cw_bill_destroy(bill);
	}
	cw_ledger_destroy(ledger);
}

/* Guards against a bill that is gone since a restored log lacks its record. */
static void a_settled_bill_is_pending_again_after_a_loss(void **state)
{
	struct cw_ledger *ledger = cw_ledger_create();

	cw_ledger_add(ledger, "a/1", "{\"bill\":\"1\"}", "", 50, 1000);
	cw_ledger_add(ledger, "a/2", "{\"bill\":\"2\"}", "e2#1", 50, 1000);
	cw_ledger_settle(ledger, "a/1", 51, 1500);
	cw_ledger_settle(ledger, "a/2", 52, 1500);
	assert_int_equal(cw_ledger_count(ledger, NULL), 0);
	assert_int_equal(cw_ledger_count_kept(ledger), 2);
	assert_int_equal(cw_ledger_reopen(ledger, 7), 1);
	assert_int_equal(cw_ledger_read_back_offset(ledger, ""), 7);
	assert_int_equal(cw_ledger_count_kept(ledger), 1);
	assert_int_equal(cw_ledger_adopt(ledger, "e2#1"), 0);
	assert_int_equal(cw_ledger_reopen(ledger, 6), 1);
	assert_int_equal(cw_ledger_count(ledger, ""), 2);
	assert_int_equal(cw_ledger_read_back_offset(ledger, ""), 6);
	assert_int_equal(cw_ledger_count_kept(ledger), 0);
	cw_ledger_destroy(ledger);
}

/* Guards against memory that grows with all bills ever settled. */
static void settled_bills_are_kept_for_a_time_and_up_to_a_number(void **state)
{
	struct cw_ledger *ledger = cw_ledger_create();
	char id[8];

	for (int i = 0; i < 5; i++) {
		g_snprintf(id, sizeof(id), "a/%d", i);
		cw_ledger_add(ledger, id, "{}", "", 1, 1000);
		cw_ledger_settle(ledger, id, 1, 1000 + i);
	}
	assert_int_equal(cw_ledger_expire_kept(ledger, 1002, 10), 0);
	assert_int_equal(cw_ledger_count_kept(ledger), 3);
	assert_int_equal(cw_ledger_expire_kept(ledger, 1002, 1), 2);
	assert_string_equal(TAILQ_FIRST(cw_ledger_kept(ledger))->id, "a/4");
	cw_ledger_destroy(ledger);
}

/* Guards against a record that is taken for a lost one since it holds some of the same bills. */
static void a_record_is_intact_with_all_its_bills_only(void **state)
{
	struct cw_ledger *ledger = cw_ledger_create();

	cw_ledger_add(ledger, "a/1", "{}", "", 1, 1000);
	cw_ledger_add(ledger, "a/2", "{}", "", 1, 1000);
	cw_ledger_settle(ledger, "a/1", 6, 1000);
	cw_ledger_settle(ledger, "a/2", 6, 1000);
	assert_true(
		cw_ledger_is_record_intact(ledger,
					   "{\"bills\":[{\"bill\":\"1\",\"organisation\":\"a\"},"
					   "{\"bill\":\"2\",\"organisation\":\"a\"}]}",
					   6, "a/1"));
	assert_false(cw_ledger_is_record_intact(
		ledger, "{\"bills\":[{\"bill\":\"1\",\"organisation\":\"a\"}]}", 6, "a/1"));
	assert_false(cw_ledger_is_record_intact(ledger, "{\"bills\":[]}", 7, "a/1"));
	cw_ledger_destroy(ledger);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(a_bill_stays_until_its_record_is_confirmed),
		cmocka_unit_test(a_settled_bill_is_pending_again_after_a_loss),
		cmocka_unit_test(settled_bills_are_kept_for_a_time_and_up_to_a_number),
		cmocka_unit_test(a_record_is_intact_with_all_its_bills_only),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
