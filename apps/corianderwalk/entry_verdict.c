/*
 * Publishes the outcome of a roll-out. It is written once: the newest status is read first, and the
 * append succeeds only if no record was written since. Instances try one after another, by rank;
 * the others receive the outcome in the first one's announcement.
 */
#include "cw_hash.h"
#include "cw_timeline.h"
#include "entry_feed.h"

#define VERDICTS_MAX 4

static void log_verdict(const struct cw_rollout_verdict *verdict);
static void log_progress(struct cw_rollouts *rollouts, int64_t now_ms);
static int is_write_due(const struct verdict *verdict, const char *service, int64_t now_ms);
static void append_status(struct verdict *verdict, const struct cw_rollout_status *status);
static void on_written(void *context, enum cw_status status, const char *why);

void verdict_open(struct verdict *verdict, struct feed *feed)
{
	verdict->feed = feed;
	verdict->append.done = on_written;
	verdict->append.context = verdict;
}

void verdict_close(struct verdict *verdict)
{
	append_cancel(&verdict->append);
}

void verdict_tick(struct verdict *verdict, int64_t now_ms)
{
	struct feed *feed = verdict->feed;
	struct cw_rollout_verdict verdicts[VERDICTS_MAX];
	size_t count = cw_rollouts_evaluate(cw_gate_rollouts(feed->entry->gate), now_ms, verdicts,
					    VERDICTS_MAX);

	log_progress(cw_gate_rollouts(feed->entry->gate), now_ms);
	if (count == 0) {
		verdict->decided_ms = 0;
		return;
	}
	if (!verdict->decided_ms) {
		verdict->decided_ms = now_ms;
		log_verdict(&verdicts[0]);
		peers_announce(feed->entry->peers);
	}
	if (!is_write_due(verdict, verdicts[0].status.service, now_ms))
		return;
	if (!verdict->is_status_fresh) {
		topic_reload(&feed->status);
		return;
	}
	verdict->is_status_fresh = 0;
	append_status(verdict, &verdicts[0].status);
}

static void log_verdict(const struct cw_rollout_verdict *verdict)
{
	cw_event(
		"feed", "rollout_verdict",
		"service=%s target=%s state=%d reason=%s answers=%.1f bad=%.1f loaded_answers=%.1f "
		"loaded_bad=%.1f streams=%.1f quick_streams=%.1f streams_llr=%.1f",
		verdict->status.service, verdict->status.target, verdict->status.state,
		verdict->reason, verdict->answers, verdict->bad, verdict->loaded_answers,
		verdict->loaded_bad, verdict->streams, verdict->quick_streams,
		verdict->streams_llr);
}

static void log_progress(struct cw_rollouts *rollouts, int64_t now_ms)
{
	struct cw_rollout_progress progress;

	while (cw_rollouts_next_progress(rollouts, now_ms, &progress))
		cw_event("feed", "rollout_step",
			 "service=%s target=%s step=%s from_ms=%ld elapsed_ms=%ld trial_share=%.3f",
			 progress.service, progress.target, progress.step,
			 (long)progress.effective_ms, (long)progress.elapsed_ms,
			 progress.trial_share);
}

static int is_write_due(const struct verdict *verdict, const char *service, int64_t now_ms)
{
	const struct feed *feed = verdict->feed;
	size_t rank = peers_rank(feed->entry->peers, cw_hash_text(service, 0), now_ms);

	return now_ms - verdict->decided_ms >= cw_rollouts_write_delay_ms(rank) &&
	       !verdict->append.exchange && !feed->status.exchange && !feed->status.is_down;
}

static void append_status(struct verdict *verdict, const struct cw_rollout_status *status)
{
	struct feed *feed = verdict->feed;
	const char *store = feed->entry->settings.store;
	GString *bytes = g_string_sized_new(256);

	verdict->status = *status;
	cw_up_format_status_append(status, feed->status.next.offset, store, bytes);
	cw_event("feed", "rollout_writing", "service=%s target=%s state=%d at=%lu", status->service,
		 status->target, status->state, (unsigned long)feed->status.next.offset);
	append_begin(&verdict->append, feed, bytes);
}

/* An append without an answer may have been written, so the next try reads before it writes. */
static void on_written(void *context, enum cw_status status, const char *why)
{
	struct verdict *verdict = context;
	struct entry *entry = verdict->feed->entry;

	if (status == CW_UNKNOWN) {
		cw_warn("feed", "rollout_write_lost", "service=%s why=%s", verdict->status.service,
			why);
		return;
	}
	cw_event("feed", "rollout_written", "service=%s target=%s state=%d result=%s",
		 verdict->status.service, verdict->status.target, verdict->status.state,
		 cw_status_name(status));
	if (status != CW_OK)
		return;
	cw_rollouts_apply_status(cw_gate_rollouts(entry->gate), &verdict->status);
	peers_announce(entry->peers);
}
