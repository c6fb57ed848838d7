/*
 * standin-users-store: the shared store of the users' platform, with four keyed topics in memory
 * that are read by long polls.
 *   POST /admin/put?topic=T&key=K    appends the body as the newest record of K; empty: removes K
 *   POST /admin/mode?m=NAME          sets how other calls are answered from then on: ok, busy
 *                                    (503), many (429), silent (never), reset (connection reset),
 *                                    slow (reads 400 ms late), lost (appends stored, unanswered)
 *   POST /admin/expire?topic=T       the records of T so far can be read only by log-newest
 *   POST /admin/deaf?topic=T         the reads that now wait on T are never answered
 *   POST /admin/miss?topic=T         the reads that now wait on T are answered at their time-out
 *   POST /admin/copy                 takes a copy of all topics
 *   POST /admin/restore?reads=HOW    goes back to that copy and begins the next era; reads that
 *                                    wait are broken, or kept: they go on waiting
 *   POST /admin/rewrite?topic=T      appends the newest lost record of each key again, also of
 *                                    what earlier restorations dropped
 *   POST /admin/era?is=TEXT          names TEXT as the era in later answers; empty: names none
 *   GET /admin/calls                 prints the number of other calls so far
 *   GET /admin/count?topic=T&key=K   prints the number of records of K that T holds
 *   GET /admin/newest?topic=T&key=K  prints the newest value of K
 */
#include "cw_flow.h"

#include <argtable2.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/queue.h>

#define TICK_MS 20  /* between two checks of the waiting reads */
#define SLOW_MS 400 /* delay of reads in mode slow */

struct record {
	char *key;
	GString *value; /* empty: the key was removed */
};

struct topic {
	const char *name;
	GPtrArray *records; /* index = offset */
	size_t first;	    /* lowest offset that can still be read */
	size_t copied;	    /* number of records in the copy */
	GPtrArray *lost;    /* records that were dropped and not written again */
};

struct waiting_read {
	TAILQ_ENTRY(waiting_read) link;
	struct cw_caller *caller;
	struct topic *topic;
	size_t from;
	uint64_t until_ms; /* time-out of the long poll */
	uint64_t not_before_ms;
	int is_never_answered;
};

static uv_loop_t loop;
static struct topic topics[] = {{.name = "keyed.op"},
				{.name = "keyed.servers"},
				{.name = "keyed.status"},
				{.name = "keyed.quarantine"}};
static TAILQ_HEAD(, waiting_read) waiting_reads = TAILQ_HEAD_INITIALIZER(waiting_reads);
static char mode[16] = "ok";
static unsigned long calls;
static char era[32] = "1";

static void get_query(const char *target, const char *name, char *value, size_t size)
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

	get_query(target, "topic", name, sizeof(name));
	for (size_t i = 0; i < G_N_ELEMENTS(topics); i++)
		if (!strcmp(topics[i].name, name))
			return &topics[i];
	return NULL;
}

