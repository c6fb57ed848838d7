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
#define NO_MEMORY_MS	  1e6 /* more than any wait: a preempted request is read again */
#define DEFAULT_SLOTS	  8   /* of a server that has reported none */
#define PEERS_PEAK_MS	  500 /* time constant: announcements are 150 ms apart, and may get lost */

static double cost_of(const struct cw_server *server, const struct cw_choice *choice,
		      int is_affinity_server);
static struct cw_server *choose_cost(struct cw_server **candidates, size_t count,
				     const struct cw_choice *choice);
static size_t prefer_idle_connection(struct cw_server **candidates, const double *costs,
				     size_t count, size_t best, const struct cw_choice *choice);
static void mark_homes(struct cw_server **candidates, size_t count, const struct cw_choice *choice,
		       uint8_t *is_home);
static size_t next_home(struct cw_server **candidates, size_t count, uint64_t prefix,
			const uint8_t *is_home);
static int attracts(const struct cw_server *server, int64_t now_ms);
static void note_change(struct cw_server *server, double work_ms);
static int counts_unread(const struct cw_server *server);
static double known_work_ms(const struct cw_server *server, int64_t now_ms);
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

void cw_pool_set_work_listener(struct cw_pool *pool,
			       void (*changed)(void *context, struct cw_server *server,
					       double work_ms),
			       void *context)
{
	pool->work_changed = changed;
	pool->work_context = context;
}

void cw_pool_begin_work(struct cw_server *server, double work_ms, double mean_work_ms,
			int64_t now_ms)
{
	server->work_until_ms = (double)now_ms + cw_pool_backlog_ms(server, mean_work_ms, now_ms) +
				work_ms * cw_pool_pace(server, now_ms);
	server->own_work_ms += work_ms;
	cw_backlog_begin(&cw_pool_work(server)->backlog, work_ms, server->policy->note_min_ms,
			 now_ms);
	note_change(server, work_ms);
}

void cw_pool_end_work(struct cw_server *server, double work_ms)
{
	if (work_ms <= 0)
		return;
	server->own_work_ms = MAX(server->own_work_ms - work_ms, 0);
	cw_backlog_end(&cw_pool_work(server)->backlog, work_ms, server->policy->note_min_ms);
	note_change(server, -work_ms);
}

void cw_pool_record_begun(struct cw_server *server, int64_t now_ms)
{
	struct cw_backlog *backlog = &cw_pool_work(server)->backlog;

	cw_backlog_record_progress(backlog, now_ms);
	if (server->sampled_ms == now_ms)
		cw_backlog_check(backlog, server->queued, server->peers_work_ms, now_ms);
}

void cw_pool_hold_tokens(struct cw_server *server, double tokens)
{
	cw_pool_work(server)->backlog.own_tokens += tokens;
}

void cw_pool_release_tokens(struct cw_server *server, double tokens)
{
	struct cw_backlog *backlog = &cw_pool_work(server)->backlog;

	backlog->own_tokens = MAX(backlog->own_tokens - tokens, 0);
}

void cw_pool_count_unread(struct cw_pool *pool, int has_notes)
{
	pool->counts_unread = has_notes;
}

void cw_pool_get_share(const struct cw_server *server, struct cw_backlog_share *share,
		       int64_t now_ms)
{
	double unread_ms =
		counts_unread(server) ? server->own_work_ms : cw_pool_own_work_ms(server, now_ms);

	*share = (struct cw_backlog_share){
		.running = MIN(server->own_running, CW_BACKLOG_REQUESTS_MAX),
		.unread_ms = (uint32_t)MIN(unread_ms, CW_BACKLOG_UNREAD_MS_MAX),
	};
	if (!server->work)
		return;
	share->unread = MIN(server->work->backlog.own_unread, CW_BACKLOG_REQUESTS_MAX);
	share->tokens = (uint32_t)MIN(server->work->backlog.own_tokens, CW_BACKLOG_TOKENS_MAX);
}

/*
 * Where peers get notes, short prompts are left out: they are over before a message on them counts,
 * and as no note follows their end, they would look overdue until the next round.
 */
void cw_pool_get_long_share(const struct cw_server *server, struct cw_backlog_share *share,
			    int64_t now_ms)
{
	cw_pool_get_share(server, share, now_ms);
	if (!server->work)
		return;
	share->unread = MIN(server->work->backlog.own_long, CW_BACKLOG_REQUESTS_MAX);
	share->unread_ms =
		(uint32_t)MIN((double)share->unread_ms, server->work->backlog.own_long_ms);
}

void cw_pool_set_peers(struct cw_server *server, const struct cw_backlog_share *sum, int64_t now_ms)
{
	server->peers_ms = now_ms;
	server->peers_running = sum->running;
	server->peers_work_ms = sum->unread_ms;
	cw_backlog_set_peers(&cw_pool_work(server)->backlog, sum, now_ms);
	cw_pool_record_peers_work(server, now_ms);
}

