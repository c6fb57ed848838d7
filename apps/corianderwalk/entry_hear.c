/* What an instance tells its peers of its reading, and what it takes from theirs. */
#include "entry_feed.h"

#include <string.h>

#define OWN_DOMAIN_FIRST_MS 250 /* before state comes from another failure domain */
#define HINT_AFTER_MS	    150 /* of a call's own chance to be answered */

static void hear_config(struct feed *feed, const struct cw_gossip *gossip, int64_t now_ms);
static void hear_list(struct feed *feed, const struct cw_gossip *gossip, int64_t now_ms);
static int may_fetch_from(struct feed *feed, struct lag *lag, uint64_t from,
			  const struct cw_gossip *gossip, int64_t now_ms);
static int is_reading_nothing(const struct topic *topic);
static void hint(struct topic *topic, uint64_t offset);

void feed_tell(const struct feed *feed, struct cw_gossip *gossip)
{
	int64_t now_ms = entry_now_ms(feed->entry);

	if (feed->operator.is_complete)
		gossip->operator_offset = feed->operator.from;
	gossip->servers_age_ms = CW_GOSSIP_NO_AGE;
	if (!feed->servers.is_complete)
		return;
	gossip->servers_offset = feed->list.from;
	/* Of the last answer, not of the call that waits: that one may never be answered. */
	gossip->servers_age_ms = (uint32_t)(now_ms - feed->list.fresh_ms);
	gossip->servers_evidence = feed->list.evidence;
	gossip->change_count = cw_follow_collect_changes(&feed->list, now_ms, gossip->changes);
}

/*
 * The store's calls are the largest price of a large deployment: every instance reading every
 * change by itself makes 7,300 calls a minute of 66. A few read, all pass on, and whoever finds a
 * gap gets the whole list from the peer that told of it.
 */
void feed_hear(struct feed *feed, const struct cw_gossip *gossip)
{
	int64_t now_ms = entry_now_ms(feed->entry);

	hear_config(feed, gossip, now_ms);
	hear_list(feed, gossip, now_ms);
}

static void hear_config(struct feed *feed, const struct cw_gossip *gossip, int64_t now_ms)
{
	const struct topic *topic = &feed->operator;

	if (gossip->operator_offset <= topic->from)
		return;
	/* Callers wait for an instance that has just started: any peer will do. */
	if (topic->is_complete
		    ? may_fetch_from(feed, &feed->config_lag, topic->from, gossip, now_ms)
		    : is_reading_nothing(topic))
		share_fetch_config(feed->share, gossip->sender.address);
}

static void hear_list(struct feed *feed, const struct cw_gossip *gossip, int64_t now_ms)
{
	struct topic *servers = &feed->servers;
	struct cw_follow_report peer_report = {.from = gossip->servers_offset,
					       .age_ms = gossip->servers_age_ms,
					       .evidence = gossip->servers_evidence};

	if (!servers->is_complete) {
		/* An empty list is one too: its offset is 0. */
		if (gossip->servers_age_ms != CW_GOSSIP_NO_AGE && is_reading_nothing(servers))
			share_fetch_list(feed->share, gossip->sender.address);
		return;
	}
	if (servers->phase != PHASE_FOLLOW) {
		if (gossip->servers_age_ms != CW_GOSSIP_NO_AGE && is_reading_nothing(servers) &&
		    gossip->servers_offset > feed->list.from)
			share_fetch_list(feed->share, gossip->sender.address);
		return;
	}
	if (cw_follow_merge_changes(&feed->list, gossip->changes, gossip->change_count,
				    &peer_report, now_ms, news_take_followed, feed))
		return;
	if (topic_is_reader(servers))
		hint(servers, gossip->servers_offset);
	else if (may_fetch_from(feed, &feed->list_lag, feed->list.from, gossip, now_ms))
		share_fetch_changes(feed->share, gossip->sender.address);
}

/* A neighbour brings state without bytes between domains; it gets a moment to hear of it. */
static int may_fetch_from(struct feed *feed, struct lag *lag, uint64_t from,
			  const struct cw_gossip *gossip, int64_t now_ms)
{
	if (lag->from != from || !lag->since_ms) {
		lag->from = from;
		lag->since_ms = now_ms;
	}
	return !strcmp(gossip->sender.failure_domain, feed->entry->settings.failure_domain) ||
	       now_ms - lag->since_ms >= OWN_DOMAIN_FIRST_MS;
}

/* It waits to begin, or for the next try after a failure. */
static int is_reading_nothing(const struct topic *topic)
{
	return topic->is_down || !topic->exchange;
}

/* A peer knows more: the call that waits here was lost, or is about to be answered. */
static void hint(struct topic *topic, uint64_t offset)
{
	int64_t now_ms = entry_now_ms(topic->feed->entry);

	if (offset > topic_next_offset(topic) && now_ms - topic->asked_ms >= HINT_AFTER_MS)
		topic_ask_store(topic);
}
