/* ONC RPC between instances: one listener thread, and one outgoing connection per peer. */
#include "cw_peer.h"

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <glib.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <pthread.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <rpc/rpc_com.h>
#include <unistd.h>

#define POLL_INTERVAL_MS 100
#define LISTEN_BACKLOG	 64
#define RPC_BUFFER_BYTES 65536
#define REPLY_RECEIVED	 1
#define STEP_LISTEN	 "peer.listen"
#define STEP_SEND	 "peer.send"

struct cw_peer_server {
	void (*deliver)(void *context, const void *data, size_t size);
	void *context;
	SVCXPRT *transport;
	pthread_t thread;
	int port;
	int is_stopping;
};

struct cw_peer_client {
	char address[CW_ADDRESS_MAX];
	int timeout_ms;
	CLIENT *rpc;
};

/* The service function of rpcgen has no context argument: one listener per process. */
static struct cw_peer_server *active_server;
static pthread_once_t auth_once = PTHREAD_ONCE_INIT;

extern void peer_program_1(struct svc_req *request, SVCXPRT *transport);

static void init_auth(void);
static void *run_server(void *data);
static int listen_at(const char *address, int *port);
static int parse_address(const char *address, struct sockaddr_in *parsed);
static int connect_to(const struct sockaddr_in *address, int timeout_ms);
static enum cw_status client_connect(struct cw_peer_client *client, struct cw_error *error);
static void client_disconnect(struct cw_peer_client *client);

struct cw_peer_server *cw_peer_server_create(const char *address,
					     void (*deliver)(void *context, const void *data,
							     size_t size),
					     void *context, struct cw_error *error)
{
	struct cw_peer_server *server = g_new0(struct cw_peer_server, 1);
	int max_record = PEER_TEXT_MAX + 4096;
	int fd = listen_at(address, &server->port);

	if (fd < 0) {
		cw_error_set(error, CW_UNREACHABLE, STEP_LISTEN, address, "%s", strerror(errno));
		g_free(server);
		return NULL;
	}
	/*
	 * A maximum record size makes libtirpc read connections without blocking. Otherwise a peer
	 * that stops in the middle of a message blocks the only listener thread for half a minute,
	 * and all other peers seem unreachable.
	 */
	rpc_control(RPC_SVC_CONNMAXREC_SET, &max_record);
	server->deliver = deliver;
	server->context = context;
	active_server = server;
	server->transport = svc_vc_create(fd, RPC_BUFFER_BYTES, RPC_BUFFER_BYTES);
	if (!server->transport ||
	    !svc_reg(server->transport, PEER_PROGRAM, PEER_VERSION, peer_program_1, NULL) ||
	    pthread_create(&server->thread, NULL, run_server, server)) {
		cw_error_set(error, CW_UNREACHABLE, STEP_LISTEN, address,
			     "cannot start the RPC service");
		active_server = NULL;
		g_free(server);
		return NULL;
	}
	return server;
}

void cw_peer_server_destroy(struct cw_peer_server *server)
{
	if (!server)
		return;
	__atomic_store_n(&server->is_stopping, 1, __ATOMIC_RELEASE);
	pthread_join(server->thread, NULL);
	svc_unreg(PEER_PROGRAM, PEER_VERSION);
	svc_destroy(server->transport);
	active_server = NULL;
	g_free(server);
}

int cw_peer_server_port(const struct cw_peer_server *server)
{
	return server->port;
}

bool_t peer_deliver_1_svc(peer_envelope envelope, int *result, struct svc_req *request)
{
	/* The receiver expects the signature before the message, and checks it. */
	GByteArray *sealed = g_byte_array_new();

	g_byte_array_append(sealed, (const guint8 *)envelope.mac, sizeof(envelope.mac));
	g_byte_array_append(sealed, (const guint8 *)envelope.message.message_val,
			    envelope.message.message_len);
	active_server->deliver(active_server->context, sealed->data, sealed->len);
	g_byte_array_unref(sealed);
	*result = REPLY_RECEIVED;
	return TRUE;
}

int peer_program_1_freeresult(SVCXPRT *transport, xdrproc_t xdr_result, caddr_t result)
{
	xdr_free(xdr_result, result);
	return 1;
}

struct cw_peer_client *cw_peer_client_create(const char *address, int timeout_ms)
{
	struct cw_peer_client *client = g_new0(struct cw_peer_client, 1);

	/* libtirpc creates its shared "no authentication" object on first use. Without
	 * pthread_once, two threads could create it at the same time and leak one. */
	pthread_once(&auth_once, init_auth);
	g_strlcpy(client->address, address, CW_ADDRESS_MAX);
	client->timeout_ms = timeout_ms;
	return client;
}

void cw_peer_client_destroy(struct cw_peer_client *client)
{
	if (!client)
		return;
	client_disconnect(client);
	g_free(client);
}

