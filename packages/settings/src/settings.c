#include "cw_settings.h"
#include "lines.h"

#include <arpa/inet.h>
#include <glib.h>
#include <json-c/json.h>
#include <stddef.h>
#include <stdlib.h>
#include <string.h>

enum value_type { TYPE_TEXT, TYPE_ADDRESS, TYPE_SECRET_KEY, TYPE_INTEGER, TYPE_BOOLEAN };

/* A key of the settings and the field that holds its value. */
struct key {
	const char *name;
	enum value_type type;
	size_t offset; /* of the field in its struct */
	size_t size;   /* bytes of a text field, including the terminating NUL */
	int required;
	int64_t min, max; /* bounds of an integer */
	const char *default_text;
	int64_t default_number;
	const char *const *choices; /* allowed values of a text, NULL-terminated; NULL: any */
};

struct reader {
	struct lines *lines;
	GString *errors;  /* one line each */
	const char *name; /* of the settings file */
};

#define TEXT_KEY(field, is_required, default_value)                                                \
	{                                                                                          \
#field, TYPE_TEXT, offsetof(struct cw_settings, field),                            \
			sizeof(((struct cw_settings *)NULL)->field), is_required, 0, 0,            \
			default_value, 0, NULL                                                     \
	}
#define CHOICE_KEY(field, default_value, list)                                                     \
	{                                                                                          \
#field, TYPE_TEXT, offsetof(struct cw_settings, field),                            \
			sizeof(((struct cw_settings *)NULL)->field), 0, 0, 0, default_value, 0,    \
			list                                                                       \
	}
#define ADDRESS_KEY(field, is_required)                                                            \
	{                                                                                          \
#field, TYPE_ADDRESS, offsetof(struct cw_settings, field),                         \
			sizeof(((struct cw_settings *)NULL)->field), is_required, 0, 0, "", 0,     \
			NULL                                                                       \
	}
#define INTEGER_KEY(field, low, high, default_value)                                               \
	{                                                                                          \
#field, TYPE_INTEGER, offsetof(struct cw_settings, field), 0, 0, low, high, NULL,  \
			default_value, NULL                                                        \
	}

#define DAY_MS (24 * 3600 * 1000LL)

static const char *const log_levels[] = {"debug", "info", "warning", "error", NULL};
static const char *const choice_policies[] = {"affinity",	"two_choices", "round_robin",
					      "least_reported", "random",      NULL};
static const char *const health_policies[] = {"pooled_cusum", "own_threshold", NULL};
static const char *const cascade_policies[] = {"learned", "always_costly", "always_cheap", NULL};

static const struct key root_keys[] = {
	TEXT_KEY(instance, 1, ""),
	TEXT_KEY(failure_domain, 1, ""),
	ADDRESS_KEY(listen, 1),
	ADDRESS_KEY(operator_listen, 1),
	ADDRESS_KEY(peer_listen, 1),
	ADDRESS_KEY(peer_address, 0),
	{"peer_key", TYPE_SECRET_KEY, offsetof(struct cw_settings, peer_key), 0, 1, 0, 0, "", 0,
	 NULL},
	ADDRESS_KEY(platform, 1),
	CHOICE_KEY(log_level, "info", log_levels),
	TEXT_KEY(tls_cert, 0, ""),
	TEXT_KEY(tls_key, 0, ""),
	CHOICE_KEY(choice_policy, "affinity", choice_policies),
	CHOICE_KEY(health_policy, "pooled_cusum", health_policies),
	CHOICE_KEY(cascade_policy, "learned", cascade_policies),
	INTEGER_KEY(max_body_bytes, 1024, 1 << 30, 8 << 20),
	INTEGER_KEY(max_answer_bytes, 1024, 1 << 30, 8 << 20),
	INTEGER_KEY(max_requests, 1, 65536, 1000),
	INTEGER_KEY(max_connections, 8, 65536, 1000),
	INTEGER_KEY(idle_s, 1, 3600, 60),
	INTEGER_KEY(head_s, 1, 3600, 20),
	INTEGER_KEY(body_s, 1, 3600, 120),
	INTEGER_KEY(connect_ms, 1, 60000, 500),
	INTEGER_KEY(first_chunk_ms, 10, 600000, 15000),
	INTEGER_KEY(idle_chunk_ms, 10, 600000, 5000),
	INTEGER_KEY(request_timeout_ms, 10, DAY_MS, 120000),
	INTEGER_KEY(first_wait_ms, 1, 600000, 200),
	INTEGER_KEY(heartbeat_ms, 10, 60000, 250),
	INTEGER_KEY(gossip_bytes_per_s, 1000, 100000000, 12000),
	INTEGER_KEY(silent_ms, 50, 600000, 1500),
	INTEGER_KEY(claim_timeout_ms, 10, 600000, 2000),
	INTEGER_KEY(claim_window_ms, 1000, 30 * DAY_MS, DAY_MS),
	INTEGER_KEY(bill_flush_ms, 10, 60000, 500),
	INTEGER_KEY(bill_hold_ms, 0, 10000, 50),
	INTEGER_KEY(restore_window_ms, 1000, 3600 * 1000, 60 * 1000),
	INTEGER_KEY(session_idle_ms, 1000, 30 * DAY_MS, 30 * 60 * 1000),
	INTEGER_KEY(session_ask_ms, 1, 10000, 100),
	INTEGER_KEY(log_retention_ms, 1000, 365 * DAY_MS, 3600 * 1000),
	INTEGER_KEY(lease_ms, 1000, 600000, 10000),
	INTEGER_KEY(load_poll_ms, 20, 60000, 200),
	INTEGER_KEY(list_poll_ms, 20, 60000, 1000),
	INTEGER_KEY(stop_grace_ms, 0, 600000, 2000),
	INTEGER_KEY(stop_limit_ms, 1000, DAY_MS, 600000),
	INTEGER_KEY(seed, 0, INT64_MAX, 0),
};

