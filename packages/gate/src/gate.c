#include "gate_internal.h"

#include <math.h>
#include <string.h>

#define MODELS_MAX	       256    /* with timings of their own, if callers name them */
#define ROUTES_MAX	       4096   /* remembered; 300 KB for each table */
#define LOAD_DECAY_MS	       1000.0 /* to 1/e: about as long as a queue lasts */
#define LOAD_PRIOR_REQUESTS    5.0    /* assumed accepted, so that few requests don't decide */
#define OUTPUT_RATIO_EWMA_GAIN 0.05

static struct gate_load_stats *get_load_stats(struct cw_gate *gate, const char *service,
					      int64_t now_ms);
static void *get_or_create(GHashTable *table, const char *name, size_t size, int *is_new);
static void clear_if_full(GHashTable *table);
static void free_shares(gpointer shares);

struct cw_gate *cw_gate_create(const struct cw_gate_options *options)
{
	struct cw_gate *gate = g_new0(struct cw_gate, 1);

	gate->options = *options;
	g_strlcpy(gate->failure_domain, options->failure_domain, sizeof(gate->failure_domain));
	gate->options.failure_domain = gate->failure_domain;
	gate->random = options->seed | 1;
	if (!gate->options.policy)
		gate->options.policy = cw_policy_default();
	gate->policy = gate->options.policy;
	gate->pool = cw_pool_create(&cw_choice_cost);
	cw_pool_set_policy(gate->pool, gate->policy);
	gate->rollouts = cw_rollouts_create(&options->rollouts);
	gate->quarantine = cw_quarantine_create();
	gate->retry_budgets = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	gate->timings = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	gate->output_ratios = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	gate->load_stats = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	gate->shares = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, free_shares);
	gate->organisations = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	gate->longest_waits = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	gate->held_breaks = g_array_new(FALSE, FALSE, sizeof(struct gate_break));
	gate->carried_breaks = g_array_new(FALSE, FALSE, sizeof(struct gate_break));
	return gate;
}

void cw_gate_destroy(struct cw_gate *gate)
{
	if (!gate)
		return;
	cw_config_unref(gate->config);
	cw_pool_destroy(gate->pool);
	cw_rollouts_destroy(gate->rollouts);
	cw_quarantine_destroy(gate->quarantine);
	g_hash_table_destroy(gate->retry_budgets);
	g_hash_table_destroy(gate->timings);
	g_hash_table_destroy(gate->output_ratios);
	g_hash_table_destroy(gate->load_stats);
	g_hash_table_destroy(gate->longest_waits);
	g_hash_table_destroy(gate->shares);
	g_hash_table_destroy(gate->organisations);
	g_array_unref(gate->held_breaks);
	g_array_unref(gate->carried_breaks);
	g_free(gate);
}

void cw_gate_set_instances(struct cw_gate *gate, size_t instances)
{
	gate->instances = instances;
	cw_pool_set_instances(gate->pool, instances);
}

/* Records may arrive twice or late: only a newer version replaces the current one. */
int cw_gate_configure(struct cw_gate *gate, struct cw_config *config)
{
	if (gate->config && cw_config_version(config) <= cw_config_version(gate->config))
		return 0;
	cw_config_unref(gate->config);
	gate->config = cw_config_ref(config);
	return 1;
}

const struct cw_config *cw_gate_config(const struct cw_gate *gate)
{
	return gate->config;
}

struct cw_pool *cw_gate_pool(struct cw_gate *gate)
{
	return gate->pool;
}

struct cw_rollouts *cw_gate_rollouts(struct cw_gate *gate)
{
	return gate->rollouts;
}

struct cw_quarantine *cw_gate_quarantine(struct cw_gate *gate)
{
	return gate->quarantine;
}

