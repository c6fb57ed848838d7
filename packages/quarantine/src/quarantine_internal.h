/* What the files of the package share: requests under suspicion, and the ends held against them. */
#ifndef QUARANTINE_INTERNAL_H
#define QUARANTINE_INTERNAL_H

#include "cw_quarantine.h"

#include <glib.h>
#include <sys/queue.h>

#define SUSPECTS_MAX	 256  /* requests under suspicion, 0.6 KB each */
#define SUSPECTS_ONE_MAX 64   /* of one organisation: none drives out the others' */
#define HELD_ONE_MAX	 16   /* of one organisation */
#define ENDS_KEPT	 16   /* newest, of one request */
#define ENDS_TO_HOLD	 3    /* servers that one request may end */
#define OUTAGE_MS	 1000 /* after a server's end: what breaks there is of the same outage */
#define EARLIER_MS	 500 /* by so much peers may have seen an outage earlier than this instance */
#define SKEW_MS		 10 /* of a request's send against an outage's beginning, as told by peers */
#define MOMENT_MS                                                                                  \
	300 /* servers that end together have a cause of their own, for a known request            \
	     */
#define BURST_MS	20     /* requests that break within it */
#define BURST		3      /* and so many of them: their server ended */
#define QUICK_MS	10     /* a new request that breaks within it met nobody */
#define GONE_MS		4000   /* after a break: a server that takes no connection ended then */
#define STALL_MS	300    /* without a tick: what is read now came at any time since */
#define ALIVE_MS	50     /* after an end, what was on its way from the server has been read */
#define SETTLE_MS	200    /* peers' reports of the same ends are there by then */
#define FIRM_MS		1000   /* a judgement that stood for so long is told and written down, */
#define FIRM_UNCLEAR_MS 5000   /* and one for so long where others were at as many ends */
#define HOLD_MS		600000 /* then it may be tried anew: three servers in ten minutes */
#define BRIEF_HOLD_MS	10000  /* of a request that was answered lately: servers may be at fault */
#define EVIDENCE_MS	600000 /* an end counts for so long */
#define TELL_MS		1000   /* news are told for so long: seven rounds of messages */
#define NAMES_MS	2000   /* from an end until a peer has told whose request it was */
#define RELEASED_MS	60000  /* so long peers may still tell of it as held */
#define ENDS_TOLD	4      /* newest, of one request */
#define SINGLES_TOLD	8      /* in one message, of requests that are at one end only */
#define LEFT_MS		1000   /* a request that is over may still end its server */
#define TRIAL_GAP_MS	10000  /* between two trials of a held request, where one told nothing */

/* One server that ended, as far as one request is concerned. */
struct end {
	uint64_t server;
	uint32_t outage; /* its number here */
	int64_t at_ms;
	int64_t ran_ms;
	int is_running;	  /* the server was up when it began */
	int is_confirmed; /* the server ended, and did not only drop the connection */
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
	int64_t changed_ms;  /* when this instance learned either as firm, or that it was written */
	int is_firm;	     /* told to peers; stays until it is released */
	int is_brief;	     /* for a short time */
	int is_written;	     /* the store has its newest state */
	int is_blamed;	     /* by the judgement under way */
	int is_clear;	     /* and no other was at as many of its ends */
	int is_doubtful;     /* while it is held: another was at all of its ends, */
	int is_outdone;	     /* and at one more since */
	int64_t trial_ms;    /* when this instance last let it run while it was held, 0: never */
	unsigned int rivals; /* others at two or more of its ends, as it was blamed */
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
#define OUTAGES_KEPT 256 /* newest, of all servers */
#define VOID_TOLD    8	 /* in one message */
#define GOOD_SLOTS   512 /* requests that were answered whole, by fingerprint */
#define CHANGES_KEPT 64

/* One server, away from its end until it is heard again. */
struct outage {
	uint32_t number; /* 0: none */
	uint64_t server;
	int64_t at_ms;	     /* the first break */
	int64_t noted_ms;    /* the one that this instance learned of first */
	int64_t back_ms;     /* when it was heard again, 0: not yet */
	unsigned int breaks; /* requests that broke in its first moment */
	int is_confirmed;    /* not only that requests broke */
	int is_void;	     /* it had not ended: */
	int64_t heard_ms;    /* a byte came then on a connection that was there before */
	int64_t news_ms;     /* when this instance learned that */
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
	struct outage outages[OUTAGES_KEPT];
	uint64_t outage_next;
	int64_t newest_outage_ms;
	int64_t tick_ms;
	int64_t stalled_until_ms; /* bytes that are read may be old */
	size_t tell_turn;
	size_t record_turn;
	int is_dirty; /* ends or answers came since the last judgement */
};

/* quarantine.c */
int suspect_is_listed(const struct suspect *suspect); /* peers and the store are told of it */
struct suspect *suspect_find(const struct cw_quarantine *quarantine, uint64_t fingerprint);
struct suspect *suspect_learn(struct cw_quarantine *quarantine, uint64_t fingerprint,
			      const char *organisation, const char *target, int64_t now_ms);
void suspect_forget(struct cw_quarantine *quarantine, struct suspect *suspect);
int suspect_drop_end(struct suspect *suspect, uint32_t outage); /* 1: it was there */
int suspect_add_end(struct cw_quarantine *quarantine, struct suspect *suspect,
		    const struct end *end, int64_t now_ms); /* 1: news */
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

/* outages.c */
uint32_t outage_note(struct cw_quarantine *quarantine,
		     const struct end *end); /* its number; 0: the server had not ended */
int outage_met(const struct cw_quarantine *quarantine,
	       const struct end *end); /* 1: the request was there as it began */
int outage_is_confirmed(const struct cw_quarantine *quarantine, uint32_t number);
void outage_confirm(struct cw_quarantine *quarantine, uint32_t number);
void outage_broke(struct cw_quarantine *quarantine,
		  const struct end *end); /* another request did, there or after it began */
void outage_withdraw(struct cw_quarantine *quarantine, uint64_t server, int64_t at_ms,
		     int64_t now_ms); /* a byte at that moment says that there was none */
size_t outages_tell_void(const struct cw_quarantine *quarantine, int64_t now_ms,
			 struct cw_quarantine_end *ends, size_t max);

/* judge.c */
struct end *suspect_end_in(const struct suspect *suspect, uint32_t outage); /* NULL: none */
void quarantine_judge(struct cw_quarantine *quarantine, int64_t now_ms);

#endif
