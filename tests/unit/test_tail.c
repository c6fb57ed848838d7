/* State sent to peers: the newest records of the server list, and its rate limit. */
#include "cw_gossip.h"
#include "cw_pack.h"
#include "cw_tail.h"
#include "cw_uplink.h"
#include "unit.h"

#include <glib.h>
#include <math.h>
#include <stdio.h>
#include <string.h>

#define NOW	  100000
#define INSTANCES 1000
#define SERVERS	  10000

static struct cw_change record(uint64_t offset)
{
	struct cw_change change = {.offset = offset};

	snprintf(change.entry.name, CW_NAME_MAX, "i-%08lx", (unsigned long)offset * 2654435761);
	g_strlcpy(change.entry.service, "workshop-model", CW_NAME_MAX);
	snprintf(change.entry.address, CW_ADDRESS_MAX, "10.2.%lu.%lu:8300",
		 (unsigned long)offset / 250, (unsigned long)offset % 250);
	g_strlcpy(change.entry.failure_domain, "north-2", CW_NAME_MAX);
	g_strlcpy(change.entry.software, "v1", CW_NAME_MAX);
	change.entry.slots = 24;
	return change;
}

static void add_records(struct cw_tail *tail, uint64_t from, uint64_t to)
{
	for (uint64_t offset = from; offset < to; offset++) {
		struct cw_change change = record(offset);

		cw_tail_add(tail, &change);
	}
}

/* At hundreds of records a second, a peer that misses some must not fetch a snapshot each time. */
static void only_missed_records_are_sent(void **state)
{
	struct cw_tail *tail = cw_tail_create();
	struct cw_change *changes = g_new(struct cw_change, CW_TAIL_CHANGES);

	add_records(tail, 500, 1500);
	assert_int_equal(cw_tail_since(tail, 1200, changes, CW_TAIL_CHANGES), 300);
	for (uint64_t i = 0; i < 300; i++)
		assert_int_equal(changes[i].offset, 1200 + i);
	assert_int_equal(cw_tail_since(tail, 500, changes, CW_TAIL_CHANGES), 1000);
	assert_int_equal(cw_tail_since(tail, 499, changes, CW_TAIL_CHANGES), 0);
	assert_int_equal(cw_tail_since(tail, 1500, changes, CW_TAIL_CHANGES), 0);
	assert_int_equal(cw_tail_since(tail, 1200, changes, 299), 0);
	g_free(changes);
	cw_tail_destroy(tail);
}

/* A missing record must not be skipped: a server that left would get requests for ever. */
static void records_before_a_gap_are_not_sent(void **state)
{
	struct cw_tail *tail = cw_tail_create();
	struct cw_change changes[32];

	add_records(tail, 0, 10);
	add_records(tail, 12, 20);
	assert_int_equal(cw_tail_since(tail, 5, changes, 32), 0);
	assert_int_equal(cw_tail_since(tail, 12, changes, 32), 8);
	cw_tail_destroy(tail);
}

/* Memory stays bounded, however many servers are added and removed. */
static void only_the_newest_records_are_kept(void **state)
{
	struct cw_tail *tail = cw_tail_create();
	struct cw_change *changes = g_new(struct cw_change, CW_TAIL_CHANGES);

	add_records(tail, 0, 3 * CW_TAIL_CHANGES);
	assert_int_equal(cw_tail_since(tail, 2 * CW_TAIL_CHANGES - 1, changes, CW_TAIL_CHANGES), 0);
	assert_int_equal(cw_tail_since(tail, 2 * CW_TAIL_CHANGES, changes, CW_TAIL_CHANGES),
			 CW_TAIL_CHANGES);
	g_free(changes);
	cw_tail_destroy(tail);
}

static void changes_are_decoded_as_they_were_encoded(void **state)
{
	struct cw_change sent[2] = {record(7), {.offset = 8, .is_removed = 1}};
	struct cw_gossip_changes changes = {
		.peer_report = {.next = {.offset = 9},
				.age_ms = 70,
				.evidence = {.reader = 3, .number = 4}},
		.count = 2,
		.changes = sent,
	};
	struct cw_gossip_changes read;
	size_t size;
	char *bytes = cw_gossip_changes_encode(&changes, &size);

	assert_int_equal(cw_gossip_changes_decode(bytes, size, &read), CW_OK);
	assert_int_equal(read.count, 2);
	assert_memory_equal(&read.peer_report, &changes.peer_report, sizeof(read.peer_report));
	assert_string_equal(read.changes[0].entry.address, sent[0].entry.address);
	assert_int_equal(read.changes[1].is_removed, 1);
	g_free(read.changes);
	assert_int_equal(cw_gossip_changes_decode(bytes, size - 1, &read), CW_INVALID);
	assert_int_equal(cw_gossip_list_decode(bytes, size, &(struct cw_gossip_list){0}),
			 CW_INVALID);
	g_free(bytes);
}

