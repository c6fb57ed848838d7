/* Requests that all instances together send to one cold server, whichever peers they know. */
#include "cw_hash.h"
#include "cw_membership.h"
#include "cw_pool.h"
#include "unit.h"

#include <glib.h>
#include <string.h>

#define NOW	      100000
#define INSTANCES     48
#define SERVER	      77
#define SEEDS	      200
#define SILENT_MS     2000
#define KNOWN_MS      2000
#define GOSSIP_MS     150
#define STEP_MS	      10
#define RANK_MS	      1000
#define SIMULATION_MS 9000

static const struct cw_warmup_rate rate = {.per_s = 12, .factor = 1.5, .slack = 5};

static void a_cold_server_gets_exactly_its_quota(void **state)
{
	struct cw_warmup warmup = {.place = {.rank = 0, .instances = 20}};
	unsigned int sent = 0;

	cw_warmup_set_cold(&warmup, 3000, NOW);
	for (int64_t now_ms = NOW; now_ms < NOW + 1000; now_ms++)
		if (cw_warmup_admits(&warmup, &rate, now_ms)) {
			cw_warmup_record_send(&warmup, now_ms);
			sent++;
		}
	assert_int_equal(sent, cw_warmup_quota(&rate, &warmup.place));
	assert_true(cw_warmup_wait_ms(&warmup, &rate, NOW + 999) > 0);
	assert_true(cw_warmup_admits(&warmup, &rate, NOW + 3000));
}

static void the_quotas_of_one_partition_side_sum_to_at_most_half_the_burst(void **state)
{
	for (size_t instances = 1; instances < 300; instances++) {
		unsigned int all = 0;

		for (size_t rank = 0; rank < instances; rank++)
			all += cw_warmup_quota(&rate, &(struct cw_warmup_place){rank, instances});
		assert_in_range(all, 8, 11);
	}
	assert_int_equal(cw_warmup_quota(&rate, &(struct cw_warmup_place){0, 0}), 0);
}

/* The last report before a server was unreachable may come from an earlier start. */
static void a_server_that_was_unreachable_counts_as_cold(void **state)
{
	struct cw_warmup warmup = {.place = {.rank = 9, .instances = 20}};

	cw_warmup_set_cold(&warmup, 0, NOW);
	assert_true(cw_warmup_admits(&warmup, &rate, NOW));
	cw_warmup_assume_cold(&warmup, NOW);
	assert_false(cw_warmup_admits(&warmup, &rate, NOW + 1));
	cw_warmup_set_cold(&warmup, 2500, NOW + 800);
	assert_false(cw_warmup_admits(&warmup, &rate, NOW + 3200));
	assert_true(cw_warmup_admits(&warmup, &rate, NOW + 3300));
}

struct node {
	struct cw_membership *membership;
	struct cw_warmup warmup;
	char name[CW_NAME_MAX];
	int side; /* of the network partition */
};

struct simulation {
	struct node nodes[INSTANCES];
	uint64_t random;
	int is_partitioned;
};

static uint64_t next_random(struct simulation *simulation)
{
	simulation->random ^= simulation->random >> 12;
	simulation->random ^= simulation->random << 25;
	simulation->random ^= simulation->random >> 27;
	return simulation->random * 0x2545f4914f6cdd1dULL;
}

static void restart(struct node *node, int64_t now_ms)
{
	cw_membership_destroy(node->membership);
	node->membership = cw_membership_create(node->name, "d1", SILENT_MS);
	cw_membership_start_settling(node->membership, now_ms, KNOWN_MS, 0);
	memset(&node->warmup, 0, sizeof(node->warmup));
	cw_warmup_set_cold(&node->warmup, SIMULATION_MS, now_ms);
}

