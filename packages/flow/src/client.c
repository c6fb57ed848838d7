#include "client_internal.h"

#include <string.h>
#include <sys/queue.h>
#include <sys/socket.h>

#define IDLE_SAFETY_MARGIN_MS 400   /* closes idle connections this long before the server does */
#define FINAL_ITERATION_MS    1	    /* runs after the next poll for input */
#define SMALL_REQUEST_BYTES   32768 /* fits into any host's buffers, whenever its server reads */
#define MAX_IDLE_PER_ADDRESS  32
#define OTHER_HEADS_MAX	      16 /* before the answer's own head: a server that sends more is broken */

static int was_reset(struct connection *connection);
static void on_sweep(uv_timer_t *timer);
static void start_write(struct connection *connection);
static void on_connect(uv_connect_t *connect, int status);
static void on_written(uv_write_t *write, int status);
static void on_read(uv_stream_t *stream, ssize_t size, const uv_buf_t *buffer);
static void on_timer(uv_timer_t *timer);
static int extend_timer(struct cw_exchange *exchange);
static void on_timer_closed(uv_handle_t *handle);
static void on_closed(uv_handle_t *handle);
static void fail_exchange(struct cw_exchange *exchange, enum cw_flow_failure failure);
static void finish_exchange(struct connection *connection, int has_extra_bytes);
static void free_exchange(struct cw_exchange *exchange);
static void restart_timer(struct cw_exchange *exchange);
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
	client->addresses = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
	TAILQ_INIT(&client->exchanges);
	TAILQ_INIT(&client->probes);
	uv_timer_init(loop, &client->sweep_timer);
	client->sweep_timer.data = client;
	uv_timer_start(&client->sweep_timer, on_sweep, 1000, 1000);
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
		flow_probe_destroy(probe);
	}
	g_hash_table_iter_init(&iter, client->addresses);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		cw_client_close_idle(client, ((struct address *)value)->text);
	uv_close((uv_handle_t *)&client->sweep_timer, NULL);
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
	struct connection *connection = flow_take_idle(client, address, request);

	exchange->client = client;
	exchange->ops = ops;
	exchange->context = context;
	exchange->answer = cw_message_create();
	exchange->echo_name = g_strdup(request->echo_name);
	exchange->echo_value = g_strdup(request->echo_value);
	exchange->is_head = request->is_head;
	exchange->read_timeout_ms = request->read_timeout_ms;
	uv_timer_init(client->loop, &exchange->timer);
	exchange->timer.data = exchange;
	TAILQ_INSERT_TAIL(&client->exchanges, exchange, link);
	client->busy_count++;
	if (connection)
		client->reused_count++;
	else
		connection = flow_open_connection(client, address);
	connection->uses++;
	flow_note_carried(connection, request->request_key);
	connection->exchange = exchange;
	connection->bytes = request->bytes;
	exchange->connection = connection;
	http_parser_init(&connection->parser, HTTP_RESPONSE);
	connection->parser.data = connection;
	if (connection->is_connected)
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
	free_exchange(exchange);
}

int cw_exchange_is_sent(const struct cw_exchange *exchange)
{
	return exchange->is_sent;
}

struct cw_connection_use cw_exchange_connection_use(const struct cw_exchange *exchange)
{
	const struct connection *connection = exchange->connection;

	return (struct cw_connection_use){.connection = connection->number,
					  .use = connection->uses};
}

void cw_exchange_pause(struct cw_exchange *exchange, int paused)
{
	uv_stream_t *stream = (uv_stream_t *)&exchange->connection->tcp;

	if (paused) {
		uv_read_stop(stream);
		uv_timer_stop(&exchange->timer);
	} else {
		uv_read_start(stream, flow_provide_buffer, on_read);
		restart_timer(exchange);
	}
}

void cw_exchange_set_ops(struct cw_exchange *exchange, const struct cw_exchange_ops *ops,
			 void *context)
{
	exchange->ops = ops;
	exchange->context = context;
}

