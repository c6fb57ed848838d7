/* One request's life: admitted, bound, claimed, dispatched, answered, billed. */
#include "node_internal.h"

#include <math.h>
#include <string.h>

#define EXPECTED_TOKENS	   256 /* of an answer whose length is not known yet */
#define BATCH_WAIT_FACTOR  5
#define RETRY_JITTER_MS	   200
#define DUPLICATE_RETRY_MS 1000
#define PLATFORM_RETRY_MS  1000
#define RATE_TIMEOUT_MS	   3000
#define BINDING_FRESH_MS   10000 /* homes are told again of a binding that is still used */

static struct request *request_create(struct cw_node *node, const struct cw_request_in *in);
static void request_destroy(struct cw_node *node, struct request *request);
static struct request *request_find(struct cw_node *node, uint64_t handle);
static void abandon(struct cw_node *node, struct request *request);
static void refuse(struct cw_node *node, struct request *request, enum cw_code code,
		   int64_t retry_after_ms, const char *format, ...)
	__attribute__((format(printf, 5, 6)));
static int find_service(struct cw_node *node, struct request *request);
static void find_session(struct cw_node *node, struct request *request);
static int needs_homes(const struct cw_node *node);
static void bind_and_go_on(struct cw_node *node, struct request *request);
static void keep_binding(struct cw_node *node, struct request *request);
static void admit(struct cw_node *node, struct request *request);
static int take_limit(struct cw_node *node, struct request *request, int64_t *retry_after_ms);
static void claim(struct cw_node *node, struct request *request);
static void check_claim(struct cw_node *node, struct request *request);
static void dispatch(struct cw_node *node, struct request *request, enum cw_dispatch_mode mode);
static void send_attempt(struct cw_node *node, struct request *request, struct cw_server *server,
			 enum cw_dispatch_mode mode);
static struct cw_server *choose_server(struct cw_node *node, struct request *request);
static int64_t busy_retry_ms(struct cw_node *node, double wait_ms);
static void learn_from_attempt(struct cw_node *node, struct request *request,
			       const struct cw_attempt_end *end);
static void attempt_answered(struct cw_node *node, struct request *request,
			     const struct cw_attempt_end *end);
static void attempt_failed(struct cw_node *node, struct request *request,
			   const struct cw_attempt_end *end);
static void try_again(struct cw_node *node, struct request *request,
		      const struct cw_attempt_end *end);
static void rate(struct cw_node *node, struct request *request, const char *answer, int checked);
static void finish(struct cw_node *node, struct request *request);
static void release(struct cw_node *node, struct request *request);

void request_begin(struct cw_node *node, const struct cw_request_in *in)
{
	struct request *request = request_create(node, in);
	const char *organisation;

	if (node->running > CW_MAX_REQUESTS) {
		refuse(node, request, CW_CODE_OVERLOADED, busy_retry_ms(node, 1000),
		       "this instance is full");
		return;
	}
	if (node_refuses_new(node)) {
		refuse(node, request, CW_CODE_LEAVING, 100, "this instance is leaving");
		return;
	}
	if (cw_table_offset(node->table) == 0) {
		refuse(node, request, CW_CODE_PLATFORM_UNAVAILABLE, PLATFORM_RETRY_MS,
		       "no table was learned yet");
		return;
	}
	organisation = cw_table_organisation(node->table, in->key_sha256);
	if (!organisation) {
		refuse(node, request, CW_CODE_UNAUTHORISED, 0, "no organisation has this key");
		return;
	}
	g_strlcpy(request->organisation, organisation, CW_NAME_MAX);
	if (in->flags & CW_REQUEST_SERVICE) {
		if (find_service(node, request))
			admit(node, request);
		return;
	}
	find_session(node, request);
}

