/*
 * Stand-in for the store of the users' platform: four keyed topics in memory, read by long polls.
 *   POST /admin/put?topic=T&key=K   the body becomes the newest record of K ("" drops K)
 *   POST /admin/mode?m=NAME         how other calls are met from now on: ok, busy, many, silent,
 *                                   reset, slow, lost (appends are kept and not answered)
 *   POST /admin/expire?topic=T      the records kept so far can no longer be read one by one
 *   POST /admin/deaf?topic=T        the reads that wait on T now are never answered
 *   POST /admin/miss?topic=T        the reads that wait on T now see no record before their time is
 * up GET /admin/calls                how many other calls came GET /admin/newest?topic=T&key=K the
 * value
 */
#include "cw_flow.h"

#include <argtable2.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/queue.h>

#define TICK_MS 20
#define SLOW_MS 400

struct record {
	char *key;
	GString *value; /* empty: dropped */
};

struct topic {
	const char *name;
	GPtrArray *records; /* index = offset */
	size_t first;
};

struct waiting {
	TAILQ_ENTRY(waiting) link;
	struct cw_caller *caller;
	struct topic *topic;
	size_t from;
	uint64_t until_ms;
	uint64_t not_before_ms;
	int is_lost; /* never answered */
};

static uv_loop_t loop;
static struct topic topics[] = {{"keyed.op", NULL, 0},
				{"keyed.servers", NULL, 0},
				{"keyed.status", NULL, 0},
				{"keyed.quarantine", NULL, 0}};
static TAILQ_HEAD(, waiting) waitings = TAILQ_HEAD_INITIALIZER(waitings);
static char mode[16] = "ok";
static unsigned long calls;

static void query(const char *target, const char *name, char *value, size_t size)
{
	const char *at = strchr(target, '?');
	size_t length = strlen(name);

	value[0] = '\0';
	while (at && *at) {
		at++;
		if (!strncmp(at, name, length) && at[length] == '=') {
			char *decoded = g_uri_unescape_segment(
				at + length + 1, at + length + 1 + strcspn(at + length + 1, "&"),
				NULL);

			g_strlcpy(value, decoded ? decoded : "", size);
			g_free(decoded);
			return;
		}
		at = strchr(at, '&');
	}
}

static struct topic *find_topic(const char *target)
{
	char name[32];

	query(target, "topic", name, sizeof(name));
	for (size_t i = 0; i < G_N_ELEMENTS(topics); i++)
		if (!strcmp(topics[i].name, name))
			return &topics[i];
	return NULL;
}

static void reply(struct cw_caller *caller, unsigned int status, const char *bytes, size_t size)
{
	cw_caller_send_head(caller, status, "", (int64_t)size);
	cw_caller_send_body(caller, bytes, size);
	cw_caller_end_answer(caller);
}

static void put_number(GString *out, uint64_t number, int bytes)
{
	for (int shift = (bytes - 1) * 8; shift >= 0; shift -= 8)
		g_string_append_c(out, (char)(number >> shift & 0xff));
}

static void append(struct topic *topic, const char *key, const char *value, size_t size)
{
	struct record *record = g_new0(struct record, 1);

	record->key = g_strdup(key);
	record->value = g_string_new_len(value, (gssize)size);
	g_ptr_array_add(topic->records, record);
}

static void answer_read(struct cw_caller *caller, const struct topic *topic, size_t from)
{
	GString *out = g_string_new(NULL);

	put_number(out, topic->records->len, 8);
	put_number(out, topic->first, 8);
	for (size_t i = from; i < topic->records->len; i++) {
		const struct record *record = g_ptr_array_index(topic->records, i);
		size_t key = strlen(record->key);

		put_number(out, 1 + key + record->value->len, 4);
		g_string_append_c(out, (char)key);
		g_string_append(out, record->key);
		g_string_append_len(out, record->value->str, (gssize)record->value->len);
	}
	reply(caller, 200, out->str, out->len);
	g_string_free(out, TRUE);
}

