/*
 * At most once: the fold of the `claims` stream. The first claim of a key in the log's order holds
 * it; a release ("not run") frees it for the next claim; an outcome answers every repeat. Keys are
 * guarded for a window of the log's own clock. Records live shorter than that, so one instance
 * appends the keys it holds again ("kept") and then a floor: all that was recorded before the floor
 * stands again behind it. Who began to read at or before a floor knows every guarded key.
 */
#ifndef CW_CLAIMS_H
#define CW_CLAIMS_H

#include "cw_status.h"

#include <stddef.h>
#include <stdint.h>

enum cw_claim_state {
	CW_CLAIM_FREE,
	CW_CLAIM_HELD, /* claimed, outcome not known */
	CW_CLAIM_DONE, /* ran; the outcome is kept */
};

struct cw_claim {
	uint64_t key;	/* hash of organisation, service and idempotency key */
	uint64_t claim; /* one try of one instance; never repeats */
	uint64_t body;	/* hash of the request, so that a key used for another order is told */
};

struct cw_claim_view {
	enum cw_claim_state state;
	uint64_t holder; /* claim that holds the key */
	uint64_t body;
	int status;	    /* HTTP status of the outcome */
	const char *answer; /* body of the outcome, NULL when it was too long to keep */
};

struct cw_claims;

uint64_t cw_claims_key(const char *organisation, const char *service, const char *idempotency_key);
struct cw_claims *cw_claims_create(size_t max_keys, int64_t window_ms);
void cw_claims_destroy(struct cw_claims *claims);
enum cw_status cw_claims_fold(struct cw_claims *claims, uint64_t offset, int64_t time_ms,
			      const char *record,
			      struct cw_error *error); /* CW_INVALID: not the next offset */
void cw_claims_start_at(struct cw_claims *claims, uint64_t next); /* older records have expired */
int cw_claims_is_complete(const struct cw_claims *claims); /* every guarded key is known; until then
							      no claim may be trusted */
int cw_claims_is_full(const struct cw_claims *claims);	   /* no room to guard another key */
uint64_t
cw_claims_floor(const struct cw_claims *claims); /* largest floor read; 1 at the start of the log */
uint64_t cw_claims_offset(const struct cw_claims *claims);
struct cw_claim_view cw_claims_look(const struct cw_claims *claims, uint64_t key);
size_t cw_claims_count(const struct cw_claims *claims);

struct json_object;
void cw_claims_add_claim(struct json_object *record,
			 const struct cw_claim *claim); /* builds a record of the stream */
void cw_claims_add_outcome(struct json_object *record, const struct cw_claim *claim, int status,
			   const char *answer);
void cw_claims_add_release(struct json_object *record, const struct cw_claim *claim);
size_t cw_claims_add_kept(
	const struct cw_claims *claims, struct json_object *record, uint64_t after, size_t count,
	uint64_t *last); /* up to count keys claimed behind offset after; returns how many */
void cw_claims_add_floor(struct json_object *record, uint64_t floor);

#endif
