#include "unit.h"

#include "cw_answer.h"

#include <glib.h>
#include <string.h>

#define CHUNK(id, text)                                                                            \
	"id: " id "\ndata: {\"choices\":[{\"delta\":{\"content\":\"" text "\"}}]}\n\n"

static void collect(void *context, const char *event, size_t size)
{
	g_string_append_len(context, event, (gssize)size);
}

static enum cw_answer_state feed(struct cw_answer *answer, GString *forwarded, const char *data)
{
	return cw_answer_feed(answer, data, strlen(data), collect, forwarded);
}

static void events_are_parsed_when_split_at_any_byte(void **state)
{
	static const char stream[] = CHUNK(
		"1",
		"a ") "id: 2\r\ndata: {\"choices\":[{\"delta\":{\"content\":\"b \"}}]}\r\n\r\n"
		      ": a comment\n\n"
		      "data: "
		      "{\"choices\":[],\"usage\":{\"prompt_tokens\":9,\"completion_tokens\":2}}\n\n"
		      "data: [DONE]\n\n";

	for (size_t split = 1; split < sizeof(stream) - 1; split++) {
		struct cw_answer *answer = cw_answer_create(10000);
		GString *forwarded = g_string_new(NULL);

		cw_answer_begin_attempt(answer, 0);
		assert_int_equal(cw_answer_feed(answer, stream, split, collect, forwarded),
				 CW_ANSWER_INCOMPLETE);
		assert_int_equal(feed(answer, forwarded, stream + split), CW_ANSWER_DONE);
		assert_string_equal(cw_answer_text(answer), "a b ");
		assert_int_equal(cw_answer_attempt_tokens(answer), 2);
		assert_int_equal(cw_answer_prompt_tokens(answer), 9);
		g_string_free(forwarded, TRUE);
		cw_answer_destroy(answer);
	}
}

/*
 * Guards against text that appears twice in an answer: a broken stream was resumed and repeated its
 * last chunk, which was forwarded regardless of its sequence number.
 */
static void a_chunk_repeated_after_a_resume_is_forwarded_once(void **state)
{
	struct cw_answer *answer = cw_answer_create(10000);
	GString *forwarded = g_string_new(NULL);

	cw_answer_begin_attempt(answer, 0);
	feed(answer, forwarded, CHUNK("1", "a ") CHUNK("2", "b ") "id: 3\ndata: {\"cho");
	cw_answer_begin_attempt(answer, 1);
	assert_int_equal(cw_answer_last_sequence(answer), 2);
	assert_int_equal(
		feed(answer, forwarded, CHUNK("2", "b ") CHUNK("3", "c ") "data: [DONE]\n\n"),
		CW_ANSWER_DONE);
	assert_string_equal(cw_answer_text(answer), "a b c ");
	assert_int_equal(cw_answer_dropped_chunks(answer), 1);
	assert_int_equal(cw_answer_forwarded_chunks(answer), 3);
	g_string_free(forwarded, TRUE);
	cw_answer_destroy(answer);
}

static void an_answer_with_a_missing_chunk_is_malformed(void **state)
{
	struct cw_answer *answer = cw_answer_create(10000);
	GString *forwarded = g_string_new(NULL);

	cw_answer_begin_attempt(answer, 0);
	assert_int_equal(feed(answer, forwarded, CHUNK("1", "a ") CHUNK("3", "c ")),
			 CW_ANSWER_MALFORMED);
	assert_string_equal(cw_answer_text(answer), "a ");
	g_string_free(forwarded, TRUE);
	cw_answer_destroy(answer);
}

/*
 * Guards against an answer without its second chunk: some engines number chunks from 0, others not
 * at all. Sequence number 0 was read as "not numbered", so the next chunk, 1, looked like a repeat.
 */
static void chunks_may_be_numbered_from_0_or_1_or_not_at_all(void **state)
{
	static const char *const streams[] = {
		CHUNK("0", "a ") CHUNK("1", "b ") CHUNK("2", "c ") "id: 3\ndata: [DONE]\n\n",
		CHUNK("1", "a ") CHUNK("2", "b ") CHUNK("3", "c ") "data: [DONE]\n\n",
		"data: {\"choices\":[{\"delta\":{\"content\":\"a b c \"}}]}\n\ndata: [DONE]\n\n",
	};

	for (size_t i = 0; i < G_N_ELEMENTS(streams); i++) {
		struct cw_answer *answer = cw_answer_create(10000);
		GString *forwarded = g_string_new(NULL);

		cw_answer_begin_attempt(answer, 0);
		assert_int_equal(feed(answer, forwarded, streams[i]), CW_ANSWER_DONE);
		assert_string_equal(cw_answer_text(answer), "a b c ");
		assert_int_equal(cw_answer_dropped_chunks(answer), 0);
		g_string_free(forwarded, TRUE);
		cw_answer_destroy(answer);
	}
}

