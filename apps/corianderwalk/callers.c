/* The callers' HTTP interface: validates requests, runs a job for each and answers. */
#include "daemon.h"
#include "job.h"
#include "cw_counters.h"

#include <stdlib.h>
#include <string.h>

#define OVERLOAD_RETRY_AFTER_MS 500
#define SERVICES_PREFIX		"/services/"
#define BEARER_PREFIX		"Bearer "
#define AUTHORIZATION_MAX	256
#define PROMPT_PREFIX_BYTES	512 /* of the first message's JSON, hashed as the prompt prefix */
#define BYTES_PER_TOKEN		4   /* estimates the prompt tokens by the body's size */
#define MAX_TOKENS_MAX		10000000
#define DEADLINE_MS_MAX		86400000LL

static void handle_chat(struct daemon *daemon, const struct cw_http_request *in,
			struct cw_http_response *out);
static void handle_service(struct daemon *daemon, const struct cw_http_request *in,
			   struct cw_http_response *out);
static void handle_models(struct daemon *daemon, const struct cw_http_request *in,
			  struct cw_http_response *out);
static int read_key(const struct cw_http_request *in, char key_sha256[CW_SHA256_HEX],
		    struct cw_http_response *out);
static int read_headers(const struct cw_http_request *in, struct cw_node_request *request,
			struct cw_http_response *out);
static int read_header(const struct cw_http_request *in, const char *name,
		       const char *extra_characters, char *text, size_t size,
		       struct cw_http_response *out);
static int read_deadline(const struct cw_http_request *in, struct cw_node_request *request,
			 struct cw_http_response *out);
static int read_priority(const struct cw_http_request *in, struct cw_node_request *request,
			 struct cw_http_response *out);
static int read_completion(const struct cw_http_request *in, struct job_in *job,
			   struct cw_http_response *out);
static const char *validate_completion(struct json_object *body, struct cw_node_request *request);
static uint64_t hash_prompt_prefix(struct json_object *messages);
static void generate_request_id(char *id, size_t size);
static int is_idempotent(const struct cw_http_request *in);
static void write_bad_request(struct cw_http_response *out, const char *format, ...)
	__attribute__((format(printf, 2, 3)));

void callers_handle_request(void *context, const struct cw_http_request *in,
			    struct cw_http_response *out)
{
	struct daemon *daemon = context;

	cw_counter_add("requests_total", "", 1);
	if (operators_handle_health(daemon, in->path, out))
		return;
	/* Each request takes one or two threads: beyond this number further requests would only
	 * slow down those in progress. */
	if (__atomic_load_n(&daemon->jobs_running, __ATOMIC_RELAXED) >=
	    daemon->settings->max_requests) {
		callers_write_error(out, CW_CODE_OVERLOADED, CW_RUN_NOT_EXECUTED,
				    OVERLOAD_RETRY_AFTER_MS,
				    "this instance has all the requests it takes");
		return;
	}
	if (g_str_has_prefix(in->path, SERVICES_PREFIX)) {
		handle_service(daemon, in, out);
	} else if (!strcmp(in->path, "/v1/chat/completions")) {
		if (!strcmp(in->method, "POST"))
			handle_chat(daemon, in, out);
		else
			callers_write_error(out, CW_CODE_BAD_REQUEST, CW_RUN_NOT_EXECUTED, 0,
					    "only POST is understood here");
	} else if (!strcmp(in->path, "/v1/models")) {
		handle_models(daemon, in, out);
	} else {
		callers_write_error(out, CW_CODE_BAD_REQUEST, CW_RUN_NOT_EXECUTED, 0,
				    "no such path");
		out->status = 404;
	}
}

void callers_write_error(struct cw_http_response *out, enum cw_error_code code,
			 enum cw_run_state run, int64_t retry_after_ms, const char *message)
{
	struct json_object *body = json_object_new_object();
	struct json_object *error = json_object_new_object();
	char seconds[32];

	json_object_object_add(error, "code", json_object_new_string(cw_error_code_name(code)));
	json_object_object_add(error, "message", json_object_new_string(message));
	json_object_object_add(error, "run", json_object_new_string(cw_run_name(run)));
	json_object_object_add(error, "retry_after_ms", json_object_new_int64(retry_after_ms));
	json_object_object_add(body, "error", error);
	cw_http_response_set_json(
		out, cw_error_code_http_status(code),
		g_strdup(json_object_to_json_string_ext(body, JSON_C_TO_STRING_PLAIN)));
	json_object_put(body);
	if (retry_after_ms <= 0)
		return;
	g_snprintf(seconds, sizeof(seconds), "%" G_GINT64_FORMAT, (retry_after_ms + 999) / 1000);
	cw_http_response_add_header(out, "Retry-After", seconds);
}

static void handle_chat(struct daemon *daemon, const struct cw_http_request *in,
			struct cw_http_response *out)
{
	struct job_in job = {0};

