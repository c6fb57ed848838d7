/* The platform's log: tailing its streams, the table's fold, snapshots before records expire. */
#include "node_internal.h"

#include <string.h>

#define TAIL_WAIT_MS	 2000 /* long poll */
#define READ_TIMEOUT_MS	 5000 /* a read unanswered this long: the stream counts as down */
#define BACKOFF_FIRST_MS 50
#define BACKOFF_MAX_MS	 1000
#define SNAPSHOT_STEP_MS 500  /* between the turns of live instances to write one */
#define SNAPSHOT_RECORDS 2000 /* a tail longer than this is worth a snapshot */

static void rejoin_table(struct cw_node *node);
static void take_drains(struct cw_node *node);
static void feed_failed(struct cw_node *node, struct feed *feed);
static void feed_expired(struct cw_node *node, struct feed *feed, uint64_t first);
static void fold_record(struct cw_node *node, struct feed *feed,
			const struct cw_log_record *record);
static void keep_table_record(struct cw_node *node, const struct cw_log_record *from);
static void table_changed(struct cw_node *node, uint64_t offset);
static void note_age(struct cw_node *node, const struct cw_log_record *record);
static void note_snapshot(struct cw_node *node, const struct cw_log_record *record);
static void plan_snapshot(struct cw_node *node);
static int wants_snapshot(const struct cw_node *node);

void log_open(struct cw_node *node)
{
	for (int stream = 0; stream < CW_STREAM_BILLS; stream++) {
		node->feeds[stream].stream = stream;
		node->feeds[stream].next = 1;
		node->feeds[stream].ok_ms = -1;
	}
}

void log_close(struct cw_node *node)
{
	struct kept_record *record;

	while ((record = STAILQ_FIRST(&node->table_tail))) {
		STAILQ_REMOVE_HEAD(&node->table_tail, link);
		g_free(record->data);
		g_free(record);
	}
}

void log_read(struct cw_node *node, enum cw_stream stream, uint64_t ticket, uint64_t from,
	      int wait_ms)
{
	struct cw_effect *effect = node_effect(node, CW_EFFECT_READ, 0);

	effect->read.stream = stream;
	effect->read.ticket = ticket;
	effect->read.from = from;
	effect->read.wait_ms = wait_ms;
}

uint64_t log_append(struct cw_node *node, enum cw_stream stream, char *data)
{
	struct cw_effect *effect = node_effect(node, CW_EFFECT_APPEND, 0);

	effect->append.stream = stream;
	effect->append.ticket = node_ticket(node);
	effect->append.data = data;
	return effect->append.ticket;
}

void log_records(struct cw_node *node, const struct cw_records *records)
{
	struct feed *feed;

	if (records->stream == CW_STREAM_BILLS) {
		bills_records(node, records);
		return;
	}
	feed = &node->feeds[records->stream];
	/* An answer to a read that was given up: its records are read again. */
	if (records->ticket != feed->ticket)
		return;
	feed->ticket = 0;
	if (records->status == CW_EXPIRED) {
		feed_expired(node, feed, records->first);
		return;
	}
	if (records->status != CW_OK) {
		feed_failed(node, feed);
		return;
	}
	feed->ok_ms = node->now_ms;
	feed->backoff_ms = 0;
	feed->first = MAX(feed->first, records->first);
	for (size_t i = 0; i < records->count; i++)
		fold_record(node, feed, &records->list[i]);
	if (records->count == 0 && !feed->caught_up) {
		feed->caught_up = 1;
		node_event(node, "log", "caught_up", "stream=%s next=%" G_GUINT64_FORMAT,
			   cw_stream_name(feed->stream), feed->next);
	}
	if (feed->stream == CW_STREAM_CLAIMS && records->count > 0)
		claims_folded(node);
}

void log_appended(struct cw_node *node, const struct cw_appended *appended)
{
	if (appended->ticket == node->snapshot_ticket) {
		node->snapshot_ticket = 0;
		node->snapshot_due_ms = 0;
	}
	claims_appended(node, appended);
	bills_appended(node, appended);
	rollout_appended(node, appended);
	quarantine_appended(node, appended);
}

