/* Sessions on the target: shares, the trial under load, and the agreed steps. */
#include "rollout_bed.h"

#include <glib.h>

#define AT(part)      ((int64_t)((part)*ROLLOUT_DURATION_MS))
#define STEP_DELAY_MS 1000 /* delay from the detection of a step until it takes effect */

static void the_share_is_constant_in_the_first_half_and_then_grows_to_all(void **state)
{
	struct cw_rollouts *rollouts = rollout_fixture_start(1000);
	enum cw_rollout_state verdict;
	double first;

	rollout_fixture_receive(rollouts, ROLLOUT_LONG_RUNNING_ROUTE, CW_ROLLOUT_LONG_RUNNING, 30);
	assert_true(rollout_fixture_share(rollouts, 1500) == 0);
	first = rollout_fixture_share(rollouts, 4000);
	assert_true(first > 0.06 && first < 0.10);
	assert_true(rollout_fixture_share_of(rollouts, ROLLOUT_LONG_RUNNING_ROUTE, 4000) == first);
	assert_int_equal(rollout_fixture_evaluate(rollouts, 1000 + AT(0.505), &verdict), 0);
	assert_true(rollout_fixture_share(rollouts, 1000 + AT(0.5)) == first);
	assert_true(rollout_fixture_share_of(rollouts, ROLLOUT_LONG_RUNNING_ROUTE,
					     1000 + AT(0.5)) == first);
	/* During the trial the long-running routes move; the other routes follow when it has
	 * passed. */
	assert_int_equal(rollout_fixture_evaluate(rollouts, 1000 + AT(0.6), &verdict), 0);
	assert_true(rollout_fixture_share_of(rollouts, ROLLOUT_LONG_RUNNING_ROUTE,
					     1000 + AT(0.6)) == 1);
	assert_true(rollout_fixture_share(rollouts, 1000 + AT(0.7)) == first);
	rollout_fixture_pass_trial(rollouts, 1000 + AT(0.6));
	assert_true(rollout_fixture_share(rollouts, 1000 + AT(0.6)) == first);
	assert_true(rollout_fixture_share(rollouts, 1000 + AT(0.7)) > first);
	assert_true(rollout_fixture_share(rollouts, 1000 + AT(0.7)) < 1);
	assert_true(rollout_fixture_share(rollouts, 1000 + AT(0.74)) == 1);
	cw_rollouts_destroy(rollouts);
}

/*
 * Guards against: good versions were rolled back as not tried under load, though load was
 * sufficient.
 * Sequence: all of 36 requests per second that occupy a slot for 2 s each go to the target. One
 * server is full after a second, the other requests reach idle servers, and the allowed exposure
 * is spent.
 * Cause: all long-running sessions moved at once, whatever their number.
 */
static void a_trial_moves_as_many_sessions_as_fill_one_server(void **state)
{
	struct cw_rollouts *rollouts = rollout_fixture_start(0);
	struct cw_rollouts *peer = rollout_fixture_start(0);
	struct cw_rollout_announcement update;
	enum cw_rollout_state verdict;
	double share;

	rollout_fixture_receive(rollouts, ROLLOUT_LONG_RUNNING_ROUTE, CW_ROLLOUT_LONG_RUNNING,
				36 * 12);
	rollout_fixture_evaluate(rollouts, AT(0.505), &verdict);
	/* 64 slots in 4 s are 16 per second; 432 requests in 12.1 s are 36 per second. */
	share = rollout_fixture_share_of(rollouts, ROLLOUT_LONG_RUNNING_ROUTE, AT(0.53));
	assert_true(share > 0.44 && share < 0.50);
	/* All instances move the same sessions, and no session moves back. */
	cw_rollouts_announce(rollouts, AT(0.53), &update, 1);
	cw_rollouts_merge(peer, 1, &update, AT(0.53));
	assert_true(rollout_fixture_share_of(peer, ROLLOUT_LONG_RUNNING_ROUTE, AT(0.53)) == share);
	rollout_fixture_evaluate(rollouts, AT(0.61), &verdict);
	assert_true(rollout_fixture_share_of(rollouts, ROLLOUT_LONG_RUNNING_ROUTE, AT(0.61)) ==
		    share);
	/* No server is full yet, so the share of long-running sessions grows, here to all. */
	rollout_fixture_evaluate(rollouts, AT(0.63), &verdict);
	assert_true(rollout_fixture_share_of(rollouts, ROLLOUT_LONG_RUNNING_ROUTE, AT(0.63)) == 1);
	cw_rollouts_destroy(rollouts);
	cw_rollouts_destroy(peer);
}

