#include "lab.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <pthread.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

struct served {
	int fd;
	void (*handle)(int fd);
};

struct service {
	int listener;
	void (*handle)(int fd);
};

static FILE *record;
static int64_t began_ms;
static pthread_mutex_t record_lock = PTHREAD_MUTEX_INITIALIZER;

static int64_t clock_ms(void)
{
	struct timespec now;

	clock_gettime(CLOCK_MONOTONIC, &now);
	return (int64_t)now.tv_sec * 1000 + now.tv_nsec / 1000000;
}

int64_t lab_now_ms(void)
{
	return clock_ms() - began_ms;
}

int lab_open_record(const char *file)
{
	began_ms = clock_ms();
	record = fopen(file, "a");
	return record != NULL;
}

void lab_record(const char *format, ...)
{
	va_list arguments;

	pthread_mutex_lock(&record_lock);
	fprintf(record, "%6ld ", (long)lab_now_ms());
	va_start(arguments, format);
	vfprintf(record, format, arguments);
	va_end(arguments);
	fputc('\n', record);
	fflush(record);
	pthread_mutex_unlock(&record_lock);
}

static int parse_address(const char *text, struct sockaddr_in *address)
{
	char ip[LAB_ADDRESS_MAX];
	const char *colon = strrchr(text, ':');

	memset(address, 0, sizeof(*address));
	if (!colon || (size_t)(colon - text) >= sizeof(ip))
		return 0;
	memcpy(ip, text, (size_t)(colon - text));
	ip[colon - text] = '\0';
	address->sin_family = AF_INET;
	address->sin_port = htons((uint16_t)strtol(colon + 1, NULL, 10));
	return inet_pton(AF_INET, ip, &address->sin_addr) == 1;
}

int lab_listen(const char *ip, int receive_bytes, char *address)
{
	struct sockaddr_in own;
	socklen_t size = sizeof(own);
	int fd = socket(AF_INET, SOCK_STREAM, 0);
	char text[LAB_ADDRESS_MAX];

	snprintf(text, sizeof(text), "%s:0", ip);
	if (receive_bytes)
		setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &receive_bytes, sizeof(receive_bytes));
	if (!parse_address(text, &own) || bind(fd, (struct sockaddr *)&own, sizeof(own)) ||
	    listen(fd, 256) || getsockname(fd, (struct sockaddr *)&own, &size)) {
		close(fd);
		return -1;
	}
	snprintf(address, LAB_ADDRESS_MAX, "%s:%d", ip, ntohs(own.sin_port));
	return fd;
}

void lab_stop_listening(int listener)
{
	shutdown(listener, SHUT_RDWR);
	close(listener);
}

int lab_connect(const char *address, int receive_bytes)
{
	struct sockaddr_in peer;
	int fd = socket(AF_INET, SOCK_STREAM, 0);
	int on = 1;

	if (receive_bytes)
		setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &receive_bytes, sizeof(receive_bytes));
	if (!parse_address(address, &peer) || connect(fd, (struct sockaddr *)&peer, sizeof(peer))) {
		close(fd);
		return -1;
	}
	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
	return fd;
}

int lab_send(int fd, const void *bytes, size_t size)
{
	const char *at = bytes;

	while (size > 0) {
		ssize_t sent = send(fd, at, size, MSG_NOSIGNAL);

		if (sent <= 0)
			return 0;
		at += sent;
		size -= (size_t)sent;
	}
	return 1;
}

void lab_shut(int fd)
{
	struct linger now = {.l_onoff = 1, .l_linger = 0};

	setsockopt(fd, SOL_SOCKET, SO_LINGER, &now, sizeof(now));
	shutdown(fd, SHUT_RD);
}

int lab_start_thread(void *(*run)(void *), void *context)
{
	pthread_t thread;

	if (pthread_create(&thread, NULL, run, context))
		return 0;
	pthread_detach(thread);
	return 1;
}

static void *serve_connection(void *context)
{
	struct served served = *(struct served *)context;

	free(context);
	served.handle(served.fd);
	close(served.fd);
	return NULL;
}

