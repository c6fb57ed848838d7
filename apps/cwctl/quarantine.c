/* cwctl quarantine: requests that are not dispatched, since backend servers crashed while running
 * them. */
#include "cwctl.h"

#include <glib.h>
#include <stdio.h>

#define QUARANTINE_PATH "/quarantine"

/* Every instance has the whole list: the first one that answers is used. */
enum exit_code show_quarantine(const struct options *options)
{
	static const char *const titles[] = {"fingerprint", "organisation", "target", "ends",
					     "held for ms"};
	struct json_object *answer = NULL;
	struct json_object *list;
	struct grid *grid;
	int status;

	for (size_t i = 0; options->operators[i] && !answer; i++) {
		char *body = operator_call(options->operators[i], "GET", QUARANTINE_PATH, &status);

		if (body && status == 200)
			answer = json_tokener_parse(body);
		g_free(body);
	}
	if (!json_object_object_get_ex(answer, "quarantined", &list)) {
		fprintf(stderr, "cwctl: no instance can be reached\n");
		json_object_put(answer);
		return EXIT_UNREACHABLE;
	}
	grid = options->json ? NULL : grid_create(titles, G_N_ELEMENTS(titles));
	for (size_t i = 0; i < json_object_array_length(list); i++) {
		struct json_object *item = json_object_array_get_idx(list, i);

		if (options->json)
			print_json_line(json_object_get(item));
		else
			grid_add_row(grid,
				     (const char *const[]){json_member_text(item, "fingerprint"),
							   json_member_text(item, "organisation"),
							   json_member_text(item, "target"),
							   json_member_text(item, "ends"),
							   json_member_text(item, "age_ms")});
	}
	if (grid)
		grid_print(grid);
	json_object_put(answer);
	return EXIT_DONE;
}

/* One instance gets the order and announces the release to the others. */
enum exit_code release_quarantined(const struct options *options)
{
	char *path;
	int status = 0;
	char *body = NULL;

	if (!options->arguments[0]) {
		fprintf(stderr, "cwctl: which fingerprint? quarantine list shows them\n");
		return EXIT_USAGE;
	}
	path = g_strdup_printf(QUARANTINE_PATH "/%s", options->arguments[0]);
	for (size_t i = 0; options->operators[i] && !body; i++)
		body = operator_call(options->operators[i], "DELETE", path, &status);
	g_free(path);
	if (!body) {
		fprintf(stderr, "cwctl: no instance can be reached\n");
		return EXIT_UNREACHABLE;
	}
	g_free(body);
	if (status == 200)
		return EXIT_DONE;
	fprintf(stderr, "cwctl: %s is not on the list\n", options->arguments[0]);
	return EXIT_REFUSED;
}
