/* A server list that was restored from an older copy, in which later entries are missing. */
#include "cw_pool.h"
#include "unit.h"

#include <string.h>

#define NOW	5000
#define SETTLED (NOW + 5000)

static enum cw_listing apply(struct cw_pool *pool, const char *name, int64_t start_ms,
			     int is_leaving, int64_t now_ms)
{
	struct cw_server_entry entry = {.service = "app",
					.address = "10.0.0.1:80",
					.failure_domain = "d1",
					.software = "v1",
					.process_start_ms = start_ms,
					.is_leaving = is_leaving,
					.slots = 6};

	strncpy(entry.name, name, CW_NAME_MAX - 1);
	return cw_pool_apply_entry(pool, &entry, now_ms);
}

static struct cw_pool *create(void)
{
	struct cw_pool *pool = cw_pool_create(&cw_choice_two);

	apply(pool, "leaving", 0, 0, NOW - 4000);
	apply(pool, "leaving", 0, 1, NOW - 3000);
	apply(pool, "removed", 0, 0, NOW - 4000);
	cw_pool_delist(pool, cw_pool_find_name(pool, "removed"), NOW - 2000, NOW - 2000);
	cw_pool_sweep(pool, NOW - 1000);
	apply(pool, "ready", 0, 0, NOW - 4000);
	cw_pool_begin_era(pool, SETTLED, NOW);
	return pool;
}

/* Guards against requests to a server that left or was removed, since an older entry came back. */
static void an_older_entry_does_not_bring_a_server_back(void **state)
{
	struct cw_pool *pool = create();

	assert_int_equal(apply(pool, "leaving", 0, 0, NOW), CW_LISTING_HELD);
	assert_int_equal(apply(pool, "removed", 0, 0, NOW), CW_LISTING_HELD);
	assert_int_equal(apply(pool, "ready", 0, 0, NOW), CW_LISTING_SAME);
	assert_true(cw_pool_is_leaving(cw_pool_find_name(pool, "leaving")));
	assert_null(cw_pool_find_name(pool, "removed"));
	/* It was listed, and is not removed for that reason. */
	cw_pool_delist_unlisted(pool, NOW, NOW + 1, NOW + 1);
	assert_int_equal(cw_pool_find_name(pool, "leaving")->removed_ms, 0);
	cw_pool_destroy(pool);
}

/* Guards against a server that works and is never used again. */
static void an_entry_that_stays_listed_counts_in_the_end(void **state)
{
	struct cw_pool *pool = create();
	struct cw_server_entry entry;
	size_t count = 0;

	apply(pool, "leaving", 0, 0, NOW);
	apply(pool, "removed", 0, 0, NOW);
	assert_int_equal(cw_pool_next_settled(pool, &entry, SETTLED - 1), 0);
	while (cw_pool_next_settled(pool, &entry, SETTLED)) {
		assert_int_equal(cw_pool_apply_entry(pool, &entry, SETTLED),
				 strcmp(entry.name, "removed") ? CW_LISTING_CHANGED
							       : CW_LISTING_NEW);
		count++;
	}
	assert_int_equal(count, 2);
	assert_false(cw_pool_is_leaving(cw_pool_find_name(pool, "leaving")));
	cw_pool_destroy(pool);
}

static void a_later_record_drops_the_held_entry(void **state)
{
	struct cw_pool *pool = create();
	struct cw_server_entry entry;

	apply(pool, "leaving", 0, 0, NOW);
	apply(pool, "removed", 0, 0, NOW);
	assert_int_equal(cw_pool_held_count(pool), 2);
	assert_int_equal(apply(pool, "leaving", 0, 1, NOW + 500), CW_LISTING_SAME);
	cw_pool_drop_held(pool, "removed");
	assert_int_equal(cw_pool_next_settled(pool, &entry, SETTLED), 0);
	cw_pool_destroy(pool);
}

/* Guards against an entry that is kept from use though it is newer than all that is known. */
static void entries_after_what_was_learned_in_this_era_count_at_once(void **state)
{
	struct cw_pool *pool = create();

	assert_int_equal(apply(pool, "leaving", 7, 0, NOW), CW_LISTING_CHANGED);
	assert_int_equal(apply(pool, "removed", 7, 0, NOW), CW_LISTING_NEW);
	apply(pool, "ready", 0, 1, NOW + 100);
	assert_int_equal(apply(pool, "ready", 0, 0, NOW + 200), CW_LISTING_CHANGED);
	cw_pool_delist(pool, cw_pool_find_name(pool, "ready"), NOW + 300, NOW + 300);
	cw_pool_sweep(pool, NOW + 400);
	assert_int_equal(apply(pool, "ready", 0, 0, NOW + 500), CW_LISTING_NEW);
	/* In the next era, what was learned in this one is older. */
	apply(pool, "ready", 0, 1, NOW + 600);
	cw_pool_begin_era(pool, SETTLED + 1000, NOW + 1000);
	assert_int_equal(apply(pool, "ready", 0, 0, NOW + 1001), CW_LISTING_HELD);
	cw_pool_destroy(pool);
}

static void an_entry_that_a_peer_holds_is_held(void **state)
{
	struct cw_pool *pool = create();
	struct cw_server_entry entries[2];

	apply(pool, "removed", 0, 0, NOW);
	assert_int_equal(cw_pool_list_held(pool, entries, 2), 1);
	strcpy(entries[0].name, "unknown");
	assert_int_equal(cw_pool_hold_entry(pool, &entries[0], NOW), 1);
	strcpy(entries[0].name, "ready");
	assert_int_equal(cw_pool_hold_entry(pool, &entries[0], NOW), 0);
	strcpy(entries[0].name, "other");
	assert_int_equal(cw_pool_hold_entry(pool, &entries[0], SETTLED), 0);
	assert_int_equal(cw_pool_held_count(pool), 2);
	cw_pool_destroy(pool);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(an_older_entry_does_not_bring_a_server_back),
		cmocka_unit_test(an_entry_that_stays_listed_counts_in_the_end),
		cmocka_unit_test(a_later_record_drops_the_held_entry),
		cmocka_unit_test(entries_after_what_was_learned_in_this_era_count_at_once),
		cmocka_unit_test(an_entry_that_a_peer_holds_is_held),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
