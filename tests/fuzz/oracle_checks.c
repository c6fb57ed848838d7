/* Checks of the router's guarantees against what the simulation observed. */
#include "oracle_internal.h"

#include "cw_peer.h"

#include <stdio.h>
#include <string.h>

static void check_log(void);
static void check_tables(void);
static void check_bills(void);
static int is_bill_due(const struct world_request *request);
static void check_requests(void);
static void check_orders(void);
static int was_withdrawn_between(int version, const struct session *session, uint64_t to);
static void check_withdrawn(int index, const struct world_request *request, int version);

void oracle_check_final_state(void)
{
	check_requests();
	check_orders();
	check_bills();
	check_tables();
	check_log();
}

/* A log that lost nothing is never taken for a restored one. */
static void check_log(void)
{
	for (int i = 0; i < NODES; i++)
		if (!oracle.losses && world_node(oracle.world, i)->log_shortened > 0)
			oracle_report_violation("log", "e%d noticed a loss that there was not", i);
}

static void check_tables(void)
{
	const GPtrArray *log = world_log(oracle.world, CW_STREAM_TABLE);
	guint visible = log->len;

	/* Records appended within the last PROPAGATION_MAX_MS may still be in transit. */
	while (visible > 0 && world_now(oracle.world) - ((struct world_record *)g_ptr_array_index(
								 log, visible - 1))
								->time_ms <
				      PROPAGATION_MAX_MS)
		visible--;
	for (int i = 0; i < NODES; i++) {
		struct world_node *node = world_node(oracle.world, i);
		const struct cw_table *table;

		if (!node->node || node->stopped)
			continue;
		table = cw_node_table(node->node);
		if (cw_table_offset(table) < visible)
			oracle_report_violation("convergence", "e%d is at table offset %lu of %u",
						i, (unsigned long)cw_table_offset(table), visible);
		for (int version = 1; version <= VERSIONS; version++) {
			char name[8];

			g_snprintf(name, sizeof(name), "%d", version);
			if (cw_table_is_allowed(cw_table_find_row(table, "a", "m", name)) !=
			    oracle_allowed_at(version, UINT64_MAX))
				oracle_report_violation(
					"convergence",
					"e%d and the log disagree on whether version %d is allowed",
					i, version);
		}
	}
}

/* Every released answer must have a bill; a rejected or replayed request must have none. */
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
		    is_bill_due(request))
			oracle_report_violation("billed once", "%s was answered but has no bill",
						request->in.request_id);
		if (is_billed && request->ended_ms >= 0 && request->end == CW_EFFECT_REJECT)
			oracle_report_violation("billed once", "%s was rejected but has a bill",
						request->in.request_id);
		if (is_billed && request->ended_ms >= 0 && request->end == CW_EFFECT_REPLAY)
			oracle_report_violation("billed once",
						"%s was replayed but has a bill of its own",
						request->in.request_id);
	}
	g_hash_table_destroy(billed);
	for (int i = 0; i < NODES; i++) {
		struct world_node *node = world_node(oracle.world, i);

		/* A mirror that never learns that a bill is in the log would bill the request a
		 * second time when the instance of origin crashes. */
		if (node->node && !node->stopped && cw_node_count_bills(node->node) > 0)
			oracle_report_violation(
				"billed once",
				"e%d still has %zu bills that it has not seen in the log", i,
				cw_node_count_bills(node->node));
	}
}

/* A bill must be written while the instance of origin, or a peer with a copy, has not crashed. */
static int is_bill_due(const struct world_request *request)
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

		if (request->final_answers > 1)
			oracle_report_violation("one whole answer", "%s got %u final answers",
						request->in.request_id, request->final_answers);
		if (alive && request->final_answers == 0)
			oracle_report_violation("one whole answer", "%s never got a final answer",
						request->in.request_id);
		if (request->final_answers == 1 && request->end == CW_EFFECT_REJECT &&
		    request->run == CW_RUN_NOT_EXECUTED && request->runs > 0)
			oracle_report_violation("not run",
						"%s was rejected as not run but ran %u times",
						request->in.request_id, request->runs);
		if (request->final_answers == 1 && request->end == CW_EFFECT_RELEASE &&
		    request->runs == 0)
			oracle_report_violation("one whole answer", "%s was answered but never ran",
						request->in.request_id);
		if (request->in.flags & CW_REQUEST_SERVICE && request->runs > 1)
			oracle_report_violation("at most once", "%s ran %u times",
						request->in.request_id, request->runs);
	}
}