	if (!read_key(in, job.request.key_sha256, out) || !read_headers(in, &job.request, out) ||
	    !read_completion(in, &job, out))
		return;
	job.request.flags |= CW_REQUEST_IDEMPOTENT;
	job.request.body = cw_hash(in->body, in->body_size, 9);
	job_respond(job_create(daemon, &job), out);
}

static void handle_service(struct daemon *daemon, const struct cw_http_request *in,
			   struct cw_http_response *out)
{
	const char *name = in->path + strlen(SERVICES_PREFIX);
	size_t length = strcspn(name, "/?");
	const char *content_type = cw_http_request_header(in, "Content-Type");
	struct job_in job = {0};

	if (length == 0 || length >= CW_NAME_MAX - strlen(CW_SERVICE_PREFIX)) {
		write_bad_request(out, "the path names no service");
		return;
	}
	if (!read_key(in, job.request.key_sha256, out) || !read_headers(in, &job.request, out))
		return;
	memcpy(job.request.target, name, length);
	job.request.flags |= CW_REQUEST_SERVICE;
	if (is_idempotent(in))
		job.request.flags |= CW_REQUEST_IDEMPOTENT;
	job.request.body = cw_hash(in->body, in->body_size, cw_hash_text(in->path, 9));
	job.method = g_strdup(in->method);
	job.path = g_strdup_printf("%s%s", name[length] == '/' ? "" : "/", name + length);
	job.content_type = g_strdup(content_type ? content_type : "application/octet-stream");
	job.body = g_malloc(in->body_size + 1);
	memcpy(job.body, in->body, in->body_size);
	job.body_size = in->body_size;
	job_respond(job_create(daemon, &job), out);
}

static void handle_models(struct daemon *daemon, const struct cw_http_request *in,
			  struct cw_http_response *out)
{
	char key_sha256[CW_SHA256_HEX];
	int status;
	char *answer;

	if (!read_key(in, key_sha256, out))
		return;
	answer = job_query(daemon, CW_QUERY_MODELS, key_sha256, &status);
	if (answer)
		cw_http_response_set_json(out, status, answer);
	else if (status == 401)
		callers_write_error(out, CW_CODE_UNAUTHORISED, CW_RUN_NOT_EXECUTED, 0,
				    "no organisation has this key");
	else
		callers_write_error(out, CW_CODE_OVERLOADED, CW_RUN_NOT_EXECUTED, 1000,
				    "this instance is behind");
}

static int read_key(const struct cw_http_request *in, char key_sha256[CW_SHA256_HEX],
		    struct cw_http_response *out)
{
	const char *value = cw_http_request_header(in, "Authorization");

	if (!value || !g_str_has_prefix(value, BEARER_PREFIX) ||
	    strlen(value) > AUTHORIZATION_MAX) {
		callers_write_error(out, CW_CODE_UNAUTHORISED, CW_RUN_NOT_EXECUTED, 0,
				    "Authorization: Bearer KEY is missing");
		return 0;
	}
	value += strlen(BEARER_PREFIX);
	cw_sha256_hex(value, strlen(value), key_sha256);
	return 1;
}

static int read_headers(const struct cw_http_request *in, struct cw_node_request *request,
			struct cw_http_response *out)
{
	const char *token = cw_http_request_header(in, "X-Session-Token");

	if (!read_header(in, "X-Request-Id", "-_.:", request->request_id,
			 sizeof(request->request_id), out) ||
	    !read_header(in, "Idempotency-Key", NULL, request->idempotency_key,
			 sizeof(request->idempotency_key), out) ||
	    !read_header(in, "X-Session-Id", NULL, request->session_id, sizeof(request->session_id),
			 out) ||
	    !read_header(in, "X-Task", "-_.", request->task, sizeof(request->task), out) ||
	    !read_deadline(in, request, out) || !read_priority(in, request, out))
		return 0;
	/* An overlong session token is ignored, as the node ignores one with a bad signature: the
	 * key may have changed since the token was issued. */
	if (token && strlen(token) < sizeof(request->session_token))
		g_strlcpy(request->session_token, token, sizeof(request->session_token));
	if (!*request->request_id)
		generate_request_id(request->request_id, sizeof(request->request_id));
	return 1;
}

/* extra_characters: allowed besides letters and digits; NULL: all printable ones but '"'. */
static int read_header(const struct cw_http_request *in, const char *name,
		       const char *extra_characters, char *text, size_t size,
		       struct cw_http_response *out)
{
	const char *value = cw_http_request_header(in, name);

	if (!value || !*value)
		return 1;
	if (strlen(value) >= size) {
		write_bad_request(out, "%s is longer than %zu bytes", name, size - 1);
		return 0;
	}
	for (const char *at = value; *at; at++) {
		if (extra_characters ? g_ascii_isalnum(*at) || strchr(extra_characters, *at)
				     : g_ascii_isprint(*at) && *at != '"')
			continue;
		write_bad_request(out, "%s has a character that is not allowed", name);
		return 0;
	}
	g_strlcpy(text, value, size);
	return 1;
}

static int read_deadline(const struct cw_http_request *in, struct cw_node_request *request,
			 struct cw_http_response *out)
{
	const char *value = cw_http_request_header(in, "X-Deadline-Ms");
	char *end;
	int64_t timeout_ms;

