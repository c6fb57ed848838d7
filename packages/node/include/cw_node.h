/*
 * One instance's decisions, without input or output: events come in, effects go out. No clock,
 * socket or thread is used here; time and random numbers come with the events and the settings.
 * The daemon, the fuzzer and the experiment tool all drive this one header.
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
	CW_STREAM_TABLE,
	CW_STREAM_CLAIMS,
	CW_STREAM_NOTICES,
	CW_STREAM_BILLS,
	CW_STREAMS,
};

enum cw_code {
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
	CW_CODE_QUARANTINED, /* servers ended under it: it is sent nowhere */
	CW_CODES,
};

enum cw_request_flag {
	CW_REQUEST_STREAM = 1,
	CW_REQUEST_IDEMPOTENT = 2,
	CW_REQUEST_SERVICE = 4, /* a plain service; else an engine's completion */
	CW_REQUEST_BATCH = 8,	/* may wait longer */
};

struct cw_request_in {
	uint64_t handle; /* the shell's name for it; never repeats */
	unsigned int flags;
	char key_sha256[CW_SHA256_HEX];
	char request_id[CW_ID_MAX];
	char target[CW_NAME_MAX]; /* model, "auto", or the service's name */
	char idempotency_key[CW_ID_MAX];
	char session_id[CW_ID_MAX];
	char session_token[CW_TOKEN_MAX];
	char task[CW_NAME_MAX];
	uint64_t prefix; /* hash of the prompt's start, 0 none */
	uint64_t body;	 /* hash of the whole body */
	unsigned int prompt_tokens;
	unsigned int max_tokens;
	int64_t deadline_ms; /* on the node's clock; 0: the settings' default */
};

enum cw_attempt_result {
	CW_ATTEMPT_ANSWERED, /* whole and well formed */
	CW_ATTEMPT_PASSED, /* the server's own refusal of this request (4xx): passed on, not billed
			    */
	CW_ATTEMPT_UNSENT, /* no byte reached the server */
	CW_ATTEMPT_BUSY,   /* 429 or 503 before anything ran */
	CW_ATTEMPT_FAILED, /* 5xx, rubbish, or too much */
	CW_ATTEMPT_BROKEN, /* cut, frozen or timed out */
	CW_ATTEMPT_CANCELLED, /* the caller went away */
};

struct cw_attempt_end {
	uint64_t handle;
	unsigned int attempt;
	enum cw_attempt_result result;
	int http_status;
	int is_cut; /* the server ended the connection, not a time limit or the caller */
	unsigned int prompt_tokens;
	unsigned int completion_tokens;
	unsigned int shown; /* chunks the caller has seen, of all attempts */
	double first_ms;    /* from dispatch to the first chunk, < 0 none came */
	double total_ms;
	const char *answer; /* text to rate or to keep with a claim; may be NULL */
};

struct cw_log_record {
	uint64_t offset;
	int64_t time_ms; /* the log's clock */
	const char *data;
};

struct cw_records {
	enum cw_stream stream;
	uint64_t ticket;       /* of the READ effect */
	enum cw_status status; /* CW_OK, CW_EXPIRED, else failed */
	uint64_t first;	       /* oldest offset kept, 0 unknown */
	const struct cw_log_record *list;
	size_t count;
};

struct cw_appended {
	uint64_t ticket;
	enum cw_status status; /* CW_OK; CW_REFUSED, CW_UNREACHABLE: not kept; CW_UNKNOWN: maybe */
	uint64_t offset;
};

struct cw_listed {
	char name[CW_NAME_MAX];
	int is_instance;
	char address[CW_ADDRESS_MAX];	   /* callers' or the server's */
	char peer_address[CW_ADDRESS_MAX]; /* of an instance */
	char failure_domain[CW_NAME_MAX];
	char service[CW_NAME_MAX];
	int leaving;
	int checks_fencing;
};

enum cw_event_kind {
	CW_EVENT_TICK,
	CW_EVENT_REQUEST,
	CW_EVENT_ATTEMPT_END,
	CW_EVENT_CALLER_GONE,
	CW_EVENT_RECORDS,
	CW_EVENT_APPENDED,
	CW_EVENT_PEER,
	CW_EVENT_LIST,
	CW_EVENT_LOAD,
	CW_EVENT_RATED,
	CW_EVENT_ORDERED,
	CW_EVENT_STOP,
	CW_EVENT_QUERY,
};

enum cw_query {
	CW_QUERY_MODELS,     /* what an organisation may use */
	CW_QUERY_STATUS,     /* for operators */
	CW_QUERY_QUARANTINE, /* requests that are sent nowhere; for operators */
	CW_QUERY_RELEASE,    /* takes one of them off the list; for operators */
};

struct cw_event {
	enum cw_event_kind kind;
	int64_t now_ms;	 /* monotonic */
	int64_t wall_ms; /* against the log's clock; only ever for housekeeping */
	union {
		const struct cw_request_in *request;
		const struct cw_attempt_end *attempt;
		uint64_t gone; /* handle */
		const struct cw_records *records;
		const struct cw_appended *appended;
		struct {
			const void *data;
			size_t size;
		} peer;
		struct {
			const struct cw_listed *members;
			size_t count;
		} list;
		struct {
			uint64_t server;
			const struct cw_load *load;
		} load;
		struct {
			uint64_t handle; /* of a checked answer, else 0 */
			uint64_t task;
			uint64_t common;
			uint64_t version;
			double score; /* < 0: no rating was to be had */
			unsigned int tokens;
		} rated;
		struct {
			uint64_t ticket;
			enum cw_status status; /* CW_REFUSED: an old fencing number */
		} ordered;
		struct {
			uint64_t handle;
			enum cw_query query;
			const char *text; /* SHA-256 of the asker's key, or a fingerprint */
		} query;
	};
};

