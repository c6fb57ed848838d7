#include "cw_hash.h"
#include "rollout_internal.h"

#include <string.h>

#define TRIAL_LATEST_END    0.86 /* of the duration: leaves time to move sessions back */
#define COMPLETION_EARLIEST 0.90 /* of the duration: old requests have finished by then */
/* Of the duration: leaves time to publish, as the store may reject the first instances. */
#define COMPLETION_LATEST 0.955
#define WRITE_TURN_MS	  250 /* a write takes 4 ms, and its announcement 150 ms at most */

static int is_in_state(const struct cw_rollouts *rollouts, const char *service,
		       enum cw_rollout_state state);
static struct rollout *add(struct cw_rollouts *rollouts, const char *service);
static void start(struct rollout *rollout, const struct cw_rollout_order *order,
		  struct cw_position position, int64_t started_ms, int64_t now_ms);
static void adopt_position(struct rollout *rollout, struct cw_position position);
static int is_outcome_of_last_order(const struct rollout *rollout,
				    const struct cw_rollout_announcement *update);
static int is_same_order(const struct rollout *rollout, const char *target,
			 struct cw_position position);
static void set_target(struct rollout *rollout, const char *target);
static int64_t completion_ms(const struct cw_rollouts *rollouts, const struct rollout *rollout);
static enum cw_rollout_state evaluate(const struct cw_rollouts *rollouts, struct rollout *rollout,
				      int64_t now_ms);
static int is_trial_over(const struct cw_rollouts *rollouts, const struct rollout *rollout,
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
		g_hash_table_destroy(rollout->old_sessions);
		g_free(rollout);
	}
	g_free(rollouts);
}

int cw_rollouts_apply_order(struct cw_rollouts *rollouts, const struct cw_rollout_order *order,
			    struct cw_position position, int64_t now_ms)
{
	struct rollout *rollout = rollout_find(rollouts, order->service);

	if (rollout && rollout->is_ordered) {
		if (cw_position_compare(position, rollout->position) <= 0)
			return 0;
		if (is_same_order(rollout, order->target, position)) {
			adopt_position(rollout, position);
			return 0;
		}
		if (!cw_position_is_same_era(position, rollout->position) &&
		    now_ms < rollouts->settled_ms)
			return 0;
	}
	if (rollout && !rollout->is_ordered && !strcmp(rollout->target, order->target)) {
		/* A starting instance may read the status of an order before the order. */
		rollout->position = position;
		rollout->is_ordered = 1;
		return 1;
	}
	if (!rollout)
		rollout = add(rollouts, order->service);
	start(rollout, order, position, now_ms, now_ms);
	return 1;
}

int cw_rollouts_apply_status(struct cw_rollouts *rollouts, const struct cw_rollout_status *status)
{
	struct rollout *rollout = rollout_find(rollouts, status->service);
	int is_changed;

	if (status->state == CW_ROLLOUT_RUNNING)
		return 0;
	if (!rollout) {
		rollout = add(rollouts, status->service);
		set_target(rollout, status->target);
	}
	if (strcmp(rollout->target, status->target) != 0) {
		/* A starting instance may read the next order before the status of the last one. */
		if (status->state == CW_ROLLOUT_ROLLED_BACK)
			rollout_withdraw(rollout, status->target);
		return 0;
	}
	is_changed = rollout->state != status->state || !rollout->is_written;
	rollout->state = status->state;
	rollout->is_written = 1;
	return is_changed;
}

void cw_rollouts_begin_era(struct cw_rollouts *rollouts, int64_t settled_ms)
{
	struct rollout *rollout;

	rollouts->settled_ms = settled_ms;
	TAILQ_FOREACH(rollout, &rollouts->list, link)
		rollout->is_written = 0;
}

int cw_rollouts_has_any(const struct cw_rollouts *rollouts)
{
	return !TAILQ_EMPTY(&rollouts->list);
}

int cw_rollouts_is_running(const struct cw_rollouts *rollouts, const char *service)
{
	return is_in_state(rollouts, service, CW_ROLLOUT_RUNNING);
}

int cw_rollouts_is_completed(const struct cw_rollouts *rollouts, const char *service)
{
	return is_in_state(rollouts, service, CW_ROLLOUT_COMPLETED);
}

int cw_rollouts_is_rolled_back(const struct cw_rollouts *rollouts, const char *service)
{
	return is_in_state(rollouts, service, CW_ROLLOUT_ROLLED_BACK);
}

/*
 * Delay before an instance of this rank publishes a verdict. Short, because a good version that
 * was completed 1 s before its duration ended was published too late when the first two
 * instances could not reach the store.
 */
