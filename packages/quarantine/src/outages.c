/*
 * When servers ended. All requests under way at a server break with it, at every instance that had
 * some there; that is one outage. What is sent there later breaks as well while it is away, where
 * something in front of it still takes connections: that request was not there as it ended.
 */
#include "quarantine_internal.h"

static struct outage *outage_at(struct cw_quarantine *quarantine, uint64_t server, int64_t at_ms);
static struct outage *by_number(const struct cw_quarantine *quarantine, uint32_t number);
static void forget_ends(struct cw_quarantine *quarantine, const struct outage *outage);

uint32_t outage_note(struct cw_quarantine *quarantine, const struct end *end)
{
	struct outage *outage = outage_at(quarantine, end->server, end->at_ms);

	/* It was back in between: others may have known, or had nothing to ask it. */
	if (outage && end->is_running && end->at_ms - end->ran_ms > outage->at_ms + SKEW_MS) {
		outage->back_ms = end->at_ms - end->ran_ms;
		outage = outage_at(quarantine, end->server, end->at_ms);
	}
	if (outage) {
		outage->at_ms = MIN(outage->at_ms, end->at_ms);
		return outage->is_void ? 0 : outage->number;
	}
	outage = &quarantine->outages[quarantine->outage_next++ % OUTAGES_KEPT];
	*outage = (struct outage){.number = (uint32_t)quarantine->outage_next,
				  .server = end->server,
				  .at_ms = end->at_ms,
				  .noted_ms = end->at_ms};
	quarantine->newest_outage_ms = MAX(quarantine->newest_outage_ms, end->at_ms);
	return outage->number;
}

int outage_met(const struct cw_quarantine *quarantine, const struct end *end)
{
	const struct outage *outage = by_number(quarantine, end->outage);

	return !outage || end->at_ms - end->ran_ms <= outage->at_ms + SKEW_MS;
}

int outage_is_confirmed(const struct cw_quarantine *quarantine, uint32_t number)
{
	const struct outage *outage = by_number(quarantine, number);

	return outage && outage->is_confirmed;
}

void outage_confirm(struct cw_quarantine *quarantine, uint32_t number)
{
	struct outage *outage = by_number(quarantine, number);
	struct suspect *suspect;

	if (!outage || outage->is_confirmed || outage->is_void)
		return;
	outage->is_confirmed = 1;
	quarantine->is_dirty = 1;
	TAILQ_FOREACH(suspect, &quarantine->suspects, link) {
		struct end *end = suspect_end_in(suspect, number);

		if (end)
			end->is_confirmed = 1;
	}
}

void outage_broke(struct cw_quarantine *quarantine, const struct end *end)
{
	struct outage *outage = by_number(quarantine, end->outage);

	if (!outage)
		return;
	if (!outage_met(quarantine, end)) {
		if (!end->is_running && end->ran_ms <= QUICK_MS)
			outage_confirm(quarantine, end->outage);
		return;
	}
	if (ABS(end->at_ms - outage->noted_ms) <= BURST_MS && ++outage->breaks >= BURST)
		outage_confirm(quarantine, end->outage);
}

/*
 * Symptom this prevents: servers that reset a part of their answers and go on got hundreds of
 * harmless requests held, each of which had met three of them.
 */
void cw_quarantine_gone(struct cw_quarantine *quarantine, uint64_t server, int64_t now_ms)
{
	struct outage *newest = NULL;

	if (now_ms - quarantine->newest_outage_ms >= GONE_MS)
		return;
	for (size_t i = 0; i < OUTAGES_KEPT; i++) {
		struct outage *outage = &quarantine->outages[i];

		if (outage->number && outage->server == server && !outage->is_void &&
		    now_ms - outage->at_ms < GONE_MS && (!newest || outage->at_ms > newest->at_ms))
			newest = outage;
	}
	if (!newest || newest->is_confirmed)
		return;
	outage_confirm(quarantine, newest->number);
	quarantine_judge(quarantine, now_ms);
}

/*
 * Symptom this prevents: servers that reset two of five answers got harmless requests held, whose
 * callers were refused as they came again. No connection outlives its server: a byte on one that
 * was there before the outage says that there was none. A byte on a later one says that the server
 * is back, and may end again.
 */
void cw_quarantine_heard(struct cw_quarantine *quarantine, uint64_t server, int64_t sent_ms,
			 int64_t now_ms)
{
	struct outage *outage;

	if (now_ms - quarantine->newest_outage_ms >= OUTAGE_MS)
		return;
	outage = outage_at(quarantine, server, now_ms);
	if (!outage || outage->is_void)
		return;
	if (sent_ms > outage->at_ms)
		outage->back_ms = now_ms;
	else if (now_ms - outage->at_ms >= ALIVE_MS && now_ms >= quarantine->stalled_until_ms)
		outage_withdraw(quarantine, server, now_ms, now_ms);
}

void outage_withdraw(struct cw_quarantine *quarantine, uint64_t server, int64_t at_ms,
		     int64_t now_ms)
{
	struct outage *outage = outage_at(quarantine, server, at_ms);

	if (!outage || outage->is_void)
		return;
	outage->is_void = 1;
	outage->heard_ms = at_ms;
	outage->news_ms = now_ms;
	forget_ends(quarantine, outage);
}

size_t outages_tell_void(const struct cw_quarantine *quarantine, int64_t now_ms,
			 struct cw_quarantine_end *ends, size_t max)
{
	size_t count = 0;

	for (size_t i = 0; i < OUTAGES_KEPT && count < max; i++) {
		const struct outage *outage = &quarantine->outages[i];

		if (!outage->is_void || now_ms - outage->news_ms >= TELL_MS)
			continue;
		ends[count++] = (struct cw_quarantine_end){
			.server = outage->server,
			.is_alive = 1,
			.age_ms = (uint32_t)MAX(now_ms - outage->heard_ms, 0),
			.answered_ms = CW_QUARANTINE_NEVER,
		};
	}
	return count;
}

/*
 * The one that covers the moment; else one that began a little later, as far as was known. NULL:
 * none.
 */
static struct outage *outage_at(struct cw_quarantine *quarantine, uint64_t server, int64_t at_ms)
{
	struct outage *later = NULL;

	for (size_t i = 0; i < OUTAGES_KEPT; i++) {
		struct outage *outage = &quarantine->outages[i];
		int64_t end_ms = outage->back_ms ? outage->back_ms : outage->noted_ms + OUTAGE_MS;

		if (!outage->number || outage->server != server || at_ms >= end_ms + SKEW_MS)
			continue;
		if (at_ms >= outage->at_ms)
			return outage;
		if (at_ms >= outage->noted_ms - EARLIER_MS && !outage->back_ms &&
		    (!later || outage->at_ms < later->at_ms))
			later = outage;
	}
	return later;
}

static void forget_ends(struct cw_quarantine *quarantine, const struct outage *outage)
{
	struct suspect *suspect;

	TAILQ_FOREACH(suspect, &quarantine->suspects, link)
		if (suspect_drop_end(suspect, outage->number))
			quarantine->is_dirty = 1;
}

/* NULL: it was dropped for room. */
static struct outage *by_number(const struct cw_quarantine *quarantine, uint32_t number)
{
	const struct outage *outage = &quarantine->outages[(number - 1) % OUTAGES_KEPT];

	return outage->number == number ? (struct outage *)outage : NULL;
}
