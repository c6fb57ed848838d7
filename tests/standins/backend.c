/*
 * standin-backend: a model engine that streams, or a plain service. GET /runs lists every request
 * that began to run, GET /orders_taken every order. POST /control takes a JSON object with any of
 *   fault     NAME, see below
 *   after     chunks before the fault, for cut and freeze
 *   count     requests that meet the fault, 1000000 if absent
 *   version   "M/V": the fault is limited to requests for that version
 *   token_ms  ms between two tokens
 *   first_ms  ms before the first token, or before a service's answer
 * The faults are
 *   none     no fault
 *   error    500
 *   busy     429 with Retry-After; the request does not run
 *   rubbish  200 with a body that is no answer
 *   cut      the stream breaks
 *   freeze   the stream stops until the fault is changed
 *   foreign  the answer carries another request's id
 *   huge     200 with a body of 16 MiB
 *   hang     no answer until the fault is changed, at most 120 s
 *   end      the server crashes at once
 * With --fatal TEXT a request whose body contains TEXT crashes the server after --fatal-ms: all
 * connections break, and new ones are refused for --down-ms.
 */
#include "standin.h"
#include "ending.h"

#include <argtable2.h>
#include <glib.h>
#include <pthread.h>
#include <stdio.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

#define HUGE_BYTES   (16 * 1024 * 1024)
#define CHUNK_MAX    1024
#define FREEZE_US    100000
#define HANG_LIMIT_S 120

enum fault {
	FAULT_NONE,
	FAULT_ERROR,
	FAULT_BUSY,
	FAULT_RUBBISH,
	FAULT_CUT,
	FAULT_FREEZE,
	FAULT_FOREIGN,
	FAULT_HUGE,
	FAULT_HANG
};

static const char *const fault_names[] = {"none",   "error",   "busy", "rubbish", "cut",
					  "freeze", "foreign", "huge", "hang"};

struct generation { /* a request's answer; goes on without a reader, to be resumed */
	struct backend *backend;
	char id[128];
	GPtrArray *chunks; /* JSON texts of the data: lines */
	int done;
	int cancelled;
	int first_token; /* tokens that a continued answer already has */
	int tokens;
	enum fault fault;
	int after; /* chunks before the fault, for FAULT_CUT and FAULT_FREEZE */
	int holders;
};

struct reader {
	struct generation *generation;
	size_t next; /* the next chunk, counted from 1 */
	char pending[CHUNK_MAX];
	size_t length, taken;
};

struct backend {
	pthread_mutex_t mutex;
	pthread_cond_t changed;
	const char *name;
	int is_engine;
	int slots, running, queued;
	int token_ms, first_ms, tokens;
	int checks_fencing;
	int64_t fencing;
	char **versions;
	GHashTable *generations;
	struct json_object *runs;
	struct json_object *orders;
	enum fault fault;
	int after, count;	 /* chunks before the fault; requests that still meet the fault */
	char fault_version[128]; /* the fault is limited to its requests; empty: all requests */
	int64_t orders_made;
	struct crash crash;
};

static void handle(void *context, const struct cw_http_request *in, struct cw_http_response *out);
static void handle_completion(struct backend *backend, const struct cw_http_request *in,
			      struct cw_http_response *out);
static void handle_resume(struct backend *backend, const struct cw_http_request *in,
			  struct cw_http_response *out);
static void handle_cancel(struct backend *backend, const struct cw_http_request *in,
			  struct cw_http_response *out);
static void handle_load(struct backend *backend, struct cw_http_response *out);
static void handle_order(struct backend *backend, const struct cw_http_request *in,
			 struct cw_http_response *out);
static void handle_service(struct backend *backend, const struct cw_http_request *in,
			   struct cw_http_response *out);
static void handle_control(struct backend *backend, const struct cw_http_request *in,
			   struct cw_http_response *out);
static int answer_with_fault(struct backend *backend, enum fault fault,
			     struct cw_http_response *out);
static enum fault consume_fault(struct backend *backend, const char *model);
static void wait_while_hanging(struct backend *backend);
static void record_run(struct backend *backend, const struct cw_http_request *in,
		       const char *model);
