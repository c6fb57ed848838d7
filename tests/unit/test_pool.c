#include "unit.h"

#include "cw_pool.h"

#include <stdio.h>
#include <stdlib.h>

static struct cw_server *add(struct cw_pool *pool, int number, const char *domain)
{
	char name[16];

	snprintf(name, sizeof(name), "s%d", number);
	return cw_pool_learn(pool, name, "llm", "127.0.0.1:1", domain, 1);
}

static void a_report_is_corrected_by_what_was_sent_since(void **state)
{
	static const char *const none[] = {NULL};
	struct cw_pool *pool = cw_pool_create(&cw_choice_two);
	struct cw_server *server = add(pool, 1, "d1");
	struct cw_load load = {
		.running = 3, .queued = 1, .slots = 8, .age_ms = 200, .versions = none};
	struct cw_load older = {.running = 9, .slots = 8, .age_ms = 900, .versions = none};

	cw_pool_dispatched(server, 700);
	cw_pool_dispatched(server, 900);
	cw_pool_reported(server, &load, 1000);
	assert_true(cw_pool_load(server, 1000) == 5);
	cw_pool_ended(server, 1050, 100);
	assert_true(cw_pool_load(server, 1060) == 4);
	cw_pool_reported(server, &older, 1100);
	assert_true(cw_pool_load(server, 1100) == 4);
	assert_false(cw_pool_serves(server, cw_pool_version("m", "1")));
	cw_pool_destroy(pool);
}

static void the_breaker_opens_and_lets_one_probe_through(void **state)
{
	struct cw_pool *pool = cw_pool_create(&cw_choice_two);
	struct cw_server *server = add(pool, 1, "d1");
	struct cw_choice choice = {.service = "llm", .failure_domain = "d1", .now_ms = 1000};

	for (int i = 0; i < 3; i++) {
		assert_ptr_equal(cw_pool_choose(pool, &choice), server);
		cw_pool_dispatched(server, 1000);
		cw_pool_ended(server, 1000, -1);
		cw_pool_failed(server, 1000, 0);
	}
	assert_null(cw_pool_choose(pool, &choice));
	choice.now_ms = 2000;
	assert_ptr_equal(cw_pool_choose(pool, &choice), server);
	cw_pool_dispatched(server, 2000);
	assert_null(cw_pool_choose(pool, &choice));
	cw_pool_failed(server, 2000, 0);
	assert_null(cw_pool_choose(pool, &choice));
	choice.now_ms = 4000;
	cw_pool_dispatched(server, 4000);
	cw_pool_succeeded(server, 4000);
	assert_ptr_equal(cw_pool_choose(pool, &choice), server);
	cw_pool_destroy(pool);
}

static void a_prefix_stays_until_its_server_is_full(void **state)
{
	struct cw_pool *pool = cw_pool_create(&cw_choice_affinity);
	struct cw_choice choice = {
		.service = "llm", .prefix = 99, .failure_domain = "d1", .now_ms = 1000};
	struct cw_server *home;

	for (int i = 0; i < 4; i++)
		add(pool, i, "d1");
	home = cw_pool_choose(pool, &choice);
	for (uint64_t i = 0; i < 20; i++) {
		choice.random = i * 0x9e3779b97f4a7c15ULL;
		assert_ptr_equal(cw_pool_choose(pool, &choice), home);
	}
	for (int i = 0; i < 6; i++)
		cw_pool_dispatched(home, 1000);
	assert_ptr_not_equal(cw_pool_choose(pool, &choice), home);
	cw_pool_destroy(pool);
}

static void another_domain_only_when_it_is_sooner(void **state)
{
	struct cw_pool *pool = cw_pool_create(&cw_choice_affinity);
	struct cw_server *near = add(pool, 1, "d1");
	struct cw_server *far = add(pool, 2, "d2");
	struct cw_choice choice = {.service = "llm", .failure_domain = "d1", .now_ms = 1000};

	assert_ptr_equal(cw_pool_choose(pool, &choice), near);
	for (int i = 0; i < 20; i++)
		cw_pool_dispatched(near, 1000);
	assert_ptr_equal(cw_pool_choose(pool, &choice), far);
	near->leaving = 1;
	far->leaving = 1;
	assert_null(cw_pool_choose(pool, &choice));
	cw_pool_destroy(pool);
}

