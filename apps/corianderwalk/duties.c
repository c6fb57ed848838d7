/*
 * The I/O workers: threads that read and append the shared log, poll the server list and the loads
 * of backend servers, and send rating requests, orders to backend servers and messages to peers.
 */
#include "daemon.h"
#include "cw_http_client.h"
#include "cw_timeline.h"

#include <json-c/json.h>
#include <string.h>

#define READ_RECORDS_MAX	 256
#define PEER_TIMEOUT_MS		 500
#define PEER_SENDERS_MAX	 16
#define LOAD_THREADS		 4
#define LOAD_TIMEOUT_MS		 400
#define ANSWER_BYTES_MAX	 65536
#define RATING_THREADS		 4
#define ORDER_CONNECT_TIMEOUT_MS 500
#define WAIT_FOREVER		 (-1) /* until an item comes or the ring is closed */

enum worker_kind {
	WORKER_READ_TABLE,
	WORKER_READ_CLAIMS,
	WORKER_READ_NOTICES,
	WORKER_BILLS, /* reads and appends */
	WORKER_APPEND_CLAIMS,
	WORKER_APPEND_OTHER,
	WORKER_LOAD,
	WORKER_RATE,
	WORKER_ORDER,
	WORKER_LIST,
	WORKER_KINDS,
};

struct sender { /* sends the messages to one peer, or to several beyond PEER_SENDERS_MAX peers */
	struct cw_ring *ring;
	pthread_t thread;
	GHashTable *clients; /* address -> cw_peer_client; accessed by this thread only */
};

struct io_workers {
	struct daemon *daemon;
	struct cw_ring *rings[WORKER_KINDS];
	pthread_t threads[WORKER_KINDS + LOAD_THREADS + RATING_THREADS];
	size_t thread_count;
	int is_stopping;	       /* atomic */
	GHashTable *sender_by_address; /* address -> sender; accessed by the core thread only */
	struct sender *senders[PEER_SENDERS_MAX];
	size_t sender_count;
	size_t next_shared_sender;
};

struct worker_arguments {
	struct io_workers *io_workers;
	enum worker_kind kind;
};

static void start_worker(struct io_workers *io_workers, enum worker_kind kind);
static void *run_worker(void *data);
static void *run_list_poller(struct io_workers *io_workers);
static void perform_effect(struct io_workers *io_workers, struct cw_effect *effect);
static void read_log(struct daemon *daemon, const struct cw_effect *effect);
static void append_to_log(struct daemon *daemon, const struct cw_effect *effect);
static void poll_load(struct daemon *daemon, const struct cw_effect *effect);
static void request_rating(struct daemon *daemon, const struct cw_effect *effect);
static void send_order(struct daemon *daemon, const struct cw_effect *effect);
static void poll_list(struct daemon *daemon);
static void fill_load(struct message *message, struct json_object *answer);
static void queue_peer_message(struct io_workers *io_workers, struct cw_effect *effect);
static struct sender *sender_create(void);
static void sender_destroy(struct sender *sender);
static void *run_sender(void *data);
static enum worker_kind worker_kind_of(const struct cw_effect *effect);

struct io_workers *io_workers_start(struct daemon *daemon)
{
	struct io_workers *io_workers = g_new0(struct io_workers, 1);

	io_workers->daemon = daemon;
	io_workers->sender_by_address =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	for (int kind = 0; kind < WORKER_KINDS; kind++)
		io_workers->rings[kind] = cw_ring_create(CW_RING_WORKER);
	for (int kind = 0; kind < WORKER_KINDS; kind++)
		start_worker(io_workers, kind);
	for (int i = 1; i < LOAD_THREADS; i++)
		start_worker(io_workers, WORKER_LOAD);
	for (int i = 1; i < RATING_THREADS; i++)
		start_worker(io_workers, WORKER_RATE);
	return io_workers;
}

void io_workers_stop(struct io_workers *io_workers)
{
	struct cw_effect *effect;

	__atomic_store_n(&io_workers->is_stopping, 1, __ATOMIC_RELEASE);
	for (int kind = 0; kind < WORKER_KINDS; kind++)
		cw_ring_close(io_workers->rings[kind]);
	for (size_t i = 0; i < io_workers->thread_count; i++)
		pthread_join(io_workers->threads[i], NULL);
	for (int kind = 0; kind < WORKER_KINDS; kind++) {
		while ((effect = cw_ring_pop(io_workers->rings[kind], 0)))
			cw_effect_destroy(effect);
		cw_ring_destroy(io_workers->rings[kind]);
	}
	for (size_t i = 0; i < io_workers->sender_count; i++)
		sender_destroy(io_workers->senders[i]);
	g_hash_table_destroy(io_workers->sender_by_address);
	g_free(io_workers);
}

