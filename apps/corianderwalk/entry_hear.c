/* What an instance announces of its reads of the store, and what it merges from its peers'. */
#include "entry_feed.h"

#include <string.h>

#define REMOTE_FETCH_DELAY_MS 250 /* of lag, before peers of other failure domains are asked */
#define RECHECK_DELAY_MS      150 /* after a call began; until then its answer is awaited */

static void merge_config(struct feed *feed, const struct cw_gossip *gossip, int64_t now_ms);
static void merge_server_list(struct feed *feed, const struct cw_gossip *gossip, int64_t now_ms);
static int should_fetch_from(struct feed *feed, struct lag *lag, struct cw_position next,
			     const struct cw_gossip *gossip, int64_t now_ms);
static int is_idle(const struct topic *topic);
static void recheck_if_behind(struct topic *topic, struct cw_position peer);

void feed_fill_announcement(const struct feed *feed, struct cw_gossip *gossip)
{
	int64_t now_ms = entry_now_ms(feed->entry);

	gossip->store_era = feed->era;
	if (feed->operator.is_complete)
		gossip->operator_next = feed->operator.next;
	gossip->servers_age_ms = CW_GOSSIP_NO_AGE;
	if (!feed->servers.is_complete)
		return;
	gossip->servers_next = feed->server_list.next;
	/* The age counts from the last answer: the pending call may never be answered. */
	gossip->servers_age_ms = (uint32_t)(now_ms - feed->server_list.fresh_ms);
	gossip->servers_evidence = feed->server_list.evidence;
	gossip->change_count =
		cw_follow_collect_changes(&feed->server_list, now_ms, gossip->changes);
}

/*
 * Calls of the store are the largest cost of a large deployment: 66 instances that each read every
 * change make 7,300 calls a minute. So a few instances read and all forward the records; an
 * instance that finds a gap fetches the missing records, or the whole list, from the peer that
 * announced later ones.
 */
void feed_merge_announcement(struct feed *feed, const struct cw_gossip *gossip)
{
	int64_t now_ms = entry_now_ms(feed->entry);

	merge_config(feed, gossip, now_ms);
	merge_server_list(feed, gossip, now_ms);
}

/* What a peer knows to be written was lost, if it was written in an earlier era. */
void feed_merge_era(struct feed *feed, struct cw_gossip *gossip)
{
	feed_note_era(feed, gossip->store_era, gossip->sender.instance, 0);
	if (gossip->store_era == feed->era)
		return;
	for (size_t i = 0; i < gossip->rollout_count; i++)
		gossip->rollouts[i].is_written = 0;
	for (size_t i = 0; i < gossip->quarantined_count; i++)
		gossip->quarantined[i].is_written = 0;
}

static void merge_config(struct feed *feed, const struct cw_gossip *gossip, int64_t now_ms)
{
	const struct topic *topic = &feed->operator;
	const struct cw_config *config = cw_gate_config(feed->entry->gate);
	uint64_t version = config ? cw_config_version(config) : 0;

	/* A store that was restored may hold an older configuration than a peer has in force. */
	if (gossip->operator_next.era != feed->era ||
	    (cw_position_compare(gossip->operator_next, topic->next) <= 0 &&
	     gossip->config_version <= version))
		return;
	/* Callers wait for an instance that has just started, so it fetches from any peer. */
	if (topic->is_complete
		    ? should_fetch_from(feed, &feed->config_lag, topic->next, gossip, now_ms)
		    : is_idle(topic))
		share_fetch_config(feed->share, gossip->sender.address);
}

static void merge_server_list(struct feed *feed, const struct cw_gossip *gossip, int64_t now_ms)
{
	struct topic *servers = &feed->servers;
	struct cw_follow_report peer_report = {.next = gossip->servers_next,
					       .age_ms = gossip->servers_age_ms,
					       .evidence = gossip->servers_evidence};

	if (gossip->servers_next.era != feed->era)
		return;
	if (!servers->is_complete) {
		/* An empty list has the offset 0, so the age tells whether the peer has a list. */
		if (gossip->servers_age_ms != CW_GOSSIP_NO_AGE && is_idle(servers))
			share_fetch_list(feed->share, gossip->sender.address);
		return;
	}
	if (servers->phase != PHASE_FOLLOW) {
		if (gossip->servers_age_ms != CW_GOSSIP_NO_AGE && is_idle(servers) &&
		    cw_position_compare(gossip->servers_next, feed->server_list.next) > 0)
			share_fetch_list(feed->share, gossip->sender.address);
		return;
	}
	if (cw_follow_merge_changes(&feed->server_list, gossip->changes, gossip->change_count,
				    &peer_report, now_ms, record_apply_next, feed))
		return;
	if (topic_is_reader(servers))
		recheck_if_behind(servers, gossip->servers_next);
	else if (should_fetch_from(feed, &feed->server_list_lag, feed->server_list.next, gossip,
				   now_ms))
		share_fetch_changes(feed->share, gossip->sender.address);
}

/*
 * A peer in the same failure domain sends state without traffic between domains. Peers of other
 * domains are asked only when the lag has lasted REMOTE_FETCH_DELAY_MS: by then a peer of the own
 * domain may have received the state.
 */
static int should_fetch_from(struct feed *feed, struct lag *lag, struct cw_position next,
			     const struct cw_gossip *gossip, int64_t now_ms)
{
	if (cw_position_compare(lag->next, next) != 0 || !lag->since_ms) {
		lag->next = next;
		lag->since_ms = now_ms;
	}
	return !strcmp(gossip->sender.failure_domain, feed->entry->settings.failure_domain) ||
	       now_ms - lag->since_ms >= REMOTE_FETCH_DELAY_MS;
}

/* No call is pending, or the topic waits for the retry after a failure. */
static int is_idle(const struct topic *topic)
{
	return topic->is_down || !topic->exchange;
}

/* A peer knows more records: the pending call was lost, or is about to be answered. */
static void recheck_if_behind(struct topic *topic, struct cw_position peer)
{
	int64_t now_ms = entry_now_ms(topic->feed->entry);

	if (cw_position_compare(peer, topic_next(topic)) > 0 &&
	    now_ms - topic->call_began_ms >= RECHECK_DELAY_MS)
		topic_recheck(topic);
}
