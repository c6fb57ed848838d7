/* One attempt of a job: the call to the backend server and the classification of its answer. */
#include "job_internal.h"
#include "cw_counters.h"

#include <string.h>

#define CANCEL_TIMEOUT_MS 300
#define FIRST_ATTEMPT	  1

static void attempt_engine(struct job *job, const struct cw_effect *effect);
static void attempt_service(struct job *job, const struct cw_effect *effect);
static void report_attempt(struct job *job, const struct cw_effect *effect,
			   const struct cw_http_answer *answer);
static enum cw_attempt_result classify_stream(const struct job *job, enum cw_status status);
static enum cw_attempt_result parse_completion(struct job *job, enum cw_status status,
					       unsigned int *prompt, unsigned int *completion,
					       char **text);
static enum cw_attempt_result classify_response(const struct job *job, enum cw_status status);
static enum cw_attempt_result classify_error_status(int status);
static char *build_engine_body(struct job *job, const struct cw_effect *effect);
static void cancel_upstream(struct job *job, const struct cw_effect *effect);
static int on_head(void *context, int status, const char *request_id, const char *content_type);
static int on_data(void *context, const char *data, size_t size);
static int is_cancelled(void *context);
static int has_caller_left(const struct job *job);
static void forward_event(void *context, const char *event, size_t size);

void job_run_attempt(struct job *job, const struct cw_effect *effect)
{
	job->dispatch = effect;
	job->upstream_status = 0;
	job->has_foreign_id = 0;
	job->is_complete = 0;
	g_clear_pointer(&job->out.body, g_free);
	cw_http_answer_clear(&job->upstream_answer);
	if (job_is_service(job))
		attempt_service(job, effect);
	else
		attempt_engine(job, effect);
	job->dispatch = NULL;
}

static void attempt_engine(struct job *job, const struct cw_effect *effect)
{
	const struct cw_settings *settings = job->daemon->settings;
	int is_resume = effect->dispatch.mode == CW_DISPATCH_RESUME;
	char *path = is_resume
			     ? g_strdup_printf("/v1/requests/%s/stream", job->in.request.request_id)
			     : g_strdup("/v1/chat/completions");
	char *body = is_resume ? NULL : build_engine_body(job, effect);
	char *headers[6] = {
		g_strdup("Content-Type: application/json"),
		g_strdup_printf("X-Request-Id: %s", job->in.request.request_id),
		g_strdup_printf("X-Attempt: %u", effect->dispatch.attempt),
		g_strdup_printf("X-Priority: %s",
				job->in.request.flags & CW_REQUEST_BATCH ? "batch" : "interactive"),
		is_resume ? g_strdup_printf("Last-Event-ID: %" G_GUINT64_FORMAT,
					    cw_answer_last_sequence(job->answer))
			  : NULL,
		NULL,
	};
	struct cw_http_call call = {
		.method = is_resume ? "GET" : "POST",
		.address = effect->dispatch.address,
		.path = path,
		.headers = (const char *const *)headers,
		.body = body,
		.body_size = body ? strlen(body) : 0,
		.connect_ms = (int)settings->connect_ms,
		.total_ms = (int)effect->dispatch.timeout_ms,
		.first_ms = job_is_stream(job) ? (int)settings->first_chunk_ms : 0,
		.idle_ms = job_is_stream(job) ? (int)settings->idle_chunk_ms : 0,
		.is_rerun = effect->dispatch.attempt > FIRST_ATTEMPT,
		.max_size = (size_t)settings->max_answer_bytes,
		.on_head = on_head,
		.on_data = job_is_stream(job) ? on_data : NULL,
		.is_cancelled = is_cancelled,
		.context = job,
	};
	struct cw_http_answer answer;
	enum cw_status status;

	cw_answer_begin_attempt(job->answer, is_resume);
	status = cw_http_perform(&call, &answer, NULL);
	job->upstream_answer = answer;
	if (job_is_stream(job))
		job->result = classify_stream(job, status);
	else
		job->result = status == CW_OK && answer.status == 200 && !job->has_foreign_id
				      ? CW_ATTEMPT_ANSWERED
				      : classify_response(job, status);
	if (job->result == CW_ATTEMPT_CANCELLED || job->result == CW_ATTEMPT_INTERRUPTED)
		cancel_upstream(job, effect);
	report_attempt(job, effect, &answer);
	for (size_t i = 0; headers[i]; i++)
		g_free(headers[i]);
	g_free(body);
	g_free(path);
}

