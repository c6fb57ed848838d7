#include "cw_gossip_shares.h"
#include "gossip_internal.h"

#include <math.h>
#include <string.h>

#define SHARES_MAGIC 0x63777368 /* identifies the layout below; other values are rejected */

static bool_t code(XDR *xdr, struct cw_gossip_shares *message);
static bool_t code_demand(XDR *xdr, struct cw_share_demand *demand);

size_t cw_gossip_encode_shares(const struct cw_gossip_shares *message, char *bytes, size_t size)
{
	XDR xdr;
	size_t used = 0;

	xdrmem_create(&xdr, bytes, (u_int)size, XDR_ENCODE);
	/* One function codes both directions; encoding doesn't write to the message. */
	if (code(&xdr, (struct cw_gossip_shares *)message))
		used = xdr_getpos(&xdr);
	xdr_destroy(&xdr);
	return used;
}

enum cw_status cw_gossip_decode_shares(const char *bytes, size_t size,
				       struct cw_gossip_shares *message)
{
	XDR xdr;
	bool_t is_complete;

	memset(message, 0, sizeof(*message));
	xdrmem_create(&xdr, (char *)bytes, (u_int)size, XDR_DECODE);
	is_complete = code(&xdr, message);
	xdr_destroy(&xdr);
	return is_complete ? CW_OK : CW_INVALID;
}

static bool_t code(XDR *xdr, struct cw_gossip_shares *message)
{
	u_int magic = SHARES_MAGIC;

	if (!xdr_u_int(xdr, &magic) || magic != SHARES_MAGIC ||
	    !gossip_code_text(xdr, message->sender, CW_NAME_MAX) ||
	    !gossip_code_text(xdr, message->service, CW_NAME_MAX) ||
	    !gossip_code_count(xdr, &message->count, CW_SHARES_ANNOUNCED))
		return FALSE;
	for (size_t i = 0; i < message->count; i++)
		if (!code_demand(xdr, &message->demands[i]))
			return FALSE;
	return TRUE;
}

/* Weights and amounts that are not finite, or negative, would spoil every share. */
static bool_t code_demand(XDR *xdr, struct cw_share_demand *demand)
{
	return xdr_uint64_t(xdr, &demand->organisation) && xdr_float(xdr, &demand->weight) &&
	       xdr_float(xdr, &demand->amount) && isfinite(demand->weight) && demand->weight > 0 &&
	       isfinite(demand->amount) && demand->amount >= 0;
}
