/*
 * Which instances read the shared store, and when. Every call costs money, and what one instance
 * reads reaches the others by gossip, so a few read for all, and the others take over only when the
 * reads seem to have stopped. Sans-I/O. A rank is an instance's position among the known ones; 0 is
 * the first.
 */
#ifndef CW_READERS_H
#define CW_READERS_H

#include <stddef.h>
#include <stdint.h>

#define CW_READERS		2  /* read for all; two, since one may lose the shared store */
#define CW_READERS_STANDBY	10 /* ranks that take over soon and retry often; later ones rarely */
#define CW_READERS_DISCOVERY_MS 1000 /* after a start, until gossip has named most others */

/* Role of an instance that has just started. */
struct cw_readers_start {
	int is_first;	 /* first start of the whole system: no callers yet */
	int is_seed;	 /* the others ask this instance first */
	uint64_t random; /* any number; spreads the reads of instances that start together */
};

/* First call to the shared store after a start. */
struct cw_readers_first_call {
	int64_t wait_ms; /* to the call, unless peers send the state before */
	int is_early;	 /* without startup jitter; the others add it if they know peers */
};

/* Circumstances of an instance that is due to read a topic for the first time. */
struct cw_readers_view {
	int is_awaited;	     /* other instances depend on this one's read */
	int is_peer_sending; /* a peer sends the state, or soon will */
	int is_jitter_done;  /* the startup jitter has passed, or there is none */
	int knows_peers;     /* at least one other instance */
	int64_t running_ms;  /* since the start */
};

enum cw_readers_step {
	CW_READERS_READ,	/* read the shared store now */
	CW_READERS_AWAIT_PEER,	/* wait for a peer's state; check soon */
	CW_READERS_WAIT_JITTER, /* wait for cw_readers_jitter_ms, once */
};

enum cw_readers_step cw_readers_next_step(const struct cw_readers_view *view);
int cw_readers_is_reader(size_t rank);	     /* 1: reads for all */
int64_t cw_readers_takeover_ms(size_t rank); /* after the list became stale */
int64_t cw_readers_retry_ms(size_t rank, unsigned int failures,
			    uint64_t random); /* to the next call, after consecutive failures */
void cw_readers_start(const struct cw_readers_start *start, struct cw_readers_first_call *first);
int64_t cw_readers_jitter_ms(uint64_t random); /* startup jitter between the first page of a long
						list and the next; peers may send it before */

#endif
