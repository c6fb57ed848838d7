#include "cw_platform.h"
#include "cw_http_client.h"

#include <glib.h>
#include <json-c/json.h>
#include <stdio.h>
#include <string.h>

#define CONNECT_TIMEOUT_MS    500
#define ANSWER_TIMEOUT_MS     1500 /* in addition to the wait that a read requests */
#define RATING_TIMEOUT_MS     2500
#define ANSWER_SIZE_MAX_BYTES (16 * 1024 * 1024)

static enum cw_status http_append(const char *platform, const char *stream, const char *data,
				  uint64_t *offset, struct cw_error *error);
static enum cw_status http_read(const char *platform, const char *stream, uint64_t from, size_t max,
				int wait_ms, struct cw_platform_read_result *read,
				struct cw_error *error);
static enum cw_status http_list(const char *platform, struct cw_platform_member **members,
				size_t *count, struct cw_error *error);
static enum cw_status http_rate(const char *platform, const struct cw_rating_request *request,
				double *score, struct cw_error *error);
static enum cw_status send_call(const char *method, const char *platform, const char *path,
				const char *body, int total_ms, int forbids_retry,
				struct json_object **answer, int *http_status,
				struct cw_error *error);
static void parse_records(struct json_object *answer, struct cw_platform_read_result *read);
static int parse_member(struct json_object *source, struct cw_platform_member *member);
static void copy_string(struct json_object *object, const char *key, char *text, size_t size);
static uint64_t get_uint64(struct json_object *object, const char *key);

const struct cw_log_ops cw_log_http = {http_append, http_read};
const struct cw_member_list_ops cw_member_list_http = {http_list};
const struct cw_rating_ops cw_rating_http = {http_rate};

void cw_platform_read_result_clear(struct cw_platform_read_result *read)
{
	for (size_t i = 0; i < read->count; i++)
		g_free(read->records[i].data);
	g_clear_pointer(&read->records, g_free);
	read->count = 0;
}

static enum cw_status http_append(const char *platform, const char *stream, const char *data,
				  uint64_t *offset, struct cw_error *error)
{
	char *path = g_strdup_printf("/log/%s", stream);
	struct json_object *answer = NULL;
	int http_status = 0;
	enum cw_status status = send_call("POST", platform, path, data, ANSWER_TIMEOUT_MS, 1,
					  &answer, &http_status, error);

	g_free(path);
	if (status == CW_OK) {
		*offset = get_uint64(answer, "offset");
		if (http_status == 429 || http_status == 503)
			status = cw_error_set(error, CW_REFUSED, "log.append", platform,
					      "status %d", http_status);
		else if (http_status != 201 || *offset == 0)
			status = cw_error_set(error, CW_UNKNOWN, "log.append", platform,
					      "status %d", http_status);
	}
	json_object_put(answer);
	return status;
}

static enum cw_status http_read(const char *platform, const char *stream, uint64_t from, size_t max,
				int wait_ms, struct cw_platform_read_result *read,
				struct cw_error *error)
{
	char *path = g_strdup_printf("/log/%s?from=%" G_GUINT64_FORMAT "&max=%zu&wait_ms=%d",
				     stream, from, max, wait_ms);
	struct json_object *answer = NULL;
	int http_status = 0;
	enum cw_status status = send_call("GET", platform, path, NULL, wait_ms + ANSWER_TIMEOUT_MS,
					  0, &answer, &http_status, error);

	g_free(path);
	memset(read, 0, sizeof(*read));
	if (status == CW_OK) {
		read->first_offset = get_uint64(answer, "first");
		if (http_status == 410)
			status = CW_EXPIRED;
		else if (http_status != 200)
			status = cw_error_set(error, CW_REFUSED, "log.read", platform, "status %d",
					      http_status);
		else
			parse_records(answer, read);
	}
	json_object_put(answer);
	return status;
}

static enum cw_status http_list(const char *platform, struct cw_platform_member **members,
				size_t *count, struct cw_error *error)
{
	struct json_object *answer = NULL;
	struct json_object *list;
	int http_status = 0;
	enum cw_status status = send_call("GET", platform, "/list", NULL, ANSWER_TIMEOUT_MS, 0,
					  &answer, &http_status, error);

	*members = NULL;
	*count = 0;
	if (status == CW_OK && http_status != 200)
		status = cw_error_set(error, CW_REFUSED, "list.read", platform, "status %d",
				      http_status);
	if (status == CW_OK && json_object_object_get_ex(answer, "members", &list) &&
	    json_object_is_type(list, json_type_array)) {
		*members = g_new0(struct cw_platform_member, json_object_array_length(list) + 1);
		for (size_t i = 0; i < json_object_array_length(list); i++)
			*count += (size_t)parse_member(json_object_array_get_idx(list, i),
						       &(*members)[*count]);
	}
	json_object_put(answer);
	return status;
}

