/*
 * Many callers ask for the same statement at once, and the runners of one zone crash. Arguments:
 * record, trouble (1 or 0), store, front address, ready address.
 */
#include "../standins/lab.h"

#include <pthread.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#define RUNNERS	       12 /* as the sheet: three in each of four zones */
#define CRASHING       3  /* those of the first zone: a quarter */
#define CALLERS	       100
#define SAME	       28 /* callers whose requests are about one thing */
#define EVENTS	       64 /* of a stream, as the sheet */
#define EVENT_GAP_MS   60
#define CRASH_AFTER_MS 2000 /* after the streams began */
#define RETRY_AFTER_MS 300
#define END_LIMIT_MS   40000
#define READY_LIMIT_MS 15000

struct caller {
	int number;
	long events;
	int status;
	int is_on_sound; /* a sound runner has its request */
	int is_complete;
	int second_status; /* of the request with which it came back */
};

static const char *front;
static struct caller callers[CALLERS];
static int callers_begun;
static int callers_ended;
static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;

static const char config[] =
	"{\"version\":1,\"routes\":[{\"name\":\"statement\",\"host\":\"h\",\"path_prefix\":\"/"
	"statement/\","
	"\"route_kind\":\"streaming\",\"timeout_ms\":25000,\"target_latency_ms\":3000,"
	"\"target_gap_ms\":1200,\"priority\":1,\"service\":\"msemaji\",\"max_attempts\":3,"
	"\"public\":false,\"sticky\":true,\"resumable\":true}],"
	"\"services\":[{\"name\":\"msemaji\",\"health_path\":\"/healthz\",\"max_conns\":370,"
	"\"engine\":{\"slots\":64,\"kv_capacity\":579853,\"stride\":6,"
	"\"models\":[{\"name\":\"m0\",\"cost\":0.02}]}}],"
	"\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,"
	"\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000},"
	"\"tenants\":[{\"name\":\"member\",\"api_keys\":[\"k1\"],\"priority\":1}]}";

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
	char text[512];

	snprintf(text, sizeof(text),
		 "HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nServer-Seal: seal.%s\r\n"
		 "Server-Load: 12,0,64\r\nContent-Type: text/event-stream\r\n"
		 "Transfer-Encoding: chunked\r\n\r\n",
		 id, id);
	if (!lab_send(fd, text, strlen(text)))
		return 0;
	for (long at = from + 1; at <= events; at++) {
		snprintf(text, sizeof(text), "%x\r\nid: %03ld\ndata: %050ld\n\n\r\n", 66U, at, at);
		if (!lab_send(fd, text, strlen(text)))
			return 0;
		lab_sleep_ms(EVENT_GAP_MS);
	}
	return lab_send(fd, "0\r\n\r\n", 5);
}

/* The number of the caller is the last part of the id. */
static void note_sound(const char *id)
{
	const char *number = strrchr(id, '-');
	long at = number && strncmp(id, "short", 5) != 0 ? strtol(number + 1, NULL, 10) : 0;

	if (at >= 1 && at <= CALLERS)
		callers[at - 1].is_on_sound = 1;
}

static void serve(int fd, const char *name, int is_sound)
{
	struct lab_reader *reader = malloc(sizeof(*reader));
	char head[LAB_HEAD_MAX];
	char id[64];
	int is_whole = 1;

	lab_reader_open(reader, fd);
	while (is_whole && lab_read_head(reader, head)) {
		long from = lab_number_field(head, "Last-Event-Id", 0);

		lab_find_field(head, "Attempt-Id", id, sizeof(id));
		lab_read_body(reader, NULL, (size_t)lab_number_field(head, "Content-Length", 0));
		if (is_sound)
			note_sound(id);
		lab_record("runner in %s begins %s after event %ld", name, id, from);
		is_whole = send_stream(fd, id, from, lab_number_field(head, "Events", 1));
		if (!is_whole)
			lab_record("runner in %s: the connection of %s was closed", name, id);
	}
	free(reader);
}

static void serve_crashing(int fd)
{
	serve(fd, "z1", 0);
}

static void serve_sound(int fd)
{
	serve(fd, "z2 to z4", 1);
}

static int read_answer(struct lab_reader *reader, struct caller *caller)
{
	char head[LAB_HEAD_MAX];
	char line[64];
	char bytes[512];

	caller->events = 0;
	if (!lab_read_head(reader, head))
		return 0;
	caller->status = lab_status(head);
	while (caller->status == 200 && lab_read_line(reader, line, sizeof(line))) {
		long size = strtol(line, NULL, 16);

		if (size < 0 || size >= (long)sizeof(bytes) ||
		    !lab_read_body(reader, bytes, (size_t)size) ||
		    !lab_read_line(reader, line, sizeof(line)))
			return 0;
		if (size == 0)
			return 1;
		caller->events++;
	}
	return 0;
}

/* The last part of the prompt is the caller's own; the body is that of the thing it asks about. */
static int send_request(int fd, const char *id, int number, int body, long after, int events)
{
	char text[512];
	char last[64] = "";
	int size;

	if (after > 0)
		snprintf(last, sizeof(last), "Last-Event-Id: %ld\r\n", after);
	size = snprintf(text, sizeof(text),
			"POST /statement/1 HTTP/1.1\r\nHost: h\r\nAttempt-Id: %s\r\n"
			"Deadline-Ms: 25000\r\nAuthorization: Token k1\r\nModel: m0\r\n"
			"Token-Count: 100,380\r\nPrefix-Hash: %x:40,%x:60\r\nEvents: %d\r\n%s"
			"Content-Length: 8\r\n\r\n%08d",
			id, (unsigned int)body, (unsigned int)number + 100000U, events, last, body);
	return lab_send(fd, text, (size_t)size);
}

