#include "standin.h"

#include <glib.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#define MAX_BODY (64 * 1024 * 1024)

/* Atomic, since the signal handler may run on any thread. */
static int stop_asked;

static void on_signal(int number)
{
	__atomic_store_n(&stop_asked, 1, __ATOMIC_RELEASE);
}

struct cw_http_server *standin_listen(int port,
				      void (*handle)(void *context,
						     const struct cw_http_request *in,
						     struct cw_http_response *out),
				      void *context)
{
	char address[64];
	struct cw_error error;
	struct cw_http_server_options options = {
		.address = address,
		.max_body = MAX_BODY,
		.idle_s = 120,
		.handle = handle,
		.context = context,
	};
	struct cw_http_server *server;

	signal(SIGPIPE, SIG_IGN);
	signal(SIGTERM, on_signal);
	signal(SIGINT, on_signal);
	g_snprintf(address, sizeof(address), "127.0.0.1:%d", port);
	server = cw_http_server_create(&options, &error);
	if (!server) {
		fprintf(stderr, "%s: %s\n", error.step, error.message);
		exit(3);
	}
	printf("listening 127.0.0.1:%d\n", cw_http_server_port(server));
	fflush(stdout);
	return server;
}

void standin_wait(void)
{
	while (!__atomic_load_n(&stop_asked, __ATOMIC_ACQUIRE))
		usleep(20000);
}

const char *standin_query(const char *path, const char *name, char *value, size_t size)
{
	const char *at = strchr(path, '?');
	size_t length = strlen(name);

	*value = '\0';
	while (at) {
		at++;
		if (!strncmp(at, name, length) && at[length] == '=') {
			g_strlcpy(value, at + length + 1,
				  MIN(size, strcspn(at + length + 1, "&") + 1));
			break;
		}
		at = strchr(at, '&');
	}
	return value;
}

void standin_reply(struct cw_http_response *out, int status, struct json_object *body)
{
	cw_http_response_set_json(
		out, status,
		g_strdup(json_object_to_json_string_ext(
			body, JSON_C_TO_STRING_PLAIN | JSON_C_TO_STRING_NOSLASHESCAPE)));
	json_object_put(body);
}

struct json_object *standin_parse(const struct cw_http_request *in)
{
	char *text = g_strndup(in->body, in->body_size);
	struct json_object *parsed = json_tokener_parse(text);

	g_free(text);
	return parsed;
}

const char *standin_text(struct json_object *object, const char *key, const char *fallback)
{
	struct json_object *value;

	return json_object_object_get_ex(object, key, &value) ? json_object_get_string(value)
							      : fallback;
}

int64_t standin_number(struct json_object *object, const char *key, int64_t fallback)
{
	struct json_object *value;

	return json_object_object_get_ex(object, key, &value) ? json_object_get_int64(value)
							      : fallback;
}

int64_t standin_now_ms(void)
{
	return g_get_real_time() / 1000;
}
