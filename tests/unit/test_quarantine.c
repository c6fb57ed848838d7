/* Requests that end the servers that run them: told from those that were there by chance. */
#include "quarantine_bed.h"

#include <glib.h>
#include <string.h>

static void a_request_that_ended_three_servers_is_held_at_once(void **state)
{
	struct cw_quarantine *quarantine = cw_quarantine_create();
	struct cw_quarantine_change change;

	bed_broke(quarantine, DEADLY, 1, NOW);
	bed_broke(quarantine, DEADLY, 2, NOW + 60);
	assert_false(cw_quarantine_holds(quarantine, DEADLY));
	bed_broke(quarantine, DEADLY, 3, NOW + 120);
	assert_true(cw_quarantine_holds(quarantine, DEADLY));
	assert_false(cw_quarantine_holds(quarantine, HARMLESS));
	assert_true(cw_quarantine_next_change(quarantine, &change));
	assert_int_equal(change.record.fingerprint, DEADLY);
	assert_string_equal(change.record.organisation, "museo");
	assert_int_equal(change.record.ends, 3);
	assert_false(cw_quarantine_next_change(quarantine, &change));
	cw_quarantine_destroy(quarantine);
}

/* A server that ends breaks many connections at many instances: that is one end, not many. */
static void one_server_that_ends_is_one_end_however_many_report_it(void **state)
{
	struct cw_quarantine *quarantine = cw_quarantine_create();
	struct cw_quarantine_end told = {.fingerprint = DEADLY,
					 .server = 1,
					 .ran_ms = 50,
					 .is_confirmed = 1,
					 .answered_ms = CW_QUARANTINE_NEVER};

	for (int i = 0; i < 5; i++)
		bed_broke(quarantine, DEADLY, 1, NOW + i);
	for (told.age_ms = 0; told.age_ms < 300; told.age_ms += 50)
		cw_quarantine_hear_end(quarantine, &told, NOW + 200);
	bed_pass(quarantine, NOW + 200, NOW + LATER);
	assert_false(cw_quarantine_holds(quarantine, DEADLY));
	/* It ends again once it is back. */
	bed_broke(quarantine, DEADLY, 1, NOW + 2000);
	bed_broke(quarantine, DEADLY, 1, NOW + 4000);
	assert_true(cw_quarantine_holds(quarantine, DEADLY));
	cw_quarantine_destroy(quarantine);
}

/*
 * Every request at a server ends with it, and is sent to the next one as the deadly one is: after
 * three servers each of them was at three ends. Those that are left must not be held with it, or
 * its caller takes the others along.
 */
static void requests_that_were_there_by_chance_are_not_held(void **state)
{
	struct cw_quarantine *quarantine = cw_quarantine_create();

	for (int server = 1; server <= 8; server++) {
		for (int i = 0; i < 20; i++)
			bed_broke(quarantine, HARMLESS + i + (server > 3 ? server * 100 : 0),
				  server, NOW + server * 80);
		bed_broke(quarantine, DEADLY, server, NOW + server * 80);
		cw_quarantine_tick(quarantine, NOW + server * 80);
	}
	bed_pass(quarantine, NOW + LATER, NOW + LATER + 1000);
	assert_true(cw_quarantine_holds(quarantine, DEADLY));
	assert_int_equal(bed_held(quarantine), 1);
	cw_quarantine_destroy(quarantine);
}

/* All were at the same three servers: the one that had just begun there ended them. */
static void of_those_at_the_same_ends_the_one_that_had_just_come_is_held(void **state)
{
	struct cw_quarantine *quarantine = cw_quarantine_create();

	for (int server = 1; server <= 3; server++) {
		for (int i = 0; i < 20; i++)
			bed_broke(quarantine, HARMLESS + i, server, NOW + server * 80);
		bed_broke(quarantine, DEADLY, server, NOW + server * 80);
	}
	bed_pass(quarantine, NOW + 240, NOW + LATER);
	assert_true(cw_quarantine_holds(quarantine, DEADLY));
	assert_int_equal(bed_held(quarantine), 1);
	cw_quarantine_destroy(quarantine);
}

