/*
 * capacity: measures the linear cost models of docs/CAPACITY.md. Each cost is measured at several
 * sizes on this machine; a fitted line and its largest residual are printed. All instances are
 * cw_nodes in this process, so the processor time includes the fakes around them: an upper bound.
 */
#include "world.h"

#include "cw_claims.h"
#include "cw_ledger.h"

#include <glib.h>
#include <json-c/json.h>
#include <malloc.h>
#include <math.h>
#include <stdio.h>
#include <string.h>
#include <time.h>

#define MEASURE_MS 5000
#define POINTS_MAX 8

struct points {
	double x[POINTS_MAX], y[POINTS_MAX];
	size_t count;
};

static double cpu_ms(void)
{
	struct timespec now;

	clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &now);
	return (double)now.tv_sec * 1000 + (double)now.tv_nsec / 1e6;
}

static double heap_bytes(void)
{
	return (double)mallinfo2().uordblks;
}

static void add_point(struct points *points, double x, double y)
{
	points->x[points->count] = x;
	points->y[points->count++] = y;
}

static void print_linear_fit(const char *name, const struct points *points, const char *unit)
{
	double n = (double)points->count, sx = 0, sy = 0, sxx = 0, sxy = 0, max_residual = 0;
	double slope, intercept;

	for (size_t i = 0; i < points->count; i++) {
		sx += points->x[i];
		sy += points->y[i];
		sxx += points->x[i] * points->x[i];
		sxy += points->x[i] * points->y[i];
	}
	slope = (n * sxy - sx * sy) / (n * sxx - sx * sx);
	intercept = (sy - slope * sx) / n;
	for (size_t i = 0; i < points->count; i++)
		max_residual =
			MAX(max_residual, fabs(points->y[i] - intercept - slope * points->x[i]));
	printf("  fit: %s = %.5g + %.5g x %s (largest residual %.3g)\n", name, intercept, slope,
	       unit, max_residual);
}

static struct world *start_world(int nodes, int servers, struct cw_node_config *node)
{
	struct world_config config = {.nodes = nodes,
				      .domains = 8,
				      .servers = servers,
				      .slots = 8,
				      .seed = 1,
				      .latency_ms = 1,
				      .store_latency_ms = 3,
				      .report_lag_ms = 100,
				      .tick_ms = 20,
				      .node = *node};
	struct world *world;

	config.node.events = 0;
	world = world_create(&config);
	for (int i = 0; i < nodes; i++)
		world_start(world, i);
	return world;
}

/* Instances that only gossip, poll the log and run timers: no requests, no load reports. */
static void measure_gossip(void)
{
	static const int sizes[] = {8, 16, 32, 64, 128, 256, 350};
	struct points messages_points = {0}, bytes_points = {0}, cpu_points = {0},
		      memory_points = {0};

	printf("\n## gossip: instances without requests, heartbeat 250 ms, at most 8 peers a "
	       "beat\n");
	for (size_t i = 0; i < G_N_ELEMENTS(sizes); i++) {
		struct cw_node_config node;
		double heap_before = heap_bytes();
		struct world *world;
		double sent_messages = 0, sent_bytes = 0, cpu_time, heap_per_node;

		cw_node_set_defaults(&node);
		world = start_world(sizes[i], 0, &node);
		world_add_key(world, "o");
		world_advance(world, 2000);
		for (int j = 0; j < sizes[i]; j++) {
			sent_messages -= (double)world_node(world, j)->messages;
			sent_bytes -= (double)world_node(world, j)->bytes;
		}
		cpu_time = cpu_ms();
		world_advance(world, MEASURE_MS);
		cpu_time = cpu_ms() - cpu_time;
		for (int j = 0; j < sizes[i]; j++) {
			sent_messages += (double)world_node(world, j)->messages;
			sent_bytes += (double)world_node(world, j)->bytes;
		}
		heap_per_node = (heap_bytes() - heap_before) / sizes[i];
		sent_messages /= sizes[i] * MEASURE_MS / 1000.0;
		sent_bytes /= sizes[i] * MEASURE_MS / 1000.0;
		cpu_time /= sizes[i] * MEASURE_MS / 1000.0;
		printf("  nodes %3d: messages %.1f/s, bytes %.0f/s, processor %.3f ms/s (%.2f %% "
		       "of a core), heap %.0f kB a node\n",
		       sizes[i], sent_messages, sent_bytes, cpu_time, cpu_time / 10,
		       heap_per_node / 1024);
		if (sizes[i] >= 16) {
			add_point(&messages_points, sizes[i], sent_messages);
			add_point(&bytes_points, sizes[i], sent_bytes);
			add_point(&cpu_points, sizes[i], cpu_time);
		}
		add_point(&memory_points, sizes[i], heap_per_node / 1024);
		world_destroy(world);
	}
	print_linear_fit("messages/s", &messages_points, "nodes (16 and more)");
	print_linear_fit("bytes/s", &bytes_points, "nodes (16 and more)");
	print_linear_fit("processor ms/s", &cpu_points, "nodes (16 and more)");
	print_linear_fit("heap kB", &memory_points, "nodes");
}