	if (!value)
		return 1;
	timeout_ms = g_ascii_strtoll(value, &end, 10);
	if (!*value || *end || timeout_ms < 1 || timeout_ms > DEADLINE_MS_MAX) {
		write_bad_request(out, "X-Deadline-Ms must be 1 to %lld", DEADLINE_MS_MAX);
		return 0;
	}
	request->deadline_ms = g_get_monotonic_time() / 1000 + timeout_ms;
	return 1;
}

static int read_priority(const struct cw_http_request *in, struct cw_node_request *request,
			 struct cw_http_response *out)
{
	const char *value = cw_http_request_header(in, "X-Priority");

	if (!value || !strcmp(value, "interactive"))
		return 1;
	if (strcmp(value, "batch") != 0) {
		write_bad_request(out, "X-Priority must be interactive or batch");
		return 0;
	}
	request->flags |= CW_REQUEST_BATCH;
	return 1;
}

static int read_completion(const struct cw_http_request *in, struct job_in *job,
			   struct cw_http_response *out)
{
	struct json_tokener *tokener = json_tokener_new();
	struct json_object *body = NULL;
	const char *fault = "the body is empty";

	if (in->body_size > 0) {
		body = json_tokener_parse_ex(tokener, in->body, (int)in->body_size);
		fault = json_tokener_get_error(tokener) == json_tokener_success
				? validate_completion(body, &job->request)
				: "the body is not JSON";
	}
	json_tokener_free(tokener);
	if (!fault) {
		job->completion = body;
		job->request.prompt_tokens = (unsigned int)(in->body_size / BYTES_PER_TOKEN);
		return 1;
	}
	json_object_put(body);
	write_bad_request(out, "%s", fault);
	return 0;
}

/* Returns the message for the first fault of the body, or NULL for a valid body. */
static const char *validate_completion(struct json_object *body, struct cw_node_request *request)
{
	struct json_object *value;
	int64_t max_tokens;

	if (!json_object_is_type(body, json_type_object))
		return "the body must be a JSON object";
	if (!json_object_object_get_ex(body, "model", &value) ||
	    !json_object_is_type(value, json_type_string) || !*json_object_get_string(value) ||
	    strlen(json_object_get_string(value)) >= CW_NAME_MAX)
		return "model must name a model, or be auto";
	g_strlcpy(request->target, json_object_get_string(value), CW_NAME_MAX);
	if (json_object_object_get_ex(body, "stream", &value)) {
		if (!json_object_is_type(value, json_type_boolean))
			return "stream must be true or false";
		if (json_object_get_boolean(value))
			request->flags |= CW_REQUEST_STREAM;
	}
	if (json_object_object_get_ex(body, "max_tokens", &value)) {
		max_tokens = json_object_get_int64(value);
		if (!json_object_is_type(value, json_type_int) || max_tokens < 1 ||
		    max_tokens > MAX_TOKENS_MAX)
			return "max_tokens must be a whole number of 1 to 10000000";
		request->max_tokens = (unsigned int)max_tokens;
	}
	if (!json_object_object_get_ex(body, "messages", &value) ||
	    !json_object_is_type(value, json_type_array) || json_object_array_length(value) == 0)
		return "messages must be a list with a message or more";
	for (size_t i = 0; i < json_object_array_length(value); i++)
		if (!json_object_is_type(json_object_array_get_idx(value, i), json_type_object))
			return "each of messages must be an object";
	request->prefix = hash_prompt_prefix(value);
	return NULL;
}

/* Requests with the same prompt prefix can reuse an engine's KV cache. */
static uint64_t hash_prompt_prefix(struct json_object *messages)
{
	const char *first = json_object_to_json_string_ext(json_object_array_get_idx(messages, 0),
							   JSON_C_TO_STRING_PLAIN);

	return cw_hash(first, MIN(strlen(first), PROMPT_PREFIX_BYTES), 10) | 1;
}

static void generate_request_id(char *id, size_t size)
{
	uint64_t random[2];

	cw_random_bytes(random, sizeof(random));
	g_snprintf(id, size, "%016" G_GINT64_MODIFIER "x%016" G_GINT64_MODIFIER "x", random[0],
		   random[1]);
}

static int is_idempotent(const struct cw_http_request *in)
{
	const char *marked = cw_http_request_header(in, "X-Idempotent");

	if (!strcmp(in->method, "GET") || !strcmp(in->method, "HEAD") ||
	    !strcmp(in->method, "PUT") || !strcmp(in->method, "DELETE"))
		return 1;
	return marked && !strcmp(marked, "true");
}

static void write_bad_request(struct cw_http_response *out, const char *format, ...)
{
	char message[CW_MESSAGE_MAX];
	va_list args;

	va_start(args, format);
	g_vsnprintf(message, sizeof(message), format, args);
	va_end(args);
	callers_write_error(out, CW_CODE_BAD_REQUEST, CW_RUN_NOT_EXECUTED, 0, message);
}
