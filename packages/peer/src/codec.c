#include "cw_peer.h"

#include <glib.h>
#include <string.h>

#define MAC_BYTES 32

/* The signature precedes the message. */
enum cw_status cw_peer_encode(const uint8_t key[CW_KEY_BYTES], struct peer_message *message,
			      struct peer_trailer *trailer, struct cw_peer_buffer *sealed)
{
	size_t size = xdr_sizeof((xdrproc_t)xdr_peer_message, message) +
		      xdr_sizeof((xdrproc_t)xdr_peer_trailer, trailer);
	XDR xdr;

	if (size == 0 || size + MAC_BYTES > PEER_TEXT_MAX)
		return CW_FULL;
	sealed->size = size + MAC_BYTES;
	sealed->data = g_malloc0(sealed->size);
	xdrmem_create(&xdr, (char *)sealed->data + MAC_BYTES, (u_int)size, XDR_ENCODE);
	if (!xdr_peer_message(&xdr, message) || !xdr_peer_trailer(&xdr, trailer)) {
		g_free(sealed->data);
		return CW_INVALID;
	}
	cw_sign(key, sealed->data + MAC_BYTES, size, sealed->data);
	return CW_OK;
}

enum cw_status cw_peer_decode(const uint8_t key[CW_KEY_BYTES], const void *data, size_t size,
			      struct peer_message *message, struct peer_trailer *trailer)
{
	const uint8_t *bytes = data;
	XDR xdr;

	if (size <= MAC_BYTES ||
	    !cw_signature_matches(key, bytes + MAC_BYTES, size - MAC_BYTES, bytes))
		return CW_INVALID;
	memset(message, 0, sizeof(*message));
	xdrmem_create(&xdr, (char *)bytes + MAC_BYTES, (u_int)(size - MAC_BYTES), XDR_DECODE);
	if (!xdr_peer_message(&xdr, message)) {
		cw_peer_message_clear(message);
		return CW_INVALID;
	}
	if (!xdr_peer_trailer(&xdr, trailer))
		memset(trailer, 0, sizeof(*trailer));
	return CW_OK;
}

void cw_peer_message_clear(struct peer_message *message)
{
	xdr_free((xdrproc_t)xdr_peer_message, message);
}
