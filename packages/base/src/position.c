#include "cw_position.h"

int cw_position_compare(struct cw_position one, struct cw_position other)
{
	if (one.era != other.era)
		return one.era < other.era ? -1 : 1;
	if (one.offset != other.offset)
		return one.offset < other.offset ? -1 : 1;
	return 0;
}

int cw_position_is_same_era(struct cw_position one, struct cw_position other)
{
	return one.era == other.era;
}

struct cw_position cw_position_max(struct cw_position one, struct cw_position other)
{
	return cw_position_compare(one, other) < 0 ? other : one;
}

int64_t cw_era_number(uint64_t era)
{
	return (int64_t)era - 1;
}
