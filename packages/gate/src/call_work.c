#include "gate_internal.h"

#include <math.h>
#include <string.h>

#define PACE_SMALL_MS  0.005 /* a token, of the smallest model: measured 0.0045 to 0.006 */
#define PACE_LARGE_MS  0.05  /* of the largest: measured 0.045 to 0.055 */
#define WORK_GAIN      0.05
#define PACE_TOKENS    800  /* a shorter prompt's time says little of the pace */
#define PACE_DOWN      0.3  /* the pace is that of an idle server: it falls fast, */
#define PACE_UP	       0.02 /* and rises slowly */
#define PACE_IDLE_MS   5.0  /* work before it that doesn't hide the pace */
#define FIRST_TOKEN_MS 25.0 /* besides reading the prompt: a step of the batch, the ways */
#define PLAIN_FIRST_MS 50.0
#define PLAIN_GAIN     0.05
#define SLOW_MARGIN_MS 40.0 /* of a prediction: the others' work that isn't known */
#define SLOW_FACTOR    4.0  /* times the usual make an answer bad evidence of a version; */
/* the other version's share of such answers is the measure, so the factor may be low */
#define PLAIN_SLOW_FACTOR 2.0 /* of a plain service, which reads no prompts: 1 % are slower */
#define PACE_EVENTS	  4   /* of a stream, before its pace says something */
#define EVENT_GAIN	  0.05
#define LOADED_PART	  0.5  /* of a server's slots taken: from here on it is under load */
#define TOLD_LOAD_MS	  2000 /* what a server told of its load holds for so long */
#define QUICK_MS	  80   /* from a request to its answer's head: its load has not changed */
#define LIGHT_MS	  25.0 /* of reading, as long as a step of a full engine */
#define STREAM_BYTES	  4500 /* of a usual stream back to its caller */
#define PLAIN_BYTES	  800

static int is_under_load(unsigned int running, unsigned int slots);
static const char *pace_name(const struct cw_call *call);
static double pace_of(const struct cw_call *call, const struct gate_pace *pace);
static double tokens_to_read(const struct cw_call *call, int is_home);
static double shared_tokens(const struct cw_facts *facts);
static void learn_pace(struct cw_call *call, double took_ms);
static int is_target(const struct cw_call *call);
static void tell_rollout(struct cw_call *call, int is_failure, int is_slow, int64_t now_ms);
static struct cw_rollout_answer as_evidence(const struct cw_call *call);

void call_work_fill(struct cw_call *call, struct cw_choice *choice)
{
	const struct gate_pace *pace = gate_pace(call->gate, pace_name(call));

	choice->bytes = call->facts.sent_bytes;
	if (call->facts.part_count == 0) {
		choice->bytes += PLAIN_BYTES;
		return;
	}
	choice->bytes += STREAM_BYTES;
	choice->read_tokens = call->facts.read_tokens;
	choice->shared_tokens = MIN(shared_tokens(&call->facts), call->facts.read_tokens);
	choice->ms_per_token = pace_of(call, pace);
	choice->usual_work_ms = gate_pace(call->gate, call->service_name)->usual_ms;
}

double call_work_predict(const struct cw_call *call, const struct cw_server *server, int is_home,
			 int64_t now_ms)
{
	const struct gate_pace *pace = gate_pace(call->gate, pace_name(call));

	if (call->facts.part_count == 0)
		return (pace->samples ? pace->usual_ms : PLAIN_FIRST_MS) +
		       cw_pool_wait_ms(server, now_ms);
	return call_work_queue_ms(call, server, now_ms) +
	       tokens_to_read(call, is_home) * pace_of(call, pace) + FIRST_TOKEN_MS;
}

double call_work_queue_ms(const struct cw_call *call, const struct cw_server *server,
			  int64_t now_ms)
{
	return cw_pool_backlog_ms(server, gate_pace(call->gate, call->service_name)->usual_ms,
				  now_ms);
}

/*
 * Load pattern: long answers on engines so full that the large model's pace carries them past the
 * caller's deadline: a stream runs for 17 s and is then worth nothing. The small model's would be
 * whole in a tenth of the time.
 */
