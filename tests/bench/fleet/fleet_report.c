#include "fleet_internal.h"

#include <stdlib.h>
#include <string.h>

int64_t fleet_steady_ms(const struct world *world)
{
	return world->options->change_ms / 2;
}

static gint by_time(gconstpointer one, gconstpointer other)
{
	int64_t first = *(const int64_t *)one;
	int64_t second = *(const int64_t *)other;

	return first < second ? -1 : first > second;
}

/* times of those that are up; -1: never. Until 50, 99 and 100 in 100 of them. */
static void parts_of(int64_t *times, size_t count, int64_t since_ms, int64_t parts[3])
{
	static const double part[] = {0.5, 0.99, 1};

	for (size_t i = 0; i < count; i++)
		times[i] = times[i] < 0 ? G_MAXINT64 : times[i] - since_ms;
	qsort(times, count, sizeof(*times), by_time);
	for (size_t i = 0; i < G_N_ELEMENTS(part); i++) {
		size_t at = (size_t)(part[i] * (double)(count - 1) + 0.5);

		parts[i] = times[at] == G_MAXINT64 ? -1 : times[at];
	}
}

void fleet_report_on(struct world *world)
{
	size_t instances = world->options->instances;
	int64_t *ready = g_new(int64_t, instances);
	int64_t *change = g_new(int64_t, instances);
	double seconds = (double)(world->options->end_ms - fleet_steady_ms(world)) / 1000;
	size_t up = 0;

	world->report->members_least = instances;
	for (size_t i = 0; i < instances; i++) {
		struct node *node = &world->nodes[i];

		if (!node->is_up)
			continue;
		ready[up] = node->ready_ms;
		change[up++] = node->change_ms;
		world->report->members_least =
			MIN(world->report->members_least, cw_membership_size(node->membership));
	}
	parts_of(ready, up, 0, world->report->ready_ms);
	parts_of(change, up, world->options->change_ms, world->report->change_ms);
	world->report->messages = world->messages / seconds / (double)instances;
	world->report->bytes = world->bytes / seconds / (double)instances;
	world->report->fetches /= (double)instances;
	world->report->declined /= (double)instances;
	g_free(ready);
	g_free(change);
}
