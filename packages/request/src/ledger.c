#include "cw_ledger.h"

#include <glib.h>
#include <json-c/json.h>
#include <string.h>

struct cw_ledger {
	struct cw_bill_list bills;
	GHashTable *by_id;
	struct cw_bill_list kept; /* settled bills, oldest first */
	GHashTable *kept_by_id;
};

static void ledger_remove(struct cw_ledger *ledger, struct cw_bill *bill);
static void ledger_insert(struct cw_ledger *ledger, struct cw_bill *bill);
static void kept_remove(struct cw_ledger *ledger, struct cw_bill *bill);
static void move_to_pending(struct cw_ledger *ledger, struct cw_bill *bill);
static char *bill_id(struct json_object *item);
static GHashTable *record_ids(const char *record);

struct cw_ledger *cw_ledger_create(void)
{
	struct cw_ledger *ledger = g_new0(struct cw_ledger, 1);

	TAILQ_INIT(&ledger->bills);
	ledger->by_id = g_hash_table_new(g_str_hash, g_str_equal);
	TAILQ_INIT(&ledger->kept);
	ledger->kept_by_id = g_hash_table_new(g_str_hash, g_str_equal);
	return ledger;
}

void cw_ledger_destroy(struct cw_ledger *ledger)
{
	struct cw_bill *bill;

	if (!ledger)
		return;
	while ((bill = TAILQ_FIRST(&ledger->bills))) {
		ledger_remove(ledger, bill);
		cw_bill_destroy(bill);
	}
	cw_ledger_expire_kept(ledger, INT64_MIN, 0);
	g_hash_table_destroy(ledger->by_id);
	g_hash_table_destroy(ledger->kept_by_id);
	g_free(ledger);
}

struct cw_bill *cw_ledger_add(struct cw_ledger *ledger, const char *id, const char *text,
			      const char *origin, uint64_t read_back_offset, int64_t now_ms)
{
	struct cw_bill *bill = cw_ledger_find(ledger, id);

	if (bill)
		return bill;
	bill = g_new0(struct cw_bill, 1);
	bill->id = g_strdup(id);
	bill->json = g_strdup(text);
	bill->origin = g_strdup(origin);
	bill->read_back_offset = read_back_offset;
	bill->created_ms = now_ms;
	ledger_insert(ledger, bill);
	return bill;
}

struct cw_bill *cw_ledger_find(struct cw_ledger *ledger, const char *id)
{
	return g_hash_table_lookup(ledger->by_id, id);
}

void cw_ledger_settle(struct cw_ledger *ledger, const char *id, uint64_t offset, int64_t now_ms)
{
	struct cw_bill *bill = cw_ledger_find(ledger, id);

	if (!bill)
		return;
	ledger_remove(ledger, bill);
	cw_ledger_keep(ledger, bill, offset, now_ms);
}

size_t cw_ledger_settle_record(struct cw_ledger *ledger, const char *record, uint64_t offset,
			       int64_t now_ms)
{
	size_t pending = g_hash_table_size(ledger->by_id);
	GHashTable *ids = record_ids(record);
	GHashTableIter iter;
	const char *id;

	g_hash_table_iter_init(&iter, ids);
	while (g_hash_table_iter_next(&iter, (gpointer *)&id, NULL))
		cw_ledger_settle(ledger, id, offset, now_ms);
	g_hash_table_destroy(ids);
	return pending - g_hash_table_size(ledger->by_id);
}

int cw_ledger_is_record_intact(const struct cw_ledger *ledger, const char *record, uint64_t offset,
			       const char *id)
{
	GHashTable *ids = record_ids(record);
	int is_intact = g_hash_table_contains(ids, id);
	const struct cw_bill *bill;

	TAILQ_FOREACH(bill, &ledger->kept, link)
		if (bill->offset == offset && !*bill->origin)
			is_intact &= g_hash_table_contains(ids, bill->id);
	g_hash_table_destroy(ids);
	return is_intact;
}

