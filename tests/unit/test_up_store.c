/* Records of the shared store: server list entries, valid and invalid, and drain orders. */
#include "cw_up.h"
#include "unit.h"

#include <stdio.h>
#include <string.h>

#define OTHER_MEMBERS                                                                              \
	"\"zone\":\"z1\",\"version\":\"v1\",\"slots\":64,\"cold_left_ms\":0,\"stage\":\"x\","
#define VALID_ENTRY                                                                                \
	"{\"service\":\"llm\",\"address\":\"10.0.0.1:80\"," OTHER_MEMBERS                          \
	"\"state\":\"ready\",\"seq\":1,\"born\":1790651616045}"

static void append_number(GString *out, uint64_t number, int bytes)
{
	for (int shift = (bytes - 1) * 8; shift >= 0; shift -= 8)
		g_string_append_c(out, (char)(number >> shift & 0xff));
}

static void append_record(GString *out, const char *key, const char *value, size_t size)
{
	append_number(out, 1 + strlen(key) + size, 4);
	append_number(out, strlen(key), 1);
	g_string_append(out, key);
	g_string_append_len(out, value, (gssize)size);
}

/* Parses a page of a log-read answer with one record. The caller clears the page. */
static const struct cw_up_record *parse_as_log_read(struct cw_up_page *page, const char *key,
						    const char *value, size_t size)
{
	GString *body = g_string_new(NULL);
	struct cw_error error = {0};

	append_number(body, 8, 8);
	append_number(body, 0, 8);
	append_record(body, key, value, size);
	assert_int_equal(cw_up_parse_log_read(CW_UP_TOPIC_SERVERS, 200, body, 7, page, &error),
			 CW_OK);
	assert_int_equal(page->count, 1);
	g_string_free(body, TRUE);
	return &page->log_record[0];
}

/* The same for an answer of log-newest. */
static const struct cw_up_record *parse_as_log_newest(struct cw_up_page *page, const char *key,
						      const char *value, size_t size)
{
	gchar *encoded = g_base64_encode((const guchar *)value, size);
	GString *body = g_string_new(NULL);
	struct cw_error error = {0};

	g_string_printf(body,
			"{\"items\":[{\"key\":\"%s\",\"value\":\"%s\",\"offset\":7}],"
			"\"has_more\":false,\"end_offset\":8}",
			key, encoded);
	assert_int_equal(cw_up_parse_log_newest(CW_UP_TOPIC_SERVERS, 200, body, page, &error),
			 CW_OK);
	assert_int_equal(page->count, 1);
	g_string_free(body, TRUE);
	g_free(encoded);
	return &page->log_record[0];
}

static void a_valid_entry_describes_a_server(void **state)
{
	struct cw_up_page page;
	const struct cw_up_record *record =
		parse_as_log_read(&page, "s1", VALID_ENTRY, strlen(VALID_ENTRY));

	assert_int_equal(record->kind, CW_UP_RECORD_SERVER);
	assert_int_equal(record->offset, 7);
	assert_string_equal(record->server.name, "s1");
	assert_string_equal(record->server.service, "llm");
	assert_string_equal(record->server.address, "10.0.0.1:80");
	assert_string_equal(record->server.failure_domain, "z1");
	assert_string_equal(record->server.software, "v1");
	assert_int_equal(record->server.slots, 64);
	assert_int_equal(record->server.is_leaving, 0);
	assert_true(record->server.process_start_ms == 1790651616045);
	cw_up_page_clear(&page);
	record = parse_as_log_newest(&page, "s1", VALID_ENTRY, strlen(VALID_ENTRY));
	assert_int_equal(record->kind, CW_UP_RECORD_SERVER);
	assert_true(record->server.process_start_ms == 1790651616045);
	cw_up_page_clear(&page);
}

/* A fractional time is truncated; a time out of range is clamped to 0 and 600 s. */
static void an_entry_reports_the_remaining_cold_time(void **state)
{
	static const struct {
		const char *reported;
		int64_t cold_ms;
	} cases[] = {{"2400", 2400}, {"2400.5", 2400}, {"-3", 0}, {"1e300", 600000}};

	for (size_t i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		struct cw_up_page page;
		const struct cw_up_record *record;
		char entry[256];

		snprintf(entry, sizeof(entry),
			 "{\"service\":\"llm\",\"address\":\"10.0.0.1:80\",\"zone\":\"z1\","
			 "\"version\":\"v1\",\"slots\":64,\"cold_left_ms\":%s,\"state\":\"ready\","
			 "\"seq\":1}",
			 cases[i].reported);
		record = parse_as_log_read(&page, "s1", entry, strlen(entry));
		assert_int_equal(record->kind, CW_UP_RECORD_SERVER);
		assert_true(record->server.cold_ms == cases[i].cold_ms);
		cw_up_page_clear(&page);
	}
}

