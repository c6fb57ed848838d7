/* Cold servers: how many requests all instances together send one, whatever they know of each
 * other. */
#include "cw_hash.h"
#include "cw_membership.h"
#include "cw_pool.h"
#include "unit.h"

#include <glib.h>
#include <string.h>

#define NOW	  100000
#define INSTANCES 48
#define SERVER	  77
#define SEEDS	  200
#define SILENT_MS 2000
#define KNOWN_MS  2000
#define ROUND_MS  150
#define STEP_MS	  10
#define PLACE_MS  1000
#define PLAY_MS	  9000

static const struct cw_warmup_rate rate = {.per_s = 12, .factor = 1.5, .slack = 5};

static void a_cold_server_gets_its_quota_and_no_more(void **state)
{
	struct cw_warmup warmup = {.place = {.rank = 0, .instances = 20}};
	unsigned int sent = 0;

	cw_warmup_told(&warmup, 3000, NOW);
	for (int64_t now_ms = NOW; now_ms < NOW + 1000; now_ms++)
		if (cw_warmup_admits(&warmup, &rate, now_ms)) {
			cw_warmup_sent(&warmup, now_ms);
			sent++;
		}
	assert_int_equal(sent, cw_warmup_quota(&rate, &warmup.place));
	assert_true(cw_warmup_wait_ms(&warmup, &rate, NOW + 999) > 0);
	assert_true(cw_warmup_admits(&warmup, &rate, NOW + 3000));
}

static void the_instances_of_one_side_stay_below_half_of_the_bound(void **state)
{
	for (size_t instances = 1; instances < 300; instances++) {
		unsigned int all = 0;

		for (size_t rank = 0; rank < instances; rank++)
			all += cw_warmup_quota(&rate, &(struct cw_warmup_place){rank, instances});
		assert_in_range(all, 8, 11);
	}
	assert_int_equal(cw_warmup_quota(&rate, &(struct cw_warmup_place){0, 0}), 0);
}

/* Told to be warm before it went away: that word is of an earlier start. */
static void a_server_that_was_away_is_cold_until_it_says_otherwise(void **state)
{
	struct cw_warmup warmup = {.place = {.rank = 9, .instances = 20}};

	cw_warmup_told(&warmup, 0, NOW);
	assert_true(cw_warmup_admits(&warmup, &rate, NOW));
	cw_warmup_away(&warmup, NOW);
	assert_false(cw_warmup_admits(&warmup, &rate, NOW + 1));
	cw_warmup_told(&warmup, 2500, NOW + 800);
	assert_false(cw_warmup_admits(&warmup, &rate, NOW + 3200));
	assert_true(cw_warmup_admits(&warmup, &rate, NOW + 3300));
}

struct node {
	struct cw_membership *membership;
	struct cw_warmup warmup;
	char name[CW_NAME_MAX];
	int side; /* of the cut */
};

struct play {
	struct node nodes[INSTANCES];
	uint64_t random;
	int is_cut;
};

static uint64_t draw(struct play *play)
{
	play->random ^= play->random >> 12;
	play->random ^= play->random << 25;
	play->random ^= play->random >> 27;
	return play->random * 0x2545f4914f6cdd1dULL;
}

static void start(struct node *node, int64_t now_ms)
{
	cw_membership_destroy(node->membership);
	node->membership = cw_membership_create(node->name, "d1", SILENT_MS);
	cw_membership_settle(node->membership, now_ms, KNOWN_MS, 0);
	memset(&node->warmup, 0, sizeof(node->warmup));
	cw_warmup_told(&node->warmup, PLAY_MS, now_ms);
}

