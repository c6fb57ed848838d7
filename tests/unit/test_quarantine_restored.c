/* The quarantine while the shared store is restored from an older copy of itself. */
#include "quarantine_bed.h"

#include <string.h>

#define ERA_MS	   (NOW + 5000)
#define SETTLED_MS (ERA_MS + 2000)

static struct cw_quarantine *quarantined(void)
{
	struct cw_quarantine *quarantine = cw_quarantine_create();

	for (int server = 1; server <= 3; server++)
		fixture_crash_server(quarantine, POISON, server, NOW + server);
	fixture_run_ticks(quarantine, NOW + 3, NOW + DECISION_MS);
	cw_quarantine_mark_written(quarantine, POISON, 0, NOW + DECISION_MS);
	return quarantine;
}

static struct cw_quarantine_record stored(int is_released)
{
	struct cw_quarantine_record record = {
		.fingerprint = POISON, .is_released = is_released, .is_written = 1};

	strcpy(record.target, "chat");
	return record;
}

/* Guards against a record that stays lost: after a restart of all, no instance would know it. */
static void a_lost_record_is_written_again_in_turns(void **state)
{
	struct cw_quarantine *quarantine = quarantined();
	struct cw_quarantine_record record;

	fixture_run_ticks(quarantine, NOW + DECISION_MS, ERA_MS);
	cw_quarantine_begin_era(quarantine, SETTLED_MS);
	/* First the instances that read the store say what it has. */
	assert_false(cw_quarantine_find_unwritten(quarantine, SETTLED_MS - 1, &record));
	assert_true(cw_quarantine_find_unwritten(quarantine, SETTLED_MS + 10, &record));
	assert_int_equal(record.fingerprint, POISON);
	assert_int_equal(record.age_ms, 10);
	cw_quarantine_destroy(quarantine);
}

static void a_record_that_the_copy_has_is_not_written_again(void **state)
{
	struct cw_quarantine *quarantine = quarantined();
	struct cw_quarantine_record record = stored(0);

	cw_quarantine_begin_era(quarantine, SETTLED_MS);
	cw_quarantine_merge_record(quarantine, &record, CW_QUARANTINE_STORE, ERA_MS + 10);
	assert_false(cw_quarantine_find_unwritten(quarantine, SETTLED_MS + 10, &record));
	cw_quarantine_destroy(quarantine);
}

/* Guards against a request that is quarantined again, as the copy lacks its release. */
static void a_lost_release_is_not_undone(void **state)
{
	struct cw_quarantine *quarantine = quarantined();
	struct cw_quarantine_record record = stored(0);

	assert_true(cw_quarantine_release(quarantine, POISON, NOW + 3000));
	cw_quarantine_mark_written(quarantine, POISON, 1, NOW + 3000);
	cw_quarantine_begin_era(quarantine, SETTLED_MS);
	cw_quarantine_merge_record(quarantine, &record, CW_QUARANTINE_STORE, ERA_MS + 10);
	assert_false(cw_quarantine_contains(quarantine, POISON));
	assert_true(cw_quarantine_find_unwritten(quarantine, SETTLED_MS, &record));
	assert_true(record.is_released);
	cw_quarantine_destroy(quarantine);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(a_lost_record_is_written_again_in_turns),
		cmocka_unit_test(a_record_that_the_copy_has_is_not_written_again),
		cmocka_unit_test(a_lost_release_is_not_undone),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
