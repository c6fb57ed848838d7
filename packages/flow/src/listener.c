/* A listening address and the time limits of its connections. */
#include "listener_internal.h"

#include <string.h>

#define SWEEP_INTERVAL_MS    500  /* between two checks of the timeouts of all connections */
#define LINGER_TIMEOUT_MS    1000 /* reading goes on: unread bytes would reset the connection */
#define DEFAULT_HEADER_BYTES (16 * 1024) /* until cw_listener_set_limits is called */
#define DEFAULT_BODY_BYTES   (4 * 1024 * 1024)
#define DEFAULT_HEADER_MS    5000
#define DEFAULT_IDLE_MS	     60000

static void on_connection(uv_stream_t *server, int status);
static int has_room(const struct cw_caller *caller);
static void on_sweep(uv_timer_t *timer);
static void sweep_caller(struct cw_caller *caller, uint64_t now_ms);
static int is_stalled(struct cw_caller *caller, uint64_t now_ms);
static void on_handle_closed(uv_handle_t *handle);

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
	listener->quota = listener->own_quota = cw_quota_create(0);
	listener->limits.header_bytes = DEFAULT_HEADER_BYTES;
	listener->limits.body_bytes = DEFAULT_BODY_BYTES;
	listener->limits.header_ms = DEFAULT_HEADER_MS;
	listener->limits.idle_ms = DEFAULT_IDLE_MS;
	TAILQ_INIT(&listener->callers);
	TAILQ_INIT(&listener->turns);
	for (int rank = 0; rank < RANK_NONE; rank++)
		TAILQ_INIT(&listener->ranks[rank]);
	uv_tcp_init(loop, &listener->tcp);
	uv_timer_init(loop, &listener->sweep_timer);
	uv_idle_init(loop, &listener->turn);
	listener->tcp.data = listener;
	listener->sweep_timer.data = listener;
	listener->turn.data = listener;
	listener->open_handles = 3;
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

void cw_listener_set_quota(struct cw_listener *listener, struct cw_quota *quota,
			   size_t receive_bytes)
{
	listener->quota = quota;
	listener->receive_bytes = receive_bytes;
	/* Accepted connections inherit it. */
	flow_limit_unread(&listener->tcp, receive_bytes);
}

void cw_listener_set_max_connections(struct cw_listener *listener, size_t max_connections)
{
	listener->max_connections = max_connections;
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

		if (caller->state == CALLER_READING && !caller->has_request_bytes &&
		    !caller->waits_for_turn) {
			if (caller->unwritten_bytes == 0)
				caller_close(caller);
			else
				caller_start_lingering(caller);
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
		caller_close(caller);
	cw_listener_close(listener);
	uv_close((uv_handle_t *)&listener->sweep_timer, on_handle_closed);
	uv_close((uv_handle_t *)&listener->turn, on_handle_closed);
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
	caller->ahead = g_string_sized_new(0);
	caller->out = g_string_sized_new(512);
	caller->state_since_ms = uv_now(listener->loop);
	uv_tcp_init(listener->loop, &caller->tcp);
	caller->tcp.data = caller;
	http_parser_init(&caller->parser, HTTP_REQUEST);
	caller->parser.data = caller;
	TAILQ_INSERT_TAIL(&listener->callers, caller, link);
	caller->rank = RANK_NONE;
	quota_join(caller);
	listener->connection_count++;
	listener->open_count++;
	if (uv_accept(server, (uv_stream_t *)&caller->tcp) || !has_room(caller)) {
		caller_close(caller);
		return;
	}
	caller_update_rank(caller);
	flow_tune_socket(&caller->tcp);
	caller_start_reading(caller);
}

static int has_room(const struct cw_caller *caller)
{
	struct cw_listener *listener = caller->listener;

	if (listener->max_connections == 0 || listener->open_count <= listener->max_connections ||
	    listener_make_room(listener, caller))
		return 1;
	listener->quota->counts.refused++;
	return 0;
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
		caller_disconnect(caller);
	} else if (caller->is_read_paused && flow_is_peer_closed(&caller->tcp)) {
		caller_disconnect(caller);
	} else if (caller->unwritten_bytes > 0) {
		/* A request that is being answered has a time limit of its own. */
		if (is_stalled(caller, now_ms) && !caller->request)
			caller_close(caller);
	} else if (caller->state == CALLER_LINGERING && elapsed_ms > LINGER_TIMEOUT_MS) {
		caller_close(caller);
	} else if (caller->state == CALLER_READING && caller->has_request_bytes &&
		   elapsed_ms > limits->header_ms) {
		caller->reject_status = HTTP_STATUS_REQUEST_TIMEOUT;
		caller->reject_reason = "the request was not read in time";
		caller_reject(caller);
	} else if (caller->state == CALLER_READING && !caller->has_request_bytes &&
		   elapsed_ms > limits->idle_ms) {
		caller_close(caller);
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
	listener_free_if_closed(listener);
}

void listener_free_if_closed(struct cw_listener *listener)
{
	if (!listener->is_destroyed || listener->open_handles > 0 || listener->connection_count > 0)
		return;
	cw_quota_destroy(listener->own_quota);
	g_free(listener);
}
