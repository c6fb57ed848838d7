/*
 * Which sessions are on the target: what the instances agreed on. One notices a step and tells the
 * others when it will be in force, late enough for all to have heard of it by then; the earliest
 * time told counts, and nothing agreed on is taken back.
 */
#include "cw_hash.h"
#include "rollout_internal.h"

#include <string.h>

/*
 * From a step's notice until it is in force. A session's next request came to an instance that
 * learned of the step later, and went back to the old version. A part of the time is for messages
 * that are lost. Up to a dozen peers are all told in each round and need less; a longer wait makes
 * good versions late.
 */
#define AGREE_MS       1000
#define AGREE_FEW_MS   400
#define FEW_PEERS      12
#define PLANNER_MS     3000 /* of listening: by then peers have told what their requests are */
#define TRIAL_UNTIL    0.67 /* of the time ordered, as the next ones */
#define MORE_AT	       0.62 /* a server isn't full by then: more go there that can fill one */
#define ROUTE_A_SECOND 3.0  /* requests on the target: a rare route's failures show in 10 s */
#define FILL_A_SECOND  0.25 /* of a server's slots are taken for the trial */
#define MORE_FACTOR    3    /* of the sessions that were planned to fill one */
#define ASK_SHARE      0.30 /* of light sessions, to ask a full server: more find it overfull */
#define SECOND_SHARE   0.40 /* after the trial: what fails on one route shows before all move */
#define SECOND_PART    0.06 /* for so long */
#define ALL_AT_LAST    0.86 /* even so, of a target proved by then: old runs have time to end */

/* A route's requests at all instances, in a ms. */
struct flow {
	uint64_t route;
	double came, filling, light;
};

static int is_in_force(const struct rollout *rollout, enum cw_rollout_step step, int64_t now_ms);
static void notice(struct rollout *rollout, enum cw_rollout_step step, int64_t now_ms);
static double merge_share(const struct rollout *rollout, double known, double told, int64_t now_ms);
static double filling_share(const struct rollout *rollout, uint64_t route, int64_t now_ms);
static int64_t agree_ms(const struct rollout *rollout);
static int may_plan(const struct rollout *rollout, int64_t now_ms);
static int had_request(const struct rollout *rollout);
static void plan_trial(struct rollout *rollout, int64_t now_ms);
static size_t pool_flows(const struct rollout *rollout, int64_t now_ms, struct flow *flows);
static size_t add_flows(struct flow *flows, size_t count, const struct cw_rollout_route *routes,
			size_t route_count, double counted_ms);
static uint32_t usual_kinds(const struct flow *flow);

/* Grows only, with the time and with each step, so that a session moves forward once at most. */
double rollout_share(const struct rollout *rollout, uint64_t route, int64_t now_ms)
{
	double part = rollout_part(rollout, now_ms);
	double share = ROLLOUT_FIRST_SHARE;
	const struct cw_rollout_route *planned;

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
	planned = rollout_known_route(rollout->routes, rollout->route_count, route);
	if (!planned)
		return share;
	share = MAX(share, (double)planned->share);
	/* A full server answers long prompts late; short ones tell at once what it does. */
	if ((planned->kinds & CW_ROLLOUT_LIGHT) && is_in_force(rollout, CW_ROLLOUT_FULL, now_ms))
		share = MAX(share, ASK_SHARE);
	return share;
}

/*
 * A target proved late must not go from the first share to all at once: what fails on one route
 * only would have got more requests than a trial may when it is found.
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
 * Sessions that only ask a full server must not fill it as well: with too many sessions filling
 * engines, each rejects what it is asked, and good versions cannot be tried.
 */
int cw_rollouts_is_filler(const struct cw_rollouts *rollouts,
			  const struct cw_rollout_request *request, int64_t now_ms)
{
	const struct rollout *rollout = rollout_find(rollouts, request->service);

	return rollout && cw_rollouts_wants_load(rollouts, request->service, now_ms) &&
	       cw_hash_part(request->session) < filling_share(rollout, request->route, now_ms);
}

