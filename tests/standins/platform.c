/*
 * standin-platform: the shared store's log, the server list and the rating service, in memory.
 * POST /control takes a JSON object with any of
 *   outage        true: every other call is answered with 503
 *   slow_ms       delay of every other call
 *   lose_answers  the next N appends are stored but answered with 500
 *   refuse        the next N appends are answered with 429 and not stored
 *   expire        {"STREAM":FIRST}: removes the stream's records before offset FIRST
 *   lose          {"STREAM":N}: removes the stream's newest N records; their offsets are given out
 *                 again
 *   members       the server list
 *   scores        {"MODEL/VERSION":S}: the rating service's scores
 */
#include "standin.h"

#include <argtable2.h>
#include <glib.h>
#include <pthread.h>
#include <stdio.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

struct record {
	int64_t time_ms;
	char *data;
};

struct stream {
	GPtrArray *records; /* of struct record, not expired */
	uint64_t first;	    /* offset of records[0] */
};

struct platform {
	pthread_mutex_t mutex;
	pthread_cond_t appended;
	GHashTable *streams;
	int retention_ms;
	int outage;
	int slow_ms;
	int lost_answers_left;
	int refusals_left;
	struct json_object *members;
	struct json_object *scores;
	uint64_t appends;
	uint64_t reads;
};

static void handle(void *context, const struct cw_http_request *in, struct cw_http_response *out);
static void handle_append(struct platform *platform, const char *name,
			  const struct cw_http_request *in, struct cw_http_response *out);
static void handle_read(struct platform *platform, const char *name,
			const struct cw_http_request *in, struct cw_http_response *out);
static void handle_rating(struct platform *platform, const struct cw_http_request *in,
			  struct cw_http_response *out);
static void handle_control(struct platform *platform, const struct cw_http_request *in,
			   struct cw_http_response *out);
static struct stream *get_stream(struct platform *platform, const char *name);
static void expire(struct platform *platform, struct stream *stream);
static void remove_before(struct stream *stream, uint64_t first);
static void remove_newest(struct stream *stream, guint count);
static void wait_for_append(struct platform *platform, struct stream *stream, uint64_t from,
			    int wait_ms);
static void reply_error(struct cw_http_response *out, int status);

int main(int argc, char **argv)
{
	struct arg_int *port =
		arg_int0(NULL, "port", "N", "port to listen on; 0: the kernel chooses");
	struct arg_int *retention =
		arg_int0(NULL, "retention-ms", "N", "remove records after N ms; 0: never");
	struct arg_lit *help = arg_lit0(NULL, "help", "print this help and exit");
	struct arg_end *end = arg_end(20);
	void *table[] = {port, retention, help, end};
	struct platform platform = {.mutex = PTHREAD_MUTEX_INITIALIZER,
				    .appended = PTHREAD_COND_INITIALIZER};
	struct cw_http_server *server;

	port->ival[0] = 0;
	retention->ival[0] = 0;
	if (arg_parse(argc, argv, table) || help->count) {
		arg_print_glossary(stdout, table, "  %-20s %s\n");
		return help->count ? 0 : 2;
	}
	platform.retention_ms = retention->ival[0];
	platform.streams = g_hash_table_new(g_str_hash, g_str_equal);
	platform.members = json_object_new_array();
	platform.scores = json_object_new_object();
	server = standin_listen(port->ival[0], handle, &platform);
	standin_wait();
	cw_http_server_destroy(server);
	arg_freetable(table, sizeof(table) / sizeof(table[0]));
	return 0;
}

