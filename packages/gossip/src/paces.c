#include "cw_gossip_paces.h"
#include "gossip_internal.h"

#include <glib.h>
#include <math.h>
#include <string.h>

#define PACES_MAGIC  0x6377303f /* identifies the layout below; other values are rejected */
#define WEIGHT_LEAST 0.3	/* samples; fewer are not worth their bytes */
#define WEIGHT_MAX   1e6f
#define PERCENT	     0.01

static void add_pace(struct cw_gossip_paces *message, const struct cw_server *server,
		     const struct cw_pace_evidence *evidence, int64_t now_ms);
static int is_worth_sending(const struct cw_pace_evidence *evidence);
static bool_t code(XDR *xdr, void *target);
static bool_t code_pace(XDR *xdr, struct cw_gossip_pace *pace);
static bool_t code_reported(XDR *xdr, struct cw_gossip_pace *pace);
static bool_t code_word(XDR *xdr, double *high, double high_unit, double *low, double low_unit);
static bool_t code_sums(XDR *xdr, struct cw_pace_sums *sums);

void cw_gossip_fill_paces(struct cw_gossip_paces *message, const struct cw_pool *pool,
			  int64_t since_ms, size_t *next, int64_t now_ms)
{
	const struct cw_server *server;
	size_t at = 0;

	TAILQ_FOREACH(server, cw_pool_worked(pool), worked_link) {
		struct cw_pace_evidence own;

		if (message->count == CW_GOSSIP_PACES)
			return;
		if (at++ < *next)
			continue;
		*next = at;
		own = cw_pace_own(&server->work->pace, now_ms);
		if (server->work->pace.own_sample_ms > since_ms && is_worth_sending(&own))
			add_pace(message, server, &own, now_ms);
	}
	*next = 0;
}

void cw_gossip_fill_priors(struct cw_gossip_paces *message, const struct cw_pool *pool,
			   size_t *next, int64_t now_ms)
{
	const struct cw_server *server;
	size_t at = 0;

	message->is_prior = 1;
	TAILQ_FOREACH(server, cw_pool_worked(pool), worked_link) {
		struct cw_pace_evidence total;

		if (message->count == CW_GOSSIP_PACES)
			return;
		if (at++ < *next)
			continue;
		*next = at;
		total = cw_pace_total(&server->work->pace, now_ms);
		if (is_worth_sending(&total))
			add_pace(message, server, &total, now_ms);
	}
	*next = 0;
}

size_t cw_gossip_encode_paces(const struct cw_gossip_paces *message, char *bytes, size_t size)
{
	return gossip_encode_message(code, message, bytes, size);
}

enum cw_status cw_gossip_decode_paces(const char *bytes, size_t size,
				      struct cw_gossip_paces *message)
{
	return gossip_decode_message(code, bytes, size, message, sizeof(*message));
}

static void add_pace(struct cw_gossip_paces *message, const struct cw_server *server,
		     const struct cw_pace_evidence *evidence, int64_t now_ms)
{
	const struct cw_pace *known = &server->work->pace;
	struct cw_gossip_pace *pace = &message->paces[message->count++];

	pace->server = server->id;
	pace->evidence = *evidence;
	pace->momentary = known->momentary;
	pace->momentary_age_ms = (uint32_t)CLAMP(now_ms - known->momentary_ms, 0, UINT16_MAX);
}

static int is_worth_sending(const struct cw_pace_evidence *evidence)
{
	return MAX(evidence->reported_weight, evidence->learned.weight) >= WEIGHT_LEAST;
}

static bool_t code(XDR *xdr, void *target)
{
	struct cw_gossip_paces *message = target;
	u_int magic = PACES_MAGIC;

	if (!xdr_u_int(xdr, &magic) || magic != PACES_MAGIC ||
	    !gossip_code_text(xdr, message->sender, CW_NAME_MAX) ||
	    !gossip_code_int64(xdr, &message->announced_ms) || !xdr_int(xdr, &message->is_prior) ||
	    !gossip_code_count(xdr, &message->count, CW_GOSSIP_PACES))
		return FALSE;
	for (size_t i = 0; i < message->count; i++)
		if (!code_pace(xdr, &message->paces[i]))
			return FALSE;
	return TRUE;
}

static bool_t code_pace(XDR *xdr, struct cw_gossip_pace *pace)
{
	return xdr_uint64_t(xdr, &pace->server) && code_reported(xdr, pace) &&
	       code_sums(xdr, &pace->evidence.learned);
}

static bool_t code_reported(XDR *xdr, struct cw_gossip_pace *pace)
{
	double reported = pace->evidence.reported;
	double weight = pace->evidence.reported_weight;
	double age_ms = pace->momentary_age_ms;

	if (!code_word(xdr, &reported, PERCENT, &weight, PERCENT) ||
	    !code_word(xdr, &pace->momentary, PERCENT, &age_ms, 1))
		return FALSE;
	pace->evidence.reported = (float)reported;
	pace->evidence.reported_weight = (float)(reported > 0 ? weight : 0);
	pace->momentary_age_ms = (uint32_t)age_ms;
	return TRUE;
}

/* Two numbers of 16 bits, in their units. */
static bool_t code_word(XDR *xdr, double *high, double high_unit, double *low, double low_unit)
{
	u_int word = (u_int)lrint(CLAMP(*high / high_unit, 0, UINT16_MAX)) << 16 |
		     (u_int)lrint(CLAMP(*low / low_unit, 0, UINT16_MAX));

	if (!xdr_u_int(xdr, &word))
		return FALSE;
	*high = (word >> 16) * high_unit;
	*low = (word & UINT16_MAX) * low_unit;
	return TRUE;
}

/* Sums that no samples within the bounds of a pace can give are rejected with the message. */
static bool_t code_sums(XDR *xdr, struct cw_pace_sums *sums)
{
	float log_max = logf((float)CW_PACE_MAX);
	float slack = 1.001F; /* of rounding */

	return xdr_float(xdr, &sums->weight) && xdr_float(xdr, &sums->log_sum) &&
	       xdr_float(xdr, &sums->square_sum) && isfinite(sums->weight) &&
	       isfinite(sums->log_sum) && isfinite(sums->square_sum) && sums->weight >= 0 &&
	       sums->weight <= WEIGHT_MAX && sums->square_sum >= 0 &&
	       fabsf(sums->log_sum) <= log_max * sums->weight * slack &&
	       sums->square_sum <= log_max * log_max * sums->weight * slack;
}
