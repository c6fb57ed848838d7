/* Lifecycle of one request: session binding, admission, claim, dispatch, answer, billing. */
#include "node_internal.h"

#include <math.h>
#include <string.h>

#define DEFAULT_ANSWER_TOKENS 256 /* assumed length of an answer without a smaller limit */
#define RETRY_JITTER_MS	      200
#define DUPLICATE_RETRY_MS    1000
#define PLATFORM_RETRY_MS     1000
#define BINDING_ANNOUNCE_MS   10000 /* interval of announcing a binding in use to its owners */

static struct request *request_create(struct cw_node *node, const struct cw_node_request *in);
static int resolve_service(struct cw_node *node, struct request *request);
static void resolve_session(struct cw_node *node, struct request *request);
static int needs_binding_query(const struct cw_node *node);
static void admit_with_binding(struct cw_node *node, struct request *request);
static void admit(struct cw_node *node, struct request *request);
static int acquire_limits(struct cw_node *node, struct request *request, int64_t *retry_after_ms);
static void claim_key(struct cw_node *node, struct request *request);
static void wait_for_guard(struct cw_node *node, struct request *request);
static void guard_key(struct cw_node *node, struct request *request);
static void add_claim(struct cw_node *node, struct request *request);
static void check_claim(struct cw_node *node, struct request *request);
static int can_trust_claim(struct cw_node *node, const struct request *request,
			   const struct cw_claim_view *view);
static void drop_claim(struct cw_node *node, struct request *request);

void request_begin(struct cw_node *node, const struct cw_node_request *in)
{
	struct request *request = request_create(node, in);
	const char *organisation;

	if (node->running > CW_MAX_REQUESTS) {
		request_reject(node, request, CW_CODE_OVERLOADED,
			       request_retry_after_ms(node, 1000), "this instance is full");
		return;
	}
	if (node_rejects_requests(node)) {
		request_reject(node, request, CW_CODE_LEAVING, 100, "this instance is leaving");
		return;
	}
	if (!table_is_known(node)) {
		request_reject(node, request, CW_CODE_PLATFORM_UNAVAILABLE, PLATFORM_RETRY_MS,
			       "no table was learned yet");
		return;
	}
	organisation = cw_table_find_organisation(node->table, in->key_sha256);
	if (!organisation) {
		request_reject(node, request, CW_CODE_UNAUTHORISED, 0,
			       "no organisation has this key");
		return;
	}
	g_strlcpy(request->organisation, organisation, CW_NAME_MAX);
	request->fingerprint = cw_quarantine_fingerprint(in->target, organisation, in->body);
	if (quarantine_reject(node, request))
		return;
	if (in->flags & CW_REQUEST_SERVICE) {
		if (resolve_service(node, request))
			admit(node, request);
		return;
	}
	resolve_session(node, request);
}

void request_handle_disconnect(struct cw_node *node, uint64_t handle)
{
	struct request *request = request_find(node, handle);

	if (!request)
		return;
	if (request->state == REQUEST_RUNNING) {
		struct cw_server *server = cw_pool_find(node->pool, request->server);

		if (server) {
			quarantine_note_incomplete(node, request, server);
			cw_pool_record_end(server, node->now_ms, -1);
		}
		request->may_have_run = 1;
	}
	request_abandon(node, request);
}

void request_handle_binding(struct cw_node *node, const struct cw_binding *binding, uint64_t handle)
{
	struct request *request = request_find(node, handle);

	if (binding->bound_at)
		choice_merge_binding(node, binding);
	if (!request || request->state != REQUEST_BINDING || request->binding.key != binding->key)
		return;
	if (request->pending_binding_answers > 0)
		request->pending_binding_answers--;
	if (binding->bound_at || request->pending_binding_answers == 0)
		admit_with_binding(node, request);
}

void request_check_claims(struct cw_node *node)
{
	struct request *request = LIST_FIRST(&node->requests);

	while (request) {
		struct request *next = LIST_NEXT(request, link);

		if (request->state == REQUEST_CLAIMING)
			check_claim(node, request);
		else if (request->state == REQUEST_UNGUARDED)
			guard_key(node, request);
		request = next;
	}
}

