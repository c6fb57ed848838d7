/*
 * The entry instance as a process: a thread for each duty around one core thread that owns the
 * node. Duties post messages to the core's ring; the core carries the node's effects to the duties'
 * rings. No duty touches the node.
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
struct duties;

struct message {	       /* to the core */
	struct cw_event event; /* its times are set by the core */
	struct job *job;       /* of a request or a query */
	struct cw_request_in request;
	struct cw_attempt_end attempt;
	struct cw_records records;
	struct cw_platform_read_result read; /* owns the records' data */
	struct cw_log_record *record_list;
	struct cw_appended appended;
	struct cw_listed *listed;
	struct cw_load load;
	char **versions;
	char *text; /* owns whatever text the event points to */
};

struct daemon {
	const struct cw_settings *settings;
	struct cw_ring *core_ring;
	struct cw_node *node; /* the core thread's */
	GHashTable *jobs;     /* the core thread's: handle -> job */
	pthread_t core_thread;
	int core_stopping;
	int ready;   /* as last seen by the core */
	int stopped; /* the node has nothing left to do */
	uint64_t next_handle;
	struct duties *duties;
	struct cw_http_server *callers;
	struct cw_http_server *operators;
	struct cw_peer_server *peers;
	int jobs_running;
};

/* core.c */
void core_start(struct daemon *daemon, const struct cw_node_config *config);
void core_stop(struct daemon *daemon);
struct message *message_create(enum cw_event_kind kind);
void message_destroy(struct message *message);
void core_post(struct daemon *daemon, struct message *message); /* waits for room */
enum cw_status core_try_post(struct daemon *daemon,
			     struct message *message); /* CW_FULL: the message is the caller's */
uint64_t core_handle(struct daemon *daemon);

/* duties.c */
struct duties *duties_start(struct daemon *daemon);
void duties_stop(struct duties *duties);
void duties_take(struct duties *duties, struct cw_effect *effect); /* takes the effect */

/* callers.c */
void callers_handle(void *context, const struct cw_http_in *in, struct cw_http_out *out);
void callers_refusal(struct cw_http_out *out, enum cw_code code, enum cw_run run,
		     int64_t retry_after_ms, const char *message);

/* operators.c */
void operators_handle(void *context, const struct cw_http_in *in, struct cw_http_out *out);
int operators_health(struct daemon *daemon, const char *path,
		     struct cw_http_out *out); /* 1: answered /live or /ready */

#endif
