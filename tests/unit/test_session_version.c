/*
 * Guards against: in the second half of a roll-out of a good version, one request of a session
 * ran on the new version and the next one on the old version. The share of the new version was
 * looked up for each attempt, by its prompt length and its expected time on a server. An answer
 * of the smallest model came from the new version, and the answer of the largest model that
 * replaced it from the old one. A longer prompt of the same session, or the same prompt at an
 * instance that had received other requests, had another share. 98 of 100 subsequent requests of
 * a session arrive at another instance, and instances learn of a step of a trial up to 0.34 s
 * apart.
 *
 * Two log lines of one session, 1.0 s apart:
 *	event=dispatch request=a attempt=1 software=v2 session=4850 arm=new share=0.400 point=0.235
 *	event=dispatch request=b attempt=1 software=v1 session=4850 arm=old share=0.080 point=0.235
 */
#include "gate_bed.h"

#include <stdio.h>
#include <string.h>

#define DURATION_MS 24000
#define TRIAL_MS    13500 /* the trial under load began a second before */
#define ANNOUNCE_MS 150	  /* interval between announcements */
#define SESSIONS    400
#define SHORT	    600	 /* tokens of a prompt that is processed at once */
#define LONG	    8000 /* tokens of the longest tenth of the route's prompts */

static const struct cw_rollout_order order = {"llm", "v2", DURATION_MS};
static const struct cw_rollout_answer under_load = {
	.service = "llm", .software = "v2", .route = 1, .is_loaded = 1};

struct request_kind {
	const char *path;
	double prompt_tokens;
	double max_output_tokens;
};

/* A short prompt with a short answer, and a request that occupies a slot for long. */
static const struct request_kind chat = {
	.path = "/chat/x", .prompt_tokens = SHORT, .max_output_tokens = 10};
static const struct request_kind long_report = {
	.path = "/report/x", .prompt_tokens = LONG, .max_output_tokens = 2000};

static struct cw_rollouts *rollouts(struct fixture *fixture)
{
	return cw_gate_rollouts(fixture->gate);
}

static void open_instance(struct fixture *fixture)
{
	fixture_open(fixture);
	fixture_add_server(fixture, "e3", "llm", "v2");
	fixture_add_server(fixture, "e4", "llm", "v2");
	cw_rollouts_apply_order(rollouts(fixture), &order, (struct cw_position){1, 7},
				FIXTURE_NOW_MS);
}

/* The periodic evaluation and announcement of all instances, at the same time. */
static void exchange_announcements(struct fixture *fixtures, size_t count, int64_t now_ms)
{
	struct cw_rollout_verdict verdicts[1];
	struct cw_rollout_announcement update;

	for (size_t i = 0; i < count; i++) {
		cw_rollouts_evaluate(rollouts(&fixtures[i]), now_ms, verdicts, 1);
		assert_int_equal(cw_rollouts_announce(rollouts(&fixtures[i]), now_ms, &update, 1),
				 1);
		for (size_t j = 0; j < count; j++)
			if (j != i)
				cw_rollouts_merge(rollouts(&fixtures[j]), i + 1, &update, now_ms);
	}
}

/* The version that the request is sent to. The next request closes the call if no answer does. */
static const char *software_of(struct fixture *fixture, const struct request_kind *request_kind,
			       int session, int64_t now_ms)
{
	cw_call_close(fixture->call, now_ms);
	snprintf(fixture->info.session, sizeof(fixture->info.session), "s%d", session);
	snprintf(fixture->info.id, sizeof(fixture->info.id), "r%d-%ld", session, (long)now_ms);
	fixture->info.path = request_kind->path;
	fixture->info.segment_count = 1;
	fixture->info.segments[0].id = (uint64_t)session;
	fixture->info.prompt_tokens = request_kind->prompt_tokens;
	fixture->info.segments[0].tokens = (unsigned int)request_kind->prompt_tokens;
	fixture->info.max_output_tokens = request_kind->max_output_tokens;
	fixture->call = cw_call_open(fixture->gate, &fixture->info, now_ms, now_ms, &fixture->step);
	assert_int_equal(fixture->step.kind, CW_STEP_SEND);
	return fixture->step.server->software;
}

/* Two instances a second after the start of the trial; the second one received no requests. */
static void run_until_trial(struct fixture *fixtures)
{
	for (int64_t at_ms = 0; at_ms <= TRIAL_MS; at_ms += ANNOUNCE_MS) {
		for (int i = 0; i < 4; i++)
			software_of(&fixtures[0], &chat, 10000 + i, FIXTURE_NOW_MS + at_ms);
		software_of(&fixtures[0], &long_report, 20000, FIXTURE_NOW_MS + at_ms);
		exchange_announcements(fixtures, 2, FIXTURE_NOW_MS + at_ms);
	}
}

