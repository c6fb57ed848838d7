/*
 * How one topic of the store is read: whole at first, then what is appended; when, by which rank,
 * and what a failure or a return of the store changes.
 */
#include "cw_counters.h"
#include "cw_hash.h"
#include "cw_readers.h"
#include "cw_timeline.h"
#include "entry_feed.h"

#include <string.h>

#define POLL_WAIT_MS	1200  /* of a long poll that may miss a record: all know it 0.5 s later */
#define POLL_STAGGER_MS 300   /* the second reader's call waits so much less */
#define HELD_WAIT_MS	20000 /* of a reader's call for held requests: messages tell of them too */
#define SERVERS_WAIT_MS 700   /* of a reader's call: its end proves that nothing newer is there */
#define SERVERS_GAP_MS	100   /* changes of servers that come close together are one read */
#define STALE_CHECK_MS	100   /* a view that grew old is noticed within it */
#define KEPT_MS		20000 /* a kept connection may be idle this long */
#define DOUBT_GAP_MS	300   /* between two calls of one that lost the store: few, and in time */
#define UNREADABLE_MS	1000  /* one line on records that can't be read in that time */

static void ask(struct topic *topic);
static void begin_collection(struct topic *topic);
static int is_settled(const struct feed *feed);
static size_t rank_of(const struct topic *topic);
static int64_t poll_wait_ms(const struct topic *topic);
static void on_timer(uv_timer_t *timer);
static int is_awaited(const struct topic *topic);
static void ask_newest(struct topic *topic);
static void rest(struct topic *topic);
static void on_head(void *context, const struct cw_message *answer);
static void on_data(void *context, const char *data, size_t size);
static void on_end(void *context);
static void on_failed(void *context, enum cw_flow_failure failure);
static void start_over(struct topic *topic);
static enum cw_status read_answer(struct topic *topic, struct cw_up_page *page,
				  struct cw_error *error);
static void take_newest(struct topic *topic, struct cw_up_page *page);
static void read_on(struct topic *topic, const char *after);
static void take_followed(struct topic *topic, struct cw_up_page *page);
static void take_record(struct topic *topic, struct cw_up_record *log_record);
static void note_unreadable(struct topic *topic, const struct cw_up_record *log_record);
static void collected(struct topic *topic);
static void restore_unseen(struct topic *topic);
static void failed(struct topic *topic, const char *why);
static void restored(struct topic *topic);
static void doubt_others(struct topic *topic);
static void doubt(struct topic *topic);
static void ask_now(struct topic *topic);
static void stop_asking(struct topic *topic);

static const struct cw_exchange_ops exchange_ops = {on_head, on_data, on_end, on_failed};

void topic_ask_store(struct topic *topic)
{
	doubt(topic);
}

/* As if it had been collected: what follows is read from there on. */
void topic_taken(struct topic *topic)
{
	struct entry *entry = topic->feed->entry;

	if (!topic->is_complete)
		cw_event("feed", "taken_from_peer", "topic=%s from=%lu", topic->name,
			 (unsigned long)topic_next_offset(topic));
	topic->is_complete = 1;
	if (topic->phase == PHASE_NEWEST) {
		stop_asking(topic);
		topic_ask_in(topic, CW_READERS_DISCOVERY_MS);
	}
	topic->phase = PHASE_FOLLOW;
	*topic->after = '\0';
	if (entry_knows_enough(entry))
		relay_open_waiting(entry);
}

void topic_start_over(struct topic *topic)
{
	topic->phase = PHASE_NEWEST;
	*topic->after = '\0';
	ask(topic);
}

void topic_open(struct feed *feed, struct topic *topic, enum cw_up_topic which, const char *name)
{
	topic->feed = feed;
	topic->topic = which;
	topic->name = name;
	topic->body = g_string_sized_new(1024);
	topic->read_ms = -1;
	uv_timer_init(&feed->entry->loop, &topic->timer);
	topic->timer.data = topic;
}

void topic_close(struct topic *topic)
{
	if (topic->exchange)
		cw_exchange_cancel(topic->exchange);
	g_string_free(topic->body, TRUE);
	uv_close((uv_handle_t *)&topic->timer, NULL);
}

