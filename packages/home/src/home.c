#include "cw_home.h"

#include <glib.h>
#include <string.h>

void cw_home_regions_add(struct cw_home_regions *homes, const char *region)
{
	if (homes->count < CW_HOME_REGIONS_MAX)
		g_strlcpy(homes->regions[homes->count++], region, CW_NAME_MAX);
}

/* A server of unknown region may be anywhere, so it serves no request with home regions. */
int cw_home_regions_allow(const struct cw_home_regions *homes, const char *region)
{
	if (!homes || homes->count == 0)
		return 1;
	for (size_t i = 0; i < homes->count; i++)
		if (*region && !strcmp(homes->regions[i], region))
			return 1;
	return 0;
}
