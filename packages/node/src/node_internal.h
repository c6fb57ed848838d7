/* What the files of the node share. */
#ifndef CW_NODE_INTERNAL_H
#define CW_NODE_INTERNAL_H

#include "cw_claims.h"
#include "cw_ledger.h"
#include "cw_limits.h"
#include "cw_membership.h"
#include "cw_node.h"
#include "cw_quarantine.h"
#include "cw_session.h"

#include <glib.h>
#include <json-c/json.h>

enum request_state {
	REQUEST_BINDING,  /* waits for its session's home */
	REQUEST_CLAIMING, /* waits for its claim to come back from the log */
	REQUEST_RUNNING,  /* an attempt is out */
	REQUEST_RATING,	  /* its answer is being checked */
	REQUEST_BILLING,  /* its bill is being mirrored */
};

struct attempt {
	uint64_t server;
	char model[CW_NAME_MAX];
	char version[CW_NAME_MAX];
	enum cw_attempt_result result;
	int64_t sent_ms;
	enum cw_dispatch_mode mode;
	unsigned int prompt_tokens;
	unsigned int completion_tokens;
	double cost_per_1k;
};

struct request {
	LIST_ENTRY(request) link;
	struct cw_request_in in;
	enum request_state state;
	char organisation[CW_NAME_MAX];
	char model[CW_NAME_MAX];
	char version[CW_NAME_MAX];
	uint64_t row;	      /* its limits */
	uint64_t version_id;  /* cw_pool_version_hash */
	uint64_t fingerprint; /* cw_quarantine_fingerprint */
	int is_trial;	      /* of a held request: it is sent once */
	double cost_per_1k;
	double expected_tokens;
	int admitted; /* holds a slot of its limits */
	int64_t started_ms;
	int64_t deadline_ms;
	int64_t wait_until_ms; /* of the state's own wait */

	struct cw_binding binding; /* key 0: no session */
	size_t answers_awaited;	   /* of homes */
	uint64_t avoid;		   /* a version that failed this request, 0 none */
	int rebound;		   /* its session's version was withdrawn */

	struct cw_claim claim; /* claim 0: none */

	struct attempt attempts[CW_MAX_ATTEMPTS];
	unsigned int attempt_count;
	uint64_t tried[CW_MAX_ATTEMPTS];
	size_t tried_count;
	uint64_t server; /* of the attempt that is out */
	int sent;	 /* some byte may have reached a server: "not run" can't be said any more */
	unsigned int shown;
	int resumed; /* the stream was resumed on its server once since it last moved */

	struct cw_cascade_option options[CW_MAX_VERSIONS]; /* of "auto" */
	char option_model[CW_MAX_VERSIONS][CW_NAME_MAX];
	char option_version[CW_MAX_VERSIONS][CW_NAME_MAX];
	struct cw_cascade_request choice;
	struct cw_plan plan;
	int planned;
	int escalated;
	char *answer; /* of a claim, kept for its outcome */
	int http_status;
};

LIST_HEAD(request_list, request);

struct feed {
	enum cw_stream stream;
	uint64_t next;	 /* offset to read */
	uint64_t first;	 /* oldest kept, as last told */
	uint64_t ticket; /* of the read that is out, 0 none */
	int64_t asked_ms;
	int64_t retry_ms; /* no read before */
	int64_t backoff_ms;
	int64_t ok_ms; /* last answer, -1 never */
	int caught_up; /* once since the start */
	int needs_snapshot;
};

struct line { /* an item waiting for the next append of claims */
	STAILQ_ENTRY(line) link;
	struct cw_claim claim;
	enum { LINE_CLAIM, LINE_OUTCOME, LINE_RELEASE } kind;
	int status;
	char *answer;
	uint64_t ticket; /* of the append that carries it */
};

STAILQ_HEAD(line_list, line);

struct kept_record {
	STAILQ_ENTRY(kept_record) link;
	uint64_t offset;
	int64_t time_ms;
	char *data;
};

STAILQ_HEAD(kept_list, kept_record);

struct rating {
	uint64_t task;
	uint64_t common;
	uint64_t version;
	unsigned int score;
	unsigned int tokens;
};

#define RATINGS_KEPT 512

enum bills_state { BILLS_IDLE, BILLS_APPENDING, BILLS_READING_BACK };

struct lease {
	char name[CW_NAME_MAX];
	char holder[CW_NAME_MAX];
	uint64_t token;	    /* of the claim's sender */
	uint64_t fencing;   /* offset of the claim */
	int64_t claimed_ms; /* by the log's clock */
	int64_t seen_ms;    /* folded here, on the node's clock */
};

