/* Gossip messages: decoding restores what was encoded, and rejects anything else. */
#include "cw_audience.h"
#include "cw_gossip.h"
#include "cw_membership.h"
#include "cw_pack.h"
#include "unit.h"

#include <glib.h>
#include <math.h>
#include <stdlib.h>
#include <string.h>

/* Of init_message: the store's, two read positions, one roll-out, two drains. */
#define ERAS_BYTES	 (6 * sizeof(uint64_t))
#define FORWARDING_BYTES (sizeof(uint64_t) + sizeof(uint32_t)) /* what follows the eras */

static void init_message(struct cw_gossip *gossip)
{
	memset(gossip, 0, sizeof(*gossip));
	strcpy(gossip->sender.instance, "e1");
	strcpy(gossip->sender.failure_domain, "d1");
	strcpy(gossip->sender.address, "10.0.0.1:7000");
	gossip->boot = 77;
	gossip->is_leaving = 1;
	gossip->config_version = 12;
	gossip->store_era = 5;
	gossip->operator_next = (struct cw_position){4, 3};
	gossip->servers_next = (struct cw_position){5, 1ULL << 40};
	gossip->servers_age_ms = 20;
	gossip->change_count = 2;
	gossip->changes[0].offset = 41;
	strcpy(gossip->changes[0].entry.name, "s1");
	strcpy(gossip->changes[0].entry.address, "10.0.0.9:80");
	gossip->changes[0].entry.is_leaving = 1;
	gossip->changes[0].entry.process_start_ms = 1790651616045;
	gossip->changes[1].offset = 42;
	gossip->changes[1].is_removed = 1;
	strcpy(gossip->changes[1].entry.name, "s2");
	gossip->member_count = 1;
	strcpy(gossip->members[0].instance, "e2");
	gossip->load_count = 2;
	gossip->loads[1] = (struct cw_gossip_load){5, 6, 7};
	gossip->rollout_count = 1;
	strcpy(gossip->rollouts[0].service, "llm");
	gossip->rollouts[0].position = (struct cw_position){5, 31};
	gossip->rollouts[0].elapsed_ms = -5;
	gossip->rollouts[0].state = CW_ROLLOUT_ROLLED_BACK;
	gossip->rollouts[0].effective_ms[CW_ROLLOUT_STEP_FULL] = 14000;
	gossip->rollouts[0].effective_ms[CW_ROLLOUT_STEP_PASSED] = CW_ROLLOUT_NEVER;
	gossip->rollouts[0].counted_ms = 9000;
	gossip->rollouts[0].route_count = 1;
	gossip->rollouts[0].routes[0] =
		(struct cw_rollout_route){3, 9, 8, 1, 90, 4, 12, 3, CW_ROLLOUT_LONG_RUNNING, 0.25F};
	gossip->rollouts[0].kind_count = 1;
	gossip->rollouts[0].kinds[0] =
		(struct cw_rollout_evidence){9, 1, 1, 0.5F, 3, 0.75F, 2, 0.25F, 4, 0.5F};
	gossip->rollouts[0].session_count = 1;
	gossip->rollouts[0].sessions[0] = (struct cw_rollout_session){8, 400};
	gossip->changes[0].entry.cold_ms = 2400;
	gossip->drain_count = 2;
	gossip->drains[0] = (struct cw_drain_order){"d1", {4, 12}, 1};
	gossip->drains[1] = (struct cw_drain_order){"d2", {5, 14}, 0};
	gossip->forward_key = 0x1234567890abcdef;
	gossip->is_partitioned = 1;
}

static void a_message_is_decoded_as_it_was_encoded(void **state)
{
	struct cw_gossip sent;
	struct cw_gossip read;
	char bytes[CW_GOSSIP_BYTES];
	size_t size;

	init_message(&sent);
	size = cw_gossip_encode(&sent, bytes, sizeof(bytes));
	assert_true(size > 0);
	assert_int_equal(cw_gossip_decode(bytes, size, &read), CW_OK);
	assert_memory_equal(&sent, &read, sizeof(sent));
}

