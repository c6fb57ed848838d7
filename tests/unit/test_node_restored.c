/* Instances whose platform comes back from an older copy of its log, on the own interface. */
#include "unit.h"
#include "world.h"

#include <string.h>

#define NODES	    2
#define NOTICE_MS   2000 /* until every connected instance has noticed that the log is shorter */
#define SETTLE_MS   6000 /* until what was lost is in the log again */
#define START_MS    4000
#define ORDER_COUNT 10

static struct world *open_world(void)
{
	static const char *const rows[] = {"a,m,1,100,1,,allowed", "a,m,2,0,1,,allowed",
					   "a,service:orders,,,,,allowed", NULL};
	struct world_profile profile = {.model = "m",
					.quality = 0.9,
					.slowdown = 1,
					.cost_per_1k = 1,
					.first_ms = 20,
					.token_ms = 1,
					.degraded_from_ms = -1};
	struct world_config config = {
		.nodes = NODES,
		.domains = 1,
		.servers = 2,
		.services = 2,
		.slots = 8,
		.seed = 7,
		.latency_ms = 1,
		.store_latency_ms = 2,
		.report_lag_ms = 50,
		.tick_ms = 25,
		.trace = g_getenv("TRACE") != NULL,
	};
	struct world *world;

	cw_node_set_defaults(&config.node);
	world = world_create(&config);
	for (int version = 1; version <= 2; version++) {
		g_snprintf(profile.version, CW_NAME_MAX, "%d", version);
		world_profile(world, &profile);
	}
	world_load_on_all_servers(world, "m", "1");
	world_publish(world, rows);
	world_add_key(world, "a");
	for (int i = 0; i < NODES; i++)
		world_start(world, i);
	world_advance(world, START_MS);
	return world;
}

static void restart(struct world *world, int node)
{
	world_crash(world, node);
	world_start(world, node);
	world_advance(world, START_MS);
}

static void restart_all_at_once(struct world *world)
{
	for (int i = 0; i < NODES; i++)
		world_crash(world, i);
	for (int i = 0; i < NODES; i++)
		world_start(world, i);
	world_advance(world, START_MS);
}

static size_t count_records(struct world *world, enum cw_stream stream)
{
	return world_log(world, stream)->len;
}

/* The weight of m/2 that a node has in force. */
static int weight_at(struct world *world, int node)
{
	const struct cw_row *row =
		cw_table_find_row(cw_node_table(world_node(world, node)->node), "a", "m", "2");

	return (int)row->cell[CW_COLUMN_WEIGHT];
}

static void set_weight(struct world *world, const char *weight)
{
	world_set_cell(world, "a", "m", "2", "weight", weight);
}

static void send_chat(struct world *world, int node)
{
	struct cw_node_request in;

	world_request_init(&in, "a", "m", CW_REQUEST_IDEMPOTENT);
	in.deadline_ms = world_now(world) + 5000;
	world_send(world, node, &in, 10);
	world_advance(world, 50);
}

static void send_chats(struct world *world, int node, int count)
{
	for (int i = 0; i < count; i++)
		send_chat(world, node);
	world_advance(world, 1000);
}

static struct world_request *send_order(struct world *world, int node, int key)
{
	struct cw_node_request in;

	world_request_init(&in, "a", "orders", CW_REQUEST_SERVICE);
	g_snprintf(in.idempotency_key, CW_ID_MAX, "k%d", key);
	in.deadline_ms = world_now(world) + 5000;
	return world_send(world, node, &in, 0);
}

static size_t count_in_log(struct world *world, const char *id)
{
	const GPtrArray *log = world_log(world, CW_STREAM_BILLS);
	char *wanted = g_strdup_printf("\"bill\":\"%s\"", id);
	size_t count = 0;

	for (guint i = 0; i < log->len; i++) {
		const struct world_record *record = g_ptr_array_index(log, i);

		count += strstr(record->data, wanted) != NULL;
	}
	g_free(wanted);
	return count;
}

