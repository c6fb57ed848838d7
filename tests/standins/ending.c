#include "ending.h"

#include <linux/close_range.h>
#include <pthread.h>
#include <stdatomic.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

#define DOWN "STANDIN_DOWN_MS"
#define PORT "STANDIN_PORT"

static void *end_later(void *context);
static void tell(const char *what);

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

void ending_now(const struct ending *ending)
{
	char text[16];

	tell("ended");
	snprintf(text, sizeof(text), "%d", ending->down_ms);
	setenv(DOWN, text, 1);
	if (ending->port) {
		snprintf(text, sizeof(text), "%d", ending->port);
		setenv(PORT, text, 1);
	}
	/* Closed by execv: other threads may still use them. */
	close_range(STDERR_FILENO + 1, ~0U, CLOSE_RANGE_CLOEXEC);
	execv("/proc/self/exe", ending->arguments);
	abort();
}

/* Nothing can stop it any more, not even that its caller leaves. */
void ending_run(const struct ending *ending, const char *body, size_t size)
{
	static atomic_flag is_due = ATOMIC_FLAG_INIT;
	pthread_t thread;

	if (!ending->text || !body || !memmem(body, size, ending->text, strlen(ending->text)))
		return;
	tell("fatal");
	if (atomic_flag_test_and_set(&is_due))
		return;
	if (pthread_create(&thread, NULL, end_later, (void *)ending) != 0)
		abort();
	pthread_detach(thread);
}

static void *end_later(void *context)
{
	const struct ending *ending = context;

	usleep((useconds_t)ending->after_ms * 1000);
	ending_now(ending);
}

/* One line, so that a run can tell when: monotonic ms. */
static void tell(const char *what)
{
	struct timespec now;

	clock_gettime(CLOCK_MONOTONIC, &now);
	printf("%s %ld\n", what, (long)(now.tv_sec * 1000 + now.tv_nsec / 1000000));
	fflush(stdout);
}
