#include "cw_answer.h"

#include <glib.h>
#include <json-c/json.h>
#include <stdio.h>
#include <string.h>

#define END_MARK "[DONE]"

struct cw_answer {
	size_t max_bytes;
	GString *pending; /* bytes of an event that is not whole yet */
	GString *text;
	int64_t sequence; /* of the last chunk taken of this server's stream, -1 none */
	unsigned int shown;
	unsigned int dropped;
	unsigned int prompt_tokens;
	unsigned int attempt_tokens;
	unsigned int stream_tokens; /* of this server's stream before a resume */
};

static enum cw_answer_state take_event(struct cw_answer *answer, const char *event,
				       void (*show)(void *context, const char *event, size_t size),
				       void *context);
static enum cw_answer_state take_chunk(struct cw_answer *answer, int64_t sequence, const char *data,
				       void (*show)(void *context, const char *event, size_t size),
				       void *context);
static enum cw_answer_state take_data(struct cw_answer *answer, const char *data);
static void count_usage(struct cw_answer *answer, struct json_object *chunk);
static const char *content_of(struct json_object *chunk, const char *part);
static char *find_end(GString *pending, size_t *length);

struct cw_answer *cw_answer_create(size_t max_bytes)
{
	struct cw_answer *answer = g_new0(struct cw_answer, 1);

