/*
 * experiment NAME: runs several instances of the real cw_node with fake backend servers in virtual
 * time, for several seeds, and prints the median and the range of each result, beside those of the
 * baseline policies. NAME: cost, latency, exposure, limits, cells.
 */
#include "experiment.h"

#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* ---- cost of reaching the quality target ---- */

static void add_models(struct world *world)
{
	static const struct world_profile profiles[] = {
		{.model = "small",
		 .version = "1",
		 .quality_sigma = 0.05,
		 .slowdown = 1,
		 .cost_per_1k = 0.2,
		 .first_ms = 60,
		 .token_ms = 4,
		 .degraded_from_ms = -1,
		 .failure_rate = 0.002,
		 .task_quality = {0.93, 0.80, 0.55, 0.50}},
		{.model = "middle",
		 .version = "1",
		 .quality_sigma = 0.05,
		 .slowdown = 1,
		 .cost_per_1k = 0.7,
		 .first_ms = 120,
		 .token_ms = 8,
		 .degraded_from_ms = -1,
		 .failure_rate = 0.002,
		 .task_quality = {0.95, 0.89, 0.78, 0.74}},
		{.model = "large",
		 .version = "1",
		 .quality_sigma = 0.04,
		 .slowdown = 1,
		 .cost_per_1k = 2.0,
		 .first_ms = 250,
		 .token_ms = 15,
		 .degraded_from_ms = -1,
		 .failure_rate = 0.002,
		 .task_quality = {0.97, 0.95, 0.93, 0.92}},
	};

	for (size_t i = 0; i < G_N_ELEMENTS(profiles); i++) {
		world_profile(world, &profiles[i]);
		world_load_on_all_servers(world, profiles[i].model, "1");
	}
}

static void run_cost(const struct cw_cascade_policy *policy, double target, int stream,
		     uint64_t seed, struct results *results)
{
	static const char *const rows[] = {"small,1,100,0.2", "middle,1,100,0.7", "large,1,100,2.0",
					   NULL};
	struct cw_node_config node;
	struct driver driver = {.target = "auto", .node_skew = -1, .stream = stream};
	const GPtrArray *requests;
	double cost = 0, quality = 0, task_quality[TASKS] = {0};
	int count = 0, task_count[TASKS] = {0};
	double worst_task_quality = 1;

	cw_node_set_defaults(&node);
	node.cascade = policy;
	driver_create_world(seed, &node, &driver);
	add_models(driver.world);
	driver_publish_table(driver.world, rows, target);
	world_advance(driver.world, 2000);
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
		worst_task_quality = MIN(worst_task_quality, task_quality[task] / task_count[task]);
	results->values[0][seed] = cost / count * 1000;
	results->values[1][seed] = quality / count;
	results->values[2][seed] = worst_task_quality;
	results->values[3][seed] = 100.0 * count / requests->len;
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
				struct results results = {0};
				char label[64];

				if (p > 0 && t > 0)
					continue;
				for (uint64_t seed = 0; seed < SEED_COUNT; seed++)
					run_cost(policies[p], targets[t], stream, seed, &results);
				g_snprintf(label, sizeof(label), "%s%s%.2f", policies[p]->name,
					   p ? ", any target " : ", target ", p ? 0.0 : targets[t]);
				driver_print_row(label, &results, columns, G_N_ELEMENTS(columns));
			}
		}
	}
}

/* ---- latency and goodput under load ---- */

static void run_latency(const struct cw_choice_policy *policy, double load, uint64_t seed,
			struct results *results)
{
	static const char *const rows[] = {"m,1,100,1", NULL};
	static const struct world_profile profile = {.model = "m",
						     .version = "1",
						     .quality = 0.9,
						     .slowdown = 1,
						     .cost_per_1k = 1,
						     .first_ms = 150,
						     .token_ms = 4,
						     .degraded_from_ms = -1,
						     .failure_rate = 0.002};
	struct cw_node_config node;
	struct driver driver = {.target = "m", .node_skew = -1, .stream = 1, .callers_retry = 1};
	GArray *first_chunk_ms = g_array_new(FALSE, FALSE, sizeof(double));
	GArray *total_ms = g_array_new(FALSE, FALSE, sizeof(double));
	const GPtrArray *requests;
	double rejected = 0, sent = 0, dispatched = 0, answered = 0;
	double tokens = 0;
	int64_t span_ms;