#define PEER_KEY(field, type)                                                                      \
	{                                                                                          \
#field, type, offsetof(struct cw_settings_peer, field),                            \
			sizeof(((struct cw_settings_peer *)NULL)->field), 1, 0, 0, "", 0, NULL     \
	}

static const struct key peer_keys[] = {
	PEER_KEY(instance, TYPE_TEXT),
	PEER_KEY(failure_domain, TYPE_TEXT),
	PEER_KEY(address, TYPE_ADDRESS),
};

#define SERVER_KEY(field, type)                                                                    \
	{                                                                                          \
#field, type, offsetof(struct cw_settings_server, field),                          \
			sizeof(((struct cw_settings_server *)NULL)->field), 1, 0, 0, "", 0, NULL   \
	}

static const struct key server_keys[] = {
	SERVER_KEY(name, TYPE_TEXT),
	SERVER_KEY(service, TYPE_TEXT),
	SERVER_KEY(address, TYPE_ADDRESS),
	SERVER_KEY(failure_domain, TYPE_TEXT),
	{"checks_fencing", TYPE_BOOLEAN, offsetof(struct cw_settings_server, checks_fencing), 0, 0,
	 0, 0, NULL, 0, NULL},
};

static void read_root(struct reader *reader, struct json_object *root,
		      struct cw_settings *settings);
static void read_object(struct reader *reader, struct json_object *object, const char *path,
			const struct key *keys, size_t count, const char *const *list_names,
			void *target);
static void *read_list(struct reader *reader, struct json_object *root, const char *name,
		       const struct key *keys, size_t key_count, size_t item_size, size_t *count);
static void read_value(struct reader *reader, const struct key *key, struct json_object *value,
		       const char *path, void *target);
static void read_text(struct reader *reader, const struct key *key, struct json_object *value,
		      const char *path, char *target);
static void set_default(const struct key *key, void *target);
static const struct key *find_key(const struct key *keys, size_t count, const char *name);
static int is_valid_address(const char *text);
static struct json_object *parse_json(struct reader *reader, const char *text);
static void check_consistency(struct reader *reader, const struct cw_settings *settings);
static void add_error(struct reader *reader, const char *path, const char *format, ...)
	__attribute__((format(printf, 3, 4)));

struct cw_settings *cw_settings_load(const char *file, char **errors)
{
	struct cw_settings *settings;
	char *text;

	if (!g_file_get_contents(file, &text, NULL, NULL)) {
		*errors = g_strdup_printf("%s: cannot be read\n", file);
		return NULL;
	}
	settings = cw_settings_parse(text, file, errors);
	g_free(text);
	return settings;
}

struct cw_settings *cw_settings_parse(const char *text, const char *name, char **errors)
{
	struct cw_settings *settings = g_new0(struct cw_settings, 1);
	struct reader reader = {.errors = g_string_new(NULL), .name = name};
	struct json_object *root;

	reader.lines = lines_create(text);
	root = parse_json(&reader, text);
	if (root)
		read_root(&reader, root, settings);
	json_object_put(root);
	lines_destroy(reader.lines);
	if (reader.errors->len == 0) {
		g_string_free(reader.errors, TRUE);
		*errors = NULL;
		return settings;
	}
	*errors = g_string_free(reader.errors, FALSE);
	cw_settings_destroy(settings);
	return NULL;
}

void cw_settings_destroy(struct cw_settings *settings)
{
	if (!settings)
		return;
	g_free(settings->peers);
	g_free(settings->backend_servers);
	g_free(settings);
}

