/* Own counters, safe from any thread, printed in the Prometheus text format. */
#ifndef CW_COUNTERS_H
#define CW_COUNTERS_H

#include <stdint.h>

void cw_count(const char *name, const char *label,
	      uint64_t add); /* label: key="value" or ""; name without prefix */
void cw_gauge(const char *name, const char *label, uint64_t value);
void cw_observe_ms(const char *name, const char *label,
		   int64_t ms); /* a histogram of times, with fixed bounds from 1 ms to 25 s */
char *cw_counters_text(void);	/* caller frees with g_free */

#endif
