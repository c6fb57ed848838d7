/*
 * When servers ended. All requests under way at a server break with it, at every instance that had
 * some there; that is one outage. What is sent there later breaks as well while it is away, where
 * something in front of it still takes connections: that request was not there as it ended.
 */
#include "quarantine_internal.h"

static struct outage *outage_at(struct cw_quarantine *quarantine, uint64_t server, int64_t at_ms);
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
	const struct outage *outage = &quarantine->outages[(end->outage - 1) % OUTAGES_KEPT];

	return outage->number != end->outage || end->at_ms - end->ran_ms <= outage->at_ms + SKEW_MS;
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
