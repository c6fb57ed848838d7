#include "cw_limits.h"

#include <glib.h>
#include <math.h>
#include <string.h>
#include <sys/queue.h>

#define BURST_S		    1.0 /* seconds of its rate that a bucket holds */
#define DEMAND_WINDOW_MS    1000
#define LOAN_REQUEST_MS	    2000 /* time after a rejection during which loans are requested */
#define KEEP_FACTOR	    1.05 /* a lender keeps its own smoothed demand and 5 % */
#define DEMAND_SMOOTHING    0.3
#define RETRIES_PER_SUCCESS 0.1 /* retries gained per success */
#define RETRY_BUDGET_MAX    20.0
#define RETRY_AFTER_MAX_MS  5000

struct loan {
	LIST_ENTRY(loan) link;
	uint64_t peer;
	uint32_t parts;
	int64_t until_ms;
};

LIST_HEAD(loan_list, loan);

struct row_share {
	uint64_t row;
	double requests; /* tokens in the bucket for requests */
	double tokens;
	int64_t filled_ms;
	unsigned int running;
	struct loan_list lent;
	struct loan_list borrowed;
	int64_t rejected_ms; /* last rejection; -1: none */
	int64_t window_ms;   /* start of the window in which demand is counted */
	double window_use;   /* use in the window, in parts: the largest of the three limits' */
	double demand;	     /* smoothed over windows, in parts */
};

struct cw_limits {
	size_t instances;
	size_t rank;
	GHashTable *rows;
};

static struct row_share *share_of(struct cw_limits *limits, uint64_t row);
static void share_destroy(gpointer share);
static uint32_t lent_parts(struct loan_list *loans, int64_t now_ms);
static uint32_t borrowed_parts(struct loan_list *loans, int64_t now_ms);
static void drop_expired(struct loan_list *loans, int64_t now_ms);
static int is_largest(struct loan_list *loans, const struct loan *loan);
static void drop_covered(struct loan_list *loans, uint64_t peer, uint32_t parts);
static double share_fraction(struct cw_limits *limits, struct row_share *share, int64_t now_ms);
static void refill(struct row_share *share, const struct cw_limit *limit, double part,
		   int64_t now_ms);
static unsigned int slots(const struct cw_limits *limits, struct row_share *share,
			  double concurrent, int64_t now_ms);
static double base_slots(const struct cw_limits *limits, double concurrent);
static void count_demand(struct row_share *share, const struct cw_limit *limit, double tokens,
			 int64_t now_ms);
static int64_t refill_time_ms(double lacking, double rate);

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
	double part = share_fraction(limits, share, now_ms);
	int64_t wait_ms = 0;

	count_demand(share, limit, tokens, now_ms);
	refill(share, limit, part, now_ms);
	if (!isnan(limit->requests_per_s) && share->requests < 1)
		wait_ms = refill_time_ms(1 - share->requests, limit->requests_per_s * part);
	/* The token count is known only at the end: a bucket above zero admits a request, whose
	 * answer may overdraw the bucket. */
	if (!isnan(limit->tokens_per_s) && share->tokens <= 0)
		wait_ms =
			MAX(wait_ms, refill_time_ms(1 - share->tokens, limit->tokens_per_s * part));
	if (!isnan(limit->concurrent) &&
	    share->running >= slots(limits, share, limit->concurrent, now_ms))
		wait_ms = MAX(wait_ms, 250);
	if (wait_ms > 0) {
		share->rejected_ms = now_ms;
		*retry_after_ms = wait_ms;
		return CW_FULL;
	}
	share->requests -= 1;
	share->tokens -= tokens;
	share->running++;
	return CW_OK;
}

void cw_limits_release(struct cw_limits *limits, uint64_t row, double expected_tokens,
		       double tokens)
{
	struct row_share *share = share_of(limits, row);

	if (share->running > 0)
		share->running--;
	share->tokens += expected_tokens - tokens;
}

uint32_t cw_limits_share(struct cw_limits *limits, uint64_t row, int64_t now_ms)
{
	return (uint32_t)(share_fraction(limits, share_of(limits, row), now_ms) * CW_LIMIT_PARTS);
}

size_t cw_limits_loan_requests(struct cw_limits *limits, int64_t now_ms, uint64_t *rows,
			       uint32_t *parts, size_t max)
{
	GHashTableIter iter;
	gpointer value;
	size_t count = 0;

	g_hash_table_iter_init(&iter, limits->rows);
	while (count < max && g_hash_table_iter_next(&iter, NULL, &value)) {
		struct row_share *share = value;
		double missing = share->demand * KEEP_FACTOR -
				 share_fraction(limits, share, now_ms) * CW_LIMIT_PARTS;
		uint32_t borrowed = borrowed_parts(&share->borrowed, now_ms);

		if (share->rejected_ms < 0 || now_ms - share->rejected_ms > LOAN_REQUEST_MS)
			if (borrowed == 0)
				continue;
		/* A loan still in use is renewed before its term ends. */
		rows[count] = share->row;
		parts[count] = (uint32_t)CLAMP(missing + borrowed, 0, CW_LIMIT_PARTS);
		count += parts[count] > 0;
	}
	return count;
}

