/*
 * Weighted fair share of one service's room among organisations: what each asks for over all
 * instances, and the part of it that is granted when there is room for a part of all only.
 * Max-min: an organisation that asks for less than its share gets all of it, and what it leaves
 * goes to the others. Sans-I/O.
 *
 * Load pattern: two organisations send 14 and 25 times their usual. Without shares each request
 * has the same chance, so the others lose as large a part of theirs as those two.
 */
#ifndef CW_SHARES_H
#define CW_SHARES_H

#include <stddef.h>
#include <stdint.h>

#define CW_SHARES_ORGANISATIONS                                                                    \
	64			/* kept by one instance; those that ask for least are dropped      \
				 */
#define CW_SHARES_ANNOUNCED 24	/* in one announcement, those that ask for most */
#define CW_SHARES_ORIGINS   256 /* other instances whose announcements are kept */

/* What one organisation asks for at one instance. */
struct cw_share_demand {
	uint64_t organisation; /* hash of its name */
	float weight;	       /* of its share, above 0 */
	float amount;	       /* tokens or requests, decayed to 1/e within a second */
};

struct cw_shares;

struct cw_shares *cw_shares_create(void);
void cw_shares_destroy(struct cw_shares *shares);
void cw_shares_add(struct cw_shares *shares, uint64_t organisation, double weight, double amount,
		   int64_t now_ms); /* a request that this instance got */
size_t cw_shares_announce(struct cw_shares *shares, struct cw_share_demand *demands, size_t max,
			  int64_t now_ms); /* own demands, largest first; returns their number */
void cw_shares_merge(struct cw_shares *shares, uint64_t origin,
		     const struct cw_share_demand *demands, size_t count,
		     int64_t now_ms); /* replaces the origin's earlier announcement */
double cw_shares_granted(struct cw_shares *shares, uint64_t organisation, double room,
			 int64_t now_ms); /* part of its demand, 0 to 1, with room for that part of
					     all demand; room if no demand is known */
size_t cw_shares_list(struct cw_shares *shares, struct cw_share_demand *demands, size_t max,
		      int64_t now_ms); /* demands over all known instances, largest first; the
					  amounts are parts of the whole */

#endif
