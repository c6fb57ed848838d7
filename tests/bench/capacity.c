/*
 * capacity: the slopes of docs/CAPACITY.md. Each part is measured at several sizes on this machine;
 * a line is fitted and its largest residual printed. In-process nodes stand for instances, so the
 * processor time includes the fakes around them: an upper bound.
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

#define SPAN_MS	   5000
#define POINTS_MAX 8

struct line {
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

static void add(struct line *line, double x, double y)
{
	line->x[line->count] = x;
	line->y[line->count++] = y;
}

static void fit(const char *name, const struct line *line, const char *unit)
{
	double n = (double)line->count, sx = 0, sy = 0, sxx = 0, sxy = 0, worst = 0;
	double slope, base;

	for (size_t i = 0; i < line->count; i++) {
		sx += line->x[i];
		sy += line->y[i];
		sxx += line->x[i] * line->x[i];
		sxy += line->x[i] * line->y[i];
	}
	slope = (n * sxy - sx * sy) / (n * sxx - sx * sx);
	base = (sy - slope * sx) / n;
	for (size_t i = 0; i < line->count; i++)
		worst = MAX(worst, fabs(line->y[i] - base - slope * line->x[i]));
	printf("  fit: %s = %.5g + %.5g x %s (largest residual %.3g)\n", name, base, slope, unit,
	       worst);
}

static struct world *start(int nodes, int servers, struct cw_node_config *node)
{
	struct world_config config = {.nodes = nodes,
				      .domains = 8,
				      .servers = servers,
				      .slots = 8,
				      .seed = 1,
				      .latency_ms = 1,
				      .platform_ms = 3,
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

/* Instances that only gossip, tail the log and tick: no requests, no loads. */
static void gossip(void)
{
	static const int sizes[] = {8, 16, 32, 64, 128, 256, 350};
	struct line messages = {0}, bytes = {0}, cpu = {0}, memory = {0};

	printf("\n## gossip: instances without requests, heartbeat 250 ms, at most 8 peers a "
	       "beat\n");
	for (size_t i = 0; i < G_N_ELEMENTS(sizes); i++) {
		struct cw_node_config node;
		double heap = heap_bytes();
		struct world *world;
		double sent = 0, sent_bytes = 0, began, state;

		cw_node_set_defaults(&node);
		world = start(sizes[i], 0, &node);
		world_key(world, "o");
		world_run(world, 2000);
		for (int j = 0; j < sizes[i]; j++) {
			sent -= (double)world_node(world, j)->messages;
			sent_bytes -= (double)world_node(world, j)->bytes;
		}
		began = cpu_ms();
		world_run(world, SPAN_MS);
		began = cpu_ms() - began;
		for (int j = 0; j < sizes[i]; j++) {
			sent += (double)world_node(world, j)->messages;
			sent_bytes += (double)world_node(world, j)->bytes;
		}
		state = (heap_bytes() - heap) / sizes[i];
		sent /= sizes[i] * SPAN_MS / 1000.0;
		sent_bytes /= sizes[i] * SPAN_MS / 1000.0;
		began /= sizes[i] * SPAN_MS / 1000.0;
		printf("  nodes %3d: messages %.1f/s, bytes %.0f/s, processor %.3f ms/s (%.2f %% "
		       "of a core), heap %.0f kB a node\n",
		       sizes[i], sent, sent_bytes, began, began / 10, state / 1024);
		if (sizes[i] >= 16) {
			add(&messages, sizes[i], sent);
			add(&bytes, sizes[i], sent_bytes);
			add(&cpu, sizes[i], began);
		}
		add(&memory, sizes[i], state / 1024);
		world_destroy(world);
	}
	fit("messages/s", &messages, "nodes (16 and more)");
	fit("bytes/s", &bytes, "nodes (16 and more)");
	fit("processor ms/s", &cpu, "nodes (16 and more)");
	fit("heap kB", &memory, "nodes");
}

/* One beat's size as versions and servers grow. */
static void beat_size(void)
{
	static const int sizes[] = {1, 7, 14, 27, 54};
	struct line line = {0};

	printf("\n## bytes of one heartbeat, by versions with evidence\n");
	for (size_t i = 0; i < G_N_ELEMENTS(sizes); i++) {
		struct peer_evidence evidence[64] = {0};
		struct peer_message message = {.from = (char *)"instance-name-0",
					       .failure_domain = (char *)"iberia-norte-1",
					       .address = (char *)"127.0.0.1:12345"};
		struct cw_peer_bytes sealed;
		uint8_t key[CW_KEY_BYTES] = {0};

		message.body.kind = PEER_HEARTBEAT;
		message.body.peer_body_u.heartbeat.evidence.evidence_len = (u_int)sizes[i];
		message.body.peer_body_u.heartbeat.evidence.evidence_val = evidence;
		if (cw_peer_seal(key, &message, &sealed) != CW_OK)
			continue;
		printf("  versions %2d: %zu bytes\n", sizes[i], sealed.size);
		add(&line, sizes[i], (double)sealed.size);
		g_free(sealed.data);
	}
	fit("bytes", &line, "versions");
}

