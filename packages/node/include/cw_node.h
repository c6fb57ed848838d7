/*
 * The decision logic of one instance, sans-I/O: events go in, effects come out. The module uses no
 * clock, socket or thread: time comes with the events, random numbers from the configured seed.
 * The daemon, the fuzzer and the experiment tool all drive the node through this header.
 *
 *	struct cw_effects effects;
 *
 *	cw_effects_open(&effects);
 *	cw_node_step(node, &event, &effects);
 *	while ((effect = cw_effects_pop(&effects))) {
 *		... carry it out ...
 *		cw_effect_destroy(effect);
 *	}
 */
#ifndef CW_NODE_H
#define CW_NODE_H

#include "cw_cascade.h"
#include "cw_health.h"
#include "cw_peer.h"
#include "cw_pool.h"
#include "cw_status.h"
#include "cw_table.h"

#include <stddef.h>
#include <stdint.h>
#include <sys/queue.h>

enum cw_stream {
	CW_STREAM_TABLE,   /* edits and snapshots of the table */
	CW_STREAM_CLAIMS,  /* claims of idempotency keys, their outcomes and releases */
	CW_STREAM_NOTICES, /* trips, quarantine records and leases */
	CW_STREAM_BILLS,
	CW_STREAM_COUNT,
};

enum cw_error_code {
	CW_CODE_UNAUTHORISED,
	CW_CODE_NOT_ALLOWED,
	CW_CODE_BAD_REQUEST,
	CW_CODE_LIMIT_EXCEEDED,
	CW_CODE_OVERLOADED,
	CW_CODE_NO_BACKEND_SERVER,
	CW_CODE_PLATFORM_UNAVAILABLE,
	CW_CODE_DUPLICATE,
	CW_CODE_LEAVING,
	CW_CODE_UPSTREAM_FAILED,
	CW_CODE_DEADLINE,
	CW_CODE_QUARANTINED, /* the request is sent to no server: it crashed servers before */
	CW_CODE_COUNT,
};

enum cw_request_flag {
	CW_REQUEST_STREAM = 1,
	CW_REQUEST_IDEMPOTENT = 2,
	CW_REQUEST_SERVICE = 4, /* for a plain service; otherwise for a model on an engine */
	CW_REQUEST_BATCH = 8,	/* a longer predicted wait is accepted */
};

struct cw_node_request {
	uint64_t handle; /* set by the program that drives the node; never reused */
	unsigned int flags;
	char key_sha256[CW_SHA256_HEX];
	char request_id[CW_ID_MAX];
	char target[CW_NAME_MAX]; /* model, "auto", or the service's name */
	char idempotency_key[CW_ID_MAX];
	char session_id[CW_ID_MAX];
	char session_token[CW_TOKEN_MAX];
	char task[CW_NAME_MAX];
	uint64_t prefix; /* hash of the prompt prefix, 0 none */
	uint64_t body;	 /* hash of the whole body */
	unsigned int prompt_tokens;
	unsigned int max_tokens;
	int64_t deadline_ms; /* on the clock of now_ms; 0: request_timeout_ms from now */
};

enum cw_attempt_result {
	CW_ATTEMPT_ANSWERED,	 /* complete and well-formed answer */
	CW_ATTEMPT_CLIENT_ERROR, /* 4xx but 408 and 429: forwarded to the caller, not billed */
	CW_ATTEMPT_NOT_SENT,	 /* no byte reached the server */
	CW_ATTEMPT_BUSY,	 /* 429, so that nothing ran, or 503 */
	CW_ATTEMPT_FAILED,	 /* 5xx or 408, malformed or too long answer */
	CW_ATTEMPT_INTERRUPTED,	 /* connection lost, answer stalled or timed out */
	CW_ATTEMPT_CANCELLED,	 /* the caller disconnected */
};

struct cw_attempt_end {
	uint64_t handle;
	unsigned int attempt;
	enum cw_attempt_result result;
	int http_status;
	int64_t retry_after_ms;	 /* for which the server wants no request; 0: not stated */
	int is_closed_by_server; /* neither a time limit nor the caller ended the connection */
	unsigned int prompt_tokens;
	unsigned int completion_tokens;
	unsigned int shown; /* chunks sent to the caller, of all attempts */
	double first_ms;    /* from dispatch to the first chunk, < 0 without a chunk */
	double total_ms;    /* from dispatch to the end */
	const char *answer; /* text to rate, or to store as the claim's outcome; may be NULL */
};

struct cw_log_record {
	uint64_t offset;
	int64_t time_ms; /* when the record was appended, on the clock of the log */
	const char *data;
};

struct cw_read_result {
	enum cw_stream stream;
	uint64_t ticket;       /* of the READ effect */
	enum cw_status status; /* CW_OK, CW_EXPIRED: the records are deleted; else failed */
	uint64_t first;	       /* oldest offset that the log keeps, 0 unknown */
	const struct cw_log_record *list;
	size_t count;
};

