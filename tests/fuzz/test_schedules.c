/*
 * test_schedules [SEED COUNT | FILE]: checks schedules with the oracle of the fuzzer. Without
 * arguments the saved corpus runs, then random schedules from a fixed seed. SEED COUNT is for
 * longer runs and for checking that the oracle detects a defect put into the code; FILE runs a
 * single schedule. With SAVE=FILE in the environment a schedule that violates a guarantee is
 * written to that file; TRACE=1 prints the operations and events.
 */
#include "oracle.h"

#include <glib.h>
#include <stdio.h>
#include <stdlib.h>

#define SCHEDULE_BYTES 121

static int run_corpus(const char *corpus);
static int run_file(const char *path);
static int run_random(guint32 seed, unsigned int count);

int main(int argc, char **argv)
{
	guint32 seed = argc > 1 ? (guint32)strtoul(argv[1], NULL, 10) : 1;
	unsigned int count = argc > 2 ? (unsigned int)strtoul(argv[2], NULL, 10) : 150;

	if (argc == 2 && g_file_test(argv[1], G_FILE_TEST_EXISTS))
		return run_file(argv[1]);
	if (run_corpus(CW_CORPUS) || run_random(seed, count))
		return 1;
	return 0;
}

static int run_corpus(const char *corpus)
{
	GDir *dir = g_dir_open(corpus, 0, NULL);
	const char *name;
	int failed = 0;

	while (dir && !failed && (name = g_dir_read_name(dir))) {
		char *path = g_build_filename(corpus, name, NULL);

		failed = run_file(path);
		g_free(path);
	}
	if (dir)
		g_dir_close(dir);
	return failed;
}

static int run_file(const char *path)
{
	const char *violation;
	char *data;
	gsize size;

	if (!g_file_get_contents(path, &data, &size, NULL))
		return 1;
	violation = schedule_run((const uint8_t *)data, size);
	if (violation)
		printf("%s: %s\n", path, violation);
	g_free(data);
	return violation != NULL;
}

static int run_random(guint32 seed, unsigned int count)
{
	GRand *random = g_rand_new_with_seed(seed);
	int failed = 0;

	for (unsigned int i = 0; i < count && !failed; i++) {
		uint8_t data[SCHEDULE_BYTES];
		const char *violation;

		for (size_t j = 0; j < sizeof(data); j++)
			data[j] = (uint8_t)g_rand_int_range(random, 0, 256);
		violation = schedule_run(data, sizeof(data));
		if (!violation)
			continue;
		printf("schedule %u of seed %u: %s\n", i + 1, seed, violation);
		if (g_getenv("SAVE"))
			g_file_set_contents(g_getenv("SAVE"), (const char *)data, sizeof(data),
					    NULL);
		failed = 1;
	}
	if (!failed)
		printf("%u schedules of seed %u, %lu requests: every promise held\n", count, seed,
		       (unsigned long)schedule_request_count());
	g_rand_free(random);
	return failed;
}
