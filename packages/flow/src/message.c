#include "cw_message.h"

#include <string.h>
#include <strings.h>

#define KEPT_BODY_BYTES (64 * 1024) /* a larger buffer is freed after its message */
#define KEPT_TEXT_BYTES 4096

static void empty(GString **buffer, size_t kept_bytes);

static int is_listed(const char *list, const char *name);

struct cw_message *cw_message_create(void)
{
	struct cw_message *message = g_new0(struct cw_message, 1);

	message->text = g_string_sized_new(512);
	message->fields = g_array_sized_new(FALSE, FALSE, sizeof(struct cw_field), 16);
	message->target = g_string_sized_new(64);
	message->body = g_string_sized_new(0);
	return message;
}

void cw_message_destroy(struct cw_message *message)
{
	if (!message)
		return;
	g_string_free(message->text, TRUE);
	g_array_free(message->fields, TRUE);
	g_string_free(message->target, TRUE);
	g_string_free(message->body, TRUE);
	g_free(message);
}

void cw_message_clear(struct cw_message *message)
{
	empty(&message->text, KEPT_TEXT_BYTES);
	empty(&message->target, KEPT_TEXT_BYTES);
	empty(&message->body, KEPT_BODY_BYTES);
	g_array_set_size(message->fields, 0);
	message->status = 0;
	message->in_value = 0;
}

const char *cw_message_find(const struct cw_message *message, const char *name)
{
	for (size_t i = 0; i < message->fields->len; i++)
		if (!strcasecmp(cw_message_field_name(message, i), name))
			return cw_message_field_value(message, i);
	return NULL;
}

size_t cw_message_count_field(const struct cw_message *message, const char *name)
{
	size_t count = 0;

	for (size_t i = 0; i < message->fields->len; i++)
		count += !strcasecmp(cw_message_field_name(message, i), name);
	return count;
}

size_t cw_message_count_fields(const struct cw_message *message)
{
	return message->fields->len;
}

const char *cw_message_field_name(const struct cw_message *message, size_t index)
{
	return message->text->str + g_array_index(message->fields, struct cw_field, index).name;
}

const char *cw_message_field_value(const struct cw_message *message, size_t index)
{
	return message->text->str + g_array_index(message->fields, struct cw_field, index).value;
}

int cw_message_is_hop_by_hop(const struct cw_message *message, const char *name)
{
	static const char *const hops[] = {
		"Connection",
		"Keep-Alive",
		"Proxy-Connection",
		"Proxy-Authorization",
		"TE",
		"Trailer",
		"Transfer-Encoding",
		"Upgrade",
		"Expect",
		"Proxy-Authenticate",
		"Content-Length",
	};

	for (size_t i = 0; i < G_N_ELEMENTS(hops); i++)
		if (!strcasecmp(hops[i], name))
			return 1;
	for (size_t i = 0; i < message->fields->len; i++)
		if (!strcasecmp(cw_message_field_name(message, i), "Connection") &&
		    is_listed(cw_message_field_value(message, i), name))
			return 1;
	return 0;
}

void cw_message_add_name(struct cw_message *message, const char *data, size_t size)
{
	struct cw_field field;

	if (message->in_value || message->fields->len == 0) {
		cw_message_end_fields(message);
		field.name = message->text->len;
		field.value = message->text->len;
		g_array_append_val(message->fields, field);
		message->in_value = 0;
	}
	g_string_append_len(message->text, data, (gssize)size);
}

void cw_message_add_value(struct cw_message *message, const char *data, size_t size)
{
	if (!message->in_value) {
		g_string_append_c(message->text, '\0');
		g_array_index(message->fields, struct cw_field, message->fields->len - 1).value =
			message->text->len;
		message->in_value = 1;
	}
	g_string_append_len(message->text, data, (gssize)size);
}

void cw_message_end_fields(struct cw_message *message)
{
	if (message->text->len > 0)
		g_string_append_c(message->text, '\0');
}

/* A larger buffer is given back. */
static void empty(GString **buffer, size_t kept_bytes)
{
	if ((*buffer)->allocated_len > kept_bytes) {
		g_string_free(*buffer, TRUE);
		*buffer = g_string_sized_new(0);
	}
	g_string_truncate(*buffer, 0);
}

/* list: comma-separated field names, as in the Connection field. */
static int is_listed(const char *list, const char *name)
{
	size_t size = strlen(name);

	while (*list) {
		list += strspn(list, " \t,");
		if (!strncasecmp(list, name, size) && strchr(" \t,", list[size]))
			return 1;
		list += strcspn(list, ",");
	}
	return 0;
}
