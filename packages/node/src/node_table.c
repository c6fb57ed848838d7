/*
 * The table of this instance: applies the records of its stream in order, whether the log or a peer
 * brought them, and writes snapshots before the records they cover expire.
 */
#include "node_internal.h"

#include <string.h>

#define SNAPSHOT_RANK_DELAY_MS	  500	/* added delay for each rank among the live instances */
#define SNAPSHOT_MAX_TAIL_RECORDS 2000	/* records after the newest snapshot */
#define SNAPSHOT_REBASED_DELAY_MS 1000	/* an instance that misses no record comes first */
#define SNAPSHOT_BEHIND_DELAY_MS  30000 /* added for an instance that misses expired records */

static struct cw_table *read_table(struct cw_node *node);
static void apply_record(struct cw_node *node, const struct cw_log_record *record);
static void drop_rebased(struct cw_node *node);
static void apply_rebased(struct cw_node *node, const struct cw_log_record *record);
static void load_snapshot(struct cw_node *node, const char *snapshot);
static void replace_table(struct cw_node *node, struct cw_table *table);
static void clear_changed_health(struct cw_node *node, const struct cw_table *table);
static void abandon_replay(struct cw_node *node);
static int peers_records_follow(struct cw_node *node, const struct peer_record *records,
				size_t count);
static void sync_table_reader(struct cw_node *node);
static void apply_drains(struct cw_node *node);
static void store_table_record(struct cw_node *node, const struct cw_log_record *from);
static void drop_table_records(struct cw_node *node);
static void handle_table_change(struct cw_node *node, uint64_t offset);
static void track_snapshot_age(struct cw_node *node, const struct cw_log_record *record);
static void track_snapshot(struct cw_node *node, const struct cw_log_record *record);
static void schedule_snapshot(struct cw_node *node);
static int64_t choose_snapshot_delay(struct cw_node *node);
static int is_snapshot_due(const struct cw_node *node);
static int is_rebased_due(const struct cw_node *node);
static void append_unlogged(struct cw_node *node);

void table_close(struct cw_node *node)
{
	drop_table_records(node);
	drop_rebased(node);
	cw_table_destroy(node->replayed_table);
}

/* A restored log may hold no table, while the former one is in force. */
int table_is_known(const struct cw_node *node)
{
	return cw_table_offset(node->table) > 0 || cw_table_count_unlogged(node->table) > 0;
}

/* The present table stays in force until the log was read to its end. */
void table_rewind(struct cw_node *node)
{
	drop_rebased(node);
	cw_table_destroy(node->replayed_table);
	node->replayed_table = cw_table_create();
	node->log_readers[CW_STREAM_TABLE].needs_snapshot = 0;
	node->table_snapshot_covered = 0;
	node->table_snapshot_record_offset = 0;
	node->table_snapshot_wall_ms = 0;
}

/*
 * A restored log may have lost its only snapshot after the records that this one covered expired.
 * The own table, continued with the records that are left, is then the next snapshot. It is in
 * force here, too, only as read from the log: of several snapshots the first one counts for all.
 */
void table_expect_snapshot(struct cw_node *node, uint64_t first)
{
	drop_rebased(node);
	node->log_readers[CW_STREAM_TABLE].needs_snapshot = 1;
	if (table_is_known(node))
		node->rebased_table = cw_table_rebase(node->table, first - 1);
}

void table_read_record(struct cw_node *node, const struct cw_log_record *record)
{
	track_snapshot_age(node, record);
	if (!node->log_readers[CW_STREAM_TABLE].needs_snapshot) {
		apply_record(node, record);
		return;
	}
	apply_rebased(node, record);
	load_snapshot(node, record->data);
}

void table_finish_replay(struct cw_node *node)
{
	struct cw_table *table = node->replayed_table;

	if (!table || node->log_readers[CW_STREAM_TABLE].needs_snapshot)
		return;
	node->replayed_table = NULL;
	replace_table(node, table);
}

