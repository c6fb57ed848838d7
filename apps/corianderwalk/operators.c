/* The operators' HTTP interface: health checks, counters, events, status, quarantine. */
#include "daemon.h"
#include "job.h"
#include "cw_counters.h"
#include "cw_timeline.h"

#include <string.h>

#define QUARANTINE_PREFIX "/quarantine/" /* then a fingerprint: DELETE releases the request */

static void update_gauges(struct daemon *daemon);

void operators_handle_request(void *context, const struct cw_http_request *in,
			      struct cw_http_response *out)
{
	struct daemon *daemon = context;
	const char *after;
	int status;

	if (operators_handle_health(daemon, in->path, out))
		return;
	if (!strcmp(in->path, "/counters")) {
		update_gauges(daemon);
		out->status = 200;
		out->body = cw_counters_format();
		out->body_size = strlen(out->body);
		g_strlcpy(out->content_type, "text/plain; version=0.0.4",
			  sizeof(out->content_type));
	} else if (g_str_has_prefix(in->path, "/events")) {
		after = strstr(in->path, "after=");
		out->status = 200;
		out->body = cw_timeline_read_after(
			after ? g_ascii_strtoull(after + strlen("after="), NULL, 10) : 0);
		out->body_size = strlen(out->body);
		g_strlcpy(out->content_type, "application/x-ndjson", sizeof(out->content_type));
	} else if (!strcmp(in->path, "/status")) {
		out->body = job_query(daemon, CW_QUERY_STATUS, NULL, &status);
		cw_http_response_set_json(out, status, out->body);
	} else if (!strcmp(in->path, "/quarantine")) {
		out->body = job_query(daemon, CW_QUERY_QUARANTINE, NULL, &status);
		cw_http_response_set_json(out, status, out->body);
	} else if (g_str_has_prefix(in->path, QUARANTINE_PREFIX) && !strcmp(in->method, "DELETE")) {
		out->body = job_query(daemon, CW_QUERY_RELEASE,
				      in->path + strlen(QUARANTINE_PREFIX), &status);
		cw_http_response_set_json(out, status, out->body);
	} else {
		callers_write_error(out, CW_CODE_BAD_REQUEST, CW_RUN_NOT_EXECUTED, 0,
				    "no such path");
		out->status = 404;
	}
}

int operators_handle_health(struct daemon *daemon, const char *path, struct cw_http_response *out)
{
	int ready = __atomic_load_n(&daemon->is_ready, __ATOMIC_ACQUIRE);

	if (!strcmp(path, "/live"))
		cw_http_response_set_json(out, 200, g_strdup("{\"live\":true}"));
	else if (!strcmp(path, "/ready"))
		cw_http_response_set_json(
			out, ready ? 200 : 503,
			g_strdup(ready ? "{\"ready\":true}" : "{\"ready\":false}"));
	else
		return 0;
	return 1;
}

static void update_gauges(struct daemon *daemon)
{
	cw_gauge_set("requests_running", "",
		     (uint64_t)__atomic_load_n(&daemon->jobs_running, __ATOMIC_RELAXED));
	cw_gauge_set("core_ring_length", "", cw_ring_length(daemon->core_ring));
	cw_gauge_set("ready", "", (uint64_t)__atomic_load_n(&daemon->is_ready, __ATOMIC_ACQUIRE));
}
