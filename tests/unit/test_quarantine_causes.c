/*
 * Random simulations of three instances in virtual time, with several causes of crashes at once:
 * two poison requests, crashes that no request causes, and an instance behind a network partition.
 */
#include "quarantine_bed.h"

#include <glib.h>
#include <string.h>

#define SEEDS		     200
#define INSTANCES	     3
#define SERVERS_MAX	     24
#define SERVERS_MIN	     4
#define CONCURRENT_RUNS_MAX  512
#define STEP_MS		     100
#define DURATION_MS	     40000
#define DOWN_MS		     2000 /* outage of a crashed server */
#define POISON_RUN_STEPS_MAX 5	  /* until a poison request crashes its server */
#define POISON_INTERVAL_STEPS_MAX                                                                  \
	5		     /* mean interval between sends of a poison request by one instance */
#define ANSWER_STEPS_MAX   6 /* of a harmless run */
#define PARTITION_FROM_MS  10000 /* the last instance is partitioned from the others */
#define PARTITION_UNTIL_MS 15000
#define PROPAGATION_MS                                                                             \
	4000 /* after the third crash, until all connected instances know of the poison request */
#define LATE_SENDS_MAX		   3	/* sends of a poison request after that */
#define SERVED_SHARE_MIN	   0.99 /* of the harmless requests */
#define OTHER_CRASH_INTERVAL_STEPS 50	/* mean interval of crashes without a poison request */

enum body { FIRST_POISON = 1, SECOND_POISON, SHARED_BODY, FIRST_UNIQUE };

struct run {
	int is_busy;
	uint64_t body;
	size_t instance;
	size_t server;
	int64_t sent_ms;
	int64_t ends_ms;
};

struct simulation {
	struct cw_quarantine *instances[INSTANCES];
	int64_t up_since_ms[SERVERS_MAX];
	struct run runs[CONCURRENT_RUNS_MAX];
	GRand *random;
	int64_t now_ms;
	int servers;
	int poison_interval_steps;
	uint64_t next_unique;
	unsigned int crashes[FIRST_UNIQUE];
	int64_t third_crash_ms[FIRST_UNIQUE];
	unsigned int late_sends[FIRST_UNIQUE];
	unsigned int harmless;
	unsigned int refused;
};

static struct cw_quarantine_request make_request(uint64_t body)
{
	return fixture_make_request(body, body < SHARED_BODY ? "museo" : "others");
}

static void crash_server(struct simulation *simulation, size_t server)
{
	simulation->up_since_ms[server] = simulation->now_ms + DOWN_MS;
	for (size_t i = 0; i < CONCURRENT_RUNS_MAX; i++) {
		struct run *run = &simulation->runs[i];
		struct cw_quarantine_request request = make_request(run->body);
		struct cw_quarantine *quarantine = simulation->instances[run->instance];

		if (!run->is_busy || run->server != server)
			continue;
		run->is_busy = 0;
		cw_quarantine_note_break(quarantine, &request, server,
					 simulation->now_ms - run->sent_ms, 1, simulation->now_ms);
		cw_quarantine_note_unreachable(quarantine, server, simulation->now_ms);
	}
}

static void finish_runs(struct simulation *simulation)
{
	for (size_t i = 0; i < CONCURRENT_RUNS_MAX; i++) {
		struct run *run = &simulation->runs[i];

		if (!run->is_busy || simulation->now_ms < run->ends_ms)
			continue;
		if (run->body < SHARED_BODY) {
			if (++simulation->crashes[run->body] == 3)
				simulation->third_crash_ms[run->body] = simulation->now_ms;
			crash_server(simulation, run->server);
			continue;
		}
		run->is_busy = 0;
		cw_quarantine_note_answer(simulation->instances[run->instance], run->body,
					  run->server, simulation->now_ms - run->sent_ms,
					  simulation->now_ms);
	}
}

/* The first instance owns all trials, in its own view and in that of the others. */
static int is_send_allowed(struct simulation *simulation, size_t instance, uint64_t body)
{
	struct cw_quarantine *quarantine = simulation->instances[instance];

	if (!cw_quarantine_contains(quarantine, body))
		return 1;
	if (instance > 0 || !cw_quarantine_wants_trial(quarantine, body, simulation->now_ms))
		return 0;
	cw_quarantine_begin_trial(quarantine, body, simulation->now_ms);
	return 1;
}

static struct run *find_free_run(struct simulation *simulation)
{
	for (size_t i = 0; i < CONCURRENT_RUNS_MAX; i++)
		if (!simulation->runs[i].is_busy)
			return &simulation->runs[i];
	return NULL;
}

