/*
 * soak-callers: threads that send requests to the entry instances, keep their connections as long
 * as possible, and check each answer against the guarantees given to callers. Prints a line for
 * each request: ID KIND ENTRY STATUS RESULT AT_MS TOOK_MS, with RESULT one of
 *   ok        a complete answer
 *   refused   429 or 503
 *   failed    another error status
 *   broken    the connection was closed before the end of the answer
 *   silent    no complete answer within ANSWER_TIMEOUT_MS
 *   BAD:WHAT  a violated guarantee
 */
#include <argtable2.h>
#include <arpa/inet.h>
#include <glib.h>
#include <http_parser.h>
#include <poll.h>
#include <pthread.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define DEADLINE_MS	  4000
#define ANSWER_TIMEOUT_MS 5500 /* the deadline, and 1.5 s for an answer on a loaded machine */
#define EVENTS_MAX	  12
#define PAUSE_US	  20000 /* between two requests of a caller */

enum kind { KIND_STREAM, KIND_ORDER, KIND_READ, KIND_BAD_KEY };

static const char *const kind_names[] = {"stream", "order", "read", "badkey"};

struct answer {
	int is_complete;
	int is_signed;
	int keeps_connection;
	unsigned int status;
	int is_signature_field;
	GString *body;
};

struct caller {
	pthread_t thread;
	guint32 number;
	GRand *random;
	int fd;
	const char *entry;
};

static const char **entries;
static int entry_count;
static int port;
static gint64 end_us;
static pthread_mutex_t output = PTHREAD_MUTEX_INITIALIZER;

static int on_field(http_parser *parser, const char *data, size_t size)
{
	struct answer *answer = parser->data;

	answer->is_signature_field = size == 11 && !strncasecmp(data, "Server-Seal", size);
	answer->is_signed |= answer->is_signature_field;
	return 0;
}

static int on_body(http_parser *parser, const char *data, size_t size)
{
	struct answer *answer = parser->data;

	g_string_append_len(answer->body, data, (gssize)size);
	return 0;
}

static int on_complete(http_parser *parser)
{
	struct answer *answer = parser->data;

	answer->is_complete = 1;
	answer->status = parser->status_code;
	answer->keeps_connection = http_should_keep_alive(parser);
	http_parser_pause(parser, 1);
	return 0;
}

static const http_parser_settings settings = {
	.on_header_field = on_field, .on_body = on_body, .on_message_complete = on_complete};

static int open_connection(const char *host)
{
	struct sockaddr_in where = {.sin_family = AF_INET, .sin_port = htons((uint16_t)port)};
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	inet_pton(AF_INET, host, &where.sin_addr);
	if (connect(fd, (struct sockaddr *)&where, sizeof(where)) == 0)
		return fd;
	close(fd);
	return -1;
}

/* A complete stream has the events 1 to count, each once and in order, and nothing else. */
static int is_whole_stream(const char *body, int count)
{
	GString *expected = g_string_new(NULL);
	int is_whole;

	for (int i = 1; i <= count; i++)
		g_string_append_printf(expected, "id: %d\ndata: part %d\n\n", i, i);
	is_whole = !strcmp(body, expected->str);
	g_string_free(expected, TRUE);
	return is_whole;
}

static const char *classify_answer(const struct answer *answer, enum kind kind, int events)
{
	if (answer->status >= 200 && answer->status < 300) {
		if (kind == KIND_BAD_KEY)
			return "BAD:served_without_key";
		if (!answer->is_signed)
			return "BAD:success_without_seal";
		if (kind == KIND_STREAM)
			return is_whole_stream(answer->body->str, events) ? "ok" : "BAD:not_whole";
		return strcmp(answer->body->str, "whole") ? "BAD:not_whole" : "ok";
	}
	if (answer->status == 503 || answer->status == 429)
		return "refused";
	return "failed";
}

static const char *read_answer(struct caller *caller, struct answer *answer, gint64 until_us)
{
	http_parser parser;
	char bytes[8192];

	http_parser_init(&parser, HTTP_RESPONSE);
	parser.data = answer;
	while (!answer->is_complete) {
		struct pollfd waiting = {.fd = caller->fd, .events = POLLIN};
		gint64 left_ms = (until_us - g_get_monotonic_time()) / 1000;
		ssize_t size;

		if (left_ms <= 0 || poll(&waiting, 1, (int)left_ms) == 0)
			return "silent";
		size = recv(caller->fd, bytes, sizeof(bytes), 0);
		if (size <= 0)
			return "broken";
		http_parser_execute(&parser, &settings, bytes, (size_t)size);
		if (!answer->is_complete && HTTP_PARSER_ERRNO(&parser) != HPE_OK)
			return "BAD:no_answer";
	}
	return NULL;
}

