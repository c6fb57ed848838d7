/* Thread-safe metrics: counters, gauges and histograms, in the Prometheus text format. */
#ifndef CW_COUNTERS_H
#define CW_COUNTERS_H

#include <stdint.h>

void cw_counter_add(const char *name, const char *label,
		    uint64_t add); /* label: key="value" or ""; name: without the metric prefix */
void cw_gauge_set(const char *name, const char *label, uint64_t value);
void cw_histogram_observe_ms(const char *name, const char *label,
			     int64_t ms); /* histogram with fixed bounds from 1 ms to 25 s */
char *cw_counters_format(void);		  /* g_free */

#endif
