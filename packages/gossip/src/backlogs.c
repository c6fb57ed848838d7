#include "cw_gossip_backlogs.h"
#include "gossip_internal.h"

#include <string.h>

#define BACKLOGS_MAGIC 0x6377303e /* identifies the layout below; other values are rejected */

static bool_t code(XDR *xdr, struct cw_gossip_backlogs *message);

size_t cw_gossip_encode_backlogs(const struct cw_gossip_backlogs *message, char *bytes, size_t size)
{
	XDR xdr;
	size_t used = 0;

	xdrmem_create(&xdr, bytes, (u_int)size, XDR_ENCODE);
	/* One function codes both directions; encoding doesn't write to the message. */
	if (code(&xdr, (struct cw_gossip_backlogs *)message))
		used = xdr_getpos(&xdr);
	xdr_destroy(&xdr);
	return used;
}

enum cw_status cw_gossip_decode_backlogs(const char *bytes, size_t size,
					 struct cw_gossip_backlogs *message)
{
	XDR xdr;
	bool_t is_complete;

	memset(message, 0, sizeof(*message));
	xdrmem_create(&xdr, (char *)bytes, (u_int)size, XDR_DECODE);
	is_complete = code(&xdr, message);
	xdr_destroy(&xdr);
	return is_complete ? CW_OK : CW_INVALID;
}

/* Numbers that no instance announces would upset every sum. */
bool_t gossip_code_share(XDR *xdr, struct cw_backlog_share *share)
{
	return xdr_uint32_t(xdr, &share->unread) && share->unread <= CW_BACKLOG_REQUESTS_MAX &&
	       xdr_uint32_t(xdr, &share->unread_ms) &&
	       share->unread_ms <= CW_BACKLOG_UNREAD_MS_MAX && xdr_uint32_t(xdr, &share->tokens) &&
	       share->tokens <= CW_BACKLOG_TOKENS_MAX;
}

static bool_t code(XDR *xdr, struct cw_gossip_backlogs *message)
{
	u_int magic = BACKLOGS_MAGIC;

	if (!xdr_u_int(xdr, &magic) || magic != BACKLOGS_MAGIC ||
	    !xdr_uint64_t(xdr, &message->instance) || !xdr_uint64_t(xdr, &message->boot) ||
	    !xdr_uint32_t(xdr, &message->sequence) ||
	    !gossip_code_count(xdr, &message->count, CW_GOSSIP_BACKLOGS))
		return FALSE;
	for (size_t i = 0; i < message->count; i++) {
		struct cw_backlog_report *report = &message->reports[i];

		if (!xdr_uint64_t(xdr, &report->server) ||
		    !xdr_uint32_t(xdr, &report->share.running) ||
		    report->share.running > CW_BACKLOG_REQUESTS_MAX ||
		    !gossip_code_share(xdr, &report->share))
			return FALSE;
	}
	return TRUE;
}
