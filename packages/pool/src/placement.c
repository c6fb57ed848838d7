/*
 * Placement by cost: what a request would wait at each server, what the server would have to read,
 * and what the way there costs, all in milliseconds.
 */
#include "cw_hash.h"
#include "cw_pool.h"

#include <glib.h>
#include <math.h>
#include <string.h>

#define FORGET_MS     4000 /* evidence on a server counts 1/e after it: it may have recovered */
#define RATE_GAIN     0.25 /* of the newest answer */
#define SLOWNESS_GAIN 0.3
#define SLOWNESS_MAX  20.0

static double cost_of(const struct cw_server *server, const struct cw_choice *choice, int is_home);
static struct cw_server *choose_cost(struct cw_server **candidates, size_t count,
				     const struct cw_choice *choice);
static const struct cw_server *find_home(struct cw_server **candidates, size_t count,
					 const struct cw_choice *choice);
static double faded(const struct cw_server *server, int64_t now_ms);

const struct cw_choice_policy cw_choice_cost = {"cost", choose_cost};

void cw_pool_judged(struct cw_server *server, int is_failure, double slowness, int64_t now_ms)
{
	double rate = cw_pool_failure_rate(server, now_ms);
	double slow = cw_pool_slowness(server, now_ms);

	server->failure_rate = rate + RATE_GAIN * (is_failure - rate);
	if (slowness > 0)
		slow += SLOWNESS_GAIN * (MIN(slowness, SLOWNESS_MAX) - slow);
	server->slowness = slow;
	server->judged_ms = now_ms;
}

void cw_pool_work_begin(struct cw_server *server, double work_ms, double usual_work_ms,
			int64_t now_ms)
{
	server->work_until_ms =
		(double)now_ms + cw_pool_backlog_ms(server, usual_work_ms, now_ms) + work_ms;
	server->own_work_ms += work_ms;
}

void cw_pool_work_end(struct cw_server *server, double work_ms)
{
	server->own_work_ms = MAX(server->own_work_ms - work_ms, 0);
}

/*
 * Load pattern: three prompts of 600 ms on one server. Each counts until its answer begins, so that
 * the server looked 1.7 s late until the moment when all three had been read. What was read of them
 * meanwhile is known from their ages; but a server may be slower than predicted.
 */
double cw_pool_own_work_ms(const struct cw_server *server, int64_t now_ms)
{
	double left_ms = MAX(server->work_until_ms - (double)now_ms,
			     server->policy->unread_least * server->own_work_ms);

	return MIN(server->own_work_ms, left_ms);
}

/*
 * Load pattern: dozens of instances, each with a few requests, send to the same servers. What an
 * instance knows of its peers is a second old in a large system; the number of requests that wait,
 * which a server tells with each answer, is newer but doesn't say how long their prompts are.
 */
double cw_pool_backlog_ms(const struct cw_server *server, double usual_work_ms, int64_t now_ms)
{
	double known_ms = cw_pool_own_work_ms(server, now_ms);
	double told_ms = 0;

	if (now_ms - server->peers_ms < server->policy->peers_ms)
		known_ms += server->peers_work_ms;
	if (server->sampled_ms >= 0 && now_ms - server->sampled_ms < server->policy->told_ms)
		told_ms = server->queued * usual_work_ms + cw_pool_own_work_ms(server, now_ms);
	return MAX(known_ms, told_ms);
}

double cw_pool_failure_rate(const struct cw_server *server, int64_t now_ms)
{
	return server->failure_rate * faded(server, now_ms);
}

double cw_pool_slowness(const struct cw_server *server, int64_t now_ms)
{
	if (server->slowness <= 0)
		return 1;
	return 1 + (server->slowness - 1) * faded(server, now_ms);
}

static struct cw_server *choose_cost(struct cw_server **candidates, size_t count,
				     const struct cw_choice *choice)
{
	const struct cw_server *home = find_home(candidates, count, choice);
	struct cw_server *best = candidates[0];
	double best_cost = G_MAXDOUBLE;

	for (size_t i = 0; i < count; i++) {
		double noise =
			(double)(cw_hash(&candidates[i]->id, sizeof(uint64_t), choice->random) &
				 0xff) /
			256 * candidates[i]->policy->noise_ms;
		double cost = cost_of(candidates[i], choice, home && candidates[i] == home) + noise;

		if (cost >= best_cost)
			continue;
		best = candidates[i];
		best_cost = cost;
	}
	if (choice->is_home)
		*choice->is_home = home && best == home;
	return best;
}

/*
 * The server where every instance, without a word to the others, first looks for a prompt's shared
 * beginning: its parts are then read once in the whole system and not once an instance.
 */
static const struct cw_server *find_home(struct cw_server **candidates, size_t count,
					 const struct cw_choice *choice)
{
	const struct cw_server *home = NULL;
	double best = -1;

	for (size_t i = 0; choice->prefix && i < count; i++) {
		double score = cw_rendezvous(choice->prefix, candidates[i]->id, 1);

		if (score > best) {
			best = score;
			home = candidates[i];
		}
	}
	return home;
}

static double cost_of(const struct cw_server *server, const struct cw_choice *choice, int is_home)
{
	int64_t now_ms = choice->now_ms;
	double tokens = choice->read_tokens - (is_home ? choice->shared_tokens : 0);
	double work_ms = cw_pool_backlog_ms(server, choice->usual_work_ms, now_ms) +
			 tokens * choice->ms_per_token;
	const struct cw_policy *policy = server->policy;
	double slowness = 1 + policy->slowness_part * (cw_pool_slowness(server, now_ms) - 1);
	double cost = (cw_pool_wait_ms(server, now_ms) + work_ms) * slowness;

	cost += cw_pool_load(server, now_ms) * policy->running_ms;
	cost += cw_pool_failure_rate(server, now_ms) * policy->failure_ms;
	if (!is_home)
		cost += choice->shared_tokens * policy->again_token_ms;
	if (strcmp(server->failure_domain, choice->failure_domain) != 0)
		cost += (double)choice->bytes * policy->cross_byte_ms;
	return cost;
}

static double faded(const struct cw_server *server, int64_t now_ms)
{
	return exp(-(double)(now_ms - server->judged_ms) / FORGET_MS);
}