char *cw_settings_describe(void)
{
	GString *text = g_string_new("| key | default | bounds |\n| --- | --- | --- |\n");

	for (size_t i = 0; i < G_N_ELEMENTS(root_keys); i++) {
		const struct key *key = &root_keys[i];

		g_string_append_printf(text, "| `%s` | ", key->name);
		if (key->type == TYPE_INTEGER)
			g_string_append_printf(text,
					       "%" G_GINT64_FORMAT " | %" G_GINT64_FORMAT
					       " to %" G_GINT64_FORMAT " |\n",
					       key->default_number, key->min, key->max);
		else if (key->choices)
			g_string_append_printf(text, "%s | one of the names below |\n",
					       key->default_text);
		else
			g_string_append_printf(text, "%s | %s |\n",
					       key->required ? "none, required" : "empty",
					       key->type == TYPE_ADDRESS      ? "IP:PORT"
					       : key->type == TYPE_SECRET_KEY ? "64 hex digits"
									      : "text");
	}
	return g_string_free(text, FALSE);
}

static void read_root(struct reader *reader, struct json_object *root, struct cw_settings *settings)
{
	static const char *const list_names[] = {"peers", "backend_servers", NULL};

	if (lines_duplicate_key(reader->lines))
		add_error(reader, lines_duplicate_key(reader->lines), "stands twice");
	read_object(reader, root, "", root_keys, G_N_ELEMENTS(root_keys), list_names, settings);
	settings->peers = read_list(reader, root, "peers", peer_keys, G_N_ELEMENTS(peer_keys),
				    sizeof(struct cw_settings_peer), &settings->peer_count);
	settings->backend_servers =
		read_list(reader, root, "backend_servers", server_keys, G_N_ELEMENTS(server_keys),
			  sizeof(struct cw_settings_server), &settings->server_count);
	check_consistency(reader, settings);
	if (!*settings->peer_address)
		g_strlcpy(settings->peer_address, settings->peer_listen, CW_ADDRESS_MAX);
}

static void read_object(struct reader *reader, struct json_object *object, const char *path,
			const struct key *keys, size_t count, const char *const *list_names,
			void *target)
{
	for (size_t i = 0; i < count; i++) {
		char *key_path = *path ? g_strdup_printf("%s.%s", path, keys[i].name)
				       : g_strdup(keys[i].name);
		struct json_object *value;

		set_default(&keys[i], target);
		if (json_object_object_get_ex(object, keys[i].name, &value))
			read_value(reader, &keys[i], value, key_path, target);
		else if (keys[i].required)
			add_error(reader, *path ? path : key_path, "%s is missing", keys[i].name);
		g_free(key_path);
	}
	json_object_object_foreach(object, name, unused)
	{
		char *key_path = *path ? g_strdup_printf("%s.%s", path, name) : g_strdup(name);

		(void)unused;
		if (!find_key(keys, count, name) &&
		    !(list_names && g_strv_contains(list_names, name)))
			add_error(reader, key_path, "unknown key");
		g_free(key_path);
	}
}

static void *read_list(struct reader *reader, struct json_object *root, const char *name,
		       const struct key *keys, size_t key_count, size_t item_size, size_t *count)
{
	struct json_object *list;
	char *items;

	*count = 0;
	if (!json_object_object_get_ex(root, name, &list))
		return NULL;
	if (!json_object_is_type(list, json_type_array)) {
		add_error(reader, name, "must be a list");
		return NULL;
	}
	*count = json_object_array_length(list);
	items = g_malloc0((*count + 1) * item_size);
	for (size_t i = 0; i < *count; i++) {
		struct json_object *item = json_object_array_get_idx(list, i);
		char *path = g_strdup_printf("%s[%zu]", name, i);

		if (json_object_is_type(item, json_type_object))
			read_object(reader, item, path, keys, key_count, NULL,
				    items + i * item_size);
		else
			add_error(reader, path, "must be an object");
		g_free(path);
	}
	return items;
}

static void read_value(struct reader *reader, const struct key *key, struct json_object *value,
		       const char *path, void *target)
{
	char *field = (char *)target + key->offset;
	int64_t number;

	switch (key->type) {
	case TYPE_TEXT:
	case TYPE_ADDRESS:
		read_text(reader, key, value, path, field);
		break;
	case TYPE_SECRET_KEY:
		if (!json_object_is_type(value, json_type_string) ||
		    cw_hex_decode(json_object_get_string(value), (uint8_t *)field, CW_KEY_BYTES))
			add_error(reader, path, "must be 64 hex digits");
		break;
	case TYPE_INTEGER:
		if (!json_object_is_type(value, json_type_int)) {
			add_error(reader, path, "must be a whole number");
			break;
		}
		number = json_object_get_int64(value);
		if (number < key->min || number > key->max)
			add_error(reader, path, "must be %" G_GINT64_FORMAT " to %" G_GINT64_FORMAT,
				  key->min, key->max);
		else
			memcpy(field, &number, sizeof(number));
		break;
	case TYPE_BOOLEAN:
		if (!json_object_is_type(value, json_type_boolean))
			add_error(reader, path, "must be true or false");
		else
			*(int *)field = json_object_get_boolean(value);
		break;
	}
}

