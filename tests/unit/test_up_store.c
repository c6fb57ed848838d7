/* What the store's records hold: entries of backend servers, and entries that name none. */
#include "cw_up.h"
#include "unit.h"

#include <stdio.h>
#include <string.h>

#define REST "\"zone\":\"z1\",\"version\":\"v1\",\"slots\":64,\"cold_left_ms\":0,\"stage\":\"x\","
#define WHOLE                                                                                      \
	"{\"service\":\"llm\",\"address\":\"10.0.0.1:80\"," REST                                   \
	"\"state\":\"ready\",\"seq\":1,\"born\":1790651616045}"

static void put_number(GString *out, uint64_t number, int bytes)
{
	for (int shift = (bytes - 1) * 8; shift >= 0; shift -= 8)
		g_string_append_c(out, (char)(number >> shift & 0xff));
}

static void put_record(GString *out, const char *key, const char *value, size_t size)
{
	put_number(out, 1 + strlen(key) + size, 4);
	put_number(out, strlen(key), 1);
	g_string_append(out, key);
	g_string_append_len(out, value, (gssize)size);
}

/* One record as it is followed; the page is to be cleared. */
static const struct cw_up_news *follow(struct cw_up_page *page, const char *key, const char *value,
				       size_t size)
{
	GString *body = g_string_new(NULL);
	struct cw_error error = {0};

	put_number(body, 8, 8);
	put_number(body, 0, 8);
	put_record(body, key, value, size);
	assert_int_equal(cw_up_read_answer(CW_UP_SERVERS, 200, body, 7, page, &error), CW_OK);
	assert_int_equal(page->count, 1);
	g_string_free(body, TRUE);
	return &page->news[0];
}

/* The same record as it is collected. */
static const struct cw_up_news *collect(struct cw_up_page *page, const char *key, const char *value,
					size_t size)
{
	gchar *coded = g_base64_encode((const guchar *)value, size);
	GString *body = g_string_new(NULL);
	struct cw_error error = {0};

	g_string_printf(body,
			"{\"items\":[{\"key\":\"%s\",\"value\":\"%s\",\"offset\":7}],"
			"\"has_more\":false,\"end_offset\":8}",
			key, coded);
	assert_int_equal(cw_up_newest_answer(CW_UP_SERVERS, 200, body, page, &error), CW_OK);
	assert_int_equal(page->count, 1);
	g_string_free(body, TRUE);
	g_free(coded);
	return &page->news[0];
}

static void a_whole_entry_names_a_server(void **state)
{
	struct cw_up_page page;
	const struct cw_up_news *news = follow(&page, "s1", WHOLE, strlen(WHOLE));

	assert_int_equal(news->kind, CW_UP_SERVER);
	assert_int_equal(news->offset, 7);
	assert_string_equal(news->server.name, "s1");
	assert_string_equal(news->server.service, "llm");
	assert_string_equal(news->server.address, "10.0.0.1:80");
	assert_string_equal(news->server.failure_domain, "z1");
	assert_string_equal(news->server.software, "v1");
	assert_int_equal(news->server.slots, 64);
	assert_int_equal(news->server.leaving, 0);
	assert_true(news->server.process_start_ms == 1790651616045);
	cw_up_page_clear(&page);
	news = collect(&page, "s1", WHOLE, strlen(WHOLE));
	assert_int_equal(news->kind, CW_UP_SERVER);
	assert_true(news->server.process_start_ms == 1790651616045);
	cw_up_page_clear(&page);
}

/* How long a server says that it stays cold, whole or not; a record is no news of a wild one. */
static void an_entry_tells_how_long_its_server_stays_cold(void **state)
{
	static const struct {
		const char *told;
		int64_t cold_ms;
	} cases[] = {{"2400", 2400}, {"2400.5", 2400}, {"-3", 0}, {"1e300", 600000}};

	for (size_t i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		struct cw_up_page page;
		const struct cw_up_news *news;
		char entry[256];

		snprintf(entry, sizeof(entry),
			 "{\"service\":\"llm\",\"address\":\"10.0.0.1:80\",\"zone\":\"z1\","
			 "\"version\":\"v1\",\"slots\":64,\"cold_left_ms\":%s,\"state\":\"ready\","
			 "\"seq\":1}",
			 cases[i].told);
		news = follow(&page, "s1", entry, strlen(entry));
		assert_int_equal(news->kind, CW_UP_SERVER);
		assert_true(news->server.cold_ms == cases[i].cold_ms);
		cw_up_page_clear(&page);
	}
}