/* The same two instances, after a server of the target has answered under load. */
static void run_until_trial_of_full_server(struct fixture *fixtures)
{
	cw_rollouts_record_answer(rollouts(&fixtures[0]), &under_load, FIXTURE_NOW_MS);
	run_until_trial(fixtures);
}

static void open_both(struct fixture *fixtures)
{
	open_instance(&fixtures[0]);
	open_instance(&fixtures[1]);
}

static void close_both(struct fixture *fixtures)
{
	fixture_close(&fixtures[0]);
	fixture_close(&fixtures[1]);
}

static void all_attempts_of_a_request_run_on_one_version(void **state)
{
	struct cw_response_head low_confidence = {
		.status = 200, .is_signed = 1, .is_event_stream = 1, .confidence = 3};
	struct fixture fixtures[2];
	int escalated = 0;
	int64_t now_ms = FIXTURE_NOW_MS + TRIAL_MS;

	open_both(fixtures);
	run_until_trial_of_full_server(fixtures);
	for (int i = 0; i < SESSIONS; i++, now_ms += 2) {
		char first[CW_NAME_MAX];

		g_strlcpy(first, software_of(&fixtures[0], &chat, i, now_ms), CW_NAME_MAX);
		cw_call_handle_head(fixtures[0].call, &low_confidence, now_ms + 30,
				    &fixtures[0].step);
		if (fixtures[0].step.kind != CW_STEP_SEND)
			continue;
		assert_string_equal(fixtures[0].step.dispatch.model, "large");
		if (!strcmp(first, "v2")) {
			assert_string_equal(fixtures[0].step.server->software, "v2");
			escalated++;
		}
	}
	assert_true(escalated > SESSIONS / 10);
	close_both(fixtures);
}

static void a_longer_prompt_of_a_session_runs_on_the_same_version(void **state)
{
	struct request_kind longer = chat;
	struct fixture fixtures[2];
	int moved = 0;

	longer.prompt_tokens = LONG;
	open_both(fixtures);
	run_until_trial_of_full_server(fixtures);
	for (int i = 0; i < SESSIONS; i++) {
		int64_t now_ms = FIXTURE_NOW_MS + TRIAL_MS + i;

		if (strcmp(software_of(&fixtures[0], &chat, i, now_ms), "v2") != 0)
			continue;
		moved++;
		assert_string_equal(software_of(&fixtures[1], &longer, i, now_ms + 1), "v2");
	}
	assert_true(moved > SESSIONS / 10);
	close_both(fixtures);
}

/* The second instance learns of the full server only after its request. */
static void instances_that_learn_of_a_step_at_different_times_agree_on_the_version(void **state)
{
	struct fixture fixtures[2];
	int64_t now_ms = FIXTURE_NOW_MS + TRIAL_MS;
	int moved = 0;

	open_both(fixtures);
	run_until_trial(fixtures);
	cw_rollouts_record_answer(rollouts(&fixtures[0]), &under_load, now_ms);
	for (int i = 0; i < SESSIONS; i++)
		if (!strcmp(software_of(&fixtures[0], &chat, i, now_ms + 10), "v2"))
			assert_string_equal(software_of(&fixtures[1], &chat, i, now_ms + 20), "v2");
	/* Finally both instances know the step, and more sessions run on the target. */
	for (int64_t at_ms = 0; at_ms <= 2000; at_ms += ANNOUNCE_MS)
		exchange_announcements(fixtures, 2, now_ms + at_ms);
	for (int i = 0; i < SESSIONS; i++) {
		if (strcmp(software_of(&fixtures[0], &chat, i, now_ms + 2000), "v2") != 0)
			continue;
		assert_string_equal(software_of(&fixtures[1], &chat, i, now_ms + 2000), "v2");
		moved++;
	}
	assert_true(moved > SESSIONS / 4);
	close_both(fixtures);
}

/* The restarted instance knows no requests of the other route, so this route looks average to it.
 */
static void a_restarted_instance_agrees_on_the_version_of_a_session(void **state)
{
	struct fixture fixtures[2];
	int64_t now_ms = FIXTURE_NOW_MS + TRIAL_MS;

	open_both(fixtures);
	run_until_trial(fixtures);
	fixture_close(&fixtures[1]);
	open_instance(&fixtures[1]);
	exchange_announcements(fixtures, 2, now_ms);
	for (int i = 0; i < SESSIONS; i++)
		if (!strcmp(software_of(&fixtures[1], &chat, i, now_ms + 10), "v2"))
			assert_string_equal(software_of(&fixtures[0], &chat, i, now_ms + 20), "v2");
	close_both(fixtures);
}

/*
 * Requests go to the largest model at once only to load a server of the target. The choice of
 * the model once changed the load kind of a request whose session was not on the target, so the
 * old version's servers received the long answers.
 */
