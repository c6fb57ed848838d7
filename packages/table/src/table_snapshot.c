/* Snapshots: the whole table as one record of the log. */
#include "table_internal.h"

static struct json_object *format_drains(const struct cw_table *table);
static struct json_object *format_edit_ids(const struct cw_table *table);
static void load_last_record(struct cw_table *table, struct json_object *snapshot);
static void load_row(struct cw_table *table, struct json_object *source);
static void load_key(struct cw_table *table, struct json_object *source);
static void load_drain(struct cw_table *table, struct json_object *source);

enum cw_status cw_table_load_snapshot(struct cw_table *table, const char *record,
				      struct cw_error *error)
{
	struct json_object *parsed = json_tokener_parse(record);
	struct json_object *snapshot;
	struct json_object *list;
	enum cw_status status = CW_OK;

	if (!json_object_object_get_ex(parsed, "snapshot", &snapshot)) {
		status = cw_error_set(error, CW_INVALID, "table.load", "", "not a snapshot");
	} else if (table_get_uint64(snapshot, "offset") <= table->offset) {
		status = cw_error_set(error, CW_REFUSED, "table.load", "",
				      "the snapshot is older than the table");
	} else {
		table_clear(table);
		table->offset = table_get_uint64(snapshot, "offset");
		load_last_record(table, snapshot);
		json_object_object_get_ex(snapshot, "rows", &list);
		for (size_t i = 0; i < json_object_array_length(list); i++)
			load_row(table, json_object_array_get_idx(list, i));
		json_object_object_get_ex(snapshot, "keys", &list);
		for (size_t i = 0; i < json_object_array_length(list); i++)
			load_key(table, json_object_array_get_idx(list, i));
		json_object_object_get_ex(snapshot, "edits", &list);
		for (size_t i = 0; i < json_object_array_length(list); i++)
			table_remember_edit_id(table, (uint64_t)json_object_get_int64(
							      json_object_array_get_idx(list, i)));
		json_object_object_get_ex(snapshot, "drains", &list);
		for (size_t i = 0; list && i < json_object_array_length(list); i++)
			load_drain(table, json_object_array_get_idx(list, i));
	}
	json_object_put(parsed);
	return status;
}

char *cw_table_create_snapshot(const struct cw_table *table)
{
	struct json_object *record = json_object_new_object();
	struct json_object *snapshot = json_object_new_object();
	struct json_object *rows = json_object_new_array();
	struct json_object *keys = json_object_new_array();
	const struct cw_row *row;
	const struct owner *owner;
	const char *organisation;
	GHashTableIter iter;
	char *text;

	TAILQ_FOREACH(row, &table->rows, link) {
		struct json_object *out = json_object_new_object();
		struct json_object *cells = json_object_new_array();
		struct json_object *times = json_object_new_array();

		json_object_object_add(out, "organisation",
				       json_object_new_string(row->organisation));
		json_object_object_add(out, "model", json_object_new_string(row->model));
		json_object_object_add(out, "version", json_object_new_string(row->version));
		json_object_object_add(out, "withdrawn_at",
				       json_object_new_int64((int64_t)row->withdrawn_at));
		for (int column = 0; column < CW_COLUMN_COUNT; column++) {
			char value[64];

			cw_cell_format(column, row->cell[column], value, sizeof(value));
			json_object_array_add(cells, json_object_new_string(value));
			json_object_array_add(
				cells, json_object_new_int64((int64_t)row->revision[column]));
			json_object_array_add(times, json_object_new_int64(row->set_ms[column]));
		}
		json_object_object_add(out, "cells", cells);
		json_object_object_add(out, "times", times);
		json_object_array_add(rows, out);
	}
	g_hash_table_iter_init(&iter, table->owners);
	while (g_hash_table_iter_next(&iter, (gpointer *)&organisation, (gpointer *)&owner)) {
		struct json_object *out = json_object_new_object();

		json_object_object_add(out, "organisation", json_object_new_string(organisation));
		json_object_object_add(out, "key_sha256",
				       json_object_new_string(owner->key_sha256));
		json_object_object_add(out, "time_ms", json_object_new_int64(owner->set_ms));
		json_object_array_add(keys, out);
	}
	json_object_object_add(snapshot, "offset", json_object_new_int64((int64_t)table->offset));
	json_object_object_add(snapshot, "time_ms", json_object_new_int64(table->last.time_ms));
	json_object_object_add(snapshot, "checksum",
			       json_object_new_int64((int64_t)table->last.checksum));
	json_object_object_add(snapshot, "rows", rows);
	json_object_object_add(snapshot, "keys", keys);
	json_object_object_add(snapshot, "edits", format_edit_ids(table));
	json_object_object_add(snapshot, "drains", format_drains(table));
	json_object_object_add(record, "snapshot", snapshot);
	text = g_strdup(json_object_to_json_string_ext(record, JSON_C_TO_STRING_PLAIN));
	json_object_put(record);
	return text;
}