enum cw_effect_kind {
	CW_EFFECT_DISPATCH, /* send the request to a backend server */
	CW_EFFECT_REFUSE,   /* the final answer: a refusal or failure */
	CW_EFFECT_RELEASE,  /* the answer is whole and its bill safe: show its end */
	CW_EFFECT_REPLAY,   /* the final answer: the kept outcome of the same request */
	CW_EFFECT_REPLY,    /* of a query */
	CW_EFFECT_READ,
	CW_EFFECT_APPEND,
	CW_EFFECT_SEND,
	CW_EFFECT_RATE,
	CW_EFFECT_ORDER,
	CW_EFFECT_POLL,	   /* ask a backend server for its load */
	CW_EFFECT_EVENT,   /* a line for the time line */
	CW_EFFECT_STOPPED, /* nothing is left to do */
};

enum cw_dispatch_mode {
	CW_DISPATCH_FRESH,
	CW_DISPATCH_RESUME,   /* the same server's stream, behind the last chunk seen */
	CW_DISPATCH_CONTINUE, /* another server, from the text already shown */
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
			enum cw_code code;
			enum cw_run run;
			int64_t retry_after_ms; /* 0: coming back does not help */
			char message[CW_MESSAGE_MAX];
		} refuse;
		struct {
			int status;
			char *answer;
		} replay; /* also a query's reply */
		struct {
			enum cw_stream stream;
			uint64_t ticket;
			uint64_t from;
			int wait_ms;
		} read;
		struct {
			enum cw_stream stream;
			uint64_t ticket;
			char *data;
		} append;
		struct {
			char address[CW_ADDRESS_MAX];
			struct cw_peer_bytes bytes;
		} send;
		struct {
			char request_id[CW_ID_MAX];
			char organisation[CW_NAME_MAX];
			char model[CW_NAME_MAX];
			char version[CW_NAME_MAX];
			char task_name[CW_NAME_MAX];
			uint64_t task;	 /* hash of organisation and task */
			uint64_t common; /* hash of the task alone */
			uint64_t version_id;
			unsigned int tokens;
			int checked; /* the request waits for it */
			char *answer;
		} rate;
		struct {
			uint64_t ticket;
			char address[CW_ADDRESS_MAX];
			const char *order; /* "load_version" or "unload_version" */
			char target[2 * CW_NAME_MAX];
			uint64_t fencing;
			uint64_t table_offset;
			int64_t timeout_ms; /* never sent later than this */
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
	const char *peer_address; /* as peers reach it */
	uint8_t peer_key[CW_KEY_BYTES];
	uint64_t boot; /* differs at every start */
	uint64_t seed;
	const struct cw_node_peer *peers;
	size_t peer_count;
	const struct cw_node_server *servers;
	size_t server_count;
	const struct cw_choice_policy *choice;
	const struct cw_health_policy *health;
	const struct cw_cascade_policy *cascade;
	int64_t heartbeat_ms;
	int64_t gossip_bytes_per_s; /* heartbeats slow down beyond it */
	int64_t silent_ms;	    /* a peer unheard this long is not live */
	int64_t claim_timeout_ms;
	int64_t claim_window_ms; /* idempotency keys are guarded this long */
	int64_t bill_flush_ms;
	int64_t bill_hold_ms; /* an answer's end waits this long for a mirror */
	int64_t session_idle_ms;
	int64_t session_ask_ms; /* a session's first request waits this long for its home */
	int64_t request_timeout_ms;
	int64_t first_wait_ms; /* predicted wait above which a request is refused */
	int64_t stop_grace_ms;
	int64_t log_retention_ms;
	int64_t lease_ms;
	int64_t load_poll_ms; /* between two looks at one server's load */
	int events;	      /* 0: no time line */
};

struct cw_node;

void cw_node_defaults(struct cw_node_config *config); /* every timing and policy */
struct cw_node *cw_node_create(const struct cw_node_config *config);
void cw_node_destroy(struct cw_node *node);
void cw_node_step(struct cw_node *node, const struct cw_event *event, struct cw_effects *effects);
int cw_node_is_ready(const struct cw_node *node);   /* has a table, not leaving */
size_t cw_node_running(const struct cw_node *node); /* requests in progress */
size_t
cw_node_bills_held(const struct cw_node *node); /* own and mirrored, not yet seen in the log */
const struct cw_table *cw_node_table(const struct cw_node *node);
size_t cw_node_bytes(const struct cw_node *node); /* estimate of the state held */

void cw_effects_open(struct cw_effects *effects);
struct cw_effect *cw_effects_pop(struct cw_effects *effects); /* NULL: none left */
void cw_effect_destroy(struct cw_effect *effect);
const char *cw_stream_name(enum cw_stream stream);
const char *cw_code_name(enum cw_code code);
int cw_code_http(enum cw_code code);
const char *cw_run_name(enum cw_run run);

#endif
