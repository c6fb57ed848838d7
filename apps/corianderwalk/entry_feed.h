/* What the parts of the feed share: the topics of the store and how far each is read. */
#ifndef ENTRY_FEED_H
#define ENTRY_FEED_H

#include "entry.h"
#include "cw_follow.h"
#include "cw_tail.h"

#define FEED_CONNECT_MS 500
#define FEED_CALL_MS	1000 /* beyond a call's own wait: 4 ms, 100 times as long when slow */

enum feed_phase {
	PHASE_SNAPSHOT, /* collects the newest record of each key */
	PHASE_FOLLOW,	/* reads what is appended after that */
};

/* One topic of the store, followed from its newest records on. */
struct topic {
	struct feed *feed;
	enum cw_up_topic topic;
	const char *name;
	enum feed_phase phase;
	uint64_t
		next_offset; /* offset of the next record; of the servers, feed->list.from counts */
	uint64_t asked_from; /* of the call that waits: peers may bring from ahead of it */
	char after_key[CW_UP_KEY_MAX];
	int64_t snapshot_began_ms; /* when the collection began: entries not seen since are gone */
	struct cw_exchange *exchange;
	uv_timer_t timer;
	GString *body;
	unsigned int status;
	int64_t call_began_ms;
	int64_t last_answer_ms; /* of the last answer that was understood */
	int64_t recovered_ms;	/* since when it answers again */
	unsigned int failures;	/* in a row */
	int is_complete;	/* was collected once */
	int has_rested;		/* since the start, for peers to be sooner */
	int is_down;
	int64_t last_warning_ms;       /* of the last line on a record that can't be read */
	unsigned int unreadable_count; /* such records since then */
	int is_rechecking;	       /* another topic's call failed, or a peer knows more */
};

/* One record that is being appended to the store. */
struct append {
	struct cw_exchange *exchange; /* NULL: none is */
	unsigned int http_status;
	void (*done)(void *context, enum cw_status status,
		     const char *why); /* CW_UNKNOWN: it may have been written */
	void *context;
};

/* The one record of a roll-out's end that is being written. */
struct verdict {
	struct feed *feed;
	int64_t decided_ms;  /* since when one is to be written, 0: none */
	int is_status_fresh; /* the topic was just read */
	struct cw_rollout_status status;
	struct append append;
};

/* The list of held requests, and the one record of it that is being written. */
struct quarantine_sync {
	struct feed *feed;
	uint64_t fingerprint;
	int is_released;
	int64_t retry_at_ms; /* no write before */
	struct append append;
};

/* Peers know more than what was read up to here. */
struct lag {
	uint64_t next_offset;
	int64_t since_ms; /* 0: none does */
};

struct feed {
	struct entry *entry;
	struct cw_client *client;
	struct topic operator;
	struct topic servers;
	struct topic status;
	struct topic quarantine;
	struct cw_follow server_list; /* of the servers */
	struct verdict verdict;
	struct quarantine_sync quarantine_sync;
	struct share *share;
	struct cw_tail *tail;	 /* of the servers' list */
	char *config_compressed; /* the configuration in force, as peers get it */
	size_t config_compressed_bytes;
	int is_seed; /* others ask this instance first */
	struct lag config_lag;
	struct lag server_list_lag;
	int64_t started_ms;
};

/* entry_feed.c: feed_create and others of entry.h */

/* entry_topic.c */
void topic_open(struct feed *feed, struct topic *topic, enum cw_up_topic which, const char *name);
void topic_close(struct topic *topic);
void topic_schedule(struct topic *topic, int64_t wait_ms); /* or what is due by then in its place */
int topic_is_reader(const struct topic *topic);		   /* reads for all instances */
uint64_t topic_next_offset(const struct topic *topic);
void topic_reload(struct topic *topic);	     /* reads the newest records again */
void topic_recheck(struct topic *topic);     /* now, whatever waits */
void topic_mark_synced(struct topic *topic); /* its state came from a peer */

/* entry_hear.c: feed_fill_announcement and feed_merge_announcement of entry.h */

/* entry_news.c: what a record changes */
void record_apply(struct topic *topic, struct cw_up_news *news);
void record_apply_change(void *feed, const struct cw_change *change);
void record_apply_next(void *feed, const struct cw_change *change); /* the list's next record */

/* entry_share.c: what instances that can't or needn't read the store get from their peers */
struct share *share_create(struct feed *feed, struct cw_error *error);
void share_destroy(struct share *share);
void share_fetch_config(struct share *share, const char *peer);
void share_fetch_list(struct share *share, const char *peer);
void share_fetch_changes(struct share *share,
			 const char *peer); /* since the last record known here */
int share_is_expecting(const struct share *share,
		       const struct topic *topic); /* its state, from a peer, now or soon */

/* entry_verdict.c: writing down how a roll-out ended */
void verdict_open(struct verdict *verdict, struct feed *feed);
void verdict_close(struct verdict *verdict);
void verdict_tick(struct verdict *verdict, int64_t now_ms);

/* entry_append.c */
void append_begin(struct append *append, struct feed *feed,
		  GString *bytes); /* the whole call; takes bytes */
void append_cancel(struct append *append);

/* entry_quarantine.c: requests that are sent nowhere */
void quarantine_sync_open(struct quarantine_sync *quarantine_sync, struct feed *feed);
void quarantine_sync_close(struct quarantine_sync *quarantine_sync);
void quarantine_sync_tick(struct quarantine_sync *quarantine_sync, int64_t now_ms);

#endif