/* An instance that reads the log needs no peer: the peer's records may be lost ones. */
void table_merge_peer_records(struct cw_node *node, const struct peer_record *records, size_t count)
{
	if (log_is_current(node, CW_STREAM_TABLE) || !peers_records_follow(node, records, count))
		return;
	for (size_t i = 0; i < count; i++) {
		struct cw_log_record record = {records[i].offset, records[i].time_ms,
					       records[i].data};

		if (record.offset != cw_table_offset(node->table) + 1 ||
		    record.time_ms < cw_table_last_record(node->table).time_ms)
			continue;
		abandon_replay(node);
		track_snapshot_age(node, &record);
		apply_record(node, &record);
	}
}

void table_merge_peer_snapshot(struct cw_node *node, const char *snapshot)
{
	struct cw_table *table = cw_table_create();
	struct cw_record_id own = cw_table_last_record(node->table);
	struct cw_record_id peer;
	int is_newer = 0;

	if (cw_table_load_snapshot(table, snapshot, NULL) == CW_OK) {
		peer = cw_table_last_record(table);
		is_newer = own.offset && peer.offset
				   ? cw_record_id_compare(&peer, &own) > 0
				   : cw_table_offset(table) > cw_table_offset(node->table);
	}
	if (!is_newer || log_is_current(node, CW_STREAM_TABLE)) {
		cw_table_destroy(table);
		return;
	}
	abandon_replay(node);
	replace_table(node, table);
	sync_table_reader(node);
}

void table_handle_append(struct cw_node *node, const struct cw_append_result *appended)
{
	restore_handle_append(&node->lost_table_turn, appended);
	if (appended->ticket != node->snapshot_ticket)
		return;
	node->snapshot_ticket = 0;
	node->snapshot_due_ms = 0;
}

void table_tick(struct cw_node *node)
{
	append_unlogged(node);
	schedule_snapshot(node);
}

static struct cw_table *read_table(struct cw_node *node)
{
	return node->replayed_table ? node->replayed_table : node->table;
}

static void apply_record(struct cw_node *node, const struct cw_log_record *record)
{
	struct cw_table *table = read_table(node);
	uint64_t offset = record->offset;
	struct cw_error error = {0};
	enum cw_table_result outcome;

	if (offset != cw_table_offset(table) + 1)
		return;
	cw_table_apply_record(table, offset, record->time_ms, record->data, &outcome, &error);
	if (table == node->replayed_table)
		return;
	store_table_record(node, record);
	sync_table_reader(node);
	switch (outcome) {
	case CW_TABLE_APPLIED:
		handle_table_change(node, offset);
		break;
	case CW_TABLE_SNAPSHOT:
		break;
	default:
		node_log_event(node, "table",
			       outcome == CW_TABLE_DUPLICATE ? "edit_repeated" : "edit_rejected",
			       "offset=%" G_GUINT64_FORMAT " why=\"%s\"", offset, error.message);
		break;
	}
}

static void drop_rebased(struct cw_node *node)
{
	cw_table_destroy(node->rebased_table);
	node->rebased_table = NULL;
}

static void apply_rebased(struct cw_node *node, const struct cw_log_record *record)
{
	enum cw_table_result outcome;

	if (node->rebased_table)
		cw_table_apply_record(node->rebased_table, record->offset, record->time_ms,
				      record->data, &outcome, NULL);
}

static void load_snapshot(struct cw_node *node, const char *snapshot)
{
	struct cw_table *table = cw_table_create();
	struct log_reader *reader = &node->log_readers[CW_STREAM_TABLE];

	if (cw_table_load_snapshot(table, snapshot, NULL) != CW_OK) {
		cw_table_destroy(table);
		return;
	}
	if (node->replayed_table) {
		cw_table_destroy(node->replayed_table);
		node->replayed_table = table;
		sync_table_reader(node);
		/* The replay ends where the log is read to its end again. */
		reader->is_caught_up = 0;
		return;
	}
	if (cw_table_offset(table) > cw_table_offset(node->table)) {
		replace_table(node, table);
		sync_table_reader(node);
		return;
	}
	/* Records or a snapshot from a peer brought the table to the offset of this snapshot, or
	 * past it. */
	cw_table_destroy(table);
	if (cw_table_offset(node->table) + 1 >= reader->oldest_offset)
		sync_table_reader(node);
}

