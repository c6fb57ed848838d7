/*
 * An entry instance on the users' platform: one event loop that connects callers, backend servers,
 * peers and the shared store with the gate. It does input and output only; the gate (cw_gate.h)
 * makes the decisions.
 */
#ifndef ENTRY_H
#define ENTRY_H

#include "cw_flow.h"
#include "cw_gate.h"
#include "cw_gossip.h"
#include "cw_gossip_reports.h"
#include "cw_policy.h"
#include "cw_sample.h"
#include "cw_up.h"

#include <sys/queue.h>

struct relay;
struct feed;
struct peers;
struct forwards;
struct backlogs;

/* Requests that are rejected before an attempt, as their log lines tell them apart. */
enum reject_kind {
	REJECT_UNREADABLE, /* malformed, too large, or too slow */
	REJECT_BAD,	   /* a field is missing or invalid */
	REJECT_REFUSED,	   /* no route, no key, no room */
	REJECT_DECLINED,   /* a peer's */
	REJECT_KINDS,
};

struct entry {
	struct cw_up_settings settings;
	struct cw_policy policy;
	uv_loop_t loop;
	uv_signal_t on_term;
	uv_signal_t on_int;
	uv_signal_t on_hup;
	uv_timer_t tick;
	struct cw_quota *quota; /* of all listeners */
	struct cw_listener *caller_listener;
	struct cw_listener *ready_listener;
	struct cw_listener *metrics_listener;
	struct cw_client *server_client;
	struct cw_gate *gate;
	struct feed *feed;
	struct peers *peers;
	struct forwards *forwards;
	struct backlogs *backlogs;
	TAILQ_HEAD(, relay) relays;
	size_t relay_count;
	size_t kept_bytes;	   /* of all answers in hand */
	size_t answer_bytes;	   /* of all answers that are held until they are complete */
	int64_t stop_requested_ms; /* 0: no stop requested */
	int64_t last_request_ms;
	int64_t contact_sought_ms; /* entry_reach.c: servers were probed for a contact */
	int was_ready;
	unsigned int tick_count;
	int64_t report_warning_ms; /* of the last log line on an invalid report */
	int64_t prediction_logged_ms;
	struct cw_sample reject_samples[REJECT_KINDS];
	int64_t rejects_summed_ms;
	unsigned int pace_rounds; /* entry_pace.c: of announcements */
	size_t pace_next;	  /* server to name next of those in turn */
	int64_t paces_sent_ms;
	int64_t shares_announced_ms;
	int64_t shares_logged_ms;
	int metrics_port;
};

/* entry.c */
int entry_run(const char *settings_file, const struct cw_policy *policy,
	      int metrics_port); /* returns the exit code of the process */
int64_t entry_now_ms(const struct entry *entry);
void entry_apply_limits(struct entry *entry); /* limits on callers, of the configuration in force */
int entry_is_synced(const struct entry *entry); /* configuration and server list were read */
int entry_is_ready(const struct entry *entry);	/* synced and not stopping */

/* entry_limits.c: the memory and the sockets of this machine */
int64_t entry_memory_bytes(const struct entry *entry);
size_t entry_held_limit(const struct entry *entry); /* bytes: of all that callers make it hold */
void entry_limit_listener(const struct entry *entry, struct cw_listener *listener);
void entry_limit_sockets(struct entry *entry);
int entry_may_send(const struct entry *entry); /* a connection to a server is left for a request */
void limits_update_gauges(const struct entry *entry);

/* entry_rejects.c: log lines on rejected requests */
int rejects_may_log(struct entry *entry, enum reject_kind kind);
void rejects_tick(struct entry *entry, int64_t now_ms);

/* entry_relay.c: one request between its caller and the backend servers */
void relay_start(struct entry *entry, struct cw_caller *caller, struct cw_message *request);
void relay_open_pending(struct entry *entry); /* requests that waited for entry_is_synced */
void relay_handle_disconnect(void *relay);    /* the caller closed its connection */
void relay_resume(void *relay);		      /* a slow caller has read the buffered response */
void relay_fail_unreachable(struct entry *entry,
			    const struct cw_server *server); /* attempts that can be retried */
void relay_fail_superseded(struct entry *entry);   /* attempts at servers that have restarted */
void relay_abort_quarantined(struct entry *entry); /* requests quarantined while in progress */
void relay_abort_all(struct entry *entry); /* requests that are left when the process ends */

/* entry_kept.c: smaller models' answers, kept while the largest model is asked */
void kept_update_gauges(const struct entry *entry);
void bodies_update_gauges(const struct entry *entry);
size_t entry_answers_limit(
	const struct entry *entry); /* bytes: of answers, held and not yet read by callers */

/* entry_reach.c: whether backend servers can be reached */
void reach_note_contact(struct entry *entry,
			struct cw_server *server); /* a byte arrived, directly */
void reach_note_loss(struct entry *entry,
		     struct cw_server *server); /* a direct connection broke or did not open */
void reach_note_unanswered(struct entry *entry,
			   struct cw_server *server); /* the host did not answer */
