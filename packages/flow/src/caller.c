/* The connection of a caller: its answers, and its end. */
#include "listener_internal.h"

#define RETRY_LATER	  "Retry-After: 1\r\n" /* s; some bodies have been sent on by then */
#define KEPT_BUFFER_BYTES 4096		       /* larger output buffers are freed after an answer */

struct caller_write {
	uv_write_t request;
	struct cw_caller *caller;
	GString *bytes;
};

static size_t max_unwritten_bytes(const struct cw_listener *listener);
static void free_large_buffer(struct cw_caller *caller, size_t kept_bytes);
static void on_written(uv_write_t *write, int status);
static void on_shutdown(uv_shutdown_t *request, int status);
static void on_caller_closed(uv_handle_t *handle);
static void finish_answer(struct cw_caller *caller);

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
	quota_update(caller);
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
		caller_close(caller);
	else
		caller->closes_after_write = 1;
}

/* Answers an invalid request without calling the request function, then ends the connection. */
void caller_reject(struct cw_caller *caller)
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
		caller_disconnect(caller);
		return;
	}
	if (caller->unwritten_bytes > 0)
		return;
	caller->swept_bytes = 0;
	quota_update(caller);
	if (caller->state != CALLER_ANSWERING && !caller->has_request_bytes)
		caller->state_since_ms = uv_now(caller->listener->loop);
	if (caller->closes_after_write) {
		caller_close(caller);
	} else if (caller->is_source_paused && caller->request &&
		   caller->state == CALLER_ANSWERING) {
		caller->is_source_paused = 0;
		caller->listener->ops->writable(caller->request);
	} else {
		caller_read_on(caller);
		caller_update_rank(caller);
	}
}

/* After an answer: parses the next request or ends the connection. */
static void finish_answer(struct cw_caller *caller)
{
	caller->request = NULL;
	caller->state_since_ms = uv_now(caller->listener->loop);
	caller->has_request_bytes = 0;
	caller->has_served = 1;
	cw_message_clear(caller->message);
	caller_release(caller);
	if (!caller->keep_alive) {
		caller_start_lingering(caller);
		return;
	}
	caller->state = CALLER_READING;
	free_large_buffer(caller, KEPT_BUFFER_BYTES);
	caller_read_on(caller);
	quota_update(caller);
	caller_leave_rank(caller); /* it is idle anew, also if it was before this request */
	caller_update_rank(caller);
}

/* What is unwritten is written first. */
void caller_start_lingering(struct cw_caller *caller)
{
	uv_shutdown_t *request = g_new0(uv_shutdown_t, 1);

	caller->state = CALLER_LINGERING;
	g_string_free(caller->ahead, TRUE);
	caller->ahead = g_string_sized_new(0);
	if (caller->is_read_paused)
		caller_start_reading(caller);
	if (uv_shutdown(request, (uv_stream_t *)&caller->tcp, on_shutdown))
		g_free(request);
	caller_update_rank(caller);
}

static void on_shutdown(uv_shutdown_t *request, int status)
{
	g_free(request);
}

void caller_disconnect(struct cw_caller *caller)
{
	void *request = caller->request;

	if (caller->state == CALLER_CLOSED)
		return;
	caller->request = NULL;
	caller_close(caller);
	if (request)
		caller->listener->ops->disconnected(request);
}

void caller_close(struct cw_caller *caller)
{
	if (caller->state == CALLER_CLOSED)
		return;
	caller->state = CALLER_CLOSED;
	caller_release(caller);
	quota_leave(caller);
	caller_leave_rank(caller);
	caller->listener->open_count--;
	caller_forget_turn(caller);
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
	listener->connection_count--;
	listener_free_if_closed(listener);
}
