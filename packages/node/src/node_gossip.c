/*
 * Messages between instances: heartbeats with pooled health evidence, anti-entropy of the table,
 * session bindings, and loans of shares of the limits.
 */
#include "node_internal.h"

#include <math.h>
#include <string.h>

#define HEARTBEAT_FANOUT    8 /* heartbeats per period */
#define SILENT_AFTER_ROUNDS 3 /* rounds without a heartbeat until a member counts as silent */
#define EXPEDITED_DELAY_MS  50
#define EVIDENCE_MAX	    128
#define WANTS_MAX	    32
#define LOADS_MAX	    128
#define RATINGS_PER_MESSAGE 64
#define RECORDS_BYTES_MAX   (256 * 1024)
#define SCORE_SCALE	    1000.0
#define BINDING_OWNERS	    2

struct received_ratings {
	uint64_t member;
	uint64_t boot;
	uint64_t next;
};

static void send_heartbeat(struct cw_node *node, const struct cw_member *member);
static size_t fill_ratings(struct cw_node *node, const struct cw_member *member,
			   struct peer_rating *ratings, uint64_t *first);
static void merge_heartbeat(struct cw_node *node, struct cw_member *member,
			    const struct peer_message *message, const struct peer_trailer *trailer);
static void merge_evidence(struct cw_node *node, const struct cw_member *member,
			   const struct peer_heartbeat *heartbeat);
static void merge_ratings(struct cw_node *node, const struct cw_member *member,
			  const struct peer_heartbeat *heartbeat);
static void merge_loads(struct cw_node *node, const struct peer_heartbeat *heartbeat);
static void grant_loans(struct cw_node *node, const struct cw_member *member,
			const struct peer_heartbeat *heartbeat);
static int is_table_older(const struct cw_node *node, uint64_t offset,
			  const struct cw_record_id *last);
static void send_table(struct cw_node *node, const struct cw_member *member, uint64_t offset,
		       const struct cw_record_id *last);
static const struct table_record *find_record_after(const struct cw_node *node, uint64_t offset,
						    const struct cw_record_id *last);
static void merge_binding(struct cw_node *node, const struct peer_binding *bind, uint64_t handle);
static void send_binding(struct cw_node *node, const struct cw_member *member,
			 const struct peer_binding *query);

void gossip_handle_message(struct cw_node *node, const void *data, size_t size)
{
	struct peer_trailer trailer;
	struct peer_message message;
	struct cw_member *member;

	/* A forged or truncated message must not change any state. */
	if (cw_peer_decode(node->config.peer_key, data, size, &message, &trailer) != CW_OK) {
		node_log_event(node, "peer", "message_rejected", "bytes=%zu", size);
		return;
	}
	member = cw_membership_upsert(node->membership, message.from, message.failure_domain,
				      message.address);
	if (!member) {
		cw_peer_message_clear(&message);
		return;
	}
	switch (message.body.kind) {
	case PEER_HEARTBEAT:
		merge_heartbeat(node, member, &message, &trailer);
		break;
	case PEER_RECORDS:
		table_merge_peer_records(node, message.body.peer_body_u.records.records_val,
					 message.body.peer_body_u.records.records_len);
		break;
	case PEER_SNAPSHOT:
		table_merge_peer_snapshot(node, message.body.peer_body_u.snapshot);
		break;
	case PEER_BILLS:
		bills_store_mirrors(node, message.from, message.boot,
				    &message.body.peer_body_u.bills);
		break;
	case PEER_BILLS_HELD:
		bills_mark_mirrored(node, member, &message.body.peer_body_u.held);
		break;
	case PEER_BILLS_SETTLED:
		bills_settle_mirrors(node, message.from, message.boot,
				     &message.body.peer_body_u.settled);
		break;
	case PEER_BIND:
		merge_binding(node, &message.body.peer_body_u.bind, 0);
		break;
	case PEER_ASK_BINDING:
		send_binding(node, member, &message.body.peer_body_u.ask);
		break;
	case PEER_BINDING:
		merge_binding(node, &message.body.peer_body_u.binding,
			      message.body.peer_body_u.binding.asker);
		break;
	case PEER_GRANTS:
		for (u_int i = 0; i < message.body.peer_body_u.grants.list.list_len; i++) {
			const struct peer_want *loan =
				&message.body.peer_body_u.grants.list.list_val[i];

			cw_limits_add_loan(node->limits, loan->row, member->id, loan->parts,
					   message.body.peer_body_u.grants.asked_ms);
		}
		break;
	}
	cw_peer_message_clear(&message);
}

