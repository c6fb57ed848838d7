/* Fuzz target of several cooperating nodes: the input is a schedule of operations and faults, and
 * the oracle checks every guarantee while the schedule runs. */
#include "oracle.h"

#include <stdio.h>
#include <stdlib.h>

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	const char *violation = schedule_run(data, size);

	if (violation) {
		fprintf(stderr, "promise broken: %s\n", violation);
		abort();
	}
	return 0;
}
