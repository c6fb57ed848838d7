/*
 * loadgen: sends a limited number of chat requests and checks that each answer is complete and
 * belongs to its request. Prints one line with counts and latency percentiles. The exit status is 1
 * if an answer was invalid or another request's. --direct, meant for calls to a backend server
 * itself, without a router, is accepted and has no effect.
 */
#include "cw_hash.h"
#include "cw_http_client.h"
#include "cw_http_server.h"

#include <argtable2.h>
#include <glib.h>
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define TIMEOUT_MS 120000

struct load {
	char **addresses;
	const char *key;
	const char *model;
	const char *name;
	int stream, tokens, requests, concurrency, direct, retries;
	int64_t end_us; /* monotonic; 0: limited by the number of requests only */
	int next;
	pthread_mutex_t mutex;
	GArray *first_ms;
	GArray *total_ms;
	GArray *rejected_ms;
	GHashTable *rejections_by_code; /* error code -> number of rejections */
	/* Results: complete answers, invalid ones, those of another request, rejections, and
	 * requests that reached no instance. */
	int whole, cut, foreign, rejected, unreachable;
};

struct exchange {
	const char *id;
	GString *text;
	GString *pending; /* received, not parsed yet */
	int is_ended;	  /* the stream's end marker was received */
	int status;
	int error_event;
	double first_ms;
	int64_t start_us;
};

static void *worker(void *data);
static void send_request(struct load *load, int number);
static int send_attempt(struct load *load, int number, int attempt);
static int on_head(void *context, int status, const char *request_id, const char *content_type);
static int on_data(void *context, const char *data, size_t size);
static int is_whole(const struct load *load, const struct exchange *exchange);
static void append_content(struct exchange *exchange, const char *line);
static double percentile(GArray *values, double share);
static gint compare_doubles(gconstpointer a, gconstpointer b);

int main(int argc, char **argv)
{
	struct arg_str *to = arg_str1(NULL, "to", "IP:PORT,...", "instances, used in turn");
	struct arg_str *key = arg_str0(NULL, "key", "KEY", "key of the organisation");
	struct arg_str *model =
		arg_str0(NULL, "model", "MODEL", "model to ask for, or auto (reporter)");
	struct arg_str *name = arg_str0(NULL, "name", "NAME", "prefix of the request ids (load)");
	struct arg_int *requests = arg_int0(NULL, "requests", "N", "number of requests (100)");
	struct arg_int *seconds =
		arg_int0(NULL, "seconds", "N", "send no request after N s; 0: no limit (0)");
	struct arg_int *concurrency =
		arg_int0(NULL, "concurrency", "N", "requests in progress at the same time (1)");
	struct arg_int *tokens = arg_int0(NULL, "tokens", "N", "tokens of each answer (8)");
	struct arg_int *retries =
		arg_int0(NULL, "retries", "N",
			 "retries of a request that was not run or found no instance (0)");
	struct arg_lit *stream = arg_lit0(NULL, "stream", "ask for streamed answers");
	struct arg_lit *direct = arg_lit0(
		NULL, "direct", "accepted for calls to a backend server itself; has no effect");
	struct arg_lit *help = arg_lit0(NULL, "help", "print this help and exit");
	struct arg_end *end = arg_end(20);
	void *table[] = {to,	 key,	  model,  name,	  requests, seconds, concurrency,
			 tokens, retries, stream, direct, help,	    end};
	struct load load = {
		.mutex = PTHREAD_MUTEX_INITIALIZER, .key = "", .model = "reporter", .name = "load"};
	pthread_t *threads;
	GHashTableIter iter;
	gpointer code, count;

	requests->ival[0] = 100;
	seconds->ival[0] = 0;
	concurrency->ival[0] = 1;
	tokens->ival[0] = 8;
	retries->ival[0] = 0;
	if (arg_parse(argc, argv, table) || help->count) {
		arg_print_glossary(stdout, table, "  %-20s %s\n");
		return help->count ? 0 : 2;
	}
	cw_http_open();
	load.addresses = g_strsplit(to->sval[0], ",", -1);
	if (key->count)
		load.key = key->sval[0];
	if (model->count)
		load.model = model->sval[0];
	if (name->count)
		load.name = name->sval[0];
	load.stream = stream->count;
	load.direct = direct->count;
	load.tokens = tokens->ival[0];
	load.requests = requests->ival[0];
	load.retries = retries->ival[0];
	load.concurrency = concurrency->ival[0];
	load.end_us =
		seconds->ival[0] ? g_get_monotonic_time() + seconds->ival[0] * G_USEC_PER_SEC : 0;
	load.first_ms = g_array_new(FALSE, FALSE, sizeof(double));
	load.total_ms = g_array_new(FALSE, FALSE, sizeof(double));
	load.rejected_ms = g_array_new(FALSE, FALSE, sizeof(double));
	load.rejections_by_code = g_hash_table_new(g_str_hash, g_str_equal);
	threads = g_new(pthread_t, (gsize)load.concurrency);
	for (int i = 0; i < load.concurrency; i++)
		pthread_create(&threads[i], NULL, worker, &load);
	for (int i = 0; i < load.concurrency; i++)
		pthread_join(threads[i], NULL);
	g_free(threads);
	g_array_sort(load.first_ms, compare_doubles);
	g_array_sort(load.total_ms, compare_doubles);
	g_array_sort(load.rejected_ms, compare_doubles);
	printf("requests=%d whole=%d cut=%d foreign=%d refused=%d unreachable=%d", load.next,
	       load.whole, load.cut, load.foreign, load.rejected, load.unreachable);
	g_hash_table_iter_init(&iter, load.rejections_by_code);
	while (g_hash_table_iter_next(&iter, &code, &count))
		printf(" %s=%d", (char *)code, GPOINTER_TO_INT(count));
	printf(" first_ms_50=%.3f first_ms_95=%.3f first_ms_99=%.3f total_ms_50=%.3f "
	       "total_ms_99=%.3f refused_ms_99=%.3f\n",
	       percentile(load.first_ms, 0.5), percentile(load.first_ms, 0.95),
	       percentile(load.first_ms, 0.99), percentile(load.total_ms, 0.5),
	       percentile(load.total_ms, 0.99), percentile(load.rejected_ms, 0.99));
	cw_http_close();
	return load.cut + load.foreign > 0;
}

