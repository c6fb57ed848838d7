/* The flow's two sides over loopback: what is a whole answer, what isn't, what a caller may send.
 */
#include "cw_flow.h"
#include "unit.h"

#include <arpa/inet.h>
#include <pthread.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define TEST_SECONDS 10 /* a hang ends the test here */

enum ending { END_FIN, END_RESET, END_OPEN };

/* A server that answers each request on one connection with the next line of its script. */
struct script {
	int listener;
	const char *const *answers;
	size_t count;
	enum ending ending;
	char address[CW_ADDRESS_MAX];
	pthread_t thread;
	volatile int is_read; /* a request came */
};

struct outcome {
	uv_loop_t loop;
	struct cw_client *client;
	int ended;
	int failed;
	enum cw_flow_failure failure;
	unsigned int status;
	GString *body;
};

static void read_request(int fd)
{
	char bytes[4096];
	size_t size = 0;

	while (size < sizeof(bytes) - 1) {
		ssize_t got = read(fd, bytes + size, sizeof(bytes) - 1 - size);

		if (got <= 0)
			return;
		size += (size_t)got;
		bytes[size] = '\0';
		if (strstr(bytes, "\r\n\r\n"))
			return;
	}
}

static void *serve(void *context)
{
	struct script *script = context;
	int fd = accept(script->listener, NULL, NULL);
	char rest[1024];

	for (size_t i = 0; i < script->count; i++) {
		read_request(fd);
		script->is_read = 1;
		assert_int_equal(write(fd, script->answers[i], strlen(script->answers[i])),
				 (ssize_t)strlen(script->answers[i]));
	}
	if (script->ending == END_RESET) {
		struct linger linger = {1, 0};

		setsockopt(fd, SOL_SOCKET, SO_LINGER, &linger, sizeof(linger));
	}
	while (script->ending == END_OPEN && read(fd, rest, sizeof(rest)) > 0)
		continue;
	close(fd);
	return NULL;
}

static void script_open(struct script *script, const char *const *answers, size_t count,
			enum ending ending)
{
	struct sockaddr_in where = {.sin_family = AF_INET};
	socklen_t size = sizeof(where);

	where.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	script->answers = answers;
	script->count = count;
	script->ending = ending;
	script->is_read = 0;
	script->listener = socket(AF_INET, SOCK_STREAM, 0);
	assert_int_equal(bind(script->listener, (struct sockaddr *)&where, sizeof(where)), 0);
	assert_int_equal(listen(script->listener, 8), 0);
	getsockname(script->listener, (struct sockaddr *)&where, &size);
	snprintf(script->address, sizeof(script->address), "127.0.0.1:%u", ntohs(where.sin_port));
	pthread_create(&script->thread, NULL, serve, script);
}

static void script_close(struct script *script)
{
	pthread_join(script->thread, NULL);
	close(script->listener);
}

static void on_head(void *context, const struct cw_message *answer)
{
	struct outcome *outcome = context;

	outcome->status = answer->status;
}

static void on_data(void *context, const char *data, size_t size)
{
	struct outcome *outcome = context;

	g_string_append_len(outcome->body, data, (gssize)size);
}

static void on_end(void *context)
{
	struct outcome *outcome = context;

	outcome->ended = 1;
	uv_stop(&outcome->loop);
}

static void on_failed(void *context, enum cw_flow_failure failure)
{
	struct outcome *outcome = context;

	outcome->failed = 1;
	outcome->failure = failure;
	uv_stop(&outcome->loop);
}

static const struct cw_exchange_ops ops = {on_head, on_data, on_end, on_failed};

static void outcome_open(struct outcome *outcome)
{
	memset(outcome, 0, sizeof(*outcome));
	uv_loop_init(&outcome->loop);
	outcome->client = cw_client_create(&outcome->loop);
	outcome->body = g_string_new(NULL);
	alarm(TEST_SECONDS);
}

static void outcome_close(struct outcome *outcome)
{
	cw_client_destroy(outcome->client);
	uv_run(&outcome->loop, UV_RUN_DEFAULT);
	assert_int_equal(uv_loop_close(&outcome->loop), 0);
	g_string_free(outcome->body, TRUE);
	alarm(0);
}

static void ask(struct outcome *outcome, const char *address, const char *id, int64_t silence_ms)
{
	struct cw_exchange_request request = {
		.address = address,
		.bytes = g_string_new("GET / HTTP/1.1\r\nHost: a\r\n\r\n"),
		.reuse_idle_ms = 1000,
		.connect_ms = 1000,
		.silence_ms = silence_ms,
		.echo_name = "X-Id",
		.echo_value = id,
	};

	outcome->ended = outcome->failed = 0;
	g_string_truncate(outcome->body, 0);
	cw_client_send(outcome->client, &request, &ops, outcome);
	uv_run(&outcome->loop, UV_RUN_DEFAULT);
}

