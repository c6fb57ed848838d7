/* What a record of the store changes here. */
#include "cw_counters.h"
#include "cw_pack.h"
#include "cw_timeline.h"
#include "entry_feed.h"

#include <string.h>

static void take_config(struct feed *feed, const struct cw_up_record *news);
static void take_server(struct feed *feed, const struct cw_server_entry *entry, int64_t now_ms);
static void ask_for_order(struct feed *feed, const struct cw_server_entry *entry, int64_t now_ms);
static void server_gone(struct feed *feed, const char *name, int64_t now_ms);

void news_take(struct topic *topic, struct cw_up_record *news)
{
	struct feed *feed = topic->feed;
	struct cw_rollouts *rollouts = cw_gate_rollouts(feed->entry->gate);
	int64_t now_ms = entry_now_ms(feed->entry);

	switch (news->kind) {
	case CW_UP_RECORD_CONFIG:
		take_config(feed, news);
		break;
	case CW_UP_RECORD_ROLLOUT_ORDER:
		if (cw_rollouts_apply_order(rollouts, &news->order, news->offset, now_ms))
			cw_event("feed", "rollout_ordered",
				 "service=%s target=%s duration_ms=%ld offset=%lu",
				 news->order.service, news->order.target,
				 (long)news->order.duration_ms, (unsigned long)news->offset);
		break;
	case CW_UP_RECORD_ROLLOUT_STATUS:
		if (cw_rollouts_apply_status(rollouts, &news->status))
			cw_event("feed", "rollout_told", "service=%s target=%s state=%d",
				 news->status.service, news->status.target, news->status.state);
		break;
	case CW_UP_RECORD_DRAIN_ORDER:
		feed_drain(feed, &news->drain, "store");
		break;
	case CW_UP_RECORD_SERVER:
		take_server(feed, &news->server, now_ms);
		break;
	case CW_UP_RECORD_SERVER_REMOVED:
		server_gone(feed, news->server.name, now_ms);
		break;
	case CW_UP_RECORD_QUARANTINE:
		cw_quarantine_merge_record(cw_gate_quarantine(feed->entry->gate), &news->quarantine,
					   CW_QUARANTINE_STORE, now_ms);
		break;
	case CW_UP_RECORD_OTHER:
		break;
	}
}

void news_take_change(void *context, const struct cw_change *change)
{
	struct feed *feed = context;
	int64_t now_ms = entry_now_ms(feed->entry);

	if (change->is_removed)
		server_gone(feed, change->entry.name, now_ms);
	else
		take_server(feed, &change->entry, now_ms);
}

void news_take_followed(void *context, const struct cw_change *change)
{
	struct feed *feed = context;

	cw_tail_add(feed->tail, change);
	news_take_change(feed, change);
}

/* What changes is passed on at once: the others hear of it from whoever hears first. */
void feed_drain(struct feed *feed, const struct cw_drain_order *order, const char *source)
{
	struct entry *entry = feed->entry;

	if (!cw_pool_drain(cw_gate_pool(entry->gate), order, entry_now_ms(entry)))
		return;
	cw_count(order->is_drained ? "domains_drained" : "domains_restored", "", 1);
	cw_event("feed", order->is_drained ? "domain_drained" : "domain_restored",
		 "domain=%s offset=%lu source=%s", order->failure_domain,
		 (unsigned long)order->offset, source);
	peers_tell(entry->peers);
}

static void take_config(struct feed *feed, const struct cw_up_record *news)
{
	struct entry *entry = feed->entry;

	if (!cw_gate_configure(entry->gate, news->config))
		return;
	cw_event("feed", "configured", "version=%lu offset=%lu routes=%zu",
		 (unsigned long)cw_config_version(news->config), (unsigned long)news->offset,
		 cw_config_route_count(news->config));
	g_free(feed->config_packed);
	feed->config_packed = cw_pack(news->text, news->text_size, &feed->config_size);
	entry_apply_limits(entry);
	if (feed->operator.is_complete)
		peers_tell(entry->peers);
	if (entry_knows_enough(entry))
		relay_open_waiting(entry);
}

static void take_server(struct feed *feed, const struct cw_server_entry *entry, int64_t now_ms)
{
	static const char *const words[] = {
		[CW_LISTING_FULL] = "not_kept", [CW_LISTING_STALE] = "late",
		[CW_LISTING_SAME] = "same",	[CW_LISTING_CHANGED] = "changed",
		[CW_LISTING_NEW] = "new",	[CW_LISTING_RESTARTED] = "restarted",
	};
	enum cw_listing listing =
		cw_pool_apply_entry(cw_gate_pool(feed->entry->gate), entry, now_ms);

	if (listing == CW_LISTING_FULL)
		cw_count("servers_not_kept", "", 1);
	if (listing == CW_LISTING_RESTARTED)
		relay_leave_ended(feed->entry);
	if (listing == CW_LISTING_NEW || listing == CW_LISTING_RESTARTED)
		ask_for_order(feed, entry, now_ms);
	if (listing != CW_LISTING_SAME)
		cw_event("feed", "server",
			 "server=%s born_ms=%ld listing=%s service=%s address=%s domain=%s "
			 "software=%s leaving=%d cold_ms=%ld",
			 entry->name, (long)entry->process_start_ms, words[listing], entry->service,
			 entry->address, entry->failure_domain, entry->software, entry->leaving,
			 (long)entry->cold_ms);
}

/*
 * An order to bring in a version was learned 3 s late, when a read of the operator's topic that had
 * missed it ended by itself. The version's servers are listed at once, by another topic.
 */
static void ask_for_order(struct feed *feed, const struct cw_server_entry *entry, int64_t now_ms)
{
	const struct cw_gate *gate = feed->entry->gate;
	const char *newcomer =
		cw_pool_new_software(cw_gate_pool((struct cw_gate *)gate), entry->service, now_ms);
	const char *target =
		cw_rollouts_target(cw_gate_rollouts((struct cw_gate *)gate), entry->service);

	if (!newcomer || strcmp(newcomer, entry->software) != 0 ||
	    (target && !strcmp(target, newcomer)))
		return;
	cw_event("feed", "newcomer", "service=%s software=%s server=%s", entry->service,
		 entry->software, entry->name);
	topic_ask_store(&feed->operator);
}

/* Right after an outage an entry may be missing only because it could not be renewed. */
static void server_gone(struct feed *feed, const char *name, int64_t now_ms)
{
	struct cw_pool *pool = cw_gate_pool(feed->entry->gate);
	struct cw_server *server = cw_pool_find_name(pool, name);
	int64_t until_ms = feed_lapse_until_ms(feed);

	if (!server || server->is_removed)
		return;
	cw_quarantine_note_unreachable(cw_gate_quarantine(feed->entry->gate), server->id, now_ms);
	cw_event("feed", "server_gone", "server=%s address=%s held_ms=%ld", name, server->address,
		 (long)MAX(until_ms - now_ms, 0));
	cw_pool_delist(pool, server, until_ms, now_ms);
}
