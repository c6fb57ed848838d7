/*
 * Appends claims, outcomes and releases to the claims stream in batches, and checkpoints: all
 * claimed keys again, then a floor, before the records that hold them expire. What a restored log
 * has lost is appended again.
 */
#include "node_internal.h"

#include <string.h>

#define APPEND_RETRY_MS		 50
#define CHECKPOINT_RANK_DELAY_MS 500 /* added delay for each rank among the live instances */
#define CHECKPOINT_BATCH_KEYS	 256
#define LOST_BATCH_ENTRIES	 128
#define DOUBT_MS		 3000 /* until the peers have noticed a restored log and written what it lost */

static void append_claim_entries(struct cw_node *node);
static struct claim_entry *claim_entry_create(const struct cw_claim *claim, int kind, int status,
					      const char *answer);
static void claim_entry_destroy(struct claim_entry *entry);
static void schedule_checkpoint(struct cw_node *node);
static int is_checkpoint_due(const struct cw_node *node);
static void append_checkpoint(struct cw_node *node);
static void append_lost_claims(struct cw_node *node, size_t lost_count);

void claims_enqueue(struct cw_node *node, const struct cw_claim *claim, int kind, int status,
		    const char *answer)
{
	struct claim_entry *entry = claim_entry_create(claim, kind, status, answer);

	STAILQ_INSERT_TAIL(&node->claim_entries, entry, link);
}

void claims_tick(struct cw_node *node)
{
	if (!node->claim_entries_ticket && !STAILQ_EMPTY(&node->claim_entries) &&
	    node->now_ms >= node->claim_entries_retry_ms)
		append_claim_entries(node);
	append_lost_claims(node, cw_claims_count_lost(node->claims));
	schedule_checkpoint(node);
}

void claims_handle_append(struct cw_node *node, const struct cw_append_result *appended)
{
	struct claim_entry *entry;

	restore_handle_append(&node->lost_claims_turn, appended);
	if (appended->ticket == node->checkpoint_ticket && node->checkpoint_ticket) {
		node->checkpoint_ticket = 0;
		/* A floor in the log without all of its keys would hide the missing keys. So any
		 * append that was not confirmed starts the checkpoint again. */
		if (appended->status != CW_OK)
			node->checkpoint_floor = 0;
		return;
	}
	if (appended->ticket != node->claim_entries_ticket || !node->claim_entries_ticket)
		return;
	node->claim_entries_ticket = 0;
	if (appended->status != CW_OK) {
		/*
		 * The record may have been stored. Appending the same entries again is harmless: a
		 * claim is identified by its own number, and an outcome or a release counts once.
		 */
		STAILQ_CONCAT(&node->claim_entries_sent, &node->claim_entries);
		STAILQ_CONCAT(&node->claim_entries, &node->claim_entries_sent);
		node->claim_entries_retry_ms = node->now_ms + APPEND_RETRY_MS +
					       (int64_t)(node_random(node) % APPEND_RETRY_MS);
		return;
	}
	STAILQ_FOREACH(entry, &node->claim_entries_sent, link)
		entry->offset = appended->offset;
	STAILQ_CONCAT(&node->claim_entries_unread, &node->claim_entries_sent);
}

/* Entries whose record was lost before it was read back are appended again: a claim is identified
 * by its own number, and an outcome or a release counts once. */
void claims_rewind(struct cw_node *node, uint64_t next_offset)
{
	node->claims_known_end = MAX(node->claims_known_end, cw_claims_offset(node->claims));
	cw_claims_rewind(node->claims, next_offset);
	node->checkpoint_floor = 0;
	STAILQ_CONCAT(&node->claim_entries_unread, &node->claim_entries);
	STAILQ_CONCAT(&node->claim_entries, &node->claim_entries_unread);
	node_log_event(node, "claims", "lost", "next=%" G_GUINT64_FORMAT " count=%zu", next_offset,
		       cw_claims_count_lost(node->claims));
}

