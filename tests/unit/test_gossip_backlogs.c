/* Notes on what an instance has in progress at servers, and the same in its announcements. */
#include "cw_gossip.h"
#include "cw_gossip_backlogs.h"
#include "cw_pool.h"
#include "unit.h"

#include <string.h>

static void fill_note(struct cw_gossip_backlogs *note)
{
	memset(note, 0, sizeof(*note));
	note->instance = 1ULL << 50;
	note->boot = 77;
	note->sequence = 1234567;
	note->count = 2;
	note->reports[0] = (struct cw_backlog_report){1ULL << 40, {3, 2, 700, 24000}};
	note->reports[1] = (struct cw_backlog_report){6, {0, 0, 0, 0}};
}

/* Guards against a truncated note that is taken for a complete one. */
static void a_note_is_decoded_as_it_was_encoded(void **state)
{
	struct cw_gossip_backlogs sent;
	struct cw_gossip_backlogs read;
	char bytes[CW_GOSSIP_BACKLOGS_BYTES];
	size_t size;

	fill_note(&sent);
	size = cw_gossip_encode_backlogs(&sent, bytes, sizeof(bytes));
	assert_true(size > 0 && size < 100);
	assert_int_equal(cw_gossip_decode_backlogs(bytes, size, &read), CW_OK);
	assert_memory_equal(&read, &sent, sizeof(read));
	for (size_t length = 0; length < size; length++)
		assert_int_equal(cw_gossip_decode_backlogs(bytes, length, &read), CW_INVALID);
	sent.count = CW_GOSSIP_BACKLOGS;
	assert_true(cw_gossip_encode_backlogs(&sent, bytes, sizeof(bytes)) > 0);
}

/* Guards against one absurd number that makes every instance avoid a server. */
static void an_absurd_note_is_rejected(void **state)
{
	static const struct cw_backlog_share absurd[] = {
		{1U << 20, 0, 0, 0}, {1, 1U << 20, 0, 0}, {1, 1, 1U << 30, 0}, {1, 1, 1, 1U << 30}};
	struct cw_gossip_backlogs sent;
	struct cw_gossip_backlogs read;
	char bytes[CW_GOSSIP_BACKLOGS_BYTES];

	for (size_t i = 0; i < sizeof(absurd) / sizeof(absurd[0]); i++) {
		fill_note(&sent);
		sent.reports[1].share = absurd[i];
		assert_int_equal(cw_gossip_encode_backlogs(&sent, bytes, sizeof(bytes)), 0);
		/* From a sender without the check: the number written over the last four fields. */
		fill_note(&sent);
		for (size_t field = 0; field < 4; field++) {
			size_t size = cw_gossip_encode_backlogs(&sent, bytes, sizeof(bytes));

			memset(bytes + size - 16 + 4 * field, 0x7f, 4);
			assert_int_equal(cw_gossip_decode_backlogs(bytes, size, &read), CW_INVALID);
		}
	}
}

/* Guards against a caller's absurd size of a prompt that silences this instance's announcements. */
static void an_absurd_prompt_is_announced(void **state)
{
	struct cw_pool *pool = cw_pool_create(&cw_choice_cost);
	struct cw_server *server = cw_pool_add(pool, "s1", "llm", "10.0.0.1:80", "d1", 0);
	struct cw_gossip sent = {.load_sequence = 1, .load_count = 1};
	struct cw_gossip_backlogs note = {.count = 1};
	char bytes[CW_GOSSIP_BYTES];

	cw_pool_count_unread(pool, 1);
	cw_pool_begin_work(server, 1e15, 0, 1000);
	cw_pool_hold_tokens(server, 1e15);
	cw_pool_get_share(server, &sent.shares[0], 1000);
	cw_pool_get_long_share(server, &note.reports[0].share, 1000);
	assert_true(cw_gossip_encode(&sent, bytes, sizeof(bytes)) > 0);
	assert_true(cw_gossip_encode_backlogs(&note, bytes, sizeof(bytes)) > 0);
	cw_pool_destroy(pool);
}

/* Guards against announcements that instances of an earlier build can't read, or read from them. */
static void announcements_end_with_the_shares(void **state)
{
	struct cw_gossip sent = {.boot = 7, .load_count = 1};
	struct cw_gossip read;
	char bytes[CW_GOSSIP_BYTES];
	char earlier[CW_GOSSIP_BYTES];
	size_t earlier_size;
	size_t size;

	strcpy(sent.sender.instance, "e1");
	strcpy(sent.sender.address, "10.0.0.1:7000");
	sent.loads[0] = (struct cw_gossip_load){5, 6, 7};
	earlier_size = cw_gossip_encode(&sent, earlier, sizeof(earlier));
	sent.load_sequence = 9;
	sent.shares[0] = (struct cw_backlog_share){6, 2, 70, 9000};
	size = cw_gossip_encode(&sent, bytes, sizeof(bytes));
	assert_int_equal(size, earlier_size + 4 + 12);
	assert_memory_equal(bytes, earlier, earlier_size);
	assert_int_equal(cw_gossip_decode(bytes, size, &read), CW_OK);
	assert_memory_equal(&read, &sent, sizeof(read));
	assert_int_equal(cw_gossip_decode(earlier, earlier_size, &read), CW_OK);
	assert_int_equal(read.load_sequence, 0);
	for (size_t length = earlier_size + 1; length < size; length++)
		assert_int_equal(cw_gossip_decode(bytes, length, &read), CW_INVALID);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(a_note_is_decoded_as_it_was_encoded),
		cmocka_unit_test(an_absurd_note_is_rejected),
		cmocka_unit_test(an_absurd_prompt_is_announced),
		cmocka_unit_test(announcements_end_with_the_shares),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
