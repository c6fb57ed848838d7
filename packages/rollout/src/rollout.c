#include "cw_hash.h"
#include "rollout_internal.h"

#include <string.h>

#define GIVE_UP_AT 0.86 /* not proved by then: time is left for those that moved to move back */
#define DONE_FIRST 0.90 /* runs on the old version have ended by then */
/* Time to write it down is left: the first instances to do so may be turned away by the store. */
#define DONE_LAST 0.955
#define TURN_MS	  250 /* a write is answered after 4 ms, and told to all within 150 */

static struct rollout *add(struct cw_rollouts *rollouts, const char *service);
static void begin(struct rollout *rollout, const struct cw_rollout_order *order, uint64_t offset,
		  int64_t begun_ms, int64_t now_ms);
static void set_target(struct rollout *rollout, const char *target);
static int64_t done_after_ms(const struct cw_rollouts *rollouts, const struct rollout *rollout);
static enum cw_rollout_state judge(const struct cw_rollouts *rollouts, struct rollout *rollout,
				   int64_t now_ms);
static int is_tried_enough(const struct cw_rollouts *rollouts, const struct rollout *rollout,
			   int64_t now_ms);
static void fill_verdict(const struct rollout *rollout, struct cw_rollout_verdict *verdict);

struct cw_rollouts *cw_rollouts_create(const struct cw_rollout_options *options)
{
	struct cw_rollouts *rollouts = g_new0(struct cw_rollouts, 1);

	TAILQ_INIT(&rollouts->list);
	rollouts->options = *options;
	return rollouts;
}

void cw_rollouts_destroy(struct cw_rollouts *rollouts)
{
	struct rollout *rollout;

	if (!rollouts)
		return;
	while ((rollout = TAILQ_FIRST(&rollouts->list))) {
		TAILQ_REMOVE(&rollouts->list, rollout, link);
		g_hash_table_destroy(rollout->peers);
		g_hash_table_destroy(rollout->old);
		g_free(rollout);
	}
	g_free(rollouts);
}

int cw_rollouts_order(struct cw_rollouts *rollouts, const struct cw_rollout_order *order,
		      uint64_t offset, int64_t now_ms)
{
	struct rollout *rollout = rollout_find(rollouts, order->service);

	if (rollout && rollout->is_ordered && offset <= rollout->offset)
		return 0;
	if (rollout && !rollout->is_ordered && !strcmp(rollout->target, order->target)) {
		/* A starting instance reads what became of an order before the order itself. */
		rollout->offset = offset;
		rollout->is_ordered = 1;
		return 1;
	}
	if (!rollout)
		rollout = add(rollouts, order->service);
	begin(rollout, order, offset, now_ms, now_ms);
	return 1;
}

int cw_rollouts_told(struct cw_rollouts *rollouts, const struct cw_rollout_status *status)
{
	struct rollout *rollout = rollout_find(rollouts, status->service);
	int is_news;

	if (status->state == CW_ROLLOUT_RUNNING)
		return 0;
	if (!rollout) {
		rollout = add(rollouts, status->service);
		set_target(rollout, status->target);
	}
	if (strcmp(rollout->target, status->target) != 0)
		return 0;
	is_news = rollout->state != status->state || !rollout->is_written;
	rollout->state = status->state;
	rollout->is_written = 1;
	return is_news;
}

int cw_rollouts_any(const struct cw_rollouts *rollouts)
{
	return !TAILQ_EMPTY(&rollouts->list);
}

int cw_rollouts_is_bad(const struct cw_rollouts *rollouts, const char *service)
{
	const struct rollout *rollout = rollout_find(rollouts, service);

	return rollout && rollout->state == CW_ROLLOUT_BACK;
}

/*
 * Symptom this prevents: a good version was decided 1 s before its time was over and written down
 * too late, as the two instances whose turn came first could not reach the store.
 */
