/* The duties around the core: reading and appending the log, the list, loads, ratings, orders,
 * peers. */
#include "daemon.h"
#include "cw_http_client.h"
#include "cw_timeline.h"

#include <json-c/json.h>
#include <string.h>

#define READ_MAX	 256
#define PEER_TIMEOUT_MS	 500
#define PEER_SENDERS_MAX 16
#define LOAD_THREADS	 4
#define LOAD_TIMEOUT_MS	 400
#define LOAD_SIZE_MAX	 65536
#define RATING_THREADS	 4
#define ORDER_CONNECT_MS 500
#define WAIT_MS		 (-1) /* a closed ring ends every wait */

enum duty_kind {
	DUTY_READ_TABLE,
	DUTY_READ_CLAIMS,
	DUTY_READ_NOTICES,
	DUTY_BILLS,
	DUTY_APPEND_CLAIMS,
	DUTY_APPEND_OTHER,
	DUTY_LOAD,
	DUTY_RATE,
	DUTY_ORDER,
	DUTY_LIST,
	DUTY_KINDS,
};

struct sender { /* one peer's messages, or several peers' when there are many */
	struct cw_ring *ring;
	pthread_t thread;
	GHashTable *clients; /* address -> cw_peer_client; the thread's */
};

struct duties {
	struct daemon *daemon;
	struct cw_ring *rings[DUTY_KINDS];
	pthread_t threads[DUTY_KINDS + LOAD_THREADS + RATING_THREADS];
	size_t thread_count;
	int stopping;
	GHashTable *sender_of; /* address -> sender; the core's */
	struct sender *senders[PEER_SENDERS_MAX];
	size_t sender_count;
	size_t sender_turn;
};

struct duty_start {
	struct duties *duties;
	enum duty_kind kind;
};

static void start_thread(struct duties *duties, enum duty_kind kind);
static void *run_duty(void *data);
static void *run_list(struct duties *duties);
static void do_effect(struct duties *duties, struct cw_effect *effect);
static void do_read(struct daemon *daemon, const struct cw_effect *effect);
static void do_append(struct daemon *daemon, const struct cw_effect *effect);
static void do_poll(struct daemon *daemon, const struct cw_effect *effect);
static void do_rate(struct daemon *daemon, const struct cw_effect *effect);
static void do_order(struct daemon *daemon, const struct cw_effect *effect);
static void do_list(struct daemon *daemon);
static void fill_load(struct message *message, struct json_object *answer);
static void send_peer(struct duties *duties, struct cw_effect *effect);
static struct sender *sender_create(void);
static void sender_destroy(struct sender *sender);
static void *run_sender(void *data);
static enum duty_kind duty_of(const struct cw_effect *effect);

struct duties *duties_start(struct daemon *daemon)
{
	struct duties *duties = g_new0(struct duties, 1);

	duties->daemon = daemon;
	duties->sender_of = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	for (int kind = 0; kind < DUTY_KINDS; kind++)
		duties->rings[kind] = cw_ring_create(CW_RING_DUTY);
	for (int kind = 0; kind < DUTY_KINDS; kind++)
		start_thread(duties, kind);
	for (int i = 1; i < LOAD_THREADS; i++)
		start_thread(duties, DUTY_LOAD);
	for (int i = 1; i < RATING_THREADS; i++)
		start_thread(duties, DUTY_RATE);
	return duties;
}

void duties_stop(struct duties *duties)
{
	struct cw_effect *effect;

	__atomic_store_n(&duties->stopping, 1, __ATOMIC_RELEASE);
	for (int kind = 0; kind < DUTY_KINDS; kind++)
		cw_ring_close(duties->rings[kind]);
	for (size_t i = 0; i < duties->thread_count; i++)
		pthread_join(duties->threads[i], NULL);
	for (int kind = 0; kind < DUTY_KINDS; kind++) {
		while ((effect = cw_ring_pop(duties->rings[kind], 0)))
			cw_effect_destroy(effect);
		cw_ring_destroy(duties->rings[kind]);
	}
	for (size_t i = 0; i < duties->sender_count; i++)
		sender_destroy(duties->senders[i]);
	g_hash_table_destroy(duties->sender_of);
	g_free(duties);
}

