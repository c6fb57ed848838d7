/* The speed of servers, as this instance and its peers have learned it: messages, logs, metrics. */
#include "cw_counters.h"
#include "cw_gossip_paces.h"
#include "cw_hash.h"
#include "cw_timeline.h"
#include "entry.h"
#include "entry_load.h"

#include <string.h>

#define TURN_ROUNDS   16 /* between messages on servers in turn: 2.4 s of 30 s that samples last */
#define LOG_LINES_MAX 8	 /* in one turn */

static void send_paces(struct entry *entry, int64_t since_ms, size_t *next, int64_t now_ms);
static void merge_pace(struct entry *entry, const struct cw_gossip_paces *message, size_t index,
		       int64_t sent_ms);
static double level_of(const struct cw_server *server, int64_t now_ms);
static void log_changes(const struct entry *entry, int64_t now_ms);
static int64_t unix_ms(void);

/* New samples at once, as the momentary speed changes within a few rounds. */
void pace_announce(struct entry *entry, int64_t now_ms)
{
	size_t next = 0;

	if (entry->policy.pace_part <= 0)
		return;
	if (entry->pace_rounds++ % TURN_ROUNDS == 0) {
		send_paces(entry, 0, &entry->pace_next, now_ms);
		log_changes(entry, now_ms);
	} else {
		send_paces(entry, entry->paces_sent_ms, &next, now_ms);
	}
	entry->paces_sent_ms = now_ms;
}

int pace_merge(struct entry *entry, const char *bytes, size_t size, uint32_t delay_ms)
{
	struct cw_gossip_paces message;
	int64_t sent_ms = entry_now_ms(entry) - delay_ms;

	if (cw_gossip_decode_paces(bytes, size, &message) != CW_OK)
		return 0;
	cw_counter_add("pace_messages", "direction=\"received\"", 1);
	if (entry->policy.pace_part <= 0 || !strcmp(message.sender, entry->settings.instance))
		return 1;
	for (size_t i = 0; i < message.count; i++)
		merge_pace(entry, &message, i, sent_ms);
	return 1;
}

size_t pace_encode_prior(struct entry *entry, char *bytes, size_t size, size_t *next)
{
	struct cw_gossip_paces message = {.announced_ms = unix_ms()};

	if (entry->policy.pace_part <= 0)
		return 0;
	g_strlcpy(message.sender, entry->settings.instance, sizeof(message.sender));
	cw_gossip_fill_priors(&message, cw_gate_pool(entry->gate), next, entry_now_ms(entry));
	return message.count > 0 ? cw_gossip_encode_paces(&message, bytes, size) : 0;
}

void pace_update_gauges(const struct entry *entry)
{
	int64_t now_ms = entry_now_ms(entry);
	const struct cw_server *server;
	double slowest = CW_PACE_USUAL;
	double fastest = CW_PACE_USUAL;
	uint64_t unusual = 0;

	TAILQ_FOREACH(server, cw_pool_worked(cw_gate_pool(entry->gate)), worked_link) {
		double level = level_of(server, now_ms);

		slowest = MAX(slowest, level);
		fastest = MIN(fastest, level);
		unusual += level != CW_PACE_USUAL;
	}
	cw_gauge_set("server_pace_percent", "server=\"slowest\"", (uint64_t)(100 * slowest));
	cw_gauge_set("server_pace_percent", "server=\"fastest\"", (uint64_t)(100 * fastest));
	cw_gauge_set("servers_of_unusual_pace", "", unusual);
}

static void send_paces(struct entry *entry, int64_t since_ms, size_t *next, int64_t now_ms)
{
	struct cw_gossip_paces message = {.announced_ms = unix_ms()};
	char bytes[CW_GOSSIP_PACES_BYTES];
	size_t size;

	g_strlcpy(message.sender, entry->settings.instance, sizeof(message.sender));
	cw_gossip_fill_paces(&message, cw_gate_pool(entry->gate), since_ms, next, now_ms);
	if (message.count == 0)
		return;
	size = cw_gossip_encode_paces(&message, bytes, sizeof(bytes));
	cw_counter_add("pace_messages", "direction=\"sent\"",
		       peers_send_to_some(entry->peers, bytes, size));
}

static void merge_pace(struct entry *entry, const struct cw_gossip_paces *message, size_t index,
		       int64_t sent_ms)
{
	const struct cw_gossip_pace *announced = &message->paces[index];
	struct cw_server *server = cw_pool_find(cw_gate_pool(entry->gate), announced->server);
	struct cw_pace_origin origin = {
		.instance = message->is_prior ? 0 : cw_hash_text(message->sender, 0),
		.announced_ms = message->announced_ms,
		.received_ms = sent_ms,
		.evidence = announced->evidence,
	};

	if (!server)
		return;
	cw_pace_merge(&cw_pool_work(server)->pace, &origin, entry_now_ms(entry));
	cw_pace_merge_momentary(&server->work->pace, announced->momentary,
				sent_ms - announced->momentary_age_ms);
}

static double level_of(const struct cw_server *server, int64_t now_ms)
{
	struct cw_pace_evidence total = cw_pace_total(&server->work->pace, now_ms);

	return cw_pace_reported_level(&total) * cw_pace_learned_level(&total);
}

/* Servers whose level left the noise, or is within it again. */
static void log_changes(const struct entry *entry, int64_t now_ms)
{
	struct cw_server *server;
	unsigned int lines = 0;

	TAILQ_FOREACH(server, cw_pool_worked(cw_gate_pool(entry->gate)), worked_link) {
		struct cw_pace_evidence total = cw_pace_total(&server->work->pace, now_ms);
		double level = level_of(server, now_ms);

		if ((level != CW_PACE_USUAL) == server->work->pace.is_logged)
			continue;
		if (++lines > LOG_LINES_MAX)
			return;
		server->work->pace.is_logged = !server->work->pace.is_logged;
		cw_event("load", "server_pace",
			 "server=%s pace=%.2f reported=%.2f samples=%.0f,%.0f", server->name, level,
			 cw_pace_reported_level(&total), total.reported_weight,
			 total.learned.weight);
	}
}

static int64_t unix_ms(void)
{
	return g_get_real_time() / 1000;
}
