/* libFuzzer's entry: make fuzz. */
#include "users_input.h"

int LLVMFuzzerTestOneInput(const uint8_t *bytes, size_t size);

int LLVMFuzzerTestOneInput(const uint8_t *bytes, size_t size)
{
	users_input(bytes, size);
	return 0;
}
