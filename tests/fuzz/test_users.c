/* Random inputs for the fuzz target of the routing decisions and decoders, without libFuzzer: a
 * fixed number from a fixed seed, so that make check can run them. Arguments: SEED COUNT. */
#include "users_input.h"

#include <glib.h>
#include <stdio.h>
#include <stdlib.h>

#define SEED	    20
#define INPUTS	    60000
#define INPUT_BYTES 200

int main(int argc, char **argv)
{
	GRand *random = g_rand_new_with_seed(argc > 1 ? (guint32)strtoul(argv[1], NULL, 10) : SEED);
	long count = argc > 2 ? strtol(argv[2], NULL, 10) : INPUTS;
	uint8_t bytes[INPUT_BYTES];

	for (long i = 0; i < count; i++) {
		int size = g_rand_int_range(random, 2, INPUT_BYTES);

		for (int j = 0; j < size; j++)
			bytes[j] = (uint8_t)g_rand_int_range(random, 0, 256);
		users_run_input(bytes, (size_t)size);
	}
	g_rand_free(random);
	printf("%ld inputs kept every promise\n", count);
	return 0;
}