int64_t cw_rollouts_turn_ms(size_t rank)
{
	return TURN_MS * (int64_t)rank;
}

int cw_rollouts_is_retired(const struct cw_rollouts *rollouts, const char *service,
			   const char *software)
{
	const struct rollout *rollout = rollout_find(rollouts, service);

	return rollout && rollout->state == CW_ROLLOUT_DONE &&
	       strcmp(rollout->target, software) != 0;
}

const char *cw_rollouts_target(const struct cw_rollouts *rollouts, const char *service)
{
	const struct rollout *rollout = rollout_find(rollouts, service);

	return rollout ? rollout->target : NULL;
}

enum cw_rollout_arm cw_rollouts_arm(struct cw_rollouts *rollouts,
				    const struct cw_rollout_request *request, int64_t now_ms)
{
	const struct rollout *rollout = rollout_find(rollouts, request->service);

	if (!rollout)
		return CW_ROLLOUT_ANY;
	if (rollout->state == CW_ROLLOUT_DONE)
		return CW_ROLLOUT_NEW;
	if (rollout->state == CW_ROLLOUT_BACK)
		return CW_ROLLOUT_OLD;
	if (cw_hash_part(request->session) >= rollout_share(rollout, request->route, now_ms))
		return CW_ROLLOUT_OLD;
	if (rollout_part(rollout, now_ms) < ROLLOUT_FIRST_UNTIL &&
	    rollout_was_on_old(rollouts, rollout, request->session, now_ms))
		return CW_ROLLOUT_OLD;
	return CW_ROLLOUT_NEW;
}

struct cw_rollout_assignment cw_rollouts_assignment(struct cw_rollouts *rollouts,
						    const struct cw_rollout_request *request,
						    int64_t now_ms)
{
	const struct rollout *rollout = rollout_find(rollouts, request->service);
	int is_running = rollout && rollout->state == CW_ROLLOUT_RUNNING;

	return (struct cw_rollout_assignment){
		.arm = cw_rollouts_arm(rollouts, request, now_ms),
		.share = is_running ? rollout_share(rollout, request->route, now_ms) : 1,
		.point = cw_hash_part(request->session),
	};
}

int cw_rollouts_wants_load(const struct cw_rollouts *rollouts, const char *service, int64_t now_ms)
{
	const struct rollout *rollout = rollout_find(rollouts, service);

	return rollout && rollout->state == CW_ROLLOUT_RUNNING && !rollout->is_proved &&
	       rollout_part(rollout, now_ms) >= ROLLOUT_FIRST_UNTIL;
}

size_t cw_rollouts_judge(struct cw_rollouts *rollouts, int64_t now_ms,
			 struct cw_rollout_verdict *verdicts, size_t max)
{
	struct rollout *rollout;
	size_t count = 0;

	TAILQ_FOREACH(rollout, &rollouts->list, link) {
		if (rollout->state == CW_ROLLOUT_RUNNING) {
			rollout_follow_rate(rollout, now_ms);
			rollout->state = judge(rollouts, rollout, now_ms);
			rollout_follow_plan(rollout, now_ms);
		}
		if (rollout->state == CW_ROLLOUT_RUNNING || rollout->is_written || count == max)
			continue;
		fill_verdict(rollout, &verdicts[count++]);
	}
	return count;
}

static void fill_verdict(const struct rollout *rollout, struct cw_rollout_verdict *verdict)
{
	g_strlcpy(verdict->status.service, rollout->service, CW_NAME_MAX);
	g_strlcpy(verdict->status.target, rollout->target, CW_NAME_MAX);
	verdict->status.state = rollout->state;
	verdict->reason = rollout->reason ? rollout->reason : "heard";
	verdict->answers = rollout->all.answers;
	verdict->bad = rollout->all.bad;
	verdict->doubt = rollout->all.doubt;
	verdict->loaded_answers = rollout->loaded.answers;
	verdict->loaded_bad = rollout->loaded.bad;
	verdict->loaded_doubt = rollout->loaded.doubt;
}

