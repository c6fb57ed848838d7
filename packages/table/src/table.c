#include "cw_table.h"

#include <glib.h>
#include <json-c/json.h>
#include <math.h>
#include <string.h>

#define EDIT_IDS_MAX 4096 /* newest edit ids remembered, to recognise repeated appends */
#define STEP	     "table.fold"

struct cw_table {
	uint64_t offset;
	struct cw_record_id last; /* record at this offset; its own offset is 0: unknown */
	struct cw_row_list rows;
	GHashTable *by_id;	     /* row id -> row */
	GHashTable *by_organisation; /* name -> struct cw_row_list */
	GHashTable *keys;	     /* SHA-256 of a caller's key -> organisation */
	GHashTable *routing_offsets; /* hash of organisation and model -> offset of last change */
	GHashTable *applied_edits;   /* set of the hashes in edit_ids */
	struct cw_drains *drains;
	uint64_t edit_ids[EDIT_IDS_MAX]; /* ring of the hashed ids of the newest edits */
	size_t edit_count;		 /* edits applied in total */
};

struct cell_edit {
	const char *organisation;
	const char *model;
	const char *version;
	enum cw_column column;
	double value;
};

static enum cw_table_result apply_record(struct cw_table *table, uint64_t offset,
					 struct json_object *record, struct cw_error *error);
static enum cw_table_result apply_edit(struct cw_table *table, uint64_t offset,
				       struct json_object *record, struct json_object *cells,
				       struct cw_error *error);
static enum cw_table_result apply_key(struct cw_table *table, struct json_object *record,
				      struct cw_error *error);
static enum cw_table_result apply_drain(struct cw_table *table, uint64_t offset,
					struct json_object *record, struct cw_error *error);
static int parse_drain(struct json_object *source, uint64_t offset, struct cw_drain_order *order);
static struct json_object *format_drains(const struct cw_table *table);
static enum cw_table_result check_cell(const struct cw_table *table, struct json_object *cell,
				       struct cell_edit *edit, struct cw_error *error);
static void apply_cell(struct cw_table *table, uint64_t offset, const struct cell_edit *edit);
static struct cw_row *create_row(struct cw_table *table, const char *organisation,
				 const char *model, const char *version);
static uint64_t hash_row_names(const char *organisation, const char *model, const char *version);
static void remember_edit_id(struct cw_table *table, uint64_t id);
static void load_last_record(struct cw_table *table, struct json_object *snapshot);
static void load_row(struct cw_table *table, struct json_object *source);
static void load_drain(struct cw_table *table, struct json_object *source);
static void clear_table(struct cw_table *table);
static const char *get_string(struct json_object *object, const char *key);
static uint64_t get_uint64(struct json_object *object, const char *key);
static uint64_t *copy_uint64(uint64_t value);

struct cw_table *cw_table_create(void)
{
	struct cw_table *table = g_new0(struct cw_table, 1);

	TAILQ_INIT(&table->rows);
	table->by_id = g_hash_table_new(g_int64_hash, g_int64_equal);
	table->by_organisation = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	table->keys = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	table->routing_offsets = g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, g_free);
	table->applied_edits = g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, NULL);
	table->drains = cw_drains_create();
	return table;
}

void cw_table_destroy(struct cw_table *table)
{
	if (!table)
		return;
	clear_table(table);
	g_hash_table_destroy(table->by_id);
	g_hash_table_destroy(table->by_organisation);
	g_hash_table_destroy(table->keys);
	g_hash_table_destroy(table->routing_offsets);
	g_hash_table_destroy(table->applied_edits);
	cw_drains_destroy(table->drains);
	g_free(table);
}

enum cw_status cw_table_apply_record(struct cw_table *table, uint64_t offset, int64_t time_ms,
				     const char *record, enum cw_table_result *result,
				     struct cw_error *error)
{
	struct json_object *parsed;

	/* Only the next offset is applied: a gap or a repeat would make instances diverge. */
	if (offset != table->offset + 1)
		return cw_error_set(error, CW_INVALID, STEP, "",
				    "offset %" G_GUINT64_FORMAT
				    " does not follow %" G_GUINT64_FORMAT,
				    offset, table->offset);
	parsed = json_tokener_parse(record);
	*result = apply_record(table, offset, parsed, error);
	json_object_put(parsed);
	table->offset = offset;
	table->last = cw_record_id_create(offset, time_ms, record);
	return CW_OK;
}

