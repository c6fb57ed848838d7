/*
 * experiment NAME: drives the real decisions of several instances with fake backend servers in
 * virtual time, for several seeds, and prints median and range beside the baselines.
 * NAME: cost, latency, exposure, limits, cells.
 */
#include "world.h"

#include <glib.h>
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define SEEDS	      5
#define NODES	      8
#define DOMAINS	      4
#define SERVERS	      12
#define SLOTS	      8
#define ORGANISATIONS 10
#define PREFIXES      40
#define RETRIES	      3
#define WARM_MS	      5000
#define COLUMNS_MAX   8

struct later { /* a caller that was told when to come back */
	int64_t at_ms;
	struct world_request *request;
	int tries;
};

struct driver {
	struct world *world;
	GRand *random;
	GSequence *later;
	GHashTable *tries; /* request -> tries so far */
	double next_ms;
	int64_t measure_from_ms;
	int stream;
	int callers_return;
	double node_skew; /* share of requests that go to the first instance; < 0 even */
	const char *target;
};

struct figures {
	double values[COLUMNS_MAX][SEEDS];
};

static const double organisation_shares[ORGANISATIONS] = {0.3,	0.2,  0.15, 0.08, 0.07,
							  0.06, 0.05, 0.04, 0.03, 0.02};

static struct world *make_world(uint64_t seed, const struct cw_node_config *node,
				struct driver *driver);
static void destroy(struct driver *driver);
static void drive(struct driver *driver, double per_s, int64_t ms);
static void send_one(struct driver *driver);
static void on_end(void *context, struct world *world, struct world_request *request);
static void publish(struct world *world, const char *const *model_rows, double target);
static double capacity_per_s(void);
static double percentile(GArray *values, double share);
static void print_row(const char *label, const struct figures *figures, const char *const *columns,
		      size_t count);
static gint compare(gconstpointer a, gconstpointer b);
static gint by_time(gconstpointer a, gconstpointer b, gpointer unused);

/* ---- cost at the quality target ---- */

static void add_models(struct world *world)
{
	static const struct world_profile profiles[] = {
		{.model = "small",
		 .version = "1",
		 .quality_sigma = 0.05,
		 .slow = 1,
		 .cost_per_1k = 0.2,
		 .first_ms = 60,
		 .token_ms = 4,
		 .bad_from_ms = -1,
		 .failure = 0.002,
		 .task_quality = {0.93, 0.80, 0.55, 0.50}},
		{.model = "middle",
		 .version = "1",
		 .quality_sigma = 0.05,
		 .slow = 1,
		 .cost_per_1k = 0.7,
		 .first_ms = 120,
		 .token_ms = 8,
		 .bad_from_ms = -1,
		 .failure = 0.002,
		 .task_quality = {0.95, 0.89, 0.78, 0.74}},
		{.model = "large",
		 .version = "1",
		 .quality_sigma = 0.04,
		 .slow = 1,
		 .cost_per_1k = 2.0,
		 .first_ms = 250,
		 .token_ms = 15,
		 .bad_from_ms = -1,
		 .failure = 0.002,
		 .task_quality = {0.97, 0.95, 0.93, 0.92}},
	};

	for (size_t i = 0; i < G_N_ELEMENTS(profiles); i++) {
		world_profile(world, &profiles[i]);
		world_load_everywhere(world, profiles[i].model, "1");
	}
}

