/* The delay of datagrams that waited in the socket. */
#include "cw_flow.h"
#include "unit.h"

#include <glib.h>

#define DATAGRAMS_MAX 20

struct datagram_fixture {
	uv_udp_t socket;
	unsigned int received;
	uint32_t delay_ms; /* of the last datagram */
};

static void on_datagram_buffer(uv_handle_t *handle, size_t suggested, uv_buf_t *buffer)
{
	static char bytes[64];

	*buffer = uv_buf_init(bytes, sizeof(bytes));
}

static void on_datagram(uv_udp_t *socket, ssize_t size, const uv_buf_t *buffer,
			const struct sockaddr *from, unsigned int flags)
{
	struct datagram_fixture *fixture = socket->data;

	if (size <= 0)
		return;
	fixture->received++;
	fixture->delay_ms = cw_flow_datagram_delay_ms(socket);
}

/* Guards against a message that counts as new though its receiver was stopped meanwhile. */
static void a_datagram_that_waited_in_the_socket_has_a_delay(void **state)
{
	struct datagram_fixture fixture = {0};
	struct sockaddr_in address;
	int size = sizeof(address);
	uv_buf_t text = uv_buf_init("hello", 5);
	uv_loop_t loop;

	uv_loop_init(&loop);
	uv_udp_init(&loop, &fixture.socket);
	fixture.socket.data = &fixture;
	assert_int_equal(cw_flow_parse_address("127.0.0.1:0", &address), CW_OK);
	assert_int_equal(uv_udp_bind(&fixture.socket, (struct sockaddr *)&address, 0), 0);
	uv_udp_getsockname(&fixture.socket, (struct sockaddr *)&address, &size);
	uv_udp_recv_start(&fixture.socket, on_datagram_buffer, on_datagram);
	cw_flow_datagram_delay_ms(&fixture.socket);
	/* The kernel notes arrivals from some moment after the call on. */
	for (unsigned int sent = 1; fixture.delay_ms == 0 && sent <= DATAGRAMS_MAX; sent++) {
		assert_int_equal(
			uv_udp_try_send(&fixture.socket, &text, 1, (struct sockaddr *)&address), 5);
		g_usleep(60 * 1000);
		while (fixture.received < sent)
			uv_run(&loop, UV_RUN_ONCE);
	}
	/* Whole milliseconds of three clocks. */
	assert_in_range(fixture.delay_ms, 58, 10000);
	uv_close((uv_handle_t *)&fixture.socket, NULL);
	uv_run(&loop, UV_RUN_DEFAULT);
	uv_loop_close(&loop);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(a_datagram_that_waited_in_the_socket_has_a_delay),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
