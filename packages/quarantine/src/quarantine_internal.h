/* What the files of the package share: requests under suspicion, and the ends held against them. */
#ifndef QUARANTINE_INTERNAL_H
#define QUARANTINE_INTERNAL_H

#include "cw_quarantine.h"

#include <glib.h>
#include <sys/queue.h>

#define SUSPECTS_MAX	 256 /* requests under suspicion, 0.6 KB each */
#define SUSPECTS_ONE_MAX 64  /* of one organisation: none drives out the others' */
#define HELD_ONE_MAX	 16  /* of one organisation */
#define ENDS_KEPT	 16  /* newest, of one request */
#define ENDS_TO_HOLD	 3   /* servers that one request may end */
#define SAME_END_MS                                                                                \
	1000 /* reports of one server within it are one end: it starts anew in seconds */
#define MOMENT_MS                                                                                  \
	300 /* servers that end together have a cause of their own, for a known request            \
	     */
#define STALL_MS      300    /* without a tick: what is read now came at any time since */
#define ALIVE_MS      50     /* after an end, what was on its way from the server has been read */
#define SETTLE_MS     200    /* peers' reports of the same ends are there by then */
#define FIRM_MS	      1000   /* a judgement that stood for so long is told and written down */
#define HOLD_MS	      600000 /* then it may be tried anew: three servers in ten minutes */
#define BRIEF_HOLD_MS 10000  /* of a request that was answered lately: servers may be at fault */
#define EVIDENCE_MS   600000 /* an end counts for so long */
#define TELL_MS	      2500   /* an end is told for so long: by many instances, each to a few */
#define NAMES_MS      2000   /* from an end until a peer has told whose request it was */
#define RELEASED_MS   60000  /* so long peers may still tell of it as held */
#define ENDS_TOLD     4	     /* newest, of one request */
#define LEFT_MS	      1000   /* a request that is over may still end its server */

/* One server that ended, as far as one request is concerned. */
struct end {
	uint64_t server;
	int64_t at_ms;
	int64_t ran_ms;
};

/* A request that was at a server as it ended, or that is held. */
struct suspect {
	TAILQ_ENTRY(suspect) link;
	uint64_t fingerprint;
	char organisation[CW_NAME_MAX]; /* empty: not told by the peer that reported it */
	char target[CW_NAME_MAX];
	struct end ends[ENDS_KEPT]; /* oldest first */
	size_t end_count;
	unsigned int ends_seen; /* those that were dropped included */
	int64_t answered_ms;	/* of the last whole answer: ends before it don't count; -1 none */
	int64_t news_ms;	/* when this instance last learned anything of it */
	int64_t held_ms;	/* since when, 0: not held */
	int64_t released_ms;	/* when it was taken off, 0: not, or long ago */
	int is_firm;		/* told to peers; stays until it is released */
	int is_brief;		/* for a short time */
	int is_written;		/* the store has its newest state */
	int is_blamed;		/* by the judgement under way */
	unsigned int rivals;	/* others at two or more of its ends, as it was blamed */
};

TAILQ_HEAD(suspect_list, suspect);

/* A request that is over at a server, which may still end under it. */
struct left {
	uint64_t fingerprint;
	uint64_t server;
	int64_t sent_ms;
	int64_t left_ms;
	int is_answered; /* whole: it is harmless, if the server goes on */
};

#define LEFT_KEPT    256 /* in the last second */
#define ALIVE_KEPT   16
#define ALIVE_TOLD   8	 /* in one message */
#define GOOD_SLOTS   512 /* requests that were answered whole, by fingerprint */
#define CHANGES_KEPT 128

/* A server sent a byte after it seemed to have ended. */
struct alive {
	uint64_t server;
	int64_t at_ms;
	int64_t news_ms;
};

struct good {
	uint64_t fingerprint;
	int64_t at_ms;
};

struct cw_quarantine {
	struct suspect_list suspects;
	GHashTable *by_fingerprint;
	size_t held; /* suspects with held_ms */
	struct left left[LEFT_KEPT];
	size_t left_next;
	size_t left_proved; /* those before it have been over for LEFT_MS */
	struct good good[GOOD_SLOTS];
	struct cw_quarantine_change changes[CHANGES_KEPT];
	size_t change_first, change_count;
	struct alive alive[ALIVE_KEPT];
	size_t alive_next;
	int64_t newest_end_ms;
	int64_t tick_ms;
	int64_t stalled_until_ms; /* bytes that are read may be old */
	size_t tell_turn;
	size_t record_turn;
	int is_dirty; /* ends or answers came since the last judgement */
};

/* quarantine.c */
struct suspect *suspect_find(const struct cw_quarantine *quarantine, uint64_t fingerprint);
struct suspect *suspect_learn(struct cw_quarantine *quarantine, uint64_t fingerprint,
			      const char *organisation, const char *target, int64_t now_ms);
void suspect_forget(struct cw_quarantine *quarantine, struct suspect *suspect);
int suspect_add_end(struct cw_quarantine *quarantine, struct suspect *suspect,
		    const struct end *end, int64_t now_ms); /* 1: news */
void quarantine_note_alive(struct cw_quarantine *quarantine, uint64_t server, int64_t at_ms,
			   int64_t now_ms);
void quarantine_note_left(struct cw_quarantine *quarantine, uint64_t server, int64_t at_ms,
			  int64_t now_ms); /* what was given up there lately was there too */
void suspect_answered(struct cw_quarantine *quarantine, struct suspect *suspect, int64_t at_ms,
		      int64_t now_ms);
void suspect_hold(struct cw_quarantine *quarantine, struct suspect *suspect,
		  enum cw_quarantine_source source, int64_t since_ms, int64_t now_ms);
void suspect_withdraw(struct cw_quarantine *quarantine, struct suspect *suspect,
		      int64_t now_ms); /* others explain its ends: as if it had not been held */
void suspect_release(struct cw_quarantine *quarantine, struct suspect *suspect,
		     enum cw_quarantine_source source, int64_t now_ms);
void suspect_record(const struct suspect *suspect, int64_t now_ms,
		    struct cw_quarantine_record *record);

/* judge.c */
const struct end *suspect_end_at(const struct suspect *suspect, uint64_t server, int64_t at_ms);
void quarantine_judge(struct cw_quarantine *quarantine, int64_t now_ms);

#endif
