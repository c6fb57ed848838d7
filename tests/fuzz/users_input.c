#include "users_input.h"

#include "cw_gate.h"
#include "cw_gossip.h"
#include "cw_gossip_backlogs.h"
#include "cw_gossip_paces.h"
#include "cw_gossip_reports.h"
#include "cw_gossip_shares.h"
#include "cw_up.h"

#include <glib.h>
#include <stdio.h>
#include <string.h>

#define SERVERS	     4
#define START_MS     100000
#define REPORTED_MAX 64
#define SETTLE_MS    500 /* after the server list was restored from an older copy */

/* What one start of a server has reported in its answers, or its entry said. */
struct reported {
	uint64_t server;
	int is_leaving;
	int64_t left_ms; /* by its entry, or its removal; 0: it is ready */
	int64_t rest_until_ms;
};

/* What the oracle knows of one call: only what callers and backend servers can observe. */
struct call_state {
	struct cw_call *call;
	const struct cw_route *route;
	int is_head_forwarded;	 /* the head was forwarded; else the attempt waits for one */
	int may_have_run;	 /* a backend server may have run the request */
	int sends;		 /* attempts that reached a backend server */
	int is_partly_delivered; /* the caller got a part of the answer */
	int has_kept;		 /* an answer is kept beside the attempt */
	int is_kept_complete;
	int is_over;	 /* the caller got a final answer or a broken connection */
	uint64_t server; /* that got the newest attempt */
	int64_t opened_ms;
};

struct harness {
	const uint8_t *at;
	const uint8_t *end;
	struct cw_gate *gate;
	struct cw_config *config;
	struct call_state call_state;
	struct cw_request_info info;
	struct cw_step step;
	int64_t now_ms;
	struct reported
		reported[REPORTED_MAX]; /* by the hash of the server; others are forgotten */
	int64_t era_began_ms;		/* of the server list */
	int64_t newest_start_ms[SERVERS];
};

static void fuzz_decoders(const uint8_t *bytes, size_t size);
static void fuzz_shares(const char *text, size_t length);
static void fuzz_paces(const char *bytes, size_t size);
static void fuzz_server_entry(const uint8_t *bytes, size_t size);
static void fuzz_quarantine(const uint8_t *bytes, size_t size);
static void fuzz_orders(const uint8_t *bytes, size_t size);
static void fuzz_calls(const uint8_t *bytes, size_t size);
static int next_byte(struct harness *harness);
static void harness_init(struct harness *harness);
static void add_route(struct cw_config *config, const char *prefix,
		      enum cw_retry_policy retry_policy, int attempts);
static void change_server(struct harness *harness);
static void remove_server(struct harness *harness);
static void begin_era(struct harness *harness);
static int may_be_superseded(const struct harness *harness, const struct reported *reported);
static void change_links(struct harness *harness);
static void execute_event(struct harness *harness);
static struct reported *get_reported(struct harness *harness, uint64_t server);
static void report_in_answer(struct harness *harness, int choice, struct cw_response_head *answer);
static void ask_for_rest(struct harness *harness, int choice, struct cw_response_head *answer);
static int handle_kept(struct harness *harness, int choice);
static void open_call(struct harness *harness);
static void end_call(struct harness *harness);
static void check_step(struct harness *harness);
static void check(int is_kept, const char *guarantee);

void users_run_input(const uint8_t *bytes, size_t size)
{
	if (size < 2)
		return;
	if (bytes[0] % 2)
		fuzz_decoders(bytes + 1, size - 1);
	else
		fuzz_calls(bytes + 1, size - 1);
}

/* Decoders of data from the shared store, peers and the operator accept or reject any bytes,
 * without memory errors. */