static void answer_newest(struct cw_caller *caller, const struct topic *topic)
{
	GString *out = g_string_new("{\"items\":[");
	int count = 0;

	for (size_t i = 0; i < topic->records->len; i++) {
		const struct record *record = g_ptr_array_index(topic->records, i);
		int is_newest = record->value->len > 0;
		char *value;

		for (size_t j = i + 1; j < topic->records->len && is_newest; j++)
			is_newest = strcmp(record->key,
					   ((struct record *)g_ptr_array_index(topic->records, j))
						   ->key) != 0;
		if (!is_newest)
			continue;
		value = g_base64_encode((const guchar *)record->value->str, record->value->len);
		g_string_append_printf(out, "%s{\"key\":\"%s\",\"value\":\"%s\",\"offset\":%zu}",
				       count++ ? "," : "", record->key, value, i);
		g_free(value);
	}
	g_string_append_printf(out, "],\"has_more\":false,\"end_offset\":%u}", topic->records->len);
	reply(caller, 200, out->str, out->len);
	g_string_free(out, TRUE);
}

static void answer_append(struct cw_caller *caller, struct topic *topic,
			  const struct cw_message *request)
{
	char at[32];
	char key[256];
	const char *body = request->body->str;
	size_t length = (unsigned char)body[4];

	query(request->target->str, "at", at, sizeof(at));
	if (*at && strtoul(at, NULL, 10) != topic->records->len) {
		reply(caller, 412, "{}", 2);
		return;
	}
	memcpy(key, body + 5, length);
	key[length] = '\0';
	append(topic, key, body + 5 + length, request->body->len - 5 - length);
	if (strcmp(mode, "lost") != 0)
		reply(caller, 200, "{}", 2);
}

static void hold(struct cw_caller *caller, struct topic *topic, size_t from, long wait_ms,
		 int is_lost)
{
	struct waiting *waiting = g_new0(struct waiting, 1);

	waiting->caller = caller;
	waiting->topic = topic;
	waiting->from = from;
	waiting->until_ms = uv_now(&loop) + (uint64_t)wait_ms;
	waiting->not_before_ms = strcmp(mode, "slow") ? 0 : uv_now(&loop) + SLOW_MS;
	waiting->is_lost = is_lost;
	TAILQ_INSERT_TAIL(&waitings, waiting, link);
	cw_caller_set_request(caller, waiting);
}

static void on_tick(uv_timer_t *timer)
{
	struct waiting *waiting = TAILQ_FIRST(&waitings);

	while (waiting) {
		struct waiting *next = TAILQ_NEXT(waiting, link);
		uint64_t now_ms = uv_now(&loop);

		if (!waiting->is_lost && now_ms >= waiting->not_before_ms &&
		    (waiting->topic->records->len > waiting->from || now_ms >= waiting->until_ms)) {
			TAILQ_REMOVE(&waitings, waiting, link);
			answer_read(waiting->caller, waiting->topic, waiting->from);
			g_free(waiting);
		}
		waiting = next;
	}
}

static void on_gone(void *context)
{
	struct waiting *waiting = context;

	TAILQ_REMOVE(&waitings, waiting, link);
	g_free(waiting);
}

static void on_room(void *context)
{
}