/* xorshift64*: the same seed gives the same choices, so a run can be replayed. */
uint64_t gate_random(struct cw_gate *gate)
{
	gate->random ^= gate->random >> 12;
	gate->random ^= gate->random << 25;
	gate->random ^= gate->random >> 27;
	return gate->random * 0x2545f4914f6cdd1dULL;
}

double gate_random_fraction(struct cw_gate *gate)
{
	return cw_hash_to_fraction(gate_random(gate));
}

struct cw_repeats *gate_get_retry_budget(struct cw_gate *gate, const char *service)
{
	int is_new;
	struct cw_repeats *repeats =
		get_or_create(gate->retry_budgets, service, sizeof(struct cw_repeats), &is_new);

	if (is_new)
		cw_repeats_open(repeats, gate->options.retry_ratio, 0,
				gate->options.retry_window_ms);
	repeats->slack = cw_repeats_instance_slack(gate->options.retry_slack, gate->instances);
	return repeats;
}

/* Longest time limit stated on the route, this request's included; a retry states a shorter one. */
int64_t gate_update_longest_wait(struct cw_gate *gate, const char *route, int64_t wait_ms)
{
	int64_t *longest;

	if (!g_hash_table_contains(gate->longest_waits, route))
		clear_if_full(gate->longest_waits);
	longest = get_or_create(gate->longest_waits, route, sizeof(int64_t), NULL);
	*longest = MAX(*longest, wait_ms);
	return *longest;
}

void gate_count_sent(struct cw_gate *gate, const char *service, int64_t now_ms)
{
	get_load_stats(gate, service, now_ms)->sent += 1;
}

void gate_count_rejected(struct cw_gate *gate, const char *service, int64_t now_ms)
{
	get_load_stats(gate, service, now_ms)->rejected += 1;
}

void gate_add_load_report(struct cw_gate *gate, const char *service, const struct cw_load *load,
			  int64_t now_ms)
{
	struct gate_load_stats *stats = get_load_stats(gate, service, now_ms);

	if (load->slots == 0)
		return;
	stats->load_reports += 1;
	stats->occupancy_sum += (double)(load->running + load->queued) / load->slots;
}

/*
 * With many instances, an instance gets a load report of a given server once in half a minute, but
 * reports of some server several times a second. Their mean is the newest estimate for all servers.
 */
double gate_slot_occupancy(struct cw_gate *gate, const char *service, int64_t now_ms)
{
	const struct gate_load_stats *stats = get_load_stats(gate, service, now_ms);

	return stats->load_reports > 0 ? stats->occupancy_sum / stats->load_reports : 0;
}

double gate_rejected_fraction(struct cw_gate *gate, const char *service, int64_t now_ms)
{
	const struct gate_load_stats *stats = get_load_stats(gate, service, now_ms);

	return MIN(stats->rejected / (stats->sent + LOAD_PRIOR_REQUESTS), 1);
}

/*
 * Load pattern: a burst of seven times the usual load. The large model's streams hold their slots
 * for seconds; those begun while slots are free leave none for the burst. So there is less room for
 * them as slots are taken, before any request is rejected.
 */
double gate_slot_scarcity(struct cw_gate *gate, const char *service, int64_t now_ms)
{
	const struct cw_policy *policy = gate->policy;
	double taken = gate_slot_occupancy(gate, service, now_ms);
	double span = policy->escalate_none_taken - policy->escalate_less_taken;

	return (taken - policy->escalate_less_taken) / MAX(span, 0.01);
}

/* The part of all demand that there is room for: escalations first, then what servers accept. */
double cw_gate_room(struct cw_gate *gate, const char *service, int64_t now_ms)
{
	double rejected = gate_rejected_fraction(gate, service, now_ms);
	double headroom = 1 - CLAMP(gate_slot_scarcity(gate, service, now_ms), 0, 1);

	return rejected > gate->policy->full_part ? MIN(headroom, 1 - rejected) : headroom;
}

struct cw_shares *cw_gate_shares(struct cw_gate *gate, const char *service)
{
	return g_hash_table_lookup(gate->shares, service);
}