/* Parses a page of the operators' topic with one record. The caller clears the page. */
static const struct cw_up_record *parse_operator_record(struct cw_up_page *page, const char *key,
							const char *value)
{
	GString *body = g_string_new(NULL);
	struct cw_error error = {0};

	append_number(body, 8, 8);
	append_number(body, 0, 8);
	append_record(body, key, value, strlen(value));
	assert_int_equal(cw_up_parse_log_read(CW_UP_TOPIC_OPERATOR, 200, body, 7, page, &error),
			 CW_OK);
	g_string_free(body, TRUE);
	return &page->log_record[0];
}

/* Any value orders the drain, even one that is not JSON; a record without a value revokes it. */
static void a_drain_is_ordered_with_a_value_and_revoked_without(void **state)
{
	static const char *const values[] = {"{}", "null", "no JSON"};
	struct cw_up_page page;
	const struct cw_up_record *record;

	for (size_t i = 0; i < sizeof(values) / sizeof(values[0]); i++) {
		record = parse_operator_record(&page, "evacuate/z1", values[i]);
		assert_int_equal(record->kind, CW_UP_RECORD_DRAIN_ORDER);
		assert_string_equal(record->drain.failure_domain, "z1");
		assert_int_equal(record->drain.is_drained, 1);
		assert_int_equal(record->drain.position.offset, 7);
		cw_up_page_clear(&page);
	}
	record = parse_operator_record(&page, "evacuate/z1", "");
	assert_int_equal(record->kind, CW_UP_RECORD_DRAIN_ORDER);
	assert_int_equal(record->drain.is_drained, 0);
	cw_up_page_clear(&page);
	record = parse_operator_record(&page, "evacuate/", "{}");
	assert_int_equal(record->kind, CW_UP_RECORD_OTHER);
	cw_up_page_clear(&page);
}

/* The start time of the server's process is optional. */
static void an_entry_may_omit_the_process_start(void **state)
{
	static const char entry[] =
		"{\"service\":\"llm\",\"address\":\"10.0.0.1:80\"," OTHER_MEMBERS
		"\"state\":\"draining\",\"seq\":1}";
	struct cw_up_page page;
	const struct cw_up_record *record = parse_as_log_read(&page, "s1", entry, strlen(entry));

	assert_int_equal(record->kind, CW_UP_RECORD_SERVER);
	assert_int_equal(record->server.is_leaving, 1);
	assert_true(record->server.process_start_ms == 0);
	cw_up_page_clear(&page);
}

/*
 * Guards against requests that are sent to addresses where no server of the service listens.
 * Another client of the store writes an entry, under a server's key or a new one: with members
 * missing or of another type, with an unknown state, or not JSON at all. The readable members of
 * such an entry used to be taken, and the others set to defaults.
 */
static void an_invalid_entry_describes_no_server(void **state)
{
	static const char *const entries[] = {
		"no JSON",
		"\x01\xff\xfe\x80",
		"[1,2]",
		"\"text\"",
		"{}",
		VALID_ENTRY " and more",
		"{\"address\":\"10.0.0.1:80\"," OTHER_MEMBERS "\"state\":\"ready\",\"seq\":1}",
		"{\"service\":\"llm\"," OTHER_MEMBERS "\"state\":\"ready\",\"seq\":1}",
		"{\"service\":7,\"address\":\"10.0.0.1:80\"," OTHER_MEMBERS
		"\"state\":\"ready\",\"seq\":1}",
		"{\"service\":\"\",\"address\":\"10.0.0.1:80\"," OTHER_MEMBERS
		"\"state\":\"ready\",\"seq\":1}",
		"{\"service\":\"l lm\",\"address\":\"10.0.0.1:80\"," OTHER_MEMBERS
		"\"state\":\"ready\",\"seq\":1}",
		"{\"service\":\"llm\\u0000x\",\"address\":\"10.0.0.1:80\"," OTHER_MEMBERS
		"\"state\":\"ready\",\"seq\":1}",
		"{\"service\":\"llm\",\"address\":\"somewhere\"," OTHER_MEMBERS
		"\"state\":\"ready\",\"seq\":1}",
		"{\"service\":\"llm\",\"address\":\"10.0.0.1:80\"," OTHER_MEMBERS "\"seq\":1}",
		"{\"service\":\"llm\",\"address\":\"10.0.0.1:80\"," OTHER_MEMBERS
		"\"state\":\"resting\",\"seq\":1}",
		"{\"service\":\"llm\",\"address\":\"10.0.0.1:80\"," OTHER_MEMBERS
		"\"state\":1,\"seq\":1}",
		"{\"service\":\"llm\",\"address\":\"10.0.0.1:80\"," OTHER_MEMBERS
		"\"state\":\"ready\"}",
		"{\"service\":\"llm\",\"address\":\"10.0.0.1:80\"," OTHER_MEMBERS
		"\"state\":\"ready\",\"seq\":\"1\"}",
		"{\"service\":\"llm\",\"address\":\"10.0.0.1:80\"," OTHER_MEMBERS
		"\"state\":\"ready\",\"seq\":1,\"born\":\"1790651616045\"}",
		"{\"service\":\"llm\",\"address\":\"10.0.0.1:80\"," OTHER_MEMBERS
		"\"state\":\"ready\",\"seq\":1,\"born\":1790651616045.5}",
		"{\"service\":\"llm\",\"address\":\"10.0.0.1:80\"," OTHER_MEMBERS
		"\"state\":\"ready\",\"seq\":1,\"born\":-1}",
		"{\"service\":\"llm\",\"address\":\"10.0.0.1:80\"," OTHER_MEMBERS
		"\"state\":\"ready\",\"seq\":1,\"born\":null}",
		"{\"service\":\"llm\",\"address\":\"10.0.0.1:80\",\"zone\":\"z1\",\"version\":"
		"\"v1\","
		"\"slots\":\"64\",\"cold_left_ms\":0,\"state\":\"ready\",\"seq\":1}",
		"{\"service\":\"llm\",\"address\":\"10.0.0.1:80\",\"zone\":\"z1\",\"version\":"
		"\"v1\","
		"\"slots\":64,\"state\":\"ready\",\"seq\":1}",
	};
	struct cw_up_page page;
	const struct cw_up_record *record;

	for (size_t i = 0; i < G_N_ELEMENTS(entries); i++) {
		record = parse_as_log_read(&page, "s1", entries[i], strlen(entries[i]));
		assert_int_equal(record->kind, CW_UP_RECORD_SERVER_REMOVED);
		assert_string_equal(record->server.name, "s1");
		assert_int_not_equal(record->error.status, CW_OK);
		cw_up_page_clear(&page);
		record = parse_as_log_newest(&page, "s1", entries[i], strlen(entries[i]));
		assert_int_equal(record->kind, CW_UP_RECORD_SERVER_REMOVED);
		assert_int_not_equal(record->error.status, CW_OK);
		cw_up_page_clear(&page);
	}
}

