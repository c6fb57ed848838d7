/*
 * Finds the request that crashed a server. Every request that was running on the server is a
 * suspect of the crash, and most of them are harmless; the poison request took part in more crashes
 * than any other. So the suspect with the most crashes is charged with all of them, and the others
 * are judged by the crashes that remain: of a hundred requests running on a crashed server, one is
 * quarantined and ninety-nine are not.
 */
#include "quarantine_internal.h"

static int64_t unsettled_since_ms(const struct cw_quarantine *quarantine, int64_t now_ms);
static int stands(const struct cw_quarantine *quarantine, const struct suspect *suspect,
		  int64_t now_ms);
static void mark_doubtful(struct cw_quarantine *quarantine, int64_t now_ms);
static int is_superseded(const struct cw_quarantine *quarantine, const struct suspect *suspect,
			 int64_t now_ms);
static size_t count_crashes_without(const struct cw_quarantine *quarantine,
				    const struct suspect *other, const struct suspect *suspect,
				    int64_t since_ms, int64_t now_ms);
static void find_culprits(struct cw_quarantine *quarantine, int64_t now_ms);
static size_t count_superseded(const struct cw_quarantine *quarantine);
static void add_tied_culprits(struct cw_quarantine *quarantine, const struct suspect *culprit,
			      size_t count, int64_t now_ms);
static struct suspect *find_tied(const struct cw_quarantine *quarantine,
				 const struct suspect *culprit, int64_t now_ms);
static struct suspect *find_likeliest(struct cw_quarantine *quarantine, int64_t now_ms);
static int is_likelier(const struct suspect *suspect, size_t count, const struct suspect *likeliest,
		       size_t likeliest_count);
static size_t count_unexplained(const struct cw_quarantine *quarantine,
				const struct suspect *suspect, int64_t now_ms);
static int is_evidence(const struct cw_quarantine *quarantine, const struct suspect *suspect,
		       const struct crash *crash, int64_t now_ms);
static int is_explained(const struct cw_quarantine *quarantine, const struct crash *crash);
static int64_t mean_ran_ms(const struct suspect *suspect);
static unsigned int count_alternatives(const struct cw_quarantine *quarantine,
				       struct suspect *suspect, int64_t now_ms);
static size_t count_evidence(const struct cw_quarantine *quarantine, const struct suspect *suspect,
			     int64_t now_ms);
static size_t count_shared(const struct cw_quarantine *quarantine, const struct suspect *suspect,
			   const struct suspect *other, int64_t now_ms, size_t *own);
static int are_reports_settled(const struct cw_quarantine *quarantine,
			       const struct suspect *suspect, int64_t now_ms);

/*
 * Judges from scratch each time, except for decisions that stand. An instance learns of a crash
 * from its own requests first, so a harmless request may have the most crashes until the reports of
 * the peers have arrived.
 *
 * Symptom this prevents: a poison request was released whenever a server crashed for another
 * reason. It can't take part in further crashes while it is quarantined, and the harmless requests
 * can, so their crash counts exceed its own. So a later crash quarantines another request as well
 * at most, and a trial run tells which of the two is harmless.
 */
void quarantine_judge(struct cw_quarantine *quarantine, int64_t now_ms)
{
	struct suspect *suspect;

	quarantine->is_dirty = 0;
	quarantine->judged_until_ms = unsettled_since_ms(quarantine, now_ms);
	if (quarantine->judged_until_ms < INT64_MAX)
		quarantine->is_dirty = 1;
	mark_doubtful(quarantine, now_ms);
	TAILQ_FOREACH(suspect, &quarantine->suspects, link)
		suspect->is_culprit =
			suspect->quarantined_ms && stands(quarantine, suspect, now_ms);
	TAILQ_FOREACH(suspect, &quarantine->suspects, link)
		if (suspect->is_culprit && !suspect->is_committed)
			suspect->alternatives = count_alternatives(quarantine, suspect, now_ms);
	find_culprits(quarantine, now_ms);
	TAILQ_FOREACH(suspect, &quarantine->suspects, link) {
		if (suspect->is_culprit && !suspect->quarantined_ms)
			suspect_quarantine(quarantine, suspect, CW_QUARANTINE_OWN, now_ms, now_ms);
		else if (!suspect->is_culprit && suspect->quarantined_ms)
			suspect_withdraw(quarantine, suspect, now_ms);
	}
	quarantine->judged_until_ms = INT64_MAX;
}

