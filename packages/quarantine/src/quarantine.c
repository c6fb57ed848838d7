#include "quarantine_internal.h"
#include "cw_hash.h"

#include <string.h>

static int was_tried_lately(const struct suspect *suspect, int64_t now_ms);
static int is_cleared_by_answer(const struct suspect *suspect);
static void evict_suspect(struct cw_quarantine *quarantine, const char *organisation);
static struct suspect *find_least_likely(struct cw_quarantine *quarantine,
					 const char *organisation);
static int is_less_likely(const struct suspect *one, const struct suspect *other);
static void limit_quarantined(struct cw_quarantine *quarantine, const struct suspect *newest,
			      int64_t now_ms);
static void queue_change(struct cw_quarantine *quarantine, const struct suspect *suspect,
			 enum cw_quarantine_source source, int64_t now_ms);
static int has_expired(const struct suspect *suspect, int64_t now_ms);

struct cw_quarantine *cw_quarantine_create(void)
{
	struct cw_quarantine *quarantine = g_new0(struct cw_quarantine, 1);

	TAILQ_INIT(&quarantine->suspects);
	quarantine->by_fingerprint = g_hash_table_new(g_int64_hash, g_int64_equal);
	quarantine->judged_until_ms = INT64_MAX;
	return quarantine;
}

void cw_quarantine_destroy(struct cw_quarantine *quarantine)
{
	struct suspect *suspect;

	if (!quarantine)
		return;
	while ((suspect = TAILQ_FIRST(&quarantine->suspects)))
		suspect_remove(quarantine, suspect);
	g_hash_table_destroy(quarantine->by_fingerprint);
	g_free(quarantine);
}

int cw_quarantine_contains(const struct cw_quarantine *quarantine, uint64_t fingerprint)
{
	const struct suspect *suspect;

	if (quarantine->quarantined_count == 0)
		return 0;
	suspect = suspect_find(quarantine, fingerprint);
	return suspect && suspect->quarantined_ms != 0;
}

int cw_quarantine_wants_trial(const struct cw_quarantine *quarantine, uint64_t fingerprint,
			      int64_t now_ms)
{
	const struct suspect *suspect = suspect_find(quarantine, fingerprint);

	if (!suspect || !suspect->quarantined_ms || was_tried_lately(suspect, now_ms))
		return 0;
	return (suspect->is_ambiguous || suspect_is_doubtful(quarantine, suspect, now_ms)) &&
	       !suspect_is_proven(quarantine, suspect, now_ms);
}

/*
 * A trial may crash a server, so the instances take turns: its caller may ask only one of them,
 * which need not be the first. An earlier one's trial has ended by the next turn, and its outcome
 * is known.
 */
int cw_quarantine_admits_trial(const struct cw_quarantine *quarantine, uint64_t fingerprint,
			       size_t rank, int64_t now_ms)
{
	const struct suspect *suspect = suspect_find(quarantine, fingerprint);
	int64_t turn_ms = TRIAL_TURN_MS * (int64_t)MIN(rank + 1, TRIAL_TURNS_MAX);

	if (!suspect || (rank > 0 && now_ms - suspect->quarantined_ms < turn_ms))
		return 0;
	return cw_quarantine_wants_trial(quarantine, fingerprint, now_ms);
}

void cw_quarantine_begin_trial(struct cw_quarantine *quarantine, uint64_t fingerprint,
			       int64_t now_ms)
{
	struct suspect *suspect = suspect_find(quarantine, fingerprint);

	if (suspect)
		suspect->trial_ms = now_ms;
}

void cw_quarantine_note_break(struct cw_quarantine *quarantine,
			      const struct cw_quarantine_request *request, uint64_t server,
			      int64_t ran_ms, int is_running, int64_t now_ms)
{
	cw_quarantine_note_past_break(quarantine, request, server, ran_ms, is_running, now_ms,
				      now_ms);
}