void cw_exchange_set_read_timeout(struct cw_exchange *exchange, int64_t read_timeout_ms)
{
	exchange->read_timeout_ms = read_timeout_ms;
	restart_timer(exchange);
}

void cw_client_set_max_connections(struct cw_client *client, size_t max_connections)
{
	client->max_connections = max_connections;
}

size_t cw_client_count_busy(const struct cw_client *client)
{
	return client->busy_count;
}

size_t cw_client_count_connections(const struct cw_client *client)
{
	return client->open_count;
}

uint64_t cw_client_count_reused(const struct cw_client *client)
{
	return client->reused_count;
}

uint64_t cw_client_count_opened(const struct cw_client *client)
{
	return client->opened_count;
}

uint64_t cw_client_count_passed_over(const struct cw_client *client)
{
	return client->passed_over_count;
}

uint64_t cw_client_count_stray(const struct cw_client *client)
{
	return client->stray_count;
}

static void on_sweep(uv_timer_t *timer)
{
	flow_close_expired(timer->data);
}

struct connection *flow_open_connection(struct cw_client *client, struct address *address)
{
	struct connection *connection = g_new0(struct connection, 1);
	struct sockaddr_in socket_address;

	if (client->max_connections > 0 && client->open_count >= client->max_connections)
		flow_close_longest_idle(client);
	connection->client = client;
	connection->address = address;
	uv_tcp_init(client->loop, &connection->tcp);
	connection->tcp.data = connection;
	connection->connect.data = connection;
	connection->write.data = connection;
	connection->number = ++client->opened_count;
	client->open_count++;
	/* With an invalid address the exchange fails by its connect timeout, with nothing sent. */
	if (cw_flow_parse_address(address->text, &socket_address) == CW_OK)
		uv_tcp_connect(&connection->connect, &connection->tcp,
			       (const struct sockaddr *)&socket_address, on_connect);
	return connection;
}

/*
 * libuv reports a hang-up after a short read as the end of the stream without another read. A reset
 * then looks like an orderly close, and a truncated answer without a length looks complete. Reading
 * the socket directly tells the two apart.
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

	connection->exchange->is_sent = 1;
	connection->is_writing = 1;
	if (connection->bytes->len > SMALL_REQUEST_BYTES) {
		connection->may_stall = 1;
		flow_limit_unacknowledged(&connection->tcp, 0);
	}
	restart_timer(connection->exchange);
	if (uv_write(&connection->write, (uv_stream_t *)&connection->tcp, &buffer, 1, on_written))
		connection->is_writing = 0;
}

static void on_connect(uv_connect_t *connect, int status)
{
	struct connection *connection = connect->data;

	if (connection->is_closed)
		return;
	if (status < 0) {
		int has_host_answered = status == UV_ECONNREFUSED || status == UV_ECONNRESET;

		if (connection->probe)
			flow_probe_report(connection->probe,
					  has_host_answered ? CW_PROBE_REFUSED : CW_PROBE_SILENT);
		else
			fail_exchange(connection->exchange, has_host_answered
								    ? CW_FLOW_CONNECTION_REFUSED
								    : CW_FLOW_NO_CONNECTION);
		return;
	}
	connection->is_connected = 1;
	flow_tune_socket(&connection->tcp);
	flow_limit_unacknowledged(&connection->tcp, FLOW_USER_TIMEOUT_MS);
	uv_read_start((uv_stream_t *)&connection->tcp, flow_provide_buffer, on_read);
	if (connection->probe)
		flow_probe_report(connection->probe, CW_PROBE_OPENED);
	else
		start_write(connection);
}

static void on_written(uv_write_t *write, int status)
{
	struct connection *connection = write->data;

	connection->is_writing = 0;
	g_string_free(connection->bytes, TRUE);
	connection->bytes = NULL;
	if (connection->is_closed || status >= 0)
		return;
	if (connection->exchange)
		fail_exchange(connection->exchange, CW_FLOW_CONNECTION_LOST);
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
		/* An idle connection was closed, or received bytes that belong to no request. */
		flow_close_connection(connection);
		return;
	}
	if (size < 0 && (size != UV_EOF || was_reset(connection))) {
		fail_exchange(connection->exchange, CW_FLOW_CONNECTION_LOST);
		return;
	}
	/* Bytes that are no answer, a few at a time, must not keep a request waiting. */
	if (connection->exchange->has_head)
		restart_timer(connection->exchange);
	used = flow_fields_parse(&connection->fields, &connection->parser, &parser_settings,
				 buffer->base, size < 0 ? 0 : (size_t)size);
	if (!connection->exchange)
		return;
	if (connection->is_answer_complete) {
		finish_exchange(connection, size < 0 || used < (size_t)size);
		return;
	}
	if (size < 0)
		fail_exchange(connection->exchange, CW_FLOW_CONNECTION_LOST);
	else if (HTTP_PARSER_ERRNO(&connection->parser) != HPE_OK || connection->parser.upgrade)
		fail_exchange(connection->exchange, CW_FLOW_MALFORMED);
}

