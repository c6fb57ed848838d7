/* What a restored log has lost of the table: merged from the former table, and written again. */
#include "unit.h"

#include "cw_table.h"

#include <glib.h>
#include <string.h>

#define KEY_ONE	    "0000000000000000000000000000000000000000000000000000000000000001"
#define KEY_TWO	    "0000000000000000000000000000000000000000000000000000000000000002"
#define KEY(sha256) "{\"organisation\":\"a\",\"key_sha256\":\"" sha256 "\"}"
#define DRAIN(id, drained)                                                                         \
	"{\"edit\":\"" id "\",\"by\":\"t\",\"failure_domain\":\"d1\",\"drained\":" drained "}"

static enum cw_table_result apply(struct cw_table *table, int64_t time_ms, const char *record)
{
	enum cw_table_result result = CW_TABLE_MALFORMED;

	assert_int_equal(cw_table_apply_record(table, cw_table_offset(table) + 1, time_ms, record,
					       &result, NULL),
			 CW_OK);
	return result;
}

static int weight_of(const struct cw_table *table, const char *version)
{
	return (int)cw_table_find_row(table, "a", "m", version)->cell[CW_COLUMN_WEIGHT];
}

static uint64_t revision_of(const struct cw_table *table, const char *version)
{
	return cw_table_find_row(table, "a", "m", version)->revision[CW_COLUMN_WEIGHT];
}

/* Applies what the table has beyond the log to it and to a reader of the log. */
static void write_again(struct cw_table *table, struct cw_table *reader, int64_t time_ms)
{
	char *record;

	while ((record = cw_table_create_unlogged(table))) {
		assert_int_equal(apply(reader, time_ms, record), CW_TABLE_APPLIED);
		assert_int_equal(apply(table, time_ms, record), CW_TABLE_APPLIED);
		g_free(record);
	}
	assert_int_equal(cw_table_count_unlogged(table), 0);
}

/* Guards against an accepted edit that is gone with the log. */
static void a_lost_edit_is_merged_and_written_again(void **state)
{
	struct cw_table *former = cw_table_create();
	struct cw_table *table = cw_table_create();
	struct cw_table *reader = cw_table_create();

	apply(former, 1000, EDIT("1", CELL("a", "1", "weight", "10")));
	apply(former, 2000, EDIT("2", CELL("a", "1", "weight", "20")));
	apply(table, 1000, EDIT("1", CELL("a", "1", "weight", "10")));
	apply(reader, 1000, EDIT("1", CELL("a", "1", "weight", "10")));
	cw_table_merge(table, former);
	assert_int_equal(weight_of(table, "1"), 20);
	assert_int_equal(revision_of(table, "1"), 1);
	assert_int_equal(cw_table_count_unlogged(table), 1);
	write_again(table, reader, 5000);
	assert_int_equal(weight_of(reader, "1"), 20);
	assert_int_equal(revision_of(reader, "1"), 2);
	assert_int_equal(revision_of(table, "1"), 2);
	assert_int_equal(apply(reader, 6000, EDIT("2", CELL("a", "1", "weight", "20"))),
			 CW_TABLE_DUPLICATE);
	cw_table_destroy(reader);
	cw_table_destroy(table);
	cw_table_destroy(former);
}

/* Guards against a lost edit that undoes what an operator set on the restored log. */
static void an_edit_on_the_restored_log_is_later_than_the_lost_ones(void **state)
{
	struct cw_table *former = cw_table_create();
	struct cw_table *table = cw_table_create();
	struct cw_table *reader = cw_table_create();
	char *early;

	apply(former, 2000,
	      EDIT("2", CELL("a", "1", "weight", "20") "," CELL("a", "2", "weight", "21")));
	cw_table_merge(table, former);
	early = cw_table_create_unlogged(table);
	apply(table, 3000, EDIT("3", CELL_IF("a", "1", "weight", "30", "0")));
	apply(reader, 3000, EDIT("3", CELL_IF("a", "1", "weight", "30", "0")));
	assert_int_equal(weight_of(table, "1"), 30);
	assert_int_equal(apply(table, 5000, early), CW_TABLE_APPLIED);
	assert_int_equal(apply(reader, 5000, early), CW_TABLE_APPLIED);
	assert_int_equal(weight_of(table, "1"), 30);
	assert_int_equal(weight_of(table, "2"), 21);
	assert_int_equal(weight_of(reader, "1"), 30);
	assert_int_equal(weight_of(reader, "2"), 21);
	assert_int_equal(cw_table_count_unlogged(table), 0);
	g_free(early);
	cw_table_destroy(reader);
	cw_table_destroy(table);
	cw_table_destroy(former);
}