size_t cw_ledger_begin_append(struct cw_ledger *ledger, uint64_t append_ticket, const char *origin,
			      size_t max_bills, char **record)
{
	GString *text = g_string_new("{\"bills\":[");
	struct cw_bill *bill;
	size_t count = 0;

	TAILQ_FOREACH(bill, &ledger->bills, link) {
		if (count == max_bills)
			break;
		if (bill->append || strcmp(bill->origin, origin) != 0)
			continue;
		g_string_append_printf(text, "%s%s", count ? "," : "", bill->json);
		bill->append = append_ticket;
		count++;
	}
	g_string_append(text, "]}");
	*record = g_string_free(text, FALSE);
	return count;
}

void cw_ledger_fail_append(struct cw_ledger *ledger, uint64_t append_ticket)
{
	struct cw_bill *bill;

	TAILQ_FOREACH(bill, &ledger->bills, link) {
		if (bill->append == append_ticket)
			bill->append = 0;
	}
}

size_t cw_ledger_complete_append(struct cw_ledger *ledger, uint64_t append_ticket,
				 struct cw_bill_list *settled)
{
	struct cw_bill *bill = TAILQ_FIRST(&ledger->bills);
	size_t count = 0;

	while (bill) {
		struct cw_bill *next = TAILQ_NEXT(bill, link);

		if (bill->append == append_ticket) {
			ledger_remove(ledger, bill);
			TAILQ_INSERT_TAIL(settled, bill, link);
			count++;
		}
		bill = next;
	}
	return count;
}

void cw_ledger_keep(struct cw_ledger *ledger, struct cw_bill *bill, uint64_t offset, int64_t now_ms)
{
	struct cw_bill *known = g_hash_table_lookup(ledger->kept_by_id, bill->id);

	if (known)
		kept_remove(ledger, known);
	if (known)
		cw_bill_destroy(known);
	bill->append = 0;
	bill->offset = offset;
	bill->settled_ms = now_ms;
	TAILQ_INSERT_TAIL(&ledger->kept, bill, link);
	g_hash_table_insert(ledger->kept_by_id, bill->id, bill);
}

void cw_ledger_keep_again(struct cw_ledger *ledger, const char *id, uint64_t offset, int64_t now_ms)
{
	struct cw_bill *bill = g_hash_table_lookup(ledger->kept_by_id, id);

	if (!bill)
		return;
	kept_remove(ledger, bill);
	cw_ledger_keep(ledger, bill, offset, now_ms);
}

size_t cw_ledger_expire_kept(struct cw_ledger *ledger, int64_t before_ms, size_t max)
{
	struct cw_bill *bill;
	size_t above = 0;

	while ((bill = TAILQ_FIRST(&ledger->kept))) {
		int is_above = g_hash_table_size(ledger->kept_by_id) > max;

		if (bill->settled_ms >= before_ms && !is_above)
			break;
		above += bill->settled_ms >= before_ms;
		kept_remove(ledger, bill);
		cw_bill_destroy(bill);
	}
	return above;
}

/* Where the log was restored, a bill may stand before the end that was known when it was made. */
size_t cw_ledger_reopen(struct cw_ledger *ledger, uint64_t read_back_offset)
{
	struct cw_bill *bill = TAILQ_FIRST(&ledger->kept);
	size_t count = 0;

	while (bill) {
		struct cw_bill *next = TAILQ_NEXT(bill, link);

		if (!*bill->origin && !cw_ledger_find(ledger, bill->id)) {
			move_to_pending(ledger, bill);
			count++;
		}
		bill = next;
	}
	TAILQ_FOREACH(bill, &ledger->bills, link)
		bill->read_back_offset = MIN(bill->read_back_offset, read_back_offset);
	return count;
}

