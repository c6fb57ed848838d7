/* A stand-in for a backend server that ends with all its connections and is back after a while. */
#ifndef ENDING_H
#define ENDING_H

#include <stddef.h>
#include <stdint.h>

struct ending {
	char **arguments; /* it is started with again */
	int port;	  /* that it had; 0: as the arguments say */
	int down_ms;	  /* until it is back */
	const char *text; /* of bodies that end it, NULL: none does */
	int after_ms;	  /* that such a request runs */
};

void ending_stay_down(void); /* first in main(): sleeps if the process just ended itself */
int ending_port(int port);   /* that it had before it ended, or the one given */
void ending_now(const struct ending *ending) __attribute__((noreturn));
void ending_run(const struct ending *ending, const char *body,
		size_t size); /* a request begins to run: it may be one that ends the server */

#endif
