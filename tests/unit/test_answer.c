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

static enum cw_answer_state feed(struct cw_answer *answer, GString *shown, const char *data)
{
	return cw_answer_feed(answer, data, strlen(data), collect, shown);
}

static void events_are_cut_at_any_byte(void **state)
{
	static const char stream[] = CHUNK(
		"1",
		"a ") "id: 2\r\ndata: {\"choices\":[{\"delta\":{\"content\":\"b \"}}]}\r\n\r\n"
		      ": a comment\n\n"
		      "data: "
		      "{\"choices\":[],\"usage\":{\"prompt_tokens\":9,\"completion_tokens\":2}}\n\n"
		      "data: [DONE]\n\n";

	for (size_t cut = 1; cut < sizeof(stream) - 1; cut++) {
		struct cw_answer *answer = cw_answer_create(10000);
		GString *shown = g_string_new(NULL);

		cw_answer_begin(answer, 0);
		assert_int_equal(cw_answer_feed(answer, stream, cut, collect, shown),
				 CW_ANSWER_MORE);
		assert_int_equal(feed(answer, shown, stream + cut), CW_ANSWER_DONE);
		assert_string_equal(cw_answer_text(answer), "a b ");
		assert_int_equal(cw_answer_attempt_tokens(answer), 2);
		assert_int_equal(cw_answer_prompt_tokens(answer), 9);
		g_string_free(shown, TRUE);
		cw_answer_destroy(answer);
	}
}

/*
 * Symptom: a report said one sentence twice.
 * Sequence: a stream breaks, is resumed, and brings the last chunk again.
 * Cause: chunks were shown as they came, whatever their sequence number.
 */
static void a_resumed_chunk_is_shown_once(void **state)
{
	struct cw_answer *answer = cw_answer_create(10000);
	GString *shown = g_string_new(NULL);

	cw_answer_begin(answer, 0);
	feed(answer, shown, CHUNK("1", "a ") CHUNK("2", "b ") "id: 3\ndata: {\"cho");
	cw_answer_begin(answer, 1);
	assert_int_equal(cw_answer_sequence(answer), 2);
	assert_int_equal(feed(answer, shown, CHUNK("2", "b ") CHUNK("3", "c ") "data: [DONE]\n\n"),
			 CW_ANSWER_DONE);
	assert_string_equal(cw_answer_text(answer), "a b c ");
	assert_int_equal(cw_answer_dropped(answer), 1);
	assert_int_equal(cw_answer_shown(answer), 3);
	g_string_free(shown, TRUE);
	cw_answer_destroy(answer);
}

static void a_missing_chunk_is_no_answer(void **state)
{
	struct cw_answer *answer = cw_answer_create(10000);
	GString *shown = g_string_new(NULL);

	cw_answer_begin(answer, 0);
	assert_int_equal(feed(answer, shown, CHUNK("1", "a ") CHUNK("3", "c ")),
			 CW_ANSWER_MALFORMED);
	assert_string_equal(cw_answer_text(answer), "a ");
	g_string_free(shown, TRUE);
	cw_answer_destroy(answer);
}

/*
 * Symptom: a report lacked its second word.
 * Sequence: an engine numbers its chunks from 0; another does not number them at all.
 * Cause: 0 was taken for "not numbered", so the next chunk, 1, looked like a repeat.
 */
static void chunks_may_count_from_nought_or_not_at_all(void **state)
{
	static const char *const streams[] = {
		CHUNK("0", "a ") CHUNK("1", "b ") CHUNK("2", "c ") "id: 3\ndata: [DONE]\n\n",
		CHUNK("1", "a ") CHUNK("2", "b ") CHUNK("3", "c ") "data: [DONE]\n\n",
		"data: {\"choices\":[{\"delta\":{\"content\":\"a b c \"}}]}\n\ndata: [DONE]\n\n",
	};

	for (size_t i = 0; i < G_N_ELEMENTS(streams); i++) {
		struct cw_answer *answer = cw_answer_create(10000);
		GString *shown = g_string_new(NULL);

		cw_answer_begin(answer, 0);
		assert_int_equal(feed(answer, shown, streams[i]), CW_ANSWER_DONE);
		assert_string_equal(cw_answer_text(answer), "a b c ");
		assert_int_equal(cw_answer_dropped(answer), 0);
		g_string_free(shown, TRUE);
		cw_answer_destroy(answer);
	}
}

