#include "gate_internal.h"

#include <math.h>
#include <string.h>

#define SMALL_MODEL_TOKEN_MS	0.005 /* per prompt token, smallest model: 0.0045 to 0.006 */
#define LARGE_MODEL_TOKEN_MS	0.05  /* per prompt token, largest model: 0.045 to 0.055 */
#define WORK_EWMA_GAIN		0.05
#define SAMPLE_MIN_TOKENS	800 /* the fixed cost hides the time per token of shorter prompts */
#define TOKEN_MS_GAIN_DOWN	0.3 /* queues only add time, so the estimate falls fast */
#define TOKEN_MS_GAIN_UP	0.02 /* and rises slowly */
#define IDLE_BACKLOG_MAX_MS	5.0  /* queued work that leaves the time per token measurable */
#define FIRST_TOKEN_OVERHEAD_MS 25.0 /* of the usual server: a batch step, a round trip */
#define PLAIN_INITIAL_MS	50.0
#define PLAIN_EWMA_GAIN		0.05
#define SLOW_MARGIN_MS		40.0 /* for work of other instances that this one does not know of */
/*
 * An answer that takes this many times the usual is evidence against a version. The factor may be
 * low, because the share of slow answers is compared with that of the other version.
 */
#define SLOW_FACTOR		 4.0

#define PLAIN_SLOW_FACTOR	 2.0 /* for services without prompts: 1 % of the answers are slower */
#define STREAM_SAMPLE_MIN_EVENTS 4   /* shorter streams give no sample of the event gap */
#define EVENT_EWMA_GAIN		 0.05
#define LOADED_FRACTION		 0.5  /* of a server's slots taken: it is under load */
#define LOAD_REPORT_MAX_AGE_MS	 2000 /* a server's load report is stale afterwards */
#define QUICK_ANSWER_MS		 80   /* to the response head: the load is as it was at the send */
#define SHORT_PREFILL_MS	 25.0 /* prompt processing no longer than a step of a full engine */
#define STREAM_BYTES		 4500 /* of a usual stream back to the caller */
#define PLAIN_BYTES		 800  /* of a usual plain answer */
#define USUAL_SAMPLES		 200  /* over which it is averaged: it moves slowly */
static int is_under_load(unsigned int running, unsigned int slots);
static struct gate_timing *get_timing(const struct cw_call *call);
static double token_time_ms(const struct cw_call *call, const struct gate_timing *timing);
static double uncached_tokens(const struct cw_call *call, int is_affinity_server);
static double prefix_tokens(const struct cw_request_info *info);
static double late_work_ms(const struct cw_call *call, int64_t now_ms);
static void end_prompt(struct cw_call *call);
static double request_tokens(const struct cw_call *call);
static void learn_timing(struct cw_call *call, double took_ms, int64_t now_ms);
static void learn_speed(const struct cw_call *call, struct gate_usual *usual, double time_ms,
			double reported, int64_t now_ms);
static double median_gap_ms(const struct cw_call *call);
static void report_to_rollout(struct cw_call *call, int is_failure, int is_slow, int64_t now_ms);

void call_work_fill_choice(struct cw_call *call, struct cw_choice *choice)
{
	const struct gate_timing *timing = get_timing(call);

	choice->bytes = call->info.body_bytes;
	if (call->info.segment_count == 0) {
		choice->bytes += PLAIN_BYTES;
		return;
	}
	choice->bytes += STREAM_BYTES;
	choice->prompt_tokens = call->info.prompt_tokens;
	choice->prefix_tokens = MIN(prefix_tokens(&call->info), call->info.prompt_tokens);
	choice->ms_per_token = token_time_ms(call, timing);
	choice->mean_work_ms = gate_get_timing(call->gate, call->service_name)->mean_ms;
	choice->tokens = request_tokens(call);
	choice->capacity_tokens = call->service ? call->service->kv_cache_tokens : 0;
}

