#include "cw_limits.h"

#include <glib.h>
#include <math.h>
#include <string.h>
#include <sys/queue.h>

#define BURST_S		   1.0 /* a bucket holds this many seconds of its rate */
#define DEMAND_WINDOW_MS   1000
#define WANTED_MS	   2000 /* a refusal asks for loans this long */
#define KEEP_FACTOR	   1.05 /* a lender keeps its own usual demand and a little more */
#define DEMAND_SMOOTHING   0.3
#define RETRY_FILL	   0.1 /* of a retry per success */
#define RETRY_MAX	   20.0
#define RETRY_AFTER_MAX_MS 5000

struct loan {
	LIST_ENTRY(loan) link;
	uint64_t peer;
	uint32_t parts;
	int64_t until_ms;
};

LIST_HEAD(loan_list, loan);

struct row_share {
	uint64_t row;
	double requests; /* tokens in the bucket of requests */
	double tokens;
	int64_t filled_ms;
	unsigned int running;
	struct loan_list lent;
	struct loan_list borrowed;
	int64_t refused_ms; /* -1 never */
	int64_t window_ms;  /* start of the window in which demand is counted */
	double window_use;  /* parts' worth of use in the window: the largest of the three limits */
	double demand;	    /* smoothed over windows, in parts */
};

struct cw_limits {
	size_t instances;
	size_t rank;
	GHashTable *rows;
};

static struct row_share *share_of(struct cw_limits *limits, uint64_t row);
static void share_destroy(gpointer share);
static uint32_t loans_out(struct loan_list *loans, int64_t now_ms);
static uint32_t loans_in(struct loan_list *loans, int64_t now_ms);
static void drop_expired(struct loan_list *loans, int64_t now_ms);
static int is_largest(struct loan_list *loans, const struct loan *loan);
static void drop_covered(struct loan_list *loans, uint64_t peer, uint32_t parts);
static double fraction(struct cw_limits *limits, struct row_share *share, int64_t now_ms);
static void refill(struct row_share *share, const struct cw_limit *limit, double part,
		   int64_t now_ms);
static unsigned int slots(const struct cw_limits *limits, struct row_share *share,
			  double concurrent, int64_t now_ms);
static double base_slots(const struct cw_limits *limits, double concurrent);
static void count_demand(struct row_share *share, const struct cw_limit *limit, double tokens,
			 int64_t now_ms);
static int64_t wait_for(double lacking, double rate);

struct cw_limits *cw_limits_create(void)
{
	struct cw_limits *limits = g_new0(struct cw_limits, 1);

	limits->rows = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, share_destroy);
	return limits;
}

void cw_limits_destroy(struct cw_limits *limits)
{
	if (!limits)
		return;
	g_hash_table_destroy(limits->rows);
	g_free(limits);
}

void cw_limits_divide(struct cw_limits *limits, size_t instances, size_t rank)
{
	limits->instances = instances;
	limits->rank = rank;
}

int cw_limits_has_share(const struct cw_limits *limits)
{
	return limits->instances > 0;
}

enum cw_status cw_limits_admit(struct cw_limits *limits, const struct cw_limit *limit,
			       double tokens, int64_t now_ms, int64_t *retry_after_ms)
{
	struct row_share *share = share_of(limits, limit->row);
	double part = fraction(limits, share, now_ms);
	int64_t wait_ms = 0;

	count_demand(share, limit, tokens, now_ms);
	refill(share, limit, part, now_ms);
	if (!isnan(limit->requests_per_s) && share->requests < 1)
		wait_ms = wait_for(1 - share->requests, limit->requests_per_s * part);
	/* Tokens are known only at the end: a bucket above zero admits, and the answer may overdraw
	 * it. */
	if (!isnan(limit->tokens_per_s) && share->tokens <= 0)
		wait_ms = MAX(wait_ms, wait_for(1 - share->tokens, limit->tokens_per_s * part));
	if (!isnan(limit->concurrent) &&
	    share->running >= slots(limits, share, limit->concurrent, now_ms))
		wait_ms = MAX(wait_ms, 250);
	if (wait_ms > 0) {
		share->refused_ms = now_ms;
		*retry_after_ms = wait_ms;
		return CW_FULL;
	}
	share->requests -= 1;
	share->tokens -= tokens;
	share->running++;
	return CW_OK;
}

void cw_limits_done(struct cw_limits *limits, uint64_t row, double expected_tokens, double tokens)
{
	struct row_share *share = share_of(limits, row);

	if (share->running > 0)
		share->running--;
	share->tokens += expected_tokens - tokens;
}

uint32_t cw_limits_share(struct cw_limits *limits, uint64_t row, int64_t now_ms)
{
	return (uint32_t)(fraction(limits, share_of(limits, row), now_ms) * CW_LIMIT_WHOLE);
}

