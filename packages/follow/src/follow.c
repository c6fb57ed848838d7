#include "cw_follow.h"
#include "cw_readers.h"

#include <glib.h>
#include <string.h>

static int is_news(struct cw_follow *follow, const struct cw_follow_proof *proof);
static void keep(struct cw_follow *follow, const struct cw_change *change, int64_t now_ms);

/*
 * An own read may be under way when the whole list comes from a peer: its answer still counts from
 * where it was asked. Counted from the new list's end, 140 records were taken twice, the list stood
 * at 423 of 283, and of 80 instances 78 took no record for 14 s, while 37 servers left.
 */
void cw_follow_start(struct cw_follow *follow, uint64_t from)
{
	follow->from = from;
	follow->count = 0;
}

void cw_follow_ask(struct cw_follow *follow)
{
	follow->asked_from = follow->from;
}

/*
 * Peers may bring records while an own read waits, and its answer then repeats them. Counting the
 * answer's records from where the list stands now, instead of by their offsets, skips as many that
 * were never seen: a server that has left goes on getting requests.
 */
int cw_follow_take_record(struct cw_follow *follow, const struct cw_change *change, int64_t now_ms)
{
	if (change->offset != follow->from)
		return 0;
	follow->from++;
	keep(follow, change, now_ms);
	return 1;
}

void cw_follow_skip(struct cw_follow *follow, uint64_t offset)
{
	if (offset != follow->from)
		return;
	follow->from++;
	follow->count = 0;
}

void cw_follow_answered(struct cw_follow *follow, int64_t now_ms)
{
	follow->fresh_ms = now_ms;
	follow->proof.reader = follow->self;
	follow->proof.number = ++follow->answers;
}

size_t cw_follow_tell(const struct cw_follow *follow, int64_t now_ms, struct cw_change *changes)
{
	size_t count = 0;

	for (size_t i = 0; i < follow->count; i++)
		if (now_ms - follow->at_ms[i] <= CW_FOLLOW_TOLD_MS)
			changes[count++] = follow->changes[i];
	return count;
}

int cw_follow_hear(struct cw_follow *follow, const struct cw_change *changes, size_t count,
		   const struct cw_follow_word *word, int64_t now_ms,
		   void (*take)(void *context, const struct cw_change *change), void *context)
{
	for (size_t i = 0; i < count; i++)
		if (cw_follow_take_record(follow, &changes[i], now_ms))
			take(context, &changes[i]);
	if (follow->from < word->from)
		return 0;
	/* Their word is as old as the last answer that one of us got from the store. */
	if (is_news(follow, &word->proof) && now_ms - word->age_ms > follow->fresh_ms) {
		follow->fresh_ms = now_ms - word->age_ms;
		follow->proof = word->proof;
	}
	return 1;
}

int cw_follow_reads(const struct cw_follow *follow, size_t rank, int64_t now_ms)
{
	int64_t stale_ms = now_ms - follow->fresh_ms - CW_FOLLOW_STALE_MS;

	return cw_readers_is_first(rank) || stale_ms >= cw_readers_step_in_ms(rank);
}

/*
 * Symptom this prevents: readers were cut off from the store, and for 3 s nobody read in their
 * place. A word loses the time that it was on its way; passed on from peer to peer again and again,
 * the same old answer seemed ever newer. So each answer counts once, as it is first heard of.
 */
static int is_news(struct cw_follow *follow, const struct cw_follow_proof *proof)
{
	struct cw_follow_proof *known = NULL;

	if (!proof->number || proof->reader == follow->self)
		return 0;
	for (size_t i = 0; i < CW_FOLLOW_READERS; i++)
		if (follow->known[i].reader == proof->reader)
			known = &follow->known[i];
	if (!known) {
		known = &follow->known[follow->known_next++ % CW_FOLLOW_READERS];
		*known = (struct cw_follow_proof){.reader = proof->reader};
	}
	if (proof->number <= known->number)
		return 0;
	known->number = proof->number;
	return 1;
}

static void keep(struct cw_follow *follow, const struct cw_change *change, int64_t now_ms)
{
	if (follow->count == CW_FOLLOW_CHANGES) {
		follow->count--;
		memmove(&follow->changes[0], &follow->changes[1],
			follow->count * sizeof(follow->changes[0]));
		memmove(&follow->at_ms[0], &follow->at_ms[1],
			follow->count * sizeof(follow->at_ms[0]));
	}
	follow->at_ms[follow->count] = now_ms;
	follow->changes[follow->count++] = *change;
}
