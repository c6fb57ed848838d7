#include "cw_readers.h"
#include "cw_hash.h"

#include <glib.h>
#include <math.h>

#define STANDBY_STEP_MS	      50 /* between standby ranks; a message in a failure domain takes less */
#define LATE_STEP_MS	      25  /* between two later ranks: at most 40 more calls per second */
#define LATE_RANKS	      200 /* last of these ranks; then at most 10 calls per second */
#define REMAINING_STEP_MS     100
#define RETRY_MS	      150  /* after a lost answer */
#define RETRY_MAX_MS	      1200 /* bounds the delay in detecting that the shared store is back */
#define RETRY_OTHERS_MS	      5000 /* of later ranks: these fail too if all of the first ten fail */
#define RETRY_BASE_RANKS      100  /* later ranks, up to a thousand, wait longer in proportion */
#define PEER_ANSWER_MS	      30   /* a live peer's answer and its state take 20 ms; callers wait */
#define EARLY_SPREAD_MS	      120  /* of early instances: one that starts alone is ready soon */
#define EARLY_DIVISOR	      20   /* one instance in so many reads early */
#define ALONE_WAIT_MS	      600 /* without a known peer by then: alone, or in a network partition */
#define ALONE_SPREAD_MS	      400
#define FIRST_START_WAIT_MS   500 /* for ALONE_WAIT_MS at the first start, seconds before callers */
#define FIRST_START_SPREAD_MS 1500
#define PEER_STATE_TIMEOUT_MS 10000  /* after a start; peers may serve other instances first */
#define JITTER_MAX_MS	      6000   /* longest startup jitter, for few instances */
#define JITTER_INSTANCES      4096.0 /* one instance in so many draws no jitter */

int cw_readers_is_reader(size_t rank)
{
	return rank < CW_READERS;
}

/*
 * Load pattern: the shared store doesn't answer for 8 s in a system of 195 instances. Each instance
 * found its list stale and requested the list and the configuration every 1.2 s: 1,830 calls, each
 * of which costs money. What one instance reads reaches the others by gossip. The readers may be
 * the ones that lost the shared store, so ten ranks take over within 0.4 s; only when these fail
 * too do the other ranks follow, one by one.
 */
int64_t cw_readers_takeover_ms(size_t rank)
{
	int64_t standby_ms = CW_READERS_STANDBY * STANDBY_STEP_MS;
	size_t late;
	size_t remaining;

	if (cw_readers_is_reader(rank))
		return 0;
	if (rank < CW_READERS_STANDBY)
		return (int64_t)(rank - CW_READERS) * STANDBY_STEP_MS;
	late = MIN(rank, LATE_RANKS) - CW_READERS_STANDBY;
	remaining = rank > LATE_RANKS ? rank - LATE_RANKS : 0;
	return standby_ms + (int64_t)late * LATE_STEP_MS + (int64_t)remaining * REMAINING_STEP_MS;
}

int64_t cw_readers_retry_ms(size_t rank, unsigned int failures, uint64_t random)
{
	int64_t wait_ms = RETRY_MS;

	if (rank >= CW_READERS_STANDBY) {
		wait_ms = RETRY_OTHERS_MS * (int64_t)MAX(rank, RETRY_BASE_RANKS) / RETRY_BASE_RANKS;
		return wait_ms + (int64_t)(random % (uint64_t)wait_ms);
	}
	while (failures-- > 1 && wait_ms < RETRY_MAX_MS)
		wait_ms *= 2;
	wait_ms = MIN(wait_ms, RETRY_MAX_MS);
	return wait_ms - (int64_t)(random % (uint64_t)(wait_ms / 4));
}

/*
 * Load pattern: 195 instances start at one moment. Each instance without a known peer ranked itself
 * first and read the shared store: 2,356 calls before the first caller, and as many when all were
 * restarted. Now the seeds, which the others ask first, read at once, and an instance that learns
 * of no peer in time reads as well. A configuration is hundreds of kilobytes: read by a thousand
 * instances it keeps the shared store busy for ten seconds, and every call in that time fails.
 */
void cw_readers_start(const struct cw_readers_start *start, struct cw_readers_first_call *first)
{
	first->is_early =
		start->is_seed || (!start->is_first && start->random % EARLY_DIVISOR == 0);
	if (start->is_seed)
		first->wait_ms = 0;
	else if (start->is_first)
		first->wait_ms =
			FIRST_START_WAIT_MS + (int64_t)(start->random % FIRST_START_SPREAD_MS);
	else if (first->is_early)
		first->wait_ms =
			PEER_ANSWER_MS + (int64_t)(start->random / EARLY_DIVISOR % EARLY_SPREAD_MS);
	else
		first->wait_ms = ALONE_WAIT_MS + (int64_t)(start->random % ALONE_SPREAD_MS);
}

/* Prefers state from peers; with a long list, peers serve only some of the requests. */
enum cw_readers_step cw_readers_next_step(const struct cw_readers_view *view)
{
	if (view->is_awaited)
		return CW_READERS_READ;
	if (view->is_peer_sending && view->running_ms < PEER_STATE_TIMEOUT_MS)
		return CW_READERS_AWAIT_PEER;
	if (!view->is_jitter_done && view->knows_peers)
		return CW_READERS_WAIT_JITTER;
	return CW_READERS_READ;
}

/*
 * Load pattern: a thousand instances are restarted at one moment, and a list of ten thousand
 * servers is twenty pages. No instance knows how many others read the list, so the jitter is drawn
 * such that as many of a thousand begin early as of a hundred: a few, from which the others get the
 * list.
 */
int64_t cw_readers_jitter_ms(uint64_t random)
{
	double part = MAX(cw_hash_to_fraction(random), 1 / JITTER_INSTANCES);

	return (int64_t)(JITTER_MAX_MS * (1 + log(part) / log(JITTER_INSTANCES)));
}
