/*
 * Statistical test of the target against the old version. Answers of both versions are counted
 * by route and by server load, pooled over the instances, and compared by a likelihood ratio.
 */
#include "rollout_internal.h"

#include <math.h>
#include <string.h>

#define DECAY_MS	 8000 /* time constant of recent answers, so that a late regression shows */
#define PAST_DECAY_MS	 60000	/* time constant for usual failure rates and for rare failures */
#define PEER_RECENT_MS	 4000	/* gossip among 66 instances reaches every peer in this time */
#define BAD_MIN_FAILURES 2.5	/* decayed bad answers */
#define BAD_LEVEL	 5.0	/* log likelihood ratio: one false alarm per e^5 evaluations */
#define PASSED_LEVEL	 (-4.5) /* log likelihood ratio: 13 good answers of full servers */
#define EXPOSURE_LIMIT	 0.85	/* of the allowed exposure; the rest may not be announced yet */
#define RATE_INTERVAL_MS 500	/* between updates of the request rate */
#define RATE_GAIN	 0.3	/* weight of the newest interval: averages over 1.5 s */
#define PRIOR_ANSWERS	 10.0	/* assumed of the old version before the first answer */
#define PRIOR_BAD	 0.5	/* failures among these answers */
#define OLD_RATE_FACTOR	 1.5	/* margin for the error of the old version's estimated rate */
#define FAILURE_MARGIN	 0.03	/* failure rate accepted beyond the old version's */
#define FAILURE_RATE_MAX 0.97	/* a route that always fails is no evidence about a version */
#define BAD_EXCESS	 0.30	/* part of otherwise good answers that a bad version fails */

/* Requests sent by all instances. */
struct rollout_dispatches {
	double all;
	double to_new;
};

enum window {
	WINDOW_RECENT,
	WINDOW_LONG,
};

static struct rollout_dispatches sum_dispatches(const struct rollout *rollout);
static int is_slowness_counted(const struct rollout *rollout, int64_t now_ms);
static int is_repeated_wait(struct rollout *rollout, const struct cw_rollout_answer *answer,
			    int64_t now_ms);
static struct rollout_server *find_server(struct rollout *rollout,
					  const struct cw_rollout_answer *answer);
static struct cw_rollout_evidence *
find_own_kind(struct rollout *rollout, const struct cw_rollout_answer *answer, int64_t now_ms);
static size_t pool_evidence(struct rollout *rollout, int64_t now_ms,
			    struct cw_rollout_evidence *kinds);
static void add_evidence(struct cw_rollout_evidence *to, const struct cw_rollout_evidence *from,
			 float factor);
static void add_sum(struct rollout_sum *to, const struct rollout_sum *from);
static int is_bad(const struct rollout_sum *sum);
static double old_rate(const struct cw_rollout_evidence *kinds, size_t count, uint64_t route);
static int evaluate_kinds(const struct cw_rollout_evidence *kinds, size_t count, enum window window,
			  struct rollout_sum *all, struct rollout_sum *loaded);
static struct rollout_sum count_kind(const struct cw_rollout_evidence *kind, enum window window);

void cw_rollouts_record_answer(struct cw_rollouts *rollouts, const struct cw_rollout_answer *answer,
			       int64_t now_ms)
{
	struct rollout *rollout = rollout_find(rollouts, answer->service);
	struct cw_rollout_evidence *kind;
	int is_slow;
	int is_bad;

	if (!rollout || rollout_is_withdrawn(rollout, answer->software))
		return;
	is_slow = !answer->is_failure && answer->is_slow && is_slowness_counted(rollout, now_ms);
	is_bad = answer->is_failure || is_slow;
	rollout_compare_answer(rollout, answer);
	kind = find_own_kind(rollout, answer, now_ms);
	if (!is_bad)
		find_server(rollout, answer)->in_time_ms = now_ms;
	if (is_slow && is_repeated_wait(rollout, answer, now_ms))
		return;
	if (!strcmp(rollout->target, answer->software))
		rollout->has_loaded_answer |= answer->is_loaded;
	rollout_count_answer(rollout, kind, answer, is_bad);
}

void rollout_count_answer(const struct rollout *rollout, struct cw_rollout_evidence *kind,
			  const struct cw_rollout_answer *answer, int is_bad)
{
	if (!strcmp(rollout->target, answer->software)) {
		kind->new_answers += 1;
		kind->new_bad += (float)is_bad;
		kind->new_answers_long += 1;
		kind->new_bad_long += (float)is_bad;
	} else {
		kind->old_answers += 1;
		kind->old_bad += (float)is_bad;
		kind->old_answers_long += 1;
		kind->old_bad_long += (float)is_bad;
	}
}