/*
 * Many callers stream one harmless body all the while, and servers end for a reason of their own,
 * one after the other: the body is at every end. It is also answered in between.
 */
static void a_request_that_is_answered_in_between_is_never_held(void **state)
{
	struct cw_quarantine *quarantine = cw_quarantine_create();

	for (int i = 0; i < 40; i++) {
		int64_t now_ms = NOW + i * 600;

		bed_broke(quarantine, HARMLESS, (uint64_t)i % 6, now_ms);
		cw_quarantine_answered(quarantine, HARMLESS, 7, 50, now_ms + 100);
		bed_pass(quarantine, now_ms + 100, now_ms + 500);
		assert_int_equal(bed_held(quarantine), 0);
	}
	cw_quarantine_destroy(quarantine);
}

/* A rack loses power: a body that many ask for was at five of its servers. */
static void servers_that_end_in_one_moment_do_not_speak_against_a_known_request(void **state)
{
	struct cw_quarantine *quarantine = cw_quarantine_create();

	cw_quarantine_answered(quarantine, HARMLESS, 7, 50, NOW - 1000);
	cw_quarantine_tick(quarantine, NOW);
	for (int server = 1; server <= 5; server++)
		bed_broke(quarantine, HARMLESS, server, NOW + server);
	bed_pass(quarantine, NOW + 5, NOW + LATER);
	assert_false(cw_quarantine_holds(quarantine, HARMLESS));
	cw_quarantine_destroy(quarantine);
}

/* It ends servers at three moments after it was answered: held, but not for long. */
static void a_known_request_is_held_for_a_short_time_only(void **state)
{
	struct cw_quarantine *quarantine = cw_quarantine_create();

	cw_quarantine_answered(quarantine, HARMLESS, 7, 50, NOW - 1000);
	cw_quarantine_tick(quarantine, NOW);
	for (int server = 1; server <= 3; server++)
		bed_broke(quarantine, HARMLESS, server, NOW + server * 500);
	assert_true(cw_quarantine_holds(quarantine, HARMLESS));
	bed_pass(quarantine, NOW + 1500, NOW + 12000);
	assert_false(cw_quarantine_holds(quarantine, HARMLESS));
	cw_quarantine_destroy(quarantine);
}

/* Its answer was dropped for another model's before its server ended. */
static void a_request_that_was_given_up_counts_at_the_end_that_follows(void **state)
{
	struct cw_quarantine *quarantine = cw_quarantine_create();
	for (int server = 1; server <= 3; server++) {
		cw_quarantine_left(quarantine, DEADLY, server, 5, NOW + server * 500);
		bed_broke(quarantine, HARMLESS + server, server, NOW + server * 500 + 50);
	}
	/* Long after it was given up: it was over by then. */
	cw_quarantine_left(quarantine, DEADLY, 9, 5, NOW + 2000);
	bed_broke(quarantine, HARMLESS + 9, 9, NOW + 4000);
	bed_pass(quarantine, NOW + 2000, NOW + 2000 + LATER);
	assert_true(cw_quarantine_holds(quarantine, DEADLY));
	assert_int_equal(bed_held(quarantine), 1);
	cw_quarantine_destroy(quarantine);
}

/*
 * Symptom: servers went on ending under one request. Sequence: its answer is four events long, and
 * whole 20 ms before its server ends. Cause: a whole answer took all ends back.
 */
static void an_answer_whose_server_ends_right_after_speaks_for_nobody(void **state)
{
	struct cw_quarantine *quarantine = cw_quarantine_create();

	for (int server = 1; server <= 3; server++) {
		int64_t now_ms = NOW + server * 2000;

		cw_quarantine_answered(quarantine, DEADLY, server, 30, now_ms);
		bed_broke(quarantine, HARMLESS + server, server, now_ms + 20);
		bed_pass(quarantine, now_ms + 20, now_ms + 1900);
	}
	assert_true(cw_quarantine_holds(quarantine, DEADLY));
	assert_int_equal(bed_held(quarantine), 1);
	cw_quarantine_destroy(quarantine);
}

