#include "cw_claims.h"
#include "cw_hash.h"

#include <glib.h>
#include <json-c/json.h>
#include <string.h>
#include <sys/queue.h>

#define STEP "claims.fold"

enum lost_part { /* what the log does not hold any more, as bits */
		 LOST_CLAIM = 1,
		 LOST_OUTCOME = 2,
};

struct entry {
	TAILQ_ENTRY(entry) link; /* in the order of offset */
	uint64_t key;
	uint64_t offset;    /* log offset of the claim that holds the key */
	uint64_t holder;    /* id of that claim */
	uint64_t body_hash; /* hash of the request */
	int64_t time_ms;    /* when the claim was recorded, on the log's clock */
	enum cw_claim_state state;
	int status;		 /* HTTP status of the outcome */
	char *answer;		 /* body of the outcome, NULL if unknown or too long to keep */
	uint64_t logged_offset;	 /* of the newest record that holds the claim */
	uint64_t outcome_offset; /* of the newest record that holds the outcome, 0 none */
	unsigned int lost;	 /* enum lost_part */
};

struct release {
	uint64_t claim;
	uint64_t key;
	int64_t time_ms;	/* log time, kept for the window */
	uint64_t logged_offset; /* of the newest record that holds the release */
	int is_lost;
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
	GHashTable *released_claims; /* claim id -> struct release */
	size_t lost_count;	     /* entries and releases that are lost */
	uint64_t known_offset;	     /* all records up to it were read before the log was rewound */
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
static void entry_remove(struct cw_claims *claims, struct entry *entry);
static int is_later(const struct entry *entry, int64_t time_ms, uint64_t offset);
static void set_logged(struct cw_claims *claims, struct entry *entry, enum lost_part part);
static void set_lost(struct cw_claims *claims, struct entry *entry, unsigned int lost);
static void add_kept(struct json_object *record, const struct entry *entry);
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
	claims->released_claims = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
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
	claims->known_offset = 0;
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
	if (next_offset <= claims->known_offset + 1)
		return;
	claims->first_offset = next_offset;
	claims->first_record_ms = -1;
}

void cw_claims_rewind(struct cw_claims *claims, uint64_t next_offset)
{
	int is_complete = cw_claims_is_complete(claims);
	struct release *release;
	struct entry *entry;
	GHashTableIter iter;

	TAILQ_FOREACH(entry, &claims->by_offset, link) {
		if (entry->logged_offset >= next_offset)
			set_lost(claims, entry, entry->lost | LOST_CLAIM);
		if (entry->outcome_offset >= next_offset)
			set_lost(claims, entry, entry->lost | LOST_OUTCOME);
	}
	g_hash_table_iter_init(&iter, claims->released_claims);
	while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&release)) {
		if (release->is_lost || release->logged_offset < next_offset)
			continue;
		release->is_lost = 1;
		claims->lost_count++;
	}
	claims->floor = MIN(claims->floor, next_offset);
	if (is_complete) {
		claims->known_offset = MAX(claims->offset, claims->known_offset);
		claims->first_offset = MIN(claims->first_offset, claims->floor);
	}
	claims->offset = next_offset - 1;
}

size_t cw_claims_count_lost(const struct cw_claims *claims)
{
	return claims->lost_count;
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
	view.offset = entry->offset;
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
		if (entry->offset <= after_offset)
			continue;
		/* Claims of one record share its offset, so a batch ends only where the offset
		 * changes. */
		if (added >= batch_size && entry->offset != *last_offset)
			break;
		add_kept(record, entry);
		*last_offset = entry->offset;
		added++;
	}
	return added;
}