void request_attempt_end(struct cw_node *node, const struct cw_attempt_end *end)
{
	struct request *request = request_find(node, end->handle);

	/* A late end of an attempt that was given up must not end the one that took its place. */
	if (!request || request->state != REQUEST_RUNNING || end->attempt != request->attempt_count)
		return;
	learn_from_attempt(node, request, end);
	request->shown = MAX(request->shown, end->shown);
	switch (end->result) {
	case CW_ATTEMPT_ANSWERED:
		attempt_answered(node, request, end);
		break;
	case CW_ATTEMPT_PASSED:
		request->http_status = end->http_status;
		request->answer = g_strdup(end->answer);
		release(node, request);
		break;
	case CW_ATTEMPT_CANCELLED:
		abandon(node, request);
		break;
	default:
		attempt_failed(node, request, end);
		break;
	}
}

void request_caller_gone(struct cw_node *node, uint64_t handle)
{
	struct request *request = request_find(node, handle);

	if (!request)
		return;
	if (request->state == REQUEST_RUNNING) {
		struct cw_server *server = cw_pool_find(node->pool, request->server);

		if (server)
			cw_pool_ended(server, node->now_ms, -1);
		request->sent = 1;
	}
	abandon(node, request);
}

void request_rated(struct cw_node *node, uint64_t handle, double score)
{
	struct request *request = request_find(node, handle);
	size_t then;

	if (!request || request->state != REQUEST_RATING)
		return;
	then = request->plan.then;
	/* Without a rating the cheap answer is not known to be good enough: the costly one is. */
	if (score >= 0 && !cw_cascade_falls_short(&request->choice, score)) {
		finish(node, request);
		return;
	}
	choice_take_option(request, then);
	request->escalated = 1;
	request->tried_count = 0;
	node_event(node, "cascade", "escalate", "request=%s score=%.3f model=%s version=%s",
		   request->in.request_id, score, request->model, request->version);
	if (!choice_holds(node, request) || request->attempt_count >= CW_MAX_ATTEMPTS) {
		const struct attempt *last = &request->attempts[request->attempt_count - 1];

		g_strlcpy(request->model, last->model, CW_NAME_MAX);
		g_strlcpy(request->version, last->version, CW_NAME_MAX);
		finish(node, request);
		return;
	}
	dispatch(node, request, CW_DISPATCH_FRESH);
}

void request_bound(struct cw_node *node, const struct cw_binding *binding, uint64_t handle)
{
	struct request *request = request_find(node, handle);

	if (binding->bound_at)
		choice_merge_binding(node, binding);
	if (!request || request->state != REQUEST_BINDING || request->binding.key != binding->key)
		return;
	if (request->answers_awaited > 0)
		request->answers_awaited--;
	if (binding->bound_at || request->answers_awaited == 0)
		bind_and_go_on(node, request);
}

void request_claims_changed(struct cw_node *node)
{
	struct request *request = LIST_FIRST(&node->requests);

	while (request) {
		struct request *next = LIST_NEXT(request, link);

		if (request->state == REQUEST_CLAIMING)
			check_claim(node, request);
		request = next;
	}
}

void request_bill_safe(struct cw_node *node, const char *bill_id)
{
	struct request *request = LIST_FIRST(&node->requests);
	char id[CW_NAME_MAX + CW_ID_MAX + 2];

	while (request) {
		struct request *next = LIST_NEXT(request, link);

		if (request->state == REQUEST_BILLING) {
			g_snprintf(id, sizeof(id), "%s/%s", request->organisation,
				   request->in.request_id);
			if (!strcmp(id, bill_id))
				release(node, request);
		}
		request = next;
	}
}

void request_tick(struct cw_node *node)
{
	struct request *request = LIST_FIRST(&node->requests);

	while (request) {
		struct request *next = LIST_NEXT(request, link);

		if (request->state == REQUEST_BILLING && node->now_ms >= request->wait_until_ms)
			release(node, request);
		else if (request->state == REQUEST_BINDING &&
			 node->now_ms >= request->wait_until_ms)
			bind_and_go_on(node, request);
		else if (request->state == REQUEST_RATING && node->now_ms >= request->wait_until_ms)
			request_rated(node, request->in.handle, -1);
		else if (request->state == REQUEST_CLAIMING &&
			 (node->now_ms >= request->wait_until_ms ||
			  !log_is_up(node, CW_STREAM_CLAIMS)))
			refuse(node, request, CW_CODE_PLATFORM_UNAVAILABLE, PLATFORM_RETRY_MS,
			       "the claim was not confirmed by the log");
		request = next;
	}
}