static void fuzz_decoders(const uint8_t *bytes, size_t size)
{
	const char *text = (const char *)bytes + 1;
	size_t length = size - 1;
	GString *body = g_string_new_len(text, (gssize)length);
	struct cw_gossip *gossip = g_new0(struct cw_gossip, 1);
	struct cw_gossip_reports reports;
	struct cw_gossip_backlogs note;
	struct cw_gossip_list list;
	struct cw_error error = {0};
	struct cw_up_page page;

	switch (bytes[0] % 8) {
	case 0:
		cw_config_unref(cw_up_parse_config(text, length, &error));
		break;
	case 1:
		cw_up_parse_log_read(bytes[0] / 8 % 4, 200, body, 7, &page, &error);
		cw_up_page_clear(&page);
		break;
	case 2:
		cw_up_parse_log_newest(bytes[0] / 8 % 4, 200, body, &page, &error);
		cw_up_page_clear(&page);
		break;
	case 3:
		cw_gossip_decode(text, length, gossip);
		cw_gossip_decode_reports(text, length, &reports);
		cw_gossip_decode_backlogs(text, length, &note);
		fuzz_shares(text, length);
		fuzz_paces(text, length);
		break;
	case 4:
		fuzz_server_entry(bytes + 1, length);
		break;
	case 5:
		fuzz_quarantine(bytes + 1, length);
		break;
	case 6:
		fuzz_orders(bytes + 1, length);
		break;
	default:
		if (cw_gossip_list_decode(text, length, &list) == CW_OK)
			cw_gossip_list_clear(&list);
	}
	g_free(gossip);
	g_string_free(body, TRUE);
}

/* Whatever a peer announces, a pace stays within its bounds. */
static void fuzz_paces(const char *bytes, size_t size)
{
	struct cw_gossip_paces message;

	if (cw_gossip_decode_paces(bytes, size, &message) != CW_OK)
		return;
	for (size_t i = 0; i < message.count; i++) {
		struct cw_pace_origin origin = {.instance = i,
						.announced_ms = message.announced_ms,
						.received_ms = START_MS};
		struct cw_pace pace = {0};
		double factor;

		origin.evidence = message.paces[i].evidence;
		cw_pace_merge(&pace, &origin, START_MS);
		cw_pace_merge_momentary(&pace, message.paces[i].momentary, START_MS);
		factor = cw_pace_reported(&pace, SETTLE_MS, START_MS);
		check(factor >= CW_PACE_MIN && factor <= CW_PACE_MAX, "a pace is out of bounds");
		factor = cw_pace_learned(&pace, START_MS);
		check(factor >= CW_PACE_MIN && factor <= CW_PACE_MAX, "a pace is out of bounds");
		cw_pace_clear(&pace);
	}
}

/* What a peer announces is granted a part between 0 and 1. */
static void fuzz_shares(const char *text, size_t length)
{
	struct cw_gossip_shares message;
	struct cw_shares *shares;

	if (cw_gossip_decode_shares(text, length, &message) != CW_OK)
		return;
	shares = cw_shares_create();
	cw_shares_add(shares, 1, 1, 10, START_MS);
	cw_shares_merge(shares, 1, message.demands, message.count, START_MS);
	for (size_t i = 0; i < message.count; i++) {
		double granted =
			cw_shares_granted(shares, message.demands[i].organisation, 0.5, START_MS);

		check(granted >= 0 && granted <= 1, "a granted part is out of bounds");
	}
	cw_shares_destroy(shares);
}

/* A backend server's entry with a few bytes changed: either complete, or rejected with a reason. */
static void fuzz_server_entry(const uint8_t *bytes, size_t size)
{
	static const char record[] = "\x02s1{\"service\":\"llm\",\"address\":\"10.0.0.1:80\","
				     "\"zone\":\"z1\",\"version\":\"v1\","
				     "\"slots\":64,\"state\":\"ready\",\"cold_left_ms\":0,\"seq\":"
				     "1,\"born\":1790651616045}";
	char changed[sizeof(record)];
	struct cw_error error = {0};
	struct cw_up_page page;
	GString *body = g_string_new_len("\0\0\0\0\0\0\0\1\0\0\0\0\0\0\0\0\0\0\0", 19);
	const struct cw_server_entry *entry;

	memcpy(changed, record, sizeof(record));
	for (size_t i = 0; i + 1 < size && i < 8; i += 2)
		changed[bytes[i] % (sizeof(record) - 1)] = (char)bytes[i + 1];
	g_string_append_c(body, (char)(sizeof(record) - 1));
	g_string_append_len(body, changed, sizeof(record) - 1);
	check(cw_up_parse_log_read(CW_UP_TOPIC_SERVERS, 200, body, 7, &page, &error) == CW_OK &&
		      page.count == 1,
	      "a valid page with an entry was rejected");
	entry = &page.log_record[0].server;
	if (page.log_record[0].kind == CW_UP_RECORD_SERVER)
		check(*entry->service && *entry->address && *entry->failure_domain &&
			      *entry->software && entry->process_start_ms >= 0 &&
			      entry->slots <= 65536,
		      "an incomplete entry was accepted as a server");
	else
		check(page.log_record[0].kind == CW_UP_RECORD_OTHER ||
			      page.log_record[0].error.status != CW_OK,
		      "an entry was rejected without a reason");
	cw_up_page_clear(&page);
	g_string_free(body, TRUE);
}

