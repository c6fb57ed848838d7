/* Bytes of a server that are no answer and come without end, whole or a few at a time. */
#include "endless_server.h"
#include "flow_bed.h"
#include "unit.h"

#include <string.h>
#include <time.h>

#define READ_TIMEOUT_MS 300
#define LATEST_MS	2000 /* from the send until the exchange has failed, on a busy machine */
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

static int64_t now_ms(void)
{
	struct timespec now;

	clock_gettime(CLOCK_MONOTONIC, &now);
	return now.tv_sec * 1000 + now.tv_nsec / 1000000;
}

/* Sends a request to such a server; returns how long it took to fail. */
static int64_t send_to(const struct endless *form, struct endless_server *server,
		       struct client_fixture *fixture)
{
	int64_t began_ms, took_ms;

	server->first = form->first;
	server->repeat = form->repeat;
	endless_server_start(server);
	client_fixture_open(fixture);
	began_ms = now_ms();
	flow_bed_send(fixture, server->address, "own", READ_TIMEOUT_MS);
	took_ms = now_ms() - began_ms;
	endless_server_stop(server);
	return took_ms;
}

/* Guards against a server that is read without end, and whose request no other server gets. */
static void an_endless_answer_is_given_up_at_once(void **state)
{
	for (size_t i = 0; i < G_N_ELEMENTS(forms); i++) {
		struct endless_server server = {.piece = 0};
		struct client_fixture fixture;
		int64_t took_ms = send_to(&forms[i], &server, &fixture);

		print_message("%s: %ld ms, %zu bytes\n", forms[i].name, (long)took_ms,
			      server.written);
		assert_true(fixture.has_failed);
		assert_int_equal(fixture.failure, forms[i].failure);
		assert_true(took_ms <= LATEST_MS);
		assert_true(server.written <= ENDLESS_BYTES_MAX);
		client_fixture_close(&fixture);
	}
}

/* Guards against a request that waits for its whole time as a few bytes come now and then. */
static void an_answer_that_trickles_is_given_up_in_time(void **state)
{
	static const size_t pieces[] = {1, 8};

	for (size_t i = 0; i < 2 * G_N_ELEMENTS(forms); i++) {
		struct endless_server server = {.piece = pieces[i % 2]};
		struct client_fixture fixture;
		int64_t took_ms = send_to(&forms[i / 2], &server, &fixture);

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