static void send_request(struct simulation *simulation, size_t instance, uint64_t body)
{
	size_t server = (size_t)g_rand_int_range(simulation->random, 0, simulation->servers);
	struct run *run = find_free_run(simulation);
	int is_poison = body < SHARED_BODY;
	int64_t steps = g_rand_int_range(simulation->random, 1,
					 (is_poison ? POISON_RUN_STEPS_MAX : ANSWER_STEPS_MAX) + 1);

	simulation->harmless += !is_poison;
	if (!is_send_allowed(simulation, instance, body)) {
		simulation->refused += !is_poison;
		return;
	}
	if (!run || simulation->up_since_ms[server] > simulation->now_ms)
		return;
	if (is_poison && simulation->third_crash_ms[body] &&
	    simulation->now_ms - simulation->third_crash_ms[body] > PROPAGATION_MS)
		simulation->late_sends[body]++;
	*run = (struct run){.is_busy = 1,
			    .body = body,
			    .instance = instance,
			    .server = server,
			    .sent_ms = simulation->now_ms,
			    .ends_ms = simulation->now_ms + steps * STEP_MS};
}

static void send_requests(struct simulation *simulation)
{
	for (size_t i = 0; i < INSTANCES; i++) {
		if (simulation->now_ms >= NOW + 3000 &&
		    g_rand_int_range(simulation->random, 0, simulation->poison_interval_steps) == 0)
			send_request(simulation, i, FIRST_POISON);
		if (simulation->now_ms >= NOW + 5000 &&
		    g_rand_int_range(simulation->random, 0, simulation->poison_interval_steps) == 0)
			send_request(simulation, i, SECOND_POISON);
		send_request(simulation, i, SHARED_BODY);
		send_request(simulation, i, FIRST_UNIQUE + simulation->next_unique++);
	}
}

static int is_partitioned(const struct simulation *simulation, size_t instance)
{
	return instance == INSTANCES - 1 && simulation->now_ms >= NOW + PARTITION_FROM_MS &&
	       simulation->now_ms < NOW + PARTITION_UNTIL_MS;
}

static void exchange_messages(struct simulation *simulation)
{
	for (size_t i = 0; i < INSTANCES; i++) {
		cw_quarantine_tick(simulation->instances[i], simulation->now_ms);
		for (size_t j = 0; j < INSTANCES; j++)
			if (i != j && !is_partitioned(simulation, i) &&
			    !is_partitioned(simulation, j))
				fixture_announce(simulation->instances[i], simulation->instances[j],
						 simulation->now_ms);
	}
}

static void run_simulation(struct simulation *simulation, guint32 seed)
{
	memset(simulation, 0, sizeof(*simulation));
	simulation->random = g_rand_new_with_seed(seed);
	simulation->servers = g_rand_int_range(simulation->random, SERVERS_MIN, SERVERS_MAX + 1);
	simulation->poison_interval_steps =
		g_rand_int_range(simulation->random, 1, POISON_INTERVAL_STEPS_MAX + 1);
	for (size_t i = 0; i < INSTANCES; i++)
		simulation->instances[i] = cw_quarantine_create();
	for (simulation->now_ms = NOW; simulation->now_ms < NOW + DURATION_MS;
	     simulation->now_ms += STEP_MS) {
		finish_runs(simulation);
		if (g_rand_int_range(simulation->random, 0, OTHER_CRASH_INTERVAL_STEPS) == 0)
			crash_server(simulation, (size_t)g_rand_int_range(simulation->random, 0,
									  simulation->servers));
		send_requests(simulation);
		exchange_messages(simulation);
	}
	for (size_t i = 0; i < INSTANCES; i++)
		cw_quarantine_destroy(simulation->instances[i]);
	g_rand_free(simulation->random);
}

/* Fails if poison requests keep crashing servers, or harmless ones are refused. */
static void poison_requests_are_quarantined_and_harmless_ones_served(void **state)
{
	struct simulation *simulation = g_new0(struct simulation, 1);
	unsigned int failed_seeds = 0;

	for (guint32 seed = 1; seed <= SEEDS; seed++) {
		double served;

		run_simulation(simulation, seed);
		served = 1 - (double)simulation->refused / simulation->harmless;
		if (simulation->late_sends[FIRST_POISON] <= LATE_SENDS_MAX &&
		    simulation->late_sends[SECOND_POISON] <= LATE_SENDS_MAX &&
		    served >= SERVED_SHARE_MIN)
			continue;
		failed_seeds++;
		print_message("seed %u: crashes %u and %u, late sends %u and %u, served %.4f\n",
			      seed, simulation->crashes[FIRST_POISON],
			      simulation->crashes[SECOND_POISON],
			      simulation->late_sends[FIRST_POISON],
			      simulation->late_sends[SECOND_POISON], served);
	}
	assert_int_equal(failed_seeds, 0);
	g_free(simulation);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(poison_requests_are_quarantined_and_harmless_ones_served),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
