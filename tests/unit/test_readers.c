/* Who reads the store when: few calls in every load pattern, and none missing where it matters. */
#include "cw_follow.h"
#include "cw_hash.h"
#include "cw_membership.h"
#include "cw_readers.h"
#include "unit.h"

#include <glib.h>
#include <stdio.h>

#define NOW	  100000
#define INSTANCES 195

/*
 * Symptom: 2,100 refused calls while the store was away for 18 s, a tenth of all that the day cost.
 * Sequence: nobody's list is new any more; 80 instances ask for it, again and again.
 * Cause: whoever found the list old read it, however many did.
 */
static void a_few_instances_step_in_for_the_readers(void **state)
{
	struct cw_follow follow = {0};
	int64_t stale_ms = NOW + CW_FOLLOW_STALE_MS;
	size_t reading = 0;

	cw_follow_start(&follow, 5);
	cw_follow_answered(&follow, NOW);
	assert_int_equal(cw_follow_reads(&follow, 0, NOW), 1);
	assert_int_equal(cw_follow_reads(&follow, 1, NOW), 1);
	assert_int_equal(cw_follow_reads(&follow, 2, stale_ms - 1), 0);
	assert_int_equal(cw_follow_reads(&follow, 2, stale_ms), 1);
	assert_int_equal(cw_follow_reads(&follow, 3, stale_ms), 0);
	for (size_t rank = 0; rank < 80; rank++)
		reading += (size_t)cw_follow_reads(&follow, rank, stale_ms + 400);
	assert_int_equal(reading, 10);
	/* One that reads in time for all: within 2 s a server that leaves gets no more requests. */
	assert_int_equal(cw_follow_reads(&follow, 9, NOW + 1700), 1);
	/* Where the first ones can't, the others don't wait for them for ever. */
	assert_int_equal(cw_follow_reads(&follow, 79, stale_ms + 2500), 1);
	assert_int_equal(cw_follow_reads(&follow, INSTANCES - 1, stale_ms + 5500), 1);
	/* And none does once one of them was told. */
	cw_follow_answered(&follow, stale_ms + 2400);
	assert_int_equal(cw_follow_reads(&follow, 79, stale_ms + 2500), 0);
}

/* Calls of one instance while the store is silent for so long; each fails after call_ms. */
static int calls_in_outage(size_t rank, int64_t outage_ms, int64_t call_ms)
{
	int64_t now_ms = CW_FOLLOW_STALE_MS + cw_readers_step_in_ms(rank);
	int calls = 0;

	while (now_ms < outage_ms) {
		calls++;
		now_ms += call_ms + cw_readers_again_ms(rank, (unsigned int)calls, rank * 77);
	}
	return calls;
}

/*
 * Symptom: 1,830 calls within 8 s of a silent store. Sequence: 195 instances each ask every 1.2 s.
 * Cause: each probed for itself whether the store was back.
 */
static void a_silent_store_is_probed_by_few(void **state)
{
	int calls = 0;

	for (size_t rank = 0; rank < INSTANCES; rank++)
		calls += calls_in_outage(rank, 8000, 1000);
	assert_true(calls < 300);
	/* Its return is noticed within 1.2 s of it: some call of the first ten begins in time. */
	assert_true(calls_in_outage(0, 8000, 10) >= 6);
	for (unsigned int failures = 1; failures < 40; failures++)
		assert_true(cw_readers_again_ms(3, failures, failures * 13) <= 1200);
}

/*
 * Symptom: 2,356 calls before the first caller came. Sequence: 195 instances start together; each
 * reads everything, and again, as long as it knows no peer that would read for it.
 * Cause: who knows no other instance is the first by rank.
 */
static void of_those_that_start_together_the_seeds_read(void **state)
{
	struct cw_readers_start seed = {.is_seed = 1, .random = 12345};
	struct cw_readers_first first;
	int early = 0;

	cw_readers_start(&seed, &first);
	assert_int_equal(first.wait_ms, 0);
	assert_true(first.is_early);
	seed.is_first = 1;
	cw_readers_start(&seed, &first);
	assert_int_equal(first.wait_ms, 0);
	for (uint64_t i = 0; i < INSTANCES; i++) {
		struct cw_readers_start start = {.random = i * 0x9e3779b97f4a7c15ULL >> 7};

		/* Without any peer it reads all the same, while its callers still wait. */
		cw_readers_start(&start, &first);
		assert_in_range(first.wait_ms, 20, first.is_early ? 200 : 1000);
		early += first.is_early || first.wait_ms < 500;
		start.is_first = 1;
		cw_readers_start(&start, &first);
		assert_in_range(first.wait_ms, 300, 2500);
		assert_false(first.is_early);
	}
	assert_true(early > 0);
	assert_true(early < INSTANCES / 10);
}

