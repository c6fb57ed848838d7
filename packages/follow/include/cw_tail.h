/*
 * The newest records of the servers' list, kept for peers that have missed some: they get these
 * instead of the whole list. Sans-I/O.
 */
#ifndef CW_TAIL_H
#define CW_TAIL_H

#include "cw_follow.h"

#define CW_TAIL_CHANGES 4096 /* kept; who has missed more gets the whole list */

struct cw_tail;

struct cw_tail *cw_tail_create(void);
void cw_tail_destroy(struct cw_tail *tail);
void cw_tail_add(struct cw_tail *tail,
		 const struct cw_change *change); /* after a gap those before it are dropped */
size_t cw_tail_since(const struct cw_tail *tail, uint64_t from, struct cw_change *changes,
		     size_t max); /* all from that offset on, in order; 0: not all are kept, or they
				     are too many */

#endif
