#include "users_input.h"

#include "cw_gate.h"
#include "cw_gossip.h"
#include "cw_up.h"

#include <glib.h>
#include <stdio.h>
#include <string.h>

#define SERVERS 4
#define START	100000

/* The oracle's own account of one call; it knows only what callers and servers are promised. */
struct account {
	struct cw_call *call;
	const struct cw_route *route;
	int is_showing; /* a head was let through; else a send waits for one */
	int may_ran;	/* a server may have run it */
	int sends;	/* that reached a server */
	int is_shown;	/* the caller saw a part */
	int is_over;
};

struct stage {
	const uint8_t *at;
	const uint8_t *end;
	struct cw_gate *gate;
	struct cw_config *config;
	struct account account;
	struct cw_request_info facts;
	struct cw_step step;
	int64_t now_ms;
};

static void decode(const uint8_t *bytes, size_t size);
static void decode_entry(const uint8_t *bytes, size_t size);
static void hear_ends(const uint8_t *bytes, size_t size);
static void play(const uint8_t *bytes, size_t size);
static int next(struct stage *stage);
static void open_stage(struct stage *stage);
static void add_route(struct cw_config *config, const char *prefix,
		      enum cw_retry_policy retry_policy, int attempts);
static void change_server(struct stage *stage);
static void act(struct stage *stage);
static void open_call(struct stage *stage);
static void end_call(struct stage *stage);
static void take_step(struct stage *stage);
static void check(int holds, const char *promise);

void users_input(const uint8_t *bytes, size_t size)
{
	if (size < 2)
		return;
	if (bytes[0] % 2)
		decode(bytes + 1, size - 1);
	else
		play(bytes + 1, size - 1);
}

/* Whatever the store, a peer or the operator sends: understood or refused, never more. */
static void decode(const uint8_t *bytes, size_t size)
{
	const char *text = (const char *)bytes + 1;
	size_t length = size - 1;
	GString *body = g_string_new_len(text, (gssize)length);
	struct cw_gossip *gossip = g_new0(struct cw_gossip, 1);
	struct cw_gossip_list list;
	struct cw_error error = {0};
	struct cw_up_page page;

	switch (bytes[0] % 7) {
	case 0:
		cw_config_unref(cw_up_parse_config(text, length, &error));
		break;
	case 1:
		cw_up_parse_log_read(bytes[0] / 7 % 4, 200, body, 7, &page, &error);
		cw_up_page_clear(&page);
		break;
	case 2:
		cw_up_parse_log_newest(bytes[0] / 7 % 4, 200, body, &page, &error);
		cw_up_page_clear(&page);
		break;
	case 3:
		cw_gossip_decode(text, length, gossip);
		break;
	case 4:
		decode_entry(bytes + 1, length);
		break;
	case 5:
		hear_ends(bytes + 1, length);
		break;
	default:
		if (cw_gossip_list_decode(text, length, &list) == CW_OK)
			g_free(list.entries);
	}
	g_free(gossip);
	g_string_free(body, TRUE);
}

/* A server's own entry, with some bytes changed: it names a server whole, or none. */
static void decode_entry(const uint8_t *bytes, size_t size)
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
	      "a page with an entry was not read");
	entry = &page.log_record[0].server;
	if (page.log_record[0].kind == CW_UP_RECORD_SERVER)
		check(*entry->service && *entry->address && *entry->failure_domain &&
			      *entry->software && entry->process_start_ms >= 0 &&
			      entry->slots <= 65536,
		      "half an entry names a server");
	else
		check(page.log_record[0].kind == CW_UP_RECORD_OTHER ||
			      page.log_record[0].error.status != CW_OK,
		      "an entry was dropped without a reason");
	cw_up_page_clear(&page);
	g_string_free(body, TRUE);
}

/*
 * Ends of servers, answers and peers' lists in any order, of few requests and servers: the list
 * stays bounded, and what was answered last of all is not on it.
 */
