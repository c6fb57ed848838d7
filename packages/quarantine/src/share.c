/* Announcements between instances, and writes to the shared store. */
#include "quarantine_internal.h"

#include <string.h>

static size_t announce_suspect(const struct suspect *suspect, int64_t now_ms,
			       struct cw_quarantine_crash *crashes, size_t max);
static int is_recently_updated(const struct suspect *suspect, int64_t now_ms);
static gint compare_likelihood(gconstpointer one, gconstpointer other);

/*
 * Of a hundred requests in one crash, the poison request took part in other crashes too and is
 * never answered. So the likelier suspects are announced first, and those with a single crash take
 * turns.
 */
size_t cw_quarantine_announce_crashes(struct cw_quarantine *quarantine, int64_t now_ms,
				      struct cw_quarantine_crash *crashes, size_t max)
{
	GPtrArray *updated = g_ptr_array_new();
	struct suspect *suspect;
	size_t count = outages_announce_false_alarms(quarantine, now_ms, crashes,
						     MIN(max, ANNOUNCED_FALSE_ALARMS_MAX));
	size_t repeated = 0;

	TAILQ_FOREACH(suspect, &quarantine->suspects, link)
		if (is_recently_updated(suspect, now_ms))
			g_ptr_array_add(updated, suspect);
	g_ptr_array_sort(updated, compare_likelihood);
	while (repeated < updated->len &&
	       ((struct suspect *)updated->pdata[repeated])->crash_count > 1) {
		count += announce_suspect(updated->pdata[repeated], now_ms, crashes + count,
					  max - count);
		repeated++;
	}
	for (size_t i = repeated;
	     i < MIN(updated->len, repeated + ANNOUNCED_SINGLES_MAX) && count < max; i++) {
		size_t turn = (quarantine->single_turn + i) % (updated->len - repeated);

		count += announce_suspect(updated->pdata[repeated + turn], now_ms, crashes + count,
					  max - count);
	}
	quarantine->single_turn += ANNOUNCED_SINGLES_MAX;
	g_ptr_array_unref(updated);
	return count;
}

/*
 * Load pattern: hundreds of instances that each announced the whole list in every message saturated
 * their links, and doubled the bytes between failure domains. Recent changes go into every message
 * for ANNOUNCE_MS, plus one older record in turn: a starting instance receives many messages and
 * has the complete list within a second.
 */
size_t cw_quarantine_announce_records(struct cw_quarantine *quarantine, int64_t now_ms,
				      struct cw_quarantine_record *records, size_t max)
{
	const struct suspect *suspect;
	const struct suspect *next = NULL;
	size_t count = 0;
	size_t old = 0;

	TAILQ_FOREACH(suspect, &quarantine->suspects, link) {
		if (!suspect_is_announced(suspect))
			continue;
		if (now_ms - suspect->changed_ms < ANNOUNCE_MS) {
			if (count + 1 < max)
				suspect_fill_record(suspect, now_ms, &records[count++]);
			continue;
		}
		if (!next || old == quarantine->record_turn)
			next = suspect;
		old++;
	}
	quarantine->record_turn = old ? (quarantine->record_turn + 1) % old : 0;
	if (next && count < max)
		suspect_fill_record(next, now_ms, &records[count++]);
	return count;
}

void cw_quarantine_merge_crash(struct cw_quarantine *quarantine,
			       const struct cw_quarantine_crash *report, int64_t now_ms)
{
	struct crash crash = {.server = report->server,
			      .at_ms = now_ms - report->age_ms,
			      .ran_ms = report->ran_ms,
			      .is_running = report->is_running,
			      .is_finished = !report->is_running};
	struct suspect *suspect;

	if (report->age_ms >= EVIDENCE_MS)
		return;
	if (report->is_alive) {
		outage_mark_false_alarm(quarantine, report->server, crash.at_ms, now_ms);
		return;
	}
	suspect = suspect_find_or_add(quarantine, report->fingerprint, "", "", now_ms);
	if (report->answered_ms != CW_QUARANTINE_NEVER)
		suspect_note_answer(quarantine, suspect, now_ms - report->answered_ms, now_ms);
	if (suspect_add_crash(quarantine, suspect, &crash, now_ms))
		quarantine_charge_finished(quarantine, crash.server, crash.at_ms, now_ms);
	if (report->is_confirmed)
		outage_confirm(quarantine, outage_find_or_add(quarantine, &crash, now_ms),
			       CW_QUARANTINE_REPORTED, now_ms);
}

/*
 * The newer state wins; a peer that has not received the release of a request cannot quarantine
 * that request again.
 */
void cw_quarantine_merge_record(struct cw_quarantine *quarantine,
				const struct cw_quarantine_record *record,
				enum cw_quarantine_source source, int64_t now_ms)
{
	int64_t since_ms = now_ms - record->age_ms;
	struct suspect *suspect = suspect_find(quarantine, record->fingerprint);

