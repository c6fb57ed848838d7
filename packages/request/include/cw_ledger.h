/*
 * Billed once: bills held until they are seen in the log, own ones and those mirrored for others.
 * A bill leaves the ledger only when its record's offset is known, or when it was read back.
 */
#ifndef CW_LEDGER_H
#define CW_LEDGER_H

#include "cw_status.h"

#include <stddef.h>
#include <stdint.h>
#include <sys/queue.h>

struct cw_bill {
	TAILQ_ENTRY(cw_bill) link;
	char *id;	/* organisation and request id */
	char *text;	/* as JSON */
	char *origin;	/* instance that answered; "" for own bills */
	uint64_t noted; /* end of the bills stream known when the bill was made: read back from here
			 */
	uint64_t append; /* tag of the append that carries it, 0 none */
	int64_t made_ms;
	int mirrored;	   /* a peer holds it too */
	uint64_t homes[2]; /* members it was sent to, 0 none */
	int64_t asked_ms;  /* of a mirror: when its origin was last asked about it */
};

TAILQ_HEAD(cw_bill_list, cw_bill);

struct cw_ledger;

struct cw_ledger *cw_ledger_create(void);
void cw_ledger_destroy(struct cw_ledger *ledger); /* frees its bills */
struct cw_bill *cw_ledger_add(struct cw_ledger *ledger, const char *id, const char *text,
			      const char *origin, uint64_t noted,
			      int64_t now_ms); /* the bill held, new or known */
struct cw_bill *cw_ledger_find(struct cw_ledger *ledger, const char *id); /* NULL: not held */
void cw_ledger_settle(struct cw_ledger *ledger, const char *id); /* seen in the log: dropped */
void cw_ledger_settle_record(struct cw_ledger *ledger,
			     const char *record); /* all bills of a record read back */
size_t cw_ledger_take(struct cw_ledger *ledger, uint64_t append, const char *origin, size_t max,
		      char **record); /* marks up to max, and builds their record; g_free */
void cw_ledger_append_failed(struct cw_ledger *ledger,
			     uint64_t append); /* free for the next append, after reading back */
size_t cw_ledger_append_done(struct cw_ledger *ledger, uint64_t append,
			     struct cw_bill_list *settled); /* moves them out; the caller frees */
void cw_bill_destroy(struct cw_bill *bill);
uint64_t cw_ledger_oldest_noted(const struct cw_ledger *ledger,
				const char *origin);			    /* UINT64_MAX: none */
size_t cw_ledger_count(const struct cw_ledger *ledger, const char *origin); /* NULL: all */
const struct cw_bill_list *cw_ledger_bills(const struct cw_ledger *ledger);

#endif