static void ask(struct topic *topic)
{
	struct feed *feed = topic->feed;
	const char *store = feed->entry->settings.store;
	GString *bytes = g_string_sized_new(256);
	struct cw_exchange_request request = {
		.address = store,
		.bytes = bytes,
		.reuse_idle_ms = KEPT_MS,
		.connect_ms = FEED_CONNECT_MS,
		.silence_ms = FEED_CALL_MS,
	};

	topic->asked_ms = entry_now_ms(feed->entry);
	if (topic->phase == PHASE_NEWEST) {
		if (!*topic->after)
			begin_collection(topic);
		cw_up_format_log_newest(topic->topic, topic->after, store, bytes);
	} else {
		int64_t wait_ms = poll_wait_ms(topic);

		cw_up_format_log_read(topic->topic, topic_next_offset(topic), wait_ms, store,
				      bytes);
		request.silence_ms += wait_ms;
	}
	topic->read_from = topic->from;
	if (topic->topic == CW_UP_TOPIC_SERVERS)
		cw_follow_begin_read(&feed->list);
	g_string_truncate(topic->body, 0);
	topic->status = 0;
	cw_count("store_calls", "", 1);
	topic->exchange = cw_client_send(feed->client, &request, &exchange_ops, topic);
}

static void begin_collection(struct topic *topic)
{
	topic->sweep_ms = topic->asked_ms;
	if (topic->topic == CW_UP_TOPIC_OPERATOR)
		cw_drains_begin_scan(cw_pool_drains(cw_gate_pool(topic->feed->entry->gate)));
}

void topic_ask_in(struct topic *topic, int64_t wait_ms)
{
	uv_timer_start(&topic->timer, on_timer, (uint64_t)MAX(wait_ms, 0), 0);
}

uint64_t topic_next_offset(const struct topic *topic)
{
	return topic->topic == CW_UP_TOPIC_SERVERS ? topic->feed->list.from : topic->from;
}

/*
 * The first instances by rank ask often; the others hear from them that there is something new.
 * They are the same for every topic: when they are cut off, the list grows old and shows it for
 * all. An instance that has just started knows too few others to know its rank.
 */
int topic_is_reader(const struct topic *topic)
{
	return is_settled(topic->feed) && cw_readers_is_reader(rank_of(topic));
}

static int is_settled(const struct feed *feed)
{
	int64_t now_ms = entry_now_ms(feed->entry);

	return now_ms - feed->started_ms >= CW_READERS_DISCOVERY_MS &&
	       peers_are_known(feed->entry->peers, now_ms);
}

static size_t rank_of(const struct topic *topic)
{
	const struct entry *entry = topic->feed->entry;

	return peers_rank(entry->peers, PEERS_READERS_KEY, entry_now_ms(entry));
}

/*
 * After a failure the next call answers at once, so that it shows whether the store is back. The
 * readers' waits differ: both ended in the very moment at which a record came, both missed it, and
 * it was known 3 s later.
 */
static int64_t poll_wait_ms(const struct topic *topic)
{
	if (topic->is_down || topic->is_doubted)
		return 0;
	if (topic->topic == CW_UP_TOPIC_SERVERS)
		return topic_is_reader(topic) ? SERVERS_WAIT_MS : 0;
	if (!topic_is_reader(topic))
		return 0;
	if (topic->topic == CW_UP_TOPIC_QUARANTINE)
		return HELD_WAIT_MS;
	return POLL_WAIT_MS - (int64_t)rank_of(topic) * POLL_STAGGER_MS;
}

static void on_timer(uv_timer_t *timer)
{
	struct topic *topic = timer->data;
	struct feed *feed = topic->feed;

	if (topic->phase == PHASE_NEWEST && topic->topic != CW_UP_TOPIC_QUARANTINE)
		ask_newest(topic);
	else if (topic_is_reader(topic))
		ask(topic);
	else if (topic->topic == CW_UP_TOPIC_SERVERS && is_settled(feed) &&
		 cw_follow_is_reader(&feed->list, rank_of(topic), entry_now_ms(feed->entry)))
		ask(topic);
	else
		topic_ask_in(topic, STALE_CHECK_MS);
}

