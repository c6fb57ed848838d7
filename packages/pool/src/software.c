/* The software versions that servers of a service run, and which of them are new. */
#include "pool_internal.h"

#include <string.h>

#define NEW_SOFTWARE_HOLD_MS 2000 /* a new version's roll-out order arrives within this time */
#define LIST_ARRIVAL_MS	     1000 /* all entries of a server list arrive within this time */

/*
 * Servers of a new software version may be listed before this instance knows the roll-out order of
 * the version: within 2 s, 12 requests of sessions on the old version were sent to the new one. A
 * new version therefore gets no requests for NEW_SOFTWARE_HOLD_MS while servers of other versions
 * exist. If no order arrives, its servers are then used like any others.
 */
const char *cw_pool_new_software(const struct cw_pool *pool, const char *service, int64_t now_ms)
{
	for (size_t i = 0; i < pool->software_count; i++) {
		const struct software *software = &pool->software[i];

		if (software->is_new && now_ms - software->first_listed_ms < NEW_SOFTWARE_HOLD_MS &&
		    !strcmp(software->service, service))
			return software->name;
	}
	return NULL;
}

void pool_record_software(struct cw_pool *pool, const struct cw_server_entry *entry, int64_t now_ms)
{
	struct software *software;
	int is_new = 0;

	for (size_t i = 0; i < pool->software_count; i++) {
		software = &pool->software[i];
		if (strcmp(software->service, entry->service) != 0)
			continue;
		if (!strcmp(software->name, entry->software))
			return;
		is_new |= now_ms - software->first_listed_ms > LIST_ARRIVAL_MS;
	}
	if (pool->software_count == SOFTWARE_MAX)
		return;
	software = &pool->software[pool->software_count++];
	g_strlcpy(software->service, entry->service, CW_NAME_MAX);
	g_strlcpy(software->name, entry->software, CW_NAME_MAX);
	software->first_listed_ms = now_ms;
	software->is_new = is_new;
}