static void cost_run(const struct cw_cascade_policy *policy, double target, int stream,
		     uint64_t seed, struct figures *figures)
{
	static const char *const rows[] = {"small,1,100,0.2", "middle,1,100,0.7", "large,1,100,2.0",
					   NULL};
	struct cw_node_config node;
	struct driver driver = {.target = "auto", .node_skew = -1, .stream = stream};
	const GPtrArray *requests;
	double cost = 0, quality = 0, task_quality[TASKS] = {0};
	int count = 0, task_count[TASKS] = {0};
	double worst = 1;

	cw_node_defaults(&node);
	node.cascade = policy;
	make_world(seed, &node, &driver);
	add_models(driver.world);
	publish(driver.world, rows, target);
	world_run(driver.world, 2000);
	drive(&driver, 20, 400000);
	requests = world_requests(driver.world);
	for (guint i = 0; i < requests->len; i++) {
		const struct world_request *request = g_ptr_array_index(requests, i);

		if (request->end != CW_EFFECT_RELEASE || request->ended_ms < 0)
			continue;
		cost += request->cost;
		quality += request->quality;
		count++;
		for (int task = 0; task < TASKS; task++)
			if (!strcmp(request->in.task, world_task_names[task])) {
				task_quality[task] += request->quality;
				task_count[task]++;
			}
	}
	for (int task = 0; task < TASKS; task++)
		worst = MIN(worst, task_quality[task] / task_count[task]);
	figures->values[0][seed] = cost / count * 1000;
	figures->values[1][seed] = quality / count;
	figures->values[2][seed] = worst;
	figures->values[3][seed] = 100.0 * count / requests->len;
	destroy(&driver);
}

static void experiment_cost(void)
{
	static const char *const columns[] = {"cost/1k requests", "mean quality",
					      "worst task's mean", "answered %"};
	static const struct cw_cascade_policy *const policies[] = {
		&cw_cascade_learned, &cw_cascade_costly, &cw_cascade_cheap};
	static const double targets[] = {0.70, 0.75, 0.80, 0.85, 0.90};

	for (int stream = 0; stream < 2; stream++) {
		printf("\n## cost, %s, target by target\n",
		       stream ? "streamed (no check possible)" : "whole answers");
		for (size_t t = 0; t < G_N_ELEMENTS(targets); t++) {
			for (size_t p = 0; p < G_N_ELEMENTS(policies); p++) {
				struct figures figures = {0};
				char label[64];

				if (p > 0 && t > 0)
					continue;
				for (uint64_t seed = 0; seed < SEEDS; seed++)
					cost_run(policies[p], targets[t], stream, seed, &figures);
				g_snprintf(label, sizeof(label), "%s%s%.2f", policies[p]->name,
					   p ? ", any target " : ", target ", p ? 0.0 : targets[t]);
				print_row(label, &figures, columns, G_N_ELEMENTS(columns));
			}
		}
	}
}

/* ---- latency and goodput under load ---- */

static void latency_run(const struct cw_choice_policy *policy, double load, uint64_t seed,
			struct figures *figures)
{
	static const char *const rows[] = {"m,1,100,1", NULL};
	static const struct world_profile profile = {.model = "m",
						     .version = "1",
						     .quality = 0.9,
						     .slow = 1,
						     .cost_per_1k = 1,
						     .first_ms = 150,
						     .token_ms = 4,
						     .bad_from_ms = -1,
						     .failure = 0.002};
	struct cw_node_config node;
	struct driver driver = {.target = "m", .node_skew = -1, .stream = 1, .callers_return = 1};
	GArray *first = g_array_new(FALSE, FALSE, sizeof(double));
	GArray *total = g_array_new(FALSE, FALSE, sizeof(double));
	const GPtrArray *requests;
	double refused = 0, sent = 0, dispatched = 0, answered = 0;
	double tokens = 0;
	int64_t span_ms;

