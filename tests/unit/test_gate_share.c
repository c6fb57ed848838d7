/* Fair shares in the gate: whose answers are escalated when slots are scarce, and who is rejected.
 */
#include "cw_gossip_shares.h"
#include "cw_hash.h"
#include "gate_bed.h"

#include <glib.h>
#include <string.h>

#define REQUESTS  200
#define SLOTS	  8
#define HEAVY_LOW 64 /* of the heavy one's 192 answers, those with low confidence */

static void open_with_two_organisations(struct fixture *fixture)
{
	struct cw_organisation *other;

	fixture_open(fixture);
	other = cw_config_add_organisation(fixture->config);
	strcpy(other->name, "archivo");
	cw_config_add_key(fixture->config, "other", other);
}

/* One request, and an answer of that confidence from a server with that many slots taken. */
static enum cw_step_kind ask(struct fixture *fixture, const char *key, int confidence,
			     unsigned int taken, int64_t now_ms)
{
	struct cw_response_head answer = {.status = 200,
					  .is_signed = 1,
					  .is_event_stream = 1,
					  .confidence = confidence,
					  .has_load = 1,
					  .running = taken,
					  .slots = SLOTS};
	enum cw_step_kind kind;

	cw_call_close(fixture->call, now_ms);
	g_strlcpy(fixture->info.key, key, sizeof(fixture->info.key));
	fixture->info.path = "/chat/x";
	fixture->call = cw_call_open(fixture->gate, &fixture->info, now_ms, now_ms, &fixture->step);
	if (fixture->step.kind != CW_STEP_SEND)
		return fixture->step.kind;
	cw_call_handle_head(fixture->call, &answer, now_ms + 5, &fixture->step);
	kind = fixture->step.kind;
	cw_call_close(fixture->call, now_ms + 10);
	fixture->call = NULL;
	return kind;
}

/*
 * One organisation sends 25 times as much as the other; escalated requests of each. A third of the
 * heavy one's answers have low confidence, so that the retry budget suffices.
 */
static void play(struct fixture *fixture, unsigned int taken, int *heavy, int *light)
{
	*heavy = *light = 0;
	for (int i = 0; i < REQUESTS; i++) {
		int is_light = i % 25 == 24;
		int confidence = is_light || i % 3 == 0 ? 20 : 90;
		enum cw_step_kind kind = ask(fixture, is_light ? "other" : "key", confidence, taken,
					     FIXTURE_NOW_MS + i * 20);

		*(is_light ? light : heavy) += kind == CW_STEP_SEND;
	}
}

static void test_an_organisation_that_asks_for_little_is_served_whole(void **state)
{
	struct fixture fixture;
	int heavy, light;

	open_with_two_organisations(&fixture);
	/* 7 of 8 slots: the threshold of all would be below the answers' confidence. */
	play(&fixture, 7, &heavy, &light);
	assert_int_equal(light, REQUESTS / 25);
	assert_true(heavy < HEAVY_LOW / 5);
	fixture_close(&fixture);
}

/* All slots taken by one organisation must not leave the others without the larger model. */
static void test_full_slots_leave_room_for_those_that_ask_for_little(void **state)
{
	struct fixture fixture;
	int heavy, light;

	open_with_two_organisations(&fixture);
	play(&fixture, SLOTS, &heavy, &light);
	assert_int_equal(light, REQUESTS / 25);
	assert_true(heavy < HEAVY_LOW / 5);
	fixture_close(&fixture);
}

static int urgency_of(struct fixture *fixture, const char *key, int64_t now_ms)
{
	cw_call_close(fixture->call, now_ms);
	g_strlcpy(fixture->info.key, key, sizeof(fixture->info.key));
	fixture->call = cw_call_open(fixture->gate, &fixture->info, now_ms, now_ms, &fixture->step);
	return fixture->step.dispatch.urgency;
}

