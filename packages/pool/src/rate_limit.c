#include "cw_rate_limit.h"

#include <glib.h>

#define MIN_SENDERS   4	    /* some instances have no callers; each sender adds one to a burst */
#define SPLIT_PART    0.75  /* of the limit, for each of two sides that can't see each other */
#define PROBE_PER_S   0.25  /* least rate of all: only a request shows that a limit has risen */
#define NO_SHARE_MS   1000  /* other instances send; theirs change within this time */
#define RENEWAL_MS    200   /* a report of the same limit is newer by more than a message's delay */
#define LIFTED_MS     10000 /* a lifted limit is announced for so long */
#define TOKENS_MIN    1.0   /* capacity of the token bucket, at least */
#define TOKEN_SECONDS 1.0   /* and else the share of so much time */

static int is_weaker(const struct cw_rate_limit_report *report,
		     const struct cw_rate_limit_report *than);
static int is_equal(const struct cw_rate_limit_report *a, const struct cw_rate_limit_report *b);
static double tokens_at(const struct cw_rate_limit *limit, int64_t now_ms);

int cw_rate_limit_apply(struct cw_rate_limit *limit, const struct cw_rate_limit_report *report,
			int64_t now_ms)
{
	struct cw_rate_limit_report before = limit->newest;

	if (before.received_ms == 0 && !report->is_limited)
		return 0;
	if (report->received_ms < before.received_ms)
		return 0;
	if (is_weaker(report, &before) && report->sent_ms < before.received_ms)
		return 0;
	if (is_equal(report, &before)) {
		if (report->received_ms > before.received_ms + RENEWAL_MS)
			limit->newest = *report;
		return 0;
	}
	limit->newest = *report;
	if (!before.is_limited) {
		limit->tokens = 0;
		limit->filled_ms = now_ms;
	}
	return 1;
}

int cw_rate_limit_is_announced(const struct cw_rate_limit *limit, int64_t now_ms)
{
	if (limit->newest.received_ms == 0)
		return 0;
	return limit->newest.is_limited || now_ms - limit->newest.received_ms < LIFTED_MS;
}

int cw_rate_limit_is_in_force(const struct cw_rate_limit *limit)
{
	return limit->newest.is_limited;
}

double cw_rate_limit_share_per_s(double per_s, const struct cw_warmup_place *place)
{
	size_t senders = MAX(MIN_SENDERS, (size_t)MIN(per_s, (double)place->instances));
	double all = MAX(per_s, PROBE_PER_S) * (place->may_be_split ? SPLIT_PART : 1);

	senders = MIN(senders, place->instances);
	return place->rank < senders ? all / (double)senders : 0;
}

/* The tokens so far were gained at the old rate. */
void cw_rate_limit_set_place(struct cw_rate_limit *limit, const struct cw_warmup_place *place,
			     int64_t now_ms)
{
	limit->tokens = tokens_at(limit, now_ms);
	limit->filled_ms = now_ms;
	limit->share_per_s = cw_rate_limit_share_per_s(limit->newest.per_s, place);
	limit->tokens = MIN(limit->tokens, MAX(TOKENS_MIN, limit->share_per_s * TOKEN_SECONDS));
}

void cw_rate_limit_record_send(struct cw_rate_limit *limit, int64_t now_ms)
{
	if (!limit->newest.is_limited)
		return;
	limit->tokens = MAX(tokens_at(limit, now_ms) - 1, 0);
	limit->filled_ms = now_ms;
}

int64_t cw_rate_limit_wait_ms(const struct cw_rate_limit *limit, int64_t now_ms)
{
	double missing = 1 - tokens_at(limit, now_ms);

	if (!limit->newest.is_limited)
		return 0;
	if (limit->share_per_s <= 0)
		return NO_SHARE_MS;
	return missing <= 0 ? 0 : (int64_t)(missing / limit->share_per_s * 1000) + 1;
}

static double tokens_at(const struct cw_rate_limit *limit, int64_t now_ms)
{
	double gained = limit->share_per_s * (double)(now_ms - limit->filled_ms) / 1000;

	return MIN(limit->tokens + gained, MAX(TOKENS_MIN, limit->share_per_s * TOKEN_SECONDS));
}

static int is_weaker(const struct cw_rate_limit_report *report,
		     const struct cw_rate_limit_report *than)
{
	if (!than->is_limited)
		return 0;
	return !report->is_limited || report->per_s > than->per_s;
}

static int is_equal(const struct cw_rate_limit_report *a, const struct cw_rate_limit_report *b)
{
	return a->is_limited == b->is_limited && a->per_s == b->per_s;
}
