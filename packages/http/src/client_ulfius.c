/* Baseline transport: the ulfius client, which opens a connection per request. */
#include "cw_http_client.h"

#include <glib.h>
#include <string.h>
#include <ulfius.h>

static enum cw_status ulfius_perform(const struct cw_http_call *call, struct cw_http_answer *answer,
				     struct cw_error *error);

const struct cw_http_transport cw_http_ulfius = {"ulfius", ulfius_perform};

static enum cw_status ulfius_perform(const struct cw_http_call *call, struct cw_http_answer *answer,
				     struct cw_error *error)
{
	struct _u_request request;
	struct _u_response response;
	int64_t start_us = g_get_monotonic_time();
	int failed;

	memset(answer, 0, sizeof(*answer));
	ulfius_init_request(&request);
	ulfius_init_response(&response);
	request.http_verb = o_strdup(call->method);
	request.http_url = msprintf("http://%s%s", call->address, call->path);
	request.timeout = (unsigned long)MAX(call->total_ms / 1000, 1);
	if (call->body)
		ulfius_set_binary_body_request(&request, call->body, call->body_size);
	for (size_t i = 0; call->headers && call->headers[i]; i++) {
		char **pair = g_strsplit(call->headers[i], ": ", 2);

		u_map_put(request.map_header, pair[0], pair[1]);
		g_strfreev(pair);
	}
	failed = ulfius_send_http_request(&request, &response) != U_OK;
	answer->total_ms = (double)(g_get_monotonic_time() - start_us) / 1000;
	answer->first_ms = answer->total_ms;
	answer->status = (int)response.status;
	answer->size = response.binary_body_length;
	answer->body = g_strndup(response.binary_body ? response.binary_body : "",
				 response.binary_body_length);
	ulfius_clean_request(&request);
	ulfius_clean_response(&response);
	if (failed)
		return cw_error_set(error, CW_UNKNOWN, "http.ulfius", call->address, "no answer");
	return CW_OK;
}
