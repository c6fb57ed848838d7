#include "oracle.h"
#include "oracle_internal.h"

#include <stdio.h>
#include <string.h>

struct oracle oracle;
static uint64_t requests_sent;

static void oracle_set_up(uint64_t seed);
static void oracle_tear_down(void);
static void execute_operation(uint8_t op, uint8_t argument);
static void send_chat(uint8_t argument);
static void send_order(uint8_t argument);
static void edit_table(uint8_t argument);
static void lose_records(uint8_t argument);
static int has_witness(void);
static void recover(void);
static void track_connectivity(void);

const char *schedule_run(const uint8_t *data, size_t size)
{
	size_t ops = 0;

	if (size < 2)
		return NULL;
	oracle_set_up(data[0]);
	for (size_t i = 1; i + 1 < size && ops < OPS_MAX && !oracle.violation; i += 2, ops++)
		execute_operation(data[i], data[i + 1]);
	if (!oracle.violation) {
		recover();
		oracle_check_final_state();
	}
	oracle_tear_down();
	return oracle.violation;
}

uint64_t schedule_request_count(void)
{
	return requests_sent;
}

static void oracle_set_up(uint64_t seed)
{
	static const char *const rows[] = {"a,m,1,100,1,,allowed", "a,m,2,100,1,,allowed",
					   "a,m,3,50,1,,allowed", "a,service:orders,,,,,allowed",
					   NULL};
	struct world_config config = {
		.nodes = NODES,
		.domains = 3,
		.servers = MODEL_SERVERS,
		.services = SERVICES,
		.slots = 4,
		.seed = seed,
		.latency_ms = 1,
		.store_latency_ms = 2,
		.report_lag_ms = 50,
		.tick_ms = 25,
		.retention_ms = RETENTION_MS,
		.on_dispatch = oracle_on_dispatch,
		.on_end = oracle_on_end,
		.on_peer = oracle_on_peer,
	};
	struct world_profile profile = {.model = "m",
					.quality = 0.9,
					.failure_rate = 0.05,
					.slowdown = 1,
					.cost_per_1k = 1,
					.first_ms = 40,
					.token_ms = 5,
					.degraded_from_ms = -1};

	memset(&oracle, 0, sizeof(oracle));
	cw_node_set_defaults(&config.node);
	config.node.events = g_getenv("TRACE") != NULL;
	config.trace = config.node.events;
	config.node.silent_ms = 600;
	config.node.stop_grace_ms = GRACE_MS;
	config.node.request_timeout_ms = DEADLINE_MS;
	config.node.log_retention_ms = RETENTION_MS;
	config.node.claim_window_ms = 10 * RETENTION_MS;
	config.node.bill_flush_ms = 200;
	memcpy(oracle.key, config.node.peer_key, CW_KEY_BYTES);
	oracle.world = world_create(&config);
	oracle.mirrors = g_array_new(FALSE, FALSE, sizeof(struct mirror));
	for (int i = 0; i < IDEMPOTENCY_KEYS; i++)
		oracle.orders[i].requests = g_ptr_array_new();
	for (int version = 1; version <= VERSIONS; version++) {
		g_snprintf(profile.version, CW_NAME_MAX, "%d", version);
		world_profile(oracle.world, &profile);
		world_load_on_all_servers(oracle.world, "m", profile.version);
		oracle.edits[oracle.edit_count++] = (struct edit){1, 0, version, 1};
	}
	world_publish(oracle.world, rows);
	world_add_key(oracle.world, "a");
	for (int i = 0; i < NODES; i++)
		world_start(oracle.world, i);
	world_advance(oracle.world, 2000);
}

static void oracle_tear_down(void)
{
	world_destroy(oracle.world);
	g_array_unref(oracle.mirrors);
	for (int i = 0; i < IDEMPOTENCY_KEYS; i++)
		g_ptr_array_unref(oracle.orders[i].requests);
}