static enum cw_status http_rate(const char *platform, const struct cw_rating_request *request,
				double *score, struct cw_error *error)
{
	struct json_object *body = json_object_new_object();
	struct json_object *answer = NULL;
	struct json_object *value;
	int http_status = 0;
	enum cw_status status;

	json_object_object_add(body, "request_id", json_object_new_string(request->request_id));
	json_object_object_add(body, "organisation", json_object_new_string(request->organisation));
	json_object_object_add(body, "model", json_object_new_string(request->model));
	json_object_object_add(body, "version", json_object_new_string(request->version));
	json_object_object_add(body, "task", json_object_new_string(request->task));
	json_object_object_add(body, "answer", json_object_new_string(request->answer));
	status = send_call("POST", platform, "/ratings", json_object_to_json_string(body),
			   RATING_TIMEOUT_MS, 0, &answer, &http_status, error);
	json_object_put(body);
	if (status == CW_OK) {
		if (http_status == 200 && json_object_object_get_ex(answer, "score", &value))
			*score = CLAMP(json_object_get_double(value), 0, 1);
		else
			status = cw_error_set(error, CW_REFUSED, "rating", platform, "status %d",
					      http_status);
	}
	json_object_put(answer);
	return status;
}

static enum cw_status send_call(const char *method, const char *platform, const char *path,
				const char *body, int total_ms, int forbids_retry,
				struct json_object **answer, int *http_status,
				struct cw_error *error)
{
	static const char *const headers[] = {"Content-Type: application/json", NULL};
	struct cw_http_call request = {
		.method = method,
		.address = platform,
		.path = path,
		.headers = headers,
		.body = body,
		.body_size = body ? strlen(body) : 0,
		.connect_ms = CONNECT_TIMEOUT_MS,
		.total_ms = total_ms,
		.forbids_retry = forbids_retry,
		.max_size = ANSWER_SIZE_MAX_BYTES,
	};
	struct cw_http_answer reply;
	enum cw_status status = cw_http_perform(&request, &reply, error);

	*http_status = reply.status;
	if (status == CW_OK)
		*answer = reply.body ? json_tokener_parse(reply.body) : NULL;
	cw_http_answer_clear(&reply);
	return status;
}

static void parse_records(struct json_object *answer, struct cw_platform_read_result *read)
{
	struct json_object *records;

	if (!json_object_object_get_ex(answer, "records", &records) ||
	    !json_object_is_type(records, json_type_array))
		return;
	read->records = g_new0(struct cw_platform_record, json_object_array_length(records) + 1);
	for (size_t i = 0; i < json_object_array_length(records); i++) {
		struct json_object *record = json_object_array_get_idx(records, i);
		struct cw_platform_record *out = &read->records[read->count];
		struct json_object *data;

		if (!json_object_object_get_ex(record, "data", &data))
			data = NULL;
		out->offset = get_uint64(record, "offset");
		out->time_ms = (int64_t)get_uint64(record, "time_ms");
		/* The platform returns a record as JSON or as the string that was appended. */
		if (json_object_is_type(data, json_type_string))
			out->data = g_strdup(json_object_get_string(data));
		else
			out->data = g_strdup(
				json_object_to_json_string_ext(data, JSON_C_TO_STRING_PLAIN));
		read->count++;
	}
}

static int parse_member(struct json_object *source, struct cw_platform_member *member)
{
	char kind[32] = "";
	char state[32] = "";
	struct json_object *value;

	memset(member, 0, sizeof(*member));
	copy_string(source, "kind", kind, sizeof(kind));
	copy_string(source, "state", state, sizeof(state));
	copy_string(source, "name", member->name, CW_NAME_MAX);
	copy_string(source, "address", member->address, CW_ADDRESS_MAX);
	copy_string(source, "peer_address", member->peer_address, CW_ADDRESS_MAX);
	copy_string(source, "failure_domain", member->failure_domain, CW_NAME_MAX);
	copy_string(source, "service", member->service, CW_NAME_MAX);
	member->is_instance = !strcmp(kind, "instance");
	member->is_leaving = !strcmp(state, "leaving");
	member->checks_fencing = json_object_object_get_ex(source, "checks_fencing", &value) &&
				 json_object_get_boolean(value);
	return *member->name && (member->is_instance || !strcmp(kind, "backend_server"));
}

static void copy_string(struct json_object *object, const char *key, char *text, size_t size)
{
	struct json_object *value;

	if (json_object_object_get_ex(object, key, &value) &&
	    json_object_is_type(value, json_type_string))
		g_strlcpy(text, json_object_get_string(value), size);
}

static uint64_t get_uint64(struct json_object *object, const char *key)
{
	struct json_object *value;

	return json_object_object_get_ex(object, key, &value)
		       ? (uint64_t)json_object_get_int64(value)
		       : 0;
}
