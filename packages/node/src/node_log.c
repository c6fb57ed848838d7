/*
 * The log of the platform: reads its streams continuously and in order, and notices when a stream
 * was restored from an older copy.
 */
#include "node_internal.h"

#include <string.h>

#define LONG_POLL_MS	  1000 /* a read at the end of a stream waits this long for records */
#define READ_TIMEOUT_MS	  5000 /* a stream whose read takes longer counts as unreachable */
#define BACKOFF_MIN_MS	  50
#define BACKOFF_MAX_MS	  1000
#define RETRY_SOON_MS	  200	/* between two reads of a failing stream that requests wait for */
#define ANSWER_MS	  1000	/* a read that fails later, its wait aside, got no answer */
#define CURRENT_MS	  1500	/* a stream that was read longer ago may have new records */
#define CHECK_BYTES_PER_S 65536 /* for reading the last record again, which may be a snapshot */
#define MARK_MS		  1000	/* between two marks, on the clock of the log */

static void reader_send(struct cw_node *node, struct log_reader *reader);
static void reader_handle_check(struct cw_node *node, struct log_reader *reader,
				const struct cw_read_result *records);
static const char *find_difference(const struct log_reader *reader,
				   const struct cw_read_result *records);
static int is_first(const struct cw_read_result *records, const struct cw_record_id *id);
static const struct cw_record_id *search_mark(const struct log_reader *reader);
static void reader_handle_search(struct cw_node *node, struct log_reader *reader,
				 const struct cw_read_result *records);
static void reader_resume(struct cw_node *node, struct log_reader *reader,
			  const struct cw_record_id *last);
static void reader_advance(struct log_reader *reader, const struct cw_log_record *record);
static void reader_handle_failure(struct cw_node *node, struct log_reader *reader);
static void reader_handle_expiry(struct cw_node *node, struct log_reader *reader, uint64_t first);
static void apply_record(struct cw_node *node, struct log_reader *reader,
			 const struct cw_log_record *record);

void log_open(struct cw_node *node)
{
	for (int stream = 0; stream < CW_STREAM_BILLS; stream++) {
		node->log_readers[stream].stream = stream;
		node->log_readers[stream].next_offset = 1;
		node->log_readers[stream].last_success_ms = -1;
	}
}

void log_read(struct cw_node *node, enum cw_stream stream, uint64_t ticket, uint64_t from,
	      size_t max, int wait_ms)
{
	struct cw_effect *effect = node_add_effect(node, CW_EFFECT_READ, 0);

	effect->read.stream = stream;
	effect->read.ticket = ticket;
	effect->read.from = from;
	effect->read.max = max;
	effect->read.wait_ms = wait_ms;
}

uint64_t log_append(struct cw_node *node, enum cw_stream stream, char *data)
{
	struct cw_effect *effect = node_add_effect(node, CW_EFFECT_APPEND, 0);

	effect->append.stream = stream;
	effect->append.ticket = node_new_ticket(node);
	effect->append.data = data;
	return effect->append.ticket;
}

void log_handle_records(struct cw_node *node, const struct cw_read_result *records)
{
	struct log_reader *reader;

	if (records->stream == CW_STREAM_BILLS) {
		bills_handle_records(node, records);
		return;
	}
	reader = &node->log_readers[records->stream];
	/* The answer to an abandoned read: its records are read again. */
	if (records->ticket != reader->read_ticket)
		return;
	reader->read_ticket = 0;
	if (records->status == CW_EXPIRED) {
		reader_handle_expiry(node, reader, records->first);
		return;
	}
	if (records->status != CW_OK) {
		reader_handle_failure(node, reader);
		return;
	}
	reader->last_success_ms = node->now_ms;
	reader->backoff_ms = 0;
	reader->is_silent = 0;
	reader->oldest_offset = MAX(reader->oldest_offset, records->first);
	switch (reader->step) {
	case READER_CHECK:
		reader_handle_check(node, reader, records);
		break;
	case READER_WAIT:
		if (records->count > 0 || node->now_ms >= reader->check_due_ms)
			reader->step = READER_CHECK;
		break;
	case READER_SEARCH:
		reader_handle_search(node, reader, records);
		break;
	}
}

void log_handle_append(struct cw_node *node, const struct cw_append_result *appended)
{
	table_handle_append(node, appended);
	claims_handle_append(node, appended);
	bills_handle_append(node, appended);
	rollout_handle_append(node, appended);
	quarantine_handle_append(node, appended);
}

void log_tick(struct cw_node *node)
{
	for (int stream = 0; stream < CW_STREAM_BILLS; stream++) {
		struct log_reader *reader = &node->log_readers[stream];

		if (reader->read_ticket && node->now_ms - reader->read_sent_ms > READ_TIMEOUT_MS)
			reader_handle_failure(node, reader);
		if (reader->read_ticket || node->now_ms < reader->next_read_ms)
			continue;
		reader_send(node, reader);
	}
	table_tick(node);
}

