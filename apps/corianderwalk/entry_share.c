/*
 * State that instances transfer to each other over HTTP: the configuration, which is too large for
 * a datagram, and the whole server list. A transfer saves a call of the shared store, and is the
 * only source of state for an instance that starts while the store is unreachable or rejects calls.
 */
#include "cw_counters.h"
#include "cw_pack.h"
#include "cw_timeline.h"
#include "cw_uplink.h"
#include "entry_feed.h"
#include "entry_forward.h"

#include <stdio.h>
#include <string.h>

#define PATH_CONFIG	    "/config"
#define PATH_LIST	    "/servers"
#define PATH_CHANGES	    "/changes/" /* then an offset: records of the list from there on */
#define OFFSET_FIELD	    "X-Offset"	/* next offset of the sender in the operator's topic */
#define AGE_FIELD	    "X-Age-Ms"	/* age of the encoded list */
#define ERA_FIELD	    "X-Era"	/* of the position that is sent; earlier builds send none */
#define ERA_QUERY	    "?era="	/* after the offset: the era that it counts in */
#define CONNECT_TIMEOUT_MS  150
#define RESPONSE_TIMEOUT_MS 400 /* without a byte; then another peer or the store is asked */
#define REUSE_IDLE_MS	    10000
#define FETCH_INTERVAL_MS   100	 /* between two tries to fetch the same state */
#define SNAPSHOT_MAX_AGE_MS 300	 /* after which the list is encoded anew */
#define DECLINED_WAIT_MS    1000 /* after a peer that has the state was too busy to send it */
#define FAILURES_MAX	    2	 /* in a row, before the store is asked */
#define MISSES_MAX	    3 /* peers in a row without the records, before the list is fetched */
#define PEER_HEADER_BYTES   (16 * 1024) /* also what is added to a forwarded request */
#define PEER_REQUEST_MS	    5000	/* to read a peer's request */
#define PEER_IDLE_MS	    60000
#define CONFIG_BYTES_MAX    (16 * 1024 * 1024) /* uncompressed */

/* One kind of state that is fetched, from one peer at a time. */
struct fetch {
	struct share *share;
	const char *path;
	void (*done)(struct fetch *fetch);
	struct topic *topic; /* the topic of the store that holds the same state */
	struct cw_exchange *exchange;
	char peer[CW_ADDRESS_MAX];
	GString *body;
	unsigned int http_status;
	unsigned int failures; /* in a row */
	uint64_t offset;
	uint64_t era; /* of the peer's position; CW_ERA_UNKNOWN: it names none */
	uint32_t age_ms;
	int64_t last_try_ms;
	int64_t declined_ms; /* when a peer that has the state was too busy to send it, 0: never */
};

/* The whole server list, encoded once for all requests within SNAPSHOT_MAX_AGE_MS. */
struct snapshot {
	char *bytes; /* NULL: not encoded yet */
	size_t size;
	struct cw_position next;
	int64_t encoded_ms;
};

struct share {
	struct feed *feed;
	struct cw_listener *listener;
	struct cw_client *client;
	struct fetch config;
	struct fetch list;
	struct fetch changes;
	struct snapshot snapshot;
	struct cw_uplink uplink;
};

static void on_request(void *context, struct cw_caller *caller, struct cw_message *request);
static void send_config(struct share *share, struct cw_caller *caller);
static int is_listed(const struct cw_server *server);
static void send_list(struct share *share, struct cw_caller *caller);
static void encode_snapshot(struct share *share, int64_t now_ms);
static void send_changes(struct share *share, struct cw_caller *caller, const char *from);
static void decline(struct cw_caller *caller, unsigned int status);
static void init_fetch(struct share *share, struct fetch *fetch, const char *path,
		       struct topic *topic, void (*done)(struct fetch *fetch));
static void start_fetch(struct fetch *fetch, const char *peer);
static void on_head(void *context, const struct cw_message *answer);
static void on_data(void *context, const char *data, size_t size);
static void on_end(void *context);
static void on_failed(void *context, enum cw_flow_failure failure);
static void finish_config_fetch(struct fetch *fetch);
static void finish_list_fetch(struct fetch *fetch);
static void finish_changes_fetch(struct fetch *fetch);
static void apply_list(struct feed *feed, const struct cw_gossip_list *list,
		       struct cw_position next);

