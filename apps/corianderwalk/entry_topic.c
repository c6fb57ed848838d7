/*
 * Reads one topic of the shared store: the newest record of each key first, then the records that
 * are appended. The instance's rank decides when it reads; failures and recoveries of the store
 * change the schedule.
 */
#include "cw_counters.h"
#include "cw_hash.h"
#include "cw_readers.h"
#include "cw_timeline.h"
#include "entry_feed.h"

#include <string.h>

#define POLL_WAIT_MS		 1200 /* long poll; if it misses a record, all know the record 0.5 s later */
#define POLL_STAGGER_MS		 300   /* by which the second reader's long poll is shorter */
#define QUARANTINE_WAIT_MS	 20000 /* a reader's long poll; peers announce the records too */
#define SERVERS_WAIT_MS		 700 /* a reader's long poll; its end proves that nothing is newer */
#define SERVERS_READ_INTERVAL_MS 100   /* between reads: changes close together are one read */
#define STALE_CHECK_MS		 100   /* within which a stale state is noticed */
#define REUSE_IDLE_MS		 20000 /* longest idle time of a connection that is reused */
#define RECHECK_INTERVAL_MS	 300 /* between calls while the store fails: few, but soon enough */
#define WARNING_INTERVAL_MS	 1000 /* between two log lines on unreadable records */

static void send_call(struct topic *topic);
static void begin_snapshot(struct topic *topic);
static size_t reader_rank(const struct topic *topic);
static int64_t poll_wait_ms(const struct topic *topic);
static void on_timer(uv_timer_t *timer);
static int is_awaited_reader(const struct topic *topic);
static void read_snapshot(struct topic *topic);
static void wait_jitter(struct topic *topic);
static void on_head(void *context, const struct cw_message *answer);
static void on_data(void *context, const char *data, size_t size);
static void on_end(void *context);
static void on_failed(void *context, enum cw_flow_failure failure);
static int is_of_current_era(struct topic *topic);
static int is_past_end(const struct topic *topic, const struct cw_up_page *page);
static void reload_expired(struct topic *topic);
static uint64_t call_offset(const struct topic *topic);
static enum cw_status read_answer(struct topic *topic, struct cw_up_page *page,
				  struct cw_error *error);
static void apply_snapshot_page(struct topic *topic, struct cw_up_page *page);
static void read_next_page(struct topic *topic, const char *after);
static void apply_followed_page(struct topic *topic, struct cw_up_page *page);
static void apply_record(struct topic *topic, struct cw_up_record *record);
static void report_unreadable(struct topic *topic, const struct cw_up_record *record);
static void finish_snapshot(struct topic *topic);
static void schedule_follow(struct topic *topic);
static void restore_unseen_drains(struct topic *topic);
static void handle_failure(struct topic *topic, const char *why);
static void handle_success(struct topic *topic);
static void recheck_others(struct topic *topic);
static void recheck(struct topic *topic);
static void call_now(struct topic *topic);
static void cancel_call(struct topic *topic);

static const struct cw_exchange_ops exchange_ops = {on_head, on_data, on_end, on_failed, NULL};

void topic_recheck(struct topic *topic)
{
	recheck(topic);
}

/* State from a peer counts as if the store had sent it: only later records are read. */
void topic_mark_synced(struct topic *topic)
{
	struct entry *entry = topic->feed->entry;

	if (!topic->is_complete)
		cw_event("feed", "taken_from_peer", "topic=%s from=%lu", topic->name,
			 (unsigned long)topic_next(topic).offset);
	topic->is_complete = 1;
	if (topic->phase == PHASE_SNAPSHOT) {
		cancel_call(topic);
		schedule_follow(topic);
	}
	topic->phase = PHASE_FOLLOW;
	*topic->after_key = '\0';
	if (entry_is_synced(entry))
		relay_open_pending(entry);
}