	cw_node_set_defaults(&node);
	node.choice = policy;
	driver_create_world(seed, &node, &driver);
	world_profile(driver.world, &profile);
	world_load_on_all_servers(driver.world, "m", "1");
	driver_publish_table(driver.world, rows, 0.8);
	world_advance(driver.world, 2000);
	driver.measure_from_ms = world_now(driver.world) + WARM_UP_MS;
	driver_run(&driver, load * driver_capacity_per_s(), 40000);
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
			rejected++;
			continue;
		}
		answered++;
		tokens += request->tokens;
		value = (double)(request->first_ms - request->began_ms);
		g_array_append_val(first_chunk_ms, value);
		value = (double)(request->ended_ms - request->began_ms);
		g_array_append_val(total_ms, value);
	}
	g_array_sort(first_chunk_ms, driver_compare_doubles);
	g_array_sort(total_ms, driver_compare_doubles);
	results->values[0][seed] = driver_percentile(first_chunk_ms, 0.5);
	results->values[1][seed] = driver_percentile(first_chunk_ms, 0.95);
	results->values[2][seed] = driver_percentile(first_chunk_ms, 0.99);
	results->values[3][seed] = driver_percentile(total_ms, 0.5);
	results->values[4][seed] = driver_percentile(total_ms, 0.99);
	results->values[5][seed] =
		100.0 * answered / ((double)span_ms / 1000) / driver_capacity_per_s();
	results->values[6][seed] = 100.0 * rejected / sent;
	results->values[7][seed] = dispatched / MAX(answered, 1);
	g_array_unref(first_chunk_ms);
	g_array_unref(total_ms);
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
		       loads[l] * 100, driver_capacity_per_s() * loads[l]);
		for (size_t p = 0; p < G_N_ELEMENTS(policies); p++) {
			struct results results = {0};

			for (uint64_t seed = 0; seed < SEED_COUNT; seed++)
				run_latency(policies[p], loads[l], seed, &results);
			driver_print_row(policies[p]->name, &results, columns,
					 G_N_ELEMENTS(columns));
		}
	}
}

/* ---- requests sent to a bad version ---- */

enum fault { FAULT_NONE, FAULT_ERRORS, FAULT_LOW_QUALITY, FAULT_SLOWDOWN };

static void run_exposure(const struct cw_health_policy *policy, enum fault fault, const char *share,
			 uint64_t seed, struct results *results)
{
	char new_version_row[64];
	char old_version_row[64];
	const char *const rows[] = {old_version_row, new_version_row, NULL};
	struct world_profile profile = {.model = "m",
					.version = "1",
					.quality = 0.88,
					.quality_sigma = 0.06,
					.slowdown = 1,
					.cost_per_1k = 1,
					.first_ms = 80,
					.token_ms = 2,
					.degraded_from_ms = -1,
					.failure_rate = 0.01,
					.degraded_quality = 0.88,
					.degraded_failure_rate = 0.01,
					.degraded_slowdown = 1};
	struct cw_node_config node;
	struct driver driver = {.target = "m", .node_skew = -1, .stream = 1};
	const GPtrArray *requests;
	int64_t degraded_from_ms;
	double exposed_requests = 0;
	double trips = 0;

	cw_node_set_defaults(&node);
	node.health = policy;
	driver_create_world(seed, &node, &driver);
	g_snprintf(old_version_row, sizeof(old_version_row), "m,1,%g,1",
		   100 - g_ascii_strtod(share, NULL));
	g_snprintf(new_version_row, sizeof(new_version_row), "m,2,%s,1", share);
	world_profile(driver.world, &profile);
	world_load_on_all_servers(driver.world, "m", "1");
	world_load_on_all_servers(driver.world, "m", "2");
	degraded_from_ms = world_now(driver.world) + 2000 + 60000;
	g_strlcpy(profile.version, "2", CW_NAME_MAX);
	profile.degraded_from_ms = fault == FAULT_NONE ? -1 : degraded_from_ms;
	profile.degraded_failure_rate = fault == FAULT_ERRORS ? 1.0 : 0.01;
	profile.degraded_quality = fault == FAULT_LOW_QUALITY ? 0.76 : 0.88;
	profile.degraded_slowdown = fault == FAULT_SLOWDOWN ? 8 : 1;
	world_profile(driver.world, &profile);
	driver_publish_table(driver.world, rows, 0.8);
	world_advance(driver.world, 2000);
	/* A tripped version gets no requests for 20 s: the run ends before the first probes. */
	driver_run(&driver, 60, fault == FAULT_NONE ? 300000 : 60000 + 19000);
	requests = world_requests(driver.world);
	for (guint i = 0; i < requests->len; i++) {
		const struct world_request *request = g_ptr_array_index(requests, i);

		exposed_requests +=
			request->began_ms >= degraded_from_ms && !strcmp(request->version, "2");
	}
	for (guint i = 0; i < world_log(driver.world, CW_STREAM_NOTICES)->len; i++) {
		const struct world_record *record =
			g_ptr_array_index(world_log(driver.world, CW_STREAM_NOTICES), i);

		trips += strstr(record->data, "\"trip\"") != NULL;
	}
	results->values[0][seed] = fault == FAULT_NONE ? 0 : exposed_requests;
	results->values[1][seed] = trips;
	results->values[2][seed] = requests->len;
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
				struct results results = {0};

				for (uint64_t seed = 0; seed < SEED_COUNT; seed++)
					run_exposure(policies[p], fault, shares[s], seed, &results);
				driver_print_row(policies[p]->name, &results, columns,
						 G_N_ELEMENTS(columns));
			}
		}
	}
}

