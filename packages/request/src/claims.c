#include "cw_claims.h"
#include "cw_hash.h"

#include <glib.h>
#include <json-c/json.h>
#include <string.h>
#include <sys/queue.h>

#define STEP "claims.fold"

struct entry {
	TAILQ_ENTRY(entry) link; /* in the order of offset */
	uint64_t key;
	uint64_t offset;    /* log offset of the claim that holds the key */
	uint64_t holder;    /* id of that claim */
	uint64_t body_hash; /* hash of the request */
	int64_t time_ms;    /* when the claim was recorded, on the log's clock */
	enum cw_claim_state state;
	int status;   /* HTTP status of the outcome */
	char *answer; /* body of the outcome, NULL if unknown or too long to keep */
};

TAILQ_HEAD(claim_entry_list, entry);

struct cw_claims {
	uint64_t offset;	 /* of the last record applied */
	uint64_t first_offset;	 /* where reading began */
	uint64_t floor;		 /* largest floor read */
	int64_t first_record_ms; /* log time of the first record read, -1 none */
	int64_t log_time_ms;	 /* largest log time read */
	int64_t window_ms;
	size_t max_keys;
	GHashTable *by_key;
	GHashTable *released_claims; /* claim id -> log time of its release, kept for the window */
	struct claim_entry_list by_offset;
};

static void apply_claim(struct cw_claims *claims, struct json_object *item);
static void apply_release(struct cw_claims *claims, struct json_object *item);
static void apply_outcome(struct cw_claims *claims, struct json_object *item);
static void apply_checkpoint(struct cw_claims *claims, struct json_object *item);
static void for_each_item(struct cw_claims *claims, struct json_object *record,
			  const char *array_name,
			  void (*apply)(struct cw_claims *claims, struct json_object *item));
static void set_outcome(struct entry *entry, struct json_object *item);
static struct entry *entry_insert(struct cw_claims *claims, struct json_object *item,
				  uint64_t offset, int64_t time_ms);
static void remove_expired(struct cw_claims *claims);
static uint64_t get_number(struct json_object *item, const char *key);
static gboolean is_expired(gpointer claim, gpointer time_ms, gpointer cutoff_ms);
static void entry_remove(struct cw_claims *claims, struct entry *entry);
static uint64_t get_hex(struct json_object *item, const char *key);
static struct json_object *add_item(struct json_object *record, const char *array_name,
				    const struct cw_claim *claim);
static void add_hex(struct json_object *item, const char *key, uint64_t value);

uint64_t cw_claims_key(const char *organisation, const char *service, const char *idempotency_key)
{
	uint64_t key = cw_hash_text(organisation, 3);

	key = cw_hash_text(service, key);
	return cw_hash_text(idempotency_key, key);
}

struct cw_claims *cw_claims_create(size_t max_keys, int64_t window_ms)
{
	struct cw_claims *claims = g_new0(struct cw_claims, 1);

	claims->first_offset = 1;
	claims->floor = 1;
	claims->first_record_ms = -1;
	claims->window_ms = window_ms;
	claims->max_keys = max_keys;
	claims->by_key = g_hash_table_new(g_int64_hash, g_int64_equal);
	claims->released_claims =
		g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, g_free);
	TAILQ_INIT(&claims->by_offset);
	return claims;
}

void cw_claims_destroy(struct cw_claims *claims)
{
	struct entry *entry;

	if (!claims)
		return;
	while ((entry = TAILQ_FIRST(&claims->by_offset)))
		entry_remove(claims, entry);
	g_hash_table_destroy(claims->by_key);
	g_hash_table_destroy(claims->released_claims);
	g_free(claims);
}

enum cw_status cw_claims_apply_record(struct cw_claims *claims, uint64_t offset, int64_t time_ms,
				      const char *record, struct cw_error *error)
{
	struct json_object *parsed;
	uint64_t floor;

	if (offset != claims->offset + 1)
		return cw_error_set(error, CW_INVALID, STEP, "",
				    "offset %" G_GUINT64_FORMAT
				    " does not follow %" G_GUINT64_FORMAT,
				    offset, claims->offset);
	claims->offset = offset;
	claims->log_time_ms = MAX(claims->log_time_ms, time_ms);
	if (claims->first_record_ms < 0)
		claims->first_record_ms = time_ms;
	remove_expired(claims);
	parsed = json_tokener_parse(record);
	for_each_item(claims, parsed, "outcomes", apply_outcome);
	for_each_item(claims, parsed, "releases", apply_release);
	for_each_item(claims, parsed, "kept", apply_checkpoint);
	for_each_item(claims, parsed, "claims", apply_claim);
	floor = get_number(parsed, "floor");
	claims->floor = MAX(claims->floor, floor);
	json_object_put(parsed);
	return CW_OK;
}

void cw_claims_start_at(struct cw_claims *claims, uint64_t next_offset)
{
	claims->offset = next_offset - 1;
	claims->first_offset = next_offset;
	claims->first_record_ms = -1;
}

