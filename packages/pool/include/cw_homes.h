/*
 * The homes of a prompt prefix: the servers that are to hold it in their prefix caches, the first
 * ones of the prefix by rendezvous. An ordinary prefix has one. Each instance counts its own
 * requests by prefix and concludes from them on the demand of all instances, without a message.
 * Homes of different instances overlap, since all take the first ones of the same order.
 */
#ifndef CW_HOMES_H
#define CW_HOMES_H

#include <stddef.h>
#include <stdint.h>

#define CW_HOMES_MAX 16 /* homes of one prefix */

struct cw_homes; /* 3 KB, whatever the number of instances, servers and prefixes */

/* Turns an instance's own requests into the number of homes. */
struct cw_homes_terms {
	size_t instances;   /* that share the callers; 0: not known, each prefix has one home */
	double server_part; /* of a server's time that one prefix may use there */
};

/* A prefix got more or fewer homes. */
struct cw_homes_change {
	uint64_t prefix;
	size_t before;
	size_t homes;
	double demand; /* servers that the prefix alone would keep busy */
};

struct cw_homes_stats {
	size_t prefixes;    /* with more than one home now */
	uint64_t at_home;   /* requests sent to a home of their prefix */
	uint64_t elsewhere; /* requests with a prefix that were sent to another server */
};

struct cw_homes *cw_homes_create(void);
void cw_homes_destroy(struct cw_homes *homes);
void cw_homes_add(struct cw_homes *homes, uint64_t prefix, double server_ms, int is_at_home,
		  int64_t now_ms); /* a request was sent; server_ms: of a server's time */
size_t cw_homes_count(struct cw_homes *homes, uint64_t prefix, const struct cw_homes_terms *terms,
		      int64_t now_ms); /* 1 to CW_HOMES_MAX */
int cw_homes_next_change(struct cw_homes *homes,
			 struct cw_homes_change *change); /* 0: none since the last call */
void cw_homes_get_stats(const struct cw_homes *homes, struct cw_homes_stats *stats);

#endif
