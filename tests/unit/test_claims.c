#include "unit.h"

#include "cw_claims.h"

#include <glib.h>
#include <json-c/json.h>

#define WINDOW_MS 10000

static const struct cw_claim first = {.key = 7, .claim = 1, .body = 5};
static const struct cw_claim second = {.key = 7, .claim = 2, .body = 5};
static const struct cw_claim third = {.key = 7, .claim = 3, .body = 5};

static void apply_next(struct cw_claims *claims, int64_t time_ms, struct json_object *record)
{
	assert_int_equal(cw_claims_apply_record(claims, cw_claims_offset(claims) + 1, time_ms,
						json_object_to_json_string(record), NULL),
			 CW_OK);
	json_object_put(record);
}

static struct json_object *make_claim(const struct cw_claim *claim)
{
	struct json_object *record = json_object_new_object();

	cw_claims_add_claim(record, claim);
	return record;
}

static struct json_object *make_release(const struct cw_claim *claim)
{
	struct json_object *record = json_object_new_object();

	cw_claims_add_release(record, claim);
	return record;
}

static struct json_object *make_outcome(const struct cw_claim *claim, const char *answer)
{
	struct json_object *record = json_object_new_object();

	cw_claims_add_outcome(record, claim, 201, answer);
	return record;
}

static void the_first_claim_holds_the_key_until_its_release(void **state)
{
	struct cw_claims *claims = cw_claims_create(100, WINDOW_MS);

	apply_next(claims, 1000, make_claim(&first));
	apply_next(claims, 1001, make_claim(&second));
	assert_int_equal(cw_claims_lookup(claims, 7).holder, 1);
	apply_next(claims, 1002, make_release(&second));
	assert_int_equal(cw_claims_lookup(claims, 7).holder, 1);
	apply_next(claims, 1003, make_release(&first));
	assert_int_equal(cw_claims_lookup(claims, 7).state, CW_CLAIM_FREE);
	apply_next(claims, 1004, make_claim(&third));
	assert_int_equal(cw_claims_lookup(claims, 7).holder, 3);
	cw_claims_destroy(claims);
}

/*
 * Guards against running a request that was reported "not run": the append of its claim was
 * slow, so the request was rejected and the claim released. The claim's record then arrived, or
 * arrived again, and acquired the key.
 */
static void a_claim_released_before_its_record_acquires_no_key(void **state)
{
	struct cw_claims *claims = cw_claims_create(100, WINDOW_MS);

	apply_next(claims, 1000, make_release(&first));
	apply_next(claims, 1001, make_claim(&first));
	assert_int_equal(cw_claims_lookup(claims, 7).state, CW_CLAIM_FREE);
	cw_claims_destroy(claims);
}

static void an_outcome_answers_repeated_requests(void **state)
{
	struct cw_claims *claims = cw_claims_create(100, WINDOW_MS);
	char *oversized = g_strnfill(CW_CLAIM_BODY_MAX + 1, 'x');

	apply_next(claims, 1000, make_claim(&first));
	apply_next(claims, 1001, make_outcome(&second, "not its holder"));
	assert_int_equal(cw_claims_lookup(claims, 7).state, CW_CLAIM_PENDING);
	apply_next(claims, 1002, make_outcome(&first, "done"));
	assert_int_equal(cw_claims_lookup(claims, 7).state, CW_CLAIM_COMPLETED);
	assert_int_equal(cw_claims_lookup(claims, 7).status, 201);
	assert_string_equal(cw_claims_lookup(claims, 7).answer, "done");
	apply_next(claims, 1003, make_release(&first));
	apply_next(claims, 1004, make_outcome(&first, "again"));
	assert_string_equal(cw_claims_lookup(claims, 7).answer, "done");
	apply_next(claims, 1005, make_claim(&(struct cw_claim){.key = 8, .claim = 3, .body = 5}));
	apply_next(claims, 1006,
		   make_outcome(&(struct cw_claim){.key = 8, .claim = 3, .body = 5}, oversized));
	assert_null(cw_claims_lookup(claims, 8).answer);
	g_free(oversized);
	cw_claims_destroy(claims);
}

/*
 * Guards against running a request again whose first claim has expired from the log: an instance
 * starts after the first claim's record expired and reads only a second claim of the same key,
 * which it takes for the holder. Keys that are appended again ("kept") carry the first
 * claim's offset.
 */