/* Guards against instances that knew different edits and end with different tables. */
static void instances_that_knew_different_edits_agree(void **state)
{
	struct cw_table *first = cw_table_create();
	struct cw_table *second = cw_table_create();
	struct cw_table *former = cw_table_create();
	char *one, *two;

	apply(former, 2000, EDIT("2", CELL("a", "1", "weight", "20")));
	cw_table_merge(first, former);
	apply(former, 2500, EDIT("3", CELL("a", "1", "weight", "30")));
	cw_table_merge(second, former);
	one = cw_table_create_unlogged(first);
	two = cw_table_create_unlogged(second);
	apply(first, 5000, two);
	apply(first, 5001, one);
	apply(second, 5000, two);
	apply(second, 5001, one);
	assert_int_equal(weight_of(first, "1"), 30);
	assert_int_equal(weight_of(second, "1"), 30);
	assert_int_equal(revision_of(first, "1"), revision_of(second, "1"));
	assert_int_equal(cw_table_count_unlogged(first) + cw_table_count_unlogged(second), 0);
	g_free(one);
	g_free(two);
	cw_table_destroy(former);
	cw_table_destroy(second);
	cw_table_destroy(first);
}

/* Guards against a restoring record that is taken for a repeat once the log has lost it as well. */
static void an_edit_that_is_lost_twice_is_written_twice(void **state)
{
	struct cw_table *former = cw_table_create();
	struct cw_table *first = cw_table_create();
	struct cw_table *second = cw_table_create();
	struct cw_table *reader = cw_table_create();

	apply(former, 2000, EDIT("2", CELL("a", "1", "weight", "20")));
	cw_table_merge(first, former);
	write_again(first, reader, 5000);
	cw_table_merge(second, first);
	assert_int_equal(cw_table_count_unlogged(second), 1);
	write_again(second, reader, 9000);
	assert_int_equal(weight_of(second, "1"), 20);
	assert_int_equal(cw_table_count_unlogged(second), 0);
	cw_table_destroy(reader);
	cw_table_destroy(second);
	cw_table_destroy(first);
	cw_table_destroy(former);
}

/* Guards against an operator's retry that counts on one instance and not on another. */
static void a_retry_before_the_restoring_record_counts_everywhere(void **state)
{
	struct cw_table *former = cw_table_create();
	struct cw_table *table = cw_table_create();
	struct cw_table *reader = cw_table_create();

	apply(former, 2000, EDIT("2", CELL("a", "1", "weight", "20")));
	cw_table_merge(table, former);
	apply(reader, 3000, EDIT("3", CELL("a", "1", "weight", "30")));
	apply(table, 3000, EDIT("3", CELL("a", "1", "weight", "30")));
	assert_int_equal(apply(reader, 4000, EDIT("2", CELL("a", "1", "weight", "20"))),
			 CW_TABLE_APPLIED);
	assert_int_equal(apply(table, 4000, EDIT("2", CELL("a", "1", "weight", "20"))),
			 CW_TABLE_APPLIED);
	assert_int_equal(revision_of(table, "1"), revision_of(reader, "1"));
	cw_table_destroy(reader);
	cw_table_destroy(table);
	cw_table_destroy(former);
}

/* Guards against an order that no log holds since an older one was written again. */
static void an_older_order_leaves_a_later_one_unlogged(void **state)
{
	struct cw_table *former = cw_table_create();
	struct cw_table *table = cw_table_create();
	struct cw_table *other = cw_table_create();
	char *older;

	apply(former, 1000, DRAIN("1", "true"));
	cw_table_merge(other, former);
	older = cw_table_create_unlogged(other);
	apply(former, 2000, DRAIN("2", "false"));
	cw_table_merge(table, former);
	apply(table, 5000, older);
	assert_int_equal(cw_table_count_unlogged(table), 1);
	write_again(table, other, 6000);
	assert_false(cw_drains_is_drained(cw_table_drains(other), "d1"));
	assert_int_equal(cw_table_count_unlogged(other), 0);
	g_free(older);
	cw_table_destroy(other);
	cw_table_destroy(table);
	cw_table_destroy(former);
}

/* Guards against a revoked key that is served again, and against a new key that is refused. */
static void the_later_key_of_an_organisation_wins(void **state)
{
	struct cw_table *former = cw_table_create();
	struct cw_table *table = cw_table_create();
	struct cw_table *reader = cw_table_create();
	char *record;

	apply(former, 1000, KEY(KEY_ONE));
	apply(former, 2000, KEY(KEY_TWO));
	apply(table, 1000, KEY(KEY_ONE));
	apply(reader, 1000, KEY(KEY_ONE));
	cw_table_merge(table, former);
	assert_null(cw_table_find_organisation(table, KEY_ONE));
	assert_string_equal(cw_table_find_organisation(table, KEY_TWO), "a");
	record = cw_table_create_unlogged(table);
	write_again(table, reader, 5000);
	assert_string_equal(cw_table_find_organisation(reader, KEY_TWO), "a");
	apply(reader, 6000, KEY(KEY_ONE));
	apply(reader, 7000, record);
	assert_string_equal(cw_table_find_organisation(reader, KEY_ONE), "a");
	assert_null(cw_table_find_organisation(reader, KEY_TWO));
	g_free(record);
	cw_table_destroy(reader);
	cw_table_destroy(table);
	cw_table_destroy(former);
}

