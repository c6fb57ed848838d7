/* What an instance tells its peers of its reading, and what it takes from theirs. */
#include "entry_feed.h"

#include <string.h>

#define REMOTE_FETCH_DELAY_MS 250 /* before state comes from another failure domain */
#define RECHECK_DELAY_MS      150 /* of a call's own chance to be answered */

static void merge_config(struct feed *feed, const struct cw_gossip *gossip, int64_t now_ms);
static void merge_server_list(struct feed *feed, const struct cw_gossip *gossip, int64_t now_ms);
static int should_fetch_from(struct feed *feed, struct lag *lag, uint64_t next_offset,
			     const struct cw_gossip *gossip, int64_t now_ms);
static int is_idle(const struct topic *topic);
static void recheck_if_behind(struct topic *topic, uint64_t offset);

void feed_fill_announcement(const struct feed *feed, struct cw_gossip *gossip)
{
	int64_t now_ms = entry_now_ms(feed->entry);

	if (feed->operator.is_complete)
		gossip->operator_offset = feed->operator.next_offset;
	gossip->servers_age_ms = CW_GOSSIP_NO_AGE;
	if (!feed->servers.is_complete)
		return;
	gossip->servers_offset = feed->server_list.from;
	/* Of the last answer, not of the call that waits: that one may never be answered. */
	gossip->servers_age_ms = (uint32_t)(now_ms - feed->server_list.fresh_ms);
	gossip->servers_proof = feed->server_list.proof;
	gossip->change_count = cw_follow_tell(&feed->server_list, now_ms, gossip->changes);
}

/*
 * The store's calls are the largest price of a large deployment: every instance reading every
 * change by itself makes 7,300 calls a minute of 66. A few read, all pass on, and whoever finds a
 * gap gets the whole list from the peer that told of it.
 */
void feed_merge_announcement(struct feed *feed, const struct cw_gossip *gossip)
{
	int64_t now_ms = entry_now_ms(feed->entry);

	merge_config(feed, gossip, now_ms);
	merge_server_list(feed, gossip, now_ms);
}

static void merge_config(struct feed *feed, const struct cw_gossip *gossip, int64_t now_ms)
{
	const struct topic *topic = &feed->operator;

	if (gossip->operator_offset <= topic->next_offset)
		return;
	/* Callers wait for an instance that has just started: any peer will do. */
	if (topic->is_complete
		    ? should_fetch_from(feed, &feed->config_lag, topic->next_offset, gossip, now_ms)
		    : is_idle(topic))
		share_fetch_config(feed->share, gossip->sender.address);
}

static void merge_server_list(struct feed *feed, const struct cw_gossip *gossip, int64_t now_ms)
{
	struct topic *servers = &feed->servers;
	struct cw_follow_word word = {.from = gossip->servers_offset,
				      .age_ms = gossip->servers_age_ms,
				      .proof = gossip->servers_proof};

	if (!servers->is_complete) {
		/* An empty list is one too: its offset is 0. */
		if (gossip->servers_age_ms != CW_GOSSIP_NO_AGE && is_idle(servers))
			share_fetch_list(feed->share, gossip->sender.address);
		return;
	}
	if (servers->phase != PHASE_FOLLOW) {
		if (gossip->servers_age_ms != CW_GOSSIP_NO_AGE && is_idle(servers) &&
		    gossip->servers_offset > feed->server_list.from)
			share_fetch_list(feed->share, gossip->sender.address);
		return;
	}
	if (cw_follow_hear(&feed->server_list, gossip->changes, gossip->change_count, &word, now_ms,
			   record_apply_next, feed))
		return;
	if (topic_is_reader(servers))
		recheck_if_behind(servers, gossip->servers_offset);
	else if (should_fetch_from(feed, &feed->server_list_lag, feed->server_list.from, gossip,
				   now_ms))
		share_fetch_changes(feed->share, gossip->sender.address);
}

/* A neighbour brings state without bytes between domains; it gets a moment to hear of it. */
static int should_fetch_from(struct feed *feed, struct lag *lag, uint64_t next_offset,
			     const struct cw_gossip *gossip, int64_t now_ms)
{
	if (lag->next_offset != next_offset || !lag->since_ms) {
		lag->next_offset = next_offset;
		lag->since_ms = now_ms;
	}
	return !strcmp(gossip->sender.failure_domain, feed->entry->settings.failure_domain) ||
	       now_ms - lag->since_ms >= REMOTE_FETCH_DELAY_MS;
}

/* It waits to begin, or for the next try after a failure. */
static int is_idle(const struct topic *topic)
{
	return topic->is_down || !topic->exchange;
}

/* A peer knows more: the call that waits here was lost, or is about to be answered. */
static void recheck_if_behind(struct topic *topic, uint64_t offset)
{
	int64_t now_ms = entry_now_ms(topic->feed->entry);

	if (offset > topic_next_offset(topic) && now_ms - topic->call_began_ms >= RECHECK_DELAY_MS)
		topic_recheck(topic);
}