/* Each tells a few others of itself and of some that it knows. */
static void gossip(struct play *play, int64_t now_ms)
{
	for (int i = 0; i < INSTANCES; i++)
		for (int k = 0; k < 8; k++) {
			struct node *from = &play->nodes[i];
			struct node *to = &play->nodes[draw(play) % INSTANCES];
			struct cw_member *others[5];
			struct cw_member *member;
			size_t count;

			if (from == to || (play->is_cut && from->side != to->side))
				continue;
			member = cw_membership_learn(to->membership, from->name, "d1", "a");
			cw_membership_heard(member, 1, 0, now_ms);
			count = cw_membership_sample(from->membership, draw(play), others, 5);
			for (size_t m = 0; m < count; m++) {
				member = cw_membership_learn(to->membership, others[m]->instance,
							     "d1", "a");
				if (member)
					member->heard_ms =
						MAX(member->heard_ms, others[m]->heard_ms);
			}
		}
}

/* Every instance sends whenever it may: the rush to a server that looks empty. */
static void play_once(uint64_t seed)
{
	struct play play = {.random = seed * 2 + 1};
	GArray *sent = g_array_new(FALSE, FALSE, sizeof(int64_t));
	int64_t cut_ms = NOW + 3000 + (int64_t)(draw(&play) % 2000);
	int64_t heal_ms = cut_ms + 500 + (int64_t)(draw(&play) % 4000);
	size_t first = 0;

	for (int i = 0; i < INSTANCES; i++) {
		struct node *node = &play.nodes[i];

		g_snprintf(node->name, sizeof(node->name), "e%d-%lu", i, (unsigned long)seed);
		/* One side, or each instance by itself. */
		node->side = seed % 3 ? draw(&play) % 4 == 0 : i;
		start(node, NOW);
	}
	for (int64_t now_ms = NOW; now_ms < NOW + PLAY_MS; now_ms += STEP_MS) {
		play.is_cut = now_ms >= cut_ms && now_ms < heal_ms;
		if ((now_ms - NOW) % ROUND_MS == 0)
			gossip(&play, now_ms);
		if ((now_ms - NOW) % ROUND_MS == 0)
			for (int i = 0; i < INSTANCES; i++)
				cw_membership_forget(play.nodes[i].membership, now_ms, 60000);
		if (draw(&play) % 100 == 0)
			start(&play.nodes[draw(&play) % INSTANCES], now_ms);
		/* In some plays those that are cut off start again behind the cut. */
		if (now_ms - cut_ms >= 0 && now_ms - cut_ms < STEP_MS && seed % 2)
			for (int i = 0; i < INSTANCES; i++)
				if (play.nodes[i].side)
					start(&play.nodes[i], now_ms);
		for (int i = 0; i < INSTANCES; i++) {
			struct node *node = &play.nodes[i];

			if ((now_ms - NOW) % PLACE_MS == 0)
				node->warmup.place.rank =
					cw_membership_place(node->membership, SERVER, now_ms,
							    &node->warmup.place.instances);
			while (cw_warmup_admits(&node->warmup, &rate, now_ms)) {
				cw_warmup_sent(&node->warmup, now_ms);
				g_array_append_val(sent, now_ms);
			}
		}
		while (first < sent->len && g_array_index(sent, int64_t, first) <= now_ms - 1000)
			first++;
		if (sent->len - first > rate.per_s * rate.factor + rate.slack)
			print_message("seed %lu at %ld ms: %zu sent\n", (unsigned long)seed,
				      (long)(now_ms - NOW), sent->len - first);
		assert_true(sent->len - first <= rate.per_s * rate.factor + rate.slack);
	}
	assert_true(sent->len > 0);
	g_array_free(sent, TRUE);
	for (int i = 0; i < INSTANCES; i++)
		cw_membership_destroy(play.nodes[i].membership);
}

/* Cuts, restarts, views that differ: no second sees more than the server bears. */
static void the_sum_of_all_instances_stays_in_bound(void **state)
{
	for (uint64_t seed = 1; seed <= SEEDS; seed++)
		play_once(seed);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(a_cold_server_gets_its_quota_and_no_more),
		cmocka_unit_test(the_instances_of_one_side_stay_below_half_of_the_bound),
		cmocka_unit_test(a_server_that_was_away_is_cold_until_it_says_otherwise),
		cmocka_unit_test(the_sum_of_all_instances_stays_in_bound),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
