/* State and functions shared by the source files of the table. */
#ifndef CW_TABLE_INTERNAL_H
#define CW_TABLE_INTERNAL_H

#include "cw_table.h"

#include <glib.h>
#include <json-c/json.h>

#define EDIT_IDS_MAX 4096 /* newest edit ids remembered, to recognise repeated appends */

struct cw_table {
	uint64_t offset;
	struct cw_record_id last; /* record at this offset; its own offset is 0: unknown */
	struct cw_row_list rows;
	GHashTable *by_id;	     /* row id -> row */
	GHashTable *by_organisation; /* name -> struct cw_row_list */
	GHashTable *keys;	     /* SHA-256 of a caller's key -> organisation */
	GHashTable *owners;	     /* organisation -> struct owner */
	GHashTable *routing_offsets; /* hash of organisation and model -> offset of last change */
	GHashTable *applied_edits;   /* set of the hashes in edit_ids */
	struct cw_drains *drains;
	GHashTable *unlogged_drains;	 /* set of names of failure domains */
	size_t unlogged_count;		 /* cells, keys and drains */
	GArray *unlogged_edits;		 /* of uint64_t: hashed ids of merged edits, oldest first */
	uint64_t edit_ids[EDIT_IDS_MAX]; /* ring of the hashed ids of the newest edits */
	size_t edit_count;		 /* edits applied in total */
};

struct owner { /* of a caller's key */
	char *key_sha256;
	int64_t set_ms; /* log time of its record, 0 unknown */
	int is_unlogged;
};

struct cw_row *table_create_row(struct cw_table *table, const char *organisation, const char *model,
				const char *version);
void table_remember_edit_id(struct cw_table *table, uint64_t id);
int table_is_cell_older(const struct cw_row *row, enum cw_column column, int64_t time_ms);
void table_set_unlogged(struct cw_table *table, struct cw_row *row, enum cw_column column,
			unsigned int is_unlogged);
void table_set_key(struct cw_table *table, const char *organisation, const char *key_sha256,
		   int is_restored, int64_t time_ms);
enum cw_table_result table_apply_key(struct cw_table *table, int64_t time_ms,
				     struct json_object *record, struct cw_error *error);
int table_parse_drain(struct json_object *source, int64_t time_ms, uint64_t offset,
		      struct cw_drain_order *order);
int table_has_drain_since(const struct cw_table *table, const struct cw_drain_order *order,
			  int64_t time_ms); /* 1: the domain's order is of that time or later */
void table_clear(struct cw_table *table);
const char *table_get_string(struct json_object *object, const char *key);
uint64_t table_get_uint64(struct json_object *object, const char *key);
uint64_t table_hash_row_names(const char *organisation, const char *model, const char *version);
uint64_t *table_copy_uint64(uint64_t value);

#endif