void cw_rollouts_mark_answer_slow(struct cw_rollouts *rollouts,
				  const struct cw_rollout_answer *answer, int64_t now_ms)
{
	struct rollout *rollout = rollout_find(rollouts, answer->service);
	struct cw_rollout_evidence *kind;
	int is_target;

	if (!rollout || !is_slowness_counted(rollout, now_ms) ||
	    rollout_is_withdrawn(rollout, answer->software))
		return;
	kind = find_own_kind(rollout, answer, now_ms);
	is_target = !strcmp(rollout->target, answer->software);
	if (is_repeated_wait(rollout, answer, now_ms)) {
		/* Counted as good when it began, which it is not. */
		if (is_target)
			kind->new_answers = MAX(kind->new_answers - 1, kind->new_bad);
		else
			kind->old_answers = MAX(kind->old_answers - 1, kind->old_bad);
		return;
	}
	if (is_target)
		kind->new_bad = MIN(kind->new_bad + 1, kind->new_answers);
	else
		kind->old_bad = MIN(kind->old_bad + 1, kind->old_answers);
}

/*
 * Symptom this prevents: a good version was rolled back for eleven slow answers of 26 that had
 * waited for each other at one server. Slow answers of a server whose waits overlap are one
 * observation, of its queue, if the server has lately answered in time: a version that is slow
 * itself does not.
 */
static int is_repeated_wait(struct rollout *rollout, const struct cw_rollout_answer *answer,
			    int64_t now_ms)
{
	struct rollout_server *server = find_server(rollout, answer);

	if (server->counted_ms >= 0 && now_ms - answer->waited_ms <= server->counted_ms &&
	    server->in_time_ms >= 0 && now_ms - server->in_time_ms < DECAY_MS)
		return 1;
	server->counted_ms = now_ms;
	return 0;
}

static struct rollout_server *find_server(struct rollout *rollout,
					  const struct cw_rollout_answer *answer)
{
	int is_target = !strcmp(rollout->target, answer->software);
	struct rollout_server *server =
		&rollout->servers[is_target][answer->server % ROLLOUT_SERVERS];

	if (server->server != answer->server || !server->is_used)
		*server = (struct rollout_server){
			.server = answer->server, .is_used = 1, .in_time_ms = -1, .counted_ms = -1};
	return server;
}

void rollout_decay_evidence(struct rollout *rollout, int64_t now_ms)
{
	float elapsed_ms = (float)(now_ms - rollout->decayed_ms);
	float factor = expf(-elapsed_ms / DECAY_MS);
	float past_factor = expf(-elapsed_ms / PAST_DECAY_MS);

	for (size_t i = 0; i < rollout->kind_count; i++) {
		rollout->kinds[i].old_answers *= factor;
		rollout->kinds[i].old_bad *= factor;
		rollout->kinds[i].old_answers_long *= past_factor;
		rollout->kinds[i].old_bad_long *= past_factor;
		rollout->kinds[i].new_answers *= factor;
		rollout->kinds[i].new_bad *= factor;
		rollout->kinds[i].new_answers_long *= past_factor;
		rollout->kinds[i].new_bad_long *= past_factor;
	}
	rollout->decayed_ms = now_ms;
}

void rollout_merge_evidence(struct rollout *rollout, uint64_t instance,
			    const struct cw_rollout_announcement *update, int64_t now_ms)
{
	struct rollout_peer *peer = g_hash_table_lookup(rollout->peers, &instance);

	if (!peer) {
		peer = g_new0(struct rollout_peer, 1);
		peer->instance = instance;
		g_hash_table_insert(rollout->peers, &peer->instance, peer);
	} else {
		rollout_compare_peer(rollout, peer, update);
	}
	peer->last_seen_ms = now_ms;
	peer->sent = update->sent;
	peer->sent_target = update->sent_target;
	peer->counted_ms = update->counted_ms;
	peer->route_count = MIN(update->route_count, CW_ROLLOUT_MAX_ROUTES);
	memcpy(peer->routes, update->routes, sizeof(peer->routes));
	peer->kind_count = MIN(update->kind_count, CW_ROLLOUT_MAX_KINDS);
	memcpy(peer->kinds, update->kinds, sizeof(peer->kinds));
}

void rollout_count_dispatch(struct rollout *rollout, int is_new)
{
	rollout->sent++;
	rollout->sent_target += (uint64_t)is_new;
}

/*
 * The allowed exposure depends on the requests of the whole roll-out, which are extrapolated
 * from those of all instances so far at the mean rate or at the recent rate, whichever is lower.
 * With the mean rate alone, a burst of twice the usual load predicted 1,300 requests where 1,017
 * were sent, and a bad version received 189 requests where 183 are allowed.
 */