/*
 * Symptom: a caller got half of an order's answer, framed as complete.
 * Sequence: the server sends an answer without a length, and its connection is reset midway.
 * Cause: libuv tells a hang-up right behind a short read as the stream's end.
 */
static void an_answer_without_length_that_is_reset_is_not_whole(void **state)
{
	static const char *const answers[] = {"HTTP/1.1 200 OK\r\nX-Id: a\r\n\r\nhalf"};
	struct script script;
	struct outcome outcome;

	for (int round = 0; round < 50; round++) {
		outcome_open(&outcome);
		script_open(&script, answers, 1, END_RESET);
		ask(&outcome, script.address, "a", 0);
		script_close(&script);
		assert_true(outcome.failed);
		assert_int_equal(outcome.failure, CW_FLOW_BROKEN);
		outcome_close(&outcome);
	}
}

static void an_answer_without_length_ends_with_its_connection(void **state)
{
	static const char *const answers[] = {"HTTP/1.1 200 OK\r\nX-Id: a\r\n\r\nwhole"};
	struct script script;
	struct outcome outcome;

	outcome_open(&outcome);
	script_open(&script, answers, 1, END_FIN);
	ask(&outcome, script.address, "a", 0);
	script_close(&script);
	assert_true(outcome.ended);
	assert_string_equal(outcome.body->str, "whole");
	outcome_close(&outcome);
}

static void an_answer_shorter_than_its_length_is_broken(void **state)
{
	static const char *const answers[] = {
		"HTTP/1.1 200 OK\r\nX-Id: a\r\nContent-Length: 9\r\n\r\nhalf"};
	struct script script;
	struct outcome outcome;

	outcome_open(&outcome);
	script_open(&script, answers, 1, END_FIN);
	ask(&outcome, script.address, "a", 0);
	script_close(&script);
	assert_true(outcome.failed);
	assert_int_equal(outcome.failure, CW_FLOW_BROKEN);
	outcome_close(&outcome);
}

/*
 * Symptom: a caller got another caller's answer.
 * Sequence: a server repeats its answer to an earlier request where the next one is due.
 * Cause: answers were matched by their order on the connection, not by the request's id.
 */
static void an_earlier_requests_answer_is_passed_over(void **state)
{
	static const char *const answers[] = {
		"HTTP/1.1 200 OK\r\nX-Id: old\r\nContent-Length: 3\r\n\r\nold"
		"HTTP/1.1 200 OK\r\nX-Id: a\r\nContent-Length: 3\r\n\r\nnew"};
	struct script script;
	struct outcome outcome;

	outcome_open(&outcome);
	script_open(&script, answers, 1, END_FIN);
	ask(&outcome, script.address, "a", 0);
	script_close(&script);
	assert_true(outcome.ended);
	assert_string_equal(outcome.body->str, "new");
	outcome_close(&outcome);
}

/* Bytes behind a whole answer belong to no request: the connection isn't used again. */
static void a_connection_with_bytes_left_is_not_kept(void **state)
{
	static const char *const answers[] = {
		"HTTP/1.1 200 OK\r\nX-Id: a\r\nContent-Length: 3\r\n\r\nonejunk"};
	static const char *const second[] = {
		"HTTP/1.1 200 OK\r\nX-Id: b\r\nContent-Length: 3\r\n\r\ntwo"};
	struct script script;
	struct outcome outcome;

	outcome_open(&outcome);
	script_open(&script, answers, 1, END_OPEN);
	ask(&outcome, script.address, "a", 0);
	assert_true(outcome.ended);
	assert_string_equal(outcome.body->str, "one");
	pthread_join(script.thread, NULL);
	script.answers = second;
	script.ending = END_FIN;
	pthread_create(&script.thread, NULL, serve, &script);
	ask(&outcome, script.address, "b", 0);
	script_close(&script);
	assert_true(outcome.ended);
	assert_string_equal(outcome.body->str, "two");
	assert_int_equal(cw_client_opened(outcome.client), 2);
	outcome_close(&outcome);
}

static void a_kept_connection_carries_the_next_request(void **state)
{
	static const char *const answers[] = {
		"HTTP/1.1 200 OK\r\nX-Id: a\r\nContent-Length: 3\r\n\r\none",
		"HTTP/1.1 200 OK\r\nX-Id: b\r\nContent-Length: 3\r\n\r\ntwo"};
	struct script script;
	struct outcome outcome;

	outcome_open(&outcome);
	script_open(&script, answers, 2, END_FIN);
	ask(&outcome, script.address, "a", 0);
	ask(&outcome, script.address, "b", 0);
	script_close(&script);
	assert_true(outcome.ended);
	assert_string_equal(outcome.body->str, "two");
	assert_int_equal(cw_client_opened(outcome.client), 1);
	outcome_close(&outcome);
}