static void attempt_service(struct job *job, const struct cw_effect *effect)
{
	const struct cw_settings *settings = job->daemon->settings;
	char *headers[5] = {
		g_strdup_printf("X-Request-Id: %s", job->in.request.request_id),
		g_strdup_printf("Content-Type: %s", job->in.content_type),
		g_strdup_printf("X-Attempt: %u", effect->dispatch.attempt),
		*job->in.request.idempotency_key
			? g_strdup_printf("Idempotency-Key: %s", job->in.request.idempotency_key)
			: NULL,
		NULL,
	};
	struct cw_http_call call = {
		.method = job->in.method,
		.address = effect->dispatch.address,
		.path = job->in.path,
		.headers = (const char *const *)headers,
		.body = job->in.body_size ? job->in.body : NULL,
		.body_size = job->in.body_size,
		.connect_ms = (int)settings->connect_ms,
		.total_ms = (int)effect->dispatch.timeout_ms,
		.forbids_retry = !(job->in.request.flags & CW_REQUEST_IDEMPOTENT),
		.is_rerun = effect->dispatch.attempt > FIRST_ATTEMPT,
		.max_size = (size_t)settings->max_answer_bytes,
		.on_head = on_head,
		.context = job,
	};
	struct cw_http_answer answer;
	enum cw_status status = cw_http_perform(&call, &answer, NULL);

	job->upstream_answer = answer;
	job->result = classify_response(job, status);
	report_attempt(job, effect, &answer);
	for (size_t i = 0; headers[i]; i++)
		g_free(headers[i]);
}

static void report_attempt(struct job *job, const struct cw_effect *effect,
			   const struct cw_http_answer *answer)
{
	struct message *message = message_create(CW_EVENT_ATTEMPT_END);
	unsigned int prompt = 0;
	unsigned int completion = 0;
	char *text = NULL;

	if (job_is_stream(job)) {
		prompt = cw_answer_prompt_tokens(job->answer);
		completion = cw_answer_attempt_tokens(job->answer);
		text = g_strdup(cw_answer_text(job->answer));
	} else if (job_is_service(job)) {
		text = g_strndup(answer->body ? answer->body : "", answer->size);
	} else if (job->result == CW_ATTEMPT_ANSWERED) {
		job->result = parse_completion(job, CW_OK, &prompt, &completion, &text);
	}
	if (!job_is_service(job) && prompt == 0)
		prompt = job->in.request.prompt_tokens;
	message->text = text;
	message->attempt.handle = job_handle(job);
	message->attempt.attempt = effect->dispatch.attempt;
	message->attempt.result = job->result;
	message->attempt.http_status = answer->status;
	message->attempt.retry_after_ms = answer->retry_after_ms;
	message->attempt.is_closed_by_server = answer->is_closed_by_peer;
	message->attempt.prompt_tokens = prompt;
	message->attempt.completion_tokens = completion;
	message->attempt.shown = cw_answer_forwarded_chunks(job->answer);
	message->attempt.first_ms = answer->first_ms;
	message->attempt.total_ms = answer->total_ms;
	message->attempt.answer = text;
	message->event.attempt = &message->attempt;
	if (cw_answer_dropped_chunks(job->answer) > 0)
		cw_counter_add("chunks_dropped_total", "", cw_answer_dropped_chunks(job->answer));
	if (job->has_foreign_id)
		cw_counter_add("foreign_answers_total", "", 1);
	/* For the headers of the caller's answer, should this be the last attempt. */
	g_snprintf(job->model_version, sizeof(job->model_version), "%s%s%s", effect->dispatch.model,
		   *effect->dispatch.version ? "/" : "", effect->dispatch.version);
	g_strlcpy(job->session_token, effect->dispatch.session_token, CW_TOKEN_MAX);
	core_post(job->daemon, message);
}

static enum cw_attempt_result classify_stream(const struct job *job, enum cw_status status)
{
	if (job->is_complete)
		return CW_ATTEMPT_ANSWERED;
	if (has_caller_left(job))
		return CW_ATTEMPT_CANCELLED;
	if (status == CW_UNREACHABLE)
		return CW_ATTEMPT_NOT_SENT;
	if (job->has_foreign_id || status == CW_FULL || status == CW_CLOSED)
		return job->upstream_status >= 400 ? classify_error_status(job->upstream_status)
						   : CW_ATTEMPT_FAILED;
	if (job->upstream_status >= 400)
		return classify_error_status(job->upstream_status);
	return CW_ATTEMPT_INTERRUPTED;
}

static enum cw_attempt_result parse_completion(struct job *job, enum cw_status status,
					       unsigned int *prompt, unsigned int *completion,
					       char **text)
{
	if (cw_answer_parse_completion(job->upstream_answer.body ? job->upstream_answer.body : "",
				       job->upstream_answer.size, prompt, completion,
				       text) != CW_OK)
		return CW_ATTEMPT_FAILED;
	return CW_ATTEMPT_ANSWERED;
}

static enum cw_attempt_result classify_response(const struct job *job, enum cw_status status)
{
	if (status == CW_UNREACHABLE)
		return CW_ATTEMPT_NOT_SENT;
	if (status == CW_FULL || job->has_foreign_id)
		return CW_ATTEMPT_FAILED;
	if (status == CW_CLOSED)
		return CW_ATTEMPT_CANCELLED;
	if (status != CW_OK)
		return CW_ATTEMPT_INTERRUPTED;
	return job->upstream_answer.status < 400
		       ? CW_ATTEMPT_ANSWERED
		       : classify_error_status(job->upstream_answer.status);
}

