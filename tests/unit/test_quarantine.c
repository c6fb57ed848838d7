/* Requests that end the servers that run them: told from those that were there by chance. */
#include "cw_quarantine.h"
#include "unit.h"

#include <glib.h>
#include <string.h>

#define NOW	 100000
#define DEADLY	 7
#define HARMLESS 1000 /* and up: each another request */
#define LATER	 1400 /* ms by which a judgement is made and told */

static struct cw_quarantine_request request_of(uint64_t fingerprint, const char *organisation)
{
	return (struct cw_quarantine_request){
		.fingerprint = fingerprint, .organisation = organisation, .target = "chat"};
}

static void broke(struct cw_quarantine *quarantine, uint64_t fingerprint, uint64_t server,
		  int64_t now_ms)
{
	struct cw_quarantine_request request = request_of(fingerprint, "museo");

	cw_quarantine_broke(quarantine, &request, server, fingerprint == DEADLY ? 50 : 900, 0,
			    now_ms);
	cw_quarantine_gone(quarantine, server, now_ms);
	cw_quarantine_tick(quarantine, now_ms);
}

/* Lets time pass as the loop does. */
static void pass(struct cw_quarantine *quarantine, int64_t from_ms, int64_t to_ms)
{
	for (int64_t now_ms = from_ms; now_ms <= to_ms; now_ms += 100)
		cw_quarantine_tick(quarantine, now_ms);
}

static size_t held(const struct cw_quarantine *quarantine)
{
	struct cw_quarantine_record records[CW_QUARANTINE_HELD];

	return cw_quarantine_list(quarantine, NOW, records, CW_QUARANTINE_HELD);
}

/* One message from one instance to another. */
static void tell(struct cw_quarantine *from, struct cw_quarantine *to, int64_t now_ms)
{
	struct cw_quarantine_end ends[CW_QUARANTINE_ENDS];
	struct cw_quarantine_record records[CW_QUARANTINE_RECORDS];
	size_t end_count = cw_quarantine_tell_ends(from, now_ms, ends, CW_QUARANTINE_ENDS);
	size_t record_count =
		cw_quarantine_tell_records(from, now_ms, records, CW_QUARANTINE_RECORDS);

	for (size_t i = 0; i < end_count; i++)
		cw_quarantine_hear_end(to, &ends[i], now_ms);
	for (size_t i = 0; i < record_count; i++)
		cw_quarantine_hear_record(to, &records[i], CW_QUARANTINE_PEER, now_ms);
}

static void a_request_that_ended_three_servers_is_held_at_once(void **state)
{
	struct cw_quarantine *quarantine = cw_quarantine_create();
	struct cw_quarantine_change change;

	broke(quarantine, DEADLY, 1, NOW);
	broke(quarantine, DEADLY, 2, NOW + 60);
	assert_false(cw_quarantine_holds(quarantine, DEADLY));
	broke(quarantine, DEADLY, 3, NOW + 120);
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
		broke(quarantine, DEADLY, 1, NOW + i);
	for (told.age_ms = 0; told.age_ms < 300; told.age_ms += 50)
		cw_quarantine_hear_end(quarantine, &told, NOW + 200);
	pass(quarantine, NOW + 200, NOW + LATER);
	assert_false(cw_quarantine_holds(quarantine, DEADLY));
	/* It ends again once it is back. */
	broke(quarantine, DEADLY, 1, NOW + 2000);
	broke(quarantine, DEADLY, 1, NOW + 4000);
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
			broke(quarantine, HARMLESS + i + (server > 3 ? server * 100 : 0), server,
			      NOW + server * 80);
		broke(quarantine, DEADLY, server, NOW + server * 80);
		cw_quarantine_tick(quarantine, NOW + server * 80);
	}
	pass(quarantine, NOW + LATER, NOW + LATER + 1000);
	assert_true(cw_quarantine_holds(quarantine, DEADLY));
	assert_int_equal(held(quarantine), 1);
	cw_quarantine_destroy(quarantine);
}

