/*
 * Is the target worse than the version before it? Answers of both are counted by route and by how
 * full their server was, pooled over the instances, and weighed against each other.
 */
#include "rollout_internal.h"

#include <math.h>
#include <string.h>

#define DECAY_MS     8000 /* answers count 1/e after it: a version that turns bad late shows */
#define TRIP_BAD     2.5  /* decayed bad answers at least */
#define TRIP_LEVEL   5.0  /* log likelihood ratio: one false alarm in e^5 looks at one window */
#define USUAL_BAD    0.03 /* failures that any version may have, beyond the other's */
#define BAD_AT_LEAST 0.30 /* failures of a version worth taking back */

static struct cw_rollout_evidence *find_route(struct cw_rollout_evidence *routes, size_t *count,
					      uint64_t route);
static size_t pool_evidence(struct rollout *rollout, int64_t now_ms,
			    struct cw_rollout_evidence *routes);
static void add_evidence(struct cw_rollout_evidence *to, const struct cw_rollout_evidence *from,
			 float factor);
static int is_bad(const struct cw_rollout_evidence *evidence);

void cw_rollouts_answered(struct cw_rollouts *rollouts, const char *service, uint64_t route,
			  const char *software, int is_bad, int64_t now_ms)
{
	struct rollout *rollout = rollout_find(rollouts, service);
	struct cw_rollout_evidence *evidence;

	if (!rollout)
		return;
	rollout_fade(rollout, now_ms);
	evidence = find_route(rollout->routes, &rollout->route_count, route);
	if (!strcmp(rollout->target, software)) {
		evidence->new_answers += 1;
		evidence->new_bad += (float)is_bad;
	} else {
		evidence->old_answers += 1;
		evidence->old_bad += (float)is_bad;
	}
}

void cw_rollouts_spoiled(struct cw_rollouts *rollouts, const char *service, uint64_t route,
			 const char *software, int64_t now_ms)
{
	struct rollout *rollout = rollout_find(rollouts, service);
	struct cw_rollout_evidence *evidence;

	if (!rollout)
		return;
	rollout_fade(rollout, now_ms);
	evidence = find_route(rollout->routes, &rollout->route_count, route);
	if (!strcmp(rollout->target, software))
		evidence->new_bad = MIN(evidence->new_bad + 1, evidence->new_answers);
	else
		evidence->old_bad = MIN(evidence->old_bad + 1, evidence->old_answers);
}

void rollout_fade(struct rollout *rollout, int64_t now_ms)
{
	float factor = expf(-(float)(now_ms - rollout->counted_ms) / DECAY_MS);

	for (size_t i = 0; i < rollout->route_count; i++) {
		rollout->routes[i].old_answers *= factor;
		rollout->routes[i].old_bad *= factor;
		rollout->routes[i].new_answers *= factor;
		rollout->routes[i].new_bad *= factor;
	}
	rollout->counted_ms = now_ms;
}

void rollout_hear_evidence(struct rollout *rollout, uint64_t instance,
			   const struct cw_rollout_news *news, int64_t now_ms)
{
	struct rollout_peer *peer = g_hash_table_lookup(rollout->peers, &instance);

	if (!peer) {
		peer = g_new0(struct rollout_peer, 1);
		peer->instance = instance;
		g_hash_table_insert(rollout->peers, &peer->instance, peer);
	}
	peer->heard_ms = now_ms;
	peer->route_count = MIN(news->route_count, CW_ROLLOUT_ROUTES);
	memcpy(peer->routes, news->routes, sizeof(peer->routes));
}

int rollout_is_bad(struct rollout *rollout, int64_t now_ms)
{
	struct cw_rollout_evidence routes[CW_ROLLOUT_ROUTES];
	struct cw_rollout_evidence all = {0};
	size_t count = pool_evidence(rollout, now_ms, routes);

	for (size_t i = 0; i < count; i++) {
		if (is_bad(&routes[i]))
			return 1;
		add_evidence(&all, &routes[i], 1);
	}
	return is_bad(&all);
}

/* Routes beyond the room share the last entry. */
static struct cw_rollout_evidence *find_route(struct cw_rollout_evidence *routes, size_t *count,
					      uint64_t route)
{
	for (size_t i = 0; i < *count; i++)
		if (routes[i].route == route)
			return &routes[i];
	if (*count == CW_ROLLOUT_ROUTES)
		return &routes[*count - 1];
	memset(&routes[*count], 0, sizeof(routes[*count]));
	routes[*count].route = route;
	return &routes[(*count)++];
}

static size_t pool_evidence(struct rollout *rollout, int64_t now_ms,
			    struct cw_rollout_evidence *routes)
{
	size_t count = rollout->route_count;
	GHashTableIter iter;
	gpointer value;

	rollout_fade(rollout, now_ms);
	memcpy(routes, rollout->routes, sizeof(rollout->routes));
	g_hash_table_iter_init(&iter, rollout->peers);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct rollout_peer *peer = value;
		float factor = expf(-(float)(now_ms - peer->heard_ms) / DECAY_MS);

		for (size_t i = 0; i < peer->route_count; i++) {
			const struct cw_rollout_evidence *from = &peer->routes[i];

			add_evidence(find_route(routes, &count, from->route), from, factor);
		}
	}
	return count;
}

static void add_evidence(struct cw_rollout_evidence *to, const struct cw_rollout_evidence *from,
			 float factor)
{
	to->old_answers += factor * from->old_answers;
	to->old_bad += factor * from->old_bad;
	to->new_answers += factor * from->new_answers;
	to->new_bad += factor * from->new_bad;
}

/*
 * Likelihood ratio of "fails far more often than the old version" to "fails about as often". The
 * old version's failures in the same seconds are the measure, so a fault that strikes both, such
 * as crashing servers, condemns neither.
 */
static int is_bad(const struct cw_rollout_evidence *evidence)
{
	double old_rate = (evidence->old_bad + 0.5) / (evidence->old_answers + 10);
	double usual = MIN(1.5 * old_rate + USUAL_BAD, 0.4);
	double bad = MIN(MAX(BAD_AT_LEAST, 3 * usual), 0.9);
	double good_answers = evidence->new_answers - evidence->new_bad;

	return evidence->new_bad >= TRIP_BAD &&
	       evidence->new_bad * log(bad / usual) + good_answers * log((1 - bad) / (1 - usual)) >
		       TRIP_LEVEL;
}
