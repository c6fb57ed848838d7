/* Fuzz target of the entry's routing decisions and decoders; aborts on a violated guarantee. */
#ifndef USERS_INPUT_H
#define USERS_INPUT_H

#include <stddef.h>
#include <stdint.h>

void users_run_input(const uint8_t *bytes, size_t size);

#endif
