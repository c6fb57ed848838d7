#include "cw_claims.h"
#include "cw_hash.h"

#include <glib.h>
#include <json-c/json.h>
#include <string.h>
#include <sys/queue.h>

#define STEP "claims.fold"

struct entry {
	TAILQ_ENTRY(entry) link; /* by claim, oldest first */
	uint64_t key;
	uint64_t offset; /* of the claim that holds the key */
	uint64_t holder;
	uint64_t body;
	int64_t time_ms; /* of the claim, by the log's clock */
	enum cw_claim_state state;
	int status;
	char *answer;
};

TAILQ_HEAD(entry_list, entry);

struct cw_claims {
	uint64_t offset;
	uint64_t started; /* first offset read */
	uint64_t floor;
	int64_t first_ms; /* time of the first record read, -1 none */
	int64_t last_ms;
	int64_t window_ms;
	size_t max_keys;
	GHashTable *by_key;
	GHashTable *released; /* claims that were given back, kept for the window */
	struct entry_list by_age;
};

static void fold_claim(struct cw_claims *claims, struct json_object *item);
static void fold_release(struct cw_claims *claims, struct json_object *item);
static void fold_outcome(struct cw_claims *claims, struct json_object *item);
static void fold_kept(struct cw_claims *claims, struct json_object *item);
static void each(struct cw_claims *claims, struct json_object *record, const char *list,
		 void (*fold)(struct cw_claims *claims, struct json_object *item));
static void set_outcome(struct entry *entry, struct json_object *item);
static struct entry *entry_add(struct cw_claims *claims, struct json_object *item, uint64_t offset,
			       int64_t time_ms);
static void expire(struct cw_claims *claims);
static uint64_t number_of(struct json_object *item, const char *key);
static gboolean is_old(gpointer claim, gpointer time_ms, gpointer before_ms);
static void entry_remove(struct cw_claims *claims, struct entry *entry);
static uint64_t hex_of(struct json_object *item, const char *key);
static struct json_object *new_item(struct json_object *record, const char *list,
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

	claims->started = 1;
	claims->floor = 1;
	claims->first_ms = -1;
	claims->window_ms = window_ms;
	claims->max_keys = max_keys;
	claims->by_key = g_hash_table_new(g_int64_hash, g_int64_equal);
	claims->released = g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, g_free);
	TAILQ_INIT(&claims->by_age);
	return claims;
}

void cw_claims_destroy(struct cw_claims *claims)
{
	struct entry *entry;

	if (!claims)
		return;
	while ((entry = TAILQ_FIRST(&claims->by_age)))
		entry_remove(claims, entry);
	g_hash_table_destroy(claims->by_key);
	g_hash_table_destroy(claims->released);
	g_free(claims);
}

enum cw_status cw_claims_fold(struct cw_claims *claims, uint64_t offset, int64_t time_ms,
			      const char *record, struct cw_error *error)
{
	struct json_object *parsed;
	uint64_t floor;

	if (offset != claims->offset + 1)
		return cw_error_set(error, CW_INVALID, STEP, "",
				    "offset %" G_GUINT64_FORMAT " after %" G_GUINT64_FORMAT, offset,
				    claims->offset);
	claims->offset = offset;
	claims->last_ms = MAX(claims->last_ms, time_ms);
	if (claims->first_ms < 0)
		claims->first_ms = time_ms;
	expire(claims);
	parsed = json_tokener_parse(record);
	each(claims, parsed, "outcomes", fold_outcome);
	each(claims, parsed, "releases", fold_release);
	each(claims, parsed, "kept", fold_kept);
	each(claims, parsed, "claims", fold_claim);
	floor = number_of(parsed, "floor");
	claims->floor = MAX(claims->floor, floor);
	json_object_put(parsed);
	return CW_OK;
}

void cw_claims_start_at(struct cw_claims *claims, uint64_t next)
{
	claims->offset = next - 1;
	claims->started = next;
	claims->first_ms = -1;
}

