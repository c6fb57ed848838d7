/* What the kernel knows of a connection, and whether its peer is taken for dead. */
#include "../../packages/flow/src/flow_internal.h"
#include "unit.h"

/* Guards against a caller that reads nothing for some seconds and is taken for a dead one. */
static void a_closed_window_whose_probes_are_answered_is_no_silence(void **state)
{
	struct tcp_info info = {.tcpi_unacked = 1, .tcpi_last_ack_recv = 5000};

	assert_false(flow_shows_silence(&info));
	info.tcpi_probes = 1;
	assert_false(flow_shows_silence(&info));
}

/* Guards against callers without a path to them that are served until their deadline. */
static void bytes_that_are_not_acknowledged_are_silence(void **state)
{
	struct tcp_info info = {
		.tcpi_unacked = 1, .tcpi_retransmits = 3, .tcpi_last_ack_recv = 5000};

	assert_true(flow_shows_silence(&info));
	info.tcpi_last_ack_recv = 1000;
	assert_false(flow_shows_silence(&info));
}

/* The same behind a closed window. */
static void a_closed_window_whose_probes_are_not_answered_is_silence(void **state)
{
	struct tcp_info info = {.tcpi_probes = 2, .tcpi_last_ack_recv = 5000};

	assert_true(flow_shows_silence(&info));
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(a_closed_window_whose_probes_are_answered_is_no_silence),
		cmocka_unit_test(bytes_that_are_not_acknowledged_are_silence),
		cmocka_unit_test(a_closed_window_whose_probes_are_not_answered_is_silence),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
