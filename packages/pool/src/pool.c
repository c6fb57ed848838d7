#include "pool_internal.h"
#include "cw_hash.h"

#include <glib.h>
#include <math.h>
#include <string.h>

#define BREAKER_BACKOFF_MIN_MS 500
#define BREAKER_BACKOFF_MAX_MS 15000
#define REPORT_MAX_AGE_MS      3000 /* an older load report is ignored */
#define DEFAULT_SLOTS	       8
#define DEFAULT_SERVICE_MS     500.0
#define SERVICE_SMOOTHING      0.1
#define OWN_DOMAIN_WEIGHT      8 /* rendezvous weight of servers in the own failure domain */
#define ID_SEED		       4 /* arbitrary, but the same for all instances */

static void deactivate(struct cw_server *server);
static void set_removed_ms(struct cw_server *server, int64_t removed_ms);
static void free_removed(struct cw_pool *pool, int64_t now_ms);
static struct cw_server *add(struct cw_pool *pool, const char *name, int64_t process_start_ms);
static void set_location(const struct cw_pool *pool, struct cw_server *server, const char *service,
			 const char *address, const char *failure_domain);
static void retire_start(struct cw_pool *pool, struct cw_server *server, int64_t now_ms);
static void record_change(struct cw_server *server, int64_t now_ms, int change);
static gint by_track_score(gconstpointer a, gconstpointer b);
static void unref_array(gpointer array);

struct cw_pool *cw_pool_create(const struct cw_choice_policy *policy)
{
	struct cw_pool *pool = g_new0(struct cw_pool, 1);

	pool->choice = policy;
	pool->policy = cw_policy_default();
	pool->drains = cw_drains_create();
	pool->homes = cw_homes_create();
	pool->regions = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	TAILQ_INIT(&pool->servers);
	TAILQ_INIT(&pool->active);
	TAILQ_INIT(&pool->worked);
	TAILQ_INIT(&pool->reports);
	TAILQ_INIT(&pool->departed);
	TAILQ_INIT(&pool->held);
	pool->by_id = g_hash_table_new(g_int64_hash, g_int64_equal);
	pool->by_name = g_hash_table_new(g_str_hash, g_str_equal);
	return pool;
}

void cw_pool_set_policy(struct cw_pool *pool, const struct cw_policy *policy)
{
	pool->policy = policy;
}

void cw_pool_destroy(struct cw_pool *pool)
{
	struct cw_server *server;

	if (!pool)
		return;
	while ((server = TAILQ_FIRST(&pool->servers)))
		cw_pool_remove(pool, server);
	pool_free_restored(pool);
	g_hash_table_destroy(pool->by_id);
	g_hash_table_destroy(pool->by_name);
	cw_drains_destroy(pool->drains);
	cw_homes_destroy(pool->homes);
	g_hash_table_destroy(pool->regions);
	g_free(pool);
}

void cw_pool_set_place_lookup(struct cw_pool *pool,
			      void (*find)(void *context, uint64_t server,
					   struct cw_warmup_place *place),
			      void *context)
{
	pool->find_place = find;
	pool->place_context = context;
}

void cw_pool_set_connection_lookup(struct cw_pool *pool,
				   int (*has_idle)(void *context, const char *address,
						   int64_t reuse_idle_ms),
				   void *context)
{
	pool->has_idle_connection = has_idle;
	pool->connection_context = context;
}

void cw_pool_set_instances(struct cw_pool *pool, size_t instances)
{
	pool->instances = instances;
}

struct cw_homes *cw_pool_homes(const struct cw_pool *pool)
{
	return pool->homes;
}

int cw_pool_find_rank(const struct cw_pool *pool, uint64_t key, size_t *rank)
{
	struct cw_warmup_place place = {.instances = 1};

	if (pool->find_place)
		pool->find_place(pool->place_context, key, &place);
	*rank = place.rank;
	return place.instances > 0;
}

void cw_pool_set_region(struct cw_pool *pool, const char *failure_domain, const char *region)
{
	g_hash_table_replace(pool->regions, g_strdup(failure_domain), g_strdup(region));
}

/* Servers of a drained domain may have restarted unseen, so they count as cold at first. */
int cw_pool_drain(struct cw_pool *pool, const struct cw_drain_order *order, int64_t now_ms)
{
	struct cw_server *server;

	if (!cw_drains_apply(pool->drains, order))
		return 0;
	TAILQ_FOREACH(server, &pool->servers, link) {
		if (strcmp(server->failure_domain, order->failure_domain) != 0)
			continue;
		server->is_drained = order->is_drained;
		cw_warmup_assume_cold(&server->warmup, now_ms);
	}
	return 1;
}