/*
 * Whether a quarantined request may be in the place of another one. The other one is in quarantine
 * too, so no crash will tell them apart. The likelier one waits longer for its trial: if the first
 * trial ends with an answer, no other is needed.
 */
int suspect_is_doubtful(const struct cw_quarantine *quarantine, const struct suspect *suspect,
			int64_t now_ms)
{
	const struct suspect *other;
	size_t own = count_evidence(quarantine, suspect, now_ms);
	int is_likeliest = 1;
	size_t left = 0;

	for (size_t i = 0; i < suspect->crash_count; i++) {
		const struct crash *crash = &suspect->crashes[i];
		int is_shared = 0;

		if (!is_evidence(quarantine, suspect, crash, now_ms))
			continue;
		TAILQ_FOREACH(other, &quarantine->suspects, link) {
			if (other == suspect || !other->quarantined_ms ||
			    !suspect_find_crash(other, crash->outage))
				continue;
			is_shared = 1;
			is_likeliest &= own > count_evidence(quarantine, other, now_ms);
		}
		left += !is_shared && !crash->is_late;
	}
	return left < CRASHES_TO_QUARANTINE && left < own &&
	       now_ms - suspect->quarantined_ms >=
		       (is_likeliest ? LIKELIER_TRIAL_MS : TRIAL_WAIT_MS);
}

/*
 * Whether another suspect took part in all crashes of `suspect`, long enough after the decision for
 * the harmless ones to have been answered.
 */
int suspect_is_covered(const struct cw_quarantine *quarantine, const struct suspect *suspect,
		       int64_t now_ms)
{
	const struct suspect *other;

	if (now_ms - suspect->quarantined_ms < LIKELIER_TRIAL_MS)
		return 0;
	TAILQ_FOREACH(other, &quarantine->suspects, link) {
		size_t own;
		size_t shared;

		if (other == suspect || other->crash_count < CRASHES_TO_QUARANTINE)
			continue;
		shared = count_shared(quarantine, suspect, other, now_ms, &own);
		if (own > 0 && shared == own)
			return 1;
	}
	return 0;
}

/*
 * A run that began during the quarantine, as a trial or at an instance that had not learned of the
 * quarantine, crashed its server, which proves a poison request. It proves nothing if the run had
 * ended long before, or if another suspect may have crashed the server.
 */
int suspect_is_proven(const struct cw_quarantine *quarantine, const struct suspect *suspect,
		      int64_t now_ms)
{
	for (size_t i = 0; i < suspect->crash_count; i++) {
		const struct crash *crash = &suspect->crashes[i];
		const struct suspect *other;

		if (crash->is_late || crash->at_ms - crash->ran_ms <= suspect->quarantined_ms)
			continue;
		TAILQ_FOREACH(other, &quarantine->suspects, link) {
			const struct crash *same = suspect_find_crash(other, crash->outage);

			if (other != suspect && same && !same->is_late &&
			    count_evidence(quarantine, other, now_ms) >= CRASHES_TO_QUARANTINE)
				break;
		}
		if (!other)
			return 1;
	}
	return 0;
}

struct crash *suspect_find_crash(const struct suspect *suspect, uint32_t outage)
{
	for (size_t i = 0; i < suspect->crash_count; i++)
		if (suspect->crashes[i].outage == outage)
			return (struct crash *)&suspect->crashes[i];
	return NULL;
}

