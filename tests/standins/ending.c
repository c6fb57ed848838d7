#include "ending.h"

#include <linux/close_range.h>
#include <stdio.h>
#include <stdlib.h>
#include <time.h>
#include <unistd.h>

#define DOWN "STANDIN_DOWN_MS"
#define PORT "STANDIN_PORT"

void ending_stay_down(void)
{
	const char *down = getenv(DOWN);
	long ms = down ? strtol(down, NULL, 10) : 0;

	usleep((useconds_t)ms * 1000);
	unsetenv(DOWN);
}

int ending_port(int port)
{
	const char *before = getenv(PORT);

	return before ? (int)strtol(before, NULL, 10) : port;
}

/* One line, so that a run can tell when: monotonic ms. */
void ending_now(char **argv, int down_ms, int port)
{
	struct timespec now;
	char text[16];

	clock_gettime(CLOCK_MONOTONIC, &now);
	printf("ended %ld\n", (long)(now.tv_sec * 1000 + now.tv_nsec / 1000000));
	fflush(stdout);
	snprintf(text, sizeof(text), "%d", down_ms);
	setenv(DOWN, text, 1);
	if (port) {
		snprintf(text, sizeof(text), "%d", port);
		setenv(PORT, text, 1);
	}
	/* Closed by execv: other threads may still use them. */
	close_range(STDERR_FILENO + 1, ~0U, CLOSE_RANGE_CLOEXEC);
	execv("/proc/self/exe", argv);
	abort();
}