void log_tick(struct cw_node *node)
{
	for (int stream = 0; stream < CW_STREAM_BILLS; stream++) {
		struct feed *feed = &node->feeds[stream];

		if (feed->ticket && node->now_ms - feed->asked_ms > READ_TIMEOUT_MS)
			feed_failed(node, feed);
		if (feed->ticket || node->now_ms < feed->retry_ms)
			continue;
		feed->ticket = node_ticket(node);
		feed->asked_ms = node->now_ms;
		log_read(node, feed->stream, feed->ticket, feed->next,
			 feed->caught_up ? TAIL_WAIT_MS : 0);
	}
	plan_snapshot(node);
}

/* Up: read to its end once, and answered lately. A frozen platform shows after the read's timeout.
 */
int log_is_up(const struct cw_node *node, enum cw_stream stream)
{
	const struct feed *feed = &node->feeds[stream];

	return feed->caught_up && feed->backoff_ms == 0 && feed->ok_ms >= 0 &&
	       node->now_ms - feed->ok_ms <= TAIL_WAIT_MS + READ_TIMEOUT_MS;
}

void log_fold_table(struct cw_node *node, const struct cw_log_record *record)
{
	uint64_t offset = record->offset;
	struct cw_error error = {0};
	enum cw_table_result fold;

	if (offset != cw_table_offset(node->table) + 1)
		return;
	cw_table_apply_record(node->table, offset, record->data, &fold, &error);
	note_age(node, record);
	keep_table_record(node, record);
	rejoin_table(node);
	switch (fold) {
	case CW_TABLE_APPLIED:
		table_changed(node, offset);
		break;
	case CW_TABLE_SNAPSHOT:
		break;
	default:
		node_event(node, "table",
			   fold == CW_TABLE_DUPLICATE ? "edit_repeated" : "edit_rejected",
			   "offset=%" G_GUINT64_FORMAT " why=\"%s\"", offset, error.message);
		break;
	}
}

void log_load_table(struct cw_node *node, const char *snapshot)
{
	struct kept_record *record;

	enum cw_status status = cw_table_load_snapshot(node->table, snapshot, NULL);

	/* Peers may have been quicker: then the table is at the snapshot's offset or past it
	 * already. */
	if (status == CW_REFUSED &&
	    cw_table_offset(node->table) + 1 >= node->feeds[CW_STREAM_TABLE].first)
		rejoin_table(node);
	if (status != CW_OK)
		return;
	/* The tail must join the table without a gap: what stood before the snapshot goes. */
	while ((record = STAILQ_FIRST(&node->table_tail))) {
		STAILQ_REMOVE_HEAD(&node->table_tail, link);
		g_free(record->data);
		g_free(record);
	}
	node->table_tail_length = 0;
	rejoin_table(node);
	take_drains(node);
	/* Its records' ages are not known: unless the log shows a snapshot, one is due. */
	if (!node->table_snapshot_wall_ms)
		node->table_snapshot_wall_ms = 1;
	node->routing_changed_ms = node->now_ms;
	node_event(node, "table", "snapshot_loaded", "offset=%" G_GUINT64_FORMAT,
		   cw_table_offset(node->table));
}

/*
 * The table moved on, by the log or by a peer: the log is read on from there. A feed that had asked
 * for older records, or waits for a snapshot, would else skip what the table needs next and never
 * know; it shows as a table that stands still while the log is read.
 */
static void rejoin_table(struct cw_node *node)
{
	struct feed *feed = &node->feeds[CW_STREAM_TABLE];

	if (cw_table_offset(node->table) == 0)
		return;
	if (feed->next != cw_table_offset(node->table) + 1)
		feed->ticket = 0;
	feed->next = cw_table_offset(node->table) + 1;
	feed->needs_snapshot = 0;
}

