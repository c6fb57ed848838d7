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

/* entry_backlog.c: prompts and memory at servers */
void backlog_announce(struct entry *entry, int64_t now_ms); /* with each round of gossip */
void backlog_note(struct entry *entry,
		  const struct cw_server *server); /* a prompt was sent or begun there: others that
						      may choose the server are told at once */
int backlog_merge(struct entry *entry, const char *bytes, size_t size, uint32_t delay_ms);

/* entry_shares.c: what organisations ask for, while room is scarce */
void shares_announce(struct entry *entry, int64_t now_ms); /* with each round of gossip */
int shares_merge(struct entry *entry, const char *bytes, size_t size);
void shares_update_gauges(const struct entry *entry);

#endif
