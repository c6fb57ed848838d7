/* Which model answers when slots are scarce. */
#include "gate_bed.h"

#include <string.h>

#define SLOTS 16

/* Step after a small model's answer on a route of that priority, beside one of priority 0. */
static enum cw_step_kind step_of(int priority, unsigned int running, int confidence)
{
	struct cw_config *config = fixture_make_config(6);
	struct cw_route *other, *route;
	struct fixture fixture;

	fixture_open(&fixture);
	route = (struct cw_route *)cw_config_find_route(config, "h.example", "/chat/x");
	other = (struct cw_route *)cw_config_find_route(config, "h.example", "/report/x");
	route->priority = priority;
	other->model_count = route->model_count;
	memcpy(other->models, route->models, sizeof(other->models));
	cw_config_rank_routes(config);
	cw_gate_configure(fixture.gate, config);
	cw_config_unref(config);
	fixture_open_call(&fixture, "/chat/x");
	fixture_answer_stream(&fixture, confidence, running, SLOTS, 0);
	fixture_close(&fixture);
	return fixture.step.kind;
}

/* Lowest confidence that is forwarded. */
static int threshold(int priority, unsigned int running)
{
	int confidence = 0;

	while (confidence < 100 && step_of(priority, running, confidence) == CW_STEP_SEND)
		confidence++;
	return confidence;
}

/*
 * Guards against streams of the least urgent requests that hold the slots for which more urgent
 * ones wait: as slots are taken, the less urgent ones are content with the small model sooner.
 */
static void less_urgent_requests_yield_scarce_slots_first(void **state)
{
	for (unsigned int running = 9; running < SLOTS; running++) {
		for (int priority = 1; priority <= 3; priority++)
			assert_true(threshold(priority, running) <=
				    threshold(priority - 1, running));
	}
	assert_true(threshold(0, 11) > threshold(1, 11));
	assert_true(threshold(1, 11) > threshold(2, 11));
}

/* Guards against a worse answer than there is room for, and against a change where all are alike.
 */
static void free_slots_serve_all_priorities_alike(void **state)
{
	static const struct {
		unsigned int running;
		int threshold; /* of the most urgent, at any number of priorities */
	} steps[] = {{0, 60}, {8, 60}, {11, 31}, {15, 0}};

	for (size_t i = 0; i < G_N_ELEMENTS(steps); i++)
		assert_int_equal(threshold(0, steps[i].running), steps[i].threshold);
	for (int priority = 1; priority <= 3; priority++)
		assert_int_equal(threshold(priority, 8), 60);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(less_urgent_requests_yield_scarce_slots_first),
		cmocka_unit_test(free_slots_serve_all_priorities_alike),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
