/* One request's decisions: what may be sent again, what a caller is told, what the next step is. */
#include "cw_gate.h"
#include "unit.h"

#include <stdio.h>
#include <string.h>

#define NOW 100000

struct bed {
	struct cw_gate *gate;
	struct cw_config *config;
	struct cw_facts facts;
	struct cw_step step;
	struct cw_call *call;
};

static void add_server(struct bed *bed, const char *name, const char *service, const char *software)
{
	struct cw_server_entry entry = {.slots = 8};

	snprintf(entry.name, sizeof(entry.name), "%s", name);
	snprintf(entry.service, sizeof(entry.service), "%s", service);
	snprintf(entry.software, sizeof(entry.software), "%s", software);
	snprintf(entry.address, sizeof(entry.address), "10.0.0.1:%d", 1000 + name[1]);
	strcpy(entry.failure_domain, "d1");
	assert_int_not_equal(cw_pool_list(cw_gate_pool(bed->gate), &entry, NOW), CW_LISTING_FULL);
}

static struct cw_route *add_route(struct cw_config *config, const char *prefix,
				  enum cw_repeat repeat, int attempts, const char *service)
{
	struct cw_route *route = cw_config_add_route(config);

	strcpy(route->host, "h.example");
	g_strlcpy(route->prefix, prefix, sizeof(route->prefix));
	g_strlcpy(route->name, prefix, sizeof(route->name));
	route->repeat = repeat;
	route->max_attempts = attempts;
	route->limit_ms = 800;
	route->objective_ms = 300;
	route->share_count = 1;
	route->shares[0].weight = 1;
	g_strlcpy(route->shares[0].service, service, CW_NAME_MAX);
	return route;
}

static struct cw_config *make_config(uint64_t version)
{
	struct cw_config *config = cw_config_create(version);
	struct cw_organisation *organisation = cw_config_add_organisation(config);
	struct cw_service *engine = cw_config_add_service(config);
	struct cw_route *route;

	strcpy(cw_config_add_service(config)->name, "orders");
	strcpy(engine->name, "llm");
	engine->is_engine = 1;
	strcpy(organisation->name, "museo");
	cw_config_require_keys(config);
	cw_config_add_key(config, "key", organisation);
	add_route(config, "/once/", CW_REPEAT_NEVER, 1, "orders");
	add_route(config, "/read/", CW_REPEAT_ANY, 3, "orders");
	add_route(config, "/read/deep/", CW_REPEAT_ANY, 3, "orders")->is_public = 1;
	route = add_route(config, "/chat/", CW_REPEAT_STREAM, 3, "llm");
	route->is_resumable = 1;
	route->limit_ms = 20000;
	route->model_count = 2;
	strcpy(route->models[0], "small");
	strcpy(route->models[1], "large");
	cw_config_seal(config);
	return config;
}

static void bed_open(struct bed *bed)
{
	struct cw_gate_options options = {
		.failure_domain = "d1",
		.seed = 5,
		.repeat_ratio = 0.5,
		.repeat_slack = 10,
		.repeat_window_ms = 10000,
		.rollouts = {.session_ms = 5000, .exposed_share = 0.15, .exposed_slack = 30},
		.escalate_below = 60,
		.escalate_below_late = 25,
	};

	memset(bed, 0, sizeof(*bed));
	bed->gate = cw_gate_create(&options);
	bed->config = make_config(5);
	cw_gate_configure(bed->gate, bed->config);
	strcpy(bed->facts.id, "r1");
	strcpy(bed->facts.host, "H.example:80");
	strcpy(bed->facts.key, "key");
	strcpy(bed->facts.model, CW_ANY_MODEL);
	bed->facts.allowed_ms = 10000;
	bed->facts.last_event = CW_NO_EVENT;
	add_server(bed, "s1", "orders", "v1");
	add_server(bed, "s2", "orders", "v1");
	add_server(bed, "e1", "llm", "v1");
	add_server(bed, "e2", "llm", "v1");
}

static void bed_close(struct bed *bed)
{
	cw_call_close(bed->call, NOW);
	cw_gate_destroy(bed->gate);
	cw_config_unref(bed->config);
}

static void ask(struct bed *bed, const char *path)
{
	cw_call_close(bed->call, NOW);
	bed->facts.path = path;
	bed->call = cw_call_open(bed->gate, &bed->facts, NOW, NOW, &bed->step);
}

