/*
 * The era of the shared store. A new one begins when the store has been restored from an older
 * copy: it has lost records, and gives out their offsets again. Whatever rested on positions of the
 * earlier era is then read again, by few instances, and sent to the others. What was known before
 * stays in force meanwhile, as it is newer than the copy.
 */
#include "cw_counters.h"
#include "cw_timeline.h"
#include "entry_feed.h"

#define ORDERS_SETTLE_MS   2000 /* by then the operator has written again what was lost */
#define SERVERS_SETTLE_MS  2000 /* by then servers that live have renewed their entries */
#define EXPIRY_HEARTBEATS  3	/* an entry expires after so many intervals without a heartbeat */
#define PEER_STATE_WAIT_MS 500	/* for the state of the peer that announced the era */

static int has_state(const struct topic *topic);
static void begin_era(struct feed *feed, int64_t now_ms);
static void restart_topics(struct feed *feed, int is_own_answer);

enum era_relation feed_note_era(struct feed *feed, uint64_t era, const char *source,
				int is_own_answer)
{
	uint64_t before = feed->era;

	if (era == CW_ERA_UNKNOWN || era == before)
		return ERA_CURRENT;
	if (era < before) {
		cw_counter_add("store_answers_outdated", "", 1);
		return ERA_EARLIER;
	}
	feed->era = era;
	cw_gauge_set("store_era", "", (uint64_t)cw_era_number(era));
	cw_event("feed", "store_era",
		 "era=%ld before=%ld source=%s operator=%lu servers=%lu status=%lu",
		 (long)cw_era_number(era), (long)cw_era_number(before), source,
		 (unsigned long)feed->operator.next.offset,
		 (unsigned long)feed->server_list.next.offset,
		 (unsigned long)feed->status.next.offset);
	if (before == CW_ERA_UNKNOWN && !has_state(&feed->operator) && !has_state(&feed->servers))
		return ERA_CURRENT;
	begin_era(feed, entry_now_ms(feed->entry));
	restart_topics(feed, is_own_answer);
	return ERA_BEGUN;
}

int feed_is_settling(const struct feed *feed)
{
	return feed->settled_ms && entry_now_ms(feed->entry) < feed->settled_ms;
}

/*
 * What the store lacks is written again soon, and until then its copy must not undo it. At the end
 * of that time the operator's topic counts as it stands, also orders that it no longer holds.
 */
void feed_settle(struct feed *feed, int64_t now_ms)
{
	struct cw_pool *pool = cw_gate_pool(feed->entry->gate);
	struct cw_server_entry entry;

	while (cw_pool_next_settled(pool, &entry, now_ms))
		record_apply_change(feed, &(struct cw_change){.entry = entry});
	if (!feed->settled_ms || now_ms < feed->settled_ms || !feed_is_rank_known(feed))
		return;
	feed->settled_ms = 0;
	if (topic_is_reader(&feed->operator))
		topic_restart(&feed->operator, 0);
}

/* Without any state there is nothing that rests on an earlier era. */
static int has_state(const struct topic *topic)
{
	return topic->is_complete || *topic->after_key;
}

static void begin_era(struct feed *feed, int64_t now_ms)
{
	struct cw_gate *gate = feed->entry->gate;
	int64_t expiry_ms = EXPIRY_HEARTBEATS * feed->entry->settings.heartbeat_ms;

	cw_counter_add("store_eras_begun", "", 1);
	feed->settled_ms = now_ms + ORDERS_SETTLE_MS;
	feed->servers.recovered_ms = now_ms;
	feed->verdict.is_status_fresh = 0;
	cw_tail_clear(feed->tail);
	cw_pool_begin_era(cw_gate_pool(gate), now_ms + SERVERS_SETTLE_MS + expiry_ms, now_ms);
	cw_rollouts_begin_era(cw_gate_rollouts(gate), feed->settled_ms);
	cw_quarantine_begin_era(cw_gate_quarantine(gate), feed->settled_ms);
	/* Peers learn of the era at once, and of its state when this instance has read it. */
	peers_announce(feed->entry->peers);
}

static void restart_topics(struct feed *feed, int is_own_answer)
{
	struct topic *topics[] = {&feed->operator, & feed->servers };
	int64_t wait_ms =
		is_own_answer || topic_is_reader(&feed->operator) ? 0 : PEER_STATE_WAIT_MS;

	for (size_t i = 0; i < G_N_ELEMENTS(topics); i++)
		topic_restart(topics[i], wait_ms);
	topic_restart(&feed->quarantine, 0);
	topic_forget(&feed->status);
}
