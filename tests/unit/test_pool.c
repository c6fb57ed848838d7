#include "unit.h"

#include "cw_pool.h"

#include <stdio.h>
#include <stdlib.h>

static struct cw_server *add(struct cw_pool *pool, int number, const char *domain)
{
	char name[16];

	snprintf(name, sizeof(name), "s%d", number);
	return cw_pool_add(pool, name, "llm", "127.0.0.1:1", domain, 1);
}

static void load_reports_are_corrected_by_own_requests_since_sampling(void **state)
{
	static const char *const none[] = {NULL};
	struct cw_pool *pool = cw_pool_create(&cw_choice_two);
	struct cw_server *server = add(pool, 1, "d1");
	struct cw_load load = {
		.running = 3, .queued = 1, .slots = 8, .age_ms = 200, .versions = none};
	struct cw_load older = {.running = 9, .slots = 8, .age_ms = 900, .versions = none};

	cw_pool_record_dispatch(server, 700);
	cw_pool_record_dispatch(server, 900);
	cw_pool_apply_report(server, &load, 1000);
	assert_true(cw_pool_load(server, 1000) == 5);
	cw_pool_record_end(server, 1050, 100);
	assert_true(cw_pool_load(server, 1060) == 4);
	cw_pool_apply_report(server, &older, 1100);
	assert_true(cw_pool_load(server, 1100) == 4);
	assert_false(cw_pool_serves(server, cw_pool_version_hash("m", "1")));
	cw_pool_destroy(pool);
}

static void an_open_breaker_admits_one_trial_request_after_backoff(void **state)
{
	struct cw_pool *pool = cw_pool_create(&cw_choice_two);
	struct cw_server *server = add(pool, 1, "d1");
	struct cw_choice choice = {.service = "llm", .failure_domain = "d1", .now_ms = 1000};

	for (int i = 0; i < 3; i++) {
		assert_ptr_equal(cw_pool_choose(pool, &choice), server);
		cw_pool_record_dispatch(server, 1000);
		cw_pool_record_end(server, 1000, -1);
		cw_pool_record_failure(server, 1000, 0);
	}
	assert_null(cw_pool_choose(pool, &choice));
	choice.now_ms = 2000;
	assert_ptr_equal(cw_pool_choose(pool, &choice), server);
	cw_pool_record_dispatch(server, 2000);
	assert_null(cw_pool_choose(pool, &choice));
	cw_pool_record_failure(server, 2000, 0);
	assert_null(cw_pool_choose(pool, &choice));
	choice.now_ms = 4000;
	cw_pool_record_dispatch(server, 4000);
	cw_pool_record_success(server, 4000);
	assert_ptr_equal(cw_pool_choose(pool, &choice), server);
	cw_pool_destroy(pool);
}

static void a_prefix_keeps_its_affinity_server_within_the_load_bound(void **state)
{
	struct cw_pool *pool = cw_pool_create(&cw_choice_affinity);
	struct cw_choice choice = {
		.service = "llm", .prefix = 99, .failure_domain = "d1", .now_ms = 1000};
	struct cw_server *affinity_server;

	for (int i = 0; i < 4; i++)
		add(pool, i, "d1");
	affinity_server = cw_pool_choose(pool, &choice);
	for (uint64_t i = 0; i < 20; i++) {
		choice.random = i * 0x9e3779b97f4a7c15ULL;
		assert_ptr_equal(cw_pool_choose(pool, &choice), affinity_server);
	}
	for (int i = 0; i < 6; i++)
		cw_pool_record_dispatch(affinity_server, 1000);
	assert_ptr_not_equal(cw_pool_choose(pool, &choice), affinity_server);
	cw_pool_destroy(pool);
}

static void requests_leave_their_domain_only_for_a_shorter_wait(void **state)
{
	struct cw_pool *pool = cw_pool_create(&cw_choice_affinity);
	struct cw_server *local = add(pool, 1, "d1");
	struct cw_server *remote = add(pool, 2, "d2");
	struct cw_choice choice = {.service = "llm", .failure_domain = "d1", .now_ms = 1000};

	assert_ptr_equal(cw_pool_choose(pool, &choice), local);
	for (int i = 0; i < 20; i++)
		cw_pool_record_dispatch(local, 1000);
	assert_ptr_equal(cw_pool_choose(pool, &choice), remote);
	local->is_leaving = 1;
	remote->is_leaving = 1;
	assert_null(cw_pool_choose(pool, &choice));
	cw_pool_destroy(pool);
}