static struct request *request_create(struct cw_node *node, const struct cw_request_in *in)
{
	struct request *request = LIST_FIRST(&node->free_requests);

	if (request)
		LIST_REMOVE(request, link);
	else
		request = g_new(struct request, 1);
	memset(request, 0, sizeof(*request));
	request->in = *in;
	request->started_ms = node->now_ms;
	request->deadline_ms =
		in->deadline_ms ? in->deadline_ms : node->now_ms + node->config.request_timeout_ms;
	LIST_INSERT_HEAD(&node->requests, request, link);
	g_hash_table_insert(node->by_handle, &request->in.handle, request);
	node->running++;
	return request;
}

static void request_destroy(struct cw_node *node, struct request *request)
{
	double tokens = 0;

	for (unsigned int i = 0; i < request->attempt_count; i++)
		tokens +=
			request->attempts[i].prompt_tokens + request->attempts[i].completion_tokens;
	if (request->admitted)
		cw_limits_done(node->limits, request->row, request->expected_tokens, tokens);
	g_hash_table_remove(node->by_handle, &request->in.handle);
	LIST_REMOVE(request, link);
	g_clear_pointer(&request->answer, g_free);
	LIST_INSERT_HEAD(&node->free_requests, request, link);
	node->running--;
}

static struct request *request_find(struct cw_node *node, uint64_t handle)
{
	return g_hash_table_lookup(node->by_handle, &handle);
}

/*
 * The final answer of a request that is given up. "not_run" is said only while no byte has reached
 * a backend server; the claim is then given back, so that the caller may use its key again.
 */
static void refuse(struct cw_node *node, struct request *request, enum cw_code code,
		   int64_t retry_after_ms, const char *format, ...)
{
	struct cw_effect *effect = node_effect(node, CW_EFFECT_REFUSE, request->in.handle);
	va_list args;

	effect->refuse.code = code;
	effect->refuse.run = request->sent ? CW_RUN_UNKNOWN : CW_RUN_NOT;
	effect->refuse.retry_after_ms = retry_after_ms;
	va_start(args, format);
	g_vsnprintf(effect->refuse.message, CW_MESSAGE_MAX, format, args);
	va_end(args);
	if (request->claim.claim && !request->sent)
		log_line(node, &request->claim, LINE_RELEASE, 0, NULL);
	node_event(node, "request", "refuse",
		   "request=%s organisation=%s code=%s run=%s retry_after_ms=%" G_GINT64_FORMAT,
		   request->in.request_id, request->organisation, cw_code_name(code),
		   cw_run_name(effect->refuse.run), retry_after_ms);
	request_destroy(node, request);
}

/* The caller went away: what it was shown is billed, what never ran gives its claim back. */
static void abandon(struct cw_node *node, struct request *request)
{
	node_event(node, "request", "caller_gone", "request=%s organisation=%s shown=%u",
		   request->in.request_id, request->organisation, request->shown);
	if (request->claim.claim && !request->sent)
		log_line(node, &request->claim, LINE_RELEASE, 0, NULL);
	if (request->shown > 0 && request->state == REQUEST_RUNNING)
		bills_add(node, request);
	request_destroy(node, request);
}

static int find_service(struct cw_node *node, struct request *request)
{
	const struct cw_row *row;

	g_snprintf(request->model, CW_NAME_MAX, CW_SERVICE_PREFIX "%s", request->in.target);
	row = cw_table_row(node->table, request->organisation, request->model, "");
	if (!cw_table_allows(row)) {
		refuse(node, request, CW_CODE_NOT_ALLOWED, 0, "service %s is not allowed",
		       request->in.target);
		return 0;
	}
	request->row = row->id;
	request->version_id = 0;
	request->cost_per_1k = isnan(row->cell[CW_COLUMN_COST]) ? 0 : row->cell[CW_COLUMN_COST];
	return 1;
}

/* The session's version: from its signed token, from this instance, else from the session's homes.
 */