struct cw_drains *cw_pool_drains(struct cw_pool *pool)
{
	return pool->drains;
}

struct cw_server *cw_pool_add(struct cw_pool *pool, const char *name, const char *service,
			      const char *address, const char *failure_domain, int checks_fencing)
{
	struct cw_server *server = cw_pool_find_name(pool, name);

	if (!server)
		server = add(pool, name, 0);
	if (!server)
		return NULL;
	set_location(pool, server, service, address, failure_domain);
	server->checks_fencing = checks_fencing;
	return server;
}

/*
 * A server may restart under its name, also behind a network partition that hides the restart. The
 * state of the earlier start (load, prompts, breaker, running requests) would then keep new
 * requests away from an idle server, and streams would wait for a terminated process; an entry that
 * the earlier start wrote may also arrive after the entry of the new one. A restart shows as a
 * later process_start_ms, so each start is a separate struct cw_server, and the name maps to the
 * newest one.
 */
enum cw_listing cw_pool_apply_entry(struct cw_pool *pool, const struct cw_server_entry *entry,
				    int64_t now_ms)
{
	struct cw_server *server = cw_pool_find_name(pool, entry->name);
	enum cw_listing listing = CW_LISTING_SAME;

	if (server && entry->process_start_ms < server->process_start_ms) {
		server->listed_ms = now_ms;
		return CW_LISTING_STALE;
	}
	if (pool_hold_if_superseded(pool, entry, now_ms)) {
		if (server)
			server->listed_ms = now_ms;
		return CW_LISTING_HELD;
	}
	cw_pool_drop_held(pool, entry->name);
	if (server && server->process_start_ms > 0 &&
	    entry->process_start_ms > server->process_start_ms) {
		retire_start(pool, server, now_ms);
		server = NULL;
		listing = CW_LISTING_RESTARTED;
	} else if (!server) {
		listing = CW_LISTING_NEW;
	} else if (server->is_leaving != entry->is_leaving || server->is_removed ||
		   cw_warmup_is_cold(&server->warmup, now_ms) != (entry->cold_ms > 0)) {
		listing = CW_LISTING_CHANGED;
	}
	if (!server)
		server = add(pool, entry->name, entry->process_start_ms);
	if (!server)
		return CW_LISTING_FULL;
	set_location(pool, server, entry->service, entry->address, entry->failure_domain);
	if (listing == CW_LISTING_NEW || listing == CW_LISTING_RESTARTED)
		pool_inherit_brittle(server, now_ms);
	cw_warmup_set_cold(&server->warmup, entry->cold_ms, now_ms);
	server->process_start_ms = entry->process_start_ms;
	g_strlcpy(server->software, entry->software, CW_NAME_MAX);
	pool_record_software(pool, entry, now_ms);
	if (server->sampled_ms < 0)
		server->slots = entry->slots;
	server->is_leaving = entry->is_leaving;
	server->is_removed = 0;
	pool_note_left(server, now_ms);
	set_removed_ms(server, 0);
	server->listed_ms = now_ms;
	return listing;
}

void cw_pool_get_entry(const struct cw_server *server, struct cw_server_entry *entry,
		       int64_t now_ms)
{
	g_strlcpy(entry->name, server->name, CW_NAME_MAX);
	entry->process_start_ms = server->process_start_ms;
	g_strlcpy(entry->service, server->service, CW_NAME_MAX);
	g_strlcpy(entry->address, server->address, CW_ADDRESS_MAX);
	g_strlcpy(entry->failure_domain, server->failure_domain, CW_NAME_MAX);
	g_strlcpy(entry->software, server->software, CW_NAME_MAX);
	entry->slots = server->slots;
	entry->is_leaving = server->is_leaving;
	entry->cold_ms = MAX(server->warmup.cold_until_ms - now_ms, 0);
}

void cw_pool_delist(struct cw_pool *pool, struct cw_server *server, int64_t until_ms,
		    int64_t now_ms)
{
	if (server->removed_ms)
		return;
	set_removed_ms(server, MAX(until_ms, now_ms));
	if (until_ms <= now_ms)
		server->is_removed = 1;
	if (server->is_removed)
		server->is_leaving = 1;
	pool_note_left(server, now_ms);
}

