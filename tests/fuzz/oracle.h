/*
 * The oracle of the stateful fuzzer: it knows the promises and the fakes, none of the node's code.
 * schedule_run plays one schedule of events and returns the promise that broke, NULL when all held.
 */
#ifndef ORACLE_H
#define ORACLE_H

#include <stddef.h>
#include <stdint.h>

const char *schedule_run(const uint8_t *data, size_t size); /* the text lives until the next call */
uint64_t schedule_requests(void);			    /* sent by all schedules so far */

#endif
