/*
 * Replay of a load: instances that send long and short prompts to the same engines, which read them
 * one after the other. What instances announce arrives late, twice or not at all.
 */
#include "cw_backlog_peers.h"
#include "cw_hash.h"
#include "cw_pool.h"
#include "unit.h"

#include <glib.h>
#include <string.h>

#define INSTANCES	16
#define ENGINES		8
#define RUN_MS		20000
#define ROUND_MS	150
#define ROUND_FANOUT	3
#define LONG_MS		600.0 /* of work; 5 a second */
#define SHORT_MS	10.0  /* 60 a second */
#define NOTE_MIN_MS	25.0
#define MESSAGE_MS	2
#define LATE_MS		60
#define SEEDS		5
#define WAIT_MS		200.0 /* a prompt in a hundred may wait longer */
#define ENOUGH_MESSAGES 4096  /* under way at a time */

struct prompt {
	size_t instance;
	double work_ms;
	double left_ms;
	int64_t sent_ms;
};

struct engine {
	struct prompt prompts[1024];
	size_t first, count;
	double speed; /* time for work of the usual server, as a part */
};

struct message {
	size_t from, to;
	int64_t due_ms;
	uint32_t sequence;
	int is_complete;
	size_t count;
	struct cw_backlog_report reports[ENGINES];
};

struct world {
	struct cw_pool *pools[INSTANCES];
	struct cw_backlog_peers *peers[INSTANCES];
	uint32_t sequences[INSTANCES];
	struct engine engines[ENGINES];
	struct message messages[ENOUGH_MESSAGES];
	size_t message_count;
	int has_notes;
	int is_lossy;
	uint64_t random;
	GArray *waits; /* of double, ms until a prompt was begun */
	int64_t now_ms;
};

static uint64_t draw(struct world *world)
{
	world->random = cw_hash(&world->random, sizeof(world->random), 3);
	return world->random;
}

static struct cw_server *server_of(struct world *world, size_t instance, size_t engine)
{
	char name[16];

	snprintf(name, sizeof(name), "e%zu", engine);
	return cw_pool_find_name(world->pools[instance], name);
}

static void send_message(struct world *world, size_t from, size_t to, size_t first, size_t count)
{
	struct message *message = &world->messages[world->message_count];
	uint64_t random = draw(world);

	if (world->is_lossy && random % 2)
		return;
	assert_true(++world->message_count < ENOUGH_MESSAGES);
	message->from = from;
	message->to = to;
	message->due_ms =
		world->now_ms + (world->is_lossy ? (int64_t)(random / 2 % LATE_MS) : MESSAGE_MS);
	message->sequence = world->sequences[from];
	message->is_complete = count == ENGINES;
	message->count = 0;
	for (size_t i = 0; i < ENGINES; i++) {
		const struct cw_server *server = server_of(world, from, i);
		struct cw_backlog_report *report = &message->reports[message->count];

		/* A note names its server and others with a long unread prompt. */
		if ((i < first || i >= first + count) &&
		    (!server->work || server->work->backlog.own_long == 0))
			continue;
		message->count++;
		report->server = server->id;
		if (world->has_notes)
			cw_pool_get_long_share(server, &report->share, world->now_ms);
		else
			cw_pool_get_share(server, &report->share, world->now_ms);
	}
}

static void receive(struct world *world, const struct message *received)
{
	struct cw_backlog_message message = {
		.instance = received->from + 1,
		.boot = 1,
		.sequence = received->sequence,
		.is_complete = received->is_complete,
		.names_unread = 1,
		.count = received->count,
		.reports = received->reports,
	};
	struct cw_backlog_share sum;

	cw_backlog_peers_merge(world->peers[received->to], &message, world->now_ms);
	for (size_t i = 0; i < received->count; i++) {
		cw_backlog_peers_sum(world->peers[received->to], received->reports[i].server, &sum);
		cw_pool_set_peers(
			cw_pool_find(world->pools[received->to], received->reports[i].server), &sum,
			world->now_ms);
	}
}

static void deliver(struct world *world)
{
	for (size_t i = 0; i < world->message_count;) {
		if (world->messages[i].due_ms > world->now_ms) {
			i++;
			continue;
		}
		receive(world, &world->messages[i]);
		world->messages[i] = world->messages[--world->message_count];
	}
}

static void send_note(struct world *world, size_t instance, size_t engine, double work_ms)
{
	if (!world->has_notes || work_ms < NOTE_MIN_MS)
		return;
	world->sequences[instance]++;
	for (size_t to = 0; to < INSTANCES; to++)
		if (to != instance)
			send_message(world, instance, to, engine, 1);
}

static void send_round(struct world *world, size_t instance)
{
	if ((world->now_ms + (int64_t)instance * 7) % ROUND_MS != 0)
		return;
	world->sequences[instance]++;
	for (int i = 0; i < ROUND_FANOUT; i++)
		send_message(world, instance,
			     (instance + 1 + draw(world) % (INSTANCES - 1)) % INSTANCES, 0,
			     ENGINES);
	cw_backlog_peers_expire(world->peers[instance], world->now_ms - 2000);
}

