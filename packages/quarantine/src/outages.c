/*
 * Server outages. When a server crashes, all its running requests break at every instance that had
 * requests on it; together the breaks are one outage. Requests sent during the outage break as well
 * where a proxy in front of the server still accepts connections, but they were not running when
 * the server crashed.
 */
#include "quarantine_internal.h"

static struct outage *find_outage_at(struct cw_quarantine *quarantine, uint64_t server,
				     int64_t at_ms);
static int is_slightly_before(const struct outage *outage, int64_t at_ms);
static struct outage *find_outage(const struct cw_quarantine *quarantine, uint32_t number);
static void remove_crashes(struct cw_quarantine *quarantine, const struct outage *outage);
static void queue_finding(struct cw_quarantine *quarantine, const struct outage *outage,
			  enum cw_quarantine_finding finding, int64_t now_ms);

int64_t quarantine_stall_ms(const struct cw_quarantine *quarantine, int64_t now_ms)
{
	int64_t gap_ms = now_ms - quarantine->tick_ms;

	if (quarantine->tick_ms && gap_ms > STALL_MS)
		return gap_ms;
	return now_ms < quarantine->stalled_until_ms ? quarantine->stall_ms : 0;
}

uint32_t outage_find_or_add(struct cw_quarantine *quarantine, const struct crash *crash,
			    int64_t now_ms)
{
	struct outage *outage = find_outage_at(quarantine, crash->server, crash->at_ms);

	/* The server had recovered in between; other instances may have noticed or may have had no
	 * request for the server. */
	if (outage && crash->is_running &&
	    crash->at_ms - crash->ran_ms > outage->at_ms + RESTART_MS + crash->lag_ms) {
		outage->recovered_ms = crash->at_ms - crash->ran_ms;
		outage = find_outage_at(quarantine, crash->server, crash->at_ms);
	}
	if (outage) {
		outage->at_ms = MIN(outage->at_ms, crash->at_ms);
		return outage->is_false_alarm ? 0 : outage->number;
	}
	outage = &quarantine->outages[quarantine->outage_next++ % OUTAGES_KEPT];
	*outage = (struct outage){.number = (uint32_t)quarantine->outage_next,
				  .server = crash->server,
				  .at_ms = crash->at_ms,
				  .detected_ms = crash->at_ms,
				  .lag_ms = DETECTION_LAG_MS + crash->lag_ms};
	quarantine->newest_outage_ms = MAX(quarantine->newest_outage_ms, crash->at_ms);
	queue_finding(quarantine, outage, CW_QUARANTINE_DETECTED, now_ms);
	return outage->number;
}

int outage_covers(const struct cw_quarantine *quarantine, const struct crash *crash)
{
	const struct outage *outage = find_outage(quarantine, crash->outage);

	return !outage || crash->at_ms - crash->ran_ms <= outage->at_ms + SKEW_MS;
}

int outage_is_confirmed(const struct cw_quarantine *quarantine, uint32_t number)
{
	const struct outage *outage = find_outage(quarantine, number);

	return outage && outage->is_confirmed;
}

void outage_confirm(struct cw_quarantine *quarantine, uint32_t number,
		    enum cw_quarantine_finding finding, int64_t now_ms)
{
	struct outage *outage = find_outage(quarantine, number);
	struct suspect *suspect;

	if (!outage || outage->is_confirmed || outage->is_false_alarm)
		return;
	outage->is_confirmed = 1;
	quarantine->is_dirty = 1;
	queue_finding(quarantine, outage, finding, now_ms);
	TAILQ_FOREACH(suspect, &quarantine->suspects, link) {
		struct crash *crash = suspect_find_crash(suspect, number);

		if (crash)
			crash->is_confirmed = 1;
	}
}

void outage_add_break(struct cw_quarantine *quarantine, const struct crash *crash, int64_t now_ms)
{
	struct outage *outage = find_outage(quarantine, crash->outage);

	if (!outage || crash->is_finished)
		return;
	if (!outage_covers(quarantine, crash)) {
		if (!crash->is_running && crash->ran_ms <= IMMEDIATE_BREAK_MS)
			outage_confirm(quarantine, crash->outage, CW_QUARANTINE_NO_SERVER, now_ms);
		return;
	}
	if (ABS(crash->at_ms - outage->detected_ms) <= BURST_MS && ++outage->breaks >= BURST_BREAKS)
		outage_confirm(quarantine, crash->outage, CW_QUARANTINE_BURST, now_ms);
}

/*
 * Symptom this prevents: servers that reset some of their answers and stay up got hundreds of
 * harmless requests quarantined, each of which had met three such servers.
 */
void cw_quarantine_note_unreachable(struct cw_quarantine *quarantine, uint64_t server,
				    int64_t now_ms)
{
	struct outage *newest = NULL;

	if (now_ms - quarantine->newest_outage_ms >= UNREACHABLE_MS)
		return;
	for (size_t i = 0; i < OUTAGES_KEPT; i++) {
		struct outage *outage = &quarantine->outages[i];

		if (outage->number && outage->server == server && !outage->is_false_alarm &&
		    now_ms - outage->at_ms < UNREACHABLE_MS &&
		    (!newest || outage->at_ms > newest->at_ms))
			newest = outage;
	}
	/* A server that answered since has ended later, of another crash. */
	if (!newest || newest->is_confirmed || newest->recovered_ms)
		return;
	outage_confirm(quarantine, newest->number, CW_QUARANTINE_UNREACHABLE, now_ms);
	quarantine_judge(quarantine, now_ms);
}