static void *worker(void *data)
{
	struct load *load = data;

	for (;;) {
		int number;

		pthread_mutex_lock(&load->mutex);
		number = load->next < load->requests &&
					 (!load->end_us || g_get_monotonic_time() < load->end_us)
				 ? load->next++
				 : -1;
		pthread_mutex_unlock(&load->mutex);
		if (number < 0)
			return NULL;
		send_request(load, number);
	}
}

static void send_request(struct load *load, int number)
{
	for (int attempt = 0; send_attempt(load, number, attempt) && attempt < load->retries;
	     attempt++)
		g_usleep(100000);
}

/* Returns 1 when the request may be retried: rejected as not run, or no connection was made. */
static int send_attempt(struct load *load, int number, int attempt)
{
	char *id = g_strdup_printf("%s-%d", load->name, number);
	char *body =
		g_strdup_printf("{\"model\":\"%s\",\"stream\":%s,\"max_tokens\":%d,\"messages\":[{"
				"\"role\":\"user\",\"content\":\"%s\"}]}",
				load->model, load->stream ? "true" : "false", load->tokens, id);
	char *authorization = g_strdup_printf("Authorization: Bearer %s", load->key);
	char *request_id = g_strdup_printf("X-Request-Id: %s", id);
	const char *headers[] = {"Content-Type: application/json", request_id, authorization, NULL};
	struct exchange exchange = {.id = id,
				    .text = g_string_new(NULL),
				    .pending = g_string_new(NULL),
				    .first_ms = -1};
	struct cw_http_call call = {
		.method = "POST",
		.address = load->addresses[(unsigned int)(number + attempt) %
					   g_strv_length(load->addresses)],
		.path = "/v1/chat/completions",
		.headers = headers,
		.body = body,
		.body_size = strlen(body),
		.connect_ms = 2000,
		.total_ms = TIMEOUT_MS,
		.forbids_retry = 0,
		.on_head = on_head,
		.on_data = on_data,
		.context = &exchange,
	};
	struct cw_http_answer answer;
	enum cw_status status;
	char code[64] = "";
	int may_retry = 0;

	exchange.start_us = g_get_monotonic_time();
	status = cw_http_perform(&call, &answer, NULL);
	sscanf(strstr(exchange.pending->str, "\"code\":\"")
		       ? strstr(exchange.pending->str, "\"code\":\"")
		       : "",
	       "\"code\":\"%63[a-z_]", code);
	pthread_mutex_lock(&load->mutex);
	if (status == CW_UNREACHABLE) {
		may_retry = attempt < load->retries;
		load->unreachable += !may_retry;
	} else if (exchange.status == 200 && status == CW_OK && is_whole(load, &exchange)) {
		load->whole++;
		g_array_append_val(load->first_ms, exchange.first_ms);
		g_array_append_val(load->total_ms, answer.total_ms);
	} else if (exchange.status >= 400 && *code &&
		   strstr(exchange.pending->str, "\"run\":\"not_run\"")) {
		may_retry = attempt < load->retries;
		g_array_append_val(load->rejected_ms, answer.total_ms);
		if (!may_retry) {
			load->rejected++;
			g_hash_table_insert(
				load->rejections_by_code, g_strdup(code),
				GINT_TO_POINTER(GPOINTER_TO_INT(g_hash_table_lookup(
							load->rejections_by_code, code)) +
						1));
		}
	} else if (exchange.status == 200 && *exchange.text->str &&
		   !g_str_has_prefix(exchange.text->str, id)) {
		load->foreign++;
	} else {
		fprintf(stderr,
			"%s: invalid answer: status %d (%s), %zu bytes of text, end marker %d, "
			"pending: %s\n",
			id, exchange.status, cw_status_name(status), exchange.text->len,
			exchange.is_ended, exchange.pending->str);
		load->cut++;
	}
	pthread_mutex_unlock(&load->mutex);
	cw_http_answer_clear(&answer);
	g_string_free(exchange.text, TRUE);
	g_string_free(exchange.pending, TRUE);
	g_free(request_id);
	g_free(authorization);
	g_free(body);
	g_free(id);
	return may_retry;
}