/* The table: memory by rows, time to fold an edit of one cell, size of a snapshot. */
static void table(void)
{
	static const int sizes[] = {270, 1000, 2700, 5400};
	struct line memory = {0}, fold = {0}, snapshot = {0};

	printf("\n## table\n");
	for (size_t i = 0; i < G_N_ELEMENTS(sizes); i++) {
		double heap = heap_bytes();
		struct cw_table *table = cw_table_create();
		enum cw_table_result result;
		double began;
		char *text;
		char *record;

		for (int row = 0; row < sizes[i]; row++) {
			record = g_strdup_printf(
				"{\"edit\":\"%d\",\"by\":\"t\",\"cells\":[{\"organisation\":"
				"\"organisation-%d\",\"model\":\"model-%d\","
				"\"version\":\"1\",\"column\":\"weight\",\"value\":\"10\"}]}",
				row, row / 27, row % 27);
			cw_table_apply_record(table, cw_table_offset(table) + 1, record, &result,
					      NULL);
			g_free(record);
		}
		heap = heap_bytes() - heap;
		began = cpu_ms();
		for (int edit = 0; edit < 2000; edit++) {
			record = g_strdup_printf(
				"{\"edit\":\"e%d\",\"by\":\"t\",\"cells\":[{\"organisation\":"
				"\"organisation-1\",\"model\":\"model-%d\","
				"\"version\":\"1\",\"column\":\"weight\",\"value\":\"11\"}]}",
				edit, edit % 27);
			cw_table_apply_record(table, cw_table_offset(table) + 1, record, &result,
					      NULL);
			g_free(record);
		}
		began = (cpu_ms() - began) / 2000 * 1000;
		text = cw_table_create_snapshot(table);
		printf("  rows %4d: %.0f kB, %.1f us an edit, snapshot %.0f kB\n", sizes[i],
		       heap / 1024, began, (double)strlen(text) / 1024);
		add(&memory, sizes[i], heap / 1024);
		add(&fold, sizes[i], began);
		add(&snapshot, sizes[i], (double)strlen(text) / 1024);
		g_free(text);
		cw_table_destroy(table);
	}
	fit("kB", &memory, "rows");
	fit("us an edit", &fold, "rows");
	fit("snapshot kB", &snapshot, "rows");
}

/* Claims: memory by guarded keys, time to fold, bytes in the log. */
static void claims(void)
{
	static const int sizes[] = {10000, 30000, 100000, 300000};
	struct line memory = {0}, fold = {0};

	printf("\n## claims (with a 60-byte outcome kept)\n");
	for (size_t i = 0; i < G_N_ELEMENTS(sizes); i++) {
		double heap = heap_bytes();
		struct cw_claims *claims = cw_claims_create(1 << 20, INT64_MAX / 2);
		double began = cpu_ms();
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
		began = (cpu_ms() - began) / sizes[i] * 1000;
		printf("  keys %6d: %.1f MB, %.1f us a claim with its outcome, %.0f bytes of log\n",
		       sizes[i], (heap_bytes() - heap) / 1048576, began, bytes / sizes[i]);
		add(&memory, sizes[i], (heap_bytes() - heap) / 1024);
		add(&fold, sizes[i], began);
		cw_claims_destroy(claims);
	}
	fit("kB", &memory, "keys");
	fit("us a claim", &fold, "keys");
}

/* Requests through one node: the whole decision, its bill and its part of the log. */
static void requests(void)
{
	static const int sizes[] = {50, 100, 200, 400};
	struct line cpu = {0}, bills = {0};

	printf("\n## requests: one instance's decisions, by requests a second (3 instances, 4 "
	       "engines)\n");
	for (size_t i = 0; i < G_N_ELEMENTS(sizes); i++) {
		static const char *const rows[] = {"o,m,1,100,1,,allowed", NULL};
		struct world_profile profile = {.model = "m",
						.version = "1",
						.quality = 0.9,
						.slow = 1,
						.cost_per_1k = 1,
						.first_ms = 1,
						.token_ms = 0.1,
						.bad_from_ms = -1};
		struct cw_node_config node;
		struct world *world;
		double began, idle;
		uint64_t appends;

		cw_node_set_defaults(&node);
		world = start(3, 4, &node);
		world_profile(world, &profile);
		world_load_everywhere(world, "m", "1");
		world_publish(world, rows);
		world_key(world, "o");
		world_run(world, 2000);
		idle = cpu_ms();
		world_run(world, SPAN_MS);
		idle = cpu_ms() - idle;
		appends = world_node(world, 0)->appends;
		began = cpu_ms();
		for (int sent = 0; sent < sizes[i] * SPAN_MS / 1000; sent++) {
			struct cw_node_request in;

			world_request_init(&in, "o", "m", CW_REQUEST_IDEMPOTENT);
			world_send(world, 0, &in, 10);
			world_run(world, 1000 / sizes[i]);
		}
		began = cpu_ms() - began - idle;
		appends = world_node(world, 0)->appends - appends;
		printf("  requests %3d/s: %.1f us a request, %.2f appends/s\n", sizes[i],
		       began / (sizes[i] * SPAN_MS / 1000.0) * 1000,
		       (double)appends / (SPAN_MS / 1000.0));
		add(&cpu, sizes[i], began / (SPAN_MS / 1000.0));
		add(&bills, sizes[i], (double)appends / (SPAN_MS / 1000.0));
		world_destroy(world);
	}
	fit("processor ms/s", &cpu, "requests/s");
	fit("appends/s", &bills, "requests/s");
}