enum cw_status cw_table_load_snapshot(struct cw_table *table, const char *record,
				      struct cw_error *error)
{
	struct json_object *parsed = json_tokener_parse(record);
	struct json_object *snapshot;
	struct json_object *list;
	enum cw_status status = CW_OK;

	if (!json_object_object_get_ex(parsed, "snapshot", &snapshot)) {
		status = cw_error_set(error, CW_INVALID, "table.load", "", "not a snapshot");
	} else if (get_uint64(snapshot, "offset") <= table->offset) {
		status = cw_error_set(error, CW_REFUSED, "table.load", "",
				      "the snapshot is older than the table");
	} else {
		clear_table(table);
		table->offset = get_uint64(snapshot, "offset");
		load_last_record(table, snapshot);
		json_object_object_get_ex(snapshot, "rows", &list);
		for (size_t i = 0; i < json_object_array_length(list); i++)
			load_row(table, json_object_array_get_idx(list, i));
		json_object_object_get_ex(snapshot, "keys", &list);
		for (size_t i = 0; i < json_object_array_length(list); i++)
			apply_key(table, json_object_array_get_idx(list, i), NULL);
		json_object_object_get_ex(snapshot, "edits", &list);
		for (size_t i = 0; i < json_object_array_length(list); i++)
			remember_edit_id(table, (uint64_t)json_object_get_int64(
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
	struct json_object *edits = json_object_new_array();
	const struct cw_row *row;
	GHashTableIter iter;
	gpointer key, organisation;
	size_t oldest = table->edit_count > EDIT_IDS_MAX ? table->edit_count - EDIT_IDS_MAX : 0;
	char *text;

	TAILQ_FOREACH(row, &table->rows, link) {
		struct json_object *out = json_object_new_object();
		struct json_object *cells = json_object_new_array();

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
		}
		json_object_object_add(out, "cells", cells);
		json_object_array_add(rows, out);
	}
	g_hash_table_iter_init(&iter, table->keys);
	while (g_hash_table_iter_next(&iter, &key, &organisation)) {
		struct json_object *out = json_object_new_object();

		json_object_object_add(out, "organisation", json_object_new_string(organisation));
		json_object_object_add(out, "key_sha256", json_object_new_string(key));
		json_object_array_add(keys, out);
	}
	for (size_t i = oldest; i < table->edit_count; i++)
		json_object_array_add(
			edits, json_object_new_int64((int64_t)table->edit_ids[i % EDIT_IDS_MAX]));
	json_object_object_add(snapshot, "offset", json_object_new_int64((int64_t)table->offset));
	json_object_object_add(snapshot, "time_ms", json_object_new_int64(table->last.time_ms));
	json_object_object_add(snapshot, "checksum",
			       json_object_new_int64((int64_t)table->last.checksum));
	json_object_object_add(snapshot, "rows", rows);
	json_object_object_add(snapshot, "keys", keys);
	json_object_object_add(snapshot, "edits", edits);
	json_object_object_add(snapshot, "drains", format_drains(table));
	json_object_object_add(record, "snapshot", snapshot);
	text = g_strdup(json_object_to_json_string_ext(record, JSON_C_TO_STRING_PLAIN));
	json_object_put(record);
	return text;
}

uint64_t cw_table_offset(const struct cw_table *table)
{
	return table->offset;
}

struct cw_record_id cw_table_last_record(const struct cw_table *table)
{
	return table->last;
}

uint64_t cw_table_routing_offset(const struct cw_table *table, const char *organisation,
				 const char *model)
{
	uint64_t id = hash_row_names(organisation, model, "");
	uint64_t *offset = g_hash_table_lookup(table->routing_offsets, &id);

	return offset ? *offset : 0;
}

const char *cw_table_find_organisation(const struct cw_table *table, const char *key_sha256)
{
	return g_hash_table_lookup(table->keys, key_sha256);
}

const struct cw_row *cw_table_find_row(const struct cw_table *table, const char *organisation,
				       const char *model, const char *version)
{
	uint64_t id = hash_row_names(organisation, model, version);

	return g_hash_table_lookup(table->by_id, &id);
}

const struct cw_row *cw_table_find_row_by_id(const struct cw_table *table, uint64_t id)
{
	return g_hash_table_lookup(table->by_id, &id);
}

int cw_table_is_allowed(const struct cw_row *row)
{
	return row && row->cell[CW_COLUMN_STATE] == 1;
}

int cw_table_is_binding_valid(const struct cw_row *row, uint64_t bound_at)
{
	return cw_table_is_allowed(row) && row->withdrawn_at <= bound_at;
}

const struct cw_drains *cw_table_drains(const struct cw_table *table)
{
	return table->drains;
}

const struct cw_row_list *cw_table_rows(const struct cw_table *table)
{
	return &table->rows;
}

const struct cw_row_list *cw_table_organisation_rows(const struct cw_table *table,
						     const char *organisation)
{
	return g_hash_table_lookup(table->by_organisation, organisation);
}

size_t cw_table_memory_bytes(const struct cw_table *table)
{
	size_t rows = g_hash_table_size(table->by_id);

	return sizeof(*table) + rows * (sizeof(struct cw_row) + 32) +
	       g_hash_table_size(table->keys) * 160;
}

static enum cw_table_result apply_record(struct cw_table *table, uint64_t offset,
					 struct json_object *record, struct cw_error *error)
{
	struct json_object *cells;

	if (json_object_object_get_ex(record, "snapshot", NULL))
		return CW_TABLE_SNAPSHOT;
	if (json_object_object_get_ex(record, "key_sha256", NULL))
		return apply_key(table, record, error);
	if (json_object_object_get_ex(record, "cells", &cells))
		return apply_edit(table, offset, record, cells, error);
	if (json_object_object_get_ex(record, "failure_domain", NULL))
		return apply_drain(table, offset, record, error);
	cw_error_set(error, CW_INVALID, STEP, "",
		     "neither cells, a key, a failure domain nor a snapshot");
	return CW_TABLE_MALFORMED;
}

static enum cw_table_result apply_edit(struct cw_table *table, uint64_t offset,
				       struct json_object *record, struct json_object *cells,
				       struct cw_error *error)
{
	const char *id = get_string(record, "edit");
	size_t count =
		json_object_is_type(cells, json_type_array) ? json_object_array_length(cells) : 0;
	uint64_t id_hash = cw_hash_text(id, 0);
	struct cell_edit *edits;
	enum cw_table_result result = CW_TABLE_APPLIED;

	/*
	 * An append whose answer was lost is retried, so the log may contain an edit twice. If the
	 * second record were applied, it would undo what another operator set in between: the cell
	 * would revert without an order.
	 */
	if (*id && g_hash_table_contains(table->applied_edits, &id_hash))
		return CW_TABLE_DUPLICATE;
	if (!*id || count == 0) {
		cw_error_set(error, CW_INVALID, STEP, "", "an edit needs an id and cells");
		return CW_TABLE_MALFORMED;
	}
	edits = g_new0(struct cell_edit, count);
	for (size_t i = 0; result == CW_TABLE_APPLIED && i < count; i++)
		result = check_cell(table, json_object_array_get_idx(cells, i), &edits[i], error);
	for (size_t i = 0; result == CW_TABLE_APPLIED && i < count; i++)
		apply_cell(table, offset, &edits[i]);
	if (result == CW_TABLE_APPLIED)
		remember_edit_id(table, id_hash);
	g_free(edits);
	return result;
}

static enum cw_table_result apply_key(struct cw_table *table, struct json_object *record,
				      struct cw_error *error)
{
	const char *organisation = get_string(record, "organisation");
	const char *key = get_string(record, "key_sha256");
	GHashTableIter iter;
	gpointer owner;

	if (!*organisation || strlen(organisation) >= CW_NAME_MAX ||
	    strlen(key) != CW_SHA256_HEX - 1) {
		cw_error_set(error, CW_INVALID, STEP, "",
			     "a key needs an organisation and 64 hex digits");
		return CW_TABLE_MALFORMED;
	}
	g_hash_table_iter_init(&iter, table->keys);
	while (g_hash_table_iter_next(&iter, NULL, &owner))
		if (!strcmp(owner, organisation))
			g_hash_table_iter_remove(&iter);
	g_hash_table_insert(table->keys, g_ascii_strdown(key, -1), g_strdup(organisation));
	return CW_TABLE_APPLIED;
}

static enum cw_table_result apply_drain(struct cw_table *table, uint64_t offset,
					struct json_object *record, struct cw_error *error)
{
	const char *id = get_string(record, "edit");
	uint64_t id_hash = cw_hash_text(id, 0);
	struct cw_drain_order order;

	if (*id && g_hash_table_contains(table->applied_edits, &id_hash))
		return CW_TABLE_DUPLICATE;
	if (!*id || !parse_drain(record, offset, &order)) {
		cw_error_set(error, CW_INVALID, STEP, "",
			     "a drain needs an id, a failure domain and whether it is drained");
		return CW_TABLE_MALFORMED;
	}
	cw_drains_apply(table->drains, &order);
	remember_edit_id(table, id_hash);
	return CW_TABLE_APPLIED;
}

static int parse_drain(struct json_object *source, uint64_t offset, struct cw_drain_order *order)
{
	const char *name = get_string(source, "failure_domain");
	struct json_object *drained;

	if (!json_object_object_get_ex(source, "drained", &drained) ||
	    !json_object_is_type(drained, json_type_boolean) || !*name)
		return 0;
	order->position = (struct cw_position){.offset = offset};
	order->is_drained = json_object_get_boolean(drained);
	return g_strlcpy(order->failure_domain, name, CW_NAME_MAX) < CW_NAME_MAX;
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
		json_object_array_add(list, out);
	}
	return list;
}

static enum cw_table_result check_cell(const struct cw_table *table, struct json_object *cell,
				       struct cell_edit *edit, struct cw_error *error)
{
	const struct cw_row *row;
	struct json_object *expected;
	uint64_t revision;