/*
 * Heartbeats go to a few members at a time, round robin, and within the limit gossip_bytes_per_s.
 * With many members or versions each member receives fewer heartbeats, so the timeout after which a
 * member counts as silent grows with the duration of a whole round.
 */
void gossip_tick(struct cw_node *node)
{
	struct cw_member *members[HEARTBEAT_FANOUT];
	uint64_t before = node->gossip_bytes;
	int64_t period_ms;
	int64_t round_ms;
	size_t count;

	if (node->now_ms < node->heartbeat_due_ms)
		return;
	count = cw_membership_sample(node->membership, node->heartbeat_cursor, members,
				     HEARTBEAT_FANOUT);
	node->heartbeat_cursor += count;
	for (size_t i = 0; i < count; i++)
		send_heartbeat(node, members[i]);
	period_ms = (int64_t)(node->gossip_bytes - before) * 1000 / node->config.gossip_bytes_per_s;
	period_ms = MAX(period_ms, node->config.heartbeat_ms);
	round_ms = period_ms *
		   (int64_t)((cw_membership_size(node->membership) + HEARTBEAT_FANOUT - 1) /
			     HEARTBEAT_FANOUT);
	node->heartbeat_due_ms = node->now_ms + period_ms;
	node->heartbeat_in_budget = period_ms == node->config.heartbeat_ms;
	cw_membership_set_timeout(node->membership,
				  MAX(node->config.silent_ms, SILENT_AFTER_ROUNDS * round_ms));
}

/* Sends the next heartbeats within EXPEDITED_DELAY_MS, unless the last ones exceeded
 * gossip_bytes_per_s. */
void gossip_expedite_heartbeats(struct cw_node *node)
{
	if (node->heartbeat_in_budget)
		node->heartbeat_due_ms =
			MIN(node->heartbeat_due_ms, node->now_ms + EXPEDITED_DELAY_MS);
}

void gossip_send_heartbeats(struct cw_node *node)
{
	const struct cw_member *member;

	TAILQ_FOREACH(member, cw_membership_members(node->membership), link)
		send_heartbeat(node, member);
}

void gossip_send(struct cw_node *node, const struct cw_member *member, struct peer_message *message)
{
	struct cw_record_id last = cw_table_last_record(node->table);
	struct peer_trailer trailer = {{last.offset, last.time_ms, last.checksum}};
	struct cw_peer_buffer bytes;
	struct cw_effect *effect;

	message->from = node->instance;
	message->failure_domain = node->failure_domain;
	message->address = node->peer_address;
	message->boot = node->config.boot;
	message->sequence = ++node->sequence;
	if (!*member->address ||
	    cw_peer_encode(node->config.peer_key, message, &trailer, &bytes) != CW_OK)
		return;
	effect = node_add_effect(node, CW_EFFECT_SEND, 0);
	g_strlcpy(effect->send.address, member->address, CW_ADDRESS_MAX);
	effect->send.bytes = bytes;
	node->gossip_bytes += bytes.size;
}

size_t gossip_announce_binding(struct cw_node *node, const struct cw_binding *binding)
{
	struct cw_member *owners[BINDING_OWNERS];
	struct peer_message message = {0};
	size_t count = cw_membership_find_owners(node->membership, binding->key, node->now_ms,
						 owners, BINDING_OWNERS);

	message.body.kind = PEER_BIND;
	message.body.peer_body_u.bind.key = binding->key;
	message.body.peer_body_u.bind.bound_at = binding->bound_at;
	message.body.peer_body_u.bind.row = binding->row;
	message.body.peer_body_u.bind.model = (char *)binding->model;
	message.body.peer_body_u.bind.model_version = (char *)binding->version;
	for (size_t i = 0; i < count; i++)
		gossip_send(node, owners[i], &message);
	return count;
}