static void answer(struct bed *bed, unsigned int status, int is_sealed, int is_not_run)
{
	struct cw_answer_facts facts = {.status = status,
					.is_sealed = is_sealed,
					.is_not_run = is_not_run,
					.confidence = -1};

	cw_call_head(bed->call, &facts, NOW + 10, &bed->step);
}

static void assert_refused(const struct bed *bed, unsigned int status, enum cw_run run)
{
	assert_int_equal(bed->step.kind, CW_STEP_REFUSE);
	assert_int_equal(bed->step.status, status);
	assert_int_equal(bed->step.run, run);
}

static void a_route_is_found_by_its_longest_prefix(void **state)
{
	struct bed bed;

	bed_open(&bed);
	bed.facts.key[0] = '\0';
	ask(&bed, "/read/deep/x");
	assert_int_equal(bed.step.kind, CW_STEP_SEND);
	ask(&bed, "/read/x");
	assert_refused(&bed, 401, CW_RUN_NOT);
	ask(&bed, "/none/");
	assert_refused(&bed, 404, CW_RUN_NOT);
	bed_close(&bed);
}

/* An instance that knows no configuration can't say that a route or a key doesn't exist. */
static void without_a_configuration_nothing_is_denied(void **state)
{
	struct cw_gate_options options = {.failure_domain = "d1", .repeat_window_ms = 1000};
	struct bed bed;

	bed_open(&bed);
	cw_gate_destroy(bed.gate);
	bed.gate = cw_gate_create(&options);
	ask(&bed, "/none/");
	assert_refused(&bed, 503, CW_RUN_NOT);
	assert_true(bed.step.retry_after_ms > 0);
	bed_close(&bed);
}

static void an_older_configuration_never_replaces_a_newer_one(void **state)
{
	struct cw_config *older = make_config(4);
	struct cw_config *newer = make_config(9);
	struct bed bed;

	bed_open(&bed);
	assert_int_equal(cw_gate_configure(bed.gate, older), 0);
	assert_int_equal(cw_gate_configure(bed.gate, newer), 1);
	assert_int_equal(cw_gate_configure(bed.gate, bed.config), 0);
	assert_int_equal(cw_config_version(cw_gate_config(bed.gate)), 9);
	cw_config_unref(older);
	cw_config_unref(newer);
	bed_close(&bed);
}

/*
 * Symptom: a fabric order was cut twice.
 * Sequence: the server takes the order, the connection breaks, the caller is told 503 and returns.
 * Cause: a broken connection was taken for a request that had not run.
 */
static void an_order_that_may_have_run_is_neither_repeated_nor_called_not_run(void **state)
{
	struct bed bed;

	bed_open(&bed);
	ask(&bed, "/once/x");
	assert_int_equal(bed.step.kind, CW_STEP_SEND);
	cw_call_broken(bed.call, CW_BREAK_BROKEN, NOW + 5, &bed.step);
	assert_refused(&bed, 502, CW_RUN_UNKNOWN);
	assert_int_equal(bed.step.retry_after_ms, -1);
	bed_close(&bed);
}

static void an_order_that_was_never_sent_goes_to_another_server(void **state)
{
	const struct cw_server *first;
	struct bed bed;

	bed_open(&bed);
	ask(&bed, "/once/x");
	first = bed.step.server;
	cw_call_broken(bed.call, CW_BREAK_UNSENT, NOW + 5, &bed.step);
	assert_int_equal(bed.step.kind, CW_STEP_SEND);
	assert_ptr_not_equal(bed.step.server, first);
	bed_close(&bed);
}

static void an_order_that_the_server_did_not_run_is_refused_as_not_run(void **state)
{
	struct bed bed;

	bed_open(&bed);
	ask(&bed, "/once/x");
	answer(&bed, 503, 0, 1);
	assert_refused(&bed, 503, CW_RUN_NOT);
	assert_true(bed.step.retry_after_ms > 0);
	bed_close(&bed);
}

/* A failed read may run again; when no attempt is left, it is not said to have not run. */
static void a_read_is_tried_again_as_often_as_its_route_allows(void **state)
{
	struct bed bed;

	bed_open(&bed);
	ask(&bed, "/read/x");
	answer(&bed, 500, 1, 0);
	assert_int_equal(bed.step.kind, CW_STEP_SEND);
	cw_call_broken(bed.call, CW_BREAK_GARBLED, NOW + 20, &bed.step);
	assert_int_equal(bed.step.kind, CW_STEP_SEND);
	assert_int_equal(cw_call_attempts(bed.call), 3);
	cw_call_broken(bed.call, CW_BREAK_BROKEN, NOW + 30, &bed.step);
	assert_refused(&bed, 502, CW_RUN_UNKNOWN);
	bed_close(&bed);
}

