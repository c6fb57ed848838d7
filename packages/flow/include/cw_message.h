/*
 * One HTTP/1.1 message as it was read: start line, header fields, body. Names and values are kept
 * NUL-terminated in one buffer, so a message costs three allocations whatever its fields.
 */
#ifndef CW_MESSAGE_H
#define CW_MESSAGE_H

#include <glib.h>
#include <http_parser.h>
#include <stddef.h>

struct cw_message {
	GString *text;	 /* names and values, each ended by a NUL */
	GArray *fields;	 /* of struct cw_field */
	GString *target; /* request: path and query as sent */
	GString *body;
	unsigned int status; /* answer */
	enum http_method method;
	int in_value; /* the parser's last fragment belonged to a value */
};

struct cw_field {
	size_t name; /* offsets into text */
	size_t value;
};

struct cw_message *cw_message_create(void);
void cw_message_destroy(struct cw_message *message);
void cw_message_clear(struct cw_message *message); /* ready for the next one on a connection */
const char *cw_message_find(const struct cw_message *message,
			    const char *name); /* first value, NULL: absent */
size_t cw_message_count(const struct cw_message *message, const char *name);
size_t cw_message_fields(const struct cw_message *message);
const char *cw_message_name(const struct cw_message *message, size_t index);
const char *cw_message_value(const struct cw_message *message, size_t index);
int cw_message_is_hop(const struct cw_message *message,
		      const char *name); /* field concerns one connection only */
void cw_message_add_name(struct cw_message *message, const char *data, size_t size);
void cw_message_add_value(struct cw_message *message, const char *data, size_t size);
void cw_message_seal(struct cw_message *message); /* all header fields were read */

#endif
