/* State and functions shared by the source files of the node. */
#ifndef CW_NODE_INTERNAL_H
#define CW_NODE_INTERNAL_H

#include "cw_claims.h"
#include "cw_ledger.h"
#include "cw_limits.h"
#include "cw_membership.h"
#include "cw_node.h"
#include "cw_quarantine.h"
#include "cw_record_id.h"
#include "cw_session.h"

#include <glib.h>
#include <json-c/json.h>

enum request_state {
	REQUEST_BINDING,   /* waits for the binding of its session from the owning peers */
	REQUEST_UNGUARDED, /* waits until the log of claims can guard its key */
	REQUEST_CLAIMING,  /* waits until its claim is read back from the log */
	REQUEST_RUNNING,   /* an attempt is in progress */
	REQUEST_RATING,	   /* waits for the rating of its answer */
	REQUEST_BILLING,   /* waits until a peer holds a mirror of its bill */
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
	struct cw_node_request in;
	enum request_state state;
	char organisation[CW_NAME_MAX];
	char model[CW_NAME_MAX];
	char version[CW_NAME_MAX];
	uint64_t row;	      /* id of the table row whose limits apply */
	uint64_t version_id;  /* cw_pool_version_hash */
	uint64_t fingerprint; /* cw_quarantine_fingerprint */
	int is_trial;	      /* a quarantined request that is sent once as a test */
	double cost_per_1k;
	double expected_tokens;
	int is_admitted; /* counted against its organisation's limits until it ends */
	int64_t started_ms;
	int64_t deadline_ms;
	int64_t wait_until_ms; /* end of the wait in the current state */

	struct cw_binding binding;	/* key 0: no session */
	size_t pending_binding_answers; /* owners that have not answered the binding query */
	uint64_t failed_version;	/* version id that failed this request, 0 none */
	int is_rebound;			/* the version of its session was withdrawn */

	struct cw_claim claim;	 /* claim 0: none */
	uint64_t claim_floor;	 /* a record of the claims stream that a live peer had read when the
				    claim was made: the claim follows it in the log */
	uint64_t dropped_claim;	 /* an earlier claim of this request that was released, 0 none */
	int64_t guard_until_ms;	 /* no claim is made after this time */
	uint64_t guard_failures; /* failed reads of the claims stream when the wait began */

	struct attempt attempts[CW_MAX_ATTEMPTS];
	unsigned int attempt_count;
	uint64_t tried[CW_MAX_ATTEMPTS];
	size_t tried_count;
	uint64_t server;	       /* of the attempt in progress */
	int may_have_run;	       /* on a server: "not_run" is no longer reported */
	unsigned int forwarded_chunks; /* chunks sent to the caller */
	int is_resumed; /* the last attempt was a resume; another server continues next */

	struct cw_cascade_option options[CW_MAX_VERSIONS]; /* for the target "auto" */
	char option_model[CW_MAX_VERSIONS][CW_NAME_MAX];
	char option_version[CW_MAX_VERSIONS][CW_NAME_MAX];
	struct cw_cascade_request choice;
	struct cw_plan plan;
	int has_plan;	  /* plan is set */
	int is_escalated; /* the answer of the first model was rated too low */
	char *answer;	  /* text that is stored as the outcome of the claim */
	int http_status;
};

LIST_HEAD(request_list, request);

/*
 * The log may be restored from an older copy: its newest records are lost and their offsets are
 * given out again. Records are therefore applied only from an answer that begins with the record
 * that was applied last.
 */
enum reader_step {
	READER_CHECK,  /* reads the last record again, and those that follow it */
	READER_WAIT,   /* waits for records at the end of the stream */
	READER_SEARCH, /* looks for an earlier record that the log still holds */
};

#define READER_MARKS 64

struct log_reader { /* position of this instance in one stream of the log */
	enum cw_stream stream;
	enum reader_step step;
	struct cw_record_id last; /* record before next_offset; offset 0: nothing to compare */
	size_t last_bytes;	  /* size of that record, 0 unknown */
	int64_t check_due_ms;	  /* without new records the last one isn't read again before */
	struct cw_record_id marks[READER_MARKS]; /* ring of earlier positions */
	size_t mark_count;			 /* marks set in total */
	size_t search_back;	 /* READER_SEARCH: marks to go back from the newest */
	uint64_t next_offset;	 /* of the next record to read */
	uint64_t oldest_offset;	 /* oldest record kept by the log, as last reported */
	uint64_t read_ticket;	 /* of the read in progress, 0 none */
	int64_t read_sent_ms;	 /* when the read in progress was sent */
	int64_t next_read_ms;	 /* no read is sent before this time */
	int64_t backoff_ms;	 /* 0 after a successful read */
	int64_t failed_ms;	 /* when the last read failed */
	uint64_t failures;	 /* failed reads in total */
	int is_silent;		 /* the last read failed without an answer within a second */
	int64_t last_success_ms; /* when a read was last answered, -1 never */
	int is_caught_up;	 /* the end of the stream was reached once since the start */
	int needs_snapshot;	 /* records were missed: the table waits for a snapshot */
};

