#include "oracle.h"
#include "world.h"

#include "cw_peer.h"

#include <stdio.h>
#include <string.h>

#define NODES	       3
#define ENGINES	       3
#define SERVICES       2
#define OPS_MAX	       60
#define SESSIONS       4
#define KEYS	       3
#define VERSIONS       3
#define HEAL_MS	       45000 /* within that all must have come right again */
#define IN_FORCE_MS    6000  /* an accepted edit, on an instance that can learn of it */
#define EXPIRE_STEP_MS 5000
#define HANG_MS	       3000 /* beyond a request's deadline */
#define DEADLINE_MS    8000
#define GRACE_MS       500
#define RETENTION_MS   60000
#define REPLACED_MS    4000 /* the platform replaces what died */
/* Well under the retention: a table that nobody could write anew for all of it is lost by design.
 */
#define OUTAGE_MAX_MS 10000
#define OUTAGE_GAP_MS 15000

struct edit { /* the oracle's own fold: when each version was allowed */
	uint64_t offset;
	int64_t at_ms;
	int version;
	int allowed;
};

struct session {
	char version[CW_NAME_MAX];
	char token[CW_TOKEN_MAX];
	uint64_t since; /* table offset at which its version was first seen */
};

struct order {
	GPtrArray *requests;
};

struct mirror { /* a bill that reached a peer */
	char id[CW_ID_MAX + CW_NAME_MAX];
	int node;
	unsigned int boot;
};

struct oracle {
	struct world *world;
	const char *broken;
	char text[256];
	struct edit edits[OPS_MAX + 8];
	size_t edit_count;
	int64_t connected_ms[NODES]; /* since when it has been able to learn of edits; -1: it is not
				      */
	struct session sessions[SESSIONS];
	struct order orders[KEYS];
	GArray *mirrors;
	uint8_t key[CW_KEY_BYTES];
	int64_t crashed_ms[NODES];
	int64_t outage_ms;
	int64_t cut_ms[NODES];
	int platform_trouble;
};

static struct oracle oracle;
static uint64_t requests_sent;

static void set_up(uint64_t seed);
static void tear_down(void);
static void play(uint8_t op, uint8_t argument);
static void send_chat(uint8_t argument);
static void send_order(uint8_t argument);
static void edit_table(uint8_t argument);
static void heal(void);
static void keep_links(void);
static void check_at_end(void);
static void check_tables(void);
static void check_bills(void);
static void check_requests(void);
static void check_orders(void);
static int bill_is_due(const struct world_request *request);
static int allowed_at(int version, uint64_t offset);
static int withdrawn_between(int version, uint64_t from, uint64_t to);
static void on_dispatch(void *context, struct world *world, struct world_request *request, int node,
			const struct cw_effect *effect);
static void on_end(void *context, struct world *world, struct world_request *request);
static void on_peer(void *context, struct world *world, int to, const void *data, size_t size);
static void broke(const char *promise, const char *format, ...)
	__attribute__((format(printf, 2, 3)));

const char *schedule_run(const uint8_t *data, size_t size)
{
	size_t ops = 0;

	if (size < 2)
		return NULL;
	set_up(data[0]);
	for (size_t i = 1; i + 1 < size && ops < OPS_MAX && !oracle.broken; i += 2, ops++)
		play(data[i], data[i + 1]);
	if (!oracle.broken) {
		heal();
		check_at_end();
	}
	tear_down();
	return oracle.broken;
}

uint64_t schedule_requests(void)
{
	return requests_sent;
}

