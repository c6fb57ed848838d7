#include "cw_backlog.h"

#include <glib.h>

static uint32_t unread(const struct cw_backlog *backlog);

void cw_backlog_begin(struct cw_backlog *backlog, int64_t now_ms)
{
	if (unread(backlog) == 0)
		backlog->reading_ms = now_ms;
	backlog->own_unread++;
}

void cw_backlog_end(struct cw_backlog *backlog)
{
	if (backlog->own_unread > 0)
		backlog->own_unread--;
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
	backlog->peers_unread = sum->unread;
	backlog->peers_tokens = sum->tokens;
}

void cw_backlog_refute(struct cw_backlog *backlog, double stale_ms)
{
	backlog->stale_ms = stale_ms;
}

/*
 * Load pattern: prompts of several instances for an engine slower than predicted. Counted down by
 * the clock, work of two seconds is taken for done before the engine has begun it, and further
 * prompts are sent behind it. An engine reads prompts one after the other, so the clock only counts
 * for the one that is being read: the others are unread until an answer begins, and what stands
 * behind an overdue one is late by as much.
 */
double cw_backlog_left_ms(const struct cw_backlog *backlog, double own_ms, double peers_ms,
			  double pace, double unread_least, int64_t now_ms)
{
	double left_ms = own_ms + MAX(peers_ms - backlog->stale_ms, 0);
	double mean_ms = left_ms / MAX(unread(backlog), 1);
	double read_ms = (double)(now_ms - backlog->reading_ms) / pace;

	return pace * (left_ms - CLAMP(read_ms, 0, (1 - unread_least) * mean_ms));
}

double cw_backlog_tokens(const struct cw_backlog *backlog)
{
	return backlog->own_tokens + (double)backlog->peers_tokens;
}

static uint32_t unread(const struct cw_backlog *backlog)
{
	return backlog->own_unread + backlog->peers_unread;
}
