#include "table_internal.h"

#include <glib.h>
#include <json-c/json.h>
#include <math.h>
#include <string.h>

#define STEP "table.fold"

struct cell_edit {
	const char *organisation;
	const char *model;
	const char *version;
	enum cw_column column;
	double value;
	int64_t set_ms;	 /* log time of the edit */
	int is_restored; /* the log had lost the edit: a cell that was set later keeps its value */
};

static enum cw_table_result apply_record(struct cw_table *table, uint64_t offset, int64_t time_ms,
					 struct json_object *record, struct cw_error *error);
static enum cw_table_result apply_edit(struct cw_table *table, uint64_t offset, int64_t time_ms,
				       struct json_object *record, struct json_object *cells,
				       struct cw_error *error);
static enum cw_table_result apply_drain(struct cw_table *table, uint64_t offset, int64_t time_ms,
					struct json_object *record, struct cw_error *error);
static enum cw_table_result check_cell(const struct cw_table *table, struct json_object *cell,
				       struct cell_edit *edit, struct cw_error *error);
static void apply_cell(struct cw_table *table, uint64_t offset, const struct cell_edit *edit);
static void owner_destroy(gpointer owner);
static int read_set_ms(struct json_object *source, int64_t *time_ms);
static void remember_lost_edits(struct cw_table *table, struct json_object *record);

struct cw_table *cw_table_create(void)
{
	struct cw_table *table = g_new0(struct cw_table, 1);

	TAILQ_INIT(&table->rows);
	table->by_id = g_hash_table_new(g_int64_hash, g_int64_equal);
	table->by_organisation = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	table->keys = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	table->owners = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, owner_destroy);
	table->unlogged_drains = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	table->routing_offsets = g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, g_free);
	table->applied_edits = g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, NULL);
	table->unlogged_edits = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	table->drains = cw_drains_create();
	return table;
}

