/* Reads of the shared store: few calls in every load pattern, and no needed read is missing. */
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
 * Symptom: 2,100 rejected calls while the shared store was unavailable for 18 s, a tenth of the
 * day's cost.
 * Sequence: the list is stale at all 80 instances, and each requests it repeatedly.
 * Cause: every instance with a stale list read it, however many there were.
 */
static void a_few_instances_take_over_from_the_readers(void **state)
{
	struct cw_follow follow = {0};
	int64_t stale_ms = NOW + CW_FOLLOW_STALE_MS;
	size_t reading = 0;

	cw_follow_reset(&follow, (struct cw_position){1, 5});
	cw_follow_end_read(&follow, NOW);
	assert_int_equal(cw_follow_is_reader(&follow, 0, NOW), 1);
	assert_int_equal(cw_follow_is_reader(&follow, 1, NOW), 1);
	assert_int_equal(cw_follow_is_reader(&follow, 2, stale_ms - 1), 0);
	assert_int_equal(cw_follow_is_reader(&follow, 2, stale_ms), 1);
	assert_int_equal(cw_follow_is_reader(&follow, 3, stale_ms), 0);
	for (size_t rank = 0; rank < 80; rank++)
		reading += (size_t)cw_follow_is_reader(&follow, rank, stale_ms + 400);
	assert_int_equal(reading, 10);
	/* One instance reads in time for all: a server that leaves gets no requests after 2 s. */
	assert_int_equal(cw_follow_is_reader(&follow, 9, NOW + 1700), 1);
	/* If the first ranks can't read, the others take over after a bounded time. */
	assert_int_equal(cw_follow_is_reader(&follow, 79, stale_ms + 2500), 1);
	assert_int_equal(cw_follow_is_reader(&follow, INSTANCES - 1, stale_ms + 5500), 1);
	/* No instance reads once one of them has got an answer. */
	cw_follow_end_read(&follow, stale_ms + 2400);
	assert_int_equal(cw_follow_is_reader(&follow, 79, stale_ms + 2500), 0);
}

/* Calls of one instance during an outage of the shared store; each fails after call_ms. */
static int calls_in_outage(size_t rank, int64_t outage_ms, int64_t call_ms)
{
	int64_t now_ms = CW_FOLLOW_STALE_MS + cw_readers_takeover_ms(rank);
	int calls = 0;

	while (now_ms < outage_ms) {
		calls++;
		now_ms += call_ms + cw_readers_retry_ms(rank, (unsigned int)calls, rank * 77);
	}
	return calls;
}

/*
 * Symptom: 1,830 calls in an outage of the shared store of 8 s. Sequence: each of 195 instances
 * calls every 1.2 s. Cause: each instance probed by itself whether the shared store was back.
 */
static void few_instances_probe_an_unavailable_store(void **state)
{
	int calls = 0;

	for (size_t rank = 0; rank < INSTANCES; rank++)
		calls += calls_in_outage(rank, 8000, 1000);
	assert_true(calls < 300);
	/* The end of the outage is detected within 1.2 s by a call of the first ten ranks. */
	assert_true(calls_in_outage(0, 8000, 10) >= 6);
	for (unsigned int failures = 1; failures < 40; failures++)
		assert_true(cw_readers_retry_ms(3, failures, failures * 13) <= 1200);
}

/*
 * Symptom: 2,356 calls before the first caller. Sequence: 195 instances start together; each reads
 * all state repeatedly, as long as it knows no peer that would read for it.
 * Cause: an instance that knows no other one has rank 0.
 */
