/*
 * Orders to engines: a version that has a weight but is loaded on no engine of this failure domain
 * is ordered to be loaded, by the instance that holds the lease of the domain. The lease is a claim
 * in the notices stream. Its fencing number is the log time of the claim, which rises also where a
 * log was restored from an older copy and gives offsets out again.
 */
#include "node_internal.h"

#include <math.h>
#include <string.h>

#define LEASE_CHECK_INTERVAL_MS 1000
#define LEASE_MARGIN_DIVISOR	4    /* of the lease term: no order is sent in its last quarter */
#define ORDER_TIMEOUT_MS	2000 /* for sending an order and waiting for its result */
#define CLAIMANT_ROTATION_MS	30000
#define INITIAL_REPORTS_MS	2000 /* after the start, before a version counts as loaded nowhere */

static int lease_is_own(const struct cw_node *node);
static int lease_is_free(const struct cw_node *node);
static int64_t lease_free_from_ms(const struct cw_node *node);
static void claim_lease(struct cw_node *node);
static struct cw_server *choose_engine(struct cw_node *node);
static const struct cw_row *find_missing_version(struct cw_node *node);
static void send_order(struct cw_node *node, const struct cw_row *row);
static void apply_trip(struct cw_node *node, struct json_object *trip);

void rollout_tick(struct cw_node *node)
{
	const struct cw_row *row;

	if (node->now_ms < node->lease_check_due_ms)
		return;
	node->lease_check_due_ms = node->now_ms + LEASE_CHECK_INTERVAL_MS;
	if (node->is_stopping || node->order_ticket ||
	    node->now_ms - node->started_ms < INITIAL_REPORTS_MS)
		return;
	row = find_missing_version(node);
	if (!row)
		return;
	if (lease_is_own(node))
		send_order(node, row);
	else if (lease_is_free(node))
		claim_lease(node);
}

/*
 * The lease follows from the log alone, so that all instances agree on its holder. A holder that
 * has not noticed the loss yet may go on until its term ends, so no new claim is made before.
 */
void rollout_rewind(struct cw_node *node)
{
	if (node->lease.fencing)
		node->lease_wait_until_ms =
			MAX(node->lease_wait_until_ms, lease_free_from_ms(node));
	memset(&node->lease, 0, sizeof(node->lease));
}

void rollout_apply_notice(struct cw_node *node, uint64_t offset, int64_t time_ms, const char *data)
{
	struct json_object *parsed = json_tokener_parse(data);
	struct json_object *value;
	struct json_object *lease;

	if (json_object_object_get_ex(parsed, "trip", &value))
		apply_trip(node, value);
	if (json_object_object_get_ex(parsed, "quarantine", &value))
		quarantine_apply_notice(node, value, time_ms);
	if (json_object_object_get_ex(parsed, "lease", &lease)) {
		const char *name = json_object_object_get_ex(lease, "name", &value)
					   ? json_object_get_string(value)
					   : "";
		uint64_t token = json_object_object_get_ex(lease, "token", &value)
					 ? g_ascii_strtoull(json_object_get_string(value), NULL, 16)
					 : 0;
		const char *holder = json_object_object_get_ex(lease, "holder", &value)
					     ? json_object_get_string(value)
					     : "";

		/*
		 * A claim is granted only after the term of the previous lease. The clock of the
		 * log decides, so that every instance comes to the same result.
		 */
		if (!strcmp(name, node->failure_domain) &&
		    (!node->lease.fencing ||
		     time_ms - node->lease.claimed_ms > node->config.lease_ms)) {
			node->highest_fencing = MAX((uint64_t)time_ms, node->highest_fencing + 1);
			node->lease.token = token;
			node->lease.fencing = node->highest_fencing;
			node->lease.claimed_ms = time_ms;
			node->lease.applied_ms = node->now_ms;
			g_strlcpy(node->lease.holder, holder, CW_NAME_MAX);
			/* The term has begun: a waiting order is sent with the next tick. */
			node->lease_check_due_ms = node->now_ms;
			node_log_event(node, "rollout", "lease",
				       "holder=%s fencing=%" G_GUINT64_FORMAT
				       " offset=%" G_GUINT64_FORMAT,
				       holder, node->lease.fencing, offset);
		}
	}
	json_object_put(parsed);
}

void rollout_handle_append(struct cw_node *node, const struct cw_append_result *appended)
{
	if (appended->ticket == node->lease_ticket)
		node->lease_ticket = 0;
}

void rollout_handle_order_result(struct cw_node *node, uint64_t ticket, enum cw_status status)
{
	if (ticket != node->order_ticket)
		return;
	node->order_ticket = 0;
	node_log_event(node, "rollout", "ordered", "status=%s fencing=%" G_GUINT64_FORMAT,
		       cw_status_name(status), node->lease.fencing);
}

/*
 * The term counts from before the claim was sent, so this instance stops sending orders before
 * another instance may start, however long the append of the claim took. A pause of the process is
 * noticed, as the clock is compared before each order.
 */
static int lease_is_own(const struct cw_node *node)
{
	int64_t usable_ms = node->config.lease_ms - node->config.lease_ms / LEASE_MARGIN_DIVISOR;

	return node->lease.token && node->lease.token == node->lease_token &&
	       node->now_ms - node->lease_claim_sent_ms < usable_ms;
}