size_t gossip_request_binding(struct cw_node *node, uint64_t key, uint64_t handle)
{
	struct cw_member *owners[BINDING_OWNERS];
	struct peer_message message = {0};
	size_t count = cw_membership_find_owners(node->membership, key, node->now_ms, owners,
						 BINDING_OWNERS);

	message.body.kind = PEER_ASK_BINDING;
	message.body.peer_body_u.ask.key = key;
	message.body.peer_body_u.ask.asker = handle;
	message.body.peer_body_u.ask.model = (char *)"";
	message.body.peer_body_u.ask.model_version = (char *)"";
	for (size_t i = 0; i < count; i++)
		gossip_send(node, owners[i], &message);
	return count;
}

void gossip_add_rating(struct cw_node *node, uint64_t task, uint64_t common, uint64_t version,
		       double score, unsigned int tokens)
{
	struct rating *rating = &node->ratings[node->next_rating % RATINGS_RING_LENGTH];

	rating->task = task;
	rating->common = common;
	rating->version = version;
	rating->score = (unsigned int)lround(CLAMP(score, 0, 1) * SCORE_SCALE);
	rating->tokens = tokens;
	node->next_rating++;
	cw_cascade_add_rating(node->cascade, task, common, version, score);
	if (cw_health_add_rating(node->health, version, score, node->now_ms))
		gossip_announce_trip(node, version, "ratings");
}

/* A trip takes effect at once on this instance, is announced to peers with the next heartbeats, and
 * is appended to the log. */
void gossip_announce_trip(struct cw_node *node, uint64_t version, const char *cause)
{
	struct json_object *record = json_object_new_object();
	struct json_object *trip = json_object_new_object();
	const struct cw_row *row;
	char id[17];

	g_snprintf(id, sizeof(id), "%016" G_GINT64_MODIFIER "x", version);
	json_object_object_add(trip, "version_id", json_object_new_string(id));
	json_object_object_add(trip, "by", json_object_new_string(node->instance));
	json_object_object_add(trip, "how", json_object_new_string(cause));
	TAILQ_FOREACH(row, cw_table_rows(node->table), link) {
		if (cw_pool_version_hash(row->model, row->version) != version)
			continue;
		json_object_object_add(trip, "model", json_object_new_string(row->model));
		json_object_object_add(trip, "version", json_object_new_string(row->version));
		node_log_event(node, "health", "trip", "model=%s version=%s how=%s", row->model,
			       row->version, cause);
		break;
	}
	json_object_object_add(record, "trip", trip);
	log_append(node, CW_STREAM_NOTICES,
		   g_strdup(json_object_to_json_string_ext(record, JSON_C_TO_STRING_PLAIN)));
	json_object_put(record);
	gossip_expedite_heartbeats(node);
}

