/*
 * runner: a simulated backend server; each connection has a thread. Arguments, each NAME=VALUE:
 *
 *   listen=IP:PORT name=NAME record=FILE
 *   body=BYTES work_ms=MS              the answer to a plain request; below /read/: 800 bytes
 *   events=N event_bytes=BYTES gap_ms=MS pause_at=EVENT pause_ms=MS
 *                                      the stream that answers a request below /chat/; before the
 *                                      event pause_at the request is preempted for pause_ms
 *   confidence=0..100                  of a stream
 *
 * Appends to the record file: "run NAME ID model=M from=EVENT" when a run begins, "ended NAME ID"
 * when it has sent its whole answer, "dropped NAME ID" if the connection closed before.
 */
#include "args.h"

#include <netinet/tcp.h>
#include <pthread.h>
#include <signal.h>
#include <stdio.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

#define HEAD_MAX    65536
#define SHORT_BYTES 800

static char **options;
static const char *name;
static long body_bytes;
static char *body;

static void append_record(const char *text)
{
	FILE *file = fopen(arg_text(options, "record", "/dev/null"), "a");
	struct timespec now;

	if (!file)
		return;
	clock_gettime(CLOCK_REALTIME, &now);
	fprintf(file, "%ld %s\n", now.tv_sec * 1000 + now.tv_nsec / 1000000, text);
	fclose(file);
}

static void record_event(const char *what, const char *id)
{
	char text[256];

	snprintf(text, sizeof(text), "%s %s %s", what, name, id);
	append_record(text);
}

static int write_all(int fd, const char *bytes, size_t size)
{
	while (size > 0) {
		ssize_t written = write(fd, bytes, size);

		if (written <= 0)
			return 0;
		bytes += written;
		size -= (size_t)written;
	}
	return 1;
}

/* Waits as long as the connection stays open; 0: it was closed. */
static int work(int fd, long ms)
{
	for (; ms > 0; ms -= 10) {
		char byte;

		usleep(10000);
		if (recv(fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT) == 0)
			return 0;
	}
	return 1;
}

/* Reads one request with its body; 0: the connection ended. */
static int read_request(int fd, char *head)
{
	size_t held = 0;
	char *end = NULL;
	char length[32];
	size_t left;

	while (!end) {
		ssize_t got = read(fd, head + held, HEAD_MAX - 1 - held);

		if (got <= 0)
			return 0;
		held += (size_t)got;
		head[held] = '\0';
		end = strstr(head, "\r\n\r\n");
	}
	find_field(head, "Content-Length", length, sizeof(length));
	left = strtoul(length, NULL, 10);
	held -= (size_t)(end + 4 - head);
	left -= held < left ? held : left;
	end[2] = '\0';
	while (left > 0) {
		char bytes[4096];
		ssize_t got = read(fd, bytes, left < sizeof(bytes) ? left : sizeof(bytes));

		if (got <= 0)
			return 0;
		left -= (size_t)got;
	}
	return 1;
}

static int send_event(int fd, long id)
{
	char event[4096];
	char chunk[4200];
	long bytes = arg_number(options, "event_bytes", 55);
	int size = snprintf(event, sizeof(event), "id: %ld\ndata: ", id);

	for (; size < bytes - 2 && size < (int)sizeof(event) - 3; size++)
		event[size] = (char)('a' + size % 26);
	event[size++] = '\n';
	event[size++] = '\n';
	event[size] = '\0';
	size = snprintf(chunk, sizeof(chunk), "%x\r\n%s\r\n", size, event);
	return write_all(fd, chunk, (size_t)size);
}

