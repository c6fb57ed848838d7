#include "cw_follow.h"
#include "cw_readers.h"

#include <glib.h>
#include <string.h>

static int is_new_evidence(struct cw_follow *follow, const struct cw_follow_evidence *evidence);
static void append_change(struct cw_follow *follow, const struct cw_change *change, int64_t now_ms);

/*
 * An own read may be in progress when a peer's snapshot arrives: the records of its answer are
 * still counted from the offset that it was sent with. Counted from the snapshot's end, 140 records
 * were applied twice, the read position was 423 in a log of 283 records, and 78 of 80 instances
 * applied no record for 14 s, while 37 servers left.
 */
void cw_follow_reset(struct cw_follow *follow, struct cw_position next)
{
	follow->next = next;
	follow->count = 0;
}

void cw_follow_begin_read(struct cw_follow *follow)
{
	follow->read_from = follow->next;
}

/*
 * Peers may send records while an own read is in progress, and its answer then repeats them.
 * Counting the answer's records from the current read position, instead of by their offsets, would
 * skip as many unseen records: a server that has left would still get requests.
 */
int cw_follow_apply_record(struct cw_follow *follow, const struct cw_change *change, int64_t now_ms)
{
	if (change->offset != follow->next.offset)
		return 0;
	follow->next.offset++;
	append_change(follow, change, now_ms);
	return 1;
}

void cw_follow_skip(struct cw_follow *follow, uint64_t offset)
{
	if (offset != follow->next.offset)
		return;
	follow->next.offset++;
	follow->count = 0;
}

void cw_follow_end_read(struct cw_follow *follow, int64_t now_ms)
{
	follow->fresh_ms = now_ms;
	follow->evidence.reader = follow->self;
	follow->evidence.number = ++follow->answer_count;
}

size_t cw_follow_collect_changes(const struct cw_follow *follow, int64_t now_ms,
				 struct cw_change *changes)
{
	size_t count = 0;

	for (size_t i = 0; i < follow->count; i++)
		if (now_ms - follow->applied_ms[i] <= CW_FOLLOW_ANNOUNCE_MS)
			changes[count++] = follow->changes[i];
	return count;
}

int cw_follow_merge_changes(struct cw_follow *follow, const struct cw_change *changes, size_t count,
			    const struct cw_follow_report *peer_report, int64_t now_ms,
			    void (*apply)(void *context, const struct cw_change *change),
			    void *context)
{
	if (!cw_position_is_same_era(follow->next, peer_report->next))
		return 1;
	for (size_t i = 0; i < count; i++)
		if (cw_follow_apply_record(follow, &changes[i], now_ms))
			apply(context, &changes[i]);
	if (cw_position_compare(follow->next, peer_report->next) < 0)
		return 0;
	/* A peer's list is as old as the last answer of the shared store that it rests on. */
	if (is_new_evidence(follow, &peer_report->evidence) &&
	    now_ms - peer_report->age_ms > follow->fresh_ms) {
		follow->fresh_ms = now_ms - peer_report->age_ms;
		follow->evidence = peer_report->evidence;
	}
	return 1;
}

int cw_follow_is_reader(const struct cw_follow *follow, size_t rank, int64_t now_ms)
{
	int64_t stale_ms = now_ms - follow->fresh_ms - CW_FOLLOW_STALE_MS;

	return cw_readers_is_reader(rank) || stale_ms >= cw_readers_takeover_ms(rank);
}

/*
 * Symptom this prevents: the readers lost the shared store, and for 3 s no other instance took
 * over. The age in a report leaves out the time of its transfer; passed on from peer to peer
 * repeatedly, the same old answer seemed ever newer. So each answer counts once, when it is first
 * reported.
 */
static int is_new_evidence(struct cw_follow *follow, const struct cw_follow_evidence *evidence)
{
	struct cw_follow_evidence *newest = NULL;

	if (!evidence->number || evidence->reader == follow->self)
		return 0;
	for (size_t i = 0; i < CW_FOLLOW_READERS; i++)
		if (follow->newest_evidence[i].reader == evidence->reader)
			newest = &follow->newest_evidence[i];
	if (!newest) {
		newest = &follow->newest_evidence[follow->next_evidence_slot++ % CW_FOLLOW_READERS];
		*newest = (struct cw_follow_evidence){.reader = evidence->reader};
	}
	if (evidence->number <= newest->number)
		return 0;
	newest->number = evidence->number;
	return 1;
}

static void append_change(struct cw_follow *follow, const struct cw_change *change, int64_t now_ms)
{
	if (follow->count == CW_FOLLOW_CHANGES) {
		follow->count--;
		memmove(&follow->changes[0], &follow->changes[1],
			follow->count * sizeof(follow->changes[0]));
		memmove(&follow->applied_ms[0], &follow->applied_ms[1],
			follow->count * sizeof(follow->applied_ms[0]));
	}
	follow->applied_ms[follow->count] = now_ms;
	follow->changes[follow->count++] = *change;
}
