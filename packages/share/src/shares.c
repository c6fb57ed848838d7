#include "cw_shares.h"

#include <glib.h>
#include <math.h>
#include <string.h>

#define DEMAND_DECAY_MS	  1000.0 /* to 1/e: a burst is to be seen within a second */
#define ORIGIN_MAX_AGE_MS 4000	 /* an older announcement says nothing of the load now */
#define SUM_INTERVAL_MS	  100	 /* between two sums over all announcements */
#define AMOUNT_MIN	  0.01	 /* an organisation that asks for less is dropped */
#define WEIGHT_MIN	  1e-3

/* What one organisation asks for. */
struct demand {
	uint64_t organisation;
	double weight;
	double amount;
};

struct origin {
	uint64_t id;
	int64_t received_ms;
	size_t count;
	struct cw_share_demand demands[CW_SHARES_ANNOUNCED];
};

struct cw_shares {
	struct demand own[CW_SHARES_ORGANISATIONS];
	size_t own_count;
	int64_t own_ms;				    /* time to which the own amounts are decayed */
	GHashTable *origins;			    /* id -> struct origin */
	struct demand all[CW_SHARES_ORGANISATIONS]; /* parts of the whole, least a weight first */
	size_t all_count;
	int64_t summed_ms; /* when `all` was last summed; -1: never */
};

static void decay_own(struct cw_shares *shares, int64_t now_ms);
static struct demand *find_or_add(struct demand *demands, size_t *count, uint64_t organisation);
static void drop_least(struct demand *demands, size_t *count);
static void update_sums(struct cw_shares *shares, int64_t now_ms);
static void add_origin(struct cw_shares *shares, const struct origin *origin, int64_t now_ms);
static void drop_oldest_origin(struct cw_shares *shares);
static double find_level(const struct cw_shares *shares, double room);
static gint by_amount(gconstpointer a, gconstpointer b);
static gint by_amount_a_weight(gconstpointer a, gconstpointer b);
static size_t export_demands(const struct demand *demands, size_t count,
			     struct cw_share_demand *out, size_t max);

struct cw_shares *cw_shares_create(void)
{
	struct cw_shares *shares = g_new0(struct cw_shares, 1);

	shares->origins = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
	shares->summed_ms = -1;
	return shares;
}

void cw_shares_destroy(struct cw_shares *shares)
{
	if (!shares)
		return;
	g_hash_table_destroy(shares->origins);
	g_free(shares);
}

void cw_shares_add(struct cw_shares *shares, uint64_t organisation, double weight, double amount,
		   int64_t now_ms)
{
	struct demand *demand;

	decay_own(shares, now_ms);
	demand = find_or_add(shares->own, &shares->own_count, organisation);
	demand->weight = MAX(weight, WEIGHT_MIN);
	demand->amount += MAX(amount, 0);
}

size_t cw_shares_announce(struct cw_shares *shares, struct cw_share_demand *demands, size_t max,
			  int64_t now_ms)
{
	decay_own(shares, now_ms);
	qsort(shares->own, shares->own_count, sizeof(shares->own[0]), by_amount);
	return export_demands(shares->own, shares->own_count, demands, max);
}

void cw_shares_merge(struct cw_shares *shares, uint64_t origin_id,
		     const struct cw_share_demand *demands, size_t count, int64_t now_ms)
{
	struct origin *origin = g_hash_table_lookup(shares->origins, &origin_id);

	if (!origin) {
		if (g_hash_table_size(shares->origins) >= CW_SHARES_ORIGINS)
			drop_oldest_origin(shares);
		origin = g_new0(struct origin, 1);
		origin->id = origin_id;
		g_hash_table_insert(shares->origins, &origin->id, origin);
	}
	origin->received_ms = MAX(origin->received_ms, now_ms);
	origin->count = MIN(count, CW_SHARES_ANNOUNCED);
	if (origin->count > 0)
		memcpy(origin->demands, demands, origin->count * sizeof(demands[0]));
}

/*
 * Max-min: below the level each organisation has all that it asks for, above it the level times
 * its weight.
 */
double cw_shares_granted(struct cw_shares *shares, uint64_t organisation, double room,
			 int64_t now_ms)
{
	double level;

	room = CLAMP(room, 0, 1);
	update_sums(shares, now_ms);
	level = find_level(shares, room);
	for (size_t i = 0; i < shares->all_count; i++) {
		const struct demand *demand = &shares->all[i];

		if (demand->organisation == organisation)
			return MIN(level * demand->weight / demand->amount, 1);
	}
	/* One that is not known yet asks for little, unless no demand is known at all. */
	return shares->all_count > 0 ? level > 0 : room;
}

size_t cw_shares_list(struct cw_shares *shares, struct cw_share_demand *demands, size_t max,
		      int64_t now_ms)
{
	struct demand all[CW_SHARES_ORGANISATIONS];

	update_sums(shares, now_ms);
	memcpy(all, shares->all, sizeof(all));
	qsort(all, shares->all_count, sizeof(all[0]), by_amount);
	return export_demands(all, shares->all_count, demands, max);
}

