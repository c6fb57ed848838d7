#include "cw_gossip_backlogs.h"
#include "gossip_internal.h"

#define BACKLOGS_MAGIC 0x6377303e /* identifies the layout below; other values are rejected */

static bool_t code(XDR *xdr, void *target);

size_t cw_gossip_encode_backlogs(const struct cw_gossip_backlogs *message, char *bytes, size_t size)
{
	return gossip_encode_message(code, message, bytes, size);
}

enum cw_status cw_gossip_decode_backlogs(const char *bytes, size_t size,
					 struct cw_gossip_backlogs *message)
{
	return gossip_decode_message(code, bytes, size, message, sizeof(*message));
}

/* Numbers that no instance announces would upset every sum. */
bool_t gossip_code_share(XDR *xdr, struct cw_backlog_share *share)
{
	return xdr_uint32_t(xdr, &share->unread) && share->unread <= CW_BACKLOG_REQUESTS_MAX &&
	       xdr_uint32_t(xdr, &share->unread_ms) &&
	       share->unread_ms <= CW_BACKLOG_UNREAD_MS_MAX && xdr_uint32_t(xdr, &share->tokens) &&
	       share->tokens <= CW_BACKLOG_TOKENS_MAX;
}

static bool_t code(XDR *xdr, void *target)
{
	struct cw_gossip_backlogs *message = target;
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
