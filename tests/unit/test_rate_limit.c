/* Requests that all instances together send to one server that reports a rate limit. */
#include "cw_gossip_reports.h"
#include "members_bed.h"
#include "unit.h"

#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define NOW	      100000
#define INSTANCES     12
#define SERVER	      77
#define SEEDS	      200
#define STEP_MS	      10
#define RANK_MS	      1000
#define SIMULATION_MS 24000
#define FIRST_MS      4000 /* the server begins to report its limit */
#define CONTACT_MS    3000
#define EXCUSED_MS    3000 /* after a restart or a partition of an instance */
#define CHANGE_MS     1000 /* until all instances know of a lower limit */
#define WINDOW_MS     4000
#define TOLERANCE     1.5
#define BURST	      5

static struct cw_rate_limit_report report(double per_s, int64_t sent_ms, int64_t received_ms)
{
	return (struct cw_rate_limit_report){.is_limited = per_s >= 0,
					     .per_s = MAX(per_s, 0),
					     .sent_ms = sent_ms,
					     .received_ms = received_ms};
}

static int apply(struct cw_rate_limit *limit, double per_s, int64_t sent_ms, int64_t received_ms)
{
	struct cw_rate_limit_report made = report(per_s, sent_ms, received_ms);

	return cw_rate_limit_apply(limit, &made, received_ms);
}

/* Guards against an answer from before the report, which arrives after it and lifts the limit. */
static void an_answer_that_was_overtaken_lifts_no_limit(void **state)
{
	struct cw_rate_limit limit = {0};

	assert_true(apply(&limit, 2, NOW, NOW + 50));
	assert_false(apply(&limit, -1, NOW - 500, NOW + 60));
	assert_false(apply(&limit, 4, NOW - 500, NOW + 60));
	assert_true(cw_rate_limit_is_in_force(&limit));
	assert_true(apply(&limit, 1, NOW - 500, NOW + 70));
	assert_true(apply(&limit, 4, NOW + 80, NOW + 90));
	assert_true(apply(&limit, -1, NOW + 100, NOW + 110));
	assert_false(cw_rate_limit_is_in_force(&limit));
}

/* Guards against a limit that comes back from peers that still know the old one. */
static void an_old_report_of_a_peer_renews_no_lifted_limit(void **state)
{
	struct cw_rate_limit limit = {0};

	assert_true(apply(&limit, 2, NOW, NOW + 50));
	assert_true(apply(&limit, -1, NOW + 60, NOW + 90));
	assert_false(apply(&limit, 2, NOW, NOW + 50));
	assert_false(cw_rate_limit_is_in_force(&limit));
}

static void the_shares_of_all_instances_sum_to_the_limit(void **state)
{
	static const double limits[] = {0.3, 0.6, 1.2, 2.4, 4.8, 9.6, 19.2, 38.4, 76.8, 153.6};

	for (size_t instances = 1; instances < 300; instances++)
		for (size_t i = 0; i < G_N_ELEMENTS(limits); i++) {
			double per_s = limits[i];
			double all = 0;

			for (size_t rank = 0; rank < instances; rank++)
				all += cw_rate_limit_share_per_s(
					per_s, &(struct cw_warmup_place){.rank = rank,
									 .instances = instances});
			assert_true(all > per_s * 0.999 && all < per_s * 1.001);
		}
	assert_true(cw_rate_limit_share_per_s(5, &(struct cw_warmup_place){.instances = 0}) == 0);
}

struct instance {
	struct cw_rate_limit limit;
	struct cw_warmup_place place;
	int64_t told_ms;    /* an answer to this instance reported the limit, 0: none */
	int64_t excused_ms; /* its requests do not count until then */
};

struct request {
	int64_t sent_ms;
	int64_t answer_ms;
	int instance;
	int is_counted;
	int is_answered;
};

struct simulation {
	struct members members;
	struct instance instances[INSTANCES];
	double limits[4]; /* one after the other; negative: none */
	GArray *requests;
	size_t unanswered; /* all before are answered */
};

static double limit_at(const struct simulation *simulation, int64_t now_ms)
{
	int64_t phase = (now_ms - NOW - FIRST_MS) / 5000;

	return now_ms < NOW + FIRST_MS ? -1 : simulation->limits[MIN(phase, 3)];
}

/* The highest limit in the time in which a change becomes known; lifted: no bound. */
static double bound_per_s(const struct simulation *simulation, int64_t now_ms)
{
	double now = limit_at(simulation, now_ms);
	double before = limit_at(simulation, now_ms - CHANGE_MS);

	return now < 0 || before < 0 ? 1000 : MAX(now, before);
}