int rollout_is_exposure_spent(const struct cw_rollouts *rollouts, const struct rollout *rollout,
			      int64_t now_ms)
{
	double elapsed_ms = (double)MAX(now_ms - rollout->started_ms, 1);
	double left_ms = MAX((double)rollout->duration_ms - elapsed_ms, 0);
	struct rollout_dispatches sent = sum_dispatches(rollout);
	double rate = MIN(sent.all / elapsed_ms, rollout->sent_per_ms);
	double expected = sent.all + rate * left_ms;

	return sent.to_new >= EXPOSURE_LIMIT * (rollouts->options.exposed_share * expected +
						rollouts->options.exposed_slack);
}

void rollout_update_rate(struct rollout *rollout, int64_t now_ms)
{
	double elapsed_ms = (double)(now_ms - rollout->rate_updated_ms);
	double sent = sum_dispatches(rollout).all;
	double rate;

	if (elapsed_ms < RATE_INTERVAL_MS)
		return;
	/* A restarted instance counts from zero, so the sum may decrease. */
	rate = MAX(sent - rollout->rate_sent, 0) / elapsed_ms;
	if (rollout->sent_per_ms <= 0)
		rollout->sent_per_ms = rate;
	rollout->sent_per_ms += RATE_GAIN * (rate - rollout->sent_per_ms);
	rollout->rate_sent = sent;
	rollout->rate_updated_ms = now_ms;
}

static struct rollout_dispatches sum_dispatches(const struct rollout *rollout)
{
	struct rollout_dispatches sent = {(double)rollout->sent, (double)rollout->sent_target};
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, rollout->peers);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct rollout_peer *peer = value;

		sent.all += (double)peer->sent;
		sent.to_new += (double)peer->sent_target;
	}
	return sent;
}

int rollout_has_recent_peers(const struct rollout *rollout, int64_t now_ms)
{
	guint recent = 0;
	GHashTableIter iter;
	gpointer peer;

	g_hash_table_iter_init(&iter, rollout->peers);
	while (g_hash_table_iter_next(&iter, NULL, &peer))
		if (now_ms - ((struct rollout_peer *)peer)->last_seen_ms <= PEER_RECENT_MS)
			recent++;
	return 2 * recent >= g_hash_table_size(rollout->peers);
}

/*
 * Evaluates two windows. The recent one detects a version that turns bad late. The long one
 * detects failures on a route with one answer per second: 10 of 17 answers of such a route
 * failed, and the recent window never contained more than four of these failures.
 */
int rollout_is_target_bad(struct rollout *rollout, int64_t now_ms)
{
	struct cw_rollout_evidence kinds[CW_ROLLOUT_MAX_KINDS];
	size_t count = pool_evidence(rollout, now_ms, kinds);
	struct rollout_sum all;
	struct rollout_sum loaded;
	int is_bad = evaluate_kinds(kinds, count, WINDOW_RECENT, &rollout->all, &rollout->loaded);

	is_bad |= evaluate_kinds(kinds, count, WINDOW_LONG, &all, &loaded);
	is_bad |= rollout_comparison_is_bad(rollout, now_ms);
	rollout->gaps = rollout_sum_gaps(kinds, count);
	rollout->has_passed_trial |=
		loaded.llr < PASSED_LEVEL && rollout->loaded.llr < 0 && rollout->gaps.llr <= 0;
	return is_bad;
}

/*
 * Tests each kind of answer, the answers of loaded servers, and all answers. Log likelihood
 * ratios are summed over the kinds, each relative to the old version's failure rate on the same
 * route, because routes differ and one of them may always fail.
 */
static int evaluate_kinds(const struct cw_rollout_evidence *kinds, size_t count, enum window window,
			  struct rollout_sum *all, struct rollout_sum *loaded)
{
	int is_any_bad = 0;

	memset(all, 0, sizeof(*all));
	memset(loaded, 0, sizeof(*loaded));
	for (size_t i = 0; i < count; i++) {
		double usual = old_rate(kinds, count, kinds[i].route);
		struct rollout_sum kind = count_kind(&kinds[i], window);

		if (rollout_is_gap_evidence(&kinds[i]))
			continue;
		kind.llr = rollout_log_likelihood_ratio(kind.answers, kind.bad, usual);
		is_any_bad |= is_bad(&kind);
		add_sum(all, &kind);
		if (kinds[i].is_loaded)
			add_sum(loaded, &kind);
	}
	return is_any_bad || is_bad(loaded) || is_bad(all);
}

static struct rollout_sum count_kind(const struct cw_rollout_evidence *kind, enum window window)
{
	if (window == WINDOW_RECENT)
		return (struct rollout_sum){.answers = kind->new_answers, .bad = kind->new_bad};
	return (struct rollout_sum){.answers = kind->new_answers_long, .bad = kind->new_bad_long};
}