void log_report_loss(struct cw_node *node, enum cw_stream stream, uint64_t next_offset,
		     const char *difference)
{
	node_log_event(node, "log", "shortened", "stream=%s next=%" G_GUINT64_FORMAT " last=%s",
		       cw_stream_name(stream), next_offset, difference);
	node_count(node, "log_shortened_total", 1, "stream=\"%s\"", cw_stream_name(stream));
}

/* A stream is up if it was read to its end once and the last read was answered recently. A platform
 * that does not answer is noticed after the timeout of the read. */
int log_is_up(const struct cw_node *node, enum cw_stream stream)
{
	return node->log_readers[stream].is_caught_up && log_is_answered(node, stream);
}

int log_is_answered(const struct cw_node *node, enum cw_stream stream)
{
	const struct log_reader *reader = &node->log_readers[stream];

	return reader->backoff_ms == 0 && reader->last_success_ms >= 0 &&
	       node->now_ms - reader->last_success_ms <= LONG_POLL_MS + READ_TIMEOUT_MS;
}

/* The platform may be back since the last read failed, long before the next one is due. */
void log_read_soon(struct cw_node *node, enum cw_stream stream)
{
	struct log_reader *reader = &node->log_readers[stream];

	if (reader->backoff_ms)
		reader->next_read_ms = MIN(reader->next_read_ms, reader->failed_ms + RETRY_SOON_MS);
}

int log_is_current(const struct cw_node *node, enum cw_stream stream)
{
	return log_is_up(node, stream) &&
	       node->now_ms - node->log_readers[stream].last_success_ms <= CURRENT_MS;
}

static void reader_send(struct cw_node *node, struct log_reader *reader)
{
	uint64_t from = reader->next_offset;
	int wait_ms = 0;
	size_t max = 0;

	if (reader->step == READER_SEARCH) {
		from = search_mark(reader)->offset;
		max = 1;
	} else if (reader->step == READER_WAIT) {
		wait_ms = LONG_POLL_MS;
	} else if (reader->last.offset) {
		from = reader->last.offset;
	}
	reader->read_ticket = node_new_ticket(node);
	reader->read_sent_ms = node->now_ms;
	log_read(node, reader->stream, reader->read_ticket, from, max, wait_ms);
}

static void reader_handle_check(struct cw_node *node, struct log_reader *reader,
				const struct cw_read_result *records)
{
	size_t known = reader->last.offset ? 1 : 0;
	const char *difference = known ? find_difference(reader, records) : NULL;

	if (difference) {
		log_report_loss(node, reader->stream, reader->next_offset, difference);
		reader->search_back = 1;
		reader->step = READER_SEARCH;
		if (!search_mark(reader))
			reader_resume(node, reader, NULL);
		return;
	}
	reader->check_due_ms =
		node->now_ms + (int64_t)(reader->last_bytes * 1000 / CHECK_BYTES_PER_S);
	for (size_t i = known; i < records->count; i++)
		apply_record(node, reader, &records->list[i]);
	if (records->count > known) {
		if (reader->stream == CW_STREAM_CLAIMS)
			claims_notify_requests(node);
		/* The next long poll is answered at once where more records follow. */
		if (reader->is_caught_up)
			reader->step = READER_WAIT;
		return;
	}
	reader->step = READER_WAIT;
	if (reader->is_caught_up)
		return;
	reader->is_caught_up = 1;
	if (reader->stream == CW_STREAM_TABLE)
		table_finish_replay(node);
	node_log_event(node, "log", "caught_up", "stream=%s next=%" G_GUINT64_FORMAT,
		       cw_stream_name(reader->stream), reader->next_offset);
}

/* NULL: the answer begins with the record that was applied last. */
static const char *find_difference(const struct log_reader *reader,
				   const struct cw_read_result *records)
{
	if (records->count == 0)
		return "missing";
	return is_first(records, &reader->last) ? NULL : "replaced";
}

static int is_first(const struct cw_read_result *records, const struct cw_record_id *id)
{
	const struct cw_log_record *first = records->list;
	struct cw_record_id found;

	if (records->count == 0)
		return 0;
	found = cw_record_id_create(first->offset, first->time_ms, first->data);
	return cw_record_id_is_equal(&found, id);
}

/* NULL: no mark is left to compare. */
static const struct cw_record_id *search_mark(const struct log_reader *reader)
{
	if (reader->search_back > MIN(reader->mark_count, READER_MARKS))
		return NULL;
	return &reader->marks[(reader->mark_count - reader->search_back) % READER_MARKS];
}

/* Goes back in steps that double, so that a loss of many records takes few reads. */
static void reader_handle_search(struct cw_node *node, struct log_reader *reader,
				 const struct cw_read_result *records)
{
	const struct cw_record_id *mark = search_mark(reader);

	if (records->status == CW_OK && is_first(records, mark)) {
		reader_resume(node, reader, mark);
		return;
	}
	reader->search_back *= 2;
	if (!search_mark(reader))
		reader_resume(node, reader, NULL);
}

