/* cwctl quarantine: requests that are sent nowhere, since backend servers ended under them. */
#include "cwctl.h"

#include <glib.h>
#include <stdio.h>

#define PATH "/quarantine"

/* Every instance has the whole list: the first that is reached tells it. */
enum exit_code show_quarantine(const struct options *options)
{
	static const char *const titles[] = {"fingerprint", "organisation", "target", "ends",
					     "held for ms"};
	struct json_object *answer = NULL;
	struct json_object *list;
	struct grid *grid;
	int status;

	for (size_t i = 0; options->operators[i] && !answer; i++) {
		char *body = operator_call(options->operators[i], "GET", PATH, &status);

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
			print_json(json_object_get(item));
		else
			grid_row(grid, (const char *const[]){text_of(item, "fingerprint"),
							     text_of(item, "organisation"),
							     text_of(item, "target"),
							     text_of(item, "ends"),
							     text_of(item, "age_ms")});
	}
	if (grid)
		grid_print(grid);
	json_object_put(answer);
	return EXIT_DONE;
}

/* One instance is told, and tells the others. */
enum exit_code release_quarantined(const struct options *options)
{
	char *path;
	int status = 0;
	char *body = NULL;

	if (!options->words[0]) {
		fprintf(stderr, "cwctl: which fingerprint? quarantine list shows them\n");
		return EXIT_WRONG_USE;
	}
	path = g_strdup_printf(PATH "/%s", options->words[0]);
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
	fprintf(stderr, "cwctl: %s is not on the list\n", options->words[0]);
	return EXIT_REFUSED;
}