/* Only forwarded requests take longer than their reading. */
static const struct cw_listener_ops listener_ops = {on_request, forward_handle_disconnect,
						    forward_resume, NULL};
static const struct cw_exchange_ops exchange_ops = {on_head, on_data, on_end, on_failed, NULL};

struct share *share_create(struct feed *feed, struct cw_error *error)
{
	struct entry *entry = feed->entry;
	struct share *share = g_new0(struct share, 1);

	share->feed = feed;
	share->client = cw_client_create(&entry->loop);
	cw_uplink_open(&share->uplink, entry->settings.link_mbps);
	init_fetch(share, &share->config, PATH_CONFIG, &feed->operator, finish_config_fetch);
	init_fetch(share, &share->list, PATH_LIST, &feed->servers, finish_list_fetch);
	init_fetch(share, &share->changes, PATH_CHANGES, &feed->servers, finish_changes_fetch);
	share->listener = cw_listener_create(&entry->loop, entry->settings.peers_listen,
					     &listener_ops, share, error);
	if (!share->listener) {
		share_destroy(share);
		return NULL;
	}
	entry_limit_listener(entry, share->listener);
	return share;
}

void share_destroy(struct share *share)
{
	if (!share)
		return;
	cw_listener_destroy(share->listener);
	cw_client_destroy(share->client);
	g_string_free(share->config.body, TRUE);
	g_string_free(share->list.body, TRUE);
	g_string_free(share->changes.body, TRUE);
	g_free(share->snapshot.bytes);
	g_free(share);
}

void share_set_body_limit(struct share *share, size_t bytes, size_t held_bytes)
{
	struct cw_flow_limits limits = {
		.header_bytes = PEER_HEADER_BYTES,
		.body_bytes = bytes + PEER_HEADER_BYTES,
		.header_ms = PEER_REQUEST_MS,
		.idle_ms = PEER_IDLE_MS,
		.held_bytes = held_bytes,
	};

	cw_listener_set_limits(share->listener, &limits);
}

void share_set_max_connections(struct share *share, size_t max_connections)
{
	cw_listener_set_max_connections(share->listener, max_connections);
}

size_t share_unwritten_bytes(const struct share *share)
{
	return cw_listener_unwritten_bytes(share->listener);
}

void share_fetch_config(struct share *share, const char *peer)
{
	start_fetch(&share->config, peer);
}

void share_fetch_list(struct share *share, const char *peer)
{
	start_fetch(&share->list, peer);
}

void share_fetch_changes(struct share *share, const char *peer)
{
	if (!share->list.exchange)
		start_fetch(&share->changes, peer);
}

int share_is_expecting(const struct share *share, const struct topic *topic)
{
	const struct fetch *fetch = topic == &share->feed->operator? &share->config : & share->list;
	int64_t now_ms = entry_now_ms(share->feed->entry);

	return fetch->exchange ||
	       (fetch->declined_ms && now_ms - fetch->declined_ms < DECLINED_WAIT_MS);
}

static void on_request(void *context, struct cw_caller *caller, struct cw_message *request)
{
	struct share *share = context;
	const char *target = request->target->str;
	int has_list = share->feed->servers.is_complete;

	if (forward_is_request(request))
		forward_start(share->feed->entry->forwards, caller, request);
	else if (!strcmp(target, PATH_CONFIG) && share->feed->config_compressed)
		send_config(share, caller);
	else if (!strcmp(target, PATH_LIST) && has_list)
		send_list(share, caller);
	else if (g_str_has_prefix(target, PATH_CHANGES) && has_list)
		send_changes(share, caller, target + strlen(PATH_CHANGES));
	else
		decline(caller, HTTP_STATUS_NOT_FOUND);
}

static void send_config(struct share *share, struct cw_caller *caller)
{
	const struct feed *feed = share->feed;
	int64_t now_ms = entry_now_ms(feed->entry);
	char fields[128];

	if (!cw_uplink_admits(&share->uplink, now_ms)) {
		decline(caller, HTTP_STATUS_SERVICE_UNAVAILABLE);
		return;
	}
	snprintf(fields, sizeof(fields), OFFSET_FIELD ": %lu\r\n" ERA_FIELD ": %lu\r\n",
		 (unsigned long)feed->operator.next.offset, (unsigned long)feed->operator.next.era);
	cw_caller_send_head(caller, HTTP_STATUS_OK, fields, (int64_t)feed->config_compressed_bytes);
	cw_caller_send_body(caller, feed->config_compressed, feed->config_compressed_bytes);
	cw_caller_end_answer(caller);
	cw_uplink_add_transfer(&share->uplink, feed->config_compressed_bytes, now_ms);
}

