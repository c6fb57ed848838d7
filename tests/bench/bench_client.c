/* bench-client IP:PORT N: N whole answers by each transport, one after another; prints medians. */
#include "cw_http_client.h"

#include <glib.h>
#include <stdio.h>
#include <stdlib.h>

static gint compare(gconstpointer a, gconstpointer b)
{
	double left = *(const double *)a;
	double right = *(const double *)b;

	return left < right ? -1 : left > right;
}

static void measure(const struct cw_http_transport *transport, const char *address, int count)
{
	struct cw_http_call call = {.method = "GET",
				    .address = address,
				    .path = "/load",
				    .connect_ms = 1000,
				    .total_ms = 5000,
				    .max_size = 65536};
	double *ms = g_new(double, (gsize)count);
	int failed = 0;

	for (int i = 0; i < count; i++) {
		struct cw_http_answer answer;
		int64_t start_us = g_get_monotonic_time();

		failed += transport->perform(&call, &answer, NULL) != CW_OK;
		ms[i] = (double)(g_get_monotonic_time() - start_us) / 1000;
		cw_http_answer_clear(&answer);
	}
	qsort(ms, (size_t)count, sizeof(double), compare);
	printf("transport=%s calls=%d failed=%d ms_50=%.3f ms_99=%.3f\n", transport->name, count,
	       failed, ms[count / 2], ms[count * 99 / 100]);
	g_free(ms);
}

int main(int argc, char **argv)
{
	int count = argc > 2 ? (int)strtol(argv[2], NULL, 10) : 2000;

	if (argc < 2 || count < 1)
		return 2;
	cw_http_open();
	measure(&cw_http_ulfius, argv[1], count);
	measure(&cw_http_pooled, argv[1], count);
	cw_http_close();
	return 0;
}
