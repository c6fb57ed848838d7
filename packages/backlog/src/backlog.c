#include "cw_backlog.h"

#include <glib.h>

#define REPORT_DELAY_MS 50 /* a prompt noted by then may have been sent after the report */

static uint32_t unread(const struct cw_backlog *backlog);

void cw_backlog_begin(struct cw_backlog *backlog, double work_ms, double long_ms, int64_t now_ms)
{
	if (unread(backlog) == 0)
		backlog->reading_ms = now_ms;
	backlog->own_unread++;
	if (work_ms < long_ms)
		return;
	backlog->own_long++;
	backlog->own_long_ms += work_ms;
}

void cw_backlog_end(struct cw_backlog *backlog, double work_ms, double long_ms)
{
	if (backlog->own_unread > 0)
		backlog->own_unread--;
	if (work_ms < long_ms || backlog->own_long == 0)
		return;
	backlog->own_long--;
	backlog->own_long_ms = MAX(backlog->own_long_ms - work_ms, 0);
}

void cw_backlog_record_progress(struct cw_backlog *backlog, int64_t now_ms)
{
	backlog->reading_ms = now_ms;
}

void cw_backlog_set_peers(struct cw_backlog *backlog, const struct cw_backlog_share *sum,
			  int64_t now_ms)
{
	int was_idle = unread(backlog) == 0;

	if (was_idle || sum->unread < backlog->peers_unread)
		backlog->reading_ms = now_ms;
	if (sum->unread < backlog->peers_unread)
		backlog->stale_ms = 0;
	if (sum->unread > backlog->peers_unread)
		backlog->grown_ms = now_ms;
	backlog->peers_unread = sum->unread;
	backlog->peers_tokens = sum->tokens;
}

/*
 * Load pattern: an instance dies with 30 requests in progress, and its peers avoid the servers
 * until it counts as silent. A server reports how many prompts wait besides the one that it reads,
 * so what is announced beyond them does not exist any more.
 */
void cw_backlog_check(struct cw_backlog *backlog, uint32_t queued, double peers_ms, int64_t now_ms)
{
	uint32_t excess = unread(backlog) > queued ? unread(backlog) - queued - 1 : 0;

	if (now_ms - backlog->grown_ms < REPORT_DELAY_MS)
		return;
	backlog->stale_ms = 0;
	if (backlog->peers_unread > 0)
		backlog->stale_ms =
			peers_ms * MIN(excess, backlog->peers_unread) / backlog->peers_unread;
}

/*
 * Load pattern: prompts of several instances for an engine slower than predicted. Counted down by
 * the clock, work of two seconds is taken for done before the engine has begun it, and further
 * prompts are sent behind it. An engine reads prompts one after the other, so the clock only counts
 * for the one that is being read: the others are unread until an answer begins. One that takes
 * longer than predicted has a part of that time still ahead, and delays what stands behind it.
 */
double cw_backlog_left_ms(const struct cw_backlog *backlog, double own_ms, double peers_ms,
			  double pace, double unread_least, int64_t now_ms)
{
	double all_ms = own_ms + MAX(peers_ms - backlog->stale_ms, 0);
	double mean_ms = all_ms / MAX(unread(backlog), 1);
	double read_ms = (double)MAX(now_ms - backlog->reading_ms, 0) / pace;
	double reading_left_ms = MAX(mean_ms - read_ms, unread_least * MAX(mean_ms, read_ms));

	return all_ms > 0 ? pace * (all_ms - mean_ms + reading_left_ms) : 0;
}

double cw_backlog_tokens(const struct cw_backlog *backlog)
{
	return backlog->own_tokens + (double)backlog->peers_tokens;
}

static uint32_t unread(const struct cw_backlog *backlog)
{
	return backlog->own_unread + backlog->peers_unread;
}
