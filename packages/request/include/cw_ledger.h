/*
 * Exactly-once billing: bills that are not confirmed in the log yet, the instance's own and those
 * mirrored for other instances. A bill is settled only when the offset of its record is known or
 * when its record was read back from the log. Settled bills are kept for a time, as the log may be
 * restored from an older copy, which lacks them.
 */
#ifndef CW_LEDGER_H
#define CW_LEDGER_H

#include "cw_status.h"

#include <stddef.h>
#include <stdint.h>
#include <sys/queue.h>

struct cw_bill {
	TAILQ_ENTRY(cw_bill) link;
	char *id;		   /* "organisation/request id" */
	char *json;		   /* JSON object */
	char *origin;		   /* "instance#boot" that ran the request; "" for own bills */
	uint64_t read_back_offset; /* known end of the stream when the bill was made */
	uint64_t append; /* ticket of the append in progress that contains the bill, 0 none */
	int64_t created_ms;
	int is_mirrored;	    /* a peer has confirmed its copy of the bill */
	uint64_t mirror_members[2]; /* ids of the members that the bill was sent to, 0 none */
	int64_t origin_asked_ms; /* mirrored bills: when the origin was last asked about the bill */
	uint64_t offset;	 /* of its record when it was settled, 0 unknown */
	int64_t settled_ms;
};

TAILQ_HEAD(cw_bill_list, cw_bill);

struct cw_ledger;

struct cw_ledger *cw_ledger_create(void);
void cw_ledger_destroy(struct cw_ledger *ledger); /* frees its bills too */
struct cw_bill *
cw_ledger_add(struct cw_ledger *ledger, const char *id, const char *text, const char *origin,
	      uint64_t read_back_offset,
	      int64_t now_ms); /* returns the new bill, or the known one of this id */
struct cw_bill *cw_ledger_find(struct cw_ledger *ledger, const char *id); /* NULL: none */
void cw_ledger_settle(struct cw_ledger *ledger, const char *id, uint64_t offset,
		      int64_t now_ms); /* it is in the log; offset: of its record, 0 unknown */
size_t cw_ledger_settle_record(struct cw_ledger *ledger, const char *record, uint64_t offset,
			       int64_t now_ms); /* settles all bills of a record of the log;
						   returns how many were pending */
int cw_ledger_is_record_intact(const struct cw_ledger *ledger, const char *record, uint64_t offset,
			       const char *id); /* 1: this record of the log holds the bill of this
						   id and all own ones kept under its offset */
size_t cw_ledger_begin_append(
	struct cw_ledger *ledger, uint64_t append_ticket, const char *origin, size_t max_bills,
	char **record); /* marks up to max_bills and builds their record; g_free(record) */
void cw_ledger_fail_append(
	struct cw_ledger *ledger,
	uint64_t append_ticket); /* its bills may be appended again, after reading back */
size_t cw_ledger_complete_append(
	struct cw_ledger *ledger, uint64_t append_ticket,
	struct cw_bill_list *settled); /* moves its bills to settled; caller frees */
void cw_ledger_keep(struct cw_ledger *ledger, struct cw_bill *bill, uint64_t offset,
		    int64_t now_ms); /* takes over a settled bill */
void cw_ledger_keep_again(struct cw_ledger *ledger, const char *id, uint64_t offset,
			  int64_t now_ms); /* a kept bill was written again */
size_t cw_ledger_expire_kept(struct cw_ledger *ledger, int64_t before_ms,
			     size_t max); /* drops bills settled before, and the oldest above max;
					     returns how many were dropped above max */
size_t cw_ledger_reopen(struct cw_ledger *ledger,
			uint64_t read_back_offset); /* the log may lack the own kept bills: they
						       are pending again. Returns how many */
size_t cw_ledger_adopt(struct cw_ledger *ledger,
		       const char *origin); /* the origin is gone: its bills, kept ones too, are
					       own ones. Returns how many are pending; a kept one
					       of an unknown offset is, as nobody can check it */
const struct cw_bill *cw_ledger_find_kept(const struct cw_ledger *ledger,
					  const char *id); /* NULL: none */
size_t cw_ledger_count_kept(const struct cw_ledger *ledger);
const struct cw_bill_list *cw_ledger_kept(const struct cw_ledger *ledger); /* oldest first */
void cw_bill_destroy(struct cw_bill *bill);
uint64_t
cw_ledger_read_back_offset(const struct cw_ledger *ledger,
			   const char *origin); /* smallest read_back_offset, UINT64_MAX: none */
size_t cw_ledger_count(const struct cw_ledger *ledger, const char *origin); /* NULL: all origins */
const struct cw_bill_list *cw_ledger_bills(const struct cw_ledger *ledger);

#endif
