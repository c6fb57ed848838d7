#include "unit.h"

#include "cw_claims.h"

#include <glib.h>
#include <json-c/json.h>

#define WINDOW_MS 10000

static const struct cw_claim first = {.key = 7, .claim = 1, .body = 5};
static const struct cw_claim second = {.key = 7, .claim = 2, .body = 5};
static const struct cw_claim third = {.key = 7, .claim = 3, .body = 5};

static void append(struct cw_claims *claims, int64_t time_ms, struct json_object *record)
{
	assert_int_equal(cw_claims_fold(claims, cw_claims_offset(claims) + 1, time_ms,
					json_object_to_json_string(record), NULL),
			 CW_OK);
	json_object_put(record);
}

static struct json_object *claim_of(const struct cw_claim *claim)
{
	struct json_object *record = json_object_new_object();

	cw_claims_add_claim(record, claim);
	return record;
}

static struct json_object *release_of(const struct cw_claim *claim)
{
	struct json_object *record = json_object_new_object();

	cw_claims_add_release(record, claim);
	return record;
}

static struct json_object *outcome_of(const struct cw_claim *claim, const char *answer)
{
	struct json_object *record = json_object_new_object();

	cw_claims_add_outcome(record, claim, 201, answer);
	return record;
}

static void the_first_claim_holds_until_its_own_release(void **state)
{
	struct cw_claims *claims = cw_claims_create(100, WINDOW_MS);

	append(claims, 1000, claim_of(&first));
	append(claims, 1001, claim_of(&second));
	assert_int_equal(cw_claims_lookup(claims, 7).holder, 1);
	append(claims, 1002, release_of(&second));
	assert_int_equal(cw_claims_lookup(claims, 7).holder, 1);
	append(claims, 1003, release_of(&first));
	assert_int_equal(cw_claims_lookup(claims, 7).state, CW_CLAIM_FREE);
	append(claims, 1004, claim_of(&third));
	assert_int_equal(cw_claims_lookup(claims, 7).holder, 3);
	cw_claims_destroy(claims);
}

/*
 * Symptom: an order ran that its caller had been told was not run.
 * Sequence: a claim's append is slow; the request is given up, "not run", and the claim released;
 * then the claim's record arrives, or arrives again.
 * Cause: the late claim took the key anew.
 */
static void a_claim_given_back_before_it_came_takes_nothing(void **state)
{
	struct cw_claims *claims = cw_claims_create(100, WINDOW_MS);

	append(claims, 1000, release_of(&first));
	append(claims, 1001, claim_of(&first));
	assert_int_equal(cw_claims_lookup(claims, 7).state, CW_CLAIM_FREE);
	cw_claims_destroy(claims);
}

static void an_outcome_answers_repeats(void **state)
{
	struct cw_claims *claims = cw_claims_create(100, WINDOW_MS);
	char *longer = g_strnfill(CW_CLAIM_BODY_MAX + 1, 'x');

	append(claims, 1000, claim_of(&first));
	append(claims, 1001, outcome_of(&second, "not its holder"));
	assert_int_equal(cw_claims_lookup(claims, 7).state, CW_CLAIM_PENDING);
	append(claims, 1002, outcome_of(&first, "done"));
	assert_int_equal(cw_claims_lookup(claims, 7).state, CW_CLAIM_COMPLETED);
	assert_int_equal(cw_claims_lookup(claims, 7).status, 201);
	assert_string_equal(cw_claims_lookup(claims, 7).answer, "done");
	append(claims, 1003, release_of(&first));
	append(claims, 1004, outcome_of(&first, "again"));
	assert_string_equal(cw_claims_lookup(claims, 7).answer, "done");
	append(claims, 1005, claim_of(&(struct cw_claim){.key = 8, .claim = 3, .body = 5}));
	append(claims, 1006,
	       outcome_of(&(struct cw_claim){.key = 8, .claim = 3, .body = 5}, longer));
	assert_null(cw_claims_lookup(claims, 8).answer);
	g_free(longer);
	cw_claims_destroy(claims);
}

/*
 * Symptom: a new instance took an order again whose first claim had expired from the log.
 * Sequence: a claim, later another try of the same key; the first record expires; an instance
 * starts. Cause: it took the second claim for the first. Kept keys carry the first claim's offset.
 */
static void kept_keys_outlive_their_records(void **state)
{
	struct cw_claims *old = cw_claims_create(100, WINDOW_MS);
	struct cw_claims *young = cw_claims_create(100, WINDOW_MS);
	struct json_object *kept = json_object_new_object();
	struct json_object *floor = json_object_new_object();
	uint64_t last = 0;

	append(old, 1000, claim_of(&first));
	append(old, 1001, outcome_of(&first, "done"));
	assert_int_equal(cw_claims_add_kept(old, kept, 0, 10, &last), 1);
	cw_claims_add_floor(floor, 3);
	cw_claims_start_at(young, 3);
	assert_false(cw_claims_is_complete(young));
	append(young, 1500, claim_of(&second));
	assert_int_equal(cw_claims_lookup(young, 7).holder, 2);
	append(young, 1501, json_object_get(kept));
	assert_int_equal(cw_claims_lookup(young, 7).holder, 1);
	assert_string_equal(cw_claims_lookup(young, 7).answer, "done");
	append(young, 1502, floor);
	assert_true(cw_claims_is_complete(young));
	json_object_put(kept);
	cw_claims_destroy(old);
	cw_claims_destroy(young);
}

static void without_a_floor_only_the_window_makes_it_complete(void **state)
{
	struct cw_claims *claims = cw_claims_create(100, WINDOW_MS);

	assert_true(cw_claims_is_complete(claims));
	cw_claims_start_at(claims, 50);
	append(claims, 5000, claim_of(&first));
	assert_false(cw_claims_is_complete(claims));
	append(claims, 5000 + WINDOW_MS - 1, json_object_new_object());
	assert_false(cw_claims_is_complete(claims));
	append(claims, 5000 + WINDOW_MS, json_object_new_object());
	assert_true(cw_claims_is_complete(claims));
	append(claims, 5001 + WINDOW_MS, json_object_new_object());
	assert_int_equal(cw_claims_count(claims), 0);
	cw_claims_destroy(claims);
}

static void rubbish_changes_nothing(void **state)
{
	static const char *const rubbish[] = {"",
					      "7",
					      "[]",
					      "{\"claims\":7}",
					      "{\"claims\":[7]}",
					      "{\"outcomes\":[{}]}",
					      "{\"kept\":[{}]}",
					      "{\"floor\":\"x\"}"};
	struct cw_claims *claims = cw_claims_create(100, WINDOW_MS);

	append(claims, 1000, claim_of(&first));
	for (size_t i = 0; i < G_N_ELEMENTS(rubbish); i++)
		assert_int_equal(cw_claims_fold(claims, cw_claims_offset(claims) + 1, 1000,
						rubbish[i], NULL),
				 CW_OK);
	assert_int_equal(cw_claims_lookup(claims, 7).holder, 1);
	assert_int_equal(cw_claims_fold(claims, 99, 1000, "{}", NULL), CW_INVALID);
	cw_claims_destroy(claims);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(the_first_claim_holds_until_its_own_release),
		cmocka_unit_test(a_claim_given_back_before_it_came_takes_nothing),
		cmocka_unit_test(an_outcome_answers_repeats),
		cmocka_unit_test(kept_keys_outlive_their_records),
		cmocka_unit_test(without_a_floor_only_the_window_makes_it_complete),
		cmocka_unit_test(rubbish_changes_nothing),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
