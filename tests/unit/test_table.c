#include "unit.h"

#include "cw_table.h"

#include <glib.h>
#include <math.h>
#include <string.h>

#define DRAIN_ORDER(id, domain, drained)                                                           \
	"{\"edit\":\"" id "\",\"by\":\"t\",\"failure_domain\":\"" domain "\",\"drained\":" drained \
	"}"

static enum cw_table_result apply_next(struct cw_table *table, const char *record)
{
	struct cw_error error = {0};
	enum cw_table_result result = CW_TABLE_MALFORMED;

	assert_int_equal(cw_table_apply_record(table, cw_table_offset(table) + 1, 1000, record,
					       &result, &error),
			 CW_OK);
	return result;
}

static void an_edit_with_an_outdated_revision_is_rejected(void **state)
{
	struct cw_table *table = cw_table_create();

	assert_int_equal(apply_next(table, EDIT("1", CELL("a", "1", "weight", "10"))),
			 CW_TABLE_APPLIED);
	assert_int_equal(apply_next(table, EDIT("2", CELL_IF("a", "1", "weight", "20", "1"))),
			 CW_TABLE_APPLIED);
	assert_int_equal(apply_next(table, EDIT("3", CELL_IF("a", "1", "weight", "30", "1"))),
			 CW_TABLE_CONFLICT);
	assert_true(cw_table_find_row(table, "a", "m", "1")->cell[CW_COLUMN_WEIGHT] == 20);
	cw_table_destroy(table);
}

static void an_edit_is_applied_completely_or_not_at_all(void **state)
{
	struct cw_table *table = cw_table_create();

	apply_next(table, EDIT("1", CELL("a", "1", "weight", "10")));
	assert_int_equal(apply_next(table, EDIT("2", CELL("a", "1", "weight", "20") "," CELL(
							     "a", "1", "quality_target", "7"))),
			 CW_TABLE_MALFORMED);
	assert_int_equal(apply_next(table, EDIT("3", CELL("a", "1", "weight", "20") "," CELL_IF(
							     "a", "2", "weight", "5", "9"))),
			 CW_TABLE_CONFLICT);
	assert_true(cw_table_find_row(table, "a", "m", "1")->cell[CW_COLUMN_WEIGHT] == 10);
	assert_null(cw_table_find_row(table, "a", "m", "2"));
	cw_table_destroy(table);
}

/*
 * Guards against an operator's accepted edit being undone. Edit 1 is appended, but the answer is
 * lost; edit 2 sets the same cell; then edit 1 is retried. The repeat used to be applied again.
 */
static void a_repeated_edit_is_not_applied_again(void **state)
{
	struct cw_table *table = cw_table_create();

	apply_next(table, EDIT("1", CELL("a", "1", "weight", "10")));
	apply_next(table, EDIT("2", CELL("a", "1", "weight", "20")));
	assert_int_equal(apply_next(table, EDIT("1", CELL("a", "1", "weight", "10"))),
			 CW_TABLE_DUPLICATE);
	assert_true(cw_table_find_row(table, "a", "m", "1")->cell[CW_COLUMN_WEIGHT] == 20);
	cw_table_destroy(table);
}

static void only_the_next_offset_is_applied(void **state)
{
	struct cw_table *table = cw_table_create();
	enum cw_table_result result;

	apply_next(table, EDIT("1", CELL("a", "1", "weight", "10")));
	assert_int_equal(cw_table_apply_record(table, 3, 1000,
					       EDIT("3", CELL("a", "1", "weight", "30")), &result,
					       NULL),
			 CW_INVALID);
	assert_int_equal(cw_table_apply_record(table, 1, 1000,
					       EDIT("0", CELL("a", "1", "weight", "30")), &result,
					       NULL),
			 CW_INVALID);
	assert_int_equal(cw_table_offset(table), 1);
	cw_table_destroy(table);
}

static void a_malformed_record_only_advances_the_offset(void **state)
{
	static const char *const malformed[] = {"",
						"7",
						"[]",
						"{}",
						"null",
						"{\"cells\":7,\"edit\":\"x\"}",
						"{\"edit\":\"x\",\"cells\":[7]}",
						"{\"organisation\":\"a\",\"key_sha256\":\"z\"}",
						EDIT("1", CELL("", "1", "weight", "1")),
						EDIT("1", CELL("a", "1", "none", "1")),
						EDIT("1", CELL("a", "1", "weight", "-1")),
						EDIT("1", CELL("a", "1", "weight", "nan")),
						EDIT("1", CELL("a", "1", "weight", "1e99")),
						EDIT("1", CELL("a", "1", "state", "maybe"))};
	struct cw_table *table = cw_table_create();

	for (size_t i = 0; i < G_N_ELEMENTS(malformed); i++)
		assert_int_equal(apply_next(table, malformed[i]), CW_TABLE_MALFORMED);
	assert_true(TAILQ_EMPTY(cw_table_rows(table)));
	assert_int_equal(cw_table_offset(table), G_N_ELEMENTS(malformed));
	cw_table_destroy(table);
}

static void a_withdrawal_ends_older_bindings_permanently(void **state)
{
	struct cw_table *table = cw_table_create();
	const struct cw_row *row;

	apply_next(table, EDIT("1", CELL("a", "1", "state", "allowed")));
	row = cw_table_find_row(table, "a", "m", "1");
	assert_true(cw_table_is_binding_valid(row, 1));
	apply_next(table, EDIT("2", CELL("a", "1", "state", "withdrawn")));
	assert_false(cw_table_is_allowed(row));
	apply_next(table, EDIT("3", CELL("a", "1", "state", "allowed")));
	assert_true(cw_table_is_allowed(row));
	assert_false(cw_table_is_binding_valid(row, 1));
	assert_true(cw_table_is_binding_valid(row, 3));
	cw_table_destroy(table);
}