/* Requests of those that ask for little must not wait behind the queue of one that fills it. */
static void test_those_that_ask_for_little_go_first(void **state)
{
	static const unsigned int taken[] = {SLOTS, 1};

	for (size_t i = 0; i < G_N_ELEMENTS(taken); i++) {
		int64_t now_ms = FIXTURE_NOW_MS + REQUESTS * 20;
		struct fixture fixture;
		struct cw_route *route;
		int heavy, light;

		open_with_two_organisations(&fixture);
		route = (struct cw_route *)cw_config_find_route(fixture.config, "h.example",
								"/chat/x");
		route->priority = 4;
		play(&fixture, taken[i], &heavy, &light);
		heavy = urgency_of(&fixture, "key", now_ms);
		light = urgency_of(&fixture, "other", now_ms);
		assert_int_equal(heavy, 4);
		assert_int_equal(light, taken[i] == SLOTS ? 1 : 4);
		fixture_close(&fixture);
	}
}

static void test_with_room_for_all_shares_decide_nothing(void **state)
{
	struct fixture fixture;
	int heavy, light;

	open_with_two_organisations(&fixture);
	play(&fixture, 1, &heavy, &light);
	assert_int_equal(light, REQUESTS / 25);
	assert_int_equal(heavy, HEAVY_LOW);
	assert_true(cw_gate_room(fixture.gate, "llm", FIXTURE_NOW_MS + REQUESTS * 20) >= 1);
	fixture_close(&fixture);
}

/* What an instance has not seen itself must count: most of the heavy one's requests are elsewhere.
 */
static void test_demands_of_peers_count(void **state)
{
	struct cw_share_demand demands[] = {
		{.organisation = cw_hash_text("museo", 0), .weight = 1, .amount = 1000}};
	struct fixture fixture;
	int escalated = 0;

	open_with_two_organisations(&fixture);
	for (int i = 0; i < 20; i++) {
		int64_t now_ms = FIXTURE_NOW_MS + i * 100;

		for (uint64_t peer = 1; peer <= 12; peer++)
			cw_gate_merge_demands(fixture.gate, "llm", peer, demands, 1, now_ms);
		ask(&fixture, "key", 20, 7, now_ms);
		escalated += ask(&fixture, "other", 20, 7, now_ms + 50) == CW_STEP_SEND;
	}
	assert_true(escalated >= 18);
	fixture_close(&fixture);
}

static void test_a_message_comes_back_as_it_was(void **state)
{
	struct cw_gossip_shares message = {.sender = "e1", .service = "llm", .count = 2};
	struct cw_gossip_shares decoded;
	char bytes[1024];
	size_t size;

	message.demands[0] = (struct cw_share_demand){7, 2, 0.5F};
	message.demands[1] = (struct cw_share_demand){8, 1, 1e6F};
	size = cw_gossip_encode_shares(&message, bytes, sizeof(bytes));
	assert_true(size > 0 && size < 128);
	assert_int_equal(cw_gossip_decode_shares(bytes, size, &decoded), CW_OK);
	assert_memory_equal(&message, &decoded, sizeof(message));
	for (size_t cut = 0; cut < size; cut++)
		assert_int_not_equal(cw_gossip_decode_shares(bytes, cut, &decoded), CW_OK);
}

/* A weight or an amount that is no number must not spoil the shares of all. */
static void test_a_message_with_impossible_figures_is_rejected(void **state)
{
	static const float impossible[][2] = {
		{0, 1}, {-1, 1}, {G_MAXFLOAT * 2, 1}, {1, -1}, {1, G_MAXFLOAT * 2}};

	for (size_t i = 0; i < G_N_ELEMENTS(impossible); i++) {
		struct cw_gossip_shares message = {.sender = "e1", .service = "llm", .count = 1};
		char bytes[1024];
		size_t size;

		message.demands[0] =
			(struct cw_share_demand){7, impossible[i][0], impossible[i][1]};
		size = cw_gossip_encode_shares(&message, bytes, sizeof(bytes));
		assert_true(size == 0 || cw_gossip_decode_shares(bytes, size, &message) != CW_OK);
	}
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_an_organisation_that_asks_for_little_is_served_whole),
		cmocka_unit_test(test_full_slots_leave_room_for_those_that_ask_for_little),
		cmocka_unit_test(test_those_that_ask_for_little_go_first),
		cmocka_unit_test(test_with_room_for_all_shares_decide_nothing),
		cmocka_unit_test(test_demands_of_peers_count),
		cmocka_unit_test(test_a_message_comes_back_as_it_was),
		cmocka_unit_test(test_a_message_with_impossible_figures_is_rejected),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