/*
 * Server crashes, answers and peers' lists in any order, for few requests and servers: the list of
 * quarantined requests stays bounded, and a request that was answered most recently is not on it.
 */
static void fuzz_quarantine(const uint8_t *bytes, size_t size)
{
	struct cw_quarantine *quarantine = cw_quarantine_create();
	struct cw_quarantine_record records[CW_QUARANTINE_MAX + 1];
	struct cw_quarantine_change change;
	int64_t now_ms = START_MS;

	for (size_t i = 0; i + 2 < size; i += 3) {
		struct cw_quarantine_request request = {
			.fingerprint = bytes[i] / 8, .organisation = "o", .target = "t"};
		struct cw_quarantine_crash end = {.fingerprint = bytes[i] / 8,
						  .server = bytes[i + 1] % 16,
						  .age_ms = bytes[i + 2] * 10,
						  .answered_ms = CW_QUARANTINE_NEVER};
		struct cw_quarantine_record record = {.fingerprint = bytes[i] / 8,
						      .age_ms = bytes[i + 2] * 10,
						      .is_released = bytes[i + 1] % 2};

		now_ms += bytes[i + 1];
		switch (bytes[i] % 8) {
		case 0:
			cw_quarantine_merge_record(quarantine, &record, CW_QUARANTINE_PEER, now_ms);
			break;
		case 1:
			cw_quarantine_note_answer(quarantine, request.fingerprint, end.server,
						  bytes[i + 2], now_ms);
			break;
		case 2:
			cw_quarantine_note_incomplete(quarantine, request.fingerprint, end.server,
						      bytes[i + 2], now_ms);
			break;
		case 3:
			end.answered_ms = bytes[i + 1] * 10;
			cw_quarantine_merge_crash(quarantine, &end, now_ms);
			break;
		default:
			cw_quarantine_note_break(quarantine, &request, end.server, bytes[i + 2],
						 bytes[i + 1] % 2, now_ms);
		}
		cw_quarantine_tick(quarantine, now_ms);
		while (cw_quarantine_next_change(quarantine, &change))
			check(change.record.fingerprint < 32,
			      "the quarantine list changed for a request that was never reported");
		check(cw_quarantine_list(quarantine, now_ms, records, CW_QUARANTINE_MAX + 1) <=
			      CW_QUARANTINE_MAX,
		      "more requests are quarantined than the list may have");
	}
	cw_quarantine_note_answer(quarantine, 1, 99, 0, now_ms + 1);
	cw_quarantine_tick(quarantine, now_ms + 2000);
	check(!cw_quarantine_contains(quarantine, 1),
	      "a request is quarantined though it was answered");
	cw_quarantine_destroy(quarantine);
}

/*
 * Orders of several eras in any order: of each domain the order with the latest position is in
 * force; an outcome of a roll-out is due exactly while it is not published in the present era, and
 * the same order at a position of another era does not begin it again.
 */
