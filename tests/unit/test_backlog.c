/* What a server has in progress: own prompts, the peers' announcements, memory. */
#include "cw_backlog_peers.h"
#include "cw_hash.h"
#include "cw_pool.h"
#include "unit.h"

#include <string.h>

#define PACE	     1.0
#define LEAST	     0.25
#define LONG_MS	     25
#define SERVERS	     6
#define PEERS	     5
#define SEEDS	     200
#define CAPACITY     100000.0 /* tokens of an engine's memory */
#define MESSAGES_MAX 400

static uint64_t next_random(uint64_t *seed)
{
	*seed = cw_hash(seed, sizeof(*seed), 7);
	return *seed;
}

static double left_ms(const struct cw_backlog *backlog, double own_ms, double peers_ms,
		      int64_t now_ms)
{
	return cw_backlog_left_ms(backlog, own_ms, peers_ms, PACE, LEAST, now_ms);
}

/* Guards against prompts counted as done by the clock while the server has not begun them. */
static void only_the_prompt_being_read_falls_with_time(void **state)
{
	struct cw_backlog backlog = {0};
	struct cw_backlog_share peers = {.running = 2, .unread = 2, .unread_ms = 1200};

	cw_backlog_begin(&backlog, 600, LONG_MS, 1000);
	cw_backlog_set_peers(&backlog, &peers, 1000);
	assert_true(left_ms(&backlog, 600, 1200, 1000) == 1800);
	assert_true(left_ms(&backlog, 600, 1200, 1300) == 1500);
	assert_true(left_ms(&backlog, 600, 1200, 1600) == 1350);
	/* Overdue: a part of the longer time is left. */
	assert_true(left_ms(&backlog, 600, 1200, 3000) == 1700);
	/* The first answer begins: the next prompt is read from now on. */
	cw_backlog_end(&backlog, 600, LONG_MS);
	cw_backlog_record_progress(&backlog, 3000);
	assert_true(left_ms(&backlog, 0, 1200, 3000) == 1200);
	assert_true(left_ms(&backlog, 0, 1200, 3400) == 800);
	/* So does that of a peer's. */
	peers = (struct cw_backlog_share){.running = 2, .unread = 1, .unread_ms = 600};
	cw_backlog_set_peers(&backlog, &peers, 3600);
	assert_true(left_ms(&backlog, 0, 600, 3600) == 600);
	cw_backlog_set_peers(&backlog, &(struct cw_backlog_share){0}, 4000);
	assert_true(left_ms(&backlog, 0, 0, 4000) == 0);
}

/* Guards against a wait that is too short on a server that is known to be slow. */
static void a_slow_server_needs_longer(void **state)
{
	struct cw_backlog backlog = {0};

	cw_backlog_begin(&backlog, 600, LONG_MS, 1000);
	cw_backlog_begin(&backlog, 600, LONG_MS, 1000);
	assert_true(cw_backlog_left_ms(&backlog, 400, 0, 2, LEAST, 1000) == 800);
	assert_true(cw_backlog_left_ms(&backlog, 400, 0, 2, LEAST, 1200) == 600);
}

/* Guards against servers that are avoided for the requests of an instance that died. */
static void the_server_refutes_prompts_of_a_dead_instance(void **state)
{
	struct cw_backlog backlog = {0};
	struct cw_backlog_share peers = {.running = 30, .unread = 30, .unread_ms = 6000};

	cw_backlog_set_peers(&backlog, &peers, 1000);
	cw_backlog_check(&backlog, 29, 6000, 2000);
	assert_true(left_ms(&backlog, 0, 6000, 1000) == 6000);
	/* Notes may be newer than the report. */
	cw_backlog_check(&backlog, 0, 6000, 1010);
	assert_true(left_ms(&backlog, 0, 6000, 1000) == 6000);
	cw_backlog_check(&backlog, 0, 6000, 2000);
	assert_true(left_ms(&backlog, 0, 6000, 1000) == 200);
	/* What is announced afterwards counts in full. */
	peers = (struct cw_backlog_share){.running = 31, .unread = 31, .unread_ms = 6900};
	cw_backlog_set_peers(&backlog, &peers, 1100);
	assert_true(left_ms(&backlog, 0, 6900, 1100) >= 900);
}

