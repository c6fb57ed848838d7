/*
 * Requests that end the backend servers that run them. Sans-I/O.
 */
#ifndef CW_QUARANTINE_H
#define CW_QUARANTINE_H

#include <stdint.h>

/*
 * What makes two requests the same one: the path with its query, who asks, the body (its cw_hash).
 * Ids, other header fields, the instance, the model tried and the attempt say nothing.
 */
uint64_t cw_quarantine_fingerprint(const char *path, const char *organisation, uint64_t body);

#endif
