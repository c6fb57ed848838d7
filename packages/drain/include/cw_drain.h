/*
 * Failure domains that an operator has drained: their backend servers get no new requests until the
 * domain is restored. Orders come from a log, read by this instance or forwarded by peers, in any
 * order and more than once. For each domain the order with the latest position is in force, so a
 * superseded order never takes effect again. Sans-I/O.
 */
#ifndef CW_DRAIN_H
#define CW_DRAIN_H

#include "cw_config.h"
#include "cw_position.h"

#include <stddef.h>
#include <stdint.h>

#define CW_DRAINS_MAX 16 /* failure domains with orders; deployments have fewer */

/* The newest order of an operator on a failure domain. */
struct cw_drain_order {
	char failure_domain[CW_NAME_MAX];
	struct cw_position position; /* of the order's record in the operators' log */
	int is_drained;		     /* 0: restored */
};

struct cw_drains;

struct cw_drains *cw_drains_create(void);
void cw_drains_destroy(struct cw_drains *drains);
int cw_drains_apply(struct cw_drains *drains,
		    const struct cw_drain_order *order); /* 1: the domain's drained state changed */
int cw_drains_is_drained(const struct cw_drains *drains,
			 const char *failure_domain); /* 1: drained */
int cw_drains_has_order(const struct cw_drains *drains,
			const char *failure_domain); /* 1: an order is known, of either kind */
size_t cw_drains_list(const struct cw_drains *drains, struct cw_drain_order *orders,
		      size_t max); /* all orders, restored domains included */

/*
 * A scan reads the newest record of each key in pages. A domain without a record is not drained:
 * from cw_drains_begin_scan() on, cw_drains_apply() marks the domains that have one, and
 * cw_drains_next_unseen() then returns orders that restore the others, one a call.
 */
void cw_drains_begin_scan(struct cw_drains *drains);
int cw_drains_next_unseen(
	struct cw_drains *drains, struct cw_position end,
	struct cw_drain_order *restored); /* order that restores a domain without a
					     record before end; 0: none is left */

#endif
