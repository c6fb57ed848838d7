/*
 * Identifies a record of a log beyond its offset: a log that was restored from an older copy gives
 * the offsets of lost records out again. Records of one log follow each other in time.
 */
#ifndef CW_RECORD_ID_H
#define CW_RECORD_ID_H

#include <stdint.h>

struct cw_record_id {
	uint64_t offset; /* 0: unknown, or before the first record */
	int64_t time_ms; /* when the record was appended, on the clock of the log */
	uint64_t checksum;
};

struct cw_record_id cw_record_id_create(uint64_t offset, int64_t time_ms, const char *data);
int cw_record_id_is_equal(const struct cw_record_id *one, const struct cw_record_id *other);
int cw_record_id_compare(
	const struct cw_record_id *one,
	const struct cw_record_id *other); /* below 0: one is earlier, by time, then offset */

#endif