void cw_pool_delist_unlisted(struct cw_pool *pool, int64_t since_ms, int64_t until_ms,
			     int64_t now_ms)
{
	struct cw_server *server;

	TAILQ_FOREACH(server, &pool->servers, link)
		if (server->listed_ms < since_ms)
			cw_pool_delist(pool, server, until_ms, now_ms);
}

/*
 * Of many thousands of servers few are in use or delisted at a time, so only the active list is
 * scanned, and the whole list only while a server is delisted.
 */
void cw_pool_sweep(struct cw_pool *pool, int64_t now_ms)
{
	struct cw_server *server = TAILQ_FIRST(&pool->active);

	while (server) {
		struct cw_server *next = TAILQ_NEXT(server, active_link);

		if (server->own_running == 0 && server->peers_forwarded == 0 &&
		    !server->is_unreachable && !server->is_suspect &&
		    server->path == CW_PATH_DIRECT)
			deactivate(server);
		server = next;
	}
	pool_sweep_reports(pool, now_ms);
	pool_sweep_departed(pool, now_ms);
	if (pool->delisted > 0)
		free_removed(pool, now_ms);
}

static void free_removed(struct cw_pool *pool, int64_t now_ms)
{
	struct cw_server *server = TAILQ_FIRST(&pool->servers);

	while (server) {
		struct cw_server *next = TAILQ_NEXT(server, link);

		if (server->removed_ms && now_ms >= server->removed_ms) {
			server->is_removed = 1;
			server->is_leaving = 1;
			pool_note_left(server, now_ms);
			if (server->own_running == 0 && server->peers_forwarded == 0 &&
			    !pool_needs_reports(server, now_ms)) {
				pool_note_departed(pool, server);
				cw_pool_remove(pool, server);
			}
		}
		server = next;
	}
}

struct cw_server *cw_pool_find_name(struct cw_pool *pool, const char *name)
{
	return g_hash_table_lookup(pool->by_name, name);
}

struct cw_server *cw_pool_find(struct cw_pool *pool, uint64_t id)
{
	return g_hash_table_lookup(pool->by_id, &id);
}

void cw_pool_remove(struct cw_pool *pool, struct cw_server *server)
{
	deactivate(server);
	pool_free_reports(server);
	set_removed_ms(server, 0);
	TAILQ_REMOVE(&pool->servers, server, link);
	g_hash_table_remove(pool->by_id, &server->id);
	if (cw_pool_find_name(pool, server->name) == server)
		g_hash_table_remove(pool->by_name, server->name);
	g_free(server->versions);
	g_free(server->history);
	pool_free_work(server);
	g_free(server);
}

/*
 * Of many servers each instance uses a few, as load reports of thousands would cost more than all
 * other control traffic. They are selected by rendezvous, so that all servers are used alike, with
 * a higher weight for those of the instance's own failure domain.
 */
void cw_pool_select_tracked(struct cw_pool *pool, uint64_t instance, const char *failure_domain)
{
	GHashTable *by_service = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, unref_array);
	GHashTableIter iter;
	struct cw_server *server;
	gpointer list;

	TAILQ_FOREACH(server, &pool->servers, link) {
		int is_own = !strcmp(server->failure_domain, failure_domain);

		server->track_score =
			cw_rendezvous_score(instance, server->id, is_own ? OWN_DOMAIN_WEIGHT : 1);
		list = g_hash_table_lookup(by_service, server->service);
		if (!list) {
			list = g_ptr_array_new();
			g_hash_table_insert(by_service, server->service, list);
		}
		g_ptr_array_add(list, server);
	}
	g_hash_table_iter_init(&iter, by_service);
	while (g_hash_table_iter_next(&iter, NULL, &list)) {
		GPtrArray *servers = list;

		g_ptr_array_sort(servers, by_track_score);
		for (guint i = 0; i < servers->len; i++) {
			server = g_ptr_array_index(servers, i);
			server->is_tracked = i < CW_TRACKED_SERVERS;
		}
	}
	g_hash_table_destroy(by_service);
}

uint64_t cw_pool_version_hash(const char *model, const char *version)
{
	return cw_hash_text(version, cw_hash_text(model, 5));
}

