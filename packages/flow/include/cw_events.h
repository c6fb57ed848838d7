/*
 * Splits a stream of server-sent events into whole events. A server may stop in the middle of one;
 * only whole events are passed on, so another server can go on after the last one.
 */
#ifndef CW_EVENTS_H
#define CW_EVENTS_H

#include <stddef.h>
#include <stdint.h>

#define CW_EVENT_MAX (1024 * 1024) /* bytes of one event; a longer one is no event */

struct cw_events;

struct cw_events *cw_events_create(void);
void cw_events_destroy(struct cw_events *events);
void cw_events_clear(struct cw_events *events); /* another server goes on */
int cw_events_feed(struct cw_events *events, const char *data, size_t size); /* 0: too long */
int cw_events_next(struct cw_events *events, const char **event, size_t *size,
		   int64_t *id);		       /* 0: no whole one; id -1: it has none */
size_t cw_events_left(const struct cw_events *events); /* bytes of an event that isn't whole */

#endif
