#include "cw_readers.h"
#include "cw_hash.h"

#include <glib.h>
#include <math.h>

#define STEP_MS		50 /* between two of those that stand in: a message in a domain takes less */
#define LATE_STEP_MS	25  /* between two of the others: at most 40 more calls a second, */
#define LATE_RANKS	200 /* up to this one; then at most 10 */
#define LAST_STEP_MS	100
#define RETRY_MS	150  /* a lost answer */
#define RETRY_MAX_MS	1200 /* the return of the store is noticed within it, and then told on */
#define RETRY_RARE_MS	5000 /* of those after the first ten: when these all fail, so do they */
#define RETRY_RANKS	100  /* later ones, which may be a thousand, wait longer in proportion */
#define HEAR_MS		30 /* a live peer's answer and its state take 20 ms; callers wait meanwhile */
#define SPREAD_MS	120 /* of the early ones, one in so many: who starts alone is soon served */
#define EARLY		20
#define ALONE_MS	600 /* who has heard of nobody by then starts alone, or behind a cut */
#define ALONE_SPREAD_MS 400
#define FIRST_HEAR_MS	500 /* the same before the first callers come, seconds later */
#define FIRST_SPREAD_MS 1500
#define PATIENCE_MS	10000  /* after a start, for peers that send state to others first */
#define REST_MS		6000   /* until one of so few instances reads on that no other has */
#define REST_INSTANCES	4096.0 /* of so many, one reads on at once */

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
	size_t late;
	size_t last;

	if (cw_readers_is_first(rank))
		return 0;
	if (rank < CW_READERS_STAND_IN)
		return (int64_t)(rank - CW_READERS) * STEP_MS;
	late = MIN(rank, LATE_RANKS) - CW_READERS_STAND_IN;
	last = rank > LATE_RANKS ? rank - LATE_RANKS : 0;
	return stand_in_ms + (int64_t)late * LATE_STEP_MS + (int64_t)last * LAST_STEP_MS;
}

int64_t cw_readers_again_ms(size_t rank, unsigned int failures, uint64_t random)
{
	int64_t wait_ms = RETRY_MS;

	if (rank >= CW_READERS_STAND_IN) {
		wait_ms = RETRY_RARE_MS * (int64_t)MAX(rank, RETRY_RANKS) / RETRY_RANKS;
		return wait_ms + (int64_t)(random % (uint64_t)wait_ms);
	}
	while (failures-- > 1 && wait_ms < RETRY_MAX_MS)
		wait_ms *= 2;
	wait_ms = MIN(wait_ms, RETRY_MAX_MS);
	return wait_ms - (int64_t)(random % (uint64_t)(wait_ms / 4));
}

/*
 * Load pattern: 195 instances start at one moment. Each that knew no other took itself for the
 * first and read by itself: 2,356 calls before the first caller came, and as many again when all
 * were restarted. The seeds, which the others ask first, read at once; who hears of no peer in time
 * reads all the same. A configuration is hundreds of kilobytes: read by a thousand instances it
 * keeps the store busy for ten seconds, and every call that comes meanwhile fails.
 */
void cw_readers_start(const struct cw_readers_start *start, struct cw_readers_first *first)
{
	first->is_early = start->is_seed || (!start->is_first && start->random % EARLY == 0);
	if (start->is_seed)
		first->wait_ms = 0;
	else if (start->is_first)
		first->wait_ms = FIRST_HEAR_MS + (int64_t)(start->random % FIRST_SPREAD_MS);
	else if (first->is_early)
		first->wait_ms = HEAR_MS + (int64_t)(start->random / EARLY % SPREAD_MS);
	else
		first->wait_ms = ALONE_MS + (int64_t)(start->random % ALONE_SPREAD_MS);
}

/* State that peers have is awaited from them; a long list is sent to some of those that ask. */
enum cw_readers_step cw_readers_next(const struct cw_readers_view *view)
{
	if (view->is_awaited)
		return CW_READERS_ASK;
	if (view->is_coming && view->running_ms < PATIENCE_MS)
		return CW_READERS_AWAIT;
	if (!view->has_rested && view->knows_peers)
		return CW_READERS_REST;
	return CW_READERS_ASK;
}

/*
 * Load pattern: a thousand instances are restarted at one moment, and a list of ten thousand
 * servers is twenty pages. How many read it is not known to any of them, so each draws its wait
 * such that as many begin early of a thousand as of a hundred: a few, whose lists the others take.
 */
int64_t cw_readers_rest_ms(uint64_t random)
{
	double part = MAX(cw_hash_part(random), 1 / REST_INSTANCES);

	return (int64_t)(REST_MS * (1 + log(part) / log(REST_INSTANCES)));
}
