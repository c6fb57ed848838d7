/*
 * Bills: mirrored on peers before the answer ends, appended to the log in batches, and read back
 * from the log before an append is retried. Settled bills are kept as long as a restore of the log
 * can go back; after a restore those that it lacks are appended again.
 */
#include "node_internal.h"

#include <string.h>

#define MIRROR_CHECK_MS	   1000
#define ORIGIN_QUERY_MS	   5000
#define BILLS_RETRY_MS	   100
#define BILL_MIRRORS	   2
#define STOP_LOG_WAIT_MS   10000 /* after stop_grace_ms, for a log that does not answer */
#define READ_BACK_WAIT_MS  0	 /* no long poll: only records already in the log */
#define ADOPT_RANK_MS	   300 /* delay for each rank, so that two holders of a mirror take turns */
#define ADOPT_DELAY_MAX_MS 3000
#define ADOPT_CHECK_MS	   5000 /* before the newest bill of an origin that is gone */

static char *bill_to_json(struct request *request, const char *id);
static void append_bills(struct cw_node *node);
static void read_back(struct cw_node *node, uint64_t from);
static void query_origins(struct cw_node *node);
static void look_for_lost_origin(struct cw_node *node);
static void set_lost_origin(struct cw_node *node, const char *origin);
static void adopt_lost_origin(struct cw_node *node);
static void check_adopted(struct cw_node *node, const char *origin);
static void adopt_bills(struct cw_node *node, const char *origin);
static void log_lost_bills(struct cw_node *node);
static void expire_kept(struct cw_node *node);
static void advance_floor(struct cw_node *node);
static char *format_origin(const char *instance, uint64_t boot); /* g_free */
static int is_origin_unavailable(struct cw_node *node, const char *origin);
static void announce_settled(struct cw_node *node, struct cw_bill_list *settled, uint64_t offset);
static void announce_settled_to(struct cw_node *node, const struct cw_member *member,
				const struct cw_bill_list *settled, uint64_t offset);
static void schedule_bills_retry(struct cw_node *node);

void bills_open(struct cw_node *node)
{
	node->bills_end_offset = 1;
	node->bills_floor = 1;
	node->bills_floor_next = 1;
	node->bills_reopened_ms = -1;
	TAILQ_INIT(&node->bill_checks);
}

void bills_close(struct cw_node *node)
{
	bill_checks_clear(node);
	g_free(node->lost_origin);
}

/*
 * The restore goes back restore_window_ms at most, so all records before the end that was known
 * then are intact. What stands behind it is read back before any bill is appended again.
 */
void bills_reopen(struct cw_node *node)
{
	size_t count = cw_ledger_reopen(node->ledger, node->bills_floor);

	node->bills_end_offset = node->bills_floor;
	node->bills_floor_next = node->bills_floor;
	node->bills_floor_ms = node->now_ms;
	node->bills_need_read_back = 1;
	node->bills_are_reopened = 1;
	node->bills_reopened_ms = node->now_ms;
	node->bills_due_ms = node->now_ms;
	if (node->bills_state == BILLS_READING_BACK)
		node->bills_state = BILLS_IDLE;
	node_log_event(node, "bills", "reopened", "count=%zu from=%" G_GUINT64_FORMAT, count,
		       node->bills_floor);
}

void bills_add(struct cw_node *node, struct request *request)
{
	struct cw_member *mirrors[BILL_MIRRORS];
	char id[CW_NAME_MAX + CW_ID_MAX + 2];
	char *text = bill_to_json(request, request->in.request_id);
	struct peer_message message = {0};
	struct peer_bill item;
	struct cw_bill *bill;
	size_t count;

	g_snprintf(id, sizeof(id), "%s/%s", request->organisation, request->in.request_id);
	bill = cw_ledger_add(node->ledger, id, text, "", node->bills_end_offset, node->now_ms);
	if (node->bills_due_ms == 0)
		node->bills_due_ms = node->now_ms + node->config.bill_flush_ms;
	item.id = id;
	item.text = text;
	message.body.kind = PEER_BILLS;
	message.body.peer_body_u.bills.noted = node->bills_end_offset;
	message.body.peer_body_u.bills.list.list_len = 1;
	message.body.peer_body_u.bills.list.list_val = &item;
	count = cw_membership_find_owners(node->membership, cw_hash_text(id, 8), node->now_ms,
					  mirrors, BILL_MIRRORS);
	for (size_t i = 0; i < count; i++) {
		bill->mirror_members[i] = mirrors[i]->id;
		gossip_send(node, mirrors[i], &message);
	}
	g_free(text);
	/* No peer can hold a mirror, so the answer is not delayed for one. */
	if (count == 0)
		request_confirm_bill(node, id);
}

