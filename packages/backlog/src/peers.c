#include "cw_backlog_peers.h"

#include <glib.h>
#include <string.h>

/* One peer's newest state of one server. */
struct entry {
	struct cw_backlog_report report;
	uint32_t sequence; /* of the message that it came with */
	int64_t received_ms;
};

struct origin {
	uint64_t instance;
	uint64_t boot;
	uint32_t sequence;	  /* of the newest complete message; 0: none yet */
	uint32_t unread_sequence; /* of the newest one that names all unread prompts */
	int is_numbered;	  /* a message with a sequence number was merged */
	int64_t received_ms;
	GArray *entries; /* of struct entry */
};

/* Sum over all peers for one server. */
struct sum {
	uint64_t server;
	struct cw_backlog_share share;
};

struct cw_backlog_peers {
	GHashTable *origins; /* instance -> struct origin */
	GHashTable *sums;    /* server -> struct sum */
};

static void free_origin(gpointer origin);
static struct origin *get_origin(struct cw_backlog_peers *peers,
				 const struct cw_backlog_message *message);
static void clear(struct cw_backlog_peers *peers, struct origin *origin, uint32_t up_to);
static void expire_entries(struct cw_backlog_peers *peers, struct origin *origin,
			   int64_t before_ms);
static void remove_entry(struct cw_backlog_peers *peers, struct origin *origin, guint index);
static void merge_report(struct cw_backlog_peers *peers, struct origin *origin,
			 const struct cw_backlog_report *report, uint32_t sequence, int64_t now_ms);
static void merge_running(struct cw_backlog_peers *peers, struct origin *origin,
			  const struct cw_backlog_message *message, int64_t now_ms);
static void clear_unread(struct cw_backlog_peers *peers, struct origin *origin);
static struct cw_backlog_share bounded(const struct cw_backlog_share *share);
static struct entry *find_entry(struct origin *origin, uint64_t server);
static void change_sum(struct cw_backlog_peers *peers, uint64_t server,
		       const struct cw_backlog_share *before, const struct cw_backlog_share *after);
static int is_newer(uint32_t sequence, uint32_t than);

struct cw_backlog_peers *cw_backlog_peers_create(void)
{
	struct cw_backlog_peers *peers = g_new0(struct cw_backlog_peers, 1);

	peers->origins = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, free_origin);
	peers->sums = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
	return peers;
}

void cw_backlog_peers_destroy(struct cw_backlog_peers *peers)
{
	if (!peers)
		return;
	g_hash_table_destroy(peers->origins);
	g_hash_table_destroy(peers->sums);
	g_free(peers);
}

int cw_backlog_peers_merge(struct cw_backlog_peers *peers, const struct cw_backlog_message *message,
			   int64_t now_ms)
{
	struct origin *origin = get_origin(peers, message);

	if (!origin)
		return 0;
	if (origin->is_numbered && message->sequence == 0) {
		merge_running(peers, origin, message, now_ms);
		return 0;
	}
	if (origin->sequence > 0 && !is_newer(message->sequence, origin->sequence))
		return 0;
	origin->is_numbered = message->sequence > 0;
	origin->received_ms = MAX(origin->received_ms, now_ms);
	if (message->is_complete) {
		origin->sequence = message->sequence;
		clear(peers, origin, message->sequence);
	}
	for (size_t i = 0; i < message->count; i++)
		merge_report(peers, origin, &message->reports[i], message->sequence, now_ms);
	if (message->names_unread && is_newer(message->sequence, origin->unread_sequence))
		origin->unread_sequence = message->sequence;
	clear_unread(peers, origin);
	return 1;
}

void cw_backlog_peers_expire(struct cw_backlog_peers *peers, int64_t before_ms)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, peers->origins);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct origin *origin = value;

		expire_entries(peers, origin, before_ms);
		if (origin->received_ms < before_ms && origin->entries->len == 0)
			g_hash_table_iter_remove(&iter);
	}
}

int cw_backlog_peers_sum(const struct cw_backlog_peers *peers, uint64_t server,
			 struct cw_backlog_share *share)
{
	const struct sum *sum = g_hash_table_lookup(peers->sums, &server);

	*share = sum ? sum->share : (struct cw_backlog_share){0};
	return sum != NULL;
}

void cw_backlog_peers_each(const struct cw_backlog_peers *peers,
			   void (*visit)(void *context, uint64_t server,
					 const struct cw_backlog_share *sum),
			   void *context)
{
	static const struct cw_backlog_share none;
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, peers->sums);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct sum *sum = value;

		visit(context, sum->server, &sum->share);
		if (!memcmp(&sum->share, &none, sizeof(none)))
			g_hash_table_iter_remove(&iter);
	}
}

size_t cw_backlog_peers_bytes(const struct cw_backlog_peers *peers)
{
	size_t bytes = g_hash_table_size(peers->sums) * sizeof(struct sum);
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, peers->origins);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		bytes += sizeof(struct origin) +
			 ((struct origin *)value)->entries->len * sizeof(struct entry);
	return bytes;
}

static void free_origin(gpointer value)
{
	struct origin *origin = value;

	g_array_unref(origin->entries);
	g_free(origin);
}

/*
 * A peer that restarted has none of the requests of its earlier start. Which of two starts is the
 * later one is known by the complete messages: a single delayed note must not revive the earlier.
 */
static struct origin *get_origin(struct cw_backlog_peers *peers,
				 const struct cw_backlog_message *message)
{
	struct origin *origin = g_hash_table_lookup(peers->origins, &message->instance);

	if (origin && origin->boot == message->boot)
		return origin;
	if (origin && !message->is_complete)
		return NULL;
	if (!origin) {
		origin = g_new0(struct origin, 1);
		origin->instance = message->instance;
		origin->entries = g_array_new(FALSE, FALSE, sizeof(struct entry));
		g_hash_table_insert(peers->origins, &origin->instance, origin);
	}
	clear(peers, origin, 0);
	origin->boot = message->boot;
	origin->sequence = origin->unread_sequence = 0;
	origin->is_numbered = 0;
	return origin;
}