static void the_seeds_read_when_all_start_together(void **state)
{
	struct cw_readers_start seed = {.is_seed = 1, .random = 12345};
	struct cw_readers_first_call first;
	int early = 0;

	cw_readers_start(&seed, &first);
	assert_int_equal(first.wait_ms, 0);
	assert_true(first.is_early);
	seed.is_first = 1;
	cw_readers_start(&seed, &first);
	assert_int_equal(first.wait_ms, 0);
	for (uint64_t i = 0; i < INSTANCES; i++) {
		struct cw_readers_start start = {.random = i * 0x9e3779b97f4a7c15ULL >> 7};

		/* An instance without a peer still reads, while its callers wait. */
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
 * A shared store that is slow must be able to recover: a thousand instances with a stale list
 * requested a megabyte each, timed out after a second and retried, all day.
 */
static void a_thousand_stale_lists_do_not_overload_a_slow_store(void **state)
{
	int calls[60] = {0};

	for (size_t rank = 0; rank < 1000; rank++) {
		int64_t now_ms = cw_readers_takeover_ms(rank);
		unsigned int failures = 0;

		while (now_ms < 60000) {
			calls[now_ms / 1000]++;
			failures++;
			now_ms += 10 + cw_readers_retry_ms(rank, failures, rank * 7919 + failures);
		}
	}
	/* The shared store serves 20 MB/s, and each call takes 0.25 MB. */
	for (size_t second = 0; second < 60; second++)
		assert_true(calls[second] < 80);
}

/* An instance whose list others depend on must not wait: servers that left would get requests. */
static void an_awaited_reader_skips_the_startup_jitter(void **state)
{
	struct cw_readers_view view = {.knows_peers = 1};

	assert_int_equal(cw_readers_next_step(&view), CW_READERS_WAIT_JITTER);
	view.is_peer_sending = 1;
	assert_int_equal(cw_readers_next_step(&view), CW_READERS_AWAIT_PEER);
	view.is_awaited = 1;
	assert_int_equal(cw_readers_next_step(&view), CW_READERS_READ);
	view.is_awaited = view.is_peer_sending = view.knows_peers = 0;
	assert_int_equal(cw_readers_next_step(&view), CW_READERS_READ);
	view.knows_peers = view.is_jitter_done = 1;
	assert_int_equal(cw_readers_next_step(&view), CW_READERS_READ);
}

/* Of instances that start together only a few read a long list: of a thousand as of a hundred. */
static void few_instances_read_a_long_list(void **state)
{
	static const int sizes[] = {100, 1000, 2000};

	for (size_t i = 0; i < G_N_ELEMENTS(sizes); i++) {
		int64_t first_ms = G_MAXINT64;
		int early = 0;

		for (uint64_t j = 0; j < (uint64_t)sizes[i]; j++) {
			int64_t jitter_ms = cw_readers_jitter_ms(cw_hash(&j, sizeof(j), 5));

			assert_in_range(jitter_ms, 0, 6000);
			first_ms = MIN(first_ms, jitter_ms);
			early += jitter_ms < 3000;
		}
		/* Without a live seed one instance still gets the list in time. */
		assert_true(first_ms < 3000);
		assert_true(early <= 1 + sizes[i] / 32);
	}
}

/*
 * Symptom: of 195 instances seven at a time read the shared store for all. Sequence: an instance
 * gets reports of each other one rarely, and takes over from a reader without a report for 2 s.
 * Cause: messages named any five members. The top-ranked members must be named in every message.
 */
static void the_top_ranked_members_are_found(void **state)
{
	struct cw_membership *membership = cw_membership_create("own", "d0", 2000);
	struct cw_member *first[CW_READERS];
	char name[16];

	for (int i = 0; i < INSTANCES; i++) {
		snprintf(name, sizeof(name), "i%d", i);
		cw_membership_mark_seen(cw_membership_upsert(membership, name, "d1", "10.0.0.1:1"),
					1, 0, i < 150 ? NOW : NOW - 3000);
	}
	assert_int_equal(cw_membership_find_top_ranked(membership, 7, NOW, first, CW_READERS),
			 CW_READERS);
	for (size_t i = 0; i < CW_READERS; i++) {
		struct cw_membership *other = cw_membership_create(first[i]->instance, "d1", 2000);

		/* Only live members, and each computes the same rank for itself. */
		assert_true(first[i]->last_seen_ms == NOW);
		for (int j = 0; j < 150; j++) {
			snprintf(name, sizeof(name), "i%d", j);
			if (!cw_membership_upsert(other, name, "d1", "10.0.0.1:1"))
				continue;
			cw_membership_mark_seen(cw_membership_find(other, name), 1, 0, NOW);
		}
		assert_int_equal(cw_membership_rank(other, 7, NOW), i);
		cw_membership_destroy(other);
	}
	cw_membership_destroy(membership);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(a_few_instances_take_over_from_the_readers),
		cmocka_unit_test(few_instances_probe_an_unavailable_store),
		cmocka_unit_test(the_top_ranked_members_are_found),
		cmocka_unit_test(the_seeds_read_when_all_start_together),
		cmocka_unit_test(a_thousand_stale_lists_do_not_overload_a_slow_store),
		cmocka_unit_test(an_awaited_reader_skips_the_startup_jitter),
		cmocka_unit_test(few_instances_read_a_long_list),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
