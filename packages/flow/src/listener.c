#include "listener_internal.h"

#include <string.h>

#define SWEEP_INTERVAL_MS    500  /* between two checks of the timeouts of all connections */
#define LINGER_TIMEOUT_MS    1000 /* reading goes on: unread bytes would reset the connection */
#define PIPELINED_MAX_BYTES  (64 * 1024) /* reading pauses above this until the answer is sent */
#define DEFAULT_HEADER_BYTES (16 * 1024) /* until cw_listener_set_limits is called */
#define DEFAULT_BODY_BYTES   (4 * 1024 * 1024)
#define DEFAULT_HEADER_MS    5000
#define DEFAULT_IDLE_MS	     60000
#define RETRY_LATER	     "Retry-After: 1\r\n" /* s; some bodies have been sent on by then */
#define KEPT_BUFFER_BYTES    4096 /* larger output buffers are freed after an answer */

struct caller_write {
	uv_write_t request;
	struct cw_caller *caller;
	GString *bytes;
};

static void on_connection(uv_stream_t *server, int status);
static void on_sweep(uv_timer_t *timer);
static void sweep_caller(struct cw_caller *caller, uint64_t now_ms);
static int is_stalled(struct cw_caller *caller, uint64_t now_ms);
static void start_lingering(struct cw_caller *caller);
static size_t max_unwritten_bytes(const struct cw_listener *listener);
static void free_large_buffer(struct cw_caller *caller, size_t kept_bytes);
static void on_handle_closed(uv_handle_t *handle);
static void on_read(uv_stream_t *stream, ssize_t size, const uv_buf_t *buffer);
static void on_written(uv_write_t *write, int status);
static void on_caller_closed(uv_handle_t *handle);
static void on_shutdown(uv_shutdown_t *request, int status);
static void parse_requests(struct cw_caller *caller, const char *data, size_t size);
static void reject_request(struct cw_caller *caller);
static void finish_answer(struct cw_caller *caller);
static void close_caller(struct cw_caller *caller);
static void handle_disconnect(struct cw_caller *caller);

struct cw_listener *cw_listener_create(uv_loop_t *loop, const char *address,
				       const struct cw_listener_ops *ops, void *context,
				       struct cw_error *error)
{
	struct cw_listener *listener = g_new0(struct cw_listener, 1);
	struct sockaddr_in socket_address;
	int code;

	listener->loop = loop;
	listener->ops = ops;
	listener->context = context;
	listener->limits.header_bytes = DEFAULT_HEADER_BYTES;
	listener->limits.body_bytes = DEFAULT_BODY_BYTES;
	listener->limits.header_ms = DEFAULT_HEADER_MS;
	listener->limits.idle_ms = DEFAULT_IDLE_MS;
	TAILQ_INIT(&listener->callers);
	uv_tcp_init(loop, &listener->tcp);
	uv_timer_init(loop, &listener->sweep_timer);
	listener->tcp.data = listener;
	listener->sweep_timer.data = listener;
	listener->open_handles = 2;
	code = cw_flow_parse_address(address, &socket_address) == CW_OK ? 0 : UV_EINVAL;
	if (!code)
		code = uv_tcp_bind(&listener->tcp, (const struct sockaddr *)&socket_address, 0);
	if (!code)
		code = uv_listen((uv_stream_t *)&listener->tcp, CW_FLOW_BACKLOG, on_connection);
	if (!code)
		code = uv_timer_start(&listener->sweep_timer, on_sweep, SWEEP_INTERVAL_MS,
				      SWEEP_INTERVAL_MS);
	if (code) {
		cw_error_set(error, CW_UNREACHABLE, "listen", address, "%s", uv_strerror(code));
		cw_listener_destroy(listener);
		return NULL;
	}
	return listener;
}

void cw_listener_set_limits(struct cw_listener *listener, const struct cw_flow_limits *limits)
{
	listener->limits = *limits;
}

void cw_listener_start_draining(struct cw_listener *listener)
{
	listener->is_draining = 1;
}

void cw_listener_close(struct cw_listener *listener)
{
	struct cw_caller *caller = TAILQ_FIRST(&listener->callers);

	listener->is_draining = 1;
	if (!listener->is_closed) {
		listener->is_closed = 1;
		uv_close((uv_handle_t *)&listener->tcp, on_handle_closed);
	}
	while (caller) {
		struct cw_caller *next = TAILQ_NEXT(caller, link);

		if (caller->state == CALLER_READING && !caller->has_request_bytes) {
			if (caller->unwritten_bytes == 0)
				close_caller(caller);
			else
				start_lingering(caller);
		}
		caller = next;
	}
}