/* The seeds, and by rank those that read for all, or step in for them. */
static int is_awaited(const struct topic *topic)
{
	const struct feed *feed = topic->feed;

	return feed->is_seed || (is_settled(feed) && rank_of(topic) < CW_READERS_STANDBY);
}

static void ask_newest(struct topic *topic)
{
	struct feed *feed = topic->feed;
	struct cw_readers_view view = {
		.is_awaited = is_awaited(topic),
		.is_peer_sending = share_is_coming(feed->share, topic),
		.is_jitter_done = topic->is_jitter_done,
		.knows_peers = peers_known(feed->entry->peers) > 0,
		.running_ms = entry_now_ms(feed->entry) - feed->started_ms,
	};

	switch (cw_readers_next_step(&view)) {
	case CW_READERS_READ:
		ask(topic);
		break;
	case CW_READERS_AWAIT_PEER:
		topic_ask_in(topic, STALE_CHECK_MS);
		break;
	case CW_READERS_WAIT_JITTER:
		rest(topic);
		break;
	}
}

static void rest(struct topic *topic)
{
	uint64_t random;

	topic->is_jitter_done = 1;
	cw_random_bytes(&random, sizeof(random));
	topic_ask_in(topic, cw_readers_jitter_ms(random));
}

static void on_head(void *context, const struct cw_message *answer)
{
	struct topic *topic = context;

	topic->status = answer->status;
}

static void on_data(void *context, const char *data, size_t size)
{
	struct topic *topic = context;

	g_string_append_len(topic->body, data, (gssize)size);
}

static void on_end(void *context)
{
	struct topic *topic = context;
	struct cw_up_page page;
	struct cw_error error = {0};
	enum cw_status status;

	topic->exchange = NULL;
	status = read_answer(topic, &page, &error);
	if (status == CW_OK) {
		restored(topic);
		topic->read_ms = entry_now_ms(topic->feed->entry);
		if (topic->phase == PHASE_NEWEST)
			take_newest(topic, &page);
		else
			take_followed(topic, &page);
	} else if (status == CW_EXPIRED) {
		cw_event("feed", "expired", "topic=%s from=%lu first=%lu", topic->name,
			 (unsigned long)topic_next_offset(topic), (unsigned long)page.first);
		start_over(topic);
	} else {
		failed(topic, error.message);
	}
	cw_up_page_clear(&page);
}

/*
 * Load pattern: the store drops its history, and of a thousand instances hundreds had stepped in
 * for the readers. Each collected the whole list, and kept the readers from it. Those that others
 * wait for collect it at once; the rest get it from them, or read it after a drawn wait.
 */
static void start_over(struct topic *topic)
{
	if (topic->topic != CW_UP_TOPIC_SERVERS && topic->topic != CW_UP_TOPIC_OPERATOR) {
		topic_start_over(topic);
		return;
	}
	topic->is_jitter_done = 0;
	topic->phase = PHASE_NEWEST;
	*topic->after = '\0';
	ask_newest(topic);
}

static enum cw_status read_answer(struct topic *topic, struct cw_up_page *page,
				  struct cw_error *error)
{
	uint64_t read_from = topic->topic == CW_UP_TOPIC_SERVERS ? topic->feed->list.read_from
								 : topic->read_from;

	if (topic->phase == PHASE_NEWEST)
		return cw_up_parse_log_newest(topic->topic, topic->status, topic->body, page,
					      error);
	return cw_up_parse_log_read(topic->topic, topic->status, topic->body, read_from, page,
				    error);
}

static void on_failed(void *context, enum cw_flow_failure failure)
{
	struct topic *topic = context;

	topic->exchange = NULL;
	failed(topic, cw_flow_failure_name(failure));
}