/* Continues after a record that the log still holds; NULL: from its first record. */
static void reader_resume(struct cw_node *node, struct log_reader *reader,
			  const struct cw_record_id *last)
{
	reader->mark_count = last ? reader->mark_count - reader->search_back + 1 : 0;
	reader->last = last ? *last : (struct cw_record_id){0};
	reader->next_offset = reader->last.offset + 1;
	reader->is_caught_up = 0;
	reader->step = READER_CHECK;
	node_log_event(node, "log", "resumed", "stream=%s next=%" G_GUINT64_FORMAT,
		       cw_stream_name(reader->stream), reader->next_offset);
	switch (reader->stream) {
	case CW_STREAM_TABLE:
		table_rewind(node);
		break;
	case CW_STREAM_CLAIMS:
		claims_rewind(node, reader->next_offset);
		break;
	default:
		rollout_rewind(node);
		quarantine_rewind(node);
		break;
	}
}

static void reader_advance(struct log_reader *reader, const struct cw_log_record *record)
{
	const struct cw_record_id *newest =
		&reader->marks[(reader->mark_count + READER_MARKS - 1) % READER_MARKS];

	reader->next_offset = record->offset + 1;
	reader->last = cw_record_id_create(record->offset, record->time_ms, record->data);
	reader->last_bytes = strlen(record->data);
	if (reader->stream != CW_STREAM_CLAIMS ||
	    (reader->mark_count && record->time_ms - newest->time_ms < MARK_MS))
		return;
	reader->marks[reader->mark_count++ % READER_MARKS] = reader->last;
}

static void reader_handle_failure(struct cw_node *node, struct log_reader *reader)
{
	int64_t wait_ms = reader->step == READER_WAIT ? LONG_POLL_MS : 0;

	reader->is_silent = node->now_ms - reader->read_sent_ms > wait_ms + ANSWER_MS;
	reader->failed_ms = node->now_ms;
	reader->failures++;
	reader->read_ticket = 0;
	if (reader->step == READER_WAIT)
		reader->step = READER_CHECK;
	if (reader->backoff_ms == 0)
		node_log_event(node, "log", "unreachable", "stream=%s",
			       cw_stream_name(reader->stream));
	reader->backoff_ms =
		reader->backoff_ms ? MIN(reader->backoff_ms * 2, BACKOFF_MAX_MS) : BACKOFF_MIN_MS;
	reader->next_read_ms = node->now_ms + reader->backoff_ms / 2 +
			       (int64_t)(node_random(node) % (uint64_t)reader->backoff_ms);
}

/* Records that this instance has not read were deleted from the log: the table needs a snapshot,
 * the claims a later floor. */
static void reader_handle_expiry(struct cw_node *node, struct log_reader *reader, uint64_t first)
{
	reader->last_success_ms = node->now_ms;
	if (reader->step == READER_SEARCH) {
		reader_resume(node, reader, NULL);
		return;
	}
	reader->step = READER_CHECK;
	if (first > reader->last.offset && first == reader->next_offset && reader->last.offset) {
		reader->last = (struct cw_record_id){0};
		return;
	}
	if (first <= reader->next_offset) {
		reader_handle_failure(node, reader);
		return;
	}
	node_log_event(node, "log", "expired",
		       "stream=%s next=%" G_GUINT64_FORMAT " first=%" G_GUINT64_FORMAT,
		       cw_stream_name(reader->stream), reader->next_offset, first);
	reader->last = (struct cw_record_id){0};
	reader->next_offset = first;
	reader->oldest_offset = first;
	if (reader->stream == CW_STREAM_TABLE)
		table_expect_snapshot(node, first);
	if (reader->stream == CW_STREAM_CLAIMS) {
		cw_claims_start_at(node->claims, first);
		claims_note_read(node, 0, first - 1);
	}
}

static void apply_record(struct cw_node *node, struct log_reader *reader,
			 const struct cw_log_record *record)
{
	uint64_t floor = cw_claims_floor(node->claims);

	if (reader->stream == CW_STREAM_CLAIMS && !node->checkpoint_wall_ms)
		node->checkpoint_wall_ms = record->time_ms;
	if (record->offset != reader->next_offset)
		return;
	reader_advance(reader, record);
	switch (reader->stream) {
	case CW_STREAM_TABLE:
		table_read_record(node, record);
		break;
	case CW_STREAM_CLAIMS:
		cw_claims_apply_record(node->claims, record->offset, record->time_ms, record->data,
				       NULL);
		if (cw_claims_floor(node->claims) > floor)
			node->checkpoint_wall_ms = record->time_ms;
		claims_note_read(node, record->offset, record->offset);
		break;
	default:
		rollout_apply_notice(node, record->offset, record->time_ms, record->data);
		break;
	}
}
