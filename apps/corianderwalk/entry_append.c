/* Appends one record to the shared store. */
#include "cw_counters.h"
#include "entry_feed.h"

static void on_head(void *context, const struct cw_message *answer);
static void on_data(void *context, const char *data, size_t size);
static void on_end(void *context);
static void on_failed(void *context, enum cw_flow_failure failure);

static const struct cw_exchange_ops append_ops = {on_head, on_data, on_end, on_failed, NULL};

void append_begin(struct append *append, struct feed *feed, GString *bytes)
{
	struct cw_exchange_request request = {
		.address = feed->entry->settings.store,
		.bytes = bytes,
		.connect_ms = FEED_CONNECT_MS,
		.read_timeout_ms = FEED_CALL_MS,
	};

	append->feed = feed;
	append->http_status = 0;
	append->answer_era = CW_ERA_UNKNOWN;
	cw_counter_add("store_calls", "", 1);
	append->exchange = cw_client_send(feed->client, &request, &append_ops, append);
}

void append_cancel(struct append *append)
{
	if (append->exchange)
		cw_exchange_cancel(append->exchange);
	append->exchange = NULL;
}

static void on_head(void *context, const struct cw_message *answer)
{
	struct append *append = context;

	append->http_status = answer->status;
	append->answer_era = cw_up_parse_store_era(answer);
}

static void on_data(void *context, const char *data, size_t size)
{
}

static void on_end(void *context)
{
	struct append *append = context;
	struct cw_error error = {0};
	enum cw_status status = cw_up_parse_append(append->http_status, &error);

	append->exchange = NULL;
	/* A condition that held in another era than it was meant for proves nothing. */
	if (feed_note_era(append->feed, append->answer_era, "append", 1) != ERA_CURRENT)
		status = cw_error_set(&error, CW_UNKNOWN, "append", "",
				      "store answered in another era");
	append->done(append->context, status, error.message);
}

/* The store may have written the record before the call failed. */
static void on_failed(void *context, enum cw_flow_failure failure)
{
	struct append *append = context;

	append->exchange = NULL;
	feed_note_era(append->feed, append->answer_era, "append", 1);
	append->done(append->context, CW_UNKNOWN, cw_flow_failure_name(failure));
}