/* All were at the same three servers: the one that had just begun there ended them. */
static void of_those_at_the_same_ends_the_one_that_had_just_come_is_held(void **state)
{
	struct cw_quarantine *quarantine = cw_quarantine_create();

	for (int server = 1; server <= 3; server++) {
		for (int i = 0; i < 20; i++)
			broke(quarantine, HARMLESS + i, server, NOW + server * 80);
		broke(quarantine, DEADLY, server, NOW + server * 80);
	}
	pass(quarantine, NOW + 240, NOW + LATER);
	assert_true(cw_quarantine_holds(quarantine, DEADLY));
	assert_int_equal(held(quarantine), 1);
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

		broke(quarantine, HARMLESS, (uint64_t)i % 6, now_ms);
		cw_quarantine_answered(quarantine, HARMLESS, 7, 50, now_ms + 100);
		pass(quarantine, now_ms + 100, now_ms + 500);
		assert_int_equal(held(quarantine), 0);
	}
	cw_quarantine_destroy(quarantine);
}

/* The answer was given by another instance than those that saw the ends. */
static void a_peers_whole_answer_takes_the_ends_back(void **state)
{
	struct cw_quarantine *one = cw_quarantine_create();
	struct cw_quarantine *other = cw_quarantine_create();

	cw_quarantine_answered(other, HARMLESS, 7, 50, NOW + 200);
	broke(one, HARMLESS, 1, NOW);
	broke(one, HARMLESS, 2, NOW + 100);
	tell(one, other, NOW + 250);
	pass(other, NOW + 250, NOW + 1250);
	tell(other, one, NOW + 1260);
	broke(one, HARMLESS, 3, NOW + 1300);
	pass(one, NOW + 1300, NOW + 1300 + LATER);
	assert_false(cw_quarantine_holds(one, HARMLESS));
	cw_quarantine_destroy(one);
	cw_quarantine_destroy(other);
}

/* A rack loses power: a body that many ask for was at five of its servers. */
static void servers_that_end_in_one_moment_do_not_speak_against_a_known_request(void **state)
{
	struct cw_quarantine *quarantine = cw_quarantine_create();

	cw_quarantine_answered(quarantine, HARMLESS, 7, 50, NOW - 1000);
	cw_quarantine_tick(quarantine, NOW);
	for (int server = 1; server <= 5; server++)
		broke(quarantine, HARMLESS, server, NOW + server);
	pass(quarantine, NOW + 5, NOW + LATER);
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
		broke(quarantine, HARMLESS, server, NOW + server * 500);
	assert_true(cw_quarantine_holds(quarantine, HARMLESS));
	pass(quarantine, NOW + 1500, NOW + 12000);
	assert_false(cw_quarantine_holds(quarantine, HARMLESS));
	cw_quarantine_destroy(quarantine);
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
		broke(all[i], DEADLY, (uint64_t)i + 1, NOW + i * 100);
	for (int64_t now_ms = NOW + 200; now_ms <= NOW + LATER; now_ms += 150)
		for (int i = 0; i < 4; i++) {
			for (int j = 0; j < 4; j++)
				if (i != j)
					tell(all[i], all[j], now_ms);
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
		broke(one, DEADLY, server, NOW + server);
	assert_false(cw_quarantine_unwritten(one, NOW + 3, &record));
	pass(one, NOW + 3, NOW + 20000);
	assert_true(cw_quarantine_unwritten(one, NOW + 20000, &record));
	assert_int_equal(record.fingerprint, DEADLY);
	cw_quarantine_written(one, DEADLY, 0, NOW + 20000);
	assert_false(cw_quarantine_unwritten(one, NOW + 20000, &record));
	tell(one, other, NOW + 20000);
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
		broke(one, DEADLY, server, NOW + server);
	pass(one, NOW + 3, NOW + LATER);
	tell(one, other, NOW + LATER);
	assert_true(cw_quarantine_holds(other, DEADLY));
	assert_true(cw_quarantine_release(one, DEADLY, NOW + 2000));
	assert_false(cw_quarantine_release(one, DEADLY, NOW + 2000));
	tell(other, one, NOW + 2100);
	pass(one, NOW + 2100, NOW + 2500);
	assert_false(cw_quarantine_holds(one, DEADLY));
	tell(one, other, NOW + 2600);
	assert_false(cw_quarantine_holds(other, DEADLY));
	assert_true(cw_quarantine_unwritten(one, NOW + 2600, &record));
	assert_true(record.is_released);
	cw_quarantine_destroy(one);
	cw_quarantine_destroy(other);
}

/* Its answer was dropped for another model's before its server ended. */
static void a_request_that_was_given_up_counts_at_the_end_that_follows(void **state)
{
	struct cw_quarantine *quarantine = cw_quarantine_create();
	for (int server = 1; server <= 3; server++) {
		cw_quarantine_left(quarantine, DEADLY, server, 5, NOW + server * 500);
		broke(quarantine, HARMLESS + server, server, NOW + server * 500 + 50);
	}
	/* Long after it was given up: it was over by then. */
	cw_quarantine_left(quarantine, DEADLY, 9, 5, NOW + 2000);
	broke(quarantine, HARMLESS + 9, 9, NOW + 4000);
	pass(quarantine, NOW + 2000, NOW + 2000 + LATER);
	assert_true(cw_quarantine_holds(quarantine, DEADLY));
	assert_int_equal(held(quarantine), 1);
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
		broke(quarantine, HARMLESS + server, server, now_ms + 20);
		pass(quarantine, now_ms + 20, now_ms + 1900);
	}
	assert_true(cw_quarantine_holds(quarantine, DEADLY));
	assert_int_equal(held(quarantine), 1);
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
		broke(quarantine, HARMLESS, server, now_ms);
		/* Sent before the end, and read after it. */
		cw_quarantine_heard(quarantine, server, NOW, now_ms + 1);
		if (server < 3)
			cw_quarantine_heard(quarantine, server, NOW, now_ms + 100);
	}
	pass(quarantine, NOW + 450, NOW + 450 + LATER);
	assert_int_equal(held(quarantine), 0);
	broke(quarantine, HARMLESS, 4, NOW + 2000);
	assert_int_equal(held(quarantine), 0);
	broke(quarantine, HARMLESS, 5, NOW + 2100);
	assert_int_equal(held(quarantine), 1);
	cw_quarantine_destroy(quarantine);
}

