/*
 * Detects faulty model versions. Evidence is counted per version and instance, pooled over
 * instances by gossip, and tested sequentially: a CUSUM test each on failures, ratings and
 * slowness, against the baseline of the version itself, else of its siblings, else against a
 * cautious prior. A tripped version gets no new requests; after a back-off it returns by probes and
 * in steps.
 */
#ifndef CW_HEALTH_H
#define CW_HEALTH_H

#include "cw_status.h"

#include <stddef.h>
#include <stdint.h>

struct cw_health_evidence {
	uint64_t version; /* cw_pool_version_hash of (model, version) */
	uint32_t good;	  /* complete answers */
	uint32_t bad;	  /* errors and incomplete answers */
	uint32_t slow;	  /* complete answers whose first token was later than usual for siblings */
	uint32_t rated;
	double rating_sum;
	double rating_squares;
};

enum cw_health_state {
	CW_HEALTH_HEALTHY,
	CW_HEALTH_TRIPPED,
	CW_HEALTH_PROBING,
};

/* Which evidence is tested, and how. */
struct cw_health_policy {
	const char *name;
	int pooled;
	int (*is_bad)(const void *version); /* internal: struct health_version */
};

extern const struct cw_health_policy cw_health_pooled_cusum;
extern const struct cw_health_policy
	cw_health_own_threshold; /* baseline: per instance, 5 of the last 10 bad */
const struct cw_health_policy *cw_health_policy_find(const char *name); /* NULL: unknown */

struct cw_health;

struct cw_health *cw_health_create(const struct cw_health_policy *policy);
void cw_health_destroy(struct cw_health *health);
void cw_health_set_model(struct cw_health *health, uint64_t version,
			 uint64_t model); /* versions of one model are siblings */
int cw_health_add_answer(struct cw_health *health, uint64_t version, int good, double first_ms,
			 unsigned int prompt_tokens,
			 int64_t now_ms); /* 1: the answer tripped the version */
int cw_health_add_rating(struct cw_health *health, uint64_t version, double score,
			 int64_t now_ms); /* 1: the rating tripped the version */
int cw_health_merge_evidence(
	struct cw_health *health, uint64_t instance, uint64_t boot,
	const struct cw_health_evidence *evidence,
	int64_t now_ms); /* totals of another instance; 1: they tripped the version */
int cw_health_trip(struct cw_health *health, uint64_t version,
		   int64_t now_ms); /* reported by a peer or the shared store; 1: newly tripped */
void cw_health_clear(struct cw_health *health, uint64_t version); /* on an operator's edit */
enum cw_health_state cw_health_state(struct cw_health *health, uint64_t version, int64_t now_ms);
double cw_health_weight_factor(struct cw_health *health, uint64_t version,
			       int64_t now_ms); /* of the version's weight, 0 to 1 */
int cw_health_is_model_degraded(
	struct cw_health *health, uint64_t model,
	int64_t now_ms); /* 1: a version is tripped, probing or restored recently */
size_t cw_health_own_evidence(struct cw_health *health, struct cw_health_evidence *evidence,
			      uint32_t *tripped,
			      size_t max); /* this instance's totals, for gossip */

#endif
