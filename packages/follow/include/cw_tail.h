/*
 * The newest records of the server list, kept for peers that have missed some: they get these
 * instead of a snapshot of the list. Sans-I/O.
 */
#ifndef CW_TAIL_H
#define CW_TAIL_H

#include "cw_follow.h"

#define CW_TAIL_CHANGES 4096 /* kept; a peer that has missed more gets a snapshot */

struct cw_tail;

struct cw_tail *cw_tail_create(void);
void cw_tail_destroy(struct cw_tail *tail);
void cw_tail_add(struct cw_tail *tail,
		 const struct cw_change *change); /* a gap drops the records before it */
void cw_tail_clear(struct cw_tail *tail);	  /* offsets start anew */
size_t cw_tail_since(const struct cw_tail *tail, uint64_t from, struct cw_change *changes,
		     size_t max); /* all records from that offset on, in order; 0: some are not
				     kept, or more than max */

#endif
