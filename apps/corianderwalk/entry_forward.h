/* Requests that go to a backend server through a peer: what both instances send and read. */
#ifndef ENTRY_FORWARD_H
#define ENTRY_FORWARD_H

#include "entry.h"

/* What became of a request that a peer was asked to forward. */
enum cw_forward_result {
	CW_FORWARD_ANSWERED,  /* by the server, also with a failure */
	CW_FORWARD_DECLINED,  /* not sent: the peer can't */
	CW_FORWARD_UNSENT,    /* not sent: the server did not answer the connection attempt */
	CW_FORWARD_REFUSED,   /* not sent: the server refused the connection */
	CW_FORWARD_BROKEN,    /* may have run: the server's connection broke */
	CW_FORWARD_NOTED,     /* the same, and the peer has noted the break for the quarantine */
	CW_FORWARD_MALFORMED, /* may have run: its answer is no HTTP */
	CW_FORWARD_SILENT,    /* may have run: the peer lost its path to the server */
};

/* For the instance that asks. */
struct forward_request {
	const char *peer_address;
	uint64_t key; /* cw_member.forward_key */
	uint64_t server;
	const char *id;	      /* of the request */
	const char *instance; /* this one */
	int64_t reuse_idle_ms;
	struct cw_quarantine_request identity; /* for the peer, should the server end under it */
};

GString *forward_format_request(const struct forward_request *request,
				const GString *bytes); /* bytes: the request to the server */
enum cw_forward_result forward_read_head(const struct cw_message *answer, uint64_t server);
const char *forward_result_name(enum cw_forward_result result);
uint64_t forward_request_key(const char *id); /* cw_exchange_request.request_key of its runs, own
						 ones and those for peers; an empty id: 0 */

/* For the instance that forwards: requests at its listener for peers. */
int forward_is_request(const struct cw_message *request);
void forward_start(struct forwards *forwards, struct cw_caller *caller,
		   const struct cw_message *request);
void forward_handle_disconnect(void *forward); /* the peer closed the connection */
void forward_resume(void *forward);	       /* the peer has read the buffered answer */

#endif