static void hear_ends(const uint8_t *bytes, size_t size)
{
	struct cw_quarantine *quarantine = cw_quarantine_create();
	struct cw_quarantine_record records[CW_QUARANTINE_MAX + 1];
	struct cw_quarantine_change change;
	int64_t now_ms = START;

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
			check(change.record.fingerprint < 32, "a change of an unknown request");
		check(cw_quarantine_list(quarantine, now_ms, records, CW_QUARANTINE_MAX + 1) <=
			      CW_QUARANTINE_MAX,
		      "more requests are held than may be");
	}
	cw_quarantine_note_answer(quarantine, 1, 99, 0, now_ms + 1);
	cw_quarantine_tick(quarantine, now_ms + 2000);
	check(!cw_quarantine_contains(quarantine, 1), "a request is held that was answered");
	cw_quarantine_destroy(quarantine);
}

static void play(const uint8_t *bytes, size_t size)
{
	struct stage stage = {.at = bytes, .end = bytes + size, .now_ms = START};
	const struct cw_server *server;

	open_stage(&stage);
	while (stage.at < stage.end)
		act(&stage);
	end_call(&stage);
	TAILQ_FOREACH(server, cw_pool_servers(cw_gate_pool(stage.gate)), link) {
		check(server->own_running == 0, "a request is counted after its end");
		check(server->own_work_ms < 0.001, "work is counted after its end");
	}
	cw_gate_destroy(stage.gate);
	cw_config_unref(stage.config);
}

static int next(struct stage *stage)
{
	return stage->at < stage->end ? *stage->at++ : 0;
}