/*
 * Symptom: at the start of each roll-out 400 of 1,800 answers of 66 instances were late, answers
 * outside the roll-out included.
 * Sequence: for half a second each instance sends its state to all others, every 150 ms.
 * Cause: full messages, of 2.5 kB and more, filled links of 10 Mbit/s.
 */
static void a_trimmed_message_is_small(void **state)
{
	struct cw_gossip sent;
	struct cw_gossip read;
	char bytes[CW_GOSSIP_BYTES];
	size_t size;

	init_message(&sent);
	sent.load_count = 10;
	sent.change_count = CW_FOLLOW_CHANGES;
	sent.member_count = CW_GOSSIP_MEMBERS;
	sent.rollouts[0].session_count = CW_ROLLOUT_MAX_SESSIONS;
	/* Full messages carry server crashes, and reach all instances within a second. */
	sent.crash_count = CW_QUARANTINE_CRASHES_MAX;
	sent.quarantined_count = CW_QUARANTINE_RECORDS_MAX;
	cw_gossip_trim(&sent);
	size = cw_gossip_encode(&sent, bytes, sizeof(bytes));
	/* 65 messages of this size every 150 ms take at most 3 Mbit/s. */
	assert_true(size > 0 && size < 800);
	assert_int_equal(cw_gossip_decode(bytes, size, &read), CW_OK);
	assert_int_equal(read.load_count, 10);
	assert_int_equal(read.rollouts[0].session_count, CW_GOSSIP_TRIMMED_SESSIONS);
	/* An offset without the records before it would be a gap, which makes recipients read the
	 * shared store. */
	assert_int_equal(read.servers_next.offset, 0);
}

/* Guards against crashes that an instance places too late, since it was stopped meanwhile. */
static void ages_include_the_wait_of_the_message(void **state)
{
	struct cw_gossip gossip = {.servers_age_ms = CW_GOSSIP_NO_AGE,
				   .crash_count = 2,
				   .quarantined_count = 1,
				   .member_count = 1};

	gossip.crashes[0].age_ms = 40;
	gossip.crashes[0].answered_ms = CW_QUARANTINE_NEVER;
	gossip.crashes[1].answered_ms = 2000;
	cw_gossip_add_delay(&gossip, 475);
	assert_int_equal(gossip.crashes[0].age_ms, 515);
	assert_int_equal(gossip.crashes[0].answered_ms, CW_QUARANTINE_NEVER);
	assert_int_equal(gossip.crashes[1].age_ms, 475);
	assert_int_equal(gossip.crashes[1].answered_ms, 2475);
	assert_int_equal(gossip.quarantined[0].age_ms, 475);
	assert_int_equal(gossip.members[0].age_ms, 475);
	assert_int_equal(gossip.servers_age_ms, CW_GOSSIP_NO_AGE);
}

/* The two clocks differ by an unknown amount; the fastest message shows it. */
static void the_wait_of_a_message_is_its_delay_beyond_the_fastest(void **state)
{
	struct cw_member member = {0};

	cw_membership_mark_seen(&member, 7, 0, 1000);
	assert_int_equal(cw_membership_delay_ms(&member, 90003, 1000), 0);
	assert_int_equal(cw_membership_delay_ms(&member, 90103, 1098), 0);
	assert_int_equal(cw_membership_delay_ms(&member, 90203, 1673), 475);
	/* After a restart its clock may be another one. */
	cw_membership_mark_seen(&member, 8, 0, 2000);
	assert_int_equal(cw_membership_delay_ms(&member, 3, 2000), 0);
}

static void a_truncated_message_is_rejected(void **state)
{
	struct cw_gossip sent;
	struct cw_gossip read;
	char bytes[CW_GOSSIP_BYTES];
	size_t size;

	init_message(&sent);
	size = cw_gossip_encode(&sent, bytes, sizeof(bytes));
	for (size_t length = 0; length < size; length++)
		if (length != size - FORWARDING_BYTES &&
		    length != size - FORWARDING_BYTES - ERAS_BYTES)
			assert_int_equal(cw_gossip_decode(bytes, length, &read), CW_INVALID);
}

