/*
 * Choice of the peer that forwards a request to a backend server which this instance does not
 * reach. Sans-I/O.
 */
#ifndef CW_FORWARDER_H
#define CW_FORWARDER_H

#include "cw_membership.h"

#define CW_FORWARDERS_TRIED 3 /* peers asked for one attempt, at most */

struct cw_forwarder_choice {
	const char *failure_domain; /* of this instance */
	const uint64_t *tried;	    /* cw_member.id of peers that did not reach the server */
	size_t tried_count;
	int allows_avoided; /* also peers that failed to forward just now */
	uint64_t random;    /* any number */
	int64_t now_ms;
};

/*
 * A live peer that forwards requests and is neither leaving nor partitioned itself, NULL: none. The
 * own failure domain comes first, unless most of its instances can't forward: the others there
 * would bear the whole load.
 */
struct cw_member *cw_forwarder_choose(const struct cw_membership *membership,
				      const struct cw_forwarder_choice *choice);

#endif
