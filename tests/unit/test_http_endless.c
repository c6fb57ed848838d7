/* Bytes of a server that are no answer and come without end, by the client of the own interface. */
#include "cw_http_client.h"
#include "endless_server.h"
#include "unit.h"

#include <unistd.h>

#define TEST_SECONDS 10 /* ends a test that hangs */
#define TOTAL_MS     3000
#define LATEST_MS    2000 /* until the call has failed, on a busy machine */

/* Guards against an endless answer that counts as a crash of its server under the request. */
static void endless_interim_answers_are_given_up_and_no_crash(void **state)
{
	struct endless_server server = {.first = "", .repeat = "HTTP/1.1 102 Processing\r\n\r\n"};
	struct cw_http_call call = {
		.method = "GET",
		.address = server.address,
		.path = "/",
		.connect_ms = 1000,
		.total_ms = TOTAL_MS,
	};
	struct cw_http_answer answer;
	enum cw_status status;

	alarm(TEST_SECONDS);
	cw_http_open();
	endless_server_start(&server);
	status = cw_http_perform(&call, &answer, NULL);
	print_message("%.0f ms\n", answer.total_ms);
	assert_int_equal(status, CW_UNKNOWN);
	assert_false(answer.is_closed_by_peer);
	assert_true(answer.total_ms <= LATEST_MS);
	cw_http_answer_clear(&answer);
	endless_server_stop(&server);
	assert_true(server.written <= ENDLESS_BYTES_MAX);
	cw_http_close();
	alarm(0);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(endless_interim_answers_are_given_up_and_no_crash),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