/* Guards against offsets of an earlier build that count as of the present era. */
static void a_message_of_an_earlier_build_names_no_era(void **state)
{
	struct cw_gossip sent;
	struct cw_gossip read;
	char bytes[CW_GOSSIP_BYTES];
	size_t size;

	init_message(&sent);
	size = cw_gossip_encode(&sent, bytes, sizeof(bytes));
	assert_int_equal(cw_gossip_decode(bytes, size - FORWARDING_BYTES - ERAS_BYTES, &read),
			 CW_OK);
	assert_int_equal(read.store_era, CW_ERA_UNKNOWN);
	assert_int_equal(read.operator_next.offset, sent.operator_next.offset);
	assert_int_equal(read.operator_next.era, CW_ERA_UNKNOWN);
	assert_int_equal(read.servers_next.era, CW_ERA_UNKNOWN);
	assert_int_equal(read.rollouts[0].position.era, CW_ERA_UNKNOWN);
	assert_int_equal(read.drains[1].position.era, CW_ERA_UNKNOWN);
}

/* Guards against requests that are passed to an instance of an earlier build, which forwards none.
 */
static void a_message_of_an_earlier_build_offers_no_forwarding(void **state)
{
	struct cw_membership *membership = cw_membership_create("e9", "d1", 2000);
	struct cw_gossip sent;
	struct cw_gossip read;
	char bytes[CW_GOSSIP_BYTES];
	struct cw_member *member;
	size_t size;
	int is_new;

	init_message(&sent);
	size = cw_gossip_encode(&sent, bytes, sizeof(bytes));
	assert_int_equal(cw_gossip_decode(bytes, size, &read), CW_OK);
	member = cw_gossip_merge_members(&read, membership, &is_new, 100);
	assert_true(member->forward_key == sent.forward_key);
	assert_true(member->is_partitioned);
	assert_int_equal(cw_gossip_decode(bytes, size - FORWARDING_BYTES, &read), CW_OK);
	assert_int_equal(read.store_era, sent.store_era);
	member = cw_gossip_merge_members(&read, membership, &is_new, 200);
	assert_true(member->forward_key == 0);
	assert_false(member->is_partitioned);
	cw_membership_destroy(membership);
}

/* Guards against a list of an earlier build, which ends before the held entries, that is rejected.
 */
static void a_list_without_held_entries_is_accepted(void **state)
{
	struct cw_server_entry entry = {.name = "s1", .slots = 6};
	struct cw_gossip_list list = {.next_offset = 9, .count = 1, .entries = &entry};
	struct cw_gossip_list read;
	size_t size;
	size_t raw_size;
	char *bytes = cw_gossip_list_encode(&list, &size);
	char *raw = cw_unpack(bytes, size, 4096, &raw_size);

	g_free(bytes);
	bytes = cw_pack(raw, raw_size - sizeof(uint32_t), &size);
	assert_int_equal(cw_gossip_list_decode(bytes, size, &read), CW_OK);
	assert_string_equal(read.entries[0].name, "s1");
	assert_int_equal(read.held_count, 0);
	cw_gossip_list_clear(&read);
	g_free(bytes);
	g_free(raw);
}

/* A count or a number out of range must be rejected, whatever else the message contains. */
static void a_message_with_any_byte_changed_does_no_harm(void **state)
{
	struct cw_gossip sent;
	struct cw_gossip read;
	char bytes[CW_GOSSIP_BYTES];
	size_t size;

	init_message(&sent);
	size = cw_gossip_encode(&sent, bytes, sizeof(bytes));
	for (size_t at = 0; at < size; at++) {
		for (int value = 0; value < 256; value += 17) {
			char original = bytes[at];

			bytes[at] = (char)value;
			if (cw_gossip_decode(bytes, size, &read) == CW_OK) {
				assert_true(read.load_count <= CW_GOSSIP_SERVERS);
				assert_true(read.change_count <= CW_FOLLOW_CHANGES);
				assert_true(isfinite(read.rollouts[0].kinds[0].new_bad));
			}
			bytes[at] = original;
		}
	}
}

