#include "fleet_internal.h"

#include <stdlib.h>
#include <string.h>

int64_t fleet_steady_from_ms(const struct fleet *fleet)
{
	return fleet->options->change_ms / 2;
}

static gint compare_times(gconstpointer one, gconstpointer other)
{
	int64_t first = *(const int64_t *)one;
	int64_t second = *(const int64_t *)other;

	return first < second ? -1 : first > second;
}

/* The 50th, 99th and 100th percentile of times, from since_ms; -1: never. Sorts times. */
static void compute_percentiles(int64_t *times, size_t count, int64_t since_ms,
				int64_t percentiles[3])
{
	static const double shares[] = {0.5, 0.99, 1};

	for (size_t i = 0; i < count; i++)
		times[i] = times[i] < 0 ? G_MAXINT64 : times[i] - since_ms;
	qsort(times, count, sizeof(*times), compare_times);
	for (size_t i = 0; i < G_N_ELEMENTS(shares); i++) {
		size_t index = (size_t)(shares[i] * (double)(count - 1) + 0.5);

		percentiles[i] = times[index] == G_MAXINT64 ? -1 : times[index];
	}
}

void fleet_fill_report(struct fleet *fleet)
{
	size_t instance_count = fleet->options->instance_count;
	int64_t *ready = g_new(int64_t, instance_count);
	int64_t *change = g_new(int64_t, instance_count);
	double seconds = (double)(fleet->options->duration_ms - fleet_steady_from_ms(fleet)) / 1000;
	size_t up_count = 0;

	fleet->report->min_members = instance_count;
	for (size_t i = 0; i < instance_count; i++) {
		struct instance *instance = &fleet->instances[i];

		if (!instance->is_up)
			continue;
		ready[up_count] = instance->ready_ms;
		change[up_count++] = instance->change_ms;
		fleet->report->min_members =
			MIN(fleet->report->min_members, cw_membership_size(instance->membership));
	}
	compute_percentiles(ready, up_count, 0, fleet->report->ready_ms);
	compute_percentiles(change, up_count, fleet->options->change_ms, fleet->report->change_ms);
	fleet->report->messages_per_s = fleet->messages_sent / seconds / (double)instance_count;
	fleet->report->bytes_per_s = fleet->bytes_sent / seconds / (double)instance_count;
	fleet->report->fetches /= (double)instance_count;
	fleet->report->fetches_declined /= (double)instance_count;
	g_free(ready);
	g_free(change);
}