struct cw_node {
	struct cw_node_config config;
	char instance[CW_NAME_MAX];
	char failure_domain[CW_NAME_MAX];
	char peer_address[CW_ADDRESS_MAX];
	uint64_t id;
	GRand *random;
	int64_t now_ms;
	int64_t wall_ms;
	int64_t started_ms; /* -1 before the first event */
	struct cw_effects *effects;
	uint64_t next_ticket;

	struct cw_table *table;
	struct kept_list table_tail; /* raw records, for peers */
	size_t table_tail_length;
	uint64_t table_snapshot_at; /* offset up to which the newest snapshot in the log folds, 0
				       none */
	uint64_t table_snapshot_record; /* where that snapshot stands */
	int64_t table_snapshot_wall_ms;
	int64_t routing_changed_ms; /* folded a change of weights or states, on the node's clock */
	uint64_t snapshot_ticket;
	int64_t snapshot_due_ms; /* 0: none planned */

	struct cw_claims *claims;
	struct line_list lines;	    /* waiting */
	struct line_list lines_out; /* in the append that is out */
	uint64_t lines_ticket;
	int64_t lines_retry_ms;
	uint64_t kept_ticket;
	uint64_t kept_after; /* keys claimed up to here are appended again */
	uint64_t kept_floor; /* 0: no cycle under way */
	int64_t kept_due_ms;
	int64_t kept_wall_ms;

	struct cw_ledger *ledger;
	enum bills_state bills_state;
	char *bills_origin; /* whose bills the state is about; "" its own */
	uint64_t bills_ticket;
	uint64_t bills_from; /* of the reading back */
	uint64_t bills_end;  /* end of the stream, as far as known */
	int64_t bills_due_ms;
	int bills_uncertain; /* an append may have been kept: read back before the next */
	int64_t mirror_due_ms;

	struct feed feeds[CW_STREAM_BILLS];
	struct cw_membership *membership;
	struct cw_pool *pool;
	struct cw_limits *limits;
	struct cw_retry_budget retry_budget;
	struct cw_health *health;
	struct cw_cascade *cascade;
	struct cw_session_store *sessions;
	struct cw_quarantine *quarantine;
	uint64_t quarantine_ticket; /* of the append that is out, 0 none */
	int64_t quarantine_due_ms;  /* no other append before */

	struct request_list requests;
	struct request_list free_requests;
	GHashTable *by_handle;
	size_t running;

	struct rating ratings[RATINGS_KEPT];
	uint64_t next_rating;
	GHashTable *ratings_sent; /* member -> next rating to send */
	GHashTable *ratings_seen; /* member -> struct seen_ratings */
	int64_t heartbeat_due_ms;
	int heartbeat_spare;   /* the last beat was within the budget of bytes */
	uint64_t gossip_bytes; /* sent so far */
	uint64_t heartbeat_turn;
	uint64_t sequence;
	int64_t expire_due_ms;

	struct lease lease;   /* of orders to engines */
	uint64_t lease_token; /* of the own claim that is out */
	uint64_t lease_ticket;
	int64_t lease_asked_ms; /* before the own claim was sent: the term counts from here */
	int64_t lease_check_ms;
	uint64_t order_ticket;

	int stopping;
	int64_t stop_ms;
	int stopped;
};

/* node.c */
struct cw_effect *node_effect(struct cw_node *node, enum cw_effect_kind kind, uint64_t handle);
void node_event(struct cw_node *node, const char *module, const char *event, const char *format,
		...) __attribute__((format(printf, 4, 5)));
uint64_t node_random(struct cw_node *node);
uint64_t node_ticket(struct cw_node *node);
int node_refuses_new(const struct cw_node *node);

/* node_request.c */
void request_begin(struct cw_node *node, const struct cw_request_in *in);
void request_attempt_end(struct cw_node *node, const struct cw_attempt_end *end);
void request_caller_gone(struct cw_node *node, uint64_t handle);
void request_rated(struct cw_node *node, uint64_t handle, double score);
void request_bound(struct cw_node *node, const struct cw_binding *binding, uint64_t handle);
void request_claims_changed(struct cw_node *node);
void request_bill_safe(struct cw_node *node, const char *bill_id);
void request_tick(struct cw_node *node);

/* node_request.c, for request_attempt.c */
struct request *request_find(struct cw_node *node, uint64_t handle); /* NULL: ended */
void request_destroy(struct cw_node *node, struct request *request);
void request_abandon(struct cw_node *node, struct request *request);
void request_keep_binding(struct cw_node *node, struct request *request);
void request_refuse(struct cw_node *node, struct request *request, enum cw_code code,
		    int64_t retry_after_ms, const char *format, ...)
	__attribute__((format(printf, 5, 6)));

