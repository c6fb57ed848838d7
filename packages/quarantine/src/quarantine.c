#include "quarantine_internal.h"
#include "cw_hash.h"

#include <string.h>

static int ended_held(const struct suspect *suspect);
static void prove_answers(struct cw_quarantine *quarantine, int64_t now_ms);
static void make_room(struct cw_quarantine *quarantine, const char *organisation);
static struct suspect *least_suspect(struct cw_quarantine *quarantine, const char *organisation);
static int is_less(const struct suspect *one, const struct suspect *other);
static void limit_held(struct cw_quarantine *quarantine, const struct suspect *newest,
		       int64_t now_ms);
static void tell_change(struct cw_quarantine *quarantine, const struct suspect *suspect,
			enum cw_quarantine_source source, int64_t now_ms);
static int has_aged(const struct suspect *suspect, int64_t now_ms);

struct cw_quarantine *cw_quarantine_create(void)
{
	struct cw_quarantine *quarantine = g_new0(struct cw_quarantine, 1);

	TAILQ_INIT(&quarantine->suspects);
	quarantine->by_fingerprint = g_hash_table_new(g_int64_hash, g_int64_equal);
	return quarantine;
}

void cw_quarantine_destroy(struct cw_quarantine *quarantine)
{
	struct suspect *suspect;

	if (!quarantine)
		return;
	while ((suspect = TAILQ_FIRST(&quarantine->suspects)))
		suspect_forget(quarantine, suspect);
	g_hash_table_destroy(quarantine->by_fingerprint);
	g_free(quarantine);
}

int cw_quarantine_holds(const struct cw_quarantine *quarantine, uint64_t fingerprint)
{
	const struct suspect *suspect;

	if (quarantine->held == 0)
		return 0;
	suspect = suspect_find(quarantine, fingerprint);
	return suspect && suspect->held_ms != 0;
}

int cw_quarantine_wants_trial(const struct cw_quarantine *quarantine, uint64_t fingerprint,
			      int64_t now_ms)
{
	const struct suspect *suspect = suspect_find(quarantine, fingerprint);

	if (!suspect || !suspect->held_ms || !suspect->is_doubtful || ended_held(suspect))
		return 0;
	return !suspect->trial_ms || now_ms - suspect->trial_ms >= TRIAL_GAP_MS;
}

void cw_quarantine_try(struct cw_quarantine *quarantine, uint64_t fingerprint, int64_t now_ms)
{
	struct suspect *suspect = suspect_find(quarantine, fingerprint);

	if (suspect)
		suspect->trial_ms = now_ms;
}

void cw_quarantine_broke(struct cw_quarantine *quarantine,
			 const struct cw_quarantine_request *request, uint64_t server,
			 int64_t ran_ms, int is_running, int64_t now_ms)
{
	struct end end = {
		.server = server, .at_ms = now_ms, .ran_ms = ran_ms, .is_running = is_running};
	struct suspect *suspect = suspect_learn(quarantine, request->fingerprint,
						request->organisation, request->target, now_ms);

	if (!suspect_add_end(quarantine, suspect, &end, now_ms))
		return;
	quarantine_note_left(quarantine, server, now_ms, now_ms);
	if (suspect->end_count >= ENDS_TO_HOLD)
		quarantine_judge(quarantine, now_ms);
}

void cw_quarantine_left(struct cw_quarantine *quarantine, uint64_t fingerprint, uint64_t server,
			int64_t ran_ms, int64_t now_ms)
{
	struct left left = {.fingerprint = fingerprint,
			    .server = server,
			    .sent_ms = now_ms - ran_ms,
			    .left_ms = now_ms};

	quarantine->left[quarantine->left_next++ % LEFT_KEPT] = left;
}

/*
 * A short answer may be whole before its server ends under it. So it speaks for the request only
 * once the server has gone on for a while.
 */
