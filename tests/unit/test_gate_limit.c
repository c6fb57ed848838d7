/* Rate limits that backend servers report in their answers, over several instances. */
#include "gate_bed.h"

#include <glib.h>
#include <string.h>

#define INSTANCES  9
#define STEP_MS	   10
#define WINDOW_MS  4000
#define CONTACT_MS 3000 /* from the first report until the limit must be kept */
#define PLAY_MS	   20000
#define TOLERANCE  1.5 /* the allowed rate, relative to the limit */
#define BURST	   5   /* requests allowed beyond that rate */

struct system {
	struct fixture instances[INSTANCES];
	size_t count;
	int64_t now_ms;
	double limit_per_s;	  /* that server s1 reports; negative: none */
	int64_t sent_ms[PLAY_MS]; /* to s1 */
	size_t sent;
	size_t rejected;
};

static struct system *current; /* of find_place(), whose context is an instance's number */

static void find_place(void *context, uint64_t server, struct cw_warmup_place *place)
{
	/* Any order that differs from server to server; both see the same members. */
	place->rank = (GPOINTER_TO_SIZE(context) + server) % current->count;
	place->instances = current->count;
}

static void system_open(struct system *system, size_t count, double limit_per_s)
{
	memset(system, 0, sizeof(*system));
	current = system;
	system->count = count;
	system->limit_per_s = limit_per_s;
	system->now_ms = FIXTURE_NOW_MS;
	for (size_t i = 0; i < count; i++) {
		fixture_open(&system->instances[i]);
		cw_pool_set_place_lookup(cw_gate_pool(system->instances[i].gate), find_place,
					 GSIZE_TO_POINTER(i));
	}
}

static void system_close(struct system *system)
{
	for (size_t i = 0; i < system->count; i++)
		fixture_close(&system->instances[i]);
}

/* Sends one request of an instance; its server answers at once and reports its limit. */
static void send_request(struct system *system, size_t instance)
{
	struct fixture *fixture = &system->instances[instance];
	struct cw_response_head head = {.status = 200, .is_signed = 1, .confidence = -1};
	int is_limited;

	fixture->info.path = "/read/x";
	fixture->call = cw_call_open(fixture->gate, &fixture->info, system->now_ms, system->now_ms,
				     &fixture->step);
	if (fixture->step.kind == CW_STEP_SEND) {
		is_limited = !strcmp(fixture->step.server->name, "s1");
		if (is_limited)
			system->sent_ms[system->sent++] = system->now_ms;
		if (is_limited && system->limit_per_s >= 0) {
			head.rate_limit = CW_FIELD_VALID;
			head.rate_limit_per_s = system->limit_per_s;
		}
		cw_call_handle_head(fixture->call, &head, system->now_ms, &fixture->step);
		cw_call_complete(fixture->call, system->now_ms);
	} else {
		assert_int_equal(fixture->step.kind, CW_STEP_REJECT);
		system->rejected++;
	}
	cw_call_close(fixture->call, system->now_ms);
	fixture->call = NULL;
}

/* Every instance sends a request every interval_ms. */
static void play(struct system *system, int64_t duration_ms, int64_t interval_ms)
{
	int64_t end_ms = system->now_ms + duration_ms;

	for (; system->now_ms < end_ms; system->now_ms += STEP_MS)
		for (size_t i = 0; i < system->count; i++)
			if ((system->now_ms + (int64_t)i * STEP_MS) % interval_ms == 0)
				send_request(system, i);
}

/* The most requests that s1 got in one window, of those sent from from_ms on. */
static size_t most_in_window(const struct system *system, int64_t from_ms)
{
	size_t most = 0;
	size_t first = 0;

	for (size_t last = 0; last < system->sent; last++) {
		while (system->sent_ms[first] < from_ms ||
		       system->sent_ms[first] <= system->sent_ms[last] - WINDOW_MS)
			if (++first > last)
				break;
		if (first <= last)
			most = MAX(most, last - first + 1);
	}
	return most;
}

static size_t sent_since(const struct system *system, int64_t from_ms)
{
	size_t count = 0;

	for (size_t i = 0; i < system->sent; i++)
		count += system->sent_ms[i] >= from_ms;
	return count;
}

static double allowed(double limit_per_s)
{
	return TOLERANCE * limit_per_s * WINDOW_MS / 1000 + BURST;
}

/* Guards against a limit that is reported and then ignored, by one instance or by all together. */
static void all_instances_together_keep_a_reported_limit(void **state)
{
	static const double limits[] = {0, 0.3, 0.8, 1.3, 2.3, 7, 30};
	static struct system system;

	for (size_t i = 0; i < G_N_ELEMENTS(limits); i++)
		for (size_t count = 1; count <= INSTANCES; count += 4) {
			int64_t begin_ms = FIXTURE_NOW_MS + CONTACT_MS;
			double used;

			system_open(&system, count, limits[i]);
			play(&system, PLAY_MS, 20);
			used = (double)sent_since(&system, begin_ms) * 1000 /
			       (PLAY_MS - CONTACT_MS);
			print_message("limit %.1f, %zu instances: %zu in 4 s, %.2f a second\n",
				      limits[i], count, most_in_window(&system, begin_ms), used);
			assert_true((double)most_in_window(&system, begin_ms) <=
				    allowed(limits[i]));
			/* The other server takes the rest. */
			assert_int_equal(system.rejected, 0);
			/* A limited server is still used, for at least half of its limit. */
			assert_true(used >= limits[i] / 2);
			system_close(&system);
		}
}

