/* The load that servers report with their answers, with and without how long work takes now. */
#include "cw_message.h"
#include "cw_up.h"
#include "unit.h"

#include <string.h>

static struct cw_response_head parse(const char *value, int repeats)
{
	struct cw_message *answer = cw_message_create();
	struct cw_response_head head;

	answer->status = 200;
	for (int i = 0; i <= repeats; i++) {
		cw_message_add_name(answer, "Server-Load", strlen("Server-Load"));
		cw_message_add_value(answer, value, strlen(value));
	}
	cw_message_end_fields(answer);
	cw_up_parse_answer_head(answer, &head);
	cw_message_destroy(answer);
	assert_true(head.has_load && head.running == 3 && head.queued == 1 && head.slots == 8);
	return head;
}

static void the_fourth_figure_is_percent_of_the_usual(void **state)
{
	assert_int_equal(parse("3,1,8", 0).momentary, CW_FIELD_ABSENT);
	assert_int_equal(parse("3,1,8,160", 0).momentary, CW_FIELD_VALID);
	assert_true(parse("3,1,8,160", 0).momentary_pace == 1.6);
	assert_true(parse("3,1,8,62.5,7", 0).momentary_pace == 0.625);
}

/* Guards against a load that is lost as its last figure can't be read. */
static void an_invalid_fourth_figure_leaves_the_load_valid(void **state)
{
	static const char *const values[] = {"3,1,8,",	  "3,1,8,0",   "3,1,8,-100", "3,1,8,1e9",
					     "3,1,8,inf", "3,1,8,nan", "3,1,8,fast", "3,1,8,1.0.0"};

	for (size_t i = 0; i < sizeof(values) / sizeof(values[0]); i++)
		assert_int_equal(parse(values[i], 0).momentary, CW_FIELD_INVALID);
	assert_int_equal(parse("3,1,8,100", 1).momentary, CW_FIELD_INVALID);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(the_fourth_figure_is_percent_of_the_usual),
		cmocka_unit_test(an_invalid_fourth_figure_leaves_the_load_valid),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
