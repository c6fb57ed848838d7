/*
 * One instance's read position in the server list, which is a log of records, and the records that
 * it announces to peers. Records arrive by own reads and from peers, out of order and repeatedly;
 * each is applied once, in the order of offsets, without a gap. Records of another era than the
 * read position's are not applied: a snapshot of that era comes first. Sans-I/O.
 */
#ifndef CW_FOLLOW_H
#define CW_FOLLOW_H

#include "cw_pool.h"
#include "cw_position.h"

#include <stddef.h>
#include <stdint.h>

#define CW_FOLLOW_CHANGES     24   /* newest records, kept for peers */
#define CW_FOLLOW_ANNOUNCE_MS 1000 /* a record is announced for so long: seven gossip rounds */
#define CW_FOLLOW_STALE_MS    1300 /* age at which other ranks read the list too; bound 2000 */

/* One record of the server list. */
struct cw_change {
	uint64_t offset;
	int is_removed; /* the entry has only its name */
	struct cw_server_entry entry;
};

#define CW_FOLLOW_READERS 16 /* instances whose newest answers are tracked */

/* Freshness evidence of a list: the shared store's answer, by the calling instance and number. */
struct cw_follow_evidence {
	uint64_t reader;
	uint64_t number; /* of the answer, counted by that reader; 0: none yet */
};

/* A peer's report on its copy of the server list. */
struct cw_follow_report {
	struct cw_position next; /* of the peer's next record */
	int64_t age_ms;		 /* since the copy was known to be current */
	struct cw_follow_evidence evidence;
};

struct cw_follow {
	uint64_t self;			    /* unique number of this instance */
	struct cw_follow_evidence evidence; /* on which fresh_ms rests */
	uint64_t answer_count;		    /* of the shared store to this instance, so far */
	struct cw_follow_evidence newest_evidence[CW_FOLLOW_READERS]; /* one per reader */
	size_t next_evidence_slot;				      /* to reuse */
	struct cw_position next;				      /* of the next record */
	struct cw_position read_from; /* where the own read in progress began */
	int64_t fresh_ms;	      /* when the list was last known to be current */
	size_t count;
	struct cw_change
		changes[CW_FOLLOW_CHANGES]; /* consecutive, of next.era; the last is before next */
	int64_t applied_ms[CW_FOLLOW_CHANGES];
};

void cw_follow_reset(struct cw_follow *follow,
		     struct cw_position next);	     /* a snapshot was applied */
void cw_follow_begin_read(struct cw_follow *follow); /* a read from follow->next begins */
int cw_follow_apply_record(struct cw_follow *follow, const struct cw_change *change,
			   int64_t now_ms); /* 1: the next record, to be applied */
void cw_follow_skip(struct cw_follow *follow,
		    uint64_t offset); /* passes a record that holds no entry */
void cw_follow_end_read(struct cw_follow *follow,
			int64_t now_ms); /* the read reached the end of the log */
size_t cw_follow_collect_changes(const struct cw_follow *follow, int64_t now_ms,
				 struct cw_change *changes);
int cw_follow_merge_changes(struct cw_follow *follow, const struct cw_change *changes, size_t count,
			    const struct cw_follow_report *peer_report, int64_t now_ms,
			    void (*apply)(void *context, const struct cw_change *change),
			    void *context); /* 0: records are missing: read them; changes and
					       report are of one era, a report of another era
					       than follow->next.era has no effect */
int cw_follow_is_reader(
	const struct cw_follow *follow, size_t rank,
	int64_t now_ms); /* 1: the instance of this rank reads the shared store now */

#endif