void claims_note_read(struct cw_node *node, uint64_t first, uint64_t last)
{
	struct claim_entry_list unread = STAILQ_HEAD_INITIALIZER(unread);
	struct claim_entry *entry;

	while ((entry = STAILQ_FIRST(&node->claim_entries_unread))) {
		STAILQ_REMOVE_HEAD(&node->claim_entries_unread, link);
		if (entry->offset >= first && entry->offset <= last)
			claim_entry_destroy(entry);
		else
			STAILQ_INSERT_TAIL(&unread, entry, link);
	}
	STAILQ_CONCAT(&node->claim_entries_unread, &unread);
}

void claims_note_peer(struct cw_node *node, const struct cw_member *member, uint64_t offset)
{
	uint64_t *end = g_hash_table_lookup(node->peer_claims_ends, &member->id);

	if (end)
		*end = offset;
	else
		g_hash_table_insert(node->peer_claims_ends, node_new_u64(member->id),
				    node_new_u64(offset));
}

uint64_t claims_find_floor(struct cw_node *node)
{
	const struct cw_member *member;
	uint64_t floor = 0;

	TAILQ_FOREACH(member, cw_membership_members(node->membership), link) {
		const uint64_t *end = g_hash_table_lookup(node->peer_claims_ends, &member->id);

		/* A peer that has not noticed the loss knows no more than this instance did. */
		if (end && *end > node->claims_known_end &&
		    cw_membership_is_live(node->membership, member, node->now_ms))
			floor = MAX(floor, *end);
	}
	return floor;
}

/*
 * A claim that is read while lost records are missing from the log may hold its key here but not
 * on an instance that starts later. So no request is sent for it.
 */
int claims_are_guarded(const struct cw_node *node)
{
	return cw_claims_is_complete(node->claims) && cw_claims_count_lost(node->claims) == 0 &&
	       (node->claims_doubted_ms < 0 || node->now_ms - node->claims_doubted_ms > DOUBT_MS);
}

int claims_may_be_guarded(const struct cw_node *node, int64_t until_ms)
{
	const struct log_reader *reader = &node->log_readers[CW_STREAM_CLAIMS];

	if (reader->is_silent || (reader->is_caught_up && !cw_claims_is_complete(node->claims)))
		return 0;
	return node->claims_doubted_ms < 0 || node->claims_doubted_ms + DOUBT_MS < until_ms;
}

void claims_notify_requests(struct cw_node *node)
{
	request_check_claims(node);
}

void claims_close(struct cw_node *node)
{
	struct claim_entry *entry;

	STAILQ_CONCAT(&node->claim_entries, &node->claim_entries_sent);
	STAILQ_CONCAT(&node->claim_entries, &node->claim_entries_unread);
	while ((entry = STAILQ_FIRST(&node->claim_entries))) {
		STAILQ_REMOVE_HEAD(&node->claim_entries, link);
		claim_entry_destroy(entry);
	}
}

/* One append is in progress at a time; entries queued meanwhile share the next one. */
static void append_claim_entries(struct cw_node *node)
{
	struct json_object *record = json_object_new_object();
	struct claim_entry *entry;
	size_t count = 0;

	while (count < CW_CLAIM_BATCH && (entry = STAILQ_FIRST(&node->claim_entries))) {
		STAILQ_REMOVE_HEAD(&node->claim_entries, link);
		STAILQ_INSERT_TAIL(&node->claim_entries_sent, entry, link);
		if (entry->kind == CLAIM_ENTRY_CLAIM)
			cw_claims_add_claim(record, &entry->claim);
		else if (entry->kind == CLAIM_ENTRY_OUTCOME)
			cw_claims_add_outcome(record, &entry->claim, entry->status, entry->answer);
		else
			cw_claims_add_release(record, &entry->claim);
		count++;
	}
	node->claim_entries_ticket = log_append(
		node, CW_STREAM_CLAIMS,
		g_strdup(json_object_to_json_string_ext(record, JSON_C_TO_STRING_PLAIN)));
	json_object_put(record);
}

