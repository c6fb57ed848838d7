/* Shared reading of the server list: each record is applied once, in order, without a gap. */
#include "cw_follow.h"
#include "cw_readers.h"
#include "unit.h"

#include <stdio.h>
#include <string.h>

#define NOW 50000

struct applied {
	size_t count;
	uint64_t offsets[64];
};

static void apply(void *context, const struct cw_change *change)
{
	struct applied *applied = context;

	applied->offsets[applied->count++] = change->offset;
}

static struct cw_position at(uint64_t offset)
{
	return (struct cw_position){1, offset};
}

static struct cw_change record(uint64_t offset)
{
	struct cw_change change = {.offset = offset, .is_removed = 1};

	snprintf(change.entry.name, sizeof(change.entry.name), "s%lu", (unsigned long)offset);
	return change;
}

/*
 * Symptom: one instance sent requests for seconds to a server that had left.
 * Sequence: an own read from offset 5 is in progress; a peer sends 5 and 6; the answer holds 5, 6
 * and 7; 8 follows. Cause: the answer's records were numbered from the read position at that time
 * (7), so 7 counted as 9 and 8 was never read.
 */
static void an_answer_that_repeats_records_from_peers_skips_none(void **state)
{
	struct cw_follow follow = {0};
	struct applied applied = {0};
	struct cw_change received[] = {record(5), record(6)};
	struct cw_change change;

	cw_follow_reset(&follow, at(5));
	cw_follow_begin_read(&follow);
	assert_int_equal(cw_follow_merge_changes(&follow, received, 2,
						 &(struct cw_follow_report){.next = at(7)}, NOW,
						 apply, &applied),
			 1);
	assert_int_equal(applied.count, 2);
	for (uint64_t offset = follow.read_from.offset; offset < 8; offset++) {
		change = record(offset);
		assert_int_equal(cw_follow_apply_record(&follow, &change, NOW), offset == 7);
	}
	assert_int_equal(follow.next.offset, 8);
	change = record(8);
	assert_int_equal(cw_follow_apply_record(&follow, &change, NOW), 1);
}

static void a_gap_is_read_and_not_skipped(void **state)
{
	struct cw_follow follow = {0};
	struct applied applied = {0};
	struct cw_change received[] = {record(7), record(8)};

	cw_follow_reset(&follow, at(5));
	assert_int_equal(cw_follow_merge_changes(&follow, received, 2,
						 &(struct cw_follow_report){.next = at(9)}, NOW,
						 apply, &applied),
			 0);
	assert_int_equal(applied.count, 0);
	assert_int_equal(follow.next.offset, 5);
	assert_int_equal(cw_follow_is_reader(&follow, CW_READERS, NOW), 1);
}

/* Delivers at now_ms a message that was sent at sent_ms. */
static void deliver(const struct cw_follow *from, struct cw_follow *to, int64_t sent_ms,
		    int64_t now_ms)
{
	struct cw_follow_report peer_report = {
		.next = from->next, .age_ms = sent_ms - from->fresh_ms, .evidence = from->evidence};

	cw_follow_merge_changes(to, NULL, 0, &peer_report, now_ms, apply, NULL);
}

/*
 * Symptom: both readers had lost the shared store, and a changed configuration arrived 3.1 s late.
 * Cause: no other instance found the list stale, since an answer forwarded among peers seemed ever
 * newer.
 */
static void a_forwarded_answer_becomes_stale(void **state)
{
	struct cw_follow nodes[12];
	int64_t now_ms;

	for (size_t i = 0; i < 12; i++) {
		nodes[i] = (struct cw_follow){.self = i + 1};
		cw_follow_reset(&nodes[i], at(5));
	}
	cw_follow_end_read(&nodes[0], NOW);
	for (now_ms = NOW; now_ms < NOW + 1700; now_ms += 50)
		for (size_t i = 0; i < 12; i++)
			for (size_t k = 0; k < 12; k++)
				if (i != k)
					deliver(&nodes[i], &nodes[k], now_ms, now_ms + 40);
	/* The transfer time may be left out once for each hop, not again with each round. */
	for (size_t i = 0; i < 12; i++)
		assert_in_range(nodes[i].fresh_ms, NOW, NOW + 100);
	assert_int_equal(cw_follow_is_reader(&nodes[5], CW_READERS, now_ms), 1);
}

/*
 * Symptom: requests reached a server 2.3 s after it had announced that it leaves.
 * Sequence: the two readers lose the shared store, but not their peers.
 * Cause: they reported their list as current while a call was pending that was never answered.
 */
