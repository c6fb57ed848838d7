/*
 * client: opens a connection, sends a short request on it and then, on the same connection, the
 * request that counts. Arguments, each NAME=VALUE:
 *
 *   to=IP:PORT method=METHOD path=PATH id=ID deadline_ms=MS
 *   first=PATH                         of the short request
 *   rate=BYTES                         reads at most so many bytes of the answer a second
 *   stall_after=BYTES stall_ms=MS      reads nothing for a while after so many bytes
 *   segment=BYTES buffer=BYTES         segment size and receive buffer of its own socket
 *
 * Prints "answered ID STATUS BYTES HOW MS"; HOW: whole, cut, reset or late.
 */
#include "args.h"

#include <errno.h>
#include <netinet/tcp.h>
#include <stdio.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

#define STEP_MS	 20
#define HEAD_MAX 16384

enum result { WHOLE, CUT, RESET, LATE };

struct answer {
	char head[HEAD_MAX];
	size_t bytes; /* after the head */
	enum result result;
};

static const char *const result_names[] = {"whole", "cut", "reset", "late"};
static char **options;
static long began_ms;

static long now_ms(void)
{
	struct timespec now;

	clock_gettime(CLOCK_MONOTONIC, &now);
	return now.tv_sec * 1000 + now.tv_nsec / 1000000;
}

static int open_connection(void)
{
	struct sockaddr_in address;
	int segment = (int)arg_number(options, "segment", 0);
	int buffer = (int)arg_number(options, "buffer", 0);
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	if (segment)
		setsockopt(fd, IPPROTO_TCP, TCP_MAXSEG, &segment, sizeof(segment));
	if (buffer)
		setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &buffer, sizeof(buffer));
	if (!arg_address(options, "to", &address) ||
	    connect(fd, (struct sockaddr *)&address, sizeof(address)))
		return -1;
	return fd;
}

static int send_request(int fd, const char *method, const char *path, const char *id)
{
	char text[1024];
	int size = snprintf(text, sizeof(text),
			    "%s %s HTTP/1.1\r\nHost: h\r\nAttempt-Id: %s\r\nDeadline-Ms: %ld\r\n"
			    "Authorization: Token k1\r\nModel: *\r\nToken-Count: 1460,380\r\n"
			    "Prefix-Hash: 5c1e07a2:800,91bd3f06:660\r\nContent-Length: 0\r\n\r\n",
			    method, path, id, arg_number(options, "deadline_ms", 25000));

	return write(fd, text, (size_t)size) == size;
}

static int read_head(int fd, struct answer *answer)
{
	size_t held = 0;

	while (held < HEAD_MAX - 1) {
		ssize_t got = read(fd, answer->head + held, 1);

		if (got <= 0) {
			answer->result = got ? RESET : CUT;
			return 0;
		}
		answer->head[++held] = '\0';
		if (held >= 4 && !memcmp(answer->head + held - 4, "\r\n\r\n", 4))
			return 1;
	}
	return 0;
}

/* Reads the body, with a length or in chunks of which the last one ends the answer. */
static void read_body(int fd, struct answer *answer, long rate)
{
	static char bytes[65536];
	char tail[5] = "";
	char length_text[32];
	long stall_ms = rate ? arg_number(options, "stall_ms", 0) : 0;
	size_t stall_after = (size_t)arg_number(options, "stall_after", 0);
	size_t most = rate ? (size_t)(rate * STEP_MS / 1000) : sizeof(bytes);
	size_t length;

	find_field(answer->head, "Content-Length", length_text, sizeof(length_text));
	length = *length_text ? strtoul(length_text, NULL, 10) : SIZE_MAX;
	answer->result = WHOLE;
	while (answer->bytes < length && memcmp(tail, "0\r\n\r\n", 5) != 0) {
		ssize_t got;

		if (now_ms() - began_ms > arg_number(options, "deadline_ms", 25000)) {
			answer->result = LATE;
			return;
		}
		if (stall_ms && answer->bytes >= stall_after) {
			usleep((useconds_t)stall_ms * 1000);
			stall_ms = 0;
		}
		if (rate)
			usleep(STEP_MS * 1000);
		got = read(fd, bytes, most < sizeof(bytes) ? most : sizeof(bytes));
		if (got <= 0) {
			answer->result = got ? RESET : CUT;
			return;
		}
		answer->bytes += (size_t)got;
		for (ssize_t i = got < 5 ? 0 : got - 5; length == SIZE_MAX && i < got; i++) {
			memmove(tail, tail + 1, 4);
			tail[4] = bytes[i];
		}
	}
}

int main(int argc, char **argv)
{
	static struct answer answer;
	const char *first = arg_text(argv + 1, "first", NULL);
	const char *id = arg_text(argv + 1, "id", "0");
	char first_id[128];
	int fd;

	options = argv + 1;
	fd = open_connection();
	if (fd < 0)
		return 2;
	began_ms = now_ms();
	if (first) {
		snprintf(first_id, sizeof(first_id), "%s-first", id);
		if (!send_request(fd, "GET", first, first_id) || !read_head(fd, &answer))
			return 2;
		read_body(fd, &answer, 0);
		printf("answered %s %.3s %zu %s\n", first_id, answer.head + 9, answer.bytes,
		       result_names[answer.result]);
		memset(&answer, 0, sizeof(answer));
	}
	began_ms = now_ms();
	if (!send_request(fd, arg_text(options, "method", "POST"), arg_text(options, "path", "/"),
			  id))
		return 2;
	printf("sent %s\n", id);
	fflush(stdout);
	if (read_head(fd, &answer))
		read_body(fd, &answer, arg_number(options, "rate", 0));
	printf("answered %s %.3s %zu %s after %ld ms\n", id, *answer.head ? answer.head + 9 : "-",
	       answer.bytes, result_names[answer.result], now_ms() - began_ms);
	close(fd);
	return answer.result != WHOLE;
}
