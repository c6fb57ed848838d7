/* The fuzz target of several nodes: libFuzzer writes the schedule, the oracle judges it. */
#include "oracle.h"

#include <stdio.h>
#include <stdlib.h>

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	const char *broken = schedule_run(data, size);

	if (broken) {
		fprintf(stderr, "promise broken: %s\n", broken);
		abort();
	}
	return 0;
}