int cw_claims_is_complete(const struct cw_claims *claims)
{
	if (claims->first_offset <= claims->floor)
		return 1;
	return claims->first_record_ms >= 0 &&
	       claims->log_time_ms - claims->first_record_ms >= claims->window_ms;
}

int cw_claims_is_full(const struct cw_claims *claims)
{
	return g_hash_table_size(claims->by_key) >= claims->max_keys;
}

uint64_t cw_claims_floor(const struct cw_claims *claims)
{
	return claims->floor;
}

uint64_t cw_claims_offset(const struct cw_claims *claims)
{
	return claims->offset;
}

struct cw_claim_view cw_claims_lookup(const struct cw_claims *claims, uint64_t key)
{
	const struct entry *entry = g_hash_table_lookup(claims->by_key, &key);
	struct cw_claim_view view = {.state = CW_CLAIM_FREE};

	if (!entry)
		return view;
	view.state = entry->state;
	view.holder = entry->holder;
	view.body_hash = entry->body_hash;
	view.status = entry->status;
	view.answer = entry->answer;
	return view;
}

size_t cw_claims_count(const struct cw_claims *claims)
{
	return g_hash_table_size(claims->by_key);
}

void cw_claims_add_claim(struct json_object *record, const struct cw_claim *claim)
{
	add_hex(add_item(record, "claims", claim), "body", claim->body);
}

void cw_claims_add_outcome(struct json_object *record, const struct cw_claim *claim, int status,
			   const char *answer)
{
	struct json_object *item = add_item(record, "outcomes", claim);

	json_object_object_add(item, "status", json_object_new_int(status));
	if (answer && strlen(answer) <= CW_CLAIM_BODY_MAX)
		json_object_object_add(item, "answer", json_object_new_string(answer));
}

void cw_claims_add_release(struct json_object *record, const struct cw_claim *claim)
{
	add_item(record, "releases", claim);
}

size_t cw_claims_add_checkpoint(const struct cw_claims *claims, struct json_object *record,
				uint64_t after_offset, size_t batch_size, uint64_t *last_offset)
{
	const struct entry *entry;
	size_t added = 0;

	TAILQ_FOREACH(entry, &claims->by_offset, link) {
		struct cw_claim claim = {
			.key = entry->key, .claim = entry->holder, .body = entry->body_hash};
		struct json_object *item;

		if (entry->offset <= after_offset)
			continue;
		/* Claims of one record share its offset, so a batch ends only where the offset
		 * changes. */
		if (added >= batch_size && entry->offset != *last_offset)
			break;
		item = add_item(record, "kept", &claim);
		add_hex(item, "body", entry->body_hash);
		json_object_object_add(item, "offset",
				       json_object_new_int64((int64_t)entry->offset));
		json_object_object_add(item, "time_ms", json_object_new_int64(entry->time_ms));
		if (entry->state == CW_CLAIM_COMPLETED)
			json_object_object_add(item, "status", json_object_new_int(entry->status));
		if (entry->answer)
			json_object_object_add(item, "answer",
					       json_object_new_string(entry->answer));
		*last_offset = entry->offset;
		added++;
	}
	return added;
}

void cw_claims_add_floor(struct json_object *record, uint64_t floor)
{
	json_object_object_add(record, "floor", json_object_new_int64((int64_t)floor));
}

static void for_each_item(struct cw_claims *claims, struct json_object *record,
			  const char *array_name,
			  void (*apply)(struct cw_claims *claims, struct json_object *item))
{
	struct json_object *items;

	if (!json_object_object_get_ex(record, array_name, &items) ||
	    !json_object_is_type(items, json_type_array))
		return;
	for (size_t i = 0; i < json_object_array_length(items); i++)
		apply(claims, json_object_array_get_idx(items, i));
}

static void apply_claim(struct cw_claims *claims, struct json_object *item)
{
	uint64_t key = get_hex(item, "key");
	uint64_t holder = get_hex(item, "claim");

	/*
	 * The first claim in log order wins, on every instance alike. If a later claim also won,
	 * two instances would run the request, seen as two calls with one idempotency key.
	 */
	if (g_hash_table_contains(claims->by_key, &key))
		return;
	/* A claim whose append was retried after its release must not acquire the key again. */
	if (g_hash_table_contains(claims->released_claims, &holder))
		return;
	entry_insert(claims, item, claims->offset, claims->log_time_ms);
}

static void apply_release(struct cw_claims *claims, struct json_object *item)
{
	uint64_t key = get_hex(item, "key");
	uint64_t holder = get_hex(item, "claim");
	struct entry *entry = g_hash_table_lookup(claims->by_key, &key);
	int64_t *time_ms = g_new(int64_t, 1);
	uint64_t *released = g_new(uint64_t, 1);

	*released = holder;
	*time_ms = claims->log_time_ms;
	g_hash_table_replace(claims->released_claims, released, time_ms);
	/* Only the holder's release frees the key. A late release by another claim would allow the
	 * request to run twice. */
	if (entry && entry->state == CW_CLAIM_PENDING && entry->holder == holder)
		entry_remove(claims, entry);
}