static void find_session(struct cw_node *node, struct request *request)
{
	const struct cw_binding *held;
	struct cw_binding carried;

	if (*request->in.session_id)
		request->binding.key = cw_session_key(request->organisation, request->in.session_id,
						      request->in.target);
	if (*request->in.session_token &&
	    cw_token_read(node->config.peer_key, request->in.session_token, &carried) == CW_OK &&
	    (!request->binding.key || request->binding.key == carried.key)) {
		request->binding.key = carried.key;
		choice_merge_binding(node, &carried);
	}
	if (!request->binding.key) {
		admit(node, request);
		return;
	}
	held = cw_session_find(node->sessions, request->binding.key, node->now_ms);
	if (!held && needs_homes(node)) {
		request->answers_awaited =
			gossip_ask_binding(node, request->binding.key, request->in.handle);
		if (request->answers_awaited > 0) {
			request->state = REQUEST_BINDING;
			request->wait_until_ms = node->now_ms + node->config.session_ask_ms;
			return;
		}
	}
	bind_and_go_on(node, request);
}

/*
 * The version is a function of the key and the table, so nobody need be asked while routing has
 * stood still for longer than a session may idle.
 */
static int needs_homes(const struct cw_node *node)
{
	return node->now_ms - node->routing_changed_ms < node->config.session_idle_ms;
}

static void bind_and_go_on(struct cw_node *node, struct request *request)
{
	const struct cw_binding *held =
		cw_session_find(node->sessions, request->binding.key, node->now_ms);

	if (held)
		request->binding = *held;
	admit(node, request);
}

static void keep_binding(struct cw_node *node, struct request *request)
{
	const struct cw_binding *held;

	if (!*request->binding.model) {
		g_strlcpy(request->binding.model, request->model, CW_NAME_MAX);
		g_strlcpy(request->binding.version, request->version, CW_NAME_MAX);
		request->binding.bound_at = cw_table_offset(node->table);
		request->binding.row = request->row;
		request->binding.pushed_ms = 0;
	}
	choice_merge_binding(node, &request->binding);
	held = cw_session_find(node->sessions, request->binding.key, node->now_ms);
	if (!held || (held->pushed_ms && node->now_ms - held->pushed_ms < BINDING_FRESH_MS))
		return;
	gossip_push_binding(node, held);
	cw_session_pushed(node->sessions, request->binding.key, node->now_ms);
}

static void admit(struct cw_node *node, struct request *request)
{
	int64_t retry_after_ms = 0;

	if (!(request->in.flags & CW_REQUEST_SERVICE)) {
		switch (choice_version(node, request)) {
		case CHOICE_NOT_ALLOWED:
			refuse(node, request, CW_CODE_NOT_ALLOWED, 0, "model %s is not allowed",
			       request->in.target);
			return;
		case CHOICE_NO_WEIGHT:
			refuse(node, request, CW_CODE_NO_BACKEND_SERVER, PLATFORM_RETRY_MS,
			       "no version of %s has a weight", request->in.target);
			return;
		case CHOICE_BEHIND:
			refuse(node, request, CW_CODE_PLATFORM_UNAVAILABLE, PLATFORM_RETRY_MS,
			       "the session's version is newer than this instance's table");
			return;
		case CHOICE_OK:
			break;
		}
		if (request->binding.key)
			keep_binding(node, request);
	}
	if (!take_limit(node, request, &retry_after_ms)) {
		refuse(node, request, CW_CODE_LIMIT_EXCEEDED,
		       retry_after_ms + (int64_t)(node_random(node) % RETRY_JITTER_MS),
		       "the limit of %s is reached", request->model);
		return;
	}
	if ((request->in.flags & CW_REQUEST_SERVICE) &&
	    !(request->in.flags & CW_REQUEST_IDEMPOTENT) && *request->in.idempotency_key)
		claim(node, request);
	else
		dispatch(node, request, CW_DISPATCH_FRESH);
}

