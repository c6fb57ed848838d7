/* Parses a caller's request within the limits of its listener. */
#include "listener_internal.h"

#include <string.h>

static int reserve(struct cw_caller *caller, size_t size);
static int reject_large_header(struct cw_caller *caller);
static int on_begin(http_parser *parser);
static int on_url(http_parser *parser, const char *data, size_t size);
static int on_name(http_parser *parser, const char *data, size_t size);
static int on_value(http_parser *parser, const char *data, size_t size);
static int on_headers(http_parser *parser);
static int on_body(http_parser *parser, const char *data, size_t size);
static int on_complete(http_parser *parser);

static const http_parser_settings parser_settings = {
	.on_message_begin = on_begin,
	.on_url = on_url,
	.on_header_field = on_name,
	.on_header_value = on_value,
	.on_headers_complete = on_headers,
	.on_body = on_body,
	.on_message_complete = on_complete,
};

size_t caller_parse(struct cw_caller *caller, const char *data, size_t size)
{
	size_t used;

	if (!caller->has_request_bytes) {
		caller->has_request_bytes = 1;
		caller->state_since_ms = uv_now(caller->listener->loop);
	}
	used = flow_fields_parse(&caller->fields, &caller->parser, &parser_settings, data, size);
	if (caller->is_request_complete) {
		http_parser_pause(&caller->parser, 0);
		return used;
	}
	if (caller->reject_status)
		return used;
	if (HTTP_PARSER_ERRNO(&caller->parser) != HPE_OK || caller->parser.upgrade) {
		caller->reject_status = HTTP_STATUS_BAD_REQUEST;
		caller->reject_reason = http_errno_description(HTTP_PARSER_ERRNO(&caller->parser));
	}
	return used;
}

void caller_release(struct cw_caller *caller)
{
	caller->listener->held_bytes -= caller->held_bytes;
	caller->held_bytes = 0;
}

/*
 * Load pattern: large bodies come faster than a server reads them, and the process exceeds the
 * memory of its machine. A body that is alone always fits, so that no limit rejects it for good.
 */
static int reserve(struct cw_caller *caller, size_t size)
{
	struct cw_listener *listener = caller->listener;

	if (listener->limits.held_bytes > 0 && listener->held_bytes > caller->held_bytes &&
	    listener->held_bytes + size > listener->limits.held_bytes) {
		caller->reject_status = HTTP_STATUS_SERVICE_UNAVAILABLE;
		caller->reject_reason = "no memory for its body";
		return 0;
	}
	listener->held_bytes += size;
	caller->held_bytes += size;
	return 1;
}

static int on_begin(http_parser *parser)
{
	struct cw_caller *caller = parser->data;

	cw_message_clear(caller->message);
	flow_fields_begin(&caller->fields);
	return 0;
}

static int reject_large_header(struct cw_caller *caller)
{
	if (caller->message->text->len + caller->message->target->len <=
	    caller->listener->limits.header_bytes)
		return 0;
	caller->reject_status = HTTP_STATUS_REQUEST_HEADER_FIELDS_TOO_LARGE;
	caller->reject_reason = "header fields past the limit";
	return 1;
}

static int on_url(http_parser *parser, const char *data, size_t size)
{
	struct cw_caller *caller = parser->data;

	g_string_append_len(caller->message->target, data, (gssize)size);
	return reject_large_header(caller);
}

static int on_name(http_parser *parser, const char *data, size_t size)
{
	struct cw_caller *caller = parser->data;

	flow_fields_add_name(&caller->fields, caller->message, data, size);
	return reject_large_header(caller);
}

static int on_value(http_parser *parser, const char *data, size_t size)
{
	struct cw_caller *caller = parser->data;

	if (!flow_fields_add_value(&caller->fields, caller->message, data, size)) {
		caller->reject_status = HTTP_STATUS_BAD_REQUEST;
		caller->reject_reason = "folded field line";
		return 1;
	}
	return reject_large_header(caller);
}

static int on_headers(http_parser *parser)
{
	struct cw_caller *caller = parser->data;
	const char *expect;

	if (!flow_fields_end(&caller->fields, caller->message)) {
		caller->reject_status = HTTP_STATUS_BAD_REQUEST;
		caller->reject_reason = "field name that is no token";
		return -1;
	}
	caller->message->method = (enum http_method)parser->method;
	caller->keep_alive = http_should_keep_alive(parser);
	if (parser->http_major != 1 || parser->http_minor != 1) {
		caller->reject_status = HTTP_STATUS_HTTP_VERSION_NOT_SUPPORTED;
		caller->reject_reason = "not HTTP/1.1";
		return -1;
	}
	if (parser->content_length != G_MAXUINT64 &&
	    parser->content_length > caller->listener->limits.body_bytes) {
		caller->reject_status = HTTP_STATUS_PAYLOAD_TOO_LARGE;
		caller->reject_reason = "body past the limit";
		return -1;
	}
	if (parser->content_length != G_MAXUINT64 && !reserve(caller, parser->content_length))
		return -1;
	expect = cw_message_find(caller->message, "Expect");
	if (expect && !g_ascii_strcasecmp(expect, "100-continue")) {
		g_string_append(caller->out, "HTTP/1.1 100 Continue\r\n\r\n");
		caller_flush(caller);
	}
	return 0;
}

static int on_body(http_parser *parser, const char *data, size_t size)
{
	struct cw_caller *caller = parser->data;

	if (caller->message->body->len + size > caller->listener->limits.body_bytes) {
		caller->reject_status = HTTP_STATUS_PAYLOAD_TOO_LARGE;
		caller->reject_reason = "body past the limit";
		return 1;
	}
	if (caller->message->body->len + size > caller->held_bytes && !reserve(caller, size))
		return 1;
	g_string_append_len(caller->message->body, data, (gssize)size);
	return 0;
}

static int on_complete(http_parser *parser)
{
	struct cw_caller *caller = parser->data;

	caller->is_request_complete = 1;
	http_parser_pause(parser, 1);
	return 0;
}
