#include "cw_tail.h"

#include <glib.h>

struct cw_tail {
	GQueue records; /* of struct cw_change, of consecutive offsets */
};

static const struct cw_change *newest(const struct cw_tail *tail);

struct cw_tail *cw_tail_create(void)
{
	struct cw_tail *tail = g_new0(struct cw_tail, 1);

	g_queue_init(&tail->records);
	return tail;
}

void cw_tail_destroy(struct cw_tail *tail)
{
	if (!tail)
		return;
	cw_tail_clear(tail);
	g_free(tail);
}

void cw_tail_add(struct cw_tail *tail, const struct cw_change *change)
{
	const struct cw_change *last = newest(tail);

	if (last && change->offset != last->offset + 1)
		cw_tail_clear(tail);
	g_queue_push_tail(&tail->records, g_memdup2(change, sizeof(*change)));
	if (tail->records.length > CW_TAIL_CHANGES)
		g_free(g_queue_pop_head(&tail->records));
}

void cw_tail_clear(struct cw_tail *tail)
{
	while (tail->records.length > 0)
		g_free(g_queue_pop_head(&tail->records));
}

size_t cw_tail_since(const struct cw_tail *tail, uint64_t from, struct cw_change *changes,
		     size_t max)
{
	const struct cw_change *last = newest(tail);
	size_t count;
	GList *at;

	if (!last || from > last->offset)
		return 0;
	count = (size_t)(last->offset - from) + 1;
	if (count > tail->records.length || count > max)
		return 0;
	at = tail->records.tail;
	for (size_t i = count; i-- > 0; at = at->prev)
		changes[i] = *(const struct cw_change *)at->data;
	return count;
}

/* NULL: the tail is empty. */
static const struct cw_change *newest(const struct cw_tail *tail)
{
	return tail->records.tail ? tail->records.tail->data : NULL;
}