struct restore_turn {	 /* of this instance in writing again what a restored log has lost */
	uint64_t ticket; /* of the append in progress, 0 none */
	size_t count;	 /* of what was lost, at the last look */
	int64_t due_ms;	 /* no append before this time, 0: not scheduled */
};

struct claim_entry { /* a claim, outcome or release to append to the claims stream */
	STAILQ_ENTRY(claim_entry) link;
	struct cw_claim claim;
	enum { CLAIM_ENTRY_CLAIM, CLAIM_ENTRY_OUTCOME, CLAIM_ENTRY_RELEASE } kind;
	int status;
	char *answer;
	uint64_t offset; /* of the record that holds it, 0: not appended yet */
};

STAILQ_HEAD(claim_entry_list, claim_entry);

struct table_record {
	STAILQ_ENTRY(table_record) link;
	uint64_t offset;
	int64_t time_ms;
	char *data;
};

STAILQ_HEAD(table_record_list, table_record);

struct rating {
	uint64_t task;
	uint64_t common; /* hash of the task alone, shared by all organisations */
	uint64_t version;
	unsigned int score; /* in thousandths */
	unsigned int tokens;
};

#define RATINGS_RING_LENGTH 512

/*
 * A record of the bills stream that holds a bill of this instance. It is read again once a later
 * record was appended, and the newest one at intervals: a log that was restored from an older copy
 * lacks it, or has another record at its offset.
 */
struct bill_check {
	TAILQ_ENTRY(bill_check) link;
	uint64_t offset;
	char *id; /* of a bill in the record */
};

TAILQ_HEAD(bill_check_list, bill_check);

enum bills_state { BILLS_IDLE, BILLS_APPENDING, BILLS_READING_BACK };

struct lease {
	char name[CW_NAME_MAX];
	char holder[CW_NAME_MAX];
	uint64_t token;	    /* random number that identifies the claim */
	uint64_t fencing;   /* rises from claim to claim, 0: never claimed */
	int64_t claimed_ms; /* on the clock of the log */
	int64_t applied_ms; /* when this instance read the claim, on its own clock */
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
	uint64_t next_ticket; /* a ticket ties the result of an effect to the effect */

	struct cw_table *table;
	struct cw_table *replayed_table; /* read from a restored log, until its end; else NULL */
	struct cw_table *rebased_table;	 /* own one, continued from the oldest record of a log that
					    holds no table, while a snapshot is missing; else NULL */
	struct restore_turn lost_table_turn;
	struct table_record_list table_records; /* newest records, sent to peers that lag */
	size_t table_record_count;
	uint64_t table_snapshot_covered; /* last offset covered by the newest snapshot, 0 none */
	uint64_t table_snapshot_record_offset; /* offset of the newest snapshot itself */
	int64_t table_snapshot_wall_ms; /* time of the newest snapshot, else of the first record */
	int64_t routing_changed_ms;	/* last change of weights or states, on the node's clock */
	uint64_t snapshot_ticket;
	int64_t snapshot_due_ms; /* 0: none scheduled */

	struct cw_claims *claims;
	struct claim_entry_list claim_entries;	      /* waiting for the next append */
	struct claim_entry_list claim_entries_sent;   /* in the append in progress */
	struct claim_entry_list claim_entries_unread; /* appended, not read back yet */
	uint64_t claim_entries_ticket;		      /* of the append in progress, 0 none */
	int64_t claim_entries_retry_ms;		      /* no append before this time */
	uint64_t checkpoint_ticket;		      /* of the append in progress, 0 none */
	uint64_t checkpoint_after;  /* keys claimed up to this offset are appended again already */
	uint64_t checkpoint_floor;  /* floor to append after the last key, 0: no checkpoint */
	int64_t checkpoint_due_ms;  /* 0: none scheduled */
	int64_t checkpoint_wall_ms; /* time of the newest floor, or of the first record read */
	struct restore_turn lost_claims_turn;
	uint64_t claims_known_end;    /* last record of the claims read before a restore */
	int64_t claims_doubted_ms;    /* when the log last proved to be restored, -1 never */
	GHashTable *peer_claims_ends; /* member -> last record of the claims that it has read */

