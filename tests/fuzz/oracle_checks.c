/* The promises, held against what the fakes saw. */
#include "oracle_internal.h"

#include "cw_peer.h"

#include <stdio.h>
#include <string.h>

static void check_tables(void);
static void check_bills(void);
static int bill_is_due(const struct world_request *request);
static void check_requests(void);
static void check_orders(void);
static int withdrawn_between(int version, uint64_t from, uint64_t to);

void oracle_check_at_end(void)
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
			oracle_broke("convergence", "e%d is at table offset %lu of %u", i,
				     (unsigned long)cw_table_offset(table), due);
		for (int version = 1; version <= VERSIONS; version++) {
			char name[8];

			g_snprintf(name, sizeof(name), "%d", version);
			if (cw_table_is_allowed(cw_table_find_row(table, "a", "m", name)) !=
			    oracle_allowed_at(version, UINT64_MAX))
				oracle_broke("convergence", "e%d has version %d the wrong way", i,
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
			oracle_broke("billed once", "%s was answered and has no bill",
				     request->in.request_id);
		if (is_billed && request->ended_ms >= 0 && request->end == CW_EFFECT_REJECT)
			oracle_broke("billed once", "%s was refused and has a bill",
				     request->in.request_id);
		if (is_billed && request->ended_ms >= 0 && request->end == CW_EFFECT_REPLAY)
			oracle_broke("billed once", "%s was replayed and has a bill of its own",
				     request->in.request_id);
	}
	g_hash_table_destroy(billed);
	for (int i = 0; i < NODES; i++) {
		struct world_node *node = world_node(oracle.world, i);

		/* A mirror that never learns that its bill stands would bill again when its origin
		 * dies. */
		if (node->node && !node->stopped && cw_node_count_bills(node->node) > 0)
			oracle_broke("billed once", "e%d still holds %zu bills", i,
				     cw_node_count_bills(node->node));
	}
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
			oracle_broke("one whole answer", "%s got %u final answers",
				     request->in.request_id, request->finals);
		if (alive && request->finals == 0)
			oracle_broke("one whole answer", "%s never got a final answer",
				     request->in.request_id);
		if (request->finals == 1 && request->end == CW_EFFECT_REJECT &&
		    request->run == CW_RUN_NOT_EXECUTED && request->ran > 0)
			oracle_broke("not run", "%s was refused as not run and ran %u times",
				     request->in.request_id, request->ran);
		if (request->finals == 1 && request->end == CW_EFFECT_RELEASE && request->ran == 0)
			oracle_broke("one whole answer", "%s was answered and never ran",
				     request->in.request_id);
		if (request->in.flags & CW_REQUEST_SERVICE && request->ran > 1)
			oracle_broke("at most once", "%s ran %u times", request->in.request_id,
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
			answered |= request->ended_ms >= 0 && request->end != CW_EFFECT_REJECT;
		}
		if (ran > 1)
			oracle_broke("at most once", "orders with key k%d ran %u times", key, ran);
		if (answered && ran == 0)
			oracle_broke("one whole answer",
				     "an order with key k%d was answered and none ran", key);
	}
}

int oracle_allowed_at(int version, uint64_t offset)
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

void oracle_on_dispatch(void *context, struct world *world, struct world_request *request,
			int index, const struct cw_effect *effect)
{
	const struct world_node *node = world_node(world, index);
	uint64_t offset = cw_table_offset(cw_node_table(node->node));
	int version = (int)g_ascii_strtoll(effect->dispatch.version, NULL, 10);
	struct session *session;

	if (node->stop_asked_ms >= 0 && request->began_ms > node->stop_asked_ms + GRACE_MS + 100)
		oracle_broke("leaving", "e%d dispatched %s that came after its grace", index,
			     request->in.request_id);
	if (request->in.flags & CW_REQUEST_SERVICE)
		return;
	if (!oracle_allowed_at(version, offset))
		oracle_broke("allowed only", "%s went to version %d, not allowed at offset %lu",
			     request->in.request_id, version, (unsigned long)offset);
	/* Whoever could read the log for so long must know of a withdrawal. */
	for (size_t i = 0; i < oracle.edit_count; i++) {
		const struct edit *edit = &oracle.edits[i];

		if (edit->offset > offset && oracle.connected_ms[index] >= 0 &&
		    world_now(world) - MAX(edit->at_ms, oracle.connected_ms[index]) > IN_FORCE_MS)
			oracle_broke("withdrawn", "e%d does not know of edit %lu after %d ms",
				     index, (unsigned long)edit->offset, IN_FORCE_MS);
	}
	if (!*request->in.session_id)
		return;
	session = &oracle.sessions[request->in.session_id[1] - '0'];
	/* Only a request that carried the session's newest token is held to it. */
	if (*session->token && !strcmp(session->token, request->in.session_token) &&
	    strcmp(session->version, effect->dispatch.version) != 0 &&
	    !withdrawn_between((int)g_ascii_strtoll(session->version, NULL, 10), session->since,
			       offset))
		oracle_broke("session", "session %s moved from version %s to %s",
			     request->in.session_id, session->version, effect->dispatch.version);
	if (!*session->token || strcmp(session->version, effect->dispatch.version) != 0)
		session->since = offset;
	g_strlcpy(session->version, effect->dispatch.version, CW_NAME_MAX);
	g_strlcpy(session->token, effect->dispatch.session_token, CW_TOKEN_MAX);
}

void oracle_on_end(void *context, struct world *world, struct world_request *request)
{
	int64_t due_ms =
		MAX(request->in.deadline_ms, world_node(world, request->node)->resumed_ms) +
		HANG_MS;

	if (request->ended_ms > due_ms)
		oracle_broke("one whole answer", "%s ended %ld ms behind its deadline",
			     request->in.request_id,
			     (long)(request->ended_ms - request->in.deadline_ms));
	if (request->end == CW_EFFECT_REJECT && request->run == CW_RUN_NOT_EXECUTED &&
	    request->ran > 0)
		oracle_broke("not run", "%s was refused as not run and had run %u times",
			     request->in.request_id, request->ran);
}

void oracle_on_peer(void *context, struct world *world, int to, const void *data, size_t size)
{
	struct peer_message message;

	if (!world_node(world, to)->node ||
	    cw_peer_decode(oracle.key, data, size, &message) != CW_OK)
		return;
	if (message.body.kind == PEER_BILLS)
		for (u_int i = 0; i < message.body.peer_body_u.bills.list.list_len; i++) {
			struct mirror mirror = {.node = to, .boot = world_node(world, to)->boot};
			const char *id =
				strchr(message.body.peer_body_u.bills.list.list_val[i].id, '/');

			g_strlcpy(mirror.id, id ? id + 1 : "", sizeof(mirror.id));
			g_array_append_val(oracle.mirrors, mirror);
		}
	cw_peer_message_clear(&message);
}

void oracle_broke(const char *promise, const char *format, ...)
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