void io_workers_submit(struct io_workers *io_workers, struct cw_effect *effect)
{
	if (effect->kind == CW_EFFECT_SEND) {
		queue_peer_message(io_workers, effect);
		return;
	}
	/* A full ring means that a worker hangs. The core must not block on the worker, so the
	 * effect is dropped; the node retries when its own timer expires. */
	if (cw_ring_push(io_workers->rings[worker_kind_of(effect)], effect, 0) != CW_OK)
		cw_effect_destroy(effect);
}

static void start_worker(struct io_workers *io_workers, enum worker_kind kind)
{
	struct worker_arguments *arguments = g_new(struct worker_arguments, 1);

	arguments->io_workers = io_workers;
	arguments->kind = kind;
	pthread_create(&io_workers->threads[io_workers->thread_count++], NULL, run_worker,
		       arguments);
}

static void *run_worker(void *data)
{
	struct worker_arguments arguments = *(struct worker_arguments *)data;
	struct cw_ring *ring = arguments.io_workers->rings[arguments.kind];

	g_free(data);
	if (arguments.kind == WORKER_LIST)
		return run_list_poller(arguments.io_workers);
	while (!__atomic_load_n(&arguments.io_workers->is_stopping, __ATOMIC_ACQUIRE)) {
		struct cw_effect *effect = cw_ring_pop(ring, WAIT_FOREVER);

		if (!effect)
			continue;
		perform_effect(arguments.io_workers, effect);
		cw_effect_destroy(effect);
	}
	return NULL;
}

static void *run_list_poller(struct io_workers *io_workers)
{
	while (!__atomic_load_n(&io_workers->is_stopping, __ATOMIC_ACQUIRE)) {
		poll_list(io_workers->daemon);
		/* No effect is pushed to this ring: a sleep that ends when the ring is closed. */
		cw_ring_pop(io_workers->rings[WORKER_LIST],
			    (int)io_workers->daemon->settings->list_poll_ms);
	}
	return NULL;
}

static void perform_effect(struct io_workers *io_workers, struct cw_effect *effect)
{
	switch (effect->kind) {
	case CW_EFFECT_READ:
		read_log(io_workers->daemon, effect);
		break;
	case CW_EFFECT_APPEND:
		append_to_log(io_workers->daemon, effect);
		break;
	case CW_EFFECT_POLL:
		poll_load(io_workers->daemon, effect);
		break;
	case CW_EFFECT_RATE:
		request_rating(io_workers->daemon, effect);
		break;
	case CW_EFFECT_ORDER:
		send_order(io_workers->daemon, effect);
		break;
	default:
		break;
	}
}

static void read_log(struct daemon *daemon, const struct cw_effect *effect)
{
	struct message *message = message_create(CW_EVENT_RECORDS);
	struct cw_platform_read_result *read = &message->read;
	struct cw_error error = {0};

	message->records.stream = effect->read.stream;
	message->records.ticket = effect->read.ticket;
	message->records.status = cw_log_http.read(
		daemon->settings->platform, cw_stream_name(effect->read.stream), effect->read.from,
		effect->read.max ? effect->read.max : READ_RECORDS_MAX, effect->read.wait_ms, read,
		&error);
	message->records.first = read->first_offset;
	message->records.count = read->count;
	message->record_list = g_new0(struct cw_log_record, read->count + 1);
	for (size_t i = 0; i < read->count; i++) {
		message->record_list[i].offset = read->records[i].offset;
		message->record_list[i].time_ms = read->records[i].time_ms;
		message->record_list[i].data = read->records[i].data;
	}
	message->records.list = message->record_list;
	message->event.records = &message->records;
	core_post(daemon, message);
}

static void append_to_log(struct daemon *daemon, const struct cw_effect *effect)
{
	struct message *message = message_create(CW_EVENT_APPENDED);
	struct cw_error error = {0};

	message->appended.ticket = effect->append.ticket;
	message->appended.status = cw_log_http.append(
		daemon->settings->platform, cw_stream_name(effect->append.stream),
		effect->append.data, &message->appended.offset, &error);
	if (message->appended.status != CW_OK)
		cw_warn("log", "append_failed", "stream=%s status=%s step=%s peer=%s why=\"%s\"",
			cw_stream_name(effect->append.stream),
			cw_status_name(message->appended.status), error.step, error.peer,
			error.message);
	message->event.appended = &message->appended;
	core_post(daemon, message);
}

