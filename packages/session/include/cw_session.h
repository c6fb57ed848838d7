/*
 * Bindings of sessions to model versions. A binding is (session key, table offset at its start,
 * version). Of two bindings for one key the one with the smaller offset wins, so merging is
 * commutative and idempotent, and instances converge in whatever order they receive bindings.
 */
#ifndef CW_SESSION_H
#define CW_SESSION_H

#include "cw_hash.h"
#include "cw_status.h"

#include <stddef.h>
#include <stdint.h>

struct cw_binding {
	uint64_t key;	   /* hash of organisation, session id and requested model */
	uint64_t bound_at; /* table offset at the session's start */
	uint64_t row;	   /* cw_row.id of the version, to check that the binding is still valid */
	char model[CW_NAME_MAX];
	char version[CW_NAME_MAX];
	int64_t announced_ms; /* last announcement to the replicas of the binding; 0: never */
};

struct cw_session_store;

uint64_t cw_session_key(const char *organisation, const char *session_id, const char *model);
struct cw_session_store *cw_session_create(size_t max_sessions);
void cw_session_destroy(struct cw_session_store *store);
int cw_session_merge(struct cw_session_store *store, const struct cw_binding *binding,
		     int64_t now_ms); /* 1: the stored binding changed */
const struct cw_binding *cw_session_find(struct cw_session_store *store, uint64_t key,
					 int64_t now_ms); /* NULL: none; renews the idle time */
void cw_session_mark_announced(struct cw_session_store *store, uint64_t key, int64_t now_ms);
void cw_session_remove(struct cw_session_store *store,
		       uint64_t key); /* e.g. its version was withdrawn */
void cw_session_expire(struct cw_session_store *store, int64_t now_ms, int64_t idle_ms);
void cw_session_limit_offsets(
	struct cw_session_store *store,
	uint64_t table_offset); /* no session begins later: offsets of a restored log */
size_t cw_session_count(const struct cw_session_store *store);

void cw_token_encode(const uint8_t key[CW_KEY_BYTES], const struct cw_binding *binding,
		     char token[CW_TOKEN_MAX]);
enum cw_status
cw_token_decode(const uint8_t key[CW_KEY_BYTES], const char *token,
		struct cw_binding *binding); /* CW_INVALID: malformed or not signed with the key */

#endif
