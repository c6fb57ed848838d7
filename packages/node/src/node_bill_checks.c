/*
 * Notices that the bills stream was restored from an older copy. No instance reads the whole
 * stream; each reads its own records again, one at a time.
 */
#include "node_internal.h"

#define CHECK_MS  1000	/* between two checks of the newest record */
#define RESULT_MS 15000 /* a read without a result by then was dropped */

static void remove_first(struct cw_node *node);

void bill_checks_add(struct cw_node *node, uint64_t offset, const char *id)
{
	struct bill_check *previous = TAILQ_LAST(&node->bill_checks, bill_check_list);
	struct bill_check *check;

	while (previous && previous->offset > offset)
		previous = TAILQ_PREV(previous, bill_check_list, link);
	check = g_new0(struct bill_check, 1);
	check->offset = offset;
	check->id = g_strdup(id);
	if (previous)
		TAILQ_INSERT_AFTER(&node->bill_checks, previous, check, link);
	else
		TAILQ_INSERT_HEAD(&node->bill_checks, check, link);
	/* A read in progress is of the check that was the first one. */
	if (!previous)
		node->bill_check_ticket = 0;
}

void bill_checks_clear(struct cw_node *node)
{
	while (!TAILQ_EMPTY(&node->bill_checks))
		remove_first(node);
	node->bill_check_ticket = 0;
}

void bill_checks_tick(struct cw_node *node)
{
	const struct bill_check *check = TAILQ_FIRST(&node->bill_checks);

	if (node->now_ms - node->bill_check_sent_ms > RESULT_MS)
		node->bill_check_ticket = 0;
	if (!check || node->bill_check_ticket || node->now_ms < node->bill_check_due_ms)
		return;
	node->bill_check_ticket = node_new_ticket(node);
	node->bill_check_sent_ms = node->now_ms;
	log_read(node, CW_STREAM_BILLS, node->bill_check_ticket, check->offset, 1, 0);
}

void bill_checks_handle_records(struct cw_node *node, const struct cw_read_result *records)
{
	const struct bill_check *check = TAILQ_FIRST(&node->bill_checks);
	const struct cw_log_record *found = records->list;

	if (!check || records->ticket != node->bill_check_ticket)
		return;
	node->bill_check_ticket = 0;
	node->bill_check_due_ms = node->now_ms + CHECK_MS;
	if (records->status == CW_EXPIRED && records->first > check->offset) {
		remove_first(node);
		return;
	}
	if (records->status != CW_OK)
		return;
	if (records->count == 0 || found->offset != check->offset ||
	    !cw_ledger_is_record_intact(node->ledger, found->data, check->offset, check->id)) {
		bill_checks_report_loss(node, check->offset + 1,
					records->count == 0 ? "missing" : "replaced");
		return;
	}
	/* Records behind an intact one were lost after it was read, and then it is lost too; the
	 * newest record is checked again. */
	if (!TAILQ_NEXT(check, link)) {
		node->bill_checked_ms = node->now_ms;
		return;
	}
	remove_first(node);
	node->bill_check_due_ms = node->now_ms;
}

/* While the platform is out, or this instance is paused, the log may be restored: the time stands.
 */
int64_t bill_checks_intact_ms(const struct cw_node *node)
{
	if (!TAILQ_EMPTY(&node->bill_checks))
		return node->bill_checked_ms;
	return node->log_readers[CW_STREAM_TABLE].last_success_ms;
}

void bill_checks_report_loss(struct cw_node *node, uint64_t next_offset, const char *difference)
{
	log_report_loss(node, CW_STREAM_BILLS, next_offset, difference);
	bill_checks_clear(node);
	bills_reopen(node);
}

static void remove_first(struct cw_node *node)
{
	struct bill_check *check = TAILQ_FIRST(&node->bill_checks);

	TAILQ_REMOVE(&node->bill_checks, check, link);
	g_free(check->id);
	g_free(check);
}
