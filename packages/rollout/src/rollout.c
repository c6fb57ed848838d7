#include "cw_rollout.h"
#include "cw_hash.h"

#include <glib.h>
#include <math.h>
#include <string.h>
#include <sys/queue.h>

#define START_MS	 1200 /* peers' sessions are heard before the first request goes to the new */
#define FIRST_SHARE	 0.10 /* of sessions: 0.15 of all requests may be exposed, and 30 more */
#define FIRST_UNTIL	 0.55 /* of the time ordered: sessions may not move in the first half */
#define SECOND_SHARE	 0.30
#define SECOND_UNTIL	 0.64
#define THIRD_SHARE	 0.60
#define THIRD_UNTIL	 0.73 /* at 0.65 a good version was taken back in 8 of 16 busy days, so in 0 */
#define DONE_FIRST	 0.90 /* runs on the old version have ended by then */
#define DONE_LAST	 0.97 /* time to write it down is left */
#define SESSION_SLACK	 500  /* ms beyond the session's idle time: clocks and gossip differ */
#define DECAY_MS	 8000 /* answers count 1/e after it: a version that turns bad late shows */
#define TRIP_BAD	 2.5  /* decayed bad answers at least */
#define TRIP_LEVEL	 5.0  /* log likelihood ratio: one false alarm in e^5 looks at one window */
#define USUAL_BAD	 0.03 /* failures that any version may have, beyond the other's */
#define BAD_AT_LEAST	 0.30 /* failures of a version worth taking back */
#define FORWARD_MS	 2000 /* what peers told is told on for so long: a dozen rounds */
#define RECENT		 512  /* sessions remembered, 5 s at 100 a second */
#define SOFTWARE_UNKNOWN 0    /* but not the target */

/* A request that went to a server. Of any version: this roll-out's target is the next one's old. */
struct recent {
	uint64_t service;
	uint64_t session;
	uint64_t software;
	int64_t at_ms;
};

struct peer_evidence {
	uint64_t instance; /* 0: free */
	int64_t heard_ms;
	size_t route_count;
	struct cw_rollout_evidence routes[CW_ROLLOUT_ROUTES];
};

struct rollout {
	TAILQ_ENTRY(rollout) link;
	char service[CW_NAME_MAX];
	char target[CW_NAME_MAX];
	uint64_t service_hash;
	uint64_t offset; /* of the order */
	int64_t begun_ms;
	int64_t duration_ms;
	enum cw_rollout_state state;
	int is_written;
	int is_ordered; /* 0: only what was written of it is known */
	size_t route_count;
	struct cw_rollout_evidence routes[CW_ROLLOUT_ROUTES];
	int64_t counted_ms; /* the routes' figures are true then */
	GHashTable *peers;  /* instance -> struct peer_evidence */
	GHashTable *old;    /* sessions that peers saw on the old version: hash -> time */
};

struct cw_rollouts {
	TAILQ_HEAD(, rollout) list;
	int64_t session_ms;
	struct recent recent[RECENT];
	size_t next_recent;
};

static struct rollout *find(const struct cw_rollouts *rollouts, const char *service);
static struct rollout *add(struct cw_rollouts *rollouts, const char *service);
static void begin(struct rollout *rollout, const char *target, uint64_t offset, int64_t duration_ms,
		  int64_t begun_ms);
static int64_t done_after_ms(const struct cw_rollouts *rollouts, const struct rollout *rollout);
static double share_at(const struct rollout *rollout, int64_t elapsed_ms);
static double point_of(uint64_t session);
static int was_on_old(const struct cw_rollouts *rollouts, const struct rollout *rollout,
		      uint64_t session, int64_t now_ms);
static void remember(struct cw_rollouts *rollouts, const char *service, uint64_t session,
		     uint64_t software, int64_t now_ms);
static void tell_sessions(const struct cw_rollouts *rollouts, const struct rollout *rollout,
			  int64_t now_ms, struct cw_rollout_news *out);