double call_work_predict_ms(const struct cw_call *call, const struct cw_server *server,
			    int is_affinity_server, int64_t now_ms)
{
	const struct gate_timing *timing = get_timing(call);

	if (call->info.segment_count == 0)
		return (timing->samples ? timing->mean_ms : PLAIN_INITIAL_MS) *
			       cw_pool_pace(server, now_ms) +
		       cw_pool_wait_ms(server, now_ms);
	return call_work_queue_ms(call, server, now_ms) +
	       (uncached_tokens(call, is_affinity_server) * token_time_ms(call, timing) +
		FIRST_TOKEN_OVERHEAD_MS) *
		       cw_pool_pace(server, now_ms);
}

double call_work_queue_ms(const struct cw_call *call, const struct cw_server *server,
			  int64_t now_ms)
{
	return cw_pool_backlog_ms(server, gate_get_timing(call->gate, call->service_name)->mean_ms,
				  now_ms);
}

/*
 * Load pattern: long answers on engines so full that the large model's event gap carries a stream
 * past the caller's deadline: it runs for 17 s and is then worthless. The small model's stream
 * would be complete in a tenth of the time.
 */
int call_work_fits_deadline(const struct cw_call *call, int64_t now_ms)
{
	const char *largest = call->route->models[call->route->model_count - 1];
	const struct gate_timing *timing = gate_get_timing(call->gate, largest);
	double events;

	if (!call->service || call->service->tokens_per_event <= 0 || timing->event_gap_ms <= 0)
		return 1;
	events = call->info.estimated_output_tokens / call->service->tokens_per_event;
	return events * timing->event_gap_ms <
	       call->gate->policy->escalate_whole_part * (double)(call->deadline_ms - now_ms);
}

/* Compares the usual ratio of output to prompt tokens of the route with that of the service. */
int call_work_is_output_heavy(const struct cw_call *call)
{
	double ratio;

	if (call->info.segment_count == 0)
		return 1;
	ratio = call->info.max_output_tokens / MAX(call->info.prompt_tokens, 1);
	return gate_update_output_ratio(call->gate, call->route->name, ratio) >=
	       gate_update_output_ratio(call->gate, call->service_name, ratio);
}

int call_work_has_short_prompt(const struct cw_call *call)
{
	return call->info.segment_count > 0 && call->model_index == 0 &&
	       call->route->model_count > 1 &&
	       call->info.prompt_tokens * SMALL_MODEL_TOKEN_MS <= SHORT_PREFILL_MS;
}

/*
 * An engine runs a request from its first token on; before that the request is queued or its prompt
 * is processed, and a version that fails under load doesn't fail yet. Judged by the requests sent,
 * 58 in 100 of the answers counted as given under load were not, and such versions passed their
 * trial. So the engine's own report must show the load with the answer, and also shortly before the
 * send unless the answer began within QUICK_ANSWER_MS.
 */
void call_work_record_load(struct cw_call *call, const struct cw_load *load, int64_t now_ms)
{
	int is_quick = now_ms - call->sent_ms <= QUICK_ANSWER_MS;

	if (call->info.segment_count > 0)
		call->server_was_loaded = is_under_load(load->running, load->slots) &&
					  (is_quick || call->server_reported_loaded);
	else if (load->running < LOADED_FRACTION * load->slots)
		call->server_was_loaded = 0;
}

/* For an engine; adds this request, which the report of a failed server no longer includes. */
static int is_under_load(unsigned int running, unsigned int slots)
{
	return running + 1 >= LOADED_FRACTION * slots;
}

