/* What servers report about themselves in their answers, kept while an instance is to know it. */
#include "pool_internal.h"

#include <math.h>
#include <string.h>

#define REST_MAX_MS  600000.0
#define RETENTION_MS 60000 /* of a removed server's reports, and of a lifted limit */

static struct cw_server_reports *get_reports(struct cw_server *server);

int cw_pool_apply_rate_limit(struct cw_server *server, const struct cw_rate_limit_report *report,
			     int64_t now_ms)
{
	if (!server->reports && !report->is_limited)
		return 0;
	return cw_rate_limit_apply(&get_reports(server)->rate_limit, report, now_ms);
}

int cw_pool_apply_brittle(struct cw_server *server, const struct cw_brittle_report *report,
			  int64_t now_ms)
{
	if (!server->reports && !report->is_brittle)
		return 0;
	return cw_brittle_apply(&get_reports(server)->brittle, report, now_ms);
}

int cw_pool_is_brittle(const struct cw_server *server)
{
	return server->reports && server->reports->brittle.newest.is_brittle;
}

void cw_pool_record_rejection(struct cw_server *server, const struct cw_load *load, int64_t now_ms)
{
	if (cw_pool_is_brittle(server))
		cw_brittle_record_rejection(&server->reports->brittle,
					    load ? (double)load->running + load->queued : -1,
					    now_ms);
}

int cw_pool_explains_fall(const struct cw_server *server, int64_t now_ms)
{
	struct cw_brittle_load load = pool_brittle_load(server, now_ms);

	return cw_pool_is_brittle(server) &&
	       cw_brittle_explains_fall(&server->reports->brittle, &load, now_ms);
}

struct cw_brittle_load pool_brittle_load(const struct cw_server *server, int64_t now_ms)
{
	return (struct cw_brittle_load){
		.slots = server->slots,
		.own = server->own_running,
		.all = MAX(cw_pool_load(server, now_ms),
			   (double)server->own_running + server->peers_running),
		.service_ms = server->service_ms,
	};
}

/* The servers of a service are brittle at the same time, also one that has just come back. */
void pool_inherit_brittle(struct cw_server *server, int64_t now_ms)
{
	const struct cw_server_reports *reports;

	TAILQ_FOREACH(reports, &server->pool->reports, link) {
		if (reports->server == server || !reports->brittle.newest.is_brittle ||
		    strcmp(reports->server->service, server->service) != 0)
			continue;
		cw_brittle_start_ramp(&get_reports(server)->brittle, &reports->brittle, now_ms);
		return;
	}
}

int cw_pool_report_leaving(struct cw_server *server)
{
	struct cw_server_reports *reports = get_reports(server);

	if (reports->is_leaving)
		return 0;
	reports->is_leaving = 1;
	return 1;
}

/* A value that is far too large is an error of the server: it would be lost until its restart. */
void cw_pool_request_rest(struct cw_server *server, double rest_ms, int64_t now_ms)
{
	struct cw_server_reports *reports = get_reports(server);
	int64_t until_ms = now_ms + (int64_t)ceil(MIN(rest_ms, REST_MAX_MS));

	reports->rest_until_ms = MAX(reports->rest_until_ms, until_ms);
}

int64_t cw_pool_rest_ms(const struct cw_server *server, int64_t now_ms)
{
	return server->reports ? MAX(server->reports->rest_until_ms - now_ms, 0) : 0;
}

/* Its entry in the server list may be older than the report, and set is_leaving back. */
int cw_pool_is_leaving(const struct cw_server *server)
{
	return server->is_leaving || (server->reports && server->reports->is_leaving);
}

int cw_pool_is_rate_limited(const struct cw_server *server)
{
	return server->reports && cw_rate_limit_is_in_force(&server->reports->rate_limit);
}

int cw_pool_is_announced(const struct cw_server_reports *reports, int64_t now_ms)
{
	return reports->is_leaving || cw_rate_limit_is_announced(&reports->rate_limit, now_ms) ||
	       cw_brittle_is_announced(&reports->brittle, now_ms);
}

const struct cw_server_reports_list *cw_pool_reports(const struct cw_pool *pool)
{
	return &pool->reports;
}

/* A lifted limit is kept longer than it is announced: a peer that was cut off may announce it. */
void pool_sweep_reports(struct cw_pool *pool, int64_t now_ms)
{
	struct cw_server_reports *reports = TAILQ_FIRST(&pool->reports);

	while (reports) {
		struct cw_server_reports *next = TAILQ_NEXT(reports, link);

		if (!cw_pool_is_announced(reports, now_ms) && reports->rest_until_ms <= now_ms &&
		    now_ms - reports->brittle.newest.received_ms >= RETENTION_MS &&
		    now_ms - reports->rate_limit.newest.received_ms >= RETENTION_MS)
			pool_free_reports(reports->server);
		reports = next;
	}
}

/*
 * An entry that expired while the store was unavailable comes back. The server would then be used
 * as if it had reported nothing.
 */
int pool_needs_reports(const struct cw_server *server, int64_t now_ms)
{
	return server->reports && !server->is_superseded &&
	       now_ms - server->removed_ms < RETENTION_MS;
}

void pool_free_reports(struct cw_server *server)
{
	if (!server->reports)
		return;
	TAILQ_REMOVE(&server->pool->reports, server->reports, link);
	g_clear_pointer(&server->reports, g_free);
}

static struct cw_server_reports *get_reports(struct cw_server *server)
{
	if (server->reports)
		return server->reports;
	server->reports = g_new0(struct cw_server_reports, 1);
	server->reports->server = server;
	TAILQ_INSERT_TAIL(&server->pool->reports, server->reports, link);
	return server->reports;
}