static int take_limit(struct cw_node *node, struct request *request, int64_t *retry_after_ms)
{
	const struct cw_row *row =
		cw_table_row(node->table, request->organisation, request->model, request->version);
	struct cw_limit limit = {
		.row = request->row,
		.requests_per_s = row->cell[CW_COLUMN_REQUESTS_PER_S],
		.tokens_per_s = row->cell[CW_COLUMN_TOKENS_PER_S],
		.concurrent = row->cell[CW_COLUMN_CONCURRENT],
	};
	unsigned int answer = request->in.max_tokens ? MIN(request->in.max_tokens, EXPECTED_TOKENS)
						     : EXPECTED_TOKENS;

	request->expected_tokens =
		request->in.flags & CW_REQUEST_SERVICE ? 0 : request->in.prompt_tokens + answer;
	if (cw_limits_admit(node->limits, &limit, request->expected_tokens, node->now_ms,
			    retry_after_ms) != CW_OK)
		return 0;
	request->admitted = 1;
	return 1;
}

/*
 * An order that is tried on two instances, or again after a crash, would be run twice. So its key
 * is claimed in the log first, and only the holder of the claim sends it. Without the log nobody
 * knows who holds it: then it is refused at once.
 */
static void claim(struct cw_node *node, struct request *request)
{
	uint64_t key = cw_claims_key(request->organisation, request->in.target,
				     request->in.idempotency_key);

	if (!log_is_up(node, CW_STREAM_CLAIMS) || !cw_claims_is_complete(node->claims)) {
		refuse(node, request, CW_CODE_PLATFORM_UNAVAILABLE, PLATFORM_RETRY_MS,
		       "the log of claims can't be read, so the order can't be guarded");
		return;
	}
	request->claim.key = key;
	request->claim.body = request->in.body;
	request->state = REQUEST_CLAIMING;
	if (cw_claims_look(node->claims, key).state != CW_CLAIM_FREE) {
		check_claim(node, request);
		return;
	}
	if (cw_claims_is_full(node->claims)) {
		refuse(node, request, CW_CODE_OVERLOADED, PLATFORM_RETRY_MS,
		       "no room to guard another order");
		return;
	}
	request->claim.claim = node_random(node) | 1;
	request->wait_until_ms =
		MIN(node->now_ms + node->config.claim_timeout_ms, request->deadline_ms);
	log_line(node, &request->claim, LINE_CLAIM, 0, NULL);
}

static void check_claim(struct cw_node *node, struct request *request)
{
	struct cw_claim_view view = cw_claims_look(node->claims, request->claim.key);
	uint64_t own = request->claim.claim;
	struct cw_effect *effect;

	if (view.state == CW_CLAIM_FREE)
		return;
	if (view.state == CW_CLAIM_HELD && view.holder == own) {
		node_event(node, "claims", "claimed", "request=%s organisation=%s",
			   request->in.request_id, request->organisation);
		dispatch(node, request, CW_DISPATCH_FRESH);
		return;
	}
	request->claim.claim = 0; /* lost, or never made: nothing to give back */
	if (view.body != request->claim.body) {
		refuse(node, request, CW_CODE_DUPLICATE, 0,
		       "the idempotency key was used for another request");
		return;
	}
	/* The same order is out, or it was: nothing runs now, but the first may have. */
	request->sent = 1;
	if (view.state == CW_CLAIM_HELD) {
		refuse(node, request, CW_CODE_DUPLICATE, DUPLICATE_RETRY_MS,
		       "the same request was taken before and its outcome is not known");
		return;
	}
	effect = node_effect(node, CW_EFFECT_REPLAY, request->in.handle);
	effect->replay.status = view.status;
	effect->replay.answer = g_strdup(view.answer);
	node_event(node, "claims", "replay", "request=%s organisation=%s status=%d",
		   request->in.request_id, request->organisation, view.status);
	request_destroy(node, request);
}

/* Allowed and withdrawn are looked up again right before every dispatch: the table moves meanwhile.
 */