/* The origin's name includes its boot id, as a restarted origin has lost its earlier bills. */
void bills_store_mirrors(struct cw_node *node, const char *from, uint64_t boot,
			 const struct peer_bills *bills)
{
	struct cw_member *member = cw_membership_find(node->membership, from);
	char *origin = format_origin(from, boot);
	struct peer_message message = {0};

	for (u_int i = 0; i < bills->list.list_len; i++)
		cw_ledger_add(node->ledger, bills->list.list_val[i].id,
			      bills->list.list_val[i].text, origin, bills->noted, node->now_ms);
	g_free(origin);
	if (!member)
		return;
	message.body.kind = PEER_BILLS_HELD;
	message.body.peer_body_u.held = *bills;
	gossip_send(node, member, &message);
}

/*
 * A peer reports that it holds mirrors of these bills. Bills that are already in the log are
 * announced to the peer again as settled: the first announcement may have been lost, or have
 * arrived before the bill itself. Otherwise the peer would hold the mirror for ever, and append it
 * once this instance is unavailable.
 */
void bills_mark_mirrored(struct cw_node *node, const struct cw_member *from,
			 const struct peer_bills *bills)
{
	struct peer_message message = {0};
	struct peer_bill settled[CW_BILL_BATCH];
	const struct cw_bill *kept;
	uint64_t offset = 0;
	u_int count = 0;

	for (u_int i = 0; i < bills->list.list_len; i++) {
		struct cw_bill *bill = cw_ledger_find(node->ledger, bills->list.list_val[i].id);

		if (bill)
			bill->is_mirrored = 1;
		else if (count < CW_BILL_BATCH)
			settled[count++] = bills->list.list_val[i];
		kept = cw_ledger_find_kept(node->ledger, bills->list.list_val[i].id);
		if (!bill && kept)
			offset = kept->offset;
		request_confirm_bill(node, bills->list.list_val[i].id);
	}
	if (count == 0)
		return;
	message.body.kind = PEER_BILLS_SETTLED;
	message.body.peer_body_u.settled.noted = count == 1 ? offset : 0;
	message.body.peer_body_u.settled.list.list_len = count;
	message.body.peer_body_u.settled.list.list_val = settled;
	gossip_send(node, from, &message);
}

/* Only an origin with the same boot id knows that its bill is in the log: a restarted origin has
 * lost the bills of its earlier start. */
void bills_settle_mirrors(struct cw_node *node, const char *from, uint64_t boot,
			  const struct peer_bills *bills)
{
	char *origin = format_origin(from, boot);

	for (u_int i = 0; i < bills->list.list_len; i++) {
		const char *id = bills->list.list_val[i].id;
		struct cw_bill *bill = cw_ledger_find(node->ledger, id);
		const struct cw_bill *kept = cw_ledger_find_kept(node->ledger, id);

		if (bill && !strcmp(bill->origin, origin) && bill->append == 0)
			cw_ledger_settle(node->ledger, id, bills->noted, node->now_ms);
		else if (!bill && kept && !strcmp(kept->origin, origin) && bills->noted)
			cw_ledger_keep_again(node->ledger, id, bills->noted, node->now_ms);
	}
	g_free(origin);
}

