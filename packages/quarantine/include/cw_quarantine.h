/*
 * Quarantine of poison requests: requests that crash the backend servers that run them. Such a
 * request is retried by its caller, by each attempt and at every instance, and each run costs a
 * server and all requests running on it. So server crashes are charged to the requests that were
 * running on the server; a request with three crashes and no complete answer is quarantined, which
 * means that no instance sends it to a server. A broken connection alone is no crash:
 * cw_quarantine_note_unreachable, or several breaks at once, confirm one.
 *
 * Sans-I/O: the caller passes in sends, breaks, answers and peers' announcements, and fetches
 * quarantine changes, announcements for peers and records to write. A request passes
 * cw_quarantine_contains, then for each attempt one of cw_quarantine_note_break,
 * cw_quarantine_note_incomplete and cw_quarantine_note_answer.
 */
#ifndef CW_QUARANTINE_H
#define CW_QUARANTINE_H

#include "cw_config.h"

#include <stddef.h>
#include <stdint.h>

#define CW_QUARANTINE_MAX	   64	      /* requests quarantined at a time */
#define CW_QUARANTINE_CRASHES_MAX  32	      /* per message to a peer */
#define CW_QUARANTINE_RECORDS_MAX  16	      /* per message to a peer */
#define CW_QUARANTINE_EVIDENCE_MAX 16	      /* newest crashes kept per request */
#define CW_QUARANTINE_NEVER	   UINT32_MAX /* an age: has not happened */

/* A request as this module identifies it; the strings are for operators only. */
struct cw_quarantine_request {
	uint64_t fingerprint;	  /* cw_quarantine_fingerprint */
	const char *organisation; /* whose key the request carries */
	const char *target;	  /* a route, a model or a service */
};

/* A server crash while a request ran, or evidence that the server stayed up; sent to peers. */
struct cw_quarantine_crash {
	uint64_t fingerprint; /* unused if is_alive */
	uint64_t server;
	int is_alive;	  /* 1: no crash: a byte arrived age_ms ago on an older connection */
	uint32_t age_ms;  /* since the crash */
	uint32_t ran_ms;  /* from the request's send, or from the first byte, to the crash */
	int is_running;	  /* not queued: ran_ms counts from the first byte of the answer */
	int is_confirmed; /* the server then refused connections, or many requests broke at once */
	uint32_t answered_ms; /* since the request's last complete answer, or CW_QUARANTINE_NEVER */
};

/* A quarantined or released request, as announced to peers and persisted. */
struct cw_quarantine_record {
	uint64_t fingerprint;
	char organisation[CW_NAME_MAX];
	char target[CW_NAME_MAX];
	uint32_t crash_count; /* server crashes while the request ran, as far as known */
	uint32_t age_ms;      /* since the quarantine or the release */
	int is_released;      /* 0: quarantined */
	int is_written;	      /* published in the shared store, in its present era */
};

/* Where a decision came from. */
enum cw_quarantine_source {
	CW_QUARANTINE_OWN,	/* this instance's judgement */
	CW_QUARANTINE_PEER,	/* another instance's judgement */
	CW_QUARANTINE_STORE,	/* the shared store */
	CW_QUARANTINE_OPERATOR, /* released by an operator */
	CW_QUARANTINE_ANSWER,	/* released by a complete answer */
	CW_QUARANTINE_EXPIRED,	/* the quarantine expired */
};

/* The start or the end of a quarantine. */
struct cw_quarantine_change {
	struct cw_quarantine_record record;
	enum cw_quarantine_source source;
	unsigned int alternatives; /* alternative suspects: in two or more of the crashes */
	uint32_t outages[CW_QUARANTINE_EVIDENCE_MAX]; /* that count against the request */
	size_t outage_count;
};

/* What became known of a server's outage. */
enum cw_quarantine_finding {
	CW_QUARANTINE_DETECTED,	   /* a request broke on the server */
	CW_QUARANTINE_UNREACHABLE, /* confirmed: the server refused connections, or was removed */
	CW_QUARANTINE_BURST,	   /* confirmed: many requests broke at once */
	CW_QUARANTINE_NO_SERVER,   /* confirmed: a request sent during the outage broke at once */
	CW_QUARANTINE_REPORTED,	   /* confirmed by a peer */
	CW_QUARANTINE_FALSE_ALARM, /* the server stayed up */
};

/* An outage as this instance knows it, for logs. */
struct cw_quarantine_outage {
	uint32_t number; /* local to the instance, in order of detection */
	uint64_t server;
	uint32_t age_ms; /* since the server crashed */
	enum cw_quarantine_finding finding;
};

struct cw_quarantine;

struct cw_quarantine *cw_quarantine_create(void);
void cw_quarantine_destroy(struct cw_quarantine *quarantine);

/*
 * Identifies equal requests by path with query, organisation and body (its cw_hash). Ids, other
 * header fields, the instance, the model tried and the attempt are left out.
 */
uint64_t cw_quarantine_fingerprint(const char *path, const char *organisation, uint64_t body);