static void an_end_that_skips_a_chunk_is_no_end(void **state)
{
	struct cw_answer *answer = cw_answer_create(10000);
	GString *shown = g_string_new(NULL);

	cw_answer_begin(answer, 0);
	assert_int_equal(feed(answer, shown, CHUNK("1", "a ") "id: 3\ndata: [DONE]\n\n"),
			 CW_ANSWER_MALFORMED);
	g_string_free(shown, TRUE);
	cw_answer_destroy(answer);
}

static void another_server_goes_on_from_the_text(void **state)
{
	struct cw_answer *answer = cw_answer_create(10000);
	GString *shown = g_string_new(NULL);

	cw_answer_begin(answer, 0);
	feed(answer, shown, CHUNK("1", "a "));
	cw_answer_begin(answer, 0);
	assert_int_equal(feed(answer, shown, CHUNK("1", "b ") "data: [DONE]\n\n"), CW_ANSWER_DONE);
	assert_string_equal(cw_answer_text(answer), "a b ");
	assert_non_null(strstr(shown->str, "id: 2\n"));
	assert_int_equal(cw_answer_attempt_tokens(answer), 1);
	g_string_free(shown, TRUE);
	cw_answer_destroy(answer);
}

static void rubbish_is_told(void **state)
{
	static const char *const rubbish[] = {"<html>\n\n",
					      "data: not json\n\n",
					      "data: [1]\n\n",
					      "event: error\ndata: {}\n\n",
					      "data: {\"error\":{}}\n\n",
					      "id: 1\n\n"};

	for (size_t i = 0; i < G_N_ELEMENTS(rubbish); i++) {
		struct cw_answer *answer = cw_answer_create(1000);
		GString *shown = g_string_new(NULL);

		cw_answer_begin(answer, 0);
		assert_int_equal(feed(answer, shown, rubbish[i]), CW_ANSWER_MALFORMED);
		assert_int_equal(shown->len, 0);
		g_string_free(shown, TRUE);
		cw_answer_destroy(answer);
	}
}

static void too_much_is_cut(void **state)
{
	struct cw_answer *answer = cw_answer_create(1000);
	GString *shown = g_string_new(NULL);
	char *endless = g_strnfill(2000, 'x');

	cw_answer_begin(answer, 0);
	assert_int_equal(feed(answer, shown, endless), CW_ANSWER_MALFORMED);
	g_free(endless);
	g_string_free(shown, TRUE);
	cw_answer_destroy(answer);
}

static void whole_answers_are_checked(void **state)
{
	static const char good[] = "{\"choices\":[{\"message\":{\"content\":\"hi\"}}],\"usage\":{"
				   "\"prompt_tokens\":3,\"completion_tokens\":1}}";
	static const char *const bad[] = {
		"", "{}", "[]", "7", "{\"choices\":[]}", "{\"choices\":[{}]}", "{\"choices\":7}"};
	unsigned int prompt;
	unsigned int completion;
	char *text;

	assert_int_equal(cw_answer_parse_whole(good, strlen(good), &prompt, &completion, &text),
			 CW_OK);
	assert_string_equal(text, "hi");
	assert_int_equal(prompt, 3);
	g_free(text);
	for (size_t i = 0; i < G_N_ELEMENTS(bad); i++)
		assert_int_equal(
			cw_answer_parse_whole(bad[i], strlen(bad[i]), &prompt, &completion, &text),
			CW_INVALID);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(events_are_cut_at_any_byte),
		cmocka_unit_test(a_resumed_chunk_is_shown_once),
		cmocka_unit_test(a_missing_chunk_is_no_answer),
		cmocka_unit_test(chunks_may_count_from_nought_or_not_at_all),
		cmocka_unit_test(an_end_that_skips_a_chunk_is_no_end),
		cmocka_unit_test(another_server_goes_on_from_the_text),
		cmocka_unit_test(rubbish_is_told),
		cmocka_unit_test(too_much_is_cut),
		cmocka_unit_test(whole_answers_are_checked),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
