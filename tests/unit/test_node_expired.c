/* Instances on a restored log that holds no table: what it covered expired, its snapshot is lost.
 */
#include "unit.h"
#include "world.h"

#define NODES	     3
#define START_MS     3000
#define SETTLE_MS    8000
#define RETENTION_MS 20000

static struct world *open_world(void)
{
	static const char *const rows[] = {"a,m,1,100,1,,allowed", "a,m,2,10,1,,allowed", NULL};
	struct world_config config = {
		.nodes = NODES,
		.domains = 1,
		.servers = 2,
		.slots = 8,
		.seed = 7,
		.latency_ms = 1,
		.store_latency_ms = 2,
		.report_lag_ms = 50,
		.tick_ms = 25,
		.retention_ms = RETENTION_MS,
		.trace = g_getenv("TRACE") != NULL,
	};
	struct world *world;

	cw_node_set_defaults(&config.node);
	config.node.log_retention_ms = RETENTION_MS;
	world = world_create(&config);
	world_publish(world, rows);
	world_add_key(world, "a");
	for (int i = 0; i < NODES; i++)
		world_start(world, i);
	world_advance(world, START_MS);
	return world;
}

static void set_weight(struct world *world, const char *version, const char *weight)
{
	world_set_cell(world, "a", "m", version, "weight", weight);
}

static void assert_weights(struct world *world, int first, int second)
{
	for (int i = 0; i < NODES; i++) {
		const struct cw_table *table = cw_node_table(world_node(world, i)->node);

		assert_int_equal(cw_table_find_row(table, "a", "m", "1")->cell[CW_COLUMN_WEIGHT],
				 first);
		assert_int_equal(cw_table_find_row(table, "a", "m", "2")->cell[CW_COLUMN_WEIGHT],
				 second);
		assert_int_equal(cw_table_offset(table), world_log(world, CW_STREAM_TABLE)->len);
	}
}

/* Advances until one snapshot is the only record, and loses it. */
static void lose_the_only_snapshot(struct world *world)
{
	for (int i = 0; i < 4 * RETENTION_MS / 100; i++) {
		world_advance(world, 100);
		world_expire_records(world);
	}
	world_lose_records(world, CW_STREAM_TABLE, world_log(world, CW_STREAM_TABLE)->len);
}

/* Guards against edits that never come into force as all instances wait for a snapshot. */
static void an_edit_after_the_lost_snapshot_comes_into_force(void **state)
{
	struct world *world = open_world();

	set_weight(world, "2", "20");
	lose_the_only_snapshot(world);
	set_weight(world, "1", "60");
	world_advance(world, SETTLE_MS);
	assert_weights(world, 60, 20);
	set_weight(world, "2", "70");
	world_advance(world, SETTLE_MS);
	assert_weights(world, 60, 70);
	world_destroy(world);
}

/* Guards against an accepted edit that is gone with the instances that knew it. */
static void the_table_is_in_the_log_again_for_instances_that_start(void **state)
{
	struct world *world = open_world();

	set_weight(world, "2", "20");
	lose_the_only_snapshot(world);
	world_crash(world, 0);
	world_start(world, 0);
	set_weight(world, "1", "60");
	world_advance(world, SETTLE_MS);
	assert_weights(world, 60, 20);
	for (int i = 0; i < NODES; i++)
		world_crash(world, i);
	for (int i = 0; i < NODES; i++)
		world_start(world, i);
	world_advance(world, SETTLE_MS);
	assert_weights(world, 60, 20);
	world_destroy(world);
}

/* Guards against an earlier table of an instance that was cut off, written over a later one. */
static void an_instance_that_was_behind_reverts_no_edit(void **state)
{
	struct world *world = open_world();

	world_set_store_partition(world, 0, 1);
	world_set_message_faults(world, 1000, 0);
	set_weight(world, "2", "20");
	lose_the_only_snapshot(world);
	world_set_store_partition(world, 0, 0);
	set_weight(world, "1", "60");
	world_advance(world, SETTLE_MS);
	world_set_message_faults(world, 0, 0);
	world_advance(world, SETTLE_MS);
	assert_weights(world, 60, 20);
	world_destroy(world);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(an_edit_after_the_lost_snapshot_comes_into_force),
		cmocka_unit_test(the_table_is_in_the_log_again_for_instances_that_start),
		cmocka_unit_test(an_instance_that_was_behind_reverts_no_edit),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
