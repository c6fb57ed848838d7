#include "listener_internal.h"
#include "quota_internal.h"

#define REQUEST_BYTES 8192 /* of a request in progress: its state and the head sent on */
#define FREED_PART    8	   /* an eighth below the limit, so that the search is rare */

static size_t measure(const struct cw_caller *caller);
static size_t measure_message(const struct cw_message *message);
static size_t unread_bytes(const struct cw_caller *caller);
static int give_up_most(struct cw_quota *quota);
static size_t droppable_bytes(const struct cw_caller *caller);
static void drop_unanswered(struct cw_caller *caller);
static void drop_ahead(struct cw_caller *caller);
static struct cw_caller *find_stalled(const struct cw_quota *quota);

struct cw_quota *cw_quota_create(size_t limit_bytes)
{
	struct cw_quota *quota = g_new0(struct cw_quota, 1);

	quota->limit_bytes = limit_bytes;
	TAILQ_INIT(&quota->callers);
	return quota;
}

void cw_quota_destroy(struct cw_quota *quota)
{
	g_free(quota);
}

size_t cw_quota_held_bytes(const struct cw_quota *quota)
{
	return quota->held_bytes;
}

void cw_quota_add(struct cw_quota *quota, size_t bytes)
{
	quota->held_bytes += bytes;
}

void cw_quota_remove(struct cw_quota *quota, size_t bytes)
{
	quota->held_bytes -= bytes;
}

const struct cw_quota_counts *cw_quota_counts(const struct cw_quota *quota)
{
	return &quota->counts;
}

void quota_join(struct cw_caller *caller)
{
	TAILQ_INSERT_TAIL(&caller->listener->quota->callers, caller, quota_link);
	quota_update(caller);
}

void quota_leave(struct cw_caller *caller)
{
	struct cw_quota *quota = caller->listener->quota;

	TAILQ_REMOVE(&quota->callers, caller, quota_link);
	quota->held_bytes -= caller->counted_bytes;
	caller->counted_bytes = 0;
}

void quota_update(struct cw_caller *caller)
{
	struct cw_quota *quota = caller->listener->quota;

	if (caller->state == CALLER_CLOSED)
		return;
	quota->held_bytes -= caller->counted_bytes;
	caller->counted_bytes = measure(caller);
	quota->held_bytes += caller->counted_bytes;
}

void quota_enforce(struct cw_quota *quota)
{
	size_t target = quota->limit_bytes - quota->limit_bytes / FREED_PART;

	if (quota->limit_bytes == 0 || quota->held_bytes <= quota->limit_bytes)
		return;
	while (quota->held_bytes > target && give_up_most(quota))
		;
}

static size_t measure(const struct cw_caller *caller)
{
	size_t bytes = sizeof(*caller) + measure_message(caller->message) +
		       caller->ahead->allocated_len + caller->out->allocated_len +
		       caller->unwritten_bytes + unread_bytes(caller);

	/* A body that is being received has its room from the beginning. */
	bytes += MAX(caller->message->body->allocated_len, caller->held_bytes);
	if (caller->state == CALLER_ANSWERING)
		bytes += REQUEST_BYTES + caller->message->body->len;
	return bytes;
}

static size_t measure_message(const struct cw_message *message)
{
	return message->text->allocated_len + message->target->allocated_len +
	       message->fields->len * sizeof(struct cw_field);
}

/* In the kernel; the most that it may be, while the caller is not read. */
static size_t unread_bytes(const struct cw_caller *caller)
{
	if (caller->is_read_paused || caller->waits_for_turn)
		return caller->listener->receive_bytes;
	return 0;
}

/* 0: nothing is left that may be given up. */
static int give_up_most(struct cw_quota *quota)
{
	struct cw_caller *largest = NULL;
	struct cw_caller *caller;

	TAILQ_FOREACH(caller, &quota->callers, quota_link)
		if (droppable_bytes(caller) > (largest ? droppable_bytes(largest) : 0))
			largest = caller;
	if (largest) {
		drop_unanswered(largest);
		return 1;
	}
	caller = find_stalled(quota);
	if (!caller)
		return 0;
	quota->counts.closed++;
	caller_disconnect(caller);
	return 1;
}

/* Of requests that were not handed over yet. */
static size_t droppable_bytes(const struct cw_caller *caller)
{
	size_t bytes = caller->ahead->len + unread_bytes(caller);

	if (caller->is_ahead_dropped || caller->is_parsing || caller->state == CALLER_LINGERING)
		return 0;
	if (caller->state == CALLER_READING && caller->has_request_bytes)
		bytes += measure_message(caller->message) +
			 MAX(caller->message->body->len, caller->held_bytes);
	return bytes;
}

static void drop_unanswered(struct cw_caller *caller)
{
	struct cw_quota *quota = caller->listener->quota;

	if (caller->state == CALLER_READING && caller->unwritten_bytes == 0) {
		quota->counts.rejected++;
		caller->reject_status = HTTP_STATUS_SERVICE_UNAVAILABLE;
		caller->reject_reason = "no memory for its request";
		drop_ahead(caller);
		caller_reject(caller);
	} else {
		quota->counts.dropped++;
		drop_ahead(caller);
		if (caller->state == CALLER_READING)
			caller_start_lingering(caller);
	}
	quota_update(caller);
}

/*
 * What follows is read and discarded, as the end of the connection must be noticed. The kernel
 * keeps little of it from now on.
 */
static void drop_ahead(struct cw_caller *caller)
{
	caller->is_ahead_dropped = 1;
	caller->keep_alive = 0;
	g_string_free(caller->ahead, TRUE);
	caller->ahead = g_string_sized_new(0);
	flow_limit_unread(&caller->tcp, FLOW_UNREAD_LEAST);
	caller_read_on(caller);
}

/* The caller that has read none of its answer for longest. */
static struct cw_caller *find_stalled(const struct cw_quota *quota)
{
	struct cw_caller *stalled = NULL;
	struct cw_caller *caller;

	TAILQ_FOREACH(caller, &quota->callers, quota_link)
		if (caller->swept_bytes > 0 && !caller->is_parsing &&
		    (!stalled || caller->progress_ms < stalled->progress_ms))
			stalled = caller;
	return stalled;
}