/* Guards against a server's absurd queue that refutes all prompts of the peers. */
static void an_absurd_queue_refutes_nothing(void **state)
{
	struct cw_backlog backlog = {0};
	struct cw_backlog_share peers = {.running = 3, .unread = 3, .unread_ms = 600};

	cw_backlog_set_peers(&backlog, &peers, 1000);
	cw_backlog_check(&backlog, UINT32_MAX, 600, 2000);
	assert_true(left_ms(&backlog, 0, 600, 1000) == 600);
}

/* Guards against absurd numbers of two peers of an earlier build whose sum is small again. */
static void absurd_numbers_of_an_earlier_build_are_bounded(void **state)
{
	struct cw_backlog_peers *peers = cw_backlog_peers_create();
	struct cw_backlog_report report = {.server = 1, .share = {1U << 31, 1, 1U << 31, 0}};
	struct cw_backlog_message message = {.is_complete = 1, .count = 1, .reports = &report};
	struct cw_backlog_share sum;

	for (message.instance = 1; message.instance <= 2; message.instance++)
		assert_int_equal(cw_backlog_peers_merge(peers, &message, 1000), 1);
	cw_backlog_peers_sum(peers, 1, &sum);
	assert_int_equal(sum.running, 2 * CW_BACKLOG_REQUESTS_MAX);
	assert_int_equal(sum.unread_ms, 2 * CW_BACKLOG_UNREAD_MS_MAX);
	cw_backlog_peers_expire(peers, 2000);
	cw_backlog_peers_sum(peers, 1, &sum);
	assert_int_equal(sum.running + sum.unread + sum.unread_ms, 0);
	cw_backlog_peers_destroy(peers);
}

/* Guards against requests that count for ever, as a note from before a freeze is read last. */
static void what_a_late_note_leaves_expires(void **state)
{
	struct cw_backlog_peers *peers = cw_backlog_peers_create();
	struct cw_backlog_report report = {.server = 1, .share = {3, 1, 400, 9000}};
	struct cw_backlog_message message = {.instance = 5,
					     .boot = 1,
					     .sequence = 1,
					     .is_complete = 1,
					     .count = 1,
					     .reports = &report};
	struct cw_backlog_share sum;

	cw_backlog_peers_merge(peers, &message, 3000);
	report.server = 2;
	message.sequence = 2;
	message.is_complete = 0;
	cw_backlog_peers_merge(peers, &message, 1000);
	cw_backlog_peers_expire(peers, 2000);
	cw_backlog_peers_sum(peers, 1, &sum);
	assert_int_equal(sum.running, 3);
	cw_backlog_peers_expire(peers, 4000);
	for (uint64_t server = 1; server <= 2; server++) {
		cw_backlog_peers_sum(peers, server, &sum);
		assert_int_equal(sum.running + sum.unread + sum.unread_ms + sum.tokens, 0);
	}
	cw_backlog_peers_destroy(peers);
}

/* Guards against requests and tokens that a trimmed message hides, or keeps as they were. */
static void a_trimmed_message_changes_running_requests_only(void **state)
{
	struct cw_backlog_peers *peers = cw_backlog_peers_create();
	struct cw_backlog_report reports[] = {{1, {3, 1, 400, 9000}}, {2, {2, 1, 100, 0}}};
	struct cw_backlog_message note = {
		.instance = 5, .boot = 1, .sequence = 4, .count = 1, .reports = reports};
	struct cw_backlog_message trimmed = {
		.instance = 5, .boot = 1, .is_complete = 1, .count = 2, .reports = reports};
	struct cw_backlog_share sum;

	cw_backlog_peers_merge(peers, &note, 1000);
	reports[0].share = (struct cw_backlog_share){7, 1, 10, 0};
	cw_backlog_peers_merge(peers, &trimmed, 1100);
	cw_backlog_peers_sum(peers, 1, &sum);
	assert_memory_equal(&sum, (&(struct cw_backlog_share){7, 1, 400, 9000}), sizeof(sum));
	cw_backlog_peers_sum(peers, 2, &sum);
	assert_memory_equal(&sum, (&(struct cw_backlog_share){2, 0, 0, 0}), sizeof(sum));
	trimmed.count = 0;
	cw_backlog_peers_merge(peers, &trimmed, 1200);
	cw_backlog_peers_sum(peers, 1, &sum);
	assert_memory_equal(&sum, (&(struct cw_backlog_share){0, 1, 400, 9000}), sizeof(sum));
	/* A full message replaces it, and what was known only by trimmed ones. */
	note.is_complete = 1;
	note.sequence = 5;
	cw_backlog_peers_merge(peers, &note, 1300);
	cw_backlog_peers_sum(peers, 1, &sum);
	assert_int_equal(sum.running, 7);
	cw_backlog_peers_expire(peers, 4000);
	for (uint64_t server = 1; server <= 2; server++) {
		cw_backlog_peers_sum(peers, server, &sum);
		assert_int_equal(sum.running + sum.unread + sum.unread_ms + sum.tokens, 0);
	}
	cw_backlog_peers_destroy(peers);
}

