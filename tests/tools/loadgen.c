/*
 * loadgen: a bounded load of chat requests, each answer checked for being whole and the caller's
 * own. Prints one line of counts and times. With --direct it calls a backend server itself.
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

#define TOTAL_MS 120000

struct load {
	char **addresses;
	const char *key;
	const char *model;
	const char *name;
	int stream, tokens, requests, concurrency, direct, retries;
	int64_t until_us; /* 0: by count */
	int next;
	pthread_mutex_t mutex;
	GArray *first_ms;
	GArray *total_ms;
	GArray *refused_ms;
	GHashTable *refusals;
	int whole, cut, foreign, refused, unreachable;
};

struct one {
	const char *id;
	GString *text;
	GString *pending;
	int ended;
	int status;
	int error_event;
	double first_ms;
	int64_t start_us;
};

static void *worker(void *data);
static void one_request(struct load *load, int number);
static int attempt(struct load *load, int number, int try);
static int on_head(void *context, int status, const char *request_id, const char *content_type);
static int on_data(void *context, const char *data, size_t size);
static int is_whole(const struct load *load, const struct one *one);
static void take_content(struct one *one, const char *line);
static double percentile(GArray *values, double share);
static gint compare(gconstpointer a, gconstpointer b);

int main(int argc, char **argv)
{
	struct arg_str *to = arg_str1(NULL, "to", "IP:PORT,...", "instances, used in turns");
	struct arg_str *key = arg_str0(NULL, "key", "KEY", "the organisation's key");
	struct arg_str *model = arg_str0(NULL, "model", "MODEL", "or auto");
	struct arg_str *name = arg_str0(NULL, "name", "NAME", "request ids begin so");
	struct arg_int *requests = arg_int0(NULL, "requests", "N", "how many (100)");
	struct arg_int *seconds = arg_int0(NULL, "seconds", "N", "stop after that long");
	struct arg_int *concurrency = arg_int0(NULL, "concurrency", "N", "at a time (1)");
	struct arg_int *tokens = arg_int0(NULL, "tokens", "N", "of each answer (8)");
	struct arg_int *retries =
		arg_int0(NULL, "retries", "N", "after a refusal that says not_run (0)");
	struct arg_lit *stream = arg_lit0(NULL, "stream", "streamed answers");
	struct arg_lit *direct = arg_lit0(NULL, "direct", "call a backend server itself");
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
	load.until_us =
		seconds->ival[0] ? g_get_monotonic_time() + seconds->ival[0] * G_USEC_PER_SEC : 0;
	load.first_ms = g_array_new(FALSE, FALSE, sizeof(double));
	load.total_ms = g_array_new(FALSE, FALSE, sizeof(double));
	load.refused_ms = g_array_new(FALSE, FALSE, sizeof(double));
	load.refusals = g_hash_table_new(g_str_hash, g_str_equal);
	threads = g_new(pthread_t, (gsize)load.concurrency);
	for (int i = 0; i < load.concurrency; i++)
		pthread_create(&threads[i], NULL, worker, &load);
	for (int i = 0; i < load.concurrency; i++)
		pthread_join(threads[i], NULL);
	g_free(threads);
	g_array_sort(load.first_ms, compare);
	g_array_sort(load.total_ms, compare);
	g_array_sort(load.refused_ms, compare);
	printf("requests=%d whole=%d cut=%d foreign=%d refused=%d unreachable=%d", load.next,
	       load.whole, load.cut, load.foreign, load.refused, load.unreachable);
	g_hash_table_iter_init(&iter, load.refusals);
	while (g_hash_table_iter_next(&iter, &code, &count))
		printf(" %s=%d", (char *)code, GPOINTER_TO_INT(count));
	printf(" first_ms_50=%.3f first_ms_95=%.3f first_ms_99=%.3f total_ms_50=%.3f "
	       "total_ms_99=%.3f refused_ms_99=%.3f\n",
	       percentile(load.first_ms, 0.5), percentile(load.first_ms, 0.95),
	       percentile(load.first_ms, 0.99), percentile(load.total_ms, 0.5),
	       percentile(load.total_ms, 0.99), percentile(load.refused_ms, 0.99));
	cw_http_close();
	return load.cut + load.foreign > 0;
}

static void *worker(void *data)
{
	struct load *load = data;

	for (;;) {
		int number;

		pthread_mutex_lock(&load->mutex);
		number = load->next < load->requests && (!load->until_us ||
							 g_get_monotonic_time() < load->until_us)
				 ? load->next++
				 : -1;
		pthread_mutex_unlock(&load->mutex);
		if (number < 0)
			return NULL;
		one_request(load, number);
	}
}

static void one_request(struct load *load, int number)
{
	for (int try = 0; attempt(load, number, try) && try < load->retries; try++)
		g_usleep(100000);
}

