/* What instances tell each other of requests that end servers, and the list that all keep. */
#include "quarantine_bed.h"

#include <glib.h>
#include <string.h>

/* The answer was given by another instance than those that saw the ends. */
static void a_peers_whole_answer_takes_the_ends_back(void **state)
{
	struct cw_quarantine *one = cw_quarantine_create();
	struct cw_quarantine *other = cw_quarantine_create();

	cw_quarantine_answered(other, HARMLESS, 7, 50, NOW + 200);
	bed_broke(one, HARMLESS, 1, NOW);
	bed_broke(one, HARMLESS, 2, NOW + 100);
	bed_tell(one, other, NOW + 250);
	bed_pass(other, NOW + 250, NOW + 1250);
	bed_tell(other, one, NOW + 1260);
	bed_broke(one, HARMLESS, 3, NOW + 1300);
	bed_pass(one, NOW + 1300, NOW + 1300 + LATER);
	assert_false(cw_quarantine_holds(one, HARMLESS));
	cw_quarantine_destroy(one);
	cw_quarantine_destroy(other);
}

/*
 * Symptom: fifty-four servers ended under one request. Sequence: it came to another instance each
 * time, so that none of them saw three ends. Cause: nobody told of them.
 */
static void three_instances_that_saw_one_end_each_tell_a_fourth(void **state)
{
	struct cw_quarantine *all[4];

	for (int i = 0; i < 4; i++)
		all[i] = cw_quarantine_create();
	for (int i = 0; i < 3; i++)
		bed_broke(all[i], DEADLY, (uint64_t)i + 1, NOW + i * 100);
	for (int64_t now_ms = NOW + 200; now_ms <= NOW + LATER; now_ms += 150)
		for (int i = 0; i < 4; i++) {
			for (int j = 0; j < 4; j++)
				if (i != j)
					bed_tell(all[i], all[j], now_ms);
			cw_quarantine_tick(all[i], now_ms);
		}
	for (int i = 0; i < 4; i++) {
		assert_true(cw_quarantine_holds(all[i], DEADLY));
		cw_quarantine_destroy(all[i]);
	}
}

/* One that missed all ends learns from the list, and so does one that reads it in the store. */
static void the_list_alone_is_enough_to_hold_a_request(void **state)
{
	struct cw_quarantine *one = cw_quarantine_create();
	struct cw_quarantine *other = cw_quarantine_create();
	struct cw_quarantine_record record;

	for (int server = 1; server <= 3; server++)
		bed_broke(one, DEADLY, server, NOW + server);
	assert_false(cw_quarantine_unwritten(one, NOW + 3, &record));
	bed_pass(one, NOW + 3, NOW + 20000);
	assert_true(cw_quarantine_unwritten(one, NOW + 20000, &record));
	assert_int_equal(record.fingerprint, DEADLY);
	cw_quarantine_written(one, DEADLY, 0, NOW + 20000);
	assert_false(cw_quarantine_unwritten(one, NOW + 20000, &record));
	bed_tell(one, other, NOW + 20000);
	assert_true(cw_quarantine_holds(other, DEADLY));
	assert_false(cw_quarantine_unwritten(other, NOW + 20000, &record));
	cw_quarantine_destroy(one);
	cw_quarantine_destroy(other);
}

/* A peer that hasn't heard of it tells that it is held: it stays off the list. */
static void what_an_operator_took_off_stays_off(void **state)
{
	struct cw_quarantine *one = cw_quarantine_create();
	struct cw_quarantine *other = cw_quarantine_create();
	struct cw_quarantine_record record;

	for (int server = 1; server <= 3; server++)
		bed_broke(one, DEADLY, server, NOW + server);
	bed_pass(one, NOW + 3, NOW + LATER);
	bed_tell(one, other, NOW + LATER);
	assert_true(cw_quarantine_holds(other, DEADLY));
	assert_true(cw_quarantine_release(one, DEADLY, NOW + 2000));
	assert_false(cw_quarantine_release(one, DEADLY, NOW + 2000));
	bed_tell(other, one, NOW + 2100);
	bed_pass(one, NOW + 2100, NOW + 2500);
	assert_false(cw_quarantine_holds(one, DEADLY));
	bed_tell(one, other, NOW + 2600);
	assert_false(cw_quarantine_holds(other, DEADLY));
	assert_true(cw_quarantine_unwritten(one, NOW + 2600, &record));
	assert_true(record.is_released);
	cw_quarantine_destroy(one);
	cw_quarantine_destroy(other);
}