/* A success without the server's signature, or in another encoding, is not the server's answer. */
static void an_answer_that_is_not_the_servers_own_is_not_shown(void **state)
{
	struct cw_answer_facts encoded = {
		.status = 200, .is_sealed = 1, .is_encoded = 1, .confidence = -1};
	struct bed bed;

	bed_open(&bed);
	ask(&bed, "/once/x");
	answer(&bed, 200, 0, 0);
	assert_refused(&bed, 502, CW_RUN_UNKNOWN);
	ask(&bed, "/once/x");
	cw_call_head(bed.call, &encoded, NOW, &bed.step);
	assert_refused(&bed, 502, CW_RUN_UNKNOWN);
	bed_close(&bed);
}

/*
 * Symptom: a service that failed was met by three times its load and did not recover.
 * Sequence: every answer fails, every request is sent as often as its route allows.
 * Cause: no budget over all requests.
 */
static void repeats_stop_when_their_budget_is_spent(void **state)
{
	int sends = 0;
	struct bed bed;

	bed_open(&bed);
	for (int i = 0; i < 100; i++) {
		ask(&bed, "/read/x");
		while (bed.step.kind == CW_STEP_SEND) {
			sends++;
			answer(&bed, 500, 1, 0);
		}
	}
	assert_true(sends <= 100 + 100 / 2 + 10);
	assert_true(sends > 140);
	bed_close(&bed);
}

static void a_small_model_that_doubts_is_replaced_by_the_largest(void **state)
{
	struct cw_answer_facts unsure = {
		.status = 200, .is_sealed = 1, .is_events = 1, .confidence = 30};
	struct cw_answer_facts sure = {
		.status = 200, .is_sealed = 1, .is_events = 1, .confidence = 90};
	struct bed bed;

	bed_open(&bed);
	ask(&bed, "/chat/x");
	assert_string_equal(bed.step.dispatch.model, "small");
	cw_call_head(bed.call, &sure, NOW + 20, &bed.step);
	assert_int_equal(bed.step.kind, CW_STEP_SHOW);
	ask(&bed, "/chat/x");
	cw_call_head(bed.call, &unsure, NOW + 20, &bed.step);
	assert_int_equal(bed.step.kind, CW_STEP_SEND);
	assert_string_equal(bed.step.dispatch.model, "large");
	cw_call_head(bed.call, &unsure, NOW + 40, &bed.step);
	assert_int_equal(bed.step.kind, CW_STEP_SHOW);
	bed_close(&bed);
}

/* What follows from a small model's confidence, with so much waiting at every engine. */
static enum cw_step_kind answered_with(double backlog_ms, int confidence)
{
	struct cw_answer_facts answer = {
		.status = 200, .is_sealed = 1, .is_events = 1, .confidence = confidence};
	struct cw_server *server;
	struct bed bed;

	bed_open(&bed);
	bed.facts.part_count = 1;
	bed.facts.read_tokens = 1;
	TAILQ_FOREACH(server, cw_pool_servers(cw_gate_pool(bed.gate)), link) {
		server->peers_work_ms = backlog_ms;
		server->peers_ms = NOW;
	}
	ask(&bed, "/chat/x");
	cw_call_head(bed.call, &answer, NOW, &bed.step);
	bed_close(&bed);
	return bed.step.kind;
}

/*
 * Symptom: at five times the usual load every second answer of a long prompt was late, 9 in 100
 * requests were refused by full engines.
 * Sequence: the large model's prompts queue for seconds; each answer with little confidence adds
 * one. Cause: a confidence below 25 was replaced however long the queue was.
 */
static void the_trust_asked_for_falls_to_none_as_the_queue_grows(void **state)
{
	static const struct {
		double backlog_ms; /* of an objective of 300 ms; the large model needs 25 more */
		int least;	   /* confidence that is shown */
	} steps[] = {{0, 60}, {60, 44}, {115, 24}, {170, 11}, {230, 0}, {5000, 0}};

	for (size_t i = 0; i < G_N_ELEMENTS(steps); i++) {
		if (steps[i].least > 0)
			assert_int_equal(answered_with(steps[i].backlog_ms, steps[i].least - 4),
					 CW_STEP_SEND);
		assert_int_equal(answered_with(steps[i].backlog_ms, MIN(steps[i].least + 4, 100)),
				 CW_STEP_SHOW);
	}
	assert_int_equal(answered_with(5000, 0), CW_STEP_SHOW);
}

