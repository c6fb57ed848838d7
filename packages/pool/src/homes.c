#include "cw_homes.h"

#include <glib.h>
#include <math.h>

#define TRACKED		64     /* prefixes; one with a 64th of the requests stays among them */
#define DEMAND_DECAY_MS 8000.0 /* time constant; shorter than a prompt stays in a cache */
#define EVIDENCE_SIGMAS 1.5    /* own requests are few, and chance repeats some */
#define SHRINK_MARGIN	1.5    /* a home is given up when this times the demand needs fewer */
#define CHANGES_MAX	8      /* not yet fetched; later ones are dropped */

struct prefix {
	uint64_t key;	 /* 0: free */
	double requests; /* own ones, decayed */
	double busy_ms;	 /* server time of these, decayed */
	int64_t updated_ms;
	size_t homes;
};

struct cw_homes {
	struct prefix prefixes[TRACKED];
	struct cw_homes_change changes[CHANGES_MAX];
	size_t change_count;
	struct cw_homes_stats stats;
};

static struct prefix *find(struct cw_homes *homes, uint64_t key);
static struct prefix *replace_least(struct cw_homes *homes, uint64_t key, int64_t now_ms);
static void decay(struct prefix *prefix, int64_t now_ms);
static double demand_of(const struct prefix *prefix, const struct cw_homes_terms *terms);
static size_t needed(double demand, const struct cw_homes_terms *terms);
static void set_homes(struct cw_homes *homes, struct prefix *prefix, size_t count, double demand);

struct cw_homes *cw_homes_create(void)
{
	return g_new0(struct cw_homes, 1);
}

void cw_homes_destroy(struct cw_homes *homes)
{
	g_free(homes);
}

void cw_homes_add(struct cw_homes *homes, uint64_t key, double server_ms, int is_at_home,
		  int64_t now_ms)
{
	struct prefix *prefix;

	if (!key)
		return;
	if (is_at_home)
		homes->stats.at_home++;
	else
		homes->stats.elsewhere++;
	prefix = find(homes, key);
	if (!prefix)
		prefix = replace_least(homes, key, now_ms);
	decay(prefix, now_ms);
	prefix->requests++;
	prefix->busy_ms += MAX(server_ms, 0);
}

/*
 * Load pattern: one subject gets a fifth of all requests. Its only home fills, the rest goes
 * wherever there is room, and its prompt is processed anew there. With a home for each server_part
 * of a server's time that its requests take, each home has room left for other prefixes.
 */
size_t cw_homes_count(struct cw_homes *homes, uint64_t key, const struct cw_homes_terms *terms,
		      int64_t now_ms)
{
	struct prefix *prefix = key ? find(homes, key) : NULL;
	double demand;
	size_t least;

	if (!prefix)
		return 1;
	decay(prefix, now_ms);
	demand = demand_of(prefix, terms);
	least = needed(demand, terms);
	if (least > prefix->homes)
		set_homes(homes, prefix, least, demand);
	else if (needed(demand * SHRINK_MARGIN, terms) < prefix->homes)
		set_homes(homes, prefix, needed(demand * SHRINK_MARGIN, terms), demand);
	return prefix->homes;
}

int cw_homes_next_change(struct cw_homes *homes, struct cw_homes_change *change)
{
	if (homes->change_count == 0)
		return 0;
	*change = homes->changes[0];
	homes->change_count--;
	for (size_t i = 0; i < homes->change_count; i++)
		homes->changes[i] = homes->changes[i + 1];
	return 1;
}

void cw_homes_get_stats(const struct cw_homes *homes, struct cw_homes_stats *stats)
{
	*stats = homes->stats;
}

static struct prefix *find(struct cw_homes *homes, uint64_t key)
{
	for (size_t i = 0; i < TRACKED; i++)
		if (homes->prefixes[i].key == key)
			return &homes->prefixes[i];
	return NULL;
}

/* The prefix with the fewest requests makes room, so frequent ones stay. */
static struct prefix *replace_least(struct cw_homes *homes, uint64_t key, int64_t now_ms)
{
	struct prefix *least = &homes->prefixes[0];

	for (size_t i = 0; i < TRACKED; i++) {
		decay(&homes->prefixes[i], now_ms);
		if (homes->prefixes[i].requests < least->requests)
			least = &homes->prefixes[i];
	}
	if (least->key && least->homes > 1)
		set_homes(homes, least, 1, 0);
	*least = (struct prefix){.key = key, .updated_ms = now_ms, .homes = 1};
	return least;
}

static void decay(struct prefix *prefix, int64_t now_ms)
{
	double kept = exp(-(double)(now_ms - prefix->updated_ms) / DEMAND_DECAY_MS);

	prefix->requests *= kept;
	prefix->busy_ms *= kept;
	prefix->updated_ms = now_ms;
}

/*
 * Servers that the prefix keeps busy. With many instances each sees few of a prefix's requests, and
 * two within seconds may be chance: only what is beyond chance counts.
 */
static double demand_of(const struct prefix *prefix, const struct cw_homes_terms *terms)
{
	double sure = prefix->requests - EVIDENCE_SIGMAS * sqrt(prefix->requests);

	if (sure <= 0)
		return 0;
	return sure / prefix->requests * prefix->busy_ms * (double)terms->instances /
	       DEMAND_DECAY_MS;
}

static size_t needed(double demand, const struct cw_homes_terms *terms)
{
	double homes = ceil(demand / terms->server_part);

	return (size_t)CLAMP(homes, 1, CW_HOMES_MAX);
}

static void set_homes(struct cw_homes *homes, struct prefix *prefix, size_t count, double demand)
{
	if (prefix->homes == 1)
		homes->stats.prefixes++;
	if (count == 1)
		homes->stats.prefixes--;
	if (homes->change_count < CHANGES_MAX)
		homes->changes[homes->change_count++] = (struct cw_homes_change){
			.prefix = prefix->key,
			.before = prefix->homes,
			.homes = count,
			.demand = demand,
		};
	prefix->homes = count;
}
