/* A stand-in for a backend server that ends with all its connections and is back after a while. */
#ifndef ENDING_H
#define ENDING_H

#include <stdint.h>

void ending_stay_down(void); /* first in main(): sleeps if the process just ended itself */
void ending_now(char **argv, int down_ms, int port)
	__attribute__((noreturn)); /* 0: as the arguments say */
int ending_port(int port);	   /* that it had before it ended, or the one given */

#endif