static void on_admin(struct cw_caller *caller, const struct cw_message *request)
{
	const char *target = request->target->str;
	struct topic *topic = find_topic(target);
	struct waiting *waiting;
	char key[256];
	char text[32];

	query(target, "key", key, sizeof(key));
	if (g_str_has_prefix(target, "/admin/mode")) {
		query(target, "m", mode, sizeof(mode));
	} else if (g_str_has_prefix(target, "/admin/put")) {
		append(topic, key, request->body->str, request->body->len);
	} else if (g_str_has_prefix(target, "/admin/expire")) {
		topic->first = topic->records->len;
	} else if (g_str_has_prefix(target, "/admin/deaf")) {
		TAILQ_FOREACH(waiting, &waitings, link)
			waiting->is_lost |= waiting->topic == topic;
	} else if (g_str_has_prefix(target, "/admin/miss")) {
		TAILQ_FOREACH(waiting, &waitings, link)
			if (waiting->topic == topic)
				waiting->not_before_ms = waiting->until_ms;
	} else if (g_str_has_prefix(target, "/admin/calls")) {
		snprintf(text, sizeof(text), "%lu\n", calls);
		reply(caller, 200, text, strlen(text));
		return;
	} else if (g_str_has_prefix(target, "/admin/newest")) {
		const struct record *newest = NULL;

		for (size_t i = 0; i < topic->records->len; i++)
			if (!strcmp(((struct record *)g_ptr_array_index(topic->records, i))->key,
				    key))
				newest = g_ptr_array_index(topic->records, i);
		reply(caller, newest ? 200 : 404, newest ? newest->value->str : "",
		      newest ? newest->value->len : 0);
		return;
	}
	reply(caller, 200, "", 0);
}

static void on_request(void *context, struct cw_caller *caller, struct cw_message *request)
{
	const char *target = request->target->str;
	struct topic *topic = find_topic(target);
	char from[64];
	char wait_ms[32];

	if (g_str_has_prefix(target, "/admin/")) {
		on_admin(caller, request);
		return;
	}
	calls++;
	if (!strcmp(mode, "silent") || !topic) {
		hold(caller, &topics[0], 0, 0, 1);
	} else if (!strcmp(mode, "busy") || !strcmp(mode, "many")) {
		reply(caller, *mode == 'b' ? 503 : 429, "", 0);
	} else if (!strcmp(mode, "reset")) {
		cw_caller_abort(caller);
	} else if (g_str_has_prefix(target, "/v1/log-newest")) {
		answer_newest(caller, topic);
	} else if (g_str_has_prefix(target, "/v1/log-append")) {
		answer_append(caller, topic, request);
	} else {
		query(target, "from", from, sizeof(from));
		query(target, "wait_ms", wait_ms, sizeof(wait_ms));
		if (strtoul(from, NULL, 10) < topic->first) {
			snprintf(from, sizeof(from), "{\"first_offset\":%zu}", topic->first);
			reply(caller, 410, from, strlen(from));
			return;
		}
		hold(caller, topic, strtoul(from, NULL, 10), strtol(wait_ms, NULL, 10), 0);
	}
}

static const struct cw_listener_ops ops = {on_request, on_gone, on_room, NULL};

static void on_signal(uv_signal_t *signal, int number)
{
	exit(0);
}

int main(int argc, char **argv)
{
	struct arg_str *listen = arg_str1(NULL, "listen", "IP:PORT", "where it listens");
	struct arg_lit *help = arg_lit0(NULL, "help", "print this help and exit");
	struct arg_end *end = arg_end(4);
	void *table[] = {listen, help, end};
	struct cw_error error = {0};
	uv_timer_t tick;
	uv_signal_t term;

	if (arg_parse(argc, argv, table) || help->count) {
		printf("usage: standin-users-store");
		arg_print_syntax(stdout, table, "\n");
		return help->count ? 0 : 2;
	}
	uv_loop_init(&loop);
	for (size_t i = 0; i < G_N_ELEMENTS(topics); i++)
		topics[i].records = g_ptr_array_new();
	if (!cw_listener_create(&loop, listen->sval[0], &ops, NULL, &error)) {
		fprintf(stderr, "%s: %s\n", error.peer, error.message);
		return 3;
	}
	uv_timer_init(&loop, &tick);
	uv_timer_start(&tick, on_tick, TICK_MS, TICK_MS);
	uv_signal_init(&loop, &term);
	uv_signal_start(&term, on_signal, SIGTERM);
	printf("listening %s\n", listen->sval[0]);
	fflush(stdout);
	uv_run(&loop, UV_RUN_DEFAULT);
	return 0;
}