static void keys_appended_again_outlive_their_first_records(void **state)
{
	struct cw_claims *existing = cw_claims_create(100, WINDOW_MS);
	struct cw_claims *joining = cw_claims_create(100, WINDOW_MS);
	struct json_object *checkpoint = json_object_new_object();
	struct json_object *floor = json_object_new_object();
	uint64_t last = 0;

	apply_next(existing, 1000, make_claim(&first));
	apply_next(existing, 1001, make_outcome(&first, "done"));
	assert_int_equal(cw_claims_add_checkpoint(existing, checkpoint, 0, 10, &last), 1);
	cw_claims_add_floor(floor, 3);
	cw_claims_start_at(joining, 3);
	assert_false(cw_claims_is_complete(joining));
	apply_next(joining, 1500, make_claim(&second));
	assert_int_equal(cw_claims_lookup(joining, 7).holder, 2);
	apply_next(joining, 1501, json_object_get(checkpoint));
	assert_int_equal(cw_claims_lookup(joining, 7).holder, 1);
	assert_string_equal(cw_claims_lookup(joining, 7).answer, "done");
	apply_next(joining, 1502, floor);
	assert_true(cw_claims_is_complete(joining));
	json_object_put(checkpoint);
	cw_claims_destroy(existing);
	cw_claims_destroy(joining);
}

static void without_a_floor_claims_are_complete_after_one_window(void **state)
{
	struct cw_claims *claims = cw_claims_create(100, WINDOW_MS);

	assert_true(cw_claims_is_complete(claims));
	cw_claims_start_at(claims, 50);
	apply_next(claims, 5000, make_claim(&first));
	assert_false(cw_claims_is_complete(claims));
	apply_next(claims, 5000 + WINDOW_MS - 1, json_object_new_object());
	assert_false(cw_claims_is_complete(claims));
	apply_next(claims, 5000 + WINDOW_MS, json_object_new_object());
	assert_true(cw_claims_is_complete(claims));
	apply_next(claims, 5001 + WINDOW_MS, json_object_new_object());
	assert_int_equal(cw_claims_count(claims), 0);
	cw_claims_destroy(claims);
}

static void malformed_records_change_nothing(void **state)
{
	static const char *const malformed[] = {"",
						"7",
						"[]",
						"{\"claims\":7}",
						"{\"claims\":[7]}",
						"{\"outcomes\":[{}]}",
						"{\"kept\":[{}]}",
						"{\"floor\":\"x\"}"};
	struct cw_claims *claims = cw_claims_create(100, WINDOW_MS);

	apply_next(claims, 1000, make_claim(&first));
	for (size_t i = 0; i < G_N_ELEMENTS(malformed); i++)
		assert_int_equal(cw_claims_apply_record(claims, cw_claims_offset(claims) + 1, 1000,
							malformed[i], NULL),
				 CW_OK);
	assert_int_equal(cw_claims_lookup(claims, 7).holder, 1);
	assert_int_equal(cw_claims_apply_record(claims, 99, 1000, "{}", NULL), CW_INVALID);
	cw_claims_destroy(claims);
}

/* Guards against a key that is free again since the log lost its claim. */
static void a_lost_claim_holds_its_key_and_is_written_again(void **state)
{
	struct cw_claims *claims = cw_claims_create(100, WINDOW_MS);
	struct cw_claims *later = cw_claims_create(100, WINDOW_MS);
	struct json_object *record = json_object_new_object();

	apply_next(claims, 1000, make_claim(&first));
	apply_next(claims, 1001, make_outcome(&first, "done"));
	cw_claims_rewind(claims, 1);
	assert_int_equal(cw_claims_offset(claims), 0);
	assert_int_equal(cw_claims_count_lost(claims), 1);
	assert_int_equal(cw_claims_add_lost(claims, record, 10), 1);
	apply_next(later, 2000, make_claim(&second));
	apply_next(claims, 2000, make_claim(&second));
	assert_int_equal(cw_claims_lookup(claims, 7).holder, 1);
	assert_int_equal(cw_claims_count_lost(claims), 1);
	apply_next(later, 2001, json_object_get(record));
	apply_next(claims, 2001, record);
	assert_int_equal(cw_claims_count_lost(claims), 0);
	assert_int_equal(cw_claims_lookup(later, 7).holder, 1);
	assert_int_equal(cw_claims_lookup(later, 7).state, CW_CLAIM_COMPLETED);
	cw_claims_destroy(claims);
	cw_claims_destroy(later);
}

