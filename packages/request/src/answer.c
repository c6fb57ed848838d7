#include "cw_answer.h"

#include <glib.h>
#include <json-c/json.h>
#include <stdio.h>
#include <string.h>

#define STREAM_END "[DONE]"

struct cw_answer {
	size_t max_bytes;
	GString *pending;      /* bytes of an incomplete event */
	GString *text;	       /* generated text of all attempts */
	int64_t last_sequence; /* id of the last chunk accepted of this server's stream, -1 none */
	unsigned int forwarded_chunks;
	unsigned int dropped_chunks;
	unsigned int prompt_tokens;
	unsigned int attempt_tokens;
	unsigned int tokens_before_resume; /* of this server's stream, before the last resume */
};

static enum cw_answer_state
parse_event(struct cw_answer *answer, const char *event,
	    void (*forward)(void *context, const char *event, size_t size), void *context);
static enum cw_answer_state
handle_chunk(struct cw_answer *answer, int64_t sequence, const char *data,
	     void (*forward)(void *context, const char *event, size_t size), void *context);
static enum cw_answer_state parse_chunk_data(struct cw_answer *answer, const char *data);
static void record_usage(struct cw_answer *answer, struct json_object *chunk);
static const char *get_content(struct json_object *chunk, const char *member_name);
static char *copy_first_event(GString *pending, size_t *length);

struct cw_answer *cw_answer_create(size_t max_bytes)
{
	struct cw_answer *answer = g_new0(struct cw_answer, 1);

	answer->max_bytes = max_bytes;
	answer->pending = g_string_new(NULL);
	answer->text = g_string_new(NULL);
	answer->last_sequence = -1;
	return answer;
}

void cw_answer_destroy(struct cw_answer *answer)
{
	if (!answer)
		return;
	g_string_free(answer->pending, TRUE);
	g_string_free(answer->text, TRUE);
	g_free(answer);
}

void cw_answer_begin_attempt(struct cw_answer *answer, int is_resumed)
{
	g_string_truncate(answer->pending, 0);
	answer->tokens_before_resume =
		is_resumed ? answer->tokens_before_resume + answer->attempt_tokens : 0;
	answer->attempt_tokens = 0;
	if (!is_resumed)
		answer->last_sequence = -1;
}

enum cw_answer_state cw_answer_feed(struct cw_answer *answer, const char *data, size_t size,
				    void (*forward)(void *context, const char *event, size_t size),
				    void *context)
{
	enum cw_answer_state state = CW_ANSWER_INCOMPLETE;
	size_t length;
	char *event;

	g_string_append_len(answer->pending, data, (gssize)size);
	while (state == CW_ANSWER_INCOMPLETE &&
	       (event = copy_first_event(answer->pending, &length))) {
		state = parse_event(answer, event, forward, context);
		g_free(event);
		g_string_erase(answer->pending, 0, (gssize)length);
	}
	if (state == CW_ANSWER_INCOMPLETE &&
	    answer->pending->len + answer->text->len > answer->max_bytes)
		return CW_ANSWER_MALFORMED;
	return state;
}

uint64_t cw_answer_last_sequence(const struct cw_answer *answer)
{
	return answer->last_sequence < 0 ? 0 : (uint64_t)answer->last_sequence;
}

unsigned int cw_answer_forwarded_chunks(const struct cw_answer *answer)
{
	return answer->forwarded_chunks;
}

unsigned int cw_answer_dropped_chunks(const struct cw_answer *answer)
{
	return answer->dropped_chunks;
}

unsigned int cw_answer_prompt_tokens(const struct cw_answer *answer)
{
	return answer->prompt_tokens;
}

unsigned int cw_answer_attempt_tokens(const struct cw_answer *answer)
{
	return answer->attempt_tokens;
}

const char *cw_answer_text(const struct cw_answer *answer)
{
	return answer->text->str;
}

enum cw_status cw_answer_parse_completion(const char *body, size_t size,
					  unsigned int *prompt_tokens,
					  unsigned int *completion_tokens, char **text)
{
	struct json_object *parsed = size ? json_tokener_parse(body) : NULL;
	struct cw_answer counts = {0};
	const char *content = get_content(parsed, "message");
	enum cw_status status = CW_INVALID;

	if (content) {
		record_usage(&counts, parsed);
		*prompt_tokens = counts.prompt_tokens;
		*completion_tokens = counts.attempt_tokens;
		*text = g_strdup(content);
		status = CW_OK;
	}
	json_object_put(parsed);
	return status;
}

