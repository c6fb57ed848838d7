/*
 * Is the target worse than the version before it? Answers of both are counted by route and by how
 * full their server was, pooled over the instances, and weighed against each other.
 */
#include "rollout_internal.h"

#include <math.h>
#include <string.h>

#define DECAY_MS      8000   /* answers count 1/e after it: a version that turns bad late shows */
#define PAST_MS	      60000  /* the same of what is usual, and of what is rare */
#define HEARD_MS      4000   /* a round of messages among 66 instances reaches all within it */
#define TRIP_BAD      2.5    /* decayed bad answers at least */
#define TRIP_LEVEL    5.0    /* log likelihood ratio: one false alarm in e^5 looks */
#define PROVED_LEVEL  (-4.5) /* of the same: 13 answers from full servers, none of them bad */
#define SPENT_PART    0.85   /* of what a bad version may get: a round of messages is under way */
#define RATE_STEP_MS  500    /* between two looks at how many requests come */
#define RATE_GAIN     0.3    /* of the newest look: the last 1.5 s */
#define PRIOR_ANSWERS 10.0   /* of the old version, before any is seen, */
#define PRIOR_BAD     0.5    /* and failures among them */
#define OLD_MARGIN    1.5    /* on the old version's rate: it is an estimate too */
#define USUAL_BAD     0.03   /* failures that any version may have, beyond the other's */
#define USUAL_MOST    0.97   /* a route that always fails tells nothing of a version */
#define BAD_MORE      0.30   /* failures among what else succeeds, of a version to take back */

/* Requests of all instances. */
struct rollout_sent {
	double all;
	double to_new;
};

enum window {
	RECENTLY,
	SINCE_THE_ORDER,
};

static struct rollout_sent all_sent(const struct rollout *rollout);
static int tells_slowness(const struct rollout *rollout, int64_t now_ms);
static struct cw_rollout_evidence *kind_of(struct rollout *rollout,
					   const struct cw_rollout_answer *answer, int64_t now_ms);
static struct cw_rollout_evidence *find_kind(struct cw_rollout_evidence *kinds, size_t *count,
					     uint64_t route, int is_loaded);
static size_t pool_evidence(struct rollout *rollout, int64_t now_ms,
			    struct cw_rollout_evidence *kinds);
static void add_evidence(struct cw_rollout_evidence *to, const struct cw_rollout_evidence *from,
			 float factor);
static void add_sum(struct rollout_sum *to, const struct rollout_sum *from);
static int is_bad(const struct rollout_sum *sum);
static double old_rate(const struct cw_rollout_evidence *kinds, size_t count, uint64_t route);
static int weigh(const struct cw_rollout_evidence *kinds, size_t count, enum window window,
		 struct rollout_sum *all, struct rollout_sum *loaded);
static struct rollout_sum count_kind(const struct cw_rollout_evidence *kind, enum window window);

void cw_rollouts_answered(struct cw_rollouts *rollouts, const struct cw_rollout_answer *answer,
			  int64_t now_ms)
{
	struct rollout *rollout = rollout_find(rollouts, answer->service);
	struct cw_rollout_evidence *kind;
	int is_bad;

	if (!rollout)
		return;
	is_bad = answer->is_failure || (answer->is_slow && tells_slowness(rollout, now_ms));
	rollout_match_answer(rollout, answer);
	kind = kind_of(rollout, answer, now_ms);
	if (!strcmp(rollout->target, answer->software)) {
		kind->new_answers += 1;
		kind->new_bad += (float)is_bad;
		kind->new_past_answers += 1;
		kind->new_past_bad += (float)is_bad;
		rollout->is_full |= answer->is_loaded;
	} else {
		kind->old_answers += 1;
		kind->old_bad += (float)is_bad;
		kind->old_past_answers += 1;
		kind->old_past_bad += (float)is_bad;
	}
}

void cw_rollouts_spoiled(struct cw_rollouts *rollouts, const struct cw_rollout_answer *answer,
			 int64_t now_ms)
{
	struct rollout *rollout = rollout_find(rollouts, answer->service);
	struct cw_rollout_evidence *kind;

	if (!rollout || !tells_slowness(rollout, now_ms))
		return;
	kind = kind_of(rollout, answer, now_ms);
	if (!strcmp(rollout->target, answer->software))
		kind->new_bad = MIN(kind->new_bad + 1, kind->new_answers);
	else
		kind->old_bad = MIN(kind->old_bad + 1, kind->old_answers);
}

void rollout_fade(struct rollout *rollout, int64_t now_ms)
{
	float elapsed_ms = (float)(now_ms - rollout->counted_ms);
	float factor = expf(-elapsed_ms / DECAY_MS);
	float past_factor = expf(-elapsed_ms / PAST_MS);

	for (size_t i = 0; i < rollout->kind_count; i++) {
		rollout->kinds[i].old_answers *= factor;
		rollout->kinds[i].old_bad *= factor;
		rollout->kinds[i].old_past_answers *= past_factor;
		rollout->kinds[i].old_past_bad *= past_factor;
		rollout->kinds[i].new_answers *= factor;
		rollout->kinds[i].new_bad *= factor;
		rollout->kinds[i].new_past_answers *= past_factor;
		rollout->kinds[i].new_past_bad *= past_factor;
	}
	rollout->counted_ms = now_ms;
}

