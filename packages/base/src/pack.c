#include "cw_pack.h"

#include <glib.h>
#include <string.h>
#include <zlib.h>

#define SIZE_BYTES 4 /* big-endian */

char *cw_pack(const char *bytes, size_t size, size_t *packed_size)
{
	uLongf used = compressBound(size);
	char *packed = g_malloc(SIZE_BYTES + used);
	guint32 told = GUINT32_TO_BE((guint32)size);

	memcpy(packed, &told, SIZE_BYTES);
	/* The room is zlib's own bound: this can't fail. */
	compress2((Bytef *)packed + SIZE_BYTES, &used, (const Bytef *)bytes, size, Z_BEST_SPEED);
	*packed_size = SIZE_BYTES + used;
	return g_realloc(packed, *packed_size);
}

char *cw_unpack(const char *packed, size_t packed_size, size_t max, size_t *size)
{
	guint32 told;
	uLongf used;
	char *bytes;

	if (packed_size < SIZE_BYTES)
		return NULL;
	memcpy(&told, packed, SIZE_BYTES);
	*size = GUINT32_FROM_BE(told);
	if (*size > max)
		return NULL;
	used = *size;
	bytes = g_malloc(*size + 1);
	bytes[*size] = '\0';
	if (uncompress((Bytef *)bytes, &used, (const Bytef *)packed + SIZE_BYTES,
		       packed_size - SIZE_BYTES) == Z_OK &&
	    used == *size)
		return bytes;
	g_free(bytes);
	return NULL;
}