/*
 * Symptom: harmless requests were held and their callers refused. Sequence: three servers reset two
 * in five of their answers and went on with the others. Cause: each reset passed for an end.
 */
static void a_server_that_goes_on_answering_has_not_ended(void **state)
{
	struct cw_quarantine *quarantine = cw_quarantine_create();

	cw_quarantine_tick(quarantine, NOW - 200);
	cw_quarantine_tick(quarantine, NOW);
	for (int server = 1; server <= 3; server++) {
		int64_t now_ms = NOW + server * 150;

		cw_quarantine_tick(quarantine, now_ms);
		bed_broke(quarantine, HARMLESS, server, now_ms);
		/* Sent before the end, and read after it. */
		cw_quarantine_heard(quarantine, server, NOW, now_ms + 1);
		if (server < 3)
			cw_quarantine_heard(quarantine, server, NOW, now_ms + 100);
	}
	bed_pass(quarantine, NOW + 450, NOW + 450 + LATER);
	assert_int_equal(bed_held(quarantine), 0);
	bed_broke(quarantine, HARMLESS, 4, NOW + 2000);
	assert_int_equal(bed_held(quarantine), 0);
	bed_broke(quarantine, HARMLESS, 5, NOW + 2100);
	assert_int_equal(bed_held(quarantine), 1);
	cw_quarantine_destroy(quarantine);
}

/* What is read after a pause of its own was sent at any time in it. */
static void who_stood_still_takes_no_server_for_alive(void **state)
{
	struct cw_quarantine *quarantine = cw_quarantine_create();

	cw_quarantine_tick(quarantine, NOW);
	for (int server = 1; server <= 3; server++)
		bed_broke(quarantine, DEADLY, server, NOW + server);
	cw_quarantine_tick(quarantine, NOW + 800);
	cw_quarantine_heard(quarantine, 1, NOW - 100, NOW + 801);
	bed_pass(quarantine, NOW + 900, NOW + 900 + LATER);
	assert_true(cw_quarantine_holds(quarantine, DEADLY));
	cw_quarantine_destroy(quarantine);
}

/*
 * Symptom: servers went on ending under one request. Sequence: a server is back after 0.7 s and
 * ends again at once; the request's instance has its first byte. Cause: to the others the second
 * end passed for a part of the first, at which the request was not there.
 */
static void a_server_that_was_back_ends_a_second_time(void **state)
{
	struct cw_quarantine *quarantine = cw_quarantine_create();
	struct cw_quarantine_end told = {.fingerprint = DEADLY,
					 .server = 1,
					 .ran_ms = 40,
					 .is_running = 1,
					 .is_confirmed = 1,
					 .answered_ms = CW_QUARANTINE_NEVER};

	for (int i = 0; i < 3; i++) {
		bed_broke(quarantine, HARMLESS + i, 1, NOW + i * 760);
		cw_quarantine_hear_end(quarantine, &told, NOW + i * 760 + 740);
	}
	bed_pass(quarantine, NOW + 2300, NOW + 2300 + LATER);
	assert_true(cw_quarantine_holds(quarantine, DEADLY));
	cw_quarantine_destroy(quarantine);
}

/* Sent while the server was away: something before it still takes connections. */
static void what_is_sent_to_a_server_that_is_away_was_not_there(void **state)
{
	struct cw_quarantine *quarantine = cw_quarantine_create();
	struct cw_quarantine_request late = bed_request(HARMLESS, "museo");

	for (int server = 1; server <= 4; server++) {
		bed_broke(quarantine, DEADLY, server, NOW + server * 50);
		cw_quarantine_broke(quarantine, &late, server, 1, 0, NOW + server * 50 + 20);
	}
	bed_pass(quarantine, NOW + 300, NOW + 300 + LATER);
	assert_true(cw_quarantine_holds(quarantine, DEADLY));
	assert_int_equal(bed_held(quarantine), 1);
	cw_quarantine_destroy(quarantine);
}

