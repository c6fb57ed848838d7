/*
 * A session keeps its version while it lasts. Whoever was on the old version a moment ago stays
 * there in the first half of a roll-out; which sessions these are, instances tell each other.
 */
#include "cw_hash.h"
#include "rollout_internal.h"

#define SESSION_SLACK	 500  /* ms beyond the session's idle time: clocks and gossip differ */
#define FORWARD_MS	 2000 /* what peers told is told on for so long: a dozen rounds */
#define SOFTWARE_UNKNOWN 0    /* but not the target */

static void remember(struct cw_rollouts *rollouts, const char *service, uint64_t session,
		     uint64_t software, int64_t now_ms);
static void add_session(struct cw_rollout_news *out, uint64_t session, int64_t age_ms);
static int is_on_old(const struct rollout_recent *recent, const struct rollout *rollout);
static void *keep_int64(int64_t value);

void cw_rollouts_used(struct cw_rollouts *rollouts, const char *service, uint64_t session,
		      const char *software, int64_t now_ms)
{
	struct rollout *rollout = rollout_find(rollouts, service);
	uint64_t hash = cw_hash_text(software, 0);

	remember(rollouts, service, session, hash, now_ms);
	if (rollout)
		rollout_count(rollout, hash == rollout->target_hash);
}

/*
 * A caller asks again what a machine had under way when its power went: who knew which version its
 * session ran on may be gone. Before the order there was only the old one.
 */
void cw_rollouts_asked(struct cw_rollouts *rollouts, const char *service, uint64_t session,
		       int64_t asked_ms, int64_t now_ms)
{
	const struct rollout *rollout = rollout_find(rollouts, service);

	if (rollout && rollout->state == CW_ROLLOUT_RUNNING && asked_ms < rollout->begun_ms)
		remember(rollouts, service, session, SOFTWARE_UNKNOWN, now_ms);
}

int rollout_was_on_old(const struct cw_rollouts *rollouts, const struct rollout *rollout,
		       uint64_t session, int64_t now_ms)
{
	int64_t since_ms = now_ms - rollouts->options.session_ms - SESSION_SLACK;
	const int64_t *heard = g_hash_table_lookup(rollout->old, &session);

	if (heard && *heard > since_ms)
		return 1;
	for (size_t i = 0; i < ROLLOUT_RECENT; i++)
		if (rollouts->recent[i].session == session &&
		    is_on_old(&rollouts->recent[i], rollout) &&
		    rollouts->recent[i].at_ms > since_ms)
			return 1;
	return 0;
}

/*
 * The own ones, and for a while those that peers told: in a large system a message reaches few, so
 * a session that stays on the old version would else be unknown where it comes back.
 */
void rollout_tell_sessions(const struct cw_rollouts *rollouts, const struct rollout *rollout,
			   int64_t now_ms, struct cw_rollout_news *out)
{
	GHashTableIter iter;
	gpointer session;
	gpointer at_ms;

	for (size_t i = 0; i < ROLLOUT_RECENT; i++) {
		const struct rollout_recent *recent = &rollouts->recent[i];

		if (is_on_old(recent, rollout) &&
		    now_ms - recent->at_ms <= rollouts->options.session_ms + SESSION_SLACK)
			add_session(out, recent->session, now_ms - recent->at_ms);
	}
	g_hash_table_iter_init(&iter, rollout->old);
	while (g_hash_table_iter_next(&iter, &session, &at_ms))
		if (now_ms - *(int64_t *)at_ms <= FORWARD_MS)
			add_session(out, *(uint64_t *)session, now_ms - *(int64_t *)at_ms);
}

void rollout_hear_sessions(struct rollout *rollout, const struct cw_rollout_news *news,
			   int64_t now_ms)
{
	for (size_t i = 0; i < MIN(news->session_count, CW_ROLLOUT_SESSIONS); i++) {
		int64_t at_ms = now_ms - news->sessions[i].age_ms;
		int64_t *known = g_hash_table_lookup(rollout->old, &news->sessions[i].session);

		if (known)
			*known = MAX(*known, at_ms);
		else
			g_hash_table_insert(rollout->old,
					    keep_int64((int64_t)news->sessions[i].session),
					    keep_int64(at_ms));
	}
}

static void remember(struct cw_rollouts *rollouts, const char *service, uint64_t session,
		     uint64_t software, int64_t now_ms)
{
	struct rollout_recent *recent = &rollouts->recent[rollouts->next_recent];

	recent->software = software;
	recent->service = cw_hash_text(service, 0);
	recent->session = session;
	recent->at_ms = now_ms;
	rollouts->next_recent = (rollouts->next_recent + 1) % ROLLOUT_RECENT;
}

static void add_session(struct cw_rollout_news *out, uint64_t session, int64_t age_ms)
{
	struct cw_rollout_session *slot = &out->sessions[out->session_count];

	if (out->session_count == CW_ROLLOUT_SESSIONS ||
	    cw_hash_part(session) >= ROLLOUT_FIRST_SHARE)
		return;
	slot->session = session;
	slot->age_ms = (uint32_t)age_ms;
	out->session_count++;
}

static int is_on_old(const struct rollout_recent *recent, const struct rollout *rollout)
{
	return recent->service == rollout->service_hash && recent->software != rollout->target_hash;
}

static void *keep_int64(int64_t value)
{
	int64_t *kept = g_new(int64_t, 1);

	*kept = value;
	return kept;
}
