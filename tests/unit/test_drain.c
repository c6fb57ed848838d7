/* Drains of failure domains: orders that come late, twice and in any order. */
#include "cw_drain.h"
#include "unit.h"

#include <glib.h>
#include <string.h>

static int take(struct cw_drains *drains, const char *domain, uint64_t offset, int is_drained)
{
	struct cw_drain_order order = {.offset = offset, .is_drained = is_drained};

	strncpy(order.failure_domain, domain, CW_NAME_MAX - 1);
	return cw_drains_take(drains, &order);
}

static void an_order_is_in_force_until_it_is_taken_back(void **state)
{
	struct cw_drains *drains = cw_drains_create();

	assert_false(cw_drains_has(drains, "d1"));
	assert_true(take(drains, "d1", 5, 1));
	assert_true(cw_drains_has(drains, "d1"));
	assert_false(cw_drains_has(drains, "d2"));
	assert_true(take(drains, "d2", 6, 1));
	assert_true(take(drains, "d1", 7, 0));
	assert_false(cw_drains_has(drains, "d1"));
	assert_true(cw_drains_has(drains, "d2"));
	cw_drains_destroy(drains);
}

/* A peer that hasn't heard that a drain was taken back tells of it: it must not come back. */
static void an_older_order_never_comes_back(void **state)
{
	struct cw_drains *drains = cw_drains_create();

	assert_true(take(drains, "d1", 7, 1));
	assert_true(take(drains, "d1", 9, 0));
	assert_false(take(drains, "d1", 7, 1));
	assert_false(cw_drains_has(drains, "d1"));
	assert_true(take(drains, "d1", 11, 1));
	assert_false(take(drains, "d1", 9, 0));
	assert_false(take(drains, "d1", 11, 1));
	assert_true(cw_drains_has(drains, "d1"));
	cw_drains_destroy(drains);
}

/* The end of a drain was dropped from the history: the domain would get nothing for ever. */
static void a_drain_without_a_record_was_taken_back(void **state)
{
	struct cw_drains *drains = cw_drains_create();
	struct cw_drain_order restored;

	take(drains, "d1", 5, 1);
	take(drains, "d2", 6, 1);
	take(drains, "d3", 30, 1);
	cw_drains_collect(drains);
	take(drains, "d2", 6, 1);
	assert_true(cw_drains_collected(drains, 20, &restored));
	assert_string_equal(restored.failure_domain, "d1");
	assert_false(restored.is_drained);
	assert_true(cw_drains_take(drains, &restored));
	/* d3 came from a peer, and its record follows the collection. */
	assert_false(cw_drains_collected(drains, 20, &restored));
	assert_false(cw_drains_has(drains, "d1"));
	assert_true(cw_drains_has(drains, "d2"));
	assert_true(cw_drains_has(drains, "d3"));
	/* The next record of d1 is at the collection's end. */
	assert_true(take(drains, "d1", 20, 1));
	cw_drains_destroy(drains);
}

/* Names that nobody drains any more make room; those that are drained stay. */
static void what_is_drained_is_never_dropped_for_room(void **state)
{
	struct cw_drains *drains = cw_drains_create();
	char name[16];

	for (int i = 0; i < CW_DRAINS; i++) {
		g_snprintf(name, sizeof(name), "d%d", i);
		assert_true(take(drains, name, (uint64_t)i + 1, 1));
	}
	assert_false(take(drains, "more", 50, 1));
	assert_true(take(drains, "d3", 51, 0));
	assert_true(take(drains, "more", 52, 1));
	assert_true(cw_drains_has(drains, "more"));
	assert_true(cw_drains_has(drains, "d0"));
	cw_drains_destroy(drains);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(an_order_is_in_force_until_it_is_taken_back),
		cmocka_unit_test(an_older_order_never_comes_back),
		cmocka_unit_test(a_drain_without_a_record_was_taken_back),
		cmocka_unit_test(what_is_drained_is_never_dropped_for_room),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
