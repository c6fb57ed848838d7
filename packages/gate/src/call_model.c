/*
 * Choice among a route's models: the smallest answers first, and an answer with low confidence is
 * replaced by the largest model's. The confidence threshold follows the load.
 */
#include "gate_internal.h"

#include <string.h>

#define RAMP_START (1 / 3.0)  /* of escalate_late_part: the threshold starts to fall there */
#define RAMP_END   (16 / 9.0) /* of escalate_late_part: 0 there, as escalations lengthen queues */

static int fills_trial(const struct cw_call *call, int64_t now_ms);
static void choose_only_model(struct cw_call *call, int64_t now_ms);
static const char *escalation_blocker(struct cw_call *call, const struct cw_response_head *answer,
				      int64_t now_ms, struct cw_step *step);
static int required_confidence(struct cw_call *call, int64_t now_ms);
static double slot_headroom(struct cw_call *call, int64_t now_ms);
static int priority_steps(const struct cw_call *call); /* below the service's most urgent */
static double predict_first_event_ms(struct cw_call *call, int64_t now_ms);

void call_model_choose_first(struct cw_call *call, int64_t now_ms)
{
	if (!call_model_is_selectable(call))
		return;
	if (fills_trial(call, now_ms))
		call->model_index = call->route->model_count - 1;
	else if (call_runs_once(call))
		choose_only_model(call, now_ms);
}

/* The caller named no model and the route has two or more. */
int call_model_is_selectable(const struct cw_call *call)
{
	return call->route->model_count >= 2 && !strcmp(call->info.model, CW_ANY_MODEL);
}

/*
 * Load pattern: engines so full that they reject requests. A low-confidence answer of the small
 * model was dropped for the largest model, which no engine accepted, so the caller got neither. The
 * remaining attempt goes back to the small model.
 */
void call_model_fall_back(struct cw_call *call, int64_t now_ms)
{
	if (call->gate->policy->rejected_to_small <= 0 || !call_model_is_selectable(call) ||
	    call->has_forwarded)
		return;
	if (call_runs_once(call))
		choose_only_model(call, now_ms);
	else
		call->model_index = 0;
}

/*
 * A small model's answer with low confidence is replaced by the largest model's before anything is
 * forwarded to the caller. Escalations draw on the retry budget.
 */
int call_model_should_escalate(struct cw_call *call, const struct cw_response_head *answer,
			       int64_t now_ms, struct cw_step *step)
{
	step->reason = escalation_blocker(call, answer, now_ms, step);
	return !step->reason;
}

/*
 * Load pattern: a quiet hour, in which the small model's answers of 0.4 s don't fill half of one
 * engine. The largest model's answers last 3 s, so requests start with it for the second or two
 * that the trial of a new version takes.
 */
static int fills_trial(const struct cw_call *call, int64_t now_ms)
{
	struct cw_rollouts *rollouts = call->gate->rollouts;
	struct cw_rollout_request request = call_rollout_request(call);

	return call->is_output_heavy && cw_rollouts_is_trial_load(rollouts, &request, now_ms);
}

/*
 * A request that may run once can't be escalated, so its only model is selected before it starts:
 * the largest while it answers in time with slots free. As slots are taken, a falling part of the
 * requests goes there, so that instances with the same view don't all change at once.
 */
static void choose_only_model(struct cw_call *call, int64_t now_ms)
{
	double part;

	call->model_index = 0;
	if (gate_rejected_fraction(call->gate, call->service_name, now_ms) >
		    call->gate->policy->full_part ||
	    !call_work_fits_deadline(call, now_ms))
		return;
	part = required_confidence(call, now_ms) / MAX(call->gate->policy->escalate_below, 1);
	if (gate_random_fraction(call->gate) < part)
		call->model_index = call->route->model_count - 1;
}

