#include "cw_backlog.h"

double cw_backlog_tokens(const struct cw_backlog *backlog)
{
	return backlog->own.tokens + backlog->peers.tokens;
}