size_t cw_listener_unwritten_bytes(const struct cw_listener *listener)
{
	return listener->unwritten_bytes;
}

size_t cw_listener_held_bytes(const struct cw_listener *listener)
{
	return listener->held_bytes;
}

size_t cw_listener_count_connections(const struct cw_listener *listener)
{
	return listener->connection_count;
}

void cw_listener_destroy(struct cw_listener *listener)
{
	struct cw_caller *caller;

	if (!listener)
		return;
	listener->is_destroyed = 1;
	while ((caller = TAILQ_FIRST(&listener->callers)))
		close_caller(caller);
	cw_listener_close(listener);
	uv_close((uv_handle_t *)&listener->sweep_timer, on_handle_closed);
}

void cw_caller_set_request(struct cw_caller *caller, void *request)
{
	caller->request = request;
}

int cw_caller_is_listener_closed(const struct cw_caller *caller)
{
	return caller->listener->is_closed;
}

void cw_caller_send_head(struct cw_caller *caller, unsigned int status, const char *fields,
			 int64_t length)
{
	if (caller->state != CALLER_ANSWERING)
		return;
	if (caller->listener->is_draining)
		caller->keep_alive = 0;
	caller->is_chunked = length == CW_FLOW_CHUNKED;
	g_string_append_printf(caller->out, "HTTP/1.1 %u %s\r\n%s", status,
			       http_status_str((enum http_status)status), fields);
	if (caller->is_chunked)
		g_string_append(caller->out, "Transfer-Encoding: chunked\r\n");
	else if (length >= 0)
		g_string_append_printf(caller->out, "Content-Length: %" G_GINT64_FORMAT "\r\n",
				       length);
	g_string_append(caller->out, caller->keep_alive ? "\r\n" : "Connection: close\r\n\r\n");
}

void cw_caller_flush(struct cw_caller *caller)
{
	if (caller->state == CALLER_ANSWERING)
		caller_flush(caller);
}

int cw_caller_send_body(struct cw_caller *caller, const char *data, size_t size)
{
	if (caller->state != CALLER_ANSWERING || size == 0)
		return 0;
	if (caller->is_chunked)
		g_string_append_printf(caller->out, "%zx\r\n", size);
	g_string_append_len(caller->out, data, (gssize)size);
	if (caller->is_chunked)
		g_string_append(caller->out, "\r\n");
	caller_flush(caller);
	caller->is_source_paused = caller->unwritten_bytes > max_unwritten_bytes(caller->listener);
	return caller->is_source_paused;
}

void cw_caller_end_answer(struct cw_caller *caller)
{
	if (caller->state != CALLER_ANSWERING)
		return;
	if (caller->is_chunked)
		g_string_append(caller->out, "0\r\n\r\n");
	caller_flush(caller);
	if (caller->state == CALLER_ANSWERING)
		finish_answer(caller);
}

void cw_caller_abort(struct cw_caller *caller)
{
	if (caller->state != CALLER_ANSWERING)
		return;
	caller->request = NULL;
	caller_flush(caller);
	if (caller->state != CALLER_ANSWERING)
		return;
	if (caller->unwritten_bytes == 0)
		close_caller(caller);
	else
		caller->closes_after_write = 1;
}

static void on_connection(uv_stream_t *server, int status)
{
	struct cw_listener *listener = server->data;
	struct cw_caller *caller;

	if (status < 0 || listener->is_closed)
		return;
	caller = g_new0(struct cw_caller, 1);
	caller->listener = listener;
	caller->message = cw_message_create();
	caller->pipelined = g_string_sized_new(0);
	caller->out = g_string_sized_new(512);
	caller->state_since_ms = uv_now(listener->loop);
	uv_tcp_init(listener->loop, &caller->tcp);
	caller->tcp.data = caller;
	http_parser_init(&caller->parser, HTTP_REQUEST);
	caller->parser.data = caller;
	TAILQ_INSERT_TAIL(&listener->callers, caller, link);
	listener->connection_count++;
	if (uv_accept(server, (uv_stream_t *)&caller->tcp)) {
		close_caller(caller);
		return;
	}
	flow_tune_socket(&caller->tcp);
	uv_read_start((uv_stream_t *)&caller->tcp, flow_provide_buffer, on_read);
}

static void on_sweep(uv_timer_t *timer)
{
	struct cw_listener *listener = timer->data;
	struct cw_caller *caller = TAILQ_FIRST(&listener->callers);
	uint64_t now_ms = uv_now(listener->loop);

	while (caller) {
		struct cw_caller *next = TAILQ_NEXT(caller, link);

		sweep_caller(caller, now_ms);
		caller = next;
	}
}

