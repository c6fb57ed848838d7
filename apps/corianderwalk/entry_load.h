/* Parts of entry_load.c: one message each; a lost or old one does no harm. */
#ifndef ENTRY_LOAD_H
#define ENTRY_LOAD_H

#include <stddef.h>
#include <stdint.h>

struct cw_server;
struct entry;

/* entry_pace.c: speed of servers */
void pace_announce(struct entry *entry, int64_t now_ms); /* with each round of gossip */
int pace_merge(struct entry *entry, const char *bytes, size_t size,
	       uint32_t delay_ms); /* 0: another kind of message */
size_t pace_encode_prior(struct entry *entry, char *bytes, size_t size,
			 size_t *next); /* for an instance that starts; 0: nothing is known */
void pace_update_gauges(const struct entry *entry);

/* entry_backlog.c: prompts and memory at servers */
int backlog_merge(struct entry *entry, const char *bytes, size_t size,
		  uint32_t delay_ms); /* a note of a peer; 0: another kind of message */
void backlog_update_gauges(const struct entry *entry);

/* entry_homes.c: homes of prompt prefixes */
void homes_log(const struct entry *entry); /* their changes since the last call */
void homes_update_gauges(const struct entry *entry);

/* entry_shares.c: what organisations ask for, while room is scarce */
void shares_announce(struct entry *entry, int64_t now_ms); /* with each round of gossip */
int shares_merge(struct entry *entry, const char *bytes, size_t size);
void shares_update_gauges(const struct entry *entry);

#endif
