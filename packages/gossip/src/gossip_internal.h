/* XDR functions for parts of messages, each for both directions: encoding and decoding. */
#ifndef GOSSIP_INTERNAL_H
#define GOSSIP_INTERNAL_H

#include "cw_gossip.h"

#include <rpc/rpc.h>

bool_t gossip_code_change(XDR *xdr, struct cw_change *change);
bool_t gossip_code_entry(XDR *xdr, struct cw_server_entry *entry); /* all but the name */
bool_t gossip_code_text(XDR *xdr, char *text, u_int size);
bool_t gossip_code_count(XDR *xdr, size_t *count, size_t max);
bool_t gossip_code_int64(XDR *xdr, int64_t *value);
bool_t gossip_code_share(XDR *xdr, struct cw_backlog_share *share); /* all but running */

#endif
