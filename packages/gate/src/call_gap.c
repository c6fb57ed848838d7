/*
 * Gaps between the events of streams, as evidence about a version on trial. The first events of a
 * stream decide: a slow version's streams end only after its trial.
 */
#include "gate_internal.h"

#include <math.h>

#define SAMPLE_EVENTS	9    /* of a stream, whose mean gap is its sample */
#define SAMPLES_MIN	5    /* of a model, before its quick gap is known */
#define QUICK_PART	0.2  /* of the old version's streams are quicker than the quick gap */
#define QUICK_GAIN	0.1  /* of ln(gap): how fast it is learned */
#define QUICK_TOLERANCE 1.25 /* times the quick gap: as quick as the quick ones */
#define LIMIT_GAIN	0.25 /* of the way to a smaller quick gap, for each stream */

static void add_sample(struct cw_call *call, double gap_ms, int64_t now_ms);
static void update_limit(const struct cw_call *call, struct gate_timing *timing);
static void learn_quick_gap(struct gate_timing *timing, double gap_log);

void call_gap_record_event(struct cw_call *call, int64_t now_ms)
{
	if (call->has_no_event_times)
		return;
	if (call->events_forwarded == 1)
		call->first_event_ms = now_ms;
	if (call->events_forwarded == SAMPLE_EVENTS)
		add_sample(call, (double)(now_ms - call->first_event_ms) / (SAMPLE_EVENTS - 1),
			   now_ms);
}

void call_gap_record_completion(struct cw_call *call, double gap_ms, int64_t now_ms)
{
	if (call->has_no_event_times || call->events_forwarded < SAMPLE_EVENTS)
		add_sample(call, gap_ms, now_ms);
}

/*
 * What the server's machine reports about its pace is no fault of the version, nor is a full
 * server: a good version's streams may all be slow there. What was learned about the server is not
 * taken off, of either version, as the version may be its cause.
 */
static void add_sample(struct cw_call *call, double gap_ms, int64_t now_ms)
{
	struct gate_timing *timing = gate_get_model_timing(call->gate, call);
	struct cw_rollout_answer answer = call_work_rollout_evidence(call);
	double gap_log = log(MAX(gap_ms, 1) / cw_pool_reported_pace(call->server, 1, now_ms));

	if (timing->quick_samples >= SAMPLES_MIN && !answer.is_loaded)
		cw_rollouts_record_gap(call->gate->rollouts, &answer,
				       gap_log < timing->quick_limit_log + log(QUICK_TOLERANCE),
				       now_ms);
	if (!call_work_is_on_unproved_version(call))
		learn_quick_gap(timing, gap_log);
	update_limit(call, timing);
}

/*
 * Load that comes during a roll-out lengthens the gaps of the old version most, as it serves most
 * requests: what was quick before stays the measure.
 */
static void update_limit(const struct cw_call *call, struct gate_timing *timing)
{
	double change = timing->quick_gap_log - timing->quick_limit_log;

	if (timing->quick_samples < SAMPLES_MIN ||
	    !cw_rollouts_is_running(call->gate->rollouts, call->service_name))
		timing->quick_limit_log = timing->quick_gap_log;
	else if (change < 0)
		timing->quick_limit_log += LIMIT_GAIN * change;
}

/* The least of the first samples, then the quantile: it falls by rare steps and rises by small. */
static void learn_quick_gap(struct gate_timing *timing, double gap_log)
{
	if (timing->quick_samples < SAMPLES_MIN) {
		timing->quick_gap_log =
			timing->quick_samples == 0 ? gap_log : MIN(timing->quick_gap_log, gap_log);
		timing->quick_samples++;
	} else if (gap_log > timing->quick_gap_log) {
		timing->quick_gap_log += QUICK_GAIN * QUICK_PART;
	} else {
		timing->quick_gap_log -= QUICK_GAIN * (1 - QUICK_PART);
	}
}
