/* Reachability probes: connections that are opened to find out whether a server is reachable. */
#include "client_internal.h"

static void on_probe_timer(uv_timer_t *timer);
static void on_probe_closed(uv_handle_t *handle);

void cw_client_probe(struct cw_client *client, const char *text, int64_t connect_ms,
		     void (*report)(void *context, const char *address,
				    enum cw_probe_result result),
		     void *context)
{
	struct probe *probe = g_new0(struct probe, 1);

	probe->report = report;
	probe->context = context;
	uv_timer_init(client->loop, &probe->timer);
	probe->timer.data = probe;
	TAILQ_INSERT_TAIL(&client->probes, probe, link);
	probe->connection = flow_open_connection(client, flow_find_address(client, text));
	probe->connection->probe = probe;
	http_parser_init(&probe->connection->parser, HTTP_RESPONSE);
	probe->connection->parser.data = probe->connection;
	uv_timer_start(&probe->timer, on_probe_timer, (uint64_t)connect_ms, 0);
}

void flow_probe_report(struct probe *probe, enum cw_probe_result result)
{
	struct connection *connection = probe->connection;

	connection->probe = NULL;
	if (connection->is_connected) {
		connection->idle_limit_ms = DEFAULT_IDLE_TIMEOUT_MS;
		flow_keep_idle(connection);
	} else {
		flow_close_connection(connection);
	}
	probe->report(probe->context, connection->address->text, result);
	flow_probe_destroy(probe);
}

void flow_probe_destroy(struct probe *probe)
{
	TAILQ_REMOVE(&probe->connection->client->probes, probe, link);
	uv_close((uv_handle_t *)&probe->timer, on_probe_closed);
}

static void on_probe_timer(uv_timer_t *timer)
{
	struct probe *probe = timer->data;

	if (!flow_start_final_iteration(timer, on_probe_timer, &probe->had_final_iteration))
		flow_probe_report(probe, CW_PROBE_SILENT);
}

static void on_probe_closed(uv_handle_t *handle)
{
	g_free(handle->data);
}