/* A request takes its prompt's time, or a slot's share of the time that the answer takes. */
void cw_pool_count_prefix(struct cw_server *server, uint64_t prefix, double work_ms, int is_at_home,
			  int64_t now_ms)
{
	double slots = server->slots ? server->slots : DEFAULT_SLOTS;

	cw_homes_add(server->pool->homes, prefix, MAX(work_ms, server->service_ms / slots),
		     is_at_home, now_ms);
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
 * peers' work is a second old, unless they send notes. The queue length that a server reports with
 * each answer is newer but does not include the length of the queued prompts. The larger of the two
 * estimates counts.
 */
double cw_pool_backlog_ms(const struct cw_server *server, double mean_work_ms, int64_t now_ms)
{
	double known_ms = known_work_ms(server, now_ms);
	double reported_ms = 0;

	if (server->sampled_ms >= 0 && now_ms - server->sampled_ms < server->policy->told_ms)
		reported_ms = server->queued * mean_work_ms + cw_pool_own_work_ms(server, now_ms);
	return MAX(known_ms, reported_ms * cw_pool_pace(server, now_ms));
}

/*
 * Load pattern: long prompts that fill an engine's memory while it has slots left. The engine then
 * preempts the newest of the least urgent requests and reads it again.
 */
int cw_pool_has_memory(const struct cw_server *server, const struct cw_choice *choice)
{
	double capacity = choice->capacity_tokens * server->policy->memory_part;
	double taken = server->work ? cw_backlog_tokens(&server->work->backlog) : 0;

	return capacity <= 0 || taken <= 0 || taken + choice->tokens <= capacity;
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
	uint8_t is_home[POOL_CANDIDATES_MAX] = {0};
	double costs[POOL_CANDIDATES_MAX] = {0};
	size_t best = 0;

	mark_homes(candidates, count, choice, is_home);
	for (size_t i = 0; i < count; i++) {
		double noise =
			(double)(cw_hash(&candidates[i]->id, sizeof(uint64_t), choice->random) &
				 0xff) /
			256 * candidates[i]->policy->noise_ms;

		costs[i] = cost_of(candidates[i], choice, is_home[i]) + noise;
		if (costs[i] < costs[best])
			best = i;
	}
	best = prefer_idle_connection(candidates, costs, count, best, choice);
	if (choice->is_affinity_server)
		*choice->is_affinity_server = is_home[best];
	return candidates[best];
}

/*
 * Load pattern: dozens of instances that each send a few requests a second to all servers open a
 * connection for most of them. A new one costs a round trip and the accept of a busy server, so of
 * servers that cost the same but for that, one with an idle connection is chosen. Only servers
 * whose cost leaves that open are looked up.
 */
static size_t prefer_idle_connection(struct cw_server **candidates, const double *costs,
				     size_t count, size_t best, const struct cw_choice *choice)
{
	const struct cw_pool *pool = candidates[best]->pool;
	double limit = costs[best] + pool->policy->connect_ms;
	size_t preferred = best;

	if (!pool->has_idle_connection || pool->policy->connect_ms <= 0)
		return best;
	for (size_t i = 0; i < count; i++) {
		if (costs[i] >= limit ||
		    !pool->has_idle_connection(pool->connection_context, candidates[i]->address,
					       choice->reuse_idle_ms))
			continue;
		limit = costs[i];
		preferred = i;
	}
	return preferred;
}

/*
 * The homes of a prompt prefix, by rendezvous: every instance prefers the same servers without
 * coordination, so a prefix is processed once on each of them and not once per instance.
 */
static void mark_homes(struct cw_server **candidates, size_t count, const struct cw_choice *choice,
		       uint8_t *is_home)
{
	const struct cw_pool *pool = candidates[0]->pool;
	struct cw_homes_terms terms = {.instances = pool->instances,
				       .server_part = pool->policy->home_part};
	size_t homes;

	if (!choice->prefix)
		return;
	homes = cw_homes_count(pool->homes, choice->prefix, &terms, choice->now_ms);
	for (size_t i = 0; i < MIN(homes, count); i++)
		is_home[next_home(candidates, count, choice->prefix, is_home)] = 1;
}

/* The first candidate by rendezvous that is not marked; at least one isn't. */
static size_t next_home(struct cw_server **candidates, size_t count, uint64_t prefix,
			const uint8_t *is_home)
{
	size_t next = 0;
	double best = -1;

	for (size_t i = 0; i < count; i++) {
		double score = is_home[i] ? -1 : cw_rendezvous_score(prefix, candidates[i]->id, 1);

		if (score <= best)
			continue;
		best = score;
		next = i;
	}
	return next;
}

/* A request would wait at a home without a free slot for as long as another one runs there. */
static int attracts(const struct cw_server *server, int64_t now_ms)
{
	double slots = server->slots ? server->slots : DEFAULT_SLOTS;

	return cw_pool_load(server, now_ms) < server->policy->home_full_part * slots;
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

	if (!cw_pool_has_memory(server, choice))
		cost += NO_MEMORY_MS;
	cost += cw_pool_load(server, now_ms) * policy->running_ms;
	cost += cw_pool_failure_rate(server, now_ms) * policy->failure_ms;
	if (!is_affinity_server || !attracts(server, now_ms))
		cost += choice->prefix_tokens * policy->again_token_ms;
	if (strcmp(server->failure_domain, choice->failure_domain) != 0)
		cost += (double)choice->bytes * policy->cross_byte_ms;
	return cost;
}

static void note_change(struct cw_server *server, double work_ms)
{
	if (server->pool->work_changed)
		server->pool->work_changed(server->pool->work_context, server, work_ms);
}

static int counts_unread(const struct cw_server *server)
{
	return server->pool->counts_unread && server->policy->unread_counted > 0 && server->work;
}

/* Work of prompts that this instance and its peers have sent to the server. */
static double known_work_ms(const struct cw_server *server, int64_t now_ms)
{
	int is_fresh = now_ms - server->peers_ms < server->policy->peers_ms;
	double peers_ms = is_fresh ? server->peers_work_ms : 0;
	double pace = cw_pool_pace(server, now_ms);

	if (!counts_unread(server))
		return pace * (cw_pool_own_work_ms(server, now_ms) + peers_ms);
	return cw_backlog_left_ms(&server->work->backlog, server->own_work_ms, peers_ms, pace,
				  server->policy->unread_least, now_ms);
}

static double evidence_weight(const struct cw_server *server, int64_t now_ms)
{
	return exp(-(double)(now_ms - server->evidence_ms) / EVIDENCE_DECAY_MS);
}
