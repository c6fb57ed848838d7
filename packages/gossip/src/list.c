/*
 * Encoding of the server list for a connection: as a snapshot, or as the records since an offset.
 * Both are compressed, since most of an entry's text repeats in all entries.
 */
#include "cw_pack.h"
#include "gossip_internal.h"

#include <glib.h>
#include <string.h>

#define LIST_MAGIC    0x6377303b		   /* identifies the layout of a snapshot */
#define CHANGES_MAGIC 0x6377303c		   /* of records; another value is rejected */
#define HEADER_BYTES  64			   /* of either layout, before the first entry */
#define ENTRY_BYTES   (5 * (CW_NAME_MAX + 4) + 64) /* of one entry at most, lengths included */
#define RAW_MAX_BYTES (HEADER_BYTES + CW_MAX_SERVERS * ENTRY_BYTES)

static bool_t code_list(XDR *xdr, struct cw_gossip_list *list);
static bool_t code_entries(XDR *xdr, size_t *count, struct cw_server_entry **entries);
static bool_t code_changes(XDR *xdr, struct cw_gossip_changes *changes);

char *cw_gossip_list_encode(const struct cw_gossip_list *list, size_t *size)
{
	size_t capacity = HEADER_BYTES + (list->count + list->held_count) * ENTRY_BYTES;
	char *raw = g_malloc(capacity);
	char *bytes;
	XDR xdr;

	xdrmem_create(&xdr, raw, (u_int)capacity, XDR_ENCODE);
	/* Can't fail: the buffer has the largest size that the entries can take. */
	code_list(&xdr, (struct cw_gossip_list *)list);
	code_entries(&xdr, &((struct cw_gossip_list *)list)->held_count,
		     &((struct cw_gossip_list *)list)->held);
	bytes = cw_pack(raw, xdr_getpos(&xdr), size);
	xdr_destroy(&xdr);
	g_free(raw);
	return bytes;
}

enum cw_status cw_gossip_list_decode(const char *bytes, size_t size, struct cw_gossip_list *list)
{
	size_t raw_size;
	char *raw = cw_unpack(bytes, size, RAW_MAX_BYTES, &raw_size);
	bool_t is_complete = FALSE;
	XDR xdr;

	memset(list, 0, sizeof(*list));
	if (raw) {
		xdrmem_create(&xdr, raw, (u_int)raw_size, XDR_DECODE);
		is_complete = code_list(&xdr, list);
		/* Earlier builds send no held entries, and ignore what follows the others. */
		if (is_complete && xdr_getpos(&xdr) < raw_size)
			is_complete = code_entries(&xdr, &list->held_count, &list->held);
		xdr_destroy(&xdr);
	}
	g_free(raw);
	if (is_complete)
		return CW_OK;
	cw_gossip_list_clear(list);
	return CW_INVALID;
}

void cw_gossip_list_clear(struct cw_gossip_list *list)
{
	g_free(list->entries);
	g_free(list->held);
	memset(list, 0, sizeof(*list));
}

char *cw_gossip_changes_encode(const struct cw_gossip_changes *changes, size_t *size)
{
	size_t capacity = HEADER_BYTES + changes->count * ENTRY_BYTES;
	char *raw = g_malloc(capacity);
	char *bytes;
	XDR xdr;

	xdrmem_create(&xdr, raw, (u_int)capacity, XDR_ENCODE);
	code_changes(&xdr, (struct cw_gossip_changes *)changes);
	bytes = cw_pack(raw, xdr_getpos(&xdr), size);
	xdr_destroy(&xdr);
	g_free(raw);
	return bytes;
}

enum cw_status cw_gossip_changes_decode(const char *bytes, size_t size,
					struct cw_gossip_changes *changes)
{
	size_t raw_size;
	char *raw = cw_unpack(bytes, size, RAW_MAX_BYTES, &raw_size);
	bool_t is_complete = FALSE;
	XDR xdr;

	memset(changes, 0, sizeof(*changes));
	if (raw) {
		xdrmem_create(&xdr, raw, (u_int)raw_size, XDR_DECODE);
		is_complete = code_changes(&xdr, changes);
		xdr_destroy(&xdr);
	}
	g_free(raw);
	if (is_complete)
		return CW_OK;
	g_clear_pointer(&changes->changes, g_free);
	changes->count = 0;
	return CW_INVALID;
}

static bool_t code_list(XDR *xdr, struct cw_gossip_list *list)
{
	u_int magic = LIST_MAGIC;

	if (!xdr_u_int(xdr, &magic) || magic != LIST_MAGIC ||
	    !xdr_uint64_t(xdr, &list->next_offset) || !xdr_u_int(xdr, &list->age_ms))
		return FALSE;
	return code_entries(xdr, &list->count, &list->entries);
}

static bool_t code_entries(XDR *xdr, size_t *count, struct cw_server_entry **entries)
{
	if (!gossip_code_count(xdr, count, CW_MAX_SERVERS))
		return FALSE;
	if (xdr->x_op == XDR_DECODE)
		*entries = g_new0(struct cw_server_entry, *count + 1);
	for (size_t i = 0; i < *count; i++)
		if (!gossip_code_text(xdr, (*entries)[i].name, CW_NAME_MAX) ||
		    !gossip_code_entry(xdr, &(*entries)[i]))
			return FALSE;
	return TRUE;
}

static bool_t code_changes(XDR *xdr, struct cw_gossip_changes *changes)
{
	u_int magic = CHANGES_MAGIC;

	if (!xdr_u_int(xdr, &magic) || magic != CHANGES_MAGIC ||
	    !xdr_uint64_t(xdr, &changes->peer_report.next.offset) ||
	    !gossip_code_int64(xdr, &changes->peer_report.age_ms) ||
	    !xdr_uint64_t(xdr, &changes->peer_report.evidence.reader) ||
	    !xdr_uint64_t(xdr, &changes->peer_report.evidence.number) ||
	    !gossip_code_count(xdr, &changes->count, CW_TAIL_CHANGES))
		return FALSE;
	if (xdr->x_op == XDR_DECODE)
		changes->changes = g_new0(struct cw_change, changes->count + 1);
	for (size_t i = 0; i < changes->count; i++)
		if (!gossip_code_change(xdr, &changes->changes[i]))
			return FALSE;
	return TRUE;
}