static void decay_own(struct cw_shares *shares, int64_t now_ms)
{
	double factor = exp(-(double)(now_ms - shares->own_ms) / DEMAND_DECAY_MS);
	size_t kept = 0;

	for (size_t i = 0; i < shares->own_count; i++) {
		shares->own[i].amount *= factor;
		if (shares->own[i].amount >= AMOUNT_MIN)
			shares->own[kept++] = shares->own[i];
	}
	shares->own_count = kept;
	shares->own_ms = now_ms;
}

/* A new organisation starts at 0, in place of the one that asks for least if there is no room. */
static struct demand *find_or_add(struct demand *demands, size_t *count, uint64_t organisation)
{
	for (size_t i = 0; i < *count; i++)
		if (demands[i].organisation == organisation)
			return &demands[i];
	if (*count == CW_SHARES_ORGANISATIONS)
		drop_least(demands, count);
	demands[*count] = (struct demand){.organisation = organisation, .weight = 1};
	return &demands[(*count)++];
}

static void drop_least(struct demand *demands, size_t *count)
{
	size_t least = 0;

	for (size_t i = 1; i < *count; i++)
		if (demands[i].amount < demands[least].amount)
			least = i;
	demands[least] = demands[--*count];
}

/*
 * Callers reach instances at random, so the known instances are a sample of all: the parts of
 * their sum are those of the whole. Older announcements count for less.
 */
static void update_sums(struct cw_shares *shares, int64_t now_ms)
{
	GHashTableIter iter;
	gpointer origin;
	double whole = 0;

	if (shares->summed_ms >= 0 && now_ms - shares->summed_ms < SUM_INTERVAL_MS)
		return;
	shares->summed_ms = now_ms;
	decay_own(shares, now_ms);
	memcpy(shares->all, shares->own, sizeof(shares->all));
	shares->all_count = shares->own_count;
	g_hash_table_iter_init(&iter, shares->origins);
	while (g_hash_table_iter_next(&iter, NULL, &origin))
		add_origin(shares, origin, now_ms);
	for (size_t i = 0; i < shares->all_count; i++)
		whole += shares->all[i].amount;
	for (size_t i = 0; i < shares->all_count; i++)
		shares->all[i].amount /= whole;
	qsort(shares->all, shares->all_count, sizeof(shares->all[0]), by_amount_a_weight);
}

static void add_origin(struct cw_shares *shares, const struct origin *origin, int64_t now_ms)
{
	int64_t age_ms = now_ms - origin->received_ms;
	double factor = exp(-(double)age_ms / DEMAND_DECAY_MS);

	if (age_ms > ORIGIN_MAX_AGE_MS)
		return;
	for (size_t i = 0; i < origin->count; i++) {
		const struct cw_share_demand *announced = &origin->demands[i];
		struct demand *demand =
			find_or_add(shares->all, &shares->all_count, announced->organisation);

		demand->weight = MAX(announced->weight, WEIGHT_MIN);
		demand->amount += announced->amount * factor;
	}
}

static void drop_oldest_origin(struct cw_shares *shares)
{
	const struct origin *oldest = NULL;
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, shares->origins);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct origin *origin = value;

		if (!oldest || origin->received_ms < oldest->received_ms)
			oldest = origin;
	}
	if (oldest)
		g_hash_table_remove(shares->origins, &oldest->id);
}

/* The amount a weight up to which demands are served whole; `all` is sorted by it. */
static double find_level(const struct cw_shares *shares, double room)
{
	double weight_left = 0;
	double room_left = room;

	for (size_t i = 0; i < shares->all_count; i++)
		weight_left += shares->all[i].weight;
	for (size_t i = 0; i < shares->all_count; i++) {
		const struct demand *demand = &shares->all[i];

		if (demand->amount / demand->weight * weight_left > room_left)
			return room_left / weight_left;
		room_left -= demand->amount;
		weight_left -= demand->weight;
	}
	return INFINITY;
}

static gint by_amount(gconstpointer a, gconstpointer b)
{
	const struct demand *left = a;
	const struct demand *right = b;

	return left->amount > right->amount ? -1 : left->amount < right->amount;
}

static gint by_amount_a_weight(gconstpointer a, gconstpointer b)
{
	const struct demand *left = a;
	const struct demand *right = b;
	double left_level = left->amount / left->weight;
	double right_level = right->amount / right->weight;

	return left_level < right_level ? -1 : left_level > right_level;
}

static size_t export_demands(const struct demand *demands, size_t count,
			     struct cw_share_demand *out, size_t max)
{
	size_t exported = MIN(count, max);

	for (size_t i = 0; i < exported; i++)
		out[i] = (struct cw_share_demand){
			.organisation = demands[i].organisation,
			.weight = (float)demands[i].weight,
			.amount = (float)demands[i].amount,
		};
	return exported;
}
