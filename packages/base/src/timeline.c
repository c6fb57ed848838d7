#include "cw_timeline.h"
#include "cw_config.h"

#include <glib.h>
#include <pthread.h>
#include <stdarg.h>
#include <stdio.h>
#include <string.h>

#define LINE_MAX_BYTES 640

struct timeline {
	pthread_mutex_t mutex;
	char instance[CW_NAME_MAX];
	int level; /* 0 debug .. 3 error */
	uint64_t next;
	char *lines[CW_EVENT_LINES];
};

static struct timeline timeline = {.mutex = PTHREAD_MUTEX_INITIALIZER, .level = 1, .next = 1};

static void record_event(int level, const char *module, const char *event, const char *detail);
static void append_json(GString *text, uint64_t seq, const char *line);
static GLogWriterOutput write_line(GLogLevelFlags level, const GLogField *fields, gsize count,
				   gpointer unused);

void cw_timeline_open(const char *instance, const char *level)
{
	static const char *const levels[] = {"debug", "info", "warning", "error"};

	g_strlcpy(timeline.instance, instance, sizeof(timeline.instance));
	for (int i = 0; i < 4; i++)
		if (!strcmp(level, levels[i]))
			timeline.level = i;
	g_log_set_writer_func(write_line, NULL, NULL);
}

void cw_timeline_close(void)
{
	pthread_mutex_lock(&timeline.mutex);
	for (size_t i = 0; i < CW_EVENT_LINES; i++)
		g_clear_pointer(&timeline.lines[i], g_free);
	pthread_mutex_unlock(&timeline.mutex);
}

void cw_event(const char *module, const char *event, const char *format, ...)
{
	char detail[LINE_MAX_BYTES];
	va_list args;

	va_start(args, format);
	vsnprintf(detail, sizeof(detail), format, args);
	va_end(args);
	record_event(1, module, event, detail);
}

void cw_warn(const char *module, const char *event, const char *format, ...)
{
	char detail[LINE_MAX_BYTES];
	va_list args;

	va_start(args, format);
	vsnprintf(detail, sizeof(detail), format, args);
	va_end(args);
	record_event(2, module, event, detail);
}

char *cw_timeline_after(uint64_t after)
{
	GString *text = g_string_new(NULL);
	uint64_t first;

	pthread_mutex_lock(&timeline.mutex);
	first = timeline.next > CW_EVENT_LINES ? timeline.next - CW_EVENT_LINES : 1;
	if (after + 1 > first)
		first = after + 1;
	for (uint64_t seq = first; seq < timeline.next; seq++)
		append_json(text, seq, timeline.lines[seq % CW_EVENT_LINES]);
	pthread_mutex_unlock(&timeline.mutex);
	return g_string_free(text, FALSE);
}

static void record_event(int level, const char *module, const char *event, const char *detail)
{
	int64_t now_us = g_get_real_time();
	char *line =
		g_strdup_printf("time=%" G_GINT64_FORMAT ".%06d instance=%s module=%s event=%s%s%s",
				now_us / 1000000, (int)(now_us % 1000000), timeline.instance,
				module, event, *detail ? " " : "", detail);

	if (level >= timeline.level && *timeline.instance)
		g_log_structured("corianderwalk",
				 level > 1 ? G_LOG_LEVEL_WARNING : G_LOG_LEVEL_INFO, "MESSAGE",
				 "%s", line);
	pthread_mutex_lock(&timeline.mutex);
	g_free(timeline.lines[timeline.next % CW_EVENT_LINES]);
	timeline.lines[timeline.next % CW_EVENT_LINES] = line;
	timeline.next++;
	pthread_mutex_unlock(&timeline.mutex);
}

/* Values hold no quotes or control characters: cw_event's callers pass names, ids and numbers. */
static void append_json(GString *text, uint64_t seq, const char *line)
{
	char *escaped = g_strescape(line, NULL);

	g_string_append_printf(text, "{\"seq\":%" G_GUINT64_FORMAT ",\"line\":\"%s\"}\n", seq,
			       escaped);
	g_free(escaped);
}

static GLogWriterOutput write_line(GLogLevelFlags level, const GLogField *fields, gsize count,
				   gpointer unused)
{
	for (gsize i = 0; i < count; i++)
		if (!strcmp(fields[i].key, "MESSAGE"))
			fprintf(stderr, "%s\n", (const char *)fields[i].value);
	return G_LOG_WRITER_HANDLED;
}