const char *cw_gate_organisation_name(const struct cw_gate *gate, uint64_t organisation)
{
	GHashTableIter iter;
	gpointer name, id;

	g_hash_table_iter_init(&iter, gate->organisations);
	while (g_hash_table_iter_next(&iter, &name, &id))
		if (*(uint64_t *)id == organisation)
			return name;
	return NULL;
}

void cw_gate_merge_demands(struct cw_gate *gate, const char *service, uint64_t origin,
			   const struct cw_share_demand *demands, size_t count, int64_t now_ms)
{
	if (gate->config && cw_config_find_service(gate->config, service))
		cw_shares_merge(gate_get_shares(gate, service), origin, demands, count, now_ms);
}

struct cw_shares *gate_get_shares(struct cw_gate *gate, const char *service)
{
	struct cw_shares *shares = g_hash_table_lookup(gate->shares, service);

	if (shares)
		return shares;
	shares = cw_shares_create();
	clear_if_full(gate->shares);
	g_hash_table_insert(gate->shares, g_strdup(service), shares);
	return shares;
}

uint64_t gate_organisation_id(struct cw_gate *gate, const char *name)
{
	int is_new;
	uint64_t *id;

	if (!g_hash_table_contains(gate->organisations, name))
		clear_if_full(gate->organisations);
	id = get_or_create(gate->organisations, name, sizeof(uint64_t), &is_new);
	if (is_new)
		*id = cw_hash_text(name, 0);
	return *id;
}

static struct gate_load_stats *get_load_stats(struct cw_gate *gate, const char *service,
					      int64_t now_ms)
{
	struct gate_load_stats *stats =
		get_or_create(gate->load_stats, service, sizeof(struct gate_load_stats), NULL);
	double factor = exp(-(double)(now_ms - stats->updated_ms) / LOAD_DECAY_MS);

	stats->sent *= factor;
	stats->rejected *= factor;
	stats->load_reports *= factor;
	stats->occupancy_sum *= factor;
	stats->updated_ms = now_ms;
	return stats;
}

double gate_update_output_ratio(struct cw_gate *gate, const char *name, double sample)
{
	double *usual;
	int is_new;

	if (!g_hash_table_contains(gate->output_ratios, name))
		clear_if_full(gate->output_ratios);
	usual = get_or_create(gate->output_ratios, name, sizeof(double), &is_new);
	if (is_new)
		*usual = sample;
	*usual += OUTPUT_RATIO_EWMA_GAIN * (sample - *usual);
	return *usual;
}

/* A caller names any model where the route leaves the choice to it; those past the limit share one.
 */
struct gate_timing *gate_get_model_timing(struct cw_gate *gate, const struct cw_call *call)
{
	const char *model = cw_call_model(call);

	if (call->route->model_count == 0 && !g_hash_table_contains(gate->timings, model) &&
	    g_hash_table_size(gate->timings) >= MODELS_MAX)
		model = CW_ANY_MODEL;
	return gate_get_timing(gate, model);
}

struct gate_timing *gate_get_timing(struct cw_gate *gate, const char *name)
{
	return get_or_create(gate->timings, name, sizeof(struct gate_timing), NULL);
}

/* Value of size bytes, zeroed when created; is_new may be NULL. */
static void *get_or_create(GHashTable *table, const char *name, size_t size, int *is_new)
{
	void *value = g_hash_table_lookup(table, name);

	if (is_new)
		*is_new = !value;
	if (value)
		return value;
	value = g_malloc0(size);
	g_hash_table_insert(table, g_strdup(name), value);
	return value;
}

/* Routes change with configurations; entries dropped here are soon learned again. */
static void clear_if_full(GHashTable *table)
{
	if (g_hash_table_size(table) >= ROUTES_MAX)
		g_hash_table_remove_all(table);
}

static void free_shares(gpointer shares)
{
	cw_shares_destroy(shares);
}
