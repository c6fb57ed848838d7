#include "cw_gossip_shares.h"
#include "gossip_internal.h"

#include <math.h>

#define SHARES_MAGIC 0x63777368 /* identifies the layout below; other values are rejected */

static bool_t code(XDR *xdr, void *target);
static bool_t code_demand(XDR *xdr, struct cw_share_demand *demand);

size_t cw_gossip_encode_shares(const struct cw_gossip_shares *message, char *bytes, size_t size)
{
	return gossip_encode_message(code, message, bytes, size);
}

enum cw_status cw_gossip_decode_shares(const char *bytes, size_t size,
				       struct cw_gossip_shares *message)
{
	return gossip_decode_message(code, bytes, size, message, sizeof(*message));
}

static bool_t code(XDR *xdr, void *target)
{
	struct cw_gossip_shares *message = target;
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
