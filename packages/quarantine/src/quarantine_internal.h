/* Suspect requests and the server crashes that they took part in; internal to the package. */
#ifndef QUARANTINE_INTERNAL_H
#define QUARANTINE_INTERNAL_H

#include "cw_quarantine.h"

#include <glib.h>
#include <sys/queue.h>

#define SUSPECTS_MAX			 256 /* suspect requests, 0.6 KB each */
#define SUSPECTS_PER_ORGANISATION_MAX	 64  /* no organisation evicts the suspects of others */
#define QUARANTINED_PER_ORGANISATION_MAX 16
#define CRASHES_KEPT			 CW_QUARANTINE_EVIDENCE_MAX
#define CRASHES_TO_QUARANTINE		 3 /* server crashes that quarantine a request */
#define OUTAGE_MS			 1000 /* breaks this soon after a crash belong to the same outage */
#define DETECTION_LAG_MS		 500 /* a peer may detect an outage this much earlier */
#define SKEW_MS				 10 /* error of a send time relative to an outage's start */
#define RESTART_MS			 100 /* no server restarts and runs requests in less time */
/* Servers that crash within this time share a cause, which charges a known request only once. */
#define COMMON_CAUSE_MS 300
#define BURST_MS	20 /* BURST_BREAKS requests that break within this time confirm a crash */
#define BURST_BREAKS	3
/* A request sent during an outage that breaks this soon found no server. */
#define IMMEDIATE_BREAK_MS 10
#define UNREACHABLE_MS	   4000 /* a connection refused this soon after a break confirms a crash */
/* After a gap this long between ticks, bytes just read may have arrived at any time in the gap. */
#define STALL_MS	      300
#define IN_FLIGHT_MS	      50 /* after a crash; bytes sent before have been read by then */
#define SETTLE_MS	      200 /* after a crash; peers' reports of the crash have arrived by then */
#define COMMIT_MS	      400  /* a decision that stands this long is announced and persisted */
#define TRIAL_WAIT_MS	      1000 /* of the less likely of two doubtful requests */
#define LIKELIER_TRIAL_MS     5000 /* of the likelier one */
#define QUARANTINE_MS	      600000 /* a poison request costs three crashes in ten minutes */
#define SHORT_QUARANTINE_MS   10000  /* for a request answered before: servers may be at fault */
#define EVIDENCE_MS	      600000 /* age up to which a crash counts as evidence */
#define ANNOUNCE_MS	      1000   /* how long a change is announced: seven gossip rounds */
#define OWNER_WAIT_MS	      2000   /* by then a peer has reported the organisation and target */
#define TOMBSTONE_MS	      60000 /* peers may announce a released request as quarantined this long */
#define ANNOUNCED_CRASHES_MAX 4	    /* newest crashes announced per suspect */
#define ANNOUNCED_SINGLES_MAX 8	    /* suspects with a single crash, per message */
#define FINISHED_MS	      1000 /* a finished request may still crash its server for this long */
#define LATE_CRASH_MS	      100  /* a crash this soon after a run's end is due to its request */
#define TRIAL_TURN_MS	      1000 /* between two instances that may try the same request */
#define TRIAL_TURNS_MAX	      15   /* all further instances have the last turn */
#define TRIAL_GAP_MS	      10000 /* least time between two trials of a quarantined request */

/* A server crash that a suspect request took part in. */
struct crash {
	uint64_t server;
	uint32_t outage; /* local number of the outage */
	int64_t at_ms;
	int64_t ran_ms;	  /* how long the request had run by then */
	int is_running;	  /* not queued: ran_ms counts from the first byte of the answer */
	int is_confirmed; /* the server crashed, rather than only dropped the connection */
	int is_late;	  /* longer than LATE_CRASH_MS after the run's end */
	int is_finished;  /* the run had ended, or may have: its connection need not have broken */
	int64_t lag_ms;	  /* at_ms may be late by as much */
};