	cw_node_defaults(&node);
	node.choice = policy;
	make_world(seed, &node, &driver);
	world_profile(driver.world, &profile);
	world_load_everywhere(driver.world, "m", "1");
	publish(driver.world, rows, 0.8);
	world_run(driver.world, 2000);
	driver.measure_from_ms = world_now(driver.world) + WARM_MS;
	drive(&driver, load * capacity_per_s(), 40000);
	span_ms = world_now(driver.world) - driver.measure_from_ms;
	requests = world_requests(driver.world);
	for (guint i = 0; i < requests->len; i++) {
		const struct world_request *request = g_ptr_array_index(requests, i);
		double value;

		if (request->began_ms < driver.measure_from_ms)
			continue;
		sent++;
		dispatched += request->dispatched;
		if (request->ended_ms < 0)
			continue;
		if (request->end == CW_EFFECT_REFUSE) {
			refused++;
			continue;
		}
		answered++;
		tokens += request->tokens;
		value = (double)(request->first_ms - request->began_ms);
		g_array_append_val(first, value);
		value = (double)(request->ended_ms - request->began_ms);
		g_array_append_val(total, value);
	}
	g_array_sort(first, compare);
	g_array_sort(total, compare);
	figures->values[0][seed] = percentile(first, 0.5);
	figures->values[1][seed] = percentile(first, 0.95);
	figures->values[2][seed] = percentile(first, 0.99);
	figures->values[3][seed] = percentile(total, 0.5);
	figures->values[4][seed] = percentile(total, 0.99);
	figures->values[5][seed] = 100.0 * answered / ((double)span_ms / 1000) / capacity_per_s();
	figures->values[6][seed] = 100.0 * refused / sent;
	figures->values[7][seed] = dispatched / MAX(answered, 1);
	g_array_unref(first);
	g_array_unref(total);
	destroy(&driver);
}

static void experiment_latency(void)
{
	static const char *const columns[] = {"first 50",  "first 95",
					      "first 99",  "total 50",
					      "total 99",  "goodput % of capacity",
					      "refused %", "dispatches/answer"};
	static const struct cw_choice_policy *const policies[] = {
		&cw_choice_affinity, &cw_choice_two, &cw_choice_round_robin,
		&cw_choice_least_reported, &cw_choice_random};
	static const double loads[] = {0.5, 0.8, 0.95, 1.2, 2.0};

	for (size_t l = 0; l < G_N_ELEMENTS(loads); l++) {
		printf("\n## latency in ms at %.0f %% of capacity (%.0f requests/s)\n",
		       loads[l] * 100, capacity_per_s() * loads[l]);
		for (size_t p = 0; p < G_N_ELEMENTS(policies); p++) {
			struct figures figures = {0};

			for (uint64_t seed = 0; seed < SEEDS; seed++)
				latency_run(policies[p], loads[l], seed, &figures);
			print_row(policies[p]->name, &figures, columns, G_N_ELEMENTS(columns));
		}
	}
}

/* ---- exposure to bad versions ---- */

enum fault { FAULT_NONE, FAULT_FAILS, FAULT_DEGRADES, FAULT_SLOW };

