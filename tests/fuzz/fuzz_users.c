/* libFuzzer's entry point for the routing decisions and decoders; built and run by make fuzz. */
#include "users_input.h"

int LLVMFuzzerTestOneInput(const uint8_t *bytes, size_t size);

int LLVMFuzzerTestOneInput(const uint8_t *bytes, size_t size)
{
	users_run_input(bytes, size);
	return 0;
}
