/*
 * Agreement of the instances on the sessions that are on the target. The instance that detects a
 * step announces when the step takes effect, late enough for all peers to learn of it in time.
 * The earliest announced time wins, and a step that was agreed on is never revoked.
 */
#include "cw_hash.h"
#include "rollout_internal.h"

#include <string.h>

/*
 * Delay from the detection of a step until the step takes effect. Without the delay, a session's
 * next request could arrive at an instance that did not know the step yet, and return to the old
 * version. The delay includes a margin for lost messages. Up to a dozen peers are all contacted
 * in every gossip round and need less; a longer delay would make good versions late.
 */
#define STEP_DELAY_MS		1000
#define STEP_DELAY_FEW_PEERS_MS 400
#define FEW_PEERS		12
#define PLAN_MIN_COUNTED_MS	3000 /* peers have announced their routes' requests by then */
#define TRIAL_END		0.67 /* of the duration */
#define MORE_START		0.62 /* of the duration; if no server is full by then: larger share */
#define ROUTE_TARGET_PER_S	3.0 /* requests to the target: failures of rare routes show in 10 s */
#define SLOT_FILL_PER_S		0.25 /* part of a server's slots that the trial fills per second */
#define MORE_FACTOR		3    /* by which the planned trial share is multiplied */
#define SHORT_PROMPT_SHARE	0.30 /* of sessions that probe a full server; more would overload it */
#define SECOND_SHARE		0.40 /* after the trial: failures of one route show before all move */
#define SECOND_LENGTH		0.06 /* of the duration, for which the second share applies */
#define FULL_SHARE_LATEST	0.86 /* of the duration, if passed by then: old requests finish */

/* Requests per ms of one route, summed over all instances. */
struct route_rate {
	uint64_t route;
	double arrivals, long_running, short_prompts;
};

static int is_step_in_force(const struct rollout *rollout, enum cw_rollout_step step,
			    int64_t now_ms);
static void schedule_step(struct rollout *rollout, enum cw_rollout_step step, int64_t now_ms);
static double merge_share(const struct rollout *rollout, double known, double announced,
			  int64_t now_ms);
static double load_trial_share(const struct rollout *rollout, uint64_t route, int64_t now_ms);
static int64_t step_delay_ms(const struct rollout *rollout);
static int may_plan(const struct rollout *rollout, int64_t now_ms);
static int has_own_request(const struct rollout *rollout);
static void plan_trial(struct rollout *rollout, int64_t now_ms);
static size_t sum_route_rates(const struct rollout *rollout, int64_t now_ms,
			      struct route_rate *rates);
static size_t add_route_rates(struct route_rate *rates, size_t count,
			      const struct cw_rollout_route *routes, size_t route_count,
			      double counted_ms);
static uint32_t majority_kinds(const struct route_rate *route_rate);

/* Never decreases over time or with a step, so that a session changes its version at most once. */
double rollout_share(const struct rollout *rollout, uint64_t route, int64_t now_ms)
{
	double fraction = rollout_elapsed_fraction(rollout, now_ms);
	double share = ROLLOUT_FIRST_SHARE;
	const struct cw_rollout_route *planned;

	if (now_ms - rollout->started_ms < ROLLOUT_SESSION_SYNC_MS)
		return 0;
	if (fraction < ROLLOUT_FIRST_END)
		return share;
	if (now_ms - rollout->started_ms >= rollout_full_share_ms(rollout))
		return 1;
	if (fraction >= TRIAL_END && is_step_in_force(rollout, CW_ROLLOUT_STEP_PASSED, now_ms))
		share = SECOND_SHARE;
	if (!is_step_in_force(rollout, CW_ROLLOUT_STEP_TRIAL, now_ms))
		return share; /* the load kinds of the routes are not agreed on yet */
	share = MAX(share, load_trial_share(rollout, route, now_ms));
	planned = rollout_lookup_route(rollout->routes, rollout->route_count, route);
	if (!planned)
		return share;
	share = MAX(share, (double)planned->share);
	/* A full server answers long prompts late; short prompts show its behaviour at once. */
	if ((planned->kinds & CW_ROLLOUT_SHORT_PROMPT) &&
	    is_step_in_force(rollout, CW_ROLLOUT_STEP_FULL, now_ms))
		share = MAX(share, SHORT_PROMPT_SHARE);
	return share;
}

