/*
 * experiment NAME: drives the real decisions of several instances with fake backend servers in
 * virtual time, for several seeds, and prints median and range beside the baselines.
 * NAME: cost, latency, exposure, limits, cells.
 */
#include "experiment.h"

#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

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

	cw_node_set_defaults(&node);
	node.cascade = policy;
	driver_world(seed, &node, &driver);
	add_models(driver.world);
	driver_publish(driver.world, rows, target);
	world_run(driver.world, 2000);
	driver_run(&driver, 20, 400000);
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
	driver_destroy(&driver);
}

static void experiment_cost(void)
{
	static const char *const columns[] = {"cost/1k requests", "mean quality",
					      "worst task's mean", "answered %"};
	static const struct cw_cascade_policy *const policies[] = {
		&cw_cascade_learned, &cw_cascade_always_costliest, &cw_cascade_always_cheapest};
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
				driver_print(label, &figures, columns, G_N_ELEMENTS(columns));
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

	cw_node_set_defaults(&node);
	node.choice = policy;
	driver_world(seed, &node, &driver);
	world_profile(driver.world, &profile);
	world_load_everywhere(driver.world, "m", "1");
	driver_publish(driver.world, rows, 0.8);
	world_run(driver.world, 2000);
	driver.measure_from_ms = world_now(driver.world) + WARM_MS;
	driver_run(&driver, load * capacity_per_s(), 40000);
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
		if (request->end == CW_EFFECT_REJECT) {
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
	g_array_sort(first, driver_compare);
	g_array_sort(total, driver_compare);
	figures->values[0][seed] = driver_percentile(first, 0.5);
	figures->values[1][seed] = driver_percentile(first, 0.95);
	figures->values[2][seed] = driver_percentile(first, 0.99);
	figures->values[3][seed] = driver_percentile(total, 0.5);
	figures->values[4][seed] = driver_percentile(total, 0.99);
	figures->values[5][seed] = 100.0 * answered / ((double)span_ms / 1000) / capacity_per_s();
	figures->values[6][seed] = 100.0 * refused / sent;
	figures->values[7][seed] = dispatched / MAX(answered, 1);
	g_array_unref(first);
	g_array_unref(total);
	driver_destroy(&driver);
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
			driver_print(policies[p]->name, &figures, columns, G_N_ELEMENTS(columns));
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

	cw_node_set_defaults(&node);
	node.health = policy;
	driver_world(seed, &node, &driver);
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
	driver_publish(driver.world, rows, 0.8);
	world_run(driver.world, 2000);
	/* The hold after a trip is 20 s: what is measured ends before a tripped version is probed.
	 */
	driver_run(&driver, 60, fault == FAULT_NONE ? 300000 : 60000 + 19000);
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
	driver_destroy(&driver);
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
				driver_print(policies[p]->name, &figures, columns,
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

	cw_node_set_defaults(&node);
	driver_world(seed, &node, &driver);
	world_profile(driver.world, &profile);
	world_load_everywhere(driver.world, "m", "1");
	driver_publish(driver.world, rows, 0.8);
	for (int i = 0; i < ORGANISATIONS; i++) {
		char name[8];

		g_snprintf(name, sizeof(name), "o%d", i);
		world_set(driver.world, name, "m", "1", "requests_per_s", i ? "1000" : "100");
	}
	world_run(driver.world, 4000);
	/* The largest organisation asks for 0.3 of it: 150 a second against a limit of 100. */
	driver_run(&driver, 500, 10000);
	from_ms = world_now(driver.world);
	if (which == LIMITS_PARTITION)
		world_cut(driver.world, 1, 1);
	if (which == LIMITS_DEATH)
		world_crash(driver.world, 1);
	driver_run(&driver, 500, 20000);
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
	driver_destroy(&driver);
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
		driver_print(names[which], &figures, columns, G_N_ELEMENTS(columns));
	}
}

/* ---- changed cells ---- */

static void cells_run(int cut_nodes, uint64_t seed, struct figures *figures)
{
	static const char *const rows[] = {"m,1,100,1", NULL};
	struct cw_node_config node;
	struct driver driver = {.target = "m"};
	GArray *times = g_array_new(FALSE, FALSE, sizeof(double));

	cw_node_set_defaults(&node);
	driver_world(seed, &node, &driver);
	driver_publish(driver.world, rows, 0.8);
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
	g_array_sort(times, driver_compare);
	figures->values[0][seed] = driver_percentile(times, 0.5);
	figures->values[1][seed] = driver_percentile(times, 0.99);
	figures->values[2][seed] = driver_percentile(times, 1);
	g_array_unref(times);
	driver_destroy(&driver);
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
		driver_print(label, &figures, columns, G_N_ELEMENTS(columns));
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