static struct generation *start_generation(struct backend *backend, const char *id, int first,
					   int tokens, enum fault fault);
static void *run_generation(void *data);
static void sleep_unlocked(struct backend *backend, int ms);
static void answer_stream(struct generation *generation, size_t next, const char *id,
			  struct cw_http_response *out);
static ssize_t pull_stream(void *context, char *buffer, size_t max);
static void free_reader(void *context);
static int count_continued_tokens(struct json_object *body);
static const char *get_header(const struct cw_http_request *in, const char *name);

int main(int argc, char **argv)
{
	struct arg_int *port =
		arg_int0(NULL, "port", "N", "port to listen on; 0: the kernel chooses");
	struct arg_str *kind = arg_str0(NULL, "kind", "KIND", "engine (default) or service");
	struct arg_str *name = arg_str0(NULL, "name", "NAME", "server name in answers");
	struct arg_str *versions =
		arg_str0(NULL, "versions", "M/V,...", "versions loaded at the start");
	struct arg_int *slots =
		arg_int0(NULL, "slots", "N", "requests that run at the same time (8)");
	struct arg_int *token_ms = arg_int0(NULL, "token-ms", "N", "ms between two tokens (1)");
	struct arg_int *first_ms =
		arg_int0(NULL, "first-ms", "N",
			 "ms before the first token, or before a service's answer (1)");
	struct arg_int *tokens = arg_int0(
		NULL, "tokens", "N", "tokens of an answer if the request has no max_tokens (20)");
	struct arg_lit *fencing =
		arg_lit0(NULL, "checks-fencing", "reject orders with an outdated fencing number");
	struct arg_str *fatal = arg_str0(NULL, "fatal", "TEXT",
					 "requests whose body contains TEXT crash the server");
	struct arg_int *fatal_ms = arg_int0(
		NULL, "fatal-ms", "N", "ms from the start of such a request to the crash (40)");
	struct arg_int *down_ms = arg_int0(NULL, "down-ms", "N",
					   "ms from a crash until the server listens again (2000)");
	struct arg_lit *help = arg_lit0(NULL, "help", "print this help and exit");
	struct arg_end *end = arg_end(20);
	void *table[] = {port,	 kind,	  name,	 versions, slots,   token_ms, first_ms,
			 tokens, fencing, fatal, fatal_ms, down_ms, help,     end};
	struct backend backend = {.mutex = PTHREAD_MUTEX_INITIALIZER,
				  .changed = PTHREAD_COND_INITIALIZER};
	struct cw_http_server *server;

	crash_wait_downtime();
	port->ival[0] = 0;
	fatal_ms->ival[0] = 40;
	down_ms->ival[0] = 2000;
	kind->sval[0] = "engine";
	name->sval[0] = "backend";
	versions->sval[0] = "";
	slots->ival[0] = 8;
	token_ms->ival[0] = 1;
	first_ms->ival[0] = 1;
	tokens->ival[0] = 20;
	if (arg_parse(argc, argv, table) || help->count) {
		arg_print_glossary(stdout, table, "  %-20s %s\n");
		return help->count ? 0 : 2;
	}
	backend.name = name->sval[0];
	backend.is_engine = !strcmp(kind->sval[0], "engine");
	backend.slots = slots->ival[0];
	backend.token_ms = token_ms->ival[0];
	backend.first_ms = first_ms->ival[0];
	backend.tokens = tokens->ival[0];
	backend.checks_fencing = fencing->count;
	backend.versions = g_strsplit(versions->sval[0], ",", -1);
	backend.generations = g_hash_table_new(g_str_hash, g_str_equal);
	backend.runs = json_object_new_array();
	backend.orders = json_object_new_array();
	backend.crash.text = fatal->count ? fatal->sval[0] : NULL;
	backend.crash.after_ms = fatal_ms->ival[0];
	backend.crash.down_ms = down_ms->ival[0];
	backend.crash.arguments = argv;
	server = standin_listen(crash_restored_port(port->ival[0]), handle, &backend);
	backend.crash.port = cw_http_server_port(server);
	standin_wait();
	cw_http_server_destroy(server);
	return 0;
}

