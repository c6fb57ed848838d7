/*
 * The memory that callers make a process hold, counted in one place: bytes read ahead, requests
 * being parsed, their bodies, unwritten answers, what the kernel may hold unread, and what the
 * users of this package add. Above the limit the connections that hold most give up what was not
 * answered yet, so that the others go on. One quota may serve several listeners.
 */
#ifndef CW_QUOTA_H
#define CW_QUOTA_H

#include <stddef.h>
#include <stdint.h>

struct cw_quota;

/* What connections had to give up, each counted since creation. */
struct cw_quota_counts {
	uint64_t rejected; /* requests that were being read; answered 503 */
	uint64_t dropped;  /* requests read ahead, on connections that close after their answer */
	uint64_t closed;   /* connections whose callers did not read their answers */
	uint64_t evicted;  /* connections without a whole request, for a new one */
	uint64_t refused;  /* new connections, closed at once */
};

struct cw_quota *cw_quota_create(size_t limit_bytes); /* 0: no limit */
void cw_quota_destroy(struct cw_quota *quota);	      /* after its listeners */
size_t cw_quota_held_bytes(const struct cw_quota *quota);
void cw_quota_add(struct cw_quota *quota, size_t bytes); /* held elsewhere for callers */
void cw_quota_remove(struct cw_quota *quota, size_t bytes);
const struct cw_quota_counts *cw_quota_counts(const struct cw_quota *quota);

#endif
