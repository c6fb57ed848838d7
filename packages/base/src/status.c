#include "cw_status.h"

#include <stdarg.h>
#include <stdio.h>
#include <string.h>

static const char *const status_names[] = {
	[CW_OK] = "ok",		  [CW_INVALID] = "invalid",
	[CW_REFUSED] = "refused", [CW_UNREACHABLE] = "unreachable",
	[CW_UNKNOWN] = "unknown", [CW_EXPIRED] = "expired",
	[CW_FULL] = "full",	  [CW_NOT_FOUND] = "not_found",
	[CW_CLOSED] = "closed",
};

const char *cw_status_name(enum cw_status status)
{
	return status_names[status];
}

enum cw_status cw_error_set(struct cw_error *error, enum cw_status status, const char *step,
			    const char *peer, const char *format, ...)
{
	va_list args;

	if (!error)
		return status;
	error->status = status;
	snprintf(error->step, sizeof(error->step), "%s", step);
	snprintf(error->peer, sizeof(error->peer), "%s", peer ? peer : "");
	va_start(args, format);
	vsnprintf(error->message, sizeof(error->message), format, args);
	va_end(args);
	return status;
}
