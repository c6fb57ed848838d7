/* The client and the listener of the flow package over loopback: complete answers, limits. */
#include "flow_bed.h"
#include "unit.h"

#include <arpa/inet.h>
#include <pthread.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define PORT_ATTEMPTS 8

enum connection_end { END_FIN, END_RESET, END_OPEN };

/* A server that answers each request on its one connection with the next prepared answer. */
struct fake_server {
	int listener;
	const char *const *answers;
	size_t count;
	enum connection_end connection_end;
	char address[CW_ADDRESS_MAX];
	pthread_t thread;
	volatile int has_request; /* a request was received */
};

static void *run_fake_server(void *context)
{
	struct fake_server *server = context;
	int fd = accept(server->listener, NULL, NULL);
	char rest[1024];

	for (size_t i = 0; i < server->count; i++) {
		flow_bed_read_request(fd);
		server->has_request = 1;
		assert_int_equal(write(fd, server->answers[i], strlen(server->answers[i])),
				 (ssize_t)strlen(server->answers[i]));
	}
	if (server->connection_end == END_RESET) {
		struct linger linger = {1, 0};

		setsockopt(fd, SOL_SOCKET, SO_LINGER, &linger, sizeof(linger));
	}
	while (server->connection_end == END_OPEN && read(fd, rest, sizeof(rest)) > 0)
		continue;
	close(fd);
	return NULL;
}

static void fake_server_start(struct fake_server *server, const char *const *answers, size_t count,
			      enum connection_end connection_end)
{
	server->answers = answers;
	server->count = count;
	server->connection_end = connection_end;
	server->has_request = 0;
	server->listener = flow_bed_listen(server->address, sizeof(server->address));
	pthread_create(&server->thread, NULL, run_fake_server, server);
}

static void fake_server_stop(struct fake_server *server)
{
	pthread_join(server->thread, NULL);
	close(server->listener);
}

/*
 * Guards against half of an answer forwarded as complete. The server sends an answer without a
 * length, and the connection is reset midway: libuv reports a hang-up right after a short read as
 * the end of the stream.
 */
static void an_answer_without_length_is_incomplete_after_a_reset(void **state)
{
	static const char *const answers[] = {"HTTP/1.1 200 OK\r\nX-Id: a\r\n\r\nhalf"};
	struct fake_server server;
	struct client_fixture fixture;

	for (int round = 0; round < 50; round++) {
		client_fixture_open(&fixture);
		fake_server_start(&server, answers, 1, END_RESET);
		flow_bed_send(&fixture, server.address, "a", 0);
		fake_server_stop(&server);
		assert_true(fixture.has_failed);
		assert_int_equal(fixture.failure, CW_FLOW_CONNECTION_LOST);
		client_fixture_close(&fixture);
	}
}

static void an_answer_without_length_ends_with_its_connection(void **state)
{
	static const char *const answers[] = {"HTTP/1.1 200 OK\r\nX-Id: a\r\n\r\nwhole"};
	struct fake_server server;
	struct client_fixture fixture;

	client_fixture_open(&fixture);
	fake_server_start(&server, answers, 1, END_FIN);
	flow_bed_send(&fixture, server.address, "a", 0);
	fake_server_stop(&server);
	assert_true(fixture.is_complete);
	assert_string_equal(fixture.body->str, "whole");
	client_fixture_close(&fixture);
}

static void an_answer_shorter_than_its_length_fails(void **state)
{
	static const char *const answers[] = {
		"HTTP/1.1 200 OK\r\nX-Id: a\r\nContent-Length: 9\r\n\r\nhalf"};
	struct fake_server server;
	struct client_fixture fixture;

	client_fixture_open(&fixture);
	fake_server_start(&server, answers, 1, END_FIN);
	flow_bed_send(&fixture, server.address, "a", 0);
	fake_server_stop(&server);
	assert_true(fixture.has_failed);
	assert_int_equal(fixture.failure, CW_FLOW_CONNECTION_LOST);
	client_fixture_close(&fixture);
}

/*
 * Guards against a caller that gets another caller's answer. A server repeats its answer to an
 * earlier request before the next one; answers were once matched by their order on the connection,
 * not by the request id.
 */