static void set_up(uint64_t seed)
{
	static const char *const rows[] = {"a,m,1,100,1,,allowed", "a,m,2,100,1,,allowed",
					   "a,m,3,50,1,,allowed", "a,service:orders,,,,,allowed",
					   NULL};
	struct world_config config = {
		.nodes = NODES,
		.domains = 3,
		.servers = ENGINES,
		.services = SERVICES,
		.slots = 4,
		.seed = seed,
		.latency_ms = 1,
		.platform_ms = 2,
		.report_lag_ms = 50,
		.tick_ms = 25,
		.retention_ms = RETENTION_MS,
		.on_dispatch = on_dispatch,
		.on_end = on_end,
		.on_peer = on_peer,
	};
	struct world_profile profile = {.model = "m",
					.quality = 0.9,
					.failure = 0.05,
					.slow = 1,
					.cost_per_1k = 1,
					.first_ms = 40,
					.token_ms = 5,
					.bad_from_ms = -1};

	memset(&oracle, 0, sizeof(oracle));
	cw_node_defaults(&config.node);
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
	for (int i = 0; i < KEYS; i++)
		oracle.orders[i].requests = g_ptr_array_new();
	for (int version = 1; version <= VERSIONS; version++) {
		g_snprintf(profile.version, CW_NAME_MAX, "%d", version);
		world_profile(oracle.world, &profile);
		world_load_everywhere(oracle.world, "m", profile.version);
		oracle.edits[oracle.edit_count++] = (struct edit){1, 0, version, 1};
	}
	world_publish(oracle.world, rows);
	world_key(oracle.world, "a");
	for (int i = 0; i < NODES; i++)
		world_start(oracle.world, i);
	world_run(oracle.world, 2000);
}

static void tear_down(void)
{
	world_destroy(oracle.world);
	g_array_unref(oracle.mirrors);
	for (int i = 0; i < KEYS; i++)
		g_ptr_array_unref(oracle.orders[i].requests);
}

/* One operation and its argument; between any two some virtual time passes. */
static void play(uint8_t op, uint8_t argument)
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
	case 5: /* SIGKILL; the next start is one of the following operations, or the heal */
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
		world_cut(world, node, argument & 0x80);
		break;
	case 8:
		if (argument & 0x80 && !state->cut_platform)
			oracle.cut_ms[node] = world_now(world);
		world_cut_platform(world, node, argument & 0x80);
		break;
	case 9:
		if (argument & 0x80 &&
		    world_now(world) < oracle.outage_ms + OUTAGE_MAX_MS + OUTAGE_GAP_MS &&
		    oracle.outage_ms)
			break;
		if (argument & 0x80 && !oracle.platform_trouble)
			oracle.outage_ms = world_now(world);
		oracle.platform_trouble = argument & 0x80;
		world_outage(world, argument & 0x80);
		break;
	case 10:
		world_lose_appends(world, argument % 4, argument & 0x80);
		break;
	case 11:
		world_drop(world, (argument % 8) * 60, (argument / 8 % 8) * 60);
		break;
	case 12:
		if (state->node)
			world_pause(world, node, argument & 0x80);
		break;
	case 13:
		world_stop(world, node);
		break;
	case 14:
		world_server(world, argument % (ENGINES + SERVICES))->down = argument & 0x80;
		break;
	default:
		world_expire(world);
		break;
	}
	keep_links();
	world_run(world, 10 + (int64_t)argument * (op & 0x40 ? 20 : 1));
	for (int i = 0; i < NODES; i++)
		if (!world_node(world, i)->node &&
		    world_now(world) - oracle.crashed_ms[i] > REPLACED_MS)
			world_start(world, i);
	for (int i = 0; i < NODES; i++)
		if (world_node(world, i)->cut_platform &&
		    world_now(world) - oracle.cut_ms[i] > OUTAGE_MAX_MS)
			world_cut_platform(world, i, 0);
	if (oracle.platform_trouble && world_now(world) - oracle.outage_ms > OUTAGE_MAX_MS) {
		oracle.platform_trouble = 0;
		world_outage(world, 0);
	}
	/* A node that has stopped of itself, and is gone for good, is replaced as a platform would.
	 */
	for (int i = 0; i < NODES; i++) {
		if (world_node(world, i)->node && world_node(world, i)->stopped) {
			if (cw_node_running(world_node(world, i)->node) > 0)
				broke("graceful stop", "e%d stopped with requests in progress", i);
			world_crash(world, i);
			world_start(world, i);
			oracle.connected_ms[i] = -1;
		}
	}
}

