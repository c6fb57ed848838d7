/* The driver of the experiments: a world of instances and servers, and the users' traffic. */
#ifndef EXPERIMENT_H
#define EXPERIMENT_H

#include "world.h"

#include <glib.h>

#define SEEDS	      5
#define NODES	      8
#define ORGANISATIONS 10
#define WARM_MS	      5000
#define COLUMNS_MAX   8
#define DOMAINS	      4
#define SERVERS	      12
#define SLOTS	      8
#define PREFIXES      40
#define RETRIES	      3

struct later { /* a caller that was told when to come back */
	int64_t at_ms;
	struct world_request *request;
	int tries;
};

struct driver {
	struct world *world;
	GRand *random;
	GSequence *later;
	GHashTable *tries; /* request -> tries so far */
	double next_ms;
	int64_t measure_from_ms;
	int stream;
	int callers_return;
	double node_skew; /* share of requests that go to the first instance; < 0 even */
	const char *target;
};

struct figures {
	double values[COLUMNS_MAX][SEEDS];
};

struct world *driver_world(uint64_t seed, const struct cw_node_config *node, struct driver *driver);
void driver_destroy(struct driver *driver);
void driver_run(struct driver *driver, double per_s, int64_t ms); /* Poisson arrivals */
void driver_publish(struct world *world, const char *const *model_rows, double target);
double capacity_per_s(void); /* of the pool with every slot busy, by the fake's formula */
double driver_percentile(GArray *values, double share); /* of sorted values; 0 when empty */
void driver_print(const char *label, const struct figures *figures, const char *const *columns,
		  size_t count);
gint driver_compare(gconstpointer a, gconstpointer b);

#endif