static void of_many_servers_a_few_are_used_and_no_near_one_by_nobody(void **state)
{
	int used[400] = {0};

	for (uint64_t owner = 1; owner <= 100; owner++) {
		struct cw_pool *pool = cw_pool_create(&cw_choice_two);
		const struct cw_server *server;
		int tracked = 0;
		int own = 0;

		for (int i = 0; i < 400; i++)
			add(pool, i, i % 4 ? "far" : "near");
		cw_pool_track(pool, owner * 7919, "near");
		TAILQ_FOREACH(server, cw_pool_servers(pool), link) {
			tracked += server->tracked;
			own += server->tracked && server->failure_domain[0] == 'n';
			used[atoi(server->name + 1)] += server->tracked; /* NOLINT(cert-err34-c) */
		}
		assert_int_equal(tracked, CW_TRACKED_SERVERS);
		assert_true(own > tracked / 2);
		cw_pool_destroy(pool);
	}
	/* The far ones are their own domain's instances' to use. */
	for (int i = 0; i < 400; i += 4)
		assert_true(used[i] > 0);
}

/*
 * Symptom: a server with three requests looked 1.7 s late for 2 s, and got none.
 * Sequence: three prompts of 600 ms, read one after another.
 * Cause: each counted whole until its answer began.
 */
static void a_backlog_falls_while_prompts_are_read(void **state)
{
	struct cw_pool *pool = cw_pool_create(&cw_choice_cost);
	struct cw_server *server = add(pool, 1, "d1");

	for (int i = 0; i < 3; i++)
		cw_pool_work_begin(server, 600, 100, 1000);
	assert_true(cw_pool_own_work_ms(server, 1000) == 1800);
	assert_true(cw_pool_own_work_ms(server, 1900) == 900);
	/* A server may be slower than predicted: what it has not answered is not forgotten. */
	assert_true(cw_pool_own_work_ms(server, 9000) == 450);
	cw_pool_work_end(server, 600);
	assert_true(cw_pool_own_work_ms(server, 9000) == 300);
	cw_pool_work_end(server, 600);
	cw_pool_work_end(server, 600);
	assert_true(cw_pool_own_work_ms(server, 9000) == 0);
	cw_pool_destroy(pool);
}

/*
 * Symptom: a new version was never tried on a full server.
 * Sequence: its requests are spread over its servers, each by the least cost.
 * Cause: nothing ever filled one of them.
 */
static void a_trial_fills_one_server_before_the_next(void **state)
{
	struct cw_pool *pool = cw_pool_create(&cw_choice_cost);
	struct cw_choice choice = {
		.service = "llm", .failure_domain = "d1", .fill_part = 0.7, .now_ms = 1000};
	struct cw_server *first;

	for (int i = 0; i < 4; i++)
		add(pool, i, "d1")->slots = 8;
	first = cw_pool_choose(pool, &choice);
	for (int i = 0; i < 6; i++) {
		assert_ptr_equal(cw_pool_choose(pool, &choice), first);
		cw_pool_dispatched(first, 1000);
	}
	/* Past half of its slots, and not yet full: the others take over. */
	assert_ptr_not_equal(cw_pool_choose(pool, &choice), first);
	cw_pool_ended(first, 1100, 100);
	choice.now_ms = 1100;
	assert_ptr_equal(cw_pool_choose(pool, &choice), first);
	/* Nor in time of a queue. */
	cw_pool_work_begin(first, 900, 100, 1100);
	assert_ptr_not_equal(cw_pool_choose(pool, &choice), first);
	cw_pool_destroy(pool);
}

static void a_crash_is_one_fault_however_many_requests_it_breaks(void **state)
{
	struct cw_pool *pool = cw_pool_create(&cw_choice_cost);
	struct cw_server *server = add(pool, 1, "d1");
	int counted = 0;

	for (int i = 0; i < 55; i++)
		counted += cw_pool_broke(server, 1000 + i);
	assert_int_equal(counted, 1);
	assert_int_equal(cw_pool_broke(server, 2100), 1);
	cw_pool_destroy(pool);
}

static enum cw_listing list(struct cw_pool *pool, int64_t born_ms, int leaving, int64_t now_ms)
{
	struct cw_server_entry entry = {.name = "s1",
					.service = "llm",
					.address = "10.0.0.1:80",
					.failure_domain = "d1",
					.software = "v1",
					.slots = 64,
					.born_ms = born_ms,
					.leaving = leaving};

	return cw_pool_list(pool, &entry, now_ms);
}

/*
 * Symptom: an idle server got no requests for 15 s after its restart, and streams waited there
 * until their callers gave up.
 * Sequence: it crashes behind a cut and starts again under its name before its entry lapses.
 * Cause: the start before lived on in its breaker, its load, its prompts and its requests.
 */