static void restart(struct simulation *simulation, int which, int64_t now_ms)
{
	struct instance *instance = &simulation->instances[which];

	members_restart(&simulation->members.nodes[which], now_ms);
	memset(instance, 0, sizeof(*instance));
	instance->excused_ms = now_ms + EXCUSED_MS;
}

static void send_requests(struct simulation *simulation, int which, int64_t now_ms)
{
	struct instance *instance = &simulation->instances[which];
	struct request request = {.sent_ms = now_ms, .instance = which};
	uint64_t random = members_random(&simulation->members);

	if ((now_ms - NOW) % RANK_MS == 0) {
		instance->place.rank =
			cw_membership_stable_rank(simulation->members.nodes[which].membership,
						  SERVER, now_ms, &instance->place.instances);
		instance->place.may_be_split = !cw_membership_is_complete(
			simulation->members.nodes[which].membership, now_ms);
	}
	cw_rate_limit_set_place(&instance->limit, &instance->place, now_ms);
	/* Ten requests a second at each instance. */
	if (random % 10 != 0 || cw_rate_limit_wait_ms(&instance->limit, now_ms) > 0)
		return;
	cw_rate_limit_record_send(&instance->limit, now_ms);
	/* One answer of twenty is late, and overtaken by others. */
	request.answer_ms = now_ms + (random >> 8) % 30 + ((random >> 16) % 20 ? 0 : 600);
	request.is_counted = instance->told_ms && now_ms - instance->told_ms >= 500 &&
			     now_ms >= instance->excused_ms;
	g_array_append_val(simulation->requests, request);
}

static void receive_answers(struct simulation *simulation, int64_t now_ms)
{
	for (guint i = (guint)simulation->unanswered; i < simulation->requests->len; i++) {
		struct request *request = &g_array_index(simulation->requests, struct request, i);
		struct instance *instance = &simulation->instances[request->instance];
		double per_s = limit_at(simulation, request->sent_ms);

		if (request->is_answered || request->answer_ms > now_ms)
			continue;
		request->is_answered = 1;
		apply(&instance->limit, per_s, request->sent_ms, now_ms);
		if (per_s >= 0 && !instance->told_ms)
			instance->told_ms = now_ms;
	}
	while (simulation->unanswered < simulation->requests->len &&
	       g_array_index(simulation->requests, struct request, simulation->unanswered)
		       .is_answered)
		simulation->unanswered++;
}

/* Each instance sends the report that it knows to all others that it reaches. */
static void share_reports(struct simulation *simulation, int64_t now_ms)
{
	for (int from = 0; from < INSTANCES; from++)
		for (int to = 0; to < INSTANCES; to++) {
			struct cw_rate_limit *limit = &simulation->instances[to].limit;
			struct cw_rate_limit_report known =
				simulation->instances[from].limit.newest;

			if (from == to || known.received_ms == 0 ||
			    members_is_cut(&simulation->members, from, to))
				continue;
			cw_rate_limit_apply(limit, &known, now_ms);
		}
}

static size_t count_window(const struct simulation *simulation, int64_t now_ms)
{
	size_t count = 0;

	for (guint i = simulation->requests->len; i > 0; i--) {
		const struct request *request =
			&g_array_index(simulation->requests, struct request, i - 1);

		if (request->sent_ms <= now_ms - WINDOW_MS ||
		    request->sent_ms < NOW + FIRST_MS + CONTACT_MS)
			break;
		count += (size_t)request->is_counted;
	}
	return count;
}

static double allowed_in_window(const struct simulation *simulation, int64_t now_ms)
{
	double allowed = BURST;

	for (int64_t at_ms = now_ms - WINDOW_MS; at_ms < now_ms; at_ms += STEP_MS)
		allowed += TOLERANCE * bound_per_s(simulation, at_ms) * STEP_MS / 1000;
	return allowed;
}

