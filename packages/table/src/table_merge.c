/* What a restored log has lost of the table: merged from the former table, and written again. */
#include "table_internal.h"

#include <string.h>

#define LOST_EDIT_IDS_MAX 256 /* newest edit ids in a record that restores lost edits */

static void limit_offsets(struct cw_table *table);
static void merge_row(struct cw_table *table, const struct cw_row *from);
static void merge_keys(struct cw_table *table, const struct cw_table *former);
static void merge_drains(struct cw_table *table, const struct cw_table *former);
static void merge_edit_ids(struct cw_table *table, const struct cw_table *former);
static struct json_object *format_unlogged_cells(const struct cw_table *table);
static struct json_object *format_unlogged_edits(const struct cw_table *table);
static struct json_object *format_unlogged_key(const struct cw_table *table);
static struct json_object *format_unlogged_drain(const struct cw_table *table);

/* The offsets of lost records are given out again: none stays in the copy. */
struct cw_table *cw_table_rebase(const struct cw_table *table, uint64_t offset)
{
	struct cw_table *copy = cw_table_create();
	char *snapshot = cw_table_create_snapshot(table);

	cw_table_load_snapshot(copy, snapshot, NULL);
	g_free(snapshot);
	copy->offset = offset;
	copy->last = (struct cw_record_id){0};
	limit_offsets(copy);
	return copy;
}

int cw_table_is_ahead(const struct cw_table *table, const struct cw_table *other)
{
	size_t oldest = table->edit_count > EDIT_IDS_MAX ? table->edit_count - EDIT_IDS_MAX : 0;

	for (size_t i = oldest; i < table->edit_count; i++)
		if (!g_hash_table_contains(other->applied_edits,
					   &table->edit_ids[i % EDIT_IDS_MAX]))
			return 1;
	return 0;
}

void cw_table_merge(struct cw_table *table, const struct cw_table *former)
{
	const struct cw_row *row;

	TAILQ_FOREACH(row, &former->rows, link)
		merge_row(table, row);
	merge_keys(table, former);
	merge_drains(table, former);
	merge_edit_ids(table, former);
}

size_t cw_table_count_unlogged(const struct cw_table *table)
{
	return table->unlogged_count;
}

char *cw_table_create_unlogged(const struct cw_table *table)
{
	struct json_object *record = format_unlogged_cells(table);
	char *text;

	if (!record)
		record = format_unlogged_key(table);
	if (!record)
		record = format_unlogged_drain(table);
	if (!record)
		return NULL;
	text = g_strdup(json_object_to_json_string_ext(record, JSON_C_TO_STRING_PLAIN));
	json_object_put(record);
	return text;
}

static void limit_offsets(struct cw_table *table)
{
	struct cw_row *row;
	uint64_t *changed;
	GHashTableIter iter;

	TAILQ_FOREACH(row, &table->rows, link) {
		for (int column = 0; column < CW_COLUMN_COUNT; column++)
			row->revision[column] = MIN(row->revision[column], table->offset);
		row->withdrawn_at = MIN(row->withdrawn_at, table->offset);
	}
	g_hash_table_iter_init(&iter, table->routing_offsets);
	while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&changed))
		*changed = MIN(*changed, table->offset);
}

static void merge_row(struct cw_table *table, const struct cw_row *from)
{
	struct cw_row *row = g_hash_table_lookup(table->by_id, &from->id);

	for (int column = 0; column < CW_COLUMN_COUNT; column++) {
		if (!from->set_ms[column] ||
		    (row && !table_is_cell_older(row, column, from->set_ms[column])))
			continue;
		if (!row)
			row = table_create_row(table, from->organisation, from->model,
					       from->version);
		if (column == CW_COLUMN_STATE && row->cell[column] == 1 && from->cell[column] != 1)
			row->withdrawn_at = table->offset;
		row->cell[column] = from->cell[column];
		row->set_ms[column] = from->set_ms[column];
		table_set_unlogged(table, row, column, 1);
	}
}

static void merge_keys(struct cw_table *table, const struct cw_table *former)
{
	const struct owner *from;
	const char *organisation;
	GHashTableIter iter;

	g_hash_table_iter_init(&iter, former->owners);
	while (g_hash_table_iter_next(&iter, (gpointer *)&organisation, (gpointer *)&from)) {
		struct owner *owner = g_hash_table_lookup(table->owners, organisation);

		if (!from->set_ms || (owner && (!owner->set_ms || owner->set_ms >= from->set_ms)))
			continue;
		table_set_key(table, organisation, from->key_sha256, 0, from->set_ms);
		owner = g_hash_table_lookup(table->owners, organisation);
		owner->is_unlogged = 1;
		table->unlogged_count++;
	}
}

static void merge_drains(struct cw_table *table, const struct cw_table *former)
{
	struct cw_drain_order orders[CW_DRAINS_MAX];
	size_t count = cw_drains_list(former->drains, orders, CW_DRAINS_MAX);

	for (size_t i = 0; i < count; i++) {
		int64_t time_ms = (int64_t)orders[i].position.era;

		if (!time_ms || table_has_drain_since(table, &orders[i], time_ms))
			continue;
		cw_drains_apply(table->drains, &orders[i]);
		g_hash_table_add(table->unlogged_drains, g_strdup(orders[i].failure_domain));
		table->unlogged_count++;
	}
}

