#include "unit.h"

#include "cw_session.h"

#include <glib.h>
#include <string.h>

static const uint8_t key[CW_KEY_BYTES] = {1, 2, 3};

static struct cw_binding binding_of(uint64_t session, uint64_t bound_at, const char *version)
{
	struct cw_binding binding = {.key = session, .bound_at = bound_at, .row = 42};

	g_strlcpy(binding.model, "m.x", CW_NAME_MAX);
	g_strlcpy(binding.version, version, CW_NAME_MAX);
	return binding;
}

static void merging_is_independent_of_the_order(void **state)
{
	const struct cw_binding bindings[] = {binding_of(1, 5, "a"), binding_of(1, 3, "b"),
					      binding_of(1, 9, "c")};
	static const int orders[][3] = {{0, 1, 2}, {0, 2, 1}, {1, 0, 2},
					{1, 2, 0}, {2, 0, 1}, {2, 1, 0}};

	for (size_t i = 0; i < 6; i++) {
		struct cw_session_store *store = cw_session_create(10);

		for (size_t j = 0; j < 3; j++) {
			cw_session_merge(store, &bindings[orders[i][j]], 1000);
			assert_false(cw_session_merge(store, &bindings[orders[i][j]], 1000));
		}
		assert_string_equal(cw_session_find(store, 1, 1000)->version, "b");
		cw_session_destroy(store);
	}
}

static void the_store_is_bounded_and_idle_bindings_expire(void **state)
{
	struct cw_session_store *store = cw_session_create(3);

	for (uint64_t session = 1; session <= 4; session++) {
		struct cw_binding binding = binding_of(session, 1, "a");

		cw_session_merge(store, &binding, (int64_t)session * 1000);
	}
	assert_int_equal(cw_session_count(store), 3);
	assert_null(cw_session_find(store, 1, 5000));
	assert_non_null(cw_session_find(store, 2, 9000));
	cw_session_expire(store, 10000, 5000);
	assert_int_equal(cw_session_count(store), 1);
	cw_session_destroy(store);
}

static void a_decoded_token_has_the_encoded_binding(void **state)
{
	struct cw_binding bound = binding_of(77, 12, "v-1");
	struct cw_binding read;
	char token[CW_TOKEN_MAX];

	cw_token_encode(key, &bound, token);
	assert_int_equal(cw_token_decode(key, token, &read), CW_OK);
	assert_int_equal(read.key, 77);
	assert_int_equal(read.bound_at, 12);
	assert_int_equal(read.row, 42);
	assert_string_equal(read.model, "m.x");
	assert_string_equal(read.version, "v-1");
}

static void a_forged_token_is_rejected(void **state)
{
	static const char *const malformed[] = {"", ".", "a.b", "0000.1.m/v", "...", "x.y.z.zz"};
	struct cw_binding bound = binding_of(77, 12, "v1");
	struct cw_binding read;
	char token[CW_TOKEN_MAX];

	cw_token_encode(key, &bound, token);
	for (size_t i = 0; i < strlen(token); i++) {
		char original = token[i];

		token[i] = original == '1' ? '2' : '1';
		assert_int_equal(cw_token_decode(key, token, &read), CW_INVALID);
		token[i] = original;
	}
	for (size_t i = 0; i < sizeof(malformed) / sizeof(malformed[0]); i++)
		assert_int_equal(cw_token_decode(key, malformed[i], &read), CW_INVALID);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(merging_is_independent_of_the_order),
		cmocka_unit_test(the_store_is_bounded_and_idle_bindings_expire),
		cmocka_unit_test(a_decoded_token_has_the_encoded_binding),
		cmocka_unit_test(a_forged_token_is_rejected),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
