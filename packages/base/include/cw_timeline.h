/* Timeline: one key=value line per event, kept in a bounded buffer and written to the log. */
#ifndef CW_TIMELINE_H
#define CW_TIMELINE_H

#include <stddef.h>
#include <stdint.h>

void cw_timeline_open(const char *instance,
		      const char *level); /* level: debug, info, warning or error */
void cw_timeline_set_capacity(
	size_t lines); /* for cw_timeline_read_after; default CW_TIMELINE_LINES_MAX */
void cw_timeline_start_writer(int fd); /* a thread writes the log to fd, without blocking callers */
void cw_timeline_flush(void);	       /* passes the collected lines to the writer thread */
void cw_timeline_close(void);	       /* ends the writer thread, frees the buffer */
void cw_event(const char *module, const char *event, const char *format, ...)
	__attribute__((format(printf, 3, 4))); /* format: "key=value key=value" */
void cw_warn(const char *module, const char *event, const char *format, ...)
	__attribute__((format(printf, 3, 4)));
char *cw_timeline_read_after(uint64_t after); /* JSON lines with seq > after; g_free */

#endif