void bills_handle_append(struct cw_node *node, const struct cw_append_result *appended)
{
	struct cw_bill_list settled = TAILQ_HEAD_INITIALIZER(settled);

	if (node->bills_state != BILLS_APPENDING || appended->ticket != node->bills_ticket)
		return;
	node->bills_state = BILLS_IDLE;
	if (appended->status == CW_OK) {
		uint64_t known_end = node->bills_end_offset;

		node->bills_end_offset = MAX(known_end, appended->offset + 1);
		cw_ledger_complete_append(node->ledger, appended->ticket, &settled);
		if (!TAILQ_EMPTY(&settled))
			bill_checks_add(node, appended->offset, TAILQ_FIRST(&settled)->id);
		announce_settled(node, &settled, appended->offset);
		node->bills_due_ms = 0;
		/* The offset was given out before. */
		if (appended->offset < known_end)
			bill_checks_report_loss(node, known_end, "replaced");
		return;
	}
	cw_ledger_fail_append(node->ledger, appended->ticket);
	/*
	 * The response can be lost after the record was stored. Appending the bills again would
	 * bill twice: two records with the same bill id. So the stream is read back first, from the
	 * end that was known before the append.
	 */
	if (appended->status == CW_UNKNOWN)
		node->bills_need_read_back = 1;
	schedule_bills_retry(node);
}

void bills_handle_records(struct cw_node *node, const struct cw_read_result *records)
{
	bill_checks_handle_records(node, records);
	if (node->bills_state != BILLS_READING_BACK || records->ticket != node->bills_ticket)
		return;
	if (records->status == CW_EXPIRED && records->first > node->bills_read_offset) {
		read_back(node, records->first);
		return;
	}
	if (records->status != CW_OK) {
		node->bills_state = BILLS_IDLE;
		schedule_bills_retry(node);
		return;
	}
	for (size_t i = 0; i < records->count; i++) {
		const struct cw_log_record *record = &records->list[i];

		if (cw_ledger_settle_record(node->ledger, record->data, record->offset,
					    node->now_ms) > 0)
			bill_checks_add(node, record->offset,
					TAILQ_LAST(cw_ledger_kept(node->ledger), cw_bill_list)->id);
		node->bills_read_offset = MAX(node->bills_read_offset, record->offset + 1);
	}
	if (records->count > 0) {
		read_back(node, node->bills_read_offset);
		return;
	}
	/* End of the stream: the bills that remain in the ledger are not in the log. */
	node->bills_end_offset = MAX(node->bills_end_offset, node->bills_read_offset);
	node->bills_need_read_back = 0;
	node->bills_state = BILLS_IDLE;
	log_lost_bills(node);
	append_bills(node);
}

void bills_tick(struct cw_node *node)
{
	bill_checks_tick(node);
	advance_floor(node);
	if (node->bills_state != BILLS_IDLE)
		return;
	if (node->now_ms >= node->mirror_check_due_ms) {
		node->mirror_check_due_ms = node->now_ms + MIRROR_CHECK_MS +
					    (int64_t)(node_random(node) % MIRROR_CHECK_MS);
		query_origins(node);
		expire_kept(node);
		look_for_lost_origin(node);
	}
	adopt_lost_origin(node);
	if (node->bills_due_ms == 0 && cw_ledger_count(node->ledger, "") > 0)
		node->bills_due_ms = node->now_ms + node->config.bill_flush_ms;
	if (node->bills_due_ms == 0 || (node->now_ms < node->bills_due_ms && !node->is_stopping))
		return;
	/* A stopping instance does not wait until the bills are due, unless that time is more than
	 * bill_flush_ms away. */
	if (node->is_stopping && node->bills_due_ms > node->now_ms + node->config.bill_flush_ms)
		return;
	if (node->bills_need_read_back)
		read_back(node, cw_ledger_read_back_offset(node->ledger, ""));
	else
		append_bills(node);
}

/*
 * A stopping instance waits until its bills are in the log. If the log does not answer for long,
 * the instance may stop once a peer holds a mirror of every bill; the peer appends the bills when
 * this instance is unavailable.
 */