int call_work_is_in_time(const struct cw_call *call, int64_t now_ms)
{
	const char *largest = call->route->models[call->route->model_count - 1];
	const struct gate_pace *pace = gate_pace(call->gate, largest);
	double events;

	if (!call->service || call->service->tokens_per_event <= 0 || pace->event_ms <= 0)
		return 1;
	events = call->facts.hint_tokens / call->service->tokens_per_event;
	return events * pace->event_ms <
	       call->gate->policy->escalate_whole_part * (double)(call->limit_ms - now_ms);
}

/* By the usual shape of the route's requests against that of all of the service's. */
int call_work_is_filling(const struct cw_call *call)
{
	double shape;

	if (call->facts.part_count == 0)
		return 1;
	shape = call->facts.made_tokens / MAX(call->facts.read_tokens, 1);
	return gate_shape(call->gate, call->route->name, shape) >=
	       gate_shape(call->gate, call->service_name, shape);
}

int call_work_is_light(const struct cw_call *call)
{
	return call->facts.part_count > 0 && call->model == 0 && call->route->model_count > 1 &&
	       call->facts.read_tokens * PACE_SMALL_MS <= LIGHT_MS;
}

/*
 * A request counts among the running ones of an engine from its first token on; until then it is
 * queued or its prompt is read, and a version that fails under load doesn't yet. By the requests
 * sent there, 58 in 100 of the answers counted as given under load were not, and such versions
 * passed their trial. So the engine itself must have told of so many, just before the request was
 * sent or with an answer that took no time to begin, and again with the answer.
 */
void call_work_told(struct cw_call *call, const struct cw_load *load, int64_t now_ms)
{
	int is_quick = now_ms - call->sent_ms <= QUICK_MS;

	if (call->facts.part_count > 0)
		call->was_loaded = is_under_load(load->running, load->slots) &&
				   (is_quick || call->was_told_full);
	else if (load->running < LOADED_PART * load->slots)
		call->was_loaded = 0;
}

/* Of an engine: with this request, which is over where it failed. */
static int is_under_load(unsigned int running, unsigned int slots)
{
	return running + 1 >= LOADED_PART * slots;
}

void call_work_begin(struct cw_call *call, int is_home, int64_t now_ms)
{
	const struct gate_pace *pace = gate_pace(call->gate, pace_name(call));
	struct cw_server *server = call->server;
	struct gate_pace *work;

	call->is_head_seen = 0;
	call->events = 0;
	call->was_loaded = cw_pool_load(server, now_ms) >= LOADED_PART * server->slots;
	call->was_told_full = server->sampled_ms >= 0 &&
			      now_ms - server->sampled_ms <= TOLD_LOAD_MS &&
			      is_under_load(server->running, server->slots);
	call->was_idle = server->own_work_ms + server->peers_work_ms <= PACE_IDLE_MS;
	call->predicted_ms = call_work_predict(call, server, is_home, now_ms);
	call->tokens = 0;
	if (call->facts.part_count == 0)
		return;
	call->tokens = tokens_to_read(call, is_home);
	call->work_ms = call->tokens * pace_of(call, pace);
	work = gate_pace(call->gate, call->service_name);
	work->usual_ms += WORK_GAIN * (call->work_ms - work->usual_ms);
	cw_pool_work_begin(server, call->work_ms, work->usual_ms, now_ms);
}

void call_work_head(struct cw_call *call, int64_t now_ms)
{
	double took_ms = (double)(now_ms - call->sent_ms);
	double ratio = took_ms / (call->predicted_ms + SLOW_MARGIN_MS);
	int is_plain = call->facts.part_count == 0;
	int is_slow = ratio > (is_plain ? PLAIN_SLOW_FACTOR : SLOW_FACTOR);

	if (call->is_head_seen)
		return;
	call->is_head_seen = 1;
	call->head_ms = now_ms;
	if (!is_target(call))
		learn_pace(call, took_ms);
	call_work_end(call);
	cw_pool_judged(call->server, 0, MAX(ratio, 1), now_ms);
	tell_rollout(call, is_plain && is_slow, is_slow, now_ms);
}

