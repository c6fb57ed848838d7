/*
 * An instance as a process. One core thread owns the node; no other thread accesses the node. The
 * blocking calls are made by I/O worker threads and by the threads that run the callers' requests
 * (jobs). Both post messages to the core's ring, and the core hands them the node's effects through
 * their own rings.
 */
#ifndef DAEMON_H
#define DAEMON_H

#include "cw_http_server.h"
#include "cw_node.h"
#include "cw_platform.h"
#include "cw_ring.h"
#include "cw_settings.h"

#include <glib.h>
#include <pthread.h>

struct job;
struct io_workers;

struct message {	       /* an event for the core thread, with the data it points to */
	struct cw_event event; /* now_ms and wall_ms are set by the core thread */
	struct job *job;       /* registered by the core for a request or a query, else NULL */
	struct cw_node_request request;
	struct cw_attempt_end attempt;
	struct cw_read_result records;
	struct cw_platform_read_result read; /* owns the data of the log records in record_list */
	struct cw_log_record *record_list;
	struct cw_append_result appended;
	struct cw_list_entry *listed;
	struct cw_load load;
	char **versions;
	char *text; /* owns the text or bytes that the event points to */
};

struct daemon {
	const struct cw_settings *settings;
	struct cw_ring *core_ring;
	struct cw_node *node; /* accessed by the core thread only */
	GHashTable *jobs;     /* handle -> job; accessed by the core thread only */
	pthread_t core_thread;
	int is_core_stopping; /* atomic */
	int is_ready;	      /* atomic: readiness after the node's last step */
	int is_stopped; /* atomic: the node has finished its requests and bills after a stop */
	uint64_t next_handle; /* atomic: the last handle given out */
	struct io_workers *io_workers;
	struct cw_http_server *callers;
	struct cw_http_server *operators;
	struct cw_peer_server *peers;
	int jobs_running; /* atomic: requests and queries in progress */
};

/* core.c */
void core_start(struct daemon *daemon, const struct cw_node_config *config);
void core_stop(struct daemon *daemon);
struct message *message_create(enum cw_event_kind kind);
void message_destroy(struct message *message);
void core_post(struct daemon *daemon, struct message *message); /* blocks while the ring is full */
enum cw_status core_try_post(struct daemon *daemon,
			     struct message *message); /* CW_FULL: the message stays the caller's */
uint64_t core_create_handle(struct daemon *daemon);    /* unique in this process */

/* duties.c */
struct io_workers *io_workers_start(struct daemon *daemon);
void io_workers_stop(struct io_workers *io_workers);
void io_workers_submit(struct io_workers *io_workers,
		       struct cw_effect *effect); /* takes ownership of the effect */

/* callers.c */
void callers_handle_request(void *context, const struct cw_http_request *in,
			    struct cw_http_response *out);
void callers_write_error(struct cw_http_response *out, enum cw_error_code code,
			 enum cw_run_state run, int64_t retry_after_ms, const char *message);

/* operators.c */
void operators_handle_request(void *context, const struct cw_http_request *in,
			      struct cw_http_response *out);
int operators_handle_health(
	struct daemon *daemon, const char *path,
	struct cw_http_response *out); /* 1: path was /live or /ready, out is set */

#endif