/* The table is the fold of all orders; the pool takes those that are new to it. */
static void take_drains(struct cw_node *node)
{
	struct cw_drain_order orders[CW_DRAINS_MAX];
	size_t count = cw_drains_list(cw_table_drains(node->table), orders, CW_DRAINS_MAX);

	for (size_t i = 0; i < count; i++)
		if (cw_pool_drain(node->pool, &orders[i], node->now_ms))
			node_event(node, "table",
				   orders[i].is_drained ? "domain_drained" : "domain_restored",
				   "domain=%s offset=%" G_GUINT64_FORMAT, orders[i].failure_domain,
				   orders[i].offset);
}

static void feed_failed(struct cw_node *node, struct feed *feed)
{
	feed->ticket = 0;
	if (feed->backoff_ms == 0)
		node_event(node, "log", "unreachable", "stream=%s", cw_stream_name(feed->stream));
	feed->backoff_ms =
		feed->backoff_ms ? MIN(feed->backoff_ms * 2, BACKOFF_MAX_MS) : BACKOFF_FIRST_MS;
	feed->retry_ms = node->now_ms + feed->backoff_ms / 2 +
			 (int64_t)(node_random(node) % (uint64_t)feed->backoff_ms);
}

/* Records this instance lacks are gone: the table needs a snapshot, claims a later floor. */
static void feed_expired(struct cw_node *node, struct feed *feed, uint64_t first)
{
	feed->ok_ms = node->now_ms;
	if (first <= feed->next) {
		feed_failed(node, feed);
		return;
	}
	node_event(node, "log", "expired",
		   "stream=%s next=%" G_GUINT64_FORMAT " first=%" G_GUINT64_FORMAT,
		   cw_stream_name(feed->stream), feed->next, first);
	feed->next = first;
	feed->first = first;
	if (feed->stream == CW_STREAM_TABLE)
		feed->needs_snapshot = 1;
	if (feed->stream == CW_STREAM_CLAIMS)
		cw_claims_start_at(node->claims, first);
}

static void fold_record(struct cw_node *node, struct feed *feed, const struct cw_log_record *record)
{
	uint64_t floor = cw_claims_floor(node->claims);

	if (feed->stream == CW_STREAM_TABLE)
		note_age(node, record);
	if (feed->stream == CW_STREAM_CLAIMS && !node->kept_wall_ms)
		node->kept_wall_ms = record->time_ms;
	if (record->offset != feed->next)
		return;
	feed->next = record->offset + 1;
	switch (feed->stream) {
	case CW_STREAM_TABLE:
		if (feed->needs_snapshot)
			log_load_table(node, record->data);
		else
			log_fold_table(node, record);
		break;
	case CW_STREAM_CLAIMS:
		cw_claims_fold(node->claims, record->offset, record->time_ms, record->data, NULL);
		if (cw_claims_floor(node->claims) > floor)
			node->kept_wall_ms = record->time_ms;
		break;
	default:
		rollout_notice(node, record->offset, record->time_ms, record->data);
		break;
	}
}

static void keep_table_record(struct cw_node *node, const struct cw_log_record *from)
{
	struct kept_record *record = g_new0(struct kept_record, 1);

	record->offset = from->offset;
	record->time_ms = from->time_ms;
	record->data = g_strdup(from->data);
	STAILQ_INSERT_TAIL(&node->table_tail, record, link);
	node->table_tail_length++;
	if (node->table_tail_length <= CW_TABLE_WINDOW)
		return;
	record = STAILQ_FIRST(&node->table_tail);
	STAILQ_REMOVE_HEAD(&node->table_tail, link);
	g_free(record->data);
	g_free(record);
	node->table_tail_length--;
}