static void sweep_caller(struct cw_caller *caller, uint64_t now_ms)
{
	const struct cw_flow_limits *limits = &caller->listener->limits;
	int64_t elapsed_ms = (int64_t)(now_ms - caller->state_since_ms);
	int is_used = caller->state == CALLER_ANSWERING || caller->unwritten_bytes > 0 ||
		      elapsed_ms < 2 * FLOW_USER_TIMEOUT_MS;

	if (is_used && flow_is_peer_silent(&caller->tcp)) {
		handle_disconnect(caller);
	} else if (caller->unwritten_bytes > 0) {
		/* A request that is being answered has a time limit of its own. */
		if (is_stalled(caller, now_ms) && !caller->request)
			close_caller(caller);
	} else if (caller->state == CALLER_LINGERING && elapsed_ms > LINGER_TIMEOUT_MS) {
		close_caller(caller);
	} else if (caller->state == CALLER_READING && caller->has_request_bytes &&
		   elapsed_ms > limits->header_ms) {
		caller->reject_status = HTTP_STATUS_REQUEST_TIMEOUT;
		caller->reject_reason = "the request was not read in time";
		reject_request(caller);
	} else if (caller->state == CALLER_READING && !caller->has_request_bytes &&
		   elapsed_ms > limits->idle_ms) {
		close_caller(caller);
	}
}

/* The caller has read nothing for as long as a connection may be idle. */
static int is_stalled(struct cw_caller *caller, uint64_t now_ms)
{
	size_t waiting = uv_stream_get_write_queue_size((uv_stream_t *)&caller->tcp);

	if (waiting != caller->swept_bytes)
		caller->progress_ms = now_ms;
	caller->swept_bytes = waiting;
	return (int64_t)(now_ms - caller->progress_ms) > caller->listener->limits.idle_ms;
}

static void on_handle_closed(uv_handle_t *handle)
{
	struct cw_listener *listener = handle->data;

	listener->open_handles--;
	if (listener->is_destroyed && listener->open_handles == 0 &&
	    listener->connection_count == 0)
		g_free(listener);
}

static void on_read(uv_stream_t *stream, ssize_t size, const uv_buf_t *buffer)
{
	struct cw_caller *caller = stream->data;

	if (size < 0) {
		handle_disconnect(caller);
		return;
	}
	if (size == 0 || caller->state == CALLER_LINGERING)
		return;
	if (caller->state == CALLER_READING && !caller->is_parsing) {
		parse_requests(caller, buffer->base, (size_t)size);
		return;
	}
	g_string_append_len(caller->pipelined, buffer->base, size);
	if (caller->pipelined->len > PIPELINED_MAX_BYTES)
		uv_read_stop(stream);
}

/* Parses requests one by one; pipelined bytes wait until the answer to the request is sent. */
static void parse_requests(struct cw_caller *caller, const char *data, size_t size)
{
	caller->is_parsing = 1;
	while (size > 0 && caller->state == CALLER_READING) {
		size_t used = caller_parse(caller, data, size);

		if (caller->reject_status) {
			reject_request(caller);
			break;
		}
		data += used;
		size -= used;
		if (!caller->is_request_complete)
			continue;
		caller->is_request_complete = 0;
		caller->state = CALLER_ANSWERING;
		caller->listener->ops->request(caller->listener->context, caller, caller->message);
	}
	caller->is_parsing = 0;
	if (size > 0 && caller->state == CALLER_ANSWERING)
		g_string_prepend_len(caller->pipelined, data, (gssize)size);
}

/* Answers an invalid request without calling the request function, then ends the connection. */
static void reject_request(struct cw_caller *caller)
{
	if (caller->listener->ops->rejected)
		caller->listener->ops->rejected(caller->listener->context, caller->reject_status,
						caller->reject_reason);
	caller_release(caller);
	caller->state = CALLER_ANSWERING;
	caller->keep_alive = 0;
	cw_caller_send_head(
		caller, caller->reject_status,
		caller->reject_status == HTTP_STATUS_SERVICE_UNAVAILABLE ? RETRY_LATER : "", 0);
	cw_caller_end_answer(caller);
}

/* Of one caller, before its source is paused. */
static size_t max_unwritten_bytes(const struct cw_listener *listener)
{
	size_t limit = listener->limits.unwritten_bytes;

	return limit > 0 && listener->unwritten_bytes > limit ? 0 : CW_FLOW_WRITE_HIGH_WATERMARK;
}