struct cw_append_result {
	uint64_t ticket;
	enum cw_status status; /* CW_OK; CW_REFUSED, CW_UNREACHABLE: not kept; CW_UNKNOWN: maybe */
	uint64_t offset;
};

struct cw_list_entry {
	char name[CW_NAME_MAX];
	int is_instance;
	char address[CW_ADDRESS_MAX];	   /* where requests are sent */
	char peer_address[CW_ADDRESS_MAX]; /* for peer messages; instances only */
	char failure_domain[CW_NAME_MAX];
	char service[CW_NAME_MAX];
	int is_leaving;
	int checks_fencing; /* the server refuses orders with an outdated fencing number */
};

enum cw_event_kind {
	CW_EVENT_TICK,
	CW_EVENT_REQUEST,
	CW_EVENT_ATTEMPT_END,
	CW_EVENT_CALLER_DISCONNECTED,
	CW_EVENT_RECORDS,  /* result of a READ effect */
	CW_EVENT_APPENDED, /* result of an APPEND effect */
	CW_EVENT_PEER,	   /* message from a peer */
	CW_EVENT_LIST,	   /* instances and servers listed by the platform */
	CW_EVENT_LOAD,	   /* load report of a backend server */
	CW_EVENT_RATED,	   /* result of a RATE effect */
	CW_EVENT_ORDERED,  /* result of an ORDER effect */
	CW_EVENT_STOP,	   /* begin a graceful stop */
	CW_EVENT_QUERY,
};

enum cw_query {
	CW_QUERY_MODELS,     /* models and versions allowed to an organisation */
	CW_QUERY_STATUS,     /* state of the instance, its peers and servers; for operators */
	CW_QUERY_QUARANTINE, /* quarantined requests; for operators */
	CW_QUERY_RELEASE,    /* releases one quarantined request; for operators */
};

struct cw_event {
	enum cw_event_kind kind;
	int64_t now_ms;	 /* monotonic */
	int64_t wall_ms; /* real time; only to judge the age of records by their times */
	union {
		const struct cw_node_request *request;
		const struct cw_attempt_end *attempt;
		uint64_t disconnected_handle;
		const struct cw_read_result *records;
		const struct cw_append_result *appended;
		struct {
			const void *data;
			size_t size;
		} peer;
		struct {
			const struct cw_list_entry *members;
			size_t count;
		} list;
		struct {
			uint64_t server;
			const struct cw_load *load;
		} load;
		struct {
			uint64_t handle; /* of the request that waits for its rating, else 0 */
			uint64_t task;
			uint64_t common;
			uint64_t version;
			double score; /* < 0: the answer could not be rated */
			unsigned int tokens;
		} rated;
		struct {
			uint64_t ticket;
			enum cw_status status; /* CW_REFUSED: the fencing number was outdated */
		} ordered;
		struct {
			uint64_t handle;
			enum cw_query query;
			const char *text; /* MODELS: SHA-256 of the API key; RELEASE: fingerprint */
		} query;
	};
};

enum cw_effect_kind {
	CW_EFFECT_DISPATCH, /* send the request to a backend server */
	CW_EFFECT_REJECT,   /* answer the request with an error */
	CW_EFFECT_RELEASE,  /* complete the answer: its bill is mirrored, or bill_hold_ms is over */
	CW_EFFECT_REPLAY,   /* answer with the stored outcome of the same request */
	CW_EFFECT_REPLY,    /* answer a query */
	CW_EFFECT_READ,	    /* read records of a stream of the log */
	CW_EFFECT_APPEND,   /* append a record to a stream of the log */
	CW_EFFECT_SEND,	    /* send a message to a peer */
	CW_EFFECT_RATE,	    /* have the quality of an answer rated */
	CW_EFFECT_ORDER,    /* order an engine to load a version */
	CW_EFFECT_POLL,	    /* request the load report of a backend server */
	CW_EFFECT_EVENT,    /* write an entry to the timeline */
	CW_EFFECT_COUNT,    /* add to a counter */
	CW_EFFECT_STOPPED,  /* the graceful stop is complete */
};

enum cw_dispatch_mode {
	CW_DISPATCH_FRESH,
	CW_DISPATCH_RESUME,   /* the stream of the same server, after the last chunk received */
	CW_DISPATCH_CONTINUE, /* another server, from the text already sent to the caller */
};

