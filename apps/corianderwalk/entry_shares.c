/*
 * What organisations ask for, announced to peers and logged while a service's room is scarce. With
 * room for all there are neither messages nor log lines.
 */
#include "cw_counters.h"
#include "cw_gossip_shares.h"
#include "cw_hash.h"
#include "cw_timeline.h"
#include "entry.h"
#include "entry_load.h"

#define ANNOUNCE_INTERVAL_MS 300 /* demands decay within a second */
#define LOG_INTERVAL_MS	     1000
#define LOGGED		     3 /* organisations, those that ask for most */
#define MESSAGE_BYTES	     1024

static void announce_service(struct entry *entry, const char *service, int64_t now_ms);
static void log_service(const struct entry *entry, const char *service, double room,
			int64_t now_ms);

void shares_announce(struct entry *entry, int64_t now_ms)
{
	const struct cw_config *config = cw_gate_config(entry->gate);
	int is_log_due = now_ms - entry->shares_logged_ms >= LOG_INTERVAL_MS;
	size_t count = config ? cw_config_service_count(config) : 0;

	if (now_ms - entry->shares_announced_ms < ANNOUNCE_INTERVAL_MS)
		return;
	entry->shares_announced_ms = now_ms;
	for (size_t i = 0; i < count; i++) {
		const char *service = cw_config_service_at(config, i)->name;
		double room = cw_gate_room(entry->gate, service, now_ms);

		if (room >= 1 || !cw_gate_shares(entry->gate, service))
			continue;
		announce_service(entry, service, now_ms);
		if (!is_log_due)
			continue;
		entry->shares_logged_ms = now_ms;
		log_service(entry, service, room, now_ms);
	}
}

int shares_merge(struct entry *entry, const char *bytes, size_t size)
{
	struct cw_gossip_shares message;

	if (cw_gossip_decode_shares(bytes, size, &message) != CW_OK)
		return 0;
	cw_gate_merge_demands(entry->gate, message.service, cw_hash_text(message.sender, 0),
			      message.demands, message.count, entry_now_ms(entry));
	cw_counter_add("share_messages", "way=\"received\"", 1);
	return 1;
}

void shares_update_gauges(const struct entry *entry)
{
	const struct cw_config *config = cw_gate_config(entry->gate);
	size_t count = config ? cw_config_service_count(config) : 0;
	double least = 1;

	for (size_t i = 0; i < count; i++)
		least = MIN(least, cw_gate_room(entry->gate, cw_config_service_at(config, i)->name,
						entry_now_ms(entry)));
	cw_gauge_set("room_percent", "", (uint64_t)(100 * least));
}

static void announce_service(struct entry *entry, const char *service, int64_t now_ms)
{
	struct cw_gossip_shares message = {0};
	char bytes[MESSAGE_BYTES];
	size_t size;

	g_strlcpy(message.sender, entry->settings.instance, sizeof(message.sender));
	g_strlcpy(message.service, service, sizeof(message.service));
	message.count = cw_shares_announce(cw_gate_shares(entry->gate, service), message.demands,
					   CW_SHARES_ANNOUNCED, now_ms);
	if (message.count == 0)
		return;
	size = cw_gossip_encode_shares(&message, bytes, sizeof(bytes));
	cw_counter_add("share_messages", "way=\"sent\"",
		       peers_send_to_some(entry->peers, bytes, size));
}

/* One line an organisation: what it asks for and gets, as parts of the whole and of its demand. */
static void log_service(const struct entry *entry, const char *service, double room, int64_t now_ms)
{
	struct cw_shares *shares = cw_gate_shares(entry->gate, service);
	struct cw_share_demand demands[LOGGED];
	size_t count = cw_shares_list(shares, demands, LOGGED, now_ms);

	for (size_t i = 0; i < count; i++) {
		const char *name = cw_gate_organisation_name(entry->gate, demands[i].organisation);

		cw_event("gate", "share",
			 "service=%s room=%.2f organisation=%s demand=%.2f granted=%.2f", service,
			 room, name ? name : "-", demands[i].amount,
			 cw_shares_granted(shares, demands[i].organisation, room, now_ms));
	}
}