size_t cw_claims_add_lost(const struct cw_claims *claims, struct json_object *record,
			  size_t batch_size)
{
	const struct release *release;
	const struct entry *entry;
	GHashTableIter iter;
	size_t added = 0;

	/* A release goes first: its key may have been claimed again. */
	g_hash_table_iter_init(&iter, claims->released_claims);
	while (added < batch_size && g_hash_table_iter_next(&iter, NULL, (gpointer *)&release)) {
		struct cw_claim claim = {.key = release->key, .claim = release->claim};

		if (!release->is_lost)
			continue;
		cw_claims_add_release(record, &claim);
		added++;
	}
	TAILQ_FOREACH(entry, &claims->by_offset, link) {
		if (added == batch_size)
			break;
		if (!entry->lost)
			continue;
		add_kept(record, entry);
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
	struct entry *entry = g_hash_table_lookup(claims->by_key, &key);

	/*
	 * The first claim in log order wins, on every instance alike. If a later claim also won,
	 * two instances would run the request, seen as two calls with one idempotency key.
	 */
	if (entry) {
		if (entry->holder == holder)
			set_logged(claims, entry, LOST_CLAIM);
		return;
	}
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
	struct release *known = g_hash_table_lookup(claims->released_claims, &holder);
	struct release *release = g_new0(struct release, 1);

	if (known && known->is_lost)
		claims->lost_count--;
	release->claim = holder;
	release->key = key;
	release->time_ms = claims->log_time_ms;
	release->logged_offset = claims->offset;
	g_hash_table_replace(claims->released_claims, &release->claim, release);
	/* Only the holder's release frees the key. A late release by another claim would allow the
	 * request to run twice. */
	if (entry && entry->state == CW_CLAIM_PENDING && entry->holder == holder)
		entry_remove(claims, entry);
}

static void apply_outcome(struct cw_claims *claims, struct json_object *item)
{
	uint64_t key = get_hex(item, "key");
	struct entry *entry = g_hash_table_lookup(claims->by_key, &key);

	if (!entry || entry->holder != get_hex(item, "claim"))
		return;
	if (entry->state == CW_CLAIM_PENDING)
		set_outcome(entry, item);
	set_logged(claims, entry, LOST_OUTCOME);
}

static void apply_checkpoint(struct cw_claims *claims, struct json_object *item)
{
	uint64_t key = get_hex(item, "key");
	uint64_t holder = get_hex(item, "claim");
	uint64_t offset = get_number(item, "offset");
	int64_t time_ms = (int64_t)get_number(item, "time_ms");
	struct entry *entry = g_hash_table_lookup(claims->by_key, &key);

	if (time_ms < claims->log_time_ms - claims->window_ms) {
		if (entry && entry->holder == holder)
			set_lost(claims, entry, 0);
		return;
	}
	if (g_hash_table_contains(claims->released_claims, &holder))
		return;
	/*
	 * A reader that started after the holder's claim record, or whose log had lost that record,
	 * has taken a later, losing claim for the holder. The earlier claim replaces that one.
	 */
	if (entry && entry->holder != holder && is_later(entry, time_ms, offset)) {
		entry_remove(claims, entry);
		entry = NULL;
	}
	if (!entry)
		entry = entry_insert(claims, item, offset, time_ms);
	if (entry->holder != holder)
		return;
	set_logged(claims, entry, LOST_CLAIM);
	if (!json_object_object_get_ex(item, "status", NULL))
		return;
	if (entry->state == CW_CLAIM_PENDING)
		set_outcome(entry, item);
	set_logged(claims, entry, LOST_OUTCOME);
}

/* By time first, as a restored log gives offsets out again. */
static int is_later(const struct entry *entry, int64_t time_ms, uint64_t offset)
{
	return entry->time_ms > time_ms || (entry->time_ms == time_ms && entry->offset > offset);
}

static void set_logged(struct cw_claims *claims, struct entry *entry, enum lost_part part)
{
	if (part == LOST_CLAIM)
		entry->logged_offset = claims->offset;
	else
		entry->outcome_offset = claims->offset;
	set_lost(claims, entry, entry->lost & ~(unsigned int)part);
}

static void set_lost(struct cw_claims *claims, struct entry *entry, unsigned int lost)
{
	claims->lost_count += (size_t)(lost != 0) - (size_t)(entry->lost != 0);
	entry->lost = lost;
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
	entry->logged_offset = claims->offset;
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
	struct release *release;
	struct entry *entry;
	GHashTableIter iter;

	while ((entry = TAILQ_FIRST(&claims->by_offset)) && entry->time_ms < cutoff_ms)
		entry_remove(claims, entry);
	g_hash_table_iter_init(&iter, claims->released_claims);
	while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&release)) {
		if (release->time_ms >= cutoff_ms)
			continue;
		claims->lost_count -= (size_t)release->is_lost;
		g_hash_table_iter_remove(&iter);
	}
}

static void entry_remove(struct cw_claims *claims, struct entry *entry)
{
	set_lost(claims, entry, 0);
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

static void add_kept(struct json_object *record, const struct entry *entry)
{
	struct cw_claim claim = {
		.key = entry->key, .claim = entry->holder, .body = entry->body_hash};
	struct json_object *item = add_item(record, "kept", &claim);

	add_hex(item, "body", entry->body_hash);
	json_object_object_add(item, "offset", json_object_new_int64((int64_t)entry->offset));
	json_object_object_add(item, "time_ms", json_object_new_int64(entry->time_ms));
	if (entry->state == CW_CLAIM_COMPLETED)
		json_object_object_add(item, "status", json_object_new_int(entry->status));
	if (entry->answer)
		json_object_object_add(item, "answer", json_object_new_string(entry->answer));
}

static void add_hex(struct json_object *item, const char *key, uint64_t value)
{
	char text[17];

	g_snprintf(text, sizeof(text), "%016" G_GINT64_MODIFIER "x", value);
	json_object_object_add(item, key, json_object_new_string(text));
}
