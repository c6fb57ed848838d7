/*
 * A backend server that reads each request, late or at once, and then sends bytes that never end an
 * answer, or a long one. Options: --listen IP:PORT, --form interim (answers with status 102), head
 * (8 bytes of a head each 200 ms), body (a body of 4 MB at 2 MB a second), long (a body of 2 MB at
 * once), late (reads what follows the head 5 s late, up to the length of the request). Prints
 * "listening", then "got" for a request.
 */
#include <argtable2.h>
#include <arpa/inet.h>
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define HEAD	    "HTTP/1.1 200 OK\r\nServer-Seal: a.b\r\nContent-Length: "
#define BODY_PIECE  65536
#define BODY_PIECES 60
#define LONG_PIECES 32
#define LATE_S	    5
#define LATE_BUFFER 4096

/* What is sent again and again, and the time between. */
struct form {
	const char *name;
	const char *first;
	const char *repeat;
	size_t piece; /* bytes of a write */
	useconds_t pause_us;
	long count; /* of writes; 0: no end */
};

static const struct form forms[] = {
	{"interim", "", "HTTP/1.1 102 Processing\r\n\r\n", BODY_PIECE, 0, 0},
	{"head", "HTTP/1.1 200 OK\r\n", "X-A: b\r\n", 8, 200000, 0},
	{"body", HEAD "3932160\r\n\r\n", "x", BODY_PIECE, 32000, BODY_PIECES},
	{"late", HEAD "1\r\n\r\n", "x", 1, 0, 1},
	{"long", HEAD "2097152\r\n\r\n", "x", BODY_PIECE, 0, LONG_PIECES},
};

static const struct form *form;

static void read_late(int fd, const char *bytes, size_t size);

static int read_request(int fd)
{
	char bytes[16384];
	size_t size = 0;

	while (size < sizeof(bytes) - 1) {
		ssize_t received = read(fd, bytes + size, sizeof(bytes) - 1 - size);

		if (received <= 0)
			return 0;
		size += (size_t)received;
		bytes[size] = '\0';
		if (strstr(bytes, "\r\n\r\n"))
			break;
	}
	printf("got\n");
	fflush(stdout);
	if (!strcmp(form->name, "late"))
		read_late(fd, bytes, size);
	return 1;
}

static void read_late(int fd, const char *bytes, size_t size)
{
	const char *length = strcasestr(bytes, "\r\nContent-Length:");
	size_t whole = (size_t)(strstr(bytes, "\r\n\r\n") + 4 - bytes);
	char more[4096];

	if (length)
		whole += strtoul(strchr(length, ':') + 1, NULL, 10);
	sleep(LATE_S);
	while (size < whole) {
		ssize_t received = read(fd, more, sizeof(more));

		if (received <= 0)
			return;
		size += (size_t)received;
	}
}

static void *serve(void *context)
{
	int fd = (int)(long)context;
	char piece[BODY_PIECE];
	size_t repeat = strlen(form->repeat);

	for (size_t i = 0; i < form->piece; i++)
		piece[i] = form->repeat[i % repeat];
	if (read_request(fd) && send(fd, form->first, strlen(form->first), MSG_NOSIGNAL) >= 0) {
		for (long i = 0; !form->count || i < form->count; i++) {
			if (send(fd, piece, form->piece, MSG_NOSIGNAL) <= 0)
				break;
			usleep(form->pause_us);
		}
	}
	close(fd);
	return NULL;
}

static int listen_at(const char *address)
{
	struct sockaddr_in socket_address = {.sin_family = AF_INET};
	char *ip = strdup(address);
	char *colon = strchr(ip, ':');
	int listener = socket(AF_INET, SOCK_STREAM, 0);
	int one = 1;
	int buffer = LATE_BUFFER;

	if (!colon)
		return -1;
	*colon = '\0';
	setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
	if (form && !strcmp(form->name, "late"))
		setsockopt(listener, SOL_SOCKET, SO_RCVBUF, &buffer, sizeof(buffer));
	socket_address.sin_port = htons((unsigned short)strtoul(colon + 1, NULL, 10));
	inet_pton(AF_INET, ip, &socket_address.sin_addr);
	free(ip);
	if (bind(listener, (struct sockaddr *)&socket_address, sizeof(socket_address)) ||
	    listen(listener, 256))
		return -1;
	return listener;
}

static void serve_all(int listener)
{
	for (;;) {
		pthread_t thread;
		int fd = accept(listener, NULL, NULL);

		if (fd < 0)
			return;
		pthread_create(&thread, NULL, serve, (void *)(long)fd);
		pthread_detach(thread);
	}
}

int main(int argc, char **argv)
{
	struct arg_str *listen_option = arg_str1(NULL, "listen", "IP:PORT", "address");
	struct arg_str *form_option =
		arg_str1(NULL, "form", "interim|head|body|long|late", "what is sent");
	struct arg_end *end = arg_end(4);
	void *table[] = {listen_option, form_option, end};
	int listener;

	if (arg_parse(argc, argv, table) > 0) {
		arg_print_errors(stderr, end, "endless");
		return 2;
	}
	for (size_t i = 0; i < sizeof(forms) / sizeof(*forms); i++)
		if (!strcmp(forms[i].name, form_option->sval[0]))
			form = &forms[i];
	listener = listen_at(listen_option->sval[0]);
	if (!form || listener < 0) {
		fprintf(stderr, "endless: unknown form, or the address can't be used\n");
		return 2;
	}
	printf("listening %s\n", listen_option->sval[0]);
	fflush(stdout);
	serve_all(listener);
	return 0;
}