/* Executes one operation and then lets some virtual time pass. */
static void execute_operation(uint8_t op, uint8_t argument)
{
	struct world *world = oracle.world;
	int node = argument % NODES;
	struct world_node *state = world_node(world, node);

	if (g_getenv("TRACE"))
		printf("time=%ld op=%d argument=%d\n", (long)world_now(world), op % 16, argument);
	switch (op % 16) {
	case 0:
	case 1:
		send_chat(argument);
		break;
	case 2:
	case 3:
		send_order(argument);
		break;
	case 4:
		edit_table(argument);
		break;
	case 5: /* SIGKILL; the node is started again by an operation, or after REPLACEMENT_MS */
		if (state->node) {
			world_crash(world, node);
			oracle.crashed_ms[node] = world_now(world);
			oracle.connected_ms[node] = -1;
		}
		break;
	case 6:
		if (!state->node)
			world_start(world, node);
		break;
	case 7:
		world_set_domain_partition(world, node, argument & 0x80);
		break;
	case 8:
		if (argument & 0x80 && !state->is_store_cut)
			oracle.cut_ms[node] = world_now(world);
		world_set_store_partition(world, node, argument & 0x80);
		break;
	case 9:
		if (argument & 0x80 &&
		    world_now(world) < oracle.outage_ms + OUTAGE_MAX_MS + OUTAGE_GAP_MS &&
		    oracle.outage_ms)
			break;
		if (argument & 0x80 && !oracle.is_store_out)
			oracle.outage_ms = world_now(world);
		oracle.is_store_out = argument & 0x80;
		world_set_outage(world, argument & 0x80);
		break;
	case 10:
		world_lose_append_answers(world, argument % 4, argument & 0x80);
		break;
	case 11:
		world_set_message_faults(world, (argument % 8) * 60, (argument / 8 % 8) * 60);
		break;
	case 12:
		if (state->node)
			world_set_paused(world, node, argument & 0x80);
		break;
	case 13:
		world_stop(world, node);
		break;
	case 14:
		world_server(world, argument % (MODEL_SERVERS + SERVICES))->down = argument & 0x80;
		break;
	default:
		if (op & 0x20 && argument & 0x80)
			lose_records(argument);
		else
			world_expire_records(world);
		break;
	}
	track_connectivity();
	world_advance(world, 10 + (int64_t)argument * (op & 0x40 ? 20 : 1));
	for (int i = 0; i < NODES; i++)
		if (!world_node(world, i)->node &&
		    world_now(world) - oracle.crashed_ms[i] > REPLACEMENT_MS)
			world_start(world, i);
	for (int i = 0; i < NODES; i++)
		if (world_node(world, i)->is_store_cut &&
		    world_now(world) - oracle.cut_ms[i] > OUTAGE_MAX_MS)
			world_set_store_partition(world, i, 0);
	if (oracle.is_store_out && world_now(world) - oracle.outage_ms > OUTAGE_MAX_MS) {
		oracle.is_store_out = 0;
		world_set_outage(world, 0);
	}
	/* A node that has completed its graceful stop is replaced, as an orchestrator would. */
	for (int i = 0; i < NODES; i++) {
		if (world_node(world, i)->node && world_node(world, i)->stopped) {
			if (cw_node_count_running(world_node(world, i)->node) > 0)
				oracle_report_violation("graceful stop",
							"e%d stopped with requests in progress", i);
			world_crash(world, i);
			world_start(world, i);
			oracle.connected_ms[i] = -1;
		}
	}
}

static void send_chat(uint8_t argument)
{
	struct cw_node_request in;
	struct session *session = &oracle.sessions[argument / 16 % SESSIONS];
	int node = argument % NODES;

	if (!world_node(oracle.world, node)->node)
		return;
	world_request_init(&in, "a", "m",
			   CW_REQUEST_IDEMPOTENT | (argument & 0x80 ? CW_REQUEST_STREAM : 0));
	if (argument & 0x40) {
		g_snprintf(in.session_id, CW_ID_MAX, "s%d", argument / 16 % SESSIONS);
		g_strlcpy(in.session_token, session->token, CW_TOKEN_MAX);
	}
	in.deadline_ms = world_now(oracle.world) + DEADLINE_MS;
	requests_sent++;
	world_send(oracle.world, node, &in, 5 + argument % 20);
}

