/* Attempts of a request: dispatch, result, retry, resumption, continuation and completion. */
#include "cw_hash.h"
#include "node_internal.h"

#include <string.h>

#define BATCH_WAIT_FACTOR  5 /* batch requests accept a longer predicted wait */
#define RATING_TIMEOUT_MS  3000
#define NO_SERVER_RETRY_MS 500 /* until another server is listed or usable */

static void send_attempt(struct cw_node *node, struct request *request, struct cw_server *server,
			 enum cw_dispatch_mode mode);
static struct cw_server *choose_server(struct cw_node *node, struct request *request);
static void fill_choice(struct cw_node *node, const struct request *request,
			struct cw_choice *choice);
static int64_t rest_retry_after_ms(struct cw_node *node, const struct request *request);
static int is_resting(struct cw_node *node, uint64_t server);
static void record_attempt(struct cw_node *node, struct request *request,
			   const struct cw_attempt_end *end);
static void handle_answer(struct cw_node *node, struct request *request,
			  const struct cw_attempt_end *end);
static void handle_failure(struct cw_node *node, struct request *request,
			   const struct cw_attempt_end *end);
static void retry_request(struct cw_node *node, struct request *request,
			  const struct cw_attempt_end *end);
static void choose_other_version(struct cw_node *node, struct request *request,
				 const struct cw_attempt_end *end);
static void start_rating(struct cw_node *node, struct request *request, const char *answer,
			 int is_awaited);

void request_handle_attempt_end(struct cw_node *node, const struct cw_attempt_end *end)
{
	struct request *request = request_find(node, end->handle);

	/* A late result of an abandoned attempt must not end the attempt that replaced it. */
	if (!request || request->state != REQUEST_RUNNING || end->attempt != request->attempt_count)
		return;
	record_attempt(node, request, end);
	request->forwarded_chunks = MAX(request->forwarded_chunks, end->shown);
	switch (end->result) {
	case CW_ATTEMPT_ANSWERED:
		handle_answer(node, request, end);
		break;
	case CW_ATTEMPT_CLIENT_ERROR:
		request->http_status = end->http_status;
		request->answer = g_strdup(end->answer);
		request_complete(node, request);
		break;
	case CW_ATTEMPT_CANCELLED:
		request_abandon(node, request);
		break;
	default:
		handle_failure(node, request, end);
		break;
	}
}

void request_handle_rating(struct cw_node *node, uint64_t handle, double score)
{
	struct request *request = request_find(node, handle);
	size_t escalation;

	if (!request || request->state != REQUEST_RATING)
		return;
	escalation = request->plan.escalate_to;
	/* Without a rating (score < 0) the cheaper answer may be poor, so the request is escalated
	 * to the costlier version. */
	if (score >= 0 && !cw_cascade_should_escalate(&request->choice, score)) {
		request_start_billing(node, request);
		return;
	}
	choice_apply_option(request, escalation);
	request->is_escalated = 1;
	request->tried_count = 0;
	node_log_event(node, "cascade", "escalate", "request=%s score=%.3f model=%s version=%s",
		       request->in.request_id, score, request->model, request->version);
	if (!choice_is_allowed(node, request) || request->attempt_count >= CW_MAX_ATTEMPTS) {
		const struct attempt *last = &request->attempts[request->attempt_count - 1];

		g_strlcpy(request->model, last->model, CW_NAME_MAX);
		g_strlcpy(request->version, last->version, CW_NAME_MAX);
		request_start_billing(node, request);
		return;
	}
	request_dispatch(node, request, CW_DISPATCH_FRESH);
}

/* The table may have changed since admission, so every dispatch checks that the version is still
 * allowed. */