/* ---- request limits shared by the instances ---- */

enum limits_case { LIMITS_EVEN, LIMITS_SKEWED, LIMITS_PARTITION, LIMITS_CRASH, LIMITS_CASE_COUNT };

static void run_limits(enum limits_case limits_case, uint64_t seed, struct results *results)
{
	static const char *const rows[] = {"m,1,100,1", NULL};
	static const struct world_profile profile = {.model = "m",
						     .version = "1",
						     .quality = 0.9,
						     .slowdown = 1,
						     .cost_per_1k = 1,
						     .first_ms = 10,
						     .token_ms = 1,
						     .degraded_from_ms = -1};
	const double limit_per_s = 100;
	struct cw_node_config node;
	struct driver driver = {
		.target = "m", .stream = 0, .node_skew = limits_case == LIMITS_EVEN ? -1 : 0.5};
	const GPtrArray *requests;
	GHashTable *admitted_by_second = g_hash_table_new(NULL, NULL);
	GHashTableIter iter;
	gpointer second, count;
	double overshoot_percent = 0, admitted = 0;
	int64_t from_ms;
	int second_count = 0;

	cw_node_set_defaults(&node);
	driver_create_world(seed, &node, &driver);
	world_profile(driver.world, &profile);
	world_load_on_all_servers(driver.world, "m", "1");
	driver_publish_table(driver.world, rows, 0.8);
	for (int i = 0; i < ORGANISATION_COUNT; i++) {
		char name[8];

		g_snprintf(name, sizeof(name), "o%d", i);
		world_set_cell(driver.world, name, "m", "1", "requests_per_s", i ? "1000" : "100");
	}
	world_advance(driver.world, 4000);
	/* The largest organisation sends 0.3 of 500 requests per second: 150, with a limit of 100.
	 */
	driver_run(&driver, 500, 10000);
	from_ms = world_now(driver.world);
	if (limits_case == LIMITS_PARTITION)
		world_set_domain_partition(driver.world, 1, 1);
	if (limits_case == LIMITS_CRASH)
		world_crash(driver.world, 1);
	driver_run(&driver, 500, 20000);
	requests = world_requests(driver.world);
	for (guint i = 0; i < requests->len; i++) {
		const struct world_request *request = g_ptr_array_index(requests, i);
		gpointer key = GINT_TO_POINTER((int)((request->began_ms - from_ms) / 1000) + 1);

		if (request->began_ms < from_ms || request->user_data != driver.random ||
		    !request->dispatched)
			continue;
		g_hash_table_insert(
			admitted_by_second, key,
			GINT_TO_POINTER(
				GPOINTER_TO_INT(g_hash_table_lookup(admitted_by_second, key)) + 1));
	}
	g_hash_table_iter_init(&iter, admitted_by_second);
	while (g_hash_table_iter_next(&iter, &second, &count)) {
		admitted += GPOINTER_TO_INT(count);
		second_count++;
	}
	/* Overshoot of the whole run: a token bucket may allow one second's burst, but no more. */
	overshoot_percent =
		MAX(0, admitted - limit_per_s * second_count) / (limit_per_s * second_count) * 100;
	results->values[0][seed] = overshoot_percent;
	results->values[1][seed] =
		MAX(0, limit_per_s * second_count - admitted) / (limit_per_s * second_count) * 100;
	results->values[2][seed] = admitted / second_count;
	g_hash_table_destroy(admitted_by_second);
	driver_destroy(&driver);
}