/*
 * A version may fail only on a server that is more than half full, and at a quiet hour none ever
 * is: it would be completed and fail at the next busy one. So most sessions move for a trial on a
 * full server first, and what could not be tried is taken back: the operator may order it again. An
 * instance that hears few peers lacks their evidence and leaves this to the others.
 */
static enum cw_rollout_state judge(const struct cw_rollouts *rollouts, struct rollout *rollout,
				   int64_t now_ms)
{
	int64_t elapsed_ms = now_ms - rollout->begun_ms;

	if (rollout_is_bad(rollout, now_ms)) {
		rollout->reason = "bad_answers";
		return CW_ROLLOUT_BACK;
	}
	if (rollout->is_proved && elapsed_ms >= done_after_ms(rollouts, rollout)) {
		rollout->reason = "proved";
		return CW_ROLLOUT_DONE;
	}
	if (!rollout->is_proved && is_tried_enough(rollouts, rollout, now_ms) &&
	    rollout_hears_peers(rollout, now_ms)) {
		rollout->reason = "not_tried_under_load";
		return CW_ROLLOUT_BACK;
	}
	return CW_ROLLOUT_RUNNING;
}

static int is_tried_enough(const struct cw_rollouts *rollouts, const struct rollout *rollout,
			   int64_t now_ms)
{
	double part = rollout_part(rollout, now_ms);

	return part >= GIVE_UP_AT ||
	       (part >= ROLLOUT_FIRST_UNTIL && rollout_is_spent(rollouts, rollout, now_ms));
}

/*
 * The old servers stop at once when the version is completed, and the next order may follow at
 * once. A session idle since before all went to the new version would then come back to another
 * version in the next roll-out's first half; so completion waits until it has ended, if there is
 * time.
 */
static int64_t done_after_ms(const struct cw_rollouts *rollouts, const struct rollout *rollout)
{
	double duration_ms = (double)rollout->duration_ms;
	double idle_ms =
		(double)rollout_all_from_ms(rollout) + (double)rollouts->options.session_ms;

	return (int64_t)CLAMP(idle_ms, DONE_FIRST * duration_ms, DONE_LAST * duration_ms);
}

int cw_rollouts_is_starting(const struct cw_rollouts *rollouts, int64_t now_ms)
{
	const struct rollout *rollout;

	TAILQ_FOREACH(rollout, &rollouts->list, link) {
		int64_t elapsed_ms = now_ms - rollout->begun_ms;

		if (rollout->state == CW_ROLLOUT_RUNNING && elapsed_ms >= ROLLOUT_START_MS / 2 &&
		    elapsed_ms < ROLLOUT_START_MS)
			return 1;
	}
	return 0;
}

size_t cw_rollouts_tell(struct cw_rollouts *rollouts, int64_t now_ms, struct cw_rollout_news *news,
			size_t max)
{
	struct rollout *rollout;
	size_t count = 0;

	TAILQ_FOREACH(rollout, &rollouts->list, link) {
		struct cw_rollout_news *out = &news[count];

		if (count++ == max)
			return max;
		memset(out, 0, sizeof(*out));
		g_strlcpy(out->service, rollout->service, CW_NAME_MAX);
		g_strlcpy(out->target, rollout->target, CW_NAME_MAX);
		out->offset = rollout->offset;
		out->elapsed_ms = now_ms - rollout->begun_ms;
		out->duration_ms = rollout->duration_ms;
		out->state = rollout->state;
		out->is_written = rollout->is_written;
		out->sent = rollout->sent;
		out->sent_new = rollout->sent_new;
		rollout_tell_plan(rollout, now_ms, out);
		if (rollout->state != CW_ROLLOUT_RUNNING)
			continue;
		rollout_fade(rollout, now_ms);
		out->kind_count = rollout->kind_count;
		memcpy(out->kinds, rollout->kinds, sizeof(out->kinds));
		rollout_tell_sessions(rollouts, rollout, now_ms, out);
	}
	return count;
}