void cw_rollouts_came(struct cw_rollouts *rollouts, const struct cw_rollout_request *request,
		      uint32_t kinds, unsigned int slots)
{
	struct rollout *rollout = rollout_find(rollouts, request->service);
	struct cw_rollout_route *route;

	if (!rollout)
		return;
	rollout->slots = slots;
	route = rollout_find_route(rollout->routes, &rollout->route_count, request->route);
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
	rollout->match_count = 0;
	rollout->matched_ms = rollout->begun_ms;
}

void rollout_follow_plan(struct rollout *rollout, int64_t now_ms)
{
	double part = rollout_part(rollout, now_ms + agree_ms(rollout));

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

void rollout_hear_plan(struct rollout *rollout, const struct cw_rollout_news *news, int64_t now_ms)
{
	rollout->trial_share =
		merge_share(rollout, rollout->trial_share, (double)news->trial_share, now_ms);
	for (size_t i = 0; i < CW_ROLLOUT_STEPS; i++)
		rollout->from_ms[i] = MIN(rollout->from_ms[i], news->from_ms[i]);
	rollout->is_full |= news->from_ms[CW_ROLLOUT_FULL] != CW_ROLLOUT_NEVER;
	rollout->is_proved |= news->from_ms[CW_ROLLOUT_PROVED] != CW_ROLLOUT_NEVER;
	for (size_t i = 0; i < MIN(news->route_count, CW_ROLLOUT_ROUTES); i++) {
		struct cw_rollout_route *route;

		if (news->routes[i].share <= 0)
			continue;
		route = rollout_find_route(rollout->routes, &rollout->route_count,
					   news->routes[i].route);
		if (!route)
			continue;
		route->kinds |= news->routes[i].kinds;
		route->share = (float)merge_share(rollout, (double)route->share,
						  (double)news->routes[i].share, now_ms);
	}
}

/*
 * The trial takes the routes that fill a server: a share of all requests leaves slots of its
 * engines free, these routes alone fill them, and the target gets half of the requests meanwhile.
 */
static double filling_share(const struct rollout *rollout, uint64_t route, int64_t now_ms)
{
	double share = MAX(rollout->trial_share, ROLLOUT_FIRST_SHARE);
	const struct cw_rollout_route *planned =
		rollout_known_route(rollout->routes, rollout->route_count, route);

	if (!is_in_force(rollout, CW_ROLLOUT_TRIAL, now_ms) || !planned ||
	    !(planned->kinds & CW_ROLLOUT_FILLING))
		return 0;
	if (is_in_force(rollout, CW_ROLLOUT_MORE, now_ms))
		return MIN(MORE_FACTOR * share, 1);
	return share;
}

/*
 * Who knows of fewer requests plans a larger share: until it is in force the least one told counts.
 * After it none may shrink; shares that were planned apart, behind a cut, become the larger one.
 */
static double merge_share(const struct rollout *rollout, double known, double told, int64_t now_ms)
{
	if (known <= 0 || told <= 0 || is_in_force(rollout, CW_ROLLOUT_TRIAL, now_ms))
		return MAX(known, told);
	return MIN(known, told);
}

static int is_in_force(const struct rollout *rollout, enum cw_rollout_step step, int64_t now_ms)
{
	return now_ms - rollout->begun_ms >= rollout->from_ms[step];
}

static void notice(struct rollout *rollout, enum cw_rollout_step step, int64_t now_ms)
{
	if (rollout->from_ms[step] == CW_ROLLOUT_NEVER)
		rollout->from_ms[step] = now_ms - rollout->begun_ms + agree_ms(rollout);
}

static int64_t agree_ms(const struct rollout *rollout)
{
	return g_hash_table_size(rollout->peers) > FEW_PEERS ? AGREE_MS : AGREE_FEW_MS;
}

/*
 * An instance that had no request since the order, or that has just started, knows neither what a
 * server holds nor what the others' requests are. Of 195 one such instance planned that all filling
 * sessions move, where 0.1 of them fill a server, and all others heard it.
 */
static int may_plan(const struct rollout *rollout, int64_t now_ms)
{
	return rollout->from_ms[CW_ROLLOUT_TRIAL] == CW_ROLLOUT_NEVER &&
	       rollout_part(rollout, now_ms + agree_ms(rollout)) >= ROLLOUT_FIRST_UNTIL &&
	       now_ms - rollout->known_ms >= PLANNER_MS && had_request(rollout);
}

static int had_request(const struct rollout *rollout)
{
	for (size_t i = 0; i < rollout->route_count; i++)
		if (rollout->routes[i].came > 0)
			return 1;
	return 0;
}

/*
 * Load pattern: 36 requests a second that each take a slot for 2 s, all of them sent to the target
 * for its trial. One server was full after a second, the others got the rest, idle ones that tell
 * nothing, and what a bad version may get was spent before anything was proved. So as many go
 * there as fill a server in two or three seconds; three times as many, if by then it isn't full.
 */
static void plan_trial(struct rollout *rollout, int64_t now_ms)
{
	struct flow flows[CW_ROLLOUT_ROUTES];
	size_t count = pool_flows(rollout, now_ms, flows);
	double filling = 0;

	for (size_t i = 0; i < count; i++) {
		struct cw_rollout_route *route =
			rollout_find_route(rollout->routes, &rollout->route_count, flows[i].route);
		double a_second = flows[i].came * 1000;

		filling += flows[i].filling * 1000;
		if (!route || a_second <= 0)
			continue;
		route->kinds |= usual_kinds(&flows[i]);
		route->share =
			(float)CLAMP(ROUTE_A_SECOND / a_second, ROLLOUT_FIRST_SHARE, SECOND_SHARE);
	}
	rollout->trial_share = rollout->slots && filling > 0
				       ? MIN(FILL_A_SECOND * rollout->slots / filling, 1)
				       : 1;
	notice(rollout, CW_ROLLOUT_TRIAL, now_ms);
}

/* All instances' requests, by route; each has counted its own since it last started. */
static size_t pool_flows(const struct rollout *rollout, int64_t now_ms, struct flow *flows)
{
	size_t count = add_flows(flows, 0, rollout->routes, rollout->route_count,
				 (double)(now_ms - rollout->known_ms));
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, rollout->peers);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct rollout_peer *peer = value;

		count = add_flows(flows, count, peer->routes, peer->route_count, peer->counted_ms);
	}
	return count;
}