/*
 * A target that passes its trial late must not go from the first share to all sessions at once:
 * before failures on a single route show, the target would receive more requests than a trial
 * allows.
 */
int64_t rollout_full_share_ms(const struct rollout *rollout)
{
	int64_t passed_ms = rollout->effective_ms[CW_ROLLOUT_STEP_PASSED];
	double duration_ms = (double)rollout->duration_ms;
	double second_ms = MAX(TRIAL_END * duration_ms, (double)passed_ms);
	double last_ms = MAX(FULL_SHARE_LATEST * duration_ms, (double)passed_ms);

	if (passed_ms == CW_ROLLOUT_NEVER)
		return CW_ROLLOUT_NEVER;
	return (int64_t)MIN(second_ms + SECOND_LENGTH * duration_ms, last_ms);
}

/*
 * Sessions that only probe a full server must not add to its load: when too many sessions fill
 * the engines, each engine rejects the probes, and a good version cannot be tested.
 */
int cw_rollouts_is_trial_load(const struct cw_rollouts *rollouts,
			      const struct cw_rollout_request *request, int64_t now_ms)
{
	const struct rollout *rollout = rollout_find(rollouts, request->service);

	return rollout && cw_rollouts_needs_load_trial(rollouts, request->service, now_ms) &&
	       cw_hash_to_fraction(request->session) <
		       load_trial_share(rollout, request->route, now_ms);
}

void cw_rollouts_record_arrival(struct cw_rollouts *rollouts,
				const struct cw_rollout_request *request, uint32_t kinds,
				unsigned int slots)
{
	struct rollout *rollout = rollout_find(rollouts, request->service);
	struct cw_rollout_route *route;

	if (!rollout)
		return;
	rollout->slots = slots;
	route = rollout_find_or_add_route(rollout->routes, &rollout->route_count, request->route);
	if (!route)
		return;
	route->arrivals++;
	route->long_running += (kinds & CW_ROLLOUT_LONG_RUNNING) != 0;
	route->short_prompts += (kinds & CW_ROLLOUT_SHORT_PROMPT) != 0;
}

int cw_rollouts_next_progress(struct cw_rollouts *rollouts, int64_t now_ms,
			      struct cw_rollout_progress *progress)
{
	static const char *const names[] = {
		[CW_ROLLOUT_STEP_TRIAL] = "trial",
		[CW_ROLLOUT_STEP_FULL] = "full",
		[CW_ROLLOUT_STEP_MORE] = "more",
		[CW_ROLLOUT_STEP_PASSED] = "proved",
	};
	struct rollout *rollout;

	TAILQ_FOREACH(rollout, &rollouts->list, link) {
		for (unsigned int step = 0; step < CW_ROLLOUT_STEP_COUNT; step++) {
			if (rollout->effective_ms[step] == CW_ROLLOUT_NEVER ||
			    (rollout->logged_steps & (1U << step)))
				continue;
			rollout->logged_steps |= 1U << step;
			*progress = (struct cw_rollout_progress){
				.service = rollout->service,
				.target = rollout->target,
				.step = names[step],
				.effective_ms = rollout->effective_ms[step],
				.elapsed_ms = now_ms - rollout->started_ms,
				.trial_share = rollout->trial_share,
			};
			return 1;
		}
	}
	return 0;
}

void rollout_reset_plan(struct rollout *rollout)
{
	for (size_t i = 0; i < CW_ROLLOUT_STEP_COUNT; i++)
		rollout->effective_ms[i] = CW_ROLLOUT_NEVER;
	rollout->logged_steps = 0;
	rollout->has_loaded_answer = 0;
	rollout->has_passed_trial = 0;
	rollout->trial_share = 0;
	rollout->route_count = 0;
	rollout->comparison_count = 0;
	rollout->compared_ms = rollout->started_ms;
}

void rollout_update_plan(struct rollout *rollout, int64_t now_ms)
{
	double fraction = rollout_elapsed_fraction(rollout, now_ms + step_delay_ms(rollout));

	if (may_plan(rollout, now_ms))
		plan_trial(rollout, now_ms);
	if (rollout->has_loaded_answer)
		schedule_step(rollout, CW_ROLLOUT_STEP_FULL, now_ms);
	if (rollout->has_passed_trial)
		schedule_step(rollout, CW_ROLLOUT_STEP_PASSED, now_ms);
	if (fraction >= MORE_START && !rollout->has_loaded_answer && !rollout->has_passed_trial)
		schedule_step(rollout, CW_ROLLOUT_STEP_MORE, now_ms);
}

