/*
 * Home regions: the regions in which the requests of a route or an organisation may run. A request
 * runs only in a region that both its route and its organisation allow.
 */
#ifndef CW_HOME_H
#define CW_HOME_H

#include "cw_config.h"

#include <stddef.h>

#define CW_HOME_REGIONS_MAX 4 /* regions of one route or organisation; further ones are ignored */

/* An empty list allows any region. */
struct cw_home_regions {
	size_t count;
	char regions[CW_HOME_REGIONS_MAX][CW_NAME_MAX];
};

void cw_home_regions_add(struct cw_home_regions *home_regions, const char *region);
int cw_home_regions_allow(const struct cw_home_regions *home_regions,
			  const char *region); /* 1: the region may serve; always for NULL */

#endif
