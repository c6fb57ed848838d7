/* cwctl timeline, counters, bills and status. */
#include "cwctl.h"
#include "cw_http_client.h"

#include <glib.h>
#include <stdio.h>
#include <string.h>

#define CALL_TIMEOUT_MS	 3000
#define ANSWER_BYTES_MAX (64 * 1024 * 1024)

struct bills {
	GHashTable *seen_ids; /* "ORGANISATION/BILL" */
	const struct options *options;
	struct grid *grid;
	double cost;
	int64_t count;
	int64_t duplicates;
};

static char *operator_get(const char *address, const char *path);
static gint compare_lines_by_time(gconstpointer a, gconstpointer b);
static void collect_lines(GPtrArray *lines, const char *answer, const char *request);
static void print_record_bills(void *context, uint64_t offset, int64_t time_ms, const char *data);
static void print_bill(struct bills *bills, struct json_object *bill);

enum exit_code show_timeline(const struct options *options)
{
	GPtrArray *lines = g_ptr_array_new_with_free_func(g_free);
	int reached = 0;

	for (size_t i = 0; options->operators[i]; i++) {
		char *answer = operator_get(options->operators[i], "/events?after=0");

		if (!answer)
			continue;
		reached++;
		collect_lines(lines, answer, options->request);
		g_free(answer);
	}
	g_ptr_array_sort(lines, compare_lines_by_time);
	for (guint i = 0; i < lines->len; i++) {
		if (options->json) {
			struct json_object *line = json_object_new_object();

			json_object_object_add(line, "line",
					       json_object_new_string(g_ptr_array_index(lines, i)));
			print_json_line(line);
		} else {
			printf("%s\n", (char *)g_ptr_array_index(lines, i));
		}
	}
	g_ptr_array_unref(lines);
	return reached ? EXIT_DONE : EXIT_UNREACHABLE;
}

enum exit_code show_counters(const struct options *options)
{
	int reached = 0;

	for (size_t i = 0; options->operators[i]; i++) {
		char *answer = operator_get(options->operators[i], "/counters");
		char **lines = g_strsplit(answer ? answer : "", "\n", -1);

		reached += answer != NULL;
		for (size_t j = 0; lines[j] && *lines[j]; j++) {
			if (options->json) {
				struct json_object *line = json_object_new_object();
				char *value = strrchr(lines[j], ' ');

				*value++ = '\0';
				json_object_object_add(
					line, "operators",
					json_object_new_string(options->operators[i]));
				json_object_object_add(line, "name",
						       json_object_new_string(lines[j]));
				json_object_object_add(
					line, "value",
					json_object_new_int64(g_ascii_strtoll(value, NULL, 10)));
				print_json_line(line);
			} else {
				printf("%s %s\n", options->operators[i], lines[j]);
			}
		}
		g_strfreev(lines);
		g_free(answer);
	}
	return reached ? EXIT_DONE : EXIT_UNREACHABLE;
}

/* Deduplicates bills by id: a record that was appended twice counts as one bill. */
enum exit_code show_bills(const struct options *options)
{
	static const char *const titles[] = {"organisation", "bill",	   "model", "version",
					     "prompt",	     "completion", "cost"};
	struct bills bills = {.options = options};
	struct log_visitor visitor = {print_record_bills, &bills};
	struct cw_error error = {0};
	enum cw_status status;

	bills.seen_ids = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	bills.grid = options->json ? NULL : grid_create(titles, G_N_ELEMENTS(titles));
	status = log_read_all(options->platform, "bills", 1, &visitor, &error);
	if (bills.grid && status != CW_OK) {
		grid_destroy(bills.grid);
	} else if (bills.grid) {
		grid_print(bills.grid);
		printf("%" G_GINT64_FORMAT " bills, cost %.6f, %" G_GINT64_FORMAT
		       " repeats folded\n",
		       bills.count, bills.cost, bills.duplicates);
	}
	g_hash_table_destroy(bills.seen_ids);
	return status == CW_OK ? EXIT_DONE : report_error(&error);
}

enum exit_code show_status(const struct options *options)
{
	static const char *const titles[] = {"instance", "failure domain", "ready",
					     "table",	 "running",	   "bills held",
					     "sessions", "platform",	   "peers live"};
	struct grid *grid = options->json ? NULL : grid_create(titles, G_N_ELEMENTS(titles));
	int reached = 0;