/* Size of one heartbeat, by the number of versions with evidence. */
static void measure_heartbeat_size(void)
{
	static const int sizes[] = {1, 7, 14, 27, 54};
	struct points points = {0};

	printf("\n## bytes of one heartbeat, by versions with evidence\n");
	for (size_t i = 0; i < G_N_ELEMENTS(sizes); i++) {
		struct peer_evidence evidence[64] = {0};
		struct peer_message message = {.from = (char *)"instance-name-0",
					       .failure_domain = (char *)"iberia-norte-1",
					       .address = (char *)"127.0.0.1:12345"};
		struct peer_trailer trailer = {0};
		struct cw_peer_buffer sealed;
		uint8_t key[CW_KEY_BYTES] = {0};

		message.body.kind = PEER_HEARTBEAT;
		message.body.peer_body_u.heartbeat.evidence.evidence_len = (u_int)sizes[i];
		message.body.peer_body_u.heartbeat.evidence.evidence_val = evidence;
		if (cw_peer_encode(key, &message, &trailer, &sealed) != CW_OK)
			continue;
		printf("  versions %2d: %zu bytes\n", sizes[i], sealed.size);
		add_point(&points, sizes[i], (double)sealed.size);
		g_free(sealed.data);
	}
	print_linear_fit("bytes", &points, "versions");
}

/* The table: memory, time to apply an edit of one cell and size of a snapshot, by rows. */
static void measure_table(void)
{
	static const int sizes[] = {270, 1000, 2700, 5400};
	struct points memory_points = {0}, apply_points = {0}, snapshot_points = {0};

	printf("\n## table\n");
	for (size_t i = 0; i < G_N_ELEMENTS(sizes); i++) {
		double heap_used = heap_bytes();
		struct cw_table *table = cw_table_create();
		enum cw_table_result result;
		double cpu_time;
		char *text;
		char *record;

		for (int row = 0; row < sizes[i]; row++) {
			record = g_strdup_printf(
				"{\"edit\":\"%d\",\"by\":\"t\",\"cells\":[{\"organisation\":"
				"\"organisation-%d\",\"model\":\"model-%d\","
				"\"version\":\"1\",\"column\":\"weight\",\"value\":\"10\"}]}",
				row, row / 27, row % 27);
			cw_table_apply_record(table, cw_table_offset(table) + 1, 1000, record,
					      &result, NULL);
			g_free(record);
		}
		heap_used = heap_bytes() - heap_used;
		cpu_time = cpu_ms();
		for (int edit = 0; edit < 2000; edit++) {
			record = g_strdup_printf(
				"{\"edit\":\"e%d\",\"by\":\"t\",\"cells\":[{\"organisation\":"
				"\"organisation-1\",\"model\":\"model-%d\","
				"\"version\":\"1\",\"column\":\"weight\",\"value\":\"11\"}]}",
				edit, edit % 27);
			cw_table_apply_record(table, cw_table_offset(table) + 1, 1000, record,
					      &result, NULL);
			g_free(record);
		}
		cpu_time = (cpu_ms() - cpu_time) / 2000 * 1000;
		text = cw_table_create_snapshot(table);
		printf("  rows %4d: %.0f kB, %.1f us an edit, snapshot %.0f kB\n", sizes[i],
		       heap_used / 1024, cpu_time, (double)strlen(text) / 1024);
		add_point(&memory_points, sizes[i], heap_used / 1024);
		add_point(&apply_points, sizes[i], cpu_time);
		add_point(&snapshot_points, sizes[i], (double)strlen(text) / 1024);
		g_free(text);
		cw_table_destroy(table);
	}
	print_linear_fit("kB", &memory_points, "rows");
	print_linear_fit("us an edit", &apply_points, "rows");
	print_linear_fit("snapshot kB", &snapshot_points, "rows");
}