/* Start of the earliest quarantine that reports still under way may change; INT64_MAX: none. */
static int64_t unsettled_since_ms(const struct cw_quarantine *quarantine, int64_t now_ms)
{
	const struct suspect *suspect;
	int64_t since_ms = INT64_MAX;

	TAILQ_FOREACH(suspect, &quarantine->suspects, link)
		if (suspect->quarantined_ms && !suspect->is_committed && !suspect->is_short &&
		    now_ms - suspect->quarantined_ms < SETTLE_MS)
			since_ms = MIN(since_ms, suspect->quarantined_ms);
	return since_ms;
}

static int stands(const struct cw_quarantine *quarantine, const struct suspect *suspect,
		  int64_t now_ms)
{
	if (suspect->is_committed)
		return 1;
	return !suspect->is_short && now_ms - suspect->quarantined_ms >= SETTLE_MS &&
	       count_evidence(quarantine, suspect, now_ms) >= CRASHES_TO_QUARANTINE;
}

/*
 * Symptom this prevents: a body that all callers send stays quarantined for ten minutes because it
 * took part in the same crashes as the request that caused them. Where two requests crash servers,
 * sharing the crashes does not clear a request either, so an ambiguous request gets a trial run
 * before its release.
 */
static void mark_doubtful(struct cw_quarantine *quarantine, int64_t now_ms)
{
	struct suspect *suspect;

	TAILQ_FOREACH(suspect, &quarantine->suspects, link) {
		if (!suspect->quarantined_ms || suspect->crash_count < CRASHES_TO_QUARANTINE)
			continue;
		suspect->is_superseded = is_superseded(quarantine, suspect, now_ms);
		if (suspect->is_committed)
			suspect->is_ambiguous |= suspect_is_covered(quarantine, suspect, now_ms);
	}
}

/*
 * Whether another suspect explains the crashes of `suspect` better: without the crashes they share
 * `suspect` would not be quarantined, and the other one took part in more crashes during the
 * quarantine than `suspect` did without the other one.
 */
static int is_superseded(const struct cw_quarantine *quarantine, const struct suspect *suspect,
			 int64_t now_ms)
{
	const struct suspect *other;

	if (suspect_is_proven(quarantine, suspect, now_ms))
		return 0;
	TAILQ_FOREACH(other, &quarantine->suspects, link) {
		size_t own;
		size_t shared;
		size_t alone;

		if (other == suspect || other->crash_count < CRASHES_TO_QUARANTINE ||
		    (other->answered_ms >= 0 && suspect->answered_ms < 0))
			continue;
		shared = count_shared(quarantine, suspect, other, now_ms, &own);
		alone = own - shared;
		if (own > 0 && alone < CRASHES_TO_QUARANTINE &&
		    count_crashes_without(quarantine, other, suspect, suspect->quarantined_ms,
					  now_ms) > alone)
			return 1;
	}
	return 0;
}

/* Counts the crashes of `other` later than since_ms that `suspect` took no part in. */
static size_t count_crashes_without(const struct cw_quarantine *quarantine,
				    const struct suspect *other, const struct suspect *suspect,
				    int64_t since_ms, int64_t now_ms)
{
	size_t count = 0;

	for (size_t i = 0; i < other->crash_count; i++)
		count += other->crashes[i].at_ms > since_ms &&
			 is_evidence(quarantine, other, &other->crashes[i], now_ms) &&
			 !suspect_find_crash(suspect, other->crashes[i].outage);
	return count;
}

static void find_culprits(struct cw_quarantine *quarantine, int64_t now_ms)
{
	size_t superseded = count_superseded(quarantine);
	struct suspect *suspect;

	while ((suspect = find_likeliest(quarantine, now_ms))) {
		suspect->alternatives = count_alternatives(quarantine, suspect, now_ms);
		/* Each delay may cost a server; a wrong decision is withdrawn just as fast. */
		if (!suspect->is_sole_candidate &&
		    !are_reports_settled(quarantine, suspect, now_ms)) {
			quarantine->is_dirty = 1;
			return;
		}
		suspect->is_culprit = 1;
		if (superseded > 1)
			add_tied_culprits(quarantine, suspect, superseded - 1, now_ms);
	}
}