void cw_quarantine_note_past_break(struct cw_quarantine *quarantine,
				   const struct cw_quarantine_request *request, uint64_t server,
				   int64_t ran_ms, int is_running, int64_t at_ms, int64_t now_ms)
{
	struct crash crash = {.server = server,
			      .at_ms = at_ms,
			      .ran_ms = ran_ms,
			      .is_running = is_running,
			      .lag_ms = quarantine_stall_ms(quarantine, at_ms)};
	struct suspect *suspect = suspect_find_or_add(
		quarantine, request->fingerprint, request->organisation, request->target, now_ms);

	if (!suspect_add_crash(quarantine, suspect, &crash, now_ms))
		return;
	quarantine_charge_finished(quarantine, server, at_ms, now_ms);
	suspect = suspect_find(quarantine, request->fingerprint);
	if (suspect && suspect->crash_count >= CRASHES_TO_QUARANTINE)
		quarantine_judge(quarantine, now_ms);
}

/*
 * A server crash is no evidence against the model version if a quarantined request was running on
 * the server: a good version on trial on a few servers was rolled back for such a crash. A request
 * that is not quarantined yet may have met three servers of a bad version.
 */
int cw_quarantine_explains_crash(const struct cw_quarantine *quarantine, uint64_t server,
				 int64_t now_ms)
{
	const struct suspect *suspect;

	TAILQ_FOREACH(suspect, &quarantine->suspects, link)
		for (size_t i = 0; suspect->quarantined_ms && i < suspect->crash_count; i++)
			if (suspect->crashes[i].server == server &&
			    now_ms - suspect->crashes[i].at_ms < OUTAGE_MS)
				return 1;
	return 0;
}

void cw_quarantine_tick(struct cw_quarantine *quarantine, int64_t now_ms)
{
	struct suspect *suspect;

	if (now_ms - quarantine->tick_ms > STALL_MS) {
		quarantine->stall_ms = quarantine->tick_ms ? now_ms - quarantine->tick_ms : 0;
		quarantine->stalled_until_ms = now_ms + STALL_MS;
	}
	quarantine->tick_ms = now_ms;
	quarantine_verify_answers(quarantine, now_ms);
	if (quarantine->is_dirty)
		quarantine_judge(quarantine, now_ms);
	suspect = TAILQ_FIRST(&quarantine->suspects);
	while (suspect) {
		struct suspect *next = TAILQ_NEXT(suspect, link);

		if (suspect->quarantined_ms && !suspect->is_short && !suspect->is_superseded &&
		    now_ms - suspect->quarantined_ms >= COMMIT_MS && !suspect->is_committed) {
			suspect->is_committed = 1;
			suspect->changed_ms = now_ms;
			quarantine->is_dirty = 1;
		}
		if (suspect->quarantined_ms && !suspect->is_reviewed &&
		    now_ms - suspect->quarantined_ms >= LIKELIER_TRIAL_MS) {
			suspect->is_reviewed = 1;
			quarantine->is_dirty = 1;
		}
		if (suspect->quarantined_ms && has_expired(suspect, now_ms))
			suspect_release(quarantine, suspect, CW_QUARANTINE_EXPIRED, now_ms);
		else if (!suspect->quarantined_ms && has_expired(suspect, now_ms))
			suspect_remove(quarantine, suspect);
		suspect = next;
	}
}

int cw_quarantine_next_change(struct cw_quarantine *quarantine, struct cw_quarantine_change *change)
{
	if (quarantine->change_count == 0)
		return 0;
	*change = quarantine->changes[quarantine->change_first % CHANGES_KEPT];
	quarantine->change_first++;
	quarantine->change_count--;
	return 1;
}

size_t cw_quarantine_list(const struct cw_quarantine *quarantine, int64_t now_ms,
			  struct cw_quarantine_record *records, size_t max)
{
	const struct suspect *suspect;
	size_t count = 0;

	TAILQ_FOREACH(suspect, &quarantine->suspects, link)
		if (suspect->quarantined_ms && count < max)
			suspect_fill_record(suspect, now_ms, &records[count++]);
	return count;
}

int cw_quarantine_release(struct cw_quarantine *quarantine, uint64_t fingerprint, int64_t now_ms)
{
	struct suspect *suspect = suspect_find(quarantine, fingerprint);

	if (!suspect || !suspect->quarantined_ms)
		return 0;
	suspect_release(quarantine, suspect, CW_QUARANTINE_OPERATOR, now_ms);
	return 1;
}