/* Every released answer has one bill in the log. */
static void assert_billed_once(struct world *world)
{
	const GPtrArray *requests = world_requests(world);

	for (guint i = 0; i < requests->len; i++) {
		const struct world_request *request = g_ptr_array_index(requests, i);

		assert_int_equal(request->end, CW_EFFECT_RELEASE);
		assert_int_equal(count_in_log(world, request->in.request_id), 1);
	}
}

/* Sends orders in series, loses their newest claims, and returns when the loss can be noticed. */
static void lose_claims_of_orders(struct world *world, size_t lost)
{
	for (int key = 0; key < ORDER_COUNT; key++) {
		send_order(world, key % NODES, key);
		world_advance(world, 200);
	}
	world_lose_records(world, CW_STREAM_CLAIMS, lost);
}

/* Sends every order again and returns how many ran more than once. */
static int repeat_orders(struct world *world)
{
	struct world_request *repeats[ORDER_COUNT];
	int twice = 0;

	for (int key = 0; key < ORDER_COUNT; key++)
		repeats[key] = send_order(world, (key + 1) % NODES, key);
	world_advance(world, 8000);
	for (int key = 0; key < ORDER_COUNT; key++) {
		const struct world_request *first = g_ptr_array_index(world_requests(world), key);

		twice += first->runs + repeats[key]->runs > 1;
	}
	return twice;
}

/* Guards against an order that runs twice since the claim of its key was lost with the log. */
static void an_order_whose_claim_was_lost_runs_once_after_replacements(void **state)
{
	struct world *world = open_world();

	lose_claims_of_orders(world, 6);
	world_advance(world, 5000);
	restart(world, 0);
	restart(world, 1);
	assert_int_equal(repeat_orders(world), 0);
	world_destroy(world);
}

/* Guards against a lost claim that is noticed only while the log is shorter than before. */
static void a_claim_stays_known_where_the_log_grew_past_its_offset(void **state)
{
	struct world *world = open_world();

	lose_claims_of_orders(world, 6);
	for (int i = 0; i < 8; i++)
		world_append(world, CW_STREAM_CLAIMS, "{\"claims\":[]}");
	world_advance(world, 5000);
	restart(world, 0);
	restart(world, 1);
	assert_int_equal(repeat_orders(world), 0);
	world_destroy(world);
}

/* Guards against an instance that starts on the shorter log and runs a known order again. */
static void an_instance_that_starts_on_the_shorter_log_runs_no_known_order(void **state)
{
	struct world *world = open_world();

	lose_claims_of_orders(world, 6);
	world_crash(world, 0);
	world_start(world, 0);
	world_advance(world, 500);
	assert_int_equal(repeat_orders(world), 0);
	world_destroy(world);
}

/* Guards against a lost release: the key of an order that did not run stays claimed for ever. */
static void a_lost_release_frees_its_key_again(void **state)
{
	struct world *world = open_world();
	struct world_request *repeat;

	for (int i = 0; i < 4; i++)
		world_server(world, i)->down = 1;
	send_order(world, 0, 1);
	world_advance(world, 3000);
	world_lose_records(world, CW_STREAM_CLAIMS, 1);
	for (int i = 0; i < 4; i++)
		world_server(world, i)->down = 0;
	world_advance(world, SETTLE_MS);
	restart_all_at_once(world);
	repeat = send_order(world, 1, 1);
	world_advance(world, 3000);
	assert_int_equal(repeat->runs, 1);
	world_destroy(world);
}

/* Guards against a claim that holds its key here, while the lost release frees it elsewhere later.
 */
static void no_claim_is_used_while_a_release_is_missing(void **state)
{
	struct world *world = open_world();
	const struct world_request *first;
	const struct world_request *second;

	for (int i = 0; i < 4; i++)
		world_server(world, i)->down = 1;
	send_order(world, 0, 1);
	world_advance(world, 3000);
	for (int i = 0; i < 4; i++)
		world_server(world, i)->down = 0;
	world_lose_records(world, CW_STREAM_CLAIMS, 1);
	world_append(world, CW_STREAM_CLAIMS, "{\"claims\":[]}");
	world_crash(world, 1);
	world_start(world, 1);
	first = send_order(world, 0, 1);
	world_advance(world, START_MS);
	second = send_order(world, 1, 1);
	world_advance(world, START_MS);
	assert_int_equal(first->runs + second->runs, 1);
	world_destroy(world);
}