static void handle(void *context, const struct cw_http_request *in, struct cw_http_response *out)
{
	struct backend *backend = context;

	pthread_mutex_lock(&backend->mutex);
	if (!strcmp(in->path, "/load"))
		handle_load(backend, out);
	else if (!strcmp(in->path, "/runs"))
		standin_reply(out, 200, json_object_get(backend->runs));
	else if (!strcmp(in->path, "/orders_taken"))
		standin_reply(out, 200, json_object_get(backend->orders));
	else if (!strcmp(in->path, "/control"))
		handle_control(backend, in, out);
	else if (!backend->is_engine)
		handle_service(backend, in, out);
	else if (!strcmp(in->path, "/v1/chat/completions"))
		handle_completion(backend, in, out);
	else if (g_str_has_prefix(in->path, "/v1/requests/") && !strcmp(in->method, "DELETE"))
		handle_cancel(backend, in, out);
	else if (g_str_has_prefix(in->path, "/v1/requests/"))
		handle_resume(backend, in, out);
	else if (g_str_has_prefix(in->path, "/cache_events"))
		cw_http_response_set_json(out, 200, g_strdup("{\"events\":[]}"));
	else if (!strcmp(in->path, "/orders"))
		handle_order(backend, in, out);
	else
		cw_http_response_set_json(out, 404, g_strdup("{\"error\":\"no such path\"}"));
	pthread_mutex_unlock(&backend->mutex);
}

static void handle_completion(struct backend *backend, const struct cw_http_request *in,
			      struct cw_http_response *out)
{
	struct json_object *body = standin_parse(in);
	const char *model = standin_text(body, "model", "");
	const char *id = get_header(in, "X-Request-Id");
	int tokens = (int)standin_number(body, "max_tokens", backend->tokens);
	int continued_tokens = count_continued_tokens(body);
	struct generation *generation;
	enum fault fault;

	if (!body || !g_strv_contains((const char *const *)backend->versions, model)) {
		cw_http_response_set_json(out, body ? 404 : 400,
					  g_strdup("{\"error\":\"no such version is loaded\"}"));
		json_object_put(body);
		return;
	}
	fault = consume_fault(backend, model);
	if (fault == FAULT_BUSY) {
		answer_with_fault(backend, fault, out);
		json_object_put(body);
		return;
	}
	record_run(backend, in, model);
	if (answer_with_fault(backend, fault, out)) {
		json_object_put(body);
		return;
	}
	generation = start_generation(backend, id, continued_tokens, MIN(tokens, 100000), fault);
	if (standin_number(body, "stream", 0)) {
		answer_stream(generation, 1, fault == FAULT_FOREIGN ? "somebody-elses" : id, out);
	} else {
		GString *text = g_string_new(NULL);
		struct json_object *answer;

		while (!generation->done)
			pthread_cond_wait(&backend->changed, &backend->mutex);
		for (int i = continued_tokens + 1; i <= tokens; i++)
			g_string_append_printf(text, "%s.%d ", id, i);
		answer = json_tokener_parse("{\"object\":\"chat.completion\",\"choices\":[{"
					    "\"index\":0,\"message\":{}}],\"usage\":{}}");
		json_object_object_add(
			json_object_object_get(
				json_object_array_get_idx(json_object_object_get(answer, "choices"),
							  0),
				"message"),
			"content", json_object_new_string(text->str));
		json_object_object_add(answer, "model", json_object_new_string(model));
		json_object_object_add(json_object_object_get(answer, "usage"), "prompt_tokens",
				       json_object_new_int((int)in->body_size / 4));
		json_object_object_add(json_object_object_get(answer, "usage"), "completion_tokens",
				       json_object_new_int(tokens - continued_tokens));
		standin_reply(out, 200, answer);
		cw_http_response_add_header(out, "X-Request-Id",
					    fault == FAULT_FOREIGN ? "somebody-elses" : id);
		g_string_free(text, TRUE);
	}
	json_object_put(body);
}

static void handle_resume(struct backend *backend, const struct cw_http_request *in,
			  struct cw_http_response *out)
{
	char *id = g_strndup(in->path + strlen("/v1/requests/"),
			     strcspn(in->path + strlen("/v1/requests/"), "/"));
	struct generation *generation = g_hash_table_lookup(backend->generations, id);
	const char *last = get_header(in, "Last-Event-ID");