void duties_take(struct duties *duties, struct cw_effect *effect)
{
	if (effect->kind == CW_EFFECT_SEND) {
		send_peer(duties, effect);
		return;
	}
	/* A full ring means a duty that hangs: the core must not wait for it, and retries by its
	 * own time. */
	if (cw_ring_push(duties->rings[duty_of(effect)], effect, 0) != CW_OK)
		cw_effect_destroy(effect);
}

static void start_thread(struct duties *duties, enum duty_kind kind)
{
	struct duty_start *start = g_new(struct duty_start, 1);

	start->duties = duties;
	start->kind = kind;
	pthread_create(&duties->threads[duties->thread_count++], NULL, run_duty, start);
}

static void *run_duty(void *data)
{
	struct duty_start start = *(struct duty_start *)data;
	struct cw_ring *ring = start.duties->rings[start.kind];

	g_free(data);
	if (start.kind == DUTY_LIST)
		return run_list(start.duties);
	while (!__atomic_load_n(&start.duties->stopping, __ATOMIC_ACQUIRE)) {
		struct cw_effect *effect = cw_ring_pop(ring, WAIT_MS);

		if (!effect)
			continue;
		do_effect(start.duties, effect);
		cw_effect_destroy(effect);
	}
	return NULL;
}

static void *run_list(struct duties *duties)
{
	while (!__atomic_load_n(&duties->stopping, __ATOMIC_ACQUIRE)) {
		do_list(duties->daemon);
		/* Nothing is ever pushed here: the closed ring ends the wait. */
		cw_ring_pop(duties->rings[DUTY_LIST], (int)duties->daemon->settings->list_poll_ms);
	}
	return NULL;
}

static void do_effect(struct duties *duties, struct cw_effect *effect)
{
	switch (effect->kind) {
	case CW_EFFECT_READ:
		do_read(duties->daemon, effect);
		break;
	case CW_EFFECT_APPEND:
		do_append(duties->daemon, effect);
		break;
	case CW_EFFECT_POLL:
		do_poll(duties->daemon, effect);
		break;
	case CW_EFFECT_RATE:
		do_rate(duties->daemon, effect);
		break;
	case CW_EFFECT_ORDER:
		do_order(duties->daemon, effect);
		break;
	default:
		break;
	}
}

static void do_read(struct daemon *daemon, const struct cw_effect *effect)
{
	struct message *message = message_create(CW_EVENT_RECORDS);
	struct cw_platform_read_result *read = &message->read;
	struct cw_error error = {0};

	message->records.stream = effect->read.stream;
	message->records.ticket = effect->read.ticket;
	message->records.status =
		cw_log_http.read(daemon->settings->platform, cw_stream_name(effect->read.stream),
				 effect->read.from, READ_MAX, effect->read.wait_ms, read, &error);
	message->records.first = read->first;
	message->records.count = read->count;
	message->record_list = g_new0(struct cw_log_record, read->count + 1);
	for (size_t i = 0; i < read->count; i++) {
		message->record_list[i].offset = read->list[i].offset;
		message->record_list[i].time_ms = read->list[i].time_ms;
		message->record_list[i].data = read->list[i].data;
	}
	message->records.list = message->record_list;
	message->event.records = &message->records;
	core_post(daemon, message);
}

static void do_append(struct daemon *daemon, const struct cw_effect *effect)
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