void request_confirm_bill(struct cw_node *node, const char *bill_id)
{
	struct request *request = LIST_FIRST(&node->requests);
	char id[CW_NAME_MAX + CW_ID_MAX + 2];

	while (request) {
		struct request *next = LIST_NEXT(request, link);

		if (request->state == REQUEST_BILLING) {
			g_snprintf(id, sizeof(id), "%s/%s", request->organisation,
				   request->in.request_id);
			if (!strcmp(id, bill_id))
				request_complete(node, request);
		}
		request = next;
	}
}

void request_check_timeouts(struct cw_node *node)
{
	struct request *request = LIST_FIRST(&node->requests);

	while (request) {
		struct request *next = LIST_NEXT(request, link);

		if (request->state == REQUEST_BILLING && node->now_ms >= request->wait_until_ms)
			request_complete(node, request);
		else if (request->state == REQUEST_BINDING &&
			 node->now_ms >= request->wait_until_ms)
			admit_with_binding(node, request);
		else if (request->state == REQUEST_RATING && node->now_ms >= request->wait_until_ms)
			request_handle_rating(node, request->in.handle, -1);
		else if (request->state == REQUEST_UNGUARDED)
			guard_key(node, request);
		else if (request->state == REQUEST_CLAIMING &&
			 (node->now_ms >= request->wait_until_ms ||
			  !log_is_answered(node, CW_STREAM_CLAIMS)))
			request_reject(node, request, CW_CODE_PLATFORM_UNAVAILABLE,
				       PLATFORM_RETRY_MS, "the claim was not confirmed by the log");
		request = next;
	}
}

static struct request *request_create(struct cw_node *node, const struct cw_node_request *in)
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

void request_destroy(struct cw_node *node, struct request *request)
{
	double tokens = 0;

	for (unsigned int i = 0; i < request->attempt_count; i++)
		tokens +=
			request->attempts[i].prompt_tokens + request->attempts[i].completion_tokens;
	if (request->is_admitted)
		cw_limits_release(node->limits, request->row, request->expected_tokens, tokens);
	g_hash_table_remove(node->by_handle, &request->in.handle);
	LIST_REMOVE(request, link);
	g_clear_pointer(&request->answer, g_free);
	LIST_INSERT_HEAD(&node->free_requests, request, link);
	node->running--;
}

struct request *request_find(struct cw_node *node, uint64_t handle)
{
	return g_hash_table_lookup(node->by_handle, &handle);
}

/*
 * Ends a request with an error. The error says "not_run" only if no byte may have reached a backend
 * server. The claim is then released, so that the caller may use the idempotency key again.
 */
void request_reject(struct cw_node *node, struct request *request, enum cw_error_code code,
		    int64_t retry_after_ms, const char *format, ...)
{
	struct cw_effect *effect = node_add_effect(node, CW_EFFECT_REJECT, request->in.handle);
	va_list args;

	effect->reject.code = code;
	effect->reject.run = request->may_have_run ? CW_RUN_UNKNOWN : CW_RUN_NOT_EXECUTED;
	effect->reject.retry_after_ms = retry_after_ms;
	va_start(args, format);
	g_vsnprintf(effect->reject.message, CW_MESSAGE_MAX, format, args);
	va_end(args);
	if (request->claim.claim && !request->may_have_run)
		claims_enqueue(node, &request->claim, CLAIM_ENTRY_RELEASE, 0, NULL);
	node_log_event(node, "request", "refuse",
		       "request=%s organisation=%s code=%s run=%s retry_after_ms=%" G_GINT64_FORMAT,
		       request->in.request_id, request->organisation, cw_error_code_name(code),
		       cw_run_name(effect->reject.run), retry_after_ms);
	request_destroy(node, request);
}

/* The caller disconnected: bills the chunks that were forwarded; a request that never ran releases
 * its claim. */