static void run_simulation(uint64_t seed)
{
	static const double limits[] = {-1, 0, 0.4, 1.3, 2.3, 6, 20};
	struct simulation simulation = {.requests =
						g_array_new(FALSE, FALSE, sizeof(struct request))};
	int64_t partition_ms;
	int64_t heal_ms;

	members_open(&simulation.members, INSTANCES, seed);
	for (size_t i = 0; i < G_N_ELEMENTS(simulation.limits); i++)
		simulation.limits[i] =
			limits[members_random(&simulation.members) % G_N_ELEMENTS(limits)];
	partition_ms = NOW + 6000 + (int64_t)(members_random(&simulation.members) % 8000);
	heal_ms = partition_ms + 500 + (int64_t)(members_random(&simulation.members) % 6000);
	for (int i = 0; i < INSTANCES; i++) {
		simulation.members.nodes[i].side = seed % 2 && i % 4 == 0;
		restart(&simulation, i, NOW);
	}
	for (int64_t now_ms = NOW; now_ms < NOW + SIMULATION_MS; now_ms += STEP_MS) {
		simulation.members.is_partitioned = now_ms >= partition_ms && now_ms < heal_ms;
		if ((now_ms - NOW) % MEMBERS_GOSSIP_MS == 0) {
			members_gossip(&simulation.members, now_ms);
			share_reports(&simulation, now_ms);
		}
		if (members_random(&simulation.members) % 400 == 0)
			restart(&simulation, (int)(members_random(&simulation.members) % INSTANCES),
				now_ms);
		receive_answers(&simulation, now_ms);
		for (int i = 0; i < INSTANCES; i++) {
			if (simulation.members.is_partitioned && simulation.members.nodes[i].side)
				simulation.instances[i].excused_ms = now_ms + EXCUSED_MS;
			send_requests(&simulation, i, now_ms);
		}
		if (now_ms < NOW + FIRST_MS + CONTACT_MS)
			continue;
		if ((double)count_window(&simulation, now_ms) >
		    allowed_in_window(&simulation, now_ms))
			fail_msg("seed %lu at %ld ms: %zu sent in 4 s, %.1f allowed",
				 (unsigned long)seed, (long)(now_ms - NOW),
				 count_window(&simulation, now_ms),
				 allowed_in_window(&simulation, now_ms));
	}
	g_array_free(simulation.requests, TRUE);
	members_close(&simulation.members);
}

/* Restarts, a partition, limits that rise, fall and are lifted, answers that overtake others. */
static void all_instances_together_keep_a_changing_limit(void **state)
{
	for (uint64_t seed = 1; seed <= SEEDS; seed++)
		run_simulation(seed);
}

/* Of two reports: what follows the part that earlier builds send. */
#define BRITTLENESS_BYTES (2 * (3 * sizeof(uint32_t) + sizeof(double)))

static void reports_are_decoded_as_they_were_encoded(void **state)
{
	struct cw_gossip_reports sent = {.sender = "n1", .count = 2};
	struct cw_gossip_reports read;
	struct cw_rate_limit_report known;
	struct cw_brittle_report brittle;
	char bytes[4096];
	size_t size;

	sent.reports[0] = (struct cw_gossip_report){.server = 7,
						    .is_limited = 1,
						    .per_s = 2.5,
						    .sent_ms = 90,
						    .received_ms = 40,
						    .is_brittle = 1,
						    .tolerated_per_s = 4,
						    .brittle_sent_ms = 80,
						    .brittle_received_ms = 30};
	sent.reports[1] = (struct cw_gossip_report){
		.server = 8, .is_leaving = 1, .sent_ms = 9, .received_ms = 4};
	size = cw_gossip_encode_reports(&sent, bytes, sizeof(bytes));
	assert_int_equal(cw_gossip_decode_reports(bytes, size, &read), CW_OK);
	assert_string_equal(read.sender, "n1");
	assert_int_equal(read.count, 2);
	assert_false(read.reports[0].is_leaving);
	assert_true(read.reports[1].is_leaving);
	cw_gossip_read_report(&read.reports[0], &known, NOW);
	assert_true(known.is_limited && known.per_s == 2.5);
	assert_int_equal(known.sent_ms, NOW - 90);
	assert_int_equal(known.received_ms, NOW - 40);
	cw_gossip_read_report(&read.reports[1], &known, NOW);
	assert_false(known.is_limited);
	cw_gossip_read_brittle(&read.reports[0], &brittle, NOW);
	assert_true(brittle.is_brittle && brittle.tolerated_per_s == 4);
	assert_int_equal(brittle.sent_ms, NOW - 80);
	assert_int_equal(brittle.received_ms, NOW - 30);
	for (size_t length = 0; length < size; length++)
		if (length != size - BRITTLENESS_BYTES)
			assert_int_equal(cw_gossip_decode_reports(bytes, length, &read),
					 CW_INVALID);
	/* A message of an earlier build ends there. */
	assert_int_equal(cw_gossip_decode_reports(bytes, size - BRITTLENESS_BYTES, &read), CW_OK);
	cw_gossip_read_brittle(&read.reports[0], &brittle, NOW);
	assert_false(brittle.is_brittle || brittle.received_ms);
	sent.reports[0].per_s = -1;
	size = cw_gossip_encode_reports(&sent, bytes, sizeof(bytes));
	assert_int_equal(size, 0);
}

