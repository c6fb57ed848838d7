#include "cw_timeline.h"
#include "cw_config.h"
#include "cw_counters.h"
#include "cw_ring.h"

#include <glib.h>
#include <pthread.h>
#include <stdarg.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#define DETAIL_MAX_BYTES   640
#define BATCH_BYTES	   (32 * 1024) /* lines collected until the writer is woken without a flush */
#define MAX_QUEUED_BATCHES 8 /* queued for a slow reader of the log; further ones are dropped */

struct timeline {
	pthread_mutex_t mutex;
	char instance[CW_NAME_MAX];
	int level; /* 0: debug .. 3: error */
	uint64_t next_seq;
	size_t capacity;
	char *lines[CW_TIMELINE_LINES_MAX];
	int fd;
	GString *batch; /* NULL: lines are written directly */
	struct cw_ring *batches;
	pthread_t writer;
};

static struct timeline timeline = {.mutex = PTHREAD_MUTEX_INITIALIZER,
				   .level = 1,
				   .next_seq = 1,
				   .capacity = CW_TIMELINE_LINES_MAX};

static void record_event(int level, const char *module, const char *event, const char *detail);
static void append_json(GString *text, uint64_t seq, const char *line);
static void add_to_batch(const char *line);
static void enqueue_batch(void);
static void *write_batches(void *unused);
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

void cw_timeline_set_capacity(size_t lines)
{
	timeline.capacity = MIN(lines, CW_TIMELINE_LINES_MAX);
}

/*
 * Writing lines directly would block all requests if the reader of the log stalls. A thread writes
 * the lines in batches instead. If the thread falls behind, batches are dropped and counted.
 */
void cw_timeline_start_writer(int fd)
{
	timeline.fd = fd;
	timeline.batch = g_string_sized_new(BATCH_BYTES);
	timeline.batches = cw_ring_create(MAX_QUEUED_BATCHES);
	pthread_create(&timeline.writer, NULL, write_batches, NULL);
}

void cw_timeline_flush(void)
{
	if (!timeline.batch)
		return;
	pthread_mutex_lock(&timeline.mutex);
	enqueue_batch();
	pthread_mutex_unlock(&timeline.mutex);
}

void cw_timeline_close(void)
{
	if (timeline.batch) {
		cw_timeline_flush();
		cw_ring_close(timeline.batches);
		pthread_join(timeline.writer, NULL);
		cw_ring_destroy(timeline.batches);
		g_string_free(timeline.batch, TRUE);
		timeline.batch = NULL;
	}
	pthread_mutex_lock(&timeline.mutex);
	for (size_t i = 0; i < CW_TIMELINE_LINES_MAX; i++)
		g_clear_pointer(&timeline.lines[i], g_free);
	pthread_mutex_unlock(&timeline.mutex);
}

void cw_event(const char *module, const char *event, const char *format, ...)
{
	char detail[DETAIL_MAX_BYTES];
	va_list args;

	va_start(args, format);
	vsnprintf(detail, sizeof(detail), format, args);
	va_end(args);
	record_event(1, module, event, detail);
}

void cw_warn(const char *module, const char *event, const char *format, ...)
{
	char detail[DETAIL_MAX_BYTES];
	va_list args;

	va_start(args, format);
	vsnprintf(detail, sizeof(detail), format, args);
	va_end(args);
	record_event(2, module, event, detail);
}

char *cw_timeline_read_after(uint64_t after)
{
	GString *text = g_string_new(NULL);
	uint64_t first;

	pthread_mutex_lock(&timeline.mutex);
	first = timeline.next_seq > timeline.capacity ? timeline.next_seq - timeline.capacity : 1;
	if (after + 1 > first)
		first = after + 1;
	for (uint64_t seq = first; seq < timeline.next_seq; seq++)
		append_json(text, seq, timeline.lines[seq % CW_TIMELINE_LINES_MAX]);
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
	if (timeline.capacity == 0) {
		pthread_mutex_unlock(&timeline.mutex);
		g_free(line);
		return;
	}
	g_free(timeline.lines[timeline.next_seq % CW_TIMELINE_LINES_MAX]);
	timeline.lines[timeline.next_seq % CW_TIMELINE_LINES_MAX] = line;
	timeline.next_seq++;
	pthread_mutex_unlock(&timeline.mutex);
}

/* Values contain no quotes or control characters: callers pass names, ids and numbers. */
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
			add_to_batch(fields[i].value);
	return G_LOG_WRITER_HANDLED;
}

static void add_to_batch(const char *line)
{
	if (!timeline.batch) {
		fprintf(stderr, "%s\n", line);
		return;
	}
	pthread_mutex_lock(&timeline.mutex);
	g_string_append(timeline.batch, line);
	g_string_append_c(timeline.batch, '\n');
	if (timeline.batch->len >= BATCH_BYTES)
		enqueue_batch();
	pthread_mutex_unlock(&timeline.mutex);
}

/* Called with the mutex held. */
static void enqueue_batch(void)
{
	GString *batch = timeline.batch;

	if (batch->len == 0)
		return;
	if (cw_ring_push(timeline.batches, batch, 0) == CW_OK) {
		timeline.batch = g_string_sized_new(BATCH_BYTES);
		return;
	}
	cw_counter_add("log_bytes_dropped", "", batch->len);
	g_string_truncate(batch, 0);
}

static void *write_batches(void *unused)
{
	GString *batch;

	while ((batch = cw_ring_pop(timeline.batches, -1))) {
		size_t done = 0;

		while (done < batch->len) {
			ssize_t written = write(timeline.fd, batch->str + done, batch->len - done);

			if (written <= 0)
				break;
			done += (size_t)written;
		}
		if (done < batch->len)
			cw_counter_add("log_bytes_dropped", "", batch->len - done);
		g_string_free(batch, TRUE);
	}
	return NULL;
}
