/*
 * How the memory and the sockets of this machine are divided: between callers, peers, the calls of
 * the platform, and what this instance opens itself.
 */
#include "cw_counters.h"
#include "entry.h"

#include <sys/resource.h>

#define DEFAULT_MEMORY_BYTES (256 * 1024 * 1024) /* unless the settings state it */
#define BASE_BYTES	     (24 * 1024 * 1024)	 /* of the process without callers */
#define HELD_PART	     0.65 /* of the rest, for all that callers make it hold */
#define HELD_LEAST_PART	     0.25 /* of a machine's memory that is smaller than that */
#define RECEIVE_PART	     4096 /* of the memory, for what the kernel keeps unread of a caller */
#define RECEIVE_LEAST	     (8 * 1024)
#define RECEIVE_MOST	     (64 * 1024)
#define CALLERS_PART	     0.5   /* of the sockets */
#define PEERS_PART	     0.125 /* of the sockets, for their requests */
#define CALLS_MAX	     16	   /* connections to each address that only the platform calls */
#define OWN_SOCKETS	     40	   /* listeners, the loop, the store, messages between instances */
#define SERVERS_LEAST	     8
#define BUSY_PART	     0.75 /* of the connections to servers: some are for probes and peers */
#define FILES_KEPT	     200  /* of the process's limit, if the settings state none */

static size_t max_sockets(const struct entry *entry);
static size_t max_callers(const struct entry *entry);
static size_t max_peers(const struct entry *entry);
static size_t max_server_connections(const struct entry *entry);

int64_t entry_memory_bytes(const struct entry *entry)
{
	int64_t bytes = entry->settings.memory_bytes;

	return bytes > 0 ? bytes : DEFAULT_MEMORY_BYTES;
}

size_t entry_held_limit(const struct entry *entry)
{
	double memory = (double)entry_memory_bytes(entry);

	return (size_t)MAX((memory - BASE_BYTES) * HELD_PART, memory * HELD_LEAST_PART);
}

void entry_limit_listener(const struct entry *entry, struct cw_listener *listener)
{
	int64_t bytes = entry_memory_bytes(entry) / RECEIVE_PART;

	cw_listener_set_quota(listener, entry->quota,
			      (size_t)CLAMP(bytes, RECEIVE_LEAST, RECEIVE_MOST));
}

void entry_limit_sockets(struct entry *entry)
{
	cw_listener_set_max_connections(entry->caller_listener, max_callers(entry));
	cw_listener_set_max_connections(entry->ready_listener, CALLS_MAX);
	cw_listener_set_max_connections(entry->metrics_listener, CALLS_MAX);
	feed_set_max_connections(entry->feed, max_peers(entry));
	cw_client_set_max_connections(entry->server_client, max_server_connections(entry));
}

int entry_may_send(const struct entry *entry)
{
	return (double)cw_client_count_busy(entry->server_client) <
	       (double)max_server_connections(entry) * BUSY_PART;
}

void limits_update_gauges(const struct entry *entry)
{
	const struct cw_quota_counts *counts = cw_quota_counts(entry->quota);

	cw_gauge_set("held_bytes", "", cw_quota_held_bytes(entry->quota));
	cw_gauge_set("held_bytes_limit", "", entry_held_limit(entry));
	cw_gauge_set("callers_yielded", "how=\"rejected\"", counts->rejected);
	cw_gauge_set("callers_yielded", "how=\"dropped\"", counts->dropped);
	cw_gauge_set("callers_yielded", "how=\"closed\"", counts->closed);
	cw_gauge_set("callers_yielded", "how=\"evicted\"", counts->evicted);
	cw_gauge_set("callers_yielded", "how=\"refused\"", counts->refused);
	cw_gauge_set("caller_connections", "",
		     cw_listener_count_connections(entry->caller_listener));
	cw_gauge_set("caller_connections_limit", "", max_callers(entry));
	cw_gauge_set("server_connections", "", cw_client_count_connections(entry->server_client));
	cw_gauge_set("server_connections_limit", "", max_server_connections(entry));
}

static size_t max_sockets(const struct entry *entry)
{
	struct rlimit limit;

	if (entry->settings.max_sockets > 0)
		return (size_t)entry->settings.max_sockets;
	if (getrlimit(RLIMIT_NOFILE, &limit) || limit.rlim_cur <= FILES_KEPT)
		return FILES_KEPT;
	return limit.rlim_cur - FILES_KEPT;
}

static size_t max_callers(const struct entry *entry)
{
	return (size_t)((double)max_sockets(entry) * CALLERS_PART);
}

static size_t max_peers(const struct entry *entry)
{
	return (size_t)((double)max_sockets(entry) * PEERS_PART);
}

static size_t max_server_connections(const struct entry *entry)
{
	size_t taken = max_callers(entry) + max_peers(entry) + 2 * CALLS_MAX + OWN_SOCKETS;

	return MAX(max_sockets(entry), taken + SERVERS_LEAST) - taken;
}
