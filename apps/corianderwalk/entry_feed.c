/* The topics of the shared store that an instance reads, and when the first reads begin. */
#include "entry_feed.h"
#include "cw_hash.h"
#include "cw_readers.h"

#include <string.h>

#define EXPIRY_GRACE_MS 2000 /* after a store outage, in which servers renew their entries */

static void schedule_first_reads(struct feed *feed);

struct feed *feed_create(struct entry *entry, struct cw_error *error)
{
	struct feed *feed = g_new0(struct feed, 1);

	feed->entry = entry;
	cw_random_bytes(&feed->server_list.self, sizeof(feed->server_list.self));
	feed->share = share_create(feed, error);
	if (!feed->share) {
		g_free(feed);
		return NULL;
	}
	feed->client = cw_client_create(&entry->loop);
	feed->tail = cw_tail_create();
	verdict_open(&feed->verdict, feed);
	topic_open(feed, &feed->operator, CW_UP_TOPIC_OPERATOR, "operator");
	topic_open(feed, &feed->servers, CW_UP_TOPIC_SERVERS, "servers");
	topic_open(feed, &feed->status, CW_UP_TOPIC_STATUS, "status");
	topic_open(feed, &feed->quarantine, CW_UP_TOPIC_QUARANTINE, "quarantine");
	quarantine_sync_open(&feed->quarantine_sync, feed);
	schedule_first_reads(feed);
	return feed;
}

void feed_set_body_limit(struct feed *feed, size_t bytes, size_t held_bytes)
{
	share_set_body_limit(feed->share, bytes, held_bytes);
}

void feed_set_max_connections(struct feed *feed, size_t max_connections)
{
	share_set_max_connections(feed->share, max_connections);
}

size_t feed_unwritten_bytes(const struct feed *feed)
{
	return share_unwritten_bytes(feed->share);
}

static void schedule_first_reads(struct feed *feed)
{
	const struct cw_up_settings *settings = &feed->entry->settings;
	struct cw_readers_start start = {.is_first = settings->is_bootstrap};
	struct cw_readers_first_call first;

	for (size_t i = 0; i < settings->seed_count; i++)
		feed->is_seed |= !strcmp(settings->seeds[i], settings->peers_listen);
	start.is_seed = feed->is_seed;
	cw_random_bytes(&start.random, sizeof(start.random));
	cw_readers_start(&start, &first);
	feed->started_ms = entry_now_ms(feed->entry);
	feed->operator.is_jitter_done = feed->servers.is_jitter_done = first.is_early;
	topic_schedule(&feed->operator, first.wait_ms);
	topic_schedule(&feed->servers, first.wait_ms);
	/*
	 * Peers announce quarantined requests; only when all instances start at once must the store
	 * be read for them.
	 */
	topic_schedule(&feed->quarantine, CW_READERS_DISCOVERY_MS);
}

void feed_destroy(struct feed *feed)
{
	if (!feed)
		return;
	topic_close(&feed->operator);
	topic_close(&feed->servers);
	topic_close(&feed->status);
	topic_close(&feed->quarantine);
	quarantine_sync_close(&feed->quarantine_sync);
	verdict_close(&feed->verdict);
	share_destroy(feed->share);
	g_free(feed->config_compressed);
	cw_tail_destroy(feed->tail);
	cw_client_destroy(feed->client);
	g_free(feed);
}

int feed_is_complete(const struct feed *feed)
{
	return feed->operator.is_complete && feed->servers.is_complete;
}

int64_t feed_expiry_grace_until_ms(const struct feed *feed)
{
	return feed->servers.recovered_ms + EXPIRY_GRACE_MS;
}

void feed_tick(struct feed *feed, int64_t now_ms)
{
	cw_pool_sweep(cw_gate_pool(feed->entry->gate), now_ms);
	feed_settle(feed, now_ms);
	verdict_tick(&feed->verdict, now_ms);
	quarantine_sync_tick(&feed->quarantine_sync, now_ms);
}