/* Claims: memory, time to apply one with its outcome and bytes in the log, by guarded keys. */
static void measure_claims(void)
{
	static const int sizes[] = {10000, 30000, 100000, 300000};
	struct points memory_points = {0}, apply_points = {0};

	printf("\n## claims (with a 60-byte outcome kept)\n");
	for (size_t i = 0; i < G_N_ELEMENTS(sizes); i++) {
		double heap_before = heap_bytes();
		struct cw_claims *claims = cw_claims_create(1 << 20, INT64_MAX / 2);
		double cpu_time = cpu_ms();
		double bytes = 0;

		for (int key = 0; key < sizes[i]; key++) {
			struct cw_claim claim = {
				.key = (uint64_t)key + 1, .claim = (uint64_t)key + 7, .body = 5};
			struct json_object *record = json_object_new_object();
			const char *text;

			cw_claims_add_claim(record, &claim);
			cw_claims_add_outcome(record, &claim, 201,
					      "{\"order\":12345,\"by\":\"o1\",\"key\":\"moquette-"
					      "42\",\"metres\":12}");
			text = json_object_to_json_string_ext(record, JSON_C_TO_STRING_PLAIN);
			bytes += (double)strlen(text);
			cw_claims_apply_record(claims, cw_claims_offset(claims) + 1, 1000, text,
					       NULL);
			json_object_put(record);
		}
		cpu_time = (cpu_ms() - cpu_time) / sizes[i] * 1000;
		printf("  keys %6d: %.1f MB, %.1f us a claim with its outcome, %.0f bytes of log\n",
		       sizes[i], (heap_bytes() - heap_before) / 1048576, cpu_time,
		       bytes / sizes[i]);
		add_point(&memory_points, sizes[i], (heap_bytes() - heap_before) / 1024);
		add_point(&apply_points, sizes[i], cpu_time);
		cw_claims_destroy(claims);
	}
	print_linear_fit("kB", &memory_points, "keys");
	print_linear_fit("us a claim", &apply_points, "keys");
}

/*
 * Requests through one instance: processor time of the decisions, bills and log records together,
 * and the instance's appends to the log.
 */
static void measure_requests(void)
{
	static const int sizes[] = {50, 100, 200, 400};
	struct points cpu_points = {0}, append_points = {0};

	printf("\n## requests: one instance's decisions, by requests a second (3 instances, 4 "
	       "engines)\n");
	for (size_t i = 0; i < G_N_ELEMENTS(sizes); i++) {
		static const char *const rows[] = {"o,m,1,100,1,,allowed", NULL};
		struct world_profile profile = {.model = "m",
						.version = "1",
						.quality = 0.9,
						.slowdown = 1,
						.cost_per_1k = 1,
						.first_ms = 1,
						.token_ms = 0.1,
						.degraded_from_ms = -1};
		struct cw_node_config node;
		struct world *world;
		double cpu_time, idle_cpu_time;
		uint64_t appends;

		cw_node_set_defaults(&node);
		world = start_world(3, 4, &node);
		world_profile(world, &profile);
		world_load_on_all_servers(world, "m", "1");
		world_publish(world, rows);
		world_add_key(world, "o");
		world_advance(world, 2000);
		idle_cpu_time = cpu_ms();
		world_advance(world, MEASURE_MS);
		idle_cpu_time = cpu_ms() - idle_cpu_time;
		appends = world_node(world, 0)->appends;
		cpu_time = cpu_ms();
		for (int sent = 0; sent < sizes[i] * MEASURE_MS / 1000; sent++) {
			struct cw_node_request in;

			world_request_init(&in, "o", "m", CW_REQUEST_IDEMPOTENT);
			world_send(world, 0, &in, 10);
			world_advance(world, 1000 / sizes[i]);
		}
		cpu_time = cpu_ms() - cpu_time - idle_cpu_time;
		appends = world_node(world, 0)->appends - appends;
		printf("  requests %3d/s: %.1f us a request, %.2f appends/s\n", sizes[i],
		       cpu_time / (sizes[i] * MEASURE_MS / 1000.0) * 1000,
		       (double)appends / (MEASURE_MS / 1000.0));
		add_point(&cpu_points, sizes[i], cpu_time / (MEASURE_MS / 1000.0));
		add_point(&append_points, sizes[i], (double)appends / (MEASURE_MS / 1000.0));
		world_destroy(world);
	}
	print_linear_fit("processor ms/s", &cpu_points, "requests/s");
	print_linear_fit("appends/s", &append_points, "requests/s");
}