int bills_allow_stop(const struct cw_node *node)
{
	const struct cw_bill *bill;

	if (cw_ledger_count(node->ledger, "") == 0)
		return node->bills_state == BILLS_IDLE;
	if (node->now_ms - node->stop_ms < node->config.stop_grace_ms + STOP_LOG_WAIT_MS)
		return 0;
	TAILQ_FOREACH(bill, cw_ledger_bills(node->ledger), link) {
		if (!*bill->origin && !bill->is_mirrored)
			return 0;
	}
	return 1;
}

/* Reports old mirrors to their origin again; the origin answers with those that have settled. */
static void query_origins(struct cw_node *node)
{
	struct cw_bill *bill;

	TAILQ_FOREACH(bill, cw_ledger_bills(node->ledger), link) {
		struct peer_message message = {0};
		struct peer_bill item = {.id = bill->id, .text = (char *)""};
		struct cw_member *origin;
		char **parts;

		if (!*bill->origin || is_origin_unavailable(node, bill->origin) ||
		    node->now_ms - MAX(bill->origin_asked_ms, bill->created_ms) < ORIGIN_QUERY_MS)
			continue;
		bill->origin_asked_ms = node->now_ms;
		parts = g_strsplit(bill->origin, "#", 2);
		origin = cw_membership_find(node->membership, parts[0]);
		g_strfreev(parts);
		if (!origin)
			continue;
		message.body.kind = PEER_BILLS_HELD;
		message.body.peer_body_u.held.list.list_len = 1;
		message.body.peer_body_u.held.list.list_val = &item;
		gossip_send(node, origin, &message);
	}
}

static void look_for_lost_origin(struct cw_node *node)
{
	const struct cw_bill_list *lists[] = {cw_ledger_bills(node->ledger),
					      cw_ledger_kept(node->ledger)};
	GHashTable *available = g_hash_table_new(g_str_hash, g_str_equal);
	const struct cw_bill *bill;

	for (size_t i = 0; i < G_N_ELEMENTS(lists) && !node->lost_origin; i++) {
		TAILQ_FOREACH(bill, lists[i], link) {
			if (!*bill->origin || g_hash_table_contains(available, bill->origin))
				continue;
			if (is_origin_unavailable(node, bill->origin)) {
				set_lost_origin(node, bill->origin);
				break;
			}
			g_hash_table_add(available, bill->origin);
		}
	}
	g_hash_table_destroy(available);
}

static void set_lost_origin(struct cw_node *node, const char *origin)
{
	size_t rank = cw_membership_rank(node->membership, cw_hash_text(origin, 0), node->now_ms);

	node->lost_origin = g_strdup(origin);
	node->lost_origin_due_ms =
		node->now_ms + MIN(ADOPT_RANK_MS * (int64_t)rank, ADOPT_DELAY_MAX_MS);
}

/*
 * The bills of an origin that is gone are this instance's from then on: pending ones, and kept ones
 * too, as the origin can't notice any more that the log lost them.
 */
static void adopt_lost_origin(struct cw_node *node)
{
	if (!node->lost_origin || node->now_ms < node->lost_origin_due_ms)
		return;
	if (is_origin_unavailable(node, node->lost_origin))
		adopt_bills(node, node->lost_origin);
	g_clear_pointer(&node->lost_origin, g_free);
}

/* The origin checked its records itself, but for those of its last seconds and the last one. */
static void check_adopted(struct cw_node *node, const char *origin)
{
	const struct cw_bill *last = NULL;
	uint64_t checked_offset = 0;
	int64_t newest_ms = INT64_MIN;
	const struct cw_bill *bill;

	TAILQ_FOREACH(bill, cw_ledger_kept(node->ledger), link) {
		if (strcmp(bill->origin, origin) != 0 || !bill->offset)
			continue;
		newest_ms = MAX(newest_ms, bill->settled_ms);
		if (!last || bill->offset > last->offset)
			last = bill;
	}
	if (!last)
		return;
	bill_checks_add(node, last->offset, last->id);
	TAILQ_FOREACH(bill, cw_ledger_kept(node->ledger), link) {
		/* The bills of one record follow each other. */
		if (strcmp(bill->origin, origin) != 0 || !bill->offset ||
		    bill->offset == checked_offset || newest_ms - bill->settled_ms > ADOPT_CHECK_MS)
			continue;
		bill_checks_add(node, bill->offset, bill->id);
		checked_offset = bill->offset;
	}
}