static void reply(struct cw_caller *caller, unsigned int status, const char *bytes, size_t size)
{
	char fields[64] = "";

	if (*era)
		snprintf(fields, sizeof(fields), "Store-Era: %s\r\n", era);
	cw_caller_send_head(caller, status, fields, (int64_t)size);
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

/* The records at that offset were dropped, or are not there yet. */
static void answer_gone(struct cw_caller *caller, const struct topic *topic)
{
	char text[64];

	snprintf(text, sizeof(text), "{\"first_offset\":%zu}", topic->first);
	reply(caller, 410, text, strlen(text));
}

static void answer_read(struct cw_caller *caller, const struct topic *topic, size_t from)
{
	GString *out;

	if (from < topic->first || from > topic->records->len) {
		answer_gone(caller, topic);
		return;
	}
	out = g_string_new(NULL);
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

	get_query(request->target->str, "at", at, sizeof(at));
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

static void add_waiting_read(struct cw_caller *caller, struct topic *topic, size_t from,
			     long wait_ms, int is_never_answered)
{
	struct waiting_read *waiting_read = g_new0(struct waiting_read, 1);

	waiting_read->caller = caller;
	waiting_read->topic = topic;
	waiting_read->from = from;
	waiting_read->until_ms = uv_now(&loop) + (uint64_t)wait_ms;
	waiting_read->not_before_ms = strcmp(mode, "slow") ? 0 : uv_now(&loop) + SLOW_MS;
	waiting_read->is_never_answered = is_never_answered;
	TAILQ_INSERT_TAIL(&waiting_reads, waiting_read, link);
	cw_caller_set_request(caller, waiting_read);
}

static void on_tick(uv_timer_t *timer)
{
	struct waiting_read *waiting_read = TAILQ_FIRST(&waiting_reads);

	while (waiting_read) {
		struct waiting_read *next = TAILQ_NEXT(waiting_read, link);
		uint64_t now_ms = uv_now(&loop);

		if (!waiting_read->is_never_answered && now_ms >= waiting_read->not_before_ms &&
		    (waiting_read->topic->records->len > waiting_read->from ||
		     now_ms >= waiting_read->until_ms)) {
			TAILQ_REMOVE(&waiting_reads, waiting_read, link);
			answer_read(waiting_read->caller, waiting_read->topic, waiting_read->from);
			g_free(waiting_read);
		}
		waiting_read = next;
	}
}

static void on_disconnect(void *context)
{
	struct waiting_read *waiting_read = context;

	TAILQ_REMOVE(&waiting_reads, waiting_read, link);
	g_free(waiting_read);
}

static void on_writable(void *context)
{
}

static void break_waiting_reads(void)
{
	struct waiting_read *waiting_read;

	while ((waiting_read = TAILQ_FIRST(&waiting_reads))) {
		TAILQ_REMOVE(&waiting_reads, waiting_read, link);
		cw_caller_abort(waiting_read->caller);
		g_free(waiting_read);
	}
}

static void restore_copy(struct topic *topic)
{
	for (size_t i = topic->copied; i < topic->records->len; i++)
		g_ptr_array_add(topic->lost, g_ptr_array_index(topic->records, i));
	g_ptr_array_set_size(topic->records, (gint)MIN(topic->copied, topic->records->len));
	topic->first = MIN(topic->first, topic->copied);
}

/* A later value of the key was written, so the lost one is not written again. */
static void forget_lost(struct topic *topic, const char *key)
{
	for (size_t i = topic->lost->len; i-- > 0;)
		if (!strcmp(((struct record *)g_ptr_array_index(topic->lost, i))->key, key))
			g_ptr_array_remove_index(topic->lost, (guint)i);
}

static void rewrite_lost(struct topic *topic)
{
	for (size_t i = 0; i < topic->lost->len; i++) {
		const struct record *record = g_ptr_array_index(topic->lost, i);
		int is_newest = 1;

		for (size_t j = i + 1; j < topic->lost->len; j++)
			is_newest &=
				strcmp(record->key,
				       ((struct record *)g_ptr_array_index(topic->lost, j))->key) !=
				0;
		if (is_newest)
			append(topic, record->key, record->value->str, record->value->len);
	}
	g_ptr_array_set_size(topic->lost, 0);
}

static void begin_era(const char *target)
{
	char reads[16];

	get_query(target, "reads", reads, sizeof(reads));
	for (size_t i = 0; i < G_N_ELEMENTS(topics); i++)
		restore_copy(&topics[i]);
	if (*era)
		snprintf(era, sizeof(era), "%lu", strtoul(era, NULL, 10) + 1);
	if (strcmp(reads, "kept") != 0)
		break_waiting_reads();
}

static void on_admin(struct cw_caller *caller, const struct cw_message *request)
{
	const char *target = request->target->str;
	struct topic *topic = find_topic(target);
	struct waiting_read *waiting_read;
	char key[256];
	char text[32];

	get_query(target, "key", key, sizeof(key));
	if (g_str_has_prefix(target, "/admin/mode")) {
		get_query(target, "m", mode, sizeof(mode));
	} else if (g_str_has_prefix(target, "/admin/put")) {
		append(topic, key, request->body->str, request->body->len);
		forget_lost(topic, key);
	} else if (g_str_has_prefix(target, "/admin/expire")) {
		topic->first = topic->records->len;
	} else if (g_str_has_prefix(target, "/admin/deaf")) {
		TAILQ_FOREACH(waiting_read, &waiting_reads, link)
			waiting_read->is_never_answered |= waiting_read->topic == topic;
	} else if (g_str_has_prefix(target, "/admin/miss")) {
		TAILQ_FOREACH(waiting_read, &waiting_reads, link)
			if (waiting_read->topic == topic)
				waiting_read->not_before_ms = waiting_read->until_ms;
	} else if (g_str_has_prefix(target, "/admin/copy")) {
		for (size_t i = 0; i < G_N_ELEMENTS(topics); i++)
			topics[i].copied = topics[i].records->len;
	} else if (g_str_has_prefix(target, "/admin/restore")) {
		begin_era(target);
	} else if (g_str_has_prefix(target, "/admin/rewrite")) {
		rewrite_lost(topic);
	} else if (g_str_has_prefix(target, "/admin/era")) {
		get_query(target, "is", era, sizeof(era));
	} else if (g_str_has_prefix(target, "/admin/calls")) {
		snprintf(text, sizeof(text), "%lu\n", calls);
		reply(caller, 200, text, strlen(text));
		return;
	} else if (g_str_has_prefix(target, "/admin/count")) {
		unsigned int count = 0;

		for (size_t i = 0; i < topic->records->len; i++)
			count += !strcmp(
				((struct record *)g_ptr_array_index(topic->records, i))->key, key);
		snprintf(text, sizeof(text), "%u\n", count);
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
		add_waiting_read(caller, &topics[0], 0, 0, 1);
	} else if (!strcmp(mode, "busy") || !strcmp(mode, "many")) {
		reply(caller, *mode == 'b' ? 503 : 429, "", 0);
	} else if (!strcmp(mode, "reset")) {
		cw_caller_abort(caller);
	} else if (g_str_has_prefix(target, "/v1/log-newest")) {
		answer_newest(caller, topic);
	} else if (g_str_has_prefix(target, "/v1/log-append")) {
		answer_append(caller, topic, request);
	} else {
		get_query(target, "from", from, sizeof(from));
		get_query(target, "wait_ms", wait_ms, sizeof(wait_ms));
		if (strtoul(from, NULL, 10) < topic->first ||
		    strtoul(from, NULL, 10) > topic->records->len) {
			answer_gone(caller, topic);
			return;
		}
		add_waiting_read(caller, topic, strtoul(from, NULL, 10), strtol(wait_ms, NULL, 10),
				 0);
	}
}

static const struct cw_listener_ops ops = {on_request, on_disconnect, on_writable, NULL};

static void on_signal(uv_signal_t *signal, int number)
{
	exit(0);
}

int main(int argc, char **argv)
{
	struct arg_str *listen = arg_str1(NULL, "listen", "IP:PORT", "address to listen on");
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
	for (size_t i = 0; i < G_N_ELEMENTS(topics); i++) {
		topics[i].records = g_ptr_array_new();
		topics[i].lost = g_ptr_array_new();
	}
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