/* An invalid record must not affect the decoding of the records before and after it. */
static void valid_records_around_invalid_ones_are_decoded(void **state)
{
	char long_key[200];
	GString *body = g_string_new(NULL);
	struct cw_error error = {0};
	struct cw_up_page page;

	memset(long_key, 'k', sizeof(long_key) - 1);
	long_key[sizeof(long_key) - 1] = '\0';
	append_number(body, 12, 8);
	append_number(body, 0, 8);
	append_record(body, "s1", VALID_ENTRY, strlen(VALID_ENTRY));
	append_record(body, "s2", "\x80", 1);
	append_record(body, long_key, VALID_ENTRY, strlen(VALID_ENTRY));
	append_record(body, "a key", VALID_ENTRY, strlen(VALID_ENTRY));
	append_number(body, 0, 4);
	append_record(body, "s3", VALID_ENTRY, strlen(VALID_ENTRY));
	assert_int_equal(cw_up_parse_log_read(CW_UP_TOPIC_SERVERS, 200, body, 6, &page, &error),
			 CW_OK);
	assert_int_equal(page.count, 6);
	assert_int_equal(page.end_offset, 12);
	assert_int_equal(page.log_record[0].kind, CW_UP_RECORD_SERVER);
	assert_int_equal(page.log_record[1].kind, CW_UP_RECORD_SERVER_REMOVED);
	assert_int_equal(page.log_record[2].kind, CW_UP_RECORD_OTHER);
	assert_int_equal(page.log_record[3].kind, CW_UP_RECORD_OTHER);
	assert_int_equal(page.log_record[4].kind, CW_UP_RECORD_OTHER);
	assert_int_equal(page.log_record[5].kind, CW_UP_RECORD_SERVER);
	assert_int_equal(page.log_record[5].offset, 11);
	cw_up_page_clear(&page);
	g_string_free(body, TRUE);
}

/* The next page is requested by the last key of a page, so the key must be complete. */
static void a_long_key_is_not_truncated(void **state)
{
	char key[256];
	struct cw_up_page page;

	memset(key, 'k', 255);
	key[255] = '\0';
	parse_as_log_newest(&page, key, VALID_ENTRY, strlen(VALID_ENTRY));
	assert_string_equal(page.after, key);
	assert_int_equal(page.log_record[0].kind, CW_UP_RECORD_OTHER);
	cw_up_page_clear(&page);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(a_valid_entry_describes_a_server),
		cmocka_unit_test(an_entry_reports_the_remaining_cold_time),
		cmocka_unit_test(a_drain_is_ordered_with_a_value_and_revoked_without),
		cmocka_unit_test(an_entry_may_omit_the_process_start),
		cmocka_unit_test(an_invalid_entry_describes_no_server),
		cmocka_unit_test(valid_records_around_invalid_ones_are_decoded),
		cmocka_unit_test(a_long_key_is_not_truncated),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