int cw_pool_serves(const struct cw_server *server, uint64_t version)
{
	if (!server->versions_known)
		return 1;
	for (size_t i = 0; i < server->version_count; i++)
		if (server->versions[i] == version)
			return 1;
	return 0;
}

void cw_pool_record_dispatch(struct cw_server *server, int64_t now_ms)
{
	struct cw_brittle_load load = pool_brittle_load(server, now_ms);

	pool_activate(server);
	server->own_running++;
	server->sent_ms = now_ms;
	if (server->reports)
		cw_brittle_record_send(&server->reports->brittle, &load, now_ms);
	cw_warmup_record_send(&server->warmup, now_ms);
	if (server->reports)
		cw_rate_limit_record_send(&server->reports->rate_limit, now_ms);
	if (server->breaker_open_until_ms && now_ms >= server->breaker_open_until_ms)
		server->is_probing = 1;
	record_change(server, now_ms, 1);
}

void cw_pool_record_end(struct cw_server *server, int64_t now_ms, double service_ms)
{
	if (server->own_running > 0)
		server->own_running--;
	record_change(server, now_ms, -1);
	if (service_ms < 0)
		return;
	if (server->reports)
		cw_brittle_record_answer(&server->reports->brittle, now_ms);
	if (server->service_ms <= 0)
		server->service_ms = service_ms;
	else
		server->service_ms += SERVICE_SMOOTHING * (service_ms - server->service_ms);
}

void cw_pool_record_success(struct cw_server *server, int64_t now_ms)
{
	if (server->breaker_open_until_ms)
		server->breaker_closed_ms = now_ms;
	server->consecutive_failures = 0;
	server->breaker_open_until_ms = 0;
	server->backoff_ms = 0;
	server->is_probing = 0;
}

void cw_pool_record_failure(struct cw_server *server, int64_t now_ms, uint64_t random)
{
	int was_trial = server->is_probing;

	server->is_probing = 0;
	server->consecutive_failures++;
	if (server->consecutive_failures < server->policy->breaker_failures && !was_trial)
		return;
	if (server->breaker_open_until_ms > now_ms)
		return;
	server->backoff_ms = server->backoff_ms
				     ? MIN(server->backoff_ms * 2, BREAKER_BACKOFF_MAX_MS)
				     : BREAKER_BACKOFF_MIN_MS;
	/* Jitter: instances that saw the same failure must not all retry at the same time. */
	server->breaker_open_until_ms =
		now_ms + server->backoff_ms / 2 + (int64_t)(random % (uint64_t)server->backoff_ms);
}

void cw_pool_record_refusal(struct cw_server *server, int64_t now_ms, uint64_t random)
{
	if (server->reports)
		cw_brittle_record_down(&server->reports->brittle, now_ms);
	cw_warmup_assume_cold(&server->warmup, now_ms);
	server->consecutive_failures = MAX(server->consecutive_failures,
					   (unsigned int)server->policy->breaker_failures - 1);
	cw_pool_record_failure(server, now_ms, random);
}

void cw_pool_apply_report(struct cw_server *server, const struct cw_load *load, int64_t now_ms)
{
	int64_t sampled_ms = now_ms - load->age_ms;

	/* Reports may arrive out of order: an older one must not replace a newer one. */
	if (sampled_ms < server->sampled_ms)
		return;
	server->running = load->running;
	server->queued = load->queued;
	server->slots = load->slots;
	server->sampled_ms = sampled_ms;
	if (!load->versions)
		return;
	g_free(server->versions);
	server->version_count = 0;
	while (load->versions[server->version_count])
		server->version_count++;
	server->versions = g_new(uint64_t, server->version_count + 1);
	for (size_t i = 0; i < server->version_count; i++) {
		char **names = g_strsplit(load->versions[i], "/", 2);

		server->versions[i] =
			names[0] && names[1] ? cw_pool_version_hash(names[0], names[1]) : 0;
		g_strfreev(names);
	}
	server->versions_known = 1;
}

double cw_pool_load(const struct cw_server *server, int64_t now_ms)
{
	double load = server->own_running;

	if (server->sampled_ms >= 0 && now_ms - server->sampled_ms <= REPORT_MAX_AGE_MS) {
		load = server->running + server->queued;
		for (size_t i = 0; server->history && i < CW_POOL_HISTORY; i++)
			if (server->history[i].ms > server->sampled_ms)
				load += server->history[i].change;
		return MAX(load, (double)server->own_running);
	}
	if (now_ms - server->peers_ms <= REPORT_MAX_AGE_MS)
		load += server->peers_running;
	return load;
}

