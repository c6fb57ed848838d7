/* Shared by the stand-ins and tools: HTTP listener, replies, JSON access and shutdown. */
#ifndef STANDIN_H
#define STANDIN_H

#include "cw_http_server.h"

#include <json-c/json.h>

struct cw_http_server *standin_listen(int port,
				      void (*handle)(void *context,
						     const struct cw_http_request *in,
						     struct cw_http_response *out),
				      void *context); /* prints "listening IP:PORT" */
void standin_wait(void);			      /* blocks until SIGTERM or SIGINT */
const char *standin_query(const char *path, const char *name, char *value,
			  size_t size); /* copies into value; "" if absent */
void standin_reply(struct cw_http_response *out, int status,
		   struct json_object *body);			     /* takes ownership of body */
struct json_object *standin_parse(const struct cw_http_request *in); /* NULL: not JSON */
const char *standin_text(struct json_object *object, const char *key, const char *fallback);
int64_t standin_number(struct json_object *object, const char *key, int64_t fallback);
int64_t standin_now_ms(void); /* wall clock */

#endif
