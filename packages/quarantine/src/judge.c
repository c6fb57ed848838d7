/*
 * Which request a server ended under. All that were there are suspects of each end, most of them
 * harmless; the one that ends them is at more ends than any other. So the request with the most
 * ends takes them all upon itself, and the others are judged by the ends that are left: at the end
 * of a server with a hundred requests one is held and ninety-nine are not.
 */
#include "quarantine_internal.h"

static void note_doubtful(struct cw_quarantine *quarantine, int64_t now_ms);
static int has_twin(const struct cw_quarantine *quarantine, const struct suspect *suspect,
		    int64_t since_ms, int64_t now_ms);
static int ended_alone(const struct cw_quarantine *quarantine, const struct suspect *other,
		       const struct suspect *suspect, int64_t since_ms, int64_t now_ms);
static void blame(struct cw_quarantine *quarantine, int64_t now_ms);
static struct suspect *most_open(struct cw_quarantine *quarantine, int64_t now_ms);
static int is_likelier(const struct suspect *suspect, size_t count, const struct suspect *most,
		       size_t most_count);
static size_t count_open(const struct cw_quarantine *quarantine, const struct suspect *suspect,
			 int64_t now_ms);
static int counts(const struct cw_quarantine *quarantine, const struct suspect *suspect,
		  const struct end *end, int64_t now_ms);
static int is_explained(const struct cw_quarantine *quarantine, const struct end *end);
static int64_t mean_ran_ms(const struct suspect *suspect);
static unsigned int count_rivals(const struct cw_quarantine *quarantine, struct suspect *suspect,
				 int64_t now_ms);
static size_t count_shared(const struct cw_quarantine *quarantine, const struct suspect *suspect,
			   const struct suspect *other, int64_t now_ms, size_t *own);
static int has_settled(const struct cw_quarantine *quarantine, const struct suspect *suspect,
		       int64_t now_ms);

/*
 * Anew each time, but for what peers were told: an instance learns of an end from its own callers
 * first, and a harmless request may lead until the peers' reports are there.
 */
void quarantine_judge(struct cw_quarantine *quarantine, int64_t now_ms)
{
	struct suspect *suspect;

	quarantine->is_dirty = 0;
	note_doubtful(quarantine, now_ms);
	TAILQ_FOREACH(suspect, &quarantine->suspects, link)
		suspect->is_blamed = suspect->held_ms && suspect->is_firm;
	blame(quarantine, now_ms);
	TAILQ_FOREACH(suspect, &quarantine->suspects, link) {
		if (suspect->is_blamed && !suspect->held_ms)
			suspect_hold(quarantine, suspect, CW_QUARANTINE_OWN, now_ms, now_ms);
		else if (!suspect->is_blamed && suspect->held_ms)
			suspect_withdraw(quarantine, suspect, now_ms);
	}
}

struct end *suspect_end_in(const struct suspect *suspect, uint32_t outage)
{
	for (size_t i = 0; i < suspect->end_count; i++)
		if (suspect->ends[i].outage == outage)
			return (struct end *)&suspect->ends[i];
	return NULL;
}

/*
 * Symptom this prevents: a body that all callers ask for stays on the list for ten minutes. It was
 * at the same ends as the one that caused them. Where two requests end servers that is no proof
 * either, so it is tried once before it is taken off.
 */
static void note_doubtful(struct cw_quarantine *quarantine, int64_t now_ms)
{
	struct suspect *suspect;

	TAILQ_FOREACH(suspect, &quarantine->suspects, link) {
		if (!suspect->held_ms || !suspect->is_firm || suspect->end_count < ENDS_TO_HOLD)
			continue;
		suspect->is_doubtful |= has_twin(quarantine, suspect, 0, now_ms);
		suspect->is_outdone |= has_twin(quarantine, suspect, suspect->held_ms, now_ms);
	}
}

/* Another was at all of its ends, and, where since_ms is set, at one more after that. */
static int has_twin(const struct cw_quarantine *quarantine, const struct suspect *suspect,
		    int64_t since_ms, int64_t now_ms)
{
	const struct suspect *other;

	TAILQ_FOREACH(other, &quarantine->suspects, link) {
		size_t own;
		size_t shared;

		if (other == suspect || other->end_count < ENDS_TO_HOLD)
			continue;
		shared = count_shared(quarantine, suspect, other, now_ms, &own);
		if (own > 0 && shared == own &&
		    (!since_ms || ended_alone(quarantine, other, suspect, since_ms, now_ms)))
			return 1;
	}
	return 0;
}

static int ended_alone(const struct cw_quarantine *quarantine, const struct suspect *other,
		       const struct suspect *suspect, int64_t since_ms, int64_t now_ms)
{
	for (size_t i = 0; i < other->end_count; i++)
		if (other->ends[i].at_ms > since_ms &&
		    counts(quarantine, other, &other->ends[i], now_ms) &&
		    !suspect_end_in(suspect, other->ends[i].outage))
			return 1;
	return 0;
}

