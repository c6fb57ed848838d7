/*
 * Which connection of a listener closes for a new one, once it has as many as it may: those that
 * carry no whole request, in the order of the ranks below; within a rank the one that has been in
 * it longest.
 */
#include "listener_internal.h"

#define SETTLED_MS 200 /* a newer connection may have sent its first request already */

static enum caller_rank find_rank(const struct cw_caller *caller);
static struct cw_caller *find_oldest(const struct cw_listener *listener, uint64_t until_ms);

void caller_update_rank(struct cw_caller *caller)
{
	enum caller_rank rank = find_rank(caller);

	if (rank == caller->rank)
		return;
	caller_leave_rank(caller);
	if (rank == RANK_NONE)
		return;
	caller->rank = rank;
	caller->ranked_ms = uv_now(caller->listener->loop);
	TAILQ_INSERT_TAIL(&caller->listener->ranks[rank], caller, rank_link);
}

void caller_leave_rank(struct cw_caller *caller)
{
	if (caller->rank != RANK_NONE)
		TAILQ_REMOVE(&caller->listener->ranks[caller->rank], caller, rank_link);
	caller->rank = RANK_NONE;
}

/* A connection that has settled, before one that is new; the newest of all may be the only one. */
int listener_make_room(struct cw_listener *listener, const struct cw_caller *newest)
{
	uint64_t now_ms = uv_now(listener->loop);
	struct cw_caller *caller = NULL;

	if (now_ms > SETTLED_MS)
		caller = find_oldest(listener, now_ms - SETTLED_MS);
	if (!caller)
		caller = find_oldest(listener, now_ms);
	if (!caller || caller == newest)
		return 0;
	listener->quota->counts.evicted++;
	caller_close(caller);
	return 1;
}

static enum caller_rank find_rank(const struct cw_caller *caller)
{
	if (caller->unwritten_bytes > 0)
		return RANK_NONE;
	if (caller->state == CALLER_LINGERING)
		return RANK_LINGERING;
	if (caller->state != CALLER_READING)
		return RANK_NONE;
	if (caller->waits_for_turn)
		return RANK_AHEAD;
	if (caller->has_request_bytes)
		return RANK_PARTIAL;
	return caller->has_served ? RANK_IDLE : RANK_UNUSED;
}

static struct cw_caller *find_oldest(const struct cw_listener *listener, uint64_t until_ms)
{
	for (int rank = 0; rank < RANK_NONE; rank++) {
		struct cw_caller *caller = TAILQ_FIRST(&listener->ranks[rank]);

		if (caller && caller->ranked_ms <= until_ms)
			return caller;
	}
	return NULL;
}
