#include "job.h"
#include "cw_answer.h"
#include "cw_counters.h"
#include "cw_http_client.h"

#include <stdio.h>
#include <string.h>

#define MAILBOX	      8
#define STALL_STEP_MS 500
#define STALL_MS      30000 /* a caller that takes nothing this long is gone */
#define CANCEL_MS     300
#define HEAD_WAIT_MS  1000
#define END_EVENT     "data: [DONE]\n\n"
#define BYTES_A_TOKEN 4 /* where an engine does not count its prompt */

struct job {
	struct daemon *daemon;
	struct job_in in;
	struct cw_ring *mailbox; /* effects from the core */
	int holders;

	/* The answer; the head is whole once head_ready holds an item. */
	struct cw_ring *head_ready;
	struct cw_ring *stream; /* chunks for the caller */
	int head_told;
	int caller_gone;
	struct cw_http_out out;
	char model_version[2 * CW_NAME_MAX];
	char session_token[CW_TOKEN_MAX];

	/* The attempt that is out. */
	struct cw_answer *answer;
	const struct cw_effect *dispatch;
	enum cw_attempt_result result;
	int upstream_status;
	int foreign; /* the answer carries another request's id */
	int done;
	struct cw_http_answer whole;
};

static void run(struct job *job);
static void *run_stream(void *data);
static void begin(struct job *job);
static void attempt(struct job *job, const struct cw_effect *effect);
static void attempt_engine(struct job *job, const struct cw_effect *effect);
static void attempt_service(struct job *job, const struct cw_effect *effect);
static void end_attempt(struct job *job, const struct cw_effect *effect,
			const struct cw_http_answer *answer);
static enum cw_attempt_result judge_stream(const struct job *job, enum cw_status status);
static enum cw_attempt_result judge_whole(struct job *job, enum cw_status status,
					  unsigned int *prompt, unsigned int *completion,
					  char **text);
static enum cw_attempt_result judge_service(const struct job *job, enum cw_status status);
static enum cw_attempt_result judge_refusal(int status);
static char *engine_body(struct job *job, const struct cw_effect *effect);
static void cancel_upstream(struct job *job, const struct cw_effect *effect);
static int on_head(void *context, int status, const char *request_id, const char *content_type);
static int on_data(void *context, const char *data, size_t size);
static int is_cancelled(void *context);
static void show(void *context, const char *event, size_t size);
static void push_stream(struct job *job, const char *data, size_t size);
static void refuse(struct job *job, const struct cw_effect *effect);
static void replay(struct job *job, struct cw_effect *effect);
static void finish(struct job *job);
static void add_headers(struct job *job);
static void tell_head(struct job *job);
static void on_stream_end(void *context);
static int is_stream(const struct job *job);
static int is_service(const struct job *job);

struct job *job_create(struct daemon *daemon, struct job_in *in)
{
	struct job *job = g_new0(struct job, 1);

	job->daemon = daemon;
	job->in = *in;
	job->in.request.handle = core_handle(daemon);
	job->mailbox = cw_ring_create(MAILBOX);
	job->head_ready = cw_ring_create(1);
	job->stream = cw_ring_create(CW_RING_STREAM);
	job->answer = cw_answer_create((size_t)daemon->settings->max_answer_bytes);
	job->holders = 1;
	__atomic_add_fetch(&daemon->jobs_running, 1, __ATOMIC_RELAXED);
	return job;
}

void job_release(struct job *job)
{
	struct cw_chunk *chunk;

	if (__atomic_sub_fetch(&job->holders, 1, __ATOMIC_ACQ_REL) > 0)
		return;
	while ((chunk = cw_ring_pop(job->stream, 0)))
		g_free(chunk);
	cw_ring_destroy(job->mailbox);
	cw_ring_destroy(job->head_ready);
	cw_ring_destroy(job->stream);
	cw_answer_destroy(job->answer);
	cw_http_answer_clear(&job->whole);
	json_object_put(job->in.completion);
	g_free(job->in.method);
	g_free(job->in.path);
	g_free(job->in.content_type);
	g_free(job->in.body);
	__atomic_sub_fetch(&job->daemon->jobs_running, 1, __ATOMIC_RELAXED);
	g_free(job);
}

uint64_t job_handle(const struct job *job)
{
	return job->in.request.handle;
}

void job_tell(struct job *job, struct cw_effect *effect)
{
	if (cw_ring_push(job->mailbox, effect, 0) != CW_OK)
		cw_effect_destroy(effect);
}