/* Guards against a limit that differs from itself once a peer has announced it. */
static void an_announced_limit_equals_the_reported_one(void **state)
{
	struct cw_gossip_reports sent = {.sender = "n1", .count = 1};
	struct cw_gossip_reports read;
	struct cw_rate_limit limit = {0};
	struct cw_rate_limit_report known;
	char bytes[4096];
	size_t size;

	assert_true(apply(&limit, 2.3, NOW - 90, NOW - 40));
	sent.reports[0] = (struct cw_gossip_report){
		.is_limited = 1, .per_s = 2.3, .sent_ms = 50, .received_ms = 10};
	size = cw_gossip_encode_reports(&sent, bytes, sizeof(bytes));
	assert_int_equal(cw_gossip_decode_reports(bytes, size, &read), CW_OK);
	cw_gossip_read_report(&read.reports[0], &known, NOW);
	assert_false(cw_rate_limit_apply(&limit, &known, NOW));
}

static void add_server(struct cw_pool *pool, int number)
{
	struct cw_server_entry entry = {.slots = 8};

	snprintf(entry.name, sizeof(entry.name), "s%d", number);
	strcpy(entry.service, "llm");
	strcpy(entry.address, "10.0.0.1:80");
	strcpy(entry.failure_domain, "d1");
	cw_pool_apply_entry(pool, &entry, NOW);
}

/* Guards against servers that no message ever names, and against a rest that is announced. */
static void messages_name_all_reporting_servers_in_turn(void **state)
{
	struct cw_pool *pool = cw_pool_create(&cw_choice_cost);
	struct cw_rate_limit_report limited = report(2, NOW, NOW);
	int is_named[100] = {0};
	struct cw_server *server;

	for (int i = 0; i < 100; i++)
		add_server(pool, i);
	TAILQ_FOREACH(server, cw_pool_servers(pool), link) {
		cw_pool_request_rest(server, 3000, NOW);
		if ((int)strtol(server->name + 1, NULL, 10) % 2)
			cw_pool_apply_rate_limit(server, &limited, NOW);
	}
	for (uint64_t random = 0; random < 50; random++) {
		struct cw_gossip_reports message;

		cw_gossip_fill_reports(&message, "n1", pool, random, NOW);
		assert_int_equal(message.count, CW_GOSSIP_REPORTS);
		for (size_t i = 0; i < message.count; i++) {
			server = cw_pool_find(pool, message.reports[i].server);
			is_named[(int)strtol(server->name + 1, NULL, 10)]++;
		}
	}
	for (int i = 0; i < 100; i++)
		assert_int_equal(is_named[i], i % 2 ? CW_GOSSIP_REPORTS : 0);
	cw_pool_destroy(pool);
}

/* Guards against a peer that was cut off and still announces a limit that was lifted since. */
static void a_lifted_limit_is_remembered_longer_than_it_is_announced(void **state)
{
	struct cw_pool *pool = cw_pool_create(&cw_choice_cost);
	struct cw_rate_limit_report limited = report(2, NOW, NOW + 10);
	struct cw_rate_limit_report lifted = report(-1, NOW + 20, NOW + 30);
	struct cw_server *server;

	add_server(pool, 1);
	server = cw_pool_find_name(pool, "s1");
	assert_true(cw_pool_apply_rate_limit(server, &limited, NOW + 10));
	assert_true(cw_pool_apply_rate_limit(server, &lifted, NOW + 30));
	cw_pool_sweep(pool, NOW + 20000);
	assert_false(cw_pool_apply_rate_limit(server, &limited, NOW + 20000));
	assert_false(cw_pool_is_rate_limited(server));
	cw_pool_sweep(pool, NOW + 100000);
	assert_null(server->reports);
	cw_pool_destroy(pool);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(an_answer_that_was_overtaken_lifts_no_limit),
		cmocka_unit_test(an_old_report_of_a_peer_renews_no_lifted_limit),
		cmocka_unit_test(the_shares_of_all_instances_sum_to_the_limit),
		cmocka_unit_test(all_instances_together_keep_a_changing_limit),
		cmocka_unit_test(reports_are_decoded_as_they_were_encoded),
		cmocka_unit_test(an_announced_limit_equals_the_reported_one),
		cmocka_unit_test(messages_name_all_reporting_servers_in_turn),
		cmocka_unit_test(a_lifted_limit_is_remembered_longer_than_it_is_announced),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