static void add_session(struct cw_rollout_news *out, uint64_t session, int64_t age_ms);
static int is_on_old(const struct recent *recent, const struct rollout *rollout);
static void fade(struct rollout *rollout, int64_t now_ms);
static struct cw_rollout_evidence *find_route(struct cw_rollout_evidence *routes, size_t *count,
					      uint64_t route);
static size_t pool_evidence(struct rollout *rollout, int64_t now_ms,
			    struct cw_rollout_evidence *routes);
static int is_bad(const struct cw_rollout_evidence *evidence);
static int judge_bad(struct rollout *rollout, int64_t now_ms);
static void *keep_int64(int64_t value);

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
	struct rollout *rollout = find(rollouts, order->service);

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
	struct rollout *rollout = find(rollouts, status->service);
	int is_news;

	if (status->state == CW_ROLLOUT_RUNNING)
		return 0;
	if (!rollout) {
		rollout = add(rollouts, status->service);
		g_strlcpy(rollout->target, status->target, CW_NAME_MAX);
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
	const struct rollout *rollout = find(rollouts, service);

	return rollout && rollout->state == CW_ROLLOUT_BACK;
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
	int64_t elapsed_ms;

	if (!rollout)
		return CW_ROLLOUT_ANY;
	if (rollout->state == CW_ROLLOUT_DONE)
		return CW_ROLLOUT_NEW;
	if (rollout->state == CW_ROLLOUT_BACK)
		return CW_ROLLOUT_OLD;
	elapsed_ms = now_ms - rollout->begun_ms;
	if (point_of(session) >= share_at(rollout, elapsed_ms))
		return CW_ROLLOUT_OLD;
	if ((double)elapsed_ms < FIRST_UNTIL * (double)rollout->duration_ms &&
	    was_on_old(rollouts, rollout, session, now_ms))
		return CW_ROLLOUT_OLD;
	return CW_ROLLOUT_NEW;
}

void cw_rollouts_used(struct cw_rollouts *rollouts, const char *service, uint64_t session,
		      const char *software, int64_t now_ms)
{
	remember(rollouts, service, session, cw_hash_text(software, 0), now_ms);
}

/*
 * A caller asks again what a machine had under way when its power went: who knew which version its
 * session ran on may be gone. Before the order there was only the old one.
 */
void cw_rollouts_asked(struct cw_rollouts *rollouts, const char *service, uint64_t session,
		       int64_t asked_ms, int64_t now_ms)
{
	const struct rollout *rollout = find(rollouts, service);

	if (rollout && rollout->state == CW_ROLLOUT_RUNNING && asked_ms < rollout->begun_ms)
		remember(rollouts, service, session, SOFTWARE_UNKNOWN, now_ms);
}

static void remember(struct cw_rollouts *rollouts, const char *service, uint64_t session,
		     uint64_t software, int64_t now_ms)
{
	struct recent *recent = &rollouts->recent[rollouts->next_recent];

	recent->software = software;
	recent->service = cw_hash_text(service, 0);
	recent->session = session;
	recent->at_ms = now_ms;
	rollouts->next_recent = (rollouts->next_recent + 1) % RECENT;
}

void cw_rollouts_answered(struct cw_rollouts *rollouts, const char *service, uint64_t route,
			  const char *software, int is_bad, int64_t now_ms)
{
	struct rollout *rollout = find(rollouts, service);
	struct cw_rollout_evidence *evidence;

	if (!rollout)
		return;
	fade(rollout, now_ms);
	evidence = find_route(rollout->routes, &rollout->route_count, route);
	if (!strcmp(rollout->target, software)) {
		evidence->new_answers += 1;
		evidence->new_bad += (float)is_bad;
	} else {
		evidence->old_answers += 1;
		evidence->old_bad += (float)is_bad;
	}
}

void cw_rollouts_spoiled(struct cw_rollouts *rollouts, const char *service, uint64_t route,
			 const char *software, int64_t now_ms)
{
	struct rollout *rollout = find(rollouts, service);
	struct cw_rollout_evidence *evidence;

	if (!rollout)
		return;
	fade(rollout, now_ms);
	evidence = find_route(rollout->routes, &rollout->route_count, route);
	if (!strcmp(rollout->target, software))
		evidence->new_bad = MIN(evidence->new_bad + 1, evidence->new_answers);
	else
		evidence->old_bad = MIN(evidence->old_bad + 1, evidence->old_answers);
}

