/*
 * Poison requests, which crash the engines that run them: reports the outcome of attempts to the
 * quarantine, rejects quarantined requests, and exchanges the list of quarantined requests with
 * peers, the notices stream and operators.
 */
#include "node_internal.h"

#include <string.h>

#define WRITE_RANK_DELAY_MS 400	 /* added delay for each rank among the live instances */
#define WRITE_RETRY_MS	    2000 /* after an append: its record is read back by then, or was lost */
#define SETTLE_MS	    1000 /* after the notices were found restored, until they are read again */
#define PEERS_NOTICE_MS	    3000 /* until the peers have found them restored too */

static int begin_trial(struct cw_node *node, struct request *request);
static struct cw_quarantine_request to_quarantine_request(const struct request *request);
static int64_t attempt_run_ms(const struct cw_node *node, const struct request *request);
static void log_quarantine_change(struct cw_node *node, const struct cw_quarantine_change *change);
static void log_outages(struct cw_node *node);
static uint32_t add_delay(uint32_t age_ms, uint32_t delay_ms);
static void abort_quarantined(struct cw_node *node);
static void write_next_record(struct cw_node *node);
static struct json_object *record_to_json(const struct cw_quarantine_record *record);
static const char *get_text(struct json_object *object, const char *key);

int quarantine_reject(struct cw_node *node, struct request *request)
{
	if (!cw_quarantine_contains(node->quarantine, request->fingerprint) ||
	    begin_trial(node, request))
		return 0;
	request_reject(node, request, CW_CODE_QUARANTINED, 0,
		       "backend servers ended under this request");
	return 1;
}

/* The instances that receive heartbeats of each other take turns, and each sends the request once,
 * as a trial may crash a server. */
static int begin_trial(struct cw_node *node, struct request *request)
{
	if (request->is_trial)
		return request->attempt_count == 0;
	if (request->attempt_count > 0 ||
	    !cw_quarantine_admits_trial(
		    node->quarantine, request->fingerprint,
		    cw_membership_rank(node->membership, request->fingerprint, node->now_ms),
		    node->now_ms))
		return 0;
	cw_quarantine_begin_trial(node->quarantine, request->fingerprint, node->now_ms);
	request->is_trial = 1;
	return 1;
}

/* Must be called before the attempt counts for the health of the server and of its version. */
void quarantine_record_attempt(struct cw_node *node, const struct request *request,
			       const struct cw_server *server, const struct cw_attempt_end *end)
{
	const struct attempt *attempt = &request->attempts[request->attempt_count - 1];
	struct cw_quarantine_request quarantined = to_quarantine_request(request);

	if (end->result == CW_ATTEMPT_ANSWERED || end->result == CW_ATTEMPT_CLIENT_ERROR)
		cw_quarantine_note_received(node->quarantine, server->id, attempt->sent_ms,
					    node->now_ms);
	switch (end->result) {
	case CW_ATTEMPT_ANSWERED:
	case CW_ATTEMPT_CLIENT_ERROR:
		if (attempt->mode != CW_DISPATCH_FRESH) {
			quarantine_note_incomplete(node, request, server);
			break;
		}
		cw_quarantine_note_answer(node->quarantine, request->fingerprint, server->id,
					  attempt_run_ms(node, request), node->now_ms);
		break;
	case CW_ATTEMPT_INTERRUPTED:
		if (!end->is_closed_by_server || server->is_leaving || server->is_removed) {
			quarantine_note_incomplete(node, request, server);
			break;
		}
		cw_quarantine_note_break(node->quarantine, &quarantined, server->id,
					 attempt_run_ms(node, request), 0, node->now_ms);
		/* The node does not probe servers: a closed connection counts as a crash. */
		cw_quarantine_note_unreachable(node->quarantine, server->id, node->now_ms);
		gossip_expedite_heartbeats(node);
		break;
	case CW_ATTEMPT_FAILED:
	case CW_ATTEMPT_CANCELLED:
		quarantine_note_incomplete(node, request, server);
		break;
	case CW_ATTEMPT_NOT_SENT:
		if (end->is_closed_by_server && !server->is_leaving && !server->is_removed)
			cw_quarantine_note_refused(node->quarantine, server->id, node->now_ms,
						   node->now_ms);
		break;
	case CW_ATTEMPT_BUSY:
		break;
	}
}