/* A full server answers long prompts late; short prompts show its behaviour at once. */
static void short_prompts_probe_a_server_once_it_is_full(void **state)
{
	struct cw_rollout_answer full = {.software = "v2", .is_loaded = 1, .route = 1};
	struct cw_rollouts *rollouts = rollout_fixture_start(0);
	enum cw_rollout_state verdict;
	double share;

	rollout_fixture_receive(rollouts, ROLLOUT_SHORT_PROMPT_ROUTE, CW_ROLLOUT_SHORT_PROMPT, 600);
	rollout_fixture_evaluate(rollouts, AT(0.505), &verdict);
	assert_true(rollout_fixture_share_of(rollouts, ROLLOUT_SHORT_PROMPT_ROUTE, AT(0.6)) < 0.12);
	rollout_fixture_answer_kind(rollouts, full, 1, 0, AT(0.6));
	rollout_fixture_evaluate(rollouts, AT(0.6), &verdict);
	share = rollout_fixture_share_of(rollouts, ROLLOUT_SHORT_PROMPT_ROUTE,
					 AT(0.6) + STEP_DELAY_MS);
	assert_true(share > 0.25 && share < 0.35);
	assert_true(rollout_fixture_share(rollouts, AT(0.6) + STEP_DELAY_MS) < 0.12);
	cw_rollouts_destroy(rollouts);
}

/*
 * Guards against: versions that fail on one route were detected too late in 6 of 114 roll-outs.
 * Sequence: the route has 8 requests per second. With a share of 0.08 the target receives 11 of
 * them before all sessions move, too few for a verdict.
 * Cause: every route had the same share, whatever its request rate.
 */
static void a_rare_route_has_a_larger_trial_share(void **state)
{
	struct cw_rollouts *rollouts = rollout_fixture_start(0);
	enum cw_rollout_state verdict;
	double share;

	rollout_fixture_receive(rollouts, 7, 0, 8 * 11);
	rollout_fixture_receive(rollouts, 8, 0, 100 * 11);
	rollout_fixture_evaluate(rollouts, AT(0.505), &verdict);
	assert_true(rollout_fixture_share_of(rollouts, 7, AT(0.51)) < 0.10);
	/* Three requests per second of the rare route; the common share of the busy route. */
	share = rollout_fixture_share_of(rollouts, 7, AT(0.53));
	assert_true(share > 0.35 && share < 0.45);
	assert_true(rollout_fixture_share_of(rollouts, 8, AT(0.53)) < 0.10);
	cw_rollouts_destroy(rollouts);
}

/*
 * Guards against: a version that failed on one route received 329 of 1,471 requests, where 251
 * are allowed.
 * Sequence: the target passes the trial only after the time at which all sessions move. The
 * sessions go from the first share to all at once, and the route's failures show 2 s later.
 * Cause: the intermediate share, at which the failures show, ended at a fixed time and was
 * skipped.
 */
static void a_target_that_passes_late_keeps_the_intermediate_share(void **state)
{
	struct cw_rollouts *rollouts = rollout_fixture_start(0);
	double share;

	rollout_fixture_pass_trial(rollouts, AT(0.74));
	share = rollout_fixture_share(rollouts, AT(0.74) + STEP_DELAY_MS);
	assert_true(share > 0.35 && share < 0.45);
	assert_true(rollout_fixture_share(rollouts, AT(0.81)) == share);
	assert_true(rollout_fixture_share(rollouts, AT(0.86)) == 1);
	cw_rollouts_destroy(rollouts);
}

/*
 * During a network partition two halves of the instances plan independently, from different
 * requests. After the partition both halves have the union of the agreed steps, and no session
 * moves back.
 */
static void plans_of_a_partition_merge_and_move_no_session_back(void **state)
{
	static const uint64_t routes[] = {ROLLOUT_LONG_RUNNING_ROUTE, ROLLOUT_SHORT_PROMPT_ROUTE,
					  0};
	struct cw_rollout_answer full = {.software = "v2", .is_loaded = 1, .route = 1};
	struct cw_rollouts *halves[2] = {rollout_fixture_start(0), rollout_fixture_start(0)};
	struct cw_rollout_announcement update;
	enum cw_rollout_state verdict;
	double before[2][G_N_ELEMENTS(routes)];

	rollout_fixture_receive(halves[0], ROLLOUT_LONG_RUNNING_ROUTE, CW_ROLLOUT_LONG_RUNNING,
				400);
	rollout_fixture_receive(halves[1], ROLLOUT_SHORT_PROMPT_ROUTE, CW_ROLLOUT_SHORT_PROMPT,
				400);
	rollout_fixture_answer_kind(halves[1], full, 1, 0, AT(0.4));
	for (int i = 0; i < 2; i++) {
		rollout_fixture_evaluate(halves[i], AT(0.505), &verdict);
		for (size_t j = 0; j < G_N_ELEMENTS(routes); j++)
			before[i][j] = rollout_fixture_share_of(halves[i], routes[j], AT(0.6));
	}
	for (int i = 0; i < 2; i++) {
		cw_rollouts_announce(halves[i], AT(0.6), &update, 1);
		cw_rollouts_merge(halves[1 - i], (uint64_t)i + 1, &update, AT(0.6));
	}
	for (size_t j = 0; j < G_N_ELEMENTS(routes); j++) {
		double share = rollout_fixture_share_of(halves[0], routes[j], AT(0.6));

		assert_true(share == rollout_fixture_share_of(halves[1], routes[j], AT(0.6)));
		assert_true(share >= before[0][j] && share >= before[1][j]);
	}
	cw_rollouts_destroy(halves[0]);
	cw_rollouts_destroy(halves[1]);
}

