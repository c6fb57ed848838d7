/* Crashes that do not tell poison requests from harmless ones. */
#include "quarantine_bed.h"

#define OTHER_ORGANISATION "others"

/* A crash under both requests; the ran_ms of POISON is 50. */
static void crash_both(struct cw_quarantine *quarantine, uint64_t server, int64_t harmless_ran_ms,
		       int64_t now_ms)
{
	struct cw_quarantine_request harmless = fixture_make_request(HARMLESS, OTHER_ORGANISATION);

	cw_quarantine_note_break(quarantine, &harmless, server, harmless_ran_ms, 0, now_ms);
	fixture_crash_server(quarantine, POISON, server, now_ms);
}

/*
 * Guards against a poison request that is released, and crashes further servers, because a server
 * crashes for another reason while it is quarantined.
 */
static void a_crash_of_another_cause_releases_no_new_quarantine(void **state)
{
	struct cw_quarantine *quarantine = cw_quarantine_create();

	for (int server = 1; server <= 4; server++)
		crash_both(quarantine, (uint64_t)server, 200, NOW + server * 50);
	fixture_run_ticks(quarantine, NOW + 200, NOW + 900);
	assert_true(cw_quarantine_contains(quarantine, POISON));
	fixture_crash_server(quarantine, HARMLESS, 5, NOW + 900);
	assert_true(cw_quarantine_contains(quarantine, POISON));
	fixture_run_ticks(quarantine, NOW + 900, NOW + 4000);
	assert_true(cw_quarantine_contains(quarantine, POISON));
	/* The other request is quarantined as well at most, until its trial. */
	if (cw_quarantine_contains(quarantine, HARMLESS)) {
		assert_true(cw_quarantine_wants_trial(quarantine, HARMLESS, NOW + 6000));
		cw_quarantine_begin_trial(quarantine, HARMLESS, NOW + 6000);
		cw_quarantine_note_answer(quarantine, HARMLESS, 6, 100, NOW + 6100);
		fixture_run_ticks(quarantine, NOW + 6100, NOW + 7200);
	}
	assert_false(cw_quarantine_contains(quarantine, HARMLESS));
	assert_true(cw_quarantine_contains(quarantine, POISON));
	cw_quarantine_destroy(quarantine);
}

/*
 * Guards against a harmless request that stays quarantined in the place of the poison request, and
 * against a poison request that goes on crashing servers meanwhile.
 */
static void a_request_quarantined_in_place_of_another_is_tried_within_seconds(void **state)
{
	struct cw_quarantine *quarantine = cw_quarantine_create();

	for (int server = 1; server <= 3; server++)
		crash_both(quarantine, (uint64_t)server, 10, NOW + server * 50);
	fixture_run_ticks(quarantine, NOW + 200, NOW + 900);
	assert_true(cw_quarantine_contains(quarantine, HARMLESS));
	fixture_crash_server(quarantine, POISON, 4, NOW + 900);
	assert_true(cw_quarantine_contains(quarantine, POISON));
	fixture_run_ticks(quarantine, NOW + 900, NOW + 2000);
	if (cw_quarantine_contains(quarantine, HARMLESS)) {
		assert_true(cw_quarantine_wants_trial(quarantine, HARMLESS, NOW + 2000));
		/* The likelier one has to wait, as its trial would cost a server. */
		assert_false(cw_quarantine_wants_trial(quarantine, POISON, NOW + 2000));
		cw_quarantine_begin_trial(quarantine, HARMLESS, NOW + 2000);
		cw_quarantine_note_answer(quarantine, HARMLESS, 5, 100, NOW + 2100);
		fixture_run_ticks(quarantine, NOW + 2100, NOW + 3200);
	}
	assert_false(cw_quarantine_contains(quarantine, HARMLESS));
	assert_true(cw_quarantine_contains(quarantine, POISON));
	assert_false(cw_quarantine_wants_trial(quarantine, POISON, NOW + 30000));
	cw_quarantine_destroy(quarantine);
}

/* Guards against a harmless request that is taken for proven: another one crashed its trial. */
static void a_trial_that_another_suspect_may_have_crashed_proves_nothing(void **state)
{
	struct cw_quarantine *quarantine = cw_quarantine_create();

	for (int server = 1; server <= 3; server++)
		crash_both(quarantine, (uint64_t)server, 10, NOW + server * 50);
	fixture_run_ticks(quarantine, NOW + 200, NOW + 900);
	fixture_crash_server(quarantine, POISON, 4, NOW + 900);
	fixture_run_ticks(quarantine, NOW + 900, NOW + 2000);
	cw_quarantine_begin_trial(quarantine, HARMLESS, NOW + 2000);
	crash_both(quarantine, 5, 100, NOW + 2200);
	fixture_run_ticks(quarantine, NOW + 2200, NOW + 14000);
	assert_true(cw_quarantine_contains(quarantine, POISON));
	if (cw_quarantine_contains(quarantine, HARMLESS))
		assert_true(cw_quarantine_wants_trial(quarantine, HARMLESS, NOW + 14000));
	cw_quarantine_destroy(quarantine);
}

