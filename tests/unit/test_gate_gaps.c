/* Streams of a version on trial, from the gate's view of their events. */
#include "gate_bed.h"

#include <string.h>

#define ORDER_MS      15000 /* duration of the roll-out */
#define QUICK_GAP_MS  20
#define LOADED_GAP_MS 60
#define SLOW_FACTOR   3
#define EVENTS	      12
#define STREAMS	      800

/* Gap between events: one stream of four of a version runs beside few others. */
static int64_t gap_ms(const char *software, int number, int slow_factor)
{
	int64_t gap = number % 4 == 0 ? QUICK_GAP_MS : LOADED_GAP_MS;

	return strcmp(software, "v2") ? gap : gap * slow_factor;
}

static void play_stream(struct fixture *fixture, int number, int slow_factor, int64_t now_ms)
{
	struct cw_response_head head = {
		.status = 200, .is_signed = 1, .is_event_stream = 1, .confidence = -1};
	int64_t gap;

	snprintf(fixture->info.session, sizeof(fixture->info.session), "s%d", number);
	fixture->info.path = "/report/x";
	fixture->call = cw_call_open(fixture->gate, &fixture->info, now_ms, now_ms, &fixture->step);
	assert_int_equal(fixture->step.kind, CW_STEP_SEND);
	gap = gap_ms(fixture->step.server->software, number, slow_factor);
	cw_call_handle_head(fixture->call, &head, now_ms + gap, &fixture->step);
	for (int event = 0; event < EVENTS; event++)
		cw_call_add_event(fixture->call, event, now_ms + gap * (event + 2));
	cw_call_complete(fixture->call, now_ms + gap * (EVENTS + 2));
	cw_call_close(fixture->call, now_ms + gap * (EVENTS + 2));
	fixture->call = NULL;
}

/* State of the roll-out of v2 in its first half, with streams slow by that factor. */
static enum cw_rollout_state play_rollout(int slow_factor)
{
	const struct cw_rollout_order order = {
		.service = "llm", .target = "v2", .duration_ms = ORDER_MS};
	struct cw_rollout_verdict verdict = {.status.state = CW_ROLLOUT_RUNNING};
	struct fixture fixture;
	struct cw_rollouts *rollouts;
	int64_t now_ms = FIXTURE_NOW_MS;

	fixture_open(&fixture);
	fixture_add_server(&fixture, "e3", "llm", "v2");
	fixture.info.prompt_tokens = 100;
	fixture.info.max_output_tokens = 50;
	fixture.info.segment_count = 1;
	fixture.info.segments[0].tokens = 100;
	rollouts = cw_gate_rollouts(fixture.gate);
	cw_rollouts_apply_order(rollouts, &order, (struct cw_position){.offset = 1}, now_ms);
	for (int i = 0; i < STREAMS && verdict.status.state == CW_ROLLOUT_RUNNING; i++) {
		now_ms = FIXTURE_NOW_MS + i * ORDER_MS / 2 / STREAMS;
		play_stream(&fixture, i, slow_factor, now_ms);
		cw_rollouts_evaluate(rollouts, now_ms, &verdict, 1);
	}
	fixture_close(&fixture);
	return verdict.status.state;
}

/* Guards against a slow version that is kept under load, where no single answer shows it. */
static void a_version_three_times_slower_is_rolled_back_in_the_first_half(void **state)
{
	assert_int_equal(play_rollout(SLOW_FACTOR), CW_ROLLOUT_ROLLED_BACK);
}

/* Guards against a rollback of a version that is as quick as the old one under the same load. */
static void a_version_as_quick_as_the_old_one_is_kept(void **state)
{
	assert_int_equal(play_rollout(1), CW_ROLLOUT_RUNNING);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(a_version_three_times_slower_is_rolled_back_in_the_first_half),
		cmocka_unit_test(a_version_as_quick_as_the_old_one_is_kept),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
