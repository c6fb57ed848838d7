/*
 * In the second half of a roll-out sessions of a good version went back and forth: of a session's
 * requests one ran on the new version and the next on the old one. The share of sessions that the
 * new version gets was looked up with what each attempt was at that moment: little to read or not,
 * long at its server or not. An answer of the smallest model came from the new version, and the
 * largest model's in its place from the old one; a longer prompt of the same session, or the same
 * one at an instance that had seen other requests, got another share. 98 of 100 next requests of a
 * session come to another instance, and those learn of a trial's next step up to 0.34 s apart.
 *
 * Two lines that settled it, 1.0 s apart:
 *	event=dispatch request=a attempt=1 software=v2 session=4850 arm=new share=0.400 point=0.235
 *	event=dispatch request=b attempt=1 software=v1 session=4850 arm=old share=0.080 point=0.235
 */
#include "gate_bed.h"

#include <stdio.h>
#include <string.h>

#define DURATION_MS 24000
#define TRIAL_MS    13500 /* the trial under load is on, since a second */
#define TELL_MS	    150	  /* instances tell each other so often */
#define SESSIONS    400
#define SHORT	    600	 /* tokens of a prompt that is read at once */
#define LONG	    8000 /* the longest tenth of the same route's prompts */

static const struct cw_rollout_order order = {"llm", "v2", DURATION_MS};
static const struct cw_rollout_answer under_load = {
	.service = "llm", .software = "v2", .route = 1, .is_loaded = 1};

struct ask {
	const char *path;
	double read_tokens;
	double made_tokens;
};

/* Little to read and to write; and one that takes its server's slot for long. */
static const struct ask chat = {.path = "/chat/x", .read_tokens = SHORT, .made_tokens = 10};
static const struct ask report = {.path = "/report/x", .read_tokens = LONG, .made_tokens = 2000};

static struct cw_rollouts *rollouts(struct bed *bed)
{
	return cw_gate_rollouts(bed->gate);
}

static void open_instance(struct bed *bed)
{
	bed_open(bed);
	bed_add_server(bed, "e3", "llm", "v2");
	bed_add_server(bed, "e4", "llm", "v2");
	cw_rollouts_order(rollouts(bed), &order, 7, BED_NOW);
}

/* What the instances do several times a second, all at the same moments. */
static void tell_each_other(struct bed *beds, size_t count, int64_t now_ms)
{
	struct cw_rollout_verdict verdicts[1];
	struct cw_rollout_news news;

	for (size_t i = 0; i < count; i++) {
		cw_rollouts_judge(rollouts(&beds[i]), now_ms, verdicts, 1);
		assert_int_equal(cw_rollouts_tell(rollouts(&beds[i]), now_ms, &news, 1), 1);
		for (size_t j = 0; j < count; j++)
			if (j != i)
				cw_rollouts_hear(rollouts(&beds[j]), i + 1, &news, now_ms);
	}
}

/* The version that it goes to. Its answer follows, or the next request closes it. */
static const char *software_of(struct bed *bed, const struct ask *ask, int session, int64_t now_ms)
{
	cw_call_close(bed->call, now_ms);
	snprintf(bed->facts.session, sizeof(bed->facts.session), "s%d", session);
	snprintf(bed->facts.id, sizeof(bed->facts.id), "r%d-%ld", session, (long)now_ms);
	bed->facts.path = ask->path;
	bed->facts.part_count = 1;
	bed->facts.parts[0].id = (uint64_t)session;
	bed->facts.read_tokens = ask->read_tokens;
	bed->facts.parts[0].tokens = (unsigned int)ask->read_tokens;
	bed->facts.made_tokens = ask->made_tokens;
	bed->call = cw_call_open(bed->gate, &bed->facts, now_ms, now_ms, &bed->step);
	assert_int_equal(bed->step.kind, CW_STEP_SEND);
	return bed->step.server->software;
}

/* Two instances until the trial is on. The second sees none of the callers. */
static void play_until_trial(struct bed *beds)
{
	for (int64_t at_ms = 0; at_ms <= TRIAL_MS; at_ms += TELL_MS) {
		for (int i = 0; i < 4; i++)
			software_of(&beds[0], &chat, 10000 + i, BED_NOW + at_ms);
		software_of(&beds[0], &report, 20000, BED_NOW + at_ms);
		tell_each_other(beds, 2, BED_NOW + at_ms);
	}
}

/* The same, and a server of the target was once full. */
static void play_until_trial_of_full_server(struct bed *beds)
{
	cw_rollouts_answered(rollouts(&beds[0]), &under_load, BED_NOW);
	play_until_trial(beds);
}

