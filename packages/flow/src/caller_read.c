/*
 * Reads the requests of a caller, one by one: the next one when the last one's answer is written.
 * A turn of the loop has a share for each caller; what is left goes on in the next turn, so that a
 * caller that sends without a pause does not keep the others waiting.
 */
#include "listener_internal.h"

#define TURN_REQUESTS	8		/* of a caller, in one turn of the loop */
#define AHEAD_MAX_BYTES (64 * 1024 - 1) /* kept of the requests after the one in progress */

static void provide_buffer(uv_handle_t *handle, size_t suggested, uv_buf_t *buffer);
static int may_parse(const struct cw_caller *caller);
static void keep_ahead(struct cw_caller *caller, const char *data, size_t size);
static int must_pause(const struct cw_caller *caller);
static void pause_reading(struct cw_caller *caller);
static void wait_for_turn(struct cw_caller *caller);
static void take_turn(struct cw_caller *caller);
static void parse_ahead(struct cw_caller *caller);
static size_t parse_requests(struct cw_caller *caller, const char *data, size_t size);
static void on_read(uv_stream_t *stream, ssize_t size, const uv_buf_t *buffer);

void caller_start_reading(struct cw_caller *caller)
{
	caller->is_read_paused = 0;
	uv_read_start((uv_stream_t *)&caller->tcp, provide_buffer, on_read);
}

void caller_read_on(struct cw_caller *caller)
{
	if (caller->is_parsing)
		return;
	if ((caller->ahead->len > 0 && may_parse(caller)) ||
	    (caller->is_read_paused && !must_pause(caller)))
		wait_for_turn(caller);
}

void caller_give_turns(uv_idle_t *turn)
{
	struct cw_listener *listener = turn->data;
	uint64_t number = listener->turn_number++;
	struct cw_caller *caller;

	while ((caller = TAILQ_FIRST(&listener->turns)) && caller->queued_in <= number) {
		caller_forget_turn(caller);
		take_turn(caller);
	}
	if (TAILQ_EMPTY(&listener->turns))
		uv_idle_stop(turn);
}

void caller_forget_turn(struct cw_caller *caller)
{
	if (caller->waits_for_turn)
		TAILQ_REMOVE(&caller->listener->turns, caller, turn_link);
	caller->waits_for_turn = 0;
}

/* What is read while a request is answered must fit into the room that is left. */
static void provide_buffer(uv_handle_t *handle, size_t suggested, uv_buf_t *buffer)
{
	const struct cw_caller *caller = handle->data;

	flow_provide_buffer(handle, suggested, buffer);
	if (!may_parse(caller) && caller->state != CALLER_LINGERING && !caller->is_ahead_dropped)
		buffer->len = MIN(buffer->len, AHEAD_MAX_BYTES - caller->ahead->len);
}

static void on_read(uv_stream_t *stream, ssize_t size, const uv_buf_t *buffer)
{
	struct cw_caller *caller = stream->data;
	size_t used = 0;

	if (size < 0) {
		caller_disconnect(caller);
		return;
	}
	if (size == 0)
		return;
	if (may_parse(caller) && caller->ahead->len == 0)
		used = parse_requests(caller, buffer->base, (size_t)size);
	keep_ahead(caller, buffer->base + used, (size_t)size - used);
	/* The library reads a socket up to 32 times in a turn, as long as the buffer gets full. */
	if ((size_t)size == buffer->len && caller->state != CALLER_CLOSED)
		pause_reading(caller);
	caller_read_on(caller);
	quota_update(caller);
	caller_update_rank(caller);
	quota_enforce(caller->listener->quota);
}

/* A caller that does not read its answers is not read either. */
static int may_parse(const struct cw_caller *caller)
{
	return caller->state == CALLER_READING && caller->unwritten_bytes == 0 &&
	       !caller->is_ahead_dropped;
}

static void keep_ahead(struct cw_caller *caller, const char *data, size_t size)
{
	if (caller->is_ahead_dropped ||
	    (caller->state != CALLER_READING && caller->state != CALLER_ANSWERING))
		return;
	if (size > 0)
		g_string_append_len(caller->ahead, data, (gssize)size);
	if (caller->ahead->len >= AHEAD_MAX_BYTES)
		flow_limit_unread(&caller->tcp, FLOW_UNREAD_LEAST);
	if (must_pause(caller))
		pause_reading(caller);
}

/* While an answer is in progress, reading goes on for as long as there is room: it notices the end.
 */
static int must_pause(const struct cw_caller *caller)
{
	if (caller->state == CALLER_READING && caller->unwritten_bytes > 0)
		return 1;
	return caller->state == CALLER_CLOSED || caller->ahead->len >= AHEAD_MAX_BYTES;
}

static void pause_reading(struct cw_caller *caller)
{
	caller->is_read_paused = 1;
	uv_read_stop((uv_stream_t *)&caller->tcp);
}

static void wait_for_turn(struct cw_caller *caller)
{
	if (caller->waits_for_turn)
		return;
	caller->waits_for_turn = 1;
	caller->queued_in = caller->listener->turn_number;
	TAILQ_INSERT_TAIL(&caller->listener->turns, caller, turn_link);
	uv_idle_start(&caller->listener->turn, caller_give_turns);
}

static void take_turn(struct cw_caller *caller)
{
	if (caller->ahead->len > 0 && may_parse(caller))
		parse_ahead(caller);
	if (caller->is_read_paused && !must_pause(caller))
		caller_start_reading(caller);
	caller_read_on(caller);
	quota_update(caller);
	caller_update_rank(caller);
}

static void parse_ahead(struct cw_caller *caller)
{
	GString *ahead = caller->ahead;
	size_t used;

	caller->ahead = g_string_sized_new(0);
	used = parse_requests(caller, ahead->str, ahead->len);
	if (used == ahead->len || caller->state == CALLER_LINGERING ||
	    caller->state == CALLER_CLOSED) {
		g_string_free(ahead, TRUE);
		return;
	}
	g_string_erase(ahead, 0, (gssize)used);
	g_string_free(caller->ahead, TRUE);
	caller->ahead = ahead;
}

/* Returns the number of bytes used; the rest belongs to later requests, or to a later turn. */
static size_t parse_requests(struct cw_caller *caller, const char *data, size_t size)
{
	size_t done = 0;
	unsigned int requests = 0;

	caller->is_parsing = 1;
	while (done < size && requests < TURN_REQUESTS && may_parse(caller)) {
		done += caller_parse(caller, data + done, size - done);
		if (caller->reject_status) {
			caller_reject(caller);
			done = size;
		} else if (caller->is_request_complete) {
			caller->is_request_complete = 0;
			requests++;
			caller->state = CALLER_ANSWERING;
			caller->listener->ops->request(caller->listener->context, caller,
						       caller->message);
		}
	}
	caller->is_parsing = 0;
	return done;
}
