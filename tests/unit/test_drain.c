/* Drains of failure domains, with orders that arrive late, twice and out of order. */
#include "cw_drain.h"
#include "unit.h"

#include <glib.h>
#include <string.h>

static int apply(struct cw_drains *drains, const char *domain, uint64_t offset, int is_drained)
{
	struct cw_drain_order order = {.position = {1, offset}, .is_drained = is_drained};

	strncpy(order.failure_domain, domain, CW_NAME_MAX - 1);
	return cw_drains_apply(drains, &order);
}

static void a_domain_is_drained_until_it_is_restored(void **state)
{
	struct cw_drains *drains = cw_drains_create();

	assert_false(cw_drains_is_drained(drains, "d1"));
	assert_true(apply(drains, "d1", 5, 1));
	assert_true(cw_drains_is_drained(drains, "d1"));
	assert_false(cw_drains_is_drained(drains, "d2"));
	assert_true(apply(drains, "d2", 6, 1));
	assert_true(apply(drains, "d1", 7, 0));
	assert_false(cw_drains_is_drained(drains, "d1"));
	assert_true(cw_drains_is_drained(drains, "d2"));
	cw_drains_destroy(drains);
}

/* A peer without the newer order may still announce a drain that was restored. */
static void an_older_order_is_ignored(void **state)
{
	struct cw_drains *drains = cw_drains_create();

	assert_true(apply(drains, "d1", 7, 1));
	assert_true(apply(drains, "d1", 9, 0));
	assert_false(apply(drains, "d1", 7, 1));
	assert_false(cw_drains_is_drained(drains, "d1"));
	assert_true(apply(drains, "d1", 11, 1));
	assert_false(apply(drains, "d1", 9, 0));
	assert_false(apply(drains, "d1", 11, 1));
	assert_true(cw_drains_is_drained(drains, "d1"));
	cw_drains_destroy(drains);
}

/* Guards against an order that is ignored, as its offset was given out before. */
static void an_order_of_a_later_era_is_newer(void **state)
{
	struct cw_drains *drains = cw_drains_create();
	struct cw_drain_order restored = {"d1", {2, 3}, 0};

	assert_true(apply(drains, "d1", 7, 1));
	assert_true(cw_drains_apply(drains, &restored));
	assert_false(apply(drains, "d1", 9, 1));
	assert_false(cw_drains_is_drained(drains, "d1"));
	assert_true(cw_drains_has_order(drains, "d1"));
	assert_false(cw_drains_has_order(drains, "d2"));
	cw_drains_destroy(drains);
}

/*
 * Guards against a domain that stays drained forever, because the record that restored it was
 * dropped from the history.
 */
static void a_drain_without_a_record_is_restored(void **state)
{
	struct cw_drains *drains = cw_drains_create();
	struct cw_drain_order restored;

	apply(drains, "d1", 5, 1);
	apply(drains, "d2", 6, 1);
	apply(drains, "d3", 30, 1);
	cw_drains_begin_scan(drains);
	apply(drains, "d2", 6, 1);
	assert_true(cw_drains_next_unseen(drains, (struct cw_position){1, 20}, &restored));
	assert_string_equal(restored.failure_domain, "d1");
	assert_false(restored.is_drained);
	assert_true(cw_drains_apply(drains, &restored));
	/* The order on d3 came from a peer, and its record lies past the end of the scan. */
	assert_false(cw_drains_next_unseen(drains, (struct cw_position){1, 20}, &restored));
	assert_false(cw_drains_is_drained(drains, "d1"));
	assert_true(cw_drains_is_drained(drains, "d2"));
	assert_true(cw_drains_is_drained(drains, "d3"));
	/* The next record of d1 is at the end of the scan. */
	assert_true(apply(drains, "d1", 20, 1));
	cw_drains_destroy(drains);
}

/* A full table gives up restored domains only, never drained ones. */
static void a_full_table_replaces_only_restored_domains(void **state)
{
	struct cw_drains *drains = cw_drains_create();
	char name[16];

	for (int i = 0; i < CW_DRAINS_MAX; i++) {
		g_snprintf(name, sizeof(name), "d%d", i);
		assert_true(apply(drains, name, (uint64_t)i + 1, 1));
	}
	assert_false(apply(drains, "more", 50, 1));
	assert_true(apply(drains, "d3", 51, 0));
	assert_true(apply(drains, "more", 52, 1));
	assert_true(cw_drains_is_drained(drains, "more"));
	assert_true(cw_drains_is_drained(drains, "d0"));
	cw_drains_destroy(drains);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(a_domain_is_drained_until_it_is_restored),
		cmocka_unit_test(an_older_order_is_ignored),
		cmocka_unit_test(an_order_of_a_later_era_is_newer),
		cmocka_unit_test(a_drain_without_a_record_is_restored),
		cmocka_unit_test(a_full_table_replaces_only_restored_domains),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
