#include "cw_hash.h"
#include "cw_pool.h"

#include <glib.h>
#include <math.h>
#include <string.h>

#define AFFINITY_SLACK 1.25 /* a prefix's server may carry this much of the average, and */
#define AFFINITY_SPARE 1.0  /* this many requests more */
#define SPILL_WAIT_MS  20.0 /* predicted gain below which a request stays in its domain */
#define SLOW_START_MS  5000
#define SLOTS_UNKNOWN  8

static size_t in_domain(struct cw_server **candidates, size_t count, const char *failure_domain);
static struct cw_server *two_choices(struct cw_server **candidates, size_t count,
				     const struct cw_choice *choice);
static struct cw_server *affine(struct cw_server **candidates, size_t count,
				const struct cw_choice *choice);
static struct cw_server *spill(struct cw_server *local, struct cw_server **others, size_t count,
			       const struct cw_choice *choice);
static double busyness(const struct cw_server *server, int64_t now_ms);
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
	size_t local = in_domain(candidates, count, choice->failure_domain);
	struct cw_server *server;

	if (local == 0)
		return two_choices(candidates, count, choice);
	server = affine(candidates, local, choice);
	if (!server)
		server = two_choices(candidates, local, choice);
	return spill(server, candidates + local, count - local, choice);
}

static struct cw_server *choose_two(struct cw_server **candidates, size_t count,
				    const struct cw_choice *choice)
{
	size_t local = in_domain(candidates, count, choice->failure_domain);

	if (local == 0)
		return two_choices(candidates, count, choice);
	return spill(two_choices(candidates, local, choice), candidates + local, count - local,
		     choice);
}

static struct cw_server *choose_round_robin(struct cw_server **candidates, size_t count,
					    const struct cw_choice *choice)
{
	struct cw_server *best = candidates[0];

	for (size_t i = 1; i < count; i++)
		if (candidates[i]->turn < best->turn)
			best = candidates[i];
	best->turn++;
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

/* Moves the domain's own servers to the front; returns how many they are. */
static size_t in_domain(struct cw_server **candidates, size_t count, const char *failure_domain)
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

static struct cw_server *two_choices(struct cw_server **candidates, size_t count,
				     const struct cw_choice *choice)
{
	size_t first = choice->random % count;
	size_t second = (choice->random >> 32) % count;

	if (first == second)
		second = (second + 1) % count;
	if (busyness(candidates[second], choice->now_ms) <
	    busyness(candidates[first], choice->now_ms))
		return candidates[second];
	return candidates[first];
}

/* The prefix's first server by rendezvous that is not loaded beyond its share: bounded load. */
static struct cw_server *affine(struct cw_server **candidates, size_t count,
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
		double score = cw_rendezvous(choice->prefix, candidates[i]->id, 1);
		double bound = AFFINITY_SLACK * total / (double)count + AFFINITY_SPARE;

		if (score <= best_score || cw_pool_load(candidates[i], choice->now_ms) > bound)
			continue;
		if (cw_pool_wait_ms(candidates[i], choice->now_ms) > 0)
			continue;
		best = candidates[i];
		best_score = score;
	}
	return best;
}

/* Another domain only when it is predicted to be sooner by more than the way there and the noise.
 */
static struct cw_server *spill(struct cw_server *local, struct cw_server **others, size_t count,
			       const struct cw_choice *choice)
{
	double local_wait = cw_pool_wait_ms(local, choice->now_ms);
	struct cw_server *other;

	if (count == 0 || local_wait <= SPILL_WAIT_MS)
		return local;
	other = two_choices(others, count, choice);
	return cw_pool_wait_ms(other, choice->now_ms) + SPILL_WAIT_MS < local_wait ? other : local;
}

/* Load per slot; a server just restored counts as fuller than it is, less so from second to second.
 */
static double busyness(const struct cw_server *server, int64_t now_ms)
{
	double slots = server->slots ? server->slots : SLOTS_UNKNOWN;
	double busy = (cw_pool_load(server, now_ms) + 1) / slots;
	double since = (double)(now_ms - server->restored_ms);

	if (server->restored_ms < 0 || since >= SLOW_START_MS)
		return busy;
	return busy * (1 + 3 * (1 - since / SLOW_START_MS));
}
