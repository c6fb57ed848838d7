/*
 * The speed of backend servers as instances have learned it, in a datagram of its own. With each
 * round an instance announces the servers of which it has new samples, and now and then others in
 * turn, so that a lost datagram delays what it held. An instance of an earlier build ignores the
 * datagram.
 */
#ifndef CW_GOSSIP_PACES_H
#define CW_GOSSIP_PACES_H

#include "cw_pool.h"
#include "cw_status.h"

#include <stddef.h>
#include <stdint.h>

#define CW_GOSSIP_PACES	      48   /* servers in one message, at most */
#define CW_GOSSIP_PACES_BYTES 1536 /* of one message, at most: 28 of a server, 88 of the rest */

struct cw_gossip_pace {
	uint64_t server; /* cw_server.id */
	struct cw_pace_evidence evidence;
	double momentary;	   /* as last reported to any instance, 0: never; in percent */
	uint32_t momentary_age_ms; /* up to 65,535 */
};

struct cw_gossip_paces {
	char sender[CW_NAME_MAX];
	int64_t announced_ms; /* Unix time by the sender's clock */
	int is_prior;	      /* the evidence of all instances, not the sender's own */
	size_t count;
	struct cw_gossip_pace paces[CW_GOSSIP_PACES];
};

/*
 * Add servers from position *next of cw_pool_worked() on: those of which the sender has own samples
 * since since_ms, or of which it knows anything. *next is advanced; 0: none is left.
 */
void cw_gossip_fill_paces(struct cw_gossip_paces *message, const struct cw_pool *pool,
			  int64_t since_ms, size_t *next, int64_t now_ms);
void cw_gossip_fill_priors(struct cw_gossip_paces *message, const struct cw_pool *pool,
			   size_t *next, int64_t now_ms);
size_t cw_gossip_encode_paces(const struct cw_gossip_paces *message, char *bytes,
			      size_t size); /* 0: it does not fit */
enum cw_status cw_gossip_decode_paces(const char *bytes, size_t size,
				      struct cw_gossip_paces *message);

#endif
