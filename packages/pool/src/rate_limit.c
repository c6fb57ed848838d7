#include "cw_rate_limit.h"

static int is_weaker(const struct cw_rate_limit_report *report,
		     const struct cw_rate_limit_report *than);
static int is_equal(const struct cw_rate_limit_report *a, const struct cw_rate_limit_report *b);

int cw_rate_limit_apply(struct cw_rate_limit *limit, const struct cw_rate_limit_report *report)
{
	struct cw_rate_limit_report before = limit->newest;

	if (before.received_ms == 0 && !report->is_limited)
		return 0;
	if (report->received_ms < before.received_ms)
		return 0;
	if (is_weaker(report, &before) && report->sent_ms < before.received_ms)
		return 0;
	limit->newest = *report;
	return !is_equal(report, &before);
}

int cw_rate_limit_is_in_force(const struct cw_rate_limit *limit)
{
	return limit->newest.is_limited;
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
