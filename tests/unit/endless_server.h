/* A server that sends bytes without end, of one connection; a thread. */
#ifndef ENDLESS_SERVER_H
#define ENDLESS_SERVER_H

#include "cw_config.h"

#include <pthread.h>
#include <stddef.h>

#define ENDLESS_BYTES_MAX (64 * 1024 * 1024) /* that a client reads of it at most */

struct endless_server {
	const char *first;  /* sent once, */
	const char *repeat; /* then this without end */
	size_t piece;	    /* bytes of a write, each 20 ms; 0: as many as fit */
	char address[CW_ADDRESS_MAX];
	size_t written;
	int listener;
	pthread_t thread;
};

void endless_server_start(struct endless_server *server); /* first, repeat, piece are set */
void endless_server_stop(struct endless_server *server);  /* waits until its client has left */

#endif