/* Guards against orders that are rejected as a peer can't notice the loss. */
static void a_peer_without_the_platform_blocks_no_order(void **state)
{
	struct world *world = open_world();
	const struct world_request *order;

	lose_claims_of_orders(world, 0);
	world_set_store_partition(world, 1, 1);
	world_lose_records(world, CW_STREAM_CLAIMS, 10);
	world_advance(world, NOTICE_MS);
	order = send_order(world, 0, ORDER_COUNT);
	world_advance(world, 1000);
	assert_int_equal(order->runs, 1);
	world_destroy(world);
}

/* Guards against an accepted edit that reverts when all instances are replaced. */
static void an_accepted_edit_that_was_lost_holds_after_all_are_replaced(void **state)
{
	struct world *world = open_world();

	set_weight(world, "30");
	world_advance(world, 2000);
	world_lose_records(world, CW_STREAM_TABLE, 1);
	world_advance(world, SETTLE_MS);
	restart_all_at_once(world);
	for (int i = 0; i < NODES; i++)
		assert_int_equal(weight_at(world, i), 30);
	world_destroy(world);
}

/* Guards against an edit that is skipped since a lost one had its offset. */
static void the_edit_after_a_lost_one_is_in_force_within_seconds(void **state)
{
	struct world *world = open_world();

	set_weight(world, "30");
	world_advance(world, 2000);
	world_lose_records(world, CW_STREAM_TABLE, 1);
	set_weight(world, "60");
	world_advance(world, NOTICE_MS);
	for (int i = 0; i < NODES; i++)
		assert_int_equal(weight_at(world, i), 60);
	world_advance(world, SETTLE_MS);
	restart_all_at_once(world);
	for (int i = 0; i < NODES; i++)
		assert_int_equal(weight_at(world, i), 60);
	world_destroy(world);
}

/* Guards against an instance that keeps the table of the lost log as long as it reads no platform.
 */
static void an_instance_without_the_platform_follows_the_restored_log(void **state)
{
	struct world *world = open_world();

	set_weight(world, "30");
	world_advance(world, 2000);
	world_set_store_partition(world, 1, 1);
	world_advance(world, 3000);
	world_lose_records(world, CW_STREAM_TABLE, 1);
	set_weight(world, "60");
	world_advance(world, NOTICE_MS + 2000);
	for (int i = 0; i < NODES; i++)
		assert_int_equal(weight_at(world, i), 60);
	world_destroy(world);
}

/* Guards against bills that are gone with the log, and against bills that are written twice. */
static void lost_bills_are_back_in_the_log_once(void **state)
{
	struct world *world = open_world();

	send_chats(world, 0, 10);
	send_chats(world, 1, 10);
	world_lose_records(world, CW_STREAM_BILLS, count_records(world, CW_STREAM_BILLS) / 2);
	world_advance(world, SETTLE_MS);
	assert_billed_once(world);
	world_destroy(world);
}

/* Guards against instances that reject all requests while the log holds no table. */
static void instances_stay_ready_when_the_whole_table_is_lost(void **state)
{
	struct world *world = open_world();

	set_weight(world, "30");
	world_advance(world, 2000);
	world_lose_records(world, CW_STREAM_TABLE, count_records(world, CW_STREAM_TABLE));
	for (int i = 0; i < SETTLE_MS; i++) {
		world_advance(world, 1);
		assert_true(cw_node_is_ready(world_node(world, 0)->node));
		assert_true(cw_node_is_ready(world_node(world, 1)->node));
	}
	restart_all_at_once(world);
	for (int i = 0; i < NODES; i++)
		assert_int_equal(weight_at(world, i), 30);
	send_chats(world, 0, 3);
	assert_billed_once(world);
	world_destroy(world);
}