void quarantine_note_incomplete(struct cw_node *node, const struct request *request,
				const struct cw_server *server)
{
	cw_quarantine_note_incomplete(node->quarantine, request->fingerprint, server->id,
				      attempt_run_ms(node, request), node->now_ms);
}

static struct cw_quarantine_request to_quarantine_request(const struct request *request)
{
	return (struct cw_quarantine_request){
		.fingerprint = request->fingerprint,
		.organisation = request->organisation,
		.target = request->in.target,
	};
}

/* Time since the newest attempt was sent. */
static int64_t attempt_run_ms(const struct cw_node *node, const struct request *request)
{
	return node->now_ms - request->attempts[request->attempt_count - 1].sent_ms;
}

void quarantine_tick(struct cw_node *node)
{
	struct cw_quarantine_change change;
	int any = 0;

	cw_quarantine_tick(node->quarantine, node->now_ms);
	log_outages(node);
	while (cw_quarantine_next_change(node->quarantine, &change)) {
		any = 1;
		log_quarantine_change(node, &change);
	}
	if (any) {
		abort_quarantined(node);
		gossip_expedite_heartbeats(node);
	}
	write_next_record(node);
}

void quarantine_rewind(struct cw_node *node)
{
	node->notices_rewound_ms = node->now_ms;
	cw_quarantine_begin_era(node->quarantine, node->now_ms + SETTLE_MS);
}

/* The age of the record counts from its time in the log, so that reading the notices again does not
 * prolong a quarantine. */
void quarantine_apply_notice(struct cw_node *node, struct json_object *notice, int64_t time_ms)
{
	struct cw_quarantine_record record = {.is_written = 1};
	struct json_object *value;

	record.fingerprint = g_ascii_strtoull(get_text(notice, "fingerprint"), NULL, 16);
	g_strlcpy(record.organisation, get_text(notice, "organisation"), CW_NAME_MAX);
	g_strlcpy(record.target, get_text(notice, "target"), CW_NAME_MAX);
	if (json_object_object_get_ex(notice, "ends", &value))
		record.crash_count = (uint32_t)json_object_get_int64(value);
	if (json_object_object_get_ex(notice, "released", &value))
		record.is_released = json_object_get_boolean(value);
	record.age_ms = (uint32_t)CLAMP(node->wall_ms - time_ms, 0, UINT32_MAX - 1);
	cw_quarantine_merge_record(node->quarantine, &record, CW_QUARANTINE_STORE, node->now_ms);
	if (cw_quarantine_contains(node->quarantine, record.fingerprint) != record.is_released)
		cw_quarantine_mark_written(node->quarantine, record.fingerprint, record.is_released,
					   node->now_ms);
}

void quarantine_handle_append(struct cw_node *node, const struct cw_append_result *appended)
{
	if (appended->ticket == node->quarantine_ticket)
		node->quarantine_ticket = 0;
}

void quarantine_announce(struct cw_node *node, struct peer_end crashes[CW_QUARANTINE_CRASHES_MAX],
			 struct peer_held quarantined[CW_QUARANTINE_RECORDS_MAX],
			 struct cw_quarantine_record records[CW_QUARANTINE_RECORDS_MAX],
			 struct peer_heartbeat *heartbeat)
{
	struct cw_quarantine_crash own[CW_QUARANTINE_CRASHES_MAX];
	size_t count = cw_quarantine_announce_crashes(node->quarantine, node->now_ms, own,
						      CW_QUARANTINE_CRASHES_MAX);

