#include "cw_hash.h"
#include "cw_record_id.h"

#define COMPARE(one, other) (((one) > (other)) - ((one) < (other)))

struct cw_record_id cw_record_id_create(uint64_t offset, int64_t time_ms, const char *data)
{
	return (struct cw_record_id){offset, time_ms, cw_hash_text(data, 0)};
}

int cw_record_id_is_equal(const struct cw_record_id *one, const struct cw_record_id *other)
{
	return one->offset == other->offset && one->time_ms == other->time_ms &&
	       one->checksum == other->checksum;
}

int cw_record_id_compare(const struct cw_record_id *one, const struct cw_record_id *other)
{
	int by_time = COMPARE(one->time_ms, other->time_ms);

	return by_time ? by_time : COMPARE(one->offset, other->offset);
}
