/* Shared by exchanges and probes: connections and their addresses. */
#ifndef CLIENT_INTERNAL_H
#define CLIENT_INTERNAL_H

#include "flow_internal.h"

#include <sys/queue.h>

#define DEFAULT_IDLE_TIMEOUT_MS 4000 /* if the server states no keep-alive timeout */

struct connection {
	TAILQ_ENTRY(connection) link; /* in the idle list of the address */
	struct cw_client *client;
	struct address *address;
	struct cw_exchange *exchange; /* NULL: the connection is idle or belongs to a probe */
	struct probe *probe;
	uv_tcp_t tcp;
	uv_connect_t connect;
	uv_write_t write;
	GString *bytes; /* request being written */
	http_parser parser;
	struct flow_fields fields;
	uint64_t number;      /* in order of opening, from 1 */
	unsigned int uses;    /* requests sent on it */
	GArray *carried;      /* of uint64_t: the newest request keys among them; NULL: none */
	guint carried_oldest; /* index to overwrite next, once the array is full */
	uint64_t idle_since_ms;
	int64_t idle_limit_ms;
	int is_connected;
	int is_writing;
	int may_stall;		/* the server may leave a part of the request unread for long */
	int is_answer_complete; /* the end of the answer was parsed */
	int is_reusable;
	int is_closed;
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
	int64_t read_timeout_ms;
	int is_head;
	int is_sent;
	int has_head;		  /* the head of the request's own answer was read */
	unsigned int other_heads; /* read before it: interim answers, and those of other requests */
	int is_mismatched;	  /* the answer being read belongs to another request */
	int had_final_iteration;  /* the timeout passed, and pending input is read once more */
};

/* A connection that is opened to find out whether the server is reachable. */
struct probe {
	TAILQ_ENTRY(probe) link;
	struct connection *connection;
	uv_timer_t timer;
	void (*report)(void *context, const char *address, enum cw_probe_result result);
	void *context;
	int had_final_iteration;
};

struct cw_client {
	uv_loop_t *loop;
	TAILQ_HEAD(, probe) probes;
	GHashTable *addresses;
	TAILQ_HEAD(, cw_exchange) exchanges;
	uv_timer_t sweep_timer;
	size_t open_count;	/* connections, idle ones included */
	size_t busy_count;	/* exchanges in progress */
	size_t max_connections; /* 0: any number */
	uint64_t opened_count;
	uint64_t reused_count;
	uint64_t passed_over_count;
	uint64_t stray_count;
};

struct connection *flow_open_connection(struct cw_client *client, struct address *address);
void flow_close_connection(struct connection *connection);
int flow_start_final_iteration(uv_timer_t *timer, uv_timer_cb callback,
			       int *had_final_iteration); /* 0: the final iteration has passed */

/* idle.c: idle connections */
struct address *flow_find_address(struct cw_client *client, const char *text);
struct connection *
flow_take_idle(struct cw_client *client, struct address *address,
	       const struct cw_exchange_request *request); /* NULL: none is fit for the request */
void flow_keep_idle(struct connection *connection);
void flow_note_carried(struct connection *connection, uint64_t request_key);
void flow_close_longest_idle(struct cw_client *client);
void flow_close_expired(struct cw_client *client); /* idle for as long as the server allows */

/* probe.c */
void flow_probe_report(struct probe *probe, enum cw_probe_result result);
void flow_probe_destroy(struct probe *probe);

#endif