static void check_orders(void)
{
	for (int key = 0; key < IDEMPOTENCY_KEYS; key++) {
		unsigned int runs = 0;
		int answered = 0;

		for (guint i = 0; i < oracle.orders[key].requests->len; i++) {
			const struct world_request *request =
				g_ptr_array_index(oracle.orders[key].requests, i);

			runs += request->runs;
			answered |= request->ended_ms >= 0 && request->end != CW_EFFECT_REJECT;
		}
		if (runs > 1)
			oracle_report_violation("at most once", "orders with key k%d ran %u times",
						key, runs);
		if (answered && runs == 0)
			oracle_report_violation("one whole answer",
						"an order with key k%d was answered but none ran",
						key);
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

/* Once the table's log was restored, offsets before and after it don't compare, but times do. */
static int was_withdrawn_between(int version, const struct session *session, uint64_t to)
{
	for (size_t i = 0; i < oracle.edit_count; i++) {
		const struct edit *edit = &oracle.edits[i];

		if (edit->version != version || edit->allowed)
			continue;
		if (edit->offset > session->since && (oracle.is_table_lost || edit->offset <= to))
			return 1;
		if (oracle.is_table_lost && edit->at_ms > session->since_ms - PROPAGATION_MAX_MS)
			return 1;
	}
	return 0;
}

/* An instance sends nothing to a version that its own table does not allow, and, if it can read the
 * log, nothing to one that was withdrawn a while ago. */
static void check_withdrawn(int index, const struct world_request *request, int version)
{
	const struct cw_table *table = cw_node_table(world_node(oracle.world, index)->node);
	const struct edit *newest = NULL;
	char name[8];

	g_snprintf(name, sizeof(name), "%d", version);
	if (!cw_table_is_allowed(cw_table_find_row(table, "a", "m", name)))
		oracle_report_violation("allowed only",
					"%s was sent to version %d, which e%d does not allow",
					request->in.request_id, version, index);

	for (size_t i = 0; i < oracle.edit_count; i++)
		if (oracle.edits[i].version == version)
			newest = &oracle.edits[i];
	if (newest && !newest->allowed && oracle.connected_ms[index] >= 0 &&
	    world_now(oracle.world) - MAX(newest->at_ms, oracle.connected_ms[index]) >
		    PROPAGATION_MAX_MS)
		oracle_report_violation("withdrawn", "%s was sent to version %d, withdrawn before",
					request->in.request_id, version);
}

void oracle_on_dispatch(void *context, struct world *world, struct world_request *request,
			int index, const struct cw_effect *effect)
{
	const struct world_node *node = world_node(world, index);
	uint64_t offset = cw_table_offset(cw_node_table(node->node));
	int version = (int)g_ascii_strtoll(effect->dispatch.version, NULL, 10);
	struct session *session;

	if (node->stop_requested_ms >= 0 &&
	    request->began_ms > node->stop_requested_ms + GRACE_MS + 100)
		oracle_report_violation(
			"leaving",
			"e%d dispatched %s, which arrived after the grace period of its stop",
			index, request->in.request_id);
	if (request->in.flags & CW_REQUEST_SERVICE)
		return;
	if (oracle.is_table_lost)
		check_withdrawn(index, request, version);
	else if (!oracle_allowed_at(version, offset))
		oracle_report_violation(
			"allowed only",
			"%s was sent to version %d, which is not allowed at table offset %lu",
			request->in.request_id, version, (unsigned long)offset);
	/* An instance that could read the log for PROPAGATION_MAX_MS must have applied the edit. */
	for (size_t i = 0; i < oracle.edit_count; i++) {
		const struct edit *edit = &oracle.edits[i];

		if (!oracle.is_table_lost && edit->offset > offset &&
		    oracle.connected_ms[index] >= 0 &&
		    world_now(world) - MAX(edit->at_ms, oracle.connected_ms[index]) >
			    PROPAGATION_MAX_MS)
			oracle_report_violation(
				"withdrawn",
				"e%d has not applied the edit at offset %lu after %d ms", index,
				(unsigned long)edit->offset, PROPAGATION_MAX_MS);
	}
	if (!*request->in.session_id)
		return;
	session = &oracle.sessions[request->in.session_id[1] - '0'];
	/* Only a request with the session's newest token is bound to the session's version. */
	if (*session->token && !strcmp(session->token, request->in.session_token) &&
	    strcmp(session->version, effect->dispatch.version) != 0 &&
	    !was_withdrawn_between((int)g_ascii_strtoll(session->version, NULL, 10), session,
				   offset))
		oracle_report_violation("session", "session %s moved from version %s to %s",
					request->in.session_id, session->version,
					effect->dispatch.version);
	if (!*session->token || strcmp(session->version, effect->dispatch.version) != 0) {
		session->since = offset;
		session->since_ms = world_now(world);
	}
	g_strlcpy(session->version, effect->dispatch.version, CW_NAME_MAX);
	g_strlcpy(session->token, effect->dispatch.session_token, CW_TOKEN_MAX);
}

void oracle_on_end(void *context, struct world *world, struct world_request *request)
{
	int64_t latest_ms =
		MAX(request->in.deadline_ms, world_node(world, request->node)->resumed_ms) +
		ANSWER_SLACK_MS;

	if (request->ended_ms > latest_ms)
		oracle_report_violation("one whole answer",
					"%s got its final answer %ld ms after its deadline",
					request->in.request_id,
					(long)(request->ended_ms - request->in.deadline_ms));
	if (request->end == CW_EFFECT_REJECT && request->run == CW_RUN_NOT_EXECUTED &&
	    request->runs > 0)
		oracle_report_violation("not run",
					"%s was rejected as not run but had run %u times",
					request->in.request_id, request->runs);
}

void oracle_on_peer(void *context, struct world *world, int to, const void *data, size_t size)
{
	struct peer_trailer trailer;
	struct peer_message message;

	if (!world_node(world, to)->node ||
	    cw_peer_decode(oracle.key, data, size, &message, &trailer) != CW_OK)
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

void oracle_report_violation(const char *guarantee, const char *format, ...)
{
	char detail[200];
	va_list args;

	if (oracle.violation)
		return;
	va_start(args, format);
	vsnprintf(detail, sizeof(detail), format, args);
	va_end(args);
	snprintf(oracle.text, sizeof(oracle.text), "%s: %s", guarantee, detail);
	oracle.violation = oracle.text;
}