/* Slow servers show in the pace of long streams long before they show in first events. */
void call_work_done(struct cw_call *call, int64_t now_ms)
{
	struct gate_pace *pace = gate_pace(call->gate, pace_name(call));
	struct cw_rollout_answer answer = as_evidence(call);
	double gap_ms;

	if (call->events < PACE_EVENTS)
		return;
	gap_ms = (double)(now_ms - call->head_ms) / call->events;
	if (pace->event_ms > 0 && gap_ms > SLOW_FACTOR * pace->event_ms)
		cw_rollouts_mark_answer_slow(call->gate->rollouts, &answer, now_ms);
	if (pace->event_ms <= 0)
		pace->event_ms = gap_ms;
	else if (!is_target(call))
		pace->event_ms += EVENT_GAIN * (gap_ms - pace->event_ms);
}

void call_work_failed(struct cw_call *call, int64_t now_ms)
{
	cw_pool_judged(call->server, 1, 0, now_ms);
	tell_rollout(call, 1, 0, now_ms);
}

void call_work_end(struct cw_call *call)
{
	if (call->server)
		cw_pool_work_end(call->server, call->work_ms);
	call->work_ms = 0;
}

/* What reads prompts at one pace: a model; or what answers alike: a plain service. */
static const char *pace_name(const struct cw_call *call)
{
	return call->facts.part_count > 0 ? cw_call_model(call) : call->service_name;
}

/* Until the first answers tell: between the smallest and the largest model's, by the model's place.
 */
static double pace_of(const struct cw_call *call, const struct gate_pace *pace)
{
	size_t models = call->route->model_count;

	if (pace->samples)
		return pace->ms_per_token;
	if (models < 2)
		return PACE_SMALL_MS;
	return PACE_SMALL_MS *
	       pow(PACE_LARGE_MS / PACE_SMALL_MS, (double)call->model / (double)(models - 1));
}

static double tokens_to_read(const struct cw_call *call, int is_home)
{
	double tokens = call->facts.read_tokens;

	if (is_home)
		tokens -= shared_tokens(&call->facts);
	return MAX(tokens, 1);
}

/* All parts but the last, which is the request's own. */
static double shared_tokens(const struct cw_facts *facts)
{
	double tokens = 0;

	for (size_t i = 0; i + 1 < facts->part_count; i++)
		tokens += facts->parts[i].tokens;
	return tokens;
}

/*
 * No configuration tells how fast a model reads. Queues only add to the time, so the pace follows
 * the quickest answers.
 */
static void learn_pace(struct cw_call *call, double took_ms)
{
	struct gate_pace *pace = gate_pace(call->gate, pace_name(call));
	double sample;

	if (call->facts.part_count == 0) {
		pace->usual_ms = pace->samples++
					 ? pace->usual_ms + PLAIN_GAIN * (took_ms - pace->usual_ms)
					 : took_ms;
		return;
	}
	if (call->tokens < PACE_TOKENS || !call->was_idle)
		return;
	sample = MAX(took_ms - FIRST_TOKEN_MS, 1) / call->tokens;
	if (pace->samples++ == 0)
		pace->ms_per_token = sample;
	else
		pace->ms_per_token += (sample < pace->ms_per_token ? PACE_DOWN : PACE_UP) *
				      (sample - pace->ms_per_token);
}

/* Does its server run the version that is being rolled out? The usual paces are the other's. */
static int is_target(const struct cw_call *call)
{
	const char *target = cw_rollouts_target(call->gate->rollouts, call->service_name);

	return target && !strcmp(target, call->server->software);
}

static void tell_rollout(struct cw_call *call, int is_failure, int is_slow, int64_t now_ms)
{
	struct cw_rollout_answer answer = as_evidence(call);

	answer.is_failure = is_failure;
	answer.is_slow = is_slow;
	cw_rollouts_record_answer(call->gate->rollouts, &answer, now_ms);
}

static struct cw_rollout_answer as_evidence(const struct cw_call *call)
{
	return (struct cw_rollout_answer){
		.service = call->service_name,
		.software = call->server->software,
		.route = call->route_hash,
		.is_loaded = call->was_loaded,
	};
}