/*
 * Symptom: hundreds of harmless requests were held. Sequence: servers reset two in five answers and
 * go on; a request meets three of them. Cause: a broken connection passed for the server's end.
 */
static void a_break_alone_is_no_end(void **state)
{
	struct cw_quarantine *quarantine = cw_quarantine_create();
	struct cw_quarantine_request request = bed_request(HARMLESS, "museo");

	for (int server = 1; server <= 5; server++)
		cw_quarantine_broke(quarantine, &request, server, 40, 0, NOW + server * 100);
	bed_pass(quarantine, NOW + 500, NOW + 500 + LATER);
	assert_int_equal(bed_held(quarantine), 0);
	cw_quarantine_destroy(quarantine);
}

/* Three requests that break at once: their server ended, whoever tries a connection. */
static void many_breaks_at_once_are_an_end(void **state)
{
	struct cw_quarantine *quarantine = cw_quarantine_create();

	for (int server = 1; server <= 3; server++)
		for (uint64_t i = 0; i < 3; i++) {
			struct cw_quarantine_request request = bed_request(
				i ? HARMLESS + (uint64_t)server * 10 + i : DEADLY, "museo");

			cw_quarantine_broke(quarantine, &request, server, 40, 0,
					    NOW + server * 100 + (int64_t)i);
		}
	bed_pass(quarantine, NOW + 300, NOW + 300 + LATER);
	assert_true(cw_quarantine_holds(quarantine, DEADLY));
	assert_int_equal(bed_held(quarantine), 1);
	cw_quarantine_destroy(quarantine);
}

/* It brings a thousand such bodies: the others' suspects and those held stay. */
static void one_caller_does_not_drive_out_the_others(void **state)
{
	struct cw_quarantine *quarantine = cw_quarantine_create();
	struct cw_quarantine_request many;

	bed_broke(quarantine, DEADLY, 1, NOW);
	bed_broke(quarantine, DEADLY, 2, NOW + 1);
	for (int i = 0; i < 1000; i++) {
		many = bed_request((uint64_t)(HARMLESS + i), "other");
		for (uint64_t j = 0; j < 3; j++) {
			cw_quarantine_broke(quarantine, &many, 100 + (uint64_t)i * 3 + j, 40, 0,
					    NOW + i);
			cw_quarantine_gone(quarantine, 100 + (uint64_t)i * 3 + j, NOW + i);
		}
		cw_quarantine_tick(quarantine, NOW + i);
	}
	assert_true(bed_held(quarantine) <= 16);
	bed_broke(quarantine, DEADLY, 3, NOW + 1000);
	bed_pass(quarantine, NOW + 1000, NOW + 1000 + LATER);
	assert_true(cw_quarantine_holds(quarantine, DEADLY));
	cw_quarantine_destroy(quarantine);
}

/* Both were at the same three ends, and a copy of the harmless one had just come to each. */
static void hold_harmless_one(struct cw_quarantine *one, struct cw_quarantine *other)
{
	for (int server = 1; server <= 3; server++) {
		struct cw_quarantine_request shared = bed_request(HARMLESS, "others");

		bed_broke(one, DEADLY, server, NOW + server * 50);
		cw_quarantine_broke(one, &shared, server, 5, 0, NOW + server * 50);
	}
	bed_talk(one, other, NOW + 200, NOW + 8000);
	assert_true(cw_quarantine_holds(other, HARMLESS));
}

/* A harmless body that all ask for must not stay held in place of one that goes on ending servers.
 */