/* Load reports: a node asks those it tracks; what it merely knows of costs memory. */
static void loads(void)
{
	static const int tracked[] = {4, 8, 16, 32};
	static const int known[] = {64, 128, 256, 512};
	struct line cpu = {0}, memory = {0};

	printf("\n## load reports: one instance, by servers tracked (each asked every 200 ms)\n");
	for (size_t i = 0; i < G_N_ELEMENTS(tracked); i++) {
		struct cw_node_config node;
		struct world *world;
		double began;

		cw_node_set_defaults(&node);
		world = start(1, tracked[i], &node);
		world_load_everywhere(world, "m", "1");
		world_run(world, 2000);
		began = cpu_ms();
		world_run(world, SPAN_MS);
		began = (cpu_ms() - began) / (SPAN_MS / 1000.0);
		printf("  servers %2d: processor %.3f ms/s, %.0f polls/s\n", tracked[i], began,
		       tracked[i] * 5.0);
		add(&cpu, tracked[i], began);
		world_destroy(world);
	}
	fit("processor ms/s", &cpu, "servers tracked");
	for (size_t i = 0; i < G_N_ELEMENTS(known); i++) {
		struct cw_pool *pool = cw_pool_create(&cw_choice_affinity);
		double heap = heap_bytes();

		for (int j = 0; j < known[i]; j++) {
			char *name = g_strdup_printf("runner-%d", j);

			cw_pool_add(pool, name, "llm", "10.0.0.1:8000", j % 8 ? "other" : "own", 1);
			g_free(name);
		}
		cw_pool_select_tracked(pool, 7, "own");
		printf("  servers known %3d: heap %.0f kB\n", known[i],
		       (heap_bytes() - heap) / 1024);
		add(&memory, known[i], (heap_bytes() - heap) / 1024);
		cw_pool_destroy(pool);
	}
	fit("heap kB", &memory, "servers known");
}

/* A changed cell until it is in force on every instance, all of them reading the log. */
static void changes(void)
{
	static const int sizes[] = {8, 32, 128, 350};
	struct line cpu = {0};

	printf("\n## changes: ms until in force everywhere, and processor time of one change a "
	       "second\n");
	for (size_t i = 0; i < G_N_ELEMENTS(sizes); i++) {
		struct cw_node_config node;
		struct world *world;
		double calm, began, worst = 0;

		cw_node_set_defaults(&node);
		world = start(sizes[i], 0, &node);
		world_key(world, "o");
		world_run(world, 2000);
		calm = cpu_ms();
		world_run(world, SPAN_MS);
		calm = cpu_ms() - calm;
		began = cpu_ms();
		for (int edit = 0; edit < SPAN_MS / 1000; edit++) {
			int64_t at_ms = world_now(world);
			uint64_t offset;
			int done = 0;

			world_set(world, "o", "m", "1", "weight", edit % 2 ? "1" : "2");
			offset = world_log(world, CW_STREAM_TABLE)->len;
			while (done < sizes[i]) {
				world_run(world, 1);
				done = 0;
				for (int j = 0; j < sizes[i]; j++)
					done += cw_table_offset(cw_node_table(
							world_node(world, j)->node)) >= offset;
			}
			worst = MAX(worst, (double)(world_now(world) - at_ms));
			world_run(world, 1000 - (world_now(world) - at_ms));
		}
		began = (cpu_ms() - began - calm) / (SPAN_MS / 1000.0) / sizes[i];
		printf("  nodes %3d: in force within %.0f ms, %.4f ms of processor a change and "
		       "node\n",
		       sizes[i], worst, began);
		add(&cpu, sizes[i], began);
		world_destroy(world);
	}
	fit("ms a change", &cpu, "nodes");
}

int main(void)
{
	setlinebuf(stdout);
	gossip();
	beat_size();
	table();
	claims();
	requests();
	loads();
	changes();
	return 0;
}