static void what_is_no_answer_is_garbled(void **state)
{
	static const char *const answers[] = {"\x01\x02 no answer at all\r\n\r\n"};
	struct script script;
	struct outcome outcome;

	outcome_open(&outcome);
	script_open(&script, answers, 1, END_FIN);
	ask(&outcome, script.address, "a", 0);
	script_close(&script);
	assert_true(outcome.failed);
	assert_int_equal(outcome.failure, CW_FLOW_GARBLED);
	outcome_close(&outcome);
}

static void a_silent_server_is_told_from_a_closed_port(void **state)
{
	struct script script;
	struct outcome outcome;

	outcome_open(&outcome);
	script_open(&script, NULL, 0, END_OPEN);
	ask(&outcome, script.address, "a", 50);
	assert_true(outcome.failed);
	assert_int_equal(outcome.failure, CW_FLOW_SILENT);
	script_close(&script);
	ask(&outcome, script.address, "a", 50);
	assert_true(outcome.failed);
	assert_int_equal(outcome.failure, CW_FLOW_REFUSED);
	outcome_close(&outcome);
}

/*
 * Symptom: servers that answered in time counted as cut off on slow machines.
 * Sequence: the loop is held up past a limit while the answer lies in the socket.
 * Cause: the timer's turn comes before the read's.
 */
static void what_came_in_time_counts_though_the_loop_was_late(void **state)
{
	static const char *const answers[] = {
		"HTTP/1.1 200 OK\r\nX-Id: a\r\nContent-Length: 3\r\n\r\none"};
	struct cw_exchange_request request = {.reuse_idle_ms = 0, .connect_ms = 1000};
	struct script script;
	struct outcome outcome;

	outcome_open(&outcome);
	script_open(&script, answers, 1, END_FIN);
	request.address = script.address;
	request.bytes = g_string_new("GET / HTTP/1.1\r\nHost: a\r\n\r\n");
	request.silence_ms = 30;
	cw_client_send(outcome.client, &request, &ops, &outcome);
	/* The request goes out; the answer comes while the loop does not run. */
	while (!script.is_read)
		uv_run(&outcome.loop, UV_RUN_NOWAIT);
	script_close(&script);
	g_usleep(60 * 1000);
	uv_run(&outcome.loop, UV_RUN_DEFAULT);
	assert_true(outcome.ended);
	outcome_close(&outcome);
}

/* The caller's side: a listener on this loop, and a caller that writes bytes as they stand. */
struct face {
	uv_loop_t loop;
	struct cw_listener *listener;
	int requests;
	int gone;
	GString *targets;
	struct cw_caller *held; /* answered later */
	int hold;
	int fd;
	GString *got;
};

static void face_request(void *context, struct cw_caller *caller, struct cw_message *request)
{
	struct face *face = context;

	face->requests++;
	g_string_append(face->targets, request->target->str);
	g_string_append_printf(face->targets, "[%s] ", request->body->str);
	cw_caller_attach(caller, face);
	if (face->hold) {
		face->held = caller;
		return;
	}
	cw_caller_head(caller, 200, "", 2);
	cw_caller_data(caller, "ok", 2);
	cw_caller_end(caller);
}

static void face_gone(void *context)
{
	struct face *face = context;

	face->gone++;
	face->held = NULL;
}

static void face_room(void *context)
{
}

static const struct cw_listener_ops face_ops = {face_request, face_gone, face_room, NULL};

static void face_open(struct face *face)
{
	struct cw_error error = {0};
	struct sockaddr_in where = {.sin_family = AF_INET};
	char address[CW_ADDRESS_MAX];
	int port;

	memset(face, 0, sizeof(*face));
	/* A port of the kernel's choice: taken, then given back. */
	port = socket(AF_INET, SOCK_STREAM, 0);
	where.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	assert_int_equal(bind(port, (struct sockaddr *)&where, sizeof(where)), 0);
	getsockname(port, (struct sockaddr *)&where, &(socklen_t){sizeof(where)});
	close(port);
	snprintf(address, sizeof(address), "127.0.0.1:%u", ntohs(where.sin_port));
	uv_loop_init(&face->loop);
	face->targets = g_string_new(NULL);
	face->got = g_string_new(NULL);
	face->listener = cw_listener_create(&face->loop, address, &face_ops, face, &error);
	assert_non_null(face->listener);
	face->fd = socket(AF_INET, SOCK_STREAM, 0);
	assert_int_equal(connect(face->fd, (struct sockaddr *)&where, sizeof(where)), 0);
	alarm(TEST_SECONDS);
}