size_t cw_ledger_adopt(struct cw_ledger *ledger, const char *origin)
{
	struct cw_bill *bill = TAILQ_FIRST(&ledger->kept);
	size_t count = 0;

	while (bill) {
		struct cw_bill *next = TAILQ_NEXT(bill, link);

		if (!strcmp(bill->origin, origin)) {
			if (bill->offset)
				*bill->origin = '\0';
			else if (!cw_ledger_find(ledger, bill->id))
				move_to_pending(ledger, bill);
		}
		bill = next;
	}
	TAILQ_FOREACH(bill, &ledger->bills, link) {
		if (strcmp(bill->origin, origin) != 0)
			continue;
		*bill->origin = '\0';
		/* Other peers hold mirrors of it, too. */
		bill->is_mirrored = 1;
		count++;
	}
	return count;
}

const struct cw_bill *cw_ledger_find_kept(const struct cw_ledger *ledger, const char *id)
{
	return g_hash_table_lookup(ledger->kept_by_id, id);
}

size_t cw_ledger_count_kept(const struct cw_ledger *ledger)
{
	return g_hash_table_size(ledger->kept_by_id);
}

const struct cw_bill_list *cw_ledger_kept(const struct cw_ledger *ledger)
{
	return &ledger->kept;
}

void cw_bill_destroy(struct cw_bill *bill)
{
	g_free(bill->id);
	g_free(bill->json);
	g_free(bill->origin);
	g_free(bill);
}

uint64_t cw_ledger_read_back_offset(const struct cw_ledger *ledger, const char *origin)
{
	const struct cw_bill *bill;
	uint64_t oldest = UINT64_MAX;

	TAILQ_FOREACH(bill, &ledger->bills, link) {
		if (!strcmp(bill->origin, origin))
			oldest = MIN(oldest, bill->read_back_offset);
	}
	return oldest;
}

size_t cw_ledger_count(const struct cw_ledger *ledger, const char *origin)
{
	const struct cw_bill *bill;
	size_t count = 0;

	if (!origin)
		return g_hash_table_size(ledger->by_id);
	TAILQ_FOREACH(bill, &ledger->bills, link)
		count += !strcmp(bill->origin, origin);
	return count;
}

const struct cw_bill_list *cw_ledger_bills(const struct cw_ledger *ledger)
{
	return &ledger->bills;
}

static void ledger_remove(struct cw_ledger *ledger, struct cw_bill *bill)
{
	TAILQ_REMOVE(&ledger->bills, bill, link);
	g_hash_table_remove(ledger->by_id, bill->id);
}

static void ledger_insert(struct cw_ledger *ledger, struct cw_bill *bill)
{
	TAILQ_INSERT_TAIL(&ledger->bills, bill, link);
	g_hash_table_insert(ledger->by_id, bill->id, bill);
}

static void kept_remove(struct cw_ledger *ledger, struct cw_bill *bill)
{
	TAILQ_REMOVE(&ledger->kept, bill, link);
	g_hash_table_remove(ledger->kept_by_id, bill->id);
}

static void move_to_pending(struct cw_ledger *ledger, struct cw_bill *bill)
{
	kept_remove(ledger, bill);
	ledger_insert(ledger, bill);
}

/* NULL: not a bill. */
static char *bill_id(struct json_object *item)
{
	struct json_object *organisation, *request;

	if (!json_object_object_get_ex(item, "organisation", &organisation) ||
	    !json_object_object_get_ex(item, "bill", &request))
		return NULL;
	return g_strdup_printf("%s/%s", json_object_get_string(organisation),
			       json_object_get_string(request));
}

static GHashTable *record_ids(const char *record)
{
	GHashTable *ids = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	struct json_object *parsed = json_tokener_parse(record);
	struct json_object *bills;

	if (json_object_object_get_ex(parsed, "bills", &bills) &&
	    json_object_is_type(bills, json_type_array)) {
		for (size_t i = 0; i < json_object_array_length(bills); i++) {
			char *id = bill_id(json_object_array_get_idx(bills, i));

			if (id)
				g_hash_table_add(ids, id);
		}
	}
	json_object_put(parsed);
	return ids;
}