	struct cw_ledger *ledger;
	enum bills_state bills_state;
	uint64_t bills_ticket;
	uint64_t bills_read_offset; /* next offset to read back */
	uint64_t bills_end_offset;  /* end of the bills stream, as far as known */
	int64_t bills_due_ms;
	int bills_need_read_back;  /* an append with an unknown result may have been stored */
	int64_t bills_reopened_ms; /* when the log was last found restored, -1 never */
	int bills_are_reopened; /* the log was restored: bills that were settled may be missing */
	int64_t mirror_check_due_ms;
	struct bill_check_list bill_checks; /* own records of the bills stream, by offset */
	uint64_t bill_check_ticket;	    /* of the read in progress, 0 none */
	int64_t bill_check_sent_ms;
	int64_t bill_check_due_ms;
	int64_t bill_checked_ms;   /* when the newest own record was last found intact */
	uint64_t bills_floor;	   /* the end that was known restore_window_ms before */
	uint64_t bills_floor_next; /* the end that was known at bills_floor_ms */
	int64_t bills_floor_ms;
	char *lost_origin;	    /* an origin that is gone; NULL: none was found */
	int64_t lost_origin_due_ms; /* when its bills are adopted */

	struct log_reader log_readers[CW_STREAM_BILLS];
	struct cw_membership *membership;
	struct cw_pool *pool;
	struct cw_limits *limits;
	struct cw_retry_budget retry_budget;
	struct cw_health *health;
	struct cw_cascade *cascade;
	struct cw_session_store *sessions;
	struct cw_quarantine *quarantine;
	uint64_t quarantine_ticket; /* of the append in progress, 0 none */
	int64_t quarantine_due_ms;  /* no append before this time */

	struct request_list requests;
	struct request_list free_requests; /* reused by new requests */
	GHashTable *by_handle;		   /* handle -> struct request */
	size_t running;

	struct rating ratings[RATINGS_RING_LENGTH];
	uint64_t next_rating;
	GHashTable *ratings_sent;     /* member -> next rating to send */
	GHashTable *ratings_received; /* member -> struct received_ratings */
	int64_t heartbeat_due_ms;
	int heartbeat_in_budget;   /* the last heartbeats fitted into gossip_bytes_per_s */
	uint64_t gossip_bytes;	   /* sent since the start */
	uint64_t heartbeat_cursor; /* next member to send a heartbeat to */
	uint64_t sequence;	   /* of the newest message sent to a peer */
	int64_t expire_due_ms;

	struct lease lease;	     /* of this failure domain, for orders to engines */
	uint64_t lease_token;	     /* of the newest claim of this instance */
	uint64_t lease_ticket;	     /* of the append of a claim in progress, 0 none */
	int64_t lease_claim_sent_ms; /* before its append: the own term counts from then */
	int64_t lease_check_due_ms;
	uint64_t highest_fencing;    /* of any lease of this failure domain */
	int64_t lease_wait_until_ms; /* the holder of a lost lease may use it until then */
	int64_t notices_rewound_ms;  /* when the notices were last found restored, -1 never */
	uint64_t order_ticket;

	int is_stopping;
	int64_t stop_ms; /* when the stop began */
	int is_stopped;
};

/* node.c */
struct cw_effect *node_add_effect(struct cw_node *node, enum cw_effect_kind kind, uint64_t handle);
void node_log_event(struct cw_node *node, const char *module, const char *event, const char *format,
		    ...) __attribute__((format(printf, 4, 5)));
void node_count(struct cw_node *node, const char *name, uint64_t add, const char *format, ...)
	__attribute__((format(printf, 4, 5))); /* format: of the label */
uint64_t node_random(struct cw_node *node);
uint64_t node_new_ticket(struct cw_node *node);
uint64_t *node_new_u64(uint64_t value); /* g_free; for hash tables */
int node_rejects_requests(const struct cw_node *node);

/* node_request.c */
void request_begin(struct cw_node *node, const struct cw_node_request *in);
void request_handle_attempt_end(struct cw_node *node, const struct cw_attempt_end *end);
void request_handle_disconnect(struct cw_node *node, uint64_t handle);
void request_handle_rating(struct cw_node *node, uint64_t handle, double score);
void request_handle_binding(struct cw_node *node, const struct cw_binding *binding,
			    uint64_t handle);