/* Guards against lost bills that stay unnoticed under traffic. */
static void lost_bills_are_back_where_the_log_grew_past_their_offsets(void **state)
{
	struct world *world = open_world();

	send_chats(world, 0, 10);
	send_chats(world, 1, 10);
	world_lose_records(world, CW_STREAM_BILLS, 2);
	send_chats(world, 0, 40);
	send_chats(world, 1, 40);
	world_advance(world, SETTLE_MS);
	assert_billed_once(world);
	world_destroy(world);
}

/* Guards against a lost record between two that are intact. */
static void a_lost_bill_is_back_whatever_is_written_around_it(void **state)
{
	for (int before = 10; before < 40; before++) {
		struct world *world = open_world();

		for (int i = 0; i < 2 * before; i++) {
			send_chat(world, 0);
			if (i != before)
				continue;
			world_lose_records(world, CW_STREAM_BILLS, 1);
			for (int j = 0; j < 3; j++)
				world_append(world, CW_STREAM_BILLS, "{\"bills\":[]}");
		}
		world_advance(world, SETTLE_MS);
		assert_billed_once(world);
		world_destroy(world);
	}
}

/* Guards against lost bills of an instance that is gone. */
static void lost_bills_of_an_instance_that_is_gone_are_back(void **state)
{
	struct world *world = open_world();

	send_chats(world, 0, 10);
	world_advance(world, 2000);
	world_crash(world, 0);
	world_lose_records(world, CW_STREAM_BILLS, 3);
	world_advance(world, 4 * SETTLE_MS);
	assert_billed_once(world);
	world_destroy(world);
}

/* Guards against bills that are lost again after they were written again. */
static void bills_that_are_lost_twice_are_back(void **state)
{
	struct world *world = open_world();

	send_chats(world, 0, 10);
	for (int i = 0; i < 2; i++) {
		world_lose_records(world, CW_STREAM_BILLS, count_records(world, CW_STREAM_BILLS));
		world_advance(world, SETTLE_MS);
	}
	assert_billed_once(world);
	world_destroy(world);
}

/* Guards against a fencing number that falls with the log: engines would refuse every later order.
 */
static void fencing_numbers_rise_over_a_loss_of_the_notices(void **state)
{
	struct world *world = open_world();
	int64_t before;

	world_load_on_all_servers(world, "m", "1");
	set_weight(world, "30");
	world_advance(world, 8000);
	before = MAX(world_server(world, 0)->fencing, world_server(world, 1)->fencing);
	assert_true(before > 0);
	world_lose_records(world, CW_STREAM_NOTICES, count_records(world, CW_STREAM_NOTICES));
	world_advance(world, NOTICE_MS);
	restart_all_at_once(world);
	world_set_cell(world, "a", "m", "3", "weight", "5");
	world_set_cell(world, "a", "m", "3", "state", "allowed");
	world_advance(world, 30000);
	assert_true(MAX(world_server(world, 0)->fencing, world_server(world, 1)->fencing) > before);
	world_destroy(world);
}

/* Guards against a loss that is noticed only by an instance that reads the log at that time. */
static void a_loss_during_an_outage_is_made_good(void **state)
{
	struct world *world = open_world();

	send_chats(world, 0, 10);
	set_weight(world, "30");
	world_advance(world, 2000);
	world_set_outage(world, 1);
	world_advance(world, 3000);
	world_lose_records(world, CW_STREAM_BILLS, count_records(world, CW_STREAM_BILLS));
	world_lose_records(world, CW_STREAM_TABLE, 1);
	world_set_outage(world, 0);
	set_weight(world, "60");
	world_advance(world, SETTLE_MS);
	assert_billed_once(world);
	restart_all_at_once(world);
	for (int i = 0; i < NODES; i++)
		assert_int_equal(weight_at(world, i), 60);
	world_destroy(world);
}

