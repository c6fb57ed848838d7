#include "cw_http_server.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <glib.h>
#include <microhttpd.h>
#include <netinet/in.h>
#include <poll.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <ulfius.h>
#include <unistd.h>

#define STREAM_BLOCK_BYTES  16384
#define STREAM_POLL_MS	    100
#define ACCEPT_IDLE_MS	    20
#define ACCEPT_DRAIN_MAX_MS 2000
#define FREE_PORT_ATTEMPTS  8
#define STEP		    "http.listen"

struct cw_http_server {
	struct _u_instance instance;
	struct cw_http_server_options options;
	char *tls_cert;
	char *tls_key;
	int is_started;
};

struct stream_context {
	struct cw_ring *ring;
	ssize_t (*pull)(void *context, char *buffer, size_t max);
	struct cw_chunk *chunk; /* partly sent */
	void (*on_end)(void *context);
	void *context;
};

static int on_request(const struct _u_request *request, struct _u_response *response, void *data);
static void send_body(struct cw_http_response *out, struct _u_response *response);
static void send_stream(struct cw_http_response *out, struct _u_response *response);
static ssize_t on_stream(void *data, uint64_t offset, char *buffer, size_t max);
static void on_stream_end(void *data);
static int is_body_too_large(const struct _u_request *request, size_t max_body);
static int start_on_port(struct cw_http_server *server, const char *host, int port);
static int find_free_port(const char *host);
static char *read_file(const char *path, struct cw_error *error);

struct cw_http_server *cw_http_server_create(const struct cw_http_server_options *options,
					     struct cw_error *error)
{
	struct cw_http_server *server = g_new0(struct cw_http_server, 1);
	char host[64];
	int port;
	int attempts = 1;

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
	/* ulfius accepts no port 0, and another process may bind the port found: then retry. */
	if (port == 0)
		attempts = FREE_PORT_ATTEMPTS;
	while (attempts-- > 0 && !server->is_started)
		server->is_started =
			start_on_port(server, host, port ? port : find_free_port(host)) == 0;
	if (server->is_started)
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
	MHD_socket listener = MHD_quiesce_daemon(server->instance.mhd_daemon);
	struct pollfd wait = {.fd = listener, .events = POLLIN};
	int64_t deadline_us = g_get_monotonic_time() + ACCEPT_DRAIN_MAX_MS * 1000;
	struct sockaddr_in address;
	socklen_t size = sizeof(address);
	int fd;

	if (listener == MHD_INVALID_SOCKET)
		return;
	fcntl(listener, F_SETFL, fcntl(listener, F_GETFL) | O_NONBLOCK);
	/* The listener is closed after an idle interval: a connection made just then is reset. */
	while (poll(&wait, 1, ACCEPT_IDLE_MS) > 0 && g_get_monotonic_time() < deadline_us) {
		fd = accept4(listener, (struct sockaddr *)&address, &size, SOCK_CLOEXEC);
		if (fd >= 0)
			MHD_add_connection(server->instance.mhd_daemon, fd,
					   (struct sockaddr *)&address, size);
		size = sizeof(address);
	}
	close(listener);
}

void cw_http_server_destroy(struct cw_http_server *server)
{
	if (!server)
		return;
	if (server->is_started)
		ulfius_stop_framework(&server->instance);
	if (server->is_started)
		ulfius_clean_instance(&server->instance);
	g_free(server->tls_cert);
	g_free(server->tls_key);
	g_free(server);
}

int cw_http_server_port(const struct cw_http_server *server)
{
	return (int)server->instance.port;
}

unsigned int cw_http_server_count_connections(const struct cw_http_server *server)
{
	const union MHD_DaemonInfo *info = MHD_get_daemon_info(server->instance.mhd_daemon,
							       MHD_DAEMON_INFO_CURRENT_CONNECTIONS);

	return info ? info->num_connections : 0;
}