/* Load reports: an instance polls the servers that it tracks; other known ones use memory only. */
static void measure_load_reports(void)
{
	static const int tracked[] = {4, 8, 16, 32};
	static const int known[] = {64, 128, 256, 512};
	struct points cpu_points = {0}, memory_points = {0};

	printf("\n## load reports: one instance, by servers tracked (each asked every 200 ms)\n");
	for (size_t i = 0; i < G_N_ELEMENTS(tracked); i++) {
		struct cw_node_config node;
		struct world *world;
		double cpu_time;

		cw_node_set_defaults(&node);
		world = start_world(1, tracked[i], &node);
		world_load_on_all_servers(world, "m", "1");
		world_advance(world, 2000);
		cpu_time = cpu_ms();
		world_advance(world, MEASURE_MS);
		cpu_time = (cpu_ms() - cpu_time) / (MEASURE_MS / 1000.0);
		printf("  servers %2d: processor %.3f ms/s, %.0f polls/s\n", tracked[i], cpu_time,
		       tracked[i] * 5.0);
		add_point(&cpu_points, tracked[i], cpu_time);
		world_destroy(world);
	}
	print_linear_fit("processor ms/s", &cpu_points, "servers tracked");
	for (size_t i = 0; i < G_N_ELEMENTS(known); i++) {
		struct cw_pool *pool = cw_pool_create(&cw_choice_affinity);
		double heap_before = heap_bytes();

		for (int j = 0; j < known[i]; j++) {
			char *name = g_strdup_printf("runner-%d", j);

			cw_pool_add(pool, name, "llm", "10.0.0.1:8000", j % 8 ? "other" : "own", 1);
			g_free(name);
		}
		cw_pool_select_tracked(pool, 7, "own");
		printf("  servers known %3d: heap %.0f kB\n", known[i],
		       (heap_bytes() - heap_before) / 1024);
		add_point(&memory_points, known[i], (heap_bytes() - heap_before) / 1024);
		cw_pool_destroy(pool);
	}
	print_linear_fit("heap kB", &memory_points, "servers known");
}

/* Time until a changed cell is in force on all instances, each of which reads the log. */
static void measure_changes(void)
{
	static const int sizes[] = {8, 32, 128, 350};
	struct points cpu_points = {0};

	printf("\n## changes: ms until in force everywhere, and processor time of one change a "
	       "second\n");
	for (size_t i = 0; i < G_N_ELEMENTS(sizes); i++) {
		struct cw_node_config node;
		struct world *world;
		double idle_cpu_time, cpu_time, max_ms = 0;

		cw_node_set_defaults(&node);
		world = start_world(sizes[i], 0, &node);
		world_add_key(world, "o");
		world_advance(world, 2000);
		idle_cpu_time = cpu_ms();
		world_advance(world, MEASURE_MS);
		idle_cpu_time = cpu_ms() - idle_cpu_time;
		cpu_time = cpu_ms();
		for (int edit = 0; edit < MEASURE_MS / 1000; edit++) {
			int64_t edited_ms = world_now(world);
			uint64_t offset;
			int applied_count = 0;

			world_set_cell(world, "o", "m", "1", "weight", edit % 2 ? "1" : "2");
			offset = world_log(world, CW_STREAM_TABLE)->len;
			while (applied_count < sizes[i]) {
				world_advance(world, 1);
				applied_count = 0;
				for (int j = 0; j < sizes[i]; j++)
					applied_count +=
						cw_table_offset(cw_node_table(
							world_node(world, j)->node)) >= offset;
			}
			max_ms = MAX(max_ms, (double)(world_now(world) - edited_ms));
			world_advance(world, 1000 - (world_now(world) - edited_ms));
		}
		cpu_time = (cpu_ms() - cpu_time - idle_cpu_time) / (MEASURE_MS / 1000.0) / sizes[i];
		printf("  nodes %3d: in force within %.0f ms, %.4f ms of processor a change and "
		       "node\n",
		       sizes[i], max_ms, cpu_time);
		add_point(&cpu_points, sizes[i], cpu_time);
		world_destroy(world);
	}
	print_linear_fit("ms a change", &cpu_points, "nodes");
}

int main(void)
{
	setlinebuf(stdout);
	measure_gossip();
	measure_heartbeat_size();
	measure_table();
	measure_claims();
	measure_requests();
	measure_load_reports();
	measure_changes();
	return 0;
}
