/* Bytes of a server that are no answer and come without end, whole or a few at a time. */
#include "flow_bed.h"
#include "unit.h"

#include <pthread.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

#define READ_TIMEOUT_MS 300
#define LATEST_MS	2000 /* from the send until the exchange has failed, on a busy machine */
#define BYTES_MAX	(64 * 1024 * 1024) /* that the client reads of such an answer at most */
#define TRICKLE_US	20000
#define OK_HEAD		"HTTP/1.1 200 OK\r\nX-Id: own\r\n"

/* An answer: first once, then repeat without end. */
struct endless {
	const char *name;
	const char *first;
	const char *repeat;
	enum cw_flow_failure failure; /* if it comes whole */
};

static const struct endless forms[] = {
	{"a first line", "HTTP/1.1 200 ", "O", CW_FLOW_MALFORMED},
	{"a field", OK_HEAD "A: ", "b", CW_FLOW_MALFORMED},
	{"a head", OK_HEAD, "A: b\r\n", CW_FLOW_MALFORMED},
	{"interim answers", "", "HTTP/1.1 102 Processing\r\n\r\n", CW_FLOW_MALFORMED},
	{"answers to another request", "",
	 "HTTP/1.1 200 OK\r\nX-Id: other\r\nContent-Length: 1\r\n\r\nx", CW_FLOW_MALFORMED},
};

struct server {
	const struct endless *form;
	size_t piece; /* bytes of a write; 0: as many as fit */
	int listener;
	size_t written;
};

static int64_t now_ms(void)
{
	struct timespec now;

	clock_gettime(CLOCK_MONOTONIC, &now);
	return now.tv_sec * 1000 + now.tv_nsec / 1000000;
}

/* The next bytes of the answer, from its start. */
static size_t fill(const struct endless *form, size_t at, char *bytes, size_t size)
{
	size_t first = strlen(form->first);
	size_t repeat = strlen(form->repeat);

	for (size_t i = 0; i < size; i++, at++)
		bytes[i] = at < first ? form->first[at] : form->repeat[(at - first) % repeat];
	return size;
}

static void *serve(void *context)
{
	struct server *server = context;
	char bytes[65536];
	size_t size = server->piece ? server->piece : sizeof(bytes);
	int fd = accept(server->listener, NULL, NULL);
	ssize_t written = 1;

	flow_bed_read_request(fd);
	while (written > 0 && server->written < 4 * (size_t)BYTES_MAX) {
		fill(server->form, server->written, bytes, size);
		written = send(fd, bytes, size, MSG_NOSIGNAL);
		server->written += written > 0 ? (size_t)written : 0;
		if (server->piece)
			usleep(TRICKLE_US);
	}
	close(fd);
	return NULL;
}

/* Sends a request to such a server; returns how long it took to fail. */
static int64_t send_to(struct server *server, struct client_fixture *fixture)
{
	char address[CW_ADDRESS_MAX];
	pthread_t thread;
	int64_t began_ms;

	server->listener = flow_bed_listen(address, sizeof(address));
	pthread_create(&thread, NULL, serve, server);
	client_fixture_open(fixture);
	began_ms = now_ms();
	flow_bed_send(fixture, address, "own", READ_TIMEOUT_MS);
	began_ms = now_ms() - began_ms;
	pthread_join(thread, NULL);
	close(server->listener);
	return began_ms;
}

/* Guards against a server that is read without end, and whose request no other server gets. */
static void an_endless_answer_is_given_up_at_once(void **state)
{
	for (size_t i = 0; i < G_N_ELEMENTS(forms); i++) {
		struct server server = {.form = &forms[i]};
		struct client_fixture fixture;
		int64_t took_ms = send_to(&server, &fixture);

		print_message("%s: %ld ms, %zu bytes\n", forms[i].name, (long)took_ms,
			      server.written);
		assert_true(fixture.has_failed);
		assert_int_equal(fixture.failure, forms[i].failure);
		assert_true(took_ms <= LATEST_MS);
		assert_true(server.written <= BYTES_MAX);
		client_fixture_close(&fixture);
	}
}

/* Guards against a request that waits for its whole time as a few bytes come now and then. */
static void an_answer_that_trickles_is_given_up_in_time(void **state)
{
	static const size_t pieces[] = {1, 8};

	for (size_t i = 0; i < 2 * G_N_ELEMENTS(forms); i++) {
		struct server server = {.form = &forms[i / 2], .piece = pieces[i % 2]};
		struct client_fixture fixture;
		int64_t took_ms = send_to(&server, &fixture);

		print_message("%s, %zu bytes at a time: %ld ms\n", forms[i / 2].name, server.piece,
			      (long)took_ms);
		assert_true(fixture.has_failed);
		assert_int_equal(fixture.failure, CW_FLOW_TIMED_OUT);
		assert_true(took_ms >= READ_TIMEOUT_MS && took_ms <= LATEST_MS);
		client_fixture_close(&fixture);
	}
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(an_endless_answer_is_given_up_at_once),
		cmocka_unit_test(an_answer_that_trickles_is_given_up_in_time),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