struct suspect *suspect_find(const struct cw_quarantine *quarantine, uint64_t fingerprint)
{
	return g_hash_table_lookup(quarantine->by_fingerprint, &fingerprint);
}

struct suspect *suspect_find_or_add(struct cw_quarantine *quarantine, uint64_t fingerprint,
				    const char *organisation, const char *target, int64_t now_ms)
{
	const struct answered *answered = &quarantine->answered[fingerprint % ANSWERED_SLOTS];
	struct suspect *suspect = suspect_find(quarantine, fingerprint);

	if (!suspect) {
		evict_suspect(quarantine, organisation);
		suspect = g_new0(struct suspect, 1);
		suspect->fingerprint = fingerprint;
		suspect->answered_ms = answered->fingerprint == fingerprint ? answered->at_ms : -1;
		suspect->updated_ms = now_ms;
		TAILQ_INSERT_TAIL(&quarantine->suspects, suspect, link);
		g_hash_table_insert(quarantine->by_fingerprint, &suspect->fingerprint, suspect);
	}
	if (!*suspect->organisation)
		g_strlcpy(suspect->organisation, organisation, CW_NAME_MAX);
	if (!*suspect->target)
		g_strlcpy(suspect->target, target, CW_NAME_MAX);
	return suspect;
}

void suspect_remove(struct cw_quarantine *quarantine, struct suspect *suspect)
{
	if (suspect->quarantined_ms)
		quarantine->quarantined_count--;
	g_hash_table_remove(quarantine->by_fingerprint, &suspect->fingerprint);
	TAILQ_REMOVE(&quarantine->suspects, suspect, link);
	g_free(suspect);
}

int suspect_add_crash(struct cw_quarantine *quarantine, struct suspect *suspect,
		      const struct crash *crash, int64_t now_ms)
{
	struct crash observed = *crash;
	struct crash *known;
	size_t at;

	observed.outage = outage_find_or_add(quarantine, crash, now_ms);
	if (!observed.outage)
		return 0;
	if (!outage_covers(quarantine, &observed)) {
		outage_add_break(quarantine, &observed, now_ms);
		return 0;
	}
	observed.is_confirmed = outage_is_confirmed(quarantine, observed.outage);
	known = suspect_find_crash(suspect, observed.outage);
	/* Of several copies of the request, keep the one with the shortest run. */
	if (known) {
		if (!outage_covers(quarantine, known) || known->ran_ms > observed.ran_ms)
			*known = observed;
		return 0;
	}
	/* Peers still announce crashes that were dropped here for space. */
	if (suspect->crash_count == CRASHES_KEPT && crash->at_ms <= suspect->crashes[0].at_ms)
		return 0;
	if (suspect->crash_count == CRASHES_KEPT)
		memmove(suspect->crashes, suspect->crashes + 1,
			--suspect->crash_count * sizeof(suspect->crashes[0]));
	at = suspect->crash_count++;
	for (; at > 0 && suspect->crashes[at - 1].at_ms > crash->at_ms; at--)
		suspect->crashes[at] = suspect->crashes[at - 1];
	suspect->crashes[at] = observed;
	outage_add_break(quarantine, &observed, now_ms);
	suspect->crashes_seen++;
	suspect->updated_ms = now_ms;
	quarantine->is_dirty = 1;
	return 1;
}

int suspect_is_announced(const struct suspect *suspect)
{
	return suspect->is_committed || suspect->released_ms != 0;
}

int suspect_remove_crash(struct suspect *suspect, uint32_t outage)
{
	struct crash *crash = suspect_find_crash(suspect, outage);

	if (!crash)
		return 0;
	suspect->crash_count--;
	suspect->crashes_seen--;
	memmove(crash, crash + 1,
		(size_t)(suspect->crashes + suspect->crash_count - crash) * sizeof(*crash));
	return 1;
}

/*
 * A poison request is never answered completely, so all crashes before a complete answer have other
 * causes.
 */
void suspect_note_answer(struct cw_quarantine *quarantine, struct suspect *suspect, int64_t at_ms,
			 int64_t now_ms)
{
	if (at_ms <= suspect->answered_ms)
		return;
	suspect->answered_ms = at_ms;
	suspect->updated_ms = now_ms;
	quarantine->is_dirty = 1;
	if (suspect->quarantined_ms &&
	    (at_ms > suspect->quarantined_ms || is_cleared_by_answer(suspect)))
		suspect_release(quarantine, suspect, CW_QUARANTINE_ANSWER, now_ms);
}

