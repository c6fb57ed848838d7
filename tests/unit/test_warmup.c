/* Requests that all instances together send to one cold server, whichever peers they know. */
#include "cw_hash.h"
#include "cw_pool.h"
#include "members_bed.h"
#include "unit.h"

#include <glib.h>
#include <string.h>

#define NOW	      100000
#define INSTANCES     48
#define SERVER	      77
#define SEEDS	      200
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
			all += cw_warmup_quota(
				&rate,
				&(struct cw_warmup_place){.rank = rank, .instances = instances});
		assert_in_range(all, 8, 11);
	}
	assert_int_equal(cw_warmup_quota(&rate, &(struct cw_warmup_place){.instances = 0}), 0);
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

static void restart(struct members_node *node, struct cw_warmup *warmup, int64_t now_ms)
{
	members_restart(node, now_ms);
	memset(warmup, 0, sizeof(*warmup));
	cw_warmup_set_cold(warmup, SIMULATION_MS, now_ms);
}

/* Every instance sends whenever it may, as towards a server that looks idle. */
static void run_simulation(uint64_t seed)
{
	struct members members;
	struct cw_warmup warmups[INSTANCES];
	GArray *sent = g_array_new(FALSE, FALSE, sizeof(int64_t));
	int64_t partition_ms;
	int64_t heal_ms;
	size_t first = 0;

	members_open(&members, INSTANCES, seed);
	partition_ms = NOW + 3000 + (int64_t)(members_random(&members) % 2000);
	heal_ms = partition_ms + 500 + (int64_t)(members_random(&members) % 4000);
	for (int i = 0; i < INSTANCES; i++) {
		/* A partition with two sides, or with one side for each instance. */
		members.nodes[i].side = seed % 3 ? members_random(&members) % 4 == 0 : i;
		restart(&members.nodes[i], &warmups[i], NOW);
	}
	for (int64_t now_ms = NOW; now_ms < NOW + SIMULATION_MS; now_ms += STEP_MS) {
		members.is_partitioned = now_ms >= partition_ms && now_ms < heal_ms;
		if ((now_ms - NOW) % MEMBERS_GOSSIP_MS == 0)
			members_gossip(&members, now_ms);
		if (members_random(&members) % 100 == 0) {
			uint64_t which = members_random(&members) % INSTANCES;

			restart(&members.nodes[which], &warmups[which], now_ms);
		}
		/* With odd seeds, the instances behind the partition restart when the partition
		 * begins. */
		if (now_ms - partition_ms >= 0 && now_ms - partition_ms < STEP_MS && seed % 2)
			for (int i = 0; i < INSTANCES; i++)
				if (members.nodes[i].side)
					restart(&members.nodes[i], &warmups[i], now_ms);
		for (int i = 0; i < INSTANCES; i++) {
			struct cw_warmup *warmup = &warmups[i];

			if ((now_ms - NOW) % RANK_MS == 0)
				warmup->place.rank = cw_membership_stable_rank(
					members.nodes[i].membership, SERVER, now_ms,
					&warmup->place.instances);
			while (cw_warmup_admits(warmup, &rate, now_ms)) {
				cw_warmup_record_send(warmup, now_ms);
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
	members_close(&members);
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
