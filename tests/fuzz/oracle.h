/*
 * Oracle of the stateful fuzzer. It knows the guarantees that the router gives and what the
 * simulation observed, but nothing of the node's implementation. schedule_run executes one schedule
 * of operations and returns a text about the first guarantee that was violated, or NULL.
 */
#ifndef ORACLE_H
#define ORACLE_H

#include <stddef.h>
#include <stdint.h>

const char *schedule_run(const uint8_t *data, size_t size); /* valid until the next call */
uint64_t schedule_request_count(void); /* requests sent in all schedules so far */

#endif