	for (size_t i = 0; i < count; i++) {
		crashes[i].fingerprint = own[i].fingerprint;
		crashes[i].server = own[i].server;
		crashes[i].alive = (u_int)own[i].is_alive;
		crashes[i].age_ms = own[i].age_ms;
		crashes[i].ran_ms = own[i].ran_ms;
		crashes[i].running = (u_int)own[i].is_running;
		crashes[i].confirmed = (u_int)own[i].is_confirmed;
		crashes[i].answered_ms = own[i].answered_ms;
	}
	heartbeat->ends.ends_len = (u_int)count;
	heartbeat->ends.ends_val = crashes;
	count = cw_quarantine_announce_records(node->quarantine, node->now_ms, records,
					       CW_QUARANTINE_RECORDS_MAX);
	for (size_t i = 0; i < count; i++) {
		quarantined[i].fingerprint = records[i].fingerprint;
		quarantined[i].organisation = records[i].organisation;
		quarantined[i].target = records[i].target;
		quarantined[i].ends = records[i].crash_count;
		quarantined[i].age_ms = records[i].age_ms;
		quarantined[i].released = (u_int)records[i].is_released;
		quarantined[i].written = (u_int)records[i].is_written;
	}
	heartbeat->held.held_len = (u_int)count;
	heartbeat->held.held_val = quarantined;
}

void quarantine_merge(struct cw_node *node, const struct peer_heartbeat *heartbeat,
		      uint32_t delay_ms)
{
	/* A peer may still take a lost record for written. */
	int is_doubtful = node->notices_rewound_ms >= 0 &&
			  node->now_ms - node->notices_rewound_ms < PEERS_NOTICE_MS;

	for (u_int i = 0; i < heartbeat->ends.ends_len; i++) {
		const struct peer_end *peer = &heartbeat->ends.ends_val[i];
		struct cw_quarantine_crash crash = {
			.fingerprint = peer->fingerprint,
			.server = peer->server,
			.is_alive = peer->alive != 0,
			.age_ms = add_delay(peer->age_ms, delay_ms),
			.ran_ms = peer->ran_ms,
			.is_running = peer->running != 0,
			.is_confirmed = peer->confirmed != 0,
			.answered_ms = add_delay(peer->answered_ms, delay_ms),
		};

		cw_quarantine_merge_crash(node->quarantine, &crash, node->now_ms);
	}
	for (u_int i = 0; i < heartbeat->held.held_len; i++) {
		const struct peer_held *peer = &heartbeat->held.held_val[i];
		struct cw_quarantine_record record = {
			.fingerprint = peer->fingerprint,
			.crash_count = peer->ends,
			.age_ms = add_delay(peer->age_ms, delay_ms),
			.is_released = peer->released != 0,
			.is_written = peer->written && !is_doubtful,
		};

		g_strlcpy(record.organisation, peer->organisation, CW_NAME_MAX);
		g_strlcpy(record.target, peer->target, CW_NAME_MAX);
		cw_quarantine_merge_record(node->quarantine, &record, CW_QUARANTINE_PEER,
					   node->now_ms);
	}
}

/* CW_QUARANTINE_NEVER stays. */
static uint32_t add_delay(uint32_t age_ms, uint32_t delay_ms)
{
	return age_ms < UINT32_MAX - delay_ms ? age_ms + delay_ms : age_ms;
}

char *quarantine_to_json(struct cw_node *node)
{
	struct cw_quarantine_record records[CW_QUARANTINE_MAX];
	size_t count =
		cw_quarantine_list(node->quarantine, node->now_ms, records, CW_QUARANTINE_MAX);
	struct json_object *answer = json_object_new_object();
	struct json_object *list = json_object_new_array();
	char *text;

	for (size_t i = 0; i < count; i++)
		json_object_array_add(list, record_to_json(&records[i]));
	json_object_object_add(answer, "quarantined", list);
	text = g_strdup(json_object_to_json_string_ext(answer, JSON_C_TO_STRING_PLAIN));
	json_object_put(answer);
	return text;
}

int quarantine_release(struct cw_node *node, const char *fingerprint)
{
	char *end;
	uint64_t number = g_ascii_strtoull(fingerprint, &end, 16);

	return end != fingerprint && !*end &&
	       cw_quarantine_release(node->quarantine, number, node->now_ms);
}

