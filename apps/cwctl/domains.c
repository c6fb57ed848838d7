/* cwctl domain: an operator's orders that stop or resume new requests to a failure domain. */
#include "cwctl.h"

#include <glib.h>
#include <stdio.h>
#include <string.h>

static enum exit_code append_order(const struct options *options, int is_drained);

enum exit_code domain_drain(const struct options *options)
{
	return append_order(options, 1);
}

enum exit_code domain_restore(const struct options *options)
{
	return append_order(options, 0);
}

enum exit_code domain_list(const struct options *options)
{
	static const char *const titles[] = {"failure domain", "state", "revision"};
	struct cw_error error = {0};
	struct cw_table *table = log_replay_table(options->platform, &error);
	struct cw_drain_order orders[CW_DRAINS_MAX];
	struct grid *grid;
	size_t count;

	if (!table)
		return report_error(&error);
	count = cw_drains_list(cw_table_drains(table), orders, CW_DRAINS_MAX);
	grid = options->json ? NULL : grid_create(titles, G_N_ELEMENTS(titles));
	for (size_t i = 0; i < count; i++) {
		const char *state = orders[i].is_drained ? "drained" : "in use";
		char revision[32];

		g_snprintf(revision, sizeof(revision), "%" G_GUINT64_FORMAT,
			   orders[i].position.offset);
		if (options->json) {
			struct json_object *line = json_object_new_object();

			json_object_object_add(line, "failure_domain",
					       json_object_new_string(orders[i].failure_domain));
			json_object_object_add(line, "state", json_object_new_string(state));
			json_object_object_add(
				line, "revision",
				json_object_new_int64((int64_t)orders[i].position.offset));
			print_json_line(line);
		} else {
			grid_add_row(grid, (const char *const[]){orders[i].failure_domain, state,
								 revision});
		}
	}
	if (grid)
		grid_print(grid);
	cw_table_destroy(table);
	return EXIT_DONE;
}

static enum exit_code append_order(const struct options *options, int is_drained)
{
	const char *name = options->arguments[0];
	struct json_object *record;
	enum exit_code code;
	char id[40];

	if (!name || !*name || strlen(name) >= CW_NAME_MAX) {
		fprintf(stderr, "cwctl: domain %s NAME\n", is_drained ? "drain" : "restore");
		return EXIT_USAGE;
	}
	generate_edit_id(id, sizeof(id));
	record = json_object_new_object();
	json_object_object_add(record, "edit", json_object_new_string(id));
	json_object_object_add(record, "by", json_object_new_string(g_get_user_name()));
	json_object_object_add(record, "failure_domain", json_object_new_string(name));
	json_object_object_add(record, "drained", json_object_new_boolean(is_drained));
	code = append_and_report(
		options, json_object_to_json_string_ext(record, JSON_C_TO_STRING_PLAIN), id);
	json_object_put(record);
	return code;
}