/* NULL: escalate. The retry budget is checked last, because the check spends from it. */
static const char *escalation_blocker(struct cw_call *call, const struct cw_response_head *answer,
				      int64_t now_ms, struct cw_step *step)
{
	if (answer->status >= 300 || answer->confidence < 0 || !call_model_is_selectable(call))
		return "no_choice";
	if (call->model_index + 1 >= call->route->model_count)
		return "largest_model";
	if (call_runs_once(call))
		return "runs_once";
	if (call_has_single_attempt(call))
		return "quarantined";
	if (gate_rejected_fraction(call->gate, call->service_name, now_ms) >
	    call->gate->policy->full_part)
		return "servers_reject";
	if (!call_work_fits_deadline(call, now_ms))
		return "too_long";
	step->confidence_threshold = required_confidence(call, now_ms);
	if (answer->confidence >= step->confidence_threshold)
		return "trusted";
	if (call_kept_may_begin(call, answer) &&
	    call_kept_is_too_late(call, answer->confidence, now_ms))
		return "too_late";
	if ((int)call->attempts >= call->route->max_attempts)
		return "attempts_spent";
	if (!cw_repeats_take(gate_get_retry_budget(call->gate, call->service_name), now_ms))
		return "budget_spent";
	return NULL;
}

/* The room for the large model's streams that the caller's organisation gets. */
static double slot_headroom(struct cw_call *call, int64_t now_ms)
{
	double scarcity = gate_slot_scarcity(call->gate, call->service_name, now_ms);
	double yield = 1 + call->gate->policy->escalate_yield * priority_steps(call);

	return call_share_room(call, 1 - CLAMP(scarcity * yield, 0, 1), now_ms);
}

/*
 * Load pattern: requests of several priorities compete for scarce slots for many seconds. What the
 * largest model adds to an answer is about the same for all of them, so the less urgent yield
 * first: their threshold falls sooner, and the more urgent find the slots that this leaves.
 */
static int priority_steps(const struct cw_call *call)
{
	return call->service ? MAX(call->route->priority - call->service->most_urgent, 0) : 0;
}

/*
 * Confidence below which an answer is escalated.
 *
 * Load pattern: more hard requests than the largest model can process in time (a partitioned
 * failure domain, a burst, removed servers). Each escalation then delays all others, and a late
 * answer is worth less than a small model's of medium confidence. So the threshold falls as the
 * large model's answer is predicted to be late, and recovers with the queue.
 */
static int required_confidence(struct cw_call *call, int64_t now_ms)
{
	const struct cw_policy *policy = call->gate->policy;
	double late = policy->escalate_late_part;
	double ramp_start = late * RAMP_START;
	double ramp_end = late * RAMP_END;
	size_t small_index = call->model_index;
	double predicted_ms;
	double ratio;

	call->model_index = call->route->model_count - 1;
	predicted_ms = predict_first_event_ms(call, now_ms);
	call->model_index = small_index;
	ratio = (predicted_ms + (double)(now_ms - call->opened_ms)) /
		(double)MAX(call->route->objective_ms, 1);
	if (ratio > late) {
		ratio = CLAMP((ratio - late) / (ramp_end - late), 0, 1);
		return (int)((1 - ratio) * policy->escalate_below_late *
			     slot_headroom(call, now_ms));
	}
	ratio = CLAMP((ratio - ramp_start) / (late - ramp_start), 0, 1);
	ratio = policy->escalate_below +
		ratio * (policy->escalate_below_late - policy->escalate_below);
	return (int)(ratio * slot_headroom(call, now_ms));
}

/* Time to the first event if sent now; queued work counts by escalate_queue_weight. */
static double predict_first_event_ms(struct cw_call *call, int64_t now_ms)
{
	int is_affinity_server = 0;
	struct cw_server *server = call_choose_server(call, now_ms, &is_affinity_server);

	if (!server)
		return G_MAXDOUBLE;
	return call_work_predict_ms(call, server, is_affinity_server, now_ms) +
	       (call->gate->policy->escalate_queue_weight - 1) *
		       call_work_queue_ms(call, server, now_ms);
}
