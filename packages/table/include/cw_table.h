/*
 * The operators' table: one row for each organisation, model and version. Each cell carries the log
 * offset that last set it, its revision. The table is the replayed state of the `table` log stream:
 * every instance that has applied the same offsets holds the same table.
 *
 * When the log is restored from an older copy, accepted edits are lost and offsets are given out
 * again. The table is then replayed from the log as it stands, and what the former table held
 * beyond that is merged into it: for each cell, key and drain the later one by the clock of the log
 * wins. What was merged counts as unlogged until a record holds it: an edit whose cells carry
 * `set_ms`, the time of the lost edit, and which changes no cell that was set later.
 */
#ifndef CW_TABLE_H
#define CW_TABLE_H

#include "cw_drain.h"
#include "cw_hash.h"
#include "cw_record_id.h"
#include "cw_status.h"

#include <stddef.h>
#include <stdint.h>
#include <sys/queue.h>

#define CW_SERVICE_PREFIX "service:" /* prefix of the model names of plain services */

enum cw_column {
	CW_COLUMN_WEIGHT,
	CW_COLUMN_REQUESTS_PER_S,
	CW_COLUMN_TOKENS_PER_S,
	CW_COLUMN_CONCURRENT,
	CW_COLUMN_COST,
	CW_COLUMN_QUALITY,
	CW_COLUMN_STATE, /* 1 allowed, 0 withdrawn */
	CW_COLUMN_COUNT,
};

struct cw_row {
	TAILQ_ENTRY(cw_row) link;
	TAILQ_ENTRY(cw_row) organisation_link;
	char organisation[CW_NAME_MAX];
	char model[CW_NAME_MAX];
	char version[CW_NAME_MAX];	    /* "" for a plain service */
	double cell[CW_COLUMN_COUNT];	    /* NAN: empty, no limit */
	uint64_t revision[CW_COLUMN_COUNT]; /* offset that last set the cell; 0: never set */
	int64_t set_ms[CW_COLUMN_COUNT];    /* log time of the cell's edit; 0: never or unknown */
	unsigned int unlogged;		    /* bits of columns: merged from a former table */
	uint64_t withdrawn_at;		    /* offset of the last withdrawal; 0: never withdrawn */
	uint64_t id;			    /* hash of the three names; equal on all instances */
};

TAILQ_HEAD(cw_row_list, cw_row);

/* What became of a record of the log. */
enum cw_table_result {
	CW_TABLE_APPLIED,
	CW_TABLE_DUPLICATE, /* ignored: an edit with the same id was applied before */
	CW_TABLE_CONFLICT,  /* rejected: a cell's revision differs from if_revision */
	CW_TABLE_MALFORMED, /* rejected: not a valid record */
	CW_TABLE_SNAPSHOT,  /* ignored: a snapshot record; the table is up to date already */
};

struct cw_table;

struct cw_table *cw_table_create(void);	       /* empty, at offset 0 */
void cw_table_destroy(struct cw_table *table); /* frees its rows */
enum cw_status cw_table_apply_record(struct cw_table *table, uint64_t offset, int64_t time_ms,
				     const char *record, enum cw_table_result *result,
				     struct cw_error *error); /* CW_INVALID: not the next offset */
enum cw_status
cw_table_load_snapshot(struct cw_table *table, const char *record,
		       struct cw_error *error); /* CW_REFUSED: not newer than the table */
char *cw_table_create_snapshot(const struct cw_table *table); /* a log record; g_free() it */
struct cw_table *
cw_table_rebase(const struct cw_table *table,
		uint64_t offset); /* a copy at that offset, for the log's records after it */
int cw_table_is_ahead(const struct cw_table *table,
		      const struct cw_table *other); /* 1: it has edits that other lacks */
void cw_table_merge(struct cw_table *table,
		    const struct cw_table *former);	      /* adds what former has beyond it */
size_t cw_table_count_unlogged(const struct cw_table *table); /* cells, keys and drains */
char *cw_table_create_unlogged(const struct cw_table *table); /* the next log record that holds
								 some; NULL: none; g_free() */
uint64_t cw_table_offset(const struct cw_table *table);	      /* last applied offset */
struct cw_record_id cw_table_last_record(
	const struct cw_table *table); /* offset 0: unknown, of a snapshot of an earlier build */
uint64_t
cw_table_routing_offset(const struct cw_table *table, const char *organisation,
			const char *model); /* offset of the last change of routing; 0: none */
const char *cw_table_find_organisation(const struct cw_table *table,
				       const char *key_sha256); /* NULL: unknown key */
const struct cw_row *cw_table_find_row(const struct cw_table *table, const char *organisation,
				       const char *model, const char *version); /* NULL: missing */
const struct cw_row *cw_table_find_row_by_id(const struct cw_table *table,
					     uint64_t id); /* NULL: missing */
int cw_table_is_allowed(const struct cw_row *row);	   /* 0 for NULL, withdrawn or never set */
int cw_table_is_binding_valid(const struct cw_row *row,
			      uint64_t bound_at); /* allowed, and not withdrawn since bound_at */
const struct cw_row_list *cw_table_rows(const struct cw_table *table);
const struct cw_drains *cw_table_drains(const struct cw_table *table); /* drained failure domains */
const struct cw_row_list *
cw_table_organisation_rows(const struct cw_table *table,
			   const char *organisation); /* linked by organisation_link; NULL: none */
size_t cw_table_memory_bytes(const struct cw_table *table); /* estimated memory use */

const char *cw_column_name(enum cw_column column);
enum cw_status cw_column_find(const char *name, enum cw_column *column); /* CW_NOT_FOUND */
enum cw_status cw_cell_parse(enum cw_column column, const char *text,
			     double *value); /* CW_INVALID */
void cw_cell_format(enum cw_column column, double value, char *text, size_t size);

enum cw_status
cw_table_edit_from_csv(const char *csv, const char *edit_id, const char *by, char **record,
		       struct cw_error *error);	     /* all lines or none; g_free(record) */
char *cw_table_to_csv(const struct cw_table *table); /* g_free() it */

#endif