static void adopt_bills(struct cw_node *node, const char *origin)
{
	int is_restored_lately =
		node->bills_reopened_ms >= 0 &&
		node->now_ms - node->bills_reopened_ms < node->config.restore_window_ms;
	size_t count;

	if (!is_restored_lately)
		check_adopted(node, origin);
	count = cw_ledger_adopt(node->ledger, origin);
	node_log_event(node, "bills", "take_over", "origin=%s held=%zu", origin, count);
	if (is_restored_lately) {
		/* The origin may have ended before it noticed. */
		bill_checks_clear(node);
		bills_reopen(node);
	} else if (count > 0) {
		node->bills_need_read_back = 1;
		node->bills_due_ms = node->now_ms;
	}
}

/* Of the reopened bills those that the log lacks remain, and are appended. */
static void log_lost_bills(struct cw_node *node)
{
	const struct cw_bill *bill;
	size_t count = 0;

	if (!node->bills_are_reopened)
		return;
	node->bills_are_reopened = 0;
	TAILQ_FOREACH(bill, cw_ledger_bills(node->ledger), link)
		count += !*bill->origin && bill->settled_ms;
	if (count > 0)
		restore_log(node, CW_STREAM_BILLS, count);
}

static void expire_kept(struct cw_node *node)
{
	size_t dropped = cw_ledger_expire_kept(
		node->ledger, bill_checks_intact_ms(node) - node->config.restore_window_ms,
		CW_KEPT_BILLS_MAX);

	if (dropped == 0)
		return;
	node_log_event(node, "bills", "kept_full", "dropped=%zu max=%d", dropped,
		       CW_KEPT_BILLS_MAX);
	node_count(node, "bills_kept_dropped_total", dropped, "%s", "");
}

static void advance_floor(struct cw_node *node)
{
	int64_t intact_ms = bill_checks_intact_ms(node);

	if (intact_ms - node->bills_floor_ms < node->config.restore_window_ms)
		return;
	node->bills_floor = node->bills_floor_next;
	node->bills_floor_next = node->bills_end_offset;
	node->bills_floor_ms = intact_ms;
}

static char *format_origin(const char *instance, uint64_t boot)
{
	return g_strdup_printf("%s#%" G_GUINT64_FORMAT, instance, boot);
}

static int is_origin_unavailable(struct cw_node *node, const char *origin)
{
	char **parts = g_strsplit(origin, "#", 2);
	const struct cw_member *member = cw_membership_find(node->membership, parts[0]);
	uint64_t boot = g_ascii_strtoull(parts[1], NULL, 10);
	int is_unavailable = !member || member->boot != boot ||
			     cw_membership_is_unreachable(node->membership, member, node->now_ms);

	g_strfreev(parts);
	return is_unavailable;
}

static void append_bills(struct cw_node *node)
{
	char *record;
	uint64_t ticket;

	/* The bills are marked with the ticket that log_append is going to draw. */
	ticket = node->next_ticket;
	if (cw_ledger_begin_append(node->ledger, ticket, "", CW_BILL_BATCH, &record) == 0) {
		g_free(record);
		node->bills_due_ms = 0;
		return;
	}
	node->bills_ticket = log_append(node, CW_STREAM_BILLS, record);
	node->bills_state = BILLS_APPENDING;
}

static void read_back(struct cw_node *node, uint64_t from)
{
	if (from == UINT64_MAX) {
		node->bills_need_read_back = 0;
		node->bills_state = BILLS_IDLE;
		return;
	}
	node->bills_read_offset = MAX(from, 1);
	node->bills_ticket = node_new_ticket(node);
	node->bills_state = BILLS_READING_BACK;
	log_read(node, CW_STREAM_BILLS, node->bills_ticket, node->bills_read_offset, 0,
		 READ_BACK_WAIT_MS);
}