static int on_head(void *context, int status, const char *request_id, const char *content_type)
{
	struct exchange *exchange = context;

	exchange->status = status;
	return 0;
}

static int on_data(void *context, const char *data, size_t size)
{
	struct exchange *exchange = context;
	char *end;

	if (exchange->first_ms < 0)
		exchange->first_ms = (double)(g_get_monotonic_time() - exchange->start_us) / 1000;
	g_string_append_len(exchange->pending, data, (gssize)size);
	while (exchange->status == 200 && (end = strstr(exchange->pending->str, "\n\n"))) {
		*end = '\0';
		append_content(exchange, exchange->pending->str);
		g_string_erase(exchange->pending, 0, end + 2 - exchange->pending->str);
	}
	return 0;
}

static void append_content(struct exchange *exchange, const char *event)
{
	const char *content = strstr(event, "\"content\":\"");

	exchange->is_ended |= strstr(event, "[DONE]") != NULL;
	if (!content)
		return;
	content += strlen("\"content\":\"");
	g_string_append_len(exchange->text, content, (gssize)strcspn(content, "\""));
}

static int is_whole(const struct load *load, const struct exchange *exchange)
{
	GString *expected = g_string_new(NULL);
	int whole;

	for (int i = 1; i <= load->tokens; i++)
		g_string_append_printf(expected, "%s.%d ", exchange->id, i);
	if (load->stream)
		whole = exchange->is_ended && !strcmp(expected->str, exchange->text->str);
	else
		whole = strstr(exchange->pending->str, expected->str) != NULL;
	g_string_free(expected, TRUE);
	return whole;
}

static double percentile(GArray *values, double share)
{
	if (values->len == 0)
		return 0;
	return g_array_index(values, double, MIN((guint)(share * values->len), values->len - 1));
}

static gint compare_doubles(gconstpointer a, gconstpointer b)
{
	double left = *(const double *)a;
	double right = *(const double *)b;

	return left < right ? -1 : left > right;
}
