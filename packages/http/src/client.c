#include "cw_http_client.h"
#include "cw_counters.h"

#include <curl/curl.h>
#include <errno.h>
#include <glib.h>
#include <math.h>
#include <pthread.h>
#include <stdio.h>
#include <string.h>
#include <strings.h>

#define MAX_IDLE_HANDLES	   64 /* idle handles kept, with their connections */
#define MAX_CONNECTIONS_PER_HANDLE 32 /* keep-alive connections of a handle */
#define INTERIM_HEADS_MAX	   16 /* before an answer: a server that sends more is broken */
#define RETRY_AFTER_MAX_S	   86400.0 /* a day; no caller waits for longer */
#define STEP			   "http.call"

struct transfer {
	const struct cw_http_call *call;
	struct cw_http_answer *answer;
	CURL *curl;
	GString *body;
	size_t received_bytes;
	unsigned int heads; /* interim ones too */
	int is_head_reported;
	int is_aborted; /* by a callback of the caller */
	int is_too_long;
	int64_t start_us;
	int64_t last_us;
};

static pthread_mutex_t handles_mutex = PTHREAD_MUTEX_INITIALIZER;
static CURL *handles[MAX_IDLE_HANDLES];
static size_t handle_count;
static int is_interrupted;

static enum cw_status pooled_perform(const struct cw_http_call *call, struct cw_http_answer *answer,
				     struct cw_error *error);
static CURL *take_handle(void);
static void return_handle(CURL *curl);
static void set_options(struct transfer *transfer, struct curl_slist *headers, const char *url);
static struct curl_slist *build_header_list(const struct cw_http_call *call);
static int64_t parse_retry_after_ms(const char *value);
static size_t on_header(char *data, size_t unit, size_t count, void *context);
static size_t on_body(char *data, size_t unit, size_t count, void *context);
static int on_progress(void *context, curl_off_t download_size, curl_off_t downloaded,
		       curl_off_t upload_size, curl_off_t uploaded);
static int report_head(struct transfer *transfer);
static enum cw_status classify_result(const struct transfer *transfer, CURLcode code,
				      struct cw_error *error);
static int is_refused(const struct transfer *transfer);
static int is_closed_by_peer(CURLcode code);

const struct cw_http_transport cw_http_pooled = {"pooled", pooled_perform};

void cw_http_open(void)
{
	curl_global_init(CURL_GLOBAL_ALL);
}

void cw_http_abort_calls(void)
{
	__atomic_store_n(&is_interrupted, 1, __ATOMIC_RELEASE);
}

void cw_http_close(void)
{
	pthread_mutex_lock(&handles_mutex);
	while (handle_count > 0)
		curl_easy_cleanup(handles[--handle_count]);
	pthread_mutex_unlock(&handles_mutex);
	curl_global_cleanup();
}

enum cw_status cw_http_perform(const struct cw_http_call *call, struct cw_http_answer *answer,
			       struct cw_error *error)
{
	return cw_http_pooled.perform(call, answer, error);
}

void cw_http_answer_clear(struct cw_http_answer *answer)
{
	g_clear_pointer(&answer->body, g_free);
}

static enum cw_status pooled_perform(const struct cw_http_call *call, struct cw_http_answer *answer,
				     struct cw_error *error)
{
	struct transfer transfer = {.call = call, .answer = answer};
	char *url = g_strdup_printf("http://%s%s", call->address, call->path);
	struct curl_slist *headers = build_header_list(call);
	enum cw_status status;
	CURLcode code;
	long http_status = 0;

	memset(answer, 0, sizeof(*answer));
	answer->first_ms = -1;
	transfer.curl = take_handle();
	transfer.body = call->on_data ? NULL : g_string_new(NULL);
	transfer.start_us = g_get_monotonic_time();
	transfer.last_us = transfer.start_us;
	set_options(&transfer, headers, url);
	code = curl_easy_perform(transfer.curl);
	if (code == CURLE_OK && !transfer.is_head_reported && report_head(&transfer))
		code = CURLE_WRITE_ERROR;
	curl_easy_getinfo(transfer.curl, CURLINFO_RESPONSE_CODE, &http_status);
	answer->status = (int)http_status;
	answer->total_ms = (double)(g_get_monotonic_time() - transfer.start_us) / 1000;
	status = classify_result(&transfer, code, error);
	answer->is_closed_by_peer = (status == CW_UNKNOWN && is_closed_by_peer(code)) ||
				    (status == CW_UNREACHABLE && is_refused(&transfer));
	if (transfer.body) {
		answer->size = transfer.body->len;
		answer->body = g_string_free(transfer.body, FALSE);
	}
	curl_slist_free_all(headers);
	return_handle(transfer.curl);
	g_free(url);
	return status;
}

