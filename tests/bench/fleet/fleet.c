/*
 * Simulates a fleet of instances at several sizes, prints the costs of each size and their growth,
 * and fails if a cost exceeds its bound. --json appends the same figures to a file for programs.
 */
#include "fleet.h"

#include <argtable2.h>
#include <glib.h>
#include <math.h>
#include <stdio.h>
#include <stdlib.h>

#define SIZES_MAX	     8
#define SERVERS_PER_INSTANCE 10
#define READY_MAX_MS	     8000 /* from the start until all instances can serve */
#define CHANGE_MAX_MS	     5000 /* from a configuration change until all instances have it */
#define READERS_MAX	     4	  /* at one moment: two, and two more while readers change */
/* Calls to the shared store that are allowed: the sum of these three parts. */
#define STORE_CALLS_PER_INSTANCE 0.5
#define STORE_CALLS_BASE	 100   /* for the readers and seeds, at any size */
#define STORE_CALLS_PER_READER_S 4.0   /* per reader and second of the whole run */
#define UNKNOWN_SHARE_MAX	 0.01  /* of all instances, unknown to one at the end */
#define GOSSIP_BYTES_PER_S_MAX	 21000 /* sent per instance */

static const char *const scenario_names[] = {
	[FLEET_FIRST_START] = "start",
	[FLEET_RESTART] = "restart",
	[FLEET_READER_CRASH] = "readers",
};

static const char *scenario_name(enum fleet_scenario scenario)
{
	return (size_t)scenario < G_N_ELEMENTS(scenario_names) ? scenario_names[scenario] : "-";
}

static int exceeds_bound(const char *quantity, double value, double bound)
{
	if (value <= bound)
		return 0;
	printf("  over its bound: %s %.1f, %.1f allowed\n", quantity, value, bound);
	return 1;
}

static int count_exceeded_bounds(const struct fleet_options *options,
				 const struct fleet_report *report)
{
	double seconds = (double)options->duration_ms / 1000;
	double max_store_calls = STORE_CALLS_BASE +
				 STORE_CALLS_PER_INSTANCE * (double)options->instance_count +
				 STORE_CALLS_PER_READER_S * READERS_MAX * seconds;
	double ready_ms = report->ready_ms[2] < 0 ? INFINITY : (double)report->ready_ms[2];
	double change_ms = report->change_ms[2] < 0 ? INFINITY : (double)report->change_ms[2];
	int exceeded = 0;

	exceeded += exceeds_bound("time until all can serve, ms", ready_ms, READY_MAX_MS);
	exceeded += exceeds_bound("time of a change to all, ms", change_ms, CHANGE_MAX_MS);
	exceeded +=
		exceeds_bound("calls of the store", (double)report->store_calls, max_store_calls);
	exceeded += exceeds_bound("instances that read for all", (double)report->max_readers,
				  READERS_MAX);
	exceeded += exceeds_bound("bytes of messages a second", report->bytes_per_s,
				  GOSSIP_BYTES_PER_S_MAX);
	exceeded += exceeds_bound("members that one doesn't know",
				  (double)(options->instance_count - report->min_members),
				  UNKNOWN_SHARE_MAX * (double)options->instance_count);
	return exceeded;
}

static void print_report(const struct fleet_options *options, const struct fleet_report *report)
{
	printf("%-8s %5zu instances %6zu servers: ready %ld %ld %ld ms, change %ld %ld %ld ms, "
	       "calls %zu (%zu failed, %.1f MB), readers %zu, messages %.0f/s %.1f kB/s, fetches "
	       "%.1f (%.1f declined)\n",
	       scenario_name(options->scenario), options->instance_count, options->server_count,
	       (long)report->ready_ms[0], (long)report->ready_ms[1], (long)report->ready_ms[2],
	       (long)report->change_ms[0], (long)report->change_ms[1], (long)report->change_ms[2],
	       report->store_calls, report->store_calls_failed, report->store_mb,
	       report->max_readers, report->messages_per_s, report->bytes_per_s / 1000,
	       report->fetches, report->fetches_declined);
	fflush(stdout);
}

static void write_json(FILE *file, const struct fleet_options *options,
		       const struct fleet_report *report)
{
	fprintf(file,
		"{\"scenario\":\"%s\",\"instances\":%zu,\"servers\":%zu,\"seed\":%u,"
		"\"ready_ms\":[%ld,%ld,%ld],\"change_ms\":[%ld,%ld,%ld],\"store_calls\":%zu,"
		"\"calls_failed\":%zu,\"store_mb\":%.2f,\"readers\":%zu,\"messages\":%.1f,"
		"\"bytes\":%.0f,\"fetches\":%.2f,\"declined\":%.2f}\n",
		scenario_name(options->scenario), options->instance_count, options->server_count,
		options->seed, (long)report->ready_ms[0], (long)report->ready_ms[1],
		(long)report->ready_ms[2], (long)report->change_ms[0], (long)report->change_ms[1],
		(long)report->change_ms[2], report->store_calls, report->store_calls_failed,
		report->store_mb, report->max_readers, report->messages_per_s, report->bytes_per_s,
		report->fetches, report->fetches_declined);
}

