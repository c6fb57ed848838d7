/* The time line: one key=value line for each event, kept in a bounded buffer and sent to the log.
 */
#ifndef CW_TIMELINE_H
#define CW_TIMELINE_H

#include <stddef.h>
#include <stdint.h>

void cw_timeline_open(const char *instance,
		      const char *level); /* level: debug, info, warning or error */
void cw_timeline_keep(size_t lines);	  /* kept for cw_timeline_after; CW_EVENT_LINES at first */
void cw_timeline_writer(int fd); /* lines go there by a thread of their own, never waited for */
void cw_timeline_flush(void);	 /* hands what was collected to the writer */
void cw_timeline_close(void);	 /* frees the buffer */
void cw_event(const char *module, const char *event, const char *format, ...)
	__attribute__((format(printf, 3, 4))); /* format gives "key=value key=value" */
void cw_warn(const char *module, const char *event, const char *format, ...)
	__attribute__((format(printf, 3, 4)));
char *cw_timeline_after(uint64_t after); /* JSON lines with seq > after; g_free */

#endif
