/* The platform's log as an operator sees it. */
#include "cwctl.h"
#include "cw_platform.h"

#include <glib.h>
#include <stdio.h>
#include <string.h>

#define READ_MAX     256
#define APPEND_TRIES 5
#define WAIT_MS	     300

struct edit_search {
	struct cw_table *table;
	const char *edit_id;
	uint64_t offset;
	enum cw_table_result fold;
	struct cw_error error;
	uint64_t next;	  /* offset the table folds next; 0: looking for a snapshot */
	uint64_t restart; /* to fold on from, behind a snapshot; 0 none */
};

static void fold_record(void *context, uint64_t offset, const char *data);
static enum cw_status search(const char *platform, struct edit_search *search,
			     struct cw_error *error);

enum cw_status log_walk(const char *platform, const char *stream, uint64_t from,
			const struct log_visit *visit, struct cw_error *error)
{
	uint64_t next = from;

	for (;;) {
		struct cw_platform_read_result read;
		enum cw_status status =
			cw_log_http.read(platform, stream, next, READ_MAX, 0, &read, error);
		size_t count = read.count;

		if (status == CW_EXPIRED && read.first > next) {
			next = read.first;
			continue;
		}
		if (status != CW_OK)
			return status;
		for (size_t i = 0; i < count; i++) {
			visit->record(visit->context, read.list[i].offset, read.list[i].data);
			next = read.list[i].offset + 1;
		}
		cw_platform_read_result_clear(&read);
		if (count == 0)
			return CW_OK;
	}
}

struct cw_table *log_table(const char *platform, struct cw_error *error)
{
	struct edit_search all = {.table = cw_table_create(), .edit_id = "", .next = 1};

	if (search(platform, &all, error) == CW_OK)
		return all.table;
	cw_table_destroy(all.table);
	return NULL;
}

/*
 * An append's answer may be lost after the record was kept. So the record is looked for before it
 * is sent again, and it carries one id, which the fold applies once.
 */
enum exit_code log_append_edit(const char *platform, const char *record, const char *edit_id,
			       uint64_t *offset)
{
	struct cw_error error = {0};
	enum cw_status status = CW_UNREACHABLE;

	for (int try = 0; try < APPEND_TRIES; try++) {
		struct edit_search own = {
			.table = cw_table_create(), .edit_id = edit_id, .next = 1};
		uint64_t appended = 0;

		if (status != CW_OK)
			status = cw_log_http.append(platform, "table", record, &appended, &error);
		search(platform, &own, &error);
		cw_table_destroy(own.table);
		if (own.offset) {
			*offset = own.offset;
			if (own.fold == CW_TABLE_APPLIED || own.fold == CW_TABLE_DUPLICATE)
				return EXIT_DONE;
			fprintf(stderr, "cwctl: refused at offset %" G_GUINT64_FORMAT ": %s\n",
				own.offset, own.error.message);
			return EXIT_REFUSED;
		}
		g_usleep(WAIT_MS * 1000);
	}
	return fail(&error);
}

enum exit_code fail(const struct cw_error *error)
{
	fprintf(stderr, "cwctl: %s: %s: %s (%s)\n", error->step, error->peer, error->message,
		cw_status_name(error->status));
	return error->status == CW_INVALID ? EXIT_REFUSED : EXIT_UNREACHABLE;
}

/* Where the first records have expired a snapshot is looked for first, and folded on from its
 * offset. */
static enum cw_status search(const char *platform, struct edit_search *found,
			     struct cw_error *error)
{
	struct log_visit visit = {fold_record, found};
	enum cw_status status = log_walk(platform, "table", 1, &visit, error);

	if (status != CW_OK || !found->restart)
		return status;
	found->next = found->restart;
	found->restart = 0;
	return log_walk(platform, "table", found->next, &visit, error);
}

static void fold_record(void *context, uint64_t offset, const char *data)
{
	struct edit_search *found = context;
	struct json_object *parsed;
	struct json_object *id;
	enum cw_table_result fold = CW_TABLE_SNAPSHOT;

	if (offset != found->next) {
		if (cw_table_load_snapshot(found->table, data, NULL) == CW_OK) {
			found->restart = cw_table_offset(found->table) + 1;
			found->next = 0;
		}
		return;
	}
	found->next = offset + 1;
	cw_table_apply_record(found->table, offset, data, &fold, &found->error);
	parsed = json_tokener_parse(data);
	if (*found->edit_id && !found->offset &&
	    (json_object_object_get_ex(parsed, "edit", &id) ||
	     json_object_object_get_ex(parsed, "key_sha256", &id)) &&
	    !strcmp(json_object_get_string(id), found->edit_id)) {
		found->offset = offset;
		found->fold = fold;
	}
	json_object_put(parsed);
}
