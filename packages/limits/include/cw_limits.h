/*
 * An organisation's limits, divided among instances. A limit is a sum of shares: every instance
 * holds an equal base share and lends the unused part of it. A loan has a term: the lender reduces
 * its own share before it grants a loan, and raises it only after the term and a margin; the
 * borrower counts the term from before its request. So a network partition wastes at most the loans
 * in flight, and the limit is never exceeded.
 */
#ifndef CW_LIMITS_H
#define CW_LIMITS_H

#include "cw_status.h"

#include <stddef.h>
#include <stdint.h>

#define CW_LIMIT_PARTS	  1000000 /* a share of a limit is counted in millionths */
#define CW_LOAN_TERM_MS	  3000
#define CW_LOAN_MARGIN_MS 500

struct cw_limit {
	uint64_t row;	       /* cw_row.id */
	double requests_per_s; /* NAN: no limit */
	double tokens_per_s;
	double concurrent;
};

struct cw_limits;

struct cw_limits *cw_limits_create(void);
void cw_limits_destroy(struct cw_limits *limits);
void cw_limits_divide(struct cw_limits *limits, size_t instances,
		      size_t rank); /* base share 1 / instances; 0: no share yet */
int cw_limits_has_share(const struct cw_limits *limits); /* 0: the number of instances is unknown */
enum cw_status cw_limits_admit(struct cw_limits *limits, const struct cw_limit *limit,
			       double tokens, int64_t now_ms,
			       int64_t *retry_after_ms); /* CW_OK: the request runs; else CW_FULL */
void cw_limits_release(struct cw_limits *limits, uint64_t row, double expected_tokens,
		       double tokens); /* releases the slot, corrects the tokens */
uint32_t cw_limits_share(struct cw_limits *limits, uint64_t row, int64_t now_ms); /* in parts */
size_t cw_limits_loan_requests(struct cw_limits *limits, int64_t now_ms, uint64_t *rows,
			       uint32_t *parts,
			       size_t max); /* loans to request: rows that rejected lately, parts */
uint32_t cw_limits_lend(struct cw_limits *limits, const struct cw_limit *limit, uint64_t borrower,
			uint32_t wanted, int64_t now_ms); /* parts granted, 0 if none are free */
void cw_limits_add_loan(struct cw_limits *limits, uint64_t row, uint64_t lender, uint32_t parts,
			int64_t asked_ms);

/* Retries spend a budget that successes fill: a failing backend server gets no retry storm. */
struct cw_retry_budget {
	double tokens;
};

void cw_retry_budget_open(struct cw_retry_budget *budget); /* starts full */
void cw_retry_budget_success(struct cw_retry_budget *budget);
int cw_retry_budget_take(struct cw_retry_budget *budget); /* 0: the budget is spent */

#endif
