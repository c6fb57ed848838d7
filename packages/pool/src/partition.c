#include "cw_partition.h"

#define CONFIRM_MS                                                                                 \
	300 /* a request of the next callers has reached a server through a peer by then */

static int set_state(struct cw_partition *partition, enum cw_partition_state state, int64_t now_ms);

int cw_partition_note_contact(struct cw_partition *partition, int64_t now_ms)
{
	partition->lost_count = 0;
	return set_state(partition, CW_PARTITION_NONE, now_ms);
}

int cw_partition_note_loss(struct cw_partition *partition, uint64_t server, int64_t now_ms)
{
	if (partition->lost_count == CW_PARTITION_SERVERS ||
	    cw_partition_is_lost(partition, server))
		return 0;
	partition->is_charged[partition->lost_count] = 0;
	partition->lost[partition->lost_count++] = server;
	if (partition->lost_count < CW_PARTITION_SERVERS)
		return 0;
	return set_state(partition, CW_PARTITION_SUSPECTED, now_ms);
}

void cw_partition_note_charged(struct cw_partition *partition, uint64_t server)
{
	for (size_t i = 0; i < partition->lost_count; i++)
		partition->is_charged[i] |= partition->lost[i] == server;
}

int cw_partition_note_forwarded(struct cw_partition *partition, int64_t now_ms)
{
	if (partition->state == CW_PARTITION_NONE)
		return 0;
	return set_state(partition, CW_PARTITION_CONFIRMED, now_ms);
}

int cw_partition_note_ended(struct cw_partition *partition, int64_t now_ms)
{
	if (partition->state == CW_PARTITION_CONFIRMED)
		return 0;
	partition->lost_count = 0;
	return set_state(partition, CW_PARTITION_NONE, now_ms);
}

int cw_partition_is_lost(const struct cw_partition *partition, uint64_t server)
{
	for (size_t i = 0; i < partition->lost_count; i++)
		if (partition->lost[i] == server)
			return 1;
	return 0;
}

int cw_partition_is_settled(const struct cw_partition *partition, int64_t now_ms)
{
	return partition->state != CW_PARTITION_SUSPECTED ||
	       now_ms - partition->since_ms >= CONFIRM_MS;
}

int cw_partition_is_cut_off(const struct cw_partition *partition, int64_t now_ms)
{
	return partition->state != CW_PARTITION_NONE && cw_partition_is_settled(partition, now_ms);
}

static int set_state(struct cw_partition *partition, enum cw_partition_state state, int64_t now_ms)
{
	if (partition->state == state)
		return 0;
	partition->state = state;
	partition->since_ms = now_ms;
	return 1;
}