static void send_heartbeat(struct cw_node *node, const struct cw_member *member)
{
	struct cw_health_evidence own[EVIDENCE_MAX];
	uint32_t tripped[EVIDENCE_MAX];
	struct peer_evidence evidence[EVIDENCE_MAX];
	struct peer_load loads[LOADS_MAX];
	struct peer_want wants[WANTS_MAX];
	struct peer_rating ratings[RATINGS_PER_MESSAGE];
	struct peer_end crashes[CW_QUARANTINE_CRASHES_MAX];
	struct peer_held quarantined[CW_QUARANTINE_RECORDS_MAX];
	struct cw_quarantine_record records[CW_QUARANTINE_RECORDS_MAX];
	uint64_t rows[WANTS_MAX];
	uint32_t parts[WANTS_MAX];
	struct peer_message message = {0};
	struct peer_heartbeat *heartbeat = &message.body.peer_body_u.heartbeat;
	const struct cw_server *server;
	size_t count = cw_health_own_evidence(node->health, own, tripped, EVIDENCE_MAX);

	message.body.kind = PEER_HEARTBEAT;
	heartbeat->leaving = (u_int)node->is_stopping;
	heartbeat->table_offset = cw_table_offset(node->table);
	heartbeat->claims_offset = cw_claims_offset(node->claims);
	for (size_t i = 0; i < count; i++) {
		evidence[i].model_version = own[i].version;
		evidence[i].good = own[i].good;
		evidence[i].bad = own[i].bad;
		evidence[i].slow = own[i].slow;
		evidence[i].rated = own[i].rated;
		evidence[i].rating_sum = (u_int)lround(own[i].rating_sum * SCORE_SCALE);
		evidence[i].rating_squares = (u_int)lround(own[i].rating_squares * SCORE_SCALE);
		evidence[i].tripped = tripped[i];
	}
	heartbeat->evidence.evidence_len = (u_int)count;
	heartbeat->evidence.evidence_val = evidence;
	TAILQ_FOREACH(server, cw_pool_servers(node->pool), link) {
		if (!server->own_running || heartbeat->loads.loads_len == LOADS_MAX)
			continue;
		loads[heartbeat->loads.loads_len].server = server->id;
		loads[heartbeat->loads.loads_len++].running = server->own_running;
	}
	heartbeat->loads.loads_val = loads;
	count = cw_limits_loan_requests(node->limits, node->now_ms, rows, parts, WANTS_MAX);
	for (size_t i = 0; i < count; i++) {
		wants[i].row = rows[i];
		wants[i].parts = parts[i];
	}
	heartbeat->asked_ms = node->now_ms;
	heartbeat->wants.wants_len = (u_int)count;
	heartbeat->wants.wants_val = wants;
	heartbeat->ratings.ratings_len =
		(u_int)fill_ratings(node, member, ratings, (uint64_t *)&heartbeat->first_rating);
	heartbeat->ratings.ratings_val = ratings;
	quarantine_announce(node, crashes, quarantined, records, heartbeat);
	gossip_send(node, member, &message);
}

static size_t fill_ratings(struct cw_node *node, const struct cw_member *member,
			   struct peer_rating *ratings, uint64_t *first)
{
	uint64_t *sent = g_hash_table_lookup(node->ratings_sent, &member->id);
	uint64_t oldest = node->next_rating > RATINGS_RING_LENGTH
				  ? node->next_rating - RATINGS_RING_LENGTH
				  : 1;
	size_t count = 0;

	if (!sent) {
		sent = node_new_u64(oldest);
		g_hash_table_insert(node->ratings_sent, node_new_u64(member->id), sent);
	}
	*sent = MAX(*sent, oldest);
	*first = *sent;
	while (count < RATINGS_PER_MESSAGE && *sent < node->next_rating) {
		const struct rating *rating = &node->ratings[*sent % RATINGS_RING_LENGTH];

		ratings[count].task = rating->task;
		ratings[count].common = rating->common;
		ratings[count].model_version = rating->version;
		ratings[count].score = rating->score;
		ratings[count].tokens = rating->tokens;
		count++;
		(*sent)++;
	}
	return count;
}

static void merge_heartbeat(struct cw_node *node, struct cw_member *member,
			    const struct peer_message *message, const struct peer_trailer *trailer)
{
	const struct peer_heartbeat *heartbeat = &message->body.peer_body_u.heartbeat;
	struct cw_record_id peer_table = {trailer->table.offset, trailer->table.time_ms,
					  trailer->table.checksum};
	int was_live = cw_membership_is_live(node->membership, member, node->now_ms);

	cw_membership_mark_seen(member, message->boot, heartbeat->leaving != 0, node->now_ms);
	member->table_offset = heartbeat->table_offset;
	claims_note_peer(node, member, heartbeat->claims_offset);
	if (was_live != cw_membership_is_live(node->membership, member, node->now_ms))
		node_log_event(node, "membership", was_live ? "peer_leaving" : "peer_live",
			       "peer=%s failure_domain=%s", member->instance,
			       member->failure_domain);
	merge_evidence(node, member, heartbeat);
	merge_ratings(node, member, heartbeat);
	merge_loads(node, heartbeat);
	quarantine_merge(node, heartbeat,
			 cw_membership_delay_ms(member, heartbeat->asked_ms, node->now_ms));
	grant_loans(node, member, heartbeat);
	if (is_table_older(node, heartbeat->table_offset, &peer_table))
		send_table(node, member, heartbeat->table_offset, &peer_table);
}