static void open_request(struct world *world, double work_ms)
{
	size_t instance = draw(world) % INSTANCES;
	struct cw_choice choice = {.service = "llm",
				   .failure_domain = "d1",
				   .now_ms = world->now_ms,
				   .random = draw(world),
				   .prompt_tokens = work_ms,
				   .ms_per_token = 1};
	struct cw_server *server = cw_pool_choose(world->pools[instance], &choice);
	size_t number = (size_t)(server->name[1] - '0');
	struct engine *engine = &world->engines[number];

	cw_pool_begin_work(server, work_ms, 0, world->now_ms);
	cw_pool_record_dispatch(server, world->now_ms);
	assert_true(engine->count - engine->first < 1024);
	engine->prompts[engine->count++ % 1024] =
		(struct prompt){instance, work_ms, work_ms * engine->speed, world->now_ms};
	send_note(world, instance, number, work_ms);
}

static void read_prompts(struct world *world, size_t number)
{
	struct engine *engine = &world->engines[number];
	double left_ms = 1;

	while (engine->first < engine->count && left_ms > 0) {
		struct prompt *prompt = &engine->prompts[engine->first % 1024];
		struct cw_server *server = server_of(world, prompt->instance, number);
		double read_ms = MIN(left_ms, prompt->left_ms);
		double waited_ms = (double)(world->now_ms - prompt->sent_ms);

		if (prompt->left_ms == prompt->work_ms * engine->speed)
			g_array_append_val(world->waits, waited_ms);
		prompt->left_ms -= read_ms;
		left_ms -= read_ms;
		if (prompt->left_ms > 0)
			break;
		engine->first++;
		cw_pool_end_work(server, prompt->work_ms);
		cw_pool_record_begun(server, world->now_ms);
		cw_pool_record_end(server, world->now_ms, -1);
		send_note(world, prompt->instance, number, prompt->work_ms);
	}
}

static gint by_value(gconstpointer a, gconstpointer b)
{
	double left = *(const double *)a;
	double right = *(const double *)b;

	return left < right ? -1 : left > right;
}

/* Returns the wait that one prompt in a hundred exceeds. */
static double run(uint64_t seed, int has_notes, int is_lossy)
{
	static struct world world;
	double worst_ms;

	memset(&world, 0, sizeof(world));
	world.has_notes = has_notes;
	world.is_lossy = is_lossy;
	world.random = seed;
	world.waits = g_array_new(FALSE, FALSE, sizeof(double));
	for (size_t i = 0; i < INSTANCES; i++) {
		world.pools[i] = cw_pool_create(&cw_choice_cost);
		cw_pool_count_unread(world.pools[i], has_notes);
		world.peers[i] = cw_backlog_peers_create();
		for (size_t engine = 0; engine < ENGINES; engine++) {
			char name[16];

			snprintf(name, sizeof(name), "e%zu", engine);
			cw_pool_add(world.pools[i], name, "llm", "10.0.0.1:80", "d1", 0);
		}
	}
	for (size_t engine = 0; engine < ENGINES; engine++)
		world.engines[engine].speed = (double[]){0.6, 1, 1.6}[engine % 3];
	for (world.now_ms = 1000; world.now_ms < 1000 + RUN_MS; world.now_ms++) {
		deliver(&world);
		for (size_t engine = 0; engine < ENGINES; engine++)
			read_prompts(&world, engine);
		for (size_t i = 0; i < INSTANCES; i++)
			send_round(&world, i);
		if (draw(&world) % 1000 < 5)
			open_request(&world, LONG_MS);
		if (draw(&world) % 1000 < 60)
			open_request(&world, SHORT_MS);
	}
	g_array_sort(world.waits, by_value);
	worst_ms = g_array_index(world.waits, double, world.waits->len * 99 / 100);
	g_array_unref(world.waits);
	for (size_t i = 0; i < INSTANCES; i++) {
		cw_pool_destroy(world.pools[i]);
		cw_backlog_peers_destroy(world.peers[i]);
	}
	return worst_ms;
}

/* Guards against prompts that wait behind those of other instances while engines are idle. */
static void notes_keep_prompts_from_waiting(void **state)
{
	double without = 0;
	double with = 0;
	double halved = 0;

	for (uint64_t seed = 1; seed <= SEEDS; seed++) {
		without += run(seed, 0, 0) / SEEDS;
		with += run(seed, 1, 0) / SEEDS;
		halved += run(seed, 1, 1) / SEEDS;
	}
	print_message("p99 wait: %.0f ms without notes, %.0f with, %.0f with half of them\n",
		      without, with, halved);
	assert_true(with < WAIT_MS && WAIT_MS < without);
	assert_true(halved < without);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(notes_keep_prompts_from_waiting),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