static void send_list(struct share *share, struct cw_caller *caller)
{
	int64_t now_ms = entry_now_ms(share->feed->entry);
	struct snapshot *snapshot = &share->snapshot;
	char fields[128];

	if (!cw_uplink_admits(&share->uplink, now_ms)) {
		cw_counter_add("peer_lists_declined", "", 1);
		decline(caller, HTTP_STATUS_SERVICE_UNAVAILABLE);
		return;
	}
	if (!snapshot->bytes ||
	    cw_position_compare(snapshot->next, share->feed->server_list.next) != 0 ||
	    now_ms - snapshot->encoded_ms > SNAPSHOT_MAX_AGE_MS)
		encode_snapshot(share, now_ms);
	snprintf(fields, sizeof(fields), AGE_FIELD ": %ld\r\n" ERA_FIELD ": %lu\r\n",
		 (long)(now_ms - snapshot->encoded_ms), (unsigned long)snapshot->next.era);
	cw_caller_send_head(caller, HTTP_STATUS_OK, fields, (int64_t)snapshot->size);
	cw_caller_send_body(caller, snapshot->bytes, snapshot->size);
	cw_caller_end_answer(caller);
	cw_counter_add("peer_lists_sent", "", 1);
	cw_uplink_add_transfer(&share->uplink, snapshot->size, now_ms);
}

static void encode_snapshot(struct share *share, int64_t now_ms)
{
	const struct feed *feed = share->feed;
	const struct cw_pool *pool = cw_gate_pool(feed->entry->gate);
	const struct cw_server_list *servers = cw_pool_servers(pool);
	struct cw_gossip_list list = {
		.next_offset = feed->server_list.next.offset,
		.age_ms = (uint32_t)(now_ms - feed->server_list.fresh_ms),
	};
	const struct cw_server *server;

	TAILQ_FOREACH(server, servers, link)
		list.count += is_listed(server);
	list.entries = g_new0(struct cw_server_entry, list.count + 1);
	list.count = 0;
	TAILQ_FOREACH(server, servers, link)
		if (is_listed(server))
			cw_pool_get_entry(server, &list.entries[list.count++], now_ms);
	list.held = g_new0(struct cw_server_entry, cw_pool_held_count(pool) + 1);
	list.held_count = cw_pool_list_held(pool, list.held, cw_pool_held_count(pool));
	g_free(share->snapshot.bytes);
	share->snapshot.bytes = cw_gossip_list_encode(&list, &share->snapshot.size);
	share->snapshot.next = feed->server_list.next;
	share->snapshot.encoded_ms = now_ms;
	cw_gossip_list_clear(&list);
}

/*
 * Hundreds of servers may change in a second, and a message between instances holds few changes. An
 * instance that missed some gets them here, without the cost of the whole list.
 */
static void send_changes(struct share *share, struct cw_caller *caller, const char *from)
{
	const struct feed *feed = share->feed;
	int64_t now_ms = entry_now_ms(feed->entry);
	struct cw_gossip_changes changes = {.peer_report = {
						    .next = feed->server_list.next,
						    .age_ms = now_ms - feed->server_list.fresh_ms,
						    .evidence = feed->server_list.evidence,
					    }};
	uint64_t first_offset = g_ascii_strtoull(from, NULL, 10);
	const char *era = strstr(from, ERA_QUERY);
	char fields[64];
	size_t size;
	char *bytes;

	/* Offsets of another era name other records. */
	if (era &&
	    g_ascii_strtoull(era + strlen(ERA_QUERY), NULL, 10) != changes.peer_report.next.era) {
		decline(caller, HTTP_STATUS_NOT_FOUND);
		return;
	}
	changes.changes = g_new(struct cw_change, CW_TAIL_CHANGES);
	changes.count = cw_tail_since(feed->tail, first_offset, changes.changes, CW_TAIL_CHANGES);
	if (changes.count == 0) {
		g_free(changes.changes);
		decline(caller, HTTP_STATUS_NOT_FOUND);
		return;
	}
	bytes = cw_gossip_changes_encode(&changes, &size);
	snprintf(fields, sizeof(fields), ERA_FIELD ": %lu\r\n",
		 (unsigned long)changes.peer_report.next.era);
	cw_caller_send_head(caller, HTTP_STATUS_OK, fields, (int64_t)size);
	cw_caller_send_body(caller, bytes, size);
	cw_caller_end_answer(caller);
	cw_uplink_add_transfer(&share->uplink, size, now_ms);
	g_free(bytes);
	g_free(changes.changes);
}

