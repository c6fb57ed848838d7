/*
 * Which sessions are on the target: what the instances agreed on. One notices a step and tells the
 * others when it will be in force, late enough for all to have heard of it by then; the earliest
 * time told counts, and nothing agreed on is taken back.
 */
#include "rollout_internal.h"

#include <string.h>

/*
 * From a step's notice until it is in force. A session's next request came to an instance that
 * learned of the step later, and went back to the old version. Messages brought steps to 66
 * instances within 0.34 s, to 195 within 0.37 s; the rest is for messages that are lost.
 */
#define AGREE_MS      1000
#define PLANNER_MS    3000 /* of listening: by then peers have told what their requests are */
#define TRIAL_UNTIL   0.67 /* of the time ordered, as the next ones */
#define MORE_AT	      0.62 /* a server isn't full by then: all that can fill one go there */
#define FILL_A_SECOND 0.25 /* of a server's slots are taken for the trial */
#define MORE_FACTOR   3	   /* of the sessions that were planned to fill one */
#define ASK_SHARE     0.30 /* of light sessions, to ask a full server: more find it overfull */
#define SECOND_SHARE  0.40 /* after the trial: what fails on one route shows before all move */
#define SECOND_PART   0.06 /* for so long */
#define ALL_AT_LAST   0.86 /* even so, of a target proved by then: old runs have time to end */

static int is_in_force(const struct rollout *rollout, enum cw_rollout_step step, int64_t now_ms);
static void notice(struct rollout *rollout, enum cw_rollout_step step, int64_t now_ms);
static double filling_share(const struct rollout *rollout, uint64_t route, int64_t now_ms);
static int may_plan(const struct rollout *rollout, int64_t now_ms);
static void plan_trial(struct rollout *rollout, int64_t now_ms);
static double filling_a_ms(const struct rollout *rollout, int64_t now_ms);
static double count_filling(const struct cw_rollout_route *routes, size_t count);
static void pool_routes(const struct rollout *rollout, struct cw_rollout_route *routes,
			size_t *count);
static struct cw_rollout_route *find_route(struct cw_rollout_route *routes, size_t *count,
					   uint64_t route);
static uint32_t kinds_of(const struct rollout *rollout, uint64_t route);
static uint32_t usual_kinds(const struct cw_rollout_route *route);

/* Grows only, with the time and with each step, so that a session moves forward once at most. */
double rollout_share(const struct rollout *rollout, uint64_t route, int64_t now_ms)
{
	double part = rollout_part(rollout, now_ms);
	double share = ROLLOUT_FIRST_SHARE;

	if (now_ms - rollout->begun_ms < ROLLOUT_START_MS)
		return 0;
	if (part < ROLLOUT_FIRST_UNTIL)
		return share;
	if (now_ms - rollout->begun_ms >= rollout_all_from_ms(rollout))
		return 1;
	if (part >= TRIAL_UNTIL && is_in_force(rollout, CW_ROLLOUT_PROVED, now_ms))
		share = SECOND_SHARE;
	if (!is_in_force(rollout, CW_ROLLOUT_TRIAL, now_ms))
		return share; /* the routes' kinds are not agreed on yet */
	share = MAX(share, filling_share(rollout, route, now_ms));
	/* A full server answers long prompts late; short ones tell at once what it does. */
	if ((kinds_of(rollout, route) & CW_ROLLOUT_LIGHT) &&
	    is_in_force(rollout, CW_ROLLOUT_FULL, now_ms))
		share = MAX(share, ASK_SHARE);
	return share;
}

/*
 * A target proved late went from the first share to all at once, and what failed on one route had
 * got 329 of 1,471 requests when it was found, where 251 may go.
 */
int64_t rollout_all_from_ms(const struct rollout *rollout)
{
	int64_t proved_ms = rollout->from_ms[CW_ROLLOUT_PROVED];
	double duration_ms = (double)rollout->duration_ms;
	double second_ms = MAX(TRIAL_UNTIL * duration_ms, (double)proved_ms);
	double last_ms = MAX(ALL_AT_LAST * duration_ms, (double)proved_ms);

	if (proved_ms == CW_ROLLOUT_NEVER)
		return CW_ROLLOUT_NEVER;
	return (int64_t)MIN(second_ms + SECOND_PART * duration_ms, last_ms);
}

/*
 * Sessions that only ask a full server must not fill it as well: with 40 of 100 sessions filling
 * engines, each rejected what it was asked, and 3 of 5 good versions could not be tried.
 */
int cw_rollouts_is_filler(const struct cw_rollouts *rollouts,
			  const struct cw_rollout_request *request, int64_t now_ms)
{
	const struct rollout *rollout = rollout_find(rollouts, request->service);

	return rollout && cw_rollouts_wants_load(rollouts, request->service, now_ms) &&
	       rollout_point(request->session) < filling_share(rollout, request->route, now_ms);
}