static void exposure_run(const struct cw_health_policy *policy, enum fault fault, const char *share,
			 uint64_t seed, struct figures *figures)
{
	char row[64];
	char other[64];
	const char *const rows[] = {other, row, NULL};
	struct world_profile profile = {.model = "m",
					.version = "1",
					.quality = 0.88,
					.quality_sigma = 0.06,
					.slow = 1,
					.cost_per_1k = 1,
					.first_ms = 80,
					.token_ms = 2,
					.bad_from_ms = -1,
					.failure = 0.01,
					.bad_quality = 0.88,
					.bad_failure = 0.01,
					.bad_slow = 1};
	struct cw_node_config node;
	struct driver driver = {.target = "m", .node_skew = -1, .stream = 1};
	const GPtrArray *requests;
	int64_t bad_from_ms;
	double exposed = 0;
	double trips = 0;

	cw_node_defaults(&node);
	node.health = policy;
	make_world(seed, &node, &driver);
	g_snprintf(other, sizeof(other), "m,1,%g,1", 100 - g_ascii_strtod(share, NULL));
	g_snprintf(row, sizeof(row), "m,2,%s,1", share);
	world_profile(driver.world, &profile);
	world_load_everywhere(driver.world, "m", "1");
	world_load_everywhere(driver.world, "m", "2");
	bad_from_ms = world_now(driver.world) + 2000 + 60000;
	g_strlcpy(profile.version, "2", CW_NAME_MAX);
	profile.bad_from_ms = fault == FAULT_NONE ? -1 : bad_from_ms;
	profile.bad_failure = fault == FAULT_FAILS ? 1.0 : 0.01;
	profile.bad_quality = fault == FAULT_DEGRADES ? 0.76 : 0.88;
	profile.bad_slow = fault == FAULT_SLOW ? 8 : 1;
	world_profile(driver.world, &profile);
	publish(driver.world, rows, 0.8);
	world_run(driver.world, 2000);
	/* The hold after a trip is 20 s: what is measured ends before a tripped version is probed.
	 */
	drive(&driver, 60, fault == FAULT_NONE ? 300000 : 60000 + 19000);
	requests = world_requests(driver.world);
	for (guint i = 0; i < requests->len; i++) {
		const struct world_request *request = g_ptr_array_index(requests, i);

		exposed += request->began_ms >= bad_from_ms && !strcmp(request->version, "2");
	}
	for (guint i = 0; i < world_log(driver.world, CW_STREAM_NOTICES)->len; i++) {
		const struct world_record *record =
			g_ptr_array_index(world_log(driver.world, CW_STREAM_NOTICES), i);

		trips += strstr(record->data, "\"trip\"") != NULL;
	}
	figures->values[0][seed] = fault == FAULT_NONE ? 0 : exposed;
	figures->values[1][seed] = trips;
	figures->values[2][seed] = requests->len;
	destroy(&driver);
}

static void experiment_exposure(void)
{
	static const char *const columns[] = {"requests exposed in 19 s", "trips appended",
					      "requests"};
	static const char *const faults[] = {"good (5 min)", "fails outright",
					     "degrades 0.88 to 0.76", "slow, 8 times"};
	static const char *const shares[] = {"1", "10", "50"};
	static const struct cw_health_policy *const policies[] = {&cw_health_pooled_cusum,
								  &cw_health_own_threshold};

	for (int fault = 0; fault < (int)G_N_ELEMENTS(faults); fault++) {
		for (size_t s = 0; s < G_N_ELEMENTS(shares); s++) {
			printf("\n## a version at %s %% of 60 requests/s: %s\n", shares[s],
			       faults[fault]);
			for (size_t p = 0; p < G_N_ELEMENTS(policies); p++) {
				struct figures figures = {0};

				for (uint64_t seed = 0; seed < SEEDS; seed++)
					exposure_run(policies[p], fault, shares[s], seed, &figures);
				print_row(policies[p]->name, &figures, columns,
					  G_N_ELEMENTS(columns));
			}
		}
	}
}

/* ---- limits divided among instances ---- */

enum limits_case { LIMITS_CALM, LIMITS_SKEWED, LIMITS_PARTITION, LIMITS_DEATH, LIMITS_CASES };

