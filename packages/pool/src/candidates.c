/* Which servers a request may go to at all; the pool's policy then chooses among them. */
#include "cw_hash.h"
#include "pool_internal.h"

#include <math.h>
#include <string.h>

#define NARROW_MIN	2   /* servers: on a single one a burst looks like a slow version */
#define OWN_CANDIDATES	192 /* near ones: with so many no others are needed */
#define MAX_CANDIDATES	256
#define PLACE_MS	1000 /* between two looks at the members: of hundreds, for hundreds of servers */
#define FILL_BACKLOG_MS 800.0 /* prompts that wait there: half of the usual objective */

/* The best of many servers by score. */
struct sample {
	struct cw_server **servers;
	uint64_t scores[MAX_CANDIDATES];
	size_t count;
	size_t max;
	size_t least; /* which has the lowest score, once it is full */
};

static size_t collect(struct cw_pool *pool, const struct cw_choice *choice,
		      struct cw_server **candidates);
static size_t collect_sample(struct cw_pool *pool, const struct cw_choice *choice,
			     struct cw_server **candidates);
static uint64_t sample_key(const struct cw_choice *choice);
static void draw(struct sample *sample, struct cw_server *server, uint64_t score);
static int is_candidate(struct cw_pool *pool, struct cw_server *server,
			const struct cw_choice *choice);
static int is_software(const struct cw_server *server, const char *software);
static size_t narrow(struct cw_server **candidates, size_t count, const struct cw_choice *choice);
static struct cw_server *choose_to_fill(struct cw_server **candidates, size_t count,
					const struct cw_choice *choice);
static int is_tried(const struct cw_choice *choice, uint64_t id);
static int may_serve(const struct cw_server *server, const struct cw_choice *choice);
static void update_place(const struct cw_pool *pool, struct cw_server *server, int64_t now_ms);

struct cw_server *cw_pool_choose(struct cw_pool *pool, const struct cw_choice *choice)
{
	struct cw_server *candidates[MAX_CANDIDATES];
	struct cw_server *server;
	size_t count = collect(pool, choice, candidates);

	if (count > MAX_CANDIDATES)
		count = collect_sample(pool, choice, candidates);
	server = choice->fill_part > 0 ? choose_to_fill(candidates, count, choice) : NULL;
	if (server)
		return server;
	if (choice->spread > 0 && choice->spread < 1)
		count = narrow(candidates, count, choice);
	return count ? pool->choice->choose(candidates, count, choice) : NULL;
}

/* All of them, if they aren't more than there is room for; how many they are, one more at most. */
static size_t collect(struct cw_pool *pool, const struct cw_choice *choice,
		      struct cw_server **candidates)
{
	struct cw_server *server;
	size_t count = 0;

	TAILQ_FOREACH(server, &pool->servers, link) {
		if (!is_candidate(pool, server, choice))
			continue;
		if (count == MAX_CANDIDATES)
			return count + 1;
		candidates[count++] = server;
	}
	return count;
}

/*
 * Load pattern: ten thousand servers, a thousand instances. All sent to the first of the list, a
 * few dozens of which got sixty times the mean while most got nothing. So a request's prompt draws
 * its candidates, by rendezvous: all instances look for the same prompt at the same servers, and
 * for others elsewhere.
 */
static size_t collect_sample(struct cw_pool *pool, const struct cw_choice *choice,
			     struct cw_server **candidates)
{
	struct sample own = {.servers = candidates, .max = OWN_CANDIDATES};
	struct sample others = {.max = MAX_CANDIDATES - OWN_CANDIDATES};
	struct cw_server *foreign[MAX_CANDIDATES - OWN_CANDIDATES];
	uint64_t key = sample_key(choice);
	struct cw_server *server;

	others.servers = foreign;
	TAILQ_FOREACH(server, &pool->servers, link) {
		int is_own = !strcmp(server->failure_domain, choice->failure_domain);

		if (is_candidate(pool, server, choice))
			draw(is_own ? &own : &others, server, cw_rendezvous_bits(key, server->id));
	}
	/* Enough near ones: what goes to another domain costs more than a prompt read again there.
	 */
	if (own.count == OWN_CANDIDATES)
		return own.count;
	for (size_t i = 0; i < others.count; i++)
		candidates[own.count + i] = foreign[i];
	return own.count + others.count;
}

/* A version's share of the requests goes to servers that are the same whatever is asked. */
static uint64_t sample_key(const struct cw_choice *choice)
{
	if (choice->fill_part > 0 || (choice->spread > 0 && choice->spread < 1))
		return 0;
	return choice->prefix ? choice->prefix : choice->random;
}