static void dispatch(struct cw_node *node, struct request *request, enum cw_dispatch_mode mode)
{
	struct cw_server *server;
	double limit_ms = (double)node->config.first_wait_ms;
	double wait_ms;

	if (node->now_ms >= request->deadline_ms) {
		refuse(node, request, CW_CODE_DEADLINE, 0, "the deadline has passed");
		return;
	}
	if (!choice_holds(node, request)) {
		if (request->shown || request->in.flags & CW_REQUEST_SERVICE ||
		    choice_version(node, request) != CHOICE_OK) {
			refuse(node, request, CW_CODE_NOT_ALLOWED, 0, "%s/%s was withdrawn",
			       request->model, request->version);
			return;
		}
		request->tried_count = 0;
		if (request->binding.key)
			keep_binding(node, request);
	}
	server = mode == CW_DISPATCH_RESUME ? cw_pool_find(node->pool, request->server)
					    : choose_server(node, request);
	if (!server) {
		refuse(node, request, CW_CODE_NO_BACKEND_SERVER, busy_retry_ms(node, 500),
		       "no backend server can take %s%s%s", request->model,
		       *request->version ? "/" : "", request->version);
		return;
	}
	if (request->in.flags & CW_REQUEST_BATCH)
		limit_ms *= BATCH_WAIT_FACTOR;
	limit_ms = MIN(limit_ms, (double)(request->deadline_ms - node->now_ms));
	wait_ms = cw_pool_wait_ms(server, node->now_ms);
	if (mode == CW_DISPATCH_FRESH && request->attempt_count == 0 && wait_ms > limit_ms) {
		refuse(node, request, CW_CODE_OVERLOADED, busy_retry_ms(node, wait_ms - limit_ms),
		       "the predicted wait is %.0f ms", wait_ms);
		return;
	}
	send_attempt(node, request, server, mode);
}

static void send_attempt(struct cw_node *node, struct request *request, struct cw_server *server,
			 enum cw_dispatch_mode mode)
{
	struct cw_effect *effect = node_effect(node, CW_EFFECT_DISPATCH, request->in.handle);
	struct attempt *attempt = &request->attempts[request->attempt_count++];

	memset(attempt, 0, sizeof(*attempt));
	attempt->server = server->id;
	attempt->cost_per_1k = request->cost_per_1k;
	g_strlcpy(attempt->model, request->model, CW_NAME_MAX);
	g_strlcpy(attempt->version, request->version, CW_NAME_MAX);
	request->state = REQUEST_RUNNING;
	request->server = server->id;
	request->tried[request->tried_count++] = server->id; /* never more than attempts */
	cw_pool_dispatched(server, node->now_ms);
	effect->dispatch.mode = mode;
	effect->dispatch.attempt = request->attempt_count;
	effect->dispatch.server = server->id;
	effect->dispatch.hold = request->planned && request->plan.check && !request->escalated;
	effect->dispatch.timeout_ms = request->deadline_ms - node->now_ms;
	g_strlcpy(effect->dispatch.address, server->address, CW_ADDRESS_MAX);
	g_strlcpy(effect->dispatch.model, request->model, CW_NAME_MAX);
	g_strlcpy(effect->dispatch.version, request->version, CW_NAME_MAX);
	if (request->binding.key)
		cw_token_make(node->config.peer_key, &request->binding,
			      effect->dispatch.session_token);
	node_event(node, "request",
		   mode == CW_DISPATCH_FRESH	? "dispatch"
		   : mode == CW_DISPATCH_RESUME ? "resume"
						: "continue",
		   "request=%s organisation=%s model=%s version=%s server=%s attempt=%u%s",
		   request->in.request_id, request->organisation, request->model, request->version,
		   server->name, request->attempt_count,
		   request->rebound ? " session=rebound" : "");
}

static struct cw_server *choose_server(struct cw_node *node, struct request *request)
{
	struct cw_choice choice = {
		.service = request->in.flags & CW_REQUEST_SERVICE ? request->in.target : "llm",
		.version = request->in.flags & CW_REQUEST_SERVICE ? 0 : request->version_id,
		.prefix = request->in.prefix,
		.failure_domain = node->failure_domain,
		.tried = request->tried,
		.tried_count = request->tried_count,
		.now_ms = node->now_ms,
		.random = node_random(node),
	};

	struct cw_server *server = cw_pool_choose(node->pool, &choice);

