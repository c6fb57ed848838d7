/* cwctl: the operators' command line. Exit codes: 0 done, 1 refused, 2 usage, 3 unreachable. */
#ifndef CWCTL_H
#define CWCTL_H

#include "cw_status.h"
#include "cw_table.h"

#include <json-c/json.h>
#include <stddef.h>

enum exit_code { EXIT_DONE = 0, EXIT_REFUSED = 1, EXIT_USAGE = 2, EXIT_UNREACHABLE = 3 };

struct options {
	const char *platform;
	char **operators; /* addresses of the instances' operator interfaces, NULL-terminated */
	int json;
	int csv;
	const char *request;
	const char *organisation;
	const char *if_revision;
	char **arguments; /* that follow the command, NULL-terminated */
};

struct log_visitor {
	void (*record)(void *context, uint64_t offset, int64_t time_ms, const char *data);
	void *context;
};

/* log.c */
enum cw_status
log_read_all(const char *platform, const char *stream, uint64_t from,
	     const struct log_visitor *visitor,
	     struct cw_error *error); /* from that offset, or the oldest record kept, to the end */
enum exit_code
log_append_confirmed(const char *platform, const char *record, const char *edit_id,
		     uint64_t *offset); /* waits until the log has the record; sets its offset */
struct cw_table *log_replay_table(const char *platform,
				  struct cw_error *error); /* NULL: see error */
enum exit_code report_error(const struct cw_error *error); /* prints the error */

/* tables.c */
enum exit_code table_publish(const struct options *options);
enum exit_code table_set(const struct options *options);
enum exit_code table_show(const struct options *options);
enum exit_code organisation_add(const struct options *options);
void generate_edit_id(char *id, size_t size);
enum exit_code append_and_report(const struct options *options, const char *record,
				 const char *edit_id); /* prints the revision */

/* domains.c: failure domains that get no new requests */
enum exit_code domain_drain(const struct options *options);
enum exit_code domain_restore(const struct options *options);
enum exit_code domain_list(const struct options *options);

/* reports.c */
enum exit_code show_timeline(const struct options *options);
enum exit_code show_counters(const struct options *options);
enum exit_code show_bills(const struct options *options);
enum exit_code show_status(const struct options *options);
const char *json_member_text(struct json_object *object, const char *key); /* "" when missing */
char *operator_call(const char *address, const char *method, const char *path,
		    int *status); /* g_free; NULL: unreachable */

/* quarantine.c: requests that are not dispatched, since servers crashed while running them */
enum exit_code show_quarantine(const struct options *options);
enum exit_code release_quarantined(const struct options *options);

/* print.c */
struct grid;
struct grid *grid_create(const char *const *titles, size_t columns);
void grid_add_row(struct grid *grid, const char *const *cells);
void grid_destroy(struct grid *grid);
void grid_print(struct grid *grid);		  /* aligned columns; frees the grid */
void print_json_line(struct json_object *object); /* frees the object */

#endif