void call_work_begin(struct cw_call *call, int is_affinity_server, int64_t now_ms)
{
	const struct gate_timing *timing = get_timing(call);
	struct cw_server *server = call->server;
	struct gate_timing *work;

	call->is_head_seen = 0;
	call->is_slow = 0;
	call->late_work_ms = 0;
	call->events_forwarded = 0;
	call->server_was_loaded = cw_pool_load(server, now_ms) >= LOADED_FRACTION * server->slots;
	call->server_reported_loaded = server->sampled_ms >= 0 &&
				       now_ms - server->sampled_ms <= LOAD_REPORT_MAX_AGE_MS &&
				       is_under_load(server->running, server->slots);
	call->server_was_idle = server->own_work_ms + server->peers_work_ms <= IDLE_BACKLOG_MAX_MS;
	call->predicted_ms = call_work_predict_ms(call, server, is_affinity_server, now_ms);
	call->peers_work_ms = server->peers_work_ms;
	call->uncached_tokens = 0;
	if (call->info.segment_count == 0)
		return;
	call->uncached_tokens = uncached_tokens(call, is_affinity_server);
	call->work_ms = call->uncached_tokens * token_time_ms(call, timing);
	work = gate_get_timing(call->gate, call->service_name);
	work->mean_ms += WORK_EWMA_GAIN * (call->work_ms - work->mean_ms);
	call->held_tokens = request_tokens(call);
	cw_pool_hold_tokens(server, call->held_tokens);
	cw_pool_begin_work(server, call->work_ms, work->mean_ms, now_ms);
}

void call_work_record_head(struct cw_call *call, int64_t now_ms)
{
	double took_ms = (double)(now_ms - call->sent_ms);
	double expected_ms =
		call->predicted_ms / call_work_unproved_pace(call, now_ms) + SLOW_MARGIN_MS;
	double ratio = took_ms / expected_ms;
	int is_plain = call->info.segment_count == 0;
	double factor = is_plain ? PLAIN_SLOW_FACTOR : SLOW_FACTOR;

	if (call->is_head_seen)
		return;
	call->is_head_seen = 1;
	call->head_ms = now_ms;
	call->late_work_ms = late_work_ms(call, now_ms);
	call->is_slow = took_ms > factor * (expected_ms + call->late_work_ms);
	if (!call_work_is_on_unproved_version(call))
		learn_timing(call, took_ms, now_ms);
	end_prompt(call);
	if (!is_plain)
		cw_pool_record_begun(call->server, now_ms);
	cw_pool_record_outcome(call->server, 0, MAX(ratio, 1), now_ms);
	cw_pool_record_prediction(call->server, took_ms, call->predicted_ms, now_ms);
	report_to_rollout(call, is_plain && call->is_slow, call->is_slow, now_ms);
}

/*
 * Work of other instances at the server that this one has learned of since the send. Symptom this
 * prevents: a good version was rolled back. Dozens of instances send their first prompts for it to
 * the same few servers within one round of gossip, and each predicts a wait without the others'.
 */
static double late_work_ms(const struct cw_call *call, int64_t now_ms)
{
	if (call->info.segment_count == 0)
		return 0;
	return MAX(cw_pool_recent_peers_work_ms(call->server, now_ms) - call->peers_work_ms, 0) *
	       cw_pool_pace(call->server, now_ms) / call_work_unproved_pace(call, now_ms);
}

void call_work_record_event(struct cw_call *call, int64_t now_ms)
{
	if (call->events_forwarded > 0)
		call->gaps_ms[call->events_forwarded % GATE_GAPS] =
			(uint16_t)CLAMP(now_ms - call->event_ms, 0, UINT16_MAX);
	call->event_ms = now_ms;
	call->events_forwarded++;
	call_gap_record_event(call, now_ms);
}

/* The event gap of long streams shows slow servers long before the time to the first event. */
void call_work_record_completion(struct cw_call *call, int64_t now_ms)
{
	struct gate_timing *timing = get_timing(call);
	struct cw_rollout_answer answer = call_work_rollout_evidence(call);
	double gap_ms;

	if (call->events_forwarded < STREAM_SAMPLE_MIN_EVENTS)
		return;
	answer.waited_ms = now_ms - call->head_ms;
	call_gap_record_completion(call, (double)answer.waited_ms / call->events_forwarded, now_ms);
	gap_ms = (double)answer.waited_ms / call->events_forwarded *
		 call_work_unproved_pace(call, now_ms) / cw_pool_lasting_pace(call->server, now_ms);
	if (timing->event_gap_ms > 0 && gap_ms > SLOW_FACTOR * timing->event_gap_ms)
		cw_rollouts_mark_answer_slow(call->gate->rollouts, &answer, now_ms);
	if (timing->event_gap_ms <= 0)
		timing->event_gap_ms = gap_ms;
	else if (!call_work_is_on_unproved_version(call))
		timing->event_gap_ms += EVENT_EWMA_GAIN * (gap_ms - timing->event_gap_ms);
	if (!call_work_is_on_unproved_version(call) && !call->has_no_event_times)
		learn_speed(call, &timing->gap, median_gap_ms(call),
			    cw_pool_reference_pace(call->server, now_ms), now_ms);
}

