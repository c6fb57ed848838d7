/*
 * State that instances get from each other over a connection: the configuration, which is too large
 * for a datagram, and the whole list of servers. It saves each of them a call of the store, and it
 * is all that an instance has which starts while the store is away or turns it away.
 */
#include "cw_counters.h"
#include "cw_timeline.h"
#include "entry_feed.h"

#include <stdio.h>
#include <string.h>

#define PATH_CONFIG  "/config"
#define PATH_LIST    "/servers"
#define OFFSET_FIELD "X-Offset" /* how far the answering instance has read the operator's topic */
#define CONNECT_MS   150
#define ANSWER_MS    400 /* 100 kB within a failure domain; longer, the store is asked */
#define KEPT_MS	     10000
#define FETCH_GAP_MS 100 /* between two tries to get the same */

/* One thing that is fetched, from one peer at a time. */
struct fetch {
	struct share *share;
	const char *path;
	void (*done)(struct fetch *fetch);
	struct cw_exchange *exchange;
	GString *body;
	unsigned int status;
	uint64_t offset;
	int64_t tried_ms;
};

struct share {
	struct feed *feed;
	struct cw_listener *listener;
	struct cw_client *client;
	struct fetch config;
	struct fetch list;
};

static void on_request(void *context, struct cw_caller *caller, struct cw_message *request);
static void on_nothing(void *request);
static void answer_config(struct share *share, struct cw_caller *caller);
static int is_listed(const struct cw_server *server);
static void answer_list(struct share *share, struct cw_caller *caller);
static void open_fetch(struct share *share, struct fetch *fetch, const char *path,
		       void (*done)(struct fetch *fetch));
static void start_fetch(struct fetch *fetch, const char *peer);
static void on_head(void *context, const struct cw_message *answer);
static void on_data(void *context, const char *data, size_t size);
static void on_end(void *context);
static void on_failed(void *context, enum cw_flow_failure failure);
static void config_done(struct fetch *fetch);
static void list_done(struct fetch *fetch);
static void take_list(struct feed *feed, const struct cw_gossip_list *list);

static const struct cw_listener_ops listener_ops = {on_request, on_nothing, on_nothing, NULL};
static const struct cw_exchange_ops exchange_ops = {on_head, on_data, on_end, on_failed};

struct share *share_create(struct feed *feed, struct cw_error *error)
{
	struct entry *entry = feed->entry;
	struct share *share = g_new0(struct share, 1);

	share->feed = feed;
	share->client = cw_client_create(&entry->loop);
	open_fetch(share, &share->config, PATH_CONFIG, config_done);
	open_fetch(share, &share->list, PATH_LIST, list_done);
	share->listener = cw_listener_create(&entry->loop, entry->settings.peers_listen,
					     &listener_ops, share, error);
	if (share->listener)
		return share;
	share_destroy(share);
	return NULL;
}

void share_destroy(struct share *share)
{
	if (!share)
		return;
	cw_listener_destroy(share->listener);
	cw_client_destroy(share->client);
	g_string_free(share->config.body, TRUE);
	g_string_free(share->list.body, TRUE);
	g_free(share);
}

void share_fetch_config(struct share *share, const char *peer)
{
	start_fetch(&share->config, peer);
}

void share_fetch_list(struct share *share, const char *peer)
{
	start_fetch(&share->list, peer);
}

static void on_request(void *context, struct cw_caller *caller, struct cw_message *request)
{
	struct share *share = context;

	if (!strcmp(request->target->str, PATH_CONFIG) && share->feed->config_text) {
		answer_config(share, caller);
	} else if (!strcmp(request->target->str, PATH_LIST) && share->feed->servers.is_complete) {
		answer_list(share, caller);
	} else {
		cw_caller_head(caller, HTTP_STATUS_NOT_FOUND, "", 0);
		cw_caller_end(caller);
	}
}

static void on_nothing(void *request)
{
}

static void answer_config(struct share *share, struct cw_caller *caller)
{
	const struct feed *feed = share->feed;
	char fields[64];

	snprintf(fields, sizeof(fields), OFFSET_FIELD ": %lu\r\n",
		 (unsigned long)feed->operator.from);
	cw_caller_head(caller, HTTP_STATUS_OK, fields, (int64_t)feed->config_size);
	cw_caller_data(caller, feed->config_text, feed->config_size);
	cw_caller_end(caller);
}

static void answer_list(struct share *share, struct cw_caller *caller)
{
	const struct feed *feed = share->feed;
	const struct cw_server_list *servers = cw_pool_servers(cw_gate_pool(feed->entry->gate));
	int64_t now_ms = entry_now_ms(feed->entry);
	struct cw_gossip_list list = {
		.from = feed->list.from,
		.age_ms = (uint32_t)(now_ms - feed->list.fresh_ms),
	};
	const struct cw_server *server;
	size_t size;
	char *bytes;

	TAILQ_FOREACH(server, servers, link)
		list.count += is_listed(server);
	list.entries = g_new0(struct cw_server_entry, list.count + 1);
	list.count = 0;
	TAILQ_FOREACH(server, servers, link)
		if (is_listed(server))
			cw_pool_entry(server, &list.entries[list.count++], now_ms);
	bytes = cw_gossip_list_encode(&list, &size);
	cw_caller_head(caller, HTTP_STATUS_OK, "", (int64_t)size);
	cw_caller_data(caller, bytes, size);
	cw_caller_end(caller);
	g_free(bytes);
	g_free(list.entries);
}

