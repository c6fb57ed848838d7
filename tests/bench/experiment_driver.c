/* What the experiments share: arrivals, callers that come back, tables of figures. */
#include "experiment.h"

#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

static const double organisation_shares[ORGANISATIONS] = {0.3,	0.2,  0.15, 0.08, 0.07,
							  0.06, 0.05, 0.04, 0.03, 0.02};

static void send_one(struct driver *driver);
static void on_end(void *context, struct world *world, struct world_request *request);
static gint by_time(gconstpointer a, gconstpointer b, gpointer unused);

struct world *driver_world(uint64_t seed, const struct cw_node_config *node, struct driver *driver)
{
	struct world_config config = {
		.nodes = NODES,
		.domains = DOMAINS,
		.servers = SERVERS,
		.slots = SLOTS,
		.seed = seed + 1,
		.latency_ms = 1,
		.platform_ms = 3,
		.report_lag_ms = 200,
		.tick_ms = 10,
		.node = *node,
		.on_end = on_end,
		.context = driver,
	};

	config.node.events = 0;
	driver->world = world_create(&config);
	driver->random = g_rand_new_with_seed((guint32)(seed * 31 + 7));
	driver->later = g_sequence_new(g_free);
	driver->tries = g_hash_table_new(NULL, NULL);
	for (int i = 0; i < NODES; i++)
		world_start(driver->world, i);
	return driver->world;
}

void driver_destroy(struct driver *driver)
{
	g_sequence_free(driver->later);
	g_hash_table_destroy(driver->tries);
	g_rand_free(driver->random);
	world_destroy(driver->world);
}

/* Arrivals are Poisson; callers that were refused come back when they were told to. */
void driver_run(struct driver *driver, double per_s, int64_t ms)
{
	int64_t until_ms = world_now(driver->world) + ms;

	driver->next_ms = (double)world_now(driver->world);
	while (world_now(driver->world) < until_ms) {
		GSequenceIter *first = g_sequence_get_begin_iter(driver->later);
		struct later *later = g_sequence_iter_is_end(first) ? NULL : g_sequence_get(first);
		int64_t at_ms = (int64_t)driver->next_ms;

		if (later && later->at_ms <= at_ms) {
			struct cw_node_request in = later->request->in;
			struct world_request *again;

			world_run(driver->world, MAX(later->at_ms - world_now(driver->world), 0));
			in.request_id[0] = '\0';
			again = world_send(driver->world,
					   g_rand_int_range(driver->random, 0, NODES), &in,
					   later->request->tokens);
			g_hash_table_insert(driver->tries, again, GINT_TO_POINTER(later->tries));
			g_sequence_remove(first);
			continue;
		}
		world_run(driver->world, MAX(at_ms - world_now(driver->world), 0));
		send_one(driver);
		driver->next_ms += -log(1 - g_rand_double(driver->random)) / per_s * 1000;
	}
}

/* Tags are many and short, reports few and long; a few organisations are large, prompts repeat. */
static void send_one(struct driver *driver)
{
	static const double task_shares[TASKS] = {0.5, 0.3, 0.15, 0.05};
	static const unsigned int task_tokens[TASKS] = {20, 80, 300, 400};
	static const unsigned int task_prompts[TASKS] = {150, 250, 600, 4000};
	double draw = g_rand_double(driver->random);
	double which = g_rand_double(driver->random);
	int organisation = 0;
	int task = 0;
	int node = g_rand_int_range(driver->random, 0, NODES);
	struct cw_node_request in;
	struct world_request *request;
	char name[8];

	while (organisation < ORGANISATIONS - 1 && draw >= organisation_shares[organisation])
		draw -= organisation_shares[organisation++];
	while (task < TASKS - 1 && which >= task_shares[task])
		which -= task_shares[task++];
	if (driver->node_skew >= 0 && g_rand_double(driver->random) < driver->node_skew)
		node = 0;
	if (!world_node(driver->world, node)->node)
		node = (node + 1) % NODES;
	g_snprintf(name, sizeof(name), "o%d", organisation);
	world_request_init(&in, name, driver->target,
			   CW_REQUEST_IDEMPOTENT | (driver->stream ? CW_REQUEST_STREAM : 0));
	g_strlcpy(in.task, world_task_names[task], CW_NAME_MAX);
	in.prompt_tokens = task_prompts[task];
	in.prefix = 1 + (uint64_t)(PREFIXES * pow(g_rand_double(driver->random), 2));
	in.deadline_ms = world_now(driver->world) + 30000;
	request = world_send(driver->world, node, &in,
			     task_tokens[task] / 2 +
				     (unsigned int)g_rand_int_range(driver->random, 0,
								    (gint32)task_tokens[task]));
	/* The largest organisation's requests are marked: the limits are measured on them. */
	request->user = organisation ? NULL : driver->random;
}