static void poll_load(struct daemon *daemon, const struct cw_effect *effect)
{
	struct cw_http_call call = {
		.method = "GET",
		.address = effect->poll.address,
		.path = "/load",
		.connect_ms = LOAD_TIMEOUT_MS,
		.total_ms = LOAD_TIMEOUT_MS,
		.max_size = ANSWER_BYTES_MAX,
	};
	struct cw_http_answer answer;
	struct json_object *parsed = NULL;
	struct message *message;

	if (cw_http_perform(&call, &answer, NULL) == CW_OK && answer.status == 200)
		parsed = json_tokener_parse(answer.body);
	cw_http_answer_clear(&answer);
	if (!json_object_is_type(parsed, json_type_object)) {
		json_object_put(parsed);
		return;
	}
	message = message_create(CW_EVENT_LOAD);
	fill_load(message, parsed);
	json_object_put(parsed);
	message->event.load.server = effect->poll.server;
	message->event.load.load = &message->load;
	core_post(daemon, message);
}

static void fill_load(struct message *message, struct json_object *answer)
{
	static const struct {
		const char *name;
		size_t offset;
	} numbers[] = {
		{"running", offsetof(struct cw_load, running)},
		{"queued", offsetof(struct cw_load, queued)},
		{"slots", offsetof(struct cw_load, slots)},
		{"age_ms", offsetof(struct cw_load, age_ms)},
	};
	struct json_object *value;

	for (size_t i = 0; i < G_N_ELEMENTS(numbers); i++)
		if (json_object_object_get_ex(answer, numbers[i].name, &value))
			*(unsigned int *)((char *)&message->load + numbers[i].offset) =
				(unsigned int)CLAMP(json_object_get_int64(value), 0, G_MAXINT);
	if (json_object_object_get_ex(answer, "kv_used", &value))
		message->load.kv_used = json_object_get_double(value);
	if (!json_object_object_get_ex(answer, "versions", &value) ||
	    !json_object_is_type(value, json_type_array))
		return;
	message->versions = g_new0(char *, json_object_array_length(value) + 1);
	for (size_t i = 0; i < json_object_array_length(value); i++)
		message->versions[i] =
			g_strdup(json_object_get_string(json_object_array_get_idx(value, i)));
	message->load.versions = (const char *const *)message->versions;
}

static void request_rating(struct daemon *daemon, const struct cw_effect *effect)
{
	struct message *message = message_create(CW_EVENT_RATED);
	struct cw_rating_request request = {
		.request_id = effect->rate.request_id,
		.organisation = effect->rate.organisation,
		.model = effect->rate.model,
		.version = effect->rate.version,
		.task = effect->rate.task_name,
		.answer = effect->rate.answer,
	};
	double score = -1;

	if (cw_rating_http.rate(daemon->settings->platform, &request, &score, NULL) != CW_OK)
		score = -1;
	message->event.rated.handle = effect->rate.is_awaited ? effect->handle : 0;
	message->event.rated.task = effect->rate.task;
	message->event.rated.common = effect->rate.common;
	message->event.rated.version = effect->rate.version_id;
	message->event.rated.score = score;
	message->event.rated.tokens = effect->rate.tokens;
	core_post(daemon, message);
}

static void send_order(struct daemon *daemon, const struct cw_effect *effect)
{
	static const char *const headers[] = {"Content-Type: application/json", NULL};
	struct message *message = message_create(CW_EVENT_ORDERED);
	char *body =
		g_strdup_printf("{\"order\":\"%s\",\"target\":\"%s\",\"fencing\":%" G_GUINT64_FORMAT
				",\"table_offset\":%" G_GUINT64_FORMAT "}",
				effect->order.order, effect->order.target, effect->order.fencing,
				effect->order.table_offset);
	struct cw_http_call call = {
		.method = "POST",
		.address = effect->order.address,
		.path = "/orders",
		.headers = headers,
		.body = body,
		.body_size = strlen(body),
		.connect_ms = ORDER_CONNECT_TIMEOUT_MS,
		.total_ms = (int)effect->order.timeout_ms,
		.forbids_retry = 1,
		.max_size = ANSWER_BYTES_MAX,
	};
	struct cw_http_answer answer;
	enum cw_status status = cw_http_perform(&call, &answer, NULL);

	if (status == CW_OK && answer.status == 409)
		status = CW_REFUSED;
	else if (status == CW_OK && answer.status != 200)
		status = CW_UNKNOWN;
	cw_http_answer_clear(&answer);
	g_free(body);
	message->event.ordered.ticket = effect->order.ticket;
	message->event.ordered.status = status;
	core_post(daemon, message);
}

