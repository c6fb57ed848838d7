/* zlib compression with the size of the data as a prefix, for messages between instances. */
#ifndef CW_PACK_H
#define CW_PACK_H

#include <stddef.h>

char *cw_pack(const char *bytes, size_t size, size_t *packed_size); /* g_free */
char *cw_unpack(const char *packed, size_t packed_size, size_t max,
		size_t *size); /* g_free; NUL-terminated; NULL: malformed, or larger than max
				  bytes */

#endif