void suspect_quarantine(struct cw_quarantine *quarantine, struct suspect *suspect,
			enum cw_quarantine_source source, int64_t since_ms, int64_t now_ms)
{
	if (suspect->quarantined_ms)
		return;
	suspect->quarantined_ms = MAX(since_ms, 1);
	suspect->is_ambiguous = suspect->is_superseded = suspect->is_reviewed = 0;
	suspect->trial_ms = 0;
	suspect->released_ms = 0;
	suspect->is_committed = source != CW_QUARANTINE_OWN;
	suspect->changed_ms = now_ms;
	suspect->is_short = source == CW_QUARANTINE_OWN && suspect->answered_ms >= 0;
	suspect->is_written = source == CW_QUARANTINE_STORE;
	quarantine->quarantined_count++;
	limit_quarantined(quarantine, suspect, now_ms);
	queue_change(quarantine, suspect, source, now_ms);
}

void suspect_withdraw(struct cw_quarantine *quarantine, struct suspect *suspect, int64_t now_ms)
{
	suspect->quarantined_ms = 0;
	suspect->is_short = 0;
	quarantine->quarantined_count--;
	queue_change(quarantine, suspect, CW_QUARANTINE_OWN, now_ms);
}

/*
 * Clears the request of its crashes. One instance writes the release to the shared store, if the
 * quarantine is stored there.
 */
void suspect_release(struct cw_quarantine *quarantine, struct suspect *suspect,
		     enum cw_quarantine_source source, int64_t now_ms)
{
	if (!suspect->quarantined_ms)
		return;
	suspect->quarantined_ms = 0;
	suspect->released_ms = suspect->is_committed ? now_ms : 0;
	suspect->changed_ms = now_ms;
	suspect->is_written = !suspect->is_committed || source == CW_QUARANTINE_STORE;
	suspect->is_committed = suspect->is_short = 0;
	suspect->answered_ms = MAX(suspect->answered_ms, now_ms);
	suspect->updated_ms = now_ms;
	quarantine->quarantined_count--;
	queue_change(quarantine, suspect, source, now_ms);
}

void suspect_fill_record(const struct suspect *suspect, int64_t now_ms,
			 struct cw_quarantine_record *record)
{
	int64_t since_ms = suspect->quarantined_ms ? suspect->quarantined_ms
			   : suspect->released_ms  ? suspect->released_ms
						   : now_ms;

	memset(record, 0, sizeof(*record));
	record->fingerprint = suspect->fingerprint;
	g_strlcpy(record->organisation, suspect->organisation, CW_NAME_MAX);
	g_strlcpy(record->target, suspect->target, CW_NAME_MAX);
	record->crash_count = suspect->crashes_seen;
	record->age_ms = (uint32_t)CLAMP(now_ms - since_ms, 0, QUARANTINE_MS);
	record->is_released = !suspect->quarantined_ms;
	record->is_written = suspect->is_written;
}

/* At this instance, or at another one where the run ended in a crash. */
static int was_tried_lately(const struct suspect *suspect, int64_t now_ms)
{
	if (suspect->trial_ms && now_ms - suspect->trial_ms < TRIAL_GAP_MS)
		return 1;
	for (size_t i = 0; i < suspect->crash_count; i++)
		if (suspect->crashes[i].at_ms - suspect->crashes[i].ran_ms >
			    suspect->quarantined_ms &&
		    now_ms - suspect->crashes[i].at_ms < TRIAL_GAP_MS)
			return 1;
	return 0;
}

/*
 * An answer is verified after FINISHED_MS, and crashes may quarantine its request meanwhile. Of the
 * crashes that did, too few are left then.
 */
static int is_cleared_by_answer(const struct suspect *suspect)
{
	size_t later = 0;

	for (size_t i = 0; i < suspect->crash_count; i++)
		later += suspect->crashes[i].at_ms > suspect->answered_ms;
	return later < suspect->crash_count && later < CRASHES_TO_QUARANTINE;
}