/* Keeps those with the highest scores. */
static void draw(struct sample *sample, struct cw_server *server, uint64_t score)
{
	size_t at = sample->least;

	if (sample->count < sample->max)
		at = sample->count++;
	else if (score <= sample->scores[at])
		return;
	sample->servers[at] = server;
	sample->scores[at] = score;
	if (sample->count < sample->max)
		return;
	sample->least = 0;
	for (size_t i = 1; i < sample->count; i++)
		if (sample->scores[i] < sample->scores[sample->least])
			sample->least = i;
}

static int is_candidate(struct cw_pool *pool, struct cw_server *server,
			const struct cw_choice *choice)
{
	if (!may_serve(server, choice))
		return 0;
	update_place(pool, server, choice->now_ms);
	return cw_warmup_admits(&server->warmup, &choice->cold, choice->now_ms);
}

int64_t cw_pool_cold_wait_ms(struct cw_pool *pool, const struct cw_choice *choice)
{
	struct cw_server *server;
	int64_t least_ms = -1;

	TAILQ_FOREACH(server, &pool->servers, link) {
		int64_t wait_ms;

		if (!may_serve(server, choice))
			continue;
		update_place(pool, server, choice->now_ms);
		wait_ms = cw_warmup_wait_ms(&server->warmup, &choice->cold, choice->now_ms);
		if (wait_ms > 0 && (least_ms < 0 || wait_ms < least_ms))
			least_ms = wait_ms;
	}
	return least_ms;
}

static int may_serve(const struct cw_server *server, const struct cw_choice *choice)
{
	if (!server->tracked || strcmp(server->service, choice->service) != 0)
		return 0;
	if (server->leaving || server->is_drained || is_tried(choice, server->id))
		return 0;
	if (!cw_homes_allow(choice->route_homes, server->region) ||
	    !cw_homes_allow(choice->organisation_homes, server->region))
		return 0;
	if (!choice->is_desperate && !cw_pool_is_usable(server, choice->now_ms))
		return 0;
	if (choice->version && !cw_pool_serves(server, choice->version))
		return 0;
	if (choice->only_software && strcmp(server->software, choice->only_software) != 0)
		return 0;
	return !is_software(server, choice->not_software) && !is_software(server, choice->not_yet);
}

/* Members come and go slowly, and a place is asked for by each request. */
static void update_place(const struct cw_pool *pool, struct cw_server *server, int64_t now_ms)
{
	struct cw_warmup *warmup = &server->warmup;

	if (!pool->find_place || !cw_warmup_is_cold(warmup, now_ms) ||
	    (warmup->place_ms && now_ms - warmup->place_ms < PLACE_MS))
		return;
	pool->find_place(pool->place_context, server->id, &warmup->place);
	warmup->place_ms = now_ms;
}

/*
 * A new version that gets a tenth of the requests on all of its servers is never tried under load.
 * On a tenth of its servers, the same ones for every instance, it meets the load it will have.
 */
static size_t narrow(struct cw_server **candidates, size_t count, const struct cw_choice *choice)
{
	size_t keep = (size_t)ceil((double)count * choice->spread);

	if (keep < NARROW_MIN)
		keep = NARROW_MIN;
	for (size_t i = 0; i < keep && i < count; i++) {
		size_t best = i;

		for (size_t j = i + 1; j < count; j++)
			if (candidates[j]->id > candidates[best]->id)
				best = j;
		if (best != i) {
			struct cw_server *other = candidates[i];

			candidates[i] = candidates[best];
			candidates[best] = other;
		}
	}
	return MIN(keep, count);
}

/*
 * Load pattern: a new version's share of the requests, spread evenly, leaves each of its servers
 * nearly empty. One is filled, the same for every instance; in time of a queue there, the others
 * take the request as usual.
 */
static struct cw_server *choose_to_fill(struct cw_server **candidates, size_t count,
					const struct cw_choice *choice)
{
	struct cw_server *first = NULL;

	for (size_t i = 0; i < count; i++)
		if (!first || candidates[i]->id > first->id)
			first = candidates[i];
	if (!first || cw_pool_load(first, choice->now_ms) >= choice->fill_part * first->slots)
		return NULL;
	if (cw_pool_backlog_ms(first, choice->usual_work_ms, choice->now_ms) > FILL_BACKLOG_MS)
		return NULL;
	return first;
}

static int is_tried(const struct cw_choice *choice, uint64_t id)
{
	for (size_t i = 0; i < choice->tried_count; i++)
		if (choice->tried[i] == id)
			return 1;
	return 0;
}

static int is_software(const struct cw_server *server, const char *software)
{
	return software && !strcmp(server->software, software);
}
