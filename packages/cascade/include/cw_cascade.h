/*
 * Which version answers a request that names none ("auto"). Per (organisation, task), and per task
 * over all organisations while one has few ratings of its own, the expected
 * quality and cost of each version are learned from ratings; the plan is the cheapest one whose
 * lower confidence bound meets the target: a version directly, or a cheap one whose answer is
 * rated before it is shown and replaced by a costlier version's when it falls short.
 */
#ifndef CW_CASCADE_H
#define CW_CASCADE_H

#include "cw_status.h"

#include <stddef.h>
#include <stdint.h>

struct cw_option {
	uint64_t version;   /* cw_pool_version */
	double cost_per_1k; /* of the table; an empty cell counts as 0 */
};

struct cw_plan {
	size_t first; /* index of the option to ask first */
	size_t then;  /* index to escalate to; equal to first: none */
	int check;    /* rate the first answer before showing it */
	int explores; /* not the best known plan: learning */
	double expect_cost;
	double expect_quality;
};

struct cw_cascade_in {
	uint64_t task;	 /* hash of organisation and task */
	uint64_t common; /* hash of the task alone: stands in while the organisation has few ratings
			  */
	const struct cw_option *options;
	size_t count;
	double target; /* quality 0 to 1 */
	int may_check; /* 0: streamed to a person, nothing may be taken back */
	uint64_t random;
};

struct cw_cascade_policy {
	const char *name;
	void (*plan)(const void *cascade, const struct cw_cascade_in *in, struct cw_plan *plan);
};

extern const struct cw_cascade_policy cw_cascade_learned;
extern const struct cw_cascade_policy cw_cascade_costly; /* baseline: always the costliest */
extern const struct cw_cascade_policy cw_cascade_cheap;	 /* baseline: always the cheapest */
const struct cw_cascade_policy *cw_cascade_policy_find(const char *name); /* NULL: unknown */

struct cw_cascade;

struct cw_cascade *cw_cascade_create(const struct cw_cascade_policy *policy);
void cw_cascade_destroy(struct cw_cascade *cascade);
uint64_t cw_cascade_task(const char *organisation, const char *task);
void cw_cascade_plan(const struct cw_cascade *cascade, const struct cw_cascade_in *in,
		     struct cw_plan *plan);
void cw_cascade_rated(struct cw_cascade *cascade, uint64_t task, uint64_t common, uint64_t version,
		      double score);
void cw_cascade_cost(struct cw_cascade *cascade, uint64_t task, uint64_t common, uint64_t version,
		     double tokens);
int cw_cascade_falls_short(const struct cw_cascade_in *in, double score); /* 1: escalate */
double cw_cascade_sample_rate(const struct cw_cascade *cascade, uint64_t task,
			      uint64_t version); /* of answers worth rating afterwards */

#endif
