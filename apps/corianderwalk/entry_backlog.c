/* Prompts and memory at servers, of this instance and its peers: messages, logs, metrics. */
#include "entry.h"
#include "entry_load.h"

void backlog_announce(struct entry *entry, int64_t now_ms)
{
}

void backlog_note(struct entry *entry, const struct cw_server *server)
{
}

int backlog_merge(struct entry *entry, const char *bytes, size_t size, uint32_t delay_ms)
{
	return 0;
}
