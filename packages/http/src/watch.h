/*
 * Limits on the connections of a server: how many there are, and how long each may take to send a
 * request. A connection that has a whole request is left alone.
 */
#ifndef WATCH_H
#define WATCH_H

#include <microhttpd.h>

struct watch;

enum watch_state {
	WATCH_WAITING, /* for the first line of a request */
	WATCH_HEAD,
	WATCH_BODY,
	WATCH_ANSWERING,
	WATCH_STATES,
};

struct watch_limits {
	unsigned int
		max_connections; /* above, the longest in the states before the answer closes */
	unsigned int longest_s[WATCH_STATES]; /* in a state; 0: as long as it takes */
};

struct watch *watch_create(const struct watch_limits *limits);
void watch_destroy(struct watch *watch); /* after its server has stopped */
void watch_on_connection(void *watch, struct MHD_Connection *connection, void **socket_context,
			 enum MHD_ConnectionNotificationCode code);
void watch_set_state(struct watch *watch, struct MHD_Connection *connection,
		     enum watch_state state);

#endif
