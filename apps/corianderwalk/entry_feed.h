/* Shared by the files that read and write the store: its topics and how far each was read. */
#ifndef ENTRY_FEED_H
#define ENTRY_FEED_H

#include "entry.h"
#include "cw_follow.h"
#include "cw_tail.h"

#define FEED_CONNECT_MS 500
#define FEED_CALL_MS	1000 /* on top of a long poll: a call takes 4 ms, 100 times that when slow */

enum feed_phase {
	PHASE_SNAPSHOT, /* reads the newest record of each key, page by page */
	PHASE_FOLLOW,	/* reads the records appended since the snapshot */
};

/* One topic of the shared store, read from its newest records on. */
struct topic {
	struct feed *feed;
	enum cw_up_topic topic;
	const char *name;
	enum feed_phase phase;
	struct cw_position next;      /* of the next record; for the servers see
					 feed->server_list.next */
	struct cw_position read_from; /* of the pending call; records from peers may move next on */
	char after_key[CW_UP_KEY_MAX]; /* last key of the snapshot's pages so far; empty: none */
	int64_t snapshot_began_ms; /* servers that the snapshot has not listed since are removed */
	struct cw_exchange *exchange; /* the pending call, NULL: none */
	uv_timer_t timer;	      /* for the next call */
	GString *body;
	unsigned int http_status;
	uint64_t answer_era; /* of the store, as the answer to the pending call names it */
	int64_t call_began_ms;
	int64_t last_answer_ms;	 /* when a valid answer came last, -1: never */
	int64_t recovered_ms;	 /* when the store last answered again after failures */
	unsigned int failures;	 /* in a row */
	int is_complete;	 /* the state was read once, from the store or a peer */
	int is_jitter_done;	 /* the startup jitter has passed, or this instance has none */
	int is_down;		 /* the newest call failed */
	int64_t last_warning_ms; /* of the last log line on unreadable records */
	unsigned int unreadable_count; /* unreadable records since that line */
	int is_rechecking; /* calls return at once until one succeeds: records may be missing */
};

/* One record that is being appended to the shared store. */
struct append {
	struct feed *feed;
	struct cw_exchange *exchange; /* NULL: no append is pending */
	unsigned int http_status;
	uint64_t answer_era;
	void (*done)(void *context, enum cw_status status,
		     const char *why); /* CW_UNKNOWN: the record may have been written */
	void *context;
};

/* Publishes the outcome of roll-outs, one record at a time. */
struct verdict {
	struct feed *feed;
	int64_t decided_ms;  /* when an unpublished outcome was first known, 0: there is none */
	int is_status_fresh; /* the status topic was read since the last append */
	struct cw_rollout_status status;
	struct append append;
};

/* Publishes quarantined and released requests, one record at a time. */
struct quarantine_sync {
	struct feed *feed;
	uint64_t fingerprint; /* of the record that is being written */
	int is_released;
	int64_t retry_at_ms; /* no write before; set when one failed */
	struct append append;
};

/* How long peers have announced records past the read position of this instance. */
struct lag {
	struct cw_position next;
	int64_t since_ms; /* 0: no peer has */
};

struct feed {
	struct entry *entry;
	struct cw_client *client;
	struct topic operator;
	struct topic servers;
	struct topic status;
	struct topic quarantine;
	struct cw_follow server_list;
	struct verdict verdict;
	struct quarantine_sync quarantine_sync;
	struct share *share;
	struct cw_tail *tail;	 /* newest records of the server list, for peers */
	char *config_compressed; /* the configuration in force, as it is sent to peers */
	size_t config_compressed_bytes;
	int is_seed; /* named as a seed in the settings: starting instances ask it first */
	struct lag config_lag;
	struct lag server_list_lag;
	int64_t started_ms;
	uint64_t era;	    /* of the store, the newest one known; CW_ERA_UNKNOWN: none yet */
	int64_t settled_ms; /* until then, orders that the store lacks may be written again; 0: none
			       are awaited */
};

/* entry_feed.c: feed_create and other functions of entry.h */

/* entry_topic.c: reads one topic of the store */
void topic_open(struct feed *feed, struct topic *topic, enum cw_up_topic which, const char *name);
void topic_close(struct topic *topic);
void topic_schedule(struct topic *topic,
		    int64_t wait_ms);		 /* a call after the wait, if one is still due */
int topic_is_reader(const struct topic *topic);	 /* this instance reads the store for all others */
int feed_is_rank_known(const struct feed *feed); /* 0: just started, its peers are not known yet */
struct cw_position topic_next(const struct topic *topic);
void topic_reload(struct topic *topic); /* reads the newest records again */
void topic_restart(struct topic *topic,
		   int64_t wait_ms);	 /* the same, after the wait, in place of a pending call */
void topic_forget(struct topic *topic);	 /* it counts as never read, and is not read again now */
void topic_recheck(struct topic *topic); /* replaces the pending long poll by a call at once */
void topic_mark_synced(struct topic *topic); /* a peer has sent the topic's state */

/* entry_era.c: the era of the store */
enum era_relation {
	ERA_CURRENT, /* also: none is named, so the newest one known is assumed */
	ERA_EARLIER, /* a late answer or message: what it says of positions must not be used */
	ERA_BEGUN,   /* a new one: all topics are read again */
};

enum era_relation feed_note_era(struct feed *feed, uint64_t era, const char *source,
				int is_own_answer); /* source, for the log: a topic or a peer;
						       is_own_answer: the store said so itself */
int feed_is_settling(const struct feed *feed);	    /* the store's copy may lack orders */
void feed_settle(struct feed *feed, int64_t now_ms);

/* entry_hear.c: feed_fill_announcement and feed_merge_announcement of entry.h */

/* entry_news.c: applies records */
void record_apply(struct topic *topic, struct cw_up_record *record);
void record_apply_change(void *feed, const struct cw_change *change); /* to the server list */
void record_apply_next(void *feed, const struct cw_change *change);   /* and keeps it for peers */

/* entry_share.c: transfers state between instances, in place of calls of the store */
struct share *share_create(struct feed *feed, struct cw_error *error);
void share_destroy(struct share *share);
void share_set_body_limit(struct share *share, size_t bytes,
			  size_t held_bytes); /* of a request to be forwarded; of all of them */
void share_set_max_connections(struct share *share, size_t max_connections);
size_t share_unwritten_bytes(const struct share *share); /* of answers to peers */
void share_fetch_config(struct share *share, const char *peer);
void share_fetch_list(struct share *share, const char *peer);
void share_fetch_changes(struct share *share, const char *peer); /* records not read here */
int share_is_expecting(const struct share *share,
		       const struct topic *topic); /* a peer sends the state now, or soon */

/* entry_verdict.c: publishes the outcome of roll-outs */
void verdict_open(struct verdict *verdict, struct feed *feed);
void verdict_close(struct verdict *verdict);
void verdict_tick(struct verdict *verdict, int64_t now_ms);

/* entry_append.c: appends one record to the store */
void append_begin(struct append *append, struct feed *feed,
		  GString *bytes); /* bytes: the whole HTTP request; takes ownership */
void append_cancel(struct append *append);

/* entry_quarantine.c: publishes the quarantine */
void quarantine_sync_open(struct quarantine_sync *sync, struct feed *feed);
void quarantine_sync_close(struct quarantine_sync *sync);
void quarantine_sync_tick(struct quarantine_sync *sync, int64_t now_ms);

#endif