static void decline(struct cw_caller *caller, unsigned int status)
{
	cw_caller_send_head(caller, status, "", 0);
	cw_caller_end_answer(caller);
}

/*
 * A server whose entry was missing when the store recovered is kept for a grace period, but not
 * sent to peers: an instance that applies this list never reads the record that removed the server.
 */
static int is_listed(const struct cw_server *server)
{
	return !server->is_removed && !server->removed_ms;
}

static void init_fetch(struct share *share, struct fetch *fetch, const char *path,
		       struct topic *topic, void (*done)(struct fetch *fetch))
{
	fetch->share = share;
	fetch->path = path;
	fetch->topic = topic;
	fetch->done = done;
	fetch->body = g_string_sized_new(0);
	fetch->last_try_ms = -FETCH_INTERVAL_MS;
}

static void start_fetch(struct fetch *fetch, const char *peer)
{
	int64_t now_ms = entry_now_ms(fetch->share->feed->entry);
	struct cw_exchange_request request = {
		.address = peer,
		.reuse_idle_ms = REUSE_IDLE_MS,
		.connect_ms = CONNECT_TIMEOUT_MS,
		.read_timeout_ms = RESPONSE_TIMEOUT_MS,
	};

	if (fetch->exchange || now_ms - fetch->last_try_ms < FETCH_INTERVAL_MS)
		return;
	fetch->last_try_ms = now_ms;
	g_strlcpy(fetch->peer, peer, sizeof(fetch->peer));
	fetch->http_status = 0;
	g_string_truncate(fetch->body, 0);
	request.bytes = g_string_new(NULL);
	g_string_printf(request.bytes, "GET %s", fetch->path);
	if (fetch == &fetch->share->changes)
		g_string_append_printf(request.bytes, "%lu" ERA_QUERY "%lu",
				       (unsigned long)fetch->share->feed->server_list.next.offset,
				       (unsigned long)fetch->share->feed->server_list.next.era);
	g_string_append_printf(request.bytes, " HTTP/1.1\r\nHost: %s\r\n\r\n", peer);
	cw_counter_add("peer_fetches", "", 1);
	fetch->exchange = cw_client_send(fetch->share->client, &request, &exchange_ops, fetch);
}

static void on_head(void *context, const struct cw_message *answer)
{
	struct fetch *fetch = context;
	const char *offset = cw_message_find(answer, OFFSET_FIELD);
	const char *age = cw_message_find(answer, AGE_FIELD);
	const char *era = cw_message_find(answer, ERA_FIELD);

	fetch->http_status = answer->status;
	fetch->offset = offset ? g_ascii_strtoull(offset, NULL, 10) : 0;
	fetch->era = era ? g_ascii_strtoull(era, NULL, 10) : CW_ERA_UNKNOWN;
	fetch->age_ms = age ? (uint32_t)g_ascii_strtoull(age, NULL, 10) : 0;
}

static void on_data(void *context, const char *data, size_t size)
{
	struct fetch *fetch = context;

	g_string_append_len(fetch->body, data, (gssize)size);
}

static void on_end(void *context)
{
	struct fetch *fetch = context;
	struct share *share = fetch->share;

	fetch->exchange = NULL;
	if (fetch->http_status == HTTP_STATUS_OK) {
		fetch->failures = 0;
		fetch->done(fetch);
	} else if (fetch->http_status == HTTP_STATUS_SERVICE_UNAVAILABLE) {
		fetch->failures = 0;
		fetch->declined_ms = entry_now_ms(share->feed->entry);
	} else if (fetch == &share->changes && ++fetch->failures >= MISSES_MAX) {
		fetch->failures = 0;
		share_fetch_list(share, fetch->peer);
	}
}

