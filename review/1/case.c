/*
 * Answers that come twice, at an instance that reaches the runner through another instance only.
 * Arguments: record, trouble (1 or 0), store, front and ready address of the instance, the same of
 * the other instance.
 */
#include "../standins/lab.h"

#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#define CALLERS		      4
#define REQUESTS	      2000 /* of each caller */
#define PAUSE_MS	      3	   /* of a caller, after an answer */
#define WARM_CALLERS	      24 /* at the other instance, which so has connections to the runner */
#define RUNNERS		      2
#define TWICE_OF_100	      3	  /* answers of the first runner that come twice */
#define CONNECTIONS_MAX	      360 /* max_conns of the service */
#define CONNECTIONS_OF_OTHERS 354 /* of machines of the system that are not played */
#define END_LIMIT_MS	      60000
#define READY_LIMIT_MS	      15000

static const char *front;
static const char *other_front;
static int is_trouble;
static int is_warm; /* the other instance has its connections */
static int listeners[RUNNERS];
static int connections[RUNNERS];
static int answers; /* of the first runner */
static int callers_ended;
static int whole;
static int wrong;
static int refused;
static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;

static const char config[] =
	"{\"version\":1,\"routes\":[{\"name\":\"tag\",\"host\":\"h\",\"path_prefix\":\"/tag/\","
	"\"route_kind\":\"streaming\",\"timeout_ms\":5000,\"target_latency_ms\":1500,"
	"\"target_gap_ms\":1000,\"priority\":2,\"service\":\"llm\",\"max_attempts\":3,"
	"\"public\":false,\"sticky\":true,\"resumable\":true,\"sizes\":[\"m0\",\"m1\",\"m2\"]}],"
	"\"services\":[{\"name\":\"llm\",\"health_path\":\"/healthz\",\"max_conns\":360,"
	"\"engine\":{\"slots\":64,\"kv_capacity\":659125,\"stride\":5,"
	"\"models\":[{\"name\":\"m0\",\"cost\":0.02},{\"name\":\"m1\",\"cost\":0.16},"
	"{\"name\":\"m2\",\"cost\":0.32}]}}],"
	"\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,"
	"\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000},"
	"\"tenants\":[{\"name\":\"museo\",\"api_keys\":[\"k1\"],\"priority\":1}]}";

static int count(int *counter, int change)
{
	int value;

	pthread_mutex_lock(&lock);
	value = *counter += change;
	pthread_mutex_unlock(&lock);
	return value;
}

/* One event, in one write: a tag is a few tokens. */
static int send_answer(int fd, const char *id, const char *model, const char *what)
{
	char event[128];
	char text[512];
	int size =
		snprintf(event, sizeof(event), "id: 1\ndata: %s of %s by %s\n\n", what, id, model);

	size = snprintf(text, sizeof(text),
			"HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nServer-Seal: seal.%s.%s\r\n"
			"Server-Load: 1,0,64\r\nConfidence: %d\r\nKeep-Alive: timeout=15\r\n"
			"Content-Type: text/event-stream\r\nContent-Length: %d\r\n\r\n%s",
			id, id, model, strcmp(model, "m0") ? 90 : 5, size, event);
	return lab_send(fd, text, (size_t)size);
}

static void serve(int fd, int runner)
{
	struct lab_reader *reader = malloc(sizeof(*reader));
	char head[LAB_HEAD_MAX];
	char id[64];
	char model[32];
	char late_id[64] = "";
	char late_model[32] = "";

	/* At its limit the runner's host resets further connections. */
	if (CONNECTIONS_OF_OTHERS + count(&connections[runner], 1) == CONNECTIONS_MAX)
		lab_stop_listening(listeners[runner]);
	lab_reader_open(reader, fd);
	while (lab_read_head(reader, head)) {
		lab_find_field(head, "Attempt-Id", id, sizeof(id));
		lab_find_field(head, "Model", model, sizeof(model));
		lab_read_body(reader, NULL, (size_t)lab_number_field(head, "Content-Length", 0));
		lab_record("runner r%d runs %s with %s", runner + 1, id, model);
		if (*late_id) {
			lab_record("runner r%d sends a second answer of %s by %s, before that of "
				   "%s by %s",
				   runner + 1, late_id, late_model, id, model);
			if (!send_answer(fd, late_id, late_model, "second"))
				break;
			*late_id = '\0';
		}
		if (!send_answer(fd, id, model, "answer"))
			break;
		if (is_trouble && is_warm && runner == 0 &&
		    count(&answers, 1) % 100 < TWICE_OF_100) {
			memcpy(late_id, id, sizeof(late_id));
			memcpy(late_model, model, sizeof(late_model));
		}
	}
	count(&connections[runner], -1);
	free(reader);
}

static void serve_first(int fd)
{
	serve(fd, 0);
}

static void serve_second(int fd)
{
	serve(fd, 1);
}

static int read_answer(struct lab_reader *reader, char *text, size_t size)
{
	char head[LAB_HEAD_MAX];
	char line[64];
	size_t used = 0;

	text[0] = '\0';
	if (!lab_read_head(reader, head))
		return 0;
	if (lab_status(head) != 200) {
		lab_read_body(reader, NULL, (size_t)lab_number_field(head, "Content-Length", 0));
		return lab_status(head);
	}
	while (lab_read_line(reader, line, sizeof(line))) {
		long part = strtol(line, NULL, 16);

		if (part < 0 || used + (size_t)part >= size ||
		    !lab_read_body(reader, text + used, (size_t)part) ||
		    !lab_read_line(reader, line, sizeof(line)))
			return 0;
		used += (size_t)part;
		text[used] = '\0';
		if (part == 0)
			return 200;
	}
	return 0;
}

