/*
 * At-most-once execution, replayed from the records of the `claims` stream. The first claim of an
 * idempotency key in log order holds the key. A release ("not run") frees the key for the next
 * claim; an outcome answers every later request with the key. Keys are guarded for a time window on
 * the log's clock. The log's retention is shorter than the window, so one instance appends a
 * checkpoint: the guarded keys again ("kept" entries), then a floor. All guarded claims recorded
 * before the offset that the floor names are repeated after it, so a reader that started at or
 * before that offset knows every guarded key.
 *
 * When the log is restored from an older copy, what was read from lost records stays known. It
 * counts as lost until it is read again, and is written again in the form of a checkpoint.
 */
#ifndef CW_CLAIMS_H
#define CW_CLAIMS_H

#include "cw_status.h"

#include <stddef.h>
#include <stdint.h>

enum cw_claim_state {
	CW_CLAIM_FREE,	    /* no claim holds the key */
	CW_CLAIM_PENDING,   /* claimed, outcome not known yet */
	CW_CLAIM_COMPLETED, /* ran, outcome recorded */
};

struct cw_claim {
	uint64_t key;	/* hash of organisation, service and idempotency key */
	uint64_t claim; /* id of the claim: one attempt of one instance to claim the key; 0: none */
	uint64_t body;	/* hash of the request, to detect a key that was used for another request */
};

struct cw_claim_view {
	enum cw_claim_state state;
	uint64_t holder; /* id of the claim that holds the key */
	uint64_t body_hash;
	uint64_t offset;    /* of the holder's claim */
	int status;	    /* HTTP status of the outcome */
	const char *answer; /* body of the outcome, NULL if it was too long to keep */
};

struct cw_claims;

uint64_t cw_claims_key(const char *organisation, const char *service, const char *idempotency_key);
struct cw_claims *cw_claims_create(size_t max_keys, int64_t window_ms);
void cw_claims_destroy(struct cw_claims *claims);
enum cw_status
cw_claims_apply_record(struct cw_claims *claims, uint64_t offset, int64_t time_ms,
		       const char *record,
		       struct cw_error *error); /* CW_INVALID: offset is not the next one */
void cw_claims_start_at(struct cw_claims *claims, uint64_t next_offset); /* older records expired */
int cw_claims_is_complete(const struct cw_claims *claims); /* all guarded keys are known; before
							      that no claim is reliable */
int cw_claims_is_full(const struct cw_claims *claims);	   /* max_keys are guarded */
uint64_t cw_claims_floor(const struct cw_claims *claims);  /* largest floor read, initially 1 */
uint64_t cw_claims_offset(const struct cw_claims *claims); /* of the last record applied */
struct cw_claim_view cw_claims_lookup(const struct cw_claims *claims, uint64_t key);
size_t cw_claims_count(const struct cw_claims *claims); /* guarded keys */
void cw_claims_rewind(struct cw_claims *claims,
		      uint64_t next_offset); /* the log lost its records from there on; the next
						record to apply is at this offset */
size_t cw_claims_count_lost(
	const struct cw_claims *claims); /* claims, outcomes and releases not in the log now */

struct json_object;
void cw_claims_add_claim(
	struct json_object *record,
	const struct cw_claim *claim); /* adds an entry to a record of the stream */
void cw_claims_add_outcome(struct json_object *record, const struct cw_claim *claim, int status,
			   const char *answer);
void cw_claims_add_release(struct json_object *record, const struct cw_claim *claim);
size_t cw_claims_add_checkpoint(
	const struct cw_claims *claims, struct json_object *record, uint64_t after_offset,
	size_t batch_size,
	uint64_t *last_offset); /* keys claimed after after_offset; returns how many were added */
size_t cw_claims_add_lost(const struct cw_claims *claims, struct json_object *record,
			  size_t batch_size); /* returns how many were added */
void cw_claims_add_floor(struct json_object *record, uint64_t floor);

#endif