/* The lease is free one margin and one order time-out after its term, as a server that ignores
 * fencing numbers may still execute the last order. */
static int lease_is_free(const struct cw_node *node)
{
	if (node->lease_ticket || !log_is_up(node, CW_STREAM_NOTICES) ||
	    node->now_ms <= node->lease_wait_until_ms)
		return 0;
	return !node->lease.fencing || node->now_ms > lease_free_from_ms(node);
}

static int64_t lease_free_from_ms(const struct cw_node *node)
{
	return node->lease.applied_ms + node->config.lease_ms +
	       node->config.lease_ms / LEASE_MARGIN_DIVISOR + ORDER_TIMEOUT_MS;
}

static void claim_lease(struct cw_node *node)
{
	char *record;

	/* Only an instance with one of the first three ranks among all live instances claims, so
	 * that not every instance of the failure domain claims at once. Its rank changes every
	 * CLAIMANT_ROTATION_MS of its own clock. */
	if (cw_membership_rank(node->membership,
			       cw_hash_text(node->failure_domain,
					    (uint64_t)node->now_ms / CLAIMANT_ROTATION_MS),
			       node->now_ms) > 2)
		return;
	node->lease_token = node_random(node) | 1;
	node->lease_claim_sent_ms = node->now_ms;
	record = g_strdup_printf(
		"{\"lease\":{\"name\":\"%s\",\"holder\":\"%s\",\"token\":\"%016" G_GINT64_MODIFIER
		"x\"}}",
		node->failure_domain, node->instance, node->lease_token);
	node->lease_ticket = log_append(node, CW_STREAM_NOTICES, record);
}

/* Finds an allowed version with a weight that no engine of this failure domain has loaded. */
static const struct cw_row *find_missing_version(struct cw_node *node)
{
	const struct cw_row *row;

	TAILQ_FOREACH(row, cw_table_rows(node->table), link) {
		const struct cw_server *server;
		int loaded = 0;
		int engines = 0;

		if (!*row->version || !cw_table_is_allowed(row) ||
		    !(row->cell[CW_COLUMN_WEIGHT] > 0))
			continue;
		TAILQ_FOREACH(server, cw_pool_servers(node->pool), link) {
			if (strcmp(server->service, "llm") != 0 ||
			    strcmp(server->failure_domain, node->failure_domain) != 0 ||
			    server->is_leaving)
				continue;
			/* Only engines that have reported their versions count. */
			engines += server->versions_known;
			loaded |= cw_pool_serves(server,
						 cw_pool_version_hash(row->model, row->version));
		}
		if (engines > 0 && !loaded)
			return row;
	}
	return NULL;
}

/* The order is idempotent, so a repeated or late one is harmless: loading a version that is loaded
 * already changes nothing. */
static void send_order(struct cw_node *node, const struct cw_row *row)
{
	struct cw_server *server = choose_engine(node);
	struct cw_effect *effect;

	if (!server)
		return;
	effect = node_add_effect(node, CW_EFFECT_ORDER, 0);
	node->order_ticket = node_new_ticket(node);
	effect->order.ticket = node->order_ticket;
	effect->order.order = "load_version";
	effect->order.fencing = node->lease.fencing;
	effect->order.table_offset = cw_table_offset(node->table);
	effect->order.timeout_ms = ORDER_TIMEOUT_MS;
	g_strlcpy(effect->order.address, server->address, CW_ADDRESS_MAX);
	g_snprintf(effect->order.target, sizeof(effect->order.target), "%s/%s", row->model,
		   row->version);
	node_log_event(node, "rollout", "order",
		       "order=load_version target=%s/%s server=%s fencing=%" G_GUINT64_FORMAT,
		       row->model, row->version, server->name, node->lease.fencing);
}

/* Chooses the engine of the failure domain with the fewest versions, then the least load. */
static struct cw_server *choose_engine(struct cw_node *node)
{
	struct cw_server *best = NULL;
	struct cw_server *server;

	TAILQ_FOREACH(server, cw_pool_servers(node->pool), link) {
		if (strcmp(server->service, "llm") != 0 ||
		    strcmp(server->failure_domain, node->failure_domain) != 0)
			continue;
		if (!cw_pool_is_usable(server, node->now_ms) || !server->versions_known)
			continue;
		if (!best || server->version_count < best->version_count ||
		    (server->version_count == best->version_count &&
		     cw_pool_load(server, node->now_ms) < cw_pool_load(best, node->now_ms)))
			best = server;
	}
	return best;
}

static void apply_trip(struct cw_node *node, struct json_object *trip)
{
	struct json_object *value;
	uint64_t version;

	if (!node->config.health->pooled || !node->log_readers[CW_STREAM_NOTICES].is_caught_up ||
	    !json_object_object_get_ex(trip, "version_id", &value))
		return;
	version = g_ascii_strtoull(json_object_get_string(value), NULL, 16);
	if (cw_health_trip(node->health, version, node->now_ms))
		node_log_event(node, "health", "trip_read", "version_id=%s",
			       json_object_get_string(value));
}