static void the_largest_model_is_used_at_once_on_the_target_only(void **state)
{
	struct request_kind talk = {
		.path = "/chat/x", .prompt_tokens = SHORT, .max_output_tokens = 2000};
	struct fixture fixtures[2];
	int largest = 0;

	open_both(fixtures);
	cw_rollouts_record_answer(rollouts(&fixtures[0]), &under_load, FIXTURE_NOW_MS);
	for (int64_t at_ms = 0; at_ms <= TRIAL_MS; at_ms += ANNOUNCE_MS) {
		for (int i = 0; i < 4; i++)
			software_of(&fixtures[0], &talk, 10000 + i, FIXTURE_NOW_MS + at_ms);
		software_of(&fixtures[0], &long_report, 20000, FIXTURE_NOW_MS + at_ms);
		exchange_announcements(fixtures, 2, FIXTURE_NOW_MS + at_ms);
	}
	for (int i = 0; i < SESSIONS; i++) {
		const char *software =
			software_of(&fixtures[0], &talk, i, FIXTURE_NOW_MS + TRIAL_MS + 10);

		if (strcmp(fixtures[0].step.dispatch.model, "large") != 0)
			continue;
		assert_string_equal(software, "v2");
		largest++;
	}
	assert_true(largest > 0);
	close_both(fixtures);
}

/* A stream that began on the old version must be continued by the old version. */
static void a_broken_stream_resumes_on_the_version_that_began_it(void **state)
{
	struct cw_response_head head = {
		.status = 200, .is_signed = 1, .is_event_stream = 1, .confidence = 100};
	struct fixture fixtures[2];
	struct cw_call *begun[SESSIONS];
	int64_t now_ms = FIXTURE_NOW_MS + TRIAL_MS;
	int moved = 0;

	open_both(fixtures);
	run_until_trial(fixtures);
	for (int i = 0; i < SESSIONS; i++) {
		begun[i] = NULL;
		if (strcmp(software_of(&fixtures[0], &chat, i, now_ms), "v1") != 0)
			continue;
		begun[i] = fixtures[0].call;
		fixtures[0].call = NULL;
		cw_call_handle_head(begun[i], &head, now_ms + 30, &fixtures[0].step);
		cw_call_add_event(begun[i], 1, now_ms + 31);
	}
	/* Before the streams end, more sessions move to the target. */
	cw_rollouts_record_answer(rollouts(&fixtures[0]), &under_load, now_ms);
	for (int64_t at_ms = 0; at_ms <= 2000; at_ms += ANNOUNCE_MS)
		exchange_announcements(fixtures, 2, now_ms + at_ms);
	for (int i = 0; i < SESSIONS; i++) {
		if (!begun[i])
			continue;
		if (!moved && !strcmp(software_of(&fixtures[0], &chat, i, now_ms + 2000), "v2")) {
			moved = 1;
			cw_call_handle_failure(begun[i], CW_ATTEMPT_CONNECTION_LOST, now_ms + 2000,
					       &fixtures[0].step);
			assert_int_equal(fixtures[0].step.kind, CW_STEP_SEND);
			assert_string_equal(fixtures[0].step.server->software, "v1");
		}
		cw_call_close(begun[i], now_ms + 2000);
	}
	assert_true(moved);
	close_both(fixtures);
}

/* A route split among services: the prompt prefixes cached at one service are not at the other. */
static void requests_of_a_session_go_to_one_service_of_a_split_route(void **state)
{
	struct cw_config *config = fixture_make_config(6);
	struct cw_route *route =
		(struct cw_route *)cw_config_find_route(config, "h.example", "/chat/");
	struct fixture fixture;
	int split = 0;

	fixture_open(&fixture);
	fixture_add_server(&fixture, "n1", "next", "v1");
	route->share_count = 2;
	route->shares[0].weight = 0.5;
	route->shares[1].weight = 0.5;
	strcpy(route->shares[1].service, "next");
	cw_gate_configure(fixture.gate, config);
	for (int i = 0; i < SESSIONS; i++) {
		char first[CW_NAME_MAX];

		software_of(&fixture, &chat, i, FIXTURE_NOW_MS + i);
		g_strlcpy(first, fixture.step.server->service, sizeof(first));
		software_of(&fixture, &chat, i, FIXTURE_NOW_MS + 1000 + i);
		assert_string_equal(fixture.step.server->service, first);
		split += !strcmp(first, "next");
	}
	assert_true(split > SESSIONS * 2 / 5 && split < SESSIONS * 3 / 5);
	cw_config_unref(config);
	fixture_close(&fixture);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(all_attempts_of_a_request_run_on_one_version),
		cmocka_unit_test(a_longer_prompt_of_a_session_runs_on_the_same_version),
		cmocka_unit_test(
			instances_that_learn_of_a_step_at_different_times_agree_on_the_version),
		cmocka_unit_test(a_restarted_instance_agrees_on_the_version_of_a_session),
		cmocka_unit_test(a_broken_stream_resumes_on_the_version_that_began_it),
		cmocka_unit_test(requests_of_a_session_go_to_one_service_of_a_split_route),
		cmocka_unit_test(the_largest_model_is_used_at_once_on_the_target_only),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
