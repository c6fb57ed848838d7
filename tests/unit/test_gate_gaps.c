/* Streams of a version on trial, from the gate's view of their events. */
#include "gate_bed.h"

#include <string.h>

#define ORDER_MS 15000 /* duration of the roll-out */
#define EVENTS	 12
#define BEFORE	 100 /* streams before the order */
#define STREAMS	 800 /* in the first half of the roll-out */
#define SLOTS	 8

/* Gaps between the events of a version's streams, of which some run beside few others. */
struct gaps {
	int64_t quick_ms, loaded_ms;
	int every; /* one of so many streams is quick */
};

struct scenario {
	struct gaps before; /* of the old version, before the order; 0: no streams */
	struct gaps old, target;
	unsigned int running; /* at each server, as it reports */
};

static void play_stream(struct fixture *fixture, const struct gaps *old, const struct gaps *target,
			unsigned int running, int number, int64_t now_ms)
{
	struct cw_response_head head = {.status = 200,
					.is_signed = 1,
					.is_event_stream = 1,
					.confidence = -1,
					.has_load = 1,
					.running = running,
					.slots = SLOTS};
	const struct gaps *gaps;
	int64_t gap;

	snprintf(fixture->info.session, sizeof(fixture->info.session), "s%d", number);
	fixture->info.path = "/report/x";
	fixture->call = cw_call_open(fixture->gate, &fixture->info, now_ms, now_ms, &fixture->step);
	assert_int_equal(fixture->step.kind, CW_STEP_SEND);
	gaps = strcmp(fixture->step.server->software, "v2") ? old : target;
	gap = number % gaps->every == 0 ? gaps->quick_ms : gaps->loaded_ms;
	cw_call_handle_head(fixture->call, &head, now_ms + gap, &fixture->step);
	for (int event = 0; event < EVENTS; event++)
		cw_call_add_event(fixture->call, event, now_ms + gap * (event + 2));
	cw_call_complete(fixture->call, now_ms + gap * (EVENTS + 2));
	cw_call_close(fixture->call, now_ms + gap * (EVENTS + 2));
	fixture->call = NULL;
}

static struct cw_rollouts *open_fixture(struct fixture *fixture)
{
	fixture_open(fixture);
	fixture->info.prompt_tokens = 100;
	fixture->info.max_output_tokens = 50;
	fixture->info.segment_count = 1;
	fixture->info.segments[0].tokens = 100;
	return cw_gate_rollouts(fixture->gate);
}

/* Outcome of the roll-out of v2 in its first half. */
static struct cw_rollout_verdict play_rollout(const struct scenario *scenario)
{
	const struct cw_rollout_order order = {
		.service = "llm", .target = "v2", .duration_ms = ORDER_MS};
	struct cw_rollout_verdict verdict = {.status.state = CW_ROLLOUT_RUNNING};
	struct fixture fixture;
	struct cw_rollouts *rollouts = open_fixture(&fixture);
	int64_t now_ms = FIXTURE_NOW_MS;

	for (int i = 0; i < BEFORE && scenario->before.quick_ms > 0; i++)
		play_stream(&fixture, &scenario->before, &scenario->before, 0, i, now_ms);
	fixture_add_server(&fixture, "e3", "llm", "v2");
	cw_rollouts_apply_order(rollouts, &order, (struct cw_position){.offset = 1}, now_ms);
	for (int i = 0; i < STREAMS && verdict.status.state == CW_ROLLOUT_RUNNING; i++) {
		now_ms = FIXTURE_NOW_MS + i * ORDER_MS / 2 / STREAMS;
		play_stream(&fixture, &scenario->old, &scenario->target, scenario->running, i,
			    now_ms);
		cw_rollouts_evaluate(rollouts, now_ms, &verdict, 1);
	}
	fixture_close(&fixture);
	return verdict;
}

/* Of the target's streams, as this instance announces them. */
static double quick_part(struct cw_rollouts *rollouts)
{
	struct cw_rollout_announcement update;

	assert_int_equal(cw_rollouts_announce(rollouts, FIXTURE_NOW_MS + ORDER_MS, &update, 1), 1);
	for (size_t i = 0; i < update.kind_count; i++)
		if (update.kinds[i].route == 0 && update.kinds[i].new_answers_long > 0)
			return 1 - update.kinds[i].new_bad_long / update.kinds[i].new_answers_long;
	return 0;
}

