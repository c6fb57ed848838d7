/* The candidate servers of a request, among which the pool's choice policy chooses. */
#include "cw_hash.h"
#include "pool_internal.h"

#include <math.h>
#include <string.h>

#define SHARE_MIN_SERVERS 2	/* on a single server a burst would look like a slow version */
#define LOCAL_CANDIDATES  192	/* of the own failure domain; with this many, no remote ones */
#define PLACE_REFRESH_MS  1000	/* ranking scans hundreds of members for each server */
#define PLACE_WAIT_MIN_MS 20	/* until a brittle server has room again */
#define FILL_BACKLOG_MS	  800.0 /* predicted work queued: half of the usual latency objective */

/* The servers with the highest scores, max at most. */
struct sample {
	struct cw_server **servers;
	uint64_t scores[POOL_CANDIDATES_MAX];
	size_t count;
	size_t max;
	size_t least; /* index of the lowest score once the sample is full */
};

static size_t collect_all(struct cw_pool *pool, const struct cw_choice *choice,
			  struct cw_server **candidates);
static size_t collect_sample(struct cw_pool *pool, const struct cw_choice *choice,
			     struct cw_server **candidates);
static uint64_t sample_key(const struct cw_choice *choice);
static void sample_add(struct sample *sample, struct cw_server *server, uint64_t score);
static int is_candidate(struct cw_pool *pool, struct cw_server *server,
			const struct cw_choice *choice);
static int runs_software(const struct cw_server *server, const char *software);
static size_t limit_to_share(struct cw_server **candidates, size_t count,
			     const struct cw_choice *choice);
static struct cw_server *choose_server_to_fill(struct cw_server **candidates, size_t count,
					       const struct cw_choice *choice);
static int64_t admission_wait_ms(struct cw_pool *pool, struct cw_server *server,
				 const struct cw_choice *choice, enum cw_admission *cause);
static int is_tried(const struct cw_choice *choice, uint64_t id);
static int64_t brittle_wait_ms(const struct cw_server *server, int64_t now_ms);
static int may_serve(const struct cw_server *server, const struct cw_choice *choice);
static void update_place(const struct cw_pool *pool, struct cw_server *server, int64_t now_ms);

struct cw_server *cw_pool_choose(struct cw_pool *pool, const struct cw_choice *choice)
{
	struct cw_server *candidates[POOL_CANDIDATES_MAX];
	struct cw_server *server;
	size_t count = collect_all(pool, choice, candidates);

	if (count > POOL_CANDIDATES_MAX)
		count = collect_sample(pool, choice, candidates);
	server = choice->fill_part > 0 ? choose_server_to_fill(candidates, count, choice) : NULL;
	if (server)
		return server;
	if (choice->server_share > 0 && choice->server_share < 1)
		count = limit_to_share(candidates, count, choice);
	return count ? pool->choice->choose(candidates, count, choice) : NULL;
}

/* Collects all candidates; returns their number, or POOL_CANDIDATES_MAX + 1 if there are more. */
static size_t collect_all(struct cw_pool *pool, const struct cw_choice *choice,
			  struct cw_server **candidates)
{
	struct cw_server *server;
	size_t count = 0;

	TAILQ_FOREACH(server, &pool->servers, link) {
		if (!is_candidate(pool, server, choice))
			continue;
		if (count == POOL_CANDIDATES_MAX)
			return count + 1;
		candidates[count++] = server;
	}
	return count;
}

/*
 * With ten thousand servers and a thousand instances, candidates taken from the head of the list
 * gave a few dozen servers sixty times the mean load and most servers none. Candidates are
 * therefore sampled by rendezvous on the prompt prefix: all instances consider the same servers for
 * the same prompt, and other servers for other prompts.
 */
static size_t collect_sample(struct cw_pool *pool, const struct cw_choice *choice,
			     struct cw_server **candidates)
{
	struct sample local = {.servers = candidates, .max = LOCAL_CANDIDATES};
	struct sample remote = {.max = POOL_CANDIDATES_MAX - LOCAL_CANDIDATES};
	struct cw_server *remote_servers[POOL_CANDIDATES_MAX - LOCAL_CANDIDATES];
	uint64_t key = sample_key(choice);
	struct cw_server *server;

	remote.servers = remote_servers;
	TAILQ_FOREACH(server, &pool->servers, link) {
		int is_local = !strcmp(server->failure_domain, choice->failure_domain);

		if (is_candidate(pool, server, choice))
			sample_add(is_local ? &local : &remote, server,
				   cw_rendezvous_hash(key, server->id));
	}
	/* Traffic to another failure domain costs more than processing the prompt prefix anew. */
	if (local.count == LOCAL_CANDIDATES)
		return local.count;
	for (size_t i = 0; i < remote.count; i++)
		candidates[local.count + i] = remote_servers[i];
	return local.count + remote.count;
}

/* The servers of a version that gets a share of the requests must not depend on the prompt. */
static uint64_t sample_key(const struct cw_choice *choice)
{
	if (choice->fill_part > 0 || (choice->server_share > 0 && choice->server_share < 1))
		return 0;
	return choice->prefix ? choice->prefix : choice->random;
}

/* Adds a server, in place of the one with the lowest score if the sample is full. */
static void sample_add(struct sample *sample, struct cw_server *server, uint64_t score)
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
	enum cw_admission cause;

	return may_serve(server, choice) && admission_wait_ms(pool, server, choice, &cause) == 0;
}

