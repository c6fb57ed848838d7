/*
 * On libmicrohttpd. ulfius, which is built on it, hands a request over only with its whole body, so
 * a body over the limit could not be rejected by its length.
 */
#include "server_internal.h"
#include "cw_timeline.h"
#include "watch.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <glib.h>
#include <poll.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#define STREAM_BLOCK_BYTES    16384
#define STREAM_POLL_MS	      100
#define ACCEPT_IDLE_MS	      20
#define ACCEPT_DRAIN_MAX_MS   2000
#define CLOSING_CONNECTIONS   256  /* beside the most that are open */
#define UNLIMITED_CONNECTIONS 1000 /* the library's bound, where the options state none */
#define STEP		      "http.listen"

struct cw_http_server {
	struct MHD_Daemon *daemon; /* NULL: not started */
	struct watch *watch;
	struct cw_http_server_options options;
	char *tls_cert;
	char *tls_key;
	int is_stopping; /* atomic */
};

/* A request while it is received and answered. */
struct request {
	char *target; /* as sent, with its query */
	GByteArray *body;
	int has_head;	 /* its header fields were checked */
	int is_rejected; /* the rest of its body is discarded */
};

struct stream_context {
	struct cw_ring *ring;
	ssize_t (*pull)(void *context, char *buffer, size_t max);
	struct cw_chunk *chunk; /* partly sent */
	void (*on_end)(void *context);
	void *context;
};

static void *on_target(void *context, const char *target, struct MHD_Connection *connection);
static enum MHD_Result on_request(void *context, struct MHD_Connection *connection, const char *url,
				  const char *method, const char *version, const char *data,
				  size_t *size, void **state);
static enum MHD_Result check_head(const struct cw_http_server *server, struct request *request,
				  struct MHD_Connection *connection);
static enum MHD_Result receive_body(struct cw_http_server *server, struct request *request,
				    struct MHD_Connection *connection, const char *data,
				    size_t size);
static enum MHD_Result answer(struct cw_http_server *server, struct request *request,
			      struct MHD_Connection *connection, const char *method);
static void on_completed(void *context, struct MHD_Connection *connection, void **state,
			 enum MHD_RequestTerminationCode reason);
static void on_library_log(void *context, const char *format, va_list args)
	__attribute__((format(printf, 2, 0)));
static struct MHD_Response *create_response(struct cw_http_response *out);
static struct MHD_Response *create_stream(struct cw_http_response *out);
static ssize_t on_stream(void *data, uint64_t offset, char *buffer, size_t max);
static void on_stream_end(void *data);
static int start_on_port(struct cw_http_server *server, const char *host, int port);
static char *read_file(const char *path, struct cw_error *error);

struct cw_http_server *cw_http_server_create(const struct cw_http_server_options *options,
					     struct cw_error *error)
{
	struct cw_http_server *server = g_new0(struct cw_http_server, 1);
	char host[64];
	int port;

	server->options = *options;
	if (cw_http_parse_address(options->address, host, sizeof(host), &port)) {
		cw_error_set(error, CW_INVALID, STEP, options->address, "not an IP:PORT");
		g_free(server);
		return NULL;
	}
	if (options->tls_cert) {
		server->tls_cert = read_file(options->tls_cert, error);
		server->tls_key = read_file(options->tls_key, error);
		if (!server->tls_cert || !server->tls_key) {
			cw_http_server_destroy(server);
			return NULL;
		}
	}
	if (start_on_port(server, host, port) == 0)
		return server;
	cw_error_set(error, CW_UNREACHABLE, STEP, options->address, "cannot listen there");
	cw_http_server_destroy(server);
	return NULL;
}

/*
 * Closing the listener resets connections that are established but still in the kernel's accept
 * queue. The caller of such a connection sees a reset without a byte and cannot know whether its
 * request ran. So these connections are accepted first, and their requests are answered.
 */
