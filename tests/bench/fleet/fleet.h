/*
 * A model of many instances that start, read and pass on the state of one store, in one process and
 * in virtual time. The decisions are the product's own (membership, gossip, follow, readers,
 * uplink); the network, the store and the clock are the model's.
 */
#ifndef FLEET_H
#define FLEET_H

#include <stddef.h>
#include <stdint.h>

/* What happens to the instances. */
enum fleet_scenario {
	FLEET_START,   /* all start for the first time, the list is empty */
	FLEET_RESTART, /* all start at one moment, before a whole list */
	FLEET_READERS, /* as restart; the readers end later, as a change is made */
};

struct fleet_options {
	size_t instances;
	size_t servers;
	size_t domains;
	enum fleet_scenario scenario;
	uint32_t seed;
	double link_mbps;	/* of each instance */
	double store_mb_per_s;	/* that all reads of the store share */
	double config_bytes;	/* as the store sends it */
	double config_packed;	/* as peers send it */
	double entry_bytes;	/* of a server, as the store sends it */
	double entry_packed;	/* as peers send it */
	int64_t end_ms;		/* of the run */
	int64_t change_ms;	/* when a new configuration is written */
	int64_t lost_per_mille; /* of the messages between instances */
};

struct fleet_report {
	int64_t ready_ms[3];  /* until 50, 99 and 100 in 100 have configuration and list; -1: not */
	int64_t change_ms[3]; /* from the change until so many have it; -1: not */
	size_t store_calls;
	double store_mb;
	size_t calls_failed;
	size_t readers_most;  /* instances that read for all at one moment, once all are ready */
	size_t members_least; /* known to an instance at the end */
	double messages;      /* a second and instance, in the calm time after the start */
	double bytes;	      /* of messages, the same */
	double fetches;	      /* of state from peers, an instance */
	double declined;      /* of them */
};

void fleet_defaults(struct fleet_options *options);
void fleet_play(const struct fleet_options *options, struct fleet_report *report);

#endif