int64_t cw_pool_wait_for_admission_ms(struct cw_pool *pool, const struct cw_choice *choice,
				      enum cw_admission *cause)
{
	struct cw_server *server;
	int64_t least_ms = -1;

	TAILQ_FOREACH(server, &pool->servers, link) {
		enum cw_admission server_cause;
		int64_t wait_ms;

		if (!may_serve(server, choice))
			continue;
		wait_ms = admission_wait_ms(pool, server, choice, &server_cause);
		if (wait_ms <= 0 || (least_ms >= 0 && wait_ms >= least_ms))
			continue;
		least_ms = wait_ms;
		*cause = server_cause;
	}
	return least_ms;
}

/* Until the server admits a request, 0: now; the cause is that of the longest wait. */
static int64_t admission_wait_ms(struct cw_pool *pool, struct cw_server *server,
				 const struct cw_choice *choice, enum cw_admission *cause)
{
	int64_t now_ms = choice->now_ms;
	int64_t waits[CW_ADMISSION_CAUSES] = {0};

	update_place(pool, server, now_ms);
	waits[CW_ADMISSION_COLD] = cw_warmup_wait_ms(&server->warmup, &choice->cold, now_ms);
	waits[CW_ADMISSION_RESTING] = cw_pool_rest_ms(server, now_ms);
	if (server->reports)
		waits[CW_ADMISSION_RATE_LIMITED] =
			cw_rate_limit_wait_ms(&server->reports->rate_limit, now_ms);
	waits[CW_ADMISSION_BRITTLE] = brittle_wait_ms(server, now_ms);
	*cause = CW_ADMISSION_COLD;
	for (int i = 0; i < CW_ADMISSION_CAUSES; i++)
		if (waits[i] > waits[*cause])
			*cause = (enum cw_admission)i;
	return waits[*cause];
}

/* One of the requests that run there ends within the time that one takes. */
static int64_t brittle_wait_ms(const struct cw_server *server, int64_t now_ms)
{
	struct cw_brittle_load load = pool_brittle_load(server, now_ms);

	if (!server->reports || cw_brittle_admits(&server->reports->brittle, &load, now_ms))
		return 0;
	return MAX((int64_t)server->service_ms, PLACE_WAIT_MIN_MS);
}

static int may_serve(const struct cw_server *server, const struct cw_choice *choice)
{
	if (!server->is_tracked || strcmp(server->service, choice->service) != 0)
		return 0;
	if (cw_pool_is_leaving(server) || server->is_drained || is_tried(choice, server->id))
		return 0;
	if (!cw_home_regions_allow(choice->route_regions, server->region) ||
	    !cw_home_regions_allow(choice->organisation_regions, server->region))
		return 0;
	if (!choice->allows_unusable && !cw_pool_is_usable(server, choice->now_ms))
		return 0;
	if (choice->version && !cw_pool_serves(server, choice->version))
		return 0;
	if (choice->required_software && strcmp(server->software, choice->required_software) != 0)
		return 0;
	for (size_t i = 0; i < CW_POOL_MAX_WITHDRAWN; i++)
		if (runs_software(server, choice->withdrawn_software[i]))
			return 0;
	return !runs_software(server, choice->excluded_software) &&
	       !runs_software(server, choice->pending_software);
}

/* The members change slowly and each request needs the rank, so the rank is cached. */
static void update_place(const struct cw_pool *pool, struct cw_server *server, int64_t now_ms)
{
	struct cw_warmup *warmup = &server->warmup;
	int is_limited = cw_pool_is_rate_limited(server);
	int is_brittle = cw_pool_is_brittle(server);

	if (!is_limited && !is_brittle && !cw_warmup_is_cold(warmup, now_ms))
		return;
	if (pool->find_place &&
	    (!warmup->place_ms || now_ms - warmup->place_ms >= PLACE_REFRESH_MS)) {
		pool->find_place(pool->place_context, server->id, &warmup->place);
		warmup->place_ms = now_ms;
	}
	if (is_brittle)
		server->reports->brittle.place = warmup->place;
	if (is_limited)
		cw_rate_limit_set_place(&server->reports->rate_limit, &warmup->place, now_ms);
}

/*
 * A new version that gets a tenth of the requests, distributed over all of its servers, is never
 * tested under load. On a tenth of its servers, the same ones for every instance, it gets the load
 * that it will have after the roll-out.
 */
static size_t limit_to_share(struct cw_server **candidates, size_t count,
			     const struct cw_choice *choice)
{
	size_t keep = (size_t)ceil((double)count * choice->server_share);

	if (keep < SHARE_MIN_SERVERS)
		keep = SHARE_MIN_SERVERS;
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
 * A new version's share of the requests, distributed evenly, leaves each of its servers nearly
 * idle. One server, the same for every instance, is therefore filled first. NULL while that server
 * has a queue or its share of slots is taken: the request is then placed as usual.
 */
static struct cw_server *choose_server_to_fill(struct cw_server **candidates, size_t count,
					       const struct cw_choice *choice)
{
	struct cw_server *first = NULL;

	for (size_t i = 0; i < count; i++)
		if (!first || candidates[i]->id > first->id)
			first = candidates[i];
	if (!first || cw_pool_load(first, choice->now_ms) >= choice->fill_part * first->slots)
		return NULL;
	if (cw_pool_backlog_ms(first, choice->mean_work_ms, choice->now_ms) > FILL_BACKLOG_MS)
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

static int runs_software(const struct cw_server *server, const char *software)
{
	return software && !strcmp(server->software, software);
}