/* Pages are no snapshot: what changed meanwhile is read again from the first page's end. */
static void take_newest(struct topic *topic, struct cw_up_page *page)
{
	for (size_t i = 0; i < page->count; i++) {
		note_unreadable(topic, &page->log_record[i]);
		news_take(topic, &page->log_record[i]);
	}
	if (!*topic->after)
		topic->from = page->end;
	if (page->has_more) {
		read_on(topic, page->after);
		return;
	}
	collected(topic);
}

/* A long list comes from those that read it first; the others read it only when nobody does. */
static void read_on(struct topic *topic, const char *after)
{
	int is_first_page = !*topic->after;

	g_strlcpy(topic->after, after, sizeof(topic->after));
	if (is_first_page && !is_awaited(topic) && peers_known(topic->feed->entry->peers) > 0)
		rest(topic);
	else
		ask(topic);
}

static void take_followed(struct topic *topic, struct cw_up_page *page)
{
	for (size_t i = 0; i < page->count; i++)
		if (topic->topic == CW_UP_TOPIC_SERVERS ||
		    page->log_record[i].offset >= topic->from)
			take_record(topic, &page->log_record[i]);
	if (topic->topic != CW_UP_TOPIC_SERVERS) {
		topic->from = MAX(topic->from, page->end);
		topic_ask_in(topic, topic_is_reader(topic) ? 0 : STALE_CHECK_MS);
		return;
	}
	cw_follow_end_read(&topic->feed->list, topic->read_ms);
	/* A list that is new is the others' sign that somebody reads the configuration too. */
	if (!topic_is_reader(topic))
		ask_now(&topic->feed->operator);
	topic_ask_in(topic, topic_is_reader(topic)
				    ? topic->asked_ms + SERVERS_GAP_MS - topic->read_ms
				    : STALE_CHECK_MS);
}

static void take_record(struct topic *topic, struct cw_up_record *log_record)
{
	struct cw_change change = {.offset = log_record->offset,
				   .is_removed = log_record->kind == CW_UP_RECORD_SERVER_REMOVED,
				   .entry = log_record->server};

	note_unreadable(topic, log_record);
	if (topic->topic != CW_UP_TOPIC_SERVERS)
		news_take(topic, log_record);
	else if (log_record->kind == CW_UP_RECORD_OTHER)
		cw_follow_skip(&topic->feed->list, log_record->offset);
	else if (cw_follow_apply_record(&topic->feed->list, &change, topic->read_ms))
		news_take_followed(topic->feed, &change);
}

/* Anyone may write what can't be read, and as much as they like: the log isn't theirs to fill. */
static void note_unreadable(struct topic *topic, const struct cw_up_record *log_record)
{
	int64_t now_ms = entry_now_ms(topic->feed->entry);

	if (log_record->error.status == CW_OK)
		return;
	cw_count("store_records_unreadable", "", 1);
	topic->unreadable++;
	if (topic->warned_ms && now_ms - topic->warned_ms < UNREADABLE_MS)
		return;
	cw_warn("feed", "not_understood", "topic=%s offset=%lu key=%s records=%u message=\"%s\"",
		topic->name, (unsigned long)log_record->offset,
		*log_record->server.name ? log_record->server.name : "-", topic->unreadable,
		log_record->error.message);
	topic->warned_ms = now_ms;
	topic->unreadable = 0;
}

static void collected(struct topic *topic)
{
	struct feed *feed = topic->feed;
	struct entry *entry = feed->entry;

	topic->is_complete = 1;
	topic->phase = PHASE_FOLLOW;
	*topic->after = '\0';
	cw_event("feed", "collected", "topic=%s end=%lu", topic->name, (unsigned long)topic->from);
	if (topic->topic == CW_UP_TOPIC_SERVERS) {
		cw_pool_delist_unlisted(cw_gate_pool(entry->gate), topic->sweep_ms,
					feed_lapse_until_ms(feed), topic->read_ms);
		cw_follow_reset(&feed->list, topic->from);
		cw_follow_end_read(&feed->list, topic->sweep_ms);
		topic_ask_in(topic, CW_READERS_DISCOVERY_MS);
	} else if (topic->topic == CW_UP_TOPIC_OPERATOR) {
		restore_unseen(topic);
		topic_ask_in(topic, CW_READERS_DISCOVERY_MS);
		/* What became of an order is written down; without one there is nothing to read. */
		if (cw_rollouts_has_any(cw_gate_rollouts(entry->gate)) && !feed->status.is_complete)
			ask(&feed->status);
	} else if (topic->topic == CW_UP_TOPIC_STATUS) {
		feed->verdict.is_status_fresh = 1;
	} else {
		topic_ask_in(topic, 0);
	}
	if (entry_knows_enough(entry))
		relay_open_waiting(entry);
}