static void send_chat(uint8_t argument)
{
	struct cw_request_in in;
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
	struct cw_request_in in;
	int node = argument % NODES;
	int key = argument / NODES % (KEYS + 1);

	if (!world_node(oracle.world, node)->node)
		return;
	world_request_init(&in, "a", "orders", CW_REQUEST_SERVICE);
	if (key < KEYS)
		g_snprintf(in.idempotency_key, CW_ID_MAX, "k%d", key);
	in.deadline_ms = world_now(oracle.world) + DEADLINE_MS;
	requests_sent++;
	if (key < KEYS) {
		/* The handle is given by world_send; what ran is summed up at the end. */
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
	int others = 0;

	if (oracle.edit_count >= G_N_ELEMENTS(oracle.edits))
		return;
	edit->version = 1 + argument % VERSIONS;
	edit->allowed = argument & 0x80 ? 1 : 0;
	for (int i = 1; i <= VERSIONS; i++)
		others += i != edit->version && allowed_at(i, UINT64_MAX);
	if (!others)
		return;
	g_snprintf(version, sizeof(version), "%d", edit->version);
	world_set(oracle.world, "a", "m", version, "state",
		  edit->allowed ? "allowed" : "withdrawn");
	edit->offset = world_log(oracle.world, CW_STREAM_TABLE)->len;
	edit->at_ms = world_now(oracle.world);
	oracle.edit_count++;
}

/* Since when each node has been running, unpaused, and able to read the platform. */
static void keep_links(void)
{
	for (int i = 0; i < NODES; i++) {
		struct world_node *node = world_node(oracle.world, i);
		int linked = node->node && !node->paused && !node->cut_platform &&
			     !oracle.platform_trouble;

		if (!linked)
			oracle.connected_ms[i] = -1;
		else if (oracle.connected_ms[i] < 0)
			oracle.connected_ms[i] = world_now(oracle.world);
	}
}

static void heal(void)
{
	struct world *world = oracle.world;

	world_outage(world, 0);
	world_lose_appends(world, 0, 0);
	world_drop(world, 0, 0);
	for (int i = 0; i < NODES; i++) {
		world_cut(world, i, 0);
		world_cut_platform(world, i, 0);
		if (!world_node(world, i)->node)
			world_start(world, i);
		world_pause(world, i, 0);
	}
	for (int i = 0; i < ENGINES + SERVICES; i++)
		world_server(world, i)->down = 0;
	for (int64_t healed_ms = 0; healed_ms < HEAL_MS; healed_ms += EXPIRE_STEP_MS) {
		world_expire(world);
		world_run(world, EXPIRE_STEP_MS);
	}
}

static void check_at_end(void)
{
	check_requests();
	check_orders();
	check_bills();
	check_tables();
}

static void check_tables(void)
{
	const GPtrArray *log = world_log(oracle.world, CW_STREAM_TABLE);
	guint due = log->len;

	/* What was appended a moment ago may still be on its way. */
	while (due > 0 &&
	       world_now(oracle.world) -
			       ((struct world_record *)g_ptr_array_index(log, due - 1))->time_ms <
		       IN_FORCE_MS)
		due--;
	for (int i = 0; i < NODES; i++) {
		struct world_node *node = world_node(oracle.world, i);
		const struct cw_table *table;

		if (!node->node || node->stopped)
			continue;
		table = cw_node_table(node->node);
		if (cw_table_offset(table) < due)
			broke("convergence", "e%d is at table offset %lu of %u", i,
			      (unsigned long)cw_table_offset(table), due);
		for (int version = 1; version <= VERSIONS; version++) {
			char name[8];

			g_snprintf(name, sizeof(name), "%d", version);
			if (cw_table_allows(cw_table_row(table, "a", "m", name)) !=
			    allowed_at(version, UINT64_MAX))
				broke("convergence", "e%d has version %d the wrong way", i,
				      version);
		}
	}
}

/* Every answer that was given is billed once, and nothing else is. */
static void check_bills(void)
{
	const GPtrArray *log = world_log(oracle.world, CW_STREAM_BILLS);
	const GPtrArray *requests = world_requests(oracle.world);
	GHashTable *billed = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);

	for (guint i = 0; i < log->len; i++) {
		const struct world_record *record = g_ptr_array_index(log, i);
		const char *at = record->data;

		while ((at = strstr(at, "\"bill\":\""))) {
			at += strlen("\"bill\":\"");
			g_hash_table_add(billed, g_strndup(at, strcspn(at, "\"")));
		}
	}
	for (guint i = 0; i < requests->len; i++) {
		const struct world_request *request = g_ptr_array_index(requests, i);
		int is_billed = g_hash_table_contains(billed, request->in.request_id);

		if (!is_billed && request->end == CW_EFFECT_RELEASE && request->ended_ms >= 0 &&
		    bill_is_due(request))
			broke("billed once", "%s was answered and has no bill",
			      request->in.request_id);
		if (is_billed && request->ended_ms >= 0 && request->end == CW_EFFECT_REFUSE)
			broke("billed once", "%s was refused and has a bill",
			      request->in.request_id);
		if (is_billed && request->ended_ms >= 0 && request->end == CW_EFFECT_REPLAY)
			broke("billed once", "%s was replayed and has a bill of its own",
			      request->in.request_id);
	}
	g_hash_table_destroy(billed);
}

