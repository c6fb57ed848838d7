/* Compressed bytes (zlib) with their expanded size in front, as instances send them to each other.
 */
#ifndef CW_PACK_H
#define CW_PACK_H

#include <stddef.h>

char *cw_pack(const char *bytes, size_t size, size_t *packed_size); /* g_free */
char *cw_unpack(const char *packed, size_t packed_size, size_t max,
		size_t *size); /* g_free; a NUL follows; NULL: not what cw_pack made, or expands to
				  more than max bytes */

#endif