/* request_attempt.c */
void request_dispatch(struct cw_node *node, struct request *request, enum cw_dispatch_mode mode);
void request_finish(struct cw_node *node, struct request *request);
void request_release(struct cw_node *node, struct request *request);
int64_t request_busy_ms(struct cw_node *node, double wait_ms); /* when to come back, with jitter */

/* request_choice.c */
enum choice_result { CHOICE_OK, CHOICE_NOT_ALLOWED, CHOICE_NO_WEIGHT, CHOICE_BEHIND };
enum choice_result choice_version(struct cw_node *node, struct request *request);
void choice_merge_binding(struct cw_node *node, const struct cw_binding *binding);
void choice_take_option(struct request *request, size_t index);
int choice_holds(struct cw_node *node,
		 const struct request *request); /* its version is still allowed */

/* node_log.c */
void log_open(struct cw_node *node);
void log_close(struct cw_node *node);
void log_records(struct cw_node *node, const struct cw_records *records);
void log_appended(struct cw_node *node, const struct cw_appended *appended);
void log_tick(struct cw_node *node);
int log_is_up(const struct cw_node *node, enum cw_stream stream);
void log_fold_table(struct cw_node *node, const struct cw_log_record *record);
void log_load_table(struct cw_node *node, const char *snapshot);
void log_line(struct cw_node *node, const struct cw_claim *claim, int kind, int status,
	      const char *answer);
uint64_t log_append(struct cw_node *node, enum cw_stream stream,
		    char *data); /* takes data; returns the ticket */
void log_read(struct cw_node *node, enum cw_stream stream, uint64_t ticket, uint64_t from,
	      int wait_ms);

/* node_claims.c */
void claims_tick(struct cw_node *node);
void claims_appended(struct cw_node *node, const struct cw_appended *appended);
void claims_folded(struct cw_node *node);
void claims_close(struct cw_node *node);

/* node_bills.c */
void bills_add(struct cw_node *node, struct request *request);
void bills_mirrored(struct cw_node *node, const char *from, uint64_t boot,
		    const struct peer_bills *bills);
void bills_held(struct cw_node *node, const struct cw_member *from, const struct peer_bills *bills);
void bills_settled(struct cw_node *node, const char *from, uint64_t boot,
		   const struct peer_bills *bills);
void bills_appended(struct cw_node *node, const struct cw_appended *appended);
void bills_records(struct cw_node *node, const struct cw_records *records);
void bills_tick(struct cw_node *node);
int bills_are_done(const struct cw_node *node);

/* node_gossip.c */
void gossip_message(struct cw_node *node, const void *data, size_t size);
void gossip_tick(struct cw_node *node);
void gossip_hurry(struct cw_node *node);
void gossip_send(struct cw_node *node, const struct cw_member *member,
		 struct peer_message *message);
void gossip_heartbeats(struct cw_node *node); /* to everyone, now */
size_t gossip_push_binding(struct cw_node *node, const struct cw_binding *binding);
size_t gossip_ask_binding(struct cw_node *node, uint64_t key, uint64_t handle);
void gossip_rating(struct cw_node *node, uint64_t task, uint64_t common, uint64_t version,
		   double score, unsigned int tokens);
void gossip_tripped(struct cw_node *node, uint64_t version, const char *how);

/* node_quarantine.c: requests that end the servers that run them */
int quarantine_refuses(struct cw_node *node,
		       struct request *request); /* 1: it was refused, it is held */
void quarantine_attempt_ended(struct cw_node *node, const struct request *request,
			      const struct cw_server *server, const struct cw_attempt_end *end);
void quarantine_left(struct cw_node *node, const struct request *request,
		     const struct cw_server *server); /* given up; it may still run there */
void quarantine_tick(struct cw_node *node);
void quarantine_notice(struct cw_node *node, struct json_object *notice, int64_t time_ms);
void quarantine_appended(struct cw_node *node, const struct cw_appended *appended);
void quarantine_tell(struct cw_node *node, struct peer_end ends[CW_QUARANTINE_CRASHES_MAX],
		     struct peer_held held[CW_QUARANTINE_RECORDS_MAX],
		     struct cw_quarantine_record records[CW_QUARANTINE_RECORDS_MAX],
		     struct peer_heartbeat *beat); /* the beat points into the three */
void quarantine_hear(struct cw_node *node, const struct peer_heartbeat *beat);
char *quarantine_answer(struct cw_node *node); /* JSON, for operators; g_free */
int quarantine_release(struct cw_node *node, const char *fingerprint); /* 0: it isn't held */

/* node_rollout.c */
void rollout_tick(struct cw_node *node);
void rollout_notice(struct cw_node *node, uint64_t offset, int64_t time_ms, const char *data);
void rollout_appended(struct cw_node *node, const struct cw_appended *appended);
void rollout_ordered(struct cw_node *node, uint64_t ticket, enum cw_status status);

#endif