static void limits_run(enum limits_case which, uint64_t seed, struct figures *figures)
{
	static const char *const rows[] = {"m,1,100,1", NULL};
	static const struct world_profile profile = {.model = "m",
						     .version = "1",
						     .quality = 0.9,
						     .slow = 1,
						     .cost_per_1k = 1,
						     .first_ms = 10,
						     .token_ms = 1,
						     .bad_from_ms = -1};
	const double limit = 100;
	struct cw_node_config node;
	struct driver driver = {
		.target = "m", .stream = 0, .node_skew = which == LIMITS_CALM ? -1 : 0.5};
	const GPtrArray *requests;
	GHashTable *seconds = g_hash_table_new(NULL, NULL);
	GHashTableIter iter;
	gpointer second, count;
	double over = 0, used = 0;
	int64_t from_ms;
	int spans = 0;

	cw_node_defaults(&node);
	make_world(seed, &node, &driver);
	world_profile(driver.world, &profile);
	world_load_everywhere(driver.world, "m", "1");
	publish(driver.world, rows, 0.8);
	for (int i = 0; i < ORGANISATIONS; i++) {
		char name[8];

		g_snprintf(name, sizeof(name), "o%d", i);
		world_set(driver.world, name, "m", "1", "requests_per_s", i ? "1000" : "100");
	}
	world_run(driver.world, 4000);
	/* The largest organisation asks for 0.3 of it: 150 a second against a limit of 100. */
	drive(&driver, 500, 10000);
	from_ms = world_now(driver.world);
	if (which == LIMITS_PARTITION)
		world_cut(driver.world, 1, 1);
	if (which == LIMITS_DEATH)
		world_crash(driver.world, 1);
	drive(&driver, 500, 20000);
	requests = world_requests(driver.world);
	for (guint i = 0; i < requests->len; i++) {
		const struct world_request *request = g_ptr_array_index(requests, i);
		gpointer key = GINT_TO_POINTER((int)((request->began_ms - from_ms) / 1000) + 1);

		if (request->began_ms < from_ms || request->user != driver.random ||
		    !request->dispatched)
			continue;
		g_hash_table_insert(
			seconds, key,
			GINT_TO_POINTER(GPOINTER_TO_INT(g_hash_table_lookup(seconds, key)) + 1));
	}
	g_hash_table_iter_init(&iter, seconds);
	while (g_hash_table_iter_next(&iter, &second, &count)) {
		used += GPOINTER_TO_INT(count);
		spans++;
	}
	/* Over a window of the whole span: a bucket may lend one second's burst, never more. */
	over = MAX(0, used - limit * spans) / (limit * spans) * 100;
	figures->values[0][seed] = over;
	figures->values[1][seed] = MAX(0, limit * spans - used) / (limit * spans) * 100;
	figures->values[2][seed] = used / spans;
	g_hash_table_destroy(seconds);
	destroy(&driver);
}

static void experiment_limits(void)
{
	static const char *const columns[] = {"overshoot % over 20 s", "waste %",
					      "admitted/s of 100, 150 asked"};
	static const char *const names[] = {"calm, even", "half of the requests on one of 8",
					    "skewed, a failure domain cut off",
					    "skewed, an instance dead"};

	printf("\n## limits: 100 requests/s of one organisation over 8 instances\n");
	for (int which = 0; which < LIMITS_CASES; which++) {
		struct figures figures = {0};

		for (uint64_t seed = 0; seed < SEEDS; seed++)
			limits_run(which, seed, &figures);
		print_row(names[which], &figures, columns, G_N_ELEMENTS(columns));
	}
}

/* ---- changed cells ---- */

static void cells_run(int cut_nodes, uint64_t seed, struct figures *figures)
{
	static const char *const rows[] = {"m,1,100,1", NULL};
	struct cw_node_config node;
	struct driver driver = {.target = "m"};
	GArray *times = g_array_new(FALSE, FALSE, sizeof(double));

	cw_node_defaults(&node);
	make_world(seed, &node, &driver);
	publish(driver.world, rows, 0.8);
	world_run(driver.world, 3000);
	for (int i = 0; i < cut_nodes; i++)
		world_cut_platform(driver.world, i, 1);
	world_run(driver.world, 10000);
	for (int edit = 0; edit < 200; edit++) {
		int64_t began_ms = world_now(driver.world);
		uint64_t offset;
		double took_ms;
		int done = 0;

		world_set(driver.world, "o0", "m", "1", "weight", edit % 2 ? "50" : "60");
		offset = world_log(driver.world, CW_STREAM_TABLE)->len;
		while (done < NODES && world_now(driver.world) - began_ms < 30000) {
			world_run(driver.world, 5);
			done = 0;
			for (int i = 0; i < NODES; i++)
				done += cw_table_offset(cw_node_table(
						world_node(driver.world, i)->node)) >= offset;
		}
		took_ms = (double)(world_now(driver.world) - began_ms);
		g_array_append_val(times, took_ms);
		world_run(driver.world, 100 + (int64_t)(world_random(driver.world) * 400));
	}
	g_array_sort(times, compare);
	figures->values[0][seed] = percentile(times, 0.5);
	figures->values[1][seed] = percentile(times, 0.99);
	figures->values[2][seed] = percentile(times, 1);
	g_array_unref(times);
	destroy(&driver);
}