static void experiment_limits(void)
{
	static const char *const columns[] = {"overshoot % over 20 s", "waste %",
					      "admitted/s of 100, 150 asked"};
	static const char *const labels[] = {"calm, even", "half of the requests on one of 8",
					     "skewed, a failure domain cut off",
					     "skewed, an instance dead"};

	printf("\n## limits: 100 requests/s of one organisation over 8 instances\n");
	for (int limits_case = 0; limits_case < LIMITS_CASE_COUNT; limits_case++) {
		struct results results = {0};

		for (uint64_t seed = 0; seed < SEED_COUNT; seed++)
			run_limits(limits_case, seed, &results);
		driver_print_row(labels[limits_case], &results, columns, G_N_ELEMENTS(columns));
	}
}

/* ---- delay of a changed table cell ---- */

static void run_cells(int partitioned_count, uint64_t seed, struct results *results)
{
	static const char *const rows[] = {"m,1,100,1", NULL};
	struct cw_node_config node;
	struct driver driver = {.target = "m"};
	GArray *apply_times_ms = g_array_new(FALSE, FALSE, sizeof(double));

	cw_node_set_defaults(&node);
	driver_create_world(seed, &node, &driver);
	driver_publish_table(driver.world, rows, 0.8);
	world_advance(driver.world, 3000);
	for (int i = 0; i < partitioned_count; i++)
		world_set_store_partition(driver.world, i, 1);
	world_advance(driver.world, 10000);
	for (int edit = 0; edit < 200; edit++) {
		int64_t began_ms = world_now(driver.world);
		uint64_t offset;
		double took_ms;
		int applied_count = 0;

		world_set_cell(driver.world, "o0", "m", "1", "weight", edit % 2 ? "50" : "60");
		offset = world_log(driver.world, CW_STREAM_TABLE)->len;
		while (applied_count < NODE_COUNT && world_now(driver.world) - began_ms < 30000) {
			world_advance(driver.world, 5);
			applied_count = 0;
			for (int i = 0; i < NODE_COUNT; i++)
				applied_count +=
					cw_table_offset(cw_node_table(
						world_node(driver.world, i)->node)) >= offset;
		}
		took_ms = (double)(world_now(driver.world) - began_ms);
		g_array_append_val(apply_times_ms, took_ms);
		world_advance(driver.world, 100 + (int64_t)(world_random(driver.world) * 400));
	}
	g_array_sort(apply_times_ms, driver_compare_doubles);
	results->values[0][seed] = driver_percentile(apply_times_ms, 0.5);
	results->values[1][seed] = driver_percentile(apply_times_ms, 0.99);
	results->values[2][seed] = driver_percentile(apply_times_ms, 1);
	g_array_unref(apply_times_ms);
	driver_destroy(&driver);
}

static void experiment_cells(void)
{
	static const char *const columns[] = {"ms 50", "ms 99", "ms max"};
	static const int partitioned_counts[] = {0, 4, 7};

	printf("\n## a changed cell: ms until in force on all 8 instances (200 edits a seed)\n");
	for (size_t i = 0; i < G_N_ELEMENTS(partitioned_counts); i++) {
		struct results results = {0};
		char label[64];

		for (uint64_t seed = 0; seed < SEED_COUNT; seed++)
			run_cells(partitioned_counts[i], seed, &results);
		g_snprintf(label, sizeof(label), "%d of 8 cut from the platform",
			   partitioned_counts[i]);
		driver_print_row(label, &results, columns, G_N_ELEMENTS(columns));
	}
}

/* ---- selection by name ---- */

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
