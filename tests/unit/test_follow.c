/* Reading the servers' list together: each record once, in order, none skipped. */
#include "cw_follow.h"
#include "cw_readers.h"
#include "unit.h"

#include <stdio.h>
#include <string.h>

#define NOW 50000

struct taken {
	size_t count;
	uint64_t offsets[64];
};

static void take(void *context, const struct cw_change *change)
{
	struct taken *taken = context;

	taken->offsets[taken->count++] = change->offset;
}

static struct cw_change record(uint64_t offset)
{
	struct cw_change change = {.offset = offset, .is_gone = 1};

	snprintf(change.entry.name, sizeof(change.entry.name), "s%lu", (unsigned long)offset);
	return change;
}

/*
 * Symptom: a server that had left got requests for seconds, at one instance only.
 * Sequence: an own read waits from 5; a peer brings 5 and 6; the answer brings 5, 6 and 7; 8
 * follows. Cause: the answer's records were numbered from where the list stood then (7), so 7
 * counted as 9 and 8 was never read.
 */
static void an_answer_that_repeats_what_peers_brought_skips_nothing(void **state)
{
	struct cw_follow follow = {0};
	struct taken taken = {0};
	struct cw_change heard[] = {record(5), record(6)};
	struct cw_change change;

	cw_follow_start(&follow, 5);
	cw_follow_ask(&follow);
	assert_int_equal(cw_follow_hear(&follow, heard, 2, &(struct cw_follow_word){.from = 7}, NOW,
					take, &taken),
			 1);
	assert_int_equal(taken.count, 2);
	for (uint64_t offset = follow.asked_from; offset < 8; offset++) {
		change = record(offset);
		assert_int_equal(cw_follow_take_record(&follow, &change, NOW), offset == 7);
	}
	assert_int_equal(follow.from, 8);
	change = record(8);
	assert_int_equal(cw_follow_take_record(&follow, &change, NOW), 1);
}

static void a_gap_is_read_and_not_jumped(void **state)
{
	struct cw_follow follow = {0};
	struct taken taken = {0};
	struct cw_change heard[] = {record(7), record(8)};

	cw_follow_start(&follow, 5);
	assert_int_equal(cw_follow_hear(&follow, heard, 2, &(struct cw_follow_word){.from = 9}, NOW,
					take, &taken),
			 0);
	assert_int_equal(taken.count, 0);
	assert_int_equal(follow.from, 5);
	assert_int_equal(cw_follow_reads(&follow, CW_READERS, NOW), 1);
}

/* One message that was on its way until now_ms. */
static void tell(const struct cw_follow *from, struct cw_follow *to, int64_t sent_ms,
		 int64_t now_ms)
{
	struct cw_follow_word word = {
		.from = from->from, .age_ms = sent_ms - from->fresh_ms, .proof = from->proof};

	cw_follow_hear(to, NULL, 0, &word, now_ms, take, NULL);
}

/*
 * Both readers were cut off from the store, and a changed configuration came 3.1 s late: no other
 * instance found the list old, for an answer passed round among peers seemed ever newer.
 */
static void an_answer_that_is_passed_round_grows_old(void **state)
{
	struct cw_follow nodes[12];
	int64_t now_ms;

	for (size_t i = 0; i < 12; i++) {
		nodes[i] = (struct cw_follow){.self = i + 1};
		cw_follow_start(&nodes[i], 5);
	}
	cw_follow_answered(&nodes[0], NOW);
	for (now_ms = NOW; now_ms < NOW + 1700; now_ms += 50)
		for (size_t i = 0; i < 12; i++)
			for (size_t k = 0; k < 12; k++)
				if (i != k)
					tell(&nodes[i], &nodes[k], now_ms, now_ms + 40);
	/* What a message takes may be lost once on each leg of the way, not with each round. */
	for (size_t i = 0; i < 12; i++)
		assert_in_range(nodes[i].fresh_ms, NOW, NOW + 100);
	assert_int_equal(cw_follow_reads(&nodes[5], CW_READERS, now_ms), 1);
}

