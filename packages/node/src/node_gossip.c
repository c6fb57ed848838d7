/* Messages between instances: heartbeats with pooled evidence, anti-entropy of the table, loans. */
#include "node_internal.h"

#include <math.h>
#include <string.h>

#define FANOUT		  8 /* heartbeats sent a period */
#define SILENT_ROUNDS	  3 /* rounds of beats missed before a member counts as silent */
#define HURRY_MS	  50
#define EVIDENCE_MAX	  128
#define WANTS_MAX	  32
#define LOADS_MAX	  128
#define RATINGS_A_MESSAGE 64
#define RECORDS_BYTES_MAX (256 * 1024)
#define THOUSAND	  1000.0
#define BINDING_HOMES	  2

struct seen_ratings {
	uint64_t member;
	uint64_t boot;
	uint64_t next;
};

static void send_heartbeat(struct cw_node *node, const struct cw_member *member);
static size_t fill_ratings(struct cw_node *node, const struct cw_member *member,
			   struct peer_rating *ratings, uint64_t *first);
static void take_heartbeat(struct cw_node *node, struct cw_member *member,
			   const struct peer_message *message);
static void take_evidence(struct cw_node *node, const struct cw_member *member,
			  const struct peer_heartbeat *beat);
static void take_ratings(struct cw_node *node, const struct cw_member *member,
			 const struct peer_heartbeat *beat);
static void take_loads(struct cw_node *node, const struct peer_heartbeat *beat);
static void grant(struct cw_node *node, const struct cw_member *member,
		  const struct peer_heartbeat *beat);
static void send_table(struct cw_node *node, const struct cw_member *member, uint64_t offset);
static void take_bind(struct cw_node *node, const struct peer_binding *bind, uint64_t handle);
static void answer_binding(struct cw_node *node, const struct cw_member *member,
			   const struct peer_binding *ask);
static uint64_t *new_u64(uint64_t value);