/* A false uncompressed size in the header must not exhaust the memory. */
static void unpacked_bytes_never_exceed_the_given_size(void **state)
{
	char zeros[4096] = {0};
	size_t packed_size;
	size_t size;
	char *packed = cw_pack(zeros, sizeof(zeros), &packed_size);
	char *bytes = cw_unpack(packed, packed_size, sizeof(zeros), &size);

	assert_int_equal(size, sizeof(zeros));
	assert_memory_equal(bytes, zeros, size);
	assert_null(cw_unpack(packed, packed_size, sizeof(zeros) - 1, &size));
	assert_null(cw_unpack(packed, 3, sizeof(zeros), &size));
	packed[2]++;
	assert_null(cw_unpack(packed, packed_size, sizeof(zeros) * 4, &size));
	g_free(bytes);
	g_free(packed);
}

/* Encoded size of ten thousand entries that share most of their text; must fit a small link. */
static size_t list_size(void)
{
	struct cw_gossip_list list = {.count = SERVERS};
	size_t size;

	list.entries = g_new0(struct cw_server_entry, SERVERS);
	for (uint64_t i = 0; i < SERVERS; i++)
		list.entries[i] = record(i).entry;
	g_free(cw_gossip_list_encode(&list, &size));
	g_free(list.entries);
	return size;
}

/*
 * A thousand instances with links of 20 Mbit/s start at one moment, and one has the list. Each
 * instance with the list sends it to the next peers that ask and are admitted. All must have the
 * list while callers still wait.
 */
static void a_thousand_starting_instances_get_the_list_in_seconds(void **state)
{
	struct cw_uplink links[INSTANCES];
	int64_t received_ms[INSTANCES];
	size_t size = list_size();
	int64_t transfer_ms = (int64_t)((double)size / 2500) + 2;
	size_t remaining = INSTANCES - 1;
	GRand *random = g_rand_new_with_seed(7);
	int64_t now_ms;

	for (size_t i = 0; i < INSTANCES; i++) {
		cw_uplink_open(&links[i], 20);
		received_ms[i] = i ? G_MAXINT64 : NOW;
	}
	for (now_ms = NOW; remaining > 0 && now_ms < NOW + 60000; now_ms += 100) {
		for (size_t i = 0; i < INSTANCES; i++) {
			size_t peer = (size_t)g_rand_int_range(random, 0, INSTANCES);

			if (received_ms[i] != G_MAXINT64 || received_ms[peer] > now_ms ||
			    !cw_uplink_admits(&links[peer], now_ms))
				continue;
			cw_uplink_add_transfer(&links[peer], size, now_ms);
			received_ms[i] = now_ms + 2 * transfer_ms + 100;
			remaining--;
		}
	}
	g_rand_free(random);
	assert_true(size < 500000);
	assert_in_range(now_ms - NOW, 1000, 8000);
}

/* The link also carries answers to callers: peers never get more than half of the link. */
static void half_of_the_link_is_left_for_callers(void **state)
{
	struct cw_uplink uplink;
	size_t sent = 0;

	cw_uplink_open(&uplink, 20);
	for (int64_t now_ms = NOW; now_ms < NOW + 10000; now_ms += 10) {
		if (!cw_uplink_admits(&uplink, now_ms))
			continue;
		cw_uplink_add_transfer(&uplink, 300000, now_ms);
		sent += 300000;
	}
	assert_in_range(sent, 10 * 1200000, 10 * 1250000 + 600000);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(only_missed_records_are_sent),
		cmocka_unit_test(records_before_a_gap_are_not_sent),
		cmocka_unit_test(only_the_newest_records_are_kept),
		cmocka_unit_test(changes_are_decoded_as_they_were_encoded),
		cmocka_unit_test(unpacked_bytes_never_exceed_the_given_size),
		cmocka_unit_test(a_thousand_starting_instances_get_the_list_in_seconds),
		cmocka_unit_test(half_of_the_link_is_left_for_callers),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