int cw_claims_is_complete(const struct cw_claims *claims)
{
	if (claims->started <= claims->floor)
		return 1;
	return claims->first_ms >= 0 && claims->last_ms - claims->first_ms >= claims->window_ms;
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

struct cw_claim_view cw_claims_look(const struct cw_claims *claims, uint64_t key)
{
	const struct entry *entry = g_hash_table_lookup(claims->by_key, &key);
	struct cw_claim_view view = {.state = CW_CLAIM_FREE};

	if (!entry)
		return view;
	view.state = entry->state;
	view.holder = entry->holder;
	view.body = entry->body;
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
	add_hex(new_item(record, "claims", claim), "body", claim->body);
}

void cw_claims_add_outcome(struct json_object *record, const struct cw_claim *claim, int status,
			   const char *answer)
{
	struct json_object *item = new_item(record, "outcomes", claim);

	json_object_object_add(item, "status", json_object_new_int(status));
	if (answer && strlen(answer) <= CW_CLAIM_BODY_MAX)
		json_object_object_add(item, "answer", json_object_new_string(answer));
}

void cw_claims_add_release(struct json_object *record, const struct cw_claim *claim)
{
	new_item(record, "releases", claim);
}

size_t cw_claims_add_kept(const struct cw_claims *claims, struct json_object *record,
			  uint64_t after, size_t count, uint64_t *last)
{
	const struct entry *entry;
	size_t added = 0;

	TAILQ_FOREACH(entry, &claims->by_age, link) {
		struct cw_claim claim = {
			.key = entry->key, .claim = entry->holder, .body = entry->body};
		struct json_object *item;

		if (entry->offset <= after)
			continue;
		/* A record's claims share one offset: a batch ends only where the offset changes.
		 */
		if (added >= count && entry->offset != *last)
			break;
		item = new_item(record, "kept", &claim);
		add_hex(item, "body", entry->body);
		json_object_object_add(item, "offset",
				       json_object_new_int64((int64_t)entry->offset));
		json_object_object_add(item, "time_ms", json_object_new_int64(entry->time_ms));
		if (entry->state == CW_CLAIM_DONE)
			json_object_object_add(item, "status", json_object_new_int(entry->status));
		if (entry->answer)
			json_object_object_add(item, "answer",
					       json_object_new_string(entry->answer));
		*last = entry->offset;
		added++;
	}
	return added;
}

void cw_claims_add_floor(struct json_object *record, uint64_t floor)
{
	json_object_object_add(record, "floor", json_object_new_int64((int64_t)floor));
}

static void each(struct cw_claims *claims, struct json_object *record, const char *list,
		 void (*fold)(struct cw_claims *claims, struct json_object *item))
{
	struct json_object *items;

	if (!json_object_object_get_ex(record, list, &items) ||
	    !json_object_is_type(items, json_type_array))
		return;
	for (size_t i = 0; i < json_object_array_length(items); i++)
		fold(claims, json_object_array_get_idx(items, i));
}

static void fold_claim(struct cw_claims *claims, struct json_object *item)
{
	uint64_t key = hex_of(item, "key");
	uint64_t holder = hex_of(item, "claim");

	/*
	 * The order in the log decides, on every instance alike. Were the later claim let through,
	 * two instances would each run the order; it shows as two calls with one idempotency key.
	 */
	if (g_hash_table_contains(claims->by_key, &key))
		return;
	/* An append that was repeated after its claim was given back must not take the key again.
	 */
	if (g_hash_table_contains(claims->released, &holder))
		return;
	entry_add(claims, item, claims->offset, claims->last_ms);
}

static void fold_release(struct cw_claims *claims, struct json_object *item)
{
	uint64_t key = hex_of(item, "key");
	uint64_t holder = hex_of(item, "claim");
	struct entry *entry = g_hash_table_lookup(claims->by_key, &key);
	int64_t *time_ms = g_new(int64_t, 1);
	uint64_t *released = g_new(uint64_t, 1);

	*released = holder;
	*time_ms = claims->last_ms;
	g_hash_table_replace(claims->released, released, time_ms);
	/* Only the holder may free the key: a late release of another claim would let a second
	 * order run. */
	if (entry && entry->state == CW_CLAIM_HELD && entry->holder == holder)
		entry_remove(claims, entry);
}

static void fold_outcome(struct cw_claims *claims, struct json_object *item)
{
	uint64_t key = hex_of(item, "key");
	struct entry *entry = g_hash_table_lookup(claims->by_key, &key);

	if (entry && entry->state == CW_CLAIM_HELD && entry->holder == hex_of(item, "claim"))
		set_outcome(entry, item);
}

static void fold_kept(struct cw_claims *claims, struct json_object *item)
{
	uint64_t key = hex_of(item, "key");
	uint64_t holder = hex_of(item, "claim");
	uint64_t offset = number_of(item, "offset");
	int64_t time_ms = (int64_t)number_of(item, "time_ms");
	struct entry *entry = g_hash_table_lookup(claims->by_key, &key);

	if (time_ms < claims->last_ms - claims->window_ms ||
	    g_hash_table_contains(claims->released, &holder))
		return;
	/*
	 * A reader that began behind the claim's own record took a later, losing claim for the
	 * holder; the smaller offset puts that right.
	 */
	if (entry && entry->holder != holder && entry->offset > offset) {
		entry_remove(claims, entry);
		entry = NULL;
	}
	if (!entry)
		entry = entry_add(claims, item, offset, time_ms);
	if (entry->holder == holder && entry->state == CW_CLAIM_HELD &&
	    json_object_object_get_ex(item, "status", NULL))
		set_outcome(entry, item);
}

static void set_outcome(struct entry *entry, struct json_object *item)
{
	struct json_object *value;

	entry->state = CW_CLAIM_DONE;
	entry->status = (int)number_of(item, "status");
	if (json_object_object_get_ex(item, "answer", &value))
		entry->answer = g_strdup(json_object_get_string(value));
}

static struct entry *entry_add(struct cw_claims *claims, struct json_object *item, uint64_t offset,
			       int64_t time_ms)
{
	struct entry *entry = g_new0(struct entry, 1);
	struct entry *before = TAILQ_LAST(&claims->by_age, entry_list);

	entry->key = hex_of(item, "key");
	entry->holder = hex_of(item, "claim");
	entry->body = hex_of(item, "body");
	entry->offset = offset;
	entry->time_ms = time_ms;
	entry->state = CW_CLAIM_HELD;
	while (before && before->offset > offset)
		before = TAILQ_PREV(before, entry_list, link);
	if (before)
		TAILQ_INSERT_AFTER(&claims->by_age, before, entry, link);
	else
		TAILQ_INSERT_HEAD(&claims->by_age, entry, link);
	g_hash_table_insert(claims->by_key, &entry->key, entry);
	return entry;
}

static void expire(struct cw_claims *claims)
{
	int64_t before_ms = claims->last_ms - claims->window_ms;
	struct entry *entry;

	while ((entry = TAILQ_FIRST(&claims->by_age)) && entry->time_ms < before_ms)
		entry_remove(claims, entry);
	g_hash_table_foreach_remove(claims->released, is_old, &before_ms);
}

static gboolean is_old(gpointer claim, gpointer time_ms, gpointer before_ms)
{
	return *(int64_t *)time_ms < *(int64_t *)before_ms;
}

static void entry_remove(struct cw_claims *claims, struct entry *entry)
{
	TAILQ_REMOVE(&claims->by_age, entry, link);
	g_hash_table_remove(claims->by_key, &entry->key);
	g_free(entry->answer);
	g_free(entry);
}

static uint64_t hex_of(struct json_object *item, const char *key)
{
	struct json_object *value;

	if (!json_object_object_get_ex(item, key, &value) || !value)
		return 0;
	return g_ascii_strtoull(json_object_get_string(value), NULL, 16);
}

static uint64_t number_of(struct json_object *item, const char *key)
{
	struct json_object *value;

	return json_object_object_get_ex(item, key, &value) ? (uint64_t)json_object_get_int64(value)
							    : 0;
}

static struct json_object *new_item(struct json_object *record, const char *list,
				    const struct cw_claim *claim)
{
	struct json_object *item = json_object_new_object();
	struct json_object *items;

	if (!json_object_object_get_ex(record, list, &items)) {
		items = json_object_new_array();
		json_object_object_add(record, list, items);
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