static void an_answer_to_an_earlier_request_is_dropped(void **state)
{
	static const char *const answers[] = {
		"HTTP/1.1 200 OK\r\nX-Id: old\r\nContent-Length: 3\r\n\r\nold"
		"HTTP/1.1 200 OK\r\nX-Id: a\r\nContent-Length: 3\r\n\r\nnew"};
	struct fake_server server;
	struct client_fixture fixture;

	client_fixture_open(&fixture);
	fake_server_start(&server, answers, 1, END_FIN);
	flow_bed_send(&fixture, server.address, "a", 0);
	fake_server_stop(&server);
	assert_true(fixture.is_complete);
	assert_string_equal(fixture.body->str, "new");
	client_fixture_close(&fixture);
}

/* Bytes after a complete answer belong to no request, so the connection must not be reused. */
static void a_connection_with_extra_bytes_is_not_reused(void **state)
{
	static const char *const answers[] = {
		"HTTP/1.1 200 OK\r\nX-Id: a\r\nContent-Length: 3\r\n\r\nonejunk"};
	static const char *const second_answers[] = {
		"HTTP/1.1 200 OK\r\nX-Id: b\r\nContent-Length: 3\r\n\r\ntwo"};
	struct fake_server server;
	struct client_fixture fixture;

	client_fixture_open(&fixture);
	fake_server_start(&server, answers, 1, END_OPEN);
	flow_bed_send(&fixture, server.address, "a", 0);
	assert_true(fixture.is_complete);
	assert_string_equal(fixture.body->str, "one");
	pthread_join(server.thread, NULL);
	server.answers = second_answers;
	server.connection_end = END_FIN;
	pthread_create(&server.thread, NULL, run_fake_server, &server);
	flow_bed_send(&fixture, server.address, "b", 0);
	fake_server_stop(&server);
	assert_true(fixture.is_complete);
	assert_string_equal(fixture.body->str, "two");
	assert_int_equal(cw_client_count_opened(fixture.client), 2);
	client_fixture_close(&fixture);
}

static void an_idle_connection_is_reused_for_the_next_request(void **state)
{
	static const char *const answers[] = {
		"HTTP/1.1 200 OK\r\nX-Id: a\r\nContent-Length: 3\r\n\r\none",
		"HTTP/1.1 200 OK\r\nX-Id: b\r\nContent-Length: 3\r\n\r\ntwo"};
	struct fake_server server;
	struct client_fixture fixture;

	client_fixture_open(&fixture);
	fake_server_start(&server, answers, 2, END_FIN);
	flow_bed_send(&fixture, server.address, "a", 0);
	flow_bed_send(&fixture, server.address, "b", 0);
	fake_server_stop(&server);
	assert_true(fixture.is_complete);
	assert_string_equal(fixture.body->str, "two");
	assert_int_equal(cw_client_count_opened(fixture.client), 1);
	client_fixture_close(&fixture);
}

static void an_answer_that_is_not_http_is_malformed(void **state)
{
	static const char *const answers[] = {"\x01\x02 no answer at all\r\n\r\n"};
	struct fake_server server;
	struct client_fixture fixture;

	client_fixture_open(&fixture);
	fake_server_start(&server, answers, 1, END_FIN);
	flow_bed_send(&fixture, server.address, "a", 0);
	fake_server_stop(&server);
	assert_true(fixture.has_failed);
	assert_int_equal(fixture.failure, CW_FLOW_MALFORMED);
	client_fixture_close(&fixture);
}

static void a_silent_server_is_distinguished_from_a_closed_port(void **state)
{
	struct fake_server server;
	struct client_fixture fixture;

	client_fixture_open(&fixture);
	fake_server_start(&server, NULL, 0, END_OPEN);
	flow_bed_send(&fixture, server.address, "a", 50);
	assert_true(fixture.has_failed);
	assert_int_equal(fixture.failure, CW_FLOW_TIMED_OUT);
	fake_server_stop(&server);
	flow_bed_send(&fixture, server.address, "a", 50);
	assert_true(fixture.has_failed);
	assert_int_equal(fixture.failure, CW_FLOW_CONNECTION_REFUSED);
	client_fixture_close(&fixture);
}

/*
 * Guards against servers counted as unreachable on slow machines although they answered in time.
 * The loop is delayed past a timeout while the answer is in the socket buffer, and runs the timers
 * before the reads.
 */
