#include "flow_internal.h"

#include <string.h>
#include <sys/queue.h>

#define SWEEP_MS	   500	       /* how often time limits of connections are looked at */
#define LINGER_MS	   1000	       /* a closed connection may still bring bytes: not a reset */
#define PIPELINED_MAX	   (64 * 1024) /* bytes read ahead while an answer is being made */
#define HEADER_BYTES_FIRST (16 * 1024) /* until a configuration tells the limits */
#define BODY_BYTES_FIRST   (4 * 1024 * 1024)
#define HEADER_MS_FIRST	   5000
#define IDLE_MS_FIRST	   60000
#define KEPT_BUFFER	   4096 /* a larger buffer is given back after an answer */

enum caller_state {
	CALLER_READING, /* a request, or waits for one */
	CALLER_BUSY,	/* its request is being answered */
	CALLER_LINGER,	/* the last answer is out, the other side's end is awaited */
	CALLER_CLOSED,
};

struct cw_listener {
	uv_tcp_t tcp;
	uv_timer_t sweep;
	uv_loop_t *loop;
	const struct cw_listener_ops *ops;
	void *context;
	struct cw_flow_limits limits;
	int leaving;
	int closed;
	int destroyed;
	int handles; /* still to be closed before the memory goes */
	size_t connections;
	TAILQ_HEAD(, cw_caller) callers;
};

struct cw_caller {
	TAILQ_ENTRY(cw_caller) link;
	struct cw_listener *listener;
	uv_tcp_t tcp;
	http_parser parser;
	struct cw_message *message;
	GString *ahead; /* read while an answer was being made */
	GString *out;
	enum caller_state state;
	void *request;
	uint64_t since_ms; /* of the state's start, or of a request's first byte */
	size_t held;	   /* bytes the caller has not taken yet */
	unsigned int refusal;
	const char *refusal_reason;
	int started;  /* bytes of a request came */
	int complete; /* the parser has a whole request */
	int keep;
	int chunked;
	int feeding;
	int close_after;
	int pressed; /* told to pause */
};

struct caller_write {
	uv_write_t request;
	struct cw_caller *caller;
	GString *bytes;
};

static void on_connection(uv_stream_t *server, int status);
static void on_sweep(uv_timer_t *timer);
static void on_handle_closed(uv_handle_t *handle);
static void on_read(uv_stream_t *stream, ssize_t size, const uv_buf_t *buffer);
static void on_written(uv_write_t *write, int status);
static void on_caller_closed(uv_handle_t *handle);
static void on_shutdown(uv_shutdown_t *request, int status);
static void feed(struct cw_caller *caller, const char *data, size_t size);
static size_t parse(struct cw_caller *caller, const char *data, size_t size);
static void refuse(struct cw_caller *caller);
static void flush(struct cw_caller *caller);
static void finish(struct cw_caller *caller);
static void close_caller(struct cw_caller *caller);
static void lose_caller(struct cw_caller *caller);
static int on_begin(http_parser *parser);
static int on_url(http_parser *parser, const char *data, size_t size);
static int on_name(http_parser *parser, const char *data, size_t size);
static int on_value(http_parser *parser, const char *data, size_t size);
static int on_headers(http_parser *parser);
static int on_body(http_parser *parser, const char *data, size_t size);
static int on_complete(http_parser *parser);

static const http_parser_settings parser_settings = {
	.on_message_begin = on_begin,
	.on_url = on_url,
	.on_header_field = on_name,
	.on_header_value = on_value,
	.on_headers_complete = on_headers,
	.on_body = on_body,
	.on_message_complete = on_complete,
};

struct cw_listener *cw_listener_create(uv_loop_t *loop, const char *address,
				       const struct cw_listener_ops *ops, void *context,
				       struct cw_error *error)
{
	struct cw_listener *listener = g_new0(struct cw_listener, 1);
	struct sockaddr_in where;
	int code;