void rollout_announce_plan(const struct rollout *rollout, int64_t now_ms,
			   struct cw_rollout_announcement *out)
{
	memcpy(out->effective_ms, rollout->effective_ms, sizeof(out->effective_ms));
	out->trial_share = (float)rollout->trial_share;
	out->counted_ms = (uint32_t)(now_ms - rollout->learned_ms);
	out->route_count = rollout->route_count;
	memcpy(out->routes, rollout->routes, sizeof(out->routes));
}

void rollout_merge_plan(struct rollout *rollout, const struct cw_rollout_announcement *update,
			int64_t now_ms)
{
	rollout->trial_share =
		merge_share(rollout, rollout->trial_share, (double)update->trial_share, now_ms);
	for (size_t i = 0; i < CW_ROLLOUT_STEP_COUNT; i++)
		rollout->effective_ms[i] = MIN(rollout->effective_ms[i], update->effective_ms[i]);
	rollout->has_loaded_answer |=
		update->effective_ms[CW_ROLLOUT_STEP_FULL] != CW_ROLLOUT_NEVER;
	rollout->has_passed_trial |=
		update->effective_ms[CW_ROLLOUT_STEP_PASSED] != CW_ROLLOUT_NEVER;
	for (size_t i = 0; i < MIN(update->route_count, CW_ROLLOUT_MAX_ROUTES); i++) {
		struct cw_rollout_route *route;

		if (update->routes[i].share <= 0)
			continue;
		route = rollout_find_or_add_route(rollout->routes, &rollout->route_count,
						  update->routes[i].route);
		if (!route)
			continue;
		route->kinds |= update->routes[i].kinds;
		route->share = (float)merge_share(rollout, (double)route->share,
						  (double)update->routes[i].share, now_ms);
	}
}

/*
 * The trial under load moves the long-running routes. A share of all requests leaves slots of
 * the engines free; the long-running routes alone fill them, while the target receives half of
 * all requests.
 */
static double load_trial_share(const struct rollout *rollout, uint64_t route, int64_t now_ms)
{
	double share = MAX(rollout->trial_share, ROLLOUT_FIRST_SHARE);
	const struct cw_rollout_route *planned =
		rollout_lookup_route(rollout->routes, rollout->route_count, route);

	if (!is_step_in_force(rollout, CW_ROLLOUT_STEP_TRIAL, now_ms) || !planned ||
	    !(planned->kinds & CW_ROLLOUT_LONG_RUNNING))
		return 0;
	if (is_step_in_force(rollout, CW_ROLLOUT_STEP_MORE, now_ms))
		return MIN(MORE_FACTOR * share, 1);
	return share;
}

/*
 * An instance that knows of fewer requests plans a larger share, so until the trial takes effect
 * the smallest announced share wins. Afterwards no share may decrease: shares that were planned
 * independently, during a network partition, are merged to the larger one.
 */
static double merge_share(const struct rollout *rollout, double known, double announced,
			  int64_t now_ms)
{
	if (known <= 0 || announced <= 0 ||
	    is_step_in_force(rollout, CW_ROLLOUT_STEP_TRIAL, now_ms))
		return MAX(known, announced);
	return MIN(known, announced);
}

static int is_step_in_force(const struct rollout *rollout, enum cw_rollout_step step,
			    int64_t now_ms)
{
	return now_ms - rollout->started_ms >= rollout->effective_ms[step];
}

static void schedule_step(struct rollout *rollout, enum cw_rollout_step step, int64_t now_ms)
{
	if (rollout->effective_ms[step] == CW_ROLLOUT_NEVER)
		rollout->effective_ms[step] = now_ms - rollout->started_ms + step_delay_ms(rollout);
}

static int64_t step_delay_ms(const struct rollout *rollout)
{
	return g_hash_table_size(rollout->peers) > FEW_PEERS ? STEP_DELAY_MS
							     : STEP_DELAY_FEW_PEERS_MS;
}

/*
 * An instance that received no request since the order, or that has just started, knows neither
 * the slots of a server nor the requests of its peers. Among 195 instances, one such instance
 * planned to move all long-running sessions, where 0.1 of these sessions fill a server, and all
 * peers merged its plan.
 */
