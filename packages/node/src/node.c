#include "node_internal.h"

#include <math.h>
#include <stdarg.h>
#include <string.h>

#define SWEEP_INTERVAL_MS   5000   /* between two removals of expired state */
#define MEMBER_RETENTION_MS 600000 /* of members and servers that are no longer listed */
#define JOIN_DELAY_MS	    3000   /* before a new instance gets a share of the limits */

static void node_apply_settings(struct cw_node *node);
static void node_apply_list(struct cw_node *node, const struct cw_list_entry *members,
			    size_t count);
static void apply_listed_server(struct cw_node *node, const struct cw_list_entry *listed);
static void apply_listed_instance(struct cw_node *node, const struct cw_list_entry *listed);
static void node_apply_load_report(struct cw_node *node, uint64_t server,
				   const struct cw_load *load);
static void node_poll_loads(struct cw_node *node);
static void node_divide_limits(struct cw_node *node);
static void node_remove_expired(struct cw_node *node);
static void node_begin_stop(struct cw_node *node);
static void node_finish_stop(struct cw_node *node);
static void node_answer_query(struct cw_node *node, uint64_t handle, enum cw_query query,
			      const char *text);
static char *models_to_json(struct cw_node *node, const char *organisation);
static char *status_to_json(struct cw_node *node);

void cw_node_set_defaults(struct cw_node_config *config)
{
	memset(config, 0, sizeof(*config));
	config->choice = &cw_choice_affinity;
	config->health = &cw_health_pooled_cusum;
	config->cascade = &cw_cascade_learned;
	config->heartbeat_ms = 250;
	config->gossip_bytes_per_s = 12000;
	config->silent_ms = 1500;
	config->claim_timeout_ms = 2000;
	config->claim_window_ms = 24 * 3600 * 1000LL;
	config->bill_flush_ms = 500;
	config->bill_hold_ms = 50;
	config->restore_window_ms = 60 * 1000LL;
	config->session_idle_ms = 30 * 60 * 1000LL;
	config->session_ask_ms = 100;
	config->request_timeout_ms = 120000;
	config->first_wait_ms = 200;
	config->stop_grace_ms = 2000;
	config->log_retention_ms = 3600 * 1000LL;
	config->lease_ms = 10000;
	config->load_poll_ms = 200;
	config->events = 1;
}

struct cw_node *cw_node_create(const struct cw_node_config *config)
{
	struct cw_node *node = g_new0(struct cw_node, 1);

	node->config = *config;
	g_strlcpy(node->instance, config->instance, CW_NAME_MAX);
	g_strlcpy(node->failure_domain, config->failure_domain, CW_NAME_MAX);
	g_strlcpy(node->peer_address, config->peer_address, CW_ADDRESS_MAX);
	node->id = cw_hash_text(config->instance, 0);
	node->random = g_rand_new_with_seed((guint32)(config->seed ^ node->id));
	node->started_ms = -1;
	node->next_ticket = 1;
	node->table = cw_table_create();
	STAILQ_INIT(&node->table_records);
	node->claims = cw_claims_create(CW_MAX_CLAIMS, config->claim_window_ms);
	STAILQ_INIT(&node->claim_entries);
	STAILQ_INIT(&node->claim_entries_sent);
	STAILQ_INIT(&node->claim_entries_unread);
	node->claims_doubted_ms = -1;
	node->notices_rewound_ms = -1;
	node->peer_claims_ends = g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, g_free);
	node->ledger = cw_ledger_create();
	bills_open(node);
	node->membership =
		cw_membership_create(config->instance, config->failure_domain, config->silent_ms);
	node->pool = cw_pool_create(config->choice);
	node->limits = cw_limits_create();
	cw_retry_budget_open(&node->retry_budget);
	node->health = cw_health_create(config->health);
	node->cascade = cw_cascade_create(config->cascade);
	node->sessions = cw_session_create(CW_MAX_SESSIONS);
	node->quarantine = cw_quarantine_create();
	LIST_INIT(&node->requests);
	LIST_INIT(&node->free_requests);
	node->by_handle = g_hash_table_new(g_int64_hash, g_int64_equal);
	node->ratings_sent = g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, g_free);
	node->ratings_received = g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, g_free);
	node->next_rating = 1;
	log_open(node);
	node_apply_settings(node);
	return node;
}