/* Another peer that announces the state is asked next, or the store after FAILURES_MAX. */
static void on_failed(void *context, enum cw_flow_failure failure)
{
	struct fetch *fetch = context;

	fetch->exchange = NULL;
	cw_counter_add("peer_fetches_failed", "", 1);
	if (++fetch->failures < FAILURES_MAX)
		return;
	fetch->failures = 0;
	topic_recheck(fetch->topic);
}

static void finish_config_fetch(struct fetch *fetch)
{
	struct feed *feed = fetch->share->feed;
	struct cw_up_record record = {.kind = CW_UP_RECORD_CONFIG, .offset = fetch->offset};

	record.text =
		cw_unpack(fetch->body->str, fetch->body->len, CONFIG_BYTES_MAX, &record.text_size);
	if (record.text)
		record.config = cw_up_parse_config(record.text, record.text_size, &record.error);
	if (!record.config) {
		cw_warn("share", "not_understood", "what=config message=\"%s\"",
			record.text ? record.error.message : "cannot be decompressed");
		g_free(record.text);
		topic_recheck(&feed->operator);
		return;
	}
	record_apply(&feed->operator, & record);
	cw_config_unref(record.config);
	g_free(record.text);
	feed_note_era(feed, fetch->era, fetch->peer, 0);
	/* A configuration of an earlier era is in force all the same, but other records follow it.
	 */
	if (fetch->era != feed->era)
		return;
	feed->operator.next = cw_position_max(feed->operator.next,
					      (struct cw_position){fetch->era, fetch->offset});
	topic_mark_synced(&feed->operator);
}

static void finish_list_fetch(struct fetch *fetch)
{
	struct feed *feed = fetch->share->feed;
	struct cw_gossip_list list;
	struct cw_position next;

	if (cw_gossip_list_decode(fetch->body->str, fetch->body->len, &list) != CW_OK) {
		cw_warn("share", "not_understood", "what=servers bytes=%zu", fetch->body->len);
		return;
	}
	list.age_ms += fetch->age_ms;
	feed_note_era(feed, fetch->era, fetch->peer, 0);
	next = (struct cw_position){fetch->era, list.next_offset};
	/* Records that were read during the transfer may be newer than the list. */
	if (next.era == feed->era &&
	    (!feed->servers.is_complete || cw_position_compare(next, feed->server_list.next) > 0))
		apply_list(feed, &list, next);
	cw_gossip_list_clear(&list);
}

static void finish_changes_fetch(struct fetch *fetch)
{
	struct feed *feed = fetch->share->feed;
	struct cw_gossip_changes changes;

	if (cw_gossip_changes_decode(fetch->body->str, fetch->body->len, &changes) != CW_OK) {
		cw_warn("share", "not_understood", "what=changes bytes=%zu", fetch->body->len);
		return;
	}
	changes.peer_report.next.era = fetch->era;
	if (feed->servers.is_complete && feed->servers.phase == PHASE_FOLLOW)
		cw_follow_merge_changes(&feed->server_list, changes.changes, changes.count,
					&changes.peer_report, entry_now_ms(feed->entry),
					record_apply_next, feed);
	g_free(changes.changes);
}

static void apply_list(struct feed *feed, const struct cw_gossip_list *list,
		       struct cw_position next)
{
	int64_t now_ms = entry_now_ms(feed->entry);

	for (size_t i = 0; i < list->count; i++) {
		struct cw_change change = {.entry = list->entries[i]};

		record_apply_change(feed, &change);
	}
	for (size_t i = 0; i < list->held_count; i++)
		cw_pool_hold_entry(cw_gate_pool(feed->entry->gate), &list->held[i], now_ms);
	cw_pool_delist_unlisted(cw_gate_pool(feed->entry->gate), now_ms,
				feed_expiry_grace_until_ms(feed), now_ms);
	cw_event("share", "list_taken", "from=%lu before=%lu era=%ld servers=%zu age_ms=%u",
		 (unsigned long)next.offset, (unsigned long)feed->server_list.next.offset,
		 (long)cw_era_number(next.era), list->count, list->age_ms);
	cw_follow_reset(&feed->server_list, next);
	feed->server_list.fresh_ms = MAX(feed->server_list.fresh_ms, now_ms - list->age_ms);
	topic_mark_synced(&feed->servers);
}
