/*
 * Callers of streams that read slowly while their instance is stopped as planned. Arguments:
 * record, trouble (1 or 0), store, front address, ready address, process id of the instance.
 */
#include "../standins/lab.h"

#include <pthread.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#define CALLERS	       8
#define EVENTS	       150 /* of a stream; the sheet's largest has 208 */
#define EVENT_BYTES    300 /* the sheet's largest event has 330 */
#define EVENT_GAP_MS   25
#define READ_EVENTS    10 /* before the pause */
#define PAUSE_MS       4000
#define RECEIVE_BYTES  4096 /* a small window, as the users' links have */
#define STOP_AFTER_MS  500  /* after the streams began */
#define GRACE_MS       8000
#define END_LIMIT_MS   30000
#define READY_LIMIT_MS 15000

struct caller {
	int number;
	long events;
	int is_complete;
	int64_t ended_ms;
};

static const char *front;
static int is_trouble;
static struct caller callers[CALLERS];
static int callers_begun;
static int callers_ended;
static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;

static const char config[] =
	"{\"version\":1,\"routes\":[{\"name\":\"report\",\"host\":\"h\",\"path_prefix\":\"/report/"
	"\","
	"\"route_kind\":\"streaming\",\"timeout_ms\":25000,\"target_latency_ms\":3000,"
	"\"target_gap_ms\":1000,\"priority\":1,\"service\":\"llm\",\"max_attempts\":3,"
	"\"public\":false,\"sticky\":true,\"resumable\":true}],"
	"\"services\":[{\"name\":\"llm\",\"health_path\":\"/healthz\",\"max_conns\":360,"
	"\"engine\":{\"slots\":64,\"kv_capacity\":659125,\"stride\":5,"
	"\"models\":[{\"name\":\"m0\",\"cost\":0.02}]}}],"
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

static int send_stream(int fd, const char *id, long from, long events)
{
	char event[EVENT_BYTES + 64];
	char text[EVENT_BYTES + 256];
	int size;

	size = snprintf(text, sizeof(text),
			"HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nServer-Seal: seal.%s\r\n"
			"Server-Load: 1,0,64\r\nContent-Type: text/event-stream\r\n"
			"Transfer-Encoding: chunked\r\n\r\n",
			id, id);
	if (!lab_send(fd, text, (size_t)size))
		return 0;
	for (long at = from + 1; at <= events; at++) {
		size = snprintf(event, sizeof(event), "id: %ld\ndata: %0*ld\n\n", at, EVENT_BYTES,
				at);
		size = snprintf(text, sizeof(text), "%x\r\n%s\r\n", (unsigned int)size, event);
		if (!lab_send(fd, text, (size_t)size))
			return 0;
		lab_sleep_ms(EVENT_GAP_MS);
	}
	return lab_send(fd, "0\r\n\r\n", 5);
}

/* A sound runner; the number of events is in the request. */
static void run_requests(int fd)
{
	struct lab_reader *reader = malloc(sizeof(*reader));
	char head[LAB_HEAD_MAX];
	char id[64];
	int is_whole = 1;

	lab_reader_open(reader, fd);
	while (is_whole && lab_read_head(reader, head)) {
		lab_find_field(head, "Attempt-Id", id, sizeof(id));
		lab_read_body(reader, NULL, (size_t)lab_number_field(head, "Content-Length", 0));
		lab_record("runner begins %s", id);
		is_whole = send_stream(fd, id, lab_number_field(head, "Last-Event-Id", 0),
				       lab_number_field(head, "Events", 1));
		lab_record("runner ends %s: %s", id,
			   is_whole ? "whole" : "its connection was closed");
	}
	free(reader);
}

static int send_request(int fd, const char *id, int events)
{
	char text[512];
	int size = snprintf(
		text, sizeof(text),
		"POST /report/1 HTTP/1.1\r\nHost: h\r\nAttempt-Id: %s\r\nDeadline-Ms: 25000\r\n"
		"Authorization: Token k1\r\nModel: m0\r\nToken-Count: 100,700\r\n"
		"Prefix-Hash: aa:40,bb:60\r\nEvents: %d\r\nContent-Length: 2\r\n\r\nhi",
		id, events);

	return lab_send(fd, text, (size_t)size);
}

