#include "cw_events.h"

#include <glib.h>
#include <string.h>

struct cw_events {
	GString *bytes;
	size_t start;	/* offset of the event being read */
	size_t scanned; /* offset up to which the end of the event was searched for */
};

static int64_t read_id(const char *event, size_t size);

struct cw_events *cw_events_create(void)
{
	struct cw_events *events = g_new0(struct cw_events, 1);

	events->bytes = g_string_sized_new(512);
	return events;
}

void cw_events_destroy(struct cw_events *events)
{
	if (!events)
		return;
	g_string_free(events->bytes, TRUE);
	g_free(events);
}

void cw_events_clear(struct cw_events *events)
{
	g_string_truncate(events->bytes, 0);
	events->start = 0;
	events->scanned = 0;
}

int cw_events_feed(struct cw_events *events, const char *data, size_t size)
{
	if (events->start > 0) {
		g_string_erase(events->bytes, 0, (gssize)events->start);
		events->scanned -= events->start;
		events->start = 0;
	}
	g_string_append_len(events->bytes, data, (gssize)size);
	return events->bytes->len <= CW_EVENT_MAX;
}

/* An empty line ends an event, after LF or CR LF. */
int cw_events_next(struct cw_events *events, const char **event, size_t *size, int64_t *id)
{
	const char *text = events->bytes->str;

	for (size_t i = events->scanned; i < events->bytes->len; i++) {
		size_t length = i + 1 - events->start;
		const char *from = text + events->start;

		if (text[i] != '\n')
			continue;
		if (!(length >= 2 && from[length - 2] == '\n') &&
		    !(length >= 4 && !memcmp(from + length - 4, "\r\n\r\n", 4)))
			continue;
		*event = from;
		*size = length;
		*id = read_id(from, length);
		events->start = i + 1;
		events->scanned = i + 1;
		return 1;
	}
	events->scanned = events->bytes->len;
	return 0;
}

size_t cw_events_count_pending_bytes(const struct cw_events *events)
{
	return events->bytes->len - events->start;
}

static int64_t read_id(const char *event, size_t size)
{
	const char *line = event;
	const char *end = event + size;

	while (line < end) {
		const char *next = memchr(line, '\n', (size_t)(end - line));

		if (end - line > 3 && !strncmp(line, "id:", 3)) {
			char *id_end;
			int64_t id = g_ascii_strtoll(line + 3, &id_end, 10);

			return id_end > line + 3 && id >= 0 ? id : -1;
		}
		line = next ? next + 1 : end;
	}
	return -1;
}