/* One that has no other request at that server learns from a peer that it goes on. */
static void a_peer_tells_that_a_server_goes_on(void **state)
{
	struct cw_quarantine *one = cw_quarantine_create();
	struct cw_quarantine *other = cw_quarantine_create();

	pass(other, NOW - 1000, NOW);
	for (int server = 1; server <= 3; server++) {
		broke(one, HARMLESS, server, NOW + server);
		tell(one, other, NOW + 50);
		pass(other, NOW + 100, NOW + 200);
		cw_quarantine_heard(other, server, NOW - 100, NOW + 200);
	}
	tell(other, one, NOW + 250);
	tell(one, other, NOW + 260);
	tell(other, one, NOW + 270);
	pass(one, NOW + 250, NOW + 250 + LATER);
	assert_int_equal(held(one), 0);
	assert_int_equal(held(other), 0);
	cw_quarantine_destroy(one);
	cw_quarantine_destroy(other);
}

/* What is read after a pause of its own was sent at any time in it. */
static void who_stood_still_takes_no_server_for_alive(void **state)
{
	struct cw_quarantine *quarantine = cw_quarantine_create();

	cw_quarantine_tick(quarantine, NOW);
	for (int server = 1; server <= 3; server++)
		broke(quarantine, DEADLY, server, NOW + server);
	cw_quarantine_tick(quarantine, NOW + 800);
	cw_quarantine_heard(quarantine, 1, NOW - 100, NOW + 801);
	pass(quarantine, NOW + 900, NOW + 900 + LATER);
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
		broke(quarantine, HARMLESS + i, 1, NOW + i * 760);
		cw_quarantine_hear_end(quarantine, &told, NOW + i * 760 + 740);
	}
	pass(quarantine, NOW + 2300, NOW + 2300 + LATER);
	assert_true(cw_quarantine_holds(quarantine, DEADLY));
	cw_quarantine_destroy(quarantine);
}

