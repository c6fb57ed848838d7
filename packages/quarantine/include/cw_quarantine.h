/*
 * Requests that end the backend servers that run them. Such a request is sent again and again, by
 * its caller, by each attempt and to every instance, and each time costs a server and all that it
 * was running. So the ends of servers are held against the requests that were there; one that has
 * ended three and was never answered is held: it is sent nowhere any more. That a connection broke
 * is not yet the end of a server: cw_quarantine_gone, or several breaks at once, confirm it.
 *
 * Sans-I/O: sends, breaks, answers and peers' news come in; what is held, news for peers and
 * changes to write down come out. A request goes through cw_quarantine_holds, then for each attempt
 * one of cw_quarantine_broke, cw_quarantine_left and cw_quarantine_answered.
 */
#ifndef CW_QUARANTINE_H
#define CW_QUARANTINE_H

#include "cw_config.h"

#include <stddef.h>
#include <stdint.h>

#define CW_QUARANTINE_HELD    64	 /* requests held at a time */
#define CW_QUARANTINE_ENDS    32	 /* in one message to a peer */
#define CW_QUARANTINE_RECORDS 16	 /* in one message to a peer */
#define CW_QUARANTINE_NEVER   UINT32_MAX /* an age: it has not happened */

/* A request as this module knows it; the texts are for operators only. */
struct cw_quarantine_request {
	uint64_t fingerprint;	  /* cw_quarantine_fingerprint */
	const char *organisation; /* who asks */
	const char *target;	  /* what is asked: a route, a model, a service */
};

/* One server ended while a request was there, or sent a byte after it seemed to; told to peers. */
struct cw_quarantine_end {
	uint64_t fingerprint; /* of no matter where is_alive */
	uint64_t server;
	int is_alive;	      /* the byte came age_ms ago: it had not ended before */
	uint32_t age_ms;      /* since the end */
	uint32_t ran_ms;      /* from the request's send, or the first byte, to the end */
	int is_running;	      /* the server had begun to answer it, and was up then */
	int is_confirmed;     /* the server took no connection after it, or broke many at once */
	uint32_t answered_ms; /* since the request was last answered whole, CW_QUARANTINE_NEVER */
};

/* A request that is held, or was taken off the list, as told to peers and written down. */
struct cw_quarantine_record {
	uint64_t fingerprint;
	char organisation[CW_NAME_MAX];
	char target[CW_NAME_MAX];
	uint32_t ends;	 /* servers that ended under it, as far as is known */
	uint32_t age_ms; /* since it was held, or taken off */
	int is_released; /* taken off */
	int is_written;	 /* in the store */
};

/* Where a decision came from. */
enum cw_quarantine_source {
	CW_QUARANTINE_OWN,	/* this instance's judgement */
	CW_QUARANTINE_PEER,	/* another instance's */
	CW_QUARANTINE_STORE,	/* it was written down */
	CW_QUARANTINE_OPERATOR, /* taken off by hand */
	CW_QUARANTINE_ANSWER,	/* it was answered whole after all */
	CW_QUARANTINE_TIME,	/* it was held for long enough */
};

/* A request is held from now on, or not any more. */
struct cw_quarantine_change {
	struct cw_quarantine_record record;
	enum cw_quarantine_source source;
	unsigned int rivals; /* other requests that were at two or more of its ends */
};

struct cw_quarantine;

struct cw_quarantine *cw_quarantine_create(void);
void cw_quarantine_destroy(struct cw_quarantine *quarantine);

/*
 * What makes two requests the same one: the path with its query, who asks, the body (its cw_hash).
 * Ids, other header fields, the instance, the model tried and the attempt say nothing.
 */
uint64_t cw_quarantine_fingerprint(const char *path, const char *organisation, uint64_t body);

/* One request. ran_ms counts from its send to that server. */
int cw_quarantine_holds(const struct cw_quarantine *quarantine,
			uint64_t fingerprint); /* 1: to be sent nowhere */
int cw_quarantine_wants_trial(
	const struct cw_quarantine *quarantine, uint64_t fingerprint,
	int64_t now_ms); /* 1: another request may explain all of its ends; one run would tell */
void cw_quarantine_try(struct cw_quarantine *quarantine, uint64_t fingerprint,
		       int64_t now_ms); /* that run begins here; only one instance may do so */
void cw_quarantine_broke(struct cw_quarantine *quarantine,
			 const struct cw_quarantine_request *request, uint64_t server,
			 int64_t ran_ms, int is_running,
			 int64_t now_ms); /* its connection broke, not by plan; is_running: ran_ms
					     counts from its first byte */
void cw_quarantine_left(struct cw_quarantine *quarantine, uint64_t fingerprint, uint64_t server,
			int64_t ran_ms, int64_t now_ms); /* given up, or a part of an answer came:
							    it may still end that server */
void cw_quarantine_answered(struct cw_quarantine *quarantine, uint64_t fingerprint, uint64_t server,
			    int64_t ran_ms,
			    int64_t now_ms); /* whole and by one run, whatever the status */
void cw_quarantine_gone(struct cw_quarantine *quarantine, uint64_t server,
			int64_t now_ms); /* it takes no connection, or is not listed any more */
void cw_quarantine_heard(struct cw_quarantine *quarantine, uint64_t server, int64_t sent_ms,
			 int64_t now_ms); /* a byte came from it, for a request sent then */
int cw_quarantine_doubts(const struct cw_quarantine *quarantine, uint64_t server,
			 int64_t now_ms); /* 1: it just ended under a request that is held */

/* The list, with time. */
void cw_quarantine_tick(struct cw_quarantine *quarantine,
			int64_t now_ms); /* judges; a few times a second */
int cw_quarantine_next_change(struct cw_quarantine *quarantine,
			      struct cw_quarantine_change *change); /* 0: none left */
size_t cw_quarantine_list(const struct cw_quarantine *quarantine, int64_t now_ms,
			  struct cw_quarantine_record *records, size_t max);
int cw_quarantine_release(struct cw_quarantine *quarantine, uint64_t fingerprint,
			  int64_t now_ms); /* by an operator; 0: it isn't held */

/* Peers and the store. */
size_t cw_quarantine_tell_ends(struct cw_quarantine *quarantine, int64_t now_ms,
			       struct cw_quarantine_end *ends, size_t max);
size_t cw_quarantine_tell_records(struct cw_quarantine *quarantine, int64_t now_ms,
				  struct cw_quarantine_record *records, size_t max);
void cw_quarantine_hear_end(struct cw_quarantine *quarantine, const struct cw_quarantine_end *end,
			    int64_t now_ms);
void cw_quarantine_hear_record(struct cw_quarantine *quarantine,
			       const struct cw_quarantine_record *record,
			       enum cw_quarantine_source source, int64_t now_ms);
int cw_quarantine_unwritten(const struct cw_quarantine *quarantine, int64_t now_ms,
			    struct cw_quarantine_record *record); /* 1: the oldest to write */
void cw_quarantine_written(struct cw_quarantine *quarantine, uint64_t fingerprint, int is_released,
			   int64_t now_ms);
const char *cw_quarantine_source_name(enum cw_quarantine_source source); /* for logs */

#endif
