#include "cw_drain.h"

#include <glib.h>
#include <string.h>

struct drain {
	struct cw_drain_order order;
	int is_seen; /* the current scan found a record of the domain */
};

struct cw_drains {
	struct drain drains[CW_DRAINS_MAX];
	size_t count;
};

static struct drain *find(const struct cw_drains *drains, const char *failure_domain);
static struct drain *add(struct cw_drains *drains, const char *failure_domain);

struct cw_drains *cw_drains_create(void)
{
	return g_new0(struct cw_drains, 1);
}

void cw_drains_destroy(struct cw_drains *drains)
{
	g_free(drains);
}

int cw_drains_apply(struct cw_drains *drains, const struct cw_drain_order *order)
{
	struct drain *drain = find(drains, order->failure_domain);
	int was_drained = drain && drain->order.is_drained;

	if (!drain)
		drain = add(drains, order->failure_domain);
	if (!drain)
		return 0;
	drain->is_seen = 1;
	if (cw_position_compare(order->position, drain->order.position) < 0)
		return 0;
	drain->order.position = order->position;
	drain->order.is_drained = order->is_drained;
	return was_drained != order->is_drained;
}

int cw_drains_is_drained(const struct cw_drains *drains, const char *failure_domain)
{
	const struct drain *drain = find(drains, failure_domain);

	return drain && drain->order.is_drained;
}

int cw_drains_has_order(const struct cw_drains *drains, const char *failure_domain)
{
	return find(drains, failure_domain) != NULL;
}

size_t cw_drains_list(const struct cw_drains *drains, struct cw_drain_order *orders, size_t max)
{
	size_t count = MIN(drains->count, max);

	for (size_t i = 0; i < count; i++)
		orders[i] = drains->drains[i].order;
	return count;
}

void cw_drains_begin_scan(struct cw_drains *drains)
{
	for (size_t i = 0; i < drains->count; i++)
		drains->drains[i].is_seen = 0;
}

/*
 * The record that restored the domain may have been dropped from the history, so its offset is
 * unknown. The last offset before the end of the scan is newer than that of the drain and older
 * than that of any order that follows.
 */
int cw_drains_next_unseen(struct cw_drains *drains, struct cw_position end,
			  struct cw_drain_order *restored)
{
	struct cw_position last = {end.era, end.offset - 1};

	if (end.offset == 0)
		return 0;
	for (size_t i = 0; i < drains->count; i++) {
		struct drain *drain = &drains->drains[i];

		if (!drain->order.is_drained || drain->is_seen ||
		    cw_position_compare(drain->order.position, last) >= 0)
			continue;
		*restored = drain->order;
		restored->position = last;
		restored->is_drained = 0;
		return 1;
	}
	return 0;
}

static struct drain *find(const struct cw_drains *drains, const char *failure_domain)
{
	for (size_t i = 0; i < drains->count; i++)
		if (!strcmp(drains->drains[i].order.failure_domain, failure_domain))
			return (struct drain *)&drains->drains[i];
	return NULL;
}

/* Replaces a restored domain if the table is full; NULL: all domains in it are drained. */
static struct drain *add(struct cw_drains *drains, const char *failure_domain)
{
	struct drain *drain = NULL;

	if (drains->count < CW_DRAINS_MAX)
		drain = &drains->drains[drains->count++];
	for (size_t i = 0; !drain && i < CW_DRAINS_MAX; i++)
		if (!drains->drains[i].order.is_drained)
			drain = &drains->drains[i];
	if (!drain)
		return NULL;
	memset(drain, 0, sizeof(*drain));
	g_strlcpy(drain->order.failure_domain, failure_domain, CW_NAME_MAX);
	return drain;
}