/* So many requests go out and are rejected by their first server, as in a burst. */
static void reject(struct bed *bed, int count)
{
	for (int i = 0; i < count; i++) {
		ask(bed, "/once/x");
		if (bed->step.kind == CW_STEP_SEND)
			answer(bed, 503, 0, 1);
	}
}

/*
 * Symptom: in a burst of five times the usual load the least urgent half of the callers got neither
 * an answer nor a true refusal; each rejected request was sent to two more full servers. Sequence:
 * servers reject half of what they get, the rest waits behind more urgent requests. Cause: what the
 * servers had no room for was sent again and again.
 */
static void the_least_urgent_are_refused_at_once_while_servers_reject(void **state)
{
	int refused[3] = {0};
	struct bed bed;

	for (int priority = 0; priority < 3; priority++) {
		bed_open(&bed);
		((struct cw_route *)cw_config_route(bed.config, "h.example", "/once/x"))->priority =
			2;
		((struct cw_route *)cw_config_route(bed.config, "h.example", "/read/x"))->priority =
			priority;
		reject(&bed, 40);
		for (int i = 0; i < 100; i++) {
			ask(&bed, "/read/x");
			if (bed.step.kind != CW_STEP_REFUSE)
				continue;
			refused[priority]++;
			assert_refused(&bed, 503, CW_RUN_NOT);
			assert_true(bed.step.retry_after_ms >= 600 &&
				    bed.step.retry_after_ms < 1200);
		}
		bed_close(&bed);
	}
	assert_int_equal(refused[0], 0);
	assert_true(refused[1] > 5);
	assert_true(refused[2] > refused[1]);
}

/* An organisation's priority goes before its route's. */
static void an_urgent_organisation_is_not_shed(void **state)
{
	struct cw_organisation *organisation;
	struct bed bed;

	bed_open(&bed);
	((struct cw_route *)cw_config_route(bed.config, "h.example", "/read/x"))->priority = 2;
	organisation = (struct cw_organisation *)cw_config_key(bed.config, "key");
	organisation->has_priority = 1;
	organisation->priority = 0;
	reject(&bed, 40);
	for (int i = 0; i < 100; i++) {
		ask(&bed, "/read/x");
		assert_int_equal(bed.step.kind, CW_STEP_SEND);
	}
	bed_close(&bed);
}

/*
 * Symptom: callers got 502 in place of the small model's answer that was there.
 * Sequence: a doubtful answer is dropped for the largest model's, and no engine has room for that.
 * Cause: the attempt that was left went to the largest model as well.
 */
static void what_full_engines_refuse_is_asked_of_the_small_model_again(void **state)
{
	struct cw_answer_facts unsure = {
		.status = 200, .is_sealed = 1, .is_events = 1, .confidence = 30};
	struct bed bed;

	bed_open(&bed);
	ask(&bed, "/chat/x");
	cw_call_head(bed.call, &unsure, NOW + 20, &bed.step);
	assert_string_equal(bed.step.dispatch.model, "large");
	answer(&bed, 503, 0, 1);
	assert_int_equal(bed.step.kind, CW_STEP_SEND);
	assert_string_equal(bed.step.dispatch.model, "small");
	cw_call_head(bed.call, &unsure, NOW + 40, &bed.step);
	assert_int_equal(bed.step.kind, CW_STEP_SHOW);
	bed_close(&bed);
}

static void nothing_is_dropped_for_a_larger_model_while_engines_reject(void **state)
{
	struct cw_answer_facts unsure = {
		.status = 200, .is_sealed = 1, .is_events = 1, .confidence = 30};
	struct bed bed;

	bed_open(&bed);
	for (int i = 0; i < 10; i++) {
		ask(&bed, "/chat/x");
		answer(&bed, 503, 0, 1);
	}
	ask(&bed, "/chat/x");
	cw_call_head(bed.call, &unsure, NOW + 20, &bed.step);
	assert_int_equal(bed.step.kind, CW_STEP_SHOW);
	bed_close(&bed);
}

