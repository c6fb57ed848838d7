#include "cw_ring.h"

#include <glib.h>
#include <pthread.h>
#include <time.h>

struct cw_ring {
	pthread_mutex_t mutex;
	pthread_cond_t not_empty;
	pthread_cond_t not_full;
	size_t capacity;
	size_t head;
	size_t length;
	int is_closed;
	void *items[];
};

static int wait_until(pthread_cond_t *cond, pthread_mutex_t *mutex,
		      const struct timespec *deadline);
static void set_deadline(struct timespec *deadline, int wait_ms);

struct cw_ring *cw_ring_create(size_t capacity)
{
	struct cw_ring *ring = g_malloc0(sizeof(*ring) + capacity * sizeof(void *));
	pthread_condattr_t attr;

	pthread_condattr_init(&attr);
	pthread_condattr_setclock(&attr, CLOCK_MONOTONIC);
	pthread_mutex_init(&ring->mutex, NULL);
	pthread_cond_init(&ring->not_empty, &attr);
	pthread_cond_init(&ring->not_full, &attr);
	pthread_condattr_destroy(&attr);
	ring->capacity = capacity;
	return ring;
}

void cw_ring_destroy(struct cw_ring *ring)
{
	if (!ring)
		return;
	pthread_cond_destroy(&ring->not_empty);
	pthread_cond_destroy(&ring->not_full);
	pthread_mutex_destroy(&ring->mutex);
	g_free(ring);
}

enum cw_status cw_ring_push(struct cw_ring *ring, void *item, int wait_ms)
{
	enum cw_status status = CW_OK;
	struct timespec deadline;

	set_deadline(&deadline, wait_ms);
	pthread_mutex_lock(&ring->mutex);
	while (!ring->is_closed && ring->length == ring->capacity)
		if (wait_ms == 0 ||
		    wait_until(&ring->not_full, &ring->mutex, wait_ms < 0 ? NULL : &deadline))
			break;
	if (ring->is_closed) {
		status = CW_CLOSED;
	} else if (ring->length == ring->capacity) {
		status = CW_FULL;
	} else {
		ring->items[(ring->head + ring->length) % ring->capacity] = item;
		ring->length++;
		pthread_cond_signal(&ring->not_empty);
	}
	pthread_mutex_unlock(&ring->mutex);
	return status;
}

void *cw_ring_pop(struct cw_ring *ring, int wait_ms)
{
	struct timespec deadline;
	void *item = NULL;

	set_deadline(&deadline, wait_ms);
	pthread_mutex_lock(&ring->mutex);
	while (!ring->is_closed && ring->length == 0)
		if (wait_ms == 0 ||
		    wait_until(&ring->not_empty, &ring->mutex, wait_ms < 0 ? NULL : &deadline))
			break;
	if (ring->length > 0) {
		item = ring->items[ring->head];
		ring->head = (ring->head + 1) % ring->capacity;
		ring->length--;
		pthread_cond_signal(&ring->not_full);
	}
	pthread_mutex_unlock(&ring->mutex);
	return item;
}

void cw_ring_close(struct cw_ring *ring)
{
	pthread_mutex_lock(&ring->mutex);
	ring->is_closed = 1;
	pthread_cond_broadcast(&ring->not_empty);
	pthread_cond_broadcast(&ring->not_full);
	pthread_mutex_unlock(&ring->mutex);
}

int cw_ring_is_drained(struct cw_ring *ring)
{
	int is_closed;

	pthread_mutex_lock(&ring->mutex);
	is_closed = ring->is_closed && ring->length == 0;
	pthread_mutex_unlock(&ring->mutex);
	return is_closed;
}

int cw_ring_is_closed_for_push(struct cw_ring *ring)
{
	int is_closed;

	pthread_mutex_lock(&ring->mutex);
	is_closed = ring->is_closed;
	pthread_mutex_unlock(&ring->mutex);
	return is_closed;
}

size_t cw_ring_length(struct cw_ring *ring)
{
	size_t length;

	pthread_mutex_lock(&ring->mutex);
	length = ring->length;
	pthread_mutex_unlock(&ring->mutex);
	return length;
}

static int wait_until(pthread_cond_t *cond, pthread_mutex_t *mutex, const struct timespec *deadline)
{
	return deadline ? pthread_cond_timedwait(cond, mutex, deadline)
			: pthread_cond_wait(cond, mutex);
}

static void set_deadline(struct timespec *deadline, int wait_ms)
{
	clock_gettime(CLOCK_MONOTONIC, deadline);
	if (wait_ms <= 0)
		return;
	deadline->tv_sec += wait_ms / 1000;
	deadline->tv_nsec += (wait_ms % 1000) * 1000000L;
	if (deadline->tv_nsec >= 1000000000L) {
		deadline->tv_sec++;
		deadline->tv_nsec -= 1000000000L;
	}
}