/* One operator's record as it is followed; the page is to be cleared. */
static const struct cw_up_news *follow_order(struct cw_up_page *page, const char *key,
					     const char *value)
{
	GString *body = g_string_new(NULL);
	struct cw_error error = {0};

	put_number(body, 8, 8);
	put_number(body, 0, 8);
	put_record(body, key, value, strlen(value));
	assert_int_equal(cw_up_read_answer(CW_UP_OPERATOR, 200, body, 7, page, &error), CW_OK);
	g_string_free(body, TRUE);
	return &page->news[0];
}

/* That the key has a value is the order, whatever it holds; without one it is taken back. */
static void a_drain_is_ordered_and_taken_back_by_its_key(void **state)
{
	static const char *const values[] = {"{}", "null", "no JSON"};
	struct cw_up_page page;
	const struct cw_up_news *news;

	for (size_t i = 0; i < sizeof(values) / sizeof(values[0]); i++) {
		news = follow_order(&page, "evacuate/z1", values[i]);
		assert_int_equal(news->kind, CW_UP_DRAIN);
		assert_string_equal(news->drain.failure_domain, "z1");
		assert_int_equal(news->drain.is_drained, 1);
		assert_int_equal(news->drain.offset, 7);
		cw_up_page_clear(&page);
	}
	news = follow_order(&page, "evacuate/z1", "");
	assert_int_equal(news->kind, CW_UP_DRAIN);
	assert_int_equal(news->drain.is_drained, 0);
	cw_up_page_clear(&page);
	news = follow_order(&page, "evacuate/", "{}");
	assert_int_equal(news->kind, CW_UP_OTHER);
	cw_up_page_clear(&page);
}

/* A server that doesn't tell when it started is one all the same. */
static void an_entry_may_leave_out_its_birth(void **state)
{
	static const char entry[] = "{\"service\":\"llm\",\"address\":\"10.0.0.1:80\"," REST
				    "\"state\":\"draining\",\"seq\":1}";
	struct cw_up_page page;
	const struct cw_up_news *news = follow(&page, "s1", entry, strlen(entry));

	assert_int_equal(news->kind, CW_UP_SERVER);
	assert_int_equal(news->server.leaving, 1);
	assert_true(news->server.process_start_ms == 0);
	cw_up_page_clear(&page);
}

/*
 * Symptom: requests went to addresses where no server of the service was.
 * Sequence: someone else writes under a server's key, or under a key of their own: fields missing
 * or of another type, a state nobody knows, bytes that are no JSON.
 * Cause: what could be read of an entry was taken, and the rest filled with defaults.
 */
static void an_entry_that_cannot_be_read_names_no_server(void **state)
{
	static const char *const entries[] = {
		"no JSON",
		"\x01\xff\xfe\x80",
		"[1,2]",
		"\"text\"",
		"{}",
		WHOLE " and more",
		"{\"address\":\"10.0.0.1:80\"," REST "\"state\":\"ready\",\"seq\":1}",
		"{\"service\":\"llm\"," REST "\"state\":\"ready\",\"seq\":1}",
		"{\"service\":7,\"address\":\"10.0.0.1:80\"," REST "\"state\":\"ready\",\"seq\":1}",
		"{\"service\":\"\",\"address\":\"10.0.0.1:80\"," REST
		"\"state\":\"ready\",\"seq\":1}",
		"{\"service\":\"l lm\",\"address\":\"10.0.0.1:80\"," REST
		"\"state\":\"ready\",\"seq\":1}",
		"{\"service\":\"llm\\u0000x\",\"address\":\"10.0.0.1:80\"," REST
		"\"state\":\"ready\",\"seq\":1}",
		"{\"service\":\"llm\",\"address\":\"somewhere\"," REST
		"\"state\":\"ready\",\"seq\":1}",
		"{\"service\":\"llm\",\"address\":\"10.0.0.1:80\"," REST "\"seq\":1}",
		"{\"service\":\"llm\",\"address\":\"10.0.0.1:80\"," REST
		"\"state\":\"resting\",\"seq\":1}",
		"{\"service\":\"llm\",\"address\":\"10.0.0.1:80\"," REST "\"state\":1,\"seq\":1}",
		"{\"service\":\"llm\",\"address\":\"10.0.0.1:80\"," REST "\"state\":\"ready\"}",
		"{\"service\":\"llm\",\"address\":\"10.0.0.1:80\"," REST
		"\"state\":\"ready\",\"seq\":\"1\"}",
		"{\"service\":\"llm\",\"address\":\"10.0.0.1:80\"," REST
		"\"state\":\"ready\",\"seq\":1,\"born\":\"1790651616045\"}",
		"{\"service\":\"llm\",\"address\":\"10.0.0.1:80\"," REST
		"\"state\":\"ready\",\"seq\":1,\"born\":1790651616045.5}",
		"{\"service\":\"llm\",\"address\":\"10.0.0.1:80\"," REST
		"\"state\":\"ready\",\"seq\":1,\"born\":-1}",
		"{\"service\":\"llm\",\"address\":\"10.0.0.1:80\"," REST
		"\"state\":\"ready\",\"seq\":1,\"born\":null}",
		"{\"service\":\"llm\",\"address\":\"10.0.0.1:80\",\"zone\":\"z1\",\"version\":"
		"\"v1\","
		"\"slots\":\"64\",\"cold_left_ms\":0,\"state\":\"ready\",\"seq\":1}",
		"{\"service\":\"llm\",\"address\":\"10.0.0.1:80\",\"zone\":\"z1\",\"version\":"
		"\"v1\","
		"\"slots\":64,\"state\":\"ready\",\"seq\":1}",
	};
	struct cw_up_page page;
	const struct cw_up_news *news;

	for (size_t i = 0; i < G_N_ELEMENTS(entries); i++) {
		news = follow(&page, "s1", entries[i], strlen(entries[i]));
		assert_int_equal(news->kind, CW_UP_SERVER_GONE);
		assert_string_equal(news->server.name, "s1");
		assert_int_not_equal(news->error.status, CW_OK);
		cw_up_page_clear(&page);
		news = collect(&page, "s1", entries[i], strlen(entries[i]));
		assert_int_equal(news->kind, CW_UP_SERVER_GONE);
		assert_int_not_equal(news->error.status, CW_OK);
		cw_up_page_clear(&page);
	}
}