static void fuzz_orders(const uint8_t *bytes, size_t size)
{
	struct cw_rollout_options options = {
		.session_ms = 5000, .exposed_share = 0.15, .exposed_slack = 30};
	struct cw_rollout_order order = {"s", "v2", 20000};
	struct cw_rollout_status status = {"s", "v2", CW_ROLLOUT_ROLLED_BACK};
	struct cw_rollouts *rollouts = cw_rollouts_create(&options);
	struct cw_drains *drains = cw_drains_create();
	struct cw_drain_order newest[2] = {0};
	struct cw_rollout_verdict verdict;
	struct cw_position ordered = {1, 5};
	int is_published = 1;

	cw_rollouts_apply_order(rollouts, &order, ordered, START_MS);
	cw_rollouts_apply_status(rollouts, &status);
	for (size_t i = 0; i + 1 < size; i += 2) {
		struct cw_position position = {bytes[i] / 4 % 4, bytes[i + 1] / 2};
		struct cw_drain_order drain = {.position = position,
					       .is_drained = bytes[i + 1] % 2};
		struct cw_drain_order *known = &newest[bytes[i] / 16 % 2];

		switch (bytes[i] % 4) {
		case 0:
			cw_rollouts_begin_era(rollouts, START_MS + 2000);
			is_published = 0;
			break;
		case 1:
			cw_rollouts_apply_status(rollouts, &status);
			is_published = 1;
			break;
		case 2:
			if (position.era <= ordered.era)
				break;
			ordered = position;
			check(!cw_rollouts_apply_order(rollouts, &order, position, START_MS + 1000),
			      "an order began a roll-out again at a position of another era");
			break;
		default:
			g_snprintf(drain.failure_domain, sizeof(drain.failure_domain), "d%d",
				   bytes[i] / 16 % 2);
			cw_drains_apply(drains, &drain);
			if (cw_position_compare(position, known->position) >= 0)
				*known = drain;
		}
		check(cw_rollouts_evaluate(rollouts, START_MS + 1000, &verdict, 1) ==
			      (is_published ? 0 : 1),
		      "an outcome is due though it is published, or missing");
		for (size_t k = 0; k < G_N_ELEMENTS(newest); k++)
			check(!*newest[k].failure_domain ||
				      cw_drains_is_drained(drains, newest[k].failure_domain) ==
					      newest[k].is_drained,
			      "a superseded drain order is in force");
	}
	cw_drains_destroy(drains);
	cw_rollouts_destroy(rollouts);
}

static void fuzz_calls(const uint8_t *bytes, size_t size)
{
	struct harness harness = {.at = bytes, .end = bytes + size, .now_ms = START_MS};
	const struct cw_server *server;

	harness_init(&harness);
	while (harness.at < harness.end)
		execute_event(&harness);
	end_call(&harness);
	TAILQ_FOREACH(server, cw_pool_servers(cw_gate_pool(harness.gate)), link) {
		check(server->own_running == 0, "a request is counted as running after its end");
		check(server->own_work_ms < 0.001,
		      "work is counted as pending after its request's end");
		check(!server->work || (server->work->backlog.own_unread == 0 &&
					server->work->backlog.own_tokens < 0.001),
		      "a prompt or its tokens are counted after its request's end");
	}
	cw_gate_destroy(harness.gate);
	cw_config_unref(harness.config);
}

static int next_byte(struct harness *harness)
{
	return harness->at < harness->end ? *harness->at++ : 0;
}

static void harness_init(struct harness *harness)
{
	struct cw_gate_options options = {
		.failure_domain = "d0",
		.seed = 3,
		.retry_ratio = 0.9,
		.retry_slack = 5,
		.retry_window_ms = 10000,
		.rollouts = {.session_ms = 5000, .exposed_share = 0.15, .exposed_slack = 30},
	};
	struct cw_service *service;

	harness->gate = cw_gate_create(&options);
	cw_gate_set_instances(harness->gate, 1);
	harness->config = cw_config_create(1);
	service = cw_config_add_service(harness->config);
	g_strlcpy(service->name, "s", sizeof(service->name));
	service->tokens_per_event = 4;
	add_route(harness->config, "/once/", CW_RETRY_NEVER, 3);
	add_route(harness->config, "/any/", CW_RETRY_ANY, 2);
	add_route(harness->config, "/stream/", CW_RETRY_STREAM, 3);
	cw_config_build_index(harness->config);
	cw_gate_configure(harness->gate, harness->config);
	for (int i = 0; i < SERVERS; i++)
		change_server(harness);
}