/* A drain without a record was taken back, by one that is dropped from the history. */
static void restore_unseen(struct topic *topic)
{
	struct cw_drains *drains = cw_pool_drains(cw_gate_pool(topic->feed->entry->gate));
	struct cw_drain_order restored;

	while (cw_drains_next_unseen(drains, topic->from, &restored))
		feed_drain(topic->feed, &restored, "store");
}

static void failed(struct topic *topic, const char *why)
{
	int64_t now_ms = entry_now_ms(topic->feed->entry);
	uint64_t random;
	size_t rank;

	if (!topic->is_down)
		cw_warn("feed", "store_lost", "topic=%s why=\"%s\" age_ms=%ld", topic->name, why,
			topic->read_ms < 0 ? -1L : (long)(now_ms - topic->read_ms));
	topic->is_down = 1;
	topic->failures++;
	cw_count("store_failures", "", 1);
	cw_random_bytes(&random, sizeof(random));
	/* Who writes a roll-out's end reads its topic alone, whatever its rank as a reader. */
	rank = topic->topic == CW_UP_TOPIC_STATUS ? 0 : rank_of(topic);
	topic_ask_in(topic, cw_readers_retry_ms(rank, topic->failures, random));
	if (topic->topic != CW_UP_TOPIC_QUARANTINE)
		doubt_others(topic);
}

static void restored(struct topic *topic)
{
	topic->failures = 0;
	topic->is_doubted = 0;
	if (!topic->is_down)
		return;
	topic->is_down = 0;
	topic->restored_ms = entry_now_ms(topic->feed->entry);
	cw_event("feed", "store_regained", "topic=%s from=%lu", topic->name,
		 (unsigned long)topic_next_offset(topic));
	if (topic->topic != CW_UP_TOPIC_QUARANTINE)
		doubt_others(topic);
}

/*
 * A long poll that the store lost while it was away is never answered, and what changed meanwhile
 * would be learned only when its wait has passed. A failure or a return that one topic notices
 * makes the others ask anew, without waiting.
 */
static void doubt_others(struct topic *topic)
{
	struct feed *feed = topic->feed;
	struct topic *topics[] = {&feed->operator, & feed->servers };

	for (size_t i = 0; i < G_N_ELEMENTS(topics); i++)
		if (topics[i] != topic && topics[i]->exchange)
			doubt(topics[i]);
}

/*
 * Only a reader tries again by itself after a failure. For the others a lost store stayed lost: a
 * peer's configuration that could not be fetched, as the peer was cut off, was not asked for at the
 * store either, and came 2 s late.
 */
static void doubt(struct topic *topic)
{
	int64_t since_ms = entry_now_ms(topic->feed->entry) - topic->asked_ms;
	int is_asked = topic->is_doubted && topic->exchange;
	int is_retried = topic->is_down && topic_is_reader(topic);

	if (topic->phase == PHASE_NEWEST || is_asked || is_retried ||
	    (topic->is_down && since_ms < DOUBT_GAP_MS))
		return;
	ask_now(topic);
}

static void ask_now(struct topic *topic)
{
	if (topic->phase == PHASE_NEWEST && topic->exchange)
		return;
	stop_asking(topic);
	topic->is_doubted = 1;
	ask(topic);
}

static void stop_asking(struct topic *topic)
{
	if (topic->exchange)
		cw_exchange_cancel(topic->exchange);
	topic->exchange = NULL;
	uv_timer_stop(&topic->timer);
}
