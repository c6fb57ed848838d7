/* Fixture of the quarantine tests: simulated crashes, time and messages between instances. */
#ifndef QUARANTINE_BED_H
#define QUARANTINE_BED_H

#include "cw_quarantine.h"
#include "unit.h"

#define NOW	    100000
#define POISON	    7
#define HARMLESS    1000 /* first fingerprint of the harmless requests */
#define DECISION_MS 1400 /* ms until a decision has been made and announced */

struct cw_quarantine_request fixture_make_request(uint64_t fingerprint, const char *organisation);
void fixture_crash_server(struct cw_quarantine *quarantine, uint64_t fingerprint, uint64_t server,
			  int64_t now_ms); /* one crash, confirmed as unreachable */
void fixture_run_ticks(struct cw_quarantine *quarantine, int64_t from_ms, int64_t to_ms);
size_t fixture_count_quarantined(const struct cw_quarantine *quarantine);
void fixture_announce(struct cw_quarantine *from, struct cw_quarantine *to, int64_t now_ms);
void fixture_exchange(struct cw_quarantine *from, struct cw_quarantine *to, int64_t from_ms,
		      int64_t to_ms); /* both tick, then from announces to the other */

#endif
