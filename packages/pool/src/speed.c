/* The speed of a server, as the pool's policy uses it. */
#include "pool_internal.h"

#include <math.h>

static double weigh(const struct cw_server *server, double reported, int64_t now_ms);

double cw_pool_pace(const struct cw_server *server, int64_t now_ms)
{
	return weigh(server, cw_pool_reported_pace(server, 0, now_ms), now_ms);
}

double cw_pool_lasting_pace(const struct cw_server *server, int64_t now_ms)
{
	return weigh(server, cw_pool_reported_pace(server, 1, now_ms), now_ms);
}

double cw_pool_reported_pace(const struct cw_server *server, int is_lasting, int64_t now_ms)
{
	double lifetime_ms = is_lasting ? 0 : server->policy->momentary_ms;

	return server->work ? cw_pace_reported(&server->work->pace, lifetime_ms, now_ms)
			    : CW_PACE_USUAL;
}

double cw_pool_reference_pace(const struct cw_server *server, int64_t now_ms)
{
	return server->work ? cw_pace_reference(&server->work->pace, now_ms) : CW_PACE_USUAL;
}

double cw_pool_learned_pace(const struct cw_server *server, int64_t now_ms)
{
	const struct cw_policy *policy = server->policy;

	if (!server->work || policy->pace_learned <= 0)
		return CW_PACE_USUAL;
	return pow(cw_pace_learned(&server->work->pace, now_ms), policy->pace_part);
}

void cw_pool_report_pace(struct cw_server *server, double momentary, int64_t now_ms)
{
	cw_pace_report(&cw_pool_work(server)->pace, momentary, now_ms);
}

void cw_pool_record_speed(struct cw_server *server, double ratio, int64_t now_ms)
{
	cw_pace_add_sample(&cw_pool_work(server)->pace, ratio, now_ms);
}

const struct cw_server_list *cw_pool_worked(const struct cw_pool *pool)
{
	return &pool->worked;
}

void pool_free_work(struct cw_server *server)
{
	if (!server->work)
		return;
	TAILQ_REMOVE(&server->pool->worked, server, worked_link);
	cw_pace_clear(&server->work->pace);
	g_clear_pointer(&server->work, g_free);
}

static double weigh(const struct cw_server *server, double reported, int64_t now_ms)
{
	double pace = pow(reported, server->policy->pace_part);

	return CLAMP(pace * cw_pool_learned_pace(server, now_ms), CW_PACE_MIN, CW_PACE_MAX);
}