size_t cw_limits_wanted(struct cw_limits *limits, int64_t now_ms, uint64_t *rows, uint32_t *parts,
			size_t max)
{
	GHashTableIter iter;
	gpointer value;
	size_t count = 0;

	g_hash_table_iter_init(&iter, limits->rows);
	while (count < max && g_hash_table_iter_next(&iter, NULL, &value)) {
		struct row_share *share = value;
		double lacks = share->demand * KEEP_FACTOR -
			       fraction(limits, share, now_ms) * CW_LIMIT_WHOLE;
		uint32_t held = loans_in(&share->borrowed, now_ms);

		if (share->refused_ms < 0 || now_ms - share->refused_ms > WANTED_MS)
			if (held == 0)
				continue;
		/* A loan still used is asked for again before its term ends. */
		rows[count] = share->row;
		parts[count] = (uint32_t)CLAMP(lacks + held, 0, CW_LIMIT_WHOLE);
		count += parts[count] > 0;
	}
	return count;
}

uint32_t cw_limits_lend(struct cw_limits *limits, const struct cw_limit *limit, uint64_t borrower,
			uint32_t wanted, int64_t now_ms)
{
	struct row_share *share = share_of(limits, limit->row);
	double base = limits->instances ? (double)CW_LIMIT_WHOLE / (double)limits->instances : 0;
	double idle = now_ms - share->window_ms > 2 * DEMAND_WINDOW_MS ? 0 : share->demand;
	double spare = base - idle * KEEP_FACTOR;
	uint32_t bound = 0;
	struct loan *loan;

	/* Slots are whole: no part of a slot may be lent that this instance does not hold. */
	if (limit->concurrent > 0)
		spare = MIN(spare, base_slots(limits, limit->concurrent) * CW_LIMIT_WHOLE /
					   limit->concurrent);
	loans_out(&share->lent, now_ms);
	/*
	 * A new grant takes the place of the borrower's last one, but the lender stays bound by the
	 * largest until its term ends: granting less than that would leave the rest to nobody.
	 */
	LIST_FOREACH(loan, &share->lent, link) {
		if (loan->peer == borrower)
			bound = MAX(bound, loan->parts);
		else
			spare -= loan->parts;
	}
	spare = MAX(spare, bound);
	/* What is borrowed must not be lent on: its term is another's. */
	if (spare <= 0 || wanted == 0)
		return 0;
	wanted = MIN(wanted, (uint32_t)spare);
	drop_covered(&share->lent, borrower, wanted);
	loan = g_new0(struct loan, 1);
	loan->peer = borrower;
	loan->parts = wanted;
	loan->until_ms = now_ms + CW_LOAN_TERM_MS + CW_LOAN_MARGIN_MS;
	LIST_INSERT_HEAD(&share->lent, loan, link);
	return wanted;
}

void cw_limits_borrowed(struct cw_limits *limits, uint64_t row, uint64_t lender, uint32_t parts,
			int64_t asked_ms)
{
	struct row_share *share = share_of(limits, row);
	struct loan *loan;

	LIST_FOREACH(loan, &share->borrowed, link) {
		if (loan->peer == lender)
			break;
	}
	if (!loan) {
		loan = g_new0(struct loan, 1);
		loan->peer = lender;
		LIST_INSERT_HEAD(&share->borrowed, loan, link);
	}
	/* Grants may overtake each other; the later ask is the one the lender holds longest. */
	if (asked_ms + CW_LOAN_TERM_MS < loan->until_ms)
		return;
	loan->parts = parts;
	loan->until_ms = asked_ms + CW_LOAN_TERM_MS;
}

void cw_retry_budget_open(struct cw_retry_budget *budget)
{
	budget->tokens = RETRY_MAX;
}

void cw_retry_budget_success(struct cw_retry_budget *budget)
{
	budget->tokens = MIN(budget->tokens + RETRY_FILL, RETRY_MAX);
}

int cw_retry_budget_take(struct cw_retry_budget *budget)
{
	if (budget->tokens < 1)
		return 0;
	budget->tokens -= 1;
	return 1;
}

static struct row_share *share_of(struct cw_limits *limits, uint64_t row)
{
	struct row_share *share = g_hash_table_lookup(limits->rows, &row);

	if (share)
		return share;
	share = g_new0(struct row_share, 1);
	share->row = row;
	share->filled_ms = -1;
	share->refused_ms = -1;
	LIST_INIT(&share->lent);
	LIST_INIT(&share->borrowed);
	g_hash_table_insert(limits->rows, &share->row, share);
	return share;
}

static void share_destroy(gpointer data)
{
	struct row_share *share = data;
	struct loan *loan;

	while ((loan = LIST_FIRST(&share->lent))) {
		LIST_REMOVE(loan, link);
		g_free(loan);
	}
	while ((loan = LIST_FIRST(&share->borrowed))) {
		LIST_REMOVE(loan, link);
		g_free(loan);
	}
	g_free(share);
}

/* Parts lent now: of one borrower only its largest loan, since each new grant replaces the last. */
static uint32_t loans_out(struct loan_list *loans, int64_t now_ms)
{
	const struct loan *loan;
	uint32_t parts = 0;

	drop_expired(loans, now_ms);
	LIST_FOREACH(loan, loans, link) {
		if (is_largest(loans, loan))
			parts += loan->parts;
	}
	return parts;
}