/* Guards against claims that are written again although the log still holds them. */
static void a_claim_that_is_read_again_is_not_lost(void **state)
{
	struct cw_claims *claims = cw_claims_create(100, WINDOW_MS);

	apply_next(claims, 1000, make_claim(&first));
	apply_next(claims, 1001, make_outcome(&first, "done"));
	cw_claims_rewind(claims, 1);
	apply_next(claims, 1000, make_claim(&first));
	assert_int_equal(cw_claims_count_lost(claims), 1);
	apply_next(claims, 1001, make_outcome(&first, "done"));
	assert_int_equal(cw_claims_count_lost(claims), 0);
	assert_int_equal(cw_claims_is_complete(claims), 1);
	cw_claims_destroy(claims);
}

/* Guards against a key that stays claimed for ever since the log lost the release. */
static void a_lost_release_is_written_again(void **state)
{
	struct cw_claims *claims = cw_claims_create(100, WINDOW_MS);
	struct json_object *record = json_object_new_object();
	struct cw_claims *later = cw_claims_create(100, WINDOW_MS);

	apply_next(claims, 1000, make_claim(&first));
	apply_next(claims, 1001, make_release(&first));
	cw_claims_rewind(claims, 2);
	assert_int_equal(cw_claims_add_lost(claims, record, 10), 1);
	apply_next(later, 1000, make_claim(&first));
	apply_next(later, 2000, json_object_get(record));
	apply_next(claims, 2000, record);
	assert_int_equal(cw_claims_lookup(later, 7).state, CW_CLAIM_FREE);
	assert_int_equal(cw_claims_count_lost(claims), 0);
	cw_claims_destroy(claims);
	cw_claims_destroy(later);
}

/* Guards against keyed requests that are rejected for the whole window after a deep loss. */
static void records_known_before_the_loss_may_expire(void **state)
{
	struct cw_claims *claims = cw_claims_create(100, WINDOW_MS);

	apply_next(claims, 1000, make_claim(&first));
	apply_next(claims, 1001, make_claim(&second));
	cw_claims_rewind(claims, 1);
	cw_claims_start_at(claims, 2);
	assert_int_equal(cw_claims_is_complete(claims), 1);
	cw_claims_start_at(claims, 9);
	assert_int_equal(cw_claims_is_complete(claims), 0);
	cw_claims_destroy(claims);
}

/* Guards against keyed requests that are rejected as an expired claim counts as lost for ever. */
static void an_expired_claim_does_not_stay_lost(void **state)
{
	static const struct cw_claim other = {.key = 8, .claim = 9, .body = 5};
	struct cw_claims *claims = cw_claims_create(100, WINDOW_MS);
	struct json_object *record = json_object_new_object();

	apply_next(claims, 1000, json_object_new_object());
	apply_next(claims, 1000, make_claim(&first));
	cw_claims_rewind(claims, 1);
	apply_next(claims, 5000, make_claim(&other));
	assert_int_equal(cw_claims_add_lost(claims, record, 10), 1);
	apply_next(claims, 1000 + WINDOW_MS + 1, record);
	assert_int_equal(cw_claims_count_lost(claims), 0);
	cw_claims_destroy(claims);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(the_first_claim_holds_the_key_until_its_release),
		cmocka_unit_test(a_claim_released_before_its_record_acquires_no_key),
		cmocka_unit_test(an_outcome_answers_repeated_requests),
		cmocka_unit_test(keys_appended_again_outlive_their_first_records),
		cmocka_unit_test(without_a_floor_claims_are_complete_after_one_window),
		cmocka_unit_test(malformed_records_change_nothing),
		cmocka_unit_test(a_lost_claim_holds_its_key_and_is_written_again),
		cmocka_unit_test(a_claim_that_is_read_again_is_not_lost),
		cmocka_unit_test(a_lost_release_is_written_again),
		cmocka_unit_test(records_known_before_the_loss_may_expire),
		cmocka_unit_test(an_expired_claim_does_not_stay_lost),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