static size_t add_flows(struct flow *flows, size_t count, const struct cw_rollout_route *routes,
			size_t route_count, double counted_ms)
{
	for (size_t i = 0; i < route_count; i++) {
		size_t j = 0;

		while (j < count && flows[j].route != routes[i].route)
			j++;
		if (j == CW_ROLLOUT_ROUTES)
			continue;
		if (j == count)
			flows[count++] = (struct flow){.route = routes[i].route};
		flows[j].came += routes[i].came / MAX(counted_ms, 1);
		flows[j].filling += routes[i].filling / MAX(counted_ms, 1);
		flows[j].light += routes[i].light / MAX(counted_ms, 1);
	}
	return count;
}

const struct cw_rollout_route *rollout_known_route(const struct cw_rollout_route *routes,
						   size_t count, uint64_t route)
{
	for (size_t i = 0; i < count; i++)
		if (routes[i].route == route)
			return &routes[i];
	return NULL;
}

struct cw_rollout_route *rollout_find_route(struct cw_rollout_route *routes, size_t *count,
					    uint64_t route)
{
	const struct cw_rollout_route *known = rollout_known_route(routes, *count, route);

	if (known)
		return &routes[known - routes];
	if (*count == CW_ROLLOUT_ROUTES)
		return NULL;
	routes[*count] = (struct cw_rollout_route){.route = route};
	return &routes[(*count)++];
}

static uint32_t usual_kinds(const struct flow *flow)
{
	uint32_t kinds = 0;

	if (2 * flow->filling > flow->came)
		kinds |= CW_ROLLOUT_FILLING;
	if (2 * flow->light > flow->came)
		kinds |= CW_ROLLOUT_LIGHT;
	return kinds;
}