uint32_t cw_limits_lend(struct cw_limits *limits, const struct cw_limit *limit, uint64_t borrower,
			uint32_t wanted, int64_t now_ms)
{
	struct row_share *share = share_of(limits, limit->row);
	double base = limits->instances ? (double)CW_LIMIT_PARTS / (double)limits->instances : 0;
	double idle = now_ms - share->window_ms > 2 * DEMAND_WINDOW_MS ? 0 : share->demand;
	double spare = base - idle * KEEP_FACTOR;
	uint32_t committed = 0;
	struct loan *loan;

	/* Slots are whole: this instance may lend only those that are its own. */
	if (limit->concurrent > 0)
		spare = MIN(spare, base_slots(limits, limit->concurrent) * CW_LIMIT_PARTS /
					   limit->concurrent);
	lent_parts(&share->lent, now_ms);
	/*
	 * A new grant replaces the borrower's last one, but the lender stays bound by the
	 * largest until its term ends: the difference to a smaller grant would be unused by both.
	 */
	LIST_FOREACH(loan, &share->lent, link) {
		if (loan->peer == borrower)
			committed = MAX(committed, loan->parts);
		else
			spare -= loan->parts;
	}
	spare = MAX(spare, committed);
	/* Borrowed parts must not be lent on: another instance set their term. */
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

void cw_limits_add_loan(struct cw_limits *limits, uint64_t row, uint64_t lender, uint32_t parts,
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
	/* Grants may arrive out of order; the lender holds the latest request's grant longest. */
	if (asked_ms + CW_LOAN_TERM_MS < loan->until_ms)
		return;
	loan->parts = parts;
	loan->until_ms = asked_ms + CW_LOAN_TERM_MS;
}

void cw_retry_budget_open(struct cw_retry_budget *budget)
{
	budget->tokens = RETRY_BUDGET_MAX;
}

void cw_retry_budget_success(struct cw_retry_budget *budget)
{
	budget->tokens = MIN(budget->tokens + RETRIES_PER_SUCCESS, RETRY_BUDGET_MAX);
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
	share->rejected_ms = -1;
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

/* Parts lent now: only the largest loan per borrower, since each new grant replaces the last. */
static uint32_t lent_parts(struct loan_list *loans, int64_t now_ms)
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

static uint32_t borrowed_parts(struct loan_list *loans, int64_t now_ms)
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

/* Loans of one peer differ in parts: cw_limits_lend drops those that a new one covers. */
static int is_largest(struct loan_list *loans, const struct loan *loan)
{
	const struct loan *other;

	LIST_FOREACH(other, loans, link) {
		if (other->peer == loan->peer && other->parts > loan->parts)
			return 0;
	}
	return 1;
}

/* A new loan ends later, so the borrower's loans that are no larger are redundant. */
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

static double share_fraction(struct cw_limits *limits, struct row_share *share, int64_t now_ms)
{
	double parts = limits->instances ? (double)CW_LIMIT_PARTS / (double)limits->instances : 0;

	parts -= lent_parts(&share->lent, now_ms);
	parts = MAX(parts, 0) + borrowed_parts(&share->borrowed, now_ms);
	return parts / CW_LIMIT_PARTS;
}

static void refill(struct row_share *share, const struct cw_limit *limit, double part,
		   int64_t now_ms)
{
	double requests = isnan(limit->requests_per_s) ? 0 : limit->requests_per_s * part;
	double tokens = isnan(limit->tokens_per_s) ? 0 : limit->tokens_per_s * part;
	double seconds =
		share->filled_ms < 0 ? BURST_S : (double)(now_ms - share->filled_ms) / 1000;

	/* Without a share the bucket's size is unknown; the bucket is full once a share is set. */
	if (part <= 0 && share->filled_ms < 0)
		return;

	share->filled_ms = now_ms;
	/* A bucket holds one whole request even if the share is less than one per second. */
	share->requests = MIN(share->requests + requests * seconds, MAX(requests * BURST_S, 1));
	share->tokens = MIN(share->tokens + tokens * seconds, tokens * BURST_S);
}

/* Loans move whole slots only, so that the sum of all slots never exceeds the limit. */
static unsigned int slots(const struct cw_limits *limits, struct row_share *share,
			  double concurrent, int64_t now_ms)
{
	double lent = ceil(lent_parts(&share->lent, now_ms) * concurrent / CW_LIMIT_PARTS - 1e-6);
	double borrowed = floor(
		borrowed_parts(&share->borrowed, now_ms) * concurrent / CW_LIMIT_PARTS + 1e-6);

	return (unsigned int)MAX(base_slots(limits, concurrent) - lent + borrowed, 0);
}

/* Whole slots of a base share: over all ranks they add up to the limit. */
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
		/* Smoothed, since a one-second peak is noise: reserving for peaks would leave a
		 * part of every share unused. */
		if (now_ms - share->window_ms < 2 * DEMAND_WINDOW_MS)
			share->demand += DEMAND_SMOOTHING * (share->window_use - share->demand);
		else
			share->demand = 0;
		share->window_use = 0;
		share->window_ms = now_ms;
	}
	if (limit->requests_per_s > 0)
		use = CW_LIMIT_PARTS / limit->requests_per_s;
	if (limit->tokens_per_s > 0)
		use = MAX(use, tokens * CW_LIMIT_PARTS / limit->tokens_per_s);
	share->window_use += use;
	if (limit->concurrent > 0)
		share->window_use = MAX(share->window_use,
					(share->running + 1) * CW_LIMIT_PARTS / limit->concurrent);
}

static int64_t refill_time_ms(double lacking, double rate)
{
	if (rate <= 0)
		return RETRY_AFTER_MAX_MS;
	return (int64_t)CLAMP(ceil(lacking / rate * 1000), 1, RETRY_AFTER_MAX_MS);
}