void cw_quarantine_answered(struct cw_quarantine *quarantine, uint64_t fingerprint, uint64_t server,
			    int64_t ran_ms, int64_t now_ms)
{
	cw_quarantine_left(quarantine, fingerprint, server, ran_ms, now_ms);
	quarantine->left[(quarantine->left_next - 1) % LEFT_KEPT].is_answered = 1;
}

/*
 * The end of a server says nothing against its version when a request that is held was there: a
 * good version, on trial on few servers, was taken back for it. A request that is not held yet may
 * have met three servers of a bad version.
 */
int cw_quarantine_doubts(const struct cw_quarantine *quarantine, uint64_t server, int64_t now_ms)
{
	const struct suspect *suspect;

	TAILQ_FOREACH(suspect, &quarantine->suspects, link)
		for (size_t i = 0; suspect->held_ms && i < suspect->end_count; i++)
			if (suspect->ends[i].server == server &&
			    now_ms - suspect->ends[i].at_ms < OUTAGE_MS)
				return 1;
	return 0;
}

void cw_quarantine_tick(struct cw_quarantine *quarantine, int64_t now_ms)
{
	struct suspect *suspect;

	if (now_ms - quarantine->tick_ms > STALL_MS)
		quarantine->stalled_until_ms = now_ms + STALL_MS;
	quarantine->tick_ms = now_ms;
	prove_answers(quarantine, now_ms);
	if (quarantine->is_dirty)
		quarantine_judge(quarantine, now_ms);
	suspect = TAILQ_FIRST(&quarantine->suspects);
	while (suspect) {
		struct suspect *next = TAILQ_NEXT(suspect, link);

		if (suspect->held_ms && !suspect->is_brief &&
		    now_ms - suspect->held_ms >= (suspect->is_clear ? FIRM_MS : FIRM_UNCLEAR_MS) &&
		    !suspect->is_firm) {
			suspect->is_firm = 1;
			suspect->changed_ms = now_ms;
			quarantine->is_dirty = 1;
		}
		if (suspect->held_ms && has_aged(suspect, now_ms))
			suspect_release(quarantine, suspect, CW_QUARANTINE_TIME, now_ms);
		else if (!suspect->held_ms && has_aged(suspect, now_ms))
			suspect_forget(quarantine, suspect);
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
		if (suspect->held_ms && count < max)
			suspect_record(suspect, now_ms, &records[count++]);
	return count;
}

int cw_quarantine_release(struct cw_quarantine *quarantine, uint64_t fingerprint, int64_t now_ms)
{
	struct suspect *suspect = suspect_find(quarantine, fingerprint);

	if (!suspect || !suspect->held_ms)
		return 0;
	suspect_release(quarantine, suspect, CW_QUARANTINE_OPERATOR, now_ms);
	return 1;
}

const char *cw_quarantine_source_name(enum cw_quarantine_source source)
{
	static const char *const names[] = {
		[CW_QUARANTINE_OWN] = "own",	   [CW_QUARANTINE_PEER] = "peer",
		[CW_QUARANTINE_STORE] = "store",   [CW_QUARANTINE_OPERATOR] = "operator",
		[CW_QUARANTINE_ANSWER] = "answer", [CW_QUARANTINE_TIME] = "time",
	};

	return names[source];
}

struct suspect *suspect_find(const struct cw_quarantine *quarantine, uint64_t fingerprint)
{
	return g_hash_table_lookup(quarantine->by_fingerprint, &fingerprint);
}

struct suspect *suspect_learn(struct cw_quarantine *quarantine, uint64_t fingerprint,
			      const char *organisation, const char *target, int64_t now_ms)
{
	const struct good *good = &quarantine->good[fingerprint % GOOD_SLOTS];
	struct suspect *suspect = suspect_find(quarantine, fingerprint);

	if (!suspect) {
		make_room(quarantine, organisation);
		suspect = g_new0(struct suspect, 1);
		suspect->fingerprint = fingerprint;
		suspect->answered_ms = good->fingerprint == fingerprint ? good->at_ms : -1;
		suspect->news_ms = now_ms;
		TAILQ_INSERT_TAIL(&quarantine->suspects, suspect, link);
		g_hash_table_insert(quarantine->by_fingerprint, &suspect->fingerprint, suspect);
	}
	if (!*suspect->organisation)
		g_strlcpy(suspect->organisation, organisation, CW_NAME_MAX);
	if (!*suspect->target)
		g_strlcpy(suspect->target, target, CW_NAME_MAX);
	return suspect;
}

void suspect_forget(struct cw_quarantine *quarantine, struct suspect *suspect)
{
	if (suspect->held_ms)
		quarantine->held--;
	g_hash_table_remove(quarantine->by_fingerprint, &suspect->fingerprint);
	TAILQ_REMOVE(&quarantine->suspects, suspect, link);
	g_free(suspect);
}

int suspect_add_end(struct cw_quarantine *quarantine, struct suspect *suspect,
		    const struct end *end, int64_t now_ms)
{
	struct end noted = *end;
	struct end *known;
	size_t at;

	noted.outage = outage_note(quarantine, end);
	if (!noted.outage)
		return 0;
	if (!outage_met(quarantine, &noted)) {
		outage_broke(quarantine, &noted);
		return 0;
	}
	noted.is_confirmed = outage_is_confirmed(quarantine, noted.outage);
	known = suspect_end_in(suspect, noted.outage);
	/* Of several copies, the one that had just come. */
	if (known) {
		if (!outage_met(quarantine, known) || known->ran_ms > noted.ran_ms)
			*known = noted;
		return 0;
	}
	/* Peers still tell of what was dropped here. */
	if (suspect->end_count == ENDS_KEPT && end->at_ms <= suspect->ends[0].at_ms)
		return 0;
	if (suspect->end_count == ENDS_KEPT)
		memmove(suspect->ends, suspect->ends + 1,
			--suspect->end_count * sizeof(suspect->ends[0]));
	at = suspect->end_count++;
	for (; at > 0 && suspect->ends[at - 1].at_ms > end->at_ms; at--)
		suspect->ends[at] = suspect->ends[at - 1];
	suspect->ends[at] = noted;
	outage_broke(quarantine, &noted);
	suspect->ends_seen++;
	suspect->news_ms = now_ms;
	quarantine->is_dirty = 1;
	return 1;
}

int suspect_is_listed(const struct suspect *suspect)
{
	return suspect->is_firm || suspect->released_ms != 0;
}

int suspect_drop_end(struct suspect *suspect, uint32_t outage)
{
	struct end *end = suspect_end_in(suspect, outage);

	if (!end)
		return 0;
	suspect->end_count--;
	suspect->ends_seen--;
	memmove(end, end + 1, (size_t)(suspect->ends + suspect->end_count - end) * sizeof(*end));
	return 1;
}

/* What ends each server that runs it is never answered whole: all ends before that are others'. */
void suspect_answered(struct cw_quarantine *quarantine, struct suspect *suspect, int64_t at_ms,
		      int64_t now_ms)
{
	if (at_ms <= suspect->answered_ms)
		return;
	suspect->answered_ms = at_ms;
	suspect->news_ms = now_ms;
	quarantine->is_dirty = 1;
	if (suspect->held_ms && at_ms > suspect->held_ms)
		suspect_release(quarantine, suspect, CW_QUARANTINE_ANSWER, now_ms);
}

void suspect_hold(struct cw_quarantine *quarantine, struct suspect *suspect,
		  enum cw_quarantine_source source, int64_t since_ms, int64_t now_ms)
{
	if (suspect->held_ms)
		return;
	suspect->held_ms = MAX(since_ms, 1);
	suspect->is_doubtful = suspect->is_outdone = 0;
	suspect->trial_ms = 0;
	suspect->released_ms = 0;
	suspect->is_firm = source != CW_QUARANTINE_OWN;
	suspect->changed_ms = now_ms;
	suspect->is_brief = source == CW_QUARANTINE_OWN && suspect->answered_ms >= 0;
	suspect->is_written = source == CW_QUARANTINE_STORE;
	quarantine->held++;
	limit_held(quarantine, suspect, now_ms);
	tell_change(quarantine, suspect, source, now_ms);
}

void suspect_withdraw(struct cw_quarantine *quarantine, struct suspect *suspect, int64_t now_ms)
{
	suspect->held_ms = 0;
	suspect->is_brief = 0;
	quarantine->held--;
	tell_change(quarantine, suspect, CW_QUARANTINE_OWN, now_ms);
}

/* Its ends don't count any more. The store, where it stands there, is told by one instance. */
void suspect_release(struct cw_quarantine *quarantine, struct suspect *suspect,
		     enum cw_quarantine_source source, int64_t now_ms)
{
	if (!suspect->held_ms)
		return;
	suspect->held_ms = 0;
	suspect->released_ms = suspect->is_firm ? now_ms : 0;
	suspect->changed_ms = now_ms;
	suspect->is_written = !suspect->is_firm || source == CW_QUARANTINE_STORE;
	suspect->is_firm = suspect->is_brief = 0;
	suspect->answered_ms = MAX(suspect->answered_ms, now_ms);
	suspect->news_ms = now_ms;
	quarantine->held--;
	tell_change(quarantine, suspect, source, now_ms);
}

void suspect_record(const struct suspect *suspect, int64_t now_ms,
		    struct cw_quarantine_record *record)
{
	int64_t since_ms = suspect->held_ms	  ? suspect->held_ms
			   : suspect->released_ms ? suspect->released_ms
						  : now_ms;

	memset(record, 0, sizeof(*record));
	record->fingerprint = suspect->fingerprint;
	g_strlcpy(record->organisation, suspect->organisation, CW_NAME_MAX);
	g_strlcpy(record->target, suspect->target, CW_NAME_MAX);
	record->ends = suspect->ends_seen;
	record->age_ms = (uint32_t)CLAMP(now_ms - since_ms, 0, HOLD_MS);
	record->is_released = !suspect->held_ms;
	record->is_written = suspect->is_written;
}

/*
 * A small model's answer may be dropped for a larger one's just after it began, and its server end
 * a moment later: the request was there all the same.
 */
void quarantine_note_left(struct cw_quarantine *quarantine, uint64_t server, int64_t at_ms,
			  int64_t now_ms)
{
	for (size_t i = 0; i < LEFT_KEPT; i++) {
		struct left *left = &quarantine->left[i];
		struct end end = {
			.server = server, .at_ms = at_ms, .ran_ms = at_ms - left->sent_ms};

		if (left->server != server || !left->left_ms || left->left_ms > at_ms ||
		    at_ms - left->left_ms > LEFT_MS)
			continue;
		left->is_answered = 0;
		suspect_add_end(quarantine,
				suspect_learn(quarantine, left->fingerprint, "", "", now_ms), &end,
				now_ms);
	}
}

/* A run that began while it was held, a trial anywhere, ended its server: it is guilty. */
static int ended_held(const struct suspect *suspect)
{
	for (size_t i = 0; i < suspect->end_count; i++)
		if (suspect->ends[i].at_ms - suspect->ends[i].ran_ms > suspect->held_ms)
			return 1;
	return 0;
}

/* What was answered whole by a server that has gone on since. */
static void prove_answers(struct cw_quarantine *quarantine, int64_t now_ms)
{
	if (quarantine->left_next - quarantine->left_proved > LEFT_KEPT)
		quarantine->left_proved = quarantine->left_next - LEFT_KEPT;
	while (quarantine->left_proved < quarantine->left_next) {
		const struct left *left = &quarantine->left[quarantine->left_proved % LEFT_KEPT];
		struct good *good = &quarantine->good[left->fingerprint % GOOD_SLOTS];
		struct suspect *suspect;

		if (now_ms - left->left_ms < LEFT_MS)
			return;
		quarantine->left_proved++;
		if (!left->is_answered)
			continue;
		good->fingerprint = left->fingerprint;
		good->at_ms = left->left_ms;
		suspect = suspect_find(quarantine, left->fingerprint);
		if (suspect)
			suspect_answered(quarantine, suspect, left->left_ms, now_ms);
	}
}

static void make_room(struct cw_quarantine *quarantine, const char *organisation)
{
	const struct suspect *suspect;
	struct suspect *least = NULL;
	size_t own = 0;
	size_t all = 0;

	TAILQ_FOREACH(suspect, &quarantine->suspects, link) {
		all++;
		own += !strcmp(suspect->organisation, organisation);
	}
	/* Peers don't always tell whose a request is. */
	if (*organisation && own >= SUSPECTS_ONE_MAX)
		least = least_suspect(quarantine, organisation);
	else if (all >= SUSPECTS_MAX)
		least = least_suspect(quarantine, NULL);
	if (least)
		suspect_forget(quarantine, least);
}

/* Of one organisation, NULL: of all; NULL: all of them are held. */
static struct suspect *least_suspect(struct cw_quarantine *quarantine, const char *organisation)
{
	struct suspect *least = NULL;
	struct suspect *suspect;

	TAILQ_FOREACH(suspect, &quarantine->suspects, link) {
		if (suspect->held_ms ||
		    (organisation && strcmp(suspect->organisation, organisation) != 0))
			continue;
		if (!least || is_less(suspect, least))
			least = suspect;
	}
	return least;
}

/* Is it the less likely one? */
static int is_less(const struct suspect *one, const struct suspect *other)
{
	int is_known = one->answered_ms >= 0;
	int is_other_known = other->answered_ms >= 0;

	if (is_known != is_other_known)
		return is_known;
	if (one->end_count != other->end_count)
		return one->end_count < other->end_count;
	return one->news_ms < other->news_ms;
}

/* One caller with many such requests must not drive the others' off the list. */
static void limit_held(struct cw_quarantine *quarantine, const struct suspect *newest,
		       int64_t now_ms)
{
	struct suspect *oldest_own = NULL;
	struct suspect *oldest = NULL;
	struct suspect *suspect;
	size_t own = 0;

	TAILQ_FOREACH(suspect, &quarantine->suspects, link) {
		if (!suspect->held_ms || suspect == newest)
			continue;
		if (!oldest || suspect->held_ms < oldest->held_ms)
			oldest = suspect;
		if (strcmp(suspect->organisation, newest->organisation) != 0)
			continue;
		own++;
		if (!oldest_own || suspect->held_ms < oldest_own->held_ms)
			oldest_own = suspect;
	}
	if (own >= HELD_ONE_MAX)
		suspect_release(quarantine, oldest_own, CW_QUARANTINE_TIME, now_ms);
	else if (quarantine->held > CW_QUARANTINE_HELD && oldest)
		suspect_release(quarantine, oldest, CW_QUARANTINE_TIME, now_ms);
}

/* Dropped when nobody takes them: the list itself is right all the same. */
static void tell_change(struct cw_quarantine *quarantine, const struct suspect *suspect,
			enum cw_quarantine_source source, int64_t now_ms)
{
	struct cw_quarantine_change *change;

	if (quarantine->change_count == CHANGES_KEPT) {
		quarantine->change_first++;
		quarantine->change_count--;
	}
	change = &quarantine->changes[(quarantine->change_first + quarantine->change_count++) %
				      CHANGES_KEPT];
	suspect_record(suspect, now_ms, &change->record);
	change->source = source;
	change->rivals = suspect->rivals;
}

static int has_aged(const struct suspect *suspect, int64_t now_ms)
{
	if (suspect->held_ms)
		return now_ms - suspect->held_ms >= (suspect->is_brief ? BRIEF_HOLD_MS : HOLD_MS);
	if (suspect->released_ms)
		return now_ms - suspect->released_ms >= RELEASED_MS;
	return now_ms - suspect->news_ms >= EVIDENCE_MS;
}