/* One that has no other request at that server learns from a peer that it goes on. */
static void a_peer_tells_that_a_server_goes_on(void **state)
{
	struct cw_quarantine *one = cw_quarantine_create();
	struct cw_quarantine *other = cw_quarantine_create();

	bed_pass(other, NOW - 1000, NOW);
	for (int server = 1; server <= 3; server++) {
		bed_broke(one, HARMLESS, server, NOW + server);
		bed_tell(one, other, NOW + 50);
		bed_pass(other, NOW + 100, NOW + 200);
		cw_quarantine_heard(other, server, NOW - 100, NOW + 200);
	}
	bed_tell(other, one, NOW + 250);
	bed_tell(one, other, NOW + 260);
	bed_tell(other, one, NOW + 270);
	bed_pass(one, NOW + 250, NOW + 250 + LATER);
	assert_int_equal(bed_held(one), 0);
	assert_int_equal(bed_held(other), 0);
	cw_quarantine_destroy(one);
	cw_quarantine_destroy(other);
}

/*
 * Symptom: the fourth instance did not learn of the request in time. Sequence: a hundred harmless
 * ones were at the same servers, sixty of them at two. Cause: a message holds few ends, and they
 * went out in the order in which they were seen.
 */
static void the_request_with_the_most_ends_is_told_first(void **state)
{
	struct cw_quarantine *one = cw_quarantine_create();
	struct cw_quarantine_end ends[CW_QUARANTINE_ENDS];
	size_t deadly = 0;
	size_t count;

	for (int server = 1; server <= 3; server++) {
		for (int i = 0; i < 60; i++)
			if (server < 3)
				bed_broke(one, HARMLESS + i, server, NOW + server * 50);
		bed_broke(one, DEADLY, server, NOW + server * 50);
	}
	count = cw_quarantine_tell_ends(one, NOW + 200, ends, CW_QUARANTINE_ENDS);
	assert_int_equal(count, CW_QUARANTINE_ENDS);
	for (size_t i = 0; i < count; i++)
		deadly += ends[i].fingerprint == DEADLY;
	assert_int_equal(deadly, 3);
	cw_quarantine_destroy(one);
}

/*
 * Symptom: bytes between failure domains doubled. Sequence: a few requests are held; each of 195
 * instances tells eight others of all of them, seven times a second, for ten minutes. Cause: the
 * list was told whole each time.
 */
static void a_list_that_all_know_takes_little_of_a_message(void **state)
{
	struct cw_quarantine *one = cw_quarantine_create();
	struct cw_quarantine *other = cw_quarantine_create();
	struct cw_quarantine_record records[CW_QUARANTINE_RECORDS];

	for (uint64_t i = 0; i < 12; i++)
		for (uint64_t j = 0; j < 3; j++)
			bed_broke(one, HARMLESS + i, i * 3 + j, NOW + (int64_t)i);
	bed_pass(one, NOW + 12, NOW + LATER);
	assert_true(cw_quarantine_tell_records(one, NOW + LATER, records, CW_QUARANTINE_RECORDS) ==
		    12);
	assert_true(cw_quarantine_tell_records(one, NOW + 9000, records, CW_QUARANTINE_RECORDS) ==
		    1);
	/* Who starts now has it after as many messages as there are records. */
	for (int i = 0; i < 12; i++)
		bed_tell(one, other, NOW + 9000 + i);
	assert_int_equal(bed_held(other), 12);
	cw_quarantine_destroy(one);
	cw_quarantine_destroy(other);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(a_peers_whole_answer_takes_the_ends_back),
		cmocka_unit_test(three_instances_that_saw_one_end_each_tell_a_fourth),
		cmocka_unit_test(the_list_alone_is_enough_to_hold_a_request),
		cmocka_unit_test(what_an_operator_took_off_stays_off),
		cmocka_unit_test(a_peer_tells_that_a_server_goes_on),
		cmocka_unit_test(the_request_with_the_most_ends_is_told_first),
		cmocka_unit_test(a_list_that_all_know_takes_little_of_a_message),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