static int may_plan(const struct rollout *rollout, int64_t now_ms)
{
	return rollout->effective_ms[CW_ROLLOUT_STEP_TRIAL] == CW_ROLLOUT_NEVER &&
	       rollout_elapsed_fraction(rollout, now_ms + step_delay_ms(rollout)) >=
		       ROLLOUT_FIRST_END &&
	       now_ms - rollout->learned_ms >= PLAN_MIN_COUNTED_MS && has_own_request(rollout);
}

static int has_own_request(const struct rollout *rollout)
{
	for (size_t i = 0; i < rollout->route_count; i++)
		if (rollout->routes[i].arrivals > 0)
			return 1;
	return 0;
}

/*
 * Plans shares that fill one server of the target within two or three seconds, and three times
 * the share if no server is full by then. When all of 36 requests per second that occupy a slot
 * for 2 s each were sent to the target, one server was full after a second. The other requests
 * reached idle servers, which give no evidence under load, and spent the allowed exposure before
 * the end of the trial.
 */
static void plan_trial(struct rollout *rollout, int64_t now_ms)
{
	struct route_rate rates[CW_ROLLOUT_MAX_ROUTES];
	size_t count = sum_route_rates(rollout, now_ms, rates);
	double long_running = 0;

	for (size_t i = 0; i < count; i++) {
		struct cw_rollout_route *route = rollout_find_or_add_route(
			rollout->routes, &rollout->route_count, rates[i].route);
		double requests_per_s = rates[i].arrivals * 1000;

		long_running += rates[i].long_running * 1000;
		if (!route || requests_per_s <= 0)
			continue;
		route->kinds |= majority_kinds(&rates[i]);
		route->share = (float)CLAMP(ROUTE_TARGET_PER_S / requests_per_s,
					    ROLLOUT_FIRST_SHARE, SECOND_SHARE);
	}
	rollout->trial_share = rollout->slots && long_running > 0
				       ? MIN(SLOT_FILL_PER_S * rollout->slots / long_running, 1)
				       : 1;
	schedule_step(rollout, CW_ROLLOUT_STEP_TRIAL, now_ms);
}

/* Sums the request rates by route; each instance has counted since its last start. */
static size_t sum_route_rates(const struct rollout *rollout, int64_t now_ms,
			      struct route_rate *rates)
{
	size_t count = add_route_rates(rates, 0, rollout->routes, rollout->route_count,
				       (double)(now_ms - rollout->learned_ms));
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, rollout->peers);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct rollout_peer *peer = value;

		count = add_route_rates(rates, count, peer->routes, peer->route_count,
					peer->counted_ms);
	}
	return count;
}

static size_t add_route_rates(struct route_rate *rates, size_t count,
			      const struct cw_rollout_route *routes, size_t route_count,
			      double counted_ms)
{
	for (size_t i = 0; i < route_count; i++) {
		size_t j = 0;

		while (j < count && rates[j].route != routes[i].route)
			j++;
		if (j == CW_ROLLOUT_MAX_ROUTES)
			continue;
		if (j == count)
			rates[count++] = (struct route_rate){.route = routes[i].route};
		rates[j].arrivals += routes[i].arrivals / MAX(counted_ms, 1);
		rates[j].long_running += routes[i].long_running / MAX(counted_ms, 1);
		rates[j].short_prompts += routes[i].short_prompts / MAX(counted_ms, 1);
	}
	return count;
}

const struct cw_rollout_route *rollout_lookup_route(const struct cw_rollout_route *routes,
						    size_t count, uint64_t route)
{
	for (size_t i = 0; i < count; i++)
		if (routes[i].route == route)
			return &routes[i];
	return NULL;
}

struct cw_rollout_route *rollout_find_or_add_route(struct cw_rollout_route *routes, size_t *count,
						   uint64_t route)
{
	const struct cw_rollout_route *known = rollout_lookup_route(routes, *count, route);

	if (known)
		return &routes[known - routes];
	if (*count == CW_ROLLOUT_MAX_ROUTES)
		return NULL;
	routes[*count] = (struct cw_rollout_route){.route = route};
	return &routes[(*count)++];
}

static uint32_t majority_kinds(const struct route_rate *route_rate)
{
	uint32_t kinds = 0;

	if (2 * route_rate->long_running > route_rate->arrivals)
		kinds |= CW_ROLLOUT_LONG_RUNNING;
	if (2 * route_rate->short_prompts > route_rate->arrivals)
		kinds |= CW_ROLLOUT_SHORT_PROMPT;
	return kinds;
}