/* What the former table holds beyond the new one stays in force, and is appended to the log. */
static void replace_table(struct cw_node *node, struct cw_table *table)
{
	int is_ahead = cw_table_is_ahead(table, node->table);

	clear_changed_health(node, table);
	cw_table_merge(table, node->table);
	cw_table_destroy(node->table);
	node->table = table;
	/* The stored records must continue the table without a gap: older ones are dropped. */
	drop_table_records(node);
	apply_drains(node);
	cw_session_limit_offsets(node->sessions, MAX(cw_table_offset(table), 1));
	/* The age of the records in the snapshot is unknown: a new snapshot is due, unless one was
	 * read from the log. */
	if (!node->table_snapshot_wall_ms)
		node->table_snapshot_wall_ms = 1;
	node->routing_changed_ms = node->now_ms;
	node_log_event(node, "table", "replaced", "offset=%" G_GUINT64_FORMAT " unlogged=%zu",
		       cw_table_offset(table), cw_table_count_unlogged(table));
	if (is_ahead)
		node_log_event(node, "table", "in_force", "offset=%" G_GUINT64_FORMAT,
			       cw_table_offset(table));
	gossip_expedite_heartbeats(node);
}

/* An operator's edit of a version overrides the earlier health evidence. */
static void clear_changed_health(struct cw_node *node, const struct cw_table *table)
{
	const struct cw_row *row;

	TAILQ_FOREACH(row, cw_table_rows(table), link) {
		const struct cw_row *known = cw_table_find_row_by_id(node->table, row->id);

		if (known && known->set_ms[CW_COLUMN_WEIGHT] >= row->set_ms[CW_COLUMN_WEIGHT] &&
		    known->set_ms[CW_COLUMN_STATE] >= row->set_ms[CW_COLUMN_STATE])
			continue;
		cw_health_clear(node->health, cw_pool_version_hash(row->model, row->version));
	}
}

/* A peer brings what the log can't be read for now. */
static void abandon_replay(struct cw_node *node)
{
	cw_table_destroy(node->replayed_table);
	node->replayed_table = NULL;
}

/* A message of a build that identifies records begins with the record that they follow. */
static int peers_records_follow(struct cw_node *node, const struct peer_record *records,
				size_t count)
{
	struct cw_record_id own = cw_table_last_record(node->table);

	for (size_t i = 0; i < count; i++) {
		struct cw_record_id peer =
			cw_record_id_create(records[i].offset, records[i].time_ms, records[i].data);

		if (own.offset && peer.offset == own.offset)
			return cw_record_id_is_equal(&peer, &own);
	}
	return 1;
}

/*
 * Continues reading the log after the last record of the table, whether the log or a peer brought
 * that record. Otherwise a reader with an older read in progress, or one that waits for a snapshot,
 * would skip the next records of the table unnoticed: the table would stay at its offset while the
 * log is read.
 */
static void sync_table_reader(struct cw_node *node)
{
	struct log_reader *reader = &node->log_readers[CW_STREAM_TABLE];
	const struct cw_table *table = read_table(node);
	struct cw_record_id last = cw_table_last_record(table);

	if (cw_table_offset(table) == 0)
		return;
	reader->needs_snapshot = 0;
	drop_rebased(node);
	if (reader->next_offset == cw_table_offset(table) + 1 &&
	    cw_record_id_is_equal(&reader->last, &last))
		return;
	reader->read_ticket = 0;
	reader->step = READER_CHECK;
	reader->next_offset = cw_table_offset(table) + 1;
	reader->last = last;
	reader->last_bytes = 0;
}