/* Guards against a slow version that is kept under load, where no single answer shows it. */
static void a_version_three_times_slower_is_rolled_back_in_the_first_half(void **state)
{
	const struct scenario slow = {{0, 0, 1}, {20, 60, 4}, {60, 180, 4}, 0};

	assert_int_equal(play_rollout(&slow).status.state, CW_ROLLOUT_ROLLED_BACK);
}

/* Guards against a rollback of a version that is as quick as the old one under the same load. */
static void a_version_as_quick_as_the_old_one_is_kept(void **state)
{
	const struct scenario good = {{0, 0, 1}, {20, 60, 4}, {20, 60, 4}, 0};

	assert_int_equal(play_rollout(&good).status.state, CW_ROLLOUT_RUNNING);
}

/* Guards against a slow version that looks as quick as the old one since load has come. */
static void load_after_the_order_excuses_no_slow_version(void **state)
{
	const struct scenario burst = {{20, 25, 4}, {20, 180, 7}, {60, 65, 4}, 0};

	assert_int_equal(play_rollout(&burst).status.state, CW_ROLLOUT_ROLLED_BACK);
}

/* Guards against a rollback of a good version whose servers are as full as the others. */
static void streams_of_loaded_servers_are_no_evidence_of_slowness(void **state)
{
	const struct scenario full = {{20, 25, 4}, {20, 180, 7}, {60, 180, 4}, SLOTS - 2};
	struct cw_rollout_verdict verdict = play_rollout(&full);

	assert_true(verdict.status.state == CW_ROLLOUT_RUNNING ||
		    strcmp(verdict.reason, "slow_streams") != 0);
}

/* Guards against a second roll-out that is compared with the version before the first one. */
static void a_completed_version_is_the_one_to_compare_with(void **state)
{
	const struct gaps slower = {40, 45, 4};
	const struct cw_rollout_order next = {
		.service = "llm", .target = "v3", .duration_ms = ORDER_MS};
	const struct cw_rollout_status completed = {"llm", "v2", CW_ROLLOUT_COMPLETED};
	struct cw_rollout_verdict verdict = {.status.state = CW_ROLLOUT_RUNNING};
	const struct gaps quick = {20, 25, 4};
	struct fixture fixture;
	struct cw_rollouts *rollouts = open_fixture(&fixture);

	for (int i = 0; i < BEFORE; i++)
		play_stream(&fixture, &quick, &quick, 0, i, FIXTURE_NOW_MS);
	fixture_add_server(&fixture, "e3", "llm", "v2");
	cw_rollouts_apply_status(rollouts, &completed);
	cw_pool_find_name(cw_gate_pool(fixture.gate), "e1")->is_leaving = 1;
	cw_pool_find_name(cw_gate_pool(fixture.gate), "e2")->is_leaving = 1;
	for (int i = 0; i < BEFORE; i++)
		play_stream(&fixture, &slower, &slower, 0, i, FIXTURE_NOW_MS);
	fixture_add_server(&fixture, "e4", "llm", "v3");
	cw_rollouts_apply_order(rollouts, &next, (struct cw_position){.offset = 2}, FIXTURE_NOW_MS);
	for (int i = 0; i < STREAMS && verdict.status.state == CW_ROLLOUT_RUNNING; i++) {
		int64_t now_ms = FIXTURE_NOW_MS + i * ORDER_MS / 2 / STREAMS;

		play_stream(&fixture, &slower, &slower, 0, i, now_ms);
		cw_rollouts_evaluate(rollouts, now_ms, &verdict, 1);
	}
	assert_int_equal(verdict.status.state, CW_ROLLOUT_RUNNING);
	assert_true(quick_part(rollouts) > 0.5);
	fixture_close(&fixture);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(a_version_three_times_slower_is_rolled_back_in_the_first_half),
		cmocka_unit_test(a_version_as_quick_as_the_old_one_is_kept),
		cmocka_unit_test(load_after_the_order_excuses_no_slow_version),
		cmocka_unit_test(streams_of_loaded_servers_are_no_evidence_of_slowness),
		cmocka_unit_test(a_completed_version_is_the_one_to_compare_with),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
