/* Which servers a request may go to at all; the pool's policy then chooses among them. */
#include "pool_internal.h"

#include <math.h>
#include <string.h>

#define NARROW_MIN	2 /* servers: on a single one a burst looks like a slow version */
#define MAX_CANDIDATES	256
#define PLACE_MS	1000 /* between two looks at the members: of hundreds, for hundreds of servers */
#define FILL_BACKLOG_MS 800.0 /* prompts that wait there: half of the usual objective */

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
	size_t count = 0;

	TAILQ_FOREACH(server, &pool->servers, link) {
		if (!may_serve(server, choice))
			continue;
		update_place(pool, server, choice->now_ms);
		if (!cw_warmup_admits(&server->warmup, &choice->cold, choice->now_ms))
			continue;
		candidates[count++] = server;
		if (count == MAX_CANDIDATES)
			break;
	}
	server = choice->fill_part > 0 ? choose_to_fill(candidates, count, choice) : NULL;
	if (server)
		return server;
	if (choice->spread > 0 && choice->spread < 1)
		count = narrow(candidates, count, choice);
	return count ? pool->choice->choose(candidates, count, choice) : NULL;
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
