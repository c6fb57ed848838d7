/*
 * Placement by cost: the predicted wait at each server, the prefill that the server would have to
 * do, its failures and the transfer between failure domains, all expressed in milliseconds.
 */
#include "cw_hash.h"
#include "pool_internal.h"

#include <math.h>
#include <string.h>

#define EVIDENCE_DECAY_MS 4000 /* time constant; a server may recover without a request */
#define FAILURE_RATE_GAIN 0.25 /* weight of the newest attempt */
#define SLOWNESS_GAIN	  0.3  /* weight of the newest attempt */
#define SLOWNESS_MAX	  20.0
#define PEERS_PEAK_MS	  500 /* time constant: announcements are 150 ms apart, and may get lost */

static double cost_of(const struct cw_server *server, const struct cw_choice *choice,
		      int is_affinity_server);
static struct cw_server *choose_cost(struct cw_server **candidates, size_t count,
				     const struct cw_choice *choice);
static const struct cw_server *find_affinity_server(struct cw_server **candidates, size_t count,
						    const struct cw_choice *choice);
static double evidence_weight(const struct cw_server *server, int64_t now_ms);

const struct cw_choice_policy cw_choice_cost = {"cost", choose_cost};

void cw_pool_record_outcome(struct cw_server *server, int is_failure, double slowness,
			    int64_t now_ms)
{
	double rate = cw_pool_failure_rate(server, now_ms);
	double slow = cw_pool_slowness(server, now_ms);

	server->failure_rate = rate + FAILURE_RATE_GAIN * (is_failure - rate);
	if (slowness > 0)
		slow += SLOWNESS_GAIN * (MIN(slowness, SLOWNESS_MAX) - slow);
	server->slowness = slow;
	server->evidence_ms = now_ms;
}

void cw_pool_begin_work(struct cw_server *server, double work_ms, double mean_work_ms,
			int64_t now_ms)
{
	server->work_until_ms = (double)now_ms + cw_pool_backlog_ms(server, mean_work_ms, now_ms) +
				work_ms * cw_pool_pace(server, now_ms);
	server->own_work_ms += work_ms;
}

void cw_pool_end_work(struct cw_server *server, double work_ms)
{
	server->own_work_ms = MAX(server->own_work_ms - work_ms, 0);
}

/*
 * The work of a prompt is removed only when its answer begins. If it counted in full until then, a
 * server with three prompts of 600 ms would look 1.7 s late until all three were processed. The
 * backlog therefore falls with time, but not below policy->unread_least of the work, because the
 * server may be slower than predicted.
 */
double cw_pool_own_work_ms(const struct cw_server *server, int64_t now_ms)
{
	double until_ms = server->work_until_ms - (double)now_ms;
	double left_ms = MAX(until_ms / cw_pool_pace(server, now_ms),
			     server->policy->unread_least * server->own_work_ms);

	return MIN(server->own_work_ms, left_ms);
}

void cw_pool_record_peers_work(struct cw_server *server, int64_t now_ms)
{
	server->peers_work_peak_ms =
		MAX(cw_pool_recent_peers_work_ms(server, now_ms), server->peers_work_ms);
	server->peers_work_peak_at = now_ms;
}

double cw_pool_recent_peers_work_ms(const struct cw_server *server, int64_t now_ms)
{
	double age_ms = (double)(now_ms - server->peers_work_peak_at);

	return server->peers_work_peak_ms * exp(-age_ms / PEERS_PEAK_MS);
}

/*
 * With dozens of instances that each send a few requests to the same servers, gossip about the
 * peers' work is a second old. The queue length that a server reports with each answer is newer but
 * does not include the length of the queued prompts. The larger of the two estimates counts.
 */
double cw_pool_backlog_ms(const struct cw_server *server, double mean_work_ms, int64_t now_ms)
{
	double known_ms = cw_pool_own_work_ms(server, now_ms);
	double reported_ms = 0;

	if (now_ms - server->peers_ms < server->policy->peers_ms)
		known_ms += server->peers_work_ms;
	if (server->sampled_ms >= 0 && now_ms - server->sampled_ms < server->policy->told_ms)
		reported_ms = server->queued * mean_work_ms + cw_pool_own_work_ms(server, now_ms);
	return MAX(known_ms, reported_ms) * cw_pool_pace(server, now_ms);
}