/* The table holds all drain orders; the pool applies those that are new to it. */
static void apply_drains(struct cw_node *node)
{
	struct cw_drain_order orders[CW_DRAINS_MAX];
	size_t count = cw_drains_list(cw_table_drains(node->table), orders, CW_DRAINS_MAX);

	for (size_t i = 0; i < count; i++)
		if (cw_pool_drain(node->pool, &orders[i], node->now_ms))
			node_log_event(node, "table",
				       orders[i].is_drained ? "domain_drained" : "domain_restored",
				       "domain=%s offset=%" G_GUINT64_FORMAT,
				       orders[i].failure_domain, orders[i].position.offset);
}

static void store_table_record(struct cw_node *node, const struct cw_log_record *from)
{
	struct table_record *record = g_new0(struct table_record, 1);

	record->offset = from->offset;
	record->time_ms = from->time_ms;
	record->data = g_strdup(from->data);
	STAILQ_INSERT_TAIL(&node->table_records, record, link);
	node->table_record_count++;
	if (node->table_record_count <= CW_TABLE_RECORDS_KEPT)
		return;
	record = STAILQ_FIRST(&node->table_records);
	STAILQ_REMOVE_HEAD(&node->table_records, link);
	g_free(record->data);
	g_free(record);
	node->table_record_count--;
}

static void drop_table_records(struct cw_node *node)
{
	struct table_record *record;

	while ((record = STAILQ_FIRST(&node->table_records))) {
		STAILQ_REMOVE_HEAD(&node->table_records, link);
		g_free(record->data);
		g_free(record);
	}
	node->table_record_count = 0;
}

static void handle_table_change(struct cw_node *node, uint64_t offset)
{
	const struct cw_row *row;

	apply_drains(node);
	node_log_event(node, "table", "in_force", "offset=%" G_GUINT64_FORMAT, offset);
	TAILQ_FOREACH(row, cw_table_rows(node->table), link) {
		if (row->revision[CW_COLUMN_WEIGHT] != offset &&
		    row->revision[CW_COLUMN_STATE] != offset)
			continue;
		node->routing_changed_ms = node->now_ms;
		/* An operator's edit of the version overrides the earlier health evidence. */
		cw_health_clear(node->health, cw_pool_version_hash(row->model, row->version));
	}
}

/*
 * Tracks the age of the records that the next snapshot must cover. The age counts from the time of
 * the record, not from the start of this instance, for records from the log and from peers alike.
 * Otherwise instances that are restarted often, or get the table from peers only, would delay the
 * snapshot until the table has expired from the log.
 */
static void track_snapshot_age(struct cw_node *node, const struct cw_log_record *record)
{
	if (!node->table_snapshot_wall_ms)
		node->table_snapshot_wall_ms = record->time_ms;
	if (record->offset > node->table_snapshot_record_offset &&
	    strstr(record->data, "\"snapshot\""))
		track_snapshot(node, record);
}

static void track_snapshot(struct cw_node *node, const struct cw_log_record *record)
{
	struct json_object *parsed = json_tokener_parse(record->data);
	struct json_object *snapshot;
	struct json_object *offset;

	if (json_object_object_get_ex(parsed, "snapshot", &snapshot) &&
	    json_object_object_get_ex(snapshot, "offset", &offset)) {
		node->table_snapshot_covered =
			MAX(node->table_snapshot_covered, (uint64_t)json_object_get_int64(offset));
		node->table_snapshot_record_offset = record->offset;
		node->table_snapshot_wall_ms = record->time_ms;
		node->snapshot_due_ms = 0;
	}
	json_object_put(parsed);
}

/*
 * The table must be readable from the log even if all instances are lost. Before the oldest record
 * that is needed expires, one instance writes a snapshot: the first in the order of a rendezvous
 * hash, or the next one if that instance does not write. A second snapshot is harmless.
 */