void cw_node_destroy(struct cw_node *node)
{
	struct request *request;

	if (!node)
		return;
	while ((request = LIST_FIRST(&node->requests))) {
		LIST_REMOVE(request, link);
		g_free(request->answer);
		g_free(request);
	}
	while ((request = LIST_FIRST(&node->free_requests))) {
		LIST_REMOVE(request, link);
		g_free(request);
	}
	table_close(node);
	claims_close(node);
	bills_close(node);
	cw_table_destroy(node->table);
	cw_claims_destroy(node->claims);
	cw_ledger_destroy(node->ledger);
	cw_membership_destroy(node->membership);
	cw_pool_destroy(node->pool);
	cw_limits_destroy(node->limits);
	cw_health_destroy(node->health);
	cw_cascade_destroy(node->cascade);
	cw_session_destroy(node->sessions);
	cw_quarantine_destroy(node->quarantine);
	g_hash_table_destroy(node->by_handle);
	g_hash_table_destroy(node->peer_claims_ends);
	g_hash_table_destroy(node->ratings_sent);
	g_hash_table_destroy(node->ratings_received);
	g_rand_free(node->random);
	g_free(node);
}

void cw_node_step(struct cw_node *node, const struct cw_event *event, struct cw_effects *effects)
{
	node->effects = effects;
	node->now_ms = MAX(event->now_ms, node->now_ms);
	node->wall_ms = event->wall_ms;
	if (node->started_ms < 0) {
		node->started_ms = node->now_ms;
		node->routing_changed_ms = node->now_ms;
	}
	switch (event->kind) {
	case CW_EVENT_TICK:
		break;
	case CW_EVENT_REQUEST:
		request_begin(node, event->request);
		break;
	case CW_EVENT_ATTEMPT_END:
		request_handle_attempt_end(node, event->attempt);
		break;
	case CW_EVENT_CALLER_DISCONNECTED:
		request_handle_disconnect(node, event->disconnected_handle);
		break;
	case CW_EVENT_RECORDS:
		log_handle_records(node, event->records);
		break;
	case CW_EVENT_APPENDED:
		log_handle_append(node, event->appended);
		break;
	case CW_EVENT_PEER:
		gossip_handle_message(node, event->peer.data, event->peer.size);
		break;
	case CW_EVENT_LIST:
		node_apply_list(node, event->list.members, event->list.count);
		break;
	case CW_EVENT_LOAD:
		node_apply_load_report(node, event->load.server, event->load.load);
		break;
	case CW_EVENT_RATED:
		if (event->rated.score >= 0)
			gossip_add_rating(node, event->rated.task, event->rated.common,
					  event->rated.version, event->rated.score,
					  event->rated.tokens);
		request_handle_rating(node, event->rated.handle, event->rated.score);
		break;
	case CW_EVENT_ORDERED:
		rollout_handle_order_result(node, event->ordered.ticket, event->ordered.status);
		break;
	case CW_EVENT_STOP:
		node_begin_stop(node);
		break;
	case CW_EVENT_QUERY:
		node_answer_query(node, event->query.handle, event->query.query, event->query.text);
		break;
	}
	if (event->kind == CW_EVENT_TICK) {
		node_divide_limits(node);
		node_poll_loads(node);
		request_check_timeouts(node);
		rollout_tick(node);
		node_remove_expired(node);
	}
	log_tick(node);
	claims_tick(node);
	bills_tick(node);
	quarantine_tick(node);
	gossip_tick(node);
	node_finish_stop(node);
	node->effects = NULL;
}

int cw_node_is_ready(const struct cw_node *node)
{
	/* An instance without a share of the limits would reject every request. */
	return !node->is_stopping && table_is_known(node) && cw_limits_has_share(node->limits);
}

size_t cw_node_count_running(const struct cw_node *node)
{
	return node->running;
}

size_t cw_node_count_bills(const struct cw_node *node)
{
	return cw_ledger_count(node->ledger, NULL);
}

const struct cw_table *cw_node_table(const struct cw_node *node)
{
	return node->table;
}

size_t cw_node_memory_bytes(const struct cw_node *node)
{
	return sizeof(*node) + cw_table_memory_bytes(node->table) +
	       cw_claims_count(node->claims) * 160 + cw_session_count(node->sessions) * 220 +
	       (cw_ledger_count(node->ledger, NULL) + cw_ledger_count_kept(node->ledger)) * 900 +
	       cw_membership_size(node->membership) * (sizeof(struct cw_member) + 32) +
	       node->running * sizeof(struct request);
}