static void open_both(struct bed *beds)
{
	open_instance(&beds[0]);
	open_instance(&beds[1]);
}

static void close_both(struct bed *beds)
{
	bed_close(&beds[0]);
	bed_close(&beds[1]);
}

static void all_attempts_of_a_request_run_on_one_version(void **state)
{
	struct cw_answer_facts doubtful = {
		.status = 200, .is_sealed = 1, .is_events = 1, .confidence = 3};
	struct bed beds[2];
	int escalated = 0;
	int64_t now_ms = BED_NOW + TRIAL_MS;

	open_both(beds);
	play_until_trial_of_full_server(beds);
	for (int i = 0; i < SESSIONS; i++, now_ms += 2) {
		char first[CW_NAME_MAX];

		g_strlcpy(first, software_of(&beds[0], &chat, i, now_ms), CW_NAME_MAX);
		cw_call_head(beds[0].call, &doubtful, now_ms + 30, &beds[0].step);
		if (beds[0].step.kind != CW_STEP_SEND)
			continue;
		assert_string_equal(beds[0].step.dispatch.model, "large");
		if (!strcmp(first, "v2")) {
			assert_string_equal(beds[0].step.server->software, "v2");
			escalated++;
		}
	}
	assert_true(escalated > SESSIONS / 10);
	close_both(beds);
}

static void a_longer_prompt_of_a_session_runs_where_its_shorter_one_did(void **state)
{
	struct ask longer = chat;
	struct bed beds[2];
	int moved = 0;

	longer.read_tokens = LONG;
	open_both(beds);
	play_until_trial_of_full_server(beds);
	for (int i = 0; i < SESSIONS; i++) {
		int64_t now_ms = BED_NOW + TRIAL_MS + i;

		if (strcmp(software_of(&beds[0], &chat, i, now_ms), "v2") != 0)
			continue;
		moved++;
		assert_string_equal(software_of(&beds[1], &longer, i, now_ms + 1), "v2");
	}
	assert_true(moved > SESSIONS / 10);
	close_both(beds);
}

/* The second instance hears of the full server only after it was asked. */
static void instances_that_learn_a_step_apart_send_a_session_to_one_version(void **state)
{
	struct bed beds[2];
	int64_t now_ms = BED_NOW + TRIAL_MS;
	int moved = 0;

	open_both(beds);
	play_until_trial(beds);
	cw_rollouts_answered(rollouts(&beds[0]), &under_load, now_ms);
	for (int i = 0; i < SESSIONS; i++)
		if (!strcmp(software_of(&beds[0], &chat, i, now_ms + 10), "v2"))
			assert_string_equal(software_of(&beds[1], &chat, i, now_ms + 20), "v2");
	/* Both know it in the end, and more sessions run on the target. */
	for (int64_t at_ms = 0; at_ms <= 2000; at_ms += TELL_MS)
		tell_each_other(beds, 2, now_ms + at_ms);
	for (int i = 0; i < SESSIONS; i++) {
		if (strcmp(software_of(&beds[0], &chat, i, now_ms + 2000), "v2") != 0)
			continue;
		assert_string_equal(software_of(&beds[1], &chat, i, now_ms + 2000), "v2");
		moved++;
	}
	assert_true(moved > SESSIONS / 4);
	close_both(beds);
}

/* It has seen none of the other route's requests, so that this one's look usual to it. */
static void a_restarted_instance_sends_a_session_to_the_others_version(void **state)
{
	struct bed beds[2];
	int64_t now_ms = BED_NOW + TRIAL_MS;

	open_both(beds);
	play_until_trial(beds);
	bed_close(&beds[1]);
	open_instance(&beds[1]);
	tell_each_other(beds, 2, now_ms);
	for (int i = 0; i < SESSIONS; i++)
		if (!strcmp(software_of(&beds[1], &chat, i, now_ms + 10), "v2"))
			assert_string_equal(software_of(&beds[0], &chat, i, now_ms + 20), "v2");
	close_both(beds);
}

/*
 * The largest model is asked at once only to fill a server of the target. Which model it is made
 * the request another one, whose session was not on the target: the old version's servers had the
 * long answers.
 */