/* Removes the entries of messages up to that sequence number; 0: all. */
static void clear(struct cw_backlog_peers *peers, struct origin *origin, uint32_t up_to)
{
	for (guint i = origin->entries->len; i-- > 0;)
		if (up_to == 0 ||
		    !is_newer(g_array_index(origin->entries, struct entry, i).sequence, up_to))
			remove_entry(peers, origin, i);
}

static void expire_entries(struct cw_backlog_peers *peers, struct origin *origin, int64_t before_ms)
{
	for (guint i = origin->entries->len; i-- > 0;)
		if (g_array_index(origin->entries, struct entry, i).received_ms < before_ms)
			remove_entry(peers, origin, i);
}

static void remove_entry(struct cw_backlog_peers *peers, struct origin *origin, guint index)
{
	static const struct cw_backlog_share none;
	const struct entry *entry = &g_array_index(origin->entries, struct entry, index);

	change_sum(peers, entry->report.server, &entry->report.share, &none);
	g_array_remove_index_fast(origin->entries, index);
}

static void merge_report(struct cw_backlog_peers *peers, struct origin *origin,
			 const struct cw_backlog_report *report, uint32_t sequence, int64_t now_ms)
{
	struct entry *entry = find_entry(origin, report->server);
	struct entry added = {.report.server = report->server};

	if (!entry) {
		if (origin->entries->len >= CW_BACKLOG_SERVERS)
			return;
		g_array_append_val(origin->entries, added);
		entry = &g_array_index(origin->entries, struct entry, origin->entries->len - 1);
	} else if (entry->sequence > 0 && !is_newer(sequence, entry->sequence)) {
		return;
	}
	added.report.share = bounded(&report->share);
	change_sum(peers, report->server, &entry->report.share, &added.report.share);
	entry->report = added.report;
	entry->sequence = sequence;
	entry->received_ms = now_ms;
}

/* An earlier build announces any number, and the sum of a few would begin anew at 0. */
static struct cw_backlog_share bounded(const struct cw_backlog_share *share)
{
	return (struct cw_backlog_share){
		.running = MIN(share->running, CW_BACKLOG_REQUESTS_MAX),
		.unread = MIN(share->unread, CW_BACKLOG_REQUESTS_MAX),
		.unread_ms = MIN(share->unread_ms, CW_BACKLOG_UNREAD_MS_MAX),
		.tokens = MIN(share->tokens, CW_BACKLOG_TOKENS_MAX),
	};
}

/*
 * A trimmed message names all servers at which the peer has requests, but neither their tokens nor
 * which prompts are long. With hundreds of instances it comes more often than a full one.
 */
static void merge_running(struct cw_backlog_peers *peers, struct origin *origin,
			  const struct cw_backlog_message *message, int64_t now_ms)
{
	for (guint i = 0; i < origin->entries->len; i++) {
		struct entry *entry = &g_array_index(origin->entries, struct entry, i);
		struct cw_backlog_share share = entry->report.share;

		share.running = 0;
		change_sum(peers, entry->report.server, &entry->report.share, &share);
		entry->report.share = share;
	}
	for (size_t i = 0; i < message->count; i++) {
		struct cw_backlog_report report = {.server = message->reports[i].server};
		struct entry *entry = find_entry(origin, report.server);

		if (entry)
			report.share = entry->report.share;
		report.share.running = message->reports[i].share.running;
		if (!entry || entry->sequence == 0) {
			merge_report(peers, origin, &report, 0, now_ms);
			continue;
		}
		report.share = bounded(&report.share);
		change_sum(peers, report.server, &entry->report.share, &report.share);
		entry->report = report;
	}
}

/* Prompts at servers that a later message doesn't name have begun: the note on that was lost. */
static void clear_unread(struct cw_backlog_peers *peers, struct origin *origin)
{
	for (guint i = 0; i < origin->entries->len; i++) {
		struct entry *entry = &g_array_index(origin->entries, struct entry, i);
		struct cw_backlog_share share = entry->report.share;

		if (share.unread == 0 || entry->sequence == 0 ||
		    !is_newer(origin->unread_sequence, entry->sequence))
			continue;
		share.unread = share.unread_ms = 0;
		change_sum(peers, entry->report.server, &entry->report.share, &share);
		entry->report.share = share;
	}
}

static struct entry *find_entry(struct origin *origin, uint64_t server)
{
	for (guint i = 0; i < origin->entries->len; i++) {
		struct entry *entry = &g_array_index(origin->entries, struct entry, i);

		if (entry->report.server == server)
			return entry;
	}
	return NULL;
}

/* Unsigned sums of the same numbers are exact, in any order. */
static void change_sum(struct cw_backlog_peers *peers, uint64_t server,
		       const struct cw_backlog_share *before, const struct cw_backlog_share *after)
{
	struct sum *sum = g_hash_table_lookup(peers->sums, &server);

	if (!sum) {
		sum = g_new0(struct sum, 1);
		sum->server = server;
		g_hash_table_insert(peers->sums, &sum->server, sum);
	}
	sum->share.running += after->running - before->running;
	sum->share.unread += after->unread - before->unread;
	sum->share.unread_ms += after->unread_ms - before->unread_ms;
	sum->share.tokens += after->tokens - before->tokens;
}

static int is_newer(uint32_t sequence, uint32_t than)
{
	return (int32_t)(sequence - than) > 0;
}