/* Guards against bills that are forgotten, or written twice, as the restore takes minutes. */
static void bills_are_back_once_after_an_outage_longer_than_the_window(void **state)
{
	struct world *world = open_world();

	send_chats(world, 0, 10);
	world_advance(world, 180000);
	send_chats(world, 0, 10);
	world_advance(world, 2000);
	world_set_outage(world, 1);
	world_advance(world, 180000);
	world_lose_records(world, CW_STREAM_BILLS, 1);
	world_set_outage(world, 0);
	world_advance(world, SETTLE_MS);
	assert_billed_once(world);
	world_destroy(world);
}

/* Guards against what was written again and is lost again. */
static void edits_and_claims_that_are_lost_twice_hold(void **state)
{
	struct world *world = open_world();

	lose_claims_of_orders(world, 6);
	set_weight(world, "30");
	world_advance(world, 2000);
	for (int i = 0; i < 2; i++) {
		world_lose_records(world, CW_STREAM_TABLE, 1);
		world_lose_records(world, CW_STREAM_CLAIMS, 6);
		world_advance(world, SETTLE_MS);
	}
	restart_all_at_once(world);
	for (int i = 0; i < NODES; i++)
		assert_int_equal(weight_at(world, i), 30);
	assert_int_equal(repeat_orders(world), 0);
	world_destroy(world);
}

/* Guards against a record that is written twice since the answer to its append was lost, too. */
static void bills_are_back_once_where_answers_to_appends_are_lost(void **state)
{
	struct world *world = open_world();

	send_chats(world, 0, 10);
	world_lose_records(world, CW_STREAM_BILLS, count_records(world, CW_STREAM_BILLS));
	world_lose_append_answers(world, 3, 0);
	world_advance(world, 2 * SETTLE_MS);
	assert_billed_once(world);
	world_destroy(world);
}

/* Guards against partitioned instances that write the same bills or edits twice. */
static void instances_that_are_partitioned_agree_on_the_restored_log(void **state)
{
	struct world *world = open_world();

	send_chats(world, 0, 5);
	send_chats(world, 1, 5);
	set_weight(world, "30");
	world_advance(world, 2000);
	world_set_message_faults(world, 1000, 0);
	world_lose_records(world, CW_STREAM_BILLS, count_records(world, CW_STREAM_BILLS));
	world_lose_records(world, CW_STREAM_TABLE, 1);
	world_advance(world, 3000);
	set_weight(world, "60");
	world_advance(world, 1000);
	world_set_message_faults(world, 0, 0);
	world_advance(world, SETTLE_MS);
	assert_billed_once(world);
	for (int i = 0; i < NODES; i++)
		assert_int_equal(weight_at(world, i), 60);
	world_destroy(world);
}

/* Guards against a condition that is judged by what an operator can't see in the log. */
static void a_condition_is_judged_by_the_revision_in_the_log(void **state)
{
	struct world *world = open_world();
	uint64_t revision;

	set_weight(world, "30");
	world_advance(world, 2000);
	world_lose_records(world, CW_STREAM_TABLE, 1);
	revision = cw_table_find_row(cw_node_table(world_node(world, 0)->node), "a", "m", "1")
			   ->revision[CW_COLUMN_WEIGHT];
	world_append(world, CW_STREAM_TABLE, EDIT("seen", CELL_IF("a", "2", "weight", "60", "1")));
	assert_int_equal(revision, 1);
	world_advance(world, NOTICE_MS);
	for (int i = 0; i < NODES; i++)
		assert_int_equal(weight_at(world, i), 60);
	world_destroy(world);
}

