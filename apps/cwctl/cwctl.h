/* cwctl: the operators' commands. Exit codes: 0 done, 1 refused, 2 usage, 3 unreachable. */
#ifndef CWCTL_H
#define CWCTL_H

#include "cw_status.h"
#include "cw_table.h"

#include <json-c/json.h>
#include <stddef.h>

enum exit_code { EXIT_DONE = 0, EXIT_REFUSED = 1, EXIT_WRONG_USE = 2, EXIT_UNREACHABLE = 3 };

struct options {
	const char *platform;
	char **operators; /* NULL-terminated addresses */
	int json;
	int csv;
	const char *request;
	const char *organisation;
	const char *if_revision;
	char **words; /* behind the command, NULL-terminated */
};

struct log_visit {
	void (*record)(void *context, uint64_t offset, const char *data);
	void *context;
};

/* log.c */
enum cw_status
log_walk(const char *platform, const char *stream, uint64_t from, const struct log_visit *visit,
	 struct cw_error *error); /* from there, or the oldest record kept, to the end */
enum exit_code log_append_edit(const char *platform, const char *record, const char *edit_id,
			       uint64_t *offset); /* waits until it is seen; says which */
struct cw_table *log_table(const char *platform, struct cw_error *error); /* NULL: unreachable */
enum exit_code fail(const struct cw_error *error);

/* tables.c */
enum exit_code table_publish(const struct options *options);
enum exit_code table_set(const struct options *options);
enum exit_code table_show(const struct options *options);
enum exit_code organisation_add(const struct options *options);
void new_edit_id(char *id, size_t size);
enum exit_code append_edit(const struct options *options, const char *record,
			   const char *edit_id); /* and tells the revision */

/* domains.c: failure domains that nothing new is sent to */
enum exit_code domain_drain(const struct options *options);
enum exit_code domain_restore(const struct options *options);
enum exit_code domain_list(const struct options *options);

/* reports.c */
enum exit_code show_timeline(const struct options *options);
enum exit_code show_counters(const struct options *options);
enum exit_code show_bills(const struct options *options);
enum exit_code show_status(const struct options *options);
const char *text_of(struct json_object *object, const char *key); /* "" when missing */
char *operator_call(const char *address, const char *method, const char *path,
		    int *status); /* g_free; NULL: not reached */

/* quarantine.c: requests that are sent nowhere, since servers ended under them */
enum exit_code show_quarantine(const struct options *options);
enum exit_code release_quarantined(const struct options *options);

/* print.c */
struct grid;
struct grid *grid_create(const char *const *titles, size_t columns);
void grid_row(struct grid *grid, const char *const *cells);
void grid_destroy(struct grid *grid);
void grid_print(struct grid *grid);	     /* aligned; frees the grid */
void print_json(struct json_object *object); /* a line; frees the object */

#endif