/*
 * Slow answers count in the first half only. Once most sessions move, slow answers are caused by
 * prompts missing from the new servers' caches and by servers that are down: good versions were
 * rolled back for 13 slow answers of 145, and for 84 of 458 while half of the servers were down.
 * A version that is itself slow shows in the first half.
 */
static int is_slowness_counted(const struct rollout *rollout, int64_t now_ms)
{
	return rollout_elapsed_fraction(rollout, now_ms) < ROLLOUT_FIRST_END;
}

static struct cw_rollout_evidence *
find_own_kind(struct rollout *rollout, const struct cw_rollout_answer *answer, int64_t now_ms)
{
	rollout_decay_evidence(rollout, now_ms);
	return rollout_find_kind(rollout->kinds, &rollout->kind_count, answer->route,
				 answer->is_loaded);
}

/* When the table is full, all further kinds share the last entry. */
struct cw_rollout_evidence *rollout_find_kind(struct cw_rollout_evidence *kinds, size_t *count,
					      uint64_t route, int is_loaded)
{
	for (size_t i = 0; i < *count; i++)
		if (kinds[i].route == route && kinds[i].is_loaded == is_loaded)
			return &kinds[i];
	if (*count == CW_ROLLOUT_MAX_KINDS)
		return &kinds[*count - 1];
	memset(&kinds[*count], 0, sizeof(kinds[*count]));
	kinds[*count].route = route;
	kinds[*count].is_loaded = is_loaded;
	return &kinds[(*count)++];
}

static size_t pool_evidence(struct rollout *rollout, int64_t now_ms,
			    struct cw_rollout_evidence *kinds)
{
	size_t count = rollout->kind_count;
	GHashTableIter iter;
	gpointer value;

	rollout_decay_evidence(rollout, now_ms);
	memcpy(kinds, rollout->kinds, sizeof(rollout->kinds));
	g_hash_table_iter_init(&iter, rollout->peers);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct rollout_peer *peer = value;
		float factor = expf(-(float)(now_ms - peer->last_seen_ms) / DECAY_MS);

		for (size_t i = 0; i < peer->kind_count; i++) {
			const struct cw_rollout_evidence *from = &peer->kinds[i];

			add_evidence(rollout_find_kind(kinds, &count, from->route, from->is_loaded),
				     from, factor);
		}
	}
	return count;
}

static void add_evidence(struct cw_rollout_evidence *to, const struct cw_rollout_evidence *from,
			 float factor)
{
	to->old_answers += factor * from->old_answers;
	to->old_bad += factor * from->old_bad;
	to->old_answers_long += factor * from->old_answers_long;
	to->old_bad_long += factor * from->old_bad_long;
	to->new_answers += factor * from->new_answers;
	to->new_bad += factor * from->new_bad;
	to->new_answers_long += factor * from->new_answers_long;
	to->new_bad_long += factor * from->new_bad_long;
}

static void add_sum(struct rollout_sum *to, const struct rollout_sum *from)
{
	to->answers += from->answers;
	to->bad += from->bad;
	to->llr += from->llr;
}

static int is_bad(const struct rollout_sum *sum)
{
	return sum->bad >= BAD_MIN_FAILURES && sum->llr > BAD_LEVEL;
}

/*
 * Failure rate of the old version on a route, as the higher one of two windows. The recent
 * window makes a fault that affects both versions, such as crashing servers, count against
 * neither. The window of a minute covers the end of a roll-out, when the old version answers few
 * requests. Answers from loaded and unloaded servers are pooled, because servers of the old
 * version are seldom loaded.
 */
static double old_rate(const struct cw_rollout_evidence *kinds, size_t count, uint64_t route)
{
	struct cw_rollout_evidence sum = {0};

	for (size_t i = 0; i < count; i++)
		if (kinds[i].route == route)
			add_evidence(&sum, &kinds[i], 1);
	return MAX((sum.old_bad + PRIOR_BAD) / (sum.old_answers + PRIOR_ANSWERS),
		   (sum.old_bad_long + PRIOR_BAD) / (sum.old_answers_long + PRIOR_ANSWERS));
}

/*
 * Log likelihood ratio of the hypothesis that the target fails 30 % of the answers that the old
 * version would give, to the hypothesis that both fail about equally often.
 */
double rollout_log_likelihood_ratio(double answers, double bad_answers, double old_rate)
{
	double usual = MIN(OLD_RATE_FACTOR * old_rate + FAILURE_MARGIN, FAILURE_RATE_MAX);
	double bad = usual + (1 - usual) * BAD_EXCESS;

	return bad_answers * log(bad / usual) +
	       (answers - bad_answers) * log((1 - bad) / (1 - usual));
}