static void add_route(struct cw_config *config, const char *prefix,
		      enum cw_retry_policy retry_policy, int attempts)
{
	struct cw_route *route = cw_config_add_route(config);

	g_strlcpy(route->host, "h", sizeof(route->host));
	g_strlcpy(route->prefix, prefix, sizeof(route->prefix));
	g_strlcpy(route->shares[0].service, "s", CW_NAME_MAX);
	route->shares[0].weight = 1;
	route->share_count = 1;
	route->retry_policy = retry_policy;
	route->max_attempts = attempts;
	route->limit_ms = 3000;
	route->objective_ms = 300;
	if (retry_policy != CW_RETRY_STREAM)
		return;
	route->is_resumable = 1;
	route->model_count = 2;
	g_strlcpy(route->models[0], "small", CW_NAME_MAX);
	g_strlcpy(route->models[1], "large", CW_NAME_MAX);
}

static void change_server(struct harness *harness)
{
	int choice = next_byte(harness);
	struct cw_server_entry entry = {
		.slots = 4,
		.is_leaving = choice / SERVERS % 4 == 3,
		.process_start_ms = 1 + choice / 16 % 4,
	};
	const struct cw_server *server;
	struct reported *reported;
	int64_t *newest_start_ms;
	int is_known;

	/* An earlier start writes late entries, but none once the later one was removed. */
	snprintf(entry.name, sizeof(entry.name), "s%d", choice % SERVERS);
	newest_start_ms = &harness->newest_start_ms[choice % SERVERS];
	is_known = cw_pool_find_name(cw_gate_pool(harness->gate), entry.name) != NULL;
	if (!is_known)
		entry.process_start_ms = MAX(entry.process_start_ms, *newest_start_ms);
	*newest_start_ms = MAX(entry.process_start_ms, *newest_start_ms);
	snprintf(entry.failure_domain, sizeof(entry.failure_domain), "d%d", choice % 2);
	g_strlcpy(entry.service, "s", sizeof(entry.service));
	g_strlcpy(entry.software, choice & 64 ? "v2" : "v1", sizeof(entry.software));
	g_strlcpy(entry.address, "10.0.0.1:80", sizeof(entry.address));
	cw_pool_apply_entry(cw_gate_pool(harness->gate), &entry, harness->now_ms);
	server = cw_pool_find_name(cw_gate_pool(harness->gate), entry.name);
	if (!server || server->process_start_ms != entry.process_start_ms)
		return;
	reported = get_reported(harness, server->id);
	/* Listed anew as leaving: a later entry is newer than that. */
	if (entry.is_leaving && (!is_known || !reported->left_ms))
		reported->left_ms = harness->now_ms;
	else if (!entry.is_leaving && !may_be_superseded(harness, reported))
		reported->left_ms = 0;
}

static void remove_server(struct harness *harness)
{
	struct cw_pool *pool = cw_gate_pool(harness->gate);
	struct cw_server *server;
	struct reported *reported;
	char name[CW_NAME_MAX];

	snprintf(name, sizeof(name), "s%d", next_byte(harness) % SERVERS);
	cw_pool_drop_held(pool, name);
	server = cw_pool_find_name(pool, name);
	if (!server)
		return;
	reported = get_reported(harness, server->id);
	if (!reported->left_ms)
		reported->left_ms = harness->now_ms;
	cw_pool_delist(pool, server, harness->now_ms, harness->now_ms);
	cw_pool_sweep(pool, harness->now_ms);
}

/* The server list is restored from an older copy; what it holds is applied by change_server(). */
static void begin_era(struct harness *harness)
{
	struct cw_pool *pool = cw_gate_pool(harness->gate);

	harness->era_began_ms = harness->now_ms;
	cw_pool_begin_era(pool, harness->now_ms + SETTLE_MS, harness->now_ms);
	check(cw_pool_held_count(pool) == 0, "an entry of an earlier era is held");
}

