/*
 * Which instances read the store, and when. Every call is paid for, and what one instance has read
 * reaches the others in messages, so a few read for all and the others step in only when nobody
 * seems to. Sans-I/O; a rank is an instance's place among those that it knows, 0 the first.
 */
#ifndef CW_READERS_H
#define CW_READERS_H

#include <stddef.h>
#include <stdint.h>

#define CW_READERS	    2	 /* that read for all: one of them may be cut off */
#define CW_READERS_STAND_IN 10	 /* ranks that step in at once and try often; the others rarely */
#define CW_READERS_KNOWN_MS 1000 /* after a start: by then messages have named most others */

/* What an instance that has just started knows of its place. */
struct cw_readers_start {
	int is_first;	 /* all start for the first time: nobody asks for anything yet */
	int is_seed;	 /* the others ask this one first */
	uint64_t random; /* any number: instances that start together don't read together */
};

/* Its first call of the store. */
struct cw_readers_first {
	int64_t wait_ms; /* peers may be sooner */
	int is_early; /* it is made then; the others rest once more where they have heard of peers
		       */
};

/* What an instance that has not read a topic knows, as it would read it. */
struct cw_readers_view {
	int is_awaited;	    /* the others wait for what this one reads */
	int is_coming;	    /* a peer sends the state, or would soon */
	int has_rested;	    /* once since the start */
	int knows_peers;    /* of any other instance */
	int64_t running_ms; /* since the start */
};

enum cw_readers_step {
	CW_READERS_ASK,	  /* the store, now */
	CW_READERS_AWAIT, /* what a peer sends; look again soon */
	CW_READERS_REST,  /* for cw_readers_rest_ms, once */
};

enum cw_readers_step cw_readers_next(const struct cw_readers_view *view);
int cw_readers_is_first(size_t rank);	    /* reads for all */
int64_t cw_readers_step_in_ms(size_t rank); /* after the list has grown old */
int64_t cw_readers_again_ms(size_t rank, unsigned int failures,
			    uint64_t random); /* to the next call, after so many failed in a row */
void cw_readers_start(const struct cw_readers_start *start, struct cw_readers_first *first);
int64_t cw_readers_rest_ms(uint64_t random); /* from the first page of a long list to the next:
						peers may be sooner */

#endif
