/*
 * Fields of a message, as the parser reports them. The parser takes names with spaces and folded
 * lines, which a server behind this process may understand differently (RFC 9112, 5.1 and 5.2), and
 * trailer fields like those of the header section.
 */
#include "flow_internal.h"
#include "cw_token.h"

size_t flow_fields_parse(struct flow_fields *fields, http_parser *parser,
			 const http_parser_settings *settings, const char *data, size_t size)
{
	size_t used;

	fields->bytes = data;
	used = http_parser_execute(parser, settings, data, size);
	fields->position += used;
	return used;
}

void flow_fields_begin(struct flow_fields *fields)
{
	fields->has_ended = 0;
}

void flow_fields_add_name(struct flow_fields *fields, struct cw_message *message, const char *data,
			  size_t size)
{
	if (!fields->has_ended)
		cw_message_add_name(message, data, size);
}

int flow_fields_add_value(struct flow_fields *fields, struct cw_message *message, const char *data,
			  size_t size)
{
	uint64_t begin = fields->position + (uint64_t)(data - fields->bytes);

	if (fields->has_ended)
		return 1;
	/* The parser leaves out the line break and the spaces of a folded line. */
	if (message->in_value && begin != fields->value_end)
		return 0;
	fields->value_end = begin + size;
	cw_message_add_value(message, data, size);
	return 1;
}

int flow_fields_end(struct flow_fields *fields, struct cw_message *message)
{
	cw_message_end_fields(message);
	fields->has_ended = 1;
	for (size_t i = 0; i < cw_message_count_fields(message); i++)
		if (!cw_is_token(cw_message_field_name(message, i)))
			return 0;
	return 1;
}