struct cw_effect {
	STAILQ_ENTRY(cw_effect) link;
	enum cw_effect_kind kind;
	uint64_t handle; /* request or query */
	union {
		struct {
			enum cw_dispatch_mode mode;
			unsigned int attempt;
			uint64_t server;
			char address[CW_ADDRESS_MAX];
			char model[CW_NAME_MAX];
			char version[CW_NAME_MAX];
			char session_token[CW_TOKEN_MAX];
			int64_t timeout_ms; /* until the deadline */
		} dispatch;
		struct {
			enum cw_error_code code;
			enum cw_run_state run;
			int64_t retry_after_ms; /* 0: a retry does not help */
			char message[CW_MESSAGE_MAX];
		} reject;
		struct {
			int status;
			char *answer;
		} replay; /* for REPLAY and REPLY */
		struct {
			enum cw_stream stream;
			uint64_t ticket;
			uint64_t from;
			size_t max; /* records in the answer, 0: no limit of the node's */
			int wait_ms;
		} read;
		struct {
			enum cw_stream stream;
			uint64_t ticket;
			char *data;
		} append;
		struct {
			char address[CW_ADDRESS_MAX];
			struct cw_peer_buffer bytes;
		} send;
		struct {
			char request_id[CW_ID_MAX];
			char organisation[CW_NAME_MAX];
			char model[CW_NAME_MAX];
			char version[CW_NAME_MAX];
			char task_name[CW_NAME_MAX];
			uint64_t task;	 /* hash of organisation and task */
			uint64_t common; /* hash of the task alone, shared by all organisations */
			uint64_t version_id;
			unsigned int tokens;
			int is_awaited; /* the request waits for the rating */
			char *answer;
		} rate;
		struct {
			uint64_t ticket;
			char address[CW_ADDRESS_MAX];
			const char *order; /* "load_version", the only order so far */
			char target[2 * CW_NAME_MAX];
			uint64_t fencing;
			uint64_t table_offset;
			int64_t timeout_ms; /* the order is not sent after this time */
		} order;
		struct {
			uint64_t server;
			char address[CW_ADDRESS_MAX];
		} poll;
		struct {
			const char *module;
			const char *event;
			char *detail;
		} event;
		struct {
			const char *name;
			char label[CW_NAME_MAX];
			uint64_t add;
		} count;
	};
};

STAILQ_HEAD(cw_effect_queue, cw_effect);

struct cw_effects {
	struct cw_effect_queue queue;
};

struct cw_node_peer {
	const char *instance;
	const char *failure_domain;
	const char *address;
};

struct cw_node_server {
	const char *name;
	const char *service;
	const char *address;
	const char *failure_domain;
	int checks_fencing;
};

struct cw_node_config {
	const char *instance;
	const char *failure_domain;
	const char *peer_address; /* announced to peers */
	uint8_t peer_key[CW_KEY_BYTES];
	uint64_t boot; /* boot id: unique to each start of the instance */
	uint64_t seed;
	const struct cw_node_peer *peers;
	size_t peer_count;
	const struct cw_node_server *servers;
	size_t server_count;
	const struct cw_choice_policy *choice;
	const struct cw_health_policy *health;
	const struct cw_cascade_policy *cascade;
	int64_t heartbeat_ms;
	int64_t gossip_bytes_per_s; /* bandwidth limit: heartbeats are sent less often above it */
	int64_t silent_ms;	    /* a peer without a heartbeat for this time is not live */
	int64_t claim_timeout_ms;   /* wait for the log to confirm a claim */
	int64_t claim_window_ms;    /* idempotency keys are remembered this long */
	int64_t bill_flush_ms;	    /* longest wait of a bill for its batch */
	int64_t bill_hold_ms;	    /* longest wait of a complete answer for a mirror of its bill */
	int64_t restore_window_ms;  /* the log may be restored from a copy up to this old */
	int64_t session_idle_ms;    /* an unused session is forgotten after this time */
	int64_t session_ask_ms;	    /* longest wait of a session's first request for its binding */
	int64_t request_timeout_ms; /* deadline of a request that brings none */
	int64_t first_wait_ms;	    /* a request with a longer predicted wait is rejected */
	int64_t stop_grace_ms;	    /* a stopping instance accepts requests this long */
	int64_t log_retention_ms;
	int64_t lease_ms;
	int64_t load_poll_ms; /* mean time between two load reports of one server */
	int events;	      /* 0: no timeline entries */
};

struct cw_node;

void cw_node_set_defaults(struct cw_node_config *config); /* clears it, sets timings and policies */
struct cw_node *cw_node_create(const struct cw_node_config *config);
void cw_node_destroy(struct cw_node *node);
void cw_node_step(struct cw_node *node, const struct cw_event *event, struct cw_effects *effects);
int cw_node_is_ready(const struct cw_node *node); /* has table and limit share, not stopping */
size_t cw_node_count_running(const struct cw_node *node); /* requests in progress */
size_t
cw_node_count_bills(const struct cw_node *node); /* own and mirrored, not yet found in the log */
const struct cw_table *cw_node_table(const struct cw_node *node);
size_t cw_node_memory_bytes(const struct cw_node *node); /* estimated memory use */

void cw_effects_open(struct cw_effects *effects);
struct cw_effect *cw_effects_pop(struct cw_effects *effects); /* NULL: queue is empty */
void cw_effect_destroy(struct cw_effect *effect);
const char *cw_stream_name(enum cw_stream stream);
const char *cw_error_code_name(enum cw_error_code code);
int cw_error_code_http_status(enum cw_error_code code);
const char *cw_run_name(enum cw_run_state run);

#endif