/* The ids don't count as applied before the log holds them: a retry may stand there first. */
static void merge_edit_ids(struct cw_table *table, const struct cw_table *former)
{
	size_t oldest =
		former->edit_count > LOST_EDIT_IDS_MAX ? former->edit_count - LOST_EDIT_IDS_MAX : 0;

	g_array_append_vals(table->unlogged_edits, former->unlogged_edits->data,
			    former->unlogged_edits->len);
	for (size_t i = oldest; i < former->edit_count; i++) {
		uint64_t id = former->edit_ids[i % EDIT_IDS_MAX];

		if (!g_hash_table_contains(table->applied_edits, &id))
			g_array_append_val(table->unlogged_edits, id);
	}
}

/* One edit, so that it is applied whole; its id follows from its contents, as several instances may
 * write it. */
static struct json_object *format_unlogged_cells(const struct cw_table *table)
{
	struct json_object *record;
	struct json_object *cells = json_object_new_array();
	const struct cw_row *row;
	char id[32];

	TAILQ_FOREACH(row, &table->rows, link) {
		for (int column = 0; column < CW_COLUMN_COUNT; column++) {
			struct json_object *cell;
			char value[64];

			if (!(row->unlogged & 1U << column))
				continue;
			cell = json_object_new_object();
			cw_cell_format(column, row->cell[column], value, sizeof(value));
			json_object_object_add(cell, "organisation",
					       json_object_new_string(row->organisation));
			json_object_object_add(cell, "model", json_object_new_string(row->model));
			json_object_object_add(cell, "version",
					       json_object_new_string(row->version));
			json_object_object_add(cell, "column",
					       json_object_new_string(cw_column_name(column)));
			json_object_object_add(cell, "value", json_object_new_string(value));
			json_object_object_add(cell, "set_ms",
					       json_object_new_int64(row->set_ms[column]));
			json_object_array_add(cells, cell);
		}
	}
	if (json_object_array_length(cells) == 0) {
		json_object_put(cells);
		return NULL;
	}
	record = json_object_new_object();
	g_snprintf(id, sizeof(id), "restored-%016" G_GINT64_MODIFIER "x",
		   cw_hash_text(json_object_to_json_string(cells), 0));
	json_object_object_add(record, "edit", json_object_new_string(id));
	json_object_object_add(record, "by", json_object_new_string("corianderwalk"));
	json_object_object_add(record, "cells", cells);
	json_object_object_add(record, "edits", format_unlogged_edits(table));
	return record;
}

static struct json_object *format_unlogged_edits(const struct cw_table *table)
{
	struct json_object *ids = json_object_new_array();
	guint count = table->unlogged_edits->len;

	for (guint i = count > LOST_EDIT_IDS_MAX ? count - LOST_EDIT_IDS_MAX : 0; i < count; i++)
		json_object_array_add(ids, json_object_new_int64((int64_t)g_array_index(
						   table->unlogged_edits, uint64_t, i)));
	return ids;
}

static struct json_object *format_unlogged_key(const struct cw_table *table)
{
	const struct owner *owner;
	const char *organisation;
	GHashTableIter iter;

	g_hash_table_iter_init(&iter, table->owners);
	while (g_hash_table_iter_next(&iter, (gpointer *)&organisation, (gpointer *)&owner)) {
		struct json_object *record;

		if (!owner->is_unlogged)
			continue;
		record = json_object_new_object();
		json_object_object_add(record, "organisation",
				       json_object_new_string(organisation));
		json_object_object_add(record, "key_sha256",
				       json_object_new_string(owner->key_sha256));
		json_object_object_add(record, "set_ms", json_object_new_int64(owner->set_ms));
		return record;
	}
	return NULL;
}

static struct json_object *format_unlogged_drain(const struct cw_table *table)
{
	struct cw_drain_order orders[CW_DRAINS_MAX];
	size_t count = cw_drains_list(table->drains, orders, CW_DRAINS_MAX);

	for (size_t i = 0; i < count; i++) {
		struct json_object *record;
		char id[CW_NAME_MAX + 32];

		if (!g_hash_table_contains(table->unlogged_drains, orders[i].failure_domain))
			continue;
		record = json_object_new_object();
		g_snprintf(id, sizeof(id), "restored-%s-%" G_GUINT64_FORMAT,
			   orders[i].failure_domain, orders[i].position.era);
		json_object_object_add(record, "edit", json_object_new_string(id));
		json_object_object_add(record, "failure_domain",
				       json_object_new_string(orders[i].failure_domain));
		json_object_object_add(record, "drained",
				       json_object_new_boolean(orders[i].is_drained));
		json_object_object_add(record, "set_ms",
				       json_object_new_int64((int64_t)orders[i].position.era));
		return record;
	}
	return NULL;
}