void call_work_record_failure(struct cw_call *call, int64_t now_ms)
{
	cw_pool_record_outcome(call->server, 1, 0, now_ms);
	report_to_rollout(call, 1, 0, now_ms);
}

void call_work_end(struct cw_call *call)
{
	end_prompt(call);
	if (call->server && call->held_tokens > 0)
		cw_pool_release_tokens(call->server, call->held_tokens);
	call->held_tokens = 0;
}

/* The answer began, or the attempt ended before. */
static void end_prompt(struct cw_call *call)
{
	if (call->server)
		cw_pool_end_work(call->server, call->work_ms);
	call->work_ms = 0;
}

/*
 * Tokens that the request keeps in an engine's memory: its prompt and its expected answer. An
 * engine rejects what is larger than its memory.
 */
static double request_tokens(const struct cw_call *call)
{
	const struct cw_request_info *info = &call->info;
	double capacity = call->service ? call->service->kv_cache_tokens : 0;
	double tokens = info->prompt_tokens + (info->estimated_output_tokens > 0
						       ? info->estimated_output_tokens
						       : info->max_output_tokens);

	return capacity > 0 ? MIN(tokens, capacity) : tokens;
}

/* Timing is learned per model for prompts, and per service for plain requests. */
static struct gate_timing *get_timing(const struct cw_call *call)
{
	if (call->info.segment_count == 0)
		return gate_get_timing(call->gate, call->service_name);
	return gate_get_model_timing(call->gate, call);
}

/* Without samples: between the smallest and the largest model's, by the model's position. */
static double token_time_ms(const struct cw_call *call, const struct gate_timing *timing)
{
	size_t models = call->route->model_count;

	if (timing->samples)
		return timing->ms_per_token;
	if (models < 2)
		return SMALL_MODEL_TOKEN_MS;
	return SMALL_MODEL_TOKEN_MS * pow(LARGE_MODEL_TOKEN_MS / SMALL_MODEL_TOKEN_MS,
					  (double)call->model_index / (double)(models - 1));
}

static double uncached_tokens(const struct cw_call *call, int is_affinity_server)
{
	double tokens = call->info.prompt_tokens;

	if (is_affinity_server)
		tokens -= prefix_tokens(&call->info);
	return MAX(tokens, 1);
}

/* Tokens of all prompt segments but the last, which is the request's own. */
static double prefix_tokens(const struct cw_request_info *info)
{
	double tokens = 0;

	for (size_t i = 0; i + 1 < info->segment_count; i++)
		tokens += info->segments[i].tokens;
	return tokens;
}

/*
 * The time per prompt token of a model is in no configuration. Queues only add to the time, so the
 * estimate follows the quickest answers.
 */
static void learn_timing(struct cw_call *call, double took_ms, int64_t now_ms)
{
	struct gate_timing *timing = get_timing(call);
	double pace = cw_pool_pace(call->server, now_ms);
	double sample;

	if (call->info.segment_count == 0) {
		if (!call->server_was_loaded)
			learn_speed(call, &timing->answer, took_ms,
				    cw_pool_reported_pace(call->server, 0, now_ms), now_ms);
		took_ms /= pace;
		timing->mean_ms =
			timing->samples++
				? timing->mean_ms + PLAIN_EWMA_GAIN * (took_ms - timing->mean_ms)
				: took_ms;
		return;
	}
	if (call->uncached_tokens < SAMPLE_MIN_TOKENS || !call->server_was_idle)
		return;
	sample = MAX(took_ms / pace - FIRST_TOKEN_OVERHEAD_MS, 1) / call->uncached_tokens;
	if (timing->samples++ == 0)
		timing->ms_per_token = sample;
	else
		timing->ms_per_token +=
			(sample < timing->ms_per_token ? TOKEN_MS_GAIN_DOWN : TOKEN_MS_GAIN_UP) *
			(sample - timing->ms_per_token);
}

