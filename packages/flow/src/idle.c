/* Idle connections to servers, by address: which of them a request may be sent on. */
#include "client_internal.h"

#include <errno.h>
#include <sys/socket.h>

#define CARRIED_MAX 256 /* newest requests that a connection remembers, 8 bytes each */

static struct connection *find_idle_connection(struct cw_client *client, struct address *address,
					       int64_t reuse_ms, uint64_t request_key);
static int has_carried(const struct connection *connection, uint64_t request_key);
static int has_no_input(struct connection *connection);

int cw_client_may_reuse(const struct cw_client *client, const char *text, int64_t reuse_idle_ms)
{
	const struct address *address = g_hash_table_lookup(client->addresses, text);
	const struct connection *connection = address ? TAILQ_FIRST(&address->idle) : NULL;
	int64_t idle_ms;

	if (!connection)
		return 0;
	idle_ms = (int64_t)(uv_now(client->loop) - connection->idle_since_ms);
	return idle_ms < MIN(reuse_idle_ms, connection->idle_limit_ms);
}

int cw_client_has_idle(struct cw_client *client, const char *text, int64_t reuse_idle_ms,
		       uint64_t request_key)
{
	struct address *address = g_hash_table_lookup(client->addresses, text);

	return address && find_idle_connection(client, address, reuse_idle_ms, request_key);
}

void cw_client_close_idle(struct cw_client *client, const char *text)
{
	struct address *address = g_hash_table_lookup(client->addresses, text);
	struct connection *connection;

	while (address && (connection = TAILQ_FIRST(&address->idle)))
		flow_close_connection(connection);
}

struct address *flow_find_address(struct cw_client *client, const char *text)
{
	struct address *address = g_hash_table_lookup(client->addresses, text);

	if (address)
		return address;
	address = g_new0(struct address, 1);
	g_strlcpy(address->text, text, sizeof(address->text));
	TAILQ_INIT(&address->idle);
	g_hash_table_insert(client->addresses, address->text, address);
	return address;
}

void flow_keep_idle(struct connection *connection)
{
	struct address *address = connection->address;

	connection->idle_since_ms = uv_now(connection->client->loop);
	TAILQ_INSERT_HEAD(&address->idle, connection, link);
	address->idle_count++;
}

struct connection *flow_take_idle(struct cw_client *client, struct address *address,
				  const struct cw_exchange_request *request)
{
	struct connection *connection =
		find_idle_connection(client, address, request->reuse_idle_ms, request->request_key);

	if (!connection)
		return NULL;
	TAILQ_REMOVE(&address->idle, connection, link);
	address->idle_count--;
	connection->idle_since_ms = 0;
	return connection;
}

void flow_note_carried(struct connection *connection, uint64_t request_key)
{
	if (!request_key)
		return;
	if (!connection->carried)
		connection->carried = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	if (connection->carried->len < CARRIED_MAX)
		g_array_append_val(connection->carried, request_key);
	else
		g_array_index(connection->carried, uint64_t, connection->carried_oldest) =
			request_key;
	connection->carried_oldest = (connection->carried_oldest + 1) % CARRIED_MAX;
}

void flow_close_longest_idle(struct cw_client *client)
{
	struct connection *longest = NULL;
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, client->addresses);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct address *address = value;
		struct connection *last = TAILQ_LAST(&address->idle, connection_list);

		if (last && (!longest || last->idle_since_ms < longest->idle_since_ms))
			longest = last;
	}
	if (longest)
		flow_close_connection(longest);
}

void flow_close_expired(struct cw_client *client)
{
	uint64_t now_ms = uv_now(client->loop);
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, client->addresses);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct address *address = value;
		struct connection *connection = TAILQ_FIRST(&address->idle);

		while (connection) {
			struct connection *next = TAILQ_NEXT(connection, link);

			if ((int64_t)(now_ms - connection->idle_since_ms) >=
			    connection->idle_limit_ms)
				flow_close_connection(connection);
			connection = next;
		}
	}
}

/* The most recently used connection, so that surplus connections reach their idle timeout. */
static struct connection *find_idle_connection(struct cw_client *client, struct address *address,
					       int64_t reuse_ms, uint64_t request_key)
{
	struct connection *connection = TAILQ_FIRST(&address->idle);

	while (connection) {
		struct connection *next = TAILQ_NEXT(connection, link);
		int64_t idle_ms = (int64_t)(uv_now(client->loop) - connection->idle_since_ms);

		if (idle_ms >= reuse_ms)
			return NULL;
		if (idle_ms >= connection->idle_limit_ms || !has_no_input(connection))
			flow_close_connection(connection);
		else if (has_carried(connection, request_key))
			client->passed_over_count++;
		else
			return connection;
		connection = next;
	}
	return NULL;
}

/*
 * A server may repeat an answer late. The echoed id distinguishes it from the answers to other
 * requests, but not from that of a later run of the same request.
 */
static int has_carried(const struct connection *connection, uint64_t request_key)
{
	for (guint i = 0; request_key && connection->carried && i < connection->carried->len; i++)
		if (g_array_index(connection->carried, uint64_t, i) == request_key)
			return 1;
	return 0;
}

/*
 * The server may have closed the connection, or sent unexpected bytes, while the connection was
 * idle. A request sent on such a connection is lost, and is not retried if it is not idempotent.
 */
static int has_no_input(struct connection *connection)
{
	char byte;
	uv_os_fd_t fd;

	if (uv_fileno((uv_handle_t *)&connection->tcp, &fd))
		return 0;
	return recv(fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT) < 0 &&
	       (errno == EAGAIN || errno == EWOULDBLOCK);
}
