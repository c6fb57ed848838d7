/*
 * bench-client IP:PORT [N]: makes N calls (2000) with each HTTP transport, one after another, and
 * prints the median and the 99th percentile of the time to the whole answer.
 */
#include "cw_http_client.h"

#include <glib.h>
#include <stdio.h>
#include <stdlib.h>

static gint compare_doubles(gconstpointer a, gconstpointer b)
{
	double left = *(const double *)a;
	double right = *(const double *)b;

	return left < right ? -1 : left > right;
}

static void measure_transport(const struct cw_http_transport *transport, const char *address,
			      int call_count)
{
	struct cw_http_call call = {.method = "GET",
				    .address = address,
				    .path = "/load",
				    .connect_ms = 1000,
				    .total_ms = 5000,
				    .max_size = 65536};
	double *times_ms = g_new(double, (gsize)call_count);
	int failures = 0;

	for (int i = 0; i < call_count; i++) {
		struct cw_http_answer answer;
		int64_t start_us = g_get_monotonic_time();

		failures += transport->perform(&call, &answer, NULL) != CW_OK;
		times_ms[i] = (double)(g_get_monotonic_time() - start_us) / 1000;
		cw_http_answer_clear(&answer);
	}
	qsort(times_ms, (size_t)call_count, sizeof(double), compare_doubles);
	printf("transport=%s calls=%d failed=%d ms_50=%.3f ms_99=%.3f\n", transport->name,
	       call_count, failures, times_ms[call_count / 2], times_ms[call_count * 99 / 100]);
	g_free(times_ms);
}

int main(int argc, char **argv)
{
	int call_count = argc > 2 ? (int)strtol(argv[2], NULL, 10) : 2000;

	if (argc < 2 || call_count < 1)
		return 2;
	cw_http_open();
	measure_transport(&cw_http_ulfius, argv[1], call_count);
	measure_transport(&cw_http_pooled, argv[1], call_count);
	cw_http_close();
	return 0;
}
