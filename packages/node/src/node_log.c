/* The log of the platform: reads its streams continuously and in order. */
#include "node_internal.h"

#include <string.h>

#define LONG_POLL_MS	2000 /* a read at the end of a stream waits this long for records */
#define READ_TIMEOUT_MS 5000 /* a stream whose read takes longer counts as unreachable */
#define BACKOFF_MIN_MS	50
#define BACKOFF_MAX_MS	1000

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
	      int wait_ms)
{
	struct cw_effect *effect = node_add_effect(node, CW_EFFECT_READ, 0);

	effect->read.stream = stream;
	effect->read.ticket = ticket;
	effect->read.from = from;
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
	reader->oldest_offset = MAX(reader->oldest_offset, records->first);
	for (size_t i = 0; i < records->count; i++)
		apply_record(node, reader, &records->list[i]);
	if (records->count == 0 && !reader->is_caught_up) {
		reader->is_caught_up = 1;
		node_log_event(node, "log", "caught_up", "stream=%s next=%" G_GUINT64_FORMAT,
			       cw_stream_name(reader->stream), reader->next_offset);
	}
	if (reader->stream == CW_STREAM_CLAIMS && records->count > 0)
		claims_notify_requests(node);
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
		reader->read_ticket = node_new_ticket(node);
		reader->read_sent_ms = node->now_ms;
		log_read(node, reader->stream, reader->read_ticket, reader->next_offset,
			 reader->is_caught_up ? LONG_POLL_MS : 0);
	}
	table_tick(node);
}

/* A stream is up if it was read to its end once and the last read was answered recently. A platform
 * that does not answer is noticed after the timeout of the read. */
int log_is_up(const struct cw_node *node, enum cw_stream stream)
{
	const struct log_reader *reader = &node->log_readers[stream];

	return reader->is_caught_up && reader->backoff_ms == 0 && reader->last_success_ms >= 0 &&
	       node->now_ms - reader->last_success_ms <= LONG_POLL_MS + READ_TIMEOUT_MS;
}

static void reader_handle_failure(struct cw_node *node, struct log_reader *reader)
{
	reader->read_ticket = 0;
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
	if (first <= reader->next_offset) {
		reader_handle_failure(node, reader);
		return;
	}
	node_log_event(node, "log", "expired",
		       "stream=%s next=%" G_GUINT64_FORMAT " first=%" G_GUINT64_FORMAT,
		       cw_stream_name(reader->stream), reader->next_offset, first);
	reader->next_offset = first;
	reader->oldest_offset = first;
	if (reader->stream == CW_STREAM_TABLE)
		reader->needs_snapshot = 1;
	if (reader->stream == CW_STREAM_CLAIMS)
		cw_claims_start_at(node->claims, first);
}

static void apply_record(struct cw_node *node, struct log_reader *reader,
			 const struct cw_log_record *record)
{
	uint64_t floor = cw_claims_floor(node->claims);

	if (reader->stream == CW_STREAM_TABLE)
		table_track_snapshot_age(node, record);
	if (reader->stream == CW_STREAM_CLAIMS && !node->checkpoint_wall_ms)
		node->checkpoint_wall_ms = record->time_ms;
	if (record->offset != reader->next_offset)
		return;
	reader->next_offset = record->offset + 1;
	switch (reader->stream) {
	case CW_STREAM_TABLE:
		if (reader->needs_snapshot)
			table_load_snapshot(node, record->data);
		else
			table_apply_record(node, record);
		break;
	case CW_STREAM_CLAIMS:
		cw_claims_apply_record(node->claims, record->offset, record->time_ms, record->data,
				       NULL);
		if (cw_claims_floor(node->claims) > floor)
			node->checkpoint_wall_ms = record->time_ms;
		break;
	default:
		rollout_apply_notice(node, record->offset, record->time_ms, record->data);
		break;
	}
}