static void handle(void *context, const struct cw_http_request *in, struct cw_http_response *out)
{
	struct platform *platform = context;
	char name[64] = "";

	if (!strcmp(in->path, "/control")) {
		handle_control(platform, in, out);
		return;
	}
	pthread_mutex_lock(&platform->mutex);
	if (platform->slow_ms) {
		int slow_ms = platform->slow_ms;

		pthread_mutex_unlock(&platform->mutex);
		usleep((useconds_t)slow_ms * 1000);
		pthread_mutex_lock(&platform->mutex);
	}
	if (platform->outage) {
		reply_error(out, 503);
	} else if (sscanf(in->path, "/log/%63[a-z]", name) == 1) {
		if (!strcmp(in->method, "POST"))
			handle_append(platform, name, in, out);
		else
			handle_read(platform, name, in, out);
	} else if (!strcmp(in->path, "/list")) {
		struct json_object *body = json_object_new_object();

		json_object_object_add(body, "members", json_object_get(platform->members));
		standin_reply(out, 200, body);
	} else if (!strcmp(in->path, "/ratings")) {
		handle_rating(platform, in, out);
	} else {
		reply_error(out, 404);
	}
	pthread_mutex_unlock(&platform->mutex);
}

static void handle_append(struct platform *platform, const char *name,
			  const struct cw_http_request *in, struct cw_http_response *out)
{
	struct stream *stream = get_stream(platform, name);
	struct json_object *parsed = standin_parse(in);
	struct json_object *body;
	struct record *record;

	if (!parsed) {
		reply_error(out, 400);
		return;
	}
	json_object_put(parsed);
	if (platform->refusals_left > 0) {
		platform->refusals_left--;
		reply_error(out, 429);
		return;
	}
	record = g_new0(struct record, 1);
	record->time_ms = standin_now_ms();
	record->data = g_strndup(in->body, in->body_size);
	g_ptr_array_add(stream->records, record);
	platform->appends++;
	pthread_cond_broadcast(&platform->appended);
	if (platform->lost_answers_left > 0) {
		platform->lost_answers_left--;
		reply_error(out, 500);
		return;
	}
	body = json_object_new_object();
	json_object_object_add(
		body, "offset",
		json_object_new_int64((int64_t)(stream->first + stream->records->len - 1)));
	standin_reply(out, 201, body);
}

static void handle_read(struct platform *platform, const char *name,
			const struct cw_http_request *in, struct cw_http_response *out)
{
	struct stream *stream = get_stream(platform, name);
	char text[32];
	uint64_t from =
		g_ascii_strtoull(standin_query(in->path, "from", text, sizeof(text)), NULL, 10);
	uint64_t max =
		g_ascii_strtoull(standin_query(in->path, "max", text, sizeof(text)), NULL, 10);
	int wait_ms = (int)g_ascii_strtoull(standin_query(in->path, "wait_ms", text, sizeof(text)),
					    NULL, 10);
	struct json_object *body = json_object_new_object();
	struct json_object *records = json_object_new_array();
	uint64_t offset = from;

	platform->reads++;
	expire(platform, stream);
	if (from >= stream->first)
		wait_for_append(platform, stream, from, wait_ms);
	expire(platform, stream);
	json_object_object_add(body, "first", json_object_new_int64((int64_t)stream->first));
	if (from < stream->first) {
		json_object_put(records);
		standin_reply(out, 410, body);
		return;
	}
	for (; offset < stream->first + stream->records->len && offset - from < max; offset++) {
		struct record *record = g_ptr_array_index(stream->records, offset - stream->first);
		struct json_object *item = json_object_new_object();

		json_object_object_add(item, "offset", json_object_new_int64((int64_t)offset));
		json_object_object_add(item, "time_ms", json_object_new_int64(record->time_ms));
		json_object_object_add(item, "data", json_tokener_parse(record->data));
		json_object_array_add(records, item);
	}
	json_object_object_add(body, "next", json_object_new_int64((int64_t)offset));
	json_object_object_add(body, "records", records);
	standin_reply(out, 200, body);
}

static void handle_rating(struct platform *platform, const struct cw_http_request *in,
			  struct cw_http_response *out)
{
	struct json_object *parsed = standin_parse(in);
	struct json_object *body = json_object_new_object();
	char *version = g_strdup_printf("%s/%s", standin_text(parsed, "model", ""),
					standin_text(parsed, "version", ""));
	struct json_object *score;
	double value = strstr(standin_text(parsed, "answer", ""), "bad") ? 0.2 : 0.9;

	if (json_object_object_get_ex(platform->scores, version, &score))
		value = json_object_get_double(score);
	json_object_object_add(body, "score", json_object_new_double(value));
	standin_reply(out, 200, body);
	g_free(version);
	json_object_put(parsed);
}