static void do_poll(struct daemon *daemon, const struct cw_effect *effect)
{
	struct cw_http_call call = {
		.method = "GET",
		.address = effect->poll.address,
		.path = "/load",
		.connect_ms = LOAD_TIMEOUT_MS,
		.total_ms = LOAD_TIMEOUT_MS,
		.max_size = LOAD_SIZE_MAX,
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

static void do_rate(struct daemon *daemon, const struct cw_effect *effect)
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
	message->event.rated.handle = effect->rate.checked ? effect->handle : 0;
	message->event.rated.task = effect->rate.task;
	message->event.rated.common = effect->rate.common;
	message->event.rated.version = effect->rate.version_id;
	message->event.rated.score = score;
	message->event.rated.tokens = effect->rate.tokens;
	core_post(daemon, message);
}

static void do_order(struct daemon *daemon, const struct cw_effect *effect)
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
		.connect_ms = ORDER_CONNECT_MS,
		.total_ms = (int)effect->order.timeout_ms,
		.once = 1,
		.max_size = LOAD_SIZE_MAX,
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

static void do_list(struct daemon *daemon)
{
	struct cw_platform_member *members;
	struct message *message;
	size_t count;

	if (cw_member_list_http.list(daemon->settings->platform, &members, &count, NULL) != CW_OK)
		return;
	message = message_create(CW_EVENT_LIST);
	message->listed = g_new0(struct cw_listed, count + 1);
	for (size_t i = 0; i < count; i++) {
		struct cw_listed *listed = &message->listed[i];

		g_strlcpy(listed->name, members[i].name, CW_NAME_MAX);
		g_strlcpy(listed->address, members[i].address, CW_ADDRESS_MAX);
		g_strlcpy(listed->peer_address, members[i].peer_address, CW_ADDRESS_MAX);
		g_strlcpy(listed->failure_domain, members[i].failure_domain, CW_NAME_MAX);
		g_strlcpy(listed->service, members[i].service, CW_NAME_MAX);
		listed->is_instance = members[i].is_instance;
		listed->leaving = members[i].leaving;
		listed->checks_fencing = members[i].checks_fencing;
	}
	g_free(members);
	message->event.list.members = message->listed;
	message->event.list.count = count;
	core_post(daemon, message);
}

/* A peer that hangs holds only its own sender; while there are few peers each has one. */
static void send_peer(struct duties *duties, struct cw_effect *effect)
{
	struct sender *sender = g_hash_table_lookup(duties->sender_of, effect->send.address);

	if (!sender) {
		if (duties->sender_count < PEER_SENDERS_MAX) {
			sender = sender_create();
			duties->senders[duties->sender_count++] = sender;
		} else {
			sender = duties->senders[duties->sender_turn++ % PEER_SENDERS_MAX];
		}
		g_hash_table_insert(duties->sender_of, g_strdup(effect->send.address), sender);
	}
	if (cw_ring_push(sender->ring, effect, 0) != CW_OK)
		cw_effect_destroy(effect);
}

static struct sender *sender_create(void)
{
	struct sender *sender = g_new0(struct sender, 1);

	sender->ring = cw_ring_create(CW_RING_DUTY);
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

	while (!cw_ring_is_closed(sender->ring)) {
		struct cw_effect *effect = cw_ring_pop(sender->ring, WAIT_MS);
		struct cw_peer_client *client;

		if (!effect)
			continue;
		client = g_hash_table_lookup(sender->clients, effect->send.address);
		if (!client) {
			client = cw_peer_client_create(effect->send.address, PEER_TIMEOUT_MS);
			g_hash_table_insert(sender->clients, g_strdup(effect->send.address),
					    client);
		}
		cw_peer_send(client, effect->send.bytes.data, effect->send.bytes.size, NULL);
		cw_effect_destroy(effect);
	}
	return NULL;
}

static enum duty_kind duty_of(const struct cw_effect *effect)
{
	static const enum duty_kind readers[CW_STREAMS] = {DUTY_READ_TABLE, DUTY_READ_CLAIMS,
							   DUTY_READ_NOTICES, DUTY_BILLS};

	switch (effect->kind) {
	case CW_EFFECT_READ:
		return readers[effect->read.stream];
	case CW_EFFECT_APPEND:
		if (effect->append.stream == CW_STREAM_BILLS)
			return DUTY_BILLS;
		return effect->append.stream == CW_STREAM_CLAIMS ? DUTY_APPEND_CLAIMS
								 : DUTY_APPEND_OTHER;
	case CW_EFFECT_POLL:
		return DUTY_LOAD;
	case CW_EFFECT_RATE:
		return DUTY_RATE;
	default:
		return DUTY_ORDER;
	}
}
