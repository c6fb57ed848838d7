/* Functions shared by the experiments: request arrivals, retries by callers, tables of results. */
#include "experiment.h"

#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

static const double organisation_shares[ORGANISATION_COUNT] = {0.3,  0.2,  0.15, 0.08, 0.07,
							       0.06, 0.05, 0.04, 0.03, 0.02};

static void send_request(struct driver *driver);
static void on_request_end(void *context, struct world *world, struct world_request *request);
static gint compare_retry_times(gconstpointer a, gconstpointer b, gpointer unused);

struct world *driver_create_world(uint64_t seed, const struct cw_node_config *node,
				  struct driver *driver)
{
	struct world_config config = {
		.nodes = NODE_COUNT,
		.domains = FAILURE_DOMAIN_COUNT,
		.servers = SERVER_COUNT,
		.slots = SLOTS_PER_SERVER,
		.seed = seed + 1,
		.latency_ms = 1,
		.store_latency_ms = 3,
		.report_lag_ms = 200,
		.tick_ms = 10,
		.node = *node,
		.on_end = on_request_end,
		.context = driver,
	};

	config.node.events = 0;
	driver->world = world_create(&config);
	driver->random = g_rand_new_with_seed((guint32)(seed * 31 + 7));
	driver->pending_retries = g_sequence_new(g_free);
	driver->retry_counts = g_hash_table_new(NULL, NULL);
	for (int i = 0; i < NODE_COUNT; i++)
		world_start(driver->world, i);
	return driver->world;
}

void driver_destroy(struct driver *driver)
{
	g_sequence_free(driver->pending_retries);
	g_hash_table_destroy(driver->retry_counts);
	g_rand_free(driver->random);
	world_destroy(driver->world);
}

/* Rejected callers retry after the time named in the answer, at a random instance. */
void driver_run(struct driver *driver, double per_s, int64_t ms)
{
	int64_t until_ms = world_now(driver->world) + ms;

	driver->next_arrival_ms = (double)world_now(driver->world);
	while (world_now(driver->world) < until_ms) {
		GSequenceIter *first = g_sequence_get_begin_iter(driver->pending_retries);
		struct pending_retry *retry =
			g_sequence_iter_is_end(first) ? NULL : g_sequence_get(first);
		int64_t at_ms = (int64_t)driver->next_arrival_ms;

		if (retry && retry->at_ms <= at_ms) {
			struct cw_node_request in = retry->request->in;
			struct world_request *retried;

			world_advance(driver->world,
				      MAX(retry->at_ms - world_now(driver->world), 0));
			in.request_id[0] = '\0';
			retried = world_send(driver->world,
					     g_rand_int_range(driver->random, 0, NODE_COUNT), &in,
					     retry->request->tokens);
			g_hash_table_insert(driver->retry_counts, retried,
					    GINT_TO_POINTER(retry->retries));
			g_sequence_remove(first);
			continue;
		}
		world_advance(driver->world, MAX(at_ms - world_now(driver->world), 0));
		send_request(driver);
		driver->next_arrival_ms += -log(1 - g_rand_double(driver->random)) / per_s * 1000;
	}
}

/*
 * Traffic mix: many short tagging requests and few long reports, most requests from a few
 * organisations, repeated prompt prefixes.
 */
static void send_request(struct driver *driver)
{
	static const double task_shares[TASKS] = {0.5, 0.3, 0.15, 0.05};
	static const unsigned int task_tokens[TASKS] = {20, 80, 300, 400};
	static const unsigned int task_prompts[TASKS] = {150, 250, 600, 4000};
	double organisation_draw = g_rand_double(driver->random);
	double task_draw = g_rand_double(driver->random);
	int organisation = 0;
	int task = 0;
	int node = g_rand_int_range(driver->random, 0, NODE_COUNT);
	struct cw_node_request in;
	struct world_request *request;
	char name[8];

	while (organisation < ORGANISATION_COUNT - 1 &&
	       organisation_draw >= organisation_shares[organisation])
		organisation_draw -= organisation_shares[organisation++];
	while (task < TASKS - 1 && task_draw >= task_shares[task])
		task_draw -= task_shares[task++];
	if (driver->node_skew >= 0 && g_rand_double(driver->random) < driver->node_skew)
		node = 0;
	if (!world_node(driver->world, node)->node)
		node = (node + 1) % NODE_COUNT;
	g_snprintf(name, sizeof(name), "o%d", organisation);
	world_request_init(&in, name, driver->target,
			   CW_REQUEST_IDEMPOTENT | (driver->stream ? CW_REQUEST_STREAM : 0));
	g_strlcpy(in.task, world_task_names[task], CW_NAME_MAX);
	in.prompt_tokens = task_prompts[task];
	in.prefix = 1 + (uint64_t)(PROMPT_PREFIX_COUNT * pow(g_rand_double(driver->random), 2));
	in.deadline_ms = world_now(driver->world) + 30000;
	request = world_send(driver->world, node, &in,
			     task_tokens[task] / 2 +
				     (unsigned int)g_rand_int_range(driver->random, 0,
								    (gint32)task_tokens[task]));
	/* Marks the largest organisation's requests, which the limits experiment counts. */
	request->user_data = organisation ? NULL : driver->random;
}