void job_answer(struct job *job, struct cw_http_out *out)
{
	pthread_attr_t attr;
	pthread_t thread;

	if (!is_stream(job)) {
		run(job);
		*out = job->out;
		job_release(job);
		return;
	}
	/* Two threads hold a streamed job: the one that feeds it, and the caller's. */
	job->holders = 2;
	pthread_attr_init(&attr);
	pthread_attr_setdetachstate(&attr, PTHREAD_CREATE_DETACHED);
	if (pthread_create(&thread, &attr, run_stream, job)) {
		job->holders = 1;
		callers_refusal(out, CW_CODE_OVERLOADED, CW_RUN_NOT, HEAD_WAIT_MS,
				"no thread can be started");
		job_release(job);
		pthread_attr_destroy(&attr);
		return;
	}
	pthread_attr_destroy(&attr);
	while (!cw_ring_pop(job->head_ready, HEAD_WAIT_MS))
		;
	*out = job->out;
	if (out->stream)
		return;
	job_release(job);
}

char *job_query(struct daemon *daemon, enum cw_query query, const char *key_sha256, int *status)
{
	struct job_in in = {0};
	struct job *job = job_create(daemon, &in);
	struct message *message = message_create(CW_EVENT_QUERY);
	struct cw_effect *effect;
	char *answer;

	message->job = job;
	message->text = g_strdup(key_sha256);
	message->event.query.handle = job_handle(job);
	message->event.query.query = query;
	message->event.query.key_sha256 = message->text;
	if (core_try_post(daemon, message) != CW_OK) {
		message_destroy(message);
		job_release(job);
		*status = 503;
		return NULL;
	}
	effect = cw_ring_pop(job->mailbox, -1);
	*status = effect->replay.status;
	answer = g_strdup(effect->replay.answer);
	cw_effect_destroy(effect);
	job_release(job);
	return answer;
}

/* The request's whole life on this side: what the node decides is carried out until it is final. */
static void run(struct job *job)
{
	struct cw_effect *effect;
	int final = 0;

	begin(job);
	while (!final && (effect = cw_ring_pop(job->mailbox, -1))) {
		switch (effect->kind) {
		case CW_EFFECT_DISPATCH:
			attempt(job, effect);
			break;
		case CW_EFFECT_REFUSE:
			refuse(job, effect);
			final = 1;
			break;
		case CW_EFFECT_REPLAY:
			replay(job, effect);
			final = 1;
			break;
		default:
			finish(job);
			final = 1;
			break;
		}
		cw_effect_destroy(effect);
	}
}

static void *run_stream(void *data)
{
	struct job *job = data;

	run(job);
	cw_ring_close(job->stream);
	job_release(job);
	return NULL;
}

static void begin(struct job *job)
{
	struct message *message = message_create(CW_EVENT_REQUEST);
	struct cw_effect *effect;

	message->job = job;
	message->request = job->in.request;
	message->event.request = &message->request;
	if (core_try_post(job->daemon, message) == CW_OK)
		return;
	/* The core is behind: a request it has never seen did not run. */
	message_destroy(message);
	effect = g_new0(struct cw_effect, 1);
	effect->kind = CW_EFFECT_REFUSE;
	effect->refuse.code = CW_CODE_OVERLOADED;
	effect->refuse.run = CW_RUN_NOT;
	effect->refuse.retry_after_ms = HEAD_WAIT_MS;
	g_strlcpy(effect->refuse.message, "this instance is behind", CW_MESSAGE_MAX);
	job_tell(job, effect);
}

static void attempt(struct job *job, const struct cw_effect *effect)
{
	job->dispatch = effect;
	job->upstream_status = 0;
	job->foreign = 0;
	job->done = 0;
	g_clear_pointer(&job->out.body, g_free);
	cw_http_answer_clear(&job->whole);
	if (is_service(job))
		attempt_service(job, effect);
	else
		attempt_engine(job, effect);
	job->dispatch = NULL;
}

