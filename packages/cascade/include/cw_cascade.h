/*
 * Chooses the version for a request that names none ("auto"). The expected quality and cost of each
 * version are learned from ratings per (organisation, task); an organisation with few ratings uses
 * those of the task over all organisations. The plan is the cheapest whose lower confidence bound
 * meets the quality target: either one version directly, or a cheap version whose answer is rated
 * before it is shown and replaced by a costlier version's answer when the rating is too low.
 */
#ifndef CW_CASCADE_H
#define CW_CASCADE_H

#include "cw_status.h"

#include <stddef.h>
#include <stdint.h>

struct cw_cascade_option {
	uint64_t version;   /* cw_pool_version_hash */
	double cost_per_1k; /* from the version table; an empty cell counts as 0 */
};

struct cw_plan {
	size_t first;	    /* index of the option to ask first */
	size_t escalate_to; /* index to escalate to; equal to first: no escalation */
	int is_checked;	    /* 1: the first answer is rated before the caller gets it */
	int is_exploration; /* not the best known plan, but one that gathers ratings */
	double expected_cost;
	double expected_quality;
};

struct cw_cascade_request {
	uint64_t task;	 /* hash of organisation and task */
	uint64_t common; /* hash of the task alone, used while the organisation has few ratings */
	const struct cw_cascade_option *options;
	size_t count;
	double target; /* quality 0 to 1 */
	int can_check; /* 0: the answer is streamed as generated and cannot be replaced */
	uint64_t random;
};

struct cw_cascade_policy {
	const char *name;
	void (*plan)(const void *cascade, const struct cw_cascade_request *in,
		     struct cw_plan *plan);
};

extern const struct cw_cascade_policy cw_cascade_learned;
extern const struct cw_cascade_policy
	cw_cascade_always_costliest; /* baseline: the costliest version */
extern const struct cw_cascade_policy
	cw_cascade_always_cheapest; /* baseline: the cheapest version */
const struct cw_cascade_policy *cw_cascade_policy_find(const char *name); /* NULL: unknown */

struct cw_cascade;

struct cw_cascade *cw_cascade_create(const struct cw_cascade_policy *policy);
void cw_cascade_destroy(struct cw_cascade *cascade);
uint64_t cw_cascade_task_key(const char *organisation, const char *task);
void cw_cascade_plan(const struct cw_cascade *cascade, const struct cw_cascade_request *in,
		     struct cw_plan *plan);
void cw_cascade_add_rating(struct cw_cascade *cascade, uint64_t task, uint64_t common,
			   uint64_t version, double score);
void cw_cascade_add_cost(struct cw_cascade *cascade, uint64_t task, uint64_t common,
			 uint64_t version, double tokens);
int cw_cascade_should_escalate(const struct cw_cascade_request *in, double score); /* 1: escalate */
double cw_cascade_sample_rate(const struct cw_cascade *cascade, uint64_t task,
			      uint64_t version); /* share of answers to rate after delivery */

#endif