/* A request that was running on a server when it crashed, or that is quarantined. */
struct suspect {
	TAILQ_ENTRY(suspect) link;
	uint64_t fingerprint;
	char organisation[CW_NAME_MAX]; /* empty: the peer that reported the request left it out */
	char target[CW_NAME_MAX];
	struct crash crashes[CRASHES_KEPT]; /* oldest first */
	size_t crash_count;
	unsigned int crashes_seen; /* including the ones dropped for space */
	int64_t answered_ms; /* last complete answer, which clears all earlier crashes; -1: none */
	int64_t updated_ms;  /* when this instance last learned anything of the request */
	int64_t quarantined_ms; /* start of the quarantine, 0: not quarantined */
	int64_t released_ms;	/* time of the release, 0: none, or long ago */
	int64_t changed_ms;	/* last committed quarantine, release, or write to the store */
	int is_committed;	/* announced to peers; stays set until the request is released */
	int is_short;		/* quarantined for SHORT_QUARANTINE_MS instead of QUARANTINE_MS */
	int is_written;		/* the shared store has the newest state, in its present era */
	int is_culprit;		/* found by the judgement that is running */
	int is_sole_candidate;	/* no other request took part in as many of its crashes */
	int is_ambiguous;  /* while quarantined: another request took part in all of its crashes */
	int is_reviewed;   /* judged again LIKELIER_TRIAL_MS after the decision */
	int is_superseded; /* while quarantined: another request explains its crashes better */
	int64_t trial_ms;  /* last trial run by this instance during the quarantine, 0: none */
	unsigned int alternatives; /* alternative suspects, in two or more of its crashes */
};

TAILQ_HEAD(suspect_list, suspect);

/* A request that finished at a server and may still crash the server. */
struct finished {
	uint64_t fingerprint;
	uint64_t server;
	int64_t sent_ms;
	int64_t finished_ms;
	int is_answered;    /* completely: the request is harmless if the server stays up */
	int64_t charged_ms; /* the crash of the server since, 0: none */
};

#define FINISHED_KEPT		   256 /* requests finished in the last second */
#define OUTAGES_KEPT		   256 /* newest outages, of all servers */
#define ANNOUNCED_FALSE_ALARMS_MAX 8   /* per message */
#define ANSWERED_SLOTS		   512 /* completely answered requests, by fingerprint */
#define CHANGES_KEPT		   64
#define FINDINGS_KEPT		   64

/* The time from a server's crash until the server is seen alive. */
struct outage {
	uint32_t number; /* 0: unused slot */
	uint64_t server;
	int64_t at_ms;	      /* the earliest break */
	int64_t detected_ms;  /* the break that this instance learned of first */
	int64_t lag_ms;	      /* other instances may have detected the outage this much earlier */
	int64_t recovered_ms; /* when the server was seen alive after the outage, 0: not yet */
	unsigned int breaks;  /* running requests that broke within BURST_MS of detected_ms */
	int is_confirmed;     /* a crash, by more evidence than one broken request */
	int is_false_alarm;   /* the server had not crashed */
	int64_t last_seen_ms; /* when a byte arrived on a connection opened before the outage */
	int64_t updated_ms;   /* when this instance learned of the false alarm */
};

struct answered {
	uint64_t fingerprint;
	int64_t at_ms;
};

struct cw_quarantine {
	struct suspect_list suspects;
	GHashTable *by_fingerprint;
	size_t quarantined_count;
	struct finished finished[FINISHED_KEPT];
	size_t finished_next;
	size_t finished_verified; /* entries before this index are older than FINISHED_MS */
	struct answered answered[ANSWERED_SLOTS];
	struct cw_quarantine_change changes[CHANGES_KEPT];
	size_t change_first, change_count;
	struct cw_quarantine_outage findings[FINDINGS_KEPT];
	size_t finding_first, finding_count;
	struct outage outages[OUTAGES_KEPT];
	uint64_t outage_next;
	int64_t newest_outage_ms;
	int64_t tick_ms;
	int64_t stalled_until_ms; /* until then, bytes just read may have arrived long ago */
	int64_t stall_ms;	  /* length of that stall */
	size_t single_turn;	  /* round-robin position among the suspects with a single crash */
	int64_t judged_until_ms;  /* later crashes do not count in the judgement that is running */
	size_t record_turn; /* round-robin position among the records that did not change lately */
	int is_dirty;	    /* crashes or answers arrived since the last judgement */
	int64_t settled_ms; /* until then the store's records may be superseded ones */
};