struct cw_effect *node_add_effect(struct cw_node *node, enum cw_effect_kind kind, uint64_t handle)
{
	struct cw_effect *effect = g_new0(struct cw_effect, 1);

	effect->kind = kind;
	effect->handle = handle;
	STAILQ_INSERT_TAIL(&node->effects->queue, effect, link);
	return effect;
}

void node_log_event(struct cw_node *node, const char *module, const char *event, const char *format,
		    ...)
{
	struct cw_effect *effect;
	va_list args;

	if (!node->config.events)
		return;
	effect = node_add_effect(node, CW_EFFECT_EVENT, 0);
	effect->event.module = module;
	effect->event.event = event;
	va_start(args, format);
	effect->event.detail = g_strdup_vprintf(format, args);
	va_end(args);
}

void node_count(struct cw_node *node, const char *name, uint64_t add, const char *format, ...)
{
	struct cw_effect *effect = node_add_effect(node, CW_EFFECT_COUNT, 0);
	va_list args;

	effect->count.name = name;
	effect->count.add = add;
	va_start(args, format);
	g_vsnprintf(effect->count.label, sizeof(effect->count.label), format, args);
	va_end(args);
}

uint64_t node_random(struct cw_node *node)
{
	return (uint64_t)g_rand_int(node->random) << 32 | g_rand_int(node->random);
}

uint64_t node_new_ticket(struct cw_node *node)
{
	return node->next_ticket++;
}

uint64_t *node_new_u64(uint64_t value)
{
	uint64_t *copy = g_new(uint64_t, 1);

	*copy = value;
	return copy;
}

int node_rejects_requests(const struct cw_node *node)
{
	return node->is_stopping && node->now_ms - node->stop_ms >= node->config.stop_grace_ms;
}

static void node_apply_settings(struct cw_node *node)
{
	for (size_t i = 0; i < node->config.peer_count; i++) {
		const struct cw_node_peer *peer = &node->config.peers[i];
		struct cw_member *member = cw_membership_upsert(
			node->membership, peer->instance, peer->failure_domain, peer->address);

		if (member)
			member->is_configured = 1;
	}
	for (size_t i = 0; i < node->config.server_count; i++) {
		const struct cw_node_server *known = &node->config.servers[i];
		struct cw_server *server =
			cw_pool_add(node->pool, known->name, known->service, known->address,
				    known->failure_domain, known->checks_fencing);

		if (server)
			server->is_configured = 1;
	}
	cw_pool_select_tracked(node->pool, node->id, node->failure_domain);
}

static void node_apply_list(struct cw_node *node, const struct cw_list_entry *members, size_t count)
{
	for (size_t i = 0; i < count; i++) {
		if (members[i].is_instance)
			apply_listed_instance(node, &members[i]);
		else
			apply_listed_server(node, &members[i]);
	}
	cw_pool_select_tracked(node->pool, node->id, node->failure_domain);
}

static void apply_listed_instance(struct cw_node *node, const struct cw_list_entry *listed)
{
	struct cw_member *member = cw_membership_upsert(
		node->membership, listed->name, listed->failure_domain, listed->peer_address);

	if (member)
		cw_membership_mark_listed(member, listed->is_leaving, node->now_ms);
}

static void apply_listed_server(struct cw_node *node, const struct cw_list_entry *listed)
{
	struct cw_server *server =
		cw_pool_add(node->pool, listed->name, listed->service, listed->address,
			    listed->failure_domain, listed->checks_fencing);

	if (!server)
		return;
	if (server->is_leaving != listed->is_leaving)
		node_log_event(node, "membership",
			       listed->is_leaving ? "server_leaving" : "server_live", "server=%s",
			       listed->name);
	server->is_leaving = listed->is_leaving;
	server->listed_ms = node->now_ms;
}

static void node_apply_load_report(struct cw_node *node, uint64_t id, const struct cw_load *load)
{
	struct cw_server *server = cw_pool_find(node->pool, id);

	if (server)
		cw_pool_apply_report(server, load, node->now_ms);
}