void cw_table_destroy(struct cw_table *table)
{
	if (!table)
		return;
	table_clear(table);
	g_hash_table_destroy(table->by_id);
	g_hash_table_destroy(table->by_organisation);
	g_hash_table_destroy(table->keys);
	g_hash_table_destroy(table->owners);
	g_hash_table_destroy(table->unlogged_drains);
	g_array_unref(table->unlogged_edits);
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
	*result = apply_record(table, offset, time_ms, parsed, error);
	json_object_put(parsed);
	table->offset = offset;
	table->last = cw_record_id_create(offset, time_ms, record);
	return CW_OK;
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
	uint64_t id = table_hash_row_names(organisation, model, "");
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
	uint64_t id = table_hash_row_names(organisation, model, version);

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

static enum cw_table_result apply_record(struct cw_table *table, uint64_t offset, int64_t time_ms,
					 struct json_object *record, struct cw_error *error)
{
	struct json_object *cells;

	if (json_object_object_get_ex(record, "snapshot", NULL))
		return CW_TABLE_SNAPSHOT;
	if (json_object_object_get_ex(record, "key_sha256", NULL))
		return table_apply_key(table, time_ms, record, error);
	if (json_object_object_get_ex(record, "cells", &cells))
		return apply_edit(table, offset, time_ms, record, cells, error);
	if (json_object_object_get_ex(record, "failure_domain", NULL))
		return apply_drain(table, offset, time_ms, record, error);
	cw_error_set(error, CW_INVALID, STEP, "",
		     "neither cells, a key, a failure domain nor a snapshot");
	return CW_TABLE_MALFORMED;
}

static enum cw_table_result apply_edit(struct cw_table *table, uint64_t offset, int64_t time_ms,
				       struct json_object *record, struct json_object *cells,
				       struct cw_error *error)
{
	const char *id = table_get_string(record, "edit");
	size_t count =
		json_object_is_type(cells, json_type_array) ? json_object_array_length(cells) : 0;
	uint64_t id_hash = cw_hash_text(id, 0);
	/* Lost again, it is written again under the same id; applied twice, it changes nothing. */
	int is_restoring = json_object_object_get_ex(record, "edits", NULL);
	struct cell_edit *edits;
	enum cw_table_result result = CW_TABLE_APPLIED;

	/*
	 * An append whose answer was lost is retried, so the log may contain an edit twice. If the
	 * second record were applied, it would undo what another operator set in between: the cell
	 * would revert without an order.
	 */
	if (*id && !is_restoring && g_hash_table_contains(table->applied_edits, &id_hash))
		return CW_TABLE_DUPLICATE;
	if (!*id || count == 0) {
		cw_error_set(error, CW_INVALID, STEP, "", "an edit needs an id and cells");
		return CW_TABLE_MALFORMED;
	}
	edits = g_new0(struct cell_edit, count);
	for (size_t i = 0; result == CW_TABLE_APPLIED && i < count; i++) {
		edits[i].set_ms = time_ms;
		result = check_cell(table, json_object_array_get_idx(cells, i), &edits[i], error);
	}
	for (size_t i = 0; result == CW_TABLE_APPLIED && i < count; i++)
		apply_cell(table, offset, &edits[i]);
	if (result == CW_TABLE_APPLIED && !g_hash_table_contains(table->applied_edits, &id_hash))
		table_remember_edit_id(table, id_hash);
	if (result == CW_TABLE_APPLIED && is_restoring)
		remember_lost_edits(table, record);
	g_free(edits);
	return result;
}

enum cw_table_result table_apply_key(struct cw_table *table, int64_t time_ms,
				     struct json_object *record, struct cw_error *error)
{
	const char *organisation = table_get_string(record, "organisation");
	const char *key = table_get_string(record, "key_sha256");
	int is_restored;

	if (!*organisation || strlen(organisation) >= CW_NAME_MAX ||
	    strlen(key) != CW_SHA256_HEX - 1) {
		cw_error_set(error, CW_INVALID, STEP, "",
			     "a key needs an organisation and 64 hex digits");
		return CW_TABLE_MALFORMED;
	}
	is_restored = read_set_ms(record, &time_ms);
	table_set_key(table, organisation, key, is_restored, time_ms);
	return CW_TABLE_APPLIED;
}

static enum cw_table_result apply_drain(struct cw_table *table, uint64_t offset, int64_t time_ms,
					struct json_object *record, struct cw_error *error)
{
	const char *id = table_get_string(record, "edit");
	uint64_t id_hash = cw_hash_text(id, 0);
	struct cw_drain_order order;
	int is_restoring;

	is_restoring = read_set_ms(record, &time_ms);
	if (*id && !is_restoring && g_hash_table_contains(table->applied_edits, &id_hash))
		return CW_TABLE_DUPLICATE;
	if (!*id || !table_parse_drain(record, time_ms, offset, &order)) {
		cw_error_set(error, CW_INVALID, STEP, "",
			     "a drain needs an id, a failure domain and whether it is drained");
		return CW_TABLE_MALFORMED;
	}
	cw_drains_apply(table->drains, &order);
	if (table_has_drain_since(table, &order, time_ms + 1) == 0 &&
	    g_hash_table_remove(table->unlogged_drains, order.failure_domain))
		table->unlogged_count--;
	if (!g_hash_table_contains(table->applied_edits, &id_hash))
		table_remember_edit_id(table, id_hash);
	return CW_TABLE_APPLIED;
}

int table_parse_drain(struct json_object *source, int64_t time_ms, uint64_t offset,
		      struct cw_drain_order *order)
{
	const char *name = table_get_string(source, "failure_domain");
	struct json_object *drained;

	if (!json_object_object_get_ex(source, "drained", &drained) ||
	    !json_object_is_type(drained, json_type_boolean) || !*name)
		return 0;
	/* Offsets of a restored log are given out again: the time of the record goes first. */
	order->position = (struct cw_position){.era = (uint64_t)time_ms, .offset = offset};
	order->is_drained = json_object_get_boolean(drained);
	return g_strlcpy(order->failure_domain, name, CW_NAME_MAX) < CW_NAME_MAX;
}

static enum cw_table_result check_cell(const struct cw_table *table, struct json_object *cell,
				       struct cell_edit *edit, struct cw_error *error)
{
	const struct cw_row *row;
	struct json_object *expected;
	uint64_t revision;

	edit->organisation = table_get_string(cell, "organisation");
	edit->model = table_get_string(cell, "model");
	edit->version = table_get_string(cell, "version");
	if (!*edit->organisation || !*edit->model || strlen(edit->organisation) >= CW_NAME_MAX ||
	    strlen(edit->model) >= CW_NAME_MAX || strlen(edit->version) >= CW_NAME_MAX ||
	    cw_column_find(table_get_string(cell, "column"), &edit->column) != CW_OK ||
	    cw_cell_parse(edit->column, table_get_string(cell, "value"), &edit->value) != CW_OK) {
		cw_error_set(error, CW_INVALID, STEP, "", "%s/%s/%s: %s cannot be '%s'",
			     edit->organisation, edit->model, edit->version,
			     table_get_string(cell, "column"), table_get_string(cell, "value"));
		return CW_TABLE_MALFORMED;
	}
	edit->is_restored = read_set_ms(cell, &edit->set_ms);
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
	uint64_t id = table_hash_row_names(edit->organisation, edit->model, edit->version);
	struct cw_row *row = g_hash_table_lookup(table->by_id, &id);
	uint64_t route;

	if (!row)
		row = table_create_row(table, edit->organisation, edit->model, edit->version);
	if (edit->is_restored && !table_is_cell_older(row, edit->column, edit->set_ms + 1))
		return;
	if (edit->column == CW_COLUMN_STATE && row->cell[CW_COLUMN_STATE] == 1 && edit->value != 1)
		row->withdrawn_at = offset;
	row->cell[edit->column] = edit->value;
	row->revision[edit->column] = offset;
	row->set_ms[edit->column] = edit->set_ms;
	table_set_unlogged(table, row, edit->column, 0);
	if (edit->column == CW_COLUMN_STATE || edit->column == CW_COLUMN_WEIGHT) {
		route = table_hash_row_names(edit->organisation, edit->model, "");
		g_hash_table_replace(table->routing_offsets, table_copy_uint64(route),
				     table_copy_uint64(offset));
	}
}

/* A cell of which the time is unknown counts as later. */
int table_is_cell_older(const struct cw_row *row, enum cw_column column, int64_t time_ms)
{
	if (row->set_ms[column])
		return row->set_ms[column] < time_ms;
	return row->revision[column] == 0;
}

void table_set_unlogged(struct cw_table *table, struct cw_row *row, enum cw_column column,
			unsigned int is_unlogged)
{
	unsigned int bit = 1U << column;

	if (!(row->unlogged & bit) == !is_unlogged)
		return;
	row->unlogged ^= bit;
	table->unlogged_count += is_unlogged ? 1 : (size_t)-1;
}

/* A key that is restored replaces none that was set later. */
void table_set_key(struct cw_table *table, const char *organisation, const char *key_sha256,
		   int is_restored, int64_t time_ms)
{
	struct owner *owner = g_hash_table_lookup(table->owners, organisation);

	if (owner && is_restored && (!owner->set_ms || owner->set_ms > time_ms))
		return;
	if (!owner) {
		owner = g_new0(struct owner, 1);
		g_hash_table_insert(table->owners, g_strdup(organisation), owner);
	} else {
		g_hash_table_remove(table->keys, owner->key_sha256);
		g_free(owner->key_sha256);
	}
	owner->key_sha256 = g_ascii_strdown(key_sha256, -1);
	owner->set_ms = time_ms;
	table->unlogged_count -= (size_t)owner->is_unlogged;
	owner->is_unlogged = 0;
	g_hash_table_insert(table->keys, g_strdup(owner->key_sha256), g_strdup(organisation));
}

int table_has_drain_since(const struct cw_table *table, const struct cw_drain_order *order,
			  int64_t time_ms)
{
	struct cw_drain_order known[CW_DRAINS_MAX];
	size_t count = cw_drains_list(table->drains, known, CW_DRAINS_MAX);

	for (size_t i = 0; i < count; i++)
		if (!strcmp(known[i].failure_domain, order->failure_domain))
			return known[i].position.era >= (uint64_t)time_ms;
	return 0;
}

static void owner_destroy(gpointer owner)
{
	g_free(((struct owner *)owner)->key_sha256);
	g_free(owner);
}

/* 1: the record restores an edit of an earlier time, which replaces time_ms. */
static int read_set_ms(struct json_object *source, int64_t *time_ms)
{
	struct json_object *value;

	if (!json_object_object_get_ex(source, "set_ms", &value))
		return 0;
	*time_ms = json_object_get_int64(value);
	return 1;
}

/* A record that restores lost edits names their ids, so that none of them is applied again. */
static void remember_lost_edits(struct cw_table *table, struct json_object *record)
{
	struct json_object *ids;

	if (!json_object_object_get_ex(record, "edits", &ids) ||
	    !json_object_is_type(ids, json_type_array))
		return;
	for (size_t i = 0; i < json_object_array_length(ids); i++) {
		uint64_t id = (uint64_t)json_object_get_int64(json_object_array_get_idx(ids, i));

		if (!g_hash_table_contains(table->applied_edits, &id))
			table_remember_edit_id(table, id);
	}
	if (table->unlogged_count == 0)
		g_array_set_size(table->unlogged_edits, 0);
}

struct cw_row *table_create_row(struct cw_table *table, const char *organisation, const char *model,
				const char *version)
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
	row->id = table_hash_row_names(organisation, model, version);
	TAILQ_INSERT_TAIL(&table->rows, row, link);
	g_hash_table_insert(table->by_id, &row->id, row);
	return row;
}