/* An entry by which the server is ready may be older than what is known. */
static int may_be_superseded(const struct harness *harness, const struct reported *reported)
{
	return reported->left_ms && reported->left_ms < harness->era_began_ms &&
	       harness->now_ms < harness->era_began_ms + SETTLE_MS;
}

/* Links to servers are cut and come back, as the I/O layer notes it. */
static void change_links(struct harness *harness)
{
	int choice = next_byte(harness);
	const struct cw_partition *partition = cw_gate_partition(harness->gate);
	struct cw_server *server;
	int i = 0;

	TAILQ_FOREACH(server, cw_pool_servers(cw_gate_pool(harness->gate)), link)
		if (choice >> i++ % 4 & 1)
			cw_gate_note_loss(harness->gate, server, harness->now_ms);
	server = TAILQ_FIRST(cw_pool_servers(cw_gate_pool(harness->gate)));
	switch (choice / 16 % 4) {
	case 0:
		cw_gate_note_contact(harness->gate, harness->now_ms);
		check(partition->state == CW_PARTITION_NONE, "a partition outlasts a contact");
		break;
	case 1:
		cw_gate_note_ended(harness->gate, harness->now_ms);
		check(partition->state != CW_PARTITION_SUSPECTED,
		      "a partition is suspected as the servers ended");
		break;
	case 2:
		if (!server)
			break;
		cw_gate_note_forwarded(harness->gate, server, choice & 1, harness->now_ms);
		check(partition->state != CW_PARTITION_SUSPECTED,
		      "a partition is only suspected though a peer reaches a server");
		check(server->path != CW_PATH_DIRECT && !server->is_unreachable,
		      "a server that a peer reaches is not used through peers");
		break;
	default:
		cw_gate_settle_breaks(harness->gate, harness->now_ms);
	}
}

static void execute_event(struct harness *harness)
{
	static const enum cw_attempt_failure failures[] = {
		CW_ATTEMPT_CONNECTION_LOST, CW_ATTEMPT_TIMED_OUT, CW_ATTEMPT_PEER_LOST,
		CW_ATTEMPT_MALFORMED};
	struct call_state *call_state = &harness->call_state;
	struct cw_response_head answer = {.confidence = -1};
	int choice = next_byte(harness);

	harness->now_ms += choice / 8;
	if (!call_state->call || call_state->is_over) {
		end_call(harness);
		if (choice % 4 == 0)
			change_server(harness);
		else if (choice % 32 == 5)
			begin_era(harness);
		else if (choice % 32 == 9)
			remove_server(harness);
		else if (choice % 32 == 13)
			change_links(harness);
		open_call(harness);
		return;
	}
	if (cw_call_is_waiting(call_state->call)) {
		cw_call_resume(call_state->call, harness->now_ms, &harness->step);
		check_step(harness);
		return;
	}
	if (call_state->has_kept && choice % 8 >= 5 && handle_kept(harness, choice / 8))
		return;
	/* Only events, the end or a failure follow a forwarded head; no event comes before one. */
	if (call_state->is_head_forwarded ? choice % 8 < 4 : choice % 8 == 5 || choice % 8 == 7)
		return;
	switch (choice % 8) {
	case 0:
	case 1:
		report_in_answer(harness, choice / 8, &answer);
		answer.status = choice % 16 == 1 ? 500 : 200;
		answer.is_signed = choice % 32 < 28;
		answer.confidence = choice;
		answer.is_event_stream = call_state->route->retry_policy == CW_RETRY_STREAM;
		answer.has_load = choice & 1;
		answer.running = (unsigned int)choice;
		call_state->may_have_run = 1;
		cw_call_handle_head(call_state->call, &answer, harness->now_ms, &harness->step);
		break;
	case 2:
		answer.status = 503;
		answer.is_not_run = 1;
		if (choice & 64)
			ask_for_rest(harness, choice / 8, &answer);
		cw_call_handle_head(call_state->call, &answer, harness->now_ms, &harness->step);
		break;
	case 3:
		call_state->sends--;
		cw_call_handle_failure(call_state->call,
				       choice & 8 ? CW_ATTEMPT_NO_CONNECTION
						  : CW_ATTEMPT_CONNECTION_REFUSED,
				       harness->now_ms, &harness->step);
		break;
	case 4:
		call_state->may_have_run = 1;
		if (choice & 32)
			cw_call_set_via_peer(call_state->call);
		cw_call_handle_failure(call_state->call, failures[choice / 8 % 4], harness->now_ms,
				       &harness->step);
		break;
	case 5:
		if (call_state->route->retry_policy != CW_RETRY_STREAM)
			return;
		call_state->is_partly_delivered = 1;
		cw_call_add_event(call_state->call, choice, harness->now_ms);
		check(!cw_call_has_kept(call_state->call),
		      "an answer is kept after a part of another one was delivered");
		call_state->has_kept = 0;
		return;
	case 6:
		call_state->may_have_run = 1;
		cw_call_expire(call_state->call, harness->now_ms, &harness->step);
		break;
	default:
		call_state->is_over = 1;
		cw_call_complete(call_state->call, harness->now_ms);
		return;
	}
	check_step(harness);
}

