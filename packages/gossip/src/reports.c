#include "cw_gossip_reports.h"
#include "gossip_internal.h"

#include <glib.h>
#include <math.h>
#include <string.h>

#define REPORTS_MAGIC 0x6377303d /* identifies the layout below; other values are rejected */

static void add_report(struct cw_gossip_reports *message, const struct cw_server_reports *reports,
		       int64_t now_ms);
static uint32_t age_ms(int64_t then_ms, int64_t now_ms);
static bool_t code(XDR *xdr, struct cw_gossip_reports *message);
static bool_t code_report(XDR *xdr, struct cw_gossip_report *report);
static bool_t code_brittleness(XDR *xdr, struct cw_gossip_reports *message);

/* Of more servers than a message takes, each message names others. */
void cw_gossip_fill_reports(struct cw_gossip_reports *message, const char *sender,
			    const struct cw_pool *pool, uint64_t random, int64_t now_ms)
{
	const struct cw_server_reports *reports;
	size_t count = 0;
	size_t first;
	size_t at = 0;

	memset(message, 0, sizeof(*message));
	g_strlcpy(message->sender, sender, sizeof(message->sender));
	TAILQ_FOREACH(reports, cw_pool_reports(pool), link)
		count += (size_t)cw_pool_is_announced(reports, now_ms);
	if (count == 0)
		return;
	first = count > CW_GOSSIP_REPORTS ? random % count : 0;
	TAILQ_FOREACH(reports, cw_pool_reports(pool), link) {
		if (!cw_pool_is_announced(reports, now_ms))
			continue;
		/* CW_GOSSIP_REPORTS in a row from the first on, past the end from the head. */
		if ((at++ + count - first) % count < CW_GOSSIP_REPORTS)
			add_report(message, reports, now_ms);
	}
}

void cw_gossip_read_report(const struct cw_gossip_report *announced,
			   struct cw_rate_limit_report *report, int64_t received_ms)
{
	report->is_limited = announced->is_limited != 0;
	report->per_s = report->is_limited ? announced->per_s : 0;
	report->sent_ms = received_ms - (int64_t)announced->sent_ms;
	report->received_ms = received_ms - (int64_t)announced->received_ms;
}

void cw_gossip_read_brittle(const struct cw_gossip_report *announced,
			    struct cw_brittle_report *report, int64_t received_ms)
{
	memset(report, 0, sizeof(*report));
	if (announced->brittle_received_ms == UINT32_MAX)
		return;
	report->is_brittle = announced->is_brittle != 0;
	report->tolerated_per_s = report->is_brittle ? announced->tolerated_per_s : 0;
	report->sent_ms = received_ms - (int64_t)announced->brittle_sent_ms;
	report->received_ms = received_ms - (int64_t)announced->brittle_received_ms;
}

size_t cw_gossip_encode_reports(const struct cw_gossip_reports *message, char *bytes, size_t size)
{
	XDR xdr;
	size_t used = 0;

	xdrmem_create(&xdr, bytes, (u_int)size, XDR_ENCODE);
	/* One function codes both directions; encoding doesn't write to the message. */
	if (code(&xdr, (struct cw_gossip_reports *)message) &&
	    code_brittleness(&xdr, (struct cw_gossip_reports *)message))
		used = xdr_getpos(&xdr);
	xdr_destroy(&xdr);
	return used;
}

enum cw_status cw_gossip_decode_reports(const char *bytes, size_t size,
					struct cw_gossip_reports *message)
{
	XDR xdr;
	bool_t is_complete;

	memset(message, 0, sizeof(*message));
	xdrmem_create(&xdr, (char *)bytes, (u_int)size, XDR_DECODE);
	is_complete = code(&xdr, message);
	for (size_t i = 0; i < message->count; i++)
		message->reports[i].brittle_received_ms = UINT32_MAX;
	/* Earlier builds end here, and ignore what follows. */
	if (is_complete && xdr_getpos(&xdr) < size)
		is_complete = code_brittleness(&xdr, message);
	xdr_destroy(&xdr);
	return is_complete ? CW_OK : CW_INVALID;
}

static void add_report(struct cw_gossip_reports *message, const struct cw_server_reports *reports,
		       int64_t now_ms)
{
	const struct cw_rate_limit_report *newest = &reports->rate_limit.newest;
	const struct cw_brittle_report *brittle = &reports->brittle.newest;
	struct cw_gossip_report *report = &message->reports[message->count++];

	report->server = reports->server->id;
	report->is_leaving = reports->is_leaving;
	report->is_limited = newest->is_limited;
	report->per_s = newest->per_s;
	report->sent_ms = age_ms(newest->sent_ms, now_ms);
	report->received_ms = age_ms(newest->received_ms, now_ms);
	report->is_brittle = brittle->is_brittle;
	report->tolerated_per_s = brittle->tolerated_per_s;
	report->brittle_sent_ms = age_ms(brittle->sent_ms, now_ms);
	report->brittle_received_ms =
		brittle->received_ms ? age_ms(brittle->received_ms, now_ms) : UINT32_MAX;
}

static uint32_t age_ms(int64_t then_ms, int64_t now_ms)
{
	return (uint32_t)CLAMP(now_ms - then_ms, 0, UINT32_MAX);
}

static bool_t code(XDR *xdr, struct cw_gossip_reports *message)
{
	u_int magic = REPORTS_MAGIC;

	if (!xdr_u_int(xdr, &magic) || magic != REPORTS_MAGIC ||
	    !gossip_code_text(xdr, message->sender, CW_NAME_MAX) ||
	    !gossip_code_count(xdr, &message->count, CW_GOSSIP_REPORTS))
		return FALSE;
	for (size_t i = 0; i < message->count; i++)
		if (!code_report(xdr, &message->reports[i]))
			return FALSE;
	return TRUE;
}

/* A rate that is not finite or negative can't be kept, so the message is rejected. */
static bool_t code_report(XDR *xdr, struct cw_gossip_report *report)
{
	return xdr_uint64_t(xdr, &report->server) && xdr_int(xdr, &report->is_leaving) &&
	       xdr_int(xdr, &report->is_limited) && xdr_double(xdr, &report->per_s) &&
	       isfinite(report->per_s) && report->per_s >= 0 && xdr_u_int(xdr, &report->sent_ms) &&
	       xdr_u_int(xdr, &report->received_ms);
}

static bool_t code_brittleness(XDR *xdr, struct cw_gossip_reports *message)
{
	for (size_t i = 0; i < message->count; i++) {
		struct cw_gossip_report *report = &message->reports[i];

		if (!xdr_int(xdr, &report->is_brittle) ||
		    !xdr_double(xdr, &report->tolerated_per_s) ||
		    !isfinite(report->tolerated_per_s) || report->tolerated_per_s < 0 ||
		    !xdr_u_int(xdr, &report->brittle_sent_ms) ||
		    !xdr_u_int(xdr, &report->brittle_received_ms))
			return FALSE;
	}
	return TRUE;
}
