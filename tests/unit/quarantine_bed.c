#include "quarantine_bed.h"

struct cw_quarantine_request fixture_make_request(uint64_t fingerprint, const char *organisation)
{
	return (struct cw_quarantine_request){
		.fingerprint = fingerprint, .organisation = organisation, .target = "chat"};
}

void fixture_crash_server(struct cw_quarantine *quarantine, uint64_t fingerprint, uint64_t server,
			  int64_t now_ms)
{
	struct cw_quarantine_request request = fixture_make_request(fingerprint, "museo");

	cw_quarantine_note_break(quarantine, &request, server, fingerprint == POISON ? 50 : 900, 0,
				 now_ms);
	cw_quarantine_note_unreachable(quarantine, server, now_ms);
	cw_quarantine_tick(quarantine, now_ms);
}

/* Ticks as the event loop does. */
void fixture_run_ticks(struct cw_quarantine *quarantine, int64_t from_ms, int64_t to_ms)
{
	for (int64_t now_ms = from_ms; now_ms <= to_ms; now_ms += 100)
		cw_quarantine_tick(quarantine, now_ms);
}

size_t fixture_count_quarantined(const struct cw_quarantine *quarantine)
{
	struct cw_quarantine_record records[CW_QUARANTINE_MAX];

	return cw_quarantine_list(quarantine, NOW, records, CW_QUARANTINE_MAX);
}

/* Sends one message from one instance to another. */
void fixture_announce(struct cw_quarantine *from, struct cw_quarantine *to, int64_t now_ms)
{
	struct cw_quarantine_crash crashes[CW_QUARANTINE_CRASHES_MAX];
	struct cw_quarantine_record records[CW_QUARANTINE_RECORDS_MAX];
	size_t crash_count =
		cw_quarantine_announce_crashes(from, now_ms, crashes, CW_QUARANTINE_CRASHES_MAX);
	size_t record_count =
		cw_quarantine_announce_records(from, now_ms, records, CW_QUARANTINE_RECORDS_MAX);

	for (size_t i = 0; i < crash_count; i++)
		cw_quarantine_merge_crash(to, &crashes[i], now_ms);
	for (size_t i = 0; i < record_count; i++)
		cw_quarantine_merge_record(to, &records[i], CW_QUARANTINE_PEER, now_ms);
}

void fixture_exchange(struct cw_quarantine *from, struct cw_quarantine *to, int64_t from_ms,
		      int64_t to_ms)
{
	for (int64_t now_ms = from_ms; now_ms < to_ms; now_ms += 100) {
		cw_quarantine_tick(from, now_ms);
		cw_quarantine_tick(to, now_ms);
		fixture_announce(from, to, now_ms);
	}
}