void reach_note_forwarded(struct entry *entry, struct cw_server *server,
			  int is_refusing); /* a peer reached it; see cw_gate_note_forwarded */
void reach_note_ended(struct entry *entry); /* peers are refused by a lost server, too */
void reach_tick(struct entry *entry, int64_t now_ms);
void reach_probe_crashed(struct entry *entry,
			 struct cw_server *server); /* whether its process has terminated */

/* entry_forward.c: requests of peers that do not reach the server; see also entry_forward.h */
struct forwards *forwards_create(struct entry *entry);
void forwards_destroy(struct forwards *forwards);
uint64_t forwards_key(const struct forwards *forwards); /* that a peer's request must carry */
size_t forwards_count(const struct forwards *forwards); /* in progress */
void forwards_fail_unreachable(struct forwards *forwards, const struct cw_server *server);

/* entry_reports.c: what backend servers report about themselves */
void reports_log(struct entry *entry, const struct cw_server *server,
		 const struct cw_response_head *head, const struct cw_report_changes *changes);
void reports_merge(struct entry *entry, const struct cw_gossip_reports *message,
		   uint32_t delay_ms); /* of a peer; delay_ms: it waited so long to be read */
void reports_update_gauges(const struct entry *entry);

/* entry_feed.c: state read from the shared store */
struct feed *feed_create(struct entry *entry, struct cw_error *error); /* NULL: see error */
void feed_destroy(struct feed *feed);
size_t feed_unwritten_bytes(const struct feed *feed); /* of answers to peers */
void feed_set_body_limit(struct feed *feed, size_t bytes,
			 size_t held_bytes); /* of a request that a peer sends; of all of them */
void feed_set_max_connections(struct feed *feed, size_t max_connections); /* of peers */
int feed_is_complete(const struct feed *feed); /* configuration and server list were read once */
void feed_tick(struct feed *feed, int64_t now_ms);
int64_t feed_expiry_grace_until_ms(const struct feed *feed); /* unlisted servers are kept so long */
void feed_fill_announcement(const struct feed *feed, struct cw_gossip *gossip);	 /* what was read */
void feed_merge_announcement(struct feed *feed, const struct cw_gossip *gossip); /* of a peer */
void feed_merge_era(struct feed *feed, struct cw_gossip *gossip); /* first of all parts */
void feed_apply_drain(struct feed *feed, const struct cw_drain_order *order,
		      const char *source); /* source, for the log: "store" or a peer's name */

/* entry_peers.c: messages between instances */
#define PEERS_DOMAIN_FANOUT 64	       /* instances of one domain that get a message at once */
#define PEERS_READERS_KEY   0x72656164 /* ranks the store's readers; equal on all instances */
struct peers *peers_create(struct entry *entry, struct cw_error *error);
void peers_destroy(struct peers *peers);
void peers_announce(struct peers *peers);      /* at once, in addition to the periodic rounds */
size_t peers_count(const struct peers *peers); /* other instances that are known */
int peers_is_stable(const struct peers *peers,
		    int64_t now_ms); /* 0: no peer known yet, or many joined just now */
struct cw_member *peers_choose_forwarder(struct peers *peers, const uint64_t *tried,
					 size_t tried_count); /* NULL: none */
void peers_end_forward(struct peers *peers, const char *instance,
		       int is_avoided); /* is_avoided: it gets no request for a while */
size_t peers_rank(const struct peers *peers, uint64_t key,
		  int64_t now_ms); /* 0: this instance is the first to act on the key */
uint64_t peers_boot(const struct peers *peers); /* drawn at this start */
size_t peers_send_to_domain(struct peers *peers, const char *failure_domain, const char *bytes,
			    size_t size); /* to live instances of the own domain and of that one,
					     NULL: of all others, at most PEERS_DOMAIN_FANOUT of
					     each of the two; returns how many */
size_t peers_send_to_some(struct peers *peers, const char *bytes,
			  size_t size); /* to those that get the next full announcement */

/* entry_backlog.c: what all instances have in progress at servers */
struct backlogs *backlogs_create(struct entry *entry);
void backlogs_destroy(struct backlogs *backlogs);
void backlogs_fill(struct backlogs *backlogs, struct cw_gossip *gossip,
		   int64_t now_ms); /* own loads, for peers */
void backlogs_merge_round(struct backlogs *backlogs, const struct cw_gossip *gossip,
			  int64_t now_ms);
void backlogs_apply(struct backlogs *backlogs,
		    int64_t now_ms); /* what peers announced counts from now on */

/* entry_load.c: what instances announce of servers between two rounds of gossip */
void load_announce(struct entry *entry, int64_t now_ms); /* with each round */
void load_update_gauges(const struct entry *entry);
int load_merge(struct entry *entry, const char *bytes, size_t size,
	       uint32_t delay_ms); /* 0: no message on servers */
size_t load_encode_prior(struct entry *entry, char *bytes, size_t size,
			 size_t *next); /* a message for an instance that starts, 0: nothing is
					   known; *next is advanced, 0 after the last message */

#endif