static void experiment_cells(void)
{
	static const char *const columns[] = {"ms 50", "ms 99", "ms max"};
	static const int cuts[] = {0, 4, 7};

	printf("\n## a changed cell: ms until in force on all 8 instances (200 edits a seed)\n");
	for (size_t i = 0; i < G_N_ELEMENTS(cuts); i++) {
		struct figures figures = {0};
		char label[64];

		for (uint64_t seed = 0; seed < SEEDS; seed++)
			cells_run(cuts[i], seed, &figures);
		g_snprintf(label, sizeof(label), "%d of 8 cut from the platform", cuts[i]);
		print_row(label, &figures, columns, G_N_ELEMENTS(columns));
	}
}

/* ---- what the experiments share ---- */

int main(int argc, char **argv)
{
	static const struct {
		const char *name;
		void (*run)(void);
	} experiments[] = {
		{"cost", experiment_cost},	   {"latency", experiment_latency},
		{"exposure", experiment_exposure}, {"limits", experiment_limits},
		{"cells", experiment_cells},
	};

	for (size_t i = 0; argc > 1 && i < G_N_ELEMENTS(experiments); i++) {
		if (strcmp(experiments[i].name, argv[1]) != 0)
			continue;
		experiments[i].run();
		return 0;
	}
	fprintf(stderr, "usage: experiment cost|latency|exposure|limits|cells\n");
	return 2;
}

static struct world *make_world(uint64_t seed, const struct cw_node_config *node,
				struct driver *driver)
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

static void destroy(struct driver *driver)
{
	g_sequence_free(driver->later);
	g_hash_table_destroy(driver->tries);
	g_rand_free(driver->random);
	world_destroy(driver->world);
}

/* Arrivals are Poisson; callers that were refused come back when they were told to. */
static void drive(struct driver *driver, double per_s, int64_t ms)
{
	int64_t until_ms = world_now(driver->world) + ms;

	driver->next_ms = (double)world_now(driver->world);
	while (world_now(driver->world) < until_ms) {
		GSequenceIter *first = g_sequence_get_begin_iter(driver->later);
		struct later *later = g_sequence_iter_is_end(first) ? NULL : g_sequence_get(first);
		int64_t at_ms = (int64_t)driver->next_ms;

		if (later && later->at_ms <= at_ms) {
			struct cw_request_in in = later->request->in;
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
	struct cw_request_in in;
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

	if (!driver->callers_return || request->end != CW_EFFECT_REFUSE ||
	    !request->retry_after_ms || tries >= RETRIES)
		return;
	later = g_new0(struct later, 1);
	later->at_ms = world_now(world) + request->retry_after_ms;
	later->request = request;
	later->tries = tries + 1;
	g_sequence_insert_sorted(driver->later, later, by_time, NULL);
}

static void publish(struct world *world, const char *const *model_rows, double target)
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
static double capacity_per_s(void)
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

static double percentile(GArray *values, double share)
{
	if (values->len == 0)
		return 0;
	return g_array_index(values, double, MIN((guint)(share * values->len), values->len - 1));
}

static void print_row(const char *label, const struct figures *figures, const char *const *columns,
		      size_t count)
{
	printf("%-38s", label);
	for (size_t i = 0; i < count; i++) {
		double sorted[SEEDS];

		memcpy(sorted, figures->values[i], sizeof(sorted));
		qsort(sorted, SEEDS, sizeof(double), compare);
		printf("  %s %.4g (%.4g to %.4g)", columns[i], sorted[SEEDS / 2], sorted[0],
		       sorted[SEEDS - 1]);
	}
	printf("\n");
	fflush(stdout);
}

static gint compare(gconstpointer a, gconstpointer b)
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
