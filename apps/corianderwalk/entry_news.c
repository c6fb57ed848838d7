/* Applies records of the store to the state of this instance. */
#include "cw_counters.h"
#include "cw_pack.h"
#include "cw_timeline.h"
#include "entry_feed.h"

#include <string.h>

static int is_maybe_superseded(const struct topic *topic, const struct cw_drain_order *order);
static void apply_config(struct feed *feed, const struct cw_up_record *record);
static void apply_server(struct feed *feed, const struct cw_server_entry *entry, int64_t now_ms);
static void reread_orders(struct feed *feed, const struct cw_server_entry *entry, int64_t now_ms);
static void remove_server(struct feed *feed, const char *name, int64_t now_ms);

void record_apply(struct topic *topic, struct cw_up_record *record)
{
	struct feed *feed = topic->feed;
	struct cw_rollouts *rollouts = cw_gate_rollouts(feed->entry->gate);
	struct cw_position position = {feed->era, record->offset};
	int64_t now_ms = entry_now_ms(feed->entry);

	switch (record->kind) {
	case CW_UP_RECORD_CONFIG:
		apply_config(feed, record);
		break;
	case CW_UP_RECORD_ROLLOUT_ORDER:
		if (cw_rollouts_apply_order(rollouts, &record->order, position, now_ms))
			cw_event("feed", "rollout_ordered",
				 "service=%s target=%s duration_ms=%ld offset=%lu",
				 record->order.service, record->order.target,
				 (long)record->order.duration_ms, (unsigned long)record->offset);
		break;
	case CW_UP_RECORD_ROLLOUT_STATUS:
		if (cw_rollouts_apply_status(rollouts, &record->status))
			cw_event("feed", "rollout_status", "service=%s target=%s state=%d",
				 record->status.service, record->status.target,
				 record->status.state);
		break;
	case CW_UP_RECORD_DRAIN_ORDER:
		record->drain.position = position;
		if (!is_maybe_superseded(topic, &record->drain))
			feed_apply_drain(feed, &record->drain, "store");
		break;
	case CW_UP_RECORD_SERVER:
		apply_server(feed, &record->server, now_ms);
		break;
	case CW_UP_RECORD_SERVER_REMOVED:
		remove_server(feed, record->server.name, now_ms);
		break;
	case CW_UP_RECORD_QUARANTINE:
		cw_quarantine_merge_record(cw_gate_quarantine(feed->entry->gate),
					   &record->quarantine, CW_QUARANTINE_STORE, now_ms);
		break;
	case CW_UP_RECORD_OTHER:
		break;
	}
}

void record_apply_change(void *context, const struct cw_change *change)
{
	struct feed *feed = context;
	int64_t now_ms = entry_now_ms(feed->entry);

	if (change->is_removed)
		remove_server(feed, change->entry.name, now_ms);
	else
		apply_server(feed, &change->entry, now_ms);
}

void record_apply_next(void *context, const struct cw_change *change)
{
	struct feed *feed = context;

	cw_tail_add(feed->tail, change);
	record_apply_change(feed, change);
}

/* A change is announced at once: one instance reads the order, the others receive it from peers. */
void feed_apply_drain(struct feed *feed, const struct cw_drain_order *order, const char *source)
{
	struct entry *entry = feed->entry;

	if (!cw_pool_drain(cw_gate_pool(entry->gate), order, entry_now_ms(entry)))
		return;
	cw_counter_add(order->is_drained ? "domains_drained" : "domains_restored", "", 1);
	cw_event("feed", order->is_drained ? "domain_drained" : "domain_restored",
		 "domain=%s offset=%lu source=%s", order->failure_domain,
		 (unsigned long)order->position.offset, source);
	peers_announce(entry->peers);
}

/* The copy from which the store was restored may lack the newest order on the domain. */
static int is_maybe_superseded(const struct topic *topic, const struct cw_drain_order *order)
{
	const struct feed *feed = topic->feed;
	struct cw_drains *drains = cw_pool_drains(cw_gate_pool(feed->entry->gate));

	return topic->phase == PHASE_SNAPSHOT && feed_is_settling(feed) &&
	       cw_drains_has_order(drains, order->failure_domain);
}