void topic_reload(struct topic *topic)
{
	topic->phase = PHASE_SNAPSHOT;
	*topic->after_key = '\0';
	send_call(topic);
}

void topic_restart(struct topic *topic, int64_t wait_ms)
{
	cancel_call(topic);
	topic->phase = PHASE_SNAPSHOT;
	topic->is_jitter_done = 0;
	*topic->after_key = '\0';
	topic_schedule(topic, wait_ms);
}

void topic_forget(struct topic *topic)
{
	cancel_call(topic);
	topic->phase = PHASE_SNAPSHOT;
	topic->is_complete = 0;
	*topic->after_key = '\0';
}

void topic_open(struct feed *feed, struct topic *topic, enum cw_up_topic which, const char *name)
{
	topic->feed = feed;
	topic->topic = which;
	topic->name = name;
	topic->body = g_string_sized_new(1024);
	topic->last_answer_ms = -1;
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

static void send_call(struct topic *topic)
{
	struct feed *feed = topic->feed;
	const char *store = feed->entry->settings.store;
	GString *bytes = g_string_sized_new(256);
	struct cw_exchange_request request = {
		.address = store,
		.bytes = bytes,
		.reuse_idle_ms = REUSE_IDLE_MS,
		.connect_ms = FEED_CONNECT_MS,
		.read_timeout_ms = FEED_CALL_MS,
	};

	topic->call_began_ms = entry_now_ms(feed->entry);
	if (topic->phase == PHASE_SNAPSHOT) {
		if (!*topic->after_key)
			begin_snapshot(topic);
		cw_up_format_log_newest(topic->topic, topic->after_key, store, bytes);
	} else {
		int64_t wait_ms = poll_wait_ms(topic);

		cw_up_format_log_read(topic->topic, topic_next(topic).offset, wait_ms, store,
				      bytes);
		request.read_timeout_ms += wait_ms;
	}
	topic->read_from = topic->next;
	if (topic->topic == CW_UP_TOPIC_SERVERS)
		cw_follow_begin_read(&feed->server_list);
	g_string_truncate(topic->body, 0);
	topic->http_status = 0;
	topic->answer_era = CW_ERA_UNKNOWN;
	cw_counter_add("store_calls", "", 1);
	topic->exchange = cw_client_send(feed->client, &request, &exchange_ops, topic);
}

static void begin_snapshot(struct topic *topic)
{
	topic->snapshot_began_ms = topic->call_began_ms;
	if (topic->topic == CW_UP_TOPIC_OPERATOR)
		cw_drains_begin_scan(cw_pool_drains(cw_gate_pool(topic->feed->entry->gate)));
}

void topic_schedule(struct topic *topic, int64_t wait_ms)
{
	uv_timer_start(&topic->timer, on_timer, (uint64_t)MAX(wait_ms, 0), 0);
}

struct cw_position topic_next(const struct topic *topic)
{
	return topic->topic == CW_UP_TOPIC_SERVERS ? topic->feed->server_list.next : topic->next;
}

/*
 * The instances of the first ranks poll the store often; the others learn of new records from the
 * announcements of these. The readers are the same for every topic: when they can't reach the
 * store, the server list becomes stale, and that shows the fault for all topics. An instance that
 * has just started knows too few others to know its rank.
 */
int topic_is_reader(const struct topic *topic)
{
	return feed_is_rank_known(topic->feed) && cw_readers_is_reader(reader_rank(topic));
}

int feed_is_rank_known(const struct feed *feed)
{
	int64_t now_ms = entry_now_ms(feed->entry);

	return now_ms - feed->started_ms >= CW_READERS_DISCOVERY_MS &&
	       peers_is_stable(feed->entry->peers, now_ms);
}

static size_t reader_rank(const struct topic *topic)
{
	const struct entry *entry = topic->feed->entry;

	return peers_rank(entry->peers, PEERS_READERS_KEY, entry_now_ms(entry));
}

/*
 * After a failure the next call returns at once, to show whether the store has recovered. The waits
 * of the two readers differ: with equal waits, both polls ended just when a record was written,
 * both missed the record, and the instances learned of the record 3 s later.
 */
static int64_t poll_wait_ms(const struct topic *topic)
{
	if (topic->is_down || topic->is_rechecking)
		return 0;
	if (topic->topic == CW_UP_TOPIC_SERVERS)
		return topic_is_reader(topic) ? SERVERS_WAIT_MS : 0;
	if (!topic_is_reader(topic))
		return 0;
	if (topic->topic == CW_UP_TOPIC_QUARANTINE)
		return QUARANTINE_WAIT_MS;
	return POLL_WAIT_MS - (int64_t)reader_rank(topic) * POLL_STAGGER_MS;
}

static void on_timer(uv_timer_t *timer)
{
	struct topic *topic = timer->data;
	struct feed *feed = topic->feed;

	if (topic->phase == PHASE_SNAPSHOT && topic->topic != CW_UP_TOPIC_QUARANTINE)
		read_snapshot(topic);
	else if (topic_is_reader(topic))
		send_call(topic);
	else if (topic->topic == CW_UP_TOPIC_SERVERS && feed_is_rank_known(feed) &&
		 cw_follow_is_reader(&feed->server_list, reader_rank(topic),
				     entry_now_ms(feed->entry)))
		send_call(topic);
	else
		topic_schedule(topic, STALE_CHECK_MS);
}

/*
 * Whether other instances wait for this one's read of the snapshot: they wait for the seeds, and by
 * rank for the readers and the instances that take over from the readers.
 */
static int is_awaited_reader(const struct topic *topic)
{
	const struct feed *feed = topic->feed;

	return feed->is_seed ||
	       (feed_is_rank_known(feed) && reader_rank(topic) < CW_READERS_STANDBY);
}

static void read_snapshot(struct topic *topic)
{
	struct feed *feed = topic->feed;
	struct cw_readers_view view = {
		.is_awaited = is_awaited_reader(topic),
		.is_peer_sending = share_is_expecting(feed->share, topic),
		.is_jitter_done = topic->is_jitter_done,
		.knows_peers = peers_count(feed->entry->peers) > 0,
		.running_ms = entry_now_ms(feed->entry) - feed->started_ms,
	};

	switch (cw_readers_next_step(&view)) {
	case CW_READERS_READ:
		send_call(topic);
		break;
	case CW_READERS_AWAIT_PEER:
		topic_schedule(topic, STALE_CHECK_MS);
		break;
	case CW_READERS_WAIT_JITTER:
		wait_jitter(topic);
		break;
	}
}

static void wait_jitter(struct topic *topic)
{
	uint64_t random;

	topic->is_jitter_done = 1;
	cw_random_bytes(&random, sizeof(random));
	topic_schedule(topic, cw_readers_jitter_ms(random));
}

static void on_head(void *context, const struct cw_message *answer)
{
	struct topic *topic = context;

	topic->http_status = answer->status;
	topic->answer_era = cw_up_parse_store_era(answer);
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
	if (!is_of_current_era(topic))
		return;
	status = read_answer(topic, &page, &error);
	if (status == CW_OK) {
		handle_success(topic);
		topic->last_answer_ms = entry_now_ms(topic->feed->entry);
		if (topic->phase == PHASE_SNAPSHOT)
			apply_snapshot_page(topic, &page);
		else
			apply_followed_page(topic, &page);
	} else if (status == CW_EXPIRED) {
		cw_event("feed", "expired", "topic=%s from=%lu first=%lu", topic->name,
			 (unsigned long)topic_next(topic).offset, (unsigned long)page.first_offset);
		if (is_past_end(topic, &page))
			feed_note_era(topic->feed, topic->feed->era + 1, topic->name, 1);
		else
			reload_expired(topic);
	} else {
		handle_failure(topic, error.message);
	}
	cw_up_page_clear(&page);
}

/*
 * A page of another era continues nothing that was read before, and its offsets mean other records
 * than the call asked for.
 */
static int is_of_current_era(struct topic *topic)
{
	enum era_relation relation = feed_note_era(topic->feed, topic->answer_era, topic->name, 1);

	if (relation == ERA_EARLIER)
		handle_failure(topic, "answer of an earlier era");
	else if (relation == ERA_BEGUN)
		handle_success(topic);
	return relation == ERA_CURRENT;
}

/*
 * The log holds older records but not the one that the call asked for, so it is shorter than it
 * was. A store that names no eras shows a restoration only by this.
 */
static int is_past_end(const struct topic *topic, const struct cw_up_page *page)
{
	return topic->answer_era == CW_ERA_UNKNOWN && page->first_offset <= call_offset(topic);
}

/*
 * Load pattern: the store drops its history, and of a thousand instances hundreds had taken over
 * from the readers. Each read the whole list, which kept the readers from reading it. So only the
 * instances that others wait for read it at once; the others get it from them, or read it after a
 * random wait.
 */
static void reload_expired(struct topic *topic)
{
	if (topic->topic == CW_UP_TOPIC_SERVERS || topic->topic == CW_UP_TOPIC_OPERATOR)
		topic_restart(topic, 0);
	else
		topic_reload(topic);
}

/* Where the answered read began. */
static uint64_t call_offset(const struct topic *topic)
{
	return topic->topic == CW_UP_TOPIC_SERVERS ? topic->feed->server_list.read_from.offset
						   : topic->read_from.offset;
}

static enum cw_status read_answer(struct topic *topic, struct cw_up_page *page,
				  struct cw_error *error)
{
	if (topic->phase == PHASE_SNAPSHOT)
		return cw_up_parse_log_newest(topic->topic, topic->http_status, topic->body, page,
					      error);
	return cw_up_parse_log_read(topic->topic, topic->http_status, topic->body,
				    call_offset(topic), page, error);
}

static void on_failed(void *context, enum cw_flow_failure failure)
{
	struct topic *topic = context;

	topic->exchange = NULL;
	if (feed_note_era(topic->feed, topic->answer_era, topic->name, 1) != ERA_BEGUN)
		handle_failure(topic, cw_flow_failure_name(failure));
}

/* Pages read one after another are no consistent snapshot: records that are appended meanwhile are
 * read again, from the offset at which the first page was read. */
static void apply_snapshot_page(struct topic *topic, struct cw_up_page *page)
{
	for (size_t i = 0; i < page->count; i++) {
		report_unreadable(topic, &page->log_record[i]);
		record_apply(topic, &page->log_record[i]);
	}
	if (!*topic->after_key)
		topic->next = (struct cw_position){topic->feed->era, page->end_offset};
	if (page->has_more) {
		read_next_page(topic, page->after);
		return;
	}
	finish_snapshot(topic);
}

/* The instances that read first send a long list to the others. An instance that no other waits for
 * reads the second page only if no peer sends the list during the startup jitter. */
static void read_next_page(struct topic *topic, const char *after)
{
	int is_first_page = !*topic->after_key;

	g_strlcpy(topic->after_key, after, sizeof(topic->after_key));
	if (is_first_page && !is_awaited_reader(topic) &&
	    peers_count(topic->feed->entry->peers) > 0)
		wait_jitter(topic);
	else
		send_call(topic);
}

static void apply_followed_page(struct topic *topic, struct cw_up_page *page)
{
	struct cw_position end = {topic->feed->era, page->end_offset};

	for (size_t i = 0; i < page->count; i++)
		if (topic->topic == CW_UP_TOPIC_SERVERS ||
		    page->log_record[i].offset >= topic->next.offset)
			apply_record(topic, &page->log_record[i]);
	if (topic->topic != CW_UP_TOPIC_SERVERS) {
		topic->next = cw_position_max(topic->next, end);
		topic_schedule(topic, topic_is_reader(topic) ? 0 : STALE_CHECK_MS);
		return;
	}
	cw_follow_end_read(&topic->feed->server_list, topic->last_answer_ms);
	/*
	 * Peers take a fresh server list as a sign that the operator's topic is read too, so an
	 * instance that takes over from the readers reads both.
	 */
	if (!topic_is_reader(topic))
		call_now(&topic->feed->operator);
	topic_schedule(topic, topic_is_reader(topic)
				      ? topic->call_began_ms + SERVERS_READ_INTERVAL_MS -
						topic->last_answer_ms
				      : STALE_CHECK_MS);
}

static void apply_record(struct topic *topic, struct cw_up_record *record)
{
	struct cw_change change = {.offset = record->offset,
				   .is_removed = record->kind == CW_UP_RECORD_SERVER_REMOVED,
				   .entry = record->server};

	report_unreadable(topic, record);
	if (topic->topic != CW_UP_TOPIC_SERVERS)
		record_apply(topic, record);
	else if (record->kind == CW_UP_RECORD_OTHER)
		cw_follow_skip(&topic->feed->server_list, record->offset);
	else if (cw_follow_apply_record(&topic->feed->server_list, &change, topic->last_answer_ms))
		record_apply_next(topic->feed, &change);
}

/* Any client may write unreadable records, in any number: they must not fill the log. */
static void report_unreadable(struct topic *topic, const struct cw_up_record *record)
{
	int64_t now_ms = entry_now_ms(topic->feed->entry);

	if (record->error.status == CW_OK)
		return;
	cw_counter_add("store_records_unreadable", "", 1);
	topic->unreadable_count++;
	if (topic->last_warning_ms && now_ms - topic->last_warning_ms < WARNING_INTERVAL_MS)
		return;
	cw_warn("feed", "not_understood", "topic=%s offset=%lu key=%s records=%u message=\"%s\"",
		topic->name, (unsigned long)record->offset,
		*record->server.name ? record->server.name : "-", topic->unreadable_count,
		record->error.message);
	topic->last_warning_ms = now_ms;
	topic->unreadable_count = 0;
}

static void finish_snapshot(struct topic *topic)
{
	struct feed *feed = topic->feed;
	struct entry *entry = feed->entry;

	topic->is_complete = 1;
	topic->phase = PHASE_FOLLOW;
	*topic->after_key = '\0';
	cw_event("feed", "collected", "topic=%s end=%lu era=%ld", topic->name,
		 (unsigned long)topic->next.offset, (long)cw_era_number(topic->next.era));
	if (topic->topic == CW_UP_TOPIC_SERVERS) {
		cw_pool_delist_unlisted(cw_gate_pool(entry->gate), topic->snapshot_began_ms,
					feed_expiry_grace_until_ms(feed), topic->last_answer_ms);
		cw_follow_reset(&feed->server_list, topic->next);
		cw_follow_end_read(&feed->server_list, topic->snapshot_began_ms);
		schedule_follow(topic);
	} else if (topic->topic == CW_UP_TOPIC_OPERATOR) {
		if (!feed_is_settling(feed))
			restore_unseen_drains(topic);
		schedule_follow(topic);
		/* The status topic holds the outcomes of roll-outs: without a roll-out it is not
		 * read. */
		if (cw_rollouts_has_any(cw_gate_rollouts(entry->gate)) && !feed->status.is_complete)
			send_call(&feed->status);
	} else if (topic->topic == CW_UP_TOPIC_STATUS) {
		feed->verdict.is_status_fresh = 1;
	} else {
		topic_schedule(topic, 0);
	}
	/* Peers await the state of a new era. */
	if (feed_is_settling(feed))
		peers_announce(entry->peers);
	if (entry_is_synced(entry))
		relay_open_pending(entry);
}

/* An instance that has just started does not know yet whether it is to read the store. */
static void schedule_follow(struct topic *topic)
{
	topic_schedule(topic, feed_is_rank_known(topic->feed) ? 0 : CW_READERS_DISCOVERY_MS);
}

/* A drain that the snapshot does not contain was withdrawn, by a record that is no longer in the
 * store's history: new requests are sent to the failure domain again. */
static void restore_unseen_drains(struct topic *topic)
{
	struct cw_drains *drains = cw_pool_drains(cw_gate_pool(topic->feed->entry->gate));
	struct cw_drain_order drain;

	while (cw_drains_next_unseen(drains, topic->next, &drain))
		feed_apply_drain(topic->feed, &drain, "store");
}

static void handle_failure(struct topic *topic, const char *why)
{
	int64_t now_ms = entry_now_ms(topic->feed->entry);
	uint64_t random;
	size_t rank;

	if (!topic->is_down)
		cw_warn("feed", "store_lost", "topic=%s why=\"%s\" age_ms=%ld", topic->name, why,
			topic->last_answer_ms < 0 ? -1L : (long)(now_ms - topic->last_answer_ms));
	topic->is_down = 1;
	topic->failures++;
	cw_counter_add("store_failures", "", 1);
	cw_random_bytes(&random, sizeof(random));
	/* The writer of a roll-out's outcome reads the status alone, whatever its rank. */
	rank = topic->topic == CW_UP_TOPIC_STATUS ? 0 : reader_rank(topic);
	topic_schedule(topic, cw_readers_retry_ms(rank, topic->failures, random));
	if (topic->topic != CW_UP_TOPIC_QUARANTINE)
		recheck_others(topic);
}

static void handle_success(struct topic *topic)
{
	topic->failures = 0;
	topic->is_rechecking = 0;
	if (!topic->is_down)
		return;
	topic->is_down = 0;
	topic->recovered_ms = entry_now_ms(topic->feed->entry);
	cw_event("feed", "store_regained", "topic=%s from=%lu", topic->name,
		 (unsigned long)topic_next(topic).offset);
	if (topic->topic != CW_UP_TOPIC_QUARANTINE)
		recheck_others(topic);
}

/*
 * A long poll that was pending when the store became unreachable is never answered, and changes
 * made meanwhile would be learned only at the end of its wait. So a failure or recovery that one
 * topic notices makes the others repeat their calls, without waiting.
 */
static void recheck_others(struct topic *topic)
{
	struct feed *feed = topic->feed;
	struct topic *topics[] = {&feed->operator, & feed->servers };

	for (size_t i = 0; i < G_N_ELEMENTS(topics); i++)
		if (topics[i] != topic && topics[i]->exchange)
			recheck(topics[i]);
}

/*
 * Repeats the topic's call at once, unless such a call is pending, was just made, or follows
 * anyway: only a reader retries by itself after a failure. Symptom this prevents: the other
 * instances never called a store again that had failed. A configuration that could not be fetched
 * from a peer, because the peer was unreachable, was not requested from the store either, and came
 * 2 s late.
 */
static void recheck(struct topic *topic)
{
	int64_t since_ms = entry_now_ms(topic->feed->entry) - topic->call_began_ms;
	int is_pending = topic->is_rechecking && topic->exchange;
	int retries_itself = topic->is_down && topic_is_reader(topic);

	if (topic->phase == PHASE_SNAPSHOT || is_pending || retries_itself ||
	    (topic->is_down && since_ms < RECHECK_INTERVAL_MS))
		return;
	call_now(topic);
}

static void call_now(struct topic *topic)
{
	if (topic->phase == PHASE_SNAPSHOT && topic->exchange)
		return;
	cancel_call(topic);
	topic->is_rechecking = 1;
	send_call(topic);
}

static void cancel_call(struct topic *topic)
{
	if (topic->exchange)
		cw_exchange_cancel(topic->exchange);
	topic->exchange = NULL;
	uv_timer_stop(&topic->timer);
}