/* Returns 1 when the caller may come again: it was refused, "not run", or never connected. */
static int attempt(struct load *load, int number, int try)
{
	char *id = g_strdup_printf("%s-%d", load->name, number);
	char *body =
		g_strdup_printf("{\"model\":\"%s\",\"stream\":%s,\"max_tokens\":%d,\"messages\":[{"
				"\"role\":\"user\",\"content\":\"%s\"}]}",
				load->model, load->stream ? "true" : "false", load->tokens, id);
	char *authorization = g_strdup_printf("Authorization: Bearer %s", load->key);
	char *request_id = g_strdup_printf("X-Request-Id: %s", id);
	const char *headers[] = {"Content-Type: application/json", request_id, authorization, NULL};
	struct one one = {.id = id,
			  .text = g_string_new(NULL),
			  .pending = g_string_new(NULL),
			  .first_ms = -1};
	struct cw_http_call call = {
		.method = "POST",
		.address = load->addresses[(unsigned int)(number + try) %
					   g_strv_length(load->addresses)],
		.path = "/v1/chat/completions",
		.headers = headers,
		.body = body,
		.body_size = strlen(body),
		.connect_ms = 2000,
		.total_ms = TOTAL_MS,
		.forbids_retry = 0,
		.on_head = on_head,
		.on_data = on_data,
		.context = &one,
	};
	struct cw_http_answer answer;
	enum cw_status status;
	char code[64] = "";
	int again = 0;

	one.start_us = g_get_monotonic_time();
	status = cw_http_perform(&call, &answer, NULL);
	sscanf(strstr(one.pending->str, "\"code\":\"") ? strstr(one.pending->str, "\"code\":\"")
						       : "",
	       "\"code\":\"%63[a-z_]", code);
	pthread_mutex_lock(&load->mutex);
	if (status == CW_UNREACHABLE) {
		again = try < load->retries;
		load->unreachable += !again;
	} else if (one.status == 200 && status == CW_OK && is_whole(load, &one)) {
		load->whole++;
		g_array_append_val(load->first_ms, one.first_ms);
		g_array_append_val(load->total_ms, answer.total_ms);
	} else if (one.status >= 400 && *code && strstr(one.pending->str, "\"run\":\"not_run\"")) {
		again = try < load->retries;
		g_array_append_val(load->refused_ms, answer.total_ms);
		if (!again) {
			load->refused++;
			g_hash_table_insert(load->refusals, g_strdup(code),
					    GINT_TO_POINTER(GPOINTER_TO_INT(g_hash_table_lookup(
								    load->refusals, code)) +
							    1));
		}
	} else if (one.status == 200 && *one.text->str && !g_str_has_prefix(one.text->str, id)) {
		load->foreign++;
	} else {
		fprintf(stderr, "%s: status %d (%s), %zu bytes of text, ended %d, %s\n", id,
			one.status, cw_status_name(status), one.text->len, one.ended,
			one.pending->str);
		load->cut++;
	}
	pthread_mutex_unlock(&load->mutex);
	cw_http_answer_clear(&answer);
	g_string_free(one.text, TRUE);
	g_string_free(one.pending, TRUE);
	g_free(request_id);
	g_free(authorization);
	g_free(body);
	g_free(id);
	return again;
}

static int on_head(void *context, int status, const char *request_id, const char *content_type)
{
	struct one *one = context;

	one->status = status;
	return 0;
}

static int on_data(void *context, const char *data, size_t size)
{
	struct one *one = context;
	char *end;

	if (one->first_ms < 0)
		one->first_ms = (double)(g_get_monotonic_time() - one->start_us) / 1000;
	g_string_append_len(one->pending, data, (gssize)size);
	while (one->status == 200 && (end = strstr(one->pending->str, "\n\n"))) {
		*end = '\0';
		take_content(one, one->pending->str);
		g_string_erase(one->pending, 0, end + 2 - one->pending->str);
	}
	return 0;
}

static void take_content(struct one *one, const char *event)
{
	const char *content = strstr(event, "\"content\":\"");

	one->ended |= strstr(event, "[DONE]") != NULL;
	if (!content)
		return;
	content += strlen("\"content\":\"");
	g_string_append_len(one->text, content, (gssize)strcspn(content, "\""));
}

static int is_whole(const struct load *load, const struct one *one)
{
	GString *expected = g_string_new(NULL);
	int whole;

	for (int i = 1; i <= load->tokens; i++)
		g_string_append_printf(expected, "%s.%d ", one->id, i);
	if (load->stream)
		whole = one->ended && !strcmp(expected->str, one->text->str);
	else
		whole = strstr(one->pending->str, expected->str) != NULL;
	g_string_free(expected, TRUE);
	return whole;
}

static double percentile(GArray *values, double share)
{
	if (values->len == 0)
		return 0;
	return g_array_index(values, double, MIN((guint)(share * values->len), values->len - 1));
}

static gint compare(gconstpointer a, gconstpointer b)
{
	double left = *(const double *)a;
	double right = *(const double *)b;

	return left < right ? -1 : left > right;
}