enum cw_status cw_peer_client_send(struct cw_peer_client *client, const void *data, size_t size,
				   struct cw_error *error)
{
	struct timeval timeout = {client->timeout_ms / 1000, (client->timeout_ms % 1000) * 1000};
	const size_t mac_size = sizeof(((peer_envelope *)NULL)->mac);
	peer_envelope envelope;
	enum clnt_stat status;
	int received = 0;

	if (!client->rpc)
		client_connect(client, error);
	if (!client->rpc)
		return CW_UNREACHABLE;
	memcpy(envelope.mac, data, mac_size);
	envelope.message.message_val = (char *)data + mac_size;
	envelope.message.message_len = (u_int)(size - mac_size);
	status = clnt_call(client->rpc, PEER_DELIVER, (xdrproc_t)xdr_peer_envelope,
			   (caddr_t)&envelope, (xdrproc_t)xdr_int, (caddr_t)&received, timeout);
	if (status == RPC_SUCCESS && received == REPLY_RECEIVED)
		return CW_OK;
	/* Messages are idempotent: a later heartbeat repeats what may not have arrived. */
	client_disconnect(client);
	return cw_error_set(error, CW_UNKNOWN, STEP_SEND, client->address, "%s",
			    clnt_sperrno(status));
}

static void init_auth(void)
{
	authnone_create();
}

static void *run_server(void *data)
{
	struct cw_peer_server *server = data;

	while (!__atomic_load_n(&server->is_stopping, __ATOMIC_ACQUIRE)) {
		int count = svc_max_pollfd;
		struct pollfd *set = g_new(struct pollfd, (size_t)count + 1);
		int ready;

		memcpy(set, svc_pollfd, sizeof(*set) * (size_t)count);
		ready = poll(set, (nfds_t)count, POLL_INTERVAL_MS);
		if (ready > 0)
			svc_getreq_poll(set, ready);
		g_free(set);
	}
	return NULL;
}

static int listen_at(const char *address, int *port)
{
	struct sockaddr_in parsed;
	socklen_t size = sizeof(parsed);
	int enabled = 1;
	int fd;

	if (parse_address(address, &parsed)) {
		errno = EINVAL;
		return -1;
	}
	fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &enabled, sizeof(enabled));
	if (bind(fd, (struct sockaddr *)&parsed, sizeof(parsed)) || listen(fd, LISTEN_BACKLOG)) {
		close(fd);
		return -1;
	}
	getsockname(fd, (struct sockaddr *)&parsed, &size);
	*port = ntohs(parsed.sin_port);
	return fd;
}

static int parse_address(const char *address, struct sockaddr_in *parsed)
{
	char *text = g_strdup(address);
	char *colon = strrchr(text, ':');
	int failed = !colon;

	memset(parsed, 0, sizeof(*parsed));
	parsed->sin_family = AF_INET;
	if (colon) {
		*colon = '\0';
		parsed->sin_port = htons((uint16_t)g_ascii_strtoull(colon + 1, NULL, 10));
		failed = inet_pton(AF_INET, text, &parsed->sin_addr) != 1;
	}
	g_free(text);
	return failed;
}

static int connect_to(const struct sockaddr_in *address, int timeout_ms)
{
	struct pollfd wait;
	int socket_error = 0;
	socklen_t size = sizeof(socket_error);
	int enabled = 1;
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);

	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof(enabled));
	if (connect(fd, (const struct sockaddr *)address, sizeof(*address)) &&
	    errno != EINPROGRESS) {
		close(fd);
		return -1;
	}
	wait.fd = fd;
	wait.events = POLLOUT;
	if (poll(&wait, 1, timeout_ms) != 1 ||
	    getsockopt(fd, SOL_SOCKET, SO_ERROR, &socket_error, &size) || socket_error) {
		close(fd);
		return -1;
	}
	fcntl(fd, F_SETFL, fcntl(fd, F_GETFL) & ~O_NONBLOCK);
	return fd;
}

static enum cw_status client_connect(struct cw_peer_client *client, struct cw_error *error)
{
	struct sockaddr_in address;
	struct netbuf target = {.maxlen = sizeof(address), .len = sizeof(address), .buf = &address};
	int fd;

	if (parse_address(client->address, &address))
		return cw_error_set(error, CW_INVALID, STEP_SEND, client->address,
				    "not an IP:PORT");
	fd = connect_to(&address, client->timeout_ms);
	if (fd < 0)
		return cw_error_set(error, CW_UNREACHABLE, STEP_SEND, client->address,
				    "no connection");
	client->rpc = clnt_vc_create(fd, &target, PEER_PROGRAM, PEER_VERSION, RPC_BUFFER_BYTES,
				     RPC_BUFFER_BYTES);
	if (!client->rpc) {
		close(fd);
		return cw_error_set(error, CW_UNREACHABLE, STEP_SEND, client->address,
				    "cannot create the RPC client");
	}
	clnt_control(client->rpc, CLSET_FD_CLOSE, NULL);
	return CW_OK;
}

static void client_disconnect(struct cw_peer_client *client)
{
	if (!client->rpc)
		return;
	clnt_destroy(client->rpc);
	client->rpc = NULL;
}