void cw_rollouts_came(struct cw_rollouts *rollouts, const struct cw_rollout_request *request,
		      uint32_t kinds, unsigned int slots)
{
	struct rollout *rollout = rollout_find(rollouts, request->service);
	struct cw_rollout_route *route;

	if (!rollout)
		return;
	rollout->slots = slots;
	route = find_route(rollout->routes, &rollout->route_count, request->route);
	if (!route)
		return;
	route->came++;
	route->filling += (kinds & CW_ROLLOUT_FILLING) != 0;
	route->light += (kinds & CW_ROLLOUT_LIGHT) != 0;
}

int cw_rollouts_progressed(struct cw_rollouts *rollouts, int64_t now_ms,
			   struct cw_rollout_progress *progress)
{
	static const char *const names[] = {
		[CW_ROLLOUT_TRIAL] = "trial",
		[CW_ROLLOUT_FULL] = "full",
		[CW_ROLLOUT_MORE] = "more",
		[CW_ROLLOUT_PROVED] = "proved",
	};
	struct rollout *rollout;

	TAILQ_FOREACH(rollout, &rollouts->list, link) {
		for (unsigned int step = 0; step < CW_ROLLOUT_STEPS; step++) {
			if (rollout->from_ms[step] == CW_ROLLOUT_NEVER ||
			    (rollout->told_steps & (1U << step)))
				continue;
			rollout->told_steps |= 1U << step;
			*progress = (struct cw_rollout_progress){
				.service = rollout->service,
				.target = rollout->target,
				.step = names[step],
				.from_ms = rollout->from_ms[step],
				.elapsed_ms = now_ms - rollout->begun_ms,
				.trial_share = rollout->trial_share,
			};
			return 1;
		}
	}
	return 0;
}

void rollout_forget_plan(struct rollout *rollout)
{
	for (size_t i = 0; i < CW_ROLLOUT_STEPS; i++)
		rollout->from_ms[i] = CW_ROLLOUT_NEVER;
	rollout->told_steps = 0;
	rollout->is_full = 0;
	rollout->is_proved = 0;
	rollout->trial_share = 0;
	rollout->route_count = 0;
}

void rollout_follow_plan(struct rollout *rollout, int64_t now_ms)
{
	double part = rollout_part(rollout, now_ms);

	if (may_plan(rollout, now_ms))
		plan_trial(rollout, now_ms);
	if (rollout->is_full)
		notice(rollout, CW_ROLLOUT_FULL, now_ms);
	if (rollout->is_proved)
		notice(rollout, CW_ROLLOUT_PROVED, now_ms);
	if (part >= MORE_AT && !rollout->is_full && !rollout->is_proved)
		notice(rollout, CW_ROLLOUT_MORE, now_ms);
}

void rollout_tell_plan(const struct rollout *rollout, int64_t now_ms, struct cw_rollout_news *out)
{
	memcpy(out->from_ms, rollout->from_ms, sizeof(out->from_ms));
	out->trial_share = (float)rollout->trial_share;
	out->counted_ms = (uint32_t)(now_ms - rollout->known_ms);
	out->route_count = rollout->route_count;
	memcpy(out->routes, rollout->routes, sizeof(out->routes));
}

/*
 * Who knows of fewer requests plans a larger share: until it is in force the least one told counts.
 * After it none may shrink; shares that were planned apart, behind a cut, become the larger one.
 */
void rollout_hear_plan(struct rollout *rollout, const struct cw_rollout_news *news, int64_t now_ms)
{
	double told = (double)news->trial_share;

	if (told > 0 && (is_in_force(rollout, CW_ROLLOUT_TRIAL, now_ms) ||
			 rollout->from_ms[CW_ROLLOUT_TRIAL] == CW_ROLLOUT_NEVER))
		rollout->trial_share = MAX(rollout->trial_share, told);
	else if (told > 0)
		rollout->trial_share = MIN(rollout->trial_share, told);
	for (size_t i = 0; i < CW_ROLLOUT_STEPS; i++)
		rollout->from_ms[i] = MIN(rollout->from_ms[i], news->from_ms[i]);
	rollout->is_full |= news->from_ms[CW_ROLLOUT_FULL] != CW_ROLLOUT_NEVER;
	rollout->is_proved |= news->from_ms[CW_ROLLOUT_PROVED] != CW_ROLLOUT_NEVER;
	for (size_t i = 0; i < MIN(news->route_count, CW_ROLLOUT_ROUTES); i++) {
		struct cw_rollout_route *route;

		if (!news->routes[i].kinds)
			continue;
		route = find_route(rollout->routes, &rollout->route_count, news->routes[i].route);
		if (route)
			route->kinds |= news->routes[i].kinds;
	}
}

/*
 * The trial takes the routes that fill a server: with three in five of all requests an engine
 * reached 32 of its 64 slots, with these alone twice as many, and the target gets half of the
 * requests meanwhile.
 */