static void one_whole_answer_takes_a_harmless_request_off_the_list(void **state)
{
	struct cw_quarantine *one = cw_quarantine_create();
	struct cw_quarantine *other = cw_quarantine_create();

	hold_harmless_one(one, other);
	bed_broke(one, DEADLY, 4, NOW + 8000);
	bed_talk(one, other, NOW + 8100, NOW + 9500);
	assert_true(cw_quarantine_holds(one, DEADLY));
	assert_true(cw_quarantine_holds(other, DEADLY));
	assert_true(cw_quarantine_wants_trial(other, HARMLESS, NOW + 9500));
	cw_quarantine_try(other, HARMLESS, NOW + 9500);
	cw_quarantine_answered(other, HARMLESS, 5, 100, NOW + 9600);
	bed_talk(other, one, NOW + 9600, NOW + 11500);
	assert_false(cw_quarantine_holds(one, HARMLESS));
	assert_false(cw_quarantine_holds(other, HARMLESS));
	assert_true(cw_quarantine_holds(one, DEADLY));
	assert_true(cw_quarantine_holds(other, DEADLY));
	cw_quarantine_destroy(one);
	cw_quarantine_destroy(other);
}

/* A second cause of ends must not free a guilty request: proof is a run that its server outlives.
 */
static void ends_of_another_cause_do_not_take_a_request_off_the_list(void **state)
{
	struct cw_quarantine *one = cw_quarantine_create();
	struct cw_quarantine *other = cw_quarantine_create();

	hold_harmless_one(one, other);
	for (int server = 4; server <= 6; server++)
		bed_broke(one, DEADLY, server, NOW + server * 2000);
	bed_talk(one, other, NOW + 12100, NOW + 14000);
	assert_true(cw_quarantine_holds(one, HARMLESS));
	assert_true(cw_quarantine_holds(other, HARMLESS));
	cw_quarantine_destroy(one);
	cw_quarantine_destroy(other);
}

/* A guilty request must not be tried again and again: its first trial that ends a server says all.
 */
static void a_trial_that_ends_its_server_is_the_last(void **state)
{
	struct cw_quarantine *one = cw_quarantine_create();
	struct cw_quarantine *other = cw_quarantine_create();
	struct cw_quarantine_request again = bed_request(HARMLESS, "others");

	hold_harmless_one(one, other);
	cw_quarantine_try(one, HARMLESS, NOW + 8000);
	assert_false(cw_quarantine_wants_trial(one, HARMLESS, NOW + 8000));
	cw_quarantine_broke(one, &again, 7, 100, 0, NOW + 8200);
	cw_quarantine_gone(one, 7, NOW + 8200);
	bed_talk(one, other, NOW + 8200, NOW + 30000);
	assert_true(cw_quarantine_holds(one, HARMLESS));
	assert_true(cw_quarantine_holds(other, HARMLESS));
	assert_false(cw_quarantine_wants_trial(one, HARMLESS, NOW + 30000));
	assert_false(cw_quarantine_wants_trial(other, HARMLESS, NOW + 30000));
	cw_quarantine_destroy(one);
	cw_quarantine_destroy(other);
}

/* Two instances that start a trial each would cost a server each: one that tells nothing waits. */
static void a_trial_without_an_outcome_is_repeated_rarely(void **state)
{
	struct cw_quarantine *one = cw_quarantine_create();
	struct cw_quarantine *other = cw_quarantine_create();

	hold_harmless_one(one, other);
	assert_true(cw_quarantine_wants_trial(one, HARMLESS, NOW + 8000));
	cw_quarantine_try(one, HARMLESS, NOW + 8000);
	assert_false(cw_quarantine_wants_trial(one, HARMLESS, NOW + 12000));
	assert_true(cw_quarantine_wants_trial(one, HARMLESS, NOW + 19000));
	cw_quarantine_destroy(one);
	cw_quarantine_destroy(other);
}