static void the_largest_model_is_asked_at_once_on_the_target_only(void **state)
{
	struct ask talk = {.path = "/chat/x", .read_tokens = SHORT, .made_tokens = 2000};
	struct bed beds[2];
	int asked = 0;

	open_both(beds);
	cw_rollouts_answered(rollouts(&beds[0]), &under_load, BED_NOW);
	for (int64_t at_ms = 0; at_ms <= TRIAL_MS; at_ms += TELL_MS) {
		for (int i = 0; i < 4; i++)
			software_of(&beds[0], &talk, 10000 + i, BED_NOW + at_ms);
		software_of(&beds[0], &report, 20000, BED_NOW + at_ms);
		tell_each_other(beds, 2, BED_NOW + at_ms);
	}
	for (int i = 0; i < SESSIONS; i++) {
		const char *software = software_of(&beds[0], &talk, i, BED_NOW + TRIAL_MS + 10);

		if (strcmp(beds[0].step.dispatch.model, "large") != 0)
			continue;
		assert_string_equal(software, "v2");
		asked++;
	}
	assert_true(asked > 0);
	close_both(beds);
}

/* What a caller was shown a part of came from the old version; the rest must as well. */
static void a_broken_stream_goes_on_at_the_version_that_began_it(void **state)
{
	struct cw_answer_facts head = {
		.status = 200, .is_sealed = 1, .is_events = 1, .confidence = 100};
	struct bed beds[2];
	struct cw_call *begun[SESSIONS];
	int64_t now_ms = BED_NOW + TRIAL_MS;
	int moved = 0;

	open_both(beds);
	play_until_trial(beds);
	for (int i = 0; i < SESSIONS; i++) {
		begun[i] = NULL;
		if (strcmp(software_of(&beds[0], &chat, i, now_ms), "v1") != 0)
			continue;
		begun[i] = beds[0].call;
		beds[0].call = NULL;
		cw_call_head(begun[i], &head, now_ms + 30, &beds[0].step);
		cw_call_event(begun[i], 1, now_ms + 31);
	}
	/* Until the end of the streams, more sessions go to the target. */
	cw_rollouts_answered(rollouts(&beds[0]), &under_load, now_ms);
	for (int64_t at_ms = 0; at_ms <= 2000; at_ms += TELL_MS)
		tell_each_other(beds, 2, now_ms + at_ms);
	for (int i = 0; i < SESSIONS; i++) {
		if (!begun[i])
			continue;
		if (!moved && !strcmp(software_of(&beds[0], &chat, i, now_ms + 2000), "v2")) {
			moved = 1;
			cw_call_broken(begun[i], CW_BREAK_BROKEN, now_ms + 2000, &beds[0].step);
			assert_int_equal(beds[0].step.kind, CW_STEP_SEND);
			assert_string_equal(beds[0].step.server->software, "v1");
		}
		cw_call_close(begun[i], now_ms + 2000);
	}
	assert_true(moved);
	close_both(beds);
}

/*
 * A route that is divided among services: what a session's prompts left at one is not at the other.
 */
static void a_sessions_requests_go_to_one_service_of_a_divided_route(void **state)
{
	struct cw_config *config = bed_make_config(6);
	struct cw_route *route = (struct cw_route *)cw_config_route(config, "h.example", "/chat/");
	struct bed bed;
	int divided = 0;

	bed_open(&bed);
	bed_add_server(&bed, "n1", "next", "v1");
	route->share_count = 2;
	route->shares[0].weight = 0.5;
	route->shares[1].weight = 0.5;
	strcpy(route->shares[1].service, "next");
	cw_gate_configure(bed.gate, config);
	for (int i = 0; i < SESSIONS; i++) {
		char first[CW_NAME_MAX];

		software_of(&bed, &chat, i, BED_NOW + i);
		g_strlcpy(first, bed.step.server->service, sizeof(first));
		software_of(&bed, &chat, i, BED_NOW + 1000 + i);
		assert_string_equal(bed.step.server->service, first);
		divided += !strcmp(first, "next");
	}
	assert_true(divided > SESSIONS * 2 / 5 && divided < SESSIONS * 3 / 5);
	cw_config_unref(config);
	bed_close(&bed);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(all_attempts_of_a_request_run_on_one_version),
		cmocka_unit_test(a_longer_prompt_of_a_session_runs_where_its_shorter_one_did),
		cmocka_unit_test(instances_that_learn_a_step_apart_send_a_session_to_one_version),
		cmocka_unit_test(a_restarted_instance_sends_a_session_to_the_others_version),
		cmocka_unit_test(a_broken_stream_goes_on_at_the_version_that_began_it),
		cmocka_unit_test(a_sessions_requests_go_to_one_service_of_a_divided_route),
		cmocka_unit_test(the_largest_model_is_asked_at_once_on_the_target_only),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