/* Sent while the server was away: something before it still takes connections. */
static void what_is_sent_to_a_server_that_is_away_was_not_there(void **state)
{
	struct cw_quarantine *quarantine = cw_quarantine_create();
	struct cw_quarantine_request late = request_of(HARMLESS, "museo");

	for (int server = 1; server <= 4; server++) {
		broke(quarantine, DEADLY, server, NOW + server * 50);
		cw_quarantine_broke(quarantine, &late, server, 1, 0, NOW + server * 50 + 20);
	}
	pass(quarantine, NOW + 300, NOW + 300 + LATER);
	assert_true(cw_quarantine_holds(quarantine, DEADLY));
	assert_int_equal(held(quarantine), 1);
	cw_quarantine_destroy(quarantine);
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
				broke(one, HARMLESS + i, server, NOW + server * 50);
		broke(one, DEADLY, server, NOW + server * 50);
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
			broke(one, HARMLESS + i, i * 3 + j, NOW + (int64_t)i);
	pass(one, NOW + 12, NOW + LATER);
	assert_true(cw_quarantine_tell_records(one, NOW + LATER, records, CW_QUARANTINE_RECORDS) ==
		    12);
	assert_true(cw_quarantine_tell_records(one, NOW + 9000, records, CW_QUARANTINE_RECORDS) ==
		    1);
	/* Who starts now has it after as many messages as there are records. */
	for (int i = 0; i < 12; i++)
		tell(one, other, NOW + 9000 + i);
	assert_int_equal(held(other), 12);
	cw_quarantine_destroy(one);
	cw_quarantine_destroy(other);
}

/*
 * Symptom: hundreds of harmless requests were held. Sequence: servers reset two in five answers and
 * go on; a request meets three of them. Cause: a broken connection passed for the server's end.
 */
static void a_break_alone_is_no_end(void **state)
{
	struct cw_quarantine *quarantine = cw_quarantine_create();
	struct cw_quarantine_request request = request_of(HARMLESS, "museo");

	for (int server = 1; server <= 5; server++)
		cw_quarantine_broke(quarantine, &request, server, 40, 0, NOW + server * 100);
	pass(quarantine, NOW + 500, NOW + 500 + LATER);
	assert_int_equal(held(quarantine), 0);
	cw_quarantine_destroy(quarantine);
}

/* Three requests that break at once: their server ended, whoever tries a connection. */
static void many_breaks_at_once_are_an_end(void **state)
{
	struct cw_quarantine *quarantine = cw_quarantine_create();

	for (int server = 1; server <= 3; server++)
		for (uint64_t i = 0; i < 3; i++) {
			struct cw_quarantine_request request = request_of(
				i ? HARMLESS + (uint64_t)server * 10 + i : DEADLY, "museo");

			cw_quarantine_broke(quarantine, &request, server, 40, 0,
					    NOW + server * 100 + (int64_t)i);
		}
	pass(quarantine, NOW + 300, NOW + 300 + LATER);
	assert_true(cw_quarantine_holds(quarantine, DEADLY));
	assert_int_equal(held(quarantine), 1);
	cw_quarantine_destroy(quarantine);
}

/* It brings a thousand such bodies: the others' suspects and those held stay. */
static void one_caller_does_not_drive_out_the_others(void **state)
{
	struct cw_quarantine *quarantine = cw_quarantine_create();
	struct cw_quarantine_request many;

	broke(quarantine, DEADLY, 1, NOW);
	broke(quarantine, DEADLY, 2, NOW + 1);
	for (int i = 0; i < 1000; i++) {
		many = request_of((uint64_t)(HARMLESS + i), "other");
		for (uint64_t j = 0; j < 3; j++) {
			cw_quarantine_broke(quarantine, &many, 100 + (uint64_t)i * 3 + j, 40, 0,
					    NOW + i);
			cw_quarantine_gone(quarantine, 100 + (uint64_t)i * 3 + j, NOW + i);
		}
		cw_quarantine_tick(quarantine, NOW + i);
	}
	assert_true(held(quarantine) <= 16);
	broke(quarantine, DEADLY, 3, NOW + 1000);
	pass(quarantine, NOW + 1000, NOW + 1000 + LATER);
	assert_true(cw_quarantine_holds(quarantine, DEADLY));
	cw_quarantine_destroy(quarantine);
}

/* A harmless body that all ask for must not stay held in place of one that goes on ending servers.
 */
