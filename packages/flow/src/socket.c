#include "flow_internal.h"

#include <glib.h>
#include <linux/sockios.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <stdlib.h>
#include <string.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <time.h>

#define DATAGRAM_DELAY_MAX_MS 10000 /* more is a step of the system's clock */
#define MS_PER_S	      1000
#define NS_PER_MS	      1000000

static const char *const failure_names[] = {
	[CW_FLOW_NO_CONNECTION] = "unsent",   [CW_FLOW_CONNECTION_REFUSED] = "refused",
	[CW_FLOW_CONNECTION_LOST] = "broken", [CW_FLOW_MALFORMED] = "garbled",
	[CW_FLOW_TIMED_OUT] = "silent",
};

const char *cw_flow_failure_name(enum cw_flow_failure failure)
{
	return failure_names[failure];
}

enum cw_status cw_flow_parse_address(const char *text, struct sockaddr_in *address)
{
	char host[CW_ADDRESS_MAX];
	const char *colon = strrchr(text, ':');
	size_t size = colon ? (size_t)(colon - text) : 0;
	char *end = NULL;
	long port;

	if (!colon || size >= sizeof(host))
		return CW_INVALID;
	memcpy(host, text, size);
	host[size] = '\0';
	port = strtol(colon + 1, &end, 10);
	if (!colon[1] || *end || port < 0 || port > 65535)
		return CW_INVALID;
	return uv_ip4_addr(host, (int)port, address) ? CW_INVALID : CW_OK;
}

uint32_t cw_flow_datagram_delay_ms(uv_udp_t *socket)
{
	struct timespec arrival;
	struct timespec now;
	uv_os_fd_t fd;
	int64_t waited_ms;
	int64_t since_loop_ms;

	if (uv_fileno((uv_handle_t *)socket, &fd) || ioctl(fd, SIOCGSTAMPNS, &arrival) ||
	    clock_gettime(CLOCK_REALTIME, &now))
		return 0;
	waited_ms = (int64_t)(now.tv_sec - arrival.tv_sec) * MS_PER_S +
		    (now.tv_nsec - arrival.tv_nsec) / NS_PER_MS;
	since_loop_ms = (int64_t)(uv_hrtime() / NS_PER_MS) - (int64_t)uv_now(socket->loop);
	if (waited_ms > DATAGRAM_DELAY_MAX_MS)
		return 0;
	return (uint32_t)MAX(waited_ms - since_loop_ms, 0);
}

/* Each read is consumed before the next one starts, so one buffer serves all connections. */
void flow_provide_buffer(uv_handle_t *handle, size_t suggested, uv_buf_t *buffer)
{
	static char bytes[FLOW_READ_BUFFER_BYTES];

	*buffer = uv_buf_init(bytes, sizeof(bytes));
}

/*
 * A connection can go dead without a reset (network partition, power loss of the remote machine),
 * and an answer on such a connection never arrives. Keepalive probes and the timeout of
 * unacknowledged bytes end the connection within FLOW_USER_TIMEOUT_MS.
 */
void flow_tune_socket(uv_tcp_t *tcp)
{
	int on = 1;
	int idle = FLOW_KEEPALIVE_IDLE_S;
	int interval = FLOW_KEEPALIVE_INTERVAL_S;
	int probes = FLOW_KEEPALIVE_PROBES;
	uv_os_fd_t fd;

	uv_tcp_nodelay(tcp, 1);
	if (uv_fileno((uv_handle_t *)tcp, &fd))
		return;
	setsockopt(fd, SOL_SOCKET, SO_KEEPALIVE, &on, sizeof(on));
	setsockopt(fd, IPPROTO_TCP, TCP_KEEPIDLE, &idle, sizeof(idle));
	setsockopt(fd, IPPROTO_TCP, TCP_KEEPINTVL, &interval, sizeof(interval));
	setsockopt(fd, IPPROTO_TCP, TCP_KEEPCNT, &probes, sizeof(probes));
}

/*
 * The kernel counts a window that stays closed as unacknowledged bytes, although the peer answers
 * its probes: with this timeout a peer that reads nothing for a while looks dead.
 */
void flow_limit_unacknowledged(uv_tcp_t *tcp, int limit_ms)
{
	uv_os_fd_t fd;

	if (!uv_fileno((uv_handle_t *)tcp, &fd))
		setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &limit_ms, sizeof(limit_ms));
}

void flow_limit_unread(uv_tcp_t *tcp, size_t bytes)
{
	int size = (int)bytes;
	uv_os_fd_t fd;

	if (!uv_fileno((uv_handle_t *)tcp, &fd))
		setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &size, sizeof(size));
}

int flow_is_peer_silent(uv_tcp_t *tcp)
{
	struct tcp_info info;
	socklen_t size = sizeof(info);
	uv_os_fd_t fd;

	if (uv_fileno((uv_handle_t *)tcp, &fd) ||
	    getsockopt(fd, IPPROTO_TCP, TCP_INFO, &info, &size))
		return 0;
	return flow_shows_silence(&info);
}

int flow_is_peer_closed(uv_tcp_t *tcp)
{
	struct tcp_info info;
	socklen_t size = sizeof(info);
	uv_os_fd_t fd;

	return !uv_fileno((uv_handle_t *)tcp, &fd) &&
	       !getsockopt(fd, IPPROTO_TCP, TCP_INFO, &info, &size) &&
	       (info.tcpi_state == TCP_CLOSE_WAIT || info.tcpi_state == TCP_CLOSE);
}

/* One probe of a closed window may be on its way. */
int flow_shows_silence(const struct tcp_info *info)
{
	return info->tcpi_last_ack_recv > FLOW_USER_TIMEOUT_MS &&
	       (info->tcpi_retransmits > 0 || info->tcpi_probes > 1);
}