double cw_pool_wait_ms(const struct cw_server *server, int64_t now_ms)
{
	double slots = server->slots ? server->slots : DEFAULT_SLOTS;
	double service_ms = server->service_ms > 0 ? server->service_ms : DEFAULT_SERVICE_MS;
	double ahead = cw_pool_load(server, now_ms) + 1 - slots;

	return ahead > 0 ? ahead / slots * service_ms : 0;
}

int cw_pool_is_usable(const struct cw_server *server, int64_t now_ms)
{
	if (cw_pool_is_leaving(server) || server->is_unreachable || server->is_suspect)
		return 0;
	if (!server->breaker_open_until_ms)
		return 1;
	return now_ms >= server->breaker_open_until_ms && !server->is_probing;
}

const struct cw_server_list *cw_pool_servers(const struct cw_pool *pool)
{
	return &pool->servers;
}

const struct cw_server_list *cw_pool_active(const struct cw_pool *pool)
{
	return &pool->active;
}

void pool_activate(struct cw_server *server)
{
	if (server->is_active)
		return;
	server->is_active = 1;
	TAILQ_INSERT_TAIL(&server->pool->active, server, active_link);
}

static void deactivate(struct cw_server *server)
{
	if (!server->is_active)
		return;
	server->is_active = 0;
	TAILQ_REMOVE(&server->pool->active, server, active_link);
}

static void set_removed_ms(struct cw_server *server, int64_t removed_ms)
{
	server->pool->delisted += (size_t)(removed_ms != 0);
	server->pool->delisted -= (size_t)(server->removed_ms != 0);
	server->removed_ms = removed_ms;
}

static struct cw_server *add(struct cw_pool *pool, const char *name, int64_t process_start_ms)
{
	struct cw_server *server;

	if (g_hash_table_size(pool->by_id) >= CW_MAX_SERVERS)
		return NULL;
	server = g_new0(struct cw_server, 1);
	server->pool = pool;
	server->policy = pool->policy;
	g_strlcpy(server->name, name, CW_NAME_MAX);
	server->process_start_ms = process_start_ms;
	server->id = cw_hash_text(server->name, ID_SEED + (uint64_t)process_start_ms);
	server->sampled_ms = -1;
	server->breaker_closed_ms = -1;
	server->warmup.place.instances = 1;
	server->listed_ms = -1;
	server->is_tracked = 1;
	TAILQ_INSERT_TAIL(&pool->servers, server, link);
	g_hash_table_insert(pool->by_id, &server->id, server);
	g_hash_table_replace(pool->by_name, server->name, server);
	return server;
}

static void set_location(const struct cw_pool *pool, struct cw_server *server, const char *service,
			 const char *address, const char *failure_domain)
{
	const char *region = g_hash_table_lookup(pool->regions, failure_domain);

	g_strlcpy(server->service, service, CW_NAME_MAX);
	g_strlcpy(server->address, address, CW_ADDRESS_MAX);
	g_strlcpy(server->failure_domain, failure_domain, CW_NAME_MAX);
	g_strlcpy(server->region, region ? region : "", CW_NAME_MAX);
	server->is_drained = cw_drains_is_drained(pool->drains, failure_domain);
}

/* Marks an earlier start as removed; the sweep frees it once its last request has ended. */
static void retire_start(struct cw_pool *pool, struct cw_server *server, int64_t now_ms)
{
	server->is_superseded = 1;
	server->is_leaving = 1;
	server->is_removed = 1;
	set_removed_ms(server, MAX(now_ms, 1));
	g_hash_table_remove(pool->by_name, server->name);
}

static void record_change(struct cw_server *server, int64_t now_ms, int change)
{
	if (!server->history)
		server->history = g_new0(struct cw_pool_change, CW_POOL_HISTORY);
	server->history[server->history_next].ms = now_ms;
	server->history[server->history_next].change = change;
	server->history_next = (server->history_next + 1) % CW_POOL_HISTORY;
}

static gint by_track_score(gconstpointer a, gconstpointer b)
{
	const struct cw_server *left = *(struct cw_server *const *)a;
	const struct cw_server *right = *(struct cw_server *const *)b;

	return left->track_score > right->track_score ? -1 : left->track_score < right->track_score;
}

static void unref_array(gpointer array)
{
	g_ptr_array_unref(array);
}