static struct claim_entry *claim_entry_create(const struct cw_claim *claim, int kind, int status,
					      const char *answer)
{
	struct claim_entry *entry = g_new0(struct claim_entry, 1);

	entry->claim = *claim;
	entry->kind = kind;
	entry->status = status;
	entry->answer = g_strdup(answer);
	return entry;
}

static void claim_entry_destroy(struct claim_entry *entry)
{
	g_free(entry->answer);
	g_free(entry);
}

static void schedule_checkpoint(struct cw_node *node)
{
	size_t rank;

	if (node->checkpoint_ticket)
		return;
	if (node->checkpoint_floor) {
		append_checkpoint(node);
		return;
	}
	if (!is_checkpoint_due(node)) {
		node->checkpoint_due_ms = 0;
		return;
	}
	if (node->checkpoint_due_ms == 0) {
		rank = cw_membership_rank(node->membership,
					  cw_hash_text("kept", cw_claims_floor(node->claims)),
					  node->now_ms);
		node->checkpoint_due_ms =
			node->now_ms + 1 + CHECKPOINT_RANK_DELAY_MS * (int64_t)rank +
			(int64_t)(node_random(node) % CHECKPOINT_RANK_DELAY_MS / 2);
	}
	if (node->now_ms < node->checkpoint_due_ms)
		return;
	node->checkpoint_due_ms = 0;
	node->checkpoint_after = 0;
	node->checkpoint_floor = cw_claims_offset(node->claims) + 1;
	append_checkpoint(node);
}

static int is_checkpoint_due(const struct cw_node *node)
{
	const struct log_reader *reader = &node->log_readers[CW_STREAM_CLAIMS];
	uint64_t floor = cw_claims_floor(node->claims);

	if (!log_is_up(node, CW_STREAM_CLAIMS) || !cw_claims_is_complete(node->claims))
		return 0;
	if (reader->oldest_offset > 1 &&
	    floor < reader->oldest_offset + (reader->next_offset - reader->oldest_offset) / 2)
		return 1;
	/* The checkpointed records age as well, even if no claim was added after the floor. */
	if (cw_claims_count(node->claims) == 0)
		return 0;
	return node->checkpoint_wall_ms &&
	       node->wall_ms - node->checkpoint_wall_ms > node->config.log_retention_ms / 2;
}

static void append_checkpoint(struct cw_node *node)
{
	struct json_object *record = json_object_new_object();
	uint64_t last = node->checkpoint_after;

	if (cw_claims_add_checkpoint(node->claims, record, node->checkpoint_after,
				     CHECKPOINT_BATCH_KEYS, &last) == 0) {
		cw_claims_add_floor(record, node->checkpoint_floor);
		node_log_event(node, "claims", "floor", "floor=%" G_GUINT64_FORMAT,
			       node->checkpoint_floor);
		node->checkpoint_floor = 0;
	}
	node->checkpoint_after = last;
	node->checkpoint_ticket = log_append(
		node, CW_STREAM_CLAIMS,
		g_strdup(json_object_to_json_string_ext(record, JSON_C_TO_STRING_PLAIN)));
	json_object_put(record);
}

static void append_lost_claims(struct cw_node *node, size_t lost_count)
{
	struct json_object *record;
	size_t count;

	if (!restore_is_own_turn(node, &node->lost_claims_turn, CW_STREAM_CLAIMS, lost_count))
		return;
	record = json_object_new_object();
	count = cw_claims_add_lost(node->claims, record, LOST_BATCH_ENTRIES);
	restore_append(node, &node->lost_claims_turn, CW_STREAM_CLAIMS,
		       g_strdup(json_object_to_json_string_ext(record, JSON_C_TO_STRING_PLAIN)),
		       count);
	json_object_put(record);
}
