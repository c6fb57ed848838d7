/*
 * Crash simulation of the stand-ins for backend servers: the process breaks all its connections,
 * executes itself again and listens on the same port after a downtime.
 */
#ifndef ENDING_H
#define ENDING_H

#include <stddef.h>
#include <stdint.h>

struct crash {
	char **arguments; /* of the command line, for the restart */
	int port;	  /* to listen on after the restart; 0: as the arguments say */
	int down_ms;	  /* from the crash until the stand-in listens again */
	const char *text; /* a request whose body has it crashes the server; NULL: none */
	int after_ms;	  /* from the start of such a request to the crash */
};

void crash_wait_downtime(void);	   /* first in main(): sleeps through the downtime */
int crash_restored_port(int port); /* the port before the crash, else the one given */
void crash_now(const struct crash *crash) __attribute__((noreturn));
void crash_check_request(const struct crash *crash, const char *body,
			 size_t size); /* at the start of each request */

#endif
