/* Fields of answer heads in which backend servers report about themselves, valid and invalid. */
#include "cw_message.h"
#include "cw_up.h"
#include "unit.h"

#include <string.h>

static void add_field(struct cw_message *message, const char *name, const char *value)
{
	cw_message_add_name(message, name, strlen(name));
	cw_message_add_value(message, value, strlen(value));
}

/* Parses an answer with up to two values of one field; NULL: none. */
static struct cw_response_head parse_status(unsigned int status, const char *name,
					    const char *first, const char *second)
{
	struct cw_message *answer = cw_message_create();
	struct cw_response_head head;

	answer->status = status;
	if (first)
		add_field(answer, name, first);
	if (second)
		add_field(answer, name, second);
	cw_message_end_fields(answer);
	cw_up_parse_answer_head(answer, &head);
	cw_message_destroy(answer);
	return head;
}

static struct cw_response_head parse(const char *name, const char *first, const char *second)
{
	return parse_status(200, name, first, second);
}

static void a_rate_limit_is_a_decimal_number(void **state)
{
	struct cw_response_head head = parse("Server-Limit", "2.3", NULL);

	assert_int_equal(head.rate_limit, CW_FIELD_VALID);
	assert_true(head.rate_limit_per_s > 2.29 && head.rate_limit_per_s < 2.31);
	assert_int_equal(parse("Server-Limit", "0", NULL).rate_limit, CW_FIELD_VALID);
	assert_int_equal(parse("Server-Limit", NULL, NULL).rate_limit, CW_FIELD_ABSENT);
}

/* An unreadable limit must not count as none: the server would get the full load. */
static void an_invalid_rate_limit_is_not_an_absent_one(void **state)
{
	static const char *const values[] = {"",      "-1",  "inf",	    "nan",
					     "1e999", "2,3", "2.3 a second"};

	for (size_t i = 0; i < sizeof(values) / sizeof(values[0]); i++)
		assert_int_equal(parse("Server-Limit", values[i], NULL).rate_limit,
				 CW_FIELD_INVALID);
	assert_int_equal(parse("Server-Limit", "2", "3").rate_limit, CW_FIELD_INVALID);
}

static void a_leaving_flag_is_0_or_1(void **state)
{
	struct cw_response_head head = parse("Server-Leaving", "1", NULL);

	assert_int_equal(head.leaving, CW_FIELD_VALID);
	assert_true(head.is_leaving);
	head = parse("Server-Leaving", "0", NULL);
	assert_int_equal(head.leaving, CW_FIELD_VALID);
	assert_false(head.is_leaving);
	assert_int_equal(parse("Server-Leaving", NULL, NULL).leaving, CW_FIELD_ABSENT);
	assert_int_equal(parse("Server-Leaving", "yes", NULL).leaving, CW_FIELD_INVALID);
	assert_int_equal(parse("Server-Leaving", "", NULL).leaving, CW_FIELD_INVALID);
	assert_int_equal(parse("Server-Leaving", "1", "0").leaving, CW_FIELD_INVALID);
}

/* Guards against the Retry-After of an answer of another kind, which is meant for the caller. */
static void only_a_503_asks_for_rest(void **state)
{
	struct cw_response_head head = parse_status(503, "Retry-After", "2.5", NULL);

	assert_int_equal(head.rest, CW_FIELD_VALID);
	assert_true(head.rest_s == 2.5);
	assert_int_equal(parse_status(503, "Retry-After", NULL, NULL).rest, CW_FIELD_ABSENT);
	assert_int_equal(parse_status(503, "Retry-After", "soon", NULL).rest, CW_FIELD_INVALID);
	assert_int_equal(parse_status(503, "Retry-After", "-3", NULL).rest, CW_FIELD_INVALID);
	assert_int_equal(parse_status(503, "Retry-After", "3", "4").rest, CW_FIELD_INVALID);
	assert_int_equal(parse("Retry-After", "3", NULL).rest, CW_FIELD_ABSENT);
}

static uint64_t parse_era(const char *first)
{
	struct cw_message *answer = cw_message_create();
	uint64_t era;

	if (first)
		add_field(answer, "Store-Era", first);
	cw_message_end_fields(answer);
	era = cw_up_parse_store_era(answer);
	cw_message_destroy(answer);
	return era;
}

/* An unreadable era must not count as a new one: all state would be read again. */
static void the_stores_era_is_a_whole_number(void **state)
{
	static const char *const invalid[] = {
		"", "-1", "1.5", "0x2", "two", "1 ", "99999999999999999999"};

	assert_int_equal(parse_era("0"), 1);
	assert_int_equal(parse_era("41"), 42);
	assert_int_equal(cw_era_number(parse_era("41")), 41);
	assert_int_equal(parse_era(NULL), CW_ERA_UNKNOWN);
	for (size_t i = 0; i < sizeof(invalid) / sizeof(invalid[0]); i++)
		assert_int_equal(parse_era(invalid[i]), CW_ERA_UNKNOWN);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(the_stores_era_is_a_whole_number),
		cmocka_unit_test(a_rate_limit_is_a_decimal_number),
		cmocka_unit_test(an_invalid_rate_limit_is_not_an_absent_one),
		cmocka_unit_test(a_leaving_flag_is_0_or_1),
		cmocka_unit_test(only_a_503_asks_for_rest),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