	for (size_t i = 0; options->operators[i]; i++) {
		char *answer = operator_get(options->operators[i], "/status");
		struct json_object *status = answer ? json_tokener_parse(answer) : NULL;
		struct json_object *peers;
		char live[32];
		size_t count = 0;

		g_free(answer);
		if (!status) {
			fprintf(stderr, "cwctl: %s cannot be reached\n", options->operators[i]);
			continue;
		}
		reached++;
		if (options->json) {
			print_json_line(status);
			continue;
		}
		json_object_object_get_ex(status, "peers", &peers);
		for (size_t j = 0; j < json_object_array_length(peers); j++)
			count += !strcmp(
				json_member_text(json_object_array_get_idx(peers, j), "state"),
				"live");
		g_snprintf(live, sizeof(live), "%zu of %zu", count,
			   json_object_array_length(peers));
		grid_add_row(grid,
			     (const char *const[]){json_member_text(status, "instance"),
						   json_member_text(status, "failure_domain"),
						   json_member_text(status, "ready"),
						   json_member_text(status, "table_offset"),
						   json_member_text(status, "running"),
						   json_member_text(status, "bills_held"),
						   json_member_text(status, "sessions"),
						   json_member_text(status, "platform"), live});
		json_object_put(status);
	}
	if (grid && !reached)
		grid_destroy(grid);
	else if (grid)
		grid_print(grid);
	return reached ? EXIT_DONE : EXIT_UNREACHABLE;
}

static char *operator_get(const char *address, const char *path)
{
	int status;
	char *body = operator_call(address, "GET", path, &status);

	if (body && status != 200)
		g_clear_pointer(&body, g_free);
	return body;
}

char *operator_call(const char *address, const char *method, const char *path, int *status)
{
	struct cw_http_call call = {
		.method = method,
		.address = address,
		.path = path,
		.connect_ms = CALL_TIMEOUT_MS,
		.total_ms = CALL_TIMEOUT_MS,
		.max_size = ANSWER_BYTES_MAX,
	};
	struct cw_http_answer answer;
	char *body = NULL;

	if (cw_http_perform(&call, &answer, NULL) == CW_OK)
		body = g_steal_pointer(&answer.body);
	*status = answer.status;
	cw_http_answer_clear(&answer);
	return body;
}

/* Lines begin with "time=SECONDS.MICROSECONDS" in a fixed width, so they sort as text. */
static gint compare_lines_by_time(gconstpointer a, gconstpointer b)
{
	return strcmp(*(const char *const *)a, *(const char *const *)b);
}

static void collect_lines(GPtrArray *lines, const char *answer, const char *request)
{
	char **parts = g_strsplit(answer, "\n", -1);
	char *wanted = request ? g_strdup_printf("request=%s ", request) : NULL;

	for (size_t i = 0; parts[i]; i++) {
		struct json_object *parsed = *parts[i] ? json_tokener_parse(parts[i]) : NULL;
		char *line =
			parsed ? g_strconcat(json_member_text(parsed, "line"), " ", NULL) : NULL;

		if (line && (!wanted || strstr(line, wanted)))
			g_ptr_array_add(lines, g_strdup(g_strchomp(line)));
		g_free(line);
		json_object_put(parsed);
	}
	g_free(wanted);
	g_strfreev(parts);
}

static void print_record_bills(void *context, uint64_t offset, int64_t time_ms, const char *data)
{
	struct json_object *parsed = json_tokener_parse(data);
	struct json_object *list;

	if (json_object_object_get_ex(parsed, "bills", &list) &&
	    json_object_is_type(list, json_type_array))
		for (size_t i = 0; i < json_object_array_length(list); i++)
			print_bill(context, json_object_array_get_idx(list, i));
	json_object_put(parsed);
}

static void print_bill(struct bills *bills, struct json_object *bill)
{
	const char *organisation = json_member_text(bill, "organisation");
	char *id = g_strdup_printf("%s/%s", organisation, json_member_text(bill, "bill"));
	char cost[32];

	if (bills->options->organisation &&
	    strcmp(organisation, bills->options->organisation) != 0) {
		g_free(id);
		return;
	}
	if (!g_hash_table_add(bills->seen_ids, id)) {
		bills->duplicates++;
		return;
	}
	bills->count++;
	bills->cost += g_ascii_strtod(json_member_text(bill, "cost"), NULL);
	g_snprintf(cost, sizeof(cost), "%.6f",
		   g_ascii_strtod(json_member_text(bill, "cost"), NULL));
	if (bills->grid)
		grid_add_row(bills->grid,
			     (const char *const[]){organisation, json_member_text(bill, "bill"),
						   json_member_text(bill, "model"),
						   json_member_text(bill, "version"),
						   json_member_text(bill, "prompt_tokens"),
						   json_member_text(bill, "completion_tokens"),
						   cost});
	else
		print_json_line(json_object_get(bill));
}

const char *json_member_text(struct json_object *object, const char *key)
{
	struct json_object *value;

	return json_object_object_get_ex(object, key, &value) && value
		       ? json_object_get_string(value)
		       : "";
}
