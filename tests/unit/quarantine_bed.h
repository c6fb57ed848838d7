/* What the tests of requests that end servers start from: ends, time, messages. */
#ifndef QUARANTINE_BED_H
#define QUARANTINE_BED_H

#include "cw_quarantine.h"
#include "unit.h"

#define NOW	 100000
#define DEADLY	 7
#define HARMLESS 1000 /* and up: each another request */
#define LATER	 1400 /* ms by which a judgement is made and told */

struct cw_quarantine_request bed_request(uint64_t fingerprint, const char *organisation);
void bed_broke(struct cw_quarantine *quarantine, uint64_t fingerprint, uint64_t server,
	       int64_t now_ms); /* one end, confirmed by what follows it */
void bed_pass(struct cw_quarantine *quarantine, int64_t from_ms, int64_t to_ms);
size_t bed_held(const struct cw_quarantine *quarantine);
void bed_tell(struct cw_quarantine *from, struct cw_quarantine *to, int64_t now_ms);
void bed_talk(struct cw_quarantine *from, struct cw_quarantine *to, int64_t from_ms,
	      int64_t to_ms); /* both live on, one tells the other each time */

#endif
