/* Placement limits: no request enters a drained failure domain or leaves its home regions. */
#include "gate_bed.h"

#include <string.h>

static const struct cw_answer_facts high_confidence = {
	.status = 200, .is_sealed = 1, .is_events = 1, .confidence = 90};
static const struct cw_answer_facts low_confidence = {
	.status = 200, .is_sealed = 1, .is_events = 1, .confidence = 3};

static void list_server(struct bed *bed, const char *name, const char *service, const char *domain,
			int64_t cold_ms)
{
	struct cw_server_entry entry = {.slots = 8, .cold_ms = cold_ms};

	g_strlcpy(entry.name, name, CW_NAME_MAX);
	g_strlcpy(entry.service, service, CW_NAME_MAX);
	strcpy(entry.software, "v1");
	strcpy(entry.address, "10.0.0.2:80");
	g_strlcpy(entry.failure_domain, domain, CW_NAME_MAX);
	assert_int_not_equal(cw_pool_list(cw_gate_pool(bed->gate), &entry, BED_NOW),
			     CW_LISTING_FULL);
}

static void drain(struct bed *bed, const char *domain, uint64_t offset, int is_drained)
{
	struct cw_drain_order order = {.offset = offset, .is_drained = is_drained};

	g_strlcpy(order.failure_domain, domain, CW_NAME_MAX);
	cw_pool_drain(cw_gate_pool(bed->gate), &order, BED_NOW);
}

/* Covers the first attempt, a retry, a resumed stream and an escalation. */
static void no_attempt_of_any_kind_goes_into_a_drained_domain(void **state)
{
	struct bed bed;

	bed_open(&bed);
	list_server(&bed, "e3", "llm", "d2", 0);
	list_server(&bed, "e4", "llm", "d2", 0);
	list_server(&bed, "s3", "orders", "d2", 0);
	drain(&bed, "d1", 5, 1);
	for (int i = 0; i < 4; i++) {
		bed_ask(&bed, "/read/x");
		assert_string_equal(bed.step.server->failure_domain, "d2");
		cw_call_broken(bed.call, CW_BREAK_BROKEN, BED_NOW + 5, &bed.step);
		assert_int_equal(bed.step.kind, CW_STEP_SEND);
		assert_string_equal(bed.step.server->failure_domain, "d2");
		bed_ask(&bed, "/chat/x");
		assert_string_equal(bed.step.server->failure_domain, "d2");
		cw_call_head(bed.call, &low_confidence, BED_NOW + 10, &bed.step);
		assert_int_equal(bed.step.kind, CW_STEP_SEND);
		assert_string_equal(bed.step.server->failure_domain, "d2");
		cw_call_head(bed.call, &high_confidence, BED_NOW + 20, &bed.step);
		cw_call_event(bed.call, 1, BED_NOW + 21);
		cw_call_broken(bed.call, CW_BREAK_BROKEN, BED_NOW + 25, &bed.step);
		assert_int_equal(bed.step.kind, CW_STEP_SEND);
		assert_string_equal(bed.step.server->failure_domain, "d2");
		cw_call_done(bed.call, BED_NOW + 30);
	}
	bed_close(&bed);
}

static void with_all_domains_drained_a_request_is_refused_at_once(void **state)
{
	struct bed bed;

	bed_open(&bed);
	drain(&bed, "d1", 5, 1);
	bed_ask(&bed, "/once/x");
	bed_assert_refused(&bed, 503, CW_RUN_NOT);
	assert_true(bed.step.retry_after_ms > 0);
	drain(&bed, "d1", 6, 0);
	bed_ask(&bed, "/once/x");
	assert_int_equal(bed.step.kind, CW_STEP_SEND);
	bed_close(&bed);
}

/* Running requests finish after the drain order; servers listed later are excluded as well. */
static void what_runs_in_a_drained_domain_is_finished(void **state)
{
	struct bed bed;

	bed_open(&bed);
	bed_ask(&bed, "/chat/x");
	drain(&bed, "d1", 5, 1);
	cw_call_head(bed.call, &high_confidence, BED_NOW + 10, &bed.step);
	assert_int_equal(bed.step.kind, CW_STEP_SHOW);
	cw_call_done(bed.call, BED_NOW + 20);
	list_server(&bed, "s9", "orders", "d1", 0);
	bed_ask(&bed, "/once/x");
	bed_assert_refused(&bed, 503, CW_RUN_NOT);
	bed_close(&bed);
}