static void few_servers_are_tracked_and_every_local_one_by_some_instance(void **state)
{
	int users[400] = {0};

	for (uint64_t owner = 1; owner <= 100; owner++) {
		struct cw_pool *pool = cw_pool_create(&cw_choice_two);
		const struct cw_server *server;
		int tracked_count = 0;
		int own = 0;

		for (int i = 0; i < 400; i++)
			add(pool, i, i % 4 ? "far" : "near");
		cw_pool_select_tracked(pool, owner * 7919, "near");
		TAILQ_FOREACH(server, cw_pool_servers(pool), link) {
			tracked_count += server->is_tracked;
			own += server->is_tracked && server->failure_domain[0] == 'n';
			/* NOLINTNEXTLINE(cert-err34-c) */
			users[atoi(server->name + 1)] += server->is_tracked;
		}
		assert_int_equal(tracked_count, CW_TRACKED_SERVERS);
		assert_true(own > tracked_count / 2);
		cw_pool_destroy(pool);
	}
	/* Servers of the other failure domain are left to the instances there. */
	for (int i = 0; i < 400; i += 4)
		assert_true(users[i] > 0);
}

/*
 * Guards against a backlog that counts each prompt in full until its answer begins: with three
 * prompts of 600 ms, processed one after another, a server looked 1.7 s late for 2 s and got no
 * requests.
 */
static void a_backlog_falls_while_prompts_are_processed(void **state)
{
	struct cw_pool *pool = cw_pool_create(&cw_choice_cost);
	struct cw_server *server = add(pool, 1, "d1");

	for (int i = 0; i < 3; i++)
		cw_pool_begin_work(server, 600, 100, 1000);
	assert_true(cw_pool_own_work_ms(server, 1000) == 1800);
	assert_true(cw_pool_own_work_ms(server, 1900) == 900);
	/* A server may be slower than predicted, so part of unanswered work always counts. */
	assert_true(cw_pool_own_work_ms(server, 9000) == 450);
	cw_pool_end_work(server, 600);
	assert_true(cw_pool_own_work_ms(server, 9000) == 300);
	cw_pool_end_work(server, 600);
	cw_pool_end_work(server, 600);
	assert_true(cw_pool_own_work_ms(server, 9000) == 0);
	cw_pool_destroy(pool);
}

/*
 * Guards against a new version that is never tested on a full server, because its share of the
 * requests is spread over all of its servers by least cost.
 */
static void a_load_trial_fills_one_server_before_the_next(void **state)
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
		cw_pool_record_dispatch(first, 1000);
	}
	/* At fill_part of its slots, so before the server is full, others are chosen. */
	assert_ptr_not_equal(cw_pool_choose(pool, &choice), first);
	cw_pool_record_end(first, 1100, 100);
	choice.now_ms = 1100;
	assert_ptr_equal(cw_pool_choose(pool, &choice), first);
	/* A server with a queue is not filled further. */
	cw_pool_begin_work(first, 900, 100, 1100);
	assert_ptr_not_equal(cw_pool_choose(pool, &choice), first);
	cw_pool_destroy(pool);
}

static void a_crash_counts_once_however_many_requests_it_breaks(void **state)
{
	struct cw_pool *pool = cw_pool_create(&cw_choice_cost);
	struct cw_server *server = add(pool, 1, "d1");
	int counted = 0;

	for (int i = 0; i < 55; i++)
		counted += cw_pool_record_crash(server, 1000 + i);
	assert_int_equal(counted, 1);
	assert_int_equal(cw_pool_record_crash(server, 2100), 1);
	cw_pool_destroy(pool);
}

static enum cw_listing list_entry(struct cw_pool *pool, int64_t process_start_ms, int leaving,
				  int64_t now_ms)
{
	struct cw_server_entry entry = {.name = "s1",
					.service = "llm",
					.address = "10.0.0.1:80",
					.failure_domain = "d1",
					.software = "v1",
					.slots = 64,
					.process_start_ms = process_start_ms,
					.is_leaving = leaving};

	return cw_pool_apply_entry(pool, &entry, now_ms);
}

/*
 * Guards against state that survives a restart. A server crashed behind a network partition and
 * restarted under its name before its entry expired. The breaker, load, prompts and requests of the
 * earlier start still counted, so the idle server got no requests for 15 s, and streams waited for
 * the earlier start until their callers gave up.
 */