static double filling_share(const struct rollout *rollout, uint64_t route, int64_t now_ms)
{
	double share = MAX(rollout->trial_share, ROLLOUT_FIRST_SHARE);

	if (!is_in_force(rollout, CW_ROLLOUT_TRIAL, now_ms) ||
	    !(kinds_of(rollout, route) & CW_ROLLOUT_FILLING))
		return 0;
	if (is_in_force(rollout, CW_ROLLOUT_MORE, now_ms))
		return MIN(MORE_FACTOR * share, 1);
	return share;
}

static int is_in_force(const struct rollout *rollout, enum cw_rollout_step step, int64_t now_ms)
{
	return now_ms - rollout->begun_ms >= rollout->from_ms[step];
}

static void notice(struct rollout *rollout, enum cw_rollout_step step, int64_t now_ms)
{
	if (rollout->from_ms[step] == CW_ROLLOUT_NEVER)
		rollout->from_ms[step] = now_ms - rollout->begun_ms + AGREE_MS;
}

/*
 * An instance that had no request since the order, or that has just started, knows neither what a
 * server holds nor what the others' requests are. Of 195 one such instance planned that all filling
 * sessions move, where 0.1 of them fill a server, and all others heard it.
 */
static int may_plan(const struct rollout *rollout, int64_t now_ms)
{
	return rollout->from_ms[CW_ROLLOUT_TRIAL] == CW_ROLLOUT_NEVER &&
	       rollout_part(rollout, now_ms + AGREE_MS) >= ROLLOUT_FIRST_UNTIL &&
	       now_ms - rollout->known_ms >= PLANNER_MS && rollout->route_count > 0;
}

/*
 * Load pattern: 36 requests a second that each take a slot for 2 s, all of them sent to the target
 * for its trial. One server was full after a second, the others got the rest, idle ones that tell
 * nothing, and what a bad version may get was spent before anything was proved. So as many go
 * there as fill a server in two or three seconds; all, if by then it isn't full.
 */
static void plan_trial(struct rollout *rollout, int64_t now_ms)
{
	struct cw_rollout_route all[CW_ROLLOUT_ROUTES];
	size_t count = 0;
	double rate = filling_a_ms(rollout, now_ms) * 1000;

	pool_routes(rollout, all, &count);
	for (size_t i = 0; i < count; i++) {
		struct cw_rollout_route *route =
			find_route(rollout->routes, &rollout->route_count, all[i].route);

		if (route)
			route->kinds |= usual_kinds(&all[i]);
	}
	rollout->trial_share =
		rollout->slots && rate > 0 ? MIN(FILL_A_SECOND * rollout->slots / rate, 1) : 1;
	notice(rollout, CW_ROLLOUT_TRIAL, now_ms);
}

/* Filling requests that come to all instances; each has counted its own since it last started. */
static double filling_a_ms(const struct rollout *rollout, int64_t now_ms)
{
	double rate = count_filling(rollout->routes, rollout->route_count) /
		      (double)MAX(now_ms - rollout->known_ms, 1);
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, rollout->peers);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct rollout_peer *peer = value;

		rate += count_filling(peer->routes, peer->route_count) / MAX(peer->counted_ms, 1);
	}
	return rate;
}

static double count_filling(const struct cw_rollout_route *routes, size_t count)
{
	double filling = 0;

	for (size_t i = 0; i < count; i++)
		filling += routes[i].filling;
	return filling;
}

/* The routes' requests at all instances. */
static void pool_routes(const struct rollout *rollout, struct cw_rollout_route *routes,
			size_t *count)
{
	GHashTableIter iter;
	gpointer value;

	memcpy(routes, rollout->routes, sizeof(rollout->routes));
	*count = rollout->route_count;
	g_hash_table_iter_init(&iter, rollout->peers);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct rollout_peer *peer = value;

		for (size_t i = 0; i < peer->route_count; i++) {
			struct cw_rollout_route *route =
				find_route(routes, count, peer->routes[i].route);

			if (!route)
				continue;
			route->came += peer->routes[i].came;
			route->filling += peer->routes[i].filling;
			route->light += peer->routes[i].light;
		}
	}
}

/* NULL: it is not there, and there is no room for it. */
static struct cw_rollout_route *find_route(struct cw_rollout_route *routes, size_t *count,
					   uint64_t route)
{
	for (size_t i = 0; i < *count; i++)
		if (routes[i].route == route)
			return &routes[i];
	if (*count == CW_ROLLOUT_ROUTES)
		return NULL;
	routes[*count] = (struct cw_rollout_route){.route = route};
	return &routes[(*count)++];
}

static uint32_t kinds_of(const struct rollout *rollout, uint64_t route)
{
	for (size_t i = 0; i < rollout->route_count; i++)
		if (rollout->routes[i].route == route)
			return rollout->routes[i].kinds;
	return 0;
}

static uint32_t usual_kinds(const struct cw_rollout_route *route)
{
	uint32_t kinds = 0;

	if (2 * route->filling > route->came)
		kinds |= CW_ROLLOUT_FILLING;
	if (2 * route->light > route->came)
		kinds |= CW_ROLLOUT_LIGHT;
	return kinds;
}
