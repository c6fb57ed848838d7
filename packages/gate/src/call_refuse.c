/* Rejection of requests: which ones, with which status and message, and when to retry. */
#include "gate_internal.h"

#define RETRY_BASE_MS	    150	 /* usual time until another server or the next instance is known */
#define RETRY_JITTER_MS	    250	 /* spreads the retries of rejected callers */
#define REJECT_PRIORITY	    2	 /* from this number on, as many are rejected as by the servers */
#define OVERLOAD_RETRY_MS   600	 /* to twice as much: a queue has been processed by then */
#define WAITING_MAX	    8	 /* requests that wait for room at brittle servers */
#define WAIT_PART	    0.25 /* of the objective: the longest such wait */
#define RETRY_WAIT_FRACTION (1 / 3.0) /* of the time left: longest wait before a retry */
#define RETRY_WAIT_JITTER   0.4	      /* of that wait: spreads the retries of rejected callers */

static int call_priority(const struct cw_call *call);
static int64_t overload_retry_after_ms(struct cw_call *call, int64_t now_ms);
static double max_retry_wait_ms(const struct cw_call *call, int64_t now_ms);

/*
 * Load pattern: five times the usual requests. Servers reject half of what they are sent, each
 * rejected request tries two more servers, and the least urgent requests in a queue are overtaken
 * until their deadline. So requests are rejected at once: the least urgent with the probability
 * that a server rejects them, more urgent ones with a lower one, and the most urgent never. Of an
 * organisation that asks for more than its share more are rejected, and of others fewer.
 */
int call_should_reject(struct cw_call *call, int64_t now_ms)
{
	int priority = call_priority(call);
	double rejected = gate_rejected_fraction(call->gate, call->service_name, now_ms);
	const struct cw_policy *policy = call->gate->policy;
	double excess = 1 - call_share_room(call, 1 - rejected, now_ms);
	double chance =
		policy->shed_part * excess * MIN(priority, REJECT_PRIORITY) / REJECT_PRIORITY;

	return rejected > policy->full_part && gate_random_fraction(call->gate) < chance;
}

/*
 * A brittle server must not queue requests, so an instance whose places are taken keeps a few for a
 * part of their objective. More of them could not be served either and are rejected at once, the
 * less urgent ones first.
 */
int call_may_wait(struct cw_call *call, int64_t now_ms)
{
	double longest_ms = WAIT_PART * (double)call->route->objective_ms;
	size_t most = call_priority(call) < REJECT_PRIORITY ? WAITING_MAX : WAITING_MAX / 2;
	enum cw_admission cause;

	return (double)(now_ms - call->opened_ms) < longest_ms && call->gate->waiting < most &&
	       call_admission_wait_ms(call, now_ms, &cause) > 0 && cause == CW_ADMISSION_BRITTLE;
}

void call_reject(struct cw_step *step, unsigned int status, const char *reason)
{
	step->kind = CW_STEP_REJECT;
	step->status = status;
	step->run = CW_RUN_NOT_EXECUTED;
	step->retry_after_ms = -1;
	step->reason = reason;
}

/* A 503 states that the request has not run and never will; otherwise the answer is a 502. */
void call_reject_not_run(struct cw_call *call, struct cw_step *step, const char *reason,
			 int64_t now_ms)
{
	if (call->may_have_run) {
		call_fail(call, step, reason);
		return;
	}
	call_reject(step, 503, reason);
	step->retry_after_ms = overload_retry_after_ms(call, now_ms);
}

void call_reject_unsent(struct cw_call *call, struct cw_step *step, int64_t now_ms)
{
	static const char *const reasons[] = {
		[CW_ADMISSION_COLD] = "the backend servers are warming up",
		[CW_ADMISSION_RATE_LIMITED] = "the backend servers limit their requests",
		[CW_ADMISSION_BRITTLE] = "the backend servers have no room and are brittle",
		[CW_ADMISSION_RESTING] = "the backend servers asked for rest",
	};
	enum cw_admission cause;
	int64_t wait_ms = call_admission_wait_ms(call, now_ms, &cause);

	call_reject_not_run(call, step,
			    wait_ms > 0 ? reasons[cause] : "no backend server may take it", now_ms);
	call_extend_retry_after(call, step, now_ms);
}

/*
 * Load pattern: all servers of a service restart, limit the requests that they take, or ask for
 * rest. They admit few requests or none, and a caller that retries too early is rejected again, so
 * Retry-After covers the wait for a server.
 */
void call_extend_retry_after(struct cw_call *call, struct cw_step *step, int64_t now_ms)
{
	enum cw_admission cause;
	int64_t wait_ms = call_admission_wait_ms(call, now_ms, &cause);
	int is_affinity_server;

	if (step->run != CW_RUN_NOT_EXECUTED || wait_ms <= 0)
		return;
	if (call_choose_server(call, now_ms, &is_affinity_server))
		return;
	step->retry_after_ms = CLAMP(wait_ms + call_retry_after_ms(call), 1,
				     (int64_t)max_retry_wait_ms(call, now_ms));
}

void call_fail(struct cw_call *call, struct cw_step *step, const char *reason)
{
	call_reject(step, 502, reason);
	step->run = CW_RUN_UNKNOWN;
}

int64_t call_retry_after_ms(struct cw_call *call)
{
	return RETRY_BASE_MS + (int64_t)(gate_random(call->gate) % RETRY_JITTER_MS);
}

/*
 * Load pattern: a burst of seven times the usual load for 8 s. Callers that retry after 600 to 1200
 * ms meet the same full servers with the only retry they have, and early retries don't add to what
 * the servers can run in a burst. Retry-After grows with the share of rejected requests, up to a
 * third of the caller's time left.
 */
static int64_t overload_retry_after_ms(struct cw_call *call, int64_t now_ms)
{
	double rejected = gate_rejected_fraction(call->gate, call->service_name, now_ms);
	double longest_ms = max_retry_wait_ms(call, now_ms);
	double random = gate_random_fraction(call->gate);
	double wait_ms = OVERLOAD_RETRY_MS * (1 + random);

	if (rejected <= call->gate->policy->full_part)
		return call_retry_after_ms(call);
	if (longest_ms > wait_ms)
		wait_ms += rejected * (longest_ms * (1 - RETRY_WAIT_JITTER * random) - wait_ms);
	return (int64_t)CLAMP(wait_ms, 1, longest_ms);
}

static int call_priority(const struct cw_call *call)
{
	const struct cw_organisation *organisation = call->organisation;

	return organisation && organisation->has_priority ? organisation->priority
							  : call->route->priority;
}

static double max_retry_wait_ms(const struct cw_call *call, int64_t now_ms)
{
	return MAX((double)(call->deadline_ms - now_ms) * RETRY_WAIT_FRACTION, 1);
}