const char *cw_http_request_header(const struct cw_http_request *in, const char *name)
{
	return u_map_get_case(in->headers, name);
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

static int on_request(const struct _u_request *request, struct _u_response *response, void *data)
{
	struct cw_http_server *server = data;
	struct cw_http_response out = {.status = 500};
	char peer[INET_ADDRSTRLEN] = "";
	struct cw_http_request in = {
		.method = request->http_verb,
		.path = request->http_url,
		.body = request->binary_body ? request->binary_body : "",
		.body_size = request->binary_body_length,
		.headers = request->map_header,
		.peer = peer,
	};

	if (request->client_address && request->client_address->sa_family == AF_INET)
		inet_ntop(AF_INET, &((struct sockaddr_in *)request->client_address)->sin_addr, peer,
			  sizeof(peer));
	if (is_body_too_large(request, server->options.max_body))
		cw_http_response_set_json(
			&out, 413,
			g_strdup("{\"error\":{\"code\":\"bad_request\",\"message\":\"the "
				 "body is too large\","
				 "\"run\":\"not_run\",\"retry_after_ms\":0}}"));
	else
		server->options.handle(server->options.context, &in, &out);
	for (size_t i = 0; i < out.header_count; i++) {
		char **pair = g_strsplit(out.headers[i], ": ", 2);

		u_map_put(response->map_header, pair[0], pair[1]);
		g_strfreev(pair);
		g_free(out.headers[i]);
	}
	if (*out.content_type)
		u_map_put(response->map_header, "Content-Type", out.content_type);
	if (out.stream || out.pull)
		send_stream(&out, response);
	else
		send_body(&out, response);
	return U_CALLBACK_COMPLETE;
}

static void send_body(struct cw_http_response *out, struct _u_response *response)
{
	ulfius_set_binary_body_response(response, (unsigned int)out->status,
					out->body ? out->body : "", out->body_size);
	g_free(out->body);
}

static void send_stream(struct cw_http_response *out, struct _u_response *response)
{
	struct stream_context *stream = g_new0(struct stream_context, 1);

	stream->ring = out->stream;
	stream->pull = out->pull;
	stream->on_end = out->on_end;
	stream->context = out->context;
	ulfius_set_stream_response(response, (unsigned int)out->status, on_stream, on_stream_end,
				   U_STREAM_SIZE_UNKNOWN, STREAM_BLOCK_BYTES, stream);
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
			return U_STREAM_ERROR;
		return pulled == CW_PULL_END ? U_STREAM_END : pulled;
	}
	while (!stream->chunk) {
		stream->chunk = cw_ring_pop(stream->ring, STREAM_POLL_MS);
		if (!stream->chunk && cw_ring_is_drained(stream->ring))
			return U_STREAM_END;
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

/* ulfius silently truncates a body at its limit, so the length is checked. */
static int is_body_too_large(const struct _u_request *request, size_t max_body)
{
	const char *length = u_map_get_case(request->map_header, "Content-Length");

	if (length && g_ascii_strtoull(length, NULL, 10) > max_body)
		return 1;
	return request->binary_body_length > max_body;
}

static int start_on_port(struct cw_http_server *server, const char *host, int port)
{
	struct sockaddr_in address = {.sin_family = AF_INET, .sin_port = htons((uint16_t)port)};
	int failed;

	inet_pton(AF_INET, host, &address.sin_addr);
	if (ulfius_init_instance(&server->instance, (unsigned int)port, &address, NULL) != U_OK)
		return -1;
	server->instance.max_post_body_size = server->options.max_body + 1;
	server->instance.timeout = server->options.idle_s;
	server->instance.mhd_response_copy_data = 0;
	server->instance.check_utf8 = 0;
	ulfius_add_endpoint_by_val(&server->instance, "*", NULL, "*", 0, on_request, server);
	if (server->tls_cert)
		failed = ulfius_start_secure_framework(&server->instance, server->tls_key,
						       server->tls_cert) != U_OK;
	else
		failed = ulfius_start_framework(&server->instance) != U_OK;
	if (failed)
		ulfius_clean_instance(&server->instance);
	return failed;
}

static int find_free_port(const char *host)
{
	struct sockaddr_in address = {.sin_family = AF_INET};
	socklen_t size = sizeof(address);
	int fd = socket(AF_INET, SOCK_STREAM, 0);
	int port = 0;

	inet_pton(AF_INET, host, &address.sin_addr);
	if (bind(fd, (struct sockaddr *)&address, sizeof(address)) == 0 &&
	    getsockname(fd, (struct sockaddr *)&address, &size) == 0)
		port = ntohs(address.sin_port);
	close(fd);
	return port;
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