void gossip_message(struct cw_node *node, const void *data, size_t size)
{
	struct peer_message message;
	struct cw_member *member;

	/* A forged or cut message must change nothing. */
	if (cw_peer_open(node->config.peer_key, data, size, &message) != CW_OK) {
		node_event(node, "peer", "message_rejected", "bytes=%zu", size);
		return;
	}
	member = cw_membership_upsert(node->membership, message.from, message.failure_domain,
				      message.address);
	if (!member) {
		cw_peer_release(&message);
		return;
	}
	switch (message.body.kind) {
	case PEER_HEARTBEAT:
		take_heartbeat(node, member, &message);
		break;
	case PEER_RECORDS:
		for (u_int i = 0; i < message.body.peer_body_u.records.records_len; i++) {
			const struct peer_record *peer =
				&message.body.peer_body_u.records.records_val[i];
			struct cw_log_record record = {peer->offset, peer->time_ms, peer->data};

			log_fold_table(node, &record);
		}
		break;
	case PEER_SNAPSHOT:
		log_load_table(node, message.body.peer_body_u.snapshot);
		break;
	case PEER_BILLS:
		bills_mirrored(node, message.from, message.boot, &message.body.peer_body_u.bills);
		break;
	case PEER_BILLS_HELD:
		bills_held(node, member, &message.body.peer_body_u.held);
		break;
	case PEER_BILLS_SETTLED:
		bills_settled(node, message.from, message.boot, &message.body.peer_body_u.settled);
		break;
	case PEER_BIND:
		take_bind(node, &message.body.peer_body_u.bind, 0);
		break;
	case PEER_ASK_BINDING:
		answer_binding(node, member, &message.body.peer_body_u.ask);
		break;
	case PEER_BINDING:
		take_bind(node, &message.body.peer_body_u.binding,
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
	cw_peer_release(&message);
}

/*
 * Beats go to a few members in turns, and no faster than the budget of bytes allows: with many
 * members or versions each is heard less often, so the silence that counts as death grows with the
 * time a whole round takes.
 */
void gossip_tick(struct cw_node *node)
{
	struct cw_member *members[FANOUT];
	uint64_t before = node->gossip_bytes;
	int64_t period_ms;
	int64_t round_ms;
	size_t count;

	if (node->now_ms < node->heartbeat_due_ms)
		return;
	count = cw_membership_sample(node->membership, node->heartbeat_turn, members, FANOUT);
	node->heartbeat_turn += count;
	for (size_t i = 0; i < count; i++)
		send_heartbeat(node, members[i]);
	period_ms = (int64_t)(node->gossip_bytes - before) * 1000 / node->config.gossip_bytes_per_s;
	period_ms = MAX(period_ms, node->config.heartbeat_ms);
	round_ms =
		period_ms * (int64_t)((cw_membership_size(node->membership) + FANOUT - 1) / FANOUT);
	node->heartbeat_due_ms = node->now_ms + period_ms;
	node->heartbeat_spare = period_ms == node->config.heartbeat_ms;
	cw_membership_set_timeout(node->membership,
				  MAX(node->config.silent_ms, SILENT_ROUNDS * round_ms));
}

/* Something a peer should hear sooner than the next beat, where the budget allows it. */
void gossip_hurry(struct cw_node *node)
{
	if (node->heartbeat_spare)
		node->heartbeat_due_ms = MIN(node->heartbeat_due_ms, node->now_ms + HURRY_MS);
}

void gossip_heartbeats(struct cw_node *node)
{
	const struct cw_member *member;

	TAILQ_FOREACH(member, cw_membership_members(node->membership), link)
		send_heartbeat(node, member);
}

void gossip_send(struct cw_node *node, const struct cw_member *member, struct peer_message *message)
{
	struct cw_peer_bytes bytes;
	struct cw_effect *effect;

	message->from = node->instance;
	message->failure_domain = node->failure_domain;
	message->address = node->peer_address;
	message->boot = node->config.boot;
	message->sequence = ++node->sequence;
	if (!*member->address || cw_peer_seal(node->config.peer_key, message, &bytes) != CW_OK)
		return;
	effect = node_effect(node, CW_EFFECT_SEND, 0);
	g_strlcpy(effect->send.address, member->address, CW_ADDRESS_MAX);
	effect->send.bytes = bytes;
	node->gossip_bytes += bytes.size;
}

size_t gossip_push_binding(struct cw_node *node, const struct cw_binding *binding)
{
	struct cw_member *homes[BINDING_HOMES];
	struct peer_message message = {0};
	size_t count = cw_membership_find_owners(node->membership, binding->key, node->now_ms,
						 homes, BINDING_HOMES);

	message.body.kind = PEER_BIND;
	message.body.peer_body_u.bind.key = binding->key;
	message.body.peer_body_u.bind.bound_at = binding->bound_at;
	message.body.peer_body_u.bind.row = binding->row;
	message.body.peer_body_u.bind.model = (char *)binding->model;
	message.body.peer_body_u.bind.model_version = (char *)binding->version;
	for (size_t i = 0; i < count; i++)
		gossip_send(node, homes[i], &message);
	return count;
}

size_t gossip_ask_binding(struct cw_node *node, uint64_t key, uint64_t handle)
{
	struct cw_member *homes[BINDING_HOMES];
	struct peer_message message = {0};
	size_t count = cw_membership_find_owners(node->membership, key, node->now_ms, homes,
						 BINDING_HOMES);

	message.body.kind = PEER_ASK_BINDING;
	message.body.peer_body_u.ask.key = key;
	message.body.peer_body_u.ask.asker = handle;
	message.body.peer_body_u.ask.model = (char *)"";
	message.body.peer_body_u.ask.model_version = (char *)"";
	for (size_t i = 0; i < count; i++)
		gossip_send(node, homes[i], &message);
	return count;
}

void gossip_rating(struct cw_node *node, uint64_t task, uint64_t common, uint64_t version,
		   double score, unsigned int tokens)
{
	struct rating *rating = &node->ratings[node->next_rating % RATINGS_KEPT];

	rating->task = task;
	rating->common = common;
	rating->version = version;
	rating->score = (unsigned int)lround(CLAMP(score, 0, 1) * THOUSAND);
	rating->tokens = tokens;
	node->next_rating++;
	cw_cascade_add_rating(node->cascade, task, common, version, score);
	if (cw_health_add_rating(node->health, version, score, node->now_ms))
		gossip_tripped(node, version, "ratings");
}

/* A trip acts here at once, is told to peers with the next heartbeats, and goes to the log. */
void gossip_tripped(struct cw_node *node, uint64_t version, const char *how)
{
	struct json_object *record = json_object_new_object();
	struct json_object *trip = json_object_new_object();
	const struct cw_row *row;
	char id[17];

	g_snprintf(id, sizeof(id), "%016" G_GINT64_MODIFIER "x", version);
	json_object_object_add(trip, "version_id", json_object_new_string(id));
	json_object_object_add(trip, "by", json_object_new_string(node->instance));
	json_object_object_add(trip, "how", json_object_new_string(how));
	TAILQ_FOREACH(row, cw_table_rows(node->table), link) {
		if (cw_pool_version_hash(row->model, row->version) != version)
			continue;
		json_object_object_add(trip, "model", json_object_new_string(row->model));
		json_object_object_add(trip, "version", json_object_new_string(row->version));
		node_event(node, "health", "trip", "model=%s version=%s how=%s", row->model,
			   row->version, how);
		break;
	}
	json_object_object_add(record, "trip", trip);
	log_append(node, CW_STREAM_NOTICES,
		   g_strdup(json_object_to_json_string_ext(record, JSON_C_TO_STRING_PLAIN)));
	json_object_put(record);
	gossip_hurry(node);
}

static void send_heartbeat(struct cw_node *node, const struct cw_member *member)
{
	struct cw_health_evidence own[EVIDENCE_MAX];
	uint32_t tripped[EVIDENCE_MAX];
	struct peer_evidence evidence[EVIDENCE_MAX];
	struct peer_load loads[LOADS_MAX];
	struct peer_want wants[WANTS_MAX];
	struct peer_rating ratings[RATINGS_A_MESSAGE];
	struct peer_end ends[CW_QUARANTINE_CRASHES_MAX];
	struct peer_held held[CW_QUARANTINE_RECORDS_MAX];
	struct cw_quarantine_record records[CW_QUARANTINE_RECORDS_MAX];
	uint64_t rows[WANTS_MAX];
	uint32_t parts[WANTS_MAX];
	struct peer_message message = {0};
	struct peer_heartbeat *beat = &message.body.peer_body_u.heartbeat;
	const struct cw_server *server;
	size_t count = cw_health_own_evidence(node->health, own, tripped, EVIDENCE_MAX);

	message.body.kind = PEER_HEARTBEAT;
	beat->leaving = (u_int)node->stopping;
	beat->table_offset = cw_table_offset(node->table);
	beat->claims_offset = cw_claims_offset(node->claims);
	for (size_t i = 0; i < count; i++) {
		evidence[i].model_version = own[i].version;
		evidence[i].good = own[i].good;
		evidence[i].bad = own[i].bad;
		evidence[i].slow = own[i].slow;
		evidence[i].rated = own[i].rated;
		evidence[i].rating_sum = (u_int)lround(own[i].rating_sum * THOUSAND);
		evidence[i].rating_squares = (u_int)lround(own[i].rating_squares * THOUSAND);
		evidence[i].tripped = tripped[i];
	}
	beat->evidence.evidence_len = (u_int)count;
	beat->evidence.evidence_val = evidence;
	TAILQ_FOREACH(server, cw_pool_servers(node->pool), link) {
		if (!server->own_running || beat->loads.loads_len == LOADS_MAX)
			continue;
		loads[beat->loads.loads_len].server = server->id;
		loads[beat->loads.loads_len++].running = server->own_running;
	}
	beat->loads.loads_val = loads;
	count = cw_limits_loan_requests(node->limits, node->now_ms, rows, parts, WANTS_MAX);
	for (size_t i = 0; i < count; i++) {
		wants[i].row = rows[i];
		wants[i].parts = parts[i];
	}
	beat->asked_ms = node->now_ms;
	beat->wants.wants_len = (u_int)count;
	beat->wants.wants_val = wants;
	beat->ratings.ratings_len =
		(u_int)fill_ratings(node, member, ratings, (uint64_t *)&beat->first_rating);
	beat->ratings.ratings_val = ratings;
	quarantine_tell(node, ends, held, records, beat);
	gossip_send(node, member, &message);
}

static size_t fill_ratings(struct cw_node *node, const struct cw_member *member,
			   struct peer_rating *ratings, uint64_t *first)
{
	uint64_t *sent = g_hash_table_lookup(node->ratings_sent, &member->id);
	uint64_t oldest = node->next_rating > RATINGS_KEPT ? node->next_rating - RATINGS_KEPT : 1;
	size_t count = 0;

	if (!sent) {
		sent = new_u64(oldest);
		g_hash_table_insert(node->ratings_sent, new_u64(member->id), sent);
	}
	*sent = MAX(*sent, oldest);
	*first = *sent;
	while (count < RATINGS_A_MESSAGE && *sent < node->next_rating) {
		const struct rating *rating = &node->ratings[*sent % RATINGS_KEPT];

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

static void take_heartbeat(struct cw_node *node, struct cw_member *member,
			   const struct peer_message *message)
{
	const struct peer_heartbeat *beat = &message->body.peer_body_u.heartbeat;
	int was_live = cw_membership_is_live(node->membership, member, node->now_ms);

	cw_membership_mark_seen(member, message->boot, beat->leaving != 0, node->now_ms);
	member->table_offset = beat->table_offset;
	if (was_live != cw_membership_is_live(node->membership, member, node->now_ms))
		node_event(node, "membership", was_live ? "peer_leaving" : "peer_live",
			   "peer=%s failure_domain=%s", member->instance, member->failure_domain);
	take_evidence(node, member, beat);
	take_ratings(node, member, beat);
	take_loads(node, beat);
	quarantine_hear(node, beat);
	grant(node, member, beat);
	if (beat->table_offset < cw_table_offset(node->table))
		send_table(node, member, beat->table_offset);
}

static void take_evidence(struct cw_node *node, const struct cw_member *member,
			  const struct peer_heartbeat *beat)
{
	for (u_int i = 0; i < beat->evidence.evidence_len; i++) {
		const struct peer_evidence *peer = &beat->evidence.evidence_val[i];
		struct cw_health_evidence evidence = {
			.version = peer->model_version,
			.good = peer->good,
			.bad = peer->bad,
			.slow = peer->slow,
			.rated = peer->rated,
			.rating_sum = peer->rating_sum / THOUSAND,
			.rating_squares = peer->rating_squares / THOUSAND,
		};

		if (cw_health_merge_evidence(node->health, member->id, member->boot, &evidence,
					     node->now_ms))
			gossip_tripped(node, evidence.version, "pooled");
		if (peer->tripped && node->config.health->pooled &&
		    cw_health_trip(node->health, evidence.version, node->now_ms))
			node_event(node, "health", "trip_heard", "peer=%s", member->instance);
	}
}

/* Ratings come numbered, so that a message twice or out of turn teaches nothing twice. */
static void take_ratings(struct cw_node *node, const struct cw_member *member,
			 const struct peer_heartbeat *beat)
{
	struct seen_ratings *seen = g_hash_table_lookup(node->ratings_seen, &member->id);

	if (!seen) {
		seen = g_new0(struct seen_ratings, 1);
		seen->member = member->id;
		seen->next = 1;
		g_hash_table_insert(node->ratings_seen, new_u64(member->id), seen);
	}
	if (seen->boot != member->boot) {
		seen->boot = member->boot;
		seen->next = 1;
	}
	for (u_int i = 0; i < beat->ratings.ratings_len; i++) {
		const struct peer_rating *rating = &beat->ratings.ratings_val[i];

		if (beat->first_rating + i < seen->next)
			continue;
		seen->next = beat->first_rating + i + 1;
		cw_cascade_add_rating(node->cascade, rating->task, rating->common,
				      rating->model_version, rating->score / THOUSAND);
		cw_cascade_add_cost(node->cascade, rating->task, rating->common,
				    rating->model_version, rating->tokens);
	}
}

static void take_loads(struct cw_node *node, const struct peer_heartbeat *beat)
{
	for (u_int i = 0; i < beat->loads.loads_len; i++) {
		struct cw_server *server =
			cw_pool_find(node->pool, beat->loads.loads_val[i].server);

		if (!server)
			continue;
		/* A smoothed sum: each beat replaces about its own part of it. */
		if (node->now_ms - server->peers_ms > 4 * node->config.heartbeat_ms)
			server->peers_running = 0;
		server->peers_running =
			(server->peers_running + beat->loads.loads_val[i].running + 1) / 2;
		server->peers_ms = node->now_ms;
	}
}

static void grant(struct cw_node *node, const struct cw_member *member,
		  const struct peer_heartbeat *beat)
{
	struct peer_want loans[WANTS_MAX];
	struct peer_message message = {0};
	u_int count = 0;

	for (u_int i = 0; i < beat->wants.wants_len && count < WANTS_MAX; i++) {
		const struct peer_want *want = &beat->wants.wants_val[i];
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
	message.body.peer_body_u.grants.asked_ms = beat->asked_ms;
	message.body.peer_body_u.grants.list.list_len = count;
	message.body.peer_body_u.grants.list.list_val = loans;
	gossip_send(node, member, &message);
}

/* A peer cut off from the platform learns the table from whoever has it: the records, or a
 * snapshot. */
static void send_table(struct cw_node *node, const struct cw_member *member, uint64_t offset)
{
	struct peer_message message = {0};
	struct peer_record records[CW_PEER_RECORDS];
	struct kept_record *kept = STAILQ_FIRST(&node->table_tail);
	size_t bytes = 0;
	u_int count = 0;

	if (!kept || kept->offset > offset + 1) {
		message.body.kind = PEER_SNAPSHOT;
		message.body.peer_body_u.snapshot = cw_table_create_snapshot(node->table);
		gossip_send(node, member, &message);
		g_free(message.body.peer_body_u.snapshot);
		return;
	}
	STAILQ_FOREACH(kept, &node->table_tail, link) {
		if (kept->offset <= offset)
			continue;
		bytes += strlen(kept->data);
		if (count == CW_PEER_RECORDS || (count > 0 && bytes > RECORDS_BYTES_MAX))
			break;
		records[count].offset = kept->offset;
		records[count].time_ms = kept->time_ms;
		records[count++].data = kept->data;
	}
	message.body.kind = PEER_RECORDS;
	message.body.peer_body_u.records.records_len = count;
	message.body.peer_body_u.records.records_val = records;
	gossip_send(node, member, &message);
}

static void take_bind(struct cw_node *node, const struct peer_binding *bind, uint64_t handle)
{
	struct cw_binding binding = {
		.key = bind->key, .bound_at = bind->bound_at, .row = bind->row};

	g_strlcpy(binding.model, bind->model, CW_NAME_MAX);
	g_strlcpy(binding.version, bind->model_version, CW_NAME_MAX);
	request_bound(node, &binding, handle);
}

static void answer_binding(struct cw_node *node, const struct cw_member *member,
			   const struct peer_binding *ask)
{
	const struct cw_binding *held = cw_session_find(node->sessions, ask->key, node->now_ms);
	struct peer_message message = {0};
	struct peer_binding *answer = &message.body.peer_body_u.binding;

	message.body.kind = PEER_BINDING;
	answer->key = ask->key;
	answer->asker = ask->asker;
	answer->bound_at = held ? held->bound_at : 0;
	answer->row = held ? held->row : 0;
	answer->model = (char *)(held ? held->model : "");
	answer->model_version = (char *)(held ? held->version : "");
	gossip_send(node, member, &message);
}

static uint64_t *new_u64(uint64_t value)
{
	uint64_t *copy = g_new(uint64_t, 1);

	*copy = value;
	return copy;
}
