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

static void *crash_later(void *context);
static void print_event(const char *what);

void crash_wait_downtime(void)
{
	const char *down = getenv(DOWN);
	long ms = down ? strtol(down, NULL, 10) : 0;

	usleep((useconds_t)ms * 1000);
	unsetenv(DOWN);
}

int crash_restored_port(int port)
{
	const char *before = getenv(PORT);

	return before ? (int)strtol(before, NULL, 10) : port;
}

void crash_now(const struct crash *crash)
{
	char text[16];

	print_event("ended");
	snprintf(text, sizeof(text), "%d", crash->down_ms);
	setenv(DOWN, text, 1);
	if (crash->port) {
		snprintf(text, sizeof(text), "%d", crash->port);
		setenv(PORT, text, 1);
	}
	/* Marked close-on-exec instead of closed: other threads may still use the descriptors. */
	close_range(STDERR_FILENO + 1, ~0U, CLOSE_RANGE_CLOEXEC);
	execv("/proc/self/exe", crash->arguments);
	abort();
}

/* Once such a request runs, the crash comes even if its caller disconnects. */
void crash_check_request(const struct crash *crash, const char *body, size_t size)
{
	static atomic_flag is_due = ATOMIC_FLAG_INIT;
	pthread_t thread;

	if (!crash->text || !body || !memmem(body, size, crash->text, strlen(crash->text)))
		return;
	print_event("fatal");
	if (atomic_flag_test_and_set(&is_due))
		return;
	if (pthread_create(&thread, NULL, crash_later, (void *)crash) != 0)
		abort();
	pthread_detach(thread);
}

static void *crash_later(void *context)
{
	const struct crash *crash = context;

	usleep((useconds_t)crash->after_ms * 1000);
	crash_now(crash);
}

/* Prints one line with the monotonic time in ms, which scripts read. */
static void print_event(const char *what)
{
	struct timespec now;

	clock_gettime(CLOCK_MONOTONIC, &now);
	printf("%s %ld\n", what, (long)(now.tv_sec * 1000 + now.tv_nsec / 1000000));
	fflush(stdout);
}
