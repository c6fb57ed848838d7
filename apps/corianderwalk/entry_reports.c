/* What backend servers report about themselves in their answers: a log line for each change. */
#include "cw_counters.h"
#include "cw_timeline.h"
#include "entry.h"

#define SOURCE_ANSWER	    "answer" /* in logs, in place of the peer that announced a report */
#define WARNING_INTERVAL_MS 1000

static void log_rate_limit(const struct cw_server *server, const char *source);
static void log_brittleness(const struct cw_server *server, const char *source);
static void log_leaving(const struct cw_server *server, const char *source);
static void log_rest(const struct cw_server *server, int64_t now_ms);
static void log_invalid(struct entry *entry, const struct cw_server *server, const char *field);

void reports_log(struct entry *entry, const struct cw_server *server,
		 const struct cw_response_head *head, const struct cw_report_changes *changes)
{
	if (changes->is_rate_limit_changed)
		log_rate_limit(server, SOURCE_ANSWER);
	if (changes->is_brittleness_changed)
		log_brittleness(server, SOURCE_ANSWER);
	if (changes->is_leaving)
		log_leaving(server, SOURCE_ANSWER);
	if (changes->has_asked_for_rest)
		log_rest(server, entry_now_ms(entry));
	if (head->rate_limit == CW_FIELD_INVALID)
		log_invalid(entry, server, "rate_limit");
	if (head->brittle == CW_FIELD_INVALID)
		log_invalid(entry, server, "brittle");
	if (head->leaving == CW_FIELD_INVALID)
		log_invalid(entry, server, "leaving");
	if (head->rest == CW_FIELD_INVALID)
		log_invalid(entry, server, "rest");
	if (head->momentary == CW_FIELD_INVALID)
		log_invalid(entry, server, "momentary_pace");
}

void reports_merge(struct entry *entry, const struct cw_gossip_reports *message, uint32_t delay_ms)
{
	int64_t now_ms = entry_now_ms(entry);

	for (size_t i = 0; i < message->count; i++) {
		struct cw_server *server =
			cw_pool_find(cw_gate_pool(entry->gate), message->reports[i].server);
		struct cw_rate_limit_report report;
		struct cw_brittle_report brittle;

		if (!server)
			continue;
		cw_gossip_read_report(&message->reports[i], &report, now_ms - delay_ms);
		if (cw_pool_apply_rate_limit(server, &report, now_ms))
			log_rate_limit(server, message->sender);
		cw_gossip_read_brittle(&message->reports[i], &brittle, now_ms - delay_ms);
		if (cw_pool_apply_brittle(server, &brittle, now_ms))
			log_brittleness(server, message->sender);
		if (message->reports[i].is_leaving && cw_pool_report_leaving(server))
			log_leaving(server, message->sender);
	}
}

void reports_update_gauges(const struct entry *entry)
{
	const struct cw_server_reports *reports;
	int64_t now_ms = entry_now_ms(entry);
	uint64_t limited = 0;
	uint64_t leaving = 0;
	uint64_t resting = 0;
	uint64_t brittle = 0;

	TAILQ_FOREACH(reports, cw_pool_reports(cw_gate_pool(entry->gate)), link) {
		limited += cw_pool_is_rate_limited(reports->server) != 0;
		leaving += reports->is_leaving != 0;
		brittle += cw_pool_is_brittle(reports->server) != 0;
		resting += cw_pool_rest_ms(reports->server, now_ms) > 0;
	}
	cw_gauge_set("servers_reporting", "report=\"limit\"", limited);
	cw_gauge_set("servers_reporting", "report=\"leaving\"", leaving);
	cw_gauge_set("servers_reporting", "report=\"rest\"", resting);
	cw_gauge_set("servers_reporting", "report=\"brittle\"", brittle);
}

static void log_rate_limit(const struct cw_server *server, const char *source)
{
	if (!cw_pool_is_rate_limited(server)) {
		cw_event("gate", "server_limit_lifted", "server=%s source=%s", server->name,
			 source);
		return;
	}
	cw_counter_add("server_limits", "", 1);
	cw_event("gate", "server_limit", "server=%s per_s=%.3f source=%s", server->name,
		 server->reports->rate_limit.newest.per_s, source);
}

static void log_brittleness(const struct cw_server *server, const char *source)
{
	if (!cw_pool_is_brittle(server)) {
		cw_event("gate", "server_no_longer_brittle", "server=%s source=%s", server->name,
			 source);
		return;
	}
	cw_counter_add("servers_brittle", "", 1);
	cw_event("gate", "server_brittle", "server=%s tolerated_per_s=%.3f slots=%u source=%s",
		 server->name, server->reports->brittle.newest.tolerated_per_s, server->slots,
		 source);
}

static void log_leaving(const struct cw_server *server, const char *source)
{
	cw_counter_add("servers_leaving", "", 1);
	cw_event("gate", "server_leaving", "server=%s source=%s", server->name, source);
}

static void log_rest(const struct cw_server *server, int64_t now_ms)
{
	cw_counter_add("server_rests", "", 1);
	cw_event("gate", "server_rest", "server=%s rest_ms=%ld", server->name,
		 (long)cw_pool_rest_ms(server, now_ms));
}

/* Such a server's every answer is invalid: one line a second, and a counter of all. */
static void log_invalid(struct entry *entry, const struct cw_server *server, const char *field)
{
	int64_t now_ms = entry_now_ms(entry);

	cw_counter_add("server_reports_invalid", "", 1);
	if (entry->report_warning_ms && now_ms - entry->report_warning_ms < WARNING_INTERVAL_MS)
		return;
	entry->report_warning_ms = now_ms;
	cw_warn("gate", "server_report_invalid", "server=%s field=%s", server->name, field);
}
