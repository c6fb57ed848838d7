/* What the files of the model share: its instances and its clock. */
#ifndef FLEET_INTERNAL_H
#define FLEET_INTERNAL_H

#include "fleet.h"
#include "cw_follow.h"
#include "cw_membership.h"
#include "cw_uplink.h"

#include <glib.h>

enum kind { ROUND, CHECK, ASK, CALLED, MESSAGE, FETCHED };
enum topic { OPERATOR, SERVERS, TOPICS };

struct event {
	enum kind kind;
	size_t node;
	uint64_t boot; /* of the node that it is for */
	enum topic topic;
	int is_good;
	uint64_t value;
	GBytes *bytes;
};

/* How one instance comes to one topic's state. */
struct reading {
	uint64_t version; /* 0: none */
	int is_jitter_done;
	int is_asking;
	unsigned int failures;
	size_t pages_left; /* of a list that is being read */
	int is_fetching;
	int64_t tried_ms;
	int64_t declined_ms;
};

struct node {
	char name[CW_NAME_MAX];
	char domain[CW_NAME_MAX];
	char address[CW_ADDRESS_MAX];
	struct cw_membership *membership;
	struct cw_follow follow;
	struct cw_uplink uplink;
	struct reading topics[TOPICS];
	int64_t started_ms;
	uint64_t boot;
	int is_up;
	int is_seed;
	int introductions;
	int answers;
	unsigned int rounds;
	int64_t ready_ms;  /* -1: not yet */
	int64_t change_ms; /* when it had the change, -1: not yet */
};

struct world {
	const struct fleet_options *options;
	struct fleet_report *report;
	struct node *nodes;
	GHashTable *by_address;
	GPtrArray **agenda; /* events of each millisecond */
	GRand *random;
	int64_t now_ms;
	double store_free_ms; /* its reads are done by then */
	uint64_t version;     /* of the configuration */
	double messages;
	double bytes;
};

int64_t fleet_steady_ms(const struct world *world); /* costs of a calm time are counted since */
void fleet_report_on(struct world *world);

#endif