static void table_changed(struct cw_node *node, uint64_t offset)
{
	const struct cw_row *row;

	take_drains(node);
	node_event(node, "table", "in_force", "offset=%" G_GUINT64_FORMAT, offset);
	TAILQ_FOREACH(row, cw_table_rows(node->table), link) {
		if (row->revision[CW_COLUMN_WEIGHT] != offset &&
		    row->revision[CW_COLUMN_STATE] != offset)
			continue;
		node->routing_changed_ms = node->now_ms;
		/* The operator has looked at it: an edit overrides what evidence said before. */
		cw_health_clear(node->health, cw_pool_version_hash(row->model, row->version));
	}
}

/*
 * What must be written anew, and how old it is. Age counts from the record, not from this
 * instance's start, and whoever brought it: instances that are restarted often, or learn from peers
 * alone, would else put the snapshot off until the table has expired.
 */
static void note_age(struct cw_node *node, const struct cw_log_record *record)
{
	if (!node->table_snapshot_wall_ms)
		node->table_snapshot_wall_ms = record->time_ms;
	if (record->offset > node->table_snapshot_record && strstr(record->data, "\"snapshot\""))
		note_snapshot(node, record);
}

static void note_snapshot(struct cw_node *node, const struct cw_log_record *record)
{
	struct json_object *parsed = json_tokener_parse(record->data);
	struct json_object *snapshot;
	struct json_object *offset;

	if (json_object_object_get_ex(parsed, "snapshot", &snapshot) &&
	    json_object_object_get_ex(snapshot, "offset", &offset)) {
		node->table_snapshot_at =
			MAX(node->table_snapshot_at, (uint64_t)json_object_get_int64(offset));
		node->table_snapshot_record = record->offset;
		node->table_snapshot_wall_ms = record->time_ms;
		node->snapshot_due_ms = 0;
	}
	json_object_put(parsed);
}

/*
 * The table must be readable from the log when every instance has vanished. Before the oldest
 * record that is needed expires, one instance writes a snapshot; the turns go round by rendezvous,
 * so that the next one writes when the first does not. A second snapshot is harmless.
 */
static void plan_snapshot(struct cw_node *node)
{
	size_t rank;

	if (node->snapshot_ticket || !wants_snapshot(node)) {
		if (!node->snapshot_ticket)
			node->snapshot_due_ms = 0;
		return;
	}
	if (node->snapshot_due_ms == 0) {
		rank = cw_membership_rank(node->membership,
					  cw_hash_text("snapshot", node->table_snapshot_record),
					  node->now_ms);
		node->snapshot_due_ms = node->now_ms + 1 + SNAPSHOT_STEP_MS * (int64_t)rank +
					(int64_t)(node_random(node) % SNAPSHOT_STEP_MS / 2);
	}
	if (node->now_ms < node->snapshot_due_ms)
		return;
	node->snapshot_ticket =
		log_append(node, CW_STREAM_TABLE, cw_table_create_snapshot(node->table));
	node_event(node, "table", "snapshot_written", "offset=%" G_GUINT64_FORMAT,
		   cw_table_offset(node->table));
}

static int wants_snapshot(const struct cw_node *node)
{
	const struct feed *feed = &node->feeds[CW_STREAM_TABLE];
	uint64_t end = feed->next;
	uint64_t folded = node->table_snapshot_at;
	int64_t half_life_ms = node->config.log_retention_ms / 2;

	if (!feed->caught_up || feed->needs_snapshot || cw_table_offset(node->table) == 0 ||
	    feed->backoff_ms)
		return 0;
	if (folded && feed->first > node->table_snapshot_record)
		return 1;
	/* Nothing but the snapshot itself stands behind what it folds: only its own age counts. */
	if (node->table_snapshot_record && node->table_snapshot_record + 1 == end &&
	    folded + 1 == node->table_snapshot_record)
		return node->table_snapshot_wall_ms &&
		       node->wall_ms - node->table_snapshot_wall_ms > half_life_ms;
	if (feed->first > 1 && folded + 1 < feed->first + (end - feed->first) / 2)
		return 1;
	if (end - folded > SNAPSHOT_RECORDS)
		return 1;
	return node->table_snapshot_wall_ms &&
	       node->wall_ms - node->table_snapshot_wall_ms > half_life_ms;
}