static struct json_object *format_drains(const struct cw_table *table)
{
	struct json_object *list = json_object_new_array();
	struct cw_drain_order orders[CW_DRAINS_MAX];
	size_t count = cw_drains_list(table->drains, orders, CW_DRAINS_MAX);

	for (size_t i = 0; i < count; i++) {
		struct json_object *out = json_object_new_object();

		json_object_object_add(out, "failure_domain",
				       json_object_new_string(orders[i].failure_domain));
		json_object_object_add(out, "drained",
				       json_object_new_boolean(orders[i].is_drained));
		json_object_object_add(out, "offset",
				       json_object_new_int64((int64_t)orders[i].position.offset));
		json_object_object_add(out, "time_ms",
				       json_object_new_int64((int64_t)orders[i].position.era));
		json_object_array_add(list, out);
	}
	return list;
}

static struct json_object *format_edit_ids(const struct cw_table *table)
{
	struct json_object *ids = json_object_new_array();
	size_t oldest = table->edit_count > EDIT_IDS_MAX ? table->edit_count - EDIT_IDS_MAX : 0;

	for (size_t i = oldest; i < table->edit_count; i++)
		json_object_array_add(
			ids, json_object_new_int64((int64_t)table->edit_ids[i % EDIT_IDS_MAX]));
	return ids;
}

static void load_last_record(struct cw_table *table, struct json_object *snapshot)
{
	table->last =
		(struct cw_record_id){.time_ms = (int64_t)table_get_uint64(snapshot, "time_ms"),
				      .checksum = table_get_uint64(snapshot, "checksum")};
	if (table->last.time_ms)
		table->last.offset = table->offset;
}

static void load_row(struct cw_table *table, struct json_object *source)
{
	struct cw_row *row = table_create_row(table, table_get_string(source, "organisation"),
					      table_get_string(source, "model"),
					      table_get_string(source, "version"));
	uint64_t route = table_hash_row_names(row->organisation, row->model, "");
	uint64_t *offset = g_hash_table_lookup(table->routing_offsets, &route);
	uint64_t changed = offset ? *offset : 0;
	struct json_object *times = NULL;
	struct json_object *cells;

	row->withdrawn_at = table_get_uint64(source, "withdrawn_at");
	json_object_object_get_ex(source, "cells", &cells);
	json_object_object_get_ex(source, "times", &times);
	for (int column = 0; column < CW_COLUMN_COUNT; column++) {
		struct json_object *value = json_object_array_get_idx(cells, (size_t)column * 2);
		struct json_object *revision =
			json_object_array_get_idx(cells, (size_t)column * 2 + 1);

		if (!value || cw_cell_parse(column, json_object_get_string(value),
					    &row->cell[column]) != CW_OK)
			continue;
		row->revision[column] = (uint64_t)json_object_get_int64(revision);
		if (times)
			row->set_ms[column] = json_object_get_int64(
				json_object_array_get_idx(times, (size_t)column));
	}
	changed = MAX(changed, row->revision[CW_COLUMN_STATE]);
	changed = MAX(changed, row->revision[CW_COLUMN_WEIGHT]);
	g_hash_table_replace(table->routing_offsets, table_copy_uint64(route),
			     table_copy_uint64(changed));
}

static void load_key(struct cw_table *table, struct json_object *source)
{
	if (table_apply_key(table, 0, source, NULL) == CW_TABLE_APPLIED)
		((struct owner *)g_hash_table_lookup(table->owners,
						     table_get_string(source, "organisation")))
			->set_ms = (int64_t)table_get_uint64(source, "time_ms");
}

static void load_drain(struct cw_table *table, struct json_object *source)
{
	struct cw_drain_order order;

	if (table_parse_drain(source, (int64_t)table_get_uint64(source, "time_ms"),
			      table_get_uint64(source, "offset"), &order))
		cw_drains_apply(table->drains, &order);
}
