#include "job_internal.h"

#include <stdio.h>
#include <string.h>

#define MAILBOX_EFFECTS	 8 /* capacity of a mailbox */
#define STALL_CHECK_MS	 500
#define STALL_TIMEOUT_MS 30000 /* a caller that reads nothing for this time has left */
#define HEAD_WAIT_MS	 1000  /* between checks for the head; also the retry hint on overload */
#define DONE_EVENT	 "data: [DONE]\n\n"
#define BYTES_PER_TOKEN	 4 /* estimate for engines that report no prompt tokens */

static void run_job(struct job *job);
static void *run_stream_thread(void *data);
static void submit_request(struct job *job);
static void send_refusal(struct job *job, const struct cw_effect *effect);
static void send_replay(struct job *job, struct cw_effect *effect);
static void send_answer(struct job *job);
static void add_headers(struct job *job);
static void publish_head(struct job *job);
static void on_stream_end(void *context);

struct job *job_create(struct daemon *daemon, struct job_in *in)
{
	struct job *job = g_new0(struct job, 1);

	job->daemon = daemon;
	job->in = *in;
	job->in.request.handle = core_create_handle(daemon);
	job->mailbox = cw_ring_create(MAILBOX_EFFECTS);
	job->head_ready = cw_ring_create(1);
	job->stream = cw_ring_create(CW_RING_STREAM);
	job->answer = cw_answer_create((size_t)daemon->settings->max_answer_bytes);
	job->reference_count = 1;
	__atomic_add_fetch(&daemon->jobs_running, 1, __ATOMIC_RELAXED);
	return job;
}