static int stream(int fd, const char *id, long last_event)
{
	char text[512];
	long events = arg_number(options, "events", 76);
	long pause_at = arg_number(options, "pause_at", -1);

	snprintf(text, sizeof(text),
		 "HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nServer-Seal: 3e1b.07\r\nServer-Load: "
		 "1,0,64\r\nConfidence: %ld\r\nWeight-Versions: 1\r\nContent-Type: "
		 "text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n",
		 id, arg_number(options, "confidence", 90));
	if (!write_all(fd, text, strlen(text)))
		return 0;
	for (long event = last_event + 1; event <= events; event++) {
		if (event == pause_at) {
			record_event("preempted", id);
			if (!work(fd, arg_number(options, "pause_ms", 0)))
				return 0;
			record_event("goes on", id);
		}
		if (!work(fd, arg_number(options, "gap_ms", 0)) || !send_event(fd, event))
			return 0;
	}
	return write_all(fd, "0\r\n\r\n", 5);
}

static int answer(int fd, const char *head)
{
	char id[128];
	char expected[128];
	char model[64];
	char last_event[32];
	char text[512];
	int is_whole;

	find_field(head, "Attempt-Id", id, sizeof(id));
	find_field(head, "Expect-Instance", expected, sizeof(expected));
	find_field(head, "Model", model, sizeof(model));
	find_field(head, "Last-Event-Id", last_event, sizeof(last_event));
	if (!strncmp(head, "GET /healthz", 12) || !strncmp(head, "GET /v1/report", 14)) {
		snprintf(text, sizeof(text),
			 "HTTP/1.1 200 OK\r\nInstance-Id: %s\r\nServer-Load: 0,0,64\r\n"
			 "Content-Length: 2\r\n\r\n{}",
			 name);
		return write_all(fd, text, strlen(text));
	}
	if (*expected && strcmp(expected, name) != 0) {
		snprintf(text, sizeof(text),
			 "HTTP/1.1 421 Misdirected Request\r\nAttempt-Id: %s\r\n"
			 "Not-Executed: 1\r\nContent-Length: 0\r\n\r\n",
			 id);
		return write_all(fd, text, strlen(text));
	}
	snprintf(text, sizeof(text), "run %s %s model=%s from=%s", name, id, *model ? model : "-",
		 *last_event ? last_event : "0");
	append_record(text);
	if (strstr(head, " /chat/")) {
		is_whole = work(fd, arg_number(options, "work_ms", 60)) &&
			   stream(fd, id, strtol(last_event, NULL, 10));
	} else {
		long bytes = strstr(head, " /read/") ? SHORT_BYTES : body_bytes;

		snprintf(text, sizeof(text),
			 "HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nServer-Seal: 3e1b.07\r\n"
			 "Server-Load: 1,0,64\r\nContent-Length: %ld\r\n\r\n",
			 id, bytes);
		is_whole = work(fd, arg_number(options, "work_ms", 60)) &&
			   write_all(fd, text, strlen(text)) && write_all(fd, body, (size_t)bytes);
	}
	record_event(is_whole ? "ended" : "dropped", id);
	return is_whole;
}

static void *serve(void *context)
{
	int fd = (int)(long)context;
	char *head = malloc(HEAD_MAX);

	while (read_request(fd, head) && answer(fd, head))
		;
	free(head);
	close(fd);
	return NULL;
}

int main(int argc, char **argv)
{
	struct sockaddr_in address;
	int on = 1;
	int fd;

	options = argv + 1;
	name = arg_text(options, "name", "-");
	body_bytes = arg_number(options, "body", 800);
	body = malloc((size_t)body_bytes + SHORT_BYTES);
	for (long i = 0; i < body_bytes + SHORT_BYTES; i++)
		body[i] = (char)('a' + i % 26);
	signal(SIGPIPE, SIG_IGN);
	fd = socket(AF_INET, SOCK_STREAM, 0);
	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
	if (!arg_address(options, "listen", &address) ||
	    bind(fd, (struct sockaddr *)&address, sizeof(address)) || listen(fd, 128))
		return 2;
	printf("listening\n");
	fflush(stdout);
	for (;;) {
		pthread_t thread;
		int connection = accept(fd, NULL, NULL);

		if (connection < 0)
			continue;
		setsockopt(connection, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
		if (pthread_create(&thread, NULL, serve, (void *)(long)connection))
			close(connection);
		else
			pthread_detach(thread);
	}
}