static void send_request(struct caller *caller, unsigned int number)
{
	enum kind kind = (enum kind)g_rand_int_range(caller->random, 0, 4);
	int events = g_rand_int_range(caller->random, 1, EVENTS_MAX);
	struct answer answer = {.body = g_string_new(NULL)};
	gint64 began_us = g_get_monotonic_time();
	const char *result;
	char request[512];
	char id[32];

	snprintf(id, sizeof(id), "%c%u-%u", kind_names[kind][0], caller->number, number);
	snprintf(request, sizeof(request),
		 "%s /%s/%d HTTP/1.1\r\nHost: h\r\nAttempt-Id: %s\r\nDeadline-Ms: %d\r\n"
		 "Authorization: Token %s\r\n%s%s\r\n",
		 kind == KIND_READ ? "GET" : "POST",
		 kind == KIND_STREAM  ? "chat"
		 : kind == KIND_ORDER ? "order"
				      : "read",
		 events, id, DEADLINE_MS, kind == KIND_BAD_KEY ? "stolen" : "k1",
		 kind == KIND_STREAM ? "Accept: text/event-stream\r\nModel: *\r\n"
				       "Token-Count: 100,50\r\nPrefix-Hash: aa:40,bb:60\r\n"
				     : "",
		 kind == KIND_READ ? "" : "Content-Length: 0\r\n");
	if (send(caller->fd, request, strlen(request), MSG_NOSIGNAL) != (ssize_t)strlen(request))
		result = "broken";
	else
		result = read_answer(caller, &answer, began_us + ANSWER_TIMEOUT_MS * 1000);
	if (!result)
		result = classify_answer(&answer, kind, events);
	pthread_mutex_lock(&output);
	printf("%s %s %s %u %s %" G_GINT64_FORMAT " %" G_GINT64_FORMAT "\n", id, kind_names[kind],
	       caller->entry, answer.status, result, began_us / 1000,
	       (g_get_monotonic_time() - began_us) / 1000);
	fflush(stdout);
	pthread_mutex_unlock(&output);
	if (!answer.is_complete || !answer.keeps_connection) {
		close(caller->fd);
		caller->fd = -1;
	}
	g_string_free(answer.body, TRUE);
}

static void *run(void *context)
{
	struct caller *caller = context;

	for (unsigned int number = 0; g_get_monotonic_time() < end_us; number++) {
		if (caller->fd < 0) {
			caller->entry = entries[g_rand_int_range(caller->random, 0, entry_count)];
			caller->fd = open_connection(caller->entry);
		}
		if (caller->fd >= 0)
			send_request(caller, number);
		g_usleep(PAUSE_US);
	}
	if (caller->fd >= 0)
		close(caller->fd);
	return NULL;
}

int main(int argc, char **argv)
{
	struct arg_str *hosts =
		arg_strn(NULL, "entry", "IP", 1, 64, "address of an entry instance");
	struct arg_int *to = arg_int1(NULL, "port", "N", "port of all entry instances");
	struct arg_int *seed = arg_int1(NULL, "seed", "N", "seed of the callers' random choices");
	struct arg_int *seconds = arg_int1(NULL, "seconds", "N", "seconds to send requests for");
	struct arg_int *count = arg_int1(NULL, "callers", "N", "number of concurrent callers");
	struct arg_int *first = arg_int0(NULL, "first", "N", "number of the first caller, in ids");
	struct arg_end *end = arg_end(4);
	void *table[] = {hosts, to, seed, seconds, count, first, end};
	struct caller *callers;

	first->ival[0] = 0;
	if (arg_parse(argc, argv, table)) {
		arg_print_errors(stderr, end, "soak-callers");
		return 2;
	}
	signal(SIGPIPE, SIG_IGN);
	entries = hosts->sval;
	entry_count = hosts->count;
	port = to->ival[0];
	end_us = g_get_monotonic_time() + (gint64)seconds->ival[0] * G_USEC_PER_SEC;
	callers = g_new0(struct caller, count->ival[0]);
	for (int i = 0; i < count->ival[0]; i++) {
		callers[i].number = (guint32)(first->ival[0] + i);
		callers[i].fd = -1;
		callers[i].random = g_rand_new_with_seed((guint32)(seed->ival[0] * 1000 + i));
		pthread_create(&callers[i].thread, NULL, run, &callers[i]);
	}
	for (int i = 0; i < count->ival[0]; i++) {
		pthread_join(callers[i].thread, NULL);
		g_rand_free(callers[i].random);
	}
	g_free(callers);
	return 0;
}
