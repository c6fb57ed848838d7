/*
 * Does a route fail on the target only? Second by second, the target's failures are held against
 * the other version's in the same second and the one before, and the doubt adds up. A fault that
 * strikes both for a moment, such as crashing servers, then hides nothing of what comes after it:
 * over the time since the order it would raise the old version's failures, and a failing target
 * would get more requests than a trial may.
 */
#include "rollout_internal.h"

#include <string.h>

#define SECOND_MS   1000
#define USUAL_WORTH 3.0 /* answers: what the rate since the order weighs beside a second's own */
#define MATCH_LEVEL 6.0 /* log likelihood ratio: 19 answers of which three in ten fail */
#define MATCH_BAD   3	/* failures at least */

static struct rollout_match *find_match(struct rollout *rollout, uint64_t route);
static double since(uint32_t before, uint32_t now);
static void end_second(struct rollout_match *match);
static double rate_in(const struct rollout_match *match, const struct rollout_second *second);

void rollout_match_answer(struct rollout *rollout, const struct cw_rollout_answer *answer)
{
	struct cw_rollout_route *route =
		rollout_find_route(rollout->routes, &rollout->route_count, answer->route);
	struct rollout_match *match = find_match(rollout, answer->route);
	/* A slow answer tells of a server's queue as well: it is judged over a longer time. */
	int is_failed = answer->is_failure && !answer->is_slow;

	if (!route || !match)
		return;
	if (!strcmp(rollout->target, answer->software)) {
		route->new_answers++;
		route->new_failed += (uint32_t)is_failed;
		match->now.new_answers++;
		match->now.new_failed += is_failed;
	} else {
		route->old_answers++;
		route->old_failed += (uint32_t)is_failed;
		match->now.old_answers++;
		match->now.old_failed += is_failed;
	}
}

/* What a peer counted since its last message; one that started again counts anew. */
void rollout_match_peer(struct rollout *rollout, const struct rollout_peer *known,
			const struct cw_rollout_news *news)
{
	static const struct cw_rollout_route none = {0};

	for (size_t i = 0; i < MIN(news->route_count, CW_ROLLOUT_ROUTES); i++) {
		const struct cw_rollout_route *told = &news->routes[i];
		struct rollout_match *match = find_match(rollout, told->route);
		const struct cw_rollout_route *before =
			rollout_known_route(known->routes, known->route_count, told->route);

		if (!before)
			before = &none;
		if (!match || news->counted_ms < known->counted_ms)
			continue;
		match->now.old_answers += since(before->old_answers, told->old_answers);
		match->now.old_failed += since(before->old_failed, told->old_failed);
		match->now.new_answers += since(before->new_answers, told->new_answers);
		match->now.new_failed += since(before->new_failed, told->new_failed);
	}
}

int rollout_match_is_bad(struct rollout *rollout, int64_t now_ms)
{
	int is_bad = 0;

	if (now_ms - rollout->matched_ms < SECOND_MS)
		return 0;
	rollout->matched_ms = now_ms;
	for (size_t i = 0; i < rollout->match_count; i++) {
		struct rollout_match *match = &rollout->matches[i];

		end_second(match);
		is_bad |= match->doubt > MATCH_LEVEL && match->failed >= MATCH_BAD;
	}
	return is_bad;
}

static struct rollout_match *find_match(struct rollout *rollout, uint64_t route)
{
	for (size_t i = 0; i < rollout->match_count; i++)
		if (rollout->matches[i].route == route)
			return &rollout->matches[i];
	if (rollout->match_count == CW_ROLLOUT_ROUTES)
		return NULL;
	rollout->matches[rollout->match_count] = (struct rollout_match){.route = route};
	return &rollout->matches[rollout->match_count++];
}

/* Messages may overtake each other: what an older one tells is known. */
static double since(uint32_t before, uint32_t now)
{
	return now > before ? (double)(now - before) : 0;
}

/* The doubt starts anew when it falls to zero: a version may turn bad late. */
static void end_second(struct rollout_match *match)
{
	double usual = MAX(rate_in(match, &match->now), rate_in(match, &match->before));

	match->doubt += rollout_doubt(match->now.new_answers, match->now.new_failed, usual);
	match->failed += match->now.new_failed;
	if (match->doubt <= 0)
		match->doubt = match->failed = 0;
	match->old_answers += match->now.old_answers;
	match->old_failed += match->now.old_failed;
	match->before = match->now;
	match->now = (struct rollout_second){0};
}

static double rate_in(const struct rollout_match *match, const struct rollout_second *second)
{
	double usual = (match->old_failed + 0.5) / (match->old_answers + 10);

	return (second->old_failed + USUAL_WORTH * usual) / (second->old_answers + USUAL_WORTH);
}