void request_check_claims(struct cw_node *node);
void request_confirm_bill(struct cw_node *node, const char *bill_id);
void request_check_timeouts(struct cw_node *node);

/* node_request.c, for request_attempt.c */
struct request *request_find(struct cw_node *node, uint64_t handle); /* NULL: not found */
void request_destroy(struct cw_node *node, struct request *request);
void request_abandon(struct cw_node *node, struct request *request);
void request_store_binding(struct cw_node *node, struct request *request);
void request_reject(struct cw_node *node, struct request *request, enum cw_error_code code,
		    int64_t retry_after_ms, const char *format, ...)
	__attribute__((format(printf, 5, 6)));

/* request_attempt.c */
void request_dispatch(struct cw_node *node, struct request *request, enum cw_dispatch_mode mode);
void request_start_billing(struct cw_node *node, struct request *request);
void request_complete(struct cw_node *node, struct request *request);
int64_t request_retry_after_ms(struct cw_node *node, double wait_ms); /* retry time, with jitter */

/* request_choice.c */
enum choice_result { CHOICE_OK, CHOICE_NOT_ALLOWED, CHOICE_NO_WEIGHT, CHOICE_TABLE_OUTDATED };
enum choice_result choice_select_version(struct cw_node *node, struct request *request);
void choice_merge_binding(struct cw_node *node, const struct cw_binding *binding);
void choice_apply_option(struct request *request, size_t index);
int choice_is_allowed(struct cw_node *node,
		      const struct request *request); /* 1: its version is still allowed */

/* node_log.c */
void log_open(struct cw_node *node);
void log_handle_records(struct cw_node *node, const struct cw_read_result *records);
void log_report_loss(struct cw_node *node, enum cw_stream stream, uint64_t next_offset,
		     const char *difference); /* event and counter of a restored log */
void log_handle_append(struct cw_node *node, const struct cw_append_result *appended);
void log_tick(struct cw_node *node);
int log_is_up(const struct cw_node *node, enum cw_stream stream);
int log_is_answered(const struct cw_node *node,
		    enum cw_stream stream); /* 1: the last read was, and not long ago */
void log_read_soon(struct cw_node *node,
		   enum cw_stream stream); /* a request waits for the stream to be up again */
int log_is_current(const struct cw_node *node,
		   enum cw_stream stream); /* 1: read to its end a moment ago */
void claims_enqueue(struct cw_node *node, const struct cw_claim *claim, int kind, int status,
		    const char *answer);
uint64_t log_append(struct cw_node *node, enum cw_stream stream,
		    char *data); /* frees data later; returns the ticket */
void log_read(struct cw_node *node, enum cw_stream stream, uint64_t ticket, uint64_t from,
	      size_t max, int wait_ms);

/* node_restore.c */
int restore_is_own_turn(struct cw_node *node, struct restore_turn *turn, enum cw_stream stream,
			size_t count); /* 1: this instance writes some of what was lost, now */
void restore_append(struct cw_node *node, struct restore_turn *turn, enum cw_stream stream,
		    char *data, size_t count); /* frees data later */
void restore_handle_append(struct restore_turn *turn, const struct cw_append_result *appended);
void restore_log(struct cw_node *node, enum cw_stream stream,
		 size_t count); /* event and counter of what was written again */

/* node_table.c */
void table_close(struct cw_node *node);
int table_is_known(const struct cw_node *node); /* 0: requests can't be judged yet */
void table_rewind(struct cw_node *node); /* the log was restored: the table is replayed from it */
void table_expect_snapshot(struct cw_node *node,
			   uint64_t first); /* oldest record; earlier ones were missed */
void table_read_record(struct cw_node *node, const struct cw_log_record *record);
void table_finish_replay(struct cw_node *node); /* at the end of the log */
void table_merge_peer_records(struct cw_node *node, const struct peer_record *records,
			      size_t count);
void table_merge_peer_snapshot(struct cw_node *node, const char *snapshot);
void table_handle_append(struct cw_node *node, const struct cw_append_result *appended);
void table_tick(struct cw_node *node);

/* node_claims.c */
void claims_tick(struct cw_node *node);
void claims_handle_append(struct cw_node *node, const struct cw_append_result *appended);
void claims_notify_requests(struct cw_node *node);
void claims_close(struct cw_node *node);
void claims_rewind(struct cw_node *node, uint64_t next_offset); /* the log lost records from there
								   on */
void claims_note_read(struct cw_node *node, uint64_t first,
		      uint64_t last); /* these records were read, or have expired */
