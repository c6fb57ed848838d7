/* What instances tell each other, and what is written down. */
#include "quarantine_internal.h"

#include <string.h>

static size_t tell_suspect(const struct suspect *suspect, int64_t now_ms,
			   struct cw_quarantine_end *ends, size_t max);
static int is_news(const struct suspect *suspect, int64_t now_ms);
static gint by_likelihood(gconstpointer one, gconstpointer other);

/*
 * Of a hundred requests at one end the one that matters is at others too, and is never answered:
 * the likelier ones first. Those that are at one end only take turns.
 */
size_t cw_quarantine_tell_ends(struct cw_quarantine *quarantine, int64_t now_ms,
			       struct cw_quarantine_end *ends, size_t max)
{
	GPtrArray *news = g_ptr_array_new();
	struct suspect *suspect;
	size_t count = outages_tell_void(quarantine, now_ms, ends, MIN(max, VOID_TOLD));
	size_t repeated = 0;

	TAILQ_FOREACH(suspect, &quarantine->suspects, link)
		if (is_news(suspect, now_ms))
			g_ptr_array_add(news, suspect);
	g_ptr_array_sort(news, by_likelihood);
	while (repeated < news->len && ((struct suspect *)news->pdata[repeated])->end_count > 1) {
		count += tell_suspect(news->pdata[repeated], now_ms, ends + count, max - count);
		repeated++;
	}
	for (size_t i = repeated; i < MIN(news->len, repeated + SINGLES_TOLD) && count < max; i++) {
		size_t turn = (quarantine->tell_turn + i) % (news->len - repeated);

		count += tell_suspect(news->pdata[repeated + turn], now_ms, ends + count,
				      max - count);
	}
	quarantine->tell_turn += SINGLES_TOLD;
	g_ptr_array_unref(news);
	return count;
}

/*
 * Load pattern: hundreds of instances that each tell the whole list in every message filled their
 * links, and doubled the bytes between failure domains. What is new is told to all for a while, and
 * one more each time: who starts hears many messages and has the list within a second.
 */
size_t cw_quarantine_tell_records(struct cw_quarantine *quarantine, int64_t now_ms,
				  struct cw_quarantine_record *records, size_t max)
{
	const struct suspect *suspect;
	const struct suspect *next = NULL;
	size_t count = 0;
	size_t old = 0;

	TAILQ_FOREACH(suspect, &quarantine->suspects, link) {
		if (!suspect_is_listed(suspect))
			continue;
		if (now_ms - suspect->changed_ms < TELL_MS) {
			if (count + 1 < max)
				suspect_record(suspect, now_ms, &records[count++]);
			continue;
		}
		if (!next || old == quarantine->record_turn)
			next = suspect;
		old++;
	}
	quarantine->record_turn = old ? (quarantine->record_turn + 1) % old : 0;
	if (next && count < max)
		suspect_record(next, now_ms, &records[count++]);
	return count;
}

void cw_quarantine_hear_end(struct cw_quarantine *quarantine, const struct cw_quarantine_end *told,
			    int64_t now_ms)
{
	struct end end = {.server = told->server,
			  .at_ms = now_ms - told->age_ms,
			  .ran_ms = told->ran_ms,
			  .is_running = told->is_running};
	struct suspect *suspect;

	if (told->age_ms >= EVIDENCE_MS)
		return;
	if (told->is_alive) {
		outage_withdraw(quarantine, told->server, end.at_ms, now_ms);
		return;
	}
	suspect = suspect_learn(quarantine, told->fingerprint, "", "", now_ms);
	if (told->answered_ms != CW_QUARANTINE_NEVER)
		suspect_answered(quarantine, suspect, now_ms - told->answered_ms, now_ms);
	if (suspect_add_end(quarantine, suspect, &end, now_ms))
		quarantine_note_left(quarantine, end.server, end.at_ms, now_ms);
	if (told->is_confirmed)
		outage_confirm(quarantine, outage_note(quarantine, &end));
}