/*
 * A store that is slow, and not silent, must not be kept slow: a thousand instances that found
 * their list old asked for a megabyte each, gave up after a second and asked again, all day.
 */
static void a_thousand_with_an_old_list_leave_a_slow_store_room(void **state)
{
	int calls[60] = {0};

	for (size_t rank = 0; rank < 1000; rank++) {
		int64_t now_ms = cw_readers_step_in_ms(rank);
		unsigned int failures = 0;

		while (now_ms < 60000) {
			calls[now_ms / 1000]++;
			failures++;
			now_ms += 10 + cw_readers_again_ms(rank, failures, rank * 7919 + failures);
		}
	}
	/* 20 MB a second, and a quarter of one for each call. */
	for (size_t second = 0; second < 60; second++)
		assert_true(calls[second] < 80);
}

/* Whose list the others wait for must not wait itself: servers that left would get requests. */
static void who_is_awaited_never_rests(void **state)
{
	struct cw_readers_view view = {.knows_peers = 1};

	assert_int_equal(cw_readers_next(&view), CW_READERS_REST);
	view.is_coming = 1;
	assert_int_equal(cw_readers_next(&view), CW_READERS_AWAIT);
	view.is_awaited = 1;
	assert_int_equal(cw_readers_next(&view), CW_READERS_ASK);
	view.is_awaited = view.is_coming = view.knows_peers = 0;
	assert_int_equal(cw_readers_next(&view), CW_READERS_ASK);
	view.knows_peers = view.has_rested = 1;
	assert_int_equal(cw_readers_next(&view), CW_READERS_ASK);
}

/* A long list must not be read by all that start together: a few of a thousand, as of a hundred. */
static void a_long_list_is_read_on_by_few(void **state)
{
	static const int sizes[] = {100, 1000, 2000};

	for (size_t i = 0; i < G_N_ELEMENTS(sizes); i++) {
		int64_t first_ms = G_MAXINT64;
		int early = 0;

		for (uint64_t j = 0; j < (uint64_t)sizes[i]; j++) {
			int64_t rest_ms = cw_readers_rest_ms(cw_hash(&j, sizeof(j), 5));

			assert_in_range(rest_ms, 0, 6000);
			first_ms = MIN(first_ms, rest_ms);
			early += rest_ms < 3000;
		}
		/* With no seed up the list is known to one in time all the same. */
		assert_true(first_ms < 3000);
		assert_true(early <= 1 + sizes[i] / 32);
	}
}

/*
 * Symptom: of 195 instances seven at a time read the store for all. Sequence: an instance hears of
 * each other one now and then only, and takes the place of a reader that it didn't hear of for 2 s.
 * Cause: messages named any five. Those that are named first are the ones that rank before all.
 */
static void the_first_by_rank_can_be_named(void **state)
{
	struct cw_membership *membership = cw_membership_create("own", "d0", 2000);
	struct cw_member *first[CW_READERS];
	char name[16];

	for (int i = 0; i < INSTANCES; i++) {
		snprintf(name, sizeof(name), "i%d", i);
		cw_membership_heard(cw_membership_learn(membership, name, "d1", "10.0.0.1:1"), 1, 0,
				    i < 150 ? NOW : NOW - 3000);
	}
	assert_int_equal(cw_membership_first(membership, 7, NOW, first, CW_READERS), CW_READERS);
	for (size_t i = 0; i < CW_READERS; i++) {
		struct cw_membership *theirs = cw_membership_create(first[i]->instance, "d1", 2000);

		/* Live ones only, and by their own count they have the same place. */
		assert_true(first[i]->heard_ms == NOW);
		for (int j = 0; j < 150; j++) {
			snprintf(name, sizeof(name), "i%d", j);
			if (!cw_membership_learn(theirs, name, "d1", "10.0.0.1:1"))
				continue;
			cw_membership_heard(cw_membership_find(theirs, name), 1, 0, NOW);
		}
		assert_int_equal(cw_membership_rank(theirs, 7, NOW), i);
		cw_membership_destroy(theirs);
	}
	cw_membership_destroy(membership);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(a_few_instances_step_in_for_the_readers),
		cmocka_unit_test(a_silent_store_is_probed_by_few),
		cmocka_unit_test(the_first_by_rank_can_be_named),
		cmocka_unit_test(of_those_that_start_together_the_seeds_read),
		cmocka_unit_test(a_thousand_with_an_old_list_leave_a_slow_store_room),
		cmocka_unit_test(who_is_awaited_never_rests),
		cmocka_unit_test(a_long_list_is_read_on_by_few),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