static enum cw_answer_state
parse_event(struct cw_answer *answer, const char *event,
	    void (*forward)(void *context, const char *event, size_t size), void *context)
{
	char **lines = g_strsplit(event, "\n", -1);
	enum cw_answer_state state = CW_ANSWER_INCOMPLETE;
	const char *data = NULL;
	int64_t sequence = -1;
	int has_field = 0;

	for (size_t i = 0; lines[i]; i++) {
		g_strchomp(lines[i]);
		if (!*lines[i] || *lines[i] == ':')
			continue;
		has_field = 1;
		if (g_str_has_prefix(lines[i], "id:"))
			sequence = g_ascii_strtoll(g_strstrip(lines[i] + 3), NULL, 10);
		else if (g_str_has_prefix(lines[i], "data:"))
			data = g_strstrip(lines[i] + 5);
		else
			state = CW_ANSWER_MALFORMED;
	}
	if (has_field && state == CW_ANSWER_INCOMPLETE)
		state = data ? handle_chunk(answer, sequence, data, forward, context)
			     : CW_ANSWER_MALFORMED;
	g_strfreev(lines);
	return state;
}

/*
 * A resumed or delayed stream can repeat a chunk, and a broken one can leave a gap. Forwarding a
 * chunk twice or skipping one corrupts the answer, so repeats and gaps are detected by the sequence
 * numbers of the chunks.
 */
static enum cw_answer_state
handle_chunk(struct cw_answer *answer, int64_t sequence, const char *data,
	     void (*forward)(void *context, const char *event, size_t size), void *context)
{
	/* Engines number chunks from 0 or from 1; unnumbered chunks are numbered here, from 1. */
	int64_t next_sequence = answer->last_sequence < 0 ? 1 : answer->last_sequence + 1;
	enum cw_answer_state state;
	char *event;

	if (sequence > next_sequence)
		return CW_ANSWER_MALFORMED;
	if (!strcmp(data, STREAM_END))
		return CW_ANSWER_DONE;
	if (sequence >= 0 && sequence <= answer->last_sequence) {
		answer->dropped_chunks++;
		return CW_ANSWER_INCOMPLETE;
	}
	state = parse_chunk_data(answer, data);
	answer->last_sequence = sequence >= 0 ? sequence : next_sequence;
	if (state != CW_ANSWER_INCOMPLETE)
		return state;
	event = g_strdup_printf("id: %u\ndata: %s\n\n", ++answer->forwarded_chunks, data);
	forward(context, event, strlen(event));
	g_free(event);
	return CW_ANSWER_INCOMPLETE;
}

static enum cw_answer_state parse_chunk_data(struct cw_answer *answer, const char *data)
{
	struct json_object *chunk = json_tokener_parse(data);
	const char *content;

	if (!json_object_is_type(chunk, json_type_object) ||
	    json_object_object_get_ex(chunk, "error", NULL)) {
		json_object_put(chunk);
		return CW_ANSWER_MALFORMED;
	}
	content = get_content(chunk, "delta");
	if (content && *content) {
		answer->attempt_tokens++;
		g_string_append(answer->text, content);
	}
	record_usage(answer, chunk);
	json_object_put(chunk);
	return CW_ANSWER_INCOMPLETE;
}

static void record_usage(struct cw_answer *answer, struct json_object *chunk)
{
	struct json_object *usage;
	struct json_object *value;

	if (!json_object_object_get_ex(chunk, "usage", &usage) ||
	    !json_object_is_type(usage, json_type_object))
		return;
	if (json_object_object_get_ex(usage, "prompt_tokens", &value))
		answer->prompt_tokens =
			(unsigned int)CLAMP(json_object_get_int64(value), 0, G_MAXINT);
	/* The engine counts its whole stream, including the tokens before a resume. */
	if (json_object_object_get_ex(usage, "completion_tokens", &value)) {
		int64_t tokens =
			json_object_get_int64(value) - (int64_t)answer->tokens_before_resume;

		answer->attempt_tokens = (unsigned int)CLAMP(tokens, 0, G_MAXINT);
	}
}

static const char *get_content(struct json_object *chunk, const char *member_name)
{
	struct json_object *choices;
	struct json_object *choice;
	struct json_object *message;
	struct json_object *content;

	if (!json_object_object_get_ex(chunk, "choices", &choices) ||
	    !json_object_is_type(choices, json_type_array))
		return NULL;
	choice = json_object_array_get_idx(choices, 0);
	if (!json_object_object_get_ex(choice, member_name, &message) ||
	    !json_object_object_get_ex(message, "content", &content))
		return NULL;
	return json_object_get_string(content);
}

/* Copies the first complete event, which ends at an empty line; length includes that line. */
static char *copy_first_event(GString *pending, size_t *length)
{
	char *lf_end = strstr(pending->str, "\n\n");
	char *crlf_end = strstr(pending->str, "\r\n\r\n");
	char *end = lf_end && (!crlf_end || lf_end < crlf_end) ? lf_end : crlf_end;

	if (!end)
		return NULL;
	*length = (size_t)(end - pending->str) + (end == lf_end ? 2 : 4);
	return g_strndup(pending->str, (gsize)(end - pending->str));
}