static void open_stage(struct stage *stage)
{
	struct cw_gate_options options = {
		.failure_domain = "d0",
		.seed = 3,
		.retry_ratio = 0.9,
		.retry_slack = 5,
		.retry_window_ms = 10000,
		.rollouts = {.session_ms = 5000, .exposed_share = 0.15, .exposed_slack = 30},
	};

	stage->gate = cw_gate_create(&options);
	cw_gate_set_instances(stage->gate, 1);
	stage->config = cw_config_create(1);
	add_route(stage->config, "/once/", CW_RETRY_NEVER, 3);
	add_route(stage->config, "/any/", CW_RETRY_ANY, 2);
	add_route(stage->config, "/stream/", CW_RETRY_STREAM, 3);
	cw_config_build_index(stage->config);
	cw_gate_configure(stage->gate, stage->config);
	for (int i = 0; i < SERVERS; i++)
		change_server(stage);
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

static void change_server(struct stage *stage)
{
	int choice = next(stage);
	struct cw_server_entry entry = {
		.slots = 4,
		.leaving = choice / SERVERS % 4 == 3,
		.process_start_ms = 1 + choice / 16 % 4,
	};

	snprintf(entry.name, sizeof(entry.name), "s%d", choice % SERVERS);
	snprintf(entry.failure_domain, sizeof(entry.failure_domain), "d%d", choice % 2);
	g_strlcpy(entry.service, "s", sizeof(entry.service));
	g_strlcpy(entry.software, choice & 64 ? "v2" : "v1", sizeof(entry.software));
	g_strlcpy(entry.address, "10.0.0.1:80", sizeof(entry.address));
	cw_pool_apply_entry(cw_gate_pool(stage->gate), &entry, stage->now_ms);
}

static void act(struct stage *stage)
{
	struct account *account = &stage->account;
	struct cw_response_head answer = {.confidence = -1};
	int choice = next(stage);

	stage->now_ms += choice / 8;
	if (!account->call || account->is_over) {
		end_call(stage);
		if (choice % 4 == 0)
			change_server(stage);
		open_call(stage);
		return;
	}
	/* Nothing but events, an end or a failure follows a head that was let through. */
	if (account->is_showing ? choice % 8 < 4 : choice % 8 == 5 || choice % 8 == 7)
		return;
	switch (choice % 8) {
	case 0:
	case 1:
		answer.status = choice % 16 == 1 ? 500 : 200;
		answer.is_signed = choice % 32 < 28;
		answer.confidence = choice;
		answer.has_load = choice & 1;
		answer.running = (unsigned int)choice;
		account->may_ran = 1;
		cw_call_handle_head(account->call, &answer, stage->now_ms, &stage->step);
		break;
	case 2:
		answer.status = 503;
		answer.is_not_run = 1;
		cw_call_handle_head(account->call, &answer, stage->now_ms, &stage->step);
		break;
	case 3:
		account->sends--;
		cw_call_handle_failure(account->call,
				       choice & 8 ? CW_ATTEMPT_NO_CONNECTION
						  : CW_ATTEMPT_CONNECTION_REFUSED,
				       stage->now_ms, &stage->step);
		break;
	case 4:
		account->may_ran = 1;
		cw_call_handle_failure(account->call,
				       choice & 8 ? CW_ATTEMPT_CONNECTION_LOST
						  : CW_ATTEMPT_TIMED_OUT,
				       stage->now_ms, &stage->step);
		break;
	case 5:
		if (account->route->retry_policy != CW_RETRY_STREAM)
			return;
		account->is_shown = 1;
		cw_call_add_event(account->call, choice, stage->now_ms);
		return;
	case 6:
		account->may_ran = 1;
		cw_call_expire(account->call, stage->now_ms, &stage->step);
		break;
	default:
		account->is_over = 1;
		cw_call_complete(account->call, stage->now_ms);
		return;
	}
	take_step(stage);
}

static void open_call(struct stage *stage)
{
	static const char *const paths[] = {"/once/x", "/any/x", "/stream/x", "/none/x"};
	int choice = next(stage);
	struct account *account = &stage->account;

	memset(&stage->facts, 0, sizeof(stage->facts));
	g_strlcpy(stage->facts.id, "r", sizeof(stage->facts.id));
	g_strlcpy(stage->facts.host, "h", sizeof(stage->facts.host));
	g_strlcpy(stage->facts.model, CW_ANY_MODEL, sizeof(stage->facts.model));
	stage->facts.path = paths[choice % 4];
	stage->facts.allowed_ms = choice * 20;
	stage->facts.last_event = CW_NO_EVENT;
	stage->facts.segment_count = choice % 3;
	stage->facts.prompt_tokens = choice * 10;
	account->call = cw_call_open(stage->gate, &stage->facts, stage->now_ms, stage->now_ms,
				     &stage->step);
	account->route = cw_call_route(account->call);
	take_step(stage);
}

static void end_call(struct stage *stage)
{
	cw_call_close(stage->account.call, stage->now_ms);
	memset(&stage->account, 0, sizeof(stage->account));
}

static void take_step(struct stage *stage)
{
	struct account *account = &stage->account;
	const struct cw_step *step = &stage->step;

	switch (step->kind) {
	case CW_STEP_SEND:
		account->sends++;
		account->is_showing = 0;
		check(!step->server->leaving, "a leaving server got a request");
		check(!step->server->is_superseded, "an earlier start of a server got a request");
		check(account->route->retry_policy != CW_RETRY_NEVER || !account->may_ran,
		      "sent again though it may have run, and may run once");
		check(account->sends <= account->route->max_attempts,
		      "sent to more servers than the route allows");
		check(account->route->retry_policy != CW_RETRY_ANY || !account->is_shown,
		      "sent again after a part was shown");
		check(step->dispatch.allowed_ms <= MAX(stage->facts.allowed_ms, 1),
		      "a server got more time than the caller gave");
		break;
	case CW_STEP_REJECT:
		account->is_over = 1;
		check(!account->is_shown, "refused after a part was shown");
		check((step->status != 503 && step->status != 429) || !account->may_ran,
		      "called not run, and it may have run");
		check(step->run != CW_RUN_NOT_EXECUTED || !account->may_ran,
		      "said to have not run, and it may have");
		break;
	case CW_STEP_ABORT:
		account->is_over = 1;
		check(account->is_shown, "cut off without a final answer");
		break;
	case CW_STEP_FORWARD:
		account->is_showing = 1;
		break;
	}
}

static void check(int holds, const char *promise)
{
	if (holds)
		return;
	fprintf(stderr, "broken: %s\n", promise);
	abort();
}