static void attempt_engine(struct job *job, const struct cw_effect *effect)
{
	const struct cw_settings *settings = job->daemon->settings;
	int resumed = effect->dispatch.mode == CW_DISPATCH_RESUME;
	char *path = resumed ? g_strdup_printf("/v1/requests/%s/stream", job->in.request.request_id)
			     : g_strdup("/v1/chat/completions");
	char *body = resumed ? NULL : engine_body(job, effect);
	char *headers[6] = {
		g_strdup("Content-Type: application/json"),
		g_strdup_printf("X-Request-Id: %s", job->in.request.request_id),
		g_strdup_printf("X-Attempt: %u", effect->dispatch.attempt),
		g_strdup_printf("X-Priority: %s",
				job->in.request.flags & CW_REQUEST_BATCH ? "batch" : "interactive"),
		resumed ? g_strdup_printf("Last-Event-ID: %" G_GUINT64_FORMAT,
					  cw_answer_sequence(job->answer))
			: NULL,
		NULL,
	};
	struct cw_http_call call = {
		.method = resumed ? "GET" : "POST",
		.address = effect->dispatch.address,
		.path = path,
		.headers = (const char *const *)headers,
		.body = body,
		.body_size = body ? strlen(body) : 0,
		.connect_ms = (int)settings->connect_ms,
		.total_ms = (int)effect->dispatch.timeout_ms,
		.first_ms = is_stream(job) ? (int)settings->first_chunk_ms : 0,
		.idle_ms = is_stream(job) ? (int)settings->idle_chunk_ms : 0,
		.max_size = (size_t)settings->max_answer_bytes,
		.on_head = on_head,
		.on_data = is_stream(job) ? on_data : NULL,
		.is_cancelled = is_cancelled,
		.context = job,
	};
	struct cw_http_answer answer;
	enum cw_status status;

	cw_answer_begin(job->answer, resumed);
	status = cw_http_perform(&call, &answer, NULL);
	job->whole = answer;
	if (is_stream(job))
		job->result = judge_stream(job, status);
	else
		job->result = status == CW_OK && answer.status == 200 && !job->foreign
				      ? CW_ATTEMPT_ANSWERED
				      : judge_service(job, status);
	if (job->result == CW_ATTEMPT_CANCELLED || job->result == CW_ATTEMPT_BROKEN)
		cancel_upstream(job, effect);
	end_attempt(job, effect, &answer);
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
		.once = !(job->in.request.flags & CW_REQUEST_IDEMPOTENT),
		.max_size = (size_t)settings->max_answer_bytes,
		.on_head = on_head,
		.context = job,
	};
	struct cw_http_answer answer;
	enum cw_status status = cw_http_perform(&call, &answer, NULL);

	job->whole = answer;
	job->result = judge_service(job, status);
	end_attempt(job, effect, &answer);
	for (size_t i = 0; headers[i]; i++)
		g_free(headers[i]);
}

static void end_attempt(struct job *job, const struct cw_effect *effect,
			const struct cw_http_answer *answer)
{
	struct message *message = message_create(CW_EVENT_ATTEMPT_END);
	unsigned int prompt = 0;
	unsigned int completion = 0;
	char *text = NULL;

	if (is_stream(job)) {
		prompt = cw_answer_prompt_tokens(job->answer);
		completion = cw_answer_attempt_tokens(job->answer);
		text = g_strdup(cw_answer_text(job->answer));
	} else if (is_service(job)) {
		text = g_strndup(answer->body ? answer->body : "", answer->size);
	} else if (job->result == CW_ATTEMPT_ANSWERED) {
		job->result = judge_whole(job, CW_OK, &prompt, &completion, &text);
	}
	if (!is_service(job) && prompt == 0)
		prompt = job->in.request.prompt_tokens;
	message->text = text;
	message->attempt.handle = job_handle(job);
	message->attempt.attempt = effect->dispatch.attempt;
	message->attempt.result = job->result;
	message->attempt.http_status = answer->status;
	message->attempt.prompt_tokens = prompt;
	message->attempt.completion_tokens = completion;
	message->attempt.shown = cw_answer_shown(job->answer);
	message->attempt.first_ms = answer->first_ms;
	message->attempt.total_ms = answer->total_ms;
	message->attempt.answer = text;
	message->event.attempt = &message->attempt;
	if (cw_answer_dropped(job->answer) > 0)
		cw_count("chunks_dropped_total", "", cw_answer_dropped(job->answer));
	if (job->foreign)
		cw_count("foreign_answers_total", "", 1);
	/* What the caller is shown of it, should this be the last attempt. */
	g_snprintf(job->model_version, sizeof(job->model_version), "%s%s%s", effect->dispatch.model,
		   *effect->dispatch.version ? "/" : "", effect->dispatch.version);
	g_strlcpy(job->session_token, effect->dispatch.session_token, CW_TOKEN_MAX);
	core_post(job->daemon, message);
}

