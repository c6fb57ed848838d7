/*
 * Settings of one instance: JSON with comments. The whole text is checked, and each error is
 * reported with its key and line.
 */
#ifndef CW_SETTINGS_H
#define CW_SETTINGS_H

#include "cw_hash.h"
#include "cw_status.h"

#include <stddef.h>
#include <stdint.h>

struct cw_settings_peer {
	char instance[CW_NAME_MAX];
	char failure_domain[CW_NAME_MAX];
	char address[CW_ADDRESS_MAX];
};

struct cw_settings_server {
	char name[CW_NAME_MAX];
	char service[CW_NAME_MAX];
	char address[CW_ADDRESS_MAX];
	char failure_domain[CW_NAME_MAX];
	int checks_fencing;
};

struct cw_settings {
	char instance[CW_NAME_MAX];
	char failure_domain[CW_NAME_MAX];
	char listen[CW_ADDRESS_MAX];
	char operator_listen[CW_ADDRESS_MAX];
	char peer_listen[CW_ADDRESS_MAX];
	char peer_address[CW_ADDRESS_MAX]; /* address that peers connect to; default: peer_listen */
	uint8_t peer_key[CW_KEY_BYTES];
	char platform[CW_ADDRESS_MAX];
	char log_level[16];
	char tls_cert[256];
	char tls_key[256];
	char choice_policy[32];
	char health_policy[32];
	char cascade_policy[32];
	struct cw_settings_peer *peers;
	size_t peer_count;
	struct cw_settings_server *backend_servers;
	size_t server_count;
	int64_t max_body_bytes;
	int64_t max_answer_bytes;
	int64_t max_requests;	 /* processed at the same time */
	int64_t max_connections; /* of callers, and of operators */
	int64_t head_s;		 /* to receive the header section of a request */
	int64_t body_s;		 /* to receive its body */
	int64_t idle_s;		 /* a connection without traffic is closed after this time */
	int64_t connect_ms;
	int64_t first_chunk_ms; /* time-out of a stream's first chunk */
	int64_t idle_chunk_ms;	/* time-out between two chunks of a stream */
	int64_t request_timeout_ms;
	int64_t first_wait_ms; /* predicted wait above which a request is rejected */
	int64_t heartbeat_ms;
	int64_t gossip_bytes_per_s;
	int64_t silent_ms; /* a peer without a message for this time is not live */
	int64_t claim_timeout_ms;
	int64_t claim_window_ms;   /* how long idempotency keys are remembered */
	int64_t bill_flush_ms;	   /* delay before bills are appended to the log */
	int64_t bill_hold_ms;	   /* how long the end of an answer waits for a bill's replica */
	int64_t restore_window_ms; /* the log may be restored from a copy up to this old */
	int64_t session_idle_ms;
	int64_t session_ask_ms; /* how long a session's first request waits for peers */
	int64_t log_retention_ms;
	int64_t lease_ms;     /* term of the roll-out lease of a failure domain */
	int64_t load_poll_ms; /* interval at which each server's load is polled */
	int64_t list_poll_ms;
	int64_t stop_grace_ms;
	int64_t stop_limit_ms; /* longest time that a graceful stop may take */
	int64_t seed;
};

struct cw_settings *cw_settings_load(const char *file,
				     char **errors); /* NULL: one error a line; g_free(errors) */
struct cw_settings *cw_settings_parse(const char *text, const char *name, char **errors);
void cw_settings_destroy(struct cw_settings *settings);
char *cw_settings_describe(void); /* table of keys, defaults and bounds; g_free() it */

#endif
