/*
 * How far one instance has read the servers' list, which is a log of records, and what it passes
 * on. Records come by own reads and from peers, in any order and twice; each is taken once, in the
 * order of its offset, and none is skipped. Sans-I/O.
 */
#ifndef CW_FOLLOW_H
#define CW_FOLLOW_H

#include "cw_pool.h"

#include <stddef.h>
#include <stdint.h>

#define CW_FOLLOW_CHANGES 24   /* records kept for peers */
#define CW_FOLLOW_TOLD_MS 1000 /* a record is told for so long: seven rounds of messages */
#define CW_FOLLOW_STALE_MS                                                                         \
	1300 /* unheard for this long, the list is read by oneself; bound 2000                     \
	      */

/* One record of the list. */
struct cw_change {
	uint64_t offset;
	int is_gone; /* only the entry's name is told */
	struct cw_server_entry entry;
};

#define CW_FOLLOW_READERS 16 /* instances whose newest answers are told apart */

/* An answer of the store that proved a list new: whose call it was, and which of its calls. */
struct cw_follow_proof {
	uint64_t reader;
	uint64_t number; /* grows from answer to answer of that reader; 0: none yet */
};

/* What a peer says of its list. */
struct cw_follow_word {
	uint64_t from;
	int64_t age_ms; /* since it was known that nothing newer was there */
	struct cw_follow_proof proof;
};

struct cw_follow {
	uint64_t self;		      /* any number that no other instance has */
	struct cw_follow_proof proof; /* of fresh_ms */
	uint64_t answers;	      /* own ones */
	struct cw_follow_proof known[CW_FOLLOW_READERS];
	size_t known_next;
	uint64_t from;	     /* offset of the next record */
	uint64_t asked_from; /* of the own read that waits */
	int64_t fresh_ms;    /* nothing newer was there then */
	size_t count;
	struct cw_change changes[CW_FOLLOW_CHANGES]; /* one after another, the last is from - 1 */
	int64_t at_ms[CW_FOLLOW_CHANGES];
};

void cw_follow_start(struct cw_follow *follow, uint64_t from); /* the whole list was read */
void cw_follow_ask(struct cw_follow *follow);		       /* a read from follow->from begins */
int cw_follow_take_record(struct cw_follow *follow, const struct cw_change *change,
			  int64_t now_ms); /* 1: it is the next one, apply it */
void cw_follow_skip(struct cw_follow *follow,
		    uint64_t offset); /* a record that is no entry: nothing to apply */
void cw_follow_answered(struct cw_follow *follow,
			int64_t now_ms); /* the read brought all there was */
size_t cw_follow_tell(const struct cw_follow *follow, int64_t now_ms, struct cw_change *changes);
int cw_follow_hear(struct cw_follow *follow, const struct cw_change *changes, size_t count,
		   const struct cw_follow_word *word, int64_t now_ms,
		   void (*take)(void *context, const struct cw_change *change),
		   void *context); /* 0: a gap, or more is there: read */
int cw_follow_reads(const struct cw_follow *follow, size_t rank,
		    int64_t now_ms); /* 1: the instance of this rank reads by itself now */

#endif
