/* Reading the platform's log, and appending edits of the table to it. */
#include "cwctl.h"
#include "cw_platform.h"

#include <glib.h>
#include <stdio.h>
#include <string.h>

#define READ_RECORDS_MAX    256
#define APPEND_ATTEMPTS_MAX 5
#define RETRY_DELAY_MS	    300

struct edit_search {
	struct cw_table *table;
	const char *edit_id;
	uint64_t offset;	     /* of the record with edit_id; 0: not found */
	enum cw_table_result result; /* of applying that record */
	struct cw_error error;
	uint64_t next_offset;	/* of the record to apply next; 0: looking for a snapshot */
	uint64_t resume_offset; /* first offset behind a snapshot that was found; 0: none */
};

static void apply_record(void *context, uint64_t offset, int64_t time_ms, const char *data);
static enum cw_status search_table_log(const char *platform, struct edit_search *search,
				       struct cw_error *error);

enum cw_status log_read_all(const char *platform, const char *stream, uint64_t from,
			    const struct log_visitor *visitor, struct cw_error *error)
{
	uint64_t next_offset = from;

	for (;;) {
		struct cw_platform_read_result read;
		enum cw_status status = cw_log_http.read(platform, stream, next_offset,
							 READ_RECORDS_MAX, 0, &read, error);
		size_t count = read.count;

		if (status == CW_EXPIRED && read.first_offset > next_offset) {
			next_offset = read.first_offset;
			continue;
		}
		if (status != CW_OK)
			return status;
		for (size_t i = 0; i < count; i++) {
			visitor->record(visitor->context, read.records[i].offset,
					read.records[i].time_ms, read.records[i].data);
			next_offset = read.records[i].offset + 1;
		}
		cw_platform_read_result_clear(&read);
		if (count == 0)
			return CW_OK;
	}
}

struct cw_table *log_replay_table(const char *platform, struct cw_error *error)
{
	struct edit_search scan = {.table = cw_table_create(), .edit_id = "", .next_offset = 1};

	if (search_table_log(platform, &scan, error) == CW_OK)
		return scan.table;
	cw_table_destroy(scan.table);
	return NULL;
}

/*
 * The answer to an append may be lost after the log stored the record. So the log is searched for
 * the record before a retry; all retries carry the same id, and the replay applies an id once.
 */
enum exit_code log_append_confirmed(const char *platform, const char *record, const char *edit_id,
				    uint64_t *offset)
{
	struct cw_error error = {0};
	enum cw_status status = CW_UNREACHABLE;

	for (int try = 0; try < APPEND_ATTEMPTS_MAX; try++) {
		struct edit_search scan = {
			.table = cw_table_create(), .edit_id = edit_id, .next_offset = 1};
		uint64_t appended = 0;

		if (status != CW_OK)
			status = cw_log_http.append(platform, "table", record, &appended, &error);
		search_table_log(platform, &scan, &error);
		cw_table_destroy(scan.table);
		if (scan.offset) {
			*offset = scan.offset;
			if (scan.result == CW_TABLE_APPLIED || scan.result == CW_TABLE_DUPLICATE)
				return EXIT_DONE;
			fprintf(stderr, "cwctl: refused at offset %" G_GUINT64_FORMAT ": %s\n",
				scan.offset, scan.error.message);
			return EXIT_REFUSED;
		}
		g_usleep(RETRY_DELAY_MS * 1000);
	}
	return report_error(&error);
}

enum exit_code report_error(const struct cw_error *error)
{
	fprintf(stderr, "cwctl: %s: %s: %s (%s)\n", error->step, error->peer, error->message,
		cw_status_name(error->status));
	return error->status == CW_INVALID ? EXIT_REFUSED : EXIT_UNREACHABLE;
}

/* When the log's first records have expired, the first pass finds a snapshot and the second pass
 * applies the records behind the snapshot's offset. */
static enum cw_status search_table_log(const char *platform, struct edit_search *search,
				       struct cw_error *error)
{
	struct log_visitor visitor = {apply_record, search};
	enum cw_status status = log_read_all(platform, "table", 1, &visitor, error);

	if (status != CW_OK || !search->resume_offset)
		return status;
	search->next_offset = search->resume_offset;
	search->resume_offset = 0;
	return log_read_all(platform, "table", search->next_offset, &visitor, error);
}

static void apply_record(void *context, uint64_t offset, int64_t time_ms, const char *data)
{
	struct edit_search *search = context;
	struct json_object *parsed;
	struct json_object *id;
	enum cw_table_result result = CW_TABLE_SNAPSHOT;

	if (offset != search->next_offset) {
		if (cw_table_load_snapshot(search->table, data, NULL) == CW_OK) {
			search->resume_offset = cw_table_offset(search->table) + 1;
			search->next_offset = 0;
		}
		return;
	}
	search->next_offset = offset + 1;
	cw_table_apply_record(search->table, offset, time_ms, data, &result, &search->error);
	parsed = json_tokener_parse(data);
	if (*search->edit_id && !search->offset &&
	    (json_object_object_get_ex(parsed, "edit", &id) ||
	     json_object_object_get_ex(parsed, "key_sha256", &id)) &&
	    !strcmp(json_object_get_string(id), search->edit_id)) {
		search->offset = offset;
		search->result = result;
	}
	json_object_put(parsed);
}
