#include "cw_readers.h"

#include <glib.h>

#define STEP_MS		50 /* between two of those that stand in: a message in a domain takes less */
#define LATE_STEP_MS	25   /* between two of the others: at most 40 more calls a second */
#define RETRY_MS	150  /* a lost answer */
#define RETRY_MAX_MS	1200 /* the return of the store is noticed within it, and then told on */
#define RETRY_RARE_MS	5000 /* of those after the first ten: when these all fail, so do they */
#define HEAR_MS		30 /* a live peer's answer and its state take 20 ms; callers wait meanwhile */
#define SPREAD_MS	120 /* until one of those that start together has read and told on */
#define FIRST_HEAR_MS	500 /* the same before the first callers come, seconds later */
#define FIRST_SPREAD_MS 1500

int cw_readers_is_first(size_t rank)
{
	return rank < CW_READERS;
}

/*
 * Load pattern: the store is silent for 8 s in a system of 195 instances. Each found its list old
 * and asked for it and for the configuration every 1.2 s: 1,830 calls, each of them paid for. What
 * one instance learns reaches the others in messages; the readers may be the ones that are cut off,
 * so ten ranks step in within 0.4 s. Only when these fail too does it come to the rest, one by one.
 */
int64_t cw_readers_step_in_ms(size_t rank)
{
	int64_t stand_in_ms = CW_READERS_STAND_IN * STEP_MS;

	if (cw_readers_is_first(rank))
		return 0;
	if (rank < CW_READERS_STAND_IN)
		return (int64_t)(rank - CW_READERS) * STEP_MS;
	return stand_in_ms + (int64_t)(rank - CW_READERS_STAND_IN) * LATE_STEP_MS;
}

int64_t cw_readers_again_ms(size_t rank, unsigned int failures, uint64_t random)
{
	int64_t wait_ms = RETRY_MS;

	if (rank >= CW_READERS_STAND_IN)
		return RETRY_RARE_MS + (int64_t)(random % RETRY_RARE_MS);
	while (failures-- > 1 && wait_ms < RETRY_MAX_MS)
		wait_ms *= 2;
	wait_ms = MIN(wait_ms, RETRY_MAX_MS);
	return wait_ms - (int64_t)(random % (uint64_t)(wait_ms / 4));
}

/*
 * Load pattern: 195 instances start at one moment. Each that knew no other took itself for the
 * first and read by itself: 2,356 calls before the first caller came, and as many again when all
 * were restarted. The seeds, which the others ask first, read at once; who hears of no peer in time
 * reads all the same.
 */
int64_t cw_readers_start_ms(const struct cw_readers_start *start)
{
	if (start->is_seed)
		return 0;
	if (start->is_first)
		return FIRST_HEAR_MS + (int64_t)(start->random % FIRST_SPREAD_MS);
	return HEAR_MS + (int64_t)(start->random % SPREAD_MS);
}
