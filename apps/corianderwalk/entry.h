/*
 * An entry instance on the users' platform: one event loop that joins callers, backend servers and
 * the store to the gate's decisions. Input and output only; the gate decides.
 */
#ifndef ENTRY_H
#define ENTRY_H

#include "cw_flow.h"
#include "cw_gate.h"
#include "cw_gossip.h"
#include "cw_policy.h"
#include "cw_up.h"

#include <sys/queue.h>

struct relay;
struct feed;
struct peers;

struct entry {
	struct cw_up_settings settings;
	struct cw_policy policy;
	uv_loop_t loop;
	uv_signal_t on_term;
	uv_signal_t on_int;
	uv_signal_t on_hup;
	uv_timer_t tick;
	struct cw_listener *caller_listener;
	struct cw_listener *ready_listener;
	struct cw_listener *metrics_listener;
	struct cw_client *server_client;
	struct cw_gate *gate;
	struct feed *feed;
	struct peers *peers;
	TAILQ_HEAD(, relay) relays;
	size_t relay_count;
	int64_t stop_requested_ms; /* 0: not asked */
	int64_t last_request_ms;
	int was_ready;
	unsigned int tick_count;
	int metrics_port;
};

int entry_run(const char *settings_file, const struct cw_policy *policy,
	      int metrics_port); /* an exit code */
int64_t entry_now_ms(const struct entry *entry);
void entry_apply_limits(struct entry *entry);	/* of the newest configuration, to callers */
int entry_is_synced(const struct entry *entry); /* configuration and servers */
int entry_is_ready(const struct entry *entry);

/* entry_relay.c: one request between its caller and the backend servers */
void relay_start(struct entry *entry, struct cw_caller *caller, struct cw_message *request);
void relay_open_pending(struct entry *entry); /* what came before enough was known */
void relay_handle_disconnect(void *relay);
void relay_resume(void *relay);
void relay_fail_unreachable(struct entry *entry,
			    const struct cw_server *server); /* what may go on elsewhere */
void relay_fail_superseded(
	struct entry *entry); /* gives up what ran at servers that started again */
void relay_abort_quarantined(struct entry *entry); /* ends what is sent nowhere any more */
void relay_abort_all(struct entry *entry);	   /* ends what is left, as a last resort */

/* entry_reach.c: whether backend servers can be reached */
void reach_probe_silent(struct entry *entry, int64_t now_ms); /* probes those that fell silent */
void reach_probe_crashed(struct entry *entry,
			 struct cw_server *server); /* it broke a request: did it end? */

/* entry_feed.c: what the store tells */
struct feed *feed_create(struct entry *entry, struct cw_error *error); /* NULL: error tells */
void feed_destroy(struct feed *feed);
int feed_is_complete(const struct feed *feed); /* configuration and servers were read once */
void feed_tick(struct feed *feed, int64_t now_ms);
int64_t
feed_expiry_grace_until_ms(const struct feed *feed); /* missing entries may still come back */
void feed_fill_announcement(const struct feed *feed,
			    struct cw_gossip *gossip); /* fills in what was read */
void feed_merge_announcement(struct feed *feed, const struct cw_gossip *gossip); /* from a peer */
void feed_apply_drain(struct feed *feed, const struct cw_drain_order *order,
		      const char *source); /* from the store or a peer */

/* entry_peers.c: what instances tell each other */
#define PEERS_READERS_KEY 0x72656164 /* any number, the same for all: the readers' ranks follow */
struct peers *peers_create(struct entry *entry, struct cw_error *error);
void peers_destroy(struct peers *peers);
void peers_announce(struct peers *peers);      /* now, beside the usual rounds */
size_t peers_count(const struct peers *peers); /* other instances that were heard of */
int peers_is_stable(const struct peers *peers,
		    int64_t now_ms); /* 0: many became known just now, or nobody yet */
size_t peers_rank(const struct peers *peers, uint64_t key,
		  int64_t now_ms); /* 0: the first to act on what the key names */

#endif