void request_abandon(struct cw_node *node, struct request *request)
{
	node_log_event(node, "request", "caller_gone", "request=%s organisation=%s shown=%u",
		       request->in.request_id, request->organisation, request->forwarded_chunks);
	if (request->claim.claim && !request->may_have_run)
		claims_enqueue(node, &request->claim, CLAIM_ENTRY_RELEASE, 0, NULL);
	if (request->forwarded_chunks > 0 && request->state == REQUEST_RUNNING)
		bills_add(node, request);
	request_destroy(node, request);
}

static int resolve_service(struct cw_node *node, struct request *request)
{
	const struct cw_row *row;

	g_snprintf(request->model, CW_NAME_MAX, CW_SERVICE_PREFIX "%s", request->in.target);
	row = cw_table_find_row(node->table, request->organisation, request->model, "");
	if (!cw_table_is_allowed(row)) {
		request_reject(node, request, CW_CODE_NOT_ALLOWED, 0, "service %s is not allowed",
			       request->in.target);
		return 0;
	}
	request->row = row->id;
	request->version_id = 0;
	request->cost_per_1k = isnan(row->cell[CW_COLUMN_COST]) ? 0 : row->cell[CW_COLUMN_COST];
	return 1;
}

/*
 * Finds the session's binding to a version: in the request's signed token, in this instance's
 * store, else at the peers that own the session.
 */
static void resolve_session(struct cw_node *node, struct request *request)
{
	const struct cw_binding *stored;
	struct cw_binding token_binding;

	if (*request->in.session_id)
		request->binding.key = cw_session_key(request->organisation, request->in.session_id,
						      request->in.target);
	if (*request->in.session_token &&
	    cw_token_decode(node->config.peer_key, request->in.session_token, &token_binding) ==
		    CW_OK &&
	    (!request->binding.key || request->binding.key == token_binding.key)) {
		request->binding.key = token_binding.key;
		choice_merge_binding(node, &token_binding);
	}
	if (!request->binding.key) {
		admit(node, request);
		return;
	}
	stored = cw_session_find(node->sessions, request->binding.key, node->now_ms);
	if (!stored && needs_binding_query(node)) {
		request->pending_binding_answers =
			gossip_request_binding(node, request->binding.key, request->in.handle);
		if (request->pending_binding_answers > 0) {
			request->state = REQUEST_BINDING;
			request->wait_until_ms = node->now_ms + node->config.session_ask_ms;
			return;
		}
	}
	admit_with_binding(node, request);
}

/*
 * The session key and the table determine the version. If routing has not changed for longer than
 * the idle time-out of sessions, every live session was bound with the current routing, so no peer
 * needs to be asked.
 */
static int needs_binding_query(const struct cw_node *node)
{
	return node->now_ms - node->routing_changed_ms < node->config.session_idle_ms;
}

static void admit_with_binding(struct cw_node *node, struct request *request)
{
	const struct cw_binding *stored =
		cw_session_find(node->sessions, request->binding.key, node->now_ms);

	if (stored)
		request->binding = *stored;
	admit(node, request);
}

void request_store_binding(struct cw_node *node, struct request *request)
{
	const struct cw_binding *stored;

	if (!*request->binding.model) {
		g_strlcpy(request->binding.model, request->model, CW_NAME_MAX);
		g_strlcpy(request->binding.version, request->version, CW_NAME_MAX);
		request->binding.bound_at = cw_table_offset(node->table);
		request->binding.row = request->row;
		request->binding.announced_ms = 0;
	}
	choice_merge_binding(node, &request->binding);
	stored = cw_session_find(node->sessions, request->binding.key, node->now_ms);
	if (!stored ||
	    (stored->announced_ms && node->now_ms - stored->announced_ms < BINDING_ANNOUNCE_MS))
		return;
	gossip_announce_binding(node, stored);
	cw_session_mark_announced(node->sessions, request->binding.key, node->now_ms);
}