/* Polls of one server are at least 3/4 of load_poll_ms apart, so that a load report arrives before
 * the next poll; jitter spreads the polls of many servers over the interval. */
static void node_poll_loads(struct cw_node *node)
{
	struct cw_server *server;

	TAILQ_FOREACH(server, cw_pool_servers(node->pool), link) {
		struct cw_effect *effect;

		if (!server->is_tracked || node->now_ms < server->poll_due_ms)
			continue;
		server->poll_due_ms = node->now_ms + node->config.load_poll_ms * 3 / 4 +
				      (int64_t)(node_random(node) %
						(uint64_t)(node->config.load_poll_ms / 2 + 1));
		effect = node_add_effect(node, CW_EFFECT_POLL, 0);
		effect->poll.server = server->id;
		g_strlcpy(effect->poll.address, server->address, CW_ADDRESS_MAX);
	}
}

/*
 * Base shares are equal parts by the number of known instances, in the order of their ids. A silent
 * instance keeps its share: it may still serve on the other side of a network partition. A new
 * instance gets no share until its peers have had time to count it; otherwise the sum of the shares
 * would exceed the limit.
 */
static void node_divide_limits(struct cw_node *node)
{
	const struct cw_member *member;
	size_t rank = 0;

	if (node->now_ms - node->started_ms < JOIN_DELAY_MS &&
	    cw_membership_count_live(node->membership, node->now_ms) <
		    cw_membership_size(node->membership)) {
		cw_limits_divide(node->limits, 0, 0);
		return;
	}
	TAILQ_FOREACH(member, cw_membership_members(node->membership), link)
		rank += member->id < node->id;
	cw_limits_divide(node->limits, cw_membership_size(node->membership), rank);
}

static void node_remove_expired(struct cw_node *node)
{
	struct cw_server *server;

	if (node->now_ms < node->expire_due_ms)
		return;
	node->expire_due_ms = node->now_ms + SWEEP_INTERVAL_MS;
	cw_session_expire(node->sessions, node->now_ms, node->config.session_idle_ms);
	cw_membership_remove_stale(node->membership, node->now_ms, MEMBER_RETENTION_MS);
	server = TAILQ_FIRST(cw_pool_servers(node->pool));
	while (server) {
		struct cw_server *next = TAILQ_NEXT(server, link);

		if (!server->is_configured && server->own_running == 0 && server->listed_ms >= 0 &&
		    node->now_ms - server->listed_ms > MEMBER_RETENTION_MS)
			cw_pool_remove(node->pool, server);
		server = next;
	}
}

static void node_begin_stop(struct cw_node *node)
{
	if (node->is_stopping)
		return;
	node->is_stopping = 1;
	node->stop_ms = node->now_ms;
	node_log_event(node, "node", "leaving", "running=%zu", node->running);
	gossip_send_heartbeats(node);
}

static void node_finish_stop(struct cw_node *node)
{
	if (!node_rejects_requests(node) || node->is_stopped || node->running > 0 ||
	    !bills_allow_stop(node))
		return;
	if (!STAILQ_EMPTY(&node->claim_entries) || !STAILQ_EMPTY(&node->claim_entries_sent))
		return;
	node->is_stopped = 1;
	node_log_event(node, "node", "stopped", "took_ms=%" G_GINT64_FORMAT,
		       node->now_ms - node->stop_ms);
	node_add_effect(node, CW_EFFECT_STOPPED, 0);
}

static void node_answer_query(struct cw_node *node, uint64_t handle, enum cw_query query,
			      const char *text)
{
	struct cw_effect *effect = node_add_effect(node, CW_EFFECT_REPLY, handle);
	const char *organisation;

	effect->replay.status = 200;
	switch (query) {
	case CW_QUERY_STATUS:
		effect->replay.answer = status_to_json(node);
		break;
	case CW_QUERY_MODELS:
		organisation = text ? cw_table_find_organisation(node->table, text) : NULL;
		if (organisation)
			effect->replay.answer = models_to_json(node, organisation);
		else
			effect->replay.status = 401;
		break;
	case CW_QUERY_QUARANTINE:
		effect->replay.answer = quarantine_to_json(node);
		break;
	case CW_QUERY_RELEASE:
		if (!quarantine_release(node, text))
			effect->replay.status = 404;
		effect->replay.answer = quarantine_to_json(node);
		break;
	}
}