/* The newer state counts; what was taken off is not put on again by who hasn't heard of it. */
void cw_quarantine_hear_record(struct cw_quarantine *quarantine,
			       const struct cw_quarantine_record *record,
			       enum cw_quarantine_source source, int64_t now_ms)
{
	int64_t since_ms = now_ms - record->age_ms;
	struct suspect *suspect = suspect_find(quarantine, record->fingerprint);

	if (record->age_ms >= HOLD_MS || (!suspect && record->is_released))
		return;
	suspect = suspect_learn(quarantine, record->fingerprint, record->organisation,
				record->target, now_ms);
	suspect->ends_seen = MAX(suspect->ends_seen, record->ends);
	if (record->is_released && suspect->held_ms && since_ms > suspect->held_ms) {
		suspect_release(quarantine, suspect, source, now_ms);
		suspect->is_written = record->is_written || source == CW_QUARANTINE_STORE;
		return;
	}
	if (!record->is_released && !suspect->held_ms && since_ms > suspect->released_ms)
		suspect_hold(quarantine, suspect, source, since_ms, now_ms);
	if ((suspect->held_ms == 0) == record->is_released) {
		if ((!suspect->is_firm && suspect->held_ms) ||
		    (!suspect->is_written && record->is_written))
			suspect->changed_ms = now_ms;
		suspect->is_firm |= suspect->held_ms != 0;
		quarantine->is_dirty = 1;
		suspect->is_written |= record->is_written;
	}
}

int cw_quarantine_unwritten(const struct cw_quarantine *quarantine, int64_t now_ms,
			    struct cw_quarantine_record *record)
{
	const struct suspect *suspect;

	TAILQ_FOREACH(suspect, &quarantine->suspects, link) {
		if (suspect->is_written || !suspect_is_listed(suspect))
			continue;
		/* Peers that had its caller tell who that is. */
		if (!*suspect->target && now_ms - suspect->news_ms < NAMES_MS)
			continue;
		suspect_record(suspect, now_ms, record);
		return 1;
	}
	return 0;
}

void cw_quarantine_written(struct cw_quarantine *quarantine, uint64_t fingerprint, int is_released,
			   int64_t now_ms)
{
	struct suspect *suspect = suspect_find(quarantine, fingerprint);

	if (!suspect || (suspect->held_ms == 0) != is_released)
		return;
	suspect->is_written = 1;
	suspect->changed_ms = now_ms;
}

/* Its newest ends; the whole answer is told with each. */
static size_t tell_suspect(const struct suspect *suspect, int64_t now_ms,
			   struct cw_quarantine_end *ends, size_t max)
{
	size_t count = 0;

	for (size_t i = suspect->end_count; i-- > 0 && count < MIN(max, ENDS_TOLD);) {
		const struct end *end = &suspect->ends[i];

		ends[count++] = (struct cw_quarantine_end){
			.fingerprint = suspect->fingerprint,
			.server = end->server,
			.age_ms = (uint32_t)MAX(now_ms - end->at_ms, 0),
			.ran_ms = (uint32_t)CLAMP(end->ran_ms, 0, EVIDENCE_MS),
			.is_running = end->is_running,
			.is_confirmed = end->is_confirmed,
			.answered_ms = suspect->answered_ms < 0
					       ? CW_QUARANTINE_NEVER
					       : (uint32_t)MAX(now_ms - suspect->answered_ms, 0),
		};
	}
	return count;
}

static int is_news(const struct suspect *suspect, int64_t now_ms)
{
	return suspect->end_count > 0 && now_ms - suspect->news_ms < TELL_MS;
}

/* More ends first, those that were answered before last; then any order that stays. */
static gint by_likelihood(gconstpointer one, gconstpointer other)
{
	const struct suspect *first = *(const struct suspect *const *)one;
	const struct suspect *second = *(const struct suspect *const *)other;
	int first_known = first->answered_ms >= 0;
	int second_known = second->answered_ms >= 0;

	if ((first->end_count > 1) != (second->end_count > 1))
		return first->end_count > 1 ? -1 : 1;
	if (first_known != second_known)
		return first_known - second_known;
	if (first->end_count != second->end_count)
		return first->end_count > second->end_count ? -1 : 1;
	return first->fingerprint < second->fingerprint ? -1 : 1;
}