static void send_order(uint8_t argument)
{
	struct cw_node_request in;
	int node = argument % NODES;
	int key = argument / NODES % (IDEMPOTENCY_KEYS + 1);

	if (!world_node(oracle.world, node)->node)
		return;
	world_request_init(&in, "a", "orders", CW_REQUEST_SERVICE);
	if (key < IDEMPOTENCY_KEYS)
		g_snprintf(in.idempotency_key, CW_ID_MAX, "k%d", key);
	in.deadline_ms = world_now(oracle.world) + DEADLINE_MS;
	requests_sent++;
	if (key < IDEMPOTENCY_KEYS) {
		/* check_orders adds up the runs of all requests with this key. */
		g_ptr_array_add(oracle.orders[key].requests,
				world_send(oracle.world, node, &in, 0));
	} else {
		world_send(oracle.world, node, &in, 0);
	}
}

static void edit_table(uint8_t argument)
{
	char version[8];
	struct edit *edit = &oracle.edits[oracle.edit_count];
	int other_allowed = 0;

	if (oracle.edit_count >= G_N_ELEMENTS(oracle.edits))
		return;
	edit->version = 1 + argument % VERSIONS;
	edit->allowed = argument & 0x80 ? 1 : 0;
	for (int i = 1; i <= VERSIONS; i++)
		other_allowed += i != edit->version && oracle_allowed_at(i, UINT64_MAX);
	if (!other_allowed)
		return;
	g_snprintf(version, sizeof(version), "%d", edit->version);
	world_set_cell(oracle.world, "a", "m", version, "state",
		       edit->allowed ? "allowed" : "withdrawn");
	edit->offset = world_log(oracle.world, CW_STREAM_TABLE)->len;
	edit->at_ms = world_now(oracle.world);
	oracle.edit_count++;
}

/* Notes since when each node has been running, not paused and able to read the shared store. */
static void track_connectivity(void)
{
	for (int i = 0; i < NODES; i++) {
		struct world_node *node = world_node(oracle.world, i);
		int is_connected =
			node->node && !node->paused && !node->is_store_cut && !oracle.is_store_out;

		if (!is_connected)
			oracle.connected_ms[i] = -1;
		else if (oracle.connected_ms[i] < 0)
			oracle.connected_ms[i] = world_now(oracle.world);
	}
}

/*
 * The shared store comes back from an older copy: one stream loses its newest records. What no
 * instance had read is lost for good, so this happens beside one that can read and write.
 */
static void lose_records(uint8_t argument)
{
	struct world *world = oracle.world;
	enum cw_stream stream = argument % CW_STREAM_COUNT;
	const GPtrArray *log = world_log(world, stream);
	size_t most = 1 + argument / CW_STREAM_COUNT % 8;
	size_t count = 0;

	if (!has_witness())
		return;
	world_advance(world, LOSS_KNOWN_MS);
	while (count < most && log->len > count + (stream == CW_STREAM_TABLE ? FIRST_RECORDS : 0)) {
		const struct world_record *record = g_ptr_array_index(log, log->len - 1 - count);

		if (record->time_ms < world_now(world) - LOSS_AGE_MS)
			break;
		count++;
	}
	if (count == 0)
		return;
	world_lose_records(world, stream, count);
	oracle.losses++;
	oracle.is_table_lost |= stream == CW_STREAM_TABLE;
	world_advance(world, LOSS_WRITTEN_MS);
}

static int has_witness(void)
{
	track_connectivity();
	for (int i = 0; i < NODES; i++)
		if (oracle.connected_ms[i] >= 0 && !world_node(oracle.world, i)->stopped &&
		    world_now(oracle.world) - oracle.connected_ms[i] > PROPAGATION_MAX_MS)
			return 1;
	return 0;
}

static void recover(void)
{
	struct world *world = oracle.world;

	world_set_outage(world, 0);
	world_lose_append_answers(world, 0, 0);
	world_set_message_faults(world, 0, 0);
	for (int i = 0; i < NODES; i++) {
		world_set_domain_partition(world, i, 0);
		world_set_store_partition(world, i, 0);
		if (!world_node(world, i)->node)
			world_start(world, i);
		world_set_paused(world, i, 0);
	}
	for (int i = 0; i < MODEL_SERVERS + SERVICES; i++)
		world_server(world, i)->down = 0;
	for (int64_t recovered_ms = 0; recovered_ms < RECOVERY_MS; recovered_ms += EXPIRE_STEP_MS) {
		world_expire_records(world);
		world_advance(world, EXPIRE_STEP_MS);
	}
}