/* The exponent k of a cost that grows as size^k, from its values at both ends of the sizes. */
static void print_growth_exponent(const char *quantity, double first, double last,
				  double size_ratio)
{
	if (first > 0 && last > 0)
		printf("  grows as size to the power %.2f: %s\n",
		       log(last / first) / log(size_ratio), quantity);
}

static int find_scenario(const char *name)
{
	for (size_t i = 0; i < G_N_ELEMENTS(scenario_names); i++)
		if (!g_strcmp0(scenario_names[i], name))
			return (int)i;
	return -1;
}

/* Growth between the first and the last size, which should be the smallest and the largest. */
static void print_growth(const struct fleet_report *first, const struct fleet_report *last,
			 double size_ratio)
{
	print_growth_exponent("time until all can serve", (double)first->ready_ms[2],
			      (double)last->ready_ms[2], size_ratio);
	print_growth_exponent("time of a change to all", (double)first->change_ms[2],
			      (double)last->change_ms[2], size_ratio);
	print_growth_exponent("calls of the store", (double)first->store_calls,
			      (double)last->store_calls, size_ratio);
	print_growth_exponent("bytes of messages, an instance", first->bytes_per_s,
			      last->bytes_per_s, size_ratio);
}

/* Returns the exit code: 0, 1 if a cost exceeds its bound, 2 if the file can't be written. */
static int simulate_sizes(struct fleet_options *options, const int *sizes, size_t count,
			  const char *json_path)
{
	struct fleet_report reports[SIZES_MAX] = {0};
	FILE *file = NULL;
	int exceeded = 0;

	if (json_path && !(file = fopen(json_path, "a"))) {
		fprintf(stderr, "%s: can't be written\n", json_path);
		return 2;
	}
	for (size_t i = 0; i < count; i++) {
		options->instance_count = (size_t)MAX(sizes[i], 1);
		options->server_count = options->instance_count * SERVERS_PER_INSTANCE;
		fleet_simulate(options, &reports[i]);
		print_report(options, &reports[i]);
		exceeded += count_exceeded_bounds(options, &reports[i]);
		if (file)
			write_json(file, options, &reports[i]);
	}
	if (count > 1)
		print_growth(&reports[0], &reports[count - 1],
			     (double)sizes[count - 1] / MAX(sizes[0], 1));
	if (file)
		fclose(file);
	return exceeded ? EXIT_FAILURE : EXIT_SUCCESS;
}

int main(int argc, char **argv)
{
	struct arg_int *sizes = arg_intn("n", "instances", "N", 1, SIZES_MAX, "sizes, small first");
	struct arg_str *scenario =
		arg_str1("s", "scenario", "NAME", "start, restart or readers (that end)");
	struct arg_int *seed = arg_int0(NULL, "seed", "N", "of the random numbers (1)");
	struct arg_int *lost = arg_int0(NULL, "lost", "N", "messages lost of a thousand (0)");
	struct arg_file *json = arg_file0(NULL, "json", "FILE", "a line for each size is added");
	struct arg_lit *help = arg_lit0("h", "help", "prints this");
	struct arg_end *end = arg_end(10);
	void *table[] = {sizes, scenario, seed, lost, json, help, end};
	int errors = arg_parse(argc, argv, table);
	int code = 2;

	if (help->count > 0 || errors > 0 || find_scenario(scenario->sval[0]) < 0) {
		arg_print_errors(stderr, end, argv[0]);
		arg_print_syntax(stderr, table, "\n");
		arg_print_glossary(stderr, table, "  %-22s %s\n");
		code = help->count > 0 ? EXIT_SUCCESS : code;
	} else {
		struct fleet_options options = {0};

		fleet_set_defaults(&options);
		options.scenario = (enum fleet_scenario)find_scenario(scenario->sval[0]);
		options.seed = seed->count > 0 ? (uint32_t)seed->ival[0] : options.seed;
		options.lost_per_mille = lost->count > 0 ? lost->ival[0] : 0;
		code = simulate_sizes(&options, sizes->ival, (size_t)sizes->count,
				      json->count > 0 ? json->filename[0] : NULL);
	}
	arg_freetable(table, G_N_ELEMENTS(table));
	return code;
}