static char *models_to_json(struct cw_node *node, const char *organisation)
{
	const struct cw_row_list *rows = cw_table_organisation_rows(node->table, organisation);
	struct json_object *answer = json_object_new_object();
	struct json_object *data = json_object_new_array();
	const struct cw_row *row;
	char *text;

	json_object_object_add(answer, "object", json_object_new_string("list"));
	json_object_object_add(answer, "data", data);
	if (rows) {
		TAILQ_FOREACH(row, rows, organisation_link) {
			struct json_object *item;

			if (!cw_table_is_allowed(row))
				continue;
			item = json_object_new_object();
			json_object_object_add(item, "id", json_object_new_string(row->model));
			json_object_object_add(item, "object", json_object_new_string("model"));
			if (*row->version)
				json_object_object_add(item, "version",
						       json_object_new_string(row->version));
			json_object_array_add(data, item);
		}
	}
	text = g_strdup(json_object_to_json_string_ext(answer, JSON_C_TO_STRING_PLAIN));
	json_object_put(answer);
	return text;
}

static char *status_to_json(struct cw_node *node)
{
	struct json_object *answer = json_object_new_object();
	struct json_object *members = json_object_new_array();
	struct json_object *servers = json_object_new_array();
	struct cw_quarantine_record quarantined[CW_QUARANTINE_MAX];
	const struct cw_member *member;
	const struct cw_server *server;
	char *text;

	json_object_object_add(answer, "instance", json_object_new_string(node->instance));
	json_object_object_add(answer, "failure_domain",
			       json_object_new_string(node->failure_domain));
	json_object_object_add(answer, "ready", json_object_new_boolean(cw_node_is_ready(node)));
	json_object_object_add(answer, "table_offset",
			       json_object_new_int64((int64_t)cw_table_offset(node->table)));
	json_object_object_add(answer, "claims_offset",
			       json_object_new_int64((int64_t)cw_claims_offset(node->claims)));
	json_object_object_add(answer, "running", json_object_new_int64((int64_t)node->running));
	json_object_object_add(answer, "bills_held",
			       json_object_new_int64((int64_t)cw_node_count_bills(node)));
	json_object_object_add(answer, "sessions",
			       json_object_new_int64((int64_t)cw_session_count(node->sessions)));
	json_object_object_add(
		answer, "quarantined",
		json_object_new_int64((int64_t)cw_quarantine_list(node->quarantine, node->now_ms,
								  quarantined, CW_QUARANTINE_MAX)));
	json_object_object_add(
		answer, "platform",
		json_object_new_string(log_is_up(node, CW_STREAM_TABLE) ? "up" : "down"));
	TAILQ_FOREACH(member, cw_membership_members(node->membership), link) {
		struct json_object *item = json_object_new_object();

		json_object_object_add(item, "instance", json_object_new_string(member->instance));
		json_object_object_add(item, "failure_domain",
				       json_object_new_string(member->failure_domain));
		json_object_object_add(
			item, "state",
			json_object_new_string(
				member->is_leaving ? "leaving"
				: cw_membership_is_live(node->membership, member, node->now_ms)
					? "live"
					: "silent"));
		json_object_object_add(item, "table_offset",
				       json_object_new_int64((int64_t)member->table_offset));
		json_object_array_add(members, item);
	}
	json_object_object_add(answer, "peers", members);
	TAILQ_FOREACH(server, cw_pool_servers(node->pool), link) {
		struct json_object *item = json_object_new_object();

		json_object_object_add(item, "server", json_object_new_string(server->name));
		json_object_object_add(item, "service", json_object_new_string(server->service));
		json_object_object_add(item, "failure_domain",
				       json_object_new_string(server->failure_domain));
		json_object_object_add(
			item, "usable",
			json_object_new_boolean(cw_pool_is_usable(server, node->now_ms)));
		json_object_object_add(item, "drained",
				       json_object_new_boolean(server->is_drained));
		json_object_object_add(item, "load",
				       json_object_new_double(cw_pool_load(server, node->now_ms)));
		json_object_object_add(item, "slots", json_object_new_int64(server->slots));
		json_object_array_add(servers, item);
	}
	json_object_object_add(answer, "backend_servers", servers);
	text = g_strdup(json_object_to_json_string_ext(answer, JSON_C_TO_STRING_PLAIN));
	json_object_put(answer);
	return text;
}
