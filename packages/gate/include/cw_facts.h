/* What the gate knows of a request, of a backend server's answer, and what it orders: plain data.
 */
#ifndef CW_FACTS_H
#define CW_FACTS_H

#include "cw_config.h"

#include <stddef.h>
#include <stdint.h>

#define CW_PROMPT_PARTS 8   /* shared parts of one prompt that placement looks at */
#define CW_KEY_MAX	128 /* bytes of a caller's key */
#define CW_NO_EVENT	(-1)
#define CW_ANY_MODEL	"*"

/* A part of a prompt, which an engine may hold in its cache. */
struct cw_prompt_part {
	uint64_t id;
	unsigned int tokens;
};

/* A request, as its caller sent it. */
struct cw_facts {
	char id[CW_ID_MAX]; /* of this one attempt of the caller's */
	char host[CW_NAME_MAX * 2];
	const char *path; /* of the message, with its query */
	char key[CW_KEY_MAX];
	int64_t allowed_ms;	 /* how long the caller will wait; -1: not said */
	int64_t last_event;	 /* the caller has these events of an earlier answer; CW_NO_EVENT */
	char model[CW_NAME_MAX]; /* CW_ANY_MODEL: the gate chooses */
	double read_tokens;
	double made_tokens; /* at most */
	double hint_tokens; /* the caller's guess of them, right in the middle; 0: none */
	size_t part_count;
	struct cw_prompt_part parts[CW_PROMPT_PARTS];
	char session[CW_ID_MAX]; /* empty: none */
	size_t sent_bytes;	 /* of the body */
	uint64_t body;		 /* its cw_hash */
	int is_head;		 /* the answer has no body */
};

/* The head of a backend server's answer. */
struct cw_answer_facts {
	unsigned int status;
	int is_sealed;	 /* bears the server's own signature */
	int is_not_run;	 /* the server says that it did not run the request, and never will */
	int is_stranger; /* another server has the address now */
	int is_encoded;	 /* not the server's own body */
	int is_events;
	int confidence; /* 0 to 100, the model's opinion of its answer; -1: not said */
	int has_cold;
	int64_t cold_ms; /* how much longer the server bears few requests */
	int has_load;
	unsigned int running, queued, slots;
};

/* What one attempt tells the backend server. */
struct cw_dispatch {
	char server[CW_NAME_MAX]; /* the one incarnation that may run it */
	char organisation[CW_NAME_MAX];
	char model[CW_NAME_MAX]; /* empty: as the caller sent it */
	int64_t allowed_ms;
	int64_t last_event;
	int urgency; /* 0 first to 9; -1: not said */
};

#endif
