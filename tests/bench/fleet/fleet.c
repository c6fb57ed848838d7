/*
 * Plays the model of a fleet at several sizes, prints what each size costs and how it grows, and
 * fails where a bound is passed. --json writes the same for a plot or another program.
 */
#include "fleet.h"

#include <argtable2.h>
#include <glib.h>
#include <math.h>
#include <stdio.h>
#include <stdlib.h>

#define SIZES_MAX    8
#define SERVERS_EACH 10	   /* of an instance */
#define READY_MS     8000  /* from the start of all to the last that can serve */
#define CHANGE_MS    5000  /* from a change to the last that has it */
#define READERS	     4	   /* that read for all at one moment: two, and two as they change */
#define CALLS_EACH   0.5   /* calls of the store for one instance, */
#define CALLS_FEW    100   /* beside those of the readers and seeds */
#define CALLS_READER 4.0   /* a second */
#define UNKNOWN_PART 0.01  /* of the instances, that one doesn't know at the end */
#define BYTES	     21000 /* of messages, a second and instance */

static const char *const scenarios[] = {
	[FLEET_START] = "start",
	[FLEET_RESTART] = "restart",
	[FLEET_READERS] = "readers",
};

static const char *name_of(enum fleet_scenario scenario)
{
	return (size_t)scenario < G_N_ELEMENTS(scenarios) ? scenarios[scenario] : "-";
}

static int fails(const char *what, double value, double bound)
{
	if (value <= bound)
		return 0;
	printf("  over its bound: %s %.1f, %.1f allowed\n", what, value, bound);
	return 1;
}

static int check(const struct fleet_options *options, const struct fleet_report *report)
{
	double seconds = (double)options->end_ms / 1000;
	double calls = CALLS_FEW + CALLS_EACH * (double)options->instances +
		       CALLS_READER * READERS * seconds;
	double ready_ms = report->ready_ms[2] < 0 ? INFINITY : (double)report->ready_ms[2];
	double change_ms = report->change_ms[2] < 0 ? INFINITY : (double)report->change_ms[2];
	int failures = 0;

	failures += fails("time until all can serve, ms", ready_ms, READY_MS);
	failures += fails("time of a change to all, ms", change_ms, CHANGE_MS);
	failures += fails("calls of the store", (double)report->store_calls, calls);
	failures += fails("instances that read for all", (double)report->readers_most, READERS);
	failures += fails("bytes of messages a second", report->bytes, BYTES);
	failures += fails("members that one doesn't know",
			  (double)(options->instances - report->members_least),
			  UNKNOWN_PART * (double)options->instances);
	return failures;
}

static void print_report(const struct fleet_options *options, const struct fleet_report *report)
{
	printf("%-8s %5zu instances %6zu servers: ready %ld %ld %ld ms, change %ld %ld %ld ms, "
	       "calls %zu (%zu failed, %.1f MB), readers %zu, messages %.0f/s %.1f kB/s, fetches "
	       "%.1f (%.1f declined)\n",
	       name_of(options->scenario), options->instances, options->servers,
	       (long)report->ready_ms[0], (long)report->ready_ms[1], (long)report->ready_ms[2],
	       (long)report->change_ms[0], (long)report->change_ms[1], (long)report->change_ms[2],
	       report->store_calls, report->calls_failed, report->store_mb, report->readers_most,
	       report->messages, report->bytes / 1000, report->fetches, report->declined);
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
		name_of(options->scenario), options->instances, options->servers, options->seed,
		(long)report->ready_ms[0], (long)report->ready_ms[1], (long)report->ready_ms[2],
		(long)report->change_ms[0], (long)report->change_ms[1], (long)report->change_ms[2],
		report->store_calls, report->calls_failed, report->store_mb, report->readers_most,
		report->messages, report->bytes, report->fetches, report->declined);
}

/* How a cost grows with the size: its power over the sizes at both ends. */
static void print_power(const char *what, double first, double last, double sizes)
{
	if (first > 0 && last > 0)
		printf("  grows as size to the power %.2f: %s\n", log(last / first) / log(sizes),
		       what);
}

static int find_scenario(const char *name)
{
	for (size_t i = 0; i < G_N_ELEMENTS(scenarios); i++)
		if (!g_strcmp0(scenarios[i], name))
			return (int)i;
	return -1;
}

/* The growth between the smallest and the largest size. */
static void print_growth(const struct fleet_report *first, const struct fleet_report *last,
			 double factor)
{
	print_power("time until all can serve", (double)first->ready_ms[2],
		    (double)last->ready_ms[2], factor);
	print_power("time of a change to all", (double)first->change_ms[2],
		    (double)last->change_ms[2], factor);
	print_power("calls of the store", (double)first->store_calls, (double)last->store_calls,
		    factor);
	print_power("bytes of messages, an instance", first->bytes, last->bytes, factor);
}

/* The exit code: 0, 1 where a bound is passed, 2 where the file can't be written. */
static int play_sizes(struct fleet_options *options, const int *sizes, size_t count,
		      const char *json)
{
	struct fleet_report reports[SIZES_MAX] = {0};
	FILE *file = NULL;
	int failures = 0;

	if (json && !(file = fopen(json, "a"))) {
		fprintf(stderr, "%s: can't be written\n", json);
		return 2;
	}
	for (size_t i = 0; i < count; i++) {
		options->instances = (size_t)MAX(sizes[i], 1);
		options->servers = options->instances * SERVERS_EACH;
		fleet_play(options, &reports[i]);
		print_report(options, &reports[i]);
		failures += check(options, &reports[i]);
		if (file)
			write_json(file, options, &reports[i]);
	}
	if (count > 1)
		print_growth(&reports[0], &reports[count - 1],
			     (double)sizes[count - 1] / MAX(sizes[0], 1));
	if (file)
		fclose(file);
	return failures ? EXIT_FAILURE : EXIT_SUCCESS;
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

		fleet_defaults(&options);
		options.scenario = (enum fleet_scenario)find_scenario(scenario->sval[0]);
		options.seed = seed->count > 0 ? (uint32_t)seed->ival[0] : options.seed;
		options.lost_per_mille = lost->count > 0 ? lost->ival[0] : 0;
		code = play_sizes(&options, sizes->ival, (size_t)sizes->count,
				  json->count > 0 ? json->filename[0] : NULL);
	}
	arg_freetable(table, G_N_ELEMENTS(table));
	return code;
}
