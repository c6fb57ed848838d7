/*
 * Rejection of bodies over the limit: 413 by the Content-Length, before the body is sent, or as
 * soon as a chunked body passes the limit. The caller may still be sending: closing a socket with
 * unread bytes resets the connection, and the caller would lose the answer. So its bytes are
 * discarded for a while.
 */
#include "server_internal.h"
#include "cw_timeline.h"

#include <glib.h>
#include <gnutls/gnutls.h>
#include <poll.h>
#include <stdio.h>
#include <string.h>

#define DRAIN_IDLE_MS  2000  /* without a byte: the caller does not send the body */
#define DRAIN_TOTAL_MS 10000 /* a caller that still sends by then is cut off */
#define DRAIN_POLL_MS  100
#define DRAIN_BYTES    65536 /* read at once */
#define BODY                                                                                       \
	"{\"error\":{\"code\":\"bad_request\",\"message\":\"the body is too large\","              \
	"\"run\":\"not_run\",\"retry_after_ms\":0}}"

static int connection_socket(struct MHD_Connection *connection);
static gnutls_session_t connection_session(struct MHD_Connection *connection);

int oversize_is_announced(struct MHD_Connection *connection, size_t max_body)
{
	const char *length = MHD_lookup_connection_value(connection, MHD_HEADER_KIND,
							 MHD_HTTP_HEADER_CONTENT_LENGTH);

	return length && g_ascii_strtoull(length, NULL, 10) > max_body;
}

enum MHD_Result oversize_reject(struct MHD_Connection *connection)
{
	return server_reject(connection, MHD_HTTP_CONTENT_TOO_LARGE, BODY);
}

void oversize_send_raw(struct MHD_Connection *connection)
{
	char answer[512];
	int size = snprintf(answer, sizeof(answer),
			    "HTTP/1.1 413 Content Too Large\r\nConnection: close\r\n"
			    "Content-Type: application/json\r\nContent-Length: %zu\r\n\r\n%s",
			    strlen(BODY), BODY);
	gnutls_session_t session = connection_session(connection);
	ssize_t sent;

	/* Nothing else is unsent, so the socket's buffer takes the answer whole. */
	if (session)
		sent = gnutls_record_send(session, answer, (size_t)size);
	else
		sent = send(connection_socket(connection), answer, (size_t)size, MSG_NOSIGNAL);
	if (sent != size)
		cw_event("http", "answer_unsent", "status=413 sent=%zd", sent);
}

void oversize_drain(struct MHD_Connection *connection, const int *is_stopping)
{
	gint64 now_us = g_get_monotonic_time();
	gint64 end_us = now_us + DRAIN_TOTAL_MS * 1000;
	gint64 idle_us = now_us + DRAIN_IDLE_MS * 1000;
	gnutls_session_t session = connection_session(connection);
	struct pollfd wait = {.fd = connection_socket(connection), .events = POLLIN};
	char *bytes = g_malloc(DRAIN_BYTES);

	if (session)
		gnutls_bye(session, GNUTLS_SHUT_WR);
	shutdown(wait.fd, SHUT_WR);
	while (now_us < MIN(end_us, idle_us) && !__atomic_load_n(is_stopping, __ATOMIC_RELAXED)) {
		if (poll(&wait, 1, DRAIN_POLL_MS) > 0) {
			if (recv(wait.fd, bytes, DRAIN_BYTES, MSG_DONTWAIT) <= 0)
				break;
			idle_us = g_get_monotonic_time() + DRAIN_IDLE_MS * 1000;
		}
		now_us = g_get_monotonic_time();
	}
	g_free(bytes);
}

static int connection_socket(struct MHD_Connection *connection)
{
	return MHD_get_connection_info(connection, MHD_CONNECTION_INFO_CONNECTION_FD)->connect_fd;
}

/* NULL: not encrypted. */
static gnutls_session_t connection_session(struct MHD_Connection *connection)
{
	const union MHD_ConnectionInfo *info =
		MHD_get_connection_info(connection, MHD_CONNECTION_INFO_GNUTLS_SESSION);

	return info ? info->tls_session : NULL;
}