static void a_list_is_as_old_as_the_last_answer_of_the_store(void **state)
{
	struct cw_follow reader = {.self = 1};
	struct cw_follow other = {.self = 2};
	struct cw_change changes[CW_FOLLOW_CHANGES];

	cw_follow_reset(&reader, at(5));
	cw_follow_reset(&other, at(5));
	cw_follow_end_read(&reader, NOW);
	for (int64_t now_ms = NOW; now_ms < NOW + CW_FOLLOW_STALE_MS; now_ms += 150) {
		assert_int_equal(cw_follow_collect_changes(&reader, now_ms, changes), 0);
		deliver(&reader, &other, now_ms, now_ms);
		assert_int_equal(cw_follow_is_reader(&other, CW_READERS, now_ms), 0);
	}
	assert_int_equal(cw_follow_is_reader(&other, CW_READERS, NOW + CW_FOLLOW_STALE_MS), 1);
}

/*
 * Symptom: 78 of 80 instances still sent requests to servers that had left 14 s ago; other
 * processes at their addresses rejected them all. Sequence: a read from 143 is in progress, a
 * peer's snapshot holds all records up to 283, then the read is answered with the same records.
 * Cause: its records were counted from 283 on, so the read position was ahead of the shared store
 * and no later record counted as new.
 */
static void a_snapshot_applied_during_a_read_keeps_the_reads_offset(void **state)
{
	struct cw_follow follow = {0};
	int applied = 0;

	cw_follow_reset(&follow, at(143));
	cw_follow_begin_read(&follow);
	cw_follow_reset(&follow, at(283));
	assert_int_equal(follow.read_from.offset, 143);
	for (uint64_t i = 0; i < 140; i++) {
		struct cw_change change = {.offset = follow.read_from.offset + i};

		applied += cw_follow_apply_record(&follow, &change, NOW);
	}
	assert_int_equal(applied, 0);
	assert_int_equal(follow.next.offset, 283);
	/* The next read begins at the new position, and its records are new. */
	cw_follow_begin_read(&follow);
	assert_int_equal(
		cw_follow_apply_record(&follow,
				       &(struct cw_change){.offset = follow.read_from.offset}, NOW),
		1);
}

/*
 * Guards against records that are applied or skipped by offsets of another era, and against a list
 * that counts as fresh on such evidence.
 */
static void records_of_another_era_have_no_effect(void **state)
{
	struct cw_follow follow = {0};
	struct applied applied = {0};
	struct cw_change received[] = {record(5), record(6)};

	cw_follow_reset(&follow, at(5));
	for (uint64_t era = 0; era <= 2; era += 2) {
		struct cw_follow_report report = {.next = {era, 7}, .evidence = {3, 1 + era}};

		assert_int_equal(cw_follow_merge_changes(&follow, received, 2, &report, NOW, apply,
							 &applied),
				 1);
	}
	assert_int_equal(applied.count, 0);
	assert_int_equal(follow.next.offset, 5);
	assert_int_equal(follow.fresh_ms, 0);
}

static void records_are_announced_for_a_limited_time(void **state)
{
	struct cw_follow follow = {0};
	struct cw_change changes[CW_FOLLOW_CHANGES];
	struct cw_change change;

	cw_follow_reset(&follow, at(0));
	for (uint64_t offset = 0; offset < 40; offset++) {
		change = record(offset);
		cw_follow_apply_record(&follow, &change, NOW);
	}
	assert_int_equal(cw_follow_collect_changes(&follow, NOW, changes), CW_FOLLOW_CHANGES);
	assert_int_equal(changes[0].offset, 40 - CW_FOLLOW_CHANGES);
	assert_int_equal(
		cw_follow_collect_changes(&follow, NOW + CW_FOLLOW_ANNOUNCE_MS + 1, changes), 0);
	/* A record that holds no entry can't be announced, and so neither can those before it. */
	cw_follow_skip(&follow, 40);
	change = record(41);
	cw_follow_apply_record(&follow, &change, NOW);
	assert_int_equal(cw_follow_collect_changes(&follow, NOW, changes), 1);
	assert_int_equal(changes[0].offset, 41);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(an_answer_that_repeats_records_from_peers_skips_none),
		cmocka_unit_test(a_gap_is_read_and_not_skipped),
		cmocka_unit_test(a_list_is_as_old_as_the_last_answer_of_the_store),
		cmocka_unit_test(a_forwarded_answer_becomes_stale),
		cmocka_unit_test(a_snapshot_applied_during_a_read_keeps_the_reads_offset),
		cmocka_unit_test(records_of_another_era_have_no_effect),
		cmocka_unit_test(records_are_announced_for_a_limited_time),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
