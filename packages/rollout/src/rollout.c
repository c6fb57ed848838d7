#include "cw_hash.h"
#include "rollout_internal.h"

#include <string.h>

#define START_MS     1200 /* peers' sessions are heard before the first request goes to the new */
#define FIRST_UNTIL  0.55 /* of the time ordered: sessions may not move in the first half */
#define SECOND_SHARE 0.30
#define SECOND_UNTIL 0.64
#define THIRD_SHARE  0.60
#define THIRD_UNTIL  0.73 /* at 0.65 a good version was taken back in 8 of 16 busy days, so in 0 */
#define DONE_FIRST   0.90 /* runs on the old version have ended by then */
#define DONE_LAST    0.97 /* time to write it down is left */

static struct rollout *add(struct cw_rollouts *rollouts, const char *service);
static void begin(struct rollout *rollout, const char *target, uint64_t offset, int64_t duration_ms,
		  int64_t begun_ms);
static void set_target(struct rollout *rollout, const char *target);
static int64_t done_after_ms(const struct cw_rollouts *rollouts, const struct rollout *rollout);
static double share_at(const struct rollout *rollout, int64_t elapsed_ms);

struct cw_rollouts *cw_rollouts_create(int64_t session_ms)
{
	struct cw_rollouts *rollouts = g_new0(struct cw_rollouts, 1);

	TAILQ_INIT(&rollouts->list);
	rollouts->session_ms = session_ms;
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
	begin(rollout, order->target, offset, order->duration_ms, now_ms);
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

int cw_rollouts_is_bad(const struct cw_rollouts *rollouts, const char *service)
{
	const struct rollout *rollout = rollout_find(rollouts, service);

	return rollout && rollout->state == CW_ROLLOUT_BACK;
}

const char *cw_rollouts_target(const struct cw_rollouts *rollouts, const char *service)
{
	const struct rollout *rollout = rollout_find(rollouts, service);

	return rollout ? rollout->target : NULL;
}

enum cw_rollout_side cw_rollouts_side(struct cw_rollouts *rollouts, const char *service,
				      uint64_t session, int64_t now_ms)
{
	const struct rollout *rollout = rollout_find(rollouts, service);
	int64_t elapsed_ms;

	if (!rollout)
		return CW_ROLLOUT_ANY;
	if (rollout->state == CW_ROLLOUT_DONE)
		return CW_ROLLOUT_NEW;
	if (rollout->state == CW_ROLLOUT_BACK)
		return CW_ROLLOUT_OLD;
	elapsed_ms = now_ms - rollout->begun_ms;
	if (rollout_point(session) >= share_at(rollout, elapsed_ms))
		return CW_ROLLOUT_OLD;
	if ((double)elapsed_ms < FIRST_UNTIL * (double)rollout->duration_ms &&
	    rollout_was_on_old(rollouts, rollout, session, now_ms))
		return CW_ROLLOUT_OLD;
	return CW_ROLLOUT_NEW;
}

double cw_rollouts_share(const struct cw_rollouts *rollouts, const char *service, int64_t now_ms)
{
	const struct rollout *rollout = rollout_find(rollouts, service);

	if (!rollout || rollout->state != CW_ROLLOUT_RUNNING)
		return 1;
	return share_at(rollout, now_ms - rollout->begun_ms);
}

size_t cw_rollouts_judge(struct cw_rollouts *rollouts, int64_t now_ms,
			 struct cw_rollout_status *verdicts, size_t max)
{
	struct rollout *rollout;
	size_t count = 0;

	TAILQ_FOREACH(rollout, &rollouts->list, link) {
		int64_t elapsed_ms = now_ms - rollout->begun_ms;

		if (rollout->state == CW_ROLLOUT_RUNNING && rollout_is_bad(rollout, now_ms))
			rollout->state = CW_ROLLOUT_BACK;
		else if (rollout->state == CW_ROLLOUT_RUNNING &&
			 elapsed_ms >= done_after_ms(rollouts, rollout))
			rollout->state = CW_ROLLOUT_DONE;
		if (rollout->state == CW_ROLLOUT_RUNNING || rollout->is_written || count == max)
			continue;
		g_strlcpy(verdicts[count].service, rollout->service, CW_NAME_MAX);
		g_strlcpy(verdicts[count].target, rollout->target, CW_NAME_MAX);
		verdicts[count++].state = rollout->state;
	}
	return count;
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
	double idle_ms = THIRD_UNTIL * duration_ms + (double)rollouts->session_ms;

	return (int64_t)CLAMP(idle_ms, DONE_FIRST * duration_ms, DONE_LAST * duration_ms);
}

int cw_rollouts_is_starting(const struct cw_rollouts *rollouts, int64_t now_ms)
{
	const struct rollout *rollout;

	TAILQ_FOREACH(rollout, &rollouts->list, link) {
		int64_t elapsed_ms = now_ms - rollout->begun_ms;

		if (rollout->state == CW_ROLLOUT_RUNNING && elapsed_ms >= START_MS / 2 &&
		    elapsed_ms < START_MS)
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
		if (rollout->state != CW_ROLLOUT_RUNNING)
			continue;
		rollout_fade(rollout, now_ms);
		out->route_count = rollout->route_count;
		memcpy(out->routes, rollout->routes, sizeof(out->routes));
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
	if (!rollout->is_ordered || news->offset > rollout->offset)
		begin(rollout, news->target, news->offset, news->duration_ms,
		      now_ms - news->elapsed_ms);
	/* The one that heard of the order first counts best: a restarted instance knows less. */
	rollout->begun_ms = MIN(rollout->begun_ms, now_ms - news->elapsed_ms);
	before = rollout->state;
	if (news->is_written || (news->state != CW_ROLLOUT_RUNNING && !rollout->is_written &&
				 rollout->state == CW_ROLLOUT_RUNNING))
		rollout->state = news->state;
	rollout->is_written |= news->is_written;
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
	TAILQ_INSERT_TAIL(&rollouts->list, rollout, link);
	return rollout;
}

static void begin(struct rollout *rollout, const char *target, uint64_t offset, int64_t duration_ms,
		  int64_t begun_ms)
{
	set_target(rollout, target);
	rollout->offset = offset;
	rollout->begun_ms = begun_ms;
	rollout->duration_ms = duration_ms;
	rollout->state = CW_ROLLOUT_RUNNING;
	rollout->is_written = 0;
	rollout->is_ordered = 1;
	rollout->route_count = 0;
	rollout->counted_ms = begun_ms;
	memset(rollout->routes, 0, sizeof(rollout->routes));
	g_hash_table_remove_all(rollout->peers);
	g_hash_table_remove_all(rollout->old);
}

static void set_target(struct rollout *rollout, const char *target)
{
	g_strlcpy(rollout->target, target, CW_NAME_MAX);
	rollout->target_hash = cw_hash_text(target, 0);
}

/* Grows only, so that a session moves forward once at most. */
static double share_at(const struct rollout *rollout, int64_t elapsed_ms)
{
	double part = (double)elapsed_ms / (double)MAX(rollout->duration_ms, 1);

	if (elapsed_ms < START_MS)
		return 0;
	if (part < FIRST_UNTIL)
		return ROLLOUT_FIRST_SHARE;
	if (part < SECOND_UNTIL)
		return SECOND_SHARE;
	return part < THIRD_UNTIL ? THIRD_SHARE : 1;
}

double rollout_point(uint64_t session)
{
	return (double)(session >> 11) / (double)(1ULL << 53);
}