void request_dispatch(struct cw_node *node, struct request *request, enum cw_dispatch_mode mode)
{
	struct cw_server *server;
	double max_wait_ms = (double)node->config.first_wait_ms;
	double wait_ms;

	if (quarantine_reject(node, request))
		return;
	if (node->now_ms >= request->deadline_ms) {
		request_reject(node, request, CW_CODE_DEADLINE, 0, "the deadline has passed");
		return;
	}
	if (!choice_is_allowed(node, request)) {
		if (request->forwarded_chunks || request->in.flags & CW_REQUEST_SERVICE ||
		    choice_select_version(node, request) != CHOICE_OK) {
			request_reject(node, request, CW_CODE_NOT_ALLOWED, 0, "%s/%s was withdrawn",
				       request->model, request->version);
			return;
		}
		request->tried_count = 0;
		if (request->binding.key)
			request_store_binding(node, request);
	}
	server = mode == CW_DISPATCH_RESUME ? cw_pool_find(node->pool, request->server)
					    : choose_server(node, request);
	if (!server) {
		request_reject(node, request, CW_CODE_NO_BACKEND_SERVER,
			       rest_retry_after_ms(node, request),
			       "no backend server can take %s%s%s", request->model,
			       *request->version ? "/" : "", request->version);
		return;
	}
	if (request->in.flags & CW_REQUEST_BATCH)
		max_wait_ms *= BATCH_WAIT_FACTOR;
	max_wait_ms = MIN(max_wait_ms, (double)(request->deadline_ms - node->now_ms));
	wait_ms = cw_pool_wait_ms(server, node->now_ms);
	if (mode == CW_DISPATCH_FRESH && request->attempt_count == 0 && wait_ms > max_wait_ms) {
		request_reject(node, request, CW_CODE_OVERLOADED,
			       request_retry_after_ms(node, wait_ms - max_wait_ms),
			       "the predicted wait is %.0f ms", wait_ms);
		return;
	}
	send_attempt(node, request, server, mode);
}

static void send_attempt(struct cw_node *node, struct request *request, struct cw_server *server,
			 enum cw_dispatch_mode mode)
{
	struct cw_effect *effect = node_add_effect(node, CW_EFFECT_DISPATCH, request->in.handle);
	struct attempt *attempt = &request->attempts[request->attempt_count++];

	memset(attempt, 0, sizeof(*attempt));
	attempt->server = server->id;
	attempt->cost_per_1k = request->cost_per_1k;
	attempt->sent_ms = node->now_ms;
	attempt->mode = mode;
	g_strlcpy(attempt->model, request->model, CW_NAME_MAX);
	g_strlcpy(attempt->version, request->version, CW_NAME_MAX);
	request->state = REQUEST_RUNNING;
	request->server = server->id;
	request->tried[request->tried_count++] =
		server->id; /* within bounds: one entry per attempt at most */
	cw_pool_record_dispatch(server, node->now_ms);
	effect->dispatch.mode = mode;
	effect->dispatch.attempt = request->attempt_count;
	effect->dispatch.server = server->id;
	effect->dispatch.timeout_ms = request->deadline_ms - node->now_ms;
	g_strlcpy(effect->dispatch.address, server->address, CW_ADDRESS_MAX);
	g_strlcpy(effect->dispatch.model, request->model, CW_NAME_MAX);
	g_strlcpy(effect->dispatch.version, request->version, CW_NAME_MAX);
	if (request->binding.key)
		cw_token_encode(node->config.peer_key, &request->binding,
				effect->dispatch.session_token);
	node_log_event(node, "request",
		       mode == CW_DISPATCH_FRESH    ? "dispatch"
		       : mode == CW_DISPATCH_RESUME ? "resume"
						    : "continue",
		       "request=%s organisation=%s model=%s version=%s server=%s attempt=%u "
		       "fingerprint=%016" G_GINT64_MODIFIER "x%s",
		       request->in.request_id, request->organisation, request->model,
		       request->version, server->name, request->attempt_count, request->fingerprint,
		       request->is_rebound ? " session=rebound" : "");
}

static struct cw_server *choose_server(struct cw_node *node, struct request *request)
{
	struct cw_choice choice;
	struct cw_server *server;

