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
	cw_ledger_settle_record(
		ledger, "{\"bills\":[{\"bill\":\"1\",\"organisation\":\"a\"},{\"bill\":\"9\"},7]}");
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

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(a_bill_stays_until_its_record_is_confirmed),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