static void an_answer_that_arrived_in_time_counts_after_a_loop_delay(void **state)
{
	static const char *const answers[] = {
		"HTTP/1.1 200 OK\r\nX-Id: a\r\nContent-Length: 3\r\n\r\none"};
	struct cw_exchange_request request = {.reuse_idle_ms = 0, .connect_ms = 1000};
	struct fake_server server;
	struct client_fixture fixture;

	client_fixture_open(&fixture);
	fake_server_start(&server, answers, 1, END_FIN);
	request.address = server.address;
	request.bytes = g_string_new("GET / HTTP/1.1\r\nHost: a\r\n\r\n");
	request.read_timeout_ms = 30;
	cw_client_send(fixture.client, &request, &client_fixture_ops, &fixture);
	/* Sends the request. The answer arrives while the loop does not run. */
	while (!server.has_request)
		uv_run(&fixture.loop, UV_RUN_NOWAIT);
	fake_server_stop(&server);
	g_usleep(60 * 1000);
	/* The exchange may have ended in the last round: then only idle timers are left to run. */
	if (!fixture.is_complete && !fixture.has_failed)
		uv_run(&fixture.loop, UV_RUN_DEFAULT);
	assert_true(fixture.is_complete);
	client_fixture_close(&fixture);
}

/* A listener on this loop, and a caller that writes raw bytes to it. */
struct listener_fixture {
	uv_loop_t loop;
	struct cw_listener *listener;
	int request_count;
	int disconnect_count;
	GString *targets;
	struct cw_caller *delayed_caller; /* the request with a delayed answer */
	int delays_answers;
	int fd;
	GString *received;
};

static void on_request(void *context, struct cw_caller *caller, struct cw_message *request)
{
	struct listener_fixture *fixture = context;

	fixture->request_count++;
	g_string_append(fixture->targets, request->target->str);
	g_string_append_printf(fixture->targets, "[%s] ", request->body->str);
	cw_caller_set_request(caller, fixture);
	if (fixture->delays_answers) {
		fixture->delayed_caller = caller;
		return;
	}
	cw_caller_send_head(caller, 200, "", 2);
	cw_caller_send_body(caller, "ok", 2);
	cw_caller_end_answer(caller);
}

static void on_disconnected(void *context)
{
	struct listener_fixture *fixture = context;

	fixture->disconnect_count++;
	fixture->delayed_caller = NULL;
}

static void on_writable(void *context)
{
}

static const struct cw_listener_ops listener_ops = {on_request, on_disconnected, on_writable, NULL};

/* Binds a port chosen by the kernel, then frees it. */
static void find_free_port(struct sockaddr_in *socket_address)
{
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	socket_address->sin_port = 0;
	socket_address->sin_addr.s_addr = flow_bed_loopback();
	assert_int_equal(bind(fd, (struct sockaddr *)socket_address, sizeof(*socket_address)), 0);
	getsockname(fd, (struct sockaddr *)socket_address, &(socklen_t){sizeof(*socket_address)});
	close(fd);
}

static void listener_fixture_open(struct listener_fixture *fixture)
{
	struct cw_error error = {0};
	struct sockaddr_in socket_address = {.sin_family = AF_INET};

	memset(fixture, 0, sizeof(*fixture));
	uv_loop_init(&fixture->loop);
	fixture->targets = g_string_new(NULL);
	fixture->received = g_string_new(NULL);
	/* Another process may bind the port between find_free_port and the listener. */
	for (int i = 0; !fixture->listener && i < PORT_ATTEMPTS; i++) {
		char address[CW_ADDRESS_MAX];

		find_free_port(&socket_address);
		flow_bed_format_address(&socket_address, address, sizeof(address));
		fixture->listener =
			cw_listener_create(&fixture->loop, address, &listener_ops, fixture, &error);
	}
	assert_non_null(fixture->listener);
	fixture->fd = socket(AF_INET, SOCK_STREAM, 0);
	assert_int_equal(
		connect(fixture->fd, (struct sockaddr *)&socket_address, sizeof(socket_address)),
		0);
	alarm(FLOW_TEST_SECONDS);
}

static void listener_fixture_close(struct listener_fixture *fixture)
{
	close(fixture->fd);
	cw_listener_destroy(fixture->listener);
	uv_run(&fixture->loop, UV_RUN_DEFAULT);
	assert_int_equal(uv_loop_close(&fixture->loop), 0);
	g_string_free(fixture->targets, TRUE);
	g_string_free(fixture->received, TRUE);
	alarm(0);
}

static void listener_fixture_send(struct listener_fixture *fixture, const char *bytes)
{
	assert_int_equal(write(fixture->fd, bytes, strlen(bytes)), (ssize_t)strlen(bytes));
}

/* Runs the loop until the caller has received text. */
static void listener_fixture_expect(struct listener_fixture *fixture, const char *text)
{
	char bytes[1024];
	ssize_t size;

	while (!strstr(fixture->received->str, text)) {
		uv_run(&fixture->loop, UV_RUN_NOWAIT);
		size = recv(fixture->fd, bytes, sizeof(bytes), MSG_DONTWAIT);
		if (size > 0)
			g_string_append_len(fixture->received, bytes, size);
	}
}