double cw_rollouts_share(const struct cw_rollouts *rollouts, const char *service, int64_t now_ms)
{
	const struct rollout *rollout = find(rollouts, service);

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

		if (rollout->state == CW_ROLLOUT_RUNNING && judge_bad(rollout, now_ms))
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
		fade(rollout, now_ms);
		out->route_count = rollout->route_count;
		memcpy(out->routes, rollout->routes, sizeof(out->routes));
		tell_sessions(rollouts, rollout, now_ms, out);
	}
	return count;
}

/*
 * The own ones, and for a while those that peers told: in a large system a message reaches few, so
 * a session that stays on the old version would else be unknown where it comes back.
 */
static void tell_sessions(const struct cw_rollouts *rollouts, const struct rollout *rollout,
			  int64_t now_ms, struct cw_rollout_news *out)
{
	GHashTableIter iter;
	gpointer session;
	gpointer at_ms;

	for (size_t i = 0; i < RECENT; i++) {
		const struct recent *recent = &rollouts->recent[i];

		if (is_on_old(recent, rollout) &&
		    now_ms - recent->at_ms <= rollouts->session_ms + SESSION_SLACK)
			add_session(out, recent->session, now_ms - recent->at_ms);
	}
	g_hash_table_iter_init(&iter, rollout->old);
	while (g_hash_table_iter_next(&iter, &session, &at_ms))
		if (now_ms - *(int64_t *)at_ms <= FORWARD_MS)
			add_session(out, *(uint64_t *)session, now_ms - *(int64_t *)at_ms);
}

static void add_session(struct cw_rollout_news *out, uint64_t session, int64_t age_ms)
{
	struct cw_rollout_session *slot = &out->sessions[out->session_count];

	if (out->session_count == CW_ROLLOUT_SESSIONS || point_of(session) >= FIRST_SHARE)
		return;
	slot->session = session;
	slot->age_ms = (uint32_t)age_ms;
	out->session_count++;
}

int cw_rollouts_hear(struct cw_rollouts *rollouts, uint64_t instance,
		     const struct cw_rollout_news *news, int64_t now_ms)
{
	struct rollout *rollout = find(rollouts, news->service);
	struct peer_evidence *evidence;
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
	evidence = g_hash_table_lookup(rollout->peers, &instance);
	if (!evidence) {
		evidence = g_new0(struct peer_evidence, 1);
		evidence->instance = instance;
		g_hash_table_insert(rollout->peers, &evidence->instance, evidence);
	}
	evidence->heard_ms = now_ms;
	evidence->route_count = MIN(news->route_count, CW_ROLLOUT_ROUTES);
	memcpy(evidence->routes, news->routes, sizeof(evidence->routes));
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
	return rollout->state != before;
}

static struct rollout *find(const struct cw_rollouts *rollouts, const char *service)
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
	g_strlcpy(rollout->target, target, CW_NAME_MAX);
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

/* Grows only, so that a session moves forward once at most. */
static double share_at(const struct rollout *rollout, int64_t elapsed_ms)
{
	double part = (double)elapsed_ms / (double)MAX(rollout->duration_ms, 1);

	if (elapsed_ms < START_MS)
		return 0;
	if (part < FIRST_UNTIL)
		return FIRST_SHARE;
	if (part < SECOND_UNTIL)
		return SECOND_SHARE;
	return part < THIRD_UNTIL ? THIRD_SHARE : 1;
}

static double point_of(uint64_t session)
{
	return (double)(session >> 11) / (double)(1ULL << 53);
}