uint64_t table_hash_row_names(const char *organisation, const char *model, const char *version)
{
	uint64_t id = cw_hash_text(organisation, 1);

	id = cw_hash_text(model, id);
	return cw_hash_text(version, id);
}

void table_remember_edit_id(struct cw_table *table, uint64_t id)
{
	size_t slot = table->edit_count % EDIT_IDS_MAX;

	if (table->edit_count >= EDIT_IDS_MAX)
		g_hash_table_remove(table->applied_edits, &table->edit_ids[slot]);
	table->edit_ids[slot] = id;
	table->edit_count++;
	g_hash_table_add(table->applied_edits, table_copy_uint64(id));
}

void table_clear(struct cw_table *table)
{
	struct cw_row *row;

	while ((row = TAILQ_FIRST(&table->rows))) {
		TAILQ_REMOVE(&table->rows, row, link);
		g_free(row);
	}
	g_hash_table_remove_all(table->by_id);
	g_hash_table_remove_all(table->by_organisation);
	g_hash_table_remove_all(table->keys);
	g_hash_table_remove_all(table->owners);
	g_hash_table_remove_all(table->unlogged_drains);
	table->unlogged_count = 0;
	g_array_set_size(table->unlogged_edits, 0);
	g_hash_table_remove_all(table->routing_offsets);
	g_hash_table_remove_all(table->applied_edits);
	table->edit_count = 0;
	cw_drains_destroy(table->drains);
	table->drains = cw_drains_create();
}

const char *table_get_string(struct json_object *object, const char *key)
{
	struct json_object *value;

	if (!json_object_object_get_ex(object, key, &value) || !value)
		return "";
	return json_object_get_string(value);
}

uint64_t table_get_uint64(struct json_object *object, const char *key)
{
	struct json_object *value;

	return json_object_object_get_ex(object, key, &value)
		       ? (uint64_t)json_object_get_int64(value)
		       : 0;
}

uint64_t *table_copy_uint64(uint64_t value)
{
	uint64_t *copy = g_new(uint64_t, 1);

	*copy = value;
	return copy;
}