static size_t count_superseded(const struct cw_quarantine *quarantine)
{
	const struct suspect *suspect;
	size_t count = 0;

	TAILQ_FOREACH(suspect, &quarantine->suspects, link)
		count += suspect->is_culprit && suspect->is_superseded;
	return count;
}

/*
 * Load pattern: forty callers send eleven harmless bodies, and all of them run at nearly every
 * crash that a poison request causes. Quarantined one by one, they cost two servers each until the
 * poison request's turn. So each time all requests quarantined so far turn out to be others, as
 * many further ones are quarantined. The harmless ones are released by their trials.
 */
static void add_tied_culprits(struct cw_quarantine *quarantine, const struct suspect *culprit,
			      size_t count, int64_t now_ms)
{
	struct suspect *tied;

	while (count-- > 0 && (tied = find_tied(quarantine, culprit, now_ms)))
		tied->is_culprit = 1;
}

/* Of the requests that took part in the same crashes, the one with the most. NULL: none is left. */
static struct suspect *find_tied(const struct cw_quarantine *quarantine,
				 const struct suspect *culprit, int64_t now_ms)
{
	struct suspect *tied = NULL;
	struct suspect *other;
	size_t tied_count = 0;

	TAILQ_FOREACH(other, &quarantine->suspects, link) {
		size_t count;
		size_t own;

		if (other->is_culprit || other->crash_count < CRASHES_TO_QUARANTINE ||
		    (other->answered_ms >= 0 && culprit->answered_ms < 0))
			continue;
		count = count_shared(quarantine, other, culprit, now_ms, &own);
		if (count >= CRASHES_TO_QUARANTINE && own > tied_count) {
			tied = other;
			tied_count = own;
		}
	}
	return tied;
}

/*
 * Requests without an earlier complete answer rank before all that have one; then the larger number
 * of unexplained crashes counts, then the shorter mean run time at the crashes. NULL: no request
 * has CRASHES_TO_QUARANTINE unexplained crashes.
 */
static struct suspect *find_likeliest(struct cw_quarantine *quarantine, int64_t now_ms)
{
	struct suspect *likeliest = NULL;
	struct suspect *suspect;
	size_t likeliest_count = 0;

	TAILQ_FOREACH(suspect, &quarantine->suspects, link) {
		size_t count;

		if (suspect->is_culprit || suspect->crash_count < CRASHES_TO_QUARANTINE)
			continue;
		count = count_unexplained(quarantine, suspect, now_ms);
		if (count >= CRASHES_TO_QUARANTINE &&
		    (!likeliest || is_likelier(suspect, count, likeliest, likeliest_count))) {
			likeliest = suspect;
			likeliest_count = count;
		}
	}
	return likeliest;
}

static int is_likelier(const struct suspect *suspect, size_t count, const struct suspect *likeliest,
		       size_t likeliest_count)
{
	int is_known = suspect->answered_ms >= 0;
	int is_likeliest_known = likeliest->answered_ms >= 0;

	if (is_known != is_likeliest_known)
		return is_likeliest_known;
	if (count != likeliest_count)
		return count > likeliest_count;
	return mean_ran_ms(suspect) < mean_ran_ms(likeliest);
}

/*
 * A frequent request that is answered at other times runs on many servers at once. When a rack
 * loses power, all of them crash together, which counts as one crash.
 */