/* 1: the answer came whole. */
static int read_answer(struct lab_reader *reader, const char *id, int pauses, long *events)
{
	char head[LAB_HEAD_MAX];
	char line[64];
	int status;

	*events = 0;
	if (!lab_read_head(reader, head))
		return 0;
	status = lab_status(head);
	if (status != 200) {
		lab_record("caller got %d for %s", status, id);
		return 0;
	}
	while (lab_read_line(reader, line, sizeof(line))) {
		long size = strtol(line, NULL, 16);
		char *bytes = malloc((size_t)size + 1);

		if (!lab_read_body(reader, bytes, (size_t)size) ||
		    !lab_read_line(reader, line, sizeof(line))) {
			free(bytes);
			return 0;
		}
		bytes[size] = '\0';
		for (const char *at = bytes; (at = strstr(at, "id: ")); at++)
			++*events;
		free(bytes);
		if (size == 0)
			return 1;
		if (pauses && *events >= READ_EVENTS) {
			lab_record("caller of %s pauses after event %ld", id, *events);
			lab_sleep_ms(PAUSE_MS);
			lab_record("caller of %s reads on", id);
			pauses = 0;
		}
	}
	return 0;
}

/* A short stream first, so that the long one comes on a kept connection. */
static void *call(void *context)
{
	struct caller *caller = context;
	struct lab_reader *reader = malloc(sizeof(*reader));
	int fd = lab_connect(front, RECEIVE_BYTES);
	char id[32];
	long events;

	lab_reader_open(reader, fd);
	snprintf(id, sizeof(id), "short-%d", caller->number);
	if (fd < 0 || !send_request(fd, id, 1) || !read_answer(reader, id, 0, &events))
		lab_record("caller %d got no first answer", caller->number);
	snprintf(id, sizeof(id), "long-%d", caller->number);
	lab_record("caller sends %s", id);
	send_request(fd, id, EVENTS);
	count(&callers_begun, 1);
	caller->is_complete = read_answer(reader, id, is_trouble, &caller->events);
	caller->ended_ms = lab_now_ms();
	lab_record("caller of %s: %s after %ld of %d events", id,
		   caller->is_complete ? "whole answer" : "the connection ended early",
		   caller->events, EVENTS);
	close(fd);
	free(reader);
	count(&callers_ended, 1);
	return NULL;
}

static int wait_for(int *counter, int64_t limit_ms)
{
	int64_t until_ms = lab_now_ms() + limit_ms;

	while (count(counter, 0) < CALLERS && lab_now_ms() < until_ms)
		lab_sleep_ms(20);
	return count(counter, 0) == CALLERS;
}

int main(int argc, char **argv)
{
	char address[LAB_ADDRESS_MAX];
	char entry[512];
	int64_t stop_ms;
	int listener;
	int broken = 0;
	pid_t instance;

	if (argc != 7 || !lab_open_record(argv[1]))
		return 2;
	is_trouble = strcmp(argv[2], "0") != 0;
	front = argv[4];
	instance = (pid_t)strtol(argv[6], NULL, 10);
	listener = lab_listen("127.0.0.1", 0, address);
	if (listener < 0 || !lab_put(argv[3], "keyed.op", "config", config))
		return 2;
	lab_serve(listener, run_requests);
	snprintf(entry, sizeof(entry),
		 "{\"service\":\"llm\",\"address\":\"%s\",\"zone\":\"z1\",\"version\":\"v1\","
		 "\"slots\":64,\"state\":\"ready\",\"cold_left_ms\":0,\"seq\":1}",
		 address);
	if (!lab_put(argv[3], "keyed.servers", "r1", entry) ||
	    !lab_wait_ready(argv[5], READY_LIMIT_MS))
		return 2;
	lab_sleep_ms(4000); /* contact_ms, and slack */
	for (int i = 0; i < CALLERS; i++) {
		callers[i].number = i + 1;
		if (!lab_start_thread(call, &callers[i]))
			return 2;
	}
	if (!wait_for(&callers_begun, END_LIMIT_MS))
		return 2;
	lab_sleep_ms(STOP_AFTER_MS);
	stop_ms = lab_now_ms();
	lab_record("SIGTERM to the instance");
	kill(instance, SIGTERM);
	if (!wait_for(&callers_ended, END_LIMIT_MS))
		return 2;
	for (int i = 0; i < CALLERS; i++)
		if (!callers[i].is_complete && callers[i].ended_ms < stop_ms + GRACE_MS)
			broken++;
	lab_record("LOST: %d of %d requests that a runner had begun ended without a whole answer, "
		   "less than grace_s after the SIGTERM",
		   broken, CALLERS);
	return broken > 0;
}
