/*
 * The part of a service's scarce room that a request's organisation gets. Fair shares decide whose
 * answers may be escalated and whose requests are rejected; with room for all they decide nothing.
 */
#include "gate_internal.h"

#define PRIORITY_LEVELS 3   /* each is worth twice the share of the next; the same beyond */
#define LIGHT_ROOM	0.1 /* of all demand: kept for organisations that ask for so little */

static int is_light(struct cw_call *call, int64_t now_ms);
static double granted_part(struct cw_call *call, double room, int64_t now_ms);
static double share_weight(const struct cw_organisation *organisation);
static double request_amount(const struct cw_call *call);

void call_share_count(struct cw_call *call, int64_t now_ms)
{
	const struct cw_organisation *organisation = call->organisation;

	if (!organisation || call->gate->policy->share_part <= 0)
		return;
	cw_shares_add(gate_get_shares(call->gate, call->service_name),
		      gate_organisation_id(call->gate, organisation->name),
		      share_weight(organisation), request_amount(call), now_ms);
}

/* Without an organisation, or without a difference between them, it is the room itself. */
double call_share_room(struct cw_call *call, double room, int64_t now_ms)
{
	double part = call->gate->policy->share_part;
	double granted;

	if (!call->organisation || part <= 0 || room >= 1)
		return room;
	granted = is_light(call, now_ms) ? 1 : granted_part(call, room, now_ms);
	return room + part * (granted - room);
}

/*
 * Load pattern: one organisation sends 25 times its usual and fills slots and queues with answers
 * of the small model. Requests of those that ask for little are queued before them.
 */
int call_share_goes_first(struct cw_call *call, int64_t now_ms)
{
	return call->organisation && call->gate->policy->share_part > 0 &&
	       cw_gate_room(call->gate, call->service_name, now_ms) < 1 && is_light(call, now_ms);
}

/* One that gets all of its demand from a tenth of the room is not what fills it. */
static int is_light(struct cw_call *call, int64_t now_ms)
{
	return granted_part(call, LIGHT_ROOM, now_ms) >= 1;
}

static double granted_part(struct cw_call *call, double room, int64_t now_ms)
{
	return cw_shares_granted(gate_get_shares(call->gate, call->service_name),
				 gate_organisation_id(call->gate, call->organisation->name), room,
				 now_ms);
}

static double share_weight(const struct cw_organisation *organisation)
{
	int priority = organisation->has_priority ? organisation->priority : PRIORITY_LEVELS - 1;

	return 1 << (PRIORITY_LEVELS - 1 - CLAMP(priority, 0, PRIORITY_LEVELS - 1));
}

/* Tokens that an engine processes and keeps; a plain request counts as one. */
static double request_amount(const struct cw_call *call)
{
	return MAX(call->info.prompt_tokens + call->info.estimated_output_tokens, 1);
}