/*
 * Guards against: among 195 instances, all long-running sessions moved to the new version at the
 * start of its trial, where a tenth of them fills a server.
 * Sequence: one instance received no request since the order and planned a share of 1, which its
 * peers merged. Another instance, restarted a second before, counted only its own few requests.
 * Cause: each instance planned from its own counts, and the largest share won. Log:
 *	event=rollout_progress elapsed_ms=12490 full=1 proved=1 trial_share=0.097
 *	event=rollout_progress elapsed_ms=12490 full=1 proved=1 trial_share=1.000
 */
static void an_instance_with_few_requests_does_not_plan_for_all(void **state)
{
	struct cw_rollouts *instances[3] = {rollout_fixture_start(0), rollout_fixture_start(0),
					    NULL};
	struct cw_rollout_announcement update;
	enum cw_rollout_state verdict;
	double share;

	rollout_fixture_receive(instances[0], ROLLOUT_LONG_RUNNING_ROUTE, CW_ROLLOUT_LONG_RUNNING,
				2000);
	instances[2] = rollout_fixture_start(AT(0.46));
	cw_rollouts_announce(instances[1], AT(0.46), &update, 1);
	cw_rollouts_merge(instances[2], 2, &update, AT(0.46));
	rollout_fixture_receive(instances[2], ROLLOUT_LONG_RUNNING_ROUTE, CW_ROLLOUT_LONG_RUNNING,
				1);
	for (int i = 0; i < 3; i++)
		rollout_fixture_evaluate(instances[i], AT(0.505), &verdict);
	for (int i = 2; i >= 0; i--) {
		cw_rollouts_announce(instances[i], AT(0.505), &update, 1);
		for (int j = 0; j < 3; j++)
			if (j != i)
				cw_rollouts_merge(instances[j], (uint64_t)i + 1, &update,
						  AT(0.505));
	}
	/* 64 slots in 4 s are 16 per second, of 174 requests per second. */
	share = rollout_fixture_share_of(instances[0], ROLLOUT_LONG_RUNNING_ROUTE, AT(0.55));
	assert_true(share > 0.07 && share < 0.11);
	for (int i = 0; i < 3; i++) {
		assert_true(rollout_fixture_share_of(instances[i], ROLLOUT_LONG_RUNNING_ROUTE,
						     AT(0.55)) == share);
		cw_rollouts_destroy(instances[i]);
	}
}

/* A plan must not depend on the instance: shares reached in earlier steps remain in force. */
static void no_share_decreases_during_a_roll_out(void **state)
{
	static const uint64_t routes[] = {ROLLOUT_LONG_RUNNING_ROUTE, ROLLOUT_SHORT_PROMPT_ROUTE, 7,
					  0};
	struct cw_rollout_answer full = {.software = "v2", .is_loaded = 1, .route = 1};
	double shares[G_N_ELEMENTS(routes)] = {0};
	struct cw_rollouts *rollouts = rollout_fixture_start(0);
	enum cw_rollout_state verdict = CW_ROLLOUT_RUNNING;

	rollout_fixture_receive(rollouts, ROLLOUT_LONG_RUNNING_ROUTE, CW_ROLLOUT_LONG_RUNNING, 400);
	rollout_fixture_receive(rollouts, ROLLOUT_SHORT_PROMPT_ROUTE, CW_ROLLOUT_SHORT_PROMPT, 400);
	rollout_fixture_receive(rollouts, 7, CW_ROLLOUT_SHORT_PROMPT | CW_ROLLOUT_LONG_RUNNING,
				100);
	for (int64_t now_ms = 0; now_ms < AT(0.9); now_ms += 100) {
		rollout_fixture_evaluate(rollouts, now_ms, &verdict);
		if (now_ms == AT(0.7))
			rollout_fixture_answer_kind(rollouts, full, 1, 0, now_ms);
		if (now_ms == AT(0.75))
			rollout_fixture_pass_trial(rollouts, now_ms);
		for (size_t j = 0; j < G_N_ELEMENTS(routes); j++) {
			double share = rollout_fixture_share_of(rollouts, routes[j], now_ms);

			assert_true(share >= shares[j]);
			shares[j] = share;
		}
	}
	assert_true(shares[3] == 1);
	cw_rollouts_destroy(rollouts);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(the_share_is_constant_in_the_first_half_and_then_grows_to_all),
		cmocka_unit_test(a_trial_moves_as_many_sessions_as_fill_one_server),
		cmocka_unit_test(short_prompts_probe_a_server_once_it_is_full),
		cmocka_unit_test(a_rare_route_has_a_larger_trial_share),
		cmocka_unit_test(a_target_that_passes_late_keeps_the_intermediate_share),
		cmocka_unit_test(an_instance_with_few_requests_does_not_plan_for_all),
		cmocka_unit_test(plans_of_a_partition_merge_and_move_no_session_back),
		cmocka_unit_test(no_share_decreases_during_a_roll_out),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