int cw_rollouts_hear(struct cw_rollouts *rollouts, uint64_t instance,
		     const struct cw_rollout_news *news, int64_t now_ms)
{
	struct rollout *rollout = rollout_find(rollouts, news->service);
	enum cw_rollout_state before;

	if (rollout && rollout->is_ordered && news->offset < rollout->offset)
		return 0;
	if (!rollout)
		rollout = add(rollouts, news->service);
	if (!rollout->is_ordered || news->offset > rollout->offset) {
		struct cw_rollout_order order = {.duration_ms = news->duration_ms};

		g_strlcpy(order.service, news->service, CW_NAME_MAX);
		g_strlcpy(order.target, news->target, CW_NAME_MAX);
		begin(rollout, &order, news->offset, now_ms - news->elapsed_ms, now_ms);
	}
	/* The one that heard of the order first counts best: a restarted instance knows less. */
	rollout->begun_ms = MIN(rollout->begun_ms, now_ms - news->elapsed_ms);
	before = rollout->state;
	if (news->is_written || (news->state != CW_ROLLOUT_RUNNING && !rollout->is_written &&
				 rollout->state == CW_ROLLOUT_RUNNING))
		rollout->state = news->state;
	rollout->is_written |= news->is_written;
	rollout_hear_plan(rollout, news, now_ms);
	rollout_hear_evidence(rollout, instance, news, now_ms);
	rollout_hear_sessions(rollout, news, now_ms);
	return rollout->state != before;
}

struct rollout *rollout_find(const struct cw_rollouts *rollouts, const char *service)
{
	struct rollout *rollout;

	TAILQ_FOREACH(rollout, &rollouts->list, link)
		if (!strcmp(rollout->service, service))
			return rollout;
	return NULL;
}

static struct rollout *add(struct cw_rollouts *rollouts, const char *service)
{
	struct rollout *rollout = g_new0(struct rollout, 1);

	g_strlcpy(rollout->service, service, CW_NAME_MAX);
	rollout->service_hash = cw_hash_text(service, 0);
	rollout->peers = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
	rollout->old = g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, g_free);
	rollout_forget_plan(rollout);
	TAILQ_INSERT_TAIL(&rollouts->list, rollout, link);
	return rollout;
}

static void begin(struct rollout *rollout, const struct cw_rollout_order *order, uint64_t offset,
		  int64_t begun_ms, int64_t now_ms)
{
	set_target(rollout, order->target);
	rollout->offset = offset;
	rollout->begun_ms = begun_ms;
	rollout->known_ms = now_ms;
	rollout->duration_ms = order->duration_ms;
	rollout->state = CW_ROLLOUT_RUNNING;
	rollout->is_written = 0;
	rollout->is_ordered = 1;
	rollout->kind_count = 0;
	rollout_forget_plan(rollout);
	rollout->sent = rollout->sent_new = 0;
	rollout->sent_a_ms = rollout->rated_sent = 0;
	rollout->rated_ms = begun_ms;
	rollout->reason = NULL;
	rollout->counted_ms = begun_ms;
	memset(rollout->kinds, 0, sizeof(rollout->kinds));
	g_hash_table_remove_all(rollout->peers);
	g_hash_table_remove_all(rollout->old);
}

static void set_target(struct rollout *rollout, const char *target)
{
	g_strlcpy(rollout->target, target, CW_NAME_MAX);
	rollout->target_hash = cw_hash_text(target, 0);
}

/* Of the time ordered, that has passed. */
double rollout_part(const struct rollout *rollout, int64_t now_ms)
{
	return (double)(now_ms - rollout->begun_ms) / (double)MAX(rollout->duration_ms, 1);
}