void rollout_hear_evidence(struct rollout *rollout, uint64_t instance,
			   const struct cw_rollout_news *news, int64_t now_ms)
{
	struct rollout_peer *peer = g_hash_table_lookup(rollout->peers, &instance);

	if (!peer) {
		peer = g_new0(struct rollout_peer, 1);
		peer->instance = instance;
		g_hash_table_insert(rollout->peers, &peer->instance, peer);
	} else {
		rollout_match_peer(rollout, peer, news);
	}
	peer->heard_ms = now_ms;
	peer->sent = news->sent;
	peer->sent_new = news->sent_new;
	peer->counted_ms = news->counted_ms;
	peer->route_count = MIN(news->route_count, CW_ROLLOUT_ROUTES);
	memcpy(peer->routes, news->routes, sizeof(peer->routes));
	peer->kind_count = MIN(news->kind_count, CW_ROLLOUT_KINDS);
	memcpy(peer->kinds, news->kinds, sizeof(peer->kinds));
}

void rollout_count(struct rollout *rollout, int is_new)
{
	rollout->sent++;
	rollout->sent_new += (uint64_t)is_new;
}

/*
 * The requests of all instances so far, carried on to the end of the time ordered: at the mean rate
 * or at that of the last seconds, whichever is lower. After a burst of twice the usual the mean
 * promised 1,300 requests in all and 1,017 came, so that a bad version got 189 where 183 may go.
 */
int rollout_is_spent(const struct cw_rollouts *rollouts, const struct rollout *rollout,
		     int64_t now_ms)
{
	double elapsed_ms = (double)MAX(now_ms - rollout->begun_ms, 1);
	double left_ms = MAX((double)rollout->duration_ms - elapsed_ms, 0);
	struct rollout_sent sent = all_sent(rollout);
	double rate = MIN(sent.all / elapsed_ms, rollout->sent_a_ms);
	double expected = sent.all + rate * left_ms;

	return sent.to_new >= SPENT_PART * (rollouts->options.exposed_share * expected +
					    rollouts->options.exposed_slack);
}

void rollout_follow_rate(struct rollout *rollout, int64_t now_ms)
{
	double elapsed_ms = (double)(now_ms - rollout->rated_ms);
	double sent = all_sent(rollout).all;
	double rate;

	if (elapsed_ms < RATE_STEP_MS)
		return;
	/* An instance that starts again counts anew: the sum may fall. */
	rate = MAX(sent - rollout->rated_sent, 0) / elapsed_ms;
	if (rollout->sent_a_ms <= 0)
		rollout->sent_a_ms = rate;
	rollout->sent_a_ms += RATE_GAIN * (rate - rollout->sent_a_ms);
	rollout->rated_sent = sent;
	rollout->rated_ms = now_ms;
}

static struct rollout_sent all_sent(const struct rollout *rollout)
{
	struct rollout_sent sent = {(double)rollout->sent, (double)rollout->sent_new};
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, rollout->peers);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct rollout_peer *peer = value;

		sent.all += (double)peer->sent;
		sent.to_new += (double)peer->sent_new;
	}
	return sent;
}

int rollout_hears_peers(const struct rollout *rollout, int64_t now_ms)
{
	guint heard = 0;
	GHashTableIter iter;
	gpointer peer;

	g_hash_table_iter_init(&iter, rollout->peers);
	while (g_hash_table_iter_next(&iter, NULL, &peer))
		if (now_ms - ((struct rollout_peer *)peer)->heard_ms <= HEARD_MS)
			heard++;
	return 2 * heard >= g_hash_table_size(rollout->peers);
}

/*
 * In the last seconds, where a version shows that turned bad late; and since the order, where one
 * shows that fails on a route with an answer a second: 10 of its 17 were failures, and the last
 * seconds never held more than four.
 */
int rollout_is_bad(struct rollout *rollout, int64_t now_ms)
{
	struct cw_rollout_evidence kinds[CW_ROLLOUT_KINDS];
	size_t count = pool_evidence(rollout, now_ms, kinds);
	struct rollout_sum all;
	struct rollout_sum loaded;
	int is_bad = weigh(kinds, count, RECENTLY, &rollout->all, &rollout->loaded);

	is_bad |= weigh(kinds, count, SINCE_THE_ORDER, &all, &loaded);
	is_bad |= rollout_match_is_bad(rollout, now_ms);
	rollout->is_proved |= loaded.doubt < PROVED_LEVEL && rollout->loaded.doubt < 0;
	return is_bad;
}

/*
 * By each kind of answer, by those from full servers, by all. Doubts add up over kinds, each
 * against the old version's failures on the same route: routes differ, and one may always fail.
 */
