/* cwctl table and cwctl organisation. */
#include "cwctl.h"
#include "cw_platform.h"

#include <glib.h>
#include <stdio.h>
#include <string.h>

#define KEY_BYTES 24 /* random bytes of an API key, before hex encoding */

enum exit_code table_publish(const struct options *options)
{
	struct cw_error error = {0};
	GError *failure = NULL;
	enum exit_code code;
	char *record = NULL;
	char id[40];
	char *csv;

	if (!options->arguments[0]) {
		fprintf(stderr, "cwctl: table publish FILE.csv\n");
		return EXIT_USAGE;
	}
	if (!g_file_get_contents(options->arguments[0], &csv, NULL, &failure)) {
		fprintf(stderr, "cwctl: %s\n", failure->message);
		g_error_free(failure);
		return EXIT_USAGE;
	}
	generate_edit_id(id, sizeof(id));
	if (cw_table_edit_from_csv(csv, id, g_get_user_name(), &record, &error) != CW_OK) {
		fprintf(stderr, "cwctl: %s: %s\n", options->arguments[0], error.message);
		g_free(csv);
		return EXIT_REFUSED;
	}
	code = append_and_report(options, record, id);
	g_free(record);
	g_free(csv);
	return code;
}

enum exit_code table_set(const struct options *options)
{
	struct json_object *edit;
	struct json_object *cells;
	struct json_object *cell;
	enum cw_column column;
	enum exit_code code;
	double value;
	char id[40];

	if (g_strv_length(options->arguments) != 5) {
		fprintf(stderr, "cwctl: table set ORGANISATION MODEL VERSION COLUMN VALUE (VERSION "
				"\"\" for a service)\n");
		return EXIT_USAGE;
	}
	if (cw_column_find(options->arguments[3], &column) != CW_OK ||
	    cw_cell_parse(column, options->arguments[4], &value) != CW_OK) {
		fprintf(stderr, "cwctl: %s cannot be '%s'\n", options->arguments[3],
			options->arguments[4]);
		return EXIT_REFUSED;
	}
	generate_edit_id(id, sizeof(id));
	edit = json_object_new_object();
	cells = json_object_new_array();
	cell = json_object_new_object();
	json_object_object_add(edit, "edit", json_object_new_string(id));
	json_object_object_add(edit, "by", json_object_new_string(g_get_user_name()));
	json_object_object_add(edit, "cells", cells);
	json_object_array_add(cells, cell);
	json_object_object_add(cell, "organisation", json_object_new_string(options->arguments[0]));
	json_object_object_add(cell, "model", json_object_new_string(options->arguments[1]));
	json_object_object_add(cell, "version", json_object_new_string(options->arguments[2]));
	json_object_object_add(cell, "column", json_object_new_string(options->arguments[3]));
	json_object_object_add(cell, "value", json_object_new_string(options->arguments[4]));
	if (options->if_revision)
		json_object_object_add(
			cell, "if_revision",
			json_object_new_int64(g_ascii_strtoll(options->if_revision, NULL, 10)));
	code = append_and_report(options,
				 json_object_to_json_string_ext(edit, JSON_C_TO_STRING_PLAIN), id);
	json_object_put(edit);
	return code;
}

enum exit_code table_show(const struct options *options)
{
	static const char *const titles[] = {"organisation", "model",	 "version",    "weight",
					     "requests/s",   "tokens/s", "concurrent", "cost/1k",
					     "quality",	     "state",	 "revision"};
	struct cw_error error = {0};
	struct cw_table *table = log_replay_table(options->platform, &error);
	const struct cw_row *row;
	struct grid *grid;

	if (!table)
		return report_error(&error);
	if (options->csv) {
		char *csv = cw_table_to_csv(table);

		printf("%s", csv);
		g_free(csv);
		cw_table_destroy(table);
		return EXIT_DONE;
	}
	grid = options->json ? NULL : grid_create(titles, G_N_ELEMENTS(titles));
	TAILQ_FOREACH(row, cw_table_rows(table), link) {
		char text[CW_COLUMN_COUNT][64];
		char revision[32];
		const char *cells[] = {row->organisation, row->model, row->version, text[0],
				       text[1],		  text[2],    text[3],	    text[4],
				       text[5],		  text[6],    revision};
		struct json_object *line = options->json ? json_object_new_object() : NULL;
		uint64_t newest = 0;

		for (int column = 0; column < CW_COLUMN_COUNT; column++) {
			cw_cell_format(column, row->cell[column], text[column],
				       sizeof(text[column]));
			newest = MAX(newest, row->revision[column]);
			if (line)
				json_object_object_add(line, cw_column_name(column),
						       json_object_new_string(text[column]));
		}
		g_snprintf(revision, sizeof(revision), "%" G_GUINT64_FORMAT, newest);
		if (line) {
			json_object_object_add(line, "organisation",
					       json_object_new_string(row->organisation));
			json_object_object_add(line, "model", json_object_new_string(row->model));
			json_object_object_add(line, "version",
					       json_object_new_string(row->version));
			json_object_object_add(line, "revision",
					       json_object_new_int64((int64_t)newest));
			print_json_line(line);
		} else {
			grid_add_row(grid, cells);
		}
	}
	if (grid)
		grid_print(grid);
	cw_table_destroy(table);
	return EXIT_DONE;
}

enum exit_code organisation_add(const struct options *options)
{
	uint8_t random[KEY_BYTES];
	char key[2 * KEY_BYTES + 4] = "cw-";
	char digest[CW_SHA256_HEX];
	struct json_object *record;
	enum exit_code code;
	uint64_t offset = 0;

	if (!options->arguments[0] || !*options->arguments[0] ||
	    strlen(options->arguments[0]) >= CW_NAME_MAX) {
		fprintf(stderr, "cwctl: organisation add NAME\n");
		return EXIT_USAGE;
	}
	cw_random_bytes(random, sizeof(random));
	for (size_t i = 0; i < KEY_BYTES; i++)
		g_snprintf(key + 3 + 2 * i, 3, "%02x", random[i]);
	cw_sha256_hex(key, strlen(key), digest);
	record = json_object_new_object();
	json_object_object_add(record, "organisation",
			       json_object_new_string(options->arguments[0]));
	json_object_object_add(record, "key_sha256", json_object_new_string(digest));
	code = log_append_confirmed(options->platform,
				    json_object_to_json_string_ext(record, JSON_C_TO_STRING_PLAIN),
				    digest, &offset);
	if (code == EXIT_DONE && options->json)
		printf("{\"organisation\":\"%s\",\"key\":\"%s\"}\n", options->arguments[0], key);
	else if (code == EXIT_DONE)
		printf("%s\n", key);
	json_object_put(record);
	return code;
}

void generate_edit_id(char *id, size_t size)
{
	uint64_t random[2];

	cw_random_bytes(random, sizeof(random));
	g_snprintf(id, size, "%016" G_GINT64_MODIFIER "x%08x", random[0], (unsigned int)random[1]);
}

enum exit_code append_and_report(const struct options *options, const char *record,
				 const char *edit_id)
{
	uint64_t offset = 0;
	enum exit_code code = log_append_confirmed(options->platform, record, edit_id, &offset);

	if (code != EXIT_DONE)
		return code;
	if (options->json)
		printf("{\"accepted\":true,\"revision\":%" G_GUINT64_FORMAT "}\n", offset);
	else
		printf("accepted at revision %" G_GUINT64_FORMAT "\n", offset);
	return EXIT_DONE;
}