/* Nothing that was shown may be taken back: a stream goes on where it stopped, elsewhere. */
static void a_broken_stream_goes_on_after_its_last_event(void **state)
{
	struct cw_answer_facts sure = {
		.status = 200, .is_sealed = 1, .is_events = 1, .confidence = 90};
	const struct cw_server *first;
	struct bed bed;

	bed_open(&bed);
	ask(&bed, "/chat/x");
	first = bed.step.server;
	cw_call_head(bed.call, &sure, NOW + 20, &bed.step);
	cw_call_event(bed.call, 3, NOW + 30);
	cw_call_broken(bed.call, CW_BREAK_BROKEN, NOW + 40, &bed.step);
	assert_int_equal(bed.step.kind, CW_STEP_SEND);
	assert_int_equal(bed.step.dispatch.last_event, 3);
	assert_string_equal(bed.step.dispatch.model, "small");
	assert_ptr_not_equal(bed.step.server, first);
	assert_int_equal(cw_call_wants_event(bed.call, 3), 0);
	assert_int_equal(cw_call_wants_event(bed.call, 4), 1);
	bed_close(&bed);
}

static void the_time_that_a_server_gets_is_what_is_left(void **state)
{
	struct bed bed;

	bed_open(&bed);
	bed.facts.allowed_ms = 500;
	ask(&bed, "/read/x");
	assert_true(bed.step.dispatch.allowed_ms <= 500);
	cw_call_broken(bed.call, CW_BREAK_BROKEN, NOW + 300, &bed.step);
	assert_int_equal(bed.step.kind, CW_STEP_SEND);
	assert_true(bed.step.dispatch.allowed_ms <= 200);
	bed.facts.allowed_ms = 10000;
	ask(&bed, "/read/x");
	assert_true(bed.step.dispatch.allowed_ms <= 800);
	assert_int_equal(cw_call_limit_ms(bed.call), NOW + 800);
	cw_call_expired(bed.call, NOW + 800, &bed.step);
	assert_refused(&bed, 504, CW_RUN_UNKNOWN);
	bed_close(&bed);
}

static void a_leaving_server_gets_nothing_more(void **state)
{
	struct cw_server *server;
	struct bed bed;

	bed_open(&bed);
	server = cw_pool_find_name(cw_gate_pool(bed.gate), "s1");
	server->leaving = 1;
	for (int i = 0; i < 20; i++) {
		ask(&bed, "/read/x");
		assert_string_equal(bed.step.server->name, "s2");
	}
	cw_pool_find_name(cw_gate_pool(bed.gate), "s2")->leaving = 1;
	ask(&bed, "/read/x");
	assert_refused(&bed, 503, CW_RUN_NOT);
	bed_close(&bed);
}

static void only_a_bad_version_is_barred_when_no_other_server_is_left(void **state)
{
	struct cw_rollout_order order = {"orders", "v1", 20000};
	struct cw_rollout_status back = {"orders", "v1", CW_ROLLOUT_BACK};
	struct bed bed;

	bed_open(&bed);
	cw_rollouts_order(cw_gate_rollouts(bed.gate), &order, 3, NOW);
	ask(&bed, "/once/x");
	assert_int_equal(bed.step.kind, CW_STEP_SEND);
	cw_rollouts_told(cw_gate_rollouts(bed.gate), &back);
	ask(&bed, "/once/x");
	assert_refused(&bed, 503, CW_RUN_NOT);
	bed_close(&bed);
}

/*
 * Symptom: running streams were cut beside a change of configuration.
 * Sequence: a server with a full queue takes no connection in time and counts as cut off; the
 * stream has used its attempts and has nowhere to go. Cause: it was left all the same, on a
 * suspicion.
 */
static void a_stream_without_attempts_left_stays_with_its_server(void **state)
{
	struct cw_answer_facts sure = {
		.status = 200, .is_sealed = 1, .is_events = 1, .confidence = 90};
	struct bed bed;

	bed_open(&bed);
	ask(&bed, "/chat/x");
	cw_call_head(bed.call, &sure, NOW + 20, &bed.step);
	cw_call_event(bed.call, 1, NOW + 30);
	assert_int_equal(cw_call_may_leave(bed.call), 1);
	cw_call_broken(bed.call, CW_BREAK_BROKEN, NOW + 40, &bed.step);
	cw_call_broken(bed.call, CW_BREAK_BROKEN, NOW + 50, &bed.step);
	assert_int_equal(bed.step.kind, CW_STEP_SEND);
	assert_int_equal(cw_call_may_leave(bed.call), 0);
	ask(&bed, "/once/x");
	assert_int_equal(cw_call_may_leave(bed.call), 0);
	bed_close(&bed);
}