/* Records of a restored log are later than the lost ones, at whatever offset they stand. */
static int is_table_older(const struct cw_node *node, uint64_t offset,
			  const struct cw_record_id *last)
{
	struct cw_record_id own = cw_table_last_record(node->table);

	if (own.offset && last->offset)
		return cw_record_id_compare(last, &own) < 0;
	return offset < cw_table_offset(node->table);
}

static void merge_evidence(struct cw_node *node, const struct cw_member *member,
			   const struct peer_heartbeat *heartbeat)
{
	for (u_int i = 0; i < heartbeat->evidence.evidence_len; i++) {
		const struct peer_evidence *peer = &heartbeat->evidence.evidence_val[i];
		struct cw_health_evidence evidence = {
			.version = peer->model_version,
			.good = peer->good,
			.bad = peer->bad,
			.slow = peer->slow,
			.rated = peer->rated,
			.rating_sum = peer->rating_sum / SCORE_SCALE,
			.rating_squares = peer->rating_squares / SCORE_SCALE,
		};

		if (cw_health_merge_evidence(node->health, member->id, member->boot, &evidence,
					     node->now_ms))
			gossip_announce_trip(node, evidence.version, "pooled");
		if (peer->tripped && node->config.health->pooled &&
		    cw_health_trip(node->health, evidence.version, node->now_ms))
			node_log_event(node, "health", "trip_heard", "peer=%s", member->instance);
	}
}

/* Ratings are numbered, so that a repeated or reordered message adds no rating twice. */
static void merge_ratings(struct cw_node *node, const struct cw_member *member,
			  const struct peer_heartbeat *heartbeat)
{
	struct received_ratings *received =
		g_hash_table_lookup(node->ratings_received, &member->id);

	if (!received) {
		received = g_new0(struct received_ratings, 1);
		received->member = member->id;
		received->next = 1;
		g_hash_table_insert(node->ratings_received, node_new_u64(member->id), received);
	}
	if (received->boot != member->boot) {
		received->boot = member->boot;
		received->next = 1;
	}
	for (u_int i = 0; i < heartbeat->ratings.ratings_len; i++) {
		const struct peer_rating *rating = &heartbeat->ratings.ratings_val[i];

		if (heartbeat->first_rating + i < received->next)
			continue;
		received->next = heartbeat->first_rating + i + 1;
		cw_cascade_add_rating(node->cascade, rating->task, rating->common,
				      rating->model_version, rating->score / SCORE_SCALE);
		cw_cascade_add_cost(node->cascade, rating->task, rating->common,
				    rating->model_version, rating->tokens);
	}
}

static void merge_loads(struct cw_node *node, const struct peer_heartbeat *heartbeat)
{
	for (u_int i = 0; i < heartbeat->loads.loads_len; i++) {
		struct cw_server *server =
			cw_pool_find(node->pool, heartbeat->loads.loads_val[i].server);

		if (!server)
			continue;
		/* An exponential moving average over all heartbeats that report the server. */
		if (node->now_ms - server->peers_ms > 4 * node->config.heartbeat_ms)
			server->peers_running = 0;
		server->peers_running =
			(server->peers_running + heartbeat->loads.loads_val[i].running + 1) / 2;
		server->peers_ms = node->now_ms;
	}
}