/*
 * Symptom: requests reached a server 2.3 s after it had said that it leaves.
 * Sequence: the two instances that read for all are cut off from the store, not from their peers.
 * Cause: they called their view new while a call waited that would never be answered.
 */
static void a_view_is_as_old_as_the_last_answer_not_as_the_last_word(void **state)
{
	struct cw_follow reader = {.self = 1};
	struct cw_follow other = {.self = 2};
	struct cw_change changes[CW_FOLLOW_CHANGES];

	cw_follow_start(&reader, 5);
	cw_follow_start(&other, 5);
	cw_follow_answered(&reader, NOW);
	for (int64_t now_ms = NOW; now_ms < NOW + CW_FOLLOW_STALE_MS; now_ms += 150) {
		assert_int_equal(cw_follow_tell(&reader, now_ms, changes), 0);
		tell(&reader, &other, now_ms, now_ms);
		assert_int_equal(cw_follow_reads(&other, CW_READERS, now_ms), 0);
	}
	assert_int_equal(cw_follow_reads(&other, CW_READERS, NOW + CW_FOLLOW_STALE_MS), 1);
}

/*
 * Symptom: of 80 instances 78 go on sending to servers that left 14 s ago; strangers at their
 * addresses reject it all. Sequence: a read from 143 is under way, a peer's list brings all up to
 * 283, then the read is answered with the same records. Cause: its records were counted from 283
 * on, so the list stood ahead of the store and nothing that came seemed new.
 */
static void a_list_taken_during_a_read_does_not_move_where_it_was_asked(void **state)
{
	struct cw_follow follow = {0};
	int taken = 0;

	cw_follow_start(&follow, 143);
	cw_follow_ask(&follow);
	cw_follow_start(&follow, 283);
	assert_int_equal(follow.asked_from, 143);
	for (uint64_t i = 0; i < 140; i++) {
		struct cw_change change = {.offset = follow.asked_from + i};

		taken += cw_follow_take_record(&follow, &change, NOW);
	}
	assert_int_equal(taken, 0);
	assert_int_equal(follow.from, 283);
	/* The next read is asked from there, and what it brings is new. */
	cw_follow_ask(&follow);
	assert_int_equal(cw_follow_take_record(
				 &follow, &(struct cw_change){.offset = follow.asked_from}, NOW),
			 1);
}

static void records_are_told_on_for_a_while_and_no_longer(void **state)
{
	struct cw_follow follow = {0};
	struct cw_change changes[CW_FOLLOW_CHANGES];
	struct cw_change change;

	cw_follow_start(&follow, 0);
	for (uint64_t offset = 0; offset < 40; offset++) {
		change = record(offset);
		cw_follow_take_record(&follow, &change, NOW);
	}
	assert_int_equal(cw_follow_tell(&follow, NOW, changes), CW_FOLLOW_CHANGES);
	assert_int_equal(changes[0].offset, 40 - CW_FOLLOW_CHANGES);
	assert_int_equal(cw_follow_tell(&follow, NOW + CW_FOLLOW_TOLD_MS + 1, changes), 0);
	/* A record that is no entry can't be told: what lies before it isn't told either. */
	cw_follow_skip(&follow, 40);
	change = record(41);
	cw_follow_take_record(&follow, &change, NOW);
	assert_int_equal(cw_follow_tell(&follow, NOW, changes), 1);
	assert_int_equal(changes[0].offset, 41);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(an_answer_that_repeats_what_peers_brought_skips_nothing),
		cmocka_unit_test(a_gap_is_read_and_not_jumped),
		cmocka_unit_test(a_view_is_as_old_as_the_last_answer_not_as_the_last_word),
		cmocka_unit_test(an_answer_that_is_passed_round_grows_old),
		cmocka_unit_test(a_list_taken_during_a_read_does_not_move_where_it_was_asked),
		cmocka_unit_test(records_are_told_on_for_a_while_and_no_longer),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
