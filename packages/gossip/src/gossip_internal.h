/* XDR functions for parts of messages, each for both directions: encoding and decoding. */
#ifndef GOSSIP_INTERNAL_H
#define GOSSIP_INTERNAL_H

#include "cw_gossip.h"

#include <rpc/rpc.h>

size_t gossip_encode_message(bool_t (*code)(XDR *xdr, void *message), const void *message,
			     char *bytes, size_t size); /* 0: it does not fit */
enum cw_status gossip_decode_message(bool_t (*code)(XDR *xdr, void *message), const char *bytes,
				     size_t size, void *message,
				     size_t message_size); /* zeroes the message first */
bool_t gossip_code_change(XDR *xdr, struct cw_change *change);
bool_t gossip_code_entry(XDR *xdr, struct cw_server_entry *entry); /* all but the name */
bool_t gossip_code_text(XDR *xdr, char *text, u_int size);
bool_t gossip_code_count(XDR *xdr, size_t *count, size_t max);
bool_t gossip_code_int64(XDR *xdr, int64_t *value);
bool_t gossip_code_share(XDR *xdr, struct cw_backlog_share *share); /* all but running */

#endif