static void on_request_end(void *context, struct world *world, struct world_request *request)
{
	struct driver *driver = context;
	int retries = GPOINTER_TO_INT(g_hash_table_lookup(driver->retry_counts, request));
	struct pending_retry *retry;

	if (!driver->callers_retry || request->end != CW_EFFECT_REJECT ||
	    !request->retry_after_ms || retries >= RETRIES_MAX)
		return;
	retry = g_new0(struct pending_retry, 1);
	retry->at_ms = world_now(world) + request->retry_after_ms;
	retry->request = request;
	retry->retries = retries + 1;
	g_sequence_insert_sorted(driver->pending_retries, retry, compare_retry_times, NULL);
}

void driver_publish_table(struct world *world, const char *const *model_rows, double target)
{
	char *rows[64] = {0};
	size_t count = 0;

	for (int i = 0; i < ORGANISATION_COUNT; i++) {
		char name[8];

		g_snprintf(name, sizeof(name), "o%d", i);
		for (size_t j = 0; model_rows[j]; j++)
			rows[count++] =
				g_strdup_printf("%s,%s,%.2f,allowed", name, model_rows[j], target);
		world_add_key(world, name);
	}
	world_publish(world, (const char *const *)rows);
	for (size_t i = 0; i < count; i++)
		g_free(rows[i]);
}

/*
 * Throughput of the latency experiment's servers with all slots busy. The mean service time follows
 * the formula of the fake servers, service_time.
 */
double driver_capacity_per_s(void)
{
	static const double shares[TASKS] = {0.5, 0.3, 0.15, 0.05};
	static const double tokens[TASKS] = {20, 80, 300, 400};
	static const double prompts[TASKS] = {150, 250, 600, 4000};
	const double batch_slowdown = 1.5; /* of a full batch */
	const double prefill_share = 0.5;  /* left by the usual share of prefix cache hits */
	double mean_ms = 0;

	for (int task = 0; task < TASKS; task++)
		mean_ms += shares[task] *
			   (150 * (0.3 + prompts[task] / 1000) * batch_slowdown * prefill_share +
			    tokens[task] * 4 * batch_slowdown);
	return SERVER_COUNT * SLOTS_PER_SERVER / (mean_ms / 1000);
}

double driver_percentile(GArray *values, double share)
{
	if (values->len == 0)
		return 0;
	return g_array_index(values, double, MIN((guint)(share * values->len), values->len - 1));
}

void driver_print_row(const char *label, const struct results *results, const char *const *columns,
		      size_t count)
{
	printf("%-38s", label);
	for (size_t i = 0; i < count; i++) {
		double sorted[SEED_COUNT];

		memcpy(sorted, results->values[i], sizeof(sorted));
		qsort(sorted, SEED_COUNT, sizeof(double), driver_compare_doubles);
		printf("  %s %.4g (%.4g to %.4g)", columns[i], sorted[SEED_COUNT / 2], sorted[0],
		       sorted[SEED_COUNT - 1]);
	}
	printf("\n");
	fflush(stdout);
}

gint driver_compare_doubles(gconstpointer a, gconstpointer b)
{
	double left = *(const double *)a;
	double right = *(const double *)b;

	return left < right ? -1 : left > right;
}

static gint compare_retry_times(gconstpointer a, gconstpointer b, gpointer unused)
{
	const struct pending_retry *left = a;
	const struct pending_retry *right = b;

	return left->at_ms < right->at_ms ? -1 : left->at_ms > right->at_ms;
}
