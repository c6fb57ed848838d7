/* A bounded, blocking ring of pointers between threads. */
#ifndef CW_RING_H
#define CW_RING_H

#include "cw_status.h"

#include <stddef.h>

struct cw_ring;

struct cw_ring *cw_ring_create(size_t capacity); /* never NULL */
void cw_ring_destroy(struct cw_ring *ring);	 /* does not free items left in the ring */
enum cw_status cw_ring_push(struct cw_ring *ring, void *item,
			    int wait_ms);	      /* CW_FULL, CW_CLOSED; -1: no timeout */
void *cw_ring_pop(struct cw_ring *ring, int wait_ms); /* NULL: timeout, or closed and empty */
void cw_ring_close(
	struct cw_ring *ring); /* wakes all waiting threads; the items can still be popped */
int cw_ring_is_drained(struct cw_ring *ring);	      /* closed and empty */
int cw_ring_is_closed_for_push(struct cw_ring *ring); /* closed, empty or not */
size_t cw_ring_length(struct cw_ring *ring);

#endif