/* A peer whose state changes at random, and the messages that it has sent. */
struct sender {
	struct cw_backlog_share shares[SERVERS];
	uint32_t sequence;
};

struct sent {
	struct cw_backlog_message message;
	struct cw_backlog_report reports[SERVERS];
};

static void announce(struct sender *sender, size_t peer, size_t first, size_t count,
		     struct sent *sent)
{
	sent->message = (struct cw_backlog_message){
		.instance = peer + 1,
		.boot = 77,
		.sequence = ++sender->sequence,
		.is_complete = count == SERVERS,
		.count = count,
		.reports = sent->reports,
	};
	for (size_t i = 0; i < count; i++)
		sent->reports[i] =
			(struct cw_backlog_report){first + i + 1, sender->shares[first + i]};
}

static void assert_sums(const struct cw_backlog_peers *peers, const struct sender *senders)
{
	for (size_t server = 0; server < SERVERS; server++) {
		struct cw_backlog_share sum;
		struct cw_backlog_share expected = {0};

		for (size_t peer = 0; peer < PEERS; peer++) {
			expected.running += senders[peer].shares[server].running;
			expected.unread_ms += senders[peer].shares[server].unread_ms;
			expected.tokens += senders[peer].shares[server].tokens;
		}
		cw_backlog_peers_sum(peers, server + 1, &sum);
		assert_int_equal(sum.running, expected.running);
		assert_int_equal(sum.unread_ms, expected.unread_ms);
		assert_int_equal(sum.tokens, expected.tokens);
	}
}

/*
 * Guards against sums that drift when messages are lost, repeated or out of order: after each
 * peer's next complete message they are exact.
 */
static void lost_repeated_and_late_messages_leave_no_trace(void **state)
{
	static struct sent sent[MESSAGES_MAX];

	for (uint64_t run = 1; run <= SEEDS; run++) {
		struct cw_backlog_peers *peers = cw_backlog_peers_create();
		struct sender senders[PEERS] = {0};
		uint64_t seed = run;

		for (size_t i = 0; i < MESSAGES_MAX; i++) {
			uint64_t random = next_random(&seed);
			size_t peer = i < MESSAGES_MAX - PEERS ? random % PEERS
							       : i - (MESSAGES_MAX - PEERS);
			size_t server = random / 8 % SERVERS;
			int is_complete = random / 64 % 8 == 0 || i >= MESSAGES_MAX - PEERS;

			senders[peer].shares[server] = (struct cw_backlog_share){
				.running = random / 512 % 4,
				.unread_ms = random / 4096 % 900,
				.tokens = random / 65536 % 9000,
			};
			announce(&senders[peer], peer, is_complete ? 0 : server,
				 is_complete ? SERVERS : 1, &sent[i]);
			/* Half of them arrive, half of these again or late. */
			if (random >> 63 || i >= MESSAGES_MAX - PEERS)
				cw_backlog_peers_merge(peers, &sent[i].message, 1000);
			if (random >> 62 & 1)
				cw_backlog_peers_merge(
					peers, &sent[next_random(&seed) % (i + 1)].message, 1000);
		}
		assert_sums(peers, senders);
		cw_backlog_peers_destroy(peers);
	}
}

