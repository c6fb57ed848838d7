/* What exchanges and probes share: connections and the addresses they lead to. */
#ifndef CLIENT_INTERNAL_H
#define CLIENT_INTERNAL_H

#include "flow_internal.h"

#include <sys/queue.h>

#define IDLE_MS_UNTOLD 4000 /* a kept connection's life where the server names none */

struct connection {
	TAILQ_ENTRY(connection) link; /* among the idle ones of its address */
	struct cw_client *client;
	struct address *address;
	struct cw_exchange *exchange; /* NULL: idle, or a probe's */
	struct probe *probe;
	uv_tcp_t tcp;
	uv_connect_t connect;
	uv_write_t write;
	GString *bytes; /* being written */
	http_parser parser;
	uint64_t idle_since_ms;
	int64_t idle_limit_ms;
	int connected;
	int writing;
	int complete; /* the answer's end was parsed */
	int reusable;
	int closed;
};

TAILQ_HEAD(connection_list, connection);

struct address {
	char text[CW_ADDRESS_MAX];
	struct connection_list idle;
	size_t idle_count;
};

struct cw_exchange {
	TAILQ_ENTRY(cw_exchange) link;
	struct cw_client *client;
	struct connection *connection;
	const struct cw_exchange_ops *ops;
	void *context;
	struct cw_message *answer;
	char *echo_name;
	char *echo_value;
	uv_timer_t timer;
	int64_t silence_ms;
	int is_head;
	int sent;
	int foreign;  /* the answer being read is another request's */
	int had_turn; /* the limit has passed, what came is read once more */
};

/* A connection that is opened only to see whether its server can be reached. */
struct probe {
	TAILQ_ENTRY(probe) link;
	struct connection *connection;
	uv_timer_t timer;
	void (*told)(void *context, const char *address, int is_reachable);
	void *context;
	int had_turn;
};

struct cw_client {
	uv_loop_t *loop;
	TAILQ_HEAD(, probe) probes;
	GHashTable *addresses;
	TAILQ_HEAD(, cw_exchange) exchanges;
	uv_timer_t sweep;
	uint64_t opened;
};

struct address *flow_find_address(struct cw_client *client, const char *text);
struct connection *flow_open_connection(struct cw_client *client, struct address *address);
void flow_close_connection(struct connection *connection);
void flow_keep(struct connection *connection); /* as an idle one */
int flow_needs_turn(uv_timer_t *timer, uv_timer_cb callback,
		    int *had_turn); /* 1: a limit has passed, one more turn of the loop is given */
void flow_probe_told(struct probe *probe, int is_reachable);
void flow_probe_end(struct probe *probe);

#endif