static void face_close(struct face *face)
{
	close(face->fd);
	cw_listener_destroy(face->listener);
	uv_run(&face->loop, UV_RUN_DEFAULT);
	assert_int_equal(uv_loop_close(&face->loop), 0);
	g_string_free(face->targets, TRUE);
	g_string_free(face->got, TRUE);
	alarm(0);
}

static void face_send(struct face *face, const char *bytes)
{
	assert_int_equal(write(face->fd, bytes, strlen(bytes)), (ssize_t)strlen(bytes));
}

/* Runs the loop until the caller has read text. */
static void face_expect(struct face *face, const char *text)
{
	char bytes[1024];
	ssize_t size;

	while (!strstr(face->got->str, text)) {
		uv_run(&face->loop, UV_RUN_NOWAIT);
		size = recv(face->fd, bytes, sizeof(bytes), MSG_DONTWAIT);
		if (size > 0)
			g_string_append_len(face->got, bytes, size);
	}
}

static void requests_sent_together_are_answered_in_order(void **state)
{
	struct face face;

	face_open(&face);
	face_send(&face, "GET /a HTTP/1.1\r\nHost: h\r\n\r\n"
			 "POST /b HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nxyz"
			 "POST /c HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
			 "2\r\nab\r\n0\r\n\r\n"
			 "GET /d HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
	face_expect(&face, "Connection: close");
	assert_string_equal(face.targets->str, "/a[] /b[xyz] /c[ab] /d[] ");
	face_close(&face);
}

/*
 * Symptom: a server ran a request that no caller had sent.
 * Sequence: a request states a length and chunks too; its body holds a second request.
 * Cause: the two ends of the router took different ones for the body's end.
 */
static void a_request_with_two_lengths_is_refused(void **state)
{
	struct face face;

	face_open(&face);
	face_send(&face, "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 40\r\n"
			 "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n"
			 "GET /hidden HTTP/1.1\r\nHost: h\r\n\r\n");
	face_expect(&face, "HTTP/1.1 400");
	assert_int_equal(face.requests, 0);
	face_close(&face);
}

static void a_body_past_the_limit_is_refused_by_its_length(void **state)
{
	struct cw_flow_limits limits = {1024, 100, 1000, 1000};
	struct face face;

	face_open(&face);
	cw_listener_limits(face.listener, &limits);
	face_send(&face, "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 67108864\r\n\r\n");
	face_expect(&face, "HTTP/1.1 413");
	assert_int_equal(face.requests, 0);
	face_close(&face);
}

static void a_caller_that_leaves_is_told_before_any_answer(void **state)
{
	struct face face;

	face_open(&face);
	face.hold = 1;
	face_send(&face, "GET /a HTTP/1.1\r\nHost: h\r\n\r\n");
	while (!face.requests)
		uv_run(&face.loop, UV_RUN_NOWAIT);
	shutdown(face.fd, SHUT_RDWR);
	while (!face.gone)
		uv_run(&face.loop, UV_RUN_NOWAIT);
	assert_int_equal(face.gone, 1);
	face_close(&face);
}

static void a_leaving_listener_announces_the_close(void **state)
{
	struct face face;

	face_open(&face);
	face_send(&face, "GET /a HTTP/1.1\r\nHost: h\r\n\r\n");
	face_expect(&face, "ok");
	assert_null(strstr(face.got->str, "Connection: close"));
	cw_listener_leave(face.listener);
	face_send(&face, "GET /b HTTP/1.1\r\nHost: h\r\n\r\n");
	face_expect(&face, "Connection: close");
	face_close(&face);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(an_answer_without_length_that_is_reset_is_not_whole),
		cmocka_unit_test(an_answer_without_length_ends_with_its_connection),
		cmocka_unit_test(an_answer_shorter_than_its_length_is_broken),
		cmocka_unit_test(an_earlier_requests_answer_is_passed_over),
		cmocka_unit_test(a_connection_with_bytes_left_is_not_kept),
		cmocka_unit_test(a_kept_connection_carries_the_next_request),
		cmocka_unit_test(what_is_no_answer_is_garbled),
		cmocka_unit_test(a_silent_server_is_told_from_a_closed_port),
		cmocka_unit_test(what_came_in_time_counts_though_the_loop_was_late),
		cmocka_unit_test(requests_sent_together_are_answered_in_order),
		cmocka_unit_test(a_request_with_two_lengths_is_refused),
		cmocka_unit_test(a_body_past_the_limit_is_refused_by_its_length),
		cmocka_unit_test(a_caller_that_leaves_is_told_before_any_answer),
		cmocka_unit_test(a_leaving_listener_announces_the_close),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