/*
 * Symptom: an order was answered 502 though it had reached nobody, and a stream did not go back to
 * a server that was there again.
 * Sequence: the server starts again while a stream runs there; the stream is given up at the
 * earlier start and goes on, the other server is leaving.
 * Cause: the new start counted as tried, for it has the same name.
 */
static void a_stream_may_go_on_at_the_same_server_started_again(void **state)
{
	struct cw_answer_facts sure = {
		.status = 200, .is_sealed = 1, .is_events = 1, .confidence = 90};
	struct cw_server_entry entry;
	struct cw_server *first;
	struct bed bed;

	bed_open(&bed);
	ask(&bed, "/chat/x");
	first = bed.step.server;
	cw_pool_entry(first, &entry);
	cw_call_head(bed.call, &sure, NOW + 20, &bed.step);
	cw_call_event(bed.call, 1, NOW + 30);
	cw_pool_find_name(cw_gate_pool(bed.gate), strcmp(first->name, "e1") ? "e1" : "e2")
		->leaving = 1;
	entry.born_ms = 900;
	first->born_ms = 800;
	assert_int_equal(cw_pool_list(cw_gate_pool(bed.gate), &entry, NOW + 40),
			 CW_LISTING_RESTARTED);
	cw_call_broken(bed.call, CW_BREAK_BROKEN, NOW + 40, &bed.step);
	assert_int_equal(bed.step.kind, CW_STEP_SEND);
	assert_ptr_not_equal(bed.step.server, first);
	assert_string_equal(bed.step.server->name, entry.name);
	assert_int_equal(bed.step.dispatch.last_event, 1);
	assert_int_equal(first->own_running, 0);
	assert_int_equal(bed.step.server->own_running, 1);
	bed_close(&bed);
}

/* One request to an engine that told of so many running before, and tells of so many now. */
static void be_told(struct bed *bed, unsigned int before, unsigned int now, int64_t took_ms,
		    int64_t now_ms)
{
	struct cw_load told = {.running = before, .slots = 8};
	struct cw_answer_facts head = {.status = 200,
				       .is_sealed = 1,
				       .is_events = 1,
				       .confidence = 90,
				       .has_load = 1,
				       .running = now,
				       .slots = 8};
	const struct cw_server_list *servers = cw_pool_servers(cw_gate_pool(bed->gate));
	struct cw_server *server;

	TAILQ_FOREACH(server, servers, link)
		cw_pool_reported(server, &told, now_ms - 1);
	cw_call_close(bed->call, now_ms);
	bed->facts.path = "/chat/x";
	bed->facts.part_count = 2;
	bed->facts.read_tokens = 100;
	bed->call = cw_call_open(bed->gate, &bed->facts, now_ms, now_ms, &bed->step);
	cw_call_head(bed->call, &head, now_ms + took_ms, &bed->step);
}

/*
 * Symptom: versions that fail only under load were completed, 16 of 120 of them.
 * Sequence: forty requests are sent to an engine of 64 slots within 0.3 s; most wait or have their
 * prompts read while their answers are counted as given under load, and none of them fails.
 * Cause: requests sent counted as running. An engine runs a request from its first token on.
 */
static void an_answer_is_given_under_load_if_the_engine_told_so(void **state)
{
	static const struct {
		unsigned int before, now;
		int64_t took_ms;
		int is_loaded;
	} cases[] = {{6, 6, 300, 1}, {1, 6, 300, 0}, {1, 6, 40, 1}, {6, 1, 40, 0}, {3, 3, 300, 1}};
	struct cw_rollout_order order = {"llm", "v1", 20000};
	struct cw_rollout_news news;
	struct bed bed;

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		int64_t now_ms = NOW + 5000;

		bed_open(&bed);
		cw_rollouts_order(cw_gate_rollouts(bed.gate), &order, 3, NOW);
		be_told(&bed, cases[i].before, cases[i].now, cases[i].took_ms, now_ms);
		cw_rollouts_tell(cw_gate_rollouts(bed.gate), now_ms + cases[i].took_ms, &news, 1);
		assert_int_equal(news.kind_count, 1);
		assert_int_equal(news.kinds[0].is_loaded, cases[i].is_loaded);
		bed_close(&bed);
	}
}