	if (generation && !generation->cancelled) {
		generation->fault = FAULT_NONE;
		answer_stream(generation, g_ascii_strtoull(last, NULL, 10) + 1, id, out);
	} else {
		cw_http_response_set_json(out, 404, g_strdup("{\"error\":\"no such request\"}"));
	}
	g_free(id);
}

static void handle_cancel(struct backend *backend, const struct cw_http_request *in,
			  struct cw_http_response *out)
{
	struct generation *generation =
		g_hash_table_lookup(backend->generations, in->path + strlen("/v1/requests/"));

	if (generation)
		generation->cancelled = 1;
	pthread_cond_broadcast(&backend->changed);
	cw_http_response_set_json(out, generation ? 200 : 404, g_strdup("{}"));
}

static void handle_load(struct backend *backend, struct cw_http_response *out)
{
	struct json_object *body = json_object_new_object();
	struct json_object *versions = json_object_new_array();

	json_object_object_add(body, "running", json_object_new_int(backend->running));
	json_object_object_add(body, "queued", json_object_new_int(backend->queued));
	json_object_object_add(body, "slots", json_object_new_int(backend->slots));
	json_object_object_add(body, "kv_used",
			       json_object_new_double((double)backend->running / backend->slots));
	json_object_object_add(body, "age_ms", json_object_new_int(0));
	for (size_t i = 0; backend->versions[i]; i++)
		json_object_array_add(versions, json_object_new_string(backend->versions[i]));
	if (backend->is_engine)
		json_object_object_add(body, "versions", versions);
	else
		json_object_put(versions);
	standin_reply(out, 200, body);
}

static void handle_order(struct backend *backend, const struct cw_http_request *in,
			 struct cw_http_response *out)
{
	struct json_object *body = standin_parse(in);
	int64_t fencing = standin_number(body, "fencing", 0);
	const char *target = standin_text(body, "target", "");

	if (backend->checks_fencing && fencing < backend->fencing) {
		json_object_object_add(body, "refused", json_object_new_boolean(1));
		json_object_array_add(backend->orders, body);
		cw_http_response_set_json(out, 409, g_strdup("{\"error\":\"old fencing number\"}"));
		return;
	}
	backend->fencing = MAX(backend->fencing, fencing);
	if (!strcmp(standin_text(body, "order", ""), "load_version") &&
	    !g_strv_contains((const char *const *)backend->versions, target)) {
		guint count = g_strv_length(backend->versions);

		backend->versions = g_renew(char *, backend->versions, count + 2);
		backend->versions[count] = g_strdup(target);
		backend->versions[count + 1] = NULL;
	}
	json_object_array_add(backend->orders, body);
	cw_http_response_set_json(out, 200, g_strdup("{}"));
}

static void handle_service(struct backend *backend, const struct cw_http_request *in,
			   struct cw_http_response *out)
{
	enum fault fault = consume_fault(backend, "");
	struct json_object *body;

	if (fault == FAULT_BUSY) {
		answer_with_fault(backend, fault, out);
		return;
	}
	record_run(backend, in, "");
	sleep_unlocked(backend, backend->first_ms);
	if (answer_with_fault(backend, fault, out))
		return;
	body = json_object_new_object();
	json_object_object_add(body, "order", json_object_new_int64(++backend->orders_made));
	json_object_object_add(body, "by", json_object_new_string(backend->name));
	json_object_object_add(body, "key",
			       json_object_new_string(get_header(in, "Idempotency-Key")));
	json_object_object_add(body, "request",
			       json_object_new_string(get_header(in, "X-Request-Id")));
	standin_reply(out, strcmp(in->method, "POST") ? 200 : 201, body);
	cw_http_response_add_header(out, "X-Request-Id", get_header(in, "X-Request-Id"));
}

static void handle_control(struct backend *backend, const struct cw_http_request *in,
			   struct cw_http_response *out)
{
	struct json_object *body = standin_parse(in);
	const char *fault = standin_text(body, "fault", fault_names[backend->fault]);

	if (!strcmp(fault, "end"))
		crash_now(&backend->crash);