/* Guards against two poison requests of which only the one with more crashes is quarantined. */
static void crashes_of_a_second_poison_request_quarantine_it_too(void **state)
{
	struct cw_quarantine *quarantine = cw_quarantine_create();

	for (int server = 1; server <= 4; server++)
		fixture_crash_server(quarantine, POISON, (uint64_t)server, NOW + server * 50);
	fixture_run_ticks(quarantine, NOW + 200, NOW + 900);
	for (int server = 5; server <= 9; server++)
		fixture_crash_server(quarantine, HARMLESS, (uint64_t)server, NOW + server * 200);
	fixture_run_ticks(quarantine, NOW + 1800, NOW + 3000);
	assert_true(cw_quarantine_contains(quarantine, POISON));
	assert_true(cw_quarantine_contains(quarantine, HARMLESS));
	assert_false(cw_quarantine_wants_trial(quarantine, POISON, NOW + 30000));
	assert_false(cw_quarantine_wants_trial(quarantine, HARMLESS, NOW + 30000));
	cw_quarantine_destroy(quarantine);
}

/* Guards against a harmless request that is taken for proven: its server crashed later on. */
static void a_crash_long_after_the_answer_of_a_trial_proves_nothing(void **state)
{
	struct cw_quarantine *quarantine = cw_quarantine_create();

	for (int server = 1; server <= 3; server++)
		crash_both(quarantine, (uint64_t)server, 10, NOW + server * 50);
	fixture_run_ticks(quarantine, NOW + 200, NOW + 8000);
	fixture_crash_server(quarantine, POISON, 4, NOW + 8000);
	assert_true(cw_quarantine_contains(quarantine, HARMLESS));
	fixture_run_ticks(quarantine, NOW + 8000, NOW + 9500);
	cw_quarantine_begin_trial(quarantine, HARMLESS, NOW + 9500);
	cw_quarantine_note_answer(quarantine, HARMLESS, 5, 100, NOW + 9600);
	/* Crashes of another cause, the second one after a restart of the server. */
	fixture_crash_server(quarantine, HARMLESS + 1, 5, NOW + 9900);
	fixture_crash_server(quarantine, HARMLESS + 2, 5, NOW + 10580);
	fixture_run_ticks(quarantine, NOW + 10580, NOW + 20000);
	assert_true(cw_quarantine_contains(quarantine, POISON));
	assert_true(cw_quarantine_wants_trial(quarantine, HARMLESS, NOW + 20000));
	cw_quarantine_destroy(quarantine);
}

/*
 * Guards against a harmless request that stays quarantined though it was answered: the answer is
 * verified after the decision.
 */
static void an_answer_before_the_decision_clears_a_request_when_it_is_verified(void **state)
{
	struct cw_quarantine *quarantine = cw_quarantine_create();

	fixture_crash_server(quarantine, HARMLESS, 1, NOW);
	fixture_crash_server(quarantine, HARMLESS, 2, NOW + 100);
	cw_quarantine_note_answer(quarantine, HARMLESS, 9, 100, NOW + 150);
	fixture_crash_server(quarantine, HARMLESS, 3, NOW + 200);
	assert_true(cw_quarantine_contains(quarantine, HARMLESS));
	fixture_run_ticks(quarantine, NOW + 200, NOW + 1300);
	assert_false(cw_quarantine_contains(quarantine, HARMLESS));
	cw_quarantine_destroy(quarantine);
}

/*
 * Guards against a poison request that crashes two servers for each harmless one that is
 * quarantined before it. All of twelve requests run at each crash, and the poison request has the
 * longest runs.
 */
static void requests_tied_in_all_crashes_are_quarantined_in_growing_groups(void **state)
{
	struct cw_quarantine *quarantine = cw_quarantine_create();
	int crashes = 0;

	for (; crashes < 12 && !cw_quarantine_contains(quarantine, POISON); crashes++) {
		int64_t now_ms = NOW + crashes * 600;

		for (uint64_t i = 0; i < 11; i++) {
			struct cw_quarantine_request request =
				fixture_make_request(HARMLESS + i, "others");

			if (!cw_quarantine_contains(quarantine, HARMLESS + i))
				cw_quarantine_note_break(quarantine, &request, (uint64_t)crashes,
							 (int64_t)i + 5, 0, now_ms);
		}
		fixture_crash_server(quarantine, POISON, (uint64_t)crashes, now_ms);
		fixture_run_ticks(quarantine, now_ms, now_ms + 500);
	}
	/* Three crashes, then rounds of 1, 1, 2, 4 and 8 requests. */
	assert_in_range(crashes, 3, 7);
	cw_quarantine_destroy(quarantine);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(a_crash_of_another_cause_releases_no_new_quarantine),
		cmocka_unit_test(a_request_quarantined_in_place_of_another_is_tried_within_seconds),
		cmocka_unit_test(a_trial_that_another_suspect_may_have_crashed_proves_nothing),
		cmocka_unit_test(crashes_of_a_second_poison_request_quarantine_it_too),
		cmocka_unit_test(a_crash_long_after_the_answer_of_a_trial_proves_nothing),
		cmocka_unit_test(
			an_answer_before_the_decision_clears_a_request_when_it_is_verified),
		cmocka_unit_test(requests_tied_in_all_crashes_are_quarantined_in_growing_groups),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