	edit->organisation = get_string(cell, "organisation");
	edit->model = get_string(cell, "model");
	edit->version = get_string(cell, "version");
	if (!*edit->organisation || !*edit->model || strlen(edit->organisation) >= CW_NAME_MAX ||
	    strlen(edit->model) >= CW_NAME_MAX || strlen(edit->version) >= CW_NAME_MAX ||
	    cw_column_find(get_string(cell, "column"), &edit->column) != CW_OK ||
	    cw_cell_parse(edit->column, get_string(cell, "value"), &edit->value) != CW_OK) {
		cw_error_set(error, CW_INVALID, STEP, "", "%s/%s/%s: %s cannot be '%s'",
			     edit->organisation, edit->model, edit->version,
			     get_string(cell, "column"), get_string(cell, "value"));
		return CW_TABLE_MALFORMED;
	}
	if (!json_object_object_get_ex(cell, "if_revision", &expected))
		return CW_TABLE_APPLIED;
	row = cw_table_find_row(table, edit->organisation, edit->model, edit->version);
	revision = row ? row->revision[edit->column] : 0;
	if (revision == (uint64_t)json_object_get_int64(expected))
		return CW_TABLE_APPLIED;
	cw_error_set(error, CW_REFUSED, STEP, "", "%s/%s/%s %s is at revision %" G_GUINT64_FORMAT,
		     edit->organisation, edit->model, edit->version, cw_column_name(edit->column),
		     revision);
	return CW_TABLE_CONFLICT;
}

static void apply_cell(struct cw_table *table, uint64_t offset, const struct cell_edit *edit)
{
	uint64_t id = hash_row_names(edit->organisation, edit->model, edit->version);
	struct cw_row *row = g_hash_table_lookup(table->by_id, &id);
	uint64_t route;

	if (!row)
		row = create_row(table, edit->organisation, edit->model, edit->version);
	if (edit->column == CW_COLUMN_STATE && row->cell[CW_COLUMN_STATE] == 1 && edit->value != 1)
		row->withdrawn_at = offset;
	row->cell[edit->column] = edit->value;
	row->revision[edit->column] = offset;
	if (edit->column == CW_COLUMN_STATE || edit->column == CW_COLUMN_WEIGHT) {
		route = hash_row_names(edit->organisation, edit->model, "");
		g_hash_table_replace(table->routing_offsets, copy_uint64(route),
				     copy_uint64(offset));
	}
}

static struct cw_row *create_row(struct cw_table *table, const char *organisation,
				 const char *model, const char *version)
{
	struct cw_row_list *organisation_rows =
		g_hash_table_lookup(table->by_organisation, organisation);
	struct cw_row *row = g_new0(struct cw_row, 1);

	if (!organisation_rows) {
		organisation_rows = g_new0(struct cw_row_list, 1);
		TAILQ_INIT(organisation_rows);
		g_hash_table_insert(table->by_organisation, g_strdup(organisation),
				    organisation_rows);
	}
	TAILQ_INSERT_TAIL(organisation_rows, row, organisation_link);
	g_strlcpy(row->organisation, organisation, CW_NAME_MAX);
	g_strlcpy(row->model, model, CW_NAME_MAX);
	g_strlcpy(row->version, version, CW_NAME_MAX);
	for (int column = CW_COLUMN_REQUESTS_PER_S; column < CW_COLUMN_STATE; column++)
		row->cell[column] = NAN;
	row->id = hash_row_names(organisation, model, version);
	TAILQ_INSERT_TAIL(&table->rows, row, link);
	g_hash_table_insert(table->by_id, &row->id, row);
	return row;
}

static uint64_t hash_row_names(const char *organisation, const char *model, const char *version)
{
	uint64_t id = cw_hash_text(organisation, 1);

	id = cw_hash_text(model, id);
	return cw_hash_text(version, id);
}

static void remember_edit_id(struct cw_table *table, uint64_t id)
{
	size_t slot = table->edit_count % EDIT_IDS_MAX;

	if (table->edit_count >= EDIT_IDS_MAX)
		g_hash_table_remove(table->applied_edits, &table->edit_ids[slot]);
	table->edit_ids[slot] = id;
	table->edit_count++;
	g_hash_table_add(table->applied_edits, copy_uint64(id));
}

static void load_last_record(struct cw_table *table, struct json_object *snapshot)
{
	table->last = (struct cw_record_id){.time_ms = (int64_t)get_uint64(snapshot, "time_ms"),
					    .checksum = get_uint64(snapshot, "checksum")};
	if (table->last.time_ms)
		table->last.offset = table->offset;
}

static void load_row(struct cw_table *table, struct json_object *source)
{
	struct cw_row *row = create_row(table, get_string(source, "organisation"),
					get_string(source, "model"), get_string(source, "version"));
	uint64_t route = hash_row_names(row->organisation, row->model, "");
	uint64_t *offset = g_hash_table_lookup(table->routing_offsets, &route);
	uint64_t changed = offset ? *offset : 0;
	struct json_object *cells;

	row->withdrawn_at = get_uint64(source, "withdrawn_at");
	json_object_object_get_ex(source, "cells", &cells);
	for (int column = 0; column < CW_COLUMN_COUNT; column++) {
		struct json_object *value = json_object_array_get_idx(cells, (size_t)column * 2);
		struct json_object *revision =
			json_object_array_get_idx(cells, (size_t)column * 2 + 1);

		if (!value || cw_cell_parse(column, json_object_get_string(value),
					    &row->cell[column]) != CW_OK)
			continue;
		row->revision[column] = (uint64_t)json_object_get_int64(revision);
	}
	changed = MAX(changed, row->revision[CW_COLUMN_STATE]);
	changed = MAX(changed, row->revision[CW_COLUMN_WEIGHT]);
	g_hash_table_replace(table->routing_offsets, copy_uint64(route), copy_uint64(changed));
}

static void load_drain(struct cw_table *table, struct json_object *source)
{
	struct cw_drain_order order;

	if (parse_drain(source, get_uint64(source, "offset"), &order))
		cw_drains_apply(table->drains, &order);
}

static void clear_table(struct cw_table *table)
{
	struct cw_row *row;

	while ((row = TAILQ_FIRST(&table->rows))) {
		TAILQ_REMOVE(&table->rows, row, link);
		g_free(row);
	}
	g_hash_table_remove_all(table->by_id);
	g_hash_table_remove_all(table->by_organisation);
	g_hash_table_remove_all(table->keys);
	g_hash_table_remove_all(table->routing_offsets);
	g_hash_table_remove_all(table->applied_edits);
	table->edit_count = 0;
	cw_drains_destroy(table->drains);
	table->drains = cw_drains_create();
}

static const char *get_string(struct json_object *object, const char *key)
{
	struct json_object *value;

	if (!json_object_object_get_ex(object, key, &value) || !value)
		return "";
	return json_object_get_string(value);
}

static uint64_t get_uint64(struct json_object *object, const char *key)
{
	struct json_object *value;

	return json_object_object_get_ex(object, key, &value)
		       ? (uint64_t)json_object_get_int64(value)
		       : 0;
}

static uint64_t *copy_uint64(uint64_t value)
{
	uint64_t *copy = g_new(uint64_t, 1);

	*copy = value;
	return copy;
}