	for (int i = 0; i <= FAULT_HANG; i++)
		if (!strcmp(fault, fault_names[i]))
			backend->fault = i;
	backend->after = (int)standin_number(body, "after", 0);
	g_strlcpy(backend->fault_version, standin_text(body, "version", ""),
		  sizeof(backend->fault_version));
	backend->count = (int)standin_number(body, "count", 1000000);
	backend->token_ms = (int)standin_number(body, "token_ms", backend->token_ms);
	backend->first_ms = (int)standin_number(body, "first_ms", backend->first_ms);
	pthread_cond_broadcast(&backend->changed);
	json_object_put(body);
	cw_http_response_set_json(out, 200, g_strdup("{}"));
}

static int answer_with_fault(struct backend *backend, enum fault fault,
			     struct cw_http_response *out)
{
	switch (fault) {
	case FAULT_ERROR:
		cw_http_response_set_json(out, 500, g_strdup("{\"error\":\"broken\"}"));
		return 1;
	case FAULT_BUSY:
		cw_http_response_add_header(out, "Retry-After", "1");
		cw_http_response_set_json(out, 429, g_strdup("{\"error\":\"busy\"}"));
		return 1;
	case FAULT_RUBBISH:
		cw_http_response_set_json(out, 200, g_strdup("<html>not what was asked</html>"));
		cw_http_response_add_header(out, "X-Request-Id", "rubbish");
		return 1;
	case FAULT_HUGE:
		cw_http_response_set_json(out, 200, g_strnfill(HUGE_BYTES, 'x'));
		return 1;
	case FAULT_HANG:
		wait_while_hanging(backend);
		cw_http_response_set_json(out, 500, g_strdup("{}"));
		return 1;
	default:
		return 0;
	}
}

static enum fault consume_fault(struct backend *backend, const char *model)
{
	if (backend->fault == FAULT_NONE || backend->count <= 0 ||
	    (*backend->fault_version && strcmp(backend->fault_version, model) != 0))
		return FAULT_NONE;
	backend->count--;
	return backend->fault;
}

static void wait_while_hanging(struct backend *backend)
{
	for (int i = 0; i < HANG_LIMIT_S * 10 && backend->fault == FAULT_HANG; i++)
		sleep_unlocked(backend, 100);
}

static void record_run(struct backend *backend, const struct cw_http_request *in, const char *model)
{
	struct json_object *run = json_object_new_object();

	crash_check_request(&backend->crash, in->body, in->body_size);
	json_object_object_add(run, "request",
			       json_object_new_string(get_header(in, "X-Request-Id")));
	json_object_object_add(run, "attempt", json_object_new_string(get_header(in, "X-Attempt")));
	json_object_object_add(run, "key",
			       json_object_new_string(get_header(in, "Idempotency-Key")));
	json_object_object_add(run, "model", json_object_new_string(model));
	json_object_object_add(run, "path", json_object_new_string(in->path));
	json_object_object_add(run, "time_ms", json_object_new_int64(standin_now_ms()));
	json_object_array_add(backend->runs, run);
}

static struct generation *start_generation(struct backend *backend, const char *id, int first,
					   int tokens, enum fault fault)
{
	struct generation *generation = g_new0(struct generation, 1);
	pthread_attr_t attr;
	pthread_t thread;

	generation->backend = backend;
	generation->chunks = g_ptr_array_new();
	generation->first_token = first;
	generation->tokens = tokens;
	generation->fault = fault;
	generation->after = backend->after;
	g_strlcpy(generation->id, id, sizeof(generation->id));
	g_hash_table_replace(backend->generations, g_strdup(id), generation);
	pthread_attr_init(&attr);
	pthread_attr_setdetachstate(&attr, PTHREAD_CREATE_DETACHED);
	pthread_attr_setstacksize(&attr, 256 * 1024);
	pthread_create(&thread, &attr, run_generation, generation);
	pthread_attr_destroy(&attr);
	return generation;
}