static void evict_suspect(struct cw_quarantine *quarantine, const char *organisation)
{
	const struct suspect *suspect;
	struct suspect *least_likely = NULL;
	size_t own = 0;
	size_t all = 0;

	TAILQ_FOREACH(suspect, &quarantine->suspects, link) {
		all++;
		own += !strcmp(suspect->organisation, organisation);
	}
	/* Peers do not always report the organisation of a request. */
	if (*organisation && own >= SUSPECTS_PER_ORGANISATION_MAX)
		least_likely = find_least_likely(quarantine, organisation);
	else if (all >= SUSPECTS_MAX)
		least_likely = find_least_likely(quarantine, NULL);
	if (least_likely)
		suspect_remove(quarantine, least_likely);
}

/*
 * Considers one organisation, or all if organisation is NULL. Returns NULL if all candidates are
 * quarantined.
 */
static struct suspect *find_least_likely(struct cw_quarantine *quarantine, const char *organisation)
{
	struct suspect *least_likely = NULL;
	struct suspect *suspect;

	TAILQ_FOREACH(suspect, &quarantine->suspects, link) {
		if (suspect->quarantined_ms ||
		    (organisation && strcmp(suspect->organisation, organisation) != 0))
			continue;
		if (!least_likely || is_less_likely(suspect, least_likely))
			least_likely = suspect;
	}
	return least_likely;
}

/* Whether `one` is less likely than `other` to be a poison request. */
static int is_less_likely(const struct suspect *one, const struct suspect *other)
{
	int is_known = one->answered_ms >= 0;
	int is_other_known = other->answered_ms >= 0;

	if (is_known != is_other_known)
		return is_known;
	if (one->crash_count != other->crash_count)
		return one->crash_count < other->crash_count;
	return one->updated_ms < other->updated_ms;
}

/*
 * One organisation with many poison requests must not displace the quarantined requests of others.
 */
static void limit_quarantined(struct cw_quarantine *quarantine, const struct suspect *newest,
			      int64_t now_ms)
{
	struct suspect *oldest_own = NULL;
	struct suspect *oldest = NULL;
	struct suspect *suspect;
	size_t own = 0;

	TAILQ_FOREACH(suspect, &quarantine->suspects, link) {
		if (!suspect->quarantined_ms || suspect == newest)
			continue;
		if (!oldest || suspect->quarantined_ms < oldest->quarantined_ms)
			oldest = suspect;
		if (strcmp(suspect->organisation, newest->organisation) != 0)
			continue;
		own++;
		if (!oldest_own || suspect->quarantined_ms < oldest_own->quarantined_ms)
			oldest_own = suspect;
	}
	if (own >= QUARANTINED_PER_ORGANISATION_MAX)
		suspect_release(quarantine, oldest_own, CW_QUARANTINE_EXPIRED, now_ms);
	else if (quarantine->quarantined_count > CW_QUARANTINE_MAX && oldest)
		suspect_release(quarantine, oldest, CW_QUARANTINE_EXPIRED, now_ms);
}

/* Drops the oldest change when the queue is full; the quarantine list itself stays correct. */
static void queue_change(struct cw_quarantine *quarantine, const struct suspect *suspect,
			 enum cw_quarantine_source source, int64_t now_ms)
{
	struct cw_quarantine_change *change;

	if (quarantine->change_count == CHANGES_KEPT) {
		quarantine->change_first++;
		quarantine->change_count--;
	}
	change = &quarantine->changes[(quarantine->change_first + quarantine->change_count++) %
				      CHANGES_KEPT];
	suspect_fill_record(suspect, now_ms, &change->record);
	change->source = source;
	change->alternatives = suspect->alternatives;
	change->outage_count = suspect->crash_count;
	for (size_t i = 0; i < suspect->crash_count; i++)
		change->outages[i] = suspect->crashes[i].outage;
}

static int has_expired(const struct suspect *suspect, int64_t now_ms)
{
	if (suspect->quarantined_ms)
		return now_ms - suspect->quarantined_ms >=
		       (suspect->is_short ? SHORT_QUARANTINE_MS : QUARANTINE_MS);
	if (suspect->released_ms)
		return now_ms - suspect->released_ms >= TOMBSTONE_MS;
	return now_ms - suspect->updated_ms >= EVIDENCE_MS;
}