/* Each instance announces itself and some known members to a few others. */
static void gossip(struct simulation *simulation, int64_t now_ms)
{
	for (int i = 0; i < INSTANCES; i++)
		for (int k = 0; k < 8; k++) {
			struct node *from = &simulation->nodes[i];
			struct node *to = &simulation->nodes[next_random(simulation) % INSTANCES];
			struct cw_member *others[5];
			struct cw_member *member;
			size_t count;

			if (from == to || (simulation->is_partitioned && from->side != to->side))
				continue;
			member = cw_membership_upsert(to->membership, from->name, "d1", "a");
			cw_membership_mark_seen(member, 1, 0, now_ms);
			count = cw_membership_sample(from->membership, next_random(simulation),
						     others, 5);
			for (size_t m = 0; m < count; m++) {
				member = cw_membership_upsert(to->membership, others[m]->instance,
							      "d1", "a");
				if (member)
					member->last_seen_ms =
						MAX(member->last_seen_ms, others[m]->last_seen_ms);
			}
		}
}

/* Every instance sends whenever it may, as towards a server that looks idle. */
static void run_simulation(uint64_t seed)
{
	struct simulation simulation = {.random = seed * 2 + 1};
	GArray *sent = g_array_new(FALSE, FALSE, sizeof(int64_t));
	int64_t partition_ms = NOW + 3000 + (int64_t)(next_random(&simulation) % 2000);
	int64_t heal_ms = partition_ms + 500 + (int64_t)(next_random(&simulation) % 4000);
	size_t first = 0;

	for (int i = 0; i < INSTANCES; i++) {
		struct node *node = &simulation.nodes[i];

		g_snprintf(node->name, sizeof(node->name), "e%d-%lu", i, (unsigned long)seed);
		/* A partition with two sides, or with one side for each instance. */
		node->side = seed % 3 ? next_random(&simulation) % 4 == 0 : i;
		restart(node, NOW);
	}
	for (int64_t now_ms = NOW; now_ms < NOW + SIMULATION_MS; now_ms += STEP_MS) {
		simulation.is_partitioned = now_ms >= partition_ms && now_ms < heal_ms;
		if ((now_ms - NOW) % GOSSIP_MS == 0)
			gossip(&simulation, now_ms);
		if ((now_ms - NOW) % GOSSIP_MS == 0)
			for (int i = 0; i < INSTANCES; i++)
				cw_membership_remove_stale(simulation.nodes[i].membership, now_ms,
							   60000);
		if (next_random(&simulation) % 100 == 0)
			restart(&simulation.nodes[next_random(&simulation) % INSTANCES], now_ms);
		/* With odd seeds, the instances behind the partition restart when the partition
		 * begins. */
		if (now_ms - partition_ms >= 0 && now_ms - partition_ms < STEP_MS && seed % 2)
			for (int i = 0; i < INSTANCES; i++)
				if (simulation.nodes[i].side)
					restart(&simulation.nodes[i], now_ms);
		for (int i = 0; i < INSTANCES; i++) {
			struct node *node = &simulation.nodes[i];

			if ((now_ms - NOW) % RANK_MS == 0)
				node->warmup.place.rank =
					cw_membership_stable_rank(node->membership, SERVER, now_ms,
								  &node->warmup.place.instances);
			while (cw_warmup_admits(&node->warmup, &rate, now_ms)) {
				cw_warmup_record_send(&node->warmup, now_ms);
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
		cw_membership_destroy(simulation.nodes[i].membership);
}

/* With partitions, restarts and differing member lists, no second exceeds the server's limit. */
static void all_instances_together_stay_within_the_burst(void **state)
{
	for (uint64_t seed = 1; seed <= SEEDS; seed++)
		run_simulation(seed);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(a_cold_server_gets_exactly_its_quota),
		cmocka_unit_test(the_quotas_of_one_partition_side_sum_to_at_most_half_the_burst),
		cmocka_unit_test(a_server_that_was_unreachable_counts_as_cold),
		cmocka_unit_test(all_instances_together_stay_within_the_burst),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
