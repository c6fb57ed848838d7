/* The driver of the experiments: a world of instances and servers, and the callers' traffic. */
#ifndef EXPERIMENT_H
#define EXPERIMENT_H

#include "world.h"

#include <glib.h>

#define SEED_COUNT	     5 /* runs of each experiment */
#define NODE_COUNT	     8
#define ORGANISATION_COUNT   10
#define WARM_UP_MS	     5000 /* traffic before the measurement */
#define COLUMNS_MAX	     8
#define FAILURE_DOMAIN_COUNT 4
#define SERVER_COUNT	     12
#define SLOTS_PER_SERVER     8
#define PROMPT_PREFIX_COUNT  40
#define RETRIES_MAX	     3 /* by the caller of a rejected request */

/* A caller that retries a rejected request after the time named in the answer. */
struct pending_retry {
	int64_t at_ms;
	struct world_request *request;
	int retries; /* with this one */
};

struct driver {
	struct world *world;
	GRand *random;
	GSequence *pending_retries; /* by time */
	GHashTable *retry_counts;   /* request -> number of this retry; none: first try */
	double next_arrival_ms;
	int64_t measure_from_ms; /* earlier requests are not counted */
	int stream;		 /* 1: requests ask for streamed answers */
	int callers_retry;	 /* 1: after a rejection */
	double node_skew;	 /* share of requests that go to the first instance; < 0: even */
	const char *target;	 /* model of all requests, or "auto" */
};

struct results {
	double values[COLUMNS_MAX][SEED_COUNT];
};

struct world *driver_create_world(uint64_t seed, const struct cw_node_config *node,
				  struct driver *driver);
void driver_destroy(struct driver *driver);
void driver_run(struct driver *driver, double per_s, int64_t ms); /* Poisson arrivals */
void driver_publish_table(struct world *world, const char *const *model_rows, double target);
double driver_capacity_per_s(void);			/* throughput with all slots busy */
double driver_percentile(GArray *values, double share); /* of sorted values; 0 when empty */
void driver_print_row(const char *label, const struct results *results, const char *const *columns,
		      size_t count); /* median and range over the seeds */
gint driver_compare_doubles(gconstpointer a, gconstpointer b);

#endif