static void pipelined_requests_are_answered_in_order(void **state)
{
	struct listener_fixture fixture;

	listener_fixture_open(&fixture);
	listener_fixture_send(&fixture,
			      "GET /a HTTP/1.1\r\nHost: h\r\n\r\n"
			      "POST /b HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nxyz"
			      "POST /c HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
			      "2\r\nab\r\n0\r\n\r\n"
			      "GET /d HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
	listener_fixture_expect(&fixture, "Connection: close");
	assert_string_equal(fixture.targets->str, "/a[] /b[xyz] /c[ab] /d[] ");
	listener_fixture_close(&fixture);
}

/*
 * Guards against request smuggling: a server ran a request that no caller had sent. A request has
 * both a Content-Length and chunks, and its body contains a second_answers request; the two sides
 * of the router disagreed on the end of the body.
 */
static void a_request_with_two_lengths_is_rejected(void **state)
{
	struct listener_fixture fixture;

	listener_fixture_open(&fixture);
	listener_fixture_send(&fixture, "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 40\r\n"
					"Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n"
					"GET /hidden HTTP/1.1\r\nHost: h\r\n\r\n");
	listener_fixture_expect(&fixture, "HTTP/1.1 400");
	assert_int_equal(fixture.request_count, 0);
	listener_fixture_close(&fixture);
}

static void a_body_over_the_limit_is_rejected_by_its_length(void **state)
{
	struct cw_flow_limits limits = {1024, 100, 1000, 1000, 0, 0};
	struct listener_fixture fixture;

	listener_fixture_open(&fixture);
	cw_listener_set_limits(fixture.listener, &limits);
	listener_fixture_send(&fixture,
			      "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 67108864\r\n\r\n");
	listener_fixture_expect(&fixture, "HTTP/1.1 413");
	assert_int_equal(fixture.request_count, 0);
	listener_fixture_close(&fixture);
}

static void a_caller_disconnect_is_reported_before_any_answer(void **state)
{
	struct listener_fixture fixture;

	listener_fixture_open(&fixture);
	fixture.delays_answers = 1;
	listener_fixture_send(&fixture, "GET /a HTTP/1.1\r\nHost: h\r\n\r\n");
	while (!fixture.request_count)
		uv_run(&fixture.loop, UV_RUN_NOWAIT);
	shutdown(fixture.fd, SHUT_RDWR);
	while (!fixture.disconnect_count)
		uv_run(&fixture.loop, UV_RUN_NOWAIT);
	assert_int_equal(fixture.disconnect_count, 1);
	listener_fixture_close(&fixture);
}

static void a_draining_listener_announces_the_close(void **state)
{
	struct listener_fixture fixture;

	listener_fixture_open(&fixture);
	listener_fixture_send(&fixture, "GET /a HTTP/1.1\r\nHost: h\r\n\r\n");
	listener_fixture_expect(&fixture, "ok");
	assert_null(strstr(fixture.received->str, "Connection: close"));
	cw_listener_start_draining(fixture.listener);
	listener_fixture_send(&fixture, "GET /b HTTP/1.1\r\nHost: h\r\n\r\n");
	listener_fixture_expect(&fixture, "Connection: close");
	listener_fixture_close(&fixture);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(an_answer_without_length_is_incomplete_after_a_reset),
		cmocka_unit_test(an_answer_without_length_ends_with_its_connection),
		cmocka_unit_test(an_answer_shorter_than_its_length_fails),
		cmocka_unit_test(an_answer_to_an_earlier_request_is_dropped),
		cmocka_unit_test(a_connection_with_extra_bytes_is_not_reused),
		cmocka_unit_test(an_idle_connection_is_reused_for_the_next_request),
		cmocka_unit_test(an_answer_that_is_not_http_is_malformed),
		cmocka_unit_test(a_silent_server_is_distinguished_from_a_closed_port),
		cmocka_unit_test(an_answer_that_arrived_in_time_counts_after_a_loop_delay),
		cmocka_unit_test(pipelined_requests_are_answered_in_order),
		cmocka_unit_test(a_request_with_two_lengths_is_rejected),
		cmocka_unit_test(a_body_over_the_limit_is_rejected_by_its_length),
		cmocka_unit_test(a_caller_disconnect_is_reported_before_any_answer),
		cmocka_unit_test(a_draining_listener_announces_the_close),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