/* Guards against a prompt that counts until the next round as the note on its answer was lost. */
static void a_later_note_makes_up_for_a_lost_one(void **state)
{
	struct cw_backlog_peers *peers = cw_backlog_peers_create();
	struct cw_backlog_report report = {.server = 1, .share = {3, 1, 400, 9000}};
	struct cw_backlog_message note = {.instance = 5,
					  .boot = 1,
					  .sequence = 8,
					  .names_unread = 1,
					  .count = 1,
					  .reports = &report};
	struct cw_backlog_share sum;

	cw_backlog_peers_merge(peers, &note, 1000);
	report.server = 2;
	note.sequence = 10;
	cw_backlog_peers_merge(peers, &note, 1000);
	cw_backlog_peers_sum(peers, 1, &sum);
	assert_int_equal(sum.unread + sum.unread_ms, 0);
	assert_int_equal(sum.running, 3);
	/* An older one clears nothing, and its own prompts have begun. */
	report.server = 3;
	note.sequence = 9;
	cw_backlog_peers_merge(peers, &note, 1000);
	cw_backlog_peers_sum(peers, 2, &sum);
	assert_int_equal(sum.unread_ms, 400);
	cw_backlog_peers_sum(peers, 3, &sum);
	assert_int_equal(sum.unread + sum.unread_ms, 0);
	assert_int_equal(sum.running, 3);
	cw_backlog_peers_destroy(peers);
}

/* Guards against requests of a dead instance, or of its earlier start, that count for ever. */
static void shares_end_with_silence_and_restart(void **state)
{
	struct cw_backlog_peers *peers = cw_backlog_peers_create();
	struct cw_backlog_report report = {.server = 1, .share = {30, 12, 4000, 90000}};
	struct cw_backlog_message message = {.instance = 5,
					     .boot = 1,
					     .sequence = 9,
					     .is_complete = 1,
					     .count = 1,
					     .reports = &report};
	struct cw_backlog_message note = message;
	struct cw_backlog_share sum;

	assert_int_equal(cw_backlog_peers_merge(peers, &message, 1000), 1);
	cw_backlog_peers_expire(peers, 1000);
	cw_backlog_peers_sum(peers, 1, &sum);
	assert_int_equal(sum.running, 30);
	cw_backlog_peers_expire(peers, 1001);
	cw_backlog_peers_sum(peers, 1, &sum);
	assert_int_equal(sum.running, 0);

	assert_int_equal(cw_backlog_peers_merge(peers, &message, 2000), 1);
	message.boot = 2;
	message.sequence = 1;
	message.count = 0;
	assert_int_equal(cw_backlog_peers_merge(peers, &message, 2100), 1);
	cw_backlog_peers_sum(peers, 1, &sum);
	assert_int_equal(sum.running + sum.unread_ms + sum.tokens, 0);
	/* A note of the earlier start is late. */
	note.is_complete = 0;
	note.sequence = 10;
	assert_int_equal(cw_backlog_peers_merge(peers, &note, 2200), 0);
	cw_backlog_peers_destroy(peers);
}

/* Guards against an earlier build's announcement, without a sequence, that is taken for stale. */
static void announcements_of_an_earlier_build_replace_each_other(void **state)
{
	struct cw_backlog_peers *peers = cw_backlog_peers_create();
	struct cw_backlog_report report = {.server = 1, .share = {3, 1, 400, 0}};
	struct cw_backlog_message message = {
		.instance = 5, .boot = 1, .is_complete = 1, .count = 1, .reports = &report};
	struct cw_backlog_share sum;

	for (uint32_t i = 0; i < 3; i++) {
		report.share.unread_ms = 400 - 100 * i;
		assert_int_equal(cw_backlog_peers_merge(peers, &message, 1000), 1);
		cw_backlog_peers_sum(peers, 1, &sum);
		assert_int_equal(sum.unread_ms, 400 - 100 * i);
		assert_int_equal(sum.running, 3);
	}
	message.count = 0;
	cw_backlog_peers_merge(peers, &message, 1000);
	cw_backlog_peers_sum(peers, 1, &sum);
	assert_int_equal(sum.running, 0);
	cw_backlog_peers_destroy(peers);
}