static void blame(struct cw_quarantine *quarantine, int64_t now_ms)
{
	struct suspect *suspect;

	while ((suspect = most_open(quarantine, now_ms))) {
		suspect->rivals = count_rivals(quarantine, suspect, now_ms);
		/* Each wait may cost a server; a wrong judgement is taken back as quickly. */
		if (!suspect->is_clear && !has_settled(quarantine, suspect, now_ms)) {
			quarantine->is_dirty = 1;
			return;
		}
		suspect->is_blamed = 1;
	}
}

/*
 * A request that was answered before, by servers that went on, comes after all that never were. Of
 * those at equally many ends the one that had just come to them. NULL: nobody is at enough.
 */
static struct suspect *most_open(struct cw_quarantine *quarantine, int64_t now_ms)
{
	struct suspect *most = NULL;
	struct suspect *suspect;
	size_t most_count = 0;

	TAILQ_FOREACH(suspect, &quarantine->suspects, link) {
		size_t count;

		if (suspect->is_blamed || suspect->end_count < ENDS_TO_HOLD)
			continue;
		count = count_open(quarantine, suspect, now_ms);
		if (count >= ENDS_TO_HOLD &&
		    (!most || is_likelier(suspect, count, most, most_count))) {
			most = suspect;
			most_count = count;
		}
	}
	return most;
}

static int is_likelier(const struct suspect *suspect, size_t count, const struct suspect *most,
		       size_t most_count)
{
	int is_known = suspect->answered_ms >= 0;
	int is_most_known = most->answered_ms >= 0;

	if (is_known != is_most_known)
		return is_most_known;
	if (count != most_count)
		return count > most_count;
	return mean_ran_ms(suspect) < mean_ran_ms(most);
}

/*
 * A request that is answered at other times is at many servers at once where it is asked for much.
 * When a rack loses power, they all end with it: that is one end.
 */
static size_t count_open(const struct cw_quarantine *quarantine, const struct suspect *suspect,
			 int64_t now_ms)
{
	int64_t moment_ms = -MOMENT_MS;
	size_t count = 0;

	for (size_t i = 0; i < suspect->end_count; i++) {
		const struct end *end = &suspect->ends[i];

		if (!counts(quarantine, suspect, end, now_ms) || is_explained(quarantine, end))
			continue;
		if (suspect->answered_ms >= 0 && end->at_ms - moment_ms < MOMENT_MS)
			continue;
		moment_ms = end->at_ms;
		count++;
	}
	return count;
}

static int counts(const struct cw_quarantine *quarantine, const struct suspect *suspect,
		  const struct end *end, int64_t now_ms)
{
	return end->at_ms > suspect->answered_ms && now_ms - end->at_ms < EVIDENCE_MS &&
	       end->is_confirmed && outage_met(quarantine, end);
}

/* The ends of a request that is outdone count against the other one as well. */
static int is_explained(const struct cw_quarantine *quarantine, const struct end *end)
{
	const struct suspect *suspect;

	TAILQ_FOREACH(suspect, &quarantine->suspects, link)
		if (suspect->is_blamed && !suspect->is_outdone &&
		    suspect_end_in(suspect, end->outage))
			return 1;
	return 0;
}

static int64_t mean_ran_ms(const struct suspect *suspect)
{
	int64_t sum_ms = 0;

	for (size_t i = 0; i < suspect->end_count; i++)
		sum_ms += suspect->ends[i].ran_ms;
	return sum_ms / (int64_t)MAX(suspect->end_count, 1);
}

/* Also whether one of them was at as many of the ends: then time may tell. */
static unsigned int count_rivals(const struct cw_quarantine *quarantine, struct suspect *suspect,
				 int64_t now_ms)
{
	const struct suspect *other;
	unsigned int rivals = 0;

	suspect->is_clear = 1;
	TAILQ_FOREACH(other, &quarantine->suspects, link) {
		size_t shared;
		size_t own;

		if (other == suspect || other->is_blamed || other->end_count < 2)
			continue;
		shared = count_shared(quarantine, suspect, other, now_ms, &own);
		rivals += shared >= 2;
		suspect->is_clear &= shared < own;
	}
	return rivals;
}

/* Of its ends that count, own, those that the other one was at as well. */
static size_t count_shared(const struct cw_quarantine *quarantine, const struct suspect *suspect,
			   const struct suspect *other, int64_t now_ms, size_t *own)
{
	size_t shared = 0;

	*own = 0;
	for (size_t i = 0; i < suspect->end_count; i++) {
		const struct end *end = &suspect->ends[i];
		const struct end *same = suspect_end_in(other, end->outage);

		if (!counts(quarantine, suspect, end, now_ms))
			continue;
		(*own)++;
		shared += same && counts(quarantine, other, same, now_ms);
	}
	return shared;
}

/* Are the peers' reports of its third end there? */
static int has_settled(const struct cw_quarantine *quarantine, const struct suspect *suspect,
		       int64_t now_ms)
{
	size_t seen = 0;

	for (size_t i = 0; i < suspect->end_count; i++)
		if (counts(quarantine, suspect, &suspect->ends[i], now_ms) &&
		    ++seen == ENDS_TO_HOLD)
			return now_ms - suspect->ends[i].at_ms >= SETTLE_MS;
	return 0;
}
