/* Messages between instances. A call carries one signed message; the reply only acknowledges it. */

const PEER_TEXT_MAX = 1048576;
const PEER_LIST_MAX = 1024;

enum peer_kind {
	PEER_HEARTBEAT = 1,
	PEER_RECORDS = 2,
	PEER_SNAPSHOT = 3,
	PEER_BILLS = 4,
	PEER_BILLS_HELD = 5,
	PEER_BILLS_SETTLED = 6,
	PEER_BIND = 7,
	PEER_ASK_BINDING = 8,
	PEER_BINDING = 9,
	PEER_GRANTS = 10
};

struct peer_record {
	unsigned hyper offset;
	hyper time_ms;              /* clock of the log */
	string data<PEER_TEXT_MAX>;
};

struct peer_evidence {
	unsigned hyper model_version; /* hash of model and version; counts since the sender's start */
	unsigned int good;
	unsigned int bad;
	unsigned int slow;
	unsigned int rated;
	unsigned int rating_sum;    /* sum of ratings, thousandths */
	unsigned int rating_squares; /* sum of squared ratings, thousandths */
	unsigned int tripped;
};

struct peer_load {
	unsigned hyper server;      /* hash of its name */
	unsigned int running;       /* dispatches of the sender in progress */
};

struct peer_rating {
	unsigned hyper task;        /* hash of organisation and task */
	unsigned hyper common;      /* hash of the task alone */
	unsigned hyper model_version;
	unsigned int score;         /* thousandths */
	unsigned int tokens;
};

struct peer_want {
	unsigned hyper row;
	unsigned int parts;         /* millionths of the limit */
};

struct peer_end {               /* suspected server crash while running a request, or its denial */
	unsigned hyper fingerprint; /* of the request */
	unsigned hyper server;      /* hash of its name */
	unsigned int alive;         /* denial: the server sent a byte after the suspected crash */
	unsigned int age_ms;
	unsigned int ran_ms;
	unsigned int running;       /* the server had begun to answer the request */
	unsigned int confirmed;
	unsigned int answered_ms;   /* since the last complete answer; 4294967295: none */
};

struct peer_held {              /* a request that is quarantined, or was released */
	unsigned hyper fingerprint;
	string organisation<64>;
	string target<64>;
	unsigned int ends;
	unsigned int age_ms;
	unsigned int released;
	unsigned int written;
};

struct peer_heartbeat {
	unsigned int leaving;
	unsigned hyper table_offset;
	unsigned hyper claims_offset;
	peer_evidence evidence<PEER_LIST_MAX>;
	peer_load loads<PEER_LIST_MAX>;
	hyper asked_ms;             /* clock of the requesting instance, echoed by grants */
	peer_want wants<PEER_LIST_MAX>;
	unsigned hyper first_rating; /* sequence number of the first rating below */
	peer_rating ratings<PEER_LIST_MAX>;
	peer_end ends<PEER_LIST_MAX>;
	peer_held held<PEER_LIST_MAX>;
};

struct peer_grants {
	hyper asked_ms;
	peer_want list<PEER_LIST_MAX>;
};

struct peer_bill {
	string id<512>;             /* organisation and request id */
	string text<65536>;         /* the bill as JSON */
};

struct peer_bills {
	unsigned hyper noted;       /* end of the bills stream known when the bills were created;
	                               settled: offset of their record, 0 unknown */
	peer_bill list<PEER_LIST_MAX>;
};

struct peer_binding {
	unsigned hyper key;
	unsigned hyper bound_at;    /* 0: no binding stored */
	unsigned hyper asker;       /* handle of the request at the asking instance */
	unsigned hyper row;         /* hash of organisation, model and version */
	string model<64>;
	string model_version<64>;
};

union peer_body switch (peer_kind kind) {
case PEER_HEARTBEAT:
	peer_heartbeat heartbeat;
case PEER_RECORDS:
	peer_record records<PEER_LIST_MAX>;
case PEER_SNAPSHOT:
	string snapshot<PEER_TEXT_MAX>;
case PEER_BILLS:
	peer_bills bills;
case PEER_BILLS_HELD:
	peer_bills held;
case PEER_BILLS_SETTLED:
	peer_bills settled;
case PEER_BIND:
	peer_binding bind;
case PEER_ASK_BINDING:
	peer_binding ask;
case PEER_BINDING:
	peer_binding binding;
case PEER_GRANTS:
	peer_grants grants;
};

struct peer_message {
	string from<64>;
	string failure_domain<64>;
	string address<64>;
	unsigned hyper boot;        /* differs at each start of the instance */
	unsigned hyper sequence;
	peer_body body;
};

struct peer_record_id {         /* of a record of the log */
	unsigned hyper offset;
	hyper time_ms;              /* clock of the log; 0: unknown */
	unsigned hyper checksum;
};

struct peer_trailer {           /* follows the message; earlier builds neither send nor read it */
	peer_record_id table;       /* last record of the sender's table */
};

struct peer_envelope {
	opaque mac[32];
	opaque message<PEER_TEXT_MAX>;
};

program PEER_PROGRAM {
	version PEER_VERSION {
		int PEER_DELIVER(peer_envelope) = 1;
	} = 1;
} = 0x20c0ffee;