static void schedule_bills_retry(struct cw_node *node)
{
	node->bills_due_ms =
		node->now_ms + BILLS_RETRY_MS + (int64_t)(node_random(node) % BILLS_RETRY_MS);
}

static void announce_settled(struct cw_node *node, struct cw_bill_list *settled, uint64_t offset)
{
	const struct cw_member *member;
	struct cw_bill *bill;

	TAILQ_FOREACH(member, cw_membership_members(node->membership), link)
		announce_settled_to(node, member, settled, offset);
	while ((bill = TAILQ_FIRST(settled))) {
		TAILQ_REMOVE(settled, bill, link);
		request_confirm_bill(node, bill->id);
		cw_ledger_keep(node->ledger, bill, offset, node->now_ms);
	}
}

/* A settled bill is announced only to the peers that hold its mirror, as a large installation has
 * hundreds of other peers. */
static void announce_settled_to(struct cw_node *node, const struct cw_member *member,
				const struct cw_bill_list *settled, uint64_t offset)
{
	struct peer_message message = {0};
	struct peer_bill items[CW_BILL_BATCH];
	const struct cw_bill *bill;
	u_int count = 0;

	TAILQ_FOREACH(bill, settled, link) {
		if (bill->mirror_members[0] != member->id && bill->mirror_members[1] != member->id)
			continue;
		items[count].id = bill->id;
		items[count++].text = (char *)"";
	}
	if (count == 0)
		return;
	message.body.kind = PEER_BILLS_SETTLED;
	message.body.peer_body_u.settled.noted = offset;
	message.body.peer_body_u.settled.list.list_len = count;
	message.body.peer_body_u.settled.list.list_val = items;
	gossip_send(node, member, &message);
}

static char *bill_to_json(struct request *request, const char *id)
{
	struct json_object *bill = json_object_new_object();
	struct json_object *attempts = json_object_new_array();
	unsigned int prompt = 0;
	unsigned int completion = 0;
	double cost = request->in.flags & CW_REQUEST_SERVICE ? request->cost_per_1k / 1000 : 0;
	char *text;

	for (unsigned int i = 0; i < request->attempt_count; i++) {
		const struct attempt *attempt = &request->attempts[i];
		struct json_object *item = json_object_new_object();
		/* A failed attempt is billed for the tokens sent to the caller, but not for its
		 * prompt. */
		unsigned int billed_prompt =
			attempt->result == CW_ATTEMPT_ANSWERED ? attempt->prompt_tokens : 0;

		prompt += billed_prompt;
		completion += attempt->completion_tokens;
		cost += (billed_prompt + attempt->completion_tokens) * attempt->cost_per_1k / 1000;
		json_object_object_add(item, "attempt", json_object_new_int((int)i + 1));
		json_object_object_add(item, "model", json_object_new_string(attempt->model));
		json_object_object_add(item, "version", json_object_new_string(attempt->version));
		json_object_object_add(item, "completion_tokens",
				       json_object_new_int((int)attempt->completion_tokens));
		json_object_array_add(attempts, item);
	}
	json_object_object_add(bill, "bill", json_object_new_string(id));
	json_object_object_add(bill, "organisation", json_object_new_string(request->organisation));
	json_object_object_add(bill, "model", json_object_new_string(request->model));
	json_object_object_add(bill, "version", json_object_new_string(request->version));
	json_object_object_add(bill, "prompt_tokens", json_object_new_int((int)prompt));
	json_object_object_add(bill, "completion_tokens", json_object_new_int((int)completion));
	json_object_object_add(bill, "cost", json_object_new_double(cost));
	json_object_object_add(bill, "attempts", attempts);
	text = g_strdup(json_object_to_json_string_ext(bill, JSON_C_TO_STRING_PLAIN));
	json_object_put(bill);
	return text;
}