/* Guards against a drain that was restored and is in force again, and the reverse. */
static void the_later_order_on_a_failure_domain_wins(void **state)
{
	struct cw_table *former = cw_table_create();
	struct cw_table *table = cw_table_create();
	struct cw_table *reader = cw_table_create();

	apply(former, 1000, DRAIN("1", "true"));
	apply(former, 2000, DRAIN("2", "false"));
	apply(table, 1000, DRAIN("1", "true"));
	apply(reader, 1000, DRAIN("1", "true"));
	cw_table_merge(table, former);
	assert_false(cw_drains_is_drained(cw_table_drains(table), "d1"));
	write_again(table, reader, 5000);
	assert_false(cw_drains_is_drained(cw_table_drains(reader), "d1"));
	apply(reader, 6000, DRAIN("3", "true"));
	assert_true(cw_drains_is_drained(cw_table_drains(reader), "d1"));
	cw_table_destroy(reader);
	cw_table_destroy(table);
	cw_table_destroy(former);
}

/* Guards against times that a snapshot forgets: an instance that loaded it could merge nothing. */
static void a_snapshot_keeps_the_times_of_its_edits(void **state)
{
	struct cw_table *former = cw_table_create();
	struct cw_table *loaded = cw_table_create();
	struct cw_table *table = cw_table_create();
	struct cw_record_id last;
	char *snapshot;

	apply(former, 2000, EDIT("2", CELL("a", "1", "weight", "20")));
	apply(former, 2001, KEY(KEY_ONE));
	snapshot = cw_table_create_snapshot(former);
	assert_int_equal(cw_table_load_snapshot(loaded, snapshot, NULL), CW_OK);
	last = cw_table_last_record(former);
	assert_true(cw_record_id_is_equal(
		&last, &(struct cw_record_id){2, 2001, cw_table_last_record(loaded).checksum}));
	cw_table_merge(table, loaded);
	assert_int_equal(weight_of(table, "1"), 20);
	assert_string_equal(cw_table_find_organisation(table, KEY_ONE), "a");
	assert_int_equal(cw_table_count_unlogged(table), 2);
	g_free(snapshot);
	cw_table_destroy(table);
	cw_table_destroy(loaded);
	cw_table_destroy(former);
}

/* Guards against a merge of what the log still holds, which would write the whole table again. */
static void nothing_is_merged_where_nothing_was_lost(void **state)
{
	struct cw_table *former = cw_table_create();
	struct cw_table *table = cw_table_create();
	struct cw_table *tables[] = {former, table};

	for (size_t i = 0; i < G_N_ELEMENTS(tables); i++) {
		apply(tables[i], 1000, EDIT("1", CELL("a", "1", "weight", "10")));
		apply(tables[i], 1000, KEY(KEY_ONE));
		apply(tables[i], 1500, DRAIN("2", "true"));
	}
	assert_false(cw_table_is_ahead(table, former));
	apply(table, 3000, EDIT("3", CELL("a", "1", "weight", "30")));
	assert_true(cw_table_is_ahead(table, former));
	cw_table_merge(table, former);
	assert_int_equal(cw_table_count_unlogged(table), 0);
	assert_null(cw_table_create_unlogged(table));
	assert_int_equal(weight_of(table, "1"), 30);
	cw_table_destroy(table);
	cw_table_destroy(former);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(a_lost_edit_is_merged_and_written_again),
		cmocka_unit_test(an_edit_on_the_restored_log_is_later_than_the_lost_ones),
		cmocka_unit_test(instances_that_knew_different_edits_agree),
		cmocka_unit_test(an_edit_that_is_lost_twice_is_written_twice),
		cmocka_unit_test(a_retry_before_the_restoring_record_counts_everywhere),
		cmocka_unit_test(an_older_order_leaves_a_later_one_unlogged),
		cmocka_unit_test(the_later_key_of_an_organisation_wins),
		cmocka_unit_test(the_later_order_on_a_failure_domain_wins),
		cmocka_unit_test(a_snapshot_keeps_the_times_of_its_edits),
		cmocka_unit_test(nothing_is_merged_where_nothing_was_lost),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
