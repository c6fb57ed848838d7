/*
 * Versions that earlier roll-outs of a service rolled back. Their servers stay listed for some
 * seconds, also when the next version is ordered: they belong neither to that version nor to the
 * old one.
 */
#include "rollout_internal.h"

#include <string.h>

const char *cw_rollouts_withdrawn(const struct cw_rollouts *rollouts, const char *service,
				  size_t index)
{
	const struct rollout *rollout = rollout_find(rollouts, service);

	return rollout && index < rollout->withdrawn_count ? rollout->withdrawn[index] : NULL;
}

int cw_rollouts_is_withdrawn(const struct cw_rollouts *rollouts, const char *service,
			     const char *software)
{
	const struct rollout *rollout = rollout_find(rollouts, service);

	return rollout && rollout_is_withdrawn(rollout, software);
}

/* The oldest one makes room. */
void rollout_withdraw(struct rollout *rollout, const char *software)
{
	rollout_restore(rollout, software);
	if (rollout->withdrawn_count == CW_ROLLOUT_MAX_WITHDRAWN)
		rollout_restore(rollout, rollout->withdrawn[0]);
	g_strlcpy(rollout->withdrawn[rollout->withdrawn_count++], software, CW_NAME_MAX);
}

void rollout_restore(struct rollout *rollout, const char *software)
{
	size_t kept = 0;

	for (size_t i = 0; i < rollout->withdrawn_count; i++) {
		if (!strcmp(rollout->withdrawn[i], software))
			continue;
		if (kept != i)
			g_strlcpy(rollout->withdrawn[kept], rollout->withdrawn[i], CW_NAME_MAX);
		kept++;
	}
	rollout->withdrawn_count = kept;
}

int rollout_is_withdrawn(const struct rollout *rollout, const char *software)
{
	for (size_t i = 0; i < rollout->withdrawn_count; i++)
		if (!strcmp(rollout->withdrawn[i], software))
			return 1;
	return 0;
}
