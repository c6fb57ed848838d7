#include "cw_hash.h"
#include "cw_pool.h"

#include <glib.h>
#include <math.h>
#include <string.h>

#define AFFINITY_LOAD_FACTOR 1.25 /* bound of an affinity server's load: mean load times this, */
#define AFFINITY_LOAD_EXTRA  1.0  /* plus this many requests */
#define SPILL_GAIN_MS	     20.0 /* least predicted gain that justifies another failure domain */
#define SLOW_START_MS	     5000
#define DEFAULT_SLOTS	     8

static size_t move_local_first(struct cw_server **candidates, size_t count,
			       const char *failure_domain);
static struct cw_server *choose_less_loaded(struct cw_server **candidates, size_t count,
					    const struct cw_choice *choice);
static struct cw_server *choose_by_prefix(struct cw_server **candidates, size_t count,
					  const struct cw_choice *choice);
static struct cw_server *spill_over(struct cw_server *local, struct cw_server **others,
				    size_t count, const struct cw_choice *choice);
static double load_per_slot(const struct cw_server *server, int64_t now_ms);
static struct cw_server *choose_affinity(struct cw_server **candidates, size_t count,
					 const struct cw_choice *choice);
static struct cw_server *choose_two(struct cw_server **candidates, size_t count,
				    const struct cw_choice *choice);
static struct cw_server *choose_round_robin(struct cw_server **candidates, size_t count,
					    const struct cw_choice *choice);
static struct cw_server *choose_least_reported(struct cw_server **candidates, size_t count,
					       const struct cw_choice *choice);
static struct cw_server *choose_random(struct cw_server **candidates, size_t count,
				       const struct cw_choice *choice);

const struct cw_choice_policy cw_choice_affinity = {"affinity", choose_affinity};
const struct cw_choice_policy cw_choice_two = {"two_choices", choose_two};
const struct cw_choice_policy cw_choice_round_robin = {"round_robin", choose_round_robin};
const struct cw_choice_policy cw_choice_least_reported = {"least_reported", choose_least_reported};
const struct cw_choice_policy cw_choice_random = {"random", choose_random};

const struct cw_choice_policy *cw_choice_policy_find(const char *name)
{
	static const struct cw_choice_policy *const policies[] = {
		&cw_choice_affinity,	   &cw_choice_two,
		&cw_choice_round_robin,	   &cw_choice_cost,
		&cw_choice_least_reported, &cw_choice_random,
	};

	for (size_t i = 0; i < G_N_ELEMENTS(policies); i++)
		if (!strcmp(policies[i]->name, name))
			return policies[i];
	return NULL;
}

static struct cw_server *choose_affinity(struct cw_server **candidates, size_t count,
					 const struct cw_choice *choice)
{
	size_t local = move_local_first(candidates, count, choice->failure_domain);
	struct cw_server *server;

	if (local == 0)
		return choose_less_loaded(candidates, count, choice);
	server = choose_by_prefix(candidates, local, choice);
	if (!server)
		server = choose_less_loaded(candidates, local, choice);
	return spill_over(server, candidates + local, count - local, choice);
}

static struct cw_server *choose_two(struct cw_server **candidates, size_t count,
				    const struct cw_choice *choice)
{
	size_t local = move_local_first(candidates, count, choice->failure_domain);

	if (local == 0)
		return choose_less_loaded(candidates, count, choice);
	return spill_over(choose_less_loaded(candidates, local, choice), candidates + local,
			  count - local, choice);
}

static struct cw_server *choose_round_robin(struct cw_server **candidates, size_t count,
					    const struct cw_choice *choice)
{
	struct cw_server *best = candidates[0];

	for (size_t i = 1; i < count; i++)
		if (candidates[i]->round_robin_count < best->round_robin_count)
			best = candidates[i];
	best->round_robin_count++;
	return best;
}

static struct cw_server *choose_least_reported(struct cw_server **candidates, size_t count,
					       const struct cw_choice *choice)
{
	struct cw_server *best = candidates[choice->random % count];

	for (size_t i = 0; i < count; i++)
		if (candidates[i]->running + candidates[i]->queued < best->running + best->queued)
			best = candidates[i];
	return best;
}

static struct cw_server *choose_random(struct cw_server **candidates, size_t count,
				       const struct cw_choice *choice)
{
	return candidates[choice->random % count];
}

/* Moves the servers of the failure domain to the front and returns their number. */
static size_t move_local_first(struct cw_server **candidates, size_t count,
			       const char *failure_domain)
{
	size_t local = 0;

	for (size_t i = 0; i < count; i++) {
		struct cw_server *server = candidates[i];

		if (strcmp(server->failure_domain, failure_domain) != 0)
			continue;
		candidates[i] = candidates[local];
		candidates[local++] = server;
	}
	return local;
}

static struct cw_server *choose_less_loaded(struct cw_server **candidates, size_t count,
					    const struct cw_choice *choice)
{
	size_t first = choice->random % count;
	size_t second = (choice->random >> 32) % count;

	if (first == second)
		second = (second + 1) % count;
	if (load_per_slot(candidates[second], choice->now_ms) <
	    load_per_slot(candidates[first], choice->now_ms))
		return candidates[second];
	return candidates[first];
}

/*
 * Consistent hashing with bounded loads: the first server by rendezvous whose load is within the
 * bound and that has no predicted wait. NULL: no prefix, or no such server.
 */
static struct cw_server *choose_by_prefix(struct cw_server **candidates, size_t count,
					  const struct cw_choice *choice)
{
	struct cw_server *best = NULL;
	double best_score = -1;
	double total = 0;

	if (!choice->prefix)
		return NULL;
	for (size_t i = 0; i < count; i++)
		total += cw_pool_load(candidates[i], choice->now_ms);
	for (size_t i = 0; i < count; i++) {
		double score = cw_rendezvous_score(choice->prefix, candidates[i]->id, 1);
		double bound = AFFINITY_LOAD_FACTOR * total / (double)count + AFFINITY_LOAD_EXTRA;

		if (score <= best_score || cw_pool_load(candidates[i], choice->now_ms) > bound)
			continue;
		if (cw_pool_wait_ms(candidates[i], choice->now_ms) > 0)
			continue;
		best = candidates[i];
		best_score = score;
	}
	return best;
}

/* Uses another failure domain only if the predicted gain exceeds the round trip and the noise. */
static struct cw_server *spill_over(struct cw_server *local, struct cw_server **others,
				    size_t count, const struct cw_choice *choice)
{
	double local_wait = cw_pool_wait_ms(local, choice->now_ms);
	struct cw_server *other;

	if (count == 0 || local_wait <= SPILL_GAIN_MS)
		return local;
	other = choose_less_loaded(others, count, choice);
	return cw_pool_wait_ms(other, choice->now_ms) + SPILL_GAIN_MS < local_wait ? other : local;
}

/*
 * Load per slot. Slow start: after its breaker closes, a server's load counts up to four times,
 * falling back to its real value within SLOW_START_MS.
 */
static double load_per_slot(const struct cw_server *server, int64_t now_ms)
{
	double slots = server->slots ? server->slots : DEFAULT_SLOTS;
	double slot_load = (cw_pool_load(server, now_ms) + 1) / slots;
	double closed_for_ms = (double)(now_ms - server->breaker_closed_ms);

	if (server->breaker_closed_ms < 0 || closed_for_ms >= SLOW_START_MS)
		return slot_load;
	return slot_load * (1 + 3 * (1 - closed_for_ms / SLOW_START_MS));
}