	listener->loop = loop;
	listener->ops = ops;
	listener->context = context;
	listener->limits.header_bytes = HEADER_BYTES_FIRST;
	listener->limits.body_bytes = BODY_BYTES_FIRST;
	listener->limits.header_ms = HEADER_MS_FIRST;
	listener->limits.idle_ms = IDLE_MS_FIRST;
	TAILQ_INIT(&listener->callers);
	uv_tcp_init(loop, &listener->tcp);
	uv_timer_init(loop, &listener->sweep);
	listener->tcp.data = listener;
	listener->sweep.data = listener;
	listener->handles = 2;
	code = cw_flow_address(address, &where) == CW_OK ? 0 : UV_EINVAL;
	if (!code)
		code = uv_tcp_bind(&listener->tcp, (const struct sockaddr *)&where, 0);
	if (!code)
		code = uv_listen((uv_stream_t *)&listener->tcp, CW_FLOW_BACKLOG, on_connection);
	if (!code)
		code = uv_timer_start(&listener->sweep, on_sweep, SWEEP_MS, SWEEP_MS);
	if (code) {
		cw_error_set(error, CW_UNREACHABLE, "listen", address, "%s", uv_strerror(code));
		cw_listener_destroy(listener);
		return NULL;
	}
	return listener;
}

void cw_listener_limits(struct cw_listener *listener, const struct cw_flow_limits *limits)
{
	listener->limits = *limits;
}

void cw_listener_leave(struct cw_listener *listener)
{
	listener->leaving = 1;
}

void cw_listener_close(struct cw_listener *listener)
{
	struct cw_caller *caller = TAILQ_FIRST(&listener->callers);

	listener->leaving = 1;
	if (!listener->closed) {
		listener->closed = 1;
		uv_close((uv_handle_t *)&listener->tcp, on_handle_closed);
	}
	while (caller) {
		struct cw_caller *next = TAILQ_NEXT(caller, link);

		if (caller->state == CALLER_READING && !caller->started)
			close_caller(caller);
		caller = next;
	}
}

size_t cw_listener_connections(const struct cw_listener *listener)
{
	return listener->connections;
}

void cw_listener_destroy(struct cw_listener *listener)
{
	struct cw_caller *caller;

	if (!listener)
		return;
	listener->destroyed = 1;
	while ((caller = TAILQ_FIRST(&listener->callers)))
		close_caller(caller);
	cw_listener_close(listener);
	uv_close((uv_handle_t *)&listener->sweep, on_handle_closed);
}

void cw_caller_attach(struct cw_caller *caller, void *request)
{
	caller->request = request;
}

int cw_caller_is_late(const struct cw_caller *caller)
{
	return caller->listener->closed;
}

void cw_caller_head(struct cw_caller *caller, unsigned int status, const char *fields,
		    int64_t length)
{
	if (caller->state != CALLER_BUSY)
		return;
	if (caller->listener->leaving)
		caller->keep = 0;
	caller->chunked = length == CW_FLOW_CHUNKED;
	g_string_append_printf(caller->out, "HTTP/1.1 %u %s\r\n%s", status,
			       http_status_str((enum http_status)status), fields);
	if (caller->chunked)
		g_string_append(caller->out, "Transfer-Encoding: chunked\r\n");
	else if (length >= 0)
		g_string_append_printf(caller->out, "Content-Length: %" G_GINT64_FORMAT "\r\n",
				       length);
	g_string_append(caller->out, caller->keep ? "\r\n" : "Connection: close\r\n\r\n");
}

int cw_caller_data(struct cw_caller *caller, const char *data, size_t size)
{
	if (caller->state != CALLER_BUSY || size == 0)
		return 0;
	if (caller->chunked)
		g_string_append_printf(caller->out, "%zx\r\n", size);
	g_string_append_len(caller->out, data, (gssize)size);
	if (caller->chunked)
		g_string_append(caller->out, "\r\n");
	flush(caller);
	caller->pressed = caller->held > CW_FLOW_CALLER_HIGH;
	return caller->pressed;
}