	fill_choice(node, request, &choice);
	server = cw_pool_choose(node->pool, &choice);
	if (server || request->attempt_count == 0)
		return server;
	/* All servers were tried or are unusable: servers that were already tried may be chosen
	 * again, as often as the retry budget allows. */
	choice.tried_count = 0;
	request->tried_count = 0;
	return cw_pool_choose(node->pool, &choice);
}

static void fill_choice(struct cw_node *node, const struct request *request,
			struct cw_choice *choice)
{
	*choice = (struct cw_choice){
		.service = request->in.flags & CW_REQUEST_SERVICE ? request->in.target : "llm",
		.version = request->in.flags & CW_REQUEST_SERVICE ? 0 : request->version_id,
		.prefix = request->in.prefix,
		.failure_domain = node->failure_domain,
		.tried = request->tried,
		.tried_count = request->tried_count,
		.now_ms = node->now_ms,
		.random = node_random(node),
	};
}

/* No server takes the request: until the first of those that asked for rest does. */
static int64_t rest_retry_after_ms(struct cw_node *node, const struct request *request)
{
	struct cw_choice choice;
	enum cw_admission cause;
	int64_t wait_ms;

	fill_choice(node, request, &choice);
	choice.tried_count = 0;
	wait_ms = cw_pool_wait_for_admission_ms(node->pool, &choice, &cause);
	return MAX(wait_ms, 0) + request_retry_after_ms(node, NO_SERVER_RETRY_MS);
}

int64_t request_retry_after_ms(struct cw_node *node, double wait_ms)
{
	int64_t base = (int64_t)CLAMP(wait_ms, 100, 10000);

	/* Jitter spreads the retries of callers that were rejected at the same time. */
	return base / 2 + (int64_t)(node_random(node) % (uint64_t)base) + 1;
}

static int is_resting(struct cw_node *node, uint64_t server)
{
	const struct cw_server *found = cw_pool_find(node->pool, server);

	return found && cw_pool_rest_ms(found, node->now_ms) > 0;
}

static void record_attempt(struct cw_node *node, struct request *request,
			   const struct cw_attempt_end *end)
{
	struct attempt *attempt = &request->attempts[request->attempt_count - 1];
	struct cw_server *server = cw_pool_find(node->pool, attempt->server);
	double first_ms = -1;
	int answered = end->result == CW_ATTEMPT_ANSWERED || end->result == CW_ATTEMPT_CLIENT_ERROR;
	int failed = end->result == CW_ATTEMPT_NOT_SENT || end->result == CW_ATTEMPT_FAILED ||
		     end->result == CW_ATTEMPT_INTERRUPTED;

	/* An answer that is not streamed arrives with its last token; only a stream shows the time
	 * to the first token. */
	if (request->in.flags & CW_REQUEST_STREAM)
		first_ms = end->first_ms;
	attempt->result = end->result;
	attempt->prompt_tokens = end->prompt_tokens;
	attempt->completion_tokens = answered || end->shown ? end->completion_tokens : 0;
	/* A request may have run unless it was never sent or was rejected with 429 before it ran.
	 */
	if (end->result != CW_ATTEMPT_NOT_SENT &&
	    !(end->result == CW_ATTEMPT_BUSY && end->http_status == 429))
		request->may_have_run = 1;
	if (server)
		quarantine_record_attempt(node, request, server, end);
	if (server && end->result == CW_ATTEMPT_BUSY && end->retry_after_ms > 0) {
		cw_pool_request_rest(server, (double)end->retry_after_ms, node->now_ms);
		node_log_event(node, "request", "server_rest",
			       "server=%s rest_ms=%" G_GINT64_FORMAT, server->name,
			       cw_pool_rest_ms(server, node->now_ms));
	}
	if (server) {
		cw_pool_record_end(server, node->now_ms, answered ? end->total_ms : -1);
		if (answered)
			cw_pool_record_success(server, node->now_ms);
		else if (failed)
			cw_pool_record_failure(server, node->now_ms, node_random(node));
	}
	if (answered)
		cw_retry_budget_success(&node->retry_budget);
	/* A request that was never sent is no evidence against the version; a malformed or broken
	 * answer is. */
	if (request->version_id &&
	    !cw_quarantine_explains_crash(node->quarantine, attempt->server, node->now_ms) &&
	    (end->result == CW_ATTEMPT_ANSWERED || end->result == CW_ATTEMPT_FAILED ||
	     end->result == CW_ATTEMPT_INTERRUPTED) &&
	    cw_health_add_answer(node->health, request->version_id, answered, first_ms,
				 end->prompt_tokens, node->now_ms))
		gossip_announce_trip(node, request->version_id, "failures");
	if (request->version_id && failed)
		gossip_expedite_heartbeats(node);
	if (!answered)
		node_log_event(node, "request", "attempt_failed",
			       "request=%s server=%s attempt=%u result=%d status=%d shown=%u "
			       "fingerprint=%016" G_GINT64_MODIFIER "x",
			       request->in.request_id, server ? server->name : "",
			       request->attempt_count, end->result, end->http_status, end->shown,
			       request->fingerprint);
}

