/* Simulated instances, events and clock, shared by the files of the simulation. */
#ifndef FLEET_INTERNAL_H
#define FLEET_INTERNAL_H

#include "fleet.h"
#include "cw_follow.h"
#include "cw_membership.h"
#include "cw_uplink.h"

#include <glib.h>

enum event_kind {
	EVENT_GOSSIP_ROUND,
	EVENT_FOLLOW_CHECK, /* periodic check whether to poll the shared store for changes */
	EVENT_READ_DUE,	    /* a first read of the topic is due, unless peers send it */
	EVENT_STORE_ANSWER, /* end of a call to the shared store */
	EVENT_MESSAGE,	    /* a peer's gossip message arrives */
	EVENT_FETCH_ANSWER, /* end of a fetch from a peer */
};

enum topic { TOPIC_CONFIG, TOPIC_SERVERS, TOPIC_COUNT };

struct event {
	enum event_kind kind;
	size_t instance_index;
	uint64_t boot; /* of the receiving instance; the event is dropped after another start */
	enum topic topic;
	int is_success;
	uint64_t version; /* of the topic's state in an answer */
	GBytes *message;
};

/* Progress of one instance in obtaining the state of one topic. */
struct topic_state {
	uint64_t version; /* 0: none yet */
	int is_jitter_done;
	int is_call_pending;   /* to the shared store */
	unsigned int failures; /* consecutive, of calls to the shared store */
	size_t pages_left;     /* of the server list, while it is read */
	int is_fetching;       /* from a peer */
	int64_t last_fetch_ms;
	int64_t last_declined_ms; /* when a peer last declined a fetch; 0: never */
};

struct instance {
	char name[CW_NAME_MAX];
	char failure_domain[CW_NAME_MAX];
	char address[CW_ADDRESS_MAX];
	struct cw_membership *membership;
	struct cw_follow follow;
	struct cw_uplink uplink;
	struct topic_state topics[TOPIC_COUNT];
	int64_t started_ms;
	uint64_t boot;
	int is_up;
	int is_seed;
	int introductions_left; /* messages to newly seen peers, until the next gossip round */
	int answers_left;	/* messages to peers without state, until the next gossip round */
	unsigned int rounds;
	int64_t ready_ms;  /* -1: not yet */
	int64_t change_ms; /* when the changed configuration arrived; -1: not yet */
};

struct fleet {
	const struct fleet_options *options;
	struct fleet_report *report;
	struct instance *instances;
	GHashTable *instances_by_address;
	GPtrArray **schedule; /* events, by millisecond */
	GRand *random;
	int64_t now_ms;
	double store_idle_at_ms; /* when the shared store has sent the answers to all calls */
	uint64_t config_version;
	double messages_sent; /* in the steady state */
	double bytes_sent;    /* in the steady state */
};

int64_t fleet_steady_from_ms(const struct fleet *fleet); /* start-up is over: rates are measured */
void fleet_fill_report(struct fleet *fleet);

#endif