static void ends_that_go_on_without_it_take_a_harmless_request_off_the_list(void **state)
{
	struct cw_quarantine *one = cw_quarantine_create();
	struct cw_quarantine *other = cw_quarantine_create();

	for (int server = 1; server <= 3; server++) {
		struct cw_quarantine_request shared = request_of(HARMLESS, "others");

		broke(one, DEADLY, server, NOW + server * 50);
		/* A copy of it had just come to each of them. */
		cw_quarantine_broke(one, &shared, server, 5, 0, NOW + server * 50);
	}
	for (int64_t now_ms = NOW + 200; now_ms < NOW + 8000; now_ms += 100) {
		cw_quarantine_tick(one, now_ms);
		tell(one, other, now_ms);
	}
	assert_true(cw_quarantine_holds(other, HARMLESS));
	broke(one, DEADLY, 4, NOW + 8000);
	for (int64_t now_ms = NOW + 8100; now_ms < NOW + 9500; now_ms += 100) {
		cw_quarantine_tick(one, now_ms);
		tell(one, other, now_ms);
	}
	assert_true(cw_quarantine_holds(one, DEADLY));
	assert_false(cw_quarantine_holds(one, HARMLESS));
	assert_true(cw_quarantine_holds(other, DEADLY));
	assert_false(cw_quarantine_holds(other, HARMLESS));
	cw_quarantine_destroy(one);
	cw_quarantine_destroy(other);
}

/* The other one is never taken off by a body that is at later ends by chance. */
static void a_request_that_was_alone_at_its_ends_is_not_taken_off_by_others(void **state)
{
	struct cw_quarantine *quarantine = cw_quarantine_create();

	for (int server = 1; server <= 3; server++) {
		broke(quarantine, DEADLY, server, NOW + server * 50);
		if (server > 1)
			broke(quarantine, HARMLESS, server, NOW + server * 50);
	}
	pass(quarantine, NOW + 200, NOW + 8000);
	for (int server = 4; server <= 5; server++)
		broke(quarantine, HARMLESS, server, NOW + server * 2000);
	pass(quarantine, NOW + 10000, NOW + 12000);
	assert_true(cw_quarantine_holds(quarantine, DEADLY));
	cw_quarantine_destroy(quarantine);
}

/* A good version of an engine is not blamed for what such a request does to its server. */
static void an_end_under_a_held_request_says_nothing_of_the_version(void **state)
{
	struct cw_quarantine *quarantine = cw_quarantine_create();

	broke(quarantine, DEADLY, 1, NOW);
	broke(quarantine, DEADLY, 2, NOW + 100);
	assert_false(cw_quarantine_doubts(quarantine, 2, NOW + 100));
	broke(quarantine, DEADLY, 3, NOW + 200);
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
		cmocka_unit_test(a_peers_whole_answer_takes_the_ends_back),
		cmocka_unit_test(
			servers_that_end_in_one_moment_do_not_speak_against_a_known_request),
		cmocka_unit_test(a_known_request_is_held_for_a_short_time_only),
		cmocka_unit_test(three_instances_that_saw_one_end_each_tell_a_fourth),
		cmocka_unit_test(the_list_alone_is_enough_to_hold_a_request),
		cmocka_unit_test(what_an_operator_took_off_stays_off),
		cmocka_unit_test(a_request_that_was_given_up_counts_at_the_end_that_follows),
		cmocka_unit_test(an_answer_whose_server_ends_right_after_speaks_for_nobody),
		cmocka_unit_test(a_server_that_goes_on_answering_has_not_ended),
		cmocka_unit_test(a_peer_tells_that_a_server_goes_on),
		cmocka_unit_test(who_stood_still_takes_no_server_for_alive),
		cmocka_unit_test(a_server_that_was_back_ends_a_second_time),
		cmocka_unit_test(what_is_sent_to_a_server_that_is_away_was_not_there),
		cmocka_unit_test(the_request_with_the_most_ends_is_told_first),
		cmocka_unit_test(a_list_that_all_know_takes_little_of_a_message),
		cmocka_unit_test(a_break_alone_is_no_end),
		cmocka_unit_test(many_breaks_at_once_are_an_end),
		cmocka_unit_test(one_caller_does_not_drive_out_the_others),
		cmocka_unit_test(ends_that_go_on_without_it_take_a_harmless_request_off_the_list),
		cmocka_unit_test(a_request_that_was_alone_at_its_ends_is_not_taken_off_by_others),
		cmocka_unit_test(an_end_under_a_held_request_says_nothing_of_the_version),
		cmocka_unit_test(the_same_request_has_the_same_fingerprint_and_others_do_not),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
