#include "cwctl.h"

#include <glib.h>
#include <stdio.h>
#include <string.h>

struct grid {
	size_t columns;
	size_t *widths;
	GPtrArray *cells;
};

struct grid *grid_create(const char *const *titles, size_t columns)
{
	struct grid *grid = g_new0(struct grid, 1);

	grid->columns = columns;
	grid->widths = g_new0(size_t, columns);
	grid->cells = g_ptr_array_new_with_free_func(g_free);
	grid_add_row(grid, titles);
	return grid;
}

void grid_add_row(struct grid *grid, const char *const *cells)
{
	for (size_t i = 0; i < grid->columns; i++) {
		g_ptr_array_add(grid->cells, g_strdup(cells[i]));
		grid->widths[i] = MAX(grid->widths[i], strlen(cells[i]));
	}
}

void grid_print(struct grid *grid)
{
	for (guint i = 0; i < grid->cells->len; i++) {
		size_t column = i % grid->columns;
		const char *cell = g_ptr_array_index(grid->cells, i);

		if (column + 1 == grid->columns)
			printf("%s\n", cell);
		else
			printf("%-*s  ", (int)grid->widths[column], cell);
	}
	grid_destroy(grid);
}

void grid_destroy(struct grid *grid)
{
	g_ptr_array_unref(grid->cells);
	g_free(grid->widths);
	g_free(grid);
}

void print_json_line(struct json_object *object)
{
	printf("%s\n", json_object_to_json_string_ext(
			       object, JSON_C_TO_STRING_PLAIN | JSON_C_TO_STRING_NOSLASHESCAPE));
	json_object_put(object);
}