/*
 * Symptom this prevents: servers that reset two of five answers got harmless requests quarantined,
 * and the retries of their callers were refused. No connection survives a crash of its server, so a
 * byte on a connection opened before the outage proves a false alarm. A byte on a later connection
 * shows that the server has recovered, and may crash again.
 */
void cw_quarantine_note_received(struct cw_quarantine *quarantine, uint64_t server, int64_t sent_ms,
				 int64_t now_ms)
{
	struct outage *outage;

	if (now_ms - quarantine->newest_outage_ms >= OUTAGE_MS)
		return;
	outage = find_outage_at(quarantine, server, now_ms);
	if (!outage || outage->is_false_alarm)
		return;
	if (sent_ms > outage->at_ms)
		outage->recovered_ms = now_ms;
	else if (now_ms - outage->at_ms >= IN_FLIGHT_MS && now_ms >= quarantine->stalled_until_ms)
		outage_mark_false_alarm(quarantine, server, now_ms, now_ms);
}

void cw_quarantine_note_alive(struct cw_quarantine *quarantine, uint64_t server, int64_t now_ms)
{
	if (now_ms - quarantine->newest_outage_ms < OUTAGE_MS)
		outage_mark_false_alarm(quarantine, server, now_ms, now_ms);
}

void outage_mark_false_alarm(struct cw_quarantine *quarantine, uint64_t server, int64_t at_ms,
			     int64_t now_ms)
{
	struct outage *outage = find_outage_at(quarantine, server, at_ms);

	if (!outage || outage->is_false_alarm)
		return;
	outage->is_false_alarm = 1;
	outage->last_seen_ms = at_ms;
	outage->updated_ms = now_ms;
	queue_finding(quarantine, outage, CW_QUARANTINE_FALSE_ALARM, now_ms);
	remove_crashes(quarantine, outage);
}

size_t outages_announce_false_alarms(const struct cw_quarantine *quarantine, int64_t now_ms,
				     struct cw_quarantine_crash *crashes, size_t max)
{
	size_t count = 0;

	for (size_t i = 0; i < OUTAGES_KEPT && count < max; i++) {
		const struct outage *outage = &quarantine->outages[i];

		if (!outage->is_false_alarm || now_ms - outage->updated_ms >= ANNOUNCE_MS)
			continue;
		crashes[count++] = (struct cw_quarantine_crash){
			.server = outage->server,
			.is_alive = 1,
			.age_ms = (uint32_t)MAX(now_ms - outage->last_seen_ms, 0),
			.answered_ms = CW_QUARANTINE_NEVER,
		};
	}
	return count;
}

int cw_quarantine_next_outage(struct cw_quarantine *quarantine, struct cw_quarantine_outage *outage)
{
	if (quarantine->finding_count == 0)
		return 0;
	*outage = quarantine->findings[quarantine->finding_first % FINDINGS_KEPT];
	quarantine->finding_first++;
	quarantine->finding_count--;
	return 1;
}

/* Drops the oldest finding when the queue is full. */
static void queue_finding(struct cw_quarantine *quarantine, const struct outage *outage,
			  enum cw_quarantine_finding finding, int64_t now_ms)
{
	if (quarantine->finding_count == FINDINGS_KEPT) {
		quarantine->finding_first++;
		quarantine->finding_count--;
	}
	quarantine->findings[(quarantine->finding_first + quarantine->finding_count++) %
			     FINDINGS_KEPT] = (struct cw_quarantine_outage){
		.number = outage->number,
		.server = outage->server,
		.age_ms = (uint32_t)MAX(now_ms - outage->at_ms, 0),
		.finding = finding,
	};
}

/*
 * Returns the outage that covers at_ms, else the earliest one that began up to its lag later, as
 * far as this instance knew. NULL: none.
 */
static struct outage *find_outage_at(struct cw_quarantine *quarantine, uint64_t server,
				     int64_t at_ms)
{
	struct outage *later = NULL;

	for (size_t i = 0; i < OUTAGES_KEPT; i++) {
		struct outage *outage = &quarantine->outages[i];
		int64_t end_ms = outage->recovered_ms ? outage->recovered_ms
						      : outage->detected_ms + OUTAGE_MS;

		if (!outage->number || outage->server != server || at_ms >= end_ms + SKEW_MS)
			continue;
		if (at_ms >= outage->at_ms)
			return outage;
		if (is_slightly_before(outage, at_ms) && (!later || outage->at_ms < later->at_ms))
			later = outage;
	}
	return later;
}

/* A report names the time of a crash with an error, also if the server is up again. */
static int is_slightly_before(const struct outage *outage, int64_t at_ms)
{
	return at_ms >= outage->at_ms - SKEW_MS ||
	       (at_ms >= outage->detected_ms - outage->lag_ms && !outage->recovered_ms);
}

static void remove_crashes(struct cw_quarantine *quarantine, const struct outage *outage)
{
	struct suspect *suspect;

	TAILQ_FOREACH(suspect, &quarantine->suspects, link)
		if (suspect_remove_crash(suspect, outage->number))
			quarantine->is_dirty = 1;
}

/* NULL: the outage was overwritten by newer ones. */
static struct outage *find_outage(const struct cw_quarantine *quarantine, uint32_t number)
{
	const struct outage *outage = &quarantine->outages[(number - 1) % OUTAGES_KEPT];

	return outage->number == number ? (struct outage *)outage : NULL;
}
