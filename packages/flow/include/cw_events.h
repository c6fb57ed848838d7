/*
 * Splits a stream of server-sent events into complete events. A server may stop in the middle of an
 * event; only complete events are forwarded, so another server can resume after the last one.
 */
#ifndef CW_EVENTS_H
#define CW_EVENTS_H

#include <stddef.h>
#include <stdint.h>

#define CW_EVENT_MAX (1024 * 1024) /* bytes of one event; longer input is malformed */

struct cw_events;

struct cw_events *cw_events_create(void);
void cw_events_destroy(struct cw_events *events);
void cw_events_clear(struct cw_events *events); /* before another server resumes the stream */
int cw_events_feed(struct cw_events *events, const char *data, size_t size); /* 0: event too long */
int cw_events_next(struct cw_events *events, const char **event, size_t *size,
		   int64_t *id); /* 0: no complete event; id -1: absent or invalid */
size_t
cw_events_count_pending_bytes(const struct cw_events *events); /* bytes of the incomplete event */

#endif
