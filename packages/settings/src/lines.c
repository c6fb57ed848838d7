#include "lines.h"

#include <glib.h>
#include <string.h>

struct lines {
	GHashTable *by_path;
	char *repeated;
	const char *at;
	int line;
};

static void scan_value(struct lines *lines, const char *path);
static void scan_object(struct lines *lines, const char *path);
static void scan_array(struct lines *lines, const char *path);
static char *scan_string(struct lines *lines);
static void skip_blank(struct lines *lines);
static void note(struct lines *lines, const char *path);

struct lines *lines_create(const char *text)
{
	struct lines *lines = g_new0(struct lines, 1);

	lines->by_path = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	lines->at = text;
	lines->line = 1;
	scan_value(lines, "");
	return lines;
}

void lines_destroy(struct lines *lines)
{
	g_hash_table_destroy(lines->by_path);
	g_free(lines->repeated);
	g_free(lines);
}

int lines_of(const struct lines *lines, const char *path)
{
	int line = GPOINTER_TO_INT(g_hash_table_lookup(lines->by_path, path));

	return line ? line : 1;
}

const char *lines_repeated(const struct lines *lines)
{
	return lines->repeated;
}

static void scan_value(struct lines *lines, const char *path)
{
	skip_blank(lines);
	if (*lines->at == '{')
		scan_object(lines, path);
	else if (*lines->at == '[')
		scan_array(lines, path);
	else if (*lines->at == '"')
		g_free(scan_string(lines));
	else
		while (*lines->at && !strchr(",]}\n", *lines->at))
			lines->at++;
}

static void scan_object(struct lines *lines, const char *path)
{
	lines->at++;
	for (skip_blank(lines); *lines->at && *lines->at != '}'; skip_blank(lines)) {
		char *key;
		char *inner;

		if (*lines->at != '"') {
			lines->at++;
			continue;
		}
		key = scan_string(lines);
		inner = *path ? g_strdup_printf("%s.%s", path, key) : g_strdup(key);
		note(lines, inner);
		skip_blank(lines);
		if (*lines->at == ':')
			lines->at++;
		scan_value(lines, inner);
		g_free(inner);
		g_free(key);
	}
	if (*lines->at)
		lines->at++;
}

static void scan_array(struct lines *lines, const char *path)
{
	int index = 0;

	lines->at++;
	for (skip_blank(lines); *lines->at && *lines->at != ']'; skip_blank(lines)) {
		char *inner;

		if (*lines->at == ',' || *lines->at == '}') {
			lines->at++;
			continue;
		}
		inner = g_strdup_printf("%s[%d]", path, index++);
		note(lines, inner);
		scan_value(lines, inner);
		g_free(inner);
	}
	if (*lines->at)
		lines->at++;
}

static char *scan_string(struct lines *lines)
{
	const char *start = ++lines->at;
	char *text;

	while (*lines->at && *lines->at != '"') {
		if (*lines->at == '\\' && lines->at[1])
			lines->at++;
		lines->line += *lines->at == '\n';
		lines->at++;
	}
	text = g_strndup(start, (gsize)(lines->at - start));
	if (*lines->at)
		lines->at++;
	return text;
}

static void skip_blank(struct lines *lines)
{
	while (*lines->at) {
		if (g_str_has_prefix(lines->at, "//")) {
			while (*lines->at && *lines->at != '\n')
				lines->at++;
		} else if (g_str_has_prefix(lines->at, "/*")) {
			while (*lines->at && !g_str_has_prefix(lines->at, "*/")) {
				lines->line += *lines->at == '\n';
				lines->at++;
			}
			lines->at += *lines->at ? 2 : 0;
		} else if (g_ascii_isspace(*lines->at)) {
			lines->line += *lines->at == '\n';
			lines->at++;
		} else {
			return;
		}
	}
}

static void note(struct lines *lines, const char *path)
{
	if (g_hash_table_contains(lines->by_path, path) && !lines->repeated)
		lines->repeated = g_strdup(path);
	g_hash_table_insert(lines->by_path, g_strdup(path), GINT_TO_POINTER(lines->line));
}