static void handle_answer(struct cw_node *node, struct request *request,
			  const struct cw_attempt_end *end)
{
	uint64_t task = cw_cascade_task_key(request->organisation, request->in.task);
	double sample;

	request->http_status = end->http_status;
	if (request->in.flags & CW_REQUEST_SERVICE) {
		request->answer = g_strdup(end->answer);
		request_start_billing(node, request);
		return;
	}
	cw_cascade_add_cost(node->cascade, task, cw_cascade_task_key("", request->in.task),
			    request->version_id, end->prompt_tokens + end->completion_tokens);
	if (request->has_plan && request->plan.is_checked && !request->is_escalated) {
		request->state = REQUEST_RATING;
		request->wait_until_ms =
			MIN(node->now_ms + RATING_TIMEOUT_MS, request->deadline_ms);
		start_rating(node, request, end->answer, 1);
		return;
	}
	sample = cw_hash_to_fraction(node_random(node));
	if (end->answer &&
	    sample < cw_cascade_sample_rate(node->cascade, task, request->version_id))
		start_rating(node, request, end->answer, 0);
	request_start_billing(node, request);
}

static void handle_failure(struct cw_node *node, struct request *request,
			   const struct cw_attempt_end *end)
{
	int is_service = request->in.flags & CW_REQUEST_SERVICE;

	if (is_service && !(request->in.flags & CW_REQUEST_IDEMPOTENT) && request->may_have_run) {
		/*
		 * The server may have received a non-idempotent request. A retry could execute its
		 * order twice, seen as two orders with one key, so the outcome is reported unknown.
		 */
		request_reject(node, request, CW_CODE_UPSTREAM_FAILED, 0,
			       "the backend server did not answer; it may have run");
		return;
	}
	if (request->attempt_count >= CW_MAX_ATTEMPTS) {
		request_reject(node, request,
			       request->may_have_run ? CW_CODE_UPSTREAM_FAILED
						     : CW_CODE_NO_BACKEND_SERVER,
			       request_retry_after_ms(node, 500), "%u attempts failed",
			       request->attempt_count);
		return;
	}
	retry_request(node, request, end);
}

