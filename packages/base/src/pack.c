#include "cw_pack.h"

#include <glib.h>
#include <string.h>
#include <zlib.h>

#define SIZE_PREFIX_BYTES 4 /* size of the data, big-endian */

char *cw_pack(const char *bytes, size_t size, size_t *packed_size)
{
	uLongf data_size = compressBound(size);
	char *packed = g_malloc(SIZE_PREFIX_BYTES + data_size);
	guint32 stored_size = GUINT32_TO_BE((guint32)size);

	memcpy(packed, &stored_size, SIZE_PREFIX_BYTES);
	/* Can't fail: the buffer has the size of zlib's upper bound. */
	compress2((Bytef *)packed + SIZE_PREFIX_BYTES, &data_size, (const Bytef *)bytes, size,
		  Z_BEST_SPEED);
	*packed_size = SIZE_PREFIX_BYTES + data_size;
	return g_realloc(packed, *packed_size);
}

char *cw_unpack(const char *packed, size_t packed_size, size_t max, size_t *size)
{
	guint32 stored_size;
	uLongf data_size;
	char *bytes;

	if (packed_size < SIZE_PREFIX_BYTES)
		return NULL;
	memcpy(&stored_size, packed, SIZE_PREFIX_BYTES);
	*size = GUINT32_FROM_BE(stored_size);
	if (*size > max)
		return NULL;
	data_size = *size;
	bytes = g_malloc(*size + 1);
	bytes[*size] = '\0';
	if (uncompress((Bytef *)bytes, &data_size, (const Bytef *)packed + SIZE_PREFIX_BYTES,
		       packed_size - SIZE_PREFIX_BYTES) == Z_OK &&
	    data_size == *size)
		return bytes;
	g_free(bytes);
	return NULL;
}