static void admit(struct cw_node *node, struct request *request)
{
	int64_t retry_after_ms = 0;

	if (!(request->in.flags & CW_REQUEST_SERVICE)) {
		switch (choice_select_version(node, request)) {
		case CHOICE_NOT_ALLOWED:
			request_reject(node, request, CW_CODE_NOT_ALLOWED, 0,
				       "model %s is not allowed", request->in.target);
			return;
		case CHOICE_NO_WEIGHT:
			request_reject(node, request, CW_CODE_NO_BACKEND_SERVER, PLATFORM_RETRY_MS,
				       "no version of %s has a weight", request->in.target);
			return;
		case CHOICE_TABLE_OUTDATED:
			request_reject(node, request, CW_CODE_PLATFORM_UNAVAILABLE,
				       PLATFORM_RETRY_MS,
				       "the session's version is newer than this instance's table");
			return;
		case CHOICE_OK:
			break;
		}
		if (request->binding.key)
			request_store_binding(node, request);
	}
	if (!acquire_limits(node, request, &retry_after_ms)) {
		if (!cw_limits_has_share(node->limits)) {
			request_reject(node, request, CW_CODE_PLATFORM_UNAVAILABLE,
				       PLATFORM_RETRY_MS,
				       "this instance has no share of the limits yet");
			return;
		}
		request_reject(node, request, CW_CODE_LIMIT_EXCEEDED,
			       retry_after_ms + (int64_t)(node_random(node) % RETRY_JITTER_MS),
			       "the limit of %s is reached", request->model);
		return;
	}
	if ((request->in.flags & CW_REQUEST_SERVICE) &&
	    !(request->in.flags & CW_REQUEST_IDEMPOTENT) && *request->in.idempotency_key)
		claim_key(node, request);
	else
		request_dispatch(node, request, CW_DISPATCH_FRESH);
}

static int acquire_limits(struct cw_node *node, struct request *request, int64_t *retry_after_ms)
{
	const struct cw_row *row = cw_table_find_row(node->table, request->organisation,
						     request->model, request->version);
	struct cw_limit limit = {
		.row = request->row,
		.requests_per_s = row->cell[CW_COLUMN_REQUESTS_PER_S],
		.tokens_per_s = row->cell[CW_COLUMN_TOKENS_PER_S],
		.concurrent = row->cell[CW_COLUMN_CONCURRENT],
	};
	unsigned int answer_tokens = request->in.max_tokens
					     ? MIN(request->in.max_tokens, DEFAULT_ANSWER_TOKENS)
					     : DEFAULT_ANSWER_TOKENS;

	request->expected_tokens = request->in.flags & CW_REQUEST_SERVICE
					   ? 0
					   : request->in.prompt_tokens + answer_tokens;
	if (cw_limits_admit(node->limits, &limit, request->expected_tokens, node->now_ms,
			    retry_after_ms) != CW_OK)
		return 0;
	request->is_admitted = 1;
	return 1;
}

/*
 * A non-idempotent request that a caller sends to two instances, or again after a crash, would run
 * twice. Its idempotency key is therefore claimed in the log first, and only the instance whose
 * claim holds the key sends the request.
 */
static void claim_key(struct cw_node *node, struct request *request)
{
	request->claim.key = cw_claims_key(request->organisation, request->in.target,
					   request->in.idempotency_key);
	request->claim.body = request->in.body;
	request->guard_until_ms =
		MIN(node->now_ms + node->config.claim_timeout_ms, request->deadline_ms);
	wait_for_guard(node, request);
}

/*
 * Without the log the holder of a key is unknown. Whether the log is back, the next answer to a
 * read shows, so the request waits for that one; it is rejected where the read fails. After a
 * restore it waits until what was lost is in the log again.
 */
static void wait_for_guard(struct cw_node *node, struct request *request)
{
	request->state = REQUEST_UNGUARDED;
	request->guard_failures = node->log_readers[CW_STREAM_CLAIMS].failures;
	log_read_soon(node, CW_STREAM_CLAIMS);
	guard_key(node, request);
}

