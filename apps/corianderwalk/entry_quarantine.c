/*
 * What the list of held requests needs of the rest: time, lines in the log, requests under way that
 * are to be ended, and the store, in which the list outlives all instances. Instances try to write
 * one after another, by rank; the others hear of it from the first.
 */
#include "cw_counters.h"
#include "cw_hash.h"
#include "cw_timeline.h"
#include "entry_feed.h"

#define STEP_MS	 400  /* between two instances that would write the same */
#define AGAIN_MS 1000 /* after a write that failed */

static void take_changes(struct holding *holding, int64_t now_ms);
static void log_change(const struct cw_quarantine_change *change);
static void write_next(struct holding *holding, int64_t now_ms);
static void on_written(void *context, enum cw_status status, const char *why);

void holding_open(struct holding *holding, struct feed *feed)
{
	holding->feed = feed;
	holding->append.done = on_written;
	holding->append.context = holding;
}

void holding_close(struct holding *holding)
{
	append_cancel(&holding->append);
}

void holding_tick(struct holding *holding, int64_t now_ms)
{
	cw_quarantine_tick(cw_gate_quarantine(holding->feed->entry->gate), now_ms);
	take_changes(holding, now_ms);
	if (!holding->append.exchange && now_ms >= holding->again_ms)
		write_next(holding, now_ms);
}

static void take_changes(struct holding *holding, int64_t now_ms)
{
	struct entry *entry = holding->feed->entry;
	struct cw_quarantine *quarantine = cw_gate_quarantine(entry->gate);
	struct cw_quarantine_record records[CW_QUARANTINE_MAX];
	struct cw_quarantine_change change;
	int any = 0;

	while (cw_quarantine_next_change(quarantine, &change)) {
		any = 1;
		log_change(&change);
	}
	if (!any)
		return;
	cw_gauge("quarantined", "",
		 cw_quarantine_list(quarantine, now_ms, records, CW_QUARANTINE_MAX));
	relay_stop_held(entry);
	peers_tell(entry->peers);
}

static void log_change(const struct cw_quarantine_change *change)
{
	const struct cw_quarantine_record *record = &change->record;
	char label[32];

	g_snprintf(label, sizeof(label), "source=\"%s\"",
		   cw_quarantine_source_name(change->source));
	cw_count(record->is_released ? "quarantine_released" : "quarantine_held", label, 1);
	cw_event("gate", record->is_released ? "quarantine_released" : "quarantined",
		 "fingerprint=%016lx organisation=%s route=%s ends=%u rivals=%u age_ms=%u "
		 "source=%s",
		 (unsigned long)record->fingerprint,
		 *record->organisation ? record->organisation : "-",
		 *record->target ? record->target : "-", record->ends, change->alternatives,
		 record->age_ms, cw_quarantine_source_name(change->source));
}

static void write_next(struct holding *holding, int64_t now_ms)
{
	struct entry *entry = holding->feed->entry;
	struct cw_quarantine_record record;
	GString *bytes;
	size_t rank;

	if (!cw_quarantine_find_unwritten(cw_gate_quarantine(entry->gate), now_ms, &record))
		return;
	rank = peers_rank(entry->peers, record.fingerprint, now_ms);
	if (record.age_ms < STEP_MS * rank)
		return;
	bytes = g_string_sized_new(256);
	cw_up_format_quarantine_append(&record, entry->settings.store, bytes);
	holding->fingerprint = record.fingerprint;
	holding->is_released = record.is_released;
	append_begin(&holding->append, holding->feed, bytes);
}

static void on_written(void *context, enum cw_status status, const char *why)
{
	struct holding *holding = context;
	struct entry *entry = holding->feed->entry;

	if (status != CW_OK) {
		holding->again_ms = entry_now_ms(entry) + AGAIN_MS;
		cw_warn("feed", "quarantine_write_lost", "fingerprint=%016lx why=\"%s\"",
			(unsigned long)holding->fingerprint, why);
		return;
	}
	cw_event("feed", "quarantine_written", "fingerprint=%016lx released=%d",
		 (unsigned long)holding->fingerprint, holding->is_released);
	cw_quarantine_mark_written(cw_gate_quarantine(entry->gate), holding->fingerprint,
				   holding->is_released, entry_now_ms(entry));
	peers_tell(entry->peers);
}
