#include "cw_table.h"

#include <glib.h>
#include <json-c/json.h>
#include <math.h>
#include <string.h>

#define NAME_COLUMNS 3 /* organisation, model, version */
#define STEP	     "table.csv"

static const char *const csv_header = "organisation,model,version,weight,requests_per_s,tokens_per_"
				      "s,concurrent,cost_per_1k_tokens,"
				      "quality_target,state";

static enum cw_status add_cells(struct json_object *cells, char **fields, int line,
				struct cw_error *error);
static int name_is_valid(const char *name);

enum cw_status cw_table_edit_from_csv(const char *csv, const char *edit_id, const char *by,
				      char **record, struct cw_error *error)
{
	struct json_object *edit = json_object_new_object();
	struct json_object *cells = json_object_new_array();
	char **lines = g_strsplit(csv, "\n", -1);
	enum cw_status status = CW_OK;

	json_object_object_add(edit, "edit", json_object_new_string(edit_id));
	json_object_object_add(edit, "by", json_object_new_string(by));
	json_object_object_add(edit, "cells", cells);
	if (strcmp(g_strstrip(lines[0] ? lines[0] : ""), csv_header) != 0)
		status = cw_error_set(error, CW_INVALID, STEP, "", "line 1: the header must be %s",
				      csv_header);
	for (int i = 1; status == CW_OK && lines[i]; i++) {
		char **fields;

		g_strstrip(lines[i]);
		if (!*lines[i])
			continue;
		fields = g_strsplit(lines[i], ",", -1);
		status = add_cells(cells, fields, i + 1, error);
		g_strfreev(fields);
	}
	if (status == CW_OK)
		*record = g_strdup(json_object_to_json_string_ext(edit, JSON_C_TO_STRING_PLAIN));
	g_strfreev(lines);
	json_object_put(edit);
	return status;
}

char *cw_table_to_csv(const struct cw_table *table)
{
	GString *csv = g_string_new(csv_header);
	const struct cw_row *row;

	g_string_append_c(csv, '\n');
	TAILQ_FOREACH(row, cw_table_rows(table), link) {
		g_string_append_printf(csv, "%s,%s,%s", row->organisation, row->model,
				       row->version);
		for (int column = 0; column < CW_COLUMN_COUNT; column++) {
			char text[64];

			cw_cell_format(column, row->cell[column], text, sizeof(text));
			g_string_append_printf(csv, ",%s", text);
		}
		g_string_append_c(csv, '\n');
	}
	return g_string_free(csv, FALSE);
}

static enum cw_status add_cells(struct json_object *cells, char **fields, int line,
				struct cw_error *error)
{
	if (g_strv_length(fields) != NAME_COLUMNS + CW_COLUMN_COUNT)
		return cw_error_set(error, CW_INVALID, STEP, "", "line %d: %u fields, not %d", line,
				    g_strv_length(fields), NAME_COLUMNS + CW_COLUMN_COUNT);
	if (!name_is_valid(fields[0]) || !name_is_valid(fields[1]))
		return cw_error_set(error, CW_INVALID, STEP, "",
				    "line %d: bad organisation or model", line);
	for (int column = 0; column < CW_COLUMN_COUNT; column++) {
		const char *text = g_strstrip(fields[NAME_COLUMNS + column]);
		struct json_object *cell;
		double value;

		if (cw_cell_parse(column, text, &value) != CW_OK)
			return cw_error_set(error, CW_INVALID, STEP, "",
					    "line %d: %s cannot be '%s'", line,
					    cw_column_name(column), text);
		cell = json_object_new_object();
		json_object_object_add(cell, "organisation", json_object_new_string(fields[0]));
		json_object_object_add(cell, "model", json_object_new_string(fields[1]));
		json_object_object_add(cell, "version", json_object_new_string(fields[2]));
		json_object_object_add(cell, "column",
				       json_object_new_string(cw_column_name(column)));
		json_object_object_add(cell, "value", json_object_new_string(text));
		json_object_array_add(cells, cell);
	}
	return CW_OK;
}

static int name_is_valid(const char *name)
{
	if (!*name || strlen(name) >= CW_NAME_MAX)
		return 0;
	for (; *name; name++)
		if (!g_ascii_isprint(*name) || strchr("\"\\,\t", *name))
			return 0;
	return 1;
}