static void *accept_connections(void *context)
{
	struct service service = *(struct service *)context;
	int on = 1;

	free(context);
	for (;;) {
		struct served *served = calloc(1, sizeof(*served));

		served->handle = service.handle;
		served->fd = accept(service.listener, NULL, NULL);
		setsockopt(served->fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
		if (served->fd < 0 || !lab_start_thread(serve_connection, served))
			return NULL;
	}
}

void lab_serve(int listener, void (*handle)(int fd))
{
	struct service *service = calloc(1, sizeof(*service));

	service->listener = listener;
	service->handle = handle;
	lab_start_thread(accept_connections, service);
}

void lab_reader_open(struct lab_reader *reader, int fd)
{
	reader->fd = fd;
	reader->start = reader->end = 0;
}

static int fill(struct lab_reader *reader)
{
	ssize_t size;

	if (reader->start < reader->end)
		return 1;
	size = recv(reader->fd, reader->bytes, sizeof(reader->bytes), 0);
	if (size <= 0)
		return 0;
	reader->start = 0;
	reader->end = (size_t)size;
	return 1;
}

int lab_read_head(struct lab_reader *reader, char *head)
{
	size_t used = 0;

	while (used + 1 < LAB_HEAD_MAX && fill(reader)) {
		head[used++] = reader->bytes[reader->start++];
		head[used] = '\0';
		if (used >= 4 && !memcmp(head + used - 4, "\r\n\r\n", 4))
			return 1;
	}
	return 0;
}

int lab_read_line(struct lab_reader *reader, char *line, size_t size)
{
	size_t used = 0;

	while (used + 1 < size && fill(reader)) {
		char c = reader->bytes[reader->start++];

		if (c == '\n') {
			line[used] = '\0';
			return 1;
		}
		if (c != '\r')
			line[used++] = c;
	}
	return 0;
}

int lab_read_body(struct lab_reader *reader, char *bytes, size_t size)
{
	while (size > 0) {
		size_t part;

		if (!fill(reader))
			return 0;
		part = reader->end - reader->start;
		if (part > size)
			part = size;
		if (bytes) {
			memcpy(bytes, reader->bytes + reader->start, part);
			bytes += part;
		}
		reader->start += part;
		size -= part;
	}
	return 1;
}

int lab_find_field(const char *head, const char *name, char *value, size_t size)
{
	const char *line = strstr(head, "\r\n");
	size_t length = strlen(name);

	for (; line && line[2] != '\r'; line = strstr(line + 2, "\r\n")) {
		size_t used;

		if (strncasecmp(line + 2, name, length) != 0 || line[2 + length] != ':')
			continue;
		line += 2 + length + 1;
		line += strspn(line, " ");
		used = strcspn(line, "\r");
		if (used >= size)
			used = size - 1;
		memcpy(value, line, used);
		value[used] = '\0';
		return 1;
	}
	value[0] = '\0';
	return 0;
}

long lab_number_field(const char *head, const char *name, long absent)
{
	char value[64];

	return lab_find_field(head, name, value, sizeof(value)) ? strtol(value, NULL, 10) : absent;
}

int lab_status(const char *head)
{
	return strlen(head) > 9 ? (int)strtol(head + 9, NULL, 10) : 0;
}

static int call(const char *address, const char *request)
{
	static __thread struct lab_reader reader;
	char head[LAB_HEAD_MAX];
	int fd = lab_connect(address, 0);
	int status = 0;

	if (fd < 0)
		return 0;
	lab_reader_open(&reader, fd);
	if (lab_send(fd, request, strlen(request)) && lab_read_head(&reader, head))
		status = lab_status(head);
	close(fd);
	return status;
}

int lab_put(const char *store, const char *topic, const char *key, const char *value)
{
	size_t size = strlen(value) + 512;
	char *request = malloc(size);
	int status;

	snprintf(request, size,
		 "POST /admin/put?topic=%s&key=%s HTTP/1.1\r\nHost: store\r\n"
		 "Content-Length: %zu\r\n\r\n%s",
		 topic, key, strlen(value), value);
	status = call(store, request);
	free(request);
	return status == 200;
}

int lab_is_ready(const char *address)
{
	return call(address, "GET /v1/readyz HTTP/1.1\r\nHost: x\r\n\r\n") == 200;
}

int lab_wait_ready(const char *address, int64_t limit_ms)
{
	int64_t until_ms = lab_now_ms() + limit_ms;

	while (lab_now_ms() < until_ms) {
		if (lab_is_ready(address))
			return 1;
		lab_sleep_ms(50);
	}
	return 0;
}

void lab_sleep_ms(int64_t duration_ms)
{
	struct timespec duration = {.tv_sec = duration_ms / 1000,
				    .tv_nsec = duration_ms % 1000 * 1000000};

	while (nanosleep(&duration, &duration))
		;
}
