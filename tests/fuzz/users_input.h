/* One input for the decisions and decoders of the platform's face; aborts where a promise breaks.
 */
#ifndef USERS_INPUT_H
#define USERS_INPUT_H

#include <stddef.h>
#include <stdint.h>

void users_input(const uint8_t *bytes, size_t size);

#endif
