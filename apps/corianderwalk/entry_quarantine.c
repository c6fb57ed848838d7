/*
 * Connects the quarantine with the rest of the instance: advances its clock, logs changes, aborts
 * requests in progress that were quarantined, and writes records to the shared store, where they
 * outlive all instances. Instances try to write one after another, by rank; the others learn from
 * the first one's announcement that the record was written.
 */
#include "cw_counters.h"
#include "cw_hash.h"
#include "cw_timeline.h"
#include "entry_feed.h"

#define WRITE_STEP_MS  400  /* between two ranks that would write the same record */
#define WRITE_RETRY_MS 1000 /* after a write that failed */

static void report_changes(struct quarantine_sync *sync, int64_t now_ms);
static void log_change(const struct cw_quarantine_change *change);
static void log_outages(struct entry *entry);
static void write_next(struct quarantine_sync *sync, int64_t now_ms);
static void on_written(void *context, enum cw_status status, const char *why);

void quarantine_sync_open(struct quarantine_sync *sync, struct feed *feed)
{
	sync->feed = feed;
	sync->append.done = on_written;
	sync->append.context = sync;
}

void quarantine_sync_close(struct quarantine_sync *sync)
{
	append_cancel(&sync->append);
}

void quarantine_sync_tick(struct quarantine_sync *sync, int64_t now_ms)
{
	cw_quarantine_tick(cw_gate_quarantine(sync->feed->entry->gate), now_ms);
	report_changes(sync, now_ms);
	if (!sync->append.exchange && now_ms >= sync->retry_at_ms)
		write_next(sync, now_ms);
}

static void report_changes(struct quarantine_sync *sync, int64_t now_ms)
{
	struct entry *entry = sync->feed->entry;
	struct cw_quarantine *quarantine = cw_gate_quarantine(entry->gate);
	struct cw_quarantine_record records[CW_QUARANTINE_MAX];
	struct cw_quarantine_change change;
	int has_changes = 0;

	log_outages(entry);
	while (cw_quarantine_next_change(quarantine, &change)) {
		has_changes = 1;
		log_change(&change);
	}
	if (!has_changes)
		return;
	cw_gauge_set("quarantined", "",
		     cw_quarantine_list(quarantine, now_ms, records, CW_QUARANTINE_MAX));
	relay_abort_quarantined(entry);
	peers_announce(entry->peers);
}

static void log_change(const struct cw_quarantine_change *change)
{
	const struct cw_quarantine_record *record = &change->record;
	char label[32];
	char outages[CW_QUARANTINE_EVIDENCE_MAX * 11];

	cw_quarantine_format_outages(change, outages, sizeof(outages));
	g_snprintf(label, sizeof(label), "source=\"%s\"",
		   cw_quarantine_source_name(change->source));
	cw_counter_add(record->is_released ? "quarantine_released" : "quarantine_held", label, 1);
	cw_event("gate", record->is_released ? "quarantine_released" : "quarantined",
		 "fingerprint=%016lx organisation=%s route=%s ends=%u rivals=%u age_ms=%u "
		 "source=%s outages=%s",
		 (unsigned long)record->fingerprint,
		 *record->organisation ? record->organisation : "-",
		 *record->target ? record->target : "-", record->crash_count, change->alternatives,
		 record->age_ms, cw_quarantine_source_name(change->source),
		 *outages ? outages : "-");
}

/* The outages that quarantined lines refer to by number. */
static void log_outages(struct entry *entry)
{
	struct cw_quarantine_outage outage;

	while (cw_quarantine_next_outage(cw_gate_quarantine(entry->gate), &outage)) {
		const struct cw_server *server =
			cw_pool_find(cw_gate_pool(entry->gate), outage.server);

		cw_event("gate", "server_outage", "server=%s outage=%u age_ms=%u finding=%s",
			 server ? server->name : "-", outage.number, outage.age_ms,
			 cw_quarantine_finding_name(outage.finding));
	}
}

static void write_next(struct quarantine_sync *sync, int64_t now_ms)
{
	struct entry *entry = sync->feed->entry;
	struct cw_quarantine_record record;
	GString *bytes;
	size_t rank;

	if (!cw_quarantine_find_unwritten(cw_gate_quarantine(entry->gate), now_ms, &record))
		return;
	rank = peers_rank(entry->peers, record.fingerprint, now_ms);
	if (record.age_ms < WRITE_STEP_MS * rank)
		return;
	bytes = g_string_sized_new(256);
	cw_up_format_quarantine_append(&record, entry->settings.store, bytes);
	sync->fingerprint = record.fingerprint;
	sync->is_released = record.is_released;
	append_begin(&sync->append, sync->feed, bytes);
}

static void on_written(void *context, enum cw_status status, const char *why)
{
	struct quarantine_sync *sync = context;
	struct entry *entry = sync->feed->entry;

	if (status != CW_OK) {
		sync->retry_at_ms = entry_now_ms(entry) + WRITE_RETRY_MS;
		cw_warn("feed", "quarantine_write_lost", "fingerprint=%016lx why=\"%s\"",
			(unsigned long)sync->fingerprint, why);
		return;
	}
	cw_event("feed", "quarantine_written", "fingerprint=%016lx released=%d",
		 (unsigned long)sync->fingerprint, sync->is_released);
	cw_quarantine_mark_written(cw_gate_quarantine(entry->gate), sync->fingerprint,
				   sync->is_released, entry_now_ms(entry));
	peers_announce(entry->peers);
}
