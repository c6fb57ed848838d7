/*
 * faultproxy: a TCP proxy between two processes that injects connection faults on command.
 * POST /control on its second port takes {"mode":NAME,"delay_ms":N,"after":BYTES,"count":N}, with
 * NAME one of
 *   pass         forward both ways
 *   refuse       close existing connections, reset new ones
 *   freeze       keep connections open, forward nothing
 *   block_up     forward nothing from the caller to the server
 *   block_down   forward nothing from the server to the caller
 *   drop_answer  forward the request, close the connection when its answer begins
 *   cut          close the connection after BYTES bytes from the server
 * delay_ms is the delay of every piece of data that is forwarded. count is the number of
 * connections that drop_answer or cut closes before the proxy passes everything again (no limit if
 * absent).
 */
#include "standin.h"

#include <argtable2.h>
#include <arpa/inet.h>
#include <errno.h>
#include <glib.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define POLL_MS	     20 /* poll time-out: a new mode takes effect within that time */
#define BUFFER_BYTES 65536
#define STACK_BYTES  (256 * 1024)

enum mode {
	MODE_PASS,
	MODE_REFUSE,
	MODE_FREEZE,
	MODE_BLOCK_UP,
	MODE_BLOCK_DOWN,
	MODE_DROP_ANSWER,
	MODE_CUT
};

static const char *const mode_names[] = {"pass",       "refuse",      "freeze", "block_up",
					 "block_down", "drop_answer", "cut"};

struct proxy {
	pthread_mutex_t mutex;
	struct sockaddr_in target;
	enum mode mode;
	int delay_ms;
	int64_t after;
	int64_t count;
};

struct connection {
	struct proxy *proxy;
	int caller;
	int server;
	int64_t answered; /* bytes forwarded from the server */
};

static void handle(void *context, const struct cw_http_request *in, struct cw_http_response *out);
static void *accept_loop(void *data);
static void *serve(void *data);
static int forward(struct connection *connection, int from, int to, int is_answer, enum mode mode);
static int consume_answer_fault(struct connection *connection, enum mode mode, ssize_t size,
				int64_t *bytes_left);
static enum mode get_mode(struct proxy *proxy, int *delay_ms);
static int connect_to(const struct sockaddr_in *target);
static int listen_at(const char *host, int *port);

static int listener;

int main(int argc, char **argv)
{
	struct arg_str *to = arg_str1(NULL, "to", "IP:PORT", "server to forward to");
	struct arg_int *port =
		arg_int0(NULL, "port", "N", "port to listen on; 0: the kernel chooses");
	struct arg_lit *help = arg_lit0(NULL, "help", "print this help and exit");
	struct arg_end *end = arg_end(20);
	void *table[] = {to, port, help, end};
	struct proxy proxy = {.mutex = PTHREAD_MUTEX_INITIALIZER, .count = INT64_MAX};
	struct cw_http_server *server;
	char host[64];
	int target_port;
	int own_port;
	pthread_t thread;

	port->ival[0] = 0;
	if (arg_parse(argc, argv, table) || help->count ||
	    cw_http_parse_address(to->sval[0], host, sizeof(host), &target_port)) {
		arg_print_glossary(stdout, table, "  %-20s %s\n");
		return help->count ? 0 : 2;
	}
	proxy.target.sin_family = AF_INET;
	proxy.target.sin_port = htons((uint16_t)target_port);
	inet_pton(AF_INET, host, &proxy.target.sin_addr);
	own_port = port->ival[0];
	listener = listen_at("127.0.0.1", &own_port);
	if (listener < 0)
		return 3;
	printf("proxy 127.0.0.1:%d\n", own_port);
	pthread_create(&thread, NULL, accept_loop, &proxy);
	server = standin_listen(0, handle, &proxy);
	standin_wait();
	cw_http_server_destroy(server);
	return 0;
}

static void handle(void *context, const struct cw_http_request *in, struct cw_http_response *out)
{
	struct proxy *proxy = context;
	struct json_object *body = standin_parse(in);
	const char *name = standin_text(body, "mode", "pass");
	int known = 0;

	pthread_mutex_lock(&proxy->mutex);
	for (size_t i = 0; i < G_N_ELEMENTS(mode_names); i++) {
		if (strcmp(name, mode_names[i]) != 0)
			continue;
		proxy->mode = i;
		known = 1;
	}
	proxy->delay_ms = (int)standin_number(body, "delay_ms", 0);
	proxy->after = standin_number(body, "after", 0);
	proxy->count = standin_number(body, "count", INT64_MAX);
	pthread_mutex_unlock(&proxy->mutex);
	json_object_put(body);
	cw_http_response_set_json(out, known ? 200 : 400, g_strdup("{}"));
}