int64_t cw_rollouts_write_delay_ms(size_t rank)
{
	return WRITE_TURN_MS * (int64_t)rank;
}

int cw_rollouts_is_retired(const struct cw_rollouts *rollouts, const char *service,
			   const char *software)
{
	const struct rollout *rollout = rollout_find(rollouts, service);

	return rollout && rollout->state == CW_ROLLOUT_COMPLETED &&
	       strcmp(rollout->target, software) != 0;
}

const char *cw_rollouts_target(const struct cw_rollouts *rollouts, const char *service)
{
	const struct rollout *rollout = rollout_find(rollouts, service);

	return rollout ? rollout->target : NULL;
}

enum cw_rollout_variant cw_rollouts_choose_variant(struct cw_rollouts *rollouts,
						   const struct cw_rollout_request *request,
						   int64_t now_ms)
{
	const struct rollout *rollout = rollout_find(rollouts, request->service);

	if (!rollout)
		return CW_ROLLOUT_VARIANT_ANY;
	if (rollout->state == CW_ROLLOUT_COMPLETED)
		return CW_ROLLOUT_VARIANT_NEW;
	if (rollout->state == CW_ROLLOUT_ROLLED_BACK)
		return CW_ROLLOUT_VARIANT_OLD;
	if (cw_hash_to_fraction(request->session) >= rollout_share(rollout, request->route, now_ms))
		return CW_ROLLOUT_VARIANT_OLD;
	if (rollout_elapsed_fraction(rollout, now_ms) < ROLLOUT_FIRST_END &&
	    rollout_was_on_old_version(rollouts, rollout, request->session, now_ms))
		return CW_ROLLOUT_VARIANT_OLD;
	return CW_ROLLOUT_VARIANT_NEW;
}

struct cw_rollout_assignment cw_rollouts_assign(struct cw_rollouts *rollouts,
						const struct cw_rollout_request *request,
						int64_t now_ms)
{
	const struct rollout *rollout = rollout_find(rollouts, request->service);
	int is_running = rollout && rollout->state == CW_ROLLOUT_RUNNING;

	return (struct cw_rollout_assignment){
		.variant = cw_rollouts_choose_variant(rollouts, request, now_ms),
		.share = is_running ? rollout_share(rollout, request->route, now_ms) : 1,
		.point = cw_hash_to_fraction(request->session),
	};
}

int cw_rollouts_needs_load_trial(const struct cw_rollouts *rollouts, const char *service,
				 int64_t now_ms)
{
	const struct rollout *rollout = rollout_find(rollouts, service);

	return rollout && rollout->state == CW_ROLLOUT_RUNNING && !rollout->has_passed_trial &&
	       rollout_elapsed_fraction(rollout, now_ms) >= ROLLOUT_FIRST_END;
}

size_t cw_rollouts_evaluate(struct cw_rollouts *rollouts, int64_t now_ms,
			    struct cw_rollout_verdict *verdicts, size_t max)
{
	struct rollout *rollout;
	size_t count = 0;