static void a_message_larger_than_the_buffer_is_not_encoded(void **state)
{
	struct cw_gossip sent;
	char bytes[64];

	init_message(&sent);
	assert_int_equal(cw_gossip_encode(&sent, bytes, sizeof(bytes)), 0);
}

static void a_list_snapshot_is_decoded_as_it_was_encoded(void **state)
{
	struct cw_server_entry entries[300] = {0};
	struct cw_gossip_list sent = {.next_offset = 9,
				      .age_ms = 70,
				      .count = 300,
				      .entries = entries,
				      .held_count = 2,
				      .held = &entries[7]};
	struct cw_gossip_list read;
	size_t size;
	char *bytes;

	for (int i = 0; i < 300; i++) {
		memset(entries[i].name, 'n', CW_NAME_MAX - 1);
		memset(entries[i].address, 'a', CW_ADDRESS_MAX - 1);
		memset(entries[i].software, 'v', CW_NAME_MAX - 1);
		memset(entries[i].service, 's', CW_NAME_MAX - 1);
		memset(entries[i].failure_domain, 'd', CW_NAME_MAX - 1);
		entries[i].slots = (unsigned int)i;
		entries[i].process_start_ms = 1790651616045 + i;
	}
	bytes = cw_gossip_list_encode(&sent, &size);
	assert_int_equal(cw_gossip_list_decode(bytes, size, &read), CW_OK);
	assert_int_equal(read.next_offset, 9);
	assert_int_equal(read.count, 300);
	assert_memory_equal(read.entries, entries, sizeof(entries));
	assert_int_equal(read.held_count, 2);
	assert_memory_equal(read.held, &entries[7], 2 * sizeof(entries[0]));
	cw_gossip_list_clear(&read);
	assert_int_equal(cw_gossip_list_decode(bytes, size - 1, &read), CW_INVALID);
	assert_null(read.entries);
	g_free(bytes);
}

/*
 * Symptom: at 300 instances traffic between failure domains was the largest cost of a day, 0.22 GB.
 * Sequence: each of 75 instances of a domain sends to three of other domains seven times a second.
 * Cause: a domain's traffic grew with the number of its instances.
 */
static void a_large_domain_sends_no_more_than_a_small_one(void **state)
{
	size_t sent;

	for (size_t size = 1; size <= 400; size++) {
		sent = 0;
		/* Every residue once: the average number of messages of a domain in a round. */
		for (uint64_t random = 0; random < size; random++)
			sent += cw_gossip_remote_fanout(size, random);
		assert_int_equal(sent, (size_t)CW_GOSSIP_REMOTE_FANOUT *
					       MIN(size, CW_GOSSIP_SMALL_DOMAIN));
	}
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(a_message_is_decoded_as_it_was_encoded),
		cmocka_unit_test(a_trimmed_message_is_small),
		cmocka_unit_test(ages_include_the_wait_of_the_message),
		cmocka_unit_test(the_wait_of_a_message_is_its_delay_beyond_the_fastest),
		cmocka_unit_test(a_truncated_message_is_rejected),
		cmocka_unit_test(a_message_of_an_earlier_build_names_no_era),
		cmocka_unit_test(a_message_of_an_earlier_build_offers_no_forwarding),
		cmocka_unit_test(a_list_without_held_entries_is_accepted),
		cmocka_unit_test(a_message_with_any_byte_changed_does_no_harm),
		cmocka_unit_test(a_message_larger_than_the_buffer_is_not_encoded),
		cmocka_unit_test(a_list_snapshot_is_decoded_as_it_was_encoded),
		cmocka_unit_test(a_large_domain_sends_no_more_than_a_small_one),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