/* What happens to the answer that is kept beside the attempt; 0: nothing. */
static int handle_kept(struct harness *harness, int choice)
{
	struct call_state *call_state = &harness->call_state;
	struct cw_call *call = call_state->call;

	check(cw_call_has_kept(call), "a kept answer was lost");
	if (choice % 8 == 0 && cw_call_kept_server(call))
		cw_call_complete_kept(call, (unsigned int)choice, harness->now_ms);
	else if (choice % 8 == 1 && cw_call_kept_server(call))
		cw_call_fail_kept(call,
				  choice & 8 ? CW_ATTEMPT_CONNECTION_LOST : CW_ATTEMPT_TIMED_OUT,
				  harness->now_ms);
	else if (choice % 8 == 2)
		cw_call_drop_kept(call, harness->now_ms);
	else if (choice % 8 < 6 && cw_call_check_kept(call, harness->now_ms, &harness->step))
		check_step(harness);
	else
		return 0;
	call_state->has_kept = cw_call_has_kept(call);
	call_state->is_kept_complete = call_state->has_kept && !cw_call_kept_server(call);
	return 1;
}

static struct reported *get_reported(struct harness *harness, uint64_t server)
{
	struct reported *reported = &harness->reported[server % REPORTED_MAX];

	if (reported->server != server)
		*reported = (struct reported){.server = server};
	return reported;
}

static void report_in_answer(struct harness *harness, int choice, struct cw_response_head *answer)
{
	if (choice % 16 == 5) {
		answer->leaving = CW_FIELD_VALID;
		answer->is_leaving = 1;
		get_reported(harness, harness->call_state.server)->is_leaving = 1;
	} else if (choice % 16 == 9) {
		answer->rate_limit = CW_FIELD_VALID;
		answer->rate_limit_per_s = choice / 8.0;
	} else if (choice % 16 == 13) {
		answer->rate_limit = CW_FIELD_INVALID;
	} else if (choice % 16 == 3) {
		answer->brittle = CW_FIELD_VALID;
		answer->tolerated_per_s = choice / 16.0;
	} else if (choice % 16 == 11) {
		answer->brittle = CW_FIELD_INVALID;
	}
}

static void ask_for_rest(struct harness *harness, int choice, struct cw_response_head *answer)
{
	struct reported *reported = get_reported(harness, harness->call_state.server);

	answer->rest = CW_FIELD_VALID;
	answer->rest_s = choice / 16.0;
	reported->rest_until_ms =
		MAX(reported->rest_until_ms, harness->now_ms + (int64_t)(answer->rest_s * 1000));
}