static CURL *take_handle(void)
{
	CURL *curl = NULL;

	pthread_mutex_lock(&handles_mutex);
	if (handle_count > 0)
		curl = handles[--handle_count];
	pthread_mutex_unlock(&handles_mutex);
	return curl ? curl : curl_easy_init();
}

static void return_handle(CURL *curl)
{
	curl_easy_reset(curl);
	pthread_mutex_lock(&handles_mutex);
	if (handle_count < MAX_IDLE_HANDLES) {
		handles[handle_count++] = curl;
		curl = NULL;
	}
	pthread_mutex_unlock(&handles_mutex);
	if (curl)
		curl_easy_cleanup(curl);
}

static void set_options(struct transfer *transfer, struct curl_slist *headers, const char *url)
{
	const struct cw_http_call *call = transfer->call;
	CURL *curl = transfer->curl;

	curl_easy_setopt(curl, CURLOPT_URL, url);
	curl_easy_setopt(curl, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(curl, CURLOPT_NOPROXY, "*");
	curl_easy_setopt(curl, CURLOPT_PROTOCOLS_STR, "http");
	curl_easy_setopt(curl, CURLOPT_HTTP_VERSION, (long)CURL_HTTP_VERSION_1_1);
	curl_easy_setopt(curl, CURLOPT_MAXCONNECTS, (long)MAX_CONNECTIONS_PER_HANDLE);
	curl_easy_setopt(curl, CURLOPT_TCP_NODELAY, 1L);
	curl_easy_setopt(curl, CURLOPT_CUSTOMREQUEST, call->method);
	curl_easy_setopt(curl, CURLOPT_HTTPHEADER, headers);
	curl_easy_setopt(curl, CURLOPT_CONNECTTIMEOUT_MS, (long)call->connect_ms);
	curl_easy_setopt(curl, CURLOPT_TIMEOUT_MS, (long)MAX(call->total_ms, 1));
	curl_easy_setopt(curl, CURLOPT_HEADERFUNCTION, on_header);
	curl_easy_setopt(curl, CURLOPT_HEADERDATA, transfer);
	curl_easy_setopt(curl, CURLOPT_WRITEFUNCTION, on_body);
	curl_easy_setopt(curl, CURLOPT_WRITEDATA, transfer);
	if (!strcmp(call->method, "HEAD"))
		curl_easy_setopt(curl, CURLOPT_NOBODY, 1L);
	if (call->body || !strcmp(call->method, "POST") || !strcmp(call->method, "PUT")) {
		curl_easy_setopt(curl, CURLOPT_POSTFIELDS, call->body ? call->body : "");
		curl_easy_setopt(curl, CURLOPT_POSTFIELDSIZE, (long)call->body_size);
	}
	/*
	 * libcurl silently retries a request if a reused connection ends without an answer. The
	 * server may have received the first attempt, and a non-idempotent request would run twice.
	 * libcurl never retries on a new connection.
	 */
	if (call->forbids_retry || call->is_rerun)
		curl_easy_setopt(curl, CURLOPT_FRESH_CONNECT, 1L);
	if (call->forbids_retry)
		curl_easy_setopt(curl, CURLOPT_FORBID_REUSE, 1L);
	curl_easy_setopt(curl, CURLOPT_NOPROGRESS, 0L);
	curl_easy_setopt(curl, CURLOPT_XFERINFOFUNCTION, on_progress);
	curl_easy_setopt(curl, CURLOPT_XFERINFODATA, transfer);
}

static struct curl_slist *build_header_list(const struct cw_http_call *call)
{
	struct curl_slist *list = curl_slist_append(NULL, "Expect:");

	for (size_t i = 0; call->headers && call->headers[i]; i++)
		list = curl_slist_append(list, call->headers[i]);
	return list;
}

/* Seconds; a date or an invalid number counts as none. */
static int64_t parse_retry_after_ms(const char *value)
{
	char *end;
	double seconds = g_ascii_strtod(value, &end);

	if (end == value || *end || !isfinite(seconds) || seconds < 0)
		return 0;
	return (int64_t)(MIN(seconds, RETRY_AFTER_MAX_S) * 1000);
}

static size_t on_header(char *data, size_t unit, size_t count, void *context)
{
	struct transfer *transfer = context;
	char *line = g_strndup(data, unit * count);
	char *value = strchr(line, ':');

	if (g_str_has_prefix(line, "HTTP/") && ++transfer->heads > INTERIM_HEADS_MAX + 1) {
		g_free(line);
		return 0;
	}
	if (value) {
		*value++ = '\0';
		g_strstrip(value);
		if (!strcasecmp(line, "Content-Type"))
			g_strlcpy(transfer->answer->content_type, value,
				  sizeof(transfer->answer->content_type));
		else if (!strcasecmp(line, "X-Request-Id"))
			g_strlcpy(transfer->answer->request_id, value, CW_ID_MAX);
		else if (!strcasecmp(line, "Retry-After"))
			transfer->answer->retry_after_ms = parse_retry_after_ms(value);
	}
	g_free(line);
	return unit * count;
}

static size_t on_body(char *data, size_t unit, size_t count, void *context)
{
	struct transfer *transfer = context;
	size_t size = unit * count;

	transfer->last_us = g_get_monotonic_time();
	if (transfer->answer->first_ms < 0)
		transfer->answer->first_ms =
			(double)(transfer->last_us - transfer->start_us) / 1000;
	if (report_head(transfer))
		return 0;
	transfer->received_bytes += size;
	if (transfer->call->max_size && transfer->received_bytes > transfer->call->max_size) {
		transfer->is_too_long = 1;
		return 0;
	}
	if (!transfer->call->on_data) {
		g_string_append_len(transfer->body, data, (gssize)size);
		return size;
	}
	if (transfer->call->on_data(transfer->call->context, data, size)) {
		transfer->is_aborted = 1;
		return 0;
	}
	return size;
}

static int on_progress(void *context, curl_off_t download_size, curl_off_t downloaded,
		       curl_off_t upload_size, curl_off_t uploaded)
{
	struct transfer *transfer = context;
	int64_t idle_us = g_get_monotonic_time() - transfer->last_us;
	int limit_ms;

	if (__atomic_load_n(&is_interrupted, __ATOMIC_ACQUIRE))
		return 1;
	if (transfer->call->is_cancelled && transfer->call->is_cancelled(transfer->call->context)) {
		transfer->is_aborted = 1;
		return 1;
	}
	limit_ms =
		transfer->answer->first_ms < 0 ? transfer->call->first_ms : transfer->call->idle_ms;
	return limit_ms > 0 && idle_us > (int64_t)limit_ms * 1000;
}

static int report_head(struct transfer *transfer)
{
	long status = 0;

	if (transfer->is_head_reported || !transfer->call->on_head)
		return 0;
	transfer->is_head_reported = 1;
	curl_easy_getinfo(transfer->curl, CURLINFO_RESPONSE_CODE, &status);
	if (!transfer->call->on_head(transfer->call->context, (int)status,
				     transfer->answer->request_id, transfer->answer->content_type))
		return 0;
	transfer->is_aborted = 1;
	return 1;
}

static enum cw_status classify_result(const struct transfer *transfer, CURLcode code,
				      struct cw_error *error)
{
	const char *peer = transfer->call->address;
	long sent = 0;

	if (code == CURLE_OK)
		return CW_OK;
	if (transfer->is_too_long)
		return cw_error_set(error, CW_FULL, STEP, peer,
				    "the answer is longer than %zu bytes",
				    transfer->call->max_size);
	if (transfer->is_aborted)
		return cw_error_set(error, CW_CLOSED, STEP, peer, "ended here");
	curl_easy_getinfo(transfer->curl, CURLINFO_REQUEST_SIZE, &sent);
	if (sent == 0)
		return cw_error_set(error, CW_UNREACHABLE, STEP, peer, "%s",
				    curl_easy_strerror(code));
	return cw_error_set(error, CW_UNKNOWN, STEP, peer, "%s", curl_easy_strerror(code));
}

static int is_refused(const struct transfer *transfer)
{
	long number = 0;

	curl_easy_getinfo(transfer->curl, CURLINFO_OS_ERRNO, &number);
	return number == ECONNREFUSED;
}

/* CURLE_COULDNT_CONNECT: libcurl reconnects after a reused connection broke, and may be refused. */
static int is_closed_by_peer(CURLcode code)
{
	return code == CURLE_GOT_NOTHING || code == CURLE_RECV_ERROR || code == CURLE_SEND_ERROR ||
	       code == CURLE_PARTIAL_FILE || code == CURLE_COULDNT_CONNECT;
}
