#include "lines.h"

#include <glib.h>
#include <string.h>

struct lines {
	GHashTable *by_path; /* path -> line */
	char *duplicate_key; /* path of the first one; NULL: none */
	const char *next;    /* next character to scan */
	int line;	     /* line of that character */
};

static void scan_value(struct lines *lines, const char *path);
static void scan_object(struct lines *lines, const char *path);
static void scan_array(struct lines *lines, const char *path);
static char *scan_string(struct lines *lines);
static void skip_blanks_and_comments(struct lines *lines);
static void record_path(struct lines *lines, const char *path);

struct lines *lines_create(const char *text)
{
	struct lines *lines = g_new0(struct lines, 1);

	lines->by_path = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	lines->next = text;
	lines->line = 1;
	scan_value(lines, "");
	return lines;
}

void lines_destroy(struct lines *lines)
{
	g_hash_table_destroy(lines->by_path);
	g_free(lines->duplicate_key);
	g_free(lines);
}

int lines_find_line(const struct lines *lines, const char *path)
{
	int line = GPOINTER_TO_INT(g_hash_table_lookup(lines->by_path, path));

	return line ? line : 1;
}

const char *lines_duplicate_key(const struct lines *lines)
{
	return lines->duplicate_key;
}

static void scan_value(struct lines *lines, const char *path)
{
	skip_blanks_and_comments(lines);
	if (*lines->next == '{')
		scan_object(lines, path);
	else if (*lines->next == '[')
		scan_array(lines, path);
	else if (*lines->next == '"')
		g_free(scan_string(lines));
	else
		while (*lines->next && !strchr(",]}\n", *lines->next))
			lines->next++;
}

static void scan_object(struct lines *lines, const char *path)
{
	lines->next++;
	for (skip_blanks_and_comments(lines); *lines->next && *lines->next != '}';
	     skip_blanks_and_comments(lines)) {
		char *key;
		char *item_path;

		if (*lines->next != '"') {
			lines->next++;
			continue;
		}
		key = scan_string(lines);
		item_path = *path ? g_strdup_printf("%s.%s", path, key) : g_strdup(key);
		record_path(lines, item_path);
		skip_blanks_and_comments(lines);
		if (*lines->next == ':')
			lines->next++;
		scan_value(lines, item_path);
		g_free(item_path);
		g_free(key);
	}
	if (*lines->next)
		lines->next++;
}

static void scan_array(struct lines *lines, const char *path)
{
	int index = 0;

	lines->next++;
	for (skip_blanks_and_comments(lines); *lines->next && *lines->next != ']';
	     skip_blanks_and_comments(lines)) {
		char *item_path;

		if (*lines->next == ',' || *lines->next == '}') {
			lines->next++;
			continue;
		}
		item_path = g_strdup_printf("%s[%d]", path, index++);
		record_path(lines, item_path);
		scan_value(lines, item_path);
		g_free(item_path);
	}
	if (*lines->next)
		lines->next++;
}

static char *scan_string(struct lines *lines)
{
	const char *start = ++lines->next;
	char *text;

	while (*lines->next && *lines->next != '"') {
		if (*lines->next == '\\' && lines->next[1])
			lines->next++;
		lines->line += *lines->next == '\n';
		lines->next++;
	}
	text = g_strndup(start, (gsize)(lines->next - start));
	if (*lines->next)
		lines->next++;
	return text;
}

static void skip_blanks_and_comments(struct lines *lines)
{
	while (*lines->next) {
		if (g_str_has_prefix(lines->next, "//")) {
			while (*lines->next && *lines->next != '\n')
				lines->next++;
		} else if (g_str_has_prefix(lines->next, "/*")) {
			while (*lines->next && !g_str_has_prefix(lines->next, "*/")) {
				lines->line += *lines->next == '\n';
				lines->next++;
			}
			lines->next += *lines->next ? 2 : 0;
		} else if (g_ascii_isspace(*lines->next)) {
			lines->line += *lines->next == '\n';
			lines->next++;
		} else {
			return;
		}
	}
}

static void record_path(struct lines *lines, const char *path)
{
	if (g_hash_table_contains(lines->by_path, path) && !lines->duplicate_key)
		lines->duplicate_key = g_strdup(path);
	g_hash_table_insert(lines->by_path, g_strdup(path), GINT_TO_POINTER(lines->line));
}
