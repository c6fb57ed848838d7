/* Quarantine in the gate: requests that crash the servers that run them. */
#include "gate_bed.h"

#include <string.h>

#define BODY 77

/* Sends a poison request until its final answer; every server crashes while running it. */
static unsigned int send_poison_request(struct bed *bed, const char *path)
{
	unsigned int sends = 0;

	bed->facts.body = BODY;
	bed_ask(bed, path);
	while (bed->step.kind == CW_STEP_SEND) {
		uint64_t server = bed->step.server->id;

		sends++;
		cw_call_broken(bed->call, CW_BREAK_BROKEN, BED_NOW + (int64_t)sends * 2000,
			       &bed->step);
		cw_quarantine_gone(cw_gate_quarantine(bed->gate), server,
				   BED_NOW + (int64_t)sends * 2000);
		cw_quarantine_tick(cw_gate_quarantine(bed->gate), BED_NOW + (int64_t)sends * 2000);
	}
	return sends;
}

/* A peer announces the quarantine of the request while its answer is awaited. */
static void quarantine_in_flight(struct bed *bed)
{
	struct cw_quarantine_record record = {.ends = 3};

	bed->facts.body = BODY;
	bed_ask(bed, "/chat/x");
	record.fingerprint = cw_call_fingerprint(bed->call);
	cw_quarantine_hear_record(cw_gate_quarantine(bed->gate), &record, CW_QUARANTINE_PEER,
				  BED_NOW);
}

/*
 * Guards against poison requests that are run again and again: the caller got 502 and retried at
 * once, and after three server crashes a fourth instance still sent the request on. A quarantined
 * request is rejected as not run, without Retry-After.
 */
static void a_held_request_is_refused_unsent_without_a_time_to_return(void **state)
{
	struct bed bed;

	bed_open(&bed);
	assert_int_equal(send_poison_request(&bed, "/chat/x"), 3);
	bed_assert_refused(&bed, 502, CW_RUN_UNKNOWN);
	bed_ask(&bed, "/chat/x");
	bed_assert_refused(&bed, 503, CW_RUN_NOT);
	assert_int_equal(bed.step.retry_after_ms, -1);
	assert_int_equal(cw_call_attempts(bed.call), 0);
	bed.facts.body = BODY + 1;
	bed_ask(&bed, "/chat/x");
	assert_int_equal(bed.step.kind, CW_STEP_SEND);
	bed_close(&bed);
}

/* Another instance's announcement arrives while the answer is awaited: no further send. */
static void a_request_that_is_held_meanwhile_is_not_sent_again(void **state)
{
	struct cw_answer_facts low_confidence = {
		.status = 200, .is_sealed = 1, .is_events = 1, .confidence = 0};
	struct bed bed;

	bed_open(&bed);
	quarantine_in_flight(&bed);
	assert_true(cw_call_is_held(bed.call));
	cw_call_head(bed.call, &low_confidence, BED_NOW + 20, &bed.step);
	assert_int_equal(bed.step.kind, CW_STEP_SHOW);
	assert_string_equal(bed.step.reason, "quarantined");
	cw_call_broken(bed.call, CW_BREAK_BROKEN, BED_NOW + 30, &bed.step);
	bed_assert_refused(&bed, 502, CW_RUN_UNKNOWN);
	bed_close(&bed);
}

/* A copy in a server's queue is cancelled before it can start. */
static void a_request_under_way_is_ended_as_it_is_held(void **state)
{
	struct bed bed;

	bed_open(&bed);
	quarantine_in_flight(&bed);
	cw_call_stop(bed.call, BED_NOW + 10, &bed.step);
	bed_assert_refused(&bed, 502, CW_RUN_UNKNOWN);
	assert_null(cw_call_server(bed.call));
	bed_close(&bed);
}

/* Leaving servers break their last connections: a planned stop is no crash. */
static void servers_that_leave_say_nothing_against_what_they_ran(void **state)
{
	struct bed bed;

	bed_open(&bed);
	bed.facts.body = BODY;
	for (int i = 0; i < 6; i++) {
		struct cw_server *server;

		bed_ask(&bed, "/once/x");
		assert_int_equal(bed.step.kind, CW_STEP_SEND);
		server = bed.step.server;
		server->leaving = 1;
		cw_call_broken(bed.call, CW_BREAK_BROKEN, BED_NOW + i * 2000, &bed.step);
		server->leaving = 0;
		server->open_until_ms = 0;
	}
	assert_false(cw_call_is_held(bed.call));
	bed_close(&bed);
}