	if (server || request->attempt_count == 0)
		return server;
	/* Every other server is out: the budget of retries bounds how often the same one is asked
	 * again. */
	choice.tried_count = 0;
	request->tried_count = 0;
	return cw_pool_choose(node->pool, &choice);
}

static int64_t busy_retry_ms(struct cw_node *node, double wait_ms)
{
	int64_t base = (int64_t)CLAMP(wait_ms, 100, 10000);

	/* Jitter, so that callers refused together do not come back together. */
	return base / 2 + (int64_t)(node_random(node) % (uint64_t)base) + 1;
}

static void learn_from_attempt(struct cw_node *node, struct request *request,
			       const struct cw_attempt_end *end)
{
	struct attempt *attempt = &request->attempts[request->attempt_count - 1];
	struct cw_server *server = cw_pool_find(node->pool, attempt->server);
	double first_ms = -1;
	int answered = end->result == CW_ATTEMPT_ANSWERED || end->result == CW_ATTEMPT_PASSED;
	int failed = end->result == CW_ATTEMPT_UNSENT || end->result == CW_ATTEMPT_FAILED ||
		     end->result == CW_ATTEMPT_BROKEN;

	/* A whole answer comes with its last token: only a stream tells when the first one came. */
	if (request->in.flags & CW_REQUEST_STREAM)
		first_ms = end->first_ms;
	attempt->result = end->result;
	attempt->prompt_tokens = end->prompt_tokens;
	attempt->completion_tokens = answered || end->shown ? end->completion_tokens : 0;
	/* A 429 before anything ran leaves "not run" true; whatever else was sent may have run. */
	if (end->result != CW_ATTEMPT_UNSENT &&
	    !(end->result == CW_ATTEMPT_BUSY && end->http_status == 429))
		request->sent = 1;
	if (server) {
		cw_pool_ended(server, node->now_ms, answered ? end->total_ms : -1);
		if (answered)
			cw_pool_succeeded(server, node->now_ms);
		else if (failed)
			cw_pool_failed(server, node->now_ms, node_random(node));
	}
	if (answered)
		cw_retry_budget_success(&node->retry_budget);
	/* A connection that failed says nothing of the version; a server that sends rubbish does.
	 */
	if (request->version_id &&
	    (end->result == CW_ATTEMPT_ANSWERED || end->result == CW_ATTEMPT_FAILED ||
	     end->result == CW_ATTEMPT_BROKEN) &&
	    cw_health_answered(node->health, request->version_id, answered, first_ms, node->now_ms))
		gossip_tripped(node, request->version_id, "failures");
	if (!answered)
		node_event(node, "request", "attempt_failed",
			   "request=%s server=%s attempt=%u result=%d status=%d shown=%u",
			   request->in.request_id, server ? server->name : "",
			   request->attempt_count, end->result, end->http_status, end->shown);
}

static void attempt_answered(struct cw_node *node, struct request *request,
			     const struct cw_attempt_end *end)
{
	uint64_t task = cw_cascade_task(request->organisation, request->in.task);
	double draw;

	request->http_status = end->http_status;
	if (request->in.flags & CW_REQUEST_SERVICE) {
		request->answer = g_strdup(end->answer);
		finish(node, request);
		return;
	}
	cw_cascade_cost(node->cascade, task, request->version_id,
			end->prompt_tokens + end->completion_tokens);
	if (request->planned && request->plan.check && !request->escalated) {
		request->state = REQUEST_RATING;
		request->wait_until_ms = MIN(node->now_ms + RATE_TIMEOUT_MS, request->deadline_ms);
		rate(node, request, end->answer, 1);
		return;
	}
	draw = (double)(node_random(node) >> 11) / 9007199254740992.0;
	if (end->answer && draw < cw_cascade_sample_rate(node->cascade, task, request->version_id))
		rate(node, request, end->answer, 0);
	finish(node, request);
}