struct cw_server_work *cw_pool_work(struct cw_server *server)
{
	if (!server->work) {
		server->work = g_new0(struct cw_server_work, 1);
		TAILQ_INSERT_TAIL(&server->pool->worked, server, worked_link);
	}
	return server->work;
}

void cw_pool_record_prediction(struct cw_server *server, double taken_ms, double predicted_ms,
			       int64_t now_ms)
{
	cw_prediction_add(&cw_pool_work(server)->prediction, taken_ms, predicted_ms, now_ms);
	cw_prediction_add(&server->pool->prediction, taken_ms, predicted_ms, now_ms);
}

const struct cw_prediction *cw_pool_prediction(const struct cw_pool *pool)
{
	return &pool->prediction;
}

double cw_pool_failure_rate(const struct cw_server *server, int64_t now_ms)
{
	return server->failure_rate * evidence_weight(server, now_ms);
}

double cw_pool_slowness(const struct cw_server *server, int64_t now_ms)
{
	if (server->slowness <= 0)
		return 1;
	return 1 + (server->slowness - 1) * evidence_weight(server, now_ms);
}

static struct cw_server *choose_cost(struct cw_server **candidates, size_t count,
				     const struct cw_choice *choice)
{
	const struct cw_server *affinity_server = find_affinity_server(candidates, count, choice);
	struct cw_server *best = candidates[0];
	double best_cost = G_MAXDOUBLE;

	for (size_t i = 0; i < count; i++) {
		double noise =
			(double)(cw_hash(&candidates[i]->id, sizeof(uint64_t), choice->random) &
				 0xff) /
			256 * candidates[i]->policy->noise_ms;
		double cost = cost_of(candidates[i], choice,
				      affinity_server && candidates[i] == affinity_server) +
			      noise;

		if (cost >= best_cost)
			continue;
		best = candidates[i];
		best_cost = cost;
	}
	if (choice->is_affinity_server)
		*choice->is_affinity_server = affinity_server && best == affinity_server;
	return best;
}

/*
 * The affinity server of a prompt prefix, by rendezvous: every instance prefers the same server
 * without coordination, so a prefix is processed once in the system and not once per instance.
 */
static const struct cw_server *find_affinity_server(struct cw_server **candidates, size_t count,
						    const struct cw_choice *choice)
{
	const struct cw_server *affinity_server = NULL;
	double best = -1;

	for (size_t i = 0; choice->prefix && i < count; i++) {
		double score = cw_rendezvous_score(choice->prefix, candidates[i]->id, 1);

		if (score > best) {
			best = score;
			affinity_server = candidates[i];
		}
	}
	return affinity_server;
}

static double cost_of(const struct cw_server *server, const struct cw_choice *choice,
		      int is_affinity_server)
{
	int64_t now_ms = choice->now_ms;
	double tokens = choice->prompt_tokens - (is_affinity_server ? choice->prefix_tokens : 0);
	double work_ms = cw_pool_backlog_ms(server, choice->mean_work_ms, now_ms) +
			 tokens * choice->ms_per_token * cw_pool_pace(server, now_ms);
	const struct cw_policy *policy = server->policy;
	double slowness = 1 + policy->slowness_part * (cw_pool_slowness(server, now_ms) - 1);
	double cost = (cw_pool_wait_ms(server, now_ms) + work_ms) * slowness;

	cost += cw_pool_load(server, now_ms) * policy->running_ms;
	cost += cw_pool_failure_rate(server, now_ms) * policy->failure_ms;
	if (!is_affinity_server)
		cost += choice->prefix_tokens * policy->again_token_ms;
	if (strcmp(server->failure_domain, choice->failure_domain) != 0)
		cost += (double)choice->bytes * policy->cross_byte_ms;
	return cost;
}

static double evidence_weight(const struct cw_server *server, int64_t now_ms)
{
	return exp(-(double)(now_ms - server->evidence_ms) / EVIDENCE_DECAY_MS);
}
