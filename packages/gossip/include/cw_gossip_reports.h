/*
 * What backend servers have reported about themselves in their answers, in a datagram of its own
 * that instances send each other while there is such a report. An instance thus knows of a report
 * before its first request to the server. A lost or old datagram does no harm, since the next one
 * carries the reports again.
 */
#ifndef CW_GOSSIP_REPORTS_H
#define CW_GOSSIP_REPORTS_H

#include "cw_pool.h"
#include "cw_status.h"

#include <stddef.h>
#include <stdint.h>

#define CW_GOSSIP_REPORTS 32 /* servers in one message, at most; of more, others in each */

/* What a backend server has reported in an answer to the sender or to others. */
struct cw_gossip_report {
	uint64_t server; /* cw_server.id */
	int is_leaving;
	int is_limited;
	double per_s;	      /* its rate limit, 0: none */
	uint32_t sent_ms;     /* age of the request that was answered */
	uint32_t received_ms; /* age of the answer */
	int is_brittle;	      /* an instance of an earlier build sends none of these */
	double tolerated_per_s;
	uint32_t brittle_sent_ms;     /* ages as above */
	uint32_t brittle_received_ms; /* UINT32_MAX: the server has not said so */
};

struct cw_gossip_reports {
	char sender[CW_NAME_MAX];
	size_t count;
	struct cw_gossip_report reports[CW_GOSSIP_REPORTS];
};

void cw_gossip_fill_reports(struct cw_gossip_reports *message, const char *sender,
			    const struct cw_pool *pool, uint64_t random,
			    int64_t now_ms); /* random: any number */
void cw_gossip_read_report(const struct cw_gossip_report *announced,
			   struct cw_rate_limit_report *report,
			   int64_t received_ms); /* received_ms: when the message arrived */
void cw_gossip_read_brittle(const struct cw_gossip_report *announced,
			    struct cw_brittle_report *report,
			    int64_t received_ms); /* received_ms: when the message arrived */
size_t cw_gossip_encode_reports(const struct cw_gossip_reports *message, char *bytes,
				size_t size); /* 0: it does not fit */
enum cw_status cw_gossip_decode_reports(const char *bytes, size_t size,
					struct cw_gossip_reports *message);

#endif