	answer->max_bytes = max_bytes;
	answer->pending = g_string_new(NULL);
	answer->text = g_string_new(NULL);
	answer->sequence = -1;
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

void cw_answer_begin(struct cw_answer *answer, int resumed)
{
	g_string_truncate(answer->pending, 0);
	answer->stream_tokens = resumed ? answer->stream_tokens + answer->attempt_tokens : 0;
	answer->attempt_tokens = 0;
	if (!resumed)
		answer->sequence = -1;
}

enum cw_answer_state cw_answer_feed(struct cw_answer *answer, const char *data, size_t size,
				    void (*show)(void *context, const char *event, size_t size),
				    void *context)
{
	enum cw_answer_state state = CW_ANSWER_MORE;
	size_t length;
	char *event;

	g_string_append_len(answer->pending, data, (gssize)size);
	while (state == CW_ANSWER_MORE && (event = find_end(answer->pending, &length))) {
		state = take_event(answer, event, show, context);
		g_free(event);
		g_string_erase(answer->pending, 0, (gssize)length);
	}
	if (state == CW_ANSWER_MORE && answer->pending->len + answer->text->len > answer->max_bytes)
		return CW_ANSWER_RUBBISH;
	return state;
}

uint64_t cw_answer_sequence(const struct cw_answer *answer)
{
	return answer->sequence < 0 ? 0 : (uint64_t)answer->sequence;
}

unsigned int cw_answer_shown(const struct cw_answer *answer)
{
	return answer->shown;
}

unsigned int cw_answer_dropped(const struct cw_answer *answer)
{
	return answer->dropped;
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

enum cw_status cw_answer_parse_whole(const char *body, size_t size, unsigned int *prompt_tokens,
				     unsigned int *completion_tokens, char **text)
{
	struct json_object *parsed = size ? json_tokener_parse(body) : NULL;
	struct cw_answer counted = {0};
	const char *content = content_of(parsed, "message");
	enum cw_status status = CW_INVALID;

	if (content) {
		count_usage(&counted, parsed);
		*prompt_tokens = counted.prompt_tokens;
		*completion_tokens = counted.attempt_tokens;
		*text = g_strdup(content);
		status = CW_OK;
	}
	json_object_put(parsed);
	return status;
}

/*
 * A stream resumed or relayed late can bring a chunk again, and one cut can leave a gap. A chunk
 * shown twice or left out makes a wrong statement; it shows in the sequence numbers.
 */
static enum cw_answer_state take_event(struct cw_answer *answer, const char *event,
				       void (*show)(void *context, const char *event, size_t size),
				       void *context)
{
	char **lines = g_strsplit(event, "\n", -1);
	enum cw_answer_state state = CW_ANSWER_MORE;
	const char *data = NULL;
	int64_t sequence = -1;
	int known = 0;

	for (size_t i = 0; lines[i]; i++) {
		g_strchomp(lines[i]);
		if (!*lines[i] || *lines[i] == ':')
			continue;
		known = 1;
		if (g_str_has_prefix(lines[i], "id:"))
			sequence = g_ascii_strtoll(g_strstrip(lines[i] + 3), NULL, 10);
		else if (g_str_has_prefix(lines[i], "data:"))
			data = g_strstrip(lines[i] + 5);
		else
			state = CW_ANSWER_RUBBISH;
	}
	if (known && state == CW_ANSWER_MORE)
		state = data ? take_chunk(answer, sequence, data, show, context)
			     : CW_ANSWER_RUBBISH;
	g_strfreev(lines);
	return state;
}

static enum cw_answer_state take_chunk(struct cw_answer *answer, int64_t sequence, const char *data,
				       void (*show)(void *context, const char *event, size_t size),
				       void *context)
{
	/* Engines count from 0 or from 1; one that does not number its chunks is counted here. */
	int64_t next = answer->sequence < 0 ? 1 : answer->sequence + 1;
	enum cw_answer_state state;
	char *shown;

	if (sequence > next)
		return CW_ANSWER_RUBBISH;
	if (!strcmp(data, END_MARK))
		return CW_ANSWER_DONE;
	if (sequence >= 0 && sequence <= answer->sequence) {
		answer->dropped++;
		return CW_ANSWER_MORE;
	}
	state = take_data(answer, data);
	answer->sequence = sequence >= 0 ? sequence : next;
	if (state != CW_ANSWER_MORE)
		return state;
	shown = g_strdup_printf("id: %u\ndata: %s\n\n", ++answer->shown, data);
	show(context, shown, strlen(shown));
	g_free(shown);
	return CW_ANSWER_MORE;
}

static enum cw_answer_state take_data(struct cw_answer *answer, const char *data)
{
	struct json_object *chunk = json_tokener_parse(data);
	const char *content;

	if (!json_object_is_type(chunk, json_type_object) ||
	    json_object_object_get_ex(chunk, "error", NULL)) {
		json_object_put(chunk);
		return CW_ANSWER_RUBBISH;
	}
	content = content_of(chunk, "delta");
	if (content && *content) {
		answer->attempt_tokens++;
		g_string_append(answer->text, content);
	}
	count_usage(answer, chunk);
	json_object_put(chunk);
	return CW_ANSWER_MORE;
}

static void count_usage(struct cw_answer *answer, struct json_object *chunk)
{
	struct json_object *usage;
	struct json_object *value;

	if (!json_object_object_get_ex(chunk, "usage", &usage) ||
	    !json_object_is_type(usage, json_type_object))
		return;
	if (json_object_object_get_ex(usage, "prompt_tokens", &value))
		answer->prompt_tokens =
			(unsigned int)CLAMP(json_object_get_int64(value), 0, G_MAXINT);
	/* The engine counts its whole stream, what stood before a resume included. */
	if (json_object_object_get_ex(usage, "completion_tokens", &value)) {
		int64_t whole = json_object_get_int64(value) - (int64_t)answer->stream_tokens;

		answer->attempt_tokens = (unsigned int)CLAMP(whole, 0, G_MAXINT);
	}
}

static const char *content_of(struct json_object *chunk, const char *part)
{
	struct json_object *choices;
	struct json_object *choice;
	struct json_object *delta;
	struct json_object *content;

	if (!json_object_object_get_ex(chunk, "choices", &choices) ||
	    !json_object_is_type(choices, json_type_array))
		return NULL;
	choice = json_object_array_get_idx(choices, 0);
	if (!json_object_object_get_ex(choice, part, &delta) ||
	    !json_object_object_get_ex(delta, "content", &content))
		return NULL;
	return json_object_get_string(content);
}

/* The first whole event, up to an empty line; length counts the empty line too. */
static char *find_end(GString *pending, size_t *length)
{
	char *unix_end = strstr(pending->str, "\n\n");
	char *dos_end = strstr(pending->str, "\r\n\r\n");
	char *end = unix_end && (!dos_end || unix_end < dos_end) ? unix_end : dos_end;

	if (!end)
		return NULL;
	*length = (size_t)(end - pending->str) + (end == unix_end ? 2 : 4);
	return g_strndup(pending->str, (gsize)(end - pending->str));
}