static void grant_loans(struct cw_node *node, const struct cw_member *member,
			const struct peer_heartbeat *heartbeat)
{
	struct peer_want loans[WANTS_MAX];
	struct peer_message message = {0};
	u_int count = 0;

	for (u_int i = 0; i < heartbeat->wants.wants_len && count < WANTS_MAX; i++) {
		const struct peer_want *want = &heartbeat->wants.wants_val[i];
		const struct cw_row *row = cw_table_find_row_by_id(node->table, want->row);
		struct cw_limit limit;
		uint32_t parts;

		if (!row)
			continue;
		limit.row = row->id;
		limit.requests_per_s = row->cell[CW_COLUMN_REQUESTS_PER_S];
		limit.tokens_per_s = row->cell[CW_COLUMN_TOKENS_PER_S];
		limit.concurrent = row->cell[CW_COLUMN_CONCURRENT];
		parts = cw_limits_lend(node->limits, &limit, member->id, want->parts, node->now_ms);
		if (parts == 0)
			continue;
		loans[count].row = want->row;
		loans[count++].parts = parts;
	}
	if (count == 0)
		return;
	message.body.kind = PEER_GRANTS;
	message.body.peer_body_u.grants.asked_ms = heartbeat->asked_ms;
	message.body.peer_body_u.grants.list.list_len = count;
	message.body.peer_body_u.grants.list.list_val = loans;
	gossip_send(node, member, &message);
}

/* A peer without a connection to the platform gets the table from a peer with a newer one: as
 * records, or as a snapshot if the records it needs are no longer stored. */
static void send_table(struct cw_node *node, const struct cw_member *member, uint64_t offset,
		       const struct cw_record_id *last)
{
	struct peer_message message = {0};
	struct peer_record records[CW_PEER_RECORDS];
	const struct table_record *stored = find_record_after(node, offset, last);
	size_t bytes = 0;
	u_int count = 0;

	if (!stored) {
		message.body.kind = PEER_SNAPSHOT;
		message.body.peer_body_u.snapshot = cw_table_create_snapshot(node->table);
		gossip_send(node, member, &message);
		g_free(message.body.peer_body_u.snapshot);
		return;
	}
	for (; stored; stored = STAILQ_NEXT(stored, link)) {
		bytes += strlen(stored->data);
		if (count == CW_PEER_RECORDS || (count > 0 && bytes > RECORDS_BYTES_MAX))
			break;
		records[count].offset = stored->offset;
		records[count].time_ms = stored->time_ms;
		records[count++].data = stored->data;
	}
	message.body.kind = PEER_RECORDS;
	message.body.peer_body_u.records.records_len = count;
	message.body.peer_body_u.records.records_val = records;
	gossip_send(node, member, &message);
}

/*
 * The first record to send to a peer whose last one is at offset: that record itself, so that the
 * peer can compare it, or the one behind it for a peer that doesn't identify its records. NULL: the
 * peer needs a snapshot.
 */
static const struct table_record *find_record_after(const struct cw_node *node, uint64_t offset,
						    const struct cw_record_id *last)
{
	const struct table_record *stored;

	STAILQ_FOREACH(stored, &node->table_records, link) {
		struct cw_record_id id;

		if (!last->offset && stored->offset == offset + 1)
			return stored;
		if (!last->offset || stored->offset != last->offset)
			continue;
		id = cw_record_id_create(stored->offset, stored->time_ms, stored->data);
		return cw_record_id_is_equal(&id, last) ? stored : NULL;
	}
	return NULL;
}

static void merge_binding(struct cw_node *node, const struct peer_binding *bind, uint64_t handle)
{
	struct cw_binding binding = {
		.key = bind->key, .bound_at = bind->bound_at, .row = bind->row};

	g_strlcpy(binding.model, bind->model, CW_NAME_MAX);
	g_strlcpy(binding.version, bind->model_version, CW_NAME_MAX);
	request_handle_binding(node, &binding, handle);
}

static void send_binding(struct cw_node *node, const struct cw_member *member,
			 const struct peer_binding *query)
{
	const struct cw_binding *known = cw_session_find(node->sessions, query->key, node->now_ms);
	struct peer_message message = {0};
	struct peer_binding *answer = &message.body.peer_body_u.binding;

	message.body.kind = PEER_BINDING;
	answer->key = query->key;
	answer->asker = query->asker;
	answer->bound_at = known ? known->bound_at : 0;
	answer->row = known ? known->row : 0;
	answer->model = (char *)(known ? known->model : "");
	answer->model_version = (char *)(known ? known->version : "");
	gossip_send(node, member, &message);
}