static void apply_outcome(struct cw_claims *claims, struct json_object *item)
{
	uint64_t key = get_hex(item, "key");
	struct entry *entry = g_hash_table_lookup(claims->by_key, &key);

	if (entry && entry->state == CW_CLAIM_PENDING && entry->holder == get_hex(item, "claim"))
		set_outcome(entry, item);
}

static void apply_checkpoint(struct cw_claims *claims, struct json_object *item)
{
	uint64_t key = get_hex(item, "key");
	uint64_t holder = get_hex(item, "claim");
	uint64_t offset = get_number(item, "offset");
	int64_t time_ms = (int64_t)get_number(item, "time_ms");
	struct entry *entry = g_hash_table_lookup(claims->by_key, &key);

	if (time_ms < claims->log_time_ms - claims->window_ms ||
	    g_hash_table_contains(claims->released_claims, &holder))
		return;
	/*
	 * A reader that started after the holder's claim record has taken a later, losing claim for
	 * the holder. The claim with the smaller offset replaces that one.
	 */
	if (entry && entry->holder != holder && entry->offset > offset) {
		entry_remove(claims, entry);
		entry = NULL;
	}
	if (!entry)
		entry = entry_insert(claims, item, offset, time_ms);
	if (entry->holder == holder && entry->state == CW_CLAIM_PENDING &&
	    json_object_object_get_ex(item, "status", NULL))
		set_outcome(entry, item);
}

static void set_outcome(struct entry *entry, struct json_object *item)
{
	struct json_object *value;

	entry->state = CW_CLAIM_COMPLETED;
	entry->status = (int)get_number(item, "status");
	if (json_object_object_get_ex(item, "answer", &value))
		entry->answer = g_strdup(json_object_get_string(value));
}

static struct entry *entry_insert(struct cw_claims *claims, struct json_object *item,
				  uint64_t offset, int64_t time_ms)
{
	struct entry *entry = g_new0(struct entry, 1);
	struct entry *previous = TAILQ_LAST(&claims->by_offset, claim_entry_list);

	entry->key = get_hex(item, "key");
	entry->holder = get_hex(item, "claim");
	entry->body_hash = get_hex(item, "body");
	entry->offset = offset;
	entry->time_ms = time_ms;
	entry->state = CW_CLAIM_PENDING;
	while (previous && previous->offset > offset)
		previous = TAILQ_PREV(previous, claim_entry_list, link);
	if (previous)
		TAILQ_INSERT_AFTER(&claims->by_offset, previous, entry, link);
	else
		TAILQ_INSERT_HEAD(&claims->by_offset, entry, link);
	g_hash_table_insert(claims->by_key, &entry->key, entry);
	return entry;
}

static void remove_expired(struct cw_claims *claims)
{
	int64_t cutoff_ms = claims->log_time_ms - claims->window_ms;
	struct entry *entry;

	while ((entry = TAILQ_FIRST(&claims->by_offset)) && entry->time_ms < cutoff_ms)
		entry_remove(claims, entry);
	g_hash_table_foreach_remove(claims->released_claims, is_expired, &cutoff_ms);
}

static gboolean is_expired(gpointer claim, gpointer time_ms, gpointer cutoff_ms)
{
	return *(int64_t *)time_ms < *(int64_t *)cutoff_ms;
}

static void entry_remove(struct cw_claims *claims, struct entry *entry)
{
	TAILQ_REMOVE(&claims->by_offset, entry, link);
	g_hash_table_remove(claims->by_key, &entry->key);
	g_free(entry->answer);
	g_free(entry);
}

static uint64_t get_hex(struct json_object *item, const char *key)
{
	struct json_object *value;

	if (!json_object_object_get_ex(item, key, &value) || !value)
		return 0;
	return g_ascii_strtoull(json_object_get_string(value), NULL, 16);
}

static uint64_t get_number(struct json_object *item, const char *key)
{
	struct json_object *value;

	return json_object_object_get_ex(item, key, &value) ? (uint64_t)json_object_get_int64(value)
							    : 0;
}

static struct json_object *add_item(struct json_object *record, const char *array_name,
				    const struct cw_claim *claim)
{
	struct json_object *item = json_object_new_object();
	struct json_object *items;

	if (!json_object_object_get_ex(record, array_name, &items)) {
		items = json_object_new_array();
		json_object_object_add(record, array_name, items);
	}
	add_hex(item, "key", claim->key);
	add_hex(item, "claim", claim->claim);
	json_object_array_add(items, item);
	return item;
}

static void add_hex(struct json_object *item, const char *key, uint64_t value)
{
	char text[17];

	g_snprintf(text, sizeof(text), "%016" G_GINT64_MODIFIER "x", value);
	json_object_object_add(item, key, json_object_new_string(text));
}