void cw_caller_end(struct cw_caller *caller)
{
	if (caller->state != CALLER_BUSY)
		return;
	if (caller->chunked)
		g_string_append(caller->out, "0\r\n\r\n");
	flush(caller);
	if (caller->state == CALLER_BUSY)
		finish(caller);
}

void cw_caller_abort(struct cw_caller *caller)
{
	if (caller->state != CALLER_BUSY)
		return;
	caller->request = NULL;
	flush(caller);
	if (caller->state != CALLER_BUSY)
		return;
	if (caller->held == 0)
		close_caller(caller);
	else
		caller->close_after = 1;
}

static void on_connection(uv_stream_t *server, int status)
{
	struct cw_listener *listener = server->data;
	struct cw_caller *caller;

	if (status < 0 || listener->closed)
		return;
	caller = g_new0(struct cw_caller, 1);
	caller->listener = listener;
	caller->message = cw_message_create();
	caller->ahead = g_string_sized_new(0);
	caller->out = g_string_sized_new(512);
	caller->since_ms = uv_now(listener->loop);
	uv_tcp_init(listener->loop, &caller->tcp);
	caller->tcp.data = caller;
	http_parser_init(&caller->parser, HTTP_REQUEST);
	caller->parser.data = caller;
	TAILQ_INSERT_TAIL(&listener->callers, caller, link);
	listener->connections++;
	if (uv_accept(server, (uv_stream_t *)&caller->tcp)) {
		close_caller(caller);
		return;
	}
	flow_tune_socket(&caller->tcp);
	uv_read_start((uv_stream_t *)&caller->tcp, flow_buffer, on_read);
}

static void on_sweep(uv_timer_t *timer)
{
	struct cw_listener *listener = timer->data;
	struct cw_caller *caller = TAILQ_FIRST(&listener->callers);
	uint64_t now_ms = uv_now(listener->loop);

	while (caller) {
		struct cw_caller *next = TAILQ_NEXT(caller, link);
		int64_t spent_ms = (int64_t)(now_ms - caller->since_ms);

		if (caller->state == CALLER_LINGER && spent_ms > LINGER_MS) {
			close_caller(caller);
		} else if (caller->state == CALLER_READING && caller->started &&
			   spent_ms > listener->limits.header_ms) {
			caller->refusal = HTTP_STATUS_REQUEST_TIMEOUT;
			caller->refusal_reason = "the request was not read in time";
			refuse(caller);
		} else if (caller->state == CALLER_READING && !caller->started &&
			   spent_ms > listener->limits.idle_ms) {
			close_caller(caller);
		}
		caller = next;
	}
}

static void on_handle_closed(uv_handle_t *handle)
{
	struct cw_listener *listener = handle->data;

	listener->handles--;
	if (listener->destroyed && listener->handles == 0 && listener->connections == 0)
		g_free(listener);
}

static void on_read(uv_stream_t *stream, ssize_t size, const uv_buf_t *buffer)
{
	struct cw_caller *caller = stream->data;

	if (size < 0) {
		lose_caller(caller);
		return;
	}
	if (size == 0 || caller->state == CALLER_LINGER)
		return;
	if (caller->state == CALLER_READING && !caller->feeding) {
		feed(caller, buffer->base, (size_t)size);
		return;
	}
	g_string_append_len(caller->ahead, buffer->base, size);
	if (caller->ahead->len > PIPELINED_MAX)
		uv_read_stop(stream);
}

/* Parses requests one after another; what follows a request waits until its answer is out. */
static void feed(struct cw_caller *caller, const char *data, size_t size)
{
	caller->feeding = 1;
	while (size > 0 && caller->state == CALLER_READING) {
		size_t used = parse(caller, data, size);

		if (caller->refusal) {
			refuse(caller);
			break;
		}
		data += used;
		size -= used;
		if (!caller->complete)
			continue;
		caller->complete = 0;
		caller->state = CALLER_BUSY;
		caller->listener->ops->request(caller->listener->context, caller, caller->message);
	}
	caller->feeding = 0;
	if (size > 0 && caller->state == CALLER_BUSY)
		g_string_prepend_len(caller->ahead, data, (gssize)size);
}