static void schedule_snapshot(struct cw_node *node)
{
	const struct cw_table *table = node->rebased_table ? node->rebased_table : node->table;

	if (node->snapshot_ticket || !is_snapshot_due(node)) {
		if (!node->snapshot_ticket)
			node->snapshot_due_ms = 0;
		return;
	}
	if (node->snapshot_due_ms == 0)
		node->snapshot_due_ms = node->now_ms + choose_snapshot_delay(node);
	if (node->now_ms < node->snapshot_due_ms)
		return;
	node->snapshot_ticket = log_append(node, CW_STREAM_TABLE, cw_table_create_snapshot(table));
	node_log_event(node, "table", "snapshot_written", "offset=%" G_GUINT64_FORMAT,
		       cw_table_offset(table));
}

static int64_t choose_snapshot_delay(struct cw_node *node)
{
	size_t rank = cw_membership_rank(
		node->membership, cw_hash_text("snapshot", node->table_snapshot_record_offset),
		node->now_ms);
	int64_t delay_ms = 1 + SNAPSHOT_RANK_DELAY_MS * (int64_t)rank +
			   (int64_t)(node_random(node) % SNAPSHOT_RANK_DELAY_MS / 2);

	if (node->rebased_table) {
		delay_ms += SNAPSHOT_REBASED_DELAY_MS;
		if (cw_table_offset(node->table) + 1 <
		    node->log_readers[CW_STREAM_TABLE].oldest_offset)
			delay_ms += SNAPSHOT_BEHIND_DELAY_MS;
	}
	return delay_ms;
}

static int is_snapshot_due(const struct cw_node *node)
{
	const struct log_reader *reader = &node->log_readers[CW_STREAM_TABLE];
	uint64_t end = reader->next_offset;
	uint64_t covered = node->table_snapshot_covered;
	int64_t half_retention_ms = node->config.log_retention_ms / 2;

	if (node->rebased_table)
		return is_rebased_due(node);
	/* Followers of the log don't have what is unlogged: no snapshot may cover it. */
	if (node->replayed_table || cw_table_count_unlogged(node->table) > 0)
		return 0;
	if (!reader->is_caught_up || reader->needs_snapshot || cw_table_offset(node->table) == 0 ||
	    reader->backoff_ms)
		return 0;
	if (covered && reader->oldest_offset > node->table_snapshot_record_offset)
		return 1;
	/* The snapshot is the only record after the offsets it covers: only its own age counts. */
	if (node->table_snapshot_record_offset && node->table_snapshot_record_offset + 1 == end &&
	    covered + 1 == node->table_snapshot_record_offset)
		return node->table_snapshot_wall_ms &&
		       node->wall_ms - node->table_snapshot_wall_ms > half_retention_ms;
	if (reader->oldest_offset > 1 &&
	    covered + 1 < reader->oldest_offset + (end - reader->oldest_offset) / 2)
		return 1;
	if (end - covered > SNAPSHOT_MAX_TAIL_RECORDS)
		return 1;
	return node->table_snapshot_wall_ms &&
	       node->wall_ms - node->table_snapshot_wall_ms > half_retention_ms;
}

static int is_rebased_due(const struct cw_node *node)
{
	const struct log_reader *reader = &node->log_readers[CW_STREAM_TABLE];

	return reader->needs_snapshot && reader->is_caught_up && !reader->backoff_ms &&
	       cw_table_offset(node->rebased_table) + 1 == reader->next_offset;
}

static void append_unlogged(struct cw_node *node)
{
	size_t count = cw_table_count_unlogged(node->table);

	if (restore_is_own_turn(node, &node->lost_table_turn, CW_STREAM_TABLE, count))
		restore_append(node, &node->lost_table_turn, CW_STREAM_TABLE,
			       cw_table_create_unlogged(node->table), count);
}
