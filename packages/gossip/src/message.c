/* Messages whose layout one function codes in both directions. */
#include "gossip_internal.h"

#include <string.h>

size_t gossip_encode_message(bool_t (*code)(XDR *xdr, void *message), const void *message,
			     char *bytes, size_t size)
{
	XDR xdr;
	size_t used = 0;

	xdrmem_create(&xdr, bytes, (u_int)size, XDR_ENCODE);
	/* Encoding doesn't write to the message. */
	if (code(&xdr, (void *)message))
		used = xdr_getpos(&xdr);
	xdr_destroy(&xdr);
	return used;
}

enum cw_status gossip_decode_message(bool_t (*code)(XDR *xdr, void *message), const char *bytes,
				     size_t size, void *message, size_t message_size)
{
	XDR xdr;
	bool_t is_complete;

	memset(message, 0, message_size);
	xdrmem_create(&xdr, (char *)bytes, (u_int)size, XDR_DECODE);
	is_complete = code(&xdr, message);
	xdr_destroy(&xdr);
	return is_complete ? CW_OK : CW_INVALID;
}