static size_t count_unexplained(const struct cw_quarantine *quarantine,
				const struct suspect *suspect, int64_t now_ms)
{
	int64_t last_counted_ms = -COMMON_CAUSE_MS;
	size_t count = 0;

	for (size_t i = 0; i < suspect->crash_count; i++) {
		const struct crash *crash = &suspect->crashes[i];

		if (!is_evidence(quarantine, suspect, crash, now_ms) ||
		    is_explained(quarantine, crash))
			continue;
		if (suspect->answered_ms >= 0 && crash->at_ms - last_counted_ms < COMMON_CAUSE_MS)
			continue;
		last_counted_ms = crash->at_ms;
		count++;
	}
	return count;
}

static int is_evidence(const struct cw_quarantine *quarantine, const struct suspect *suspect,
		       const struct crash *crash, int64_t now_ms)
{
	return crash->at_ms > suspect->answered_ms && crash->at_ms <= quarantine->judged_until_ms &&
	       now_ms - crash->at_ms < EVIDENCE_MS && crash->is_confirmed &&
	       outage_covers(quarantine, crash);
}

/* The crashes of a superseded request count against the other request as well. */
static int is_explained(const struct cw_quarantine *quarantine, const struct crash *crash)
{
	const struct suspect *suspect;

	TAILQ_FOREACH(suspect, &quarantine->suspects, link)
		if (suspect->is_culprit && !suspect->is_superseded &&
		    suspect_find_crash(suspect, crash->outage))
			return 1;
	return 0;
}

static int64_t mean_ran_ms(const struct suspect *suspect)
{
	int64_t sum_ms = 0;

	for (size_t i = 0; i < suspect->crash_count; i++)
		sum_ms += suspect->crashes[i].ran_ms;
	return sum_ms / (int64_t)MAX(suspect->crash_count, 1);
}

/*
 * Also sets is_sole_candidate: no other suspect took part in as many of the crashes. Otherwise
 * later crashes may tell them apart.
 */
static unsigned int count_alternatives(const struct cw_quarantine *quarantine,
				       struct suspect *suspect, int64_t now_ms)
{
	const struct suspect *other;
	unsigned int alternatives = 0;

	suspect->is_sole_candidate = 1;
	TAILQ_FOREACH(other, &quarantine->suspects, link) {
		size_t shared;
		size_t own;

		if (other == suspect || other->is_culprit || other->crash_count < 2)
			continue;
		shared = count_shared(quarantine, suspect, other, now_ms, &own);
		alternatives += shared >= 2;
		suspect->is_sole_candidate &= shared < own;
	}
	return alternatives;
}

static size_t count_evidence(const struct cw_quarantine *quarantine, const struct suspect *suspect,
			     int64_t now_ms)
{
	size_t count = 0;

	for (size_t i = 0; i < suspect->crash_count; i++)
		count += is_evidence(quarantine, suspect, &suspect->crashes[i], now_ms);
	return count;
}

/*
 * Counts the crashes that both took part in; *own receives how many of the crashes of suspect are
 * evidence.
 */
static size_t count_shared(const struct cw_quarantine *quarantine, const struct suspect *suspect,
			   const struct suspect *other, int64_t now_ms, size_t *own)
{
	size_t shared = 0;

	*own = 0;
	for (size_t i = 0; i < suspect->crash_count; i++) {
		const struct crash *crash = &suspect->crashes[i];
		const struct crash *same = suspect_find_crash(other, crash->outage);

		if (!is_evidence(quarantine, suspect, crash, now_ms))
			continue;
		(*own)++;
		shared += same && is_evidence(quarantine, other, same, now_ms);
	}
	return shared;
}

/* Whether the peers have had time to report the third crash. */
static int are_reports_settled(const struct cw_quarantine *quarantine,
			       const struct suspect *suspect, int64_t now_ms)
{
	size_t seen = 0;

	for (size_t i = 0; i < suspect->crash_count; i++)
		if (is_evidence(quarantine, suspect, &suspect->crashes[i], now_ms) &&
		    ++seen == CRASHES_TO_QUARANTINE)
			return now_ms - suspect->crashes[i].at_ms >= SETTLE_MS;
	return 0;
}