void cw_http_server_stop_accepting(struct cw_http_server *server)
{
	MHD_socket listener = MHD_quiesce_daemon(server->daemon);
	struct pollfd wait = {.fd = listener, .events = POLLIN};
	int64_t deadline_us = g_get_monotonic_time() + ACCEPT_DRAIN_MAX_MS * 1000;
	struct sockaddr_in address;
	socklen_t size = sizeof(address);
	int fd;

	__atomic_store_n(&server->is_stopping, 1, __ATOMIC_RELAXED);
	if (listener == MHD_INVALID_SOCKET)
		return;
	fcntl(listener, F_SETFL, fcntl(listener, F_GETFL) | O_NONBLOCK);
	/* The listener is closed after an idle interval: a connection made just then is reset. */
	while (poll(&wait, 1, ACCEPT_IDLE_MS) > 0 && g_get_monotonic_time() < deadline_us) {
		fd = accept4(listener, (struct sockaddr *)&address, &size, SOCK_CLOEXEC);
		if (fd >= 0)
			MHD_add_connection(server->daemon, fd, (struct sockaddr *)&address, size);
		size = sizeof(address);
	}
	close(listener);
}

void cw_http_server_destroy(struct cw_http_server *server)
{
	if (!server)
		return;
	__atomic_store_n(&server->is_stopping, 1, __ATOMIC_RELAXED);
	if (server->daemon)
		MHD_stop_daemon(server->daemon);
	watch_destroy(server->watch);
	g_free(server->tls_cert);
	g_free(server->tls_key);
	g_free(server);
}

int cw_http_server_port(const struct cw_http_server *server)
{
	const union MHD_DaemonInfo *info =
		MHD_get_daemon_info(server->daemon, MHD_DAEMON_INFO_BIND_PORT);

	return info ? info->port : 0;
}

unsigned int cw_http_server_count_connections(const struct cw_http_server *server)
{
	const union MHD_DaemonInfo *info =
		MHD_get_daemon_info(server->daemon, MHD_DAEMON_INFO_CURRENT_CONNECTIONS);

	return info ? info->num_connections : 0;
}

const char *cw_http_request_header(const struct cw_http_request *in, const char *name)
{
	return MHD_lookup_connection_value(in->connection, MHD_HEADER_KIND, name);
}

void cw_http_response_add_header(struct cw_http_response *out, const char *name, const char *value)
{
	if (out->header_count < G_N_ELEMENTS(out->headers))
		out->headers[out->header_count++] = g_strdup_printf("%s: %s", name, value);
}

void cw_http_response_set_json(struct cw_http_response *out, int status, char *body)
{
	out->status = status;
	out->body = body;
	out->body_size = body ? strlen(body) : 0;
	g_strlcpy(out->content_type, "application/json", sizeof(out->content_type));
}

struct cw_chunk *cw_chunk_create(const void *data, size_t size)
{
	struct cw_chunk *chunk = g_malloc(sizeof(*chunk) + size);

	chunk->size = size;
	chunk->sent = 0;
	memcpy(chunk->data, data, size);
	return chunk;
}

int cw_http_parse_address(const char *address, char *host, size_t host_size, int *port)
{
	const char *colon = strrchr(address, ':');
	struct in_addr parsed;
	char *end;
	long number;

	if (!colon || (size_t)(colon - address) >= host_size || !colon[1])
		return -1;
	memcpy(host, address, (size_t)(colon - address));
	host[colon - address] = '\0';
	number = strtol(colon + 1, &end, 10);
	if (*end || number < 0 || number > 65535 || inet_pton(AF_INET, host, &parsed) != 1)
		return -1;
	*port = (int)number;
	return 0;
}

static void *on_target(void *context, const char *target, struct MHD_Connection *connection)
{
	struct cw_http_server *server = context;
	struct request *request = g_new0(struct request, 1);

	watch_set_state(server->watch, connection, WATCH_HEAD);
	request->target = g_strdup(target);
	request->body = g_byte_array_new();
	return request;
}

/* Called with the header fields, then with each part of the body, then with the whole request. */
static enum MHD_Result on_request(void *context, struct MHD_Connection *connection, const char *url,
				  const char *method, const char *version, const char *data,
				  size_t *size, void **state)
{
	struct cw_http_server *server = context;
	struct request *request = *state;
	size_t received = *size;

	if (!request->has_head) {
		request->has_head = 1;
		watch_set_state(server->watch, connection, WATCH_BODY);
		return check_head(server, request, connection);
	}
	if (received == 0) {
		watch_set_state(server->watch, connection, WATCH_ANSWERING);
		return answer(server, request, connection, method);
	}
	*size = 0;
	return receive_body(server, request, connection, data, received);
}

