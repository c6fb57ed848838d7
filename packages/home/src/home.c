#include "cw_home.h"

#include <glib.h>
#include <string.h>

void cw_homes_add(struct cw_homes *homes, const char *region)
{
	if (homes->count < CW_HOMES)
		g_strlcpy(homes->regions[homes->count++], region, CW_NAME_MAX);
}

/* A server whose region isn't known may be anywhere: it serves no request that has homes. */
int cw_homes_allow(const struct cw_homes *homes, const char *region)
{
	if (!homes || homes->count == 0)
		return 1;
	for (size_t i = 0; i < homes->count; i++)
		if (*region && !strcmp(homes->regions[i], region))
			return 1;
	return 0;
}