/* The server reports a limit whose first part is granted later than the test ends. */
static void limit_server(struct fixture *fixture, const char *name)
{
	struct cw_rate_limit_report report = {.is_limited = 1,
					      .per_s = 1,
					      .sent_ms = FIXTURE_NOW_MS,
					      .received_ms = FIXTURE_NOW_MS};

	cw_pool_apply_rate_limit(cw_pool_find_name(cw_gate_pool(fixture->gate), name), &report,
				 FIXTURE_NOW_MS);
}

/* Guards against a way to a limited server beside the first attempt. */
static void no_retry_escalation_or_resumption_passes_a_limit(void **state)
{
	struct cw_response_head unsure = {.status = 200,
					  .is_signed = 1,
					  .is_event_stream = 1,
					  .confidence = 3,
					  .rate_limit = CW_FIELD_VALID,
					  .rate_limit_per_s = 1};
	struct fixture fixture;

	fixture_open(&fixture);
	fixture_open_call(&fixture, "/read/x");
	limit_server(&fixture, "s1");
	limit_server(&fixture, "s2");
	cw_call_handle_failure(fixture.call, CW_ATTEMPT_CONNECTION_LOST, FIXTURE_NOW_MS + 5,
			       &fixture.step);
	fixture_assert_rejected(&fixture, 502, CW_RUN_UNKNOWN);
	fixture_open_call(&fixture, "/chat/x");
	limit_server(&fixture, "e1");
	limit_server(&fixture, "e2");
	cw_call_handle_head(fixture.call, &unsure, FIXTURE_NOW_MS + 10, &fixture.step);
	assert_int_equal(fixture.step.kind, CW_STEP_FORWARD);
	cw_call_add_event(fixture.call, 1, FIXTURE_NOW_MS + 11);
	cw_call_handle_failure(fixture.call, CW_ATTEMPT_CONNECTION_LOST, FIXTURE_NOW_MS + 15,
			       &fixture.step);
	assert_int_equal(fixture.step.kind, CW_STEP_ABORT);
	fixture_close(&fixture);
}

/* Guards against callers that wait for their deadline while no server admits them. */
static void a_request_to_limited_servers_is_rejected_at_once(void **state)
{
	struct fixture fixture;

	fixture_open(&fixture);
	limit_server(&fixture, "s1");
	limit_server(&fixture, "s2");
	fixture_open_call(&fixture, "/once/x");
	fixture_assert_rejected(&fixture, 503, CW_RUN_NOT_EXECUTED);
	assert_string_equal(fixture.step.reason, "the backend servers limit their requests");
	assert_in_range(fixture.step.retry_after_ms, 1, 800 / 3);
	fixture_close(&fixture);
}

/* Guards against a limit of an earlier start that stays in force after a restart. */
static void a_restarted_server_begins_without_a_limit(void **state)
{
	struct cw_server_entry entry = {.slots = 8, .process_start_ms = 1000};
	struct fixture fixture;
	struct cw_pool *pool;

	fixture_open(&fixture);
	pool = cw_gate_pool(fixture.gate);
	strcpy(entry.name, "s9");
	strcpy(entry.service, "orders");
	strcpy(entry.address, "10.0.0.9:80");
	strcpy(entry.failure_domain, "d1");
	cw_pool_apply_entry(pool, &entry, FIXTURE_NOW_MS);
	limit_server(&fixture, "s9");
	assert_true(cw_pool_is_rate_limited(cw_pool_find_name(pool, "s9")));
	entry.process_start_ms = 2000;
	assert_int_equal(cw_pool_apply_entry(pool, &entry, FIXTURE_NOW_MS + 10),
			 CW_LISTING_RESTARTED);
	assert_false(cw_pool_is_rate_limited(cw_pool_find_name(pool, "s9")));
	fixture_close(&fixture);
}

/* Guards against reports of a server at a reused address, and limits lifted unread. */
static void only_a_readable_report_of_the_server_itself_counts(void **state)
{
	struct cw_response_head head = {.status = 421,
					.is_not_run = 1,
					.is_other_server = 1,
					.rate_limit = CW_FIELD_VALID,
					.rate_limit_per_s = 1};
	struct fixture fixture;
	struct cw_server *server;

	fixture_open(&fixture);
	fixture_open_call(&fixture, "/read/x");
	server = fixture.step.server;
	cw_call_handle_head(fixture.call, &head, FIXTURE_NOW_MS + 5, &fixture.step);
	assert_false(cw_pool_is_rate_limited(server));
	server = fixture.step.server;
	limit_server(&fixture, server->name);
	head = (struct cw_response_head){
		.status = 200, .is_signed = 1, .rate_limit = CW_FIELD_INVALID};
	cw_call_handle_head(fixture.call, &head, FIXTURE_NOW_MS + 10, &fixture.step);
	assert_int_equal(fixture.step.kind, CW_STEP_FORWARD);
	assert_true(cw_pool_is_rate_limited(server));
	fixture_close(&fixture);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(all_instances_together_keep_a_reported_limit),
		cmocka_unit_test(no_retry_escalation_or_resumption_passes_a_limit),
		cmocka_unit_test(a_request_to_limited_servers_is_rejected_at_once),
		cmocka_unit_test(a_restarted_server_begins_without_a_limit),
		cmocka_unit_test(only_a_readable_report_of_the_server_itself_counts),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
