/*
 * Session affinity to a version. A session that recently ran on the old version stays there in
 * the first half of a roll-out. Instances announce such sessions to each other.
 */
#include "cw_hash.h"
#include "rollout_internal.h"

#define SESSION_SLACK_MS   500	 /* beyond the idle time, for clock differences and gossip */
#define OLD_SESSIONS_MAX   16384 /* kept of one roll-out, 1.5 MB: callers name their sessions */
#define SESSION_FORWARD_MS 2000	 /* forwarding of peers' sessions: a dozen gossip rounds */
#define SOFTWARE_UNKNOWN   0	 /* a version other than the target */

static void record_recent(struct cw_rollouts *rollouts, const char *service, uint64_t session,
			  uint64_t software, int64_t now_ms);
static void add_session(struct cw_rollout_announcement *out, uint64_t session, int64_t age_ms);
static int ran_on_old_version(const struct rollout_recent *recent, const struct rollout *rollout);
static int has_room(struct rollout *rollout, int64_t ended_before_ms);
static gboolean has_ended(gpointer session, gpointer at_ms, gpointer ended_before_ms);
static void *copy_int64(int64_t value);

void cw_rollouts_record_dispatch(struct cw_rollouts *rollouts, const char *service,
				 uint64_t session, const char *software, int64_t now_ms)
{
	struct rollout *rollout = rollout_find(rollouts, service);
	uint64_t hash = cw_hash_text(software, 0);

	record_recent(rollouts, service, session, hash, now_ms);
	if (rollout)
		rollout_count_dispatch(rollout, hash == rollout->target_hash);
}

void cw_rollouts_record_end(struct cw_rollouts *rollouts, const char *service, uint64_t session,
			    const char *software, int64_t now_ms)
{
	record_recent(rollouts, service, session, cw_hash_text(software, 0), now_ms);
}

/*
 * A caller retries a request that was in flight on a machine that lost power, and the instance that
 * knew the version of the session may be down. A request first sent before the order ran on the old
 * version, because no other existed.
 */
void cw_rollouts_record_retry(struct cw_rollouts *rollouts, const char *service, uint64_t session,
			      int64_t waiting_since_ms, int64_t now_ms)
{
	const struct rollout *rollout = rollout_find(rollouts, service);

	if (rollout && rollout->state == CW_ROLLOUT_RUNNING &&
	    waiting_since_ms < rollout->started_ms)
		record_recent(rollouts, service, session, SOFTWARE_UNKNOWN, now_ms);
}

int rollout_was_on_old_version(const struct cw_rollouts *rollouts, const struct rollout *rollout,
			       uint64_t session, int64_t now_ms)
{
	int64_t since_ms = now_ms - rollouts->options.session_ms - SESSION_SLACK_MS;
	const int64_t *seen_ms = g_hash_table_lookup(rollout->old_sessions, &session);

	if (seen_ms && *seen_ms > since_ms)
		return 1;
	for (size_t i = 0; i < ROLLOUT_RECENT; i++)
		if (rollouts->recent[i].session == session &&
		    ran_on_old_version(&rollouts->recent[i], rollout) &&
		    rollouts->recent[i].at_ms > since_ms)
			return 1;
	return 0;
}

/*
 * Announces this instance's sessions and, for a limited time, those received from peers. In a
 * large system a single message reaches few instances, and a session that stays on the old
 * version would be unknown where its next request arrives.
 */
void rollout_announce_sessions(const struct cw_rollouts *rollouts, const struct rollout *rollout,
			       int64_t now_ms, struct cw_rollout_announcement *out)
{
	GHashTableIter iter;
	gpointer session;
	gpointer at_ms;

	for (size_t i = 0; i < ROLLOUT_RECENT; i++) {
		const struct rollout_recent *recent = &rollouts->recent[i];

		if (ran_on_old_version(recent, rollout) &&
		    now_ms - recent->at_ms <= rollouts->options.session_ms + SESSION_SLACK_MS)
			add_session(out, recent->session, now_ms - recent->at_ms);
	}
	g_hash_table_iter_init(&iter, rollout->old_sessions);
	while (g_hash_table_iter_next(&iter, &session, &at_ms))
		if (now_ms - *(int64_t *)at_ms <= SESSION_FORWARD_MS)
			add_session(out, *(uint64_t *)session, now_ms - *(int64_t *)at_ms);
}

void rollout_merge_sessions(const struct cw_rollouts *rollouts, struct rollout *rollout,
			    const struct cw_rollout_announcement *update, int64_t now_ms)
{
	int64_t expiry_ms = rollouts->options.session_ms + SESSION_SLACK_MS;

	for (size_t i = 0; i < MIN(update->session_count, CW_ROLLOUT_MAX_SESSIONS); i++) {
		int64_t at_ms = now_ms - update->sessions[i].age_ms;
		int64_t *known =
			g_hash_table_lookup(rollout->old_sessions, &update->sessions[i].session);

		if (known)
			*known = MAX(*known, at_ms);
		else if (has_room(rollout, now_ms - expiry_ms))
			g_hash_table_insert(rollout->old_sessions,
					    copy_int64((int64_t)update->sessions[i].session),
					    copy_int64(at_ms));
	}
}

size_t cw_rollouts_count_old_sessions(const struct cw_rollouts *rollouts, const char *service)
{
	const struct rollout *rollout = rollout_find(rollouts, service);

	return rollout ? g_hash_table_size(rollout->old_sessions) : 0;
}

/* Sessions that have ended leave first; they are looked for only when the table is full. */
static int has_room(struct rollout *rollout, int64_t ended_before_ms)
{
	if (g_hash_table_size(rollout->old_sessions) < OLD_SESSIONS_MAX)
		return 1;
	g_hash_table_foreach_remove(rollout->old_sessions, has_ended, &ended_before_ms);
	return g_hash_table_size(rollout->old_sessions) < OLD_SESSIONS_MAX;
}

static gboolean has_ended(gpointer session, gpointer at_ms, gpointer ended_before_ms)
{
	return *(int64_t *)at_ms <= *(int64_t *)ended_before_ms;
}

static void record_recent(struct cw_rollouts *rollouts, const char *service, uint64_t session,
			  uint64_t software, int64_t now_ms)
{
	struct rollout_recent *recent = &rollouts->recent[rollouts->next_recent];

	recent->software = software;
	recent->service = cw_hash_text(service, 0);
	recent->session = session;
	recent->at_ms = now_ms;
	rollouts->next_recent = (rollouts->next_recent + 1) % ROLLOUT_RECENT;
}

static void add_session(struct cw_rollout_announcement *out, uint64_t session, int64_t age_ms)
{
	struct cw_rollout_session *slot = &out->sessions[out->session_count];

	if (out->session_count == CW_ROLLOUT_MAX_SESSIONS ||
	    cw_hash_to_fraction(session) >= ROLLOUT_FIRST_SHARE)
		return;
	slot->session = session;
	slot->age_ms = (uint32_t)age_ms;
	out->session_count++;
}

static int ran_on_old_version(const struct rollout_recent *recent, const struct rollout *rollout)
{
	return recent->service == rollout->service_hash && recent->software != rollout->target_hash;
}

static void *copy_int64(int64_t value)
{
	int64_t *kept = g_new(int64_t, 1);

	*kept = value;
	return kept;
}