static enum MHD_Result check_head(const struct cw_http_server *server, struct request *request,
				  struct MHD_Connection *connection)
{
	if (!framing_is_clear(connection)) {
		request->is_rejected = 1;
		return framing_reject(connection);
	}
	request->is_rejected = oversize_is_announced(connection, server->options.max_body);
	return request->is_rejected ? oversize_reject(connection) : MHD_YES;
}

enum MHD_Result server_reject(struct MHD_Connection *connection, unsigned int status,
			      const char *body)
{
	struct MHD_Response *response =
		MHD_create_response_from_buffer(strlen(body), (void *)body, MHD_RESPMEM_PERSISTENT);
	enum MHD_Result result;

	MHD_add_response_header(response, MHD_HTTP_HEADER_CONTENT_TYPE, "application/json");
	MHD_add_response_header(response, MHD_HTTP_HEADER_CONNECTION, "close");
	result = MHD_queue_response(connection, status, response);
	MHD_destroy_response(response);
	return result;
}

static enum MHD_Result receive_body(struct cw_http_server *server, struct request *request,
				    struct MHD_Connection *connection, const char *data,
				    size_t size)
{
	if (request->body->len + size <= server->options.max_body) {
		g_byte_array_append(request->body, (const guint8 *)data, (guint)size);
		return MHD_YES;
	}
	/* Only a chunked body gets here, and the library takes no answer within a body. */
	request->is_rejected = 1;
	oversize_send_raw(connection);
	return MHD_NO;
}

static enum MHD_Result answer(struct cw_http_server *server, struct request *request,
			      struct MHD_Connection *connection, const char *method)
{
	const union MHD_ConnectionInfo *info =
		MHD_get_connection_info(connection, MHD_CONNECTION_INFO_CLIENT_ADDRESS);
	struct cw_http_response out = {.status = 500};
	char peer[INET_ADDRSTRLEN] = "";
	struct cw_http_request in = {
		.method = method,
		.path = request->target,
		.body_size = request->body->len,
		.connection = connection,
		.peer = peer,
	};
	struct MHD_Response *response;
	enum MHD_Result result;

	g_byte_array_append(request->body, (const guint8 *)"", 1);
	in.body = (const char *)request->body->data;
	if (info && info->client_addr->sa_family == AF_INET)
		inet_ntop(AF_INET, &((struct sockaddr_in *)info->client_addr)->sin_addr, peer,
			  sizeof(peer));
	server->options.handle(server->options.context, &in, &out);
	response = create_response(&out);
	result = MHD_queue_response(connection, (unsigned int)out.status, response);
	MHD_destroy_response(response);
	return result;
}

/* The connection is closed after this if the request was rejected. */
static void on_completed(void *context, struct MHD_Connection *connection, void **state,
			 enum MHD_RequestTerminationCode reason)
{
	struct cw_http_server *server = context;
	struct request *request = *state;

	if (!request)
		return;
	if (request->is_rejected)
		oversize_drain(connection, &server->is_stopping);
	watch_set_state(server->watch, connection, WATCH_WAITING);
	g_free(request->target);
	g_byte_array_unref(request->body);
	g_free(request);
	*state = NULL;
}

static void on_library_log(void *context, const char *format, va_list args)
{
	char *text = g_strdup_vprintf(format, args);

	cw_event("http", "library", "text=\"%s\"", g_strdelimit(g_strchomp(text), "\"\n", ' '));
	g_free(text);
}

static struct MHD_Response *create_response(struct cw_http_response *out)
{
	struct MHD_Response *response;

	if (out->stream || out->pull) {
		response = create_stream(out);
	} else {
		response = MHD_create_response_from_buffer(
			out->body_size, out->body ? out->body : "", MHD_RESPMEM_MUST_COPY);
		g_free(out->body);
	}
	for (size_t i = 0; i < out->header_count; i++) {
		char **pair = g_strsplit(out->headers[i], ": ", 2);

		MHD_add_response_header(response, pair[0], pair[1]);
		g_strfreev(pair);
		g_free(out->headers[i]);
	}
	if (*out->content_type)
		MHD_add_response_header(response, MHD_HTTP_HEADER_CONTENT_TYPE, out->content_type);
	return response;
}

static struct MHD_Response *create_stream(struct cw_http_response *out)
{
	struct stream_context *stream = g_new0(struct stream_context, 1);

