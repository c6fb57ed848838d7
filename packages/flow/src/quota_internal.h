/* The quota, as the connections that it counts see it. */
#ifndef QUOTA_INTERNAL_H
#define QUOTA_INTERNAL_H

#include "cw_quota.h"

#include <sys/queue.h>

struct cw_caller;

struct cw_quota {
	size_t limit_bytes; /* 0: none */
	size_t held_bytes;
	struct cw_quota_counts counts;
	TAILQ_HEAD(, cw_caller) callers;
};

void quota_join(struct cw_caller *caller);
void quota_leave(struct cw_caller *caller);
void quota_update(struct cw_caller *caller); /* counts anew what it holds */
void quota_enforce(struct cw_quota *quota);  /* may end any caller: not within its callbacks */

#endif
