#include "cw_session.h"

#include <glib.h>
#include <stdio.h>
#include <string.h>
#include <sys/queue.h>

struct session {
	TAILQ_ENTRY(session) link; /* by last use, oldest first */
	struct cw_binding binding;
	int64_t used_ms;
};

TAILQ_HEAD(session_list, session);

struct cw_session_store {
	size_t max_sessions;
	GHashTable *by_key;
	struct session_list by_use;
};

static void store_remove(struct cw_session_store *store, struct session *session);
static void store_touch(struct cw_session_store *store, struct session *session, int64_t now_ms);

uint64_t cw_session_key(const char *organisation, const char *session_id, const char *model)
{
	uint64_t key = cw_hash_text(organisation, 2);

	key = cw_hash_text(session_id, key);
	return cw_hash_text(model, key);
}

struct cw_session_store *cw_session_create(size_t max_sessions)
{
	struct cw_session_store *store = g_new0(struct cw_session_store, 1);

	store->max_sessions = max_sessions;
	store->by_key = g_hash_table_new(g_int64_hash, g_int64_equal);
	TAILQ_INIT(&store->by_use);
	return store;
}

void cw_session_destroy(struct cw_session_store *store)
{
	struct session *session;

	if (!store)
		return;
	while ((session = TAILQ_FIRST(&store->by_use)))
		store_remove(store, session);
	g_hash_table_destroy(store->by_key);
	g_free(store);
}

int cw_session_merge(struct cw_session_store *store, const struct cw_binding *binding,
		     int64_t now_ms)
{
	struct session *session = g_hash_table_lookup(store->by_key, &binding->key);

	if (session) {
		store_touch(store, session, now_ms);
		if (session->binding.bound_at <= binding->bound_at)
			return 0;
		session->binding = *binding;
		return 1;
	}
	if (g_hash_table_size(store->by_key) >= store->max_sessions)
		store_remove(store, TAILQ_FIRST(&store->by_use));
	session = g_new0(struct session, 1);
	session->binding = *binding;
	session->used_ms = now_ms;
	TAILQ_INSERT_TAIL(&store->by_use, session, link);
	g_hash_table_insert(store->by_key, &session->binding.key, session);
	return 1;
}

const struct cw_binding *cw_session_find(struct cw_session_store *store, uint64_t key,
					 int64_t now_ms)
{
	struct session *session = g_hash_table_lookup(store->by_key, &key);

	if (!session)
		return NULL;
	store_touch(store, session, now_ms);
	return &session->binding;
}

void cw_session_mark_announced(struct cw_session_store *store, uint64_t key, int64_t now_ms)
{
	struct session *session = g_hash_table_lookup(store->by_key, &key);

	if (session)
		session->binding.announced_ms = now_ms;
}

void cw_session_remove(struct cw_session_store *store, uint64_t key)
{
	struct session *session = g_hash_table_lookup(store->by_key, &key);

	if (session)
		store_remove(store, session);
}

void cw_session_expire(struct cw_session_store *store, int64_t now_ms, int64_t idle_ms)
{
	struct session *session;

	while ((session = TAILQ_FIRST(&store->by_use)) && now_ms - session->used_ms > idle_ms)
		store_remove(store, session);
}

void cw_session_limit_offsets(struct cw_session_store *store, uint64_t table_offset)
{
	struct session *session;

	TAILQ_FOREACH(session, &store->by_use, link)
		session->binding.bound_at = MIN(session->binding.bound_at, table_offset);
}

size_t cw_session_count(const struct cw_session_store *store)
{
	return g_hash_table_size(store->by_key);
}

/* "key.offset.row.model/version.signature", the signature over all before it. */
void cw_token_encode(const uint8_t key[CW_KEY_BYTES], const struct cw_binding *binding,
		     char token[CW_TOKEN_MAX])
{
	uint8_t mac[32];
	int length = snprintf(
		token, CW_TOKEN_MAX,
		"%016" G_GINT64_MODIFIER "x.%" G_GUINT64_FORMAT ".%016" G_GINT64_MODIFIER "x.%s/%s",
		binding->key, binding->bound_at, binding->row, binding->model, binding->version);

	cw_sign(key, token, (size_t)length, mac);
	token[length++] = '.';
	for (int i = 0; i < 32; i++)
		length += snprintf(token + length, CW_TOKEN_MAX - (size_t)length, "%02x", mac[i]);
}

enum cw_status cw_token_decode(const uint8_t key[CW_KEY_BYTES], const char *token,
			       struct cw_binding *binding)
{
	const char *mac_text = strrchr(token, '.');
	enum cw_status status = CW_INVALID;
	uint8_t mac[32];
	char *signed_text;
	char **parts;
	char **names;

	if (!mac_text || strlen(token) >= CW_TOKEN_MAX ||
	    cw_hex_decode(mac_text + 1, mac, sizeof(mac)))
		return CW_INVALID;
	if (!cw_signature_matches(key, token, (size_t)(mac_text - token), mac))
		return CW_INVALID;
	memset(binding, 0, sizeof(*binding));
	signed_text = g_strndup(token, (gsize)(mac_text - token));
	parts = g_strsplit(signed_text, ".", 4);
	names = g_strsplit(g_strv_length(parts) == 4 ? parts[3] : "", "/", 2);
	if (names[0] && names[1]) {
		binding->key = g_ascii_strtoull(parts[0], NULL, 16);
		binding->bound_at = g_ascii_strtoull(parts[1], NULL, 10);
		binding->row = g_ascii_strtoull(parts[2], NULL, 16);
		g_strlcpy(binding->model, names[0], CW_NAME_MAX);
		g_strlcpy(binding->version, names[1], CW_NAME_MAX);
		status = CW_OK;
	}
	g_strfreev(names);
	g_strfreev(parts);
	g_free(signed_text);
	return status;
}

static void store_remove(struct cw_session_store *store, struct session *session)
{
	TAILQ_REMOVE(&store->by_use, session, link);
	g_hash_table_remove(store->by_key, &session->binding.key);
	g_free(session);
}

static void store_touch(struct cw_session_store *store, struct session *session, int64_t now_ms)
{
	session->used_ms = now_ms;
	TAILQ_REMOVE(&store->by_use, session, link);
	TAILQ_INSERT_TAIL(&store->by_use, session, link);
}