static void log_quarantine_change(struct cw_node *node, const struct cw_quarantine_change *change)
{
	const struct cw_quarantine_record *record = &change->record;
	char outages[CW_QUARANTINE_EVIDENCE_MAX * 11];

	cw_quarantine_format_outages(change, outages, sizeof(outages));
	node_log_event(node, "request", record->is_released ? "quarantine_released" : "quarantined",
		       "fingerprint=%016" G_GINT64_MODIFIER
		       "x organisation=%s target=%s ends=%u rivals=%u age_ms=%u source=%s "
		       "outages=%s",
		       record->fingerprint, *record->organisation ? record->organisation : "-",
		       *record->target ? record->target : "-", record->crash_count,
		       change->alternatives, record->age_ms,
		       cw_quarantine_source_name(change->source), *outages ? outages : "-");
}

/* The outages that quarantined lines refer to by number. */
static void log_outages(struct cw_node *node)
{
	struct cw_quarantine_outage outage;

	while (cw_quarantine_next_outage(node->quarantine, &outage)) {
		const struct cw_server *server = cw_pool_find(node->pool, outage.server);

		node_log_event(node, "request", "server_outage",
			       "server=%s outage=%u age_ms=%u finding=%s",
			       server ? server->name : "-", outage.number, outage.age_ms,
			       cw_quarantine_finding_name(outage.finding));
	}
}

/* A quarantined request that still waits in the queue of an engine would crash that engine too,
 * unless it is cancelled in time. */
static void abort_quarantined(struct cw_node *node)
{
	struct request *request = LIST_FIRST(&node->requests);

	while (request) {
		struct request *next = LIST_NEXT(request, link);
		struct cw_server *server = cw_pool_find(node->pool, request->server);

		if (request->state == REQUEST_RUNNING && !request->is_trial &&
		    cw_quarantine_contains(node->quarantine, request->fingerprint)) {
			if (server)
				cw_pool_record_end(server, node->now_ms, -1);
			request->may_have_run = 1;
			quarantine_reject(node, request);
		}
		request = next;
	}
}

/* Appends the oldest unwritten record to the notices, where the record outlives all instances. The
 * instances take turns by rank, so that usually one of them writes the record. */
static void write_next_record(struct cw_node *node)
{
	struct cw_quarantine_record record;
	struct json_object *notice;
	size_t rank;

	if (node->quarantine_ticket || node->now_ms < node->quarantine_due_ms ||
	    !log_is_up(node, CW_STREAM_NOTICES) ||
	    !cw_quarantine_find_unwritten(node->quarantine, node->now_ms, &record))
		return;
	rank = cw_membership_rank(node->membership, record.fingerprint, node->now_ms);
	if (record.age_ms < WRITE_RANK_DELAY_MS * rank)
		return;
	notice = json_object_new_object();
	json_object_object_add(notice, "quarantine", record_to_json(&record));
	node->quarantine_due_ms = node->now_ms + WRITE_RETRY_MS;
	node->quarantine_ticket = log_append(
		node, CW_STREAM_NOTICES,
		g_strdup(json_object_to_json_string_ext(notice, JSON_C_TO_STRING_PLAIN)));
	json_object_put(notice);
}

static struct json_object *record_to_json(const struct cw_quarantine_record *record)
{
	struct json_object *object = json_object_new_object();
	char fingerprint[17];

	g_snprintf(fingerprint, sizeof(fingerprint), "%016" G_GINT64_MODIFIER "x",
		   record->fingerprint);
	json_object_object_add(object, "fingerprint", json_object_new_string(fingerprint));
	json_object_object_add(object, "organisation",
			       json_object_new_string(record->organisation));
	json_object_object_add(object, "target", json_object_new_string(record->target));
	json_object_object_add(object, "ends", json_object_new_int64(record->crash_count));
	json_object_object_add(object, "age_ms", json_object_new_int64(record->age_ms));
	json_object_object_add(object, "released", json_object_new_boolean(record->is_released));
	return object;
}

static const char *get_text(struct json_object *object, const char *key)
{
	struct json_object *value;

	if (!json_object_object_get_ex(object, key, &value) ||
	    !json_object_is_type(value, json_type_string))
		return "";
	return json_object_get_string(value);
}
