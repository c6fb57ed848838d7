#include "client_internal.h"

#include <errno.h>
#include <string.h>
#include <sys/queue.h>
#include <sys/socket.h>

#define IDLE_MARGIN_MS	 400 /* closed this much before the server's own limit */
#define LAST_TURN_MS	 1   /* one turn of the loop */
#define IDLE_PER_ADDRESS 32

static void on_sweep(uv_timer_t *timer);
static void free_address(gpointer data);
static struct connection *take_idle(struct address *address, uint64_t now_ms, int64_t reuse_ms);
static int is_quiet(struct connection *connection);
static int was_reset(struct connection *connection);
static void start_write(struct connection *connection);
static void on_connect(uv_connect_t *connect, int status);
static void on_written(uv_write_t *write, int status);
static void on_read(uv_stream_t *stream, ssize_t size, const uv_buf_t *buffer);
static void on_timer(uv_timer_t *timer);
static void on_timer_closed(uv_handle_t *handle);
static void on_closed(uv_handle_t *handle);
static void fail(struct cw_exchange *exchange, enum cw_flow_failure failure);
static void complete(struct connection *connection, int extra);
static void release(struct cw_exchange *exchange);
static void rearm(struct cw_exchange *exchange);
static int on_begin(http_parser *parser);
static int on_name(http_parser *parser, const char *data, size_t size);
static int on_value(http_parser *parser, const char *data, size_t size);
static int on_headers(http_parser *parser);
static int on_body(http_parser *parser, const char *data, size_t size);
static int on_complete(http_parser *parser);

static const http_parser_settings parser_settings = {
	.on_message_begin = on_begin,
	.on_header_field = on_name,
	.on_header_value = on_value,
	.on_headers_complete = on_headers,
	.on_body = on_body,
	.on_message_complete = on_complete,
};

struct cw_client *cw_client_create(uv_loop_t *loop)
{
	struct cw_client *client = g_new0(struct cw_client, 1);

	client->loop = loop;
	client->addresses = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, free_address);
	TAILQ_INIT(&client->exchanges);
	TAILQ_INIT(&client->probes);
	uv_timer_init(loop, &client->sweep);
	client->sweep.data = client;
	uv_timer_start(&client->sweep, on_sweep, 1000, 1000);
	return client;
}

void cw_client_destroy(struct cw_client *client)
{
	struct cw_exchange *exchange;
	struct probe *probe;
	GHashTableIter iter;
	gpointer value;

	if (!client)
		return;
	while ((exchange = TAILQ_FIRST(&client->exchanges)))
		cw_exchange_cancel(exchange);
	while ((probe = TAILQ_FIRST(&client->probes))) {
		flow_close_connection(probe->connection);
		flow_probe_end(probe);
	}
	g_hash_table_iter_init(&iter, client->addresses);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		cw_client_forget(client, ((struct address *)value)->text);
	uv_close((uv_handle_t *)&client->sweep, NULL);
	uv_run(client->loop, UV_RUN_NOWAIT);
	g_hash_table_destroy(client->addresses);
	g_free(client);
}

struct cw_exchange *cw_client_send(struct cw_client *client,
				   const struct cw_exchange_request *request,
				   const struct cw_exchange_ops *ops, void *context)
{
	struct address *address = flow_find_address(client, request->address);
	struct cw_exchange *exchange = g_new0(struct cw_exchange, 1);
	struct connection *connection =
		take_idle(address, uv_now(client->loop), request->reuse_idle_ms);

	exchange->client = client;
	exchange->ops = ops;
	exchange->context = context;
	exchange->answer = cw_message_create();
	exchange->echo_name = g_strdup(request->echo_name);
	exchange->echo_value = g_strdup(request->echo_value);
	exchange->is_head = request->is_head;
	exchange->silence_ms = request->silence_ms;
	uv_timer_init(client->loop, &exchange->timer);
	exchange->timer.data = exchange;
	TAILQ_INSERT_TAIL(&client->exchanges, exchange, link);
	if (!connection)
		connection = flow_open_connection(client, address);
	connection->exchange = exchange;
	connection->bytes = request->bytes;
	exchange->connection = connection;
	http_parser_init(&connection->parser, HTTP_RESPONSE);
	connection->parser.data = connection;
	if (connection->connected)
		start_write(connection);
	else
		uv_timer_start(&exchange->timer, on_timer, (uint64_t)request->connect_ms, 0);
	return exchange;
}