static void an_end_after_a_missing_chunk_is_malformed(void **state)
{
	struct cw_answer *answer = cw_answer_create(10000);
	GString *forwarded = g_string_new(NULL);

	cw_answer_begin_attempt(answer, 0);
	assert_int_equal(feed(answer, forwarded, CHUNK("1", "a ") "id: 3\ndata: [DONE]\n\n"),
			 CW_ANSWER_MALFORMED);
	g_string_free(forwarded, TRUE);
	cw_answer_destroy(answer);
}

static void another_server_continues_the_text(void **state)
{
	struct cw_answer *answer = cw_answer_create(10000);
	GString *forwarded = g_string_new(NULL);

	cw_answer_begin_attempt(answer, 0);
	feed(answer, forwarded, CHUNK("1", "a "));
	cw_answer_begin_attempt(answer, 0);
	assert_int_equal(feed(answer, forwarded, CHUNK("1", "b ") "data: [DONE]\n\n"),
			 CW_ANSWER_DONE);
	assert_string_equal(cw_answer_text(answer), "a b ");
	assert_non_null(strstr(forwarded->str, "id: 2\n"));
	assert_int_equal(cw_answer_attempt_tokens(answer), 1);
	g_string_free(forwarded, TRUE);
	cw_answer_destroy(answer);
}

static void malformed_events_are_detected(void **state)
{
	static const char *const malformed[] = {"<html>\n\n",
						"data: not json\n\n",
						"data: [1]\n\n",
						"event: error\ndata: {}\n\n",
						"data: {\"error\":{}}\n\n",
						"id: 1\n\n"};

	for (size_t i = 0; i < G_N_ELEMENTS(malformed); i++) {
		struct cw_answer *answer = cw_answer_create(1000);
		GString *forwarded = g_string_new(NULL);

		cw_answer_begin_attempt(answer, 0);
		assert_int_equal(feed(answer, forwarded, malformed[i]), CW_ANSWER_MALFORMED);
		assert_int_equal(forwarded->len, 0);
		g_string_free(forwarded, TRUE);
		cw_answer_destroy(answer);
	}
}

static void an_oversized_answer_is_malformed(void **state)
{
	struct cw_answer *answer = cw_answer_create(1000);
	GString *forwarded = g_string_new(NULL);
	char *oversized = g_strnfill(2000, 'x');

	cw_answer_begin_attempt(answer, 0);
	assert_int_equal(feed(answer, forwarded, oversized), CW_ANSWER_MALFORMED);
	g_free(oversized);
	g_string_free(forwarded, TRUE);
	cw_answer_destroy(answer);
}

static void completions_are_parsed_and_validated(void **state)
{
	static const char valid[] = "{\"choices\":[{\"message\":{\"content\":\"hi\"}}],\"usage\":{"
				    "\"prompt_tokens\":3,\"completion_tokens\":1}}";
	static const char *const invalid[] = {
		"", "{}", "[]", "7", "{\"choices\":[]}", "{\"choices\":[{}]}", "{\"choices\":7}"};
	unsigned int prompt;
	unsigned int completion;
	char *text;

	assert_int_equal(
		cw_answer_parse_completion(valid, strlen(valid), &prompt, &completion, &text),
		CW_OK);
	assert_string_equal(text, "hi");
	assert_int_equal(prompt, 3);
	g_free(text);
	for (size_t i = 0; i < G_N_ELEMENTS(invalid); i++)
		assert_int_equal(cw_answer_parse_completion(invalid[i], strlen(invalid[i]), &prompt,
							    &completion, &text),
				 CW_INVALID);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(events_are_parsed_when_split_at_any_byte),
		cmocka_unit_test(a_chunk_repeated_after_a_resume_is_forwarded_once),
		cmocka_unit_test(an_answer_with_a_missing_chunk_is_malformed),
		cmocka_unit_test(chunks_may_be_numbered_from_0_or_1_or_not_at_all),
		cmocka_unit_test(an_end_after_a_missing_chunk_is_malformed),
		cmocka_unit_test(another_server_continues_the_text),
		cmocka_unit_test(malformed_events_are_detected),
		cmocka_unit_test(an_oversized_answer_is_malformed),
		cmocka_unit_test(completions_are_parsed_and_validated),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