/* The origin lives on, or a peer that holds the bill does. */
static int bill_is_due(const struct world_request *request)
{
	const struct world_node *origin = world_node(oracle.world, request->node);

	if (origin->boot == request->boot)
		return 1;
	for (guint i = 0; i < oracle.mirrors->len; i++) {
		const struct mirror *mirror = &g_array_index(oracle.mirrors, struct mirror, i);

		if (!strcmp(mirror->id, request->in.request_id) &&
		    world_node(oracle.world, mirror->node)->boot == mirror->boot)
			return 1;
	}
	return 0;
}

static void check_requests(void)
{
	const GPtrArray *requests = world_requests(oracle.world);

	for (guint i = 0; i < requests->len; i++) {
		const struct world_request *request = g_ptr_array_index(requests, i);
		int alive = world_node(oracle.world, request->node)->boot == request->boot;

		if (request->finals > 1)
			broke("one whole answer", "%s got %u final answers", request->in.request_id,
			      request->finals);
		if (alive && request->finals == 0)
			broke("one whole answer", "%s never got a final answer",
			      request->in.request_id);
		if (request->finals == 1 && request->end == CW_EFFECT_REFUSE &&
		    request->run == CW_RUN_NOT && request->ran > 0)
			broke("not run", "%s was refused as not run and ran %u times",
			      request->in.request_id, request->ran);
		if (request->finals == 1 && request->end == CW_EFFECT_RELEASE && request->ran == 0)
			broke("one whole answer", "%s was answered and never ran",
			      request->in.request_id);
		if (request->in.flags & CW_REQUEST_SERVICE && request->ran > 1)
			broke("at most once", "%s ran %u times", request->in.request_id,
			      request->ran);
	}
}

static void check_orders(void)
{
	for (int key = 0; key < KEYS; key++) {
		unsigned int ran = 0;
		int answered = 0;

		for (guint i = 0; i < oracle.orders[key].requests->len; i++) {
			const struct world_request *request =
				g_ptr_array_index(oracle.orders[key].requests, i);

			ran += request->ran;
			answered |= request->ended_ms >= 0 && request->end != CW_EFFECT_REFUSE;
		}
		if (ran > 1)
			broke("at most once", "orders with key k%d ran %u times", key, ran);
		if (answered && ran == 0)
			broke("one whole answer", "an order with key k%d was answered and none ran",
			      key);
	}
}

static int allowed_at(int version, uint64_t offset)
{
	int allowed = 0;

	for (size_t i = 0; i < oracle.edit_count; i++)
		if (oracle.edits[i].version == version && oracle.edits[i].offset <= offset)
			allowed = oracle.edits[i].allowed;
	return allowed;
}

static int withdrawn_between(int version, uint64_t from, uint64_t to)
{
	for (size_t i = 0; i < oracle.edit_count; i++)
		if (oracle.edits[i].version == version && !oracle.edits[i].allowed &&
		    oracle.edits[i].offset > from && oracle.edits[i].offset <= to)
			return 1;
	return 0;
}