static void handle_control(struct platform *platform, const struct cw_http_request *in,
			   struct cw_http_response *out)
{
	struct json_object *parsed = standin_parse(in);
	struct json_object *body = json_object_new_object();
	struct json_object *value;

	pthread_mutex_lock(&platform->mutex);
	platform->outage = (int)standin_number(parsed, "outage", platform->outage);
	platform->slow_ms = (int)standin_number(parsed, "slow_ms", platform->slow_ms);
	platform->lost_answers_left =
		(int)standin_number(parsed, "lose_answers", platform->lost_answers_left);
	platform->refusals_left = (int)standin_number(parsed, "refuse", platform->refusals_left);
	if (json_object_object_get_ex(parsed, "members", &value)) {
		json_object_put(platform->members);
		platform->members = json_object_get(value);
	}
	if (json_object_object_get_ex(parsed, "scores", &value)) {
		json_object_put(platform->scores);
		platform->scores = json_object_get(value);
	}
	if (json_object_object_get_ex(parsed, "expire", &value)) {
		json_object_object_foreach(value, name, first)
		{
			remove_before(get_stream(platform, name),
				      (uint64_t)json_object_get_int64(first));
		}
	}
	if (json_object_object_get_ex(parsed, "lose", &value)) {
		json_object_object_foreach(value, name, count)
		{
			remove_newest(get_stream(platform, name),
				      (guint)json_object_get_int64(count));
		}
	}
	json_object_object_add(body, "appends", json_object_new_int64((int64_t)platform->appends));
	json_object_object_add(body, "reads", json_object_new_int64((int64_t)platform->reads));
	pthread_cond_broadcast(&platform->appended);
	pthread_mutex_unlock(&platform->mutex);
	standin_reply(out, 200, body);
	json_object_put(parsed);
}

static struct stream *get_stream(struct platform *platform, const char *name)
{
	struct stream *stream = g_hash_table_lookup(platform->streams, name);

	if (!stream) {
		stream = g_new0(struct stream, 1);
		stream->records = g_ptr_array_new();
		stream->first = 1;
		g_hash_table_insert(platform->streams, g_strdup(name), stream);
	}
	return stream;
}

static void expire(struct platform *platform, struct stream *stream)
{
	int64_t before_ms = standin_now_ms() - platform->retention_ms;

	while (platform->retention_ms && stream->records->len > 0) {
		struct record *record = g_ptr_array_index(stream->records, 0);

		if (record->time_ms >= before_ms)
			break;
		remove_before(stream, stream->first + 1);
	}
}

static void remove_before(struct stream *stream, uint64_t first)
{
	while (stream->first < first && stream->records->len > 0) {
		struct record *record = g_ptr_array_index(stream->records, 0);

		g_free(record->data);
		g_free(record);
		g_ptr_array_remove_index(stream->records, 0);
		stream->first++;
	}
}

static void remove_newest(struct stream *stream, guint count)
{
	while (count-- > 0 && stream->records->len > 0) {
		guint last = stream->records->len - 1;
		struct record *record = g_ptr_array_index(stream->records, last);

		g_free(record->data);
		g_free(record);
		g_ptr_array_remove_index(stream->records, last);
	}
}

static void wait_for_append(struct platform *platform, struct stream *stream, uint64_t from,
			    int wait_ms)
{
	struct timespec until;

	clock_gettime(CLOCK_REALTIME, &until);
	until.tv_sec += wait_ms / 1000;
	until.tv_nsec += (wait_ms % 1000) * 1000000L;
	if (until.tv_nsec >= 1000000000L) {
		until.tv_sec++;
		until.tv_nsec -= 1000000000L;
	}
	while (wait_ms > 0 && !platform->outage && from >= stream->first + stream->records->len)
		if (pthread_cond_timedwait(&platform->appended, &platform->mutex, &until))
			break;
}

static void reply_error(struct cw_http_response *out, int status)
{
	cw_http_response_add_header(out, "Retry-After", "1");
	cw_http_response_set_json(out, status, g_strdup("{\"error\":\"stand-in\"}"));
}
