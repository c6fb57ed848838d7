/*
 * A server list that was restored from an older copy. Entries in it may be superseded by records
 * that it lost and that are written again soon: a server that left or was removed is ready there.
 * Such an entry is held. If it is still listed when the list has settled, it counts: by then the
 * entry of a server that writes no more has expired.
 */
#include "pool_internal.h"

#include <string.h>

#define DEPARTED_MAX	      1024
#define DEPARTED_RETENTION_MS 60000 /* longer than a copy is old */

static int is_superseded(const struct cw_pool *pool, const struct cw_server_entry *entry);
static void hold(struct cw_pool *pool, const struct cw_server_entry *entry);
static const struct departed *find_departed(const struct cw_pool *pool, const char *name);
static struct held_entry *find_held(const struct cw_pool *pool, const char *name);
static void free_departed(struct cw_pool *pool, struct departed *departed);
static void free_held(struct cw_pool *pool, struct held_entry *held);

void cw_pool_begin_era(struct cw_pool *pool, int64_t settled_ms, int64_t now_ms)
{
	pool->era_began_ms = now_ms;
	pool->settled_ms = settled_ms;
	while (!TAILQ_EMPTY(&pool->held))
		free_held(pool, TAILQ_FIRST(&pool->held));
}

int cw_pool_hold_entry(struct cw_pool *pool, const struct cw_server_entry *entry, int64_t now_ms)
{
	const struct cw_server *server = cw_pool_find_name(pool, entry->name);

	if (now_ms >= pool->settled_ms || (server && !server->left_ms))
		return 0;
	hold(pool, entry);
	return 1;
}

int pool_hold_if_superseded(struct cw_pool *pool, const struct cw_server_entry *entry,
			    int64_t now_ms)
{
	if (now_ms >= pool->settled_ms || !is_superseded(pool, entry))
		return 0;
	hold(pool, entry);
	return 1;
}

void cw_pool_drop_held(struct cw_pool *pool, const char *name)
{
	struct held_entry *held = find_held(pool, name);

	if (held)
		free_held(pool, held);
}

int cw_pool_next_settled(struct cw_pool *pool, struct cw_server_entry *entry, int64_t now_ms)
{
	struct held_entry *held = TAILQ_FIRST(&pool->held);

	if (!held || now_ms < pool->settled_ms)
		return 0;
	*entry = held->entry;
	free_held(pool, held);
	return 1;
}

size_t cw_pool_held_count(const struct cw_pool *pool)
{
	return pool->held_count;
}

size_t cw_pool_list_held(const struct cw_pool *pool, struct cw_server_entry *entries, size_t max)
{
	const struct held_entry *held;
	size_t count = 0;

	TAILQ_FOREACH(held, &pool->held, link)
		if (count < max)
			entries[count++] = held->entry;
	return count;
}

void pool_note_left(struct cw_server *server, int64_t now_ms)
{
	if (!server->is_leaving)
		server->left_ms = 0;
	else if (!server->left_ms)
		server->left_ms = now_ms;
}

void pool_note_departed(struct cw_pool *pool, const struct cw_server *server)
{
	struct departed *departed;

	if (server->is_superseded)
		return;
	if (pool->departed_count == DEPARTED_MAX)
		free_departed(pool, TAILQ_FIRST(&pool->departed));
	departed = g_new0(struct departed, 1);
	g_strlcpy(departed->name, server->name, CW_NAME_MAX);
	departed->process_start_ms = server->process_start_ms;
	departed->left_ms = server->left_ms;
	TAILQ_INSERT_TAIL(&pool->departed, departed, link);
	pool->departed_count++;
}

void pool_sweep_departed(struct cw_pool *pool, int64_t now_ms)
{
	struct departed *oldest;

	while ((oldest = TAILQ_FIRST(&pool->departed)) &&
	       now_ms - oldest->left_ms >= DEPARTED_RETENTION_MS)
		free_departed(pool, oldest);
}

void pool_free_restored(struct cw_pool *pool)
{
	while (!TAILQ_EMPTY(&pool->departed))
		free_departed(pool, TAILQ_FIRST(&pool->departed));
	while (!TAILQ_EMPTY(&pool->held))
		free_held(pool, TAILQ_FIRST(&pool->held));
}

/* What was learned in the present era is older than any entry that follows. */
static int is_superseded(const struct cw_pool *pool, const struct cw_server_entry *entry)
{
	const struct cw_server *server = cw_pool_find_name((struct cw_pool *)pool, entry->name);
	const struct departed *departed;

	if (entry->is_leaving)
		return 0;
	if (server)
		return server->process_start_ms == entry->process_start_ms && server->left_ms &&
		       server->left_ms < pool->era_began_ms;
	departed = find_departed(pool, entry->name);
	return departed && entry->process_start_ms <= departed->process_start_ms &&
	       departed->left_ms < pool->era_began_ms;
}

static void hold(struct cw_pool *pool, const struct cw_server_entry *entry)
{
	struct held_entry *held = find_held(pool, entry->name);

	if (!held) {
		held = g_new0(struct held_entry, 1);
		TAILQ_INSERT_TAIL(&pool->held, held, link);
		pool->held_count++;
	}
	held->entry = *entry;
}

/* The newest one of the name; NULL: none. */
static const struct departed *find_departed(const struct cw_pool *pool, const char *name)
{
	const struct departed *departed;

	TAILQ_FOREACH_REVERSE(departed, &pool->departed, departed_list, link)
	if (!strcmp(departed->name, name))
		return departed;
	return NULL;
}

static struct held_entry *find_held(const struct cw_pool *pool, const char *name)
{
	struct held_entry *held;

	TAILQ_FOREACH(held, &pool->held, link)
		if (!strcmp(held->entry.name, name))
			return held;
	return NULL;
}

static void free_departed(struct cw_pool *pool, struct departed *departed)
{
	TAILQ_REMOVE(&pool->departed, departed, link);
	pool->departed_count--;
	g_free(departed);
}

static void free_held(struct cw_pool *pool, struct held_entry *held)
{
	TAILQ_REMOVE(&pool->held, held, link);
	pool->held_count--;
	g_free(held);
}