/*
 * Symptom: sessions of the old version ran on the new one in the first seconds of its roll-out.
 * Sequence: the new version's servers are listed; the order to bring it in becomes known 3 s later.
 * Cause: without an order, any server of the service was as good as the others.
 */
static void a_version_without_a_known_order_gets_nothing_yet(void **state)
{
	struct cw_rollout_order order = {"llm", "v2", 20000};
	struct cw_rollout_request old = {.service = "llm"};
	struct cw_server_entry entry;
	struct bed bed;
	int used = 0;

	bed_open(&bed);
	cw_pool_entry(cw_pool_find_name(cw_gate_pool(bed.gate), "e1"), &entry);
	strcpy(entry.name, "e9");
	strcpy(entry.software, "v2");
	bed.facts.path = "/chat/x";
	cw_pool_list(cw_gate_pool(bed.gate), &entry, NOW + 5000);
	for (int i = 0; i < 30; i++) {
		cw_call_close(bed.call, NOW + 5100);
		bed.call = cw_call_open(bed.gate, &bed.facts, NOW + 5100, NOW + 5100, &bed.step);
		assert_string_equal(bed.step.server->software, "v1");
	}
	/* With its order known the roll-out says who goes there. */
	cw_rollouts_order(cw_gate_rollouts(bed.gate), &order, 3, NOW + 5200);
	for (int i = 0; !used && i < 1000; i++) {
		old.session = (uint64_t)i << 50;
		used = cw_rollouts_side(cw_gate_rollouts(bed.gate), &old, NOW + 7000) ==
		       CW_ROLLOUT_NEW;
	}
	assert_true(used);
	bed_close(&bed);
	/* Servers of a version that nobody orders are used after a while. */
	bed_open(&bed);
	bed.facts.path = "/chat/x";
	cw_pool_list(cw_gate_pool(bed.gate), &entry, NOW + 5000);
	for (int i = 0; i < 60; i++) {
		cw_call_close(bed.call, NOW + 8000);
		bed.call = cw_call_open(bed.gate, &bed.facts, NOW + 8000, NOW + 8000, &bed.step);
		used += !strcmp(bed.step.server->software, "v2");
	}
	assert_true(used > 1);
	bed_close(&bed);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(a_route_is_found_by_its_longest_prefix),
		cmocka_unit_test(without_a_configuration_nothing_is_denied),
		cmocka_unit_test(an_older_configuration_never_replaces_a_newer_one),
		cmocka_unit_test(an_order_that_may_have_run_is_neither_repeated_nor_called_not_run),
		cmocka_unit_test(an_order_that_was_never_sent_goes_to_another_server),
		cmocka_unit_test(an_order_that_the_server_did_not_run_is_refused_as_not_run),
		cmocka_unit_test(a_read_is_tried_again_as_often_as_its_route_allows),
		cmocka_unit_test(an_answer_that_is_not_the_servers_own_is_not_shown),
		cmocka_unit_test(repeats_stop_when_their_budget_is_spent),
		cmocka_unit_test(a_small_model_that_doubts_is_replaced_by_the_largest),
		cmocka_unit_test(the_trust_asked_for_falls_to_none_as_the_queue_grows),
		cmocka_unit_test(the_least_urgent_are_refused_at_once_while_servers_reject),
		cmocka_unit_test(an_urgent_organisation_is_not_shed),
		cmocka_unit_test(what_full_engines_refuse_is_asked_of_the_small_model_again),
		cmocka_unit_test(nothing_is_dropped_for_a_larger_model_while_engines_reject),
		cmocka_unit_test(a_broken_stream_goes_on_after_its_last_event),
		cmocka_unit_test(the_time_that_a_server_gets_is_what_is_left),
		cmocka_unit_test(a_leaving_server_gets_nothing_more),
		cmocka_unit_test(only_a_bad_version_is_barred_when_no_other_server_is_left),
		cmocka_unit_test(a_stream_without_attempts_left_stays_with_its_server),
		cmocka_unit_test(a_stream_may_go_on_at_the_same_server_started_again),
		cmocka_unit_test(an_answer_is_given_under_load_if_the_engine_told_so),
		cmocka_unit_test(a_version_without_a_known_order_gets_nothing_yet),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