static void set_warmup_rate(struct bed *bed, uint64_t version, double per_s)
{
	struct cw_config *config = bed_make_config(version);

	((struct cw_service *)cw_config_find_service(config, "orders"))->cold_per_s = per_s;
	cw_gate_configure(bed->gate, config);
	cw_config_unref(config);
}

/* Servers restored from a drain are cold: a rush to the idle servers would crash them. */
static void servers_whose_drain_was_taken_back_are_cold_until_they_say_otherwise(void **state)
{
	int sent = 0;
	struct bed bed;

	bed_open(&bed);
	set_warmup_rate(&bed, 6, 4);
	drain(&bed, "d1", 5, 1);
	drain(&bed, "d1", 6, 0);
	for (int i = 0; i < 40; i++) {
		bed_ask(&bed, "/read/x");
		sent += bed.step.kind == CW_STEP_SEND;
	}
	/* Two servers with a warm-up rate of four requests a second each. */
	assert_in_range(sent, 2, 8);
	bed_assert_refused(&bed, 503, CW_RUN_NOT);
	assert_string_equal(bed.step.reason, "the backend servers are warming up");
	assert_in_range(bed.step.retry_after_ms, 1, 2300);
	bed_close(&bed);
}

/* A warm-up time reported with an answer limits the requests from then on. */
static void an_answer_may_say_that_its_server_is_cold(void **state)
{
	struct cw_answer_facts cold = {
		.status = 200, .is_sealed = 1, .has_cold = 1, .cold_ms = 3000};
	int sent = 0;
	struct bed bed;

	bed_open(&bed);
	set_warmup_rate(&bed, 6, 4);
	cw_pool_find_name(cw_gate_pool(bed.gate), "s2")->leaving = 1;
	bed_ask(&bed, "/read/x");
	cw_call_head(bed.call, &cold, BED_NOW, &bed.step);
	cw_call_done(bed.call, BED_NOW);
	for (int i = 0; i < 40; i++) {
		bed_ask(&bed, "/read/x");
		sent += bed.step.kind == CW_STEP_SEND;
	}
	assert_in_range(sent, 0, 4);
	bed_close(&bed);
}

static void set_homes(struct bed *bed, uint64_t version, const char *route,
		      const char *organisation)
{
	struct cw_config *config = bed_make_config(version);

	if (route)
		cw_homes_add(
			&((struct cw_route *)cw_config_find_route(config, "h.example", "/once/x"))
				 ->homes,
			route);
	if (organisation)
		cw_homes_add(&((struct cw_organisation *)cw_config_find_organisation(config, "key"))
				      ->homes,
			     organisation);
	cw_gate_configure(bed->gate, config);
	cw_config_unref(config);
}

/* A request without a server in its home regions is rejected and runs nowhere else. */
static void a_request_runs_in_its_home_regions_only(void **state)
{
	struct bed bed;

	bed_open(&bed);
	cw_pool_set_region(cw_gate_pool(bed.gate), "d2", "south");
	list_server(&bed, "s3", "orders", "d2", 0);
	set_homes(&bed, 6, "south", NULL);
	for (int i = 0; i < 20; i++) {
		bed_ask(&bed, "/once/x");
		assert_string_equal(bed.step.server->name, "s3");
	}
	set_homes(&bed, 7, NULL, "south");
	bed_ask(&bed, "/read/x");
	assert_string_equal(bed.step.server->name, "s3");
	set_homes(&bed, 8, "south", "north");
	bed_ask(&bed, "/once/x");
	bed_assert_refused(&bed, 503, CW_RUN_NOT);
	set_homes(&bed, 9, "south", NULL);
	cw_pool_find_name(cw_gate_pool(bed.gate), "s3")->leaving = 1;
	bed_ask(&bed, "/once/x");
	bed_assert_refused(&bed, 503, CW_RUN_NOT);
	bed_close(&bed);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(no_attempt_of_any_kind_goes_into_a_drained_domain),
		cmocka_unit_test(with_all_domains_drained_a_request_is_refused_at_once),
		cmocka_unit_test(what_runs_in_a_drained_domain_is_finished),
		cmocka_unit_test(
			servers_whose_drain_was_taken_back_are_cold_until_they_say_otherwise),
		cmocka_unit_test(an_answer_may_say_that_its_server_is_cold),
		cmocka_unit_test(a_request_runs_in_its_home_regions_only),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
