/*
 * Failure domains that an operator has drained: nothing new is sent to their backend servers until
 * the drain is taken back. Orders come from a log, by own reads and from peers, in any order and
 * more than once; of each domain the one with the highest offset is in force, so none ever comes
 * back. Sans-I/O.
 */
#ifndef CW_DRAIN_H
#define CW_DRAIN_H

#include "cw_config.h"

#include <stddef.h>
#include <stdint.h>

#define CW_DRAINS 16 /* domains that orders are kept of; more than a deployment has */

/* The newest order on one failure domain. */
struct cw_drain_order {
	char failure_domain[CW_NAME_MAX];
	uint64_t offset; /* of its record in the operators' log */
	int is_drained;	 /* 0: taken back */
};

struct cw_drains;

struct cw_drains *cw_drains_create(void);
void cw_drains_destroy(struct cw_drains *drains);
int cw_drains_take(struct cw_drains *drains,
		   const struct cw_drain_order *order); /* 1: it changes what is in force */
int cw_drains_has(const struct cw_drains *drains, const char *failure_domain); /* 1: drained */
size_t cw_drains_tell(const struct cw_drains *drains, struct cw_drain_order *orders,
		      size_t max); /* all of them, those taken back included */

/*
 * The newest record of each key is read in pages, and a domain without one isn't drained: between
 * the two calls cw_drains_take notes who has one.
 */
void cw_drains_collect(struct cw_drains *drains);
int cw_drains_collected(struct cw_drains *drains, uint64_t end,
			struct cw_drain_order *restored); /* takes back one that was not seen and is
							     older than end; 0: none is left */

#endif
