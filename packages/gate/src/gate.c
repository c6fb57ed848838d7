#include "gate_internal.h"

#include <math.h>
#include <string.h>

#define ROUTES_MAX     4096   /* remembered; 300 KB for what is kept of each */
#define PRESSURE_MS    1000.0 /* a rejection counts 1/e after it: a queue of so long may be gone */
#define PRESSURE_PRIOR 5.0    /* requests that were not rejected, before any are seen */
#define SHAPE_GAIN     0.05   /* of the newest request */

static struct gate_pressure *pressure_of(struct cw_gate *gate, const char *service, int64_t now_ms);
static void *find_or_add(GHashTable *table, const char *name, size_t size, int *is_new);
static void make_room(GHashTable *table);

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
	gate->repeats = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	gate->paces = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	gate->shapes = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	gate->pressures = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	gate->waits = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
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
	g_hash_table_destroy(gate->repeats);
	g_hash_table_destroy(gate->paces);
	g_hash_table_destroy(gate->shapes);
	g_hash_table_destroy(gate->pressures);
	g_hash_table_destroy(gate->waits);
	g_free(gate);
}

void cw_gate_divide(struct cw_gate *gate, size_t instances)
{
	gate->instances = instances;
}

/* Records arrive twice and late: only a newer version replaces the one in force. */
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

double gate_random_part(struct cw_gate *gate)
{
	return cw_hash_part(gate_random(gate));
}

struct cw_repeats *gate_repeats(struct cw_gate *gate, const char *service)
{
	int is_new;
	struct cw_repeats *repeats =
		find_or_add(gate->repeats, service, sizeof(struct cw_repeats), &is_new);

	if (is_new)
		cw_repeats_open(repeats, gate->options.repeat_ratio, 0,
				gate->options.repeat_window_ms);
	repeats->slack = cw_repeats_part(gate->options.repeat_slack, gate->instances);
	return repeats;
}

/* The wait counts as well: a first request says the longest. */
int64_t gate_longest_wait_ms(struct cw_gate *gate, const char *route, int64_t wait_ms)
{
	int64_t *longest;

	if (!g_hash_table_contains(gate->waits, route))
		make_room(gate->waits);
	longest = find_or_add(gate->waits, route, sizeof(int64_t), NULL);
	*longest = MAX(*longest, wait_ms);
	return *longest;
}

void gate_note_sent(struct cw_gate *gate, const char *service, int64_t now_ms)
{
	pressure_of(gate, service, now_ms)->sent += 1;
}

void gate_note_rejected(struct cw_gate *gate, const char *service, int64_t now_ms)
{
	pressure_of(gate, service, now_ms)->rejected += 1;
}

void gate_note_told(struct cw_gate *gate, const char *service, const struct cw_load *load,
		    int64_t now_ms)
{
	struct gate_pressure *pressure = pressure_of(gate, service, now_ms);

	if (load->slots == 0)
		return;
	pressure->told += 1;
	pressure->told_full += (double)(load->running + load->queued) / load->slots;
}

/*
 * One instance of many hears of each server once in half a minute, but of some server several times
 * a second: their mean is the newest word on all of them.
 */
double gate_fullness(struct cw_gate *gate, const char *service, int64_t now_ms)
{
	const struct gate_pressure *pressure = pressure_of(gate, service, now_ms);

	return pressure->told > 0 ? pressure->told_full / pressure->told : 0;
}

double gate_rejected_part(struct cw_gate *gate, const char *service, int64_t now_ms)
{
	const struct gate_pressure *pressure = pressure_of(gate, service, now_ms);

	return MIN(pressure->rejected / (pressure->sent + PRESSURE_PRIOR), 1);
}

static struct gate_pressure *pressure_of(struct cw_gate *gate, const char *service, int64_t now_ms)
{
	struct gate_pressure *pressure =
		find_or_add(gate->pressures, service, sizeof(struct gate_pressure), NULL);
	double factor = exp(-(double)(now_ms - pressure->at_ms) / PRESSURE_MS);

	pressure->sent *= factor;
	pressure->rejected *= factor;
	pressure->told *= factor;
	pressure->told_full *= factor;
	pressure->at_ms = now_ms;
	return pressure;
}

double gate_shape(struct cw_gate *gate, const char *name, double sample)
{
	double *usual;
	int is_new;

	if (!g_hash_table_contains(gate->shapes, name))
		make_room(gate->shapes);
	usual = find_or_add(gate->shapes, name, sizeof(double), &is_new);
	if (is_new)
		*usual = sample;
	*usual += SHAPE_GAIN * (sample - *usual);
	return *usual;
}

struct gate_pace *gate_pace(struct cw_gate *gate, const char *name)
{
	return find_or_add(gate->paces, name, sizeof(struct gate_pace), NULL);
}

/* Of size bytes, all zero when it is new; is_new may be NULL. */
static void *find_or_add(GHashTable *table, const char *name, size_t size, int *is_new)
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

/* Routes come and go with configurations; what is forgotten is soon told again. */
static void make_room(GHashTable *table)
{
	if (g_hash_table_size(table) >= ROUTES_MAX)
		g_hash_table_remove_all(table);
}