static int ask(int fd, struct lab_reader *reader, const char *id, char *text, size_t size)
{
	char request[512];
	int length = snprintf(
		request, sizeof(request),
		"POST /tag/1 HTTP/1.1\r\nHost: h\r\nAttempt-Id: %s\r\nDeadline-Ms: 5000\r\n"
		"Authorization: Token k1\r\nModel: *\r\nToken-Count: 1800,10\r\n"
		"Prefix-Hash: aa:340,%lx:1460\r\nContent-Length: 16\r\n\r\n%-16s",
		id, (unsigned long)strtol(id + 1, NULL, 10) + 4096, id);

	return lab_send(fd, request, (size_t)length) ? read_answer(reader, text, size) : 0;
}

/* Keeps the other instance's connections in use. */
static void *call_other(void *context)
{
	struct lab_reader *reader = malloc(sizeof(*reader));
	int fd = lab_connect(other_front, 0);
	long number = *(const long *)context;
	char text[1024];
	char id[32];

	lab_reader_open(reader, fd);
	for (int i = 0; fd >= 0 && count(&callers_ended, 0) < CALLERS; i++) {
		snprintf(id, sizeof(id), "w%ld%05d", number + 1, i);
		if (ask(fd, reader, id, text, sizeof(text)) == 0)
			break;
		lab_sleep_ms(is_warm ? 400 : 20);
	}
	free(reader);
	return NULL;
}

static void *call(void *context)
{
	struct lab_reader *reader = malloc(sizeof(*reader));
	int fd = lab_connect(front, 0);
	long number = *(const long *)context;
	char text[1024];
	char id[32];
	char expected[64];

	lab_reader_open(reader, fd);
	for (int i = 0; fd >= 0 && i < REQUESTS; i++) {
		int status;

		snprintf(id, sizeof(id), "c%ld%05d", number + 1, i);
		snprintf(expected, sizeof(expected), "data: answer of %s by ", id);
		status = ask(fd, reader, id, text, sizeof(text));
		if (status == 200 && strstr(text, expected) && !strstr(text, "second")) {
			count(&whole, 1);
		} else if (status == 200) {
			count(&wrong, 1);
			lab_record("caller of %s gets what belongs to no request: %.60s", id, text);
		} else {
			count(&refused, 1);
			lab_record("caller of %s: status %d", id, status);
		}
		if (status == 0) {
			close(fd);
			fd = lab_connect(front, 0);
			lab_reader_open(reader, fd);
		}
		lab_sleep_ms(PAUSE_MS);
	}
	free(reader);
	count(&callers_ended, 1);
	return NULL;
}

static int start_runners(const char *store)
{
	static void (*const handlers[RUNNERS])(int fd) = {serve_first, serve_second};

	for (int i = 0; i < RUNNERS; i++) {
		char address[LAB_ADDRESS_MAX];
		char entry[512];
		char name[16];

		listeners[i] = lab_listen("127.0.0.1", 0, address);
		snprintf(name, sizeof(name), "r%d", i + 1);
		snprintf(entry, sizeof(entry),
			 "{\"service\":\"llm\",\"address\":\"%s\",\"zone\":\"z1\",\"version\":"
			 "\"v1\","
			 "\"slots\":64,\"state\":\"ready\",\"cold_left_ms\":0,\"seq\":1}",
			 address);
		if (listeners[i] < 0)
			return 0;
		lab_serve(listeners[i], handlers[i]);
		if (!lab_put(store, "keyed.servers", name, entry))
			return 0;
	}
	return 1;
}

int main(int argc, char **argv)
{
	static long numbers[CALLERS + WARM_CALLERS];
	int64_t until_ms;

	if (argc != 8 || !lab_open_record(argv[1]))
		return 2;
	is_trouble = strcmp(argv[2], "0") != 0;
	front = argv[4];
	other_front = argv[6];
	if (!lab_put(argv[3], "keyed.op", "config", config) || !start_runners(argv[3]) ||
	    !lab_wait_ready(argv[5], READY_LIMIT_MS) || !lab_wait_ready(argv[7], READY_LIMIT_MS))
		return 2;
	lab_sleep_ms(4000); /* contact_ms, and slack */
	for (long i = 0; i < CALLERS + WARM_CALLERS; i++)
		numbers[i] = i;
	for (int i = 0; i < WARM_CALLERS; i++)
		if (!lab_start_thread(call_other, &numbers[CALLERS + i]))
			return 2;
	lab_sleep_ms(1500);
	lab_record("the runners have %d and %d connections beside %d of others and take no more",
		   count(&connections[0], 0), count(&connections[1], 0), CONNECTIONS_OF_OTHERS);
	is_warm = 1;
	for (int i = 0; i < CALLERS; i++)
		if (!lab_start_thread(call, &numbers[i]))
			return 2;
	until_ms = lab_now_ms() + END_LIMIT_MS;
	while (count(&callers_ended, 0) < CALLERS && lab_now_ms() < until_ms)
		lab_sleep_ms(20);
	lab_record("answered whole %d, refused or failed %d", count(&whole, 0), count(&refused, 0));
	lab_record("MIXED: %d callers got the second answer of an earlier run as theirs",
		   count(&wrong, 0));
	if (count(&callers_ended, 0) < CALLERS || count(&whole, 0) == 0)
		return 2;
	return wrong > 0;
}