static size_t parse(struct cw_caller *caller, const char *data, size_t size)
{
	size_t used;

	if (!caller->started) {
		caller->started = 1;
		caller->since_ms = uv_now(caller->listener->loop);
	}
	used = http_parser_execute(&caller->parser, &parser_settings, data, size);
	if (caller->complete) {
		http_parser_pause(&caller->parser, 0);
		return used;
	}
	if (caller->refusal)
		return used;
	if (HTTP_PARSER_ERRNO(&caller->parser) != HPE_OK || caller->parser.upgrade) {
		caller->refusal = HTTP_STATUS_BAD_REQUEST;
		caller->refusal_reason = http_errno_description(HTTP_PARSER_ERRNO(&caller->parser));
	}
	return used;
}

/* An answer of the flow's own to what is no acceptable request; the connection ends with it. */
static void refuse(struct cw_caller *caller)
{
	if (caller->listener->ops->refused)
		caller->listener->ops->refused(caller->listener->context, caller->refusal,
					       caller->refusal_reason);
	caller->state = CALLER_BUSY;
	caller->keep = 0;
	cw_caller_head(caller, caller->refusal, "", 0);
	cw_caller_end(caller);
}

static void flush(struct cw_caller *caller)
{
	struct caller_write *write;
	uv_buf_t buffer = uv_buf_init(caller->out->str, (unsigned int)caller->out->len);
	int sent = 0;

	if (caller->out->len == 0)
		return;
	if (caller->held == 0)
		sent = uv_try_write((uv_stream_t *)&caller->tcp, &buffer, 1);
	if (sent < 0 && sent != UV_EAGAIN) {
		/* The read side reports the loss: telling it here would re-enter the sender. */
		g_string_truncate(caller->out, 0);
		return;
	}
	if (sent > 0)
		g_string_erase(caller->out, 0, sent);
	if (caller->out->len == 0)
		return;
	write = g_new0(struct caller_write, 1);
	write->caller = caller;
	write->bytes = caller->out;
	write->request.data = write;
	caller->out = g_string_sized_new(512);
	caller->held += write->bytes->len;
	buffer = uv_buf_init(write->bytes->str, (unsigned int)write->bytes->len);
	uv_write(&write->request, (uv_stream_t *)&caller->tcp, &buffer, 1, on_written);
}

static void on_written(uv_write_t *request, int status)
{
	struct caller_write *write = request->data;
	struct cw_caller *caller = write->caller;

	caller->held -= write->bytes->len;
	g_string_free(write->bytes, TRUE);
	g_free(write);
	if (caller->state == CALLER_CLOSED)
		return;
	if (status < 0) {
		lose_caller(caller);
		return;
	}
	if (caller->held > 0)
		return;
	if (caller->close_after) {
		close_caller(caller);
	} else if (caller->pressed && caller->request && caller->state == CALLER_BUSY) {
		caller->pressed = 0;
		caller->listener->ops->room(caller->request);
	}
}

/* The answer is out: the next request, or the connection's end. */
static void finish(struct cw_caller *caller)
{
	GString *ahead;

	caller->request = NULL;
	caller->since_ms = uv_now(caller->listener->loop);
	caller->started = 0;
	cw_message_clear(caller->message);
	if (!caller->keep) {
		uv_shutdown_t *request = g_new0(uv_shutdown_t, 1);

		caller->state = CALLER_LINGER;
		if (uv_shutdown(request, (uv_stream_t *)&caller->tcp, on_shutdown))
			g_free(request);
		return;
	}
	caller->state = CALLER_READING;
	if (caller->out->allocated_len > KEPT_BUFFER) {
		g_string_free(caller->out, TRUE);
		caller->out = g_string_sized_new(512);
	}
	if (caller->feeding || caller->ahead->len == 0)
		return;
	ahead = caller->ahead;
	caller->ahead = g_string_sized_new(0);
	uv_read_start((uv_stream_t *)&caller->tcp, flow_buffer, on_read);
	feed(caller, ahead->str, ahead->len);
	g_string_free(ahead, TRUE);
}