static void guard_key(struct cw_node *node, struct request *request)
{
	struct cw_claim_view view = cw_claims_lookup(node->claims, request->claim.key);
	int is_guarded = log_is_up(node, CW_STREAM_CLAIMS) && claims_are_guarded(node);

	if (request->dropped_claim && view.holder == request->dropped_claim)
		is_guarded = 0; /* until the release of that claim is read */
	if (is_guarded && view.state != CW_CLAIM_FREE) {
		check_claim(node, request);
		return;
	}
	if (is_guarded) {
		add_claim(node, request);
		return;
	}
	if (node->now_ms >= request->guard_until_ms ||
	    request->guard_failures != node->log_readers[CW_STREAM_CLAIMS].failures ||
	    !claims_may_be_guarded(node, request->guard_until_ms))
		request_reject(node, request, CW_CODE_PLATFORM_UNAVAILABLE, PLATFORM_RETRY_MS,
			       "the log of claims %s, so the order can't be guarded",
			       log_is_up(node, CW_STREAM_CLAIMS) ? "is being restored"
								 : "can't be read");
}

static void add_claim(struct cw_node *node, struct request *request)
{
	if (cw_claims_is_full(node->claims)) {
		request_reject(node, request, CW_CODE_OVERLOADED, PLATFORM_RETRY_MS,
			       "no room to guard another order");
		return;
	}
	request->state = REQUEST_CLAIMING;
	request->claim.claim = node_random(node) | 1;
	request->claim_floor = claims_find_floor(node);
	request->wait_until_ms =
		MIN(node->now_ms + node->config.claim_timeout_ms, request->deadline_ms);
	claims_enqueue(node, &request->claim, CLAIM_ENTRY_CLAIM, 0, NULL);
}

static void check_claim(struct cw_node *node, struct request *request)
{
	struct cw_claim_view view = cw_claims_lookup(node->claims, request->claim.key);
	uint64_t own_claim = request->claim.claim;
	struct cw_effect *effect;

	if (view.state == CW_CLAIM_FREE)
		return;
	if (view.state == CW_CLAIM_PENDING && view.holder == own_claim) {
		if (!can_trust_claim(node, request, &view)) {
			drop_claim(node, request);
			return;
		}
		node_log_event(node, "claims", "claimed", "request=%s organisation=%s",
			       request->in.request_id, request->organisation);
		request_dispatch(node, request, CW_DISPATCH_FRESH);
		return;
	}
	request->claim.claim = 0; /* lost the key or never claimed it: no claim to release */
	if (view.body_hash != request->claim.body) {
		request_reject(node, request, CW_CODE_DUPLICATE, 0,
			       "the idempotency key was used for another request");
		return;
	}
	/* An earlier request with the key may have run, so "not_run" must not be reported. */
	request->may_have_run = 1;
	if (view.state == CW_CLAIM_PENDING) {
		request_reject(node, request, CW_CODE_DUPLICATE, DUPLICATE_RETRY_MS,
			       "the same request was taken before and its outcome is not known");
		return;
	}
	effect = node_add_effect(node, CW_EFFECT_REPLAY, request->in.handle);
	effect->replay.status = view.status;
	effect->replay.answer = g_strdup(view.answer);
	node_log_event(node, "claims", "replay", "request=%s organisation=%s status=%d",
		       request->in.request_id, request->organisation, view.status);
	request_destroy(node, request);
}

/*
 * A claim at an offset that a peer had read before it was made stands in a log that lost records:
 * an earlier claim of the key may be among them. Where this instance has noticed the loss since, it
 * had read all of them itself.
 */
static int can_trust_claim(struct cw_node *node, const struct request *request,
			   const struct cw_claim_view *view)
{
	if (view->offset > request->claim_floor)
		return claims_are_guarded(node);
	if (request->claim_floor <= node->claims_known_end)
		return 0;
	node_log_event(node, "claims", "doubted",
		       "request=%s offset=%" G_GUINT64_FORMAT " peer_offset=%" G_GUINT64_FORMAT,
		       request->in.request_id, view->offset, request->claim_floor);
	node->claims_doubted_ms = node->now_ms;
	return 0;
}

/* The next claim is made when what the log has lost is in it again, and so follows it there. */
static void drop_claim(struct cw_node *node, struct request *request)
{
	claims_enqueue(node, &request->claim, CLAIM_ENTRY_RELEASE, 0, NULL);
	request->dropped_claim = request->claim.claim;
	request->claim.claim = 0;
	wait_for_guard(node, request);
}
