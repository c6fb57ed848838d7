/*
 * One parsed HTTP/1.1 message: start line, header fields, body. The names and values of all fields
 * are NUL-terminated in one buffer, so the number of allocations does not grow with the fields.
 */
#ifndef CW_MESSAGE_H
#define CW_MESSAGE_H

#include <glib.h>
#include <http_parser.h>
#include <stddef.h>

struct cw_message {
	GString *text;	 /* names and values, each NUL-terminated */
	GArray *fields;	 /* of struct cw_field */
	GString *target; /* request only: path and query as sent */
	GString *body;
	unsigned int status; /* answer only */
	enum http_method method;
	int in_value; /* the parser's last fragment belonged to a value */
};

struct cw_field {
	size_t name; /* offsets into text */
	size_t value;
};

struct cw_message *cw_message_create(void);
void cw_message_destroy(struct cw_message *message);
void cw_message_clear(struct cw_message *message); /* for the next message on the connection */
const char *cw_message_find(const struct cw_message *message,
			    const char *name); /* first value; NULL: absent */
size_t cw_message_count_field(const struct cw_message *message, const char *name);
size_t cw_message_count_fields(const struct cw_message *message);
const char *cw_message_field_name(const struct cw_message *message, size_t index);
const char *cw_message_field_value(const struct cw_message *message, size_t index);
int cw_message_is_hop_by_hop(const struct cw_message *message,
			     const char *name); /* the field must not be forwarded */
void cw_message_add_name(struct cw_message *message, const char *data, size_t size);
void cw_message_add_value(struct cw_message *message, const char *data, size_t size);
void cw_message_end_fields(struct cw_message *message); /* terminates the last value */

#endif