static enum cw_attempt_result judge_stream(const struct job *job, enum cw_status status)
{
	if (job->done)
		return CW_ATTEMPT_ANSWERED;
	if (__atomic_load_n(&job->caller_gone, __ATOMIC_ACQUIRE))
		return CW_ATTEMPT_CANCELLED;
	if (status == CW_UNREACHABLE)
		return CW_ATTEMPT_UNSENT;
	if (job->foreign || status == CW_FULL || status == CW_CLOSED)
		return job->upstream_status >= 400 ? judge_refusal(job->upstream_status)
						   : CW_ATTEMPT_FAILED;
	if (job->upstream_status >= 400)
		return judge_refusal(job->upstream_status);
	return CW_ATTEMPT_BROKEN;
}

static enum cw_attempt_result judge_whole(struct job *job, enum cw_status status,
					  unsigned int *prompt, unsigned int *completion,
					  char **text)
{
	if (cw_answer_parse_whole(job->whole.body ? job->whole.body : "", job->whole.size, prompt,
				  completion, text) != CW_OK)
		return CW_ATTEMPT_FAILED;
	return CW_ATTEMPT_ANSWERED;
}

static enum cw_attempt_result judge_service(const struct job *job, enum cw_status status)
{
	if (status == CW_UNREACHABLE)
		return CW_ATTEMPT_UNSENT;
	if (status == CW_FULL || job->foreign)
		return CW_ATTEMPT_FAILED;
	if (status == CW_CLOSED)
		return CW_ATTEMPT_CANCELLED;
	if (status != CW_OK)
		return CW_ATTEMPT_BROKEN;
	return job->whole.status < 400 ? CW_ATTEMPT_ANSWERED : judge_refusal(job->whole.status);
}

/* 429 and 503 may be better elsewhere, and so may an engine that has not loaded the version (404).
 */
static enum cw_attempt_result judge_refusal(int status)
{
	if (status == 429 || status == 503)
		return CW_ATTEMPT_BUSY;
	return status >= 500 || status == 408 ? CW_ATTEMPT_FAILED : CW_ATTEMPT_PASSED;
}