/* Goes on with a broken stream, as a caller may once. */
static void come_back(struct caller *caller, struct lab_reader *reader, int body)
{
	struct caller second = {.number = caller->number};
	int fd = lab_connect(front, 0);
	char id[32];

	if (fd < 0)
		return;
	lab_reader_open(reader, fd);
	snprintf(id, sizeof(id), "back-%d", caller->number);
	if (send_request(fd, id, caller->number, body, caller->events, EVENTS))
		read_answer(reader, &second);
	caller->second_status = second.status;
	lab_record("caller of %s: status %d", id, second.status);
	close(fd);
}

/* A short stream first, so that the long one comes on a kept connection. */
static void *call(void *context)
{
	struct caller *caller = context;
	struct lab_reader *reader = malloc(sizeof(*reader));
	int body = caller->number <= SAME ? 1 : caller->number;
	int fd = lab_connect(front, 0);
	char id[32];

	lab_reader_open(reader, fd);
	snprintf(id, sizeof(id), "short-%d", caller->number);
	if (fd < 0 || !send_request(fd, id, caller->number, 1000 + caller->number, 0, 1) ||
	    !read_answer(reader, caller))
		lab_record("caller %d got no first answer", caller->number);
	snprintf(id, sizeof(id), "%s-%d", body == 1 ? "same" : "other", caller->number);
	send_request(fd, id, caller->number, body, 0, EVENTS);
	count(&callers_begun, 1);
	caller->is_complete = read_answer(reader, caller);
	lab_record("caller of %s: status %d, %ld of %d events, %s", id, caller->status,
		   caller->events, EVENTS,
		   caller->is_complete ? "whole answer" : "no whole answer");
	close(fd);
	if (!caller->is_complete) {
		lab_sleep_ms(RETRY_AFTER_MS);
		come_back(caller, reader, body);
	}
	free(reader);
	count(&callers_ended, 1);
	return NULL;
}

static int wait_for(int *counter)
{
	int64_t until_ms = lab_now_ms() + END_LIMIT_MS;

	while (count(counter, 0) < CALLERS && lab_now_ms() < until_ms)
		lab_sleep_ms(20);
	return count(counter, 0) == CALLERS;
}

/* The runners of the first zone are one process, so that they crash together. Returns its id. */
static pid_t start_runners(const char *store)
{
	int listeners[RUNNERS];
	pid_t first;

	for (int i = 0; i < RUNNERS; i++) {
		char address[LAB_ADDRESS_MAX];
		char entry[512];
		char name[16];

		listeners[i] = lab_listen("127.0.0.1", 0, address);
		snprintf(name, sizeof(name), "r%d", i + 1);
		snprintf(entry, sizeof(entry),
			 "{\"service\":\"msemaji\",\"address\":\"%s\",\"zone\":\"z%d\",\"version\":"
			 "\"v1\","
			 "\"slots\":64,\"state\":\"ready\",\"cold_left_ms\":0,\"seq\":1}",
			 address, 1 + i / CRASHING);
		if (listeners[i] < 0 || !lab_put(store, "keyed.servers", name, entry))
			return -1;
	}
	first = fork();
	for (int i = 0; i < RUNNERS; i++) {
		if (first == 0 && i < CRASHING)
			lab_serve(listeners[i], serve_crashing);
		else if (first > 0 && i >= CRASHING)
			lab_serve(listeners[i], serve_sound);
		else
			close(listeners[i]);
	}
	if (first == 0)
		for (;;)
			pause();
	return first;
}

static int run(pid_t first, const char *store, const char *ready, int is_trouble)
{
	int lost = 0;
	int refused = 0;

	if (!lab_put(store, "keyed.op", "config", config) || !lab_wait_ready(ready, READY_LIMIT_MS))
		return 2;
	lab_sleep_ms(4000); /* contact_ms, and slack */
	for (int i = 0; i < CALLERS; i++) {
		callers[i].number = i + 1;
		if (!lab_start_thread(call, &callers[i]))
			return 2;
	}
	if (!wait_for(&callers_begun))
		return 2;
	lab_sleep_ms(CRASH_AFTER_MS);
	if (is_trouble) {
		lab_record("the runners of z1 crash");
		kill(first, SIGKILL);
	}
	if (!wait_for(&callers_ended))
		return 2;
	for (int i = 0; i < CALLERS; i++) {
		lost += callers[i].is_on_sound && !callers[i].is_complete;
		refused += callers[i].second_status == 503;
	}
	lab_record("callers that came back and were refused: %d", refused);
	lab_record("LOST: %d requests from kept connections that a sound runner was answering, and "
		   "whose connection was closed without a whole answer (3 may)",
		   lost);
	return lost > 3;
}

int main(int argc, char **argv)
{
	pid_t first;
	int code;

	if (argc != 6 || !lab_open_record(argv[1]))
		return 2;
	front = argv[4];
	first = start_runners(argv[3]);
	code = first > 0 ? run(first, argv[3], argv[5], strcmp(argv[2], "0") != 0) : 2;
	if (first > 0)
		kill(first, SIGKILL);
	return code;
}