/*
 * After a delay the loop runs its timers before it reads pending input, so an answer that arrived
 * in time would count as timed out. Each timeout therefore takes effect one loop iteration later.
 */
int flow_start_final_iteration(uv_timer_t *timer, uv_timer_cb callback, int *had_final_iteration)
{
	if (*had_final_iteration)
		return 0;
	*had_final_iteration = 1;
	uv_timer_start(timer, callback, FINAL_ITERATION_MS, 0);
	return 1;
}

static void on_timer(uv_timer_t *timer)
{
	struct cw_exchange *exchange = timer->data;

	if (flow_start_final_iteration(timer, on_timer, &exchange->had_final_iteration) ||
	    extend_timer(exchange))
		return;
	fail_exchange(exchange, exchange->is_sent ? CW_FLOW_TIMED_OUT : CW_FLOW_NO_CONNECTION);
}

static int extend_timer(struct cw_exchange *exchange)
{
	int64_t wait_ms;

	if (!exchange->is_sent || !exchange->ops->silent)
		return 0;
	wait_ms = exchange->ops->silent(exchange->context);
	if (wait_ms <= 0)
		return 0;
	exchange->had_final_iteration = 0;
	uv_timer_start(&exchange->timer, on_timer, (uint64_t)wait_ms, 0);
	return 1;
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
	if (connection->carried)
		g_array_unref(connection->carried);
	g_free(connection);
}

void flow_close_connection(struct connection *connection)
{
	if (connection->is_closed)
		return;
	connection->is_closed = 1;
	connection->client->open_count--;
	if (connection->idle_since_ms && !connection->exchange) {
		TAILQ_REMOVE(&connection->address->idle, connection, link);
		connection->address->idle_count--;
		connection->idle_since_ms = 0;
	}
	uv_close((uv_handle_t *)&connection->tcp, on_closed);
}

static void fail_exchange(struct cw_exchange *exchange, enum cw_flow_failure failure)
{
	const struct cw_exchange_ops *ops = exchange->ops;
	void *context = exchange->context;

	cw_exchange_cancel(exchange);
	ops->failed(context, failure);
}

static void finish_exchange(struct connection *connection, int has_extra_bytes)
{
	struct cw_exchange *exchange = connection->exchange;
	const struct cw_exchange_ops *ops = exchange->ops;
	void *context = exchange->context;
	struct address *address = connection->address;

	connection->is_answer_complete = 0;
	connection->exchange = NULL;
	exchange->connection = NULL;
	free_exchange(exchange);
	if (connection->may_stall)
		flow_limit_unacknowledged(&connection->tcp, FLOW_USER_TIMEOUT_MS);
	connection->may_stall = 0;
	if (has_extra_bytes || !connection->is_reusable || connection->is_writing ||
	    address->idle_count >= MAX_IDLE_PER_ADDRESS) {
		flow_close_connection(connection);
	} else {
		flow_keep_idle(connection);
		uv_read_start((uv_stream_t *)&connection->tcp, flow_provide_buffer, on_read);
	}
	ops->end(context);
}

