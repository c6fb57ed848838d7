#include "cw_rollout.h"

#include <glib.h>
#include <string.h>
#include <sys/queue.h>

struct rollout {
	TAILQ_ENTRY(rollout) link;
	char service[CW_NAME_MAX];
	char target[CW_NAME_MAX];
	uint64_t offset; /* of the order */
	int64_t begun_ms;
	int64_t duration_ms;
	enum cw_rollout_state state;
};

struct cw_rollouts {
	TAILQ_HEAD(, rollout) list;
};

static struct rollout *find(const struct cw_rollouts *rollouts, const char *service);

struct cw_rollouts *cw_rollouts_create(void)
{
	struct cw_rollouts *rollouts = g_new0(struct cw_rollouts, 1);

	TAILQ_INIT(&rollouts->list);
	return rollouts;
}

void cw_rollouts_destroy(struct cw_rollouts *rollouts)
{
	struct rollout *rollout;

	if (!rollouts)
		return;
	while ((rollout = TAILQ_FIRST(&rollouts->list))) {
		TAILQ_REMOVE(&rollouts->list, rollout, link);
		g_free(rollout);
	}
	g_free(rollouts);
}

int cw_rollouts_order(struct cw_rollouts *rollouts, const struct cw_rollout_order *order,
		      uint64_t offset, int64_t now_ms)
{
	struct rollout *rollout = find(rollouts, order->service);

	if (!rollout) {
		rollout = g_new0(struct rollout, 1);
		g_strlcpy(rollout->service, order->service, CW_NAME_MAX);
		TAILQ_INSERT_TAIL(&rollouts->list, rollout, link);
	} else if (offset <= rollout->offset) {
		return 0;
	}
	g_strlcpy(rollout->target, order->target, CW_NAME_MAX);
	rollout->offset = offset;
	rollout->begun_ms = now_ms;
	rollout->duration_ms = order->duration_ms;
	rollout->state = CW_ROLLOUT_RUNNING;
	return 1;
}

int cw_rollouts_told(struct cw_rollouts *rollouts, const struct cw_rollout_status *status)
{
	struct rollout *rollout = find(rollouts, status->service);

	if (!rollout || strcmp(rollout->target, status->target) != 0 ||
	    rollout->state != CW_ROLLOUT_RUNNING || status->state == CW_ROLLOUT_RUNNING)
		return 0;
	rollout->state = status->state;
	return 1;
}

const char *cw_rollouts_target(const struct cw_rollouts *rollouts, const char *service)
{
	const struct rollout *rollout = find(rollouts, service);

	return rollout ? rollout->target : NULL;
}

enum cw_rollout_side cw_rollouts_side(struct cw_rollouts *rollouts, const char *service,
				      uint64_t session, int64_t now_ms)
{
	const struct rollout *rollout = find(rollouts, service);

	if (!rollout)
		return CW_ROLLOUT_ANY;
	return rollout->state == CW_ROLLOUT_DONE ? CW_ROLLOUT_NEW : CW_ROLLOUT_OLD;
}

static struct rollout *find(const struct cw_rollouts *rollouts, const char *service)
{
	struct rollout *rollout;

	TAILQ_FOREACH(rollout, &rollouts->list, link)
		if (!strcmp(rollout->service, service))
			return rollout;
	return NULL;
}