static int was_on_old(const struct cw_rollouts *rollouts, const struct rollout *rollout,
		      uint64_t session, int64_t now_ms)
{
	int64_t since_ms = now_ms - rollouts->session_ms - SESSION_SLACK;
	const int64_t *heard = g_hash_table_lookup(rollout->old, &session);

	if (heard && *heard > since_ms)
		return 1;
	for (size_t i = 0; i < RECENT; i++)
		if (rollouts->recent[i].session == session &&
		    is_on_old(&rollouts->recent[i], rollout) &&
		    rollouts->recent[i].at_ms > since_ms)
			return 1;
	return 0;
}

static int is_on_old(const struct recent *recent, const struct rollout *rollout)
{
	return recent->service == rollout->service_hash &&
	       recent->software != cw_hash_text(rollout->target, 0);
}

static void fade(struct rollout *rollout, int64_t now_ms)
{
	float factor = expf(-(float)(now_ms - rollout->counted_ms) / DECAY_MS);

	for (size_t i = 0; i < rollout->route_count; i++) {
		rollout->routes[i].old_answers *= factor;
		rollout->routes[i].old_bad *= factor;
		rollout->routes[i].new_answers *= factor;
		rollout->routes[i].new_bad *= factor;
	}
	rollout->counted_ms = now_ms;
}

/* Routes beyond the room share the last entry. */
static struct cw_rollout_evidence *find_route(struct cw_rollout_evidence *routes, size_t *count,
					      uint64_t route)
{
	for (size_t i = 0; i < *count; i++)
		if (routes[i].route == route)
			return &routes[i];
	if (*count == CW_ROLLOUT_ROUTES)
		return &routes[*count - 1];
	memset(&routes[*count], 0, sizeof(routes[*count]));
	routes[*count].route = route;
	return &routes[(*count)++];
}

static size_t pool_evidence(struct rollout *rollout, int64_t now_ms,
			    struct cw_rollout_evidence *routes)
{
	size_t count = rollout->route_count;
	GHashTableIter iter;
	gpointer value;

	fade(rollout, now_ms);
	memcpy(routes, rollout->routes, sizeof(rollout->routes));
	g_hash_table_iter_init(&iter, rollout->peers);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct peer_evidence *peer = value;
		float factor = expf(-(float)(now_ms - peer->heard_ms) / DECAY_MS);

		for (size_t i = 0; i < peer->route_count; i++) {
			const struct cw_rollout_evidence *from = &peer->routes[i];
			struct cw_rollout_evidence *to = find_route(routes, &count, from->route);

			to->old_answers += factor * from->old_answers;
			to->old_bad += factor * from->old_bad;
			to->new_answers += factor * from->new_answers;
			to->new_bad += factor * from->new_bad;
		}
	}
	return count;
}

/*
 * Likelihood ratio of "fails far more often than the old version" to "fails about as often". The
 * old version's failures in the same seconds are the measure, so a fault that strikes both, such
 * as crashing servers, condemns neither.
 */
static int is_bad(const struct cw_rollout_evidence *evidence)
{
	double old_rate = (evidence->old_bad + 0.5) / (evidence->old_answers + 10);
	double usual = MIN(1.5 * old_rate + USUAL_BAD, 0.4);
	double bad = MIN(MAX(BAD_AT_LEAST, 3 * usual), 0.9);
	double good_answers = evidence->new_answers - evidence->new_bad;

	return evidence->new_bad >= TRIP_BAD &&
	       evidence->new_bad * log(bad / usual) + good_answers * log((1 - bad) / (1 - usual)) >
		       TRIP_LEVEL;
}

static int judge_bad(struct rollout *rollout, int64_t now_ms)
{
	struct cw_rollout_evidence routes[CW_ROLLOUT_ROUTES];
	struct cw_rollout_evidence all = {0};
	size_t count = pool_evidence(rollout, now_ms, routes);

	for (size_t i = 0; i < count; i++) {
		if (is_bad(&routes[i]))
			return 1;
		all.old_answers += routes[i].old_answers;
		all.old_bad += routes[i].old_bad;
		all.new_answers += routes[i].new_answers;
		all.new_bad += routes[i].new_bad;
	}
	return is_bad(&all);
}

static void *keep_int64(int64_t value)
{
	int64_t *kept = g_new(int64_t, 1);

	*kept = value;
	return kept;
}