/* quarantine.c */
int suspect_is_announced(const struct suspect *suspect); /* to peers and the shared store */
struct suspect *suspect_find(const struct cw_quarantine *quarantine, uint64_t fingerprint);
struct suspect *
suspect_find_or_add(struct cw_quarantine *quarantine, uint64_t fingerprint,
		    const char *organisation, const char *target,
		    int64_t now_ms); /* may evict, and free, any suspect but the returned one */
void suspect_remove(struct cw_quarantine *quarantine, struct suspect *suspect);
int suspect_remove_crash(struct suspect *suspect, uint32_t outage); /* 1: removed, 0: not found */
int suspect_add_crash(struct cw_quarantine *quarantine, struct suspect *suspect,
		      const struct crash *crash,
		      int64_t now_ms); /* 1: added, 0: known or irrelevant */
void quarantine_charge_finished(struct cw_quarantine *quarantine, uint64_t server, int64_t at_ms,
				int64_t now_ms); /* charges requests that finished just before; may
						    evict suspects */
void quarantine_verify_answers(
	struct cw_quarantine *quarantine,
	int64_t now_ms); /* marks requests as answered if their servers stayed up after it */
void suspect_note_answer(struct cw_quarantine *quarantine, struct suspect *suspect, int64_t at_ms,
			 int64_t now_ms);
void suspect_quarantine(struct cw_quarantine *quarantine, struct suspect *suspect,
			enum cw_quarantine_source source, int64_t since_ms, int64_t now_ms);
void suspect_withdraw(struct cw_quarantine *quarantine, struct suspect *suspect,
		      int64_t now_ms); /* undoes a quarantine whose crashes others explain */
void suspect_release(struct cw_quarantine *quarantine, struct suspect *suspect,
		     enum cw_quarantine_source source, int64_t now_ms);
void suspect_fill_record(const struct suspect *suspect, int64_t now_ms,
			 struct cw_quarantine_record *record);

/* outages.c */
int64_t quarantine_stall_ms(const struct cw_quarantine *quarantine,
			    int64_t now_ms); /* what is read now may have arrived this long ago */
uint32_t outage_find_or_add(struct cw_quarantine *quarantine, const struct crash *crash,
			    int64_t now_ms); /* the outage's number; 0: a false alarm */
int outage_covers(const struct cw_quarantine *quarantine,
		  const struct crash *crash); /* 1: the request ran when the outage began */
int outage_is_confirmed(const struct cw_quarantine *quarantine, uint32_t number);
void outage_confirm(struct cw_quarantine *quarantine, uint32_t number,
		    enum cw_quarantine_finding finding, int64_t now_ms);
void outage_add_break(struct cw_quarantine *quarantine, const struct crash *crash,
		      int64_t now_ms); /* by a request sent before or during the outage */
void outage_mark_false_alarm(struct cw_quarantine *quarantine, uint64_t server, int64_t at_ms,
			     int64_t now_ms); /* a byte that arrived at at_ms proves it */
size_t outages_announce_false_alarms(const struct cw_quarantine *quarantine, int64_t now_ms,
				     struct cw_quarantine_crash *crashes, size_t max);

/* judge.c */
struct crash *suspect_find_crash(const struct suspect *suspect, uint32_t outage); /* NULL: none */
int suspect_is_doubtful(const struct cw_quarantine *quarantine, const struct suspect *suspect,
			int64_t now_ms); /* another quarantined request explains its crashes */
int suspect_is_covered(const struct cw_quarantine *quarantine, const struct suspect *suspect,
		       int64_t now_ms); /* another suspect was present at all its crashes */
int suspect_is_proven(const struct cw_quarantine *quarantine, const struct suspect *suspect,
		      int64_t now_ms); /* crashed a server alone during its quarantine */
void quarantine_judge(struct cw_quarantine *quarantine, int64_t now_ms);

#endif