/* Rejection, failed connection, timeout and malformed answer are no server crash. */
static void only_a_connection_that_broke_counts(void **state)
{
	static const enum cw_break others[] = {CW_BREAK_UNSENT, CW_BREAK_REFUSED, CW_BREAK_GARBLED,
					       CW_BREAK_SILENT};
	struct bed bed;

	for (size_t i = 0; i < G_N_ELEMENTS(others); i++) {
		bed_open(&bed);
		bed.facts.body = BODY;
		for (int j = 0; j < 5; j++) {
			bed_ask(&bed, "/read/x");
			while (bed.step.kind == CW_STEP_SEND)
				cw_call_broken(bed.call, others[i], BED_NOW + j * 2000, &bed.step);
		}
		bed_ask(&bed, "/read/x");
		assert_false(cw_call_is_held(bed.call));
		bed_close(&bed);
	}
}

/* The answer is dropped for an escalation and its server crashes: the request had run there. */
static void an_answer_that_was_dropped_counts_where_it_had_begun(void **state)
{
	struct cw_answer_facts low_confidence = {
		.status = 200, .is_sealed = 1, .is_events = 1, .confidence = 0};
	struct cw_quarantine_end ends[CW_QUARANTINE_ENDS];
	struct cw_quarantine_end received = {.fingerprint = 1, .answered_ms = CW_QUARANTINE_NEVER};
	struct bed bed;
	size_t count;

	bed_open(&bed);
	bed.facts.body = BODY;
	bed_ask(&bed, "/chat/x");
	received.server = bed.step.server->id;
	cw_call_head(bed.call, &low_confidence, BED_NOW + 20, &bed.step);
	assert_int_equal(bed.step.kind, CW_STEP_SEND);
	cw_quarantine_hear_end(cw_gate_quarantine(bed.gate), &received, BED_NOW + 70);
	count = cw_quarantine_tell_ends(cw_gate_quarantine(bed.gate), BED_NOW + 70, ends,
					CW_QUARANTINE_ENDS);
	assert_int_equal(count, 2);
	assert_int_equal(ends[0].server, ends[1].server);
	bed_close(&bed);
}

/* Another request took part in all three crashes, so either may be the poison request. */
static void quarantine_suspect(struct bed *bed)
{
	struct cw_quarantine *quarantine = cw_gate_quarantine(bed->gate);
	struct cw_quarantine_request request = {.organisation = "museo", .target = "chat"};

	bed->facts.body = BODY;
	bed_ask(bed, "/read/x");
	request.fingerprint = cw_call_fingerprint(bed->call);
	for (uint64_t server = 901; server <= 903; server++) {
		struct cw_quarantine_request alternative = request;

		alternative.fingerprint++;
		cw_quarantine_broke(quarantine, &request, server, 5, 0, BED_NOW);
		cw_quarantine_broke(quarantine, &alternative, server, 900, 0, BED_NOW);
		cw_quarantine_gone(quarantine, server, BED_NOW);
	}
	for (int64_t now_ms = BED_NOW; now_ms < BED_NOW + 7000; now_ms += 100)
		cw_quarantine_tick(quarantine, now_ms);
	assert_true(cw_call_is_held(bed->call));
}

static void set_second_place(void *context, uint64_t key, struct cw_warmup_place *place)
{
	place->instances = 2;
	place->rank = 1;
}

/* The trial of a suspect request must cost one server at most. */
static void a_held_request_in_doubt_is_tried_once_and_on_one_server(void **state)
{
	struct bed bed;

	bed_open(&bed);
	quarantine_suspect(&bed);
	bed_ask(&bed, "/read/x");
	assert_int_equal(bed.step.kind, CW_STEP_SEND);
	assert_false(cw_call_is_held(bed.call));
	cw_call_broken(bed.call, CW_BREAK_BROKEN, BED_NOW + 30, &bed.step);
	bed_assert_refused(&bed, 502, CW_RUN_UNKNOWN);
	bed_ask(&bed, "/read/x");
	bed_assert_refused(&bed, 503, CW_RUN_NOT);
	bed_close(&bed);
}

/* Only the first instance runs the trial, since each trial may crash a server. */
static void an_instance_that_is_not_the_first_tries_nothing(void **state)
{
	struct bed bed;

	bed_open(&bed);
	quarantine_suspect(&bed);
	cw_pool_set_places(cw_gate_pool(bed.gate), set_second_place, NULL);
	bed_ask(&bed, "/read/x");
	bed_assert_refused(&bed, 503, CW_RUN_NOT);
	bed_close(&bed);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(a_held_request_is_refused_unsent_without_a_time_to_return),
		cmocka_unit_test(a_request_that_is_held_meanwhile_is_not_sent_again),
		cmocka_unit_test(a_request_under_way_is_ended_as_it_is_held),
		cmocka_unit_test(servers_that_leave_say_nothing_against_what_they_ran),
		cmocka_unit_test(only_a_connection_that_broke_counts),
		cmocka_unit_test(an_answer_that_was_dropped_counts_where_it_had_begun),
		cmocka_unit_test(a_held_request_in_doubt_is_tried_once_and_on_one_server),
		cmocka_unit_test(an_instance_that_is_not_the_first_tries_nothing),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