void claims_note_peer(struct cw_node *node, const struct cw_member *member, uint64_t offset);
uint64_t claims_find_floor(struct cw_node *node);   /* newest record that a live peer has read */
int claims_are_guarded(const struct cw_node *node); /* 1: no claim can be missing here */
int claims_may_be_guarded(const struct cw_node *node,
			  int64_t until_ms); /* 0: not by that time, as far as known here */

/* node_bills.c */
void bills_open(struct cw_node *node);
void bills_close(struct cw_node *node);
void bills_reopen(struct cw_node *node); /* the log was restored: bills may be missing */
void bills_add(struct cw_node *node, struct request *request);
void bills_store_mirrors(struct cw_node *node, const char *from, uint64_t boot,
			 const struct peer_bills *bills);
void bills_mark_mirrored(struct cw_node *node, const struct cw_member *from,
			 const struct peer_bills *bills);
void bills_settle_mirrors(struct cw_node *node, const char *from, uint64_t boot,
			  const struct peer_bills *bills);
void bills_handle_append(struct cw_node *node, const struct cw_append_result *appended);
void bills_handle_records(struct cw_node *node, const struct cw_read_result *records);
void bills_tick(struct cw_node *node);
int bills_allow_stop(const struct cw_node *node);

/* node_bill_checks.c */
void bill_checks_add(struct cw_node *node, uint64_t offset, const char *id);
void bill_checks_clear(struct cw_node *node);
void bill_checks_tick(struct cw_node *node);
void bill_checks_handle_records(struct cw_node *node, const struct cw_read_result *records);
int64_t bill_checks_intact_ms(const struct cw_node *node); /* when the log was last intact */
void bill_checks_report_loss(struct cw_node *node, uint64_t offset, const char *difference);

/* node_gossip.c */
void gossip_handle_message(struct cw_node *node, const void *data, size_t size);
void gossip_tick(struct cw_node *node);
void gossip_expedite_heartbeats(struct cw_node *node);
void gossip_send(struct cw_node *node, const struct cw_member *member,
		 struct peer_message *message);
void gossip_send_heartbeats(struct cw_node *node); /* to all members, at once */
size_t gossip_announce_binding(struct cw_node *node, const struct cw_binding *binding);
size_t gossip_request_binding(struct cw_node *node, uint64_t key, uint64_t handle);
void gossip_add_rating(struct cw_node *node, uint64_t task, uint64_t common, uint64_t version,
		       double score, unsigned int tokens);
void gossip_announce_trip(struct cw_node *node, uint64_t version, const char *cause);

/* node_quarantine.c: poison requests, which crash the servers that run them */
int quarantine_reject(struct cw_node *node,
		      struct request *request); /* 1: the request was quarantined and rejected */
void quarantine_record_attempt(struct cw_node *node, const struct request *request,
			       const struct cw_server *server, const struct cw_attempt_end *end);
void quarantine_note_incomplete(struct cw_node *node, const struct request *request,
				const struct cw_server *server); /* no complete answer: the
								    server may still run it */
void quarantine_tick(struct cw_node *node);
void quarantine_rewind(struct cw_node *node); /* the log lost notices: they are read again */
void quarantine_apply_notice(struct cw_node *node, struct json_object *notice, int64_t time_ms);
void quarantine_handle_append(struct cw_node *node, const struct cw_append_result *appended);
void quarantine_announce(struct cw_node *node, struct peer_end crashes[CW_QUARANTINE_CRASHES_MAX],
			 struct peer_held quarantined[CW_QUARANTINE_RECORDS_MAX],
			 struct cw_quarantine_record records[CW_QUARANTINE_RECORDS_MAX],
			 struct peer_heartbeat *heartbeat); /* points into the arrays */
void quarantine_merge(struct cw_node *node, const struct peer_heartbeat *heartbeat,
		      uint32_t delay_ms);
char *quarantine_to_json(struct cw_node *node); /* list for operators; g_free */
int quarantine_release(struct cw_node *node, const char *fingerprint); /* 0: not quarantined */

/* node_rollout.c */
void rollout_tick(struct cw_node *node);
void rollout_rewind(struct cw_node *node); /* the log lost notices: they are read again */
void rollout_apply_notice(struct cw_node *node, uint64_t offset, int64_t time_ms, const char *data);
void rollout_handle_append(struct cw_node *node, const struct cw_append_result *appended);
void rollout_handle_order_result(struct cw_node *node, uint64_t ticket, enum cw_status status);

#endif