static void a_restarted_server_inherits_no_state(void **state)
{
	struct cw_pool *pool = cw_pool_create(&cw_choice_cost);
	struct cw_load full = {.running = 60, .queued = 9, .slots = 64};
	struct cw_server *first;
	struct cw_server *second;

	assert_int_equal(list_entry(pool, 5000, 0, 1000), CW_LISTING_NEW);
	first = cw_pool_find_name(pool, "s1");
	cw_pool_record_dispatch(first, 1100);
	cw_pool_begin_work(first, 900, 100, 1100);
	cw_pool_apply_report(first, &full, 1200);
	cw_pool_record_outcome(first, 1, 9, 1200);
	for (int i = 0; i < 3; i++)
		cw_pool_record_failure(first, 1200, 7);
	cw_pool_mark_unreachable(first);
	first->peers_work_ms = 400;
	first->peers_ms = 1200;
	assert_false(cw_pool_is_usable(first, 1300));

	assert_int_equal(list_entry(pool, 7000, 0, 1300), CW_LISTING_RESTARTED);
	second = cw_pool_find_name(pool, "s1");
	assert_ptr_not_equal(second, first);
	assert_int_not_equal(second->id, first->id);
	assert_true(first->is_superseded);
	assert_false(second->is_superseded);
	assert_true(cw_pool_is_usable(second, 1300));
	assert_true(cw_pool_load(second, 1300) == 0);
	assert_true(cw_pool_backlog_ms(second, 100, 1300) == 0);
	assert_true(cw_pool_failure_rate(second, 1300) == 0);
	assert_true(cw_pool_slowness(second, 1300) == 1);
	assert_false(cw_pool_needs_probe(second, 1300));
	/* The running request ends on the earlier start, which is then freed. */
	cw_pool_sweep(pool, 1400);
	assert_ptr_equal(cw_pool_find(pool, first->id), first);
	cw_pool_end_work(first, 900);
	cw_pool_record_end(first, 1400, -1);
	cw_pool_sweep(pool, 1500);
	assert_ptr_equal(TAILQ_FIRST(cw_pool_servers(pool)), second);
	assert_null(TAILQ_NEXT(second, link));
	assert_ptr_equal(cw_pool_find_name(pool, "s1"), second);
	assert_int_equal(second->own_running, 0);
	cw_pool_destroy(pool);
}

/*
 * Guards against applying entries in order of arrival: the entry "leaving" of an earlier start
 * arrived after the entry of the new start, and the server got no requests.
 */
static void a_late_entry_of_an_earlier_start_is_ignored(void **state)
{
	struct cw_pool *pool = cw_pool_create(&cw_choice_cost);
	struct cw_server *server;

	list_entry(pool, 7000, 0, 1000);
	server = cw_pool_find_name(pool, "s1");
	assert_int_equal(list_entry(pool, 5000, 1, 2000), CW_LISTING_STALE);
	assert_ptr_equal(cw_pool_find_name(pool, "s1"), server);
	assert_false(server->is_leaving);
	/* The late entry keeps the server listed, although a newer entry is known. */
	cw_pool_delist_unlisted(pool, 1500, 2000, 2000);
	cw_pool_sweep(pool, 2100);
	assert_false(server->is_removed);
	/* Entries of the same start, or without start times, are applied in order of arrival. */
	assert_int_equal(list_entry(pool, 7000, 1, 2200), CW_LISTING_CHANGED);
	assert_true(server->is_leaving);
	assert_int_equal(list_entry(pool, 7000, 1, 2300), CW_LISTING_SAME);
	cw_pool_destroy(pool);
	pool = cw_pool_create(&cw_choice_cost);
	assert_int_equal(list_entry(pool, 0, 0, 1000), CW_LISTING_NEW);
	assert_int_equal(list_entry(pool, 0, 1, 1100), CW_LISTING_CHANGED);
	assert_int_equal(list_entry(pool, 0, 0, 1200), CW_LISTING_CHANGED);
	cw_pool_destroy(pool);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(a_restarted_server_inherits_no_state),
		cmocka_unit_test(a_late_entry_of_an_earlier_start_is_ignored),
		cmocka_unit_test(load_reports_are_corrected_by_own_requests_since_sampling),
		cmocka_unit_test(an_open_breaker_admits_one_trial_request_after_backoff),
		cmocka_unit_test(a_prefix_keeps_its_affinity_server_within_the_load_bound),
		cmocka_unit_test(requests_leave_their_domain_only_for_a_shorter_wait),
		cmocka_unit_test(a_backlog_falls_while_prompts_are_processed),
		cmocka_unit_test(a_load_trial_fills_one_server_before_the_next),
		cmocka_unit_test(a_crash_counts_once_however_many_requests_it_breaks),
		cmocka_unit_test(few_servers_are_tracked_and_every_local_one_by_some_instance),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