static void a_server_that_starts_again_is_known_for_nothing_before(void **state)
{
	struct cw_pool *pool = cw_pool_create(&cw_choice_cost);
	struct cw_load full = {.running = 60, .queued = 9, .slots = 64};
	struct cw_server *first;
	struct cw_server *second;

	assert_int_equal(list(pool, 5000, 0, 1000), CW_LISTING_NEW);
	first = cw_pool_find_name(pool, "s1");
	cw_pool_dispatched(first, 1100);
	cw_pool_work_begin(first, 900, 100, 1100);
	cw_pool_reported(first, &full, 1200);
	cw_pool_judged(first, 1, 9, 1200);
	for (int i = 0; i < 3; i++)
		cw_pool_failed(first, 1200, 7);
	cw_pool_unheard(first);
	first->peers_work_ms = 400;
	first->peers_ms = 1200;
	assert_false(cw_pool_is_usable(first, 1300));

	assert_int_equal(list(pool, 7000, 0, 1300), CW_LISTING_RESTARTED);
	second = cw_pool_find_name(pool, "s1");
	assert_ptr_not_equal(second, first);
	assert_int_not_equal(second->id, first->id);
	assert_true(first->has_ended);
	assert_false(second->has_ended);
	assert_true(cw_pool_is_usable(second, 1300));
	assert_true(cw_pool_load(second, 1300) == 0);
	assert_true(cw_pool_backlog_ms(second, 100, 1300) == 0);
	assert_true(cw_pool_failure_rate(second, 1300) == 0);
	assert_true(cw_pool_slowness(second, 1300) == 1);
	assert_false(cw_pool_wants_probe(second, 1300));
	/* The request under way ends at the start that had it, which is then forgotten. */
	cw_pool_sweep(pool, 1400);
	assert_ptr_equal(cw_pool_find(pool, first->id), first);
	cw_pool_work_end(first, 900);
	cw_pool_ended(first, 1400, -1);
	cw_pool_sweep(pool, 1500);
	assert_ptr_equal(TAILQ_FIRST(cw_pool_servers(pool)), second);
	assert_null(TAILQ_NEXT(second, link));
	assert_ptr_equal(cw_pool_find_name(pool, "s1"), second);
	assert_int_equal(second->own_running, 0);
	cw_pool_destroy(pool);
}

/*
 * Symptom: a server that had just started got no requests.
 * Sequence: the entry "leaving" that its earlier start wrote arrives after the new start's entry.
 * Cause: whichever entry came last was believed.
 */
static void a_late_entry_of_an_earlier_start_changes_nothing(void **state)
{
	struct cw_pool *pool = cw_pool_create(&cw_choice_cost);
	struct cw_server *server;

	list(pool, 7000, 0, 1000);
	server = cw_pool_find_name(pool, "s1");
	assert_int_equal(list(pool, 5000, 1, 2000), CW_LISTING_LATE);
	assert_ptr_equal(cw_pool_find_name(pool, "s1"), server);
	assert_false(server->leaving);
	/* Nor does it take the server from the list, though its own entry isn't the newest. */
	cw_pool_keep_listed(pool, 1500, 2000, 2000);
	cw_pool_sweep(pool, 2100);
	assert_false(server->gone);
	/* Of a deployment whose servers don't tell when they started, entries count as they come.
	 */
	assert_int_equal(list(pool, 7000, 1, 2200), CW_LISTING_CHANGED);
	assert_true(server->leaving);
	assert_int_equal(list(pool, 7000, 1, 2300), CW_LISTING_SAME);
	cw_pool_destroy(pool);
	pool = cw_pool_create(&cw_choice_cost);
	assert_int_equal(list(pool, 0, 0, 1000), CW_LISTING_NEW);
	assert_int_equal(list(pool, 0, 1, 1100), CW_LISTING_CHANGED);
	assert_int_equal(list(pool, 0, 0, 1200), CW_LISTING_CHANGED);
	cw_pool_destroy(pool);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(a_server_that_starts_again_is_known_for_nothing_before),
		cmocka_unit_test(a_late_entry_of_an_earlier_start_changes_nothing),
		cmocka_unit_test(a_report_is_corrected_by_what_was_sent_since),
		cmocka_unit_test(the_breaker_opens_and_lets_one_probe_through),
		cmocka_unit_test(a_prefix_stays_until_its_server_is_full),
		cmocka_unit_test(another_domain_only_when_it_is_sooner),
		cmocka_unit_test(a_backlog_falls_while_prompts_are_read),
		cmocka_unit_test(a_trial_fills_one_server_before_the_next),
		cmocka_unit_test(a_crash_is_one_fault_however_many_requests_it_breaks),
		cmocka_unit_test(of_many_servers_a_few_are_used_and_no_near_one_by_nobody),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