static void read_text(struct reader *reader, const struct key *key, struct json_object *value,
		      const char *path, char *target)
{
	const char *text = json_object_get_string(value);

	if (!json_object_is_type(value, json_type_string)) {
		add_error(reader, path, "must be a text");
	} else if (key->required && !*text) {
		add_error(reader, path, "must not be empty");
	} else if (strlen(text) >= key->size) {
		add_error(reader, path, "is longer than %zu bytes", key->size - 1);
	} else if (key->type == TYPE_ADDRESS && *text && !is_valid_address(text)) {
		add_error(reader, path, "'%s' is not an IP:PORT", text);
	} else if (key->choices && !g_strv_contains(key->choices, text)) {
		char *names = g_strjoinv(", ", (char **)key->choices);

		add_error(reader, path, "'%s' is none of %s", text, names);
		g_free(names);
	} else {
		g_strlcpy(target, text, key->size);
	}
}

static void set_default(const struct key *key, void *target)
{
	char *field = (char *)target + key->offset;

	if (key->type == TYPE_INTEGER)
		memcpy(field, &key->default_number, sizeof(key->default_number));
	else if (key->type == TYPE_TEXT || key->type == TYPE_ADDRESS)
		g_strlcpy(field, key->default_text, key->size);
}

static const struct key *find_key(const struct key *keys, size_t count, const char *name)
{
	for (size_t i = 0; i < count; i++)
		if (!strcmp(keys[i].name, name))
			return &keys[i];
	return NULL;
}

static int is_valid_address(const char *text)
{
	char *copy = g_strdup(text);
	char *colon = strrchr(copy, ':');
	struct in_addr parsed;
	int valid = 0;
	char *end;

	if (colon && colon[1]) {
		long port = strtol(colon + 1, &end, 10);

		*colon = '\0';
		valid = !*end && port >= 0 && port <= 65535 &&
			inet_pton(AF_INET, copy, &parsed) == 1;
	}
	g_free(copy);
	return valid;
}

static struct json_object *parse_json(struct reader *reader, const char *text)
{
	struct json_tokener *tokener = json_tokener_new();
	struct json_object *root = json_tokener_parse_ex(tokener, text, (int)strlen(text) + 1);
	enum json_tokener_error error = json_tokener_get_error(tokener);
	size_t end = json_tokener_get_parse_end(tokener);
	int line = 1;

	for (size_t i = 0; i < end && text[i]; i++)
		line += text[i] == '\n';
	if (error != json_tokener_success)
		g_string_append_printf(reader->errors, "%s:%d: %s\n", reader->name, line,
				       json_tokener_error_desc(error));
	else if (!json_object_is_type(root, json_type_object))
		g_string_append_printf(reader->errors, "%s:1: must be an object\n", reader->name);
	json_tokener_free(tokener);
	if (reader->errors->len == 0)
		return root;
	json_object_put(root);
	return NULL;
}

/* Rules that involve more than one key. */
static void check_consistency(struct reader *reader, const struct cw_settings *settings)
{
	if (!*settings->tls_cert != !*settings->tls_key)
		add_error(reader, *settings->tls_cert ? "tls_cert" : "tls_key",
			  "tls_cert and tls_key go together");
	if (settings->silent_ms < 2 * settings->heartbeat_ms)
		add_error(reader, "silent_ms", "must be at least twice heartbeat_ms");
	for (size_t i = 0; i < settings->peer_count; i++) {
		char *path = g_strdup_printf("peers[%zu]", i);

		if (!strcmp(settings->peers[i].instance, settings->instance))
			add_error(reader, path, "is this instance itself");
		g_free(path);
	}
	for (size_t i = 0; i < settings->server_count; i++)
		for (size_t j = 0; j < i; j++)
			if (!strcmp(settings->backend_servers[i].name,
				    settings->backend_servers[j].name)) {
				char *path = g_strdup_printf("backend_servers[%zu]", i);

				add_error(reader, path, "has the name of backend_servers[%zu]", j);
				g_free(path);
			}
}

static void add_error(struct reader *reader, const char *path, const char *format, ...)
{
	va_list args;

	g_string_append_printf(reader->errors, "%s:%d: %s: ", reader->name,
			       lines_find_line(reader->lines, path), path);
	va_start(args, format);
	g_string_append_vprintf(reader->errors, format, args);
	va_end(args);
	g_string_append_c(reader->errors, '\n');
}
