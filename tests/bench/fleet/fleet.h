/*
 * Simulation of many instances that start, read one shared store and pass its state on to each
 * other, in one process and in virtual time. The decisions are made by the product's own modules
 * (membership, gossip, follow, readers, uplink); network, shared store and clock are simulated.
 */
#ifndef FLEET_H
#define FLEET_H

#include <stddef.h>
#include <stdint.h>

enum fleet_scenario {
	FLEET_FIRST_START,  /* first start of all instances; the server list is empty */
	FLEET_RESTART,	    /* all instances restart at one moment; the server list is full */
	FLEET_READER_CRASH, /* as FLEET_RESTART; the readers crash just before the change */
};

struct fleet_options {
	size_t instance_count;
	size_t server_count;
	size_t failure_domain_count;
	enum fleet_scenario scenario;
	uint32_t seed;
	double link_mbps;	   /* of each instance's network link */
	double store_mb_per_s;	   /* bandwidth of the shared store, shared by all reads */
	double config_store_bytes; /* configuration as the shared store sends it */
	double config_peer_bytes;  /* configuration as peers send it, compressed */
	double entry_store_bytes;  /* entry of the server list as the shared store sends it */
	double entry_peer_bytes;   /* entry of the server list as peers send it, compressed */
	int64_t duration_ms;	   /* of the simulation */
	int64_t change_ms;	   /* when a new configuration is written to the shared store */
	int64_t lost_per_mille;	   /* of the messages between instances */
};

/* The times are those by which 50, 99 and 100 % of the running instances are done; -1: never. */
struct fleet_report {
	int64_t ready_ms[3];  /* until an instance has configuration and server list */
	int64_t change_ms[3]; /* from the change until an instance has it */
	size_t store_calls;
	double store_mb;
	size_t store_calls_failed;
	size_t max_readers;	 /* most readers at one moment, in the steady state */
	size_t min_members;	 /* fewest instances, itself included, known to one at the end */
	double messages_per_s;	 /* gossip messages per instance, in the steady state */
	double bytes_per_s;	 /* of these messages, per instance */
	double fetches;		 /* of state from peers, per instance */
	double fetches_declined; /* by a peer whose link is busy, per instance */
};

void fleet_set_defaults(struct fleet_options *options);
void fleet_simulate(const struct fleet_options *options, struct fleet_report *report);

#endif