static void open_call(struct harness *harness)
{
	static const char *const paths[] = {"/once/x", "/any/x", "/stream/x", "/none/x"};
	int choice = next_byte(harness);
	struct call_state *call_state = &harness->call_state;

	memset(&harness->info, 0, sizeof(harness->info));
	g_strlcpy(harness->info.id, "r", sizeof(harness->info.id));
	g_strlcpy(harness->info.host, "h", sizeof(harness->info.host));
	g_strlcpy(harness->info.model, CW_ANY_MODEL, sizeof(harness->info.model));
	harness->info.path = paths[choice % 4];
	harness->info.allowed_ms = choice * 20;
	harness->info.last_event = CW_NO_EVENT;
	harness->info.segment_count = choice % 3;
	harness->info.prompt_tokens = choice * 10;
	call_state->call = cw_call_open(harness->gate, &harness->info, harness->now_ms,
					harness->now_ms, &harness->step);
	call_state->route = cw_call_route(call_state->call);
	call_state->opened_ms = harness->now_ms;
	check_step(harness);
}

static void end_call(struct harness *harness)
{
	cw_call_close(harness->call_state.call, harness->now_ms);
	memset(&harness->call_state, 0, sizeof(harness->call_state));
}

static void check_step(struct harness *harness)
{
	struct call_state *call_state = &harness->call_state;
	const struct cw_step *step = &harness->step;
	const struct reported *reported;

	switch (step->kind) {
	case CW_STEP_SEND:
		call_state->sends++;
		call_state->is_head_forwarded = 0;
		if (step->keeps_answer) {
			check(!call_state->has_kept, "two answers are kept");
			call_state->has_kept = 1;
			call_state->is_kept_complete = 0;
		}
		call_state->server = step->server->id;
		reported = get_reported(harness, step->server->id);
		check(!step->server->is_leaving, "a leaving server got a request");
		check(!reported->is_leaving, "a server that reported leaving got a request");
		check(!may_be_superseded(harness, reported),
		      "a server that had left got a request by an entry of an older copy");
		check(harness->now_ms >= reported->rest_until_ms,
		      "a server that asked for rest got a request");
		check(!step->server->is_superseded,
		      "a superseded incarnation of a server got a request");
		check(call_state->route->retry_policy != CW_RETRY_NEVER ||
			      !call_state->may_have_run,
		      "a request that must run at most once was retried though it may have run");
		check(call_state->sends <= call_state->route->max_attempts,
		      "a request was sent more often than the route allows");
		check(call_state->route->retry_policy != CW_RETRY_ANY ||
			      !call_state->is_partly_delivered,
		      "a request was retried after the caller got a part of its answer");
		check(step->dispatch.allowed_ms <= MAX(harness->info.allowed_ms, 1),
		      "a server got a longer time limit than the caller gave");
		break;
	case CW_STEP_WAIT:
		check(call_state->sends == 0, "a request that was sent waits for room");
		check(harness->now_ms - call_state->opened_ms <=
			      call_state->route->objective_ms / 4,
		      "a request waits for room past a quarter of its objective");
		break;
	case CW_STEP_REJECT:
		call_state->is_over = 1;
		check(!call_state->is_partly_delivered,
		      "a request was rejected after the caller got a part of its answer");
		check((step->status != 503 && step->status != 429) || !call_state->may_have_run,
		      "a request was rejected with status 503 or 429 though it may have run");
		check(step->run != CW_RUN_NOT_EXECUTED || !call_state->may_have_run,
		      "a request was reported as not run though it may have run");
		break;
	case CW_STEP_ABORT:
		call_state->is_over = 1;
		check(call_state->is_partly_delivered,
		      "the connection was aborted though no part of the answer was delivered");
		break;
	case CW_STEP_FORWARD:
		call_state->is_head_forwarded = 1;
		break;
	case CW_STEP_FORWARD_KEPT:
		check(call_state->has_kept, "an answer was delivered that was not kept");
		check(!call_state->is_partly_delivered,
		      "a kept answer was delivered after a part of another one");
		check(!cw_call_has_kept(call_state->call), "a delivered answer is still kept");
		check(call_state->is_kept_complete == !cw_call_server(call_state->call),
		      "a delivered answer has a run though it is complete, or none");
		call_state->has_kept = 0;
		call_state->is_head_forwarded = 1;
		call_state->is_over = call_state->is_kept_complete;
		break;
	}
}

static void check(int is_kept, const char *guarantee)
{
	if (is_kept)
		return;
	fprintf(stderr, "broken: %s\n", guarantee);
	abort();
}