	if (record->age_ms >= QUARANTINE_MS || (!suspect && record->is_released))
		return;
	suspect = suspect_find_or_add(quarantine, record->fingerprint, record->organisation,
				      record->target, now_ms);
	suspect->crashes_seen = MAX(suspect->crashes_seen, record->crash_count);
	if (record->is_released && suspect->quarantined_ms && since_ms > suspect->quarantined_ms) {
		suspect_release(quarantine, suspect, source, now_ms);
		suspect->is_written = record->is_written || source == CW_QUARANTINE_STORE;
		return;
	}
	/* The copy from which the store was restored may lack the release, which is written again.
	 */
	if (source == CW_QUARANTINE_STORE && !record->is_released && suspect->released_ms &&
	    now_ms < quarantine->settled_ms)
		return;
	if (!record->is_released && !suspect->quarantined_ms && since_ms > suspect->released_ms)
		suspect_quarantine(quarantine, suspect, source, since_ms, now_ms);
	if ((suspect->quarantined_ms == 0) == record->is_released) {
		if ((!suspect->is_committed && suspect->quarantined_ms) ||
		    (!suspect->is_written && record->is_written))
			suspect->changed_ms = now_ms;
		suspect->is_committed |= suspect->quarantined_ms != 0;
		quarantine->is_dirty = 1;
		suspect->is_written |= record->is_written;
	}
}

/* What the store has is found by reading it, or learned from a peer that did. */
void cw_quarantine_begin_era(struct cw_quarantine *quarantine, int64_t settled_ms)
{
	struct suspect *suspect;

	quarantine->settled_ms = settled_ms;
	TAILQ_FOREACH(suspect, &quarantine->suspects, link)
		if (suspect_is_announced(suspect))
			suspect->is_written = 0;
}

int cw_quarantine_find_unwritten(const struct cw_quarantine *quarantine, int64_t now_ms,
				 struct cw_quarantine_record *record)
{
	const struct suspect *suspect;

	if (now_ms < quarantine->settled_ms)
		return 0;
	TAILQ_FOREACH(suspect, &quarantine->suspects, link) {
		if (suspect->is_written || !suspect_is_announced(suspect))
			continue;
		/*
		 * Peers that received the request from its caller announce the organisation and
		 * target.
		 */
		if (!*suspect->target && now_ms - suspect->updated_ms < OWNER_WAIT_MS)
			continue;
		suspect_fill_record(suspect, now_ms, record);
		record->age_ms = (uint32_t)MIN(record->age_ms, now_ms - quarantine->settled_ms);
		return 1;
	}
	return 0;
}

void cw_quarantine_mark_written(struct cw_quarantine *quarantine, uint64_t fingerprint,
				int is_released, int64_t now_ms)
{
	struct suspect *suspect = suspect_find(quarantine, fingerprint);

	if (!suspect || (suspect->quarantined_ms == 0) != is_released)
		return;
	suspect->is_written = 1;
	suspect->changed_ms = now_ms;
}

/*
 * Fills in the newest crashes; each carries the time of the last complete answer, so one of those
 * before it is enough. With four of each request, the answers of a few frequent ones filled every
 * message, and peers did not learn of the answer that releases a quarantined request.
 */
static size_t announce_suspect(const struct suspect *suspect, int64_t now_ms,
			       struct cw_quarantine_crash *crashes, size_t max)
{
	size_t count = 0;

	for (size_t i = suspect->crash_count; i-- > 0 && count < MIN(max, ANNOUNCED_CRASHES_MAX);) {
		const struct crash *crash = &suspect->crashes[i];

		if (count > 0 && crash->at_ms <= suspect->answered_ms)
			break;
		if (crash->is_late)
			continue;
		crashes[count++] = (struct cw_quarantine_crash){
			.fingerprint = suspect->fingerprint,
			.server = crash->server,
			.age_ms = (uint32_t)MAX(now_ms - crash->at_ms, 0),
			.ran_ms = (uint32_t)CLAMP(crash->ran_ms, 0, EVIDENCE_MS),
			.is_running = crash->is_running,
			.is_confirmed = crash->is_confirmed,
			.answered_ms = suspect->answered_ms < 0
					       ? CW_QUARANTINE_NEVER
					       : (uint32_t)MAX(now_ms - suspect->answered_ms, 0),
		};
	}
	return count;
}

static int is_recently_updated(const struct suspect *suspect, int64_t now_ms)
{
	return suspect->crash_count > 0 && now_ms - suspect->updated_ms < ANNOUNCE_MS;
}

/*
 * Orders suspects with several crashes first, then those without a complete answer, then by more
 * crashes, then by fingerprint so that the order is stable.
 */
static gint compare_likelihood(gconstpointer one, gconstpointer other)
{
	const struct suspect *first = *(const struct suspect *const *)one;
	const struct suspect *second = *(const struct suspect *const *)other;
	int first_known = first->answered_ms >= 0;
	int second_known = second->answered_ms >= 0;

	if ((first->crash_count > 1) != (second->crash_count > 1))
		return first->crash_count > 1 ? -1 : 1;
	if (first_known != second_known)
		return first_known - second_known;
	if (first->crash_count != second->crash_count)
		return first->crash_count > second->crash_count ? -1 : 1;
	return first->fingerprint < second->fingerprint ? -1 : 1;
}