void cw_exchange_cancel(struct cw_exchange *exchange)
{
	struct connection *connection = exchange->connection;

	if (connection) {
		connection->exchange = NULL;
		flow_close_connection(connection);
	}
	release(exchange);
}

int cw_exchange_is_sent(const struct cw_exchange *exchange)
{
	return exchange->sent;
}

void cw_exchange_pause(struct cw_exchange *exchange, int paused)
{
	uv_stream_t *stream = (uv_stream_t *)&exchange->connection->tcp;

	if (paused) {
		uv_read_stop(stream);
		uv_timer_stop(&exchange->timer);
	} else {
		uv_read_start(stream, flow_buffer, on_read);
		rearm(exchange);
	}
}

void cw_exchange_set_silence(struct cw_exchange *exchange, int64_t silence_ms)
{
	exchange->silence_ms = silence_ms;
	rearm(exchange);
}

void cw_client_forget(struct cw_client *client, const char *text)
{
	struct address *address = g_hash_table_lookup(client->addresses, text);
	struct connection *connection;

	while (address && (connection = TAILQ_FIRST(&address->idle)))
		flow_close_connection(connection);
}

uint64_t cw_client_opened(const struct cw_client *client)
{
	return client->opened;
}

static void on_sweep(uv_timer_t *timer)
{
	struct cw_client *client = timer->data;
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

static void free_address(gpointer data)
{
	g_free(data);
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

/* The connection used last: the others may then idle out. */
static struct connection *take_idle(struct address *address, uint64_t now_ms, int64_t reuse_ms)
{
	struct connection *connection;

	while ((connection = TAILQ_FIRST(&address->idle))) {
		int64_t idle_ms = (int64_t)(now_ms - connection->idle_since_ms);

		if (idle_ms >= reuse_ms)
			return NULL;
		if (idle_ms >= connection->idle_limit_ms || !is_quiet(connection)) {
			flow_close_connection(connection);
			continue;
		}
		TAILQ_REMOVE(&address->idle, connection, link);
		address->idle_count--;
		connection->idle_since_ms = 0;
		return connection;
	}
	return NULL;
}

struct connection *flow_open_connection(struct cw_client *client, struct address *address)
{
	struct connection *connection = g_new0(struct connection, 1);
	struct sockaddr_in where;

	connection->client = client;
	connection->address = address;
	uv_tcp_init(client->loop, &connection->tcp);
	connection->tcp.data = connection;
	connection->connect.data = connection;
	connection->write.data = connection;
	client->opened++;
	/* A bad address never connects: the exchange then ends by its connect limit, unsent. */
	if (cw_flow_address(address->text, &where) == CW_OK)
		uv_tcp_connect(&connection->connect, &connection->tcp,
			       (const struct sockaddr *)&where, on_connect);
	return connection;
}

/*
 * The server may have closed the connection, or sent more than it should, while it lay idle: a
 * request sent then is lost, and one that isn't idempotent can't be sent again.
 */
static int is_quiet(struct connection *connection)
{
	char byte;
	uv_os_fd_t fd;

	if (uv_fileno((uv_handle_t *)&connection->tcp, &fd))
		return 0;
	return recv(fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT) < 0 &&
	       (errno == EAGAIN || errno == EWOULDBLOCK);
}

/*
 * libuv reports a hang-up that follows a short read as the stream's end without reading once more,
 * so a reset looks like an orderly close, and an answer without a length looks complete though it
 * was cut. The socket itself still knows.
 */
static int was_reset(struct connection *connection)
{
	char byte;
	uv_os_fd_t fd;

	if (uv_fileno((uv_handle_t *)&connection->tcp, &fd))
		return 1;
	return recv(fd, &byte, 1, MSG_DONTWAIT) != 0;
}

static void start_write(struct connection *connection)
{
	uv_buf_t buffer = uv_buf_init(connection->bytes->str, (unsigned int)connection->bytes->len);

	connection->exchange->sent = 1;
	connection->writing = 1;
	rearm(connection->exchange);
	if (uv_write(&connection->write, (uv_stream_t *)&connection->tcp, &buffer, 1, on_written))
		connection->writing = 0;
}

static void on_connect(uv_connect_t *connect, int status)
{
	struct connection *connection = connect->data;

	if (connection->closed)
		return;
	if (status < 0) {
		int is_answered = status == UV_ECONNREFUSED || status == UV_ECONNRESET;

		if (connection->probe)
			flow_probe_told(connection->probe, is_answered);
		else
			fail(connection->exchange, is_answered ? CW_FLOW_REFUSED : CW_FLOW_UNSENT);
		return;
	}
	connection->connected = 1;
	flow_tune_socket(&connection->tcp);
	uv_read_start((uv_stream_t *)&connection->tcp, flow_buffer, on_read);
	if (connection->probe)
		flow_probe_told(connection->probe, 1);
	else
		start_write(connection);
}

void flow_keep(struct connection *connection)
{
	struct address *address = connection->address;

	connection->idle_since_ms = uv_now(connection->client->loop);
	TAILQ_INSERT_HEAD(&address->idle, connection, link);
	address->idle_count++;
}

static void on_written(uv_write_t *write, int status)
{
	struct connection *connection = write->data;

	connection->writing = 0;
	g_string_free(connection->bytes, TRUE);
	connection->bytes = NULL;
	if (connection->closed || status >= 0)
		return;
	if (connection->exchange)
		fail(connection->exchange, CW_FLOW_BROKEN);
	else
		flow_close_connection(connection);
}

static void on_read(uv_stream_t *stream, ssize_t size, const uv_buf_t *buffer)
{
	struct connection *connection = stream->data;
	size_t used = 0;

	if (size == 0)
		return;
	if (!connection->exchange) {
		/* The end of an idle connection, or bytes that belong to no request. */
		flow_close_connection(connection);
		return;
	}
	if (size < 0 && (size != UV_EOF || was_reset(connection))) {
		fail(connection->exchange, CW_FLOW_BROKEN);
		return;
	}
	rearm(connection->exchange);
	used = http_parser_execute(&connection->parser, &parser_settings, buffer->base,
				   size < 0 ? 0 : (size_t)size);
	if (!connection->exchange)
		return;
	if (connection->complete) {
		complete(connection, size < 0 || used < (size_t)size);
		return;
	}
	if (size < 0)
		fail(connection->exchange, CW_FLOW_BROKEN);
	else if (HTTP_PARSER_ERRNO(&connection->parser) != HPE_OK || connection->parser.upgrade)
		fail(connection->exchange, CW_FLOW_GARBLED);
}

/*
 * A loop that was held up runs its timers before it reads what came meanwhile: an answer that is
 * there would count as missing. Each limit therefore gets one more turn of the loop.
 */
int flow_needs_turn(uv_timer_t *timer, uv_timer_cb callback, int *had_turn)
{
	if (*had_turn)
		return 0;
	*had_turn = 1;
	uv_timer_start(timer, callback, LAST_TURN_MS, 0);
	return 1;
}

static void on_timer(uv_timer_t *timer)
{
	struct cw_exchange *exchange = timer->data;

	if (!flow_needs_turn(timer, on_timer, &exchange->had_turn))
		fail(exchange, exchange->sent ? CW_FLOW_SILENT : CW_FLOW_UNSENT);
}

static void on_timer_closed(uv_handle_t *handle)
{
	struct cw_exchange *exchange = handle->data;

	g_free(exchange->echo_name);
	g_free(exchange->echo_value);
	g_free(exchange);
}

static void on_closed(uv_handle_t *handle)
{
	struct connection *connection = handle->data;

	if (connection->bytes)
		g_string_free(connection->bytes, TRUE);
	g_free(connection);
}

void flow_close_connection(struct connection *connection)
{
	if (connection->closed)
		return;
	connection->closed = 1;
	if (connection->idle_since_ms && !connection->exchange) {
		TAILQ_REMOVE(&connection->address->idle, connection, link);
		connection->address->idle_count--;
		connection->idle_since_ms = 0;
	}
	uv_close((uv_handle_t *)&connection->tcp, on_closed);
}

static void fail(struct cw_exchange *exchange, enum cw_flow_failure failure)
{
	const struct cw_exchange_ops *ops = exchange->ops;
	void *context = exchange->context;

	cw_exchange_cancel(exchange);
	ops->failed(context, failure);
}

static void complete(struct connection *connection, int extra)
{
	struct cw_exchange *exchange = connection->exchange;
	const struct cw_exchange_ops *ops = exchange->ops;
	void *context = exchange->context;
	struct address *address = connection->address;

	connection->complete = 0;
	connection->exchange = NULL;
	exchange->connection = NULL;
	release(exchange);
	if (extra || !connection->reusable || connection->writing ||
	    address->idle_count >= IDLE_PER_ADDRESS) {
		flow_close_connection(connection);
	} else {
		flow_keep(connection);
		uv_read_start((uv_stream_t *)&connection->tcp, flow_buffer, on_read);
	}
	ops->end(context);
}

/* The memory goes with the timer's handle. */
static void release(struct cw_exchange *exchange)
{
	TAILQ_REMOVE(&exchange->client->exchanges, exchange, link);
	cw_message_destroy(exchange->answer);
	exchange->answer = NULL;
	exchange->connection = NULL;
	uv_close((uv_handle_t *)&exchange->timer, on_timer_closed);
}

static void rearm(struct cw_exchange *exchange)
{
	exchange->had_turn = 0;
	if (exchange->silence_ms > 0)
		uv_timer_start(&exchange->timer, on_timer, (uint64_t)exchange->silence_ms, 0);
	else
		uv_timer_stop(&exchange->timer);
}

static int on_begin(http_parser *parser)
{
	struct connection *connection = parser->data;

	cw_message_clear(connection->exchange->answer);
	return 0;
}

static int on_name(http_parser *parser, const char *data, size_t size)
{
	struct connection *connection = parser->data;

	cw_message_add_name(connection->exchange->answer, data, size);
	return 0;
}

static int on_value(http_parser *parser, const char *data, size_t size)
{
	struct connection *connection = parser->data;

	cw_message_add_value(connection->exchange->answer, data, size);
	return 0;
}

static int on_headers(http_parser *parser)
{
	struct connection *connection = parser->data;
	struct cw_exchange *exchange = connection->exchange;
	const char *echo;
	const char *keep;

	cw_message_seal(exchange->answer);
	exchange->answer->status = parser->status_code;
	if (parser->status_code < 200)
		return 0;
	keep = cw_message_find(exchange->answer, "Keep-Alive");
	keep = keep ? strstr(keep, "timeout=") : NULL;
	connection->idle_limit_ms = IDLE_MS_UNTOLD;
	if (keep)
		connection->idle_limit_ms =
			g_ascii_strtoll(keep + strlen("timeout="), NULL, 10) * 1000 -
			IDLE_MARGIN_MS;
	echo = exchange->echo_name ? cw_message_find(exchange->answer, exchange->echo_name) : NULL;
	exchange->foreign = echo && exchange->echo_value && strcmp(echo, exchange->echo_value) != 0;
	if (!exchange->foreign)
		exchange->ops->head(exchange->context, exchange->answer);
	if (!connection->exchange)
		return -1;
	return exchange->is_head && !exchange->foreign;
}

static int on_body(http_parser *parser, const char *data, size_t size)
{
	struct connection *connection = parser->data;
	struct cw_exchange *exchange = connection->exchange;

	if (!exchange->foreign)
		exchange->ops->data(exchange->context, data, size);
	return connection->exchange ? 0 : -1;
}

static int on_complete(http_parser *parser)
{
	struct connection *connection = parser->data;

	if (parser->status_code < 200 || connection->exchange->foreign)
		return 0;
	connection->complete = 1;
	connection->reusable = http_should_keep_alive(parser);
	http_parser_pause(parser, 1);
	return 0;
}
