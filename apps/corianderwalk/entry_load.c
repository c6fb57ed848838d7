/*
 * The one place where messages on the load and the speed of servers meet the instance:
 * entry_pace.c, entry_backlog.c and entry_shares.c each encode and merge their own.
 */
#include "entry_load.h"
#include "cw_counters.h"
#include "cw_timeline.h"
#include "entry.h"

#define PREDICTION_LOG_MS   5000
#define PREDICTION_LOG_PART 2.0 /* median error of a server from which it is logged */

static void log_predictions(const struct entry *entry);
static void set_quantile(const struct cw_prediction *prediction, const char *label, double part);

void load_announce(struct entry *entry, int64_t now_ms)
{
	pace_announce(entry, now_ms);
	shares_announce(entry, now_ms);
	homes_log(entry);
	if (now_ms - entry->prediction_logged_ms < PREDICTION_LOG_MS)
		return;
	entry->prediction_logged_ms = now_ms;
	log_predictions(entry);
}

int load_merge(struct entry *entry, const char *bytes, size_t size, uint32_t delay_ms)
{
	return pace_merge(entry, bytes, size, delay_ms) ||
	       backlog_merge(entry, bytes, size, delay_ms) || shares_merge(entry, bytes, size);
}

void load_update_gauges(const struct entry *entry)
{
	const struct cw_prediction *all = cw_pool_prediction(cw_gate_pool(entry->gate));

	set_quantile(all, "quantile=\"0.5\"", 0.5);
	set_quantile(all, "quantile=\"0.99\"", 0.99);
	shares_update_gauges(entry);
	homes_update_gauges(entry);
	backlog_update_gauges(entry);
	pace_update_gauges(entry);
}

size_t load_encode_prior(struct entry *entry, char *bytes, size_t size, size_t *next)
{
	return pace_encode_prior(entry, bytes, size, next);
}

/* Servers whose answers begin far later than predicted: one line each, those in use only. */
static void log_predictions(const struct entry *entry)
{
	const struct cw_server *server;

	TAILQ_FOREACH(server, cw_pool_active(cw_gate_pool(entry->gate)), active_link) {
		const struct cw_prediction *prediction =
			server->work ? &server->work->prediction : NULL;
		double median = prediction ? cw_prediction_quantile(prediction, 0.5) : 0;

		if (median < PREDICTION_LOG_PART)
			continue;
		cw_event("load", "prediction_error", "server=%s median=%.2f p99=%.2f", server->name,
			 median, cw_prediction_quantile(prediction, 0.99));
	}
}

static void set_quantile(const struct cw_prediction *prediction, const char *label, double part)
{
	cw_gauge_set("prediction_error_percent", label,
		     (uint64_t)(100 * cw_prediction_quantile(prediction, part)));
}