/* The others hold: records after one that can't be read are read as usual. */
static void records_beside_one_that_cannot_be_read_hold(void **state)
{
	char long_key[200];
	GString *body = g_string_new(NULL);
	struct cw_error error = {0};
	struct cw_up_page page;

	memset(long_key, 'k', sizeof(long_key) - 1);
	long_key[sizeof(long_key) - 1] = '\0';
	put_number(body, 12, 8);
	put_number(body, 0, 8);
	put_record(body, "s1", WHOLE, strlen(WHOLE));
	put_record(body, "s2", "\x80", 1);
	put_record(body, long_key, WHOLE, strlen(WHOLE));
	put_record(body, "a key", WHOLE, strlen(WHOLE));
	put_number(body, 0, 4);
	put_record(body, "s3", WHOLE, strlen(WHOLE));
	assert_int_equal(cw_up_read_answer(CW_UP_SERVERS, 200, body, 6, &page, &error), CW_OK);
	assert_int_equal(page.count, 6);
	assert_int_equal(page.end, 12);
	assert_int_equal(page.news[0].kind, CW_UP_SERVER);
	assert_int_equal(page.news[1].kind, CW_UP_SERVER_GONE);
	assert_int_equal(page.news[2].kind, CW_UP_OTHER);
	assert_int_equal(page.news[3].kind, CW_UP_OTHER);
	assert_int_equal(page.news[4].kind, CW_UP_OTHER);
	assert_int_equal(page.news[5].kind, CW_UP_SERVER);
	assert_int_equal(page.news[5].offset, 11);
	cw_up_page_clear(&page);
	g_string_free(body, TRUE);
}

/* Pages are asked for by the last key of the one before, whatever that key is. */
static void a_long_key_is_carried_on_whole(void **state)
{
	char key[256];
	struct cw_up_page page;

	memset(key, 'k', 255);
	key[255] = '\0';
	collect(&page, key, WHOLE, strlen(WHOLE));
	assert_string_equal(page.after, key);
	assert_int_equal(page.news[0].kind, CW_UP_OTHER);
	cw_up_page_clear(&page);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(a_whole_entry_names_a_server),
		cmocka_unit_test(an_entry_tells_how_long_its_server_stays_cold),
		cmocka_unit_test(a_drain_is_ordered_and_taken_back_by_its_key),
		cmocka_unit_test(an_entry_may_leave_out_its_birth),
		cmocka_unit_test(an_entry_that_cannot_be_read_names_no_server),
		cmocka_unit_test(records_beside_one_that_cannot_be_read_hold),
		cmocka_unit_test(a_long_key_is_carried_on_whole),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
