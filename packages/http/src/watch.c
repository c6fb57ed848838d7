#include "watch.h"
#include "cw_timeline.h"

#include <glib.h>
#include <pthread.h>
#include <sys/queue.h>
#include <sys/socket.h>

#define CHECK_INTERVAL_US 200000
#define US_PER_S	  1000000

/* The server's own thread sees a socket that is shut down as closed by its caller. */
struct watched {
	TAILQ_ENTRY(watched) link;
	int fd;
	enum watch_state state;
	int64_t since_us; /* in its state */
	int is_shut_down;
};

struct watch {
	pthread_mutex_t mutex;
	pthread_cond_t stop;
	pthread_t thread;
	struct watch_limits limits;
	int is_stopping;
	size_t count;
	size_t shut_down_count;		   /* of these; the server is about to close them */
	TAILQ_HEAD(, watched) connections; /* longest in its state first */
	uint64_t evicted;		   /* since the last log line */
	uint64_t expired;
};

static void add(struct watch *watch, int fd, void **socket_context);
static void forget(struct watch *watch, struct watched *watched);
static void make_room(struct watch *watch);
static void *run(void *watch);
static void expire(struct watch *watch, int64_t now_us);
static void shut_down(struct watch *watch, struct watched *watched);
static void log_sums(struct watch *watch);

struct watch *watch_create(const struct watch_limits *limits)
{
	struct watch *watch = g_new0(struct watch, 1);

	watch->limits = *limits;
	pthread_mutex_init(&watch->mutex, NULL);
	pthread_cond_init(&watch->stop, NULL);
	TAILQ_INIT(&watch->connections);
	pthread_create(&watch->thread, NULL, run, watch);
	return watch;
}

void watch_destroy(struct watch *watch)
{
	if (!watch)
		return;
	pthread_mutex_lock(&watch->mutex);
	watch->is_stopping = 1;
	pthread_cond_signal(&watch->stop);
	pthread_mutex_unlock(&watch->mutex);
	pthread_join(watch->thread, NULL);
	pthread_mutex_destroy(&watch->mutex);
	pthread_cond_destroy(&watch->stop);
	g_free(watch);
}

void watch_on_connection(void *context, struct MHD_Connection *connection, void **socket_context,
			 enum MHD_ConnectionNotificationCode code)
{
	struct watch *watch = context;
	const union MHD_ConnectionInfo *info =
		MHD_get_connection_info(connection, MHD_CONNECTION_INFO_CONNECTION_FD);

	pthread_mutex_lock(&watch->mutex);
	if (code == MHD_CONNECTION_NOTIFY_STARTED)
		add(watch, info->connect_fd, socket_context);
	else if (*socket_context)
		forget(watch, *socket_context);
	pthread_mutex_unlock(&watch->mutex);
}

void watch_set_state(struct watch *watch, struct MHD_Connection *connection, enum watch_state state)
{
	const union MHD_ConnectionInfo *info =
		MHD_get_connection_info(connection, MHD_CONNECTION_INFO_SOCKET_CONTEXT);
	struct watched *watched = info ? info->socket_context : NULL;

	if (!watched)
		return;
	pthread_mutex_lock(&watch->mutex);
	watched->state = state;
	watched->since_us = g_get_monotonic_time();
	TAILQ_REMOVE(&watch->connections, watched, link);
	TAILQ_INSERT_TAIL(&watch->connections, watched, link);
	pthread_mutex_unlock(&watch->mutex);
}

static void add(struct watch *watch, int fd, void **socket_context)
{
	struct watched *watched = g_new0(struct watched, 1);

	watched->fd = fd;
	watched->since_us = g_get_monotonic_time();
	*socket_context = watched;
	if (watch->limits.max_connections > 0 &&
	    watch->count - watch->shut_down_count >= watch->limits.max_connections)
		make_room(watch);
	TAILQ_INSERT_TAIL(&watch->connections, watched, link);
	watch->count++;
}

static void forget(struct watch *watch, struct watched *watched)
{
	TAILQ_REMOVE(&watch->connections, watched, link);
	watch->count--;
	watch->shut_down_count -= (size_t)watched->is_shut_down;
	g_free(watched);
}

static void make_room(struct watch *watch)
{
	struct watched *watched;

	TAILQ_FOREACH(watched, &watch->connections, link)
		if (watched->state != WATCH_ANSWERING && !watched->is_shut_down)
			break;
	if (!watched)
		return;
	watch->evicted++;
	shut_down(watch, watched);
}

static void *run(void *context)
{
	struct watch *watch = context;
	struct timespec until;
	int64_t until_us;

	pthread_mutex_lock(&watch->mutex);
	while (!watch->is_stopping) {
		expire(watch, g_get_monotonic_time());
		log_sums(watch);
		until_us = g_get_real_time() + CHECK_INTERVAL_US;
		until.tv_sec = until_us / US_PER_S;
		until.tv_nsec = until_us % US_PER_S * 1000;
		pthread_cond_timedwait(&watch->stop, &watch->mutex, &until);
	}
	pthread_mutex_unlock(&watch->mutex);
	return NULL;
}

static void expire(struct watch *watch, int64_t now_us)
{
	struct watched *watched;

	TAILQ_FOREACH(watched, &watch->connections, link) {
		int64_t longest_s = watch->limits.longest_s[watched->state];

		if (longest_s == 0 || watched->is_shut_down ||
		    now_us - watched->since_us < longest_s * US_PER_S)
			continue;
		watch->expired++;
		shut_down(watch, watched);
	}
}

static void shut_down(struct watch *watch, struct watched *watched)
{
	watched->is_shut_down = 1;
	watch->shut_down_count++;
	shutdown(watched->fd, SHUT_RDWR);
}

static void log_sums(struct watch *watch)
{
	if (watch->evicted == 0 && watch->expired == 0)
		return;
	cw_event("http", "connections_closed", "for_others=%lu too_slow=%lu open=%zu",
		 (unsigned long)watch->evicted, (unsigned long)watch->expired, watch->count);
	watch->evicted = 0;
	watch->expired = 0;
}
