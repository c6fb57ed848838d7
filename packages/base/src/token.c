#include "cw_token.h"

#include <glib.h>
#include <string.h>

int cw_is_token(const char *text)
{
	if (!*text)
		return 0;
	for (; *text; text++)
		if (!g_ascii_isalnum(*text) && !strchr("!#$%&'*+-.^_`|~", *text))
			return 0;
	return 1;
}