static void retry_request(struct cw_node *node, struct request *request,
			  const struct cw_attempt_end *end)
{
	int64_t retry_ms = request_retry_after_ms(node, 500);

	if (!cw_retry_budget_take(&node->retry_budget)) {
		request_reject(node, request,
			       request->may_have_run ? CW_CODE_UPSTREAM_FAILED
						     : CW_CODE_NO_BACKEND_SERVER,
			       retry_ms, "the budget of retries is spent");
		return;
	}
	if (end->shown == 0 && request->forwarded_chunks == 0) {
		request->is_resumed = 0;
		choose_other_version(node, request, end);
		request_dispatch(node, request, CW_DISPATCH_FRESH);
		return;
	}
	/* A broken stream is resumed once on its server. If the resumed stream fails too, another
	 * server continues from the text that was forwarded. */
	if (end->result == CW_ATTEMPT_INTERRUPTED && !request->is_resumed &&
	    !is_resting(node, request->server)) {
		request->is_resumed = 1;
		request->tried_count--;
		request_dispatch(node, request, CW_DISPATCH_RESUME);
		return;
	}
	request->is_resumed = 0;
	request_dispatch(node, request, CW_DISPATCH_CONTINUE);
}

/*
 * The version itself failed before a chunk was forwarded. Unless a session or a cascade plan binds
 * the request to the version, another version of the model answers. A bad version would otherwise
 * fail the request on every server.
 */
static void choose_other_version(struct cw_node *node, struct request *request,
				 const struct cw_attempt_end *end)
{
	if (end->result != CW_ATTEMPT_FAILED || !request->version_id || request->binding.key ||
	    request->has_plan)
		return;
	request->failed_version = request->version_id;
	if (choice_select_version(node, request) == CHOICE_OK &&
	    request->version_id != request->failed_version)
		request->tried_count = 0;
}

static void start_rating(struct cw_node *node, struct request *request, const char *answer,
			 int is_awaited)
{
	const struct attempt *last = &request->attempts[request->attempt_count - 1];
	struct cw_effect *effect = node_add_effect(node, CW_EFFECT_RATE, request->in.handle);

	g_strlcpy(effect->rate.request_id, request->in.request_id, CW_ID_MAX);
	g_strlcpy(effect->rate.organisation, request->organisation, CW_NAME_MAX);
	g_strlcpy(effect->rate.model, request->model, CW_NAME_MAX);
	g_strlcpy(effect->rate.version, request->version, CW_NAME_MAX);
	g_strlcpy(effect->rate.task_name, request->in.task, CW_NAME_MAX);
	effect->rate.task = cw_cascade_task_key(request->organisation, request->in.task);
	effect->rate.common = cw_cascade_task_key("", request->in.task);
	effect->rate.version_id = request->version_id;
	effect->rate.tokens = last->prompt_tokens + last->completion_tokens;
	effect->rate.is_awaited = is_awaited;
	effect->rate.answer = g_strdup(answer ? answer : "");
}

/*
 * Handles a complete answer. Its bill is sent to two peers, and the caller gets the end of the
 * answer once the bill is mirrored or bill_hold_ms have passed. Without the mirror, a crash of this
 * instance before the bill is in the log would leave an answer without a bill.
 */
void request_start_billing(struct cw_node *node, struct request *request)
{
	request->state = REQUEST_BILLING;
	request->wait_until_ms = node->now_ms + node->config.bill_hold_ms;
	if (request->claim.claim)
		claims_enqueue(node, &request->claim, CLAIM_ENTRY_OUTCOME, request->http_status,
			       request->answer);
	bills_add(node, request);
}

void request_complete(struct cw_node *node, struct request *request)
{
	const struct attempt *last = &request->attempts[request->attempt_count - 1];

	if (request->claim.claim && request->state == REQUEST_RUNNING)
		claims_enqueue(node, &request->claim, CLAIM_ENTRY_OUTCOME, request->http_status,
			       request->answer);
	node_add_effect(node, CW_EFFECT_RELEASE, request->in.handle);
	node_log_event(node, "request", "answer",
		       "request=%s organisation=%s model=%s version=%s attempts=%u tokens=%u "
		       "took_ms=%" G_GINT64_FORMAT,
		       request->in.request_id, request->organisation, request->model,
		       request->version, request->attempt_count, last->completion_tokens,
		       node->now_ms - request->started_ms);
	request_destroy(node, request);
}