static void apply_config(struct feed *feed, const struct cw_up_record *record)
{
	struct entry *entry = feed->entry;

	if (!cw_gate_configure(entry->gate, record->config))
		return;
	cw_event("feed", "configured", "version=%lu offset=%lu routes=%zu",
		 (unsigned long)cw_config_version(record->config), (unsigned long)record->offset,
		 cw_config_route_count(record->config));
	g_free(feed->config_compressed);
	feed->config_compressed =
		cw_pack(record->text, record->text_size, &feed->config_compressed_bytes);
	entry_apply_limits(entry);
	if (feed->operator.is_complete)
		peers_announce(entry->peers);
	if (entry_is_synced(entry))
		relay_open_pending(entry);
}

static void apply_server(struct feed *feed, const struct cw_server_entry *entry, int64_t now_ms)
{
	static const char *const listing_names[] = {
		[CW_LISTING_FULL] = "not_kept", [CW_LISTING_STALE] = "late",
		[CW_LISTING_SAME] = "same",	[CW_LISTING_CHANGED] = "changed",
		[CW_LISTING_NEW] = "new",	[CW_LISTING_RESTARTED] = "restarted",
		[CW_LISTING_HELD] = "held",
	};
	enum cw_listing listing =
		cw_pool_apply_entry(cw_gate_pool(feed->entry->gate), entry, now_ms);

	if (listing == CW_LISTING_FULL)
		cw_counter_add("servers_not_kept", "", 1);
	if (listing == CW_LISTING_RESTARTED)
		relay_fail_superseded(feed->entry);
	if (listing == CW_LISTING_NEW || listing == CW_LISTING_RESTARTED)
		reread_orders(feed, entry, now_ms);
	if (listing != CW_LISTING_SAME)
		cw_event("feed", "server",
			 "server=%s born_ms=%ld listing=%s service=%s address=%s domain=%s "
			 "software=%s leaving=%d cold_ms=%ld",
			 entry->name, (long)entry->process_start_ms, listing_names[listing],
			 entry->service, entry->address, entry->failure_domain, entry->software,
			 entry->is_leaving, (long)entry->cold_ms);
}

/*
 * Reads the operator's topic when the first server of a new version is listed. A roll-out order was
 * once learned 3 s late, because a long poll had missed its record and returned only when its wait
 * was over. The version's servers are listed at once, by another topic.
 */
static void reread_orders(struct feed *feed, const struct cw_server_entry *entry, int64_t now_ms)
{
	const struct cw_gate *gate = feed->entry->gate;
	const char *new_software =
		cw_pool_new_software(cw_gate_pool((struct cw_gate *)gate), entry->service, now_ms);
	const char *target =
		cw_rollouts_target(cw_gate_rollouts((struct cw_gate *)gate), entry->service);

	if (!new_software || strcmp(new_software, entry->software) != 0 ||
	    (target && !strcmp(target, new_software)))
		return;
	cw_event("feed", "newcomer", "service=%s software=%s server=%s", entry->service,
		 entry->software, entry->name);
	topic_recheck(&feed->operator);
}

/*
 * Right after an outage of the store an entry may be missing only because its server could not
 * renew it, so the server is kept for the grace period.
 */
static void remove_server(struct feed *feed, const char *name, int64_t now_ms)
{
	struct cw_pool *pool = cw_gate_pool(feed->entry->gate);
	struct cw_server *server = cw_pool_find_name(pool, name);
	int64_t until_ms = feed_expiry_grace_until_ms(feed);

	cw_pool_drop_held(pool, name);
	if (!server || server->is_removed)
		return;
	cw_gate_note_removed(feed->entry->gate, server, now_ms);
	cw_event("feed", "server_gone", "server=%s address=%s held_ms=%ld", name, server->address,
		 (long)MAX(until_ms - now_ms, 0));
	cw_pool_delist(pool, server, until_ms, now_ms);
}