static void on_dispatch(void *context, struct world *world, struct world_request *request,
			int index, const struct cw_effect *effect)
{
	const struct world_node *node = world_node(world, index);
	uint64_t offset = cw_table_offset(cw_node_table(node->node));
	int version = (int)g_ascii_strtoll(effect->dispatch.version, NULL, 10);
	struct session *session;

	if (node->stop_asked_ms >= 0 && request->began_ms > node->stop_asked_ms + GRACE_MS + 100)
		broke("leaving", "e%d dispatched %s that came after its grace", index,
		      request->in.request_id);
	if (request->in.flags & CW_REQUEST_SERVICE)
		return;
	if (!allowed_at(version, offset))
		broke("allowed only", "%s went to version %d, not allowed at offset %lu",
		      request->in.request_id, version, (unsigned long)offset);
	/* Whoever could read the log for so long must know of a withdrawal. */
	for (size_t i = 0; i < oracle.edit_count; i++) {
		const struct edit *edit = &oracle.edits[i];

		if (edit->offset > offset && oracle.connected_ms[index] >= 0 &&
		    world_now(world) - MAX(edit->at_ms, oracle.connected_ms[index]) > IN_FORCE_MS)
			broke("withdrawn", "e%d does not know of edit %lu after %d ms", index,
			      (unsigned long)edit->offset, IN_FORCE_MS);
	}
	if (!*request->in.session_id)
		return;
	session = &oracle.sessions[request->in.session_id[1] - '0'];
	/* Only a request that carried the session's newest token is held to it. */
	if (*session->token && !strcmp(session->token, request->in.session_token) &&
	    strcmp(session->version, effect->dispatch.version) != 0 &&
	    !withdrawn_between((int)g_ascii_strtoll(session->version, NULL, 10), session->since,
			       offset))
		broke("session", "session %s moved from version %s to %s", request->in.session_id,
		      session->version, effect->dispatch.version);
	if (!*session->token || strcmp(session->version, effect->dispatch.version) != 0)
		session->since = offset;
	g_strlcpy(session->version, effect->dispatch.version, CW_NAME_MAX);
	g_strlcpy(session->token, effect->dispatch.session_token, CW_TOKEN_MAX);
}

static void on_end(void *context, struct world *world, struct world_request *request)
{
	int64_t due_ms =
		MAX(request->in.deadline_ms, world_node(world, request->node)->resumed_ms) +
		HANG_MS;

	if (request->ended_ms > due_ms)
		broke("one whole answer", "%s ended %ld ms behind its deadline",
		      request->in.request_id, (long)(request->ended_ms - request->in.deadline_ms));
	if (request->end == CW_EFFECT_REFUSE && request->run == CW_RUN_NOT && request->ran > 0)
		broke("not run", "%s was refused as not run and had run %u times",
		      request->in.request_id, request->ran);
}

static void on_peer(void *context, struct world *world, int to, const void *data, size_t size)
{
	struct peer_message message;

	if (!world_node(world, to)->node || cw_peer_open(oracle.key, data, size, &message) != CW_OK)
		return;
	if (message.body.kind == PEER_BILLS)
		for (u_int i = 0; i < message.body.peer_body_u.bills.list.list_len; i++) {
			struct mirror mirror = {.node = to, .boot = world_node(world, to)->boot};
			const char *id =
				strchr(message.body.peer_body_u.bills.list.list_val[i].id, '/');

			g_strlcpy(mirror.id, id ? id + 1 : "", sizeof(mirror.id));
			g_array_append_val(oracle.mirrors, mirror);
		}
	cw_peer_release(&message);
}

static void broke(const char *promise, const char *format, ...)
{
	char detail[200];
	va_list args;

	if (oracle.broken)
		return;
	va_start(args, format);
	vsnprintf(detail, sizeof(detail), format, args);
	va_end(args);
	snprintf(oracle.text, sizeof(oracle.text), "%s: %s", promise, detail);
	oracle.broken = oracle.text;
}