/* Guards against a session that is rejected until the table has grown past its lost offset. */
static void a_session_of_the_lost_log_is_served(void **state)
{
	struct world *world = open_world();
	struct world_request *request;
	struct cw_node_request in;
	char token[CW_TOKEN_MAX];

	for (int i = 0; i < 5; i++)
		set_weight(world, "30");
	world_advance(world, 2000);
	world_request_init(&in, "a", "m", CW_REQUEST_IDEMPOTENT);
	g_strlcpy(in.session_id, "s", CW_ID_MAX);
	in.deadline_ms = world_now(world) + 5000;
	request = world_send(world, 0, &in, 5);
	world_advance(world, 1000);
	g_strlcpy(token, request->session_token, CW_TOKEN_MAX);
	world_lose_records(world, CW_STREAM_TABLE, 5);
	world_set_cell(world, "a", "m", "1", "state", "withdrawn");
	world_set_cell(world, "a", "m", "2", "weight", "50");
	world_advance(world, SETTLE_MS);
	restart_all_at_once(world);
	world_request_init(&in, "a", "m", CW_REQUEST_IDEMPOTENT);
	g_strlcpy(in.session_id, "s", CW_ID_MAX);
	g_strlcpy(in.session_token, token, CW_TOKEN_MAX);
	in.deadline_ms = world_now(world) + 5000;
	request = world_send(world, 1, &in, 5);
	world_advance(world, 5000);
	assert_int_equal(request->end, CW_EFFECT_RELEASE);
	assert_string_equal(request->version, "2");
	world_destroy(world);
}

/* Guards against a large record that every instance reads again every second. */
static void a_large_last_record_is_read_again_at_a_bounded_rate(void **state)
{
	struct world *world = open_world();
	char *padding = g_strnfill(400000, 'x');
	char *record = g_strdup_printf("{\"snapshot\":{},\"padding\":\"%s\"}", padding);
	uint64_t before;

	world_append(world, CW_STREAM_TABLE, record);
	world_advance(world, 1000);
	before = world_node(world, 0)->read_bytes;
	world_advance(world, 20000);
	assert_true(world_node(world, 0)->read_bytes - before <= 20 * 65536 + strlen(record));
	set_weight(world, "60");
	world_advance(world, NOTICE_MS);
	assert_int_equal(weight_at(world, 0), 60);
	g_free(record);
	g_free(padding);
	world_destroy(world);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(an_order_whose_claim_was_lost_runs_once_after_replacements),
		cmocka_unit_test(a_claim_stays_known_where_the_log_grew_past_its_offset),
		cmocka_unit_test(an_instance_that_starts_on_the_shorter_log_runs_no_known_order),
		cmocka_unit_test(a_lost_release_frees_its_key_again),
		cmocka_unit_test(no_claim_is_used_while_a_release_is_missing),
		cmocka_unit_test(a_peer_without_the_platform_blocks_no_order),
		cmocka_unit_test(an_accepted_edit_that_was_lost_holds_after_all_are_replaced),
		cmocka_unit_test(the_edit_after_a_lost_one_is_in_force_within_seconds),
		cmocka_unit_test(an_instance_without_the_platform_follows_the_restored_log),
		cmocka_unit_test(instances_stay_ready_when_the_whole_table_is_lost),
		cmocka_unit_test(lost_bills_are_back_in_the_log_once),
		cmocka_unit_test(lost_bills_are_back_where_the_log_grew_past_their_offsets),
		cmocka_unit_test(a_lost_bill_is_back_whatever_is_written_around_it),
		cmocka_unit_test(lost_bills_of_an_instance_that_is_gone_are_back),
		cmocka_unit_test(bills_that_are_lost_twice_are_back),
		cmocka_unit_test(fencing_numbers_rise_over_a_loss_of_the_notices),
		cmocka_unit_test(a_loss_during_an_outage_is_made_good),
		cmocka_unit_test(bills_are_back_once_after_an_outage_longer_than_the_window),
		cmocka_unit_test(edits_and_claims_that_are_lost_twice_hold),
		cmocka_unit_test(bills_are_back_once_where_answers_to_appends_are_lost),
		cmocka_unit_test(instances_that_are_partitioned_agree_on_the_restored_log),
		cmocka_unit_test(a_condition_is_judged_by_the_revision_in_the_log),
		cmocka_unit_test(a_session_of_the_lost_log_is_served),
		cmocka_unit_test(a_large_last_record_is_read_again_at_a_bounded_rate),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
