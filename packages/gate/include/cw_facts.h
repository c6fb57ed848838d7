/* Plain data exchanged with the gate: the request, the response head and the dispatch to a server.
 */
#ifndef CW_FACTS_H
#define CW_FACTS_H

#include "cw_config.h"

#include <stddef.h>
#include <stdint.h>

#define CW_PROMPT_SEGMENTS_MAX 8   /* prompt segments of one request that placement considers */
#define CW_KEY_MAX	       128 /* bytes of a caller's API key */
#define CW_NO_EVENT	       (-1)
#define CW_ANY_MODEL	       "*"

/* A segment of a prompt, which an engine may hold in its prefix cache. */
struct cw_prompt_segment {
	uint64_t id;
	unsigned int tokens;
};

/* A request as its caller sent it. */
struct cw_request_info {
	char id[CW_ID_MAX]; /* id of this request; a caller's retry has another one */
	char host[CW_NAME_MAX * 2];
	const char *path; /* with the query string; points into the message */
	char key[CW_KEY_MAX];
	int64_t allowed_ms;		/* time limit given by the caller; -1: none given */
	int64_t last_event;		/* last event id that the caller received, or CW_NO_EVENT */
	char model[CW_NAME_MAX];	/* CW_ANY_MODEL: the gate chooses */
	double prompt_tokens;		/* size of the prompt as the caller stated it */
	double max_output_tokens;	/* upper limit of output tokens */
	double estimated_output_tokens; /* caller's median estimate of output tokens; 0: none */
	size_t segment_count;
	struct cw_prompt_segment segments[CW_PROMPT_SEGMENTS_MAX];
	char session[CW_ID_MAX]; /* empty: none */
	size_t body_bytes;	 /* size of the request body */
	uint64_t body;		 /* hash of the request body */
	int is_head;		 /* HEAD request: the answer has no body */
};

enum cw_field_state {
	CW_FIELD_ABSENT,
	CW_FIELD_VALID,
	CW_FIELD_INVALID, /* not readable, or repeated */
};

/* The head of a backend server's response. */
struct cw_response_head {
	unsigned int status;
	int is_signed;	     /* carries the server's own signature */
	int is_not_run;	     /* the server states that it did not run the request and never will */
	int is_other_server; /* the address now belongs to another server */
	int is_encoded;	     /* content encoding was applied: not the server's own body */
	int is_event_stream; /* an event stream */
	int confidence;	     /* the model's confidence in its answer, 0 to 100; -1: not given */
	int has_warmup_time;
	int64_t cold_ms; /* remaining warm-up time, in which the server handles few requests */
	int has_load;
	unsigned int running, queued, slots;
	enum cw_field_state momentary;	/* CW_FIELD_ABSENT: as usual, as far as is known */
	double momentary_pace;		/* how long work takes on its machine now, 1: as usual */
	enum cw_field_state rate_limit; /* CW_FIELD_ABSENT: the server takes any rate */
	double rate_limit_per_s;	/* requests that it takes from all instances together */
	enum cw_field_state brittle;	/* CW_FIELD_ABSENT: the server is not */
	double tolerated_per_s;		/* rejections for want of room; with more it falls over */
	enum cw_field_state leaving;
	int is_leaving; /* the server shuts down soon, whatever the server list says */
	enum cw_field_state rest;
	double rest_s; /* the server wants no request of this instance for so long */
};

/* Values that one attempt sends to the backend server along with the request. */
struct cw_dispatch {
	char server[CW_NAME_MAX]; /* name of the only server that may run the request */
	char organisation[CW_NAME_MAX];
	char model[CW_NAME_MAX]; /* empty: as the caller sent it */
	int64_t allowed_ms;	 /* time left until the deadline */
	int64_t last_event;
	int urgency; /* 0 (most urgent) to 9; -1: not given */
};

#endif