	stream->ring = out->stream;
	stream->pull = out->pull;
	stream->on_end = out->on_end;
	stream->context = out->context;
	return MHD_create_response_from_callback(MHD_SIZE_UNKNOWN, STREAM_BLOCK_BYTES, on_stream,
						 stream, on_stream_end);
}

static ssize_t on_stream(void *data, uint64_t offset, char *buffer, size_t max)
{
	struct stream_context *stream = data;
	struct cw_chunk *chunk;
	size_t copied;
	ssize_t pulled;

	if (stream->pull) {
		pulled = stream->pull(stream->context, buffer, max);
		if (pulled == CW_PULL_ABORT)
			return MHD_CONTENT_READER_END_WITH_ERROR;
		return pulled == CW_PULL_END ? MHD_CONTENT_READER_END_OF_STREAM : pulled;
	}
	while (!stream->chunk) {
		stream->chunk = cw_ring_pop(stream->ring, STREAM_POLL_MS);
		if (!stream->chunk && cw_ring_is_drained(stream->ring))
			return MHD_CONTENT_READER_END_OF_STREAM;
	}
	chunk = stream->chunk;
	copied = MIN(max, chunk->size - chunk->sent);
	memcpy(buffer, chunk->data + chunk->sent, copied);
	chunk->sent += copied;
	if (chunk->sent == chunk->size) {
		g_free(chunk);
		stream->chunk = NULL;
	}
	return (ssize_t)copied;
}

/* Also called if the caller disconnects: the producer sees a closed ring and cancels upstream. */
static void on_stream_end(void *data)
{
	struct stream_context *stream = data;

	g_free(stream->chunk);
	if (stream->ring)
		cw_ring_close(stream->ring);
	stream->on_end(stream->context);
	g_free(stream);
}

static int start_on_port(struct cw_http_server *server, const char *host, int port)
{
	struct sockaddr_in address = {.sin_family = AF_INET, .sin_port = htons((uint16_t)port)};
	struct MHD_OptionItem tls[] = {
		{MHD_OPTION_HTTPS_MEM_KEY, 0, server->tls_key},
		{MHD_OPTION_HTTPS_MEM_CERT, 0, server->tls_cert},
		{MHD_OPTION_END, 0, NULL},
	};
	struct MHD_OptionItem plain[] = {{MHD_OPTION_END, 0, NULL}};
	const struct cw_http_server_options *options = &server->options;
	struct watch_limits limits = {.max_connections = options->max_connections};
	unsigned int library_limit = options->max_connections > 0
					     ? options->max_connections + CLOSING_CONNECTIONS
					     : UNLIMITED_CONNECTIONS;
	unsigned int flags = MHD_USE_THREAD_PER_CONNECTION | MHD_USE_INTERNAL_POLLING_THREAD |
			     MHD_USE_POLL | MHD_USE_ITC | MHD_USE_ERROR_LOG;

	inet_pton(AF_INET, host, &address.sin_addr);
	if (server->tls_cert)
		flags |= MHD_USE_TLS;
	limits.longest_s[WATCH_WAITING] = options->idle_s;
	limits.longest_s[WATCH_HEAD] = options->head_s;
	limits.longest_s[WATCH_BODY] = options->body_s;
	server->watch = watch_create(&limits);
	server->daemon = MHD_start_daemon(
		flags, (uint16_t)port, NULL, NULL, on_request, server, MHD_OPTION_EXTERNAL_LOGGER,
		on_library_log, NULL, MHD_OPTION_NOTIFY_CONNECTION, watch_on_connection,
		server->watch, MHD_OPTION_CONNECTION_LIMIT, library_limit, MHD_OPTION_SOCK_ADDR,
		&address, MHD_OPTION_CONNECTION_TIMEOUT, server->options.idle_s,
		MHD_OPTION_URI_LOG_CALLBACK, on_target, server, MHD_OPTION_NOTIFY_COMPLETED,
		on_completed, server, MHD_OPTION_ARRAY, server->tls_cert ? tls : plain,
		MHD_OPTION_END);
	return server->daemon ? 0 : -1;
}

static char *read_file(const char *path, struct cw_error *error)
{
	GError *failure = NULL;
	char *text = NULL;

	if (!g_file_get_contents(path, &text, NULL, &failure)) {
		cw_error_set(error, CW_INVALID, "tls.read", path, "%s", failure->message);
		g_error_free(failure);
	}
	return text;
}
