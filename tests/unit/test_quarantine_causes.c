/*
 * Servers end for several causes at once: two deadly requests, ends of another cause, an instance
 * that is cut off from the others. Random runs of three instances in virtual time.
 */
#include "quarantine_bed.h"

#include <glib.h>
#include <string.h>

#define SEEDS	     200
#define INSTANCES    3
#define SERVERS	     24 /* at most */
#define SERVERS_MIN  4
#define RUNS_MAX     512
#define STEP_MS	     100
#define END_MS	     40000
#define DOWN_MS	     2000  /* of a server that ended */
#define DEADLY_STEPS 5	   /* until a deadly one ends its server, at most */
#define DEADLY_EVERY 5	   /* one step in so many an instance is asked for it, at least */
#define ANSWER_MAX   6	   /* steps of a harmless run, at most */
#define CUT_FROM_MS  10000 /* the last instance hears nobody, */
#define CUT_UNTIL_MS 15000
#define CONTACT_MS   4000 /* after the third end: all that are in touch know it */
#define LATE_MAX     3	  /* sends after that */
#define SERVED_PART  0.99 /* of harmless requests, at least */
#define OTHER_CAUSE  50	  /* one step in so many a server ends by itself */

enum body { FIRST_DEADLY = 1, SECOND_DEADLY, SHARED, OWN_BODY };

struct run {
	int is_busy;
	uint64_t body;
	size_t instance;
	size_t server;
	int64_t sent_ms;
	int64_t until_ms;
};

struct world {
	struct cw_quarantine *instances[INSTANCES];
	int64_t up_ms[SERVERS]; /* since when a server is up */
	struct run runs[RUNS_MAX];
	GRand *random;
	int64_t now_ms;
	int servers;
	int deadly_every;
	uint64_t next_own;
	unsigned int ends[OWN_BODY];
	int64_t third_ms[OWN_BODY];
	unsigned int late[OWN_BODY];
	unsigned int harmless;
	unsigned int refused;
};

static struct cw_quarantine_request request_of(uint64_t body)
{
	return bed_request(body, body < SHARED ? "museo" : "others");
}

static void end_server(struct world *world, size_t server)
{
	world->up_ms[server] = world->now_ms + DOWN_MS;
	for (size_t i = 0; i < RUNS_MAX; i++) {
		struct run *run = &world->runs[i];
		struct cw_quarantine_request request = request_of(run->body);
		struct cw_quarantine *quarantine = world->instances[run->instance];

		if (!run->is_busy || run->server != server)
			continue;
		run->is_busy = 0;
		cw_quarantine_broke(quarantine, &request, server, world->now_ms - run->sent_ms, 1,
				    world->now_ms);
		cw_quarantine_gone(quarantine, server, world->now_ms);
	}
}

static void finish_runs(struct world *world)
{
	for (size_t i = 0; i < RUNS_MAX; i++) {
		struct run *run = &world->runs[i];

		if (!run->is_busy || world->now_ms < run->until_ms)
			continue;
		if (run->body < SHARED) {
			if (++world->ends[run->body] == 3)
				world->third_ms[run->body] = world->now_ms;
			end_server(world, run->server);
			continue;
		}
		run->is_busy = 0;
		cw_quarantine_answered(world->instances[run->instance], run->body, run->server,
				       world->now_ms - run->sent_ms, world->now_ms);
	}
}

/* The first instance is the owner of all trials: in its view and in that of the others. */
static int may_send(struct world *world, size_t instance, uint64_t body)
{
	struct cw_quarantine *quarantine = world->instances[instance];

	if (!cw_quarantine_holds(quarantine, body))
		return 1;
	if (instance > 0 || !cw_quarantine_wants_trial(quarantine, body, world->now_ms))
		return 0;
	cw_quarantine_try(quarantine, body, world->now_ms);
	return 1;
}

static struct run *free_run(struct world *world)
{
	for (size_t i = 0; i < RUNS_MAX; i++)
		if (!world->runs[i].is_busy)
			return &world->runs[i];
	return NULL;
}

