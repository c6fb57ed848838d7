/*
 * A place in a log of the shared store. When the store is restored from an older copy, it loses
 * records and gives out their offsets again, and a new era begins. Offsets therefore compare within
 * one era only.
 */
#ifndef CW_POSITION_H
#define CW_POSITION_H

#include <stdint.h>

#define CW_ERA_UNKNOWN 0 /* the store, or an instance of an earlier build, names no era */

struct cw_position {
	uint64_t era; /* counted from 1; CW_ERA_UNKNOWN */
	uint64_t offset;
};

int cw_position_compare(
	struct cw_position one,
	struct cw_position other); /* below 0: one is earlier, by era, then offset */
int cw_position_is_same_era(struct cw_position one, struct cw_position other);
struct cw_position cw_position_max(struct cw_position one, struct cw_position other);
int64_t cw_era_number(uint64_t era); /* as the store names it, for logs; -1: unknown */

#endif