/*
 * Load pattern: dozens of instances before as many servers of three speeds, each of which sends a
 * server a request or two a minute. Streams show a server's speed by the median of their event
 * gaps; the time to their first event doesn't, as prompts that this instance doesn't know of
 * multiply it.
 *
 * The usual time is the mean over all servers of the times as taken, less what they reported. What
 * was learned of a server is not taken off, so usual time and learned speed can't drift together.
 */
static void learn_speed(const struct cw_call *call, struct gate_usual *usual, double time_ms,
			double reported, int64_t now_ms)
{
	struct cw_pool *pool = call->gate->pool;
	struct gate_speed_sample *sample = &usual->newest[usual->samples % GATE_USUAL_MIN];
	size_t untold = usual->samples + 1 == GATE_USUAL_MIN ? GATE_USUAL_MIN : 1;

	sample->server = call->server->id;
	sample->time_log = log(MAX(time_ms, 1) / reported);
	usual->samples++;
	usual->log_mean +=
		(sample->time_log - usual->log_mean) / MIN(usual->samples, USUAL_SAMPLES);
	for (size_t i = 0; usual->samples >= GATE_USUAL_MIN && i < untold; i++) {
		const struct gate_speed_sample *told =
			&usual->newest[(usual->samples - untold + i) % GATE_USUAL_MIN];
		struct cw_server *server = cw_pool_find(pool, told->server);

		if (server)
			cw_pool_record_speed(server, exp(told->time_log - usual->log_mean), now_ms);
	}
}

/* Prompts of other requests in the same batch stretch single gaps. */
static double median_gap_ms(const struct cw_call *call)
{
	uint16_t sorted[GATE_GAPS];
	size_t count = MIN(call->events_forwarded - 1, GATE_GAPS);
	size_t middle = count / 2;

	for (size_t i = 0; i < count; i++) {
		uint16_t gap_ms = call->gaps_ms[(i + 1) % GATE_GAPS];
		size_t at = i;

		for (; at > 0 && sorted[at - 1] > gap_ms; at--)
			sorted[at] = sorted[at - 1];
		sorted[at] = gap_ms;
	}
	return sorted[middle];
}

/* Timings are learned from other versions only, for comparison with the target of a roll-out. */
int call_work_is_on_unproved_version(const struct cw_call *call)
{
	const struct cw_rollouts *rollouts = call->gate->rollouts;
	const char *target = cw_rollouts_target(rollouts, call->service_name);
	const char *software = call->server->software;

	if (cw_rollouts_is_withdrawn(rollouts, call->service_name, software))
		return 1;
	return target && !strcmp(target, software) &&
	       !cw_rollouts_is_completed(rollouts, call->service_name);
}

/*
 * The part of the pace that a version on trial may have caused, as it served before: after it was
 * rolled back, say. It is no excuse for slow answers; what the server's machine reports is one.
 */
double call_work_unproved_pace(const struct cw_call *call, int64_t now_ms)
{
	return call_work_is_on_unproved_version(call) ? cw_pool_learned_pace(call->server, now_ms)
						      : CW_PACE_USUAL;
}

static void report_to_rollout(struct cw_call *call, int is_failure, int is_slow, int64_t now_ms)
{
	struct cw_rollout_answer answer = call_work_rollout_evidence(call);

	answer.is_failure = is_failure;
	answer.is_slow = is_slow;
	answer.waited_ms = now_ms - call->sent_ms;
	cw_rollouts_record_answer(call->gate->rollouts, &answer, now_ms);
}

struct cw_rollout_answer call_work_rollout_evidence(const struct cw_call *call)
{
	return (struct cw_rollout_answer){
		.service = call->service_name,
		.software = call->server->software,
		.route = call->route_hash,
		.is_loaded = call->server_was_loaded,
		.server = call->server->id,
	};
}