/*
 * A server that is only held for a while, as its entry went when the store came back, is not
 * passed on: whoever takes this list never reads the record that removed it.
 */
static int is_listed(const struct cw_server *server)
{
	return !server->gone && !server->gone_ms;
}

static void open_fetch(struct share *share, struct fetch *fetch, const char *path,
		       void (*done)(struct fetch *fetch))
{
	fetch->share = share;
	fetch->path = path;
	fetch->done = done;
	fetch->body = g_string_sized_new(0);
	fetch->tried_ms = -FETCH_GAP_MS;
}

static void start_fetch(struct fetch *fetch, const char *peer)
{
	int64_t now_ms = entry_now_ms(fetch->share->feed->entry);
	struct cw_exchange_request request = {
		.address = peer,
		.reuse_idle_ms = KEPT_MS,
		.connect_ms = CONNECT_MS,
		.silence_ms = ANSWER_MS,
	};

	if (fetch->exchange || now_ms - fetch->tried_ms < FETCH_GAP_MS)
		return;
	fetch->tried_ms = now_ms;
	fetch->status = 0;
	g_string_truncate(fetch->body, 0);
	request.bytes = g_string_new(NULL);
	g_string_printf(request.bytes, "GET %s HTTP/1.1\r\nHost: %s\r\n\r\n", fetch->path, peer);
	cw_count("peer_fetches", "", 1);
	fetch->exchange = cw_client_send(fetch->share->client, &request, &exchange_ops, fetch);
}

static void on_head(void *context, const struct cw_message *answer)
{
	struct fetch *fetch = context;
	const char *offset = cw_message_find(answer, OFFSET_FIELD);

	fetch->status = answer->status;
	fetch->offset = offset ? g_ascii_strtoull(offset, NULL, 10) : 0;
}

static void on_data(void *context, const char *data, size_t size)
{
	struct fetch *fetch = context;

	g_string_append_len(fetch->body, data, (gssize)size);
}

static void on_end(void *context)
{
	struct fetch *fetch = context;

	fetch->exchange = NULL;
	if (fetch->status == HTTP_STATUS_OK)
		fetch->done(fetch);
}

/* The store is asked instead, or another peer that tells of the same. */
static void on_failed(void *context, enum cw_flow_failure failure)
{
	struct fetch *fetch = context;

	fetch->exchange = NULL;
	cw_count("peer_fetches_failed", "", 1);
	topic_ask_store(fetch == &fetch->share->config ? &fetch->share->feed->operator
						       : &fetch->share->feed->servers);
}

static void config_done(struct fetch *fetch)
{
	struct feed *feed = fetch->share->feed;
	struct cw_up_news news = {.kind = CW_UP_CONFIG, .offset = fetch->offset};

	news.config = cw_up_config_decode(fetch->body->str, fetch->body->len, &news.error);
	if (!news.config) {
		cw_warn("share", "not_understood", "what=config message=\"%s\"",
			news.error.message);
		topic_ask_store(&feed->operator);
		return;
	}
	news.text = fetch->body->str;
	news.text_size = fetch->body->len;
	news_take(&feed->operator, & news);
	cw_config_unref(news.config);
	feed->operator.from = MAX(feed->operator.from, fetch->offset);
	topic_taken(&feed->operator);
}

static void list_done(struct fetch *fetch)
{
	struct feed *feed = fetch->share->feed;
	struct cw_gossip_list list;

	if (cw_gossip_list_decode(fetch->body->str, fetch->body->len, &list) != CW_OK) {
		cw_warn("share", "not_understood", "what=servers bytes=%zu", fetch->body->len);
		return;
	}
	/* Records that were read meanwhile may be newer than this list. */
	if (!feed->servers.is_complete || list.from > feed->list.from)
		take_list(feed, &list);
	g_free(list.entries);
}

static void take_list(struct feed *feed, const struct cw_gossip_list *list)
{
	int64_t now_ms = entry_now_ms(feed->entry);

	for (size_t i = 0; i < list->count; i++) {
		struct cw_change change = {.entry = list->entries[i]};

		news_take_change(feed, &change);
	}
	cw_pool_keep_listed(cw_gate_pool(feed->entry->gate), now_ms, feed_lapse_until_ms(feed),
			    now_ms);
	cw_event("share", "list_taken", "from=%lu before=%lu servers=%zu age_ms=%u",
		 (unsigned long)list->from, (unsigned long)feed->list.from, list->count,
		 list->age_ms);
	cw_follow_start(&feed->list, list->from);
	feed->list.fresh_ms = MAX(feed->list.fresh_ms, now_ms - list->age_ms);
	topic_taken(&feed->servers);
}
