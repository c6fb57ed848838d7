#include "cw_home.h"

#include <glib.h>
#include <string.h>

void cw_home_regions_add(struct cw_home_regions *home_regions, const char *region)
{
	if (home_regions->count < CW_HOME_REGIONS_MAX)
		g_strlcpy(home_regions->regions[home_regions->count++], region, CW_NAME_MAX);
}

/* A server of unknown region may be anywhere, so it serves no request with home regions. */
int cw_home_regions_allow(const struct cw_home_regions *home_regions, const char *region)
{
	if (!home_regions || home_regions->count == 0)
		return 1;
	for (size_t i = 0; i < home_regions->count; i++)
		if (*region && !strcmp(home_regions->regions[i], region))
			return 1;
	return 0;
}