/* One request. ran_ms counts from the send to the server, or from the response head if seen. */
int cw_quarantine_contains(const struct cw_quarantine *quarantine,
			   uint64_t fingerprint); /* 1: must not be sent */
int cw_quarantine_wants_trial(const struct cw_quarantine *quarantine, uint64_t fingerprint,
			      int64_t now_ms); /* 1: alternative suspects may explain all crashes; a
						  trial run would tell */
int cw_quarantine_admits_trial(const struct cw_quarantine *quarantine, uint64_t fingerprint,
			       size_t rank, int64_t now_ms); /* the same, at the instance of this
								rank (0: first) in its turn */
void cw_quarantine_begin_trial(struct cw_quarantine *quarantine, uint64_t fingerprint,
			       int64_t now_ms); /* a trial run begins at this instance */
void cw_quarantine_note_break(struct cw_quarantine *quarantine,
			      const struct cw_quarantine_request *request, uint64_t server,
			      int64_t ran_ms, int is_running,
			      int64_t now_ms); /* the connection broke unexpectedly; is_running:
						  ran_ms counts from the first byte */
void cw_quarantine_note_past_break(struct cw_quarantine *quarantine,
				   const struct cw_quarantine_request *request, uint64_t server,
				   int64_t ran_ms, int is_running, int64_t at_ms,
				   int64_t now_ms); /* the same, of a break at at_ms that was
						       held until now */
void cw_quarantine_note_incomplete(
	struct cw_quarantine *quarantine, uint64_t fingerprint, uint64_t server, int64_t ran_ms,
	int64_t now_ms); /* ended without a complete answer: may still crash the server */
void cw_quarantine_note_answer(struct cw_quarantine *quarantine, uint64_t fingerprint,
			       uint64_t server, int64_t ran_ms,
			       int64_t now_ms); /* complete answer by a single run, of any status */
void cw_quarantine_note_unreachable(
	struct cw_quarantine *quarantine, uint64_t server,
	int64_t now_ms); /* the server refuses connections, or was removed */
void cw_quarantine_note_refused(
	struct cw_quarantine *quarantine, uint64_t server, int64_t at_ms,
	int64_t now_ms); /* the server's host refused a connection: runs that were dropped within
			    the second before at_ms may have crashed it */
void cw_quarantine_note_received(struct cw_quarantine *quarantine, uint64_t server, int64_t sent_ms,
				 int64_t now_ms); /* a byte arrived for a request sent at sent_ms */
void cw_quarantine_note_alive(struct cw_quarantine *quarantine, uint64_t server,
			      int64_t now_ms); /* the server never ended: its link was cut */
int cw_quarantine_explains_crash(
	const struct cw_quarantine *quarantine, uint64_t server,
	int64_t now_ms); /* 1: the server just crashed running a quarantined request */

/* The quarantine list over time. */
void cw_quarantine_tick(struct cw_quarantine *quarantine,
			int64_t now_ms); /* judges; call a few times a second */
int cw_quarantine_next_change(struct cw_quarantine *quarantine,
			      struct cw_quarantine_change *change); /* 0: none left */
int cw_quarantine_next_outage(struct cw_quarantine *quarantine,
			      struct cw_quarantine_outage *outage); /* 0: none left */
size_t cw_quarantine_list(const struct cw_quarantine *quarantine, int64_t now_ms,
			  struct cw_quarantine_record *records, size_t max);
int cw_quarantine_release(struct cw_quarantine *quarantine, uint64_t fingerprint,
			  int64_t now_ms); /* by an operator; 0: not quarantined */

/* Peers and the shared store. */
size_t cw_quarantine_announce_crashes(struct cw_quarantine *quarantine, int64_t now_ms,
				      struct cw_quarantine_crash *crashes, size_t max);
size_t cw_quarantine_announce_records(struct cw_quarantine *quarantine, int64_t now_ms,
				      struct cw_quarantine_record *records, size_t max);
void cw_quarantine_merge_crash(struct cw_quarantine *quarantine,
			       const struct cw_quarantine_crash *crash, int64_t now_ms);
void cw_quarantine_merge_record(struct cw_quarantine *quarantine,
				const struct cw_quarantine_record *record,
				enum cw_quarantine_source source, int64_t now_ms);
void cw_quarantine_begin_era(
	struct cw_quarantine *quarantine,
	int64_t settled_ms); /* the shared store was restored from an older copy: records may be
				missing there, and until then may be superseded ones */
int cw_quarantine_find_unwritten(
	const struct cw_quarantine *quarantine, int64_t now_ms,
	struct cw_quarantine_record *record); /* 1: found; the oldest to write. Its age counts from
						 when it became due, so that ranks take turns */
void cw_quarantine_mark_written(struct cw_quarantine *quarantine, uint64_t fingerprint,
				int is_released, int64_t now_ms);
const char *cw_quarantine_source_name(enum cw_quarantine_source source);    /* for logs */
const char *cw_quarantine_finding_name(enum cw_quarantine_finding finding); /* for logs */
size_t cw_quarantine_format_outages(const struct cw_quarantine_change *change, char *text,
				    size_t size); /* "3,5,6", for logs */

#endif
