/* Signed messages between instances, and the ONC RPC that transports them. */
#ifndef CW_PEER_H
#define CW_PEER_H

#include "cw_hash.h"
#include "cw_status.h"
#include "peer.h"

#include <stddef.h>
#include <stdint.h>

struct cw_peer_buffer {
	uint8_t *data; /* g_free */
	size_t size;
};

struct cw_peer_server;
struct cw_peer_client;

enum cw_status
cw_peer_encode(const uint8_t key[CW_KEY_BYTES], struct peer_message *message,
	       struct peer_trailer *trailer,
	       struct cw_peer_buffer *sealed); /* CW_FULL: over PEER_TEXT_MAX bytes */
enum cw_status cw_peer_decode(const uint8_t key[CW_KEY_BYTES], const void *data, size_t size,
			      struct peer_message *message,
			      struct peer_trailer *trailer); /* CW_INVALID: forged or malformed;
								trailer: 0 from earlier builds */
void cw_peer_message_clear(struct peer_message *message);    /* frees a message of cw_peer_decode */

struct cw_peer_server *
cw_peer_server_create(const char *address,
		      void (*deliver)(void *context, const void *data, size_t size), void *context,
		      struct cw_error *error);		    /* own thread; NULL: see error */
void cw_peer_server_destroy(struct cw_peer_server *server); /* joins its thread */
int cw_peer_server_port(const struct cw_peer_server *server);

struct cw_peer_client *cw_peer_client_create(const char *address, int timeout_ms);
void cw_peer_client_destroy(struct cw_peer_client *client);
enum cw_status cw_peer_client_send(struct cw_peer_client *client, const void *data, size_t size,
				   struct cw_error *error); /* connects if necessary */

#endif