static int weigh(const struct cw_rollout_evidence *kinds, size_t count, enum window window,
		 struct rollout_sum *all, struct rollout_sum *loaded)
{
	int is_any_bad = 0;

	memset(all, 0, sizeof(*all));
	memset(loaded, 0, sizeof(*loaded));
	for (size_t i = 0; i < count; i++) {
		double usual = old_rate(kinds, count, kinds[i].route);
		struct rollout_sum kind = count_kind(&kinds[i], window);

		kind.doubt = rollout_doubt(kind.answers, kind.bad, usual);
		is_any_bad |= is_bad(&kind);
		add_sum(all, &kind);
		if (kinds[i].is_loaded)
			add_sum(loaded, &kind);
	}
	return is_any_bad || is_bad(loaded) || is_bad(all);
}

static struct rollout_sum count_kind(const struct cw_rollout_evidence *kind, enum window window)
{
	if (window == RECENTLY)
		return (struct rollout_sum){.answers = kind->new_answers, .bad = kind->new_bad};
	return (struct rollout_sum){.answers = kind->new_past_answers, .bad = kind->new_past_bad};
}

/*
 * Once most sessions move, slow answers tell of prompts that the new servers have to read anew, and
 * of servers that are gone: good versions were taken back for 13 slow answers of 145, and for 84 of
 * 458 while half of the servers were down. What is slow by itself shows in the first half.
 */
static int tells_slowness(const struct rollout *rollout, int64_t now_ms)
{
	return rollout_part(rollout, now_ms) < ROLLOUT_FIRST_UNTIL;
}

static struct cw_rollout_evidence *kind_of(struct rollout *rollout,
					   const struct cw_rollout_answer *answer, int64_t now_ms)
{
	rollout_fade(rollout, now_ms);
	return find_kind(rollout->kinds, &rollout->kind_count, answer->route, answer->is_loaded);
}

/* Kinds beyond the room share the last entry. */
static struct cw_rollout_evidence *find_kind(struct cw_rollout_evidence *kinds, size_t *count,
					     uint64_t route, int is_loaded)
{
	for (size_t i = 0; i < *count; i++)
		if (kinds[i].route == route && kinds[i].is_loaded == is_loaded)
			return &kinds[i];
	if (*count == CW_ROLLOUT_KINDS)
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

	rollout_fade(rollout, now_ms);
	memcpy(kinds, rollout->kinds, sizeof(rollout->kinds));
	g_hash_table_iter_init(&iter, rollout->peers);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct rollout_peer *peer = value;
		float factor = expf(-(float)(now_ms - peer->heard_ms) / DECAY_MS);

		for (size_t i = 0; i < peer->kind_count; i++) {
			const struct cw_rollout_evidence *from = &peer->kinds[i];

			add_evidence(find_kind(kinds, &count, from->route, from->is_loaded), from,
				     factor);
		}
	}
	return count;
}

static void add_evidence(struct cw_rollout_evidence *to, const struct cw_rollout_evidence *from,
			 float factor)
{
	to->old_answers += factor * from->old_answers;
	to->old_bad += factor * from->old_bad;
	to->old_past_answers += factor * from->old_past_answers;
	to->old_past_bad += factor * from->old_past_bad;
	to->new_answers += factor * from->new_answers;
	to->new_bad += factor * from->new_bad;
	to->new_past_answers += factor * from->new_past_answers;
	to->new_past_bad += factor * from->new_past_bad;
}

static void add_sum(struct rollout_sum *to, const struct rollout_sum *from)
{
	to->answers += from->answers;
	to->bad += from->bad;
	to->doubt += from->doubt;
}

static int is_bad(const struct rollout_sum *sum)
{
	return sum->bad >= TRIP_BAD && sum->doubt > TRIP_LEVEL;
}

/*
 * How often the old version fails on a route. In the same seconds, so that a fault that strikes
 * both, such as crashing servers, condemns neither; or over a minute, as it answers hardly anything
 * towards the end. On servers full or not: its own are seldom full.
 */
static double old_rate(const struct cw_rollout_evidence *kinds, size_t count, uint64_t route)
{
	struct cw_rollout_evidence sum = {0};

	for (size_t i = 0; i < count; i++)
		if (kinds[i].route == route)
			add_evidence(&sum, &kinds[i], 1);
	return MAX((sum.old_bad + PRIOR_BAD) / (sum.old_answers + PRIOR_ANSWERS),
		   (sum.old_past_bad + PRIOR_BAD) / (sum.old_past_answers + PRIOR_ANSWERS));
}

/*
 * Logarithm of the likelihood ratio of "fails in three of ten cases more than the old version" to
 * "fails about as often".
 */
double rollout_doubt(double answers, double bad_answers, double old_rate)
{
	double usual = MIN(OLD_MARGIN * old_rate + USUAL_BAD, USUAL_MOST);
	double bad = usual + (1 - usual) * BAD_MORE;

	return bad_answers * log(bad / usual) +
	       (answers - bad_answers) * log((1 - bad) / (1 - usual));
}