static void ask(struct world *world, size_t instance, uint64_t body)
{
	size_t server = (size_t)g_rand_int_range(world->random, 0, world->servers);
	struct run *run = free_run(world);
	int is_deadly = body < SHARED;
	int64_t steps =
		g_rand_int_range(world->random, 1, (is_deadly ? DEADLY_STEPS : ANSWER_MAX) + 1);

	world->harmless += !is_deadly;
	if (!may_send(world, instance, body)) {
		world->refused += !is_deadly;
		return;
	}
	if (!run || world->up_ms[server] > world->now_ms)
		return;
	if (is_deadly && world->third_ms[body] &&
	    world->now_ms - world->third_ms[body] > CONTACT_MS)
		world->late[body]++;
	*run = (struct run){.is_busy = 1,
			    .body = body,
			    .instance = instance,
			    .server = server,
			    .sent_ms = world->now_ms,
			    .until_ms = world->now_ms + steps * STEP_MS};
}

static void ask_all(struct world *world)
{
	for (size_t i = 0; i < INSTANCES; i++) {
		if (world->now_ms >= NOW + 3000 &&
		    g_rand_int_range(world->random, 0, world->deadly_every) == 0)
			ask(world, i, FIRST_DEADLY);
		if (world->now_ms >= NOW + 5000 &&
		    g_rand_int_range(world->random, 0, world->deadly_every) == 0)
			ask(world, i, SECOND_DEADLY);
		ask(world, i, SHARED);
		ask(world, i, OWN_BODY + world->next_own++);
	}
}

static int is_cut(const struct world *world, size_t instance)
{
	return instance == INSTANCES - 1 && world->now_ms >= NOW + CUT_FROM_MS &&
	       world->now_ms < NOW + CUT_UNTIL_MS;
}

static void talk(struct world *world)
{
	for (size_t i = 0; i < INSTANCES; i++) {
		cw_quarantine_tick(world->instances[i], world->now_ms);
		for (size_t j = 0; j < INSTANCES; j++)
			if (i != j && !is_cut(world, i) && !is_cut(world, j))
				bed_tell(world->instances[i], world->instances[j], world->now_ms);
	}
}

static void play(struct world *world, guint32 seed)
{
	memset(world, 0, sizeof(*world));
	world->random = g_rand_new_with_seed(seed);
	world->servers = g_rand_int_range(world->random, SERVERS_MIN, SERVERS + 1);
	world->deadly_every = g_rand_int_range(world->random, 1, DEADLY_EVERY + 1);
	for (size_t i = 0; i < INSTANCES; i++)
		world->instances[i] = cw_quarantine_create();
	for (world->now_ms = NOW; world->now_ms < NOW + END_MS; world->now_ms += STEP_MS) {
		finish_runs(world);
		if (g_rand_int_range(world->random, 0, OTHER_CAUSE) == 0)
			end_server(world,
				   (size_t)g_rand_int_range(world->random, 0, world->servers));
		ask_all(world);
		talk(world);
	}
	for (size_t i = 0; i < INSTANCES; i++)
		cw_quarantine_destroy(world->instances[i]);
	g_rand_free(world->random);
}

/* Deadly requests that go on ending servers, or harmless ones that are refused, under any mix. */
static void of_several_causes_each_is_found_and_nobody_else(void **state)
{
	struct world *world = g_new0(struct world, 1);
	unsigned int broken = 0;

	for (guint32 seed = 1; seed <= SEEDS; seed++) {
		double served;

		play(world, seed);
		served = 1 - (double)world->refused / world->harmless;
		if (world->late[FIRST_DEADLY] <= LATE_MAX &&
		    world->late[SECOND_DEADLY] <= LATE_MAX && served >= SERVED_PART)
			continue;
		broken++;
		print_message("seed %u: ends %u and %u, sent late %u and %u, served %.4f\n", seed,
			      world->ends[FIRST_DEADLY], world->ends[SECOND_DEADLY],
			      world->late[FIRST_DEADLY], world->late[SECOND_DEADLY], served);
	}
	assert_int_equal(broken, 0);
	g_free(world);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(of_several_causes_each_is_found_and_nobody_else),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
