/*
 * How much state an instance sends to peers that ask for it. Its link carries its callers' answers
 * as well. Sans-I/O.
 */
#ifndef CW_UPLINK_H
#define CW_UPLINK_H

#include <stddef.h>
#include <stdint.h>

struct cw_uplink {
	double bytes_per_ms;  /* that may go to peers; 0: no limit */
	double busy_until_ms; /* what was taken on is sent by then */
};

void cw_uplink_open(struct cw_uplink *uplink, double link_mbps); /* 0: not known */
int cw_uplink_admits(const struct cw_uplink *uplink,
		     int64_t now_ms); /* 0: peers wait already, another instance is to be asked */
void cw_uplink_sent(struct cw_uplink *uplink, size_t bytes, int64_t now_ms);

#endif