static void *accept_loop(void *data)
{
	struct proxy *proxy = data;

	for (;;) {
		int caller = accept(listener, NULL, NULL);
		struct connection *connection;
		pthread_attr_t attr;
		pthread_t thread;
		int yes = 1;

		if (caller < 0)
			continue;
		if (get_mode(proxy, NULL) == MODE_REFUSE) {
			struct linger reset = {1, 0};

			setsockopt(caller, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
			close(caller);
			continue;
		}
		setsockopt(caller, IPPROTO_TCP, TCP_NODELAY, &yes, sizeof(yes));
		connection = g_new0(struct connection, 1);
		connection->proxy = proxy;
		connection->caller = caller;
		connection->server = -1;
		pthread_attr_init(&attr);
		pthread_attr_setdetachstate(&attr, PTHREAD_CREATE_DETACHED);
		pthread_attr_setstacksize(&attr, STACK_BYTES);
		pthread_create(&thread, &attr, serve, connection);
		pthread_attr_destroy(&attr);
	}
	return NULL;
}

static void *serve(void *data)
{
	struct connection *connection = data;
	int open = 1;

	while (open && connection->server < 0) {
		enum mode mode = get_mode(connection->proxy, NULL);

		if (mode == MODE_REFUSE)
			open = 0;
		else if (mode == MODE_FREEZE)
			usleep(POLL_MS * 1000);
		else if ((connection->server = connect_to(&connection->proxy->target)) < 0)
			open = 0;
	}
	while (open) {
		enum mode mode = get_mode(connection->proxy, NULL);
		int up = mode != MODE_FREEZE && mode != MODE_BLOCK_UP;
		int down = mode != MODE_FREEZE && mode != MODE_BLOCK_DOWN;
		struct pollfd set[2] = {{connection->caller, up ? POLLIN : 0, 0},
					{connection->server, down ? POLLIN : 0, 0}};

		if (mode == MODE_REFUSE)
			break;
		poll(set, 2, POLL_MS);
		/* If the mode changed during poll, the data that arrived is handled under the new
		 * mode. */
		if (get_mode(connection->proxy, NULL) != mode)
			continue;
		if (up && set[0].revents)
			open = forward(connection, connection->caller, connection->server, 0, mode);
		if (open && down && set[1].revents)
			open = forward(connection, connection->server, connection->caller, 1, mode);
		/* poll reports a closed connection at once; without the sleep, a blocked direction
		 * whose end has closed would make the loop spin. */
		if ((!up && set[0].revents) || (!down && set[1].revents))
			usleep(POLL_MS * 1000);
	}
	if (connection->server >= 0)
		close(connection->server);
	close(connection->caller);
	g_free(connection);
	return NULL;
}

static int forward(struct connection *connection, int from, int to, int is_answer, enum mode mode)
{
	char buffer[BUFFER_BYTES];
	int delay_ms;
	int64_t bytes_left = 0;
	ssize_t size = recv(from, buffer, sizeof(buffer), 0);

	if (size <= 0)
		return 0;
	get_mode(connection->proxy, &delay_ms);
	if (delay_ms > 0)
		usleep((useconds_t)delay_ms * 1000);
	if (is_answer && consume_answer_fault(connection, mode, size, &bytes_left)) {
		if (bytes_left > 0)
			send(to, buffer, (size_t)bytes_left, MSG_NOSIGNAL);
		return 0;
	}
	if (is_answer)
		connection->answered += size;
	for (ssize_t sent = 0; sent < size;) {
		ssize_t part = send(to, buffer + sent, (size_t)(size - sent), MSG_NOSIGNAL);

		if (part <= 0)
			return 0;
		sent += part;
	}
	return 1;
}

static int consume_answer_fault(struct connection *connection, enum mode mode, ssize_t size,
				int64_t *bytes_left)
{
	struct proxy *proxy = connection->proxy;
	int is_broken;

	if (mode != MODE_DROP_ANSWER && mode != MODE_CUT)
		return 0;
	pthread_mutex_lock(&proxy->mutex);
	is_broken = proxy->count > 0 &&
		    (mode == MODE_DROP_ANSWER || connection->answered + size > proxy->after);
	proxy->count -= is_broken;
	*bytes_left = mode == MODE_CUT ? proxy->after - connection->answered : 0;
	pthread_mutex_unlock(&proxy->mutex);
	return is_broken;
}

static enum mode get_mode(struct proxy *proxy, int *delay_ms)
{
	enum mode mode;

	pthread_mutex_lock(&proxy->mutex);
	mode = proxy->mode;
	if (delay_ms)
		*delay_ms = proxy->delay_ms;
	pthread_mutex_unlock(&proxy->mutex);
	return mode;
}

static int connect_to(const struct sockaddr_in *target)
{
	int yes = 1;
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &yes, sizeof(yes));
	if (connect(fd, (const struct sockaddr *)target, sizeof(*target)) == 0)
		return fd;
	close(fd);
	return -1;
}

static int listen_at(const char *host, int *port)
{
	struct sockaddr_in address = {.sin_family = AF_INET, .sin_port = htons((uint16_t)*port)};
	socklen_t size = sizeof(address);
	int yes = 1;
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	inet_pton(AF_INET, host, &address.sin_addr);
	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &yes, sizeof(yes));
	if (bind(fd, (struct sockaddr *)&address, sizeof(address)) || listen(fd, SOMAXCONN))
		return -1;
	getsockname(fd, (struct sockaddr *)&address, &size);
	*port = ntohs(address.sin_port);
	return fd;
}
