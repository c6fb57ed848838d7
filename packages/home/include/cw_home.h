/*
 * Home regions: where the requests of a route or an organisation may run. Both bind: a request runs
 * only in a region that each of them allows.
 */
#ifndef CW_HOME_H
#define CW_HOME_H

#include "cw_config.h"

#include <stddef.h>

#define CW_HOMES 4 /* regions of one route or organisation; more are not allowed to serve it */

/* None: any region may serve. */
struct cw_homes {
	size_t count;
	char regions[CW_HOMES][CW_NAME_MAX];
};

void cw_homes_add(struct cw_homes *homes, const char *region);
int cw_homes_allow(const struct cw_homes *homes, const char *region); /* NULL homes: 1 */

#endif