static void on_end(void *context, struct world *world, struct world_request *request)
{
	struct driver *driver = context;
	int tries = GPOINTER_TO_INT(g_hash_table_lookup(driver->tries, request));
	struct later *later;

	if (!driver->callers_return || request->end != CW_EFFECT_REJECT ||
	    !request->retry_after_ms || tries >= RETRIES)
		return;
	later = g_new0(struct later, 1);
	later->at_ms = world_now(world) + request->retry_after_ms;
	later->request = request;
	later->tries = tries + 1;
	g_sequence_insert_sorted(driver->later, later, by_time, NULL);
}

void driver_publish(struct world *world, const char *const *model_rows, double target)
{
	char *rows[64] = {0};
	size_t count = 0;

	for (int i = 0; i < ORGANISATIONS; i++) {
		char name[8];

		g_snprintf(name, sizeof(name), "o%d", i);
		for (size_t j = 0; model_rows[j]; j++)
			rows[count++] =
				g_strdup_printf("%s,%s,%.2f,allowed", name, model_rows[j], target);
		world_key(world, name);
	}
	world_publish(world, (const char *const *)rows);
	for (size_t i = 0; i < count; i++)
		g_free(rows[i]);
}

/* Of the latency experiment's pool, with every slot busy: from the fake's own formula. */
double capacity_per_s(void)
{
	static const double shares[TASKS] = {0.5, 0.3, 0.15, 0.05};
	static const double tokens[TASKS] = {20, 80, 300, 400};
	static const double prompts[TASKS] = {150, 250, 600, 4000};
	const double crowd = 1.5;
	const double cached = 0.5; /* of the prefill that a usual share of cache hits leaves */
	double mean_ms = 0;

	for (int task = 0; task < TASKS; task++)
		mean_ms += shares[task] * (150 * (0.3 + prompts[task] / 1000) * crowd * cached +
					   tokens[task] * 4 * crowd);
	return SERVERS * SLOTS / (mean_ms / 1000);
}

double driver_percentile(GArray *values, double share)
{
	if (values->len == 0)
		return 0;
	return g_array_index(values, double, MIN((guint)(share * values->len), values->len - 1));
}

void driver_print(const char *label, const struct figures *figures, const char *const *columns,
		  size_t count)
{
	printf("%-38s", label);
	for (size_t i = 0; i < count; i++) {
		double sorted[SEEDS];

		memcpy(sorted, figures->values[i], sizeof(sorted));
		qsort(sorted, SEEDS, sizeof(double), driver_compare);
		printf("  %s %.4g (%.4g to %.4g)", columns[i], sorted[SEEDS / 2], sorted[0],
		       sorted[SEEDS - 1]);
	}
	printf("\n");
	fflush(stdout);
}

gint driver_compare(gconstpointer a, gconstpointer b)
{
	double left = *(const double *)a;
	double right = *(const double *)b;

	return left < right ? -1 : left > right;
}

static gint by_time(gconstpointer a, gconstpointer b, gpointer unused)
{
	const struct later *left = a;
	const struct later *right = b;

	return left->at_ms < right->at_ms ? -1 : left->at_ms > right->at_ms;
}
