/* Settings of one entry instance: JSON with comments, checked whole, every fault named by key and
 * line. */
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
	char peer_address[CW_ADDRESS_MAX]; /* as peers reach it; empty: peer_listen */
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
	int64_t max_requests;
	int64_t idle_s;
	int64_t connect_ms;
	int64_t first_chunk_ms;
	int64_t idle_chunk_ms;
	int64_t request_timeout_ms;
	int64_t first_wait_ms;
	int64_t heartbeat_ms;
	int64_t gossip_bytes_per_s;
	int64_t silent_ms;
	int64_t claim_timeout_ms;
	int64_t claim_window_ms;
	int64_t bill_flush_ms;
	int64_t bill_hold_ms;
	int64_t session_idle_ms;
	int64_t session_ask_ms;
	int64_t log_retention_ms;
	int64_t lease_ms;
	int64_t load_poll_ms;
	int64_t list_poll_ms;
	int64_t stop_grace_ms;
	int64_t stop_limit_ms;
	int64_t seed;
};

struct cw_settings *
cw_settings_load(const char *file,
		 char **faults); /* NULL: faults has a line each; g_free(faults) */
struct cw_settings *cw_settings_parse(const char *text, const char *name, char **faults);
void cw_settings_destroy(struct cw_settings *settings);
char *cw_settings_describe(void); /* every key, its default and bounds, for the docs; g_free */

#endif