static void poll_list(struct daemon *daemon)
{
	struct cw_platform_member *members;
	struct message *message;
	size_t count;

	if (cw_member_list_http.list(daemon->settings->platform, &members, &count, NULL) != CW_OK)
		return;
	message = message_create(CW_EVENT_LIST);
	message->listed = g_new0(struct cw_list_entry, count + 1);
	for (size_t i = 0; i < count; i++) {
		struct cw_list_entry *listed = &message->listed[i];

		g_strlcpy(listed->name, members[i].name, CW_NAME_MAX);
		g_strlcpy(listed->address, members[i].address, CW_ADDRESS_MAX);
		g_strlcpy(listed->peer_address, members[i].peer_address, CW_ADDRESS_MAX);
		g_strlcpy(listed->failure_domain, members[i].failure_domain, CW_NAME_MAX);
		g_strlcpy(listed->service, members[i].service, CW_NAME_MAX);
		listed->is_instance = members[i].is_instance;
		listed->is_leaving = members[i].is_leaving;
		listed->checks_fencing = members[i].checks_fencing;
	}
	g_free(members);
	message->event.list.members = message->listed;
	message->event.list.count = count;
	core_post(daemon, message);
}

/* Up to PEER_SENDERS_MAX peers have a sender each, so that a peer that hangs delays no other. */
static void queue_peer_message(struct io_workers *io_workers, struct cw_effect *effect)
{
	struct sender *sender =
		g_hash_table_lookup(io_workers->sender_by_address, effect->send.address);

	if (!sender) {
		if (io_workers->sender_count < PEER_SENDERS_MAX) {
			sender = sender_create();
			io_workers->senders[io_workers->sender_count++] = sender;
		} else {
			sender = io_workers->senders[io_workers->next_shared_sender++ %
						     PEER_SENDERS_MAX];
		}
		g_hash_table_insert(io_workers->sender_by_address, g_strdup(effect->send.address),
				    sender);
	}
	if (cw_ring_push(sender->ring, effect, 0) != CW_OK)
		cw_effect_destroy(effect);
}

static struct sender *sender_create(void)
{
	struct sender *sender = g_new0(struct sender, 1);

	sender->ring = cw_ring_create(CW_RING_WORKER);
	sender->clients = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
						(GDestroyNotify)cw_peer_client_destroy);
	pthread_create(&sender->thread, NULL, run_sender, sender);
	return sender;
}

static void sender_destroy(struct sender *sender)
{
	struct cw_effect *effect;

	cw_ring_close(sender->ring);
	pthread_join(sender->thread, NULL);
	while ((effect = cw_ring_pop(sender->ring, 0)))
		cw_effect_destroy(effect);
	cw_ring_destroy(sender->ring);
	g_hash_table_destroy(sender->clients);
	g_free(sender);
}

static void *run_sender(void *data)
{
	struct sender *sender = data;

	while (!cw_ring_is_drained(sender->ring)) {
		struct cw_effect *effect = cw_ring_pop(sender->ring, WAIT_FOREVER);
		struct cw_peer_client *client;

		if (!effect)
			continue;
		client = g_hash_table_lookup(sender->clients, effect->send.address);
		if (!client) {
			client = cw_peer_client_create(effect->send.address, PEER_TIMEOUT_MS);
			g_hash_table_insert(sender->clients, g_strdup(effect->send.address),
					    client);
		}
		cw_peer_client_send(client, effect->send.bytes.data, effect->send.bytes.size, NULL);
		cw_effect_destroy(effect);
	}
	return NULL;
}

static enum worker_kind worker_kind_of(const struct cw_effect *effect)
{
	static const enum worker_kind read_kinds[CW_STREAM_COUNT] = {
		WORKER_READ_TABLE, WORKER_READ_CLAIMS, WORKER_READ_NOTICES, WORKER_BILLS};

	switch (effect->kind) {
	case CW_EFFECT_READ:
		return read_kinds[effect->read.stream];
	case CW_EFFECT_APPEND:
		if (effect->append.stream == CW_STREAM_BILLS)
			return WORKER_BILLS;
		return effect->append.stream == CW_STREAM_CLAIMS ? WORKER_APPEND_CLAIMS
								 : WORKER_APPEND_OTHER;
	case CW_EFFECT_POLL:
		return WORKER_LOAD;
	case CW_EFFECT_RATE:
		return WORKER_RATE;
	default:
		return WORKER_ORDER;
	}
}