static void *run_generation(void *data)
{
	struct generation *generation = data;
	struct backend *backend = generation->backend;

	pthread_mutex_lock(&backend->mutex);
	backend->queued++;
	while (backend->running >= backend->slots)
		pthread_cond_wait(&backend->changed, &backend->mutex);
	backend->queued--;
	backend->running++;
	sleep_unlocked(backend, backend->first_ms);
	for (int i = generation->first_token + 1; i <= generation->tokens && !generation->cancelled;
	     i++) {
		if (i > generation->first_token + 1)
			sleep_unlocked(backend, backend->token_ms);
		g_ptr_array_add(
			generation->chunks,
			g_strdup_printf("{\"object\":\"chat.completion.chunk\",\"choices\":[{"
					"\"index\":0,\"delta\":{\"content\":\"%s.%d \"}}]}",
					generation->id, i));
		pthread_cond_broadcast(&backend->changed);
	}
	g_ptr_array_add(
		generation->chunks,
		g_strdup_printf("{\"object\":\"chat.completion.chunk\",\"choices\":[],\"usage\":{"
				"\"prompt_tokens\":10,\"completion_tokens\":%d}}",
				generation->tokens - generation->first_token));
	generation->done = 1;
	backend->running--;
	pthread_cond_broadcast(&backend->changed);
	pthread_mutex_unlock(&backend->mutex);
	return NULL;
}

static void sleep_unlocked(struct backend *backend, int ms)
{
	pthread_mutex_unlock(&backend->mutex);
	usleep((useconds_t)ms * 1000);
	pthread_mutex_lock(&backend->mutex);
}

static void answer_stream(struct generation *generation, size_t next, const char *id,
			  struct cw_http_response *out)
{
	struct reader *reader = g_new0(struct reader, 1);

	reader->generation = generation;
	reader->next = next;
	out->status = 200;
	g_strlcpy(out->content_type, "text/event-stream", sizeof(out->content_type));
	cw_http_response_add_header(out, "X-Request-Id", id);
	out->pull = pull_stream;
	out->on_end = free_reader;
	out->context = reader;
}

static ssize_t pull_stream(void *context, char *buffer, size_t max)
{
	struct reader *reader = context;
	struct generation *generation = reader->generation;
	struct backend *backend = generation->backend;
	size_t part;

	if (reader->taken == reader->length) {
		pthread_mutex_lock(&backend->mutex);
		while (reader->next > generation->chunks->len && !generation->done)
			pthread_cond_wait(&backend->changed, &backend->mutex);
		if (generation->fault == FAULT_CUT && reader->next > (size_t)generation->after) {
			pthread_mutex_unlock(&backend->mutex);
			return CW_PULL_ABORT;
		}
		while (generation->fault == FAULT_FREEZE &&
		       reader->next > (size_t)generation->after && backend->fault == FAULT_FREEZE)
			sleep_unlocked(backend, FREEZE_US / 1000);
		if (reader->next > generation->chunks->len + 1) {
			pthread_mutex_unlock(&backend->mutex);
			return CW_PULL_END;
		}
		if (reader->next == generation->chunks->len + 1)
			reader->length =
				(size_t)g_snprintf(reader->pending, CHUNK_MAX, "data: [DONE]\n\n");
		else
			reader->length = (size_t)g_snprintf(
				reader->pending, CHUNK_MAX, "id: %zu\ndata: %s\n\n", reader->next,
				(char *)g_ptr_array_index(generation->chunks, reader->next - 1));
		reader->next++;
		reader->taken = 0;
		pthread_mutex_unlock(&backend->mutex);
	}
	part = MIN(max, reader->length - reader->taken);
	memcpy(buffer, reader->pending + reader->taken, part);
	reader->taken += part;
	return (ssize_t)part;
}

static void free_reader(void *context)
{
	g_free(context);
}

static int count_continued_tokens(struct json_object *body)
{
	struct json_object *messages;
	struct json_object *last;
	const char *text;
	int count = 0;

	if (!standin_number(body, "continue_final_message", 0) ||
	    !json_object_object_get_ex(body, "messages", &messages))
		return 0;
	last = json_object_array_get_idx(messages, json_object_array_length(messages) - 1);
	for (text = standin_text(last, "content", ""); *text; text++)
		count += *text == ' ';
	return count;
}

static const char *get_header(const struct cw_http_request *in, const char *name)
{
	const char *value = cw_http_request_header(in, name);

	return value ? value : "";
}
