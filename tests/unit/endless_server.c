#include "endless_server.h"
#include "flow_bed.h"
#include "unit.h"

#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define PAUSE_US 20000

static void *serve(void *context);
static void fill(const struct endless_server *server, char *bytes, size_t size);

void endless_server_start(struct endless_server *server)
{
	server->written = 0;
	server->listener = flow_bed_listen(server->address, sizeof(server->address));
	pthread_create(&server->thread, NULL, serve, server);
}

void endless_server_stop(struct endless_server *server)
{
	pthread_join(server->thread, NULL);
	close(server->listener);
}

/* Ends far beyond what a client may read, so that a test fails rather than hangs. */
static void *serve(void *context)
{
	struct endless_server *server = context;
	char bytes[65536];
	size_t size = server->piece ? server->piece : sizeof(bytes);
	int fd = accept(server->listener, NULL, NULL);
	ssize_t written = 1;

	flow_bed_read_request(fd);
	while (written > 0 && server->written < 4 * (size_t)ENDLESS_BYTES_MAX) {
		fill(server, bytes, size);
		written = send(fd, bytes, size, MSG_NOSIGNAL);
		server->written += written > 0 ? (size_t)written : 0;
		if (server->piece)
			usleep(PAUSE_US);
	}
	close(fd);
	return NULL;
}

/* The bytes that follow what was written. */
static void fill(const struct endless_server *server, char *bytes, size_t size)
{
	size_t first = strlen(server->first);
	size_t repeat = strlen(server->repeat);
	size_t at = server->written;

	for (size_t i = 0; i < size; i++, at++)
		bytes[i] = at < first ? server->first[at] : server->repeat[(at - first) % repeat];
}