static void a_snapshot_restores_the_complete_table(void **state)
{
	struct cw_table *table = cw_table_create();
	struct cw_table *copy = cw_table_create();
	char *first;
	char *second;

	apply_next(table, EDIT("1", CELL("a", "1", "weight", "10") "," CELL("a", "1", "state",
									    "allowed")));
	apply_next(table, EDIT("2", CELL("a", "1", "state", "withdrawn")));
	apply_next(table, "{\"organisation\":\"a\",\"key_sha256\":"
			  "\"aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa\"}");
	first = cw_table_create_snapshot(table);
	assert_int_equal(cw_table_load_snapshot(copy, first, NULL), CW_OK);
	second = cw_table_create_snapshot(copy);
	assert_string_equal(first, second);
	assert_string_equal(
		cw_table_find_organisation(
			copy, "aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa"),
		"a");
	/* The snapshot contains the edits' ids, so a repeat after it is still recognised. */
	assert_int_equal(apply_next(copy, EDIT("1", CELL("a", "1", "weight", "99"))),
			 CW_TABLE_DUPLICATE);
	/* A snapshot that is not newer than the table is rejected. */
	assert_int_equal(cw_table_load_snapshot(copy, first, NULL), CW_REFUSED);
	g_free(first);
	g_free(second);
	cw_table_destroy(table);
	cw_table_destroy(copy);
}

static void csv_is_imported_and_exported_unchanged(void **state)
{
	static const char csv[] =
		"organisation,model,version,weight,requests_per_s,tokens_per_s,concurrent,"
		"cost_per_1k_tokens,quality_target,state\n"
		"a,m,1,70,5,,2,0.25,0.8,allowed\n"
		"a,service:orders,,,,,,,,withdrawn\n";
	struct cw_table *table = cw_table_create();
	struct cw_error error = {0};
	char *record;
	char *out;

	assert_int_equal(cw_table_edit_from_csv(csv, "1", "t", &record, &error), CW_OK);
	assert_int_equal(apply_next(table, record), CW_TABLE_APPLIED);
	out = cw_table_to_csv(table);
	assert_string_equal(
		out, "organisation,model,version,weight,requests_per_s,tokens_per_s,concurrent,"
		     "cost_per_1k_tokens,quality_target,state\n"
		     "a,m,1,70,5,,2,0.25,0.8,allowed\n"
		     "a,service:orders,,,,,,,,withdrawn\n");
	assert_true(isnan(cw_table_find_row(table, "a", "m", "1")->cell[CW_COLUMN_TOKENS_PER_S]));
	g_free(record);
	g_free(out);
	assert_int_equal(cw_table_edit_from_csv("wrong header\n", "1", "t", &record, &error),
			 CW_INVALID);
	assert_int_equal(
		cw_table_edit_from_csv(
			"organisation,model,version,weight,requests_per_s,tokens_per_s,concurrent,"
			"cost_per_1k_tokens,quality_target,state\na,m,1,x,,,,,,allowed\n",
			"1", "t", &record, &error),
		CW_INVALID);
	assert_string_equal(error.message, "line 2: weight cannot be 'x'");
	cw_table_destroy(table);
}

/* A repeated append must not drain a restored domain again. A snapshot contains the drains. */
static void drains_follow_the_log_and_survive_a_snapshot(void **state)
{
	struct cw_table *table = cw_table_create();
	struct cw_table *copy = cw_table_create();
	char *snapshot;

	assert_int_equal(apply_next(table, DRAIN_ORDER("1", "d1", "true")), CW_TABLE_APPLIED);
	assert_true(cw_drains_is_drained(cw_table_drains(table), "d1"));
	assert_int_equal(apply_next(table, DRAIN_ORDER("2", "d2", "true")), CW_TABLE_APPLIED);
	assert_int_equal(apply_next(table, DRAIN_ORDER("3", "d1", "false")), CW_TABLE_APPLIED);
	assert_int_equal(apply_next(table, DRAIN_ORDER("1", "d1", "true")), CW_TABLE_DUPLICATE);
	assert_false(cw_drains_is_drained(cw_table_drains(table), "d1"));
	assert_int_equal(apply_next(table, DRAIN_ORDER("4", "", "true")), CW_TABLE_MALFORMED);
	assert_int_equal(apply_next(table, DRAIN_ORDER("5", "d1", "1")), CW_TABLE_MALFORMED);
	snapshot = cw_table_create_snapshot(table);
	assert_int_equal(cw_table_load_snapshot(copy, snapshot, NULL), CW_OK);
	assert_true(cw_drains_is_drained(cw_table_drains(copy), "d2"));
	assert_false(cw_drains_is_drained(cw_table_drains(copy), "d1"));
	g_free(snapshot);
	cw_table_destroy(copy);
	cw_table_destroy(table);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(drains_follow_the_log_and_survive_a_snapshot),
		cmocka_unit_test(an_edit_with_an_outdated_revision_is_rejected),
		cmocka_unit_test(an_edit_is_applied_completely_or_not_at_all),
		cmocka_unit_test(a_repeated_edit_is_not_applied_again),
		cmocka_unit_test(only_the_next_offset_is_applied),
		cmocka_unit_test(a_malformed_record_only_advances_the_offset),
		cmocka_unit_test(a_withdrawal_ends_older_bindings_permanently),
		cmocka_unit_test(a_snapshot_restores_the_complete_table),
		cmocka_unit_test(csv_is_imported_and_exported_unchanged),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
