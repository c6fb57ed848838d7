/*
 * Choice of the server for an attempt: the pool chooses among servers of the versions that the
 * session may use, and the constraints are relaxed step by step when none is available.
 */
#include "gate_internal.h"

#include <string.h>

#define TRIAL_FILL_TARGET 0.7  /* of a trial server's slots: above half, with room for others */
#define TRIAL_FULL_TARGET 0.95 /* of its slots, for short prompts: just short of queueing */

static struct cw_server *choose_same_version(const struct cw_call *call,
					     const struct cw_choice *choice);
static void fill_choice(struct cw_call *call, int64_t now_ms, struct cw_choice *choice);
static uint64_t prefix_key(const struct cw_request_info *info);

struct cw_rollout_request call_rollout_request(const struct cw_call *call)
{
	return (struct cw_rollout_request){
		.service = call->service_name,
		.session = call->session,
		.route = call->route_hash,
	};
}

struct cw_server *call_choose_server(struct cw_call *call, int64_t now_ms, int *is_affinity_server)
{
	struct cw_gate *gate = call->gate;
	const char *target = cw_rollouts_target(gate->rollouts, call->service_name);
	const char *new_software = cw_pool_new_software(gate->pool, call->service_name, now_ms);
	struct cw_rollout_request request = call_rollout_request(call);
	struct cw_choice choice;
	struct cw_server *server;

	fill_choice(call, now_ms, &choice);
	choice.is_affinity_server = is_affinity_server;
	if (new_software && (!target || strcmp(new_software, target) != 0))
		choice.pending_software = new_software;
	call->assignment = cw_rollouts_assign(gate->rollouts, &request, now_ms);
	switch (call->assignment.variant) {
	case CW_ROLLOUT_VARIANT_OLD:
		choice.excluded_software = target;
		break;
	case CW_ROLLOUT_VARIANT_NEW:
		choice.required_software = target;
		choice.server_share = call->assignment.share;
		if (cw_rollouts_needs_load_trial(gate->rollouts, call->service_name, now_ms))
			choice.fill_part = call->is_output_heavy	      ? TRIAL_FILL_TARGET
					   : call_work_has_short_prompt(call) ? TRIAL_FULL_TARGET
									      : 0;
		break;
	case CW_ROLLOUT_VARIANT_ANY:
		break;
	}
	server = choose_same_version(call, &choice);
	if (!server)
		server = cw_pool_choose(gate->pool, &choice);
	/* No usable server is left: one with an open breaker is better than none. */
	choice.allows_unusable = 1;
	if (!server)
		server = cw_pool_choose(gate->pool, &choice);
	choice.tried_count = 0;
	if (!server)
		server = cw_pool_choose(gate->pool, &choice);
	/* Unless the roll-out found a version bad, the other version may answer as well. */
	if (!server && !cw_rollouts_is_rolled_back(gate->rollouts, call->service_name)) {
		choice.required_software = choice.excluded_software = choice.pending_software =
			NULL;
		server = cw_pool_choose(gate->pool, &choice);
	}
	return server;
}

void call_count_prefix(const struct cw_call *call, int is_affinity_server, int64_t now_ms)
{
	cw_pool_count_prefix(call->server, prefix_key(&call->info), call->work_ms,
			     is_affinity_server, now_ms);
}

int64_t call_admission_wait_ms(struct cw_call *call, int64_t now_ms, enum cw_admission *cause)
{
	struct cw_choice choice;

	fill_choice(call, now_ms, &choice);
	choice.tried_count = 0;
	return cw_pool_wait_for_admission_ms(call->gate->pool, &choice, cause);
}

/* Fills all fields except those of the roll-out. */
static void fill_choice(struct cw_call *call, int64_t now_ms, struct cw_choice *choice)
{
	struct cw_gate *gate = call->gate;

	*choice = (struct cw_choice){
		.service = call->service_name,
		.prefix = prefix_key(&call->info),
		.failure_domain = gate->failure_domain,
		.tried = call->tried,
		.tried_count = MIN(call->tried_count, CW_MAX_ATTEMPTS),
		.now_ms = now_ms,
		.random = gate_random(gate),
		.reuse_idle_ms = call_reuse_idle_ms(call),
		.cold = {.per_s = call->service ? call->service->cold_per_s : 0,
			 .factor = gate->options.cold_factor,
			 .slack = gate->options.cold_slack},
		.route_regions = &call->route->home_regions,
		.organisation_regions =
			call->organisation ? &call->organisation->home_regions : NULL,
	};
	for (size_t i = 0; i < CW_POOL_MAX_WITHDRAWN; i++)
		choice->withdrawn_software[i] =
			cw_rollouts_withdrawn(gate->rollouts, call->service_name, i);
	call_work_fill_choice(call, choice);
}

/*
 * A partly forwarded answer is resumed on the version that began it, even if its session has moved
 * to another one meanwhile. NULL: nothing was forwarded, the version was rolled back, or it has no
 * server left; the choice is then made as for any other attempt.
 */
static struct cw_server *choose_same_version(const struct cw_call *call,
					     const struct cw_choice *choice)
{
	struct cw_choice same = *choice;

	if (!call->has_forwarded ||
	    cw_rollouts_is_rolled_back(call->gate->rollouts, call->service_name))
		return NULL;
	same.required_software = call->software;
	same.excluded_software = NULL;
	return cw_pool_choose(call->gate->pool, &same);
}

/* Key of the longest prompt prefix: all segments but the last, which is the request's own. */
static uint64_t prefix_key(const struct cw_request_info *info)
{
	uint64_t key = 0;

	for (size_t i = 0; i + 1 < info->segment_count; i++)
		key = cw_hash(&info->segments[i].id, sizeof(info->segments[i].id), key + 1);
	return key;
}