	TAILQ_FOREACH(rollout, &rollouts->list, link) {
		if (rollout->state == CW_ROLLOUT_RUNNING) {
			rollout_update_rate(rollout, now_ms);
			rollout->state = evaluate(rollouts, rollout, now_ms);
			rollout_update_plan(rollout, now_ms);
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
	verdict->llr = rollout->all.llr;
	verdict->loaded_answers = rollout->loaded.answers;
	verdict->loaded_bad = rollout->loaded.bad;
	verdict->loaded_llr = rollout->loaded.llr;
	verdict->streams = rollout->gaps.answers;
	verdict->quick_streams = rollout->gaps.answers - rollout->gaps.bad;
	verdict->streams_llr = rollout->gaps.llr;
}

/*
 * A version may fail only on servers that are more than half full. In a quiet hour no server is,
 * so such a version would be completed and fail under the next load peak. A part of the sessions
 * is therefore moved first for a trial on a full server, and a target that could not be tried is
 * rolled back; the operator may order it again. An instance that receives messages of less than
 * half of its peers lacks their evidence and leaves this decision to the others.
 */
static enum cw_rollout_state evaluate(const struct cw_rollouts *rollouts, struct rollout *rollout,
				      int64_t now_ms)
{
	int64_t elapsed_ms = now_ms - rollout->started_ms;

	if (rollout_is_target_bad(rollout, now_ms)) {
		rollout->reason = "bad_answers";
		return CW_ROLLOUT_ROLLED_BACK;
	}
	if (rollout_are_gaps_slow(rollout)) {
		rollout->reason = "slow_streams";
		return CW_ROLLOUT_ROLLED_BACK;
	}
	if (rollout->has_passed_trial && elapsed_ms >= completion_ms(rollouts, rollout)) {
		rollout->reason = "proved";
		return CW_ROLLOUT_COMPLETED;
	}
	if (!rollout->has_passed_trial && is_trial_over(rollouts, rollout, now_ms) &&
	    rollout_has_recent_peers(rollout, now_ms)) {
		rollout->reason = "not_tried_under_load";
		return CW_ROLLOUT_ROLLED_BACK;
	}
	return CW_ROLLOUT_RUNNING;
}

static int is_trial_over(const struct cw_rollouts *rollouts, const struct rollout *rollout,
			 int64_t now_ms)
{
	double fraction = rollout_elapsed_fraction(rollout, now_ms);

	return fraction >= TRIAL_LATEST_END ||
	       (fraction >= ROLLOUT_FIRST_END &&
		rollout_is_exposure_spent(rollouts, rollout, now_ms));
}

/*
 * On completion the servers of the old version stop, and the next order may follow immediately.
 * A session that has been idle since before the full share would then return to a different
 * version in the first half of the next roll-out. Completion therefore waits, where the duration
 * allows, until such a session has expired.
 */
static int64_t completion_ms(const struct cw_rollouts *rollouts, const struct rollout *rollout)
{
	double duration_ms = (double)rollout->duration_ms;
	double idle_ms =
		(double)rollout_full_share_ms(rollout) + (double)rollouts->options.session_ms;

	return (int64_t)CLAMP(idle_ms, COMPLETION_EARLIEST * duration_ms,
			      COMPLETION_LATEST * duration_ms);
}

int cw_rollouts_is_starting(const struct cw_rollouts *rollouts, int64_t now_ms)
{
	const struct rollout *rollout;

	TAILQ_FOREACH(rollout, &rollouts->list, link) {
		int64_t elapsed_ms = now_ms - rollout->started_ms;

		if (rollout->state == CW_ROLLOUT_RUNNING &&
		    elapsed_ms >= ROLLOUT_SESSION_SYNC_MS / 2 &&
		    elapsed_ms < ROLLOUT_SESSION_SYNC_MS)
			return 1;
	}
	return 0;
}

size_t cw_rollouts_announce(struct cw_rollouts *rollouts, int64_t now_ms,
			    struct cw_rollout_announcement *update, size_t max)
{
	struct rollout *rollout;
	size_t count = 0;

	TAILQ_FOREACH(rollout, &rollouts->list, link) {
		struct cw_rollout_announcement *out = &update[count];

		if (count++ == max)
			return max;
		memset(out, 0, sizeof(*out));
		g_strlcpy(out->service, rollout->service, CW_NAME_MAX);
		g_strlcpy(out->target, rollout->target, CW_NAME_MAX);
		out->position = rollout->position;
		out->elapsed_ms = now_ms - rollout->started_ms;
		out->duration_ms = rollout->duration_ms;
		out->state = rollout->state;
		out->is_written = rollout->is_written;
		out->sent = rollout->sent;
		out->sent_target = rollout->sent_target;
		rollout_announce_plan(rollout, now_ms, out);
		if (rollout->state != CW_ROLLOUT_RUNNING)
			continue;
		rollout_decay_evidence(rollout, now_ms);
		out->kind_count = rollout->kind_count;
		memcpy(out->kinds, rollout->kinds, sizeof(out->kinds));
		rollout_announce_sessions(rollouts, rollout, now_ms, out);
	}
	return count;
}

int cw_rollouts_merge(struct cw_rollouts *rollouts, uint64_t instance,
		      const struct cw_rollout_announcement *update, int64_t now_ms)
{
	struct rollout *rollout = rollout_find(rollouts, update->service);
	enum cw_rollout_state before;

	if (rollout && rollout->is_ordered) {
		if (is_same_order(rollout, update->target, update->position))
			adopt_position(rollout, update->position);
		else if (cw_position_compare(update->position, rollout->position) < 0 ||
			 (!cw_position_is_same_era(update->position, rollout->position) &&
			  now_ms < rollouts->settled_ms)) {
			if (is_outcome_of_last_order(rollout, update))
				rollout_withdraw(rollout, update->target);
			return 0;
		}
	}
	if (!rollout)
		rollout = add(rollouts, update->service);
	if (!rollout->is_ordered || cw_position_compare(update->position, rollout->position) > 0) {
		struct cw_rollout_order order = {.duration_ms = update->duration_ms};

		g_strlcpy(order.service, update->service, CW_NAME_MAX);
		g_strlcpy(order.target, update->target, CW_NAME_MAX);
		start(rollout, &order, update->position, now_ms - update->elapsed_ms, now_ms);
	}
	/* The earliest start is the most accurate: a restarted instance learned of it later. */
	rollout->started_ms = MIN(rollout->started_ms, now_ms - update->elapsed_ms);
	before = rollout->state;
	if (update->is_written || (update->state != CW_ROLLOUT_RUNNING && !rollout->is_written &&
				   rollout->state == CW_ROLLOUT_RUNNING))
		rollout->state = update->state;
	rollout->is_written |= update->is_written;
	rollout_merge_plan(rollout, update, now_ms);
	rollout_merge_evidence(rollout, instance, update, now_ms);
	rollout_merge_sessions(rollouts, rollout, update, now_ms);
	return rollout->state != before;
}

/* The peer has not learned of the order that is in force here. */
static int is_outcome_of_last_order(const struct rollout *rollout,
				    const struct cw_rollout_announcement *update)
{
	return update->state == CW_ROLLOUT_ROLLED_BACK &&
	       cw_position_is_same_era(update->position, rollout->position) &&
	       strcmp(update->target, rollout->target) != 0;
}

struct rollout *rollout_find(const struct cw_rollouts *rollouts, const char *service)
{
	struct rollout *rollout;

	TAILQ_FOREACH(rollout, &rollouts->list, link)
		if (!strcmp(rollout->service, service))
			return rollout;
	return NULL;
}

static int is_in_state(const struct cw_rollouts *rollouts, const char *service,
		       enum cw_rollout_state state)
{
	const struct rollout *rollout = rollout_find(rollouts, service);

	return rollout && rollout->state == state;
}

static struct rollout *add(struct cw_rollouts *rollouts, const char *service)
{
	struct rollout *rollout = g_new0(struct rollout, 1);

	g_strlcpy(rollout->service, service, CW_NAME_MAX);
	rollout->service_hash = cw_hash_text(service, 0);
	rollout->peers = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
	rollout->old_sessions = g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, g_free);
	rollout_reset_plan(rollout);
	TAILQ_INSERT_TAIL(&rollouts->list, rollout, link);
	return rollout;
}

/*
 * A record of another era with the same target is the same order: kept by the store's copy, or
 * written again. Else a roll-out that is under way or over would begin again, and what peers
 * announce of it would be ignored until they know the new position too. The operator orders a
 * target again only after that record, and then at a later position of the same era.
 */
static int is_same_order(const struct rollout *rollout, const char *target,
			 struct cw_position position)
{
	if (strcmp(rollout->target, target) != 0)
		return 0;
	if (position.era > rollout->position.era)
		return 1;
	if (position.era == CW_ERA_UNKNOWN)
		return position.offset == rollout->position.offset ||
		       position.offset == rollout->earlier.offset;
	return cw_position_compare(position, rollout->position) == 0 ||
	       cw_position_compare(position, rollout->earlier) == 0;
}

static void adopt_position(struct rollout *rollout, struct cw_position position)
{
	if (position.era <= rollout->position.era)
		return;
	rollout->earlier = rollout->position;
	rollout->position = position;
}

static void start(struct rollout *rollout, const struct cw_rollout_order *order,
		  struct cw_position position, int64_t started_ms, int64_t now_ms)
{
	if (rollout->state == CW_ROLLOUT_ROLLED_BACK)
		rollout_withdraw(rollout, rollout->target);
	rollout_restore(rollout, order->target);
	set_target(rollout, order->target);
	rollout->position = position;
	rollout->earlier = (struct cw_position){0};
	rollout->started_ms = started_ms;
	rollout->learned_ms = now_ms;
	rollout->duration_ms = order->duration_ms;
	rollout->state = CW_ROLLOUT_RUNNING;
	rollout->is_written = 0;
	rollout->is_ordered = 1;
	rollout->kind_count = 0;
	rollout_reset_plan(rollout);
	rollout->sent = rollout->sent_target = 0;
	rollout->sent_per_ms = rollout->rate_sent = 0;
	rollout->rate_updated_ms = started_ms;
	rollout->reason = NULL;
	rollout->decayed_ms = started_ms;
	memset(rollout->kinds, 0, sizeof(rollout->kinds));
	g_hash_table_remove_all(rollout->peers);
	g_hash_table_remove_all(rollout->old_sessions);
}

static void set_target(struct rollout *rollout, const char *target)
{
	g_strlcpy(rollout->target, target, CW_NAME_MAX);
	rollout->target_hash = cw_hash_text(target, 0);
}

/* Elapsed fraction of the ordered duration. */
double rollout_elapsed_fraction(const struct rollout *rollout, int64_t now_ms)
{
	return (double)(now_ms - rollout->started_ms) / (double)MAX(rollout->duration_ms, 1);
}