static void on_shutdown(uv_shutdown_t *request, int status)
{
	g_free(request);
}

static void lose_caller(struct cw_caller *caller)
{
	void *request = caller->request;

	if (caller->state == CALLER_CLOSED)
		return;
	caller->request = NULL;
	close_caller(caller);
	if (request)
		caller->listener->ops->gone(request);
}

static void close_caller(struct cw_caller *caller)
{
	if (caller->state == CALLER_CLOSED)
		return;
	caller->state = CALLER_CLOSED;
	TAILQ_REMOVE(&caller->listener->callers, caller, link);
	uv_close((uv_handle_t *)&caller->tcp, on_caller_closed);
}

static void on_caller_closed(uv_handle_t *handle)
{
	struct cw_caller *caller = handle->data;
	struct cw_listener *listener = caller->listener;

	cw_message_destroy(caller->message);
	g_string_free(caller->ahead, TRUE);
	g_string_free(caller->out, TRUE);
	g_free(caller);
	listener->connections--;
	if (listener->destroyed && listener->handles == 0 && listener->connections == 0)
		g_free(listener);
}

static int on_begin(http_parser *parser)
{
	struct cw_caller *caller = parser->data;

	cw_message_clear(caller->message);
	return 0;
}

static int too_large(struct cw_caller *caller)
{
	if (caller->message->text->len + caller->message->target->len <=
	    caller->listener->limits.header_bytes)
		return 0;
	caller->refusal = HTTP_STATUS_REQUEST_HEADER_FIELDS_TOO_LARGE;
	caller->refusal_reason = "header fields past the limit";
	return 1;
}

static int on_url(http_parser *parser, const char *data, size_t size)
{
	struct cw_caller *caller = parser->data;

	g_string_append_len(caller->message->target, data, (gssize)size);
	return too_large(caller);
}

static int on_name(http_parser *parser, const char *data, size_t size)
{
	struct cw_caller *caller = parser->data;

	cw_message_add_name(caller->message, data, size);
	return too_large(caller);
}

static int on_value(http_parser *parser, const char *data, size_t size)
{
	struct cw_caller *caller = parser->data;

	cw_message_add_value(caller->message, data, size);
	return too_large(caller);
}

static int on_headers(http_parser *parser)
{
	struct cw_caller *caller = parser->data;
	const char *expect;

	cw_message_seal(caller->message);
	caller->message->method = (enum http_method)parser->method;
	caller->keep = http_should_keep_alive(parser);
	if (parser->http_major != 1 || parser->http_minor != 1) {
		caller->refusal = HTTP_STATUS_HTTP_VERSION_NOT_SUPPORTED;
		caller->refusal_reason = "not HTTP/1.1";
		return -1;
	}
	if (parser->content_length != G_MAXUINT64 &&
	    parser->content_length > caller->listener->limits.body_bytes) {
		caller->refusal = HTTP_STATUS_PAYLOAD_TOO_LARGE;
		caller->refusal_reason = "body past the limit";
		return -1;
	}
	expect = cw_message_find(caller->message, "Expect");
	if (expect && !g_ascii_strcasecmp(expect, "100-continue")) {
		g_string_append(caller->out, "HTTP/1.1 100 Continue\r\n\r\n");
		flush(caller);
	}
	return 0;
}

static int on_body(http_parser *parser, const char *data, size_t size)
{
	struct cw_caller *caller = parser->data;

	if (caller->message->body->len + size > caller->listener->limits.body_bytes) {
		caller->refusal = HTTP_STATUS_PAYLOAD_TOO_LARGE;
		caller->refusal_reason = "body past the limit";
		return 1;
	}
	g_string_append_len(caller->message->body, data, (gssize)size);
	return 0;
}

static int on_complete(http_parser *parser)
{
	struct cw_caller *caller = parser->data;

	caller->complete = 1;
	http_parser_pause(parser, 1);
	return 0;
}