void caller_flush(struct cw_caller *caller)
{
	struct caller_write *write;
	uv_buf_t buffer = uv_buf_init(caller->out->str, (unsigned int)caller->out->len);
	int sent = 0;

	if (caller->out->len == 0)
		return;
	if (caller->unwritten_bytes == 0)
		sent = uv_try_write((uv_stream_t *)&caller->tcp, &buffer, 1);
	if (sent < 0 && sent != UV_EAGAIN) {
		/* The read side reports the disconnect: a report here would re-enter the sender. */
		g_string_truncate(caller->out, 0);
		return;
	}
	if (sent > 0)
		g_string_erase(caller->out, 0, sent);
	if (caller->out->len == 0) {
		free_large_buffer(caller, FLOW_READ_BUFFER_BYTES);
		return;
	}
	write = g_new0(struct caller_write, 1);
	write->caller = caller;
	write->bytes = caller->out;
	write->request.data = write;
	caller->out = g_string_sized_new(512);
	caller->unwritten_bytes += write->bytes->len;
	caller->listener->unwritten_bytes += write->bytes->len;
	buffer = uv_buf_init(write->bytes->str, (unsigned int)write->bytes->len);
	uv_write(&write->request, (uv_stream_t *)&caller->tcp, &buffer, 1, on_written);
}

static void free_large_buffer(struct cw_caller *caller, size_t kept_bytes)
{
	if (caller->out->allocated_len <= kept_bytes)
		return;
	g_string_free(caller->out, TRUE);
	caller->out = g_string_sized_new(512);
}

static void on_written(uv_write_t *request, int status)
{
	struct caller_write *write = request->data;
	struct cw_caller *caller = write->caller;

	caller->unwritten_bytes -= write->bytes->len;
	caller->listener->unwritten_bytes -= write->bytes->len;
	g_string_free(write->bytes, TRUE);
	g_free(write);
	if (caller->state == CALLER_CLOSED)
		return;
	if (status < 0) {
		handle_disconnect(caller);
		return;
	}
	if (caller->unwritten_bytes > 0)
		return;
	caller->swept_bytes = 0;
	if (caller->state != CALLER_ANSWERING && !caller->has_request_bytes)
		caller->state_since_ms = uv_now(caller->listener->loop);
	if (caller->closes_after_write) {
		close_caller(caller);
	} else if (caller->is_source_paused && caller->request &&
		   caller->state == CALLER_ANSWERING) {
		caller->is_source_paused = 0;
		caller->listener->ops->writable(caller->request);
	}
}

/* After an answer: parses the next request or ends the connection. */
static void finish_answer(struct cw_caller *caller)
{
	GString *pipelined;

	caller->request = NULL;
	caller->state_since_ms = uv_now(caller->listener->loop);
	caller->has_request_bytes = 0;
	cw_message_clear(caller->message);
	caller_release(caller);
	if (!caller->keep_alive) {
		start_lingering(caller);
		return;
	}
	caller->state = CALLER_READING;
	free_large_buffer(caller, KEPT_BUFFER_BYTES);
	if (caller->is_parsing || caller->pipelined->len == 0)
		return;
	pipelined = caller->pipelined;
	caller->pipelined = g_string_sized_new(0);
	uv_read_start((uv_stream_t *)&caller->tcp, flow_provide_buffer, on_read);
	parse_requests(caller, pipelined->str, pipelined->len);
	g_string_free(pipelined, TRUE);
}

/* What is unwritten is written first. */
static void start_lingering(struct cw_caller *caller)
{
	uv_shutdown_t *request = g_new0(uv_shutdown_t, 1);

	caller->state = CALLER_LINGERING;
	if (uv_shutdown(request, (uv_stream_t *)&caller->tcp, on_shutdown))
		g_free(request);
}

static void on_shutdown(uv_shutdown_t *request, int status)
{
	g_free(request);
}

static void handle_disconnect(struct cw_caller *caller)
{
	void *request = caller->request;

	if (caller->state == CALLER_CLOSED)
		return;
	caller->request = NULL;
	close_caller(caller);
	if (request)
		caller->listener->ops->disconnected(request);
}

static void close_caller(struct cw_caller *caller)
{
	if (caller->state == CALLER_CLOSED)
		return;
	caller->state = CALLER_CLOSED;
	caller_release(caller);
	TAILQ_REMOVE(&caller->listener->callers, caller, link);
	uv_close((uv_handle_t *)&caller->tcp, on_caller_closed);
}

static void on_caller_closed(uv_handle_t *handle)
{
	struct cw_caller *caller = handle->data;
	struct cw_listener *listener = caller->listener;

	cw_message_destroy(caller->message);
	g_string_free(caller->pipelined, TRUE);
	g_string_free(caller->out, TRUE);
	g_free(caller);
	listener->connection_count--;
	if (listener->is_destroyed && listener->open_handles == 0 &&
	    listener->connection_count == 0)
		g_free(listener);
}
