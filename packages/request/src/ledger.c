#include "cw_ledger.h"

#include <glib.h>
#include <json-c/json.h>
#include <string.h>

struct cw_ledger {
	struct cw_bill_list bills;
	GHashTable *by_id;
};

static void ledger_remove(struct cw_ledger *ledger, struct cw_bill *bill);

struct cw_ledger *cw_ledger_create(void)
{
	struct cw_ledger *ledger = g_new0(struct cw_ledger, 1);

	TAILQ_INIT(&ledger->bills);
	ledger->by_id = g_hash_table_new(g_str_hash, g_str_equal);
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
	g_hash_table_destroy(ledger->by_id);
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
	TAILQ_INSERT_TAIL(&ledger->bills, bill, link);
	g_hash_table_insert(ledger->by_id, bill->id, bill);
	return bill;
}

struct cw_bill *cw_ledger_find(struct cw_ledger *ledger, const char *id)
{
	return g_hash_table_lookup(ledger->by_id, id);
}

void cw_ledger_settle(struct cw_ledger *ledger, const char *id)
{
	struct cw_bill *bill = cw_ledger_find(ledger, id);

	if (!bill)
		return;
	ledger_remove(ledger, bill);
	cw_bill_destroy(bill);
}

void cw_ledger_settle_record(struct cw_ledger *ledger, const char *record)
{
	struct json_object *parsed = json_tokener_parse(record);
	struct json_object *bills;

	if (json_object_object_get_ex(parsed, "bills", &bills) &&
	    json_object_is_type(bills, json_type_array)) {
		for (size_t i = 0; i < json_object_array_length(bills); i++) {
			struct json_object *item = json_object_array_get_idx(bills, i);
			struct json_object *organisation, *request;
			char *id;

			if (!json_object_object_get_ex(item, "organisation", &organisation) ||
			    !json_object_object_get_ex(item, "bill", &request))
				continue;
			id = g_strdup_printf("%s/%s", json_object_get_string(organisation),
					     json_object_get_string(request));
			cw_ledger_settle(ledger, id);
			g_free(id);
		}
	}
	json_object_put(parsed);
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