static struct cw_server *add_engine(struct cw_pool *pool, size_t number)
{
	char name[16];

	snprintf(name, sizeof(name), "e%zu", number);
	return cw_pool_add(pool, name, "llm", "10.0.0.1:80", "d1", 0);
}

/* Guards against requests that are preempted in a full engine while another one has memory left. */
static void no_server_is_past_its_memory_while_another_has_room(void **state)
{
	for (uint64_t run = 1; run <= SEEDS; run++) {
		struct cw_pool *pool = cw_pool_create(&cw_choice_cost);
		struct cw_server *servers[SERVERS];
		uint64_t seed = run;

		for (size_t i = 0; i < SERVERS; i++)
			servers[i] = add_engine(pool, i);
		for (int i = 0; i < 100; i++) {
			uint64_t random = next_random(&seed);
			struct cw_choice choice = {
				.service = "llm",
				.failure_domain = "d1",
				.now_ms = 1000 + i,
				.random = random,
				.prefix = random % 3 + 1,
				.prompt_tokens = 5000,
				.prefix_tokens = 5000,
				.ms_per_token = 0.05,
				.tokens = 2000 + random % 14000,
				.capacity_tokens = CAPACITY,
			};
			struct cw_server *server = cw_pool_choose(pool, &choice);
			double least = CAPACITY;
			double taken;

			for (size_t j = 0; j < SERVERS; j++)
				least = MIN(least,
					    servers[j]->work
						    ? cw_backlog_tokens(&servers[j]->work->backlog)
						    : 0);
			cw_pool_hold_tokens(server, choice.tokens);
			taken = cw_backlog_tokens(&server->work->backlog);
			assert_true(taken <= CAPACITY || least + choice.tokens > CAPACITY);
			if (random >> 60 < 7)
				cw_pool_release_tokens(servers[random / 16 % SERVERS], 9000);
		}
		cw_pool_destroy(pool);
	}
}

/* Guards against a short prompt that waits behind seconds of others while a server is idle. */
static void a_short_prompt_is_not_sent_behind_a_long_one(void **state)
{
	struct cw_pool *pool = cw_pool_create(&cw_choice_cost);
	struct cw_server *busy = add_engine(pool, 1);
	struct cw_server *idle = add_engine(pool, 2);
	struct cw_backlog_share long_prompt = {1, 1, 2700, 12000};
	struct cw_choice choice = {.service = "llm",
				   .failure_domain = "d1",
				   .prompt_tokens = 800,
				   .ms_per_token = 0.005};

	cw_pool_count_unread(pool, 1);
	cw_pool_set_peers(busy, &long_prompt, 1000);
	for (choice.now_ms = 1000; choice.now_ms < 6000; choice.now_ms += 100) {
		cw_pool_set_peers(busy, &long_prompt, choice.now_ms);
		choice.random = (uint64_t)choice.now_ms * 7919;
		assert_ptr_equal(cw_pool_choose(pool, &choice), idle);
	}
	cw_pool_destroy(pool);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(only_the_prompt_being_read_falls_with_time),
		cmocka_unit_test(a_slow_server_needs_longer),
		cmocka_unit_test(the_server_refutes_prompts_of_a_dead_instance),
		cmocka_unit_test(lost_repeated_and_late_messages_leave_no_trace),
		cmocka_unit_test(a_later_note_makes_up_for_a_lost_one),
		cmocka_unit_test(shares_end_with_silence_and_restart),
		cmocka_unit_test(announcements_of_an_earlier_build_replace_each_other),
		cmocka_unit_test(an_absurd_queue_refutes_nothing),
		cmocka_unit_test(what_a_late_note_leaves_expires),
		cmocka_unit_test(a_trimmed_message_changes_running_requests_only),
		cmocka_unit_test(absurd_numbers_of_an_earlier_build_are_bounded),
		cmocka_unit_test(no_server_is_past_its_memory_while_another_has_room),
		cmocka_unit_test(a_short_prompt_is_not_sent_behind_a_long_one),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