/* The other one is never taken off by a body that is at later ends by chance. */
static void a_request_that_was_alone_at_its_ends_is_not_taken_off_by_others(void **state)
{
	struct cw_quarantine *quarantine = cw_quarantine_create();

	for (int server = 1; server <= 3; server++) {
		bed_broke(quarantine, DEADLY, server, NOW + server * 50);
		if (server > 1)
			bed_broke(quarantine, HARMLESS, server, NOW + server * 50);
	}
	bed_pass(quarantine, NOW + 200, NOW + 8000);
	for (int server = 4; server <= 5; server++)
		bed_broke(quarantine, HARMLESS, server, NOW + server * 2000);
	bed_pass(quarantine, NOW + 10000, NOW + 12000);
	assert_true(cw_quarantine_holds(quarantine, DEADLY));
	cw_quarantine_destroy(quarantine);
}

/* A good version of an engine is not blamed for what such a request does to its server. */
static void an_end_under_a_held_request_says_nothing_of_the_version(void **state)
{
	struct cw_quarantine *quarantine = cw_quarantine_create();

	bed_broke(quarantine, DEADLY, 1, NOW);
	bed_broke(quarantine, DEADLY, 2, NOW + 100);
	assert_false(cw_quarantine_doubts(quarantine, 2, NOW + 100));
	bed_broke(quarantine, DEADLY, 3, NOW + 200);
	assert_true(cw_quarantine_doubts(quarantine, 3, NOW + 200));
	assert_false(cw_quarantine_doubts(quarantine, 4, NOW + 200));
	cw_quarantine_destroy(quarantine);
}

static void the_same_request_has_the_same_fingerprint_and_others_do_not(void **state)
{
	uint64_t one = cw_quarantine_fingerprint("/chat/5", "museo", 11);

	assert_int_equal(one, cw_quarantine_fingerprint("/chat/5", "museo", 11));
	assert_int_not_equal(one, cw_quarantine_fingerprint("/chat/6", "museo", 11));
	assert_int_not_equal(one, cw_quarantine_fingerprint("/chat/5", "other", 11));
	assert_int_not_equal(one, cw_quarantine_fingerprint("/chat/5", "museo", 12));
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(a_request_that_ended_three_servers_is_held_at_once),
		cmocka_unit_test(one_server_that_ends_is_one_end_however_many_report_it),
		cmocka_unit_test(requests_that_were_there_by_chance_are_not_held),
		cmocka_unit_test(of_those_at_the_same_ends_the_one_that_had_just_come_is_held),
		cmocka_unit_test(a_request_that_is_answered_in_between_is_never_held),
		cmocka_unit_test(
			servers_that_end_in_one_moment_do_not_speak_against_a_known_request),
		cmocka_unit_test(a_known_request_is_held_for_a_short_time_only),
		cmocka_unit_test(a_request_that_was_given_up_counts_at_the_end_that_follows),
		cmocka_unit_test(an_answer_whose_server_ends_right_after_speaks_for_nobody),
		cmocka_unit_test(a_server_that_goes_on_answering_has_not_ended),
		cmocka_unit_test(who_stood_still_takes_no_server_for_alive),
		cmocka_unit_test(a_server_that_was_back_ends_a_second_time),
		cmocka_unit_test(what_is_sent_to_a_server_that_is_away_was_not_there),
		cmocka_unit_test(a_break_alone_is_no_end),
		cmocka_unit_test(many_breaks_at_once_are_an_end),
		cmocka_unit_test(one_caller_does_not_drive_out_the_others),
		cmocka_unit_test(one_whole_answer_takes_a_harmless_request_off_the_list),
		cmocka_unit_test(ends_of_another_cause_do_not_take_a_request_off_the_list),
		cmocka_unit_test(a_trial_that_ends_its_server_is_the_last),
		cmocka_unit_test(a_trial_without_an_outcome_is_repeated_rarely),
		cmocka_unit_test(a_request_that_was_alone_at_its_ends_is_not_taken_off_by_others),
		cmocka_unit_test(an_end_under_a_held_request_says_nothing_of_the_version),
		cmocka_unit_test(the_same_request_has_the_same_fingerprint_and_others_do_not),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