void job_release(struct job *job)
{
	struct cw_chunk *chunk;

	if (__atomic_sub_fetch(&job->reference_count, 1, __ATOMIC_ACQ_REL) > 0)
		return;
	while ((chunk = cw_ring_pop(job->stream, 0)))
		g_free(chunk);
	cw_ring_destroy(job->mailbox);
	cw_ring_destroy(job->head_ready);
	cw_ring_destroy(job->stream);
	cw_answer_destroy(job->answer);
	cw_http_answer_clear(&job->upstream_answer);
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

void job_deliver(struct job *job, struct cw_effect *effect)
{
	if (effect->kind == CW_EFFECT_REJECT)
		__atomic_store_n(&job->is_refused, 1, __ATOMIC_RELEASE);
	if (cw_ring_push(job->mailbox, effect, 0) != CW_OK)
		cw_effect_destroy(effect);
}

void job_respond(struct job *job, struct cw_http_response *out)
{
	pthread_attr_t attr;
	pthread_t thread;

	if (!job_is_stream(job)) {
		run_job(job);
		*out = job->out;
		job_release(job);
		return;
	}
	/* A streamed job has two references: its own thread and the caller's connection. */
	job->reference_count = 2;
	pthread_attr_init(&attr);
	pthread_attr_setdetachstate(&attr, PTHREAD_CREATE_DETACHED);
	if (pthread_create(&thread, &attr, run_stream_thread, job)) {
		job->reference_count = 1;
		callers_write_error(out, CW_CODE_OVERLOADED, CW_RUN_NOT_EXECUTED, HEAD_WAIT_MS,
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

char *job_query(struct daemon *daemon, enum cw_query query, const char *text, int *status)
{
	struct job_in in = {0};
	struct job *job = job_create(daemon, &in);
	struct message *message = message_create(CW_EVENT_QUERY);
	struct cw_effect *effect;
	char *answer;

	message->job = job;
	message->text = g_strdup(text);
	message->event.query.handle = job_handle(job);
	message->event.query.query = query;
	message->event.query.text = message->text;
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

/* Submits the request and executes the node's decisions until the final one. */
static void run_job(struct job *job)
{
	struct cw_effect *effect;
	int final = 0;

	submit_request(job);
	while (!final && (effect = cw_ring_pop(job->mailbox, -1))) {
		switch (effect->kind) {
		case CW_EFFECT_DISPATCH:
			job_run_attempt(job, effect);
			break;
		case CW_EFFECT_REJECT:
			send_refusal(job, effect);
			final = 1;
			break;
		case CW_EFFECT_REPLAY:
			send_replay(job, effect);
			final = 1;
			break;
		default:
			send_answer(job);
			final = 1;
			break;
		}
		cw_effect_destroy(effect);
	}
}

static void *run_stream_thread(void *data)
{
	struct job *job = data;

	run_job(job);
	cw_ring_close(job->stream);
	job_release(job);
	return NULL;
}

static void submit_request(struct job *job)
{
	struct message *message = message_create(CW_EVENT_REQUEST);
	struct cw_effect *effect;

	message->job = job;
	message->request = job->in.request;
	message->event.request = &message->request;
	if (core_try_post(job->daemon, message) == CW_OK)
		return;
	/* The core's ring is full: the core did not get the request, so nothing ran. */
	message_destroy(message);
	effect = g_new0(struct cw_effect, 1);
	effect->kind = CW_EFFECT_REJECT;
	effect->reject.code = CW_CODE_OVERLOADED;
	effect->reject.run = CW_RUN_NOT_EXECUTED;
	effect->reject.retry_after_ms = HEAD_WAIT_MS;
	g_strlcpy(effect->reject.message, "this instance is behind", CW_MESSAGE_MAX);
	job_deliver(job, effect);
}

void job_send_chunk(struct job *job, const char *data, size_t size)
{
	struct cw_chunk *chunk = cw_chunk_create(data, size);
	enum cw_status status = CW_FULL;

	if (!job->is_head_sent) {
		g_snprintf(job->model_version, sizeof(job->model_version), "%s/%s",
			   job->dispatch->dispatch.model, job->dispatch->dispatch.version);
		g_strlcpy(job->session_token, job->dispatch->dispatch.session_token, CW_TOKEN_MAX);
		g_clear_pointer(&job->out.body, g_free);
		job->out.status = 200;
		g_strlcpy(job->out.content_type, "text/event-stream",
			  sizeof(job->out.content_type));
		cw_http_response_add_header(&job->out, "Cache-Control", "no-cache");
		add_headers(job);
		job->out.stream = job->stream;
		job->out.on_end = on_stream_end;
		job->out.context = job;
		publish_head(job);
	}
	for (int waited_ms = 0; status == CW_FULL && waited_ms < STALL_TIMEOUT_MS;
	     waited_ms += STALL_CHECK_MS)
		status = cw_ring_push(job->stream, chunk, STALL_CHECK_MS);
	if (status == CW_OK)
		return;
	g_free(chunk);
	__atomic_store_n(&job->is_caller_unreachable, 1, __ATOMIC_RELEASE);
}

static void send_refusal(struct job *job, const struct cw_effect *effect)
{
	struct cw_http_response refusal = {0};
	char *event;

	callers_write_error(&refusal, effect->reject.code, effect->reject.run,
			    effect->reject.retry_after_ms, effect->reject.message);
	if (job->is_head_sent) {
		/* The stream has begun: without an explicit error event its end would look like
		 * the end of a complete answer. */
		event = g_strdup_printf("event: error\ndata: %s\n\n", refusal.body);
		job_send_chunk(job, event, strlen(event));
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
	publish_head(job);
}

static void send_replay(struct job *job, struct cw_effect *effect)
{
	g_free(job->out.body);
	cw_http_response_set_json(&job->out, effect->replay.status,
				  g_strdup(effect->replay.answer ? effect->replay.answer : ""));
	add_headers(job);
	cw_http_response_add_header(&job->out, "X-Replayed", "true");
	publish_head(job);
}

static void send_answer(struct job *job)
{
	if (job->is_head_sent) {
		job_send_chunk(job, DONE_EVENT, strlen(DONE_EVENT));
		return;
	}
	if (!job_is_stream(job)) {
		g_free(job->out.body);
		job->out.body = g_steal_pointer(&job->upstream_answer.body);
		job->out.body_size = job->upstream_answer.size;
	} else {
		job->out.body_size = job->out.body ? strlen(job->out.body) : 0;
	}
	job->out.status = job->upstream_answer.status;
	g_strlcpy(job->out.content_type, job->upstream_answer.content_type,
		  sizeof(job->out.content_type));
	add_headers(job);
	publish_head(job);
}

static void add_headers(struct job *job)
{
	cw_http_response_add_header(&job->out, "X-Request-Id", job->in.request.request_id);
	cw_http_response_add_header(&job->out, "X-Instance", job->daemon->settings->instance);
	if (*job->model_version && !job_is_service(job))
		cw_http_response_add_header(&job->out, "X-Model-Version", job->model_version);
	if (*job->session_token)
		cw_http_response_add_header(&job->out, "X-Session-Token", job->session_token);
	/* A keep-alive connection would bring the next request to an instance that is leaving. */
	if (!__atomic_load_n(&job->daemon->is_ready, __ATOMIC_ACQUIRE))
		cw_http_response_add_header(&job->out, "Connection", "close");
}

static void publish_head(struct job *job)
{
	job->is_head_sent = 1;
	cw_ring_push(job->head_ready, job, 0);
}

static void on_stream_end(void *context)
{
	job_release(context);
}

int job_is_stream(const struct job *job)
{
	return (job->in.request.flags & CW_REQUEST_STREAM) != 0;
}

int job_is_service(const struct job *job)
{
	return (job->in.request.flags & CW_REQUEST_SERVICE) != 0;
}
