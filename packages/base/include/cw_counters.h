/* Thread-safe metrics: counters, gauges and histograms, in the Prometheus text format. */
#ifndef CW_COUNTERS_H
#define CW_COUNTERS_H

#include <stdint.h>

void cw_count(const char *name, const char *label,
	      uint64_t add); /* label: key="value" or ""; name: without the metric prefix */
void cw_gauge(const char *name, const char *label, uint64_t value);
void cw_observe_ms(const char *name, const char *label,
		   int64_t ms); /* histogram with fixed bounds from 1 ms to 25 s */
char *cw_counters_text(void);	/* g_free */

#endif