static uint32_t loans_in(struct loan_list *loans, int64_t now_ms)
{
	const struct loan *loan;
	uint32_t parts = 0;

	drop_expired(loans, now_ms);
	LIST_FOREACH(loan, loans, link)
		parts += loan->parts;
	return parts;
}

static void drop_expired(struct loan_list *loans, int64_t now_ms)
{
	struct loan *loan = LIST_FIRST(loans);

	while (loan) {
		struct loan *next = LIST_NEXT(loan, link);

		if (loan->until_ms <= now_ms) {
			LIST_REMOVE(loan, link);
			g_free(loan);
		}
		loan = next;
	}
}

/* Loans of one peer differ in their parts: cw_limits_lend drops what a new one covers. */
static int is_largest(struct loan_list *loans, const struct loan *loan)
{
	const struct loan *other;

	LIST_FOREACH(other, loans, link) {
		if (other->peer == loan->peer && other->parts > loan->parts)
			return 0;
	}
	return 1;
}

/* A new loan lasts longer: one to the same borrower that is no larger says nothing more. */
static void drop_covered(struct loan_list *loans, uint64_t peer, uint32_t parts)
{
	struct loan *loan = LIST_FIRST(loans);

	while (loan) {
		struct loan *next = LIST_NEXT(loan, link);

		if (loan->peer == peer && loan->parts <= parts) {
			LIST_REMOVE(loan, link);
			g_free(loan);
		}
		loan = next;
	}
}

static double fraction(struct cw_limits *limits, struct row_share *share, int64_t now_ms)
{
	double parts = limits->instances ? (double)CW_LIMIT_WHOLE / (double)limits->instances : 0;

	parts -= loans_out(&share->lent, now_ms);
	parts = MAX(parts, 0) + loans_in(&share->borrowed, now_ms);
	return parts / CW_LIMIT_WHOLE;
}

static void refill(struct row_share *share, const struct cw_limit *limit, double part,
		   int64_t now_ms)
{
	double requests = isnan(limit->requests_per_s) ? 0 : limit->requests_per_s * part;
	double tokens = isnan(limit->tokens_per_s) ? 0 : limit->tokens_per_s * part;
	double seconds =
		share->filled_ms < 0 ? BURST_S : (double)(now_ms - share->filled_ms) / 1000;

	/* Without a share the bucket is not empty but unknown: it is full once there is one. */
	if (part <= 0 && share->filled_ms < 0)
		return;

	share->filled_ms = now_ms;
	/* A bucket holds one whole request even where a share is less than one a second. */
	share->requests = MIN(share->requests + requests * seconds, MAX(requests * BURST_S, 1));
	share->tokens = MIN(share->tokens + tokens * seconds, tokens * BURST_S);
}

/* A lender gives up whole slots, a borrower gains only whole ones: the sum never exceeds the limit.
 */
static unsigned int slots(const struct cw_limits *limits, struct row_share *share,
			  double concurrent, int64_t now_ms)
{
	double lent = ceil(loans_out(&share->lent, now_ms) * concurrent / CW_LIMIT_WHOLE - 1e-6);
	double borrowed =
		floor(loans_in(&share->borrowed, now_ms) * concurrent / CW_LIMIT_WHOLE + 1e-6);

	return (unsigned int)MAX(base_slots(limits, concurrent) - lent + borrowed, 0);
}

/* Whole slots of a base share: rank by rank they add up to the limit. */
static double base_slots(const struct cw_limits *limits, double concurrent)
{
	double total = floor(concurrent);
	double instances = (double)limits->instances;

	if (limits->instances == 0)
		return 0;
	return floor(total * (double)(limits->rank + 1) / instances) -
	       floor(total * (double)limits->rank / instances);
}

static void count_demand(struct row_share *share, const struct cw_limit *limit, double tokens,
			 int64_t now_ms)
{
	double use = 0;

	if (now_ms - share->window_ms >= DEMAND_WINDOW_MS) {
		/* One second's peak is noise: held back for it, every share would stand idle in
		 * part. */
		if (now_ms - share->window_ms < 2 * DEMAND_WINDOW_MS)
			share->demand += DEMAND_SMOOTHING * (share->window_use - share->demand);
		else
			share->demand = 0;
		share->window_use = 0;
		share->window_ms = now_ms;
	}
	if (limit->requests_per_s > 0)
		use = CW_LIMIT_WHOLE / limit->requests_per_s;
	if (limit->tokens_per_s > 0)
		use = MAX(use, tokens * CW_LIMIT_WHOLE / limit->tokens_per_s);
	share->window_use += use;
	if (limit->concurrent > 0)
		share->window_use = MAX(share->window_use,
					(share->running + 1) * CW_LIMIT_WHOLE / limit->concurrent);
}

static int64_t wait_for(double lacking, double rate)
{
	if (rate <= 0)
		return RETRY_AFTER_MAX_MS;
	return (int64_t)CLAMP(ceil(lacking / rate * 1000), 1, RETRY_AFTER_MAX_MS);
}