/* Another server may have room on 429 and 503, or work on 408 and 5xx. Other 4xx statuses, also the
 * 404 of an engine that has not loaded the version, are passed on to the caller. */
static enum cw_attempt_result classify_error_status(int status)
{
	if (status == 429 || status == 503)
		return CW_ATTEMPT_BUSY;
	return status >= 500 || status == 408 ? CW_ATTEMPT_FAILED : CW_ATTEMPT_CLIENT_ERROR;
}

/* The caller's body with the dispatched model; a continuation adds the text already forwarded. */
static char *build_engine_body(struct job *job, const struct cw_effect *effect)
{
	char *target = g_strdup_printf("%s/%s", effect->dispatch.model, effect->dispatch.version);
	struct json_object *messages;
	struct json_object *partial;
	size_t count = 0;
	char *body;

	json_object_object_add(job->in.completion, "model", json_object_new_string(target));
	json_object_object_get_ex(job->in.completion, "messages", &messages);
	if (effect->dispatch.mode == CW_DISPATCH_CONTINUE) {
		count = json_object_array_length(messages);
		partial = json_object_new_object();
		json_object_object_add(partial, "role", json_object_new_string("assistant"));
		json_object_object_add(partial, "content",
				       json_object_new_string(cw_answer_text(job->answer)));
		json_object_array_add(messages, partial);
		json_object_object_add(job->in.completion, "continue_final_message",
				       json_object_new_boolean(1));
	}
	body = g_strdup(json_object_to_json_string_ext(
		job->in.completion, JSON_C_TO_STRING_PLAIN | JSON_C_TO_STRING_NOSLASHESCAPE));
	if (effect->dispatch.mode == CW_DISPATCH_CONTINUE) {
		json_object_array_del_idx(messages, count, 1);
		json_object_object_del(job->in.completion, "continue_final_message");
	}
	g_free(target);
	return body;
}

/* Frees the engine's slot for another request once the caller has left. */
static void cancel_upstream(struct job *job, const struct cw_effect *effect)
{
	char *path;
	struct cw_http_call call = {
		.method = "DELETE",
		.address = effect->dispatch.address,
		.connect_ms = CANCEL_TIMEOUT_MS,
		.total_ms = CANCEL_TIMEOUT_MS,
		.max_size = CW_RECORD_MAX,
	};
	struct cw_http_answer answer;

	if (job->result != CW_ATTEMPT_CANCELLED)
		return;
	path = g_strdup_printf("/v1/requests/%s", job->in.request.request_id);
	call.path = path;
	cw_http_perform(&call, &answer, NULL);
	cw_http_answer_clear(&answer);
	g_free(path);
}

/*
 * Answers may arrive late or swapped on a keep-alive connection. An answer with another request's
 * id must not be forwarded: it belongs to another caller.
 */
static int on_head(void *context, int status, const char *request_id, const char *content_type)
{
	struct job *job = context;

	job->upstream_status = status;
	if (status < 400 && (!job_is_service(job) || *request_id) &&
	    strcmp(request_id, job->in.request.request_id) != 0)
		job->has_foreign_id = 1;
	if (job->has_foreign_id)
		return 1;
	return job_is_stream(job) && status != 200 && status < 400;
}

static int on_data(void *context, const char *data, size_t size)
{
	struct job *job = context;
	enum cw_answer_state state;

	if (job->upstream_status != 200) {
		/* The body of an error status, truncated: it may be passed on to the caller. */
		if (!job->out.body)
			job->out.body = g_strndup(data, MIN(size, CW_RECORD_MAX));
		return 0;
	}
	state = cw_answer_feed(job->answer, data, size, forward_event, job);
	job->is_complete = state == CW_ANSWER_DONE;
	return state != CW_ANSWER_INCOMPLETE || has_caller_left(job);
}

static int is_cancelled(void *context)
{
	return has_caller_left(context);
}

/*
 * A caller has left when the HTTP server closed the stream's ring, when job_send_chunk() could not
 * deliver a chunk, or when the core refused the request. The code that stops a call and the code
 * that classifies its result use this same predicate: a call stopped for the caller but classified
 * as broken would be retried on two more engines, and none of the three would get the cancellation.
 */
static int has_caller_left(const struct job *job)
{
	if (__atomic_load_n(&job->is_caller_unreachable, __ATOMIC_ACQUIRE) ||
	    __atomic_load_n(&job->is_refused, __ATOMIC_ACQUIRE))
		return 1;
	return job_is_stream(job) && job->is_head_sent && cw_ring_is_closed_for_push(job->stream);
}

static void forward_event(void *context, const char *event, size_t size)
{
	job_send_chunk(context, event, size);
}