/* The caller's body, unchanged but for the model; a continuation adds the text already shown. */
static char *engine_body(struct job *job, const struct cw_effect *effect)
{
	char *target = g_strdup_printf("%s/%s", effect->dispatch.model, effect->dispatch.version);
	struct json_object *messages;
	struct json_object *said;
	size_t count = 0;
	char *body;

	json_object_object_add(job->in.completion, "model", json_object_new_string(target));
	json_object_object_get_ex(job->in.completion, "messages", &messages);
	if (effect->dispatch.mode == CW_DISPATCH_CONTINUE) {
		count = json_object_array_length(messages);
		said = json_object_new_object();
		json_object_object_add(said, "role", json_object_new_string("assistant"));
		json_object_object_add(said, "content",
				       json_object_new_string(cw_answer_text(job->answer)));
		json_object_array_add(messages, said);
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

/* Nobody reads it any more: the engine's slot is better used by another request. */
static void cancel_upstream(struct job *job, const struct cw_effect *effect)
{
	char *path;
	struct cw_http_call call = {
		.method = "DELETE",
		.address = effect->dispatch.address,
		.connect_ms = CANCEL_MS,
		.total_ms = CANCEL_MS,
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
 * Answers may come late or crossed on a kept connection. One that carries another request's id is
 * somebody else's: showing it would be a wrong statement.
 */
static int on_head(void *context, int status, const char *request_id, const char *content_type)
{
	struct job *job = context;

	job->upstream_status = status;
	if (status < 400 && (!is_service(job) || *request_id) &&
	    strcmp(request_id, job->in.request.request_id) != 0)
		job->foreign = 1;
	if (job->foreign)
		return 1;
	return is_stream(job) && status != 200 && status < 400;
}

static int on_data(void *context, const char *data, size_t size)
{
	struct job *job = context;
	enum cw_answer_state state;

	if (job->upstream_status != 200) {
		/* A refusal's body, kept short: it may be passed on. */
		if (!job->out.body)
			job->out.body = g_strndup(data, MIN(size, CW_RECORD_MAX));
		return 0;
	}
	state = cw_answer_feed(job->answer, data, size, show, job);
	job->done = state == CW_ANSWER_DONE;
	return state != CW_ANSWER_MORE || __atomic_load_n(&job->caller_gone, __ATOMIC_ACQUIRE);
}

static int is_cancelled(void *context)
{
	struct job *job = context;

	return is_stream(job) && job->head_told && cw_ring_is_shut(job->stream);
}

static void show(void *context, const char *event, size_t size)
{
	push_stream(context, event, size);
}

static void push_stream(struct job *job, const char *data, size_t size)
{
	struct cw_chunk *chunk = cw_chunk_create(data, size);
	enum cw_status status = CW_FULL;

	if (!job->head_told) {
		g_snprintf(job->model_version, sizeof(job->model_version), "%s/%s",
			   job->dispatch->dispatch.model, job->dispatch->dispatch.version);
		g_strlcpy(job->session_token, job->dispatch->dispatch.session_token, CW_TOKEN_MAX);
		g_clear_pointer(&job->out.body, g_free);
		job->out.status = 200;
		g_strlcpy(job->out.content_type, "text/event-stream",
			  sizeof(job->out.content_type));
		cw_http_out_header(&job->out, "Cache-Control", "no-cache");
		add_headers(job);
		job->out.stream = job->stream;
		job->out.on_end = on_stream_end;
		job->out.context = job;
		tell_head(job);
	}
	for (int waited = 0; status == CW_FULL && waited < STALL_MS; waited += STALL_STEP_MS)
		status = cw_ring_push(job->stream, chunk, STALL_STEP_MS);
	if (status == CW_OK)
		return;
	g_free(chunk);
	__atomic_store_n(&job->caller_gone, 1, __ATOMIC_RELEASE);
}

static void refuse(struct job *job, const struct cw_effect *effect)
{
	struct cw_http_out refusal = {0};
	char *event;

	callers_refusal(&refusal, effect->refuse.code, effect->refuse.run,
			effect->refuse.retry_after_ms, effect->refuse.message);
	if (job->head_told) {
		/* The answer has begun: its end must be told, silence would pass for a whole
		 * answer. */
		event = g_strdup_printf("event: error\ndata: %s\n\n", refusal.body);
		push_stream(job, event, strlen(event));
		g_free(event);
		g_free(refusal.body);
		for (size_t i = 0; i < refusal.header_count; i++)
			g_free(refusal.headers[i]);
		return;
	}
	g_free(job->out.body);
	job->out = refusal;
	*job->model_version = '\0';
	add_headers(job);
	tell_head(job);
}

static void replay(struct job *job, struct cw_effect *effect)
{
	g_free(job->out.body);
	cw_http_out_json(&job->out, effect->replay.status,
			 g_strdup(effect->replay.answer ? effect->replay.answer : ""));
	add_headers(job);
	cw_http_out_header(&job->out, "X-Replayed", "true");
	tell_head(job);
}

static void finish(struct job *job)
{
	if (job->head_told) {
		push_stream(job, END_EVENT, strlen(END_EVENT));
		return;
	}
	if (!is_stream(job)) {
		g_free(job->out.body);
		job->out.body = g_steal_pointer(&job->whole.body);
		job->out.body_size = job->whole.size;
	} else {
		job->out.body_size = job->out.body ? strlen(job->out.body) : 0;
	}
	job->out.status = job->whole.status;
	g_strlcpy(job->out.content_type, job->whole.content_type, sizeof(job->out.content_type));
	add_headers(job);
	tell_head(job);
}

static void add_headers(struct job *job)
{
	cw_http_out_header(&job->out, "X-Request-Id", job->in.request.request_id);
	cw_http_out_header(&job->out, "X-Instance", job->daemon->settings->instance);
	if (*job->model_version && !is_service(job))
		cw_http_out_header(&job->out, "X-Model-Version", job->model_version);
	if (*job->session_token)
		cw_http_out_header(&job->out, "X-Session-Token", job->session_token);
	/* A kept connection would bring the next request to an instance that is leaving. */
	if (!__atomic_load_n(&job->daemon->ready, __ATOMIC_ACQUIRE))
		cw_http_out_header(&job->out, "Connection", "close");
}

static void tell_head(struct job *job)
{
	job->head_told = 1;
	cw_ring_push(job->head_ready, job, 0);
}

static void on_stream_end(void *context)
{
	job_release(context);
}

static int is_stream(const struct job *job)
{
	return (job->in.request.flags & CW_REQUEST_STREAM) != 0;
}

static int is_service(const struct job *job)
{
	return (job->in.request.flags & CW_REQUEST_SERVICE) != 0;
}