static void attempt_failed(struct cw_node *node, struct request *request,
			   const struct cw_attempt_end *end)
{
	int service = request->in.flags & CW_REQUEST_SERVICE;

	if (service && !(request->in.flags & CW_REQUEST_IDEMPOTENT) && request->sent) {
		/*
		 * Some byte of a non-idempotent request was sent. Sending it again could cut the
		 * moquette twice; it shows as two orders with one key. So the outcome is unknown.
		 */
		refuse(node, request, CW_CODE_UPSTREAM_FAILED, 0,
		       "the backend server did not answer; it may have run");
		return;
	}
	if (request->attempt_count >= CW_MAX_ATTEMPTS) {
		refuse(node, request,
		       request->sent ? CW_CODE_UPSTREAM_FAILED : CW_CODE_NO_BACKEND_SERVER,
		       busy_retry_ms(node, 500), "%u attempts failed", request->attempt_count);
		return;
	}
	try_again(node, request, end);
}

static void try_again(struct cw_node *node, struct request *request,
		      const struct cw_attempt_end *end)
{
	int64_t retry_ms = busy_retry_ms(node, 500);

	if (!cw_retry_budget_take(&node->retry_budget)) {
		refuse(node, request,
		       request->sent ? CW_CODE_UPSTREAM_FAILED : CW_CODE_NO_BACKEND_SERVER,
		       retry_ms, "the budget of retries is spent");
		return;
	}
	if (end->shown == 0 && request->shown == 0) {
		request->resumed = 0;
		dispatch(node, request, CW_DISPATCH_FRESH);
		return;
	}
	/* Resumed once where it broke; if that brings nothing, another server goes on from the text
	 * shown. */
	if (end->result == CW_ATTEMPT_BROKEN && !request->resumed) {
		request->resumed = 1;
		request->tried_count--;
		dispatch(node, request, CW_DISPATCH_RESUME);
		return;
	}
	request->resumed = 0;
	dispatch(node, request, CW_DISPATCH_CONTINUE);
}

static void rate(struct cw_node *node, struct request *request, const char *answer, int checked)
{
	const struct attempt *last = &request->attempts[request->attempt_count - 1];
	struct cw_effect *effect = node_effect(node, CW_EFFECT_RATE, request->in.handle);

	g_strlcpy(effect->rate.request_id, request->in.request_id, CW_ID_MAX);
	g_strlcpy(effect->rate.organisation, request->organisation, CW_NAME_MAX);
	g_strlcpy(effect->rate.model, request->model, CW_NAME_MAX);
	g_strlcpy(effect->rate.version, request->version, CW_NAME_MAX);
	g_strlcpy(effect->rate.task_name, request->in.task, CW_NAME_MAX);
	effect->rate.task = cw_cascade_task(request->organisation, request->in.task);
	effect->rate.version_id = request->version_id;
	effect->rate.tokens = last->prompt_tokens + last->completion_tokens;
	effect->rate.checked = checked;
	effect->rate.answer = g_strdup(answer ? answer : "");
}

/*
 * The answer is whole. Its bill goes to two peers before the caller sees the end, so that the death
 * of this instance between answer and log loses no bill; it shows as an answer without a bill.
 */
static void finish(struct cw_node *node, struct request *request)
{
	request->state = REQUEST_BILLING;
	request->wait_until_ms = node->now_ms + node->config.bill_hold_ms;
	if (request->claim.claim)
		log_line(node, &request->claim, LINE_OUTCOME, request->http_status,
			 request->answer);
	bills_add(node, request);
}

static void release(struct cw_node *node, struct request *request)
{
	const struct attempt *last = &request->attempts[request->attempt_count - 1];

	if (request->claim.claim && request->state == REQUEST_RUNNING)
		log_line(node, &request->claim, LINE_OUTCOME, request->http_status,
			 request->answer);
	node_effect(node, CW_EFFECT_RELEASE, request->in.handle);
	node_event(node, "request", "answer",
		   "request=%s organisation=%s model=%s version=%s attempts=%u tokens=%u "
		   "took_ms=%" G_GINT64_FORMAT,
		   request->in.request_id, request->organisation, request->model, request->version,
		   request->attempt_count, last->completion_tokens,
		   node->now_ms - request->started_ms);
	request_destroy(node, request);
}