/* The memory is freed once the timer handle is closed. */
static void free_exchange(struct cw_exchange *exchange)
{
	TAILQ_REMOVE(&exchange->client->exchanges, exchange, link);
	exchange->client->busy_count--;
	cw_message_destroy(exchange->answer);
	exchange->answer = NULL;
	exchange->connection = NULL;
	uv_close((uv_handle_t *)&exchange->timer, on_timer_closed);
}

static void restart_timer(struct cw_exchange *exchange)
{
	exchange->had_final_iteration = 0;
	if (exchange->read_timeout_ms > 0)
		uv_timer_start(&exchange->timer, on_timer, (uint64_t)exchange->read_timeout_ms, 0);
	else
		uv_timer_stop(&exchange->timer);
}

static int on_begin(http_parser *parser)
{
	struct connection *connection = parser->data;

	cw_message_clear(connection->exchange->answer);
	flow_fields_begin(&connection->fields);
	return 0;
}

static int on_name(http_parser *parser, const char *data, size_t size)
{
	struct connection *connection = parser->data;

	flow_fields_add_name(&connection->fields, connection->exchange->answer, data, size);
	return 0;
}

static int on_value(http_parser *parser, const char *data, size_t size)
{
	struct connection *connection = parser->data;

	return !flow_fields_add_value(&connection->fields, connection->exchange->answer, data,
				      size);
}

static int on_headers(http_parser *parser)
{
	struct connection *connection = parser->data;
	struct cw_exchange *exchange = connection->exchange;
	const char *echoed_value;
	const char *keep_alive;

	if (!flow_fields_end(&connection->fields, exchange->answer))
		return -1;
	exchange->answer->status = parser->status_code;
	if (parser->status_code < 200)
		return ++exchange->other_heads > OTHER_HEADS_MAX ? -1 : 0;
	keep_alive = cw_message_find(exchange->answer, "Keep-Alive");
	keep_alive = keep_alive ? strstr(keep_alive, "timeout=") : NULL;
	connection->idle_limit_ms = DEFAULT_IDLE_TIMEOUT_MS;
	if (keep_alive)
		connection->idle_limit_ms =
			g_ascii_strtoll(keep_alive + strlen("timeout="), NULL, 10) * 1000 -
			IDLE_SAFETY_MARGIN_MS;
	echoed_value =
		exchange->echo_name ? cw_message_find(exchange->answer, exchange->echo_name) : NULL;
	exchange->is_mismatched = echoed_value && exchange->echo_value &&
				  strcmp(echoed_value, exchange->echo_value) != 0;
	if (exchange->is_mismatched) {
		exchange->client->stray_count++;
		if (++exchange->other_heads > OTHER_HEADS_MAX)
			return -1;
	} else {
		exchange->has_head = 1;
		exchange->ops->head(exchange->context, exchange->answer);
	}
	if (!connection->exchange)
		return -1;
	return exchange->is_head && !exchange->is_mismatched;
}

static int on_body(http_parser *parser, const char *data, size_t size)
{
	struct connection *connection = parser->data;
	struct cw_exchange *exchange = connection->exchange;

	if (!exchange->is_mismatched)
		exchange->ops->data(exchange->context, data, size);
	return connection->exchange ? 0 : -1;
}

static int on_complete(http_parser *parser)
{
	struct connection *connection = parser->data;

	if (parser->status_code < 200 || connection->exchange->is_mismatched)
		return 0;
	connection->is_answer_complete = 1;
	connection->is_reusable = http_should_keep_alive(parser);
	http_parser_pause(parser, 1);
	return 0;
}
